"""Two agents beside one engine while one replaces the other."""

import asyncio
import collections
import random
import unittest
from unittest import mock

from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import adapter_manager
from hemlockkeel._internal.orders import engine
from tests.unit import test_adapter_orders

# Time of day, seconds; the later agent has the later one.
STARTED_S = 1_000.0
CYCLES = 60
PAUSE_S = 0.3


class RecordingEngine(test_adapter_orders.FakeEngine):
    """An engine that also records who had which order carried out."""

    def __init__(self) -> None:
        super().__init__(random.Random(1))
        self.accepted: list[tuple[str, engine.Order]] = []

    def execute(self, order: engine.FencedOrder) -> engine.Reply:
        reply = super().execute(order)
        if reply is engine.Reply.ACCEPTED:
            self.accepted.append((order.holder, order.order))
        return reply


class HandoverCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests: an engine with two slots."""

    def setUp(self) -> None:
        self.engine = RecordingEngine()
        self.tasks: list[asyncio.Task] = []  # type: ignore[type-arg]
        self.calls = 0

    def tearDown(self) -> None:
        for task in self.tasks:
            task.cancel()

    def make_agent(
        self, name: str, started_s: float
    ) -> adapter_manager.AdapterManager:
        """Return an agent that renews its fencing token as processes do."""
        agent = test_adapter_orders.make_manager(self.engine)
        agent.holder = name
        agent.fence = None
        agent.renew_fence(started_s)
        return agent

    async def run_cycle(self, agent: adapter_manager.AdapterManager) -> None:
        """Read a report, give orders, and renew a token if that is due."""
        await asyncio.sleep(0)
        await agent.run_once()
        if agent.needs_fence:
            agent.renew_fence(STARTED_S)
        await asyncio.sleep(0)

    def request(
        self, agent: adapter_manager.AdapterManager, name: str
    ) -> asyncio.Task[messages.AdapterGrant]:
        """Return the task of a request that needs an adapter."""
        self.calls += 1
        call = test_adapter_orders.make_call(name, number=self.calls)
        task = asyncio.create_task(
            agent.ensure_adapter("entry", call)  # type: ignore[arg-type]
        )
        self.tasks.append(task)
        return task

    def list_loads(self) -> list[str]:
        """Return the adapters that were loaded, in order."""
        return [
            order.adapter
            for _, order in self.engine.accepted
            if order.operation is engine.Operation.LOAD
        ]


class TestReplacement(HandoverCase):
    """Guards against two agents that both give orders."""

    async def take_over(
        self,
    ) -> tuple[adapter_manager.AdapterManager, adapter_manager.AdapterManager]:
        """Let one agent load an adapter, and then a later one another."""
        earlier = self.make_agent("earlier", STARTED_S)
        self.request(earlier, "a1")
        for _ in range(3):
            await self.run_cycle(earlier)
        later = self.make_agent("later", STARTED_S + 60.0)
        self.request(later, "a2")
        for _ in range(3):
            await self.run_cycle(later)
        self.assertEqual(self.list_loads(), ["a1", "a2"])
        self.engine.in_use = {"a2"}
        return earlier, later

    async def test_replaced_agent_gives_no_more_orders(self) -> None:
        earlier, later = await self.take_over()
        began = len(self.engine.accepted)
        for number in range(CYCLES):
            for agent in (earlier, later):
                self.request(agent, f"b{number % 7}")
                await self.run_cycle(agent)
        holders = {holder for holder, _ in self.engine.accepted[began:]}
        self.assertLessEqual(holders, {"later"})
        self.assertEqual(self.engine.evicted_in_use, [])

    async def test_requests_at_the_replaced_agent_are_refused(self) -> None:
        earlier, _ = await self.take_over()
        waiting = self.request(earlier, "b1")
        await asyncio.sleep(0)
        earlier.requests.grants.clear()
        await self.run_cycle(earlier)
        self.assertFalse((await waiting).granted)
        self.assertFalse((await self.request(earlier, "a2")).granted)

    async def test_order_decided_before_the_handover_is_not_sent_twice(
        self,
    ) -> None:
        earlier = self.make_agent("earlier", STARTED_S)
        self.request(earlier, "a1")
        await asyncio.sleep(0)
        self.assertTrue(await earlier.refresh())
        earlier.process_waiters()
        decided = earlier.choose_order()
        assert decided is not None
        later = self.make_agent("later", STARTED_S + 60.0)
        self.request(later, "a1")
        for _ in range(3):
            await self.run_cycle(later)
        await earlier.send_order(decided)
        for _ in range(CYCLES):
            await self.run_cycle(earlier)
            await self.run_cycle(later)
        self.assertEqual(collections.Counter(self.list_loads())["a1"], 1)

    async def test_agent_whose_successor_has_ended_takes_over_again(
        self,
    ) -> None:
        earlier, later = await self.take_over()
        with mock.patch.object(adapter_manager, "DEPOSED_PAUSE_S", PAUSE_S):
            self.request(earlier, "b1")
            earlier.requests.grants.clear()
            self.engine.in_use.clear()
            await self.run_cycle(earlier)
            self.assertTrue(earlier.is_deposed)
            del later
            await asyncio.sleep(PAUSE_S)
            self.request(earlier, "b2")
            for _ in range(6):
                await self.run_cycle(earlier)
        self.assertIn("b2", self.list_loads())

    async def test_restarted_agent_with_an_earlier_clock_takes_over(
        self,
    ) -> None:
        earlier = self.make_agent("agent", STARTED_S)
        self.request(earlier, "a1")
        for _ in range(3):
            await self.run_cycle(earlier)
        restarted = self.make_agent("agent", STARTED_S - 20.0)
        self.request(restarted, "a2")
        for _ in range(6):
            await self.run_cycle(restarted)
        self.assertEqual(self.list_loads(), ["a1", "a2"])
