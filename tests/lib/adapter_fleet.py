"""Simulates requests for scarce adapter slots, without a network.

Entries select engines with the views that agents' reports gave them; each
engine's agent orders and grants as in production. The clock is virtual.
"""

import collections
import collections.abc
import dataclasses
import functools
import heapq
import itertools
import random
import statistics
import typing

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.orders import engine as engine_module
from hemlockkeel._internal.orders import publications
from hemlockkeel._internal.orders import requests
from hemlockkeel._internal.orders import slots
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import target_registry
from hemlockkeel._internal.relay import target_selection
from hemlockkeel._internal.relay import waits

SERVICE = records.ServiceName("s")
MODEL = "m"
REPORT_INTERVAL_S = 0.15
FETCH_S = 0.288
RELOAD_S = 0.029
STORE_CONCURRENCY = 3
RECENT_ADAPTERS = 36
ADAPTERS = 10_000
ZIPF_EXPONENT = 1.2
SHIFT_INTERVAL_S = 8.0
WAVE_INTERVAL_S = 7.0
# Prompt tokens, objective and deadline in seconds of the two request kinds.
KINDS = ((9190, 1.035, 4.1), (826, 0.815, 12.2))
MAX_ATTEMPTS = 4

Action = collections.abc.Callable[[], None]


@dataclasses.dataclass
class Request:
    """One request of a caller; times in seconds."""

    entry: int
    adapter: str
    arrived_at: float
    use_s: float
    tokens: int
    objective_s: float
    deadline_s: float
    attempts: int = 0
    tried: set[records.IncarnationKey] = dataclasses.field(default_factory=set)


class Engine:
    """An engine with its agent."""

    def __init__(self, name: str) -> None:
        self.address = f"{name}:80"
        self.state = slots.EngineState({}, set(), {MODEL}, 6)
        self.requests = requests.AdapterRequests()
        self.waiting: list[tuple[requests.Waiter, Request]] = []
        self.backlog = backlog.PrefillBacklog()
        self.publications = publications.LoadPublications[int]()
        # Keys and versions that can be reloaded fast, the newest last.
        self.recent: collections.OrderedDict[
            tuple[slots.AdapterKey, int], None
        ] = collections.OrderedDict()

    def keep(self, key: slots.AdapterKey, version: int) -> None:
        """Remember an adapter that was loaded or unloaded."""
        self.recent[key, version] = None
        self.recent.move_to_end((key, version))
        while len(self.recent) > RECENT_ADAPTERS:
            self.recent.popitem(last=False)

    def make_update(self, now: float) -> messages.LoadUpdate:
        """Return a load report."""
        demand = self.requests.get_demand(now)
        return messages.LoadUpdate(
            running=len(self.requests.grants),
            queued=0,
            kv_used=0,
            kv_total=241_710,
            adapter_slots=self.state.adapter_slots,
            loaded={
                MODEL: [
                    key[1]
                    for key in self.state.adapters
                    if slots.is_current(key, self.state, demand)
                ]
            },
            loading={MODEL: sorted(key[1] for key in self.state.loading)},
            slot_waits_s=[
                self.requests.estimate_slot_wait_s(rank, self.state)
                for rank in range(requests.PRIORITY_RANKS)
            ],
            can_load=True,
            pending_prefill_tokens=int(self.backlog.get(now)),
        )


