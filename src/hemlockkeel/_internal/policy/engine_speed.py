"""Estimates how much longer than expected engines take for prompts.

The expectation (prompt tokens to prefill, those ahead, and the batch) is for a
healthy engine. What is learned is the ratio of the observed time to the first
token, so that prompt sizes and caches make no difference. Callers pass the
current time in seconds.
"""

import collections.abc
import dataclasses
import statistics

# Shorter expected times say more about the network and single steps.
MIN_EXPECTED_S = 0.05
# Weight of a sample, and bounds that keep one sample from deciding.
SAMPLE_WEIGHT = 0.3
RATIO_BOUNDS = (0.25, 8.0)
# Without samples the estimate loses half of its weight in this time.
FORGET_HALF_LIFE_S = 5.0
# Samples before an estimate is used, and the multiple of the other engines'
# ratio from which on an engine counts as slow. Queues that the entry does not
# see yet vary the ratio of healthy engines by about this much, and a request
# that leaves an engine with its adapter costs a load from the store.
MIN_SAMPLES = 3
SLOW_RATIO = 2.0


@dataclasses.dataclass(slots=True)
class EngineSpeed:
    """Ratio of observed to expected times at one incarnation."""

    ratio: float = 1.0
    samples: int = 0
    sampled_at: float = float("-inf")

    def record(self, observed_s: float, expected_s: float, now: float) -> None:
        """Add the time to the first token of a request."""
        if expected_s < MIN_EXPECTED_S:
            return
        low, high = RATIO_BOUNDS
        sample = min(high, max(low, observed_s / expected_s))
        weight = SAMPLE_WEIGHT if self.samples else 1.0
        self.ratio += weight * (sample - self.ratio)
        self.samples += 1
        self.sampled_at = now

    def get_factor(self, usual_ratio: float, now: float) -> float:
        """Return how many times longer prompts take here than elsewhere."""
        if self.samples < MIN_SAMPLES:
            return 1.0
        trust = 0.5 ** ((now - self.sampled_at) / FORGET_HALF_LIFE_S)
        slower = self.ratio / usual_ratio
        return float(slower**trust) if slower >= SLOW_RATIO else 1.0


def get_usual_ratio(
    speeds: collections.abc.Iterable[EngineSpeed],
) -> float:
    """Return the median ratio of a service's engines; 1 if unknown."""
    known = [each.ratio for each in speeds if each.samples >= MIN_SAMPLES]
    return statistics.median_low(known) if known else 1.0
