"""Keeps one connection to a peer, dialling again when it is lost."""

import abc
import asyncio

from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.utils import event_log

CONNECT_TIMEOUT_S = 1.0
# Between a loss and the next try; short, since a peer is back in a second.
REDIAL_DELAY_S = 0.2
PING_INTERVAL_S = 0.5
# Silence after which a connection counts as dead: three pings.
RECEIVE_TIMEOUT_S = 1.6


class Listener(abc.ABC):
    """Takes what arrives on a dialled link."""

    @abc.abstractmethod
    def on_connected(self, address: str, peer: link.Link) -> None:
        """Learn that the link is up."""

    @abc.abstractmethod
    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Take a message that is not a reply."""

    @abc.abstractmethod
    def on_disconnected(self, address: str) -> None:
        """Learn that the link is lost."""


class NullListener(Listener):
    """Takes replies only."""

    def on_connected(self, address: str, peer: link.Link) -> None:
        return

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        return

    def on_disconnected(self, address: str) -> None:
        return


class Dialer:
    """One peer's address and the link to it, if any."""

    def __init__(
        self,
        address: str,
        hello: messages.Hello,
        listener: Listener,
        log: event_log.EventLog,
    ) -> None:
        self.address = address
        self.hello = hello
        self.listener = listener
        self.log = log
        self.link: link.Link | None = None
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def run(self) -> None:
        """Dial until stopped."""
        while True:
            try:
                await self.connect_once()
            except (OSError, TimeoutError, link.LinkClosedError) as fault:
                if self.link is not None:
                    self.log.write(
                        "dependency_lost",
                        peer=self.address,
                        reason=str(fault) or type(fault).__name__,
                    )
            finally:
                self.close_link()
            await asyncio.sleep(REDIAL_DELAY_S)

    async def connect_once(self) -> None:
        """Dial once and read until the link is lost."""
        host, port = self.address.rsplit(":", 1)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        self.link = peer = link.Link(reader, writer)
        peer.send(self.hello)
        self.log.write("dependency_up", peer=self.address)
        self.listener.on_connected(self.address, peer)
        pings = asyncio.get_running_loop().create_task(self.send_pings(peer))
        try:
            while True:
                async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                    message = await peer.receive()
                if isinstance(message, messages.Pong):
                    continue
                if message.call_id and peer.resolve_call(message):
                    continue
                self.listener.on_message(self.address, peer, message)
        finally:
            pings.cancel()

    async def send_pings(self, peer: link.Link) -> None:
        """Send pings."""
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            peer.send(messages.Ping())

    def close_link(self) -> None:
        """Forget the link."""
        if self.link is None:
            return
        self.link.close()
        self.link = None
        self.listener.on_disconnected(self.address)

    def stop(self) -> None:
        """Stop dialling and close the link."""
        self.task.cancel()


class DialerSet:
    """Links to a changing set of addresses."""

    def __init__(
        self,
        hello: messages.Hello,
        listener: Listener,
        log: event_log.EventLog,
    ) -> None:
        self.hello = hello
        self.listener = listener
        self.log = log
        self.dialers: dict[str, Dialer] = {}

    def set_addresses(self, addresses: set[str]) -> None:
        """Dial new addresses and drop those that are gone."""
        for address in set(self.dialers) - addresses:
            self.dialers.pop(address).stop()
        for address in addresses - set(self.dialers):
            self.dialers[address] = Dialer(
                address, self.hello, self.listener, self.log
            )

    def get(self, address: str) -> link.Link | None:
        """Return the link to an address, if it is up."""
        dialer = self.dialers.get(address)
        return dialer.link if dialer else None

    def list_links(self) -> list[link.Link]:
        """Return all links that are up."""
        return [d.link for d in self.dialers.values() if d.link is not None]
