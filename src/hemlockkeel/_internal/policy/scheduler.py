"""Schedules the requests and adapter loads of one engine.

The scheduler has no threads and no clock: callers pass the current time. It
asserts these invariants on every change: an adapter that a queued or running
request uses is never evicted, a request runs only on its own adapter once
that is loaded, a request suspected of crashing targets runs alone, and each
request ends exactly once.
"""

import collections.abc
import dataclasses
import enum

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.models import suspect_keys
from hemlockkeel._internal.policy import eviction

# Requests for an adapter are refused for this long after its load has failed
# `MAX_LOAD_FAILURES` times in a row.
LOAD_BACKOFF_S = 1.0
MAX_LOAD_FAILURES = 2
# Once a request has waited this long for a slot, the queued requests of
# another adapter are removed so that it can be evicted.
STARVATION_TIMEOUT_S = 3.0
# Priority ranks are numbered from 0, the most urgent, to `LOWEST_RANK`.
LOWEST_RANK = 2
RANK_COUNT = 3
# A load is no longer delayed once this many requests wait for it.
MIN_REQUESTS_TO_SHARE_LOAD = 3


class SlotState(enum.Enum):
    """State of an adapter slot."""

    LOADING = "loading"
    READY = "ready"


@dataclasses.dataclass(frozen=True)
class WorkItem:
    """A request to schedule; times are monotonic seconds."""

    request_id: str
    # None for a request to the base model.
    ref: adapters.AdapterRef | None
    # Priority rank; 0 is the most urgent.
    rank: int
    arrived_at: float
    deadline: float
    digest: str
    caller: str = ""
    # Whether it may have crashed targets, so that it must run alone.
    suspect: bool = False
    idempotent: bool = True
    # How long a load for it may be delayed to be shared with others.
    hold_s: float = 0.0
    # Weight of its wait when loads are ordered.
    stall_weight: float = 0.5

    @property
    def suspect_keys(self) -> list[str]:
        """Return what it is suspected by if its target crashes."""
        return suspect_keys.list_keys(self.digest, str(self.ref or ""))


@dataclasses.dataclass
class Slot:
    """An occupied adapter slot."""

    use: eviction.SlotUsage
    state: SlotState
    ready_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class PendingLoad:
    """A load that queued requests wait for."""

    ref: adapters.AdapterRef
    # Sum of the requests' stall weights, each scaled by its priority.
    weight: float
    waiting_since: float


@dataclasses.dataclass(frozen=True)
class SchedulerLimits:
    """Capacity of one engine."""

    batch_slots: int
    adapter_slots: int
    max_queued: int = 256


