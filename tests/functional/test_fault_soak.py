"""A short run of the soak test with a fixed seed."""

import asyncio
import pathlib
import unittest

from tests.soak import run as soak_run

SEED = 7
SECONDS = 6.0
# Logs of a run that violates an invariant.
KEEP = pathlib.Path("build/soak/ci")


class TestFaultSoak(unittest.IsolatedAsyncioTestCase):
    """Runs the real programs while faults are injected."""

    async def asyncSetUp(self) -> None:
        # The debug mode takes most of the time of a loop that all stand-ins
        # and callers share, so that targets would be late to respond.
        asyncio.get_running_loop().set_debug(False)

    async def test_invariants_hold(self) -> None:
        outcome = await soak_run.run_seed(SEED, SECONDS, KEEP)
        self.assertEqual(outcome.violations, [])
        self.assertGreater(outcome.served, 20)
        self.assertGreater(len(outcome.faults), 5)
