"""Entries, control members and targets in one event loop."""

import asyncio
import collections.abc
import math
import pathlib
import socket
import tempfile
import unittest

from hemlockkeel._internal.coordinator import process as coordinator_process
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.relay import process as relay_process
from hemlockkeel._internal.routes import budget
from hemlockkeel._internal.routes import table
from hemlockkeel.platform import configuration
from hemlockkeel.platform import headers
from tests.lib import control_members
from tests.lib import ending_target
from tests.lib import logs
from tests.lib import ports
from tests.lib import shares

SERVICE = records.ServiceName("s")
# Longest wait for a condition; a test continues as soon as it holds.
WAIT_S = 20.0
HEARTBEAT_S = 1.2


class RelayFleetCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with several entries that real links connect."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.link_port = ports.find_free_port()
        self.api_port = ports.find_free_port()
        self.members: dict[int, coordinator_process.ControlProcess] = {}
        self.entries: list[relay_process.EntryProcess] = []
        self.targets: list[ending_target.EndingTarget] = []
        self.announced: list[records.TargetRecord] = []
        self.route_changes: dict[str, object] = {}
        # Services that the routes share their requests among.
        self.services = (SERVICE,)
        self.retry_limits = budget.RetryBudgetLimits(1.0, 10.0, 100.0)
        self.make_reserve_share = shares.WholeReserve
        self.strict_revoke = False
        self.revoke_s = 5.0

    async def asyncTearDown(self) -> None:
        for entry in self.entries:
            self.stop_entry(entry)
        for number in list(self.members):
            await self.stop_member(number)
        for target in self.targets:
            await target.stop()

    # Control members

    def get_link_address(self, number: int) -> str:
        """Return where a member accepts links."""
        return f"127.0.0.{number}:{self.link_port}"

    async def start_member(self, number: int) -> None:
        """Start a member that knows of no other one."""
        member = control_members.make_member(
            self.folder,
            number,
            (self.api_port, self.link_port),
            frozenset({self.get_link_address(number)}),
        )
        member.rate_limits.permits.rng.seed(number)
        await member.start()
        self.members[number] = member
        for record in self.announced:
            member.registry.merge_record(record)

    async def stop_member(self, number: int) -> None:
        await self.members.pop(number).stop()

    def announce(self, record: records.TargetRecord) -> None:
        """Send a target's announcement to every member."""
        self.announced.append(record)
        for member in self.members.values():
            member.registry.merge_record(record)

    # Entries

    async def start_entry(self, members: tuple[int, ...] = (1,)) -> int:
        """Start an entry with links to members; return its number."""
        settings = relay_process.EntrySettings(
            f"entry-{len(self.entries)}",
            "dc1",
            "127.0.0.1",
            0,
            0,
            frozenset(self.get_link_address(number) for number in members),
            1,
            HEARTBEAT_S,
            1.0,
            self.retry_limits,
            self.strict_revoke,
            self.revoke_s,
        )
        entry = relay_process.EntryProcess(
            settings,
            self.folder / "settings",
            lambda path: settings,
            headers.PlatformHeaderCodec(),
            configuration.JsonConfigurationCodec(),
            logs.make_log(),
        )
        for rng in (
            entry.crashes.memory.rng,
            entry.rate_limits.rng,
            entry.shared.rng,
        ):
            rng.seed(len(self.entries))
        entry.shared.reserve_share = self.make_reserve_share()
        # Targets announce themselves only when they start here.
        entry.registry.max_silence_s = math.inf
        entry.apply_configuration(self.make_configuration())
        await entry.start()
        self.entries.append(entry)
        await self.wait_for(
            lambda: len(entry.control_links.list_links()) == len(members)
        )
        await self.wait_for(
            lambda: len(entry.registry.targets) == len(self.targets)
        )
        return len(self.entries) - 1

    def make_configuration(self) -> table.Configuration:
        """Return a configuration with one route of each kind."""
        routes = []
        for kind in table.RouteKind:
            fields: dict[str, object] = {
                "name": kind.value,
                "host": "a.example",
                "prefix": f"/{kind.value}/",
                "kind": kind,
                "timeout_s": 5.0,
                "first_byte_slo_s": 0.3,
                "priority": 0,
                "shares": tuple(
                    table.TrafficShare(name, 1.0) for name in self.services
                ),
                "max_attempts": 1,
                "resumable": False,
            }
            fields.update(self.route_changes)
            routes.append(table.Route(**fields))
        return table.Configuration(
            1,
            routes,
            [table.Service(name, 500, None) for name in self.services],
            table.RequestLimits(4096, 100_000, 0.5, 5.0),
        )

    def stop_entry(self, entry: relay_process.EntryProcess) -> None:
        """End an entry as when its process is killed."""
        entry.housekeeping_task.cancel()
        entry.silence_task.cancel()
        if entry.shared.proofs is not None:
            entry.shared.proofs.stop()
        entry.control_links.set_addresses(set())
        entry.connection_watches.stop()
        entry.caller_listener.stop_listening()
        entry.ready_listener.stop_listening()
        for task in list(entry.caller_listener.connections.values()):
            task.cancel()

    async def cut_control_links(self, number: int) -> None:
        """Close an entry's links to the control members."""
        self.entries[number].control_links.set_addresses(set())
        await self.wait_for(
            lambda: not self.entries[number].control_links.list_links()
        )

    async def restore_control_links(self, number: int) -> None:
        """Connect an entry to the control members again."""
        entry = self.entries[number]
        entry.connect_control()
        await self.wait_for(entry.control_links.list_links)
        await self.settle()

    # Targets

    async def wait_until_identified(
        self, name: str, repeat: collections.abc.Callable[[], None]
    ) -> None:
        """Repeat a target's announcement until all entries identify it.

        Entries without control are left out.
        """
        for entry in self.entries:
            if not entry.control_links.list_links():
                continue
            known = entry.registry.targets[records.InstanceId(name)]
            async with asyncio.timeout(WAIT_S):
                while not known.identified:
                    repeat()
                    await asyncio.sleep(0.01)

    async def start_targets(
        self, count: int, mode: ending_target.EndMode, **changes: object
    ) -> None:
        """Start targets and wait until every entry knows them."""
        for _ in range(count):
            target = ending_target.EndingTarget(
                f"t{len(self.targets)}",
                SERVICE,
                mode,
                self.announce,
                **changes,  # type: ignore[arg-type]
            )
            self.targets.append(target)
            await target.start()
        for entry in self.entries:
            await self.wait_for(
                lambda entry=entry: (  # type: ignore[misc]
                    len(entry.registry.targets) == len(self.targets)
                )
            )

    def list_fatal_runs(self) -> list[float]:
        """Return when fatal requests began to run, in order."""
        return sorted(at for each in self.targets for at in each.fatal_runs)

    # Callers

    async def send(
        self,
        entry: int,
        path: str,
        body: bytes = b"",
        timeout_s: float = 5.0,
        leave_after_s: float | None = None,
        extra: str = "",
        request_id: str = "r1",
    ) -> bytes:
        """Send a request; return the response, or b"" if the caller left.

        A response that is reset is returned as far as it has arrived.

        ``extra`` are complete lines of its head.
        """
        server = self.entries[entry].caller_listener.server
        assert server is not None
        port = server.sockets[0].getsockname()[1]
        head = (
            f"POST /{path} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Request-Deadline: {int(timeout_s * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n{extra}"
            "Connection: close\r\n\r\n"
        )
        try:
            async with asyncio.timeout(leave_after_s or WAIT_S):
                return await exchange_bytes(
                    ("127.0.0.1", port), head.encode() + body
                )
        except TimeoutError:
            return b""

    async def settle(self) -> None:
        """Wait until the entries have probed and reported."""
        await self.wait_for(
            lambda: not any(entry.crashes.probes for entry in self.entries)
        )
        await asyncio.sleep(0.05)

    async def wait_for(self, check) -> None:  # type: ignore
        """Wait until a check returns a true value."""
        async with asyncio.timeout(WAIT_S):
            while not check():
                await asyncio.sleep(0.01)


async def exchange_bytes(address: tuple[str, int], sent: bytes) -> bytes:
    """Send bytes; return all that arrives until the close or a reset.

    A stream reader would drop what has arrived just before a reset.
    """
    loop = asyncio.get_running_loop()
    received = b""
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, address)
        try:
            await loop.sock_sendall(sock, sent)
            while data := await loop.sock_recv(sock, 65536):
                received += data
        except ConnectionError:
            return received
    return received
