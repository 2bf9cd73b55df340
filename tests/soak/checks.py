"""Invariants that the recorded history of a run must satisfy.

The checks are pure functions. Time limits are checked only for requests
during which, and for `FAULT_FREE_MARGIN_S` before which, no fault affected
the entry or the control members.
"""

import collections
import collections.abc
import math

from tests.soak import history
from tests.soak import targets

# Time limits in line with the settings that the programs get, seconds.
FAULT_FREE_MARGIN_S = 3.0
CONFIGURATION_TIMEOUT_S = 2.0
DEPARTURE_TIMEOUT_S = 2.0
STOP_GRACE_S = 8.0
ROLLBACK_TOLERANCE_S = 0.25
# Targets that a request, or different ones with a part in common, may end
# before they must be refused, and executions that are allowed after that.
FATAL_EXECUTIONS = 3
FATAL_PART_EXECUTIONS = 5
LATE_FATAL_EXECUTIONS = 3
# Time in which an entry learns of a pause that a target asks for, and requests
# that it may send there until the end of it.
PAUSE_NOTICE_S = 0.5
MAX_PAUSE_REQUESTS = 2
# What a target that names a limit may get of the entries that it has told:
# a multiple of it in a window, and some more.
LIMIT_NOTICE_S = 0.5
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_EXTRA = 5
# Limits on retries, as in the settings of the processes.
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_RESERVE = 58.0
# Statuses that state that the request was not executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Share of the grace period of a graceful stop in which the entry must not
# interrupt requests.
PROTECTED_GRACE_RATIO = 5 / 6


def find_violations(recorded: history.History) -> list[str]:
    """Return a message for every violated invariant."""
    violations = list(recorded.violations)
    for rule in (
        check_responses,
        check_executions,
        check_fatal_requests,
        check_streams,
        check_configuration_applied,
        check_rollback,
        check_configuration_reads,
        check_departures,
        check_withdrawals,
        check_rate_limits,
        check_retries,
        check_graceful_stops,
    ):
        violations += [f"{rule.__name__}: {text}" for text in rule(recorded)]
    return violations


def is_fault_free(
    recorded: history.History,
    names: set[str],
    begun_at: float,
    ended_at: float,
) -> bool:
    """Return whether no fault affected any of the names in a time span."""
    return not any(
        period.name in names
        and period.begun_at <= ended_at
        and period.ended_at >= begun_at
        for period in recorded.fault_periods
    )


def do_time_limits_apply(
    recorded: history.History, request: history.SentRequest
) -> bool:
    """Return whether time limits are checked for a request."""
    names = {request.entry, ""}
    return is_fault_free(
        recorded,
        names,
        request.sent_at - FAULT_FREE_MARGIN_S,
        request.ended_at,
    )


def index_executions(
    recorded: history.History,
) -> dict[str, list[history.Execution]]:
    """Return the executions of each request by its id."""
    found = collections.defaultdict(list)
    for execution in recorded.executions:
        found[execution.request_id].append(execution)
    return found


