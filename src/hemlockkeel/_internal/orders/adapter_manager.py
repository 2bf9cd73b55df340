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
BUSY_POLL_INTERVAL_S = 0.03
IDLE_POLL_INTERVAL_S = 0.1
# Two model loads at one engine are at least this far apart, so that
# engines that restart together stay below the store's rate.
MIN_MODEL_LOAD_INTERVAL_S = 2.5
# A restarted agent gives no order for this long: requests that its
# predecessor granted adapters to are unknown to it.
STARTUP_DELAY_S = 0.3
# Raise of a refused fence, milliseconds: clocks step by seconds.
FENCE_INCREMENT_MS = 30_000


class AdapterManager:
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
        self.engine_unreachable = False
        self.started_at_ms: int | None = None
        self.fence: int | None = None
        self.fence_refused = False
        self.service: table.Service | None = None
        self.instance_id = records.InstanceId("")
        self.requests = requests.AdapterRequests()
        # Model that the newest request named.
        self.requested_model = ""
        self.backlog = backlog.PrefillBacklog()
        self.wakeup = asyncio.Event()
        self.model_load_started_at = float("-inf")
        self.reported_at = float("-inf")
        # Order count at which an unanswered unload can still take effect,
        # by (model, adapter).
        self.unacknowledged_unloads: dict[slots.Key, int] = {}

    @property
    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    # Requests

    async def ensure_adapter(
        self, peer: link.Link, call: messages.EnsureAdapter
    ) -> messages.AdapterGrant:
        """Hold an adapter for a request, or say why not."""
        self.requested_model = call.model
        refusal = self.find_refusal((call.model, call.adapter))
        if refusal is not None:
            self.log_refusal(call, refusal)
            return refusal
        waiter = self.requests.add((peer, call.call_id), call, self.now)
        self.process_waiters()
        state = self.get_engine_state()
        if state is not None:
            self.requests.refuse_if_too_late(waiter, state, self.now)
        if not waiter.future.done():
            self.wakeup.set()
        try:
            async with asyncio.timeout_at(waiter.deadline):
                grant = await waiter.future
        except TimeoutError:
            # It may have been granted in the turn in which the wait ended.
            self.requests.discard(waiter)
            grant = messages.AdapterGrant(
                granted=False, reason="no slot came free in time"
            )
        if not grant.granted:
            self.log_refusal(call, grant)
        return grant

    def find_refusal(self, key: slots.Key) -> messages.AdapterGrant | None:
        """Return why an adapter cannot come for now, if that is known."""
        if self.engine_unreachable:
            return make_refusal("the engine does not answer")
        state = self.get_engine_state()
        if state is None:
            return None
        if not state.models:
            return make_refusal(
                "the engine loads its model", self.estimate_model_load_s()
            )
        if self.is_outdated_in_use(key, state):
            return make_refusal("an older version is still in use")
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
            granted=len(self.requests.get_adapters_in_use()),
            report_age=round(self.now - self.reported_at, 3),
            orders=self.fence is not None,
        )

    def is_outdated_in_use(
        self, key: slots.Key, state: slots.EngineState
    ) -> bool:
        """Tell whether running requests hold a newer version up."""
        if key not in self.requests.get_adapters_in_use():
            return False
        return key in state.adapters and not slots.is_current(
            key, state, self.requests.get_demand(self.now)
        )

    def release(self, peer: link.Link, call_id: int) -> None:
        """End a request's use of an adapter."""
        self.requests.release((peer, call_id), self.now)
        if self.requests.waiters:
            self.wakeup.set()

    def release_all(self, peer: link.Link) -> None:
        """End the uses of an entry that is gone.

        Its requests end too: the engine ends work whose caller is gone.
        """
        for call in self.requests.list_calls(peer):
            self.release(*call)

    def estimate_slot_wait_s(self, rank: int) -> float:
        """Return the expected wait of a priority for a slot, coarsely."""
        state = self.get_engine_state()
        if state is None:
            return 0.0
        return self.requests.estimate_slot_wait_s(rank, state)

    def process_waiters(self) -> None:
        """Grant what is held already, refuse who cannot be served."""
        state = self.get_engine_state()
        if state is None:
            return
        for waiter in self.requests.grant_loaded(state, self.now):
            self.backlog.add(waiter.request.prompt_tokens, self.now)
            self.log.write(
                "adapter_granted",
                id=waiter.request.request_id,
                adapter="/".join(waiter.key),
                waited=round(self.now - waiter.arrived_at, 3),
                waiting=len(self.requests.waiters),
                report_age=round(self.now - self.reported_at, 3),
            )
        self.requests.refuse_overdue(state, self.now)

    # Fences

    @property
    def can_order(self) -> bool:
        """Tell whether orders can be given now."""
        return self.fence is not None and not self.fence_refused

    def set_fence(self, fence: int) -> None:
        """Give orders with a fence from now on."""
        self.fence = fence
        self.fence_refused = False
        self.wakeup.set()
        self.log.write("fence_issued", fence=fence)

    def raise_fence(self, wall_s: float) -> None:
        """Use a fence from the time of day, above any refused one.

        A clock that was set back since an earlier start is the only way to
        a refusal; each one raises the fence by more than clocks step.
        """
        fence = int(wall_s * 1000)
        if self.fence is not None:
            fence = max(fence, self.fence) + FENCE_INCREMENT_MS
        self.set_fence(fence)

    # Belief

    def get_engine_state(self) -> slots.EngineState | None:
        """Return what the engine holds, if that is known."""
        report = self.report
        if report is None or self.service is None:
            return None
        if self.service.engine is None:
            return None
        return slots.EngineState(
            {
                (model.name, name): version
                for model in report.models
                for name, version in model.adapters.items()
            },
            set(report.loading),
            {model.name for model in report.models},
            self.service.engine.adapter_slots,
            set(self.unacknowledged_unloads),
        )

    # The loop

    async def run(self) -> None:
        """Read reports and give orders until cancelled."""
        await asyncio.sleep(STARTUP_DELAY_S)
        while True:
            busy = await self.run_once()
            pause = BUSY_POLL_INTERVAL_S if busy else IDLE_POLL_INTERVAL_S
            try:
                async with asyncio.timeout(pause):
                    await self.wakeup.wait()
            except TimeoutError:
                continue
            finally:
                self.wakeup.clear()
            # Let requests that arrive together be seen together.
            await asyncio.sleep(0)

    async def run_once(self) -> bool:
        """Read one report, give what orders it allows; tell if busy."""
        if not await self.refresh():
            return False
        self.process_waiters()
        for _ in range(slots.MAX_CONCURRENT_LOADS + 1):
            order = self.choose_order()
            if order is None or not await self.send_order(order):
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
                self.mark_engine_unreachable()
            return False
        if self.report is None:
            self.log.write(
                "engine_up",
                models=[model.name for model in report.models],
                orders=report.order_count,
            )
        if self.started_at_ms not in (None, report.started_at_ms):
            self.log.write("engine_restarted", born_ms=report.started_at_ms)
            self.requests.reset()
        self.started_at_ms = report.started_at_ms
        self.engine_unreachable = False
        self.report = report
        self.reported_at = self.now
        self.unacknowledged_unloads = {
            key: count
            for key, count in self.unacknowledged_unloads.items()
            if count == report.order_count
        }
        state = self.get_engine_state()
        if state is not None:
            self.requests.record_finished_loads(state, self.now)
        return True

    def mark_engine_unreachable(self) -> None:
        """Refuse who waits for an engine that does not answer."""
        self.report = None
        self.engine_unreachable = True
        for waiter in list(self.requests.waiters):
            self.requests.refuse(waiter, "the engine does not answer")

    def choose_order(self) -> engine.Order | None:
        """Return the next order, if one may be given."""
        state = self.get_engine_state()
        if state is None or not self.can_order:
            return None
        assert self.report is not None
        if not state.models:
            return self.choose_model()
        return slots.choose_order(state, self.requests.get_demand(self.now))

    def choose_model(self) -> engine.Order | None:
        """Return the order that gives an empty engine its model."""
        assert self.report is not None
        assert self.service is not None
        if self.report.busy or self.service.engine is None:
            return None
        if self.now - self.model_load_started_at < MIN_MODEL_LOAD_INTERVAL_S:
            return None
        fitting = [
            model
            for model in self.service.engine.models
            if model.weights_mb <= self.service.engine.weights_mb
        ]
        if not fitting:
            return None
        chosen = next(
            (m for m in fitting if m.name == self.requested_model), fitting[0]
        )
        self.model_load_started_at = self.now
        return engine.Order(engine.Operation.LOAD, chosen.name)

    def estimate_model_load_s(self) -> float:
        """Return the time until the model that is on its way is there."""
        if self.service is None or self.service.engine is None:
            return 0.0
        load_s = max((m.load_s for m in self.service.engine.models), default=0)
        return max(0.0, self.model_load_started_at + load_s - self.now)

    async def send_order(self, order: engine.Order) -> bool:
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
            self.unacknowledged_unloads[key] = signed.expected_order_count
        if reply is engine.Reply.STALE_FENCE:
            self.fence_refused = True
            return False
        if reply not in (engine.Reply.ACCEPTED, engine.Reply.HOLDS_ALREADY):
            return False
        key = (order.model, order.adapter)
        if order.operation is engine.Operation.UNLOAD:
            self.requests.record_unload(key)
        elif order.adapter:
            self.requests.record_load_start(key, self.now)
        return await self.refresh()


def make_refusal(
    reason: str, expected_s: float = 0.0
) -> messages.AdapterGrant:
    """Return a refusal."""
    return messages.AdapterGrant(
        granted=False, reason=reason, expected_wait_s=expected_s
    )
