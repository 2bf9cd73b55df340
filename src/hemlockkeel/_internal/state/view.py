"""The view: what the control members publish to entries and agents.

It is a flat map of keys to values with a version, and each process keeps a
copy of the part it needs, which it updates by deltas.
"""

import bisect
import collections.abc
import enum

from hemlockkeel._internal.models import items
from hemlockkeel._internal.models import members

# Keys of recent changes that are kept to compute deltas from.
MAX_LOG_KEYS = 50_000


class Namespace(enum.Enum):
    """Parts of the view; the first component of each key."""

    CONFIG = "config"
    MEMBER = "member"
    SUSPECT = "suspect"
    CONTROL = "control"


def make_config_key(item_key: str) -> str:
    """Return the view key of a configuration item."""
    return f"{Namespace.CONFIG.value}/{item_key}"


def make_member_key(site: str, member_id: str) -> str:
    """Return the view key of a member."""
    return f"{Namespace.MEMBER.value}/{site}/{member_id}"


def make_suspect_key(digest: str) -> str:
    """Return the view key of a suspected request."""
    return f"{Namespace.SUSPECT.value}/{digest}"


def make_control_key(member_id: str) -> str:
    """Return the view key of a control member."""
    return f"{Namespace.CONTROL.value}/{member_id}"


def get_prefixes(
    role: members.Role, site: str, member_id: str
) -> tuple[str, ...]:
    """Return the key prefixes of the view that a process needs.

    An agent does not look up adapters, so they are left out of its copy,
    which stays small however many adapters are declared.
    """
    shared = (
        f"{Namespace.SUSPECT.value}/",
        f"{Namespace.CONTROL.value}/",
    )
    if role is members.Role.AGENT:
        deployment = items.Kind.DEPLOYMENT.value
        service = items.Kind.SERVICE.value
        layers = (items.BASE_LAYER, site)
        return (
            *shared,
            make_member_key(site, member_id),
            *(make_config_key(f"{layer}/{deployment}/") for layer in layers),
            *(make_config_key(f"{layer}/{service}/") for layer in layers),
        )
    return (
        *shared,
        make_config_key(items.BASE_LAYER + items.SEPARATOR),
        make_config_key(site + items.SEPARATOR),
        f"{Namespace.MEMBER.value}/{site}/",
    )


class Delta:
    """Changes that update a copy of the view from one version to another.

    ``items`` holds the new value of each changed key, or None if the key was
    deleted. A full delta holds the whole view and replaces the copy.
    """

    __slots__ = ("from_version", "full", "items", "to_version")

    def __init__(
        self,
        from_version: int,
        to_version: int,
        full: bool,
        changed: list[tuple[str, bytes | None]],
    ) -> None:
        self.from_version = from_version
        self.to_version = to_version
        self.full = full
        self.items = changed


class ViewLog:
    """The current view, and a log of the keys changed at recent versions."""

    def __init__(self) -> None:
        self.items: dict[str, bytes] = {}
        self.version = 0
        # Oldest version that a delta can be computed from.
        self.base_version = 0
        # Version of each key in log_keys, in ascending order.
        self.log_versions: list[int] = []
        self.log_keys: list[str] = []

    def put(self, version: int, key: str, value: bytes | None) -> None:
        """Set one item at a version; None deletes it."""
        if value is None:
            if self.items.pop(key, None) is None:
                return
        else:
            self.items[key] = value
        self.version = version
        self.log_versions.append(version)
        self.log_keys.append(key)
        if len(self.log_keys) > 2 * MAX_LOG_KEYS:
            self.trim()

    def trim(self) -> None:
        """Drop the older half of the log.

        The cut is between two versions, because a delta needs all keys of a
        version.
        """
        cut = len(self.log_keys) - MAX_LOG_KEYS
        version = self.log_versions[cut - 1]
        cut = bisect.bisect_right(self.log_versions, version)
        self.base_version = version
        del self.log_versions[:cut]
        del self.log_keys[:cut]

    def make_delta(
        self, from_version: int, prefixes: tuple[str, ...]
    ) -> Delta | None:
        """Return the changes since a version; None if it is the current one.

        The delta is full if the log does not reach back to the version.
        """
        if from_version == self.version:
            return None
        if from_version < self.base_version or from_version > self.version:
            return self.make_full_delta(prefixes)
        start = bisect.bisect_right(self.log_versions, from_version)
        keys = dict.fromkeys(self.log_keys[start:])
        changed = [
            (key, self.items.get(key))
            for key in keys
            if key.startswith(prefixes)
        ]
        return Delta(from_version, self.version, False, changed)

    def make_full_delta(self, prefixes: tuple[str, ...]) -> Delta:
        """Return a delta with all items under the prefixes."""
        current_items: list[tuple[str, bytes | None]] = [
            (key, value)
            for key, value in self.items.items()
            if key.startswith(prefixes)
        ]
        return Delta(0, self.version, True, current_items)

    def restore(
        self, entries: collections.abc.Mapping[str, bytes], version: int
    ) -> None:
        """Replace the view by that of a snapshot.

        The log is lost, so copies of earlier versions need a full delta.
        """
        self.items = dict(entries)
        self.version = version
        self.base_version = version
        self.log_versions.clear()
        self.log_keys.clear()
