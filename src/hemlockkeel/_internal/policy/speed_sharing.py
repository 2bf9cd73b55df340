"""Decides which measurements of targets an entry tells the other entries.

One entry may see a slow target once in several seconds. What all have to know
is that a target became slow or recovered; anything else is not worth a
message. Callers pass the current time in seconds.
"""

import collections.abc
import typing

# Multiple of the usual service time from which on a target is slow. Divided by
# the requests that were there, a response time tells this apart from requests
# that slow each other down at a busy target.
SLOW_RATIO = 4.0
# Multiple of the usual service time below which a target is slow no longer.
RECOVERED_RATIO = 2.0
# Share of a service's targets that entries hold back from on the word of
# others. If more are slow, it is the load and not these targets.
MAX_SLOW_SHARE = 0.25
# A slow target is reported again when a response confirms it after this time.
REPEAT_AFTER_S = 1.0
# Time for which a reported state is remembered without being repeated.
LIFETIME_S = 30.0
# Bytes a second that one control member spends on notices, and the most that
# it saves up for a burst.
BYTES_PER_S = 2000.0
MAX_BURST_BYTES = 32_000.0

Key = typing.TypeVar("Key", bound=collections.abc.Hashable)


class SpeedNotices(typing.Generic[Key]):
    """Which targets the entries, as far as one process knows, call slow."""

    def __init__(self) -> None:
        # Times of the last notice for the targets that are slow.
        self.slow_at: dict[Key, float] = {}

    def is_news(
        self, key: Key, ratio: float, solo_ratio: float, now: float
    ) -> bool:
        """Return whether a measured service time is news to other entries.

        ``ratio`` is relative to the usual time, and ``solo_ratio`` the same
        divided by the requests at the target. What is news counts as told.
        """
        slow_at = self.slow_at.get(key)
        if slow_at is None and solo_ratio < SLOW_RATIO:
            return False
        if (
            slow_at is not None
            and ratio > RECOVERED_RATIO
            and now - slow_at < REPEAT_AFTER_S
        ):
            return False
        self.record(key, ratio, now)
        return True

    def record(self, key: Key, ratio: float, now: float) -> None:
        """Store what another process has told."""
        if ratio > RECOVERED_RATIO:
            self.slow_at[key] = now
        else:
            self.slow_at.pop(key, None)

    def is_slow(self, key: Key) -> bool:
        """Return whether a target is called slow."""
        return key in self.slow_at

    def may_adopt(
        self,
        key: Key,
        ratio: float,
        service_keys: collections.abc.Collection[Key],
    ) -> bool:
        """Return whether an entry follows a notice of another one.

        ``service_keys`` are all targets of the same service.
        """
        if ratio <= RECOVERED_RATIO:
            return True
        slow = sum(
            other in self.slow_at for other in service_keys if other != key
        )
        return slow + 1 <= max(1, len(service_keys) * MAX_SLOW_SHARE)

    def expire(self, now: float) -> None:
        """Drop states that were not repeated."""
        for key, slow_at in list(self.slow_at.items()):
            if now - slow_at > LIFETIME_S:
                del self.slow_at[key]


class ByteBudget:
    """Limits what a control member sends to entries."""

    def __init__(self) -> None:
        self.level = MAX_BURST_BYTES
        self.updated_at = 0.0

    def try_spend(self, size: float, now: float) -> bool:
        """Spend the bytes of a message; return whether there were enough.

        A message larger than the burst needs the whole burst.
        """
        gained = (now - self.updated_at) * BYTES_PER_S
        self.level = min(MAX_BURST_BYTES, self.level + max(0.0, gained))
        self.updated_at = now
        if self.level < min(size, MAX_BURST_BYTES):
            return False
        self.level -= size
        return True
