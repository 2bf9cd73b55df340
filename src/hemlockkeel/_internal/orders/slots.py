"""Chooses the next order for an engine.

The functions have no side effects. Adapters that granted requests use are
never unloaded. When all slots are taken, the least recently used one of the
others is unloaded.
"""

import collections.abc
import dataclasses

from hemlockkeel._internal.orders import engine

# Model and adapter.
AdapterKey = tuple[str, str]

# Loads of adapters that an engine accepts at a time, from its interface.
MAX_CONCURRENT_LOADS = 4


@dataclasses.dataclass
class EngineState:
    """Models and adapters of an engine as its agent knows them."""

    # Version of each loaded adapter.
    adapters: dict[AdapterKey, int]
    # Adapters that are being loaded.
    loading: set[AdapterKey]
    # Models that are loaded.
    models: set[str]
    adapter_slots: int
    # Adapters that an unload order without a reply may still unload.
    pending_unloads: set[AdapterKey] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Demand:
    """Adapters that requests need."""

    # Adapters that requests wait for, the most urgent first.
    pending: list[AdapterKey]
    # Adapters of granted requests.
    in_use: set[AdapterKey]
    # Time of each adapter's last use.
    last_used_at: dict[AdapterKey, float]
    # Newest version of each adapter that control members have announced.
    newest_versions: dict[AdapterKey, int]
    # Adapters that the engine can reload without the store.
    recent: collections.abc.Set[AdapterKey] = frozenset()
    # Loads from the store that may be in progress at a time.
    max_store_loads: int = MAX_CONCURRENT_LOADS

    def may_load(self, key: AdapterKey, state: EngineState) -> bool:
        """Return whether a load may be added to those in progress."""
        if len(state.loading) >= MAX_CONCURRENT_LOADS:
            return False
        if key in self.recent:
            return True
        return len(state.loading - self.recent) < self.max_store_loads


def is_current(key: AdapterKey, state: EngineState, demand: Demand) -> bool:
    """Return whether the newest version of an adapter is certainly loaded."""
    if key in state.pending_unloads:
        return False
    version = state.adapters.get(key)
    return version is not None and version >= demand.newest_versions.get(
        key, 0
    )


def choose_order(state: EngineState, demand: Demand) -> engine.Order | None:
    """Return the next order; None when there is nothing to do."""
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
    key: AdapterKey, state: EngineState, demand: Demand
) -> engine.Order | None:
    """Return the next order towards loading an adapter; None if it must wait.

    This is an unload if the adapter's state is uncertain or no slot is free.
    """
    if key in state.pending_unloads:
        # Accepting this unload increases the engine's order count, so that
        # it refuses the one without a reply should that arrive later.
        return engine.Order(engine.Operation.UNLOAD, *key)
    if key in state.adapters:
        # The engine replaces an older version only after the requests that
        # use it have ended, and accepts no other order meanwhile.
        return None if key in demand.in_use else make_load_order(key, demand)
    if not demand.may_load(key, state):
        # A slot that is freed early would only lose its adapter.
        return None
    taken = len(state.adapters.keys() | state.loading)
    if taken < state.adapter_slots:
        return make_load_order(key, demand)
    victim = choose_victim(state, demand)
    if victim is None:
        return None
    return engine.Order(engine.Operation.UNLOAD, *victim)


def make_load_order(key: AdapterKey, demand: Demand) -> engine.Order:
    """Return an order to load the newest version of an adapter."""
    version = demand.newest_versions.get(key)
    return engine.Order(engine.Operation.LOAD, *key, version)


def choose_victim(state: EngineState, demand: Demand) -> AdapterKey | None:
    """Return the least recently used adapter to unload.

    Returns None when requests use or wait for every loaded adapter.
    """
    pending = set(demand.pending)
    unused = [
        key
        for key in state.adapters
        if key not in demand.in_use and key not in pending
    ]
    return min(
        unused,
        key=lambda key: (demand.last_used_at.get(key, float("-inf")), key),
        default=None,
    )
