"""Every state that a change of the set can reach, within a bound: one of three members is replaced.

    python -m tests.membership_change_model [--states N] [--variant NAME] [--start NAME]

c is to be replaced by itself under a new incarnation while its old one still answers, a stopped process that
goes on, say. What the following set is has been agreed on (`tests.consensus_model` explores that). From
`asked` on, one has asked in the former epoch, a and b have promised, and another asks in the following one;
at `sealed` a and b have also ended the former epoch; at `both` they have, and two ask in the following one.
Messages are never taken off the wire: each may come late, more than once, in any order or not at all; the
code is that of `grebestack.consensus`. What was in force is never lost: all values that ever were, in either
epoch, are the beginnings of one another.

A response is handled at once or not at all: since a proposer may send its next request at any time, a later
response leads nowhere else. An acceptance need not be received: the disks show it.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from typing import Any, NamedTuple

from grebestack.consensus.acceptor import Acceptor
from grebestack.consensus.actions import Peer, Send, Write
from grebestack.consensus.messages import (
    Accept,
    EnterEpoch,
    EpochEntered,
    EpochRequest,
    MembershipConfig,
    Message,
    Prepare,
    Promise,
    RegisterEntry,
    RegisterWritten,
    StopVoting,
    VotingStopped,
)
from grebestack.consensus.recovery import RecoveredState, merge_registers
from grebestack.consensus.register import NO_BALLOT, AcceptorState, Ballot, Phase, PromiseGranted, Round
from tests import state_exploration
from tests.state_exploration import ExplorationResult, put

FORMER = MembershipConfig(1, (("a", "1"), ("b", "1"), ("c", "1")))
FOLLOWING = MembershipConfig(2, (("a", "1"), ("b", "1"), ("c", "2")))
EVERY_RECORD = 1_000_000  # a later one than any log here has
ACCEPTORS = (("a", "1"), ("b", "1"), ("c", "1"), ("c", "2"))
VARIANTS = (
    "votes on after sealing",
    "one seal is enough",
    "nothing is carried over",
    "votes before it has entered",
    "the old incarnation votes on",
)
STARTS = ("asked", "sealed", "both")
X = "x"


class Disk(NamedTuple):
    """A index."""

    config: MembershipConfig = FORMER
    has_stopped: bool = False
    state: AcceptorState = AcceptorState()
    ever: frozenset[tuple[int, Ballot, Any]] = frozenset()  # what it has accepted, and in which epoch


class Proposer(NamedTuple):
    """One that changes the register: it adds its own letter to what is there."""

    epoch: int = 0
    round: Round | None = None


class World(NamedTuple):
    """One state."""

    disks: tuple[Disk, ...]
    proposers: tuple[Proposer, ...] = (Proposer(), Proposer())
    asked: frozenset[tuple[int, Ballot, Any]] = frozenset()  # epoch, ballot, and a value where to accept
    stopped: frozenset[tuple[int, RegisterEntry]] = frozenset()
    entered: frozenset[tuple[RegisterEntry, ...]] = frozenset()  # by members that are there already


def start(name: str) -> World:
    """The first value is in force: a and c have accepted it."""
    told: Any
    first, ever = Ballot(1), frozenset({(1, Ballot(1), "0")})
    if name == "both":
        held = Disk(has_stopped=True, state=AcceptorState(first, first, "0"), ever=ever)
        told = ((0, (X, first, first, "0")), (1, (X, NO_BALLOT, NO_BALLOT, None)))
        return World((held, Disk(has_stopped=True), held, Disk()), stopped=frozenset(told))
    mine = Ballot(2, "x", 1)
    a, b = Disk(state=AcceptorState(mine, first, "0"), ever=ever), Disk(state=AcceptorState(mine))
    c = Disk(state=AcceptorState(first, first, "0"), ever=ever)
    asked = frozenset({(1, mine, "0x")})
    proposers = Proposer(1, Round(mine, 2, Phase.ACCEPTING)), Proposer()
    told = ()
    if name == "sealed":
        a, b = a._replace(has_stopped=True), b._replace(has_stopped=True)
        told = ((0, (X, mine, first, "0")), (1, (X, mine, NO_BALLOT, None)))
    return World((a, b, c, Disk()), proposers, asked, frozenset(told))


class Model:
    """The steps from each state, and what must hold in it."""

    def __init__(self, variant: str = "") -> None:
        self.variant = variant

    def wrong(self, world: World) -> str:
        """Whether two values that were in force are not the beginnings of one another."""
        chosen = set()
        for epoch, config in ((1, FORMER), (2, FOLLOWING)):
            by: dict[tuple[Ballot, Any], set[str]] = {}
            for (name, incarnation), disk in zip(ACCEPTORS, world.disks, strict=True):
                if config.is_voter(name, incarnation) or self.variant == "the old incarnation votes on":
                    for at, ballot, value in disk.ever:
                        if at == epoch:
                            by.setdefault((ballot, value), set()).add(name)
            chosen |= {value for (_, value), names in by.items() if len(names) >= config.quorum_size}
        values = sorted(chosen, key=len)
        ok = all(b.startswith(a) for a, b in zip(values, values[1:], strict=False))
        return "" if ok else f"in force were {values}"

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """What may happen next, each with the state after it."""
        for n, proposer in enumerate(world.proposers):
            if proposer.round is None:
                ballot = Ballot(2 + n, "xy"[n], 1)
                yield (
                    f"{'xy'[n]} asks",
                    world._replace(
                        proposers=put(world.proposers, n, Proposer(2, Round(ballot, 2))),
                        asked=world.asked | {(2, ballot, None)},
                    ),
                )
        for index in range(len(ACCEPTORS)):
            for epoch, ballot, value in world.asked:
                message = Prepare(epoch, X, ballot) if value is None else Accept(epoch, X, ballot, value)
                yield from self._acceptor(world, index, message)
            yield from self._acceptor(world, index, StopVoting(1, FOLLOWING))
            yield from self._acceptor(world, index, EpochRequest(1))
            for enter in self._enters(world):
                yield from self._acceptor(world, index, enter)

    def _enters(self, world: World) -> Iterator[EnterEpoch]:
        least = 1 if self.variant == "one seal is enough" else FORMER.quorum_size
        stopped = sorted(world.stopped, key=lambda item: item[0])
        for first in range(len(stopped)):
            for last in range(first + least, len(stopped) + 1):
                some = [seal for _, seal in stopped[first:last]]
                nothing = self.variant == "nothing is carried over"
                yield EnterEpoch(FOLLOWING, () if nothing else merge_registers([(slot,) for slot in some]))
        for slots in world.entered:
            yield EnterEpoch(FOLLOWING, slots)

    def _on_promise(self, world: World, epoch: int, index: int, answer: PromiseGranted) -> World:
        n = "xy".index(answer.ballot.member)
        proposer, name = world.proposers[n], ACCEPTORS[index][0]
        assert proposer.round is not None
        round_ = proposer.round.on_response(name, answer, lambda value: (value or "") + "xy"[n])
        asked = world.asked
        if round_.phase is Phase.ACCEPTING and proposer.round.phase is Phase.PREPARING:
            asked = asked | {(proposer.epoch, round_.ballot, round_.proposed_value)}
        proposers = put(world.proposers, n, proposer._replace(round=round_))
        return world._replace(proposers=proposers, asked=asked)

    def _acceptor(self, world: World, n: int, message: Message) -> Iterator[tuple[str, World]]:
        disk, (name, incarnation) = world.disks[n], ACCEPTORS[n]
        state = RecoveredState("f", incarnation, disk.config, FOLLOWING if disk.has_stopped else None, 1)
        if disk.state != AcceptorState():
            state.registers[X] = disk.state
        acceptor = Acceptor(name, state, 1)
        acceptor.is_confirmed = acceptor.is_new_disk = True
        for (
            other,
            _,
        ) in ACCEPTORS:  # no disk loses a record here, so it does not matter who has heard of which
            acceptor.witnesses.on_connected(other, EVERY_RECORD)
        if self.variant == "votes on after sealing" and isinstance(message, Prepare | Accept):
            state.next_config = None
        if self.variant == "votes before it has entered" and incarnation == "2":
            state.config = FOLLOWING
        if self.variant == "the old incarnation votes on" and state.config == FOLLOWING:
            state.disk_incarnation = dict(FOLLOWING.members)[name]
        actions = acceptor.on_message(Peer("proposer", "1", 1), message) + acceptor.on_synced(99)
        ever = disk.ever
        for action in actions:
            if isinstance(action, Write) and isinstance(action.record, RegisterWritten | EpochEntered):
                slots = (
                    action.record.registers
                    if isinstance(action.record, EpochEntered)
                    else (action.record.entry,)
                )
                for _, _, accepted, value in slots:
                    if accepted != NO_BALLOT:
                        ever = ever | {(state.config.epoch, accepted, value)}
        has_stopped = state.next_config is not None or disk.has_stopped and state.config == disk.config
        after = Disk(state.config, has_stopped, state.registers.get(X, AcceptorState()), ever)
        world = world._replace(disks=put(world.disks, n, after))
        what = f"{ACCEPTORS[n]} is told {message}"
        for action in actions:
            if isinstance(action, Send):
                response = action.message
                if isinstance(response, VotingStopped):
                    mine = response.registers[0] if response.registers else (X, NO_BALLOT, NO_BALLOT, None)
                    world = world._replace(stopped=world.stopped | {(n, mine)})
                elif isinstance(response, EnterEpoch):
                    world = world._replace(entered=world.entered | {response.registers})
                elif isinstance(response, Promise):
                    yield f"{what}, which is not heard", world
                    answer = PromiseGranted(response.ballot, response.accepted, response.value)
                    world = self._on_promise(world, response.epoch, n, answer)
        yield what, world


def explore(model: Model, begins: str, most: int) -> ExplorationResult:
    """See every state, the nearest first, up to so many."""
    return state_exploration.explore(start(begins), model.steps, model.wrong, most)


def main() -> int:
    """Explore by command, as far as is wanted."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument("--variant", default="", choices=("", *VARIANTS))
    parser.add_argument("--start", default="asked", choices=STARTS)
    args = parser.parse_args()
    return explore(Model(args.variant), args.start, args.states).report()


if __name__ == "__main__":
    sys.exit(main())
