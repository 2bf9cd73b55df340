"""Requests that are accepted while a process stops as planned."""

import asyncio
import collections
import json

from tests.functional import test_platform_processes

CALLERS = 24
ENTRY_IP, MEMBER_IP = "127.0.0.11", "127.0.0.1"
# A response that is cut counts as none.
CUT, REFUSED = "cut", "refused"


class TestPlannedStops(test_platform_processes.ProcessCase):
    """Guards against connections that are accepted and closed unanswered."""

    async def send(self, address: tuple[str, int], request: bytes) -> str:
        """Return the status of a request on a connection of its own."""
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return REFUSED
        try:
            writer.write(request)
            response = await reader.read()
        except ConnectionError:
            return CUT
        finally:
            writer.transport.abort()
        return response[9:12].decode() or CUT

    async def stop_under_load(
        self, role: str, address: tuple[str, int], request: bytes
    ) -> collections.Counter[str]:
        """Return how often each status came while a process stopped."""
        found: collections.Counter[str] = collections.Counter()

        async def call() -> None:
            while found[REFUSED] < CALLERS:
                found[await self.send(address, request)] += 1

        callers = [asyncio.create_task(call()) for _ in range(CALLERS)]
        while sum(found.values()) < 2 * CALLERS:
            await asyncio.sleep(0.01)
        self.processes[role].terminate()
        await asyncio.gather(*callers)
        self.assertEqual(await self.processes[role].wait(), 0)
        return found

    async def start_both(self) -> None:
        await self.start("control", MEMBER_IP)
        await self.start("entry", ENTRY_IP)
        api = (MEMBER_IP, self.ports["api"])
        body = json.dumps(test_platform_processes.CONFIGURATION).encode()
        await self.call_until(200, api, "PUT", "/config", body)
        heartbeat = self.make_heartbeat()
        await self.call_until(200, api, "PUT", "/instances/i-1", heartbeat)
        front = (ENTRY_IP, self.ports["front"])
        await self.call_until(200, front, "POST", "/p/x", b"")

    async def test_entry(self) -> None:
        await self.start_both()
        found = await self.stop_under_load(
            "entry",
            (ENTRY_IP, self.ports["front"]),
            b"POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r2\r\n"
            b"Content-Length: 4\r\nConnection: close\r\n\r\nbody",
        )
        self.assertEqual(found[CUT], 0, found)

    async def test_control_member(self) -> None:
        await self.start_both()
        heartbeat = self.make_heartbeat(2)
        found = await self.stop_under_load(
            "control",
            (MEMBER_IP, self.ports["api"]),
            b"PUT /instances/i-1 HTTP/1.1\r\nHost: a.example\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n%s"
            % (len(heartbeat), heartbeat),
        )
        self.assertEqual(found[CUT], 0, found)
