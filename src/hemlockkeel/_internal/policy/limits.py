"""Limits on concurrent requests and on retries at an entry."""

import collections
import dataclasses
import math

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import outcomes

# Share of an entry's capacity that requests of a priority rank and the more
# urgent ones may use, the most urgent rank first.
RANK_SHARES = (1.0, 0.85, 0.7)
# Upper bound on requests in flight as a multiple of the capacity: each rank
# can use up its share before requests of a more urgent rank arrive.
MAX_TOTAL_SHARE = sum(RANK_SHARES)
# Callers are limited to a fair share once this share of the capacity is used.
CONTENDED_SHARE = 0.5
# A caller's fair share is at least this many requests.
MIN_CALLER_REQUESTS = 2
# Largest share of a single caller, so that there is room for others.
MAX_CALLER_SHARE = 0.75
RETRY_AFTER_MS = 500


@dataclasses.dataclass(frozen=True)
class Admission:
    """An admitted request; released when the request ends."""

    caller: str
    rank: int


class AdmissionLimit:
    """Limits the requests in flight by priority and by caller.

    Only requests of the same or a more urgent rank count towards the limit
    of a request, so less urgent requests never block more urgent ones. Not
    thread-safe: users hold a lock.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.by_rank: collections.Counter[int] = collections.Counter()
        self.by_caller: dict[str, collections.Counter[int]] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight of all ranks."""
        return self.by_rank.total()

    def acquire(self, caller: str, rank: int) -> Admission | outcomes.Refused:
        """Admit a request, or return why it is refused.

        The limit is lower for less urgent ranks, so these are shed first.
        """
        limit = self.capacity * RANK_SHARES[min(rank, len(RANK_SHARES) - 1)]
        if count_up_to(self.by_rank, rank) >= limit:
            return outcomes.refuse(
                outcomes.RefusalCode.BUSY,
                "too many requests of this or a higher priority in flight",
                RETRY_AFTER_MS,
            )
        if self.has_reached_fair_share(caller, rank):
            return outcomes.refuse(
                outcomes.RefusalCode.CALLER_LIMIT,
                "this caller has its share of requests in flight already",
                RETRY_AFTER_MS,
            )
        self.by_rank[rank] += 1
        counts = self.by_caller.setdefault(caller, collections.Counter())
        counts[rank] += 1
        return Admission(caller, rank)

    def has_reached_fair_share(self, caller: str, rank: int) -> bool:
        """Return whether a caller has reached its fair share.

        Always False while less than `CONTENDED_SHARE` is used. The fair share
        is equal for all callers with requests in flight of this or a more
        urgent rank, within `MIN_CALLER_REQUESTS` and `MAX_CALLER_SHARE`.
        """
        contended = self.capacity * CONTENDED_SHARE
        if count_up_to(self.by_rank, rank) < contended:
            return False
        counts = self.by_caller.get(caller, collections.Counter())
        active = self.count_callers(rank) + (count_up_to(counts, rank) == 0)
        share = min(1.0 / active, MAX_CALLER_SHARE)
        limit = max(MIN_CALLER_REQUESTS, math.ceil(self.capacity * share))
        return count_up_to(counts, rank) >= limit

    def count_callers(self, rank: int) -> int:
        """Return the number of callers with requests up to a rank."""
        return sum(
            count_up_to(counts, rank) > 0 for counts in self.by_caller.values()
        )

    def release(self, admission: Admission) -> None:
        """End an admitted request."""
        self.by_rank[admission.rank] -= 1
        counts = self.by_caller[admission.caller]
        counts[admission.rank] -= 1
        if counts.total() <= 0:
            del self.by_caller[admission.caller]
        exceptions.require(
            self.by_rank[admission.rank] >= 0,
            "more requests were released than admitted",
        )


def count_up_to(counts: collections.Counter[int], rank: int) -> int:
    """Return the count of a rank and the more urgent ones."""
    return sum(count for other, count in counts.items() if other <= rank)


class RetryBudget:
    """Token bucket that limits retries to a ratio of the requests.

    `reserve` is both its capacity and its initial balance.
    """

    def __init__(self, ratio: float = 0.2, reserve: float = 10.0) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.balance = reserve

    def deposit(self) -> None:
        """Count a request that is not a retry."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def try_spend(self) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
