"""An entry's share of a reserve that all entries use together.

The shares of all entries must add up to at most one at any time, although
entries start, end, pause and lose contact. Control members announce how many
entries are connected. An entry has a share only while it gets announcements,
since the others' shares grow once they are told of fewer entries; and it uses
the largest number that was announced within the last window, since what it
and others spent earlier still counts until then.
"""

import collections
import dataclasses

# Time without an announcement after which a member counts as lost. Members
# announce once a second.
CONTACT_TIMEOUT_S = 2.5


@dataclasses.dataclass(frozen=True)
class Announcement:
    """A number of entries that a control member has announced."""

    received_at: float
    entries: int


class ReserveShare:
    """Computes the share from announcements; times are loop times."""

    def __init__(self, window_s: float) -> None:
        # How long something that was spent counts.
        self.window_s = window_s
        self.announcements: collections.deque[Announcement] = (
            collections.deque()
        )
        self.announced_at = float("-inf")
        # When each member was last heard.
        self.heard_at: dict[str, float] = {}
        # Members that are known; a majority of them must be heard.
        self.member_count = 1
        # Start and last moment of the contact with a majority.
        self.contact_since = float("inf")
        self.contact_at = float("-inf")

    def record_announcement(
        self, member: str, entries: int, member_count: int, now: float
    ) -> None:
        """Store the number of entries that a member has announced."""
        if now - self.announced_at > CONTACT_TIMEOUT_S:
            # Announcements were missed, so that others may have come back.
            known = self.get_entry_count()
            self.announcements.append(Announcement(now, known))
        self.announced_at = now
        self.announcements.append(Announcement(now, entries))
        horizon = now - self.window_s - CONTACT_TIMEOUT_S
        while self.announcements[0].received_at < horizon:
            self.announcements.popleft()
        self.heard_at[member] = now
        self.member_count = max(1, member_count)
        if not self.has_majority(now):
            return
        if now - self.contact_at > self.window_s:
            # Others may have used this entry's share meanwhile.
            self.contact_since = now
        self.contact_at = now

    def forget_member(self, member: str) -> None:
        """Record that the link to a member is closed."""
        self.heard_at.pop(member, None)

    def has_majority(self, now: float) -> bool:
        """Return whether a majority of the members was heard just now."""
        heard = sum(
            now - at <= CONTACT_TIMEOUT_S for at in self.heard_at.values()
        )
        return 2 * heard > self.member_count

    def get_entry_count(self) -> int:
        """Return the largest number of entries announced in the window."""
        return max((a.entries for a in self.announcements), default=1)

    def get(self, now: float) -> float:
        """Return the share of the reserve that may be used, from 0 to 1."""
        if not self.has_majority(now):
            return 0.0
        if now - self.contact_since < self.window_s + CONTACT_TIMEOUT_S:
            return 0.0
        return 1.0 / max(1, self.get_entry_count())
