"""How long a request may wait for an adapter, and its priority when late.

Written for loads whose bottleneck is adapter slots: a request that has
already missed its objective yields to those that can still meet theirs.
The functions have no side effects; callers pass the current time.
"""

import dataclasses

from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.orders import requests

# Shortest time left in which sending a request to a target is worthwhile.
MIN_USEFUL_S = 0.02
# Longest wait for an adapter over all targets, in multiples of the
# first-byte objective.
ADAPTER_WAIT_RATIO = 2.5
# Longest wait at one target beyond the time left within the objective: the
# duration of two adapter loads.
LATE_WAIT_S = 0.5
# Added to the priority rank of a late request: enough to put it behind the
# requests of every route that can still meet their objective.
LATE_PRIORITY_PENALTY = 4


@dataclasses.dataclass(frozen=True)
class WaitLimits:
    """What bounds a request's waits; loop times in seconds."""

    arrived_at: float
    deadline_at: float
    first_byte_slo_s: float
    priority: int
    # Prompt tokens that are not in the target's cache.
    uncached_tokens: int

    def get_slo_budget_s(self, now: float) -> float:
        """Return the time left to start the prefill within the objective.

        Negative when the objective cannot be met any more.
        """
        prefill_s = self.uncached_tokens / backlog.PREFILL_TOKENS_PER_S
        return self.arrived_at + self.first_byte_slo_s - prefill_s - now

    def may_wait_for_slot(self, slot_wait_s: float, now: float) -> bool:
        """Return whether an expected wait for an adapter slot is acceptable.

        A response after the route's objective is worth less than the use
        that other requests make of the slot, so the caller is told at once
        to retry later.
        """
        if slot_wait_s <= 0.0:
            return True
        return (
            slot_wait_s
            <= self.get_slo_budget_s(now) + requests.LATENESS_TOLERANCE_S
        )

    def get_adapter_wait_s(self, now: float) -> float:
        """Return how long the request may still wait for its adapter.

        At most half the time up to the deadline is spent on waiting.
        """
        latest = min(
            self.arrived_at + self.first_byte_slo_s * ADAPTER_WAIT_RATIO,
            (self.arrived_at + self.deadline_at) / 2,
        )
        late_s = max(0.0, self.get_slo_budget_s(now)) + LATE_WAIT_S
        return max(MIN_USEFUL_S, min(latest - now, late_s))

    def get_target_priority(self, now: float) -> int:
        """Return the priority rank at the target, lowered if late."""
        late = self.get_slo_budget_s(now) < 0.0
        return self.priority + (LATE_PRIORITY_PENALTY if late else 0)
