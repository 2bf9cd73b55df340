"""Fetches of adapters from the store, and waits for them, over all engines."""

import unittest

from hemlockkeel._internal.orders import requests
from hemlockkeel._internal.orders import slots


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


if __name__ == "__main__":
    unittest.main()
