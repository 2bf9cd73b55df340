"""Checks a change against the merged state of every site."""

import collections
import collections.abc

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import items

MAX_ERRORS = 20
MIN_LOADS_PER_SECOND = 0.01


class ProposedConfig:
    """The configuration as it would be after a change."""

    def __init__(
        self,
        current: collections.abc.Mapping[str, bytes],
        binding_counts: collections.abc.Mapping[tuple[str, str], int],
        layer_sizes: collections.abc.Mapping[str, int],
        writes: collections.abc.Sequence[items.Write],
    ) -> None:
        self.current = current
        self.binding_counts = binding_counts
        self.layer_sizes = layer_sizes
        self.writes = {write.key: write.value for write in writes}

    def get(self, key: str) -> bytes | None:
        """Return an item's value after the change."""
        if key in self.writes:
            return self.writes[key]
        return self.current.get(key)

    def has(self, layer: str, kind: items.Kind, name: str) -> bool:
        """Tell whether an item exists after the change."""
        return self.get(items.make_key(layer, kind, name)) is not None

    def find_sites(self) -> dict[str, declarations.Site]:
        """Return every site after the change."""
        prefix = items.make_key(items.BASE_LAYER, items.Kind.SITE, "")
        keys = {key for key in self.current if key.startswith(prefix)}
        keys |= {key for key in self.writes if key.startswith(prefix)}
        found: dict[str, declarations.Site] = {}
        for key in sorted(keys):
            value = self.get(key)
            if value is None:
                continue
            path = items.parse_path(key)
            site = items.decode_value(path, value)
            assert isinstance(site, declarations.Site)
            found[path.name] = site
        return found


def find_errors(candidate: ProposedConfig) -> list[str]:
    """Return the reasons against a change, at most `MAX_REASONS`."""
    faults: list[str] = []
    sites = decode_sites(candidate, faults)
    for key, value in candidate.writes.items():
        if len(faults) >= MAX_ERRORS:
            return faults
        try:
            path = items.parse_path(key)
            check_write(candidate, sites, path, value)
        except exceptions.BadDeclarationError as fault:
            faults.append(str(fault))
    if writes_site(candidate):
        faults.extend(find_site_errors(candidate, sites))
    faults.extend(find_dangling_references(candidate))
    return faults[:MAX_ERRORS]


def writes_site(candidate: ProposedConfig) -> bool:
    """Tell whether the change writes a site."""
    prefix = items.make_key(items.BASE_LAYER, items.Kind.SITE, "")
    return any(key.startswith(prefix) for key in candidate.writes)


def decode_sites(
    candidate: ProposedConfig, faults: list[str]
) -> dict[str, declarations.Site]:
    """Return the sites, or none with the fault added."""
    try:
        return candidate.find_sites()
    except exceptions.BadDeclarationError as fault:
        faults.append(str(fault))
        return {}


def check_write(
    candidate: ProposedConfig,
    sites: collections.abc.Container[str],
    path: items.Path,
    value: bytes | None,
) -> None:
    """Check one written item.

    :raises BadDeclarationError: with the reason against it.
    """
    if value is None:
        return
    if path.layer != items.BASE_LAYER and path.layer not in sites:
        raise exceptions.BadDeclarationError(
            f"'{path}': site '{path.layer}' is not declared; add it to "
            "the base file first"
        )
    decoded = items.decode_value(path, value)
    match decoded:
        case declarations.Deployment():
            check_deployment(candidate, path, decoded)
        case declarations.DeploymentPatch():
            check_patch(candidate, path, decoded)
        case declarations.ServicePatch():
            require_in_base(candidate, path, items.Kind.SERVICE, path.name)
        case declarations.AdapterBinding():
            check_binding(candidate, path, decoded)
        case declarations.Site():
            check_site(path, decoded)


