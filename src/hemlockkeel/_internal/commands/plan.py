"""Computes the change from the configuration to declaration files."""

import dataclasses
import pathlib

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.cli import operator_client
from hemlockkeel._internal.models import items
from hemlockkeel._internal.state import declaration_files

MAX_SHOWN_WRITES = 40


@dataclasses.dataclass(frozen=True)
class Plan:
    """A change and the configuration that it was computed from.

    ``current`` holds the configuration's items by key and ``version`` its
    version.
    """

    version: int
    writes: list[items.Write]
    current: dict[str, bytes]


def make_plan(
    client: operator_client.OperatorClient,
    base: pathlib.Path,
    overlays: list[str],
) -> Plan:
    """Compare files with the committed configuration.

    Overlays of sites that ``overlays`` does not name are left unchanged.

    :raises BadDeclarationError: when a file or an overlay is invalid.
    """
    paths = parse_overlays(overlays)
    declared = declaration_files.make_declared_items(base, paths)
    reply = client.call("GET", "/v1/config")
    current = {key: text.encode() for key, text in reply["items"].items()}
    layers = frozenset([items.BASE_LAYER, *paths])
    writes = declaration_files.diff_items(current, declared, layers)
    return Plan(reply["version"], writes, current)


def parse_overlays(texts: list[str]) -> dict[str, pathlib.Path]:
    """Parse ``SITE=FILE`` flags; return the files by site.

    :raises BadDeclarationError: when one is malformed or a site repeats.
    """
    paths: dict[str, pathlib.Path] = {}
    for text in texts:
        site, separator, path = text.partition("=")
        if not separator or not site or not path:
            raise exceptions.BadDeclarationError(
                f"--overlay '{text}' must have the form SITE=FILE"
            )
        if site in paths:
            raise exceptions.BadDeclarationError(
                f"--overlay is given twice for site '{site}'; keep one"
            )
        paths[site] = pathlib.Path(path)
    return paths


def describe_plan(plan: Plan) -> str:
    """Return the change as text, one line for each changed item."""
    if not plan.writes:
        return f"no changes from version {plan.version}"
    lines = [f"{len(plan.writes)} items change from version {plan.version}:"]
    for write in plan.writes[:MAX_SHOWN_WRITES]:
        lines.append(describe_write(write, plan.current.get(write.key)))
    if len(plan.writes) > MAX_SHOWN_WRITES:
        lines.append(f"  and {len(plan.writes) - MAX_SHOWN_WRITES} more")
    return "\n".join(lines)


def describe_write(write: items.Write, old: bytes | None) -> str:
    """Return the line for an added (+), changed (~) or removed (-) item."""
    if write.value is None:
        return f"- {write.key}"
    if old is None:
        return f"+ {write.key} {write.value.decode()}"
    return f"~ {write.key} {old.decode()} -> {write.value.decode()}"


def encode_writes(writes: list[items.Write]) -> dict[str, str | None]:
    """Return a change as JSON; the value of a removed item is null."""
    return {
        write.key: None if write.value is None else write.value.decode()
        for write in writes
    }
