"""HTTP/1.1 server side of a connection from a caller."""

import abc
import asyncio
import dataclasses
import http

import h11

from hemlockkeel._internal.relay import channel
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.routes import table

# Bounds on the data that is still read and dropped after a rejected request.
# Closing at once would reset the connection, and the caller could lose the
# response.
LINGER_S = 0.5
LINGER_BYTES = 4 * 1024 * 1024
# Bytes that may frame the chunks of a body, besides `FRAMING_RATIO` times the
# body itself: each chunk takes time, however small it is.
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_RATIO = 2


@dataclasses.dataclass
class CallerRequest:
    """A request with its complete body."""

    method: bytes
    target: bytes
    headers: header_codec.Headers
    body: bytes
    # Arrival of the first byte, in loop time, seconds.
    arrived_at: float
    http_version: bytes

    @property
    def host(self) -> str:
        """Return the value of the Host header; empty without one."""
        value = headers.get(self.headers, b"host") or b""
        return value.decode("latin-1")

    @property
    def path(self) -> str:
        """Return the path of the request target, without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class RequestRejectedError(Exception):
    """A request is malformed, too large or too slow.

    The connection is closed after the response, which has the HTTP status
    ``status``.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class CallerConnection:
    """A connection from a caller, which serves one request at a time.

    Pipelined requests wait for the responses before them.
    """

    def __init__(
        self, bytes_channel: channel.Channel, handler: "RequestHandler"
    ) -> None:
        self.channel = bytes_channel
        self.handler = handler
        limits = handler.get_limits()
        self.protocol = h11.Connection(h11.SERVER, limits.header_bytes)
        # Bytes received since the head of the current request.
        self.received_bytes = 0
        self.idle = True
        # Whether a request has arrived on the connection.
        self.used = False
        self.request_task: asyncio.Task[None] | None = None
        # Ends the reading of a request that has begun; None at other times.
        self.reading: asyncio.Timeout | None = None
        # Whether the head of the response has been sent.
        self.response_started = False
        bytes_channel.on_end = self.on_end

    def on_end(self) -> None:
        """Cancel the request of a caller that has closed the connection."""
        if self.request_task is not None:
            self.request_task.cancel()

    async def run(self) -> None:
        """Serve requests until the connection is closed."""
        try:
            while await self.serve_request():
                self.protocol.start_next_cycle()
        except (ConnectionError, h11.LocalProtocolError):
            self.channel.abort()
        finally:
            self.channel.close()
            self.handler.on_connection_closed(self)

    async def serve_request(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            request = await self.read_request()
        except RequestRejectedError as error:
            self.handler.on_request_rejected(error.status, str(error))
            await self.reject(error.status)
            return False
        if request is None:
            return False
        self.response_started = False
        loop = asyncio.get_running_loop()
        self.request_task = loop.create_task(
            self.handler.handle_request(self, request)
        )
        if self.channel.ended:
            self.request_task.cancel()
        try:
            await self.request_task
        except asyncio.CancelledError:
            if not self.channel.ended:
                raise
            self.channel.abort()
            return False
        except Exception as error:
            loop.call_exception_handler(
                {"message": "request handler failed", "exception": error}
            )
            self.respond_to_failure()
        finally:
            self.request_task = None
        return self.can_reuse()

    def respond_to_failure(self) -> None:
        """Respond 500 after an error of the handler, or abort its response.

        The request may have run. A complete response stays as it is.
        """
        if not self.response_started:
            self.send_response(http.HTTPStatus.INTERNAL_SERVER_ERROR, [], b"")
        elif self.protocol.our_state is not h11.DONE:
            self.abort()

    def can_reuse(self) -> bool:
        """Return whether the connection may serve another request."""
        return (
            not self.handler.is_stopping()
            and self.protocol.our_state is h11.DONE
            and self.protocol.their_state is h11.DONE
            and not self.channel.ended
        )

    async def read_request(self) -> CallerRequest | None:
        """Return the next request; None if the caller closes or sends none.

        :raises RequestRejectedError: when it is malformed, too large or too
            slow.
        :raises ConnectionError: when the caller closes before its end.
        """
        limits = self.handler.get_limits()
        self.idle = True
        if not await self.wait_for_bytes(limits.idle_timeout_s):
            return None
        self.idle = False
        self.used = True
        try:
            async with asyncio.timeout(None) as self.reading:
                return await self.read_started_request(limits)
        except TimeoutError as error:
            raise RequestRejectedError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "request not received before the process ends",
            ) from error
        finally:
            self.reading = None

    def refuse_incomplete(self) -> None:
        """Refuse the request of which a part has arrived, if any."""
        if self.reading is not None:
            self.reading.reschedule(asyncio.get_running_loop().time())

    async def read_started_request(
        self, limits: table.RequestLimits
    ) -> CallerRequest | None:
        """Return the request whose first bytes have been read.

        :raises RequestRejectedError: as `read_request` does.
        :raises ConnectionError: when the caller closes before its end.
        """
        now = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                event = await self.next_event()
        except TimeoutError as error:
            raise RequestRejectedError(
                http.HTTPStatus.REQUEST_TIMEOUT,
                "request headers not received in time",
            ) from error
        if not isinstance(event, h11.Request):
            return None
        head: header_codec.Headers = [
            (bytes(k), bytes(v)) for k, v in event.headers.raw_items()
        ]
        check_header_size(event, head, limits.header_bytes)
        check_framing(head)
        body = await self.read_body(head, limits)
        return CallerRequest(
            bytes(event.method),
            bytes(event.target),
            head,
            body,
            now,
            bytes(event.http_version),
        )

    async def wait_for_bytes(self, timeout_s: float) -> bool:
        """Wait for the first bytes of a request.

        Returns False when the caller closes or the timeout passes.
        """
        if self.protocol.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                data = await self.channel.read()
        except TimeoutError:
            return False
        self.receive(data)
        return bool(data)

    def receive(self, data: bytes) -> None:
        """Pass received bytes to the HTTP parser.

        :raises RequestRejectedError: when they violate the protocol.
        """
        self.received_bytes += len(data)
        try:
            self.protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise RequestRejectedError(
                error.error_status_hint, str(error)
            ) from error

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the HTTP parser.

        :raises RequestRejectedError: when the caller violates the protocol.
        """
        await self.channel.take_turn()
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestRejectedError(
                    error.error_status_hint, str(error)
                ) from error
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                self.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            self.receive(await self.channel.read())

    async def read_body(
        self, head: header_codec.Headers, limits: table.RequestLimits
    ) -> bytes:
        """Return the request's complete body.

        :raises RequestRejectedError: when it is too large or too slow.
        :raises ConnectionError: when the caller closes before its end.
        """
        length = headers.get(head, b"content-length")
        if length is not None and int(length) > limits.body_bytes:
            raise RequestRejectedError(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                "request body too large",
            )
        body = bytearray()
        self.received_bytes = 0
        while True:
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    event = await self.next_event()
            except TimeoutError as error:
                raise RequestRejectedError(
                    http.HTTPStatus.REQUEST_TIMEOUT,
                    "request body not received in time",
                ) from error
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError(
                    "caller closed before the body ended"
                )
            body += event.data
            framing_bytes = self.received_bytes - len(body)
            if framing_bytes > MAX_FRAMING_BYTES + FRAMING_RATIO * len(body):
                raise RequestRejectedError(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    "request body in too small chunks",
                )
            if len(body) > limits.body_bytes:
                raise RequestRejectedError(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    "request body too large",
                )

    # Responses

    def send(self, event: h11.Event) -> None:
        """Write one HTTP event."""
        data = self.protocol.send(event)
        if data:
            self.channel.write(data)

    def make_response_head(
        self, status: int, head: header_codec.Headers, length: int | None
    ) -> h11.Response:
        """Return the head of a response.

        ``length`` is that of the body; None if it is not known yet.
        """
        fields = list(head)
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        if self.handler.is_stopping():
            fields.append((b"Connection", b"close"))
        reason = (
            http.HTTPStatus(status).phrase
            if has_standard_phrase(status)
            else ""
        )
        return h11.Response(
            status_code=status, headers=fields, reason=reason.encode()
        )

    def send_response(
        self, status: int, head: header_codec.Headers, body: bytes
    ) -> None:
        """Write a complete response."""
        self.response_started = True
        self.send(self.make_response_head(status, head, len(body)))
        if body:
            self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())

    def start_stream(self, status: int, head: header_codec.Headers) -> None:
        """Write the head of a response whose length is not known."""
        self.response_started = True
        if self.ends_with_connection:
            self.channel.reset_when_closed(True)
        self.send(self.make_response_head(status, head, None))

    async def send_data(self, data: bytes) -> None:
        """Write a part of a stream; wait while the send buffer is full."""
        self.send(h11.Data(data=data))
        await self.channel.drain()

    def end_stream(self) -> None:
        """Write the end of a stream, which marks it as complete."""
        if self.ends_with_connection:
            self.channel.reset_when_closed(False)
        self.send(h11.EndOfMessage())

    def abort(self) -> None:
        """Abort the connection, so that the response cannot look complete.

        Without chunks, only a reset tells an aborted response from the end.
        """
        if self.ends_with_connection:
            self.channel.reset()
            return
        self.channel.abort()

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends a stream."""
        return self.protocol.their_http_version == b"1.0"

    async def reject(self, status: int) -> None:
        """Respond to a rejected request with an empty body and close."""
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head = self.make_response_head(status, [(b"Connection", b"close")], 0)
        try:
            self.send(head)
            self.send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            return
        if self.channel.transport and self.channel.transport.can_write_eof():
            self.channel.transport.write_eof()
        await self.linger()

    async def linger(self) -> None:
        """Read and drop what the caller still sends, within bounds."""
        dropped = 0
        try:
            async with asyncio.timeout(LINGER_S):
                while dropped < LINGER_BYTES:
                    data = await self.channel.read()
                    if not data:
                        return
                    dropped += len(data)
        except (TimeoutError, ConnectionError):
            return


