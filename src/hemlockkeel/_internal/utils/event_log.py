"""Structured log lines on standard output: one JSON object a line.

Lines are buffered and written in one call; a reader that is slow, or a
process that logs too much, costs lines and never time. Lost lines are
counted and the count is logged.
"""

import collections.abc
import os
import sys
import time

import msgspec

# Lines a second that a process writes at most, so that logging stays a few
# hundredths of a core at 30 microseconds a line.
MAX_LINES_PER_S = 400
# Lines that may come at once, a second's worth.
MAX_BURST_LINES = 400
# Bytes kept while standard output takes none.
MAX_BUFFERED_BYTES = 256 * 1024


class EventLog:
    """Writes bounded, non-blocking log lines."""

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
        """Queue one line; drop it when the process logs too much."""
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
        line = {
            "t": round(self.wall(), 3),
            "process": self.process,
            "event": event,
            **fields,
        }
        self.buffer += self.encoder.encode(line) + b"\n"

    def flush(self) -> None:
        """Write what is queued, as far as standard output takes it."""
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
            # Nobody reads: there is nowhere left to report it.
            self.dropped_lines += self.buffer.count(b"\n")
            written = len(self.buffer)
        del self.buffer[:written]
