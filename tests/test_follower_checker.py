"""The checker of versions in force finds each violation, on histories that break one rule each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.follower_cluster import BOUND_MS, Asked, Due, InForce, Line


def valid_history() -> InForce:
    """Two versions reach two processes; one process restarts; no majority from 5,000 to 6,000 ms."""
    lines = [
        Line(1100.0, "m0", 1, 1, "d1", "s1", "l1"),
        Line(1200.0, "f0", 1, 1, "d1", "s1", "l1"),
        Line(2100.0, "m0", 1, 2, "d2", "s2", "l1"),
        Line(2300.0, "f0", 1, 2, "d2", "s2", "l1"),
        Line(5500.0, "f0", 2, 2, "d2", "s2", "l1"),
    ]
    asked = {"d1": Asked(1000.0, "s1", "l1"), "d2": Asked(2000.0, "s2", "l1")}
    return InForce(lines, asked, [Due(2050.0, 2, ("m0", "f0"))], [(5000.0, 6000.0)])


def test_a_valid_history_has_no_violations() -> None:
    assert valid_history().wrong() == []


def change(index: int, **kv: object) -> Callable[[InForce], None]:
    def changed(history: InForce) -> None:
        history.lines[index] = history.lines[index]._replace(**kv)  # type: ignore[arg-type]

    return changed


def add(*lines: Line) -> Callable[[InForce], None]:
    return lambda history: history.lines.extend(lines)


def combined(*changes: Callable[[InForce], None]) -> Callable[[InForce], None]:
    def changed(history: InForce) -> None:
        for step in changes:
            step(history)

    return changed


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (add(Line(3000.0, "f0", 1, 1, "d1", "s1", "l1")), "back: "),
        (change(4, number=1, digest="d1", settings="s1"), "back: "),
        (change(1, settings="s2"), "half in force: "),
        (change(3, servers="l2"), "half in force: "),
        (add(Line(7000.0, "m0", 1, 3, "d3", "s2", "l1")), "never asked for: "),
        (change(0, at=900.0), "in force before it was asked"),
        (change(1, digest="d2", settings="s2", at=2010.0), "two of one number: "),
        (add(Line(5500.0, "m0", 1, 3, "d2", "s2", "l1")), "without a majority: "),
        (
            combined(change(3, at=2051.0 + BOUND_MS), change(4, at=2052.0 + BOUND_MS)),
            "late: f0 has version 2 9001 ms",
        ),
        (lambda history: history.lines.__delitem__(slice(3, 5)), "late: f0 has version 2 inf ms"),
        (lambda history: history.faults.append("m0: a traceback"), "m0: a traceback"),
    ],
)
def test_a_violation_is_found_with_its_reason(corrupt: Callable[[InForce], None], reason: str) -> None:
    history = valid_history()
    corrupt(history)
    violations = history.wrong()
    assert violations and all(why.startswith(reason) for why in violations), violations


def test_an_old_disk_may_be_in_force_only_in_an_incarnation_that_could_reach_nobody() -> None:
    history = valid_history()
    history.lines[4] = history.lines[4]._replace(number=1, digest="d1", settings="s1")
    history.alone.add(("f0", 2))
    assert history.wrong() == []
    history.lines.append(Line(7000.0, "f0", 2, 2, "d2", "s2", "l1"))
    assert history.wrong() == []
    history.lines.append(Line(7100.0, "f0", 2, 1, "d1", "s1", "l1"))
    assert [why[:6] for why in history.wrong()] == ["back: "]


def test_a_version_in_force_just_before_the_majority_was_lost_is_no_violation() -> None:
    history = valid_history()
    history.powerless = [(2101.0, 2400.0)]
    assert history.wrong() == []
    assert replace(history, powerless=[(2099.0, 2400.0)]).wrong() != []
