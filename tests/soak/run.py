"""One run of the soak."""

import asyncio
import dataclasses
import pathlib
import random
import tempfile

from tests.soak import callers
from tests.soak import checks
from tests.soak import faults
from tests.soak import history
from tests.soak import system as soak_system

CALLERS = 6
FIRST_CONFIGURATION_S = 20.0
# From the last fault on, requests are served again within this, seconds.
RECOVER_S = 12.0
# Afterwards, callers go on for this long, seconds.
AFTER_S = 2.0
# Least share of requests that are served in the end.
SERVED_SHARE = 0.25


@dataclasses.dataclass
class Outcome:
    """What a run showed."""

    seed: int
    wrong: list[str]
    sent: int
    served: int
    ran: int
    # Requests for which bounds with a time held.
    in_touch: int
    configurations: int
    faults: list[str]

    def describe(self) -> dict[str, object]:
        """Return the figures of a report."""
        return {**dataclasses.asdict(self), "faults": len(self.faults)}


async def run(seed: int, seconds: float, keep: pathlib.Path) -> Outcome:
    """Play one seed; logs stay in the folder if a promise was broken."""
    with tempfile.TemporaryDirectory(prefix="hemlockkeel-soak-") as name:
        folder = pathlib.Path(name)
        soak = Soak(seed, folder)
        try:
            outcome = await soak.run(seconds)
        finally:
            await soak.system.stop()
        outcome.wrong += soak.system.find_unreadable_lines()
        if outcome.wrong:
            keep_logs(folder, keep / f"seed-{seed}", outcome)
        return outcome


def keep_logs(
    folder: pathlib.Path, keep: pathlib.Path, outcome: Outcome
) -> None:
    """Copy the processes' logs and what went wrong."""
    keep.mkdir(parents=True, exist_ok=True)
    for path in folder.glob("*.log"):
        (keep / path.name).write_bytes(path.read_bytes())
    lines = ["wrong:", *outcome.wrong, "faults:", *outcome.faults]
    (keep / "outcome.txt").write_text("\n".join(lines) + "\n")


class Soak:
    """Programs, callers, an operator and faults."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.seen = history.History()
        self.system = soak_system.System(seed, folder, self.seen)
        self.operator = callers.Operator(
            self.system, random.Random(self.rng.random())
        )
        self.callers = [
            callers.Caller(
                f"c{number}", self.system, random.Random(self.rng.random())
            )
            for number in range(CALLERS)
        ]
        self.faults = faults.Faults(
            self.system, random.Random(self.rng.random())
        )

    async def run(self, seconds: float) -> Outcome:
        """Play faults, let all recover, and check what was seen."""
        await self.system.start()
        for name in self.system.programs:
            # The bench's own start counts as a fault, as any start does.
            fault = self.faults.begin(name, "start")
            self.faults.end(name, fault)
        async with asyncio.timeout(FIRST_CONFIGURATION_S):
            await self.operator.change()
        self.system.forget_bootstrap()
        tasks = [asyncio.create_task(self.operator.run())]
        tasks += [asyncio.create_task(each.run()) for each in self.callers]
        await self.faults.run(seconds)
        calm_from = soak_system.get_now()
        recovered = await self.wait_until_served(calm_from)
        await asyncio.sleep(AFTER_S)
        self.seen.ends_at = soak_system.get_now()
        self.operator.done = True
        for each in self.callers:
            each.done = True
        await asyncio.gather(*tasks)
        wrong = [*self.faults.wrong, *self.system.find_own_ends()]
        if not recovered:
            wrong.append(f"not served {RECOVER_S} s after the last fault")
        wrong += await self.check_last_configuration()
        wrong += checks.check(self.seen)
        return Outcome(
            self.seed,
            wrong,
            len(self.seen.sent),
            sum(is_served(sent) for sent in self.seen.sent),
            len(self.seen.ran),
            sum(checks.is_in_touch(self.seen, s) for s in self.seen.sent),
            len(self.seen.configured),
            self.faults.played,
        )

    async def wait_until_served(self, calm_from: float) -> bool:
        """Wait until each kind of request is served; tell if in time."""
        kinds = set(callers.KINDS.values())
        while soak_system.get_now() < calm_from + RECOVER_S:
            await asyncio.sleep(0.2)
            recent = [s for s in self.seen.sent if s.sent_at > calm_from]
            served = {sent.kind for sent in recent if is_served(sent)}
            share = sum(map(is_served, recent)) / max(1, len(recent))
            if served == kinds and share > SERVED_SHARE:
                return True
        return False

    async def check_last_configuration(self) -> list[str]:
        """Read back until a member answers."""
        newest = max(
            each.version
            for each in self.seen.configured
            if each.acknowledged_at is not None
        )
        for _ in range(int(checks.CONTACT_S / 0.1)):
            version = await self.operator.read()
            if version >= newest:
                return []
            await asyncio.sleep(0.1)
        return [f"version {newest} was acknowledged and is not read back"]


def is_served(sent: history.Sent) -> bool:
    """Tell whether a caller got a good answer."""
    return sent.complete and 200 <= sent.status < 300
