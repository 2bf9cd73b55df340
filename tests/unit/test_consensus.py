"""Replicated log: cores under faults, and a member's files."""

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
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import disk as disk_module
from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import storage
from hemlockkeel_bench import raft_world

POSITIONS = strategies.integers(0, 1 << 16)
POINTS = strategies.sampled_from(list(raft_world.CrashPoint))


class RaftMachine(stateful.RuleBasedStateMachine):
    """Any order of messages, crashes, cuts, repairs and proposals."""

    @stateful.initialize(
        size=strategies.sampled_from([1, 3, 5]), seed=POSITIONS
    )
    def begin(self, size: int, seed: int) -> None:
        self.world = raft_world.World(size, random.Random(seed))

    def pick(self, position: int) -> raft_world.Member:
        members = list(self.world.members.values())
        return members[position % len(members)]

    @stateful.rule(seconds=strategies.floats(0.0, 2.0))
    def run_for_a_while(self, seconds: float) -> None:
        self.world.run(seconds)

    @stateful.rule(seconds=strategies.floats(0.0, 0.5))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @stateful.rule(position=POSITIONS, point=POINTS)
    def deliver(self, position: int, point: raft_world.CrashPoint) -> None:
        self.world.deliver(position, point)

    @stateful.rule(position=POSITIONS)
    def lose_or_repeat(self, position: int) -> None:
        if position % 2:
            self.world.drop(position)
        else:
            self.world.duplicate(position)

    @stateful.rule(position=POSITIONS)
    def propose(self, position: int) -> None:
        self.world.propose(position)

    @stateful.rule(position=POSITIONS)
    def crash(self, position: int) -> None:
        self.world.crash(self.pick(position))

    @stateful.rule(position=POSITIONS)
    def restart(self, position: int) -> None:
        self.world.restart(self.pick(position))

    @stateful.rule(position=POSITIONS)
    def isolate(self, position: int) -> None:
        self.world.isolate(self.pick(position).member_id)

    @stateful.rule()
    def heal(self) -> None:
        self.world.heal()

    @stateful.rule(position=POSITIONS)
    def compact(self, position: int) -> None:
        self.world.compact(self.pick(position))

    @stateful.rule(position=POSITIONS)
    def replace_disk(self, position: int) -> None:
        self.world.lose_disk(self.pick(position))

    @stateful.rule()
    def repair(self) -> None:
        self.world.repair()

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.settle()


TestRaftMachine = RaftMachine.TestCase
TestRaftMachine.settings = settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=60,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class TestRandomRuns(unittest.TestCase):
    """Longer seeded runs of the same world."""

    def test_invariants_hold(self) -> None:
        acknowledged = 0
        for seed in range(12):
            rng = random.Random(seed)
            world = raft_world.World(rng.choice([3, 5]), rng)
            for _ in range(1500):
                raft_world.act_at_random(world)
            world.settle()
            acknowledged += len(world.acknowledged)
        # A run that accepts next to nothing would prove next to nothing.
        self.assertGreater(acknowledged, 200)

    def test_forgotten_votes_are_noticed(self) -> None:
        store = raft_world.Disk.store

        def forget_vote(disk: raft_world.Disk, effects: core.Effects) -> None:
            effects.hard_state = None
            store(disk, effects)

        with unittest.mock.patch.object(raft_world.Disk, "store", forget_vote):
            with self.assertRaises(exceptions.InvariantError):
                for seed in range(20):
                    world = raft_world.World(3, random.Random(seed))
                    for _ in range(2000):
                        raft_world.act_at_random(world)
                    world.settle()


def make_entry(index: int, term: int = 1) -> messages.Entry:
    """Return an entry that a test can tell apart."""
    data = f"e{index}".encode()
    return messages.Entry(index, term, messages.EntryKind.COMMAND, data)


