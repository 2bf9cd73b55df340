"""State of one request, and the events of its answer."""

import collections.abc
import dataclasses
import enum
import re
import typing

from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes

# Attempts and offsets are sent as integers of 32 bits.
NUMBER = re.compile(r"\d{1,9}", re.ASCII)


class RequestKind(enum.Enum):
    """API that a request was sent to; it decides the answer's format."""

    COMPLETION = "completion"
    CHAT = "chat"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class EventId:
    """Position in a streamed answer, sent as the SSE event id.

    A caller that lost its connection returns it in ``Last-Event-ID`` to
    resume the stream. ``offset`` is the number of tokens received so far.
    """

    request_id: str
    target_id: str
    attempt: int
    offset: int

    def __str__(self) -> str:
        return (
            f"{self.request_id}/{self.target_id}/{self.attempt}/{self.offset}"
        )


def parse_event_id(text: str) -> EventId | None:
    """Parse an event id; None when it is malformed."""
    parts = text.split("/")
    if len(parts) != 4 or not all(parts):
        return None
    if not all(NUMBER.fullmatch(part) for part in parts[2:]):
        return None
    return EventId(parts[0], parts[1], int(parts[2]), int(parts[3]))


def never_disconnected() -> bool:
    """Return False, for web servers that do not report disconnects."""
    return False


@dataclasses.dataclass
class RequestContext:
    """A parsed request; the filters add the settings that apply to it.

    ``arrived_at`` and ``deadline`` are in monotonic seconds.
    """

    request_id: ids.RequestId
    kind: RequestKind
    body: bytes
    caller: ids.CallerId
    arrived_at: float
    deadline: float
    method: str = "POST"
    path: str = ""
    model: str = ""
    service: str = ""
    stream: bool = False
    max_tokens: int = 0
    # Digest of the start of the prompt, for prefix-cache routing.
    prefix_digest: str = ""
    # Idempotency key; empty when the caller gave none.
    key: str = ""
    session: str = ""
    # Position in the session, starting at 1.
    sequence: int = 0
    # Earlier unfinished requests of the session become obsolete.
    supersedes: bool = False
    last_event_id: EventId | None = None
    requested_priority: str = ""
    declared_non_idempotent: bool = False
    # Digest of the content, which identifies equal requests.
    digest: str = ""
    deployment: str = ""
    spec: declarations.Deployment | None = None
    # None for requests to the base model or to a plain service.
    ref: adapters.AdapterRef | None = None
    target_service: str = ""
    # Priority rank; 0 is the most urgent.
    rank: int = 1
    idempotent: bool = True
    is_disconnected: collections.abc.Callable[[], bool] = never_disconnected


@dataclasses.dataclass(frozen=True)
class TokenEvent:
    """Consecutive tokens of the answer, starting at an offset."""

    request_id: str
    offset: int
    tokens: list[str]
    target_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class EndEvent:
    """The answer is complete and was verified."""

    target_id: str
    attempt: int
    length: int
    digest: str
    load_stall_us: int
    adapter: str
    status: int = 200
    payload: bytes = b""
    content_type: str = ""


@dataclasses.dataclass(frozen=True)
class FailureEvent:
    """The request failed; no more events of its answer follow."""

    refusal: outcomes.Refused


AnswerEvent = TokenEvent | EndEvent | FailureEvent
Events = typing.Generator[AnswerEvent, None, None]
