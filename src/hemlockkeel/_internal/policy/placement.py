"""Preselects the targets that routing compares for a request.

Routing compares the targets that have loaded the request's adapter and a few
more that follow the adapter's position on a hash ring. The cost of a decision
then does not grow with the number of targets, and without communicating,
entries choose the same target for an adapter that is loaded nowhere.
"""

import bisect
import collections
import collections.abc
import hashlib

# Up to this many targets of a service are all compared.
MAX_UNFILTERED_TARGETS = 32
# Targets from the ring that are compared for each request.
RING_CANDIDATES = 16
# Positions of each target on the ring, for an even distribution.
POINTS_PER_TARGET = 8


def hash_point(text: str) -> int:
    """Return a text's position on the ring, a 64-bit hash."""
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
        """Return the first ``count`` distinct targets after a name."""
        limit = min(count, self.size)
        start = bisect.bisect(self.points, hash_point(name))
        found: dict[str, None] = {}
        for step in range(len(self.owners)):
            if len(found) >= limit:
                break
            owner = self.owners[(start + step) % len(self.owners)]
            found[owner] = None
        return list(found)


class AdapterIndex:
    """Index of the targets that have loaded or are loading an adapter."""

    def __init__(self) -> None:
        self.by_name: dict[str, set[str]] = {}
        self.by_target: dict[str, frozenset[str]] = {}

    def update(self, target_id: str, names: frozenset[str]) -> None:
        """Replace the adapters of one target."""
        previous = self.by_target.get(target_id, frozenset())
        for name in previous - names:
            targets = self.by_name[name]
            targets.discard(target_id)
            if not targets:
                del self.by_name[name]
        for name in names - previous:
            self.by_name.setdefault(name, set()).add(target_id)
        self.by_target[target_id] = names

    def remove(self, target_id: str) -> None:
        """Remove a target and its adapters."""
        self.update(target_id, frozenset())
        del self.by_target[target_id]

    def get(self, name: str) -> set[str]:
        """Return the targets that have loaded or are loading an adapter."""
        return self.by_name.get(name, set())


class Placement:
    """Hash ring of each service, and the targets of each adapter."""

    def __init__(self) -> None:
        self.rings: dict[str, HashRing] = {}
        self.targets_by_service: dict[str, list[str]] = {}
        self.adapter_index = AdapterIndex()

    def set_targets(
        self, by_service: collections.abc.Mapping[str, list[str]]
    ) -> None:
        """Replace the targets of all services.

        Rings are rebuilt only for services whose targets have changed.
        """
        known = {target for ids in by_service.values() for target in ids}
        for target_id in set(self.adapter_index.by_target) - known:
            self.adapter_index.remove(target_id)
        for service, target_ids in by_service.items():
            if self.targets_by_service.get(service) != target_ids:
                self.rings[service] = HashRing(target_ids)
        self.targets_by_service = collections.defaultdict(list, by_service)

    def find_candidates(
        self, service: str, name: str
    ) -> collections.abc.Iterable[str]:
        """Return the targets to compare for an adapter or prompt prefix."""
        target_ids = self.targets_by_service.get(service, [])
        if len(target_ids) <= MAX_UNFILTERED_TARGETS:
            return target_ids
        ring = self.rings[service]
        found = dict.fromkeys(ring.get_successors(name, RING_CANDIDATES))
        found.update(dict.fromkeys(self.adapter_index.get(name)))
        return found
