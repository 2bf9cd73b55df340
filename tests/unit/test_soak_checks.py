"""The soak's checks find what they are there for."""

import unittest

from tests.soak import checks
from tests.soak import history
from tests.soak import targets


def make_request(
    path: str, kind: str, **changes: object
) -> history.SentRequest:
    """Return a request that was answered well, ten seconds in."""
    fields: dict[str, object] = {
        "request_id": "r1",
        "path": path,
        "kind": kind,
        "entry": "entry-1",
        "incarnation": 0,
        "sent_at": 10.0,
        "status": 200,
        "body": targets.make_response_body("r1", path),
        "has_seal": True,
        "complete": True,
        "ended_at": 10.2,
    }
    return history.SentRequest(**{**fields, **changes})


def make_execution(path: str, **changes: object) -> history.Execution:
    """Return the run of that request."""
    fields: dict[str, object] = {
        "request_id": "r1",
        "path": path,
        "service": "p",
        "target": "p1-1/5",
        "started_at": 10.1,
    }
    return history.Execution(**{**fields, **changes})


class CheckCase(unittest.TestCase):
    """Runs all checks."""

    def find(self, recorded: history.History) -> list[str]:
        """Return the names of the checks that found something."""
        found = checks.find_violations(recorded)
        return sorted({fault.partition(":")[0] for fault in found})

    def assert_clean(self, recorded: history.History) -> None:
        self.assertEqual(checks.find_violations(recorded), [])


class TestAnswersAndRuns(CheckCase):
    """Answers, repeats, refusals."""

    def make_history(self, **changes: object) -> history.History:
        sent = make_request("/once/x", "unsafe", **changes)
        return history.History(
            requests=[sent], executions=[make_execution("/once/x")]
        )

    def test_good_answer(self) -> None:
        self.assert_clean(self.make_history())

    def test_answer_of_another_request(self) -> None:
        recorded = self.make_history(body=b"r2 /once/x")
        self.assertEqual(self.find(recorded), ["check_responses"])

    def test_success_without_a_seal(self) -> None:
        recorded = self.make_history(has_seal=False)
        self.assertEqual(self.find(recorded), ["check_responses"])

    def test_second_run(self) -> None:
        recorded = self.make_history()
        recorded.executions.append(make_execution("/once/x", target="p2-1/5"))
        self.assertEqual(self.find(recorded), ["check_executions"])

    def test_refused_and_run(self) -> None:
        recorded = self.make_history(status=503, body=b"", has_seal=False)
        self.assertEqual(self.find(recorded), ["check_executions"])

    def test_run_that_nobody_sent(self) -> None:
        recorded = self.make_history()
        recorded.executions.append(
            make_execution("/once/x", request_id="other")
        )
        self.assertEqual(self.find(recorded), ["check_executions"])

    def test_run_on_another_adapter(self) -> None:
        recorded = self.make_history(adapter="a1")
        self.assertEqual(self.find(recorded), ["check_executions"])

    def test_path_changed(self) -> None:
        recorded = self.make_history()
        recorded.executions[0].path = "/once/y"
        self.assertEqual(self.find(recorded), ["check_executions"])


class TestStreams(CheckCase):
    """Events of streams."""

    def make_history(
        self, events: list[int], complete: bool
    ) -> history.History:
        sent = make_request(
            "/stream/x", "stream", event_ids=events, complete=complete
        )
        return history.History(
            requests=[sent], executions=[make_execution("/stream/x")]
        )

    def test_whole_and_cut_streams(self) -> None:
        whole = list(range(1, targets.STREAM_EVENT_COUNT + 1))
        self.assert_clean(self.make_history(whole, True))
        self.assert_clean(self.make_history([1, 2], False))

    def test_missing_or_repeated_event(self) -> None:
        for events in ([1, 3], [1, 1], [2], [1, -1]):
            recorded = self.make_history(events, False)
            self.assertEqual(self.find(recorded), ["check_streams"], events)

    def test_early_end_that_looks_complete(self) -> None:
        recorded = self.make_history([1, 2], True)
        self.assertEqual(self.find(recorded), ["check_streams"])


class TestConfiguration(CheckCase):
    """Versions in force, never older, read back."""

    def make_history(self, service: str) -> history.History:
        return history.History(
            requests=[make_request("/moved/x", "safe")],
            executions=[make_execution("/moved/x", service=service)],
            configuration_changes=[
                history.ConfigurationChange(1, "q", 1.0, 1.5),
                history.ConfigurationChange(2, "p", 2.0, 2.5),
            ],
        )

    def test_newest_service(self) -> None:
        self.assert_clean(self.make_history("p"))

    def test_old_service_after_the_bound(self) -> None:
        recorded = self.make_history("q")
        self.assertEqual(self.find(recorded), ["check_configuration_applied"])

    def test_old_service_within_the_bound(self) -> None:
        recorded = self.make_history("q")
        recorded.configuration_changes[1].acknowledged_at = 8.5
        self.assert_clean(recorded)

    def test_old_service_of_an_entry_out_of_touch(self) -> None:
        recorded = self.make_history("q")
        for name in ("entry-1", ""):
            fault = history.FaultPeriod(name, 5.0, 8.0, "freeze")
            recorded.fault_periods = [fault]
            self.assert_clean(recorded)
        recorded.fault_periods = [
            history.FaultPeriod("entry-2", 5.0, 8.0, "kill")
        ]
        self.assertEqual(self.find(recorded), ["check_configuration_applied"])

    def test_dropped_route_after_its_successor(self) -> None:
        newer = make_request("/only-5/x", "safe", request_id="r0", sent_at=9.0)
        newer.body = targets.make_response_body("r0", "/only-5/x")
        recorded = history.History(
            requests=[newer, make_request("/only-3/x", "safe")],
            executions=[
                make_execution("/only-5/x", request_id="r0", started_at=9.1),
                make_execution("/only-3/x"),
            ],
        )
        self.assertEqual(self.find(recorded), ["check_rollback"])
        # Another start of the entry may know less.
        newer.incarnation = 1
        self.assert_clean(recorded)

    def test_older_version_read_back(self) -> None:
        recorded = self.make_history("p")
        recorded.configuration_reads = [history.ConfigurationRead(4.0, 2)]
        self.assert_clean(recorded)
        recorded.configuration_reads = [history.ConfigurationRead(6.0, 1)]
        self.assertEqual(self.find(recorded), ["check_configuration_reads"])


class TestLeaving(CheckCase):
    """Targets that leave, and stops of entries."""

    def test_work_for_a_target_that_left(self) -> None:
        recorded = history.History(
            requests=[make_request("/safe/x", "safe")],
            executions=[make_execution("/safe/x")],
            departures=[history.Departure("p1-1/5", 9.0)],
        )
        self.assert_clean(recorded)
        recorded.departures = [history.Departure("p1-1/5", 8.0)]
        self.assertEqual(self.find(recorded), ["check_departures"])

    def test_stop_that_cuts_a_request(self) -> None:
        sent = make_request("/safe/x", "safe", complete=False)
        recorded = history.History(
            requests=[sent],
            executions=[make_execution("/safe/x")],
            fault_periods=[history.FaultPeriod("entry-1", 10.1, 12.0, "term")],
        )
        self.assertEqual(self.find(recorded), ["check_graceful_stops"])
        # A kill may cut it, and so may the target.
        recorded.fault_periods[0].kind = "kill"
        self.assert_clean(recorded)
        recorded.fault_periods[0].kind = "term"
        recorded.executions[0].failed = True
        self.assert_clean(recorded)
