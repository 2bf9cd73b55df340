"""The thrift service of a control member."""

import concurrent.futures
import threading

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.control import applier
from hemlockkeel._internal.control import leases
from hemlockkeel._internal.control import permits
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import items
from hemlockkeel._internal.models import members
from hemlockkeel._internal.policy import load_queue
from hemlockkeel._internal.rpc import server
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.state import queries
from hemlockkeel._internal.state import view
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import metrics

COMMIT_TIMEOUT_S = 3.0
RETRY_AFTER_MS = 300


class ControlService:
    """Handles the calls of entries, agents and other control members.

    Only the leader answers calls that concern the state, and only while it
    holds its lease.
    """

    def __init__(
        self,
        consensus: node.Node,
        state_applier: applier.StateApplier,
        permit_allocator: permits.PermitAllocator,
        time_source: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self.node = consensus
        self.applier = state_applier
        self.permit_allocator = permit_allocator
        self.clock = time_source
        self.counters = counters
        self.leases = leases.LeaseTable()
        self.lease_lock = threading.Lock()
        # Term for which `start_leading` was called; None while not leading.
        self.served_term: int | None = None
        # Addresses whose messages are dropped, for simulated partitions.
        self.blocked: set[str] = set()

    # Leadership

    @property
    def leading(self) -> bool:
        """Return whether this member serves as the leader of its term."""
        return self.served_term == self.node.core.term

    def start_leading(self) -> None:
        """Start to serve as the leader; reset what it keeps in memory."""
        term = self.node.core.term
        with self.applier.lock:
            incarnations = {
                member_id: member.incarnation
                for member_id, member in self.applier.state.members.items()
            }
        with self.lease_lock:
            self.leases.reset(incarnations, self.clock.monotonic())
        self.permit_allocator.reset(leases.HEARTBEAT_INTERVAL_S)
        self.served_term = term

    def require_leadership(self) -> None:
        """Require that this member is the leader and holds its lease.

        :raises RpcFault: ``not_leader``, with the leader's address if known.
        """
        if self.node.has_lease() and self.leading:
            return
        leader = self.node.get_leader_address()
        if leader == self.node.address:
            leader = ""
        raise server.make_fault(
            "not_leader",
            "this control member is not the leader",
            leader=leader or None,
            retry_after_ms=RETRY_AFTER_MS,
        )

    # Consensus

    def raft(self, batch: list[ttypes.RaftMessage]) -> None:
        """Handle Raft messages from another control member."""
        for wire_message in batch:
            if wire_message.sender_address in self.blocked:
                continue
            self.check_cluster(wire_message)
            message = messages.MESSAGE_DECODER.decode(wire_message.body)
            self.node.receive(message, wire_message.sender_address)

    def check_cluster(self, wire_message: ttypes.RaftMessage) -> None:
        """Require that a message comes from a member of this cluster.

        A member without a cluster joins that of the sender.

        :raises RpcFault: ``cluster``, when the sender's cluster is another.
        """
        if wire_message.cluster_id == self.node.cluster_id:
            return
        if not self.node.cluster_id and wire_message.cluster_id:
            self.node.join_cluster(wire_message.cluster_id)
            return
        raise server.make_fault(
            "cluster", "the sender belongs to another cluster"
        )

    # Members

    def heartbeat(self, beat: ttypes.Heartbeat) -> ttypes.HeartbeatReply:
        """Renew a member's lease and return the changes of its view.

        :raises RpcFault: when this member is not the leader, or the sender
            has to register.
        """
        self.require_leadership()
        self.counters.count(metrics.Counter.HEARTBEATS)
        description = msgspec.msgpack.decode(
            beat.description, type=members.Description
        )
        with self.applier.lock:
            self.require_registered(beat)
            prefixes = view.get_prefixes(
                description.role, description.site, beat.member_id
            )
            delta = self.applier.state.view.make_delta(
                beat.view_version, prefixes
            )
        if beat.leaving:
            self.record_leaving(beat)
        with self.lease_lock:
            self.leases.renew(
                beat.member_id,
                beat.incarnation,
                beat.view_version,
                self.clock.monotonic(),
            )
        # The leader's lease may have expired while this call was running.
        self.require_leadership()
        return ttypes.HeartbeatReply(
            term=self.node.core.term,
            lease_ms=int(leases.LEASE_DURATION_S * 1000),
            interval_ms=int(leases.HEARTBEAT_INTERVAL_S * 1000),
            delta=encode_delta(delta),
            cluster_id=self.node.cluster_id,
        )

    def require_registered(self, beat: ttypes.Heartbeat) -> None:
        """Require that the heartbeat is of the registered incarnation.

        :raises RpcFault: ``unregistered`` when the process has to register,
            ``superseded`` when a later one registered under its id.
        """
        member = self.applier.state.members.get(beat.member_id)
        if member is None:
            raise server.make_fault(
                "unregistered",
                f"{beat.member_id} is not registered; register first",
            )
        if member.incarnation > beat.incarnation:
            raise server.make_fault(
                "superseded",
                f"another process registered as {beat.member_id}; give "
                "each process its own id or stop the older one",
            )
        if member.incarnation < beat.incarnation:
            raise server.make_fault(
                "unregistered",
                f"incarnation {beat.incarnation} of {beat.member_id} is not "
                "registered; register again",
            )

    def record_leaving(self, beat: ttypes.Heartbeat) -> None:
        """Record that a member is leaving unless that is recorded already."""
        member = self.applier.state.members.get(beat.member_id)
        if member is None or member.state is members.MemberState.LEAVING:
            return
        self.commit(
            commands.SetMemberState(
                member_id=beat.member_id,
                incarnation=beat.incarnation,
                state=members.MemberState.LEAVING,
            )
        )

    # Commands and queries

    def propose(self, proposal: ttypes.Proposal) -> ttypes.ProposalReply:
        """Commit a member's command and return its outcome."""
        command = commands.decode_command(proposal.command)
        applied = self.commit(command)
        outcome = applied.outcome
        assert isinstance(outcome, commands.Outcome)
        if isinstance(command, commands.RegisterMember):
            self.grant_first_lease(command, outcome)
        return ttypes.ProposalReply(commands.encode(outcome), applied.index)

    def grant_first_lease(
        self, command: commands.RegisterMember, outcome: commands.Outcome
    ) -> None:
        """Grant a lease to an incarnation that has just registered.

        It counts as not having confirmed any view version.
        """
        with self.lease_lock:
            self.leases.renew(
                command.description.member_id,
                outcome.incarnation,
                0,
                self.clock.monotonic(),
            )

    def commit(self, command: commands.AnyCommand) -> node.Applied:
        """Commit a command, stamped with the leader's wall-clock time.

        :raises RpcFault: ``not_leader`` when the command did not run, or
            ``unavailable`` with the verdict MAY_HAVE_RUN when no outcome is
            known after `COMMIT_TIMEOUT_S`.
        """
        stamped = msgspec.structs.replace(command, at=self.clock.wall())
        begun = self.clock.monotonic()
        future = self.node.propose(commands.encode(stamped))
        try:
            applied = future.result(COMMIT_TIMEOUT_S)
        except node.NotLeaderError as error:
            raise server.make_fault(
                "not_leader",
                "this control member is not the leader",
                leader=error.leader or None,
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        except (
            exceptions.ControlUnavailableError,
            concurrent.futures.TimeoutError,
        ) as error:
            raise server.make_fault(
                "unavailable",
                "the command was not committed by a quorum in time; it may "
                "still be committed",
                ttypes.Verdict.MAY_HAVE_RUN,
                retry_after_ms=RETRY_AFTER_MS,
            ) from error
        self.counters.time(
            metrics.Timer.COMMIT, self.clock.monotonic() - begun
        )
        return applied

    def read(self, query: ttypes.Proposal) -> ttypes.ProposalReply:
        """Answer a query with a linearizable read.

        The leader's lease is checked again after the read, because another
        member may have become leader in the meantime.
        """
        self.require_leadership()
        decoded = queries.QUERY_DECODER.decode(query.command)
        with self.applier.lock:
            result = queries.answer_query(self.applier.state, decoded)
            index = self.applier.state.applied_index
        self.require_leadership()
        return ttypes.ProposalReply(msgspec.msgpack.encode(result), index)

    # Load permits

    def permits(self, request: ttypes.PermitRequest) -> ttypes.PermitReply:
        """Grant load permits to an agent, after a wait if none is due."""
        self.require_leadership()
        now = self.clock.monotonic()
        load_requests = [
            load_queue.LoadRequest(
                request.member_id,
                adapters.parse_adapter(
                    f"{want.adapter}@{want.adapter_version}"
                ),
                want.weight,
                now - want.waiting_ms / 1000.0,
                want.preload,
            )
            for want in request.wants
        ]
        granted = self.permit_allocator.request_permits(
            request.member_id,
            request.site,
            self.find_site(request.site),
            load_requests,
            [adapters.parse_adapter(text) for text in request.in_progress],
            [adapters.parse_adapter(text) for text in request.finished],
            [adapters.parse_adapter(text) for text in request.unused or ()],
            request.wait_ms / 1000.0,
        )
        return ttypes.PermitReply([str(ref) for ref in granted])

    def find_site(self, name: str) -> declarations.Site | None:
        """Return a declared site; None if it is not declared."""
        key = items.make_key(items.BASE_LAYER, items.Kind.SITE, name)
        with self.applier.lock:
            value = self.applier.state.config.items.get(key)
        if value is None:
            return None
        return msgspec.json.decode(value, type=declarations.Site)

    # Versions in force

    def find_lagging(self, version: int) -> list[str]:
        """Return members with a lease that have not confirmed a version.

        A version is in force once there are none.

        :raises RpcFault: when this member is not the leader. A leader that
            was paused finds that all leases of members have expired.
        """
        with self.lease_lock:
            lagging = self.leases.find_lagging(version, self.clock.monotonic())
        self.require_leadership()
        return lagging


def encode_delta(delta: view.Delta | None) -> ttypes.ViewDelta | None:
    """Return the thrift form of a delta; None for no changes."""
    if delta is None:
        return None
    changed = [ttypes.ViewItem(key, value) for key, value in delta.items]
    return ttypes.ViewDelta(
        delta.from_version, delta.to_version, delta.full, changed
    )
