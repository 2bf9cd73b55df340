"""Development cluster: all roles and stand-ins in one process."""

import collections.abc
import contextlib
import dataclasses
import pathlib
import tempfile
import time

from hemlockkeel._internal.agent import process as agent_process
from hemlockkeel._internal.consensus import core
from hemlockkeel._internal.consensus import messages
from hemlockkeel._internal.control import process as control_process
from hemlockkeel._internal.entry import process as entry_process
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import members
from hemlockkeel._internal.policy import eviction
from hemlockkeel._internal.policy import load_queue
from hemlockkeel._internal.policy import routing
from hemlockkeel._internal.standins import engine
from hemlockkeel._internal.standins import engine_app
from hemlockkeel._internal.standins import plain
from hemlockkeel._internal.standins import weight_store
from hemlockkeel._internal.utils import metrics
from hemlockkeel._internal.utils import web_server

DEV_TOKEN = "dev-operator-token"  # noqa: S105
DEV_SECRET = "dev-shared-secret"  # noqa: S105
SERVER_THREADS = 64
SERVER_MAX_BODY_BYTES = 4 * 1024 * 1024
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


@dataclasses.dataclass
class DevSettings:
    """Size, speed and policies of a development cluster.

    ``entries``, ``engines``, ``plain_services`` and ``control_members`` are
    numbers of processes. Port 0 chooses a free port.
    """

    entries: int = 1
    engines: int = 3
    plain_services: int = 1
    control_members: int = 1
    port: int = 0
    admin_port: int = 0
    admin_token: str = DEV_TOKEN
    site: str = "tas-north"
    data_centres: tuple[str, ...] = (
        "launceston-hall",
        "devonport-hall",
        "burnie-hall",
    )
    engine_service: str = "scribe-models"
    plain_service: str = "entries-app"
    loads_per_second: float = 4.0
    max_in_flight: int = 64
    max_queued: int = 256
    engine_options: engine.EngineOptions = dataclasses.field(
        default_factory=lambda: engine.EngineOptions(base_model="scribe-7b")
    )
    router: routing.Router = dataclasses.field(
        default_factory=routing.LeastCost
    )
    eviction_policy: eviction.EvictionPolicy = dataclasses.field(
        default_factory=eviction.LowestRequestRate
    )
    preloads: bool = True
    load_policy: load_queue.LoadSelectionPolicy = dataclasses.field(
        default_factory=load_queue.HeaviestFirst
    )


def wait_until(
    condition: collections.abc.Callable[[], bool], description: str
) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: when it does not hold within ``READY_TIMEOUT_S``.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting for: {description}")
        time.sleep(POLL_INTERVAL_S)


class StandInTarget:
    """A simulated engine or plain service with its web server."""

    def __init__(
        self,
        target_id: str,
        app: object,
        stand_in: engine.StandInEngine | None,
    ) -> None:
        self.target_id = target_id
        self.engine = stand_in
        self.app = app
        self.server = web_server.WebServer(
            app, "127.0.0.1", 0, SERVER_THREADS, SERVER_MAX_BODY_BYTES
        )
        self.server.start()

    def stop(self) -> None:
        """Stop the engine, if it is one, and the web server."""
        if self.engine is not None:
            self.engine.stop()
        self.server.stop()


