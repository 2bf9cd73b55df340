"""What an entry remembers of requests, by the digest of their content.

All of it is bounded in number and time; times are loop times in seconds.
"""

import collections
import random
import typing

from hemlockkeel._internal.models import ids
from hemlockkeel._internal.relay import suspect_admission

MAX_REMEMBERED = 4096
# How long a completed request is not suspected of crashing targets.
COMPLETED_RETENTION_S = 600.0


class RequestMemory:
    """Lost and completed requests, and the trials of contested ones."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        # Times of responses that targets lost since the last success.
        self.losses: collections.OrderedDict[
            ids.ContentDigest, collections.deque[float]
        ] = collections.OrderedDict()
        self.completed_at: collections.OrderedDict[
            ids.ContentDigest, float
        ] = collections.OrderedDict()
        # Delays by digest and number of crashes, seconds.
        self.trial_delays_s: collections.OrderedDict[
            tuple[ids.ContentDigest, int], float
        ] = collections.OrderedDict()

    def record_loss(self, digest: ids.ContentDigest, now: float) -> None:
        """Record a response that a target lost."""
        losses = self.losses.setdefault(
            digest,
            collections.deque(maxlen=suspect_admission.MAX_RECENT_LOSSES),
        )
        losses.append(now)
        self.losses.move_to_end(digest)
        drop_oldest(self.losses)

    def get_losses(self, digest: ids.ContentDigest) -> tuple[float, ...]:
        """Return when responses were lost since the last success."""
        return tuple(self.losses.get(digest, ()))

    def record_completed(self, digest: ids.ContentDigest, now: float) -> None:
        """Record a successful response."""
        self.losses.pop(digest, None)
        self.completed_at[digest] = now
        self.completed_at.move_to_end(digest)
        drop_oldest(self.completed_at)

    def has_completed(self, digest: ids.ContentDigest, now: float) -> bool:
        """Return whether a request with this content completed recently."""
        at = self.completed_at.get(digest)
        return at is not None and now - at < COMPLETED_RETENTION_S

    def get_trial_delay_s(
        self, digest: ids.ContentDigest, crashes: int
    ) -> float:
        """Return this entry's delay before it sends a contested request.

        It is drawn once after each crash.
        """
        key = digest, crashes
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
