"""Control member process: operator calls, subscriptions and membership."""

import asyncio
import collections.abc
import concurrent.futures
import http
import os
import pathlib
import random

import msgspec

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages as consensus_messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.coordinator import api
from hemlockkeel._internal.coordinator import crash_reports
from hemlockkeel._internal.coordinator import credits
from hemlockkeel._internal.coordinator import decoding
from hemlockkeel._internal.coordinator import member_links
from hemlockkeel._internal.coordinator import membership
from hemlockkeel._internal.coordinator import rate_limits
from hemlockkeel._internal.coordinator import replicated_state
from hemlockkeel._internal.coordinator import sender
from hemlockkeel._internal.coordinator import settings as settings_module
from hemlockkeel._internal.coordinator import speed_notices
from hemlockkeel._internal.coordinator import stream_origins
from hemlockkeel._internal.coordinator import subscribers
from hemlockkeel._internal.coordinator import targets
from hemlockkeel._internal.coordinator import version_reads
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.links import server
from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import event_log
from hemlockkeel._internal.utils import event_process
from hemlockkeel._internal.utils import http_service
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import process_budget
from hemlockkeel._internal.utils import supervision

LEADER_CHECK_INTERVAL_S = 0.1
JOIN_INTERVAL_S = 0.5
# A member without contact to a majority for this long asks to join again.
REJOIN_AFTER_S = 2.0
# A part of the time for which a target may be silent.
RECORDS_INTERVAL_S = 0.3
MEMBERS_INTERVAL_S = 1.0
CATCH_UP_CHECK_INTERVAL_S = 0.05
# A member that hears of no leader for this long publishes the state that it
# has, longer than an election after a restart of all members.
PUBLISH_WITHOUT_LEADER_AFTER_S = 4.0
# Times that a member spends on its last answers and on its removal when it
# ends, a small part of the time that the platform gives it.
LAST_ANSWERS_S = 1.0
LEAVE_TIMEOUT_S = 2.0
LEAVE_RETRY_INTERVAL_S = 0.05
CONFIRMATION_CHECK_INTERVAL_S = 0.01
EXIT_DISK_FAILED = 4
DISK_PROBE_INTERVAL_S = 0.5
DISK_PROBE_BYTES = 4096
# Longer bodies are decoded in a thread, as the event loop also carries the
# heartbeats of consensus.
MAX_LOOP_DECODED_BYTES = 64 * 1024
API_LIMITS = table.RequestLimits(body_bytes=table.MAX_CONFIGURATION_BYTES)


