"""Carries one request to a target and its answer back to the caller.

A verdict tells whether the request may have run. Refusals that promise that
it has not are given only when each target it went to said so itself, or was
never reached.
"""

import asyncio
import collections
import http

from hemlockkeel._internal.announced import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import choice
from hemlockkeel._internal.relay import dialect
from hemlockkeel._internal.relay import events
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import fleet as fleet_module
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.relay import knowledge as knowledge_module
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import digests

# A target answers at the deadline itself; this long after it the entry does.
DEADLINE_GRACE_S = 0.1
# Targets that could not be reached before a request is refused.
MAX_UNREACHED = 4
# Shortest time in which a target can do anything for a request.
MIN_USEFUL_S = 0.02
# When a refused caller may come back, seconds, spread at random so that
# callers that were refused together do not return together.
RETRY_AFTER_S = (0.15, 0.6)
# The same while the entry learns its configuration after a start.
RETRY_AFTER_START_S = (0.8, 1.6)
# The same for a request that is quarantined.
RETRY_AFTER_QUARANTINE_S = (30.0, 60.0)
# Wait for an adapter, over all targets, as a share of the objective.
ADAPTER_WAIT_SHARE = 1.25
# Statuses that promise callers that a request has not run: callers then repeat
# even what must not run twice.
PROMISING = frozenset({408, 421, 429, 503})


