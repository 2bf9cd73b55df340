"""Typed access to the fields of JSON objects from other programs.

Each function returns ``default`` for a field that is absent, and raises a
ValueError if the field has another type or there is no default.
"""

import json
import typing

JsonObject = dict[str, typing.Any]


def parse_object(data: bytes) -> JsonObject:
    """Parse a JSON object.

    :raises ValueError: when the data is not JSON, or not an object.
    """
    try:
        value = json.loads(data)
    except (UnicodeDecodeError, RecursionError) as error:
        raise ValueError("the body is not valid JSON") from error
    if not isinstance(value, dict):
        raise ValueError("the body is not a JSON object")
    return value


def get_string(
    source: JsonObject, name: str, default: str | None = None
) -> str:
    """Return a string; it may be empty only if there is a default."""
    value = source.get(name, default)
    if not isinstance(value, str) or not (value or default is not None):
        raise ValueError(f"{name} is empty or not a string")
    return value


def get_int(source: JsonObject, name: str, default: int | None = None) -> int:
    """Return an integer."""
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} must be an integer")
    return value


def get_number(
    source: JsonObject, name: str, default: float | None = None
) -> float:
    """Return a finite number."""
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} must be a number")
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(f"{name} must be a finite number")
    return float(value)


def get_bool(source: JsonObject, name: str, default: bool = False) -> bool:
    """Return a Boolean."""
    value = source.get(name, default)
    if not isinstance(value, bool):
        raise ValueError(f"{name} must be true or false")
    return value


def get_objects(source: JsonObject, name: str) -> list[JsonObject]:
    """Return a list of objects; the field must not be absent."""
    value = source.get(name)
    if not isinstance(value, list):
        raise ValueError(f"{name} must be a list")
    for item in value:
        if not isinstance(item, dict):
            raise ValueError(f"each item of {name} must be an object")
    return value
