"""Pure functions that decide changes of the cluster membership.

A member that has lost its disk restarts with a new id. It is added as a
learner, becomes a voter once its log has caught up, and the unresponsive
member that it replaces is removed.
"""

import collections.abc
import dataclasses

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages

# A member that has not answered for this long may be removed. Longer than a
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

    def has_spare_voter(self, membership: messages.Membership) -> bool:
        """Return whether a voter that is down should be removed.

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


def get_peer_states(raft: core.RaftCore) -> dict[str, PeerState]:
    """Return the states of a leader's peers by member id."""
    return {
        member_id: PeerState(
            progress.silent_since,
            raft.log.last_index - progress.match_index
            if progress.match_index
            else None,
        )
        for member_id, progress in raft.replicator.progress.items()
    }


def plan_change(
    view: LeaderView, policy: VotePolicy
) -> messages.Membership | None:
    """Return the next membership, or None if no change is needed.

    It differs from the current one in a single member, as Raft requires.
    """
    members = view.members
    recent = find_recent(view.joins, view.now)
    replaced = find_lost(members, view.lost) or find_replaced(
        members, view.own_id, recent
    )
    if replaced is not None:
        return remove_member(members, replaced)
    unresponsive = find_unresponsive(view, policy)
    if unresponsive is not None:
        return remove_member(members, unresponsive)
    learner = find_caught_up_learner(members, view.own_id, view.states)
    if learner is not None:
        return promote_learner(members, learner)
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


def find_unresponsive(view: LeaderView, policy: VotePolicy) -> str | None:
    """Return a silent member that can be removed; None if there is none.

    A leader that no quorum has answered lately knows nothing of the others:
    it may have been paused itself.
    """
    silent = view.find_silent(UNRESPONSIVE_AFTER_S)
    members = view.members
    if len(set(members.voters) - silent) < members.quorum:
        return None
    for peer in members.peers:
        if peer.member_id == view.own_id or peer.member_id not in silent:
            continue
        if not peer.voter or policy.has_spare_voter(members):
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
) -> str | None:
    """Return a learner whose log is almost complete; None if there is none."""
    for peer in membership.peers:
        if peer.voter or peer.member_id == own_id:
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


def promote_learner(
    membership: messages.Membership, member_id: str
) -> messages.Membership:
    """Return a copy of a membership in which a learner is a voter."""
    return messages.Membership(
        [
            messages.Peer(peer.member_id, peer.address, True)
            if peer.member_id == member_id
            else peer
            for peer in membership.peers
        ]
    )
