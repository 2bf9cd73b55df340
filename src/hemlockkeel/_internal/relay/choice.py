"""Which target gets a request: the least expected time to its first byte.

Pure decision code. It answers two loads: many short requests at plain
services, where places are few and reports are a little old; and engines,
where prompts wait behind each other and adapters have few slots.
"""

import dataclasses
import random

from hemlockkeel._internal.announced import records
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.policy import routing

# Slowest step of an engine's batch, seconds, from the engines' sheet.
STEP_S = 0.0055
# Time of a load from the store, and of one of an adapter that the target
# held a short while ago, seconds, from the engines' sheet.
ADAPTER_LOAD_S = 0.25
ADAPTER_RELOAD_S = 0.025
# A load from the store delays other loads too, so it counts as more than
# its own time: as long as a request can wait and still be on time.
STORE_LOAD_S = 0.6
# Share of the allowed silence that means nothing, and what the rest costs.
QUIET_SHARE = 0.4
SILENCE_S = 0.5
# Cost of another data centre, for an engine and a plain service: links
# between them are few and priced, and prompts are larger than plain bodies.
ENGINE_DISTANCE_S = 0.1
PLAIN_DISTANCE_S = 0.01
# Expected work of one request at a plain service, seconds.
PLAIN_WORK_S = 0.06
# What evicting a held adapter costs its next request, on average, seconds.
EVICTION_S = 0.1
# Expected wait for memory, for each multiple of it that is asked for.
MEMORY_WAIT_S = 1.5
# Added for a share of failures among a target's last answers; a target
# that fails everything comes after any wait that a request can stand.
FAILURE_S = 10.0
# Orders the targets of an adapter that is held nowhere.
SPREAD_S = 0.1


@dataclasses.dataclass(slots=True)
class EngineView:
    """What an entry knows of an engine beyond its requests."""

    held: frozenset[str] = frozenset()
    coming: frozenset[str] = frozenset()
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
    may_order: bool = False


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that may run a request."""

    record: records.TargetRecord
    # Requests of this entry that have not ended.
    own: int
    # Prompt tokens this entry sent that no first byte has answered yet.
    own_prefill_tokens: int
    # Requests and places as the target last reported them.
    running: int
    waiting: int
    slots: int
    # Share of failures among its last answers.
    failure_share: float
    # Tokens of the prompt that it probably keeps.
    kept_tokens: int = 0
    engine: EngineView | None = None
    # Prompt tokens of all entries that it has probably not read yet.
    prefill_ahead: float = 0.0
    # Whether it held the adapter a short while ago.
    held_lately: bool = False
    # Time since its last heartbeat, as a share of what it may be silent.
    silence: float = 0.0


@dataclasses.dataclass(frozen=True)
class Need:
    """What a request needs of a target."""

    data_centre: str
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    # Rank; 0 is the most urgent.
    priority: int = 0


def choose(
    need: Need, candidates: list[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the target with the least expected time."""
    if not candidates:
        return None
    held = any(
        candidate.engine is not None
        and need.adapter in candidate.engine.held | candidate.engine.coming
        for candidate in candidates
    )
    return min(
        candidates,
        key=lambda candidate: (
            expect_s(need, candidate, held),
            rng.random(),
        ),
    )


def expect_s(need: Need, candidate: Candidate, held: bool) -> float:
    """Return the expected seconds to the first byte at a target."""
    cost = candidate.failure_share * FAILURE_S
    cost += max(0.0, candidate.silence - QUIET_SHARE) * SILENCE_S
    if candidate.record.data_centre != need.data_centre:
        cost += (
            PLAIN_DISTANCE_S if candidate.engine is None else ENGINE_DISTANCE_S
        )
    cost += candidate.record.cold_left_s * 0.1
    if candidate.engine is None:
        return cost + expect_plain_s(candidate)
    cost += expect_prefill_s(need, candidate)
    cost += expect_memory_s(need, candidate, candidate.engine)
    if need.adapter:
        cost += expect_adapter_s(need, candidate, candidate.engine, held)
    return cost


def expect_plain_s(candidate: Candidate) -> float:
    """Return the expected wait at a plain service's target."""
    ahead = max(candidate.own, candidate.running + candidate.waiting)
    slots = max(1, candidate.slots)
    waits = max(0.0, (ahead + 1 - slots) / slots)
    return waits * PLAIN_WORK_S + 0.01 * ahead / slots


def expect_prefill_s(need: Need, candidate: Candidate) -> float:
    """Return the expected time until an engine has read the prompt."""
    own = max(0, need.prompt_tokens - candidate.kept_tokens)
    ahead = max(candidate.own_prefill_tokens, candidate.prefill_ahead)
    batch = candidate.running / max(1, candidate.slots)
    return (own + ahead) / backlog.PREFILL_TOKENS_PER_S * (1.0 + batch)


def expect_memory_s(
    need: Need, candidate: Candidate, engine: EngineView
) -> float:
    """Return the expected wait for memory and a place in the batch."""
    wait = 0.05 * engine.queued
    if engine.kv_total:
        wanted = engine.kv_used + need.prompt_tokens + need.output_tokens
        wanted += candidate.own_prefill_tokens
        over = max(0.0, wanted / engine.kv_total - 0.9)
        wait += over * MEMORY_WAIT_S
    full = candidate.running + 1 - max(1, candidate.slots)
    if full > 0:
        wait += 0.1 * full
    return wait


def expect_adapter_s(
    need: Need, candidate: Candidate, engine: EngineView, held: bool
) -> float:
    """Return the expected wait for the adapter and what it displaces."""
    if need.adapter in engine.held:
        return 0.0
    if not engine.may_order:
        return FAILURE_S
    if need.adapter in engine.coming:
        return ADAPTER_LOAD_S / 2
    cost = ADAPTER_RELOAD_S if candidate.held_lately else STORE_LOAD_S
    cost += expect_slot_s(need, engine)
    taken = len(engine.held) + len(engine.coming)
    if taken >= engine.adapter_slots:
        cost += EVICTION_S
    if held and not candidate.held_lately:
        cost += EVICTION_S
    name = need.adapter
    spread = routing.get_spread(name, candidate.record.instance_id)
    return cost + SPREAD_S * spread


def expect_slot_s(need: Need, engine: EngineView) -> float:
    """Return the expected wait for an adapter slot."""
    if not need.adapter or need.adapter in engine.held | engine.coming:
        return 0.0
    if not engine.slot_waits_s:
        return 0.0
    rank = min(need.priority, len(engine.slot_waits_s) - 1)
    return engine.slot_waits_s[rank]
