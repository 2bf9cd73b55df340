"""Reads declaration files and computes the changes that apply them."""

import pathlib
import tomllib
import typing

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import items

# Encoded values of configuration items by key.
ItemMap = dict[str, bytes]
_File = typing.TypeVar("_File", bound=msgspec.Struct)


def read_file(path: pathlib.Path, file_type: type[_File]) -> _File:
    """Read a TOML file and convert it to a structure.

    :raises BadDeclarationError: when the file cannot be read, is not TOML or
        does not fit the structure; the message names the file and the field.
    """
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise exceptions.BadDeclarationError(
            f"cannot read {path}: {error.strerror}"
        ) from error
    except (ValueError, RecursionError) as error:
        raise exceptions.BadDeclarationError(
            f"{path} is not valid TOML: {error}"
        ) from error
    try:
        return msgspec.convert(data, file_type)
    except msgspec.ValidationError as error:
        raise exceptions.BadDeclarationError(f"{path}: {error}") from error


def make_base_items(base: declarations.BaseFile) -> ItemMap:
    """Return the items of a base file.

    :raises BadDeclarationError: when the format is unknown, a name is
        invalid or an adapter is declared twice.
    """
    if base.format != declarations.FORMAT:
        raise exceptions.BadDeclarationError(
            f"format {base.format} is not supported; this version reads "
            f"format {declarations.FORMAT}"
        )
    declared_items: ItemMap = {}
    for name, site in base.sites.items():
        add_item(declared_items, items.BASE_LAYER, items.Kind.SITE, name, site)
    for name, service in base.services.items():
        add_item(
            declared_items, items.BASE_LAYER, items.Kind.SERVICE, name, service
        )
    for name, declared in base.deployments.items():
        add_deployment(declared_items, name, declared)
    return declared_items


def add_deployment(
    declared_items: ItemMap,
    name: str,
    declared: declarations.DeclaredDeployment,
) -> None:
    """Add the items of one deployment and its adapters."""
    fields = msgspec.structs.asdict(declared)
    names = fields.pop("adapters")
    add_item(
        declared_items,
        items.BASE_LAYER,
        items.Kind.DEPLOYMENT,
        name,
        declarations.Deployment(**fields),
    )
    binding = declarations.AdapterBinding(name)
    for text in names:
        add_adapter(declared_items, items.BASE_LAYER, text, binding, name)


def add_adapter(
    declared_items: ItemMap,
    layer: str,
    text: str,
    binding: declarations.AdapterBinding,
    deployment: str,
) -> None:
    """Add the binding of one adapter.

    :raises BadDeclarationError: when the layer binds the adapter already.
    """
    ref = adapters.parse_adapter(text)
    key = items.make_key(layer, items.Kind.ADAPTER, str(ref))
    if key in declared_items:
        raise exceptions.BadDeclarationError(
            f"adapter {ref} is declared twice (again in deployment "
            f"'{deployment}'); keep one of them"
        )
    declared_items[key] = items.encode_value(binding)


def add_item(
    declared_items: ItemMap,
    layer: str,
    kind: items.Kind,
    name: str,
    value: msgspec.Struct,
) -> None:
    """Add one item.

    :raises BadDeclarationError: when the name is empty or contains the
        separator of keys.
    """
    if not name or items.SEPARATOR in name:
        raise exceptions.BadDeclarationError(
            f"'{name}' is not a valid name of a {kind.value}; use a "
            f"non-empty name without '{items.SEPARATOR}'"
        )
    declared_items[items.make_key(layer, kind, name)] = items.encode_value(
        value
    )


def make_overlay_items(
    site: str, overlay: declarations.OverlayFile
) -> ItemMap:
    """Return the items of one site's overlay.

    An adapter that the overlay removes is bound to no deployment.
    """
    declared_items: ItemMap = {}
    for name, service in overlay.services.items():
        add_item(declared_items, site, items.Kind.SERVICE, name, service)
    for name, declared in overlay.deployments.items():
        fields = msgspec.structs.asdict(declared)
        added = fields.pop("add_adapters")
        removed = fields.pop("remove_adapters")
        patch = declarations.DeploymentPatch(**fields)
        add_item(declared_items, site, items.Kind.DEPLOYMENT, name, patch)
        added_binding = declarations.AdapterBinding(name)
        for text in added:
            add_adapter(declared_items, site, text, added_binding, name)
        removed_binding = declarations.AdapterBinding("")
        for text in removed:
            add_adapter(declared_items, site, text, removed_binding, name)
    return declared_items


def diff_items(
    current: typing.Mapping[str, bytes],
    desired: ItemMap,
    layers: frozenset[str],
) -> list[items.Write]:
    """Return the writes that turn ``current`` into ``desired``.

    Items of layers that are not in ``layers`` are not deleted.
    """
    writes = [
        items.Write(key, value)
        for key, value in desired.items()
        if current.get(key) != value
    ]
    writes.extend(
        items.Write(key, None)
        for key in current
        if key not in desired and key.split(items.SEPARATOR, 1)[0] in layers
    )
    return sorted(writes, key=lambda write: write.key)


def make_declared_items(
    base_path: pathlib.Path, overlays: dict[str, pathlib.Path]
) -> ItemMap:
    """Return the items that a base file and its overlays declare.

    ``overlays`` holds the path of each site's overlay file.

    :raises BadDeclarationError: when a file is invalid or an overlay names
        a site that the base file does not declare.
    """
    base = read_file(base_path, declarations.BaseFile)
    desired = make_base_items(base)
    for site, path in overlays.items():
        if site not in base.sites:
            known = ", ".join(sorted(base.sites)) or "none"
            raise exceptions.BadDeclarationError(
                f"overlay for unknown site '{site}'; sites declared in "
                f"{base_path}: {known}"
            )
        overlay = read_file(path, declarations.OverlayFile)
        desired.update(make_overlay_items(site, overlay))
    return desired
