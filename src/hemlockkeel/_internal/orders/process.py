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
from hemlockkeel._internal.orders import adapter_manager
from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.orders import requests as orders_requests
from hemlockkeel._internal.orders import slots
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.routes import codec
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import event_process

# Between load updates to entries.
LOAD_UPDATE_INTERVAL_S = 0.15
# Changes smaller than these say nothing new: requests, and a share of the
# engine's memory.
RUNNING_STEP = 2
KV_STEP_SHARE = 1 / 16
PREFILL_STEP_TOKENS = 2000
FENCE_RETRY_INTERVAL_S = 0.3
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
    engine_checks_fences: bool


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
            configurations, log, self.apply_configuration
        )
        self.entries: set[link.Link] = set()
        self.last_update: messages.LoadUpdate | None = None
        self.control_members: frozenset[str] = frozenset()
        self.manager = adapter_manager.AdapterManager(
            client, settings.name, log
        )
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
            loop.create_task(self.manager.run()),
            loop.create_task(self.publish_load_updates()),
            loop.create_task(self.maintain_fence()),
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
            set(self.settings.control) | set(self.control_members)
        )

    # What control members tell

    def handle_control_message(
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
                    known = self.manager.requests.newest_versions.get(key, 0)
                    self.manager.requests.newest_versions[key] = max(
                        known, version
                    )
                self.manager.wakeup.set()
            case messages.RecordsUpdate():
                # The start that was heard last is the one that runs.
                for record, _ in sorted(
                    zip(message.records, message.ages_s, strict=True),
                    key=lambda pair: -pair[1],
                ):
                    self.handle_target_record(record)
            case messages.MembersUpdate():
                self.control_members = frozenset(message.addresses)
                self.dial_control()

    def apply_configuration(self, configuration: table.Configuration) -> None:
        """Learn what engines of the service are like."""
        service = configuration.services.get(self.settings.service)
        if service is not None:
            self.manager.service = service

    def handle_target_record(self, record: records.TargetRecord) -> None:
        """Learn which start of the engine is beside this agent."""
        if record.address != self.settings.engine_address:
            return
        if record.state is records.TargetState.GONE:
            return
        report = self.manager.report
        if report is not None and report.started_at_ms not in (
            None,
            record.started_at_ms,
        ):
            return
        if record.instance_id != self.manager.instance_id:
            self.log.write("engine_named", target=record.instance_id)
            self.manager.instance_id = record.instance_id

    # Fences

    async def maintain_fence(self) -> None:
        """Get a fence at the start, and after one was refused.

        Only this agent orders its engine, so where engines check fences
        themselves the time of the start serves; elsewhere the number must
        be certain to grow, so control members issue it.
        """
        while True:
            if self.manager.fence is None or self.manager.fence_refused:
                if self.settings.engine_checks_fences:
                    self.manager.raise_fence(time.time())
                else:
                    await self.fetch_fence()
            await asyncio.sleep(FENCE_RETRY_INTERVAL_S)

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
                self.manager.set_fence(outcome.index)
                return

    # Entries

    def on_hello(self, peer: link.Link) -> None:
        self.entries.add(peer)
        if self.last_update is not None:
            peer.send(self.last_update)

    def on_disconnected(self, peer: link.Link) -> None:
        self.entries.discard(peer)
        self.manager.release_all(peer)

    def on_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        if isinstance(message, messages.ReleaseAdapter):
            self.manager.release(peer, message.grant_call_id)

    async def on_call(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        if not isinstance(message, messages.EnsureAdapter):
            peer.send(messages.Outcome(call_id=message.call_id, done=False))
            return
        grant = await self.manager.ensure_adapter(peer, message)
        if peer not in self.entries:
            self.manager.release(peer, message.call_id)
            return
        peer.send(msgspec.structs.replace(grant, call_id=message.call_id))

    async def publish_load_updates(self) -> None:
        """Tell entries the engine's load and adapters when they change."""
        while True:
            update = self.make_load_update()
            if update is not None and update != self.last_update:
                self.last_update = update
                for peer in self.entries:
                    peer.send(update)
            await asyncio.sleep(LOAD_UPDATE_INTERVAL_S)

    def make_load_update(self) -> messages.LoadUpdate | None:
        """Return the engine's load and adapters, if known."""
        if self.manager.engine_unreachable:
            return make_unreachable_update()
        report = self.manager.report
        state = self.manager.get_engine_state()
        if report is None or state is None:
            return None
        requests = self.manager.requests
        demand = requests.get_demand(self.manager.now)
        return messages.LoadUpdate(
            running=report.running // RUNNING_STEP * RUNNING_STEP,
            queued=report.queued,
            kv_used=round_kv_used(report.kv_used, report.kv_total),
            kv_total=report.kv_total,
            adapter_slots=state.adapter_slots,
            loaded=group_by_model(
                key
                for key in state.adapters
                if slots.is_current(key, state, demand)
            ),
            loading=group_by_model(state.loading),
            slot_waits_s=[
                self.manager.estimate_slot_wait_s(rank)
                for rank in range(orders_requests.PRIORITY_RANKS)
            ],
            # Adapters cannot be loaded before their model.
            can_load=self.manager.can_order and bool(state.models),
            pending_prefill_tokens=int(
                self.manager.backlog.get(self.manager.now)
                // PREFILL_STEP_TOKENS
                * PREFILL_STEP_TOKENS
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


def make_unreachable_update() -> messages.LoadUpdate:
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


def round_kv_used(used: int, total: int) -> int:
    """Return the use of an engine's memory in coarse steps."""
    step = max(1, int(total * KV_STEP_SHARE))
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
        self.agent.handle_control_message(peer, message)

    def on_disconnected(self, address: str) -> None:
        return
