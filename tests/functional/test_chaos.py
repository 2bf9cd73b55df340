"""Requests of every kind under injected faults, checked against what ran."""

import collections
import unittest

from hemlockkeel_bench import chaos
from hemlockkeel_bench import declare

REQUESTS = 72


class TestChaos(unittest.TestCase):
    """Short runs with fixed seeds; ``make soak`` does longer ones."""

    def test_no_violations_under_faults(self) -> None:
        for seed in (3, 4):
            with self.subTest(seed=seed):
                figures, violations = chaos.measure(seed, REQUESTS)
                self.assertEqual([], violations, figures)
                self.assertGreater(figures["verdicts"].get("ran", 0), 0)


class TestDeclarations(unittest.TestCase):
    """Declarations of a run reach whichever control member is the leader.

    Under load the first member may lose its leadership before the run has
    declared anything.
    """

    def test_items_are_applied_when_another_member_leads(self) -> None:
        cluster = chaos.make_cluster(1)
        cluster.start()
        self.addCleanup(cluster.stop)
        cluster.control_members[0].stop()
        operator = declare.make_operator_client(cluster)
        declare.apply_items(operator, chaos.make_items(), "declare")
        leader = cluster.find_leader()
        assert leader is not None
        self.assertGreater(leader.applier.state.config.version, 0)


class TestViolationChecks(unittest.TestCase):
    """The checks of chaos runs accept good results and detect bad ones."""

    def setUp(self) -> None:
        self.chaos = chaos.ChaosRun.__new__(chaos.ChaosRun)

    def find_violations(
        self, result: chaos.RequestResult, runs: int, model: str = "once-0@1"
    ) -> list[str]:
        self.chaos.results = [result]
        return self.chaos.find_request_violations(
            collections.Counter({result.prompt: runs}),
            {result.prompt: {model}} if runs else {},
        )

    def make_result(self, verdict: str, text: str = "") -> chaos.RequestResult:
        return chaos.RequestResult("keyed 1", "once-0@1", 2, verdict, text, "")

    def test_expected_text_is_accepted(self) -> None:
        result = self.make_result("ran")
        result = self.make_result("ran", chaos.make_expected_text(result))
        self.assertEqual([], self.find_violations(result, 1))

    def test_violations_are_found(self) -> None:
        violating = {
            "request ran twice": (self.make_result("ran"), 2, "once-0@1"),
            "request ran after verdict not_run": (
                self.make_result("not_run"),
                1,
                "once-0@1",
            ),
            "request ran on another adapter": (
                self.make_result("ran"),
                1,
                "once-1@1",
            ),
            "wrong response text": (
                self.make_result("ran", "[x]"),
                1,
                "once-0@1",
            ),
        }
        for name, (result, runs, model) in violating.items():
            with self.subTest(name):
                self.assertNotEqual(
                    [], self.find_violations(result, runs, model)
                )

    def test_session_step_before_its_predecessor_is_found(self) -> None:
        step = chaos.RequestResult(
            "s step 2", "m", 1, "ran", "", "", "", "s", 2
        )
        runs = collections.Counter({"s step 2": 1})
        self.assertNotEqual(
            [], chaos.find_session_order_violations([step], runs)
        )
