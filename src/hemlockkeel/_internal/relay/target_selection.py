"""Which target gets a request: the least expected time to its first byte.

Pure decision code. It answers two loads: many short requests at plain
services, where places are few and reports are a little old; and engines,
where prompts wait behind each other and adapters have few slots.
"""

import dataclasses
import random

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.policy import routing

# Slowest step of an engine's batch, seconds, from the engines' sheet.
MAX_BATCH_STEP_S = 0.0055
# Time of a load from the store, and of one of an adapter that the target
# held a short while ago, seconds, from the engines' sheet.
ADAPTER_LOAD_S = 0.25
ADAPTER_RELOAD_S = 0.025
# A load from the store delays other loads too, so it counts as more than
# its own time: as long as a request can wait and still be on time.
STORE_LOAD_COST_S = 0.6
# Share of the allowed silence that means nothing, and what the rest costs.
TOLERATED_SILENCE_SHARE = 0.4
SILENCE_COST_S = 0.5
# Cost of another data centre, for an engine and a plain service: links
# between them are few and priced, and prompts are larger than plain bodies.
REMOTE_ENGINE_COST_S = 0.1
REMOTE_PLAIN_COST_S = 0.01
# Expected work of one request at a plain service, seconds.
PLAIN_SERVICE_TIME_S = 0.06
# What evicting a held adapter costs its next request, on average, seconds.
EVICTION_COST_S = 0.1
# Expected wait for memory, for each multiple of it that is asked for.
MEMORY_OVERCOMMIT_COST_S = 1.5
# Added for a share of failures among a target's last answers; a target
# that fails everything comes after any wait that a request can stand.
FAILURE_COST_S = 10.0
# Orders the targets of an adapter that is held nowhere.
HASH_SPREAD_S = 0.1


@dataclasses.dataclass(slots=True)
class EngineView:
    """What an entry knows of an engine beyond its requests."""

    loaded: frozenset[str] = frozenset()
    loading: frozenset[str] = frozenset()
    adapter_slots: int = 0
    kv_used: int = 0
    kv_total: int = 0
    # Expected wait for an adapter slot by priority, seconds, as its agent
    # reckons.
    slot_waits_s: tuple[float, ...] = ()
    queued: int = 0
    # Prompt tokens that it has probably not read yet, and how old that is.
    prefill_tokens: int = 0
    reported_at: float = 0.0
    # Whether an agent can order loads there now.
    can_load: bool = False


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that may run a request."""

    record: records.TargetRecord
    # Requests of this entry that have not ended.
    in_flight: int
    # Prompt tokens this entry sent that no first byte has answered yet.
    in_flight_prefill_tokens: int
    # Requests and places as the target last reported them.
    running: int
    waiting: int
    slots: int
    # Share of failures among its last answers.
    failure_share: float
    # Tokens of the prompt that it probably keeps.
    cached_tokens: int = 0
    engine: EngineView | None = None
    # Prompt tokens of all entries that it has probably not read yet.
    prefill_backlog: float = 0.0
    # Whether it held the adapter a short while ago.
    recently_loaded: bool = False
    # Time since its last heartbeat, as a share of what it may be silent.
    silence_ratio: float = 0.0


@dataclasses.dataclass(frozen=True)
class Requirements:
    """What a request needs of a target."""

    data_centre: str
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    # Rank; 0 is the most urgent.
    priority: int = 0


def select_target(
    requirements: Requirements, candidates: list[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the target with the least expected time."""
    if not candidates:
        return None
    loaded_anywhere = any(
        candidate.engine is not None
        and requirements.adapter
        in candidate.engine.loaded | candidate.engine.loading
        for candidate in candidates
    )
    return min(
        candidates,
        key=lambda candidate: (
            estimate_cost_s(requirements, candidate, loaded_anywhere),
            rng.random(),
        ),
    )


def estimate_cost_s(
    requirements: Requirements, candidate: Candidate, loaded_anywhere: bool
) -> float:
    """Return the expected seconds to the first byte at a target."""
    cost = candidate.failure_share * FAILURE_COST_S
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
    cost += candidate.record.warmup_left_s * 0.1
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
    """Return the expected wait at a plain service's target."""
    ahead = max(candidate.in_flight, candidate.running + candidate.waiting)
    slots = max(1, candidate.slots)
    waits = max(0.0, (ahead + 1 - slots) / slots)
    return waits * PLAIN_SERVICE_TIME_S + 0.01 * ahead / slots


def estimate_prefill_s(
    requirements: Requirements, candidate: Candidate
) -> float:
    """Return the expected time until an engine has read the prompt."""
    uncached = max(0, requirements.prompt_tokens - candidate.cached_tokens)
    ahead = max(candidate.in_flight_prefill_tokens, candidate.prefill_backlog)
    batch = candidate.running / max(1, candidate.slots)
    return (uncached + ahead) / backlog.PREFILL_TOKENS_PER_S * (1.0 + batch)


def estimate_batch_wait_s(
    requirements: Requirements, candidate: Candidate, engine: EngineView
) -> float:
    """Return the expected wait for memory and a place in the batch."""
    wait = 0.05 * engine.queued
    if engine.kv_total:
        wanted = (
            engine.kv_used
            + requirements.prompt_tokens
            + requirements.output_tokens
        )
        wanted += candidate.in_flight_prefill_tokens
        over = max(0.0, wanted / engine.kv_total - 0.9)
        wait += over * MEMORY_OVERCOMMIT_COST_S
    over_slots = candidate.running + 1 - max(1, candidate.slots)
    if over_slots > 0:
        wait += 0.1 * over_slots
    return wait


def estimate_adapter_wait_s(
    requirements: Requirements,
    candidate: Candidate,
    engine: EngineView,
    loaded_anywhere: bool,
) -> float:
    """Return the expected wait for the adapter and what it displaces."""
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
    spread = routing.get_rendezvous_hash(name, candidate.record.instance_id)
    return cost + HASH_SPREAD_S * spread


def estimate_slot_wait_s(
    requirements: Requirements, engine: EngineView
) -> float:
    """Return the expected wait for an adapter slot."""
    if (
        not requirements.adapter
        or requirements.adapter in engine.loaded | engine.loading
    ):
        return 0.0
    if not engine.slot_waits_s:
        return 0.0
    rank = min(requirements.priority, len(engine.slot_waits_s) - 1)
    return engine.slot_waits_s[rank]
