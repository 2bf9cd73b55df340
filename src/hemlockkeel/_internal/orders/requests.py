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
CallKey = tuple[link.Link, int]

# Adapters whose last use is remembered.
MAX_TRACKED_ADAPTERS = 4096
# Adapters that an engine held lately and loads again fast, from the
# engines' sheet, and the time that takes, seconds.
RECENT_ADAPTERS = 48
RELOAD_TIME_S = 0.025
# How long an adapter is in use at a stretch, and a load from the store takes,
# before any was measured, seconds, and the weight of a measurement.
INITIAL_USE_S = 1.0
INITIAL_LOAD_S = 0.25
SMOOTHING_FACTOR = 0.05
# How long a request that is late may still wait for a slot that others want,
# seconds: the load of an adapter that is about to end its last request's use.
LATENESS_TOLERANCE_S = 0.25
SLOT_WAIT_STEP_S = 0.1
# Priorities that are told apart, and the largest share of slots that higher
# ones are reckoned to take.
PRIORITY_RANKS = 3
MAX_HIGHER_PRIORITY_SHARE = 0.75


@dataclasses.dataclass
class Waiter:
    """A request that waits for an adapter."""

    call_key: CallKey
    request: messages.EnsureAdapter
    # Loop time at which it came.
    arrived_at: float
    sequence: int
    future: asyncio.Future[messages.AdapterGrant]

    @property
    def key(self) -> slots.Key:
        """Return the adapter that it waits for."""
        return self.request.model, self.request.adapter

    @property
    def deadline(self) -> float:
        """Return the loop time at which it stops waiting."""
        return self.arrived_at + self.request.wait_s

    @property
    def slo_deadline(self) -> float:
        """Return until when a grant leads to an answer on time."""
        return self.arrived_at + self.request.slo_budget_s

    def get_wait_limit(self, slot_wait_s: float) -> float:
        """Return until when it waits, with the expected wait for a slot.

        A slot that others want is worth more to those on time; with a free
        one an answer that is late is better than none.
        """
        if slot_wait_s <= 0.0:
            return self.deadline
        return min(self.deadline, self.slo_deadline + LATENESS_TOLERANCE_S)

    def get_sort_key(self, now: float) -> tuple[bool, int, int]:
        """Return what sorts waiters: the most urgent, then the oldest.

        Who is late anyway comes after all others: at high load the oldest
        would otherwise make each one after them late too.
        """
        return now > self.slo_deadline, self.request.priority, self.sequence


