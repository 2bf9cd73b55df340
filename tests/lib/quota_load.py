"""Plays load of organisations through the decisions on credit."""

import collections
import dataclasses
import heapq
import itertools
import random

from hemlockkeel._internal.policy import credit
from hemlockkeel._internal.routes import organisations

WINDOW_S = 8.0
# What a window may hold more than the quota: a part of it, and tokens.
ALLOWED_RATIO = 1.1
ALLOWED_TOKENS = 110_000.0
TOLERANCE = credit.Tolerance(WINDOW_S, ALLOWED_RATIO - 1.0, ALLOWED_TOKENS)
COSTS = (9246.0, 1114.0)
# As `relay.quotas.MAX_HOLD_S`, and the time without a reply of the leader
# after which an entry decides alone.
MAX_HOLD_S = 0.25
CALL_TIMEOUT_S = 0.5
PROBE_S = 0.2


@dataclasses.dataclass
class Demand:
    """What one organisation sends, as a multiple of its quota by time."""

    name: organisations.OrganisationName
    quota: organisations.Quota
    # (from, multiple of the rate), in order.
    levels: list[tuple[float, float]]
    # Weight of each entry; None for equal parts.
    weights: list[float] | None = None


@dataclasses.dataclass
class Played:
    """Requests of one organisation: (time, cost, entry)."""

    sent: list[tuple[float, float, int]] = dataclasses.field(
        default_factory=list
    )
    granted: list[tuple[float, float, int]] = dataclasses.field(
        default_factory=list
    )

    def get_share(self, since: float = 0.0, until: float = 1e9) -> float:
        """Return the part of the tokens sent that was granted."""
        sent = sum(c for at, c, _ in self.sent if since <= at < until)
        granted = sum(c for at, c, _ in self.granted if since <= at < until)
        return granted / sent

    def get_rate(self, since: float, until: float) -> float:
        """Return the tokens granted per second."""
        granted = sum(c for at, c, _ in self.granted if since <= at < until)
        return granted / (until - since)

    def get_largest_window(self, since: float = 0.0) -> float:
        """Return the most tokens granted in a window that begins later."""
        window: collections.deque[tuple[float, float]] = collections.deque()
        total = largest = 0.0
        for at, cost, _ in sorted(self.granted):
            if at < since:
                continue
            window.append((at, cost))
            total += cost
            while window[0][0] < at - WINDOW_S:
                total -= window.popleft()[1]
            largest = max(largest, total)
        return largest


