"""Tests of the platform's roles as processes that get real signals."""

import asyncio
import http.client
import json
import os
import pathlib
import signal
import sys
import tempfile
import unittest

from tests.lib import fake_target
from tests.lib import ports
from tests.lib import settings_file

# Longest wait for a condition.
WAIT_S = 30.0
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "a.example",
            "pathPrefix": "/p/",
            "kind": "unsafe",
            "timeoutMs": 5000,
            "service": "s",
            "attempts": 1,
        }
    ],
    "services": [{"name": "s", "maxConnections": 50}],
}


class ProcessCase(unittest.IsolatedAsyncioTestCase):
    """Runs control members, entries and a fake target."""

    # Further lines of the settings.
    extra_settings = ""
    # Addresses of the control members.
    members: tuple[str, ...] = ("127.0.0.1",)

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ports = {
            name: ports.find_free_port()
            for name in ("front", "ready", "api", "links")
        }
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        # Further headers of the calls.
        self.extra_headers: dict[str, str] = {}
        # The target responds once this is set.
        self.released = asyncio.Event()
        self.released.set()
        self.target = fake_target.FakeTarget(self.respond)
        await self.target.start()

    async def respond(
        self,
        target: fake_target.FakeTarget,
        request: fake_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond to every request once ``released`` is set."""
        await self.released.wait()
        writer.write(fake_target.make_response(request, b"done"))
        return True

    async def asyncTearDown(self) -> None:
        await self.target.stop()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    def get_name(self, role: str, ip: str) -> str:
        """Return the name of a process; the first member's is its role."""
        others = self.members[1:]
        return f"{role}-{others.index(ip) + 2}" if ip in others else role

    def write_settings(self, role: str, ip: str) -> pathlib.Path:
        path = self.folder / f"{self.get_name(role, ip)}.conf"
        path.write_text(
            settings_file.render(
                name=f"{role}-{ip}",
                ip=ip,
                app="",
                agents=self.ports["links"],
                seeds=",".join(
                    f"{member}:{self.ports['api']}" for member in self.members
                ),
                bootstrap="true",
                grace=8,
                data=self.folder / f"data-{ip}",
                extra=self.extra_settings,
                **self.ports,
            )
        )
        return path

    async def start(self, role: str, ip: str) -> None:
        """Start a role, with its log in a file."""
        path = self.write_settings(role, ip)
        name = self.get_name(role, ip)
        with (self.folder / f"{name}.log").open("wb") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hemlockkeel.platform",
                role,
                env={**os.environ, "HEMLOCKKEEL_NODE_FILE": str(path)},
                stdout=log,
            )

    def read_events(self, role: str) -> list[str]:
        """Return the names of the events that a role has logged."""
        text = (self.folder / f"{role}.log").read_text()
        return [json.loads(line)["event"] for line in text.splitlines()]

    async def wait_for_event(self, role: str, event: str) -> None:
        async with asyncio.timeout(WAIT_S):
            while event not in self.read_events(role):
                await asyncio.sleep(0.05)

    async def call(
        self, address: tuple[str, int], method: str, path: str, body: bytes
    ) -> int:
        """Return the status of a call; 0 if there is no response."""

        def run() -> int:
            connection = http.client.HTTPConnection(*address, timeout=5.0)
            try:
                connection.request(
                    method,
                    path,
                    body,
                    {
                        "Host": "a.example",
                        "X-Request-Id": "r1",
                        **self.extra_headers,
                    },
                )
                return connection.getresponse().status
            except OSError:
                return 0
            finally:
                connection.close()

        return await asyncio.to_thread(run)

    async def call_until(self, status: int, *call: object) -> None:
        async with asyncio.timeout(WAIT_S):
            while await self.call(*call) != status:  # type: ignore
                await asyncio.sleep(0.05)

    def make_heartbeat(self, sequence: int = 1) -> bytes:
        """Return a heartbeat of the target."""
        return json.dumps(
            {
                "service": "s",
                "version": "v1",
                "address": self.target.address,
                "zone": "dc1",
                "state": "ready",
                "sequence": sequence,
                "born": 1,
                "slots": 4,
            }
        ).encode()


