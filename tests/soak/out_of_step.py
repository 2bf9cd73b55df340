"""An entry stands still in a release (``python -m tests.soak.out_of_step``).

Targets of a service end meanwhile and come back as another software version,
under their ids or new ones. Streams begin at another entry, and at this one
as it wakes, break off, and are taken up at the other.
"""

import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import re
import signal
import tempfile

import typer

from tests.lib import fake_target
from tests.lib import relay_fleet
from tests.soak import callers
from tests.soak import history
from tests.soak import run as soak_run
from tests.soak import streams
from tests.soak import system as soak_system
from tests.soak import targets

OLD, NEW = "v1", "v2"
EVENT_COUNT = 6
# Streams break off after this event the first time.
BREAK_AFTER = 2
EVENT_INTERVAL_S = 0.03
TARGET_COUNT = 4
# Time in which entries learn of the targets and identify them.
SETTLING_S = 5.0
FREEZE_S = (1.0, 3.5)
# Streams that wait at the frozen entry, and that begin while it wakes.
WAITING_STREAMS = 12
WAKING_STREAMS = 36
WAKING_INTERVAL_S = 0.02
OTHER_STREAMS = 12
RETURN_DELAY_S = (0.02, 0.4)
# Attempts to take a stream up, as those of callers that are told to return.
MAX_RETURNS = 4
MAX_RETRY_AFTER_S = 2.0
CALLER_DEADLINE_MS = 15_000
MAX_MIXED_STREAMS = 2
MIN_RETURN_RATIO = 0.5
EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]+)\n\n")
RETRY_AFTER = re.compile(rb"Retry-After: ([0-9.]+)")


