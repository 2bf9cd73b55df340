"""HTTP API for callers, as a WSGI application."""

import collections.abc
import json
import time
import typing
import urllib.parse

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.entry import context
from hemlockkeel._internal.entry import parse
from hemlockkeel._internal.entry import records
from hemlockkeel._internal.entry.filters import base
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import commands
from hemlockkeel._internal.utils import http
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics

REQUESTS_PREFIX = "/v1/requests/"
EVENT_STREAM = "text/event-stream"

_REFUSED_COUNTERS = {
    outcomes.Verdict.NOT_RUN: metrics.Counter.REFUSED_NOT_RUN,
    outcomes.Verdict.MAY_HAVE_RUN: metrics.Counter.REFUSED_MAY_HAVE_RUN,
    outcomes.Verdict.RAN: metrics.Counter.REFUSED_RAN,
}


class EntryApp:
    """WSGI application of an entry."""

    def __init__(
        self,
        follower: follower.Follower,
        chain: base.Handler,
        recorder: records.Recorder,
        counters: metrics.Metrics,
    ) -> None:
        self.follower = follower
        self.chain = chain
        self.recorder = recorder
        self.counters = counters

    def __call__(
        self, environ: http.Environ, start_response: http.StartResponse
    ) -> http.Body:
        try:
            return self.dispatch(environ, start_response)
        except Exception as error:
            logs.log_error("entry_failed", reason=repr(error))
            refusal = outcomes.Refused(
                outcomes.RefusalCode.INTERNAL,
                "internal error in the entry; query the outcome by "
                "idempotency key, or retry",
                outcomes.Verdict.MAY_HAVE_RUN,
            )
            return self.send_refusal(refusal, "", start_response)

    def dispatch(
        self, environ: http.Environ, start_response: http.StartResponse
    ) -> http.Body:
        """Route one HTTP request to its handler."""
        path = http.get_path(environ)
        method = str(environ["REQUEST_METHOD"])
        if path == "/healthz":
            return http.send(
                http.make_json_response(200, {"ok": True}), start_response
            )
        if path == "/readyz":
            return http.send(self.get_readiness(), start_response)
        if path == "/v1/models" and method == "GET":
            return http.send(self.list_models(), start_response)
        if path == "/v1/counters" and method == "GET":
            body = self.counters.snapshot()
            return http.send(
                http.make_json_response(200, body), start_response
            )
        if path.startswith(REQUESTS_PREFIX) and method == "GET":
            return http.send(self.get_outcome(environ, path), start_response)
        if path in parse.MODEL_PATHS and method != "POST":
            refusal = outcomes.refuse(
                outcomes.RefusalCode.METHOD, f"{path} requires POST"
            )
            return self.send_refusal(refusal, "", start_response)
        if path in parse.MODEL_PATHS or path.startswith(parse.SERVICES_PREFIX):
            return self.serve_request(environ, start_response)
        refusal = outcomes.refuse(
            outcomes.RefusalCode.NOT_FOUND, f"no route for {method} {path}"
        )
        return self.send_refusal(refusal, "", start_response)

    def get_readiness(self) -> http.Response:
        """Return the readiness check for the load balancer."""
        state = self.follower.get_state()
        ready = state is follower.FollowerState.READY
        body = {
            "ready": ready,
            "state": state.value,
            "version": self.follower.catalog.version,
        }
        return http.make_json_response(200 if ready else 503, body)

    def list_models(self) -> http.Response:
        """Return all adapter versions that this site serves."""
        models = [
            {"id": name, "object": "model", "owned_by": "hemlockkeel"}
            for name in self.follower.catalog.list_models()
        ]
        return http.make_json_response(200, {"object": "list", "data": models})

    def get_outcome(self, environ: http.Environ, path: str) -> http.Response:
        """Return the recorded outcome of the request with a key."""
        key = urllib.parse.unquote(path[len(REQUESTS_PREFIX) :])
        caller = parse.get_caller(environ)
        try:
            result = self.recorder.read_record(f"{caller}/key/{key}")
        except (exceptions.ControlUnavailableError, ttypes.RpcFault):
            return http.make_error_response(
                503,
                "not_ready",
                "the request's record cannot be read at the moment; retry",
                [("Retry-After", "1")],
            )
        if result.record is None:
            return http.make_error_response(
                404, "not_found", "no request with this key is recorded"
            )
        record = result.record
        return http.make_json_response(
            200,
            {
                "key": key,
                "request_id": record.request_id,
                "state": record.state.value,
                "verdict": describe_verdict(record),
                "code": record.code,
                "answer_digest": record.answer_digest,
                "length": record.length,
            },
        )

    # Requests

    def serve_request(
        self, environ: http.Environ, start_response: http.StartResponse
    ) -> http.Body:
        """Run a request and send its answer or refusal."""
        self.counters.count(metrics.Counter.REQUESTS)
        request = parse.parse_request(environ)
        if isinstance(request, outcomes.Refused):
            return self.send_refusal(request, "", start_response)
        request.is_disconnected = environ.get(
            "waitress.client_disconnected", context.never_disconnected
        )
        result = self.chain(request)
        if isinstance(result, outcomes.Refused):
            return self.send_refusal(
                result, request.request_id, start_response
            )
        if request.stream:
            return self.send_stream(request, result, start_response)
        return self.send_complete(request, result, start_response)

    def send_complete(
        self,
        request: context.RequestContext,
        events: context.Events,
        start_response: http.StartResponse,
    ) -> http.Body:
        """Send the answer as one response after it is complete."""
        tokens: list[str] = []
        try:
            for event in events:
                match event:
                    case context.TokenEvent():
                        self.record_first_token(request, tokens)
                        tokens.extend(event.tokens)
                    case context.FailureEvent(refusal):
                        return self.send_refusal(
                            refusal, request.request_id, start_response
                        )
                    case context.EndEvent():
                        self.record_answered(request)
                        response = make_answer(request, tokens, event)
                        return http.send(response, start_response)
        finally:
            events.close()
        # The caller has disconnected, so nobody reads this response.
        return self.send_refusal(
            outcomes.Refused(
                outcomes.RefusalCode.LOST,
                "the caller disconnected",
                outcomes.Verdict.MAY_HAVE_RUN,
            ),
            request.request_id,
            start_response,
        )

    def send_stream(
        self,
        request: context.RequestContext,
        events: context.Events,
        start_response: http.StartResponse,
    ) -> http.Body:
        """Send the answer as server-sent events while it is produced.

        The status line is sent after the first event is known, so that a
        refusal before it has its own HTTP status.
        """
        first = next(events, None)
        if isinstance(first, context.FailureEvent):
            events.close()
            return self.send_refusal(
                first.refusal, request.request_id, start_response
            )
        headers = [
            ("Content-Type", EVENT_STREAM),
            ("Cache-Control", "no-store"),
            ("X-Request-Id", request.request_id),
        ]
        start_response("200 OK", headers)
        return EventStream(self, request, first, events)

    def record_first_token(
        self, request: context.RequestContext, tokens: list[str]
    ) -> None:
        """Record the time to the first token, if no token came before."""
        if not tokens:
            self.counters.time(
                metrics.Timer.FIRST_TOKEN,
                time.monotonic() - request.arrived_at,
            )

    def record_answered(self, request: context.RequestContext) -> None:
        """Count a completed answer and record its total time."""
        self.counters.count(metrics.Counter.ANSWERED)
        self.counters.time(
            metrics.Timer.TOTAL, time.monotonic() - request.arrived_at
        )

    def send_refusal(
        self,
        refusal: outcomes.Refused,
        request_id: str,
        start_response: http.StartResponse,
    ) -> http.Body:
        """Send a refusal as a JSON error, with its verdict in a header."""
        self.counters.count(_REFUSED_COUNTERS[refusal.verdict])
        headers: http.Headers = [
            ("Hemlockkeel-Verdict", refusal.verdict.label)
        ]
        if request_id:
            headers.append(("X-Request-Id", request_id))
        if refusal.retry_after_ms is not None:
            seconds = max(1, round(refusal.retry_after_ms / 1000))
            headers.append(("Retry-After", str(seconds)))
        response = http.make_json_response(
            refusal.code.status, make_error(refusal, request_id), headers
        )
        return http.send(response, start_response)


