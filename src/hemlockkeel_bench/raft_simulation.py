"""Simulates a cluster of Raft members under faults and checks invariants.

The Raft cores are the real ones; network, disks and clocks are simulated.
Callers run one action at a time, chosen by `hypothesis` or by a seeded random
number generator.
"""

import collections.abc
import dataclasses
import enum
import random

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.coordinator import membership

MAX_MESSAGES_IN_FLIGHT = 400
# Log entries kept before a snapshot, so that members that lag slightly need
# no snapshot.
TRAILING_LOG_ENTRIES = 5
RUN_STEP_S = 0.04
MAX_RUN_DURATION_S = 2.0
CONVERGENCE_STEPS = 600
CONVERGENCE_STEP_S = 0.05


class CrashPoint(enum.Enum):
    """Point in the processing of effects at which a member crashes."""

    NONE = "none"
    BEFORE_STORE = "before_store"
    AFTER_STORE = "after_store"
    AFTER_SEND = "after_send"


@dataclasses.dataclass
class SimulatedDisk:
    """What one member has synced to its disk."""

    hard_state: messages.HardState = dataclasses.field(
        default_factory=lambda: messages.HardState(0)
    )
    log: log_module.Log = dataclasses.field(default_factory=log_module.Log)
    snapshot: tuple[messages.SnapshotMeta, bytes] | None = None

    def store(self, effects: core.Effects) -> None:
        """Store the hard state, snapshot and entries of effects."""
        if effects.hard_state is not None:
            self.hard_state = effects.hard_state
        if effects.snapshot is not None:
            self.snapshot = effects.snapshot
        for entry in effects.entries:
            if entry.index <= self.log.last_index:
                self.log.truncate(entry.index)
            self.log.append(entry)

    def copy_log(self, log: log_module.Log) -> None:
        """Replace the stored log by a copy of another one."""
        self.log = log_module.Log(
            log.base_index, log.base_term, list(log.entries)
        )

    def load(self) -> core.PersistentState:
        """Return the persistent state that a restarted member recovers."""
        log = log_module.Log(
            self.log.base_index, self.log.base_term, list(self.log.entries)
        )
        return core.PersistentState(self.hard_state, log, self.snapshot)


@dataclasses.dataclass
class SimulatedMember:
    """A member with its disk and clock; ``raft`` is None while it is stopped.

    The clock runs at ``clock_rate`` times the speed of simulated time and is
    ``clock_offset_s`` ahead.
    """

    member_id: str
    disk: SimulatedDisk
    clock_rate: float
    clock_offset_s: float
    raft: core.RaftCore | None = None
    applied_values: list[str] = dataclasses.field(default_factory=list)
    applied_index: int = 0
    disk_lost: bool = False


