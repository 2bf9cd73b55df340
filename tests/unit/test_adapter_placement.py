"""Fetches of adapters from the store, and waits for them, over all engines."""

import dataclasses
import statistics
import unittest

from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.orders import requests
from hemlockkeel._internal.orders import slots
from tests.lib import adapter_fleet
from tests.unit import test_adapter_load

UNLOAD = engine.Operation.UNLOAD
# Load of sixteen organisations without a burst, as a share of the capacity.
USUAL_LOAD = 0.8
# Share of fetches for which some engine has the adapter or had it recently.
MAX_AVOIDABLE_SHARE = 0.05


class TestLoadEstimate(unittest.TestCase):
    """The agent's estimate of how long a load from the store takes."""

    def test_slow_loads_do_not_end_all_loads(self) -> None:
        """Guards against refusals for good after a slow start.

        The estimate changed only with loads: once it exceeded the time that
        requests can wait, the agent refused them all and never loaded again.
        """
        demand = requests.AdapterRequests()
        state = slots.EngineState({}, set(), {"m"}, 6)
        now = 0.0
        for index in range(60):
            demand.record_load_start(("m", f"a{index}"), now)
            now += 3.0
            state.adapters = {("m", f"a{index}"): 1}
            demand.record_finished_loads(state, now)
        self.assertGreater(demand.mean_load_s, 2.0)
        demand.record_finished_loads(state, now + 5.0)
        self.assertLess(
            demand.estimate_load_s(("m", "other")),
            requests.INITIAL_LOAD_S * 1.5,
        )

    def test_load_in_progress_keeps_the_estimate(self) -> None:
        """Guards against loads that are taken for fast as they take long."""
        demand = requests.AdapterRequests()
        demand.mean_load_s = 2.0
        state = slots.EngineState({}, {("m", "a")}, {"m"}, 6)
        demand.record_load_start(("m", "a"), 0.0)
        for now in (0.0, 1.0, 2.0):
            demand.record_finished_loads(state, now)
        self.assertEqual(demand.mean_load_s, 2.0)


class TestStoreLoads(unittest.TestCase):
    """How many loads from the store an agent has in progress."""

    def setUp(self) -> None:
        self.demand = requests.AdapterRequests()
        self.demand.record_use(("m", "recent"), 0.0)
        self.demand.record_load_start(("m", "a"), 0.0)
        self.state = slots.EngineState(
            {("m", "old"): 1}, {("m", "a")}, {"m"}, 2
        )

    def choose(self, *names: str) -> engine.Order | None:
        """Return the next order while requests wait for some adapters."""
        pending = [("m", name) for name in names]
        demand = dataclasses.replace(
            self.demand.get_demand(0.0), pending=pending
        )
        return slots.choose_order(self.state, demand)

    def test_fast_store_gets_more_loads(self) -> None:
        order = self.choose("b")
        self.assertEqual(order, engine.Order(UNLOAD, "m", "old"))

    def test_slow_store_gets_one_load(self) -> None:
        """Guards against loads that all end too late for their requests.

        Nothing may be unloaded for a load that cannot start yet either.
        """
        self.demand.mean_load_s = 2.0
        self.assertIsNone(self.choose("b"))

    def test_reload_does_not_wait_for_the_store(self) -> None:
        self.demand.mean_load_s = 2.0
        self.state.adapters = {}
        order = self.choose("b", "recent")
        assert order is not None
        self.assertEqual(order.adapter, "recent")


class TestFleet(unittest.IsolatedAsyncioTestCase):
    """Engines and entries together, beside caches that all would share."""

    async def test_fetches_stay_near_the_least_possible(self) -> None:
        """Guards against decisions that fetch what some engine has."""
        fleet = adapter_fleet.Fleet(1, 45.0, 22.0, 19)
        fleet.run()
        capacity = len(fleet.engines)
        recent = adapter_fleet.count_belady_fetches(
            fleet.arrivals, capacity * adapter_fleet.RECENT_ADAPTERS
        )
        lru = adapter_fleet.count_lru_fetches(fleet.arrivals, capacity * 6)
        self.assertLessEqual(
            fleet.fetches.total(), recent * (1.0 + MAX_AVOIDABLE_SHARE)
        )
        self.assertLess(fleet.fetches.total(), lru)

    async def test_slow_store_causes_no_second_copies(self) -> None:
        """Guards against a fetch at each engine that a request waits at.

        The store is slower than first uses alone would need.
        """
        fleet = adapter_fleet.Fleet(1, 30.0, 38.0, 19)
        fleet.run()
        avoidable = sum(
            fleet.fetches[cause] for cause in ("copy", "held", "forgotten")
        )
        self.assertLessEqual(
            avoidable, fleet.fetches.total() * MAX_AVOIDABLE_SHARE
        )


