"""The entry between callers and targets on real sockets."""

import asyncio
import pathlib
import socket
import tempfile
import unittest

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import process
from hemlockkeel._internal.routes import budget
from hemlockkeel._internal.routes import table
from hemlockkeel.platform import configuration
from hemlockkeel.platform import headers
from tests.lib import fake_target
from tests.lib import logs

SERVICE = records.ServiceName("s")


def make_route(kind: table.RouteKind, **changes: object) -> table.Route:
    """Return a route for everything under the kind's name."""
    fields: dict[str, object] = {
        "name": kind.value,
        "host": "a.example",
        "prefix": f"/{kind.value}/",
        "kind": kind,
        "timeout_s": 2.0,
        "objective_s": 0.3,
        "priority": 0,
        "shares": (table.Share(SERVICE, 1.0),),
        "attempts": 2,
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
        # The retry reserve opens a window after the start.
        self.entry.shared.started_at -= 100.0
        await self.entry.start()
        self.addCleanup(self.entry.housekeeping_task.cancel)
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
        """Put a configuration of one route a kind in force."""
        routes = [make_route(kind, **changes) for kind in table.RouteKind]
        self.entry.on_configuration(
            table.Configuration(
                1,
                routes,
                [table.Service(SERVICE, 50, None)],
                table.Limits(4096, 100_000, 0.5, 5.0),
            )
        )

    async def add_target(
        self, script: fake_target.Script, name: str = ""
    ) -> fake_target.FakeTarget:
        """Start a target and announce it."""
        target = fake_target.FakeTarget(script)
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

    async def call(self, raw: bytes) -> bytes:
        """Send bytes and return all that comes until the close."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(raw)
        try:
            async with asyncio.timeout(5.0):
                return await reader.read()
        finally:
            writer.transport.abort()

    async def ask(
        self, kind: str, body: bytes = b"", extra: bytes = b""
    ) -> bytes:
        """Send one request that asks for a close after its answer."""
        head = (
            f"POST /{kind}/x?q=1 HTTP/1.1\r\nHost: a.example\r\n"
            "X-Request-Id: r1\r\nX-Request-Deadline: 1500\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n"
        ).encode()
        return await self.call(head + extra + b"\r\n" + body)


async def answer_ok(
    target: fake_target.FakeTarget,
    seen: fake_target.Seen,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answer with the request's body."""
    writer.write(fake_target.make_answer(seen, b"got " + seen.body))
    return True


async def refuse(
    target: fake_target.FakeTarget,
    seen: fake_target.Seen,
    writer: asyncio.StreamWriter,
) -> bool:
    """Refuse as not run."""
    writer.write(
        fake_target.make_answer(
            seen,
            b"",
            b"503 Service Unavailable",
            b"X-Not-Executed: 1\r\n",
            sealed=False,
        )
    )
    return True


async def reset(
    target: fake_target.FakeTarget,
    seen: fake_target.Seen,
    writer: asyncio.StreamWriter,
) -> bool:
    """Close without an answer."""
    return False


async def fail(
    target: fake_target.FakeTarget,
    seen: fake_target.Seen,
    writer: asyncio.StreamWriter,
) -> bool:
    """Answer 500."""
    writer.write(
        fake_target.make_answer(seen, b"no", b"500 Internal Server Error")
    )
    return True


async def truncate(
    target: fake_target.FakeTarget,
    seen: fake_target.Seen,
    writer: asyncio.StreamWriter,
) -> bool:
    """Close in the middle of the body."""
    writer.write(fake_target.make_answer(seen, b"0123456789")[:-5])
    await writer.drain()
    return False


class TestForward(RelayCase):
    """One request and its answer."""

    async def test_request_and_answer_pass_unchanged(self) -> None:
        self.configure()
        target = await self.add_target(answer_ok)
        answer = await self.ask("once", b"body", b"X-Other: y\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK"), answer)
        self.assertIn(b"X-Response-Seal: s", answer)
        self.assertTrue(answer.endswith(b"got body"))
        seen = target.seen[0]
        self.assertEqual(seen.target, b"/once/x?q=1")
        self.assertEqual(seen.headers[b"x-other"], b"y")
        self.assertEqual(seen.headers[b"x-expect-instance"], b"t1")
        left = int(seen.headers[b"x-request-deadline"])
        self.assertTrue(1000 < left <= 1500, left)

    async def test_callers_cannot_set_system_headers(self) -> None:
        self.configure()
        target = await self.add_target(answer_ok)
        await self.ask(
            "once", b"", b"X-Request-Hold: h\r\nKv-From: 1.2.3.4:5/x\r\n"
        )
        self.assertNotIn(b"x-request-hold", target.seen[0].headers)
        self.assertNotIn(b"kv-from", target.seen[0].headers)

    async def test_callers_cannot_drop_headers_by_naming_them(self) -> None:
        self.configure()
        target = await self.add_target(answer_ok)
        await self.ask("once", b"", b"Connection: X-Request-Id\r\n")
        self.assertEqual(target.seen[0].headers[b"x-request-id"], b"r1")

    async def test_no_route_is_404_and_no_configuration_503(self) -> None:
        answer = await self.ask("once")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"Retry-After:", answer)
        self.configure()
        answer = await self.ask("elsewhere")
        self.assertTrue(answer.startswith(b"HTTP/1.1 404"), answer)

    async def test_chunked_request_body(self) -> None:
        self.configure()
        target = await self.add_target(answer_ok)
        await self.call(
            b"POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        self.assertEqual(target.seen[0].body, b"abcde")


class TestRetries(RelayCase):
    """What is sent again, and what is promised."""

    async def test_idempotent_request_goes_to_another_target(self) -> None:
        self.configure()
        for script in (reset, fail, truncate, refuse):
            with self.subTest(script.__name__):
                self.entry.registry.targets.clear()
                self.entry.registry.table.by_id.clear()
                first = await self.add_target(script, "t1")
                self.entry.registry.targets[
                    records.InstanceId("t1")
                ].update_load(headers.read_load("0,0,4"), 0.0)
                second = await self.add_target(answer_ok, "t2")
                # The second target looks busy, so the first is tried first.
                self.entry.registry.targets[
                    records.InstanceId("t2")
                ].in_flight = 50
                answer = await self.ask("idempotent")
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
                self.assertEqual(len(first.seen), 1)
                self.assertEqual(len(second.seen), 1)

    async def test_once_is_never_sent_again_after_a_loss(self) -> None:
        self.configure()
        for script, status in (
            (reset, b"502"),
            (truncate, b"502"),
            (fail, b"500"),
        ):
            with self.subTest(script.__name__):
                for target in self.targets:
                    target.seen.clear()
                self.entry.registry.targets.clear()
                self.entry.registry.table.by_id.clear()
                first = await self.add_target(script, "t1")
                second = await self.add_target(script, "t2")
                answer = await self.ask("once")
                self.assertTrue(
                    answer.startswith(b"HTTP/1.1 " + status), answer
                )
                self.assertEqual(len(first.seen) + len(second.seen), 1)

    async def test_refusal_everywhere_is_a_promise(self) -> None:
        self.configure()
        await self.add_target(refuse)
        await self.add_target(refuse)
        answer = await self.ask("once")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"Retry-After:", answer)
        self.assertNotIn(b"X-Response-Seal", answer)

    async def test_attempts_bound_the_targets(self) -> None:
        self.configure(attempts=1)
        targets = [await self.add_target(refuse) for _ in range(3)]
        await self.ask("once")
        self.assertEqual(sum(len(t.seen) for t in targets), 1)

    async def test_unproved_promise_is_not_passed_on(self) -> None:
        async def bare(target, seen, writer) -> bool:  # type: ignore
            writer.write(
                fake_target.make_answer(seen, b"", b"503 Unavailable")
            )
            return True

        self.configure()
        await self.add_target(bare)
        answer = await self.ask("once")
        self.assertTrue(answer.startswith(b"HTTP/1.1 502"), answer)

    async def test_success_without_seal_is_not_passed_on(self) -> None:
        async def bare(target, seen, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_answer(seen, b"x", sealed=False))
            return True

        self.configure()
        await self.add_target(bare)
        answer = await self.ask("once")
        self.assertTrue(answer.startswith(b"HTTP/1.1 502"), answer)

    async def test_unreachable_target_costs_no_attempt(self) -> None:
        self.configure(attempts=1)
        gone = await self.add_target(answer_ok, "t1")
        await gone.stop()
        gone.server.close()
        await gone.server.wait_closed()
        await self.add_target(answer_ok, "t2")
        self.entry.registry.targets[records.InstanceId("t2")].in_flight = 50
        answer = await self.ask("once")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

    async def test_silent_target_ends_at_the_deadline(self) -> None:
        async def silent(target, seen, writer) -> bool:  # type: ignore
            await asyncio.Event().wait()
            return False

        self.configure(timeout_s=0.2)
        await self.add_target(silent)
        answer = await self.ask("once")
        self.assertTrue(answer.startswith(b"HTTP/1.1 504"), answer)


