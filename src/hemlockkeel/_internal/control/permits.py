"""Load permits of every site, kept by the control leader."""

import threading

from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.policy import load_queue
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import metrics

DEFAULT_LOADS_PER_SECOND = 4.0
MAX_WAIT_S = 0.5


class PermitAllocator:
    """Hands out load permits; agents wait here for their turn."""

    def __init__(
        self,
        order: load_queue.LoadSelectionPolicy,
        time_source: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self.order = order
        self.clock = time_source
        self.counters = counters
        self.ledgers: dict[str, load_queue.LoadPermitQueue] = {}
        self.granted: dict[str, list[adapters.AdapterRef]] = {}
        self.changed = threading.Condition()
        self.quiet_until = 0.0

    def reset(self, quiet_s: float) -> None:
        """Start a lead: wait until an older leader's permits are known."""
        with self.changed:
            self.ledgers.clear()
            self.granted.clear()
            self.quiet_until = self.clock.monotonic() + quiet_s

    def get_ledger(
        self, site: str, declared: declarations.Site | None
    ) -> load_queue.LoadPermitQueue:
        """Return a site's ledger at the site's declared rate."""
        rate = DEFAULT_LOADS_PER_SECOND
        if declared is not None:
            rate = declared.weight_store_loads_per_second
        ledger = self.ledgers.get(site)
        if ledger is None:
            ledger = load_queue.LoadPermitQueue(
                self.order, rate, quiet_until=self.quiet_until
            )
            self.ledgers[site] = ledger
        ledger.interval_s = 1.0 / rate
        return ledger

    def request_permits(
        self,
        agent: str,
        site: str,
        declared: declarations.Site | None,
        wants: list[load_queue.LoadRequest],
        in_progress: list[adapters.AdapterRef],
        finished: list[adapters.AdapterRef],
        unused: list[adapters.AdapterRef],
        wait_s: float,
    ) -> list[adapters.AdapterRef]:
        """Take an agent's wants and return its permits, waiting for one."""
        deadline = self.clock.monotonic() + min(wait_s, MAX_WAIT_S)
        with self.changed:
            ledger = self.get_ledger(site, declared)
            now = self.clock.monotonic()
            for ref in finished:
                ledger.end_permit(agent, ref)
            for ref in unused:
                ledger.release_unused(agent, ref, now)
            ledger.restore_permits(agent, in_progress, now)
            ledger.update(agent, wants, now)
            return self.wait_for_permit(agent, ledger, bool(wants), deadline)

    def wait_for_permit(
        self,
        agent: str,
        ledger: load_queue.LoadPermitQueue,
        wanting: bool,
        deadline: float,
    ) -> list[adapters.AdapterRef]:
        """Grant what can be granted until this agent has its share."""
        while True:
            now = self.clock.monotonic()
            self.deliver(ledger.grant(now))
            mine = self.granted.pop(agent, [])
            if mine or not wanting or now >= deadline:
                return mine
            ledger.refreshed_at[agent] = now
            pause = ledger.get_wait(now) or deadline - now
            self.changed.wait(min(pause, deadline - now))

    def deliver(self, permits: list[load_queue.Permit]) -> None:
        """Leave permits for their agents to pick up."""
        if not permits:
            return
        for permit in permits:
            self.granted.setdefault(permit.agent, []).append(permit.ref)
            self.counters.count(metrics.Counter.PERMITS)
        self.changed.notify_all()
