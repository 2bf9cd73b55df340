"""Grants and refusals of adapters under high load, with a virtual clock.

Simulates the agent's decisions for an engine of eight slots. Every request
needs another adapter, so the slots are the bottleneck.
"""

import dataclasses
import random
import unittest

from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.orders import requests
from hemlockkeel._internal.orders import slots

SLOTS = 8
LOAD_S = 0.25
# Range of the time for which a request uses its adapter.
USE_S = (0.5, 2.5)
SLO_S = 1.0
MAX_WAIT_S = 2.5
STEP_S = 0.02
DURATION_S = 60.0
# Requests per second that the slots can serve, with a load for each.
CAPACITY = SLOTS / (sum(USE_S) / 2 + LOAD_S)


@dataclasses.dataclass
class Result:
    """How a request ended."""

    granted: bool
    waited_s: float
    priority: int
    # Free slots when the request was granted or refused.
    free_slots: int


class Simulation:
    """Simulates requests at a multiple of the engine's capacity."""

    def __init__(self, load: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.rate = load * CAPACITY
        self.requests = requests.AdapterRequests()
        self.state = slots.EngineState({}, set(), {"m"}, SLOTS)
        self.loads: dict[slots.AdapterKey, float] = {}
        self.uses: list[tuple[float, requests.CallKey]] = []
        self.waiting: dict[int, tuple[requests.Waiter, float]] = {}
        self.results: list[Result] = []
        self.count = 0

    def run(self) -> list[Result]:
        """Run the simulation; return the results of all requests."""
        now = 0.0
        while now < DURATION_S:
            now += STEP_S
            self.end_uses(now)
            self.end_loads(now)
            if self.rng.random() < self.rate * STEP_S:
                self.arrive(now)
            self.requests.grant_loaded(self.state, now)
            self.requests.refuse_overdue(self.state, now)
            self.execute_orders(now)
            self.collect_results(now)
        return self.results

    def arrive(self, now: float) -> None:
        """Add a request; a tenth of them are urgent."""
        self.count += 1
        call = messages.EnsureAdapter(
            model="m",
            adapter=f"a{self.count}",
            priority=0 if self.rng.random() < 0.1 else 2,
            wait_s=MAX_WAIT_S,
            slo_budget_s=SLO_S,
        )
        waiter = self.requests.add((self, self.count), call, now)
        self.waiting[self.count] = (waiter, now)
        self.requests.refuse_if_too_late(waiter, self.state, now)

    def end_uses(self, now: float) -> None:
        """Release adapters whose use has ended."""
        for use in [use for use in self.uses if use[0] <= now]:
            self.uses.remove(use)
            self.requests.release(use[1], now)

    def end_loads(self, now: float) -> None:
        """Mark adapters whose load has ended as loaded."""
        for key, ends_at in list(self.loads.items()):
            if ends_at <= now:
                del self.loads[key]
                self.state.loading.discard(key)
                self.state.adapters[key] = 1
        self.requests.record_finished_loads(self.state, now)

    def execute_orders(self, now: float) -> None:
        """Execute the orders that the agent chooses."""
        while True:
            demand = self.requests.get_demand(now)
            order = slots.choose_order(self.state, demand)
            if order is None:
                return
            key = (order.model, order.adapter)
            if order.operation is engine.Operation.UNLOAD:
                assert key not in self.requests.get_adapters_in_use()
                del self.state.adapters[key]
                self.requests.record_unload(key)
                continue
            self.state.loading.add(key)
            self.loads[key] = now + LOAD_S
            self.requests.record_load_start(key, now)

    def collect_results(self, now: float) -> None:
        """Store the results of requests that were granted or refused."""
        used = self.requests.get_adapters_in_use() | self.state.loading
        for number, (waiter, since) in list(self.waiting.items()):
            if not waiter.future.done():
                continue
            del self.waiting[number]
            granted = waiter.future.result().granted
            if granted:
                until = now + self.rng.uniform(*USE_S)
                self.uses.append((until, waiter.call_key))
            self.results.append(
                Result(
                    granted,
                    now - since,
                    waiter.request.priority,
                    SLOTS - len(used),
                )
            )


class TestHighLoad(unittest.IsolatedAsyncioTestCase):
    """Load of up to four times the capacity of the slots."""

    def count_on_time(self, results: list[Result]) -> int:
        """Count the grants within the SLO."""
        return sum(r.granted for r in results if r.waited_s <= SLO_S)

    async def test_grants_within_the_slo_do_not_fall_with_load(self) -> None:
        for seed in range(3):
            at_capacity = self.count_on_time(Simulation(1.0, seed).run())
            for load in (2.0, 4.0):
                overloaded = self.count_on_time(Simulation(load, seed).run())
                self.assertGreaterEqual(overloaded, at_capacity, (seed, load))

    async def test_requests_are_refused_shortly_after_the_slo(self) -> None:
        for load in (2.0, 4.0):
            results = Simulation(load, 1).run()
            refused = [r for r in results if not r.granted]
            self.assertTrue(refused)
            limit = SLO_S + requests.LATENESS_TOLERANCE_S
            self.assertLessEqual(max(r.waited_s for r in refused), limit)

    async def test_no_request_is_refused_while_a_slot_is_free(self) -> None:
        for load in (0.5, 1.0, 2.0):
            results = Simulation(load, 2).run()
            refused = [
                r for r in results if not r.granted and r.free_slots > 0
            ]
            self.assertEqual(refused, [], load)

    async def test_larger_share_of_urgent_requests_is_granted(self) -> None:
        results = Simulation(2.0, 3).run()
        grants = {
            priority: [r.granted for r in results if r.priority == priority]
            for priority in (0, 2)
        }
        shares = {
            priority: sum(granted) / len(granted)
            for priority, granted in grants.items()
        }
        self.assertGreater(shares[0], shares[2])
