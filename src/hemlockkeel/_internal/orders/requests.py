"""Requests that use an engine's adapters, and those that wait for one.

Answers a load of more adapters than an engine has slots: who gets the next
slot, and who is told at once that none comes free in time. Time is passed in.
"""

import asyncio
import dataclasses
import itertools

from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import slots

# Link and number of a call.
Call = tuple[link.Link, int]

# Adapters whose last use is remembered.
MAX_REMEMBERED = 4096
# Adapters that an engine held lately and loads again fast, from the
# engines' sheet, and the time that takes, seconds.
RECENT_ADAPTERS = 48
RELOAD_S = 0.025
# How long an adapter is in use at a stretch, and a load from the store takes,
# before any was measured, seconds, and the weight of a measurement.
FIRST_USED_S = 1.0
FIRST_LOAD_S = 0.25
MEASURE_WEIGHT = 0.05
# How long a request that is late may still wait for a slot that others want,
# seconds: the load of an adapter that is about to end its last request's use.
LATENESS_TOLERANCE_S = 0.25
SLOT_WAIT_GRAIN_S = 0.1
# Priorities that are told apart, and the largest share of slots that higher
# ones are reckoned to take.
PRIORITY_RANKS = 3
MAX_OVERTAKEN = 0.75


@dataclasses.dataclass
class Waiter:
    """A request that waits for an adapter."""

    call: Call
    wanted: messages.EnsureAdapter
    # Loop time at which it came.
    since: float
    number: int
    future: asyncio.Future[messages.AdapterGrant]

    @property
    def key(self) -> slots.Key:
        """Return the adapter that it waits for."""
        return self.wanted.model, self.wanted.adapter

    @property
    def until(self) -> float:
        """Return the loop time at which it stops waiting."""
        return self.since + self.wanted.wait_s

    @property
    def on_time_until(self) -> float:
        """Return until when a grant leads to an answer on time."""
        return self.since + self.wanted.slo_budget_s

    def get_limit(self, slot_wait_s: float) -> float:
        """Return until when it waits, with the expected wait for a slot.

        A slot that others want is worth more to those on time; with a free
        one an answer that is late is better than none.
        """
        if slot_wait_s <= 0.0:
            return self.until
        return min(self.until, self.on_time_until + LATENESS_TOLERANCE_S)

    def get_order(self, now: float) -> tuple[bool, int, int]:
        """Return what sorts waiters: the most urgent, then the oldest.

        Who is late anyway comes after all others: at high load the oldest
        would otherwise make each one after them late too.
        """
        return now > self.on_time_until, self.wanted.priority, self.number


