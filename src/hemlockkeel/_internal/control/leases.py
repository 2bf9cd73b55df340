"""Leases of entries and agents, kept in the leader's memory.

A new leader does not know the leases that its predecessor granted, so it
assumes that every member was granted one at the moment it became leader.
"""

import collections.abc
import dataclasses

HEARTBEAT_INTERVAL_S = 0.5
LEASE_DURATION_S = 2.5
# The leader adds this ratio to the duration of a lease, because the clock of
# the member that holds it may run slower than the leader's.
MAX_CLOCK_DRIFT_RATIO = 0.1
# Time without a heartbeat after which a member is suspected, and removed.
SUSPECT_AFTER_S = 1.6
REMOVE_AFTER_S = 12.0


@dataclasses.dataclass
class MemberLease:
    """One member's lease; times are the leader's monotonic seconds."""

    incarnation: int
    # View version that the member has applied, from its last heartbeat.
    confirmed_version: int
    expires_at: float
    last_heartbeat_at: float


class LeaseTable:
    """Leases by member id; times are the leader's monotonic seconds."""

    def __init__(self) -> None:
        self.leases: dict[str, MemberLease] = {}

    def reset(
        self,
        incarnations: collections.abc.Mapping[str, int],
        now: float,
    ) -> None:
        """Replace the table for a new leader.

        Every member is given a lease and counts as not having confirmed any
        view version.
        """
        self.leases = {
            member_id: MemberLease(incarnation, 0, compute_expiry(now), now)
            for member_id, incarnation in incarnations.items()
        }

    def renew(
        self,
        member_id: str,
        incarnation: int,
        confirmed_version: int,
        now: float,
    ) -> None:
        """Grant a lease to a member that confirmed a view version."""
        self.leases[member_id] = MemberLease(
            incarnation, confirmed_version, compute_expiry(now), now
        )

    def remove(self, member_id: str, incarnation: int) -> None:
        """Remove a member's lease unless another incarnation holds it."""
        lease = self.leases.get(member_id)
        if lease is not None and lease.incarnation == incarnation:
            del self.leases[member_id]

    def find_lagging(self, version: int, now: float) -> list[str]:
        """Return members with a lease that have not confirmed a version."""
        return sorted(
            member_id
            for member_id, lease in self.leases.items()
            if lease.confirmed_version < version and lease.expires_at > now
        )

    def find_unresponsive(self, after_s: float, now: float) -> list[str]:
        """Return members whose last heartbeat is older than ``after_s``."""
        return sorted(
            member_id
            for member_id, lease in self.leases.items()
            if now - lease.last_heartbeat_at > after_s
        )

    def get_remaining(self, member_id: str, now: float) -> float:
        """Return a lease's remaining seconds; 0 without a lease."""
        lease = self.leases.get(member_id)
        return max(0.0, lease.expires_at - now) if lease else 0.0


def compute_expiry(now: float) -> float:
    """Return the time at which a lease granted now has certainly expired.

    The clock of the lease's holder may run slower than the leader's.
    """
    return now + LEASE_DURATION_S * (1.0 + MAX_CLOCK_DRIFT_RATIO)
