"""Keeps an engine's adapters in step with the requests that need them."""

import asyncio

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.orders import requests
from hemlockkeel._internal.orders import slots
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import event_log

# Between reports while an order is under way, and otherwise.
BUSY_REPORT_S = 0.03
CALM_REPORT_S = 0.1
# Two model loads at one engine are at least this far apart, so that
# engines that restart together stay below the store's rate.
MODEL_LOAD_GAP_S = 2.5
# A restarted agent gives no order for this long: requests that its
# predecessor granted adapters to are unknown to it.
QUIET_START_S = 0.3
# Raise of a refused fence, milliseconds: clocks step by seconds.
FENCE_STEP_MS = 30_000


class Keeper:
    """Orders loads and unloads for one engine."""

    def __init__(
        self,
        client: engine.EngineClient,
        holder: str,
        log: event_log.EventLog,
    ) -> None:
        self.client = client
        self.holder = holder
        self.log = log
        self.report: engine.Report | None = None
        # Whether the engine has stopped answering since it last did.
        self.engine_lost = False
        self.started_at_ms: int | None = None
        self.fence: int | None = None
        self.fence_refused = False
        self.service: table.Service | None = None
        self.instance_id = records.InstanceId("")
        self.requests = requests.AdapterRequests()
        # Model that the newest request named.
        self.wanted_model = ""
        self.backlog = backlog.PrefillBacklog()
        self.wake = asyncio.Event()
        self.model_loaded_at = float("-inf")
        self.reported_at = float("-inf")
        # Order count at which an unanswered unload can still take effect,
        # by (model, adapter).
        self.unanswered: dict[slots.Key, int] = {}

    @property
    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    # Requests

    async def ensure(
        self, peer: link.Link, call: messages.EnsureAdapter
    ) -> messages.AdapterGrant:
        """Hold an adapter for a request, or say why not."""
        self.wanted_model = call.model
        refusal = self.find_refusal((call.model, call.adapter))
        if refusal is not None:
            self.log_refusal(call, refusal)
            return refusal
        waiter = self.requests.add((peer, call.call_id), call, self.now)
        self.serve_waiters()
        holding = self.get_holding()
        if holding is not None:
            self.requests.refuse_hopeless(waiter, holding, self.now)
        if not waiter.future.done():
            self.wake.set()
        try:
            async with asyncio.timeout_at(waiter.until):
                grant = await waiter.future
        except TimeoutError:
            # It may have been granted in the turn in which the wait ended.
            self.requests.forget(waiter)
            grant = messages.AdapterGrant(
                granted=False, reason="no slot came free in time"
            )
        if not grant.granted:
            self.log_refusal(call, grant)
        return grant

    def find_refusal(self, key: slots.Key) -> messages.AdapterGrant | None:
        """Return why an adapter cannot come for now, if that is known."""
        if self.engine_lost:
            return refuse("the engine does not answer")
        holding = self.get_holding()
        if holding is None:
            return None
        if not holding.models:
            return refuse("the engine loads its model", self.expect_model_s())
        if self.is_outdated_in_use(key, holding):
            return refuse("an older version is still in use")
        return None

    def log_refusal(
        self, call: messages.EnsureAdapter, grant: messages.AdapterGrant
    ) -> None:
        """Log a refusal with what decided it."""
        self.log.write(
            "adapter_not_granted",
            id=call.request_id,
            adapter=f"{call.model}/{call.adapter}",
            reason=grant.reason,
            expected_wait=round(grant.expected_wait_s, 3),
            waiting=len(self.requests.waiters),
            granted=len(self.requests.get_used()),
            report_age=round(self.now - self.reported_at, 3),
            orders=self.fence is not None,
        )

    def is_outdated_in_use(
        self, key: slots.Key, holding: slots.Holding
    ) -> bool:
        """Tell whether running requests hold a newer version up."""
        if key not in self.requests.get_used():
            return False
        return key in holding.adapters and not slots.is_current(
            key, holding, self.requests.get_demand(self.now)
        )

    def release(self, peer: link.Link, call_id: int) -> None:
        """End a request's use of an adapter."""
        self.requests.release((peer, call_id), self.now)
        if self.requests.waiters:
            self.wake.set()

    def release_all(self, peer: link.Link) -> None:
        """End the uses of an entry that is gone.

        Its requests end too: the engine ends work whose caller is gone.
        """
        for call in self.requests.list_calls(peer):
            self.release(*call)

    def expect_slot_s(self, rank: int) -> float:
        """Return the expected wait of a priority for a slot, coarsely."""
        holding = self.get_holding()
        if holding is None:
            return 0.0
        return self.requests.expect_slot_s(rank, holding)

    def serve_waiters(self) -> None:
        """Grant what is held already, refuse who cannot be served."""
        holding = self.get_holding()
        if holding is None:
            return
        for waiter in self.requests.grant_held(holding, self.now):
            self.backlog.add(waiter.wanted.prompt_tokens, self.now)
            self.log.write(
                "adapter_granted",
                id=waiter.wanted.request_id,
                adapter="/".join(waiter.key),
                waited=round(self.now - waiter.since, 3),
                waiting=len(self.requests.waiters),
                report_age=round(self.now - self.reported_at, 3),
            )
        self.requests.refuse_late(holding, self.now)

    # Fences

    @property
    def may_order(self) -> bool:
        """Tell whether orders can be given now."""
        return self.fence is not None and not self.fence_refused

    def use_fence(self, fence: int) -> None:
        """Give orders with a fence from now on."""
        self.fence = fence
        self.fence_refused = False
        self.wake.set()
        self.log.write("fence_issued", fence=fence)

    def raise_fence(self, wall_s: float) -> None:
        """Use a fence from the time of day, above any refused one.

        A clock that was set back since an earlier start is the only way to
        a refusal; each one raises the fence by more than clocks step.
        """
        fence = int(wall_s * 1000)
        if self.fence is not None:
            fence = max(fence, self.fence) + FENCE_STEP_MS
        self.use_fence(fence)

    # Belief

    def get_holding(self) -> slots.Holding | None:
        """Return what the engine holds, if that is known."""
        report = self.report
        if report is None or self.service is None:
            return None
        if self.service.engine is None:
            return None
        return slots.Holding(
            {
                (model.name, name): version
                for model in report.models
                for name, version in model.adapters.items()
            },
            set(report.loading),
            {model.name for model in report.models},
            self.service.engine.adapter_slots,
            set(self.unanswered),
        )

    # The loop

    async def run(self) -> None:
        """Read reports and give orders until cancelled."""
        await asyncio.sleep(QUIET_START_S)
        while True:
            busy = await self.step()
            pause = BUSY_REPORT_S if busy else CALM_REPORT_S
            try:
                async with asyncio.timeout(pause):
                    await self.wake.wait()
            except TimeoutError:
                continue
            finally:
                self.wake.clear()
            # Let requests that arrive together be seen together.
            await asyncio.sleep(0)

    async def step(self) -> bool:
        """Read one report, give what orders it allows; tell if busy."""
        if not await self.refresh():
            return False
        self.serve_waiters()
        for _ in range(slots.MAX_COMING + 1):
            order = self.choose_order()
            if order is None or not await self.give(order):
                break
        assert self.report is not None
        return bool(
            self.requests.waiters or self.report.loading or self.report.busy
        )

    async def refresh(self) -> bool:
        """Read the engine's report; tell whether that went well."""
        try:
            report = await self.client.read_report()
        except (OSError, ValueError, TimeoutError) as fault:
            if self.report is not None:
                self.log.write("engine_lost", reason=str(fault))
                self.lose_engine()
            return False
        if self.report is None:
            self.log.write(
                "engine_up",
                models=[model.name for model in report.models],
                orders=report.order_count,
            )
        if self.started_at_ms not in (None, report.started_at_ms):
            self.log.write("engine_restarted", born_ms=report.started_at_ms)
            self.requests.note_restart()
        self.started_at_ms = report.started_at_ms
        self.engine_lost = False
        self.report = report
        self.reported_at = self.now
        self.unanswered = {
            key: count
            for key, count in self.unanswered.items()
            if count == report.order_count
        }
        holding = self.get_holding()
        if holding is not None:
            self.requests.note_holding(holding, self.now)
        return True

    def lose_engine(self) -> None:
        """Refuse who waits for an engine that does not answer."""
        self.report = None
        self.engine_lost = True
        for waiter in list(self.requests.waiters):
            self.requests.refuse(waiter, "the engine does not answer")

    def choose_order(self) -> engine.Order | None:
        """Return the next order, if one may be given."""
        holding = self.get_holding()
        if holding is None or not self.may_order:
            return None
        assert self.report is not None
        if not holding.models:
            return self.choose_model()
        return slots.choose_order(holding, self.requests.get_demand(self.now))

    def choose_model(self) -> engine.Order | None:
        """Return the order that gives an empty engine its model."""
        assert self.report is not None
        assert self.service is not None
        if self.report.busy or self.service.engine is None:
            return None
        if self.now - self.model_loaded_at < MODEL_LOAD_GAP_S:
            return None
        fitting = [
            model
            for model in self.service.engine.models
            if model.weights_mb <= self.service.engine.weights_mb
        ]
        if not fitting:
            return None
        chosen = next(
            (m for m in fitting if m.name == self.wanted_model), fitting[0]
        )
        self.model_loaded_at = self.now
        return engine.Order(engine.Operation.LOAD, chosen.name)

    def expect_model_s(self) -> float:
        """Return the time until the model that is on its way is there."""
        if self.service is None or self.service.engine is None:
            return 0.0
        load_s = max((m.load_s for m in self.service.engine.models), default=0)
        return max(0.0, self.model_loaded_at + load_s - self.now)

    async def give(self, order: engine.Order) -> bool:
        """Give an order; tell whether another may follow at once."""
        assert self.report is not None
        assert self.fence is not None
        signed = engine.FencedOrder(
            order,
            self.holder,
            self.fence,
            self.report.order_count,
            self.instance_id,
        )
        reply = await self.client.send_order(signed)
        self.log.write(
            "order",
            operation=order.operation.value,
            model=order.model,
            adapter=order.adapter,
            version=order.version,
            fence=self.fence,
            expected=signed.expected_order_count,
            reply=reply.value,
        )
        if (
            reply is engine.Reply.UNKNOWN
            and order.operation is engine.Operation.UNLOAD
        ):
            key = (order.model, order.adapter)
            self.unanswered[key] = signed.expected_order_count
        if reply is engine.Reply.STALE_FENCE:
            self.fence_refused = True
            return False
        if reply not in (engine.Reply.ACCEPTED, engine.Reply.HOLDS_ALREADY):
            return False
        key = (order.model, order.adapter)
        if order.operation is engine.Operation.UNLOAD:
            self.requests.note_unload(key)
        elif order.adapter:
            self.requests.note_load(key, self.now)
        return await self.refresh()


def refuse(reason: str, expected_s: float = 0.0) -> messages.AdapterGrant:
    """Return a refusal."""
    return messages.AdapterGrant(
        granted=False, reason=reason, expected_wait_s=expected_s
    )
