"""How often adapters are asked for, on two time scales."""

import heapq
import math

FAST_HALF_LIFE_S = 60.0
SLOW_HALF_LIFE_S = 300.0
MAX_TRACKED = 20_000
PRUNE_SHARE = 0.25


class DecayedRate:
    """An exponentially decayed count, read as events a second."""

    __slots__ = ("count", "updated_at")

    def __init__(self) -> None:
        self.count = 0.0
        self.updated_at = 0.0

    def add(self, now: float, decay: float, amount: float = 1.0) -> None:
        """Count events at a time."""
        self.count = self.get_count(now, decay) + amount
        self.updated_at = now

    def get_count(self, now: float, decay: float) -> float:
        """Return the decayed count at a time."""
        elapsed = max(0.0, now - self.updated_at)
        return self.count * math.exp(-decay * elapsed)

    def get_rate(self, now: float, decay: float) -> float:
        """Return events a second."""
        return self.get_count(now, decay) * decay


class Popularity:
    """Rates of many names in bounded memory.

    When more than ``max_tracked`` names are known, the least popular
    quarter is forgotten; their rates are the nearest to zero.
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
        """Return requests a second, whichever scale says more.

        The slow scale carries steady popularity; the fast one shows an
        adapter that just woke up. A young slow count is divided by its
        real age, so that it is right from the start.
        """
        slow = self.slow.get(name)
        if slow is None or self.started_at is None:
            return 0.0
        age = max(1.0, now - self.started_at)
        seen = 1.0 - math.exp(-self.slow_decay * age)
        slow_rate = slow.get_rate(now, self.slow_decay) / seen
        fast_rate = self.fast[name].get_rate(now, self.fast_decay)
        # One or two recent requests say little; discount the fast scale
        # by its own uncertainty.
        count = self.fast[name].get_count(now, self.fast_decay)
        confident = max(0.0, 1.0 - 1.0 / math.sqrt(max(count, 1e-9)))
        return max(slow_rate, fast_rate * confident)

    def prune(self, now: float) -> None:
        """Forget the least popular names when there are too many."""
        if len(self.slow) < self.max_tracked:
            return
        amount = int(self.max_tracked * PRUNE_SHARE)
        coldest = heapq.nsmallest(
            amount, self.slow, key=lambda name: self.get_rate(name, now)
        )
        for name in coldest:
            del self.slow[name]
            del self.fast[name]

    def get_top(self, amount: int, now: float) -> list[str]:
        """Return the most popular names, the most popular first."""
        return heapq.nlargest(
            amount, self.slow, key=lambda name: self.get_rate(name, now)
        )
