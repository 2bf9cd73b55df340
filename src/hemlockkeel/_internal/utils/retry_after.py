"""Reads the Retry-After header of a response (RFC 9110, section 10.2.3)."""

import dataclasses
import email.utils
import re

HEADER = b"retry-after"
# Longer delays are shortened to this one, so that a wrong value does not take
# a target out of use for good.
MAX_DELAY_S = 300.0
# Seconds; targets may send fractions. The number of digits is limited since
# longer values can only be mistakes.
SECONDS = re.compile(r"\d{1,15}(\.\d{0,15})?")


@dataclasses.dataclass(frozen=True)
class RetryAfter:
    """The delay that a response asks for."""

    # Seconds, at most `MAX_DELAY_S`; None without a valid value.
    delay_s: float | None = None
    # Values that are neither a number of seconds nor a date.
    invalid: tuple[str, ...] = ()


def read(headers: list[tuple[bytes, bytes]], wall_s: float) -> RetryAfter:
    """Return the delay that a response's headers ask for.

    If the header is repeated, the longest valid delay counts. ``wall_s`` is
    the time of day in seconds since the epoch, which dates are compared with.
    """
    delays: list[float] = []
    invalid: list[str] = []
    for key, raw in headers:
        if key.lower() != HEADER:
            continue
        value = raw.decode("latin-1").strip()
        delay_s = parse_delay(value, wall_s)
        if delay_s is None:
            invalid.append(value)
            continue
        delays.append(min(delay_s, MAX_DELAY_S))
    return RetryAfter(max(delays, default=None), tuple(invalid))


def parse_delay(value: str, wall_s: float) -> float | None:
    """Return a delay in seconds; None if the value is not valid.

    A date in the past is a delay of 0.
    """
    if SECONDS.fullmatch(value):
        return float(value)
    try:
        at = email.utils.parsedate_to_datetime(value)
        return max(0.0, at.timestamp() - wall_s)
    except (ValueError, OverflowError):
        return None
