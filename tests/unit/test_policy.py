"""Scheduling, load permits, routing, popularity and admission limits."""

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
    """Return a work item with changed fields."""
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


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Arrivals, loads, load failures and restarts in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.scheduler = scheduler.EngineScheduler(
            scheduler.SchedulerLimits(3, 2, max_queued=6),
            eviction.LowestRequestRate(),
        )
        self.now = 0.0
        self.number = 0
        self.unfinished: set[str] = set()
        self.loading: list[adapters.AdapterRef] = []

    def end(self, items: list[scheduler.WorkItem]) -> None:
        for work in items:
            assert work.request_id in self.unfinished, "request ended twice"
            self.unfinished.remove(work.request_id)

    @stateful.rule(
        ref=strategies.sampled_from([*REFS, None]),
        rank=strategies.integers(0, 2),
        suspect=strategies.booleans(),
        hold_s=strategies.sampled_from([0.0, 2.0]),
        timeout_s=strategies.sampled_from([0.5, 5.0, 50.0]),
    )
    def arrive(
        self,
        ref: adapters.AdapterRef | None,
        rank: int,
        suspect: bool,
        hold_s: float,
        timeout_s: float,
    ) -> None:
        self.number += 1
        work = make_work(
            self.number,
            ref,
            self.now,
            rank=rank,
            suspect=suspect,
            hold_s=hold_s,
            deadline=self.now + timeout_s,
        )
        if self.scheduler.admit(work, self.now) is None:
            self.unfinished.add(work.request_id)
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
        for request in self.scheduler.find_pending_loads(self.now):
            if self.scheduler.get_free_slots() <= 0:
                victim = self.scheduler.choose_victim(self.now)
                if victim is None:
                    return
                in_use = self.scheduler.get_adapters_in_use()
                assert victim not in in_use, "evicting an adapter in use"
                self.scheduler.evict(victim)
            self.scheduler.begin_load(request.ref, self.now)
            self.loading.append(request.ref)

    @stateful.rule(loaded=strategies.booleans())
    def end_load(self, loaded: bool) -> None:
        if self.loading:
            ref = self.loading.pop(0)
            self.end(self.scheduler.end_load(ref, loaded, self.now))

    @stateful.rule()
    def preempt(self) -> None:
        self.end(self.scheduler.preempt_for_starving(self.now))

    @stateful.rule()
    def cold_start(self) -> None:
        for work in list(self.scheduler.running.values()):
            self.scheduler.finish(work.request_id, self.now)
            self.end([work])
        self.scheduler.reset_slots()
        self.loading.clear()

    @stateful.invariant()
    def unfinished_requests_are_queued_or_running(self) -> None:
        present = {work.request_id for work in self.scheduler.queue}
        present |= set(self.scheduler.running)
        assert present == self.unfinished
        assert len(self.scheduler.slots) <= 2
        for work in self.scheduler.running.values():
            assert work.ref is None or work.ref in self.scheduler.slots


TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=50, deadline=None
)


