"""Decodes the platform's configurations."""

import math

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.discovery import records
from hemlockkeel._internal.routes import codec
from hemlockkeel._internal.routes import organisations
from hemlockkeel._internal.routes import table
from hemlockkeel._internal.utils import strict_json
from hemlockkeel.platform import fields

ROUTE_KINDS = {
    "safe": table.RouteKind.IDEMPOTENT,
    "unsafe": table.RouteKind.ONCE,
    "streaming": table.RouteKind.STREAM,
}
QUOTA_UNITS = {
    "requests": organisations.QuotaUnit.REQUESTS,
    "tokens": organisations.QuotaUnit.TOKENS,
}
MS_PER_S = 1000.0


class JsonConfigurationCodec(codec.ConfigurationCodec):
    """Decodes configurations that operators write in JSON."""

    def decode(self, body: bytes) -> table.Configuration:
        try:
            return read_configuration(strict_json.parse_object(body))
        except ValueError as error:
            raise exceptions.BadDeclarationError(str(error)) from error


def read_configuration(source: fields.JsonObject) -> table.Configuration:
    """Return the configuration in a JSON object.

    :raises ValueError: when it is invalid.
    """
    # Version 0 stands for no configuration.
    version = fields.get_int(source, "version", minimum=1)
    services = [
        read_service(item) for item in fields.get_objects(source, "services")
    ]
    check_services(services)
    routes = [
        read_route(item) for item in fields.get_objects(source, "routes")
    ]
    check_routes(routes, {service.name for service in services})
    return table.Configuration(
        version,
        routes,
        services,
        read_limits(source),
        read_directory(source),
    )


def check_services(services: list[table.Service]) -> None:
    """Check that no two services have the same name.

    :raises ValueError: when two do, so that a route's service is ambiguous.
    """
    names = set()
    for service in services:
        if service.name in names:
            raise ValueError(f"two services have the name {service.name}")
        names.add(service.name)


def check_routes(
    routes: list[table.Route], services: set[records.ServiceName]
) -> None:
    """Check the services and prefixes of the routes.

    :raises ValueError: when a route names an unknown service, or two routes
        have the same host and prefix.
    """
    locations = set()
    for route in routes:
        for share in route.shares:
            if share.service not in services:
                raise ValueError(
                    f"route {route.name} names the unknown service "
                    f"{share.service}"
                )
        location = (route.host, route.prefix)
        if location in locations:
            raise ValueError(
                f"two routes have the host and prefix {route.host}"
                f"{route.prefix}"
            )
        locations.add(location)


def read_route(source: fields.JsonObject) -> table.Route:
    """Return a route.

    :raises ValueError: when a field is missing or invalid.
    """
    name = fields.get_string(source, "name")
    prefix = fields.get_string(source, "pathPrefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(
            f"route {name}: pathPrefix must begin and end with a slash"
        )
    timeout_ms = fields.get_number(source, "timeoutMs")
    if timeout_ms <= 0:
        raise ValueError(f"route {name}: timeoutMs must be greater than 0")
    # Requests of an unknown kind are never run twice.
    kind = ROUTE_KINDS.get(
        fields.get_string(source, "kind"), table.RouteKind.ONCE
    )
    return table.Route(
        name,
        fields.get_string(source, "host").lower(),
        prefix,
        kind,
        timeout_ms / MS_PER_S,
        fields.get_number(source, "sloMs", timeout_ms) / MS_PER_S,
        fields.get_int(source, "priority", 0, minimum=0),
        read_shares(source, name),
        max(1, fields.get_int(source, "attempts", 1)),
        fields.get_bool(source, "resumable"),
        fields.get_bool(source, "public"),
        read_gap_slo_s(source, name),
    )


def read_gap_slo_s(source: fields.JsonObject, name: str) -> float | None:
    """Return the objective for pauses between events; None without one.

    :raises ValueError: when it is no number or negative.
    """
    if source.get("gapAimMs") is None:
        return None
    gap_ms = fields.get_number(source, "gapAimMs")
    if gap_ms < 0:
        raise ValueError(f"route {name}: gapAimMs must not be negative")
    return gap_ms / MS_PER_S or None


def read_shares(
    source: fields.JsonObject, name: str
) -> tuple[table.TrafficShare, ...]:
    """Return the services of a route with their weights.

    :raises ValueError: when a weight is negative or all are 0.
    """
    if "trafficSplit" not in source:
        service = records.ServiceName(fields.get_string(source, "service"))
        return (table.TrafficShare(service, 1.0),)
    shares = tuple(
        table.TrafficShare(
            records.ServiceName(fields.get_string(item, "service")),
            fields.get_number(item, "weight"),
        )
        for item in fields.get_objects(source, "trafficSplit")
    )
    if any(share.weight < 0 for share in shares):
        raise ValueError(f"route {name}: a weight in trafficSplit is negative")
    total = sum(share.weight for share in shares)
    if total <= 0:
        raise ValueError(f"route {name}: all weights in trafficSplit are 0")
    if not math.isfinite(total):
        raise ValueError(f"route {name}: the weights are too large")
    return shares


