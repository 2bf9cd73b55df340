"""Accepts links from other hemlockkeel processes."""

import abc
import asyncio
import collections.abc

from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import link_holding
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.utils import acceptor
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import process_budget

# Connections waiting to be accepted; all processes may connect at once.
BACKLOG = 512


class Service(abc.ABC):
    """Handles the events of accepted links."""

    @abc.abstractmethod
    def on_hello(self, peer: link.Link) -> None:
        """Handle a link whose peer has sent its `messages.Hello`."""

    @abc.abstractmethod
    async def on_call(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Handle a message that expects a reply, and send the reply."""

    @abc.abstractmethod
    def on_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Handle a message that expects no reply."""

    @abc.abstractmethod
    def on_disconnected(self, peer: link.Link) -> None:
        """Handle the loss of a link."""


class LinkServer:
    """Listens for links and passes their messages to a service."""

    def __init__(
        self,
        service: Service,
        log: event_log.EventLog,
        budget: process_budget.ProcessBudget | None = None,
    ) -> None:
        self.service = service
        self.budget = budget or process_budget.ProcessBudget(
            process_budget.ProcessLimits()
        )
        self.limit = process_budget.ConnectionLimit(
            self.budget,
            self.budget.limits.get_connections(process_budget.LINK_SHARE),
        )
        self.log = log
        self.tasks: set[asyncio.Task[None]] = set()
        self.links: set[link.Link] = set()
        self.server: acceptor.Acceptor | None = None

    async def start(self, host: str, port: int) -> None:
        """Start to listen on an address.

        :raises OSError: when the address cannot be used.
        """
        self.server = acceptor.Acceptor(
            lambda: link.Link(self.accept), self.limit
        )
        await self.server.start(host, port, BACKLOG)

    def stop(self) -> None:
        """Stop listening and close all links."""
        if self.server is not None:
            self.server.close()
        for peer in list(self.links):
            peer.close()

    def accept(self, peer: link.Link) -> None:
        """Start a task that serves a new link."""
        if self.budget.limits.memory_bytes is not None:
            peer.max_frame_bytes = link.MAX_HELLO_BYTES
        holding = link_holding.LinkHolding(peer, self.limit)
        peer.on_resized = holding.update
        peer.on_lost = holding.end
        self.run_task(self.serve(peer))

    def run_task(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Run a task, which is referenced until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, peer: link.Link) -> None:
        """Handle the messages of one link until it is lost."""
        self.links.add(peer)
        peer.watch_silence(
            lambda: dialer.get_receive_timeout_s(peer.ping_interval_s)
        )
        try:
            while True:
                message = await peer.receive()
                with peer.handling(message):
                    self.handle_message(peer, message)
                if message.call_id:
                    # Let its task begin: what follows may take it back.
                    await asyncio.sleep(0)
        except link.LinkClosedError as error:
            self.log.write(
                "link_closed",
                role=peer.role,
                name=peer.name,
                reason=str(error) or type(error).__name__,
            )
        finally:
            peer.close()
            self.links.discard(peer)
            self.service.on_disconnected(peer)

    def handle_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Reply to a ping, store a hello, pass other messages to the service.

        Calls are handled in tasks of their own, so that a slow one does not
        delay later messages. They begin in the order in which they arrive
        among the other messages.
        """
        if isinstance(message, messages.Ping):
            peer.send(messages.Pong())
            return
        if isinstance(message, messages.Hello):
            peer.role, peer.name = message.role, message.name
            peer.data_centre = message.data_centre
            peer.target_address = message.target_address
            peer.protocol = message.protocol
            peer.ping_interval_s = message.ping_interval_s
            self.service.on_hello(peer)
            return
        if not message.call_id:
            self.service.on_message(peer, message)
            return
        self.run_task(self.handle_call(peer, message))

    async def handle_call(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Let the service reply to a call; its caller waits for that only."""
        try:
            await self.service.on_call(peer, message)
        except Exception as error:
            link.report_failure(message, error)
