"""Digests of requests and of generated tokens."""

import collections.abc
import hashlib

from hemlockkeel._internal.models import ids

DIGEST_BYTES = 16


def digest_content(*parts: bytes) -> ids.ContentDigest:
    """Return the digest of a request's content.

    The idempotency key is not part of it, so that a key that is reused for
    another request can be detected. Each part is preceded by its length:
    parts that are split elsewhere have another digest.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return ids.ContentDigest(hasher.hexdigest())


class TokenDigest:
    """Incremental digest of generated tokens."""

    def __init__(self) -> None:
        self.hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.length = 0

    def update(self, tokens: collections.abc.Iterable[str]) -> None:
        """Append tokens."""
        for token in tokens:
            data = token.encode()
            self.hasher.update(len(data).to_bytes(4, "big"))
            self.hasher.update(data)
            self.length += 1

    def hexdigest(self) -> str:
        """Return the digest of all tokens so far, in hexadecimal."""
        return self.hasher.hexdigest()
