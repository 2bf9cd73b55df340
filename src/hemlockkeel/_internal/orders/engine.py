"""What an agent asks of its engine, and what the engine tells."""

import abc
import dataclasses
import enum

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.relay import header_codec


class Operation(enum.Enum):
    """Kinds of orders."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True)
class Order:
    """Load or unload a model, or an adapter of a model."""

    operation: Operation
    model: str
    # Empty for the model itself.
    adapter: str = ""
    # Version to load; None for the newest.
    version: int | None = None


@dataclasses.dataclass(frozen=True)
class FencedOrder:
    """An order with what proves that it may be carried out."""

    order: Order
    holder: str
    fence: int
    # Number of orders that the engine must have accepted so far.
    expected_order_count: int
    instance_id: records.InstanceId


class Reply(enum.Enum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    # Another order is under way, or the count differs.
    CONFLICT = "conflict"
    STALE_FENCE = "stale_fence"
    REFUSED = "refused"
    # Another start of the engine answered.
    OTHER_INSTANCE = "other_instance"
    # No answer: it may be carried out later.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Report:
    """An engine's state."""

    models: tuple[records.LoadedModel, ...]
    busy: bool
    order_count: int
    queued: int
    running: int
    kv_used: int
    kv_total: int
    # Adapters on their way, as (model, adapter).
    loading: tuple[tuple[str, str], ...]
    # Start of the process, milliseconds since the epoch; None if unsaid.
    started_at_ms: int | None = None


class EngineClient(abc.ABC):
    """Calls one engine."""

    @abc.abstractmethod
    async def read_report(self) -> Report:
        """Return the engine's state.

        :raises OSError: when it does not answer.
        :raises ValueError: when it answers what cannot be read.
        """

    @abc.abstractmethod
    async def send_order(self, order: FencedOrder) -> Reply:
        """Give an order; a lost answer is `Reply.UNKNOWN`."""


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """A call as it is sent."""

    method: bytes
    path: bytes
    headers: header_codec.Headers
    body: bytes = b""


class EngineCodec(abc.ABC):
    """Reads and writes a deployment's form of the engine's calls."""

    @abc.abstractmethod
    def encode_report_request(self) -> HttpRequest:
        """Return the call that asks for a report."""

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> Report:
        """Return a report.

        :raises ValueError: when the body is none.
        """

    @abc.abstractmethod
    def encode_order(self, order: FencedOrder) -> HttpRequest:
        """Return the call that gives an order."""

    @abc.abstractmethod
    def decode_order_reply(self, status: int) -> Reply:
        """Return what an answer's status says."""
