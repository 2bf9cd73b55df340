"""State of one request, and its responses to the caller."""

import asyncio
import collections.abc
import http

from hemlockkeel._internal.discovery import stream_origins
from hemlockkeel._internal.discovery import traits
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import events
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.relay import process_identity
from hemlockkeel._internal.relay import quotas
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.relay import resumption
from hemlockkeel._internal.relay import shared_state
from hemlockkeel._internal.routes import organisations
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import digests

# Causes of refusals that a later attempt would meet as well; these name no
# time to come back.
FINAL_CAUSES = frozenset(
    {results.Cause.ORIGIN_GONE, results.Cause.ORIGIN_UNKNOWN}
)
# Bounds of the Retry-After header of a refusal, in seconds. The value is
# random so that callers refused together do not retry together.
RETRY_AFTER_S = (0.15, 0.6)
# The same while a started entry has not received its configuration, a
# target's next announcement is due, or the control members elect a leader.
STARTING_CAUSES = frozenset(
    {
        results.Cause.NO_CONFIGURATION,
        results.Cause.TARGET_UNIDENTIFIED,
        results.Cause.KEY_PROOF_STALE,
    }
)
RETRY_AFTER_START_S = (0.8, 1.6)
# Retry-After while all targets have asked for a pause: its end plus a random
# part of the rest of it, of this many seconds at least.
MIN_HOLD_SPREAD_S = 0.5
# The same for a quarantined request.
RETRY_AFTER_QUARANTINE_S = (30.0, 60.0)


