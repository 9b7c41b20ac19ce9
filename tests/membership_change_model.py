"""A model of a membership change whose reachable states are explored: one of three members is replaced.

    python -m tests.membership_change_model [--states N] [--variant NAME] [--start NAME]

Member c is replaced by itself with a new disk incarnation while its old one still responds, as a stopped
process that continues does. The next membership has been chosen (`tests.consensus_model` explores that step).
The starts:

- `proposed`: one member has proposed in the old epoch, a and b have promised, and another proposes in the new
  epoch;
- `stopped`: in addition, a and b have stopped voting in the old epoch;
- `both new`: a and b have stopped voting, and both proposers propose in the new epoch.

Sent messages stay available: each may be delivered late, repeatedly, in any order or not at all. The model
runs the code of `grebestack.consensus` itself. No chosen value may be lost: of all values chosen in either
epoch, each must be a prefix of the next longer one.

A response is handled immediately or not at all: since a proposer may send its next request at any time, later
handling leads to no other state. Acceptances need not be received: the disks show them.
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

OLD_CONFIG = MembershipConfig(1, (("a", "1"), ("b", "1"), ("c", "1")))
NEW_CONFIG = MembershipConfig(2, (("a", "1"), ("b", "1"), ("c", "2")))
EVERY_RECORD = 1_000_000  # beyond the last record of any log here
ACCEPTORS = (("a", "1"), ("b", "1"), ("c", "1"), ("c", "2"))
VARIANTS = (
    "votes after stopping",
    "one stopped member is enough",
    "registers are not merged",
    "votes before entering the epoch",
    "old incarnation keeps voting",
)
STARTS = ("proposed", "stopped", "both new")
REGISTER = "x"


class Disk(NamedTuple):
    """The durable state of one acceptor."""

    config: MembershipConfig = OLD_CONFIG
    has_stopped: bool = False
    state: AcceptorState = AcceptorState()
    all_accepted: frozenset[tuple[int, Ballot, Any]] = frozenset()  # every value accepted, with its epoch


class Proposer(NamedTuple):
    """A proposer whose change appends its own letter to the register's value."""

    epoch: int = 0
    round: Round | None = None


class World(NamedTuple):
    """One state of the model."""

    disks: tuple[Disk, ...]
    proposers: tuple[Proposer, ...] = (Proposer(), Proposer())
    requests: frozenset[tuple[int, Ballot, Any]] = frozenset()  # epoch, ballot, value; None: prepare request
    stopped: frozenset[tuple[int, RegisterEntry]] = frozenset()  # index of the acceptor, its register
    entered: frozenset[tuple[RegisterEntry, ...]] = frozenset()  # sent by members of the new epoch


def start(name: str) -> World:
    """Return the first state: the value "0" is chosen, since a and c have accepted it."""
    stopped: Any
    first, all_accepted = Ballot(1), frozenset({(1, Ballot(1), "0")})
    if name == "both new":
        accepted = Disk(has_stopped=True, state=AcceptorState(first, first, "0"), all_accepted=all_accepted)
        stopped = ((0, (REGISTER, first, first, "0")), (1, (REGISTER, NO_BALLOT, NO_BALLOT, None)))
        return World((accepted, Disk(has_stopped=True), accepted, Disk()), stopped=frozenset(stopped))
    second = Ballot(2, "x", 1)
    a, b = (
        Disk(state=AcceptorState(second, first, "0"), all_accepted=all_accepted),
        Disk(state=AcceptorState(second)),
    )
    c = Disk(state=AcceptorState(first, first, "0"), all_accepted=all_accepted)
    requests = frozenset({(1, second, "0x")})
    proposers = Proposer(1, Round(second, 2, Phase.ACCEPTING)), Proposer()
    stopped = ()
    if name == "stopped":
        a, b = a._replace(has_stopped=True), b._replace(has_stopped=True)
        stopped = ((0, (REGISTER, second, first, "0")), (1, (REGISTER, second, NO_BALLOT, None)))
    return World((a, b, c, Disk()), proposers, requests, frozenset(stopped))


