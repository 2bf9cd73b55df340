"""Control members with real sockets and disks in one process."""

import asyncio
import http.client
import json
import pathlib
import tempfile
import threading
import unittest
import unittest.mock

import msgspec

from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.coordinator import api
from hemlockkeel._internal.coordinator import process
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import configurations
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.routes import table
from hemlockkeel.platform import configuration
from tests.lib import control_members
from tests.lib import logs
from tests.lib import ports

# Longest wait for a condition; a test continues as soon as it holds.
WAIT_S = 20.0
HEARTBEAT = {
    "service": "s",
    "version": "v1",
    "address": "10.0.0.9:8080",
    "zone": "dc1",
    "state": "ready",
    "sequence": 1,
    "born": 5,
}


def make_body(version: int, size: int = 0) -> bytes:
    """Return a configuration without routes, padded to a size in bytes."""
    body = {"version": version, "routes": [], "services": []}
    return json.dumps(body).encode().ljust(size)


class Subscriber(dialer.Listener):
    """Collects the updates that an entry receives."""

    def __init__(self) -> None:
        self.records: dict[str, records.TargetRecord] = {}
        self.versions: list[int] = []
        self.receiver = configurations.ConfigurationReceiver(
            configuration.JsonConfigurationCodec(),
            logs.make_log(),
            self.note,
        )

    def note(self, changed: table.Configuration) -> None:
        self.versions.append(changed.version)

    def on_connected(self, address: str, peer: link.Link) -> None:
        return

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        self.receiver.handle_message(peer, message)
        if isinstance(message, messages.RecordsUpdate):
            for record in message.records:
                self.records[record.instance_id] = record

    def on_disconnected(self, address: str) -> None:
        return


class CoordinatorCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with three members, each on its own loopback address."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.link_port = ports.find_free_port()
        self.api_port = ports.find_free_port()
        self.seeds = frozenset(
            f"127.0.0.{number}:{self.link_port}" for number in (1, 2, 3)
        )
        self.members: dict[int, process.ControlProcess] = {}
        for number in (1, 2, 3):
            await self.start(number, bootstrap=True)

    async def asyncTearDown(self) -> None:
        for number in list(self.members):
            await self.stop(number)

    async def start(
        self, number: int, bootstrap: bool, disk: str = ""
    ) -> process.ControlProcess:
        """Start a member at 127.0.0.NUMBER, with its own disk or another."""
        member = control_members.make_member(
            self.folder,
            number,
            (self.api_port, self.link_port),
            self.seeds,
            bootstrap,
            disk,
        )
        await member.start()
        self.members[number] = member
        return member

    async def stop(self, number: int) -> None:
        """Stop a member and keep its disk."""
        await self.members.pop(number).stop()

    async def call(
        self, number: int, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Call a member as an operator or a target does."""

        def run() -> tuple[int, bytes]:
            connection = http.client.HTTPConnection(
                f"127.0.0.{number}", self.api_port, timeout=5.0
            )
            try:
                connection.request(method, path, body)
                response = connection.getresponse()
                return response.status, response.read()
            finally:
                connection.close()

        return await asyncio.to_thread(run)

    async def call_until(
        self, status: int, number: int, method: str, path: str, body: bytes
    ) -> bytes:
        """Repeat a call until the response has a status; return its body."""
        async with asyncio.timeout(WAIT_S):
            while True:
                got, content = await self.call(number, method, path, body)
                if got == status:
                    return content
                await asyncio.sleep(0.05)

    async def put(self, number: int, version: int, size: int = 0) -> None:
        """Send a configuration until it is acknowledged."""
        await self.call_until(
            200, number, "PUT", "/config", make_body(version, size)
        )

    async def read(self, number: int) -> int:
        """Return the configuration version that a member reads."""
        body = await self.call_until(200, number, "GET", "/config", b"")
        return int(json.loads(body)["version"])

    def get_leader(self) -> int:
        """Return the number of the leader; 0 if there is none."""
        for number, member in self.members.items():
            if member.node.has_lease():
                return number
        return 0

    async def wait_for(self, check) -> None:  # type: ignore
        """Wait until a check returns a true value."""
        async with asyncio.timeout(WAIT_S):
            while not check():
                await asyncio.sleep(0.02)


class TestConfiguration(CoordinatorCase):
    """Changing and reading the configuration at any member."""

    async def test_all_members_read_the_highest_version(
        self,
    ) -> None:
        await self.put(1, 5)
        await self.put(2, 4)
        await self.put(3, 5)
        for number in (1, 2, 3):
            self.assertEqual(await self.read(number), 5)

    async def test_invalid_change_is_refused(self) -> None:
        await self.put(1, 5)
        status, _ = await self.call(2, "PUT", "/config", b'{"version": 9')
        self.assertEqual(status, 400)
        self.assertEqual(await self.read(3), 5)

    async def test_larger_configuration_than_members_exchange_is_refused(
        self,
    ) -> None:
        """Accepted, it closes the links between members again and again."""
        await self.put(1, 5)
        body = make_body(6, table.MAX_CONFIGURATION_BYTES + 1)
        for number in (1, 2, 3):
            status, _ = await self.call(number, "PUT", "/config", body)
            self.assertEqual(status, 413)

    async def test_largest_configuration_is_read_at_all_members(self) -> None:
        for number in (1, 2, 3):
            await self.put(number, number, table.MAX_CONFIGURATION_BYTES)
        for number in (1, 2, 3):
            self.assertEqual(await self.read(number), 3)
            await self.stop(number)
            await self.start(number, bootstrap=False)
            self.assertEqual(await self.read(number), 3)

    async def test_large_configuration_does_not_block_the_event_loop(
        self,
    ) -> None:
        """Heartbeats wait while it is decoded, and elections begin."""
        await self.put(1, 5)
        codec = self.members[1].call_codec
        decode = codec.decode
        begun, answered = threading.Event(), threading.Event()
        in_time: list[bool] = []

        def decode_slowly(method: str, path: str, body: bytes) -> api.Call:
            if body:
                begun.set()
                in_time.append(answered.wait(WAIT_S / 10))
            return decode(method, path, body)

        with unittest.mock.patch.object(codec, "decode", decode_slowly):
            change = asyncio.create_task(self.put(1, 6, 1024 * 1024))
            await self.wait_for(begun.is_set)
            await self.read(1)
            answered.set()
            await change
        self.assertEqual([True], in_time)

    async def test_callers_that_leave_do_not_let_decodings_add_up(
        self,
    ) -> None:
        """Each takes many times the memory of its body."""
        member = self.members[1]
        decode = member.call_codec.decode
        may_end = threading.Event()
        self.addCleanup(may_end.set)
        running: list[bool] = []

        def decode_later(method: str, path: str, body: bytes) -> api.Call:
            running.append(True)
            may_end.wait(WAIT_S)
            return decode(method, path, body)

        request = caller.CallerRequest(
            b"PUT",
            b"/config",
            [],
            make_body(1, process.MAX_LOOP_DECODED_BYTES + 1),
            0.0,
            b"1.1",
        )
        with unittest.mock.patch.object(
            member.call_codec, "decode", decode_later
        ):
            first = asyncio.create_task(member.decode_call("PUT", request))
            await self.wait_for(lambda: running)
            first.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await first
            second = asyncio.create_task(member.decode_call("PUT", request))
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await self.wait_for(lambda: len(running) > 1)
            may_end.set()
            self.assertIsInstance(await second, api.PutConfiguration)

    async def test_changes_survive_a_leader_but_need_a_majority(self) -> None:
        await self.put(1, 5)
        await self.wait_for(self.get_leader)
        await self.stop(self.get_leader())
        remaining = list(self.members)
        await self.put(remaining[0], 6)
        self.assertEqual(await self.read(remaining[1]), 6)
        await self.stop(remaining[0])
        await self.wait_for(lambda: not self.get_leader())
        for method, body in (("GET", b""), ("PUT", make_body(7))):
            status, _ = await self.call(remaining[1], method, "/config", body)
            self.assertEqual(status, 503)

    async def test_acknowledged_change_survives_a_restart_of_all(
        self,
    ) -> None:
        await self.put(1, 5)
        for number in (1, 2, 3):
            await self.stop(number)
        for number in (1, 2, 3):
            await self.start(number, bootstrap=False)
        self.assertEqual(await self.read(2), 5)

    async def test_caller_that_leaves_before_its_change_is_committed(
        self,
    ) -> None:
        """The consensus thread of the leader ended with its future."""
        await self.put(1, 5)
        await self.wait_for(self.get_leader)
        number = self.get_leader()
        leader = self.members[number].node
        may_store = threading.Event()
        for follower in set(self.members) - {number}:
            self.delay_writes(self.members[follower].node, may_store)
        _, writer = await asyncio.open_connection(
            f"127.0.0.{number}", self.api_port
        )
        body = make_body(6)
        writer.write(
            b"PUT /config HTTP/1.1\r\nHost: core\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        await self.wait_for(lambda: leader.pending)
        ((_, proposal),) = leader.pending.values()
        writer.transport.abort()
        await self.wait_for(lambda: not self.members[number].api.connections)
        # Other callers may wait for it, too.
        self.assertFalse(proposal.future.cancelled())
        proposal.future.cancel()
        may_store.set()
        await self.wait_for(lambda: not leader.pending)
        await self.put(number, 7)
        self.assertTrue(leader.thread.is_alive())

    def delay_writes(
        self, member: node.Node, may_store: threading.Event
    ) -> None:
        """Let a member store entries only once it may."""
        write = member.storage.write_and_sync

        def write_later(data: bytes) -> None:
            may_store.wait(WAIT_S)
            write(data)

        patch = unittest.mock.patch.object(
            member.storage, "write_and_sync", write_later
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def test_command_that_cannot_be_decoded_is_not_committed(
        self,
    ) -> None:
        await self.put(1, 5)
        await self.wait_for(self.get_leader)
        leader = self.members[self.get_leader()]
        unknown = msgspec.msgpack.encode({"type": "Newer"})
        for data in (b"", b"\xff", unknown, msgspec.msgpack.encode(5)):
            outcome = await leader.replicated_state.propose_local(data)
            self.assertFalse(outcome.done)
        await self.put(2, 7)
        for number in self.members:
            self.assertEqual(await self.read(number), 7)


class TestMembers(CoordinatorCase):
    """Replacement of members without an operator."""

    def is_replaced(self, joined: str) -> bool:
        """Return whether there are three members and a new one votes."""
        leader = self.get_leader()
        if not leader:
            return False
        membership = self.members[leader].catalogue.membership
        return joined in membership.voters and len(membership.peers) == 3

    async def check_replaced(
        self, gone: int, number: int, disk: str, version: int = 5
    ) -> None:
        await self.put(1, version)
        await self.stop(gone)
        await self.start(number, bootstrap=False, disk=disk)
        joined = self.members[number].node.member_id
        await self.wait_for(lambda: self.is_replaced(joined))
        survivor = ({1, 2, 3} - {gone}).pop()
        await self.stop(survivor)
        self.assertEqual(await self.read(number), version)

    async def test_new_member_at_another_address(self) -> None:
        await self.check_replaced(3, 4, "new")

    async def test_member_with_a_lost_disk_at_the_same_address(self) -> None:
        await self.check_replaced(3, 3, "blank")

    async def test_member_that_lacks_more_than_one_frame_of_the_log(
        self,
    ) -> None:
        """Its link closes on each frame that is too long."""
        for version in range(10, 20):
            await self.put(1, version, link.MAX_FRAME_BYTES // 8)
        await self.check_replaced(3, 3, "blank", 20)

    async def check_loss_after_planned_replacement(self, leads: bool) -> None:
        """Stop a member whose successor votes, and then lose another one."""
        await self.put(1, 5)
        joined = await self.start(4, bootstrap=False)
        await self.wait_for(
            lambda: len(joined.catalogue.membership.voters) == 4
        )
        await self.wait_for(self.get_leader)
        leader = self.get_leader()
        others = [number for number in self.members if number != leader]
        gone, lost = (leader, others[0]) if leads else others[:2]
        await self.stop(gone)
        await self.stop(lost)
        writer, reader = self.members
        await self.put(writer, 6)
        self.assertEqual(await self.read(reader), 6)

    async def kill(self, number: int) -> None:
        """End a member without letting it leave the cluster."""
        member = self.members[number]
        with unittest.mock.patch.object(
            member, "leave_cluster", unittest.mock.AsyncMock()
        ):
            await self.stop(number)

    async def check_lost_disk_beside_a_killed_member(
        self, leads: bool
    ) -> None:
        """Kill a member whose successor votes, and another one at once.

        The second starts again with an empty disk. No majority was left.
        """
        await self.put(1, 5)
        joined = await self.start(4, bootstrap=False)
        await self.wait_for(
            lambda: len(joined.catalogue.membership.voters) == 4
        )
        await self.wait_for(self.get_leader)
        leader = self.get_leader()
        others = [number for number in self.members if number != leader]
        gone, lost = (leader, others[0]) if leads else (others[0], leader)
        await self.put(others[2], 6)
        await self.kill(gone)
        await self.kill(lost)
        back = await self.start(lost, bootstrap=False, disk="blank")
        await self.put(others[2], 7)
        self.assertEqual(await self.read(others[2]), 7)
        await self.wait_for(lambda: self.is_replaced(back.node.member_id))

    async def test_member_joins_a_leader_that_its_settings_do_not_name(
        self,
    ) -> None:
        """It was never added, and the next lost disk ended the majority."""
        await self.put(1, 5)
        leads = await self.start(4, bootstrap=False)
        await self.wait_for(
            lambda: len(leads.catalogue.membership.voters) == 4
        )
        while self.get_leader() != 4:
            await self.wait_for(self.get_leader)
            number = self.get_leader()
            if number != 4:
                await self.kill(number)
                await self.wait_for(self.get_leader)
                await self.start(number, bootstrap=False)
        await self.kill(2)
        back = await self.start(2, bootstrap=False, disk="blank")
        await self.wait_for(
            lambda: back.node.member_id in back.node.membership.voters
        )

    async def test_member_joins_though_its_settings_name_nobody_else(
        self,
    ) -> None:
        """It was never added if all whom its settings name were replaced."""
        await self.put(1, 5)
        for gone in (1, 2):
            await self.replace(gone, gone + 3)
        await self.kill(3)
        self.seeds = frozenset(
            f"127.0.0.{number}:{self.link_port}" for number in (1, 2, 3)
        )
        back = await self.start(3, bootstrap=False, disk="blank")
        await self.wait_for(
            lambda: back.node.member_id in back.node.membership.voters
        )

    async def test_disk_lost_right_after_a_leader_was_killed(self) -> None:
        await self.check_lost_disk_beside_a_killed_member(leads=True)

    async def test_disk_of_a_leader_lost_after_a_member_was_killed(
        self,
    ) -> None:
        await self.check_lost_disk_beside_a_killed_member(leads=False)

    async def test_disk_lost_right_after_a_replaced_member_ended(self) -> None:
        await self.check_loss_after_planned_replacement(leads=False)

    async def test_disk_lost_right_after_a_replaced_leader_ended(self) -> None:
        await self.check_loss_after_planned_replacement(leads=True)

    async def test_disk_lost_after_two_members_were_replaced(self) -> None:
        """Those that had ended stayed voters of an odd number for good."""
        await self.put(1, 5)
        for number in (4, 5):
            joined = await self.start(number, bootstrap=False)
            await self.wait_for(
                lambda count=number, joined=joined: (
                    len(joined.catalogue.membership.voters) == count
                )
            )
        for number in (3, 2):
            await self.stop(number)
        await self.put(4, 6)
        await self.stop(1)
        self.seeds = frozenset(
            member.settings.link_address for member in self.members.values()
        )
        back = await self.start(1, bootstrap=False, disk="blank")
        self.assertEqual(await self.read(5), 6)
        await self.wait_for(lambda: self.is_replaced(back.node.member_id))

    async def test_leader_is_told_that_its_removal_is_committed(self) -> None:
        """Otherwise it asks until its time to leave has passed."""
        await self.put(1, 5)
        joined = await self.start(4, bootstrap=False)
        await self.wait_for(
            lambda: len(joined.catalogue.membership.voters) == 4
        )
        await self.wait_for(self.get_leader)
        leader = self.members[self.get_leader()]
        left = await leader.request_removal(
            messages.Join(
                member_id=leader.node.member_id,
                address=leader.settings.link_address,
                leaving=True,
            )
        )
        self.assertTrue(left)

    async def test_member_that_left_votes_again_after_its_start(self) -> None:
        """Of four members, one that ends leaves the cluster."""
        await self.put(1, 5)
        joined = await self.start(4, bootstrap=False)
        await self.wait_for(
            lambda: len(joined.catalogue.membership.voters) == 4
        )
        for gone in (4, 2, 1):
            await self.stop(gone)
            await self.put(3, 10 - gone)
            back = await self.start(gone, bootstrap=False)
            await self.wait_for(
                lambda back=back: len(back.node.membership.voters) == 4
            )

    async def replace(self, gone: int, number: int) -> None:
        """Replace a member by a new one at another address."""
        await self.stop(gone)
        self.seeds = frozenset(
            member.settings.link_address for member in self.members.values()
        )
        member = await self.start(number, bootstrap=False)
        await self.wait_for(lambda: self.is_replaced(member.node.member_id))

    async def test_members_without_a_common_seed_find_each_other(
        self,
    ) -> None:
        """All were replaced, but settings name those of the start."""
        await self.put(1, 5)
        seeds = self.seeds
        for gone in (1, 2, 3):
            await self.replace(gone, gone + 3)
        for number in (4, 5, 6):
            await self.stop(number)
        self.seeds = seeds
        for number in (4, 5):
            await self.start(number, bootstrap=False)
        self.assertEqual(await self.read(4), 5)

    async def test_restarted_member_stays(self) -> None:
        await self.put(1, 5)
        before = self.members[1].node.core.membership
        await self.stop(2)
        await self.put(1, 6)
        self.assertEqual(self.members[1].node.core.membership, before)


class TestTargets(CoordinatorCase):
    """Announcements of targets and their distribution."""

    async def announce(self, number: int, **changes: object) -> int:
        body = json.dumps({**HEARTBEAT, **changes}).encode()
        status, _ = await self.call(number, "PUT", "/instances/i-1", body)
        return status

    async def announce_until_acknowledged(
        self, number: int, **changes: object
    ) -> None:
        """Repeat an announcement, as targets do while there is no majority."""
        body = json.dumps({**HEARTBEAT, **changes}).encode()
        await self.call_until(200, number, "PUT", "/instances/i-1", body)

    async def withdraw_until_acknowledged(self, number: int) -> None:
        """Repeat a withdrawal, as targets do while there is no majority."""
        await self.call_until(200, number, "DELETE", "/instances/i-1", b"")

    async def test_entries_receive_records_and_configurations(self) -> None:
        await self.put(1, 5)
        subscriber = Subscriber()
        hello = messages.Hello(role="entry", name="e", data_centre="dc9")
        links = dialer.DialerSet(hello, subscriber, logs.make_log())
        links.set_addresses(set(self.seeds))
        self.addCleanup(links.set_addresses, set())
        await self.wait_for(lambda: len(links.list_links()) == 3)
        await self.announce_until_acknowledged(2)
        await self.wait_for(lambda: "i-1" in subscriber.records)
        await self.announce_until_acknowledged(3, state="draining", sequence=2)
        # The acknowledgement means that a majority of the members has
        # received the record and sends it to entries.
        await self.wait_for(
            lambda: (
                subscriber.records["i-1"].state is records.TargetState.LEAVING
            )
        )
        await self.put(2, 8)
        await self.wait_for(lambda: subscriber.versions[-1:] == [8])
        self.assertEqual(subscriber.versions, sorted(set(subscriber.versions)))

    async def test_record_that_cannot_be_encoded_is_not_merged(self) -> None:
        await self.put(1, 5)
        await self.announce_until_acknowledged(1)
        member = self.members[1]
        odd = msgspec.structs.replace(
            member.registry.table.by_id[records.InstanceId("i-1")],
            instance_id=records.InstanceId("i-2"),
            software_version="\ud800",
        )
        with unittest.mock.patch.object(
            member.call_codec, "decode", return_value=api.Announce(odd)
        ):
            self.assertEqual(await self.announce(1), 400)
        self.assertEqual(list(member.registry.table.by_id), ["i-1"])

    async def test_entry_connects_although_records_exceed_a_frame(
        self,
    ) -> None:
        """The link of each entry that connects would be closed again."""
        await self.put(1, 5)
        zone = "z" * (link.MAX_FRAME_BYTES // 4)
        for number in range(5):
            body = json.dumps({**HEARTBEAT, "zone": zone}).encode()
            path = f"/instances/i-{number}"
            await self.call_until(200, 1, "PUT", path, body)
        known = await self.follow_targets()
        await self.wait_for(lambda: len(known.by_id) == 5)

    async def test_entry_is_configured_although_versions_exceed_a_frame(
        self,
    ) -> None:
        """The link of each entry that connects would be closed again."""
        for number in range(5):
            name = str(number) + "a" * (link.MAX_FRAME_BYTES // 4)
            body = json.dumps({"model": "m", "adapter": name, "version": 1})
            await self.call_until(
                200, 1, "POST", "/version-put", body.encode()
            )
        await self.put(1, 5)
        subscriber = Subscriber()
        hello = messages.Hello(role="entry", name="e", data_centre="dc9")
        links = dialer.DialerSet(hello, subscriber, logs.make_log())
        links.set_addresses(set(self.seeds))
        self.addCleanup(links.set_addresses, set())
        await self.wait_for(lambda: subscriber.versions == [5])
        await self.put(1, 6)
        await self.wait_for(lambda: subscriber.versions == [5, 6])

    async def follow_targets(self) -> records.TargetTable:
        """Return a table that gets what all members tell entries."""
        known = records.TargetTable(expire_after_s=60.0)

        class Merging(Subscriber):
            def on_message(
                self,
                address: str,
                peer: link.Link,
                message: messages.AnyMessage,
            ) -> None:
                if isinstance(message, messages.RecordsUpdate):
                    for record in message.records:
                        known.merge(record, 0.0)

        hello = messages.Hello(role="entry", name="e", data_centre="dc9")
        links = dialer.DialerSet(hello, Merging(), logs.make_log())
        links.set_addresses(set(self.seeds))
        self.addCleanup(links.set_addresses, set())
        await self.wait_for(lambda: len(links.list_links()) == 3)
        return known

    async def test_withdrawal_at_a_member_that_does_not_know_the_target(
        self,
    ) -> None:
        """Entries that know the target from another member learn of it too."""
        await self.put(1, 5)
        known = await self.follow_targets()
        await self.announce_until_acknowledged(2)
        await self.wait_for(lambda: "i-1" in known.by_id)
        await self.withdraw_until_acknowledged(3)
        await self.wait_for(
            lambda: known.by_id["i-1"].state is records.TargetState.GONE
        )

    async def test_withdrawal_at_a_member_that_knows_an_earlier_start(
        self,
    ) -> None:
        await self.put(1, 5)
        known = await self.follow_targets()
        await self.announce_until_acknowledged(2)
        await self.announce_until_acknowledged(3, born=9)
        await self.wait_for(
            lambda: (
                "i-1" in known.by_id and known.by_id["i-1"].started_at_ms == 9
            )
        )
        await self.withdraw_until_acknowledged(2)
        await self.wait_for(
            lambda: known.by_id["i-1"].state is records.TargetState.GONE
        )
        self.assertEqual(known.by_id["i-1"].started_at_ms, 9)

    async def test_leaving_is_acknowledged_only_with_a_majority(self) -> None:
        await self.put(1, 5)
        await self.announce_until_acknowledged(3)
        await self.stop(1)
        await self.stop(2)
        status = await self.announce(3, state="draining", sequence=2)
        self.assertEqual(status, 503)
