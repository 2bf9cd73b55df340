"""Straight-line fits of measured points."""

import collections.abc
import dataclasses
import statistics


@dataclasses.dataclass(frozen=True)
class LinearFit:
    """``value = intercept + slope * size``, with its largest error."""

    sizes: list[float]
    values: list[float]
    slope: float
    intercept: float
    max_error_share: float

    def predict(self, size: float) -> float:
        """Return the fitted value at a size."""
        return self.intercept + self.slope * size


def fit_line(
    points: collections.abc.Sequence[tuple[float, float]],
) -> LinearFit:
    """Fit a straight line through measured points."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    errors = [
        abs(line.intercept + line.slope * size - value) / abs(value)
        for size, value in points
        if value
    ]
    return LinearFit(
        sizes, values, line.slope, line.intercept, max(errors, default=0.0)
    )
