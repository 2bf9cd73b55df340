"""HTTP client connections that bound what a server may send.

`http.client` reads interim responses, trailers and bodies without a limit, and
its timeout applies to each read on its own. A server that always sends a
little more would never be given up.

It also takes the end of a connection for the end of a head or of trailers,
and for that of a body although the server may have broken off. It takes some
interim responses for final ones, and numbers for statuses that are none. A
header field that it cannot read, or one before it, hides the length of a body.
"""

import enum
import http
import http.client
import io
import re
import socket
import time
import typing

from hemlockkeel._internal.utils import delivery

# Head and body of a response that is not a stream.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# All events of a stream.
MAX_STREAM_BYTES = 256 * 1024 * 1024
# A line of an event stream.
MAX_LINE_BYTES = 1024 * 1024
# RFC 9112, section 4, and RFC 9110, section 15.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n")
# RFC 9110, section 5, without line folding (RFC 9112, section 5.2).
FIELD_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*\r?\n"
)
# RFC 9112, section 7.1.
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?\r?\n")
LENGTH = re.compile(r"[0-9]{1,15}")
BLANK_LINES = (b"\r\n", b"\n")
END_OF_CHUNK = b"\r\n"


class ResponseTooLongError(http.client.HTTPException):
    """The server has sent more, or for longer, than is read from it."""


class ResponseTimeoutError(ResponseTooLongError):
    """The response has not ended, or not gone on, within its time limit."""


class ResponseCutError(http.client.HTTPException):
    """The connection has ended inside the head or the framing of a body."""


