"""Announcements merge alike in any order."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from hemlockkeel._internal.discovery import records

READY = records.TargetState.READY
LEAVING = records.TargetState.LEAVING
GONE = records.TargetState.GONE


def make_record(**changes: object) -> records.TargetRecord:
    """Return an announcement."""
    record = records.TargetRecord(
        records.InstanceId("t1"),
        records.ServiceName("s"),
        "10.0.0.1:80",
        "dc1",
        READY,
        sequence=1,
        started_at_ms=100,
    )
    return msgspec.structs.replace(record, **changes)


class TestMerge(unittest.TestCase):
    """Order, repeats, restarts and ends."""

    def make_table(self) -> records.TargetTable:
        return records.TargetTable(expire_after_s=60.0)

    def test_late_announcement_changes_nothing(self) -> None:
        table = self.make_table()
        table.merge(make_record(sequence=5, state=LEAVING), 0.0)
        self.assertFalse(table.merge(make_record(sequence=4), 1.0))
        self.assertIs(table.by_id["t1"].state, LEAVING)

    def test_new_start_under_the_same_id_counts_anew(self) -> None:
        table = self.make_table()
        table.merge(make_record(sequence=50, state=GONE), 0.0)
        self.assertTrue(
            table.merge(make_record(sequence=1, started_at_ms=200), 1.0)
        )
        self.assertIs(table.by_id["t1"].state, READY)

    def test_ended_start_never_returns(self) -> None:
        table = self.make_table()
        table.merge(make_record(sequence=3), 0.0)
        table.mark_gone(records.InstanceId("t1"), 1.0)
        self.assertFalse(table.merge(make_record(sequence=9), 2.0))

    def test_end_of_an_unknown_target_is_passed_on(self) -> None:
        """A member that never heard of it may be told first."""
        told = self.make_table()
        gone = told.mark_gone(records.InstanceId("t1"), 0.0)
        self.assertIs(gone.state, GONE)
        for born in (0, 100):
            knows = self.make_table()
            knows.merge(make_record(started_at_ms=born, sequence=5), 0.0)
            self.assertTrue(knows.merge(gone, 1.0))
            self.assertFalse(knows.merge(gone, 1.0))
            known = knows.by_id[records.InstanceId("t1")]
            self.assertIs(known.state, GONE)
            self.assertEqual(known.address, "10.0.0.1:80")
            late = make_record(started_at_ms=born, sequence=6)
            self.assertFalse(knows.merge(late, 2.0))
        # Ids of targets that do not tell their birth are never used again.
        self.assertFalse(told.merge(make_record(started_at_ms=0), 1.0))

    def test_order_does_not_matter(self) -> None:
        announcements = [
            make_record(sequence=1),
            make_record(sequence=2, state=LEAVING),
            make_record(sequence=3, state=GONE),
            make_record(sequence=1, started_at_ms=200),
        ]
        outcomes = set()
        for order in itertools.permutations(announcements):
            table = self.make_table()
            for record in order:
                table.merge(record, 0.0)
            known = table.by_id[records.InstanceId("t1")]
            outcomes.add((known.started_at_ms, known.sequence, known.state))
        self.assertEqual(outcomes, {(200, 1, READY)})


class TestUsable(unittest.TestCase):
    """Which targets may get new work."""

    def test_leaving_silent_and_replaced_targets_get_none(self) -> None:
        table = records.TargetTable(expire_after_s=60.0)
        service = records.ServiceName("s")
        table.merge(make_record(), 0.0)
        self.assertEqual(len(table.find_usable(service, 1.0, 5.0)), 1)
        self.assertEqual(table.find_usable(service, 6.0, 5.0), [])
        other = make_record(
            instance_id="t2", service="other", started_at_ms=300, sequence=1
        )
        table.merge(other, 1.0)
        self.assertEqual(table.find_usable(service, 1.0, 5.0), [])

    def test_start_without_a_birth_is_replaced_by_who_is_heard(self) -> None:
        table = records.TargetTable(
            expire_after_s=60.0, superseded_after_s=1.8
        )
        service = records.ServiceName("s")
        table.merge(make_record(started_at_ms=0), 0.0)
        table.merge(make_record(instance_id="t2", started_at_ms=0), 2.0)
        usable = table.find_usable(service, 2.0, 7.2)
        self.assertEqual([r.instance_id for r in usable], ["t2"])

    def test_late_heartbeat_of_an_old_start_replaces_nobody(self) -> None:
        table = records.TargetTable(
            expire_after_s=60.0, superseded_after_s=1.8
        )
        service = records.ServiceName("s")
        table.merge(make_record(instance_id="t2", started_at_ms=0), 0.0)
        table.merge(make_record(started_at_ms=0), 1.0)
        usable = table.find_usable(service, 1.0, 7.2)
        self.assertIn("t2", [r.instance_id for r in usable])
        for at in (1.2, 2.4, 3.6):
            beat = make_record(
                instance_id="t2", started_at_ms=0, sequence=int(at * 10)
            )
            table.merge(beat, at)
        usable = table.find_usable(service, 3.6, 7.2)
        self.assertEqual([r.instance_id for r in usable], ["t2"])

    def test_age_of_an_announcement_counts(self) -> None:
        table = records.TargetTable(expire_after_s=60.0)
        record = make_record()
        table.merge(record, 3.0)
        self.assertEqual(table.get_ages([record], 10.0), [7.0])

    def test_old_targets_are_forgotten(self) -> None:
        table = records.TargetTable(expire_after_s=60.0)
        table.merge(make_record(), 0.0)
        self.assertEqual(table.expire(61.0), ["t1"])
        self.assertEqual(table.by_id, {})


class TestConvergence(unittest.TestCase):
    """Two tables that saw the same announcements believe the same."""

    @hypothesis.settings(max_examples=100, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 3),
                strategies.integers(1, 4),
                strategies.sampled_from([READY, LEAVING, GONE]),
            ),
            max_size=8,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_shuffled(self, items, rng) -> None:  # type: ignore
        seen = {}
        for born, sequence, state in items:
            # One start says one thing under one sequence number.
            seen.setdefault((born, sequence), state)
        announcements = [
            make_record(started_at_ms=born, sequence=sequence, state=state)
            for (born, sequence), state in seen.items()
        ]
        tables = []
        for _ in range(2):
            rng.shuffle(announcements)
            table = records.TargetTable(expire_after_s=60.0)
            for record in announcements:
                table.merge(record, 0.0)
            tables.append(table.by_id)
        self.assertEqual(tables[0], tables[1])
