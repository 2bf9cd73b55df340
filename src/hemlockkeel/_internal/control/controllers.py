"""Controllers of the control leader: members and expiry."""

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
    """Brings one part of the state closer to what it should be."""

    @abc.abstractmethod
    def reconcile(self, now: float) -> list[commands.AnyCommand]:
        """Return the commands that are due at a monotonic time."""


class MemberController(Controller):
    """Suspects members that fall silent, then removes them."""

    def __init__(self, control: service.ControlService) -> None:
        self.control = control

    def reconcile(self, now: float) -> list[commands.AnyCommand]:
        with self.control.lease_lock:
            table = self.control.leases
            silent = table.find_silent(leases.SUSPECT_AFTER_S, now)
            gone = set(table.find_silent(leases.REMOVE_AFTER_S, now))
        due: list[commands.AnyCommand] = []
        with self.control.applier.lock:
            known = dict(self.control.applier.state.members)
        for member_id, member in known.items():
            due.extend(
                self.reconcile_member(member, member_id in silent, gone)
            )
        return due

    def reconcile_member(
        self, member: members.Member, silent: bool, gone: set[str]
    ) -> list[commands.AnyCommand]:
        """Return what to do about one member."""
        member_id = member.description.member_id
        if member_id in gone:
            logs.log_state("member_removed", member=member_id)
            return [
                commands.RemoveMember(
                    member_id=member_id, incarnation=member.incarnation
                )
            ]
        wanted = member.state
        if silent and member.state is members.MemberState.ACTIVE:
            wanted = members.MemberState.SUSPECTED
        if not silent and member.state is members.MemberState.SUSPECTED:
            wanted = members.MemberState.ACTIVE
        if wanted is member.state:
            return []
        logs.log_state("member_state", member=member_id, state=wanted.value)
        return [
            commands.SetMemberState(
                member_id=member_id,
                incarnation=member.incarnation,
                state=wanted,
            )
        ]


class ExpiryController(Controller):
    """Drops records that are past their window, now and then."""

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
        """Follow changes of lead and run the controllers once."""
        leads = self.control.node.has_lease()
        if not leads:
            self.control.leading = False
            return
        if not self.control.leading:
            self.control.start_leading()
        for controller in self.controllers:
            for command in controller.reconcile(now):
                self.propose(command)

    def propose(self, command: commands.AnyCommand) -> None:
        """Commit a command; a failure is tried again at the next step."""
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