class Crowd(test_adapter_load.Simulation):
    """Sixteen organisations at an engine, one of which bursts."""

    def __init__(self, seed: int, burst: float, last: bool = False) -> None:
        super().__init__(USUAL_LOAD * (15 + burst) / 16, seed)
        self.burst_share = burst / (15 + burst)
        # Whether the others always go first, by priority.
        self.last = last
        self.others: set[int] = set()
        self.of_others: list[test_adapter_load.Result] = []

    def arrive(self, now: float) -> None:
        """Add a request of the organisation that bursts or of another."""
        self.count += 1
        name = "o0"
        if self.rng.random() >= self.burst_share:
            name = f"o{self.rng.randint(1, 15)}"
            self.others.add(self.count)
        call = messages.EnsureAdapter(
            model="m",
            adapter=f"a{self.count}",
            priority=2 if self.last and name == "o0" else 0,
            wait_s=test_adapter_load.MAX_WAIT_S,
            slo_budget_s=test_adapter_load.SLO_S,
            organisation="" if self.last else name,
        )
        waiter = self.requests.add((self, self.count), call, now)
        self.waiting[self.count] = (waiter, now)
        self.requests.refuse_if_too_late(waiter, self.state, now)

    def collect_results(self, now: float) -> None:
        """Keep the results of the organisations that do not burst."""
        ended = [
            number
            for number, (waiter, _) in self.waiting.items()
            if waiter.future.done()
        ]
        count = len(self.results)
        super().collect_results(now)
        self.of_others += [
            result
            for number, result in zip(ended, self.results[count:], strict=True)
            if number in self.others
        ]

    def measure(self) -> tuple[float, float]:
        """Return the others' share of grants and mean wait, seconds."""
        self.run()
        granted = [r.waited_s for r in self.of_others if r.granted]
        return len(granted) / len(self.of_others), statistics.fmean(granted)


class TestOrganisations(unittest.IsolatedAsyncioTestCase):
    """Turns of organisations for adapter slots."""

    async def test_burst_does_not_displace_others(self) -> None:
        """Guards against one organisation's queue before all others.

        At best, the others go before it always. The turns that are its own
        may cost them no more: a sixteenth of the grants, and a wait of one
        turn. By arrival alone, they would lose more.
        """
        best = [Crowd(seed, 7.5, last=True).measure() for seed in range(8)]
        fair = [Crowd(seed, 7.5).measure() for seed in range(8)]
        best_share, best_wait_s = map(
            statistics.fmean, zip(*best, strict=True)
        )
        share, wait_s = map(statistics.fmean, zip(*fair, strict=True))
        turn_s = statistics.fmean(test_adapter_load.USE_S)
        turn_s /= test_adapter_load.SLOTS
        self.assertGreaterEqual(share, best_share - 1 / 16)
        self.assertLessEqual(wait_s, best_wait_s + turn_s)

    async def test_requests_without_organisation_go_by_arrival(self) -> None:
        demand = requests.AdapterRequests()
        for number in range(4):
            call = messages.EnsureAdapter(
                model="m",
                adapter=f"a{number}",
                priority=0,
                wait_s=9.0,
                slo_budget_s=9.0,
            )
            demand.add((self, number), call, 0.0)
            if number == 1:
                demand.record_load_start(("m", "a0"), 0.0)
        names = [adapter for _, adapter in demand.get_demand(0.0).pending]
        self.assertEqual(names, ["a0", "a1", "a2", "a3"])


if __name__ == "__main__":
    unittest.main()