class Fleet:
    """Engines and entries under load for some time."""

    def __init__(
        self,
        seed: int,
        duration_s: float = 30.0,
        rate: float = 100.0,
        engines: int = 24,
        entries: int = 42,
    ) -> None:
        self.rng = random.Random(seed)
        self.duration_s = duration_s
        self.rate = rate
        self.events: list[tuple[float, int, Action]] = []
        self.sequence = itertools.count(1)
        self.now = 0.0
        self.versions: dict[str, int] = {}
        self.names = [f"a{i}" for i in range(ADAPTERS)]
        self.weights = list(
            itertools.accumulate(
                (i + 1) ** -ZIPF_EXPONENT for i in range(ADAPTERS)
            )
        )
        self.engines = [Engine(f"e{i}") for i in range(engines)]
        self.entries = [
            target_registry.TargetRegistry(1000.0) for _ in range(entries)
        ]
        for registry, each in itertools.product(self.entries, self.engines):
            registry.merge(make_record(each.address))
        for each in self.engines:
            for index in range(entries):
                each.publications.add_entry(index, self.rng.uniform(-1, 0))
        self.fetched: set[tuple[slots.AdapterKey, int]] = set()
        self.fetching = 0
        self.fetches: collections.Counter[str] = collections.Counter()
        self.first_byte_s: list[float] = []
        self.adapter_wait_s: list[float] = []
        self.late = self.refused = self.count = 0
        # Adapters with versions in the order of the requests for them.
        self.arrivals: list[tuple[str, int]] = []

    def at(self, time: float, action: Action) -> None:
        """Call an action at a time."""
        heapq.heappush(self.events, (time, next(self.sequence), action))

    def run(self) -> None:
        """Simulate until all requests have ended."""
        for each in self.engines:
            start = self.rng.random() * REPORT_INTERVAL_S
            self.at(start, functools.partial(self.report, each))
        self.at(0.0, self.arrive)
        self.at(SHIFT_INTERVAL_S, self.shift)
        self.at(WAVE_INTERVAL_S, self.announce)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def report(self, each: Engine) -> None:
        """Send a load report to the entries that get one now."""
        each.requests.record_finished_loads(each.state, self.now)
        update = each.make_update(self.now)
        users = {
            typing.cast("int", entry) for entry, _ in each.requests.grants
        }
        for index in each.publications.choose_entries(update, users, self.now):
            self.entries[index].update_agent_load(
                each.address, update, self.now
            )
        if self.now < self.duration_s:
            self.at(self.now + REPORT_INTERVAL_S, lambda: self.report(each))

    def shift(self) -> None:
        """Exchange some popular adapters for others."""
        for rank in self.rng.sample(range(3, 60), 12):
            other = self.rng.randrange(100, ADAPTERS)
            names = self.names
            names[rank], names[other] = names[other], names[rank]
        if self.now < self.duration_s:
            self.at(self.now + SHIFT_INTERVAL_S, self.shift)

    def announce(self) -> None:
        """Announce new versions of some adapters."""
        for rank in self.rng.sample(range(80), 8):
            name = self.names[rank]
            self.versions[name] = self.versions.get(name, 1) + 1
            for each in self.engines:
                each.requests.record_version(
                    (MODEL, name), self.versions[name]
                )
        if self.now < self.duration_s:
            self.at(self.now + WAVE_INTERVAL_S, self.announce)

    def arrive(self) -> None:
        """Let a request arrive, and plan the next one."""
        kind = self.rng.choice(KINDS)
        name = self.rng.choices(self.names, cum_weights=self.weights)[0]
        self.arrivals.append((name, self.versions.get(name, 1)))
        self.count += 1
        self.send(
            Request(
                self.rng.randrange(len(self.entries)),
                name,
                self.now,
                min(5.0, 0.4 + self.rng.expovariate(1.0)),
                *kind,
            )
        )
        if self.now < self.duration_s:
            self.at(self.now + self.rng.expovariate(self.rate), self.arrive)

    def send(self, request: Request) -> None:
        """Send a request to an engine that its entry selects."""
        registry = self.entries[request.entry]
        candidates = registry.list_candidates(
            SERVICE,
            header_codec.RequestMetadata(
                "", model=MODEL, adapter=request.adapter
            ),
            self.now,
            request.tried,
        )
        chosen = target_selection.select_target(
            target_selection.Requirements(
                "dc1", f"{MODEL}/{request.adapter}", request.tokens
            ),
            candidates,
            self.rng,
        )
        limits = waits.WaitLimits(
            request.arrived_at,
            request.arrived_at + request.deadline_s,
            request.objective_s,
            0,
            request.tokens,
        )
        if chosen is None or request.attempts >= MAX_ATTEMPTS:
            self.refused += 1
            return
        request.attempts += 1
        request.tried.add(chosen.record.incarnation_key)
        target = registry.targets[chosen.record.instance_id]
        target.in_flight += 1
        target.in_flight_prefill_tokens += request.tokens
        each = self.engines[int(chosen.record.instance_id[1:])]
        each.publications.record_use(request.entry, self.now)
        waiter = each.requests.add(
            # An entry's index stands for its link, which is only compared.
            (typing.cast("link.Link", request.entry), next(self.sequence)),
            messages.EnsureAdapter(
                model=MODEL,
                adapter=request.adapter,
                priority=0,
                wait_s=limits.get_adapter_wait_s(self.now),
                slo_budget_s=limits.get_slo_budget_s(self.now),
                prompt_tokens=request.tokens,
            ),
            self.now,
        )
        each.waiting.append((waiter, request))
        each.requests.grant_loaded(each.state, self.now)
        each.requests.refuse_if_too_late(waiter, each.state, self.now)
        self.act(each)
        self.at(waiter.deadline_at, lambda: self.act(each))

    def act(self, each: Engine) -> None:
        """Let an agent grant, refuse and order."""
        each.requests.grant_loaded(each.state, self.now)
        each.requests.refuse_overdue(each.state, self.now)
        for waiter in list(each.requests.waiters):
            if waiter.deadline_at <= self.now:
                each.requests.refuse(waiter, "late")
        while True:
            order = slots.choose_order(
                each.state, each.requests.get_demand(self.now)
            )
            if order is None:
                break
            self.carry_out(each, order)
        done = [item for item in each.waiting if item[0].future.done()]
        each.waiting = [i for i in each.waiting if not i[0].future.done()]
        for waiter, request in done:
            self.finish_wait(each, waiter, request)

    def carry_out(self, each: Engine, order: engine_module.Order) -> None:
        """Let an engine carry out an order."""
        key = (order.model, order.adapter)
        if order.operation is engine_module.Operation.UNLOAD:
            each.keep(key, each.state.adapters.pop(key))
            each.requests.record_unload(key)
            return
        version = self.versions.get(order.adapter, 1)
        fetch = (key, version) not in each.recent
        took_s = RELOAD_S
        self.fetching += fetch
        if fetch:
            self.fetches[self.find_cause(each, key, version)] += 1
            self.fetched.add((key, version))
            took_s = FETCH_S * max(1.0, self.fetching / STORE_CONCURRENCY)
        each.state.adapters.pop(key, None)
        each.state.loading.add(key)
        each.keep(key, version)
        each.requests.record_load_start(key, self.now)
        self.at(
            self.now + took_s,
            lambda: self.finish_load(each, key, version, fetch),
        )

    def find_cause(
        self, each: Engine, key: slots.AdapterKey, version: int
    ) -> str:
        """Return why an engine fetches an adapter from the store."""
        others = [other for other in self.engines if other is not each]
        if (key, version) not in self.fetched:
            return "first" if version == 1 else "version"
        if any(
            other.state.adapters.get(key) == version
            or key in other.state.loading
            for other in others
        ):
            return "copy"
        held = any((key, version) in other.recent for other in others)
        return "held" if held else "forgotten"

    def finish_load(
        self, each: Engine, key: slots.AdapterKey, version: int, fetch: bool
    ) -> None:
        """End a load."""
        self.fetching -= fetch
        each.state.loading.discard(key)
        each.state.adapters[key] = version
        each.requests.record_finished_loads(each.state, self.now)
        self.act(each)

    def finish_wait(
        self, each: Engine, waiter: requests.Waiter, request: Request
    ) -> None:
        """Start a granted request, or send a refused one elsewhere."""
        grant = waiter.future.result()
        registry = self.entries[request.entry]
        target = registry.find_by_address(each.address)
        assert target is not None
        if not grant.granted:
            target.in_flight -= 1
            target.in_flight_prefill_tokens -= request.tokens
            if waiter.key in each.state.loading:
                # As `Forwarder.try_targets`; only such waits time out.
                request.tried.discard(target.record.incarnation_key)
            self.send(request)
            return
        each.backlog.add(request.tokens, self.now)
        prefill_s = each.backlog.get(self.now) / backlog.PREFILL_TOKENS_PER_S
        first_byte_at = self.now + prefill_s
        self.adapter_wait_s.append(self.now - request.arrived_at)
        self.first_byte_s.append(first_byte_at - request.arrived_at)
        self.late += self.first_byte_s[-1] > request.objective_s

        def end_prefill() -> None:
            target.in_flight_prefill_tokens -= request.tokens

        def end_use() -> None:
            target.in_flight -= 1
            each.requests.release(waiter.call_key, self.now)
            self.act(each)

        self.at(first_byte_at, end_prefill)
        self.at(first_byte_at + request.use_s, end_use)

    def summarise(self) -> dict[str, float]:
        """Return figures of a run."""
        ordered = sorted(self.first_byte_s)
        return {
            **self.fetches,
            "fetches": self.fetches.total(),
            "requests": self.count,
            "late": self.late,
            "on_time": len(ordered) - self.late,
            "refused": self.refused,
            "wait_mean_ms": 1000 * statistics.fmean(self.adapter_wait_s),
            "first_byte_mean_ms": 1000 * statistics.fmean(ordered),
            "first_byte_p95_ms": 1000 * ordered[len(ordered) * 95 // 100],
        }


def make_record(address: str) -> records.TargetRecord:
    """Return a ready engine."""
    return records.TargetRecord(
        records.InstanceId(address.split(":")[0]),
        SERVICE,
        address,
        "dc1",
        records.TargetState.READY,
        1,
        1,
        slots=64,
        models=[],
    )


def count_lru_fetches(arrivals: list[tuple[str, int]], capacity: int) -> int:
    """Return the fetches of one LRU cache that all engines would share."""
    cached: collections.OrderedDict[tuple[str, int], None] = (
        collections.OrderedDict()
    )
    fetches = 0
    for item in arrivals:
        fetches += item not in cached
        cached[item] = None
        cached.move_to_end(item)
        if len(cached) > capacity:
            cached.popitem(last=False)
    return fetches


def count_belady_fetches(
    arrivals: list[tuple[str, int]], capacity: int
) -> int:
    """Return the fetches of such a cache that knows all later requests."""
    next_use = [len(arrivals)] * len(arrivals)
    last: dict[tuple[str, int], int] = {}
    for index in reversed(range(len(arrivals))):
        next_use[index] = last.get(arrivals[index], len(arrivals))
        last[arrivals[index]] = index
    cached: dict[tuple[str, int], int] = {}
    fetches = 0
    for item, used_at in zip(arrivals, next_use, strict=True):
        if item not in cached:
            fetches += 1
            if len(cached) >= capacity:
                del cached[max(cached, key=cached.__getitem__)]
        cached[item] = used_at
    return fetches
