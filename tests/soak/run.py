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

CALLER_COUNT = 6
FIRST_CONFIGURATION_TIMEOUT_S = 20.0
# From the last fault on, requests are served again within this, seconds.
RECOVERY_TIMEOUT_S = 12.0
# Afterwards, callers go on for this long, seconds.
EXTRA_LOAD_S = 2.0
# Least share of requests that are served in the end.
MIN_SERVED_RATIO = 0.25


@dataclasses.dataclass
class Outcome:
    """What a run showed."""

    seed: int
    violations: list[str]
    sent: int
    served: int
    executions: int
    # Requests for which bounds with a time held.
    time_limited: int
    configurations: int
    faults: list[str]

    def describe(self) -> dict[str, object]:
        """Return the figures of a report."""
        return {
            "seed": self.seed,
            "wrong": self.violations,
            "sent": self.sent,
            "served": self.served,
            "ran": self.executions,
            "in_touch": self.time_limited,
            "configurations": self.configurations,
            "faults": len(self.faults),
        }


async def run_seed(seed: int, seconds: float, keep: pathlib.Path) -> Outcome:
    """Play one seed; logs stay in the folder if a promise was broken."""
    with tempfile.TemporaryDirectory(prefix="hemlockkeel-soak-") as name:
        folder = pathlib.Path(name)
        soak = Soak(seed, folder)
        try:
            outcome = await soak.run(seconds)
        finally:
            await soak.system.stop()
        outcome.violations += soak.system.find_invalid_log_lines()
        if outcome.violations:
            keep_logs(folder, keep / f"seed-{seed}", outcome)
        return outcome


def keep_logs(
    folder: pathlib.Path, keep: pathlib.Path, outcome: Outcome
) -> None:
    """Copy the processes' logs and what went wrong."""
    keep.mkdir(parents=True, exist_ok=True)
    for path in folder.glob("*.log"):
        (keep / path.name).write_bytes(path.read_bytes())
    lines = ["wrong:", *outcome.violations, "faults:", *outcome.faults]
    (keep / "outcome.txt").write_text("\n".join(lines) + "\n")


class Soak:
    """Programs, callers, an operator and faults."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.history = history.History()
        self.system = soak_system.System(seed, folder, self.history)
        self.operator = callers.Operator(
            self.system, random.Random(self.rng.random())
        )
        self.callers = [
            callers.Caller(
                f"c{number}", self.system, random.Random(self.rng.random())
            )
            for number in range(CALLER_COUNT)
        ]
        self.fault_injector = faults.FaultInjector(
            self.system, random.Random(self.rng.random())
        )

    async def run(self, seconds: float) -> Outcome:
        """Play faults, let all recover, and check what was seen."""
        await self.system.start()
        for name in self.system.programs:
            # The bench's own start counts as a fault, as any start does.
            fault = self.fault_injector.begin_fault(name, "start")
            self.fault_injector.end_fault(name, fault)
        async with asyncio.timeout(FIRST_CONFIGURATION_TIMEOUT_S):
            await self.operator.change_configuration()
        self.system.disable_bootstrap()
        tasks = [asyncio.create_task(self.operator.run())]
        tasks += [asyncio.create_task(each.run()) for each in self.callers]
        await self.fault_injector.run(seconds)
        faults_ended_at = soak_system.get_now()
        recovered = await self.wait_until_served(faults_ended_at)
        await asyncio.sleep(EXTRA_LOAD_S)
        self.history.ended_at = soak_system.get_now()
        self.operator.stopping = True
        for each in self.callers:
            each.stopping = True
        await asyncio.gather(*tasks)
        violations = [
            *self.fault_injector.violations,
            *self.system.find_unexpected_exits(),
        ]
        if not recovered:
            violations.append(
                f"not served {RECOVERY_TIMEOUT_S} s after the last fault"
            )
        violations += await self.check_newest_configuration()
        violations += checks.find_violations(self.history)
        return Outcome(
            self.seed,
            violations,
            len(self.history.requests),
            sum(is_served(sent) for sent in self.history.requests),
            len(self.history.executions),
            sum(
                checks.do_time_limits_apply(self.history, s)
                for s in self.history.requests
            ),
            len(self.history.configuration_changes),
            self.fault_injector.injected,
        )

    async def wait_until_served(self, faults_ended_at: float) -> bool:
        """Wait until each kind of request is served; tell if in time."""
        kinds = set(callers.KINDS_BY_PATH.values())
        while soak_system.get_now() < faults_ended_at + RECOVERY_TIMEOUT_S:
            await asyncio.sleep(0.2)
            recent = [
                s for s in self.history.requests if s.sent_at > faults_ended_at
            ]
            served = {sent.kind for sent in recent if is_served(sent)}
            share = sum(map(is_served, recent)) / max(1, len(recent))
            if served == kinds and share > MIN_SERVED_RATIO:
                return True
        return False

    async def check_newest_configuration(self) -> list[str]:
        """Read back until a member answers."""
        newest = max(
            each.version
            for each in self.history.configuration_changes
            if each.acknowledged_at is not None
        )
        for _ in range(int(checks.FAULT_FREE_MARGIN_S / 0.1)):
            version = await self.operator.read_configuration()
            if version >= newest:
                return []
            await asyncio.sleep(0.1)
        return [f"version {newest} was acknowledged and is not read back"]


def is_served(sent: history.SentRequest) -> bool:
    """Tell whether a caller got a good answer."""
    return sent.complete and 200 <= sent.status < 300
