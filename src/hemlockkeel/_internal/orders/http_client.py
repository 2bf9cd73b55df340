"""Calls an engine over HTTP on one kept connection."""

import asyncio

from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import pool

# An engine beside its agent answers within milliseconds; an order that got
# no answer in this time may still be carried out.
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.15


class IgnoredHeaders(header_codec.HeaderCodec):
    """Reads nothing from headers: calls need only status and body."""

    def read_request(
        self, headers: header_codec.Headers
    ) -> header_codec.RequestMetadata:
        return header_codec.RequestMetadata("")

    def make_request_headers(
        self,
        headers: header_codec.Headers,
        forwarding: header_codec.ForwardingMetadata,
    ) -> header_codec.Headers:
        return headers

    def read_response(
        self, status: int, headers: header_codec.Headers
    ) -> header_codec.ResponseMetadata:
        return header_codec.ResponseMetadata("", sealed=False, not_run=False)


class HttpEngineClient(engine.EngineClient):
    """Calls the engine at an address."""

    def __init__(self, address: str, codec: engine.EngineCodec) -> None:
        self.address = address
        self.codec = codec
        self.connections = pool.TargetPool(address)
        self.header_codec = IgnoredHeaders()

    async def read_report(self) -> engine.Report:
        try:
            status, body = await self.send_request(
                self.codec.encode_report_request(), REPORT_TIMEOUT_S
            )
        except (
            exchange.ConnectFailedError,
            exchange.InvalidResponseError,
        ) as fault:
            raise OSError(str(fault)) from fault
        if status != 200:
            raise ValueError(f"report answered with {status}")
        return self.codec.decode_report(body)

    async def send_order(self, order: engine.FencedOrder) -> engine.Reply:
        try:
            status, _ = await self.send_request(
                self.codec.encode_order(order), ORDER_TIMEOUT_S
            )
        except (
            exchange.ConnectFailedError,
            exchange.InvalidResponseError,
            TimeoutError,
        ):
            return engine.Reply.UNKNOWN
        return self.codec.decode_order_reply(status)

    async def send_request(
        self, call: engine.HttpRequest, timeout_s: float
    ) -> tuple[int, bytes]:
        """Return the status and body of the answer.

        :raises ConnectFailedError: when there is no connection.
        :raises InvalidResponseError: when the answer is cut off.
        :raises TimeoutError: when none comes.
        """
        loop = asyncio.get_running_loop()
        connection = self.connections.acquire_idle(loop.time(), True)
        if connection is None:
            connection = await self.connections.connect()
        answer: exchange.ResponseHead | None = None
        try:
            async with asyncio.timeout(timeout_s):
                length = str(len(call.body)).encode()
                head = [
                    (b"Host", self.address.encode()),
                    *call.headers,
                    (b"Content-Length", length),
                ]
                connection.send(call.method, call.path, head, call.body)
                answer = await connection.read_head(self.header_codec, "")
                body = await exchange.read_body(connection)
                return answer.status, body
        except BaseException:
            answer = None
            raise
        finally:
            if answer is None:
                self.connections.discard(connection)
            else:
                self.connections.release(
                    connection, answer.headers, loop.time()
                )