class TestCrashes(RelayCase):
    """A request that crashes whoever runs it."""

    async def crash(self, target, seen, writer) -> bool:  # type: ignore
        target.server.close()
        return False

    async def ask_crashing(self) -> bytes:
        """Ask once and wait until the crash has been looked into."""
        answer = await self.ask("once", b"poison")
        while self.entry.crashes.tasks:
            await asyncio.sleep(0)
        return answer

    async def test_third_crash_is_the_last(self) -> None:
        self.configure(attempts=1)
        for number in range(4):
            await self.add_target(self.crash, f"t{number}")
        for _ in range(3):
            answer = await self.ask_crashing()
            self.assertTrue(answer.startswith(b"HTTP/1.1 502"), answer)
        answer = await self.ask("once", b"poison")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertEqual(sum(len(t.seen) for t in self.targets), 3)

    async def test_good_run_clears_the_suspicion(self) -> None:
        self.configure(attempts=1)
        for number in range(2):
            await self.add_target(self.crash, f"t{number}")
        for _ in range(2):
            await self.ask_crashing()
        self.assertTrue(self.entry.crashes.table.suspects)
        await self.add_target(answer_ok, "sound")
        answer = await self.ask("once", b"poison")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertFalse(self.entry.crashes.table.suspects)

    async def test_reset_without_a_crash_is_no_suspicion(self) -> None:
        self.configure(attempts=1)
        await self.add_target(reset)
        for _ in range(4):
            await self.ask_crashing()
        self.assertFalse(self.entry.crashes.table.suspects)


