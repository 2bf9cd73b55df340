"""Client that finds the leader of the control members and calls it."""

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

# Of one call to one member.
ATTEMPT_TIMEOUT_S = 3.5
RETRY_DELAY_S = 0.05
RETRIED_CODES = frozenset(["not_leader", "unavailable"])


class ControlClient:
    """Calls the control leader, and retries until a timeout.

    A member that does not lead names the leader; one that does not answer
    is skipped for the next one.
    """

    def __init__(
        self, addresses: list[str], secret: str, peer_id: str
    ) -> None:
        self.addresses = list(addresses)
        self.clients = client.ClientCache(Control.Client, secret, peer_id)
        self.leader = addresses[0]
        self.lock = threading.Lock()
        # Simulates a network partition from the control members, in tests
        # and benchmarks.
        self.partitioned = False

    def update_addresses(
        self, addresses: collections.abc.Iterable[str]
    ) -> None:
        """Put the current control members first in the list of addresses.

        Former addresses are kept behind them, to be tried as a last resort.
        """
        with self.lock:
            self.addresses = list(dict.fromkeys([*addresses, *self.addresses]))

    def call(
        self, method: str, argument: object, timeout_s: float
    ) -> typing.Any:
        """Call a method of the leader and return its reply.

        Commands are idempotent, so a call that was interrupted is retried.

        :raises ControlUnavailableError: when no leader answers within
            ``timeout_s``.
        :raises RpcFault: when the leader refuses the call.
        """
        deadline = time.monotonic() + timeout_s
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
            ) as error:
                reason = str(error)
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
            addresses = self.addresses
            if address not in addresses:
                return addresses[0]
            return addresses[(addresses.index(address) + 1) % len(addresses)]

    def propose(
        self, command: commands.AnyCommand, timeout_s: float
    ) -> commands.Outcome:
        """Commit a command and return its outcome.

        :raises ControlUnavailableError: when no leader answers in time; the
            command may still be committed.
        :raises RpcFault: when the leader refuses the call.
        """
        reply = self.call(
            "propose", ttypes.Proposal(commands.encode(command)), timeout_s
        )
        return commands.decode_outcome(reply.outcome)

    def read(
        self, query: queries.AnyQuery, timeout_s: float
    ) -> queries.QueryResult:
        """Run a query on the current state.

        :raises ControlUnavailableError: when no leader answers in time.
        :raises RpcFault: when the leader refuses the call.
        """
        data = msgspec.msgpack.encode(query)
        reply = self.call("read", ttypes.Proposal(data), timeout_s)
        return queries.RESULT_DECODER.decode(reply.outcome)

    def close(self) -> None:
        """Close all connections."""
        self.clients.close()
