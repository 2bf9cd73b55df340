"""Validates the configuration that a change would result in.

The error messages become part of the replicated state, in the outcome of the
change and in the audit trail. Members of two builds that word a message
differently would store different texts.
"""

import collections
import collections.abc

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import items

# Errors reported for one change.
MAX_ERRORS = 20
MIN_LOADS_PER_SECOND = 0.01


class ProposedConfig:
    """The configuration as it would be after a change.

    ``binding_counts`` and ``layer_sizes`` are those of the current
    configuration, before the change.
    """

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
        """Return an item's value after the change; None if it is absent."""
        if key in self.writes:
            return self.writes[key]
        return self.current.get(key)

    def has(self, layer: str, kind: items.Kind, name: str) -> bool:
        """Return whether an item exists after the change."""
        return self.get(items.make_key(layer, kind, name)) is not None

    def find_sites(self) -> dict[str, declarations.Site]:
        """Return every site after the change, by name.

        :raises BadDeclarationError: when a written site cannot be decoded.
        """
        prefix = items.make_key(items.BASE_LAYER, items.Kind.SITE, "")
        keys = {key for key in self.current if key.startswith(prefix)}
        keys |= {key for key in self.writes if key.startswith(prefix)}
        sites: dict[str, declarations.Site] = {}
        for key in sorted(keys):
            value = self.get(key)
            if value is None:
                continue
            path = items.parse_path(key)
            site = items.decode_value(path, value)
            assert isinstance(site, declarations.Site)
            sites[path.name] = site
        return sites


def find_errors(proposed: ProposedConfig) -> list[str]:
    """Return the errors of a change, at most `MAX_ERRORS`; empty if valid."""
    errors: list[str] = []
    sites = decode_sites(proposed, errors)
    for key, value in proposed.writes.items():
        if len(errors) >= MAX_ERRORS:
            return errors
        try:
            path = items.parse_path(key)
            check_write(proposed, sites, path, value)
        except exceptions.BadDeclarationError as error:
            errors.append(str(error))
    if writes_site(proposed):
        errors.extend(find_site_errors(proposed, sites))
    errors.extend(find_dangling_references(proposed))
    return errors[:MAX_ERRORS]


def writes_site(proposed: ProposedConfig) -> bool:
    """Return whether the change writes a site."""
    prefix = items.make_key(items.BASE_LAYER, items.Kind.SITE, "")
    return any(key.startswith(prefix) for key in proposed.writes)


def decode_sites(
    proposed: ProposedConfig, errors: list[str]
) -> dict[str, declarations.Site]:
    """Return the sites; on failure, append to ``errors`` and return none."""
    try:
        return proposed.find_sites()
    except exceptions.BadDeclarationError as error:
        errors.append(str(error))
        return {}


