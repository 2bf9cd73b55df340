"""Splits a stream of server-sent events (WHATWG HTML, section 9.2)."""

import re

END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_LINE = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
# A longer event is treated as a malformed stream.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Collects the bytes of a stream and returns complete events."""

    def __init__(self) -> None:
        self.partial = bytearray()
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that they complete.

        :raises ValueError: when an event exceeds `MAX_EVENT_BYTES`.
        """
        self.partial += data
        end = 0
        for match in END_OF_EVENT.finditer(self.partial):
            end = match.end()
            self.count += 1
        if not end:
            if len(self.partial) > MAX_EVENT_BYTES:
                raise ValueError("event in the stream is too long")
            return b""
        complete = bytes(self.partial[:end])
        del self.partial[:end]
        ids = ID_LINE.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return complete

    @property
    def at_boundary(self) -> bool:
        """Return whether the stream so far ends with a complete event."""
        return not self.partial.strip()
