"""A model of registers and leases whose reachable states are explored: three acceptors, two lease candidates.

    python -m tests.consensus_model [--states N] [--variant NAME] [--start NAME] [--end TIME] [--rounds N N]

The model runs the code of `grebestack.consensus` itself. Sent messages stay available: each may be delivered
late, repeatedly, in any order or not at all. Members may restart, abandon a proposal at any time, and observe
the value on any disk. In every state at most one member may act, and no token is held by two members.

Omitted, because they allow no additional outcome: the loss of a promise (it makes other proposals fail, as
abandoning them does), and rejections (a member that abandons a proposal may or may not know of a higher
ballot). Steps that cannot lead to another proposal are omitted too: a member with no proposals left does not
observe, abandon or restart.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from dataclasses import replace
from typing import Any, NamedTuple

import msgspec

from grebestack.consensus.lease import NOT_HELD_MS, Lease, LeaseParticipant, LeaseTerms, lease_of
from grebestack.consensus.register import (
    NO_BALLOT,
    AcceptGranted,
    AcceptorResponse,
    AcceptorState,
    Ballot,
    BallotRejected,
    Phase,
    Round,
    accept,
    prepare,
)
from tests import state_exploration
from tests.state_exploration import ExplorationResult, put

DISKS = 3
TERMS = LeaseTerms(term_ms=2.0, max_clock_drift=0.0, guard_ms=0.0, renew_fraction=0.5, stagger_ms=0.0)
STARTS = ("fresh", "held", "released")
VARIANTS = (
    "no sync",
    "term from response",
    "votes after disk loss",
    "token from observed value",
    "no proposal numbers",
)
Request = tuple[Ballot, bool, Any]  # the ballot, whether it is an accept request, and the value


class Proposer(NamedTuple):
    """A candidate for the lease, and its proposal."""

    participant: LeaseParticipant
    when_proposed: LeaseParticipant  # its state at the proposal, from which the proposed change follows
    last_ballot: Ballot
    round: Round | None = None
    round_count: int = 0
    late_responses: frozenset[tuple[int, AcceptorResponse]] = frozenset()  # by disk; would end the phase


class World(NamedTuple):
    """One state of the model."""

    now: int
    disks: tuple[AcceptorState, ...]
    in_memory: tuple[AcceptorState, ...]  # of the acceptors; differs from the disks in broken variants
    proposers: tuple[Proposer, ...]
    sent: frozenset[Request] = frozenset()
    valid_tokens: frozenset[tuple[int, str, int]] = frozenset()  # token, member, process incarnation
    crashes: int = 0


class Model:
    """The steps from each state, and the invariants."""

    def __init__(
        self,
        variant: str = "",
        start: str = "fresh",
        end: int = 3,
        max_rounds: tuple[int, int] = (1, 1),
        max_crashes: int = 0,
    ) -> None:
        self.variant, self.start_name, self.end, self.max_rounds, self.max_crashes = (
            variant,
            start,
            end,
            max_rounds,
            max_crashes,
        )

    def start(self) -> World:
        """Return the first state: both members have read a free lease, which may have changed since.

        In "held" a has acquired it on two acceptors. In "released" another member has held and released it.
        """
        a, b = (LeaseParticipant(name, 1, TERMS, has_observed=True) for name in ("a", "b"))
        state, valid_tokens = AcceptorState(), frozenset[tuple[int, str, int]]()
        if self.start_name == "held":
            lease = Lease("a", 1, 1, 0 if self.variant == "no proposal numbers" else 1)
            a = replace(a, observed=lease, proposal_count=1, valid_until_ms=TERMS.usable_ms)
            state, valid_tokens = (
                AcceptorState(Ballot(1, "a", 1), Ballot(1, "a", 1), lease),
                frozenset({(1, "a", 1)}),
            )
        elif self.start_name == "released":
            lease = Lease("", 0, 1, 2)
            state, valid_tokens = (
                AcceptorState(Ballot(1, "", 1), Ballot(1, "", 1), lease),
                frozenset({(1, "", 1)}),
            )
        number = int(self.start_name == "held")
        proposers = (Proposer(a, a, Ballot(number, "a", 1)), Proposer(b, b, Ballot(0, "b", 1)))
        in_memory = (state, state, AcceptorState())
        disks = (AcceptorState(),) * DISKS if self.variant == "no sync" else in_memory
        return World(0, disks, in_memory, proposers, valid_tokens=valid_tokens)

    def clock(self, world: World) -> float:
        """Return the time on the proposers' clocks."""
        return float(world.now)

    def violation_of(self, world: World) -> str:
        """Return the invariant that a state violates, if any."""
        acting = [
            p.participant for p in world.proposers if p.participant.valid_token(self.clock(world)) is not None
        ]
        if len(acting) > 1:
            return "two holders may act"
        if len({token for token, *_ in world.valid_tokens}) < len(world.valid_tokens):
            return "two members held the same token"
        return ""

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield each possible step with the state after it."""
        if world.now < self.end:
            yield "time passes", self._record_valid_tokens(world._replace(now=world.now + 1))
        for i, proposer in enumerate(world.proposers):
            yield from self._proposer_steps(world, i, proposer)
        for disk in range(DISKS):
            for request in world.sent:
                yield from self._acceptor_steps(world, disk, request)
            if world.crashes < self.max_crashes and self.variant in ("no sync", "votes after disk loss"):
                recovered = world.disks[disk] if self.variant == "no sync" else AcceptorState()
                yield (
                    f"acceptor {disk} restarts",
                    world._replace(
                        in_memory=put(world.in_memory, disk, recovered), crashes=world.crashes + 1
                    ),
                )

    def _proposer_steps(self, world: World, i: int, proposer: Proposer) -> Iterator[tuple[str, World]]:
        now, name = self.clock(world), proposer.participant.name
        participant, change = proposer.participant.propose(now)
        may_propose_again = proposer.round_count < self.max_rounds[i]
        if change is not None and may_propose_again:
            ballot = proposer.last_ballot.next_above(NO_BALLOT)
            after = proposer._replace(
                participant=participant,
                when_proposed=proposer.participant,
                last_ballot=ballot,
                round_count=proposer.round_count + 1,
                round=Round(ballot, DISKS // 2 + 1),
                late_responses=frozenset(),
            )
            yield (
                f"{name} proposes",
                world._replace(
                    proposers=put(world.proposers, i, after), sent=world.sent | {(ballot, False, None)}
                ),
            )
        if proposer.round is not None:
            abandoned = proposer._replace(
                participant=proposer.participant.on_failed(now), round=None, late_responses=frozenset()
            )
            highest = max(ballot.number for ballot, *_ in world.sent)
            for number in {proposer.last_ballot.number, highest} if may_propose_again else ():
                after = abandoned._replace(last_ballot=proposer.last_ballot._replace(number=number))
                yield (
                    f"{name} abandons its proposal",
                    world._replace(proposers=put(world.proposers, i, after)),
                )
            for disk, response in proposer.late_responses:
                step = f"{name} receives the late response of acceptor {disk}"
                yield step, self._on_response(world, i, disk, response)
        if world.crashes < self.max_crashes and may_propose_again:
            participant = LeaseParticipant(name, proposer.participant.process_incarnation + 1, TERMS)
            restarted = Proposer(
                participant,
                participant,
                Ballot(proposer.last_ballot.number, name, participant.process_incarnation),
                round_count=proposer.round_count,
            )
            yield (
                f"{name} restarts",
                world._replace(proposers=put(world.proposers, i, restarted), crashes=world.crashes + 1),
            )
        for value in {state.value for state in world.disks} if may_propose_again else ():
            observing = proposer._replace(participant=proposer.participant.observe(now, value))
            if observing != proposer:
                yield (
                    f"{name} observes {value}",
                    world._replace(proposers=put(world.proposers, i, observing)),
                )

    def _acceptor_steps(self, world: World, disk: int, request: Request) -> Iterator[tuple[str, World]]:
        """An acceptor handles a request; its response is lost, received immediately, or received later.

        Receiving late is only explored for responses that end a phase: others change nothing but a count.
        """
        ballot, is_accept, value = request
        state = world.in_memory[disk]
        state, response = accept(state, ballot, value) if is_accept else prepare(state, ballot)
        in_memory = put(world.in_memory, disk, state)
        disks = world.disks if self.variant == "no sync" else in_memory
        after = world._replace(in_memory=in_memory, disks=disks)
        verb = "accept" if is_accept else "promise"
        step = f"acceptor {disk} is requested to {verb} {ballot.number}{ballot.member}"
        if after != world and is_accept and isinstance(response, AcceptGranted):
            yield f"{step}, its response is lost", after
        for i, proposer in enumerate(world.proposers):
            if (
                proposer.round is not None
                and proposer.round.ballot == ballot
                and not isinstance(response, BallotRejected)
            ):
                received = self._on_response(after, i, disk, response)
                if received != after:
                    yield step, received
                round_ = received.proposers[i].round
                if round_ is None or round_.phase is not proposer.round.phase:
                    delayed = proposer._replace(late_responses=proposer.late_responses | {(disk, response)})
                    yield (
                        f"{step}, its response is late",
                        after._replace(proposers=put(after.proposers, i, delayed)),
                    )

    def _on_response(self, world: World, i: int, disk: int, response: AcceptorResponse) -> World:
        proposer, now = world.proposers[i], self.clock(world)
        assert proposer.round is not None and proposer.participant.proposed_ms is not None
        change = proposer.when_proposed.propose(proposer.participant.proposed_ms)[1]
        assert change is not None
        round_ = proposer.round.on_response(disk, response, change)
        if round_ == proposer.round:
            return world
        if self.variant == "token from observed value" and round_.proposed_value != round_.previous_value:
            mine = lease_of(round_.proposed_value)
            if mine.holder == proposer.participant.name and not proposer.when_proposed.is_held:
                mine = msgspec.structs.replace(mine, token=proposer.when_proposed.observed.token + 1)
                round_ = replace(round_, proposed_value=mine)
        if self.variant == "no proposal numbers" and isinstance(round_.proposed_value, Lease):
            round_ = replace(
                round_, proposed_value=msgspec.structs.replace(round_.proposed_value, proposal_number=0)
            )
        after, sent = proposer._replace(round=round_), world.sent
        if round_.phase is Phase.ACCEPTING and proposer.round.phase is Phase.PREPARING:
            sent = sent | {(round_.ballot, True, round_.proposed_value)}
            after = after._replace(late_responses=frozenset())
        elif round_.phase is Phase.CHOSEN:
            participant = proposer.participant.on_chosen(now, round_.previous_value, round_.proposed_value)
            if self.variant == "term from response" and participant.valid_until_ms > NOT_HELD_MS:
                participant = replace(participant, valid_until_ms=now + TERMS.usable_ms)
            after = after._replace(participant=participant, round=None, late_responses=frozenset())
        return self._record_valid_tokens(world._replace(proposers=put(world.proposers, i, after), sent=sent))

    def _record_valid_tokens(self, world: World) -> World:
        now = self.clock(world)
        valid_tokens = {
            (token, p.participant.name, p.participant.process_incarnation)
            for p in world.proposers
            if (token := p.participant.valid_token(now)) is not None
        }
        return world._replace(valid_tokens=world.valid_tokens | valid_tokens)


def canonical(world: World) -> World:
    """Return one representative of all states that differ only in the order of the acceptors."""
    responders = [p.round.responders if p.round is not None else frozenset() for p in world.proposers]

    def hash_of(disk: int) -> int:
        late = (frozenset(r for at, r in p.late_responses if at == disk) for p in world.proposers)
        return hash((world.disks[disk], world.in_memory[disk], *(disk in r for r in responders), *late))

    hashes = [hash_of(disk) for disk in range(DISKS)]
    order = sorted(range(DISKS), key=lambda disk: hashes[disk])
    if order == list(range(DISKS)):
        return world
    new_index: dict[object, int] = {disk: order.index(disk) for disk in range(DISKS)}
    proposers = tuple(
        p._replace(
            late_responses=frozenset((new_index[disk], response) for disk, response in p.late_responses),
            round=p.round and replace(p.round, responders=frozenset(new_index[disk] for disk in r)),
        )
        for p, r in zip(world.proposers, responders, strict=True)
    )
    disks = tuple(world.disks[disk] for disk in order)
    return world._replace(
        disks=disks, in_memory=tuple(world.in_memory[d] for d in order), proposers=proposers
    )


def explore(model: Model, max_states: int) -> ExplorationResult:
    """Explore up to `max_states` states, breadth first."""
    return state_exploration.explore(model.start(), model.steps, model.violation_of, max_states, canonical)


def main() -> int:
    """Explore from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument("--variant", default="", choices=("", *VARIANTS))
    parser.add_argument("--start", default="fresh", choices=STARTS)
    parser.add_argument("--end", type=int, default=3)
    parser.add_argument("--rounds", type=int, nargs=2, default=(1, 1))
    parser.add_argument("--crashes", type=int, default=0)
    args = parser.parse_args()
    model = Model(args.variant, args.start, args.end, tuple(args.rounds), args.crashes)
    return explore(model, args.states).report()


if __name__ == "__main__":
    sys.exit(main())
