"""HTTP/1.1 client side of a connection to a target."""

import asyncio
import collections
import collections.abc
import contextlib
import socket

import h11

from hemlockkeel._internal.relay import channel
from hemlockkeel._internal.relay import framing
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers
from hemlockkeel._internal.relay import read_budget

CONNECT_TIMEOUT_S = 1.0
# TCP_USER_TIMEOUT: the kernel closes a connection to a target that
# acknowledges nothing for this long. Less than the three seconds or more that
# callers wait for the next event of a stream before they leave.
TARGET_USER_TIMEOUT_MS = 2500
# Idle time before the first keepalive probe, and interval between probes.
KEEPALIVE_IDLE_S = 1
MAX_HEAD_BYTES = 64 * 1024
HTTP_1 = b"1."
# Higher ones are no statuses (RFC 9110, section 15).
MAX_STATUS = 599
# Responses to other requests that are skipped before the connection is closed.
MAX_MISMATCHED_RESPONSES = 2
# Time for the response to a request after one without a request id, which may
# be an earlier one or this one.
UNIDENTIFIED_RESPONSE_WAIT_S = 0.5
# Ids of the last requests on a connection, none of which is sent there again:
# a late response to the first could not be told from that to the second.
MAX_KNOWN_REQUEST_IDS = 16
# Largest response body that is buffered, so that a truncated response can be
# retried.
MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024


class ConnectFailedError(Exception):
    """The connection could not be established, so nothing was sent."""


class InvalidResponseError(Exception):
    """The response is truncated, malformed or to another request."""


