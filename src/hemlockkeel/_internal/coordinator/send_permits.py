"""Issues permits to send requests to targets that limit their rate.

A target names the requests a second that it takes from all entries together.
One control member issues the permits for it, from a token bucket. Entries
that reach different members may use two of them for a while, so each bucket
is filled at a part of the limit only.

The decisions have no side effects; times are loop times in seconds.
"""

import dataclasses
import random
import typing

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.policy import rate_share

# Permits that can be issued at once, and those of a new bucket: another member
# may have issued some just before.
MAX_TOKENS = 2.0
INITIAL_TOKENS = 1.0
# How long an entry that got no permit counts as waiting for one.
WAITING_S = 5.0
MAX_WAIT_S = 5.0
# Entries are told at most this often that a target begins or ends to limit its
# requests, so that one that changes its mind with each response costs little.
MIN_NOTICE_INTERVAL_S = 1.0
# Limits that nobody has asked for or named again are forgotten after this.
RETENTION_S = 300.0


@dataclasses.dataclass
class Bucket:
    """The limit of one target and the permits left."""

    # None after the limit has been lifted.
    limit: float | None
    tokens: float
    filled_at: float
    used_at: float
    # What entries were told last, and when.
    told_limited: bool = False
    told_at: float = float("-inf")
    # Entries that got no permit, and when.
    waiting: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def rate(self) -> float:
        """Return the permits that are issued per second."""
        assert self.limit is not None
        return rate_share.get_rate(self.limit)

    def fill(self, now: float) -> None:
        """Add the permits of the time that has passed."""
        if self.limit is not None:
            added = (now - self.filled_at) * self.rate
            self.tokens = min(MAX_TOKENS, self.tokens + added)
        self.filled_at = now

    def set_limit(self, limit: float | None, now: float) -> None:
        """Apply another limit from now on."""
        self.fill(now)
        self.limit = limit

    def take_notice(self, now: float) -> bool:
        """Return whether entries are to be told, and count them as told."""
        limited = self.limit is not None
        if limited is self.told_limited:
            return False
        if now - self.told_at < MIN_NOTICE_INTERVAL_S:
            return False
        self.told_limited, self.told_at = limited, now
        return True


class SendPermits:
    """The limits that a control member knows of."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.buckets: dict[records.IncarnationKey, Bucket] = {}

    def set_limit(
        self, key: records.IncarnationKey, limit: float | None, now: float
    ) -> bool:
        """Store a limit; None if it is lifted.

        Returns whether entries are to be told now.
        """
        bucket = self.buckets.get(key)
        if bucket is None:
            if limit is None:
                return False
            bucket = Bucket(limit, INITIAL_TOKENS, now, now)
            self.buckets[key] = bucket
        bucket.set_limit(limit, now)
        bucket.used_at = now
        return bucket.take_notice(now)

    def acquire(
        self, key: records.IncarnationKey, limit: float, entry: str, now: float
    ) -> messages.SendPermit:
        """Return whether an entry may send one request, or when to ask again.

        ``limit`` is the one that the entry knows.
        """
        if key not in self.buckets:
            self.buckets[key] = Bucket(limit, INITIAL_TOKENS, now, now)
        bucket = self.buckets[key]
        bucket.used_at = now
        if bucket.limit is None:
            return messages.SendPermit(granted=True)
        bucket.fill(now)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            bucket.waiting.pop(entry, None)
            return messages.SendPermit(granted=True, limit=bucket.limit)
        bucket.waiting[entry] = now
        bucket.waiting = {
            name: at
            for name, at in bucket.waiting.items()
            if now - at < WAITING_S
        }
        # The entries that wait share the next permits.
        wait_s = (1.0 - bucket.tokens) / bucket.rate
        wait_s += self.rng.uniform(
            0.0, (len(bucket.waiting) - 1) / bucket.rate
        )
        return messages.SendPermit(
            granted=False, wait_s=min(MAX_WAIT_S, wait_s), limit=bucket.limit
        )

    def list_notices(self) -> typing.Iterator[messages.RateLimitNotice]:
        """Yield the limits in force."""
        for key, bucket in self.buckets.items():
            if bucket.limit is not None:
                yield make_notice(key, bucket.limit)

    def take_delayed_notices(
        self, now: float
    ) -> typing.Iterator[messages.RateLimitNotice]:
        """Yield the changes that entries were not told of at once."""
        for key, bucket in self.buckets.items():
            if bucket.take_notice(now):
                yield make_notice(key, bucket.limit)

    def expire(self, now: float) -> None:
        """Forget limits that are not used any more."""
        for key, bucket in list(self.buckets.items()):
            if now - bucket.used_at > RETENTION_S:
                del self.buckets[key]


def make_notice(
    key: records.IncarnationKey, limit: float | None
) -> messages.RateLimitNotice:
    """Return the message that tells a limit."""
    return messages.RateLimitNotice(
        target=key.target, started_at_ms=key.started_at_ms, limit=limit
    )