class TestKeptConnections(RelayCase):
    """Connections that a target may have dropped."""

    async def test_request_that_may_not_repeat_takes_a_fresh_one(
        self,
    ) -> None:
        self.configure()
        await self.add_target(answer_ok)
        await self.ask("once")
        (target,) = self.entry.registry.targets.values()
        (kept,) = target.pool.idle
        now = asyncio.get_running_loop().time()
        kept.idle_since = now - 1.5
        self.assertIsNone(target.pool.acquire_idle(now, idempotent=False))
        await self.ask("idempotent")
        (kept,) = target.pool.idle
        kept.idle_since = now - 1.5
        self.assertIs(target.pool.acquire_idle(now, idempotent=True), kept)

    async def test_silent_connections_are_probed(self) -> None:
        """A machine that freezes or is cut off is found by the kernel."""
        target = fake_target.FakeTarget(self.answer_never)
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

    async def answer_never(
        self,
        target: fake_target.FakeTarget,
        seen: fake_target.Seen,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Leave a request without an answer."""
        return False


class TestForeignAnswers(RelayCase):
    """Answers that belong to another request."""

    async def test_extra_answer_is_skipped(self) -> None:
        async def twice(target, seen, writer) -> bool:  # type: ignore
            if len(target.seen) == 2:
                foreign = fake_target.make_answer(target.seen[0], b"old")
                writer.write(foreign)
            writer.write(fake_target.make_answer(seen, b"new"))
            return True

        self.configure()
        await self.add_target(twice)
        await self.ask("once")
        head = (
            b"POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r2\r\nContent-Length: 0\r\n"
            b"Connection: close\r\n\r\n"
        )
        answer = await self.call(head)
        self.assertIn(b"X-Request-Id: r2", answer)
        self.assertTrue(answer.endswith(b"new"), answer)

    async def test_surplus_bytes_end_the_connection(self) -> None:
        async def surplus(target, seen, writer) -> bool:  # type: ignore
            answer = fake_target.make_answer(seen, b"one")
            writer.write(answer + fake_target.make_answer(seen, b"two"))
            return True

        self.configure()
        await self.add_target(surplus)
        for _ in range(2):
            answer = await self.ask("once")
            self.assertTrue(answer.endswith(b"one"), answer)


class TestStreams(RelayCase):
    """Event streams."""

    @staticmethod
    def make_script(
        first: int, last: int, whole: bool, partial: bytes = b""
    ) -> fake_target.Script:
        async def script(target, seen, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_stream_head(seen))
            for number in range(first, last + 1):
                event = f"id: {number}\ndata: {number}\n\n".encode()
                writer.write(fake_target.make_chunk(event))
            if partial:
                writer.write(fake_target.make_chunk(partial))
            if whole:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            return whole

        return script

    async def test_whole_stream(self) -> None:
        self.configure()
        await self.add_target(self.make_script(1, 3, True))
        answer = await self.ask("stream")
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)
        self.assertEqual(answer.count(b"data:"), 3)

    async def test_cut_stream_does_not_look_complete(self) -> None:
        self.configure()
        targets = [
            await self.add_target(self.make_script(1, 3, False, b"id: 4\nda"))
            for _ in range(2)
        ]
        try:
            answer = await self.ask("stream")
        except ConnectionResetError:
            answer = b""
        self.assertFalse(answer.endswith(b"0\r\n\r\n"), answer)
        self.assertNotIn(b"id: 4", answer)
        self.assertEqual(sum(len(t.seen) for t in targets), 1)

    async def test_stream_lost_before_its_first_event_is_not_sent_again(
        self,
    ) -> None:
        self.configure()
        targets = [await self.add_target(reset) for _ in range(2)]
        answer = await self.ask("stream")
        self.assertTrue(answer.startswith(b"HTTP/1.1 502"), answer)
        self.assertEqual(sum(len(t.seen) for t in targets), 1)

    async def test_resumable_stream_goes_on_elsewhere(self) -> None:
        self.configure(resumable=True)
        first = await self.add_target(
            self.make_script(1, 3, False, b"id: 4\nda"), "t1"
        )
        second = await self.add_target(self.make_script(4, 6, True), "t2")
        self.entry.registry.targets[records.InstanceId("t2")].in_flight = 50
        answer = await self.ask("stream")
        self.assertEqual(len(first.seen), 1)
        resumed = second.seen[0].headers
        self.assertEqual(resumed[b"last-event-id"], b"3")
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)
        for number in range(1, 7):
            line = f"data: {number}\n".encode()
            self.assertEqual(answer.count(line), 1, number)

    async def test_work_ends_when_the_caller_goes(self) -> None:
        async def endless(target, seen, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_stream_head(seen))
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


class TestLimits(RelayCase):
    """What callers may send."""

    async def check(self, raw: bytes, status: bytes) -> None:
        answer = await self.call(raw)
        self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)

    async def test_malformed_and_oversized_requests(self) -> None:
        self.configure()
        target = await self.add_target(answer_ok)
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
        self.assertEqual(target.seen, [])


class TestStop(RelayCase):
    """A graceful stop."""

    async def test_connection_of_a_stream_begun_before_ends_with_it(
        self,
    ) -> None:
        released = asyncio.Event()

        async def slow(target, seen, writer) -> bool:  # type: ignore
            writer.write(fake_target.make_stream_head(seen))
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
        # The answer's head went out before the stop, without a close.
        self.entry.stopping = True
        released.set()
        async with asyncio.timeout(5.0):
            rest = await reader.read()
        self.assertTrue(rest.endswith(b"0\r\n\r\n"), rest)
        self.assertEqual(len(target.seen), 1)

    async def test_stopping_entry_takes_only_what_ends_in_time(self) -> None:
        self.configure()
        target = await self.add_target(answer_ok)
        now = asyncio.get_running_loop().time()
        self.entry.shared.stops_at = now + 5.0
        answer = await self.ask("once")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.entry.shared.stops_at = now + 1.0
        answer = await self.ask("once")
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"Retry-After:", answer)
        self.assertEqual(len(target.seen), 1)

    async def test_leaving_entry_closes_after_each_answer(self) -> None:
        self.configure()
        await self.add_target(answer_ok)
        self.entry.stopping = True
        self.assertFalse(self.entry.is_ready())
        answer = await self.call(
            b"POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
            b"X-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertIn(b"Connection: close", answer)
