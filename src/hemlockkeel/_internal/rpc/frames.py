"""Length-prefixed frames on a TCP socket.

A frame is its length as four bytes, big-endian, followed by that many bytes,
as in thrift's framed transport. Both the sender and the receiver enforce a
size limit.
"""

import io
import socket
import struct
import time

from thrift.protocol import TBinaryProtocol
from thrift.protocol import TProtocol
from thrift.transport import TTransport

HEADER = struct.Struct("!I")
MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_STRING_BYTES = MAX_FRAME_BYTES
MAX_CONTAINER_ITEMS = 1_000_000
RECEIVE_CHUNK_BYTES = 256 * 1024


class FrameTooLargeError(Exception):
    """A frame to send or to receive exceeds the size limit."""


class PeerClosedError(Exception):
    """The peer closed the connection."""


def receive_exactly(
    sock: socket.socket, size: int, deadline: float | None
) -> bytes:
    """Receive exactly ``size`` bytes.

    The deadline is a time of the monotonic clock; None waits without limit.

    :raises PeerClosedError: when the peer closes the connection first.
    :raises TimeoutError: when the deadline passes first.
    """
    chunks = bytearray()
    while len(chunks) < size:
        if deadline is not None:
            sock.settimeout(get_remaining_s(deadline))
        chunk = sock.recv(min(size - len(chunks), RECEIVE_CHUNK_BYTES))
        if not chunk:
            raise PeerClosedError(
                "peer closed the connection before the end of a frame"
            )
        chunks += chunk
    return bytes(chunks)


def get_remaining_s(deadline: float) -> float:
    """Return the seconds left until a monotonic deadline.

    :raises TimeoutError: when the deadline has passed.
    """
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimeoutError("deadline exceeded")
    return remaining


def receive_frame(
    sock: socket.socket,
    deadline: float | None = None,
    max_bytes: int = MAX_FRAME_BYTES,
) -> bytes:
    """Receive a frame and return its payload.

    :raises FrameTooLargeError: when its length exceeds the limit.
    :raises PeerClosedError: when the peer closes the connection first.
    :raises TimeoutError: when the deadline passes first.
    """
    header = receive_exactly(sock, HEADER.size, deadline)
    (size,) = HEADER.unpack(header)
    if size > max_bytes:
        raise FrameTooLargeError(
            f"frame of {size} bytes exceeds the limit of {max_bytes} bytes"
        )
    return receive_exactly(sock, size, deadline)


def send_frame(
    sock: socket.socket, payload: bytes, deadline: float | None = None
) -> None:
    """Send a frame.

    :raises FrameTooLargeError: when the payload exceeds the limit.
    :raises TimeoutError: when the deadline passes first.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(
            f"frame of {len(payload)} bytes exceeds the limit of "
            f"{MAX_FRAME_BYTES} bytes"
        )
    if deadline is not None:
        sock.settimeout(get_remaining_s(deadline))
    sock.sendall(HEADER.pack(len(payload)) + payload)


def make_protocol(
    transport: TTransport.TTransportBase,
) -> TBinaryProtocol.TBinaryProtocolAccelerated:
    """Return the binary protocol, with size limits against invalid input."""
    return TBinaryProtocol.TBinaryProtocolAccelerated(
        transport,
        string_length_limit=MAX_STRING_BYTES,
        container_length_limit=MAX_CONTAINER_ITEMS,
    )


class ReplyProtocol(TBinaryProtocol.TBinaryProtocolAccelerated):
    """Protocol of a client, which tells late replies by their number.

    The generated clients number all calls alike and compare nothing.
    """

    def __init__(self, transport: TTransport.TTransportBase) -> None:
        super().__init__(
            transport,
            string_length_limit=MAX_STRING_BYTES,
            container_length_limit=MAX_CONTAINER_ITEMS,
        )
        self.calls = 0

    def writeMessageBegin(  # noqa: N802
        self, name: str, type: int, seqid: int
    ) -> None:
        self.calls += 1
        super().writeMessageBegin(name, type, self.calls)

    def readMessageBegin(self) -> tuple[str, int, int]:  # noqa: N802
        """Return name, type and number of a reply.

        :raises TProtocolException: when it replies to another call.
        """
        name, kind, seqid = super().readMessageBegin()
        if seqid != self.calls:
            raise TProtocol.TProtocolException(
                message=f"reply to call {seqid} instead of {self.calls}"
            )
        return name, kind, seqid


class FrameTransport(TTransport.TTransportBase, TTransport.CReadableTransport):
    """Client transport that uses one frame per call and one per reply.

    ``sent`` is set before a frame is written to the socket: from then on,
    the server may have received the call.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.deadline: float | None = None
        self.sent = False
        self.read_buffer = io.BytesIO()
        self.write_buffer = io.BytesIO()

    def read(self, sz: int) -> bytes:
        data = self.read_buffer.read(sz)
        if data:
            return data
        self.read_frame()
        return self.read_buffer.read(sz)

    def write(self, buf: bytes) -> None:
        self.write_buffer.write(buf)

    def flush(self) -> None:
        payload = self.write_buffer.getvalue()
        self.write_buffer = io.BytesIO()
        self.sent = True
        send_frame(self.sock, payload, self.deadline)

    def read_frame(self) -> None:
        """Receive the next frame into the read buffer."""
        self.read_buffer = io.BytesIO(receive_frame(self.sock, self.deadline))

    @property
    def cstringio_buf(self) -> io.BytesIO:
        return self.read_buffer

    def cstringio_refill(self, partialread: bytes, reqlen: int) -> io.BytesIO:
        prefix = partialread
        while len(prefix) < reqlen:
            self.read_frame()
            prefix += self.read_buffer.getvalue()
        self.read_buffer = io.BytesIO(prefix)
        return self.read_buffer
