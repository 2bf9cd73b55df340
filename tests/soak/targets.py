"""Back ends of a soak: plain services and engines that misbehave."""

import asyncio
import dataclasses
import json
import random
import time
import typing

from tests.lib import fake_target
from tests.soak import calls
from tests.soak import history

HEARTBEAT_S = 1.2
STREAM_EVENTS = 12
MODEL = "m"
ADAPTER_SLOTS = 3
LOAD_S = 0.1
# Shares of requests that go wrong at a target.
LOST_SHARE = 0.03
FAILED_SHARE = 0.03
FULL_SHARE = 0.03
GARBAGE_SHARE = 0.01
# Work on most requests and on a few long ones, seconds.
WORK_S = (0.01, 0.08)
LONG_WORK_S = (0.5, 2.5)
LONG_SHARE = 0.1
EVENT_S = (0.01, 0.15)
# From a target's end to its next start, seconds.
DOWN_S = (0.2, 2.0)
# A leaving target serves on for this long, seconds.
LINGER_S = 3.0


def make_body(request_id: str, path: str) -> bytes:
    """Return the one right answer to a request."""
    return f"{request_id} {path}".encode()


@dataclasses.dataclass
class Engine:
    """What an engine holds."""

    models: set[str] = dataclasses.field(default_factory=lambda: {MODEL})
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    coming: set[str] = dataclasses.field(default_factory=set)
    running: list[str] = dataclasses.field(default_factory=list)
    orders: int = 0
    highest_fence: int = 0


