"""Reads and changes the replicated state, here or at the leader."""

import asyncio
import concurrent.futures

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.utils import event_log

# A call's whole time here; callers move on after a second.
CALL_TIMEOUT_S = 0.9


class ReplicatedState:
    """One member's part of the replicated state."""

    def __init__(
        self,
        member: node.Node,
        replicated: catalogue.Catalogue,
        peers: dialer.DialerSet,
        log: event_log.EventLog,
    ) -> None:
        self.node = member
        self.catalogue = replicated
        self.peers = peers
        self.log = log

    async def read(self) -> messages.Outcome:
        """Return the newest configuration, here or from the leader."""
        outcome = self.read_local()
        if not outcome.done:
            outcome = await self.forward_to_leader(messages.Read())
        return outcome

    async def propose(self, command: catalogue.Command) -> int | None:
        """Commit a command; return its index, None if that is unsure."""
        data = msgspec.msgpack.encode(command)
        outcome = await self.propose_local(data)
        if not outcome.done:
            outcome = await self.forward_to_leader(
                messages.Propose(command=data)
            )
        return outcome.index if outcome.done else None

    async def propose_local(self, data: bytes) -> messages.Outcome:
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

    def read_local(self) -> messages.Outcome:
        """Return the newest configuration if this member surely leads."""
        if not self.node.has_lease():
            return messages.Outcome(done=False)
        state = self.catalogue.state
        return messages.Outcome(
            done=True, data=state.body, index=state.version
        )

    async def forward_to_leader(
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
