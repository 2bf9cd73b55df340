"""How an agent runs work on its target."""

import abc
import dataclasses

from hemlockkeel._internal.models import members
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes

UNKNOWN_EPOCH = -1


class TargetDriver(abc.ABC):
    """Runs work orders and reports load."""

    @abc.abstractmethod
    def describe(self) -> members.TargetInfo:
        """Return what the target announces about itself.

        :raises UnreachableError: when the target does not answer.
        """

    @abc.abstractmethod
    def start(self) -> None:
        """Start serving."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop serving."""

    @abc.abstractmethod
    def submit(self, order: ttypes.WorkOrder) -> outcomes.Refused | None:
        """Queue a work order, or refuse it as not run."""

    @abc.abstractmethod
    def cancel(self, request_id: str, attempt: int) -> bool:
        """Stop an attempt; tell whether it was known."""

    @abc.abstractmethod
    def get_load(self, known_epoch: int = UNKNOWN_EPOCH) -> ttypes.LoadReport:
        """Return the current load.

        Lists are left out when the reader knows them at ``known_epoch``.
        """

    @abc.abstractmethod
    def count_unfinished(self) -> int:
        """Return how much work is queued or running."""


@dataclasses.dataclass(frozen=True)
class AttemptKey:
    """Key of one attempt in the engine."""

    request_id: str
    number: int

    @property
    def engine_run_id(self) -> str:
        """Return the id that the engine knows it by."""
        return f"{self.request_id}.{self.number}"
