"""Processes that are frozen for some seconds while a request runs."""

import asyncio
import signal
import threading

from tests.functional import test_daemons
from tests.functional import test_relay
from tests.lib import calls
from tests.lib import fake_target
from tests.lib import processes
from tests.lib import relay_fleet

# Longest time for which a machine may be silent and still go on.
SILENCE_S = 8.0
TOKENS = 100
PROMPT = "held up"


class TestFrozenProcess(test_daemons.DaemonCase):
    """Guards against work that is run again, or given up, too early."""

    def freeze(self, process: processes.Daemon) -> None:
        """Stop a process that continues after `SILENCE_S`."""
        process.send_signal(signal.SIGSTOP)
        timer = threading.Timer(
            SILENCE_S, process.send_signal, (signal.SIGCONT,)
        )
        timer.start()
        self.addCleanup(timer.join)

    def check(self, *choices: str) -> None:
        """Freeze processes while a stream runs; it must run once and end."""
        stream = calls.SseStream(
            self.urls[0], test_daemons.MODEL, PROMPT, TOKENS
        )
        self.addCleanup(stream.close)
        self.assertTrue(stream.read_event())
        number = self.find_engine(PROMPT)
        for choice in choices:
            self.freeze(
                {
                    "agent": self.agents[number],
                    "engine": self.engines[number],
                    "entry": self.entries[0],
                    "control": self.control,
                }[choice]
            )
        stream.read_all()
        self.assertIsNone(stream.error)
        self.assertEqual(
            self.make_answer(test_daemons.MODEL, PROMPT, TOKENS), stream.text
        )
        calls.wait_until(
            lambda: self.count_runs(PROMPT) == 1, "one run is known"
        )

    def test_agent(self) -> None:
        self.check("agent")

    def test_engine(self) -> None:
        self.check("engine")

    def test_agent_with_its_engine(self) -> None:
        self.check("agent", "engine")

    def test_entry(self) -> None:
        self.check("entry")

    def test_control_member(self) -> None:
        self.check("control")


class TestSilentTarget(test_relay.RelayCase):
    """Guards against the same on the platform's data path."""

    async def handle(
        self,
        target: fake_target.FakeTarget,
        request: fake_target.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Respond, with a silence before the response or inside it."""
        if not request.target.startswith(b"/stream"):
            await asyncio.sleep(SILENCE_S)
            writer.write(fake_target.make_response(request, b"whole"))
            return True
        writer.write(fake_target.make_stream_response_head(request))
        writer.write(fake_target.make_chunk(b"id: 1\ndata: a\n\n"))
        await writer.drain()
        await asyncio.sleep(SILENCE_S)
        writer.write(fake_target.make_chunk(b"id: 2\ndata: whole\n\n"))
        writer.write(fake_target.make_chunk(b""))
        return True

    async def send(self, kind: str) -> bytes:
        return await relay_fleet.exchange_bytes(
            ("127.0.0.1", self.port),
            b"POST /%s/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n"
            % (kind.encode(), kind.encode()),
        )

    async def test_request_is_sent_once_and_completes(self) -> None:
        self.configure(timeout_s=2 * SILENCE_S, resumable=True)
        targets = [await self.add_target(self.handle) for _ in range(2)]
        kinds = ("once", "idempotent", "stream")
        for response in await asyncio.gather(*map(self.send, kinds)):
            self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
            self.assertIn(b"whole", response)
        self.assertEqual(
            sum(len(target.received) for target in targets), len(kinds)
        )
