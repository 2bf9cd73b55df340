"""Maintains connections to peers and reconnects when they are lost."""

import abc
import asyncio
import collections.abc

import msgspec

from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import supervision

CONNECT_TIMEOUT_S = 1.0
# Delay before reconnecting; short because a restarted peer is back within
# about a second.
REDIAL_DELAY_S = 0.2
# A link that was up for this long is replaced at once when it is lost.
STABLE_LINK_S = 1.0
PING_INTERVAL_S = 0.5
# The same for each of more than `MANY_LINKS` links, most of which are idle.
MANY_LINKS = 16
MANY_LINKS_PING_INTERVAL_S = 1.2


def get_receive_timeout_s(ping_interval_s: float) -> float:
    """Return the time without a message after which a link is dead.

    That is three pings, and a little more.
    """
    return 3 * ping_interval_s + 0.1


class Listener(abc.ABC):
    """Handles the events of outgoing links."""

    @abc.abstractmethod
    def on_connected(self, address: str, peer: link.Link) -> None:
        """Handle a new link to an address."""

    @abc.abstractmethod
    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Handle a message that is not a reply to a call."""

    @abc.abstractmethod
    def on_disconnected(self, address: str) -> None:
        """Handle the loss of the link to an address."""

    def on_refused(self, address: str, began_at: float) -> None:
        """Handle that no process listens at an address.

        ``began_at`` is the time at which this attempt to connect began, by
        `clock.SuspendAwareClock`. Does nothing by default.
        """
        return


class NullListener(Listener):
    """Ignores all events, for links whose peer sends nothing but replies."""

    def on_connected(self, address: str, peer: link.Link) -> None:
        return

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        return

    def on_disconnected(self, address: str) -> None:
        return


class Dialer:
    """Maintains the link to one address; ``link`` is None while it is down.

    Starts connecting when it is created, in the running event loop.
    """

    def __init__(
        self,
        address: str,
        hello: messages.Hello,
        listener: Listener,
        log: event_log.EventLog,
        get_ping_interval_s: collections.abc.Callable[[], float],
    ) -> None:
        self.address = address
        self.get_ping_interval_s = get_ping_interval_s
        self.hello = hello
        self.listener = listener
        self.log = log
        self.link: link.Link | None = None
        self.clock = clock.SuspendAwareClock()
        self.task = asyncio.get_running_loop().create_task(
            supervision.keep_running(self.run, log)
        )

    async def run(self) -> None:
        """Connect and reconnect until the task is cancelled."""
        while True:
            began_at = self.clock.monotonic()
            was_up = False
            try:
                await self.connect_once()
            except (OSError, TimeoutError, link.LinkClosedError) as error:
                was_up = self.link is not None
                self.report_failure(error, began_at)
            finally:
                self.close_link()
            was_stable = self.clock.monotonic() - began_at > STABLE_LINK_S
            if not (was_up and was_stable):
                await asyncio.sleep(REDIAL_DELAY_S)

    def report_failure(self, error: Exception, began_at: float) -> None:
        """Log the loss of a link; tell the listener of a refused one."""
        if self.link is not None:
            self.log.write(
                "dependency_lost",
                peer=self.address,
                reason=str(error) or type(error).__name__,
            )
        elif isinstance(error, ConnectionRefusedError):
            self.listener.on_refused(self.address, began_at)

    async def connect_once(self) -> None:
        """Connect and handle messages until the link is lost.

        :raises OSError: when the connection cannot be made.
        :raises TimeoutError: when connecting takes too long.
        :raises LinkClosedError: when the link is closed or the peer stops
            sending.
        """
        host, port = self.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, peer = await loop.create_connection(link.Link, host, int(port))
        self.link = peer
        interval_s = peer.ping_interval_s = self.get_ping_interval_s()
        peer.send(
            msgspec.structs.replace(self.hello, ping_interval_s=interval_s)
        )
        self.log.write("dependency_up", peer=self.address)
        with peer.handling(self.hello):
            self.listener.on_connected(self.address, peer)
        pings = asyncio.get_running_loop().create_task(
            self.send_pings(peer, interval_s)
        )
        timeout_s = get_receive_timeout_s(interval_s)
        peer.watch_silence(lambda: timeout_s)
        try:
            while True:
                message = await peer.receive()
                if isinstance(message, messages.Pong):
                    continue
                if message.call_id and peer.resolve_call(message):
                    continue
                with peer.handling(message):
                    self.listener.on_message(self.address, peer, message)
        finally:
            pings.cancel()

    async def send_pings(self, peer: link.Link, interval_s: float) -> None:
        """Send pings until the task is cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            peer.send(messages.Ping())

    def close_link(self) -> None:
        """Close the link, if it is up, and notify the listener."""
        if self.link is None:
            return
        self.link.close()
        self.link = None
        self.listener.on_disconnected(self.address)

    def stop(self) -> None:
        """Stop reconnecting and close the link."""
        self.task.cancel()


class DialerSet:
    """Maintains links to a changing set of addresses."""

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
        """Connect to new addresses and close links to addresses not given."""
        for address in set(self.dialers) - addresses:
            self.dialers.pop(address).stop()
        for address in addresses - set(self.dialers):
            self.dialers[address] = Dialer(
                address,
                self.hello,
                self.listener,
                self.log,
                self.get_ping_interval_s,
            )

    def get_ping_interval_s(self) -> float:
        """Return how often a link that connects now is pinged."""
        if len(self.dialers) > MANY_LINKS:
            return MANY_LINKS_PING_INTERVAL_S
        return PING_INTERVAL_S

    def get(self, address: str) -> link.Link | None:
        """Return the link to an address; None if it is down or unknown."""
        dialer = self.dialers.get(address)
        return dialer.link if dialer else None

    def list_silent(self, now: float) -> set[str]:
        """Return the addresses whose peers are connected but silent."""
        return {
            address
            for address, dialer in self.dialers.items()
            if dialer.link is not None and dialer.link.is_silent(now)
        }

    def list_capable(self, protocol: int) -> dict[str, link.Link]:
        """Return the connected links to peers of a protocol, by address.

        That is, of ``protocol`` or a newer one.
        """
        links = {a: dialer.link for a, dialer in self.dialers.items()}
        return {
            address: peer
            for address, peer in links.items()
            if peer is not None and peer.protocol >= protocol
        }

    def list_links(self) -> list[link.Link]:
        """Return the links that are connected."""
        links = [dialer.link for dialer in self.dialers.values()]
        return [peer for peer in links if peer is not None]
