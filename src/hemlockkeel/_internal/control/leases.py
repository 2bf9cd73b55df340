"""Leases of entries and agents, kept in the leader's memory.

A new leader has no record of the leases that its predecessor granted, so it
counts every member as holding one from the moment it took the lead.
"""

import collections.abc
import dataclasses

HEARTBEAT_S = 0.5
LEASE_S = 2.5
# The leader waits longer than the holder for drift between their clocks.
DRIFT_SHARE = 0.1
SUSPECT_AFTER_S = 1.6
REMOVE_AFTER_S = 12.0


@dataclasses.dataclass
class Holder:
    """One member's lease as its leader sees it."""

    incarnation: int
    confirmed: int
    lease_until: float
    heard_at: float


class LeaseTable:
    """Leases by member id; times are the leader's monotonic seconds."""

    def __init__(self) -> None:
        self.holders: dict[str, Holder] = {}

    def reset(
        self,
        incarnations: collections.abc.Mapping[str, int],
        now: float,
    ) -> None:
        """Start a lead: every member may hold a lease."""
        self.holders = {
            member_id: Holder(incarnation, 0, make_expiry(now), now)
            for member_id, incarnation in incarnations.items()
        }

    def renew(
        self, member_id: str, incarnation: int, confirmed: int, now: float
    ) -> None:
        """Grant a lease to a member that confirmed a view version."""
        self.holders[member_id] = Holder(
            incarnation, confirmed, make_expiry(now), now
        )

    def forget(self, member_id: str, incarnation: int) -> None:
        """Forget a removed member."""
        holder = self.holders.get(member_id)
        if holder is not None and holder.incarnation == incarnation:
            del self.holders[member_id]

    def find_lagging(self, version: int, now: float) -> list[str]:
        """Return members that hold a lease and have not confirmed."""
        return sorted(
            member_id
            for member_id, holder in self.holders.items()
            if holder.confirmed < version and holder.lease_until > now
        )

    def find_silent(self, after_s: float, now: float) -> list[str]:
        """Return members not heard from for some seconds."""
        return sorted(
            member_id
            for member_id, holder in self.holders.items()
            if now - holder.heard_at > after_s
        )

    def get_remaining(self, member_id: str, now: float) -> float:
        """Return the seconds that a member's lease may still last."""
        holder = self.holders.get(member_id)
        return max(0.0, holder.lease_until - now) if holder else 0.0


def make_expiry(now: float) -> float:
    """Return when a lease granted now has run out for certain."""
    return now + LEASE_S * (1.0 + DRIFT_SHARE)
