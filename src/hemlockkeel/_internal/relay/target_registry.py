"""Targets as an entry knows them: announcements, load and failures."""

import collections
import collections.abc
import dataclasses

from hemlockkeel._internal.discovery import crash_ledger
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import pool
from hemlockkeel._internal.relay import target_selection

# Heartbeats that a target may miss before it gets no more requests. A target
# that is down is detected sooner by failed requests.
MAX_MISSED_HEARTBEATS = 6
# A target is superseded by another one at its address if it was last heard
# this many heartbeats earlier. More than one, since a heartbeat may be late.
SUPERSEDED_AFTER_HEARTBEATS = 1.5
# Heartbeats after which a silent target is dropped.
EXPIRE_AFTER_HEARTBEATS = 20
# Weight of the newest result in a target's moving average of failures.
FAILURE_WEIGHT = 0.2
# The average also decays with time, so that a failing target is tried again.
FAILURE_HALF_LIFE_S = 3.0
# Age beyond which a load report is ignored.
LOAD_REPORT_MAX_AGE_S = 0.5
# Recently used adapters that an engine reloads fast, from the engine data
# sheet.
MAX_RECENT_ADAPTERS = 48
# Cached prompt prefixes that are remembered for a target.
MAX_CACHED_PREFIXES = 2000
# How long a request whose response was lost may be to blame for the end of
# its target, which can be noticed much later: once the target has returned.
LOST_RETENTION_S = 15.0
# A request that was lost this long before the target's last sign of life did
# not end it. Shorter, it may have been queued there.
LOST_QUEUE_S = 2.0
# Time without any data, while responses are due, after which a target may have
# ended. Entries have to know of a crash within three seconds; a probe takes up
# to one more.
SILENCE_S = 1.0
# Share of a target's connection limit that all entries together may use.
CONNECTION_SHARE = 0.9


