"""A simulated fleet with drawn faults: what is decided is in force at all within 9 s; its checker.

python -m pytest tests/test_config_distribution.py    # a failing play prints its seed; play(SEED, FAULT)
"""

from __future__ import annotations

from functools import partial
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from grebestack.config_distribution import actions as act
from grebestack.config_distribution import timeouts
from grebestack.config_distribution.follower import Follower
from grebestack.config_distribution.messages import ConfigUpdate
from grebestack.config_distribution.relay import Relay
from grebestack.config_distribution.versions import Version
from grebestack.config_distribution.voter import ConfigurationVoter
from grebestack.config_distribution.voter_state import VoterView
from grebestack.consensus import proposals
from tests.configuration_model import (
    COLD,
    FAULTS,
    FOLLOWERS,
    PLACES,
    VOTERS,
    Chosen,
    InForce,
    Owed,
    World,
    contents_of,
    play,
    wrong,
)


@settings(max_examples=110, deadline=None)
@given(seed=st.integers(0, 2**40), fault=st.sampled_from(FAULTS))
def test_with_any_one_fault_what_is_decided_is_in_force_at_all_within_9_s(seed: int, fault: str) -> None:
    played = play(seed, fault)
    print(played.text)
    assert played.wrong() == [] and played.world.chosen


@pytest.mark.parametrize("fault", FAULTS)
def test_each_fault_from_two_seeds(fault: str) -> None:
    for seed in (1, 2):
        played = play(seed, fault)
        print(played.text)
        assert played.wrong() == [] and len(played.world.chosen) > 1
        assert not [t for _, _, t in played.world.told if t.event == "configuration_wrong"]


def test_a_start_with_all_relays_and_a_cut_one_from_twelve_seeds() -> None:
    for seed in range(12):
        played = play(seed, COLD)
        print(played.text)
        assert played.wrong() == []


def test_a_first_settling_that_is_long_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timeouts, "STALE_RELAY_STAY_MS", timeouts.MAX_STALE_RELAY_STAY_MS)
    assert [text for seed in range(12) for text in play(seed, COLD).wrong() if text.startswith("f")]


def test_who_has_settled_twice_looks_round_once_voters_that_start_with_it_are_heard() -> None:
    assert (
        timeouts.STALE_RELAY_STAY_MS[0] * timeouts.STALE_RELAY_STAYS_BEFORE_BACKOFF
        >= timeouts.VOTER_RECONNECT_ALLOWANCE_MS + timeouts.HEARTBEAT_INTERVAL_MS[1]
    )


def test_the_same_seed_plays_the_same() -> None:
    one, two = play(5, "relay killed"), play(5, "relay killed")
    assert one.world.acts == two.world.acts and one.world.acts


def test_sixty_changes_at_once_come_in_order_and_all_have_the_last() -> None:
    world = World(3)
    world.begin()
    world.run(5000.0)
    contents = contents_of(world.random, b"")
    for ticket in range(60):
        contents = contents_of(world.random, contents)
        world.at(ticket * 20.0, partial(world.propose, ticket, sorted(VOTERS)[ticket % 3], contents))
    world.run(30_000.0)
    assert wrong(world.chosen, world.acts, [Owed(f) for f in FOLLOWERS], world.now) == []
    assert len(world.outcomes) == 60 and len(world.chosen) >= 10
    won = [outcome.version for outcome in world.outcomes.values() if outcome.won]
    unknown = [outcome for outcome in world.outcomes.values() if "not known" in outcome.why]
    decided = [one.version for one in world.chosen]
    assert len(won) == len(set(won)) and set(won) <= set(decided)
    assert len(decided) - len(won) <= len(unknown) <= 6
    assert all(outcome.why for outcome in world.outcomes.values() if not outcome.won)


def test_of_two_at_once_one_wins_and_the_other_is_told_by_whom() -> None:
    both = 0
    for seed in range(12):
        world = World(seed)
        world.begin()
        world.run(5000.0)
        world.propose(1, "v1", b"one")
        world.propose(2, "v2", b"two")
        world.run(20_000.0)
        won = [o for o in world.outcomes.values() if o.won]
        lost = [o for o in world.outcomes.values() if not o.won]
        if len(lost) == 1:
            assert lost[0].why == f"{won[0].version.proposed_by} won with number 1"
            assert lost[0].version == won[0].version
            both += 1
        assert {v.proposed_by for v in world.in_force().values()} == {world.chosen[-1].version.proposed_by}
    assert both >= 8


