"""Credit of organisations, played through by a leader and many entries."""

import functools
import random
import unittest

from hemlockkeel._internal.policy import credit
from hemlockkeel._internal.routes import organisations
from tests.lib import quota_load

ENTRIES = 21
ORGANISATIONS = 16
PLAY_S = 40.0
CHANGE_S = 15.0
# Usual load as a part of the quota, and that of a burst.
USUAL = 0.55
BURST = 7.5 * USUAL
SMALLEST_RATE = 29_000.0
LARGEST_RATE = 225_000.0
# The part of its quota that a busy organisation gets at least.
MIN_USED_SHARE = 0.9
ALLOWED_RATIO = quota_load.ALLOWED_RATIO
# Differences of the shares that are due to the order of few requests.
TOLERANCE = 0.01
LARGE = organisations.OrganisationName("o0")
SMALL = organisations.OrganisationName("o15")


def make_demands(
    busy: organisations.OrganisationName = LARGE,
    bursts_s: float = 1.0,
    skewed: bool = False,
) -> list[quota_load.Demand]:
    """Return the usual load of all organisations, with a busy one."""
    made = []
    for number in range(ORGANISATIONS):
        rank = 1.0 - number / (ORGANISATIONS - 1)
        rate = SMALLEST_RATE + (LARGEST_RATE - SMALLEST_RATE) * rank**3
        name = organisations.OrganisationName(f"o{number}")
        rng = random.Random(number)
        weights = [rng.paretovariate(0.7) for _ in range(ENTRIES)]
        made.append(
            quota_load.Demand(
                name,
                quota_load.make_quota(rate, bursts_s * rate),
                [(0.0, BURST if name == busy else USUAL)],
                weights if skewed else None,
            )
        )
    return made


class LoadCase(unittest.TestCase):
    """Base of the tests that play load."""

    def play(
        self, demands: list[quota_load.Demand], seed: int = 1
    ) -> quota_load.Fleet:
        """Play load with the changes that ``prepare`` schedules."""
        self.demands = demands
        fleet = quota_load.Fleet(ENTRIES, seed)
        self.prepare(fleet)
        fleet.play(demands, PLAY_S)
        return fleet

    def prepare(self, fleet: quota_load.Fleet) -> None:
        """Schedule changes to the fleet."""

    def check_windows(self, fleet: quota_load.Fleet) -> None:
        """Check that no window holds more than is allowed."""
        for demand in self.demands:
            self.assertLessEqual(
                fleet.played[demand.name].get_largest_window(),
                quota_load.get_allowed(demand.quota),
                demand.name,
            )

    def check_shares(
        self,
        fleet: quota_load.Fleet,
        busy: organisations.OrganisationName = LARGE,
        begun_at: float = 0.0,
        quota_ratio: float = 1.0,
    ) -> None:
        """Check what each organisation gets after the buckets are filled.

        They begin to be filled at ``begun_at``. The quota of the busy one is
        lowered to ``quota_ratio`` on average.
        """
        for demand in self.demands:
            played = fleet.played[demand.name]
            fill_s = demand.quota.burst / demand.quota.rate / (1.0 - USUAL)
            since = begun_at + fill_s
            if demand.name == busy:
                used = played.get_rate(since, PLAY_S) / demand.quota.rate
                self.assertGreaterEqual(used, quota_ratio * MIN_USED_SHARE)
                continue
            ideal = quota_load.get_ideal_share(
                played.sent, demand.quota, since
            )
            self.assertGreaterEqual(
                played.get_share(since), ideal - TOLERANCE, demand.name
            )


class TestDemand(LoadCase):
    """Guards against quotas that a busy organisation takes from others."""

    def test_others_get_what_a_single_bucket_would_give(self) -> None:
        for busy in (LARGE, SMALL):
            for skewed in (False, True):
                for seed in range(3):
                    with self.subTest(busy=busy, skewed=skewed, seed=seed):
                        demands = make_demands(busy, 1.0, skewed)
                        fleet = self.play(demands, seed)
                        self.check_shares(fleet, busy)
                        self.check_windows(fleet)

    def test_others_get_everything_with_a_burst_of_three_seconds(self) -> None:
        fleet = self.play(make_demands(LARGE, 3.0))
        for demand in self.demands[1:]:
            share = fleet.played[demand.name].get_share(7.0)
            self.assertEqual(share, 1.0, demand.name)
        self.check_windows(fleet)

    def test_demand_that_shifts_between_entries(self) -> None:
        demands = make_demands(LARGE)
        fleet = quota_load.Fleet(ENTRIES, 1)
        self.demands = demands

        def shift(step: int, now: float) -> None:
            fleet.moved_by = step

        for step in range(int(PLAY_S)):
            fleet.at(float(step), functools.partial(shift, step))
        demands[0].weights = [1.0] + [0.0] * (ENTRIES - 1)
        fleet.play(demands, PLAY_S)
        self.check_shares(fleet, LARGE)
        self.check_windows(fleet)

    def test_large_requests_get_their_part_of_a_busy_quota(self) -> None:
        played = self.play(make_demands(LARGE)).played[LARGE]
        shares = []
        for cost in quota_load.COSTS:
            sent = sum(c == cost for _, c, _ in played.sent)
            shares.append(sum(c == cost for _, c, _ in played.granted) / sent)
        self.assertGreater(min(shares), max(shares) / 2)


