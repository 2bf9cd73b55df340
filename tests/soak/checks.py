"""Promises that a history must keep; pure.

Bounds with a time hold for entries that were left alone for `CONTACT_S`
before and during the request, while the control members were.
"""

import collections
import collections.abc

from tests.soak import history
from tests.soak import targets

# From the settings that the programs get.
CONTACT_S = 3.0
APPLY_S = 2.0
DRAIN_S = 2.0
GRACE_S = 8.0
ROLLBACK_S = 0.25
# Statuses that promise that a request has not run.
PROMISES = frozenset({408, 421, 429, 503})
# Work that began this long before a graceful stop's end may be cut.
STOP_SHARE = 5 / 6


def check(seen: history.History) -> list[str]:
    """Return every broken promise."""
    faults = list(seen.engine_faults)
    for rule in (
        check_answers,
        check_runs,
        check_streams,
        check_configuration,
        check_rollback,
        check_reads,
        check_leaving,
        check_stops,
    ):
        faults += [f"{rule.__name__}: {fault}" for fault in rule(seen)]
    return faults


def is_calm(
    seen: history.History, names: set[str], begun: float, ended: float
) -> bool:
    """Tell whether no fault touched any of the names in a span."""
    return not any(
        disturbance.name in names
        and disturbance.begun_at <= ended
        and disturbance.ended_at >= begun
        for disturbance in seen.disturbances
    )


def is_in_touch(seen: history.History, sent: history.Sent) -> bool:
    """Tell whether bounds hold for a request."""
    names = {sent.entry, ""}
    return is_calm(seen, names, sent.sent_at - CONTACT_S, sent.ended_at)


def index_runs(
    seen: history.History,
) -> dict[str, list[history.Ran]]:
    """Return runs by request id."""
    runs = collections.defaultdict(list)
    for ran in seen.ran:
        runs[ran.request_id].append(ran)
    return runs


def check_answers(seen: history.History) -> collections.abc.Iterator[str]:
    """Each caller gets the whole answer to its own request, or none."""
    for sent in seen.sent:
        if not sent.complete or not 200 <= sent.status < 300:
            continue
        if not sent.sealed:
            yield f"{sent.request_id}: success without a seal"
        if sent.kind == "stream":
            continue
        if sent.body != targets.make_body(sent.request_id, sent.path):
            yield f"{sent.request_id}: body {sent.body[:60]!r}"


def check_runs(seen: history.History) -> collections.abc.Iterator[str]:
    """What may not repeat runs once; what was refused has not run."""
    runs = index_runs(seen)
    by_id = {sent.request_id: sent for sent in seen.sent}
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
        if sent.complete and sent.status in PROMISES:
            yield f"{request_id}: answered {sent.status}, but it ran"


def check_streams(seen: history.History) -> collections.abc.Iterator[str]:
    """Events come in order, once each, and an end means all of them."""
    for sent in seen.sent:
        if sent.kind != "stream":
            continue
        count = len(sent.events)
        if sent.events != list(range(1, count + 1)):
            yield f"{sent.request_id}: events {sent.events}"
        whole = sent.complete and sent.status == 200
        if whole and count != targets.STREAM_EVENTS:
            yield f"{sent.request_id}: complete with {count} events"


def check_configuration(
    seen: history.History,
) -> collections.abc.Iterator[str]:
    """An acknowledged configuration is in force within its bound."""
    runs = index_runs(seen)
    for sent in seen.sent:
        if not sent.path.startswith("/moved/") or not is_in_touch(seen, sent):
            continue
        allowed = list_services(seen, sent)
        for run in runs.get(sent.request_id, []):
            if run.service not in allowed:
                yield (
                    f"{sent.request_id}: sent at {sent.sent_at:.2f}, ran at"
                    f" {run.service}, allowed {sorted(allowed)}"
                )
        if sent.complete and sent.status == 404:
            yield f"{sent.request_id}: 404 on a route of every version"


def list_services(seen: history.History, sent: history.Sent) -> set[str]:
    """Return the services that may run a request on the moved route."""
    oldest = max(
        (
            configured.version
            for configured in seen.configured
            if configured.acknowledged_at is not None
            and configured.acknowledged_at + APPLY_S < sent.sent_at
        ),
        default=0,
    )
    return {
        configured.service
        for configured in seen.configured
        if configured.version >= oldest and configured.sent_at <= sent.ended_at
    }


def check_rollback(seen: history.History) -> collections.abc.Iterator[str]:
    """A start of an entry never goes back to an older configuration."""
    runs = index_runs(seen)
    effects = collections.defaultdict(list)
    for sent in seen.sent:
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
                if other > version and run.at + ROLLBACK_S < sent.sent_at
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


def check_reads(seen: history.History) -> collections.abc.Iterator[str]:
    """A read returns no older configuration than an acknowledged one."""
    for read in seen.read_back:
        for configured in seen.configured:
            acknowledged_at = configured.acknowledged_at
            if acknowledged_at is None or configured.version <= read.version:
                continue
            if acknowledged_at + APPLY_S < read.sent_at:
                yield (
                    f"read at {read.sent_at:.2f} gave {read.version},"
                    f" {configured.version} was acknowledged"
                )


def check_leaving(seen: history.History) -> collections.abc.Iterator[str]:
    """A target that leaves gets no new work after its bound."""
    by_id = {sent.request_id: sent for sent in seen.sent}
    left = {each.target: each.acknowledged_at for each in seen.left}
    for run in seen.ran:
        acknowledged_at = left.get(run.target)
        sent = by_id.get(run.request_id)
        if acknowledged_at is None or sent is None:
            continue
        if run.at <= acknowledged_at + DRAIN_S:
            continue
        names = {sent.entry, ""}
        if is_calm(seen, names, acknowledged_at - CONTACT_S, run.at):
            yield (
                f"{run.request_id}: reached {run.target}"
                f" {run.at - acknowledged_at:.2f} s after it left"
            )


def check_stops(seen: history.History) -> collections.abc.Iterator[str]:
    """A graceful stop cuts nothing off that a sound target ran."""
    runs = index_runs(seen)
    stops = [each for each in seen.disturbances if each.kind == "term"]
    for sent in seen.sent:
        ran = runs.get(sent.request_id, [])
        if sent.complete or not ran or any(run.broken for run in ran):
            continue
        for stop in stops:
            cut_late = sent.ended_at - stop.begun_at > GRACE_S * STOP_SHARE
            if stop.name != sent.entry or cut_late:
                continue
            if not stop.begun_at - CONTACT_S < sent.sent_at < sent.ended_at:
                continue
            if sent.ended_at < stop.begun_at:
                continue
            others = [each for each in seen.disturbances if each is not stop]
            calm = is_calm(
                history.History(disturbances=others),
                {sent.entry, *(run.target for run in ran)},
                sent.sent_at - CONTACT_S,
                sent.ended_at,
            )
            if calm and sent.ended_at < seen.ends_at:
                after_s = sent.ended_at - stop.begun_at
                yield f"{sent.request_id}: cut {after_s:.2f} s into a stop"
