"""Tells how far a peer's response and the request to it overlap.

A response without a length ends with its connection. If the peer closes its
side before it has received the whole request, it may still reset the
connection, and the response need not be complete. What arrives before the
request is sent is no response to it.
"""

import fcntl
import select
import socket
import struct
import termios

# Time that a peer which has closed its side may take to receive the rest.
MAX_WAIT_S = 0.5
CHECK_INTERVAL_S = 0.01
QUEUE_SIZE = struct.Struct("i")


def count_unacknowledged(sock: socket.socket) -> int:
    """Return the bytes that the kernel holds until the peer has them.

    0 if the kernel does not tell.
    """
    try:
        found = fcntl.ioctl(
            sock.fileno(), termios.TIOCOUTQ, bytes(QUEUE_SIZE.size)
        )
    except OSError:
        return 0
    count: int = QUEUE_SIZE.unpack(found)[0]
    return count


def check_error(sock: socket.socket) -> None:
    """Check that a connection was not reset.

    :raises ConnectionResetError: when it was.
    """
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise ConnectionResetError("connection reset behind the response")


def has_arrived(sock: socket.socket) -> bool:
    """Return whether bytes or the end of a connection wait to be read."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))
