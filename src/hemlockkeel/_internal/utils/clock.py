"""Clocks that can be replaced in tests.

Code that makes decisions doesn't read a clock: it takes the time as an
argument.
"""

import abc
import time


class Clock(abc.ABC):
    """Source of time in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch; may jump."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class SuspendAwareClock(SystemClock):
    """System clock whose monotonic time includes time spent suspended.

    With ``CLOCK_MONOTONIC``, which stops during a suspension, a lease that
    expired meanwhile would still look valid after the resume.
    """

    def monotonic(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
