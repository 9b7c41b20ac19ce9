"""Least-squares lines through measured points, with their error."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class Line(NamedTuple):
    """`base + slope * size`, fitted to sizes from `low` to `high`."""

    base: float
    slope: float
    low: float
    high: float
    error: float  # the largest distance of a point from the line, relative to the largest value

    def value_at(self, size: float) -> float:
        """Return the predicted value for a size."""
        return self.base + self.slope * size

    def size_reaching(self, limit: float) -> float | None:
        """Return the size at which the line reaches a limit; None if it never does."""
        return (limit - self.base) / self.slope if self.slope > 0.0 else None

    def as_json(self, per: str) -> dict[str, object]:
        """Return the entry for a figures file."""
        return {
            "base": _rounded(self.base),
            "slope": _rounded(self.slope),
            "per": per,
            "range": [self.low, self.high],
            "error": round(self.error, 4),
        }


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares; raise ValueError for fewer than two sizes."""
    if len({x for x, _ in points}) < 2:
        raise ValueError(f"a fit needs points of at least two sizes, not {sorted({x for x, _ in points})}")
    n = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    base = mean_y - slope * mean_x
    max_value = max(abs(y) for _, y in points) or 1.0
    error = max(abs(y - base - slope * x) for x, y in points) / max_value
    return Line(base, slope, min(x for x, _ in points), max(x for x, _ in points), error)
