"""Sends consensus messages over the links between control members."""

import asyncio

from hemlockkeel._internal.consensus import batches
from hemlockkeel._internal.consensus import messages as consensus_messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages

# Leaves room in a frame for the other fields of a batch.
MAX_BATCH_BYTES = link.MAX_FRAME_BYTES // 2
# While a link has more to send, longer messages than heartbeats, votes and
# replies are dropped: the leader repeats those without an answer, faster than
# a slow link takes them.
MAX_QUEUED_BYTES = 1024 * 1024
MAX_SHORT_MESSAGE_BYTES = 4096


class LinkSender(node.Sender):
    """Sends messages over the links of an event loop.

    The consensus thread calls `send`; the links belong to the event loop, so
    batches are passed to it.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, own_address: str
    ) -> None:
        self.loop = loop
        self.own_address = own_address
        self.cluster_id = ""
        self.peers: dialer.DialerSet | None = None

    def send(
        self, address: str, batch: list[consensus_messages.AnyMessage]
    ) -> None:
        data = [node.encode_message(message) for message in batch]
        self.loop.call_soon_threadsafe(self.send_on_loop, address, data)

    def send_on_loop(self, address: str, data: list[bytes]) -> None:
        """Send messages on the link to an address; drop them if it is down.

        Runs in the event loop. Raft tolerates lost messages.
        """
        peer = self.peers.get(address) if self.peers else None
        if peer is None:
            return
        if peer.queued_bytes > MAX_QUEUED_BYTES:
            data = [each for each in data if is_short(each)]
        for batch in batches.split(data, len, MAX_BATCH_BYTES):
            peer.send(
                messages.RaftBatch(
                    sender_address=self.own_address,
                    cluster_id=self.cluster_id,
                    data=batch,
                )
            )


def is_short(encoded: bytes) -> bool:
    """Return whether a message is sent although a link has much to send."""
    return len(encoded) <= MAX_SHORT_MESSAGE_BYTES
