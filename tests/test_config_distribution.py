"""With any single fault a decided version is in force at all reachable followers within 9 s; the checker.

python -m pytest tests/test_config_distribution.py    # a failure prints its seed; run_simulation(SEED, FAULT)
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
    Activation,
    Decision,
    ExpectedFollower,
    Simulation,
    contents_of,
    find_violations,
    run_simulation,
)


@settings(max_examples=110, deadline=None)
@given(seed=st.integers(0, 2**40), fault=st.sampled_from(FAULTS))
def test_with_any_single_fault_a_decided_version_is_in_force_everywhere_within_9_s(
    seed: int, fault: str
) -> None:
    result = run_simulation(seed, fault)
    print(result.text)
    assert result.violations() == [] and result.sim.decisions


@pytest.mark.parametrize("fault", FAULTS)
def test_each_fault_from_two_seeds(fault: str) -> None:
    for seed in (1, 2):
        result = run_simulation(seed, fault)
        print(result.text)
        assert result.violations() == [] and len(result.sim.decisions) > 1
        assert not [t for _, _, t in result.sim.log_messages if t.event == "configuration_wrong"]


def test_a_relay_is_cut_off_while_all_relays_start_from_twelve_seeds() -> None:
    for seed in range(12):
        result = run_simulation(seed, COLD)
        print(result.text)
        assert result.violations() == []


def test_a_long_first_stay_with_a_stale_relay_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timeouts, "STALE_RELAY_STAY_MS", timeouts.MAX_STALE_RELAY_STAY_MS)
    assert [
        text for seed in range(12) for text in run_simulation(seed, COLD).violations() if text.startswith("f")
    ]


def test_two_stays_with_a_stale_relay_last_until_voters_that_start_at_the_same_time_are_connected() -> None:
    assert (
        timeouts.STALE_RELAY_STAY_MS[0] * timeouts.STALE_RELAY_STAYS_BEFORE_BACKOFF
        >= timeouts.VOTER_RECONNECT_ALLOWANCE_MS + timeouts.HEARTBEAT_INTERVAL_MS[1]
    )


def test_the_same_seed_gives_the_same_run() -> None:
    one, two = run_simulation(5, "relay killed"), run_simulation(5, "relay killed")
    assert one.sim.activations == two.sim.activations and one.sim.activations


def test_sixty_concurrent_changes_are_applied_in_order_and_all_followers_have_the_last() -> None:
    sim = Simulation(3)
    sim.start_all()
    sim.run(5000.0)
    contents = contents_of(sim.random, b"")
    for ticket in range(60):
        contents = contents_of(sim.random, contents)
        sim.at(ticket * 20.0, partial(sim.propose, ticket, sorted(VOTERS)[ticket % 3], contents))
    sim.run(30_000.0)
    assert (
        find_violations(sim.decisions, sim.activations, [ExpectedFollower(f) for f in FOLLOWERS], sim.now)
        == []
    )
    assert len(sim.outcomes) == 60 and len(sim.decisions) >= 10
    won = [outcome.version for outcome in sim.outcomes.values() if outcome.won]
    unknown = [outcome for outcome in sim.outcomes.values() if "not known" in outcome.why]
    decided = [one.version for one in sim.decisions]
    assert len(won) == len(set(won)) and set(won) <= set(decided)
    assert len(decided) - len(won) <= len(unknown) <= 6
    assert all(outcome.why for outcome in sim.outcomes.values() if not outcome.won)


def test_of_two_concurrent_proposals_one_wins_and_the_other_result_names_the_winner() -> None:
    both = 0
    for seed in range(12):
        sim = Simulation(seed)
        sim.start_all()
        sim.run(5000.0)
        sim.propose(1, "v1", b"one")
        sim.propose(2, "v2", b"two")
        sim.run(20_000.0)
        won = [o for o in sim.outcomes.values() if o.won]
        lost = [o for o in sim.outcomes.values() if not o.won]
        if len(lost) == 1:
            assert lost[0].why == f"{won[0].version.proposed_by} won with number 1"
            assert lost[0].version == won[0].version
            both += 1
        assert {v.proposed_by for v in sim.in_force().values()} == {sim.decisions[-1].version.proposed_by}
    assert both >= 8


def test_a_proposal_at_a_voter_starting_with_an_old_disk_gets_the_number_after_the_one_in_force() -> None:
    for seed in range(12):
        sim = Simulation(seed)
        sim.start_all()
        sim.run(3000.0)
        sim.propose(1, "v1", b"one")
        sim.run(6000.0)
        sim.kill("v1")
        sim.propose(2, "v2", b"two")
        sim.run(9000.0)
        assert sim.outcomes[2].won
        sim.start("v1")
        sim.reconnect_voter("v1")
        sim.propose(3, "v1", b"three")
        sim.run(20_000.0)
        outcome = sim.outcomes[3]
        assert outcome.won and outcome.version.number == 3, outcome.why
        assert (
            find_violations(sim.decisions, sim.activations, [ExpectedFollower(f) for f in FOLLOWERS], sim.now)
            == []
        )


def test_a_region_without_a_majority_keeps_its_version_and_reports_since_when() -> None:
    sim = Simulation(4)
    sim.start_all()
    sim.run(3000.0)
    sim.propose(1, "v1", b"one")
    sim.run(6000.0)
    first_region = {n for n in sim.processes if PLACES[n].startswith("r1")}
    paths = {
        path for a in first_region for b in set(sim.processes) - first_region for path in ((a, b), (b, a))
    }
    sim.sever(paths)
    sim.run(10_000.0)
    sim.propose(2, "v3", b"no majority")
    sim.propose(3, "v1", b"two")
    sim.run(66_000.0)
    assert not sim.outcomes[2].won and sim.outcomes[3].won
    far_follower = sim.processes["f5"].follower
    assert far_follower is not None and far_follower.version.number == 1
    assert "confirmed by a majority 60" in far_follower.status_line(
        sim.now
    ) or "confirmed by a majority 59" in far_follower.status_line(sim.now)
    sim.heal(paths)
    sim.run(66_000.0 + timeouts.PROPAGATION_BOUND_MS)
    assert {v.number for v in sim.in_force().values()} == {2}


def test_a_follower_that_refuses_a_version_keeps_the_former_and_every_voter_lists_it() -> None:
    sim = Simulation(6)
    sim.start_all()
    sim.run(3000.0)
    sim.propose(1, "v1", b"one")
    sim.run(6000.0)
    sim.propose(2, "v1", b"not for f3;")
    sim.run(12_000.0)
    follower = sim.processes["f3"].follower
    assert follower is not None and (follower.version.number, follower.refused) == (1, 2)
    for name in VOTERS:
        voter = sim.processes[name].voter
        assert voter is not None
        counts = voter.counts(sim.now)
        assert counts.refused == {"f3": (2, "servers is 'bad'; allowed: good ones")}
        assert counts.in_force == {2: 6, 1: 1} and not counts.behind and not counts.unknown
    refusals = sum(t.event == "configuration_refused" for _, _, t in sim.log_messages)
    assert refusals == 1
    sim.propose(3, "v2", b"three")
    sim.run(16_000.0)
    assert follower.version.number == 3 and not follower.refused


def test_a_follower_that_is_not_connected_is_unknown_at_every_voter() -> None:
    sim = Simulation(7)
    sim.start_all()
    sim.run(4000.0)
    sim.propose(1, "v1", b"one")
    sim.run(8000.0)
    sim.kill("f2")
    sim.kill("f4", quiet=True)
    sim.run(25_000.0)
    for name in VOTERS:
        voter = sim.processes[name].voter
        assert voter is not None
        counts = voter.counts(sim.now)
        assert set(counts.unknown) == {"f2", "f4"} and counts.in_force == {1: 5}
        assert any(line.startswith("unknown: f2: 1 ") for line in voter.status_lines(sim.now))


@pytest.mark.parametrize(("fault", "delays"), list(timeouts.FAULTS.items()))
def test_the_delays_of_one_fault_sum_up_to_9_s_at_most(
    fault: str, delays: tuple[tuple[str, float], ...]
) -> None:
    assert sum(ms for _, ms in delays) <= timeouts.PROPAGATION_BOUND_MS == 9000.0, fault


def test_a_healthy_relay_is_never_stale() -> None:
    hop = timeouts.HEARTBEAT_INTERVAL_MS[1] + timeouts.FAST_POLL_INTERVAL_MS[1]
    assert hop + timeouts.RESPONSE_TIMEOUT_MS < timeouts.STALE_RELAY_MS
    assert timeouts.REGISTER_TIMEOUT_MS == proposals.PROPOSAL_TIMEOUT_MS


# The checker, and the violations that it must find.

VERSION_1, VERSION_2 = Version(1, "1" * 64, 1, "v1", 0), Version(2, "2" * 64, 1, "v2", 0)
HISTORY = [Decision(100.0, VERSION_1), Decision(5000.0, VERSION_2)]
ACTIVATIONS = [Activation(200.0, "f1", 1, VERSION_1.digest), Activation(6000.0, "f1", 2, VERSION_2.digest)]


@pytest.mark.parametrize(
    ("activations", "cut", "expected"),
    [
        (ACTIVATIONS, (), ""),
        ([*ACTIVATIONS, Activation(7000.0, "f1", 1, VERSION_1.digest)], (), "goes back"),
        ([Activation(50.0, "f1", 1, VERSION_1.digest), *ACTIVATIONS], (), "is not decided"),
        ([*ACTIVATIONS, Activation(7000.0, "f1", 3, VERSION_1.digest)], (), "is not decided"),
        ([ACTIVATIONS[0], Activation(6000.0, "f1", 2, VERSION_1.digest)], (), "other contents"),
        (ACTIVATIONS[:1], (), "f1 has 2 never"),
        ([ACTIVATIONS[0], Activation(14_001.0, "f1", 2, VERSION_2.digest)], (), "f1 has 2 at 14001"),
        ([ACTIVATIONS[0], Activation(20_000.0, "f1", 2, VERSION_2.digest)], ((4000.0, 12_000.0),), ""),
        (
            [ACTIVATIONS[0], Activation(21_001.0, "f1", 2, VERSION_2.digest)],
            ((4000.0, 12_000.0),),
            "allowed 21000",
        ),
    ],
)
def test_the_checker_finds_each_violation_in_a_history(
    activations: list[Activation], cut: tuple[tuple[float, float], ...], expected: str
) -> None:
    text = "; ".join(find_violations(HISTORY, activations, [ExpectedFollower("f1", cut)], 60_000.0))
    assert expected in text and bool(expected) == bool(text)
    other = [*HISTORY, Decision(6000.0, Version(2, "3" * 64, 1, "v3", 0))]
    assert "two versions are decided as number 2" in find_violations(other, activations, [], 60_000.0)


class NeverPolling(Follower):
    """A follower that polls only once."""

    def _poll_delay_ms(self) -> float:
        return 1e9


class NeverScanning(Relay):
    """A relay that never disconnects overdue followers."""

    def _scan(self, now_ms: float) -> list[act.RelayAction]:
        self.scan_ms = now_ms + 1000.0
        return []


class NeverLeaving(Follower):
    """A follower that never leaves a stale relay."""

    def _assess_relay(self, now_ms: float, confirmed_ms: int, why: str = "") -> list[act.FollowerAction]:
        return []


class AppliesOldDisk(Follower):
    """A follower that applies the version on its disk at once."""

    def start(self, now_ms: float, disk: Any = ()) -> list[act.FollowerAction]:
        actions = super().start(now_ms, disk)
        return actions + self._apply_from_disk()


class AcceptsAnyNumber(Follower):
    """A follower that accepts any number."""

    def _on_update(self, now_ms: float, update: ConfigUpdate) -> list[act.FollowerAction]:
        if update.contents is not None and self.pending is None:
            self.next_version = update.version, update.contents
            return [
                *self._begin_next(now_ms),
                *self._on_relay_number(now_ms, update.version.number, update.confirmed_age_ms),
            ]
        return super()._on_update(now_ms, update)


class PublishesProposals(ConfigurationVoter):
    """A voter that publishes a version that is only proposed."""

    def propose(
        self, now_ms: float, proposal_id: int, contents: bytes, proposed_at_ms: int, view: VoterView
    ) -> list[act.ConfigurationAction]:
        actions = super().propose(now_ms, proposal_id, contents, proposed_at_ms, view)
        if self.state.proposal is not None:
            actions.append(act.PublishVersion(self.state.proposal.version, contents))
        return actions


@pytest.mark.parametrize(
    ("fault", "kinds", "expected"),
    [
        ("lost push", {"follower": NeverPolling, "relay": NeverScanning}, "f"),
        ("a voter hears no other", {"follower": NeverLeaving}, "f"),
        ("old disk", {"follower": AppliesOldDisk}, "goes back"),
        ("none", {"voter": PublishesProposals}, "is not decided"),
    ],
)
def test_the_checker_catches_faulty_implementations(fault: str, kinds: dict[str, Any], expected: str) -> None:
    caught = [text for seed in range(14) for text in run_simulation(seed, fault, **kinds).violations()]
    assert [text for text in caught if expected in text]