def check_write(
    proposed: ProposedConfig,
    sites: collections.abc.Container[str],
    path: items.Path,
    value: bytes | None,
) -> None:
    """Check one written item.

    :raises BadDeclarationError: when the item is invalid.
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
            check_deployment(proposed, path, decoded)
        case declarations.DeploymentPatch():
            check_patch(proposed, path, decoded)
        case declarations.ServicePatch():
            require_in_base(proposed, path, items.Kind.SERVICE, path.name)
        case declarations.AdapterBinding():
            check_binding(proposed, path, decoded)
        case declarations.Site():
            check_site(path, decoded)


def check_deployment(
    proposed: ProposedConfig, path: items.Path, value: declarations.Deployment
) -> None:
    """Check the fields of a deployment.

    :raises BadDeclarationError: when a field is invalid.
    """
    if not value.base_model or not value.service:
        raise exceptions.BadDeclarationError(
            f"'{path}': base_model and service must be set"
        )
    check_ranges(path, value)
    if proposed.has(items.BASE_LAYER, items.Kind.SERVICE, value.service):
        raise exceptions.BadDeclarationError(
            f"'{path}': '{value.service}' is declared as a plain service; "
            "engines and plain services need different names"
        )


def check_patch(
    proposed: ProposedConfig,
    path: items.Path,
    value: declarations.DeploymentPatch,
) -> None:
    """Check the fields of a deployment that a site overrides.

    :raises BadDeclarationError: when the base has no such deployment or a
        field is invalid.
    """
    require_in_base(proposed, path, items.Kind.DEPLOYMENT, path.name)
    check_ranges(path, value)


def check_ranges(path: items.Path, value: msgspec.Struct) -> None:
    """Check the range of the numeric fields that are set.

    :raises BadDeclarationError: when a field is out of range.
    """
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
    """Check the name and the fields of a site.

    :raises BadDeclarationError: when one of them is invalid.
    """
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
    proposed: ProposedConfig,
    path: items.Path,
    value: declarations.AdapterBinding,
) -> None:
    """Check an adapter's binding to a deployment.

    :raises BadDeclarationError: when the deployment or the adapter is not
        declared in the base, or the base and an overlay bind the adapter.
    """
    adapters.parse_adapter(path.name)
    base_key = items.make_key(items.BASE_LAYER, items.Kind.ADAPTER, path.name)
    if not value.deployment:
        if path.layer == items.BASE_LAYER:
            raise exceptions.BadDeclarationError(
                f"'{path}': the base must name a deployment"
            )
        require_in_base(proposed, path, items.Kind.ADAPTER, path.name)
        return
    require_in_base(proposed, path, items.Kind.DEPLOYMENT, value.deployment)
    if path.layer != items.BASE_LAYER and proposed.get(base_key) is not None:
        raise exceptions.BadDeclarationError(
            f"'{path}': the base already serves adapter {path.name}; remove "
            "it from the overlay or from the base"
        )


def require_in_base(
    proposed: ProposedConfig, path: items.Path, kind: items.Kind, name: str
) -> None:
    """Require that the base declares an item.

    :raises BadDeclarationError: when it does not.
    """
    if proposed.has(items.BASE_LAYER, kind, name):
        return
    raise exceptions.BadDeclarationError(
        f"'{path}': the base declares no {kind.value} '{name}'"
    )


def find_site_errors(
    proposed: ProposedConfig, sites: dict[str, declarations.Site]
) -> list[str]:
    """Return errors that involve several items of sites.

    A data centre may belong to one site only, and a site that is removed
    must not leave overlay items behind.
    """
    errors: list[str] = []
    site_by_data_centre: dict[str, str] = {}
    for name, site in sites.items():
        for data_centre in site.data_centres:
            if data_centre in site_by_data_centre:
                errors.append(
                    f"data centre '{data_centre}' belongs to sites "
                    f"'{site_by_data_centre[data_centre]}' and '{name}'; "
                    "keep one"
                )
            site_by_data_centre[data_centre] = name
    changes = count_layer_changes(proposed)
    for layer in proposed.layer_sizes:
        size = proposed.layer_sizes[layer] + changes[layer]
        if layer != items.BASE_LAYER and layer not in sites and size > 0:
            errors.append(
                f"site '{layer}' is removed but its overlay still has "
                f"{size} items; remove the overlay too"
            )
    return errors


def count_layer_changes(proposed: ProposedConfig) -> collections.Counter[str]:
    """Return the change in the number of items of each layer."""
    changes: collections.Counter[str] = collections.Counter()
    for key, value in proposed.writes.items():
        layer = key.split(items.SEPARATOR, 1)[0]
        existed = key in proposed.current
        changes[layer] += int(value is not None) - int(existed)
    return changes


def find_dangling_references(proposed: ProposedConfig) -> list[str]:
    """Return errors for references to base items that the change deletes.

    Adapters that the base and an overlay both serve are returned as well.
    """
    deleted = [
        items.parse_path(key)
        for key, value in proposed.writes.items()
        if value is None and is_item_key(key)
    ]
    base_deleted = [path for path in deleted if path.layer == items.BASE_LAYER]
    layers = [
        layer for layer in proposed.layer_sizes if layer != items.BASE_LAYER
    ]
    errors: list[str] = []
    counts = count_bindings(proposed)
    for path in base_deleted:
        if path.kind is items.Kind.DEPLOYMENT:
            errors.extend(find_dangling_bindings(path, counts))
        for layer in layers:
            if proposed.has(layer, path.kind, path.name):
                errors.append(
                    f"'{path}' is deleted but the overlay of site "
                    f"'{layer}' still changes it"
                )
    errors.extend(find_duplicate_bindings(proposed, layers))
    return errors


def find_duplicate_bindings(
    proposed: ProposedConfig, layers: list[str]
) -> list[str]:
    """Return errors for adapters added to the base that an overlay serves."""
    prefix = items.make_key(items.BASE_LAYER, items.Kind.ADAPTER, "")
    errors: list[str] = []
    for key, value in proposed.writes.items():
        if value is None or not key.startswith(prefix):
            continue
        name = key[len(prefix) :]
        for layer in layers:
            overlay_value = proposed.get(
                items.make_key(layer, items.Kind.ADAPTER, name)
            )
            if overlay_value is not None and get_bound_deployment(
                overlay_value
            ):
                errors.append(
                    f"adapter {name} is served by the base and by the "
                    f"overlay of site '{layer}'; keep one"
                )
    return errors


def is_item_key(key: str) -> bool:
    """Return whether a key has the form of an item's key."""
    try:
        items.parse_path(key)
    except exceptions.BadDeclarationError:
        return False
    return True


def find_dangling_bindings(
    path: items.Path, counts: collections.Counter[tuple[str, str]]
) -> list[str]:
    """Return an error if adapters are still bound to a deleted deployment."""
    remaining = sum(
        count for (_, name), count in counts.items() if name == path.name
    )
    if remaining <= 0:
        return []
    return [
        f"deployment '{path.name}' is deleted but {remaining} adapters still "
        "name it; remove or move them too"
    ]


def count_bindings(
    proposed: ProposedConfig,
) -> collections.Counter[tuple[str, str]]:
    """Return the adapters per (layer, deployment) after the change."""
    counts = collections.Counter(dict(proposed.binding_counts))
    marker = items.SEPARATOR + items.Kind.ADAPTER.value + items.SEPARATOR
    for key, value in proposed.writes.items():
        if marker not in key:
            continue
        layer = key.split(items.SEPARATOR, 1)[0]
        old = proposed.current.get(key)
        if old is not None:
            counts[layer, get_bound_deployment(old)] -= 1
        if value is not None:
            counts[layer, get_bound_deployment(value)] += 1
    return counts


def get_bound_deployment(value: bytes) -> str:
    """Return the deployment of an encoded binding.

    Empty if the binding is to no deployment or cannot be decoded.
    """
    try:
        return msgspec.json.decode(
            value, type=declarations.AdapterBinding
        ).deployment
    except msgspec.DecodeError:
        return ""
