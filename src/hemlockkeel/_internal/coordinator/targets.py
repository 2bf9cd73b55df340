"""Receives announcements of targets and distributes them."""

import asyncio

from hemlockkeel._internal.coordinator import replicated_state
from hemlockkeel._internal.coordinator import subscribers
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.utils import event_log

# A target without a heartbeat for this long is removed.
TARGET_EXPIRY_S = 60.0
# A heartbeat is acknowledged only if this member had contact with a majority
# this recently.
HEARTBEAT_CONTACT_MAX_AGE_S = 2.0
# Likewise for the acknowledgement that a target is leaving or has stopped.
LEAVING_CONTACT_MAX_AGE_S = 1.5


class TargetRegistry:
    """The targets known to one control member."""

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
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    async def announce(self, record: records.TargetRecord) -> bool:
        """Record a heartbeat; return whether it may be acknowledged.

        That the target is leaving is acknowledged only once a majority of the
        members knows it.
        """
        if not self.replicated_state.node.has_quorum_contact(
            HEARTBEAT_CONTACT_MAX_AGE_S
        ):
            return False
        self.merge_record(record)
        if record.state is records.TargetState.READY:
            return True
        return await self.share_with_majority(record)

    async def withdraw(self, instance_id: records.InstanceId) -> bool:
        """Record that a target has stopped.

        Returns whether this may be acknowledged, because a majority of the
        members knows it.
        """
        gone = self.end_target(instance_id)
        return await self.share_with_majority(gone, withdrawn=True)

    def end_target(
        self, instance_id: records.InstanceId
    ) -> records.TargetRecord:
        """End a target as this member knows it; return its tombstone."""
        gone = self.table.mark_gone(instance_id, self.now)
        self.subscribers.send_record(gone, self.now)
        self.log_record(gone)
        return gone

    def merge_shared(self, message: messages.ShareRecord) -> None:
        """Apply what another member was told."""
        record = message.record
        known = self.table.by_id.get(record.instance_id)
        if (
            message.withdrawn
            and known is not None
            and known.state is not records.TargetState.GONE
        ):
            self.end_target(record.instance_id)
        else:
            self.merge_record(record)

    def merge_record(self, record: records.TargetRecord) -> None:
        """Merge an announcement and send it to subscribers if it is newer."""
        known = self.table.by_id.get(record.instance_id)
        if not self.table.merge(record, self.now):
            return
        if (
            known is not None
            and known.state is record.state
            and known.started_at_ms == record.started_at_ms
        ):
            self.subscribers.queue_record(record, self.now)
            return
        self.subscribers.send_record(record, self.now)
        self.log_record(record)

    def log_record(self, record: records.TargetRecord) -> None:
        """Log the state of a target."""
        self.log.write(
            "target_state",
            subscribers=len(self.subscribers.links),
            **records.describe(record),
        )

    async def share_with_majority(
        self, record: records.TargetRecord, withdrawn: bool = False
    ) -> bool:
        """Send a record to the other members until a majority has it.

        ``withdrawn`` is as in `messages.ShareRecord`.

        Returns whether a majority has it. Every entry connected to a majority
        of the members then receives it too.
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
        message = messages.ShareRecord(record=record, withdrawn=withdrawn)
        calls = [
            asyncio.create_task(self.share_record(address, message))
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
        self, address: str, message: messages.ShareRecord
    ) -> bool:
        """Send a record to another member; return whether it confirmed."""
        peer = self.replicated_state.peers.get(address)
        if peer is None:
            return False
        try:
            reply = await peer.call(message, replicated_state.CALL_TIMEOUT_S)
        except (link.LinkClosedError, TimeoutError) as error:
            self.log.write("share_failed", peer=address, reason=str(error))
            return False
        return isinstance(reply, messages.Outcome) and reply.done
