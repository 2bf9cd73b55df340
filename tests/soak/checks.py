"""Promises that a history must keep; pure.

Bounds with a time hold for entries that were left alone for `CONTACT_S`
before and during the request, while the control members were.
"""

import collections
import collections.abc

from tests.soak import history
from tests.soak import targets

# From the settings that the programs get.
FAULT_FREE_MARGIN_S = 3.0
CONFIGURATION_TIMEOUT_S = 2.0
DEPARTURE_TIMEOUT_S = 2.0
STOP_GRACE_S = 8.0
ROLLBACK_TOLERANCE_S = 0.25
# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Work that began this long before a graceful stop's end may be cut.
GRACE_FOR_REQUESTS_RATIO = 5 / 6


def find_violations(recorded: history.History) -> list[str]:
    """Return every broken promise."""
    faults = list(recorded.violations)
    for rule in (
        check_responses,
        check_executions,
        check_streams,
        check_configuration_applied,
        check_rollback,
        check_configuration_reads,
        check_departures,
        check_graceful_stops,
    ):
        faults += [f"{rule.__name__}: {fault}" for fault in rule(recorded)]
    return faults


def is_fault_free(
    recorded: history.History, names: set[str], begun: float, ended: float
) -> bool:
    """Tell whether no fault touched any of the names in a span."""
    return not any(
        disturbance.name in names
        and disturbance.begun_at <= ended
        and disturbance.ended_at >= begun
        for disturbance in recorded.fault_periods
    )


def do_time_limits_apply(
    recorded: history.History, sent: history.SentRequest
) -> bool:
    """Tell whether bounds hold for a request."""
    names = {sent.entry, ""}
    return is_fault_free(
        recorded, names, sent.sent_at - FAULT_FREE_MARGIN_S, sent.ended_at
    )


def index_executions(
    recorded: history.History,
) -> dict[str, list[history.Execution]]:
    """Return runs by request id."""
    runs = collections.defaultdict(list)
    for ran in recorded.executions:
        runs[ran.request_id].append(ran)
    return runs


