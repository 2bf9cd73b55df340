"""Builds and runs the process of a control member."""

import dataclasses
import pathlib
import threading

from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.consensus import node
from hemlockkeel._internal.control import admin
from hemlockkeel._internal.control import applier
from hemlockkeel._internal.control import controllers
from hemlockkeel._internal.control import peers
from hemlockkeel._internal.control import permits
from hemlockkeel._internal.control import service
from hemlockkeel._internal.coordinator import membership
from hemlockkeel._internal.policy import load_queue
from hemlockkeel._internal.rpc import server
from hemlockkeel._internal.rpc.gen.hk import Control
from hemlockkeel._internal.state import machine
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import supervision
from hemlockkeel._internal.utils import web_server

LEADER_LOOP_INTERVAL_S = 0.05
ADMIN_THREADS = 8


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """Settings of a control member.

    Port 0 chooses a free port. ``bootstrap`` lets a member with an empty
    data folder start a new cluster.
    """

    data_dir: pathlib.Path
    secret: str
    admin_token: str
    host: str = "127.0.0.1"
    port: int = 0
    admin_host: str = "127.0.0.1"
    admin_port: int = 0
    bootstrap: bool = False
    max_connections: int = 1024
    timing: core.Timing = dataclasses.field(default_factory=core.Timing)
    load_policy: load_queue.LoadSelectionPolicy = dataclasses.field(
        default_factory=load_queue.HeaviestFirst
    )


class ControlProcess:
    """A control member with its thrift server and its admin server."""

    def __init__(
        self,
        settings: ControlSettings,
        counters: metrics.Metrics,
        time_source: clock.Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = time_source or clock.SystemClock()
        self.stopping = threading.Event()
        self.applier = applier.StateApplier(machine.StateMachine())
        self.rpc = server.RpcServer(
            Control.Processor,
            self,
            settings.secret,
            settings.host,
            settings.port,
            settings.max_connections,
            counters,
        )
        self.sender = peers.PeerSender(
            settings.secret, self.rpc.address, self.rpc.address
        )
        self.node = node.Node(
            settings.data_dir,
            self.rpc.address,
            self.applier,
            self.sender,
            settings.timing,
            counters,
            self.clock,
            settings.bootstrap,
        )
        permit_allocator = permits.PermitAllocator(
            settings.load_policy, self.clock, counters
        )
        self.service = service.ControlService(
            self.node, self.applier, permit_allocator, self.clock, counters
        )
        self.rpc.service = self.service
        self.leader_loop = controllers.LeaderLoop(
            self.service,
            [
                controllers.MemberController(self.service),
                controllers.ExpiryController(),
            ],
        )
        self.admin = web_server.WebServer(
            admin.AdminApp(self.service, settings.admin_token, counters),
            settings.admin_host,
            settings.admin_port,
            ADMIN_THREADS,
            admin.MAX_BODY_BYTES,
        )
        self.thread = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.run_loop, self.stopping),
            name="control-loop",
            daemon=True,
        )
        self.contact_thread = threading.Thread(
            target=supervision.keep_thread_running,
            args=(self.run_contact_loop, self.stopping),
            name="control-contact",
            daemon=True,
        )

    @property
    def address(self) -> str:
        """Return the address of the thrift service."""
        return self.rpc.address

    @property
    def admin_url(self) -> str:
        """Return the URL of the admin API."""
        return f"http://{self.admin.address}"

    def start(self) -> None:
        """Start the Raft member, the servers and the leader loop."""
        self.node.start()
        self.rpc.start()
        self.admin.start()
        self.thread.start()
        self.contact_thread.start()
        logs.log_event(
            "control_started",
            member=self.node.member_id,
            address=self.address,
            admin=self.admin_url,
        )

    def run_loop(self) -> None:
        """Run the leader loop and promote learners until stopped."""
        while not self.stopping.wait(LEADER_LOOP_INTERVAL_S):
            self.sender.cluster_id = self.node.cluster_id
            self.leader_loop.step(self.clock.monotonic())
            self.promote_learner()

    def run_contact_loop(self) -> None:
        """Keep in contact with other members while the disk is busy."""
        while not self.stopping.wait(self.settings.timing.heartbeat_s):
            self.node.keep_contact()

    def promote_learner(self) -> None:
        """If this member leads, make a learner that caught up a voter.

        It takes the vote of one that is silent, if there is one.
        """
        with self.node.lock:
            raft = self.node.core
            if raft.state is not core.State.LEADER:
                return
            if raft.has_pending_membership():
                return
            view = membership.LeaderView(
                raft.membership,
                raft.member_id,
                membership.get_peer_states(raft),
                [],
                self.clock.monotonic(),
            )
        # Operators take out members, so that no voter is spare.
        policy = membership.VotePolicy(
            len(view.members.voters), self.settings.timing.election_min_s
        )
        changed = membership.plan_votes(view, policy)
        if changed is None:
            return
        self.node.propose(
            core.encode_membership(changed),
            messages.EntryKind.MEMBERSHIP,
        )
        logs.log_event("control_votes_changed", voters=changed.voters)

    def drain(self) -> None:
        """Do nothing, as everything that was committed is on disk."""

    def count_unfinished(self) -> int:
        """Return 0, as a control member has no work of its own in flight."""
        return 0

    def stop(self) -> None:
        """Stop the servers, the Raft member and the leader loop."""
        self.stopping.set()
        self.admin.stop()
        self.rpc.stop()
        self.node.stop()
        self.sender.stop()
        for each in (self.thread, self.contact_thread):
            if each.is_alive():
                each.join(2.0)