def check_responses(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Check that a success is the complete response to that very request."""
    for request in recorded.requests:
        if not request.complete or not 200 <= request.status < 300:
            continue
        if not request.has_seal:
            yield f"{request.request_id}: success without X-Response-Seal"
        if request.kind in ("stream", "resumable"):
            continue
        if request.body != targets.make_response_body(
            request.request_id, request.path
        ):
            body = request.body[:60]
            yield f"{request.request_id}: unexpected body {body!r}"


def check_executions(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Check that executions match what callers sent and were told.

    A request that is not safe to repeat runs at most once, and not at all if
    it was refused as not executed.
    """
    executions_by_id = index_executions(recorded)
    requests = {each.request_id: each for each in recorded.requests}
    for request_id, executions in executions_by_id.items():
        request = requests.get(request_id)
        if request is None:
            yield f"{request_id}: executed, but no caller sent it"
            continue
        paths = [execution.path for execution in executions]
        if any(path != request.path for path in paths):
            yield f"{request_id}: executed with paths {paths}"
        adapters = [execution.adapter for execution in executions]
        if any(adapter != request.adapter for adapter in adapters):
            yield f"{request_id}: executed with adapters {adapters}"
        if request.kind in ("safe", "resumable"):
            continue
        if len(executions) > 1:
            yield f"{request_id}: executed {len(executions)} times"
        if request.complete and request.status in NOT_RUN_STATUSES:
            yield f"{request_id}: executed in spite of status {request.status}"


def check_fatal_requests(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Check that requests that end targets are not sent on for ever."""
    requests = {each.request_id: each for each in recorded.requests}
    limits = dict.fromkeys(targets.FATAL_PATHS, FATAL_EXECUTIONS)
    limits[targets.FATAL_PART_PREFIX] = FATAL_PART_EXECUTIONS
    for prefix, limit in limits.items():
        runs = sorted(
            (e for e in recorded.executions if e.path.startswith(prefix)),
            key=lambda execution: execution.started_at,
        )
        if len(runs) <= limit:
            continue
        known_at = runs[limit - 1].started_at + FAULT_FREE_MARGIN_S
        late = [
            each
            for each in runs
            if each.started_at > known_at
            and each.request_id in requests
            and do_time_limits_apply(recorded, requests[each.request_id])
        ]
        if len(late) > LATE_FATAL_EXECUTIONS:
            yield f"{prefix}: {len(runs)} executions, {len(late)} of them late"


def check_streams(recorded: history.History) -> collections.abc.Iterator[str]:
    """Check that events arrive in order, once each, and all before the end."""
    for request in recorded.requests:
        if request.kind != "stream":
            continue
        count = len(request.event_ids)
        if request.event_ids != list(range(1, count + 1)):
            yield f"{request.request_id}: event ids {request.event_ids}"
        complete = request.complete and request.status == 200
        if complete and count != targets.STREAM_EVENT_COUNT:
            yield f"{request.request_id}: complete with {count} events"


def check_configuration_applied(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Check that an acknowledged configuration is applied in time."""
    executions_by_id = index_executions(recorded)
    for request in recorded.requests:
        if not request.path.startswith("/moved/") or not do_time_limits_apply(
            recorded, request
        ):
            continue
        allowed = list_allowed_services(recorded, request)
        for execution in executions_by_id.get(request.request_id, []):
            if execution.service not in allowed:
                yield (
                    f"{request.request_id}: sent at {request.sent_at:.2f},"
                    f" executed by {execution.service},"
                    f" allowed {sorted(allowed)}"
                )
        if request.complete and request.status == 404:
            yield f"{request.request_id}: 404 on a route of every version"


def list_allowed_services(
    recorded: history.History, request: history.SentRequest
) -> set[str]:
    """Return the services that may execute a request to ``/moved/``."""
    oldest = max(
        (
            configured.version
            for configured in recorded.configuration_changes
            if configured.acknowledged_at is not None
            and configured.acknowledged_at + CONFIGURATION_TIMEOUT_S
            < request.sent_at
        ),
        default=0,
    )
    return {
        configured.service
        for configured in recorded.configuration_changes
        if configured.version >= oldest
        and configured.sent_at <= request.ended_at
    }


def check_rollback(recorded: history.History) -> collections.abc.Iterator[str]:
    """Check that an entry process never reverts to an older configuration."""
    executions_by_id = index_executions(recorded)
    uses = collections.defaultdict(list)
    for request in recorded.requests:
        version = get_route_version(request.path)
        for execution in executions_by_id.get(request.request_id, []):
            if version is not None:
                start = (request.entry, request.incarnation)
                uses[start].append((version, request, execution))
    for found in uses.values():
        for version, request, _ in found:
            newer = [
                other
                for other, _, execution in found
                if other > version
                and execution.started_at + ROLLBACK_TOLERANCE_S
                < request.sent_at
            ]
            if newer:
                yield (
                    f"{request.request_id}: route of version {version}"
                    f" executed after version {max(newer)} was applied"
                )


def get_route_version(path: str) -> int | None:
    """Return the version that a route is specific to; None if it is not."""
    if not path.startswith("/only-"):
        return None
    return int(path.removeprefix("/only-").partition("/")[0])


def check_configuration_reads(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Check that reads return an acknowledged configuration or a newer one."""
    for read in recorded.configuration_reads:
        for configured in recorded.configuration_changes:
            acknowledged_at = configured.acknowledged_at
            if acknowledged_at is None or configured.version <= read.version:
                continue
            if acknowledged_at + CONFIGURATION_TIMEOUT_S < read.sent_at:
                yield (
                    f"read at {read.sent_at:.2f} returned version"
                    f" {read.version} although version {configured.version}"
                    f" was acknowledged"
                )


def check_departures(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Check that a departed target gets no new requests after the limit."""
    requests = {each.request_id: each for each in recorded.requests}
    departed_at = {
        each.target: each.acknowledged_at for each in recorded.departures
    }
    for execution in recorded.executions:
        acknowledged_at = departed_at.get(execution.target)
        request = requests.get(execution.request_id)
        if acknowledged_at is None or request is None:
            continue
        if execution.started_at <= acknowledged_at + DEPARTURE_TIMEOUT_S:
            continue
        names = {request.entry, ""}
        if is_fault_free(
            recorded,
            names,
            acknowledged_at - FAULT_FREE_MARGIN_S,
            execution.started_at,
        ):
            after_s = execution.started_at - acknowledged_at
            yield (
                f"{execution.request_id}: sent to {execution.target}"
                f" {after_s:.2f} s after its departure"
            )


def check_withdrawals(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Check that entries obey responses that say that a target withdraws.

    A target that leaves gets nothing after the limit, one that asked for a
    pause at most a few requests after the first half second.
    """
    requests = {each.request_id: each for each in recorded.requests}
    arrivals = collections.defaultdict(list)
    for arrival in recorded.arrivals:
        if arrival.request_id in requests:
            entry = requests[arrival.request_id].entry
            arrivals[arrival.target, entry].append(arrival)
    for each in recorded.withdrawals:
        if each.request_id not in requests:
            continue
        entry = requests[each.request_id].entry
        leaving = each.ends_at == math.inf
        begun_at = each.at + (
            DEPARTURE_TIMEOUT_S if leaving else PAUSE_NOTICE_S
        )
        late = [
            arrival
            for arrival in arrivals[each.target, entry]
            if begun_at < arrival.at < each.ends_at
            and is_fault_free(
                recorded,
                {entry, each.target.rpartition("-")[0]},
                each.at - FAULT_FREE_MARGIN_S,
                arrival.at,
            )
        ]
        if len(late) > (0 if leaving else MAX_PAUSE_REQUESTS):
            yield (
                f"{each.target}: {len(late)} requests of {entry} after"
                f" {each.request_id} was told {each.ends_at - each.at:.2f} s"
            )


def check_rate_limits(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Check the requests at targets while they name a limit.

    Of a limit that changes, the highest in a window counts.
    """
    requests = {each.request_id: each for each in recorded.requests}
    arrivals = collections.defaultdict(list)
    for arrival in recorded.arrivals:
        arrivals[arrival.target].append(arrival)
    by_target = collections.defaultdict(list)
    for named in recorded.limits:
        by_target[named.target].append(named)
    for target, found in by_target.items():
        for span in list_limited_spans(found):
            told_at: dict[str, float] = {}
            for named in span:
                if named.request_id in requests:
                    entry = requests[named.request_id].entry
                    told_at.setdefault(entry, named.at)
            begun_at = span[0].at + FAULT_FREE_MARGIN_S
            counted = [
                arrival.at
                for arrival in arrivals[target]
                if arrival.request_id in requests
                and begun_at < arrival.at < span[-1].at
                and is_told(recorded, requests, arrival, told_at)
            ]
            yield from find_excess(target, counted, span)


def list_limited_spans(
    found: list[history.NamedLimit],
) -> list[list[history.NamedLimit]]:
    """Return the runs of responses that all name a limit."""
    spans: list[list[history.NamedLimit]] = [[]]
    for named in found:
        if named.limit is None:
            spans.append([])
        else:
            spans[-1].append(named)
    return [span for span in spans if span]


def is_told(
    recorded: history.History,
    requests: dict[str, history.SentRequest],
    arrival: history.Arrival,
    told_at: dict[str, float],
) -> bool:
    """Return whether an entry without a fault had been told the limit."""
    entry = requests[arrival.request_id].entry
    at = told_at.get(entry, math.inf)
    if arrival.at < at + LIMIT_NOTICE_S:
        return False
    names = {entry, "", arrival.target.rpartition("-")[0]}
    return is_fault_free(recorded, names, at - FAULT_FREE_MARGIN_S, arrival.at)


def find_excess(
    target: str, counted: list[float], span: list[history.NamedLimit]
) -> collections.abc.Iterator[str]:
    """Yield a message if some window has more requests than allowed."""
    for begin in counted:
        end = begin + LIMIT_WINDOW_S
        limits = [
            each.limit or 0.0
            for each in span
            if begin - FAULT_FREE_MARGIN_S <= each.at <= end
        ]
        count = sum(begin <= at <= end for at in counted)
        limit = max(limits, default=0.0)
        if count > LIMIT_RATIO * limit * LIMIT_WINDOW_S + LIMIT_EXTRA:
            yield f"{target}: {count} requests in a window, limit {limit}"
            return


def check_retries(recorded: history.History) -> collections.abc.Iterator[str]:
    """Check the arrivals beyond the first of each request in any window."""
    seen = set()
    repeats = collections.defaultdict(list)
    firsts = collections.defaultdict(list)
    for arrival in sorted(recorded.arrivals, key=lambda each: each.at):
        service = arrival.target[:1]
        times = repeats if arrival.request_id in seen else firsts
        times[service].append(arrival.at)
        seen.add(arrival.request_id)
    for service, times in repeats.items():
        for end in times:
            begin = end - RETRY_WINDOW_S
            count = sum(begin < at <= end for at in times)
            sent = max(
                sum(
                    begin - shift < at <= end - shift for at in firsts[service]
                )
                for shift in (0.0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if count > RETRY_RATIO * sent + RETRY_RESERVE:
                yield f"{service}: {count} retries of {sent} requests"
                break


def check_graceful_stops(
    recorded: history.History,
) -> collections.abc.Iterator[str]:
    """Check that a stopping entry does not interrupt requests.

    Requests of targets that failed, or that a second fault affected, and
    those at the end of the grace period are not checked.
    """
    executions_by_id = index_executions(recorded)
    stops = [each for each in recorded.fault_periods if each.kind == "term"]
    for request in recorded.requests:
        executions = executions_by_id.get(request.request_id, [])
        if (
            request.complete
            or not executions
            or any(execution.failed for execution in executions)
        ):
            continue
        for stop in stops:
            ended_late = (
                request.ended_at - stop.begun_at
                > STOP_GRACE_S * PROTECTED_GRACE_RATIO
            )
            if stop.name != request.entry or ended_late:
                continue
            if (
                not stop.begun_at - FAULT_FREE_MARGIN_S
                < request.sent_at
                < request.ended_at
            ):
                continue
            if request.ended_at < stop.begun_at:
                continue
            others = [
                each for each in recorded.fault_periods if each is not stop
            ]
            undisturbed = is_fault_free(
                history.History(fault_periods=others),
                {
                    request.entry,
                    *(execution.target for execution in executions),
                },
                request.sent_at - FAULT_FREE_MARGIN_S,
                request.ended_at,
            )
            if undisturbed and request.ended_at < recorded.ended_at:
                after_s = request.ended_at - stop.begun_at
                yield (
                    f"{request.request_id}: interrupted"
                    f" {after_s:.2f} s after SIGTERM"
                )
