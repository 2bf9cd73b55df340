"""What a leader sends to each other member, and what it knows of it."""

import dataclasses

from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages

MAX_ENTRIES_PER_APPEND = 512
SNAPSHOT_CHUNK_BYTES = 1 << 20
# Heartbeats without an answer after which entries are sent again.
RESEND_AFTER_HEARTBEATS = 2


@dataclasses.dataclass
class Progress:
    """What a leader knows of one peer."""

    match_index: int = 0
    next_index: int = 1
    # Leader's monotonic send time of the latest append the peer answered.
    acked_sent_at: float = float("-inf")
    snapshot_offset: int = 0
    in_flight: bool = False
    last_sent_at: float = float("-inf")


@dataclasses.dataclass(frozen=True)
class LeaderState:
    """A leader's state that goes into what it sends."""

    term: int
    commit_index: int
    snapshot: tuple[messages.SnapshotMeta, bytes] | None


class Replicator:
    """Progress of all peers; makes the messages to them."""

    def __init__(
        self, member_id: str, log: log_module.Log, heartbeat_s: float
    ) -> None:
        self.member_id = member_id
        self.log = log
        self.heartbeat_s = heartbeat_s
        self.progress: dict[str, Progress] = {}

    def reset(self, peers: list[str]) -> None:
        """Begin anew with the peers of a leader, none for a follower."""
        self.progress = {}
        self.set_peers(peers)

    def set_peers(self, peers: list[str]) -> None:
        """Follow the progress of just these peers."""
        for gone in set(self.progress) - set(peers):
            del self.progress[gone]
        for peer in peers:
            if peer not in self.progress:
                self.progress[peer] = Progress(
                    next_index=self.log.last_index + 1
                )

    # Quorums

    def get_quorum_ack_time(
        self, membership: messages.Membership, now: float
    ) -> float:
        """Return the send time that a quorum has answered."""
        times = [
            now
            if voter == self.member_id
            else self.progress[voter].acked_sent_at
            for voter in membership.voters
        ]
        if not times:
            return now
        return sorted(times, reverse=True)[membership.quorum - 1]

    def get_quorum_match_index(
        self, membership: messages.Membership, persisted_index: int
    ) -> int:
        """Return the index up to which a quorum has stored the log."""
        matches = [
            persisted_index
            if voter == self.member_id
            else self.progress[voter].match_index
            for voter in membership.voters
        ]
        if not matches:
            return 0
        return sorted(matches, reverse=True)[membership.quorum - 1]

    # Messages to peers

    def make_append(
        self, peer: str, lead: LeaderState, now: float, heartbeat: bool
    ) -> messages.AppendRequest | messages.SnapshotChunk | None:
        """Return entries, a snapshot chunk or a heartbeat, if one is due."""
        progress = self.progress[peer]
        lost = (
            now - progress.last_sent_at
            > RESEND_AFTER_HEARTBEATS * self.heartbeat_s
        )
        if progress.in_flight and not (heartbeat and lost):
            if not heartbeat:
                return None
            return self.make_append_request(peer, lead, [], now)
        if progress.next_index <= self.log.base_index:
            return self.make_snapshot_chunk(peer, lead, now)
        entries = self.log.slice(
            progress.next_index - 1, MAX_ENTRIES_PER_APPEND
        )
        if not entries and not heartbeat:
            return None
        progress.in_flight = bool(entries)
        progress.last_sent_at = now
        return self.make_append_request(peer, lead, entries, now)

    def make_append_request(
        self,
        peer: str,
        lead: LeaderState,
        entries: list[messages.Entry],
        now: float,
    ) -> messages.AppendRequest:
        """Return an append request."""
        previous = self.progress[peer].next_index - 1
        term = self.log.get_term(previous)
        if term is None:
            # The peer needs a snapshot; this only keeps it from voting.
            previous, term = 0, 0
            entries = []
        return messages.AppendRequest(
            term=lead.term,
            sender=self.member_id,
            receiver=peer,
            previous_index=previous,
            previous_term=term,
            entries=entries,
            commit=lead.commit_index,
            sent_at=now,
        )

    def make_snapshot_chunk(
        self, peer: str, lead: LeaderState, now: float
    ) -> messages.SnapshotChunk:
        """Return the next chunk of the snapshot."""
        assert lead.snapshot is not None
        meta, data = lead.snapshot
        progress = self.progress[peer]
        offset = min(progress.snapshot_offset, len(data))
        progress.in_flight = True
        progress.last_sent_at = now
        return messages.SnapshotChunk(
            term=lead.term,
            sender=self.member_id,
            receiver=peer,
            meta=meta,
            offset=offset,
            total=len(data),
            data=data[offset : offset + SNAPSHOT_CHUNK_BYTES],
            sent_at=now,
        )

    # Replies of peers

    def record_reply(
        self, reply: messages.AppendReply | messages.SnapshotReply
    ) -> Progress | None:
        """Note a sign of life from a peer; None for one not followed."""
        progress = self.progress.get(reply.sender)
        if progress is None:
            return None
        progress.acked_sent_at = max(progress.acked_sent_at, reply.sent_at)
        progress.in_flight = False
        return progress
