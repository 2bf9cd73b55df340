"""Which order an agent gives next; pure.

Adapters that granted requests use are never unloaded. Among the others, the
one whose last use is longest ago makes room.
"""

import dataclasses

from hemlockkeel._internal.orders import engine

Key = tuple[str, str]

# Loads of adapters that may be on their way to one engine at a time, from
# the engines' interface.
MAX_CONCURRENT_LOADS = 4


@dataclasses.dataclass
class EngineState:
    """What an engine holds, as its agent believes."""

    # Version of each held adapter by (model, adapter).
    adapters: dict[Key, int]
    # Adapters on their way.
    loading: set[Key]
    # Models that are present.
    models: set[str]
    adapter_slots: int
    # Held adapters that an unanswered order may still unload.
    pending_unloads: set[Key] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Demand:
    """What requests need now."""

    # Adapters that requests wait for, the most urgent first.
    pending: list[Key]
    # Adapters that running requests use.
    in_use: set[Key]
    # Time of the last use by (model, adapter).
    last_used_at: dict[Key, float]
    # Newest version named by (model, adapter).
    newest_versions: dict[Key, int]


def is_current(key: Key, state: EngineState, demand: Demand) -> bool:
    """Tell whether the newest version of an adapter is surely held."""
    if key in state.pending_unloads:
        return False
    version = state.adapters.get(key)
    return version is not None and version >= demand.newest_versions.get(
        key, 0
    )


def choose_order(state: EngineState, demand: Demand) -> engine.Order | None:
    """Return the order to give next; None when there is nothing to do."""
    for key in demand.pending:
        if key[0] not in state.models or key in state.loading:
            continue
        if is_current(key, state, demand):
            continue
        order = plan_load(key, state, demand)
        if order is not None:
            return order
    return None


def plan_load(
    key: Key, state: EngineState, demand: Demand
) -> engine.Order | None:
    """Return the order that brings an adapter nearer."""
    if key in state.pending_unloads:
        # Another unload voids the unanswered one: its count is then past.
        return engine.Order(engine.Operation.UNLOAD, *key)
    if key in state.adapters:
        # A replacement waits for the runs of the old version, and nothing
        # else can be ordered meanwhile.
        return None if key in demand.in_use else load(key, demand)
    taken = len(state.adapters.keys() | state.loading)
    if taken < state.adapter_slots:
        if len(state.loading) >= MAX_CONCURRENT_LOADS:
            return None
        return load(key, demand)
    victim = choose_victim(state, demand)
    if victim is None:
        return None
    return engine.Order(engine.Operation.UNLOAD, *victim)


def load(key: Key, demand: Demand) -> engine.Order:
    """Return the order that loads the newest version of an adapter."""
    version = demand.newest_versions.get(key)
    return engine.Order(engine.Operation.LOAD, *key, version)


def choose_victim(state: EngineState, demand: Demand) -> Key | None:
    """Return the unused adapter whose last use is longest ago."""
    wanted = set(demand.pending)
    unused = [
        key
        for key in state.adapters
        if key not in demand.in_use and key not in wanted
    ]
    return min(
        unused,
        key=lambda key: (demand.last_used_at.get(key, float("-inf")), key),
        default=None,
    )
