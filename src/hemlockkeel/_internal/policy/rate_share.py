"""How much of a target's limit is used, with and without permits."""

# Part of a limit that is used, so that two issuers of permits at the same
# time, or an issuer and entries that cannot ask one, stay near it.
SAFE_SHARE = 0.7
# Requests a second while a target takes less, so that it is noticed when it
# takes more again.
MIN_RATE = 0.2


def get_rate(limit: float) -> float:
    """Return the requests a second to send to a target with a limit."""
    return max(MIN_RATE, SAFE_SHARE * limit)
