"""State that all requests of an entry share.

Holds the data for routing, the retry budget and the attempts that are due
to be cancelled.
"""

import collections
import threading
import time

from hemlockkeel._internal.entry import attempts
from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry import records
from hemlockkeel._internal.entry import target_links
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.policy import limits
from hemlockkeel._internal.policy import popularity
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.utils import metrics

CANCEL_DELAY_S = 5.0
SERVICE_TIME_SMOOTHING = 0.1
DEFAULT_SERVICE_TIME_S = 1.0
# Weights of a request for an adapter, by its priority rank.
POPULARITY_WEIGHTS = (8.0, 2.0, 1.0)


class ServiceTimes:
    """Moving average of the service time of each deployment, in seconds."""

    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.lock = threading.Lock()

    def add(self, name: str, seconds: float) -> None:
        """Add the service time of one request."""
        with self.lock:
            mean = self.means.get(name, seconds)
            self.means[name] = mean + SERVICE_TIME_SMOOTHING * (seconds - mean)

    def get(self, name: str) -> float:
        """Return the average; a default when no request has finished yet."""
        return self.means.get(name, DEFAULT_SERVICE_TIME_S)


class Dispatcher:
    """State shared by all request threads of an entry."""

    def __init__(
        self,
        follower: follower.Follower,
        targets: target_links.TargetLinks,
        recorder: records.Recorder,
        router: routing.Router,
        counters: metrics.Metrics,
    ) -> None:
        self.follower = follower
        self.target_links = targets
        self.recorder = recorder
        self.router = router
        self.counters = counters
        self.budget = limits.RetryBudget()
        self.popularity = popularity.Popularity()
        self.service_times = ServiceTimes()
        self.lock = threading.Lock()
        # Attempts whose caller disconnected, each with the monotonic time at
        # which it is cancelled, in order of that time.
        self.pending_cancels: collections.deque[
            tuple[float, attempts.Attempt]
        ] = collections.deque()

    def record_arrival(self, request: context.RequestContext) -> None:
        """Count a request for the retry budget and adapter popularity."""
        with self.lock:
            self.budget.deposit()
            if request.ref is not None:
                self.popularity.add(str(request.ref), time.monotonic())

    def choose_target(
        self,
        request: context.RequestContext,
        excluded: frozenset[str],
        preferred: str,
        engine_version: str | None,
    ) -> routing.TargetView | None:
        """Return the target for a request; None when none is available.

        ``preferred`` is the target of the request's session, if any. With an
        ``engine_version``, only engines of that software version count.
        """
        spec = request.spec
        base_model = spec.base_model if spec else ""
        name = str(request.ref) if request.ref else request.prefix_digest
        views = self.target_links.list_candidates(
            request.target_service, base_model, name, excluded, engine_version
        )
        return self.router.choose(
            routing.RouteRequest(
                ref=request.ref,
                data_centre=self.follower.description.data_centre,
                prefix=request.prefix_digest,
                service_s=self.service_times.get(request.deployment),
                load_s=self.get_load_time_s(),
                stall_weight=spec.stall_weight if spec else 1.0,
                batch_weight=spec.batch_weight if spec else 0.0,
                rank=request.rank,
                preferred_target=preferred,
            ),
            views,
        )

    def get_load_time_s(self) -> float:
        """Return the seconds between loads at the weight store's full rate."""
        site = self.follower.catalog.sites.get(self.follower.catalog.site)
        rate = site.weight_store_loads_per_second if site else 4.0
        return 1.0 / rate

    def spend_retry(self) -> bool:
        """Take one retry from the budget; return False when it is empty."""
        with self.lock:
            allowed = self.budget.try_spend()
        self.counters.count(
            metrics.Counter.RETRIES
            if allowed
            else metrics.Counter.RETRY_BUDGET_EMPTY
        )
        return allowed

    def get_popularity(self, request: context.RequestContext) -> float:
        """Return the value of a slot with the request's adapter.

        This is the adapter's request rate at this entry, weighted by
        priority and divided among the targets that have the adapter. The
        target adds up the values from all entries.
        """
        if request.ref is None:
            return 0.0
        name = str(request.ref)
        with self.lock:
            rate = self.popularity.get_rate(name, time.monotonic())
        holders = self.target_links.count_holders(name)
        return rate * POPULARITY_WEIGHTS[request.rank] / max(1, holders)

    def cancel_later(self, attempt: attempts.Attempt) -> None:
        """Cancel an attempt after a delay, in which its caller may resume.

        The agent ignores the cancellation if another stream reads the answer
        by then.
        """
        with self.lock:
            until = time.monotonic() + CANCEL_DELAY_S
            self.pending_cancels.append((until, attempt))

    def cancel_due(self, now: float) -> None:
        """Cancel the attempts whose delay has passed."""
        while True:
            with self.lock:
                if (
                    not self.pending_cancels
                    or self.pending_cancels[0][0] > now
                ):
                    return
                _, attempt = self.pending_cancels.popleft()
            attempt.link.cancel(attempt.stream)
