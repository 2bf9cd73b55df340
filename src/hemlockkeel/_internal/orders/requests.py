"""Requests that use adapters of an engine or wait for one.

When requests need more adapters than the engine has slots, `AdapterRequests`
decides which one gets the next slot, and refuses at once those for which no
slot is expected to become free in time. Callers pass the current time.
"""

import asyncio
import collections
import dataclasses
import enum
import itertools

from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import slots
from hemlockkeel._internal.policy import fair_order

# Link over which a call arrived, and the id of the call.
CallKey = tuple[link.Link, int]

# Limit on the number of adapters whose last use is kept.
MAX_TRACKED_ADAPTERS = 4096
# An engine reloads the adapters that it had loaded most recently faster than
# others: their number and the time of a reload, from the engine data sheet.
MAX_RECENT_ADAPTERS = 48
ADAPTER_RELOAD_S = 0.025
# Estimates, until there are measurements, of how long an adapter is in use
# and how long a load from the weight store takes.
INITIAL_USE_S = 1.0
INITIAL_LOAD_S = 0.25
# Mean load time, relative to the initial one, beyond which the store counts as
# congested.
SLOW_LOAD_RATIO = 1.5
# Half-life of a measured load time's excess over the initial one while the
# engine loads nothing from the store. An estimate above the requests' limits
# would otherwise refuse every load that could correct it.
LOAD_ESTIMATE_HALF_LIFE_S = 1.0
# Weight of a new measurement in a moving average.
SMOOTHING_FACTOR = 0.05
# How far past its SLO deadline a request may still wait for a contended slot:
# the time of a load into a slot that is about to become free.
LATENESS_TOLERANCE_S = 0.25
# Expected waits for a slot are rounded to multiples of this.
SLOT_WAIT_STEP_S = 0.1
# Priorities with statistics of their own; lower ones count as the last.
PRIORITY_RANKS = 3
# Upper limit of the share of slots that higher priorities are assumed to get.
MAX_HIGHER_PRIORITY_SHARE = 0.75


class LoadCause(enum.Enum):
    """Why an engine loads an adapter; all but a reload are fetches."""

    # The engine has not had it since its start or that of its agent.
    FIRST = "first"
    VERSION = "version"
    # It was evicted long ago.
    AGAIN = "again"
    # It was evicted recently, so that the engine need not fetch it.
    RELOAD = "reload"


@dataclasses.dataclass
class Waiter:
    """A request that waits for an adapter; times are those of the loop."""

    call_key: CallKey
    request: messages.EnsureAdapter
    arrived_at: float
    # Increases with each request.
    sequence: int
    future: asyncio.Future[messages.AdapterGrant]
    # Virtual time of its arrival, and its start tag in the latest order.
    virtual_time: float = 0.0
    tag: float = 0.0

    @property
    def claim(self) -> fair_order.Claim:
        """Return what it claims of the turns of its organisation."""
        return fair_order.Claim(
            self.request.organisation, self.key, self.virtual_time
        )

    @property
    def key(self) -> slots.AdapterKey:
        """Return the model and the adapter that it waits for."""
        return self.request.model, self.request.adapter

    @property
    def deadline_at(self) -> float:
        """Return the time at which it stops waiting."""
        return self.arrived_at + self.request.wait_s

    @property
    def slo_deadline_at(self) -> float:
        """Return the latest time of a grant that can still meet the SLO."""
        return self.arrived_at + self.request.slo_budget_s

    def get_wait_limit(self, slot_wait_s: float) -> float:
        """Return until when it waits, given the expected wait for a slot.

        While slots are scarce, they go to requests that can still meet their
        SLO. While one is free, a late response is better than none.
        """
        if slot_wait_s <= 0.0:
            return self.deadline_at
        return min(
            self.deadline_at, self.slo_deadline_at + LATENESS_TOLERANCE_S
        )

    def get_class(self, now: float) -> tuple[bool, int]:
        """Return a key that sorts by lateness and priority.

        Requests that miss their SLO anyway come last: under high load they
        would otherwise make all later ones miss theirs too.
        """
        return now > self.slo_deadline_at, self.request.priority


