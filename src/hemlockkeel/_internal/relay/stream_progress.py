"""Tells streams that have stalled from those that are slow.

A target that sends a byte, a comment or an empty event now and then would
otherwise keep its stream until the route's timeout.
"""

import re

# A stream may go without events for this many times the objective for its
# first byte, and at least for MIN_STALL_S.
OBJECTIVES_PER_STALL = 20
# Agents and engines that are frozen for some seconds are to go on.
MIN_STALL_S = 30.0
# A line with which an event carries something.
DATA_LINE = re.compile(rb"(?:^|[\r\n])data: ?[^\r\n]")


class StreamProgress:
    """Time since the last event of a stream that carries data."""

    def __init__(self, first_byte_slo_s: float, now: float) -> None:
        self.max_stall_s = max(
            MIN_STALL_S, OBJECTIVES_PER_STALL * first_byte_slo_s
        )
        self.progressed_at = now

    def record(self, events: bytes, now: float) -> None:
        """Record complete events that were received, if any."""
        if b"data:" in events and DATA_LINE.search(events):
            self.progressed_at = now

    def has_stalled(self, now: float) -> bool:
        """Return whether the last event was too long ago."""
        return now - self.progressed_at > self.max_stall_s
