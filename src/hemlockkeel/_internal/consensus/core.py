"""The Raft algorithm without I/O, threads or clocks.

Callers pass in the current time and messages; `RaftCore` collects what has to
be done as `Effects`. The driver stores and syncs their hard state and entries
and only then sends their messages and calls `RaftCore.on_persisted`.
"""

import dataclasses
import enum
import random

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import active_members
from hemlockkeel._internal.consensus import log as log_module
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import replication

# Duration of a leader lease as a fraction of the shortest election timeout;
# the rest allows for clock drift between members.
LEASE_FRACTION = 0.8
# Share of a voter's part of the range of election timeouts that it draws from;
# the rest separates it from the next voter's.
ELECTION_PART_SHARE = 0.5
# Heartbeat intervals in which a former leader may answer its successor.
FORMER_LEADER_HEARTBEATS = 2


class State(enum.Enum):
    """Role of a member in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class Timing:
    """Heartbeat interval and bounds of the election timeout, in seconds.

    Each election timeout is drawn at random between the bounds, by each voter
    from another part of the range.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.6
    election_max_s: float = 1.2


@dataclasses.dataclass
class Effects:
    """What the driver has to do, in the order of the fields."""

    # Term and vote to store, if they changed.
    hard_state: messages.HardState | None = None
    # Log entries to store.
    entries: list[messages.Entry] = dataclasses.field(default_factory=list)
    # Snapshot received from the leader, to store and restore from.
    snapshot: tuple[messages.SnapshotMeta, bytes] | None = None
    # Messages to send once everything above is stored.
    outgoing: list[messages.AnyMessage] = dataclasses.field(
        default_factory=list
    )
    # Committed entries to apply to the state machine.
    committed_entries: list[messages.Entry] = dataclasses.field(
        default_factory=list
    )

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to do."""
        return not (
            self.hard_state
            or self.entries
            or self.snapshot
            or self.outgoing
            or self.committed_entries
        )


@dataclasses.dataclass
class PersistentState:
    """State of a member that is recovered from its disk."""

    hard_state: messages.HardState
    log: log_module.Log
    snapshot: tuple[messages.SnapshotMeta, bytes] | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether the member has neither voted nor stored entries."""
        return self.hard_state.term == 0 and self.log.last_index == 0


