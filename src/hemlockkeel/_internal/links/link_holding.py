"""What an accepted link takes of the budget of its process."""

from hemlockkeel._internal.links import link
from hemlockkeel._internal.utils import process_budget


class LinkHolding(process_budget.Owner):
    """Accounts for the incomplete frame and the unsent data of a link.

    A link without a hello may be closed for another one; one with an
    incomplete frame counts as a request that has not arrived.
    """

    def __init__(
        self, peer: link.Link, limit: process_budget.ConnectionLimit
    ) -> None:
        self.peer = peer
        self.limit = limit
        self.holder = limit.budget.add(self)
        limit.holders.add(self.holder)
        self.update()

    def update(self) -> None:
        """Tell the budget what the link holds and does."""
        activity = process_budget.Activity.WAITING
        if self.peer.greeted:
            activity = process_budget.Activity.LINKED
        if len(self.peer.buffer) > process_budget.SMALL_BYTES:
            activity = process_budget.Activity.RECEIVING
        if activity is not self.holder.activity:
            self.limit.budget.set_activity(self.holder, activity)
        self.limit.budget.resize(
            self.holder,
            process_budget.CONNECTION_BYTES
            + len(self.peer.buffer)
            + self.peer.received_bytes
            + self.peer.queued_bytes,
        )

    def get_unsent_bytes(self) -> int:
        return self.peer.queued_bytes

    def end(self) -> None:
        """Stop to count a link that is closed."""
        self.limit.remove(self.holder)

    def shed(self) -> None:
        self.peer.end("no memory or descriptors left for this link")
        self.peer.buffer = bytearray()
        self.peer.abort()
