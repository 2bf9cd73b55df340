"""Splits a stream of server-sent events (WHATWG HTML, section 9.2)."""

import re

ENDS_OF_EVENT = (b"\n\n", b"\r\n\r\n", b"\r\r")
END_OF_EVENT = re.compile(b"|".join(ENDS_OF_EVENT))
MAX_END_BYTES = max(map(len, ENDS_OF_EVENT))
ID_LINE = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
# An event of comments and intervals for reconnecting only.
EMPTY_EVENT = re.compile(rb"(?:(?::|retry:)[^\r\n]*[\r\n]+)+")
NUMBER = re.compile(r"\d{1,18}", re.ASCII)
# A longer event is treated as a malformed stream.
MAX_EVENT_BYTES = 1024 * 1024


class WrongEventError(ValueError):
    """A stream goes on with another event than the one that is due."""


class EventSplitter:
    """Collects the bytes of a stream and returns complete events.

    ``before`` is that of the part of the stream that broke off, if there is
    one. ``last_id`` is the last id that the caller has got of the stream.
    """

    def __init__(
        self, before: "EventSplitter | None" = None, last_id: str = ""
    ) -> None:
        self.partial = bytearray()
        self.last_id: str = before.last_id if before else last_id
        # By how much ids increase from one event to the next; two of the
        # differences at most, None stands for ids that are no numbers.
        self.steps: frozenset[int | None] = (
            before.steps if before else frozenset()
        )
        self.count = 0
        # Whether the next event must be the one after `last_id`.
        self.continuing = bool(self.last_id)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that they complete.

        :raises WrongEventError: when the stream goes on at another event.
        :raises ValueError: when an event exceeds `MAX_EVENT_BYTES`.
        """
        # What was there before has no end, but may hold a part of one.
        begin = max(0, len(self.partial) - MAX_END_BYTES + 1)
        self.partial += data
        end = self.check_events(begin) or self.find_end(begin)
        if not end:
            if len(self.partial) > MAX_EVENT_BYTES:
                raise ValueError("event in the stream is too long")
            return b""
        complete = bytes(self.partial[:end])
        del self.partial[:end]
        if b"id:" in complete:
            for raw in ID_LINE.findall(complete):
                self.record_id(raw.decode("latin-1"))
        return complete

    def check_events(self, begin: int) -> int:
        """Check the events until the one that the stream goes on with.

        Returns the end of the last one that was looked at, 0 without any.
        ``begin`` is where an event may end at first.

        :raises WrongEventError: when the stream goes on at another event.
        """
        end = 0
        if not self.continuing:
            return end
        for match in END_OF_EVENT.finditer(self.partial, begin):
            self.check_next(bytes(self.partial[end : match.end()]))
            end = match.end()
            self.count += 1
            if not self.continuing:
                return max(end, self.find_end(end))
        return end

    def find_end(self, begin: int) -> int:
        """Return the end of the last event that is complete, 0 without any.

        A stream may consist of very small events, so they are not looked at
        one by one.
        """
        end = 0
        for each in ENDS_OF_EVENT:
            found = self.partial.rfind(each, begin)
            if found >= 0:
                end = max(end, found + len(each))
                self.count += self.partial.count(each, begin)
        return end

    def check_next(self, event: bytes) -> None:
        """Check that an event comes next, unless it is empty.

        :raises WrongEventError: when it does not.
        """
        if EMPTY_EVENT.fullmatch(event):
            return
        ids = ID_LINE.findall(event)
        found = ids[-1].decode("latin-1") if ids else ""
        if not self.may_follow(found):
            raise WrongEventError(
                f"the stream goes on with event {found!a} after "
                f"{self.last_id!a}"
            )
        self.continuing = False

    def may_follow(self, found: str) -> bool:
        """Return whether an event with an id may come after the last one.

        Where all ids so far had the same distance, a longer one shows that an
        event is missing. The last event may be closer, if ids count what the
        events hold.
        """
        step = get_step(self.last_id, found)
        if step is None:
            return found not in ("", self.last_id)
        if step <= 0:
            return False
        if len(self.steps) != 1:
            return True
        (usual,) = self.steps
        return usual is None or step <= usual

    def record_id(self, found: str) -> None:
        """Record the id of an event."""
        if self.last_id and len(self.steps) < 2:
            self.steps |= {get_step(self.last_id, found)}
        self.last_id = found

    @property
    def at_boundary(self) -> bool:
        """Return whether the stream so far ends with a complete event."""
        return not self.partial.strip()


def get_step(earlier: str, later: str) -> int | None:
    """Return the difference of two ids; None if they are not numbers."""
    if not NUMBER.fullmatch(earlier) or not NUMBER.fullmatch(later):
        return None
    return int(later) - int(earlier)
