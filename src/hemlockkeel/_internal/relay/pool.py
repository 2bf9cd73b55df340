"""Kept connections to targets, with a cap for each target."""

import asyncio
import collections
import re

from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers

# A target may drop idle connections without a word; kept ones are used for
# this many seconds at most, and well before an announced time-out.
DEFAULT_IDLE_LIMIT_S = 4.0
IDLE_TIMEOUT_SHARE = 0.6
# Idle time below which targets do not drop connections.
FRESH_IDLE_S = 1.0
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class TargetPool:
    """Connections to one start of a target."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle: collections.deque[exchange.TargetConnection] = (
            collections.deque()
        )
        self.in_use = 0

    def acquire_idle(
        self, now: float, idempotent: bool
    ) -> exchange.TargetConnection | None:
        """Return the kept connection that was used last, if it is sound.

        A target may have dropped it unnoticed; a request that may not be
        repeated would be lost with it, so it takes a fresh one only.
        """
        while self.idle:
            connection = self.idle.pop()
            limit = connection.idle_limit_s or DEFAULT_IDLE_LIMIT_S
            if not idempotent:
                limit = min(limit, FRESH_IDLE_S)
            if connection.reusable and now - connection.idle_since < limit:
                self.in_use += 1
                return connection
            connection.abort()
        return None

    async def connect(self) -> exchange.TargetConnection:
        """Open a connection.

        :raises ConnectFailedError: when that fails.
        """
        self.in_use += 1
        try:
            return await exchange.connect(self.address)
        except (exchange.ConnectFailedError, asyncio.CancelledError):
            self.in_use -= 1
            raise

    def release(
        self,
        connection: exchange.TargetConnection,
        response_headers: header_codec.Headers,
        now: float,
    ) -> None:
        """Keep a connection after a whole answer, if it can be."""
        self.in_use -= 1
        limit = get_idle_limit(response_headers)
        if limit == 0.0 or not connection.finish():
            connection.abort()
            return
        connection.idle_since = now
        connection.idle_limit_s = limit
        self.idle.append(connection)

    def discard(self, connection: exchange.TargetConnection) -> None:
        """Drop a connection whose exchange did not end well."""
        self.in_use -= 1
        connection.abort()

    def close(self) -> None:
        """Close the kept connections."""
        while self.idle:
            self.idle.pop().abort()

    def expire(self, now: float) -> None:
        """Close connections that were idle for long."""
        while self.idle:
            connection = self.idle[0]
            limit = connection.idle_limit_s or DEFAULT_IDLE_LIMIT_S
            if connection.reusable and now - connection.idle_since < limit:
                return
            self.idle.popleft().abort()


def get_idle_limit(response_headers: header_codec.Headers) -> float | None:
    """Return how long a connection may be kept; 0 for not at all."""
    if b"close" in headers.list_tokens(response_headers, b"connection"):
        return 0.0
    value = headers.get(response_headers, b"keep-alive")
    match = KEEP_ALIVE_TIMEOUT.search(value) if value else None
    if match is None:
        return None
    return int(match.group(1)) * IDLE_TIMEOUT_SHARE
