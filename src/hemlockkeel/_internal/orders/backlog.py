"""Estimates the prompt tokens that an engine has still to read."""

# Prompt tokens that an engine reads in a second, from the engines' sheet.
PREFILL_TOKENS_PER_S = 38_700.0


class PrefillBacklog:
    """Tokens that were granted, less what has been read since."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.at = 0.0

    def get(self, now: float) -> float:
        """Return the tokens left at a time."""
        return max(0.0, self.tokens - (now - self.at) * PREFILL_TOKENS_PER_S)

    def add(self, tokens: int, now: float) -> None:
        """Add a request's prompt."""
        self.tokens = self.get(now) + tokens
        self.at = now
