"""Orders that an agent sends to its engine, and the engine's reports."""

import abc
import dataclasses
import enum

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.relay import header_codec


class Operation(enum.Enum):
    """What an order does."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to load or unload a model or an adapter of a model."""

    operation: Operation
    model: str
    # Name of the adapter; empty for the model itself.
    adapter: str = ""
    # Version to load; None for the newest. Unused when unloading.
    version: int | None = None


@dataclasses.dataclass(frozen=True)
class FencedOrder:
    """An order with the conditions under which the engine accepts it."""

    order: Order
    # Name of the agent.
    holder: str
    # Fencing token. Engines that enforce it refuse one that is lower than the
    # highest that they have seen.
    fence: int
    # The engine refuses the order unless it has accepted this many so far.
    expected_order_count: int
    # Instance that must carry it out; empty if unknown.
    instance_id: records.InstanceId


class Reply(enum.Enum):
    """An engine's reply to an order."""

    ACCEPTED = "accepted"
    # The model or adapter is loaded already.
    HOLDS_ALREADY = "holds_already"
    # Another order is in progress, or the order count differs.
    CONFLICT = "conflict"
    # A higher fencing token has been used.
    STALE_FENCE = "stale_fence"
    REFUSED = "refused"
    # Another instance of the engine has received the order.
    OTHER_INSTANCE = "other_instance"
    # No reply was received; the order may still be carried out.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Report:
    """Load and contents of an engine, as it reports them."""

    models: tuple[records.LoadedModel, ...]
    # Whether an order is in progress.
    busy: bool
    # Number of orders accepted since the start.
    order_count: int
    # Numbers of requests that are queued and running.
    queued: int
    running: int
    # Use and capacity of the KV cache, tokens.
    kv_used: int
    kv_total: int
    # Adapters that are being loaded, as (model, adapter).
    loading: tuple[tuple[str, str], ...]
    # Start of the process, milliseconds since the epoch; None if not given.
    started_at_ms: int | None = None
    # Whether the engine is leaving and wants no new work.
    leaving: bool = False


class EngineClient(abc.ABC):
    """Sends requests to one engine."""

    @abc.abstractmethod
    async def read_report(self) -> Report:
        """Return the engine's report.

        :raises OSError: when the engine cannot be reached.
        :raises TimeoutError: when it does not respond in time.
        :raises ValueError: when the response cannot be decoded.
        """

    @abc.abstractmethod
    async def send_order(self, order: FencedOrder) -> Reply:
        """Send an order; return `Reply.UNKNOWN` if no reply is received."""


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """An HTTP request to an engine."""

    method: bytes
    path: bytes
    headers: header_codec.Headers
    body: bytes = b""
    # Whether it changes nothing, so that a late response does no harm.
    repeatable: bool = False


class EngineCodec(abc.ABC):
    """Encodes requests to engines of a platform and decodes the responses."""

    @abc.abstractmethod
    def encode_report_request(self) -> HttpRequest:
        """Return the request for a report."""

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> Report:
        """Return the report in a response body.

        :raises ValueError: when the body is not a valid report.
        """

    @abc.abstractmethod
    def encode_order(self, order: FencedOrder) -> HttpRequest:
        """Return the request that sends an order."""

    @abc.abstractmethod
    def decode_order_reply(self, status: int) -> Reply:
        """Return the reply that a response's status stands for."""
