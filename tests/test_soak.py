"""A short soak with fixed seeds, and tests of its history checker."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from soak import draw_plan, run_round
from soak_history import Exchange, History, Outcome, PartialRequest, violations

ALLOWED_DELAY_S = 2.0  # tests delay the kill by this much; benchmarks/soak.py kills as early as allowed
SEEDS = range(1, 9)

ANSWERED_EXCHANGE = Exchange("a", "order", 1.0, 1.2, Outcome.ANSWERED, 200)
CLOSE_RACE_EXCHANGE = Exchange("b", "order", 2.0, 2.01, Outcome.CLOSED)
VALID_HISTORY = History(
    [ANSWERED_EXCHANGE, CLOSE_RACE_EXCHANGE],
    [PartialRequest(2.3, True)],
    Counter({"a": 1}),
    ["level=info"],
    0,
)


@pytest.mark.parametrize("seed", SEEDS)
def test_round_has_no_violations(seed: int) -> None:
    # Guards against requests without a final answer, jobs that run twice, tracebacks and stops that hang.
    assert run_round(seed, ALLOWED_DELAY_S) == []


def test_same_seed_draws_the_same_plan() -> None:
    # Guards against a failure that its seed does not reproduce.
    assert [draw_plan(seed) for seed in SEEDS] == [draw_plan(seed) for seed in SEEDS]
    assert len({draw_plan(seed) for seed in SEEDS}) == len(SEEDS)


def test_valid_history_has_no_violations() -> None:
    assert violations(VALID_HISTORY, ["order"]) == []


@pytest.mark.parametrize(
    ("invalid_history", "message"),
    [
        (
            replace(VALID_HISTORY, exchanges=[replace(CLOSE_RACE_EXCHANGE, ended_s=3.0)]),
            "too late to be a race with the close",
        ),
        (
            replace(VALID_HISTORY, exchanges=[replace(CLOSE_RACE_EXCHANGE, call_id="a")]),
            "but a worker received it",
        ),
        (
            replace(
                VALID_HISTORY, exchanges=[replace(CLOSE_RACE_EXCHANGE, outcome=Outcome.CUT)], exit_code=None
            ),
            "cut by the kill",
        ),
        (replace(VALID_HISTORY, exchanges=[ANSWERED_EXCHANGE, ANSWERED_EXCHANGE]), "2 answers"),
        (replace(VALID_HISTORY, received=Counter({"a": 2})), "received by workers 2 times"),
        (
            replace(VALID_HISTORY, partial_requests=[PartialRequest(4.0, False)]),
            "partial request was left open",
        ),
        (replace(VALID_HISTORY, log_lines=["event=x traceback=y"]), "logged"),
        (replace(VALID_HISTORY, log_lines=["ts=1 level=error event=overdue"]), "logged"),
        (replace(VALID_HISTORY, exit_code=1), "exit status 1"),
    ],
)
def test_invalid_history_is_detected(invalid_history: History, message: str) -> None:
    # Guards against a soak that passes whatever happens.
    (violation,) = violations(invalid_history, ["order"])
    assert message in violation
