"""Streams go on only at the software version that began them."""

import asyncio
import dataclasses
import re
import time

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.relay import adapters
from hemlockkeel._internal.relay import process
from hemlockkeel._internal.relay import target_registry
from hemlockkeel._internal.relay import target_selection
from tests.lib import relay_fleet
from tests.lib import streaming_target

OTHER_SERVICE = records.ServiceName("other")
EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]+)\n\n")
# The last event before a stream breaks off.
LAST = 2
# Time in which a caller must be told that a stream cannot go on.
TOLD_S = 0.5
# Least share of returning streams that go on.
MIN_RETURN_RATIO = 0.5
# Callers whose streams break off in one test.
CALLERS = 12
# Versions that are different, however alike.
SIMILAR_VERSIONS = ("v1", "v1.0", "V1", "v1 ", "v01", "1")


@dataclasses.dataclass
class Received:
    """What a caller has received of a stream in one response."""

    status: int
    ids: list[int]
    versions: set[str]
    complete: bool
    seconds: float
    head: bytes


def parse(raw: bytes, seconds: float) -> Received:
    """Return what a response contains."""
    status = int(raw[9:12]) if raw.startswith(b"HTTP/1.1 ") else 0
    events = EVENT.findall(raw)
    return Received(
        status,
        [int(number) for number, _ in events],
        {version.decode() for _, version in events},
        raw.endswith(b"\r\n0\r\n\r\n"),
        seconds,
        raw.partition(b"\r\n\r\n")[0],
    )


def get_versions(received: Received) -> frozenset[str]:
    """Return the versions that wrote a response."""
    return frozenset(received.versions)


def count_begun(entry: process.EntryProcess) -> int:
    """Return of how many streams an entry has forwarded events."""
    return len(entry.shared.origins.table.origins)


def is_known(
    registry: target_registry.TargetRegistry,
    target: streaming_target.StreamingTarget,
) -> bool:
    """Return whether an entry knows a target's incarnation as ready."""
    known = registry.targets.get(records.InstanceId(target.name))
    return (
        known is not None
        and known.record.started_at_ms == target.started_at_ms
        and known.record.state is records.TargetState.READY
    )


class StreamCase(relay_fleet.RelayFleetCase):
    """Base of the tests: three entries and two control members."""

    members_started = (1, 2)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.route_changes = {"resumable": True, "max_attempts": 3}
        for number in self.members_started:
            await self.start_member(number)
        for _ in range(3):
            await self.start_entry(self.members_started)

    async def start_entry(self, members: tuple[int, ...] = (1,)) -> int:
        number = await super().start_entry(members)
        for target in self.targets:
            if target.serving:
                await self.wait_until_identified(
                    target.name, target.send_announcement
                )
        return number

    async def add(
        self, version: str, service: records.ServiceName = relay_fleet.SERVICE
    ) -> streaming_target.StreamingTarget:
        """Start a target and wait until every entry knows it."""
        target = streaming_target.StreamingTarget(
            f"t{len(self.targets)}", service, version, self.announce
        )
        self.targets.append(target)
        await target.start()
        await self.wait_until_known(target)
        return target

    async def wait_until_known(
        self, target: streaming_target.StreamingTarget
    ) -> None:
        """Wait until every entry in touch knows a target's incarnation."""
        for entry in self.entries:
            await self.wait_for(
                lambda entry=entry: (  # type: ignore[misc]
                    not entry.control_links.list_links()
                    or is_known(entry.registry, target)
                )
            )
        await self.wait_until_identified(target.name, target.send_announcement)

    async def wait_until_gone(
        self, target: streaming_target.StreamingTarget
    ) -> None:
        """End a target and wait until every entry knows that."""
        await target.go()
        for entry in self.entries:
            known = entry.registry.targets[records.InstanceId(target.name)]
            await self.wait_for(
                lambda known=known: (  # type: ignore[misc]
                    known.record.state is records.TargetState.GONE
                )
            )

    async def call(
        self,
        entry: int,
        request_id: str,
        resumes: str = "",
        after: int = 0,
        extra: str = "",
    ) -> Received:
        """Ask for a stream, or for the rest of one after an event."""
        extra += f"Resumes: {resumes}\r\n" if resumes else ""
        extra += f"Last-Event-Id: {after}\r\n" if after else ""
        began_at = time.monotonic()
        raw = await self.send(
            entry,
            "stream/x",
            (resumes or request_id).encode(),
            extra=extra,
            request_id=request_id,
        )
        return parse(raw, time.monotonic() - began_at)

    async def begin(self, entry: int, request_id: str) -> Received:
        """Begin a stream that breaks off for its caller."""
        received = await self.call(entry, request_id)
        self.assertEqual(received.ids, list(range(1, LAST + 1)))
        self.assertFalse(received.complete)
        return received

    def set_break(self, after: int) -> None:
        """Let all targets break streams off after an event; 0 for none."""
        for target in self.targets:
            target.break_after = after

    def check_rest(self, first: Received, rest: Received) -> None:
        """Check that a response is the rest of a stream."""
        self.assertEqual(rest.status, 200, rest)
        self.assertTrue(rest.complete, rest)
        self.assertEqual(rest.versions, first.versions)
        begun = first.ids[-1]
        self.assertEqual(
            rest.ids, list(range(begun + 1, streaming_target.EVENT_COUNT + 1))
        )

    def check_told(self, received: Received) -> None:
        """Check that a caller was told at once that nothing goes on."""
        self.assertEqual(received.status, 503, received)
        self.assertLess(received.seconds, TOLD_S)


