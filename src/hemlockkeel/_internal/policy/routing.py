"""Chooses the target of a request by its estimated cost in seconds.

The functions have no side effects, and entries with the same views choose
the same target: equal targets, and those of an adapter that is loaded
nowhere, are ordered by rendezvous hashing of the adapter's name.
"""

import abc
import collections.abc
import dataclasses
import hashlib
import math

from hemlockkeel._internal.models import adapters

# Cost of a target in another data centre.
REMOTE_TARGET_COST_S = 0.002
# Period after an eviction in which a reload of the evicted adapter counts as
# a cost of the eviction.
EVICTION_HORIZON_S = 30.0
# Share of a load in progress that is still to wait for, on average.
REMAINING_LOAD_SHARE = 0.5
# Time saved when a target has the prompt's prefix in its cache.
PREFIX_HIT_GAIN_S = 0.01
# Cost of a full batch, as a share of the service time.
BATCH_FILL_SHARE = 0.03
# Largest cost by which hashing prefers one target for a load.
HASH_PREFERENCE_S = 0.05
# Cost of loading an adapter at a second target, as a share of the service
# time, since it takes a slot that another adapter could use. It is worth it
# once the queue at the first target is longer.
EXTRA_COPY_SHARE = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetView:
    """State of a target as an entry knows it."""

    target_id: str
    data_centre: str
    running: int
    # Queued requests of each priority rank, the most urgent first.
    queued_by_rank: tuple[int, ...]
    batch_slots: int
    # Requests that this entry has sent since the load report was made.
    unreported: int
    # Adapters that are loaded, and those that are loading.
    adapters: frozenset[str]
    loading: frozenset[str]
    # Free adapter slots.
    free_slots: int
    # Value of the adapter that a load would evict: its request rate.
    # Infinite if every slot is in use.
    eviction_value: float
    # Prompt prefixes in its cache.
    prefixes: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRequest:
    """Properties of a request that routing depends on."""

    # None for a request to the base model.
    ref: adapters.AdapterRef | None
    data_centre: str
    # Prefix of the prompt.
    prefix: str
    # Expected duration of the request, and of a load of its adapter.
    service_s: float
    load_s: float
    # Weight of the wait for a load, and of gathering requests in batches.
    stall_weight: float
    batch_weight: float
    # Priority rank; 0 is the most urgent.
    rank: int
    # Target to use if it is among the views, whatever its cost.
    preferred_target: str = ""


class Router(abc.ABC):
    """Chooses the target of a request."""

    @abc.abstractmethod
    def choose(
        self,
        request: RouteRequest,
        views: collections.abc.Sequence[TargetView],
    ) -> TargetView | None:
        """Return the target to use; None when ``views`` is empty."""


class LeastLoaded(Router):
    """Chooses the target with the fewest requests, whatever its adapters."""

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
    """Chooses the target with the lowest estimated cost."""

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
        loaded_anywhere = any(
            name in view.adapters or name in view.loading for view in views
        )
        return min(
            views,
            key=lambda view: (
                estimate_cost_s(request, name, view, loaded_anywhere),
                view.target_id,
            ),
        )


def count_requests(view: TargetView) -> int:
    """Return the number of requests at a target, with unreported ones."""
    return view.running + sum(view.queued_by_rank) + view.unreported


def count_requests_ahead(view: TargetView, rank: int) -> int:
    """Return the number of requests that run before a new one of a rank."""
    queued = sum(view.queued_by_rank[: rank + 1])
    return view.running + queued + view.unreported


def estimate_cost_s(
    request: RouteRequest, name: str, view: TargetView, loaded_anywhere: bool
) -> float:
    """Return the estimated cost of a target, seconds.

    ``loaded_anywhere`` tells whether any target has loaded the adapter or is
    loading it.
    """
    queue_s = estimate_queue_s(request, view)
    load_s = estimate_load_cost_s(request, name, view, loaded_anywhere)
    distance_s = (
        0.0
        if view.data_centre == request.data_centre
        else REMOTE_TARGET_COST_S
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
    """Return the expected wait for a place in the batch, seconds."""
    ahead = count_requests_ahead(view, request.rank)
    slots = max(1, view.batch_slots)
    waiting = ahead + 1 - slots
    if waiting <= 0:
        return 0.0
    return waiting / slots * request.service_s


def estimate_load_cost_s(
    request: RouteRequest, name: str, view: TargetView, loaded_anywhere: bool
) -> float:
    """Return the cost of a load at a target, with that of an eviction."""
    if request.ref is None or name in view.adapters:
        return 0.0
    if name in view.loading:
        return request.load_s * REMAINING_LOAD_SHARE
    cost = request.load_s * (1.0 + request.stall_weight)
    if view.free_slots <= 0:
        cost += estimate_eviction_cost_s(request, view)
    if loaded_anywhere:
        cost += EXTRA_COPY_SHARE * request.service_s
    return cost + HASH_PREFERENCE_S * get_rendezvous_hash(name, view.target_id)


def estimate_eviction_cost_s(request: RouteRequest, view: TargetView) -> float:
    """Return the expected cost of reloading the evicted adapter later.

    Its requests are assumed to arrive as a Poisson process.
    """
    if math.isinf(view.eviction_value):
        # Every slot is in use, so the load waits until a request ends.
        return request.service_s
    reload_probability = 1.0 - math.exp(
        -view.eviction_value * EVICTION_HORIZON_S
    )
    return request.load_s * reload_probability * 2.0


def estimate_batch_cost_s(request: RouteRequest, view: TargetView) -> float:
    """Return the cost of joining a target's batch, seconds.

    It is negative for deployments that value efficient batches more than
    short waits, so that their requests gather in batches already running;
    those of other deployments are spread over targets.
    """
    slots = max(1, view.batch_slots)
    fill = min(1.0, count_requests(view) / slots)
    weight = request.stall_weight - request.batch_weight
    return BATCH_FILL_SHARE * request.service_s * weight * fill


def get_rendezvous_hash(name: str, target_id: str) -> float:
    """Return a number from 0 to 1 that ranks targets for a name.

    Source: Thaler, Ravishankar, "Using Name-Based Mappings to Increase Hit
    Rates", 1998 (rendezvous hashing).
    """
    data = f"{name}|{target_id}".encode()
    digest = hashlib.blake2b(data, digest_size=4).digest()
    return int.from_bytes(digest, "big") / 0xFFFFFFFF
