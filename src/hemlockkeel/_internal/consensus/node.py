"""Runs the consensus of one member in a thread, with storage and transport."""

import abc
import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import pathlib
import queue
import random
import threading

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import inputs
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import storage
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics

TICK_INTERVAL_S = 0.02
# Inputs that are handled together, so that they share one sync.
MAX_BATCH_INPUTS = 512
MAX_BATCH_BYTES = 8 * 1024 * 1024
# Data of messages and proposals that wait for the consensus thread.
MAX_QUEUED_BYTES = 32 * 1024 * 1024
# Entries that the leader keeps while a majority has not stored them.
MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024
# A snapshot is written when the log has more than this many bytes, or this
# many entries besides the trailing ones.
SNAPSHOT_AFTER_LOG_BYTES = 8 * 1024 * 1024
SNAPSHOT_AFTER_ENTRIES = 5_000
# Entries kept in the log before a snapshot for members that lag slightly.
TRAILING_ENTRIES = 500
TRAILING_BYTES = SNAPSHOT_AFTER_LOG_BYTES // 2
# Time for which a member whose disk is busy keeps in contact with the others.
# One whose disk has stopped gives way after it.
MAX_BUSY_S = 1.0
# Interval at which a member whose disk has failed tries it again.
DISK_RETRY_INTERVAL_S = 0.5
# A snapshot because of the bytes of the log has to drop at least as many, and
# this share of them, as it rewrites the rest: a log that holds much that is
# not committed would be rewritten again and again.
MIN_DROPPED_BYTES = SNAPSHOT_AFTER_LOG_BYTES // 4
MIN_DROPPED_SHARE = 1 / 3


class Applier(abc.ABC):
    """The state machine that committed entries are applied to."""

    @abc.abstractmethod
    def apply(self, index: int, data: bytes) -> object:
        """Apply a command and return its result."""

    @abc.abstractmethod
    def apply_membership(
        self, index: int, membership: messages.Membership
    ) -> None:
        """Store a membership that was committed."""

    @abc.abstractmethod
    def encode(self) -> bytes:
        """Return the encoded state for a snapshot."""

    @abc.abstractmethod
    def restore(self, data: bytes, meta: messages.SnapshotMeta) -> None:
        """Replace the state by the one encoded in a snapshot."""


class Sender(abc.ABC):
    """Sends messages to other members without blocking."""

    @abc.abstractmethod
    def send(self, address: str, batch: list[messages.AnyMessage]) -> None:
        """Send messages to the member at an address, or drop them."""


class NotLeaderError(Exception):
    """This member is not the leader.

    ``leader`` is the address of the leader; empty if unknown.
    """

    def __init__(self, leader: str) -> None:
        super().__init__(leader)
        self.leader = leader


@dataclasses.dataclass
class Applied:
    """Result of a proposal that was committed and applied."""

    index: int
    # What `Applier.apply` returned; None for other entries than commands.
    outcome: object


@dataclasses.dataclass
class Proposal:
    """A proposed entry, whose caller waits for the future."""

    kind: messages.EntryKind
    data: bytes
    future: concurrent.futures.Future[Applied]


@dataclasses.dataclass
class ReceivedMessage:
    """A message from another member and the address of that member."""

    message: messages.AnyMessage
    address: str


@dataclasses.dataclass(frozen=True)
class EndedProcess:
    """No process listened at the address of a member at a time.

    ``seen_at`` is monotonic, in seconds.
    """

    address: str
    seen_at: float


Input = Proposal | ReceivedMessage | EndedProcess | None


@dataclasses.dataclass(frozen=True)
class InitialCluster:
    """A new cluster whose voters are configured in advance.

    All of them derive the same ids, so each can start on its own.
    ``member_id`` is the id of this member.
    """

    member_id: str
    cluster_id: str
    peers: tuple[messages.Peer, ...]


