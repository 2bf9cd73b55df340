"""Tests of the choice among plain targets that differ in speed."""

import functools
import random
import unittest

from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.policy import engine_speed
from hemlockkeel._internal.policy import speed_sharing
from hemlockkeel._internal.policy import target_speed
from tests.lib import plain_choosers
from tests.lib import plain_load

ENTRIES = 42
# The target that is slow by 7.5 from 15 s to 45 s, while it reports health.
SLOW = 3
# Most that a slow target may get, and least that a recovered one has to get,
# as shares of all requests: a fifth of an equal share.
SMALL_SHARE = 0.25 / 5
RATES_PER_S = (35.0, 90.0)
SEEDS = (1, 2)


@functools.cache
def play(
    name: str, rate_per_s: float, knee: float = plain_load.SLOTS
) -> plain_load.Result:
    """Return the results of one way to choose targets, over all seeds."""
    answers = []
    for seed in SEEDS:
        targets = plain_choosers.make_targets(knee)
        choosers = plain_choosers.make_choosers(
            name, targets, ENTRIES, random.Random(seed)
        )
        answers += plain_load.play(
            targets, choosers, rate_per_s, 60.0, seed
        ).answers
    return plain_load.Result(answers)


class TestEstimate(unittest.TestCase):
    """Estimate of one target's service time."""

    def setUp(self) -> None:
        self.estimate = target_speed.SpeedEstimate()

    def respond(self, response_s: float, now: float) -> None:
        self.estimate.record_response(response_s, 6, now)

    def test_unknown_target_is_expected_to_be_as_fast_as_others(self) -> None:
        self.assertEqual(self.estimate.expect_service_s(0.03, 1.0), 0.03)

    def test_slow_target_is_noticed_after_two_responses(self) -> None:
        for index in range(10):
            self.respond(0.02, index)
        self.respond(0.15, 10.0)
        self.respond(0.15, 10.1)
        self.assertGreater(self.estimate.expect_service_s(0.02, 10.1), 0.1)
        self.respond(0.02, 10.2)
        self.assertGreater(self.estimate.expect_service_s(0.02, 10.2), 0.08)

    def test_slow_target_is_tried_again_once_its_estimate_is_old(self) -> None:
        self.respond(0.15, 0.0)
        self.assertLess(self.estimate.expect_service_s(0.02, 15.0), 0.024)
        self.respond(0.02, 15.0)
        self.assertLess(self.estimate.expect_service_s(0.02, 15.0), 0.04)

    def test_queue_is_not_taken_for_slowness(self) -> None:
        self.estimate.record_report(13, None, 0.0)
        self.respond(0.06, 0.0)
        self.assertLessEqual(self.estimate.service_s, 0.03)

    def test_requests_without_a_response_count(self) -> None:
        """A target that answers nothing in time never gives a sample."""
        self.respond(0.02, 0.0)
        self.estimate.record_no_response(0.01, 0.1)
        self.assertEqual(self.estimate.service_s, 0.02)
        self.estimate.record_no_response(0.7, 0.2)
        self.assertGreater(self.estimate.service_s, 0.3)

    def test_reported_slowdown_is_believed_for_a_moment(self) -> None:
        self.estimate.record_report(0, 1.0, 0.0)
        self.respond(0.02, 0.0)
        self.estimate.record_report(0, 2.5, 1.0)
        soon = self.estimate.expect_service_s(0.02, 1.0)
        later = self.estimate.expect_service_s(0.02, 1.5)
        self.assertGreater(soon, 1.5 * later)
        self.assertAlmostEqual(later, 0.02, delta=0.001)

    def test_invalid_slowdown_is_bounded(self) -> None:
        self.estimate.record_report(0, 0.0, 0.0)
        self.respond(0.02, 0.0)
        self.assertGreater(self.estimate.expect_service_s(0.02, 0.1), 0.0)


class TestEngineSpeed(unittest.TestCase):
    """Estimate of engines that take longer than expected."""

    def record(self, *ratios: float) -> engine_speed.EngineSpeed:
        speed = engine_speed.EngineSpeed()
        for ratio in ratios:
            speed.record(0.24 * ratio, 0.24, 0.0)
        return speed

    def test_slow_engine_costs_more_and_is_tried_again(self) -> None:
        usual = engine_speed.get_usual_ratio(
            [self.record(1.2, 1.2, 1.2)] * 5 + [self.record(7.5, 7.5, 7.5)]
        )
        slow = self.record(7.5, 7.5, 7.5)
        self.assertGreater(slow.get_factor(usual, 0.0), 5.0)
        self.assertLess(slow.get_factor(usual, 20.0), 1.3)

    def test_queues_of_healthy_engines_make_no_difference(self) -> None:
        """A load from the adapter store costs more than a short queue."""
        self.assertEqual(self.record(1.8, 1.2, 2.4).get_factor(1.0, 0.0), 1.0)
        self.assertEqual(self.record(8.0, 8.0).get_factor(1.0, 0.0), 1.0)

    def test_engines_that_are_all_slower_than_the_prior_are_equal(
        self,
    ) -> None:
        speeds = [self.record(3.0, 3.0, 3.0) for _ in range(4)]
        usual = engine_speed.get_usual_ratio(speeds)
        self.assertEqual(speeds[0].get_factor(usual, 0.0), 1.0)

    def test_short_prompts_say_nothing(self) -> None:
        speed = engine_speed.EngineSpeed()
        speed.record(1.0, 0.01, 0.0)
        self.assertEqual(speed.samples, 0)