class DevCluster:
    """All roles as threads, for development, tests and benchmarks."""

    def __init__(self, settings: DevSettings) -> None:
        self.settings = settings
        self.data_folder = tempfile.TemporaryDirectory(prefix="hemlockkeel-")
        self.weight_store = weight_store.WeightStore(settings.loads_per_second)
        self.counters = metrics.Metrics()
        self.targets: list[StandInTarget] = []
        self.agents: list[agent_process.AgentProcess] = []
        self.entries: list[entry_process.EntryProcess] = []
        self.control_members: list[control_process.ControlProcess] = []
        self.make_control_members()
        addresses = [control.address for control in self.control_members]
        for number in range(settings.engines):
            self.add_engine(number, addresses)
        for number in range(settings.plain_services):
            self.add_plain_service(number, addresses)
        for number in range(settings.entries):
            self.add_entry(number, addresses)

    def make_control_members(self) -> None:
        """Create the control members; the first one starts the cluster."""
        for number in range(self.settings.control_members):
            folder = pathlib.Path(self.data_folder.name) / f"control-{number}"
            self.control_members.append(
                control_process.ControlProcess(
                    control_process.ControlSettings(
                        data_dir=folder,
                        secret=DEV_SECRET,
                        admin_token=self.settings.admin_token,
                        admin_port=(
                            self.settings.admin_port if number == 0 else 0
                        ),
                        bootstrap=number == 0,
                        load_policy=self.settings.load_policy,
                    ),
                    self.counters,
                )
            )

    def get_data_centre(self, number: int) -> str:
        """Return the data centre of a process, assigned in rotation."""
        names = self.settings.data_centres
        return names[number % len(names)]

    def add_engine(self, number: int, control_addresses: list[str]) -> None:
        """Create a simulated engine and its agent."""
        name = f"{self.settings.engine_service}-{number}"
        options = dataclasses.replace(
            self.settings.engine_options, seed=number
        )
        stand_in = engine.StandInEngine(options, self.weight_store.fetch)
        target = StandInTarget(name, engine_app.EngineApp(stand_in), stand_in)
        self.targets.append(target)
        self.add_agent(
            number, target, members.TargetKind.ENGINE, control_addresses
        )

    def add_plain_service(
        self, number: int, control_addresses: list[str]
    ) -> None:
        """Create a simulated plain service and its agent."""
        name = f"{self.settings.plain_service}-{number}"
        target = StandInTarget(name, plain.PlainServiceApp(), None)
        self.targets.append(target)
        self.add_agent(
            number, target, members.TargetKind.PLAIN, control_addresses
        )

    def add_agent(
        self,
        number: int,
        target: StandInTarget,
        kind: members.TargetKind,
        control_addresses: list[str],
    ) -> None:
        """Create the agent of a target."""
        service = self.settings.engine_service
        if kind is members.TargetKind.PLAIN:
            service = self.settings.plain_service
        self.agents.append(
            agent_process.AgentProcess(
                agent_process.AgentSettings(
                    target_id=target.target_id,
                    service=service,
                    target_address=target.server.address,
                    control=control_addresses,
                    secret=DEV_SECRET,
                    data_centre=self.get_data_centre(number),
                    site=self.settings.site,
                    kind=kind,
                    max_queued=self.settings.max_queued,
                    eviction_policy=self.settings.eviction_policy,
                    preloads=self.settings.preloads,
                ),
                self.counters,
            )
        )

    def add_entry(self, number: int, control_addresses: list[str]) -> None:
        """Create an entry."""
        self.entries.append(
            entry_process.EntryProcess(
                entry_process.EntrySettings(
                    member_id=f"entry-{number}",
                    control=control_addresses,
                    secret=DEV_SECRET,
                    data_centre=self.get_data_centre(number),
                    site=self.settings.site,
                    port=self.settings.port if number == 0 else 0,
                    max_in_flight=self.settings.max_in_flight,
                    balancer_notice_s=0.0,
                    router=self.settings.router,
                ),
                self.counters,
            )
        )

    def start(self) -> None:
        """Start all roles and wait until the entries are ready.

        :raises TimeoutError: when they are not ready in time.
        """
        for control in self.control_members:
            control.start()
        self.form_cluster()
        for agent in self.agents:
            agent.start()
        for entry in self.entries:
            entry.start()
        self.wait_until_ready()

    def form_cluster(self) -> None:
        """Add the other control members to the cluster of the first one."""
        leader = self.control_members[0]
        wait_until(leader.node.has_lease, "the first control member leads")
        for control in self.control_members[1:]:
            peer = messages.Peer(
                control.node.member_id, control.address, False
            )
            wait_until(
                lambda peer=peer: self.add_voter(peer),  # type: ignore[misc]
                "a control member is added",
            )

    def add_voter(self, peer: messages.Peer) -> bool:
        """Propose adding a member unless known; return if it has a vote."""
        node = self.control_members[0].node
        with node.lock:
            membership = node.core.membership
        peer_state = membership.get(peer.member_id)
        if peer_state is None:
            extended = messages.Membership([*membership.peers, peer])
            node.propose(
                core.encode_membership(extended),
                messages.EntryKind.MEMBERSHIP,
            )
            return False
        return peer_state.voter

    def find_leader(self) -> control_process.ControlProcess | None:
        """Return the control member that leads, or None."""
        for control in self.control_members:
            if control.node.has_lease() and control.service.leading:
                return control
        return None

    def restart_agent(self, number: int) -> None:
        """Stop an agent without a drain and start a new one."""
        old = self.agents[number]
        old.stop()
        self.agents[number] = agent_process.AgentProcess(
            old.settings, self.counters
        )
        self.agents[number].start()

    def wait_until_ready(self) -> None:
        """Wait until each entry is ready and reaches every target.

        :raises TimeoutError: when that takes too long.
        """
        wait_until(
            lambda: all(self.is_ready(entry) for entry in self.entries),
            "every entry is ready",
        )

    def is_ready(self, entry: entry_process.EntryProcess) -> bool:
        """Return whether an entry is ready and can send to every target."""
        if entry.follower.get_state() is not follower.FollowerState.READY:
            return False
        reachable = [
            link
            for link in list(entry.target_links.links.values())
            if link.reachable and link.load and link.load.accepting
        ]
        return len(reachable) >= len(self.agents)

    def stop(self) -> None:
        """Stop all roles and delete the data folder."""
        for entry in self.entries:
            entry.stop()
        for agent in self.agents:
            agent.stop()
        for target in self.targets:
            target.stop()
        for control in self.control_members:
            control.stop()
        with contextlib.suppress(OSError):
            self.data_folder.cleanup()
