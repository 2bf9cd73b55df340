"""Credit that keeps the organisations within their quotas.

The leader of the control members issues credit from one token bucket per
organisation. An entry spends the credit that it holds before it asks for
more. While it reaches no leader, it uses its part of the rate alone.

The decisions have no side effects; times are seconds of a clock that counts
the time for which the instance is suspended.
"""

import collections
import dataclasses
import math
import random

from hemlockkeel._internal.routes import organisations

# Credit that is not spent within this time expires, so that what was issued
# before a window adds at most this much of the rate to it.
CREDIT_LIFETIME_S = 1.0
# Entries ask for this much of their own recent use in advance.
PREFETCH_S = 0.5
# Time over which the recent use of an entry is averaged.
USE_AVERAGE_S = 2.0
# Part of the rate that a bucket may lack for a request. Without it, small
# requests would empty the bucket of a busy organisation before it ever holds
# enough for a large one.
MAX_DEBT_S = 0.25
# A request larger than the burst is granted only if the debt that it leaves
# is paid within this time.
MAX_LARGE_DEBT_S = 8.0
# Bounds of the time after which callers are told to come back.
MIN_WAIT_S = 0.02
MAX_WAIT_S = 5.0
# Time for which an entry repeats a refusal of the leader by itself, so that
# an organisation far above its quota costs each entry few calls.
MAX_REPEATED_REFUSAL_S = 0.1
# Buckets that nobody has asked for are forgotten after this time, or after
# the time that fills them if that is longer.
RETENTION_S = 60.0
# After this time without a leader, an entry uses only a part of its share:
# the leader counts lost entries for a limited time only.
LONG_ISOLATION_S = 50.0
LONG_ISOLATION_SHARE = 0.5
# Time for which the leader leaves lost entries their parts of all rates.
LOST_ENTRY_S = 60.0
# Part of what a window may hold that the leader issues. The rest covers credit
# that was issued just before a window.
WINDOW_SHARE = 0.85
# Parts of the tolerated tokens. The leader adds one to each burst, as requests
# come in groups. All entries together may use the other beside their parts of
# the rate when they lose the leader: few could run a single request during an
# election otherwise.
BURST_TOLERANCE_SHARE = 0.2
ISOLATION_TOLERANCE_SHARE = 0.5
# Time after which they may do so again, and for which the last level of a
# bucket that the leader has told is true.
ISOLATION_WINDOW_S = 8.0
LEVEL_LIFETIME_S = 2.0


@dataclasses.dataclass(frozen=True)
class Issue:
    """Credit that the leader issues."""

    # 0 if it refuses.
    units: float
    # Time after which to ask again if it refuses, seconds.
    wait_s: float = 0.0
    # Units that are left in the bucket.
    level: float = 0.0


@dataclasses.dataclass(frozen=True)
class Tolerance:
    """What a window may hold beyond a quota, as operators accept it."""

    # Length of the windows, seconds.
    window_s: float = 0.0
    # Part of the quota, and tokens.
    ratio: float = 0.0
    tokens: float = 0.0

    def apply(self, quota: organisations.Quota) -> organisations.Quota:
        """Return the quota that the leader issues.

        Requests within the tolerance are not refused, and no window holds
        more than it allows.
        """
        if quota.unit is not organisations.QuotaUnit.TOKENS:
            return quota
        if self.window_s <= 0.0:
            return quota
        nominal = quota.rate * self.window_s + quota.burst
        allowed = nominal * (1.0 + self.ratio) + self.tokens
        issued = min(
            WINDOW_SHARE * allowed,
            allowed - ISOLATION_TOLERANCE_SHARE * self.tokens,
        )
        burst = quota.burst + BURST_TOLERANCE_SHARE * self.tokens
        rate = max(quota.rate, (issued - burst) / self.window_s)
        return dataclasses.replace(quota, rate=rate, burst=burst)


NO_TOLERANCE = Tolerance()


@dataclasses.dataclass(slots=True)
class Bucket:
    """Credit of one organisation that has not been issued."""

    quota: organisations.Quota
    # Negative while there is a debt.
    level: float
    filled_at: float
    # Until when credit is expected to go to callers that were refused.
    promised_until: float = -math.inf

    def fill(self, share: float, now: float) -> None:
        """Add the credit of the time that has passed."""
        added = max(0.0, now - self.filled_at) * self.quota.rate * share
        self.level = min(self.quota.burst, self.level + added)
        self.filled_at = now

    def set_quota(self, quota: organisations.Quota) -> None:
        """Apply another quota; the level stays, up to the new burst."""
        self.quota = quota
        self.level = min(quota.burst, self.level)

    def get_shortage(self, units: float) -> float:
        """Return the units that are lacking to grant a request.

        A request larger than the burst needs a full bucket.
        """
        needed = self.quota.burst
        if units <= self.quota.burst:
            needed = max(0.0, units - MAX_DEBT_S * self.quota.rate)
        return max(0.0, needed - self.level)

    def is_too_large(self, units: float) -> bool:
        """Return whether a request can never be granted."""
        debt = units - self.quota.burst
        return debt > MAX_LARGE_DEBT_S * self.quota.rate

    def promise(
        self, units: float, shortage: float, share: float, now: float
    ) -> float:
        """Return when a refused request may be granted, seconds from now.

        Refused requests are told different times, at which there is credit
        for one after the other.
        """
        rate = self.quota.rate * share
        wait_s = max(MIN_WAIT_S, shortage / rate)
        due_at = max(now + wait_s, self.promised_until)
        due_at = min(due_at, now + MAX_WAIT_S)
        self.promised_until = due_at + units / rate
        return due_at - now


