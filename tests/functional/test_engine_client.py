"""An agent's HTTP client and responses of an engine in trouble."""

import asyncio
import time
import unittest

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.orders import engine as orders
from hemlockkeel._internal.orders import http_client
from hemlockkeel.platform import engine
from hemlockkeel.platform import headers
from tests.lib import fake_target

REPORT = b'{"models": [], "busy": false, "sequence": 0, "born": 7}'
REFUSED = b"503 Service Unavailable"


class EngineClientCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests: an engine whose responses a test writes."""

    async def start(
        self, handler: fake_target.RequestHandler
    ) -> http_client.HttpEngineClient:
        """Start an engine; return a client of it."""
        self.engine = fake_target.FakeTarget(handler)
        await self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        client = http_client.HttpEngineClient(
            self.engine.address,
            engine.PlatformEngineCodec(),
            headers.PlatformHeaderCodec(),
        )
        return client

    async def start_responding(
        self, status: bytes, extra: bytes = b""
    ) -> http_client.HttpEngineClient:
        """Start an engine that always responds in the same way."""

        async def respond(target, request, writer) -> bool:  # type: ignore
            writer.write(
                fake_target.make_response(request, REPORT, status, extra)
            )
            return True

        return await self.start(respond)


class TestAvailability(EngineClientCase):
    """Responses that say that the engine leaves or wants a pause."""

    async def test_report_says_that_the_engine_leaves(self) -> None:
        client = await self.start_responding(
            b"200 OK", b"Server-Leaving: 1\r\n"
        )
        report = await client.read_report()
        self.assertTrue(report.leaving)
        self.assertEqual(report.started_at_ms, 7)

    async def test_engine_gets_nothing_in_a_pause_it_asks_for(self) -> None:
        client = await self.start_responding(REFUSED, b"Retry-After: 9\r\n")
        for _ in range(5):
            with self.assertRaises((OSError, ValueError)):
                await client.read_report()
        self.assertEqual(len(self.engine.received), 1)
        client.held_until = asyncio.get_running_loop().time()
        with self.assertRaises(ValueError):
            await client.read_report()
        self.assertEqual(len(self.engine.received), 2)


class TestRepeatedRefusals(EngineClientCase):
    """Refusals that the engine repeats on a connection that it keeps."""

    async def test_repeated_refusal_does_not_answer_the_next_call(
        self,
    ) -> None:
        refusals: list[bytes] = []

        async def respond(target, request, writer) -> bool:  # type: ignore
            if len(target.received) == 1:
                refusals.append(
                    fake_target.make_response(request, b"", b"409 Conflict")
                )
                writer.write(refusals[0])
                return True
            if writer in self.refused:
                writer.write(refusals[0])
            status = b"202 Accepted" if request.method == b"POST" else b"200 O"
            writer.write(fake_target.make_response(request, REPORT, status))
            return True

        client = await self.start(respond)
        order = orders.FencedOrder(
            orders.Order(orders.Operation.LOAD, "m", "a1"),
            "agent",
            1,
            0,
            records.InstanceId("i-1"),
        )
        self.assertIs(await client.send_order(order), orders.Reply.CONFLICT)
        self.refused = set(self.engine.writers)
        self.assertIs(await client.send_order(order), orders.Reply.ACCEPTED)
        self.assertEqual((await client.read_report()).started_at_ms, 7)


class TestEndlessResponses(EngineClientCase):
    """Bytes that go on until the client closes the connection."""

    async def test_endless_responses_are_broken_off(self) -> None:
        for name, start, piece in (
            ("interim responses", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            ("header", b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 1000),
            ("headers", b"HTTP/1.1 200 OK\r\n", b"X-A: a\r\n" * 100),
            ("no HTTP", b"", b"\0" * 1000),
            ("body", b"HTTP/1.1 200 OK\r\n\r\n", b" " * 1000),
        ):
            with self.subTest(name):
                await self.check_broken_off(start, piece)

    async def check_broken_off(self, start: bytes, piece: bytes) -> None:
        sent = 0

        async def respond(target, request, writer) -> bool:  # type: ignore
            nonlocal sent
            writer.write(start)
            while not writer.is_closing():
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
            return False

        client = await self.start(respond)
        begun = time.monotonic()
        with self.assertRaises((OSError, ValueError, TimeoutError)):
            await client.read_report()
        self.assertLess(time.monotonic() - begun, 1.0)
        await asyncio.wait_for(self.engine.closed.wait(), 1.0)
        self.assertLess(sent, 16 * 1024 * 1024)


if __name__ == "__main__":
    unittest.main()
