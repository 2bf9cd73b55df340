"""Forwards one request to targets until one of them responds.

The verdict tells whether the request may have run. A refusal states that it
has not run only if each target that was tried said so or was not reached.
"""

import asyncio
import contextlib
import http

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import admission
from hemlockkeel._internal.relay import attempt
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import quota_admission
from hemlockkeel._internal.relay import request_context
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.relay import resumption
from hemlockkeel._internal.relay import shared_state
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.relay import target_selection
from hemlockkeel._internal.relay import waits
from hemlockkeel._internal.routes import table

# Targets respond at the deadline themselves. The entry waits this much longer
# for their response before it responds itself.
DEADLINE_GRACE_S = 0.1
# Causes for which no other target would be better.
HELD_CAUSES = frozenset({results.Cause.QUARANTINED, results.Cause.SUSPECTED})
# A request is refused after this many attempts that failed before it was sent.
MAX_UNSENT_ATTEMPTS = 4


class Forwarder:
    """Forwards one request and sends its caller a response."""

    def __init__(
        self,
        shared: shared_state.SharedState,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        self.shared = shared
        self.context = request_context.RequestContext(
            shared, connection, request
        )
        self.tried_targets: set[records.IncarnationKey] = set()
        self.unsent_attempts = 0
        # Ends the attempts; None before they begin.
        self.timeout: asyncio.Timeout | None = None
        # Whether targets were left out because of suspected requests there.
        self.held_back = False
        self.last_result: (
            results.AttemptFailed
            | results.BufferedResponse
            | results.StreamInterrupted
            | None
        ) = None

    async def run(self) -> None:
        """Forward the request and send the caller exactly one response."""
        await admission.confirm_unknown_key(self.shared, self.context.request)
        configuration = self.shared.configuration
        if configuration is None:
            self.context.refuse(
                results.Cause.NO_CONFIGURATION,
                "no configuration yet",
            )
            return
        self.context.route = configuration.find_route(
            self.context.request.host, self.context.request.path
        )
        if self.context.route is None:
            self.context.respond(
                http.HTTPStatus.NOT_FOUND,
                results.Cause.NO_ROUTE,
                "no route",
            )
            return
        if not admission.authenticate(self.context, configuration):
            return
        wait_s = self.context.route.timeout_s
        if self.context.metadata.timeout_s is not None:
            wait_s = min(wait_s, self.context.metadata.timeout_s)
        self.context.deadline_at = self.context.request.arrived_at + wait_s
        stops_at = self.shared.stops_at
        answered_at = self.context.deadline_at + DEADLINE_GRACE_S
        if stops_at is not None and answered_at > stops_at:
            self.context.refuse(
                results.Cause.STOPPING, "this entry is stopping"
            )
            return
        name = await self.choose_service(self.context.route)
        if name is None:
            return
        service = configuration.services[name]
        self.shared.get_budget(service.name).record_request(self.context.now)
        self.shared.crashes.memory.record_arrival(self.context.traits)
        hold = self.shared.suspects.find_hold(self.context.traits)
        if hold is not None:
            self.context.record_expected_wait(hold.wait_s)
            self.context.refuse(hold.cause, hold.reason)
            return
        try:
            async with asyncio.timeout_at(
                self.context.deadline_at + DEADLINE_GRACE_S
            ) as self.timeout:
                await self.serve(self.context.route, service)
        except TimeoutError:
            self.handle_deadline()
        except asyncio.CancelledError:
            self.context.log_event(
                "caller_gone",
                sends=self.context.sends,
                digest=self.context.traits.content,
            )
            raise

    def give_up(self) -> None:
        """End the request with a final response, since the entry ends."""
        self.context.deadline_at = min(
            self.context.deadline_at, self.context.now
        )
        if self.timeout is not None:
            # An error says that the attempts have ended by themselves.
            with contextlib.suppress(RuntimeError):
                self.timeout.reschedule(self.context.now)

    def handle_error(self, error: Exception) -> None:
        """Respond after an unexpected error, unless a response has begun."""
        self.context.log_event("request_failed", fault=repr(error))
        if self.context.connection.response_started:
            return
        if self.context.verdict is outcomes.Verdict.NOT_RUN:
            self.context.refuse(results.Cause.FAULT, "internal error")
            return
        self.context.respond(
            http.HTTPStatus.INTERNAL_SERVER_ERROR,
            results.Cause.FAULT,
            "internal error",
        )

    async def choose_service(
        self, route: table.Route
    ) -> records.ServiceName | None:
        """Return the service for the request, or refuse it.

        A stream goes on in the service that began it.
        """
        metadata = self.context.metadata
        if not (
            metadata.resumes_stream and route.kind is table.RouteKind.STREAM
        ):
            return route.choose_service(self.shared.rng)
        lookup = await self.shared.origins.find(
            ids.RequestId(metadata.resumed_request_id)
        )
        services = resumption.list_services(route)
        outcome = resumption.choose_origin(services, lookup)
        refused = isinstance(outcome, resumption.Refusal)
        event = "stream_not_resumed" if refused else "stream_resumed"
        self.shared.instruments.events.labels(event).inc()
        self.context.log_event(
            event,
            request=metadata.resumed_request_id,
            after=metadata.last_event_id,
            origin=lookup.origin,
            conclusive=lookup.conclusive,
        )
        if isinstance(outcome, resumption.Refusal):
            self.context.refuse(outcome.cause, outcome.reason)
            return None
        self.context.set_origin(outcome)
        return outcome.service

    def handle_deadline(self) -> None:
        """Respond 503 or 504, or abort a stream that has started."""
        if self.context.connection.response_started:
            self.context.log_event("stream_cut_at_deadline")
            self.context.connection.abort()
            return
        if self.context.verdict is outcomes.Verdict.NOT_RUN:
            self.context.refuse(
                results.Cause.DEADLINE,
                "not run before the deadline",
            )
            return
        self.context.respond(
            http.HTTPStatus.GATEWAY_TIMEOUT,
            results.Cause.DEADLINE,
            "no answer in time",
        )

    async def serve(self, route: table.Route, service: table.Service) -> None:
        """Try the targets of a service, within the organisation's quota."""
        if await quota_admission.admit(self.context):
            await self.try_targets(route, service)

    async def try_targets(
        self, route: table.Route, service: table.Service
    ) -> None:
        """Try one target after another until one responds."""
        while True:
            target = self.select_target(service)
            if target is None:
                self.send_final_response(service)
                return
            if self.context.sends and not self.may_retry(route, service):
                self.send_final_response(service)
                return
            self.tried_targets.add(target.incarnation_key)
            result = await attempt.Attempt(
                self.context, route, service, target
            ).execute()
            if isinstance(result, results.Completed):
                return
            self.last_result = result
            if isinstance(result, results.AttemptFailed) and result.loading:
                # Another target would fetch a second copy of the adapter,
                # and later than this one.
                self.tried_targets.discard(target.incarnation_key)
            if not self.should_try_another(route, result):
                self.send_final_response(service)
                return
            await self.shared.crashes.wait_for_probe(target)

    def make_requirements(self) -> target_selection.Requirements:
        """Return what the request requires of a target."""
        return target_selection.Requirements(
            self.shared.data_centre,
            self.context.adapter_key if self.context.metadata.adapter else "",
            self.context.metadata.prompt_tokens,
            self.context.metadata.max_output_tokens,
            self.context.priority,
        )

    def select_target(
        self, service: table.Service
    ) -> target_module.Target | None:
        """Select and log the best target not tried yet; None without one."""
        shared = self.shared
        candidates = shared.registry.list_candidates(
            service.name,
            self.context.metadata,
            self.context.now,
            self.tried_targets,
            self.context.origin,
        )
        candidates = self.separate_suspects(self.prefer_identified(candidates))
        requirements = self.make_requirements()
        chosen = target_selection.select_target(
            requirements, candidates, shared.rng
        )
        if chosen is None:
            return None
        self.context.slot_wait_s = self.context.expected_prefill_s = 0.0
        if chosen.engine is not None:
            self.context.expected_prefill_s = (
                target_selection.estimate_prefill_s(requirements, chosen)
                / chosen.prefill_factor
            )
            self.context.slot_wait_s = target_selection.estimate_slot_wait_s(
                requirements, chosen.engine
            )
        self.context.log_event(
            "target_chosen",
            target=chosen.record.instance_id,
            sequence=chosen.record.sequence,
            software=chosen.record.software_version,
            candidates=len(candidates),
            own=chosen.in_flight,
            running=chosen.running,
            kept=chosen.cached_tokens,
            service=round(chosen.service_s, 4)
            if chosen.engine is None
            else None,
            prefill=round(self.context.expected_prefill_s, 3),
            prefill_factor=round(chosen.prefill_factor, 2),
            slot_wait=round(self.context.slot_wait_s, 2),
        )
        return shared.registry.targets[chosen.record.instance_id]

    def prefer_identified(
        self, candidates: list[target_selection.Candidate]
    ) -> list[target_selection.Candidate]:
        """Leave out targets at which no stream can begin that may go on.

        If these are most of the targets, they are needed.
        """
        if self.context.route is None or not self.context.route.resumable:
            return candidates
        identified = [
            candidate
            for candidate in candidates
            if self.shared.registry.targets[
                candidate.record.instance_id
            ].identified
        ]
        if 2 * len(identified) < len(candidates):
            return candidates
        return identified

    def separate_suspects(
        self, candidates: list[target_selection.Candidate]
    ) -> list[target_selection.Candidate]:
        """Leave out targets that run a suspected request, for another one."""
        suspects = self.shared.suspects
        shared_ids = suspects.find_shared_targets(
            self.context.traits, self.shared.registry.targets.values()
        )
        if not shared_ids:
            return candidates
        separate = [
            candidate
            for candidate in candidates
            if candidate.record.instance_id not in shared_ids
        ]
        if separate or not suspects.must_be_separate(self.context.traits):
            return separate or candidates
        self.held_back = bool(candidates)
        return []

    def record_hold(self, service: table.Service) -> None:
        """Record when callers may return if no target wants requests now."""
        ends_at = self.shared.registry.find_hold_end(
            service.name, self.context.now, self.context.origin
        )
        if ends_at is not None:
            self.context.hold_s = max(0.0, ends_at - self.context.now)

    def explain_no_target(self) -> tuple[results.Cause, str]:
        """Return why no target could be selected."""
        if self.held_back:
            return (
                results.Cause.SUSPECTED,
                "all targets run other requests that may crash them",
            )
        if self.context.hold_s is not None:
            return (
                results.Cause.TARGET_HELD,
                "all targets asked for a pause or limit their requests",
            )
        origin = self.context.origin
        if origin is not None and not self.shared.registry.may_return(origin):
            return (
                results.Cause.ORIGIN_GONE,
                "no target has the version that began the stream any more",
            )
        if origin is not None and self.shared.registry.awaits_identification(
            origin
        ):
            return (
                results.Cause.TARGET_UNIDENTIFIED,
                "targets of the version that began the stream may have "
                "restarted",
            )
        return results.Cause.NO_TARGET, "no target left"

    def may_retry(self, route: table.Route, service: table.Service) -> bool:
        """Return whether attempts, time and retry budget allow a retry."""
        if self.context.sends >= route.max_attempts:
            return False
        if self.context.deadline_at - self.context.now < waits.MIN_USEFUL_S:
            return False
        allowed = self.shared.get_budget(service.name).try_spend(
            self.context.now, self.shared.get_reserve_share()
        )
        if not allowed:
            self.context.log_event("retry_budget_empty", service=service.name)
        return allowed

    def should_try_another(
        self,
        route: table.Route,
        result: results.AttemptFailed
        | results.BufferedResponse
        | results.StreamInterrupted,
    ) -> bool:
        """Return whether the request may be tried at another target."""
        if not self.context.may_continue:
            return False
        if isinstance(result, results.StreamInterrupted):
            return route.resumable
        if isinstance(result, results.BufferedResponse):
            return route.idempotent
        if result.cause in HELD_CAUSES:
            return False
        if not result.sent:
            self.unsent_attempts += 1
            return self.unsent_attempts < MAX_UNSENT_ATTEMPTS
        if result.verdict is outcomes.Verdict.NOT_RUN:
            return True
        return route.idempotent or route.resumable

    def send_final_response(self, service: table.Service) -> None:
        """Send the response, or end the stream, after the last attempt."""
        self.record_hold(service)
        last = self.last_result
        if isinstance(last, results.BufferedResponse):
            self.context.forward_response(last)
            return
        if isinstance(last, results.StreamInterrupted):
            self.context.log_event("stream_broken_off", reason=last.reason)
            self.context.connection.abort()
            return
        if last is None:
            self.context.refuse(*self.explain_no_target())
            return
        if self.context.connection.response_started:
            self.context.log_event("stream_broken_off", reason=last.reason)
            self.context.connection.abort()
            return
        if self.context.verdict is outcomes.Verdict.NOT_RUN:
            self.context.refuse(last.cause, last.reason)
            return
        self.context.respond(
            http.HTTPStatus.BAD_GATEWAY, last.cause, last.reason
        )
