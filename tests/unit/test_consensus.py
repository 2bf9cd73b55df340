"""Replicated log: Raft cores under injected faults, and a member's storage."""

import io
import os
import pathlib
import random
import tempfile
import unittest
import unittest.mock

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import batches
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import disk as disk_module
from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.consensus import replication
from hemlockkeel._internal.consensus import storage
from hemlockkeel._internal.control import admin
from hemlockkeel._internal.control import peers
from hemlockkeel._internal.links import link
from hemlockkeel_bench import raft_simulation

POSITIONS = strategies.integers(0, 1 << 16)
CRASH_POINTS = strategies.sampled_from(list(raft_simulation.CrashPoint))


class RaftMachine(stateful.RuleBasedStateMachine):
    """Messages, crashes, partitions, repairs and proposals in any order.

    The simulated cluster checks the invariants of Raft after each step.
    """

    @stateful.initialize(
        size=strategies.sampled_from([1, 3, 5]), seed=POSITIONS
    )
    def begin(self, size: int, seed: int) -> None:
        self.cluster = raft_simulation.SimulatedCluster(
            size, random.Random(seed)
        )

    def pick(self, position: int) -> raft_simulation.SimulatedMember:
        members = list(self.cluster.members.values())
        return members[position % len(members)]

    @stateful.rule(seconds=strategies.floats(0.0, 2.0))
    def run_for_a_while(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @stateful.rule(seconds=strategies.floats(0.0, 0.5))
    def advance(self, seconds: float) -> None:
        self.cluster.advance(seconds)

    @stateful.rule(position=POSITIONS, point=CRASH_POINTS)
    def deliver(
        self, position: int, point: raft_simulation.CrashPoint
    ) -> None:
        self.cluster.deliver(position, point)

    @stateful.rule(position=POSITIONS)
    def drop_or_duplicate(self, position: int) -> None:
        if position % 2:
            self.cluster.drop(position)
        else:
            self.cluster.duplicate(position)

    @stateful.rule(position=POSITIONS)
    def propose(self, position: int) -> None:
        self.cluster.propose(position)

    @stateful.rule(position=POSITIONS)
    def crash(self, position: int) -> None:
        self.cluster.crash(self.pick(position))

    @stateful.rule(position=POSITIONS, observer=POSITIONS)
    def notice_stop(self, position: int, observer: int) -> None:
        self.cluster.notice_stop(self.pick(position), self.pick(observer))

    @stateful.rule(position=POSITIONS)
    def restart(self, position: int) -> None:
        self.cluster.restart(self.pick(position))

    @stateful.rule(position=POSITIONS)
    def isolate(self, position: int) -> None:
        self.cluster.isolate(self.pick(position).member_id)

    @stateful.rule()
    def heal(self) -> None:
        self.cluster.heal()

    @stateful.rule(position=POSITIONS)
    def compact(self, position: int) -> None:
        self.cluster.take_snapshot(self.pick(position))

    @stateful.rule(position=POSITIONS)
    def replace_disk(self, position: int) -> None:
        self.cluster.lose_and_replace_disk(self.pick(position))

    @stateful.rule()
    def repair(self) -> None:
        self.cluster.advance_replacement()

    def teardown(self) -> None:
        if hasattr(self, "cluster"):
            self.cluster.heal_and_check()


TestRaftMachine = RaftMachine.TestCase
TestRaftMachine.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class TestRandomRuns(unittest.TestCase):
    """Longer runs of the same simulation with random seeds."""

    def test_invariants_hold_and_proposals_are_committed(self) -> None:
        acknowledged = 0
        for seed in range(12):
            rng = random.Random(seed)
            cluster = raft_simulation.SimulatedCluster(rng.choice([3, 5]), rng)
            for _ in range(1500):
                raft_simulation.take_random_action(cluster)
            cluster.heal_and_check()
            acknowledged += len(cluster.acknowledged_values)
        # The runs are meaningful only if many proposals are committed.
        self.assertGreater(acknowledged, 200)

    def test_invariants_hold_with_snapshots_in_many_chunks(self) -> None:
        with unittest.mock.patch.object(
            replication, "SNAPSHOT_CHUNK_BYTES", 20
        ):
            for seed in range(100, 104):
                rng = random.Random(seed)
                cluster = raft_simulation.SimulatedCluster(3, rng)
                for _ in range(1500):
                    raft_simulation.take_random_action(cluster)
                cluster.heal_and_check()

    def test_lease_holds_while_disks_are_busy(self) -> None:
        """A busy member's reply extends a lease that it could break."""
        for seed in range(200, 206):
            rng = random.Random(seed)
            cluster = raft_simulation.SimulatedCluster(3, rng)
            for _ in range(1500):
                cluster.defer(rng.randrange(1 << 16))
                raft_simulation.take_random_action(cluster)
            cluster.heal_and_check()

    def test_lease_holds_while_ends_of_processes_are_noticed(self) -> None:
        """Who knows that the leader has ended may vote before its lease."""
        for seed in range(300, 312):
            rng = random.Random(seed)
            cluster = raft_simulation.SimulatedCluster(rng.choice([3, 5]), rng)
            for _ in range(1500):
                members = list(cluster.members.values())
                cluster.notice_stop(rng.choice(members), rng.choice(members))
                raft_simulation.take_random_action(cluster)
            cluster.heal_and_check()

    def test_unstored_votes_violate_an_invariant(self) -> None:
        """The invariant checks detect members that vote twice in a term.

        Term and vote are not stored here, so a restarted member forgets them.
        """
        store = raft_simulation.SimulatedDisk.store

        def store_without_vote(
            disk: raft_simulation.SimulatedDisk, effects: core.Effects
        ) -> None:
            effects.hard_state = None
            store(disk, effects)

        with unittest.mock.patch.object(
            raft_simulation.SimulatedDisk, "store", store_without_vote
        ):
            with self.assertRaises(exceptions.InvariantError):
                for seed in range(20):
                    cluster = raft_simulation.SimulatedCluster(
                        3, random.Random(seed)
                    )
                    for _ in range(2000):
                        raft_simulation.take_random_action(cluster)
                    cluster.heal_and_check()


class TestEndedLeader(unittest.TestCase):
    """A follower, b of a to d, whose leader's process has ended."""

    def setUp(self) -> None:
        peers = [messages.Peer(name, f"{name}:1") for name in "abcd"]
        data = core.encode_membership(messages.Membership(peers))
        log = log_module.Log()
        log.append(messages.Entry(1, 1, messages.EntryKind.MEMBERSHIP, data))
        self.raft = core.RaftCore(
            "b",
            core.PersistentState(messages.HardState(1), log),
            core.Timing(),
            random.Random(1),
            0.0,
        )
        self.receive_heartbeat(10.0)

    def receive_heartbeat(self, now: float) -> None:
        """Receive a message from the leader, a."""
        self.raft.receive(
            messages.AppendRequest(
                term=1,
                sender="a",
                receiver="b",
                previous_index=1,
                previous_term=1,
                entries=[],
                commit=1,
                sent_at=now,
            ),
            now,
        )
        self.raft.take_effects()

    def grants_vote(self, now: float) -> bool:
        """Return whether the follower would vote for another member."""
        self.raft.receive(
            messages.VoteRequest(
                term=2,
                sender="c",
                receiver="b",
                last_index=1,
                last_term=1,
                pre=True,
            ),
            now,
        )
        replies = self.raft.take_effects().outgoing
        return any(
            isinstance(reply, messages.VoteReply) and reply.granted
            for reply in replies
        )

    def test_votes_at_once_and_stands_for_election_soon(self) -> None:
        self.assertFalse(self.grants_vote(10.01))
        self.raft.record_ended("a", 10.01, 10.02)
        self.assertTrue(self.grants_vote(10.03))
        self.raft.tick(10.02 + self.raft.timing.heartbeat_s)
        self.assertIs(self.raft.state, core.State.PRE_CANDIDATE)

    def test_leader_that_has_sent_since_keeps_its_lease(self) -> None:
        """It has started again, or the attempt to connect was long ago."""
        self.raft.record_ended("a", 9.9, 10.01)
        self.assertFalse(self.grants_vote(10.02))
        self.raft.record_ended("a", 10.03, 10.04)
        self.receive_heartbeat(10.05)
        self.assertFalse(self.grants_vote(10.06))

    def test_end_of_another_member_changes_nothing(self) -> None:
        self.raft.record_ended("c", 10.01, 10.02)
        self.assertFalse(self.grants_vote(10.03))


def make_entry(index: int, term: int = 1) -> messages.Entry:
    """Return an entry whose data contains its index."""
    data = f"e{index}".encode()
    return messages.Entry(index, term, messages.EntryKind.COMMAND, data)


class TestLargeEntries(unittest.TestCase):
    """Entries whose bytes exceed what one message can hold."""

    def setUp(self) -> None:
        data = bytes(400_000)
        log = log_module.Log(
            entries=[
                messages.Entry(index, 1, messages.EntryKind.COMMAND, data)
                for index in range(1, 41)
            ]
        )
        self.replicator = replication.Replicator("m1", log, 0.1)
        self.replicator.reset(["m2"])
        self.replicator.progress["m2"].next_index = 1
        self.leader = replication.LeaderState(1, 0, None)

    def make_append(self) -> messages.AppendRequest:
        """Return the next append request."""
        self.replicator.progress["m2"].in_flight = False
        request = self.replicator.make_append("m2", self.leader, 0.0, False)
        assert isinstance(request, messages.AppendRequest)
        return request

    def test_append_request_is_bounded_in_bytes(self) -> None:
        """A lagging member refuses frames beyond the limit of its link."""
        request = self.make_append()
        encoded = node.encode_message(request)
        self.assertGreater(len(request.entries), 1)
        self.assertLess(len(encoded), link.MAX_FRAME_BYTES // 2)

    def test_entry_larger_than_the_bound_is_sent_alone(self) -> None:
        entries = self.replicator.log.entries
        entries[0] = messages.Entry(
            1, 1, messages.EntryKind.COMMAND, bytes(2_000_000)
        )
        self.assertEqual([1], [e.index for e in self.make_append().entries])


class TestEntriesInFlight(unittest.TestCase):
    """A leader with an entry for a peer that is some way off."""

    def setUp(self) -> None:
        log = log_module.Log()
        log.append(messages.Entry(1, 1, messages.EntryKind.COMMAND, b"x"))
        self.replicator = replication.Replicator("a", log, 0.1)
        self.replicator.reset(["b"])
        self.replicator.progress["b"].next_index = 1
        self.leader = replication.LeaderState(1, 0, None)

    def reply_to(self, sent_at: float) -> None:
        """Receive the reply to a heartbeat."""
        self.replicator.record_reply(
            messages.AppendReply(
                term=1,
                sender="b",
                receiver="a",
                success=True,
                index=0,
                sent_at=sent_at,
            )
        )

    def send(
        self, now: float
    ) -> messages.AppendRequest | messages.SnapshotChunk | None:
        """Return the entries that are due."""
        return self.replicator.make_append("b", self.leader, now, False)

    def test_reply_to_an_earlier_heartbeat_does_not_send_them_again(
        self,
    ) -> None:
        self.assertIsNotNone(self.send(1.01))
        self.reply_to(1.0)
        self.assertIsNone(self.send(1.02))

    def test_reply_to_a_later_heartbeat_sends_lost_ones_again(self) -> None:
        self.assertIsNotNone(self.send(1.01))
        self.reply_to(1.1)
        self.assertIsNotNone(self.send(1.12))


class TestSnapshotTransfer(unittest.TestCase):
    """A snapshot in several chunks for a member that lags."""

    def test_newer_snapshot_does_not_restart_the_transfer(self) -> None:
        """A member could never catch up while snapshots are frequent."""
        size = 3 * replication.SNAPSHOT_CHUNK_BYTES
        members = messages.Membership([])
        replicator = replication.Replicator(
            "m1", log_module.Log(1000, 1), heartbeat_s=0.1
        )
        replicator.reset(["m2"])
        progress = replicator.progress["m2"]
        progress.next_index = 1
        received = bytearray()
        for index in range(100, 110):
            newest = messages.SnapshotMeta(index, 1, members), bytes(size)
            leader = replication.LeaderState(1, 1000, newest)
            chunk = replicator.make_append("m2", leader, 0.0, False)
            assert isinstance(chunk, messages.SnapshotChunk)
            self.assertEqual(100, chunk.meta.index)
            self.assertEqual(len(received), chunk.offset)
            received += chunk.data
            done = len(received) == size
            reply = messages.SnapshotReply(
                term=1,
                sender="m2",
                receiver="m1",
                index=chunk.meta.index,
                offset=len(received),
                done=done,
                sent_at=0.0,
            )
            replicator.record_reply(reply)
            replicator.record_snapshot_reply(progress, reply)
            if done:
                break
        self.assertEqual(101, progress.next_index)
        self.assertIsNone(progress.snapshot)


class TestBatches(unittest.TestCase):
    """Messages to one receiver that do not fit in one frame."""

    def test_batches_are_bounded_and_keep_the_order(self) -> None:
        sizes = [3, 4, 5, 20, 1, 1]
        self.assertEqual(
            [[3, 4], [5], [20], [1, 1]],
            batches.split(sizes, lambda size: size, 10),
        )

    def test_largest_change_of_an_operator_fits_in_one_call(self) -> None:
        self.assertLessEqual(admin.MAX_BODY_BYTES, peers.MAX_CALL_BYTES)


class TestStorage(unittest.TestCase):
    """Storage of a member on a real file system."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def open_storage(self) -> tuple[storage.Storage, core.PersistentState]:
        """Return the storage in the folder and the state recovered from it."""
        opened = storage.Storage(disk_module.FolderDisk(self.folder))
        self.addCleanup(opened.close)
        opened.load_identity()
        return opened, opened.load()

    def append_entries(self, *entries: messages.Entry) -> None:
        """Append each entry in a record of its own, then close the storage."""
        opened, _ = self.open_storage()
        for entry in entries:
            opened.append(messages.HardState(entry.term, "x"), [entry])
        opened.close()

    def test_entries_survive_restart(self) -> None:
        self.append_entries(make_entry(1), make_entry(2))
        _, saved = self.open_storage()
        self.assertEqual(2, saved.log.last_index)
        self.assertEqual(messages.HardState(1, "x"), saved.hard_state)

    def test_entry_of_later_term_replaces_those_after_it(self) -> None:
        self.append_entries(make_entry(1), make_entry(2), make_entry(3))
        self.append_entries(make_entry(2, term=2))
        _, saved = self.open_storage()
        self.assertEqual([1, 2], [e.term for e in saved.log.entries])

    def test_entries_beyond_the_size_of_a_record_are_recovered(self) -> None:
        """A record that is too long counts as torn and is cut off."""
        log = log_module.Log(entries=[make_entry(i) for i in range(1, 41)])
        with unittest.mock.patch.object(storage, "MAX_RECORD_BYTES", 40):
            opened, _ = self.open_storage()
            opened.replace_log(messages.HardState(1), log)
            opened.append(
                messages.HardState(2), [make_entry(i) for i in range(41, 81)]
            )
            opened.close()
            opened, saved = self.open_storage()
        self.assertEqual(80, saved.log.last_index)
        self.assertEqual(messages.HardState(2), saved.hard_state)
        size = (self.folder / storage.LOG_NAME).stat().st_size
        self.assertEqual(size, opened.log_bytes)

    def test_longer_record_of_an_earlier_build_is_recovered(self) -> None:
        self.append_entries(make_entry(1), make_entry(2))
        with unittest.mock.patch.object(storage, "MAX_RECORD_BYTES", 4):
            _, saved = self.open_storage()
        self.assertEqual(2, saved.log.last_index)

    def test_torn_last_record_of_any_length_is_cut_off(self) -> None:
        self.append_entries(make_entry(1))
        path = self.folder / storage.LOG_NAME
        first = path.read_bytes()
        self.append_entries(make_entry(2))
        both = path.read_bytes()
        for length in range(len(first), len(both)):
            path.write_bytes(both[:length])
            opened, saved = self.open_storage()
            self.assertEqual(1, saved.log.last_index, length)
            opened.append(None, [make_entry(2, term=5)])
            opened.close()
            _, saved = self.open_storage()
            self.assertEqual(5, saved.log.last_term)

    def test_damaged_record_before_valid_ones_is_refused(self) -> None:
        self.append_entries(make_entry(1), make_entry(2), make_entry(3))
        path = self.folder / storage.LOG_NAME
        data = bytearray(path.read_bytes())
        first = storage.read_record(io.BytesIO(data), len(data))
        assert first is not None
        position = storage.RECORD_HEADER.size + len(first) // 2
        data[position] ^= 0xFF
        path.write_bytes(bytes(data))
        with self.assertRaises(exceptions.StorageError) as caught:
            self.open_storage()
        self.assertIn("replace this member", str(caught.exception))

    def test_snapshot_is_recovered_when_the_log_was_not_replaced(self) -> None:
        """The process stopped after it stored a received snapshot."""
        self.append_entries(make_entry(1))
        meta = messages.SnapshotMeta(50, 3, messages.Membership([]))
        record = storage.StoredSnapshot(meta, b"state")

        payload = storage.pack_record(msgspec.msgpack.encode(record))
        (self.folder / storage.SNAPSHOT_NAME).write_bytes(payload)
        _, saved = self.open_storage()
        self.assertEqual((50, 3), (saved.log.last_index, saved.log.last_term))

    def test_compacted_log_is_recovered(self) -> None:
        opened, _ = self.open_storage()
        log = log_module.Log(10, 2, [make_entry(11, 2)])
        meta = messages.SnapshotMeta(10, 2, messages.Membership([]))
        opened.save_snapshot(meta, b"s", messages.HardState(2), log)
        opened.append(None, [make_entry(12, 2)])
        opened.close()
        _, saved = self.open_storage()
        self.assertEqual(
            (10, 12), (saved.log.base_index, saved.log.last_index)
        )
        self.assertEqual((meta, b"s"), saved.snapshot)

    def test_failed_sync_raises_an_error_with_advice(self) -> None:
        opened, _ = self.open_storage()
        with unittest.mock.patch.object(
            os, "fsync", side_effect=OSError(28, "No space left on device")
        ):
            with self.assertRaises(exceptions.StorageError) as caught:
                opened.append(None, [make_entry(1)])
        self.assertIn("free space", str(caught.exception))

    def test_identity_is_stored_and_unique_to_each_folder(self) -> None:
        first, again, other = (
            storage.Storage(disk_module.FolderDisk(folder)).load_identity()
            for folder in (self.folder, self.folder, self.folder / "blank")
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first.member_id, other.member_id)

    def test_error_for_unusable_folder_names_the_flag(self) -> None:
        path = self.folder / "file"
        path.write_text("a file instead of a folder")
        with self.assertRaises(exceptions.StorageError) as caught:
            disk_module.FolderDisk(path / "data")
        self.assertIn("--data-dir", str(caught.exception))
