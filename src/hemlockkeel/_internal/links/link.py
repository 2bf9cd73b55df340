"""One connection that carries length-prefixed messages both ways."""

import asyncio
import socket
import struct

import msgspec

from hemlockkeel._internal.links import messages

FRAME_LENGTH = struct.Struct("!I")
# A full configuration of the largest size that operators may send, 4 MiB,
# fits with room.
MAX_FRAME_BYTES = 8 * 1024 * 1024
# What may wait for a peer that does not read before the link is given up.
MAX_SEND_BUFFER_BYTES = 16 * 1024 * 1024
# Time in ms after which the kernel gives up on unacknowledged bytes.
TCP_USER_TIMEOUT_MS = 2000


class LinkClosedError(Exception):
    """The connection ended, or its peer sent what is no message."""


class Link:
    """A connection to another process of hemlockkeel."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.role = ""
        self.name = ""
        self.data_centre = ""
        self.target_address = ""
        self.last_call_id = 0
        self.pending_calls: dict[int, asyncio.Future[messages.AnyMessage]] = {}
        sock = writer.get_extra_info("socket")
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, message: messages.AnyMessage) -> None:
        """Queue a message; give up on a peer that does not read."""
        if self.writer.is_closing():
            return
        transport = self.writer.transport
        if transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
            transport.abort()
            return
        data = messages.ENCODER.encode(message)
        self.writer.write(FRAME_LENGTH.pack(len(data)) + data)

    async def receive(self) -> messages.AnyMessage:
        """Return the next message.

        :raises LinkClosedError: when there will be none.
        """
        try:
            head = await self.reader.readexactly(FRAME_LENGTH.size)
            (size,) = FRAME_LENGTH.unpack(head)
            if size > MAX_FRAME_BYTES:
                raise LinkClosedError(f"frame of {size} bytes")
            data = await self.reader.readexactly(size)
            return messages.DECODER.decode(data)
        except (OSError, asyncio.IncompleteReadError) as fault:
            raise LinkClosedError(str(fault)) from fault
        except msgspec.DecodeError as fault:
            raise LinkClosedError(f"not a message: {fault}") from fault

    async def call(
        self, message: messages.AnyMessage, timeout_s: float
    ) -> messages.AnyMessage:
        """Send a call and return its reply.

        :raises LinkClosedError: when the link ends first.
        :raises TimeoutError: when no reply comes in time.
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
        """Hand a reply to whoever called; tell whether it was one."""
        future = self.pending_calls.pop(message.call_id, None)
        if future is None:
            return False
        if not future.done():
            future.set_result(message)
        return True

    def close(self) -> None:
        """End the connection and all calls on it."""
        self.writer.transport.abort()
        for future in self.pending_calls.values():
            if not future.done():
                future.set_exception(LinkClosedError("closed"))
        self.pending_calls.clear()
