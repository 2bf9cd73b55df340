"""Configuration as a flat map of items.

A declaration becomes items such as ``base/adapter/club-1@3`` so that a
change is the set of items it writes, and two changes to different items do
not collide. Values are JSON.
"""

import enum
import typing

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import declarations

SEPARATOR = "/"
BASE_LAYER = "base"


class Kind(enum.Enum):
    """Kinds of configuration items."""

    SITE = "site"
    DEPLOYMENT = "deployment"
    ADAPTER = "adapter"
    SERVICE = "service"


class Path(typing.NamedTuple):
    """Address of an item; ``layer`` is ``base`` or a site's name."""

    layer: str
    kind: Kind
    name: str

    def __str__(self) -> str:
        return SEPARATOR.join((self.layer, self.kind.value, self.name))


class Write(msgspec.Struct, frozen=True, array_like=True):
    """One item written; a value of None deletes it."""

    key: str
    value: bytes | None


def parse_path(key: str) -> Path:
    """Parse an item's key.

    :raises BadDeclarationError: when the key has another form.
    """
    parts = key.split(SEPARATOR, 2)
    if len(parts) != 3 or not all(parts):
        raise exceptions.BadDeclarationError(f"'{key}' is not an item key")
    try:
        kind = Kind(parts[1])
    except ValueError as fault:
        raise exceptions.BadDeclarationError(
            f"'{key}' names no known kind of item"
        ) from fault
    return Path(parts[0], kind, parts[2])


def make_key(layer: str, kind: Kind, name: str) -> str:
    """Return the key of an item."""
    return str(Path(layer, kind, name))


def encode_value(value: msgspec.Struct) -> bytes:
    """Return the stored form of a value, without fields at defaults."""
    return msgspec.json.encode(value, order="deterministic")


_BASE_TYPES: dict[Kind, type[msgspec.Struct]] = {
    Kind.SITE: declarations.Site,
    Kind.DEPLOYMENT: declarations.Deployment,
    Kind.ADAPTER: declarations.AdapterBinding,
    Kind.SERVICE: declarations.PlainService,
}
_OVERLAY_TYPES: dict[Kind, type[msgspec.Struct]] = {
    Kind.DEPLOYMENT: declarations.DeploymentPatch,
    Kind.ADAPTER: declarations.AdapterBinding,
    Kind.SERVICE: declarations.ServicePatch,
}


def get_value_type(path: Path) -> type[msgspec.Struct]:
    """Return the type of an item's value.

    :raises BadDeclarationError: when an overlay may not hold such an item.
    """
    table = _BASE_TYPES if path.layer == BASE_LAYER else _OVERLAY_TYPES
    found = table.get(path.kind)
    if found is None:
        raise exceptions.BadDeclarationError(
            f"'{path}': an overlay cannot hold a {path.kind.value}"
        )
    return found


def decode_value(path: Path, value: bytes) -> msgspec.Struct:
    """Decode an item's value.

    :raises BadDeclarationError: when the value does not fit its type.
    """
    try:
        return msgspec.json.decode(value, type=get_value_type(path))
    except msgspec.DecodeError as fault:
        raise exceptions.BadDeclarationError(f"'{path}': {fault}") from fault
