"""Messages, log entries and stored records of the replicated log.

The protocol is Raft (Ongaro, Ousterhout, "In Search of an Understandable
Consensus Algorithm", 2014) with pre-vote, check-quorum, leader leases,
snapshots, learners and single-member configuration changes.
"""

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

    COMMAND = 0
    MEMBERSHIP = 1
    NOOP = 2


class Peer(msgspec.Struct, frozen=True):
    """A control member; learners do not vote."""

    member_id: str
    address: str
    voter: bool = True


class Membership(msgspec.Struct, frozen=True):
    """The control members in force."""

    peers: list[Peer]

    def get(self, member_id: str) -> Peer | None:
        """Return a member."""
        for peer in self.peers:
            if peer.member_id == member_id:
                return peer
        return None

    @property
    def voters(self) -> list[str]:
        """Return the ids of voting members."""
        return [peer.member_id for peer in self.peers if peer.voter]

    @property
    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class HardState(msgspec.Struct, frozen=True, tag=True):
    """Term and vote; stored before any message of that term is sent."""

    term: int
    voted_for: str = ""


class StoredEntries(msgspec.Struct, frozen=True, tag=True):
    """Entries to store; the first one replaces any later tail."""

    entries: list[Entry]


class SnapshotMeta(msgspec.Struct, frozen=True):
    """Position and membership of a snapshot."""

    index: int
    term: int
    membership: Membership


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all messages between control members."""

    term: int
    sender: str
    receiver: str


class VoteRequest(Message, frozen=True, tag=True, kw_only=True):
    """Ask for a vote; a pre-vote changes nothing at the receiver."""

    last_index: int
    last_term: int
    pre: bool


class VoteReply(Message, frozen=True, tag=True, kw_only=True):
    """Answer to a vote request."""

    granted: bool
    pre: bool


class AppendRequest(Message, frozen=True, tag=True, kw_only=True):
    """Entries after ``previous_index``; empty ones are heartbeats.

    ``sent_at`` is the leader's monotonic time; the reply returns it.
    """

    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int
    sent_at: float


class AppendReply(Message, frozen=True, tag=True, kw_only=True):
    """Answer to an append; ``index`` is the match or a hint to go back to."""

    success: bool
    index: int
    sent_at: float


class SnapshotChunk(Message, frozen=True, tag=True, kw_only=True):
    """Part of a snapshot for a member that is behind the log."""

    meta: SnapshotMeta
    offset: int
    total: int
    data: bytes
    sent_at: float


class SnapshotReply(Message, frozen=True, tag=True, kw_only=True):
    """Answer to a chunk: how much has arrived, and whether all has."""

    index: int
    offset: int
    done: bool
    sent_at: float


AnyMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)

MESSAGE_DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage
)
MEMBERSHIP_DECODER = msgspec.msgpack.Decoder(Membership)


def decode_membership(data: bytes) -> Membership:
    """Decode the data of a membership entry."""
    return MEMBERSHIP_DECODER.decode(data)
