"""One request on its way through the filter chain."""

import collections.abc
import dataclasses
import enum
import typing

from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes


class RequestKind(enum.Enum):
    """Form of the call and of its answer."""

    COMPLETION = "completion"
    CHAT = "chat"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class EventId:
    """Place in a stream that a caller names when it comes back."""

    request_id: str
    target_id: str
    attempt: int
    offset: int

    def __str__(self) -> str:
        return (
            f"{self.request_id}/{self.target_id}/{self.attempt}/{self.offset}"
        )


def parse_event_id(text: str) -> EventId | None:
    """Parse an event id; None when it has another form."""
    parts = text.split("/")
    if len(parts) != 4 or not all(parts):
        return None
    if not parts[2].isdigit() or not parts[3].isdigit():
        return None
    return EventId(parts[0], parts[1], int(parts[2]), int(parts[3]))


def never_disconnected() -> bool:
    """Stand for a connection that does not say when it ends."""
    return False


@dataclasses.dataclass
class RequestContext:
    """What is known of a request; filters fill it in."""

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
    prefix_digest: str = ""
    key: str = ""
    session: str = ""
    sequence: int = 0
    supersedes: bool = False
    last_event_id: EventId | None = None
    requested_priority: str = ""
    declared_non_idempotent: bool = False
    digest: str = ""
    deployment: str = ""
    spec: declarations.Deployment | None = None
    ref: adapters.AdapterRef | None = None
    target_service: str = ""
    rank: int = 1
    idempotent: bool = True
    is_disconnected: collections.abc.Callable[[], bool] = never_disconnected


@dataclasses.dataclass(frozen=True)
class TokenEvent:
    """Tokens of the answer from an offset."""

    request_id: str
    offset: int
    tokens: list[str]
    target_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class EndEvent:
    """The answer is whole."""

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
    """The answer will not be whole."""

    refusal: outcomes.Refused


AnswerEvent = TokenEvent | EndEvent | FailureEvent
Events = typing.Generator[AnswerEvent, None, None]
