"""Accepts links from other processes."""

import abc
import asyncio

from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.utils import event_log

# Connections that wait to be accepted: all processes may dial at once.
BACKLOG = 512


class Service(abc.ABC):
    """Takes what arrives on accepted links."""

    @abc.abstractmethod
    def on_hello(self, peer: link.Link) -> None:
        """Learn of a link whose peer has told its role and name."""

    @abc.abstractmethod
    async def on_call(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Answer a message that has a call number."""

    @abc.abstractmethod
    def on_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Take a message without one."""

    @abc.abstractmethod
    def on_disconnected(self, peer: link.Link) -> None:
        """Learn that a link is lost."""


class LinkServer:
    """Listens for links."""

    def __init__(self, service: Service, log: event_log.EventLog) -> None:
        self.service = service
        self.log = log
        self.tasks: set[asyncio.Task[None]] = set()
        self.links: set[link.Link] = set()
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(
            self.serve, host, port, backlog=BACKLOG
        )

    def stop(self) -> None:
        """Accept no more links and close those that are open."""
        if self.server is not None:
            self.server.close()
        for peer in list(self.links):
            peer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read one link until it is lost."""
        peer = link.Link(reader, writer)
        self.links.add(peer)
        try:
            while True:
                async with asyncio.timeout(dialer.RECEIVE_TIMEOUT_S):
                    message = await peer.receive()
                self.handle_message(peer, message)
        except (TimeoutError, link.LinkClosedError) as fault:
            self.log.write(
                "link_closed",
                role=peer.role,
                name=peer.name,
                reason=str(fault) or type(fault).__name__,
            )
        finally:
            peer.close()
            self.links.discard(peer)
            self.service.on_disconnected(peer)

    def handle_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Handle one message."""
        if isinstance(message, messages.Ping):
            peer.send(messages.Pong())
            return
        if isinstance(message, messages.Hello):
            peer.role, peer.name = message.role, message.name
            peer.data_centre = message.data_centre
            peer.target_address = message.target_address
            self.service.on_hello(peer)
            return
        if not message.call_id:
            self.service.on_message(peer, message)
            return
        task = asyncio.get_running_loop().create_task(
            self.service.on_call(peer, message)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