class EventStream(collections.abc.Iterator[bytes]):
    """Response body with the server-sent events of one answer.

    The web server calls `close` at the end, or when the caller disconnects.
    """

    def __init__(
        self,
        app: EntryApp,
        request: context.RequestContext,
        first: context.AnswerEvent | None,
        events: context.Events,
    ) -> None:
        self.app = app
        self.request = request
        self.events = events
        self.chunks = self.encode_events(first)

    def __next__(self) -> bytes:
        return next(self.chunks)

    def close(self) -> None:
        """Stop receiving the answer."""
        self.chunks.close()
        self.events.close()

    def encode_events(
        self, first: context.AnswerEvent | None
    ) -> typing.Generator[bytes, None, None]:
        """Yield the encoded events, starting with the first one."""
        sent: list[str] = []
        event = first
        while event is not None:
            match event:
                case context.TokenEvent():
                    self.app.record_first_token(self.request, sent)
                    sent.append("")
                    yield encode_tokens(self.request, event)
                case context.EndEvent():
                    self.app.record_answered(self.request)
                    yield encode_end(self.request, event)
                    return
                case context.FailureEvent(refusal):
                    counter = _REFUSED_COUNTERS[refusal.verdict]
                    self.app.counters.count(counter)
                    yield encode_failure(self.request, refusal)
                    return
            event = next(self.events, None)


