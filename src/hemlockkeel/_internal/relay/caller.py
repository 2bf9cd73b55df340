"""A caller's connection: reads requests and writes answers."""

import abc
import asyncio
import dataclasses
import http

import h11

from hemlockkeel._internal.relay import channel
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.routes import table

# How long a refused caller's bytes are read and dropped, so that closing
# does not reset the connection under the refusal.
LINGER_S = 0.5
LINGER_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass
class CallerRequest:
    """A request read in full."""

    method: bytes
    target: bytes
    headers: header_codec.Headers
    body: bytes
    # Time of its first byte's arrival, monotonic seconds.
    arrived_at: float
    http_version: bytes

    @property
    def host(self) -> str:
        """Return the host it is for."""
        value = headers.get(self.headers, b"host") or b""
        return value.decode("latin-1")

    @property
    def path(self) -> str:
        """Return its path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


class RejectedError(Exception):
    """A request that cannot be read; the connection ends after it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class CallerConnection:
    """One connection of a caller; one request at a time."""

    def __init__(
        self, bytes_channel: channel.Channel, handler: "RequestHandler"
    ) -> None:
        self.channel = bytes_channel
        self.handler = handler
        limits = handler.get_limits()
        self.state = h11.Connection(h11.SERVER, limits.header_bytes)
        self.idle = True
        self.answering: asyncio.Task[None] | None = None
        # Whether the answer's head has been sent.
        self.begun = False
        bytes_channel.on_end = self.on_end

    def on_end(self) -> None:
        """Cancel the work for a caller that has gone."""
        if self.answering is not None:
            self.answering.cancel()

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self.serve_one():
                self.state.start_next_cycle()
        except (ConnectionError, h11.LocalProtocolError):
            self.channel.abort()
        finally:
            self.channel.close()
            self.handler.on_connection_closed(self)

    async def serve_one(self) -> bool:
        """Serve one request; tell whether the connection goes on."""
        try:
            request = await self.read_request()
        except RejectedError as fault:
            self.handler.on_request_rejected(fault.status, str(fault))
            await self.reject(fault.status)
            return False
        if request is None:
            return False
        self.begun = False
        loop = asyncio.get_running_loop()
        self.answering = loop.create_task(
            self.handler.handle_request(self, request)
        )
        if self.channel.ended:
            self.answering.cancel()
        try:
            await self.answering
        except asyncio.CancelledError:
            if not self.channel.ended:
                raise
            self.channel.abort()
            return False
        finally:
            self.answering = None
        return self.can_go_on()

    def can_go_on(self) -> bool:
        """Tell whether another request may follow."""
        return (
            not self.handler.is_stopping()
            and self.state.our_state is h11.DONE
            and self.state.their_state is h11.DONE
            and not self.channel.ended
        )

    async def read_request(self) -> CallerRequest | None:
        """Return the next request; None when the caller ends or idles.

        :raises RejectedError: when it is malformed, too large or too slow.
        """
        limits = self.handler.get_limits()
        self.idle = True
        if not await self.wait_for_bytes(limits.idle_timeout_s):
            return None
        self.idle = False
        now = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(limits.header_timeout_s):
                event = await self.next_event()
        except TimeoutError as fault:
            raise RejectedError(
                http.HTTPStatus.REQUEST_TIMEOUT, "headers too slow"
            ) from fault
        if not isinstance(event, h11.Request):
            return None
        head: header_codec.Headers = [
            (bytes(k), bytes(v)) for k, v in event.headers.raw_items()
        ]
        check_size(event, head, limits.header_bytes)
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
        """Wait for the first byte of a request; False if none comes."""
        if self.state.trailing_data[0]:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                data = await self.channel.read()
        except TimeoutError:
            return False
        self.receive(data)
        return bool(data)

    def receive(self, data: bytes) -> None:
        """Feed bytes to the protocol.

        :raises RejectedError: when the caller broke the protocol.
        """
        try:
            self.state.receive_data(data)
        except h11.RemoteProtocolError as fault:
            raise RejectedError(fault.error_status_hint, str(fault)) from fault

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next protocol event.

        :raises RejectedError: when the caller broke the protocol.
        """
        while True:
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError as fault:
                raise RejectedError(
                    fault.error_status_hint, str(fault)
                ) from fault
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            if self.state.they_are_waiting_for_100_continue:
                self.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            self.receive(await self.channel.read())

    async def read_body(
        self, head: header_codec.Headers, limits: table.Limits
    ) -> bytes:
        """Return the request's whole body.

        :raises RejectedError: when it is too large or too slow.
        """
        length = headers.get(head, b"content-length")
        if length is not None and int(length) > limits.body_bytes:
            raise RejectedError(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large"
            )
        body = bytearray()
        while True:
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    event = await self.next_event()
            except TimeoutError as fault:
                raise RejectedError(
                    http.HTTPStatus.REQUEST_TIMEOUT, "body too slow"
                ) from fault
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError("the caller left")
            body += event.data
            if len(body) > limits.body_bytes:
                raise RejectedError(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body too large"
                )

    # Answers

    def send(self, event: h11.Event) -> None:
        """Write one protocol event."""
        data = self.state.send(event)
        if data:
            self.channel.write(data)

    def make_head(
        self, status: int, head: header_codec.Headers, length: int | None
    ) -> h11.Response:
        """Return the head of an answer."""
        fields = list(head)
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        if self.handler.is_stopping():
            fields.append((b"Connection", b"close"))
        reason = http.HTTPStatus(status).phrase if is_known(status) else ""
        return h11.Response(
            status_code=status, headers=fields, reason=reason.encode()
        )

    def send_response(
        self, status: int, head: header_codec.Headers, body: bytes
    ) -> None:
        """Write a whole answer."""
        self.begun = True
        self.send(self.make_head(status, head, len(body)))
        if body:
            self.send(h11.Data(data=body))
        self.send(h11.EndOfMessage())

    def begin_stream(self, status: int, head: header_codec.Headers) -> None:
        """Write the head of an answer whose length is not known."""
        self.begun = True
        self.send(self.make_head(status, head, None))

    async def send_data(self, data: bytes) -> None:
        """Write a part of a stream; wait for a slow caller."""
        self.send(h11.Data(data=data))
        await self.channel.drain()

    def end_stream(self) -> None:
        """Write the end of a complete stream."""
        self.send(h11.EndOfMessage())

    def break_off(self) -> None:
        """Cut the answer off, so that it cannot look complete."""
        self.channel.abort()

    async def reject(self, status: int) -> None:
        """Answer what could not be read, and end the connection."""
        if self.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head = self.make_head(status, [(b"Connection", b"close")], 0)
        try:
            self.send(head)
            self.send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            return
        if self.channel.transport and self.channel.transport.can_write_eof():
            self.channel.transport.write_eof()
        await self.linger()

    async def linger(self) -> None:
        """Read and drop what the caller still sends."""
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
    """What a caller's connection needs of its process."""

    @abc.abstractmethod
    def get_limits(self) -> table.Limits:
        """Return the limits in force."""

    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Tell whether the process is stopping."""

    @abc.abstractmethod
    def on_request_rejected(self, status: int, reason: str) -> None:
        """Learn of a request that could not be read."""

    @abc.abstractmethod
    async def handle_request(
        self, connection: CallerConnection, request: CallerRequest
    ) -> None:
        """Answer a request."""

    @abc.abstractmethod
    def on_connection_closed(self, connection: CallerConnection) -> None:
        """Learn that a connection has ended."""


def is_known(status: int) -> bool:
    """Tell whether a status code has a standard phrase."""
    return status in http.HTTPStatus._value2member_map_


def check_size(
    request: h11.Request, head: header_codec.Headers, limit: int
) -> None:
    """Refuse a head over the limit that came in one piece.

    :raises RejectedError: when it is too large.
    """
    size = len(request.method) + len(request.target) + len("  HTTP/1.1\r\n")
    size += sum(len(key) + len(value) + len(": \r\n") for key, value in head)
    if size > limit:
        raise RejectedError(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "headers too large",
        )


def check_framing(head: header_codec.Headers) -> None:
    """Refuse a request whose end could be read in two ways.

    :raises RejectedError: when it has two kinds of framing (RFC 9112,
        section 6.3).
    """
    lengths = [v for k, v in head if k.lower() == b"content-length"]
    codings = [v for k, v in head if k.lower() == b"transfer-encoding"]
    if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
        raise RejectedError(http.HTTPStatus.BAD_REQUEST, "ambiguous framing")
    hosts = [v for k, v in head if k.lower() == b"host"]
    if len(hosts) > 1:
        raise RejectedError(http.HTTPStatus.BAD_REQUEST, "two hosts")