def test_one_asked_as_it_starts_on_an_old_disk_goes_on_from_the_number_in_force() -> None:
    for seed in range(12):
        world = World(seed)
        world.begin()
        world.run(3000.0)
        world.propose(1, "v1", b"one")
        world.run(6000.0)
        world.kill("v1")
        world.propose(2, "v2", b"two")
        world.run(9000.0)
        assert world.outcomes[2].won
        world.start("v1")
        world.mesh_back("v1")
        world.propose(3, "v1", b"three")
        world.run(20_000.0)
        outcome = world.outcomes[3]
        assert outcome.won and outcome.version.number == 3, outcome.why
        assert wrong(world.chosen, world.acts, [Owed(f) for f in FOLLOWERS], world.now) == []


def test_a_region_without_a_majority_serves_on_and_says_for_how_long() -> None:
    world = World(4)
    world.begin()
    world.run(3000.0)
    world.propose(1, "v1", b"one")
    world.run(6000.0)
    near = {n for n in world.processes if PLACES[n].startswith("r1")}
    ways = {way for a in near for b in set(world.processes) - near for way in ((a, b), (b, a))}
    world.sever(ways)
    world.run(10_000.0)
    world.propose(2, "v3", b"no majority")
    world.propose(3, "v1", b"two")
    world.run(66_000.0)
    assert not world.outcomes[2].won and world.outcomes[3].won
    far = world.processes["f5"].follower
    assert far is not None and far.version.number == 1
    assert "a majority known 60" in far.status_line(world.now) or "a majority known 59" in far.status_line(
        world.now
    )
    world.heal(ways)
    world.run(66_000.0 + timeouts.PROPAGATION_BOUND_MS)
    assert {v.number for v in world.in_force().values()} == {2}


def test_one_that_refuses_a_version_keeps_the_former_and_is_named_at_every_voter() -> None:
    world = World(6)
    world.begin()
    world.run(3000.0)
    world.propose(1, "v1", b"one")
    world.run(6000.0)
    world.propose(2, "v1", b"not for f3;")
    world.run(12_000.0)
    follower = world.processes["f3"].follower
    assert follower is not None and (follower.version.number, follower.refused) == (1, 2)
    for name in VOTERS:
        voter = world.processes[name].voter
        assert voter is not None
        counts = voter.counts(world.now)
        assert counts.refused == {"f3": (2, "servers is 'bad'; allowed: good ones")}
        assert counts.in_force == {2: 6, 1: 1} and not counts.behind and not counts.unknown
    pushes = sum(t.event == "configuration_refused" for _, _, t in world.told)
    assert pushes == 1
    world.propose(3, "v2", b"three")
    world.run(16_000.0)
    assert follower.version.number == 3 and not follower.refused


def test_one_that_is_not_heard_is_not_known_at_any_voter() -> None:
    world = World(7)
    world.begin()
    world.run(4000.0)
    world.propose(1, "v1", b"one")
    world.run(8000.0)
    world.kill("f2")
    world.kill("f4", quiet=True)
    world.run(25_000.0)
    for name in VOTERS:
        voter = world.processes[name].voter
        assert voter is not None
        counts = voter.counts(world.now)
        assert set(counts.unknown) == {"f2", "f4"} and counts.in_force == {1: 5}
        assert any(line.startswith("not known: f2: 1 ") for line in voter.status_lines(world.now))


@pytest.mark.parametrize(("fault", "waited"), list(timeouts.FAULTS.items()))
def test_all_waits_of_one_fault_come_to_9_s_at_most(
    fault: str, waited: tuple[tuple[str, float], ...]
) -> None:
    assert sum(ms for _, ms in waited) <= timeouts.PROPAGATION_BOUND_MS == 9000.0, fault


def test_a_sound_relay_is_never_stale() -> None:
    hop = timeouts.HEARTBEAT_INTERVAL_MS[1] + timeouts.FAST_POLL_INTERVAL_MS[1]
    assert hop + timeouts.RESPONSE_TIMEOUT_MS < timeouts.STALE_RELAY_MS
    assert timeouts.REGISTER_TIMEOUT_MS == proposals.PROPOSAL_TIMEOUT_MS


