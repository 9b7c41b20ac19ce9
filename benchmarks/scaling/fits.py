"""Straight lines through measured points, and how far the points lie from them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple


class Line(NamedTuple):
    """`base + slope * size`, fitted to sizes from `low` to `high`."""

    base: float
    slope: float
    low: float
    high: float
    error: float  # the greatest distance of a point from the line, as a share of the greatest value

    def at(self, size: float) -> float:
        """The value foretold for a size."""
        return self.base + self.slope * size

    def reaches(self, limit: float) -> float | None:
        """The size at which the line meets a limit; None where it never does."""
        return (limit - self.base) / self.slope if self.slope > 0.0 else None

    def shown(self, per: str) -> dict[str, object]:
        """As it stands in a figures file."""
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
    """Least squares. ValueError: fewer than two sizes."""
    if len({x for x, _ in points}) < 2:
        raise ValueError(f"points must be of at least two sizes, not {sorted({x for x, _ in points})}")
    n = len(points)
    middle_x, middle_y = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    spread = sum((x - middle_x) ** 2 for x, _ in points)
    slope = sum((x - middle_x) * (y - middle_y) for x, y in points) / spread
    base = middle_y - slope * middle_x
    most = max(abs(y) for _, y in points) or 1.0
    error = max(abs(y - base - slope * x) for x, y in points) / most
    return Line(base, slope, min(x for x, _ in points), max(x for x, _ in points), error)