@dataclasses.dataclass
class Target:
    """One target incarnation as this entry knows it.

    An incarnation is one run of the target's process.
    """

    record: records.TargetRecord
    pool: pool.TargetPool
    in_flight: int = 0
    # Content digests of this entry's requests in progress, with their number.
    digests: collections.Counter[ids.ContentDigest] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Loop times at which responses were lost, by content digest.
    lost_at: dict[ids.ContentDigest, float] = dataclasses.field(
        default_factory=dict
    )
    # Loop times of the last response data, of the first request since, and of
    # the start of the last probe.
    heard_at: float = float("-inf")
    asked_at: float = float("-inf")
    probed_at: float = float("-inf")
    # Whether a later incarnation has taken its place.
    replaced: bool = False
    in_flight_prefill_tokens: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    load_reported_at: float = float("-inf")
    failure_share: float = 0.0
    failure_at: float = 0.0
    engine: target_selection.EngineView | None = None
    # Recently loaded adapters as MODEL/NAME, the newest last.
    recent_adapters: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    # Tokens of prompt prefixes that are probably in its cache. A key is the
    # adapter followed by the ids of the parts; the newest is last.
    cached_prefixes: collections.OrderedDict[tuple[str, ...], int] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )

    def update_load(self, load: header_codec.TargetLoad, now: float) -> None:
        """Store the load that the target reported with a response."""
        self.running, self.waiting = load.running, load.waiting
        self.slots = load.slots
        self.load_reported_at = now

    def record_result(self, failed: bool, now: float) -> None:
        """Add a result to the moving average of failures."""
        decayed = self.get_failure_share(now)
        self.failure_share = decayed + FAILURE_WEIGHT * (failed - decayed)
        self.failure_at = now

    def get_failure_share(self, now: float) -> float:
        """Return the moving average of failures, decayed until ``now``."""
        age_s = now - self.failure_at
        return float(self.failure_share * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))

    @property
    def crash_key(self) -> crash_ledger.CrashKey:
        """Return the key under which a crash of it is known."""
        return crash_ledger.CrashKey(
            self.record.instance_id, self.record.started_at_ms
        )

    def record_sent(self, now: float) -> None:
        """Record that a request is sent."""
        if self.asked_at <= self.heard_at:
            self.asked_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether responses are due but no data has come for long.

        This includes responses whose callers have left since the last probe.
        """
        if now - max(self.asked_at, self.heard_at, self.probed_at) < SILENCE_S:
            return False
        if self.digests:
            return True
        since = max(self.heard_at, self.probed_at)
        return any(at > since for at in self.lost_at.values())

    def record_lost(self, digest: ids.ContentDigest, now: float) -> None:
        """Remember a request whose response did not arrive completely."""
        self.lost_at.pop(digest, None)
        self.lost_at[digest] = now
        while next(iter(self.lost_at.values())) < now - LOST_RETENTION_S:
            del self.lost_at[next(iter(self.lost_at))]

    def list_unanswered(self, now: float) -> list[ids.ContentDigest]:
        """Return the requests that may have ended the target.

        These are in progress, or were lost shortly before its last sign of
        life or since.
        """
        since = max(now - LOST_RETENTION_S, self.heard_at - LOST_QUEUE_S)
        lost = {digest for digest, at in self.lost_at.items() if at >= since}
        return sorted(lost | self.digests.keys())

    def record_prompt(
        self, adapter: str, parts: tuple[header_codec.PromptPart, ...]
    ) -> None:
        """Remember the prefixes of a prompt that the target has prefilled."""
        chain: tuple[str, ...] = (adapter,)
        tokens = 0
        for part in parts:
            chain = (*chain, part.part_id)
            tokens += part.tokens
            self.cached_prefixes[chain] = tokens
            self.cached_prefixes.move_to_end(chain)
        while len(self.cached_prefixes) > MAX_CACHED_PREFIXES:
            self.cached_prefixes.popitem(last=False)

    def get_cached_tokens(
        self, adapter: str, parts: tuple[header_codec.PromptPart, ...]
    ) -> int:
        """Return the tokens of a prompt that are probably cached.

        A prefix is cached only if all parts before its end are.
        """
        chain: tuple[str, ...] = (adapter,)
        cached = 0
        for part in parts:
            chain = (*chain, part.part_id)
            if chain not in self.cached_prefixes:
                break
            cached = self.cached_prefixes[chain]
        return cached

    def get_prefill_backlog(self, now: float) -> float:
        """Return the estimated tokens of all entries still to prefill.

        This is the agent's last report less what an engine can have
        prefilled since. It is 0 for a plain service.
        """
        if self.engine is None:
            return 0.0
        age_s = now - self.engine.reported_at
        prefilled = age_s * backlog.PREFILL_TOKENS_PER_S
        return max(0.0, self.engine.pending_prefill_tokens - prefilled)

    def record_loaded(self, loaded: frozenset[str]) -> None:
        """Remember the adapters that the target has loaded."""
        for name in loaded:
            self.recent_adapters[name] = None
            self.recent_adapters.move_to_end(name)
        while len(self.recent_adapters) > MAX_RECENT_ADAPTERS:
            self.recent_adapters.popitem(last=False)

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


class TargetRegistry:
    """All targets that this entry has been told of."""

    def __init__(self, heartbeat_s: float) -> None:
        # Called with each target that was replaced by a later incarnation
        # without having announced that it leaves.
        self.on_crashed: collections.abc.Callable[[Target], None] = (
            ignore_crash
        )
        self.max_silence_s = heartbeat_s * MAX_MISSED_HEARTBEATS
        self.table = records.TargetTable(
            expire_after_s=heartbeat_s * EXPIRE_AFTER_HEARTBEATS,
            superseded_after_s=heartbeat_s * SUPERSEDED_AFTER_HEARTBEATS,
        )
        self.targets: dict[records.InstanceId, Target] = {}
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
            target = Target(record, pool.TargetPool(record.address))
            self.targets[record.instance_id] = target
        target.record = record
        if is_new:
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

    def mark_replaced(self, target: Target) -> None:
        """Record that another incarnation runs in a target's place."""
        if target.replaced:
            return
        target.replaced = True
        if target.record.state is records.TargetState.READY:
            self.on_crashed(target)

    def mark_superseded(
        self, candidates: collections.abc.Iterable[Target]
    ) -> None:
        """Mark those of some targets as replaced that are superseded."""
        for target in list(candidates):
            if not target.replaced and self.table.is_superseded(target.record):
                self.mark_replaced(target)

    def find_shared_addresses(self) -> list[Target]:
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
        for target in self.targets.values():
            target.pool.expire(now)

    def find_by_address(self, address: str) -> Target | None:
        """Return the newest incarnation at an address; None without one."""
        candidates = [
            target
            for target in self.targets.values()
            if target.record.address == address
        ]
        return max(candidates, key=self.get_recency_key, default=None)

    def get_recency_key(self, target: Target) -> tuple[int, bool, float]:
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
        excluded: set[records.InstanceId],
    ) -> list[target_selection.Candidate]:
        """Return the targets of a service that may get a request.

        Targets in ``excluded`` are left out.
        """
        adapter = (
            f"{metadata.model}/{metadata.adapter}" if metadata.adapter else ""
        )
        candidates = []
        for record in self.table.find_usable(
            service, self.contact_s, self.max_silence_s
        ):
            if record.instance_id in excluded:
                continue
            target = self.targets[record.instance_id]
            fresh = now - target.load_reported_at < LOAD_REPORT_MAX_AGE_S
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
                )
            )
        return candidates

    def get_connection_limit(self, max_connections: int) -> int:
        """Return how many connections this entry may have to a target.

        ``max_connections`` is the target's limit for all its clients.
        """
        share = max_connections * CONNECTION_SHARE / max(1, self.entry_count)
        return max(1, int(share))


def ignore_crash(target: Target) -> None:
    """Do nothing about a crash."""


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
