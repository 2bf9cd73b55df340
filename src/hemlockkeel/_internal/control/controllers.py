"""Control loops of the leader: failure detection and expiry."""

import abc

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.control import leases
from hemlockkeel._internal.control import service
from hemlockkeel._internal.models import members
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.utils import logs

EXPIRY_INTERVAL_S = 30.0


class Controller(abc.ABC):
    """Compares a part of the state with what it should be."""

    @abc.abstractmethod
    def reconcile(self, now: float) -> list[commands.AnyCommand]:
        """Return the commands that correct the state.

        ``now`` is monotonic seconds.
        """


class MemberController(Controller):
    """Marks members without heartbeats as suspected, then removes them."""

    def __init__(self, control: service.ControlService) -> None:
        self.control = control

    def reconcile(self, now: float) -> list[commands.AnyCommand]:
        with self.control.lease_lock:
            table = self.control.leases
            unresponsive = table.find_unresponsive(leases.SUSPECT_AFTER_S, now)
            expired = set(table.find_unresponsive(leases.REMOVE_AFTER_S, now))
        corrections: list[commands.AnyCommand] = []
        with self.control.applier.lock:
            registered = dict(self.control.applier.state.members)
        for member_id, member in registered.items():
            corrections.extend(
                self.reconcile_member(
                    member, member_id in unresponsive, expired
                )
            )
        return corrections

    def reconcile_member(
        self, member: members.Member, unresponsive: bool, expired: set[str]
    ) -> list[commands.AnyCommand]:
        """Return the commands that correct one member's state.

        ``expired`` holds the ids of the members to remove.
        """
        member_id = member.description.member_id
        if member_id in expired:
            logs.log_event("member_removed", member=member_id)
            return [
                commands.RemoveMember(
                    member_id=member_id, incarnation=member.incarnation
                )
            ]
        new_state = member.state
        if unresponsive and member.state is members.MemberState.ACTIVE:
            new_state = members.MemberState.SUSPECTED
        if not unresponsive and member.state is members.MemberState.SUSPECTED:
            new_state = members.MemberState.ACTIVE
        if new_state is member.state:
            return []
        logs.log_event("member_state", member=member_id, state=new_state.value)
        return [
            commands.SetMemberState(
                member_id=member_id,
                incarnation=member.incarnation,
                state=new_state,
            )
        ]


class ExpiryController(Controller):
    """Expires old records every `EXPIRY_INTERVAL_S` seconds."""

    def __init__(self) -> None:
        self.next_at = 0.0

    def reconcile(self, now: float) -> list[commands.AnyCommand]:
        if now < self.next_at:
            return []
        self.next_at = now + EXPIRY_INTERVAL_S
        return [commands.ExpireRecords()]


class LeaderLoop:
    """Runs the controllers while this member leads."""

    def __init__(
        self,
        control: service.ControlService,
        controllers: list[Controller],
    ) -> None:
        self.control = control
        self.controllers = controllers

    def step(self, now: float) -> None:
        """Run the controllers once if this member leads.

        Also starts and ends its service as the leader.
        """
        is_leader = self.control.node.has_lease()
        if not is_leader:
            self.control.served_term = None
            return
        if not self.control.leading:
            self.control.start_leading()
        for controller in self.controllers:
            for command in controller.reconcile(now):
                self.propose(command)

    def propose(self, command: commands.AnyCommand) -> None:
        """Commit a command.

        A failure is ignored, because the controllers propose the command
        again as long as it is needed.
        """
        stamped = msgspec.structs.replace(
            command, at=self.control.clock.wall()
        )
        future = self.control.node.propose(commands.encode(stamped))
        try:
            future.result(service.COMMIT_TIMEOUT_S)
        except (
            node.NotLeaderError,
            exceptions.ControlUnavailableError,
            TimeoutError,
        ):
            return
        if isinstance(command, commands.RemoveMember):
            with self.control.lease_lock:
                self.control.leases.remove(
                    command.member_id, command.incarnation
                )
