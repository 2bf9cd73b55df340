"""Crashes of targets as the agents beside them see and report them."""

import collections.abc
import threading
import time
import typing
import unittest
import unittest.mock

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.agent import answers
from hemlockkeel._internal.agent import crashes
from hemlockkeel._internal.agent import engine_driver
from hemlockkeel._internal.agent import plain_driver
from hemlockkeel._internal.engines import base
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.policy import eviction
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.utils import metrics
from tests.lib import closing_server

# Longest wait for a condition.
WAIT_S = 10.0


class FakeControl:
    """A control client; while ``available`` is unset, calls fail."""

    def __init__(self) -> None:
        self.available = threading.Event()
        self.available.set()
        self.calls = 0
        self.reports: list[commands.ReportCrash] = []
        self.reported = threading.Event()

    def propose(self, command: object, timeout_s: float) -> None:
        self.calls += 1
        if not self.available.is_set():
            raise exceptions.ControlUnavailableError("no leader")
        assert isinstance(command, commands.ReportCrash)
        self.reports.append(command)
        self.reported.set()


class FakeCatalog:
    """Suspected and quarantined requests."""

    def __init__(self) -> None:
        self.suspects: set[str] = set()
        self.quarantined: set[str] = set()

    def is_suspect(self, digest: str) -> bool:
        return digest in self.suspects | self.quarantined

    def is_quarantined(self, digest: str, wall: float) -> bool:
        return digest in self.quarantined


class FakeEngine:
    """An engine whose runs end when the test lets them."""

    def __init__(self) -> None:
        self.boot_id = "b1"
        self.started: list[str] = []
        self.changed = threading.Condition()
        self.crashed = False

    def get_identity(self) -> base.Identity:
        return base.Identity(
            self.boot_id, "m", base.EngineRole.MIXED, 2, 0, False
        )

    def get_report(self) -> base.Report:
        return base.Report(self.boot_id, 0, 0, [], 0.0)

    def run(
        self, order: base.RunOrder
    ) -> collections.abc.Iterator[base.Event]:
        with self.changed:
            self.started.append(order.body.decode())
            self.changed.notify_all()
            self.changed.wait_for(lambda: self.crashed, WAIT_S)
        raise base.RunFailedError(
            outcomes.RefusalCode.LOST,
            "lost",
            outcomes.Verdict.MAY_HAVE_RUN,
            crashed=True,
        )
        yield

    def resume(
        self, request_id: str, offset: int
    ) -> collections.abc.Iterator[base.Event]:
        raise base.RunFailedError(
            outcomes.RefusalCode.ENGINE_FAILED,
            "unknown run",
            outcomes.Verdict.MAY_HAVE_RUN,
        )
        yield

    def crash(self) -> None:
        """End all runs, as a crash of the engine does."""
        with self.changed:
            self.crashed = True
            self.changed.notify_all()

    def wait_for_start(self, body: str) -> None:
        """Wait until a request runs."""
        with self.changed:
            assert self.changed.wait_for(lambda: body in self.started, WAIT_S)


def make_follower(catalog: FakeCatalog) -> typing.Any:
    """Return what drivers need of a follower."""
    follower = unittest.mock.MagicMock()
    follower.catalog = catalog
    follower.incarnation = 1
    follower.get_state.return_value = engine_driver.engine_run.ORDERING_STATES[
        0
    ]
    return follower


def make_order(body: str, suspect: bool = False) -> ttypes.WorkOrder:
    """Return a work order whose digest is its body."""
    return ttypes.WorkOrder(
        request_id=f"r-{body}",
        attempt=0,
        owner="entry",
        owner_incarnation=1,
        body=body.encode(),
        content_digest=body,
        deadline_ms=int(WAIT_S * 1000),
        suspect=suspect,
        adapter="",
        path="/",
        method="POST",
        priority=0,
        idempotent=False,
        popularity=0.0,
        hold_ms=0,
        stall_weight=1.0,
        caller="",
        resume_attempt=-1,
    )


class AgentCase(unittest.TestCase):
    """Base of the tests of drivers."""

    def setUp(self) -> None:
        self.control = FakeControl()
        self.catalog = FakeCatalog()
        self.reporter = crashes.CrashReporter(
            typing.cast(typing.Any, self.control), "t1", lambda timeout_s: True
        )
        self.addCleanup(self.reporter.stop)
        self.store = answers.AnswerStore()

    def submit(
        self, driver: typing.Any, body: str, suspect: bool = False
    ) -> None:
        """Open the answer of an order and submit it."""
        order = make_order(body, suspect)
        self.assertIsNone(self.store.open(order))
        self.assertIsNone(driver.submit(order))

    def wait_for(self, check: collections.abc.Callable[[], object]) -> None:
        """Wait until a check returns a true value."""
        ended = threading.Event()
        deadline = time.monotonic() + WAIT_S
        while not check():
            self.assertLess(time.monotonic(), deadline)
            ended.wait(0.01)


class TestReports(AgentCase):
    """Reports to control members that do not answer."""

    def test_crash_is_reported_once_control_answers_again(self) -> None:
        self.control.available.clear()
        self.reporter.report("b1", ["bad"])
        self.wait_for(lambda: self.control.calls)
        self.control.available.set()
        self.assertTrue(self.control.reported.wait(WAIT_S))
        self.assertEqual(self.control.reports[0].digests, ["bad"])
        self.assertEqual(self.control.reports[0].boot_id, "b1")


