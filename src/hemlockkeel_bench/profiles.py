"""Workloads: request arrivals with Zipf popularity that shifts, and bursts."""

import bisect
import dataclasses
import itertools
import random

from hemlockkeel._internal.models import declarations

ADAPTER_COUNT = 3000
ZIPF_EXPONENT = 1.1
# Popularity shifts: after that many requests, some adapters of the highest
# ranks change places with random others.
SHIFT_INTERVAL_REQUESTS = 400
ADAPTERS_PER_SHIFT = 6
TOP_RANK_COUNT = 30
URGENT_ADAPTER_COUNT = 10


@dataclasses.dataclass(frozen=True)
class Profile:
    """Sizes and rates of one user's workload.

    ``priority`` and ``hold_ms`` are declared for the deployment of ordinary
    requests, the weights for that of urgent requests as well.
    """

    name: str
    site: str
    data_centres: tuple[str, ...]
    target_count: int
    entry_count: int
    loads_per_second: float
    batch_slots: int
    adapter_slots: int
    step_s: float
    mean_tokens: int
    # Ordinary requests.
    arrival_rate_per_s: float
    # Urgent requests: all the time, and in addition during bursts.
    urgent_arrival_rate_per_s: float
    burst_arrival_rate_per_s: float
    burst_interval_s: float
    burst_duration_s: float
    priority: declarations.Priority
    stall_weight: float
    batch_weight: float
    hold_ms: int


BUSHLINE = Profile(
    name="bushline",
    site="tas-north",
    data_centres=("launceston-hall", "devonport-hall", "burnie-hall"),
    target_count=9,
    entry_count=3,
    loads_per_second=4.0,
    batch_slots=8,
    adapter_slots=6,
    step_s=0.05,
    mean_tokens=30,
    arrival_rate_per_s=6.0,
    urgent_arrival_rate_per_s=1.0,
    burst_arrival_rate_per_s=12.0,
    burst_interval_s=20.0,
    burst_duration_s=5.0,
    priority=declarations.Priority.LOW,
    stall_weight=0.9,
    batch_weight=0.1,
    hold_ms=400,
)

SUMMONS = Profile(
    name="summons",
    site="hanoi",
    data_centres=("hoan-kiem", "cau-giay", "long-bien", "ha-dong"),
    target_count=6,
    entry_count=4,
    loads_per_second=3.0,
    batch_slots=8,
    adapter_slots=8,
    step_s=0.1,
    mean_tokens=80,
    # 95 % of the capacity of 6 targets with 8 batch slots at 8.1 s a request.
    arrival_rate_per_s=5.63,
    urgent_arrival_rate_per_s=0.0,
    burst_arrival_rate_per_s=0.0,
    burst_interval_s=20.0,
    burst_duration_s=0.0,
    priority=declarations.Priority.NORMAL,
    stall_weight=0.2,
    batch_weight=0.8,
    hold_ms=800,
)

