"""TCP connection with flow control and a bounded receive buffer."""

import asyncio
import collections.abc
import socket
import struct
import typing

from hemlockkeel._internal.utils import delivery

# Received bytes not yet consumed, above which reading from the socket pauses.
HIGH_WATER_BYTES = 128 * 1024
# Bytes read from a socket at once. They arrive in one buffer of the process:
# a new one for each read would take 256 KiB for a moment.
READ_BYTES = 64 * 1024
_read_buffer = memoryview(bytearray(READ_BYTES))
# TCP_USER_TIMEOUT of a connection: the kernel closes it when sent data stays
# unacknowledged for this long.
DEFAULT_USER_TIMEOUT_MS = 5000
# Value of SO_LINGER with which closing a socket resets its connection.
NO_LINGER = struct.pack("ii", 1, 0)
DEFAULT_LINGER = struct.pack("ii", 0, 0)
# Pieces of received data, and their bytes, that an owner handles before other
# tasks run.
PIECES_PER_TURN = 8
BYTES_PER_TURN = 64 * 1024


class Channel(asyncio.BufferedProtocol):
    """Reads and writes bytes; reports at once when the peer closes."""

    def __init__(
        self,
        on_connected: collections.abc.Callable[["Channel"], None]
        | None = None,
    ) -> None:
        self.on_connected = on_connected
        # Called once, when the peer closes its side or the connection is lost.
        self.on_end: collections.abc.Callable[[], None] | None = None
        # Called once, when the descriptor is being closed.
        self.on_lost: collections.abc.Callable[[], None] | None = None
        # Called whenever the bytes received or to be sent have changed.
        self.on_resized: collections.abc.Callable[[], None] | None = None
        self.high_water_bytes = HIGH_WATER_BYTES
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.ended = False
        self.error: Exception | None = None
        self.read_waiter: asyncio.Future[None] | None = None
        self.drain_waiter: asyncio.Future[None] | None = None
        self.writable = True
        self.pieces_in_turn = 0
        self.bytes_in_turn = 0

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                DEFAULT_USER_TIMEOUT_MS,
            )
        if self.on_connected is not None:
            self.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.received += _read_buffer[:nbytes]
        if len(self.received) > self.high_water_bytes and self.transport:
            self.transport.pause_reading()
        self.report_size()
        self.wake_reader()

    def eof_received(self) -> bool:
        self.mark_ended(None)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended or exc is not None:
            self.error = exc or ConnectionResetError("connection lost")
        self.mark_ended(self.error)
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_result(None)
        if self.on_lost is not None:
            self.on_lost()

    def pause_writing(self) -> None:
        self.writable = False

    def resume_writing(self) -> None:
        self.writable = True
        self.report_size()
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_result(None)

    # Called by this class and its owner

    def mark_ended(self, error: Exception | None) -> None:
        """Record that no more data will arrive; call ``on_end`` once."""
        first = not self.ended
        self.ended = True
        self.wake_reader()
        if first and self.on_end is not None:
            self.on_end()

    def report_size(self) -> None:
        """Tell the owner that the buffers have another size."""
        if self.on_resized is not None:
            self.on_resized()

    def wake_reader(self) -> None:
        """Resume a waiting `read`."""
        if self.read_waiter is not None and not self.read_waiter.done():
            self.read_waiter.set_result(None)

    @property
    def closing(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self.transport is None or self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes in the send buffer."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    async def read(self) -> bytes:
        """Return all received bytes, waiting for some; empty at the end.

        :raises ConnectionError: when the connection was reset or timed out.
        """
        while not self.received and not self.ended:
            self.read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self.read_waiter
            finally:
                self.read_waiter = None
        if self.received:
            data = bytes(self.received)
            self.bytes_in_turn += len(data)
            self.received.clear()
            if self.transport and not self.transport.is_closing():
                self.transport.resume_reading()
            return data
        if self.error is not None:
            raise ConnectionResetError(str(self.error)) from self.error
        return b""

    async def take_turn(self) -> None:
        """Let other tasks run after so many calls, or so many bytes read.

        `read` does not wait while data is there, so a peer that sends without
        end would keep the event loop from them.
        """
        self.pieces_in_turn += 1
        if (
            self.pieces_in_turn > PIECES_PER_TURN
            or self.bytes_in_turn > BYTES_PER_TURN
        ):
            self.pieces_in_turn = self.bytes_in_turn = 0
            await asyncio.sleep(0)

    def write(self, data: bytes | memoryview) -> None:
        """Queue bytes; drop them if the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the send buffer has room or the connection closes."""
        while not self.writable and not self.closing:
            self.drain_waiter = asyncio.get_running_loop().create_future()
            await self.drain_waiter

    async def check_delivered(self) -> None:
        """Check that the peer has received all that was written.

        It may take a short time for that.

        :raises ConnectionError: when the connection was reset, or the peer
            has not received all in time.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + delivery.MAX_WAIT_S
        while True:
            if self.error is not None or self.closing:
                raise ConnectionResetError("reset behind the response")
            assert self.transport is not None
            sock = typing.cast(
                socket.socket, self.transport.get_extra_info("socket")
            )
            delivery.check_error(sock)
            if not self.unsent_bytes + delivery.count_unacknowledged(sock):
                return
            if loop.time() > ends_at:
                raise ConnectionResetError(
                    "the peer has not received the whole request"
                )
            await asyncio.sleep(delivery.CHECK_INTERVAL_S)

    def close(self) -> None:
        """Close after the queued bytes have been sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once, dropping the queued bytes."""
        if self.transport is not None:
            self.transport.abort()

    def reset_when_closed(self, enabled: bool) -> None:
        """Let the peer see an error, not an end, however the socket closes."""
        if self.closing or self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            option = NO_LINGER if enabled else DEFAULT_LINGER
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def reset(self) -> None:
        """Close at once, so that the peer sees an error and not an end."""
        self.reset_when_closed(True)
        self.abort()
