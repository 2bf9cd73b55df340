"""Tests of what an entry remembers of requests by their traits."""

import random
import unittest

from hemlockkeel._internal.discovery import traits
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.relay import request_memory

PART = traits.make_part("p")
CONTENT = ids.Trait("c")


class TestRequestMemory(unittest.TestCase):
    """Losses, failed trials and common traits."""

    def setUp(self) -> None:
        self.memory = request_memory.RequestMemory(random.Random(1))

    def test_losses_at_the_same_time_count_once_for_a_shared_trait(
        self,
    ) -> None:
        for trait, expected in ((PART, 1), (CONTENT, 3)):
            for at in (1.0, 1.1, 1.2):
                self.memory.record_loss(trait, at)
            self.assertEqual(len(self.memory.get_losses(trait)), expected)

    def test_crashes_of_requests_sent_before_the_blame_are_no_trials(
        self,
    ) -> None:
        self.memory.record_crash(PART, 0.5)
        self.memory.track_trials({PART}, 1.0)
        for at in (1.0, 1.3, 1.9):
            self.memory.record_crash(PART, at)
        self.assertEqual(self.memory.get_trials(PART).failed, 0)
        self.memory.record_trial(PART, 8.0)
        self.memory.record_crash(PART, 9.0)
        self.memory.track_trials({PART, CONTENT}, 9.0)
        self.assertEqual(self.memory.get_trials(PART).failed, 1)
        self.assertEqual(self.memory.get_trials(PART).sent_at, 8.0)
        self.memory.track_trials({CONTENT}, 9.0)
        self.assertEqual(self.memory.get_trials(PART).failed, 0)

    def test_trait_of_most_recent_requests_is_common(self) -> None:
        shared = traits.RequestTraits(CONTENT, (PART,))
        other = traits.RequestTraits(CONTENT, (traits.make_part("q"),))
        self.memory.record_arrival(shared)
        self.assertFalse(self.memory.is_common(PART))
        for _ in range(request_memory.MIN_COMMON_SAMPLE):
            self.memory.record_arrival(shared)
            self.memory.record_arrival(traits.RequestTraits(CONTENT))
        self.assertTrue(self.memory.is_common(PART))
        for _ in range(request_memory.RECENT_REQUESTS):
            self.memory.record_arrival(other)
        self.assertFalse(self.memory.is_common(PART))
        self.assertNotIn(PART, self.memory.recent_counts)

    def test_many_contents_do_not_displace_shared_traits(self) -> None:
        self.memory.record_completed(PART, 0.0)
        for number in range(request_memory.MAX_REMEMBERED + 1):
            self.memory.record_completed(ids.Trait(str(number)), 0.0)
        self.assertTrue(self.memory.has_completed(PART, 1.0))
        self.assertFalse(self.memory.has_completed(ids.Trait("0"), 1.0))
