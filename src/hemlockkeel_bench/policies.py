"""The policies that runs compare."""

import typing

from hemlockkeel._internal.policy import eviction
from hemlockkeel._internal.policy import load_queue
from hemlockkeel._internal.policy import routing


class PolicySet(typing.NamedTuple):
    """Decision classes of one run."""

    name: str
    router: routing.Router
    eviction: eviction.EvictionPolicy
    load_policy: load_queue.LoadSelectionPolicy
    holds_requests: bool
    preloads: bool


def make_policy_set(name: str) -> PolicySet:
    """Return the baseline or the default policy."""
    if name == "baseline":
        return PolicySet(
            name,
            routing.LeastLoaded(),
            eviction.LeastRecentlyUsed(),
            load_queue.FirstComeFirstServed(),
            False,
            False,
        )
    return PolicySet(
        name,
        routing.LeastCost(),
        eviction.LowestRequestRate(),
        load_queue.HeaviestFirst(),
        True,
        True,
    )
