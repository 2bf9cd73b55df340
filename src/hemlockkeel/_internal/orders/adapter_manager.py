"""Loads and unloads an engine's adapters as requests need them."""

import asyncio
import collections.abc

import msgspec

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.orders import requests
from hemlockkeel._internal.orders import slots
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import event_log

# Intervals between reports while requests wait or the engine carries out
# orders, and otherwise.
BUSY_POLL_INTERVAL_S = 0.03
IDLE_POLL_INTERVAL_S = 0.1
# Minimum time between model loads at one engine, so that engines that
# restart together do not exceed the rate of the weight store.
MIN_MODEL_LOAD_INTERVAL_S = 2.5
# A restarted agent sends no orders for this long, as it does not know which
# adapters the previous process had granted.
STARTUP_DELAY_S = 0.3
# Increment of a refused fencing token, which is a time of day. It is larger
# than one adjustment of a clock, which is a matter of seconds.
FENCE_INCREMENT_MS = 30_000
# Time without orders of another agent after which an agent that was replaced
# gives orders again. The other one may have ended without a successor.
DEPOSED_PAUSE_S = 10.0


class AdapterManager:
    """Grants an engine's adapters to requests and sends it orders."""

    def __init__(
        self,
        client: engine.EngineClient,
        holder: str,
        log: event_log.EventLog,
    ) -> None:
        self.client = client
        self.holder = holder
        # Called with the cause of each load of an adapter.
        self.on_load: collections.abc.Callable[[requests.LoadCause], None] = (
            ignore_load
        )
        self.log = log
        self.report: engine.Report | None = None
        # Whether the engine has stopped responding after an earlier report.
        self.engine_unreachable = False
        # Start of the engine's process, milliseconds since the epoch.
        self.started_at_ms: int | None = None
        # Fencing token of the agent; None until it has one.
        self.fence: int | None = None
        self.fence_refused = False
        # Whether the engine has taken orders with the token.
        self.fence_accepted = False
        # Whether the engine refuses orders with lower tokens than it has had
        # since its start, so that this agent may increase its own.
        self.engine_enforces_fencing = True
        # Loop time until which another agent gives the engine orders.
        self.deposed_until = float("-inf")
        self.service: table.Service | None = None
        self.instance_id = records.InstanceId("")
        self.requests = requests.AdapterRequests()
        # Model of the most recent request.
        self.requested_model = ""
        self.backlog = backlog.PrefillBacklog()
        self.wakeup = asyncio.Event()
        self.model_load_started_at = float("-inf")
        self.reported_at = float("-inf")
        # For unload orders without a reply, the order count that they
        # expect: they can take effect while the engine reports this count.
        self.unacknowledged_unloads: dict[slots.AdapterKey, int] = {}

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    # Requests

    async def ensure_adapter(
        self, peer: link.Link, call: messages.EnsureAdapter
    ) -> messages.AdapterGrant:
        """Wait until an adapter is loaded and grant it to a request.

        Returns a refusal if that does not happen in time, or is not expected
        to happen in time.
        """
        self.requested_model = call.model
        # The entry may have heard of it first, as after a start of the agent.
        self.requests.record_version(
            (call.model, call.adapter), call.newest_version
        )
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
            async with asyncio.timeout_at(waiter.deadline_at):
                grant = await waiter.future
        except TimeoutError:
            # The adapter may have been granted in the same iteration of the
            # event loop in which the wait timed out.
            self.requests.discard(waiter)
            grant = messages.AdapterGrant(
                granted=False,
                reason="no adapter slot became free in time",
                loading=self.is_loading(waiter.key),
            )
        if not grant.granted:
            self.log_refusal(call, grant)
        return msgspec.structs.replace(
            grant, started_at_ms=self.started_at_ms or 0
        )

    def is_loading(self, key: slots.AdapterKey) -> bool:
        """Return whether the engine is loading or has just loaded an adapter.

        A request that asks again then gets it soon.
        """
        state = self.get_engine_state()
        if state is None or not self.can_order or self.is_leaving:
            return False
        return key in state.loading or slots.is_current(
            key, state, self.requests.get_demand(self.now)
        )

    def find_refusal(
        self, key: slots.AdapterKey
    ) -> messages.AdapterGrant | None:
        """Return a refusal if an adapter cannot be loaded now, or None."""
        if self.engine_unreachable:
            return make_refusal("the engine does not answer")
        if self.is_deposed:
            return make_refusal("another agent gives the engine orders")
        if self.is_leaving:
            return make_refusal("the engine is leaving")
        state = self.get_engine_state()
        if state is None:
            return None
        if not state.models:
            return make_refusal(
                "the engine is loading its model", self.estimate_model_load_s()
            )
        if self.is_update_blocked(key, state):
            return make_refusal(
                "running requests still use an older version of the adapter"
            )
        return None

    def log_refusal(
        self, call: messages.EnsureAdapter, grant: messages.AdapterGrant
    ) -> None:
        """Log a refusal and the state that led to it."""
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

    def is_update_blocked(
        self, key: slots.AdapterKey, state: slots.EngineState
    ) -> bool:
        """Return whether users of an older version block an update."""
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
        """Release all adapters of an entry that has disconnected.

        Its requests no longer use them, as an engine aborts requests whose
        client has disconnected.
        """
        for key in self.requests.list_call_keys(peer):
            self.release(*key)

    def estimate_slot_wait_s(self, rank: int) -> float:
        """Return the expected wait for a slot, seconds.

        ``rank`` is the priority rank of the request that would wait.
        """
        state = self.get_engine_state()
        if state is None:
            return 0.0
        return self.requests.estimate_slot_wait_s(rank, state)

    def process_waiters(self) -> None:
        """Grant loaded adapters; refuse requests that would be too late."""
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

    # Fencing tokens

    @property
    def can_order(self) -> bool:
        """Return whether the agent has a fencing token to send orders with.

        A token that the engine has refused does not count.
        """
        return self.fence is not None and not self.fence_refused

    @property
    def is_deposed(self) -> bool:
        """Return whether another agent gives the engine orders."""
        return self.now < self.deposed_until

    @property
    def needs_fence(self) -> bool:
        """Return whether the agent is to get another fencing token now."""
        if self.is_deposed:
            return False
        return self.fence is None or self.fence_refused

    def record_refused_fence(self) -> None:
        """Give no orders for now if a later agent has taken over.

        The agent's first orders may be refused after a clock was set back.
        Later ones are refused only because another agent has given some.
        """
        self.fence_refused = True
        if not self.fence_accepted:
            return
        self.deposed_until = self.now + DEPOSED_PAUSE_S
        self.log.write("agent_deposed", fence=self.fence)
        self.refuse_all("another agent gives the engine orders")

    def set_fence(self, fence: int) -> None:
        """Use a fencing token in all orders from now on."""
        self.fence = fence
        self.fence_refused = False
        self.fence_accepted = False
        self.wakeup.set()
        self.log.write("fence_issued", fence=fence)

    def renew_fence(self, wall_s: float) -> None:
        """Use the time of day as fencing token, increased after a refusal.

        A token is refused only if the clock was set back since an earlier
        start of the agent. Each refusal increases the token by more than one
        adjustment of a clock.
        """
        fence = int(wall_s * 1000)
        if self.fence is not None:
            fence = max(fence, self.fence) + FENCE_INCREMENT_MS
        self.set_fence(fence)

    def advance_fence(self) -> None:
        """Outdate the orders that were sent to an earlier start of the engine.

        One without a reply may be carried out late, and the engine counts its
        orders anew. It refuses them once it has had a higher token. That of an
        agent which has taken over is higher by more.
        """
        self.unacknowledged_unloads.clear()
        if self.fence is not None and self.engine_enforces_fencing:
            self.fence += 1
            self.log.write("fence_advanced", fence=self.fence)

    # State of the engine

    def get_engine_state(self) -> slots.EngineState | None:
        """Return the engine's models and adapters; None if unknown."""
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

    # Control loop

    async def run(self) -> None:
        """Read reports and send orders until cancelled."""
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
            # Let requests that arrive together be processed together.
            await asyncio.sleep(0)

    async def run_once(self) -> bool:
        """Read a report and send the orders that are due.

        Returns whether the next report is due soon: while requests wait or
        the engine is carrying out orders.
        """
        if not await self.refresh():
            return False
        self.process_waiters()
        for _ in range(slots.MAX_CONCURRENT_LOADS + 1):
            order = self.choose_order()
            if order is None or not await self.send_order(order):
                break
        if self.report is None:
            # The engine was lost after an order.
            return False
        return bool(
            self.requests.waiters or self.report.loading or self.report.busy
        )

    async def refresh(self) -> bool:
        """Read the engine's report; return whether it was received."""
        try:
            report = await self.client.read_report()
        except (OSError, ValueError, TimeoutError) as error:
            if self.report is not None:
                self.log.write("engine_lost", reason=str(error))
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
            self.advance_fence()
        if report.leaving and not self.is_leaving:
            self.log.write("engine_leaving", born_ms=report.started_at_ms)
        if self.is_deposed and self.report is not None:
            if report.order_count != self.report.order_count:
                self.deposed_until = self.now + DEPOSED_PAUSE_S
        self.started_at_ms = report.started_at_ms
        self.engine_unreachable = False
        self.report = report
        if report.leaving:
            self.refuse_all("the engine is leaving")
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
        """Discard the engine's report and refuse all waiting requests."""
        self.report = None
        self.engine_unreachable = True
        self.refuse_all("the engine does not answer")

    @property
    def is_leaving(self) -> bool:
        """Return whether the engine has said that it is leaving."""
        return self.report is not None and self.report.leaving

    def refuse_all(self, reason: str) -> None:
        """Refuse all waiting requests, which may try another target."""
        for waiter in list(self.requests.waiters):
            self.requests.refuse(waiter, reason)

    def choose_order(self) -> engine.Order | None:
        """Return the next order; None if none is due or allowed."""
        state = self.get_engine_state()
        if state is None or not self.can_order or self.is_leaving:
            return None
        assert self.report is not None
        if not state.models:
            return self.choose_model()
        return slots.choose_order(state, self.requests.get_demand(self.now))

    def choose_model(self) -> engine.Order | None:
        """Return an order to load a model into an empty engine.

        Of the models that fit into the engine's memory, it is the one that
        the latest request named, or else the first. Returns None if none
        fits, the engine is busy or the last load of a model is too recent.
        """
        assert self.report is not None
        assert self.service is not None
        if self.report.busy or self.service.engine is None:
            return None
        if self.now - self.model_load_started_at < MIN_MODEL_LOAD_INTERVAL_S:
            return None
        candidates = [
            model
            for model in self.service.engine.models
            if model.weights_mb <= self.service.engine.weights_mb
        ]
        if not candidates:
            return None
        chosen = next(
            (m for m in candidates if m.name == self.requested_model),
            candidates[0],
        )
        self.model_load_started_at = self.now
        return engine.Order(engine.Operation.LOAD, chosen.name)

    def estimate_model_load_s(self) -> float:
        """Return the expected time until the model is loaded, seconds."""
        if self.service is None or self.service.engine is None:
            return 0.0
        load_s = max((m.load_s for m in self.service.engine.models), default=0)
        return max(0.0, self.model_load_started_at + load_s - self.now)

    async def send_order(self, order: engine.Order) -> bool:
        """Send an order; return whether the next one may be sent at once.

        That is so if the order was accepted and a new report was received.
        """
        assert self.report is not None
        assert self.fence is not None
        fenced = engine.FencedOrder(
            order,
            self.holder,
            self.fence,
            self.report.order_count,
            self.instance_id,
        )
        reply = await self.client.send_order(fenced)
        self.log.write(
            "order",
            operation=order.operation.value,
            model=order.model,
            adapter=order.adapter,
            version=order.version,
            fence=self.fence,
            expected=fenced.expected_order_count,
            reply=reply.value,
        )
        if (
            reply is engine.Reply.UNKNOWN
            and order.operation is engine.Operation.UNLOAD
        ):
            key = (order.model, order.adapter)
            self.unacknowledged_unloads[key] = fenced.expected_order_count
        if reply is engine.Reply.STALE_FENCE:
            self.record_refused_fence()
            return False
        if reply is not engine.Reply.UNKNOWN:
            self.fence_accepted = True
        if reply not in (engine.Reply.ACCEPTED, engine.Reply.HOLDS_ALREADY):
            return False
        key = (order.model, order.adapter)
        if order.operation is engine.Operation.UNLOAD:
            self.requests.record_unload(key)
        elif order.adapter:
            self.on_load(
                self.requests.find_load_cause(key, order.version or 0)
            )
            self.requests.record_load_start(key, self.now)
        return await self.refresh()


def ignore_load(cause: requests.LoadCause) -> None:
    """Do nothing about a load."""


def make_refusal(
    reason: str, expected_s: float = 0.0
) -> messages.AdapterGrant:
    """Return a refusal with a reason and the expected wait in seconds."""
    return messages.AdapterGrant(
        granted=False, reason=reason, expected_wait_s=expected_s
    )
