"""Days of large configurations, played at their own pace.

``python -m tests.soak.configuration.days --day log --files 1400`` plays one.
Storms send changes at fixed times, whatever the members answer, and faults
come at theirs. ``HEMLOCKKEEL_SOAK_ENTRIES`` and ``HEMLOCKKEEL_SOAK_ENGINES``
set how many processes there are.
"""

import asyncio
import collections.abc
import dataclasses
import json
import pathlib
import tempfile

import typer

from tests.soak import run as soak_run
from tests.soak import system as soak_system
from tests.soak.configuration import operators
from tests.soak.configuration import probes
from tests.soak.configuration import processes
from tests.soak.configuration import run as configuration_run

STORM_GAP_S = 0.06
STORM_DURATION_S = 1.5
# Configurations of a day differ by up to this number of added routes.
SPREAD = 20
MAX_DATA_BYTES = 128_000_000
SAMPLE_INTERVAL_S = 0.05
# Time without changes before the final fault.
CALM_S = 4.0


@dataclasses.dataclass(frozen=True)
class Day:
    """Storms and faults at their times, in seconds from the start.

    Disks are lost by the member that has just acknowledged a change; in a kill
    all control members end at once.
    """

    storms: tuple[float, ...]
    lost_disks: tuple[float, ...] = ()
    kills: tuple[float, ...] = ()


DAYS = {
    "short": Day(storms=(0.5, 3.0, 9.5), lost_disks=(3.5,), kills=(10.0,)),
    "disks": Day(
        storms=(4.0, 7.0, 10.0, 13.0, 16.0, 19.0, 22.0),
        lost_disks=(27.0, 43.0),
    ),
    "log": Day(
        storms=tuple(7.0 + 2.5 * number for number in range(22)),
        kills=(68.0,),
    ),
    "disks beside storms": Day(
        storms=tuple(4.0 + 3.0 * number for number in range(12)),
        lost_disks=(10.5, 25.5),
    ),
    "kills beside storms": Day(
        storms=tuple(4.0 + 3.0 * number for number in range(12)),
        kills=(10.7, 25.2, 37.9),
    ),
}


class DayOperator(operators.Operator):
    """Sends changes with a number of added routes, many at once."""

    def __init__(self, soak: "DaySoak", files: int) -> None:
        super().__init__(
            soak.system, soak.records, soak.versions, soak.make_rng()
        )
        self.files = files

    async def send(self) -> None:
        """Send a change until it is answered."""
        await self.change((self.files, self.files + SPREAD))

    async def storm_at_pace(self, count: int) -> None:
        """Send changes at a fixed interval, then wait for all answers."""
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(self.send())
                await asyncio.sleep(STORM_GAP_S)


class DataWatcher:
    """Records how many bytes each member has on its disk at most."""

    def __init__(self, system: soak_system.System) -> None:
        self.system = system
        self.peaks: dict[str, int] = {}
        self.stopping = False

    async def run(self) -> None:
        """Sample all members periodically until stopped."""
        while not self.stopping:
            for name in soak_system.CONTROL:
                size = count_bytes(self.system.programs[name].data_path)
                self.peaks[name] = max(size, self.peaks.get(name, 0))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def find_violations(self) -> list[str]:
        """Return a message for each member over the size of its disk."""
        return [
            f"{name} had {size} bytes on its disk"
            for name, size in self.peaks.items()
            if size > MAX_DATA_BYTES
        ]


class DaySoak(configuration_run.Soak):
    """Plays a day instead of random series of faults."""

    def __init__(
        self, seed: int, folder: pathlib.Path, day: Day, files: int
    ) -> None:
        super().__init__(seed, folder, ["day"])
        self.day = day
        self.operator = DayOperator(self, files)
        self.operators = [self.operator]
        self.data_watcher = DataWatcher(self.system)

    def make_workers(
        self,
    ) -> list[
        operators.Operator
        | operators.Reader
        | probes.Prober
        | processes.Watcher
    ]:
        """Return readers and callers; the day itself has the changes."""
        return [
            each
            for each in super().make_workers()
            if each is not self.operator
        ]

    async def run_plan(self) -> None:
        """Play the storms and faults at their times."""
        watching = asyncio.create_task(self.data_watcher.run())
        async with asyncio.TaskGroup() as group:
            for at in self.day.storms:
                count = round(STORM_DURATION_S / STORM_GAP_S)
                group.create_task(
                    run_at(at, self.operator.storm_at_pace(count))
                )
            for at in self.day.lost_disks:
                group.create_task(run_at(at, self.lose_acknowledging_disk()))
            for at in self.day.kills:
                group.create_task(
                    run_at(
                        at, self.injector.kill_together(soak_system.CONTROL)
                    )
                )
        # The final fault follows an acknowledgement.
        await asyncio.sleep(CALM_S)
        await self.operator.send()
        self.injector.violations += self.data_watcher.find_violations()
        self.data_watcher.stopping = True
        await watching

    async def lose_acknowledging_disk(self) -> None:
        """Send a change; the member that acknowledges it loses its disk."""
        change = await self.operator.change(
            (self.operator.files, self.operator.files + SPREAD)
        )
        if change.puts[-1].status == operators.OK:
            await self.injector.lose_disk(change.puts[-1].member)


async def run_at(
    delay_s: float, action: collections.abc.Coroutine[object, object, None]
) -> None:
    """Run an action after a delay."""
    await asyncio.sleep(delay_s)
    await action


def count_bytes(folder: pathlib.Path) -> int:
    """Return the size of the files in a folder, in bytes."""
    try:
        return sum(path.stat().st_size for path in folder.iterdir())
    except OSError:
        # A file was replaced meanwhile, or the folder removed.
        return 0


async def play(
    seed: int, name: str, files: int, sync_s: float, keep: pathlib.Path
) -> configuration_run.Outcome:
    """Play a day; keep the logs if a rule was violated."""
    with tempfile.TemporaryDirectory(prefix="hemlockkeel-soak-") as path:
        folder = pathlib.Path(path)
        soak = DaySoak(seed, folder, DAYS[name], files)
        soak.system.sync_s = sync_s
        try:
            outcome = await soak.run()
        finally:
            await soak.system.stop()
        if outcome.violations:
            soak_run.keep_logs(
                folder,
                keep / f"{name.replace(' ', '-')}-{files}-{seed}",
                outcome.violations,
                outcome.faults,
            )
        report = outcome.describe()
        report |= {
            "day": name,
            "files": files,
            "sync_s": sync_s,
            "disk_mb": max(soak.data_watcher.peaks.values()) // 1_000_000,
        }
        print(json.dumps(report), flush=True)
        return outcome


def main(
    seed: int = 1,
    count: int = 1,
    day: str = "disks",
    files: int = 350,
    sync_s: float = 0.0005,
    keep: pathlib.Path = pathlib.Path("build/configuration-days"),
) -> None:
    """Play a day for each seed and exit with 1 if one violates a rule.

    ``--sync-s`` is the time that each sync of a member's disk takes besides.
    """
    failed = 0
    for number in range(count):
        outcome = asyncio.run(play(seed + number, day, files, sync_s, keep))
        failed += bool(outcome.violations)
    print(f"{failed} of {count} days violated a rule", flush=True)
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
