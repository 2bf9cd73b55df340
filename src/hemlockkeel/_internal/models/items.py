"""Configuration as a flat map from keys to JSON values.

Declarations are split into items with keys such as
``base/adapter/club-1@3``. A change is the set of items that it writes, so
changes to different items do not conflict.

The error messages become part of the replicated state, in the outcome of a
change and in the audit trail. Members of two builds that word a message
differently would store different texts.
"""

import enum
import typing

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import declarations

SEPARATOR = "/"
BASE_LAYER = "base"


class Kind(enum.Enum):
    """Kind of a configuration item."""

    SITE = "site"
    DEPLOYMENT = "deployment"
    ADAPTER = "adapter"
    SERVICE = "service"


class Path(typing.NamedTuple):
    """Parsed key of an item; ``layer`` is ``base`` or the name of a site."""

    layer: str
    kind: Kind
    name: str

    def __str__(self) -> str:
        return SEPARATOR.join((self.layer, self.kind.value, self.name))


class Write(msgspec.Struct, frozen=True, array_like=True):
    """Write of an item; the value None deletes it."""

    key: str
    value: bytes | None


def parse_path(key: str) -> Path:
    """Parse the key of an item.

    :raises BadDeclarationError: when it is not LAYER/KIND/NAME or the kind
        is unknown.
    """
    parts = key.split(SEPARATOR, 2)
    if len(parts) != 3 or not all(parts):
        raise exceptions.BadDeclarationError(f"'{key}' is not an item key")
    try:
        kind = Kind(parts[1])
    except ValueError as error:
        raise exceptions.BadDeclarationError(
            f"'{key}' names no known kind of item"
        ) from error
    return Path(parts[0], kind, parts[2])


def make_key(layer: str, kind: Kind, name: str) -> str:
    """Return the key of an item."""
    return str(Path(layer, kind, name))


def encode_value(value: msgspec.Struct) -> bytes:
    """Return the JSON of a value; equal values have the same JSON."""
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

    :raises BadDeclarationError: when the layer may not have that kind of
        item.
    """
    table = _BASE_TYPES if path.layer == BASE_LAYER else _OVERLAY_TYPES
    value_type = table.get(path.kind)
    if value_type is None:
        raise exceptions.BadDeclarationError(
            f"'{path}': an overlay cannot hold a {path.kind.value}"
        )
    return value_type


def decode_value(path: Path, value: bytes) -> msgspec.Struct:
    """Decode the value of an item.

    :raises BadDeclarationError: when it is not valid for the item's kind.
    """
    try:
        return msgspec.json.decode(value, type=get_value_type(path))
    except msgspec.DecodeError as error:
        raise exceptions.BadDeclarationError(f"'{path}': {error}") from error