class TestStorage(unittest.TestCase):
    """A member's files."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def open(self) -> tuple[storage.Storage, core.PersistentState]:
        disk = storage.Storage(disk_module.FolderDisk(self.folder))
        self.addCleanup(disk.close)
        disk.load_identity()
        return disk, disk.load()

    def write(self, *entries: messages.Entry) -> None:
        disk, _ = self.open()
        for entry in entries:
            disk.append(messages.HardState(entry.term, "x"), [entry])
        disk.close()

    def test_entries_survive_restart(self) -> None:
        self.write(make_entry(1), make_entry(2))
        _, saved = self.open()
        self.assertEqual(2, saved.log.last_index)
        self.assertEqual(messages.HardState(1, "x"), saved.hard_state)

    def test_later_term_replaces_tail(self) -> None:
        self.write(make_entry(1), make_entry(2), make_entry(3))
        self.write(make_entry(2, term=2))
        _, saved = self.open()
        self.assertEqual([1, 2], [e.term for e in saved.log.entries])

    def test_torn_tail_is_cut_at_every_length(self) -> None:
        self.write(make_entry(1))
        path = self.folder / storage.LOG_NAME
        whole = path.read_bytes()
        self.write(make_entry(2))
        both = path.read_bytes()
        for length in range(len(whole), len(both)):
            path.write_bytes(both[:length])
            disk, saved = self.open()
            self.assertEqual(1, saved.log.last_index, length)
            disk.append(None, [make_entry(2, term=5)])
            disk.close()
            _, saved = self.open()
            self.assertEqual(5, saved.log.last_term)

    def test_damage_before_good_records_is_refused(self) -> None:
        self.write(make_entry(1), make_entry(2), make_entry(3))
        path = self.folder / storage.LOG_NAME
        data = bytearray(path.read_bytes())
        payloads, _ = storage.unpack_records(bytes(data))
        position = storage.RECORD_HEADER.size + len(payloads[0]) // 2
        data[position] ^= 0xFF
        path.write_bytes(bytes(data))
        with self.assertRaises(exceptions.StorageError) as caught:
            self.open()
        self.assertIn("replace this member", str(caught.exception))

    def test_snapshot_without_new_log_is_recovered(self) -> None:
        self.write(make_entry(1))
        meta = messages.SnapshotMeta(50, 3, messages.Membership([]))
        record = storage.StoredSnapshot(meta, b"state")

        payload = storage.pack_record(msgspec.msgpack.encode(record))
        (self.folder / storage.SNAPSHOT_NAME).write_bytes(payload)
        _, saved = self.open()
        self.assertEqual((50, 3), (saved.log.last_index, saved.log.last_term))

    def test_compacted_log_is_recovered(self) -> None:
        disk, _ = self.open()
        log = log_module.Log(10, 2, [make_entry(11, 2)])
        meta = messages.SnapshotMeta(10, 2, messages.Membership([]))
        disk.save_snapshot(meta, b"s", messages.HardState(2), log)
        disk.append(None, [make_entry(12, 2)])
        disk.close()
        _, saved = self.open()
        self.assertEqual(
            (10, 12), (saved.log.base_index, saved.log.last_index)
        )
        self.assertEqual((meta, b"s"), saved.snapshot)

    def test_failed_sync_is_an_error(self) -> None:
        disk, _ = self.open()
        with unittest.mock.patch.object(
            os, "fsync", side_effect=OSError(28, "No space left on device")
        ):
            with self.assertRaises(exceptions.StorageError) as caught:
                disk.append(None, [make_entry(1)])
        self.assertIn("free space", str(caught.exception))

    def test_identity_is_kept_and_new_on_a_blank_disk(self) -> None:
        first, again, other = (
            storage.Storage(disk_module.FolderDisk(folder)).load_identity()
            for folder in (self.folder, self.folder, self.folder / "blank")
        )
        self.assertEqual(first, again)
        self.assertNotEqual(first.member_id, other.member_id)

    def test_folder_that_cannot_be_written(self) -> None:
        path = self.folder / "file"
        path.write_text("in the way")
        with self.assertRaises(exceptions.StorageError) as caught:
            disk_module.FolderDisk(path / "data")
        self.assertIn("--data-dir", str(caught.exception))
