"""Linear regression of measured points."""

import collections.abc
import dataclasses
import statistics


@dataclasses.dataclass(frozen=True)
class LinearFit:
    """The line ``value = intercept + slope * size`` through measured points.

    ``max_error_share`` is the largest error relative to the measured value.
    """

    sizes: list[float]
    values: list[float]
    slope: float
    intercept: float
    max_error_share: float

    def predict(self, size: float) -> float:
        """Return the value that the line gives for a size."""
        return self.intercept + self.slope * size


def fit_line(
    points: collections.abc.Sequence[tuple[float, float]],
) -> LinearFit:
    """Fit a line to points of size and value by least squares."""
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
