"""Engine with an HTTP interface; completions follow the OpenAI API."""

import collections.abc
import contextlib
import dataclasses
import http.client
import json
import typing
import urllib.parse

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.engines import base
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.utils import bounded_http
from hemlockkeel._internal.utils import pause
from hemlockkeel._internal.utils import strict_json

ORDER_TIMEOUT_S = 60.0
PROBE_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 2.0
# A running engine sends a token or an SSE comment at least this often.
STREAM_READ_TIMEOUT_S = 30.0
# Longest time between the tokens of a run, many times that of any objective.
# An engine that sends only comments has stalled.
TOKEN_TIMEOUT_S = 120.0
# Body of a refused run, the beginning of which is logged.
MAX_REFUSAL_BYTES = 64 * 1024
FENCE_HEADER = "X-Fence"
DATA_PREFIX = b"data: "

_Reply = typing.TypeVar("_Reply")


@dataclasses.dataclass
class IdentityReply:
    """Response with the identity of an engine."""

    boot_id: str
    base_model: str
    role: base.EngineRole
    batch_slots: int
    adapter_slots: int
    obeys_fencing: bool
    software_version: str = ""


@dataclasses.dataclass
class CancelReply:
    """Response that tells whether the run to be cancelled was known."""

    known: bool


@dataclasses.dataclass
class EventsReply:
    """Response with changes of the prefix cache."""

    events: list[base.CacheEvent]


@dataclasses.dataclass
class EventKind:
    """Tells the last event of a stream from those with tokens."""

    done: bool = False


@dataclasses.dataclass
class EndEvent:
    """Last event of a stream."""

    length: int
    digest: str
    model: str


class StalledRunError(base.RunFailedError):
    """An engine still sends something for a run, but no tokens."""

    def __init__(self) -> None:
        super().__init__(
            outcomes.RefusalCode.LOST,
            f"the engine has sent no tokens for {TOKEN_TIMEOUT_S} s",
            outcomes.Verdict.MAY_HAVE_RUN,
        )