class Fleet:
    """Entries and a leader, in simulated time."""

    def __init__(self, entry_count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.entry_count = entry_count
        self.issuer = credit.CreditIssuer()
        self.entries = credit.EntryCount()
        for entry in range(entry_count):
            self.entries.add(str(entry))
        self.quotas: dict[str, organisations.Quota] = {}
        self.has_leader = True
        self.cut_off: set[int] = set()
        self.isolated_at: dict[int, float] = {}
        self.accounts: dict[tuple[int, str], credit.EntryAccount] = {}
        self.played: dict[str, Played] = collections.defaultdict(Played)
        self.calls = 0
        # Number of entries by which all demand is moved.
        self.moved_by = 0
        # Changes to the fleet: (time, number, callable).
        self.changes: list = []  # type: ignore[type-arg]
        self.numbers = itertools.count()

    # Changes

    def at(self, time_s: float, change) -> None:  # type: ignore
        """Schedule a change, which is called with the time."""
        heapq.heappush(self.changes, (time_s, next(self.numbers), change))

    def stop_leader(self, now: float) -> None:
        self.has_leader = False

    def start_leader(self, now: float) -> None:
        self.has_leader = True
        self.issuer.begin_term(now)

    def cut(self, entry: int, now: float) -> None:
        """Cut an entry off; its links are closed after 1.6 s."""
        self.cut_off.add(entry)
        self.at(now + 1.6, lambda t: self.entries.remove(str(entry), t))

    def reconnect(self, entry: int, now: float) -> None:
        self.cut_off.discard(entry)
        self.entries.add(str(entry))

    # Load

    def play(self, demands: list[Demand], seconds: float) -> None:
        """Play Poisson arrivals of every organisation."""
        arrivals: list[tuple[float, int, str, float, int, float]] = []
        number = itertools.count()
        for demand in demands:
            self.quotas[demand.name] = demand.quota
            for at, cost, entry in self.make_arrivals(demand, seconds):
                self.played[demand.name].sent.append((at, cost, entry))
                arrivals.append(
                    (at, next(number), demand.name, cost, entry, MAX_HOLD_S)
                )
        heapq.heapify(arrivals)
        while arrivals:
            now, _, name, cost, entry, hold_s = heapq.heappop(arrivals)
            while self.changes and self.changes[0][0] <= now:
                changed_at, _, change = heapq.heappop(self.changes)
                change(changed_at)
            entry = (entry + self.moved_by) % self.entry_count
            answer = self.decide(name, cost, entry, now)
            if answer.granted:
                self.played[name].granted.append((now, cost, entry))
            elif answer.wait_s <= hold_s:
                heapq.heappush(
                    arrivals,
                    (now + answer.wait_s, next(number), name, cost, entry, -1),
                )

    def make_arrivals(
        self, demand: Demand, seconds: float
    ) -> list[tuple[float, float, int]]:
        mean = sum(COSTS) / len(COSTS)
        made = []
        now = 0.0
        while True:
            level = [x for at, x in demand.levels if at <= now][-1]
            now += self.rng.expovariate(level * demand.quota.rate / mean)
            if now >= seconds:
                return made
            cost = self.rng.choice(COSTS)
            entry = self.rng.choices(range(self.entry_count), demand.weights)[
                0
            ]
            made.append((now, cost, entry))

    def decide(
        self, name: str, cost: float, entry: int, now: float
    ) -> credit.Answer:
        """Decide as `relay.quotas.Quotas` does, with calls that take 0 s."""
        quota = self.quotas[name]
        account = self.accounts.get((entry, name))
        if account is None:
            account = credit.EntryAccount(quota, now, TOLERANCE)
            self.accounts[entry, name] = account
        account.set_quota(quota)
        answer = account.decide(cost, now)
        if answer is not None:
            return answer
        in_contact = self.has_leader and entry not in self.cut_off
        if not in_contact:
            isolated_at = self.isolated_at.setdefault(entry, now)
            return account.decide_alone(
                cost, self.entry_count, isolated_at, self.rng, now
            )
        self.isolated_at.pop(entry, None)
        self.calls += 1
        self.issuer.share = self.entries.get_share(now)
        issue = self.issuer.issue(
            organisations.OrganisationName(name),
            TOLERANCE.apply(quota),
            cost,
            account.get_prefetch(now),
            now,
        )
        if not issue.units:
            return account.record_refusal(cost, issue.wait_s, now)
        return account.record_grant(
            cost, issue, now + credit.CREDIT_LIFETIME_S, now
        )


def make_quota(rate: float, burst: float | None = None) -> organisations.Quota:
    """Return a quota in tokens with a burst of a second of the rate."""
    return organisations.Quota(
        organisations.QuotaUnit.TOKENS, rate, burst or rate, 0.0
    )


def get_allowed(quota: organisations.Quota) -> float:
    """Return the most tokens that any window may hold."""
    most = quota.rate * WINDOW_S + quota.burst
    return most * ALLOWED_RATIO + ALLOWED_TOKENS


def get_ideal_share(
    sent: list[tuple[float, float, int]],
    quota: organisations.Quota,
    since: float,
) -> float:
    """Return the part of the tokens that one exact bucket would grant."""
    level, filled_at = 0.0, 0.0
    granted = total = 0.0
    for at, cost, _ in sent:
        level = min(quota.burst, level + (at - filled_at) * quota.rate)
        filled_at = at
        is_granted = level >= cost
        if is_granted:
            level -= cost
        if at >= since:
            total += cost
            granted += cost if is_granted else 0.0
    return granted / total
