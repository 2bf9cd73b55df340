"""Asks agents to keep adapters loaded while requests use them."""

import dataclasses

from hemlockkeel._internal.links import dialer
from hemlockkeel._internal.links import link
from hemlockkeel._internal.links import messages

# Extra time for the reply after the wait that the agent was allowed.
REPLY_MARGIN_S = 0.3


@dataclasses.dataclass
class Grant:
    """An agent's reply: the adapter is loaded, or the reason it is not.

    The agent keeps a granted adapter loaded until it is released.
    """

    granted: bool
    # Version of the loaded adapter; 0 if the agent gave none.
    version: int
    reason: str
    # Expected wait for a slot in seconds if the agent refused because of it;
    # otherwise 0.
    expected_wait_s: float
    call_id: int
    peer: link.Link
    # Start of the engine's process that has the adapter, milliseconds since
    # the epoch; 0 if unknown.
    started_at_ms: int = 0
    # Whether the agent refused because the load takes longer than the wait.
    loading: bool = False


class AdapterClient:
    """Acquires and releases adapters; each engine has one agent."""

    def __init__(self, agents: dialer.DialerSet, agent_port: int) -> None:
        self.agents = agents
        self.agent_port = agent_port
        # Newest versions of the adapters for which one has been named.
        self.newest_versions: dict[tuple[str, str], int] = {}

    def record_versions(self, message: messages.VersionsUpdate) -> None:
        """Remember the newest versions of adapters."""
        for model, adapter, version in message.versions:
            known = self.get_newest_version(model, adapter)
            self.newest_versions[model, adapter] = max(known, version)

    def get_newest_version(self, model: str, adapter: str) -> int:
        """Return the newest version of an adapter; 0 if none is named."""
        return self.newest_versions.get((model, adapter), 0)

    def get_agent_address(self, target_address: str) -> str:
        """Return the address of a target's agent, on the same instance."""
        host = target_address.rsplit(":", 1)[0]
        return f"{host}:{self.agent_port}"

    async def acquire(
        self, target_address: str, call: messages.EnsureAdapter
    ) -> Grant | None:
        """Ask a target's agent to load an adapter and keep it loaded.

        Returns the agent's grant or refusal; None when there is no
        connection to the agent.

        :raises LinkClosedError: when the connection is lost before the reply,
            or the reply is of another kind.
        :raises TimeoutError: when the agent does not reply in time.
        """
        peer = self.agents.get(self.get_agent_address(target_address))
        if peer is None:
            return None
        call_id = peer.last_call_id + 1
        try:
            reply = await peer.call(call, call.wait_s + REPLY_MARGIN_S)
        except BaseException:
            # The agent may still grant the call that is abandoned here.
            peer.send(messages.ReleaseAdapter(grant_call_id=call_id))
            raise
        if not isinstance(reply, messages.AdapterGrant):
            raise link.LinkClosedError("reply is not an AdapterGrant")
        return Grant(
            reply.granted,
            reply.version,
            reply.reason,
            reply.expected_wait_s,
            call_id,
            peer,
            reply.started_at_ms,
            reply.loading,
        )

    def release(self, grant: Grant) -> None:
        """Tell the agent that the adapter may be unloaded."""
        if grant.granted:
            grant.peer.send(
                messages.ReleaseAdapter(grant_call_id=grant.call_id)
            )
