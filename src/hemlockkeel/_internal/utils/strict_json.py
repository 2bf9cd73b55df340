"""Parses JSON of which every value can be stored, logged and sent on.

Parsers differ in what they take beyond RFC 8259, and in what of a text they
look at. What one process has accepted must not fail in another one.
"""

import json
import math
import typing

# Range of integers that MessagePack can encode.
MIN_INT = -(2**63)
MAX_INT = 2**64 - 1
MAX_INT_DIGITS = 20
# Far below the recursion limit, which each process reaches at another depth.
MAX_NESTING = 64


def parse_object(data: bytes) -> dict[str, typing.Any]:
    """Parse a JSON object in which every value can be stored and sent on.

    :raises ValueError: when the data is not JSON in UTF-8 (RFC 8259) or not
        an object, repeats a name in an object, is nested too deeply, or has
        a number or character that cannot be encoded, in any field.
    """
    try:
        # Given bytes, `json.loads` guesses the encoding and lets surrogates
        # pass.
        text = data.decode("utf-8")
        value = DECODER.decode(text)
    except (UnicodeDecodeError, RecursionError) as error:
        raise ValueError("the body is not valid JSON in UTF-8") from error
    if not isinstance(value, dict):
        raise ValueError("the body is not a JSON object")
    # No more levels than brackets, and most bodies have few.
    if text.count("{") + text.count("[") > MAX_NESTING:
        check_nesting(value)
    if "\\u" in text:
        check_characters(value)
    return value


def reject_constant(name: str) -> typing.NoReturn:
    """Refuse ``NaN`` and the infinities, which are not JSON.

    :raises ValueError: always.
    """
    raise ValueError(f"{name} is not a JSON number")


def parse_float(text: str) -> float:
    """Return a finite number.

    :raises ValueError: when it is too large.
    """
    value = float(text)
    if not math.isfinite(value):
        raise ValueError("a number is too large")
    return value


def parse_int(text: str) -> int:
    """Return an integer of at most 64 bits.

    :raises ValueError: when it is larger, or no integer.
    """
    if len(text.lstrip("-")) > MAX_INT_DIGITS:
        raise ValueError("an integer has more than 64 bits")
    value = int(text)
    if not MIN_INT <= value <= MAX_INT:
        raise ValueError("an integer has more than 64 bits")
    return value


def make_object(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
    """Return an object; parsers differ in which of repeated names counts.

    :raises ValueError: when a name is repeated.
    """
    value = dict(pairs)
    if len(value) < len(pairs):
        raise ValueError("a name is repeated in an object")
    return value


# Made once, as `json.loads` makes one for each call with such arguments.
DECODER = json.JSONDecoder(
    parse_constant=reject_constant,
    parse_float=parse_float,
    parse_int=parse_int,
    object_pairs_hook=make_object,
)


def check_nesting(value: dict[str, typing.Any]) -> None:
    """Check how deeply objects and lists are nested.

    :raises ValueError: when there are more than `MAX_NESTING` levels.
    """
    level: list[typing.Any] = [value]
    for _ in range(MAX_NESTING):
        children: list[typing.Any] = []
        for item in level:
            children += item.values() if isinstance(item, dict) else item
        level = [item for item in children if isinstance(item, dict | list)]
        if not level:
            return
    raise ValueError("the body is nested too deeply")


def check_characters(value: dict[str, typing.Any]) -> None:
    """Check that all strings can be encoded.

    :raises ValueError: when an escape stands for half of a surrogate pair.
    """
    try:
        json.dumps(value, ensure_ascii=False).encode("utf-8")
    except UnicodeEncodeError as error:
        raise ValueError("a string has an unpaired surrogate") from error
