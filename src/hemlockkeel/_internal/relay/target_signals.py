"""What a response says about whether its target wants more requests."""

import http
import time

from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import rate_limits
from hemlockkeel._internal.relay import request_context
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.utils import retry_after


def record_signals(
    context: request_context.RequestContext,
    target: target_module.Target,
    response: exchange.ResponseHead,
    sent_at: float,
) -> None:
    """Record whether the target still wants requests, and how many.

    ``sent_at`` is when the request was sent, loop time in seconds.
    """
    wall_s = time.time()
    if response.metadata.leaving and target.mark_leaving(wall_s):
        log_signal(context, target, "target_leaving", status=response.status)
    context.shared.rate_limits.record_response(
        target, response, sent_at, wall_s
    )
    if response.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        requested = retry_after.read(response.headers, wall_s)
        hold_target(context, target, requested, wall_s)


def hold_target(
    context: request_context.RequestContext,
    target: target_module.Target,
    requested: retry_after.RetryAfter,
    wall_s: float,
) -> None:
    """Send the target nothing for as long as its refusal asks for."""
    for value in requested.invalid:
        context.log_event(
            "retry_after_invalid",
            target=target.record.instance_id,
            value=value[: rate_limits.MAX_LOGGED_VALUE],
        )
    if requested.delay_s is None:
        return
    now = context.now
    if target.availability.hold(now + requested.delay_s, now, wall_s):
        seconds = round(requested.delay_s, 3)
        log_signal(context, target, "target_held", seconds=seconds)


def log_signal(
    context: request_context.RequestContext,
    target: target_module.Target,
    event: str,
    **fields: object,
) -> None:
    """Count and log that a target wants fewer requests."""
    context.shared.instruments.events.labels(event).inc()
    context.log_event(
        event,
        target=target.record.instance_id,
        born_ms=target.record.started_at_ms,
        **fields,
    )
