"""Replication of the log from the leader to the other members."""

import dataclasses

from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages

MAX_ENTRIES_PER_APPEND = 512
# An append request has more only if its single entry has.
MAX_BYTES_PER_APPEND = 1 << 20
SNAPSHOT_CHUNK_BYTES = 1 << 20
# Unanswered entries are sent again after this many heartbeat intervals.
RESEND_AFTER_HEARTBEATS = 2


@dataclasses.dataclass
class Progress:
    """What the leader knows about the log of a peer.

    ``match_index`` is the last entry known to be stored by the peer,
    ``next_index`` the next entry to send to it.
    """

    match_index: int = 0
    next_index: int = 1
    # Leader's monotonic time in seconds at which it sent the latest message
    # that the peer has answered.
    acked_sent_at: float = float("-inf")
    # Since when the peer is expected to answer; None before the first message.
    expected_since: float | None = None
    # Snapshot that is being sent; it stays the same until it is complete,
    # whatever snapshots are written meanwhile.
    snapshot: tuple[messages.SnapshotMeta, bytes] | None = None
    # Bytes of the snapshot that the peer has received.
    snapshot_offset: int = 0
    # Whether entries or a snapshot chunk are unanswered, and when the latest
    # ones were sent.
    in_flight: bool = False
    last_sent_at: float = float("-inf")
    # When the peer's process was last seen not to run.
    ended_at: float = float("-inf")

    @property
    def has_ended(self) -> bool:
        """Return whether the peer has not answered since its process ended."""
        return self.ended_at > self.acked_sent_at

    @property
    def silent_since(self) -> float | None:
        """Return since when the peer has not answered; None if it is unasked.

        That is when the latest message was sent that it has answered, or the
        first one.
        """
        if self.expected_since is None:
            return None
        return max(self.expected_since, self.acked_sent_at)


@dataclasses.dataclass(frozen=True)
class LeaderState:
    """State of the leader that is included in its messages."""

    term: int
    commit_index: int
    snapshot: tuple[messages.SnapshotMeta, bytes] | None


