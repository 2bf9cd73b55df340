"""How long a request may wait for an adapter, and what being late costs it.

Pure. Answers the load in which adapter slots are what binds: a request that
is late anyway gives way to those that can still be on time.
"""

import dataclasses

from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.orders import requests

# Shortest time in which a target can do anything for a request.
MIN_USEFUL_S = 0.02
# Wait for an adapter, over all targets, as a share of the objective, and at
# one target beyond the time in which it can be on time, seconds: two loads.
ADAPTER_WAIT_RATIO = 2.5
LATE_WAIT_S = 0.5
# What a request that is late anyway loses in priority: it comes after those
# of every route that can still be on time.
LATE_PRIORITY_PENALTY = 4


@dataclasses.dataclass(frozen=True)
class WaitLimits:
    """What decides how long a request may wait; loop times, seconds."""

    arrived_at: float
    deadline_at: float
    objective_s: float
    priority: int
    # Prompt tokens that the target has to read for it.
    uncached_tokens: int

    def get_slo_budget_s(self, now: float) -> float:
        """Return how long the target may still take to begin on time."""
        reading_s = self.uncached_tokens / backlog.PREFILL_TOKENS_PER_S
        return self.arrived_at + self.objective_s - reading_s - now

    def may_wait_for_slot(self, slot_wait_s: float, now: float) -> bool:
        """Tell whether an expected wait for a slot makes sense.

        Beyond the route's objective an answer is worth less than what the
        slot gives to others; a caller is told at once to come back.
        """
        if slot_wait_s <= 0.0:
            return True
        return (
            slot_wait_s <= self.get_slo_budget_s(now) + requests.LATE_SLACK_S
        )

    def get_adapter_wait_s(self, now: float) -> float:
        """Return how long the request may still wait for its adapter."""
        until = min(
            self.arrived_at + self.objective_s * ADAPTER_WAIT_RATIO,
            (self.arrived_at + self.deadline_at) / 2,
        )
        late_s = max(0.0, self.get_slo_budget_s(now)) + LATE_WAIT_S
        return max(MIN_USEFUL_S, min(until - now, late_s))

    def get_target_priority(self, now: float) -> int:
        """Return the priority at the target, behind others if it is late."""
        late = self.get_slo_budget_s(now) < 0.0
        return self.priority + (LATE_PRIORITY_PENALTY if late else 0)