class TestScheduler(unittest.TestCase):
    """Single cases of the scheduler."""

    def setUp(self) -> None:
        self.scheduler = scheduler.EngineScheduler(
            scheduler.SchedulerLimits(2, 1), eviction.LowestRequestRate()
        )

    def load(self, ref: adapters.AdapterRef, now: float) -> None:
        self.scheduler.begin_load(ref, now)
        self.scheduler.end_load(ref, True, now)

    def test_no_adapter_is_evicted_while_all_are_in_use(self) -> None:
        self.scheduler.admit(make_work(1, REFS[0], 0.0), 0.0)
        self.load(REFS[0], 0.0)
        self.scheduler.start_ready(0.0)
        self.scheduler.admit(make_work(2, REFS[1], 0.0), 0.0)
        self.assertIsNone(self.scheduler.choose_victim(0.0))
        self.assertEqual(float("inf"), self.scheduler.get_eviction_value(0.0))
        with self.assertRaises(exceptions.InvariantError):
            self.scheduler.evict(REFS[0])

    def test_starving_request_gets_a_slot(self) -> None:
        self.load(REFS[0], 0.0)
        self.scheduler.admit(make_work(1, REFS[1], 0.0), 0.0)
        now = scheduler.STARVATION_TIMEOUT_S + 1.0
        self.scheduler.admit(make_work(2, REFS[0], now), now)
        removed = self.scheduler.preempt_for_starving(now)
        self.assertEqual(["r2"], [work.request_id for work in removed])
        self.assertEqual(REFS[0], self.scheduler.choose_victim(now))

    def test_repeated_load_failures_block_the_adapter(self) -> None:
        self.scheduler.admit(make_work(1, REFS[0], 0.0), 0.0)
        self.scheduler.begin_load(REFS[0], 0.0)
        self.assertEqual([], self.scheduler.end_load(REFS[0], False, 0.0))
        self.scheduler.begin_load(REFS[0], 0.0)
        removed = self.scheduler.end_load(REFS[0], False, 0.0)
        self.assertEqual(["r1"], [work.request_id for work in removed])
        refusal = self.scheduler.admit(make_work(2, REFS[0], 0.1), 0.1)
        self.assertIs(outcomes.RefusalCode.LOAD_FAILED, refusal.code)
        later = scheduler.LOAD_BACKOFF_S + 1.0
        again = make_work(3, REFS[0], later)
        self.assertIsNone(self.scheduler.admit(again, later))

    def test_low_priority_load_is_delayed_to_be_shared(self) -> None:
        fields = {"rank": 2, "hold_s": 1.0}
        self.scheduler.admit(make_work(1, REFS[0], 0.0, **fields), 0.0)
        self.assertEqual([], self.scheduler.find_pending_loads(0.5))
        self.assertEqual(1, len(self.scheduler.find_pending_loads(1.0)))
        self.scheduler.admit(make_work(2, REFS[0], 0.5, rank=0), 0.5)
        self.assertEqual(1, len(self.scheduler.find_pending_loads(0.5)))

    def test_versions_are_separate_adapters(self) -> None:
        self.load(REFS[0], 0.0)
        self.scheduler.admit(make_work(1, REFS[-1], 0.0), 0.0)
        self.assertEqual([], self.scheduler.start_ready(0.0))