class Node:
    """Runs the Raft core of one control member.

    The core's effects are carried out in the thread started by `start`. Other
    threads propose entries and pass in messages through a queue.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        address: str,
        applier: Applier,
        sender: Sender,
        timing: core.Timing,
        counters: metrics.Metrics,
        time_source: clock.Clock,
        bootstrap: bool = False,
        seed: int | None = None,
        initial_cluster: InitialCluster | None = None,
        log_event: collections.abc.Callable[..., None] = logs.log_event,
    ) -> None:
        self.address = address
        self.log_event = log_event
        self.applier = applier
        self.sender = sender
        self.counters = counters
        self.clock = time_source
        self.inputs: inputs.InputQueue[Input] = inputs.InputQueue(
            MAX_QUEUED_BYTES
        )
        # Bytes that may be proposed before more entries are committed.
        self.proposable_bytes = MAX_UNCOMMITTED_BYTES
        self.pending: dict[int, tuple[int, Proposal]] = {}
        self.sender_addresses: dict[str, str] = {}
        self.lock = threading.Lock()
        # Since when the consensus thread waits for the disk; None if it does
        # not.
        self.busy_since: float | None = None
        self.stopping = threading.Event()
        # Why this member takes no part; None while it does.
        self.failed: exceptions.StorageError | None = None
        # Whether the thread has ended because of an error that is not one of
        # the disk, so that the process has to be started again.
        self.has_crashed = False
        self.applied_index = 0
        founder = (
            storage.Identity(
                initial_cluster.member_id, initial_cluster.cluster_id
            )
            if initial_cluster is not None
            else None
        )
        self.storage, self.identity, saved = storage.open_when_writable(
            folder, founder, DISK_RETRY_INTERVAL_S
        )
        if self.storage.replaced_log:
            self.log_event(
                "control_log_replaced",
                index=saved.log.base_index,
                entries=len(saved.log.entries),
            )
        self.timing = timing
        self.rng = random.Random(seed)
        self.core = self.make_core(saved)
        self.hard_state = saved.hard_state
        if saved.snapshot is not None:
            self.restore(*saved.snapshot)
        # A founder may have ended after storing its identity only.
        if (
            initial_cluster is not None
            and self.identity == founder
            and saved.is_empty
        ):
            self.write_initial_membership(list(initial_cluster.peers))
        elif bootstrap and not self.core.membership.peers:
            self.bootstrap()
        self.last_state = self.core.state
        self.thread = threading.Thread(
            target=self.run, name="consensus", daemon=True
        )

    def make_core(self, saved: core.PersistentState) -> core.RaftCore:
        """Return the core of this member with what its disk holds."""
        return core.RaftCore(
            self.identity.member_id,
            saved,
            self.timing,
            self.rng,
            self.clock.monotonic(),
        )

    @property
    def member_id(self) -> str:
        """Return the id of this member."""
        return self.identity.member_id

    @property
    def membership(self) -> messages.Membership:
        """Return the latest membership in the log, committed or not."""
        return self.core.membership

    @property
    def cluster_id(self) -> str:
        """Return the id of this member's cluster; empty if it has none yet."""
        return self.identity.cluster_id

    def bootstrap(self) -> None:
        """Create a new cluster with this member as its only voter."""
        self.join_cluster("cluster-" + self.member_id)
        self.write_initial_membership(
            [messages.Peer(self.member_id, self.address)]
        )

    def write_initial_membership(self, peers: list[messages.Peer]) -> None:
        """Store the first log entry, which contains the initial voters."""
        data = core.encode_membership(messages.Membership(peers))
        entry = messages.Entry(1, 1, messages.EntryKind.MEMBERSHIP, data)
        self.hard_state = messages.HardState(1, "")
        self.storage.append(self.hard_state, [entry])
        self.core.term = 1
        self.core.log.append(entry)
        self.core.persisted_index = 1
        self.core.refresh_membership()

    def join_cluster(self, cluster_id: str) -> None:
        """Store the id of the cluster that this member belongs to.

        :raises StorageError: when the disk does not accept it; nothing has
            changed then.
        """
        if self.identity.cluster_id == cluster_id:
            return
        identity = storage.Identity(self.member_id, cluster_id)
        self.storage.save_identity(identity)
        self.identity = identity

    def start(self) -> None:
        """Start the member's thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the member's thread and close its files."""
        self.stopping.set()
        self.inputs.put(None)
        if self.thread.is_alive():
            self.thread.join(5.0)
        self.storage.close()

    # Methods for other threads

    def propose(
        self,
        data: bytes,
        kind: messages.EntryKind = messages.EntryKind.COMMAND,
    ) -> concurrent.futures.Future[Applied]:
        """Propose an entry; the future completes when it is applied.

        The future raises `NotLeaderError` when the entry was not appended to
        the log or was replaced by another leader's entry, and
        `ControlUnavailableError` when it may still be committed later. Too
        many bytes that wait or are not committed count as no leader.
        """
        future: concurrent.futures.Future[Applied] = (
            concurrent.futures.Future()
        )
        if not self.inputs.put(Proposal(kind, data, future), len(data)):
            self.counters.count(metrics.Counter.PROPOSALS_REFUSED)
            self.fail_future(future, NotLeaderError(""))
        if self.failed is not None or self.stopping.is_set():
            self.fail_future(future, NotLeaderError(""))
        return future

    def receive(self, message: messages.AnyMessage, address: str) -> None:
        """Queue a message from the member at an address.

        It is dropped if too many bytes wait already; the sender repeats it.
        """
        self.acknowledge_busy(message)
        size = messages.count_data_bytes(message)
        if not self.inputs.put(ReceivedMessage(message, address), size):
            self.counters.count(metrics.Counter.RAFT_MESSAGES_DROPPED)

    def report_ended(self, address: str, seen_at: float) -> None:
        """Queue that no process listened at a member's address at a time."""
        self.inputs.put(EndedProcess(address, seen_at))

    def acknowledge_busy(self, message: messages.AnyMessage) -> None:
        """Reply to the leader if its message has to wait for the disk."""
        if not isinstance(message, messages.AppendRequest):
            return
        if not self.is_busy():
            return
        with self.lock:
            reply = self.core.acknowledge_busy(message, self.clock.monotonic())
        if reply is not None:
            self.send([reply])

    def is_busy(self) -> bool:
        """Return whether the disk takes longer than heartbeats can wait.

        A disk that takes too long counts as stopped.
        """
        since = self.busy_since
        if since is None:
            return False
        busy_s = self.clock.monotonic() - since
        return self.core.timing.heartbeat_s <= busy_s <= MAX_BUSY_S

    def has_lease(self) -> bool:
        """Return whether reads of the local state are linearizable now.

        This member is certainly the only leader then, and has applied all
        entries of earlier terms. Those of its own term are acknowledged once
        they are applied.
        """
        if self.failed is not None:
            return False
        with self.lock:
            return (
                self.applied_index >= self.core.term_start_index
                and self.core.has_lease(self.clock.monotonic())
            )

    def has_caught_up(self) -> bool:
        """Return whether all that was committed at the start is applied."""
        with self.lock:
            return self.core.has_caught_up(self.applied_index)

    def get_leader_silence_s(self) -> float:
        """Return the time since the last message from a leader, in seconds.

        Before the first, it counts from the start of this member. It is 0 at
        the leader.
        """
        with self.lock:
            if self.core.state is core.State.LEADER:
                return 0.0
            return self.clock.monotonic() - self.core.leader_contact_at

    def has_quorum_contact(self, max_age_s: float) -> bool:
        """Return whether this member has been in contact with a quorum.

        This requires, within the last ``max_age_s`` seconds, that a leader has
        sent messages that a quorum answered, and that any other member has
        received a message from the leader.
        """
        if self.failed is not None:
            return False
        now = self.clock.monotonic()
        with self.lock:
            if self.core.state is core.State.LEADER:
                return now - self.core.get_quorum_ack_time(now) <= max_age_s
            if not self.core.leader_id:
                return False
            return now - self.core.leader_contact_at <= max_age_s

    def count_unapplied(self) -> int:
        """Return the number of known committed entries not applied yet."""
        with self.lock:
            return self.core.commit_index - self.applied_index

    def get_leader_address(self) -> str:
        """Return the address of the leader; empty if unknown."""
        with self.lock:
            peer = self.core.membership.get(self.core.leader_id)
        return peer.address if peer else ""

    def keep_contact(self) -> None:
        """Send the leader's heartbeats while its disk is busy.

        To be called once in a heartbeat interval. The consensus thread can't
        do it, so that other members would elect another leader, whose disk is
        as busy.
        """
        if not self.is_busy():
            return
        with self.lock:
            heartbeats = self.core.make_heartbeats(self.clock.monotonic())
        self.send(list(heartbeats))

    # Methods of the consensus thread

    @contextlib.contextmanager
    def disk_operation(self) -> collections.abc.Iterator[None]:
        """Mark the time in which the disk keeps the consensus thread."""
        self.busy_since = self.clock.monotonic()
        try:
            yield
        finally:
            self.busy_since = None

    def run(self) -> None:
        """Handle inputs until stopped, or until an unexpected error occurs.

        After an error of the disk, it goes on once the disk works again.
        """
        try:
            while not self.stopping.is_set():
                self.run_until_disk_fails()
                self.recover()
        except exceptions.InvariantError as error:
            self.fail(error, "control_invariant_violated")
            self.has_crashed = True
        except Exception as error:
            self.fail(
                exceptions.StorageError(
                    f"consensus failed: {type(error).__name__}: {error}"
                ),
                "control_consensus_failed",
            )
            self.has_crashed = True
        finally:
            self.fail_pending()

    def run_until_disk_fails(self) -> None:
        """Handle inputs until stopped or until an error of the disk."""
        try:
            while not self.stopping.is_set():
                self.step(self.collect_inputs())
        except exceptions.StorageError as error:
            self.fail(error, "control_disk_failed")

    def fail(self, error: exceptions.HemlockkeelError, event: str) -> None:
        """Take no part any more, and refuse what has been proposed.

        What this member has in memory may differ from what it has stored.
        """
        self.failed = exceptions.StorageError(str(error))
        logs.log_error(event, reason=error)
        self.log_event(event, reason=str(error))
        self.fail_pending()

    def recover(self) -> None:
        """Wait until the disk works, and continue with what it holds."""
        while not self.stopping.wait(DISK_RETRY_INTERVAL_S):
            try:
                self.reload()
            except exceptions.StorageError as error:
                self.log_event("control_disk_still_fails", reason=str(error))
                continue
            self.log_event(
                "control_disk_recovered",
                term=self.core.term,
                applied=self.applied_index,
                last=self.core.log.last_index,
            )
            return

    def reload(self) -> None:
        """Replace the core by one with what the disk holds.

        Entries that have been applied are committed, whatever happened to
        the disk since, and stay applied.

        :raises StorageError: when the disk fails.
        """
        saved = self.storage.reload()
        if saved.snapshot is not None:
            if saved.snapshot[0].index > self.applied_index:
                self.restore(*saved.snapshot)
        # Messages that arrived meanwhile are lost, as if the member had been
        # down.
        self.fail_pending()
        with self.lock:
            self.core = self.make_core(saved)
            self.core.resume(self.applied_index)
            self.hard_state = saved.hard_state
            self.last_state = self.core.state
            self.failed = None

    def collect_inputs(self) -> list[Input]:
        """Wait for an input; return it and others in the queue.

        Empty after a tick interval without inputs.
        """
        try:
            item, total = self.inputs.get(TICK_INTERVAL_S)
        except queue.Empty:
            return []
        batch = [item]
        while len(batch) < MAX_BATCH_INPUTS and total < MAX_BATCH_BYTES:
            try:
                item, size = self.inputs.get_nowait()
            except queue.Empty:
                break
            batch.append(item)
            total += size
        return batch

    def step(self, batch: collections.abc.Iterable[Input]) -> None:
        """Pass inputs and the time to the core and carry out its effects."""
        now = self.clock.monotonic()
        with self.lock:
            if self.core.state is core.State.LEADER:
                uncommitted = self.core.log.count_bytes(self.core.commit_index)
                self.proposable_bytes = MAX_UNCOMMITTED_BYTES - uncommitted
            for item in batch:
                self.handle_input(item, now)
            self.core.tick(now)
        while True:
            with self.lock:
                effects = self.core.take_effects()
            if effects.is_empty:
                break
            self.execute_effects(effects)
        self.compact_if_due()
        self.report_state_change()

    def handle_input(self, item: Input, now: float) -> None:
        """Pass one input to the core."""
        match item:
            case ReceivedMessage(message, address):
                self.sender_addresses[message.sender] = address
                lost_count = len(self.core.members.lost)
                self.core.receive(message, now)
                if len(self.core.members.lost) > lost_count:
                    self.log_event(
                        "control_disk_lost",
                        members=sorted(self.core.members.lost),
                    )
            case EndedProcess(address, seen_at):
                self.record_ended(address, seen_at, now)
            case Proposal(future=future) if future.done():
                # It was refused while this member took no part.
                return
            case Proposal(kind, data, future):
                if not self.may_propose(len(data)):
                    self.fail_future(future, NotLeaderError(""))
                    return
                index = self.core.propose(kind, data, now)
                if index is None:
                    peer = self.core.membership.get(self.core.leader_id)
                    leader = peer.address if peer else ""
                    self.fail_future(future, NotLeaderError(leader))
                    return
                self.pending[index] = (self.core.term, item)

    def record_ended(self, address: str, seen_at: float, now: float) -> None:
        """Pass on that the member at an address has ended."""
        for peer in self.core.members.peers:
            if peer.address != address:
                continue
            if self.core.record_ended(peer.member_id, seen_at, now):
                self.log_event(
                    "control_member_ended",
                    member=peer.member_id,
                    led=peer.member_id == self.core.last_leader_id,
                )

    def may_propose(self, size: int) -> bool:
        """Return whether uncommitted entries leave room for another one.

        One entry that follows only committed ones always fits.
        """
        if size > self.proposable_bytes < MAX_UNCOMMITTED_BYTES:
            self.counters.count(metrics.Counter.PROPOSALS_REFUSED)
            return False
        self.proposable_bytes -= size
        return True

    def execute_effects(self, effects: core.Effects) -> None:
        """Store term, vote and log, then send messages, then apply entries.

        The order matters: messages acknowledge what has been stored. Only the
        entries of a leader go out first, so that all members store them at
        the same time.
        """
        outgoing = effects.outgoing
        if effects.hard_state is not None:
            self.hard_state = effects.hard_state
        else:
            early, outgoing = separate_requests(outgoing)
            self.send(early)
        if effects.snapshot is not None:
            self.install_snapshot(effects)
        elif effects.hard_state or effects.entries:
            started_at = self.clock.monotonic()
            with self.disk_operation():
                self.storage.append(effects.hard_state, effects.entries)
            self.counters.time(
                metrics.Timer.FSYNC, self.clock.monotonic() - started_at
            )
        if effects.entries:
            with self.lock:
                self.core.on_persisted(
                    effects.entries[-1].index, self.clock.monotonic()
                )
        self.send(outgoing)
        for entry in effects.committed_entries:
            self.apply(entry)

    def install_snapshot(self, effects: core.Effects) -> None:
        """Store a snapshot received from the leader and restore from it."""
        assert effects.snapshot is not None
        meta, data = effects.snapshot
        with self.disk_operation():
            self.storage.save_snapshot(
                meta, data, self.hard_state, self.core.log
            )
        self.restore(meta, data)
        self.log_event(
            "control_snapshot_installed",
            index=meta.index,
            snapshot_bytes=len(data),
        )

    def restore(self, meta: messages.SnapshotMeta, data: bytes) -> None:
        """Replace the state of the state machine by that of a snapshot."""
        self.applier.restore(data, meta)
        self.applied_index = meta.index

    def send(self, outgoing: list[messages.AnyMessage]) -> None:
        """Send messages, grouped by receiver."""
        by_receiver: dict[str, list[messages.AnyMessage]] = {}
        for message in outgoing:
            by_receiver.setdefault(message.receiver, []).append(message)
        for receiver, batch in by_receiver.items():
            peer = self.core.members.get(receiver)
            # A joining member does not have the membership yet and replies to
            # the address that the leader's messages came from.
            sender_address = self.sender_addresses.get(receiver, "")
            address = peer.address if peer else sender_address
            if address:
                self.sender.send(address, batch)

    def apply(self, entry: messages.Entry) -> None:
        """Apply a committed entry and complete its proposal, if it has one."""
        exceptions.require(
            entry.index == self.applied_index + 1,
            "log entry %d applied after entry %d",
            entry.index,
            self.applied_index,
        )
        outcome: object = None
        match entry.kind:
            case messages.EntryKind.COMMAND:
                outcome = self.applier.apply(entry.index, entry.data)
            case messages.EntryKind.MEMBERSHIP:
                self.applier.apply_membership(
                    entry.index, messages.decode_membership(entry.data)
                )
        self.applied_index = entry.index
        pending = self.pending.pop(entry.index, None)
        if pending is None:
            return
        term, proposal = pending
        if term != entry.term:
            # Another leader's entry has this index: the proposed one is lost.
            self.fail_future(proposal.future, NotLeaderError(""))
            return
        # Its caller may have given up meanwhile.
        with contextlib.suppress(concurrent.futures.InvalidStateError):
            proposal.future.set_result(Applied(entry.index, outcome))

    def compact_if_due(self) -> None:
        """Write a snapshot when the log has too many entries or bytes."""
        with self.lock:
            applied_entries = self.applied_index - self.core.log.base_index
        if applied_entries <= 0:
            return
        if (
            applied_entries >= SNAPSHOT_AFTER_ENTRIES + TRAILING_ENTRIES
            or self.can_drop_many_bytes()
        ):
            self.compact()

    def can_drop_many_bytes(self) -> bool:
        """Return whether the log is large and a snapshot would shrink it."""
        if self.storage.log_bytes <= SNAPSHOT_AFTER_LOG_BYTES:
            return False
        with self.lock:
            log = self.core.log
            trailing = self.count_trailing_entries()
            kept_bytes = log.count_bytes(self.applied_index - trailing)
        dropped_bytes = self.storage.log_bytes - kept_bytes
        least_bytes = MIN_DROPPED_SHARE * self.storage.log_bytes
        return dropped_bytes >= max(MIN_DROPPED_BYTES, least_bytes)

    def count_trailing_entries(self) -> int:
        """Return how many applied entries a snapshot keeps in the log."""
        return self.core.log.count_trailing(
            self.applied_index, TRAILING_ENTRIES, TRAILING_BYTES
        )

    def compact(self) -> None:
        """Write a snapshot and drop old log entries that it covers."""
        started_at = self.clock.monotonic()
        replaced_bytes = self.storage.log_bytes
        data = self.applier.encode()
        with self.lock:
            self.core.compact(
                self.applied_index, data, self.count_trailing_entries()
            )
            snapshot = self.core.snapshot
        assert snapshot is not None
        with self.disk_operation():
            self.storage.save_snapshot(
                snapshot[0], snapshot[1], self.hard_state, self.core.log
            )
        self.log_event(
            "control_snapshot_written",
            index=snapshot[0].index,
            snapshot_bytes=len(data),
            entries=len(self.core.log.entries),
            log_bytes=self.storage.log_bytes,
            replaced_bytes=replaced_bytes,
            seconds=round(self.clock.monotonic() - started_at, 4),
        )

    def report_state_change(self) -> None:
        """Log a change of state; fail proposals after losing leadership."""
        state = self.core.state
        if state is self.last_state:
            return
        self.last_state = state
        if state is core.State.LEADER:
            self.counters.count(metrics.Counter.ELECTIONS)
        if state is not core.State.LEADER:
            self.fail_pending()
        self.log_event(
            "control_state",
            member=self.member_id,
            state=state.value,
            term=self.core.term,
        )

    def fail_pending(self) -> None:
        """Fail every pending proposal.

        Their entries are in the log and may still be committed. If this member
        is stopping or has failed, proposals that are still in the queue fail
        too, with `NotLeaderError`.
        """
        pending, self.pending = self.pending, {}
        for _, proposal in pending.values():
            self.fail_future(
                proposal.future,
                exceptions.ControlUnavailableError(
                    "the control leader changed; send the change again "
                    "with the same change id"
                ),
            )
        if self.failed is None and not self.stopping.is_set():
            return
        while True:
            try:
                item, _ = self.inputs.get_nowait()
            except queue.Empty:
                return
            if isinstance(item, Proposal):
                self.fail_future(item.future, NotLeaderError(""))

    @staticmethod
    def fail_future(
        future: concurrent.futures.Future[Applied], error: Exception
    ) -> None:
        """Set a future's exception unless the future is already done."""
        try:
            future.set_exception(error)
        except concurrent.futures.InvalidStateError:
            return


def separate_requests(
    outgoing: list[messages.AnyMessage],
) -> tuple[list[messages.AnyMessage], list[messages.AnyMessage]]:
    """Return the append requests among messages, and the others."""
    requests: list[messages.AnyMessage] = []
    others: list[messages.AnyMessage] = []
    for message in outgoing:
        is_request = isinstance(message, messages.AppendRequest)
        (requests if is_request else others).append(message)
    return requests, others


def encode_message(message: messages.AnyMessage) -> bytes:
    """Return a message encoded for sending."""
    return msgspec.msgpack.encode(message)
