"""An entry's part of a service's retry budget.

In any sliding window, all entries together may send at most a ratio of the
service's requests, plus a reserve, as retries. Each entry applies the ratio
to its own requests and uses an equal part of the reserve, according to the
number of entries that the control members announce.
"""

import collections
import dataclasses

# Entries use only this part of the budget, so that together they stay below
# it although some learn of a change in the number of entries up to a second
# later than others.
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

    def __init__(self, limits: RetryBudgetLimits, started_at: float) -> None:
        self.limits = limits
        self.started_at = started_at
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

    def try_spend(self, now: float, entries: int) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        self.expire(now)
        allowed = len(self.requests) * self.limits.ratio * SAFE_SHARE
        if now - self.started_at >= self.limits.window_s:
            # In the first window after a start, retries of the previous
            # process at this entry may have used up the reserve.
            allowed += self.limits.reserve * SAFE_SHARE / max(1, entries)
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True
