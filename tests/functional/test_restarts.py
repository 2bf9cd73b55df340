"""What control members and entries know after a restart."""

import asyncio
import json

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import messages
from tests.functional import test_coordinator
from tests.lib import logs

TARGET = records.InstanceId("i-1")
# Time in which an older configuration would arrive.
OBSERVED_S = 1.0


class RestartCase(test_coordinator.CoordinatorCase):
    """Base of the tests: three members."""

    async def announce(self, number: int, **changes: object) -> None:
        """Announce the target until that is acknowledged."""
        body = json.dumps({**test_coordinator.HEARTBEAT, **changes}).encode()
        await self.call_until(200, number, "PUT", "/instances/i-1", body)

    async def withdraw(self, number: int) -> None:
        """Withdraw the target until that is acknowledged."""
        await self.call_until(200, number, "DELETE", "/instances/i-1", b"")

    async def restart(self, number: int, disk: str = "") -> None:
        """Restart a member with its disk or another one."""
        if number in self.members:
            await self.stop(number)
        await self.start(number, bootstrap=not disk, disk=disk)

    async def connect_entry(
        self, numbers: tuple[int, ...]
    ) -> test_coordinator.Subscriber:
        """Return what an entry learns that has just started."""
        subscriber = test_coordinator.Subscriber()
        hello = messages.Hello(role="entry", name="e", data_centre="dc9")
        links = dialer.DialerSet(hello, subscriber, logs.make_log())
        links.set_addresses(
            {f"127.0.0.{number}:{self.link_port}" for number in numbers}
        )
        self.addCleanup(links.set_addresses, set())
        await self.wait_for(lambda: len(links.list_links()) == len(numbers))
        return subscriber

    async def wait_for_links(self, number: int) -> None:
        """Wait until a member has contact to both others."""
        member = self.members[number]
        await self.wait_for(
            lambda: (
                len(member.peers.list_links()) == 2
                and member.node.has_quorum_contact(1.0)
            )
        )

    def get_state(self, number: int) -> records.TargetState | None:
        """Return what a member knows of the target."""
        known = self.members[number].registry.table.by_id.get(TARGET)
        return None if known is None else known.state


class TestTargets(RestartCase):
    """Guards against new work for a target that had left."""

    async def check(self, number: int) -> None:
        """Check that a late announcement at a member changes nothing."""
        await self.wait_for_links(number)
        await self.announce(number)
        self.assertIsNot(self.get_state(number), records.TargetState.READY)
        entry = await self.connect_entry((number,))
        await self.wait_for(lambda: TARGET in entry.records)
        self.assertIsNot(
            entry.records[TARGET].state, records.TargetState.READY
        )

    async def test_member_that_restarts_with_its_disk(self) -> None:
        await self.put(1, 5)
        await self.announce(2)
        await self.withdraw(2)
        await self.restart(3)
        await self.check(3)

    async def test_member_that_restarts_with_an_empty_disk(self) -> None:
        await self.put(1, 5)
        await self.announce(2, sequence=2)
        await self.withdraw(1)
        await self.restart(3, "empty")
        await self.check(3)

    async def test_members_that_restart_one_after_another(self) -> None:
        await self.put(1, 5)
        await self.announce(1)
        await self.announce(1, state="draining", sequence=2)
        for number in (1, 2, 3):
            await self.restart(number)
            await self.wait_for_links(number)
            await self.wait_for(
                lambda number=number: self.get_state(number)  # type: ignore
            )
        for number in (1, 2, 3):
            await self.check(number)

    async def test_member_that_was_cut_off(self) -> None:
        """It learns later of a withdrawal that only the others confirmed."""
        await self.put(1, 5)
        await self.announce(1)
        await self.announce(3)
        address = f"127.0.0.3:{self.link_port}"
        for number in (1, 2):
            peers = self.members[number].peers
            peers.set_addresses(set(peers.dialers) - {address})
        await self.withdraw(1)
        self.assertIs(self.get_state(3), records.TargetState.READY)
        for number in (1, 2):
            self.members[number].update_peer_addresses()
        await self.wait_for(
            lambda: self.get_state(3) is records.TargetState.GONE
        )

    async def test_new_start_outlives_what_is_told_of_the_old_one(
        self,
    ) -> None:
        await self.put(1, 5)
        await self.announce(2)
        await self.withdraw(2)
        await self.announce(3, born=9)
        for number in (1, 2):
            await self.restart(number)
            await self.wait_for_links(number)
        await asyncio.sleep(OBSERVED_S)
        self.assertIs(self.get_state(3), records.TargetState.READY)


class TestConfigurations(RestartCase):
    """Guards against a withdrawn configuration that comes back."""

    async def check(self, disk: str) -> None:
        """Check what a late member tells entries that have just started."""
        await self.put(1, 5)
        await self.stop(3)
        await self.put(1, 6)
        await self.restart(3, disk)
        entry = await self.connect_entry((3,))
        await self.wait_for(lambda: entry.versions)
        await asyncio.sleep(OBSERVED_S)
        self.assertEqual(entry.versions, [6])
        self.assertEqual(await self.read(3), 6)

    async def test_member_with_an_old_disk(self) -> None:
        await self.check("")

    async def test_member_with_an_empty_disk(self) -> None:
        await self.check("empty")

    async def test_entry_that_restarts_while_all_members_do(self) -> None:
        await self.put(1, 5)
        await self.stop(3)
        await self.put(1, 6)
        for number in (1, 2):
            await self.stop(number)
        for number in (3, 1, 2):
            await self.start(number, bootstrap=True)
        entry = await self.connect_entry((1, 2, 3))
        await self.wait_for(lambda: entry.versions)
        await asyncio.sleep(OBSERVED_S)
        self.assertEqual(entry.versions, [6])