class AdapterRequests:
    """Requests of all entries for adapters of one engine."""

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []
        self.sequence_numbers = itertools.count()
        # Adapter of each granted request that has not been released.
        self.grants: dict[CallKey, slots.AdapterKey] = {}
        # Start of the load or of the first grant of each adapter in use.
        self.in_use_since: dict[slots.AdapterKey, float] = {}
        # Last use of each adapter, the oldest first.
        self.last_used_at: dict[slots.AdapterKey, float] = {}
        self.newest_versions: dict[slots.AdapterKey, int] = {}
        # Version of each adapter's last load, the oldest load first; 0 if
        # none was named.
        self.loaded_versions: dict[slots.AdapterKey, int] = {}
        # Moving averages of how long an adapter is in use and how long a
        # load from the weight store takes.
        self.mean_use_s = INITIAL_USE_S
        self.mean_load_s = INITIAL_LOAD_S
        # Start of each load from the weight store that is in progress.
        self.load_started_at: dict[slots.AdapterKey, float] = {}
        # When `mean_load_s` was last updated; None before the first report.
        self.load_estimated_at: float | None = None
        # Moving average of the share of grants of each priority.
        self.grant_shares = [0.0] * PRIORITY_RANKS
        # Turns of organisations for loads.
        self.turns = fair_order.FairOrder()

    def record_version(self, key: slots.AdapterKey, version: int) -> None:
        """Remember the newest version of an adapter; 0 names none."""
        if version > self.newest_versions.get(key, 0):
            self.newest_versions[key] = version

    def add(
        self, call_key: CallKey, request: messages.EnsureAdapter, now: float
    ) -> Waiter:
        """Add a request to the waiters."""
        waiter = Waiter(
            call_key,
            request,
            now,
            next(self.sequence_numbers),
            asyncio.get_running_loop().create_future(),
            self.turns.virtual_time,
        )
        self.waiters.append(waiter)
        return waiter

    def refuse(
        self, waiter: Waiter, reason: str, expected_s: float = 0.0
    ) -> None:
        """End a request's wait without a grant."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        if not waiter.future.done():
            waiter.future.set_result(
                messages.AdapterGrant(
                    granted=False, reason=reason, expected_wait_s=expected_s
                )
            )

    def discard(self, waiter: Waiter) -> None:
        """Drop a waiter that has timed out, and its grant if it got one."""
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
                self.refuse(waiter, "the request was cancelled")

    def list_call_keys(self, peer: link.Link) -> list[CallKey]:
        """Return the keys of all waiting and granted calls of a link."""
        keys = [*self.grants, *(waiter.call_key for waiter in self.waiters)]
        return [key for key in keys if key[0] is peer]

    def get_adapters_in_use(self) -> set[slots.AdapterKey]:
        """Return the adapters of granted requests."""
        return set(self.grants.values())

    def get_demand(self, now: float) -> slots.Demand:
        """Return the demand for adapters, in the order of urgency."""
        waiting = [w.key for w in self.sort(now) if not w.future.done()]
        return slots.Demand(
            list(dict.fromkeys(waiting)),
            self.get_adapters_in_use(),
            self.last_used_at,
            self.newest_versions,
            self.get_recent() - self.load_started_at.keys(),
            self.get_max_store_loads(),
        )

    def sort(self, now: float) -> list[Waiter]:
        """Return the waiters by lateness, priority and fair turns.

        Each waiter's lateness is judged by the time at which a load that
        starts now would end. Organisations take turns within a class of
        lateness and priority; one's own requests go by arrival.
        """
        recent = self.get_recent()
        classes = collections.defaultdict(list)
        for waiter in self.waiters:
            load_s = (
                ADAPTER_RELOAD_S if waiter.key in recent else self.mean_load_s
            )
            classes[waiter.get_class(now + load_s)].append(waiter)
        ordered: list[Waiter] = []
        for _, members in sorted(classes.items()):
            tags = self.turns.make_tags(waiter.claim for waiter in members)
            for waiter, tag in zip(members, tags, strict=True):
                waiter.tag = tag
            ordered += sorted(members, key=lambda w: (w.tag, w.sequence))
        return ordered

    def grant_loaded(
        self, state: slots.EngineState, now: float
    ) -> list[Waiter]:
        """Grant adapters that are loaded; return the waiters granted."""
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
        """Refuse waiters whose limit passes before a load could end.

        A load for them would only take a slot from others. Returns the
        refused waiters.
        """
        self.sort(now)
        overdue = []
        for waiter in list(self.waiters):
            if waiter.key in state.loading:
                continue
            wait_s = self.estimate_slot_wait_s(
                waiter.request.priority, state, waiter
            )
            loaded_at = now + self.estimate_load_s(waiter.key)
            if loaded_at > waiter.get_wait_limit(wait_s):
                self.refuse(
                    waiter, "no adapter slot became free in time", wait_s
                )
                overdue.append(waiter)
        return overdue

    def refuse_if_too_late(
        self, waiter: Waiter, state: slots.EngineState, now: float
    ) -> None:
        """Refuse a new request if its expected wait exceeds its limit."""
        if waiter.key in state.loading or waiter.future.done():
            return
        self.sort(now)
        wait_s = self.estimate_slot_wait_s(
            waiter.request.priority, state, waiter
        )
        limit = waiter.get_wait_limit(wait_s)
        wait_s += self.estimate_load_s(waiter.key)
        if now + wait_s > limit:
            self.refuse(
                waiter,
                "the expected wait for an adapter slot is too long",
                wait_s,
            )

    # Estimates

    def estimate_load_s(self, key: slots.AdapterKey) -> float:
        """Return the expected duration of a load, seconds."""
        return (
            ADAPTER_RELOAD_S
            if self.was_recently_loaded(key)
            else self.mean_load_s
        )

    def was_recently_loaded(self, key: slots.AdapterKey) -> bool:
        """Return whether the engine can probably reload an adapter fast.

        The adapters used last are taken for those that it had loaded last.
        """
        return key in self.get_recent()

    def get_recent(self) -> frozenset[slots.AdapterKey]:
        """Return the adapters that the engine can probably reload fast."""
        recent = reversed(self.last_used_at)
        return frozenset(itertools.islice(recent, MAX_RECENT_ADAPTERS))

    def get_max_store_loads(self) -> int:
        """Return how many loads from the store may be in progress.

        The store's rate is shared by all engines: when loads take long, more
        of them at a time only delay each other.
        """
        if self.mean_load_s > SLOW_LOAD_RATIO * INITIAL_LOAD_S:
            return 1
        return slots.MAX_CONCURRENT_LOADS

    def estimate_slot_wait_s(
        self,
        rank: int,
        state: slots.EngineState,
        waiter: Waiter | None = None,
    ) -> float:
        """Return the expected wait for a slot, rounded to `SLOT_WAIT_STEP_S`.

        Later requests of a higher priority overtake. As in a priority queue,
        the wait grows with the share of grants that they get. A slot that
        the adapter of ``waiter`` already occupies is not counted as taken,
        nor are those for which other organisations wait that have their turn
        later. Without a ``waiter``, the wait is that of an organisation that
        has no other request.
        """
        if not state.adapter_slots:
            return 0.0
        key = waiter.key if waiter is not None else None
        own = waiter.request.organisation if waiter is not None else None
        tag = waiter.tag if waiter is not None else self.turns.virtual_time
        takes_turns = len({w.request.organisation for w in self.waiters}) > 1
        used = self.get_adapters_in_use() | state.loading
        used |= {
            w.key
            for w in self.waiters
            if w.request.priority <= rank
            and (
                not takes_turns
                or w.request.organisation == own
                or w.tag <= tag
            )
        }
        missing = len(used - {key}) + 1 - state.adapter_slots
        if missing <= 0:
            return 0.0
        wait_s = missing * self.mean_use_s / state.adapter_slots
        overtaken = min(
            MAX_HIGHER_PRIORITY_SHARE, sum(self.grant_shares[:rank])
        )
        wait_s /= 1.0 - overtaken
        return round(wait_s / SLOT_WAIT_STEP_S) * SLOT_WAIT_STEP_S

    # Measurements

    def record_grant(self, priority: int) -> None:
        """Update the shares of grants by priority."""
        granted = min(priority, PRIORITY_RANKS - 1)
        for rank in range(PRIORITY_RANKS):
            hit = float(rank == granted)
            self.grant_shares[rank] += SMOOTHING_FACTOR * (
                hit - self.grant_shares[rank]
            )

    def find_load_cause(
        self, key: slots.AdapterKey, version: int
    ) -> LoadCause:
        """Return why an adapter is loaded now, and remember the load."""
        known = self.loaded_versions.pop(key, None)
        self.loaded_versions[key] = version
        if len(self.loaded_versions) > MAX_TRACKED_ADAPTERS:
            del self.loaded_versions[next(iter(self.loaded_versions))]
        if known is None:
            return LoadCause.FIRST
        if version > known:
            return LoadCause.VERSION
        if self.was_recently_loaded(key):
            return LoadCause.RELOAD
        return LoadCause.AGAIN

    def record_load_start(self, key: slots.AdapterKey, now: float) -> None:
        """Record that a load has started."""
        if not self.was_recently_loaded(key):
            self.load_started_at[key] = now
        first = next((w for w in self.sort(now) if w.key == key), None)
        if first is not None:
            self.turns.record_turn(first.request.organisation, first.tag)
        self.in_use_since[key] = now
        self.record_use(key, now)

    def record_unload(self, key: slots.AdapterKey) -> None:
        """Record that an unused adapter was unloaded."""
        self.in_use_since.pop(key, None)

    def record_use_end(self, key: slots.AdapterKey, now: float) -> None:
        """Update the mean time of use once no request uses an adapter."""
        if key in self.grants.values():
            return
        took_s = now - self.in_use_since.pop(key, now)
        self.mean_use_s += SMOOTHING_FACTOR * (took_s - self.mean_use_s)

    def record_finished_loads(
        self, state: slots.EngineState, now: float
    ) -> None:
        """Update the mean time of loads that are no longer in progress."""
        self.decay_load_estimate(now)
        for key in list(self.load_started_at):
            if key in state.loading:
                continue
            took_s = now - self.load_started_at.pop(key)
            if key in state.adapters:
                self.mean_load_s += SMOOTHING_FACTOR * (
                    took_s - self.mean_load_s
                )

    def decay_load_estimate(self, now: float) -> None:
        """Reduce a long mean load time while no load could correct it."""
        before, self.load_estimated_at = self.load_estimated_at, now
        excess_s = self.mean_load_s - INITIAL_LOAD_S
        if self.load_started_at or before is None or excess_s <= 0.0:
            return
        excess_s *= 0.5 ** ((now - before) / LOAD_ESTIMATE_HALF_LIFE_S)
        self.mean_load_s = INITIAL_LOAD_S + excess_s

    def record_use(self, key: slots.AdapterKey, now: float) -> None:
        """Record the last use of an adapter."""
        self.last_used_at.pop(key, None)
        self.last_used_at[key] = now
        while len(self.last_used_at) > MAX_TRACKED_ADAPTERS:
            del self.last_used_at[next(iter(self.last_used_at))]

    def reset(self) -> None:
        """Forget uses and loads of adapters after a restart of the engine."""
        self.last_used_at.clear()
        self.loaded_versions.clear()
        self.in_use_since.clear()
        self.load_started_at.clear()
