"""A short run of the soak test of configurations with a fixed seed."""

import asyncio
import pathlib
import unittest

from tests.soak.configuration import days
from tests.soak.configuration import run as soak_run

SEED = 8
PLAN = ["storm", "all killed", "lost answers"]
STORM_FILES = (350, 450)
# Time that each sync of a member's disk takes besides.
SYNC_S = 0.02
# What a run must at least have seen for its verdict to mean something.
LEAST_FIGURES = {
    "changes": 100,
    "invalid": 5,
    "reads": 500,
    "effects": 200,
    "in_touch": 50,
}
# Logs of a run that violates a rule.
KEEP = pathlib.Path("build/configuration-soak/ci")


class TestConfigurationSoak(unittest.IsolatedAsyncioTestCase):
    """Changes configurations while processes are killed and lose disks."""

    async def asyncSetUp(self) -> None:
        # The debug mode takes most of the time of a loop that all stand-ins
        # and callers share, so that targets would be late to respond.
        asyncio.get_running_loop().set_debug(False)

    async def test_acknowledged_changes_are_in_force_and_stay(self) -> None:
        outcome = await soak_run.run_seed(
            SEED, KEEP, PLAN, storm_files=STORM_FILES
        )
        self.assertEqual(outcome.violations, [])
        figures = outcome.describe()
        for name, least in LEAST_FIGURES.items():
            self.assertGreater(figures[name], least)

    async def test_day_of_storms_a_lost_disk_and_a_kill_breaks_no_rule(
        self,
    ) -> None:
        outcome = await days.play(SEED, "short", STORM_FILES[0], SYNC_S, KEEP)
        self.assertEqual(outcome.violations, [])
        self.assertGreater(outcome.describe()["changes"], 70)


if __name__ == "__main__":
    unittest.main()
