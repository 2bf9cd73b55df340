"""Estimates the prompt tokens that wait for prefill at an engine."""

# Prefill rate of an engine, from the engine data sheet.
PREFILL_TOKENS_PER_S = 38_700.0


class PrefillBacklog:
    """Prompt tokens of granted requests that are not prefilled yet.

    The engine does not report them, so the estimate falls at the rate of
    the engine data sheet.
    """

    def __init__(self) -> None:
        self.tokens = 0.0
        self.updated_at = 0.0

    def get(self, now: float) -> float:
        """Return the estimated number of tokens still to be prefilled."""
        return max(
            0.0, self.tokens - (now - self.updated_at) * PREFILL_TOKENS_PER_S
        )

    def add(self, tokens: int, now: float) -> None:
        """Add the prompt tokens of a request."""
        self.tokens = self.get(now) + tokens
        self.updated_at = now
