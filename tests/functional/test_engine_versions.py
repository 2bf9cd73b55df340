"""A rerun of the product's own path keeps the engine's software version."""

import time
import unittest

from tests.lib import calls
from tests.lib import clusters

MODEL = "club-1@1"
TOKENS = 60
# Time in which a caller must be told that a stream cannot go on.
TOLD_S = 1.0


class TestRerun(unittest.TestCase):
    """Two engines, of which one ends while it writes an answer."""

    def setUp(self) -> None:
        self.cluster = clusters.Cluster()
        self.addCleanup(self.cluster.stop)

    def set_version(self, number: int, version: str) -> None:
        """Restart an engine with a software version; wait until it serves."""
        stand_in = self.cluster.engines[number]
        with stand_in.changed:
            stand_in.software_version = version
            stand_in.restart()
        driver = self.cluster.dev.agents[number].driver
        calls.wait_until(
            lambda: driver.boot_id == stand_in.boot_id,
            "the agent knows the engine's restart",
        )

    def begin(self, prompt: str) -> tuple[calls.SseStream, int]:
        """Begin a stream; return it with the number of its engine."""
        stream = calls.SseStream(self.cluster.url, MODEL, prompt, TOKENS)
        for _ in range(5):
            self.assertTrue(stream.read_event())
        ran = [
            prompt in [run["prompt"] for run in list(each.ledger)]
            for each in self.cluster.engines
        ]
        self.assertEqual(1, sum(ran))
        return stream, ran.index(True)

    def test_answer_does_not_go_on_at_another_version(self) -> None:
        for number in range(2):
            self.set_version(number, "v1")
        stream, began = self.begin("other version")
        self.set_version(1 - began, "v2")
        began_at = time.monotonic()
        with self.cluster.engines[began].changed:
            self.cluster.engines[began].software_version = "v2"
            self.cluster.engines[began].restart()
        stream.read_all()
        self.assertLess(time.monotonic() - began_at, TOLD_S)
        self.assertEqual("may_have_run", stream.error["verdict"])
        self.assertEqual(1, self.cluster.count_runs("other version"))

    def test_answer_goes_on_at_the_same_version(self) -> None:
        for number in range(2):
            self.set_version(number, "v1")
        stream, began = self.begin("same version")
        with self.cluster.engines[began].changed:
            self.cluster.engines[began].software_version = "v2"
            self.cluster.engines[began].restart()
        stream.read_all()
        self.assertIsNone(stream.error)
        self.assertEqual(2, self.cluster.count_runs("same version"))
        ran = self.cluster.engines[1 - began].ledger
        self.assertIn("same version", [run["prompt"] for run in ran])
