"""HTTP calls to a cluster, and polling for a condition."""

import collections.abc
import contextlib
import dataclasses
import http.client
import json
import threading
import time
import typing
import urllib.parse

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02


@dataclasses.dataclass
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> typing.Any:
        """Return the body decoded from JSON."""
        return json.loads(self.body)

    @property
    def error(self) -> dict[str, typing.Any]:
        """Return the error object of an error response."""
        return self.json()["error"]


def call(
    url: str,
    method: str = "GET",
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Response:
    """Send a request on a new connection and return the response.

    A body that is not bytes is encoded as JSON.
    """
    parts = urllib.parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        parts.hostname, parts.port, timeout=timeout_s
    )
    path = parts.path + (f"?{parts.query}" if parts.query else "")
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    with contextlib.closing(connection):
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Response(
            response.status, response.read(), dict(response.getheaders())
        )


def complete(
    url: str,
    model: str,
    prompt: str = "hello",
    max_tokens: int = 6,
    headers: dict[str, str] | None = None,
) -> Response:
    """Send a completion request that is not streamed."""
    body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
    return call(f"{url}/v1/completions", "POST", body, headers)


class SseStream:
    """A streamed completion that a test reads event by event."""

    def __init__(
        self,
        url: str,
        model: str,
        prompt: str = "hello",
        max_tokens: int = 6,
        headers: dict[str, str] | None = None,
    ) -> None:
        parts = urllib.parse.urlsplit(url)
        self.connection = http.client.HTTPConnection(
            parts.hostname, parts.port, timeout=TIMEOUT_S
        )
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self.connection.request(
            "POST",
            "/v1/completions",
            json.dumps(body).encode(),
            headers or {},
        )
        self.response = self.connection.getresponse()
        self.status = self.response.status
        self.last_id = ""
        self.text = ""
        self.finish: dict[str, typing.Any] | None = None
        self.error: dict[str, typing.Any] | None = None

    def read_event(self) -> bool:
        """Read one event; return False at the end of the stream."""
        while True:
            line = self.response.readline().decode()
            if not line:
                return False
            if line.startswith("id: "):
                self.last_id = line[4:].strip()
            if not line.startswith("data: "):
                continue
            self.handle_data(line[6:].strip())
            return True

    def handle_data(self, text: str) -> None:
        """Record the text, the final event or the error of one event."""
        if text == "[DONE]":
            return
        event = json.loads(text)
        if "error" in event:
            self.error = event["error"]
            return
        self.text += event["choices"][0].get("text", "")
        if event["choices"][0]["finish_reason"]:
            self.finish = event["hemlockkeel"]

    def read_all(self) -> None:
        """Read to the end of the stream, or until the connection breaks."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            while self.read_event():
                pass
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()
        self.response.close()


def wait_until(
    condition: collections.abc.Callable[[], object],
    description: str,
    timeout_s: float = TIMEOUT_S,
) -> None:
    """Poll a condition until it holds.

    :raises AssertionError: when it does not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    pause = threading.Event()
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(
                f"not reached within {timeout_s} s: {description}"
            )
        pause.wait(POLL_INTERVAL_S)
