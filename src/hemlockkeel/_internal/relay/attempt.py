"""One attempt to get a response to a request from one target."""

import dataclasses

from hemlockkeel._internal.discovery import stream_origins
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import availability
from hemlockkeel._internal.relay import crashes
from hemlockkeel._internal.relay import events
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.relay import pauses
from hemlockkeel._internal.relay import read_budget
from hemlockkeel._internal.relay import request_context
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.relay import stream_progress
from hemlockkeel._internal.relay import target as target_module
from hemlockkeel._internal.relay import target_signals
from hemlockkeel._internal.relay import target_speeds
from hemlockkeel._internal.relay import waits
from hemlockkeel._internal.routes import table

# Statuses that tell callers that a request has not run. Callers then repeat
# even a request that must not run twice.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Parts of a prompt that are logged.
MAX_LOGGED_PARTS = 8


class Attempt:
    """Acquires the adapter, sends the request and forwards the response."""

    def __init__(
        self,
        context: request_context.RequestContext,
        route: table.Route,
        service: table.Service,
        target: target_module.Target,
    ) -> None:
        self.context = context
        self.route = route
        self.service = service
        self.target = target
        # Whether the target's process was known when the request was sent.
        self.was_identified = False
        # Measures the exchange; None before the request is sent.
        self.timing: target_speeds.ExchangeTiming | None = None

    async def execute(self) -> results.AttemptResult:
        """Make the attempt, with the adapter loaded if one is needed."""
        if self.context.metadata.adapter and self.target.engine is not None:
            return await self.execute_with_adapter()
        return await self.send(None)

    async def execute_with_adapter(self) -> results.AttemptResult:
        """Keep the adapter loaded at the target while the request runs."""
        client = self.context.shared.adapter_client
        started_at = self.context.now
        if not self.get_wait_limits().may_wait_for_slot(
            self.context.slot_wait_s, started_at
        ):
            # Even the best target would not have a free slot in time.
            self.context.record_expected_wait(self.context.slot_wait_s)
            return self.fail_unsent(
                results.Cause.NO_ADAPTER,
                "no adapter slot is expected to be free in time",
            )
        try:
            async with self.target.availability.interruptible():
                grant = await client.acquire(
                    self.target.record.address, self.make_adapter_request()
                )
        except (link.LinkClosedError, TimeoutError) as error:
            unavailable = self.find_unavailability()
            if unavailable is not None:
                return unavailable
            return self.fail_unsent(
                results.Cause.NO_ADAPTER, f"call to the agent failed: {error}"
            )
        waited_s = self.context.now - started_at
        self.context.adapter_wait_s += waited_s
        self.context.shared.instruments.adapter_wait.observe(waited_s)
        if grant is None:
            # Without an agent, the target may still have the adapter loaded,
            # but nobody has replaced an older version.
            return await self.send(self.get_newest_version() or None)
        try:
            if not grant.granted:
                self.context.record_expected_wait(grant.expected_wait_s)
                return dataclasses.replace(
                    self.fail_unsent(results.Cause.NO_ADAPTER, grant.reason),
                    loading=grant.loading,
                )
            if grant.started_at_ms not in (
                0,
                self.target.record.started_at_ms,
            ):
                return self.fail_replaced()
            return await self.send(grant.version or None)
        finally:
            client.release(grant)

    def get_newest_version(self) -> int:
        """Return the newest version of the adapter; 0 if none is named."""
        metadata = self.context.metadata
        return self.context.shared.adapter_client.get_newest_version(
            metadata.model, metadata.adapter
        )

    def make_adapter_request(self) -> messages.EnsureAdapter:
        """Return the message that asks the agent for the adapter."""
        metadata = self.context.metadata
        limits = self.get_wait_limits()
        return messages.EnsureAdapter(
            model=metadata.model,
            adapter=metadata.adapter,
            priority=limits.priority,
            wait_s=limits.get_adapter_wait_s(self.context.now),
            slo_budget_s=limits.get_slo_budget_s(self.context.now),
            prompt_tokens=limits.uncached_tokens,
            request_id=metadata.request_id,
            newest_version=self.get_newest_version(),
            organisation=(
                self.context.organisation.name
                if self.context.organisation is not None
                else ""
            ),
        )

    def get_wait_limits(self) -> waits.WaitLimits:
        """Return how long the request may wait at this target."""
        return waits.WaitLimits(
            self.context.request.arrived_at,
            self.context.deadline_at,
            self.route.first_byte_slo_s,
            self.context.priority,
            self.get_uncached_tokens(),
        )

    def fail_unsent(
        self, cause: results.Cause, reason: str
    ) -> results.AttemptFailed:
        """Log and return the failure of an attempt that sent nothing."""
        self.context.log_event("not_sent", cause=cause.value, reason=reason)
        self.context.shared.instruments.attempts.labels("not_sent").inc()
        return results.AttemptFailed(
            outcomes.Verdict.NOT_RUN, cause, reason, sent=False
        )

    def fail_replaced(self) -> results.AttemptFailed:
        """Return the failure if another process runs in the target's place.

        It may be of another software version than the one that was chosen.
        """
        return self.fail_unsent(
            results.Cause.TARGET_REPLACED, "the target has restarted"
        )

    def find_unavailability(self) -> results.AttemptFailed | None:
        """Return the failure if the target accepts no requests any more."""
        if self.target.replaced or (
            self.target.restarted and self.route.resumable
        ):
            return self.fail_replaced()
        if self.context.origin is not None and not self.target.identified:
            return self.fail_unsent(
                results.Cause.TARGET_UNIDENTIFIED,
                "the target may have restarted",
            )
        match self.target.availability.find_refusal(self.context.now):
            case availability.Refusal.LEAVING:
                return self.fail_unsent(
                    results.Cause.TARGET_LEAVING, "the target is leaving"
                )
            case availability.Refusal.HELD:
                return self.fail_unsent(
                    results.Cause.TARGET_HELD,
                    "the target asked for a pause",
                )
            case availability.Refusal.LIMITED | None:
                # A request that is ready to be sent has a permit.
                return None

    async def send(self, version: int | None) -> results.AttemptResult:
        """Send the request on an idle connection or a new one.

        ``version`` is the adapter version to require; None for any.
        """
        target = self.target
        if not await self.context.shared.rate_limits.acquire(target):
            return self.fail_unsent(
                results.Cause.TARGET_LIMITED,
                "the target takes no more requests now",
            )
        max_connections = self.context.shared.registry.get_connection_limit(
            self.service.max_connections
        )
        if target.identity is not None:
            max_connections = max(
                1, max_connections - target.identity.open_connections
            )
        connection = target.pool.acquire_idle(
            self.context.now,
            self.route.idempotent,
            self.context.metadata.request_id,
        )
        if connection is None:
            if target.pool.in_use >= max_connections:
                return self.fail_unsent(
                    results.Cause.TARGETS_BUSY, "all connections are in use"
                )
            try:
                connection = await target.pool.connect()
            except exchange.ConnectFailedError as error:
                target.record_result(True, self.context.now)
                if target.unconfirmed:
                    self.context.shared.crashes.start_probe(target)
                return self.fail_unsent(results.Cause.NO_TARGET, str(error))
        obstacle = self.find_obstacle(connection)
        if obstacle is not None:
            target.pool.discard(connection)
            return obstacle
        time_left_s = self.context.deadline_at - self.context.now
        return await self.perform_exchange(
            connection, self.make_forwarding_metadata(time_left_s, version)
        )

    def find_obstacle(
        self, connection: exchange.TargetConnection
    ) -> results.AttemptFailed | None:
        """Return the failure if the request must not be sent now."""
        now = self.context.now
        if self.context.deadline_at - now < waits.MIN_USEFUL_S:
            return self.fail_unsent(results.Cause.DEADLINE, "no time left")
        if not connection.reusable:
            self.target.record_result(True, now)
            return self.fail_unsent(
                results.Cause.BROKEN_ANSWER,
                "the target sent something or closed before the request",
            )
        unavailable = self.find_unavailability()
        if unavailable is not None:
            return unavailable
        hold = self.context.shared.suspects.find_hold(self.context.traits)
        if hold is None:
            return None
        self.context.record_expected_wait(hold.wait_s)
        return self.fail_unsent(hold.cause, hold.reason)

    def make_forwarding_metadata(
        self, time_left_s: float, version: int | None
    ) -> header_codec.ForwardingMetadata:
        """Return the metadata to add to the request for the target."""
        last_id = self.context.metadata.last_event_id
        if self.context.splitter is not None and self.context.splitter.last_id:
            last_id = self.context.splitter.last_id
        return header_codec.ForwardingMetadata(
            time_left_s,
            self.target.record.instance_id,
            version,
            self.get_wait_limits().get_target_priority(self.context.now)
            if self.target.engine is not None
            else None,
            last_id,
            self.context.hides_keys,
            self.context.organisation.name
            if self.context.organisation is not None
            else "",
        )

    async def perform_exchange(
        self,
        connection: exchange.TargetConnection,
        forwarding: header_codec.ForwardingMetadata,
    ) -> results.AttemptResult:
        """Send the request, handle the response, free the connection."""
        shared = self.context.shared
        target = self.target
        prefill_tokens = self.get_uncached_tokens()
        request_headers = shared.codec.make_request_headers(
            headers.drop_hop_by_hop(self.context.request.headers), forwarding
        )
        if self.context.request.body or has_body_framing(
            self.context.request.headers
        ):
            length = str(len(self.context.request.body)).encode()
            request_headers.append((b"Content-Length", length))
        sent_at = self.context.now
        broken = False
        self.was_identified = target.identified
        target.record_sent(sent_at)
        target.add_request(self.context.traits)
        target.in_flight_prefill_tokens += prefill_tokens
        pending_prefill = PendingPrefill(target, prefill_tokens)
        finished_response: exchange.ResponseHead | None = None
        timing = target_speeds.ExchangeTiming(shared.registry, target, sent_at)
        self.timing = timing
        previous_verdict, self.context.verdict = (
            self.context.verdict,
            outcomes.Verdict.MAY_HAVE_RUN,
        )
        self.context.sends += 1
        shared.suspects.add_copy(self.context.traits, connection)
        try:
            connection.send(
                self.context.request.method,
                self.context.request.target,
                request_headers,
                self.context.request.body,
            )
            response = await connection.read_head(
                shared.codec, self.context.metadata.request_id
            )
            target.heard_at = self.context.now
            # It may have been read long after it was written.
            shared.crashes.confirm_completed(
                target, connection.opened_at, sent_at
            )
            timing.record_head(response, self.context.now)
            target_signals.record_signals(
                self.context, target, response, sent_at
            )
            result = await self.handle_response(
                connection, response, pending_prefill
            )
            if isinstance(result, results.AttemptFailed) and (
                result.verdict is outcomes.Verdict.NOT_RUN
            ):
                self.context.verdict = previous_verdict
            if not isinstance(result, results.AttemptFailed) or (
                result.verdict is outcomes.Verdict.NOT_RUN
            ):
                finished_response = response
            if isinstance(result, results.Completed) and response.successful:
                self.record_completed(response)
            return result
        except exchange.InvalidResponseError as error:
            broken = True
            target.record_result(True, self.context.now)
            shared.crashes.start_probe(target)
            shared.instruments.attempts.labels("broken").inc()
            self.context.log_event(
                "answer_broken",
                target=target.record.instance_id,
                digest=self.context.traits.content,
                parts=self.context.metadata.shared_parts[:MAX_LOGGED_PARTS],
                adapter=self.context.adapter_key,
                reason=str(error),
            )
            if self.context.connection.response_started:
                return results.StreamInterrupted(str(error))
            return results.AttemptFailed(
                outcomes.Verdict.MAY_HAVE_RUN,
                results.Cause.BROKEN_ANSWER,
                str(error),
            )
        finally:
            timing.end(self.context.now)
            pending_prefill.complete()
            shared.suspects.remove_copy(self.context.traits, connection)
            target.remove_request(self.context.traits)
            if finished_response is not None and target.availability.leaving:
                target.pool.discard(connection)
            elif finished_response is not None:
                target.pool.release(
                    connection, finished_response.headers, self.context.now
                )
            else:
                shared.crashes.record_lost(
                    target,
                    self.context.traits,
                    broken or target.heard_at < sent_at,
                )
                target.pool.discard(connection)

    def record_completed(self, response: exchange.ResponseHead) -> None:
        """Record a success, for certain if the response has a marked end."""
        if response.ends_with_connection:
            self.target.record_unconfirmed(
                self.context.traits, self.context.now
            )
            return
        self.context.shared.crashes.report_success(self.context.traits)

    def get_uncached_tokens(self) -> int:
        """Return the prompt tokens missing from the target's cache."""
        cached = self.target.get_cached_tokens(
            self.context.adapter_key, self.context.metadata.prompt_parts
        )
        return max(0, self.context.metadata.prompt_tokens - cached)

    async def handle_response(
        self,
        connection: exchange.TargetConnection,
        response: exchange.ResponseHead,
        pending_prefill: "PendingPrefill",
    ) -> results.AttemptResult:
        """Validate a response and forward it if it may be forwarded.

        A server error on an idempotent route is returned without being
        forwarded, so that another target can be tried.
        """
        if response.metadata.not_run or response.status == 421:
            await exchange.skip_body(connection)
            self.context.shared.instruments.attempts.labels("refused").inc()
            self.context.log_event(
                "target_refused",
                target=self.target.record.instance_id,
                status=response.status,
            )
            return results.AttemptFailed(
                outcomes.Verdict.NOT_RUN,
                results.Cause.TARGET_REFUSED,
                f"target rejected the request with status {response.status}",
            )
        if (
            response.successful
            and response.metadata.sealed
            and response.is_event_stream
        ):
            return await self.relay_stream(
                connection, response, pending_prefill
            )
        reason = self.find_reason_not_to_forward(response)
        if reason:
            await exchange.skip_body(connection)
            return self.fail_unacceptable_response(reason)
        if response.status < 500 or not self.route.idempotent:
            body = await exchange.read_body(connection)
            pending_prefill.complete()
            self.target.record_result(response.status >= 500, self.context.now)
            self.context.forward_response(
                results.BufferedResponse(response, body)
            )
            return results.Completed()
        async with exchange.within_budget(connection):
            body = await exchange.read_body(connection)
        self.target.record_result(True, self.context.now)
        self.context.shared.instruments.attempts.labels("failed").inc()
        self.context.log_event(
            "target_failed",
            target=self.target.record.instance_id,
            status=response.status,
        )
        return results.BufferedResponse(response, body)

    def find_reason_not_to_forward(
        self, response: exchange.ResponseHead
    ) -> str:
        """Return why callers could misunderstand a response; "" if not."""
        if response.successful and not response.metadata.sealed:
            return "successful response is not sealed"
        if response.status in NOT_RUN_STATUSES:
            return (
                f"status {response.status} without proof that the request "
                "did not run"
            )
        if self.context.connection.response_started:
            return f"status {response.status} when resuming a stream"
        return ""

    def fail_unacceptable_response(self, reason: str) -> results.AttemptFailed:
        """Log and return the failure of a response that is not forwarded.

        Such a response is complete, but callers could misunderstand it.
        """
        self.target.record_result(True, self.context.now)
        self.context.shared.instruments.attempts.labels("bad").inc()
        self.context.log_event(
            "answer_bad",
            target=self.target.record.instance_id,
            reason=reason,
        )
        return results.AttemptFailed(
            outcomes.Verdict.MAY_HAVE_RUN, results.Cause.BAD_ANSWER, reason
        )

    async def relay_stream(
        self,
        connection: exchange.TargetConnection,
        response: exchange.ResponseHead,
        pending_prefill: "PendingPrefill",
    ) -> results.AttemptResult:
        """Forward each event of a stream once it is complete."""
        splitter = self.context.splitter = events.EventSplitter(
            self.context.splitter,
            self.context.metadata.last_event_id
            if self.route.resumable
            else "",
        )
        held = read_budget.HeldMemory(connection.memory)
        try:
            await self.relay_events(
                connection, response, pending_prefill, splitter, held
            )
        finally:
            held.release()
        if not splitter.at_boundary:
            raise exchange.InvalidResponseError("stream ended inside an event")
        if response.ends_with_connection and not splitter.count:
            raise exchange.InvalidResponseError("stream ended without events")
        if not self.context.connection.response_started:
            self.start_stream(response)
        self.context.connection.end_stream()
        self.target.record_result(False, self.context.now)
        self.context.record_response(response.status, "target", True)
        return results.Completed()

    async def relay_events(
        self,
        connection: exchange.TargetConnection,
        response: exchange.ResponseHead,
        pending_prefill: "PendingPrefill",
        splitter: events.EventSplitter,
        held: read_budget.HeldMemory,
    ) -> None:
        """Forward the events of a stream until it ends.

        ``held`` counts what has arrived of the event that is incomplete.

        :raises InvalidResponseError: when the stream is malformed or stalls,
            or there is no memory for its events.
        """
        progress = stream_progress.StreamProgress(
            self.route.first_byte_slo_s, self.context.now
        )
        while True:
            data = await connection.read_data()
            self.target.heard_at = self.context.now
            if data is None:
                return
            self.context.shared.crashes.confirm_completed(
                self.target,
                connection.opened_at,
                self.context.now - crashes.MAX_READ_DELAY_S,
            )
            try:
                complete_events = splitter.feed(data)
                held.resize(len(splitter.partial))
            except (ValueError, read_budget.BudgetExhaustedError) as error:
                raise exchange.InvalidResponseError(str(error)) from error
            check_progress(progress, complete_events, self.context.now)
            if not complete_events:
                continue
            pending_prefill.complete()
            pauses.record_event(self.context, self.target, splitter.count)
            if not self.context.connection.response_started:
                self.record_first_event()
                self.start_stream(response)
            await self.context.connection.send_data(complete_events)
            pauses.start_waiting(self.context)

    def record_first_event(self) -> None:
        """Record that the target has prefilled the prompt."""
        self.target.record_prompt(
            self.context.adapter_key, self.context.metadata.prompt_parts
        )
        if self.timing is not None:
            self.timing.record_first_event(
                self.context.expected_prefill_s, self.context.now
            )

    def start_stream(self, response: exchange.ResponseHead) -> None:
        """Send the head of an event stream that begins at the target."""
        if self.was_identified or self.target.identity is None:
            self.context.start_stream(
                response, lambda: self.make_origin(self.target)
            )
            return
        registry = self.context.shared.registry
        self.context.start_stream(
            response,
            lambda: self.make_origin(
                registry.targets.get(
                    self.target.record.instance_id, self.target
                )
            ),
            self.target.identity,
        )

    def make_origin(
        self, target: target_module.Target
    ) -> stream_origins.StreamOrigin:
        """Return the origin of what a target writes, as it is announced."""
        return stream_origins.StreamOrigin(
            self.service.name, target.record.software_version
        )


class PendingPrefill:
    """Prompt tokens of one request that a target has not prefilled yet."""

    def __init__(self, target: target_module.Target, tokens: int) -> None:
        self.target = target
        self.tokens = tokens

    def complete(self) -> None:
        """Remove the tokens from the target's count; repeats do nothing."""
        self.target.in_flight_prefill_tokens -= self.tokens
        self.tokens = 0


def check_progress(
    progress: stream_progress.StreamProgress, events_data: bytes, now: float
) -> None:
    """Record what has arrived of a stream, and check that it goes on.

    :raises InvalidResponseError: when it has stalled.
    """
    progress.record(events_data, now)
    if progress.has_stalled(now):
        raise exchange.InvalidResponseError(
            f"no event for {progress.max_stall_s} s"
        )


def has_body_framing(request_headers: header_codec.Headers) -> bool:
    """Return whether a request declares a body, even an empty one."""
    return any(
        key.lower() in headers.FRAMING_HEADERS for key, _ in request_headers
    )