class TestPlatformProcesses(ProcessCase):
    """A control member, an entry and a fake target."""

    async def test_serves_reloads_and_stops(self) -> None:
        await self.start("control", "127.0.0.1")
        await self.start("entry", "127.0.0.2")
        api = ("127.0.0.1", self.ports["api"])
        front = ("127.0.0.2", self.ports["front"])
        ready = ("127.0.0.2", self.ports["ready"])
        body = json.dumps(CONFIGURATION).encode()
        await self.call_until(200, api, "PUT", "/config", body)
        heartbeat = self.make_heartbeat()
        await self.call_until(200, api, "PUT", "/instances/i-1", heartbeat)
        await self.call_until(200, ready, "GET", "/ready", b"")
        await self.call_until(200, front, "POST", "/p/x", b"body")
        self.assertEqual(self.target.received[-1].body, b"body")
        for role in ("control", "entry"):
            self.processes[role].send_signal(signal.SIGHUP)
            await self.wait_for_event(role, "reloaded")
        # An invalid settings file leaves the old settings in use.
        (self.folder / "entry.conf").write_text("nodeName=x\n")
        await self.wait_for_event("entry", "reload_failed")
        self.assertEqual(await self.call(front, "POST", "/p/x", b"again"), 200)
        # A request in flight at SIGTERM still gets its response.
        self.released.clear()
        late = asyncio.create_task(self.call(front, "POST", "/p/x", b"late"))
        async with asyncio.timeout(WAIT_S):
            while self.target.received[-1].body != b"late":
                await asyncio.sleep(0.01)
        self.processes["entry"].send_signal(signal.SIGTERM)
        await self.wait_for_event("entry", "stopping")
        self.released.set()
        self.assertEqual(await late, 200)
        for role in ("entry", "control"):
            process = self.processes[role]
            if role == "control":
                process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(WAIT_S):
                self.assertEqual(await process.wait(), 0, role)
            self.assertEqual(self.read_events(role)[-1], "stopped")

    async def test_stream_without_chunks_does_not_look_complete_after_a_kill(
        self,
    ) -> None:
        async def begin(target, request, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_stream_response_head(request))
            writer.write(fake_target.make_chunk(b"id: 1\ndata: 1\n\n"))
            await asyncio.Event().wait()
            return False

        self.target.handler = begin
        await self.start("control", "127.0.0.1")
        await self.start("entry", "127.0.0.2")
        api = ("127.0.0.1", self.ports["api"])
        body = json.dumps(CONFIGURATION).encode()
        await self.call_until(200, api, "PUT", "/config", body)
        await self.call_until(
            200, api, "PUT", "/instances/i-1", self.make_heartbeat()
        )
        ready = ("127.0.0.2", self.ports["ready"])
        await self.call_until(200, ready, "GET", "/ready", b"")
        async with asyncio.timeout(WAIT_S):
            received = b""
            while b"data: 1" not in received:
                # Until the entry knows the target, it refuses the request.
                reader, writer = await asyncio.open_connection(
                    "127.0.0.2", self.ports["front"]
                )
                self.addCleanup(writer.transport.abort)
                writer.write(
                    b"POST /p/x HTTP/1.0\r\nHost: a.example\r\n"
                    b"X-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
                )
                received = await reader.read(4096)
                if b" 200 " in received and b"data: 1" not in received:
                    received += await reader.readuntil(b"data: 1")
        self.processes["entry"].kill()
        with self.assertRaises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), WAIT_S)

    async def test_missing_setting_is_named(self) -> None:
        path = self.folder / "bad.conf"
        path.write_text("nodeName=x\n")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hemlockkeel.platform",
            "entry",
            env={**os.environ, "HEMLOCKKEEL_NODE_FILE": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stderr is not None
        message = await process.stderr.read()
        self.assertEqual(await process.wait(), 2)
        self.assertIn(b"the settings file has no zone", message)


class TestUnreadableInput(ProcessCase):
    """Input that cannot be read in full, and a restart of all processes."""

    members = ("127.0.0.1", "127.0.0.3", "127.0.0.4")

    async def start_members(self) -> None:
        for member in self.members:
            await self.start("control", member)

    async def send_to_members(
        self, path: str, body: bytes, allowed: tuple[int, ...]
    ) -> set[int]:
        """Send a call to each member until its answer is clear."""
        seen = set()
        for member in self.members:
            address = (member, self.ports["api"])
            async with asyncio.timeout(WAIT_S):
                while True:
                    status = await self.call(address, "PUT", path, body)
                    if status in allowed:
                        break
                    await asyncio.sleep(0.05)
            seen.add(status)
        return seen

    async def test_requests_are_served_after_a_restart_of_all(self) -> None:
        front = ("127.0.0.2", self.ports["front"])
        body = json.dumps(CONFIGURATION).encode()
        odd = body.replace(b'"version": 3', b'"version": 5').replace(
            b'"name": "r"', b'"name": "l\xed\xa0\x80st"'
        )
        heartbeat = self.make_heartbeat()
        odd_heartbeat = heartbeat.replace(b'"v1"', b'"v\xed\xa0\x80"')
        await self.start_members()
        await self.send_to_members("/config", body, (200,))
        statuses = await self.send_to_members("/config", odd, (200, 400))
        await self.start("entry", "127.0.0.2")
        for sequence in (1, 2):
            statuses |= await self.send_to_members(
                "/instances/i-2", odd_heartbeat, (200, 400)
            )
            await self.send_to_members(
                "/instances/i-1", self.make_heartbeat(sequence), (200,)
            )
            await self.call_until(200, front, "POST", "/p/x", b"body")
            if sequence == 2:
                break
            for process in self.processes.values():
                process.kill()
                await process.wait()
            await self.start_members()
            await self.send_to_members(
                "/instances/i-2", odd_heartbeat, (200, 400)
            )
            await self.start("entry", "127.0.0.2")
        self.assertEqual(statuses, {400})
