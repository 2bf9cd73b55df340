"""Simulated plain service, which stores and lists entries."""

import json
import threading
import time
import typing

from hemlockkeel._internal.utils import http

MAX_BODY_BYTES = 1024 * 1024


class PlainServiceApp:
    """WSGI application: POST /entries adds one, GET /entries lists all.

    Each response is delayed by ``delay_s`` seconds.
    """

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        self.lock = threading.Lock()
        self.entries: list[dict[str, typing.Any]] = []

    def __call__(
        self, environ: http.Environ, start_response: http.StartResponse
    ) -> http.Body:
        return http.send(self.handle_request(environ), start_response)

    def handle_request(self, environ: http.Environ) -> http.Response:
        """Return the response to one call."""
        method = str(environ["REQUEST_METHOD"])
        path = http.get_path(environ)
        if self.delay_s:
            time.sleep(self.delay_s)
        if method == "POST" and path == "/entries":
            body = json.loads(http.read_body(environ, MAX_BODY_BYTES))
            with self.lock:
                self.entries.append(body)
                number = len(self.entries)
            return http.make_json_response(201, {"entry": number, **body})
        if method == "GET" and path == "/entries":
            with self.lock:
                return http.make_json_response(
                    200, {"entries": list(self.entries)}
                )
        if method == "GET" and path == "/healthz":
            return http.make_json_response(200, {"ok": True})
        return http.make_error_response(
            404, "not_found", f"no route for {method} {path}"
        )
