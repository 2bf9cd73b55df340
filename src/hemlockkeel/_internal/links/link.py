"""TCP connection that carries length-prefixed messages in both directions."""

import asyncio
import collections.abc
import socket
import struct

import msgspec

from hemlockkeel._internal.links import messages

FRAME_LENGTH = struct.Struct("!I")
# Leaves room for a whole configuration of 4 MiB.
MAX_FRAME_BYTES = 8 * 1024 * 1024
# Bytes that may be queued for a peer that does not read before the link is
# closed.
MAX_SEND_BUFFER_BYTES = 16 * 1024 * 1024
# Time after which the kernel closes a connection whose sent data is not
# acknowledged.
TCP_USER_TIMEOUT_MS = 2000
# Interval of the pings of a peer that has not said hello yet.
DEFAULT_PING_INTERVAL_S = 0.5


class LinkClosedError(Exception):
    """The connection was closed, or the peer sent an invalid message."""


class Link:
    """A connection to another hemlockkeel process.

    On an accepted link, the attributes from ``role`` to ``target_address``
    describe the peer as its `messages.Hello` did; they are empty before.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.role = ""
        self.name = ""
        self.data_centre = ""
        self.target_address = ""
        self.ping_interval_s = DEFAULT_PING_INTERVAL_S
        self.last_call_id = 0
        self.pending_calls: dict[int, asyncio.Future[messages.AnyMessage]] = {}
        sock = writer.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, message: messages.AnyMessage) -> None:
        """Queue a message without waiting for it to be sent.

        Closes the link when too much data is queued. On a link that is
        closing, the message is dropped.
        """
        self.send_frame(encode_frame(message))

    def send_frame(self, frame: bytes) -> None:
        """Queue an encoded message, as `send` does."""
        if self.writer.is_closing():
            return
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            transport.abort()
            return
        self.writer.write(frame)

    async def receive(self) -> messages.AnyMessage:
        """Wait for the next message and return it.

        :raises LinkClosedError: when the connection ends or the data received
            is too long or not a valid message.
        """
        try:
            head = await self.reader.readexactly(FRAME_LENGTH.size)
            (size,) = FRAME_LENGTH.unpack(head)
            if size > MAX_FRAME_BYTES:
                raise LinkClosedError(
                    f"frame of {size} bytes exceeds the limit of "
                    f"{MAX_FRAME_BYTES} bytes"
                )
            data = await self.reader.readexactly(size)
            return messages.DECODER.decode(data)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise LinkClosedError(str(error)) from error
        except msgspec.DecodeError as error:
            raise LinkClosedError(f"invalid message: {error}") from error

    async def call(
        self, message: messages.AnyMessage, timeout_s: float
    ) -> messages.AnyMessage:
        """Send a call and return its reply.

        :raises LinkClosedError: when the link is closed before the reply.
        :raises TimeoutError: when no reply arrives within ``timeout_s``
            seconds.
        """
        if self.writer.is_closing():
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

    def close(self) -> None:
        """Abort the connection and fail all pending calls."""
        self.writer.transport.abort()
        for future in self.pending_calls.values():
            if not future.done():
                future.set_exception(LinkClosedError("closed"))
        self.pending_calls.clear()


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
