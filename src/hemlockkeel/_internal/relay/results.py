"""How one attempt at a target ended."""

import dataclasses
import enum

from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import exchange


class Cause(enum.Enum):
    """Why a request was answered by the entry itself."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"
    TARGETS_BUSY = "targets_busy"
    TARGET_REFUSED = "target_refused"
    NO_ADAPTER = "no_adapter"
    BROKEN_ANSWER = "broken_answer"
    BAD_ANSWER = "bad_answer"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"


@dataclasses.dataclass
class AttemptFailed:
    """An attempt that gave no answer to pass on."""

    verdict: outcomes.Verdict
    cause: Cause
    reason: str
    # Whether the request was written to a target.
    sent: bool = True


@dataclasses.dataclass
class BufferedResponse:
    """A whole answer that has not been passed on yet."""

    response: exchange.ResponseHead
    body: bytes


@dataclasses.dataclass
class Completed:
    """The caller has its whole answer."""


@dataclasses.dataclass
class StreamInterrupted:
    """A stream ended early after some events had been passed on."""

    reason: str


AttemptResult = (
    AttemptFailed | BufferedResponse | Completed | StreamInterrupted
)
