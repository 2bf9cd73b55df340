"""Selects the target with the least expected time to the first byte.

The functions have no side effects. The cost model covers two kinds of load:
plain services with many short requests, few slots and slightly outdated load
reports; and engines, where prompts queue for prefill and adapter slots are
scarce.
"""

import dataclasses
import random

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.policy import target_speed

# Time to load an adapter from the weight store, and to reload one that the
# engine had loaded recently, from the engine data sheet.
ADAPTER_LOAD_S = 0.25
ADAPTER_RELOAD_S = 0.025
# A load from the weight store also delays other loads, so it costs more than
# its own time: as much as a request can wait within its objective.
STORE_LOAD_COST_S = 0.6
# Part of the allowed heartbeat silence that costs nothing, and the cost of
# each further multiple of the allowed silence.
TOLERATED_SILENCE_SHARE = 0.4
SILENCE_COST_S = 0.5
# Cost of a target in another data centre. Links between data centres are few
# and charged for, and prompts are larger than the bodies of plain requests.
REMOTE_ENGINE_COST_S = 0.1
REMOTE_PLAIN_COST_S = 0.01
# Service time of a plain service of which no response is known yet.
PRIOR_PLAIN_SERVICE_S = 0.06
# Plain targets whose service times differ by less than this share are chosen
# at random. Entries choose by reports of about the same age, and would
# otherwise all choose the same target.
PLAIN_JITTER = 0.3
# Expected delay at a target that is still slow after its start, as a share of
# the time for which it remains slow.
WARMUP_COST_RATIO = 0.1
# Expected wait per request that is queued at an engine, and per request beyond
# its batch slots.
QUEUED_REQUEST_WAIT_S = 0.05
EXCESS_REQUEST_WAIT_S = 0.1
# Average delay of the next request for an adapter after its eviction.
EVICTION_COST_S = 0.1
# Share of the KV cache up to which requests need not wait for its memory, and
# the expected wait per multiple of the capacity requested beyond that.
MAX_KV_SHARE = 0.9
MEMORY_OVERCOMMIT_COST_S = 1.5
# Cost of a target whose recent responses have all failed: more than any wait
# that a request can have. Scaled by the share of failures.
FAILURE_COST_S = 10.0
# Largest cost by which the rendezvous hash prefers one target for a load.
HASH_PREFERENCE_S = 0.1


@dataclasses.dataclass(slots=True)
class EngineView:
    """State of an engine as its agent last reported it.

    Adapters are named MODEL/NAME.
    """

    loaded: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
    adapter_slots: int = 0
    kv_used: int = 0
    kv_total: int = 0
    # The agent's estimate of the wait for an adapter slot, by priority rank,
    # seconds.
    slot_waits_s: tuple[float, ...] = ()
    queued: int = 0
    # Prompt tokens still to be prefilled, and the loop time of that report.
    pending_prefill_tokens: int = 0
    reported_at: float = 0.0
    # Whether the agent can load adapters at the engine now.
    can_load: bool = False

    def has_adapter(self, adapter: str) -> bool:
        """Return whether an adapter is loaded or loading."""
        return adapter in self.loaded or adapter in self.loading


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that may be selected for a request."""

    record: records.TargetRecord
    # Requests of this entry that are in progress at the target.
    in_flight: int
    # Uncached prompt tokens of those requests that have no first byte yet.
    in_flight_prefill_tokens: int
    # Requests and slots as the target last reported them.
    running: int
    waiting: int
    slots: int
    # Share of failures among its recent responses.
    failure_share: float
    # Prompt tokens that are probably in its prefix cache.
    cached_tokens: int = 0
    engine: EngineView | None = None
    # Estimated prompt tokens of all entries that are still to be prefilled.
    prefill_backlog: float = 0.0
    # Whether it had the adapter loaded recently.
    recently_loaded: bool = False
    # Time since its last heartbeat, relative to the longest allowed.
    silence_ratio: float = 0.0
    # Whether its instance seems to be paused.
    unresponsive: bool = False
    # Expected service time at a plain target while it is idle.
    service_s: float = PRIOR_PLAIN_SERVICE_S
    # Requests that are expected to run or wait there now, where this is
    # estimated from several reports.
    expected_ahead: float | None = None
    # How many times longer prompts take at this engine than at others.
    prefill_factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What a request requires of a target."""

    data_centre: str
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    # Priority rank; 0 is the most urgent.
    priority: int = 0


