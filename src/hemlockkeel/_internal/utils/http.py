"""Requests and responses of WSGI applications."""

import collections.abc
import dataclasses
import http
import typing
import urllib.parse

import msgspec

Environ = dict[str, typing.Any]
StartResponse = collections.abc.Callable[..., typing.Any]
Body = collections.abc.Iterable[bytes]
Headers = list[tuple[str, str]]

JSON_TYPE = "application/json"


@dataclasses.dataclass
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: Headers = dataclasses.field(default_factory=list)


def make_status_line(status: int) -> str:
    """Return the status and its reason phrase, such as ``200 OK``."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def make_json_response(
    status: int, value: object, headers: Headers | None = None
) -> Response:
    """Return a JSON response."""
    return Response(
        status, msgspec.json.encode(value), JSON_TYPE, headers or []
    )


def make_error_response(
    status: int,
    code: str,
    message: str,
    headers: Headers | None = None,
    **fields: object,
) -> Response:
    """Return a JSON error with a code, a message and further fields."""
    body = {"error": {"code": code, "message": message, **fields}}
    return make_json_response(status, body, headers)


def send(response: Response, start_response: StartResponse) -> Body:
    """Send the status and headers of a response; return its body."""
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        *response.headers,
    ]
    start_response(make_status_line(response.status), headers)
    return [response.body]


def get_header(environ: Environ, name: str) -> str:
    """Return the value of a request header; empty if it is absent."""
    key = "HTTP_" + name.upper().replace("-", "_")
    return str(environ.get(key, ""))


def get_path(environ: Environ) -> str:
    """Return the path of the request's URL."""
    return str(environ.get("PATH_INFO", "/"))


def get_query(environ: Environ) -> dict[str, str]:
    """Return the query parameters; the last value of a name counts."""
    text = str(environ.get("QUERY_STRING", ""))
    return dict(urllib.parse.parse_qsl(text))


class BodyTooLargeError(Exception):
    """A request body exceeds the size limit."""


def read_body(environ: Environ, limit: int) -> bytes:
    """Read the request body.

    :raises BodyTooLargeError: when it is longer than ``limit`` bytes.
    """
    stream = environ["wsgi.input"]
    data: bytes = stream.read(limit + 1)
    if len(data) > limit:
        raise BodyTooLargeError(
            f"request body is over the limit of {limit} bytes"
        )
    return data
