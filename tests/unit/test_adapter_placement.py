"""Fetches of adapters from the store, and waits for them, over all engines."""

import dataclasses
import unittest

from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.orders import requests
from hemlockkeel._internal.orders import slots

UNLOAD = engine.Operation.UNLOAD


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


if __name__ == "__main__":
    unittest.main()