class AdapterRequests:
    """All requests that an agent knows of."""

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.numbers = itertools.count()
        # Adapter of each granted request.
        self.grants: dict[Call, slots.Key] = {}
        # When each adapter in use was loaded, or granted first.
        self.used_since: dict[slots.Key, float] = {}
        # Time of the last use by (model, adapter), the oldest first.
        self.used_at: dict[slots.Key, float] = {}
        self.newest: dict[slots.Key, int] = {}
        self.used_s = FIRST_USED_S
        self.load_s = FIRST_LOAD_S
        # When loads from the store began that have not ended.
        self.loading: dict[slots.Key, float] = {}
        # Share of grants by priority.
        self.grant_shares = [0.0] * PRIORITY_RANKS

    def add(
        self, call: Call, wanted: messages.EnsureAdapter, now: float
    ) -> Waiter:
        """Let a request wait."""
        waiter = Waiter(
            call,
            wanted,
            now,
            next(self.numbers),
            asyncio.get_running_loop().create_future(),
        )
        self.waiters.append(waiter)
        return waiter

    def refuse(
        self, waiter: Waiter, reason: str, expected_s: float = 0.0
    ) -> None:
        """End a wait without a grant."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        if not waiter.future.done():
            waiter.future.set_result(
                messages.AdapterGrant(
                    granted=False, reason=reason, expected_wait_s=expected_s
                )
            )

    def forget(self, waiter: Waiter) -> None:
        """Take back what a waiter may have, as nobody listens any more."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        self.grants.pop(waiter.call, None)

    def release(self, call: Call, now: float) -> None:
        """End a request's wait or its use of an adapter."""
        key = self.grants.pop(call, None)
        if key is not None:
            self.note_use(key, now)
            self.note_unused(key, now)
        for waiter in list(self.waiters):
            if waiter.call == call:
                self.refuse(waiter, "not needed any more")

    def list_calls(self, peer: link.Link) -> list[Call]:
        """Return the calls that came over a link."""
        calls = [*self.grants, *(waiter.call for waiter in self.waiters)]
        return [call for call in calls if call[0] is peer]

    def get_used(self) -> set[slots.Key]:
        """Return the adapters that granted requests use."""
        return set(self.grants.values())

    def get_demand(self, now: float) -> slots.Demand:
        """Return what requests need."""
        ordered = sorted(
            self.waiters,
            key=lambda waiter: waiter.get_order(
                now + self.expect_load_s(waiter.key)
            ),
        )
        waiting = [w.key for w in ordered if not w.future.done()]
        return slots.Demand(
            list(dict.fromkeys(waiting)),
            self.get_used(),
            self.used_at,
            self.newest,
        )

    def grant_held(self, holding: slots.Holding, now: float) -> list[Waiter]:
        """Grant what is held already; return who got it."""
        demand = self.get_demand(now)
        granted = []
        for waiter in list(self.waiters):
            if not slots.is_current(waiter.key, holding, demand):
                continue
            self.waiters.remove(waiter)
            if waiter.future.done():
                continue
            self.grants[waiter.call] = waiter.key
            self.used_since.setdefault(waiter.key, now)
            self.note_grant(waiter.wanted.priority)
            self.note_use(waiter.key, now)
            waiter.future.set_result(
                messages.AdapterGrant(
                    granted=True, version=holding.adapters[waiter.key]
                )
            )
            granted.append(waiter)
        return granted

    def refuse_late(self, holding: slots.Holding, now: float) -> list[Waiter]:
        """Refuse who would have left before a load ends; return them.

        A load for them would only take the slot from others.
        """
        late = []
        for waiter in list(self.waiters):
            if waiter.key in holding.coming:
                continue
            wait_s = self.expect_slot_s(
                waiter.wanted.priority, holding, waiter.key
            )
            loaded_at = now + self.expect_load_s(waiter.key)
            if loaded_at > waiter.get_limit(wait_s):
                self.refuse(waiter, "no slot came free in time", wait_s)
                late.append(waiter)
        return late

    def refuse_hopeless(
        self, waiter: Waiter, holding: slots.Holding, now: float
    ) -> None:
        """Refuse a request that has just come and would wait in vain."""
        if waiter.key in holding.coming or waiter.future.done():
            return
        wait_s = self.expect_slot_s(
            waiter.wanted.priority, holding, waiter.key
        )
        limit = waiter.get_limit(wait_s)
        wait_s += self.expect_load_s(waiter.key)
        if now + wait_s > limit:
            self.refuse(waiter, "every slot is taken for too long", wait_s)

    # Expectations

    def expect_load_s(self, key: slots.Key) -> float:
        """Return how long a load takes."""
        return RELOAD_S if self.is_recent(key) else self.load_s

    def is_recent(self, key: slots.Key) -> bool:
        """Tell whether the engine held an adapter a short while ago."""
        recent = itertools.islice(reversed(self.used_at), RECENT_ADAPTERS)
        return key in recent

    def expect_slot_s(
        self, rank: int, holding: slots.Holding, key: slots.Key | None = None
    ) -> float:
        """Return the expected wait of a priority for a slot, coarsely.

        Requests of a higher priority that come later overtake; the share of
        slots that they take lengthens the wait as in a priority queue.
        """
        if not holding.adapter_slots:
            return 0.0
        used = self.get_used() | holding.coming
        used |= {w.key for w in self.waiters if w.wanted.priority <= rank}
        beyond = len(used - {key}) + 1 - holding.adapter_slots
        if beyond <= 0:
            return 0.0
        wait_s = beyond * self.used_s / holding.adapter_slots
        overtaken = min(MAX_OVERTAKEN, sum(self.grant_shares[:rank]))
        wait_s /= 1.0 - overtaken
        return round(wait_s / SLOT_WAIT_GRAIN_S) * SLOT_WAIT_GRAIN_S

    # Measurements

    def note_grant(self, priority: int) -> None:
        """Measure which priorities get the slots."""
        granted = min(priority, PRIORITY_RANKS - 1)
        for rank in range(PRIORITY_RANKS):
            hit = float(rank == granted)
            self.grant_shares[rank] += MEASURE_WEIGHT * (
                hit - self.grant_shares[rank]
            )

    def note_load(self, key: slots.Key, now: float) -> None:
        """A load has begun."""
        if not self.is_recent(key):
            self.loading[key] = now
        self.used_since[key] = now
        self.note_use(key, now)

    def note_unload(self, key: slots.Key) -> None:
        """An adapter that no request uses is gone."""
        self.used_since.pop(key, None)

    def note_unused(self, key: slots.Key, now: float) -> None:
        """Measure how long slots are taken, if no request is left."""
        if key in self.grants.values():
            return
        took_s = now - self.used_since.pop(key, now)
        self.used_s += MEASURE_WEIGHT * (took_s - self.used_s)

    def note_holding(self, holding: slots.Holding, now: float) -> None:
        """Measure the loads that have ended."""
        for key in list(self.loading):
            if key in holding.coming:
                continue
            took_s = now - self.loading.pop(key)
            if key in holding.adapters:
                self.load_s += MEASURE_WEIGHT * (took_s - self.load_s)

    def note_use(self, key: slots.Key, now: float) -> None:
        """Remember when an adapter was used last."""
        self.used_at.pop(key, None)
        self.used_at[key] = now
        while len(self.used_at) > MAX_REMEMBERED:
            del self.used_at[next(iter(self.used_at))]

    def note_restart(self) -> None:
        """The engine has started anew, and holds nothing of before."""
        self.used_at.clear()
        self.used_since.clear()
        self.loading.clear()
