"""Estimates request rates of adapters on a fast and a slow time scale."""

import heapq
import math

FAST_HALF_LIFE_S = 60.0
SLOW_HALF_LIFE_S = 300.0
MAX_TRACKED = 20_000
PRUNE_SHARE = 0.25


class DecayedRate:
    """Rate of events, estimated by an exponentially decayed count.

    ``decay`` is the decay constant, 1/s.
    """

    __slots__ = ("count", "updated_at")

    def __init__(self) -> None:
        self.count = 0.0
        self.updated_at = 0.0

    def add(self, now: float, decay: float, amount: float = 1.0) -> None:
        """Add events to the count."""
        self.count = self.get_count(now, decay) + amount
        self.updated_at = now

    def get_count(self, now: float, decay: float) -> float:
        """Return the decayed count."""
        elapsed = max(0.0, now - self.updated_at)
        return self.count * math.exp(-decay * elapsed)

    def get_rate(self, now: float, decay: float) -> float:
        """Return the rate, events per second."""
        return self.get_count(now, decay) * decay


class Popularity:
    """Request rates of many names in bounded memory.

    When ``max_tracked`` names are known and another one is added, the
    quarter of them with the lowest rates is dropped, as these are closest
    to zero anyway.
    """

    def __init__(
        self,
        fast_half_life_s: float = FAST_HALF_LIFE_S,
        slow_half_life_s: float = SLOW_HALF_LIFE_S,
        max_tracked: int = MAX_TRACKED,
    ) -> None:
        self.fast_decay = math.log(2) / fast_half_life_s
        self.slow_decay = math.log(2) / slow_half_life_s
        self.max_tracked = max_tracked
        self.fast: dict[str, DecayedRate] = {}
        self.slow: dict[str, DecayedRate] = {}
        self.started_at: float | None = None

    def add(self, name: str, now: float) -> None:
        """Count one request."""
        if self.started_at is None:
            self.started_at = now
        if name not in self.slow:
            self.prune(now)
            self.fast[name] = DecayedRate()
            self.slow[name] = DecayedRate()
        self.fast[name].add(now, self.fast_decay)
        self.slow[name].add(now, self.slow_decay)

    def get_rate(self, name: str, now: float) -> float:
        """Return requests per second, the higher of both scales.

        The slow scale suits steady rates, the fast one detects a sudden
        increase. Shortly after the start, the slow rate is divided by the
        share of its window that has been observed, so that it is not too
        low.
        """
        slow = self.slow.get(name)
        if slow is None or self.started_at is None:
            return 0.0
        age = max(1.0, now - self.started_at)
        observed = 1.0 - math.exp(-self.slow_decay * age)
        slow_rate = slow.get_rate(now, self.slow_decay) / observed
        fast_rate = self.fast[name].get_rate(now, self.fast_decay)
        # One or two recent requests are no reliable estimate: discount the
        # fast rate by its relative standard error, 1/sqrt(count).
        count = self.fast[name].get_count(now, self.fast_decay)
        confidence = max(0.0, 1.0 - 1.0 / math.sqrt(max(count, 1e-9)))
        return max(slow_rate, fast_rate * confidence)

    def prune(self, now: float) -> None:
        """Drop the names with the lowest rates when there are too many."""
        if len(self.slow) < self.max_tracked:
            return
        amount = int(self.max_tracked * PRUNE_SHARE)
        lowest = heapq.nsmallest(
            amount, self.slow, key=lambda name: self.get_rate(name, now)
        )
        for name in lowest:
            del self.slow[name]
            del self.fast[name]

    def get_top(self, amount: int, now: float) -> list[str]:
        """Return the names with the highest rates, the highest first."""
        return heapq.nlargest(
            amount, self.slow, key=lambda name: self.get_rate(name, now)
        )