def read_service(source: fields.JsonObject) -> table.Service:
    """Return a service; one without an engine is a plain service."""
    engine = source.get("engine")
    if engine is not None and not isinstance(engine, dict):
        raise ValueError("engine must be an object")
    return table.Service(
        records.ServiceName(fields.get_string(source, "name")),
        fields.get_int(source, "maxConnections", 100, minimum=0),
        None if engine is None else read_engine(engine),
    )


def read_engine(source: fields.JsonObject) -> table.Engine:
    """Return the capacity of a service's engines."""
    models = tuple(
        table.Model(
            fields.get_string(item, "name"),
            fields.get_number(item, "weightsMb", 0.0, minimum=0.0),
            fields.get_number(item, "loadTimeS", 0.0, minimum=0.0),
        )
        for item in fields.get_objects(source, "models")
    )
    return table.Engine(
        fields.get_int(source, "slots", 1, minimum=0),
        fields.get_int(source, "kvCapacity", 0, minimum=0),
        # Memory for the weights of models and adapters together.
        fields.get_number(source, "weightsMb", 0.0, minimum=0.0),
        fields.get_int(source, "adapterSlots", 0, minimum=0),
        models,
    )


def read_directory(
    source: fields.JsonObject,
) -> organisations.Directory | None:
    """Return the organisations; None if the configuration has no such field.

    An empty list lets nobody in, as if the last organisation were removed.

    :raises ValueError: when one is invalid, or two share a name or a key. The
        text contains no key.
    """
    if source.get("tenants") is None:
        return None
    holders: dict[organisations.KeyDigest, organisations.Organisation] = {}
    names = set()
    for item in fields.get_objects(source, "tenants"):
        organisation = read_organisation(item)
        if organisation.name in names:
            raise ValueError(
                f"two organisations have the name {organisation.name}"
            )
        names.add(organisation.name)
        for digest in read_key_digests(item, organisation.name):
            holder = holders.setdefault(digest, organisation)
            if holder is not organisation:
                raise ValueError(
                    f"organisations {holder.name} and {organisation.name} "
                    "have a key in common"
                )
    return organisations.Directory(holders)


def read_organisation(
    source: fields.JsonObject,
) -> organisations.Organisation:
    """Return an organisation without its keys.

    :raises ValueError: when a field is missing or invalid.
    """
    name = fields.get_string(source, "name")
    # Targets get the name in a header.
    if not name.isprintable() or name != name.strip():
        raise ValueError("the name of an organisation must be printable")
    try:
        priority = None
        if "priority" in source:
            priority = fields.get_int(source, "priority", minimum=0)
        return organisations.Organisation(
            organisations.OrganisationName(name), priority, read_quota(source)
        )
    except ValueError as error:
        raise ValueError(f"organisation {name}: {error}") from error


def read_quota(source: fields.JsonObject) -> organisations.Quota | None:
    """Return an organisation's quota; None if its requests are not limited.

    :raises ValueError: when a field is invalid.
    """
    rate = fields.get_number(source, "ratePerS", 0.0, minimum=0.0)
    burst = fields.get_number(source, "burst", 0.0, minimum=0.0)
    plain_units = fields.get_number(source, "plainTokens", 0.0, minimum=0.0)
    unit = QUOTA_UNITS.get(fields.get_string(source, "unit", "requests"))
    if unit is None:
        raise ValueError(f"unit must be one of {', '.join(QUOTA_UNITS)}")
    if rate == 0:
        return None
    # Without a burst, that of one second.
    return organisations.Quota(unit, rate, burst or rate, plain_units)


def read_key_digests(
    source: fields.JsonObject, name: organisations.OrganisationName
) -> list[organisations.KeyDigest]:
    """Return the digests of an organisation's keys.

    :raises ValueError: when the keys are no list of non-empty strings.
    """
    keys = source.get("apiKeys")
    if not isinstance(keys, list) or not all(
        isinstance(key, str) and key for key in keys
    ):
        raise ValueError(
            f"organisation {name}: apiKeys must be a list of strings that "
            "are not empty"
        )
    return [organisations.make_digest(key.encode()) for key in keys]


def read_limits(source: fields.JsonObject) -> table.RequestLimits:
    """Return the limits on callers' requests.

    Limits that the configuration does not set have their defaults.
    """
    limits = source.get("limits")
    if limits is None:
        return table.RequestLimits()
    if not isinstance(limits, dict):
        raise ValueError("limits must be an object")
    base = table.RequestLimits()
    return table.RequestLimits(
        fields.get_int(limits, "maxHeaderBytes", base.header_bytes, minimum=1),
        fields.get_int(limits, "maxBodyBytes", base.body_bytes, minimum=0),
        read_timeout_s(limits, "headerTimeoutMs", base.header_timeout_s),
        read_timeout_s(limits, "idleTimeoutMs", base.idle_timeout_s),
    )


def read_timeout_s(
    source: fields.JsonObject, name: str, default_s: float
) -> float:
    """Return a time limit given in milliseconds, in seconds.

    :raises ValueError: when no request could keep it.
    """
    timeout_ms = fields.get_number(source, name, default_s * MS_PER_S)
    if timeout_ms <= 0:
        raise ValueError(f"{name} must be greater than 0")
    return timeout_ms / MS_PER_S
