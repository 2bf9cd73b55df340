"""The process of an agent, which manages the adapters of one engine."""

import asyncio
import collections.abc
import dataclasses
import pathlib
import time

import msgspec

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import announced_members
from hemlockkeel._internal.links import configurations as links_configurations
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.links import server
from hemlockkeel._internal.orders import adapter_manager
from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.orders import publications
from hemlockkeel._internal.orders import requests as orders_requests
from hemlockkeel._internal.orders import slots
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.routes import codec
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import event_process
from hemlockkeel._internal.utils import process_budget
from hemlockkeel._internal.utils import supervision

# Interval between load updates to entries.
LOAD_UPDATE_INTERVAL_S = 0.15
# Values in load updates are rounded down to multiples of these, so that
# insignificant changes cause no update: running requests, a share of the KV
# cache, and prompt tokens.
RUNNING_STEP = 2
KV_STEP_SHARE = 1 / 16
PREFILL_STEP_TOKENS = 2000
FENCE_RETRY_INTERVAL_S = 0.3
FENCE_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class AgentSettings:
    """Settings of an agent."""

    name: str
    # Where the agent accepts links of entries.
    host: str
    link_port: int
    # Configured addresses of control members. The members that these announce
    # are connected to as well.
    control_addresses: frozenset[str]
    # Address of the engine that the agent manages.
    engine_address: str
    service: records.ServiceName
    data_centre: str
    # Whether the engine itself refuses orders with an older fencing token.
    engine_enforces_fencing: bool
    limits: process_budget.ProcessLimits = dataclasses.field(
        default_factory=process_budget.ProcessLimits
    )