class SimulatedCluster:
    """The members, the messages in flight, and the invariants.

    ``proposals`` maps a proposed value to the member, log index and term of
    its proposal. ``acknowledged_values`` are those that the proposing member
    applied at that index and term, so a caller knows that they are committed.
    """

    def __init__(self, size: int, rng: random.Random) -> None:
        self.rng = rng
        # Simulated time in seconds.
        self.now = 1000.0
        self.members: dict[str, SimulatedMember] = {}
        self.in_flight: list[messages.AnyMessage] = []
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.committed_entries: dict[int, tuple[int, str]] = {}
        self.acknowledged_values: set[str] = set()
        self.proposals: dict[str, tuple[str, int, int]] = {}
        self.leader_by_term: dict[int, str] = {}
        self.next_value_number = 0
        self.last_member_number = 0
        self.check_count = 0
        # Times at which members were last stopped.
        self.stopped_at: dict[str, float] = {}
        peers = [
            messages.Peer(self.make_id(), f"host-{n}:1") for n in range(size)
        ]
        data = core.encode_membership(messages.Membership(peers))
        first = messages.Entry(1, 1, messages.EntryKind.MEMBERSHIP, data)
        for peer in peers:
            disk = SimulatedDisk(
                messages.HardState(1), log_module.Log(0, 0, [first])
            )
            self.add_member(peer.member_id, disk)

    # Members

    def make_id(self) -> str:
        """Return a new member id."""
        self.last_member_number += 1
        return f"m{self.last_member_number}"

    def add_member(
        self, member_id: str, disk: SimulatedDisk
    ) -> SimulatedMember:
        """Add and start a member whose clock has a random rate and offset."""
        member = SimulatedMember(
            member_id,
            disk,
            clock_rate=self.rng.uniform(0.95, 1.05),
            clock_offset_s=self.rng.uniform(-500.0, 500.0),
        )
        self.members[member_id] = member
        self.start(member)
        return member

    def read_clock(self, member: SimulatedMember) -> float:
        """Return the time of a member's clock."""
        return self.now * member.clock_rate + member.clock_offset_s

    def start(self, member: SimulatedMember) -> None:
        """Start a member with the state on its disk."""
        self.stopped_at[member.member_id] = self.now
        member.raft = core.RaftCore(
            member.member_id,
            member.disk.load(),
            core.Timing(),
            random.Random(self.rng.random()),
            self.read_clock(member),
        )
        member.applied_values = []
        member.applied_index = 0
        if member.disk.snapshot is not None:
            self.restore_snapshot(member, *member.disk.snapshot)

    def restore_snapshot(
        self, member: SimulatedMember, meta: messages.SnapshotMeta, data: bytes
    ) -> None:
        """Set a member's applied state to that of a snapshot."""
        member.applied_values = msgspec.msgpack.decode(data, type=list[str])
        member.applied_index = meta.index

    def list_running(self) -> list[SimulatedMember]:
        """Return the running members."""
        return [m for m in self.members.values() if m.raft is not None]

    def find_leader(self) -> SimulatedMember | None:
        """Return the leader of the highest term, or None."""
        leading = [
            member
            for member in self.list_running()
            if member.raft and member.raft.state is core.State.LEADER
        ]
        return max(
            leading, key=lambda m: m.raft.term if m.raft else 0, default=None
        )

    # Actions

    def advance(self, seconds: float) -> None:
        """Advance simulated time and tick every running member."""
        self.now += seconds
        for member in self.list_running():
            self.tick(member)

    def tick(
        self,
        member: SimulatedMember,
        crash_point: CrashPoint = CrashPoint.NONE,
    ) -> None:
        """Tick one member, if it runs, and process the effects."""
        if member.raft is None:
            return
        member.raft.tick(self.read_clock(member))
        self.process_effects(member, crash_point)

    def deliver(
        self, position: int, crash_point: CrashPoint = CrashPoint.NONE
    ) -> None:
        """Deliver one message in flight, chosen by its position.

        It is lost if its members are partitioned or its receiver is stopped.
        """
        if not self.in_flight:
            return
        message = self.in_flight.pop(position % len(self.in_flight))
        member = self.members.get(message.receiver)
        pair = frozenset([message.sender, message.receiver])
        if (
            member is None
            or member.raft is None
            or pair in self.partitioned_pairs
        ):
            return
        member.raft.receive(message, self.read_clock(member))
        self.process_effects(member, crash_point)

    def defer(self, position: int) -> None:
        """Let a member with a busy disk reply to a message in flight.

        The message itself is delivered later.
        """
        if not self.in_flight:
            return
        message = self.in_flight[position % len(self.in_flight)]
        member = self.members.get(message.receiver)
        pair = frozenset([message.sender, message.receiver])
        if (
            not isinstance(message, messages.AppendRequest)
            or member is None
            or member.raft is None
            or pair in self.partitioned_pairs
        ):
            return
        reply = member.raft.acknowledge_busy(message, self.read_clock(member))
        if reply is not None:
            self.in_flight.append(reply)

    def deliver_all(self) -> None:
        """Deliver the messages in flight in order, without newly sent ones."""
        for _ in range(len(self.in_flight)):
            self.deliver(0)

    def run(self, seconds: float) -> None:
        """Advance time in steps and deliver messages in flight after each."""
        for _ in range(int(seconds / RUN_STEP_S)):
            self.advance(RUN_STEP_S)
            self.deliver_all()

    def drop(self, position: int) -> None:
        """Drop one message in flight."""
        if self.in_flight:
            self.in_flight.pop(position % len(self.in_flight))

    def duplicate(self, position: int) -> None:
        """Add a copy of one message to the end of those in flight."""
        if self.in_flight and len(self.in_flight) < MAX_MESSAGES_IN_FLIGHT:
            self.in_flight.append(
                self.in_flight[position % len(self.in_flight)]
            )

    def propose(self, position: int) -> None:
        """Propose a new value at a member in leader state, if there is one."""
        leading = [
            member
            for member in self.list_running()
            if member.raft and member.raft.state is core.State.LEADER
        ]
        if not leading:
            return
        member = leading[position % len(leading)]
        assert member.raft is not None
        value = f"v{self.next_value_number}"
        self.next_value_number += 1
        index = member.raft.propose(
            messages.EntryKind.COMMAND, value.encode(), self.read_clock(member)
        )
        if index is not None:
            proposal = (member.member_id, index, member.raft.term)
            self.proposals[value] = proposal
        self.process_effects(member, CrashPoint.NONE)

    def crash(self, member: SimulatedMember) -> None:
        """Stop a member, which loses what its disk has not stored."""
        member.raft = None

    def notice_stop(
        self, member: SimulatedMember, observer: SimulatedMember
    ) -> None:
        """Let a member learn that another one was stopped, maybe late.

        That is, as a connection to it is refused.
        """
        pair = frozenset([member.member_id, observer.member_id])
        if (
            observer.raft is None
            or observer is member
            or pair in self.partitioned_pairs
        ):
            return
        late_s = 0.0
        if member.raft is not None:
            late_s = self.now - self.stopped_at[member.member_id]
        now = self.read_clock(observer)
        observer.raft.record_ended(
            member.member_id, now - late_s * observer.clock_rate, now
        )

    def restart(self, member: SimulatedMember) -> None:
        """Start a stopped member again, unless its disk is lost."""
        if member.raft is None and not member.disk_lost:
            self.start(member)

    def partition_pair(self, first: str, second: str) -> None:
        """Partition two members from each other."""
        if first != second:
            self.partitioned_pairs.add(frozenset([first, second]))

    def isolate(self, member_id: str) -> None:
        """Partition one member from all others."""
        for other in self.members:
            self.partition_pair(member_id, other)

    def heal(self) -> None:
        """End all partitions."""
        self.partitioned_pairs.clear()

    def take_snapshot(self, member: SimulatedMember) -> None:
        """Take a snapshot of a member's applied state and compact its log."""
        if member.raft is None or not member.applied_index:
            return
        if member.applied_index <= member.raft.log.base_index:
            return
        data = msgspec.msgpack.encode(member.applied_values)
        member.raft.compact(member.applied_index, data, TRAILING_LOG_ENTRIES)
        member.disk.snapshot = member.raft.snapshot
        member.disk.copy_log(member.raft.log)

    def lose_and_replace_disk(self, member: SimulatedMember) -> bool:
        """Lose a member's disk and propose an empty learner to replace it.

        Returns whether that happened: not without another member as leader,
        and not while another lost disk is being replaced, since a quorum must
        be left.
        """
        leader = self.find_leader()
        if leader is None or leader is member or leader.raft is None:
            return False
        if any(m.disk_lost for m in self.members.values()):
            return False
        member.raft = None
        member.disk_lost = True
        learner = self.add_member(self.make_id(), SimulatedDisk())
        peers = [
            *leader.raft.membership.peers,
            messages.Peer(learner.member_id, f"{learner.member_id}:1", False),
        ]
        self.propose_membership(leader, peers)
        return True

    def propose_membership(
        self, leader: SimulatedMember, peers: list[messages.Peer]
    ) -> None:
        """Propose a new membership."""
        assert leader.raft is not None
        leader.raft.propose(
            messages.EntryKind.MEMBERSHIP,
            core.encode_membership(messages.Membership(peers)),
            self.read_clock(leader),
        )
        self.process_effects(leader, CrashPoint.NONE)

    def advance_replacement(self) -> None:
        """Take the next step of replacing a member, as the control loop does.

        Add the learner, promote it once it has caught up, then remove the
        member whose disk is lost.
        """
        leader = self.find_leader()
        if leader is None or leader.raft is None:
            return
        peers = leader.raft.membership.peers
        self.add_missing_learner(leader)
        learner = membership.find_caught_up_learner(
            leader.raft.membership,
            leader.raft.member_id,
            membership.get_peer_states(leader.raft),
        )
        if learner is not None:
            promoted = membership.set_vote(
                leader.raft.membership, learner, True
            )
            self.propose_membership(leader, promoted.peers)
            return
        lost = {m.member_id for m in self.members.values() if m.disk_lost}
        all_vote = all(p.voter for p in peers)
        if all_vote and lost & {p.member_id for p in peers}:
            remaining = [p for p in peers if p.member_id not in lost]
            self.propose_membership(leader, remaining)
        elif lost and not lost & {p.member_id for p in peers}:
            self.delete_removed_members(lost, leader.raft)

    def add_missing_learner(self, leader: SimulatedMember) -> None:
        """Propose an empty learner again if its first proposal was lost."""
        assert leader.raft is not None
        known = {p.member_id for p in leader.raft.membership.peers}
        for member in self.members.values():
            empty = member.disk.log.last_index == 0
            if member.member_id in known or not empty or member.disk_lost:
                continue
            peer = messages.Peer(
                member.member_id, f"{member.member_id}:1", False
            )
            self.propose_membership(
                leader, [*leader.raft.membership.peers, peer]
            )
            return

    def delete_removed_members(
        self, lost: set[str], raft: core.RaftCore
    ) -> None:
        """Delete members with lost disks once their removal is committed."""
        if raft.has_pending_membership():
            return
        for member_id in lost:
            del self.members[member_id]

    # Effects

    def process_effects(
        self, member: SimulatedMember, crash_point: CrashPoint
    ) -> None:
        """Store, send and apply the effects of a core; check invariants."""
        raft = member.raft
        assert raft is not None
        while True:
            effects = raft.take_effects()
            if effects.is_empty:
                break
            outgoing = effects.outgoing
            if effects.hard_state is None:
                # Entries of a leader go out before it has stored them.
                early, outgoing = node.separate_requests(outgoing)
                self.in_flight.extend(early)
            if crash_point is CrashPoint.BEFORE_STORE:
                self.crash(member)
                return
            member.disk.store(effects)
            if effects.snapshot is not None:
                member.disk.copy_log(raft.log)
                self.restore_snapshot(member, *effects.snapshot)
            if crash_point is CrashPoint.AFTER_STORE:
                self.crash(member)
                return
            if effects.entries:
                raft.on_persisted(
                    effects.entries[-1].index, self.read_clock(member)
                )
            self.in_flight.extend(outgoing)
            del self.in_flight[MAX_MESSAGES_IN_FLIGHT:]
            if crash_point is CrashPoint.AFTER_SEND:
                self.crash(member)
                return
            for entry in effects.committed_entries:
                self.apply_entry(member, entry)
        self.check_invariants()

    def apply_entry(
        self, member: SimulatedMember, entry: messages.Entry
    ) -> None:
        """Apply a committed entry and record acknowledged values.

        :raises InvariantError: when it is out of order, or when another member
            applied a different entry at its index.
        """
        exceptions.require(
            entry.index == member.applied_index + 1,
            "member %s applied entry %d after entry %d",
            member.member_id,
            entry.index,
            member.applied_index,
        )
        member.applied_index = entry.index
        value = entry.data.decode(errors="replace")
        first_applied = self.committed_entries.setdefault(
            entry.index, (entry.term, value)
        )
        exceptions.require(
            first_applied == (entry.term, value),
            "members applied entry %d with term and value %s and %s",
            entry.index,
            (entry.term, value),
            first_applied,
        )
        if entry.kind is not messages.EntryKind.COMMAND:
            return
        member.applied_values.append(value)
        position = (member.member_id, entry.index, entry.term)
        if self.proposals.get(value) == position:
            self.acknowledged_values.add(value)

    # Invariants

    def check_invariants(self) -> None:
        """Check the invariants that hold between any two actions.

        :raises InvariantError: when a term has two leaders, or two members
            have a leader lease at the same time.
        """
        self.check_count += 1
        leased = []
        for member in self.list_running():
            raft = member.raft
            assert raft is not None
            if raft.state is core.State.LEADER:
                first = self.leader_by_term.setdefault(
                    raft.term, raft.member_id
                )
                exceptions.require(
                    first == raft.member_id,
                    "term %d has two leaders",
                    raft.term,
                )
            if raft.has_lease(self.read_clock(member)):
                leased.append(member.member_id)
        exceptions.require(
            len(leased) <= 1, "several members have a leader lease: %s", leased
        )

    def heal_and_check(self) -> None:
        """End all faults, let the members converge and check the result.

        :raises InvariantError: when they do not converge, or when an
            acknowledged value is lost.
        """
        self.heal()
        for member in list(self.members.values()):
            self.restart(member)
        for step in range(CONVERGENCE_STEPS):
            self.advance(CONVERGENCE_STEP_S)
            for _ in range(3):
                self.deliver_all()
            if step % 10 == 0:
                self.advance_replacement()
        self.propose(0)
        for _ in range(20):
            self.advance(CONVERGENCE_STEP_S)
            self.deliver_all()
        self.check_convergence()

    def check_convergence(self) -> None:
        """Check the leader, acknowledged values and equal states.

        :raises InvariantError: when one of these checks fails.
        """
        leader = self.find_leader()
        exceptions.require(
            leader is not None, "no leader after all faults ended"
        )
        assert leader is not None and leader.raft is not None
        exceptions.require(
            leader.raft.has_lease(self.read_clock(leader)),
            "the leader has no lease after all faults ended",
        )
        missing = self.acknowledged_values - set(leader.applied_values)
        exceptions.require(
            not missing, "acknowledged values %s are lost", sorted(missing)
        )
        repeated_count = len(leader.applied_values) - len(
            set(leader.applied_values)
        )
        exceptions.require(repeated_count == 0, "a value was applied twice")
        for member_id in leader.raft.membership.voters:
            member = self.members[member_id]
            if member.raft is None:
                continue
            exceptions.require(
                member.applied_values == leader.applied_values,
                "state of member %s differs after all faults ended",
                member_id,
            )