PROFILES = {profile.name: profile for profile in (BUSHLINE, SUMMONS)}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of a workload; its time counts from the start of the run."""

    number: int
    arrival_time_s: float
    model: str
    tokens: int
    urgent: bool


class AdapterPopularity:
    """Draws adapters with Zipf popularity; the most popular ones may change.

    ``adapter_by_rank`` has the numbers of the adapters, most popular first.
    """

    def __init__(self, rng: random.Random, shifts: bool) -> None:
        self.rng = rng
        self.shifts = shifts
        weights = (
            1.0 / (n + 1) ** ZIPF_EXPONENT for n in range(ADAPTER_COUNT)
        )
        self.cumulative_weights = list(itertools.accumulate(weights))
        self.adapter_by_rank = list(range(ADAPTER_COUNT))
        rng.shuffle(self.adapter_by_rank)
        self.draw_count = 0

    def draw(self) -> int:
        """Return the number of the adapter of the next request."""
        self.draw_count += 1
        if self.shifts and self.draw_count % SHIFT_INTERVAL_REQUESTS == 0:
            self.shift()
        point = self.rng.random() * self.cumulative_weights[-1]
        rank = bisect.bisect(self.cumulative_weights, point)
        return self.adapter_by_rank[min(rank, ADAPTER_COUNT - 1)]

    def shift(self) -> None:
        """Let some of the most popular adapters change places with others."""
        for rank in self.rng.sample(range(TOP_RANK_COUNT), ADAPTERS_PER_SHIFT):
            other_rank = self.rng.randrange(TOP_RANK_COUNT, ADAPTER_COUNT)
            by_rank = self.adapter_by_rank
            by_rank[rank], by_rank[other_rank] = (
                by_rank[other_rank],
                by_rank[rank],
            )


def make_arrivals(
    profile: Profile, seconds: float, seed: int, shifts: bool
) -> list[Arrival]:
    """Return the arrivals of a run, which the seed determines."""
    rng = random.Random(seed)
    popularity = AdapterPopularity(rng, shifts)
    times = draw_arrival_times(rng, profile.arrival_rate_per_s, 0.0, seconds)
    drawn = [(at, f"club-{popularity.draw():04}@1", False) for at in times]
    drawn += draw_urgent_arrivals(rng, profile, seconds)
    drawn.sort()
    return [
        Arrival(number, at, model, draw_token_count(rng, profile), urgent)
        for number, (at, model, urgent) in enumerate(drawn)
    ]


def draw_arrival_times(
    rng: random.Random, rate: float, start: float, end: float
) -> list[float]:
    """Return the times of a Poisson process between two times.

    ``rate`` is in arrivals a second.
    """
    times: list[float] = []
    if rate <= 0:
        return times
    at = start + rng.expovariate(rate)
    while at < end:
        times.append(at)
        at += rng.expovariate(rate)
    return times


def draw_urgent_arrivals(
    rng: random.Random, profile: Profile, seconds: float
) -> list[tuple[float, str, bool]]:
    """Return the arrivals of urgent requests: time, adapter, urgent.

    They come at a steady rate over all adapters, as while events are open, and
    in bursts over two adapters, as before two events close.
    """
    names = [f"check-{number:04}@1" for number in range(URGENT_ADAPTER_COUNT)]
    drawn = [
        (at, rng.choice(names), True)
        for at in draw_arrival_times(
            rng, profile.urgent_arrival_rate_per_s, 0.0, seconds
        )
    ]
    start = profile.burst_interval_s
    while profile.burst_duration_s and start < seconds:
        closing = rng.sample(names, 2)
        end = min(seconds, start + profile.burst_duration_s)
        drawn += [
            (at, rng.choice(closing), True)
            for at in draw_arrival_times(
                rng, profile.burst_arrival_rate_per_s, start, end
            )
        ]
        start += profile.burst_interval_s
    return drawn


def draw_token_count(rng: random.Random, profile: Profile) -> int:
    """Return the length of a response, uniformly 0.5 to 1.5 of the mean."""
    low, high = profile.mean_tokens // 2, profile.mean_tokens * 3 // 2
    return rng.randint(low, high)


def count_optimal_loads(models: list[str], slots: int) -> int:
    """Return the lowest number of loads that any eviction policy can reach.

    The optimal policy knows all later requests and evicts the adapter whose
    next use is farthest away. Source: Belady, "A Study of Replacement
    Algorithms for a Virtual-Storage Computer", 1966.
    """
    never = len(models)
    next_use_by_model: dict[str, int] = {}
    next_use = [never] * len(models)
    for index in range(len(models) - 1, -1, -1):
        next_use[index] = next_use_by_model.get(models[index], never)
        next_use_by_model[models[index]] = index
    cached: dict[str, int] = {}
    loads = 0
    for index, model in enumerate(models):
        if model not in cached:
            loads += 1
            if len(cached) >= slots:
                del cached[max(cached, key=lambda name: cached[name])]
        cached[model] = next_use[index]
    return loads
