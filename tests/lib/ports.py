"""Finds free TCP ports."""

import socket


def find_free_port() -> int:
    """Return a port that is free on every loopback address."""
    with socket.socket() as probe:
        probe.bind(("0.0.0.0", 0))
        return int(probe.getsockname()[1])


def find_free_port_pair() -> int:
    """Return a port that is free, as is the one after it."""
    while True:
        first = find_free_port()
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", first + 1))
            except (OSError, OverflowError):
                continue
            return first