class ResponseHead:
    """Status, headers and metadata of a target's response."""

    def __init__(
        self, response: h11.Response, metadata: header_codec.ResponseMetadata
    ) -> None:
        self.status = response.status_code
        self.headers: header_codec.Headers = [
            (bytes(key), bytes(value))
            for key, value in response.headers.raw_items()
        ]
        self.metadata = metadata

    @property
    def successful(self) -> bool:
        """Return whether the status states success."""
        return 200 <= self.status < 300

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection ends the body."""
        return not any(
            key.lower() in headers.FRAMING_HEADERS for key, _ in self.headers
        )

    @property
    def is_event_stream(self) -> bool:
        """Return whether the body is a stream of server-sent events."""
        kind = headers.get(self.headers, b"content-type") or b""
        return kind.lower().startswith(b"text/event-stream")


class TargetConnection:
    """A connection to a target, for one exchange at a time."""

    def __init__(
        self, bytes_channel: channel.Channel, memory: read_budget.BodyMemory
    ) -> None:
        self.channel = bytes_channel
        self.memory = memory
        self.budget = read_budget.ReadBudget()
        # Whether what is read counts against the budget.
        self.budgeted = False
        self.protocol = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self.used = False
        # Loop time at which it was established.
        self.opened_at = 0.0
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None
        self.request: h11.Request | None = None
        self.body = b""
        # Whether the head of the response to the last request was received.
        self.answering = False
        # Whether that response has the request's id.
        self.identified = False
        # Whether only the end of the connection ends it.
        self.ends_with_connection = False
        self.request_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_KNOWN_REQUEST_IDS
        )

    def send(
        self,
        method: bytes,
        target: bytes,
        head: header_codec.Headers,
        body: bytes,
    ) -> None:
        """Send a request with its complete body.

        :raises InvalidResponseError: when something has arrived before, which
            can't be the response.
        """
        if not self.reusable:
            raise InvalidResponseError("received something before the request")
        self.budget = read_budget.ReadBudget()
        self.answering = False
        self.request = h11.Request(method=method, target=target, headers=head)
        self.body = body
        framing.write(self.channel, self.encode_request())

    def encode_request(self) -> list[bytes]:
        """Advance the HTTP state by the request; return its pieces."""
        assert self.request is not None
        events: list[h11.Event] = [self.request]
        if self.body:
            events.append(h11.Data(data=self.body))
        events.append(h11.EndOfMessage())
        return framing.encode(self.protocol, events)

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the HTTP parser.

        :raises InvalidResponseError: when the response is truncated or
            malformed, or too much was read that is no response.
        """
        await self.channel.take_turn()
        if self.budgeted:
            self.check_budget(self.budget.check_duration)
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise InvalidResponseError(str(error)) from error
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            try:
                data = await self.channel.read()
                if self.budgeted:
                    self.budget.add_bytes(len(data), self.now)
                if not data and self.protocol.their_state is h11.SEND_RESPONSE:
                    raise InvalidResponseError(
                        "connection closed without a response"
                    )
                self.protocol.receive_data(data)
            except (
                ConnectionError,
                h11.RemoteProtocolError,
                read_budget.BudgetExhaustedError,
            ) as error:
                raise InvalidResponseError(str(error)) from error

    @property
    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    def count_unforwarded(self) -> None:
        """Count a message that is not forwarded.

        :raises InvalidResponseError: when there are too many.
        """
        self.check_budget(self.budget.add_message)

    def check_budget(
        self, check: collections.abc.Callable[[float], None]
    ) -> None:
        """Apply one of the budget's checks at the present time.

        :raises InvalidResponseError: when the budget is exhausted.
        """
        try:
            check(self.now)
        except read_budget.BudgetExhaustedError as error:
            raise InvalidResponseError(str(error)) from error

    async def read_head(
        self, codec: header_codec.HeaderCodec, request_id: str
    ) -> ResponseHead:
        """Return the head of the response to the request sent last.

        Responses with another request id are skipped: the target may have
        sent a surplus response to an earlier request on the connection. One
        without an id may be the same, unless the connection is new.

        :raises InvalidResponseError: when no response to the request is
            received.
        """
        self.budgeted = True
        self.request_ids.append(request_id)
        for _ in range(MAX_MISMATCHED_RESPONSES):
            event = await self.next_event()
            while isinstance(event, h11.InformationalResponse):
                self.count_unforwarded()
                event = await self.next_event()
            if not isinstance(event, h11.Response):
                raise InvalidResponseError("no response head received")
            check_status_line(event)
            raw = [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()]
            response = ResponseHead(
                event, codec.read_response(event.status_code, raw)
            )
            self.ends_with_connection = response.ends_with_connection
            found = response.metadata.request_id
            if found == request_id or not (found or self.used):
                self.budgeted = False
                self.answering = True
                self.identified = bool(found) and found == request_id
                return response
            self.count_unforwarded()
            await self.skip_mismatched_response()
            if not found:
                await self.wait_for_identified_response()
        raise InvalidResponseError("received only responses to other requests")

    async def wait_for_identified_response(self) -> None:
        """Wait until more is received after a response without an id.

        That was the response to the request unless another one follows.

        :raises InvalidResponseError: when nothing follows for too long.
        """
        if self.protocol.trailing_data[0]:
            return
        try:
            async with asyncio.timeout(UNIDENTIFIED_RESPONSE_WAIT_S):
                data = await self.channel.read()
            self.budget.add_bytes(len(data), self.now)
            self.protocol.receive_data(data)
        except (
            TimeoutError,
            ConnectionError,
            h11.RemoteProtocolError,
            read_budget.BudgetExhaustedError,
        ):
            raise InvalidResponseError(
                "received only a response without a request id"
            ) from None

    async def skip_mismatched_response(self) -> None:
        """Drop a response to another request, to read the one after it.

        :raises InvalidResponseError: when the connection closes or the
            response is malformed.
        """
        while await self.read_data() is not None:
            continue
        trailing, closed = self.protocol.trailing_data
        if closed:
            raise InvalidResponseError(
                "connection closed after a response to another request"
            )
        # The parser accepts one response per request, so a new one is told
        # of the request, which is not sent again.
        self.protocol = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self.encode_request()
        if trailing:
            self.protocol.receive_data(trailing)

    async def read_data(self) -> bytes | None:
        """Return the next bytes of the body; None at its end.

        :raises InvalidResponseError: when the body ends early.
        """
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            await self.check_end()
            return None
        raise InvalidResponseError("response body ended early")

    async def check_end(self) -> None:
        """Check that a response that ends with its connection is complete.

        :raises InvalidResponseError: when the target may have broken off, as
            it has not received the whole request.
        """
        if not self.ends_with_connection or not self.channel.ended:
            return
        try:
            await self.channel.check_delivered()
        except ConnectionError as error:
            raise InvalidResponseError(str(error)) from error

    def finish(self) -> bool:
        """End the exchange; return whether the connection can be reused."""
        self.used = True
        self.body = b""
        if self.channel.closing or self.channel.ended or not self.identified:
            return False
        if self.channel.received or self.channel.unsent_bytes:
            return False
        if self.protocol.trailing_data[0]:
            return False
        try:
            self.protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    @property
    def reusable(self) -> bool:
        """Return whether the connection is open and has no data.

        What arrives before a request is no response to it.
        """
        return not (
            self.channel.closing or self.channel.ended or self.channel.received
        )

    def set_idle_callback(
        self, callback: collections.abc.Callable[[], None] | None
    ) -> None:
        """Have a function called when data or the end arrives."""
        self.channel.on_resized = self.channel.on_end = callback

    def check_no_surplus(self) -> None:
        """Check that nothing follows a response without an id.

        :raises InvalidResponseError: when something does, as the response may
            be a late one to an earlier request.
        """
        if self.channel.received or self.protocol.trailing_data[0]:
            raise InvalidResponseError("more than one response received")

    def can_tell_response(self, request_id: str) -> bool:
        """Return whether a late response is told from that to a request."""
        if not self.used:
            return True
        return bool(request_id) and request_id not in self.request_ids

    def abort(self) -> None:
        """Close the connection at once."""
        self.channel.abort()


