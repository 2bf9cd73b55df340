"""Permits to load adapters, which the control leader grants for each site."""

import threading

from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.policy import load_queue
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import metrics

# For a site that is not declared.
DEFAULT_LOADS_PER_SECOND = 4.0
# Longest time that a call of an agent waits for a permit.
MAX_WAIT_S = 0.5


class PermitAllocator:
    """Grants load permits to agents, whose calls wait until one is due.

    The loads of a site share its weight store, so each site has a queue of
    load requests and permits.
    """

    def __init__(
        self,
        selection_policy: load_queue.LoadSelectionPolicy,
        time_source: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self.selection_policy = selection_policy
        self.clock = time_source
        self.counters = counters
        self.queues: dict[str, load_queue.LoadPermitQueue] = {}
        # Granted permits by agent, until the agent's next call returns them.
        self.undelivered: dict[str, list[adapters.AdapterRef]] = {}
        # Guards the queues and permits; notified when permits are granted.
        self.changed = threading.Condition()
        self.no_grants_until = 0.0

    def reset(self, delay_s: float) -> None:
        """Clear the state for a new leader and grant nothing for a while.

        During ``delay_s`` the agents report the loads that they are running
        on permits of the previous leader.
        """
        with self.changed:
            self.queues.clear()
            self.undelivered.clear()
            self.no_grants_until = self.clock.monotonic() + delay_s

    def get_queue(
        self, site: str, declared: declarations.Site | None
    ) -> load_queue.LoadPermitQueue:
        """Return a site's queue, set to the declared rate of loads.

        ``declared`` is None for a site that is not declared.
        """
        rate = DEFAULT_LOADS_PER_SECOND
        if declared is not None:
            rate = declared.weight_store_loads_per_second
        queue = self.queues.get(site)
        if queue is None:
            queue = load_queue.LoadPermitQueue(
                self.selection_policy, rate, quiet_until=self.no_grants_until
            )
            self.queues[site] = queue
        queue.interval_s = 1.0 / rate
        return queue

    def request_permits(
        self,
        agent: str,
        site: str,
        declared: declarations.Site | None,
        load_requests: list[load_queue.LoadRequest],
        in_progress: list[adapters.AdapterRef],
        finished: list[adapters.AdapterRef],
        unused: list[adapters.AdapterRef],
        wait_s: float,
    ) -> list[adapters.AdapterRef]:
        """Replace an agent's load requests and return its new permits.

        Waits up to ``wait_s`` for a permit if there are load requests.
        ``finished`` loads end their permits, ``unused`` permits are returned
        without a load, and ``in_progress`` are loads that the agent runs,
        perhaps on a permit of a previous leader.
        """
        deadline = self.clock.monotonic() + min(wait_s, MAX_WAIT_S)
        with self.changed:
            queue = self.get_queue(site, declared)
            now = self.clock.monotonic()
            for ref in finished:
                queue.end_permit(agent, ref)
            for ref in unused:
                queue.release_unused(agent, ref, now)
            queue.restore_permits(agent, in_progress, now)
            queue.update(agent, load_requests, now)
            return self.wait_for_permit(
                agent, queue, bool(load_requests), deadline
            )

    def wait_for_permit(
        self,
        agent: str,
        queue: load_queue.LoadPermitQueue,
        has_requests: bool,
        deadline: float,
    ) -> list[adapters.AdapterRef]:
        """Grant permits of a site until this agent has one or must return.

        Without load requests, returns at once what was granted before.
        """
        while True:
            now = self.clock.monotonic()
            self.deliver(queue.grant(now))
            permitted = self.undelivered.pop(agent, [])
            if permitted or not has_requests or now >= deadline:
                return permitted
            queue.refreshed_at[agent] = now
            pause = queue.get_wait(now) or deadline - now
            self.changed.wait(min(pause, deadline - now))

    def deliver(self, permits: list[load_queue.Permit]) -> None:
        """Store permits for their agents and wake the waiting calls."""
        if not permits:
            return
        for permit in permits:
            self.undelivered.setdefault(permit.agent, []).append(permit.ref)
            self.counters.count(metrics.Counter.PERMITS)
        self.changed.notify_all()
