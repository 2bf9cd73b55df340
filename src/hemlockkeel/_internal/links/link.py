"""TCP connection that carries length-prefixed messages in both directions."""

import asyncio
import collections
import collections.abc
import contextlib
import socket
import struct

import msgspec

from hemlockkeel._internal.links import messages
from hemlockkeel._internal.routes import table

FRAME_LENGTH = struct.Struct("!I")
# A whole configuration in one message, with room for the other fields.
MAX_FRAME_BYTES = 2 * table.MAX_CONFIGURATION_BYTES
# The same for the first message of a process with limited memory, its hello.
MAX_HELLO_BYTES = 16 * 1024
# Bytes that may be queued for a peer that does not read before the link is
# closed.
MAX_SEND_BUFFER_BYTES = 16 * 1024 * 1024
# Messages that wait to be handled, and their bytes, above which reading
# pauses.
MAX_RECEIVED_MESSAGES = 1000
MAX_RECEIVED_BYTES = MAX_FRAME_BYTES
# Time after which the kernel closes a connection whose sent data is not
# acknowledged.
TCP_USER_TIMEOUT_MS = 2000
# Ping intervals without data, and the time for a reply, after which a peer is
# probably paused.
SILENT_PINGS = 1.0
PING_REPLY_S = 0.25
# Time from a message that could not be handled until its link is closed.
CLOSE_AFTER_FAILURE_S = 3.0
# Interval of the pings of a peer that has not said hello yet.
DEFAULT_PING_INTERVAL_S = 0.5


class FrameTooLongError(Exception):
    """A frame is longer than any message."""


class LinkClosedError(Exception):
    """The connection was closed, or the peer sent an invalid message."""