class PermitQueueMachine(stateful.RuleBasedStateMachine):
    """Requests, grants and ends of load permits in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.queue = self.make_queue()
        self.grants: list[float] = []
        self.permits: set[tuple[str, adapters.AdapterRef]] = set()

    def make_queue(self) -> load_queue.LoadPermitQueue:
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
    def request(
        self, agent: str, refs: list[adapters.AdapterRef], weight: float
    ) -> None:
        requests = [
            load_queue.LoadRequest(agent, ref, weight, self.now)
            for ref in refs
        ]
        self.queue.update(agent, requests, self.now)

    @stateful.rule()
    def grant(self) -> None:
        for permit in self.queue.grant(self.now):
            key = (permit.agent, permit.ref)
            assert key not in self.permits, "permit granted twice"
            self.permits.add(key)
            self.grants.append(self.now)
        assert len(self.queue.permits) <= load_queue.MAX_CONCURRENT_PERMITS
        recent = [at for at in self.grants if at > self.now - 1.0]
        assert len(recent) <= 5, "more grants than the store's rate"

    @stateful.rule(seconds=strategies.floats(0.0, 1.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.queue.expire(self.now)
        self.permits &= set(self.queue.permits)

    @stateful.rule(position=strategies.integers(0, 5))
    def finish(self, position: int) -> None:
        keys = sorted(self.permits, key=str)
        if keys:
            key = keys[position % len(keys)]
            self.queue.end_permit(*key)
            self.permits.discard(key)


TestPermitQueueMachine = PermitQueueMachine.TestCase
TestPermitQueueMachine.settings = settings(
    derandomize=True, max_examples=80, stateful_step_count=50, deadline=None
)


class TestLoadQueue(unittest.TestCase):
    """Order of grants and lifetime of requests."""

    def test_heaviest_request_is_first_unless_another_is_overdue(self) -> None:
        policy = load_queue.HeaviestFirst()
        old = load_queue.LoadRequest("x", REFS[0], 0.1, 0.0)
        heavy = load_queue.LoadRequest("y", REFS[1], 50.0, 1.0)
        self.assertEqual(heavy, policy.choose([old, heavy], 2.0))
        late = load_queue.MAX_REQUEST_AGE_S + 0.1
        self.assertEqual(old, policy.choose([old, heavy], late))

    def test_request_that_is_not_repeated_is_dropped(self) -> None:
        queue = load_queue.LoadPermitQueue(
            load_queue.FirstComeFirstServed(), 4.0
        )
        request = load_queue.LoadRequest("x", REFS[0], 1.0, 10.0)
        queue.update("x", [request], 10.0)
        late = 10.0 + load_queue.REQUEST_LIFETIME_S + 0.1
        self.assertEqual([], queue.grant(late))

    def test_preload_is_granted_after_all_other_requests(self) -> None:
        queue = load_queue.LoadPermitQueue(load_queue.HeaviestFirst(), 4.0)
        preload = load_queue.LoadRequest("x", REFS[0], 99.0, 0.0, preload=True)
        demand = load_queue.LoadRequest("y", REFS[1], 0.1, 0.0)
        queue.update("x", [preload], 0.0)
        queue.update("y", [demand], 0.0)
        self.assertEqual([REFS[1]], [p.ref for p in queue.grant(0.0)])

    def test_next_grant_is_due_at_once_after_an_unused_permit(self) -> None:
        queue = load_queue.LoadPermitQueue(load_queue.HeaviestFirst(), 1.0)
        for number, agent in enumerate(("x", "y")):
            request = load_queue.LoadRequest(agent, REFS[number], 1.0, 0.0)
            queue.update(agent, [request], 0.0)
        first = queue.grant(0.0)[0]
        self.assertEqual([], queue.grant(0.1))
        queue.release_unused(first.agent, first.ref, 0.1)
        self.assertEqual(1, len(queue.grant(0.1)))


def make_view(name: str, **changes: object) -> routing.TargetView:
    """Return a view of an idle target without adapters, with changes."""
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


def make_route_request(**changes: object) -> routing.RouteRequest:
    """Return a request for the first adapter with changed fields."""
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
        chosen = routing.LeastCost().choose(
            make_route_request(**changes), views
        )
        return chosen.target_id

    def test_target_with_the_adapter_and_a_free_batch_slot(self) -> None:
        loaded = make_view("h", adapters=frozenset(["a0@1"]), running=3)
        self.assertEqual("h", self.choose([make_view("a"), loaded]))

    def test_long_queue_makes_an_extra_copy_worth_its_cost(self) -> None:
        loaded = make_view(
            "h",
            adapters=frozenset(["a0@1"]),
            running=4,
            queued_by_rank=(0, 9, 0),
        )
        self.assertEqual("a", self.choose([make_view("a"), loaded]))
        # Less urgent requests in the queue do not delay an urgent one.
        less_urgent = make_view(
            "h",
            adapters=frozenset(["a0@1"]),
            running=4,
            queued_by_rank=(0, 0, 9),
        )
        self.assertEqual(
            "h", self.choose([make_view("a"), less_urgent], rank=0)
        )

    def test_target_that_is_loading_the_adapter_is_chosen(self) -> None:
        loading = make_view("l", loading=frozenset(["a0@1"]))
        self.assertEqual("l", self.choose([make_view("a"), loading]))

    def test_target_with_the_cheapest_eviction_is_chosen(self) -> None:
        views = [
            make_view("hot", eviction_value=0.5),
            make_view("cold", eviction_value=0.001),
            make_view("busy", eviction_value=float("inf")),
        ]
        self.assertEqual("cold", self.choose(views))

    def test_preferred_target_is_chosen(self) -> None:
        views = [make_view("a"), make_view("b", running=4)]
        self.assertEqual("b", self.choose(views, preferred_target="b"))

    def test_unreported_requests_count(self) -> None:
        views = [make_view("a", unreported=8), make_view("b", running=4)]
        self.assertEqual("b", self.choose(views, ref=None))

    def test_no_target(self) -> None:
        self.assertIsNone(routing.LeastCost().choose(make_route_request(), []))

    def test_candidates_are_few_and_include_all_with_the_adapter(self) -> None:
        index = placement.Placement()
        names = [f"t{n}" for n in range(500)]
        index.set_targets({"s": names})
        index.adapter_index.update("t499", frozenset(["a0@1"]))
        found = list(index.find_candidates("s", "a0@1"))
        self.assertIn("t499", found)
        self.assertLessEqual(len(found), placement.RING_CANDIDATES + 1)
        index.set_targets({"s": names[:-1]})
        self.assertNotIn("t499", index.find_candidates("s", "a0@1"))

    def test_ring_moves_few_names_when_a_target_is_removed(self) -> None:
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

    def test_rate_is_accurate_shortly_after_the_start(self) -> None:
        rates = popularity.Popularity()
        for step in range(200):
            rates.add("a", step * 0.5)
        self.assertAlmostEqual(2.0, rates.get_rate("a", 100.0), delta=0.3)

    def test_sudden_increase_is_detected_soon(self) -> None:
        rates = popularity.Popularity()
        for step in range(4000):
            rates.add("old", step * 0.5)
        for step in range(40):
            rates.add("new", 2000.0 + step * 0.25)
        self.assertGreater(
            rates.get_rate("new", 2010.0), 0.1 * rates.get_rate("old", 2010.0)
        )

    def test_names_with_the_lowest_rates_are_dropped(self) -> None:
        rates = popularity.Popularity(max_tracked=100)
        rng = random.Random(1)
        for step in range(5000):
            name = "hot" if step % 3 == 0 else f"n{rng.randrange(3000)}"
            rates.add(name, step * 0.1)
        self.assertLessEqual(len(rates.slow), 100)
        self.assertEqual(["hot"], rates.get_top(1, 500.0))


class TestLimits(unittest.TestCase):
    """Admission and retries."""

    def test_burst_of_one_caller_leaves_capacity_for_others(self) -> None:
        limit = limits.AdmissionLimit(20)
        results = [limit.acquire("large", 0) for _ in range(40)]
        admitted = [r for r in results if isinstance(r, limits.Admission)]
        self.assertEqual(15, len(admitted))
        for _ in range(5):
            self.assertIsInstance(limit.acquire("small", 0), limits.Admission)
        limit.release(admitted[0])
        # With two callers, the first one stays above its fair share until
        # more of its requests have ended.
        self.assertIsInstance(limit.acquire("large", 0), outcomes.Refused)
        self.assertIsInstance(limit.acquire("small", 0), limits.Admission)

    def test_urgent_request_is_admitted_while_others_are_shed(self) -> None:
        limit = limits.AdmissionLimit(20)
        low = [limit.acquire(f"c{n}", 2) for n in range(20)]
        shed = [r for r in low if isinstance(r, outcomes.Refused)]
        self.assertEqual(6, len(shed))
        self.assertIsInstance(limit.acquire("u", 0), limits.Admission)

    def test_less_urgent_requests_never_block_urgent_ones(self) -> None:
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

    def test_retries_are_limited_to_a_ratio_of_the_requests(self) -> None:
        budget = limits.RetryBudget(ratio=0.2, reserve=10.0)
        retries = 0
        for _ in range(1000):
            budget.deposit()
            retries += sum(budget.try_spend() for _ in range(3))
        self.assertLessEqual(retries, 0.2 * 1000 + 10)
