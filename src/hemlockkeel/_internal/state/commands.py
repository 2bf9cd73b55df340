"""Commands of the replicated state machine and their outcomes.

Every command carries the leader's wall-clock time ``at`` in seconds so that
applying it is deterministic on all members.
"""

import enum

import msgspec

from hemlockkeel._internal.models import items
from hemlockkeel._internal.models import members


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all commands."""

    at: float = 0.0


class ApplyChange(Command, frozen=True, tag=True, kw_only=True):
    """Change configuration items, computed from ``read_version``."""

    change_id: str
    operator: str
    read_version: int
    writes: list[items.Write]
    reads: list[str] = msgspec.field(default_factory=list)


class RegisterMember(Command, frozen=True, tag=True, kw_only=True):
    """Register a process start; the outcome carries its incarnation."""

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
    """Stop or resume sending new work to a target."""

    change_id: str
    operator: str
    target_id: str
    drained: bool


class BeginRequest(Command, frozen=True, tag=True, kw_only=True):
    """Record a dispatch before it happens.

    ``session_sequence`` is 0 for a request outside a session.
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
    """Move an attempt that did not run to another target."""

    key: str
    attempt: int
    request_id: str
    target_id: str
    target_incarnation: int


class FinishRequest(Command, frozen=True, tag=True, kw_only=True):
    """Record how an attempt ended; ``verdict`` is an outcomes.Verdict."""

    key: str
    attempt: int
    request_id: str
    verdict: int
    code: str = ""
    answer_digest: str = ""
    length: int = 0


class ReportCrash(Command, frozen=True, tag=True, kw_only=True):
    """Report the requests that were running when a target crashed."""

    target_id: str
    boot_id: str
    digests: list[str]


class ClearSuspect(Command, frozen=True, tag=True, kw_only=True):
    """Record that suspected requests completed without a crash."""

    digests: list[str]


class ReleaseQuarantine(Command, frozen=True, tag=True, kw_only=True):
    """Release a quarantined request on an operator's word."""

    change_id: str
    operator: str
    digest: str


class RecordAudit(Command, frozen=True, tag=True, kw_only=True):
    """Add a change that was made outside the state machine to the trail."""

    operator: str
    action: str
    detail: str


class ExpireRecords(Command, frozen=True, tag=True, kw_only=True):
    """Drop records, outcomes and suspicions that are past their window."""


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
    """How a command ended."""

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
    """Where a recorded request stands."""

    DISPATCHED = "dispatched"
    FINISHED = "finished"
    SUPERSEDED = "superseded"


class RequestRecord(msgspec.Struct, frozen=True):
    """The durable record of a keyed request."""

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
    """One line of the audit trail."""

    at: float
    operator: str
    change_id: str
    action: str
    from_version: int
    version: int
    status: Status
    detail: str = ""


class Outcome(msgspec.Struct, frozen=True):
    """Result of applying a command."""

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
