"""Interface between an agent and its model engine."""

import abc
import collections.abc
import dataclasses
import enum

from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes


class EngineRole(enum.Enum):
    """Phase of inference that an engine runs; MIXED runs both phases."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True)
class Identity:
    """Identity and configuration of an engine process."""

    # Random for each start of the process, so that a restart is detected.
    boot_id: str
    base_model: str
    role: EngineRole
    # Requests in a batch, and adapters in memory, at most.
    batch_slots: int
    adapter_slots: int
    # Whether it refuses orders with an outdated fencing token.
    enforces_fencing: bool
    # Empty if the engine does not tell it.
    software_version: str = ""


@dataclasses.dataclass(frozen=True)
class RunOrder:
    """A request to run on an engine."""

    request_id: ids.RequestId
    # None runs the base model without an adapter.
    ref: adapters.AdapterRef | None
    base_model: str
    # Body of the caller's completion request, JSON.
    body: bytes
    # 0 is the most urgent.
    priority: int
    fence: ids.Fence


@dataclasses.dataclass(frozen=True)
class TokenChunk:
    """Generated tokens, starting at an offset in the response."""

    offset: int
    tokens: list[str]


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """End of a response, with the engine's account of it for verification."""

    # Number and digest of all tokens sent.
    length: int
    digest: str
    # Adapter or base model that ran.
    ref: str


Event = TokenChunk | StreamEnd


@dataclasses.dataclass(frozen=True)
class Report:
    """Load of an engine; may be out of date."""

    boot_id: str
    # Requests in the batch and in the queue.
    running: int
    queued: int
    # Loaded adapters, as ``name@version``.
    loaded: list[str]
    # Time of the report by the engine's own clock, seconds.
    taken_at: float


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """Insertion into or eviction from the engine's prefix cache."""

    sequence: int
    prefix: str
    present: bool


class RunFailedError(Exception):
    """A run ended without a complete response.

    ``crashed`` is set if the connection to the engine was lost during the
    run, which may be due to a crash of the engine.
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
    """A model engine.

    Except for `run` and `resume`, methods raise `EngineOrderError` when the
    engine refuses the call and `UnreachableError` when it does not respond.
    """

    @abc.abstractmethod
    def get_identity(self) -> Identity:
        """Return the identity of the running engine process."""

    @abc.abstractmethod
    def run(self, order: RunOrder) -> collections.abc.Iterator[Event]:
        """Run a request and yield the events of its response.

        :raises RunFailedError: when no complete response was received; its
            verdict tells whether the request may have run.
        """

    @abc.abstractmethod
    def resume(
        self, request_id: ids.RequestId, offset: int
    ) -> collections.abc.Iterator[Event]:
        """Yield the events of an earlier run from a token offset on.

        :raises RunFailedError: when the engine does not know the run, or no
            complete response was received.
        """

    @abc.abstractmethod
    def cancel(self, request_id: ids.RequestId, fence: ids.Fence) -> bool:
        """Cancel a run; return False if the engine does not know it."""

    @abc.abstractmethod
    def load_adapter(self, ref: adapters.AdapterRef, fence: ids.Fence) -> None:
        """Load an adapter version into a free slot."""

    @abc.abstractmethod
    def unload_adapter(
        self, ref: adapters.AdapterRef, fence: ids.Fence
    ) -> None:
        """Unload an adapter version and free its slot."""

    @abc.abstractmethod
    def load_model(self, base_model: str, fence: ids.Fence) -> None:
        """Load another base model; this unloads all adapters."""

    @abc.abstractmethod
    def change_role(self, role: EngineRole, fence: ids.Fence) -> None:
        """Change the phase of inference that the engine runs."""

    @abc.abstractmethod
    def export_cache(self, prefix: str) -> bytes:
        """Return the KV cache of a prompt prefix."""

    @abc.abstractmethod
    def import_cache(self, prefix: str, data: bytes, fence: ids.Fence) -> None:
        """Store the KV cache of a prompt prefix."""

    @abc.abstractmethod
    def get_events(self, after: int) -> list[CacheEvent]:
        """Return cache events after a sequence number.

        Events may be missing; a gap in their sequence numbers shows it.
        """

    @abc.abstractmethod
    def get_report(self) -> Report:
        """Return the load of the engine."""
