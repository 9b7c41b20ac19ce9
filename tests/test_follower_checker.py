"""The checker of versions in force finds each violation, on histories that break one rule each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.follower_cluster import (
    MAX_PROPAGATION_MS,
    AppliedVersion,
    ConfigHistory,
    PropagationDeadline,
    ProposedContents,
)


def valid_history() -> ConfigHistory:
    """Two versions reach two processes; one process restarts; no majority from 5,000 to 6,000 ms."""
    lines = [
        AppliedVersion(1100.0, "m0", 1, 1, "d1", "s1", "l1"),
        AppliedVersion(1200.0, "f0", 1, 1, "d1", "s1", "l1"),
        AppliedVersion(2100.0, "m0", 1, 2, "d2", "s2", "l1"),
        AppliedVersion(2300.0, "f0", 1, 2, "d2", "s2", "l1"),
        AppliedVersion(5500.0, "f0", 2, 2, "d2", "s2", "l1"),
    ]
    asked = {"d1": ProposedContents(1000.0, "s1", "l1"), "d2": ProposedContents(2000.0, "s2", "l1")}
    return ConfigHistory(lines, asked, [PropagationDeadline(2050.0, 2, ("m0", "f0"))], [(5000.0, 6000.0)])


def test_a_valid_history_has_no_violations() -> None:
    assert valid_history().violations() == []


def change(index: int, **kv: object) -> Callable[[ConfigHistory], None]:
    def changed(history: ConfigHistory) -> None:
        history.applied[index] = history.applied[index]._replace(**kv)  # type: ignore[arg-type]

    return changed


def add(*lines: AppliedVersion) -> Callable[[ConfigHistory], None]:
    return lambda history: history.applied.extend(lines)


def combined(*changes: Callable[[ConfigHistory], None]) -> Callable[[ConfigHistory], None]:
    def changed(history: ConfigHistory) -> None:
        for step in changes:
            step(history)

    return changed


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (add(AppliedVersion(3000.0, "f0", 1, 1, "d1", "s1", "l1")), "back: "),
        (change(4, number=1, digest="d1", settings="s1"), "back: "),
        (change(1, settings="s2"), "mixed contents: "),
        (change(3, servers="l2"), "mixed contents: "),
        (add(AppliedVersion(7000.0, "m0", 1, 3, "d3", "s2", "l1")), "never proposed: "),
        (change(0, at=900.0), "applied before it was proposed"),
        (change(1, digest="d2", settings="s2", at=2010.0), "two versions with one number: "),
        (add(AppliedVersion(5500.0, "m0", 1, 3, "d2", "s2", "l1")), "without a majority: "),
        (
            combined(change(3, at=2051.0 + MAX_PROPAGATION_MS), change(4, at=2052.0 + MAX_PROPAGATION_MS)),
            "late: f0 has version 2 9001 ms",
        ),
        (lambda history: history.applied.__delitem__(slice(3, 5)), "late: f0 has version 2 inf ms"),
        (lambda history: history.errors.append("m0: a traceback"), "m0: a traceback"),
    ],
)
def test_a_violation_is_found_with_its_reason(corrupt: Callable[[ConfigHistory], None], reason: str) -> None:
    history = valid_history()
    corrupt(history)
    violations = history.violations()
    assert violations and all(why.startswith(reason) for why in violations), violations


def test_an_old_disk_may_be_in_force_only_in_an_incarnation_that_could_reach_nobody() -> None:
    history = valid_history()
    history.applied[4] = history.applied[4]._replace(number=1, digest="d1", settings="s1")
    history.isolated.add(("f0", 2))
    assert history.violations() == []
    history.applied.append(AppliedVersion(7000.0, "f0", 2, 2, "d2", "s2", "l1"))
    assert history.violations() == []
    history.applied.append(AppliedVersion(7100.0, "f0", 2, 1, "d1", "s1", "l1"))
    assert [why[:6] for why in history.violations()] == ["back: "]


def test_a_version_in_force_just_before_the_majority_was_lost_is_no_violation() -> None:
    history = valid_history()
    history.without_majority = [(2101.0, 2400.0)]
    assert history.violations() == []
    assert replace(history, without_majority=[(2099.0, 2400.0)]).violations() != []
