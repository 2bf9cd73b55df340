"""Base class of the drivers that run an agent's work orders on a target."""

import abc
import dataclasses

from hemlockkeel._internal.models import members
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes

UNKNOWN_EPOCH = -1


class TargetDriver(abc.ABC):
    """Runs work orders on one target and reports its load."""

    @abc.abstractmethod
    def describe(self) -> members.TargetInfo:
        """Return the target's description, for its registration.

        :raises UnreachableError: when the target does not respond.
        """

    @abc.abstractmethod
    def start(self) -> None:
        """Start background work on the target, if there is any."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop background work; orders that have not started do not run."""

    @abc.abstractmethod
    def submit(self, order: ttypes.WorkOrder) -> outcomes.Refused | None:
        """Queue a work order; return a refusal if it was not accepted."""

    @abc.abstractmethod
    def cancel(self, request_id: str, attempt: int) -> bool:
        """Stop an attempt; return False if it could not be stopped."""

    @abc.abstractmethod
    def get_load(self, known_epoch: int = UNKNOWN_EPOCH) -> ttypes.LoadReport:
        """Return the current load.

        The lists of adapters and prefixes are omitted if they have not
        changed since ``known_epoch``, the epoch that the reader has seen.
        """

    @abc.abstractmethod
    def count_unfinished(self) -> int:
        """Return the number of orders that are queued or running."""


@dataclasses.dataclass(frozen=True)
class AttemptKey:
    """Identifies one attempt at a request."""

    request_id: str
    number: int

    @property
    def engine_run_id(self) -> str:
        """Return the id under which the engine runs the attempt."""
        return f"{self.request_id}.{self.number}"
