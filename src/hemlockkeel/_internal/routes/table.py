"""A whole configuration of routes, services and limits."""

import bisect
import dataclasses
import enum
import random

from hemlockkeel._internal.discovery import records


class RouteKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class TrafficShare:
    """A service's part of a route's requests."""

    service: records.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    # Time to the first byte within which an answer has its full worth.
    first_byte_slo_s: float
    # Rank; 0 is the most urgent.
    priority: int
    shares: tuple[TrafficShare, ...]
    # Most targets that one request may be sent to.
    max_attempts: int
    resumable: bool

    @property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> records.ServiceName:
        """Draw the service of one request."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclasses.dataclass(frozen=True)
class Model:
    """A base model of an engine service."""

    name: str
    weights_mb: float
    load_s: float


@dataclasses.dataclass(frozen=True)
class Engine:
    """What the engines of a service are like."""

    batch_slots: int
    kv_capacity: int
    weights_mb: float
    adapter_slots: int
    models: tuple[Model, ...]


@dataclasses.dataclass(frozen=True)
class Service:
    """Targets of one kind."""

    name: records.ServiceName
    max_connections: int
    engine: Engine | None


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration:
    """Everything that one version declares."""

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        limits: RequestLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.by_host: dict[str, dict[str, Route]] = {}
        self.prefix_lengths: dict[str, list[int]] = {}
        for route in routes:
            prefixes = self.by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route
            lengths = self.prefix_lengths.setdefault(route.host, [])
            if len(route.prefix) not in lengths:
                bisect.insort(lengths, len(route.prefix))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        host = host.lower()
        prefixes = self.by_host.get(host)
        if prefixes is None and ":" in host:
            host = host.rsplit(":", 1)[0]
            prefixes = self.by_host.get(host)
        if prefixes is None:
            return None
        for length in reversed(self.prefix_lengths[host]):
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None
