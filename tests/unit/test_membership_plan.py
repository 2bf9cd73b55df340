"""Decisions on changes of the control members."""

import itertools
import unittest

from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.coordinator import membership

NOW = 100.0
POLICY = membership.VotePolicy(least_voters=3, silent_after_s=2.5)


def make_peer(name: str, voter: bool = True) -> messages.Peer:
    """Return a member at the address ``name:1``."""
    return messages.Peer(name, f"{name}:1", voter)


def make_members(*peers: messages.Peer) -> messages.Membership:
    """Return a membership of the given members."""
    return messages.Membership(list(peers))


class TestPlan(unittest.TestCase):
    """Planned changes, seen by member a as the leader."""

    def plan(
        self,
        members: messages.Membership,
        unresponsive: tuple[str, ...] = (),
        joins: tuple[tuple[str, str], ...] = (),
        lags: dict[str, int | None] | None = None,
        leader_since: float = 0.0,
        lost: frozenset[str] = frozenset(),
    ) -> messages.Membership | None:
        """Return the next membership, or None for no change.

        ``joins`` are the ids and addresses of processes that ask to join,
        ``lags`` the log entries that members lack, 0 by default.
        """
        states = {
            peer.member_id: membership.PeerState(
                leader_since if peer.member_id in unresponsive else NOW,
                (lags or {}).get(peer.member_id, 0),
            )
            for peer in members.peers
        }
        return membership.plan_change(
            membership.LeaderView(
                members,
                "a",
                states,
                [membership.JoinRequest(name, at, NOW) for name, at in joins],
                NOW,
                lost,
            ),
            POLICY,
        )

    def test_member_whose_disk_is_lost_is_removed_first(self) -> None:
        members = make_members(*map(make_peer, "abcd"))
        planned = self.plan(members, ("b", "c"), lost=frozenset("c"))
        assert planned is not None
        self.assertEqual(planned.voters, ["a", "b", "d"])
        alone = make_members(make_peer("c"))
        self.assertIsNone(self.plan(alone, lost=frozenset("c")))

    def test_healthy_members_stay(self) -> None:
        members = make_members(*map(make_peer, "abc"))
        self.assertIsNone(self.plan(members))

    def test_unresponsive_voter_of_three_stays_until_replaced(self) -> None:
        members = make_members(*map(make_peer, "abc"))
        self.assertIsNone(self.plan(members, unresponsive=("c",)))

    def test_new_member_becomes_a_learner_then_a_voter(self) -> None:
        """There are never four voters of which one is down."""
        members = make_members(*map(make_peer, "abc"))
        planned = self.plan(members, ("c",), (("d", "d:1"),))
        assert planned is not None
        self.assertEqual(planned.peers[-1], make_peer("d", voter=False))
        planned = self.plan(planned, ("c",), lags={"d": 3})
        assert planned is not None
        self.assertEqual(planned.voters, ["a", "b", "d"])
        planned = self.plan(planned, ("c",))
        assert planned is not None
        self.assertEqual(planned, make_members(*map(make_peer, "abd")))

    def test_learner_that_lags_is_not_promoted(self) -> None:
        members = make_members(
            *map(make_peer, "abc"), make_peer("d", voter=False)
        )
        self.assertIsNone(self.plan(members, lags={"d": 1000}))
        self.assertIsNone(self.plan(members, lags={"d": None}))

    def test_new_id_at_a_known_address_replaces_the_old_one(self) -> None:
        """A member with a lost disk restarts with a new id."""
        members = make_members(*map(make_peer, "abc"))
        planned = self.plan(members, joins=(("new", "c:1"),))
        assert planned is not None
        self.assertEqual(planned.voters, ["a", "b"])
        planned = self.plan(planned, joins=(("new", "c:1"),))
        assert planned is not None
        self.assertEqual(
            planned.get("new"), messages.Peer("new", "c:1", False)
        )

    def test_second_lost_disk_at_an_address_removes_only_the_first(
        self,
    ) -> None:
        """The request of the process before is still known."""
        requests = [
            membership.JoinRequest("first", "c:1", NOW - 1.0),
            membership.JoinRequest("second", "c:1", NOW),
        ]
        second = messages.Peer("second", "c:1", True)
        for last in (messages.Peer("first", "c:1", True), second):
            members = make_members(*map(make_peer, "ab"), last)
            for joins in (requests, requests[::-1]):
                states = {
                    peer.member_id: membership.PeerState(NOW, 0)
                    for peer in members.peers
                }
                planned = membership.plan_change(
                    membership.LeaderView(members, "a", states, joins, NOW),
                    POLICY,
                )
                removed = planned is not None and last not in planned.peers
                self.assertEqual(removed, last is not second)

    def test_only_unresponsive_voter_of_four_is_removed(self) -> None:
        members = make_members(*map(make_peer, "abcd"))
        self.assertIsNone(self.plan(members))
        planned = self.plan(members, unresponsive=("b",))
        assert planned is not None
        self.assertEqual(planned.voters, ["a", "c", "d"])

    def test_new_leader_gives_members_time_to_answer(self) -> None:
        members = make_members(*map(make_peer, "abcd"))
        self.assertIsNone(
            self.plan(members, unresponsive=("b",), leader_since=NOW - 1.0)
        )

    def test_leader_that_was_paused_removes_no_healthy_member(self) -> None:
        """All answers are old when a suspended machine resumes."""
        learner = make_peer("e", voter=False)
        members = make_members(*map(make_peer, "abcd"), learner)
        lags: dict[str, int | None] = {"e": 1000}
        self.assertIsNone(self.plan(members, tuple("bcde"), lags=lags))
        planned = self.plan(members, ("b",), lags=lags)
        assert planned is not None
        self.assertEqual(planned.voters, ["a", "c", "d"])

    def test_expired_join_request_is_ignored(self) -> None:
        members = make_members(*map(make_peer, "abc"))
        join = membership.JoinRequest("d", "d:1", NOW - 10.0)
        states = {
            peer.member_id: membership.PeerState(NOW, 0)
            for peer in members.peers
        }
        view = membership.LeaderView(members, "a", states, [join], NOW)
        self.assertIsNone(membership.plan_change(view, POLICY))