class BoundedSocketFile(io.RawIOBase):
    """Reads a limited number of bytes from a socket within a time limit."""

    def __init__(self, sock: socket.socket, max_bytes: int) -> None:
        self.sock = sock
        self.source = sock.makefile("rb", buffering=0)
        self.remaining = max_bytes
        # Monotonic time, seconds; None without a limit.
        self.ends_at: float | None = None

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read into a buffer; return the number of bytes.

        :raises ResponseTooLongError: when there are too many bytes.
        :raises ResponseTimeoutError: when the time limit has passed.
        :raises ResponseCutError: when the connection ends before the server
            has received the whole request.
        """
        if self.ends_at is not None and time.monotonic() > self.ends_at:
            raise ResponseTimeoutError("response not complete in time")
        count = self.source.readinto(buffer)
        self.remaining -= count or 0
        if self.remaining < 0:
            raise ResponseTooLongError("response too long")
        if count == 0 and len(buffer):
            self.check_delivered()
        return count

    def check_delivered(self) -> None:
        """Check that the server has received all that was sent.

        It may take a short time for that.

        :raises ResponseCutError: when it has not.
        :raises ConnectionResetError: when the connection was reset.
        """
        ends_at = time.monotonic() + delivery.MAX_WAIT_S
        while True:
            delivery.check_error(self.sock)
            if not delivery.count_unacknowledged(self.sock):
                return
            if time.monotonic() > ends_at:
                raise ResponseCutError("response ended before the request")
            time.sleep(delivery.CHECK_INTERVAL_S)

    def close(self) -> None:
        self.source.close()
        super().close()


class MalformedResponseError(http.client.HTTPException):
    """The head of a response or the framing of its body is invalid."""


class Part(enum.Enum):
    """The part of a response that comes next."""

    HEAD = enum.auto()
    FIELDS = enum.auto()
    CHUNKS = enum.auto()
    TRAILERS = enum.auto()
    # Without chunks.
    BODY = enum.auto()


class FramedReader(io.BufferedReader):
    """Checks the lines of heads, chunk sizes and trailers.

    A connection that ends before a head begins is left to the caller.
    """

    part = Part.HEAD
    # The first line of the last head.
    first_line = b""
    # Bytes of the present chunk that have not been read.
    chunk_left = 0

    def readline(self, limit: int | None = -1, /) -> bytes:
        """Return the next line.

        :raises ResponseCutError: when the connection ends before it does.
        :raises MalformedResponseError: when it is not valid where it stands.
        """
        line = super().readline(limit)
        too_long = limit is not None and 0 <= limit <= len(line)
        if self.part is Part.BODY or too_long:
            return line
        if not line.endswith(b"\n"):
            if line or self.part is not Part.HEAD:
                raise ResponseCutError("response ended inside its framing")
            return line
        self.check_line(line)
        return line

    def check_line(self, line: bytes) -> None:
        """Check a line and set which part follows it.

        :raises MalformedResponseError: when it is not valid.
        """
        match self.part:
            case Part.HEAD:
                self.first_line = line
                self.part = Part.FIELDS
            case Part.CHUNKS:
                size = CHUNK_SIZE_LINE.fullmatch(line)
                if size is None:
                    raise MalformedResponseError("invalid size of a chunk")
                self.chunk_left = int(size.group(1), 16)
                if not self.chunk_left:
                    self.part = Part.TRAILERS
            case Part.FIELDS | Part.TRAILERS if line in BLANK_LINES:
                self.part = Part.HEAD
            case _ if not FIELD_LINE.fullmatch(line):
                raise MalformedResponseError("invalid header field")

    def read(self, size: int | None = -1, /) -> bytes:
        """Return bytes of a body, or what ends a chunk.

        :raises MalformedResponseError: when a chunk does not end where its
            size says.
        """
        data = super().read(size)
        if self.part is not Part.CHUNKS:
            return data
        if self.chunk_left:
            self.chunk_left -= len(data)
        elif not END_OF_CHUNK.startswith(data):
            raise MalformedResponseError("chunk longer than its size")
        return data


class BoundedResponse(http.client.HTTPResponse):
    """A response whose size and time are limited.

    ``max_s`` limits the time from the request to the end of the response, and
    ``head_max_s`` that to the end of its head.
    """

    def __init__(
        self,
        sock: socket.socket,
        method: str | None,
        max_bytes: int,
        head_max_s: float,
        max_s: float | None,
    ) -> None:
        super().__init__(sock, method=method)
        self.fp.close()
        now = time.monotonic()
        self.file = BoundedSocketFile(sock, max_bytes)
        self.file.ends_at = now + head_max_s
        self.body_ends_at = None if max_s is None else now + max_s
        self.reader = FramedReader(self.file)
        self.fp = self.reader

    def begin(self) -> None:
        """Read the head of the final response.

        :raises BadStatusLine: when its status is none.
        :raises MalformedResponseError: when the head is not valid.
        """
        super().begin()
        while self.status < http.HTTPStatus.OK:
            self.check_status()
            self.headers = self.msg = None  # type: ignore[assignment]
            super().begin()
        self.check_status()
        self.check_framing()
        self.reader.part = Part.CHUNKS if self.chunked else Part.BODY
        self.file.ends_at = self.body_ends_at

    def check_status(self) -> None:
        """Check the status line of the last head.

        :raises BadStatusLine: when it has no status, or one that was not
            asked for.
        """
        line = self.reader.first_line
        if (
            not STATUS_LINE.fullmatch(line)
            or self.status == http.HTTPStatus.SWITCHING_PROTOCOLS
        ):
            raise http.client.BadStatusLine(ascii(line))

    def check_framing(self) -> None:
        """Check the fields that tell where the body ends.

        `http.client` reads to the end of the connection if it can't use them.

        :raises MalformedResponseError: when they are not valid.
        """
        codings = self.headers.get_all("Transfer-Encoding", [])
        if codings and [each.lower() for each in codings] != ["chunked"]:
            raise MalformedResponseError("unknown transfer coding")
        lengths = {
            each.strip() for each in self.headers.get_all("Content-Length", [])
        }
        if len(lengths) > 1 or not all(map(LENGTH.fullmatch, lengths)):
            raise MalformedResponseError("invalid length of the body")

    def set_time_left(self, max_s: float) -> None:
        """Limit the time from now to the end of the body."""
        self.file.ends_at = time.monotonic() + max_s


class Connection(http.client.HTTPConnection):
    """A connection whose responses are limited.

    The limits may be changed between requests.
    """

    def __init__(
        self,
        host: str,
        port: int | None,
        timeout_s: float,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        super().__init__(host, port, timeout=timeout_s)
        self.max_bytes = max_bytes
        # The response that was returned last, whose socket stays open after
        # `http.client` has closed its own side of it.
        self.open_response: http.client.HTTPResponse | None = None
        # From the request to the end of the head, and of the response.
        self.head_max_s = timeout_s
        self.max_s: float | None = timeout_s

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, method: str | None = None
    ) -> BoundedResponse:
        """Return a response that is to be read from a socket."""
        return BoundedResponse(
            sock, method, self.max_bytes, self.head_max_s, self.max_s
        )

    def getresponse(self) -> http.client.HTTPResponse:
        """Return the response to the last request; `close` closes it."""
        self.open_response = None
        response = super().getresponse()
        self.open_response = response
        return response

    def close(self) -> None:
        """Close the connection and the response that was returned last."""
        if self.open_response is not None:
            self.open_response.close()
        super().close()

    def putrequest(self, *args: typing.Any, **options: typing.Any) -> None:
        """Begin a request.

        :raises ResponseCutError: when something has arrived before, which
            can't be the response.
        """
        if self.sock is not None and delivery.has_arrived(self.sock):
            raise ResponseCutError("received something before the request")
        super().putrequest(*args, **options)

    def set_limits(self, head_max_s: float, max_s: float | None) -> None:
        """Limit the time of the next response; None for no limit."""
        self.head_max_s = head_max_s
        self.max_s = max_s