def check_status_line(response: h11.Response) -> None:
    """Check what the parser accepts of any server.

    :raises InvalidResponseError: when it is not a valid HTTP/1 response.
    """
    if not response.http_version.startswith(HTTP_1):
        raise InvalidResponseError(
            f"not HTTP/1: {response.http_version.decode()}"
        )
    if response.status_code > MAX_STATUS:
        raise InvalidResponseError(f"no status: {response.status_code}")


def enable_keepalive(sock: socket.socket) -> None:
    """Make the kernel detect a peer that disappears without a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TARGET_USER_TIMEOUT_MS)


async def connect(
    address: str, memory: read_budget.BodyMemory | None = None
) -> TargetConnection:
    """Open a connection to a target.

    Response bodies are read into ``memory``, if given.

    :raises ConnectFailedError: when it is refused or times out, or the address
        is malformed.
    """
    bytes_channel = await open_channel(address)
    connection = TargetConnection(
        bytes_channel, memory or read_budget.BodyMemory()
    )
    connection.opened_at = asyncio.get_running_loop().time()
    return connection


async def open_channel(address: str) -> channel.Channel:
    """Open a connection to a target, for no exchange yet.

    :raises ConnectFailedError: as `connect` does.
    """
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, bytes_channel = await loop.create_connection(
                channel.Channel, host, int(port)
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        raise ConnectFailedError(
            f"{address}: {error or type(error).__name__}"
        ) from error
    enable_keepalive(transport.get_extra_info("socket"))
    return bytes_channel


async def read_body(connection: TargetConnection) -> bytes:
    """Return the complete body of a response.

    :raises InvalidResponseError: when it ends early, or exceeds
        `MAX_BUFFERED_BODY_BYTES` or the memory for bodies.
    """
    body = bytearray()
    try:
        while True:
            data = await connection.read_data()
            if data is None:
                return bytes(body)
            connection.memory.acquire(len(data))
            body += data
            if len(body) > MAX_BUFFERED_BODY_BYTES:
                raise InvalidResponseError("response body too large")
    except read_budget.BudgetExhaustedError as error:
        raise InvalidResponseError(str(error)) from error
    finally:
        connection.memory.release(len(body))


@contextlib.asynccontextmanager
async def within_budget(
    connection: TargetConnection,
) -> collections.abc.AsyncIterator[None]:
    """Apply the budget to a body that is probably not forwarded.

    :raises InvalidResponseError: when it is exhausted.
    """
    connection.count_unforwarded()
    connection.budgeted = True
    try:
        async with asyncio.timeout(read_budget.ReadBudget.MAX_DURATION_S):
            yield
    except TimeoutError as error:
        raise InvalidResponseError("body not received in time") from error
    finally:
        connection.budgeted = False


async def skip_body(connection: TargetConnection) -> None:
    """Read and drop the body of a response that is not forwarded.

    :raises InvalidResponseError: when it ends early or exceeds the budget.
    """
    async with within_budget(connection):
        while await connection.read_data() is not None:
            continue
