"""Which target runs a request: one cost in expected seconds.

Pure decision code: entries with the same view choose alike, since ties and
first loads follow rendezvous hashing of the adapter's name.
"""

import abc
import collections.abc
import dataclasses
import hashlib
import math

from hemlockkeel._internal.models import adapters

CROSS_DATA_CENTRE_S = 0.002
# How far ahead losing an evicted adapter is counted.
EVICTION_HORIZON_S = 30.0
# Share of a load that work behind a load under way still waits, on average.
REMAINING_LOAD_SHARE = 0.5
PREFIX_HIT_GAIN_S = 0.01
BATCH_FILL_SHARE = 0.03
HASH_PREFERENCE_S = 0.05
# A second copy of an adapter takes a slot that another adapter could use;
# it pays once the queue at its holder is longer than this share of a run.
EXTRA_COPY_SHARE = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """What an entry knows of one target."""

    target_id: str
    data_centre: str
    running: int
    # Queued requests of each priority rank, the most urgent first.
    queued_by_rank: tuple[int, ...]
    batch_slots: int
    # Requests this entry sent since the load report was made.
    unreported: int
    adapters: frozenset[str]
    loading: frozenset[str]
    free_slots: int
    eviction_value: float
    prefixes: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """What routing needs to know of a request."""

    ref: adapters.AdapterRef | None
    data_centre: str
    prefix: str
    service_s: float
    load_s: float
    stall_weight: float
    batch_weight: float
    rank: int
    preferred_target: str = ""


class Router(abc.ABC):
    """Chooses a target."""

    @abc.abstractmethod
    def choose(
        self,
        request: RouteRequest,
        views: collections.abc.Sequence[TargetView],
    ) -> TargetView | None:
        """Return the target to use; None when there is none."""


class LeastLoaded(Router):
    """Chooses the target with the least work, whatever it holds."""

    def choose(
        self,
        request: RouteRequest,
        views: collections.abc.Sequence[TargetView],
    ) -> TargetView | None:
        return min(
            views,
            key=lambda view: (count_requests(view), view.target_id),
            default=None,
        )


class LeastCost(Router):
    """Chooses the target with the least expected cost."""

    def choose(
        self,
        request: RouteRequest,
        views: collections.abc.Sequence[TargetView],
    ) -> TargetView | None:
        if not views:
            return None
        if request.preferred_target:
            for view in views:
                if view.target_id == request.preferred_target:
                    return view
        name = str(request.ref) if request.ref else request.prefix
        held = any(
            name in view.adapters or name in view.loading for view in views
        )
        return min(
            views,
            key=lambda view: (
                estimate_cost_s(request, name, view, held),
                view.target_id,
            ),
        )


def count_requests(view: TargetView) -> int:
    """Return the requests at a target, with those not reported yet."""
    return view.running + sum(view.queued_by_rank) + view.unreported


def count_requests_ahead(view: TargetView, rank: int) -> int:
    """Return the requests that run before a new one of a rank."""
    queued = sum(view.queued_by_rank[: rank + 1])
    return view.running + queued + view.unreported


def estimate_cost_s(
    request: RouteRequest, name: str, view: TargetView, held: bool
) -> float:
    """Return the expected seconds that a target costs.

    ``held`` tells whether some target holds the adapter or loads it.
    """
    queue_s = estimate_queue_s(request, view)
    load_s = estimate_load_cost_s(request, name, view, held)
    distance_s = (
        0.0 if view.data_centre == request.data_centre else CROSS_DATA_CENTRE_S
    )
    prefix_s = PREFIX_HIT_GAIN_S if request.prefix in view.prefixes else 0.0
    return (
        queue_s
        + load_s
        + distance_s
        - prefix_s
        + estimate_batch_cost_s(request, view)
    )


def estimate_queue_s(request: RouteRequest, view: TargetView) -> float:
    """Return the expected wait for a place in the batch."""
    work = count_requests_ahead(view, request.rank)
    slots = max(1, view.batch_slots)
    waiting = work + 1 - slots
    if waiting <= 0:
        return 0.0
    return waiting / slots * request.service_s


def estimate_load_cost_s(
    request: RouteRequest, name: str, view: TargetView, held: bool
) -> float:
    """Return the expected wait for a load, with what it evicts."""
    if request.ref is None or name in view.adapters:
        return 0.0
    if name in view.loading:
        return request.load_s * REMAINING_LOAD_SHARE
    cost = request.load_s * (1.0 + request.stall_weight)
    if view.free_slots <= 0:
        cost += estimate_eviction_cost_s(request, view)
    if held:
        cost += EXTRA_COPY_SHARE * request.service_s
    return cost + HASH_PREFERENCE_S * get_rendezvous_hash(name, view.target_id)


def estimate_eviction_cost_s(request: RouteRequest, view: TargetView) -> float:
    """Return the expected cost of the load that an eviction causes later."""
    if math.isinf(view.eviction_value):
        # Every slot is in use: the load waits for one to come free.
        return request.service_s
    needed = 1.0 - math.exp(-view.eviction_value * EVICTION_HORIZON_S)
    return request.load_s * needed * 2.0


def estimate_batch_cost_s(request: RouteRequest, view: TargetView) -> float:
    """Return the cost of a place in the batch.

    Deployments that weigh batch efficiency gather work in batches that are
    running already; the others spread it.
    """
    slots = max(1, view.batch_slots)
    fill = min(1.0, count_requests(view) / slots)
    lean = request.stall_weight - request.batch_weight
    return BATCH_FILL_SHARE * request.service_s * lean * fill


def get_rendezvous_hash(name: str, target_id: str) -> float:
    """Return a number from 0 to 1 that orders targets for a name.

    Rendezvous hashing: Thaler, Ravishankar, "Using Name-Based Mappings to
    Increase Hit Rates", 1998.
    """
    data = f"{name}|{target_id}".encode()
    digest = hashlib.blake2b(data, digest_size=4).digest()
    return int.from_bytes(digest, "big") / 0xFFFFFFFF
