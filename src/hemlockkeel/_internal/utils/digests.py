"""Digests of requests and answers."""

import collections.abc
import hashlib

from hemlockkeel._internal.models import ids

DIGEST_BYTES = 16


def digest_content(*parts: bytes) -> ids.ContentDigest:
    """Return the digest of a request's content, independent of its key."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return ids.ContentDigest(hasher.hexdigest())


class TokenDigest:
    """Running digest of the tokens of an answer."""

    def __init__(self) -> None:
        self.hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
        self.length = 0

    def update(self, tokens: collections.abc.Iterable[str]) -> None:
        """Add tokens in order."""
        for token in tokens:
            data = token.encode()
            self.hasher.update(len(data).to_bytes(4, "big"))
            self.hasher.update(data)
            self.length += 1

    def hexdigest(self) -> str:
        """Return the digest of everything added so far."""
        return self.hasher.hexdigest()
