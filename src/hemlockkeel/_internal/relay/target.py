"""One incarnation of a target as an entry knows it."""

import collections
import dataclasses

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.discovery import traits as traits_module
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.policy import engine_speed
from hemlockkeel._internal.policy import target_speed
from hemlockkeel._internal.relay import availability as availability_module
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import pool
from hemlockkeel._internal.relay import process_identity
from hemlockkeel._internal.relay import target_selection

# Weight of the newest result in a target's moving average of failures.
FAILURE_WEIGHT = 0.2
# The average also decays with time, so that a failing target is tried again.
FAILURE_HALF_LIFE_S = 3.0
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
# Responses that are remembered until it is certain that they were complete.
MAX_UNCONFIRMED = 1000
# Time without any data, while responses are due, after which a target may have
# ended. Entries have to know of a crash within three seconds; a probe takes up
# to one more.
SILENCE_S = 1.0


@dataclasses.dataclass
class Target:
    """One target incarnation as this entry knows it.

    An incarnation is one run of the target's process.
    """

    record: records.TargetRecord
    pool: pool.TargetPool
    availability: availability_module.Availability = dataclasses.field(
        default_factory=availability_module.Availability
    )
    in_flight: int = 0
    # Traits of this entry's requests in progress, with their number.
    traits: collections.Counter[ids.Trait] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Loop times at which responses were lost, by the traits of the requests.
    lost_at: dict[ids.Trait, float] = dataclasses.field(default_factory=dict)
    # Loop times of the last response data, of the first request since, and of
    # the start of the last probe.
    heard_at: float = float("-inf")
    asked_at: float = float("-inf")
    probed_at: float = float("-inf")
    # Requests whose responses ended with the connection, and the loop times
    # of that. The target may have crashed instead of completing them.
    unconfirmed: dict[traits_module.RequestTraits, float] = dataclasses.field(
        default_factory=dict
    )
    # Whether a later incarnation has taken its place.
    replaced: bool = False
    in_flight_prefill_tokens: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    load_reported_at: float = float("-inf")
    # Estimated from the responses of a plain target.
    speed: target_speed.SpeedEstimate = dataclasses.field(
        default_factory=target_speed.SpeedEstimate
    )
    # Estimated from the responses of an engine.
    prefill_speed: engine_speed.EngineSpeed = dataclasses.field(
        default_factory=engine_speed.EngineSpeed
    )
    failure_share: float = 0.0
    failure_at: float = 0.0
    engine: target_selection.EngineView | None = None
    # Start of the engine's process that its agent reported last, milliseconds
    # since the epoch; 0 if unknown.
    reported_start_ms: int = 0
    # Which process runs; None if that does not have to be known.
    identity: process_identity.ProcessIdentity | None = None
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
        self.speed.record_report(
            load.running + load.waiting, load.slowdown, now
        )

    def mark_leaving(self, wall_s: float = float("-inf")) -> bool:
        """Record that the target leaves; return whether this is news.

        ``wall_s`` is as in `availability.Availability.mark_leaving`.
        """
        if not self.availability.mark_leaving(wall_s):
            return False
        self.pool.close()
        return True

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
    def incarnation_key(self) -> records.IncarnationKey:
        """Return the key under which a crash of it is known."""
        return self.record.incarnation_key

    @property
    def identified(self) -> bool:
        """Return whether its process is the one that was announced."""
        if self.engine is not None:
            return not self.restarted
        return self.identity is None or self.identity.confirmed

    @property
    def restarted(self) -> bool:
        """Return whether its agent reports a start that is not announced."""
        return self.reported_start_ms > self.record.started_at_ms > 0

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
        if self.traits:
            return True
        since = max(self.heard_at, self.probed_at)
        return any(at > since for at in self.lost_at.values())

    def add_request(self, request: traits_module.RequestTraits) -> None:
        """Count a request that is sent."""
        self.in_flight += 1
        self.traits.update(request.all)

    def remove_request(self, request: traits_module.RequestTraits) -> None:
        """Stop to count a request."""
        self.in_flight -= 1
        for trait in request.all:
            self.traits[trait] -= 1
            if self.traits[trait] <= 0:
                del self.traits[trait]

    def record_lost(
        self, request: traits_module.RequestTraits, now: float
    ) -> None:
        """Remember a request whose response did not arrive completely."""
        for trait in request.all:
            self.lost_at.pop(trait, None)
            self.lost_at[trait] = now
        while next(iter(self.lost_at.values())) < now - LOST_RETENTION_S:
            del self.lost_at[next(iter(self.lost_at))]

    def record_unconfirmed(
        self, request: traits_module.RequestTraits, now: float
    ) -> None:
        """Remember a response that ended with its connection."""
        self.unconfirmed[request] = now
        if len(self.unconfirmed) > MAX_UNCONFIRMED:
            del self.unconfirmed[next(iter(self.unconfirmed))]

    def confirm(
        self, began_at: float, alive_at: float
    ) -> list[traits_module.RequestTraits]:
        """Return the requests that the target has completed for certain.

        These ended between two loop times at which the same process ran.
        """
        confirmed = [
            request
            for request, at in self.unconfirmed.items()
            if began_at < at < alive_at
        ]
        for request in confirmed:
            del self.unconfirmed[request]
        return confirmed

    def list_unanswered(self, now: float) -> list[ids.Trait]:
        """Return the traits of requests that may have ended the target.

        These are in progress, or were lost shortly before its last sign of
        life or since, or may have been completed.
        """
        since = max(now - LOST_RETENTION_S, self.heard_at - LOST_QUEUE_S)
        lost = {trait for trait, at in self.lost_at.items() if at >= since}
        for request in self.unconfirmed:
            lost.update(request.all)
        return sorted(lost | self.traits.keys())

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
