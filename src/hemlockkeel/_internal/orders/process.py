"""The agent process beside an engine."""

import asyncio
import collections.abc
import dataclasses
import pathlib
import time

import msgspec

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import configurations as links_configurations
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.links import server
from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.orders import keeper
from hemlockkeel._internal.orders import requests as orders_requests
from hemlockkeel._internal.orders import slots
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.routes import codec
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import event_process

# Between load updates to entries.
UPDATE_S = 0.15
# Changes smaller than these say nothing new: requests, and a share of the
# engine's memory.
RUNNING_GRAIN = 2
MEMORY_GRAIN = 1 / 16
PREFILL_GRAIN_TOKENS = 2000
FENCE_RETRY_S = 0.3
FENCE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class AgentSettings:
    """Settings of an agent."""

    name: str
    host: str
    link_port: int
    control: frozenset[str]
    # Address of the engine beside it.
    engine_address: str
    service: records.ServiceName
    data_centre: str
    # Whether engines refuse an older fence themselves.
    engines_check_fences: bool


class AgentProcess(event_process.EventProcess, server.Service):
    """Holds adapters at one engine for the entries' requests."""

    def __init__(
        self,
        settings: AgentSettings,
        settings_path: pathlib.Path,
        read_settings: collections.abc.Callable[[pathlib.Path], AgentSettings],
        client: engine.EngineClient,
        configurations: codec.ConfigurationCodec,
        log: event_log.EventLog,
    ) -> None:
        super().__init__(settings_path, log)
        self.settings = settings
        self.read_settings = read_settings
        self.configurations = links_configurations.ConfigurationReceiver(
            configurations, log, self.take_configuration
        )
        self.entries: set[link.Link] = set()
        self.last_update: messages.LoadUpdate | None = None
        self.known_control: frozenset[str] = frozenset()
        self.keeper = keeper.Keeper(client, settings.name, log)
        self.control = dialer.DialerSet(
            messages.Hello(
                role="agent",
                name=settings.name,
                data_centre=settings.data_centre,
                target_address=settings.engine_address,
            ),
            ControlListener(self),
            log,
        )
        self.links = server.LinkServer(self, log)

    # Process

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.dial_control()
        await self.links.start(self.settings.host, self.settings.link_port)
        self.tasks = [
            loop.create_task(self.keeper.run()),
            loop.create_task(self.update_entries()),
            loop.create_task(self.fetch_fences()),
        ]

    async def stop(self) -> None:
        """Stop; the engine keeps what it holds."""
        for task in self.tasks:
            task.cancel()

    def reload(self) -> None:
        self.settings = self.read_settings(self.settings_path)
        self.dial_control()

    def dial_control(self) -> None:
        """Keep links to all control members that are known."""
        self.control.set_addresses(
            set(self.settings.control) | set(self.known_control)
        )

    # What control members tell

    def take_control(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Take an update."""
        match message:
            case (
                messages.ConfigurationNotice() | messages.ConfigurationUpdate()
            ):
                self.configurations.handle_message(peer, message)
            case messages.VersionsUpdate():
                for model, adapter, version in message.versions:
                    key = (model, adapter)
                    known = self.keeper.requests.newest.get(key, 0)
                    self.keeper.requests.newest[key] = max(known, version)
                self.keeper.wake.set()
            case messages.RecordsUpdate():
                # The start that was heard last is the one that runs.
                for record, _ in sorted(
                    zip(message.records, message.ages_s, strict=True),
                    key=lambda pair: -pair[1],
                ):
                    self.take_record(record)
            case messages.MembersUpdate():
                self.known_control = frozenset(message.addresses)
                self.dial_control()

    def take_configuration(self, configuration: table.Configuration) -> None:
        """Learn what engines of the service are like."""
        service = configuration.services.get(self.settings.service)
        if service is not None:
            self.keeper.service = service

    def take_record(self, record: records.TargetRecord) -> None:
        """Learn which start of the engine is beside this agent."""
        if record.address != self.settings.engine_address:
            return
        if record.state is records.TargetState.GONE:
            return
        report = self.keeper.report
        if report is not None and report.started_at_ms not in (
            None,
            record.started_at_ms,
        ):
            return
        if record.instance_id != self.keeper.instance_id:
            self.log.write("engine_named", target=record.instance_id)
            self.keeper.instance_id = record.instance_id

    # Fences

    async def fetch_fences(self) -> None:
        """Get a fence at the start, and after one was refused.

        Only this agent orders its engine, so where engines check fences
        themselves the time of the start serves; elsewhere the number must
        be certain to grow, so control members issue it.
        """
        while True:
            if self.keeper.fence is None or self.keeper.fence_refused:
                if self.settings.engines_check_fences:
                    self.keeper.raise_fence(time.time())
                else:
                    await self.fetch_fence()
            await asyncio.sleep(FENCE_RETRY_S)

    async def fetch_fence(self) -> None:
        """Ask control members until one issues a fence."""
        command = msgspec.msgpack.encode(
            catalogue.IssueFence(self.settings.name)
        )
        for peer in self.control.list_links():
            try:
                outcome = await peer.call(
                    messages.Propose(command=command), FENCE_TIMEOUT_S
                )
            except (link.LinkClosedError, TimeoutError) as fault:
                self.log.write("fence_call_failed", reason=str(fault))
                continue
            if isinstance(outcome, messages.Outcome) and outcome.done:
                self.keeper.use_fence(outcome.index)
                return

    # Entries

    def on_hello(self, peer: link.Link) -> None:
        self.entries.add(peer)
        if self.last_update is not None:
            peer.send(self.last_update)

    def on_disconnected(self, peer: link.Link) -> None:
        self.entries.discard(peer)
        self.keeper.release_all(peer)

    def on_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        if isinstance(message, messages.ReleaseAdapter):
            self.keeper.release(peer, message.grant_call_id)

    async def on_call(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        if not isinstance(message, messages.EnsureAdapter):
            peer.send(messages.Outcome(call_id=message.call_id, done=False))
            return
        grant = await self.keeper.ensure(peer, message)
        if peer not in self.entries:
            self.keeper.release(peer, message.call_id)
            return
        peer.send(msgspec.structs.replace(grant, call_id=message.call_id))

    async def update_entries(self) -> None:
        """Tell entries the engine's load and adapters when they change."""
        while True:
            update = self.make_update()
            if update is not None and update != self.last_update:
                self.last_update = update
                for peer in self.entries:
                    peer.send(update)
            await asyncio.sleep(UPDATE_S)

    def make_update(self) -> messages.LoadUpdate | None:
        """Return the engine's load and adapters, if known."""
        if self.keeper.engine_lost:
            return make_lost_update()
        report = self.keeper.report
        holding = self.keeper.get_holding()
        if report is None or holding is None:
            return None
        requests = self.keeper.requests
        demand = requests.get_demand(self.keeper.now)
        return messages.LoadUpdate(
            running=report.running // RUNNING_GRAIN * RUNNING_GRAIN,
            queued=report.queued,
            kv_used=round_down(report.kv_used, report.kv_total),
            kv_total=report.kv_total,
            adapter_slots=holding.adapter_slots,
            loaded=group_by_model(
                key
                for key in holding.adapters
                if slots.is_current(key, holding, demand)
            ),
            loading=group_by_model(holding.coming),
            slot_waits_s=[
                self.keeper.expect_slot_s(rank)
                for rank in range(orders_requests.PRIORITY_RANKS)
            ],
            # Adapters cannot be loaded before their model.
            can_load=self.keeper.may_order and bool(holding.models),
            pending_prefill_tokens=int(
                self.keeper.backlog.get(self.keeper.now)
                // PREFILL_GRAIN_TOKENS
                * PREFILL_GRAIN_TOKENS
            ),
        )


def group_by_model(
    keys: collections.abc.Iterable[slots.Key],
) -> dict[str, list[str]]:
    """Return names of adapters by their model, in a stable order."""
    grouped: dict[str, list[str]] = {}
    for model, adapter in sorted(keys):
        grouped.setdefault(model, []).append(adapter)
    return grouped


def make_lost_update() -> messages.LoadUpdate:
    """Return what entries are told of an engine that does not answer."""
    return messages.LoadUpdate(
        running=0,
        queued=0,
        kv_used=0,
        kv_total=0,
        adapter_slots=0,
        loaded={},
        loading={},
        slot_waits_s=[],
        can_load=False,
    )


def round_down(used: int, total: int) -> int:
    """Return the use of an engine's memory in coarse steps."""
    step = max(1, int(total * MEMORY_GRAIN))
    return used // step * step


class ControlListener(dialer.Listener):
    """Takes what control members tell an agent."""

    def __init__(self, agent: AgentProcess) -> None:
        self.agent = agent

    def on_connected(self, address: str, peer: link.Link) -> None:
        return

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        self.agent.take_control(peer, message)

    def on_disconnected(self, address: str) -> None:
        return
