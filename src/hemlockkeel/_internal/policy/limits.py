"""Admission at an entry: concurrency by priority, fairness, retries."""

import collections
import dataclasses
import math

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import outcomes

# Share of an entry's places that each priority rank may fill.
RANK_SHARES = (1.0, 0.85, 0.7)
# The most that can be in flight, as a multiple of an entry's places: each
# priority can fill its share before a more urgent one arrives.
MAX_TOTAL_SHARE = sum(RANK_SHARES)
# Below this use, a caller may take as much as it likes.
CONTENDED_SHARE = 0.5
MIN_CALLER_REQUESTS = 2
# One caller alone may fill this share; the rest is for whoever comes next.
MAX_CALLER_SHARE = 0.75
RETRY_AFTER_MS = 500


@dataclasses.dataclass(frozen=True)
class Admission:
    """A place that a request holds until it ends."""

    caller: str
    rank: int


class AdmissionLimit:
    """Counts requests in flight; callers of this class hold a lock.

    Only requests of the same or a higher priority count against a request,
    so less urgent work never takes the place of more urgent work.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.by_rank: collections.Counter[int] = collections.Counter()
        self.by_caller: dict[str, collections.Counter[int]] = {}

    @property
    def in_flight(self) -> int:
        """Return the requests in flight of every priority."""
        return self.by_rank.total()

    def acquire(self, caller: str, rank: int) -> Admission | outcomes.Refused:
        """Take a place, or refuse: the lowest priority is shed first."""
        limit = self.capacity * RANK_SHARES[min(rank, len(RANK_SHARES) - 1)]
        if count_up_to(self.by_rank, rank) >= limit:
            return outcomes.refuse(
                outcomes.RefusalCode.BUSY,
                "the service is at its limit for this priority",
                RETRY_AFTER_MS,
            )
        if self.exceeds_fair_share(caller, rank):
            return outcomes.refuse(
                outcomes.RefusalCode.CALLER_LIMIT,
                "this caller holds its share of the service already",
                RETRY_AFTER_MS,
            )
        self.by_rank[rank] += 1
        held = self.by_caller.setdefault(caller, collections.Counter())
        held[rank] += 1
        return Admission(caller, rank)

    def exceeds_fair_share(self, caller: str, rank: int) -> bool:
        """Tell whether a caller has its fair share under contention."""
        contended = self.capacity * CONTENDED_SHARE
        if count_up_to(self.by_rank, rank) < contended:
            return False
        held = self.by_caller.get(caller, collections.Counter())
        active = self.count_callers(rank) + (count_up_to(held, rank) == 0)
        share = min(1.0 / active, MAX_CALLER_SHARE)
        places = max(MIN_CALLER_REQUESTS, math.ceil(self.capacity * share))
        return count_up_to(held, rank) >= places

    def count_callers(self, rank: int) -> int:
        """Return the callers with work of a priority or a higher one."""
        return sum(
            count_up_to(held, rank) > 0 for held in self.by_caller.values()
        )

    def release(self, place: Admission) -> None:
        """Give a place back."""
        self.by_rank[place.rank] -= 1
        held = self.by_caller[place.caller]
        held[place.rank] -= 1
        if held.total() <= 0:
            del self.by_caller[place.caller]
        exceptions.require(
            self.by_rank[place.rank] >= 0, "more left than entered"
        )


def count_up_to(counts: collections.Counter[int], rank: int) -> int:
    """Return the count of a priority rank and the more urgent ones."""
    return sum(number for at, number in counts.items() if at <= rank)


class RetryBudget:
    """Allows retries as a share of fresh requests."""

    def __init__(self, ratio: float = 0.2, reserve: float = 10.0) -> None:
        self.ratio = ratio
        self.reserve = reserve
        self.balance = reserve

    def deposit(self) -> None:
        """Count a fresh request."""
        self.balance = min(self.reserve, self.balance + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry; tell whether the budget allowed it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
