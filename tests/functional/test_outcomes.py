"""Tests of request outcomes while parts of the system fail or stop."""

import concurrent.futures
import threading
import unittest
import unittest.mock

from hemlockkeel._internal.control import leases
from hemlockkeel._internal.policy import limits
from hemlockkeel._internal.standins import engine
from tests.lib import calls
from tests.lib import clusters

SLOW = engine.EngineOptions(
    base_model="scribe-7b", step_s=0.02, adapter_slots=3
)
# Its deployment is declared as not idempotent in the test declarations.
NON_IDEMPOTENT_MODEL = "letter-1@1"


class ClusterCase(unittest.TestCase):
    """Starts a new cluster for each test, with the class's settings."""

    changes: dict[str, object] = {}

    def setUp(self) -> None:
        self.cluster = clusters.Cluster(**self.changes)
        self.addCleanup(self.cluster.stop)
        self.urls = [entry.url for entry in self.cluster.dev.entries]

    def make_expected(self, model: str, prompt: str, tokens: int) -> str:
        """Return the only correct answer to a prompt."""
        return "".join(
            engine.make_token(model, prompt, n) for n in range(tokens)
        )

    def find_agent_running(self, prompt: str) -> int:
        """Wait until a target runs a prompt; return the target's number."""
        found: list[int] = []

        def search_ledgers() -> bool:
            for number, stand_in in enumerate(self.cluster.engines):
                prompts = [run["prompt"] for run in list(stand_in.ledger)]
                if prompt in prompts:
                    found.append(number)
            return bool(found)

        calls.wait_until(search_ledgers, f"a target runs '{prompt}'")
        return found[0]


class TestKeys(ClusterCase):
    """Idempotency keys with two entries."""

    changes = {"entries": 2, "engine_options": SLOW}

    def test_concurrent_duplicates_run_once(self) -> None:
        headers = {"Idempotency-Key": "k", "Hemlockkeel-Caller": "c"}
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            replies = list(
                pool.map(
                    lambda n: calls.complete(
                        self.urls[n % 2],
                        NON_IDEMPOTENT_MODEL,
                        "once",
                        8,
                        headers,
                    ),
                    range(8),
                )
            )
        texts = {r.json()["choices"][0]["text"] for r in replies}
        self.assertEqual(
            {self.make_expected(NON_IDEMPOTENT_MODEL, "once", 8)}, texts
        )
        self.assertEqual(1, self.cluster.count_runs("once"))

    def test_late_duplicate_gets_first_answer_and_outcome(self) -> None:
        headers = {"Idempotency-Key": "k2", "Hemlockkeel-Caller": "c"}
        first = calls.complete(
            self.urls[0], NON_IDEMPOTENT_MODEL, "late", 5, headers
        )
        second = calls.complete(
            self.urls[1], NON_IDEMPOTENT_MODEL, "late", 5, headers
        )
        self.assertEqual(first.json()["choices"], second.json()["choices"])
        self.assertEqual(1, self.cluster.count_runs("late"))
        url = f"{self.urls[1]}/v1/requests/k2"
        caller = {"Hemlockkeel-Caller": "c"}
        calls.wait_until(
            lambda: (
                calls.call(url, headers=caller).json()["state"] == "finished"
            ),
            "the outcome is recorded",
        )
        outcome = calls.call(url, headers=caller).json()
        self.assertEqual("ran", outcome["verdict"])
        self.assertEqual(5, outcome["length"])

    def test_same_key_with_different_body_is_refused(self) -> None:
        headers = {"Idempotency-Key": "k3", "Hemlockkeel-Caller": "c"}
        calls.complete(self.urls[0], NON_IDEMPOTENT_MODEL, "one", 2, headers)
        reply = calls.complete(
            self.urls[1], NON_IDEMPOTENT_MODEL, "two", 2, headers
        )
        self.assertEqual("key_conflict", reply.error["code"])
        self.assertEqual("not_run", reply.error["verdict"])
        self.assertEqual(0, self.cluster.count_runs("two"))

    def test_callers_do_not_share_keys(self) -> None:
        for caller in ("a", "b"):
            headers = {"Idempotency-Key": "same", "Hemlockkeel-Caller": caller}
            reply = calls.complete(
                self.urls[0], NON_IDEMPOTENT_MODEL, caller, 2, headers
            )
            self.assertEqual(200, reply.status, reply.body)

    def test_duplicate_after_agent_restart_is_not_run_again(self) -> None:
        headers = {"Idempotency-Key": "k4", "Hemlockkeel-Caller": "c"}
        reply = calls.complete(
            self.urls[0], NON_IDEMPOTENT_MODEL, "gone", 2, headers
        )
        target = reply.json()["hemlockkeel"]["target"]
        number = int(target.rsplit("-", 1)[1])
        self.cluster.dev.restart_agent(number)
        self.cluster.dev.wait_until_ready()
        again = calls.complete(
            self.urls[1], NON_IDEMPOTENT_MODEL, "gone", 2, headers
        )
        self.assertIn(again.error["verdict"], ("ran", "may_have_run"))
        self.assertEqual(1, self.cluster.count_runs("gone"))