class RequestContext:
    """One request at an entry, from its arrival to its response."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        self.shared = shared
        self.connection = connection
        self.request = request
        self.metadata = shared.codec.read_request(request.headers)
        self.traits = traits.make_traits(
            digests.digest_content(
                request.method, request.target, request.body
            ),
            self.metadata.shared_parts,
            self.metadata.model,
            self.metadata.adapter,
        )
        self.route: table.Route | None = None
        # Organisation whose key the caller has sent; None without one, and on
        # public routes.
        self.organisation: organisations.Organisation | None = None
        # Loop time at which the caller's or the route's timeout ends.
        self.deadline_at = 0.0
        self.verdict = outcomes.Verdict.NOT_RUN
        # How often the request was sent to a target.
        self.sends = 0
        # Splits the event stream that is forwarded, if there is one.
        self.splitter: events.EventSplitter | None = None
        # What began the stream that is forwarded, if there is one.
        self.origin: stream_origins.StreamOrigin | None = None
        # Confirmed once the origin is certain; None if it has always been.
        self.origin_claim: process_identity.Claim | None = None
        # What was taken from the quota of the caller's organisation.
        self.charge: quotas.Charge | None = None
        self.first_byte_s: float | None = None
        self.adapter_wait_s = 0.0
        # Expected wait for an adapter slot at the selected target.
        self.slot_wait_s = 0.0
        # Loop time since which the next event of the stream is awaited, the
        # longest pause between two, and pauses beyond the objective.
        self.waiting_since: float | None = None
        self.longest_pause_s: float | None = None
        self.late_pauses = 0
        # Expected time from sending to the first event at a healthy engine.
        self.expected_prefill_s = 0.0
        # Shortest expected wait for which an attempt was given up, if any.
        self.expected_wait_s: float | None = None
        # Time until a target accepts requests again, if none does now.
        self.hold_s: float | None = None

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def adapter_key(self) -> str:
        """Return the requested adapter as MODEL/NAME."""
        return f"{self.metadata.model}/{self.metadata.adapter}"

    @property
    def priority(self) -> int:
        """Return the priority of the organisation, or else of the route."""
        if self.organisation and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority if self.route else 0

    @property
    def hides_keys(self) -> bool:
        """Return whether targets get no keys and no names from the caller.

        Organisations may have been removed since the request was accepted,
        or added.
        """
        configuration = self.shared.configuration
        return self.organisation is not None or (
            configuration is not None
            and configuration.organisations is not None
        )

    def start_stream(
        self,
        response: exchange.ResponseHead,
        find_origin: collections.abc.Callable[[], stream_origins.StreamOrigin],
        identity: process_identity.ProcessIdentity | None = None,
    ) -> None:
        """Send the head of an event stream to the caller.

        ``find_origin`` returns the origin of what the target's process writes
        once it is known which process that is, and with no ``identity`` now.
        """
        if self.origin is None and identity is None:
            self.set_origin(find_origin())
        elif self.origin is None and identity is not None:
            self.origin = find_origin()
            self.origin_claim = identity.add_claim(
                lambda: self.set_origin(find_origin())
            )
            if not self.origin_claim.confirmed:
                self.record_pending_origin()
        self.record_first_byte()
        self.connection.start_stream(
            response.status, headers.drop_hop_by_hop(response.headers)
        )

    @property
    def may_continue(self) -> bool:
        """Return whether another target may write the rest of the stream."""
        return self.origin_claim is None or self.origin_claim.confirmed

    def set_origin(self, origin: stream_origins.StreamOrigin) -> None:
        """Bind the stream to what began it, and remember that.

        A stream that is resumed is known by the request that began it.
        """
        self.origin = origin
        if self.route is None or not self.route.resumable:
            return
        self.shared.origins.record(
            self.stream_id,
            origin,
            resumption.get_lifetime_s(self.route, self.metadata.timeout_s),
        )

    def record_pending_origin(self) -> None:
        """Remember that it will be known soon what began the stream."""
        if self.route is not None and self.route.resumable:
            self.shared.origins.record_pending(self.stream_id)

    @property
    def stream_id(self) -> ids.RequestId:
        """Return the id of the request that began the stream."""
        return ids.RequestId(
            self.metadata.resumed_request_id or self.metadata.request_id
        )

    def forward_response(self, buffered: results.BufferedResponse) -> None:
        """Send a target's complete response to the caller."""
        self.record_first_byte()
        self.connection.send_response(
            buffered.response.status,
            headers.drop_hop_by_hop(buffered.response.headers),
            buffered.body,
        )
        self.record_response(buffered.response.status, "target", True)

    def record_first_byte(self) -> None:
        """Record the time from the request to the first response byte."""
        kind = self.route.kind.value if self.route else "none"
        self.first_byte_s = round(self.now - self.request.arrived_at, 4)
        self.shared.instruments.first_byte.labels(kind).observe(
            self.first_byte_s
        )

    def record_expected_wait(self, wait_s: float) -> None:
        """Keep the shortest expected wait, for the Retry-After header."""
        if wait_s <= 0.0:
            return
        known = self.expected_wait_s
        self.expected_wait_s = wait_s if known is None else min(known, wait_s)

    def refuse(self, cause: results.Cause, reason: str) -> None:
        """Respond 503 to a request that has not run.

        Retry-After tells when it may succeed, unless the cause is final.
        """
        if cause in FINAL_CAUSES:
            self.respond(http.HTTPStatus.SERVICE_UNAVAILABLE, cause, reason)
            return
        bounds = RETRY_AFTER_S
        if self.expected_wait_s is not None:
            bounds = (self.expected_wait_s / 2, self.expected_wait_s * 3 / 2)
        if self.hold_s is not None:
            spread_s = max(MIN_HOLD_SPREAD_S, self.hold_s / 2)
            bounds = (self.hold_s, self.hold_s + spread_s)
        if cause is results.Cause.QUARANTINED:
            bounds = RETRY_AFTER_QUARANTINE_S
        if cause in STARTING_CAUSES:
            bounds = RETRY_AFTER_START_S
        wait = self.shared.rng.uniform(*bounds)
        self.respond(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            cause,
            reason,
            [(b"Retry-After", f"{wait:.2f}".encode())],
        )

    def respond(
        self,
        status: int,
        cause: results.Cause,
        reason: str,
        extra: header_codec.Headers | None = None,
    ) -> None:
        """Send a response that the entry generates itself."""
        body = f"{reason}\n".encode()
        self.connection.send_response(
            status, [(b"Content-Type", b"text/plain"), *(extra or [])], body
        )
        self.record_response(status, cause.value, True, reason)

    def record_response(
        self, status: int, cause: str, complete: bool, reason: str = ""
    ) -> None:
        """Count and log the final response."""
        kind = self.route.kind.value if self.route else "none"
        self.shared.instruments.answers.labels(
            kind, str(int(status)), cause
        ).inc()
        self.log_event(
            "answered",
            status=int(status),
            cause=cause,
            complete=complete,
            reason=reason,
            verdict=self.verdict.label,
            sends=self.sends,
            first_byte=self.first_byte_s,
            adapter_wait=round(self.adapter_wait_s, 4),
            longest_pause=round(self.longest_pause_s, 4)
            if self.longest_pause_s is not None
            else None,
            late_pauses=self.late_pauses,
            seconds=round(self.now - self.request.arrived_at, 4),
        )

    def log_event(self, event: str, **fields: object) -> None:
        """Log an event of this request."""
        configuration = self.shared.configuration
        self.shared.log.write(
            event,
            id=self.metadata.request_id,
            route=self.route.name if self.route else "",
            configuration=configuration.version if configuration else 0,
            **fields,
        )