class TestLeaderChange(LoadCase):
    """Guards against quotas that are issued twice around an election."""

    gap_s = 0.0

    def prepare(self, fleet: quota_load.Fleet) -> None:
        for at in (CHANGE_S, CHANGE_S + 4.0):
            fleet.at(at, fleet.stop_leader)
            fleet.at(at + self.gap_s, fleet.start_leader)

    def test_new_leaders(self) -> None:
        for self.gap_s in (0.0, 0.3, 2.0):
            for seed in range(3):
                with self.subTest(gap=self.gap_s, seed=seed):
                    fleet = self.play(make_demands(LARGE), seed)
                    self.check_windows(fleet)
                    begun_at = CHANGE_S + 4.0 + self.gap_s
                    self.check_shares(fleet, begun_at=begun_at)

    def test_leader_that_is_gone_for_two_seconds(self) -> None:
        self.gap_s = 2.0
        fleet = self.play(make_demands(LARGE))
        until = CHANGE_S + self.gap_s
        granted = sent = 0.0
        for demand in self.demands[1:]:
            played = fleet.played[demand.name]
            since = CHANGE_S
            granted += (until - since) * played.get_rate(since, until)
            sent += sum(c for at, c, _ in played.sent if since <= at < until)
        # The entries' parts of the quotas alone would be about a quarter.
        self.assertGreater(granted / sent, 0.5)


class TestLostEntries(LoadCase):
    """Guards against entries that spend the parts of others while cut off."""

    cut = 0

    def prepare(self, fleet: quota_load.Fleet) -> None:
        for entry in range(self.cut):
            fleet.at(CHANGE_S, functools.partial(fleet.cut, entry))

    def test_entries_cut_off(self) -> None:
        for self.cut in (1, 5, 10):
            fleet = self.play(make_demands(LARGE))
            self.check_windows(fleet)
            for demand in self.demands:
                spent = [0.0] * ENTRIES
                for at, cost, entry in fleet.played[demand.name].granted:
                    spent[entry] += cost if at > CHANGE_S else 0.0
                part = demand.quota.rate * (PLAY_S - CHANGE_S) / ENTRIES
                bonus = (
                    credit.ISOLATION_TOLERANCE_SHARE
                    * quota_load.ALLOWED_TOKENS
                    + demand.quota.burst
                )
                most = part + bonus / ENTRIES + 2 * max(quota_load.COSTS)
                self.assertLessEqual(max(spent[: self.cut]), most)


class TestChangedLimits(LoadCase):
    """Guards against limits that take long, and against storms of them."""

    def test_lowered_limit_holds_within_a_window(self) -> None:
        fleet = quota_load.Fleet(ENTRIES, 1)
        lowered = quota_load.make_quota(SMALLEST_RATE)

        def lower(now: float) -> None:
            fleet.quotas[LARGE] = lowered

        fleet.at(CHANGE_S, lower)
        fleet.play(make_demands(LARGE), PLAY_S)
        played = fleet.played[LARGE]
        self.assertLessEqual(
            played.get_largest_window(CHANGE_S),
            quota_load.get_allowed(lowered),
        )
        self.assertGreaterEqual(
            played.get_rate(CHANGE_S + 2.0, PLAY_S),
            MIN_USED_SHARE * SMALLEST_RATE,
        )

    def test_storm_of_configurations_issues_nothing(self) -> None:
        fleet = quota_load.Fleet(ENTRIES, 1)
        self.demands = demands = make_demands(LARGE)
        usual = demands[0].quota

        def change(count: int, now: float) -> None:
            ratio = 1.0 if count % 2 else 0.2
            fleet.quotas[LARGE] = quota_load.make_quota(
                ratio * usual.rate, ratio * usual.burst
            )

        for count in range(int(PLAY_S / 0.05)):
            at = 0.05 * count
            fleet.at(at, functools.partial(change, count))
        fleet.play(demands, PLAY_S)
        self.check_windows(fleet)
        rate = fleet.played[LARGE].get_rate(1.0, PLAY_S)
        # The mean of both rates is 0.6 of the higher one.
        self.assertLessEqual(rate, ALLOWED_RATIO * 0.6 * usual.rate)
        self.check_shares(fleet, quota_ratio=0.6)


