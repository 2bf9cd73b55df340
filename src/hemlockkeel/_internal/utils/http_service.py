"""HTTP listener, and the readiness and metrics endpoints of a process."""

import asyncio
import http
import math
import typing

from hemlockkeel._internal.relay import caller
from hemlockkeel._internal.relay import channel
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import acceptor
from hemlockkeel._internal.utils import process_budget

BACKLOG = 1024
# Sent to a connection beyond the limit, whose request is not read.
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
# Time in which the first bytes of a connection that was accepted last are
# read.
LAST_READ_S = 0.05
POLL_INTERVAL_S = 0.02


class HttpListener:
    """Accepts connections, and runs a request handler on each."""

    def __init__(
        self,
        handler: caller.RequestHandler,
        budget: process_budget.ProcessBudget | None = None,
        max_connections: float = math.inf,
    ) -> None:
        self.handler = handler
        self.budget = budget or process_budget.ProcessBudget(
            process_budget.ProcessLimits()
        )
        self.limit = process_budget.ConnectionLimit(
            self.budget, max_connections
        )
        self.connections: dict[caller.CallerConnection, typing.Any] = {}
        # Closed connections whose last answer may not have been sent yet.
        self.flushing: set[channel.Channel] = set()
        self.server: acceptor.Acceptor | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address.

        :raises OSError: when it cannot be bound.
        """
        self.server = acceptor.Acceptor(
            lambda: channel.Channel(self.accept), self.limit, REFUSAL
        )
        await self.server.start(host, port, BACKLOG)

    def accept(self, bytes_channel: channel.Channel) -> None:
        """Start a task that serves a new connection."""
        connection = caller.CallerConnection(
            bytes_channel, self.handler, self.budget
        )
        holder = connection.holder
        self.limit.holders.add(holder)
        bytes_channel.on_lost = lambda: self.limit.remove(holder)
        task = asyncio.get_running_loop().create_task(connection.run())
        self.connections[connection] = task
        task.add_done_callback(lambda _: self.remove(connection))

    def remove(self, connection: caller.CallerConnection) -> None:
        """Remove a connection that has been served."""
        self.connections.pop(connection, None)
        if connection.channel.unsent_bytes:
            self.flushing.add(connection.channel)

    def stop_listening(self) -> None:
        """Stop accepting connections; those that exist stay open."""
        if self.server is not None:
            self.server.close()

    async def finish(self, wait_s: float) -> None:
        """Stop accepting connections and wait for their last answers.

        Closing the server at once would reset the connections that wait to
        be accepted.
        """
        if self.server is None:
            return
        loop = asyncio.get_running_loop()
        await self.server.accept_waiting()
        self.stop_listening()
        ends_at = loop.time() + wait_s
        await asyncio.sleep(LAST_READ_S)
        while self.count_busy() and loop.time() < ends_at:
            await asyncio.sleep(POLL_INTERVAL_S)

    def close_idle(self) -> None:
        """Close connections that have no request in flight.

        One whose request has arrived but has not been looked at stays open,
        as does a new one, whose first request is about to arrive.
        """
        for connection, task in list(self.connections.items()):
            if not connection.used:
                continue
            if connection.idle and not connection.channel.received:
                task.cancel()

    def refuse_incomplete(self) -> None:
        """Refuse the requests that have not arrived completely."""
        for connection in self.connections:
            connection.refuse_incomplete()

    def count_busy(self) -> int:
        """Return the number of connections with a request in flight.

        That includes those whose answer has not been sent completely.
        """
        self.flushing = {each for each in self.flushing if each.unsent_bytes}
        return len(self.flushing) + sum(
            not connection.idle or connection.channel.unsent_bytes > 0
            for connection in self.connections
        )


class SimpleRequestHandler(caller.RequestHandler):
    """Base of handlers that respond at once, with the default limits."""

    def get_limits(self) -> table.RequestLimits:
        return table.RequestLimits()

    def is_stopping(self) -> bool:
        return False

    def on_request_rejected(self, status: int, reason: str) -> None:
        return

    def on_connection_closed(
        self, connection: caller.CallerConnection
    ) -> None:
        return


class ReadinessHandler(SimpleRequestHandler):
    """Tells the load balancer whether this process accepts requests.

    Responds with 200 if it does, otherwise with 503.
    """

    def __init__(self, is_ready: typing.Callable[[], bool]) -> None:
        self.is_ready = is_ready

    async def handle_request(
        self,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        status = (
            http.HTTPStatus.OK
            if self.is_ready()
            else http.HTTPStatus.SERVICE_UNAVAILABLE
        )
        connection.send_response(status, [], b"")


class MetricsHandler(SimpleRequestHandler):
    """Serves metrics in the Prometheus text format."""

    def __init__(self, render: typing.Callable[[], bytes]) -> None:
        self.render = render

    async def handle_request(
        self,
        connection: caller.CallerConnection,
        request: caller.CallerRequest,
    ) -> None:
        head: header_codec.Headers = [
            (b"Content-Type", b"text/plain; version=0.0.4")
        ]
        connection.send_response(http.HTTPStatus.OK, head, self.render())
