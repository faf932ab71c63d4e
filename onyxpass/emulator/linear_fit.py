"""Least-squares lines through measurements at several sizes, and their range of validity."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

MAX_EXTRAPOLATION = 2.0  # multiple of the largest measured size up to which a line may be used
MIN_SIZES = 4


@dataclass(frozen=True, slots=True)
class Point:
    """One measurement at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class LinearFit:
    """The line ``intercept + slope * size``.

    ``residual``: root mean square error divided by the absolute mean of the values.
    """

    intercept: float
    slope: float
    residual: float
    largest: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size

    def covers(self, size: float) -> bool:
        """Return whether the size is at most twice the largest measured size."""
        return size <= MAX_EXTRAPOLATION * self.largest


def fit(points: Sequence[Point]) -> LinearFit:
    """Fit a line by least squares; raise ValueError with fewer than four different sizes."""
    if len({point.size for point in points}) < MIN_SIZES:
        raise ValueError(
            f"{MIN_SIZES} different sizes are needed, got {len({p.size for p in points})}"
        )
    count = len(points)
    mean_size = sum(point.size for point in points) / count
    mean = sum(point.value for point in points) / count
    size_variation = sum((point.size - mean_size) ** 2 for point in points)
    slope = (
        sum((point.size - mean_size) * (point.value - mean) for point in points) / size_variation
    )
    intercept = mean - slope * mean_size
    mean_squared_error = (
        sum((point.value - intercept - slope * point.size) ** 2 for point in points) / count
    )
    residual = math.sqrt(mean_squared_error) / abs(mean) if mean else 0.0
    return LinearFit(intercept, slope, residual, max(point.size for point in points))
