"""Decisions: pool, load queue, routing, popularity, limits."""

import random
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.policy import eviction
from hemlockkeel._internal.policy import limits
from hemlockkeel._internal.policy import load_queue
from hemlockkeel._internal.policy import placement
from hemlockkeel._internal.policy import popularity
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.policy import scheduler

REFS = [adapters.parse_adapter(f"a{n}@1") for n in range(6)]
REFS += [adapters.parse_adapter("a0@2")]


def make_work(
    number: int, ref: adapters.AdapterRef | None, now: float, **changes: object
) -> scheduler.WorkItem:
    """Return a piece of work."""
    fields: dict[str, object] = {
        "request_id": f"r{number}",
        "ref": ref,
        "rank": 1,
        "arrived_at": now,
        "deadline": now + 30.0,
        "digest": f"d{number}",
    }
    fields.update(changes)
    return scheduler.WorkItem(**fields)


class PoolMachine(stateful.RuleBasedStateMachine):
    """Arrivals, loads, failures, restarts in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.scheduler = scheduler.EngineScheduler(
            scheduler.SchedulerLimits(3, 2, max_queued=6),
            eviction.LowestRequestRate(),
        )
        self.now = 0.0
        self.number = 0
        self.open: set[str] = set()
        self.loading: list[adapters.AdapterRef] = []

    def end(self, works: list[scheduler.WorkItem]) -> None:
        for work in works:
            assert work.request_id in self.open, "ended twice"
            self.open.remove(work.request_id)

    @stateful.rule(
        ref=strategies.sampled_from([*REFS, None]),
        rank=strategies.integers(0, 2),
        suspect=strategies.booleans(),
        hold=strategies.sampled_from([0.0, 2.0]),
        life=strategies.sampled_from([0.5, 5.0, 50.0]),
    )
    def arrive(
        self,
        ref: adapters.AdapterRef | None,
        rank: int,
        suspect: bool,
        hold: float,
        life: float,
    ) -> None:
        self.number += 1
        work = make_work(
            self.number,
            ref,
            self.now,
            rank=rank,
            suspect=suspect,
            hold_s=hold,
            deadline=self.now + life,
        )
        if self.scheduler.admit(work, self.now) is None:
            self.open.add(work.request_id)
        self.end(self.scheduler.take_shed())
        assert len(self.scheduler.queue) <= 6

    @stateful.rule(seconds=strategies.floats(0.0, 4.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.end(self.scheduler.take_expired(self.now))

    @stateful.rule()
    def start(self) -> None:
        for work in self.scheduler.start_ready(self.now):
            slot = self.scheduler.slots.get(work.ref) if work.ref else None
            assert work.ref is None or slot is not None
        running = list(self.scheduler.running.values())
        assert len(running) <= 3
        if any(work.suspect for work in running):
            assert len(running) == 1

    @stateful.rule(position=strategies.integers(0, 9))
    def finish(self, position: int) -> None:
        running = list(self.scheduler.running.values())
        if running:
            work = running[position % len(running)]
            self.scheduler.finish(work.request_id, self.now)
            self.end([work])

    @stateful.rule()
    def load(self) -> None:
        for want in self.scheduler.find_pending_loads(self.now):
            if self.scheduler.get_free_slots() <= 0:
                victim = self.scheduler.choose_victim(self.now)
                if victim is None:
                    return
                users = self.scheduler.get_adapters_in_use()
                assert victim not in users, "evicting an adapter in use"
                self.scheduler.evict(victim)
            self.scheduler.begin_load(want.ref, self.now)
            self.loading.append(want.ref)

    @stateful.rule(loaded=strategies.booleans())
    def end_load(self, loaded: bool) -> None:
        if self.loading:
            ref = self.loading.pop(0)
            self.end(self.scheduler.end_load(ref, loaded, self.now))

    @stateful.rule()
    def give_way(self) -> None:
        self.end(self.scheduler.preempt_for_starving(self.now))

    @stateful.rule()
    def cold_start(self) -> None:
        for work in list(self.scheduler.running.values()):
            self.scheduler.finish(work.request_id, self.now)
            self.end([work])
        self.scheduler.reset_slots()
        self.loading.clear()

    @stateful.invariant()
    def everything_is_accounted_for(self) -> None:
        held = {work.request_id for work in self.scheduler.queue}
        held |= set(self.scheduler.running)
        assert held == self.open
        assert len(self.scheduler.slots) <= 2
        for work in self.scheduler.running.values():
            assert work.ref is None or work.ref in self.scheduler.slots


TestPoolMachine = PoolMachine.TestCase
TestPoolMachine.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=50, deadline=None
)


class TestPool(unittest.TestCase):
    """Single cases of the pool."""

    def setUp(self) -> None:
        self.scheduler = scheduler.EngineScheduler(
            scheduler.SchedulerLimits(2, 1), eviction.LowestRequestRate()
        )

    def load(self, ref: adapters.AdapterRef, now: float) -> None:
        self.scheduler.begin_load(ref, now)
        self.scheduler.end_load(ref, True, now)

    def test_all_slots_pinned(self) -> None:
        self.scheduler.admit(make_work(1, REFS[0], 0.0), 0.0)
        self.load(REFS[0], 0.0)
        self.scheduler.start_ready(0.0)
        self.scheduler.admit(make_work(2, REFS[1], 0.0), 0.0)
        self.assertIsNone(self.scheduler.choose_victim(0.0))
        self.assertEqual(float("inf"), self.scheduler.get_eviction_value(0.0))
        with self.assertRaises(exceptions.InvariantError):
            self.scheduler.evict(REFS[0])

    def test_starving_work_gets_a_slot(self) -> None:
        self.load(REFS[0], 0.0)
        self.scheduler.admit(make_work(1, REFS[1], 0.0), 0.0)
        now = scheduler.STARVATION_TIMEOUT_S + 1.0
        self.scheduler.admit(make_work(2, REFS[0], now), now)
        moved = self.scheduler.preempt_for_starving(now)
        self.assertEqual(["r2"], [work.request_id for work in moved])
        self.assertEqual(REFS[0], self.scheduler.choose_victim(now))

    def test_load_that_keeps_failing_moves_work_away(self) -> None:
        self.scheduler.admit(make_work(1, REFS[0], 0.0), 0.0)
        self.scheduler.begin_load(REFS[0], 0.0)
        self.assertEqual([], self.scheduler.end_load(REFS[0], False, 0.0))
        self.scheduler.begin_load(REFS[0], 0.0)
        moved = self.scheduler.end_load(REFS[0], False, 0.0)
        self.assertEqual(["r1"], [work.request_id for work in moved])
        refusal = self.scheduler.admit(make_work(2, REFS[0], 0.1), 0.1)
        self.assertIs(outcomes.RefusalCode.LOAD_FAILED, refusal.code)
        later = scheduler.LOAD_BACKOFF_S + 1.0
        again = make_work(3, REFS[0], later)
        self.assertIsNone(self.scheduler.admit(again, later))

    def test_low_priority_is_held_to_share_a_load(self) -> None:
        held = {"rank": 2, "hold_s": 1.0}
        self.scheduler.admit(make_work(1, REFS[0], 0.0, **held), 0.0)
        self.assertEqual([], self.scheduler.find_pending_loads(0.5))
        self.assertEqual(1, len(self.scheduler.find_pending_loads(1.0)))
        self.scheduler.admit(make_work(2, REFS[0], 0.5, rank=0), 0.5)
        self.assertEqual(1, len(self.scheduler.find_pending_loads(0.5)))

    def test_versions_are_two_adapters(self) -> None:
        self.load(REFS[0], 0.0)
        self.scheduler.admit(make_work(1, REFS[-1], 0.0), 0.0)
        self.assertEqual([], self.scheduler.start_ready(0.0))


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Wants, permits, failures and changes of leader."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.ledger = self.make_ledger()
        self.grants: list[float] = []
        self.mine: set[tuple[str, adapters.AdapterRef]] = set()

    def make_ledger(self) -> load_queue.LoadPermitQueue:
        return load_queue.LoadPermitQueue(
            load_queue.HeaviestFirst(), 4.0, quiet_until=self.now
        )

    @stateful.rule(
        agent=strategies.sampled_from(["x", "y", "z"]),
        refs=strategies.lists(
            strategies.sampled_from(REFS), max_size=3, unique=True
        ),
        weight=strategies.floats(0.1, 10.0),
    )
    def want(
        self, agent: str, refs: list[adapters.AdapterRef], weight: float
    ) -> None:
        wants = [
            load_queue.LoadRequest(agent, ref, weight, self.now)
            for ref in refs
        ]
        self.ledger.update(agent, wants, self.now)

    @stateful.rule()
    def grant(self) -> None:
        for permit in self.ledger.grant(self.now):
            key = (permit.agent, permit.ref)
            assert key not in self.mine, "granted twice"
            self.mine.add(key)
            self.grants.append(self.now)
        assert len(self.ledger.permits) <= load_queue.MAX_CONCURRENT_PERMITS
        recent = [at for at in self.grants if at > self.now - 1.0]
        assert len(recent) <= 5, "more grants than the store's rate"

    @stateful.rule(seconds=strategies.floats(0.0, 1.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.ledger.expire(self.now)
        self.mine &= set(self.ledger.permits)

    @stateful.rule(position=strategies.integers(0, 5))
    def finish(self, position: int) -> None:
        held = sorted(self.mine, key=str)
        if held:
            key = held[position % len(held)]
            self.ledger.end_permit(*key)
            self.mine.discard(key)


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=50, deadline=None
)


class TestLoadQueue(unittest.TestCase):
    """Order of loads."""

    def test_most_waiting_work_goes_first_but_none_starves(self) -> None:
        order = load_queue.HeaviestFirst()
        old = load_queue.LoadRequest("x", REFS[0], 0.1, 0.0)
        heavy = load_queue.LoadRequest("y", REFS[1], 50.0, 1.0)
        self.assertEqual(heavy, order.choose([old, heavy], 2.0))
        late = load_queue.MAX_REQUEST_AGE_S + 0.1
        self.assertEqual(old, order.choose([old, heavy], late))

    def test_want_nobody_repeats_is_dropped(self) -> None:
        ledger = load_queue.LoadPermitQueue(
            load_queue.FirstComeFirstServed(), 4.0
        )
        want = load_queue.LoadRequest("x", REFS[0], 1.0, 10.0)
        ledger.update("x", [want], 10.0)
        late = 10.0 + load_queue.REQUEST_LIFETIME_S + 0.1
        self.assertEqual([], ledger.grant(late))

    def test_preload_waits_for_every_demand(self) -> None:
        ledger = load_queue.LoadPermitQueue(load_queue.HeaviestFirst(), 4.0)
        preload = load_queue.LoadRequest("x", REFS[0], 99.0, 0.0, preload=True)
        demand = load_queue.LoadRequest("y", REFS[1], 0.1, 0.0)
        ledger.update("x", [preload], 0.0)
        ledger.update("y", [demand], 0.0)
        self.assertEqual([REFS[1]], [p.ref for p in ledger.grant(0.0)])

    def test_unused_permit_frees_the_store(self) -> None:
        ledger = load_queue.LoadPermitQueue(load_queue.HeaviestFirst(), 1.0)
        for number, agent in enumerate(("x", "y")):
            want = load_queue.LoadRequest(agent, REFS[number], 1.0, 0.0)
            ledger.update(agent, [want], 0.0)
        first = ledger.grant(0.0)[0]
        self.assertEqual([], ledger.grant(0.1))
        ledger.release_unused(first.agent, first.ref, 0.1)
        self.assertEqual(1, len(ledger.grant(0.1)))


def make_view(name: str, **changes: object) -> routing.TargetView:
    """Return an idle target that holds nothing."""
    fields: dict[str, object] = {
        "target_id": name,
        "data_centre": "dc",
        "running": 0,
        "queued_by_rank": (0, 0, 0),
        "batch_slots": 4,
        "unreported": 0,
        "adapters": frozenset(),
        "loading": frozenset(),
        "free_slots": 0,
        "eviction_value": 0.0,
    }
    fields.update(changes)
    return routing.TargetView(**fields)


def make_route(**changes: object) -> routing.RouteRequest:
    """Return a request for the first adapter."""
    fields: dict[str, object] = {
        "ref": REFS[0],
        "data_centre": "dc",
        "prefix": "p",
        "service_s": 2.0,
        "load_s": 0.25,
        "stall_weight": 0.9,
        "batch_weight": 0.1,
        "rank": 1,
    }
    fields.update(changes)
    return routing.RouteRequest(**fields)


class TestRouting(unittest.TestCase):
    """Choice of a target."""

    def choose(
        self, views: list[routing.TargetView], **changes: object
    ) -> str:
        chosen = routing.LeastCost().choose(make_route(**changes), views)
        return chosen.target_id

    def test_holder_with_room_is_chosen(self) -> None:
        holder = make_view("h", adapters=frozenset(["a0@1"]), running=3)
        self.assertEqual("h", self.choose([make_view("a"), holder]))

    def test_long_queue_makes_a_copy_worthwhile(self) -> None:
        holder = make_view(
            "h",
            adapters=frozenset(["a0@1"]),
            running=4,
            queued_by_rank=(0, 9, 0),
        )
        self.assertEqual("a", self.choose([make_view("a"), holder]))
        # The same queue of less urgent work is not in an urgent one's way.
        urgent = make_view(
            "h",
            adapters=frozenset(["a0@1"]),
            running=4,
            queued_by_rank=(0, 0, 9),
        )
        self.assertEqual("h", self.choose([make_view("a"), urgent], rank=0))

    def test_load_under_way_is_joined(self) -> None:
        loading = make_view("l", loading=frozenset(["a0@1"]))
        self.assertEqual("l", self.choose([make_view("a"), loading]))

    def test_least_valuable_slot_is_evicted(self) -> None:
        views = [
            make_view("hot", eviction_value=0.5),
            make_view("cold", eviction_value=0.001),
            make_view("busy", eviction_value=float("inf")),
        ]
        self.assertEqual("cold", self.choose(views))

    def test_session_keeps_its_route(self) -> None:
        views = [make_view("a"), make_view("b", running=4)]
        self.assertEqual("b", self.choose(views, preferred_target="b"))

    def test_own_sendings_count_before_they_are_reported(self) -> None:
        views = [make_view("a", unreported=8), make_view("b", running=4)]
        self.assertEqual("b", self.choose(views, ref=None))

    def test_no_target(self) -> None:
        self.assertIsNone(routing.LeastCost().choose(make_route(), []))

    def test_candidates_are_few_and_include_every_holder(self) -> None:
        place = placement.Placement()
        names = [f"t{n}" for n in range(500)]
        place.set_targets({"s": names})
        place.holders.update("t499", frozenset(["a0@1"]))
        found = list(place.find_candidates("s", "a0@1"))
        self.assertIn("t499", found)
        self.assertLessEqual(len(found), placement.RING_CANDIDATES + 1)
        place.set_targets({"s": names[:-1]})
        self.assertNotIn("t499", place.find_candidates("s", "a0@1"))

    def test_ring_moves_few_names_when_a_target_leaves(self) -> None:
        names = [f"t{n}" for n in range(50)]
        before, after = (
            placement.HashRing(names),
            placement.HashRing(names[1:]),
        )
        moved = sum(
            before.get_successors(f"x{n}", 1)
            != after.get_successors(f"x{n}", 1)
            for n in range(1000)
        )
        self.assertLess(moved, 80)


class TestPopularity(unittest.TestCase):
    """Request rates."""

    def test_rate_is_right_from_the_start(self) -> None:
        rates = popularity.Popularity()
        for step in range(200):
            rates.add("a", step * 0.5)
        self.assertAlmostEqual(2.0, rates.get_rate("a", 100.0), delta=0.3)

    def test_waking_adapter_is_seen_soon(self) -> None:
        rates = popularity.Popularity()
        for step in range(4000):
            rates.add("old", step * 0.5)
        for step in range(40):
            rates.add("new", 2000.0 + step * 0.25)
        self.assertGreater(
            rates.get_rate("new", 2010.0), 0.1 * rates.get_rate("old", 2010.0)
        )

    def test_memory_is_bounded_and_keeps_the_popular(self) -> None:
        rates = popularity.Popularity(max_tracked=100)
        rng = random.Random(1)
        for step in range(5000):
            name = "hot" if step % 3 == 0 else f"n{rng.randrange(3000)}"
            rates.add(name, step * 0.1)
        self.assertLessEqual(len(rates.slow), 100)
        self.assertEqual(["hot"], rates.get_top(1, 500.0))


class TestLimits(unittest.TestCase):
    """Admission and retries."""

    def test_one_callers_burst_leaves_room_for_others(self) -> None:
        limit = limits.AdmissionLimit(20)
        taken = [limit.acquire("greedy", 0) for _ in range(40)]
        held = [p for p in taken if isinstance(p, limits.Admission)]
        self.assertEqual(15, len(held))
        for _ in range(5):
            self.assertIsInstance(limit.acquire("modest", 0), limits.Admission)
        limit.release(held[0])
        # With two callers the greedy one is over its share until it shrinks.
        self.assertIsInstance(limit.acquire("greedy", 0), outcomes.Refused)
        self.assertIsInstance(limit.acquire("modest", 0), limits.Admission)

    def test_urgent_work_has_room_when_low_is_shed(self) -> None:
        limit = limits.AdmissionLimit(20)
        low = [limit.acquire(f"c{n}", 2) for n in range(20)]
        shed = [p for p in low if isinstance(p, outcomes.Refused)]
        self.assertEqual(6, len(shed))
        self.assertIsInstance(limit.acquire("u", 0), limits.Admission)

    def test_less_urgent_work_never_blocks_urgent_work(self) -> None:
        limit = limits.AdmissionLimit(10)
        for number in range(10):
            limit.acquire(f"low-{number}", 2)
            limit.acquire("mixed", 2)
        for number in range(8):
            limit.acquire(f"normal-{number}", 1)
        urgent = [limit.acquire(f"u{n}", 0) for n in range(9)]
        urgent.append(limit.acquire("mixed", 0))
        refused = [u for u in urgent if isinstance(u, outcomes.Refused)]
        self.assertEqual([], refused)
        self.assertIsInstance(limit.acquire("late", 0), outcomes.Refused)
        self.assertLessEqual(limit.in_flight, 10 * limits.MAX_TOTAL_SHARE)

    def test_retries_are_a_share_of_fresh_requests(self) -> None:
        budget = limits.RetryBudget(ratio=0.2, reserve=10.0)
        spent = 0
        for _ in range(1000):
            budget.deposit()
            spent += sum(budget.try_spend() for _ in range(3))
        self.assertLessEqual(spent, 0.2 * 1000 + 10)
