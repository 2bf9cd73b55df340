"""Targets as an entry knows them: announcements, load and failures."""

import collections
import collections.abc

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.discovery import stream_origins
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.policy import engine_speed
from hemlockkeel._internal.policy import target_speed
from hemlockkeel._internal.relay import availability
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import pool
from hemlockkeel._internal.relay import read_budget
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.relay import target_selection
from hemlockkeel._internal.utils import process_budget

MS_PER_S = 1000.0
# Heartbeats that a target may miss before it gets no more requests. A target
# that is down is detected sooner by failed requests.
MAX_MISSED_HEARTBEATS = 6
# A target is superseded by another one at its address if it was last heard
# this many heartbeats earlier. More than one, since a heartbeat may be late.
SUPERSEDED_AFTER_HEARTBEATS = 1.5
# Heartbeats after which a silent target is dropped.
EXPIRE_AFTER_HEARTBEATS = 20
# Age beyond which a load report is ignored.
LOAD_REPORT_MAX_AGE_S = 0.5
# The same for reports of agents, which send a new one only after a change and
# to entries that do not use the engine only once a second.
AGENT_REPORT_MAX_AGE_S = 2.0
# Removed targets whose availability is kept.
MAX_WITHDRAWN = 1000
# Share of a target's connection limit that all entries together may use.
CONNECTION_SHARE = 0.9


