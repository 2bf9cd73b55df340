"""Which targets are worth costing for an adapter, when there are many.

A request is costed on the targets that hold its adapter and on a few more
that follow the adapter's place on a hash ring, so the cost of a decision
does not grow with the number of targets, and entries agree on where a cold
adapter goes without asking each other.
"""

import bisect
import collections
import collections.abc
import hashlib

# With up to this many targets all of them are costed.
MAX_UNFILTERED_TARGETS = 32
RING_CANDIDATES = 16
POINTS_PER_TARGET = 8


def hash_point(text: str) -> int:
    """Return a text's place on the ring."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class HashRing:
    """Consistent hashing of target ids.

    Source: Karger et al., "Consistent Hashing and Random Trees", 1997.
    """

    def __init__(self, target_ids: collections.abc.Iterable[str]) -> None:
        points = [
            (hash_point(f"{target_id}#{number}"), target_id)
            for target_id in target_ids
            for number in range(POINTS_PER_TARGET)
        ]
        points.sort()
        self.points = [point for point, _ in points]
        self.owners = [owner for _, owner in points]
        self.size = len(set(self.owners))

    def get_successors(self, name: str, count: int) -> list[str]:
        """Return the first distinct targets after a name's place."""
        wanted = min(count, self.size)
        start = bisect.bisect(self.points, hash_point(name))
        found: dict[str, None] = {}
        for step in range(len(self.owners)):
            if len(found) >= wanted:
                break
            owner = self.owners[(start + step) % len(self.owners)]
            found[owner] = None
        return list(found)


class HolderIndex:
    """Which targets hold or load each adapter, kept up to date by deltas."""

    def __init__(self) -> None:
        self.by_name: dict[str, set[str]] = {}
        self.by_target: dict[str, frozenset[str]] = {}

    def update(self, target_id: str, names: frozenset[str]) -> None:
        """Replace what one target holds."""
        old = self.by_target.get(target_id, frozenset())
        for name in old - names:
            holders = self.by_name[name]
            holders.discard(target_id)
            if not holders:
                del self.by_name[name]
        for name in names - old:
            self.by_name.setdefault(name, set()).add(target_id)
        self.by_target[target_id] = names

    def remove(self, target_id: str) -> None:
        """Forget a target."""
        self.update(target_id, frozenset())
        del self.by_target[target_id]

    def get(self, name: str) -> set[str]:
        """Return the targets that hold or load an adapter."""
        return self.by_name.get(name, set())


class Placement:
    """Rings a service and the holders of every adapter."""

    def __init__(self) -> None:
        self.rings: dict[str, HashRing] = {}
        self.members: dict[str, list[str]] = {}
        self.holders = HolderIndex()

    def set_targets(
        self, by_service: collections.abc.Mapping[str, list[str]]
    ) -> None:
        """Learn the targets of every service."""
        known = {target for ids in by_service.values() for target in ids}
        for target_id in set(self.holders.by_target) - known:
            self.holders.remove(target_id)
        for service, target_ids in by_service.items():
            if self.members.get(service) != target_ids:
                self.rings[service] = HashRing(target_ids)
        self.members = collections.defaultdict(list, by_service)

    def find_candidates(
        self, service: str, name: str
    ) -> collections.abc.Iterable[str]:
        """Return the targets worth costing for an adapter or prefix."""
        members = self.members.get(service, [])
        if len(members) <= MAX_UNFILTERED_TARGETS:
            return members
        ring = self.rings[service]
        found = dict.fromkeys(ring.get_successors(name, RING_CANDIDATES))
        found.update(dict.fromkeys(self.holders.get(name)))
        return found