class Target:
    """One back end, over all its starts."""

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        # Where it listens, and where others reach it through a proxy.
        port: int,
        announced: str,
        control: list[tuple[str, int]],
        seen: history.History,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.announced = announced
        self.control = control
        self.seen = seen
        self.rng = rng
        self.is_engine = service == "e"
        self.starts = 0
        self.instance_id = ""
        self.born_ms = 0
        self.state = "ready"
        self.sequence = 0
        self.engine = Engine()
        self.server: fake_target.FakeTarget | None = None
        self.serving: set[asyncio.Task[None]] = set()
        self.running: list[history.Ran] = []
        self.beats: asyncio.Task[None] | None = None

    @property
    def start_name(self) -> str:
        """Return a name of this start."""
        return f"{self.instance_id}/{self.born_ms}"

    async def start(self, first: bool = False) -> None:
        """Start; later starts sometimes keep their id."""
        self.starts += 1
        if first or self.rng.random() < 0.5:
            self.instance_id = f"{self.name}-{self.starts}"
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.engine = Engine()
        if not first:
            self.engine.models.clear()
        self.server = fake_target.FakeTarget(self.answer)
        await self.server.start(self.host, self.port)
        self.beats = asyncio.create_task(self.announce_often())

    async def crash(self) -> None:
        """End at once, with all connections."""
        if self.beats is not None:
            self.beats.cancel()
        for ran in self.running:
            ran.broken = True
        if self.server is not None:
            await self.server.stop()
            self.server.abort_all()
        self.server = None

    async def leave(self, notice: bool) -> None:
        """Leave as announced, and end; without notice only by the end."""
        if notice:
            self.state = "draining"
            if await self.announce():
                self.note_left()
                await asyncio.sleep(LINGER_S)
        if await self.call("DELETE") and not notice:
            self.note_left()
            await asyncio.sleep(LINGER_S)
        await self.crash()

    def note_left(self) -> None:
        """Remember that the leaving was acknowledged."""
        self.seen.left.append(history.Left(self.start_name, time.monotonic()))

    # Heartbeats

    async def announce_often(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def announce(self) -> bool:
        """Send a heartbeat until one member takes it; tell if one did."""
        self.sequence += 1
        body: dict[str, typing.Any] = {
            "service": self.service,
            "address": self.announced,
            "zone": "dc1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        if self.is_engine:
            body["models"] = self.describe_models()
        return await self.call("PUT", json.dumps(body).encode())

    async def call(self, method: str, body: bytes = b"") -> bool:
        """Call one member after another; tell whether one said yes."""
        path = f"/instances/{self.instance_id}"
        for address in self.rng.sample(self.control, len(self.control)):
            status, _ = await calls.call(address, method, path, body)
            if status == 200:
                return True
        return False

    def describe_models(self) -> list[dict[str, typing.Any]]:
        """Return the models and adapters held."""
        held = [f"{n}@{v}" for n, v in sorted(self.engine.held.items())]
        return [
            {"name": name, "version": 1, "adapters": held}
            for name in sorted(self.engine.models)
        ]

    # Requests

    async def answer(
        self,
        target: fake_target.FakeTarget,
        seen: fake_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; tell whether the connection goes on."""
        path = seen.target.decode()
        if path == "/report":
            writer.write(make_reply(200, self.make_report()))
            return True
        if path == "/order":
            writer.write(make_reply(self.take_order(json.loads(seen.body))))
            return True
        expected = seen.headers.get(b"x-expect-instance", b"").decode()
        if expected not in ("", self.instance_id):
            writer.write(make_reply(421))
            return True
        _, _, adapter = (
            seen.headers.get(b"x-model-name", b"").decode().partition("/")
        )
        if self.is_engine and not self.holds(seen, adapter):
            writer.write(make_reply(421))
            return True
        if self.rng.random() < FULL_SHARE:
            writer.write(make_reply(503, extra=b"X-Not-Executed: full\r\n"))
            return True
        ran = history.Ran(
            seen.headers[b"x-request-id"].decode(),
            path,
            self.service,
            self.start_name,
            time.monotonic(),
            adapter,
        )
        self.seen.ran.append(ran)
        self.running.append(ran)
        self.engine.running.append(adapter)
        engine = self.engine
        try:
            return await self.work(ran, seen, writer)
        finally:
            self.running.remove(ran)
            engine.running.remove(adapter)

    def holds(self, seen: fake_target.ReceivedRequest, adapter: str) -> bool:
        """Tell whether a request's adapter and version are held."""
        version = self.engine.held.get(adapter)
        wanted = seen.headers.get(b"x-expect-version")
        return version is not None and wanted in (
            None,
            str(version).encode(),
        )

    async def work(
        self,
        ran: history.Ran,
        seen: fake_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Work on a request and answer it, mostly well."""
        luck = self.rng.random()
        if self.is_engine:
            return await self.stream(ran, seen, writer, luck)
        long = self.rng.random() < LONG_SHARE
        await asyncio.sleep(
            self.rng.uniform(*(LONG_WORK_S if long else WORK_S))
        )
        if luck < LOST_SHARE:
            ran.broken = True
            return False
        if luck < LOST_SHARE + FAILED_SHARE:
            writer.write(
                fake_target.make_response(
                    seen, b"failed", b"500 Internal Server Error"
                )
            )
            return True
        if luck < LOST_SHARE + FAILED_SHARE + GARBAGE_SHARE:
            ran.broken = True
            writer.write(b"\x00\x01 no answer\r\n\r\n")
            return False
        body = make_body(ran.request_id, ran.path)
        writer.write(fake_target.make_response(seen, body))
        return True

    async def stream(
        self,
        ran: history.Ran,
        seen: fake_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
        luck: float,
    ) -> bool:
        """Send events, sometimes only the first."""
        last = STREAM_EVENTS
        if luck < LOST_SHARE:
            ran.broken = True
            last = self.rng.randrange(STREAM_EVENTS)
        writer.write(fake_target.make_stream_response_head(seen))
        for number in range(1, last + 1):
            await asyncio.sleep(self.rng.uniform(*EVENT_S))
            event = f"id: {number}\ndata: {ran.request_id}\n\n".encode()
            writer.write(fake_target.make_chunk(event))
            await writer.drain()
        if last < STREAM_EVENTS:
            return False
        writer.write(b"0\r\n\r\n")
        return True

    # Orders

    def make_report(self) -> dict[str, typing.Any]:
        """Return the engine's state."""
        return {
            "stage": "unified",
            "models": self.describe_models(),
            "busy": False,
            "sequence": self.engine.orders,
            "queued": 0,
            "active": len(self.engine.running),
            "kvUsed": 0,
            "kvTotal": 100_000,
            "coming": [f"{MODEL}/{n}@1" for n in sorted(self.engine.coming)],
            "born": self.born_ms,
        }

    def take_order(self, order: dict[str, typing.Any]) -> int:
        """Carry an order out; return the status."""
        engine = self.engine
        if order["fencingToken"] < engine.highest_fence:
            return 412
        engine.highest_fence = order["fencingToken"]
        if order.get("expected", engine.orders) != engine.orders:
            return 409
        adapter = order.get("adapter", "")
        if order["operation"] == "load":
            if not adapter:
                engine.models.add(order["model"])
                engine.orders += 1
                return 202
            if adapter in engine.held and adapter in engine.running:
                return 409
            self.load(adapter, order.get("version", 1))
        else:
            if adapter in engine.running:
                # It takes effect when its runs have ended.
                return 409
            engine.held.pop(adapter, None)
        engine.orders += 1
        return 202

    def load(self, adapter: str, version: int) -> None:
        """Begin to load an adapter."""
        engine = self.engine
        engine.held.pop(adapter, None)
        engine.coming.add(adapter)
        if len(engine.held.keys() | engine.coming) > ADAPTER_SLOTS:
            self.seen.engine_faults.append(
                f"{self.start_name}: {sorted(engine.held)} and"
                f" {sorted(engine.coming)} exceed the slots"
            )

        def finish() -> None:
            engine.coming.discard(adapter)
            engine.held[adapter] = version

        asyncio.get_running_loop().call_later(LOAD_S, finish)


def make_reply(
    status: int,
    body: dict[str, typing.Any] | None = None,
    extra: bytes = b"",
) -> bytes:
    """Return an answer without a seal."""
    data = json.dumps(body or {}).encode()
    return (
        f"HTTP/1.1 {status} -\r\nContent-Length: {len(data)}\r\n".encode()
        + extra
        + b"\r\n"
        + data
    )
