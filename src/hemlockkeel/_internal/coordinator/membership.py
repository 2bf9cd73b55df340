"""Pure functions that decide changes of the cluster membership.

A member that has lost its disk restarts with a new id. It is added as a
learner and becomes a voter once its log has caught up. A voter that is silent
hands its vote to such a learner, or loses it if enough others vote; it may
vote again once it answers. See docs/design/member-replacement.md.
"""

import collections.abc
import dataclasses

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import quorums

# A learner that has not answered for this long is removed. Longer than a
# restart or an election, shorter than a manual repair.
UNRESPONSIVE_AFTER_S = 2.5
# Join requests older than this are ignored; a process that wants to join
# repeats its request about once a second.
JOIN_REQUEST_EXPIRY_S = 2.5
# A learner that lacks at most this many log entries is promoted to a voter.
MAX_PROMOTION_LAG_ENTRIES = 50


@dataclasses.dataclass(frozen=True)
class VotePolicy:
    """Which members may vote.

    ``least_voters`` are as many as it takes to bear the losses that the
    deployment declares. More of them vote while members are replaced.
    """

    least_voters: int
    # Time without an answer after which a voter may lose its vote.
    silent_after_s: float

    def has_spare_voter(self, membership: messages.Membership) -> bool:
        """Return whether a voter that is down should lose its vote.

        Otherwise it is waited for, as it may only be restarted.
        """
        return len(membership.voters) > self.least_voters


@dataclasses.dataclass(frozen=True)
class JoinRequest:
    """A request of a process to become a member."""

    member_id: str
    address: str
    # Monotonic time in seconds.
    received_at: float


@dataclasses.dataclass(frozen=True)
class PeerState:
    """What the leader knows about a peer."""

    # Monotonic time in seconds since which the peer has not answered; None if
    # no message has been sent to it yet.
    silent_since: float | None
    # Log entries that the peer lacks; None before its first answer.
    lag_entries: int | None
    # Whether its process has ended, and has not answered since.
    has_ended: bool = False


@dataclasses.dataclass(frozen=True)
class LeaderView:
    """What a leader knows when it decides on the members.

    ``own_id`` is the leader, which is never removed. ``lost`` are members
    whose disks are known to be lost.
    """

    members: messages.Membership
    own_id: str
    states: dict[str, PeerState]
    joins: list[JoinRequest]
    # Monotonic time in seconds.
    now: float
    lost: collections.abc.Set[str] = frozenset()

    def find_silent(self, seconds: float) -> set[str]:
        """Return the members that have not answered for so long."""
        return {
            member_id
            for member_id, state in self.states.items()
            if state.silent_since is not None
            and self.now - state.silent_since > seconds
        }

    def find_ended(self) -> set[str]:
        """Return the members whose processes have ended."""
        return {
            member_id
            for member_id, state in self.states.items()
            if state.has_ended
        }

    def is_quorum(self, members: collections.abc.Set[str]) -> bool:
        """Return whether members include a quorum of the present voters."""
        voters = frozenset(self.members.voters)
        return quorums.Quorum(voters, voters & self.lost).is_met_by(members)


def get_peer_states(raft: core.RaftCore) -> dict[str, PeerState]:
    """Return the states of a leader's peers by member id."""
    return {
        member_id: PeerState(
            progress.silent_since,
            raft.log.last_index - progress.match_index
            if progress.match_index
            else None,
            progress.has_ended,
        )
        for member_id, progress in raft.replicator.progress.items()
    }


def plan_change(
    view: LeaderView, policy: VotePolicy
) -> messages.Membership | None:
    """Return the next membership, or None if no change is needed.

    At most one voter is added and one removed.
    """
    members = view.members
    recent = find_recent(view.joins, view.now)
    replaced = find_lost(members, view.lost) or find_replaced(
        members, view.own_id, recent
    )
    if replaced is not None:
        return remove_member(members, replaced)
    changed = plan_votes(view, policy)
    if changed is not None:
        return changed
    unresponsive = find_unresponsive_learner(view)
    if unresponsive is not None:
        return remove_member(members, unresponsive)
    for join in recent:
        if members.get(join.member_id) is None:
            peer = messages.Peer(join.member_id, join.address, False)
            return messages.Membership([*members.peers, peer])
    return None


