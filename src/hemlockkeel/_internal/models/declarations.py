"""Declarations by operators: a base file and an overlay file per site.

Declarations are split into configuration items, see the module ``items``.
Classes named ``Declared...`` and ``...File`` define the format of the files,
the others the values of the items.
"""

import enum

import msgspec

# Version of the file format.
FORMAT = 1


class Priority(enum.Enum):
    """Priority of a deployment's or service's requests under load."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"

    @property
    def rank(self) -> int:
        """Return the priority as a number; 0 is the highest."""
        return _RANKS[self]


_RANKS = {Priority.HIGH: 0, Priority.NORMAL: 1, Priority.LOW: 2}


class Site(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A site with its data centres.

    The weight store is where the engines of the site load adapters from;
    loads are limited to its rate.
    """

    data_centres: list[str]
    weight_store_loads_per_second: float = 4.0


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A base model that the targets of a service serve with adapters.

    ``stall_weight`` and ``batch_weight``, both from 0 to 1, are the weights
    of waiting for adapter loads and of batch efficiency in scheduling
    and routing. ``hold_ms`` is how long a load for low-priority requests may
    be delayed so that further requests share it. ``max_tokens`` is the limit
    on the output tokens of a request.
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
    """A service without models, whose HTTP requests are forwarded.

    Requests with a method in ``idempotent_methods`` may be retried after
    they may have run; others may not.
    """

    priority: Priority = Priority.HIGH
    idempotent_methods: list[str] = msgspec.field(
        default_factory=lambda: ["GET", "HEAD"]
    )


class DeploymentPatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Overrides of a deployment for a site; None keeps the base's value."""

    priority: Priority | None = None
    stall_weight: float | None = None
    batch_weight: float | None = None
    hold_ms: int | None = None
    max_tokens: int | None = None
    service: str | None = None


class ServicePatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Overrides of a plain service for a site; None keeps the base's value."""

    priority: Priority | None = None
    idempotent_methods: list[str] | None = None


class AdapterBinding(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Assignment of an adapter version to a deployment.

    In an overlay, an empty deployment removes the adapter from the site.
    """

    deployment: str


class DeclaredDeployment(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """A deployment in the base file, with its adapters as ``name@version``."""

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
    """Overrides of a deployment in an overlay file."""

    priority: Priority | None = None
    stall_weight: float | None = None
    batch_weight: float | None = None
    hold_ms: int | None = None
    max_tokens: int | None = None
    service: str | None = None
    add_adapters: list[str] = msgspec.field(default_factory=list)
    remove_adapters: list[str] = msgspec.field(default_factory=list)


class BaseFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the base file."""

    format: int = FORMAT
    sites: dict[str, Site] = msgspec.field(default_factory=dict)
    deployments: dict[str, DeclaredDeployment] = msgspec.field(
        default_factory=dict
    )
    services: dict[str, PlainService] = msgspec.field(default_factory=dict)


class OverlayFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the overlay file of a site."""

    format: int = FORMAT
    deployments: dict[str, DeclaredPatch] = msgspec.field(default_factory=dict)
    services: dict[str, ServicePatch] = msgspec.field(default_factory=dict)
