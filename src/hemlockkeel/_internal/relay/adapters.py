"""Holds adapters at targets while requests of this entry use them."""

import dataclasses

from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages

# Reply that an agent owes beyond the wait it was given.
REPLY_MARGIN_S = 0.3


@dataclasses.dataclass
class Grant:
    """An adapter held at a target, or why it is not."""

    granted: bool
    version: int
    reason: str
    # Expected wait that was too long, seconds; 0 if that is not why.
    expected_wait_s: float
    call_id: int
    peer: link.Link


class AdapterClient:
    """Asks agents; one agent stands beside each engine."""

    def __init__(self, agents: dialer.DialerSet, agent_port: int) -> None:
        self.agents = agents
        self.agent_port = agent_port

    def get_agent_address(self, target_address: str) -> str:
        """Return the address of the agent beside a target."""
        host = target_address.rsplit(":", 1)[0]
        return f"{host}:{self.agent_port}"

    async def acquire(
        self, target_address: str, call: messages.EnsureAdapter
    ) -> Grant | None:
        """Return a grant, or a refusal; None when no agent answers.

        :raises LinkClosedError: when the agent is lost meanwhile.
        :raises TimeoutError: when it does not answer.
        """
        peer = self.agents.get(self.get_agent_address(target_address))
        if peer is None:
            return None
        call_id = peer.last_call + 1
        try:
            reply = await peer.call(call, call.wait_s + REPLY_MARGIN_S)
        except BaseException:
            # The agent may grant what nobody waits for any more.
            peer.send(messages.ReleaseAdapter(granted_call=call_id))
            raise
        if not isinstance(reply, messages.AdapterGrant):
            raise link.LinkClosedError("not a grant")
        return Grant(
            reply.granted,
            reply.version,
            reply.reason,
            reply.expected_wait_s,
            call_id,
            peer,
        )

    def release(self, grant: Grant) -> None:
        """Let the agent unload the adapter again."""
        if grant.granted:
            grant.peer.send(
                messages.ReleaseAdapter(granted_call=grant.call_id)
            )
