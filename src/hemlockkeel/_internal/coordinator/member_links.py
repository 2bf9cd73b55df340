"""Handles the links to other control members."""

import collections.abc

from hemlockkeel._internal.coordinator import departures
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages


class MemberListener(departures.DepartureListener):
    """Passes on the consensus messages that members send in reply.

    A process that has taken a member's place replies on the link on which it
    was asked, as it may have none of its own to the sender.

    A member that connects is sent what it may have missed: the targets that
    have left, and by ``send_missed`` whatever else members keep in memory.
    ``report_ended`` is told the addresses at which no process listens.
    """

    def __init__(
        self,
        get_table: collections.abc.Callable[[], records.TargetTable],
        on_batch: collections.abc.Callable[
            [link.Link, messages.RaftBatch], None
        ],
        send_missed: collections.abc.Callable[[link.Link], None],
        report_ended: collections.abc.Callable[[str, float], None],
    ) -> None:
        super().__init__(get_table)
        self.on_batch = on_batch
        self.send_missed = send_missed
        self.report_ended = report_ended

    def on_connected(self, address: str, peer: link.Link) -> None:
        super().on_connected(address, peer)
        self.send_missed(peer)

    def on_refused(self, address: str, began_at: float) -> None:
        self.report_ended(address, began_at)

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        if isinstance(message, messages.RaftBatch):
            self.on_batch(peer, message)
