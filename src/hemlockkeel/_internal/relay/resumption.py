"""Decides where a stream goes on that a caller resumes.

The decisions have no side effects.
"""

import collections.abc
import dataclasses

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.discovery import stream_origins
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.routes import table

# Time for which a stream may be resumed, as a multiple of its route's timeout.
# An attempt ends at the timeout, and callers that do not tell how long they
# wait do not wait much longer in all.
LIFETIME_TIMEOUTS = 2.0
MAX_LIFETIME_S = 120.0


@dataclasses.dataclass(frozen=True)
class Lookup:
    """What the entry and the control members know of a stream."""

    # None if it is not known.
    origin: stream_origins.StreamOrigin | None
    # Whether enough members have answered to conclude that nobody knows it.
    conclusive: bool
    # Whether its origin will be known soon.
    pending: bool = False


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The stream cannot go on."""

    cause: results.Cause
    reason: str


def get_lifetime_s(
    route: table.Route, caller_timeout_s: float | None = None
) -> float:
    """Return for how long a caller may resume a stream of a route.

    ``caller_timeout_s`` is how long the caller waits, if it has told that.
    """
    lifetime_s = LIFETIME_TIMEOUTS * route.timeout_s
    return max(lifetime_s, min(caller_timeout_s or 0.0, MAX_LIFETIME_S))


def list_services(route: table.Route) -> list[records.ServiceName]:
    """Return the services that a route's requests may go to."""
    return [share.service for share in route.shares if share.weight > 0]


def choose_origin(
    services: collections.abc.Sequence[records.ServiceName],
    lookup: Lookup,
) -> stream_origins.StreamOrigin | Refusal:
    """Return what may write the rest of a stream.

    ``services`` are those of its route. The versions that serve now tell
    nothing about a stream whose beginning nobody knows.
    """
    if lookup.origin is not None:
        if lookup.origin.service in services:
            return lookup.origin
        return Refusal(
            results.Cause.ORIGIN_GONE,
            "the route does not lead to the service that began the stream",
        )
    if lookup.pending:
        return Refusal(
            results.Cause.TARGET_UNIDENTIFIED,
            "the target that began the stream is not identified yet",
        )
    if not lookup.conclusive:
        return Refusal(
            results.Cause.ORIGIN_UNAVAILABLE,
            "control cannot be asked which version began the stream",
        )
    return Refusal(
        results.Cause.ORIGIN_UNKNOWN,
        "it is not known which version began the stream",
    )