class TestEntryRetry(StreamCase):
    """Streams that an entry itself takes up at another target."""

    async def test_broken_stream_does_not_go_on_at_another_version(
        self,
    ) -> None:
        old = await self.add("v1")
        old.break_after = LAST
        old.released.clear()
        stream = asyncio.create_task(self.call(0, "r1"))
        await self.wait_for(lambda: old.paused)
        await self.add("v2")
        released_at = time.monotonic()
        old.released.set()
        received = await stream
        self.assertEqual(received.versions, {"v1"})
        self.assertEqual(received.ids, [1, 2])
        self.assertFalse(received.complete)
        self.assertLess(time.monotonic() - released_at, TOLD_S)

    async def test_broken_stream_goes_on_at_the_version_that_began_it(
        self,
    ) -> None:
        old = await self.add("v1")
        old.break_after = LAST
        old.released.clear()
        streams = [
            asyncio.create_task(self.call(0, f"r{n}")) for n in range(CALLERS)
        ]
        await self.wait_for(lambda: old.paused == CALLERS)
        for version in ("v2", "v1", "v3"):
            await self.add(version)
        old.released.set()
        for received in await asyncio.gather(*streams):
            self.assertEqual(received.versions, {"v1"})
            self.assertTrue(received.complete, received)

    async def test_three_attempts_keep_the_version(self) -> None:
        targets = [await self.add("v1") for _ in range(3)]
        for target in targets:
            target.released.clear()
            target.break_after = LAST
        stream = asyncio.create_task(self.call(0, "r1"))
        await self.wait_for(lambda: any(each.paused for each in targets))
        await self.add("v2")
        began = next(each for each in targets if each.paused)
        second, third = (each for each in targets if each is not began)
        second.break_after = third.break_after = LAST + 2
        began.released.set()
        await self.wait_for(lambda: second.paused or third.paused)
        if third.paused:
            second, third = third, second
        third.break_after = 0
        second.released.set()
        third.released.set()
        received = await stream
        self.assertEqual(received.versions, {"v1"})
        self.assertEqual(received.ids, [1, 2, 3, 4, 5, 6])

    async def test_target_back_with_another_version_gets_no_rest(self) -> None:
        targets = [await self.add("v1") for _ in range(2)]
        for target in targets:
            target.released.clear()
        stream = asyncio.create_task(self.call(0, "r1"))
        await self.wait_for(lambda: any(each.paused for each in targets))
        began = next(each for each in targets if each.paused)
        other = next(each for each in targets if each is not began)
        other.come_back("v2")
        await self.wait_until_known(other)
        other.released.set()
        began.server.abort_all()
        received = await stream
        self.assertEqual(received.versions, {"v1"})
        self.assertFalse(received.complete)