def take_random_action(cluster: SimulatedCluster) -> None:
    """Run one random action: deliver, advance, propose or a fault."""
    rng = cluster.rng
    members = list(cluster.members.values())
    member = rng.choice(members)
    position = rng.randrange(1 << 16)
    crash_points = list(CrashPoint)
    choice = rng.random()
    if choice < 0.55:
        cluster.deliver(position if rng.random() < 0.3 else 0)
    elif choice < 0.72:
        cluster.advance(rng.choice([0.01, 0.05, 0.1, 0.4]))
    elif choice < 0.82:
        cluster.propose(position)
    else:
        take_random_fault_action(
            cluster, member, position, rng.choice(crash_points)
        )


def take_random_fault_action(
    cluster: SimulatedCluster,
    member: SimulatedMember,
    position: int,
    crash_point: CrashPoint,
) -> None:
    """Run one random fault, or an action that ends or repairs one."""
    member_ids = list(cluster.members)
    members = list(cluster.members.values())
    actions: list[collections.abc.Callable[[], object]] = [
        lambda: cluster.run(cluster.rng.uniform(0.0, MAX_RUN_DURATION_S)),
        lambda: cluster.drop(position),
        lambda: cluster.defer(position),
        lambda: cluster.duplicate(position),
        lambda: cluster.deliver(position, crash_point),
        lambda: cluster.tick(member, crash_point),
        lambda: cluster.crash(member),
        lambda: cluster.restart(member),
        lambda: cluster.restart(member),
        lambda: cluster.notice_stop(member, cluster.rng.choice(members)),
        lambda: cluster.notice_stop(member, cluster.rng.choice(members)),
        lambda: cluster.isolate(member.member_id),
        lambda: cluster.partition_pair(
            member.member_id, cluster.rng.choice(member_ids)
        ),
        lambda: cluster.heal(),
        lambda: cluster.heal(),
        lambda: cluster.take_snapshot(member),
        lambda: cluster.lose_and_replace_disk(member),
        lambda: cluster.advance_replacement(),
        lambda: cluster.advance_replacement(),
    ]
    cluster.rng.choice(actions)()
