"""Crashes of targets, and the requests that are to blame for them.

All requests that were in progress at a target when it crashed are suspected.
One that ends every target that runs it was in progress at each of these
crashes; a harmless one was there by chance and at fewer of them. So the
request with the most crashes is to blame for all of its crashes, and the
others are suspected only of those that remain. No request has to run alone
for this, which a busy target does not allow.

Reports may arrive repeatedly, late and in any order. The ledger has no side
effects; callers pass the time of the event loop in seconds.
"""

import collections.abc
import dataclasses
import enum
import typing

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.models import ids

# Crashes after which a request is to blame. With fewer, a request that was in
# progress at two crashes by chance would be.
BLAME_CRASHES = 3
CRASH_RETENTION_S = 3600.0
# The oldest crashes are dropped beyond this.
MAX_CRASHES = 400


class CrashKey(typing.NamedTuple):
    """The incarnation of a target that crashed."""

    target: records.InstanceId
    started_at_ms: int


class Suspicion(enum.IntEnum):
    """How strongly a request is suspected of crashing targets."""

    NONE = 0
    # It was in progress at a crash that is not explained otherwise.
    SUSPECTED = 1
    # It or another one is to blame for the same crashes.
    CONTESTED = 2
    BLAMED = 3


@dataclasses.dataclass
class Crash:
    """One crash; times are loop times in seconds."""

    key: CrashKey
    # Content digests of the requests that were in progress.
    digests: set[ids.ContentDigest]
    at: float
    # Requests that have completed since, so that they are not to blame.
    cleared: set[ids.ContentDigest] = dataclasses.field(default_factory=set)
    # When the target was heard of again; None while it counts as crashed.
    withdrawn_at: float | None = None