# The checker, and what it must find.

ONE, TWO = Version(1, "1" * 64, 1, "v1", 0), Version(2, "2" * 64, 1, "v2", 0)
HISTORY = [Chosen(100.0, ONE), Chosen(5000.0, TWO)]
ACTS = [InForce(200.0, "f1", 1, ONE.digest), InForce(6000.0, "f1", 2, TWO.digest)]


@pytest.mark.parametrize(
    ("acts", "cut", "found"),
    [
        (ACTS, (), ""),
        ([*ACTS, InForce(7000.0, "f1", 1, ONE.digest)], (), "goes back"),
        ([InForce(50.0, "f1", 1, ONE.digest), *ACTS], (), "is not decided"),
        ([*ACTS, InForce(7000.0, "f1", 3, ONE.digest)], (), "is not decided"),
        ([ACTS[0], InForce(6000.0, "f1", 2, ONE.digest)], (), "other contents"),
        (ACTS[:1], (), "f1 has 2 never"),
        ([ACTS[0], InForce(14_001.0, "f1", 2, TWO.digest)], (), "f1 has 2 at 14001"),
        ([ACTS[0], InForce(20_000.0, "f1", 2, TWO.digest)], ((4000.0, 12_000.0),), ""),
        ([ACTS[0], InForce(21_001.0, "f1", 2, TWO.digest)], ((4000.0, 12_000.0),), "allowed 21000"),
    ],
)
def test_the_checker_sees_what_is_wrong_in_a_history(
    acts: list[InForce], cut: tuple[tuple[float, float], ...], found: str
) -> None:
    text = "; ".join(wrong(HISTORY, acts, [Owed("f1", cut)], 60_000.0))
    assert found in text and bool(found) == bool(text)
    other = [*HISTORY, Chosen(6000.0, Version(2, "3" * 64, 1, "v3", 0))]
    assert "two versions are decided as number 2" in wrong(other, acts, [], 60_000.0)


class Deaf(Follower):
    """It never asks again."""

    def _poll_delay_ms(self) -> float:
        return 1e9


class Patient(Relay):
    """It never looks for followers that it has not heard."""

    def _scan(self, now_ms: float) -> list[act.RelayAction]:
        self.scan_ms = now_ms + 1000.0
        return []


class Loyal(Follower):
    """It never leaves a relay that hears no majority."""

    def _assess_relay(self, now_ms: float, confirmed_ms: int, why: str = "") -> list[act.FollowerAction]:
        return []


class Forgetful(Follower):
    """It puts its disk in force at once, and has no floor."""

    def start(self, now_ms: float, disk: Any = ()) -> list[act.FollowerAction]:
        actions = super().start(now_ms, disk)
        return actions + self._apply_from_disk()


class Credulous(Follower):
    """It takes any number."""

    def _on_update(self, now_ms: float, news: ConfigUpdate) -> list[act.FollowerAction]:
        if news.contents is not None and self.pending is None:
            self.next_version = news.version, news.contents
            return [
                *self._begin_next(now_ms),
                *self._on_relay_number(now_ms, news.version.number, news.confirmed_age_ms),
            ]
        return super()._on_update(now_ms, news)


class Hasty(ConfigurationVoter):
    """It offers what it has only proposed."""

    def propose(
        self, now_ms: float, proposal_id: int, contents: bytes, proposed_at_ms: int, view: VoterView
    ) -> list[act.ConfigurationAction]:
        actions = super().propose(now_ms, proposal_id, contents, proposed_at_ms, view)
        if self.state.proposal is not None:
            actions.append(act.PublishVersion(self.state.proposal.version, contents))
        return actions


@pytest.mark.parametrize(
    ("fault", "kinds", "found"),
    [
        ("lost push", {"follower": Deaf, "relay": Patient}, "f"),
        ("a voter hears no other", {"follower": Loyal}, "f"),
        ("old disk", {"follower": Forgetful}, "goes back"),
        ("none", {"voter": Hasty}, "is not decided"),
    ],
)
def test_a_broken_fleet_is_caught(fault: str, kinds: dict[str, Any], found: str) -> None:
    caught = [text for seed in range(14) for text in play(seed, fault, **kinds).wrong()]
    assert [text for text in caught if found in text]
