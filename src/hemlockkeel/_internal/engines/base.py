"""What an agent asks of the model engine beside it."""

import abc
import collections.abc
import dataclasses
import enum

from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes


class EngineRole(enum.Enum):
    """Part of the work that an engine does."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who an engine is since its last start."""

    boot_id: str
    base_model: str
    role: EngineRole
    batch_slots: int
    adapter_slots: int
    enforces_fencing: bool


@dataclasses.dataclass(frozen=True)
class RunOrder:
    """One request for an engine; ``ref`` is None for the base model."""

    request_id: ids.RequestId
    ref: adapters.AdapterRef | None
    base_model: str
    body: bytes
    priority: int
    fence: ids.Fence


@dataclasses.dataclass(frozen=True)
class TokenChunk:
    """Tokens of an answer, starting at an offset."""

    offset: int
    tokens: list[str]


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """End of an answer: what the engine says it sent, and on what."""

    length: int
    digest: str
    ref: str


Event = TokenChunk | StreamEnd


@dataclasses.dataclass(frozen=True)
class Report:
    """An engine's load; it may lag behind."""

    boot_id: str
    running: int
    queued: int
    loaded: list[str]
    taken_at: float


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A prefix entered or left the engine's cache."""

    sequence: int
    prefix: str
    present: bool


class RunFailedError(Exception):
    """A run ended without a whole answer.

    ``crashed`` tells that the engine went away while it ran.
    """

    def __init__(
        self,
        code: outcomes.RefusalCode,
        message: str,
        verdict: outcomes.Verdict,
        crashed: bool = False,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.verdict = verdict
        self.crashed = crashed


class Engine(abc.ABC):
    """One model engine.

    Orders raise `EngineOrderError` when refused and `UnreachableError` when
    the engine does not answer.
    """

    @abc.abstractmethod
    def get_identity(self) -> Identity:
        """Return the engine's boot identity."""

    @abc.abstractmethod
    def run(self, order: RunOrder) -> collections.abc.Iterator[Event]:
        """Run a request and yield its answer.

        :raises RunFailedError: with the verdict on whether it may have run.
        """

    @abc.abstractmethod
    def resume(
        self, request_id: ids.RequestId, offset: int
    ) -> collections.abc.Iterator[Event]:
        """Yield the rest of an answer from an offset."""

    @abc.abstractmethod
    def cancel(self, request_id: ids.RequestId, fence: ids.Fence) -> bool:
        """Stop a run; tell whether it was known."""

    @abc.abstractmethod
    def load_adapter(self, ref: adapters.AdapterRef, fence: ids.Fence) -> None:
        """Load an adapter version into a free slot."""

    @abc.abstractmethod
    def unload_adapter(
        self, ref: adapters.AdapterRef, fence: ids.Fence
    ) -> None:
        """Free an adapter version's slot."""

    @abc.abstractmethod
    def load_model(self, base_model: str, fence: ids.Fence) -> None:
        """Load another base model; this drops every adapter."""

    @abc.abstractmethod
    def change_role(self, role: EngineRole, fence: ids.Fence) -> None:
        """Change the part of the work that the engine does."""

    @abc.abstractmethod
    def export_cache(self, prefix: str) -> bytes:
        """Return the KV cache of a prompt prefix."""

    @abc.abstractmethod
    def import_cache(self, prefix: str, data: bytes, fence: ids.Fence) -> None:
        """Store the KV cache of a prompt prefix."""

    @abc.abstractmethod
    def get_events(self, after: int) -> list[CacheEvent]:
        """Return cache events after a sequence number; some may be lost."""

    @abc.abstractmethod
    def get_report(self) -> Report:
        """Return the engine's load."""
