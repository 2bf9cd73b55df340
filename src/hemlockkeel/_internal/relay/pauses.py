"""Measures the pauses between the events of a stream."""

from hemlockkeel._internal.relay import request_context
from hemlockkeel._internal.relay import target as target_module


def start_waiting(context: request_context.RequestContext) -> None:
    """Note that the caller has every event that has arrived.

    The time in which a caller does not read is not a pause of the target.
    """
    context.waiting_since = context.now


def record_event(
    context: request_context.RequestContext,
    target: target_module.Target,
    event_count: int,
) -> None:
    """Record that events have arrived, ``event_count`` in all.

    The first pause beyond the route's objective is logged with what was known
    of the target.
    """
    since = context.waiting_since
    if since is None:
        return
    now = context.now
    pause_s = now - since
    context.longest_pause_s = max(context.longest_pause_s or 0.0, pause_s)
    route = context.route
    if route is None or route.gap_slo_s is None or pause_s <= route.gap_slo_s:
        return
    context.late_pauses += 1
    context.shared.instruments.late_pauses.labels(route.name).inc()
    if context.late_pauses > 1:
        return
    engine = target.engine
    context.log_event(
        "stream_paused",
        target=target.record.instance_id,
        pause=round(pause_s, 4),
        after=event_count,
        running=target.running,
        waiting=target.waiting,
        prefill_backlog=round(target.get_prefill_backlog(now)),
        own_prefill=target.in_flight_prefill_tokens,
        loading=len(engine.loading) if engine is not None else 0,
        kv_used=engine.kv_used if engine is not None else 0,
    )
