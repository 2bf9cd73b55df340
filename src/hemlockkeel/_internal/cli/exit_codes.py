"""Exit codes of both programs."""

OK = 0
FAILED = 1
"""The operation was tried and did not succeed."""

USAGE = 2
"""Flags, settings or files are invalid; nothing was tried."""

REFUSED = 4
"""The change was refused: it collides or is invalid."""

UNAVAILABLE = 5
"""No control leader answered; the outcome may be unknown."""

NOT_IN_FORCE = 6
"""The change was accepted but is not in force everywhere yet."""
