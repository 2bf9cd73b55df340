"""Metadata of requests and responses, and the codec of their headers.

A codec maps the header names of a platform to metadata; decisions are left
to the relay.
"""

import abc
import dataclasses

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that several requests may have in common."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """Metadata that a caller sends with a request."""

    request_id: str
    # How long the caller waits, seconds from when it sent the request; None
    # if not given.
    timeout_s: float | None = None
    model: str = ""
    # Empty for the base model.
    adapter: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    # Ids of the parts that other requests may have in common with this one.
    shared_parts: tuple[str, ...] = ()
    # Request that brought the first event of the stream that is resumed.
    resumed_request_id: str = ""
    # Keys by which the caller identifies itself; valid only if it is one. No
    # log line or error may show them.
    keys: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller has the beginning of the stream."""
        return bool(self.last_event_id or self.resumed_request_id)


@dataclasses.dataclass(frozen=True)
class ForwardingMetadata:
    """Metadata that the relay adds to a forwarded request."""

    # Time left until the deadline, seconds.
    timeout_s: float
    # The only instance of the target that may run the request.
    instance_id: str
    # Required version of the adapter; None for any.
    adapter_version: int | None = None
    # Priority rank at the target; None for its default.
    priority: int | None = None
    # Last event that the caller has received, when a stream is resumed.
    last_event_id: str = ""
    # Whether to remove the keys and names of organisations that the caller
    # has sent.
    hides_keys: bool = False
    # Organisation that the caller belongs to; empty for none.
    organisation: str = ""


@dataclasses.dataclass(frozen=True)
class TargetLoad:
    """Load that a target reports with a response."""

    running: int
    waiting: int
    slots: int
    # How long work takes there at this moment, as a multiple of the usual
    # time; None if the target does not say.
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """Metadata that a target sends with a response."""

    # Request that the response belongs to; empty if not given.
    request_id: str
    # Whether the response has the seal by which a target vouches for its body.
    sealed: bool
    # Whether the target declares that it did not run the request.
    not_run: bool
    load: TargetLoad | None = None
    # Whether the target is leaving and wants no further requests.
    leaving: bool = False
    # Requests a second that the target takes from all entries together; None
    # if it names no limit.
    rate_limit: float | None = None
    # Values of the limit that are no numbers.
    invalid_rate_limits: tuple[str, ...] = ()


class HeaderCodec(abc.ABC):
    """Reads and writes the headers of a platform."""

    @abc.abstractmethod
    def read_request(self, headers: Headers) -> RequestMetadata:
        """Return the metadata in a request's headers."""

    @abc.abstractmethod
    def read_keys(self, headers: Headers) -> tuple[bytes, ...]:
        """Return the keys in a request's headers."""

    @abc.abstractmethod
    def make_request_headers(
        self, headers: Headers, forwarding: ForwardingMetadata
    ) -> Headers:
        """Return the headers for a target, with the metadata added.

        ``headers`` are the end-to-end headers of the caller's request.
        """

    @abc.abstractmethod
    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return the metadata in a response's status and headers."""