class TestIssuer(unittest.TestCase):
    """Rules of a bucket that load does not show."""

    def setUp(self) -> None:
        self.issuer = credit.CreditIssuer()
        self.issuer.begin_term(100.0)
        self.quota = quota_load.make_quota(100.0, 200.0)

    def issue(
        self, units: float, now: float, prefetch: float = 0.0
    ) -> credit.Issue:
        return self.issuer.issue(LARGE, self.quota, units, prefetch, now)

    def test_bucket_is_empty_at_the_start_of_a_term(self) -> None:
        self.assertEqual(self.issue(1.0, 100.0).units, 0.0)
        issue = self.issue(100.0, 100.0)
        self.assertEqual(issue.units, 0.0)
        self.assertGreater(issue.wait_s, 0.5)
        self.assertEqual(self.issue(100.0, 101.0).units, 100.0)

    def test_advance_only_from_more_than_half_a_bucket(self) -> None:
        self.assertEqual(self.issue(10.0, 200.0, 50.0).units, 60.0)
        self.assertEqual(self.issue(10.0, 200.0, 50.0).units, 40.0)
        self.assertEqual(self.issue(10.0, 200.0, 50.0).units, 10.0)

    def test_request_larger_than_the_burst_needs_a_full_bucket(self) -> None:
        self.assertEqual(self.issue(300.0, 101.9).units, 0.0)
        self.assertEqual(self.issue(300.0, 102.0).units, 300.0)
        # Its debt is paid first.
        self.assertEqual(self.issue(1.0, 102.9).units, 0.0)
        self.assertEqual(self.issue(1.0, 103.1).units, 1.0)
        self.assertEqual(self.issue(1200.0, 900.0).units, 0.0)

    def test_refused_callers_are_told_different_times(self) -> None:
        waits = [self.issue(100.0, 100.0).wait_s for _ in range(10)]
        self.assertEqual(waits[:3], sorted(set(waits[:3])))
        self.assertAlmostEqual(waits[2] - waits[1], 1.0)
        self.assertEqual(max(waits), credit.MAX_WAIT_S)

    def test_forgotten_buckets_are_full(self) -> None:
        self.issue(150.0, 200.0)
        self.issuer.expire(201.0)
        self.assertTrue(self.issuer.buckets)
        self.issuer.expire(300.0)
        self.assertFalse(self.issuer.buckets)
        self.assertEqual(self.issue(200.0, 300.0).units, 200.0)

    def test_share_of_lost_entries(self) -> None:
        entries = credit.EntryCount()
        for name in "abcd":
            entries.add(name)
        entries.remove("a", 10.0)
        self.assertEqual(entries.get_share(11.0), 0.75)
        entries.add("a")
        self.assertEqual(entries.get_share(11.0), 1.0)
        entries.remove("a", 20.0)
        later = 20.0 + credit.LOST_ENTRY_S
        self.assertEqual(entries.get_share(later), 1.0)


class TestLocalBucket(unittest.TestCase):
    """Guards against credit that appears by losing contact or by waiting."""

    def test_short_isolations_grant_the_rate_on_average(self) -> None:
        rng = random.Random(1)
        granted = sum(
            not credit.LocalBucket(100.0, 0.0, rng, 0.0).acquire(
                100.0, 100.0, 0.1
            )
            for _ in range(10_000)
        )
        self.assertAlmostEqual(granted / 10_000, 0.1, delta=0.01)

    def test_nothing_is_saved_up(self) -> None:
        bucket = credit.LocalBucket(100.0, 0.0, random.Random(1), 0.0)
        self.assertEqual(bucket.acquire(100.0, 100.0, 50.0), 0.0)
        self.assertAlmostEqual(bucket.acquire(100.0, 100.0, 50.2), 0.8)
        self.assertEqual(bucket.acquire(100.0, 100.0, 51.1), 0.0)


class TestAccount(unittest.TestCase):
    """Credit that an entry holds."""

    def setUp(self) -> None:
        self.account = credit.EntryAccount(quota_load.make_quota(100.0), 0.0)

    def test_held_credit_expires(self) -> None:
        self.account.record_grant(10.0, credit.Issue(30.0), 1.0, 0.0)
        self.assertIs(self.account.decide(15.0, 0.9), credit.GRANTED)
        self.assertIsNone(self.account.decide(6.0, 0.9))
        self.assertIsNone(self.account.decide(5.0, 1.0))

    def test_credit_of_requests_that_never_ran_does_not_pile_up(self) -> None:
        for _ in range(100):
            self.account.record_grant(10.0, credit.Issue(10.0), 1.0, 0.0)
        for _ in range(100):
            self.account.give_back(10.0, 20.0)
        # What was used has faded since, so one request's credit is held.
        self.assertEqual(self.account.get_held(20.0), 10.0)

    def test_lowered_limit_drops_what_is_held(self) -> None:
        self.account.hold(50.0, 1.0)
        self.account.set_quota(quota_load.make_quota(10.0))
        self.assertEqual(self.account.get_held(0.0), 0.0)

    def test_refusal_is_repeated_for_a_short_time(self) -> None:
        self.account.record_refusal(50.0, 3.0, 0.0)
        answer = self.account.decide(50.0, 0.05)
        self.assertEqual(answer, credit.Answer(False, 2.95))
        self.assertIsNone(self.account.decide(20.0, 0.05))
        self.assertIsNone(self.account.decide(50.0, 0.2))