class TestEngineDriver(AgentCase):
    """Crashes and quarantine at a driver of an engine."""

    def setUp(self) -> None:
        super().setUp()
        self.engine = FakeEngine()
        self.driver = engine_driver.EngineDriver(
            typing.cast(typing.Any, self.engine),
            "s",
            "t1",
            self.store,
            make_follower(self.catalog),
            self.reporter,
            eviction.LeastRecentlyUsed(),
            metrics.Metrics(),
        )
        self.addCleanup(self.driver.stop)
        self.addCleanup(self.engine.crash)

    def test_crash_that_the_monitor_saw_first_is_reported_once(self) -> None:
        self.submit(self.driver, "bad")
        self.engine.wait_for_start("bad")
        self.engine.boot_id = "b2"
        self.driver.check_boot(self.engine.get_identity())
        self.engine.crash()
        self.wait_for(lambda: not self.driver.scheduler.running)
        self.assertEqual([r.boot_id for r in self.control.reports], ["b1"])

    def test_run_that_ends_after_the_restart_does_not_report_the_new_boot(
        self,
    ) -> None:
        def is_same_boot() -> bool:
            # The monitor sees the restart just after the run has.
            self.engine.boot_id = "b2"
            self.driver.check_boot(self.engine.get_identity())
            return False

        self.driver.is_same_boot = is_same_boot  # type: ignore
        self.submit(self.driver, "bad")
        self.engine.wait_for_start("bad")
        self.engine.crash()
        self.wait_for(lambda: not self.driver.active_attempts)
        self.assertEqual([r.boot_id for r in self.control.reports], ["b1"])

    def test_crashes_in_a_row_are_all_reported(self) -> None:
        for number in (1, 2):
            self.submit(self.driver, f"bad{number}")
            if number > 1:
                # The restart has not been seen yet.
                self.assertNotIn(f"bad{number}", self.engine.started)
                self.driver.check_boot(self.engine.get_identity())
                self.driver.schedule()
            self.engine.wait_for_start(f"bad{number}")
            self.engine.boot_id = f"b{number + 1}"
            self.engine.crash()
            self.wait_for(lambda: not self.driver.active_attempts)
            self.engine.crashed = False
        self.assertEqual(
            [r.boot_id for r in self.control.reports], ["b1", "b2"]
        )

    def test_queued_request_does_not_start_once_it_is_quarantined(
        self,
    ) -> None:
        for body in ("a", "b"):
            self.submit(self.driver, body)
            self.engine.wait_for_start(body)
        self.submit(self.driver, "bad")
        self.catalog.quarantined.add("bad")
        self.engine.crash()
        self.wait_for(lambda: not self.driver.active_attempts)
        self.assertEqual(sorted(self.engine.started), ["a", "b"])

    def test_queued_request_that_becomes_suspect_runs_alone(self) -> None:
        for body in ("a", "b"):
            self.submit(self.driver, body)
            self.engine.wait_for_start(body)
        self.submit(self.driver, "bad")
        self.catalog.suspects.add("bad")
        with self.driver.lock:
            self.driver.scheduler.finish("r-a", time.monotonic())
        self.driver.schedule()
        self.assertNotIn("bad", self.engine.started)


class TestPlainDriver(AgentCase):
    """Crashes at a driver of a plain service."""

    def setUp(self) -> None:
        super().setUp()
        self.server = closing_server.ClosingServer()
        self.addCleanup(self.server.close)
        self.driver = plain_driver.PlainDriver(
            "127.0.0.1",
            self.server.port,
            "s",
            "t1",
            self.store,
            make_follower(self.catalog),
            self.reporter,
        )
        self.addCleanup(self.driver.stop)

    def test_crash_is_reported_with_all_requests_in_progress(self) -> None:
        for body in ("bad", "good"):
            self.submit(self.driver, body)
        self.server.wait_for_requests(2)
        self.server.crash()
        self.assertTrue(self.control.reported.wait(WAIT_S))
        self.assertEqual(self.control.reports[0].digests, ["bad", "good"])

    def test_each_start_of_the_service_counts(self) -> None:
        for number in range(2):
            order = make_order("bad", suspect=True)
            order.request_id = f"r{number}"
            self.assertIsNone(self.store.open(order))
            self.assertIsNone(self.driver.submit(order))
            self.server.wait_for_requests(number + 1)
            self.server.crash()
            self.wait_for(lambda n=number: len(self.control.reports) == n + 1)
            self.wait_for(lambda: not self.driver.unfinished)
            self.server.start()
        boots = {report.boot_id for report in self.control.reports}
        self.assertEqual(len(boots), 2)

    def test_lost_response_of_a_service_that_listens_is_no_crash(self) -> None:
        self.submit(self.driver, "x")
        self.server.wait_for_requests(1)
        self.server.drop_connections()
        self.wait_for(lambda: not self.driver.unfinished)
        self.assertEqual(self.control.reports, [])

    def test_suspect_runs_alone(self) -> None:
        self.submit(self.driver, "a")
        self.server.wait_for_requests(1)
        self.submit(self.driver, "bad", suspect=True)
        self.wait_for(lambda: self.driver.batch.waiting_suspects)
        self.submit(self.driver, "b")
        self.assertFalse(self.server.wait_for_requests(2, 0.1))
        self.server.drop_connections()
        self.server.wait_for_requests(2)
        self.assertEqual(self.server.bodies, ["a", "bad"])
        self.server.drop_connections()
        self.server.wait_for_requests(3)
        self.assertEqual(self.server.bodies, ["a", "bad", "b"])
