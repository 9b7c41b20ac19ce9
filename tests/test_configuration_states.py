"""All states of configuration distribution within a bound, and faulty variants that must be caught."""

from __future__ import annotations

import pytest

from tests import configuration_states as states
from tests import configuration_voters as voters

# Starts that are explored completely, with a minimum of states: fewer mean that the start has changed.
COMPLETE = {
    "reordered": 9_000,
    "corrupted": 700,
    "relay cut off": 1_400,
    "restarts": 1_200,
    "delayed": 2_000,
}
PARTIAL = {"lost": 8_000, "relay lost": 5_000, "two followers": 5_000, "restart, no relay": 3_000}


@pytest.mark.parametrize("start", COMPLETE)
def test_no_state_has_a_regression_or_incomplete_or_late_contents(start: str) -> None:
    found = states.explore(states.Model("", start), 60_000)
    assert (found.violation, found.trace, found.is_complete) == ("", (), True)
    assert found.states >= COMPLETE[start]


@pytest.mark.parametrize("start", PARTIAL)
def test_the_nearest_states_have_no_regression_or_incomplete_or_late_contents(start: str) -> None:
    found = states.explore(states.Model("", start), PARTIAL[start])
    assert (found.violation, found.trace, found.states) == ("", (), PARTIAL[start])


@pytest.mark.parametrize(
    ("variant", "start", "wrong"),
    [
        ("accepts any number", "reordered", "f0 goes back from 2 to 1"),
        ("accepts incomplete contents", "corrupted", "f0 applies incomplete contents of 1"),
        ("never polls again after a lost push", "lost", "f0 has 1 and not 2 after 9000.0 ms"),
        ("stays with a stale relay", "relay cut off", "f0 has 1 and not 2 after 9000.0 ms"),
        ("stays with a silent relay", "relay lost", "f0 has 1 and not 2 after 9000.0 ms"),
        ("applies before it stores", "restart, no relay", "f0 goes back from 2 to 1"),
    ],
)
def test_a_faulty_follower_is_caught_with_its_trace(variant: str, start: str, wrong: str) -> None:
    found = states.explore(states.Model(variant, start), 60_000)
    print("\n".join(found.trace))
    assert found.violation == wrong and found.trace


def test_a_version_is_decided_once_and_with_its_contents_in_all_states() -> None:
    found = voters.explore(voters.Model("", "one change"), 60_000)
    assert (found.violation, found.trace, found.is_complete) == ("", (), True)
    assert found.states >= 5_000


def test_a_version_proposed_right_after_a_start_is_decided_once_in_the_nearest_states() -> None:
    found = voters.explore(voters.Model("", "one change, just started"), 10_000)
    assert (found.violation, found.trace) == ("", ())


@pytest.mark.parametrize("start", ["race", "race, just started", "crash", "stored, heartbeats"])
def test_nothing_is_published_or_confirmed_against_a_majority_in_the_nearest_states(start: str) -> None:
    found = voters.explore(voters.Model("", start), 4_000)
    assert (found.violation, found.trace, found.states) == ("", (), 4_000)


@pytest.mark.parametrize(
    ("variant", "start", "wrong"),
    [
        (
            "changes the register before a majority holds the contents",
            "race",
            "1 is decided and 1 of 3 hold its contents",
        ),
        ("publishes before the register is changed", "race", "v1 publishes 1, which no majority has decided"),
        ("confirms after a single response", "stored, heartbeats", "v3 confirms 0, 1 is decided"),
        ("confirms the time of the response", "stored, heartbeats", "v2 confirms 0, 1 is decided"),
        (
            "treats an accepted number as decided",
            "stored, heartbeats",
            "v2 applies 1, which no majority has decided",
        ),
    ],
)
def test_a_faulty_voter_is_caught_with_its_trace(variant: str, start: str, wrong: str) -> None:
    found = voters.explore(voters.Model(variant, start), 60_000)
    print("\n".join(found.trace))
    assert found.violation[2:] == wrong[2:] and found.trace
