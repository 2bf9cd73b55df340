"""Removes hop-by-hop headers (RFC 9110, section 7.6.1)."""

from hemlockkeel._internal.relay import header_codec

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
# Written anew for the forwarded body.
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


def list_tokens(headers: header_codec.Headers, name: bytes) -> set[bytes]:
    """Return the lowercase items of a comma-separated header."""
    tokens: set[bytes] = set()
    for key, value in headers:
        if key.lower() == name:
            tokens |= {part.strip().lower() for part in value.split(b",")}
    return tokens


def drop_hop_by_hop(headers: header_codec.Headers) -> header_codec.Headers:
    """Return the end-to-end headers without those that frame the body."""
    # A caller must not get the platform's headers (X-...) or Host removed by
    # naming them in Connection.
    named = {
        token
        for token in list_tokens(headers, b"connection")
        if not token.startswith(b"x-") and token != b"host"
    }
    dropped = HOP_BY_HOP | FRAMING_HEADERS | named
    return [
        (key, value) for key, value in headers if key.lower() not in dropped
    ]


def get(headers: header_codec.Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; None without it.

    ``name`` is in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
