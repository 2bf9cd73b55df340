"""HTTP/1.1 server side of a connection from a caller."""

import abc
import asyncio
import dataclasses
import http
import random

import h11

from hemlockkeel._internal.relay import channel
from hemlockkeel._internal.relay import framing
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import process_budget

# Bounds on the data that is still read and dropped after a rejected request.
# Closing at once would reset the connection, and the caller could lose the
# response.
LINGER_S = 0.5
LINGER_BYTES = 4 * 1024 * 1024
# Bytes that may frame the chunks of a body, besides `FRAMING_RATIO` times the
# body itself: each chunk takes time, however small it is.
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_RATIO = 2
# Received bytes above which reading from a caller pauses: a caller can make
# the process hold them without a request.
HIGH_WATER_BYTES = 16 * 1024
# A complete body is held as it is, and by the connection to the target.
BODY_COPIES = 2
# Mean progress that a body must make over its whole time, after a first part
# of it in which the idle time-out alone counts. Callers on a slow line send
# at least ten times as much, and give up their request before.
MIN_BODY_BYTES_PER_S = 1024
FREE_BODY_S = 30.0
# Bounds of Retry-After for requests that the budget has no room for, seconds.
RETRY_AFTER_S = (1, 3)


@dataclasses.dataclass
class CallerRequest:
    """A request with its complete body."""

    method: bytes
    target: bytes
    # May contain keys, which no log line or error may show.
    headers: header_codec.Headers = dataclasses.field(repr=False)
    body: bytes = dataclasses.field(repr=False)
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

    def __init__(
        self, status: int, reason: str, retryable: bool = False
    ) -> None:
        super().__init__(reason)
        self.status = status
        # Whether the same request may be served later.
        self.retryable = retryable