class AdapterRequests:
    """All requests that an agent knows of."""

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.sequence = itertools.count()
        # Adapter of each granted request.
        self.grants: dict[CallKey, slots.Key] = {}
        # When each adapter in use was loaded, or granted first.
        self.in_use_since: dict[slots.Key, float] = {}
        # Time of the last use by (model, adapter), the oldest first.
        self.last_used_at: dict[slots.Key, float] = {}
        self.newest_versions: dict[slots.Key, int] = {}
        self.mean_use_s = INITIAL_USE_S
        self.mean_load_s = INITIAL_LOAD_S
        # When loads from the store began that have not ended.
        self.load_started_at: dict[slots.Key, float] = {}
        # Share of grants by priority.
        self.grant_shares = [0.0] * PRIORITY_RANKS

    def add(
        self, call_key: CallKey, wanted: messages.EnsureAdapter, now: float
    ) -> Waiter:
        """Let a request wait."""
        waiter = Waiter(
            call_key,
            wanted,
            now,
            next(self.sequence),
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

    def discard(self, waiter: Waiter) -> None:
        """Take back what a waiter may have, as nobody listens any more."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        self.grants.pop(waiter.call_key, None)

    def release(self, call_key: CallKey, now: float) -> None:
        """End a request's wait or its use of an adapter."""
        key = self.grants.pop(call_key, None)
        if key is not None:
            self.record_use(key, now)
            self.record_use_end(key, now)
        for waiter in list(self.waiters):
            if waiter.call_key == call_key:
                self.refuse(waiter, "not needed any more")

    def list_calls(self, peer: link.Link) -> list[CallKey]:
        """Return the calls that came over a link."""
        calls = [*self.grants, *(waiter.call_key for waiter in self.waiters)]
        return [call for call in calls if call[0] is peer]

    def get_adapters_in_use(self) -> set[slots.Key]:
        """Return the adapters that granted requests use."""
        return set(self.grants.values())

    def get_demand(self, now: float) -> slots.Demand:
        """Return what requests need."""
        ordered = sorted(
            self.waiters,
            key=lambda waiter: waiter.get_sort_key(
                now + self.estimate_load_s(waiter.key)
            ),
        )
        waiting = [w.key for w in ordered if not w.future.done()]
        return slots.Demand(
            list(dict.fromkeys(waiting)),
            self.get_adapters_in_use(),
            self.last_used_at,
            self.newest_versions,
        )

    def grant_loaded(
        self, state: slots.EngineState, now: float
    ) -> list[Waiter]:
        """Grant what is held already; return who got it."""
        demand = self.get_demand(now)
        granted = []
        for waiter in list(self.waiters):
            if not slots.is_current(waiter.key, state, demand):
                continue
            self.waiters.remove(waiter)
            if waiter.future.done():
                continue
            self.grants[waiter.call_key] = waiter.key
            self.in_use_since.setdefault(waiter.key, now)
            self.record_grant(waiter.request.priority)
            self.record_use(waiter.key, now)
            waiter.future.set_result(
                messages.AdapterGrant(
                    granted=True, version=state.adapters[waiter.key]
                )
            )
            granted.append(waiter)
        return granted

    def refuse_overdue(
        self, state: slots.EngineState, now: float
    ) -> list[Waiter]:
        """Refuse who would have left before a load ends; return them.

        A load for them would only take the slot from others.
        """
        late = []
        for waiter in list(self.waiters):
            if waiter.key in state.loading:
                continue
            wait_s = self.estimate_slot_wait_s(
                waiter.request.priority, state, waiter.key
            )
            loaded_at = now + self.estimate_load_s(waiter.key)
            if loaded_at > waiter.get_wait_limit(wait_s):
                self.refuse(waiter, "no slot came free in time", wait_s)
                late.append(waiter)
        return late

    def refuse_if_too_late(
        self, waiter: Waiter, state: slots.EngineState, now: float
    ) -> None:
        """Refuse a request that has just come and would wait in vain."""
        if waiter.key in state.loading or waiter.future.done():
            return
        wait_s = self.estimate_slot_wait_s(
            waiter.request.priority, state, waiter.key
        )
        limit = waiter.get_wait_limit(wait_s)
        wait_s += self.estimate_load_s(waiter.key)
        if now + wait_s > limit:
            self.refuse(waiter, "every slot is taken for too long", wait_s)

    # Expectations

    def estimate_load_s(self, key: slots.Key) -> float:
        """Return how long a load takes."""
        return (
            RELOAD_TIME_S
            if self.was_recently_loaded(key)
            else self.mean_load_s
        )

    def was_recently_loaded(self, key: slots.Key) -> bool:
        """Tell whether the engine held an adapter a short while ago."""
        recent = itertools.islice(reversed(self.last_used_at), RECENT_ADAPTERS)
        return key in recent

    def estimate_slot_wait_s(
        self, rank: int, state: slots.EngineState, key: slots.Key | None = None
    ) -> float:
        """Return the expected wait of a priority for a slot, coarsely.

        Requests of a higher priority that come later overtake; the share of
        slots that they take lengthens the wait as in a priority queue.
        """
        if not state.adapter_slots:
            return 0.0
        used = self.get_adapters_in_use() | state.loading
        used |= {w.key for w in self.waiters if w.request.priority <= rank}
        beyond = len(used - {key}) + 1 - state.adapter_slots
        if beyond <= 0:
            return 0.0
        wait_s = beyond * self.mean_use_s / state.adapter_slots
        overtaken = min(
            MAX_HIGHER_PRIORITY_SHARE, sum(self.grant_shares[:rank])
        )
        wait_s /= 1.0 - overtaken
        return round(wait_s / SLOT_WAIT_STEP_S) * SLOT_WAIT_STEP_S

    # Measurements

    def record_grant(self, priority: int) -> None:
        """Measure which priorities get the slots."""
        granted = min(priority, PRIORITY_RANKS - 1)
        for rank in range(PRIORITY_RANKS):
            hit = float(rank == granted)
            self.grant_shares[rank] += SMOOTHING_FACTOR * (
                hit - self.grant_shares[rank]
            )

    def record_load_start(self, key: slots.Key, now: float) -> None:
        """A load has begun."""
        if not self.was_recently_loaded(key):
            self.load_started_at[key] = now
        self.in_use_since[key] = now
        self.record_use(key, now)

    def record_unload(self, key: slots.Key) -> None:
        """An adapter that no request uses is gone."""
        self.in_use_since.pop(key, None)

    def record_use_end(self, key: slots.Key, now: float) -> None:
        """Measure how long slots are taken, if no request is left."""
        if key in self.grants.values():
            return
        took_s = now - self.in_use_since.pop(key, now)
        self.mean_use_s += SMOOTHING_FACTOR * (took_s - self.mean_use_s)

    def record_finished_loads(
        self, state: slots.EngineState, now: float
    ) -> None:
        """Measure the loads that have ended."""
        for key in list(self.load_started_at):
            if key in state.loading:
                continue
            took_s = now - self.load_started_at.pop(key)
            if key in state.adapters:
                self.mean_load_s += SMOOTHING_FACTOR * (
                    took_s - self.mean_load_s
                )

    def record_use(self, key: slots.Key, now: float) -> None:
        """Remember when an adapter was used last."""
        self.last_used_at.pop(key, None)
        self.last_used_at[key] = now
        while len(self.last_used_at) > MAX_TRACKED_ADAPTERS:
            del self.last_used_at[next(iter(self.last_used_at))]

    def reset(self) -> None:
        """The engine has started anew, and holds nothing of before."""
        self.last_used_at.clear()
        self.in_use_since.clear()
        self.load_started_at.clear()