def check_deployment(
    candidate: ProposedConfig, path: items.Path, value: declarations.Deployment
) -> None:
    """Check a deployment's fields."""
    if not value.base_model or not value.service:
        raise exceptions.BadDeclarationError(
            f"'{path}': base_model and service must be set"
        )
    check_ranges(path, value)
    if candidate.has(items.BASE_LAYER, items.Kind.SERVICE, value.service):
        raise exceptions.BadDeclarationError(
            f"'{path}': '{value.service}' is declared as a plain service; "
            "engines and plain services need different names"
        )


def check_patch(
    candidate: ProposedConfig,
    path: items.Path,
    value: declarations.DeploymentPatch,
) -> None:
    """Check a site's changes to a deployment."""
    require_in_base(candidate, path, items.Kind.DEPLOYMENT, path.name)
    check_ranges(path, value)


def check_ranges(path: items.Path, value: msgspec.Struct) -> None:
    """Check numeric fields that are set."""
    for field in ("stall_weight", "batch_weight"):
        weight = getattr(value, field)
        if weight is not None and not 0.0 <= weight <= 1.0:
            raise exceptions.BadDeclarationError(
                f"'{path}': {field} is {weight}; use a value from 0 to 1"
            )
    hold_ms = value.hold_ms  # type: ignore[attr-defined]
    if hold_ms is not None and hold_ms < 0:
        raise exceptions.BadDeclarationError(
            f"'{path}': hold_ms is {hold_ms}; use 0 or more"
        )
    max_tokens = value.max_tokens  # type: ignore[attr-defined]
    if max_tokens is not None and max_tokens < 1:
        raise exceptions.BadDeclarationError(
            f"'{path}': max_tokens is {max_tokens}; use 1 or more"
        )


def check_site(path: items.Path, value: declarations.Site) -> None:
    """Check a site's fields."""
    if path.name == items.BASE_LAYER:
        raise exceptions.BadDeclarationError(
            f"'{items.BASE_LAYER}' cannot name a site"
        )
    if not value.weight_store_loads_per_second >= MIN_LOADS_PER_SECOND:
        raise exceptions.BadDeclarationError(
            f"'{path}': weight_store_loads_per_second must be at least "
            f"{MIN_LOADS_PER_SECOND}"
        )


def check_binding(
    candidate: ProposedConfig,
    path: items.Path,
    value: declarations.AdapterBinding,
) -> None:
    """Check which deployment serves an adapter."""
    adapters.parse_adapter(path.name)
    base_key = items.make_key(items.BASE_LAYER, items.Kind.ADAPTER, path.name)
    if not value.deployment:
        if path.layer == items.BASE_LAYER:
            raise exceptions.BadDeclarationError(
                f"'{path}': the base must name a deployment"
            )
        require_in_base(candidate, path, items.Kind.ADAPTER, path.name)
        return
    require_in_base(candidate, path, items.Kind.DEPLOYMENT, value.deployment)
    if path.layer != items.BASE_LAYER and candidate.get(base_key) is not None:
        raise exceptions.BadDeclarationError(
            f"'{path}': the base already serves adapter {path.name}; remove "
            "it from the overlay or from the base"
        )


def require_in_base(
    candidate: ProposedConfig, path: items.Path, kind: items.Kind, name: str
) -> None:
    """Require that the base declares an item."""
    if candidate.has(items.BASE_LAYER, kind, name):
        return
    raise exceptions.BadDeclarationError(
        f"'{path}': the base declares no {kind.value} '{name}'"
    )


def find_site_errors(
    candidate: ProposedConfig, sites: dict[str, declarations.Site]
) -> list[str]:
    """Return faults between sites."""
    faults: list[str] = []
    owners: dict[str, str] = {}
    for name, site in sites.items():
        for data_centre in site.data_centres:
            if data_centre in owners:
                faults.append(
                    f"data centre '{data_centre}' belongs to sites "
                    f"'{owners[data_centre]}' and '{name}'; keep one"
                )
            owners[data_centre] = name
    changes = count_layer_changes(candidate)
    for layer in candidate.layer_sizes:
        size = candidate.layer_sizes[layer] + changes[layer]
        if layer != items.BASE_LAYER and layer not in sites and size > 0:
            faults.append(
                f"site '{layer}' is removed but its overlay still has "
                f"{size} items; remove the overlay too"
            )
    return faults


