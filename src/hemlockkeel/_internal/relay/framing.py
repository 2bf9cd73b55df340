"""Writes HTTP messages without copying their bodies."""

import h11

from hemlockkeel._internal.relay import channel

# Messages of at least this size are written in pieces.
LARGE_BYTES = 64 * 1024


def encode(protocol: h11.Connection, events: list[h11.Event]) -> list[bytes]:
    """Advance an HTTP state by events; return the pieces to send."""
    return [
        piece
        for event in events
        for piece in protocol.send_with_data_passthrough(event) or []
    ]


def write(bytes_channel: channel.Channel, pieces: list[bytes]) -> None:
    """Queue the pieces of a message, small ones in one write."""
    if sum(map(len, pieces)) < LARGE_BYTES:
        bytes_channel.write(b"".join(pieces))
        return
    for piece in pieces:
        # The transport slices what the socket does not take at once, and
        # a slice of a view is no copy.
        bytes_channel.write(memoryview(piece))
