"""One request and its answer on a connection to a target."""

import asyncio
import socket

import h11

from hemlockkeel._internal.relay import channel
from hemlockkeel._internal.relay import header_codec
from hemlockkeel._internal.relay import headers

CONNECT_TIMEOUT_S = 1.0
# A connection to a target that acknowledges nothing for this long is given
# up, milliseconds: before callers of streams leave, which wait for an event
# for three seconds or more. Probes are sent on a connection that has been
# silent for the time below, seconds.
TARGET_USER_TIMEOUT_MS = 2500
KEEPALIVE_IDLE_S = 1
MAX_HEAD_BYTES = 64 * 1024
# Answers of other requests that are skipped before a connection is given up.
MAX_MISMATCHED_RESPONSES = 2


# Body of an answer that is held to be retried when it is cut off.
MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024


class ConnectFailedError(Exception):
    """No connection was made, so nothing was sent."""


class InvalidResponseError(Exception):
    """The answer ended early or is no answer."""


class ResponseHead:
    """Head of a target's answer."""

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
    def is_event_stream(self) -> bool:
        """Tell whether the body is a stream of events."""
        kind = headers.get(self.headers, b"content-type") or b""
        return kind.lower().startswith(b"text/event-stream")


class TargetConnection:
    """A connection to a target, for one exchange at a time."""

    def __init__(self, bytes_channel: channel.Channel) -> None:
        self.channel = bytes_channel
        self.protocol = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self.used = False
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None
        self.request: h11.Request | None = None
        self.body = b""

    def send(
        self,
        method: bytes,
        target: bytes,
        head: header_codec.Headers,
        body: bytes,
    ) -> None:
        """Send a request with its whole body."""
        self.request = h11.Request(method=method, target=target, headers=head)
        self.body = body
        self.channel.write(self.encode_request())

    def encode_request(self) -> bytes:
        """Let the protocol state pass the request; return its bytes."""
        assert self.request is not None
        data = self.protocol.send(self.request) or b""
        if self.body:
            data += self.protocol.send(h11.Data(data=self.body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        return data

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next protocol event.

        :raises InvalidResponseError: when the answer is cut off or malformed.
        """
        while True:
            try:
                event = self.protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise InvalidResponseError(str(error)) from error
            if not isinstance(event, type) or event is h11.PAUSED:
                return event
            try:
                data = await self.channel.read()
                if not data and self.protocol.their_state is h11.SEND_RESPONSE:
                    raise InvalidResponseError("closed without a response")
                self.protocol.receive_data(data)
            except (ConnectionError, h11.RemoteProtocolError) as error:
                raise InvalidResponseError(str(error)) from error

    async def read_head(
        self, codec: header_codec.HeaderCodec, request_id: str
    ) -> ResponseHead:
        """Return the head of the answer to the request sent last.

        Answers to other requests are skipped: an extra one may lie where
        this one is due.

        :raises InvalidResponseError: when no such answer comes.
        """
        for _ in range(MAX_MISMATCHED_RESPONSES):
            event = await self.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self.next_event()
            if not isinstance(event, h11.Response):
                raise InvalidResponseError("no response")
            raw = [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()]
            response = ResponseHead(
                event, codec.read_response(event.status_code, raw)
            )
            if response.metadata.request_id in ("", request_id):
                return response
            await self.skip_mismatched_response()
        raise InvalidResponseError("only answers to other requests")

    async def skip_mismatched_response(self) -> None:
        """Read an answer to another request to its end and go on."""
        while await self.read_data() is not None:
            continue
        trailing, closed = self.protocol.trailing_data
        if closed:
            raise InvalidResponseError("closed after another response")
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
            return None
        raise InvalidResponseError("the body ended early")

    def finish(self) -> bool:
        """End the exchange; tell whether the connection may be kept."""
        self.used = True
        if self.channel.closing or self.channel.ended:
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
        """Tell whether an idle connection can still be used."""
        return not (
            self.channel.closing or self.channel.ended or self.channel.received
        )

    def abort(self) -> None:
        """Drop the connection at once."""
        self.channel.abort()


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel find a connection that went silent without a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TARGET_USER_TIMEOUT_MS)


async def connect(address: str) -> TargetConnection:
    """Connect to a target.

    :raises ConnectFailedError: when that fails.
    """
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, made = await loop.create_connection(
                channel.Channel, host, int(port)
            )
    except (OSError, TimeoutError, ValueError) as error:
        raise ConnectFailedError(
            f"{address}: {error or type(error).__name__}"
        ) from error
    enable_keepalive(transport.get_extra_info("socket"))
    return TargetConnection(made)


async def read_body(connection: TargetConnection) -> bytes:
    """Return the whole body of an answer.

    :raises InvalidResponseError: when it ends early or is too long.
    """
    body = bytearray()
    while True:
        data = await connection.read_data()
        if data is None:
            return bytes(body)
        body += data
        if len(body) > MAX_BUFFERED_BODY_BYTES:
            raise InvalidResponseError("response too long")
