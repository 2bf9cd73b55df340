"""Tests of the permits to send to targets that limit their rate."""

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from hemlockkeel._internal.coordinator import send_permits
from hemlockkeel._internal.discovery import records

KEY = records.IncarnationKey(records.InstanceId("t"), 1)
# What a target may get: a multiple of its limit and some more in each window.
WINDOW_S = 4.0
LIMIT_RATIO = 1.5
EXTRA_REQUESTS = 5


def make_permits() -> send_permits.SendPermits:
    """Return the permits of one control member."""
    return send_permits.SendPermits(random.Random(1))


class TestSendPermits(unittest.TestCase):
    """How many permits are issued, and to whom."""

    @given(
        strategies.floats(0.0, 50.0),
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 0.5), strategies.integers(0, 1)
            ),
            max_size=300,
        ),
    )
    @settings(derandomize=True, max_examples=100, deadline=None)
    def test_two_members_stay_within_the_limit(
        self, limit: float, asked: list[tuple[float, int]]
    ) -> None:
        members = [make_permits(), make_permits()]
        now = 0.0
        granted: list[float] = []
        for pause_s, member in asked:
            now += pause_s
            permit = members[member].acquire(KEY, limit, "e", now)
            if permit.granted:
                granted.append(now)
        allowed = LIMIT_RATIO * limit * WINDOW_S + EXTRA_REQUESTS
        for begin in granted:
            count = sum(begin <= at <= begin + WINDOW_S for at in granted)
            self.assertLessEqual(count, allowed)

    def test_most_of_the_limit_can_be_used(self) -> None:
        permits = make_permits()
        granted = sum(
            permits.acquire(KEY, 5.0, "e", n * 0.02).granted
            for n in range(1000)
        )
        self.assertGreaterEqual(granted, 0.65 * 5.0 * 20.0)

    def test_entries_that_wait_share_the_next_permits(self) -> None:
        permits = make_permits()
        waits = [
            permits.acquire(KEY, 2.0, f"e{n}", 0.0).wait_s for n in range(9)
        ]
        self.assertEqual(waits[0], 0.0)
        self.assertGreater(min(waits[1:]), 0.0)
        self.assertLessEqual(max(waits), send_permits.MAX_WAIT_S)
        self.assertEqual(len(set(waits[1:])), 8)

    def test_lifted_limit_grants_everything(self) -> None:
        permits = make_permits()
        self.assertTrue(permits.set_limit(KEY, 1.0, 0.0))
        self.assertFalse(permits.set_limit(KEY, 2.0, 0.0))
        self.assertEqual(len(list(permits.list_notices())), 1)
        self.assertTrue(permits.set_limit(KEY, None, 1.0))
        self.assertFalse(permits.set_limit(KEY, None, 1.0))
        self.assertFalse(list(permits.list_notices()))
        for _ in range(9):
            permit = permits.acquire(KEY, 1.0, "e", 1.0)
            self.assertTrue(permit.granted)
            self.assertIsNone(permit.limit)

    def test_entries_are_told_of_a_flapping_limit_once_a_second(
        self,
    ) -> None:
        permits = make_permits()
        told = sum(
            permits.set_limit(KEY, 1.0 if n % 2 else None, n * 0.01)
            for n in range(1000)
        )
        self.assertLessEqual(told, 11)
        # The last change was to a limit.
        permits.set_limit(KEY, None, 10.0)
        permits.set_limit(KEY, 1.0, 10.1)
        permits.set_limit(KEY, None, 10.2)
        delayed = list(permits.take_delayed_notices(11.5))
        self.assertLessEqual(len(delayed), 1)
        self.assertFalse(list(permits.take_delayed_notices(11.6)))

    def test_unused_limits_are_forgotten(self) -> None:
        permits = make_permits()
        permits.set_limit(KEY, 1.0, 0.0)
        permits.expire(send_permits.RETENTION_S)
        self.assertTrue(permits.buckets)
        permits.expire(send_permits.RETENTION_S + 1.0)
        self.assertFalse(permits.buckets)
