"""Accounting of what clients make a process hold."""

import dataclasses
import unittest

from hemlockkeel._internal.coordinator import decoding
from hemlockkeel._internal.utils import process_budget

MIB = 1024 * 1024
LIMITS = process_budget.ProcessLimits(96 * MIB, 160)


@dataclasses.dataclass(eq=False)
class FakeOwner(process_budget.Owner):
    """Records that it was shed."""

    unsent: int = 0
    unread: bool = False
    sheds: int = 0

    def shed(self) -> None:
        self.sheds += 1

    def get_unsent_bytes(self) -> int:
        return self.unsent

    def has_unread_bytes(self) -> bool:
        return self.unread


class BudgetCase(unittest.TestCase):
    """A budget of 40 MiB with a clock that tests set."""

    def setUp(self) -> None:
        self.now = 0.0
        self.budget = process_budget.ProcessBudget(LIMITS, lambda: self.now)

    def hold(
        self, activity: process_budget.Activity, mib: float, unsent: int = 0
    ) -> tuple[FakeOwner, process_budget.Holder]:
        owner = FakeOwner(unsent)
        holder = self.budget.add(owner)
        self.budget.set_activity(holder, activity)
        self.budget.resize(holder, int(mib * MIB))
        return owner, holder

    def receive(self, mib: float) -> FakeOwner:
        """Hold an incomplete request."""
        return self.hold(process_budget.Activity.RECEIVING, mib)[0]


class TestLimits(unittest.TestCase):
    """What the settings of a process allow."""

    def test_budget_leaves_room_for_the_process_itself(self) -> None:
        for memory, expected in ((96, 40), (152, 75), (200, 104), (296, 161)):
            limits = process_budget.ProcessLimits(memory * MIB)
            self.assertEqual(expected, limits.budget_bytes // MIB)

    def test_connections_leave_descriptors_for_targets(self) -> None:
        share = process_budget.CALLER_SHARE
        self.assertEqual(80, LIMITS.get_connections(share))

    def test_nothing_is_limited_without_settings(self) -> None:
        limits = process_budget.ProcessLimits()
        self.assertEqual(float("inf"), limits.get_connections(0.5))
        self.assertEqual(1024 * MIB, limits.budget_bytes)


class TestShedding(BudgetCase):
    """Who gives way when the memory is exhausted."""

    def test_largest_of_equally_old_requests_is_shed(self) -> None:
        small, large = self.receive(16), self.receive(20)
        self.receive(8)
        self.assertEqual((0, 1), (small.sheds, large.sheds))
        self.assertEqual(24 * MIB, self.budget.used_bytes)

    def test_slow_request_is_shed_before_a_larger_fast_one(self) -> None:
        slow = self.receive(10)
        self.now = 10.0
        fast = self.receive(20)
        self.receive(15)
        self.assertEqual((1, 0), (slow.sheds, fast.sheds))

    def test_running_request_is_never_shed(self) -> None:
        running, _ = self.hold(process_budget.Activity.RUNNING, 39)
        self.now = 100.0
        incomplete = self.receive(4)
        self.assertEqual((0, 1), (running.sheds, incomplete.sheds))

    def test_small_requests_are_shed_last(self) -> None:
        smalls = [self.receive(1 / 32) for _ in range(8)]
        self.now = 1000.0
        large = self.receive(40)
        self.assertEqual(1, large.sheds)
        self.assertEqual(0, sum(small.sheds for small in smalls))

    def test_unread_response_is_shed_only_once_it_stalls(self) -> None:
        waiting = process_budget.Activity.WAITING
        stalled, _ = self.hold(waiting, 30, 30)
        read, _ = self.hold(waiting, 5, 5)
        _, running = self.hold(process_budget.Activity.RUNNING, 0)
        self.assertFalse(self.budget.try_resize(running, 10 * MIB))
        self.now += process_budget.SLOW_AFTER_S
        read.unsent = 4
        self.assertTrue(self.budget.try_resize(running, 10 * MIB))
        self.assertEqual((1, 0), (stalled.sheds, read.sheds))

    def test_refused_memory_is_not_counted(self) -> None:
        self.hold(process_budget.Activity.RUNNING, 39)
        _, holder = self.hold(process_budget.Activity.RUNNING, 0)
        self.assertFalse(self.budget.try_resize(holder, 2 * MIB))
        self.assertEqual(39 * MIB, self.budget.used_bytes)

    def test_removed_holder_no_longer_counts(self) -> None:
        _, holder = self.hold(process_budget.Activity.RUNNING, 39)
        self.budget.remove(holder)
        self.budget.resize(holder, MIB)
        self.assertEqual(0, self.budget.used_bytes)


class TestAdmission(BudgetCase):
    """Which bodies are refused before they are read."""

    def test_last_part_is_for_small_requests(self) -> None:
        self.hold(process_budget.Activity.RUNNING, 36)
        self.assertFalse(self.budget.make_room(MIB))
        self.assertTrue(self.budget.make_room(1000))

    def test_only_slow_requests_make_room_for_new_ones(self) -> None:
        incomplete = self.receive(36)
        self.assertFalse(self.budget.make_room(MIB))
        self.now += process_budget.SLOW_AFTER_S
        self.assertTrue(self.budget.make_room(MIB))
        self.assertEqual(1, incomplete.sheds)


class TestConnectionLimit(BudgetCase):
    """Which connection is closed for a new one."""

    def setUp(self) -> None:
        super().setUp()
        self.limit = process_budget.ConnectionLimit(self.budget, 2)

    def connect(self, activity: process_budget.Activity) -> FakeOwner:
        owner, holder = self.hold(activity, 0)
        self.limit.holders.add(holder)
        self.now += 1.0
        return owner

    def test_longest_waiting_one_is_closed(self) -> None:
        first = self.connect(process_budget.Activity.WAITING)
        second = self.connect(process_budget.Activity.WAITING)
        self.assertTrue(self.limit.make_room())
        self.assertEqual((1, 0), (first.sheds, second.sheds))

    def test_one_with_an_unread_request_is_kept(self) -> None:
        first = self.connect(process_budget.Activity.WAITING)
        first.unread = True
        second = self.connect(process_budget.Activity.WAITING)
        self.assertTrue(self.limit.make_room())
        self.assertEqual((0, 1), (first.sheds, second.sheds))

    def test_running_ones_are_kept(self) -> None:
        owners = [
            self.connect(process_budget.Activity.RUNNING) for _ in range(2)
        ]
        self.assertFalse(self.limit.make_room())
        self.assertEqual(0, sum(owner.sheds for owner in owners))

    def test_slow_incomplete_request_makes_room_for_later_ones(self) -> None:
        slow = self.connect(process_budget.Activity.RECEIVING)
        self.connect(process_budget.Activity.RUNNING)
        self.assertFalse(self.limit.make_room())
        self.assertEqual(1, slow.sheds)


class TestDecodedSize(unittest.TestCase):
    """Estimates that are too low would let a dense call take all memory."""

    def test_dense_objects_count_as_what_they_take(self) -> None:
        # 466,033 of these take about 300 bytes each when decoded.
        body = b'{"a":{}},'
        self.assertGreaterEqual(decoding.estimate_decoded_bytes(body), 300)
