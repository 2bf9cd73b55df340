"""Sends Raft messages to other control members."""

import queue
import threading

from hemlockkeel._internal.consensus import batches
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.rpc import client
from hemlockkeel._internal.rpc import frames
from hemlockkeel._internal.rpc.gen.hk import Control
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.utils import supervision

MAX_QUEUED_MESSAGES = 256
# Leaves room in a frame for the other fields of a call.
MAX_CALL_BYTES = frames.MAX_FRAME_BYTES // 2
SEND_TIMEOUT_S = 1.0


class PeerLink:
    """A queue of messages to one peer, and the thread that sends them."""

    def __init__(self, rpc: client.RpcClient, own_address: str) -> None:
        self.rpc = rpc
        self.own_address = own_address
        self.cluster_id = ""
        self.outgoing: queue.Queue[messages.AnyMessage | None] = queue.Queue(
            MAX_QUEUED_MESSAGES
        )
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.run, self.stopping),
            daemon=True,
        )
        self.thread.start()

    def enqueue(self, batch: list[messages.AnyMessage]) -> None:
        """Queue messages; those that do not fit are dropped.

        Raft tolerates the loss and sends them again.
        """
        for message in batch:
            try:
                self.outgoing.put_nowait(message)
            except queue.Full:
                return

    def run(self) -> None:
        """Send the queued messages, as many as there are in one call."""
        while True:
            message = self.outgoing.get()
            if message is None:
                return
            batch = [message]
            while not self.outgoing.empty():
                next_message = self.outgoing.get()
                if next_message is None:
                    return
                batch.append(next_message)
            self.send(batch)

    def send(self, batch: list[messages.AnyMessage]) -> None:
        """Send a batch; what is left when a call fails is dropped."""
        wire_messages = [
            ttypes.RaftMessage(
                self.cluster_id,
                self.own_address,
                message.receiver,
                node.encode_message(message),
            )
            for message in batch
        ]
        calls = batches.split(
            wire_messages, lambda message: len(message.body), MAX_CALL_BYTES
        )
        try:
            for call in calls:
                self.rpc.call("raft", call, timeout_s=SEND_TIMEOUT_S)
        except client.CALL_ERRORS:
            return

    def stop(self) -> None:
        """Stop the thread; messages that are still queued may be dropped.

        The daemon thread is left running if the queue is full.
        """
        self.stopping.set()
        try:
            self.outgoing.put_nowait(None)
        except queue.Full:
            return


class PeerSender(node.Sender):
    """Sends messages over one link per address."""

    def __init__(self, secret: str, own_address: str, own_id: str) -> None:
        self.own_address = own_address
        self.clients = client.ClientCache(Control.Client, secret, own_id)
        self.links: dict[str, PeerLink] = {}
        self.cluster_id = ""
        # Addresses that no message is sent to, for simulated partitions.
        self.blocked: set[str] = set()

    def send(self, address: str, batch: list[messages.AnyMessage]) -> None:
        if address in self.blocked:
            return
        link = self.links.get(address)
        if link is None:
            link = PeerLink(self.clients.get(address), self.own_address)
            self.links[address] = link
        link.cluster_id = self.cluster_id
        link.enqueue(batch)

    def stop(self) -> None:
        """Stop all links and close their connections."""
        for link in self.links.values():
            link.stop()
        self.clients.close()
