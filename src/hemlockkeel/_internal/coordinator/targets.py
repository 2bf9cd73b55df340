"""Takes announcements of targets and spreads them."""

import asyncio

from hemlockkeel._internal.coordinator import replicated_state
from hemlockkeel._internal.coordinator import subscribers
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.utils import event_log

# Age after which a silent target is forgotten.
TARGET_EXPIRY_S = 60.0
# Contact with a majority that a heartbeat's acknowledgement needs.
HEARTBEAT_CONTACT_MAX_AGE_S = 2.0
# Contact that the acknowledgement of a leaving target needs.
LEAVING_CONTACT_MAX_AGE_S = 1.5


class TargetRegistry:
    """The targets that one member has heard of."""

    def __init__(
        self,
        state: replicated_state.ReplicatedState,
        listeners: subscribers.Subscribers,
        log: event_log.EventLog,
    ) -> None:
        self.replicated_state = state
        self.subscribers = listeners
        self.log = log
        self.table = records.TargetTable(TARGET_EXPIRY_S)

    @property
    def now(self) -> float:
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    async def announce(self, record: records.TargetRecord) -> bool:
        """Take a heartbeat; tell whether it may be acknowledged."""
        if not self.replicated_state.node.has_quorum_contact(
            HEARTBEAT_CONTACT_MAX_AGE_S
        ):
            return False
        self.merge_record(record)
        if record.state is records.TargetState.READY:
            return True
        return await self.share_with_majority(record)

    async def withdraw(self, instance_id: records.InstanceId) -> bool:
        """Take the end of a target; tell whether it may be acknowledged."""
        gone = self.table.mark_gone(instance_id, self.now)
        self.subscribers.send_record(gone)
        self.log_record(gone)
        return await self.share_with_majority(gone)

    def merge_record(self, record: records.TargetRecord) -> None:
        """Merge an announcement and tell subscribers."""
        known = self.table.by_id.get(record.instance_id)
        if not self.table.merge(record, self.now):
            return
        self.subscribers.send_record(record)
        if known is None or known.state is not record.state:
            self.log_record(record)

    def log_record(self, record: records.TargetRecord) -> None:
        """Log a target's change of state."""
        self.log.write(
            "target_state",
            subscribers=len(self.subscribers.links),
            **records.describe(record),
        )

    async def share_with_majority(self, record: records.TargetRecord) -> bool:
        """Acknowledge a leaving target once a majority knows it.

        Each entry that reaches a majority of the members hears of it.
        """
        voters = set(self.replicated_state.catalogue.membership.voters)
        own = self.replicated_state.node.member_id in voters
        needed = len(voters) // 2 + 1 - own
        addresses = [
            peer.address
            for peer in self.replicated_state.catalogue.membership.peers
            if peer.voter
            and peer.member_id != self.replicated_state.node.member_id
        ]
        calls = [
            asyncio.create_task(self.share_record(address, record))
            for address in addresses
        ]
        done = 0
        for finished in asyncio.as_completed(calls):
            done += await finished
            if done >= needed:
                break
        if done < needed or not self.replicated_state.node.has_quorum_contact(
            LEAVING_CONTACT_MAX_AGE_S
        ):
            return False
        return True

    async def share_record(
        self, address: str, record: records.TargetRecord
    ) -> bool:
        """Tell another member; return whether it knows now."""
        peer = self.replicated_state.peers.get(address)
        if peer is None:
            return False
        try:
            reply = await peer.call(
                messages.ShareRecord(record=record),
                replicated_state.CALL_TIMEOUT_S,
            )
        except (link.LinkClosedError, TimeoutError) as fault:
            self.log.write("share_failed", peer=address, reason=str(fault))
            return False
        return isinstance(reply, messages.Outcome) and reply.done
