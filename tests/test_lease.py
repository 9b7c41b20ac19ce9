"""Registers and leases: exploration of the model, random faults with drifting clocks, and the fence."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import pytest
from msgspec import structs

from grebestack.consensus.lease import FREE, Fence, Lease, LeaseParticipant, LeaseTerms, acquire, release
from grebestack.consensus.register import (
    NO_BALLOT,
    AcceptorResponse,
    AcceptorState,
    Ballot,
    Phase,
    Round,
    Value,
    accept,
    prepare,
)
from tests.consensus_model import Model, explore


@pytest.mark.parametrize(("start", "end"), [("fresh", 3), ("held", 3), ("released", 0)])
def test_at_most_one_member_may_act_in_every_reachable_state(start: str, end: int) -> None:
    result = explore(Model("", start, end), 60_000)
    print(f"states={result.states}")
    assert result.is_complete and not result.violation, result.trace
    assert result.states > 2000


@pytest.mark.parametrize(
    ("variant", "start", "max_crashes", "violation"),
    [
        ("no sync", "held", 1, "two holders may act"),
        ("votes after disk loss", "held", 1, "two holders may act"),
        ("term from response", "fresh", 0, "two holders may act"),
        ("token from observed value", "released", 0, "two members held the same token"),
    ],
)
def test_the_exploration_finds_the_fault_of_a_broken_variant(
    variant: str, start: str, max_crashes: int, violation: str
) -> None:
    result = explore(Model(variant, start, 3, (1, 1), max_crashes), 60_000)
    print("\n".join(result.trace))
    assert result.violation == violation and 4 < len(result.trace) < 16


def test_the_value_of_an_abandoned_proposal_is_not_mistaken_for_the_next_one() -> None:
    # Guards against a member that has observed an abandoned proposal's value for a term and then acquires the
    # lease, although the holder's next proposal was chosen just before.
    terms = LeaseTerms(term_ms=1000.0, guard_ms=0.0)
    held = LeaseParticipant(
        "a", 1, terms, has_observed=True, observed=Lease("a", 1, 1, 1), proposal_count=1, valid_until_ms=900.0
    )
    proposing, abandoned_change = held.propose(400.0)
    assert abandoned_change is not None
    abandoned_value = abandoned_change(held.observed)
    candidate = LeaseParticipant("b", 1, terms, has_observed=True).observe(410.0, abandoned_value)
    proposing_again, change = proposing.on_failed(500.0).propose(890.0)
    assert change is not None
    chosen_value = change(held.observed)
    holder = proposing_again.on_chosen(895.0, held.observed, chosen_value)
    assert holder.valid_token(1500.0) == 1
    _, takeover = candidate.propose(410.0 + terms.takeover_ms)
    assert takeover is not None and takeover(chosen_value) == chosen_value
    assert takeover(abandoned_value) != abandoned_value


def test_a_term_counts_only_from_a_proposal_that_made_the_value() -> None:
    terms = LeaseTerms(term_ms=1000.0)
    mine = Lease("a", 1, 4, 7)
    proposing, _ = replace(
        LeaseParticipant("a", 1, terms), has_observed=True, observed=mine, proposal_count=7
    ).propose(5000.0)
    assert proposing.on_chosen(5010.0, mine, mine).valid_token(5011.0) is None
    assert (
        proposing.on_chosen(5010.0, mine, structs.replace(mine, proposal_number=8)).valid_token(5011.0) == 4
    )


def test_a_restarted_member_does_not_hold_its_former_lease_and_waits_for_its_end() -> None:
    terms = LeaseTerms(term_ms=1000.0)
    restarted = LeaseParticipant("a", 2, terms).observe(100.0, Lease("a", 1, 3, 1))
    assert restarted.valid_token(101.0) is None and restarted.due_ms() == 100.0 + terms.takeover_ms


def test_a_release_frees_the_lease_and_a_handover_reserves_it_for_one_member() -> None:
    held = Lease("a", 1, 3, 9)
    free = release(held)(held)
    assert free.holder == "" and acquire(Lease("b", 1, 0, 1), FREE)(free) == Lease("b", 1, 4, 1)
    handed_over = release(held, "b")(held)
    receiver, other = (
        LeaseParticipant(name, 1, LeaseTerms()).observe(0.0, handed_over) for name in ("b", "c")
    )
    assert receiver.due_ms() == 0.0 and receiver.valid_token(0.0) is None and other.due_ms() > 4000.0
    assert release(held)(Lease("b", 1, 4, 1)) == Lease("b", 1, 4, 1)


def test_a_fence_rejects_an_older_token() -> None:
    fence = Fence()
    assert [fence.admits(token) for token in (1, 2, 1, 2, 3, 2)] == [True, True, False, True, True, False]


@pytest.mark.parametrize(
    "invalid", [{"term_ms": 0.0}, {"max_clock_drift": 0.5}, {"renew_fraction": 1.0}, {"guard_ms": 3000.0}]
)
def test_terms_out_of_range_are_rejected(invalid: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="out of range|guard_ms"):
        LeaseTerms(**invalid)


class Simulation:
    """Three candidates for a lease and five acceptors, under random faults.

    Messages are delayed, lost and repeated, links are cut, members are paused and restarted.
    """

    TERMS = LeaseTerms(term_ms=1000.0, max_clock_drift=0.02, guard_ms=20.0, stagger_ms=40.0)

    def __init__(self, seed: int, rates: tuple[float, float, float]) -> None:
        self.random, self.now, self.event_count = random.Random(seed), 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.disks = [AcceptorState() for _ in range(5)]
        self.clock_rates = rates
        self.clock_offsets = [self.random.uniform(0, 1e6) for _ in rates]
        self.participants = [LeaseParticipant(f"m{i}", 1, self.TERMS, rank=i) for i in range(3)]
        self.rounds: list[Round | None] = [None] * 3
        self.ballots = [Ballot(0, f"m{i}", 1) for i in range(3)]
        self.paused_until = [0.0] * 3
        self.cut: set[tuple[int, int]] = set()
        self.fence = Fence()
        self.acts: list[tuple[float, int, int, bool]] = []  # time, token, member, admitted by the fence
        self.overlaps = self.idle = 0
        for i in range(3):
            self.schedule(self.random.uniform(0, 50), partial(self.tick, i))

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, callback))

    def clock(self, i: int) -> float:
        return self.clock_offsets[i] + self.now * self.clock_rates[i]

    def tick(self, i: int) -> None:
        """Have a member observe its own disk, act if it may, and make the proposal that is due."""
        self.schedule(self.random.uniform(5, 40), partial(self.tick, i))
        if self.now < self.paused_until[i]:
            return
        participant = self.participants[i].observe(self.clock(i), self.disks[i].value)
        token = participant.valid_token(self.clock(i))
        if token is not None:
            others = (p.valid_token(self.clock(j)) for j, p in enumerate(self.participants) if j != i)
            self.overlaps += any(other is not None for other in others)
            self.acts.append((self.now, token, i, self.fence.admits(token)))
        participant, change = participant.propose(self.clock(i))
        self.participants[i] = participant
        if change is not None:
            ballot = self.ballots[i] = self.ballots[i].next_above(NO_BALLOT)
            self.rounds[i] = Round(ballot, 3)
            self.send(i, ballot, change, None)
            self.schedule(self.random.uniform(100, 400), partial(self.abandon, i, ballot))

    def send(self, i: int, ballot: Ballot, change: Callable[[Value], Value], value: Value) -> None:
        round_ = self.rounds[i]
        is_accept = round_ is not None and round_.phase is Phase.ACCEPTING
        for disk in range(5):
            for _ in range(self.random.choice((0, 1, 1, 1, 1, 2))):
                self.schedule(
                    self.delay(), partial(self.handle_request, i, disk, ballot, change, value, is_accept)
                )

    def delay(self) -> float:
        return self.random.choice((1.0, 3.0, 10.0, 80.0, 900.0)) * self.random.random()

    def handle_request(
        self,
        i: int,
        disk: int,
        ballot: Ballot,
        change: Callable[[Value], Value],
        value: Value,
        is_accept: bool,
    ) -> None:
        if (i, disk) in self.cut:
            return
        state = self.disks[disk]
        self.disks[disk], response = accept(state, ballot, value) if is_accept else prepare(state, ballot)
        if (disk, i) not in self.cut:
            self.schedule(self.delay(), partial(self.handle_response, i, disk, response, change))

    def handle_response(
        self, i: int, disk: int, response: AcceptorResponse, change: Callable[[Value], Value]
    ) -> None:
        before = self.rounds[i]
        if before is None or self.now < self.paused_until[i]:
            return
        after = self.rounds[i] = before.on_response(disk, response, change)
        if after.phase is Phase.ACCEPTING and before.phase is Phase.PREPARING:
            self.send(i, after.ballot, change, after.proposed_value)
        elif after.phase is Phase.CHOSEN and before.phase is Phase.ACCEPTING:
            self.rounds[i] = None
            self.participants[i] = self.participants[i].on_chosen(
                self.clock(i), after.previous_value, after.proposed_value
            )
        elif after.phase is Phase.PREEMPTED and before.phase is not Phase.PREEMPTED:
            self.ballots[i] = self.ballots[i]._replace(number=after.preempting_ballot.number)
            self.abandon(i, after.ballot)

    def abandon(self, i: int, ballot: Ballot) -> None:
        round_ = self.rounds[i]
        if round_ is not None and round_.ballot == ballot:
            self.rounds[i] = None
            self.participants[i] = self.participants[i].on_failed(
                self.clock(i) + self.random.uniform(10, 150)
            )

    def inject_fault(self) -> None:
        """Inject one random fault."""
        i = self.random.randrange(3)
        fault = self.random.randrange(4)
        if fault == 0:
            self.paused_until[i] = self.now + self.random.uniform(100, 3000)
        elif fault == 1:
            incarnation = self.participants[i].process_incarnation + 1
            self.participants[i] = LeaseParticipant(f"m{i}", incarnation, self.TERMS, rank=i)
            self.rounds[i] = None
            self.ballots[i] = Ballot(self.ballots[i].number, f"m{i}", incarnation)
        elif fault == 2:
            self.cut = {(a, b) for a in range(5) for b in range(5) if self.random.random() < 0.3}
        else:
            self.cut = set()

    def run(self, until: float) -> None:
        while self.events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = until


@pytest.mark.parametrize("seed", range(6))
def test_two_members_never_act_at_once_under_random_faults_with_clocks_within_the_bound(seed: int) -> None:
    print(f"seed={seed}")
    simulation = Simulation(seed, (1.01, 0.99, 1.0))
    for step in range(40):
        simulation.run(400.0 * (step + 1))
        simulation.inject_fault()
    assert simulation.overlaps == 0
    tokens = [token for _, token, _, _ in simulation.acts]
    assert tokens == sorted(tokens) and all(admitted for *_, admitted in simulation.acts)
    assert len({(token, member) for _, token, member, _ in simulation.acts}) == len(set(tokens))
    simulation.cut, simulation.paused_until = set(), [0.0] * 3
    simulation.run(simulation.now + 8000.0)
    assert simulation.acts[-1][0] > simulation.now - 2500.0, (
        "no member holds the lease although all faults have ended"
    )


def test_with_a_clock_beyond_the_bound_two_members_act_and_the_fence_rejects_the_former() -> None:
    # Shows that the check above detects overlaps, and that the fence protects where clocks exceed the bound.
    overlaps = rejected = 0
    for seed in range(12):
        simulation = Simulation(seed, (1.0, 4.0, 1.0))
        for step in range(40):
            simulation.run(400.0 * (step + 1))
            simulation.inject_fault()
        overlaps += simulation.overlaps
        rejected += sum(not admitted for *_, admitted in simulation.acts)
        tokens = [token for _, token, _, admitted in simulation.acts if admitted]
        assert tokens == sorted(tokens)
    assert overlaps > 0 and rejected > 0
