"""Records of what callers, targets and the operator saw during a run."""

import dataclasses


@dataclasses.dataclass
class SentRequest:
    """A request as its caller saw it."""

    request_id: str
    path: str
    kind: str
    entry: str
    # Number of the entry's process start, from 0; -1 when not known.
    incarnation: int
    sent_at: float
    adapter: str = ""
    # Parts of its prompt beside those of all requests.
    parts: list[str] = dataclasses.field(default_factory=list)
    status: int = 0
    body: bytes = b""
    has_seal: bool = False
    # Whether the complete response arrived, and when the exchange ended.
    complete: bool = False
    ended_at: float = 0.0
    event_ids: list[int] = dataclasses.field(default_factory=list)
    # Software versions of the targets that wrote them.
    versions: set[str] = dataclasses.field(default_factory=set)
    # Request that began the stream which this one resumes, and the event
    # after which it does.
    resumed_id: str = ""
    resumed_after: int = 0


@dataclasses.dataclass
class ServicePeriod:
    """The time for which one start of a target took requests."""

    target: str
    version: str
    begun_at: float
    ended_at: float = float("inf")


@dataclasses.dataclass
class Execution:
    """A request that a target began to execute."""

    request_id: str
    path: str
    service: str
    target: str
    started_at: float
    adapter: str = ""
    # Whether the target crashed or broke the response off.
    failed: bool = False


@dataclasses.dataclass
class Arrival:
    """A request that reached a target, whether or not it was executed."""

    request_id: str
    target: str
    at: float


@dataclasses.dataclass
class Withdrawal:
    """A response that said that the target wants no requests for a time."""

    request_id: str
    target: str
    at: float
    # Infinite if the target is leaving.
    ends_at: float


@dataclasses.dataclass
class NamedLimit:
    """The limit that a response named, or that it named none."""

    request_id: str
    target: str
    at: float
    # Requests a second; None for no limit.
    limit: float | None


@dataclasses.dataclass
class ConfigurationChange:
    """A configuration that the operator sent."""

    version: int
    service: str
    sent_at: float
    acknowledged_at: float | None = None


@dataclasses.dataclass
class ConfigurationRead:
    """A successful read of the configuration."""

    sent_at: float
    version: int


@dataclasses.dataclass
class Departure:
    """A target whose draining or removal a control member acknowledged."""

    target: str
    acknowledged_at: float


@dataclasses.dataclass
class FaultPeriod:
    """The time in which a fault affected a process or its connections.

    An empty name stands for all control members.
    """

    name: str
    begun_at: float
    ended_at: float
    kind: str


@dataclasses.dataclass
class History:
    """All records of a run; times are of the monotonic clock, in seconds."""

    requests: list[SentRequest] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    withdrawals: list[Withdrawal] = dataclasses.field(default_factory=list)
    limits: list[NamedLimit] = dataclasses.field(default_factory=list)
    configuration_changes: list[ConfigurationChange] = dataclasses.field(
        default_factory=list
    )
    configuration_reads: list[ConfigurationRead] = dataclasses.field(
        default_factory=list
    )
    departures: list[Departure] = dataclasses.field(default_factory=list)
    fault_periods: list[FaultPeriod] = dataclasses.field(default_factory=list)
    # The attempts of callers for each resumable stream.
    resumable_streams: list[list[SentRequest]] = dataclasses.field(
        default_factory=list
    )
    service_periods: list[ServicePeriod] = dataclasses.field(
        default_factory=list
    )
    # Violations that were noticed during the run, for example by an engine.
    violations: list[str] = dataclasses.field(default_factory=list)
    ended_at: float = float("inf")