class ControlProcess(
    event_process.EventProcess,
    http_service.SimpleRequestHandler,
    server.Service,
):
    """One control member.

    It serves the HTTP calls of operators and targets and the links of entries,
    agents and other members in one event loop. Consensus runs in a thread of
    `node.Node`.
    """

    def __init__(
        self,
        settings: settings_module.ControlSettings,
        settings_path: pathlib.Path,
        read_settings: collections.abc.Callable[
            [pathlib.Path], settings_module.ControlSettings
        ],
        call_codec: api.ApiCodec,
        log: event_log.EventLog,
    ) -> None:
        super().__init__(settings_path, log, settings.limits)
        self.settings = settings
        self.read_settings = read_settings
        self.call_codec = call_codec
        self.loop = asyncio.get_running_loop()
        self.clock = clock.SuspendAwareClock()
        self.stopping = False
        self.join_requests: dict[str, membership.JoinRequest] = {}
        # Address of the leader that a member named when this one asked to
        # join, or of one that took it for its predecessor; empty before.
        self.named_leader = ""
        self.is_publication_scheduled = False
        self.sender = sender.LinkSender(self.loop, settings.link_address)
        self.catalogue = catalogue.Catalogue(self.on_state_changed)
        self.subscribers = subscribers.Subscribers(
            self.catalogue, settings.data_centre, log
        )
        self.node = node.Node(
            settings.data_dir,
            settings.link_address,
            self.catalogue,
            self.sender,
            settings.timing,
            metrics.Metrics(),
            self.clock,
            initial_cluster=settings_module.make_initial_cluster(settings),
            log_event=self.log_consensus_event,
        )
        hello = messages.Hello(
            role="control",
            name=settings.name,
            data_centre=settings.data_centre,
        )
        self.peers = dialer.DialerSet(
            hello,
            member_links.MemberListener(
                lambda: self.registry.table,
                self.handle_raft_batch,
                lambda peer: self.crash_reports.send_all(
                    peer, self.loop.time()
                ),
                self.node.report_ended,
            ),
            log,
        )
        self.replicated_state = replicated_state.ReplicatedState(
            self.node, self.catalogue, self.peers, log
        )
        self.registry = targets.TargetRegistry(
            self.replicated_state, self.subscribers, log
        )
        self.crash_reports = crash_reports.CrashReports(
            self.subscribers, self.peers
        )
        self.rate_limits = rate_limits.RateLimits(
            self.subscribers, log, random.Random()
        )
        self.speed_notices = speed_notices.SpeedNotices(self.subscribers, log)
        self.stream_origins = stream_origins.StreamOrigins()
        self.version_reads = version_reads.VersionReads(
            self.replicated_state.read_version
        )
        self.sender.peers = self.peers
        self.sender.cluster_id = self.node.cluster_id
        self.api = http_service.HttpListener(
            self,
            self.budget,
            settings.limits.get_connections(process_budget.API_SHARE),
        )
        # A caller that leaves does not end the decoding of its body.
        self.decoding_memory = decoding.DecodingMemory(self.budget)
        self.decoder = concurrent.futures.ThreadPoolExecutor(1)
        self.credits = credits.Credits(
            self.node,
            self.catalogue,
            call_codec,
            self.decoder,
            self.clock,
            log,
            settings.quota_tolerance,
        )
        self.links = server.LinkServer(self, log, self.budget)

    # Process

    async def start(self) -> None:
        self.update_peer_addresses()
        await self.links.start(self.settings.host, self.settings.link_port)
        self.node.start()
        await self.api.start(self.settings.host, self.settings.api_port)
        self.tasks = [
            self.loop.create_task(supervision.keep_running(work, self.log))
            for work in (
                self.run_contact_loop,
                self.run_leader_loop,
                self.run_join_loop,
                self.run_publication,
                self.run_members_loop,
                self.run_records_loop,
            )
        ]
        self.log.write(
            "control_member",
            member=self.node.member_id,
            cluster=self.node.cluster_id,
            applied=self.node.applied_index,
            entries=len(self.node.core.log.entries),
            log_bytes=self.node.storage.log_bytes,
            least_voters=self.settings.vote_policy.least_voters,
        )

    async def stop(self) -> None:
        """Stop serving; acknowledged changes are already on disk."""
        self.stopping = True
        await self.api.finish(LAST_ANSWERS_S)
        self.api.close_idle()
        for task in self.tasks:
            task.cancel()
        await self.leave_cluster()
        self.peers.set_addresses(set())
        self.links.stop()
        self.decoder.shutdown(wait=False, cancel_futures=True)
        await asyncio.to_thread(self.node.stop)

    def reload(self) -> None:
        self.settings = self.read_settings(self.settings_path)
        self.update_peer_addresses()

    def update_peer_addresses(self) -> None:
        """Connect to all members, seeds and processes that want to join.

        The members are also those of the log that is not applied yet: after a
        restart it takes a quorum of them to apply it.
        """
        known = {
            peer.address
            for members in (self.catalogue.membership, self.node.membership)
            for peer in members.peers
        }
        known |= self.settings.seeds
        known |= {join.address for join in self.join_requests.values()}
        known |= {self.named_leader} - {""}
        self.peers.set_addresses(known - {self.settings.link_address})

    def log_consensus_event(self, event: str, **fields: object) -> None:
        """Log an event of the consensus thread in that of the loop."""
        self.loop.call_soon_threadsafe(lambda: self.log.write(event, **fields))

    def on_state_changed(self) -> None:
        """Schedule `publish_changes`; called in the consensus thread.

        Changes that are applied before it runs are published together.
        """
        if self.is_publication_scheduled:
            return
        self.is_publication_scheduled = True
        self.loop.call_soon_threadsafe(self.publish_changes)

    async def run_publication(self) -> None:
        """Publish the replicated state, and its changes once caught up."""
        await self.run_publication_start()
        while not self.node.has_caught_up():
            await asyncio.sleep(CATCH_UP_CHECK_INTERVAL_S)
        self.subscribers.start_following()

    async def run_publication_start(self) -> None:
        """Publish the replicated state once it is not that before the start.

        Without a leader, the state that there is is published after a while,
        as entries that know no configuration serve nothing.
        """
        while not (
            self.node.has_caught_up() or self.may_publish_without_leader()
        ):
            await asyncio.sleep(CATCH_UP_CHECK_INTERVAL_S)
        self.log.write(
            "publication_started",
            version=self.catalogue.state.version,
            caught_up=self.node.has_caught_up(),
        )
        self.subscribers.start_publishing()

    def may_publish_without_leader(self) -> bool:
        """Return whether there is a state, and no leader for a while."""
        silence_s = self.node.get_leader_silence_s()
        return (
            silence_s > PUBLISH_WITHOUT_LEADER_AFTER_S
            and self.catalogue.state.version > 0
        )

    def publish_changes(self) -> None:
        """Connect to new members and send changes to subscribers."""
        self.is_publication_scheduled = False
        self.update_peer_addresses()
        self.subscribers.push_changes()

    # Membership and disk

    async def run_contact_loop(self) -> None:
        """Keep in contact with the other members while the disk is busy."""
        while True:
            await asyncio.sleep(self.settings.timing.heartbeat_s)
            self.node.keep_contact()

    async def run_leader_loop(self) -> None:
        """Propose membership changes while leading.

        Ends the process if consensus has ended with an unexpected error.
        """
        while True:
            await asyncio.sleep(LEADER_CHECK_INTERVAL_S)
            if self.node.has_crashed:
                await self.wait_for_disk()
                return
            self.propose_membership_change()

    async def wait_for_disk(self) -> None:
        """After a failure, stop the process once the disk accepts writes.

        After a failed write the content of the disk is unknown, so the process
        has to restart and recover its state. Restarting before the disk works
        would only fail again.
        """
        self.log.write("disk_failed", reason=str(self.node.failed))
        probe = self.settings.data_dir / "probe.new"
        while True:
            await asyncio.sleep(DISK_PROBE_INTERVAL_S)
            try:
                await asyncio.to_thread(write_probe, probe)
            except OSError as error:
                self.log.write("disk_still_fails", reason=str(error))
                continue
            break
        self.exit_code = EXIT_DISK_FAILED
        self.stopped.set()

    def propose_membership_change(self) -> None:
        """Propose the next membership change if this member is the leader."""
        now = self.clock.monotonic()
        with self.node.lock:
            raft = self.node.core
            if raft.state is not core.State.LEADER:
                return
            if raft.has_pending_membership():
                return
            view = membership.LeaderView(
                raft.membership,
                self.node.member_id,
                membership.get_peer_states(raft),
                list(self.join_requests.values()),
                now,
                frozenset(raft.members.lost),
            )
        changed = membership.plan_change(view, self.settings.vote_policy)
        if changed is None:
            return
        self.log.write(
            "membership_change",
            before=[peer.member_id for peer in view.members.peers],
            after=[
                f"{peer.member_id}{'' if peer.voter else ' (learner)'}"
                for peer in changed.peers
            ],
        )
        self.node.propose(
            core.encode_membership(changed),
            consensus_messages.EntryKind.MEMBERSHIP,
        )

    async def run_join_loop(self) -> None:
        """Ask all peers to be added while there is no contact to a quorum."""
        while True:
            await asyncio.sleep(JOIN_INTERVAL_S)
            if self.node.has_quorum_contact(REJOIN_AFTER_S):
                continue
            call = messages.Join(
                member_id=self.node.member_id,
                address=self.settings.link_address,
            )
            for peer in self.peers.list_links():
                try:
                    reply = await peer.call(
                        call, replicated_state.CALL_TIMEOUT_S
                    )
                except (link.LinkClosedError, TimeoutError) as error:
                    self.log.write("join_failed", reason=str(error))
                    continue
                if isinstance(reply, messages.Outcome):
                    self.handle_join_reply(reply)

    def handle_join_reply(self, reply: messages.Outcome) -> None:
        """Join the cluster of a member; ask the leader that it names, too.

        Only the leader adds members, and the settings may not name it.
        """
        if reply.done:
            self.join_cluster(reply.cluster_id)
        if reply.leader and reply.leader != self.named_leader:
            self.connect_to_leader(reply.leader)

    def connect_to_leader(self, address: str) -> None:
        """Connect to the member that probably leads."""
        self.named_leader = address
        self.update_peer_addresses()

    async def leave_cluster(self) -> None:
        """Leave the cluster if it can bear more failures without this member.

        Gives up after `LEAVE_TIMEOUT_S`.
        """
        own_id = self.node.member_id
        current = self.node.core.membership
        policy = self.settings.vote_policy
        if membership.plan_leaving(current, own_id, policy) is None:
            self.log.write(
                "membership_kept",
                member=own_id,
                voters=len(current.voters),
                least_voters=policy.least_voters,
            )
            return
        call = messages.Join(
            member_id=own_id,
            address=self.settings.link_address,
            leaving=True,
        )
        started_at = self.loop.time()
        left = False
        while not left and self.loop.time() < started_at + LEAVE_TIMEOUT_S:
            left = await self.request_removal(call)
            await asyncio.sleep(0.0 if left else LEAVE_RETRY_INTERVAL_S)
        self.log.write(
            "cluster_left" if left else "cluster_not_left", member=own_id
        )

    async def request_removal(self, call: messages.Join) -> bool:
        """Ask the leader to remove this member; return whether it has."""
        if self.node.core.state is core.State.LEADER:
            return (await self.handle_leaving(call)).done
        outcome = await self.replicated_state.forward_to_leader(call)
        return outcome.done

    async def handle_leaving(self, message: messages.Join) -> messages.Outcome:
        """Remove a member that is about to end.

        ``done`` means that this is confirmed or that the member stays.
        """
        if not await self.wait_until_confirmed():
            return messages.Outcome(done=False)
        with self.node.lock:
            raft = self.node.core
            if raft.state is not core.State.LEADER:
                return messages.Outcome(done=False)
            current = raft.membership
        changed = membership.plan_leaving(
            current, message.member_id, self.settings.vote_policy
        )
        if changed is None:
            return messages.Outcome(done=True)
        self.join_requests.pop(message.member_id, None)
        applied = await self.replicated_state.propose_entry(
            core.encode_membership(changed),
            consensus_messages.EntryKind.MEMBERSHIP,
        )
        confirmed = applied.done and await self.wait_until_confirmed()
        self.log.write(
            "member_left",
            member=message.member_id,
            committed=applied.done,
            confirmed=confirmed,
        )
        return messages.Outcome(done=confirmed)

    async def wait_until_confirmed(self) -> bool:
        """Return whether the latest members are confirmed soon."""
        try:
            async with asyncio.timeout(replicated_state.CALL_TIMEOUT_S):
                while not self.node.core.members.is_confirmed:
                    await asyncio.sleep(CONFIRMATION_CHECK_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    def join_cluster(self, cluster_id: str) -> None:
        """Store the cluster that this member joins, unless it has one."""
        if self.node.cluster_id or not cluster_id:
            return
        self.node.join_cluster(cluster_id)
        self.sender.cluster_id = cluster_id
        self.log.write("cluster_joined", cluster=cluster_id)

    async def run_records_loop(self) -> None:
        """Send subscribers the repeated announcements of targets."""
        while True:
            await asyncio.sleep(RECORDS_INTERVAL_S)
            self.subscribers.flush_records(self.loop.time())

    async def run_members_loop(self) -> None:
        """Send subscribers the members and expire targets periodically."""
        while True:
            self.subscribers.send_to_all(
                self.subscribers.make_members_update()
            )
            await asyncio.sleep(MEMBERS_INTERVAL_S)
            now = self.loop.time()
            self.registry.table.expire(now)
            self.crash_reports.ledger.expire(now)
            self.stream_origins.table.expire(now)
            self.rate_limits.expire(now)
            self.credits.expire(self.clock.monotonic())

    def get_limits(self) -> table.RequestLimits:
        return API_LIMITS

    def is_stopping(self) -> bool:
        return self.stopping

    # Links from other processes

    def on_hello(self, peer: link.Link) -> None:
        self.log.write("link_up", role=peer.role, name=peer.name)
        if peer.role == "entry":
            # Before the configuration, without which it serves no request.
            self.crash_reports.send_all(peer, self.loop.time())
            self.rate_limits.send_all(peer)
            self.credits.entries.add(peer.name)
        if peer.role != "control":
            self.subscribers.add(peer, self.registry.table, self.loop.time())
        if peer.role == "entry":
            # Without the number of entries, it cannot use a quota alone.
            peer.send(self.subscribers.make_members_update())

    def on_disconnected(self, peer: link.Link) -> None:
        self.subscribers.remove(peer)
        if peer.role == "entry":
            self.credits.entries.remove(peer.name, self.clock.monotonic())

    def on_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        if isinstance(message, messages.RaftBatch):
            self.handle_raft_batch(peer, message)
        elif isinstance(message, messages.CrashReport):
            self.crash_reports.handle_report(message, self.loop.time())
        elif isinstance(message, messages.RateLimitNotice):
            self.rate_limits.handle_notice(message, self.loop.time())
        elif isinstance(message, messages.SpeedNotice):
            self.speed_notices.handle_notice(peer, message, self.loop.time())
        elif isinstance(message, messages.CrashCleared):
            self.crash_reports.handle_cleared(message)
        elif isinstance(message, messages.ShareRecord):
            self.registry.merge_shared(message)
        elif isinstance(message, messages.StreamsBegun):
            self.stream_origins.record(message, self.loop.time())
        elif isinstance(message, messages.FetchConfiguration):
            peer.send(self.subscribers.configuration_update)

    def handle_raft_batch(
        self, peer: link.Link, batch: messages.RaftBatch
    ) -> None:
        """Pass consensus messages to the consensus thread.

        Messages from another cluster are ignored, undecodable ones logged.
        """
        own = self.node.cluster_id
        if own and batch.cluster_id and batch.cluster_id != own:
            return
        for data in batch.data:
            try:
                message = consensus_messages.MESSAGE_DECODER.decode(data)
            except msgspec.DecodeError as error:
                self.log.write("consensus_message_bad", reason=str(error))
                continue
            if message.receiver == self.node.member_id:
                self.node.receive(message, batch.sender_address)
                continue
            self.answer_for_replaced(peer, message)
            if self.peers.get(self.named_leader) is None:
                # The members of the settings may all be gone.
                self.connect_to_leader(batch.sender_address)

    def answer_for_replaced(
        self, peer: link.Link, message: consensus_messages.AnyMessage
    ) -> None:
        """Tell who asks a former member at this address that it is gone.

        This process has another member id because it started on an empty
        disk, so that the former member will never vote again.
        """
        reply = consensus_messages.make_replaced_reply(message)
        if reply is None:
            return
        self.log.write(
            "vote_asked_of_replaced", member=reply.sender, by=reply.receiver
        )
        peer.send(
            messages.RaftBatch(
                sender_address=self.settings.link_address,
                cluster_id=self.node.cluster_id,
                data=[node.encode_message(reply)],
            )
        )

    async def on_call(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        outcome = await self.answer_entry(peer, message)
        if outcome is None:
            outcome = await self.answer_member(message)
        peer.send(msgspec.structs.replace(outcome, call_id=message.call_id))

    async def answer_entry(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> messages.AnyMessage | None:
        """Return the reply to a call of an entry; None for other calls."""
        match message:
            case messages.ConfirmVersion():
                return await self.version_reads.confirm()
            case messages.AcquireCredit():
                return await self.credits.issue(message)
            case messages.FindOrigin():
                return self.stream_origins.find(message, self.loop.time())
            case messages.AcquirePermit():
                return self.rate_limits.issue_permit(
                    peer, message, self.loop.time()
                )
        return None

    async def answer_member(
        self, message: messages.AnyMessage
    ) -> messages.Outcome:
        """Return the reply to a call of a member or an agent."""
        match message:
            case messages.Propose():
                return await self.replicated_state.propose_local(
                    message.command
                )
            case messages.Read(version_only=True):
                return await self.replicated_state.read_applied_version(
                    version_reads.READ_TIMEOUT_S
                )
            case messages.Read():
                return await self.replicated_state.read_local()
            case messages.Join(leaving=True):
                return await self.handle_leaving(message)
            case messages.Join():
                return self.handle_join(message)
            case messages.ShareRecord():
                self.registry.merge_shared(message)
                return messages.Outcome(done=True)
        return messages.Outcome(done=False)

    def handle_join(self, message: messages.Join) -> messages.Outcome:
        """Record that a process wants to become a member.

        The leader adds the process later. The reply carries the id of this
        member's cluster, is ``done`` if it belongs to one, and names the
        leader.
        """
        if message.member_id not in self.join_requests:
            self.log.write(
                "join_requested",
                member=message.member_id,
                address=message.address,
            )
        self.join_requests[message.member_id] = membership.JoinRequest(
            message.member_id, message.address, self.clock.monotonic()
        )
        self.update_peer_addresses()
        return messages.Outcome(
            done=bool(self.node.cluster_id),
            cluster_id=self.node.cluster_id,
            leader=self.node.get_leader_address(),
        )

    # HTTP calls of operators and targets

    async def handle_request(
        self,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        begun = self.loop.time()
        method = request.method.decode("latin-1")
        try:
            call = await self.decode_call(method, request)
            api.check_encodable(call)
            status, body = await self.execute_call(call)
            name = type(call).__name__
        except api.BadCallError as error:
            status, body = error.status, f"{error}\n".encode()
            name = f"{method} {request.path}"
        kind = (
            b"application/json"
            if status == http.HTTPStatus.OK
            else (b"text/plain")
        )
        connection.send_response(status, [(b"Content-Type", kind)], body)
        self.instruments.answers.labels("control", str(int(status)), "").inc()
        if status == http.HTTPStatus.OK and isinstance(call, api.Announce):
            return
        self.log.write(
            "call_answered",
            call=name,
            status=int(status),
            version=self.catalogue.state.version,
            unapplied=self.node.count_unapplied(),
            reason="" if status == http.HTTPStatus.OK else body.decode(),
            seconds=round(self.loop.time() - begun, 4),
        )

    async def decode_call(
        self, method: str, request: caller.CallerRequest
    ) -> api.Call:
        """Decode a call, the large ones one at a time.

        :raises BadCallError: when it is invalid.
        """
        arguments = method, request.path, request.body
        if len(request.body) <= MAX_LOOP_DECODED_BYTES:
            return self.call_codec.decode(*arguments)
        async with self.decoding_memory.reserve(request.body):
            return await self.loop.run_in_executor(
                self.decoder, self.call_codec.decode, *arguments
            )

    async def execute_call(self, call: api.Call) -> tuple[int, bytes]:
        """Execute a call; return the status and body of the response."""
        match call:
            case api.PutConfiguration():
                return await self.commit_command(
                    catalogue.PutConfiguration(call.version, call.body)
                )
            case api.NameVersion():
                return await self.commit_command(
                    catalogue.NameVersion(
                        call.model, call.adapter, call.version
                    )
                )
            case api.ReadConfiguration():
                return await self.read_configuration()
            case api.Announce():
                acknowledged = await self.registry.announce(call.record)
            case api.Withdraw():
                acknowledged = await self.registry.withdraw(call.instance_id)
        if not acknowledged:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"no majority\n"
        return http.HTTPStatus.OK, b"{}"

    async def commit_command(
        self, command: catalogue.Command
    ) -> tuple[int, bytes]:
        """Commit a change; acknowledge it once a majority has it on disk."""
        if await self.replicated_state.propose(command) is None:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"no majority\n"
        return http.HTTPStatus.OK, b"{}"

    async def read_configuration(self) -> tuple[int, bytes]:
        """Return the newest configuration.

        The status is 503 if there is none or no leader can be reached.
        """
        outcome = await self.replicated_state.read()
        if not outcome.done:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"no majority\n"
        if not outcome.data:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"none yet\n"
        return http.HTTPStatus.OK, outcome.data


def write_probe(path: pathlib.Path) -> None:
    """Write, sync and delete a small file to check that the disk works.

    :raises OSError: when the disk does not accept the write.
    """
    with path.open("wb") as stream:
        stream.write(bytes(DISK_PROBE_BYTES))
        stream.flush()
        os.fsync(stream.fileno())
    path.unlink()
