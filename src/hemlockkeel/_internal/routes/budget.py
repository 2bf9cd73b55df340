"""An entry's part of a service's retry budget.

In any sliding window, all entries together may send at most a ratio of the
service's requests, plus a reserve, as retries. Each entry applies the ratio
to its own requests and uses its share of the reserve.
"""

import collections
import dataclasses

# Entries use only this part of the budget, so that together they stay below
# it although some learn of a new entry up to a second later than others.
SAFE_SHARE = 0.75


@dataclasses.dataclass(frozen=True)
class RetryBudgetLimits:
    """Limits on the retries of a service over all entries."""

    # Retries per request.
    ratio: float
    # Length of the sliding window, seconds.
    window_s: float
    # Retries per window that are allowed in addition to the ratio.
    reserve: float


class RetryBudget:
    """Counts one service's requests and retries at one entry."""

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self.limits = limits
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count a request, without its retries."""
        self.expire(now)
        self.requests.append(now)

    def expire(self, now: float) -> None:
        """Drop requests and retries that are older than the window."""
        horizon = now - self.limits.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < horizon:
                times.popleft()

    def try_spend(self, now: float, reserve_share: float) -> bool:
        """Count a retry if the budget allows it; return whether it does.

        ``reserve_share`` is this entry's share of the reserve, from 0 to 1.
        """
        self.expire(now)
        allowed = len(self.requests) * self.limits.ratio * SAFE_SHARE
        allowed += self.limits.reserve * SAFE_SHARE * reserve_share
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True
