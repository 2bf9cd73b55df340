"""Reads and changes the replicated state, forwarding to the leader."""

import asyncio
import concurrent.futures

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages as consensus_messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages
from hemlockkeel._internal.routes import catalogue
from hemlockkeel._internal.utils import event_log

# Shorter than the second after which callers try another member.
CALL_TIMEOUT_S = 0.9
APPLY_CHECK_INTERVAL_S = 0.01


class ReplicatedState:
    """Access to the replicated state through one member.

    Operations run locally if the member is the leader and are forwarded to
    the leader otherwise.
    """

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
        # Commands that were proposed here and are not committed yet.
        self.in_progress: dict[bytes, asyncio.Future[node.Applied]] = {}

    async def read(self) -> messages.Outcome:
        """Return the newest committed configuration.

        ``done`` is false when no leader could be reached.
        """
        outcome = await self.read_local()
        if not outcome.done:
            outcome = await self.forward_to_leader(messages.Read())
        return outcome

    async def read_version(self, timeout_s: float) -> messages.Outcome:
        """Return the newest configuration's version, without its body.

        ``done`` is false when no leader answers within ``timeout_s``.
        """
        if self.node.has_lease():
            return await self.read_applied_version(timeout_s)
        return await self.forward_to_leader(
            messages.Read(version_only=True), timeout_s
        )

    async def read_applied_version(self, timeout_s: float) -> messages.Outcome:
        """Return the newest version if this member has a leader lease."""
        if not await self.wait_until_applied(timeout_s):
            return messages.Outcome(done=False)
        return messages.Outcome(done=True, index=self.catalogue.state.version)

    async def propose(self, command: catalogue.Command) -> int | None:
        """Commit a command and return its log index.

        A configuration that the one in force has overtaken changes nothing,
        and is not proposed. None means that the outcome is unknown: the
        command may still be committed later.
        """
        if self.is_overtaken(command):
            return self.node.applied_index
        data = msgspec.msgpack.encode(command)
        outcome = await self.propose_local(data)
        if not outcome.done:
            outcome = await self.forward_to_leader(
                messages.Propose(command=data)
            )
        return outcome.index if outcome.done else None

    def is_overtaken(self, command: catalogue.Command) -> bool:
        """Return whether a command is known to change nothing.

        What is applied here is committed, so this holds at every member.
        """
        return (
            isinstance(command, catalogue.PutConfiguration)
            and command.version <= self.catalogue.state.version
        )

    async def propose_local(self, data: bytes) -> messages.Outcome:
        """Commit an encoded command if this member is the leader.

        ``done`` is false when it is not, when the outcome is unknown, or
        when the command cannot be decoded: once committed, it would end
        every member that applies it.
        """
        try:
            catalogue.COMMAND_DECODER.decode(data)
        except msgspec.DecodeError as error:
            self.log.write("proposal_unreadable", reason=str(error))
            return messages.Outcome(done=False)
        return await self.propose_entry(
            data, consensus_messages.EntryKind.COMMAND
        )

    async def propose_entry(
        self, data: bytes, kind: consensus_messages.EntryKind
    ) -> messages.Outcome:
        """Commit an entry of any kind, as `propose_local` does."""
        if self.node.core.state is not core.State.LEADER:
            return messages.Outcome(done=False)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                applied = await asyncio.shield(self.start_proposal(data, kind))
        except (
            node.NotLeaderError,
            exceptions.ControlUnavailableError,
            concurrent.futures.CancelledError,
            TimeoutError,
        ) as error:
            self.log.write(
                "proposal_unsure", reason=str(error) or type(error).__name__
            )
            return messages.Outcome(done=False)
        return messages.Outcome(done=True, index=applied.index)

    def start_proposal(
        self, data: bytes, kind: consensus_messages.EntryKind
    ) -> asyncio.Future[node.Applied]:
        """Return the future of a proposal, which goes on if callers leave.

        A command that is sent again while it is in progress is not proposed
        again: the log would hold it once more, and all others would wait for
        that.
        """
        known = self.in_progress.get(data)
        if known is not None:
            return known
        proposed = asyncio.wrap_future(self.node.propose(data, kind))
        proposed.add_done_callback(consume_result)
        if kind is consensus_messages.EntryKind.COMMAND:
            self.in_progress[data] = proposed
            proposed.add_done_callback(
                lambda _: self.in_progress.pop(data, None)
            )
        return proposed

    async def read_local(self) -> messages.Outcome:
        """Return the newest configuration if this member has a leader lease.

        The lease guarantees that no other leader has committed a newer one.
        """
        if not await self.wait_until_applied(CALL_TIMEOUT_S):
            return messages.Outcome(done=False)
        state = self.catalogue.state
        return messages.Outcome(
            done=True, data=state.body, index=state.version
        )

    async def wait_until_applied(self, timeout_s: float) -> bool:
        """Return whether this member leads and has applied what it committed.

        Other members may have applied, and acknowledged again, a change that
        this one has committed but, with a slow disk, not applied.
        """
        if not self.node.has_lease():
            return False
        committed = self.node.core.commit_index
        try:
            async with asyncio.timeout(timeout_s):
                while self.node.applied_index < committed:
                    await asyncio.sleep(APPLY_CHECK_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    async def forward_to_leader(
        self,
        call: messages.Propose | messages.Read | messages.Join,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> messages.Outcome:
        """Send a call to the leader and return its reply.

        ``done`` is false when the leader is unknown, not connected or does
        not answer in time.
        """
        address = self.node.get_leader_address()
        peer = self.peers.get(address) if address else None
        if peer is None:
            return messages.Outcome(done=False)
        try:
            reply = await peer.call(call, timeout_s)
        except (link.LinkClosedError, TimeoutError) as error:
            self.log.write("leader_silent", leader=address, reason=str(error))
            return messages.Outcome(done=False)
        if isinstance(reply, messages.Outcome):
            return reply
        return messages.Outcome(done=False)


def consume_result(proposed: asyncio.Future[node.Applied]) -> None:
    """Mark the error of a proposal as seen, if it has one."""
    if not proposed.cancelled():
        proposed.exception()