def select_target(
    requirements: Requirements, candidates: list[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the candidate with the least cost; None without candidates.

    Candidates of equal cost are chosen at random.
    """
    if not candidates:
        return None
    loaded_anywhere = any(
        candidate.engine is not None
        and candidate.engine.has_adapter(requirements.adapter)
        for candidate in candidates
    )
    return min(
        candidates,
        key=lambda candidate: (
            estimate_cost_s(requirements, candidate, loaded_anywhere)
            + draw_jitter_s(candidate, rng),
            rng.random(),
        ),
    )


def draw_jitter_s(candidate: Candidate, rng: random.Random) -> float:
    """Return a random cost that spreads requests over similar targets."""
    if candidate.engine is not None:
        return 0.0
    return candidate.service_s * PLAIN_JITTER * rng.random()


def estimate_cost_s(
    requirements: Requirements, candidate: Candidate, loaded_anywhere: bool
) -> float:
    """Return the expected seconds to the first byte, plus penalties.

    ``loaded_anywhere`` tells whether some candidate has the adapter loaded
    or is loading it.
    """
    cost = candidate.failure_share * FAILURE_COST_S
    if candidate.unresponsive:
        cost += FAILURE_COST_S
    cost += (
        max(0.0, candidate.silence_ratio - TOLERATED_SILENCE_SHARE)
        * SILENCE_COST_S
    )
    if candidate.record.data_centre != requirements.data_centre:
        cost += (
            REMOTE_PLAIN_COST_S
            if candidate.engine is None
            else REMOTE_ENGINE_COST_S
        )
    cost += candidate.record.warmup_left_s * WARMUP_COST_RATIO
    if candidate.engine is None:
        return cost + estimate_plain_wait_s(candidate)
    cost += estimate_prefill_s(requirements, candidate)
    cost += estimate_batch_wait_s(requirements, candidate, candidate.engine)
    if requirements.adapter:
        cost += estimate_adapter_wait_s(
            requirements, candidate, candidate.engine, loaded_anywhere
        )
    return cost


def estimate_plain_wait_s(candidate: Candidate) -> float:
    """Return the expected response time at a target of a plain service."""
    ahead: float = candidate.running + candidate.waiting
    if candidate.expected_ahead is not None:
        ahead = candidate.expected_ahead
    ahead = max(candidate.in_flight, ahead)
    return candidate.service_s * target_speed.get_load_factor(
        ahead, candidate.slots
    )


def estimate_prefill_s(
    requirements: Requirements, candidate: Candidate
) -> float:
    """Return the expected time until the prompt is prefilled, seconds."""
    uncached = max(0, requirements.prompt_tokens - candidate.cached_tokens)
    ahead = max(candidate.in_flight_prefill_tokens, candidate.prefill_backlog)
    batch_share = candidate.running / max(1, candidate.slots)
    seconds = (uncached + ahead) / backlog.PREFILL_TOKENS_PER_S
    return seconds * (1.0 + batch_share) * candidate.prefill_factor


def estimate_batch_wait_s(
    requirements: Requirements, candidate: Candidate, engine: EngineView
) -> float:
    """Return the expected wait for KV cache memory and a batch slot."""
    wait = QUEUED_REQUEST_WAIT_S * engine.queued
    if engine.kv_total:
        requested = (
            engine.kv_used
            + requirements.prompt_tokens
            + requirements.output_tokens
        )
        requested += candidate.in_flight_prefill_tokens
        overcommit = max(0.0, requested / engine.kv_total - MAX_KV_SHARE)
        wait += overcommit * MEMORY_OVERCOMMIT_COST_S
    over_limit = candidate.running + 1 - max(1, candidate.slots)
    if over_limit > 0:
        wait += EXCESS_REQUEST_WAIT_S * over_limit
    return wait


def estimate_adapter_wait_s(
    requirements: Requirements,
    candidate: Candidate,
    engine: EngineView,
    loaded_anywhere: bool,
) -> float:
    """Return the expected wait for the adapter, plus eviction costs.

    A second copy of an adapter costs like an eviction, since it takes a slot
    that another adapter could use.
    """
    if requirements.adapter in engine.loaded:
        return 0.0
    if not engine.can_load:
        return FAILURE_COST_S
    if requirements.adapter in engine.loading:
        return ADAPTER_LOAD_S / 2
    cost = ADAPTER_RELOAD_S if candidate.recently_loaded else STORE_LOAD_COST_S
    cost += estimate_slot_wait_s(requirements, engine)
    used_slots = len(engine.loaded) + len(engine.loading)
    if used_slots >= engine.adapter_slots:
        cost += EVICTION_COST_S
    if loaded_anywhere and not candidate.recently_loaded:
        cost += EVICTION_COST_S
    name = requirements.adapter
    rank = routing.get_rendezvous_hash(name, candidate.record.instance_id)
    return cost + HASH_PREFERENCE_S * rank


def estimate_slot_wait_s(
    requirements: Requirements, engine: EngineView
) -> float:
    """Return the agent's estimate of the wait for an adapter slot.

    This is 0 if the request needs no adapter, the adapter is loaded or
    loading, or the agent has given no estimates.
    """
    if not requirements.adapter or engine.has_adapter(requirements.adapter):
        return 0.0
    if not engine.slot_waits_s:
        return 0.0
    rank = min(requirements.priority, len(engine.slot_waits_s) - 1)
    return engine.slot_waits_s[rank]
