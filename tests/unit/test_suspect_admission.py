"""Tests of the decision whether a suspected request is sent on."""

import dataclasses
import unittest

from hemlockkeel._internal.discovery import crash_ledger
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.relay import suspect_admission

UNKNOWN = suspect_admission.SuspectState(
    crash_ledger.Suspicion.NONE, 0.0, 0, False, ()
)
SUSPECTED = dataclasses.replace(
    UNKNOWN, suspicion=crash_ledger.Suspicion.SUSPECTED, last_crash_at=10.0
)
CONTESTED = dataclasses.replace(
    SUSPECTED, suspicion=crash_ledger.Suspicion.CONTESTED
)
BLAMED = dataclasses.replace(
    SUSPECTED, suspicion=crash_ledger.Suspicion.BLAMED
)


class TestFindHold(unittest.TestCase):
    """Holds by suspicion, copies and losses."""

    def check(
        self,
        state: suspect_admission.SuspectState,
        cause: results.Cause | None,
        now: float = 11.0,
    ) -> suspect_admission.Hold | None:
        """Check the cause of the hold with a trial 2 s after the crash."""
        hold = suspect_admission.find_hold(state, 2.0, now)
        self.assertIs(hold.cause if hold else None, cause)
        return hold

    def test_unsuspected_and_suspected_requests_are_sent(self) -> None:
        self.check(UNKNOWN, None)
        self.check(dataclasses.replace(UNKNOWN, copies=5), None)
        self.check(SUSPECTED, None)

    def test_blamed_request_is_quarantined(self) -> None:
        self.check(BLAMED, results.Cause.QUARANTINED, 10_000.0)

    def test_blamed_shared_trait_is_tried_after_growing_delays(self) -> None:
        delays = [
            suspect_admission.get_retrial_delay_s(2.0, failed, ambiguous)
            for failed in (0, 1, 2, 99)
            for ambiguous in (False, True)
        ]
        self.assertEqual(
            delays, [4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 1800.0, 1800.0]
        )

    def test_one_copy_of_a_suspect_at_a_time(self) -> None:
        state = dataclasses.replace(SUSPECTED, copies=1)
        self.check(state, results.Cause.SUSPECTED)

    def test_contested_requests_are_tried_one_after_the_other(self) -> None:
        hold = self.check(CONTESTED, results.Cause.SUSPECTED)
        assert hold is not None
        self.assertAlmostEqual(hold.wait_s, 1.0)
        self.check(CONTESTED, None, 12.5)
        state = dataclasses.replace(CONTESTED, other_contested=True)
        self.check(state, results.Cause.SUSPECTED, 12.5)

    def test_request_that_is_lost_repeatedly_waits_for_news(self) -> None:
        state = dataclasses.replace(UNKNOWN, losses=(10.0, 10.5, 10.9))
        hold = self.check(state, results.Cause.SUSPECTED)
        assert hold is not None
        self.assertAlmostEqual(hold.wait_s, 2.0)
        self.check(state, None, 13.1)
        self.check(dataclasses.replace(UNKNOWN, losses=(10.0, 10.9)), None)