def check_responses(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Each caller gets the whole answer to its own request, or none."""
    for sent in recorded.requests:
        if not sent.complete or not 200 <= sent.status < 300:
            continue
        if not sent.has_seal:
            yield f"{sent.request_id}: success without a seal"
        if sent.kind == "stream":
            continue
        if sent.body != targets.make_response_body(sent.request_id, sent.path):
            yield f"{sent.request_id}: body {sent.body[:60]!r}"


def check_executions(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """What may not repeat runs once; what was refused has not run."""
    runs = index_executions(recorded)
    by_id = {sent.request_id: sent for sent in recorded.requests}
    for request_id, ran in runs.items():
        sent = by_id.get(request_id)
        if sent is None:
            yield f"{request_id}: no caller sent it"
            continue
        if any(run.path != sent.path for run in ran):
            yield f"{request_id}: ran as {[run.path for run in ran]}"
        if any(run.adapter != sent.adapter for run in ran):
            yield f"{request_id}: ran on {[run.adapter for run in ran]}"
        if sent.kind == "safe":
            continue
        if len(ran) > 1:
            yield f"{request_id}: ran {len(ran)} times"
        if sent.complete and sent.status in NOT_RUN_STATUSES:
            yield f"{request_id}: answered {sent.status}, but it ran"


def check_streams(recorded: history.History) -> collections.abc.Iterator[str]:
    """Events come in order, once each, and an end means all of them."""
    for sent in recorded.requests:
        if sent.kind != "stream":
            continue
        count = len(sent.event_ids)
        if sent.event_ids != list(range(1, count + 1)):
            yield f"{sent.request_id}: events {sent.event_ids}"
        whole = sent.complete and sent.status == 200
        if whole and count != targets.STREAM_EVENT_COUNT:
            yield f"{sent.request_id}: complete with {count} events"


def check_configuration_applied(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """An acknowledged configuration is in force within its bound."""
    runs = index_executions(recorded)
    for sent in recorded.requests:
        if not sent.path.startswith("/moved/") or not do_time_limits_apply(
            recorded, sent
        ):
            continue
        allowed = list_allowed_services(recorded, sent)
        for run in runs.get(sent.request_id, []):
            if run.service not in allowed:
                yield (
                    f"{sent.request_id}: sent at {sent.sent_at:.2f}, ran at"
                    f" {run.service}, allowed {sorted(allowed)}"
                )
        if sent.complete and sent.status == 404:
            yield f"{sent.request_id}: 404 on a route of every version"


def list_allowed_services(
    recorded: history.History, sent: history.SentRequest
) -> set[str]:
    """Return the services that may run a request on the moved route."""
    oldest = max(
        (
            configured.version
            for configured in recorded.configuration_changes
            if configured.acknowledged_at is not None
            and configured.acknowledged_at + CONFIGURATION_TIMEOUT_S
            < sent.sent_at
        ),
        default=0,
    )
    return {
        configured.service
        for configured in recorded.configuration_changes
        if configured.version >= oldest and configured.sent_at <= sent.ended_at
    }


def check_rollback(recorded: history.History) -> collections.abc.Iterator[str]:
    """A start of an entry never goes back to an older configuration."""
    runs = index_executions(recorded)
    effects = collections.defaultdict(list)
    for sent in recorded.requests:
        version = get_route_version(sent.path)
        for run in runs.get(sent.request_id, []):
            if version is not None:
                start = (sent.entry, sent.incarnation)
                effects[start].append((version, sent, run))
    for found in effects.values():
        for version, sent, _ in found:
            newer = [
                other
                for other, _, run in found
                if other > version
                and run.started_at + ROLLBACK_TOLERANCE_S < sent.sent_at
            ]
            if newer:
                yield (
                    f"{sent.request_id}: route of version {version} after"
                    f" {max(newer)} was in force"
                )


def get_route_version(path: str) -> int | None:
    """Return the only version that has a route, None if many have."""
    if not path.startswith("/only-"):
        return None
    return int(path.removeprefix("/only-").partition("/")[0])


def check_configuration_reads(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """A read returns no older configuration than an acknowledged one."""
    for read in recorded.configuration_reads:
        for configured in recorded.configuration_changes:
            acknowledged_at = configured.acknowledged_at
            if acknowledged_at is None or configured.version <= read.version:
                continue
            if acknowledged_at + CONFIGURATION_TIMEOUT_S < read.sent_at:
                yield (
                    f"read at {read.sent_at:.2f} gave {read.version},"
                    f" {configured.version} was acknowledged"
                )


def check_departures(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """A target that leaves gets no new work after its bound."""
    by_id = {sent.request_id: sent for sent in recorded.requests}
    left = {each.target: each.acknowledged_at for each in recorded.departures}
    for run in recorded.executions:
        acknowledged_at = left.get(run.target)
        sent = by_id.get(run.request_id)
        if acknowledged_at is None or sent is None:
            continue
        if run.started_at <= acknowledged_at + DEPARTURE_TIMEOUT_S:
            continue
        names = {sent.entry, ""}
        if is_fault_free(
            recorded,
            names,
            acknowledged_at - FAULT_FREE_MARGIN_S,
            run.started_at,
        ):
            yield (
                f"{run.request_id}: reached {run.target}"
                f" {run.started_at - acknowledged_at:.2f} s after it left"
            )


def check_graceful_stops(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """A graceful stop cuts nothing off that a sound target ran."""
    runs = index_executions(recorded)
    stops = [each for each in recorded.fault_periods if each.kind == "term"]
    for sent in recorded.requests:
        ran = runs.get(sent.request_id, [])
        if sent.complete or not ran or any(run.failed for run in ran):
            continue
        for stop in stops:
            cut_late = (
                sent.ended_at - stop.begun_at
                > STOP_GRACE_S * GRACE_FOR_REQUESTS_RATIO
            )
            if stop.name != sent.entry or cut_late:
                continue
            if (
                not stop.begun_at - FAULT_FREE_MARGIN_S
                < sent.sent_at
                < sent.ended_at
            ):
                continue
            if sent.ended_at < stop.begun_at:
                continue
            others = [
                each for each in recorded.fault_periods if each is not stop
            ]
            calm = is_fault_free(
                history.History(fault_periods=others),
                {sent.entry, *(run.target for run in ran)},
                sent.sent_at - FAULT_FREE_MARGIN_S,
                sent.ended_at,
            )
            if calm and sent.ended_at < recorded.ended_at:
                after_s = sent.ended_at - stop.begun_at
                yield f"{sent.request_id}: cut {after_s:.2f} s into a stop"