class HttpEngine(base.Engine):
    """Client of the engine at ``host:port``."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.pause = pause.Pause()

    def get_identity(self) -> base.Identity:
        reply = self.call_json(
            "GET", "/engine/identity", PROBE_TIMEOUT_S, IdentityReply
        )
        return base.Identity(
            boot_id=reply.boot_id,
            base_model=reply.base_model,
            role=reply.role,
            batch_slots=reply.batch_slots,
            adapter_slots=reply.adapter_slots,
            enforces_fencing=reply.obeys_fencing,
            software_version=reply.software_version,
        )

    def run(
        self, order: base.RunOrder
    ) -> collections.abc.Iterator[base.Event]:
        if self.pause.get_remaining_s():
            raise base.RunFailedError(
                outcomes.RefusalCode.BUSY,
                "the engine asked for a pause",
                outcomes.Verdict.NOT_RUN,
            )
        body = read_run_body(order.body)
        body["model"] = str(order.ref) if order.ref else order.base_model
        body["stream"] = True
        body["request_id"] = order.request_id
        body["priority"] = order.priority
        data = json.dumps(body).encode()
        connection = self.open_run_connection()
        try:
            self.send_run(connection, data, order.fence)
            yield from self.read_events(connection)
        except StalledRunError:
            with contextlib.suppress(
                exceptions.UnreachableError, exceptions.EngineOrderError
            ):
                self.cancel(order.request_id, order.fence)
            raise
        finally:
            connection.close()

    def open_run_connection(self) -> http.client.HTTPConnection:
        """Open a connection for a run.

        :raises RunFailedError: with the verdict NOT_RUN when that fails.
        """
        connection = bounded_http.Connection(
            self.host,
            self.port,
            CONNECT_TIMEOUT_S,
            bounded_http.MAX_STREAM_BYTES,
        )
        connection.set_limits(STREAM_READ_TIMEOUT_S, TOKEN_TIMEOUT_S)
        try:
            connection.connect()
        except OSError as error:
            raise base.RunFailedError(
                outcomes.RefusalCode.ENGINE_FAILED,
                f"cannot connect to the engine: {error}",
                outcomes.Verdict.NOT_RUN,
            ) from error
        connection.sock.settimeout(STREAM_READ_TIMEOUT_S)
        return connection

    def send_run(
        self,
        connection: http.client.HTTPConnection,
        data: bytes,
        fence: ids.Fence,
    ) -> None:
        """Send the request of a run.

        :raises RunFailedError: with the verdict MAY_HAVE_RUN when the
            connection fails.
        """
        headers = {
            "Content-Type": "application/json",
            FENCE_HEADER: str(fence),
        }
        try:
            connection.request("POST", "/v1/completions", data, headers)
        except OSError as error:
            raise make_interrupted_error(error) from error

    def read_events(
        self, connection: http.client.HTTPConnection, new_run: bool = True
    ) -> collections.abc.Iterator[base.Event]:
        """Read the response and yield its events.

        A new run that the engine refuses has not started. A refusal to
        resume a run only means that the engine no longer stores its tokens;
        the run may have taken place.

        :raises StalledRunError: when the stream goes on without tokens.
        :raises RunFailedError: when the engine refuses or the stream is
            interrupted.
        """
        try:
            response = connection.getresponse()
            self.pause.record_response(response)
            if response.status != http.client.OK:
                raise make_refused_error(
                    response.status, response.read(MAX_REFUSAL_BYTES), new_run
                )
            assert isinstance(response, bounded_http.BoundedResponse)
            for event in parse_events(response):
                yield event
                if isinstance(event, base.TokenChunk) and event.tokens:
                    response.set_time_left(TOKEN_TIMEOUT_S)
        except bounded_http.ResponseTimeoutError as error:
            raise StalledRunError from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise make_interrupted_error(error) from error

    def resume(
        self, request_id: ids.RequestId, offset: int
    ) -> collections.abc.Iterator[base.Event]:
        connection = self.open_run_connection()
        try:
            path = (
                f"/engine/requests/{quote_segment(request_id)}?offset={offset}"
            )
            connection.request("GET", path)
            yield from self.read_events(connection, new_run=False)
        except OSError as error:
            raise make_interrupted_error(error) from error
        finally:
            connection.close()

    def cancel(self, request_id: ids.RequestId, fence: ids.Fence) -> bool:
        path = f"/engine/requests/{quote_segment(request_id)}"
        reply = self.call_json(
            "DELETE", path, PROBE_TIMEOUT_S, CancelReply, fence
        )
        return reply.known

    def load_adapter(self, ref: adapters.AdapterRef, fence: ids.Fence) -> None:
        path = f"/engine/adapters/{quote_segment(str(ref))}"
        self.send_order("PUT", path, fence)

    def unload_adapter(
        self, ref: adapters.AdapterRef, fence: ids.Fence
    ) -> None:
        path = f"/engine/adapters/{quote_segment(str(ref))}"
        self.send_order("DELETE", path, fence)

    def load_model(self, base_model: str, fence: ids.Fence) -> None:
        path = f"/engine/model/{quote_segment(base_model)}"
        self.send_order("PUT", path, fence)

    def change_role(self, role: base.EngineRole, fence: ids.Fence) -> None:
        path = f"/engine/role/{role.value}"
        self.send_order("PUT", path, fence)

    def export_cache(self, prefix: str) -> bytes:
        path = f"/engine/cache/{quote_segment(prefix)}"
        status, data = self.call("GET", path, PROBE_TIMEOUT_S)
        require_accepted(status, data)
        return data

    def import_cache(self, prefix: str, data: bytes, fence: ids.Fence) -> None:
        path = f"/engine/cache/{quote_segment(prefix)}"
        status, reply = self.call(
            "PUT", path, ORDER_TIMEOUT_S, data, fence=fence
        )
        require_accepted(status, reply)

    def get_events(self, after: int) -> list[base.CacheEvent]:
        path = f"/engine/events?after={after}"
        reply = self.call_json("GET", path, PROBE_TIMEOUT_S, EventsReply)
        return reply.events

    def get_report(self) -> base.Report:
        return self.call_json(
            "GET", "/engine/report", PROBE_TIMEOUT_S, base.Report
        )

    def call_json(
        self,
        method: str,
        path: str,
        timeout_s: float,
        kind: type[_Reply],
        fence: ids.Fence | None = None,
    ) -> _Reply:
        """Send a request and return its decoded response.

        :raises EngineOrderError: when the engine refuses the request.
        :raises UnreachableError: when no valid response was received.
        """
        status, data = self.call(method, path, timeout_s, fence=fence)
        require_accepted(status, data)
        try:
            return decode(data, kind)
        except ValueError as error:
            raise exceptions.UnreachableError(
                f"{method} {path} at engine {self.host}:{self.port} has an "
                f"invalid response: {error}"
            ) from error

    def send_order(self, method: str, path: str, fence: ids.Fence) -> None:
        """Send an order of which only the status of the response counts.

        :raises EngineOrderError: when the engine refuses the order.
        :raises UnreachableError: when no response was received.
        """
        status, data = self.call(method, path, ORDER_TIMEOUT_S, fence=fence)
        require_accepted(status, data)

    def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        data: bytes | None = None,
        fence: ids.Fence | None = None,
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response.

        :raises UnreachableError: when no response was received.
        """
        headers = {} if fence is None else {FENCE_HEADER: str(fence)}
        # Calls have no id by which a late response to an earlier one could be
        # told, so each has its own connection.
        connection = bounded_http.Connection(self.host, self.port, timeout_s)
        with contextlib.closing(connection):
            try:
                connection.request(method, path, data, headers)
                response = connection.getresponse()
                return response.status, response.read()
            except (OSError, http.client.HTTPException) as error:
                raise exceptions.UnreachableError(
                    f"{method} {path} at engine {self.host}:{self.port} "
                    f"failed: {error}"
                ) from error


