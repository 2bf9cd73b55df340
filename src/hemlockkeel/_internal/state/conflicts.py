"""Rules that decide whether a change conflicts with earlier ones."""

import abc
import collections.abc


class ConflictRule(abc.ABC):
    """Decides whether a change that was based on a version may commit."""

    @abc.abstractmethod
    def find_conflicts(
        self,
        keys: collections.abc.Iterable[str],
        read_version: int,
        current_version: int,
        item_versions: collections.abc.Mapping[str, int],
    ) -> list[str]:
        """Return the keys that conflict; an empty list accepts the change.

        ``keys`` are the items that the change reads or writes,
        ``read_version`` is the version it was computed from, and
        ``item_versions`` holds the version that last wrote each item.
        """


class VersionMatch(ConflictRule):
    """Accepts a change only if it was computed from the current version."""

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
    """Rejects a change if an item it uses was written after its read version.

    This is the commit rule of generalized snapshot isolation, in which the
    first committer wins. Source: Elnikety, Pedone, Zwaenepoel, "Database
    Replication Using Generalized Snapshot Isolation", rule G2. The
    configuration is validated against the latest state at commit, so a read
    set is not required.
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