class Link(asyncio.Protocol):
    """A connection to another hemlockkeel process.

    On an accepted link, the attributes from ``role`` to ``ping_interval_s``
    describe the peer as its `messages.Hello` did; they are empty before. On an
    outgoing link, ``ping_interval_s`` is that of the own pings, and
    ``protocol`` what a control member's `messages.MembersUpdate` said.
    ``on_connected`` is called once the connection is there.
    """

    def __init__(
        self,
        on_connected: collections.abc.Callable[["Link"], None] | None = None,
    ) -> None:
        self.on_connected = on_connected
        # Called when the bytes received have changed, and when the
        # connection is lost.
        self.on_resized: collections.abc.Callable[[], None] | None = None
        self.on_lost: collections.abc.Callable[[], None] | None = None
        self.transport: asyncio.Transport | None = None
        self.role = ""
        self.name = ""
        self.data_centre = ""
        self.target_address = ""
        # Newest messages that the peer understands; 0 until it has said so.
        self.protocol = 0
        self.ping_interval_s = DEFAULT_PING_INTERVAL_S
        self.max_frame_bytes = MAX_FRAME_BYTES
        # Whether a hello has arrived on an accepted link.
        self.greeted = False
        self.last_call_id = 0
        self.pending_calls: dict[int, asyncio.Future[messages.AnyMessage]] = {}
        # Bytes of an incomplete frame, and messages not yet handled with
        # their sizes.
        self.buffer = bytearray()
        self.received: collections.deque[tuple[messages.AnyMessage, int]] = (
            collections.deque()
        )
        self.received_bytes = 0
        self.waiter: asyncio.Future[None] | None = None
        # Why no more messages will arrive; empty while the link is up.
        self.end_reason = ""
        # Loop time of the last data.
        self.heard_at = 0.0
        self.silence_timer: asyncio.TimerHandle | None = None
        self.failure_timer: asyncio.TimerHandle | None = None

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.heard_at = asyncio.get_running_loop().time()
        sock = transport.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.on_connected is not None:
            self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        self.buffer += data
        try:
            self.decode_frames()
        except (msgspec.DecodeError, FrameTooLongError) as error:
            self.end(f"invalid message: {error}")
            self.abort()
        if self.on_resized is not None:
            self.on_resized()
        self.wake_receiver()

    def eof_received(self) -> bool:
        self.end("closed by the peer")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.end(str(exc) if exc else "connection lost")
        for timer in (self.silence_timer, self.failure_timer):
            if timer is not None:
                timer.cancel()
        if self.on_lost is not None:
            self.on_lost()

    # Called by this class and its owner

    def decode_frames(self) -> None:
        """Move the complete messages from the buffer to `received`.

        :raises FrameTooLongError: when a frame exceeds the longest allowed.
        :raises msgspec.DecodeError: when one is not a valid message.
        """
        begin = 0
        while len(self.buffer) - begin >= FRAME_LENGTH.size:
            (size,) = FRAME_LENGTH.unpack_from(self.buffer, begin)
            if size > self.max_frame_bytes:
                raise FrameTooLongError(
                    f"frame of {size} bytes exceeds the limit of "
                    f"{self.max_frame_bytes} bytes"
                )
            end = begin + FRAME_LENGTH.size + size
            if len(self.buffer) < end:
                break
            frame = bytes(self.buffer[begin + FRAME_LENGTH.size : end])
            message = messages.DECODER.decode(frame)
            if isinstance(message, messages.Hello):
                self.greeted = True
                self.max_frame_bytes = MAX_FRAME_BYTES
            self.received.append((message, size))
            self.received_bytes += size
            begin = end
        del self.buffer[:begin]
        if self.has_many_received and self.transport:
            self.transport.pause_reading()

    @property
    def has_many_received(self) -> bool:
        """Return whether reading pauses until messages are handled."""
        return (
            len(self.received) > MAX_RECEIVED_MESSAGES
            or self.received_bytes > MAX_RECEIVED_BYTES
        )

    def end(self, reason: str) -> None:
        """Record why no more messages will arrive, if it is the first end."""
        self.end_reason = self.end_reason or reason
        self.wake_receiver()

    def wake_receiver(self) -> None:
        """Resume a waiting `receive`."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def watch_silence(
        self, get_timeout_s: collections.abc.Callable[[], float]
    ) -> None:
        """Close the link whenever the peer sends nothing for too long."""
        loop = asyncio.get_running_loop()
        timeout_s = get_timeout_s()
        left_s = self.heard_at + timeout_s - loop.time()
        if left_s <= 0:
            self.end(f"no message received for {timeout_s:.1f} s")
            self.abort()
            return
        self.silence_timer = loop.call_later(
            left_s, self.watch_silence, get_timeout_s
        )

    def is_silent(self, now: float) -> bool:
        """Return whether the answer to a ping is overdue."""
        limit_s = self.ping_interval_s * SILENT_PINGS + PING_REPLY_S
        return now - self.heard_at > limit_s

    @property
    def closing(self) -> bool:
        """Return whether the link is closed or being closed."""
        return self.transport is None or self.transport.is_closing()

    @property
    def queued_bytes(self) -> int:
        """Return the bytes that wait to be sent."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def send(self, message: messages.AnyMessage) -> None:
        """Queue a message without waiting for it to be sent.

        Closes the link when too much data is queued. On a link that is
        closing, the message is dropped.
        """
        self.send_frame(encode_frame(message))

    def send_frame(self, frame: bytes) -> None:
        """Queue an encoded message, as `send` does."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.queued_bytes > MAX_SEND_BUFFER_BYTES:
            self.end(
                f"the peer does not read: {self.queued_bytes} bytes queued"
            )
            self.transport.abort()
            return
        self.transport.write(frame)
        if self.on_resized is not None:
            self.on_resized()

    async def receive(self) -> messages.AnyMessage:
        """Wait for the next message and return it.

        :raises LinkClosedError: when the connection ends or the data received
            is too long or not a valid message.
        """
        while not self.received:
            if self.end_reason:
                raise LinkClosedError(self.end_reason)
            self.waiter = asyncio.get_running_loop().create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        message, size = self.received.popleft()
        self.received_bytes -= size
        if not self.received and not self.closing:
            assert self.transport is not None
            self.transport.resume_reading()
        return message

    async def call(
        self, message: messages.AnyMessage, timeout_s: float
    ) -> messages.AnyMessage:
        """Send a call and return its reply.

        :raises LinkClosedError: when the link is closed before the reply.
        :raises TimeoutError: when no reply arrives within ``timeout_s``
            seconds.
        """
        if self.closing:
            raise LinkClosedError("closed")
        self.last_call_id += 1
        call_id = self.last_call_id
        future: asyncio.Future[messages.AnyMessage] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_calls[call_id] = future
        self.send(msgspec.structs.replace(message, call_id=call_id))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        finally:
            self.pending_calls.pop(call_id, None)

    def resolve_call(self, message: messages.AnyMessage) -> bool:
        """Complete the call that a message replies to.

        Returns whether there was a pending call with the message's id.
        """
        future = self.pending_calls.pop(message.call_id, None)
        if future is None:
            return False
        if not future.done():
            future.set_result(message)
        return True

    @contextlib.contextmanager
    def handling(
        self, message: messages.AnyMessage
    ) -> collections.abc.Iterator[None]:
        """Report an unexpected error in handling a message to the event loop.

        The messages behind it are handled. The link is closed only later,
        since a peer that connects again gets the whole state anew, and that
        may fail again.
        """
        try:
            yield
        except Exception as error:
            report_failure(message, error)
            if self.failure_timer is None:
                self.failure_timer = asyncio.get_running_loop().call_later(
                    CLOSE_AFTER_FAILURE_S, self.end_after_failure
                )

    def end_after_failure(self) -> None:
        """Close the connection, a message of which was not handled."""
        self.end("a message was not handled")
        self.abort()

    def close(self) -> None:
        """Abort the connection and fail all pending calls."""
        self.abort()
        for future in self.pending_calls.values():
            if not future.done():
                future.set_exception(LinkClosedError("closed"))
        self.pending_calls.clear()


def report_failure(message: messages.AnyMessage, error: Exception) -> None:
    """Report an unexpected error in handling a message to the event loop."""
    asyncio.get_running_loop().call_exception_handler(
        {
            "message": f"{type(message).__name__} not handled",
            "exception": error,
        }
    )


def encode_frame(message: messages.AnyMessage) -> bytes:
    """Return a message as it is sent, which may go to several links."""
    data = messages.ENCODER.encode(message)
    return FRAME_LENGTH.pack(len(data)) + data


def send_to_all(
    peers: collections.abc.Iterable[Link], message: messages.AnyMessage
) -> None:
    """Send a message to several links."""
    frame = encode_frame(message)
    for peer in peers:
        peer.send_frame(frame)
