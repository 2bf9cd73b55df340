"""Process of an entry, which forwards callers' requests to targets."""

import asyncio
import collections.abc
import dataclasses
import http
import pathlib
import random

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import announced_members
from hemlockkeel._internal.links import configurations as links_configurations
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.policy import credit
from hemlockkeel._internal.relay import adapters
from hemlockkeel._internal.relay import admission
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import connection_watch
from hemlockkeel._internal.relay import crashes
from hemlockkeel._internal.relay import forwarder
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import origin_directory
from hemlockkeel._internal.relay import quota_admission
from hemlockkeel._internal.relay import quotas
from hemlockkeel._internal.relay import rate_limits
from hemlockkeel._internal.relay import results
from hemlockkeel._internal.relay import shared_state
from hemlockkeel._internal.relay import speed_notices
from hemlockkeel._internal.relay import target_registry as registry_module
from hemlockkeel._internal.relay import target_speeds
from hemlockkeel._internal.relay import version_proofs
from hemlockkeel._internal.routes import budget
from hemlockkeel._internal.routes import codec
from hemlockkeel._internal.routes import reserve_share
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import event_process
from hemlockkeel._internal.utils import http_service
from hemlockkeel._internal.utils import process_budget
from hemlockkeel._internal.utils import supervision

HOUSEKEEPING_INTERVAL_S = 0.5
SILENCE_CHECK_INTERVAL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.02
# Time after SIGTERM until the load balancer sends new callers elsewhere: two
# failed checks a second apart, and part of one that was already on its way.
BALANCER_NOTICE_S = 2.75
# The process ends this long before the platform kills it.
STOP_MARGIN_S = 0.3
# Time in which the last responses are sent before the process ends.
FINAL_RESPONSES_S = 0.2


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry."""

    name: str
    data_centre: str
    host: str
    caller_port: int
    ready_port: int
    # Configured addresses of control members. The members that these announce
    # are connected to as well.
    control_addresses: frozenset[str]
    agent_port: int
    heartbeat_s: float
    # From SIGTERM until the process is killed, seconds.
    grace_s: float
    retry_limits: budget.RetryBudgetLimits
    # Whether no request with a revoked key may run later than `revoke_s`
    # after the revocation was acknowledged.
    strict_revoke: bool = False
    revoke_s: float = 5.0
    limits: process_budget.ProcessLimits = dataclasses.field(
        default_factory=process_budget.ProcessLimits
    )
    quota_tolerance: credit.Tolerance = credit.NO_TOLERANCE


class ControlListener(dialer.Listener):
    """Passes the messages of control members to an entry."""

    def __init__(self, entry: "EntryProcess") -> None:
        self.entry = entry
        # Members whose first list of versions has not arrived yet. It has
        # all of them, later ones only what changes.
        self.without_versions: set[str] = set()

    def on_connected(self, address: str, peer: link.Link) -> None:
        self.without_versions.add(address)
        self.entry.crashes.send_all(peer)

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        match message:
            case messages.RecordsUpdate():
                self.entry.on_records_update(message)
            case (
                messages.ConfigurationNotice() | messages.ConfigurationUpdate()
            ):
                self.entry.configuration_receiver.handle_message(peer, message)
            case messages.MembersUpdate():
                if peer.protocol < message.protocol:
                    self.on_first_update(peer, message)
                self.entry.on_members_update(address, message)
            case messages.VersionsUpdate():
                self.entry.adapter_client.record_versions(message)
                if address not in self.without_versions:
                    self.entry.crashes.handle_new_versions(message)
                self.without_versions.discard(address)
            case messages.RateLimitNotice():
                self.entry.on_rate_limit(message)
            case _:
                self.entry.on_target_notice(message)

    def on_first_update(
        self, peer: link.Link, message: messages.MembersUpdate
    ) -> None:
        """Record what a member understands that has just been connected."""
        peer.protocol = message.protocol
        self.entry.shared.origins.send_all(peer)
        if self.entry.shared.proofs is not None:
            self.entry.shared.proofs.wake()

    def on_disconnected(self, address: str) -> None:
        self.entry.shared.reserve_share.forget_member(address)
        self.entry.members.forget(address)


class AgentListener(dialer.Listener):
    """Passes the messages of agents to an entry."""

    def __init__(self, entry: "EntryProcess") -> None:
        self.entry = entry
        # Address of each agent's target, by the address of the agent.
        self.target_addresses: dict[str, str] = {}

    def on_connected(self, address: str, peer: link.Link) -> None:
        return

    def on_message(
        self, address: str, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        target = self.target_addresses.get(address, "")
        if isinstance(message, messages.LoadUpdate):
            now = asyncio.get_running_loop().time()
            self.entry.registry.update_agent_load(target, message, now)

    def on_disconnected(self, address: str) -> None:
        self.entry.registry.mark_agent_down(
            self.target_addresses.get(address, "")
        )


class EntryProcess(event_process.EventProcess, caller.RequestHandler):
    """Serves callers and keeps links to control members and agents."""

    def __init__(
        self,
        settings: EntrySettings,
        settings_path: pathlib.Path,
        read_settings: collections.abc.Callable[[pathlib.Path], EntrySettings],
        header_codec: header_codec.HeaderCodec,
        configurations: codec.ConfigurationCodec,
        log: event_log.EventLog,
    ) -> None:
        super().__init__(settings_path, log, settings.limits)
        self.settings = settings
        self.read_settings = read_settings
        self.configuration_receiver = (
            links_configurations.ConfigurationReceiver(
                configurations, log, self.apply_configuration
            )
        )
        self.stopping = False
        self.forwarders: set[forwarder.Forwarder] = set()
        self.members = announced_members.AnnouncedMembers()
        self.registry = registry_module.TargetRegistry(
            settings.heartbeat_s, self.budget
        )
        hello = messages.Hello(
            role="entry",
            name=settings.name,
            data_centre=settings.data_centre,
            protocol=messages.PROTOCOL,
        )
        self.control_links = dialer.DialerSet(
            hello, ControlListener(self), log
        )
        self.crashes = crashes.CrashMonitor(
            self.control_links, log, self.instruments, random.Random()
        )
        self.rate_limits = rate_limits.RateLimits(
            self.control_links,
            log,
            self.instruments,
            lambda: self.registry.entry_count,
            random.Random(),
        )
        self.quotas = quotas.Quotas(
            self.control_links,
            log,
            self.instruments,
            self.count_announced_entries,
            random.Random(),
            clock.SuspendAwareClock(),
            settings.quota_tolerance,
        )
        self.registry.on_added = self.rate_limits.handle_added
        self.speed_notices = speed_notices.SpeedNotices(
            self.control_links, self.registry, log
        )
        self.registry.on_measured = self.speed_notices.handle_measurement
        self.registry.on_crashed = self.crashes.handle_replaced
        self.agent_listener = AgentListener(self)
        self.agent_links = dialer.DialerSet(hello, self.agent_listener, log)
        self.adapter_client = adapters.AdapterClient(
            self.agent_links, settings.agent_port
        )
        self.speed_report = target_speeds.SpeedReport(log, self.instruments)
        self.connection_watches = connection_watch.ConnectionWatches(log)
        self.shared = shared_state.SharedState(
            self.registry,
            header_codec,
            self.adapter_client,
            self.crashes,
            self.rate_limits,
            log,
            self.instruments,
            random.Random(),
            settings.data_centre,
            settings.retry_limits,
            reserve_share.ReserveShare(settings.retry_limits.window_s),
            origin_directory.OriginDirectory(self.control_links, log),
            clock.SuspendAwareClock(),
            self.quotas,
        )
        self.caller_listener = http_service.HttpListener(
            self,
            self.budget,
            settings.limits.get_connections(process_budget.CALLER_SHARE),
        )
        self.ready_listener = http_service.HttpListener(
            http_service.ReadinessHandler(self.is_ready),
            self.budget,
            settings.limits.check_connections,
        )

    # Process

    async def start(self) -> None:
        # Before any request or configuration arrives.
        self.apply_revocation_settings()
        self.control_links.set_addresses(set(self.settings.control_addresses))
        await self.ready_listener.start(
            self.settings.host, self.settings.ready_port
        )
        await self.caller_listener.start(
            self.settings.host, self.settings.caller_port
        )
        loop = asyncio.get_running_loop()
        self.housekeeping_task = loop.create_task(
            supervision.keep_running(self.run_housekeeping, self.log)
        )
        self.silence_task = loop.create_task(
            supervision.keep_running(self.run_silence_checks, self.log)
        )

    async def stop(self) -> None:
        """Serve until callers have moved, then finish pending requests.

        New callers arrive until the load balancer has noticed. After that,
        requests that cannot end in time are refused, so that callers can
        retry them at another entry. Those that have not ended shortly before
        the process does get a final response.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.settings.grace_s - STOP_MARGIN_S
        self.stopping = True
        await asyncio.sleep(min(BALANCER_NOTICE_S, self.settings.grace_s / 2))
        self.shared.stops_at = ends_at - FINAL_RESPONSES_S
        self.caller_listener.close_idle()
        await self.wait_until_idle(self.shared.stops_at)
        self.give_up_requests()
        await self.wait_until_idle(ends_at)
        await self.caller_listener.finish(max(0.0, ends_at - loop.time()))
        self.log.write("drained", unfinished=self.caller_listener.count_busy())

    async def wait_until_idle(self, limit_at: float) -> None:
        """Wait until no request is in flight, or until a loop time."""
        loop = asyncio.get_running_loop()
        while self.caller_listener.count_busy() and loop.time() < limit_at:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def give_up_requests(self) -> None:
        """Let all requests that are not complete be answered now."""
        self.caller_listener.refuse_incomplete()
        for each in self.forwarders:
            each.give_up()

    def reload(self) -> None:
        self.settings = self.read_settings(self.settings_path)
        self.connect_control()
        self.apply_revocation_settings()

    def apply_revocation_settings(self) -> None:
        """Begin or end to ask for proofs, as the settings say."""
        proofs = self.shared.proofs
        if not self.settings.strict_revoke:
            if proofs is not None:
                proofs.stop()
            self.shared.proofs = None
            return
        if proofs is not None:
            proofs.revoke_s = self.settings.revoke_s
            return
        proofs = version_proofs.VersionProofs(
            self.control_links,
            self.configuration_receiver,
            self.log,
            self.instruments,
            self.shared.clock,
            self.settings.revoke_s,
            random.Random(),
        )
        if self.shared.configuration is not None:
            proofs.handle_version(self.shared.configuration.version)
        self.shared.proofs = proofs
        proofs.start()

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this entry."""
        return (
            not self.stopping
            and self.shared.configuration is not None
            and self.can_check_keys(self.shared.configuration)
        )

    def can_check_keys(self, configuration: table.Configuration) -> bool:
        """Return whether requests with keys will still be accepted soon."""
        return (
            configuration.organisations is None
            or self.shared.proofs is None
            or self.shared.proofs.is_recent()
        )

    async def run_housekeeping(self) -> None:
        """Expire targets, connections and suspicions periodically."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            self.registry.advance_contact(now, self.has_control_majority())
            self.registry.expire(now)
            self.speed_report.update(self.registry.targets.values(), now)
            self.crashes.probe_silent_targets(self.registry.targets.values())
            self.crashes.expire()
            self.shared.origins.expire()
            self.quotas.expire()
            self.connect_agents()
            self.watch_connections()

    async def run_silence_checks(self) -> None:
        """Find the engines whose instances do not answer pings any more.

        An engine is paused together with its agent, and says so by nothing
        else for as long as its connections are open.
        """
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            addresses = self.agent_listener.target_addresses
            silent = frozenset(
                addresses.get(agent, "")
                for agent in self.agent_links.list_silent(now)
            )
            if silent != self.registry.silent_addresses:
                self.registry.silent_addresses = silent
                self.log.write("silent_engines", addresses=sorted(silent))

    # Messages from control members

    def has_control_majority(self) -> bool:
        """Return whether a majority of the control members is connected."""
        connected = len(self.control_links.list_links())
        return connected > len(self.control_links.dialers) / 2

    def count_announced_entries(self) -> int:
        """Return the number of entries; 0 until a member announces it."""
        share = self.shared.reserve_share
        return share.get_entry_count() if share.announcements else 0

    def connect_control(self) -> None:
        """Maintain links to all known control members."""
        self.control_links.set_addresses(
            set(self.settings.control_addresses | self.members.addresses)
        )

    def on_members_update(
        self, address: str, message: messages.MembersUpdate
    ) -> None:
        """Store the control members and the number of entries."""
        known = self.members.addresses
        self.members.record(address, message.addresses)
        share = self.shared.reserve_share
        share.record_announcement(
            address,
            message.entries,
            len(message.addresses) or len(known),
            self.shared.clock.monotonic(),
        )
        self.registry.entry_count = share.get_entry_count()
        self.connect_control()
        addresses = self.members.addresses
        if addresses != known:
            self.log.write("control_members", addresses=sorted(addresses))

    def on_target_notice(self, message: messages.AnyMessage) -> None:
        """Pass on what other entries have noticed of targets."""
        match message:
            case messages.SpeedNotice():
                now = asyncio.get_running_loop().time()
                self.speed_notices.handle_notice(message, now)
            case messages.CrashReport():
                self.crashes.handle_report(message)
            case messages.CrashCleared():
                self.crashes.handle_cleared(message)

    def on_rate_limit(self, notice: messages.RateLimitNotice) -> None:
        """Apply a limit that a target has named to another entry."""
        target = self.registry.targets.get(records.InstanceId(notice.target))
        self.rate_limits.handle_notice(notice, target)

    def apply_configuration(self, configuration: table.Configuration) -> None:
        """Put a received configuration into force."""
        self.shared.configuration = configuration
        if self.shared.proofs is not None:
            self.shared.proofs.handle_version(configuration.version)
        self.quotas.handle_configuration(configuration.organisations)
        self.watch_connections()

    def watch_connections(self) -> None:
        """Identify the plain targets of the streams that may be resumed."""
        configuration = self.shared.configuration
        if configuration is None:
            return
        self.connection_watches.update(
            self.registry.targets.values(),
            configuration.resumable_services,
        )

    def on_records_update(self, message: messages.RecordsUpdate) -> None:
        """Merge announcements of targets and log changes of state."""
        changed = False
        for record, age_s in zip(message.records, message.ages_s, strict=True):
            changed_state = self.registry.merge(record, age_s)
            self.handle_announcement(record, age_s)
            if not changed_state:
                continue
            changed = True
            self.log.write("target_state", **records.describe(record))
        if changed:
            self.connect_agents()
            self.watch_connections()

    def handle_announcement(
        self, record: records.TargetRecord, age_s: float
    ) -> None:
        """Notice that a target still runs, if an announcement is news."""
        target = self.registry.targets.get(record.instance_id)
        if target is None or target.record is not record:
            return
        if record.state is not records.TargetState.GONE:
            heard_at = asyncio.get_running_loop().time() - age_s
            self.crashes.handle_announcement(target, heard_at)
            self.connection_watches.handle_announcement(target, heard_at)

    def connect_agents(self) -> None:
        """Maintain a link to the agent of each engine."""
        targets = {
            self.adapter_client.get_agent_address(target.record.address): (
                target.record.address
            )
            for target in self.registry.targets.values()
            if target.engine is not None
        }
        self.agent_listener.target_addresses = targets
        self.agent_links.set_addresses(set(targets))

    # Methods of `caller.RequestHandler`

    def get_limits(self) -> table.RequestLimits:
        configuration = self.shared.configuration
        return configuration.limits if configuration else table.RequestLimits()

    def is_stopping(self) -> bool:
        return self.stopping

    def on_request_rejected(self, status: int, reason: str) -> None:
        if status == http.HTTPStatus.UNAUTHORIZED:
            cause = results.Cause.UNAUTHENTICATED.value
            self.instruments.answers.labels("none", "401", cause).inc()
            self.log.write("request_unauthenticated", reason=reason)
            return
        self.instruments.answers.labels(
            "none", str(int(status)), "unreadable"
        ).inc()
        self.log.write("request_unreadable", status=status, reason=reason)

    def check_head(self, request: caller.CallerRequest) -> None:
        admission.check_head(self.shared, request)

    async def handle_request(
        self,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        work = forwarder.Forwarder(self.shared, connection, request)
        self.forwarders.add(work)
        try:
            await work.run()
        except Exception as error:
            work.handle_error(error)
            raise
        finally:
            self.forwarders.discard(work)
            quota_admission.settle(work.context)

    def on_connection_closed(
        self, connection: caller.CallerConnection
    ) -> None:
        return
