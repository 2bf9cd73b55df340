"""Filters that refuse a request before any target is chosen.

They check the entry's readiness, the requested model or service, the
quarantine and the limits on concurrent requests.
"""

import collections.abc
import threading
import time

from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry.filters import base
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.models import suspect_keys
from hemlockkeel._internal.policy import limits
from hemlockkeel._internal.utils import metrics

RETRY_AFTER_MS = 1000


class ReadinessFilter(base.Filter):
    """Refuses new requests while the entry has no lease or is leaving."""

    def __init__(self, follower: follower.Follower) -> None:
        self.follower = follower

    def handle(
        self, request: context.RequestContext, next_handler: base.Handler
    ) -> base.Result:
        state = self.follower.get_state()
        if state is follower.FollowerState.READY:
            return next_handler(request)
        if request.last_event_id is not None:
            # Resuming a stream starts no new work.
            return next_handler(request)
        return outcomes.refuse(
            outcomes.RefusalCode.NOT_READY,
            f"this entry is not accepting new requests ({state.value}); "
            "retry the request",
            RETRY_AFTER_MS,
        )


class ModelFilter(base.Filter):
    """Resolves a request's model or service in the current configuration."""

    def __init__(self, follower: follower.Follower) -> None:
        self.follower = follower

    def handle(
        self, request: context.RequestContext, next_handler: base.Handler
    ) -> base.Result:
        if request.kind is context.RequestKind.SERVICE:
            refusal = self.resolve_service(request)
        else:
            refusal = self.resolve_model(request)
        if refusal is not None:
            return refusal
        self.apply_caller_overrides(request)
        return next_handler(request)

    def resolve_service(
        self, request: context.RequestContext
    ) -> outcomes.Refused | None:
        """Apply the declared settings of a plain service.

        Returns a refusal when the service is not declared.
        """
        found = self.follower.catalog.get_service(request.service)
        if found is None:
            return outcomes.refuse(
                outcomes.RefusalCode.UNKNOWN_SERVICE,
                f"service '{request.service}' is not declared",
            )
        request.target_service = request.service
        request.rank = found.priority.rank
        request.idempotent = request.method in found.idempotent_methods
        return None

    def resolve_model(
        self, request: context.RequestContext
    ) -> outcomes.Refused | None:
        """Apply the declared settings of the model's deployment.

        Returns a refusal when no deployment serves the model or the request
        exceeds the deployment's token limit.
        """
        catalog = self.follower.catalog
        found = catalog.find_model(request.model)
        if found is None:
            found = catalog.find_base_model(request.model)
        if found is None:
            return outcomes.refuse(
                outcomes.RefusalCode.UNKNOWN_MODEL,
                f"no deployment serves '{request.model}'; specify an adapter "
                "and its version as name@version",
            )
        if request.max_tokens > found.spec.max_tokens:
            return outcomes.refuse(
                outcomes.RefusalCode.BAD_REQUEST,
                f"max_tokens is {request.max_tokens}; this deployment "
                f"allows {found.spec.max_tokens}",
            )
        request.deployment = found.deployment
        request.spec = found.spec
        request.ref = found.ref
        request.target_service = found.spec.service
        request.rank = found.spec.priority.rank
        request.idempotent = found.spec.idempotent
        return None

    def apply_caller_overrides(self, request: context.RequestContext) -> None:
        """Apply the caller's headers, which can only restrict the request.

        A caller may lower the priority or mark the request as not
        idempotent, so that it is never run twice.
        """
        if request.declared_non_idempotent or request.session:
            # Requests of a session run at most once, even if the deployment
            # is declared idempotent.
            request.idempotent = False
        if not request.requested_priority:
            return
        wanted = declarations.Priority(request.requested_priority).rank
        request.rank = max(request.rank, wanted)


class QuarantineFilter(base.Filter):
    """Refuses requests whose content or adapter crashed targets."""

    def __init__(
        self,
        follower: follower.Follower,
        counters: metrics.Metrics,
        get_wall_time: collections.abc.Callable[[], float] = time.time,
    ) -> None:
        self.follower = follower
        self.counters = counters
        self.get_wall_time = get_wall_time

    def handle(
        self, request: context.RequestContext, next_handler: base.Handler
    ) -> base.Result:
        catalog = self.follower.catalog
        keys = suspect_keys.list_keys(request.digest, str(request.ref or ""))
        wall = self.get_wall_time()
        if not any(catalog.is_quarantined(key, wall) for key in keys):
            return next_handler(request)
        self.counters.count(metrics.Counter.QUARANTINED)
        return refuse_quarantined()


def refuse_quarantined() -> outcomes.Refused:
    """Return the refusal of a quarantined request."""
    return outcomes.refuse(
        outcomes.RefusalCode.QUARANTINED,
        "this request or its adapter crashed several targets and is "
        "temporarily quarantined; change it, or ask an operator to release it",
    )


class LimitFilter(base.Filter):
    """Limits the number of concurrent requests, by priority and caller."""

    def __init__(self, capacity: int, counters: metrics.Metrics) -> None:
        self.limit = limits.AdmissionLimit(capacity)
        self.lock = threading.Lock()
        self.counters = counters

    def handle(
        self, request: context.RequestContext, next_handler: base.Handler
    ) -> base.Result:
        with self.lock:
            admission = self.limit.acquire(request.caller, request.rank)
        if isinstance(admission, outcomes.Refused):
            self.counters.count(metrics.Counter.SHED)
            return admission
        try:
            result = next_handler(request)
        except BaseException:
            self.release(admission)
            raise
        if isinstance(result, outcomes.Refused):
            self.release(admission)
            return result
        return self.release_at_end(admission, result)

    def release_at_end(
        self, admission: limits.Admission, events: context.Events
    ) -> context.Events:
        """Yield the events, and release the admission after the last one."""
        try:
            yield from events
        finally:
            self.release(admission)

    def release(self, admission: limits.Admission) -> None:
        """Release an admission, so that another request can be admitted."""
        with self.lock:
            self.limit.release(admission)

    def count_in_flight(self) -> int:
        """Return the number of requests in flight."""
        with self.lock:
            return self.limit.in_flight
