"""What callers, back ends and the operator saw during a run."""

import dataclasses


@dataclasses.dataclass
class SentRequest:
    """A request as its caller knows it."""

    request_id: str
    path: str
    kind: str
    entry: str
    # Start of the entry's process, counted from 0.
    incarnation: int
    sent_at: float
    adapter: str = ""
    status: int = 0
    body: bytes = b""
    has_seal: bool = False
    # Whether the whole answer came, and when the exchange ended.
    complete: bool = False
    ended_at: float = 0.0
    event_ids: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Execution:
    """A request that a back end began to work on."""

    request_id: str
    path: str
    service: str
    target: str
    started_at: float
    adapter: str = ""
    # Whether the target crashed or was cut while it ran.
    failed: bool = False


@dataclasses.dataclass
class ConfigurationChange:
    """A configuration that the operator sent."""

    version: int
    service: str
    sent_at: float
    acknowledged_at: float | None = None


@dataclasses.dataclass
class ConfigurationRead:
    """A read of the configuration that was answered."""

    sent_at: float
    version: int


@dataclasses.dataclass
class Departure:
    """A target whose leaving was acknowledged."""

    target: str
    acknowledged_at: float


@dataclasses.dataclass
class FaultPeriod:
    """A fault of a process or of links, from its start to its end.

    An empty name stands for the control members.
    """

    name: str
    begun_at: float
    ended_at: float
    kind: str


@dataclasses.dataclass
class History:
    """All of it, with times of one clock."""

    requests: list[SentRequest] = dataclasses.field(default_factory=list)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    configuration_changes: list[ConfigurationChange] = dataclasses.field(
        default_factory=list
    )
    configuration_reads: list[ConfigurationRead] = dataclasses.field(
        default_factory=list
    )
    departures: list[Departure] = dataclasses.field(default_factory=list)
    fault_periods: list[FaultPeriod] = dataclasses.field(default_factory=list)
    # What a stand-in engine saw that must never happen.
    violations: list[str] = dataclasses.field(default_factory=list)
    ended_at: float = float("inf")