class CrashLedger:
    """The crashes that a process knows of."""

    def __init__(self) -> None:
        self.crashes: dict[CrashKey, Crash] = {}
        # The crashes that count, by the requests that are not cleared.
        self.by_digest: dict[ids.ContentDigest, set[CrashKey]] = {}
        # Those of the requests that were at enough crashes to be blamed.
        self.frequent: dict[ids.ContentDigest, set[CrashKey]] = {}
        # Derived from these; None after a change.
        self.derived: Blame | None = None

    def merge(
        self,
        key: CrashKey,
        digests: typing.Iterable[ids.ContentDigest],
        at: float,
        cleared: typing.Iterable[ids.ContentDigest] = (),
    ) -> set[ids.ContentDigest]:
        """Add a crash, or requests to a known one.

        Requests in ``cleared`` have completed since. Returns the requests for
        which the crash is new.
        """
        crash = self.crashes.get(key)
        if crash is None:
            crash = self.crashes[key] = Crash(key, set(), at)
            while len(self.crashes) > MAX_CRASHES:
                self.drop(next(iter(self.crashes)))
        if crash.withdrawn_at is not None:
            if at <= crash.withdrawn_at:
                return set()
            crash.withdrawn_at = None
            crash.digests.clear()
        for digest in set(cleared) - crash.cleared:
            self.clear_one(crash, digest)
        added = set(digests) - crash.digests - crash.cleared
        crash.digests |= added
        self.index(key, added)
        return added

    def withdraw(self, key: CrashKey, at: float) -> bool:
        """Stop to count a crash, as the target still runs.

        Returns whether it counted before.
        """
        crash = self.crashes.get(key)
        if crash is None or crash.withdrawn_at is not None:
            return False
        crash.withdrawn_at = at
        self.unindex(key, crash.digests)
        return True

    def reinstate(self, key: CrashKey) -> None:
        """Count a crash again that was withdrawn by mistake."""
        crash = self.crashes.get(key)
        if crash is not None and crash.withdrawn_at is not None:
            crash.withdrawn_at = None
            self.index(key, crash.digests)

    def clear(self, digest: ids.ContentDigest) -> bool:
        """Clear a request that has completed; return whether it was suspected.

        It stays suspected of crashes that are reported later.
        """
        keys = list(self.by_digest.get(digest, ()))
        for key in keys:
            self.clear_one(self.crashes[key], digest)
        return bool(keys)

    def clear_one(self, crash: Crash, digest: ids.ContentDigest) -> None:
        """Clear a request of one crash."""
        crash.cleared.add(digest)
        crash.digests.discard(digest)
        self.unindex(crash.key, [digest])

    def drop(self, key: CrashKey) -> None:
        """Remove a crash."""
        self.unindex(key, self.crashes.pop(key).digests)

    def expire(self, now: float) -> None:
        """Drop old crashes."""
        for key, crash in list(self.crashes.items()):
            if crash.at + CRASH_RETENTION_S <= now:
                self.drop(key)

    def index(
        self, key: CrashKey, digests: typing.Iterable[ids.ContentDigest]
    ) -> None:
        """Count a crash for some requests."""
        for digest in digests:
            keys = self.by_digest.setdefault(digest, set())
            keys.add(key)
            if len(keys) >= BLAME_CRASHES:
                self.frequent[digest] = keys
                self.derived = None

    def unindex(
        self, key: CrashKey, digests: typing.Iterable[ids.ContentDigest]
    ) -> None:
        """Stop to count a crash for some requests."""
        for digest in digests:
            keys = self.by_digest.get(digest, set())
            keys.discard(key)
            if digest in self.frequent:
                self.derived = None
            if len(keys) < BLAME_CRASHES:
                self.frequent.pop(digest, None)
            if not keys:
                self.by_digest.pop(digest, None)

    # Derived state

    def get_blame(self) -> "Blame":
        """Return which requests are blamed or contested."""
        if self.derived is None:
            self.derived = find_blame(self.frequent)
        return self.derived

    def get_suspicion(self, digest: ids.ContentDigest) -> Suspicion:
        """Return how strongly a request is suspected."""
        keys = self.by_digest.get(digest)
        if not keys:
            return Suspicion.NONE
        blame = self.get_blame()
        if digest in blame.blamed:
            return Suspicion.BLAMED
        if digest in blame.contested:
            return Suspicion.CONTESTED
        if keys <= blame.explained:
            return Suspicion.NONE
        return Suspicion.SUSPECTED

    def list_crashes(self, digest: ids.ContentDigest) -> list[Crash]:
        """Return the crashes at which a request was in progress."""
        return [
            self.crashes[key] for key in sorted(self.by_digest.get(digest, ()))
        ]


@dataclasses.dataclass(frozen=True)
class Blame:
    """The requests that were at enough crashes to be to blame for them."""

    blamed: frozenset[ids.ContentDigest]
    # Requests that cannot be told apart from another one.
    contested: frozenset[ids.ContentDigest]
    # Their crashes, of which no other request is suspected.
    explained: frozenset[CrashKey]


def find_blame(
    frequent: collections.abc.Mapping[
        ids.ContentDigest, collections.abc.Set[CrashKey]
    ],
) -> Blame:
    """Return which requests are to blame.

    ``frequent`` has the crashes of those that were at enough of them.

    The request with the most crashes explains them; then the one with the
    most that remain, and so on. Requests with as many crashes as another,
    some of them the same, are contested.
    """
    remaining = {digest: frozenset(keys) for digest, keys in frequent.items()}
    blamed: set[ids.ContentDigest] = set()
    contested: set[ids.ContentDigest] = set()
    explained: frozenset[CrashKey] = frozenset()
    while remaining:
        most = max(len(keys) for keys in remaining.values())
        if most < BLAME_CRASHES:
            break
        tied = {d: keys for d, keys in remaining.items() if len(keys) == most}
        first = min(tied)
        group = [d for d, keys in tied.items() if keys & tied[first]]
        (blamed if len(group) == 1 else contested).update(group)
        explained = explained.union(*(tied[digest] for digest in group))
        remaining = {
            digest: keys - explained
            for digest, keys in remaining.items()
            if digest not in group
        }
    return Blame(frozenset(blamed), frozenset(contested), explained)