class Replicator:
    """Tracks the progress of all peers and creates the messages to them."""

    def __init__(
        self, member_id: str, log: log_module.Log, heartbeat_s: float
    ) -> None:
        self.member_id = member_id
        self.log = log
        self.heartbeat_s = heartbeat_s
        self.progress: dict[str, Progress] = {}

    def reset(self, peers: list[str]) -> None:
        """Forget all progress and track the given peers.

        A follower tracks none.
        """
        self.progress = {}
        self.set_peers(peers)

    def set_peers(self, peers: list[str]) -> None:
        """Track exactly the given peers, keeping their known progress."""
        for removed in set(self.progress) - set(peers):
            del self.progress[removed]
        for peer in peers:
            if peer not in self.progress:
                self.progress[peer] = Progress(
                    next_index=self.log.last_index + 1
                )

    # Progress of voters

    def get_ack_time(self, voter: str, now: float) -> float:
        """Return the send time of the latest message that a voter answered."""
        if voter == self.member_id:
            return now
        progress = self.progress.get(voter)
        return progress.acked_sent_at if progress else float("-inf")

    def get_match_index(self, voter: str, persisted_index: int) -> int:
        """Return the last index that a voter is known to have stored."""
        if voter == self.member_id:
            return persisted_index
        progress = self.progress.get(voter)
        return progress.match_index if progress else 0

    # Messages to peers

    def make_append(
        self, peer: str, leader: LeaderState, now: float, heartbeat: bool
    ) -> messages.AppendRequest | messages.SnapshotChunk | None:
        """Return the next message to a peer, or None if none is due.

        While entries or a chunk are unanswered, only heartbeats are sent,
        until they are considered lost and sent again.
        """
        progress = self.progress[peer]
        timed_out = (
            now - progress.last_sent_at
            > RESEND_AFTER_HEARTBEATS * self.heartbeat_s
        )
        if progress.expected_since is None:
            progress.expected_since = now
        if progress.in_flight and not (heartbeat and timed_out):
            if not heartbeat:
                return None
            return self.make_append_request(peer, leader, [], now)
        if progress.next_index <= self.log.base_index:
            return self.make_snapshot_chunk(peer, leader, now)
        progress.snapshot = None
        entries = self.log.slice_bytes(
            progress.next_index - 1,
            MAX_ENTRIES_PER_APPEND,
            MAX_BYTES_PER_APPEND,
        )
        if not entries and not heartbeat:
            return None
        progress.in_flight = bool(entries)
        progress.last_sent_at = now
        return self.make_append_request(peer, leader, entries, now)

    def make_append_request(
        self,
        peer: str,
        leader: LeaderState,
        entries: list[messages.Entry],
        now: float,
    ) -> messages.AppendRequest:
        """Return an append request with the given entries."""
        previous = self.progress[peer].next_index - 1
        term = self.log.get_term(previous)
        if term is None:
            # The peer needs a snapshot. Until then, an empty request without
            # a previous entry serves as a heartbeat to prevent an election.
            previous, term = 0, 0
            entries = []
        return messages.AppendRequest(
            term=leader.term,
            sender=self.member_id,
            receiver=peer,
            previous_index=previous,
            previous_term=term,
            entries=entries,
            commit=leader.commit_index,
            sent_at=now,
        )

    def make_snapshot_chunk(
        self, peer: str, leader: LeaderState, now: float
    ) -> messages.SnapshotChunk:
        """Return the next chunk of a snapshot for a peer."""
        progress = self.progress[peer]
        if progress.snapshot is None:
            progress.snapshot = leader.snapshot
            progress.snapshot_offset = 0
        assert progress.snapshot is not None
        meta, data = progress.snapshot
        offset = min(progress.snapshot_offset, len(data))
        progress.in_flight = True
        progress.last_sent_at = now
        return messages.SnapshotChunk(
            term=leader.term,
            sender=self.member_id,
            receiver=peer,
            meta=meta,
            offset=offset,
            total=len(data),
            data=data[offset : offset + SNAPSHOT_CHUNK_BYTES],
            sent_at=now,
        )

    # Replies from peers

    def record_reply(
        self, reply: messages.AppendReply | messages.SnapshotReply
    ) -> Progress | None:
        """Record a reply; return the peer's progress, None if not tracked."""
        progress = self.progress.get(reply.sender)
        if progress is None:
            return None
        progress.acked_sent_at = max(progress.acked_sent_at, reply.sent_at)
        # Replies to earlier messages say nothing about the latest entries; one
        # to a later heartbeat says that these have arrived or are lost.
        if reply.sent_at >= progress.last_sent_at:
            progress.in_flight = False
        return progress

    def record_busy(self, reply: messages.AppendReply) -> None:
        """Record that a peer has received a request and handles it later.

        What is unanswered is not sent again meanwhile.
        """
        progress = self.progress.get(reply.sender)
        if progress is None:
            return
        progress.acked_sent_at = max(progress.acked_sent_at, reply.sent_at)
        if progress.in_flight:
            progress.last_sent_at = max(progress.last_sent_at, reply.sent_at)

    def expect_since(self, peer: str, silent_since: float) -> None:
        """Record since when a peer has been silent that nothing was sent to.

        Its silence counts from then.
        """
        progress = self.progress.get(peer)
        if progress is not None:
            progress.expected_since = silent_since

    def record_ended(self, peer: str, seen_at: float) -> bool:
        """Record that a peer's process did not run at a time.

        Returns whether it was expected to run until now.
        """
        progress = self.progress.get(peer)
        if progress is None:
            return False
        had_ended = progress.has_ended
        progress.ended_at = max(progress.ended_at, seen_at)
        return progress.has_ended and not had_ended

    @staticmethod
    def record_snapshot_reply(
        progress: Progress, reply: messages.SnapshotReply
    ) -> None:
        """Record how much of a snapshot a peer has received."""
        if reply.done:
            progress.in_flight = False
            progress.match_index = max(progress.match_index, reply.index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
        if progress.snapshot is None:
            return
        if progress.snapshot[0].index == reply.index:
            if reply.offset > progress.snapshot_offset:
                progress.in_flight = False
            progress.snapshot_offset = reply.offset
        if progress.next_index > progress.snapshot[0].index:
            progress.snapshot = None