class TestCallerReturn(StreamCase):
    """Streams that their callers take up, at any entry."""

    async def add_two_versions(self) -> None:
        """Start two targets of each of two versions."""
        for version in ("v1", "v1", "v2", "v2"):
            await self.add(version)

    async def begin_streams(self, entry: int) -> list[Received]:
        """Begin streams that break off, at an entry."""
        self.route_changes["max_attempts"] = 1
        self.entries[entry].apply_configuration(self.make_configuration())
        self.set_break(LAST)
        begun = [await self.begin(entry, f"r{n}") for n in range(CALLERS)]
        self.set_break(0)
        self.assertEqual(len(set.union(*(b.versions for b in begun))), 2)
        return begun

    async def check_streams_go_on(
        self, entry: int, begun: list[Received]
    ) -> None:
        """Check that streams go on at an entry."""
        for number, first in enumerate(begun):
            rest = await self.call(entry, f"s{number}", f"r{number}", LAST)
            self.check_rest(first, rest)

    async def test_stream_goes_on_at_the_entry_that_began_it(self) -> None:
        await self.add_two_versions()
        await self.check_streams_go_on(0, await self.begin_streams(0))

    async def test_stream_goes_on_at_another_entry(self) -> None:
        await self.add_two_versions()
        await self.check_streams_go_on(1, await self.begin_streams(0))

    async def test_stream_of_an_ended_entry_goes_on(self) -> None:
        await self.add_two_versions()
        begun = await self.begin_streams(0)
        self.stop_entry(self.entries[0])
        await self.check_streams_go_on(1, begun)

    async def test_stream_goes_on_at_a_new_entry(self) -> None:
        await self.add_two_versions()
        begun = await self.begin_streams(0)
        self.stop_entry(self.entries[0])
        number = await self.start_entry(self.members_started)
        await self.check_streams_go_on(number, begun)

    async def test_stream_goes_on_after_a_control_member_restarts(
        self,
    ) -> None:
        await self.add_two_versions()
        begun = await self.begin_streams(0)
        for number in self.members_started:
            await self.stop_member(number)
            await self.start_member(number)
            await self.wait_for(
                lambda: all(
                    len(entry.control_links.list_links()) == 2
                    for entry in self.entries
                )
            )
            await self.settle()
        await self.check_streams_go_on(1, begun)

    async def test_stream_goes_on_without_control_where_it_began(
        self,
    ) -> None:
        await self.add_two_versions()
        begun = await self.begin_streams(0)
        await self.cut_control_links(0)
        await self.check_streams_go_on(0, begun)

    async def test_stream_begun_without_control_goes_on_later(self) -> None:
        await self.add_two_versions()
        await self.cut_control_links(0)
        begun = await self.begin_streams(0)
        await self.restore_control_links(0)
        await self.wait_for(
            lambda: len(self.entries[0].control_links.list_links()) == 2
        )
        await self.settle()
        await self.check_streams_go_on(1, begun)

    async def test_streams_of_a_crashed_target_go_on(self) -> None:
        self.route_changes["max_attempts"] = 1
        for entry in self.entries:
            entry.apply_configuration(self.make_configuration())
        crashed = await self.add("v1")
        crashed.released.clear()
        streams = [
            asyncio.create_task(self.call(number % 3, f"r{number}"))
            for number in range(CALLERS)
        ]
        await self.wait_for(lambda: crashed.paused == CALLERS)
        for version in ("v1", "v1", "v2", "v2"):
            await self.add(version)
        await crashed.stop()
        begun = await asyncio.gather(*streams)
        returned = await asyncio.gather(
            *(
                self.call((number + 1) % 3, f"s{number}", f"r{number}", LAST)
                for number in range(CALLERS)
            )
        )
        self.assertEqual({frozenset({"v1"})}, {*map(get_versions, begun)})
        went_on = [each for each in returned if each.complete and each.ids]
        self.assertEqual({frozenset({"v1"})}, {*map(get_versions, went_on)})
        self.assertGreaterEqual(len(went_on), MIN_RETURN_RATIO * CALLERS)

    async def test_third_attempt_goes_on_at_the_first_ones_version(
        self,
    ) -> None:
        await self.add_two_versions()
        for number, first in enumerate(await self.begin_streams(0)):
            name = f"r{number}"
            self.set_break(LAST + 2)
            self.route_changes["max_attempts"] = 1
            self.entries[1].apply_configuration(self.make_configuration())
            second = await self.call(1, f"s{number}", name, LAST)
            self.assertEqual(second.ids, [LAST + 1, LAST + 2])
            self.assertEqual(second.versions, first.versions)
            self.set_break(0)
            third = await self.call(2, f"q{number}", name, LAST + 2)
            self.check_rest(second, third)

    async def test_stream_goes_on_in_the_service_that_began_it(self) -> None:
        self.services = (relay_fleet.SERVICE, OTHER_SERVICE)
        for entry in self.entries:
            entry.apply_configuration(self.make_configuration())
        await self.add("v1")
        await self.add("v1", OTHER_SERVICE)
        self.route_changes["max_attempts"] = 1
        self.set_break(LAST)
        self.entries[0].apply_configuration(self.make_configuration())
        for number in range(CALLERS):
            await self.begin(0, f"r{number}")
        self.set_break(0)
        runs = [list(target.runs) for target in self.targets]
        for number in range(CALLERS):
            await self.call(1, f"s{number}", f"r{number}", LAST)
        for target, began in zip(self.targets, runs, strict=True):
            self.assertEqual(
                [name.replace("r", "s") for name in began],
                target.runs[len(began) :],
            )


