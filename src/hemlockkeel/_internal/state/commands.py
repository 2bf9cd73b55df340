"""Commands of the replicated state machine and their outcomes.

Every command carries the leader's wall-clock time ``at``, in seconds since
the epoch, so that all members apply it with the same result.
"""

import enum

import msgspec

from hemlockkeel._internal.models import items
from hemlockkeel._internal.models import members


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base class of all commands."""

    at: float = 0.0


class ApplyChange(Command, frozen=True, tag=True, kw_only=True):
    """Change configuration items.

    The change was computed from the configuration at ``read_version``, and
    ``reads`` lists items it depends on without writing them. ``change_id``
    makes the command safe to send again.
    """

    change_id: str
    operator: str
    read_version: int
    writes: list[items.Write]
    reads: list[str] = msgspec.field(default_factory=list)


class RegisterMember(Command, frozen=True, tag=True, kw_only=True):
    """Register a process after its start.

    The outcome carries the incarnation number that the process is given.
    """

    description: members.Description


class SetMemberState(Command, frozen=True, tag=True, kw_only=True):
    """Change the state of one incarnation of a member."""

    member_id: str
    incarnation: int
    state: members.MemberState


class RemoveMember(Command, frozen=True, tag=True, kw_only=True):
    """Remove one incarnation of a member."""

    member_id: str
    incarnation: int


class SetDrain(Command, frozen=True, tag=True, kw_only=True):
    """Drain a target, so that it is sent no new work, or end the drain."""

    change_id: str
    operator: str
    target_id: str
    drained: bool


class BeginRequest(Command, frozen=True, tag=True, kw_only=True):
    """Record that a request is about to be sent to a target.

    ``key`` is the idempotency key and ``digest`` identifies the content of
    the request. ``session_sequence`` is 0 for a request outside a session.
    If ``supersedes`` is set, unfinished earlier requests of the session are
    marked as superseded.
    """

    key: str
    caller: str
    digest: str
    request_id: str
    target_id: str
    target_incarnation: int
    session: str = ""
    session_sequence: int = 0
    supersedes: bool = False


class ReassignRequest(Command, frozen=True, tag=True, kw_only=True):
    """Assign a request to another target after an attempt that did not run.

    ``attempt`` is the number of that attempt.
    """

    key: str
    attempt: int
    request_id: str
    target_id: str
    target_incarnation: int


class FinishRequest(Command, frozen=True, tag=True, kw_only=True):
    """Record how an attempt ended; ``verdict`` is an `outcomes.Verdict`."""

    key: str
    attempt: int
    request_id: str
    verdict: int
    code: str = ""
    answer_digest: str = ""
    length: int = 0


class ReportCrash(Command, frozen=True, tag=True, kw_only=True):
    """Report the requests that were running when a target crashed.

    ``boot_id`` identifies the run of the target that ended in the crash.
    """

    target_id: str
    boot_id: str
    digests: list[str]
    # Adapters of these requests, as keys of `suspect_keys`.
    adapters: list[str] = []


class ClearSuspect(Command, frozen=True, tag=True, kw_only=True):
    """Clear suspected requests that completed without a crash."""

    digests: list[str]


class ReleaseQuarantine(Command, frozen=True, tag=True, kw_only=True):
    """Release a request from quarantine, as an operator asked."""

    change_id: str
    operator: str
    digest: str


class RecordAudit(Command, frozen=True, tag=True, kw_only=True):
    """Add a change made outside the state machine to the audit trail."""

    operator: str
    action: str
    detail: str


class ExpireRecords(Command, frozen=True, tag=True, kw_only=True):
    """Delete request records, outcomes and suspects that have expired."""


AnyCommand = (
    ApplyChange
    | RegisterMember
    | SetMemberState
    | RemoveMember
    | SetDrain
    | BeginRequest
    | ReassignRequest
    | FinishRequest
    | ReportCrash
    | ClearSuspect
    | ReleaseQuarantine
    | RecordAudit
    | ExpireRecords
)


class Status(enum.Enum):
    """Result of a command."""

    OK = "ok"
    DUPLICATE = "duplicate"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNKNOWN = "unknown"
    KEY_CONFLICT = "key_conflict"
    OUT_OF_ORDER = "out_of_order"
    SUPERSEDED = "superseded"
    QUARANTINED = "quarantined"
    STALE = "stale"


class RequestState(enum.Enum):
    """Progress of a recorded request."""

    DISPATCHED = "dispatched"
    FINISHED = "finished"
    SUPERSEDED = "superseded"


class RequestRecord(msgspec.Struct, frozen=True):
    """The durable record of a request that has an idempotency key.

    ``begun_at`` and ``finished_at`` are the leader's wall-clock seconds;
    ``verdict`` is an `outcomes.Verdict`.
    """

    key: str
    caller: str
    digest: str
    request_id: str
    target_id: str
    target_incarnation: int
    attempt: int
    begun_at: float
    state: RequestState = RequestState.DISPATCHED
    verdict: int = 0
    code: str = ""
    answer_digest: str = ""
    length: int = 0
    finished_at: float = 0.0
    session: str = ""
    session_sequence: int = 0


class AuditEntry(msgspec.Struct, frozen=True):
    """One entry of the audit trail.

    ``from_version`` is the configuration version before the change.
    """

    at: float
    operator: str
    change_id: str
    action: str
    from_version: int
    version: int
    status: Status
    detail: str = ""


class Outcome(msgspec.Struct, frozen=True):
    """Result of applying a command.

    ``version`` is the log index of an accepted change or, for a refused one,
    the current configuration version. For a request that is out of order it
    is the last finished sequence number of its session. ``reasons`` say why
    a change was refused.
    """

    status: Status
    version: int = 0
    reasons: list[str] = msgspec.field(default_factory=list)
    record: RequestRecord | None = None
    incarnation: int = 0


ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[AnyCommand] = msgspec.msgpack.Decoder(
    AnyCommand
)
OUTCOME_DECODER = msgspec.msgpack.Decoder(Outcome)


def encode(value: msgspec.Struct) -> bytes:
    """Encode a command or outcome."""
    return ENCODER.encode(value)


def decode_command(data: bytes) -> AnyCommand:
    """Decode a command."""
    return DECODER.decode(data)


def decode_outcome(data: bytes) -> Outcome:
    """Decode an outcome."""
    return OUTCOME_DECODER.decode(data)
