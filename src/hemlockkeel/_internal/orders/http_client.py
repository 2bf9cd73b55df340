"""Sends requests to an engine over HTTP.

Engines repeat no ids in their replies to these calls, so that a late response
to an earlier call could be taken for the next one. Each order therefore has a
connection of its own. Reports share one, as they are read many times a second:
a late one is told by the bytes that follow it.
"""

import asyncio
import dataclasses
import http
import itertools
import time

from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import pool
from hemlockkeel._internal.utils import retry_after

# An engine runs on the instance of its agent and responds within
# milliseconds. An order without a response in time may still be carried out.
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.15


class HttpEngineClient(engine.EngineClient):
    """Sends requests to the engine at an address."""

    def __init__(
        self,
        address: str,
        codec: engine.EngineCodec,
        headers: header_codec.HeaderCodec,
    ) -> None:
        self.address = address
        self.codec = codec
        self.header_codec = headers
        self.connections = pool.TargetPool(address)
        self.call_numbers = itertools.count(1)
        # Loop time until which the engine wants no requests of this agent.
        self.held_until = float("-inf")

    async def read_report(self) -> engine.Report:
        try:
            head, body = await self.send_request(
                self.codec.encode_report_request(), REPORT_TIMEOUT_S
            )
        except (
            exchange.ConnectFailedError,
            exchange.InvalidResponseError,
        ) as error:
            raise OSError(str(error)) from error
        if head.status != http.HTTPStatus.OK:
            raise ValueError(
                f"report request failed with status {head.status}"
            )
        return dataclasses.replace(
            self.codec.decode_report(body), leaving=head.metadata.leaving
        )

    async def send_order(self, order: engine.FencedOrder) -> engine.Reply:
        try:
            head, _ = await self.send_request(
                self.codec.encode_order(order), ORDER_TIMEOUT_S
            )
        except (
            exchange.ConnectFailedError,
            exchange.InvalidResponseError,
            TimeoutError,
        ):
            return engine.Reply.UNKNOWN
        return self.codec.decode_order_reply(head.status)

    async def send_request(
        self, request: engine.HttpRequest, timeout_s: float
    ) -> tuple[exchange.ResponseHead, bytes]:
        """Send a request and return the head and body of the response.

        :raises ConnectFailedError: when the connection cannot be opened, or
            the engine has asked for a pause that has not ended.
        :raises InvalidResponseError: when the response is incomplete or
            malformed.
        :raises TimeoutError: when the response takes longer than
            ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        if loop.time() < self.held_until:
            raise exchange.ConnectFailedError("the engine asked for a pause")
        connection = None
        if request.repeatable:
            connection = self.connections.acquire_idle(
                loop.time(), True, f"agent-{next(self.call_numbers)}"
            )
        if connection is None:
            connection = await self.connections.connect()
        reusable_head: exchange.ResponseHead | None = None
        try:
            async with asyncio.timeout(timeout_s):
                length = str(len(request.body)).encode()
                headers = [
                    (b"Host", self.address.encode()),
                    *request.headers,
                    (b"Content-Length", length),
                ]
                connection.send(
                    request.method, request.path, headers, request.body
                )
                head = await connection.read_head(self.header_codec, "")
                async with exchange.within_budget(connection):
                    body = await exchange.read_body(connection)
                connection.check_no_surplus()
                self.update_hold(head)
                if request.repeatable and head.status == http.HTTPStatus.OK:
                    connection.identified = True
                    reusable_head = head
                return head, body
        finally:
            if reusable_head is None:
                self.connections.discard(connection)
            else:
                self.connections.release(
                    connection, reusable_head.headers, loop.time()
                )

    def update_hold(self, head: exchange.ResponseHead) -> None:
        """Send the engine nothing for as long as a refusal asks for."""
        if head.status != http.HTTPStatus.SERVICE_UNAVAILABLE:
            return
        requested = retry_after.read(head.headers, time.time())
        if requested.delay_s is not None:
            ends_at = asyncio.get_running_loop().time() + requested.delay_s
            self.held_until = max(self.held_until, ends_at)
