"""An entry's part of the retry budget that all entries share.

The budget bounds the extra sends of a service in any sliding window by a
share of its requests plus a reserve. An entry spends of the share what its
own requests earn, and of the reserve its even part, as membership tells.
"""

import collections
import dataclasses

# Part of the bound that is used, so that two entries with views of the
# membership a second apart stay below it together.
SAFE_SHARE = 0.75


@dataclasses.dataclass(frozen=True)
class RetryBudgetLimits:
    """The bound that holds over all entries."""

    ratio: float
    window_s: float
    reserve: float


class RetryBudget:
    """Counts one service's requests and extra sends at one entry."""

    def __init__(self, bound: RetryBudgetLimits, started_at: float) -> None:
        self.bound = bound
        self.started_at = started_at
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a fresh request."""
        self.expire(now)
        self.requests.append(now)

    def expire(self, now: float) -> None:
        """Drop what is older than the window."""
        horizon = now - self.bound.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < horizon:
                times.popleft()

    def try_spend(self, now: float, entries: int) -> bool:
        """Take one extra send; tell whether the budget allows it."""
        self.expire(now)
        allowed = len(self.requests) * self.bound.ratio * SAFE_SHARE
        if now - self.started_at >= self.bound.window_s:
            # Before, the previous incarnation's sends may still count.
            allowed += self.bound.reserve * SAFE_SHARE / max(1, entries)
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True
