"""Keeps an engine's adapters in step with the requests that need them."""

import asyncio
import dataclasses
import itertools

from hemlockkeel._internal.announced import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.orders import backlog
from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.orders import slots
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import event_log

# Between reports while an order is under way, and otherwise.
BUSY_REPORT_S = 0.03
CALM_REPORT_S = 0.1
# Two model loads at one engine are at least this far apart, so that
# engines that restart together stay below the store's rate.
MODEL_LOAD_GAP_S = 2.5
# Adapters whose last use is remembered.
MAX_REMEMBERED = 4096
# A restarted agent gives no order for this long: requests that its
# predecessor granted adapters to are unknown to it.
QUIET_START_S = 0.3
# How long a request holds its adapter before any was measured, seconds, and
# the weight of each measurement in the average.
FIRST_HELD_S = 1.0
HELD_WEIGHT = 0.05
SLOT_WAIT_GRAIN_S = 0.1
# Priorities that are told apart, and the largest share of slots that higher
# ones are reckoned to take.
PRIORITY_RANKS = 3
MAX_OVERTAKEN = 0.75
# Raise of a refused fence, milliseconds: clocks step by seconds.
FENCE_STEP_MS = 30_000


@dataclasses.dataclass
class Waiter:
    """A request that waits for an adapter."""

    key: slots.Key
    # Link and number of the call that waits.
    call: tuple[link.Link, int]
    priority: int
    prompt_tokens: int
    number: int
    future: asyncio.Future[messages.AdapterGrant]


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
        self.fence: int | None = None
        self.fence_refused = False
        self.service: table.Service | None = None
        self.instance_id = records.InstanceId("")
        self.newest: dict[slots.Key, int] = {}
        self.waiters: list[Waiter] = []
        self.numbers = itertools.count()
        self.grants: dict[tuple[link.Link, int], slots.Key] = {}
        self.granted_at: dict[tuple[link.Link, int], float] = {}
        # How long requests hold their adapters, seconds, on average.
        self.held_s = FIRST_HELD_S
        # Share of grants by priority.
        self.grant_shares = [0.0] * PRIORITY_RANKS
        self.used_at: dict[slots.Key, float] = {}
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
        key = (call.model, call.adapter)
        waiter = Waiter(
            key,
            (peer, call.call_id),
            call.priority,
            call.prompt_tokens,
            next(self.numbers),
            asyncio.get_running_loop().create_future(),
        )
        if self.is_outdated_in_use(key):
            return messages.AdapterGrant(
                granted=False, reason="an older version is still in use"
            )
        self.waiters.append(waiter)
        self.serve_waiters()
        if not waiter.future.done():
            self.wake.set()
        try:
            async with asyncio.timeout(call.wait_s):
                grant = await waiter.future
        except TimeoutError:
            # It may have been granted in the turn in which the wait ended.
            self.grants.pop(waiter.call, None)
            self.granted_at.pop(waiter.call, None)
            grant = messages.AdapterGrant(
                granted=False, reason="no slot came free in time"
            )
            self.log.write(
                "adapter_not_granted",
                adapter=f"{call.model}/{call.adapter}",
                waiting=len(self.waiters),
                granted=len(set(self.grants.values())),
                report_age=round(self.now - self.reported_at, 3),
                orders=self.fence is not None,
            )
        if waiter in self.waiters:
            self.waiters.remove(waiter)
        return grant

    def is_outdated_in_use(self, key: slots.Key) -> bool:
        """Tell whether running requests hold a newer version up."""
        holding = self.get_holding()
        if holding is None or key not in self.grants.values():
            return False
        return key in holding.adapters and not slots.is_current(
            key, holding, self.get_demand()
        )

    def release(self, peer: link.Link, call_id: int) -> None:
        """End a request's use of an adapter."""
        key = self.grants.pop((peer, call_id), None)
        if key is not None:
            self.note_use(key)
            held_s = self.now - self.granted_at.pop((peer, call_id))
            self.held_s += HELD_WEIGHT * (held_s - self.held_s)
        for waiter in self.waiters:
            if waiter.call == (peer, call_id) and not waiter.future.done():
                waiter.future.set_result(
                    messages.AdapterGrant(
                        granted=False, reason="not needed any more"
                    )
                )
        if self.waiters:
            self.wake.set()

    def release_all(self, peer: link.Link) -> None:
        """End the uses of an entry that is gone.

        Its requests end too: the engine ends work whose caller is gone.
        """
        calls = [waiter.call for waiter in self.waiters]
        for held_by, call_id in [*self.grants, *calls]:
            if held_by is peer:
                self.release(peer, call_id)

    def expect_slot_s(self, rank: int) -> float:
        """Return the expected wait of a priority for a slot, coarsely.

        Requests of a higher priority that come later overtake; the share of
        slots that they take lengthens the wait as in a priority queue.
        """
        holding = self.get_holding()
        if holding is None or not holding.adapter_slots:
            return 0.0
        used = set(self.grants.values()) | holding.coming
        used |= {w.key for w in self.waiters if w.priority <= rank}
        beyond = len(used) + 1 - holding.adapter_slots
        if beyond <= 0:
            return 0.0
        wait_s = beyond * self.held_s / holding.adapter_slots
        overtaken = min(MAX_OVERTAKEN, sum(self.grant_shares[:rank]))
        wait_s /= 1.0 - overtaken
        return round(wait_s / SLOT_WAIT_GRAIN_S) * SLOT_WAIT_GRAIN_S

    def note_grant(self, waiter: Waiter) -> None:
        """Measure which priorities get the slots."""
        granted = min(waiter.priority, PRIORITY_RANKS - 1)
        for rank in range(PRIORITY_RANKS):
            hit = float(rank == granted)
            self.grant_shares[rank] += HELD_WEIGHT * (
                hit - self.grant_shares[rank]
            )

    def note_use(self, key: slots.Key) -> None:
        """Remember when an adapter was used last."""
        self.used_at.pop(key, None)
        self.used_at[key] = self.now
        while len(self.used_at) > MAX_REMEMBERED:
            del self.used_at[next(iter(self.used_at))]

    def serve_waiters(self) -> None:
        """Grant what is held already."""
        holding = self.get_holding()
        if holding is None:
            return
        demand = self.get_demand()
        for waiter in list(self.waiters):
            if not slots.is_current(waiter.key, holding, demand):
                continue
            self.waiters.remove(waiter)
            if not waiter.future.done():
                self.grants[waiter.call] = waiter.key
                self.granted_at[waiter.call] = self.now
                self.note_grant(waiter)
                self.backlog.add(waiter.prompt_tokens, self.now)
                self.note_use(waiter.key)
                waiter.future.set_result(
                    messages.AdapterGrant(
                        granted=True, version=holding.adapters[waiter.key]
                    )
                )

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
            set(report.coming),
            {model.name for model in report.models},
            self.service.engine.adapter_slots,
            set(self.unanswered),
        )

    def get_demand(self) -> slots.Demand:
        """Return what requests need."""
        ordered = sorted(
            self.waiters, key=lambda waiter: (waiter.priority, waiter.number)
        )
        waiting = [
            waiter.key for waiter in ordered if not waiter.future.done()
        ]
        return slots.Demand(
            list(dict.fromkeys(waiting)),
            set(self.grants.values()),
            self.used_at,
            self.newest,
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
        return bool(self.waiters or self.report.coming or self.report.busy)

    async def refresh(self) -> bool:
        """Read the engine's report; tell whether that went well."""
        try:
            report = await self.client.read_report()
        except (OSError, ValueError, TimeoutError) as fault:
            if self.report is not None:
                self.log.write("engine_lost", reason=str(fault))
            self.report = None
            return False
        if self.report is None:
            self.log.write(
                "engine_up",
                models=[model.name for model in report.models],
                orders=report.order_count,
            )
        elif report.born_ms != self.report.born_ms:
            self.log.write("engine_restarted", born_ms=report.born_ms)
        self.report = report
        self.reported_at = self.now
        self.unanswered = {
            key: count
            for key, count in self.unanswered.items()
            if count == report.order_count
        }
        return True

    def choose_order(self) -> engine.Order | None:
        """Return the next order, if one may be given."""
        holding = self.get_holding()
        if holding is None or not self.may_order:
            return None
        assert self.report is not None
        if not holding.models:
            return self.choose_model()
        return slots.choose_order(holding, self.get_demand())

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
        wanted = {waiter.key[0] for waiter in self.waiters}
        chosen = next((m for m in fitting if m.name in wanted), fitting[0])
        self.model_loaded_at = self.now
        return engine.Order(engine.Operation.LOAD, chosen.name)

    async def give(self, order: engine.Order) -> bool:
        """Give an order; tell whether another may follow at once."""
        assert self.report is not None
        assert self.fence is not None
        signed = engine.SignedOrder(
            order,
            self.holder,
            self.fence,
            self.report.order_count,
            self.instance_id,
        )
        reply = await self.client.give_order(signed)
        self.log.write(
            "order",
            operation=order.operation.value,
            model=order.model,
            adapter=order.adapter,
            version=order.version,
            fence=self.fence,
            expected=signed.expected_count,
            reply=reply.value,
        )
        if (
            reply is engine.Reply.UNKNOWN
            and order.operation is engine.Operation.UNLOAD
        ):
            key = (order.model, order.adapter)
            self.unanswered[key] = signed.expected_count
        if reply is engine.Reply.STALE_FENCE:
            self.fence_refused = True
            return False
        if reply not in (engine.Reply.ACCEPTED, engine.Reply.HOLDS_ALREADY):
            return False
        if order.operation is engine.Operation.LOAD and order.adapter:
            self.note_use((order.model, order.adapter))
        return await self.refresh()
