"""The two sets of policies that benchmarks compare."""

import typing

from hemlockkeel._internal.policy import eviction
from hemlockkeel._internal.policy import load_queue
from hemlockkeel._internal.policy import routing


class PolicySet(typing.NamedTuple):
    """Policies that the roles of one run use.

    ``holds_requests`` tells whether deployments declare the ``hold_ms`` of the
    profile; without it they declare 0.
    """

    name: str
    router: routing.Router
    eviction: eviction.EvictionPolicy
    load_policy: load_queue.LoadSelectionPolicy
    holds_requests: bool
    preloads: bool


def make_policy_set(name: str) -> PolicySet:
    """Return the baseline policies, or the default ones for other names."""
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
