"""Sends requests to an engine over HTTP with keep-alive connections."""

import asyncio

from hemlockkeel._internal.orders import engine
from hemlockkeel._internal.relay import exchange
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import pool

# An engine runs on the instance of its agent and responds within
# milliseconds. An order without a response in time may still be carried out.
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.15


class IgnoredHeaders(header_codec.HeaderCodec):
    """Ignores all headers, as only status and body are needed."""

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
    """Sends requests to the engine at an address."""

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
        ) as error:
            raise OSError(str(error)) from error
        if status != 200:
            raise ValueError(f"report request failed with status {status}")
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
        self, request: engine.HttpRequest, timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response.

        :raises ConnectFailedError: when the connection cannot be opened.
        :raises InvalidResponseError: when the response is incomplete or
            malformed.
        :raises TimeoutError: when the response takes longer than
            ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        connection = self.connections.acquire_idle(loop.time(), True)
        if connection is None:
            connection = await self.connections.connect()
        head: exchange.ResponseHead | None = None
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
                body = await exchange.read_body(connection)
                return head.status, body
        except BaseException:
            head = None
            raise
        finally:
            if head is None:
                self.connections.discard(connection)
            else:
                self.connections.release(connection, head.headers, loop.time())
