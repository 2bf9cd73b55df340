"""Runs one member: a thread around the core, its storage and its peers."""

import abc
import collections.abc
import concurrent.futures
import dataclasses
import pathlib
import queue
import random
import threading

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import disk
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import storage
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics

TICK_INTERVAL_S = 0.02
MAX_BATCH_INPUTS = 512
SNAPSHOT_AFTER_LOG_BYTES = 8 * 1024 * 1024
SNAPSHOT_AFTER_ENTRIES = 5_000
TRAILING_ENTRIES = 500


class Applier(abc.ABC):
    """The state machine that committed entries are applied to."""

    @abc.abstractmethod
    def apply(self, index: int, data: bytes) -> object:
        """Apply a command and return its outcome."""

    @abc.abstractmethod
    def apply_membership(
        self, index: int, membership: messages.Membership
    ) -> None:
        """Learn the control members in force."""

    @abc.abstractmethod
    def encode(self) -> bytes:
        """Return the whole state."""

    @abc.abstractmethod
    def restore(self, data: bytes, meta: messages.SnapshotMeta) -> None:
        """Replace the whole state."""


class Sender(abc.ABC):
    """Sends messages to other members without blocking."""

    @abc.abstractmethod
    def send(self, address: str, batch: list[messages.AnyMessage]) -> None:
        """Send messages to a member, or drop them."""


class NotLeaderError(Exception):
    """This member does not lead; ``leader`` is an address or empty."""

    def __init__(self, leader: str) -> None:
        super().__init__(leader)
        self.leader = leader


@dataclasses.dataclass
class Applied:
    """Result of a committed proposal."""

    index: int
    outcome: object


@dataclasses.dataclass
class Proposal:
    """An entry that a caller waits for."""

    kind: messages.EntryKind
    data: bytes
    future: concurrent.futures.Future[Applied]


@dataclasses.dataclass
class ReceivedMessage:
    """A message from another member, and where to answer it."""

    message: messages.AnyMessage
    address: str


Input = Proposal | ReceivedMessage | None


@dataclasses.dataclass(frozen=True)
class InitialCluster:
    """A new cluster whose voters are known to each other beforehand.

    All founders derive the same ids, so each can start on its own.
    """

    member_id: str
    cluster_id: str
    peers: tuple[messages.Peer, ...]


