"""A control member on an event loop: calls, updates and membership."""

import asyncio
import collections.abc
import concurrent.futures
import dataclasses
import http
import os
import pathlib
import zlib

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.announced import records
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages as consensus_messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.coordinator import api
from hemlockkeel._internal.coordinator import membership
from hemlockkeel._internal.coordinator import sender
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

LEADER_STEP_S = 0.2
JOIN_EVERY_S = 0.5
# A member outside of contact this long asks to be taken in again.
LONELY_AFTER_S = 2.0
# A call's whole time here; callers move on after a second.
CALL_TIMEOUT_S = 0.9
# Contact with a majority that a heartbeat's acknowledgement needs.
HEARTBEAT_CONTACT_S = 2.0
# Contact that the acknowledgement of a leaving target needs.
LEAVING_CONTACT_S = 1.5
MEMBERS_EVERY_S = 1.0
FORGET_TARGETS_S = 60.0
EXIT_DISK_FAILED = 4
DISK_RETRY_S = 0.5
PROBE_BYTES = 4096
# Operators send whole configurations: thousands of routes fit.
API_LIMITS = table.Limits(body_bytes=16 * 1024 * 1024)


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Settings of a control member."""

    name: str
    data_centre: str
    host: str
    # Port of operators' and targets' calls.
    api_port: int
    # Port of links; the same at every member.
    link_port: int
    data_dir: pathlib.Path
    # Addresses of control members for links.
    seeds: frozenset[str]
    bootstrap: bool
    timing: core.Timing

    @property
    def link_address(self) -> str:
        """Return where other processes dial this member."""
        return f"{self.host}:{self.link_port}"


def write_probe(path: pathlib.Path) -> None:
    """Write and sync a small file.

    :raises OSError: when the disk refuses.
    """
    with path.open("wb") as stream:
        stream.write(bytes(PROBE_BYTES))
        stream.flush()
        os.fsync(stream.fileno())
    path.unlink()


def pack(
    state: catalogue.CatalogueState,
) -> messages.ConfigurationUpdate:
    """Return a configuration as it is sent to subscribers."""
    return messages.ConfigurationUpdate(
        version=state.version, packed=zlib.compress(state.body)
    )


def make_founding(settings: ControlSettings) -> node.Founding | None:
    """Return the cluster that the seeds found; None for a later member."""
    if not settings.bootstrap or settings.link_address not in settings.seeds:
        return None
    seeds = sorted(settings.seeds)
    return node.Founding(
        "control-" + settings.link_address,
        "cluster-" + ",".join(seeds),
        tuple(
            consensus_messages.Peer("control-" + seed, seed) for seed in seeds
        ),
    )


class ControlProcess(
    event_process.EventProcess,
    http_service.PlainService,
    server.Service,
):
    """One control member."""

    def __init__(
        self,
        settings: ControlSettings,
        settings_path: pathlib.Path,
        read_settings: collections.abc.Callable[
            [pathlib.Path], ControlSettings
        ],
        calls: api.ApiCodec,
        log: event_log.EventLog,
    ) -> None:
        super().__init__(settings_path, log)
        self.settings = settings
        self.read_settings = read_settings
        self.calls = calls
        self.loop = asyncio.get_running_loop()
        self.clock = clock.SuspendAwareClock()
        self.targets = records.Table(FORGET_TARGETS_S)
        self.subscribers: set[link.Link] = set()
        self.wishes: dict[str, membership.Wish] = {}
        self.leading_since = 0.0
        self.pushed_version = 0
        self.packed = messages.ConfigurationUpdate(version=0, packed=b"")
        self.pushed_adapters: dict[tuple[str, str], int] = {}
        self.sender = sender.LinkSender(self.loop, settings.link_address)
        self.catalogue = catalogue.Catalogue(self.on_change)
        self.node = node.Node(
            settings.data_dir,
            settings.link_address,
            self.catalogue,
            self.sender,
            settings.timing,
            metrics.Metrics(),
            self.clock,
            founding=make_founding(settings),
        )
        hello = messages.Hello(
            role="control",
            name=settings.name,
            data_centre=settings.data_centre,
        )
        self.peers = dialer.DialerSet(hello, dialer.QuietListener(), log)
        self.sender.peers = self.peers
        self.sender.cluster_id = self.node.cluster_id
        self.api = http_service.HttpListener(self)
        self.links = server.LinkServer(self, log)

    # Process

    async def start(self) -> None:
        self.dial_peers()
        await self.links.start(self.settings.host, self.settings.link_port)
        self.node.start()
        await self.api.start(self.settings.host, self.settings.api_port)
        self.tasks = [
            self.loop.create_task(self.lead()),
            self.loop.create_task(self.join()),
            self.loop.create_task(self.tell_members()),
        ]
        self.log.write(
            "control_member",
            member=self.node.member_id,
            cluster=self.node.cluster_id,
            applied=self.node.applied_index,
        )

    async def stop(self) -> None:
        """Stop; what is acknowledged is on disk already."""
        self.api.stop_listening()
        self.api.close_idle()
        for task in self.tasks:
            task.cancel()
        self.peers.set_addresses(set())
        self.links.stop()
        await asyncio.to_thread(self.node.stop)

    def reload(self) -> None:
        self.settings = self.read_settings(self.settings_path)
        self.dial_peers()

    def dial_peers(self) -> None:
        """Keep links to all members and seeds."""
        known = {peer.address for peer in self.catalogue.membership.peers}
        known |= self.settings.seeds
        known |= {wish.address for wish in self.wishes.values()}
        self.peers.set_addresses(known - {self.settings.link_address})

    # Changes of the replicated state

    def on_change(self) -> None:
        """Learn of a change; called in the consensus thread."""
        self.loop.call_soon_threadsafe(self.push_changes)

    def push_changes(self) -> None:
        """Tell subscribers what has changed."""
        self.dial_peers()
        state = self.catalogue.state
        if state.version > self.pushed_version:
            self.pushed_version = state.version
            self.packed = pack(state)
            for peer in self.subscribers:
                self.offer_configuration(peer)
            self.log.write(
                "configuration_committed",
                version=state.version,
                subscribers=len(self.subscribers),
            )
        self.push_versions()

    def push_versions(self) -> None:
        """Tell subscribers versions of adapters that are new."""
        fresh = []
        for model, adapter, version in self.catalogue.list_versions():
            if self.pushed_adapters.get((model, adapter)) == version:
                continue
            self.pushed_adapters[model, adapter] = version
            fresh.append((model, adapter, version))
            self.log.write(
                "version_committed",
                model=model,
                adapter=adapter,
                version=version,
            )
        if fresh:
            self.tell(messages.VersionsUpdate(versions=fresh))

    def offer_configuration(self, peer: link.Link) -> None:
        """Send the configuration, or to another data centre its version.

        A subscriber gets it from the nearest member that way, and from any
        other if that one is late.
        """
        if peer.data_centre == self.settings.data_centre:
            peer.send(self.packed)
            return
        peer.send(messages.ConfigurationNotice(version=self.packed.version))

    def tell(self, message: messages.AnyMessage) -> None:
        """Send to every subscriber."""
        for peer in self.subscribers:
            peer.send(message)

    def tell_record(self, record: records.TargetRecord) -> None:
        """Send an announcement to those who want it."""
        update = messages.RecordsUpdate(records=[record])
        for peer in self.subscribers:
            if peer.target_address in ("", record.address):
                peer.send(update)

    # Leading

    async def lead(self) -> None:
        """Keep the membership right while leading; watch the disk."""
        while True:
            await asyncio.sleep(LEADER_STEP_S)
            if self.node.failed is not None:
                await self.wait_for_disk()
                return
            self.change_membership()

    async def wait_for_disk(self) -> None:
        """After a failed write, end once the disk takes writes again.

        What is on disk is unknown then, so the state must be read anew; a
        restart before the disk works would only fail again.
        """
        self.log.write("disk_failed", reason=str(self.node.failed))
        probe = self.settings.data_dir / "probe.new"
        while True:
            await asyncio.sleep(DISK_RETRY_S)
            try:
                await asyncio.to_thread(write_probe, probe)
            except OSError as fault:
                self.log.write("disk_still_fails", reason=str(fault))
                continue
            break
        self.exit_code = EXIT_DISK_FAILED
        self.stopped.set()

    def change_membership(self) -> None:
        """Propose the next change of members, if one is due."""
        now = self.clock.monotonic()
        with self.node.lock:
            raft = self.node.core
            if raft.state is not core.State.LEADER:
                self.leading_since = 0.0
                return
            if not self.leading_since:
                self.leading_since = now
            if raft.has_pending_membership():
                return
            states = {
                member_id: membership.PeerState(
                    progress.acked_at,
                    raft.log.last_index - progress.match
                    if progress.match
                    else None,
                )
                for member_id, progress in raft.progress.items()
            }
            current = raft.membership
        changed = membership.plan(
            current,
            self.node.member_id,
            states,
            list(self.wishes.values()),
            self.leading_since,
            now,
        )
        if changed is None:
            return
        self.log.write(
            "membership_change",
            before=[peer.member_id for peer in current.peers],
            after=[
                f"{peer.member_id}{'' if peer.voter else ' (learner)'}"
                for peer in changed.peers
            ],
        )
        self.node.propose(
            core.make_membership_entry(changed),
            consensus_messages.EntryKind.MEMBERSHIP,
        )

    async def join(self) -> None:
        """Ask to be a member while no leader is heard."""
        while True:
            await asyncio.sleep(JOIN_EVERY_S)
            if self.node.is_in_contact(LONELY_AFTER_S):
                continue
            call = messages.Join(
                member_id=self.node.member_id,
                address=self.settings.link_address,
            )
            for peer in self.peers.links():
                try:
                    reply = await peer.call(call, CALL_TIMEOUT_S)
                except (link.LinkClosedError, TimeoutError) as fault:
                    self.log.write("join_failed", reason=str(fault))
                    continue
                if isinstance(reply, messages.Outcome) and reply.done:
                    self.adopt_cluster(reply.cluster_id)

    def adopt_cluster(self, cluster_id: str) -> None:
        """Belong to a cluster from now on."""
        if self.node.cluster_id or not cluster_id:
            return
        self.node.join_cluster(cluster_id)
        self.sender.cluster_id = cluster_id
        self.log.write("cluster_joined", cluster=cluster_id)

    async def tell_members(self) -> None:
        """Tell subscribers the members, again and again."""
        while True:
            self.tell(self.make_members())
            await asyncio.sleep(MEMBERS_EVERY_S)
            self.targets.forget_old(self.loop.time())

    def make_members(self) -> messages.MembersUpdate:
        """Return the members and the number of entries."""
        entries = {
            peer.name for peer in self.subscribers if peer.role == "entry"
        }
        return messages.MembersUpdate(
            addresses=[
                peer.address for peer in self.catalogue.membership.peers
            ],
            entries=len(entries),
        )

    def get_limits(self) -> table.Limits:
        return API_LIMITS

    # Links that other processes dial

    def on_hello(self, peer: link.Link) -> None:
        self.log.write("link_up", role=peer.role, name=peer.name)
        if peer.role == "control":
            return
        self.subscribers.add(peer)
        if self.packed.version:
            self.offer_configuration(peer)
        peer.send(
            messages.VersionsUpdate(versions=self.catalogue.list_versions())
        )
        wanted = [
            record
            for record in self.targets.by_id.values()
            if peer.target_address in ("", record.address)
        ]
        peer.send(messages.RecordsUpdate(records=wanted))
        self.tell(self.make_members())

    def on_gone(self, peer: link.Link) -> None:
        self.subscribers.discard(peer)

    def on_message(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        if isinstance(message, messages.RaftBatch):
            self.take_raft(message)
        elif isinstance(message, messages.FetchConfiguration):
            peer.send(self.packed)

    def take_raft(self, batch: messages.RaftBatch) -> None:
        """Hand consensus messages to the member's thread."""
        own = self.node.cluster_id
        if own and batch.cluster_id and batch.cluster_id != own:
            return
        for data in batch.data:
            try:
                message = consensus_messages.MESSAGE_DECODER.decode(data)
            except msgspec.DecodeError as fault:
                self.log.write("consensus_message_bad", reason=str(fault))
                continue
            if message.receiver == self.node.member_id:
                self.node.receive(message, batch.sender_address)

    async def on_call(
        self, peer: link.Link, message: messages.AnyMessage
    ) -> None:
        match message:
            case messages.Propose():
                outcome = await self.propose_here(message.command)
            case messages.Read():
                outcome = self.read_here()
            case messages.Join():
                outcome = self.take_wish(message)
            case messages.ShareRecord():
                self.take_record(message.record)
                outcome = messages.Outcome(done=True)
            case _:
                outcome = messages.Outcome(done=False)
        peer.send(msgspec.structs.replace(outcome, call_id=message.call_id))

    def take_wish(self, message: messages.Join) -> messages.Outcome:
        """Note that a process wants to be a member."""
        if message.member_id not in self.wishes:
            self.log.write(
                "join_wished",
                member=message.member_id,
                address=message.address,
            )
        self.wishes[message.member_id] = membership.Wish(
            message.member_id, message.address, self.clock.monotonic()
        )
        self.dial_peers()
        return messages.Outcome(
            done=bool(self.node.cluster_id), cluster_id=self.node.cluster_id
        )

    # The replicated state

    async def propose(self, command: catalogue.Command) -> int | None:
        """Commit a command; return its index, None if that is unsure."""
        data = msgspec.msgpack.encode(command)
        outcome = await self.propose_here(data)
        if not outcome.done:
            outcome = await self.ask_leader(messages.Propose(command=data))
        return outcome.index if outcome.done else None

    async def propose_here(self, data: bytes) -> messages.Outcome:
        """Commit a command if this member leads."""
        if self.node.core.state is not core.State.LEADER:
            return messages.Outcome(done=False)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                applied = await asyncio.wrap_future(self.node.propose(data))
        except (
            node.NotLeaderError,
            exceptions.ControlUnavailableError,
            concurrent.futures.CancelledError,
            TimeoutError,
        ) as fault:
            self.log.write(
                "proposal_unsure", reason=str(fault) or type(fault).__name__
            )
            return messages.Outcome(done=False)
        return messages.Outcome(done=True, index=applied.index)

    def read_here(self) -> messages.Outcome:
        """Return the newest configuration if this member surely leads."""
        if not self.node.has_lease():
            return messages.Outcome(done=False)
        state = self.catalogue.state
        return messages.Outcome(
            done=True, data=state.body, index=state.version
        )

    async def ask_leader(
        self, call: messages.Propose | messages.Read
    ) -> messages.Outcome:
        """Pass a call on to the leader."""
        address = self.node.get_leader_address()
        peer = self.peers.get(address) if address else None
        if peer is None:
            return messages.Outcome(done=False)
        try:
            reply = await peer.call(call, CALL_TIMEOUT_S)
        except (link.LinkClosedError, TimeoutError) as fault:
            self.log.write("leader_silent", leader=address, reason=str(fault))
            return messages.Outcome(done=False)
        if isinstance(reply, messages.Outcome):
            return reply
        return messages.Outcome(done=False)

    # Calls of operators and targets

    async def answer(
        self,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        begun = self.loop.time()
        method = request.method.decode("latin-1")
        try:
            call = self.calls.decode(method, request.path, request.body)
            status, body = await self.carry_out(call)
            name = type(call).__name__
        except api.BadCallError as fault:
            status, body = fault.status, f"{fault}\n".encode()
            name = f"{method} {request.path}"
        kind = (
            b"application/json"
            if status == http.HTTPStatus.OK
            else (b"text/plain")
        )
        connection.send_answer(status, [(b"Content-Type", kind)], body)
        self.instruments.answers.labels("control", str(int(status)), "").inc()
        if status == http.HTTPStatus.OK and isinstance(call, api.Announce):
            return
        self.log.write(
            "call_answered",
            call=name,
            status=int(status),
            version=self.catalogue.state.version,
            reason="" if status == http.HTTPStatus.OK else body.decode(),
            seconds=round(self.loop.time() - begun, 4),
        )

    async def carry_out(self, call: api.Call) -> tuple[int, bytes]:
        """Return the status and body of a call's answer."""
        match call:
            case api.PutConfiguration():
                return await self.answer_change(
                    catalogue.PutConfiguration(call.version, call.body)
                )
            case api.NameVersion():
                return await self.answer_change(
                    catalogue.NameVersion(
                        call.model, call.adapter, call.version
                    )
                )
            case api.ReadConfiguration():
                return await self.answer_read()
            case api.Announce():
                return await self.answer_announcement(call.record)
            case api.Withdraw():
                return await self.answer_withdrawal(call.instance_id)

    async def answer_change(
        self, command: catalogue.Command
    ) -> tuple[int, bytes]:
        """Acknowledge a change once a majority has it on disk."""
        if await self.propose(command) is None:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"no majority\n"
        return http.HTTPStatus.OK, b"{}"

    async def answer_read(self) -> tuple[int, bytes]:
        """Return the newest configuration, or that it is not sure."""
        outcome = self.read_here()
        if not outcome.done:
            outcome = await self.ask_leader(messages.Read())
        if not outcome.done:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"no majority\n"
        if not outcome.data:
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"none yet\n"
        return http.HTTPStatus.OK, outcome.data

    async def answer_announcement(
        self, record: records.TargetRecord
    ) -> tuple[int, bytes]:
        """Take a heartbeat."""
        if not self.node.is_in_contact(HEARTBEAT_CONTACT_S):
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"no majority\n"
        self.take_record(record)
        if record.state is records.TargetState.READY:
            return http.HTTPStatus.OK, b"{}"
        return await self.spread_leaving(record)

    async def answer_withdrawal(
        self, instance_id: records.InstanceId
    ) -> tuple[int, bytes]:
        """Take the end of a target."""
        gone = self.targets.withdraw(instance_id, self.loop.time())
        if gone is None:
            return http.HTTPStatus.OK, b"{}"
        self.note_record(gone)
        return await self.spread_leaving(gone)

    def take_record(self, record: records.TargetRecord) -> None:
        """Merge an announcement and tell subscribers."""
        known = self.targets.by_id.get(record.instance_id)
        if not self.targets.merge(record, self.loop.time()):
            return
        self.tell_record(record)
        if known is None or known.state is not record.state:
            self.log_record(record)

    def note_record(self, record: records.TargetRecord) -> None:
        """Tell subscribers of a record that the table has already."""
        self.tell_record(record)
        self.log_record(record)

    def log_record(self, record: records.TargetRecord) -> None:
        """Log a target's change of state."""
        self.log.write(
            "target_state",
            target=record.instance_id,
            service=record.service,
            address=record.address,
            state=record.state.value,
            sequence=record.sequence,
            born_ms=record.born_ms,
            subscribers=len(self.subscribers),
        )

    async def spread_leaving(
        self, record: records.TargetRecord
    ) -> tuple[int, bytes]:
        """Acknowledge a leaving target once a majority knows it.

        Each entry that reaches a majority of the members hears of it.
        """
        voters = set(self.catalogue.membership.voters)
        own = self.node.member_id in voters
        needed = len(voters) // 2 + 1 - own
        addresses = [
            peer.address
            for peer in self.catalogue.membership.peers
            if peer.voter and peer.member_id != self.node.member_id
        ]
        calls = [
            self.loop.create_task(self.share(address, record))
            for address in addresses
        ]
        done = 0
        for finished in asyncio.as_completed(calls):
            done += await finished
            if done >= needed:
                break
        if done < needed or not self.node.is_in_contact(LEAVING_CONTACT_S):
            return http.HTTPStatus.SERVICE_UNAVAILABLE, b"no majority\n"
        return http.HTTPStatus.OK, b"{}"

    async def share(self, address: str, record: records.TargetRecord) -> bool:
        """Tell another member; return whether it knows now."""
        peer = self.peers.get(address)
        if peer is None:
            return False
        try:
            reply = await peer.call(
                messages.ShareRecord(record=record), CALL_TIMEOUT_S
            )
        except (link.LinkClosedError, TimeoutError) as fault:
            self.log.write("share_failed", peer=address, reason=str(fault))
            return False
        return isinstance(reply, messages.Outcome) and reply.done
