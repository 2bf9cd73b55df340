"""Which traits of requests are to blame for crashes of targets."""

import collections.abc
import dataclasses

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.discovery import traits as traits_module
from hemlockkeel._internal.models import ids

# Crashes after which a trait is to blame. With fewer, a request that was in
# progress at two crashes by chance would be.
BLAME_CRASHES = 3
# The same for a shared trait that is probably harmless: requests with it have
# completed before, or most requests have it.
ESTABLISHED_BLAME_CRASHES = 5
# Crashes from which on a trait may be another reason for those of a shared
# trait, and the number of other reasons that are as likely as the shared one.
REPEATED_CRASHES = BLAME_CRASHES - 1
MAX_OTHER_REASONS = 2
# Crashes within this time of the first one of them count as one for a shared
# trait: targets may crash together for a common reason.
COMMON_REASON_S = 0.5


# Times of crashes, loop times in seconds.
CrashTimes = collections.abc.Mapping[records.IncarnationKey, float]
CrashesByTrait = collections.abc.Mapping[
    ids.Trait, collections.abc.Set[records.IncarnationKey]
]


@dataclasses.dataclass(frozen=True)
class Blame:
    """The traits that were at enough crashes to be to blame for them."""

    blamed: frozenset[ids.Trait]
    # Groups of traits that the crashes do not tell apart.
    contested_groups: tuple[frozenset[ids.Trait], ...]
    # Shared traits with the few other traits that explain the same crashes.
    doubtful: collections.abc.Mapping[ids.Trait, frozenset[ids.Trait]]
    # Crashes of blamed and contested traits, of which no other is suspected.
    explained: frozenset[records.IncarnationKey]

    @property
    def contested(self) -> frozenset[ids.Trait]:
        """Return the traits that cannot be told apart from others."""
        return frozenset(self.doubtful).union(*self.contested_groups)

    def find_reasons(
        self, request: traits_module.RequestTraits
    ) -> frozenset[ids.Trait]:
        """Return the traits for which a request would crash its target.

        It has a blamed trait, all traits of a contested group, or a doubtful
        one together with another reason for the same crashes: whichever is to
        blame, the request has it. Empty for other requests.
        """
        own = frozenset(request.all)
        reasons = own & self.blamed
        for group in self.contested_groups:
            if group <= own:
                reasons |= group
        for trait, others in self.doubtful.items():
            if trait in own and others & own:
                reasons |= {trait}
        return reasons


def count_crashes(trait: ids.Trait, times: list[float]) -> int:
    """Return how many crashes count against a trait, given their times."""
    if not traits_module.is_shared(trait):
        return len(times)
    count = 0
    counted_until = float("-inf")
    for at in sorted(times):
        if at > counted_until:
            count += 1
            counted_until = at + COMMON_REASON_S
    return count


def find_blame(
    repeated: CrashesByTrait,
    established: collections.abc.Set[ids.Trait],
    times: CrashTimes,
) -> Blame:
    """Return which traits are to blame.

    ``repeated`` has the crashes of those that were at several of them.
    ``established`` are shared traits that are probably harmless; they are
    blamed only for crashes that no other trait explains.
    """
    unknown = {t: k for t, k in repeated.items() if t not in established}
    known = {t: k for t, k in repeated.items() if t in established}
    first = explain(unknown, times, BLAME_CRASHES, frozenset())
    second = explain(known, times, ESTABLISHED_BLAME_CRASHES, first.explained)
    doubtful = {}
    for trait in first.blamed:
        others = find_other_reasons(trait, unknown)
        if others:
            doubtful[trait] = others
    return Blame(
        first.blamed.difference(doubtful) | second.blamed,
        first.contested_groups + second.contested_groups,
        doubtful,
        second.explained.difference(*(repeated[trait] for trait in doubtful)),
    )


def find_other_reasons(
    trait: ids.Trait, repeated: CrashesByTrait
) -> frozenset[ids.Trait]:
    """Return a few traits that explain all crashes of a shared one.

    Empty if there are none, or the trait is not shared. A popular trait is in
    progress when requests with different fatal ones crash targets.
    """
    if not traits_module.is_shared(trait):
        return frozenset()
    missing = set(repeated[trait])
    chosen: set[ids.Trait] = set()
    while missing and len(chosen) < MAX_OTHER_REASONS:
        best = max(
            sorted(repeated.keys() - chosen - {trait}),
            key=lambda other: len(missing & repeated[other]),
            default=None,
        )
        if best is None or not missing & repeated[best]:
            break
        chosen.add(best)
        missing -= repeated[best]
    return frozenset() if missing else frozenset(chosen)


def explain(
    repeated: CrashesByTrait,
    times: CrashTimes,
    least_crashes: int,
    explained: frozenset[records.IncarnationKey],
) -> Blame:
    """Return which of some traits are to blame, and all explained crashes.

    The trait with the most crashes explains them; then the one with the most
    that remain, and so on. Traits with as many crashes as another, some of
    them the same, are contested. ``explained`` are crashes known to have
    another reason.
    """
    remaining = {
        trait: frozenset(keys) - explained for trait, keys in repeated.items()
    }
    blamed: set[ids.Trait] = set()
    groups: list[frozenset[ids.Trait]] = []
    while True:
        remaining = {
            trait: keys
            for trait, keys in remaining.items()
            if count_crashes(trait, [times[key] for key in keys])
            >= least_crashes
        }
        if not remaining:
            return Blame(frozenset(blamed), tuple(groups), {}, explained)
        most = max(len(keys) for keys in remaining.values())
        tied = {t: keys for t, keys in remaining.items() if len(keys) == most}
        chosen = min(tied)
        group = frozenset(t for t, k in tied.items() if k & tied[chosen])
        if len(group) == 1:
            blamed |= group
        else:
            groups.append(group)
        explained = explained.union(*(tied[trait] for trait in group))
        remaining = {
            trait: keys - explained
            for trait, keys in remaining.items()
            if trait not in group
        }
