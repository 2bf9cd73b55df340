"""Reads declaration files and computes the change they ask for."""

import pathlib
import tomllib
import typing

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import items

ItemMap = dict[str, bytes]
_File = typing.TypeVar("_File", bound=msgspec.Struct)


def read_file(path: pathlib.Path, kind: type[_File]) -> _File:
    """Read one TOML file.

    :raises BadDeclarationError: with the file's name and the path of the
        fault inside it.
    """
    try:
        data = tomllib.loads(path.read_text())
    except OSError as fault:
        raise exceptions.BadDeclarationError(
            f"cannot read {path}: {fault.strerror}"
        ) from fault
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise exceptions.BadDeclarationError(
            f"{path} is not valid TOML: {fault}"
        ) from fault
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as fault:
        raise exceptions.BadDeclarationError(f"{path}: {fault}") from fault


def make_base_items(base: declarations.BaseFile) -> ItemMap:
    """Return the items of a base file.

    :raises BadDeclarationError: when two declarations clash.
    """
    if base.format != declarations.FORMAT:
        raise exceptions.BadDeclarationError(
            f"format {base.format} is unknown; this version reads "
            f"format {declarations.FORMAT}"
        )
    found: ItemMap = {}
    for name, site in base.sites.items():
        put(found, items.BASE_LAYER, items.Kind.SITE, name, site)
    for name, service in base.services.items():
        put(found, items.BASE_LAYER, items.Kind.SERVICE, name, service)
    for name, declared in base.deployments.items():
        put_deployment(found, name, declared)
    return found


def put_deployment(
    found: ItemMap, name: str, declared: declarations.DeclaredDeployment
) -> None:
    """Add the items of one deployment."""
    fields = msgspec.structs.asdict(declared)
    names = fields.pop("adapters")
    put(
        found,
        items.BASE_LAYER,
        items.Kind.DEPLOYMENT,
        name,
        declarations.Deployment(**fields),
    )
    binding = declarations.AdapterBinding(name)
    for text in names:
        put_adapter(found, items.BASE_LAYER, text, binding, name)


def put_adapter(
    found: ItemMap,
    layer: str,
    text: str,
    binding: declarations.AdapterBinding,
    deployment: str,
) -> None:
    """Add one adapter's binding; a second one is a clash."""
    ref = adapters.parse_adapter(text)
    key = items.make_key(layer, items.Kind.ADAPTER, str(ref))
    if key in found:
        raise exceptions.BadDeclarationError(
            f"adapter {ref} is declared twice (again in deployment "
            f"'{deployment}'); keep one of them"
        )
    found[key] = items.encode_value(binding)


def put(
    found: ItemMap,
    layer: str,
    kind: items.Kind,
    name: str,
    value: msgspec.Struct,
) -> None:
    """Add one item."""
    if not name or items.SEPARATOR in name:
        raise exceptions.BadDeclarationError(
            f"'{name}' cannot name a {kind.value}; use a name without "
            f"'{items.SEPARATOR}'"
        )
    found[items.make_key(layer, kind, name)] = items.encode_value(value)


def make_overlay_items(
    site: str, overlay: declarations.OverlayFile
) -> ItemMap:
    """Return the items of one site's overlay."""
    found: ItemMap = {}
    for name, service in overlay.services.items():
        put(found, site, items.Kind.SERVICE, name, service)
    for name, declared in overlay.deployments.items():
        fields = msgspec.structs.asdict(declared)
        added = fields.pop("add_adapters")
        removed = fields.pop("remove_adapters")
        patch = declarations.DeploymentPatch(**fields)
        put(found, site, items.Kind.DEPLOYMENT, name, patch)
        bound = declarations.AdapterBinding(name)
        for text in added:
            put_adapter(found, site, text, bound, name)
        unbound = declarations.AdapterBinding("")
        for text in removed:
            put_adapter(found, site, text, unbound, name)
    return found


def diff_items(
    current: typing.Mapping[str, bytes],
    wanted: ItemMap,
    layers: frozenset[str],
) -> list[items.Write]:
    """Return the writes that turn ``current`` into ``wanted``.

    Items of layers that are not in ``layers`` stay as they are.
    """
    writes = [
        items.Write(key, value)
        for key, value in wanted.items()
        if current.get(key) != value
    ]
    writes.extend(
        items.Write(key, None)
        for key in current
        if key not in wanted and key.split(items.SEPARATOR, 1)[0] in layers
    )
    return sorted(writes, key=lambda write: write.key)


def make_declared_items(
    base_path: pathlib.Path, overlays: dict[str, pathlib.Path]
) -> ItemMap:
    """Return the items of a base file and its overlays.

    :raises BadDeclarationError: when a file is invalid or an overlay names
        a site that the base file does not declare.
    """
    base = read_file(base_path, declarations.BaseFile)
    wanted = make_base_items(base)
    for site, path in overlays.items():
        if site not in base.sites:
            known = ", ".join(sorted(base.sites)) or "none"
            raise exceptions.BadDeclarationError(
                f"overlay for unknown site '{site}'; sites declared in "
                f"{base_path}: {known}"
            )
        overlay = read_file(path, declarations.OverlayFile)
        wanted.update(make_overlay_items(site, overlay))
    return wanted
