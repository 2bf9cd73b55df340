"""Decides which entries get an engine's load report, and when.

Entries that use the engine need each change for their next choice. With many
entries, most of them use another one, so the others get a report less often:
the messages follow the requests, not the number of entries times that of
engines. Pure: links are only compared, times are loop times.
"""

import collections.abc
import dataclasses
import typing

from hemlockkeel._internal.links import messages

# Each change goes to all entries if there are at most this many.
FEW_ENTRIES = 8
# Time for which an entry counts as using the engine after its last call.
USE_RETENTION_S = 1.0
# Least time between two reports to an entry that does not use the engine.
IDLE_INTERVAL_S = 1.0

Peer = typing.TypeVar("Peer", bound=collections.abc.Hashable)


@dataclasses.dataclass
class Publication:
    """What an entry was told last."""

    # When the entry called last, or connected.
    used_at: float
    sent: messages.LoadUpdate | None
    sent_at: float

    def is_due(self, now: float) -> bool:
        """Return whether an entry without a grant gets a changed report."""
        if now - self.used_at < USE_RETENTION_S:
            return True
        return now - self.sent_at >= IDLE_INTERVAL_S


class LoadPublications(typing.Generic[Peer]):
    """The reports that the entries of one engine were sent."""

    def __init__(self) -> None:
        self.latest: messages.LoadUpdate | None = None
        self.by_entry: dict[Peer, Publication] = {}

    def add_entry(self, entry: Peer, now: float) -> None:
        """Add an entry, which is sent the latest report."""
        self.by_entry[entry] = Publication(now, self.latest, now)

    def remove_entry(self, entry: Peer) -> None:
        """Remove an entry that has disconnected."""
        self.by_entry.pop(entry, None)

    def record_use(self, entry: Peer, now: float) -> None:
        """Record that an entry wants to use the engine."""
        if entry in self.by_entry:
            self.by_entry[entry].used_at = now

    def choose_entries(
        self,
        report: messages.LoadUpdate,
        in_use_by: set[Peer],
        now: float,
    ) -> list[Peer]:
        """Return the entries that a report is to be sent to now.

        ``in_use_by`` are the entries with requests at the engine.
        """
        is_urgent = self.latest is None or has_urgent_change(
            self.latest, report
        )
        self.latest = report
        chosen = []
        for entry, publication in self.by_entry.items():
            if publication.sent == report:
                continue
            if (
                is_urgent
                or len(self.by_entry) <= FEW_ENTRIES
                or entry in in_use_by
                or publication.is_due(now)
            ):
                publication.sent, publication.sent_at = report, now
                chosen.append(entry)
        return chosen


def has_urgent_change(
    before: messages.LoadUpdate, after: messages.LoadUpdate
) -> bool:
    """Return whether a change decides if the engine can be used at all."""
    return (
        before.can_load,
        before.leaving_started_at_ms,
        before.started_at_ms,
    ) != (after.can_load, after.leaving_started_at_ms, after.started_at_ms)
