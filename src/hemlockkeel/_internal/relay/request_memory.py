"""What an entry remembers of requests, by their traits.

All of it is bounded in number and time; times are loop times in seconds.
"""

import collections
import collections.abc
import dataclasses
import random
import typing

from hemlockkeel._internal.discovery import blame
from hemlockkeel._internal.discovery import traits
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.relay import suspect_admission

MAX_REMEMBERED = 4096
# How long a completed request is remembered.
COMPLETED_RETENTION_S = 600.0

# A shared trait of this part of the latest requests that have any is common;
# fewer requests than the sample count as that many.
RECENT_REQUESTS = 200
COMMON_SHARE = 0.5
MIN_COMMON_SAMPLE = 50
# Crashes closer than this are of one trial.
TRIAL_GAP_S = 1.0


@dataclasses.dataclass
class Trials:
    """Requests sent with a doubted trait, by all entries; loop times."""

    # When it began to be doubted, or a failed trial was counted last.
    counted_at: float
    failed: int = 0
    # When this entry sent the last one.
    sent_at: float = float("-inf")


class RequestMemory:
    """Lost and completed requests, and the trials of contested ones."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        # Times of responses that targets lost since the last success.
        self.losses: collections.OrderedDict[
            ids.Trait, collections.deque[float]
        ] = collections.OrderedDict()
        # Separately, so that the many contents do not displace the others.
        self.contents_completed_at: collections.OrderedDict[
            ids.Trait, float
        ] = collections.OrderedDict()
        self.shared_completed_at: collections.OrderedDict[ids.Trait, float] = (
            collections.OrderedDict()
        )
        # Trials of the traits that are blamed or contested.
        self.trials: dict[ids.Trait, Trials] = {}
        # Shared traits of the latest requests, and how many have each.
        self.recent: collections.deque[tuple[ids.Trait, ...]] = (
            collections.deque()
        )
        self.recent_counts: collections.Counter[ids.Trait] = (
            collections.Counter()
        )
        # Delays by trait and number of crashes, seconds.
        self.trial_delays_s: collections.OrderedDict[
            tuple[ids.Trait, int], float
        ] = collections.OrderedDict()

    def record_loss(self, trait: ids.Trait, now: float) -> None:
        """Record a response that a target lost.

        For a shared trait, losses at the same time count as one: a target
        loses many requests at once.
        """
        losses = self.losses.setdefault(
            trait,
            collections.deque(maxlen=suspect_admission.MAX_RECENT_LOSSES),
        )
        if losses and traits.is_shared(trait):
            if now - losses[-1] < blame.COMMON_REASON_S:
                return
        losses.append(now)
        self.losses.move_to_end(trait)
        drop_oldest(self.losses)

    def get_losses(self, trait: ids.Trait) -> tuple[float, ...]:
        """Return when responses were lost since the last success."""
        return tuple(self.losses.get(trait, ()))

    def record_completed(self, trait: ids.Trait, now: float) -> None:
        """Record a successful response."""
        self.losses.pop(trait, None)
        completed_at = self.get_completed(trait)
        completed_at[trait] = now
        completed_at.move_to_end(trait)
        drop_oldest(completed_at)

    def get_completed(
        self, trait: ids.Trait
    ) -> collections.OrderedDict[ids.Trait, float]:
        """Return where completions of requests with a trait are recorded."""
        if traits.is_shared(trait):
            return self.shared_completed_at
        return self.contents_completed_at

    def has_completed(self, trait: ids.Trait, now: float) -> bool:
        """Return whether a request with this trait completed recently."""
        at = self.get_completed(trait).get(trait)
        return at is not None and now - at < COMPLETED_RETENTION_S

    def record_arrival(self, request: traits.RequestTraits) -> None:
        """Count the shared traits of a request."""
        if not request.shared:
            return
        self.recent.append(request.shared)
        self.recent_counts.update(request.shared)
        if len(self.recent) > RECENT_REQUESTS:
            for trait in self.recent.popleft():
                self.recent_counts[trait] -= 1
                if not self.recent_counts[trait]:
                    del self.recent_counts[trait]

    def is_common(self, trait: ids.Trait) -> bool:
        """Return whether most of the latest requests have a trait.

        Such a trait is in progress at most crashes by chance.
        """
        sent = max(MIN_COMMON_SAMPLE, len(self.recent))
        return self.recent_counts[trait] >= COMMON_SHARE * sent

    def track_trials(
        self, doubted: collections.abc.Set[ids.Trait], now: float
    ) -> None:
        """Begin to count the trials of doubted traits; forget the others'."""
        for trait in self.trials.keys() - doubted:
            del self.trials[trait]
        for trait in doubted - self.trials.keys():
            self.trials[trait] = Trials(now)

    def record_trial(self, trait: ids.Trait, now: float) -> None:
        """Record that a request with a doubted trait is sent."""
        if trait in self.trials:
            self.trials[trait].sent_at = now

    def record_crash(self, trait: ids.Trait, now: float) -> None:
        """Record a crash with a doubted trait, if it is one of a trial.

        Crashes right after the blame are of requests sent before it.
        """
        trials = self.trials.get(trait)
        if trials is not None and now - trials.counted_at > TRIAL_GAP_S:
            trials.failed += 1
            trials.counted_at = now

    def get_trials(self, trait: ids.Trait) -> Trials:
        """Return the trials of a doubted trait; none for another one."""
        return self.trials.get(trait, Trials(0.0))

    def get_trial_delay_s(self, trait: ids.Trait, crashes: int) -> float:
        """Return this entry's delay before it sends a contested request.

        It is drawn once after each crash.
        """
        key = trait, crashes
        if key not in self.trial_delays_s:
            self.trial_delays_s[key] = self.rng.uniform(
                *suspect_admission.TRIAL_DELAY_S
            )
            drop_oldest(self.trial_delays_s)
        return self.trial_delays_s[key]


def drop_oldest(
    remembered: collections.OrderedDict[typing.Any, typing.Any],
) -> None:
    """Limit the number of requests that are remembered."""
    while len(remembered) > MAX_REMEMBERED:
        remembered.popitem(last=False)
