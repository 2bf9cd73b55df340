"""Which order an agent gives next; pure.

Adapters that granted requests use are never unloaded. Among the others, the
one whose last use is longest ago makes room.
"""

import dataclasses

from hemlockkeel._internal.orders import engine

Key = tuple[str, str]

# Loads of adapters that may be on their way to one engine at a time, from
# the engines' interface.
MAX_COMING = 4


@dataclasses.dataclass
class Holding:
    """What an engine holds, as its agent believes."""

    # Version of each held adapter by (model, adapter).
    adapters: dict[Key, int]
    # Adapters on their way.
    coming: set[Key]
    # Models that are present.
    models: set[str]
    adapter_slots: int
    # Held adapters that an unanswered order may still unload.
    doubtful: set[Key] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Demand:
    """What requests need now."""

    # Adapters that requests wait for, the most urgent first.
    wanted: list[Key]
    # Adapters that running requests use.
    granted: set[Key]
    # Time of the last use by (model, adapter).
    used_at: dict[Key, float]
    # Newest version named by (model, adapter).
    newest: dict[Key, int]


def is_current(key: Key, holding: Holding, demand: Demand) -> bool:
    """Tell whether the newest version of an adapter is surely held."""
    if key in holding.doubtful:
        return False
    version = holding.adapters.get(key)
    return version is not None and version >= demand.newest.get(key, 0)


def choose_order(holding: Holding, demand: Demand) -> engine.Order | None:
    """Return the order to give next; None when there is nothing to do."""
    for key in demand.wanted:
        if key[0] not in holding.models or key in holding.coming:
            continue
        if is_current(key, holding, demand):
            continue
        order = make_room_or_load(key, holding, demand)
        if order is not None:
            return order
    return None


def make_room_or_load(
    key: Key, holding: Holding, demand: Demand
) -> engine.Order | None:
    """Return the order that brings an adapter nearer."""
    if key in holding.doubtful:
        # Another unload voids the unanswered one: its count is then past.
        return engine.Order(engine.Operation.UNLOAD, *key)
    if key in holding.adapters:
        # A replacement waits for the runs of the old version, and nothing
        # else can be ordered meanwhile.
        return None if key in demand.granted else load(key, demand)
    taken = len(holding.adapters.keys() | holding.coming)
    if taken < holding.adapter_slots:
        if len(holding.coming) >= MAX_COMING:
            return None
        return load(key, demand)
    victim = find_victim(holding, demand)
    if victim is None:
        return None
    return engine.Order(engine.Operation.UNLOAD, *victim)


def load(key: Key, demand: Demand) -> engine.Order:
    """Return the order that loads the newest version of an adapter."""
    version = demand.newest.get(key)
    return engine.Order(engine.Operation.LOAD, *key, version)


def find_victim(holding: Holding, demand: Demand) -> Key | None:
    """Return the unused adapter whose last use is longest ago."""
    wanted = set(demand.wanted)
    unused = [
        key
        for key in holding.adapters
        if key not in demand.granted and key not in wanted
    ]
    return min(
        unused,
        key=lambda key: (demand.used_at.get(key, float("-inf")), key),
        default=None,
    )
