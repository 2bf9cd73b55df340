"""Reads typed fields from JSON values that other writers have made."""

import json
import typing

JsonObject = dict[str, typing.Any]


def parse_object(data: bytes) -> JsonObject:
    """Return a JSON object.

    :raises ValueError: when the bytes hold none.
    """
    try:
        value = json.loads(data)
    except (UnicodeDecodeError, RecursionError) as fault:
        raise ValueError("not JSON") from fault
    if not isinstance(value, dict):
        raise ValueError("not a JSON object")
    return value


def get_string(
    table: JsonObject, name: str, default: str | None = None
) -> str:
    """Return a text field."""
    value = table.get(name, default)
    if not isinstance(value, str) or not (value or default is not None):
        raise ValueError(f"{name} is not a text")
    return value


def get_int(table: JsonObject, name: str, default: int | None = None) -> int:
    """Return a whole number."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} is not a whole number")
    return value


def get_number(
    table: JsonObject, name: str, default: float | None = None
) -> float:
    """Return a finite number."""
    value = table.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is not a number")
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(f"{name} is not a finite number")
    return float(value)


def get_bool(table: JsonObject, name: str, default: bool = False) -> bool:
    """Return a truth value."""
    value = table.get(name, default)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is not true or false")
    return value


def get_objects(table: JsonObject, name: str) -> list[JsonObject]:
    """Return a list of objects."""
    value = table.get(name)
    if not isinstance(value, list):
        raise ValueError(f"{name} is not a list")
    for item in value:
        if not isinstance(item, dict):
            raise ValueError(f"{name} holds what is no object")
    return value
