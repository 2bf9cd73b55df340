"""Creates the components of an agent and runs them."""

import dataclasses
import threading
import time

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.agent import answers
from hemlockkeel._internal.agent import crashes
from hemlockkeel._internal.agent import driver
from hemlockkeel._internal.agent import engine_driver
from hemlockkeel._internal.agent import loader
from hemlockkeel._internal.agent import plain_driver
from hemlockkeel._internal.agent import service
from hemlockkeel._internal.control import leases
from hemlockkeel._internal.engines import http_engine
from hemlockkeel._internal.follower import control_client
from hemlockkeel._internal.follower import follower
from hemlockkeel._internal.models import members
from hemlockkeel._internal.policy import eviction
from hemlockkeel._internal.rpc import client
from hemlockkeel._internal.rpc import server
from hemlockkeel._internal.rpc.gen.hk import Agent
from hemlockkeel._internal.utils import clock
from hemlockkeel._internal.utils import logs
from hemlockkeel._internal.utils import metrics

TARGET_RETRY_INTERVAL_S = 0.2
HOUSEKEEPING_INTERVAL_S = 5.0
DRAIN_POLL_INTERVAL_S = 0.05
# How long a draining agent waits for entries to read the last answers.
UNREAD_ANSWERS_WAIT_S = 5.0


@dataclasses.dataclass(frozen=True)
class AgentSettings:
    """Settings of an agent; ``control`` lists the control addresses."""

    target_id: str
    service: str
    target_address: str
    control: list[str]
    secret: str
    data_centre: str
    site: str
    kind: members.TargetKind = members.TargetKind.ENGINE
    host: str = "127.0.0.1"
    port: int = 0
    max_connections: int = 256
    max_queued: int = 256
    preloads: bool = True
    eviction_policy: eviction.EvictionPolicy = dataclasses.field(
        default_factory=eviction.LowestRequestRate
    )


class AgentProcess:
    """An agent with its RPC server, target driver and adapter loader."""

    def __init__(
        self, settings: AgentSettings, counters: metrics.Metrics
    ) -> None:
        self.settings = settings
        self.counters = counters
        self.stopping = threading.Event()
        self.store = answers.AnswerStore()
        self.rpc = server.RpcServer(
            Agent.Processor,
            self,
            settings.secret,
            settings.host,
            settings.port,
            settings.max_connections,
            counters,
        )
        self.control = control_client.ControlClient(
            settings.control, settings.secret, settings.target_id
        )
        self.follower = follower.Follower(
            members.Description(
                settings.target_id,
                members.Role.AGENT,
                self.rpc.address,
                settings.data_centre,
                settings.site,
            ),
            self.control,
            clock.SystemClock(),
        )
        self.service = service.AgentService(
            self.follower, self.store, settings.target_id
        )
        self.rpc.service = self.service
        self.loader: loader.Loader | None = None
        self.driver: driver.TargetDriver | None = None
        self.thread = threading.Thread(
            target=self.run, name="agent", daemon=True
        )

    @property
    def address(self) -> str:
        """Return the address of the Thrift service as ``host:port``."""
        return self.rpc.address

    def start(self) -> None:
        """Start; the target is registered as soon as it responds."""
        self.thread.start()

    def run(self) -> None:
        """Wait for the target, serve it, and expire answers until stopped."""
        while not self.stopping.is_set():
            try:
                self.driver = self.make_driver()
                break
            except exceptions.UnreachableError:
                self.stopping.wait(TARGET_RETRY_INTERVAL_S)
        if self.stopping.is_set() or self.driver is None:
            return
        self.serve_target(self.driver)
        while not self.stopping.wait(HOUSEKEEPING_INTERVAL_S):
            self.store.expire(time.monotonic())

    def serve_target(self, target: driver.TargetDriver) -> None:
        """Register the target and start serving it."""
        self.service.driver = target
        self.follower.description = with_target(
            self.follower.description, target.describe()
        )
        target.start()
        if isinstance(target, engine_driver.EngineDriver):
            self.wait_out_previous_lease(target)
            self.loader = loader.Loader(
                target, self.control, self.follower, self.counters
            )
            self.loader.start()
        self.rpc.start()
        self.follower.start()
        logs.log_event(
            "agent_started",
            target=self.settings.target_id,
            address=self.address,
        )

    def wait_out_previous_lease(
        self, target: engine_driver.EngineDriver
    ) -> None:
        """Wait until the lease of a previous agent must have expired.

        An engine that ignores fencing tokens would otherwise accept orders
        from both agents.
        """
        if target.identity.enforces_fencing:
            return
        self.stopping.wait(
            leases.LEASE_DURATION_S * (1.0 + leases.MAX_CLOCK_DRIFT_RATIO)
        )

    def make_driver(self) -> driver.TargetDriver:
        """Return a driver that is connected to the target.

        :raises UnreachableError: when the target does not respond yet.
        """
        host, port = client.parse_address(self.settings.target_address)
        reporter = crashes.CrashReporter(
            self.control, self.settings.target_id, self.follower.refresh
        )
        if self.settings.kind is members.TargetKind.PLAIN:
            return plain_driver.PlainDriver(
                host,
                port,
                self.settings.service,
                self.settings.target_id,
                self.store,
                self.follower,
                reporter,
                max_queued=self.settings.max_queued,
            )
        return engine_driver.EngineDriver(
            http_engine.HttpEngine(host, port),
            self.settings.service,
            self.settings.target_id,
            self.store,
            self.follower,
            reporter,
            self.settings.eviction_policy,
            self.counters,
            self.settings.max_queued,
            self.settings.preloads,
        )

    def drain(self) -> None:
        """Refuse new orders, then wait until accepted ones have finished.

        Also waits until entries have read their answers, for a limited time.
        """
        self.follower.leave()
        while not self.stopping.is_set() and self.count_unfinished() > 0:
            self.stopping.wait(DRAIN_POLL_INTERVAL_S)
        deadline = time.monotonic() + UNREAD_ANSWERS_WAIT_S
        while (
            self.store.count_undelivered() > 0 and time.monotonic() < deadline
        ):
            self.stopping.wait(DRAIN_POLL_INTERVAL_S)

    def count_unfinished(self) -> int:
        """Return the number of accepted orders that have not finished."""
        return self.driver.count_unfinished() if self.driver else 0

    def stop(self) -> None:
        """Stop without waiting for orders in progress."""
        self.stopping.set()
        self.follower.stop()
        if self.loader is not None:
            self.loader.stop()
        if self.driver is not None:
            self.driver.stop()
        self.rpc.stop()
        self.control.close()


def with_target(
    description: members.Description, target: members.TargetInfo
) -> members.Description:
    """Return a copy of a member's description that includes a target."""
    return members.Description(
        description.member_id,
        description.role,
        description.address,
        description.data_centre,
        description.site,
        target,
        description.start_nonce,
    )
