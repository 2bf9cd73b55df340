"""Tests with one process per role, as the operators' pages start them.

Cover a graceful stop and kills of each role while a request runs: no request
runs twice, and answers are complete or the caller learns that it may have run.
"""

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
MODEL = "letter-1@1"


class DaemonCase(unittest.TestCase):
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

    def start(self, *command: str) -> processes.Daemon:
        daemon = processes.Daemon(*command)
        self.addCleanup(daemon.stop)
        return daemon

    def start_engine(self) -> processes.Daemon:
        return self.start("hemlockkeel-standin", "engine", "--step-ms", "20")

    def make_member_flags(self) -> list[str]:
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
            *self.make_member_flags(),
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
            *self.make_member_flags(),
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
        """Return the number of the engine that received a prompt."""
        for number, daemon in enumerate(self.engines):
            with contextlib.suppress(OSError):
                url = f"http://{daemon.addresses[0]}/engine/ledger"
                runs = calls.call(url).json()["runs"]
                if any(run["prompt"] == prompt for run in runs):
                    return number
        raise AssertionError(f"no engine has received '{prompt}'")

    def count_runs(self, prompt: str) -> int:
        total = 0
        for daemon in self.engines:
            with contextlib.suppress(OSError):
                url = f"http://{daemon.addresses[0]}/engine/ledger"
                runs = calls.call(url).json()["runs"]
                total += sum(run["prompt"] == prompt for run in runs)
        return total

    def make_answer(self, model: str, prompt: str, tokens: int) -> str:
        return "".join(
            engine.make_token(model, prompt, n) for n in range(tokens)
        )


class TestDaemons(DaemonCase):
    """Stops and kills of each role while a request runs."""

    def test_sigterm_completes_streams_and_deregisters_agents(self) -> None:
        stream = calls.SseStream(self.urls[0], MODEL, "stop softly", 60)
        self.assertTrue(stream.read_event())
        number = self.find_engine("stop softly")
        self.agents[number].send_signal(signal.SIGTERM)
        self.entries[0].send_signal(signal.SIGTERM)
        calls.wait_until(
            lambda: calls.call(f"{self.urls[0]}/readyz").status == 503,
            "the readiness check fails",
        )
        stream.read_all()
        self.assertEqual(
            self.make_answer(MODEL, "stop softly", 60), stream.text
        )
        self.assertEqual(0, self.agents[number].wait())
        self.assertEqual(0, self.entries[0].wait())
        reply = calls.complete(self.urls[1], MODEL, "after", 3)
        target = reply.json()["hemlockkeel"]["target"]
        self.assertNotEqual(f"scribe-models-{number}", target)

    def test_second_sigterm_exits_without_draining(self) -> None:
        stream = calls.SseStream(self.urls[0], MODEL, "cut", 2000)
        self.assertTrue(stream.read_event())
        self.entries[0].send_signal(signal.SIGTERM)
        calls.wait_until(
            lambda: calls.call(f"{self.urls[0]}/readyz").status == 503,
            "the first signal is handled",
        )
        self.entries[0].send_signal(signal.SIGTERM)
        self.assertEqual(3, self.entries[0].wait())
        stream.close()

    def test_duplicate_gets_answer_of_request_whose_entry_was_killed(
        self,
    ) -> None:
        headers = {"Idempotency-Key": "k", "Hemlockkeel-Caller": "c"}
        stream = calls.SseStream(
            self.urls[0], MODEL, "kill entry", 50, headers
        )
        self.assertTrue(stream.read_event())
        self.entries[0].kill()
        stream.close()
        duplicate = calls.complete(
            self.urls[1], MODEL, "kill entry", 50, headers
        )
        self.assertEqual(200, duplicate.status, duplicate.body)
        self.assertEqual(
            self.make_answer(MODEL, "kill entry", 50),
            duplicate.json()["choices"][0]["text"],
        )
        self.assertEqual(1, self.count_runs("kill entry"))

    def test_duplicate_may_have_run_after_agent_and_entry_were_killed(
        self,
    ) -> None:
        headers = {"Idempotency-Key": "k2", "Hemlockkeel-Caller": "c"}
        stream = calls.SseStream(self.urls[0], MODEL, "both", 50, headers)
        self.assertTrue(stream.read_event())
        number = self.find_engine("both")
        self.agents[number].kill()
        self.entries[0].kill()
        stream.close()
        duplicate = calls.complete(self.urls[1], MODEL, "both", 50, headers)
        self.assertEqual("may_have_run", duplicate.error["verdict"])
        self.assertEqual(1, self.count_runs("both"))

    def test_stream_resumes_after_agent_was_killed_and_restarted(self) -> None:
        stream = calls.SseStream(self.urls[0], MODEL, "kill agent", 100)
        self.assertTrue(stream.read_event())
        number = self.find_engine("kill agent")
        self.agents[number].kill()
        self.agents[number] = self.start_agent(number)
        stream.read_all()
        self.assertIsNone(stream.error)
        self.assertEqual(
            self.make_answer(MODEL, "kill agent", 100), stream.text
        )
        self.assertEqual(1, self.count_runs("kill agent"))

    def test_request_may_have_run_on_killed_engine(self) -> None:
        stream = calls.SseStream(self.urls[0], MODEL, "kill engine", 100)
        self.assertTrue(stream.read_event())
        self.engines[self.find_engine("kill engine")].kill()
        stream.read_all()
        self.assertEqual("may_have_run", stream.error["verdict"])
        self.assertEqual(0, self.count_runs("kill engine"))

    def test_recorded_answer_survives_kill_of_control_member(self) -> None:
        headers = {"Idempotency-Key": "k3", "Hemlockkeel-Caller": "c"}
        first = calls.complete(self.urls[0], MODEL, "kept", 5, headers)
        self.assertEqual(200, first.status, first.body)
        self.control.kill()
        self.control.start()
        calls.wait_until(
            self.is_ready, "all processes are ready after the restart"
        )
        duplicate = calls.complete(self.urls[1], MODEL, "kept", 5, headers)
        self.assertEqual(first.json()["choices"], duplicate.json()["choices"])
        self.assertEqual(1, self.count_runs("kept"))