class TestSpeedNotices(unittest.TestCase):
    """What entries tell each other of targets."""

    def setUp(self) -> None:
        self.notices: speed_sharing.SpeedNotices[str] = (
            speed_sharing.SpeedNotices()
        )

    def test_slow_target_is_told_once_and_repeated_when_confirmed(
        self,
    ) -> None:
        self.assertFalse(self.notices.is_news("a", 1.2, 1.2, 0.0))
        self.assertTrue(self.notices.is_news("a", 7.0, 7.0, 0.0))
        self.assertFalse(self.notices.is_news("a", 7.0, 7.0, 0.5))
        self.assertTrue(self.notices.is_news("a", 7.0, 7.0, 5.0))
        self.assertTrue(self.notices.is_news("a", 1.1, 1.1, 5.1))
        self.assertFalse(self.notices.is_news("a", 1.1, 1.1, 9.0))

    def test_crowded_target_is_not_called_slow(self) -> None:
        """Requests that slow each other down look like a slow target."""
        self.assertFalse(self.notices.is_news("a", 7.0, 1.5, 0.0))

    def test_most_targets_stay_in_use(self) -> None:
        """An entry that believes all notices has no target left."""
        targets = ["a", "b", "c", "d"]
        self.assertTrue(self.notices.may_adopt("a", 7.0, targets))
        self.notices.record("a", 7.0, 0.0)
        self.assertTrue(self.notices.may_adopt("a", 7.0, targets))
        self.assertFalse(self.notices.may_adopt("b", 7.0, targets))
        self.assertTrue(self.notices.may_adopt("b", 1.0, targets))

    def test_bytes_are_bounded_at_the_largest_scale(self) -> None:
        """2,300 targets that change every second at 480 entries."""
        budget = speed_sharing.ByteBudget()
        frame = len(
            link.encode_frame(
                messages.SpeedNotice(
                    target="plain-service-0000-abcdefgh",
                    started_at_ms=1_700_000_000_000,
                    ratio=7.5,
                )
            )
        )
        spent = sum(
            480 * frame
            for second in range(600)
            for _ in range(2300)
            if budget.try_spend(480 * frame, second)
        )
        self.assertGreater(spent, 0)
        self.assertLessEqual(
            spent,
            600 * speed_sharing.BYTES_PER_S + speed_sharing.MAX_BURST_BYTES,
        )


class TestPlainLoad(unittest.TestCase):
    """What callers get while targets differ in speed."""

    def test_requests_are_on_time_beside_a_slow_target(self) -> None:
        """99% are on time, with the fourth figure of reports or without it."""
        for rate_per_s in RATES_PER_S:
            for name in ("estimate", "estimate, 3 figures"):
                with self.subTest(rate_per_s=rate_per_s, name=name):
                    result = play(name, rate_per_s)
                    self.assertLessEqual(result.get_p99_s(), plain_load.SLO_S)
                    self.assertGreater(
                        result.get_share_on_time(),
                        play("least loaded", rate_per_s).get_share_on_time(),
                    )

    def test_notices_between_entries_improve_what_callers_get(self) -> None:
        for rate_per_s in RATES_PER_S:
            for knee in (float(plain_load.SLOTS), 2.0):
                with self.subTest(rate_per_s=rate_per_s, knee=knee):
                    shared = play(plain_choosers.SHARED, rate_per_s, knee)
                    alone = play("estimate", rate_per_s, knee)
                    self.assertGreater(
                        shared.get_share_on_time(), alone.get_share_on_time()
                    )
                    self.assertLessEqual(shared.get_p99_s(), plain_load.SLO_S)

    def test_slow_target_gets_little_and_comes_back(self) -> None:
        for rate_per_s in RATES_PER_S:
            with self.subTest(rate_per_s=rate_per_s):
                result = play(plain_choosers.SHARED, rate_per_s)
                slow = result.get_share_of(SLOW, 20.0, 45.0)
                self.assertLessEqual(slow, SMALL_SHARE)
                self.assertGreater(slow, 0.0)
                recovered = result.get_share_of(SLOW, 50.0, 60.0)
                self.assertGreaterEqual(recovered, SMALL_SHARE)

    def test_slow_down_before_targets_are_full(self) -> None:
        """Requests beyond two slow each other down at every target."""
        learned = play("estimate", 60.0, knee=2.0)
        loaded = play("least loaded", 60.0, knee=2.0)
        self.assertGreater(
            learned.get_share_on_time(), loaded.get_share_on_time()
        )
        self.assertLess(learned.get_p99_s(), loaded.get_p99_s())