class TestFailuresDuringAnswer(ClusterCase):
    """Entries, agents, engines and callers that fail during an answer."""

    changes = {"entries": 2, "engine_options": SLOW}

    def test_stream_is_resumed_through_another_entry(self) -> None:
        stream = calls.SseStream(self.urls[0], "club-1@1", "move", 40)
        for _ in range(5):
            self.assertTrue(stream.read_event())
        self.cluster.dev.entries[0].stop()
        stream.close()
        headers = {"Last-Event-ID": stream.last_id}
        rest = calls.SseStream(self.urls[1], "club-1@1", "move", 40, headers)
        rest.read_all()
        self.assertEqual(
            self.make_expected("club-1@1", "move", 40), stream.text + rest.text
        )
        self.assertEqual(1, self.cluster.count_runs("move"))

    def test_event_id_of_another_request_is_refused(self) -> None:
        stream = calls.SseStream(self.urls[0], "club-1@1", "mine", 4)
        stream.read_all()
        headers = {"Last-Event-ID": stream.last_id}
        reply = calls.complete(
            self.urls[1], "club-1@1", "not mine", 4, headers
        )
        self.assertEqual("lost", reply.error["code"])

    def test_restarted_agent_resumes_the_engines_run(self) -> None:
        stream = calls.SseStream(
            self.urls[0], NON_IDEMPOTENT_MODEL, "agent dies", 60
        )
        for _ in range(5):
            self.assertTrue(stream.read_event())
        self.cluster.dev.restart_agent(self.find_agent_running("agent dies"))
        stream.read_all()
        self.assertEqual(
            self.make_expected(NON_IDEMPOTENT_MODEL, "agent dies", 60),
            stream.text,
        )
        self.assertEqual(1, self.cluster.count_runs("agent dies"))

    def test_engine_crash_reruns_idempotent_request(self) -> None:
        stream = calls.SseStream(self.urls[0], "club-1@1", "engine dies", 50)
        for _ in range(5):
            self.assertTrue(stream.read_event())
        number = self.find_agent_running("engine dies")
        with self.cluster.engines[number].changed:
            self.cluster.engines[number].restart()
        stream.read_all()
        self.assertIsNone(stream.error)
        self.assertEqual(
            self.make_expected("club-1@1", "engine dies", 50), stream.text
        )
        self.assertEqual(2, self.cluster.count_runs("engine dies"))

    def test_engine_crash_does_not_rerun_non_idempotent_request(self) -> None:
        stream = calls.SseStream(
            self.urls[0], NON_IDEMPOTENT_MODEL, "do not repeat", 50
        )
        for _ in range(3):
            self.assertTrue(stream.read_event())
        number = self.find_agent_running("do not repeat")
        with self.cluster.engines[number].changed:
            self.cluster.engines[number].restart()
        stream.read_all()
        self.assertEqual("may_have_run", stream.error["verdict"])
        self.assertIsNone(stream.finish)
        self.assertEqual(1, self.cluster.count_runs("do not repeat"))

    def test_request_of_disconnected_caller_is_cancelled(self) -> None:
        stream = calls.SseStream(self.urls[0], "club-1@1", "hang up", 1000)
        self.assertTrue(stream.read_event())
        number = self.find_agent_running("hang up")
        stream.close()
        calls.wait_until(
            lambda: not self.cluster.engines[number].running,
            "the engine's run is cancelled",
        )


