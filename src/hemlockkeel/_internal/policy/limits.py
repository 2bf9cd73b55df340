"""Admission at an entry: concurrency by priority, fairness, retries."""

import collections
import dataclasses
import math

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import outcomes

# Share of an entry's places that each priority rank may fill.
RANK_SHARES = (1.0, 0.85, 0.7)
# Below this use, a caller may take as much as it likes.
CONTENDED_SHARE = 0.5
MIN_CALLER_PLACES = 2
# One caller alone may fill this share; the rest is for whoever comes next.
MAX_CALLER_SHARE = 0.75
RETRY_AFTER_MS = 500


@dataclasses.dataclass(frozen=True)
class Place:
    """A place that a request holds until it ends."""

    caller: str
    rank: int


class AdmissionLimit:
    """Counts requests in flight; callers of this class hold a lock."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.in_flight = 0
        self.by_caller: collections.Counter[str] = collections.Counter()

    def enter(self, caller: str, rank: int) -> Place | outcomes.Refused:
        """Take a place, or refuse: the lowest priority is shed first."""
        limit = self.capacity * RANK_SHARES[min(rank, len(RANK_SHARES) - 1)]
        if self.in_flight >= limit:
            return outcomes.refuse(
                outcomes.RefusalCode.BUSY,
                "the service is at its limit for this priority",
                RETRY_AFTER_MS,
            )
        if self.is_over_share(caller):
            return outcomes.refuse(
                outcomes.RefusalCode.CALLER_LIMIT,
                "this caller holds its share of the service already",
                RETRY_AFTER_MS,
            )
        self.in_flight += 1
        self.by_caller[caller] += 1
        return Place(caller, rank)

    def is_over_share(self, caller: str) -> bool:
        """Tell whether a caller has its fair share under contention."""
        if self.in_flight < self.capacity * CONTENDED_SHARE:
            return False
        active = len(self.by_caller) + (caller not in self.by_caller)
        share = min(1.0 / active, MAX_CALLER_SHARE)
        places = max(MIN_CALLER_PLACES, math.ceil(self.capacity * share))
        return self.by_caller[caller] >= places

    def leave(self, place: Place) -> None:
        """Give a place back."""
        self.in_flight -= 1
        self.by_caller[place.caller] -= 1
        if self.by_caller[place.caller] <= 0:
            del self.by_caller[place.caller]
        exceptions.require(self.in_flight >= 0, "more left than entered")


class RetryBudget:
    """Allows retries as a share of fresh requests."""

    def __init__(self, share: float = 0.2, reserve: float = 10.0) -> None:
        self.share = share
        self.reserve = reserve
        self.balance = reserve

    def earn(self) -> None:
        """Count a fresh request."""
        self.balance = min(self.reserve, self.balance + self.share)

    def spend(self) -> bool:
        """Take one retry; tell whether the budget allowed it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
