"""A target that some requests end, in one of several ways."""

import asyncio
import collections.abc
import enum
import socket

from hemlockkeel._internal.discovery import records
from tests.lib import announcements
from tests.lib import fake_target

# The request's path decides what the target does with it.
FATAL = b"fatal"
SLOW = b"slow"


class EndMode(enum.Enum):
    """What others see of a target that has ended."""

    # New connections are refused.
    REFUSES = "refuses"
    # It listens again at once, as a new incarnation that is announced later.
    RETURNS = "returns"
    # Open connections stay open without data; new ones are not accepted.
    SILENT = "silent"
    # Open connections stay open without data; it has returned behind them.
    CUT_OFF = "cut_off"


class EndPoint(enum.Enum):
    """How much of the response a target has written when it ends."""

    NOTHING = "nothing"
    HEAD = "head"
    EVENT = "event"
    # The stream has no length and is closed, as if it were complete.
    CLOSED_STREAM = "closed_stream"


class EndingTarget:
    """A stand-in for a target, over all its incarnations."""

    def __init__(
        self,
        name: str,
        service: records.ServiceName,
        mode: EndMode,
        announce: collections.abc.Callable[[records.TargetRecord], None],
        # From the arrival of a fatal request to the end, and from there to
        # the announcement of the next incarnation.
        run_s: float = 0.0,
        announcement_delay_s: float = 0.1,
        slots: int = 64,
        # A request ends the target, too, if its headers contain this.
        fatal_header: bytes = b"",
        end_point: EndPoint = EndPoint.NOTHING,
    ) -> None:
        self.name = name
        self.service = service
        self.mode = mode
        self.announce = announce
        self.run_s = run_s
        self.announcement_delay_s = announcement_delay_s
        self.slots = slots
        self.fatal_header = fatal_header
        self.end_point = end_point
        self.started_at_ms = 1
        self.sequence = 0
        # Loop times at which fatal requests began to run.
        self.fatal_runs: list[float] = []
        # Slow requests in progress; it responds to them once this is set.
        self.slow_runs = 0
        self.released = asyncio.Event()
        self.fails_next = False
        self.always_fails = False
        self.silent = False
        # Extra lines of the heads of its responses, and when it got which
        # request.
        self.extra = b""
        self.arrivals: list[tuple[float, fake_target.ReceivedRequest]] = []
        self.server = fake_target.FakeTarget(self.handle)
        self.fillers: list[socket.socket] = []

    async def start(self) -> None:
        """Listen and announce the first incarnation."""
        await self.server.start()
        self.send_announcement()

    def send_announcement(
        self, state: records.TargetState = records.TargetState.READY
    ) -> None:
        """Announce the present incarnation."""
        self.sequence += 1
        self.announce(
            announcements.make_record(
                self.name,
                self.service,
                self.server.address,
                self.sequence,
                self.started_at_ms,
                state,
                self.slots,
            )
        )

    async def handle(
        self,
        server: fake_target.FakeTarget,
        request: fake_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond, or end if the request is fatal."""
        self.arrivals.append((asyncio.get_running_loop().time(), request))
        if self.fails_next or self.always_fails:
            self.fails_next = False
            writer.write(
                fake_target.make_response(
                    request, b"no", b"500 Internal Server Error"
                )
            )
            return True
        if self.is_fatal(request):
            self.fatal_runs.append(asyncio.get_running_loop().time())
            await asyncio.sleep(self.run_s)
            if self.end_point is EndPoint.CLOSED_STREAM:
                writer.write(make_undelimited_stream(request))
            elif self.end_point is not EndPoint.NOTHING:
                writer.write(fake_target.make_stream_response_head(request))
            if self.end_point is EndPoint.EVENT:
                writer.write(fake_target.make_chunk(b"id: 1\ndata: a\n\n"))
            await writer.drain()
            if self.end_point is EndPoint.CLOSED_STREAM:
                writer.transport.close()
            await self.end()
            await self.wait_if_silent()
            return False
        if SLOW in request.target:
            incarnation = self.started_at_ms
            self.slow_runs += 1
            try:
                await self.released.wait()
            finally:
                self.slow_runs -= 1
            if incarnation != self.started_at_ms:
                return False
        await self.wait_if_silent()
        if request.target.startswith(b"/stream/"):
            writer.write(fake_target.make_stream_response_head(request))
            writer.write(fake_target.make_chunk(b"id: 1\ndata: a\n\n"))
            writer.write(fake_target.make_chunk(b""))
        else:
            writer.write(
                fake_target.make_response(request, b"done", extra=self.extra)
            )
        return True

    def is_fatal(self, request: fake_target.ReceivedRequest) -> bool:
        """Return whether a request ends the target that runs it."""
        if FATAL in request.target:
            return True
        return bool(self.fatal_header) and any(
            self.fatal_header in value for value in request.headers.values()
        )

    async def wait_if_silent(self) -> None:
        """Wait for ever if open connections carry no more data."""
        if self.silent or self.mode is EndMode.CUT_OFF:
            await asyncio.Event().wait()

    async def end(self) -> None:
        """End this incarnation."""
        if self.mode is EndMode.REFUSES:
            await self.server.stop()
            self.server.abort_all()
        elif self.mode is EndMode.SILENT:
            self.silent = True
            await self.server.stop()
            self.block_connections()
        else:
            self.started_at_ms += 1
            self.sequence = 0
            asyncio.get_running_loop().call_later(
                self.announcement_delay_s, self.send_announcement
            )
            if self.mode is EndMode.RETURNS:
                self.server.abort_all()

    def block_connections(self) -> None:
        """Listen with a full queue, so that connecting times out."""
        host, port = self.server.address.rsplit(":", 1)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(0)
        self.fillers.append(listener)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.fillers.append(filler)

    async def stop(self) -> None:
        """Close all sockets."""
        await self.server.stop()
        self.server.abort_all()
        for each in self.fillers:
            each.close()


def make_undelimited_stream(request: fake_target.ReceivedRequest) -> bytes:
    """Return a response of one event that ends with its connection."""
    head = fake_target.make_stream_response_head(request)
    head = head.replace(b"Transfer-Encoding: chunked\r\n", b"")
    return head + b"id: 1\ndata: a\n\n"
