"""Reserves TCP ports for the servers that tests start."""

import random
import socket

# Below the range from which Linux chooses ports for outgoing connections. A
# free port of that range may be in use by the time that a server binds it.
MIN_PORT = 20_000
MAX_PORT = 32_000
# No server of a test listens on this address. A socket bound there reserves
# a port among concurrent test processes until this process ends.
RESERVATION_ADDRESS = "127.255.255.254"

_reservations: list[socket.socket] = []


def find_free_port() -> int:
    """Return a port that is free on every loopback address."""
    return find_free_ports(1)


def find_free_port_pair() -> int:
    """Return a port that is free, as is the one after it."""
    return find_free_ports(2)


def find_free_ports(count: int) -> int:
    """Reserve consecutive free ports and return the first one.

    :raises OSError: when none are free.
    """
    candidates = list(range(MIN_PORT, MAX_PORT - count))
    random.SystemRandom().shuffle(candidates)
    for first in candidates:
        reserved = [reserve(first + number) for number in range(count)]
        kept = [each for each in reserved if each is not None]
        if len(kept) == count:
            _reservations.extend(kept)
            return first
        for each in kept:
            each.close()
    raise OSError(f"no {count} consecutive ports are free")


def reserve(port: int) -> socket.socket | None:
    """Return a socket that reserves a port; None if the port is in use."""
    reservation = socket.socket()
    try:
        with socket.socket() as probe:
            probe.bind(("0.0.0.0", port))
        reservation.bind((RESERVATION_ADDRESS, port))
    except OSError:
        reservation.close()
        return None
    return reservation