class TestDrainsAndLeases(ClusterCase):
    """Drained targets, stopping processes and expired leases."""

    changes = {"entries": 2, "engine_options": SLOW}

    def test_drained_target_finishes_and_gets_no_new_requests(self) -> None:
        stream = calls.SseStream(self.urls[0], "club-1@1", "long", 100)
        self.assertTrue(stream.read_event())
        number = self.find_agent_running("long")
        target = f"scribe-models-{number}"
        body = {
            "change_id": "d1",
            "operator": "tester",
            "target_id": target,
            "drained": True,
        }
        self.assertEqual(
            200, self.cluster.operator.post("/v1/drains", body).status
        )
        version = self.cluster.operator.get("/v1/status").json()[
            "view_version"
        ]
        calls.wait_until(
            lambda: self.cluster.operator.is_in_force(version), "drained"
        )
        before = len(self.cluster.engines[number].ledger)
        for attempt in range(6):
            reply = calls.complete(self.urls[attempt % 2], "club-1@1", "x", 1)
            self.assertNotEqual(target, reply.json()["hemlockkeel"]["target"])
        self.assertEqual(before, len(self.cluster.engines[number].ledger))
        stream.read_all()
        self.assertEqual(100, stream.finish["length"])

    def test_draining_agent_completes_running_requests(self) -> None:
        stream = calls.SseStream(
            self.urls[0], NON_IDEMPOTENT_MODEL, "drain me", 60
        )
        self.assertTrue(stream.read_event())
        agent = self.cluster.dev.agents[self.find_agent_running("drain me")]
        stopper = threading.Thread(target=agent.drain)
        stopper.start()
        stream.read_all()
        stopper.join(20)
        self.assertFalse(stopper.is_alive())
        self.assertEqual(
            self.make_expected(NON_IDEMPOTENT_MODEL, "drain me", 60),
            stream.text,
        )

    def test_draining_entry_finishes_and_refuses_new_requests(self) -> None:
        stream = calls.SseStream(self.urls[0], "club-1@1", "entry stops", 60)
        self.assertTrue(stream.read_event())
        entry = self.cluster.dev.entries[0]
        stopper = threading.Thread(target=entry.drain)
        stopper.start()
        calls.wait_until(
            lambda: calls.call(f"{self.urls[0]}/readyz").status == 503,
            "the entry is not ready",
        )
        reply = calls.complete(self.urls[0], "club-1@1", "new", 1)
        self.assertEqual("not_run", reply.error["verdict"])
        self.assertIn("Retry-After", reply.headers)
        stream.read_all()
        stopper.join(20)
        self.assertEqual(60, stream.finish["length"])
        self.assertEqual(0, self.cluster.count_runs("new"))

    def test_entry_without_lease_refuses_new_requests(self) -> None:
        stream = calls.SseStream(self.urls[0], "club-1@1", "in flight", 300)
        self.assertTrue(stream.read_event())
        entry = self.cluster.dev.entries[0]
        entry.control.partitioned = True
        calls.wait_until(
            lambda: calls.call(f"{self.urls[0]}/readyz").status == 503,
            "the lease expires",
        )
        reply = calls.complete(self.urls[0], "club-1@1", "no lease", 1)
        self.assertEqual("not_ready", reply.error["code"])
        self.assertEqual("not_run", reply.error["verdict"])
        self.assertEqual(0, self.cluster.count_runs("no lease"))
        entry.control.partitioned = False
        calls.wait_until(
            lambda: calls.call(f"{self.urls[0]}/readyz").status == 200,
            "the lease is renewed",
        )
        stream.read_all()
        self.assertEqual(300, stream.finish["length"])

    def test_change_waits_until_a_partitioned_lease_expires(self) -> None:
        entry = self.cluster.dev.entries[0]
        entry.control.partitioned = True
        text = clusters.DECLARATIONS.replace('"letter-2@1"', '"letter-3@1"')
        reply = self.cluster.operator.apply(text)
        version = reply.json()["version"]
        state = self.cluster.operator.get(f"/v1/versions/{version}").json()
        self.assertIn("entry-0", state["lagging"])
        calls.wait_until(
            lambda: self.cluster.operator.is_in_force(version), "in force"
        )
        # Once the version is in force, an entry that has not received it must
        # have lost its lease.
        reply = calls.complete(self.urls[0], "letter-2@1", "old", 1)
        self.assertEqual("not_ready", reply.error["code"])
        reply = calls.complete(self.urls[1], "letter-2@1", "old", 1)
        self.assertEqual("unknown_model", reply.error["code"])