class ReleasedTarget(streams.StreamTarget):
    """A target that breaks each stream off that is not taken up."""

    # The version of the next start, and whether it has a new id.
    next_version = OLD
    gets_new_id = False

    async def start_stopped(self, first: bool) -> None:
        known = self.instance_id
        await super().start_stopped(True)
        if not first and not self.gets_new_id:
            self.instance_id = known

    async def stop_abruptly(self) -> None:
        await super().stop_abruptly()
        self.software_version = self.next_version

    async def handle_request(
        self,
        target: fake_target.FakeTarget,
        request: fake_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = request.headers[b"x-request-id"].decode()
        expected = request.headers.get(b"x-expect-instance", b"").decode()
        if expected not in ("", self.instance_id):
            writer.write(targets.make_refusal(421, request_id))
            return True
        version = self.software_version
        first = int(request.headers.get(b"last-event-id", b"0")) + 1
        last = EVENT_COUNT if first > 1 else BREAK_AFTER
        writer.write(fake_target.make_stream_response_head(request))
        for number in range(first, last + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = f"id: {number}\ndata: {version}\n\n".encode()
            writer.write(fake_target.make_chunk(event))
            await writer.drain()
        if last < EVENT_COUNT:
            return False
        writer.write(b"0\r\n\r\n")
        return True


@dataclasses.dataclass
class Stream:
    """What one caller has received over all its attempts."""

    kind: str
    versions: set[str] = dataclasses.field(default_factory=set)
    last_id: int = 0
    statuses: list[int] = dataclasses.field(default_factory=list)

    def record(self, response: bytes) -> None:
        """Add a response."""
        found = EVENT.findall(response)
        self.versions |= {version.decode() for _, version in found}
        if found:
            self.last_id = int(found[-1][0])
        self.statuses.append(int(response[9:12] or b"0"))


@dataclasses.dataclass
class Outcome:
    """What became of the streams of a run."""

    seed: int
    streams: list[Stream]

    def describe(self) -> dict[str, object]:
        """Return the figures, by when and where streams began."""
        figures: dict[str, object] = {"seed": self.seed}
        kinds = collections.defaultdict(list)
        for each in self.streams:
            kinds[each.kind].append(each)
        for kind, group in sorted(kinds.items()):
            begun = [each for each in group if each.versions]
            figures[kind] = {
                "sent": len(group),
                "begun": len(begun),
                "went_on": sum(s.last_id > BREAK_AFTER for s in begun),
                "mixed": sum(len(each.versions) > 1 for each in begun),
            }
        return figures

    def find_violations(self) -> list[str]:
        """Return what is wrong."""
        found = []
        begun = [each for each in self.streams if each.versions]
        mixed = [each for each in begun if len(each.versions) > 1]
        if len(mixed) > MAX_MIXED_STREAMS:
            found.append(f"{len(mixed)} streams of two versions")
        for kind in {each.kind for each in begun}:
            group = [each for each in begun if each.kind == kind]
            went_on = sum(s.last_id > BREAK_AFTER for s in group)
            if went_on < MIN_RETURN_RATIO * len(group):
                found.append(f"{kind}: {went_on} of {len(group)} went on")
        return found


class Run:
    """The processes and targets of a run."""

    def __init__(
        self, seed: int, folder: pathlib.Path, new_ids: bool, released: int
    ) -> None:
        self.seed = seed
        # Targets that change their version.
        self.released = released
        self.new_ids = new_ids
        self.rng = random.Random(f"out of step {seed}")
        self.history = history.History()
        self.system = soak_system.System(seed, folder, self.history)
        self.operator = callers.Operator(self.system, random.Random(seed))
        self.targets: list[ReleasedTarget] = []
        self.streams: list[Stream] = []

    def add_target(self, number: int) -> ReleasedTarget:
        """Create a target of the old version."""
        host, port = self.system.get_host(4, number), self.system.ports["app"]
        target = ReleasedTarget(
            f"r{number}",
            "r",
            host,
            port,
            f"{host}:{port}",
            list(self.system.api_addresses.values()),
            self.history,
            random.Random(f"{number} {self.seed}"),
        )
        target.software_version = OLD
        target.gets_new_id = self.new_ids
        return target

    async def run(self) -> Outcome:
        """Freeze an entry during the release; return what was seen."""
        await self.system.start()
        self.targets = [
            self.add_target(number) for number in range(1, TARGET_COUNT + 1)
        ]
        for target in self.targets:
            await target.start(first=True)
        async with asyncio.timeout(soak_run.FIRST_CONFIGURATION_TIMEOUT_S):
            await self.operator.change_configuration()
        await asyncio.sleep(SETTLING_S)
        frozen, other = soak_system.ENTRIES[:2]
        program = self.system.programs[frozen]
        freeze_s = self.rng.uniform(*FREEZE_S)
        program.send_signal(signal.SIGSTOP)
        released = asyncio.create_task(self.release(freeze_s / 2))
        await asyncio.sleep(freeze_s * 0.9)
        work = [
            asyncio.create_task(self.follow("waiting", frozen, other))
            for _ in range(WAITING_STREAMS)
        ]
        # Broken off elsewhere, taken up where nobody knows of the release.
        work += [
            asyncio.create_task(self.follow("elsewhere", other, frozen))
            for _ in range(OTHER_STREAMS)
        ]
        await asyncio.sleep(freeze_s * 0.1)
        program.send_signal(signal.SIGCONT)
        for _ in range(WAKING_STREAMS):
            work.append(
                asyncio.create_task(self.follow("waking", frozen, other))
            )
            await asyncio.sleep(WAKING_INTERVAL_S)
        await asyncio.gather(*work, released)
        return Outcome(self.seed, self.streams)

    async def release(self, within_s: float) -> None:
        """Let targets end and come back as another version."""
        for target in self.targets[: self.released]:
            await asyncio.sleep(
                self.rng.uniform(0.0, within_s / self.released)
            )
            target.next_version = NEW
            await target.stop_abruptly()
            await target.start()

    async def follow(self, kind: str, first: str, second: str) -> None:
        """Begin a stream at one entry and take it up at another one."""
        stream = Stream(kind)
        self.streams.append(stream)
        name = f"{kind}-{len(self.streams)}"
        stream.record(await self.send(first, name, f"/resume/{name}"))
        for number in range(MAX_RETURNS):
            if not stream.versions or stream.last_id == EVENT_COUNT:
                return
            await asyncio.sleep(self.rng.uniform(*RETURN_DELAY_S))
            response = await self.send(
                second,
                f"{name}-{number}",
                f"/resume/{name}",
                f"Resumes: {name}\r\nLast-Event-Id: {stream.last_id}\r\n",
            )
            stream.record(response)
            told = RETRY_AFTER.search(response)
            if stream.statuses[-1] == 503 and told is None:
                return
            if told is not None:
                wait_s = float(told.group(1))
                await asyncio.sleep(min(MAX_RETRY_AFTER_S, wait_s))

    async def send(
        self, entry: str, request_id: str, path: str, extra: str = ""
    ) -> bytes:
        """Send a request; return all that was received."""
        return await relay_fleet.exchange_bytes(
            self.system.entry_addresses[entry],
            (
                f"POST {path} HTTP/1.1\r\nHost: {callers.HOST}\r\n"
                f"X-Request-Id: {request_id}\r\n"
                f"X-Request-Deadline: {CALLER_DEADLINE_MS}\r\n"
                f"Content-Length: 0\r\n{extra}Connection: close\r\n\r\n"
            ).encode(),
        )

    async def stop(self) -> None:
        """Stop all processes and targets."""
        await self.system.stop()
        for target in self.targets:
            await target.stop_abruptly()


async def play(
    seed: int, new_ids: bool, released: int, keep: pathlib.Path
) -> tuple[Outcome, list[str]]:
    """Play a run; keep the logs if a rule was violated."""
    with tempfile.TemporaryDirectory(prefix="hemlockkeel-soak-") as name:
        folder = pathlib.Path(name)
        run = Run(seed, folder, new_ids, released)
        try:
            outcome = await run.run()
        finally:
            await run.stop()
        violations = outcome.find_violations()
        if violations:
            soak_run.keep_logs(folder, keep / f"seed-{seed}", violations, [])
        return outcome, violations


def main(
    seed: int = 1,
    count: int = 1,
    new_ids: bool = False,
    released: int = 2,
    keep: pathlib.Path = pathlib.Path("build/out-of-step"),
) -> None:
    """Play seeds and exit with 1 if one violates a rule."""
    failed = 0
    for number in range(count):
        outcome, violations = asyncio.run(
            play(seed + number, new_ids, released, keep)
        )
        report = outcome.describe() | {"wrong": violations}
        print(json.dumps(report), flush=True)
        failed += bool(violations)
    print(f"{failed} of {count} seeds violated a rule", flush=True)
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
