"""Clocks; decision code takes the time as an argument."""

import abc
import time


class Clock(abc.ABC):
    """Source of time in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back within this process."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock(Clock):
    """The clock of this machine."""

    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class SuspendAwareClock(SystemClock):
    """The clock of this machine; time spent suspended counts.

    A lease that ran out during a suspension must not look valid after it.
    """

    def monotonic(self) -> float:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
