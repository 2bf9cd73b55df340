"""Calls the control leader, whichever member that is."""

import collections.abc
import threading
import time
import typing

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.rpc import client
from hemlockkeel._internal.rpc.gen.hk import Control
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.state import queries

ATTEMPT_TIMEOUT_S = 3.5
RETRY_DELAY_S = 0.05
RETRIED_CODES = frozenset(["not_leader", "unavailable"])


class ControlClient:
    """Finds the leader and retries until a deadline."""

    def __init__(
        self, addresses: list[str], secret: str, peer_id: str
    ) -> None:
        self.addresses = list(addresses)
        self.clients = client.ClientCache(Control.Client, secret, peer_id)
        self.leader = addresses[0]
        self.lock = threading.Lock()
        # Set by tests to cut this process off from the control members.
        self.partitioned = False

    def update_addresses(
        self, addresses: collections.abc.Iterable[str]
    ) -> None:
        """Learn the addresses of the control members in force."""
        with self.lock:
            self.addresses = list(dict.fromkeys([*addresses, *self.addresses]))

    def call(
        self, method: str, argument: object, deadline_s: float
    ) -> typing.Any:
        """Call the leader.

        Commands are safe to repeat, so an interrupted call is retried.

        :raises ControlUnavailableError: when no leader answers in time.
        :raises RpcFault: when the leader refuses the call.
        """
        deadline = time.monotonic() + deadline_s
        address = self.leader
        reason = "no attempt was made"
        while True:
            remaining = deadline - time.monotonic()
            if remaining <= 0 or self.partitioned:
                raise exceptions.ControlUnavailableError(
                    f"no control leader answered: {reason}"
                )
            try:
                reply = self.clients.get(address).call(
                    method,
                    argument,
                    timeout_s=min(remaining, ATTEMPT_TIMEOUT_S),
                )
            except ttypes.RpcFault as fault:
                if fault.code not in RETRIED_CODES:
                    raise
                reason = fault.message
                address = fault.leader or self.get_next_address(address)
            except (
                exceptions.UnreachableError,
                exceptions.InterruptedCallError,
            ) as fault:
                reason = str(fault)
                address = self.get_next_address(address)
            else:
                self.leader = address
                return reply
            time.sleep(
                min(RETRY_DELAY_S, max(0.0, deadline - time.monotonic()))
            )

    def get_next_address(self, address: str) -> str:
        """Return the address to try after one that failed."""
        with self.lock:
            known = self.addresses
            if address not in known:
                return known[0]
            return known[(known.index(address) + 1) % len(known)]

    def propose(
        self, command: commands.AnyCommand, deadline_s: float
    ) -> commands.Outcome:
        """Commit a command and return its outcome."""
        reply = self.call(
            "propose", ttypes.Proposal(commands.encode(command)), deadline_s
        )
        return commands.decode_outcome(reply.outcome)

    def read(
        self, query: queries.AnyQuery, deadline_s: float
    ) -> queries.QueryResult:
        """Read current state."""
        data = msgspec.msgpack.encode(query)
        reply = self.call("read", ttypes.Proposal(data), deadline_s)
        return queries.RESULT_DECODER.decode(reply.outcome)

    def close(self) -> None:
        """Close all connections."""
        self.clients.close()
