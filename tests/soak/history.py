"""What callers, back ends and the operator saw during a run."""

import dataclasses


@dataclasses.dataclass
class Sent:
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
    sealed: bool = False
    # Whether the whole answer came, and when the exchange ended.
    complete: bool = False
    ended_at: float = 0.0
    events: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Ran:
    """A request that a back end began to work on."""

    request_id: str
    path: str
    service: str
    target: str
    at: float
    adapter: str = ""
    # Whether the target crashed or was cut while it ran.
    broken: bool = False


@dataclasses.dataclass
class Configured:
    """A configuration that the operator sent."""

    version: int
    service: str
    sent_at: float
    acknowledged_at: float | None = None


@dataclasses.dataclass
class ReadBack:
    """A read of the configuration that was answered."""

    sent_at: float
    version: int


@dataclasses.dataclass
class Left:
    """A target whose leaving was acknowledged."""

    target: str
    acknowledged_at: float


@dataclasses.dataclass
class Disturbance:
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

    sent: list[Sent] = dataclasses.field(default_factory=list)
    ran: list[Ran] = dataclasses.field(default_factory=list)
    configured: list[Configured] = dataclasses.field(default_factory=list)
    read_back: list[ReadBack] = dataclasses.field(default_factory=list)
    left: list[Left] = dataclasses.field(default_factory=list)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    # What a stand-in engine saw that must never happen.
    engine_faults: list[str] = dataclasses.field(default_factory=list)
    ends_at: float = float("inf")