class TestCrashingRequests(ClusterCase):
    """Requests that crash every target that runs them."""

    changes = {"entries": 2, "engines": 4}

    def setUp(self) -> None:
        super().setUp()
        for stand_in in self.cluster.engines:
            # Engines crash when they run a prompt with this marker.
            stand_in.faults.crash_marker = "POISON"

    def send_poison(self, number: int) -> calls.Response:
        headers = {"Idempotency-Key": f"try-{number}"}
        return calls.complete(
            self.urls[number % 2], "club-1@1", "POISON pill", 4, headers
        )

    def test_quarantined_after_two_targets_until_released(self) -> None:
        calls.complete(self.urls[0], "club-1@1", "warm up", 1)
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            unrelated = [
                pool.submit(
                    calls.complete,
                    self.urls[n % 2],
                    "club-1@1",
                    f"unrelated {n}",
                    30,
                )
                for n in range(6)
            ]
            first = self.send_poison(0)
            replies = [future.result() for future in unrelated]
        self.assertEqual("may_have_run", first.error["verdict"])
        for reply in replies:
            self.assertEqual(200, reply.status, reply.body)
        again = self.send_poison(1)
        self.assertEqual("quarantined", again.error["code"])
        self.assertEqual("not_run", again.error["verdict"])
        self.assertLessEqual(self.cluster.count_runs("POISON pill"), 2)
        listed = self.cluster.operator.get("/v1/quarantine").json()
        quarantined = [s for s in listed["suspects"] if s["quarantined_until"]]
        self.assertEqual(1, len(quarantined))
        body = {
            "change_id": "r1",
            "operator": "tester",
            "digest": quarantined[0]["digest"],
        }
        reply = self.cluster.operator.post("/v1/quarantine", body)
        self.assertEqual(200, reply.status)
        left = self.cluster.operator.get("/v1/quarantine").json()["suspects"]
        self.assertNotIn(quarantined[0], left)


class TestAdapterQuarantine(ClusterCase):
    """Different requests whose adapter crashes each engine."""

    changes = {"entries": 2}

    def test_adapter_is_quarantined_whatever_its_requests_contain(
        self,
    ) -> None:
        for stand_in in self.cluster.engines:
            stand_in.faults.crash_adapter = "club-2@1"
        for number in range(10):
            reply = calls.complete(
                self.urls[number % 2], "club-2@1", f"prompt {number}", 4
            )
            self.assertNotEqual(200, reply.status)
        self.assertEqual("quarantined", reply.error["code"])
        self.assertEqual("not_run", reply.error["verdict"])
        self.assertLessEqual(self.count_prompt_runs(), 5)
        reply = calls.complete(self.urls[0], "club-1@1", "sound", 4)
        self.assertEqual(200, reply.status, reply.body)

    def test_agents_that_saw_the_crashes_refuse_the_adapter_at_once(
        self,
    ) -> None:
        for stand_in in self.cluster.engines:
            stand_in.faults.crash_adapter = "club-2@1"
        # Others learn of a quarantine with their next heartbeats.
        calls.complete(self.urls[0], "club-1@1", "warm up", 1)
        interval = unittest.mock.patch.object(
            leases, "HEARTBEAT_INTERVAL_S", 1.4
        )
        interval.start()
        self.addCleanup(interval.stop)
        threading.Event().wait(1.0)
        for number in range(10):
            calls.complete(
                self.urls[number % 2], "club-2@1", f"prompt {number}", 4
            )
        self.assertLessEqual(self.count_prompt_runs(), 5)

    def count_prompt_runs(self) -> int:
        """Return how many of the numbered prompts engines began to run."""
        return sum(
            self.cluster.count_runs(f"prompt {number}") for number in range(10)
        )

    def test_fatal_content_does_not_quarantine_its_adapter(self) -> None:
        for stand_in in self.cluster.engines:
            stand_in.faults.crash_marker = "POISON"
        for number in range(4):
            calls.complete(self.urls[number % 2], "club-1@1", "POISON", 4)
        reply = calls.complete(self.urls[0], "club-1@1", "sound", 4)
        self.assertEqual(200, reply.status, reply.body)