class AgentProcess(event_process.EventProcess, server.Service):
    """Loads adapters at one engine for the requests of entries."""

    def __init__(
        self,
        settings: AgentSettings,
        settings_path: pathlib.Path,
        read_settings: collections.abc.Callable[[pathlib.Path], AgentSettings],
        client: engine.EngineClient,
        configurations: codec.ConfigurationCodec,
        log: event_log.EventLog,
    ) -> None:
        super().__init__(settings_path, log, settings.limits)
        self.settings = settings
        self.read_settings = read_settings
        self.configurations = links_configurations.ConfigurationReceiver(
            configurations, log, self.apply_configuration
        )
        self.entries: set[link.Link] = set()
        self.publications: publications.LoadPublications[link.Link] = (
            publications.LoadPublications()
        )
        self.members = announced_members.AnnouncedMembers()
        self.manager = adapter_manager.AdapterManager(
            client, settings.name, log
        )
        self.manager.on_load = self.count_load
        self.manager.engine_enforces_fencing = settings.engine_enforces_fencing
        self.control_links = dialer.DialerSet(
            messages.Hello(
                role="agent",
                name=settings.name,
                data_centre=settings.data_centre,
                target_address=settings.engine_address,
            ),
            ControlListener(self),
            log,
        )
        self.links = server.LinkServer(self, log, self.budget)

    def count_load(self, cause: orders_requests.LoadCause) -> None:
        """Count a load of an adapter by its cause."""
        self.instruments.adapter_loads.labels(cause.value).inc()

    # Process

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.connect_control()
        await self.links.start(self.settings.host, self.settings.link_port)
        self.tasks = [
            loop.create_task(supervision.keep_running(work, self.log))
            for work in (
                self.manager.run,
                self.publish_load_updates,
                self.maintain_fence,
            )
        ]

    async def stop(self) -> None:
        """Stop; the adapters of the engine stay loaded."""
        for task in self.tasks:
            task.cancel()

    def reload(self) -> None:
        self.settings = self.read_settings(self.settings_path)
        self.connect_control()

    def connect_control(self) -> None:
        """Connect to all control members, configured or announced."""
        self.control_links.set_addresses(
            set(self.settings.control_addresses | self.members.addresses)
        )

    # Messages of control members

    def handle_control_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        """Apply an update from the control member at an address."""
        match message:
            case (
                messages.ConfigurationNotice() | messages.ConfigurationUpdate()
            ):
                self.configurations.handle_message(peer, message)
            case messages.VersionsUpdate():
                for model, adapter, version in message.versions:
                    self.manager.requests.record_version(
                        (model, adapter), version
                    )
                self.manager.wakeup.set()
            case messages.RecordsUpdate():
                # The instance that announced itself last is the one that
                # runs, so its record is applied last.
                for record, _ in sorted(
                    zip(message.records, message.ages_s, strict=True),
                    key=lambda pair: -pair[1],
                ):
                    self.handle_target_record(record)
            case messages.MembersUpdate():
                self.members.record(address, message.addresses)
                self.connect_control()

    def apply_configuration(self, configuration: table.Configuration) -> None:
        """Use the configuration of the agent's service."""
        service = configuration.services.get(self.settings.service)
        if service is not None:
            self.manager.service = service

    def handle_target_record(self, record: records.TargetRecord) -> None:
        """Store the engine's instance id if a record belongs to the engine.

        A record with another start than the engine reports is ignored.
        """
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

    # Fencing tokens

    async def maintain_fence(self) -> None:
        """Get a fencing token at the start and after each refusal of one.

        Only this agent sends orders to the engine. If the engine enforces
        tokens, the time of day is therefore sufficient, since a token that
        is too low is refused. Otherwise the token must increase with
        certainty, so that control members issue it.
        """
        while True:
            if self.manager.needs_fence:
                if self.settings.engine_enforces_fencing:
                    self.manager.renew_fence(time.time())
                else:
                    await self.request_fence()
            await asyncio.sleep(FENCE_RETRY_INTERVAL_S)

    async def request_fence(self) -> None:
        """Ask control members in turn until one issues a fencing token."""
        command = msgspec.msgpack.encode(
            catalogue.IssueFence(self.settings.name)
        )
        for peer in self.control_links.list_links():
            try:
                outcome = await peer.call(
                    messages.Propose(command=command), FENCE_TIMEOUT_S
                )
            except (link.LinkClosedError, TimeoutError) as error:
                self.log.write("fence_call_failed", reason=str(error))
                continue
            if isinstance(outcome, messages.Outcome) and outcome.done:
                self.manager.set_fence(outcome.index)
                return

    # Entries

    def on_hello(self, peer: link.Link) -> None:
        self.entries.add(peer)
        self.publications.add_entry(peer, self.manager.now)
        if self.publications.latest is not None:
            peer.send(self.publications.latest)

    def on_disconnected(self, peer: link.Link) -> None:
        self.entries.discard(peer)
        self.publications.remove_entry(peer)
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
        self.publications.record_use(peer, self.manager.now)
        grant = await self.manager.ensure_adapter(peer, message)
        if peer not in self.entries:
            self.manager.release(peer, message.call_id)
            return
        peer.send(msgspec.structs.replace(grant, call_id=message.call_id))

    async def publish_load_updates(self) -> None:
        """Send the engine's load and adapters to entries on each change."""
        while True:
            update = self.make_load_update()
            if update is not None:
                grants = self.manager.requests.grants
                link.send_to_all(
                    self.publications.choose_entries(
                        update,
                        {peer for peer, _ in grants},
                        self.manager.now,
                    ),
                    update,
                )
            await asyncio.sleep(LOAD_UPDATE_INTERVAL_S)

    def make_load_update(self) -> messages.LoadUpdate | None:
        """Return the engine's load and adapters; None if unknown."""
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
            can_load=self.manager.can_order
            and bool(state.models)
            and not report.leaving,
            pending_prefill_tokens=int(
                self.manager.backlog.get(self.manager.now)
                // PREFILL_STEP_TOKENS
                * PREFILL_STEP_TOKENS
            ),
            leaving_started_at_ms=(report.started_at_ms or 0)
            if report.leaving
            else 0,
            started_at_ms=report.started_at_ms or 0,
        )


def group_by_model(
    keys: collections.abc.Iterable[slots.AdapterKey],
) -> dict[str, list[str]]:
    """Return the names of adapters by model, sorted.

    The order is stable so that equal updates compare equal.
    """
    grouped: dict[str, list[str]] = {}
    for model, adapter in sorted(keys):
        grouped.setdefault(model, []).append(adapter)
    return grouped


def make_unreachable_update() -> messages.LoadUpdate:
    """Return the load update for an engine that does not respond."""
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
    """Round the use of the KV cache down to a multiple of its step."""
    step = max(1, int(total * KV_STEP_SHARE))
    return used // step * step


class ControlListener(dialer.Listener):
    """Passes messages of control members to an agent."""

    def __init__(self, agent: AgentProcess) -> None:
        self.agent = agent

    def on_connected(self, address: str, peer: link.Link) -> None:
        return

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        self.agent.handle_control_message(address, peer, message)

    def on_disconnected(self, address: str) -> None:
        self.agent.members.forget(address)