class CallerConnection(process_budget.Owner):
    """A connection from a caller, which serves one request at a time.

    Pipelined requests wait for the responses before them.
    """

    def __init__(
        self,
        bytes_channel: channel.Channel,
        handler: "RequestHandler",
        budget: process_budget.ProcessBudget,
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
        # Bytes that the parser may still hold.
        self.parser_bytes = 0
        # The part of the current request's body that has arrived.
        self.body = bytearray()
        # Bytes of the request that is handled, copies included.
        self.running_bytes = 0
        # Size of the send buffer when it was last allocated.
        self.sending_bytes = 0
        self.budget = budget
        self.holder = budget.add(self)
        self.update_held()
        bytes_channel.high_water_bytes = HIGH_WATER_BYTES
        bytes_channel.on_end = self.on_end
        bytes_channel.on_resized = self.update_held

    # Budget

    def count_held(self) -> int:
        """Return the memory that this connection takes."""
        unsent = self.channel.unsent_bytes
        if unsent > self.sending_bytes or unsent < self.sending_bytes / 2:
            # A buffer shrinks only once less than half of it is used.
            self.sending_bytes = unsent
        return (
            process_budget.CONNECTION_BYTES
            + len(self.channel.received)
            + self.parser_bytes
            + len(self.body)
            + self.running_bytes
            + self.sending_bytes
        )

    def update_held(self) -> None:
        """Tell the budget how much memory this connection takes."""
        self.budget.resize(self.holder, self.count_held())

    def get_unsent_bytes(self) -> int:
        return self.channel.unsent_bytes

    def has_unread_bytes(self) -> bool:
        return bool(self.channel.received)

    def shed(self) -> None:
        if self.holder.activity is process_budget.Activity.RECEIVING:
            # Not when the task runs next: the memory is needed now.
            self.body = bytearray()
            self.channel.received.clear()
            self.refuse_incomplete()
            return
        self.channel.abort()

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
        # A caller that does not read must not make responses pile up.
        self.idle = True
        await self.channel.drain()
        request = rejection = None
        try:
            request = await self.read_request()
        except RequestRejectedError as error:
            # Without its traceback, whose frames keep what they have read.
            rejection = error.status, error.retryable
            self.handler.on_request_rejected(error.status, str(error))
        self.body = bytearray()
        if rejection is not None:
            await self.reject(*rejection)
            return False
        if request is None:
            return False
        self.budget.set_activity(self.holder, process_budget.Activity.RUNNING)
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
            self.running_bytes = 0
            self.budget.set_activity(
                self.holder, process_budget.Activity.WAITING
            )
            self.update_held()
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
        self.budget.set_activity(
            self.holder, process_budget.Activity.RECEIVING
        )
        try:
            async with asyncio.timeout(None) as self.reading:
                return await self.read_started_request(limits)
        except TimeoutError as error:
            self.check_not_shed()
            raise RequestRejectedError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "request not received before the process ends",
            ) from error
        finally:
            self.reading = None

    def check_not_shed(self) -> None:
        """Check that the budget has not dropped a part of the request.

        :raises RequestRejectedError: when it has.
        """
        if self.holder.is_shed:
            raise RequestRejectedError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "no memory left for incomplete requests",
                retryable=True,
            )

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
        request = CallerRequest(
            bytes(event.method),
            bytes(event.target),
            head,
            b"",
            now,
            bytes(event.http_version),
        )
        self.handler.check_head(request)
        request.body = await self.read_body(head, limits)
        self.check_not_shed()
        self.running_bytes = BODY_COPIES * len(request.body)
        self.body = bytearray()
        if not self.budget.try_resize(self.holder, self.count_held()):
            self.running_bytes = 0
            raise RequestRejectedError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "no memory left for requests",
                retryable=True,
            )
        return request

    async def wait_for_bytes(self, timeout_s: float) -> bool:
        """Wait for the first bytes of a request.

        Returns False when the caller closes or the timeout passes.
        """
        if self.protocol.trailing_data[0]:
            return True
        self.parser_bytes = 0
        try:
            async with asyncio.timeout(timeout_s):
                data = await self.channel.read()
        except TimeoutError:
            # After a pause of the event loop both may be due at once.
            if not self.channel.received:
                return False
            data = await self.channel.read()
        self.receive(data)
        return bool(data)

    def receive(self, data: bytes) -> None:
        """Pass received bytes to the HTTP parser.

        :raises RequestRejectedError: when they violate the protocol.
        """
        self.received_bytes += len(data)
        self.parser_bytes += len(data)
        self.update_held()
        try:
            self.protocol.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise reject_invalid(error) from error

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the HTTP parser.

        :raises RequestRejectedError: when the caller violates the protocol.
        """
        await self.channel.take_turn()
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise reject_invalid(error) from error
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            if self.protocol.they_are_waiting_for_100_continue:
                self.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            if self.protocol.their_state is h11.SEND_BODY:
                # The parser has returned all that arrived before.
                self.parser_bytes = 0
            self.receive(await self.channel.read())

    def get_body_limit_at(
        self, begun_at: float, limits: table.RequestLimits
    ) -> float:
        """Return the loop time until which more of a body must arrive."""
        idle_at = asyncio.get_running_loop().time() + limits.idle_timeout_s
        if self.budget.limits.memory_bytes is None:
            return idle_at
        earned_s = len(self.body) / MIN_BODY_BYTES_PER_S
        return min(idle_at, begun_at + FREE_BODY_S + earned_s)

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
        if not self.budget.make_room(int(length or b"0")):
            raise RequestRejectedError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                "no memory left for a body of this size",
                retryable=True,
            )
        begun_at = asyncio.get_running_loop().time()
        self.received_bytes = 0
        while True:
            self.check_not_shed()
            try:
                async with asyncio.timeout_at(
                    self.get_body_limit_at(begun_at, limits)
                ):
                    event = await self.next_event()
            except TimeoutError as error:
                raise RequestRejectedError(
                    http.HTTPStatus.REQUEST_TIMEOUT,
                    "request body not received in time",
                ) from error
            if isinstance(event, h11.EndOfMessage):
                return bytes(self.body)
            if not isinstance(event, h11.Data):
                raise ConnectionResetError(
                    "caller closed before the body ended"
                )
            self.check_not_shed()
            self.body += event.data
            self.parser_bytes = max(0, self.parser_bytes - len(event.data))
            # Its data would be kept while the next event is awaited.
            del event
            size = len(self.body)
            framing_bytes = self.received_bytes - size
            if framing_bytes > MAX_FRAMING_BYTES + FRAMING_RATIO * size:
                raise RequestRejectedError(
                    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    "request body in too small chunks",
                )
            if size > limits.body_bytes:
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
        events: list[h11.Event] = [
            self.make_response_head(status, head, len(body))
        ]
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        framing.write(self.channel, framing.encode(self.protocol, events))

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

    async def reject(self, status: int, retryable: bool = False) -> None:
        """Respond to a rejected request with an empty body and close."""
        if self.protocol.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        fields: header_codec.Headers = [(b"Connection", b"close")]
        if retryable:
            wait_s = str(random.randint(*RETRY_AFTER_S))
            fields.append((b"Retry-After", wait_s.encode()))
        head = self.make_response_head(status, fields, 0)
        try:
            self.send(head)
            self.send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            return
        if self.channel.transport and self.channel.transport.can_write_eof():
            self.channel.transport.write_eof()
        # What the parser has received is not looked at any more.
        self.protocol = h11.Connection(h11.SERVER)
        self.parser_bytes = 0
        self.update_held()
        await self.linger()

    async def linger(self) -> None:
        """Read and drop what the caller still sends, within bounds."""
        dropped = 0
        try:
            async with asyncio.timeout(LINGER_S):
                while dropped < LINGER_BYTES:
                    # Not kept in a variable while more is awaited.
                    count = len(await self.channel.read())
                    if not count:
                        return
                    dropped += count
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

    def check_head(self, request: CallerRequest) -> None:
        """Check a request whose body has not been read yet.

        :raises RequestRejectedError: when it is refused whatever its body.
        """
        return

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


def reject_invalid(error: h11.RemoteProtocolError) -> RequestRejectedError:
    """Return the rejection of a request that violates the protocol.

    The parser puts the line that it refuses, which may contain a key, after a
    colon. It is left out.
    """
    reason = str(error).partition(": ")[0]
    return RequestRejectedError(error.error_status_hint, reason)


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
