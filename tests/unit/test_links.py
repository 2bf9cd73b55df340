"""Links between processes: frames in pieces, garbage and silence."""

import asyncio
import random
import unittest

from hemlockkeel._internal.coordinator import sender
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.links import server
from hemlockkeel._internal.utils import clock
from tests.lib import logs
from tests.lib import ports

MESSAGES = [
    messages.Hello(role="entry", name="e1"),
    messages.Ping(),
    messages.ConfigurationUpdate(version=3, compressed_body=b"x" * 5000),
    messages.ReleaseAdapter(grant_call_id=7),
]
STREAM = b"".join(link.encode_frame(message) for message in MESSAGES)
WAIT_S = 5.0


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests: a link whose peer is a bare connection."""

    async def asyncSetUp(self) -> None:
        accepted: asyncio.Future[link.Link] = (
            asyncio.get_running_loop().create_future()
        )
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: link.Link(accepted.set_result), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", port
        )
        self.addCleanup(self.writer.transport.abort)
        self.link = await accepted
        self.addCleanup(self.link.close)

    async def receive(self) -> messages.AnyMessage:
        """Return the next message."""
        return await asyncio.wait_for(self.link.receive(), WAIT_S)


class TestFrames(LinkCase):
    """Messages that arrive in pieces of any size."""

    async def test_messages_arrive_whole_and_in_order(self) -> None:
        rng = random.Random(3)
        for _ in range(10):
            begin = 0
            while begin < len(STREAM):
                end = begin + rng.randrange(1, 900)
                self.writer.write(STREAM[begin:end])
                await asyncio.sleep(0)
                begin = end
            for message in MESSAGES:
                self.assertEqual(await self.receive(), message)

    async def test_messages_before_the_end_are_delivered(self) -> None:
        self.writer.write(STREAM + STREAM[:9])
        self.writer.close()
        for message in MESSAGES:
            self.assertEqual(await self.receive(), message)
        with self.assertRaises(link.LinkClosedError):
            await self.receive()

    async def test_many_unhandled_messages_pause_reading(self) -> None:
        count = 3 * link.MAX_RECEIVED_MESSAGES
        frame = link.encode_frame(messages.Ping())
        self.writer.write(frame * count)
        for _ in range(count):
            self.assertEqual(await self.receive(), messages.Ping())

    async def test_large_unhandled_messages_pause_reading(self) -> None:
        """A thousand large messages exceed the memory of a process."""
        frame = link.encode_frame(
            messages.ConfigurationUpdate(
                version=1, compressed_body=bytes(link.MAX_FRAME_BYTES // 2)
            )
        )
        self.writer.write(frame * 20)
        async with asyncio.timeout(WAIT_S):
            while self.link.transport.is_reading():
                await asyncio.sleep(0.01)
        self.assertLess(
            self.link.received_bytes,
            link.MAX_RECEIVED_BYTES + link.MAX_FRAME_BYTES,
        )
        for _ in range(20):
            await self.receive()


class RecordingService(server.Service):
    """Records the order in which messages are handled."""

    def __init__(self) -> None:
        self.handled: list[messages.AnyMessage] = []
        self.ended = asyncio.Event()

    def on_hello(self, peer: link.Link) -> None:
        return

    async def on_call(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        self.handled.append(message)
        await asyncio.sleep(0.1)

    def on_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        self.handled.append(message)

    def on_disconnected(self, peer: link.Link) -> None:
        self.ended.set()


class TestCalls(unittest.IsolatedAsyncioTestCase):
    """Calls that a server finds in one read with what follows them."""

    CALL = messages.EnsureAdapter(
        call_id=1,
        model="m",
        adapter="a",
        priority=0,
        wait_s=1.0,
        slo_budget_s=1.0,
    )
    RELEASE = messages.ReleaseAdapter(grant_call_id=1)

    async def test_calls_begin_before_later_messages_are_handled(
        self,
    ) -> None:
        """A release before its call left an adapter in use for good."""
        service = RecordingService()
        links = server.LinkServer(service, logs.make_log())
        port = ports.find_free_port()
        await links.start("127.0.0.1", port)
        self.addCleanup(links.stop)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        both = self.CALL, self.RELEASE
        writer.write(b"".join(map(link.encode_frame, both)) * 3)
        writer.close()
        async with asyncio.timeout(WAIT_S):
            await service.ended.wait()
        self.assertEqual([*both] * 3, service.handled)


class TestBadPeers(LinkCase):
    """Peers that send garbage, too long frames, or nothing."""

    async def check_closed(self) -> None:
        """Check that the link ends and its connection is closed."""
        with self.assertRaises(link.LinkClosedError):
            while True:
                await self.receive()
        try:
            await asyncio.wait_for(self.reader.read(), WAIT_S)
        except ConnectionError:
            return

    async def test_garbage(self) -> None:
        self.writer.write(link.FRAME_LENGTH.pack(4) + b"\xff\x00\x01\x02")
        await self.check_closed()

    async def test_too_long_frame(self) -> None:
        self.writer.write(link.FRAME_LENGTH.pack(link.MAX_FRAME_BYTES + 1))
        await self.check_closed()

    async def test_endless_bytes_are_bounded(self) -> None:
        closed = asyncio.create_task(self.check_closed())
        while not closed.done():
            self.writer.write(b"\xff" * 65536)
            await asyncio.sleep(0)
        await closed
        self.assertLess(len(self.link.buffer), link.MAX_FRAME_BYTES)

    async def test_silence(self) -> None:
        self.link.watch_silence(lambda: 0.1)
        with self.assertRaisesRegex(link.LinkClosedError, "no message"):
            await self.receive()

    async def test_peer_that_leaves_a_ping_unanswered_is_silent(self) -> None:
        self.link.ping_interval_s = 1.2
        heard_at = self.link.heard_at
        self.assertFalse(self.link.is_silent(heard_at + 1.3))
        self.assertTrue(self.link.is_silent(heard_at + 1.5))

    async def test_pending_call_fails_with_the_link(self) -> None:
        call = asyncio.create_task(self.link.call(messages.Read(), WAIT_S))
        await asyncio.sleep(0)
        self.link.close()
        with self.assertRaises(link.LinkClosedError):
            await call


class FailingService(server.Service):
    """Fails on the first message of each kind."""

    def __init__(self) -> None:
        self.handled: list[messages.AnyMessage] = []
        self.failed: set[type] = set()

    def handle(self, message: messages.AnyMessage) -> None:
        """Fail, or note the message."""
        if type(message) not in self.failed:
            self.failed.add(type(message))
            "\ud800".encode()
        self.handled.append(message)

    def on_hello(self, peer: link.Link) -> None:
        self.handle(messages.Hello(role=peer.role, name=peer.name))

    async def on_call(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        self.handle(message)
        peer.send(message)

    def on_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        self.handle(message)

    def on_disconnected(self, peer: link.Link) -> None:
        return


class FailingListener(dialer.Listener):
    """The same for an outgoing link."""

    def __init__(self) -> None:
        self.failing = FailingService()

    def on_connected(self, address: str, peer: link.Link) -> None:
        self.failing.handle(messages.Hello(role="", name=""))

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        self.failing.handle(message)

    def on_disconnected(self, address: str) -> None:
        return


class TestFailingHandlers(unittest.IsolatedAsyncioTestCase):
    """Errors in the code that handles a message."""

    async def asyncSetUp(self) -> None:
        self.faults: list[dict[str, object]] = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: self.faults.append(context)
        )
        self.service, self.listener = FailingService(), FailingListener()
        self.server = server.LinkServer(self.service, logs.make_log())
        port = ports.find_free_port()
        await self.server.start("127.0.0.1", port)
        self.addCleanup(self.server.stop)
        self.address = f"127.0.0.1:{port}"
        hello = messages.Hello(role="entry", name="e1")
        self.dialers = dialer.DialerSet(hello, self.listener, logs.make_log())
        self.dialers.set_addresses({self.address})
        self.addCleanup(self.dialers.set_addresses, set())
        async with asyncio.timeout(WAIT_S):
            while not (self.dialers.list_links() and self.service.failed):
                await asyncio.sleep(0)

    async def test_link_and_later_messages_survive_an_error(self) -> None:
        (dialed,) = self.dialers.list_links()
        (accepted,) = self.server.links
        for version in (1, 2):
            dialed.send(messages.ConfigurationNotice(version=version))
            accepted.send(messages.ConfigurationNotice(version=version))
        with self.assertRaises(TimeoutError):
            await dialed.call(messages.Read(), 0.05)
        reply = await dialed.call(messages.Read(), WAIT_S)
        self.assertIsInstance(reply, messages.Read)
        for handler in (self.service, self.listener.failing):
            self.assertIn(
                messages.ConfigurationNotice(version=2), handler.handled
            )
        self.assertEqual(self.dialers.list_links(), [dialed])
        self.assertFalse(dialed.closing)
        self.assertEqual(len(self.faults), 5)
        # The whole state is exchanged again later.
        async with asyncio.timeout(WAIT_S):
            while self.dialers.list_links() in ([], [dialed]):
                await asyncio.sleep(0.01)


class RefusalListener(dialer.NullListener):
    """Records the addresses at which no process listens."""

    def __init__(self) -> None:
        self.refused: list[tuple[str, float]] = []

    def on_refused(self, address: str, began_at: float) -> None:
        self.refused.append((address, began_at))


class TestRefusedConnections(unittest.IsolatedAsyncioTestCase):
    """A peer whose process ends."""

    async def test_listener_learns_of_it_with_the_time_of_the_attempt(
        self,
    ) -> None:
        port = ports.find_free_port()
        address = f"127.0.0.1:{port}"
        accepting = server.LinkServer(RecordingService(), logs.make_log())
        await accepting.start("127.0.0.1", port)
        listener = RefusalListener()
        dialers = dialer.DialerSet(
            messages.Hello(role="control", name="c1"),
            listener,
            logs.make_log(),
        )
        self.addCleanup(dialers.set_addresses, set())
        dialers.set_addresses({address})
        async with asyncio.timeout(WAIT_S):
            while not dialers.list_links():
                await asyncio.sleep(0)
        self.assertEqual(listener.refused, [])
        ended_at = clock.SuspendAwareClock().monotonic()
        accepting.stop()
        async with asyncio.timeout(WAIT_S):
            while not listener.refused:
                await asyncio.sleep(0.01)
        refused, began_at = listener.refused[0]
        self.assertEqual(refused, address)
        self.assertGreaterEqual(began_at, ended_at)


class OnePeer(dialer.DialerSet):
    """Has the same link for each address."""

    def __init__(self, peer: link.Link) -> None:
        self.peer = peer

    def get(self, address: str) -> link.Link | None:
        return self.peer


class TestSlowLink(LinkCase):
    """A link that takes less than the leader sends."""

    async def test_repeated_entries_do_not_close_the_link(self) -> None:
        """The peer would lose what is queued and get the same again."""
        loop = asyncio.get_running_loop()
        slow = sender.LinkSender(loop, "127.0.0.1:1")
        slow.peers = OnePeer(self.link)
        for _ in range(40):
            slow.send_on_loop("127.0.0.2:1", [bytes(1024 * 1024)])
        self.assertFalse(self.link.closing)
        queued_bytes = self.link.queued_bytes
        self.assertLess(queued_bytes, 3 * sender.MAX_QUEUED_BYTES)
        slow.send_on_loop("127.0.0.2:1", [b"heartbeat"])
        self.assertGreater(self.link.queued_bytes, queued_bytes)


if __name__ == "__main__":
    unittest.main()