class RequestHandler(abc.ABC):
    """What a caller's connection requires of the process it belongs to."""

    @abc.abstractmethod
    def get_limits(self) -> table.RequestLimits:
        """Return the limits in force."""

    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Return whether connections close after the current response."""

    @abc.abstractmethod
    def on_request_rejected(self, status: int, reason: str) -> None:
        """Handle the rejection of a request, with the status it got."""

    @abc.abstractmethod
    async def handle_request(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Send a response to a request on its connection.

        Cancelled when the caller closes the connection.
        """

    @abc.abstractmethod
    def on_connection_closed(self, connection: CallerConnection) -> None:
        """Handle the end of a connection."""


def has_standard_phrase(status: int) -> bool:
    """Return whether a status code has a standard reason phrase."""
    return status in http.HTTPStatus._value2member_map_


def check_header_size(
    request: h11.Request, head: header_codec.Headers, limit: int
) -> None:
    """Check the size of a request head.

    The parser limits only heads that arrive in several pieces.

    :raises RequestRejectedError: when it is too large.
    """
    size = len(request.method) + len(request.target) + len("  HTTP/1.1\r\n")
    size += sum(len(key) + len(value) + len(": \r\n") for key, value in head)
    if size > limit:
        raise RequestRejectedError(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "request headers too large",
        )


def check_framing(head: header_codec.Headers) -> None:
    """Check that the end of the body and the host are unambiguous.

    :raises RequestRejectedError: when Content-Length or Transfer-Encoding is
        repeated, both are present (RFC 9112, section 6.3) or Host is
        repeated (section 3.2).
    """
    lengths = [v for k, v in head if k.lower() == b"content-length"]
    codings = [v for k, v in head if k.lower() == b"transfer-encoding"]
    if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
        raise RequestRejectedError(
            http.HTTPStatus.BAD_REQUEST,
            "ambiguous Content-Length or Transfer-Encoding",
        )
    hosts = [v for k, v in head if k.lower() == b"host"]
    if len(hosts) > 1:
        raise RequestRejectedError(
            http.HTTPStatus.BAD_REQUEST, "more than one Host header"
        )
