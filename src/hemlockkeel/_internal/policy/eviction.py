"""Which adapter gives up its slot."""

import abc
import collections
import collections.abc
import dataclasses
import math

from hemlockkeel._internal.models import adapters

HINT_HALF_LIFE_S = 120.0
MAX_HINTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class RateHint:
    """What one entry said of an adapter's request rate, and when."""

    rate: float
    at: float

    def get(self, now: float) -> float:
        """Return the rate, faded with age."""
        age = max(0.0, now - self.at)
        return self.rate * math.exp2(-age / HINT_HALF_LIFE_S)


class RateHints:
    """Request rates of adapters, summed over the entries that send them."""

    def __init__(self, max_adapters: int = MAX_HINTS) -> None:
        self.max_adapters = max_adapters
        self.hints: collections.OrderedDict[
            adapters.AdapterRef, dict[str, RateHint]
        ] = collections.OrderedDict()

    def record(
        self, ref: adapters.AdapterRef, owner: str, rate: float, now: float
    ) -> None:
        """Keep an entry's latest word."""
        by_owner = self.hints.setdefault(ref, {})
        by_owner[owner] = RateHint(rate, now)
        self.hints.move_to_end(ref)
        if len(self.hints) > self.max_adapters:
            self.hints.popitem(last=False)

    def get(self, ref: adapters.AdapterRef, now: float) -> float:
        """Return the rate over all entries."""
        by_owner = self.hints.get(ref)
        if by_owner is None:
            return 0.0
        return sum(hint.get(now) for hint in by_owner.values())


@dataclasses.dataclass
class SlotUsage:
    """What is known of one loaded adapter's use."""

    ref: adapters.AdapterRef
    last_used_at: float
    hints: RateHints


class EvictionPolicy(abc.ABC):
    """Values a loaded adapter; the least valuable one is evicted."""

    @abc.abstractmethod
    def get_value(self, use: SlotUsage, now: float) -> float:
        """Return what losing the adapter is expected to cost."""

    def choose_victim(
        self, uses: collections.abc.Iterable[SlotUsage], now: float
    ) -> SlotUsage | None:
        """Return the slot to evict; None when there is none."""
        return min(
            uses,
            key=lambda use: (self.get_value(use, now), str(use.ref)),
            default=None,
        )


class LeastRecentlyUsed(EvictionPolicy):
    """Evicts the adapter that was used longest ago."""

    def get_value(self, use: SlotUsage, now: float) -> float:
        return use.last_used_at


class LowestRequestRate(EvictionPolicy):
    """Evicts the adapter with the lowest expected request rate.

    The estimate fades when no request confirms it, so an adapter that fell
    out of favour gives way.
    """

    def get_value(self, use: SlotUsage, now: float) -> float:
        return use.hints.get(use.ref, now)
