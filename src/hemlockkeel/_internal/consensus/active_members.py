"""The members that decide at present, and their quorums.

Raft uses a membership as soon as it is in the log, not only once it is
committed. While a change of the voters is open, that is, may not be committed,
a quorum of the voters before it is needed as well: half of them without a lost
one (see `quorums`) need not have a member in common with a majority of the
voters after it.
"""

import collections.abc

from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import quorums

Snapshot = tuple[messages.SnapshotMeta, bytes] | None


def find_membership(
    log: log_module.Log, snapshot: Snapshot, index: int
) -> tuple[int, messages.Membership]:
    """Return the latest membership up to an index, and its entry's index.

    The latter is 0 if it is only in the snapshot. The membership is empty if
    there is none yet.
    """
    for entry in reversed(log.entries):
        if entry.index > index:
            continue
        if entry.kind is messages.EntryKind.MEMBERSHIP:
            return entry.index, messages.decode_membership(entry.data)
    if snapshot is not None:
        return 0, snapshot[0].membership
    return 0, messages.Membership([])


class ActiveMembers:
    """The latest membership, and the one before it while a change is open.

    ``index`` is that of the latest membership's entry, 0 if it is only in the
    snapshot. ``lost`` are members whose disks are known to be lost. Each of
    ``quorums`` has to be met by elections, commits and leases.
    """

    def __init__(self) -> None:
        self.latest = messages.Membership([])
        self.previous = messages.Membership([])
        self.index = 0
        self.commit_index = 0
        self.lost: set[str] = set()
        self.quorums: list[quorums.Quorum] = []

    def load(
        self, log: log_module.Log, snapshot: Snapshot, commit_index: int
    ) -> None:
        """Adopt the latest membership in the log or snapshot."""
        found = find_membership(log, snapshot, log.last_index)
        self.index, self.latest = found
        self.previous = messages.Membership([])
        if self.index:
            _, self.previous = find_membership(log, snapshot, self.index - 1)
        self.commit_index = commit_index
        self.refresh_quorums()

    def commit(self, index: int) -> bool:
        """Record that entries are committed up to an index.

        Returns whether the latest membership is one of them and was not
        before.
        """
        newly = self.commit_index < self.index <= index
        self.commit_index = index
        if newly:
            self.refresh_quorums()
        return newly

    def record_lost(self, member_id: str) -> None:
        """Record that a member's disk is lost, if it is active."""
        if member_id in self.voters:
            self.lost.add(member_id)
            self.refresh_quorums()

    def refresh_quorums(self) -> None:
        """Derive the quorums from the memberships and the lost members."""
        memberships = [self.latest]
        if self.is_open:
            memberships.append(self.previous)
        self.quorums = [
            quorums.Quorum(voters, voters & self.lost)
            for voters in (frozenset(each.voters) for each in memberships)
            if voters
        ]

    @property
    def changes_voters(self) -> bool:
        """Return whether the latest voters differ from those before.

        They do not if an entry repeats their membership, which the leader
        appends once the change is committed (see `is_confirmed`).
        """
        before = set(self.previous.voters)
        return bool(before) and before != set(self.latest.voters)

    @property
    def is_committed(self) -> bool:
        """Return whether the latest membership is known to be committed."""
        return self.index <= self.commit_index

    @property
    def is_open(self) -> bool:
        """Return whether a change of the voters may not be committed."""
        return not self.is_committed and self.changes_voters

    @property
    def is_pending(self) -> bool:
        """Return whether a change of the members is not committed."""
        return not self.is_committed and self.latest != self.previous

    @property
    def is_confirmed(self) -> bool:
        """Return whether logs tell that the latest voters are committed.

        That is so once a quorum has stored their repeated membership. A member
        that starts again knows of the change, but not of its commit.
        """
        return self.is_committed and not self.changes_voters

    @property
    def peers(self) -> list[messages.Peer]:
        """Return the members, and the voters before a change that is open."""
        if not self.is_open:
            return self.latest.peers
        return self.latest.peers + [
            peer
            for peer in self.previous.peers
            if peer.voter and self.latest.get(peer.member_id) is None
        ]

    @property
    def voters(self) -> set[str]:
        """Return the voters of all quorums."""
        return {voter for quorum in self.quorums for voter in quorum.voters}

    def get(self, member_id: str) -> messages.Peer | None:
        """Return the member with an id, or None."""
        for peer in self.peers:
            if peer.member_id == member_id:
                return peer
        return None

    def is_quorum(self, members: collections.abc.Set[str]) -> bool:
        """Return whether members suffice for a decision."""
        return bool(self.quorums) and all(
            quorum.is_met_by(members) for quorum in self.quorums
        )

    def get_reached(
        self,
        get_value: collections.abc.Callable[[str], quorums.Comparable],
        default: quorums.Comparable,
    ) -> quorums.Comparable:
        """Return the highest value that a quorum of voters has reached.

        ``get_value`` returns that of one voter, ``default`` is for no voters.
        """
        return min(
            (quorum.get_reached(get_value) for quorum in self.quorums),
            default=default,
        )
