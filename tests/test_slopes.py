"""The lines that benchmarks/slopes.py lays through what it measured."""

from __future__ import annotations

import pytest
from slopes import fitted, line_of, plain, rounds, spread_of


def test_points_on_a_line_give_that_line() -> None:
    slope, base, error = line_of({1: [5.0], 10: [23.0], 100: [203.0]})
    assert slope == pytest.approx(2.0) and base == pytest.approx(3.0) and error < 1e-9


def test_the_error_is_the_largest_residual_as_a_share_and_repeats_count_by_their_median() -> None:
    # Of three repeats the median counts: a late one moves nothing but the spread.
    points = {1: [10.0, 10.0, 90.0], 2: [20.0], 3: [30.0], 4: [44.0]}
    slope, base, error = line_of(points)
    worst = max(abs(slope * x + base - y) / y for x, y in ((1, 10), (2, 20), (3, 30), (4, 44)))
    assert error == pytest.approx(worst) and 0.01 < error < 0.1
    assert spread_of(points) == pytest.approx(8.0)


def test_small_values_weigh_as_much_as_large_ones() -> None:
    slope, base, _ = line_of({1: [1.0], 1000: [1200.0], 1001: [800.0]})
    assert slope + base == pytest.approx(1.0, rel=0.05)


def test_a_figure_says_its_range_and_how_often_it_was_measured() -> None:
    figure = fitted({10: [1.0, 1.2], 20: [2.0, 2.0]}, "ms", "server")
    assert (figure["range"], figure["runs"], figure["unit"], figure["per"]) == ([10, 20], 2, "ms", "server")
    assert plain([1.0, 3.0, 2.0], "ms") == {"value": 2.0, "unit": "ms", "spread": 1.0, "runs": 3}


def test_all_sizes_are_measured_once_before_any_is_measured_again() -> None:
    order: list[tuple[int, int]] = []

    def run(size: int, number: int) -> int:
        order.append((size, number))
        return size

    came = rounds(2, (3, 5), run)
    assert order == [(3, 0), (5, 0), (3, 1), (5, 1)] and came == {3: [3, 3], 5: [5, 5]}
