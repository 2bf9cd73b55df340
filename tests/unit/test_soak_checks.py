"""Tests that the checks of the soak test find violations."""

import math
import unittest

from tests.soak import checks
from tests.soak import history
from tests.soak import targets


def make_request(
    path: str, kind: str, **changes: object
) -> history.SentRequest:
    """Return a request that succeeded, sent 10 s after the start."""
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
    """Return the execution of that request."""
    fields: dict[str, object] = {
        "request_id": "r1",
        "path": path,
        "service": "p",
        "target": "p1-1/5",
        "started_at": 10.1,
    }
    return history.Execution(**{**fields, **changes})


class CheckCase(unittest.TestCase):
    """Base class that runs all checks on a history."""

    def find(self, recorded: history.History) -> list[str]:
        """Return the names of the checks that found a violation."""
        found = checks.find_violations(recorded)
        return sorted({violation.partition(":")[0] for violation in found})

    def assert_clean(self, recorded: history.History) -> None:
        self.assertEqual(checks.find_violations(recorded), [])


class TestResponsesAndExecutions(CheckCase):
    """Checks of responses, repeated executions and refusals."""

    def make_history(self, **changes: object) -> history.History:
        request = make_request("/once/x", "unsafe", **changes)
        return history.History(
            requests=[request], executions=[make_execution("/once/x")]
        )

    def test_correct_response(self) -> None:
        self.assert_clean(self.make_history())

    def test_response_to_another_request(self) -> None:
        recorded = self.make_history(body=b"r2 /once/x")
        self.assertEqual(self.find(recorded), ["check_responses"])

    def test_success_without_a_seal(self) -> None:
        recorded = self.make_history(has_seal=False)
        self.assertEqual(self.find(recorded), ["check_responses"])

    def test_second_execution(self) -> None:
        recorded = self.make_history()
        recorded.executions.append(make_execution("/once/x", target="p2-1/5"))
        self.assertEqual(self.find(recorded), ["check_executions"])

    def test_execution_after_refusal(self) -> None:
        recorded = self.make_history(status=503, body=b"", has_seal=False)
        self.assertEqual(self.find(recorded), ["check_executions"])

    def test_execution_of_unsent_request(self) -> None:
        recorded = self.make_history()
        recorded.executions.append(
            make_execution("/once/x", request_id="other")
        )
        self.assertEqual(self.find(recorded), ["check_executions"])

    def test_execution_with_another_adapter(self) -> None:
        recorded = self.make_history(adapter="a1")
        self.assertEqual(self.find(recorded), ["check_executions"])

    def test_execution_with_another_path(self) -> None:
        recorded = self.make_history()
        recorded.executions[0].path = "/once/y"
        self.assertEqual(self.find(recorded), ["check_executions"])


class TestFatalRequests(CheckCase):
    """The check of requests that end targets."""

    def make_history(self, *times: float) -> history.History:
        """Return a history with an execution at each time."""
        recorded = history.History()
        for number, at in enumerate(times):
            sent = make_request(
                "/once/fatal",
                "unsafe",
                request_id=f"r{number}",
                sent_at=at,
                ended_at=at,
                complete=False,
            )
            run = make_execution(
                "/once/fatal", request_id=f"r{number}", started_at=at
            )
            recorded.requests.append(sent)
            recorded.executions.append(run)
        return recorded

    def test_executions_long_after_the_third_are_found(self) -> None:
        recorded = self.make_history(1.0, 2.0, 3.0, 6.1, 6.2, 6.3, 6.4)
        self.assertEqual(self.find(recorded), ["check_fatal_requests"])

    def test_executions_while_entries_learn_of_it_are_allowed(self) -> None:
        self.assert_clean(self.make_history(1.0, 2.0, 3.0, 4.0, 5.0, 5.9, 6.1))


class TestStreams(CheckCase):
    """Checks of event streams."""

    def make_history(
        self, events: list[int], complete: bool
    ) -> history.History:
        request = make_request(
            "/stream/x", "stream", event_ids=events, complete=complete
        )
        return history.History(
            requests=[request], executions=[make_execution("/stream/x")]
        )

    def test_complete_and_interrupted_streams(self) -> None:
        complete = list(range(1, targets.STREAM_EVENT_COUNT + 1))
        self.assert_clean(self.make_history(complete, True))
        self.assert_clean(self.make_history([1, 2], False))

    def test_missing_or_repeated_event(self) -> None:
        for events in ([1, 3], [1, 1], [2], [1, -1]):
            recorded = self.make_history(events, False)
            self.assertEqual(self.find(recorded), ["check_streams"], events)

    def test_complete_response_with_missing_events(self) -> None:
        recorded = self.make_history([1, 2], True)
        self.assertEqual(self.find(recorded), ["check_streams"])


