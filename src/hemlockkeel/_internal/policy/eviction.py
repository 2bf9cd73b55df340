"""Which adapter gives up its slot."""

import abc
import collections.abc
import dataclasses
import math

from hemlockkeel._internal.models import adapters

HINT_HALF_LIFE_S = 120.0


@dataclasses.dataclass
class SlotUse:
    """What is known of one loaded adapter's use."""

    ref: adapters.AdapterRef
    last_used: float
    # Requests a second as last estimated, and when that was.
    rate: float = 0.0
    rate_at: float = 0.0


class EvictionPolicy(abc.ABC):
    """Values a loaded adapter; the least valuable one is evicted."""

    @abc.abstractmethod
    def get_value(self, use: SlotUse, now: float) -> float:
        """Return what losing the adapter is expected to cost."""

    def choose(
        self, uses: collections.abc.Iterable[SlotUse], now: float
    ) -> SlotUse | None:
        """Return the slot to evict; None when there is none."""
        return min(
            uses,
            key=lambda use: (self.get_value(use, now), str(use.ref)),
            default=None,
        )


class LeastRecentlyUsed(EvictionPolicy):
    """Evicts the adapter that was used longest ago."""

    def get_value(self, use: SlotUse, now: float) -> float:
        return use.last_used


class LeastRate(EvictionPolicy):
    """Evicts the adapter with the lowest expected request rate.

    The estimate fades when no request confirms it, so an adapter that fell
    out of favour gives way.
    """

    def get_value(self, use: SlotUse, now: float) -> float:
        age = max(0.0, now - use.rate_at)
        return use.rate * math.exp2(-age / HINT_HALF_LIFE_S)
