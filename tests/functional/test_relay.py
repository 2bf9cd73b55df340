"""Tests of an entry between callers and targets, on real sockets."""

import asyncio
import pathlib
import socket
import tempfile
import unittest
from unittest import mock

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import process
from hemlockkeel._internal.routes import budget
from hemlockkeel._internal.routes import table
from hemlockkeel.platform import configuration
from hemlockkeel.platform import headers
from tests.lib import fake_target
from tests.lib import logs
from tests.lib import shares

SERVICE = records.ServiceName("s")


def make_route(kind: table.RouteKind, **changes: object) -> table.Route:
    """Return a route for everything under the kind's name."""
    fields: dict[str, object] = {
        "name": kind.value,
        "host": "a.example",
        "prefix": f"/{kind.value}/",
        "kind": kind,
        "timeout_s": 2.0,
        "first_byte_slo_s": 0.3,
        "priority": 0,
        "shares": (table.TrafficShare(SERVICE, 1.0),),
        "max_attempts": 2,
        "resumable": False,
    }
    fields.update(changes)
    return table.Route(**fields)


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """An entry with fake targets; no control members."""

    resumable = False

    async def asyncSetUp(self) -> None:
        self.log = logs.make_log()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = process.EntrySettings(
            "entry",
            "dc1",
            "127.0.0.1",
            0,
            0,
            frozenset(),
            1,
            1.2,
            1.0,
            budget.RetryBudgetLimits(1.0, 10.0, 100.0),
        )
        self.entry = process.EntryProcess(
            settings,
            pathlib.Path(folder.name) / "settings",
            lambda path: settings,
            headers.PlatformHeaderCodec(),
            configuration.JsonConfigurationCodec(),
            self.log,
        )
        self.entry.shared.reserve_share = shares.WholeReserve()
        # Targets announce themselves once, by which none is identified.
        unwatched = mock.patch.object(self.entry.connection_watches, "update")
        unwatched.start()
        self.addCleanup(unwatched.stop)
        await self.entry.start()
        self.addCleanup(self.entry.housekeeping_task.cancel)
        self.addCleanup(self.entry.silence_task.cancel)
        server = self.entry.caller_listener.server
        self.port = server.sockets[0].getsockname()[1]
        self.targets: list[fake_target.FakeTarget] = []

    async def asyncTearDown(self) -> None:
        for target in self.targets:
            await target.stop()
        self.entry.caller_listener.stop_listening()
        self.entry.ready_listener.stop_listening()
        for task in list(self.entry.caller_listener.connections.values()):
            task.cancel()

    def configure(self, **changes: object) -> None:
        """Put a configuration with one route of each kind in force."""
        routes = [make_route(kind, **changes) for kind in table.RouteKind]
        self.entry.apply_configuration(
            table.Configuration(
                1,
                routes,
                [table.Service(SERVICE, 50, None)],
                table.RequestLimits(4096, 100_000, 0.5, 5.0),
            )
        )

    async def add_target(
        self, handler: fake_target.RequestHandler, name: str = ""
    ) -> fake_target.FakeTarget:
        """Start a target and announce it."""
        target = fake_target.FakeTarget(handler)
        await target.start()
        self.targets.append(target)
        self.entry.registry.merge(
            records.TargetRecord(
                records.InstanceId(name or f"t{len(self.targets)}"),
                SERVICE,
                target.address,
                "dc1",
                records.TargetState.READY,
                sequence=1,
                started_at_ms=1,
                slots=4,
            )
        )
        return target

    async def send_bytes(self, raw: bytes) -> bytes:
        """Send bytes; return everything received until the close."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(raw)
        try:
            async with asyncio.timeout(5.0):
                return await reader.read()
        finally:
            writer.transport.abort()

    async def send_request(
        self, kind: str, body: bytes = b"", extra: bytes = b""
    ) -> bytes:
        """Send one request that asks for a close after its response."""
        head = (
            f"POST /{kind}/x?q=1 HTTP/1.1\r\nHost: a.example\r\n"
            "X-Request-Id: r1\r\nX-Request-Deadline: 1500\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n"
        ).encode()
        return await self.send_bytes(head + extra + b"\r\n" + body)


async def respond_ok(
    target: fake_target.FakeTarget,
    request: fake_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond 200 with the request's body."""
    writer.write(fake_target.make_response(request, b"got " + request.body))
    return True


