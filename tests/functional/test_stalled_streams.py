"""Streams that go on without events, and slow ones that are sound."""

import asyncio
import collections
import http.server
import itertools
import threading
import time
import typing
import unittest
from unittest import mock

from hemlockkeel._internal.engines import base
from hemlockkeel._internal.engines import http_engine
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import stream_progress
from tests.functional import test_relay
from tests.lib import fake_target

STALL_S = 0.6
PIECE_INTERVAL_S = 0.05
ROUTE_TIMEOUT_S = 4.0
# Time within which a stalled stream has to end.
MAX_STALLED_S = 3 * STALL_S
EVENT = b"id: 1\ndata: a\n\n"
# What a stalled stream may send over and over.
PIECES = {
    "bytes of an event": b"x",
    "comment lines": b": still here\n",
    "empty events": b": still here\n\n",
    "blank lines": b"\n\n",
    "events without data": b"event: ping\n\n",
    "events with empty data": b"data:\n\n",
    "events of ids only": b"id: 1\n\n",
}


class TestEntry(test_relay.RelayCase):
    """Guards against streams that an entry holds open or cuts by mistake."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        patched = mock.patch.object(stream_progress, "MIN_STALL_S", STALL_S)
        patched.start()
        self.addCleanup(patched.stop)

    async def receive(
        self, events: typing.Iterable[tuple[float, bytes]], **changes: object
    ) -> tuple[bytes, float]:
        """Return what a caller gets of a stream, and the time until its end.

        ``events`` are pieces with the time before each.
        """

        async def stream(target, request, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_stream_response_head(request))
            for wait_s, piece in events:
                await asyncio.sleep(wait_s)
                writer.write(fake_target.make_chunk(piece))
                await writer.drain()
            writer.write(fake_target.make_chunk(b""))
            return True

        self.configure(
            timeout_s=ROUTE_TIMEOUT_S,
            max_attempts=1,
            **{"first_byte_slo_s": 0.01, **changes},
        )
        self.entry.registry.targets.clear()
        self.entry.registry.table.by_id.clear()
        await self.add_target(stream)
        began_at = time.monotonic()
        received = await self.send_bytes(
            b"POST /stream/%d HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n" % len(self.targets)
        )
        return received, time.monotonic() - began_at

    async def test_stalled_stream_is_broken_off(self) -> None:
        for (name, piece), first in itertools.product(
            PIECES.items(), (b"", EVENT)
        ):
            with self.subTest(name, first=first):
                pieces = itertools.repeat((PIECE_INTERVAL_S, piece))
                received, took_s = await self.receive(
                    itertools.chain([(0.0, first or b": \n")], pieces)
                )
                self.assertLess(took_s, MAX_STALLED_S)
                self.assertFalse(received.endswith(b"0\r\n\r\n"), received)

    async def test_slow_stream_is_never_cut(self) -> None:
        slow = (STALL_S * 0.7, EVENT)
        for name, pieces in (
            ("slow events", [slow] * 6),
            (
                "events in slow bytes",
                [(0.02, EVENT[i : i + 1]) for i in range(len(EVENT))] * 5,
            ),
            ("comments between", [(STALL_S * 0.4, b":\n\n"), slow] * 4),
        ):
            with self.subTest(name):
                received, _ = await self.receive(pieces)
                self.assertTrue(received.endswith(b"0\r\n\r\n"), received)

    async def test_bound_is_far_beyond_the_objective(self) -> None:
        """A stream slower than the least bound, of a slow route."""
        received, _ = await self.receive(
            [(STALL_S * 1.5, EVENT)] * 3, first_byte_slo_s=STALL_S
        )
        self.assertTrue(received.endswith(b"0\r\n\r\n"), received)

    async def test_caller_that_does_not_read_is_cut_at_the_deadline(
        self,
    ) -> None:
        async def stream(target, request, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_stream_response_head(request))
            while not writer.is_closing():
                event = b"data: " + b"x" * 60_000 + b"\n\n"
                writer.write(fake_target.make_chunk(event))
                await writer.drain()
            return False

        self.configure(timeout_s=1.0, max_attempts=1)
        target = await self.add_target(stream)
        _, writer = await asyncio.open_connection(
            "127.0.0.1", self.port, limit=1024
        )
        self.addCleanup(writer.transport.abort)
        writer.write(
            b"POST /stream/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        async with asyncio.timeout(2.0):
            await target.closed.wait()


class StallingEngine(http.server.BaseHTTPRequestHandler):
    """Sends a piece of a run's stream over and over."""

    piece = b""
    cancelled: typing.ClassVar[threading.Event]

    def do_POST(self) -> None:  # noqa: N802
        self.rfile.read(int(self.headers["Content-Length"]))
        self.send_response(200)
        self.end_headers()
        self.wfile.write(b'data: {"offset": 0, "tokens": ["a"]}\n\n')
        while not self.cancelled.wait(PIECE_INTERVAL_S):
            self.wfile.write(self.piece)

    def do_DELETE(self) -> None:  # noqa: N802
        self.cancelled.set()
        self.send_response(200)
        self.end_headers()
        self.wfile.write(b'{"known": true}')

    def log_message(self, format: str, *args: object) -> None:
        return


class TestProductAgent(unittest.TestCase):
    """Guards against runs that an agent follows for ever."""

    def setUp(self) -> None:
        self.server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), StallingEngine
        )
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        threading.Thread(target=self.server.serve_forever).start()
        patched = mock.patch.object(http_engine, "TOKEN_TIMEOUT_S", STALL_S)
        patched.start()
        self.addCleanup(patched.stop)

    def run_request(self, piece: bytes) -> None:
        """Run a request and check how it fails."""
        StallingEngine.piece = piece
        StallingEngine.cancelled = threading.Event()
        self.addCleanup(StallingEngine.cancelled.set)
        engine = http_engine.HttpEngine(*self.server.server_address)
        order = base.RunOrder(
            ids.RequestId("r1"), None, "m", b"{}", 0, ids.Fence(1)
        )
        began_at = time.monotonic()
        # Ends the run if the engine's client does not.
        limit = threading.Timer(MAX_STALLED_S, StallingEngine.cancelled.set)
        limit.start()
        self.addCleanup(limit.cancel)
        with self.assertRaises(base.RunFailedError) as caught:
            collections.deque(engine.run(order), maxlen=0)
        self.assertLess(time.monotonic() - began_at, MAX_STALLED_S)
        self.assertIs(caught.exception.verdict, outcomes.Verdict.MAY_HAVE_RUN)
        self.assertFalse(caught.exception.crashed)
        self.assertTrue(StallingEngine.cancelled.is_set())

    def test_run_without_tokens_is_given_up_and_cancelled(self) -> None:
        for piece in (
            b"x",
            b": still here\n\n",
            b'data: {"offset": 1, "tokens": []}\n\n',
        ):
            with self.subTest(piece):
                self.run_request(piece)
