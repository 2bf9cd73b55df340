"""Ports that tests choose stay free until a server binds them.

Guards against "address already in use" when tests run in parallel: the
system gives ports of its ephemeral range to outgoing connections, and two
test processes may choose the same port.
"""

import pathlib
import socket
import subprocess
import sys
import unittest

from tests.lib import ports

EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
PORTS = 20


class TestPorts(unittest.TestCase):
    """Choice and reservation of ports."""

    def test_port_is_not_given_to_outgoing_connections(self) -> None:
        low, high = map(int, EPHEMERAL_RANGE.read_text().split())
        for _ in range(PORTS):
            port = ports.find_free_port()
            self.assertFalse(low <= port <= high, port)

    def test_port_is_not_chosen_by_another_process(self) -> None:
        port = ports.find_free_port()
        code = (
            "from tests.lib import ports\n"
            f"assert ports.reserve({port}) is None\n"
        )
        done = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(0, done.returncode)

    def test_servers_can_bind_a_pair(self) -> None:
        first = ports.find_free_port_pair()
        for port in (first, first + 1):
            for address in ("127.0.0.1", "127.7.1.2"):
                with socket.socket() as server:
                    server.bind((address, port))
                    server.listen()

    def test_port_in_use_is_not_chosen(self) -> None:
        with socket.socket() as server:
            server.bind(("127.3.0.1", 0))
            self.assertIsNone(ports.reserve(server.getsockname()[1]))