class TestVotes(unittest.TestCase):
    """Votes of members that are silent for a short time."""

    SILENT_S = 0.6
    policy = membership.VotePolicy(3, SILENT_S)

    def plan(
        self,
        members: messages.Membership,
        silent: dict[str, float | None],
        ended: str = "",
        policy: membership.VotePolicy = policy,
    ) -> messages.Membership | None:
        """Return the next membership if a leads.

        ``silent`` are the seconds for which members have not answered, None
        for those that were not asked; those of ``ended`` have ended.
        """
        states = {}
        for peer in members.peers:
            silent_s = silent.get(peer.member_id, 0.0)
            states[peer.member_id] = membership.PeerState(
                None if silent_s is None else NOW - silent_s,
                0,
                peer.member_id in ended,
            )
        view = membership.LeaderView(members, "a", states, [], NOW)
        return membership.plan_change(view, policy)

    def test_silent_voter_loses_its_vote_but_stays(self) -> None:
        members = make_members(*map(make_peer, "abcd"))
        self.assertIsNone(self.plan(members, {"c": self.SILENT_S - 0.1}))
        planned = self.plan(members, {"c": self.SILENT_S + 0.1})
        assert planned is not None
        self.assertEqual(planned.voters, ["a", "b", "d"])
        self.assertIsNotNone(planned.get("c"))
        # It votes again once it answers.
        self.assertIsNone(self.plan(planned, {"c": self.SILENT_S + 0.2}))
        self.assertEqual(self.plan(planned, {}), members)

    def test_silent_voter_that_is_not_spare_keeps_its_vote(self) -> None:
        members = make_members(*map(make_peer, "abc"))
        self.assertIsNone(self.plan(members, {"c": 60.0}))
        self.assertIsNone(self.plan(members, {"c": 60.0}, "c"))
        five = make_members(*map(make_peer, "abcde"))
        policy = membership.VotePolicy(5, self.SILENT_S)
        self.assertIsNone(self.plan(five, {"c": 60.0}, policy=policy))
        self.assertIsNotNone(self.plan(five, {"c": 60.0}))

    def test_ended_voter_loses_its_vote_at_once(self) -> None:
        members = make_members(*map(make_peer, "abcd"))
        planned = self.plan(members, {}, "c")
        assert planned is not None
        self.assertEqual(planned.voters, ["a", "b", "d"])
        self.assertIsNone(self.plan(planned, {}, "c"))

    def test_learner_takes_the_vote_of_a_silent_voter(self) -> None:
        """One more voter would raise what a quorum needs."""
        members = make_members(
            *map(make_peer, "abc"), make_peer("d", voter=False)
        )
        planned = self.plan(members, {"b": self.SILENT_S + 0.1})
        assert planned is not None
        self.assertEqual(planned.voters, ["a", "c", "d"])
        planned = self.plan(members, {})
        assert planned is not None
        self.assertEqual(planned.voters, ["a", "b", "c", "d"])

    def test_silent_learner_takes_no_vote(self) -> None:
        members = make_members(
            *map(make_peer, "abc"), make_peer("d", voter=False)
        )
        self.assertIsNone(self.plan(members, {"d": self.SILENT_S + 0.1}))

    def test_leader_without_a_quorum_takes_no_vote(self) -> None:
        members = make_members(*map(make_peer, "abcd"))
        silent: dict[str, float | None] = {"c": 60.0, "d": 60.0}
        self.assertIsNone(self.plan(members, silent))

    def test_learner_that_was_not_asked_yet_stays(self) -> None:
        members = make_members(
            *map(make_peer, "abc"), make_peer("d", voter=False)
        )
        policy = membership.VotePolicy(3, self.SILENT_S)
        states = {name: membership.PeerState(NOW, 0) for name in "abc"} | {
            "d": membership.PeerState(None, None)
        }
        view = membership.LeaderView(members, "a", states, [], NOW)
        self.assertIsNone(membership.plan_change(view, policy))


class TestLeaving(unittest.TestCase):
    """Members that end on a signal."""

    def test_only_a_spare_voter_leaves(self) -> None:
        """An odd number of voters said that none was spare."""
        for least, count in itertools.product((1, 3, 5), range(1, 8)):
            members = make_members(*map(make_peer, "abcdefg"[:count]))
            planned = membership.plan_leaving(
                members, "a", membership.VotePolicy(least, 2.5)
            )
            left = planned.voters if planned else members.voters
            self.assertEqual(len(left), count - 1 if count > least else count)

    def test_successor_that_does_not_vote_yet_takes_no_place(self) -> None:
        learner = make_peer("d", voter=False)
        members = make_members(*map(make_peer, "abc"), learner)
        for name in ("a", "d", "gone"):
            planned = membership.plan_leaving(members, name, POLICY)
            self.assertIsNone(planned)