class TargetRegistry:
    """All targets that this entry has been told of."""

    def __init__(
        self,
        heartbeat_s: float,
        budget: process_budget.ProcessBudget | None = None,
    ) -> None:
        # Called with each target that was replaced by a later incarnation
        # without having announced that it leaves.
        self.on_crashed: collections.abc.Callable[
            [target_module.Target], None
        ] = ignore_target
        # Called with each target that is new.
        self.on_added: collections.abc.Callable[
            [target_module.Target], None
        ] = ignore_target
        # Called with each plain target whose speed was measured, and the loop
        # time.
        self.on_measured: collections.abc.Callable[
            [target_module.Target, float], None
        ] = ignore_measurement
        self.max_silence_s = heartbeat_s * MAX_MISSED_HEARTBEATS
        self.table = records.TargetTable(
            expire_after_s=heartbeat_s * EXPIRE_AFTER_HEARTBEATS,
            superseded_after_s=heartbeat_s * SUPERSEDED_AFTER_HEARTBEATS,
        )
        self.targets: dict[records.InstanceId, target_module.Target] = {}
        # What incarnations have said that were removed as silent, in case
        # that they announce themselves again.
        self.withdrawn: collections.OrderedDict[
            records.IncarnationKey, availability.Availability
        ] = collections.OrderedDict()
        # Addresses of engines whose agents do not answer.
        self.silent_addresses: frozenset[str] = frozenset()
        self.body_memory = read_budget.BodyMemory(budget)
        self.entry_count = 1
        # Time in contact with control members, seconds. The silence of targets
        # is measured in it, since an entry without contact gets no
        # announcements.
        self.contact_s = 0.0
        self.advanced_at: float | None = None

    def advance_contact(self, now: float, in_contact: bool) -> None:
        """Advance the time in contact to now, if there was contact."""
        if self.advanced_at is not None and in_contact:
            self.contact_s += now - self.advanced_at
        self.advanced_at = now

    def merge(self, record: records.TargetRecord, age_s: float = 0.0) -> bool:
        """Merge an announcement; return whether the target's state changed.

        ``age_s`` is the time since a control member received it.
        """
        before = self.table.by_id.get(record.instance_id)
        if not self.table.merge(record, self.contact_s - age_s):
            return False
        self.update_target(self.table.by_id[record.instance_id])
        return before is None or before.state is not record.state

    def update_target(self, record: records.TargetRecord) -> None:
        """Apply a new announcement to a target, or add the target."""
        if record.is_bare_tombstone:
            return
        target = self.targets.get(record.instance_id)
        if target is not None and (
            target.record.started_at_ms != record.started_at_ms
            or target.record.address != record.address
        ):
            # A new incarnation shares no state with the one before.
            self.mark_replaced(target)
            target.close()
            target = None
        is_new = target is None
        if target is None:
            before = self.targets.get(record.instance_id)
            target = target_module.Target(
                record,
                pool.TargetPool(record.address, self.body_memory),
                self.withdrawn.pop(
                    record.incarnation_key, availability.Availability()
                ),
            )
            self.targets[record.instance_id] = target
            if before is not None:
                before.availability.carry_over(
                    target.availability,
                    record.started_at_ms / MS_PER_S,
                )
                target.identity = before.identity
        target.record = record
        if is_new:
            self.on_added(target)
            self.mark_superseded(
                each
                for each in self.targets.values()
                if each.record.address == record.address
            )
        if record.models is not None and target.engine is None:
            target.engine = target_selection.EngineView()
        if target.engine is not None and not target.engine.can_load:
            target.engine.loaded = list_adapter_names(record)
            target.record_loaded(target.engine.loaded)

    def mark_replaced(self, target: target_module.Target) -> None:
        """Record that another incarnation runs in a target's place."""
        if target.replaced:
            return
        target.replaced = True
        if target.record.state is records.TargetState.READY:
            self.on_crashed(target)

    def mark_superseded(
        self, candidates: collections.abc.Iterable[target_module.Target]
    ) -> None:
        """Mark those of some targets as replaced that are superseded."""
        for target in list(candidates):
            if not target.replaced and self.table.is_superseded(target.record):
                self.mark_replaced(target)

    def find_shared_addresses(self) -> list[target_module.Target]:
        """Return the targets whose address another one has, too."""
        by_address = collections.defaultdict(list)
        for target in self.targets.values():
            by_address[target.record.address].append(target)
        return [
            target
            for group in by_address.values()
            if len(group) > 1
            for target in group
        ]

    def expire(self, now: float) -> None:
        """Remove targets that are silent for long; close idle connections."""
        # Where targets do not report their start, heartbeats decide later.
        self.mark_superseded(self.find_shared_addresses())
        for instance_id in self.table.expire(self.contact_s):
            expired = self.targets.pop(instance_id, None)
            if expired is not None:
                expired.close()
                self.keep_withdrawn(expired, now)
        for target in self.targets.values():
            target.pool.expire(now)

    def keep_withdrawn(self, target: target_module.Target, now: float) -> None:
        """Keep what a removed target has said if it wants no requests."""
        if target.availability.find_refusal(now) is None:
            return
        self.withdrawn[target.incarnation_key] = target.availability
        if len(self.withdrawn) > MAX_WITHDRAWN:
            self.withdrawn.popitem(last=False)

    def find_by_address(self, address: str) -> target_module.Target | None:
        """Return the newest incarnation at an address; None without one."""
        candidates = [
            self.targets[record.instance_id]
            for record in self.table.find_by_address(address)
            if record.instance_id in self.targets
        ]
        return max(candidates, key=self.get_recency_key, default=None)

    def get_recency_key(
        self, target: target_module.Target
    ) -> tuple[int, bool, float]:
        """Return the sort key of the incarnations at an address."""
        record = target.record
        return (
            record.started_at_ms,
            record.state is not records.TargetState.GONE,
            self.table.last_heard_at[record.instance_id],
        )

    def update_agent_load(
        self, address: str, load: messages.LoadUpdate, now: float
    ) -> None:
        """Store the load that an agent reports for its engine."""
        target = self.find_by_address(address)
        if target is None:
            return
        loaded = qualify_names(load.loaded)
        target.record_loaded(loaded)
        target.engine = target_selection.EngineView(
            loaded,
            qualify_names(load.loading),
            load.adapter_slots,
            load.kv_used,
            load.kv_total,
            tuple(load.slot_waits_s),
            load.queued,
            can_load=load.can_load,
            pending_prefill_tokens=load.pending_prefill_tokens,
            reported_at=now,
        )
        target.running, target.waiting = load.running, load.queued
        target.load_reported_at = now
        target.reported_start_ms = max(
            target.reported_start_ms, load.started_at_ms
        )
        if load.leaving_started_at_ms == target.record.started_at_ms != 0:
            target.mark_leaving()

    def mark_agent_down(self, address: str) -> None:
        """Record that no agent can load adapters at a target for now."""
        target = self.find_by_address(address)
        if target is not None and target.engine is not None:
            target.engine.can_load = False

    def list_candidates(
        self,
        service: records.ServiceName,
        metadata: header_codec.RequestMetadata,
        now: float,
        excluded: set[records.IncarnationKey],
        origin: stream_origins.StreamOrigin | None = None,
    ) -> list[target_selection.Candidate]:
        """Return the targets of a service that may get a request.

        Targets in ``excluded`` are left out, and those that may not go on, or
        not for certain, with the stream of this ``origin``, if one is given.
        """
        adapter = (
            f"{metadata.model}/{metadata.adapter}" if metadata.adapter else ""
        )
        candidates = []
        usable = self.list_usable(service)
        usual_s = self.get_usual_service_s(usable)
        usual_ratio = engine_speed.get_usual_ratio(
            self.targets[record.instance_id].prefill_speed for record in usable
        )
        for record in usable:
            if record.incarnation_key in excluded:
                continue
            target = self.targets[record.instance_id]
            if origin is not None and not (
                origin.matches(record) and target.identified
            ):
                continue
            if target.availability.find_refusal(now) is not None:
                continue
            max_age_s = (
                LOAD_REPORT_MAX_AGE_S
                if target.engine is None
                else AGENT_REPORT_MAX_AGE_S
            )
            fresh = now - target.load_reported_at < max_age_s
            silence_s = (
                self.contact_s - self.table.last_heard_at[record.instance_id]
            )
            candidates.append(
                target_selection.Candidate(
                    record,
                    target.in_flight,
                    target.in_flight_prefill_tokens,
                    target.running if fresh else target.in_flight,
                    target.waiting if fresh else 0,
                    target.slots or record.slots,
                    target.get_failure_share(now),
                    target.get_cached_tokens(adapter, metadata.prompt_parts),
                    target.engine,
                    target.get_prefill_backlog(now),
                    adapter in target.recent_adapters,
                    silence_s / self.max_silence_s,
                    record.address in self.silent_addresses,
                    *estimate_speed(target, usual_s, usual_ratio, now),
                )
            )
        return candidates

    def get_usual_service_s(
        self, usable: collections.abc.Iterable[records.TargetRecord]
    ) -> float:
        """Return the median service time of a service's targets."""
        return target_speed.get_usual_s(
            (self.targets[record.instance_id].speed for record in usable),
            target_selection.PRIOR_PLAIN_SERVICE_S,
        )

    def list_usable(
        self, service: records.ServiceName
    ) -> list[records.TargetRecord]:
        """Return the announcements of the targets of a service."""
        return self.table.find_usable(
            service, self.contact_s, self.max_silence_s
        )

    def find_hold_end(
        self,
        service: records.ServiceName,
        now: float,
        origin: stream_origins.StreamOrigin | None,
    ) -> float | None:
        """Return when the first target of a service accepts requests again.

        None if one accepts them now, or no target has asked for less. With an
        ``origin``, only targets that may go on with its stream count.
        """
        ends = []
        for record in self.table.find_usable(
            service, self.contact_s, self.max_silence_s
        ):
            if origin is not None and not origin.matches(record):
                continue
            available = self.targets[record.instance_id].availability
            match available.find_refusal(now):
                case availability.Refusal.HELD:
                    ends.append(available.held_until)
                case availability.Refusal.LIMITED:
                    ends.append(available.denied_until)
                case None:
                    return None
        return min(ends, default=None)

    def awaits_identification(
        self, origin: stream_origins.StreamOrigin
    ) -> bool:
        """Return whether a target may turn out to write a stream's rest."""
        return any(
            origin.matches(record)
            and not self.targets[record.instance_id].identified
            for record in self.table.find_usable(
                origin.service, self.contact_s, self.max_silence_s
            )
        )

    def may_return(self, origin: stream_origins.StreamOrigin) -> bool:
        """Return whether a target that may write a stream's rest may return.

        It may be silent or down, but has not said that it leaves.
        """
        return any(
            record.state is records.TargetState.READY
            and origin.matches(record)
            and not self.table.is_superseded(record)
            for record in self.table.by_id.values()
        )

    def get_connection_limit(self, max_connections: int) -> int:
        """Return how many connections this entry may have to a target.

        ``max_connections`` is the target's limit for all its clients.
        """
        share = max_connections * CONNECTION_SHARE / max(1, self.entry_count)
        return max(1, int(share))


def ignore_target(target: target_module.Target) -> None:
    """Do nothing about a target."""


def estimate_speed(
    target: target_module.Target,
    usual_s: float,
    usual_ratio: float,
    now: float,
) -> tuple[float, float | None, float]:
    """Return the service time, occupancy and prefill factor of a target."""
    if target.engine is None:
        speed = target.speed
        occupancy = speed.expect_occupancy(now)
        return speed.expect_service_s(usual_s, now), occupancy, 1.0
    factor = target.prefill_speed.get_factor(usual_ratio, now)
    return target_selection.PRIOR_PLAIN_SERVICE_S, None, factor


def ignore_measurement(target: target_module.Target, now: float) -> None:
    """Do nothing about a measurement."""


def qualify_names(by_model: dict[str, list[str]]) -> frozenset[str]:
    """Return the adapters, given by model, as MODEL/NAME."""
    return frozenset(
        f"{model}/{name}"
        for model, names in by_model.items()
        for name in names
    )


def list_adapter_names(record: records.TargetRecord) -> frozenset[str]:
    """Return the adapters that a target announces, as MODEL/NAME."""
    return frozenset(
        f"{model.name}/{name}"
        for model in record.models or []
        for name in model.adapters
    )