class TestRefusedReturn(StreamCase):
    """Streams that can't go on, of which their callers are told at once."""

    async def begin_one(self, version: str) -> Received:
        """Begin a stream that breaks off, at the only target."""
        self.began_at = await self.add(version)
        self.began_at.break_after = LAST
        first = await self.begin(0, "r1")
        self.began_at.break_after = 0
        return first

    async def check_refused_everywhere(self) -> None:
        """Check that no entry takes the stream up, but new ones begin."""
        for entry in range(len(self.entries)):
            for attempt in range(4):
                name = f"s{entry}{attempt}"
                self.check_told(await self.call(entry, name, "r1", LAST))
            fresh = await self.call(entry, f"new{entry}")
            self.assertTrue(fresh.complete, fresh)

    async def test_version_that_is_gone(self) -> None:
        await self.begin_one("v1")
        await self.wait_until_gone(self.began_at)
        await self.add("v2")
        await self.check_refused_everywhere()

    async def test_versions_that_look_alike(self) -> None:
        for number, version in enumerate(SIMILAR_VERSIONS):
            self.began_at = await self.add(version)
            self.began_at.break_after = LAST
            await self.begin(0, f"r{number}")
            await self.wait_until_gone(self.began_at)
        await self.add("v2")
        for number in range(len(SIMILAR_VERSIONS)):
            await self.wait_until_gone(self.targets[-1])
            await self.add(SIMILAR_VERSIONS[number - 1])
            received = await self.call(1, f"s{number}", f"r{number}", LAST)
            self.check_told(received)

    async def test_target_back_under_its_id_with_another_version(
        self,
    ) -> None:
        await self.begin_one("v1")
        self.began_at.come_back("v2")
        await self.wait_until_known(self.began_at)
        await self.check_refused_everywhere()

    async def test_unknown_request_where_versions_differ(self) -> None:
        await self.add("v1")
        await self.add("v2")
        for entry in range(3):
            received = await self.call(entry, f"s{entry}", "nobody", LAST)
            self.check_told(received)
            received = await self.call(entry, f"q{entry}", "", LAST)
            self.check_told(received)
            fresh = await self.call(entry, f"new{entry}")
            self.assertTrue(fresh.complete, fresh)

    async def test_unknown_request_where_one_version_was_seen_too_shortly(
        self,
    ) -> None:
        await self.add("v1")
        self.check_told(await self.call(0, "s1", "nobody", LAST))

    async def test_unknown_request_where_another_version_served_lately(
        self,
    ) -> None:
        for entry in self.entries:
            entry.registry.contact_s += 100.0
        old = await self.add("v1")
        await self.wait_until_gone(old)
        await self.add("v2")
        for entry in range(3):
            received = await self.call(entry, f"s{entry}", "nobody", LAST)
            self.check_told(received)

    async def test_entry_that_can_ask_nobody(self) -> None:
        await self.begin_one("v1")
        await self.add("v2")
        await self.cut_control_links(1)
        for attempt in range(4):
            self.check_told(await self.call(1, f"s{attempt}", "r1", LAST))
        fresh = await self.call(1, "new")
        self.assertTrue(fresh.complete, fresh)

    async def test_route_that_has_moved_to_another_service(self) -> None:
        await self.begin_one("v1")
        self.services = (OTHER_SERVICE,)
        await self.add("v1", OTHER_SERVICE)
        for entry in self.entries:
            entry.apply_configuration(self.make_configuration())
        await self.check_refused_everywhere()


