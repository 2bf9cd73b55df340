"""The entry process: callers in front, targets behind."""

import asyncio
import collections.abc
import dataclasses
import pathlib
import random

from hemlockkeel._internal.announced import records
from hemlockkeel._internal.links import configurations as links_configurations
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.relay import adapters
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import crashes
from hemlockkeel._internal.relay import fleet as fleet_module
from hemlockkeel._internal.relay import forwarder
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import knowledge
from hemlockkeel._internal.routes import budget
from hemlockkeel._internal.routes import codec
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import event_process
from hemlockkeel._internal.utils import http_service

HOUSEKEEPING_S = 0.5
# From SIGTERM until the balancer has moved new callers elsewhere: two
# missed checks a second apart, and one on the way.
BALANCER_NOTICE_S = 3.0
# End of the wait for answers in flight, before the platform kills.
STOP_MARGIN_S = 0.3


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry."""

    name: str
    data_centre: str
    host: str
    front_port: int
    ready_port: int
    # Addresses of control members for links.
    control: frozenset[str]
    agent_port: int
    heartbeat_s: float
    # From SIGTERM until the process is killed, seconds.
    grace_s: float
    retry_bound: budget.BudgetBound


class ControlListener(dialer.Listener):
    """Takes what control members tell an entry."""

    def __init__(self, entry: "EntryProcess") -> None:
        self.entry = entry

    def on_connected(self, address: str, peer: link.Link) -> None:
        return

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        match message:
            case messages.RecordsUpdate():
                self.entry.take_records(message)
            case (
                messages.ConfigurationNotice() | messages.ConfigurationUpdate()
            ):
                self.entry.configurations.handle_message(peer, message)
            case messages.MembersUpdate():
                self.entry.take_members(address, message)
            case messages.CrashReport():
                self.entry.crashes.take_report(message)
            case messages.CrashCleared():
                self.entry.crashes.take_cleared(message)

    def on_disconnected(self, address: str) -> None:
        self.entry.entry_counts.pop(address, None)


class AgentListener(dialer.Listener):
    """Takes what agents tell an entry."""

    def __init__(self, entry: "EntryProcess") -> None:
        self.entry = entry
        # Address of the target beside each agent.
        self.targets: dict[str, str] = {}

    def on_connected(self, address: str, peer: link.Link) -> None:
        return

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        target = self.targets.get(address, "")
        if isinstance(message, messages.LoadUpdate):
            now = asyncio.get_running_loop().time()
            self.entry.fleet.note_agent_load(target, message, now)

    def on_disconnected(self, address: str) -> None:
        self.entry.fleet.note_agent_down(self.targets.get(address, ""))


class EntryProcess(event_process.EventProcess, caller.RequestHandler):
    """Answers callers."""

    def __init__(
        self,
        settings: EntrySettings,
        settings_path: pathlib.Path,
        read_settings: collections.abc.Callable[[pathlib.Path], EntrySettings],
        header_codec: header_codec.HeaderCodec,
        configurations: codec.ConfigurationCodec,
        log: event_log.EventLog,
    ) -> None:
        super().__init__(settings_path, log)
        self.settings = settings
        self.read_settings = read_settings
        self.configurations = links_configurations.ConfigurationReceiver(
            configurations, log, self.take_configuration
        )
        self.leaving = False
        self.entry_counts: dict[str, int] = {}
        self.known_control: frozenset[str] = frozenset()
        self.fleet = fleet_module.Fleet(settings.heartbeat_s)
        hello = messages.Hello(
            role="entry",
            name=settings.name,
            data_centre=settings.data_centre,
        )
        self.control = dialer.DialerSet(hello, ControlListener(self), log)
        self.crashes = crashes.CrashWatch(self.control, log)
        self.agent_listener = AgentListener(self)
        self.agents = dialer.DialerSet(hello, self.agent_listener, log)
        self.grants = adapters.AdapterGrants(self.agents, settings.agent_port)
        self.knowledge = knowledge.Knowledge(
            self.fleet,
            header_codec,
            self.grants,
            self.crashes,
            log,
            self.instruments,
            random.Random(),
            settings.data_centre,
            settings.retry_bound,
            asyncio.get_running_loop().time(),
        )
        self.front = http_service.HttpListener(self)
        self.ready = http_service.HttpListener(
            http_service.ReadyService(self.is_ready)
        )

    # Process

    async def start(self) -> None:
        self.control.set_addresses(set(self.settings.control))
        await self.ready.start(self.settings.host, self.settings.ready_port)
        await self.front.start(self.settings.host, self.settings.front_port)
        self.keeper = asyncio.get_running_loop().create_task(self.keep())

    async def stop(self) -> None:
        """Serve on until callers have moved, then finish what is left.

        Callers come for as long as the balancer knows of no other entry; what
        cannot end in time is refused then, so that it can go elsewhere.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.settings.grace_s - STOP_MARGIN_S
        self.leaving = True
        await asyncio.sleep(min(BALANCER_NOTICE_S, self.settings.grace_s / 2))
        self.knowledge.stops_at = ends_at
        self.front.close_idle()
        while self.front.count_busy() and loop.time() < ends_at:
            await asyncio.sleep(0.02)
        self.front.stop_listening()
        self.log.write("drained", unfinished=self.front.count_busy())

    def reload(self) -> None:
        self.settings = self.read_settings(self.settings_path)
        self.dial_control()

    def is_ready(self) -> bool:
        """Tell whether this entry takes callers."""
        return not self.leaving and self.knowledge.configuration is not None

    async def keep(self) -> None:
        """Forget what is old."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            now = asyncio.get_running_loop().time()
            self.fleet.advance(now, self.is_in_contact())
            self.fleet.expire(now)
            self.crashes.expire()
            self.dial_agents()

    # What control members tell

    def is_in_contact(self) -> bool:
        """Tell whether most control members can be heard."""
        up = len(self.control.links())
        return up > len(self.control.dialers) / 2

    def dial_control(self) -> None:
        """Keep links to all control members that are known."""
        self.control.set_addresses(
            set(self.settings.control) | set(self.known_control)
        )

    def take_members(
        self, address: str, message: messages.MembersUpdate
    ) -> None:
        """Learn the control members and how many entries there are."""
        self.entry_counts[address] = message.entries
        self.fleet.entries = max(1, *self.entry_counts.values())
        known = frozenset(message.addresses)
        if known != self.known_control:
            self.known_control = known
            self.log.write("control_members", addresses=sorted(known))
            self.dial_control()

    def take_configuration(self, configuration: table.Configuration) -> None:
        """Use a configuration from now on."""
        self.knowledge.configuration = configuration

    def take_records(self, message: messages.RecordsUpdate) -> None:
        """Take announcements of targets."""
        changed = False
        for record, age_s in zip(message.records, message.ages_s, strict=True):
            if not self.fleet.merge(record, age_s):
                continue
            changed = True
            self.log.write("target_state", **records.describe(record))
        if changed:
            self.dial_agents()

    def dial_agents(self) -> None:
        """Keep a link to the agent beside each engine."""
        wanted = {
            self.grants.get_agent_address(target.record.address): (
                target.record.address
            )
            for target in self.fleet.targets.values()
            if target.engine is not None
        }
        self.agent_listener.targets = wanted
        self.agents.set_addresses(set(wanted))

    # What callers' connections ask

    def get_limits(self) -> table.Limits:
        configuration = self.knowledge.configuration
        return configuration.limits if configuration else table.Limits()

    def is_stopping(self) -> bool:
        return self.leaving

    def on_request_rejected(self, status: int, reason: str) -> None:
        self.instruments.answers.labels(
            "none", str(int(status)), "unreadable"
        ).inc()
        self.log.write("request_unreadable", status=status, reason=reason)

    async def handle_request(
        self,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        await forwarder.Forwarder(self.knowledge, connection, request).run()

    def on_connection_closed(
        self, connection: caller.CallerConnection
    ) -> None:
        return
