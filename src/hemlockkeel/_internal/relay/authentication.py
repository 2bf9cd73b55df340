"""Decides whether a request with certain keys is accepted.

With strict revocation, an entry accepts a key only while it holds a recent
proof that its configuration is the newest.
"""

import dataclasses
import enum

from hemlockkeel._internal.routes import organisations

# Part of the time within which a revoked key stops working for which a proof
# allows keys. The rest is a reserve for clocks that differ in speed.
PROOF_USE_FRACTION = 0.9
# The same for the readiness of an entry: callers should move to others before
# they are refused.
PROOF_READY_FRACTION = 0.6
# Age of a proof from which on an unknown key may have been added since, so
# that it is confirmed first. Keys have to work 2.5 s after they were added.
UNKNOWN_KEY_PROOF_AGE_S = 1.0


class Outcome(enum.Enum):
    """What happens to a request."""

    ACCEPTED = "accepted"
    # No organisation has the key, or there is not exactly one.
    REFUSED = "refused"
    # The key may have been added since the last proof.
    UNCONFIRMED = "unconfirmed"
    # The key may have been revoked since the last proof.
    STALE = "stale"


@dataclasses.dataclass(frozen=True)
class Decision:
    """The outcome, and the organisation of an accepted request."""

    outcome: Outcome
    organisation: organisations.Organisation | None = None


@dataclasses.dataclass(frozen=True)
class ProofAge:
    """How old the proof is that a configuration is the newest."""

    # Seconds; infinite without a proof.
    age_s: float
    # Time within which a revoked key has to stop working, seconds.
    revoke_s: float

    @property
    def allows_keys(self) -> bool:
        """Return whether no key can have been revoked for too long."""
        return self.age_s < PROOF_USE_FRACTION * self.revoke_s

    @property
    def is_recent(self) -> bool:
        """Return whether keys will be allowed for a while."""
        return self.age_s <= PROOF_READY_FRACTION * self.revoke_s

    @property
    def refutes_unknown_keys(self) -> bool:
        """Return whether an unknown key is certainly not a recent one."""
        return self.allows_keys and self.age_s < UNKNOWN_KEY_PROOF_AGE_S


def is_well_formed(keys: tuple[bytes, ...]) -> bool:
    """Return whether the keys of a request can identify an organisation."""
    return len(keys) == 1 and 0 < len(keys[0]) <= organisations.MAX_KEY_BYTES


def authenticate(
    keys: tuple[bytes, ...],
    directory: organisations.Directory,
    proof: ProofAge | None,
) -> Decision:
    """Decide about a request with the given keys.

    ``proof`` is about the configuration that ``directory`` is from; None
    without strict revocation.
    """
    if not is_well_formed(keys):
        return Decision(Outcome.REFUSED)
    organisation = directory.find(keys[0])
    if organisation is None:
        if proof is None or proof.refutes_unknown_keys:
            return Decision(Outcome.REFUSED)
        return Decision(Outcome.UNCONFIRMED)
    if proof is not None and not proof.allows_keys:
        return Decision(Outcome.STALE)
    return Decision(Outcome.ACCEPTED, organisation)
