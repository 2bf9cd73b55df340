"""Crashes of targets, and the traits of requests that are to blame for them.

All requests that were in progress at a target when it crashed are suspected,
each by its traits (see `traits`). What ends every target was in progress at
each of these crashes; a harmless trait was there by chance and at fewer of
them. So the trait with the most crashes is to blame for all of its crashes,
and the others are suspected only of those that remain. No request has to run
alone for this, which a busy target does not allow.

Popular shared traits are in progress nearly everywhere, so that chance does
not rule them out. They are told apart by requests that complete: a completion
clears all known crashes of a trait, one that has completed before is blamed
after more crashes than one that never has, and targets that crash together
count as one crash.

Reports may arrive repeatedly, late and in any order. The ledger has no side
effects; callers pass the time of the event loop in seconds.
"""

import dataclasses
import enum
import typing

from hemlockkeel._internal.discovery import blame
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.models import ids

CRASH_RETENTION_S = 3600.0
# The oldest crashes are dropped beyond this.
MAX_CRASHES = 400


class Suspicion(enum.IntEnum):
    """How strongly a trait is suspected of crashing targets."""

    NONE = 0
    # It was in progress at a crash that is not explained otherwise.
    SUSPECTED = 1
    # It or another one is to blame for the same crashes.
    CONTESTED = 2
    BLAMED = 3


@dataclasses.dataclass
class Crash:
    """One crash; times are loop times in seconds."""

    key: records.IncarnationKey
    # Traits of the requests that were in progress.
    traits: set[ids.Trait]
    at: float
    # Traits of requests that have completed since, so not to blame.
    cleared: set[ids.Trait] = dataclasses.field(default_factory=set)
    # When the target was heard of again; None while it counts as crashed.
    withdrawn_at: float | None = None


class CrashLedger:
    """The crashes that a process knows of."""

    def __init__(self) -> None:
        self.crashes: dict[records.IncarnationKey, Crash] = {}
        # The crashes that count, by the traits that are not cleared.
        self.by_trait: dict[ids.Trait, set[records.IncarnationKey]] = {}
        # Those of the traits that were at several crashes.
        self.repeated: dict[ids.Trait, set[records.IncarnationKey]] = {}
        # Those of the shared traits that are probably harmless.
        self.established: set[ids.Trait] = set()
        # Derived from these; None after a change.
        self.derived: blame.Blame | None = None

    def merge(
        self,
        key: records.IncarnationKey,
        traits: typing.Iterable[ids.Trait],
        at: float,
        cleared: typing.Iterable[ids.Trait] = (),
        established: typing.Iterable[ids.Trait] = (),
    ) -> set[ids.Trait]:
        """Add a crash, or traits to a known one.

        Requests with those in ``cleared`` have completed since; those in
        ``established`` are shared and probably harmless. Returns the traits
        for which the crash is new.
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
            crash.traits.clear()
        for trait in set(cleared) - crash.cleared:
            self.clear_one(crash, trait)
        added = set(traits) - crash.traits - crash.cleared
        crash.traits |= added
        self.index(key, added)
        self.establish(established)
        return added

    def establish(self, traits: typing.Iterable[ids.Trait]) -> None:
        """Record which of some suspected traits are probably harmless."""
        news = self.by_trait.keys() & set(traits) - self.established
        self.established |= news
        if news & self.repeated.keys():
            self.derived = None

    def withdraw(self, key: records.IncarnationKey, at: float) -> bool:
        """Stop to count a crash, as the target still runs.

        Returns whether it counted before.
        """
        crash = self.crashes.get(key)
        if crash is None or crash.withdrawn_at is not None:
            return False
        crash.withdrawn_at = at
        self.unindex(key, crash.traits)
        return True

    def reinstate(self, key: records.IncarnationKey) -> None:
        """Count a crash again that was withdrawn by mistake."""
        crash = self.crashes.get(key)
        if crash is not None and crash.withdrawn_at is not None:
            crash.withdrawn_at = None
            self.index(key, crash.traits)

    def clear(self, trait: ids.Trait) -> bool:
        """Clear a trait of a request that has completed.

        It stays suspected of crashes that are reported later. Returns whether
        it was suspected.
        """
        keys = list(self.by_trait.get(trait, ()))
        for key in keys:
            self.clear_one(self.crashes[key], trait)
        return bool(keys)

    def clear_one(self, crash: Crash, trait: ids.Trait) -> None:
        """Clear a trait of one crash."""
        crash.cleared.add(trait)
        crash.traits.discard(trait)
        self.unindex(crash.key, [trait])

    def drop(self, key: records.IncarnationKey) -> None:
        """Remove a crash."""
        self.unindex(key, self.crashes.pop(key).traits)

    def expire(self, now: float) -> None:
        """Drop old crashes."""
        for key, crash in list(self.crashes.items()):
            if crash.at + CRASH_RETENTION_S <= now:
                self.drop(key)

    def index(
        self, key: records.IncarnationKey, traits: typing.Iterable[ids.Trait]
    ) -> None:
        """Count a crash for some traits."""
        for trait in traits:
            keys = self.by_trait.setdefault(trait, set())
            keys.add(key)
            if len(keys) >= blame.REPEATED_CRASHES:
                self.repeated[trait] = keys
                self.derived = None

    def unindex(
        self, key: records.IncarnationKey, traits: typing.Iterable[ids.Trait]
    ) -> None:
        """Stop to count a crash for some traits."""
        for trait in traits:
            keys = self.by_trait.get(trait, set())
            keys.discard(key)
            if trait in self.repeated:
                self.derived = None
            if len(keys) < blame.REPEATED_CRASHES:
                self.repeated.pop(trait, None)
            if not keys:
                self.by_trait.pop(trait, None)
                self.established.discard(trait)

    # Derived state

    def get_blame(self) -> blame.Blame:
        """Return which traits are blamed or contested."""
        if self.derived is None:
            self.derived = blame.find_blame(
                self.repeated,
                self.established,
                {key: crash.at for key, crash in self.crashes.items()},
            )
        return self.derived

    def get_suspicion(self, trait: ids.Trait) -> Suspicion:
        """Return how strongly requests with a trait are suspected."""
        keys = self.by_trait.get(trait)
        if not keys:
            return Suspicion.NONE
        found = self.get_blame()
        if trait in found.blamed:
            return Suspicion.BLAMED
        if trait in found.contested:
            return Suspicion.CONTESTED
        if keys <= found.explained:
            return Suspicion.NONE
        return Suspicion.SUSPECTED

    def list_crashes(self, trait: ids.Trait) -> list[Crash]:
        """Return the crashes at which a trait was in progress."""
        return [
            self.crashes[key] for key in sorted(self.by_trait.get(trait, ()))
        ]
