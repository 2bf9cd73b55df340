"""Simulates control members that are replaced while others fail.

The Raft cores and the decisions on the membership are the real ones; the
loops of the processes, the network and the disks are simulated. Each machine
has an address. A machine that has lost its disk starts again there with an
empty disk and another member id.
"""

import dataclasses
import random

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.coordinator import membership
from hemlockkeel._internal.coordinator import process
from hemlockkeel._internal.links import dialer
from hemlockkeel_bench import member_rules
from hemlockkeel_bench import raft_simulation

STEP_S = 0.04
PROPOSAL_INTERVAL_S = 0.12
LOSS_SHARE = 0.5
# Time after the last loss within which changes are acknowledged again.
RECOVERY_S = 12.0


@dataclasses.dataclass
class Machine:
    """A machine and the id of the member that runs or ran there last."""

    address: str
    member_id: str
    is_leaving: bool = False


class ReplacementSimulation(raft_simulation.SimulatedCluster):
    """Control members on machines, with the loops of their processes.

    ``cuts`` are pairs of addresses between which no message passes, ``paused``
    the addresses of machines that stand still, ``lossy`` those that lose half
    of their messages, and ``refusing`` those that run without a member, so
    that connections to them are refused.
    """

    def __init__(
        self,
        size: int,
        rng: random.Random,
        rule: member_rules.MemberRule | None = None,
    ) -> None:
        super().__init__(size, rng)
        self.rule = rule or member_rules.ProductRule(size)
        self.cuts: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.lossy: set[str] = set()
        self.refusing: set[str] = set()
        first = next(iter(self.members.values()))
        assert first.raft is not None
        self.machines = {
            peer.address: Machine(peer.address, peer.member_id)
            for peer in first.raft.membership.peers
        }
        self.addresses = {
            machine.member_id: address
            for address, machine in self.machines.items()
        }
        self.joins: dict[str, dict[str, membership.JoinRequest]] = {}
        self.next_loop_at: dict[str, float] = {}
        self.empty_voters: list[str] = []

    # Machines

    def find_running(self, address: str) -> raft_simulation.SimulatedMember:
        """Return the member of a machine."""
        return self.members[self.machines[address].member_id]

    def get_leader_address(self) -> str:
        """Return the address of the leading machine; empty if there is none.

        A leader without contact to a quorum does not count.
        """
        for address in self.machines:
            member = self.find_running(address)
            if member.raft is not None and member.raft.has_lease(
                self.read_clock(member)
            ):
                return address
        return ""

    def add_machine(self, address: str) -> None:
        """Start a machine with an empty disk."""
        member = self.add_member(
            self.make_id(), raft_simulation.SimulatedDisk()
        )
        self.machines[address] = Machine(address, member.member_id)
        self.refusing.discard(address)
        self.addresses[member.member_id] = address

    def remove_machine(self, address: str) -> None:
        """End a machine for good."""
        member_id = self.machines.pop(address).member_id
        self.members[member_id].raft = None

    def stop_machine(self, address: str) -> None:
        """End the member of a machine, which keeps its disk."""
        self.crash(self.find_running(address))

    def restart_machine(self, address: str) -> None:
        """Start the member of a machine with its disk again."""
        self.refusing.discard(address)
        self.restart(self.find_running(address))

    def cut_machines(self, some: set[str], others: set[str]) -> None:
        """Let no message pass between machines and others."""
        self.cuts |= {
            frozenset((one, other))
            for one in some
            for other in others
            if one != other
        }

    def is_reachable(self, address: str, other: str) -> bool:
        """Return whether messages pass between two running machines."""
        if self.paused & {address, other}:
            return False
        return frozenset((address, other)) not in self.cuts

    def lose_disk(self, address: str) -> None:
        """End the member of a machine, whose disk is lost."""
        member = self.find_running(address)
        member.raft, member.disk_lost = None, True

    # Time

    def play(self, seconds: float) -> None:
        """Let all processes work, and propose values at the leader."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for address in list(self.machines):
                member = self.find_running(address)
                if member.raft is None or address in self.paused:
                    continue
                self.tick(member)
                self.run_loops(address, member)
            for _ in range(2):
                self.deliver_all()
            if self.is_due("proposals", PROPOSAL_INTERVAL_S):
                self.propose_value()
            self.check_step()

    def is_due(self, name: str, interval_s: float) -> bool:
        """Return whether a loop of the given interval is due."""
        if self.now < self.next_loop_at.get(name, 0.0):
            return False
        self.next_loop_at[name] = self.now + interval_s
        return True

    def check_step(self) -> None:
        """Do nothing; called after each step of `play`."""

    def propose_value(self) -> None:
        """Propose a value at each member that believes to lead."""
        for position in range(len(self.list_running())):
            self.propose(position)

    def run_loops(
        self, address: str, member: raft_simulation.SimulatedMember
    ) -> None:
        """Run the loops of a control process that are due."""
        name = member.member_id
        if self.machines[address].is_leaving:
            if self.is_due(f"{name} leaves", process.LEAVE_RETRY_INTERVAL_S):
                self.leave(member)
            return
        if self.is_due(f"{name} connects", dialer.REDIAL_DELAY_S):
            self.connect(address, member)
        if self.is_due(f"{name} joins", process.JOIN_INTERVAL_S):
            self.ask_to_join(address, member)
        if self.is_due(f"{name} leads", process.LEADER_CHECK_INTERVAL_S):
            self.change_membership(member)

    def connect(
        self, address: str, member: raft_simulation.SimulatedMember
    ) -> None:
        """Notice which other members have ended."""
        raft, now = member.raft, self.read_clock(member)
        assert raft is not None
        if not self.rule.notices_ends:
            return
        for peer in raft.members.peers:
            if peer.address not in self.refusing:
                continue
            if self.is_reachable(address, peer.address):
                raft.record_ended(peer.member_id, now, now)

    def ask_to_join(
        self, address: str, member: raft_simulation.SimulatedMember
    ) -> None:
        """Ask all others to be added while there is no contact to a quorum."""
        if self.has_quorum_contact(member):
            return
        for other in self.machines.values():
            peer = self.members[other.member_id]
            if peer is member or peer.raft is None:
                continue
            if not self.is_reachable(address, other.address):
                continue
            self.joins.setdefault(other.member_id, {})[member.member_id] = (
                membership.JoinRequest(
                    member.member_id, address, self.read_clock(peer)
                )
            )

    def has_quorum_contact(
        self, member: raft_simulation.SimulatedMember
    ) -> bool:
        """Return the same as `consensus.node.Node.has_quorum_contact`."""
        raft, now = member.raft, self.read_clock(member)
        assert raft is not None
        if raft.state is core.State.LEADER:
            contact_at = raft.get_quorum_ack_time(now)
        elif raft.leader_id:
            contact_at = raft.leader_contact_at
        else:
            return False
        return now - contact_at <= process.REJOIN_AFTER_S

    def change_membership(
        self, member: raft_simulation.SimulatedMember
    ) -> None:
        """Propose the next change if a member leads."""
        raft = member.raft
        assert raft is not None
        if raft.state is not core.State.LEADER:
            return
        if raft.has_pending_membership():
            return
        changed = self.rule.plan_change(
            membership.LeaderView(
                raft.membership,
                member.member_id,
                membership.get_peer_states(raft),
                list(self.joins.get(member.member_id, {}).values()),
                self.read_clock(member),
                raft.members.lost,
            )
        )
        if changed is not None:
            self.propose_membership(member, changed.peers)

    def leave(self, member: raft_simulation.SimulatedMember) -> None:
        """Ask the leader to remove a member that is about to end."""
        leader = self.find_leader()
        if leader is None or leader.raft is None:
            return
        if not leader.raft.members.is_confirmed:
            return
        if not self.is_reachable(
            self.addresses[member.member_id],
            self.addresses[leader.member_id],
        ):
            return
        changed = self.rule.plan_leaving(
            leader.raft.membership, member.member_id
        )
        if changed is not None:
            self.propose_membership(leader, changed.peers)

    # Messages

    def deliver(
        self,
        position: int,
        crash_point: raft_simulation.CrashPoint = (
            raft_simulation.CrashPoint.NONE
        ),
    ) -> None:
        """Deliver a message to the process at its receiver's address."""
        if not self.in_flight:
            return
        position %= len(self.in_flight)
        message = self.in_flight[position]
        if self.is_lost(message):
            del self.in_flight[position]
            return
        successor = self.find_successor(message)
        if successor is None:
            super().deliver(position, crash_point)
            return
        del self.in_flight[position]
        reply = messages.make_replaced_reply(message)
        if reply is not None:
            self.in_flight.append(reply)

    def is_lost(self, message: messages.AnyMessage) -> bool:
        """Return whether a message does not arrive."""
        ends = {
            self.addresses[message.sender],
            self.addresses[message.receiver],
        }
        if self.lossy & ends and self.rng.random() < LOSS_SHARE:
            return True
        return len(ends) == 2 and not self.is_reachable(*ends)

    def find_successor(
        self, message: messages.AnyMessage
    ) -> raft_simulation.SimulatedMember | None:
        """Return the member that has taken the place of a receiver."""
        sender = self.members[message.sender].raft
        peer = sender.members.get(message.receiver) if sender else None
        machine = self.machines.get(peer.address) if peer else None
        if machine is None or machine.member_id == message.receiver:
            return None
        member = self.members[machine.member_id]
        return member if member.raft is not None else None

    # Checks

    def check_invariants(self) -> None:
        super().check_invariants()
        for member in self.list_running():
            raft = member.raft
            assert raft is not None
            if raft.state is core.State.LEADER and not raft.log.last_index:
                self.empty_voters.append(member.member_id)

    def check_recovery(self) -> None:
        """Check that the machines that are left acknowledge changes again.

        :raises InvariantError: when they do not, or have lost any.
        """
        before = len(self.acknowledged_values)
        self.play(RECOVERY_S)
        before_last = len(self.acknowledged_values)
        self.play(1.0)
        exceptions.require(
            len(self.acknowledged_values) > before_last > before,
            "no change is acknowledged any more",
        )
        leader = self.find_running(self.get_leader_address())
        lost = self.acknowledged_values - set(leader.applied_values)
        exceptions.require(not lost, "changes %s are lost", sorted(lost))
        exceptions.require(
            not self.empty_voters, "%s led with empty disks", self.empty_voters
        )
        assert leader.raft is not None
        voters = set(leader.raft.membership.voters)
        running = {m.member_id for m in self.machines.values()}
        exceptions.require(
            voters == running, "voters %s, running %s", voters, running
        )