class RaftCore:
    """Consensus state of one member.

    Times are monotonic and in seconds. Methods that take a message or a
    proposal add to ``effects``, which the driver takes and carries out.
    """

    def __init__(
        self,
        member_id: str,
        saved: PersistentState,
        timing: Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        self.member_id = member_id
        self.timing = timing
        self.rng = rng
        self.term = saved.hard_state.term
        self.voted_for = saved.hard_state.voted_for
        self.log = saved.log
        self.snapshot = saved.snapshot
        self.commit_index = saved.snapshot[0].index if saved.snapshot else 0
        self.persisted_index = self.log.last_index
        self.state = State.FOLLOWER
        self.leader_id = ""
        # Highest commit index that a leader has sent since the start; None
        # before the first.
        self.leader_commit: int | None = None
        # Before a restart, this member may have answered or voted for a
        # leader whose lease still relies on that. It therefore starts as if
        # it had just received a message from a leader.
        self.leader_contact_at = now
        # The leader that sent the last message, and whether its process has
        # ended since.
        self.last_leader_id = ""
        self.last_leader_ended = False
        self.election_deadline = 0.0
        self.votes: set[str] = set()
        self.replicator = replication.Replicator(
            member_id, saved.log, timing.heartbeat_s
        )
        self.next_heartbeat_at = 0.0
        self.term_start_index = 0
        self.leader_since = now
        self.incoming_snapshot: (
            tuple[messages.SnapshotMeta, bytearray] | None
        ) = None
        self.effects = Effects()
        self.members = active_members.ActiveMembers()
        self.load_membership()
        self.reset_election_timeout(now)

    # Membership

    @property
    def membership(self) -> messages.Membership:
        """Return the latest membership, which may not be committed."""
        return self.members.latest

    def load_membership(self) -> None:
        """Adopt the latest membership in the log or snapshot."""
        self.members.load(self.log, self.snapshot, self.commit_index)

    def get_membership_at(self, index: int) -> messages.Membership:
        """Return the latest membership up to an index."""
        _, found = active_members.find_membership(
            self.log, self.snapshot, index
        )
        return found

    @property
    def is_voter(self) -> bool:
        """Return whether this member is a voter."""
        return self.member_id in self.membership.voters

    @property
    def other_peers(self) -> list[str]:
        """Return the ids of the other members."""
        return [
            peer.member_id
            for peer in self.members.peers
            if peer.member_id != self.member_id
        ]

    def has_pending_membership(self) -> bool:
        """Return whether the log has an uncommitted change of the members."""
        return self.members.is_pending

    # Time

    def reset_election_timeout(self, now: float) -> None:
        """Restart the election timeout with a new random duration.

        Each voter has a part of the range of its own, so that two of them
        rarely stand for election at once and split the votes.
        """
        low, high = self.timing.election_min_s, self.timing.election_max_s
        voters = sorted(self.members.voters)
        if self.member_id in voters:
            part_s = (high - low) / len(voters)
            low += voters.index(self.member_id) * part_s
            high = low + part_s * ELECTION_PART_SHARE
        self.election_deadline = now + self.rng.uniform(low, high)

    def tick(self, now: float) -> None:
        """Send due heartbeats as the leader, else start an election if due."""
        if self.state is State.LEADER:
            self.tick_leader(now)
            return
        if now >= self.election_deadline and self.is_voter:
            self.start_pre_vote(now)

    def tick_leader(self, now: float) -> None:
        """Send due heartbeats; step down without contact to a quorum."""
        contact_at = max(self.get_quorum_ack_time(now), self.leader_since)
        if now > contact_at + self.timing.election_max_s:
            self.become_follower(self.term, "", now)
            return
        if now < self.next_heartbeat_at:
            return
        self.next_heartbeat_at = now + self.timing.heartbeat_s
        for peer in self.other_peers:
            self.send_append(peer, now, heartbeat=True)

    def make_heartbeats(self, now: float) -> list[messages.AppendRequest]:
        """Return a heartbeat to each peer if this member is the leader."""
        if self.state is not State.LEADER:
            return []
        leader = replication.LeaderState(
            self.term, self.commit_index, self.snapshot
        )
        return [
            self.replicator.make_append_request(peer, leader, [], now)
            for peer in self.other_peers
        ]

    def acknowledge_busy(
        self, message: messages.AppendRequest, now: float
    ) -> messages.AppendReply | None:
        """Return the reply to the leader while the disk is busy.

        Like any reply it extends the leader's lease, so that this member may
        vote for no other one meanwhile. None for a request that is not of the
        leader which this member follows.
        """
        if (
            message.receiver != self.member_id
            or message.term != self.term
            or message.sender != self.leader_id
            or self.state is not State.FOLLOWER
        ):
            return None
        self.record_leader_contact(message.sender, now)
        return messages.AppendReply(
            term=self.term,
            sender=self.member_id,
            receiver=message.sender,
            success=True,
            index=0,
            sent_at=message.sent_at,
            busy=True,
        )

    def get_quorum_ack_time(self, now: float) -> float:
        """Return the latest send time that a quorum has acknowledged."""
        return self.members.get_reached(
            lambda voter: self.replicator.get_ack_time(voter, now), now
        )

    def has_lease(self, now: float) -> bool:
        """Return whether this member is certainly the only leader now.

        It may then answer reads without asking the other members.
        """
        if self.state is not State.LEADER:
            return False
        if self.commit_index < self.term_start_index:
            return False
        lease_s = self.timing.election_min_s * LEASE_FRACTION
        return now < self.get_quorum_ack_time(now) + lease_s

    def has_caught_up(self, applied_index: int) -> bool:
        """Return whether the state is no older than it was at the start.

        That is, whether the entries up to ``applied_index`` contain all that
        were committed when this member started.
        """
        if self.state is State.LEADER:
            return applied_index >= self.term_start_index
        if self.leader_commit is None:
            return False
        # A leader's commit index says nothing about the entries of earlier
        # terms until it covers one of its own.
        return (
            applied_index >= self.leader_commit
            and self.log.get_term(applied_index) == self.term
        )

    # Elections

    def start_pre_vote(self, now: float) -> None:
        """Ask the voters whether they would vote for this member.

        Without this step, a member that was partitioned would return with a
        higher term and depose a working leader.
        """
        self.state = State.PRE_CANDIDATE
        self.leader_id = ""
        self.votes = {self.member_id}
        self.reset_election_timeout(now)
        if self.members.is_quorum(self.votes):
            self.start_election(now)
            return
        self.send_vote_requests(self.term + 1, pre_vote=True)

    def start_election(self, now: float) -> None:
        """Become a candidate in the next term and ask for votes."""
        self.state = State.CANDIDATE
        self.set_term(self.term + 1, self.member_id)
        self.votes = {self.member_id}
        self.reset_election_timeout(now)
        if self.members.is_quorum(self.votes):
            self.become_leader(now)
            return
        self.send_vote_requests(self.term, pre_vote=False)

    def send_vote_requests(self, term: int, pre_vote: bool) -> None:
        """Send a vote request to every other voter."""
        for voter in sorted(self.members.voters - {self.member_id}):
            self.effects.outgoing.append(
                messages.VoteRequest(
                    term=term,
                    sender=self.member_id,
                    receiver=voter,
                    last_index=self.log.last_index,
                    last_term=self.log.last_term,
                    pre=pre_vote,
                )
            )

    def set_term(self, term: int, voted_for: str) -> None:
        """Change the term and vote, which the driver stores.

        :raises InvariantError: when the term decreases or the vote of a term
            changes.
        """
        exceptions.require(
            term > self.term
            or (term == self.term and self.voted_for in ("", voted_for)),
            "term %d with vote %s cannot follow term %d with vote %s",
            term,
            voted_for,
            self.term,
            self.voted_for,
        )
        self.term = term
        self.voted_for = voted_for
        self.effects.hard_state = messages.HardState(term, voted_for)

    def become_follower(self, term: int, leader_id: str, now: float) -> None:
        """Become a follower; ``leader_id`` is empty if no leader is known."""
        if term > self.term:
            self.set_term(term, "")
        self.state = State.FOLLOWER
        self.leader_id = leader_id
        self.replicator.reset([])
        self.reset_election_timeout(now)

    def become_leader(self, now: float) -> None:
        """Become the leader of the current term.

        Appends a no-op entry, since entries of earlier terms can only be
        committed together with an entry of the current term.
        """
        self.state = State.LEADER
        self.leader_id = self.member_id
        self.term_start_index = self.log.last_index + 1
        self.leader_since = now
        self.replicator.reset(self.other_peers)
        self.expect_former_leader(now)
        self.next_heartbeat_at = now + self.timing.heartbeat_s
        self.append_entry(messages.EntryKind.NOOP, b"")
        self.broadcast(now)

    def expect_former_leader(self, now: float) -> None:
        """Count the silence of the former leader from its last message.

        It is given two heartbeats more to answer this one.
        """
        if self.last_leader_ended:
            self.replicator.record_ended(self.last_leader_id, now)
        answer_s = FORMER_LEADER_HEARTBEATS * self.timing.heartbeat_s
        silent_since = max(
            self.leader_contact_at,
            now + answer_s - self.timing.election_min_s,
        )
        self.replicator.expect_since(self.last_leader_id, silent_since)

    # Proposals

    def propose(
        self, kind: messages.EntryKind, data: bytes, now: float
    ) -> int | None:
        """Append an entry and replicate it; return its index.

        None if this member is not the leader, or if the entry is a membership
        change that is not safe now.
        """
        if self.state is not State.LEADER:
            return None
        if kind is messages.EntryKind.MEMBERSHIP:
            if not self.may_change_membership(data):
                return None
        index = self.append_entry(kind, data)
        self.broadcast(now)
        return index

    def may_change_membership(self, data: bytes) -> bool:
        """Return whether a membership change is safe now.

        The previous change and an entry of the current term have to be
        committed, and at most one voter may be added and one removed. The
        quorums before and after the latter need not have a member in common;
        both are needed (see `active_members`).
        """
        if self.has_pending_membership():
            return False
        if self.commit_index < self.term_start_index:
            return False
        before = set(self.membership.voters)
        after = set(messages.decode_membership(data).voters)
        return (
            bool(after)
            and len(before - after) <= 1
            and len(after - before) <= 1
        )

    def append_entry(self, kind: messages.EntryKind, data: bytes) -> int:
        """Append an entry of the current term to the leader's log."""
        index = self.log.last_index + 1
        entry = messages.Entry(index, self.term, kind, data)
        self.log.append(entry)
        self.effects.entries.append(entry)
        if kind is messages.EntryKind.MEMBERSHIP:
            self.refresh_membership()
        return index

    def refresh_membership(self) -> None:
        """Adopt the latest membership; replicate to its members."""
        self.load_membership()
        self.update_peers()

    def update_peers(self) -> None:
        """Replicate to the active members, if this one leads."""
        if self.state is State.LEADER:
            self.replicator.set_peers(self.other_peers)

    def confirm_membership(self, now: float) -> None:
        """Append a committed change of the voters once more as the leader."""
        if self.members.is_committed and not self.members.is_confirmed:
            data = encode_membership(self.membership)
            self.append_entry(messages.EntryKind.MEMBERSHIP, data)
            self.broadcast(now)

    def on_persisted(self, index: int, now: float) -> None:
        """Handle that the driver has stored the log up to an index."""
        self.persisted_index = min(index, self.log.last_index)
        if self.state is State.LEADER:
            self.advance_commit_index(now)

    # Replication

    def broadcast(self, now: float) -> None:
        """Send new entries to every peer without unanswered entries."""
        for peer in self.other_peers:
            self.send_append(peer, now, heartbeat=False)

    def send_append(self, peer: str, now: float, heartbeat: bool) -> None:
        """Send entries, a snapshot chunk or a heartbeat, if one is due.

        Its reply may have committed the removal of the peer.
        """
        if peer not in self.replicator.progress:
            return
        leader = replication.LeaderState(
            self.term, self.commit_index, self.snapshot
        )
        message = self.replicator.make_append(peer, leader, now, heartbeat)
        if message is not None:
            self.effects.outgoing.append(message)

    def advance_commit_index(self, now: float) -> None:
        """Commit the entries that a quorum has stored.

        The last of them has to be from the current term: another leader could
        still replace an entry of an earlier term.
        """
        index = self.members.get_reached(
            lambda voter: self.replicator.get_match_index(
                voter, self.persisted_index
            ),
            0,
        )
        if index > self.commit_index and self.log.get_term(index) == self.term:
            self.set_commit_index(index)
            self.confirm_membership(now)
            self.step_down_if_removed(now)

    def set_commit_index(self, index: int) -> None:
        """Commit entries up to an index and pass them to the driver."""
        index = min(index, self.log.last_index)
        if index <= self.commit_index:
            return
        start = self.commit_index
        self.commit_index = index
        if self.members.commit(index):
            self.update_peers()
        self.effects.committed_entries.extend(
            self.log.slice(start, index - start)
        )

    def step_down_if_removed(self, now: float) -> None:
        """Step down once the removal of this member is confirmed."""
        if self.is_voter or not self.members.is_confirmed:
            return
        for peer in self.other_peers:
            self.send_append(peer, now, heartbeat=True)
        self.become_follower(self.term, "", now)

    # Messages

    def receive(self, message: messages.AnyMessage, now: float) -> None:
        """Handle a message; ignore it if it is for another member."""
        if message.receiver != self.member_id:
            return
        if isinstance(message, messages.VoteRequest):
            self.handle_vote_request(message, now)
            return
        if isinstance(message, messages.VoteReply):
            self.handle_vote_reply(message, now)
            return
        if message.term > self.term:
            self.become_follower(message.term, "", now)
        match message:
            case messages.AppendRequest():
                self.handle_append(message, now)
            case messages.SnapshotChunk():
                self.handle_snapshot_chunk(message, now)
            case messages.AppendReply():
                self.handle_append_reply(message, now)
            case messages.SnapshotReply():
                self.handle_snapshot_reply(message, now)

    def handle_vote_request(
        self, message: messages.VoteRequest, now: float
    ) -> None:
        """Grant or refuse a vote or pre-vote."""
        if self.has_leader(now) or self.state is State.LEADER:
            # The lease of a working leader forbids a vote or a new term.
            if message.term >= self.term:
                return
        if message.pre:
            granted = message.term > self.term and self.is_up_to_date(message)
            self.reply_vote(message, granted, message.term)
            return
        if message.term > self.term:
            self.become_follower(message.term, "", now)
        granted = (
            message.term == self.term
            and self.voted_for in ("", message.sender)
            and self.is_up_to_date(message)
        )
        if granted:
            self.set_term(self.term, message.sender)
            self.reset_election_timeout(now)
        self.reply_vote(message, granted, self.term)

    def has_leader(self, now: float) -> bool:
        """Return whether a leader's lease may rely on this member."""
        if self.last_leader_ended:
            return False
        return now < self.leader_contact_at + self.timing.election_min_s

    def is_up_to_date(self, message: messages.VoteRequest) -> bool:
        """Return whether a candidate's log is at least as up to date."""
        return (message.last_term, message.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )

    def reply_vote(
        self, message: messages.VoteRequest, granted: bool, term: int
    ) -> None:
        """Reply to a vote request."""
        self.effects.outgoing.append(
            messages.VoteReply(
                term=term if granted else self.term,
                sender=self.member_id,
                receiver=message.sender,
                granted=granted,
                pre=message.pre,
            )
        )

    def handle_vote_reply(
        self, message: messages.VoteReply, now: float
    ) -> None:
        """Count a vote or pre-vote; proceed once a quorum has voted."""
        if message.replaced:
            self.record_lost_member(message.sender, now)
            return
        if not message.granted:
            if message.term > self.term:
                self.become_follower(message.term, "", now)
            return
        if message.sender not in self.members.voters:
            return
        if message.pre:
            if self.state is not State.PRE_CANDIDATE:
                return
            if message.term != self.term + 1:
                return
        elif self.state is not State.CANDIDATE or message.term != self.term:
            return
        self.votes.add(message.sender)
        self.proceed_if_elected(now)

    def proceed_if_elected(self, now: float) -> None:
        """Take the next step of an election once a quorum has voted."""
        if not self.members.is_quorum(self.votes):
            return
        if self.state is State.PRE_CANDIDATE:
            self.start_election(now)
        elif self.state is State.CANDIDATE:
            self.become_leader(now)

    def record_lost_member(self, member_id: str, now: float) -> None:
        """Record that a member's disk is lost, so that it never votes again.

        The process that has taken the member's place at its address says so.
        """
        self.members.record_lost(member_id)
        self.proceed_if_elected(now)

    def record_leader_contact(self, leader_id: str, now: float) -> None:
        """Record a message from the leader of the current term.

        :raises InvariantError: when the term has another leader.
        """
        exceptions.require(
            self.state is not State.LEADER,
            "leader of term %d received a message from leader %s",
            self.term,
            leader_id,
        )
        exceptions.require(
            self.leader_id in ("", leader_id),
            "term %d has two leaders, %s and %s",
            self.term,
            self.leader_id,
            leader_id,
        )
        self.state = State.FOLLOWER
        self.leader_id = leader_id
        self.leader_contact_at = now
        self.last_leader_id = leader_id
        self.last_leader_ended = False
        self.reset_election_timeout(now)

    def record_ended(self, member_id: str, seen_at: float, now: float) -> bool:
        """Record that the process of a member did not run at a time.

        Returns whether this is used and was not known.

        A leader that has ended has no lease. Once the others may know of it,
        the voters stand for election one after the other, so that they do not
        split their votes.
        """
        if self.state is State.LEADER:
            return self.replicator.record_ended(member_id, seen_at)
        if member_id != self.leader_id or seen_at <= self.leader_contact_at:
            return False
        if self.last_leader_ended or not self.is_voter:
            return False
        self.last_leader_ended = True
        others = sorted(self.members.voters - {member_id})
        position = 1 + others.index(self.member_id)
        delay_s = position * self.timing.heartbeat_s
        self.election_deadline = min(self.election_deadline, now + delay_s)
        return True

    def handle_append(
        self, message: messages.AppendRequest, now: float
    ) -> None:
        """Append a leader's entries if they continue the local log."""
        if message.term < self.term:
            self.reply_append(message, False, self.log.last_index)
            return
        self.record_leader_contact(message.sender, now)
        self.leader_commit = max(self.leader_commit or 0, message.commit)
        previous = message.previous_index
        entries = message.entries
        if previous < self.log.base_index:
            # Entries up to the local snapshot are committed already.
            entries = [e for e in entries if e.index > self.log.base_index]
            previous = self.log.base_index
            if message.previous_index + len(message.entries) < previous:
                self.reply_append(message, True, message.previous_index)
                return
        elif self.log.get_term(previous) != message.previous_term:
            hint = min(self.log.last_index, previous - 1)
            self.reply_append(message, False, max(hint, self.commit_index))
            return
        self.append_received(entries)
        match = previous + len(entries)
        self.set_commit_index(min(message.commit, match))
        self.reply_append(message, True, match)

    def append_received(self, entries: list[messages.Entry]) -> None:
        """Append entries from a leader; remove local ones that conflict.

        :raises InvariantError: when a committed entry would change.
        """
        membership_changed = False
        for entry in entries:
            term = self.log.get_term(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                exceptions.require(
                    entry.index > self.commit_index,
                    "a leader's entry conflicts with committed entry %d",
                    entry.index,
                )
                self.log.truncate(entry.index)
                self.discard_unpersisted(entry.index)
                membership_changed = True
            self.log.append(entry)
            self.effects.entries.append(entry)
            if entry.kind is messages.EntryKind.MEMBERSHIP:
                membership_changed = True
        if membership_changed:
            self.refresh_membership()

    def discard_unpersisted(self, index: int) -> None:
        """Drop entries at and after an index that are still to be stored."""
        self.effects.entries = [
            entry for entry in self.effects.entries if entry.index < index
        ]
        self.persisted_index = min(self.persisted_index, index - 1)

    def reply_append(
        self, message: messages.AppendRequest, success: bool, index: int
    ) -> None:
        """Reply to an append request."""
        self.effects.outgoing.append(
            messages.AppendReply(
                term=self.term,
                sender=self.member_id,
                receiver=message.sender,
                success=success,
                index=index,
                sent_at=message.sent_at,
            )
        )

    def record_reply(
        self, message: messages.AppendReply | messages.SnapshotReply
    ) -> replication.Progress | None:
        """Record a reply and return the peer's progress.

        None if the reply is stale or not from a member.
        """
        if self.state is not State.LEADER or message.term < self.term:
            return None
        return self.replicator.record_reply(message)

    def handle_append_reply(
        self, message: messages.AppendReply, now: float
    ) -> None:
        """Update a peer's progress and send it the entries it lacks."""
        if message.busy:
            if self.state is State.LEADER and message.term == self.term:
                self.replicator.record_busy(message)
            return
        progress = self.record_reply(message)
        if progress is None:
            return
        if message.success:
            if message.index > progress.match_index:
                progress.in_flight = False
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = max(
                progress.next_index, progress.match_index + 1
            )
            self.advance_commit_index(now)
        else:
            progress.next_index = max(progress.match_index, message.index) + 1
        if progress.next_index <= self.log.last_index:
            self.send_append(message.sender, now, heartbeat=False)

    def handle_snapshot_chunk(
        self, message: messages.SnapshotChunk, now: float
    ) -> None:
        """Collect the chunks of a snapshot; install it once complete."""
        if message.term < self.term:
            self.reply_snapshot_chunk(message, 0, False)
            return
        self.record_leader_contact(message.sender, now)
        meta = message.meta
        if meta.index <= self.commit_index:
            self.reply_snapshot_chunk(message, message.total, True)
            return
        if self.incoming_snapshot is None or self.incoming_snapshot[0] != meta:
            self.incoming_snapshot = (meta, bytearray())
        buffer = self.incoming_snapshot[1]
        if message.offset == len(buffer):
            buffer += message.data
        if len(buffer) < message.total:
            self.reply_snapshot_chunk(message, len(buffer), False)
            return
        self.install_snapshot(meta, bytes(buffer))
        self.reply_snapshot_chunk(message, message.total, True)

    def install_snapshot(
        self, meta: messages.SnapshotMeta, data: bytes
    ) -> None:
        """Replace the state by a snapshot; keep log entries that follow it.

        :raises InvariantError: when the snapshot is older than the state.
        """
        exceptions.require(
            meta.index > self.commit_index,
            "snapshot at %d is not after committed entry %d",
            meta.index,
            self.commit_index,
        )
        self.incoming_snapshot = None
        self.snapshot = (meta, data)
        if self.log.get_term(meta.index) == meta.term:
            self.log.compact(meta.index)
        else:
            self.log.reset(meta.index, meta.term)
        self.effects.entries = [
            entry
            for entry in self.effects.entries
            if meta.index < entry.index <= self.log.last_index
        ]
        self.effects.committed_entries = []
        self.commit_index = meta.index
        self.persisted_index = max(self.persisted_index, meta.index)
        self.persisted_index = min(self.persisted_index, self.log.last_index)
        self.effects.snapshot = (meta, data)
        self.load_membership()

    def reply_snapshot_chunk(
        self, message: messages.SnapshotChunk, offset: int, done: bool
    ) -> None:
        """Reply to a snapshot chunk."""
        self.effects.outgoing.append(
            messages.SnapshotReply(
                term=self.term,
                sender=self.member_id,
                receiver=message.sender,
                index=message.meta.index,
                offset=offset,
                done=done,
                sent_at=message.sent_at,
            )
        )

    def handle_snapshot_reply(
        self, message: messages.SnapshotReply, now: float
    ) -> None:
        """Send the next chunk or, after the last, the entries that follow."""
        progress = self.record_reply(message)
        if progress is None:
            return
        self.replicator.record_snapshot_reply(progress, message)
        self.send_append(message.sender, now, heartbeat=False)

    # Calls of the driver

    def resume(self, applied_index: int) -> None:
        """Continue in a process that has applied entries up to an index.

        They are committed, and are not to be applied again.

        :raises InvariantError: when the log does not hold them.
        """
        exceptions.require(
            applied_index <= self.log.last_index,
            "the log ends at %d, but entry %d is applied",
            self.log.last_index,
            applied_index,
        )
        self.commit_index = max(self.commit_index, applied_index)
        self.members.commit(self.commit_index)

    def compact(self, index: int, data: bytes, trailing_entries: int) -> None:
        """Use a snapshot of the state at an applied index; drop old entries.

        The last ``trailing_entries`` before the index are kept, so that
        members that lag slightly need no snapshot.

        :raises InvariantError: when the index is not committed.
        """
        exceptions.require(
            index <= self.commit_index,
            "snapshot at %d is after committed entry %d",
            index,
            self.commit_index,
        )
        term = self.log.get_term(index)
        assert term is not None
        membership = self.get_membership_at(index)
        meta = messages.SnapshotMeta(index, term, membership)
        self.snapshot = (meta, data)
        self.log.compact(max(index - trailing_entries, self.log.base_index))
        self.load_membership()

    def take_effects(self) -> Effects:
        """Return and clear the effects collected since the last call."""
        effects, self.effects = self.effects, Effects()
        return effects


def encode_membership(membership: messages.Membership) -> bytes:
    """Return a membership encoded as the data of a log entry."""
    return msgspec.msgpack.encode(membership)