class Forwarder:
    """One request's way through the entry."""

    def __init__(
        self,
        knowledge: knowledge_module.Knowledge,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        self.knowledge = knowledge
        self.connection = connection
        self.request = request
        self.facts = knowledge.speaks.read_request(request.headers)
        self.route: table.Route | None = None
        self.ends_at = 0.0
        self.digest = digests.digest_content(
            request.method, request.target, request.body
        )
        self.tried: set[records.InstanceId] = set()
        self.sends = 0
        self.unreached = 0
        self.verdict = outcomes.Verdict.NOT_RUN
        self.splitter: events.EventSplitter | None = None
        self.last: (
            results.Failed | results.Held | results.StreamBroken | None
        ) = None
        self.first_byte_s: float | None = None
        self.adapter_wait_s = 0.0
        # Expected wait for a slot at the chosen target.
        self.slot_wait_s = 0.0

    @property
    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Answer the request."""
        configuration = self.knowledge.configuration
        if configuration is None:
            self.refuse(results.Cause.NO_CONFIGURATION, "no configuration yet")
            return
        self.route = configuration.find_route(
            self.request.host, self.request.path
        )
        if self.route is None:
            self.reply(
                http.HTTPStatus.NOT_FOUND, results.Cause.NO_ROUTE, "no route"
            )
            return
        wait_s = self.route.timeout_s
        if self.facts.deadline_s is not None:
            wait_s = min(wait_s, self.facts.deadline_s)
        self.ends_at = self.request.arrived_at + wait_s
        stops_at = self.knowledge.stops_at
        if stops_at is not None and self.ends_at > stops_at:
            self.refuse(results.Cause.STOPPING, "this entry is stopping")
            return
        service = configuration.services[
            self.route.choose_service(self.knowledge.rng)
        ]
        self.knowledge.get_budget(service.name).note_request(self.now)
        if self.knowledge.crashes.is_quarantined(self.digest):
            self.refuse(
                results.Cause.QUARANTINED, "it crashed the targets that ran it"
            )
            return
        try:
            async with asyncio.timeout_at(self.ends_at + DEADLINE_GRACE_S):
                await self.try_targets(self.route, service)
        except TimeoutError:
            self.give_up_at_deadline()
        except asyncio.CancelledError:
            self.note("caller_gone", sends=self.sends)
            raise

    def give_up_at_deadline(self) -> None:
        """Answer when time is up."""
        if self.connection.begun:
            self.note("stream_cut_at_deadline")
            self.connection.break_off()
            return
        if self.verdict is outcomes.Verdict.NOT_RUN:
            self.refuse(results.Cause.DEADLINE, "not run before the deadline")
            return
        self.reply(
            http.HTTPStatus.GATEWAY_TIMEOUT,
            results.Cause.DEADLINE,
            "no answer in time",
        )

    async def try_targets(
        self, route: table.Route, service: table.Service
    ) -> None:
        """Send to one target after another until one answers."""
        while True:
            target = self.choose(service)
            if target is None:
                self.conclude(
                    results.Failed(
                        outcomes.Verdict.NOT_RUN,
                        results.Cause.NO_TARGET,
                        "no target left",
                        sent=False,
                    )
                )
                return
            if self.sends and not self.may_send_again(route, service):
                self.conclude(None)
                return
            result = await self.attempt(route, service, target)
            if isinstance(result, results.Done):
                self.note_answer(result.status, "target", result.complete)
                return
            self.last = result
            if not self.wants_another(route, result):
                self.conclude(None)
                return

    def make_need(self) -> choice.Need:
        """Return what the request needs of a target."""
        return choice.Need(
            self.knowledge.data_centre,
            self.adapter_key if self.facts.adapter else "",
            self.facts.prompt_tokens,
            self.facts.max_output_tokens,
            self.route.priority if self.route else 0,
        )

    def choose(self, service: table.Service) -> fleet_module.Target | None:
        """Return the best target that was not tried yet."""
        knowledge = self.knowledge
        candidates = knowledge.fleet.list_candidates(
            service.name, self.facts, self.now, self.tried
        )
        need = self.make_need()
        chosen = choice.choose(need, candidates, knowledge.rng)
        if chosen is None:
            return None
        self.slot_wait_s = 0.0
        if chosen.engine is not None:
            self.slot_wait_s = choice.expect_slot_s(need, chosen.engine)
        self.note(
            "target_chosen",
            target=chosen.record.instance_id,
            sequence=chosen.record.sequence,
            candidates=len(candidates),
            own=chosen.own,
            running=chosen.running,
            kept=chosen.kept_tokens,
            slot_wait=round(self.slot_wait_s, 2),
        )
        return knowledge.fleet.targets[chosen.record.instance_id]

    def may_send_again(
        self, route: table.Route, service: table.Service
    ) -> bool:
        """Tell whether attempts, time and budget allow another send."""
        if self.sends >= route.attempts:
            return False
        if self.ends_at - self.now < MIN_USEFUL_S:
            return False
        allowed = self.knowledge.get_budget(service.name).spend(
            self.now, self.knowledge.fleet.entries
        )
        if not allowed:
            self.note("retry_budget_empty", service=service.name)
        return allowed

    def wants_another(
        self,
        route: table.Route,
        result: results.Failed | results.Held | results.StreamBroken,
    ) -> bool:
        """Tell whether another target could help."""
        if isinstance(result, results.StreamBroken):
            return route.resumable
        if isinstance(result, results.Held):
            return route.idempotent
        if not result.sent:
            self.unreached += 1
            return self.unreached < MAX_UNREACHED
        if result.verdict is outcomes.Verdict.NOT_RUN:
            return True
        return route.idempotent or route.resumable

    def conclude(self, fault: results.Failed | None) -> None:
        """Give the caller the final answer after the last attempt."""
        last = self.last or fault
        if isinstance(last, results.Held):
            self.pass_on(last)
            return
        if isinstance(last, results.StreamBroken):
            self.note("stream_broken_off", reason=last.reason)
            self.connection.break_off()
            return
        if last is None:
            self.refuse(results.Cause.NO_TARGET, "no target")
            return
        if self.connection.begun:
            self.note("stream_broken_off", reason=last.reason)
            self.connection.break_off()
            return
        if self.verdict is outcomes.Verdict.NOT_RUN:
            self.refuse(last.cause, last.reason)
            return
        self.reply(http.HTTPStatus.BAD_GATEWAY, last.cause, last.reason)

    # One attempt

    async def attempt(
        self,
        route: table.Route,
        service: table.Service,
        target: fleet_module.Target,
    ) -> results.Result:
        """Send the request to a target and take its answer."""
        self.tried.add(target.record.instance_id)
        if self.facts.adapter and target.engine is not None:
            return await self.attempt_with_adapter(route, service, target)
        return await self.attempt_on(route, service, target, None)

    async def attempt_with_adapter(
        self,
        route: table.Route,
        service: table.Service,
        target: fleet_module.Target,
    ) -> results.Result:
        """Hold the adapter at the target while the request runs there."""
        grants = self.knowledge.grants
        begun = self.now
        wait_s = self.get_adapter_wait(route)
        if self.slot_wait_s > wait_s:
            # The best target would not have a slot in time.
            return self.fail_unsent(
                results.Cause.NO_ADAPTER, "every slot is taken for too long"
            )
        try:
            grant = await grants.acquire(
                target.record.address,
                self.facts.model,
                self.facts.adapter,
                route.priority,
                wait_s,
                self.get_unread_tokens(target),
            )
        except (link.LinkClosedError, TimeoutError) as fault:
            return self.fail_unsent(
                results.Cause.NO_ADAPTER, f"agent: {fault}"
            )
        waited_s = self.now - begun
        self.adapter_wait_s += waited_s
        self.knowledge.instruments.adapter_wait.observe(waited_s)
        if grant is None:
            # No agent: the target may hold the adapter all the same.
            return await self.attempt_on(route, service, target, None)
        try:
            if not grant.granted:
                return self.fail_unsent(results.Cause.NO_ADAPTER, grant.reason)
            version = grant.version or None
            return await self.attempt_on(route, service, target, version)
        finally:
            grants.release(grant)

    def get_adapter_wait(self, route: table.Route) -> float:
        """Return how long the request may still wait for its adapter.

        Beyond the route's objective an answer is worth less than what the
        place gives to others; a caller is told sooner to come back.
        """
        arrived_at = self.request.arrived_at
        until = min(
            arrived_at + route.objective_s * ADAPTER_WAIT_SHARE,
            (arrived_at + self.ends_at) / 2,
        )
        return max(MIN_USEFUL_S, until - self.now)

    def fail_unsent(self, cause: results.Cause, reason: str) -> results.Failed:
        """Return the outcome of an attempt that reached no target."""
        self.note("not_sent", cause=cause.value, reason=reason)
        self.knowledge.instruments.attempts.labels("not_sent").inc()
        return results.Failed(
            outcomes.Verdict.NOT_RUN, cause, reason, sent=False
        )

    async def attempt_on(
        self,
        route: table.Route,
        service: table.Service,
        target: fleet_module.Target,
        version: int | None,
    ) -> results.Result:
        """Send on a connection, kept or new."""
        now = self.now
        cap = self.knowledge.fleet.get_connection_cap(service.max_connections)
        connection = target.pool.take_idle(now, route.idempotent)
        if connection is None:
            if target.pool.in_use >= cap:
                return self.fail_unsent(
                    results.Cause.TARGETS_BUSY, "all connections are in use"
                )
            try:
                connection = await target.pool.connect()
            except exchange.ConnectFailedError as fault:
                target.note_result(True, self.now)
                return self.fail_unsent(results.Cause.NO_TARGET, str(fault))
        left = self.ends_at - self.now
        if left < MIN_USEFUL_S:
            target.pool.drop(connection)
            return self.fail_unsent(results.Cause.DEADLINE, "no time left")
        return await self.exchange_on(
            route,
            target,
            connection,
            self.make_forwarding(route, target, left, version),
        )

    def make_forwarding(
        self,
        route: table.Route,
        target: fleet_module.Target,
        left: float,
        version: int | None,
    ) -> dialect.Forwarding:
        """Return what is added to the request for a target."""
        last_id = self.facts.last_event_id
        if self.splitter is not None and self.splitter.last_id:
            last_id = self.splitter.last_id
        return dialect.Forwarding(
            left,
            target.record.instance_id,
            version,
            route.priority if target.engine is not None else None,
            last_id,
        )

    async def exchange_on(
        self,
        route: table.Route,
        target: fleet_module.Target,
        connection: exchange.TargetConnection,
        forwarding: dialect.Forwarding,
    ) -> results.Result:
        """Exchange the request for an answer; always ends the connection's
        use."""
        knowledge = self.knowledge
        prefill = self.get_unread_tokens(target)
        head = knowledge.speaks.make_request_headers(
            headers.drop_hop_by_hop(self.request.headers), forwarding
        )
        if self.request.body or has_framing(self.request.headers):
            length = str(len(self.request.body)).encode()
            head.append((b"Content-Length", length))
        target.own += 1
        target.digests[self.digest] += 1
        target.own_prefill_tokens += prefill
        pending = Pending(target, prefill)
        kept: exchange.Answer | None = None
        before, self.verdict = self.verdict, outcomes.Verdict.MAY_HAVE_RUN
        self.sends += 1
        try:
            connection.send(
                self.request.method,
                self.request.target,
                head,
                self.request.body,
            )
            answer = await connection.read_head(
                knowledge.speaks, self.facts.request_id
            )
            if answer.facts.load is not None:
                target.note_load(answer.facts.load, self.now)
            result = await self.take_answer(
                route, target, connection, answer, pending
            )
            if isinstance(result, results.Failed) and (
                result.verdict is outcomes.Verdict.NOT_RUN
            ):
                self.verdict = before
            if not isinstance(result, results.Failed) or (
                result.verdict is outcomes.Verdict.NOT_RUN
            ):
                kept = answer
            if isinstance(result, results.Done):
                knowledge.crashes.note_good(self.digest)
            return result
        except exchange.BrokenAnswerError as fault:
            target.note_result(True, self.now)
            knowledge.crashes.note_broken(target, list(target.digests))
            knowledge.instruments.attempts.labels("broken").inc()
            self.note(
                "answer_broken",
                target=target.record.instance_id,
                reason=str(fault),
            )
            if self.connection.begun:
                return results.StreamBroken(str(fault))
            return results.Failed(
                outcomes.Verdict.MAY_HAVE_RUN,
                results.Cause.BROKEN_ANSWER,
                str(fault),
            )
        finally:
            pending.note_first_byte()
            target.own -= 1
            target.digests -= collections.Counter([self.digest])
            if kept is not None:
                target.pool.give_back(connection, kept.headers, self.now)
            else:
                target.pool.drop(connection)

    def get_unread_tokens(self, target: fleet_module.Target) -> int:
        """Return the prompt tokens that a target has to read."""
        kept = target.get_kept_tokens(
            self.adapter_key, self.facts.prompt_parts
        )
        return max(0, self.facts.prompt_tokens - kept)

    @property
    def adapter_key(self) -> str:
        """Return model and adapter as one name."""
        return f"{self.facts.model}/{self.facts.adapter}"

    async def take_answer(
        self,
        route: table.Route,
        target: fleet_module.Target,
        connection: exchange.TargetConnection,
        answer: exchange.Answer,
        pending: "Pending",
    ) -> results.Result:
        """Judge an answer's head and read its body."""
        if answer.facts.not_run or answer.status == 421:
            await exchange.read_whole(connection)
            self.knowledge.instruments.attempts.labels("refused").inc()
            self.note(
                "target_refused",
                target=target.record.instance_id,
                status=answer.status,
            )
            return results.Failed(
                outcomes.Verdict.NOT_RUN,
                results.Cause.TARGET_REFUSED,
                f"target refused with {answer.status}",
            )
        success = 200 <= answer.status < 300
        if success and answer.facts.sealed and answer.is_event_stream:
            return await self.take_stream(target, connection, answer, pending)
        body = await exchange.read_whole(connection)
        pending.note_first_byte()
        target.note_result(answer.status >= 500, self.now)
        if success and not answer.facts.sealed:
            return self.fail_bad(target, "success without a seal")
        if answer.status in PROMISING:
            return self.fail_bad(target, f"unproved {answer.status}")
        held = results.Held(answer, body)
        if answer.status < 500 or not route.idempotent:
            self.pass_on(held)
            return results.Done(answer.status, True)
        self.knowledge.instruments.attempts.labels("failed").inc()
        self.note(
            "target_failed",
            target=target.record.instance_id,
            status=answer.status,
        )
        return held

    def fail_bad(
        self, target: fleet_module.Target, reason: str
    ) -> results.Failed:
        """Return the outcome of an answer that must not be passed on."""
        target.note_result(True, self.now)
        self.knowledge.instruments.attempts.labels("bad").inc()
        self.note(
            "answer_bad", target=target.record.instance_id, reason=reason
        )
        return results.Failed(
            outcomes.Verdict.MAY_HAVE_RUN, results.Cause.BAD_ANSWER, reason
        )

    async def take_stream(
        self,
        target: fleet_module.Target,
        connection: exchange.TargetConnection,
        answer: exchange.Answer,
        pending: "Pending",
    ) -> results.Result:
        """Pass whole events on as they arrive."""
        last_id = self.splitter.last_id if self.splitter else ""
        splitter = self.splitter = events.EventSplitter()
        splitter.last_id = last_id
        while True:
            data = await connection.read_data()
            if data is None:
                break
            try:
                whole = splitter.feed(data)
            except ValueError as fault:
                raise exchange.BrokenAnswerError(str(fault)) from fault
            if not whole:
                continue
            pending.note_first_byte()
            if not self.connection.begun:
                target.note_prompt(self.adapter_key, self.facts.prompt_parts)
                self.begin(answer)
            await self.connection.send_data(whole)
        if not splitter.at_boundary:
            raise exchange.BrokenAnswerError("ended inside an event")
        if not self.connection.begun:
            self.begin(answer)
        self.connection.end_stream()
        target.note_result(False, self.now)
        return results.Done(answer.status, True)

    # Answers to the caller

    def begin(self, answer: exchange.Answer) -> None:
        """Send the head of a stream."""
        self.note_first_byte()
        self.connection.begin_stream(
            answer.status, headers.drop_hop_by_hop(answer.headers)
        )

    def pass_on(self, held: results.Held) -> None:
        """Send a target's whole answer."""
        self.note_first_byte()
        self.connection.send_answer(
            held.answer.status,
            headers.drop_hop_by_hop(held.answer.headers),
            held.body,
        )
        if held is self.last:
            self.note_answer(held.answer.status, "target", True)

    def note_first_byte(self) -> None:
        """Measure the time to the first byte."""
        kind = self.route.kind.value if self.route else "none"
        self.first_byte_s = round(self.now - self.request.arrived_at, 4)
        self.knowledge.instruments.first_byte.labels(kind).observe(
            self.first_byte_s
        )

    def refuse(self, cause: results.Cause, reason: str) -> None:
        """Refuse a request that has certainly not run."""
        bounds = RETRY_AFTER_S
        if self.slot_wait_s:
            bounds = (self.slot_wait_s / 2, self.slot_wait_s * 3 / 2)
        if cause is results.Cause.QUARANTINED:
            bounds = RETRY_AFTER_QUARANTINE_S
        if cause is results.Cause.NO_CONFIGURATION:
            bounds = RETRY_AFTER_START_S
        wait = self.knowledge.rng.uniform(*bounds)
        self.reply(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            cause,
            reason,
            [(b"Retry-After", f"{wait:.2f}".encode())],
        )

    def reply(
        self,
        status: int,
        cause: results.Cause,
        reason: str,
        extra: dialect.Headers | None = None,
    ) -> None:
        """Send an answer of the entry's own."""
        body = f"{reason}\n".encode()
        self.connection.send_answer(
            status, [(b"Content-Type", b"text/plain"), *(extra or [])], body
        )
        self.note_answer(status, cause.value, True, reason)

    def note_answer(
        self, status: int, cause: str, complete: bool, reason: str = ""
    ) -> None:
        """Count and log the final answer."""
        kind = self.route.kind.value if self.route else "none"
        self.knowledge.instruments.answers.labels(
            kind, str(int(status)), cause
        ).inc()
        self.note(
            "answered",
            status=int(status),
            cause=cause,
            complete=complete,
            reason=reason,
            verdict=self.verdict.label,
            sends=self.sends,
            first_byte=self.first_byte_s,
            adapter_wait=round(self.adapter_wait_s, 4),
            seconds=round(self.now - self.request.arrived_at, 4),
        )

    def note(self, event: str, **fields: object) -> None:
        """Log a decision on this request."""
        configuration = self.knowledge.configuration
        self.knowledge.log.write(
            event,
            id=self.facts.request_id,
            route=self.route.name if self.route else "",
            configuration=configuration.version if configuration else 0,
            **fields,
        )


class Pending:
    """Prompt tokens that a target has not answered yet."""

    def __init__(self, target: fleet_module.Target, tokens: int) -> None:
        self.target = target
        self.tokens = tokens

    def note_first_byte(self) -> None:
        """The target has read the prompt."""
        self.target.own_prefill_tokens -= self.tokens
        self.tokens = 0


def has_framing(head: dialect.Headers) -> bool:
    """Tell whether a request came with a body, be it empty."""
    return any(key.lower() in headers.FRAMING for key, _ in head)
