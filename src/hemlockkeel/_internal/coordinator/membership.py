"""Decides changes of the control members; pure.

A member whose disk is lost comes back under another id. It joins as a
learner, gets a vote once it has caught up, and the silent one is removed.
"""

import dataclasses

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages

# Silence after which a voter may be removed in favour of another. Longer
# than a restart or an election, shorter than a repair by hand.
UNRESPONSIVE_AFTER_S = 2.5
# Age after which a request to join has lapsed; it is repeated each second.
JOIN_REQUEST_EXPIRY_S = 2.5
# Log entries that a learner may lack to get its vote.
MAX_PROMOTION_LAG_ENTRIES = 50


@dataclasses.dataclass(frozen=True)
class JoinRequest:
    """A process that wants to be a member."""

    member_id: str
    address: str
    received_at: float


@dataclasses.dataclass(frozen=True)
class PeerState:
    """What the leader knows of a peer."""

    # When it last answered, seconds.
    last_ack_at: float
    # Log entries that it lacks; None when it never answered.
    lag_entries: int | None


def get_peer_states(raft: core.RaftCore) -> dict[str, PeerState]:
    """Return what a leader knows of its peers."""
    return {
        member_id: PeerState(
            progress.acked_sent_at,
            raft.log.last_index - progress.match_index
            if progress.match_index
            else None,
        )
        for member_id, progress in raft.replicator.progress.items()
    }


def plan_change(
    membership: messages.Membership,
    own_id: str,
    states: dict[str, PeerState],
    joins: list[JoinRequest],
    leader_since: float,
    now: float,
) -> messages.Membership | None:
    """Return the next membership, one member apart; None for no change."""
    fresh = [j for j in joins if now - j.received_at <= JOIN_REQUEST_EXPIRY_S]
    replaced = find_replaced(membership, own_id, fresh)
    if replaced is not None:
        return remove_member(membership, replaced)
    silent = find_unresponsive(membership, own_id, states, leader_since, now)
    if silent is not None:
        return remove_member(membership, silent)
    learner = find_caught_up_learner(membership, own_id, states)
    if learner is not None:
        return promote_learner(membership, learner)
    for join in fresh:
        if membership.get(join.member_id) is None:
            peer = messages.Peer(join.member_id, join.address, False)
            return messages.Membership([*membership.peers, peer])
    return None


def find_replaced(
    membership: messages.Membership, own_id: str, joins: list[JoinRequest]
) -> str | None:
    """Return a member at whose address another process now lives."""
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
    """Tell whether a voter can be removed at all."""
    return len(membership.voters) > 1


def find_unresponsive(
    membership: messages.Membership,
    own_id: str,
    states: dict[str, PeerState],
    leader_since: float,
    now: float,
) -> str | None:
    """Return a silent member that is not needed.

    A voter is removed from an even number only: the quorum then stays as
    large as before or gets smaller, and a replacement is there already.
    """
    voters = membership.voters
    for peer in membership.peers:
        if peer.member_id == own_id:
            continue
        state = states.get(peer.member_id)
        last_ack_at = state.last_ack_at if state else float("-inf")
        if now - max(last_ack_at, leader_since) <= UNRESPONSIVE_AFTER_S:
            continue
        if not peer.voter or (len(voters) > 2 and len(voters) % 2 == 0):
            return peer.member_id
    return None


def find_caught_up_learner(
    membership: messages.Membership,
    own_id: str,
    states: dict[str, PeerState],
) -> str | None:
    """Return a learner whose log is nearly as long as the leader's."""
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
    """Return a membership less one member."""
    return messages.Membership(
        [peer for peer in membership.peers if peer.member_id != member_id]
    )


def promote_learner(
    membership: messages.Membership, member_id: str
) -> messages.Membership:
    """Return a membership in which a learner votes."""
    return messages.Membership(
        [
            messages.Peer(peer.member_id, peer.address, True)
            if peer.member_id == member_id
            else peer
            for peer in membership.peers
        ]
    )
