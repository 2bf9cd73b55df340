"""Declarations that operators write: one base file, one overlay a site."""

import enum

import msgspec

FORMAT = 1


class Priority(enum.Enum):
    """How a deployment's or service's requests rank under load."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"

    @property
    def rank(self) -> int:
        """Return 0 for the most important priority."""
        return _RANKS[self]


_RANKS = {Priority.HIGH: 0, Priority.NORMAL: 1, Priority.LOW: 2}


class Site(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A site: its data centres and the rate of its weight store."""

    data_centres: list[str]
    weight_store_loads_per_second: float = 4.0


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A base model served with adapters by the targets of one service.

    ``stall_weight`` and ``batch_weight`` say how much load stalls and batch
    efficiency count in decisions; both lie between 0 and 1.
    """

    base_model: str
    service: str
    priority: Priority = Priority.NORMAL
    idempotent: bool = True
    stall_weight: float = 0.5
    batch_weight: float = 0.5
    hold_ms: int = 0
    max_tokens: int = 4096


class PlainService(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service whose calls are passed through.

    Methods in ``idempotent_methods`` may be run again; others may not.
    """

    priority: Priority = Priority.HIGH
    idempotent_methods: list[str] = msgspec.field(
        default_factory=lambda: ["GET", "HEAD"]
    )


class DeploymentPatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fields of a deployment that a site changes; None keeps the base's."""

    priority: Priority | None = None
    stall_weight: float | None = None
    batch_weight: float | None = None
    hold_ms: int | None = None
    max_tokens: int | None = None
    service: str | None = None


class ServicePatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fields of a plain service that a site changes."""

    priority: Priority | None = None
    idempotent_methods: list[str] | None = None


class AdapterBinding(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The deployment that serves an adapter version; empty for none."""

    deployment: str


class DeclaredDeployment(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """A deployment as written in a base file."""

    base_model: str
    service: str
    priority: Priority = Priority.NORMAL
    idempotent: bool = True
    stall_weight: float = 0.5
    batch_weight: float = 0.5
    hold_ms: int = 0
    max_tokens: int = 4096
    adapters: list[str] = msgspec.field(default_factory=list)


class DeclaredPatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment as changed in an overlay file."""

    priority: Priority | None = None
    stall_weight: float | None = None
    batch_weight: float | None = None
    hold_ms: int | None = None
    max_tokens: int | None = None
    service: str | None = None
    add_adapters: list[str] = msgspec.field(default_factory=list)
    remove_adapters: list[str] = msgspec.field(default_factory=list)


class BaseFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base file."""

    format: int = FORMAT
    sites: dict[str, Site] = msgspec.field(default_factory=dict)
    deployments: dict[str, DeclaredDeployment] = msgspec.field(
        default_factory=dict
    )
    services: dict[str, PlainService] = msgspec.field(default_factory=dict)


class OverlayFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The overlay file of one site."""

    format: int = FORMAT
    deployments: dict[str, DeclaredPatch] = msgspec.field(default_factory=dict)
    services: dict[str, ServicePatch] = msgspec.field(default_factory=dict)
