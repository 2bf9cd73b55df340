"""The soak's checks find what they are there for."""

import unittest

from tests.soak import checks
from tests.soak import history
from tests.soak import targets


def make_sent(path: str, kind: str, **changes: object) -> history.Sent:
    """Return a request that was answered well, ten seconds in."""
    fields: dict[str, object] = {
        "request_id": "r1",
        "path": path,
        "kind": kind,
        "entry": "entry-1",
        "incarnation": 0,
        "sent_at": 10.0,
        "status": 200,
        "body": targets.make_body("r1", path),
        "sealed": True,
        "complete": True,
        "ended_at": 10.2,
    }
    return history.Sent(**{**fields, **changes})


def make_ran(path: str, **changes: object) -> history.Ran:
    """Return the run of that request."""
    fields: dict[str, object] = {
        "request_id": "r1",
        "path": path,
        "service": "p",
        "target": "p1-1/5",
        "at": 10.1,
    }
    return history.Ran(**{**fields, **changes})


class CheckCase(unittest.TestCase):
    """Runs all checks."""

    def find(self, seen: history.History) -> list[str]:
        """Return the names of the checks that found something."""
        found = checks.check(seen)
        return sorted({fault.partition(":")[0] for fault in found})

    def assert_clean(self, seen: history.History) -> None:
        self.assertEqual(checks.check(seen), [])


class TestAnswersAndRuns(CheckCase):
    """Answers, repeats, refusals."""

    def make_seen(self, **changes: object) -> history.History:
        sent = make_sent("/once/x", "unsafe", **changes)
        return history.History(sent=[sent], ran=[make_ran("/once/x")])

    def test_good_answer(self) -> None:
        self.assert_clean(self.make_seen())

    def test_answer_of_another_request(self) -> None:
        seen = self.make_seen(body=b"r2 /once/x")
        self.assertEqual(self.find(seen), ["check_answers"])

    def test_success_without_a_seal(self) -> None:
        seen = self.make_seen(sealed=False)
        self.assertEqual(self.find(seen), ["check_answers"])

    def test_second_run(self) -> None:
        seen = self.make_seen()
        seen.ran.append(make_ran("/once/x", target="p2-1/5"))
        self.assertEqual(self.find(seen), ["check_runs"])

    def test_refused_and_run(self) -> None:
        seen = self.make_seen(status=503, body=b"", sealed=False)
        self.assertEqual(self.find(seen), ["check_runs"])

    def test_run_that_nobody_sent(self) -> None:
        seen = self.make_seen()
        seen.ran.append(make_ran("/once/x", request_id="other"))
        self.assertEqual(self.find(seen), ["check_runs"])

    def test_run_on_another_adapter(self) -> None:
        seen = self.make_seen(adapter="a1")
        self.assertEqual(self.find(seen), ["check_runs"])

    def test_path_changed(self) -> None:
        seen = self.make_seen()
        seen.ran[0].path = "/once/y"
        self.assertEqual(self.find(seen), ["check_runs"])


class TestStreams(CheckCase):
    """Events of streams."""

    def make_seen(self, events: list[int], complete: bool) -> history.History:
        sent = make_sent(
            "/stream/x", "stream", events=events, complete=complete
        )
        return history.History(sent=[sent], ran=[make_ran("/stream/x")])

    def test_whole_and_cut_streams(self) -> None:
        whole = list(range(1, targets.STREAM_EVENTS + 1))
        self.assert_clean(self.make_seen(whole, True))
        self.assert_clean(self.make_seen([1, 2], False))

    def test_missing_or_repeated_event(self) -> None:
        for events in ([1, 3], [1, 1], [2], [1, -1]):
            seen = self.make_seen(events, False)
            self.assertEqual(self.find(seen), ["check_streams"], events)

    def test_early_end_that_looks_complete(self) -> None:
        seen = self.make_seen([1, 2], True)
        self.assertEqual(self.find(seen), ["check_streams"])


class TestConfiguration(CheckCase):
    """Versions in force, never older, read back."""

    def make_seen(self, service: str) -> history.History:
        return history.History(
            sent=[make_sent("/moved/x", "safe")],
            ran=[make_ran("/moved/x", service=service)],
            configured=[
                history.Configured(1, "q", 1.0, 1.5),
                history.Configured(2, "p", 2.0, 2.5),
            ],
        )

    def test_newest_service(self) -> None:
        self.assert_clean(self.make_seen("p"))

    def test_old_service_after_the_bound(self) -> None:
        seen = self.make_seen("q")
        self.assertEqual(self.find(seen), ["check_configuration"])

    def test_old_service_within_the_bound(self) -> None:
        seen = self.make_seen("q")
        seen.configured[1].acknowledged_at = 8.5
        self.assert_clean(seen)

    def test_old_service_of_an_entry_out_of_touch(self) -> None:
        seen = self.make_seen("q")
        for name in ("entry-1", ""):
            fault = history.Disturbance(name, 5.0, 8.0, "freeze")
            seen.disturbances = [fault]
            self.assert_clean(seen)
        seen.disturbances = [history.Disturbance("entry-2", 5.0, 8.0, "kill")]
        self.assertEqual(self.find(seen), ["check_configuration"])

    def test_dropped_route_after_its_successor(self) -> None:
        newer = make_sent("/only-5/x", "safe", request_id="r0", sent_at=9.0)
        newer.body = targets.make_body("r0", "/only-5/x")
        seen = history.History(
            sent=[newer, make_sent("/only-3/x", "safe")],
            ran=[
                make_ran("/only-5/x", request_id="r0", at=9.1),
                make_ran("/only-3/x"),
            ],
        )
        self.assertEqual(self.find(seen), ["check_rollback"])
        # Another start of the entry may know less.
        newer.incarnation = 1
        self.assert_clean(seen)

    def test_older_version_read_back(self) -> None:
        seen = self.make_seen("p")
        seen.read_back = [history.ReadBack(4.0, 2)]
        self.assert_clean(seen)
        seen.read_back = [history.ReadBack(6.0, 1)]
        self.assertEqual(self.find(seen), ["check_reads"])


class TestLeaving(CheckCase):
    """Targets that leave, and stops of entries."""

    def test_work_for_a_target_that_left(self) -> None:
        seen = history.History(
            sent=[make_sent("/safe/x", "safe")],
            ran=[make_ran("/safe/x")],
            left=[history.Left("p1-1/5", 9.0)],
        )
        self.assert_clean(seen)
        seen.left = [history.Left("p1-1/5", 8.0)]
        self.assertEqual(self.find(seen), ["check_leaving"])

    def test_stop_that_cuts_a_request(self) -> None:
        sent = make_sent("/safe/x", "safe", complete=False)
        seen = history.History(
            sent=[sent],
            ran=[make_ran("/safe/x")],
            disturbances=[history.Disturbance("entry-1", 10.1, 12.0, "term")],
        )
        self.assertEqual(self.find(seen), ["check_stops"])
        # A kill may cut it, and so may the target.
        seen.disturbances[0].kind = "kill"
        self.assert_clean(seen)
        seen.disturbances[0].kind = "term"
        seen.ran[0].broken = True
        self.assert_clean(seen)
