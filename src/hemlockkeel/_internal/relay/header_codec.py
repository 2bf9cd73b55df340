"""What the relay needs to know of requests and answers.

A dialect reads and writes the header names that a deployment uses; it
decides nothing.
"""

import abc
import dataclasses

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What a caller says of its request."""

    request_id: str
    # How long the caller waits, seconds from its sending; None if unsaid.
    timeout_s: float | None = None
    model: str = ""
    # Adapter of the model; empty for the base model.
    adapter: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""


@dataclasses.dataclass(frozen=True)
class ForwardingMetadata:
    """What the relay adds to a request that it sends on."""

    # Time left, seconds.
    timeout_s: float
    # Start of a target that alone may run the request.
    instance_id: str
    # Version that the adapter must have; None for any.
    adapter_version: int | None = None
    # Priority at the target; None for its default.
    priority: int | None = None
    # Last event that the caller has, when a stream is resumed.
    last_event_id: str = ""


@dataclasses.dataclass(frozen=True)
class TargetLoad:
    """What a target says of its load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """What a target's answer says of itself."""

    # Request that the answer belongs to; empty if unsaid.
    request_id: str
    # Whether the target vouches for the answer's body.
    sealed: bool
    # Whether the target says that it did not run the request.
    not_run: bool
    load: TargetLoad | None = None


class HeaderCodec(abc.ABC):
    """Reads and writes a deployment's headers."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> RequestMetadata:
        """Return what a request's headers say."""

    @abc.abstractmethod
    def make_request_headers(
        self, headers: Headers, forwarding: ForwardingMetadata
    ) -> Headers:
        """Return end-to-end headers to send to a target."""

    @abc.abstractmethod
    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what an answer's status and headers say."""
