"""Carries one request to targets until one answers.

A verdict tells whether the request may have run. Refusals that promise that
it has not are given only when each target it went to said so itself, or was
never reached.
"""

import asyncio
import http

from hemlockkeel._internal.announced import records
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.relay import attempt
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import choice
from hemlockkeel._internal.relay import fleet as fleet_module
from hemlockkeel._internal.relay import knowledge as knowledge_module
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.relay import run as run_module
from hemlockkeel._internal.relay import waits
from hemlockkeel._internal.routes import table

# A target answers at the deadline itself; this long after it the entry does.
DEADLINE_GRACE_S = 0.1
# Targets that could not be reached before a request is refused.
MAX_UNREACHED = 4


class Forwarder:
    """One request's way through the entry."""

    def __init__(
        self,
        knowledge: knowledge_module.Knowledge,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        self.knowledge = knowledge
        self.state = run_module.Run(knowledge, connection, request)
        self.tried: set[records.InstanceId] = set()
        self.unreached = 0
        self.last: (
            results.Failed | results.Held | results.StreamBroken | None
        ) = None

    async def run(self) -> None:
        """Answer the request."""
        configuration = self.knowledge.configuration
        if configuration is None:
            self.state.refuse(
                results.Cause.NO_CONFIGURATION, "no configuration yet"
            )
            return
        self.state.route = configuration.find_route(
            self.state.request.host, self.state.request.path
        )
        if self.state.route is None:
            self.state.reply(
                http.HTTPStatus.NOT_FOUND, results.Cause.NO_ROUTE, "no route"
            )
            return
        wait_s = self.state.route.timeout_s
        if self.state.facts.deadline_s is not None:
            wait_s = min(wait_s, self.state.facts.deadline_s)
        self.state.ends_at = self.state.request.arrived_at + wait_s
        stops_at = self.knowledge.stops_at
        if stops_at is not None and self.state.ends_at > stops_at:
            self.state.refuse(results.Cause.STOPPING, "this entry is stopping")
            return
        service = configuration.services[
            self.state.route.choose_service(self.knowledge.rng)
        ]
        self.knowledge.get_budget(service.name).note_request(self.state.now)
        if self.knowledge.crashes.is_quarantined(self.state.digest):
            self.state.refuse(
                results.Cause.QUARANTINED, "it crashed the targets that ran it"
            )
            return
        try:
            async with asyncio.timeout_at(
                self.state.ends_at + DEADLINE_GRACE_S
            ):
                await self.try_targets(self.state.route, service)
        except TimeoutError:
            self.give_up_at_deadline()
        except asyncio.CancelledError:
            self.state.note("caller_gone", sends=self.state.sends)
            raise

    def give_up_at_deadline(self) -> None:
        """Answer when time is up."""
        if self.state.connection.begun:
            self.state.note("stream_cut_at_deadline")
            self.state.connection.break_off()
            return
        if self.state.verdict is outcomes.Verdict.NOT_RUN:
            self.state.refuse(
                results.Cause.DEADLINE, "not run before the deadline"
            )
            return
        self.state.reply(
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
            if self.state.sends and not self.may_send_again(route, service):
                self.conclude(None)
                return
            self.tried.add(target.record.instance_id)
            result = await attempt.Attempt(
                self.state, route, service, target
            ).make()
            if isinstance(result, results.Done):
                return
            self.last = result
            if not self.wants_another(route, result):
                self.conclude(None)
                return

    def make_need(self) -> choice.Need:
        """Return what the request needs of a target."""
        return choice.Need(
            self.knowledge.data_centre,
            self.state.adapter_key if self.state.facts.adapter else "",
            self.state.facts.prompt_tokens,
            self.state.facts.max_output_tokens,
            self.state.route.priority if self.state.route else 0,
        )

    def choose(self, service: table.Service) -> fleet_module.Target | None:
        """Return the best target that was not tried yet."""
        knowledge = self.knowledge
        candidates = knowledge.fleet.list_candidates(
            service.name, self.state.facts, self.state.now, self.tried
        )
        need = self.make_need()
        chosen = choice.choose(need, candidates, knowledge.rng)
        if chosen is None:
            return None
        self.state.slot_wait_s = 0.0
        if chosen.engine is not None:
            self.state.slot_wait_s = choice.expect_slot_s(need, chosen.engine)
        self.state.note(
            "target_chosen",
            target=chosen.record.instance_id,
            sequence=chosen.record.sequence,
            candidates=len(candidates),
            own=chosen.own,
            running=chosen.running,
            kept=chosen.kept_tokens,
            slot_wait=round(self.state.slot_wait_s, 2),
        )
        return knowledge.fleet.targets[chosen.record.instance_id]

    def may_send_again(
        self, route: table.Route, service: table.Service
    ) -> bool:
        """Tell whether attempts, time and budget allow another send."""
        if self.state.sends >= route.attempts:
            return False
        if self.state.ends_at - self.state.now < waits.MIN_USEFUL_S:
            return False
        allowed = self.knowledge.get_budget(service.name).spend(
            self.state.now, self.knowledge.fleet.entries
        )
        if not allowed:
            self.state.note("retry_budget_empty", service=service.name)
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
            self.state.pass_on(last)
            return
        if isinstance(last, results.StreamBroken):
            self.state.note("stream_broken_off", reason=last.reason)
            self.state.connection.break_off()
            return
        if last is None:
            self.state.refuse(results.Cause.NO_TARGET, "no target")
            return
        if self.state.connection.begun:
            self.state.note("stream_broken_off", reason=last.reason)
            self.state.connection.break_off()
            return
        if self.state.verdict is outcomes.Verdict.NOT_RUN:
            self.state.refuse(last.cause, last.reason)
            return
        self.state.reply(http.HTTPStatus.BAD_GATEWAY, last.cause, last.reason)