class EngineScheduler:
    """Queue, batch and adapter slots of one engine."""

    def __init__(
        self, limits: SchedulerLimits, policy: eviction.EvictionPolicy
    ) -> None:
        self.limits = limits
        self.policy = policy
        self.slots: dict[adapters.AdapterRef, Slot] = {}
        self.queue: list[WorkItem] = []
        self.running: dict[str, WorkItem] = {}
        self.hints = eviction.RateHints()
        self.failures: dict[adapters.AdapterRef, int] = {}
        self.blocked_until: dict[adapters.AdapterRef, float] = {}
        # Increased whenever the adapters of a load report change.
        self.epoch = 0

    # Requests

    def admit(self, work: WorkItem, now: float) -> outcomes.Refused | None:
        """Queue a request, or return why it is refused."""
        refusal = self.check_admission(work, now)
        if refusal is not None:
            return refusal
        self.queue.append(work)
        self.queue.sort(key=lambda item: (item.rank, item.arrived_at))
        slot = self.slots.get(work.ref) if work.ref else None
        if slot is not None:
            slot.use.last_used_at = now
        elif work.ref is not None:
            # The load report lists adapters that requests wait for.
            self.epoch += 1
        return None

    def check_admission(
        self, work: WorkItem, now: float
    ) -> outcomes.Refused | None:
        """Return why a request must be refused, or None."""
        if work.deadline <= now:
            return outcomes.refuse(
                outcomes.RefusalCode.DEADLINE,
                "the deadline passed before the request could start",
            )
        if len(self.queue) >= self.limits.max_queued:
            if not self.can_shed_for(work):
                return outcomes.refuse(
                    outcomes.RefusalCode.BUSY,
                    "the target's queue is full",
                    retry_after_ms=1000,
                )
        if work.ref is not None and self.limits.adapter_slots == 0:
            return outcomes.refuse(
                outcomes.RefusalCode.NO_TARGET,
                "the target has no adapter slots",
            )
        if work.ref and self.blocked_until.get(work.ref, 0.0) > now:
            return outcomes.refuse(
                outcomes.RefusalCode.LOAD_FAILED,
                f"loading {work.ref} failed repeatedly on this target",
                retry_after_ms=int(LOAD_BACKOFF_S * 1000),
            )
        return None

    def can_shed_for(self, work: WorkItem) -> bool:
        """Return whether a queued request is less urgent than a new one."""
        return any(item.rank > work.rank for item in self.queue)

    def take_shed(self) -> list[WorkItem]:
        """Remove and return the least urgent requests beyond the limit."""
        over = len(self.queue) - self.limits.max_queued
        if over <= 0:
            return []
        shed = self.queue[-over:]
        del self.queue[-over:]
        return shed

    def take_expired(self, now: float) -> list[WorkItem]:
        """Remove and return queued requests whose deadline has passed."""
        expired = [work for work in self.queue if work.deadline <= now]
        if expired:
            self.queue = [w for w in self.queue if w.deadline > now]
        return expired

    def take_quarantined(
        self, is_quarantined: collections.abc.Callable[[str], bool]
    ) -> list[WorkItem]:
        """Remove and return queued requests that are quarantined by now.

        ``is_quarantined`` tells it by what a request is suspected by.
        """
        taken = [
            work
            for work in self.queue
            if any(map(is_quarantined, work.suspect_keys))
        ]
        if taken:
            self.queue = [work for work in self.queue if work not in taken]
        return taken

    def mark_suspects(
        self, is_suspect: collections.abc.Callable[[str], bool]
    ) -> None:
        """Mark queued requests that are suspected by now."""
        self.queue = [
            dataclasses.replace(work, suspect=True)
            if not work.suspect and any(map(is_suspect, work.suspect_keys))
            else work
            for work in self.queue
        ]

    def remove_queued(self, request_id: str) -> WorkItem | None:
        """Remove and return a queued request; None if it is not queued."""
        for position, work in enumerate(self.queue):
            if work.request_id == request_id:
                return self.queue.pop(position)
        return None

    def start_ready(self, now: float) -> list[WorkItem]:
        """Move requests that can run now into the batch; return them."""
        started: list[WorkItem] = []
        for work in list(self.queue):
            if len(self.running) >= self.limits.batch_slots:
                break
            if any(item.suspect for item in self.running.values()):
                break
            if work.suspect and self.running:
                # Let the batch drain, so that the suspect can run alone.
                break
            if not self.is_ready(work):
                continue
            self.start(work, now)
            started.append(work)
        return started

    def is_ready(self, work: WorkItem) -> bool:
        """Return whether a request's adapter is loaded."""
        if work.ref is None:
            return True
        slot = self.slots.get(work.ref)
        return slot is not None and slot.state is SlotState.READY

    def start(self, work: WorkItem, now: float) -> None:
        """Move a queued request into the batch."""
        exceptions.require(
            work.request_id not in self.running, "request started twice"
        )
        exceptions.require(self.is_ready(work), "adapter is not loaded")
        exceptions.require(
            not (work.suspect and self.running),
            "suspected request started beside others",
        )
        self.queue.remove(work)
        self.running[work.request_id] = work
        if work.ref is not None:
            self.slots[work.ref].use.last_used_at = now

    def finish(self, request_id: str, now: float) -> None:
        """Remove a request from the batch; unknown ones are ignored."""
        work = self.running.pop(request_id, None)
        if work is None or work.ref is None:
            return
        slot = self.slots.get(work.ref)
        if slot is not None:
            slot.use.last_used_at = now

    # Slots

    def get_adapters_in_use(self) -> set[adapters.AdapterRef]:
        """Return the adapters that queued or running requests use."""
        in_use = {work.ref for work in self.running.values() if work.ref}
        in_use.update(work.ref for work in self.queue if work.ref)
        return in_use

    def get_adapters_in_batch(self) -> set[adapters.AdapterRef]:
        """Return the adapters that running requests use."""
        return {work.ref for work in self.running.values() if work.ref}

    def find_pending_loads(self, now: float) -> list[PendingLoad]:
        """Return the loads that queued requests wait for.

        Loads that are delayed, so that several requests can share them, and
        those of adapters that failed to load recently are left out.
        """
        groups: dict[adapters.AdapterRef, list[WorkItem]] = {}
        for work in self.queue:
            if work.ref is not None and work.ref not in self.slots:
                groups.setdefault(work.ref, []).append(work)
        pending = []
        for ref, items in groups.items():
            if self.blocked_until.get(ref, 0.0) > now:
                continue
            if not self.is_delayed_for_sharing(items, now):
                pending.append(make_pending_load(ref, items))
        return pending

    def is_delayed_for_sharing(
        self, items: list[WorkItem], now: float
    ) -> bool:
        """Return whether a load is delayed so that more requests share it.

        Only loads whose requests all have the lowest priority are delayed,
        until one of these has waited for its `hold_s`.
        """
        if len(items) >= MIN_REQUESTS_TO_SHARE_LOAD:
            return False
        return all(
            work.rank >= LOWEST_RANK and now - work.arrived_at < work.hold_s
            for work in items
        )

    def get_free_slots(self) -> int:
        """Return the number of empty slots."""
        return self.limits.adapter_slots - len(self.slots)

    def find_evictable(self) -> list[eviction.SlotUsage]:
        """Return the loaded adapters that no request uses."""
        in_use = self.get_adapters_in_use()
        return [
            slot.use
            for ref, slot in self.slots.items()
            if slot.state is SlotState.READY and ref not in in_use
        ]

    def choose_victim(self, now: float) -> adapters.AdapterRef | None:
        """Return the adapter to evict; None when all are in use."""
        use = self.policy.choose_victim(self.find_evictable(), now)
        return use.ref if use is not None else None

    def preempt_for_starving(self, now: float) -> list[WorkItem]:
        """Make an adapter evictable for a request that is starving.

        While a steady flow of requests uses all loaded adapters, a request
        for another one would wait forever. The queued requests of the least
        valuable adapter without running ones are then removed and returned,
        for the caller to send to other targets.
        """
        if self.get_free_slots() > 0 or self.find_evictable():
            return []
        if not any(self.is_starving(work, now) for work in self.queue):
            return []
        in_batch = self.get_adapters_in_batch()
        idle = [
            slot.use
            for ref, slot in self.slots.items()
            if slot.state is SlotState.READY and ref not in in_batch
        ]
        use = self.policy.choose_victim(idle, now)
        if use is None:
            return []
        removed = [work for work in self.queue if work.ref == use.ref]
        self.queue = [work for work in self.queue if work.ref != use.ref]
        return removed

    def is_starving(self, work: WorkItem, now: float) -> bool:
        """Return whether a request has waited too long for a slot."""
        if work.ref is None or work.ref in self.slots:
            return False
        return now - work.arrived_at > max(STARVATION_TIMEOUT_S, work.hold_s)

    def evict(self, ref: adapters.AdapterRef) -> None:
        """Free an adapter's slot; no request may use the adapter."""
        exceptions.require(
            ref not in self.get_adapters_in_use(),
            "evicting %s, which is in use",
            ref,
        )
        slot = self.slots.pop(ref)
        exceptions.require(
            slot.state is SlotState.READY,
            "evicting %s, which is still loading",
            ref,
        )
        self.epoch += 1

    def begin_load(self, ref: adapters.AdapterRef, now: float) -> None:
        """Reserve a free slot for a load."""
        exceptions.require(ref not in self.slots, "%s has a slot already", ref)
        exceptions.require(self.get_free_slots() > 0, "no slot is free")
        use = eviction.SlotUsage(ref, now, self.hints)
        self.slots[ref] = Slot(use, SlotState.LOADING)
        self.epoch += 1

    def end_load(
        self, ref: adapters.AdapterRef, loaded: bool, now: float
    ) -> list[WorkItem]:
        """Record the end of a load.

        After repeated failures, the requests that waited for it are removed
        and returned, for the caller to send to other targets.
        """
        slot = self.slots.get(ref)
        if slot is None:
            return []
        self.epoch += 1
        if loaded:
            slot.state = SlotState.READY
            slot.ready_at = now
            slot.use.last_used_at = now
            self.failures.pop(ref, None)
            self.blocked_until.pop(ref, None)
            return []
        del self.slots[ref]
        return self.record_load_failure(ref, now)

    def record_load_failure(
        self, ref: adapters.AdapterRef, now: float
    ) -> list[WorkItem]:
        """Count a failed load; block the adapter after repeated ones.

        Returns the queued requests that are removed when it is blocked.
        """
        count = self.failures.get(ref, 0) + 1
        self.failures[ref] = count
        if count < MAX_LOAD_FAILURES:
            return []
        self.failures.pop(ref)
        self.blocked_until[ref] = now + LOAD_BACKOFF_S
        removed = [work for work in self.queue if work.ref == ref]
        self.queue = [work for work in self.queue if work.ref != ref]
        return removed

    def rank_slots(self, now: float) -> list[adapters.AdapterRef]:
        """Return the loaded adapters, the most valuable first."""
        ranked = sorted(
            self.slots.values(),
            key=lambda slot: -self.policy.get_value(slot.use, now),
        )
        return [slot.use.ref for slot in ranked]

    def reset_slots(self) -> None:
        """Free all slots after a cold start of the engine."""
        self.slots.clear()
        self.epoch += 1

    # Reports

    def count_queued_by_rank(self) -> list[int]:
        """Return the number of queued requests of each priority rank."""
        counts = [0] * RANK_COUNT
        for work in self.queue:
            counts[min(work.rank, RANK_COUNT - 1)] += 1
        return counts

    def get_loaded(self) -> list[adapters.AdapterRef]:
        """Return the loaded adapters."""
        return [
            ref
            for ref, slot in self.slots.items()
            if slot.state is SlotState.READY
        ]

    def get_loading(self) -> list[adapters.AdapterRef]:
        """Return the adapters that are loading or that requests wait for."""
        loading = [
            ref
            for ref, slot in self.slots.items()
            if slot.state is SlotState.LOADING
        ]
        waiting = {
            work.ref
            for work in self.queue
            if work.ref is not None and work.ref not in self.slots
        }
        return loading + sorted(waiting)

    def get_eviction_value(self, now: float) -> float:
        """Return the value of the adapter that a new load would evict.

        Pending loads evict the least valuable adapters first, so as many of
        these are skipped. Returns 0 while a slot is free, and infinity when
        no adapter can be evicted.
        """
        waiting = {work.ref for work in self.queue if work.ref is not None}
        ahead = len(waiting - self.slots.keys()) - self.get_free_slots()
        if ahead < 0:
            return 0.0
        values = sorted(
            self.policy.get_value(use, now) for use in self.find_evictable()
        )
        return values[ahead] if ahead < len(values) else float("inf")


def make_pending_load(
    ref: adapters.AdapterRef, items: list[WorkItem]
) -> PendingLoad:
    """Return a load with the total weight of the requests for it.

    A request weighs ten times as much as one of the next lower priority.
    """
    weight = sum(
        work.stall_weight * 10.0 ** (LOWEST_RANK - work.rank) for work in items
    )
    return PendingLoad(ref, weight, min(work.arrived_at for work in items))