class TestStaleVersion(StreamCase):
    """Targets that come back with another version while a request waits."""

    async def wait_at(
        self, started_at_ms: int, announced: bool
    ) -> streaming_target.StreamingTarget:
        """Resume a stream at the only target, which comes back meanwhile.

        Its agent grants the adapter once the process has started that it
        reports. Returns the target.
        """
        target = await self.add("v1")
        self.set_break(LAST)
        await self.begin(0, "r1")
        self.set_break(0)
        entry = self.entries[1]
        waiting, released = asyncio.Event(), asyncio.Event()

        async def acquire(address, call):  # type: ignore
            waiting.set()
            await released.wait()
            return adapters.Grant(
                granted=True,
                version=0,
                reason="",
                expected_wait_s=0.0,
                call_id=1,
                peer=entry.control_links.list_links()[0],
                started_at_ms=started_at_ms,
            )

        entry.shared.adapter_client.acquire = acquire  # type: ignore
        known = entry.registry.targets[records.InstanceId(target.name)]
        known.engine = target_selection.EngineView(can_load=True)
        stream = asyncio.create_task(
            self.call(1, "s1", "r1", LAST, "X-Model-Name: m/a\r\n")
        )
        await waiting.wait()
        target.come_back("v2", announced)
        if announced:
            await self.wait_until_known(target)
        released.set()
        received = await stream
        self.assertEqual(received.status, 503, received)
        self.assertNotIn("s1", target.runs)
        return target

    async def test_request_is_not_sent_to_a_target_that_was_replaced(
        self,
    ) -> None:
        await self.wait_at(started_at_ms=0, announced=True)

    async def test_request_is_not_sent_to_a_start_that_is_not_announced(
        self,
    ) -> None:
        await self.wait_at(started_at_ms=2, announced=False)

    async def test_no_stream_runs_at_a_start_that_an_agent_reports(
        self,
    ) -> None:
        target = await self.add("v1")
        self.set_break(LAST)
        await self.begin(0, "r1")
        self.set_break(0)
        target.come_back("v2", announced=False)
        self.entries[1].registry.update_agent_load(
            target.server.address,
            messages.LoadUpdate(
                running=0,
                queued=0,
                kv_used=0,
                kv_total=0,
                adapter_slots=1,
                loaded={},
                loading={},
                slot_waits_s=[],
                can_load=True,
                started_at_ms=target.started_at_ms,
            ),
            asyncio.get_running_loop().time(),
        )
        self.check_told(await self.call(1, "s1", "r1", LAST))
        self.check_told(await self.call(1, "new"))
        self.assertEqual(target.runs, ["r1"])


