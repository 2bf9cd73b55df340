"""Structured log on standard output: one JSON object per line.

Lines are buffered and written by non-blocking calls. If the reader is slow
or the process exceeds its rate limit, lines are dropped instead of delaying
the process; the number of dropped lines is logged.
"""

import collections.abc
import os
import sys
import time

import msgspec

# Rate limit of a process. A line takes about 30 microseconds, so logging
# takes at most 12 ms of CPU time per second.
MAX_LINES_PER_S = 400
# Capacity of the token bucket: the lines of one second.
MAX_BURST_LINES = 400
# Limit on the lines that are buffered while standard output is blocked.
MAX_BUFFERED_BYTES = 256 * 1024


class EventLog:
    """Rate-limited log that never blocks the caller."""

    def __init__(
        self,
        process: str,
        descriptor: int | None = None,
        monotonic: collections.abc.Callable[[], float] = time.monotonic,
        wall: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self.process = process
        self.descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self.monotonic = monotonic
        self.wall = wall
        self.line_budget = float(MAX_BURST_LINES)
        self.refilled_at = monotonic()
        self.buffer = bytearray()
        self.dropped_lines = 0
        self.encoder = msgspec.json.Encoder(enc_hook=str)
        os.set_blocking(self.descriptor, False)

    def write(self, event: str, **fields: object) -> None:
        """Buffer one line; drop it if the rate or the buffer limit is hit."""
        now = self.monotonic()
        self.line_budget = min(
            MAX_BURST_LINES,
            self.line_budget + (now - self.refilled_at) * MAX_LINES_PER_S,
        )
        self.refilled_at = now
        if self.line_budget < 1 or len(self.buffer) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        self.line_budget -= 1
        head = {
            "t": round(self.wall(), 3),
            "process": self.process,
            "event": event,
        }
        try:
            line = self.encoder.encode({**head, **fields})
        except Exception:
            # A surrogate, a large integer or any error of a field's `str`.
            # What is logged must not fail because of the log.
            line = self.encoder.encode({**head, "fields": ascii(fields)})
        self.buffer += line + b"\n"

    def flush(self) -> None:
        """Write as much of the buffer as standard output accepts."""
        if self.dropped_lines and self.line_budget >= 1:
            dropped, self.dropped_lines = self.dropped_lines, 0
            self.write("log_lines_dropped", lines=dropped)
        if not self.buffer:
            return
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the error cannot be reported.
            self.dropped_lines += self.buffer.count(b"\n")
            written = len(self.buffer)
        del self.buffer[:written]
