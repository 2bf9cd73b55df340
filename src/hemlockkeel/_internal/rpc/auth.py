"""Shared-secret check when a connection is made.

The server sends a random challenge; the client proves that it holds the
secret with an HMAC over the challenge, its name and the protocol version.
"""

import hashlib
import hmac
import secrets

PROTOCOL_VERSION = 1
CHALLENGE_BYTES = 16


def make_challenge() -> bytes:
    """Return a fresh random challenge."""
    return secrets.token_bytes(CHALLENGE_BYTES)


def make_proof(
    secret: str, challenge: bytes, peer_id: str, protocol_version: int
) -> bytes:
    """Return the proof for a challenge."""
    message = challenge + f"{protocol_version}:{peer_id}".encode()
    return hmac.new(secret.encode(), message, hashlib.sha256).digest()


def verify_proof(
    secret: str,
    challenge: bytes,
    peer_id: str,
    protocol_version: int,
    proof: bytes,
) -> bool:
    """Tell whether a proof is right, in constant time."""
    expected = make_proof(secret, challenge, peer_id, protocol_version)
    return hmac.compare_digest(expected, proof)
