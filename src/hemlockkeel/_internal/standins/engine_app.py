"""HTTP API of the simulated engine."""

import collections.abc
import dataclasses
import json
import typing
import urllib.parse

from hemlockkeel._internal.engines import base
from hemlockkeel._internal.standins import engine
from hemlockkeel._internal.utils import digests
from hemlockkeel._internal.utils import http

MAX_BODY_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ApiCall:
    """One call with a response that is not streamed.

    ``argument`` is the last part of the path, after the kind.
    """

    method: str
    argument: str
    fence: int
    environ: http.Environ


class EngineApp:
    """WSGI application that serves one `StandInEngine`."""

    def __init__(self, stand_in: engine.StandInEngine) -> None:
        self.engine = stand_in

    def __call__(
        self, environ: http.Environ, start_response: http.StartResponse
    ) -> http.Body:
        try:
            return self.dispatch(environ, start_response)
        except engine.EngineError as error:
            response = http.make_error_response(
                error.status, "refused", error.message
            )
        except (ValueError, KeyError) as error:
            response = http.make_error_response(400, "bad_request", str(error))
        return http.send(response, start_response)

    def dispatch(
        self, environ: http.Environ, start_response: http.StartResponse
    ) -> http.Body:
        """Pass one call to its handler and return the body of the response."""
        method = str(environ["REQUEST_METHOD"])
        path = http.get_path(environ)
        fence = int(http.get_header(environ, "X-Fence") or 0)
        if method == "POST" and path == "/v1/completions":
            body = json.loads(http.read_body(environ, MAX_BODY_BYTES))
            request = self.engine.submit(body, fence)
            return self.start_stream(request, 0, start_response)
        if path.startswith("/engine/requests/") and method == "GET":
            request = self.engine.find_request(get_argument(path))
            offset = int(http.get_query(environ).get("offset", "0"))
            return self.start_stream(request, offset, start_response)
        reply = self.handle_call(method, path, environ, fence)
        return http.send(reply, start_response)

    def handle_call(
        self, method: str, path: str, environ: http.Environ, fence: int
    ) -> http.Response:
        """Handle a call with a response that is not streamed."""
        kind = path.split("/")[2] if path.count("/") >= 2 else ""
        call = ApiCall(method, get_argument(path), fence, environ)
        queried = self.handle_query(call, kind)
        if queried is not None:
            return queried
        if not self.execute_order(call, kind):
            return http.make_error_response(
                404, "not_found", f"no route for {path}"
            )
        return http.make_json_response(200, {"ok": True})

    def handle_query(self, call: ApiCall, kind: str) -> http.Response | None:
        """Handle a call that returns data; return None for any other."""
        match call.method, kind:
            case "GET", "identity":
                return http.make_json_response(200, self.get_identity())
            case "GET", "report":
                report = self.engine.get_report()
                return http.make_json_response(200, dataclasses.asdict(report))
            case "GET", "events":
                query = http.get_query(call.environ)
                return self.get_events(int(query.get("after", "0")))
            case "GET" | "PUT", "cache":
                return self.transfer_cache(call)
            case "DELETE", "requests":
                known = self.engine.cancel(call.argument, call.fence)
                return http.make_json_response(200, {"known": known})
            case "POST", "faults":
                return self.set_faults(call.environ)
            case "GET", "ledger":
                return self.get_ledger()
        return None

    def execute_order(self, call: ApiCall, kind: str) -> bool:
        """Execute an order; return False if there is no such order."""
        match call.method, kind:
            case "PUT", "adapters":
                self.engine.load_adapter(call.argument, call.fence)
            case "DELETE", "adapters":
                self.engine.unload_adapter(call.argument, call.fence)
            case "PUT", "model":
                self.engine.load_model(call.argument, call.fence)
            case "PUT", "role":
                role = base.EngineRole(call.argument)
                self.engine.change_role(role, call.fence)
            case "POST", "restart":
                with self.engine.changed:
                    self.engine.restart()
            case _:
                return False
        return True

    def get_identity(self) -> dict[str, typing.Any]:
        """Return the boot id and the properties of the engine."""
        stand_in = self.engine
        return {
            "boot_id": stand_in.boot_id,
            "software_version": stand_in.software_version,
            "base_model": stand_in.base_model,
            "role": stand_in.role.value,
            "batch_slots": stand_in.options.batch_slots,
            "adapter_slots": stand_in.options.adapter_slots,
            "obeys_fencing": stand_in.options.obeys_fencing,
        }

    def get_events(self, after: int) -> http.Response:
        """Return the cache events after a sequence number."""
        with self.engine.changed:
            found = [
                dataclasses.asdict(event)
                for event in self.engine.events
                if event.sequence > after
            ]
        return http.make_json_response(200, {"events": found})

    def transfer_cache(self, call: ApiCall) -> http.Response:
        """Export (GET) or import (PUT) the cached data of a prefix."""
        if call.method == "GET":
            data = self.engine.prefixes.get(call.argument)
            if data is None:
                return http.make_error_response(
                    404, "not_found", "prefix not cached"
                )
            return http.Response(200, data, "application/octet-stream")
        data = http.read_body(call.environ, MAX_BODY_BYTES)
        with self.engine.changed:
            self.engine.cache_prefix(call.argument, data)
        return http.make_json_response(200, {"ok": True})

    def set_faults(self, environ: http.Environ) -> http.Response:
        """Change the injected faults that the body names; return all."""
        body = json.loads(http.read_body(environ, MAX_BODY_BYTES))
        self.engine.faults = dataclasses.replace(self.engine.faults, **body)
        return http.make_json_response(
            200, dataclasses.asdict(self.engine.faults)
        )

    def get_ledger(self) -> http.Response:
        """Return the ledger and the counts, for tests and benchmarks."""
        with self.engine.changed:
            body = {
                "runs": list(self.engine.ledger),
                "busy_steps": self.engine.busy_steps,
                "filled_slots": self.engine.filled_slots,
                "batch_slots": self.engine.options.batch_slots,
                "loads": self.engine.load_count,
                "evicted_in_use": self.engine.evicted_in_use,
                "loaded": list(self.engine.loaded),
            }
        return http.make_json_response(200, body)

    def start_stream(
        self,
        request: engine.EngineRequest,
        offset: int,
        start_response: http.StartResponse,
    ) -> http.Body:
        """Start streaming a request's answer from a token offset."""
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self.stream_events(request, offset)

    def stream_events(
        self, request: engine.EngineRequest, offset: int
    ) -> collections.abc.Iterator[bytes]:
        """Yield server-sent events until the answer is complete.

        :raises EngineError: when the request fails. The headers have been
            sent by then, so the server closes the connection as a crash of
            the engine would.
        """
        # Waitress sends the headers with the first chunk of the body.
        yield b": started\n\n"
        while True:
            tokens = self.engine.wait_for_tokens(request, offset)
            if not tokens:
                break
            yield encode_event({"offset": offset, "tokens": tokens})
            offset += len(tokens)
        digest = digests.TokenDigest()
        digest.update(request.tokens)
        yield encode_event(
            {
                "done": True,
                "length": len(request.tokens),
                "digest": digest.hexdigest(),
                "model": request.model,
            }
        )


def get_argument(path: str) -> str:
    """Return ARGUMENT of ``/engine/KIND/ARGUMENT``, empty if absent."""
    parts = path.split("/", 3)
    return urllib.parse.unquote(parts[3]) if len(parts) > 3 else ""


def encode_event(value: dict[str, typing.Any]) -> bytes:
    """Encode one server-sent event."""
    return b"data: " + json.dumps(value).encode() + b"\n\n"
