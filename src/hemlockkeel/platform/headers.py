"""Translates the headers of requests and answers."""

from hemlockkeel._internal.relay import header_codec

MS_PER_S = 1000.0
# The system sets these; a caller's are dropped.
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


class PlatformHeaderCodec(header_codec.HeaderCodec):
    """Reads and writes the platform's headers."""

    def read_request(
        self, headers: header_codec.Headers
    ) -> header_codec.RequestMetadata:
        found = index_headers(headers)
        model, _, adapter = found.get(b"x-model-name", "").partition("/")
        prompt, output = read_token_counts(found.get(b"x-token-usage", ""))
        return header_codec.RequestMetadata(
            found.get(b"x-request-id", ""),
            read_timeout_s(found.get(b"x-request-deadline")),
            model,
            adapter,
            prompt,
            output,
            tuple(read_prompt_parts(found.get(b"x-prompt-prefix", ""))),
            found.get(b"last-event-id", ""),
        )

    def make_request_headers(
        self,
        headers: header_codec.Headers,
        forwarding: header_codec.ForwardingMetadata,
    ) -> header_codec.Headers:
        made = [
            (key, value)
            for key, value in headers
            if key.lower() not in SYSTEM_HEADERS
            and key.lower() != b"last-event-id"
        ]
        left_ms = max(1, int(forwarding.timeout_s * MS_PER_S))
        made.append((b"X-Request-Deadline", str(left_ms).encode()))
        made.append((b"X-Expect-Instance", forwarding.instance_id.encode()))
        if forwarding.adapter_version is not None:
            version = str(forwarding.adapter_version).encode()
            made.append((b"X-Expect-Version", version))
        if forwarding.priority is not None:
            priority = str(min(9, max(0, forwarding.priority))).encode()
            made.append((b"X-Request-Priority", priority))
        if forwarding.last_event_id:
            last_id = forwarding.last_event_id.encode("latin-1")
            made.append((b"Last-Event-Id", last_id))
        return made

    def read_response(
        self, status: int, headers: header_codec.Headers
    ) -> header_codec.ResponseMetadata:
        found = index_headers(headers)
        return header_codec.ResponseMetadata(
            found.get(b"x-request-id", ""),
            # The seal vouches for the body; its form is the target's own.
            b"x-response-seal" in found,
            # 421 tells the same without this header.
            b"x-not-executed" in found or status == 421,
            read_load(found.get(b"x-server-load")),
        )


def index_headers(headers: header_codec.Headers) -> dict[bytes, str]:
    """Return the first value of each header by lowercase name."""
    found: dict[bytes, str] = {}
    for key, value in headers:
        found.setdefault(key.lower(), value.decode("latin-1"))
    return found


def read_timeout_s(value: str | None) -> float | None:
    """Return the caller's patience in seconds."""
    try:
        return max(0.0, float(value) / MS_PER_S) if value else None
    except ValueError:
        return None


def read_token_counts(value: str) -> tuple[int, int]:
    """Return the prompt's tokens and the most output tokens."""
    prompt, _, output = value.partition(",")
    try:
        return int(prompt), int(output)
    except ValueError:
        return 0, 0


def read_prompt_parts(value: str) -> list[header_codec.PromptPart]:
    """Return the prompt's parts in order, given as ID:TOKENS."""
    parts = []
    for item in value.split(","):
        part_id, _, tokens = item.strip().partition(":")
        if not part_id or not tokens.isdigit():
            break
        parts.append(header_codec.PromptPart(part_id, int(tokens)))
    return parts


def read_load(value: str | None) -> header_codec.TargetLoad | None:
    """Return running and waiting requests and slots."""
    if not value:
        return None
    numbers = value.split(",")
    if len(numbers) != 3 or not all(n.strip().isdigit() for n in numbers):
        return None
    running, waiting, slots = (int(n) for n in numbers)
    return header_codec.TargetLoad(running, waiting, slots)