def decode(data: bytes, kind: type[_Reply]) -> _Reply:
    """Decode JSON into a structure.

    :raises ValueError: when it is not JSON or does not fit the structure.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error


def read_run_body(data: bytes) -> dict[str, typing.Any]:
    """Return the body of a caller's request.

    :raises RunFailedError: with the verdict NOT_RUN when it is not valid.
    """
    try:
        return strict_json.parse_object(data)
    except ValueError as error:
        raise base.RunFailedError(
            outcomes.RefusalCode.BAD_REQUEST,
            f"the body is not a valid request: {error}",
            outcomes.Verdict.NOT_RUN,
        ) from error


def quote_segment(text: str) -> str:
    """Percent-encode a path segment."""
    return urllib.parse.quote(text, safe="")


def require_accepted(status: int, data: bytes) -> None:
    """Check that the engine accepted a request.

    :raises EngineOrderError: when it refused it, with its reason.
    """
    if status == http.client.OK:
        return
    raise exceptions.EngineOrderError(
        f"the engine refused the order with status {status}: "
        f"{data[:200].decode(errors='replace')}"
    )


def make_refused_error(
    status: int, data: bytes, new_run: bool
) -> base.RunFailedError:
    """Return the error for a run that the engine refused.

    The verdict is NOT_RUN for a new run and a 4xx status, else MAY_HAVE_RUN.
    """
    text = data[:200].decode(errors="replace")
    refused = (
        http.client.BAD_REQUEST <= status < http.client.INTERNAL_SERVER_ERROR
    )
    verdict = (
        outcomes.Verdict.NOT_RUN
        if new_run and refused
        else outcomes.Verdict.MAY_HAVE_RUN
    )
    return base.RunFailedError(
        outcomes.RefusalCode.ENGINE_FAILED,
        f"the engine refused the run with status {status}: {text}",
        verdict,
    )


def make_interrupted_error(error: Exception) -> base.RunFailedError:
    """Return the error for a run whose response was interrupted."""
    reason = str(error) or type(error).__name__
    return base.RunFailedError(
        outcomes.RefusalCode.LOST,
        f"the engine's response was interrupted: {reason}",
        outcomes.Verdict.MAY_HAVE_RUN,
        crashed=True,
    )


def parse_events(
    response: http.client.HTTPResponse,
) -> collections.abc.Iterator[base.Event]:
    """Parse a response of server-sent events.

    :raises ValueError: when an event is invalid, or the response ends
        without the event that marks its end.
    """
    while True:
        line = response.readline(bounded_http.MAX_LINE_BYTES)
        if len(line) == bounded_http.MAX_LINE_BYTES:
            raise ValueError("a line of the event stream is too long")
        if not line:
            raise ValueError("the event stream has no end event")
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :]
        if decode(data, EventKind).done:
            end = decode(data, EndEvent)
            yield base.StreamEnd(end.length, end.digest, end.model)
            return
        yield decode(data, base.TokenChunk)
