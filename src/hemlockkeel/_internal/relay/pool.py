"""Pool of HTTP connections to a target."""

import asyncio
import collections
import re

from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.relay import read_budget

# Idle time up to which a connection is reused if the target announces no
# timeout: targets may close idle connections without notice.
DEFAULT_IDLE_LIMIT_S = 4.0
# Share of an announced idle timeout up to which a connection is reused.
IDLE_TIMEOUT_SHARE = 0.6
# Idle time below which targets do not close connections.
FRESH_IDLE_S = 1.0
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,9})")


class TargetPool:
    """Idle connections to one target incarnation, and a count of used ones."""

    def __init__(
        self, address: str, memory: read_budget.BodyMemory | None = None
    ) -> None:
        self.address = address
        self.memory = memory or read_budget.BodyMemory()
        self.idle: collections.deque[exchange.TargetConnection] = (
            collections.deque()
        )
        self.in_use = 0

    def acquire_idle(
        self, now: float, idempotent: bool, request_id: str
    ) -> exchange.TargetConnection | None:
        """Return the most recently used idle connection; None without one.

        A request without an id gets a new connection, as does one whose id
        was used on the idle one: a late response to an earlier request could
        not be told from its own.

        The target may have closed the connection unnoticed. A request that
        is not idempotent could not be sent again, so it gets only a
        connection that was used within `FRESH_IDLE_S`.
        """
        while self.idle and request_id:
            connection = self.idle.pop()
            connection.set_idle_callback(None)
            limit = connection.idle_limit_s or DEFAULT_IDLE_LIMIT_S
            if not connection.can_tell_response(request_id):
                connection.abort()
                continue
            if not idempotent:
                limit = min(limit, FRESH_IDLE_S)
            if connection.reusable and now - connection.idle_since < limit:
                self.in_use += 1
                return connection
            connection.abort()
        return None

    async def connect(self) -> exchange.TargetConnection:
        """Open a new connection and count it as used.

        :raises ConnectFailedError: when it cannot be established.
        """
        self.in_use += 1
        try:
            return await exchange.connect(self.address, self.memory)
        except (exchange.ConnectFailedError, asyncio.CancelledError):
            self.in_use -= 1
            raise

    def release(
        self,
        connection: exchange.TargetConnection,
        response_headers: header_codec.Headers,
        now: float,
    ) -> None:
        """Return a connection to the pool after a complete response.

        It is closed instead if it cannot be reused.
        """
        self.in_use -= 1
        limit = get_idle_limit(response_headers)
        if limit == 0.0 or not connection.finish():
            connection.abort()
            return
        connection.idle_since = now
        connection.idle_limit_s = limit
        self.idle.append(connection)
        connection.set_idle_callback(lambda: self.drop_idle(connection))

    def drop_idle(self, connection: exchange.TargetConnection) -> None:
        """Close an idle connection that has ended, or on which data arrives.

        Data on many of them would take the memory of the process.
        """
        connection.set_idle_callback(None)
        connection.abort()
        if connection in self.idle:
            self.idle.remove(connection)

    def discard(self, connection: exchange.TargetConnection) -> None:
        """Close a connection whose exchange failed."""
        self.in_use -= 1
        connection.abort()

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().abort()

    def expire(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        while self.idle:
            connection = self.idle[0]
            limit = connection.idle_limit_s or DEFAULT_IDLE_LIMIT_S
            if connection.reusable and now - connection.idle_since < limit:
                return
            self.idle.popleft().abort()


def get_idle_limit(response_headers: header_codec.Headers) -> float | None:
    """Return how long a connection may stay idle, seconds.

    0 when the target closes it; None when the target announces no timeout.
    """
    if b"close" in headers.list_tokens(response_headers, b"connection"):
        return 0.0
    value = headers.get(response_headers, b"keep-alive")
    match = KEEP_ALIVE_TIMEOUT.search(value) if value else None
    if match is None:
        return None
    return int(match.group(1)) * IDLE_TIMEOUT_SHARE
