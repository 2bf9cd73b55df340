"""Chooses the loaded adapter to evict when a slot is needed."""

import abc
import collections
import collections.abc
import dataclasses
import math

from hemlockkeel._internal.models import adapters

# Half-life of an entry's reported rate while it sends no newer one.
HINT_HALF_LIFE_S = 120.0
# Limit on the number of adapters whose rates are kept.
MAX_HINTED_ADAPTERS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class RateHint:
    """An adapter's request rate as one entry reported it."""

    # Requests per second, weighted by priority and divided by the number of
    # targets that have loaded the adapter.
    rate: float
    reported_at: float

    def get(self, now: float) -> float:
        """Return the rate, decayed by its age."""
        age = max(0.0, now - self.reported_at)
        return self.rate * math.exp2(-age / HINT_HALF_LIFE_S)


class RateHints:
    """Request rates of adapters that entries report along with requests.

    Beyond ``max_adapters``, the adapters with the oldest reports are dropped.
    """

    def __init__(self, max_adapters: int = MAX_HINTED_ADAPTERS) -> None:
        self.max_adapters = max_adapters
        self.hints: collections.OrderedDict[
            adapters.AdapterRef, dict[str, RateHint]
        ] = collections.OrderedDict()

    def record(
        self, ref: adapters.AdapterRef, owner: str, rate: float, now: float
    ) -> None:
        """Store the latest rate that an entry reports."""
        by_owner = self.hints.setdefault(ref, {})
        by_owner[owner] = RateHint(rate, now)
        self.hints.move_to_end(ref)
        if len(self.hints) > self.max_adapters:
            self.hints.popitem(last=False)

    def get(self, ref: adapters.AdapterRef, now: float) -> float:
        """Return the sum of the decayed rates of all entries."""
        by_owner = self.hints.get(ref)
        if by_owner is None:
            return 0.0
        return sum(hint.get(now) for hint in by_owner.values())


@dataclasses.dataclass
class SlotUsage:
    """How a loaded adapter is used."""

    ref: adapters.AdapterRef
    last_used_at: float
    hints: RateHints


class EvictionPolicy(abc.ABC):
    """Assigns a value to loaded adapters; the lowest one is evicted."""

    @abc.abstractmethod
    def get_value(self, use: SlotUsage, now: float) -> float:
        """Return the value of keeping the adapter, in any unit."""

    def choose_victim(
        self, uses: collections.abc.Iterable[SlotUsage], now: float
    ) -> SlotUsage | None:
        """Return the usage with the lowest value; None if there is none."""
        return min(
            uses,
            key=lambda use: (self.get_value(use, now), str(use.ref)),
            default=None,
        )


class LeastRecentlyUsed(EvictionPolicy):
    """Evicts the least recently used adapter (LRU)."""

    def get_value(self, use: SlotUsage, now: float) -> float:
        return use.last_used_at


class LowestRequestRate(EvictionPolicy):
    """Evicts the adapter with the lowest reported request rate.

    Reported rates decay, so an adapter that is no longer requested loses its
    value.
    """

    def get_value(self, use: SlotUsage, now: float) -> float:
        return use.hints.get(use.ref, now)
