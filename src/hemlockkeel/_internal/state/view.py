"""What entries and agents follow: a flat map with a version that grows."""

import bisect
import collections.abc
import enum

from hemlockkeel._internal.models import items
from hemlockkeel._internal.models import members

MAX_LOG_KEYS = 50_000


class Namespace(enum.Enum):
    """Parts of the view, the first part of each key."""

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
    """Return the key prefixes that a follower needs.

    An agent resolves no adapters, so it does not follow them: its share of
    the view stays small however many adapters there are.
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
    """Items that bring a follower from one version to another."""

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
    """Current view and the keys changed at recent versions."""

    def __init__(self) -> None:
        self.items: dict[str, bytes] = {}
        self.version = 0
        # Deltas are available from versions at or after this one.
        self.base_version = 0
        self.log_versions: list[int] = []
        self.log_keys: list[str] = []

    def put(self, version: int, key: str, value: bytes | None) -> None:
        """Change one item at a version."""
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
        """Forget the older half of the log at a version boundary."""
        cut = len(self.log_keys) - MAX_LOG_KEYS
        version = self.log_versions[cut - 1]
        cut = bisect.bisect_right(self.log_versions, version)
        self.base_version = version
        del self.log_versions[:cut]
        del self.log_keys[:cut]

    def make_delta(
        self, from_version: int, prefixes: tuple[str, ...]
    ) -> Delta | None:
        """Return what changed since a version; None if nothing did."""
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
        """Return the whole view of a follower."""
        found: list[tuple[str, bytes | None]] = [
            (key, value)
            for key, value in self.items.items()
            if key.startswith(prefixes)
        ]
        return Delta(0, self.version, True, found)

    def restore(
        self, entries: collections.abc.Mapping[str, bytes], version: int
    ) -> None:
        """Replace the view from a snapshot; older followers need it whole."""
        self.items = dict(entries)
        self.version = version
        self.base_version = version
        self.log_versions.clear()
        self.log_keys.clear()
