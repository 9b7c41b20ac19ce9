"""Every state that registers and leases can reach, within a bound: three disks, and two that want a task.

    python -m tests.consensus_model [--states N] [--variant NAME] [--start NAME] [--end TIME] [--rounds N N]

The code that is explored is `grebestack.consensus` itself. Messages are never taken off the wire: each may
come late, more than once, in any order or not at all. Members may stop and start anew, give an proposal up at
any time, and look at what lies on any disk. After each step at most one of them may act, and no token is held
by two.

Left out, since it only hinders: a promise that its proposer does not receive (it makes others' proposals
fail, as giving them up does), and a rejection (who gives up may or may not have heard of a higher ballot).
Steps that can't lead to another proposal are left out too: who has none left neither looks, gives up nor
starts anew.
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
VARIANTS = ("no sync", "counted from the answer", "votes without its disk", "token from memory", "same marks")
Request = tuple[Ballot, bool, Any]  # its ballot, whether it asks to accept, and what


class Proposer(NamedTuple):
    """One that wants the task, and its proposal."""

    holder: LeaseParticipant
    before: LeaseParticipant  # as it was when it asked: what it asks for follows from it
    last: Ballot
    round: Round | None = None
    rounds: int = 0
    late: frozenset[tuple[int, AcceptorResponse]] = (
        frozenset()
    )  # answers on their way that would end its phase


class World(NamedTuple):
    """One state."""

    now: int
    disks: tuple[AcceptorState, ...]
    unsynced: tuple[
        AcceptorState, ...
    ]  # what the members believe; another than the disk only where nothing is synced
    proposers: tuple[Proposer, ...]
    sent: frozenset[Request] = frozenset()
    acted: frozenset[tuple[int, str, int]] = frozenset()  # tokens that could be acted under, and by whom
    crashes: int = 0


class Model:
    """The steps from each state, and what must hold in it."""

    def __init__(
        self,
        variant: str = "",
        start: str = "fresh",
        end: int = 3,
        rounds: tuple[int, int] = (1, 1),
        crashes: int = 0,
    ) -> None:
        self.variant, self.begins, self.end, self.rounds, self.crashes = variant, start, end, rounds, crashes

    def start(self) -> World:
        """Both have read that nobody has it. Since then a, or one that gave it back, took it by two disks."""
        a, b = (LeaseParticipant(name, 1, TERMS, has_observed=True) for name in ("a", "b"))
        slot, acted = AcceptorState(), frozenset[tuple[int, str, int]]()
        if self.begins == "held":
            lease = Lease("a", 1, 1, 0 if self.variant == "same marks" else 1)
            a = replace(a, observed=lease, proposal_count=1, valid_until_ms=TERMS.usable_ms)
            slot, acted = AcceptorState(Ballot(1, "a", 1), Ballot(1, "a", 1), lease), frozenset({(1, "a", 1)})
        elif self.begins == "released":
            lease = Lease("", 0, 1, 2)
            slot, acted = AcceptorState(Ballot(1, "", 1), Ballot(1, "", 1), lease), frozenset({(1, "", 1)})
        number = int(self.begins == "held")
        proposers = (Proposer(a, a, Ballot(number, "a", 1)), Proposer(b, b, Ballot(0, "b", 1)))
        believed = (slot, slot, AcceptorState())
        disks = (AcceptorState(),) * DISKS if self.variant == "no sync" else believed
        return World(0, disks, believed, proposers, acted=acted)

    def clock(self, world: World) -> float:
        """What the proposers' clocks show."""
        return float(world.now)

    def wrong(self, world: World) -> str:
        """Which rule a state breaks, if any."""
        acting = [a.holder for a in world.proposers if a.holder.valid_token(self.clock(world)) is not None]
        if len(acting) > 1:
            return "two holders may act"
        if len({token for token, *_ in world.acted}) < len(world.acted):
            return "a token was held by two"
        return ""

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """What may happen next, each with the state after it."""
        if world.now < self.end:
            yield "a moment passes", self._noted(world._replace(now=world.now + 1))
        for i, proposer in enumerate(world.proposers):
            yield from self._proposer(world, i, proposer)
        for disk in range(DISKS):
            for request in world.sent:
                yield from self._ask_disk(world, disk, request)
            if world.crashes < self.crashes and self.variant in ("no sync", "votes without its disk"):
                lost = world.disks[disk] if self.variant == "no sync" else AcceptorState()
                yield (
                    f"member {disk} starts anew",
                    world._replace(unsynced=put(world.unsynced, disk, lost), crashes=world.crashes + 1),
                )

    def _proposer(self, world: World, i: int, proposer: Proposer) -> Iterator[tuple[str, World]]:
        now, name = self.clock(world), proposer.holder.name
        holder, change = proposer.holder.propose(now)
        left = proposer.rounds < self.rounds[i]
        if change is not None and left:
            ballot = proposer.last.next_above(NO_BALLOT)
            after = proposer._replace(
                holder=holder,
                before=proposer.holder,
                last=ballot,
                rounds=proposer.rounds + 1,
                round=Round(ballot, DISKS // 2 + 1),
                late=frozenset(),
            )
            yield (
                f"{name} asks",
                world._replace(
                    proposers=put(world.proposers, i, after), sent=world.sent | {(ballot, False, None)}
                ),
            )
        if proposer.round is not None:
            given_up = proposer._replace(holder=proposer.holder.on_failed(now), round=None, late=frozenset())
            highest = max(ballot.number for ballot, *_ in world.sent)
            for number in {proposer.last.number, highest} if left else ():
                after = given_up._replace(last=proposer.last._replace(number=number))
                yield (
                    f"{name} gives its proposal up",
                    world._replace(proposers=put(world.proposers, i, after)),
                )
            for disk, answer in proposer.late:
                what = f"{name} hears late from member {disk}"
                yield what, self._on_response(world, i, disk, answer)
        if world.crashes < self.crashes and left:
            holder = LeaseParticipant(name, proposer.holder.process_incarnation + 1, TERMS)
            restarted = Proposer(
                holder,
                holder,
                Ballot(proposer.last.number, name, holder.process_incarnation),
                rounds=proposer.rounds,
            )
            yield (
                f"{name} starts anew",
                world._replace(proposers=put(world.proposers, i, restarted), crashes=world.crashes + 1),
            )
        for value in {slot.value for slot in world.disks} if left else ():
            observing = proposer._replace(holder=proposer.holder.observe(now, value))
            if observing != proposer:
                yield f"{name} sees {value}", world._replace(proposers=put(world.proposers, i, observing))

    def _ask_disk(self, world: World, disk: int, request: Request) -> Iterator[tuple[str, World]]:
        """A request reaches a disk; its answer is lost, is heard at once, or, where it matters, later.

        One that does not end its phase changes nothing but a count: to hear it later is to hear it at once.
        """
        ballot, accepts, value = request
        slot = world.unsynced[disk]
        slot, answer = accept(slot, ballot, value) if accepts else prepare(slot, ballot)
        unsynced = put(world.unsynced, disk, slot)
        disks = world.disks if self.variant == "no sync" else unsynced
        after = world._replace(unsynced=unsynced, disks=disks)
        verb = "accept" if accepts else "promise"
        what = f"member {disk} is asked to {verb} {ballot.number}{ballot.member}"
        if after != world and accepts and isinstance(answer, AcceptGranted):
            yield f"{what}, its answer is lost", after
        for i, proposer in enumerate(world.proposers):
            if (
                proposer.round is not None
                and proposer.round.ballot == ballot
                and not isinstance(answer, BallotRejected)
            ):
                heard = self._on_response(after, i, disk, answer)
                if heard != after:
                    yield what, heard
                round_ = heard.proposers[i].round
                if round_ is None or round_.phase is not proposer.round.phase:
                    late = proposer._replace(late=proposer.late | {(disk, answer)})
                    yield (
                        f"{what}, its answer is late",
                        after._replace(proposers=put(after.proposers, i, late)),
                    )

    def _on_response(self, world: World, i: int, disk: int, answer: AcceptorResponse) -> World:
        proposer, now = world.proposers[i], self.clock(world)
        assert proposer.round is not None and proposer.holder.proposed_ms is not None
        change = proposer.before.propose(proposer.holder.proposed_ms)[1]
        assert change is not None
        round_ = proposer.round.on_response(disk, answer, change)
        if round_ == proposer.round:
            return world
        if self.variant == "token from memory" and round_.proposed_value != round_.previous_value:
            mine = lease_of(round_.proposed_value)
            if mine.holder == proposer.holder.name and not proposer.before.is_held:
                mine = msgspec.structs.replace(mine, token=proposer.before.observed.token + 1)
                round_ = replace(round_, proposed_value=mine)
        if self.variant == "same marks" and isinstance(round_.proposed_value, Lease):
            round_ = replace(
                round_, proposed_value=msgspec.structs.replace(round_.proposed_value, proposal_number=0)
            )
        after, sent = proposer._replace(round=round_), world.sent
        if round_.phase is Phase.ACCEPTING and proposer.round.phase is Phase.PREPARING:
            sent = sent | {(round_.ballot, True, round_.proposed_value)}
            after = after._replace(late=frozenset())
        elif round_.phase is Phase.CHOSEN:
            holder = proposer.holder.on_chosen(now, round_.previous_value, round_.proposed_value)
            if self.variant == "counted from the answer" and holder.valid_until_ms > NOT_HELD_MS:
                holder = replace(holder, valid_until_ms=now + TERMS.usable_ms)
            after = after._replace(holder=holder, round=None, late=frozenset())
        return self._noted(world._replace(proposers=put(world.proposers, i, after), sent=sent))

    def _noted(self, world: World) -> World:
        now = self.clock(world)
        acted = {
            (token, a.holder.name, a.holder.process_incarnation)
            for a in world.proposers
            if (token := a.holder.valid_token(now)) is not None
        }
        return world._replace(acted=world.acted | acted)


def one_of_alike(world: World) -> World:
    """Members' disks are alike: of states that differ by their order alone one stands for all."""
    heard = [a.round.responders if a.round is not None else frozenset() for a in world.proposers]

    def look(disk: int) -> int:
        late = (frozenset(answer for at, answer in a.late if at == disk) for a in world.proposers)
        return hash((world.disks[disk], world.unsynced[disk], *(disk in h for h in heard), *late))

    looks = [look(disk) for disk in range(DISKS)]
    order = sorted(range(DISKS), key=lambda disk: looks[disk])
    if order == list(range(DISKS)):
        return world
    place: dict[object, int] = {disk: order.index(disk) for disk in range(DISKS)}
    proposers = tuple(
        a._replace(
            late=frozenset((place[disk], answer) for disk, answer in a.late),
            round=a.round and replace(a.round, responders=frozenset(place[disk] for disk in h)),
        )
        for a, h in zip(world.proposers, heard, strict=True)
    )
    disks = tuple(world.disks[disk] for disk in order)
    return world._replace(disks=disks, unsynced=tuple(world.unsynced[d] for d in order), proposers=proposers)


def explore(model: Model, most: int) -> ExplorationResult:
    """See every state, the nearest first, up to so many."""
    return state_exploration.explore(model.start(), model.steps, model.wrong, most, one_of_alike)


def main() -> int:
    """Explore by command, as far as is wanted."""
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