def count_layer_changes(candidate: ProposedConfig) -> collections.Counter[str]:
    """Return by how many items the change grows each layer."""
    changes: collections.Counter[str] = collections.Counter()
    for key, value in candidate.writes.items():
        layer = key.split(items.SEPARATOR, 1)[0]
        existed = key in candidate.current
        changes[layer] += int(value is not None) - int(existed)
    return changes


def find_dangling_references(candidate: ProposedConfig) -> list[str]:
    """Return items whose base declaration the change deletes."""
    deleted = [
        items.parse_path(key)
        for key, value in candidate.writes.items()
        if value is None and is_item_key(key)
    ]
    base_deleted = [path for path in deleted if path.layer == items.BASE_LAYER]
    layers = [
        layer for layer in candidate.layer_sizes if layer != items.BASE_LAYER
    ]
    faults: list[str] = []
    counts = count_bindings_after(candidate)
    for path in base_deleted:
        if path.kind is items.Kind.DEPLOYMENT:
            faults.extend(find_dangling_bindings(path, counts))
        for layer in layers:
            if candidate.has(layer, path.kind, path.name):
                faults.append(
                    f"'{path}' is deleted but the overlay of site "
                    f"'{layer}' still changes it"
                )
    faults.extend(find_duplicate_bindings(candidate, layers))
    return faults


def find_duplicate_bindings(
    candidate: ProposedConfig, layers: list[str]
) -> list[str]:
    """Return adapters newly served by the base and by an overlay."""
    prefix = items.make_key(items.BASE_LAYER, items.Kind.ADAPTER, "")
    faults: list[str] = []
    for key, value in candidate.writes.items():
        if value is None or not key.startswith(prefix):
            continue
        name = key[len(prefix) :]
        for layer in layers:
            other = candidate.get(
                items.make_key(layer, items.Kind.ADAPTER, name)
            )
            if other is not None and get_bound_deployment(other):
                faults.append(
                    f"adapter {name} is served by the base and by the "
                    f"overlay of site '{layer}'; keep one"
                )
    return faults


def is_item_key(key: str) -> bool:
    """Tell whether a key has the form of an item's key."""
    try:
        items.parse_path(key)
    except exceptions.BadDeclarationError:
        return False
    return True


def find_dangling_bindings(
    path: items.Path, counts: collections.Counter[tuple[str, str]]
) -> list[str]:
    """Return a fault if adapters still name a deleted deployment."""
    left = sum(
        count for (_, name), count in counts.items() if name == path.name
    )
    if left <= 0:
        return []
    return [
        f"deployment '{path.name}' is deleted but {left} adapters still "
        "name it; remove or move them too"
    ]


def count_bindings_after(
    candidate: ProposedConfig,
) -> collections.Counter[tuple[str, str]]:
    """Return adapters a layer and deployment after the change."""
    counts = collections.Counter(dict(candidate.binding_counts))
    marker = items.SEPARATOR + items.Kind.ADAPTER.value + items.SEPARATOR
    for key, value in candidate.writes.items():
        if marker not in key:
            continue
        layer = key.split(items.SEPARATOR, 1)[0]
        old = candidate.current.get(key)
        if old is not None:
            counts[layer, get_bound_deployment(old)] -= 1
        if value is not None:
            counts[layer, get_bound_deployment(value)] += 1
    return counts


def get_bound_deployment(value: bytes) -> str:
    """Return the deployment in an encoded binding; empty for none."""
    try:
        return msgspec.json.decode(
            value, type=declarations.AdapterBinding
        ).deployment
    except msgspec.DecodeError:
        return ""
