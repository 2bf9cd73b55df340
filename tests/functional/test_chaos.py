"""Requests of every kind while parts fail, checked against what ran."""

import collections
import unittest

from hemlockkeel_bench import chaos

REQUESTS = 72


class TestChaos(unittest.TestCase):
    """Short fixed runs; ``make soak`` runs longer ones."""

    def test_promises_hold(self) -> None:
        for seed in (3, 4):
            with self.subTest(seed=seed):
                figures, faults = chaos.measure(seed, REQUESTS)
                self.assertEqual([], faults, figures)
                self.assertGreater(figures["verdicts"].get("ran", 0), 0)


class TestCheck(unittest.TestCase):
    """The check of chaos runs itself."""

    def setUp(self) -> None:
        self.chaos = chaos.ChaosRun.__new__(chaos.ChaosRun)

    def check(
        self, told: chaos.RequestResult, runs: int, model: str = "once-0@1"
    ) -> list[str]:
        self.chaos.results = [told]
        return self.chaos.find_request_violations(
            collections.Counter({told.prompt: runs}),
            {told.prompt: {model}} if runs else {},
        )

    def make_told(self, verdict: str, text: str = "") -> chaos.RequestResult:
        return chaos.RequestResult("keyed 1", "once-0@1", 2, verdict, text, "")

    def test_right_answer_passes(self) -> None:
        told = self.make_told("ran")
        told = self.make_told("ran", chaos.make_expected_text(told))
        self.assertEqual([], self.check(told, 1))

    def test_broken_promises_are_found(self) -> None:
        broken = {
            "ran twice": (self.make_told("ran"), 2, "once-0@1"),
            "not run that ran": (self.make_told("not_run"), 1, "once-0@1"),
            "other adapter": (self.make_told("ran"), 1, "once-1@1"),
            "wrong answer": (self.make_told("ran", "[x]"), 1, "once-0@1"),
        }
        for name, (told, runs, model) in broken.items():
            with self.subTest(name):
                self.assertNotEqual([], self.check(told, runs, model))

    def test_session_out_of_order_is_found(self) -> None:
        step = chaos.RequestResult(
            "s step 2", "m", 1, "ran", "", "", "", "s", 2
        )
        runs = collections.Counter({"s step 2": 1})
        self.assertNotEqual(
            [], chaos.find_session_order_violations([step], runs)
        )
