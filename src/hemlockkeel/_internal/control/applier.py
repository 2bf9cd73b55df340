"""Applies committed log entries to the state machine."""

import threading

from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.state import machine


class StateApplier(node.Applier):
    """Applies committed commands under a lock that readers take as well."""

    def __init__(self, state: machine.StateMachine) -> None:
        self.state = state
        self.lock = threading.RLock()
        # Notified when a command or a snapshot has been applied.
        self.applied = threading.Condition(self.lock)

    def apply(self, index: int, data: bytes) -> commands.Outcome:
        command = commands.decode_command(data)
        with self.lock:
            outcome = self.state.apply(index, command)
            self.applied.notify_all()
            return outcome

    def apply_membership(
        self, index: int, membership: messages.Membership
    ) -> None:
        addresses = {peer.member_id: peer.address for peer in membership.peers}
        prefix = "control/"
        with self.lock:
            published = {
                key[len(prefix) :]
                for key in self.state.view.items
                if key.startswith(prefix)
            }
            for member_id in sorted(published - set(addresses)):
                self.state.publish_control_member(index, member_id, None)
            for member_id, address in sorted(addresses.items()):
                self.state.publish_control_member(index, member_id, address)

    def encode(self) -> bytes:
        with self.lock:
            return self.state.encode_snapshot()

    def restore(self, data: bytes, meta: messages.SnapshotMeta) -> None:
        with self.lock:
            self.state.restore_snapshot(data)
            self.applied.notify_all()
