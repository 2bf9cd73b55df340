"""Configuration of routes, services and limits, and the route look-up."""

import bisect
import dataclasses
import enum
import random

from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.routes import organisations

# Size of a whole configuration as operators send it; room for thousands of
# routes. Frames of links leave room for one.
MAX_CONFIGURATION_BYTES = 4 * 1024 * 1024


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides whether to retry them."""

    # A request may run more than once.
    IDEMPOTENT = "idempotent"
    # A request must not run twice.
    ONCE = "once"
    # The response is a stream of events; a request that may have run is
    # repeated only if its route is resumable.
    STREAM = "stream"


@dataclasses.dataclass(frozen=True)
class TrafficShare:
    """A service with its weight in a route's traffic split."""

    service: records.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Services and limits for the requests to a host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    # Service-level objective for the time to the first byte.
    first_byte_slo_s: float
    # Priority rank; 0 is the most urgent.
    priority: int
    shares: tuple[TrafficShare, ...]
    # Largest number of targets that one request may be sent to.
    max_attempts: int
    # Whether an interrupted request may be sent again to another target.
    resumable: bool
    # Whether callers need no key although there are organisations.
    public: bool = False
    # Service-level objective for the longest pause between two events of a
    # stream, seconds; None for no objective.
    gap_slo_s: float | None = None

    @property
    def idempotent(self) -> bool:
        """Return whether requests may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT

    def choose_service(self, rng: random.Random) -> records.ServiceName:
        """Choose a service for one request at random, by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return rng.choices(self.shares, weights)[0].service


@dataclasses.dataclass(frozen=True)
class Model:
    """A base model that engines of a service can load."""

    name: str
    # Memory for its weights, megabytes.
    weights_mb: float
    # Expected duration of a load.
    load_s: float


@dataclasses.dataclass(frozen=True)
class Engine:
    """Capacity of each engine of a service."""

    # Requests that run in one batch.
    batch_slots: int
    # Capacity of the KV cache, tokens.
    kv_capacity: int
    # Memory for weights of models, megabytes.
    weights_mb: float
    # Adapters that can be loaded at a time.
    adapter_slots: int
    models: tuple[Model, ...]


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of targets that serve the same requests."""

    name: records.ServiceName
    # Connections that one target accepts from all entries together.
    max_connections: int
    # None for a plain service.
    engine: Engine | None


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Limits on the size and duration of a caller's request."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration:
    """One version of the routes, services and limits."""

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        limits: RequestLimits,
        directory: organisations.Directory | None = None,
    ) -> None:
        self.version = version
        # None if callers need no keys.
        self.organisations = directory
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        # Services whose streams may be resumed.
        self.resumable_services = frozenset(
            share.service
            for route in routes
            for share in route.shares
            if route.kind is RouteKind.STREAM and route.resumable
        )
        self.by_host: dict[str, dict[str, Route]] = {}
        self.prefix_lengths: dict[str, list[int]] = {}
        for route in routes:
            prefixes = self.by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route
            lengths = self.prefix_lengths.setdefault(route.host, [])
            if len(route.prefix) not in lengths:
                bisect.insort(lengths, len(route.prefix))

    def get_gap_slo_s(self, service: records.ServiceName) -> float | None:
        """Return the shortest objective for pauses of a service's streams."""
        return min(
            (
                route.gap_slo_s
                for route in self.routes
                if route.gap_slo_s is not None
                and any(share.service == service for share in route.shares)
            ),
            default=None,
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        A host with a port falls back to the routes of the host without it.
        Returns None when no route matches.
        """
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
