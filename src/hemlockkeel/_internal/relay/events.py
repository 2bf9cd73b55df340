"""Splits an event stream into whole events (WHATWG HTML, section 9.2)."""

import re

END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
ID_LINE = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
# An event longer than this is damage.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Collects bytes and returns whole events."""

    def __init__(self) -> None:
        self.partial = bytearray()
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete now.

        :raises ValueError: when an event is too long.
        """
        self.partial += data
        end = 0
        for match in END_OF_EVENT.finditer(self.partial):
            end = match.end()
            self.count += 1
        if not end:
            if len(self.partial) > MAX_EVENT_BYTES:
                raise ValueError("event too long")
            return b""
        whole = bytes(self.partial[:end])
        del self.partial[:end]
        ids = ID_LINE.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    @property
    def at_boundary(self) -> bool:
        """Tell whether no part of an event is left."""
        return not self.partial.strip()
