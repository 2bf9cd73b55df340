"""Tells other control members which targets have left.

Members keep the targets in memory only. One that has restarted, or was cut
off, would take a late announcement of a target that has left for a new one.
"""

import collections.abc

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages


class DepartureListener(dialer.NullListener):
    """Sends each member that is connected the targets that have left."""

    def __init__(
        self, get_table: collections.abc.Callable[[], records.TargetTable]
    ) -> None:
        self.get_table = get_table

    def on_connected(self, address: str, peer: link.Link) -> None:
        for record in self.get_table().by_id.values():
            if may_repeat(record):
                peer.send(messages.ShareRecord(record=record))


def may_repeat(record: records.TargetRecord) -> bool:
    """Return whether a record tells for good that one start has left.

    A tombstone without a start could end a later one.
    """
    return (
        record.state is not records.TargetState.READY
        and not record.is_bare_tombstone
    )
