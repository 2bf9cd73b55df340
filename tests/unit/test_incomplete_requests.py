"""Requests whose bodies the budget of the process gives up."""

import asyncio
import unittest
import unittest.mock

from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import channel
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import http_service
from hemlockkeel._internal.utils import process_budget

MIB = 1024 * 1024
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
HALF = b"x" * 100_000


class RecordingHandler(http_service.SimpleRequestHandler):
    """Keeps the requests that would be forwarded."""

    def __init__(self) -> None:
        self.requests: list[caller.CallerRequest] = []

    async def handle_request(
        self,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        self.requests.append(request)
        connection.send_response(200, [], b"")


class TestIncompleteRequests(unittest.IsolatedAsyncioTestCase):
    """A connection whose transport is a mock."""

    async def asyncSetUp(self) -> None:
        self.handler = RecordingHandler()
        self.make_connection(process_budget.ProcessLimits(96 * MIB))

    def make_connection(self, limits: process_budget.ProcessLimits) -> None:
        self.channel = channel.Channel()
        self.transport = unittest.mock.Mock()
        self.transport.get_write_buffer_size.return_value = 0
        self.transport.is_closing.return_value = False
        self.channel.transport = self.transport
        self.budget = process_budget.ProcessBudget(limits)
        self.connection = caller.CallerConnection(
            self.channel, self.handler, self.budget
        )

    def receive(self, data: bytes) -> None:
        self.channel.received += data
        self.channel.wake_reader()

    async def let_run(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0)

    async def send_halves(self, shed: bool) -> bytes:
        """Return what is written for a body that arrives in two parts."""
        task = asyncio.create_task(self.connection.run())
        self.addCleanup(task.cancel)
        self.receive(HEAD + HALF)
        await self.let_run()
        self.receive(HALF)
        if shed:
            self.budget.shed(self.connection.holder)
        await self.let_run()
        return b"".join(
            each.args[0] for each in self.transport.write.mock_calls
        )

    async def test_whole_body_is_handled(self) -> None:
        self.assertIn(b" 200 ", await self.send_halves(shed=False))
        self.assertEqual(HALF + HALF, self.handler.requests[0].body)

    async def test_request_shed_as_its_end_arrives_is_not_run(self) -> None:
        # Guards against forwarding what is left of a body that was dropped.
        written = await self.send_halves(shed=True)
        self.assertIn(b" 503 ", written)
        self.assertIn(b"Retry-After: ", written)
        self.assertIn(b"Connection: close", written)
        self.assertEqual([], self.handler.requests)
        self.assertLess(len(self.connection.body), MIB)

    async def test_body_must_make_progress_over_its_whole_time(self) -> None:
        # A byte before each idle time-out would keep a body for ever.
        limits = table.RequestLimits()
        now = asyncio.get_running_loop().time()
        begun_at = now - 40.0
        find_limit = self.connection.get_body_limit_at
        self.assertAlmostEqual(15.0, find_limit(now, limits) - now, places=1)
        self.assertLess(find_limit(begun_at, limits), now)
        self.connection.body = bytearray(20 * 1024)
        self.assertGreater(find_limit(begun_at, limits), now)

    async def test_progress_is_not_limited_without_settings(self) -> None:
        self.make_connection(process_budget.ProcessLimits())
        now = asyncio.get_running_loop().time()
        limit_at = self.connection.get_body_limit_at(
            now - 1000.0, table.RequestLimits()
        )
        self.assertGreater(limit_at, now)