class Node:
    """One control member."""

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
    ) -> None:
        self.address = address
        self.applier = applier
        self.sender = sender
        self.counters = counters
        self.clock = time_source
        self.inputs: queue.Queue[Input] = queue.Queue()
        self.pending: dict[int, tuple[int, Proposal]] = {}
        self.sender_addresses: dict[str, str] = {}
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.failed: exceptions.StorageError | None = None
        self.applied_index = 0
        self.storage = storage.Storage(disk.FolderDisk(folder))
        is_new_founder = initial_cluster is not None and self.storage.is_blank
        self.identity = self.storage.load_identity(
            storage.Identity(
                initial_cluster.member_id, initial_cluster.cluster_id
            )
            if initial_cluster is not None
            else None
        )
        saved = self.storage.load()
        self.core = core.RaftCore(
            self.identity.member_id,
            saved,
            timing,
            random.Random(seed),
            self.clock.monotonic(),
        )
        self.hard_state = saved.hard_state
        if saved.snapshot is not None:
            self.restore(*saved.snapshot)
        if initial_cluster is not None and is_new_founder:
            self.write_initial_membership(list(initial_cluster.peers))
        elif bootstrap and not self.core.membership.peers:
            self.bootstrap()
        self.last_state = self.core.state
        self.thread = threading.Thread(
            target=self.run, name="consensus", daemon=True
        )

    @property
    def member_id(self) -> str:
        """Return this member's id."""
        return self.identity.member_id

    @property
    def cluster_id(self) -> str:
        """Return the cluster this member belongs to; empty if none yet."""
        return self.identity.cluster_id

    def bootstrap(self) -> None:
        """Start a new cluster with this member as its only voter."""
        self.join_cluster("cluster-" + self.member_id)
        self.write_initial_membership(
            [messages.Peer(self.member_id, self.address)]
        )

    def write_initial_membership(self, peers: list[messages.Peer]) -> None:
        """Store the first log entry: the voters of a new cluster."""
        data = core.encode_membership(messages.Membership(peers))
        entry = messages.Entry(1, 1, messages.EntryKind.MEMBERSHIP, data)
        self.hard_state = messages.HardState(1, "")
        self.storage.append(self.hard_state, [entry])
        self.core.term = 1
        self.core.log.append(entry)
        self.core.persisted_index = 1
        self.core.refresh_membership()

    def join_cluster(self, cluster_id: str) -> None:
        """Store the id of the cluster that this member belongs to."""
        if self.identity.cluster_id == cluster_id:
            return
        self.identity = storage.Identity(self.member_id, cluster_id)
        self.storage.save_identity(self.identity)

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

    # Calls from other threads

    def propose(
        self,
        data: bytes,
        kind: messages.EntryKind = messages.EntryKind.COMMAND,
    ) -> concurrent.futures.Future[Applied]:
        """Propose an entry; the future ends when it is applied.

        The future raises `NotLeaderError` when the entry was certainly not
        appended here, and `ControlUnavailableError` when it may still be
        committed later.
        """
        future: concurrent.futures.Future[Applied] = (
            concurrent.futures.Future()
        )
        self.inputs.put(Proposal(kind, data, future))
        if self.failed is not None or self.stopping.is_set():
            self.fail_future(future, NotLeaderError(""))
        return future

    def receive(self, message: messages.AnyMessage, address: str) -> None:
        """Hand over a message from the member at an address."""
        self.inputs.put(ReceivedMessage(message, address))

    def has_lease(self) -> bool:
        """Tell whether this member is certainly the only leader now."""
        if self.failed is not None:
            return False
        with self.lock:
            return self.core.has_lease(self.clock.monotonic())

    def has_quorum_contact(self, max_age_s: float) -> bool:
        """Tell whether a majority was heard of lately."""
        if self.failed is not None:
            return False
        now = self.clock.monotonic()
        with self.lock:
            if self.core.state is core.State.LEADER:
                return now - self.core.get_quorum_ack_time(now) <= max_age_s
            heard = bool(self.core.leader_id)
            return heard and now - self.core.leader_contact_at <= max_age_s

    def get_leader_address(self) -> str:
        """Return the leader's address; empty when unknown."""
        with self.lock:
            peer = self.core.membership.get(self.core.leader_id)
        return peer.address if peer else ""

    # The member's thread

    def run(self) -> None:
        """Process inputs until stopped or the disk fails."""
        try:
            while not self.stopping.is_set():
                self.step(self.collect_inputs())
        except exceptions.StorageError as fault:
            self.failed = fault
            logs.log_fault("control_disk_failed", reason=fault)
        except exceptions.InvariantError as fault:
            self.failed = exceptions.StorageError(str(fault))
            logs.log_fault("control_invariant_violated", reason=fault)
        finally:
            self.fail_pending()

    def collect_inputs(self) -> list[Input]:
        """Wait for inputs; everything that queued up shares one sync."""
        try:
            batch = [self.inputs.get(timeout=TICK_INTERVAL_S)]
        except queue.Empty:
            return []
        while len(batch) < MAX_BATCH_INPUTS:
            try:
                batch.append(self.inputs.get_nowait())
            except queue.Empty:
                break
        return batch

    def step(self, batch: collections.abc.Iterable[Input]) -> None:
        """Feed inputs to the core and carry out its effects."""
        now = self.clock.monotonic()
        with self.lock:
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
        """Give one input to the core."""
        match item:
            case ReceivedMessage(message, address):
                self.sender_addresses[message.sender] = address
                self.core.receive(message, now)
            case Proposal(kind, data, future):
                index = self.core.propose(kind, data, now)
                if index is None:
                    peer = self.core.membership.get(self.core.leader_id)
                    leader = peer.address if peer else ""
                    self.fail_future(future, NotLeaderError(leader))
                    return
                self.pending[index] = (self.core.term, item)

    def execute_effects(self, effects: core.Effects) -> None:
        """Store, then send, then apply."""
        if effects.hard_state is not None:
            self.hard_state = effects.hard_state
        if effects.snapshot is not None:
            self.install_snapshot(effects)
        elif effects.hard_state or effects.entries:
            begun = self.clock.monotonic()
            self.storage.append(effects.hard_state, effects.entries)
            self.counters.time(
                metrics.Timer.FSYNC, self.clock.monotonic() - begun
            )
        if effects.entries:
            with self.lock:
                self.core.on_persisted(
                    effects.entries[-1].index, self.clock.monotonic()
                )
        self.send(effects.outgoing)
        for entry in effects.committed_entries:
            self.apply(entry)

    def install_snapshot(self, effects: core.Effects) -> None:
        """Store and adopt a snapshot from the leader."""
        assert effects.snapshot is not None
        meta, data = effects.snapshot
        self.storage.save_snapshot(meta, data, self.hard_state, self.core.log)
        self.restore(meta, data)
        logs.log_state("control_snapshot_installed", index=meta.index)

    def restore(self, meta: messages.SnapshotMeta, data: bytes) -> None:
        """Replace the state machine's state by a snapshot's."""
        self.applier.restore(data, meta)
        self.applied_index = meta.index

    def send(self, outgoing: list[messages.AnyMessage]) -> None:
        """Send messages, grouped by receiver."""
        by_receiver: dict[str, list[messages.AnyMessage]] = {}
        for message in outgoing:
            by_receiver.setdefault(message.receiver, []).append(message)
        for receiver, batch in by_receiver.items():
            peer = self.core.membership.get(receiver)
            # A joining member learns its leader's address from messages.
            known = self.sender_addresses.get(receiver, "")
            address = peer.address if peer else known
            if address:
                self.sender.send(address, batch)

    def apply(self, entry: messages.Entry) -> None:
        """Apply a committed entry and answer whoever proposed it."""
        exceptions.require(
            entry.index == self.applied_index + 1,
            "entry %d applied after %d",
            entry.index,
            self.applied_index,
        )
        self.applied_index = entry.index
        outcome: object = None
        match entry.kind:
            case messages.EntryKind.COMMAND:
                outcome = self.applier.apply(entry.index, entry.data)
            case messages.EntryKind.MEMBERSHIP:
                self.applier.apply_membership(
                    entry.index, messages.decode_membership(entry.data)
                )
        pending = self.pending.pop(entry.index, None)
        if pending is None:
            return
        term, proposal = pending
        if term != entry.term:
            # Another leader's entry took this place: ours is gone.
            self.fail_future(proposal.future, NotLeaderError(""))
            return
        proposal.future.set_result(Applied(entry.index, outcome))

    def compact_if_due(self) -> None:
        """Write a snapshot when the log has grown."""
        with self.lock:
            grown = self.applied_index - self.core.log.base_index
        big = self.storage.log_bytes > SNAPSHOT_AFTER_LOG_BYTES
        if grown < SNAPSHOT_AFTER_ENTRIES + TRAILING_ENTRIES and not (
            big and grown > 2 * TRAILING_ENTRIES
        ):
            return
        self.compact()

    def compact(self) -> None:
        """Write a snapshot and drop the entries it covers."""
        data = self.applier.encode()
        with self.lock:
            self.core.compact(self.applied_index, data, TRAILING_ENTRIES)
            snapshot = self.core.snapshot
        assert snapshot is not None
        self.storage.save_snapshot(
            snapshot[0], snapshot[1], self.hard_state, self.core.log
        )

    def report_state_change(self) -> None:
        """Log changes of state and fail proposals of a lost lead."""
        state = self.core.state
        if state is self.last_state:
            return
        self.last_state = state
        if state is core.State.LEADER:
            self.counters.count(metrics.Counter.ELECTIONS)
        if state is not core.State.LEADER:
            self.fail_pending()
        logs.log_state(
            "control_state",
            member=self.member_id,
            state=state.value,
            term=self.core.term,
        )

    def fail_pending(self) -> None:
        """End every waiting proposal: its entry may yet be committed."""
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
                item = self.inputs.get_nowait()
            except queue.Empty:
                return
            if isinstance(item, Proposal):
                self.fail_future(item.future, NotLeaderError(""))

    @staticmethod
    def fail_future(
        future: concurrent.futures.Future[Applied], fault: Exception
    ) -> None:
        """End a future with an exception unless it has ended."""
        try:
            future.set_exception(fault)
        except concurrent.futures.InvalidStateError:
            return


def encode_message(message: messages.AnyMessage) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)
