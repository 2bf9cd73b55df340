"""Exit codes of ``hemlockkeel`` and ``hemlockkeeld``."""

OK = 0
FAILED = 1
"""The operation was attempted and failed."""

USAGE = 2
"""Flags, settings or files are invalid; nothing was attempted."""

REFUSED = 4
"""The control role refused the call, as invalid or conflicting."""

UNAVAILABLE = 5
"""No control leader answered; the outcome may be unknown."""

NOT_IN_FORCE = 6
"""The change is committed but not yet applied by every member."""
