"""Parses HTTP requests to models and plain services."""

import hashlib
import re
import time
import typing
import uuid

import msgspec

from hemlockkeel._internal.entry import context
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import ids
from hemlockkeel._internal.models import outcomes
from hemlockkeel._internal.utils import digests
from hemlockkeel._internal.utils import http
from hemlockkeel._internal.utils import strict_json

MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_TIMEOUT_S = 120.0
MAX_TIMEOUT_S = 3600.0
MAX_KEY_LENGTH = 200
PREFIX_BYTES = 256
# `str.isdigit` also takes superscripts, which `int` refuses.
NUMBER = re.compile(r"\d{1,15}", re.ASCII)
SERVICES_PREFIX = "/services/"

MODEL_PATHS = {
    "/v1/completions": context.RequestKind.COMPLETION,
    "/v1/chat/completions": context.RequestKind.CHAT,
}


class ModelBody(msgspec.Struct):
    """Fields of a completion or chat request that hemlockkeel reads."""

    model: str
    prompt: str = ""
    messages: list[dict[str, typing.Any]] = msgspec.field(default_factory=list)
    max_tokens: int = 0
    stream: bool = False


def parse_request(
    environ: http.Environ,
) -> context.RequestContext | outcomes.Refused:
    """Parse a request to a model or a plain service.

    Returns a refusal when the request is malformed or too large.
    """
    try:
        body = http.read_body(environ, MAX_BODY_BYTES)
    except http.BodyTooLargeError as error:
        return outcomes.refuse(outcomes.RefusalCode.TOO_LARGE, str(error))
    now = time.monotonic()
    request = context.RequestContext(
        request_id=ids.RequestId(uuid.uuid4().hex),
        kind=context.RequestKind.SERVICE,
        body=body,
        caller=get_caller(environ),
        arrived_at=now,
        deadline=now + DEFAULT_TIMEOUT_S,
        method=str(environ["REQUEST_METHOD"]),
    )
    refusal = parse_headers(environ, request)
    if refusal is not None:
        return refusal
    path = http.get_path(environ)
    if path.startswith(SERVICES_PREFIX):
        return parse_service(environ, request, path)
    request.kind = MODEL_PATHS[path]
    return parse_model(request)


def get_caller(environ: http.Environ) -> ids.CallerId:
    """Return the id of the caller.

    This is the name in ``Hemlockkeel-Caller``, otherwise a digest of the
    credentials in ``Authorization``, otherwise the remote address.
    """
    name = http.get_header(environ, "Hemlockkeel-Caller")
    if name:
        return ids.CallerId(name[:MAX_KEY_LENGTH])
    credentials = http.get_header(environ, "Authorization")
    if credentials:
        digest = hashlib.sha256(credentials.encode()).hexdigest()
        return ids.CallerId("auth-" + digest[:16])
    return ids.CallerId(str(environ.get("REMOTE_ADDR", "unknown")))


def parse_headers(
    environ: http.Environ, request: context.RequestContext
) -> outcomes.Refused | None:
    """Parse the headers that control how a request is handled."""
    request.key = http.get_header(environ, "Idempotency-Key")
    request.session = http.get_header(environ, "Hemlockkeel-Session")
    request.requested_priority = http.get_header(
        environ, "Hemlockkeel-Priority"
    )
    request.declared_non_idempotent = (
        http.get_header(environ, "Hemlockkeel-Idempotent").lower() == "false"
    )
    request.supersedes = (
        http.get_header(environ, "Hemlockkeel-Supersedes").lower() == "true"
    )
    if max(len(request.key), len(request.session)) > MAX_KEY_LENGTH:
        return refuse_bad_request(
            "Idempotency-Key and Hemlockkeel-Session must not exceed "
            f"{MAX_KEY_LENGTH} characters"
        )
    priorities = [priority.value for priority in declarations.Priority]
    if (
        request.requested_priority
        and request.requested_priority not in priorities
    ):
        return refuse_bad_request(
            f"Hemlockkeel-Priority must be one of {', '.join(priorities)}"
        )
    return (
        parse_sequence(environ, request)
        or parse_timeout(environ, request)
        or parse_last_event_id(environ, request)
    )


def parse_sequence(
    environ: http.Environ, request: context.RequestContext
) -> outcomes.Refused | None:
    """Parse the position of a request in its session."""
    text = http.get_header(environ, "Hemlockkeel-Session-Sequence")
    if not request.session:
        return None
    if not NUMBER.fullmatch(text) or int(text) < 1:
        return refuse_bad_request(
            "Hemlockkeel-Session requires Hemlockkeel-Session-Sequence, a "
            "number that starts at 1 and increases by 1 with each request"
        )
    request.sequence = int(text)
    return None


def parse_timeout(
    environ: http.Environ, request: context.RequestContext
) -> outcomes.Refused | None:
    """Parse the caller's timeout, in seconds, and set the deadline."""
    text = http.get_header(environ, "Hemlockkeel-Timeout")
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0.0 < seconds <= MAX_TIMEOUT_S:
        return refuse_bad_request(
            "Hemlockkeel-Timeout must be a number of seconds greater than 0 "
            f"and at most {MAX_TIMEOUT_S:.0f}"
        )
    request.deadline = request.arrived_at + seconds
    return None


def parse_last_event_id(
    environ: http.Environ, request: context.RequestContext
) -> outcomes.Refused | None:
    """Parse the position from which the caller resumes a stream."""
    text = http.get_header(environ, "Last-Event-ID")
    if not text:
        return None
    request.last_event_id = context.parse_event_id(text)
    if request.last_event_id is None:
        return refuse_bad_request(
            "Last-Event-ID is not an event id of this service"
        )
    return None


def parse_service(
    environ: http.Environ, request: context.RequestContext, path: str
) -> context.RequestContext | outcomes.Refused:
    """Parse a request to a plain service."""
    name, _, rest = path[len(SERVICES_PREFIX) :].partition("/")
    query = str(environ.get("QUERY_STRING", ""))
    request.service = name
    request.path = "/" + rest + (f"?{query}" if query else "")
    request.digest = digests.digest_content(
        name.encode(),
        request.method.encode(),
        request.path.encode(),
        request.body,
    )
    return request


def parse_model(
    request: context.RequestContext,
) -> context.RequestContext | outcomes.Refused:
    """Parse a completion or chat request."""
    try:
        # The engine gets the whole body, of which msgspec skips what has no
        # field here.
        strict_json.parse_object(request.body)
        body = msgspec.json.decode(request.body, type=ModelBody)
    except (ValueError, msgspec.DecodeError, RecursionError) as error:
        return refuse_bad_request(f"the body is not a valid request: {error}")
    chat = request.kind is context.RequestKind.CHAT
    if chat and not body.messages:
        return refuse_bad_request("a chat request needs messages")
    if not chat and not body.prompt:
        return refuse_bad_request("a completion request needs a prompt")
    if body.max_tokens < 0:
        return refuse_bad_request("max_tokens must be 1 or more")
    request.model = body.model
    request.stream = body.stream
    request.max_tokens = body.max_tokens
    content = msgspec.json.encode(body.messages) if chat else b""
    prompt = body.prompt.encode() + content
    request.prefix_digest = digests.digest_content(prompt[:PREFIX_BYTES])
    request.digest = digests.digest_content(
        body.model.encode(), prompt, str(body.max_tokens).encode()
    )
    return request


def refuse_bad_request(message: str) -> outcomes.Refused:
    """Return the refusal of a malformed request."""
    return outcomes.refuse(outcomes.RefusalCode.BAD_REQUEST, message)
