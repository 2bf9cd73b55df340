"""One attempt at one target: its adapter, a connection and the answer."""

import collections

from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import events
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import fleet as fleet_module
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.relay import run as run_module
from hemlockkeel._internal.relay import waits
from hemlockkeel._internal.routes import table

# Statuses that promise callers that a request has not run: callers then repeat
# even what must not run twice.
PROMISING = frozenset({408, 421, 429, 503})


class Attempt:
    """Sends a request to a target and takes its answer."""

    def __init__(
        self,
        run: run_module.Run,
        route: table.Route,
        service: table.Service,
        target: fleet_module.Target,
    ) -> None:
        self.run = run
        self.route = route
        self.service = service
        self.target = target

    async def make(self) -> results.Result:
        """Hold the adapter, if there is one, and exchange."""
        if self.run.facts.adapter and self.target.engine is not None:
            return await self.make_with_adapter()
        return await self.send(None)

    async def make_with_adapter(self) -> results.Result:
        """Hold the adapter at the target while the request runs there."""
        grants = self.run.knowledge.grants
        begun = self.run.now
        if not self.get_patience().may_wait_for_slot(
            self.run.slot_wait_s, begun
        ):
            # The best target would not have a slot in time.
            self.run.note_expected_wait(self.run.slot_wait_s)
            return self.fail_unsent(
                results.Cause.NO_ADAPTER, "every slot is taken for too long"
            )
        try:
            grant = await grants.acquire(
                self.target.record.address, self.make_call()
            )
        except (link.LinkClosedError, TimeoutError) as fault:
            return self.fail_unsent(
                results.Cause.NO_ADAPTER, f"agent: {fault}"
            )
        waited_s = self.run.now - begun
        self.run.adapter_wait_s += waited_s
        self.run.knowledge.instruments.adapter_wait.observe(waited_s)
        if grant is None:
            # No agent: the target may hold the adapter all the same.
            return await self.send(None)
        try:
            if not grant.granted:
                self.run.note_expected_wait(grant.expected_wait_s)
                return self.fail_unsent(results.Cause.NO_ADAPTER, grant.reason)
            return await self.send(grant.version or None)
        finally:
            grants.release(grant)

    def make_call(self) -> messages.EnsureAdapter:
        """Return what the agent beside the target is asked."""
        facts = self.run.facts
        patience = self.get_patience()
        return messages.EnsureAdapter(
            model=facts.model,
            adapter=facts.adapter,
            priority=patience.priority,
            wait_s=patience.get_adapter_wait(self.run.now),
            slo_budget_s=patience.get_on_time_left(self.run.now),
            prompt_tokens=patience.unread_tokens,
            request_id=facts.request_id,
        )

    def get_patience(self) -> waits.Patience:
        """Return how long the request may wait at this target."""
        return waits.Patience(
            self.run.request.arrived_at,
            self.run.ends_at,
            self.route.objective_s,
            self.route.priority,
            self.get_unread_tokens(),
        )

    def fail_unsent(self, cause: results.Cause, reason: str) -> results.Failed:
        """Return the outcome of an attempt that reached no target."""
        self.run.note("not_sent", cause=cause.value, reason=reason)
        self.run.knowledge.instruments.attempts.labels("not_sent").inc()
        return results.Failed(
            outcomes.Verdict.NOT_RUN, cause, reason, sent=False
        )

    async def send(self, version: int | None) -> results.Result:
        """Send on a connection, kept or new."""
        target = self.target
        cap = self.run.knowledge.fleet.get_connection_cap(
            self.service.max_connections
        )
        connection = target.pool.acquire_idle(
            self.run.now, self.route.idempotent
        )
        if connection is None:
            if target.pool.in_use >= cap:
                return self.fail_unsent(
                    results.Cause.TARGETS_BUSY, "all connections are in use"
                )
            try:
                connection = await target.pool.connect()
            except exchange.ConnectFailedError as fault:
                target.note_result(True, self.run.now)
                return self.fail_unsent(results.Cause.NO_TARGET, str(fault))
        left = self.run.ends_at - self.run.now
        if left < waits.MIN_USEFUL_S:
            target.pool.discard(connection)
            return self.fail_unsent(results.Cause.DEADLINE, "no time left")
        return await self.exchange_on(
            connection, self.make_forwarding(left, version)
        )

    def make_forwarding(
        self, left: float, version: int | None
    ) -> header_codec.ForwardingMetadata:
        """Return what is added to the request for a target."""
        last_id = self.run.facts.last_event_id
        if self.run.splitter is not None and self.run.splitter.last_id:
            last_id = self.run.splitter.last_id
        return header_codec.ForwardingMetadata(
            left,
            self.target.record.instance_id,
            version,
            self.get_patience().get_target_priority(self.run.now)
            if self.target.engine is not None
            else None,
            last_id,
        )

    async def exchange_on(
        self,
        connection: exchange.TargetConnection,
        forwarding: header_codec.ForwardingMetadata,
    ) -> results.Result:
        """Exchange the request for an answer, and free the connection."""
        knowledge = self.run.knowledge
        target = self.target
        prefill = self.get_unread_tokens()
        head = knowledge.codec.make_request_headers(
            headers.drop_hop_by_hop(self.run.request.headers), forwarding
        )
        if self.run.request.body or has_framing(self.run.request.headers):
            length = str(len(self.run.request.body)).encode()
            head.append((b"Content-Length", length))
        target.own += 1
        target.digests[self.run.digest] += 1
        target.own_prefill_tokens += prefill
        pending = Pending(target, prefill)
        kept: exchange.ResponseHead | None = None
        before, self.run.verdict = (
            self.run.verdict,
            outcomes.Verdict.MAY_HAVE_RUN,
        )
        self.run.sends += 1
        try:
            connection.send(
                self.run.request.method,
                self.run.request.target,
                head,
                self.run.request.body,
            )
            answer = await connection.read_head(
                knowledge.codec, self.run.facts.request_id
            )
            if answer.facts.load is not None:
                target.note_load(answer.facts.load, self.run.now)
            result = await self.take_answer(connection, answer, pending)
            if isinstance(result, results.Failed) and (
                result.verdict is outcomes.Verdict.NOT_RUN
            ):
                self.run.verdict = before
            if not isinstance(result, results.Failed) or (
                result.verdict is outcomes.Verdict.NOT_RUN
            ):
                kept = answer
            if isinstance(result, results.Done):
                knowledge.crashes.note_good(self.run.digest)
            return result
        except exchange.InvalidResponseError as fault:
            target.note_result(True, self.run.now)
            knowledge.crashes.note_broken(target, list(target.digests))
            knowledge.instruments.attempts.labels("broken").inc()
            self.run.note(
                "answer_broken",
                target=target.record.instance_id,
                reason=str(fault),
            )
            if self.run.connection.begun:
                return results.StreamBroken(str(fault))
            return results.Failed(
                outcomes.Verdict.MAY_HAVE_RUN,
                results.Cause.BROKEN_ANSWER,
                str(fault),
            )
        finally:
            pending.note_first_byte()
            target.own -= 1
            target.digests -= collections.Counter([self.run.digest])
            if kept is not None:
                target.pool.release(connection, kept.headers, self.run.now)
            else:
                target.pool.discard(connection)

    def get_unread_tokens(self) -> int:
        """Return the prompt tokens that the target has to read."""
        kept = self.target.get_kept_tokens(
            self.run.adapter_key, self.run.facts.prompt_parts
        )
        return max(0, self.run.facts.prompt_tokens - kept)

    async def take_answer(
        self,
        connection: exchange.TargetConnection,
        answer: exchange.ResponseHead,
        pending: "Pending",
    ) -> results.Result:
        """Judge an answer's head and read its body."""
        if answer.facts.not_run or answer.status == 421:
            await exchange.read_body(connection)
            self.run.knowledge.instruments.attempts.labels("refused").inc()
            self.run.note(
                "target_refused",
                target=self.target.record.instance_id,
                status=answer.status,
            )
            return results.Failed(
                outcomes.Verdict.NOT_RUN,
                results.Cause.TARGET_REFUSED,
                f"target refused with {answer.status}",
            )
        success = 200 <= answer.status < 300
        if success and answer.facts.sealed and answer.is_event_stream:
            return await self.take_stream(connection, answer, pending)
        body = await exchange.read_body(connection)
        pending.note_first_byte()
        self.target.note_result(answer.status >= 500, self.run.now)
        if success and not answer.facts.sealed:
            return self.fail_bad("success without a seal")
        if answer.status in PROMISING:
            return self.fail_bad(f"unproved {answer.status}")
        if self.run.connection.begun:
            return self.fail_bad(f"{answer.status} for a stream to go on")
        held = results.Held(answer, body)
        if answer.status < 500 or not self.route.idempotent:
            self.run.pass_on(held)
            return results.Done()
        self.run.knowledge.instruments.attempts.labels("failed").inc()
        self.run.note(
            "target_failed",
            target=self.target.record.instance_id,
            status=answer.status,
        )
        return held

    def fail_bad(self, reason: str) -> results.Failed:
        """Return the outcome of an answer that must not be passed on."""
        self.target.note_result(True, self.run.now)
        self.run.knowledge.instruments.attempts.labels("bad").inc()
        self.run.note(
            "answer_bad",
            target=self.target.record.instance_id,
            reason=reason,
        )
        return results.Failed(
            outcomes.Verdict.MAY_HAVE_RUN, results.Cause.BAD_ANSWER, reason
        )

    async def take_stream(
        self,
        connection: exchange.TargetConnection,
        answer: exchange.ResponseHead,
        pending: "Pending",
    ) -> results.Result:
        """Pass whole events on as they arrive."""
        last_id = self.run.splitter.last_id if self.run.splitter else ""
        splitter = self.run.splitter = events.EventSplitter()
        splitter.last_id = last_id
        while True:
            data = await connection.read_data()
            if data is None:
                break
            try:
                whole = splitter.feed(data)
            except ValueError as fault:
                raise exchange.InvalidResponseError(str(fault)) from fault
            if not whole:
                continue
            pending.note_first_byte()
            if not self.run.connection.begun:
                self.target.note_prompt(
                    self.run.adapter_key, self.run.facts.prompt_parts
                )
                self.run.begin(answer)
            await self.run.connection.send_data(whole)
        if not splitter.at_boundary:
            raise exchange.InvalidResponseError("ended inside an event")
        if not self.run.connection.begun:
            self.run.begin(answer)
        self.run.connection.end_stream()
        self.target.note_result(False, self.run.now)
        self.run.note_answer(answer.status, "target", True)
        return results.Done()


class Pending:
    """Prompt tokens that a target has not answered yet."""

    def __init__(self, target: fleet_module.Target, tokens: int) -> None:
        self.target = target
        self.tokens = tokens

    def note_first_byte(self) -> None:
        """The target has read the prompt."""
        self.target.own_prefill_tokens -= self.tokens
        self.tokens = 0


def has_framing(head: header_codec.Headers) -> bool:
    """Tell whether a request came with a body, be it empty."""
    return any(key.lower() in headers.FRAMING for key, _ in head)
