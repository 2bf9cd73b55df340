"""A member's log on disk and in memory stays bounded in bytes."""

import tracemalloc
import unittest.mock

import msgspec

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import disk as disk_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.consensus import storage
from tests.unit import test_consensus_node

ENTRY_BYTES = 300_000


class TestLogSize(test_consensus_node.MemberCase):
    """Size of the log after many large entries."""

    def test_log_of_few_large_entries_is_compacted(self) -> None:
        """A log bounded by its entries fills the disk and the memory."""
        member = self.start_member()
        largest = 0
        for number in range(100):
            self.propose(member, bytes([number]) * ENTRY_BYTES)
            largest = max(largest, member.storage.log_bytes)
        limit = node.SNAPSHOT_AFTER_LOG_BYTES + 2 * ENTRY_BYTES
        self.assertLess(largest, limit)
        self.assertLess(member.core.log.count_bytes(0), limit)

    def test_compaction_keeps_entries_for_members_that_lag(self) -> None:
        member = self.start_member()
        while member.core.snapshot is None:
            self.propose(member, bytes(ENTRY_BYTES))
        kept = member.core.log.count_bytes(0)
        self.assertLessEqual(kept, node.TRAILING_BYTES)
        self.assertGreater(kept, node.TRAILING_BYTES - ENTRY_BYTES)

    def test_compacted_log_is_recovered(self) -> None:
        member = self.start_member()
        for number in range(100):
            self.propose(member, bytes([number]) * ENTRY_BYTES)
        member.storage.close()
        restarted = self.start_member()
        self.assertEqual(bytes([99]) * ENTRY_BYTES, restarted.applier.encode())

    def test_log_is_not_compacted_again_for_each_entry(self) -> None:
        """Each snapshot blocks heartbeats while it is written."""
        member = self.start_member()
        snapshots = set()
        for number in range(100):
            self.propose(member, bytes([number]) * ENTRY_BYTES)
            if member.core.snapshot is not None:
                snapshots.add(member.core.snapshot[0].index)
        written = 100 * ENTRY_BYTES
        self.assertLess(len(snapshots), written / node.MIN_DROPPED_BYTES)

    def test_large_log_is_rewritten_only_to_drop_much_of_it(self) -> None:
        """Compactions of what is not committed yet take most of the time."""
        member = self.start_member()
        member.storage.log_bytes = 24_000_000
        log = member.core.log
        for dropped_bytes, is_due in ((3_000_000, False), (9_000_000, True)):
            kept_bytes = member.storage.log_bytes - dropped_bytes
            with unittest.mock.patch.object(
                log, "count_bytes", return_value=kept_bytes
            ):
                self.assertEqual(member.can_drop_many_bytes(), is_due)


class TestQueues(test_consensus_node.MemberCase):
    """Data that waits for the consensus thread or for a majority."""

    def test_proposals_beyond_the_bytes_of_the_queue_are_refused(self) -> None:
        """Callers that repeat a change fill the memory of a busy member."""
        member = self.start_member()
        futures = [member.propose(bytes(4_000_000)) for _ in range(50)]
        queued = sum(not future.done() for future in futures)
        self.assertLessEqual(queued * 4_000_000, node.MAX_QUEUED_BYTES)
        with self.assertRaises(node.NotLeaderError):
            futures[-1].result()
        while any(not future.done() for future in futures):
            member.step(member.collect_inputs())
        self.propose(member, b"next")

    def test_messages_beyond_the_bytes_of_the_queue_are_dropped(self) -> None:
        member = self.start_member()
        request = messages.AppendRequest(
            term=1,
            sender="other",
            receiver=member.member_id,
            previous_index=0,
            previous_term=0,
            entries=[
                messages.Entry(
                    1, 1, messages.EntryKind.COMMAND, bytes(1_000_000)
                )
            ],
            commit=0,
            sent_at=0.0,
        )
        for _ in range(50):
            member.receive(request, "other:1")
        self.assertLessEqual(member.inputs.queued_bytes, node.MAX_QUEUED_BYTES)
        dropped = member.counters.counts["control.raft_messages_dropped"]
        self.assertGreater(dropped, 0)
        heartbeat = msgspec.structs.replace(request, entries=[])
        member.receive(heartbeat, "other:1")
        self.assertEqual(
            dropped, member.counters.counts["control.raft_messages_dropped"]
        )

    def test_inputs_that_share_a_sync_are_bounded_in_bytes(self) -> None:
        member = self.start_member()
        for _ in range(7):
            member.propose(bytes(4_000_000))
        batch = member.collect_inputs()
        self.assertLess(
            len(batch) * 4_000_000, node.MAX_BATCH_BYTES + 4_000_000
        )

    def test_uncommitted_entries_are_bounded_in_bytes(self) -> None:
        """The log of a leader grows while a majority is slow to store it."""
        member = self.start_member()
        peers = [messages.Peer(f"m{n}", f"m{n}:1") for n in range(1, 3)]
        for number, peer in enumerate(peers, 1):
            members = [*member.core.membership.peers, peer]
            data = core.encode_membership(messages.Membership(members))
            member.propose(data, messages.EntryKind.MEMBERSHIP)
            member.step(member.collect_inputs())
            self.assertEqual(number + 1, len(member.core.membership.voters))
            self.acknowledge_all(member)
        for _ in range(50):
            member.propose(bytes(1_000_000))
            member.step(member.collect_inputs())
        self.assertLessEqual(
            member.core.log.count_bytes(member.core.commit_index),
            node.MAX_UNCOMMITTED_BYTES,
        )

    def acknowledge_all(self, member: node.Node) -> None:
        """Let all peers answer that they have the whole log."""
        for peer in member.core.other_peers:
            reply = messages.AppendReply(
                term=member.core.term,
                sender=peer,
                receiver=member.member_id,
                success=True,
                index=member.core.log.last_index,
                sent_at=self.clock.now,
            )
            member.receive(reply, f"{peer}:1")
        member.step(member.collect_inputs())


class TestMemory(test_consensus_node.MemberCase):
    """Memory of a member that starts."""

    def test_log_is_not_held_more_than_once(self) -> None:
        """A member that holds copies exceeds its memory at each start."""
        stored = storage.Storage(disk_module.FolderDisk(self.folder))
        stored.load_identity()
        stored.load()
        for index in range(1, 51):
            stored.append(
                None,
                [
                    messages.Entry(
                        index,
                        1,
                        messages.EntryKind.COMMAND,
                        bytes(ENTRY_BYTES),
                    )
                ],
            )
        stored.close()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        saved = stored.load()
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertEqual(50, saved.log.last_index)
        self.assertLess(peak_bytes, 50 * ENTRY_BYTES + 4 * ENTRY_BYTES)