class CreditIssuer:
    """The buckets of all organisations, at the leader."""

    def __init__(self) -> None:
        self.buckets: dict[organisations.OrganisationName, Bucket] = {}
        self.begun_at = 0.0
        # Part of the rates that is issued; the rest is that of entries which
        # may go on without contact.
        self.share = 1.0

    def begin_term(self, now: float) -> None:
        """Start with empty buckets.

        The leader before may just have issued all that they had.
        """
        self.buckets.clear()
        self.begun_at = now

    def issue(
        self,
        name: organisations.OrganisationName,
        quota: organisations.Quota,
        units: float,
        prefetch: float,
        now: float,
    ) -> Issue:
        """Issue credit for one request, and in advance if there is plenty."""
        if not units > 0.0:
            return Issue(0.0)
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = Bucket(quota, 0.0, self.begun_at)
            self.buckets[name] = bucket
        bucket.fill(self.share, now)
        if bucket.quota != quota:
            bucket.set_quota(quota)
        if bucket.is_too_large(units):
            return Issue(0.0, MAX_WAIT_S)
        shortage = bucket.get_shortage(units)
        if shortage > 0.0 or bucket.level <= 0.0:
            wait_s = bucket.promise(units, shortage, self.share, now)
            return Issue(0.0, wait_s)
        bucket.level -= units
        spare = max(0.0, bucket.level - quota.burst / 2)
        extra = min(spare, max(0.0, prefetch))
        bucket.level -= extra
        return Issue(units + extra, level=max(0.0, bucket.level))

    def expire(self, now: float) -> None:
        """Forget buckets that are full again."""
        for name, bucket in list(self.buckets.items()):
            quota = bucket.quota
            fill_s = (quota.burst - bucket.level) / quota.rate
            if now - bucket.filled_at > max(RETENTION_S, 2 * fill_s):
                del self.buckets[name]


class EntryCount:
    """Entries that are connected to a member, and those that it has lost.

    A lost entry may still run and use its part of the rates alone, so the
    leader does not issue that part.
    """

    def __init__(self) -> None:
        # Connections by the name of an entry.
        self.connected: collections.Counter[str] = collections.Counter()
        # When entries were lost.
        self.lost: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Record the connection of an entry."""
        self.connected[name] += 1
        self.lost.pop(name, None)

    def remove(self, name: str, now: float) -> None:
        """Record the loss of a connection."""
        self.connected[name] -= 1
        if self.connected[name] <= 0:
            del self.connected[name]
            self.lost[name] = now

    def get_share(self, now: float) -> float:
        """Return the part of the rates that the connected entries may use."""
        if not self.lost:
            return 1.0
        self.lost = {
            name: at
            for name, at in self.lost.items()
            if now - at < LOST_ENTRY_S
        }
        connected = max(1, len(self.connected))
        return connected / (connected + len(self.lost))


class UseMeter:
    """Average use of the last seconds."""

    def __init__(self, now: float) -> None:
        self.units = 0.0
        self.updated_at = now

    def add(self, units: float, now: float) -> None:
        """Count units that were used."""
        self.units = self.get_rate(now) * USE_AVERAGE_S + units
        self.updated_at = now

    def get_rate(self, now: float) -> float:
        """Return the units used per second."""
        age_s = max(0.0, now - self.updated_at)
        return self.units * math.exp(-age_s / USE_AVERAGE_S) / USE_AVERAGE_S


class LocalBucket:
    """An entry's part of a rate while it reaches no leader.

    It is in debt for one request at most and is not filled in advance. It
    starts with a random part of a request's debt: entries that lose contact
    together, again and again, use their parts of the rate on average, and
    ``bonus`` of each once.
    """

    def __init__(
        self, first_cost: float, bonus: float, rng: random.Random, now: float
    ) -> None:
        self.level = bonus - rng.random() * first_cost
        self.filled_at = now

    def acquire(self, cost: float, rate: float, now: float) -> float:
        """Grant a request; return 0, or the wait in seconds if refused."""
        added = max(0.0, now - self.filled_at) * rate
        self.level = max(self.level, min(0.0, self.level + added))
        self.filled_at = now
        if self.level < 0.0:
            return min(MAX_WAIT_S, -self.level / rate)
        self.level -= cost
        return 0.0


@dataclasses.dataclass(frozen=True)
class Lot:
    """Credit that was issued at once."""

    expires_at: float
    units: float


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The last refusal of the leader."""

    cost: float
    # Until when it is repeated without asking.
    repeated_until: float
    # When the leader expects to have credit.
    due_at: float


