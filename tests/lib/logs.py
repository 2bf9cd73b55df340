"""An event log for tests."""

import os

from hemlockkeel._internal.utils import event_log


class MemoryLog(event_log.EventLog):
    """Keeps its lines in memory, as (event, fields)."""

    def __init__(self) -> None:
        super().__init__("test", os.open(os.devnull, os.O_WRONLY))
        self.lines: list[tuple[str, dict[str, object]]] = []

    def write(self, event: str, **fields: object) -> None:
        self.lines.append((event, fields))


def make_log() -> MemoryLog:
    """Return an event log that keeps its lines in memory."""
    return MemoryLog()