class TestUnannouncedVersion(StreamCase):
    """Targets that are back with another version before they announce it."""

    async def add_two(self) -> None:
        """Start two targets whose streams are sent to one of them only."""
        for _ in range(2):
            await self.add("v1")
        self.route_changes["max_attempts"] = 1
        for entry in self.entries:
            entry.apply_configuration(self.make_configuration())

    async def begin_at_both(self) -> list[Received]:
        """Begin streams at two targets that break off, at an entry."""
        await self.add_two()
        self.set_break(LAST)
        begun = [await self.begin(0, f"r{n}") for n in range(CALLERS)]
        self.set_break(0)
        return begun

    async def come_back(
        self, target: streaming_target.StreamingTarget
    ) -> None:
        """Restart a target as another version that is not announced."""
        target.come_back("v2", announced=False)
        for entry in self.entries:
            known = entry.registry.targets[records.InstanceId(target.name)]
            await self.wait_for(
                lambda known=known: (  # type: ignore[misc]
                    not known.identified
                )
            )

    async def test_no_stream_goes_on_at_the_unannounced_version(self) -> None:
        begun = await self.begin_at_both()
        for target in self.targets:
            await self.come_back(target)
        for number in range(len(begun)):
            self.check_told(
                await self.call(1, f"s{number}", f"r{number}", LAST)
            )

    async def test_streams_go_on_at_the_other_target(self) -> None:
        begun = await self.begin_at_both()
        await self.come_back(self.targets[0])
        for number, first in enumerate(begun):
            rest = await self.call(1, f"s{number}", f"r{number}", LAST)
            self.check_rest(first, rest)

    async def test_stream_begun_unannounced_does_not_go_on_elsewhere(
        self,
    ) -> None:
        old = await self.add("v1")
        await self.come_back(old)
        old.break_after = LAST
        old.released.clear()
        stream = asyncio.create_task(self.call(0, "r1"))
        await self.wait_for(lambda: old.paused)
        await self.add("v1")
        old.released.set()
        received = await stream
        self.assertEqual(received.versions, {"v2"})
        for entry in range(3):
            self.check_told(await self.call(entry, f"s{entry}", "r1", LAST))

    async def test_stream_goes_on_once_its_target_is_identified(self) -> None:
        await self.add("v1")
        for entry in self.entries:
            for watch in entry.connection_watches.watches.values():
                watch.close_connections()
        self.set_break(LAST)
        first = await self.begin(0, "r1")
        self.set_break(0)
        await self.wait_until_known(self.targets[0])
        await self.settle()
        self.check_rest(first, await self.call(1, "s1", "r1", LAST))

    async def test_streams_broken_off_one_by_one_stay_resumable(self) -> None:
        await self.add_two()
        for number in range(CALLERS):
            self.set_break(LAST)
            first = await self.begin(number % 3, f"r{number}")
            self.set_break(0)
            rest = await self.call(
                (number + 1) % 3, f"s{number}", f"r{number}", LAST
            )
            self.check_rest(first, rest)


class TestEntryOutOfStep(StreamCase):
    """Guards against streams that an entry begins in a release it missed.

    It has been cut off while targets came back under their ids as another
    version, and is in touch again before their next announcements.
    """

    async def begin_streams(self) -> list[Received]:
        """Begin streams at the entry before it can identify the targets."""
        for version in ("v1", "v1", "v1"):
            await self.add(version)
        self.route_changes["max_attempts"] = 1
        self.entries[0].apply_configuration(self.make_configuration())
        await self.cut_control_links(0)
        for target in self.targets[:2]:
            target.come_back("v2")
        known = self.entries[0].registry.targets
        for target in self.targets[:2]:
            await self.wait_for(
                lambda target=target: (  # type: ignore[misc]
                    not known[records.InstanceId(target.name)].identified
                )
            )
        await self.wait_until_watched(self.entries[0])
        await self.restore_control_links(0)
        self.set_break(LAST)
        # An entry prefers targets that it knows; the others are needed, too.
        self.targets[2].server.abort_all()
        await self.targets[2].stop()
        begun = [await self.begin(0, f"r{n}") for n in range(CALLERS)]
        self.set_break(0)
        self.assertEqual({get_versions(b) for b in begun}, {frozenset({"v2"})})
        return begun

    async def wait_until_watched(self, entry: process.EntryProcess) -> None:
        """Wait until an entry is connected to the targets again."""
        await self.wait_for(
            lambda: all(
                watch.connections
                for watch in entry.connection_watches.watches.values()
            )
        )

    async def test_streams_go_on_once_the_targets_are_identified(self) -> None:
        begun = await self.begin_streams()
        for target in self.targets[:2]:
            await self.wait_until_identified(
                target.name, target.send_announcement
            )
        await self.settle()
        for number, first in enumerate(begun):
            rest = await self.call(1, f"s{number}", f"r{number}", LAST)
            self.check_rest(first, rest)

    async def test_caller_is_told_when_to_return_until_then(self) -> None:
        begun = await self.begin_streams()
        await self.settle()
        for number in range(len(begun)):
            received = await self.call(1, f"s{number}", f"r{number}", LAST)
            self.check_told(received)
            self.assertIn(b"Retry-After:", received.head)


