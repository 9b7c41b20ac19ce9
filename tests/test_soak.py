"""A short soak with fixed seeds, and the judge of its histories."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from soak import plan_of, play
from soak_history import Ending, Exchange, HalfRequest, History, problems

BUSY_MACHINE_S = 2.0  # the kill comes so much later than it may: the rounds by hand have it at the earliest
SEEDS = range(1, 9)

SERVED = Exchange("a", "order", 1.0, 1.2, Ending.ANSWERED, 200)
CROSSED = Exchange("b", "order", 2.0, 2.01, Ending.CLOSED)
RIGHT = History([SERVED, CROSSED], [HalfRequest(2.3, True)], Counter({"a": 1}), ["level=info"], 0)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_round_breaks_no_rule(seed: int) -> None:
    # Guards against requests without a final answer, jobs that run twice, tracebacks and stops that hang.
    assert play(seed, BUSY_MACHINE_S) == []


def test_a_seed_draws_the_same_round_again() -> None:
    # Guards against a failure that its seed does not play again.
    assert [plan_of(seed) for seed in SEEDS] == [plan_of(seed) for seed in SEEDS]
    assert len({plan_of(seed) for seed in SEEDS}) == len(SEEDS)


def test_a_right_history_has_no_problems() -> None:
    assert problems(RIGHT, ["order"]) == []


@pytest.mark.parametrize(
    ("spoilt", "says"),
    [
        (replace(RIGHT, exchanges=[replace(CROSSED, ended_s=3.0)]), "too late for a close that crossed it"),
        (replace(RIGHT, exchanges=[replace(CROSSED, call_id="a")]), "and a worker had it"),
        (replace(RIGHT, exchanges=[replace(CROSSED, ending=Ending.CUT)], exit_code=None), "cut by the kill"),
        (replace(RIGHT, exchanges=[SERVED, SERVED]), "2 answers"),
        (replace(RIGHT, received=Counter({"a": 2})), "workers had it 2 times"),
        (replace(RIGHT, half_requests=[HalfRequest(4.0, False)]), "stopped in its middle"),
        (replace(RIGHT, log_lines=["event=x traceback=y"]), "logged"),
        (replace(RIGHT, log_lines=["ts=1 level=error event=overdue"]), "logged"),
        (replace(RIGHT, exit_code=1), "exit status 1"),
    ],
)
def test_a_spoilt_history_is_found_out(spoilt: History, says: str) -> None:
    # Guards against a soak that passes whatever happens.
    (found,) = problems(spoilt, ["order"])
    assert says in found
