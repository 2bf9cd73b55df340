"""The page's separate processes: serve, stop whole, die at any step."""

import contextlib
import pathlib
import signal
import tempfile
import unittest

from hemlockkeel._internal.standins import engine
from tests.lib import calls
from tests.lib import clusters
from tests.lib import processes

AGENTS = 3
ENTRIES = 2
LETTER = "letter-1@1"


class TestDaemons(unittest.TestCase):
    """One control member, two entries, three agents, three engines."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        root = pathlib.Path(folder.name)
        self.control = processes.ControlDaemon(root / "m0", True)
        self.addCleanup(self.control.stop)
        self.engines = [self.start_engine() for _ in range(AGENTS)]
        self.agents = [self.start_agent(n) for n in range(AGENTS)]
        self.entries = [self.start_entry(n) for n in range(ENTRIES)]
        self.urls = [f"http://{e.addresses[0]}" for e in self.entries]
        self.operator = clusters.Operator(
            self.control.admin_url, processes.TOKEN
        )
        calls.wait_until(self.is_ready, "all processes are ready")
        self.operator.apply_and_wait(clusters.DECLARATIONS)

    def start(self, *words: str) -> processes.Daemon:
        daemon = processes.Daemon(*words)
        self.addCleanup(daemon.stop)
        return daemon

    def start_engine(self) -> processes.Daemon:
        return self.start("hemlockkeel-standin", "engine", "--step-ms", "20")

    def get_place(self) -> list[str]:
        return [
            "--control",
            self.control.address,
            "--site",
            "tas-north",
            "--data-centre",
            "launceston-hall",
        ]

    def start_agent(self, number: int) -> processes.Daemon:
        return self.start(
            "hemlockkeeld",
            "--role",
            "agent",
            *self.get_place(),
            "--target-id",
            f"scribe-models-{number}",
            "--service",
            "scribe-models",
            "--target-address",
            self.engines[number].addresses[0],
        )

    def start_entry(self, number: int) -> processes.Daemon:
        return self.start(
            "hemlockkeeld",
            "--role",
            "entry",
            *self.get_place(),
            "--member-id",
            f"entry-{number}",
            "--balancer-notice",
            "0.2",
        )

    def is_ready(self) -> bool:
        with contextlib.suppress(OSError):
            reply = self.operator.get("/v1/targets")
            if reply.status != 200:
                return False
            targets = reply.json()["targets"]
            ready = [
                calls.call(f"{url}/readyz").status == 200 for url in self.urls
            ]
            return all(ready) and len(targets) == AGENTS
        return False

    def find_engine(self, prompt: str) -> int:
        """Return the engine that runs a prompt."""
        for number, daemon in enumerate(self.engines):
            with contextlib.suppress(OSError):
                url = f"http://{daemon.addresses[0]}/engine/ledger"
                runs = calls.call(url).json()["runs"]
                if any(run["prompt"] == prompt for run in runs):
                    return number
        raise AssertionError(f"'{prompt}' runs nowhere")

    def count_runs(self, prompt: str) -> int:
        total = 0
        for daemon in self.engines:
            with contextlib.suppress(OSError):
                url = f"http://{daemon.addresses[0]}/engine/ledger"
                runs = calls.call(url).json()["runs"]
                total += sum(run["prompt"] == prompt for run in runs)
        return total

    def expect(self, model: str, prompt: str, tokens: int) -> str:
        return "".join(
            engine.make_token(model, prompt, n) for n in range(tokens)
        )

    def test_sigterm_lets_streams_end_and_agents_leave(self) -> None:
        stream = calls.SseStream(self.urls[0], LETTER, "stop softly", 60)
        self.assertTrue(stream.read_event())
        number = self.find_engine("stop softly")
        self.agents[number].send(signal.SIGTERM)
        self.entries[0].send(signal.SIGTERM)
        calls.wait_until(
            lambda: calls.call(f"{self.urls[0]}/readyz").status == 503,
            "the balancer sees not-ready",
        )
        stream.read_all()
        self.assertEqual(self.expect(LETTER, "stop softly", 60), stream.text)
        self.assertEqual(0, self.agents[number].wait())
        self.assertEqual(0, self.entries[0].wait())
        reply = calls.complete(self.urls[1], LETTER, "after", 3)
        target = reply.json()["hemlockkeel"]["target"]
        self.assertNotEqual(f"scribe-models-{number}", target)

    def test_second_sigterm_stops_at_once(self) -> None:
        stream = calls.SseStream(self.urls[0], LETTER, "cut", 2000)
        self.assertTrue(stream.read_event())
        self.entries[0].send(signal.SIGTERM)
        calls.wait_until(
            lambda: calls.call(f"{self.urls[0]}/readyz").status == 503,
            "the first signal is handled",
        )
        self.entries[0].send(signal.SIGTERM)
        self.assertEqual(3, self.entries[0].wait())
        stream.close()

    def test_entry_killed_mid_answer_and_copy_elsewhere(self) -> None:
        headers = {"Idempotency-Key": "k", "Hemlockkeel-Caller": "c"}
        stream = calls.SseStream(
            self.urls[0], LETTER, "kill entry", 50, headers
        )
        self.assertTrue(stream.read_event())
        self.entries[0].kill()
        stream.close()
        again = calls.complete(self.urls[1], LETTER, "kill entry", 50, headers)
        self.assertEqual(200, again.status, again.body)
        self.assertEqual(
            self.expect(LETTER, "kill entry", 50),
            again.json()["choices"][0]["text"],
        )
        self.assertEqual(1, self.count_runs("kill entry"))

    def test_agent_and_entry_killed_together(self) -> None:
        headers = {"Idempotency-Key": "k2", "Hemlockkeel-Caller": "c"}
        stream = calls.SseStream(self.urls[0], LETTER, "both", 50, headers)
        self.assertTrue(stream.read_event())
        number = self.find_engine("both")
        self.agents[number].kill()
        self.entries[0].kill()
        stream.close()
        again = calls.complete(self.urls[1], LETTER, "both", 50, headers)
        self.assertEqual("may_have_run", again.error["verdict"])
        self.assertEqual(1, self.count_runs("both"))

    def test_agent_killed_and_restarted_resumes(self) -> None:
        stream = calls.SseStream(self.urls[0], LETTER, "kill agent", 100)
        self.assertTrue(stream.read_event())
        number = self.find_engine("kill agent")
        self.agents[number].kill()
        self.agents[number] = self.start_agent(number)
        stream.read_all()
        self.assertIsNone(stream.error)
        self.assertEqual(self.expect(LETTER, "kill agent", 100), stream.text)
        self.assertEqual(1, self.count_runs("kill agent"))

    def test_engine_killed_under_other_work(self) -> None:
        stream = calls.SseStream(self.urls[0], LETTER, "kill engine", 100)
        self.assertTrue(stream.read_event())
        self.engines[self.find_engine("kill engine")].kill()
        stream.read_all()
        self.assertEqual("may_have_run", stream.error["verdict"])
        self.assertEqual(0, self.count_runs("kill engine"))

    def test_control_killed_and_restarted(self) -> None:
        headers = {"Idempotency-Key": "k3", "Hemlockkeel-Caller": "c"}
        first = calls.complete(self.urls[0], LETTER, "kept", 5, headers)
        self.assertEqual(200, first.status, first.body)
        self.control.kill()
        self.control.start()
        calls.wait_until(self.is_ready, "all processes are ready again")
        again = calls.complete(self.urls[1], LETTER, "kept", 5, headers)
        self.assertEqual(first.json()["choices"], again.json()["choices"])
        self.assertEqual(1, self.count_runs("kept"))
