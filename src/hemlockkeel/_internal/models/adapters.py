"""References to adapter versions."""

import dataclasses

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import ids

SEPARATOR = "@"


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """Name and version of an adapter, written as ``name@version``."""

    name: ids.AdapterName
    version: ids.AdapterVersion

    def __str__(self) -> str:
        return f"{self.name}{SEPARATOR}{self.version}"


def parse_adapter(text: str) -> AdapterRef:
    """Parse ``name@version``.

    :raises BadDeclarationError: when the name or the version is missing.
    """
    name, separator, version = text.rpartition(SEPARATOR)
    if not separator or not name or not version:
        raise exceptions.BadDeclarationError(
            f"'{text}' does not name an adapter and a version; "
            "write it as name@version"
        )
    return AdapterRef(ids.AdapterName(name), ids.AdapterVersion(version))
