"""Tests of the decision which requests are to blame for crashes."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from hemlockkeel._internal.discovery import crash_ledger
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.discovery import traits
from hemlockkeel._internal.models import ids

BAD = ids.Trait("bad")
GOOD = ids.Trait("good")
NONE = crash_ledger.Suspicion.NONE
SUSPECTED = crash_ledger.Suspicion.SUSPECTED
CONTESTED = crash_ledger.Suspicion.CONTESTED
BLAMED = crash_ledger.Suspicion.BLAMED


def make_key(number: int) -> records.IncarnationKey:
    """Return the key of one of several crashes."""
    return records.IncarnationKey(records.InstanceId(f"t{number}"), number)


def make_ledger(*crashes: str) -> crash_ledger.CrashLedger:
    """Return a ledger; each crash is given as the digests beside it."""
    ledger = crash_ledger.CrashLedger()
    for number, digests in enumerate(crashes):
        ledger.merge(
            make_key(number),
            [ids.Trait(digest) for digest in digests.split()],
            float(number),
        )
    return ledger


class TestBlame(unittest.TestCase):
    """Which requests are suspected, contested or blamed."""

    def test_request_with_company_at_each_crash_is_blamed(self) -> None:
        ledger = make_ledger("bad a b", "bad b c", "bad c d")
        self.assertIs(ledger.get_suspicion(BAD), BLAMED)
        for name in "abcd":
            digest = ids.Trait(name)
            self.assertIs(ledger.get_suspicion(digest), NONE)

    def test_two_crashes_blame_nobody(self) -> None:
        ledger = make_ledger("bad good", "bad")
        self.assertIs(ledger.get_suspicion(BAD), SUSPECTED)
        self.assertIs(ledger.get_suspicion(GOOD), SUSPECTED)

    def test_requests_at_the_same_crashes_are_contested(self) -> None:
        ledger = make_ledger("bad good", "bad good", "bad good")
        self.assertIs(ledger.get_suspicion(BAD), CONTESTED)
        self.assertIs(ledger.get_suspicion(GOOD), CONTESTED)

    def test_one_more_crash_or_a_success_settles_a_contest(self) -> None:
        crashes = ["bad good", "bad good", "bad good"]
        crashed = make_ledger(*crashes, "bad")
        cleared = make_ledger(*crashes)
        cleared.clear(GOOD)
        for ledger in (crashed, cleared):
            self.assertIs(ledger.get_suspicion(BAD), BLAMED)
            self.assertIs(ledger.get_suspicion(GOOD), NONE)

    def test_two_fatal_requests_are_both_blamed(self) -> None:
        ledger = make_ledger("bad", "other", "bad", "other", "bad", "other")
        self.assertIs(ledger.get_suspicion(BAD), BLAMED)
        other = ids.Trait("other")
        self.assertIs(ledger.get_suspicion(other), BLAMED)

    @given(
        strategies.lists(
            strategies.sets(strategies.sampled_from("abcdefgh"), max_size=6),
            min_size=3,
            max_size=8,
        )
    )
    @settings(derandomize=True, max_examples=200, deadline=None)
    def test_fatal_request_is_always_found(
        self, companies: list[set[str]]
    ) -> None:
        """The request at all crashes is blamed, others only beside it."""
        ledger = make_ledger(*(" ".join([*c, "bad"]) for c in companies))
        always = set.intersection(*companies)
        expected = CONTESTED if always else BLAMED
        self.assertIs(ledger.get_suspicion(BAD), expected)
        for name in set("abcdefgh") - always:
            digest = ids.Trait(name)
            self.assertIs(ledger.get_suspicion(digest), NONE)


class TestReports(unittest.TestCase):
    """Reports that are repeated, late or withdrawn."""

    def test_repeated_report_counts_once(self) -> None:
        ledger = make_ledger("bad")
        self.assertEqual(ledger.merge(make_key(0), [BAD], 9.0), set())
        self.assertEqual(len(ledger.list_crashes(BAD)), 1)

    def test_report_does_not_undo_a_success(self) -> None:
        ledger = make_ledger("good")
        ledger.clear(GOOD)
        self.assertEqual(ledger.merge(make_key(0), [GOOD], 9.0), set())
        self.assertIs(ledger.get_suspicion(GOOD), NONE)

    def test_crash_of_a_target_that_still_runs_does_not_count(self) -> None:
        ledger = make_ledger("bad", "bad", "bad")
        self.assertTrue(ledger.withdraw(make_key(2), 5.0))
        self.assertIs(ledger.get_suspicion(BAD), SUSPECTED)
        ledger.merge(make_key(2), [BAD], 4.0)
        self.assertIs(ledger.get_suspicion(BAD), SUSPECTED)
        ledger.merge(make_key(2), [BAD], 6.0)
        self.assertIs(ledger.get_suspicion(BAD), BLAMED)

    def test_crash_counts_again_once_it_is_certain(self) -> None:
        ledger = make_ledger("bad", "bad", "bad")
        ledger.withdraw(make_key(2), 5.0)
        ledger.reinstate(make_key(2))
        self.assertIs(ledger.get_suspicion(BAD), BLAMED)

    def test_crashes_expire(self) -> None:
        ledger = make_ledger("bad", "bad", "bad")
        ledger.expire(crash_ledger.CRASH_RETENTION_S + 0.5)
        self.assertIs(ledger.get_suspicion(BAD), SUSPECTED)
        ledger.expire(crash_ledger.CRASH_RETENTION_S + 2.0)
        self.assertIs(ledger.get_suspicion(BAD), NONE)


PART = ids.Trait("part:bad")
POPULAR = ids.Trait("part:popular")


def make_request(content: str, *parts: str) -> traits.RequestTraits:
    """Return the traits of a request."""
    return traits.make_traits(ids.ContentDigest(content), parts)


class TestSharedTraits(unittest.TestCase):
    """Traits that different requests have in common."""

    def make_ledger(
        self, *crashes: tuple[ids.Trait, ...], interval_s: float = 1.0
    ) -> crash_ledger.CrashLedger:
        """Return a ledger; each crash has the traits in progress."""
        ledger = crash_ledger.CrashLedger()
        for number, found in enumerate(crashes):
            ledger.merge(make_key(number), found, number * interval_s)
        return ledger

    def test_part_of_different_requests_is_blamed(self) -> None:
        ledger = self.make_ledger(
            *((ids.Trait(f"r{n}"), PART) for n in range(3))
        )
        self.assertIs(ledger.get_suspicion(PART), BLAMED)
        self.assertIs(ledger.get_suspicion(ids.Trait("r1")), NONE)

    def test_crashes_at_the_same_time_count_once(self) -> None:
        ledger = self.make_ledger(*[(POPULAR,)] * 9, interval_s=0.05)
        self.assertIs(ledger.get_suspicion(POPULAR), SUSPECTED)
        ledger = self.make_ledger(*[(POPULAR,)] * 30, interval_s=0.05)
        self.assertIs(ledger.get_suspicion(POPULAR), BLAMED)

    def test_part_that_had_completed_is_blamed_last_and_later(self) -> None:
        ledger = self.make_ledger(*[(POPULAR, PART)] * 4, (POPULAR,))
        ledger.establish([POPULAR])
        self.assertIs(ledger.get_suspicion(PART), BLAMED)
        self.assertIs(ledger.get_suspicion(POPULAR), SUSPECTED)
        ledger = self.make_ledger(*[(POPULAR,)] * 5)
        ledger.establish([POPULAR])
        self.assertIs(ledger.get_suspicion(POPULAR), BLAMED)

    def test_request_with_all_contested_traits_is_recognised(self) -> None:
        ledger = self.make_ledger(*[(POPULAR, PART)] * 3)
        found = ledger.get_blame()
        for request, expected in (
            (make_request("r", "popular", "bad", "rare"), True),
            (make_request("r", "popular", "rare"), False),
            (make_request("r", "bad"), False),
        ):
            self.assertIs(bool(found.find_reasons(request)), expected)
        ledger.clear(POPULAR)
        self.assertIs(ledger.get_suspicion(PART), BLAMED)
        self.assertFalse(ledger.get_blame().contested_groups)

    def test_popular_part_at_crashes_of_other_fatal_ones_is_not_blamed(
        self,
    ) -> None:
        """Seeds 9502 and 9503 of the soak."""
        content = ids.Trait("content")
        ledger = self.make_ledger(
            (POPULAR, content),
            (POPULAR, content, ids.Trait("r1")),
            (POPULAR, PART, ids.Trait("r2")),
            (POPULAR, PART, ids.Trait("r3")),
        )
        self.assertIs(ledger.get_suspicion(POPULAR), CONTESTED)
        found = ledger.get_blame()
        self.assertTrue(
            found.find_reasons(make_request("r", "popular", "bad"))
        )
        self.assertFalse(found.find_reasons(make_request("r", "popular")))
        ledger.merge(make_key(9), [POPULAR, ids.Trait("r4")], 9.0)
        self.assertIs(ledger.get_suspicion(POPULAR), BLAMED)

    def test_contents_alone_are_no_whole_group(self) -> None:
        ledger = make_ledger("bad good", "bad good", "bad good")
        found = ledger.get_blame()
        self.assertFalse(found.find_reasons(make_request("bad")))

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sets(strategies.sampled_from("abcdefgh")),
                # Parts with which a request completes after the crash.
                strategies.sets(strategies.sampled_from("abcdefgh")),
            ),
            min_size=3,
            max_size=10,
        )
    )
    @settings(derandomize=True, max_examples=200, deadline=None)
    def test_fatal_part_is_always_found(
        self, rounds: list[tuple[set[str], set[str]]]
    ) -> None:
        """No request with the part is sent; parts that complete are free."""
        ledger = crash_ledger.CrashLedger()
        for number, (beside, completed) in enumerate(rounds):
            parts = [traits.make_part(name) for name in beside]
            ledger.merge(make_key(number), [*parts, PART], float(number))
            for name in completed:
                ledger.clear(traits.make_part(name))
        found = ledger.get_blame()
        suspicion = ledger.get_suspicion(PART)
        self.assertIn(suspicion, (BLAMED, CONTESTED))
        for name in rounds[-1][1]:
            part = traits.make_part(name)
            self.assertIs(ledger.get_suspicion(part), NONE)
        if PART in found.doubtful:
            others = found.doubtful[PART]
            covered = set().union(*(ledger.by_trait[o] for o in others))
            self.assertLessEqual(ledger.by_trait[PART], covered)
            names = [part.removeprefix("part:") for part in others]
            request = make_request("r", "bad", names[0])
            self.assertTrue(found.find_reasons(request))
        elif suspicion is CONTESTED:
            group = next(g for g in found.contested_groups if PART in g)
            always = set.intersection(*(beside for beside, _ in rounds))
            self.assertEqual(
                {name for name in always if traits.make_part(name) in group},
                {part.removeprefix("part:") for part in group - {PART}},
            )