def describe_verdict(record: commands.RequestRecord) -> str:
    """Return the verdict of a record: MAY_HAVE_RUN until it is finished."""
    if record.state is commands.RequestState.FINISHED:
        return outcomes.Verdict(record.verdict).label
    return outcomes.Verdict.MAY_HAVE_RUN.label


def make_error(
    refusal: outcomes.Refused, request_id: str
) -> dict[str, typing.Any]:
    """Return the JSON body of a refusal."""
    return {
        "error": {
            "code": refusal.code.code,
            "message": refusal.message,
            "verdict": refusal.verdict.label,
            "request_id": request_id,
            "retry": refusal.verdict is outcomes.Verdict.NOT_RUN
            and refusal.code.status in (429, 503, 504),
            "retry_after_ms": refusal.retry_after_ms,
        }
    }


def make_answer(
    request: context.RequestContext,
    tokens: list[str],
    end: context.EndEvent,
) -> http.Response:
    """Return the HTTP response with a complete answer."""
    headers: http.Headers = [
        ("X-Request-Id", request.request_id),
        ("Hemlockkeel-Verdict", outcomes.Verdict.RAN.label),
    ]
    if request.kind is context.RequestKind.SERVICE:
        kind = end.content_type or http.JSON_TYPE
        return http.Response(end.status, end.payload, kind, headers)
    text = "".join(tokens)
    choice: dict[str, typing.Any] = {"index": 0, "finish_reason": "stop"}
    if request.kind is context.RequestKind.CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    body = {
        "id": request.request_id,
        "object": get_object_type(request, ""),
        "model": request.model,
        "choices": [choice],
        "usage": {"completion_tokens": len(tokens)},
        "hemlockkeel": describe_answer(end),
    }
    return http.make_json_response(200, body, headers)


def describe_answer(end: context.EndEvent) -> dict[str, typing.Any]:
    """Return metadata for callers to verify an answer with."""
    return {
        "target": end.target_id,
        "adapter": end.adapter,
        "length": end.length,
        "digest": end.digest,
        "load_stall_us": end.load_stall_us,
        "attempt": end.attempt,
    }


def get_object_type(request: context.RequestContext, suffix: str) -> str:
    """Return the ``object`` field that API clients expect.

    A suffix asks for the type of a streamed chunk.
    """
    if request.kind is context.RequestKind.CHAT:
        return "chat.completion" + (".chunk" if suffix else "")
    return "text_completion"


def encode_tokens(
    request: context.RequestContext, event: context.TokenEvent
) -> bytes:
    """Encode tokens as one server-sent event."""
    text = "".join(event.tokens)
    choice: dict[str, typing.Any] = {"index": 0, "finish_reason": None}
    if request.kind is context.RequestKind.CHAT:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    event_id = context.EventId(
        event.request_id,
        event.target_id,
        event.attempt,
        event.offset + len(event.tokens),
    )
    body = {
        "id": request.request_id,
        "object": get_object_type(request, "chunk"),
        "model": request.model,
        "choices": [choice],
    }
    data = msgspec.json.encode(body).decode()
    return f"id: {event_id}\ndata: {data}\n\n".encode()


def encode_end(
    request: context.RequestContext, event: context.EndEvent
) -> bytes:
    """Encode the events that end a complete answer."""
    choice: dict[str, typing.Any] = {"index": 0, "finish_reason": "stop"}
    if request.kind is context.RequestKind.CHAT:
        choice["delta"] = {}
    else:
        choice["text"] = ""
    body = {
        "id": request.request_id,
        "object": get_object_type(request, "chunk"),
        "model": request.model,
        "choices": [choice],
        "hemlockkeel": describe_answer(event),
    }
    return f"data: {json.dumps(body)}\n\ndata: [DONE]\n\n".encode()


def encode_failure(
    request: context.RequestContext, refusal: outcomes.Refused
) -> bytes:
    """Encode the failure of an answer whose stream has started."""
    data = json.dumps(make_error(refusal, request.request_id))
    return f"event: error\ndata: {data}\n\n".encode()
