"""Route look-up, the replicated catalogue and the retry budget."""

import random
import unittest

import msgspec

from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.routes import budget
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.routes import reserve_share
from hemlockkeel._internal.routes import table


def make_route(name: str, prefix: str, **changes: object) -> table.Route:
    """Return a route of host a.example with changed fields."""
    fields: dict[str, object] = {
        "name": name,
        "host": "a.example",
        "prefix": prefix,
        "kind": table.RouteKind.IDEMPOTENT,
        "timeout_s": 2.0,
        "first_byte_slo_s": 0.3,
        "priority": 0,
        "shares": (table.TrafficShare(records.ServiceName("s"), 1.0),),
        "max_attempts": 2,
        "resumable": False,
    }
    fields.update(changes)
    return table.Route(**fields)


class TestFindRoute(unittest.TestCase):
    """Look-up by host and longest path prefix."""

    def setUp(self) -> None:
        service = table.Service(records.ServiceName("s"), 10, None)
        self.configuration = table.Configuration(
            1,
            [make_route("short", "/a/"), make_route("long", "/a/b/")],
            [service],
            table.RequestLimits(),
        )

    def find(self, host: str, path: str) -> str | None:
        route = self.configuration.find_route(host, path)
        return route.name if route else None

    def test_longest_prefix_wins(self) -> None:
        self.assertEqual(self.find("a.example", "/a/b/c"), "long")
        self.assertEqual(self.find("a.example", "/a/c"), "short")

    def test_prefix_matches_with_its_trailing_slash_only(self) -> None:
        self.assertIsNone(self.find("a.example", "/a"))
        self.assertEqual(self.find("a.example", "/a/b"), "short")

    def test_host_ignores_case_and_port(self) -> None:
        self.assertEqual(self.find("A.example:80", "/a/x"), "short")
        self.assertIsNone(self.find("b.example", "/a/x"))

    def test_traffic_split_follows_weights(self) -> None:
        shares = (
            table.TrafficShare(records.ServiceName("s"), 90.0),
            table.TrafficShare(records.ServiceName("t"), 10.0),
        )
        route = make_route("split", "/", shares=shares)
        rng = random.Random(1)
        chosen = [route.choose_service(rng) for _ in range(1000)]
        self.assertAlmostEqual(chosen.count("t"), 100, delta=40)


class TestCatalogue(unittest.TestCase):
    """Versions of the replicated state never decrease."""

    def setUp(self) -> None:
        self.changes = 0
        self.catalogue = catalogue.Catalogue(self.count_change)

    def count_change(self) -> None:
        self.changes += 1

    def apply(self, command: catalogue.Command) -> None:
        self.catalogue.apply(1, msgspec.msgpack.encode(command))

    def test_highest_configuration_version_is_kept(self) -> None:
        self.apply(catalogue.PutConfiguration(5, b"five"))
        self.apply(catalogue.PutConfiguration(4, b"four"))
        self.apply(catalogue.PutConfiguration(5, b"other"))
        self.assertEqual(self.catalogue.state.version, 5)
        self.assertEqual(self.catalogue.state.body, b"five")

    def test_highest_adapter_version_is_kept(self) -> None:
        self.apply(catalogue.NameVersion("m", "a", 3))
        self.apply(catalogue.NameVersion("m", "a", 2))
        self.assertEqual(self.catalogue.list_versions(), [("m", "a", 3)])

    def test_fencing_token_is_the_log_index(self) -> None:
        data = msgspec.msgpack.encode(catalogue.IssueFence("agent"))
        self.assertEqual(self.catalogue.apply(17, data), 17)

    def test_snapshot_restores_state_and_membership(self) -> None:
        self.apply(catalogue.PutConfiguration(5, b"five"))
        self.apply(catalogue.NameVersion("m", "a", 3))
        other = catalogue.Catalogue(self.count_change)
        peers = messages.Membership([messages.Peer("c", "host:1")])
        meta = messages.SnapshotMeta(9, 1, peers)
        other.restore(self.catalogue.encode(), meta)
        self.assertEqual(other.state, self.catalogue.state)
        self.assertEqual(other.membership, peers)


