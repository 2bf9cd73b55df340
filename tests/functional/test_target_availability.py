"""Targets that say in a response that they leave or want a pause."""

import asyncio
import re
import time

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.relay import adapters
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.relay import target_selection
from tests.functional import test_relay
from tests.lib import fake_target

BURST = 30
# Requests that a target may get from an entry within a pause it asked for,
# once the entry has had half a second to learn of it.
MAX_LATE_REQUESTS = 2
NOTICE_S = 0.5
PAUSE_S = 2.0


def make_handler(
    status: bytes, extra: bytes, delay_s: float = 0.0
) -> fake_target.RequestHandler:
    """Return a handler whose responses have a status and extra headers."""

    async def respond(target, request, writer) -> bool:  # type: ignore
        target.times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(delay_s)
        writer.write(fake_target.make_response(request, b"x", status, extra))
        return True

    return respond


REFUSED = b"503 Service Unavailable"
LEAVING = b"Server-Leaving: 1\r\n"
PAUSE = b"X-Not-Executed: 1\r\nRetry-After: %g\r\n" % PAUSE_S


class AvailabilityCase(test_relay.RelayCase):
    """Base of the tests: targets that record when requests arrive."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        # The loop's debug mode would take most of the time.
        asyncio.get_running_loop().set_debug(False)

    async def add_target(
        self, handler: fake_target.RequestHandler, name: str = ""
    ) -> fake_target.FakeTarget:
        target = await super().add_target(handler, name)
        target.times = []  # type: ignore[attr-defined]
        return target

    def announce(self, number: int, **changes: object) -> None:
        """Send a later announcement of a target."""
        fields: dict[str, object] = {
            "state": records.TargetState.READY,
            "sequence": 99,
            "started_at_ms": 1,
        }
        fields.update(changes)
        self.entry.registry.merge(
            records.TargetRecord(
                records.InstanceId(f"t{number}"),
                test_relay.SERVICE,
                self.targets[number - 1].address,
                "dc1",
                slots=4,
                **fields,  # type: ignore[arg-type]
            )
        )

    def count_requests(self, number: int) -> int:
        """Return how many requests a target has received."""
        return len(self.targets[number - 1].received)

    async def send_burst(self, kind: str = "idempotent") -> list[bytes]:
        """Send requests at the same time; return the responses."""
        return await asyncio.gather(
            *(self.send_request(kind) for _ in range(BURST))
        )


class TestLeaving(AvailabilityCase):
    """Responses with the header of a target that leaves."""

    async def test_target_gets_no_request_after_any_such_response(
        self,
    ) -> None:
        self.configure()
        for status in (b"200 OK", b"500 Error", REFUSED, b"421 Misdirected"):
            with self.subTest(status):
                self.entry.registry.targets.clear()
                self.entry.registry.table.by_id.clear()
                self.targets.clear()
                await self.add_target(make_handler(status, LEAVING))
                await self.send_request("once")
                await self.add_target(test_relay.respond_ok)
                await self.send_burst()
                self.assertEqual(self.count_requests(1), 1)

    async def test_stream_of_a_leaving_target_runs_on(self) -> None:
        async def stream(target, request, writer) -> bool:  # type: ignore
            head = fake_target.make_stream_response_head(request)
            writer.write(head.replace(b"200 OK\r\n", b"200 OK\r\n" + LEAVING))
            for number in (b"1", b"2", b"3"):
                event = b"id: " + number + b"\ndata: a\n\n"
                writer.write(fake_target.make_chunk(event))
                await writer.drain()
                await asyncio.sleep(0.02)
            writer.write(fake_target.make_chunk(b""))
            return True

        self.configure()
        await self.add_target(stream)
        response = await self.send_request("stream")
        self.assertIn(b"id: 3", response)
        self.assertTrue(response.endswith(b"0\r\n\r\n"), response)
        response = await self.send_request("stream")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertEqual(self.count_requests(1), 1)
        self.assertEqual(self.targets[0].open_connections, 0)

    async def test_only_a_new_incarnation_accepts_requests_again(
        self,
    ) -> None:
        self.configure()
        await self.add_target(make_handler(b"200 OK", LEAVING))
        await self.send_request("once")
        self.announce(1)
        await self.send_burst()
        self.assertEqual(self.count_requests(1), 1)
        later_ms = int(time.time() * 1000) + 1000
        self.announce(1, sequence=1, started_at_ms=later_ms)
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)

    async def test_agent_reports_that_its_engine_leaves(self) -> None:
        self.configure()
        await self.add_target(test_relay.respond_ok)
        update = messages.LoadUpdate(
            running=0,
            queued=0,
            kv_used=0,
            kv_total=0,
            adapter_slots=1,
            loaded={},
            loading={},
            slot_waits_s=[],
            can_load=True,
            leaving_started_at_ms=2,
        )
        address = self.targets[0].address
        self.entry.registry.update_agent_load(address, update, 0.0)
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.announce(1, started_at_ms=2)
        self.entry.registry.update_agent_load(address, update, 0.0)
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)


class TestPause(AvailabilityCase):
    """503 responses with Retry-After."""

    async def count_late_requests(self, handler_delay_s: float) -> int:
        """Send bursts through a pause; return the late requests."""
        self.configure()
        target = await self.add_target(
            make_handler(REFUSED, PAUSE, handler_delay_s), "t1"
        )
        times: list[float] = target.times  # type: ignore[attr-defined]
        while not times:
            await self.send_request("once")
        while self.get_now() < times[0] + PAUSE_S * 0.9:
            await self.send_burst()
            await asyncio.sleep(0.1)
        return sum(NOTICE_S < at - times[0] < PAUSE_S for at in times)

    @staticmethod
    def get_now() -> float:
        return asyncio.get_running_loop().time()

    async def test_target_alone_gets_nothing_in_its_pause(self) -> None:
        self.assertLessEqual(
            await self.count_late_requests(0.0), MAX_LATE_REQUESTS
        )

    async def test_target_beside_a_sound_one(self) -> None:
        await self.add_target(test_relay.respond_ok, "t2")
        late = await self.count_late_requests(0.0)
        self.assertLessEqual(late, MAX_LATE_REQUESTS)

    async def test_target_gets_requests_again_after_its_pause(self) -> None:
        self.configure()
        await self.add_target(make_handler(REFUSED, PAUSE))
        await self.send_request("once")
        for target in self.entry.registry.targets.values():
            target.availability.held_until = self.get_now()
        await self.send_request("once")
        self.assertEqual(self.count_requests(1), 2)

    async def test_callers_are_told_at_once_when_the_first_pause_ends(
        self,
    ) -> None:
        self.configure()
        for _ in range(2):
            await self.add_target(make_handler(REFUSED, PAUSE))
        await self.send_request("once")
        # The time of this process, so that others do not count.
        begun = time.process_time()
        responses = await self.send_burst("once")
        self.assertLess(time.process_time() - begun, NOTICE_S)
        delays = set()
        for response in responses:
            found = re.search(rb"Retry-After: ([\d.]+)", response)
            assert found is not None, response
            delays.add(float(found[1]))
        self.assertGreater(min(delays), PAUSE_S - NOTICE_S)
        self.assertGreater(len(delays), BURST / 2)

    async def test_pause_of_an_incarnation_that_is_announced_later(
        self,
    ) -> None:
        """Seed 9304 of the soak: the target had returned under its id."""
        self.configure()
        await self.add_target(make_handler(REFUSED, PAUSE))
        await self.send_request("once")
        started_at_ms = int(time.time() * 1000) - 500
        self.announce(1, started_at_ms=started_at_ms)
        await self.send_request("once")
        self.assertEqual(self.count_requests(1), 1)
        self.announce(1, started_at_ms=started_at_ms + 60_000)
        await self.send_request("once")
        self.assertEqual(self.count_requests(1), 2)

    async def test_503_without_proof_is_a_pause_and_may_have_run(
        self,
    ) -> None:
        self.configure()
        await self.add_target(make_handler(REFUSED, b"Retry-After: 2\r\n"))
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertEqual(self.count_requests(1), 1)

    async def test_invalid_value_changes_nothing(self) -> None:
        self.configure()
        await self.add_target(
            make_handler(REFUSED, PAUSE.replace(b"2", b"-2"))
        )
        await self.send_request("once")
        await self.send_request("once")
        self.assertEqual(self.count_requests(1), 2)


class TestPausedInstances(AvailabilityCase):
    """Engines that are paused together with their agents."""

    async def test_engine_whose_agent_is_silent_is_chosen_last(self) -> None:
        async def accept(reader, writer) -> None:  # type: ignore
            self.addCleanup(writer.transport.abort)
            await reader.read(1)
            update = messages.LoadUpdate(
                running=0,
                queued=0,
                kv_used=0,
                kv_total=0,
                adapter_slots=8,
                loaded={"m": ["a"]},
                loading={},
                slot_waits_s=[],
                can_load=True,
            )
            # It reports that it has the adapter, and is paused.
            writer.write(link.encode_frame(update))

        agent = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.addCleanup(agent.close)
        port = agent.sockets[0].getsockname()[1]
        self.entry.adapter_client.agent_port = port
        self.configure()
        await self.add_target(test_relay.respond_ok)
        self.announce(1, models=[records.LoadedModel("m", 1, {})])
        await self.add_target(test_relay.respond_ok)
        self.entry.connect_agents()
        async with asyncio.timeout(5.0):
            while not self.entry.registry.silent_addresses:
                await asyncio.sleep(0.01)
        response = await self.send_request(
            "once", extra=b"X-Model-Name: m/a\r\n"
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertEqual(self.count_requests(1), 0)


class TestWaitingRequests(AvailabilityCase):
    """Requests that wait for an adapter when the target withdraws."""

    async def check_chosen_anew(self, status: bytes, extra: bytes) -> None:
        """Check that a waiting request goes to another target at once."""

        async def acquire(address, call):  # type: ignore
            if address == self.targets[0].address:
                await asyncio.Event().wait()

        self.configure()
        self.entry.shared.adapter_client.acquire = acquire
        await self.add_target(make_handler(status, extra))
        self.set_loaded(1)
        await self.add_target(test_relay.respond_ok)
        self.get_target(2).in_flight = BURST
        waiting = asyncio.create_task(
            self.send_request("once", extra=b"X-Model-Name: m/a\r\n")
        )
        async with asyncio.timeout(5.0):
            while not self.get_target(1).availability.waits:
                await asyncio.sleep(0.01)
        await self.send_request("once")
        response = await waiting
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertEqual(self.count_requests(1), 1)

    def get_target(self, number: int) -> target_module.Target:
        """Return a target as the entry knows it."""
        return self.entry.registry.targets[records.InstanceId(f"t{number}")]

    def set_loaded(self, number: int) -> None:
        """Make a target an engine that has the adapter loaded."""
        self.get_target(number).engine = target_selection.EngineView(
            frozenset({"m/a"}), can_load=True
        )

    async def list_asked(self, loading: bool) -> list[int]:
        """Return the targets asked if the first one refuses once."""
        asked = []

        async def acquire(address, call):  # type: ignore
            asked.append(1 if address == self.targets[0].address else 2)
            if len(asked) == 1:
                return adapters.Grant(
                    False, 0, "late", 0.0, 1, None, loading=loading
                )

        self.configure()
        self.entry.shared.adapter_client.acquire = acquire
        await self.add_target(test_relay.respond_ok)
        self.set_loaded(1)
        await self.add_target(test_relay.respond_ok)
        self.get_target(2).engine = target_selection.EngineView(can_load=True)
        response = await self.send_request(
            "once", extra=b"X-Model-Name: m/a\r\n"
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        return asked

    async def test_engine_that_loads_the_adapter_is_asked_again(self) -> None:
        """Guards against a second fetch at another engine."""
        self.assertEqual(await self.list_asked(loading=True), [1, 1])

    async def test_engine_that_refuses_is_not_asked_again(self) -> None:
        self.assertEqual(await self.list_asked(loading=False), [1, 2])

    async def test_target_leaves(self) -> None:
        await self.check_chosen_anew(b"200 OK", LEAVING)

    async def test_target_asks_for_a_pause(self) -> None:
        await self.check_chosen_anew(REFUSED, PAUSE)