@dataclasses.dataclass(frozen=True)
class Answer:
    """Decision on a request at an entry."""

    granted: bool
    # Time after which to come back if it is refused, seconds.
    wait_s: float = 0.0


GRANTED = Answer(True)


class EntryAccount:
    """What one entry knows of one organisation."""

    def __init__(
        self,
        quota: organisations.Quota,
        now: float,
        tolerance: Tolerance = NO_TOLERANCE,
    ) -> None:
        self.quota = quota
        self.tolerance = tolerance
        # In the order of expiry.
        self.held: list[Lot] = []
        self.use = UseMeter(now)
        self.refusal: Refusal | None = None
        self.local: LocalBucket | None = None
        # When contact was lost before ``local`` was made.
        self.isolated_at = -math.inf
        # Level of the leader's bucket, and when the leader told it.
        self.level = 0.0
        self.level_at = -math.inf
        self.used_at = now

    def set_quota(self, quota: organisations.Quota) -> None:
        """Apply another quota; credit that is held was issued by the old."""
        if quota == self.quota:
            return
        if quota.unit is not self.quota.unit or quota.rate < self.quota.rate:
            self.held.clear()
        self.quota = quota
        self.refusal = None

    def get_held(self, now: float) -> float:
        """Return the units that are held and have not expired."""
        self.held = [lot for lot in self.held if lot.expires_at > now]
        return sum(lot.units for lot in self.held)

    def decide(self, cost: float, now: float) -> Answer | None:
        """Decide on a request; None if the leader has to be asked."""
        self.used_at = now
        if self.spend(cost, now):
            return GRANTED
        refusal = self.refusal
        if (
            refusal is not None
            and cost >= refusal.cost
            and now < refusal.repeated_until
        ):
            return Answer(False, max(0.0, refusal.due_at - now))
        return None

    def spend(self, cost: float, now: float) -> bool:
        """Spend credit that is held, if it is enough."""
        if self.get_held(now) < cost:
            return False
        self.use.add(cost, now)
        left = cost
        while left > 0.0 and self.held:
            lot = self.held.pop(0)
            if lot.units > left:
                self.held.insert(0, Lot(lot.expires_at, lot.units - left))
            left -= lot.units
        return True

    def get_prefetch(self, now: float) -> float:
        """Return the units to ask for in advance."""
        return PREFETCH_S * self.use.get_rate(now)

    def record_grant(
        self, cost: float, issue: Issue, expires_at: float, now: float
    ) -> Answer:
        """Use granted units for a request; hold the rest until it expires."""
        self.refusal = None
        self.level, self.level_at = issue.level, now
        self.use.add(cost, now)
        self.hold(issue.units - cost, expires_at)
        return GRANTED

    def record_refusal(self, cost: float, wait_s: float, now: float) -> Answer:
        """Remember that the leader has refused a request."""
        self.level, self.level_at = 0.0, now
        repeated_until = now + min(wait_s, MAX_REPEATED_REFUSAL_S)
        self.refusal = Refusal(cost, repeated_until, now + wait_s)
        return Answer(False, wait_s)

    def hold(self, units: float, expires_at: float) -> None:
        """Add to the credit that is held."""
        if units <= 0.0:
            return
        self.held.append(Lot(expires_at, units))
        self.held.sort(key=lambda lot: lot.expires_at)

    def give_back(self, units: float, now: float) -> None:
        """Hold the credit of a request that never ran.

        No more is held than was used in a lifetime: while nothing can run,
        the credit of minutes would come back at once otherwise.
        """
        limit = max(units, self.use.get_rate(now) * CREDIT_LIFETIME_S)
        units = min(units, limit - self.get_held(now))
        self.hold(units, now + CREDIT_LIFETIME_S)

    def decide_alone(
        self,
        cost: float,
        entry_count: int,
        isolated_at: float,
        rng: random.Random,
        now: float,
    ) -> Answer:
        """Decide on a request while no leader is reached.

        ``isolated_at`` is when the entry has lost contact.
        """
        if self.local is None or self.isolated_at != isolated_at:
            bonus = self.get_isolation_bonus(isolated_at) / max(1, entry_count)
            self.local = LocalBucket(cost, bonus, rng, now)
            self.isolated_at = isolated_at
        rate = self.quota.rate / max(1, entry_count)
        if now - isolated_at > LONG_ISOLATION_S:
            rate *= LONG_ISOLATION_SHARE
        wait_s = self.local.acquire(cost, rate, now)
        if wait_s > 0.0:
            return Answer(False, wait_s)
        self.use.add(cost, now)
        return GRANTED

    def get_isolation_bonus(self, isolated_at: float) -> float:
        """Return what all entries may use beside the rate without a leader.

        That includes what the lost leader had not issued: the next one
        starts with empty buckets.
        """
        if isolated_at - self.isolated_at < ISOLATION_WINDOW_S:
            return 0.0
        bonus = 0.0
        if self.quota.unit is organisations.QuotaUnit.TOKENS:
            bonus = ISOLATION_TOLERANCE_SHARE * self.tolerance.tokens
        if isolated_at - self.level_at < LEVEL_LIFETIME_S:
            bonus += min(self.level, self.quota.burst)
        return bonus
