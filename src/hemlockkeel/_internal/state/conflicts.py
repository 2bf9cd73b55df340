"""Rules that decide whether a change collides with earlier ones."""

import abc
import collections.abc


class ConflictRule(abc.ABC):
    """Decides whether a change computed from an old version may commit."""

    @abc.abstractmethod
    def find_conflicts(
        self,
        keys: collections.abc.Iterable[str],
        read_version: int,
        current_version: int,
        item_versions: collections.abc.Mapping[str, int],
    ) -> list[str]:
        """Return the keys that collide; an empty list accepts."""


class VersionMatch(ConflictRule):
    """Accepts only changes computed from the current version."""

    def find_conflicts(
        self,
        keys: collections.abc.Iterable[str],
        read_version: int,
        current_version: int,
        item_versions: collections.abc.Mapping[str, int],
    ) -> list[str]:
        if read_version == current_version:
            return []
        return sorted(keys)


class WritesetCertification(ConflictRule):
    """Accepts a change unless an item it touches was written since.

    This is the commit rule of generalized snapshot isolation: the first
    committer wins. Source: Elnikety, Pedone, Zwaenepoel, "Database
    Replication Using Generalized Snapshot Isolation", rule G2. Validation
    runs on the latest state at commit, so it needs no read set.
    """

    def find_conflicts(
        self,
        keys: collections.abc.Iterable[str],
        read_version: int,
        current_version: int,
        item_versions: collections.abc.Mapping[str, int],
    ) -> list[str]:
        return sorted(
            key for key in keys if item_versions.get(key, 0) > read_version
        )