class TestAllEntriesRestart(StreamCase):
    """Streams whose entries were killed all at once."""

    members_started = (1, 2, 3)
    # Streams may be resumed for twice as long. Callers wait longer.
    timeout_s = 0.4

    async def begin_one(self, entry: int, in_touch: bool = True) -> None:
        """Begin a stream at the only target, which another one replaces."""
        self.route_changes |= {"timeout_s": self.timeout_s}
        for each in self.entries:
            each.apply_configuration(self.make_configuration())
        began = await self.add("v1")
        began.break_after = LAST
        if not in_touch:
            await self.cut_control_links(entry)
        await self.begin(entry, "r1")
        await began.go()
        self.serving = await self.add("v2")

    async def restart_entries(self) -> list[int]:
        """Kill all entries and start others; return their numbers."""
        killed = len(self.entries)
        for entry in self.entries:
            self.stop_entry(entry)
        for _ in range(killed):
            await self.start_entry(self.members_started)
        return list(range(killed, 2 * killed))

    async def wait_for_contact(self, numbers: list[int]) -> None:
        """Wait until entries have seen all versions of a stream's lifetime."""
        for number in numbers:
            registry = self.entries[number].registry
            await self.wait_for(
                lambda registry=registry: (  # type: ignore[misc]
                    registry.contact_s > 2 * self.timeout_s
                )
            )
        self.serving.send_announcement()
        for number in numbers:
            record = self.entries[number].registry.targets[
                records.InstanceId(self.serving.name)
            ]
            await self.wait_for(
                lambda target=record: (  # type: ignore[misc]
                    target.record.sequence >= self.serving.sequence
                )
            )

    async def check_refused(self, numbers: list[int]) -> None:
        """Check that entries do not take the stream up."""
        for number in numbers:
            self.check_told(await self.call(number, f"s{number}", "r1", LAST))

    async def test_late_caller_gets_no_rest_of_another_version(self) -> None:
        await self.begin_one(0)
        numbers = await self.restart_entries()
        await self.wait_for_contact(numbers)
        await self.check_refused(numbers)

    async def test_restart_of_control_as_well_joins_no_versions(self) -> None:
        await self.begin_one(0)
        for number in self.members_started:
            await self.stop_member(number)
            await self.start_member(number)
        numbers = await self.restart_entries()
        await self.check_refused(numbers)
        await self.wait_for_contact(numbers)
        await self.check_refused(numbers)

    async def test_stream_of_an_entry_without_control_joins_no_versions(
        self,
    ) -> None:
        await self.begin_one(0, in_touch=False)
        await self.wait_for_contact([1, 2])
        self.stop_entry(self.entries[0])
        await self.check_refused([1, 2])

    async def test_members_that_know_nothing_do_not_decide(self) -> None:
        number = await self.start_entry((1,))
        await self.begin_one(number)
        self.stop_entry(self.entries.pop(number))
        await self.stop_member(1)
        await self.wait_for_contact([0, 1, 2])
        await self.check_refused([0, 1, 2])

    async def test_running_streams_go_on_at_their_version(self) -> None:
        for version in ("v1", "v1", "v2", "v2"):
            await self.add(version)
        for target in self.targets:
            target.released.clear()
        streams = [
            asyncio.create_task(self.call(number % 3, f"r{number}"))
            for number in range(CALLERS)
        ]
        await self.wait_for(
            lambda: sum(map(count_begun, self.entries)) == CALLERS
        )
        numbers = await self.restart_entries()
        begun = await asyncio.gather(*streams)
        self.assertEqual(len(set.union(*(b.versions for b in begun))), 2)
        for target in self.targets:
            target.released.set()
        for number, first in enumerate(begun):
            rest = await self.call(
                numbers[(number + 1) % 3],
                f"s{number}",
                f"r{number}",
                first.ids[-1],
            )
            self.check_rest(first, rest)


class TestSingleVersion(StreamCase):
    """Streams of a service that has had one version only."""

    async def test_unknown_request_is_refused(self) -> None:
        for entry in self.entries:
            entry.registry.contact_s += 100.0
        await self.add("v1")
        await self.add("v1")
        for entry in range(3):
            for name in ("nobody", ""):
                rest = await self.call(entry, f"s{entry}", name, LAST)
                self.check_told(rest)
