"""Histograms of durations."""

import threading

import hdrh.histogram

MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 3


class DurationHistogram:
    """A thread-safe histogram of durations with 3 significant digits."""

    def __init__(self) -> None:
        self.histogram = hdrh.histogram.HdrHistogram(
            1, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )
        self.lock = threading.Lock()
        self.total_s = 0.0
        self.count = 0

    def record(self, seconds: float) -> None:
        """Add one duration."""
        with self.lock:
            self.histogram.record_value(max(1, int(seconds * 1e6)))
            self.total_s += seconds
            self.count += 1

    def get_percentile_s(self, percentile: float) -> float:
        """Return a percentile (0 to 100) in seconds, 0 without any record."""
        if not self.count:
            return 0.0
        value = self.histogram.get_value_at_percentile(percentile)
        return round(float(value) / 1e6, 6)

    def get_mean_s(self) -> float:
        """Return the mean in seconds, 0 without any record."""
        return round(self.total_s / self.count, 6) if self.count else 0.0
