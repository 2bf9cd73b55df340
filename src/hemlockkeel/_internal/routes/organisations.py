"""Organisations whose callers identify themselves with a key.

A configuration names the organisations. Keys are kept as digests only, so
that no log line, metric or dump of a process can show one.
"""

import collections.abc
import dataclasses
import enum
import hashlib
import typing

OrganisationName = typing.NewType("OrganisationName", str)
# SHA-256 digest of a key.
KeyDigest = typing.NewType("KeyDigest", bytes)

# A longer value of the header cannot be a key.
MAX_KEY_BYTES = 256


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    # Prompt tokens plus the limit on output tokens.
    TOKENS = "tokens"


@dataclasses.dataclass(frozen=True)
class Quota:
    """What all entries together accept from an organisation."""

    unit: QuotaUnit
    # Units a second.
    rate: float
    # Units that may be used at once after a pause.
    burst: float
    # Units of a request that states no number of tokens.
    plain_units: float

    def get_cost(self, prompt_tokens: int, max_output_tokens: int) -> float:
        """Return the units that a request takes from the quota."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(prompt_tokens + max_output_tokens) or self.plain_units


@dataclasses.dataclass(frozen=True)
class Organisation:
    """An organisation with its priority and its quota."""

    name: OrganisationName
    # Takes precedence over the priority of routes; None if it has none.
    priority: int | None
    # None if it may send any number of requests.
    quota: Quota | None


class Directory:
    """The organisations of one configuration, by their keys."""

    def __init__(
        self, holders: collections.abc.Mapping[KeyDigest, Organisation]
    ) -> None:
        self.holders = dict(holders)

    def find(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds a key; None if nobody does."""
        if not key or len(key) > MAX_KEY_BYTES:
            return None
        # The time of the look-up depends on the digest only, from which
        # nothing about a key can be derived.
        return self.holders.get(make_digest(key))


def make_digest(key: bytes) -> KeyDigest:
    """Return the digest under which a key is kept."""
    return KeyDigest(hashlib.sha256(key).digest())


def list_quotas(
    directory: Directory | None,
) -> dict[OrganisationName, Quota]:
    """Return the quotas of the organisations that have one."""
    if directory is None:
        return {}
    return {
        holder.name: holder.quota
        for holder in directory.holders.values()
        if holder.quota is not None
    }
