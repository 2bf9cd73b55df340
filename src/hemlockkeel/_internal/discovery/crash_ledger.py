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

import collections
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
MAX_CRASHES = 1000


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
        # Derived from the crashes; None after a change.
        self.suspicions: dict[ids.ContentDigest, Suspicion] | None = None

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
                del self.crashes[next(iter(self.crashes))]
        if crash.withdrawn_at is not None:
            if at <= crash.withdrawn_at:
                return set()
            crash.withdrawn_at = None
            crash.digests.clear()
        crash.cleared |= set(cleared)
        added = set(digests) - crash.digests - crash.cleared
        crash.digests = (crash.digests | added) - crash.cleared
        self.suspicions = None
        return added

    def withdraw(self, key: CrashKey, at: float) -> bool:
        """Stop to count a crash, as the target still runs.

        Returns whether it counted before.
        """
        crash = self.crashes.get(key)
        if crash is None or crash.withdrawn_at is not None:
            return False
        crash.withdrawn_at = at
        self.suspicions = None
        return True

    def reinstate(self, key: CrashKey) -> None:
        """Count a crash again that was withdrawn by mistake."""
        crash = self.crashes.get(key)
        if crash is not None and crash.withdrawn_at is not None:
            crash.withdrawn_at = None
            self.suspicions = None

    def clear(self, digest: ids.ContentDigest) -> bool:
        """Clear a request that has completed; return whether it was suspected.

        It stays suspected of crashes that are reported later.
        """
        found = False
        for crash in self.crashes.values():
            if digest in crash.digests:
                crash.digests.discard(digest)
                crash.cleared.add(digest)
                found = True
        if found:
            self.suspicions = None
        return found

    def get_suspicion(self, digest: ids.ContentDigest) -> Suspicion:
        """Return how strongly a request is suspected."""
        return self.derive_suspicions().get(digest, Suspicion.NONE)

    def list_blamed(self) -> frozenset[ids.ContentDigest]:
        """Return the requests that are to blame for crashes."""
        return frozenset(
            digest
            for digest, suspicion in self.derive_suspicions().items()
            if suspicion is Suspicion.BLAMED
        )

    def derive_suspicions(self) -> dict[ids.ContentDigest, Suspicion]:
        """Return the suspicion of each request that was at a crash."""
        if self.suspicions is None:
            self.suspicions = find_suspicions(self.list_crash_sets())
        return self.suspicions

    def list_crash_sets(
        self,
    ) -> dict[ids.ContentDigest, frozenset[CrashKey]]:
        """Return the crashes that count, by request."""
        by_digest = collections.defaultdict(set)
        for crash in self.crashes.values():
            if crash.withdrawn_at is None:
                for digest in crash.digests:
                    by_digest[digest].add(crash.key)
        return {digest: frozenset(keys) for digest, keys in by_digest.items()}

    def list_crashes(self, digest: ids.ContentDigest) -> list[Crash]:
        """Return the crashes at which a request was in progress."""
        return [
            crash
            for crash in self.crashes.values()
            if digest in crash.digests and crash.withdrawn_at is None
        ]

    def expire(self, now: float) -> None:
        """Drop old crashes."""
        for key in [
            key
            for key, crash in self.crashes.items()
            if crash.at + CRASH_RETENTION_S <= now
        ]:
            del self.crashes[key]
            self.suspicions = None


def find_suspicions(
    crash_sets: dict[ids.ContentDigest, frozenset[CrashKey]],
) -> dict[ids.ContentDigest, Suspicion]:
    """Return the suspicion of each request that was at a crash.

    ``crash_sets`` has the crashes of each request. Requests that are blamed
    or contested explain their crashes. Those with as many crashes as another,
    some of them the same, cannot be told apart.
    """
    suspicions: dict[ids.ContentDigest, Suspicion] = {}
    remaining = dict(crash_sets)
    while remaining:
        most = max(len(keys) for keys in remaining.values())
        if most < BLAME_CRASHES:
            break
        tied = {d: keys for d, keys in remaining.items() if len(keys) == most}
        first = min(tied)
        group = [d for d, keys in tied.items() if keys & tied[first]]
        explained = frozenset().union(*(tied[digest] for digest in group))
        blame = Suspicion.BLAMED if len(group) == 1 else Suspicion.CONTESTED
        for digest in group:
            suspicions[digest] = blame
        remaining = {
            digest: keys - explained
            for digest, keys in remaining.items()
            if digest not in suspicions and keys - explained
        }
    for digest in remaining:
        suspicions[digest] = Suspicion.SUSPECTED
    return suspicions
