"""Filters that refuse early: readiness, models, quarantine, limits."""

import collections.abc
import threading
import time

from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry.filters import base
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.policy import limits
from hemlockkeel._internal.utils import metrics

RETRY_AFTER_MS = 1000


class ReadinessFilter(base.Filter):
    """Refuses new requests without a lease or while leaving."""

    def __init__(self, follower: follower.Follower) -> None:
        self.follower = follower

    def handle(
        self, request: context.RequestContext, next_handler: base.Handler
    ) -> base.Result:
        state = self.follower.get_state()
        if state is follower.FollowerState.READY:
            return next_handler(request)
        if request.last_event_id is not None:
            # Reading on is not new work.
            return next_handler(request)
        return outcomes.refuse(
            outcomes.RefusalCode.NOT_READY,
            f"this entry takes no new requests now ({state.value}); send "
            "the request again",
            RETRY_AFTER_MS,
        )


class ModelFilter(base.Filter):
    """Finds the deployment or service in force for a request."""

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
        """Fill in what a plain service declares."""
        found = self.follower.catalog.get_service(request.service)
        if found is None:
            return outcomes.refuse(
                outcomes.RefusalCode.UNKNOWN_SERVICE,
                f"no service '{request.service}' is declared here",
            )
        request.target_service = request.service
        request.rank = found.priority.rank
        request.idempotent = request.method in found.idempotent_methods
        return None

    def resolve_model(
        self, request: context.RequestContext
    ) -> outcomes.Refused | None:
        """Fill in what a deployment declares."""
        catalog = self.follower.catalog
        found = catalog.find_model(request.model)
        if found is None:
            found = catalog.find_base_model(request.model)
        if found is None:
            return outcomes.refuse(
                outcomes.RefusalCode.UNKNOWN_MODEL,
                f"no deployment serves '{request.model}'; name an adapter "
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
        """Let a caller lower its priority or forbid running twice."""
        if request.declared_non_idempotent or request.session:
            # A session's steps run exactly once, whatever is declared.
            request.idempotent = False
        if not request.requested_priority:
            return
        wanted = declarations.Priority(request.requested_priority).rank
        request.rank = max(request.rank, wanted)


class QuarantineFilter(base.Filter):
    """Refuses requests whose content crashed several targets."""

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
        if not catalog.is_quarantined(request.digest, self.get_wall_time()):
            return next_handler(request)
        self.counters.count(metrics.Counter.QUARANTINED)
        return refuse_quarantined()


def refuse_quarantined() -> outcomes.Refused:
    """Return the refusal of a quarantined request."""
    return outcomes.refuse(
        outcomes.RefusalCode.QUARANTINED,
        "this request crashed several targets and is refused for a while; "
        "change it, or ask the operators to release it",
    )


class LimitFilter(base.Filter):
    """Holds a admission for a request while it is in flight."""

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
        """Pass events on and give the admission back at their end."""
        try:
            yield from events
        finally:
            self.release(admission)

    def release(self, admission: limits.Admission) -> None:
        """Give a admission back."""
        with self.lock:
            self.limit.release(admission)

    def count_in_flight(self) -> int:
        """Return the requests in flight."""
        with self.lock:
            return self.limit.in_flight