def find_recent(joins: list[JoinRequest], now: float) -> list[JoinRequest]:
    """Return the last request from each address, unless it has expired.

    Earlier ones are of processes whose disks have been lost since.
    """
    by_address = {
        join.address: join
        for join in sorted(joins, key=lambda join: join.received_at)
    }
    return [
        join
        for join in by_address.values()
        if now - join.received_at <= JOIN_REQUEST_EXPIRY_S
    ]


def find_lost(
    membership: messages.Membership, lost: collections.abc.Set[str]
) -> str | None:
    """Return a member whose disk is lost, unless it is the last voter."""
    for peer in membership.peers:
        if peer.member_id in lost and can_remove_voter(membership):
            return peer.member_id
    return None


def find_replaced(
    membership: messages.Membership, own_id: str, joins: list[JoinRequest]
) -> str | None:
    """Return a member whose address is used by a process with another id.

    The member has lost its disk, so it will not return under its old id. None
    if there is no such member or it is the last voter.
    """
    for join in joins:
        for peer in membership.peers:
            if peer.address != join.address or peer.member_id == own_id:
                continue
            if peer.member_id != join.member_id and can_remove_voter(
                membership
            ):
                return peer.member_id
    return None


def can_remove_voter(membership: messages.Membership) -> bool:
    """Return whether another voter would remain."""
    return len(membership.voters) > 1


def plan_votes(
    view: LeaderView, policy: VotePolicy
) -> messages.Membership | None:
    """Return the membership after votes were given or taken; None if neither.

    A learner that has caught up becomes a voter, in place of one that is
    silent if there is one. Without a learner, a silent voter becomes one if
    enough others vote.
    """
    members = view.members
    silent = view.find_silent(policy.silent_after_s) | view.find_ended()
    learner = find_caught_up_learner(members, view.own_id, view.states, silent)
    voter = find_silent_voter(view, silent)
    if voter is not None and (learner or policy.has_spare_voter(members)):
        members = set_vote(members, voter, False)
    if learner is not None:
        members = set_vote(members, learner, True)
    return members if members is not view.members else None


def find_silent_voter(view: LeaderView, silent: set[str]) -> str | None:
    """Return a silent voter whose vote can be taken; None if there is none.

    A leader that no quorum has answered lately knows nothing of the others:
    it may have been paused itself.
    """
    voters = view.members.voters
    if not view.is_quorum(set(voters) - silent):
        return None
    for voter in voters:
        if voter in silent and voter != view.own_id:
            return voter
    return None


def find_unresponsive_learner(view: LeaderView) -> str | None:
    """Return a learner that may be gone for good; None if there is none."""
    silent = view.find_silent(UNRESPONSIVE_AFTER_S)
    if not view.is_quorum(set(view.members.voters) - silent):
        return None
    for peer in view.members.peers:
        if not peer.voter and peer.member_id in silent:
            return peer.member_id
    return None


def plan_leaving(
    membership: messages.Membership, member_id: str, policy: VotePolicy
) -> messages.Membership | None:
    """Return the membership without a member whose process is to end.

    None if the member has been removed already, or stays a member since it
    may only be restarted.
    """
    peer = membership.get(member_id)
    if peer is None or not peer.voter:
        return None
    if not policy.has_spare_voter(membership):
        return None
    return remove_member(membership, member_id)


def find_caught_up_learner(
    membership: messages.Membership,
    own_id: str,
    states: dict[str, PeerState],
    silent: collections.abc.Set[str] = frozenset(),
) -> str | None:
    """Return a learner whose log is almost complete; None if there is none.

    Those that are ``silent`` are left out.
    """
    for peer in membership.peers:
        if peer.voter or peer.member_id in silent | {own_id}:
            continue
        state = states.get(peer.member_id)
        if state is None or state.lag_entries is None:
            continue
        if state.lag_entries <= MAX_PROMOTION_LAG_ENTRIES:
            return peer.member_id
    return None


def remove_member(
    membership: messages.Membership, member_id: str
) -> messages.Membership:
    """Return a copy of a membership without a member."""
    return messages.Membership(
        [peer for peer in membership.peers if peer.member_id != member_id]
    )


def set_vote(
    membership: messages.Membership, member_id: str, votes: bool
) -> messages.Membership:
    """Return a copy of a membership in which a member votes or does not."""
    return messages.Membership(
        [
            messages.Peer(peer.member_id, peer.address, votes)
            if peer.member_id == member_id
            else peer
            for peer in membership.peers
        ]
    )
