"""Messages and log entries of the replicated log.

The protocol is Raft (Ongaro, Ousterhout, "In Search of an Understandable
Consensus Algorithm", 2014) with pre-vote, check-quorum, leader leases,
snapshots, learners and single-member configuration changes.
"""

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """Kind of the data in a log entry.

    A leader appends a NOOP entry at the start of its term, since it can only
    commit earlier entries together with one of its own term.
    """

    COMMAND = 0
    MEMBERSHIP = 1
    NOOP = 2


class Peer(msgspec.Struct, frozen=True):
    """A control member: a voter, or a learner, which does not vote."""

    member_id: str
    address: str
    voter: bool = True


class Membership(msgspec.Struct, frozen=True):
    """The control members of a cluster."""

    peers: list[Peer]

    def get(self, member_id: str) -> Peer | None:
        """Return the member with an id, or None."""
        for peer in self.peers:
            if peer.member_id == member_id:
                return peer
        return None

    @property
    def voters(self) -> list[str]:
        """Return the ids of the voting members."""
        return [peer.member_id for peer in self.peers if peer.voter]

    @property
    def quorum(self) -> int:
        """Return the number of voters in a majority."""
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class HardState(msgspec.Struct, frozen=True, tag=True):
    """Term and vote, which are stored before a message of the term is sent.

    ``voted_for`` is empty before this member has voted in the term.
    """

    term: int
    voted_for: str = ""


class StoredEntries(msgspec.Struct, frozen=True, tag=True):
    """Stored entries; they replace any entry at or after the first one."""

    entries: list[Entry]


class SnapshotMeta(msgspec.Struct, frozen=True):
    """Index and term of the last entry in a snapshot, and its membership."""

    index: int
    term: int
    membership: Membership


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all messages between control members.

    ``sender`` and ``receiver`` are member ids, ``term`` is the sender's term
    except in pre-votes, where it is the term of the proposed election.
    """

    term: int
    sender: str
    receiver: str


class VoteRequest(Message, frozen=True, tag=True, kw_only=True):
    """Asks for a vote.

    With ``pre``, it is a pre-vote, which asks whether the receiver would vote
    for the sender and does not change the receiver's state.
    """

    last_index: int
    last_term: int
    pre: bool


class VoteReply(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `VoteRequest`.

    With ``replaced``, a process with another disk says that it has taken the
    place of ``sender`` at its address, for good. Its term is 0.
    """

    granted: bool
    pre: bool
    replaced: bool = False


class AppendRequest(Message, frozen=True, tag=True, kw_only=True):
    """Replicates the entries after ``previous_index``; a heartbeat if empty.

    ``commit`` is the leader's commit index. ``sent_at`` is the leader's
    monotonic time in seconds, which the reply repeats.
    """

    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit: int
    sent_at: float


class AppendReply(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `AppendRequest`.

    On success, ``index`` is the last entry known to match the leader's log,
    otherwise a hint after which entry the leader should continue. With
    ``busy`` it says nothing about entries: the receiver still follows the
    leader, and handles the request once its disk has finished.
    """

    success: bool
    index: int
    sent_at: float
    busy: bool = False


class SnapshotChunk(Message, frozen=True, tag=True, kw_only=True):
    """Part of a snapshot for a member that needs compacted entries.

    ``offset`` is the position of ``data`` in the snapshot, ``total`` the size
    of the snapshot in bytes.
    """

    meta: SnapshotMeta
    offset: int
    total: int
    data: bytes
    sent_at: float


class SnapshotReply(Message, frozen=True, tag=True, kw_only=True):
    """Reply to `SnapshotChunk`.

    ``offset`` is the number of bytes received so far. ``done`` means that the
    snapshot at ``index`` is complete or no longer needed.
    """

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


def make_replaced_reply(message: AnyMessage) -> VoteReply | None:
    """Return the reply to a vote request to a member that has been replaced.

    To be sent by the process at that member's address, which has another id
    since it has started with an empty disk. None for other messages.
    """
    if not isinstance(message, VoteRequest):
        return None
    return VoteReply(
        term=0,
        sender=message.receiver,
        receiver=message.sender,
        granted=False,
        pre=message.pre,
        replaced=True,
    )


def count_data_bytes(message: AnyMessage) -> int:
    """Return the bytes of entries or of a snapshot in a message."""
    match message:
        case AppendRequest():
            return sum(len(entry.data) for entry in message.entries)
        case SnapshotChunk():
            return len(message.data)
    return 0


MESSAGE_DECODER: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage
)
MEMBERSHIP_DECODER = msgspec.msgpack.Decoder(Membership)


def decode_membership(data: bytes) -> Membership:
    """Return the membership in the data of a log entry."""
    return MEMBERSHIP_DECODER.decode(data)
