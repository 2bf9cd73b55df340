"""Merging of target announcements and the choice of usable targets."""

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
    """Return an announcement of target t1 with changed fields."""
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
    """Reordered and repeated announcements, restarts and tombstones."""

    def make_table(self) -> records.TargetTable:
        return records.TargetTable(expire_after_s=60.0)

    def test_announcement_with_lower_sequence_is_ignored(self) -> None:
        table = self.make_table()
        table.merge(make_record(sequence=5, state=LEAVING), 0.0)
        self.assertFalse(table.merge(make_record(sequence=4), 1.0))
        self.assertIs(table.by_id["t1"].state, LEAVING)

    def test_restart_with_the_same_id_replaces_the_tombstone(self) -> None:
        table = self.make_table()
        table.merge(make_record(sequence=50, state=GONE), 0.0)
        self.assertTrue(
            table.merge(make_record(sequence=1, started_at_ms=200), 1.0)
        )
        self.assertIs(table.by_id["t1"].state, READY)

    def test_announcement_after_the_tombstone_is_ignored(self) -> None:
        table = self.make_table()
        table.merge(make_record(sequence=3), 0.0)
        table.mark_gone(records.InstanceId("t1"), 1.0)
        self.assertFalse(table.merge(make_record(sequence=9), 2.0))

    def test_tombstone_of_an_unknown_target_ends_it_elsewhere(self) -> None:
        """A withdrawal may reach a member before any announcement does."""
        withdrawn = self.make_table()
        gone = withdrawn.mark_gone(records.InstanceId("t1"), 0.0)
        self.assertIs(gone.state, GONE)
        for started_at_ms in (0, 100):
            other = self.make_table()
            other.merge(
                make_record(started_at_ms=started_at_ms, sequence=5), 0.0
            )
            self.assertTrue(other.merge(gone, 1.0))
            self.assertFalse(other.merge(gone, 1.0))
            merged = other.by_id[records.InstanceId("t1")]
            self.assertIs(merged.state, GONE)
            self.assertEqual(merged.address, "10.0.0.1:80")
            late = make_record(started_at_ms=started_at_ms, sequence=6)
            self.assertFalse(other.merge(late, 2.0))
        # Targets that do not report their start never reuse an id.
        self.assertFalse(withdrawn.merge(make_record(started_at_ms=0), 1.0))

    def test_every_order_of_arrival_has_the_same_result(self) -> None:
        announcements = [
            make_record(sequence=1),
            make_record(sequence=2, state=LEAVING),
            make_record(sequence=3, state=GONE),
            make_record(sequence=1, started_at_ms=200),
        ]
        results = set()
        for order in itertools.permutations(announcements):
            table = self.make_table()
            for record in order:
                table.merge(record, 0.0)
            known = table.by_id[records.InstanceId("t1")]
            results.add((known.started_at_ms, known.sequence, known.state))
        self.assertEqual(results, {(200, 1, READY)})


class TestUsable(unittest.TestCase):
    """Targets that may receive requests."""

    def test_silent_and_superseded_targets_are_not_usable(self) -> None:
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

    def test_without_start_times_the_later_announcement_wins(self) -> None:
        table = records.TargetTable(
            expire_after_s=60.0, superseded_after_s=1.8
        )
        service = records.ServiceName("s")
        table.merge(make_record(started_at_ms=0), 0.0)
        table.merge(make_record(instance_id="t2", started_at_ms=0), 2.0)
        usable = table.find_usable(service, 2.0, 7.2)
        self.assertEqual([r.instance_id for r in usable], ["t2"])

    def test_late_heartbeat_of_an_ended_process_supersedes_none(self) -> None:
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

    def test_ages_of_announcements(self) -> None:
        table = records.TargetTable(expire_after_s=60.0)
        record = make_record()
        table.merge(record, 3.0)
        self.assertEqual(table.get_ages([record], 10.0), [7.0])

    def test_silent_targets_expire(self) -> None:
        table = records.TargetTable(expire_after_s=60.0)
        table.merge(make_record(), 0.0)
        self.assertEqual(table.expire(61.0), ["t1"])
        self.assertEqual(table.by_id, {})


class TestConvergence(unittest.TestCase):
    """Tables that merge the same announcements are equal."""

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
    def test_shuffled_announcements(self, items, rng) -> None:  # type: ignore
        states = {}
        for started_at_ms, sequence, state in items:
            # A process uses each sequence number once.
            states.setdefault((started_at_ms, sequence), state)
        announcements = [
            make_record(
                started_at_ms=started_at_ms, sequence=sequence, state=state
            )
            for (started_at_ms, sequence), state in states.items()
        ]
        tables = []
        for _ in range(2):
            rng.shuffle(announcements)
            table = records.TargetTable(expire_after_s=60.0)
            for record in announcements:
                table.merge(record, 0.0)
            tables.append(table.by_id)
        self.assertEqual(tables[0], tables[1])