class Model:
    """The steps from each state, and the invariant."""

    def __init__(self, variant: str = "") -> None:
        self.variant = variant

    def violation_of(self, world: World) -> str:
        """Return the chosen values if any of them is not a prefix of the next longer one."""
        chosen = set()
        for epoch, config in ((1, OLD_CONFIG), (2, NEW_CONFIG)):
            acceptors_of: dict[tuple[Ballot, Any], set[str]] = {}
            for (name, incarnation), disk in zip(ACCEPTORS, world.disks, strict=True):
                if config.is_voter(name, incarnation) or self.variant == "old incarnation keeps voting":
                    for accepted_epoch, ballot, value in disk.all_accepted:
                        if accepted_epoch == epoch:
                            acceptors_of.setdefault((ballot, value), set()).add(name)
            chosen |= {
                value for (_, value), names in acceptors_of.items() if len(names) >= config.quorum_size
            }
        values = sorted(chosen, key=len)
        are_prefixes = all(b.startswith(a) for a, b in zip(values, values[1:], strict=False))
        return "" if are_prefixes else f"chosen values: {values}"

    def steps(self, world: World) -> Iterator[tuple[str, World]]:
        """Yield each possible step with the state after it."""
        for n, proposer in enumerate(world.proposers):
            if proposer.round is None:
                ballot = Ballot(2 + n, "xy"[n], 1)
                yield (
                    f"{'xy'[n]} proposes",
                    world._replace(
                        proposers=put(world.proposers, n, Proposer(2, Round(ballot, 2))),
                        requests=world.requests | {(2, ballot, None)},
                    ),
                )
        for index in range(len(ACCEPTORS)):
            for epoch, ballot, value in world.requests:
                message = (
                    Prepare(epoch, REGISTER, ballot)
                    if value is None
                    else Accept(epoch, REGISTER, ballot, value)
                )
                yield from self._acceptor_steps(world, index, message)
            yield from self._acceptor_steps(world, index, StopVoting(1, NEW_CONFIG))
            yield from self._acceptor_steps(world, index, EpochRequest(1))
            for enter in self._enter_messages(world):
                yield from self._acceptor_steps(world, index, enter)

    def _enter_messages(self, world: World) -> Iterator[EnterEpoch]:
        min_stopped = 1 if self.variant == "one stopped member is enough" else OLD_CONFIG.quorum_size
        stopped = sorted(world.stopped, key=lambda item: item[0])
        for first in range(len(stopped)):
            for end in range(first + min_stopped, len(stopped) + 1):
                entries = [entry for _, entry in stopped[first:end]]
                drop_registers = self.variant == "registers are not merged"
                yield EnterEpoch(
                    NEW_CONFIG, () if drop_registers else merge_registers([(entry,) for entry in entries])
                )
        for registers in world.entered:
            yield EnterEpoch(NEW_CONFIG, registers)

    def _on_promise(self, world: World, epoch: int, index: int, response: PromiseGranted) -> World:
        n = "xy".index(response.ballot.member)
        proposer, name = world.proposers[n], ACCEPTORS[index][0]
        assert proposer.round is not None
        round_ = proposer.round.on_response(name, response, lambda value: (value or "") + "xy"[n])
        requests = world.requests
        if round_.phase is Phase.ACCEPTING and proposer.round.phase is Phase.PREPARING:
            requests = requests | {(proposer.epoch, round_.ballot, round_.proposed_value)}
        proposers = put(world.proposers, n, proposer._replace(round=round_))
        return world._replace(proposers=proposers, requests=requests)

    def _acceptor_steps(self, world: World, n: int, message: Message) -> Iterator[tuple[str, World]]:
        disk, (name, incarnation) = world.disks[n], ACCEPTORS[n]
        state = RecoveredState("f", incarnation, disk.config, NEW_CONFIG if disk.has_stopped else None, 1)
        if disk.state != AcceptorState():
            state.registers[REGISTER] = disk.state
        acceptor = Acceptor(name, state, 1)
        acceptor.is_confirmed = acceptor.is_new_disk = True
        for other, _ in ACCEPTORS:  # no disk loses a record here, so each may be a witness of all records
            acceptor.witnesses.on_connected(other, EVERY_RECORD)
        if self.variant == "votes after stopping" and isinstance(message, Prepare | Accept):
            state.next_config = None
        if self.variant == "votes before entering the epoch" and incarnation == "2":
            state.config = NEW_CONFIG
        if self.variant == "old incarnation keeps voting" and state.config == NEW_CONFIG:
            state.disk_incarnation = dict(NEW_CONFIG.members)[name]
        actions = acceptor.on_message(Peer("proposer", "1", 1), message) + acceptor.on_synced(99)
        all_accepted = disk.all_accepted
        for action in actions:
            if isinstance(action, Write) and isinstance(action.record, RegisterWritten | EpochEntered):
                entries = (
                    action.record.registers
                    if isinstance(action.record, EpochEntered)
                    else (action.record.entry,)
                )
                for _, _, accepted, value in entries:
                    if accepted != NO_BALLOT:
                        all_accepted = all_accepted | {(state.config.epoch, accepted, value)}
        has_stopped = state.next_config is not None or disk.has_stopped and state.config == disk.config
        after = Disk(state.config, has_stopped, state.registers.get(REGISTER, AcceptorState()), all_accepted)
        world = world._replace(disks=put(world.disks, n, after))
        step = f"{ACCEPTORS[n]} receives {message}"
        for action in actions:
            if isinstance(action, Send):
                response = action.message
                if isinstance(response, VotingStopped):
                    entry = (
                        response.registers[0]
                        if response.registers
                        else (REGISTER, NO_BALLOT, NO_BALLOT, None)
                    )
                    world = world._replace(stopped=world.stopped | {(n, entry)})
                elif isinstance(response, EnterEpoch):
                    world = world._replace(entered=world.entered | {response.registers})
                elif isinstance(response, Promise):
                    yield f"{step}, its promise is lost", world
                    promise = PromiseGranted(response.ballot, response.accepted, response.value)
                    world = self._on_promise(world, response.epoch, n, promise)
        yield step, world


def explore(model: Model, start_name: str, max_states: int) -> ExplorationResult:
    """Explore up to `max_states` states, breadth first."""
    return state_exploration.explore(start(start_name), model.steps, model.violation_of, max_states)


def main() -> int:
    """Explore from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--states", type=int, default=1_000_000)
    parser.add_argument("--variant", default="", choices=("", *VARIANTS))
    parser.add_argument("--start", default="proposed", choices=STARTS)
    args = parser.parse_args()
    return explore(Model(args.variant), args.start, args.states).report()


if __name__ == "__main__":
    sys.exit(main())