async def refuse(
    target: fake_target.FakeTarget,
    request: fake_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond 503 and state that the request did not run."""
    writer.write(
        fake_target.make_response(
            request,
            b"",
            b"503 Service Unavailable",
            b"X-Not-Executed: 1\r\n",
            sealed=False,
        )
    )
    return True


async def reset(
    target: fake_target.FakeTarget,
    request: fake_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Close without a response."""
    return False


async def fail(
    target: fake_target.FakeTarget,
    request: fake_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Respond 500."""
    writer.write(
        fake_target.make_response(request, b"no", b"500 Internal Server Error")
    )
    return True


async def truncate(
    target: fake_target.FakeTarget,
    request: fake_target.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> bool:
    """Close in the middle of the body."""
    writer.write(fake_target.make_response(request, b"0123456789")[:-5])
    await writer.drain()
    return False


class TestForward(RelayCase):
    """One request and its response."""

    async def test_forwards_request_and_response_unchanged(self) -> None:
        self.configure()
        target = await self.add_target(respond_ok)
        response = await self.send_request("once", b"body", b"X-Other: y\r\n")
        self.assertTrue(response.startswith(b"HTTP/1.1 200 OK"), response)
        self.assertIn(b"X-Response-Seal: s", response)
        self.assertTrue(response.endswith(b"got body"))
        request = target.received[0]
        self.assertEqual(request.target, b"/once/x?q=1")
        self.assertEqual(request.headers[b"x-other"], b"y")
        self.assertEqual(request.headers[b"x-expect-instance"], b"t1")
        left = int(request.headers[b"x-request-deadline"])
        self.assertTrue(1000 < left <= 1500, left)

    async def test_callers_cannot_set_platform_headers(self) -> None:
        self.configure()
        target = await self.add_target(respond_ok)
        await self.send_request(
            "once", b"", b"X-Request-Hold: h\r\nKv-From: 1.2.3.4:5/x\r\n"
        )
        self.assertNotIn(b"x-request-hold", target.received[0].headers)
        self.assertNotIn(b"kv-from", target.received[0].headers)

    async def test_connection_header_cannot_remove_the_request_id(
        self,
    ) -> None:
        self.configure()
        target = await self.add_target(respond_ok)
        await self.send_request("once", b"", b"Connection: X-Request-Id\r\n")
        self.assertEqual(target.received[0].headers[b"x-request-id"], b"r1")

    async def test_no_route_is_404_and_no_configuration_503(self) -> None:
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertIn(b"Retry-After:", response)
        self.configure()
        response = await self.send_request("elsewhere")
        self.assertTrue(response.startswith(b"HTTP/1.1 404"), response)

    async def test_invalid_numbers_in_headers_do_not_prevent_a_response(
        self,
    ) -> None:
        self.configure()
        invalid = b"\xb2", b"9" * 400

        async def respond(
            target: fake_target.FakeTarget,
            request: fake_target.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> bool:
            digits = request.headers[b"x-prompt-prefix"][2:]
            extra = b"X-Server-Load: 1,0,%s\r\nKeep-Alive: timeout=%s\r\n"
            extra %= digits, digits
            writer.write(fake_target.make_response(request, b"", extra=extra))
            return True

        await self.add_target(respond)
        for digits in invalid:
            for name in (b"X-Token-Usage: %s,1", b"X-Request-Deadline: %s"):
                extra = (name + b"\r\nX-Prompt-Prefix: a:%s\r\n") % (
                    digits,
                    digits,
                )
                with self.subTest(extra[:60]):
                    response = await self.send_request("once", b"", extra)
                    self.assertTrue(
                        response.startswith(b"HTTP/1.1 200"), response
                    )

    async def test_target_with_an_impossible_port_is_refused_by_503(
        self,
    ) -> None:
        self.configure()
        target = await self.add_target(respond_ok)
        pool = self.entry.registry.targets[records.InstanceId("t1")].pool
        pool.address = "127.0.0.1:99999"
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertEqual(target.received, [])

    async def test_chunked_request_body(self) -> None:
        self.configure()
        target = await self.add_target(respond_ok)
        await self.send_bytes(
            b"POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(target.received[0].body, b"abcde")


class TestRetries(RelayCase):
    """Which requests are retried, and when 503 may be returned."""

    async def test_idempotent_request_is_retried_at_another_target(
        self,
    ) -> None:
        self.configure()
        for handler in (reset, fail, truncate, refuse):
            with self.subTest(handler.__name__):
                self.entry.registry.targets.clear()
                self.entry.registry.table.by_id.clear()
                first = await self.add_target(handler, "t1")
                self.entry.registry.targets[
                    records.InstanceId("t1")
                ].update_load(headers.read_load("0,0,4"), 0.0)
                second = await self.add_target(respond_ok, "t2")
                # Make the second target look busy, so that the first one is
                # tried first.
                self.entry.registry.targets[
                    records.InstanceId("t2")
                ].in_flight = 50
                response = await self.send_request("idempotent")
                self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
                self.assertEqual(len(first.received), 1)
                self.assertEqual(len(second.received), 1)

    async def test_non_idempotent_request_is_not_retried_after_a_failure(
        self,
    ) -> None:
        self.configure()
        for handler, status in (
            (reset, b"502"),
            (truncate, b"502"),
            (fail, b"500"),
        ):
            with self.subTest(handler.__name__):
                for target in self.targets:
                    target.received.clear()
                self.entry.registry.targets.clear()
                self.entry.registry.table.by_id.clear()
                first = await self.add_target(handler, "t1")
                second = await self.add_target(handler, "t2")
                response = await self.send_request("once")
                self.assertTrue(
                    response.startswith(b"HTTP/1.1 " + status), response
                )
                self.assertEqual(len(first.received) + len(second.received), 1)

    async def test_refusal_by_all_targets_gives_503(self) -> None:
        self.configure()
        await self.add_target(refuse)
        await self.add_target(refuse)
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertIn(b"Retry-After:", response)
        self.assertNotIn(b"X-Response-Seal", response)

    async def test_attempts_limit_the_number_of_targets(self) -> None:
        self.configure(max_attempts=1)
        targets = [await self.add_target(refuse) for _ in range(3)]
        await self.send_request("once")
        self.assertEqual(sum(len(t.received) for t in targets), 1)

    async def test_503_without_proof_is_not_forwarded(self) -> None:
        async def bare(target, request, writer) -> bool:  # type: ignore
            writer.write(
                fake_target.make_response(request, b"", b"503 Unavailable")
            )
            return True

        self.configure()
        await self.add_target(bare)
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)

    async def test_unsealed_success_is_not_forwarded(self) -> None:
        async def bare(target, request, writer) -> bool:  # type: ignore
            writer.write(
                fake_target.make_response(request, b"x", sealed=False)
            )
            return True

        self.configure()
        await self.add_target(bare)
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)

    async def test_unreachable_target_does_not_count_as_an_attempt(
        self,
    ) -> None:
        self.configure(max_attempts=1)
        unreachable = await self.add_target(respond_ok, "t1")
        await unreachable.stop()
        unreachable.server.close()
        await unreachable.server.wait_closed()
        await self.add_target(respond_ok, "t2")
        self.entry.registry.targets[records.InstanceId("t2")].in_flight = 50
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)

    async def test_unresponsive_target_gives_504_at_the_deadline(self) -> None:
        async def silent(target, request, writer) -> bool:  # type: ignore
            await asyncio.Event().wait()
            return False

        self.configure(timeout_s=0.2)
        await self.add_target(silent)
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 504"), response)


class TestCrashes(RelayCase):
    """A request that crashes the targets that run it."""

    async def crash(self, target, request, writer) -> bool:  # type: ignore
        target.server.close()
        return False

    async def send_crashing_request(self) -> bytes:
        """Send the request and wait for the probe of the target."""
        response = await self.send_request("once", b"poison")
        while self.entry.crashes.probes:
            await asyncio.sleep(0)
        return response

    async def test_request_is_refused_after_three_crashes(self) -> None:
        self.configure(max_attempts=1)
        for number in range(4):
            await self.add_target(self.crash, f"t{number}")
        for _ in range(3):
            response = await self.send_crashing_request()
            self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)
        response = await self.send_request("once", b"poison")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertEqual(sum(len(t.received) for t in self.targets), 3)

    async def test_success_clears_the_suspicion(self) -> None:
        self.configure(max_attempts=1)
        for number in range(2):
            await self.add_target(self.crash, f"t{number}")
        for _ in range(2):
            await self.send_crashing_request()
        self.assertTrue(self.entry.crashes.ledger.by_trait)
        await self.add_target(respond_ok, "sound")
        response = await self.send_request("once", b"poison")
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.assertFalse(self.entry.crashes.ledger.by_trait)

    async def test_reset_without_a_crash_raises_no_suspicion(self) -> None:
        self.configure(max_attempts=1)
        await self.add_target(reset)
        for _ in range(4):
            await self.send_crashing_request()
        self.assertFalse(self.entry.crashes.ledger.by_trait)


class TestConnectionReuse(RelayCase):
    """Reuse of connections that a target may have closed."""

    async def test_non_idempotent_request_reuses_only_recent_connections(
        self,
    ) -> None:
        self.configure()
        await self.add_target(respond_ok)
        await self.send_request("once")
        (target,) = self.entry.registry.targets.values()
        (connection,) = target.pool.idle
        now = asyncio.get_running_loop().time()
        connection.idle_since = now - 1.5
        self.assertIsNone(target.pool.acquire_idle(now, False, "r2"))
        await self.send_request("idempotent")
        (connection,) = target.pool.idle
        connection.idle_since = now - 1.5
        self.assertIs(target.pool.acquire_idle(now, True, "r2"), connection)

    async def test_keepalive_finds_a_dead_peer_before_callers_leave(
        self,
    ) -> None:
        """The kernel detects an instance that freezes or is cut off.

        In one bench run, streams of a frozen instance went on after their
        callers had left at 3.2 s.
        """
        target = fake_target.FakeTarget(self.never_respond)
        await target.start()
        self.addAsyncCleanup(target.stop)
        connection = await exchange.connect(target.address)
        self.addCleanup(connection.abort)
        transport = connection.channel.transport
        assert transport is not None
        sock = transport.get_extra_info("socket")
        level = socket.IPPROTO_TCP
        idle_s = sock.getsockopt(level, socket.TCP_KEEPIDLE)
        silent_ms = sock.getsockopt(level, socket.TCP_USER_TIMEOUT)
        self.assertTrue(
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        )
        # Callers leave a stream that has been silent for 3.2 s.
        self.assertLess(max(idle_s * 1000, silent_ms), 3200)

    async def never_respond(
        self,
        target: fake_target.FakeTarget,
        request: fake_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Leave a request without a response."""
        return False


class TestMismatchedResponses(RelayCase):
    """Responses that belong to another request."""

    async def test_response_to_an_earlier_request_is_skipped(self) -> None:
        async def twice(target, request, writer) -> bool:  # type: ignore
            if len(target.received) == 2:
                earlier_response = fake_target.make_response(
                    target.received[0], b"old"
                )
                writer.write(earlier_response)
            writer.write(fake_target.make_response(request, b"new"))
            return True

        self.configure()
        await self.add_target(twice)
        await self.send_request("once")
        head = (
            b"POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r2\r\nContent-Length: 0\r\n"
            b"Connection: close\r\n\r\n"
        )
        response = await self.send_bytes(head)
        self.assertIn(b"X-Request-Id: r2", response)
        self.assertTrue(response.endswith(b"new"), response)

    async def test_surplus_response_closes_the_connection(self) -> None:
        async def surplus(target, request, writer) -> bool:  # type: ignore
            response = fake_target.make_response(request, b"one")
            writer.write(response + fake_target.make_response(request, b"two"))
            return True

        self.configure()
        await self.add_target(surplus)
        for _ in range(2):
            response = await self.send_request("once")
            self.assertTrue(response.endswith(b"one"), response)


class TestStreams(RelayCase):
    """Event streams."""

    @staticmethod
    def make_handler(
        first: int, last: int, complete: bool, partial: bytes = b""
    ) -> fake_target.RequestHandler:
        async def handler(target, request, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_stream_response_head(request))
            for number in range(first, last + 1):
                event = f"id: {number}\ndata: {number}\n\n".encode()
                writer.write(fake_target.make_chunk(event))
            if partial:
                writer.write(fake_target.make_chunk(partial))
            if complete:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            return complete

        return handler

    async def test_complete_stream(self) -> None:
        self.configure()
        await self.add_target(self.make_handler(1, 3, True))
        response = await self.send_request("stream")
        self.assertTrue(response.endswith(b"0\r\n\r\n"), response)
        self.assertEqual(response.count(b"data:"), 3)

    async def test_truncated_stream_does_not_look_complete(self) -> None:
        self.configure()
        targets = [
            await self.add_target(self.make_handler(1, 3, False, b"id: 4\nda"))
            for _ in range(2)
        ]
        try:
            response = await self.send_request("stream")
        except ConnectionResetError:
            response = b""
        self.assertFalse(response.endswith(b"0\r\n\r\n"), response)
        self.assertNotIn(b"id: 4", response)
        self.assertEqual(sum(len(t.received) for t in targets), 1)

    async def test_stream_lost_before_its_first_event_is_not_retried(
        self,
    ) -> None:
        self.configure()
        targets = [await self.add_target(reset) for _ in range(2)]
        response = await self.send_request("stream")
        self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)
        self.assertEqual(sum(len(t.received) for t in targets), 1)

    async def test_resumable_stream_continues_at_another_target(self) -> None:
        self.configure(resumable=True)
        first = await self.add_target(
            self.make_handler(1, 3, False, b"id: 4\nda"), "t1"
        )
        second = await self.add_target(self.make_handler(4, 6, True), "t2")
        self.entry.registry.targets[records.InstanceId("t2")].in_flight = 50
        response = await self.send_request("stream")
        self.assertEqual(len(first.received), 1)
        resumed = second.received[0].headers
        self.assertEqual(resumed[b"last-event-id"], b"3")
        self.assertTrue(response.endswith(b"0\r\n\r\n"), response)
        for number in range(1, 7):
            line = f"data: {number}\n".encode()
            self.assertEqual(response.count(line), 1, number)

    async def test_request_is_cancelled_when_the_caller_disconnects(
        self,
    ) -> None:
        async def endless(target, request, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_stream_response_head(request))
            writer.write(fake_target.make_chunk(b"id: 1\ndata: 1\n\n"))
            await asyncio.Event().wait()
            return False

        self.configure()
        target = await self.add_target(endless)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            b"POST /stream/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        await reader.readuntil(b"data: 1\n\n")
        (used,) = self.entry.registry.targets.values()
        self.assertEqual(used.in_flight, 1)
        writer.transport.abort()
        async with asyncio.timeout(2.0):
            while used.in_flight:
                await asyncio.sleep(0)
        self.assertEqual(used.pool.in_use, 0)
        del target


class TestUnexpectedErrors(RelayCase):
    """Errors in the entry's own code while it handles a request."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.entry.on_unhandled_error)
        self.configure()
        self.target = await self.add_target(
            TestStreams.make_handler(1, 3, True)
        )

    async def send_with_error(
        self, owner: object, name: str, kind: str = "stream"
    ) -> bytes:
        """Send a request for which a function raises an error."""
        with mock.patch.object(owner, name, side_effect=RuntimeError("odd")):
            response = await self.send_request(kind)
        events = [event for event, _ in self.log.lines]
        self.assertIn("unhandled_fault", events)
        self.assertIn(
            b'hemlockkeel_events_total{name="unhandled_fault"} 1.0',
            self.entry.instruments.render(),
        )
        response_after = await self.send_request("stream")
        self.assertTrue(response_after.endswith(b"0\r\n\r\n"))
        return response

    async def test_error_before_sending_is_a_refusal(self) -> None:
        registry = self.entry.shared.registry
        response = await self.send_with_error(registry, "list_candidates")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertIn(b"Retry-After:", response)
        self.assertEqual(len(self.target.received), 1)

    async def test_error_after_sending_promises_nothing(self) -> None:
        response = await self.send_with_error(
            self.entry.shared.codec, "read_response"
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 500"), response)

    async def test_error_before_the_request_is_known_is_answered(self) -> None:
        response = await self.send_with_error(
            self.entry.shared.codec, "read_request"
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 500"), response)

    async def test_error_during_a_stream_does_not_complete_it(self) -> None:
        response = await self.send_with_error(
            caller.CallerConnection, "send_data"
        )
        self.assertFalse(response.endswith(b"0\r\n\r\n"), response)

    async def test_connection_serves_requests_after_an_error(self) -> None:
        registry = self.entry.shared.registry
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.transport.abort)
        request = (
            b"POST /stream/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        with mock.patch.object(
            registry, "list_candidates", side_effect=RuntimeError("odd")
        ):
            writer.write(request)
            async with asyncio.timeout(5.0):
                await reader.readuntil(b"internal error\n")
        writer.write(request)
        async with asyncio.timeout(5.0):
            await reader.readuntil(b"0\r\n\r\n")


class TestLimits(RelayCase):
    """Limits on the requests of callers."""

    async def check(self, raw: bytes, status: bytes) -> None:
        response = await self.send_bytes(raw)
        self.assertTrue(response.startswith(b"HTTP/1.1 " + status), response)

    async def test_malformed_and_oversized_requests(self) -> None:
        self.configure()
        target = await self.add_target(respond_ok)
        host = b"Host: a.example\r\nX-Request-Id: r\r\n"
        await self.check(b"nonsense\r\n\r\n", b"400")
        await self.check(
            b"POST /once/x HTTP/1.1\r\n"
            + host
            + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n\r\n",
            b"400",
        )
        await self.check(
            b"POST /once/x HTTP/1.1\r\n"
            + host
            + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            b"400",
        )
        await self.check(
            b"GET /once/x HTTP/1.1\r\n"
            + host
            + b"X-Big: "
            + b"a" * 5000
            + b"\r\n\r\n",
            b"431",
        )
        await self.check(
            b"POST /once/x HTTP/1.1\r\n"
            + host
            + b"Content-Length: 200000\r\n\r\n",
            b"413",
        )
        await self.check(b"GET /once/x HTTP/1.1\r\nHost", b"408")
        self.assertEqual(target.received, [])


class TestStop(RelayCase):
    """Graceful shutdown."""

    async def test_connection_closes_after_a_stream_that_began_before(
        self,
    ) -> None:
        released = asyncio.Event()

        async def slow(target, request, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_stream_response_head(request))
            writer.write(fake_target.make_chunk(b"id: 1\ndata: 1\n\n"))
            await released.wait()
            writer.write(b"0\r\n\r\n")
            return True

        self.configure()
        target = await self.add_target(slow)
        request = (
            b"POST /stream/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.transport.abort)
        writer.write(request)
        await reader.readuntil(b"data: 1\n\n")
        # The head was sent before the stop, without `Connection: close`.
        self.entry.stopping = True
        released.set()
        async with asyncio.timeout(5.0):
            rest = await reader.read()
        self.assertTrue(rest.endswith(b"0\r\n\r\n"), rest)
        self.assertEqual(len(target.received), 1)

    async def test_stopping_entry_refuses_requests_that_cannot_finish(
        self,
    ) -> None:
        self.configure()
        target = await self.add_target(respond_ok)
        now = asyncio.get_running_loop().time()
        self.entry.shared.stops_at = now + 5.0
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        self.entry.shared.stops_at = now + 1.0
        response = await self.send_request("once")
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        self.assertIn(b"Retry-After:", response)
        self.assertEqual(len(target.received), 1)

    async def test_member_that_has_just_started_takes_no_member_away(
        self,
    ) -> None:
        known = frozenset(["127.0.0.1:1", "127.0.0.1:2"])
        share = self.entry.shared.reserve_share
        with mock.patch.object(share, "record_announcement") as announced:
            self.entry.on_members_update(
                "127.0.0.1:1",
                messages.MembersUpdate(addresses=sorted(known), entries=5),
            )
            self.entry.on_members_update(
                "127.0.0.1:2", messages.MembersUpdate(addresses=[], entries=1)
            )
        self.assertEqual(known, self.entry.members.addresses)
        counts = [call.args[2] for call in announced.call_args_list]
        self.assertEqual([len(known)] * 2, counts)

    async def test_stopping_entry_closes_after_each_response(self) -> None:
        self.configure()
        await self.add_target(respond_ok)
        self.entry.stopping = True
        self.assertFalse(self.entry.is_ready())
        response = await self.send_bytes(
            b"POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertIn(b"Connection: close", response)