class TestSessions(ClusterCase):
    """Ordered sessions with two entries."""

    changes = {"entries": 2, "engine_options": SLOW}

    def send(
        self, entry: int, sequence: int, **headers: str
    ) -> calls.Response:
        fields = {
            "Hemlockkeel-Session": "case-7",
            "Hemlockkeel-Session-Sequence": str(sequence),
            "Hemlockkeel-Caller": "clerk",
        }
        fields.update({k.replace("_", "-"): v for k, v in headers.items()})
        return calls.complete(
            self.urls[entry],
            NON_IDEMPOTENT_MODEL,
            f"step {sequence}",
            10,
            fields,
        )

    def test_requests_run_in_order_through_any_entry(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            later = [pool.submit(self.send, n % 2, n) for n in (4, 3, 2)]
            first = self.send(1, 1)
            replies = [first, *(future.result() for future in later)]
        for reply in replies:
            self.assertEqual(200, reply.status, reply.body)
        order = [
            run["prompt"]
            for stand_in in self.cluster.engines
            for run in stand_in.ledger
            if run["prompt"].startswith("step")
        ]
        self.assertEqual([f"step {n}" for n in (1, 2, 3, 4)], order)
        targets = {r.json()["hemlockkeel"]["target"] for r in replies}
        self.assertEqual(1, len(targets), "all requests on one target")

    def test_repeated_request_runs_once(self) -> None:
        first = self.send(0, 1)
        again = self.send(1, 1)
        self.assertEqual(200, again.status, again.body)
        self.assertEqual(first.json()["choices"], again.json()["choices"])
        self.assertEqual(1, self.cluster.count_runs("step 1"))

    def test_idempotent_request_in_session_is_not_rerun(self) -> None:
        headers = {
            "Hemlockkeel-Session": "case-8",
            "Hemlockkeel-Session-Sequence": "1",
        }
        stream = calls.SseStream(
            self.urls[0], "club-1@1", "only once", 60, headers
        )
        self.assertTrue(stream.read_event())
        number = self.find_agent_running("only once")
        with self.cluster.engines[number].changed:
            self.cluster.engines[number].restart()
        stream.read_all()
        self.assertEqual("may_have_run", stream.error["verdict"])
        self.assertEqual(1, self.cluster.count_runs("only once"))

    def test_superseded_request_is_not_delivered(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            old = pool.submit(self.send, 0, 1)
            self.find_agent_running("step 1")
            new = self.send(1, 2, Hemlockkeel_Supersedes="true")
            self.assertEqual(200, new.status, new.body)
            reply = old.result()
        self.assertEqual("superseded", reply.error["code"])

    def test_sequence_number_is_required(self) -> None:
        reply = calls.complete(
            self.urls[0],
            NON_IDEMPOTENT_MODEL,
            "x",
            1,
            {"Hemlockkeel-Session": "s"},
        )
        self.assertEqual("bad_request", reply.error["code"])


class TestOverload(ClusterCase):
    """Limits on concurrent requests at an entry."""

    changes = {
        "max_in_flight": 10,
        "engine_options": engine.EngineOptions(
            base_model="scribe-7b", step_s=0.02
        ),
    }

    def open_low_priority_stream(self, number: int) -> calls.SseStream:
        return calls.SseStream(
            self.urls[0],
            "club-1@1",
            f"low {number}",
            200,
            {"Hemlockkeel-Caller": f"c{number}"},
        )

    def test_low_priority_is_shed_first_with_retry_after(self) -> None:
        allowed = int(10 * limits.RANK_SHARES[2])
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            low = list(pool.map(self.open_low_priority_stream, range(12)))
        shed = [stream for stream in low if stream.status == 429]
        self.assertEqual(12 - allowed, len(shed))
        reply = calls.complete(
            self.urls[0],
            "check-1@1",
            "urgent",
            2,
            {"Hemlockkeel-Caller": "urgent"},
        )
        self.assertEqual(200, reply.status, reply.body)
        refused = calls.complete(self.urls[0], "club-1@1", "more", 1)
        self.assertEqual("not_run", refused.error["verdict"])
        self.assertTrue(refused.error["retry"])
        self.assertIn("Retry-After", refused.headers)
        self.assertEqual(0, self.cluster.count_runs("more"))
        for stream in low:
            stream.close()