class TestConfiguration(CheckCase):
    """Checks of the versions that entries apply and reads return."""

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

    def test_old_service_after_the_time_limit(self) -> None:
        recorded = self.make_history("q")
        self.assertEqual(self.find(recorded), ["check_configuration_applied"])

    def test_old_service_within_the_time_limit(self) -> None:
        recorded = self.make_history("q")
        recorded.configuration_changes[1].acknowledged_at = 8.5
        self.assert_clean(recorded)

    def test_old_service_of_an_entry_after_a_fault(self) -> None:
        recorded = self.make_history("q")
        for name in ("entry-1", ""):
            fault = history.FaultPeriod(name, 5.0, 8.0, "freeze")
            recorded.fault_periods = [fault]
            self.assert_clean(recorded)
        recorded.fault_periods = [
            history.FaultPeriod("entry-2", 5.0, 8.0, "kill")
        ]
        self.assertEqual(self.find(recorded), ["check_configuration_applied"])

    def test_removed_route_after_a_newer_version(self) -> None:
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
        # A restarted entry may begin with an older version.
        newer.incarnation = 1
        self.assert_clean(recorded)

    def test_read_of_an_older_version(self) -> None:
        recorded = self.make_history("p")
        recorded.configuration_reads = [history.ConfigurationRead(4.0, 2)]
        self.assert_clean(recorded)
        recorded.configuration_reads = [history.ConfigurationRead(6.0, 1)]
        self.assertEqual(self.find(recorded), ["check_configuration_reads"])


class TestDepartures(CheckCase):
    """Checks of departed targets and of stopping entries."""

    def test_request_to_a_departed_target(self) -> None:
        recorded = history.History(
            requests=[make_request("/safe/x", "safe")],
            executions=[make_execution("/safe/x")],
            departures=[history.Departure("p1-1/5", 9.0)],
        )
        self.assert_clean(recorded)
        recorded.departures = [history.Departure("p1-1/5", 8.0)]
        self.assertEqual(self.find(recorded), ["check_departures"])

    def test_stop_that_interrupts_a_request(self) -> None:
        request = make_request("/safe/x", "safe", complete=False)
        recorded = history.History(
            requests=[request],
            executions=[make_execution("/safe/x")],
            fault_periods=[history.FaultPeriod("entry-1", 10.1, 12.0, "term")],
        )
        self.assertEqual(self.find(recorded), ["check_graceful_stops"])
        # A killed entry or a failed target may interrupt the request.
        recorded.fault_periods[0].kind = "kill"
        self.assert_clean(recorded)
        recorded.fault_periods[0].kind = "term"
        recorded.executions[0].failed = True
        self.assert_clean(recorded)


class TestWithdrawals(CheckCase):
    """Targets that leave or ask for a pause, and retries."""

    def make_history(
        self, told_s: float, *arrivals: float, entry: str = "entry-1"
    ) -> history.History:
        """Return requests that arrive so long after a response."""
        recorded = history.History(requests=[make_request("/safe/x", "safe")])
        recorded.withdrawals.append(
            history.Withdrawal("r1", "p1-1/5", 10.0, 10.0 + told_s)
        )
        for number, after_s in enumerate(arrivals):
            request_id = f"later-{number}"
            recorded.requests.append(
                make_request(
                    "/safe/x",
                    "safe",
                    request_id=request_id,
                    entry=entry,
                    body=targets.make_response_body(request_id, "/safe/x"),
                )
            )
            recorded.arrivals.append(
                history.Arrival(request_id, "p1-1/5", 10.0 + after_s)
            )
        return recorded

    def test_request_to_a_leaving_target(self) -> None:
        late = checks.DEPARTURE_TIMEOUT_S + 0.1
        recorded = self.make_history(math.inf, 0.1, late)
        self.assertEqual(self.find(recorded), ["check_withdrawals"])
        self.assert_clean(self.make_history(math.inf, late, entry="entry-2"))
        recorded.fault_periods.append(
            history.FaultPeriod("p1", 10.5, 11.0, "cut")
        )
        self.assert_clean(recorded)

    def test_requests_in_a_pause(self) -> None:
        self.assert_clean(self.make_history(2.0, 0.2, 0.3, 0.6, 1.9, 2.1))
        recorded = self.make_history(2.0, 0.6, 0.7, 1.9)
        self.assertEqual(self.find(recorded), ["check_withdrawals"])

    def test_too_many_retries(self) -> None:
        limit = int(checks.RETRY_RESERVE + checks.RETRY_RATIO)
        recorded = history.History()
        for number in range(limit + 1):
            recorded.arrivals.append(
                history.Arrival("r1", "p1-1/5", 10.0 + number * 0.01)
            )
        self.assert_clean(recorded)
        recorded.arrivals.append(history.Arrival("r1", "p1-1/5", 12.0))
        self.assertEqual(self.find(recorded), ["check_retries"])
