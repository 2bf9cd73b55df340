"""Outcomes of an attempt to get a response from a target."""

import dataclasses
import enum

from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import exchange


class Cause(enum.Enum):
    """Reason for a response that the entry generates itself.

    The values appear in logs and metrics.
    """

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"
    TARGETS_BUSY = "targets_busy"
    TARGET_REFUSED = "target_refused"
    TARGET_LEAVING = "target_leaving"
    TARGET_REPLACED = "target_replaced"
    TARGET_UNIDENTIFIED = "target_unidentified"
    TARGET_HELD = "target_held"
    TARGET_LIMITED = "target_limited"
    NO_ADAPTER = "no_adapter"
    BROKEN_ANSWER = "broken_answer"
    BAD_ANSWER = "bad_answer"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    SUSPECTED = "suspected"
    STOPPING = "stopping"
    # The organisation has used its quota.
    QUOTA_EXCEEDED = "quota_exceeded"
    # An unexpected error of the entry itself.
    FAULT = "fault"
    # The rest of a stream cannot be written any more.
    ORIGIN_GONE = "origin_gone"
    ORIGIN_UNKNOWN = "origin_unknown"
    ORIGIN_UNAVAILABLE = "origin_unavailable"
    # The caller has sent no key of an organisation.
    UNAUTHENTICATED = "unauthenticated"
    # A key may have been revoked or added since the last proof.
    KEY_PROOF_STALE = "key_proof_stale"


@dataclasses.dataclass
class AttemptFailed:
    """The attempt gave no response that could be forwarded."""

    verdict: outcomes.Verdict
    cause: Cause
    reason: str
    # Whether the request was sent to the target.
    sent: bool = True
    # Whether the target is loading the request's adapter.
    loading: bool = False


@dataclasses.dataclass
class BufferedResponse:
    """A complete response that has not been forwarded yet."""

    response: exchange.ResponseHead
    body: bytes


@dataclasses.dataclass
class Completed:
    """The complete response was sent to the caller."""


@dataclasses.dataclass
class StreamInterrupted:
    """The stream broke off after its head was sent to the caller."""

    reason: str


AttemptResult = (
    AttemptFailed | BufferedResponse | Completed | StreamInterrupted
)
