"""Straight lines through measured sizes, and how far they may be drawn out."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

MAX_EXTRAPOLATION = 2.0  # times the largest measured size that a line may be drawn out
MIN_SIZES = 4


@dataclass(frozen=True, slots=True)
class Point:
    """One run: a size and what was measured at it."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class LinearFit:
    """``constant + each * size``. ``residual``: root mean square of what the line misses, over
    the mean.
    """

    intercept: float
    slope: float
    residual: float
    largest: float

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size

    def covers(self, size: float) -> bool:
        """Whether the measured sizes allow a word on this one."""
        return size <= MAX_EXTRAPOLATION * self.largest


def fit(points: Sequence[Point]) -> LinearFit:
    """Least squares; ValueError with fewer than four sizes."""
    if len({point.size for point in points}) < MIN_SIZES:
        raise ValueError(f"{MIN_SIZES} sizes are needed, there are {len({p.size for p in points})}")
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
