"""Decodes and encodes the platform's request and response headers."""

import dataclasses
import math
import re

from hemlockkeel._internal.relay import header_codec

MS_PER_S = 1000.0
# Further parts of a prompt are not compared with those of other requests.
MAX_SHARED_PARTS = 32
# Requests running, requests waiting and slots.
LOAD_FIGURES = 3
# Longer values can only be mistakes.
DECIMAL = re.compile(r"\d{1,9}(\.\d{0,9})?", re.ASCII)
# `str.isdigit` also takes superscripts, which `int` refuses.
COUNT = re.compile(r"\d{1,12}", re.ASCII)
# Set only by the system itself, so they are removed from callers' requests.
SYSTEM_HEADERS = frozenset(
    {
        b"x-request-deadline",
        b"x-expect-instance",
        b"x-expect-version",
        b"x-request-priority",
        b"x-request-hold",
        b"x-pin-duration",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
KEY_HEADER = b"api-key"
# Removed as well where the configuration has organisations.
ORGANISATION_HEADERS = frozenset({KEY_HEADER, b"x-tenant-id"})


class PlatformHeaderCodec(header_codec.HeaderCodec):
    """Decodes and encodes the platform's headers."""

    def read_request(
        self, headers: header_codec.Headers
    ) -> header_codec.RequestMetadata:
        values = index_headers(headers)
        model, _, adapter = values.get(b"x-model-name", "").partition("/")
        prompt, output = read_token_counts(values.get(b"x-token-usage", ""))
        return header_codec.RequestMetadata(
            values.get(b"x-request-id", ""),
            read_timeout_s(values.get(b"x-request-deadline")),
            model,
            adapter,
            prompt,
            output,
            tuple(read_prompt_parts(values.get(b"x-prompt-prefix", ""))),
            values.get(b"last-event-id", ""),
            tuple(read_shared_parts(values.get(b"x-prompt-prefix", ""))),
            values.get(b"resumes", "").strip(),
            self.read_keys(headers),
        )

    def read_keys(self, headers: header_codec.Headers) -> tuple[bytes, ...]:
        return tuple(
            value for key, value in headers if key.lower() == KEY_HEADER
        )

    def make_request_headers(
        self,
        headers: header_codec.Headers,
        forwarding: header_codec.ForwardingMetadata,
    ) -> header_codec.Headers:
        removed = SYSTEM_HEADERS | {b"last-event-id"}
        if forwarding.hides_keys:
            removed |= ORGANISATION_HEADERS
        forwarded = [
            (key, value)
            for key, value in headers
            if key.lower() not in removed
        ]
        timeout_ms = max(1, int(forwarding.timeout_s * MS_PER_S))
        forwarded.append((b"X-Request-Deadline", str(timeout_ms).encode()))
        forwarded.append(
            (b"X-Expect-Instance", forwarding.instance_id.encode())
        )
        if forwarding.adapter_version is not None:
            version = str(forwarding.adapter_version).encode()
            forwarded.append((b"X-Expect-Version", version))
        if forwarding.priority is not None:
            priority = str(min(9, max(0, forwarding.priority))).encode()
            forwarded.append((b"X-Request-Priority", priority))
        if forwarding.last_event_id:
            last_id = forwarding.last_event_id.encode("latin-1")
            forwarded.append((b"Last-Event-Id", last_id))
        if forwarding.organisation:
            name = forwarding.organisation.encode()
            forwarded.append((b"X-Tenant-Id", name))
        return forwarded

    def read_response(
        self, status: int, headers: header_codec.Headers
    ) -> header_codec.ResponseMetadata:
        values = index_headers(headers)
        return header_codec.ResponseMetadata(
            read_response_id(headers),
            # The target vouches for the body by a seal. Its format is private
            # to the target, so only its presence is checked.
            b"x-response-seal" in values,
            # Status 421 (Misdirected Request) means the same as the header.
            b"x-not-executed" in values or status == 421,
            read_load(values.get(b"x-server-load")),
            values.get(b"server-leaving", "").strip() == "1",
            *read_rate_limit(headers),
        )


def index_headers(headers: header_codec.Headers) -> dict[bytes, str]:
    """Return the first value of each header, by lower-case name."""
    values: dict[bytes, str] = {}
    for key, value in headers:
        values.setdefault(key.lower(), value.decode("latin-1"))
    return values


def read_response_id(headers: header_codec.Headers) -> str:
    """Return the id of the request that a response belongs to.

    It is that of no request if the response names several.
    """
    ids = {
        value.decode("latin-1")
        for key, value in headers
        if key.lower() == b"x-request-id" and value
    }
    return ", ".join(sorted(ids))


def read_timeout_s(value: str | None) -> float | None:
    """Return the request's timeout in seconds; None if absent or invalid.

    The header gives it in milliseconds.
    """
    try:
        timeout_s = float(value or "nan") / MS_PER_S
    except ValueError:
        return None
    return None if math.isnan(timeout_s) else max(0.0, timeout_s)


def read_token_counts(value: str) -> tuple[int, int]:
    """Return the number of prompt tokens and the limit on output tokens.

    Both are 0 if the value is not of the form PROMPT,OUTPUT.
    """
    counts = read_counts(value)
    return (counts[0], counts[1]) if len(counts) == 2 else (0, 0)


def read_counts(value: str) -> list[int]:
    """Return the numbers in NUMBER,... or an empty list if one is invalid."""
    items = [item.strip() for item in value.split(",")]
    if not all(COUNT.fullmatch(item) for item in items):
        return []
    return [int(item) for item in items]


def read_prompt_parts(value: str) -> list[header_codec.PromptPart]:
    """Return the parts of the prompt, given as ID:TOKENS,...

    Parts from the first invalid one on are left out.
    """
    parts = []
    for item in value.split(","):
        part_id, _, tokens = item.strip().partition(":")
        if not part_id or not COUNT.fullmatch(tokens):
            break
        parts.append(header_codec.PromptPart(part_id, int(tokens)))
    return parts


def read_shared_parts(value: str) -> list[str]:
    """Return the ids of the parts that requests may have in common.

    The last part belongs to the request itself or to its session.
    """
    items = [item.strip().partition(":") for item in value.split(",")]
    ids = [part_id.lower() for part_id, _, _ in items[:-1] if part_id]
    return ids[:MAX_SHARED_PARTS]


def read_rate_limit(
    headers: header_codec.Headers,
) -> tuple[float | None, tuple[str, ...]]:
    """Return the limit on requests a second, and the invalid values.

    If the header is repeated, the lowest valid value counts.
    """
    limits: list[float] = []
    invalid: list[str] = []
    for key, raw in headers:
        if key.lower() != b"server-limit":
            continue
        value = raw.decode("latin-1").strip()
        if DECIMAL.fullmatch(value):
            limits.append(float(value))
        else:
            invalid.append(value)
    return min(limits, default=None), tuple(invalid)


def read_load(value: str | None) -> header_codec.TargetLoad | None:
    """Return the load; None if invalid.

    It is given as RUNNING,WAITING,SLOTS, and by some targets with the
    percentage of the usual time that work takes there now. Further figures
    are ignored.
    """
    counts = read_counts(value or "")
    if len(counts) < LOAD_FIGURES:
        return None
    load = header_codec.TargetLoad(*counts[:LOAD_FIGURES])
    if len(counts) == LOAD_FIGURES:
        return load
    return dataclasses.replace(load, slowdown=counts[LOAD_FIGURES] / 100)
