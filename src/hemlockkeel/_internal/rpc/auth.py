"""Challenge-response authentication of a connection with a shared secret.

The server sends a random challenge. The client responds with an
HMAC-SHA256, keyed with the secret, over the challenge, the protocol version
and the client's id.
"""

import hashlib
import hmac
import secrets

PROTOCOL_VERSION = 1
CHALLENGE_BYTES = 16


def make_challenge() -> bytes:
    """Return a new random challenge."""
    return secrets.token_bytes(CHALLENGE_BYTES)


def make_proof(
    secret: str, challenge: bytes, peer_id: str, protocol_version: int
) -> bytes:
    """Return the client's proof that it knows the secret."""
    message = challenge + f"{protocol_version}:{peer_id}".encode()
    return hmac.new(secret.encode(), message, hashlib.sha256).digest()


def verify_proof(
    secret: str,
    challenge: bytes,
    peer_id: str,
    protocol_version: int,
    proof: bytes,
) -> bool:
    """Return whether a proof is valid; compares in constant time."""
    expected = make_proof(secret, challenge, peer_id, protocol_version)
    return hmac.compare_digest(expected, proof)
