"""Control members whose disks take long for each sync."""

import asyncio
import collections.abc
import pathlib
import tempfile
import time
import unittest
import unittest.mock

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.coordinator import process
from hemlockkeel._internal.routes import catalogue
from tests.lib import control_members
from tests.lib import ports

SYNC_S = 0.15
# About as many bytes as 1,400 routes have.
BODY = b"x" * 215_000
CHANGES = 60
INTERVAL_S = 0.06
# Time in which a change of 1,400 routes must be acknowledged.
ACKNOWLEDGE_S = 4.0 + 0.003 * 1400
WAIT_S = 20.0


class TestSlowSyncs(unittest.IsolatedAsyncioTestCase):
    """Guards against leaders that change because their disks are busy."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        link_port = ports.find_free_port()
        api_port = ports.find_free_port()
        seeds = frozenset(f"127.0.0.{n}:{link_port}" for n in (1, 2, 3))
        self.members = [
            control_members.make_member(
                pathlib.Path(folder.name),
                number,
                (api_port, link_port),
                seeds,
            )
            for number in (1, 2, 3)
        ]
        for member in self.members:
            await member.start()
            self.addAsyncCleanup(member.stop)
        await self.wait_for(lambda: self.find_leader() is not None)

    def find_leader(self) -> process.ControlProcess | None:
        """Return the leader, or None if there is none."""
        for member in self.members:
            if member.node.core.state is core.State.LEADER:
                return member
        return None

    def slow_down_disks(self) -> None:
        """Let each sync of each member take long."""
        for member in self.members:
            disk = member.node.storage.disk
            for name in ("sync", "sync_folder"):
                patch = unittest.mock.patch.object(
                    disk, name, make_slow(getattr(disk, name))
                )
                patch.start()
                self.addCleanup(patch.stop)

    async def wait_for(
        self, check: collections.abc.Callable[[], object]
    ) -> None:
        """Wait until a check returns a true value."""
        async with asyncio.timeout(WAIT_S):
            while not check():
                await asyncio.sleep(0.01)

    async def change(self, member: process.ControlProcess, n: int) -> float:
        """Send a change until it is acknowledged; return how long it took."""
        began_at = time.monotonic()
        command = catalogue.PutConfiguration(n, BODY)
        async with asyncio.timeout(WAIT_S):
            while await member.replicated_state.propose(command) is None:
                await asyncio.sleep(0.1)
        return time.monotonic() - began_at

    async def test_leader_stays_while_logs_are_compacted(self) -> None:
        leader = self.find_leader()
        assert leader is not None
        self.slow_down_disks()
        term = leader.node.core.term
        changes = []
        for number in range(1, CHANGES + 1):
            changes.append(
                asyncio.create_task(
                    self.change(self.members[number % 3], number)
                )
            )
            await asyncio.sleep(INTERVAL_S)
        longest_s = max(await asyncio.gather(*changes))
        self.assertEqual(leader.node.core.term, term)
        self.assertLess(longest_s, ACKNOWLEDGE_S)


def make_slow(
    call: collections.abc.Callable[..., None],
) -> collections.abc.Callable[..., None]:
    """Return a call that takes longer."""

    def call_slowly(*arguments: str) -> None:
        time.sleep(SYNC_S)
        call(*arguments)

    return call_slowly