class TestRetryBudget(unittest.TestCase):
    """Retries of all entries stay below the limit in any window."""

    LIMITS = budget.RetryBudgetLimits(ratio=0.2, window_s=10.0, reserve=58.0)

    def test_all_entries_together_stay_below_the_limit(self) -> None:
        for entries in (1, 5, 28):
            budgets = [budget.RetryBudget(self.LIMITS) for _ in range(entries)]
            retries = 0
            for retry_budget in budgets:
                for number in range(200):
                    retry_budget.record_request(number * 0.05)
                while retry_budget.try_spend(10.0, 1.0 / entries):
                    retries += 1
            limit = 0.2 * 200 * entries + 58
            self.assertLessEqual(retries, limit)
            self.assertGreater(retries, 0.5 * 0.2 * 200 * entries)

    def test_new_entry_does_not_use_the_reserve(self) -> None:
        share = reserve_share.ReserveShare(self.LIMITS.window_s)
        share.record_announcement("c", 5, 1, 0.5)
        retry_budget = budget.RetryBudget(self.LIMITS)
        self.assertFalse(retry_budget.try_spend(1.0, share.get(1.0)))
        for _ in range(100):
            retry_budget.record_request(1.0)
        retries = 0
        while retry_budget.try_spend(1.0, share.get(1.0)):
            retries += 1
        self.assertLessEqual(retries, 20)

    def test_retries_leave_the_window_after_its_length(self) -> None:
        retry_budget = budget.RetryBudget(self.LIMITS)
        while retry_budget.try_spend(0.0, 1.0):
            continue
        self.assertFalse(retry_budget.try_spend(9.9, 1.0))
        self.assertTrue(retry_budget.try_spend(10.1, 1.0))


class SharingEntry:
    """An entry in a world of control members that announce each second."""

    def __init__(self, limits: budget.RetryBudgetLimits) -> None:
        self.share = reserve_share.ReserveShare(limits.window_s)
        self.budget = budget.RetryBudget(limits)
        # Members that it reaches, and until when it is paused.
        self.reached: set[int] = set()
        self.paused_until = 0.0


class TestReserveShare(unittest.TestCase):
    """The reserve is not exceeded while entries come, go, pause and return.

    Members that have just restarted announce a few entries, and entries that
    were cut off know an old number.
    """

    LIMITS = TestRetryBudget.LIMITS
    MEMBERS = range(3)
    STEP_S = 0.5
    STEPS = 240

    def test_random_faults(self) -> None:
        for seed in range(60):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng: random.Random) -> None:
        entries = [SharingEntry(self.LIMITS) for _ in range(5)]
        for entry in entries:
            entry.reached = set(self.MEMBERS)
        spent: list[float] = []
        best = 0
        for step in range(self.STEPS):
            now = step * self.STEP_S
            self.inject_fault(entries, rng, now)
            running = [e for e in entries if e.paused_until <= now]
            for entry in running:
                self.announce(entry, running, now)
                while entry.budget.try_spend(now, entry.share.get(now)):
                    spent.append(now)
            recent = [at for at in spent if at > now - self.LIMITS.window_s]
            self.assertLessEqual(len(recent), self.LIMITS.reserve)
            best = max(best, len(recent))
        self.assertGreater(best, self.LIMITS.reserve / 2)

    def inject_fault(
        self, entries: list[SharingEntry], rng: random.Random, now: float
    ) -> None:
        """Cut, heal, pause or restart something, now and then."""
        if now < 2 * self.LIMITS.window_s or rng.random() < 0.8:
            return
        entry = rng.choice(entries)
        match rng.randrange(5):
            case 0:
                # A partition leaves the same members to all that it cuts off.
                for other in rng.sample(entries, rng.randrange(1, 5)):
                    other.reached = set()
            case 1:
                for other in entries:
                    other.reached = set(self.MEMBERS)
            case 2:
                entry.paused_until = now + rng.uniform(0.5, 20.0)
            case 3:
                entry.share = reserve_share.ReserveShare(self.LIMITS.window_s)
                entry.budget = budget.RetryBudget(self.LIMITS)
            case 4:
                # All members restart, and entries return one by one.
                for other in entries:
                    other.reached = set()
                entry.reached = set(self.MEMBERS)

    def announce(
        self, entry: SharingEntry, running: list[SharingEntry], now: float
    ) -> None:
        """Send an entry the announcements of the members it reaches."""
        for member in self.MEMBERS:
            if member not in entry.reached:
                entry.share.forget_member(str(member))
                continue
            count = sum(member in other.reached for other in running)
            entry.share.record_announcement(
                str(member), count, len(self.MEMBERS), now
            )
