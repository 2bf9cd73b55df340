"""Typed access to the fields of JSON objects from other programs.

Each function returns ``default`` for a field that is absent, and raises a
ValueError if the field has another type or there is no default.
"""

import math
import typing

from hemlockkeel._internal.utils import strict_json

JsonObject = dict[str, typing.Any]

# Numbers are also counted up and sent as unsigned integers of 64 bits.
MAX_INT = 2**63 - 1


def get_string(
    source: JsonObject, name: str, default: str | None = None
) -> str:
    """Return a string; it may be empty only if there is a default."""
    value = source.get(name, default)
    if not isinstance(value, str) or not (value or default is not None):
        raise ValueError(f"{name} is empty or not a string")
    return value


def get_int(
    source: JsonObject,
    name: str,
    default: int | None = None,
    minimum: int = strict_json.MIN_INT,
) -> int:
    """Return an integer from ``minimum`` to `MAX_INT`."""
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} must be an integer")
    if not minimum <= value <= MAX_INT:
        raise ValueError(f"{name} must be from {minimum} to {MAX_INT}")
    return value


def get_number(
    source: JsonObject,
    name: str,
    default: float | None = None,
    minimum: float = -math.inf,
) -> float:
    """Return a finite number of at least ``minimum``."""
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} must be a number")
    if value < minimum:
        raise ValueError(f"{name} must be at least {minimum:g}")
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
