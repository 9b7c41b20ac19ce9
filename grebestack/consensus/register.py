"""A replicated register: a named value on a quorum of acceptors, changed by compare-and-set.

Single-register consensus in two phases (Paxos, used as in "CASPaxos: Replicated State Machines without logs",
Rystsov 2018). A proposer first gets promises for its ballot from a quorum and takes the value that was
accepted under the highest ballot among them. It applies its change to that value and gets a quorum to accept
the result. A read is a change that returns the value as it is.

All functions here take a state and return a new one; nothing is changed in place. The caller ensures two
things: the state that `prepare` or `accept` returns is durable before the response is sent, and a proposer
never uses a ballot twice.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, NamedTuple

Value = Any  # what a register holds: hashable; None before the first change
Change = Callable[[Value], Value]  # maps the current value to the next; may return it unchanged


class Ballot(NamedTuple):
    """The ballot number of a proposal. Ballots order the proposals for a register; no two share one."""

    number: int = 0
    member: str = ""
    process_incarnation: int = 0  # start count and random bits: unique, not necessarily increasing

    def next_above(self, other: Ballot) -> Ballot:
        """Return this member's next ballot that is higher than another one."""
        return Ballot(max(self.number, other.number) + 1, self.member, self.process_incarnation)


NO_BALLOT = Ballot()


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """The state that an acceptor must keep durably for one register."""

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value = None


@dataclass(frozen=True, slots=True)
class PromiseGranted:
    """The acceptor rejects lower ballots from now on. `accepted` is the ballot of its last accepted value."""

    ballot: Ballot
    accepted: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class AcceptGranted:
    """The acceptor has accepted the value."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class BallotRejected:
    """The acceptor has promised a higher ballot."""

    ballot: Ballot
    promised: Ballot


AcceptorResponse = PromiseGranted | AcceptGranted | BallotRejected


def prepare(state: AcceptorState, ballot: Ballot) -> tuple[AcceptorState, AcceptorResponse]:
    """Handle a prepare request at an acceptor; a repeated request gets the same response."""
    if ballot < state.promised:
        return state, BallotRejected(ballot, state.promised)
    return replace(state, promised=ballot), PromiseGranted(ballot, state.accepted, state.value)


def accept(state: AcceptorState, ballot: Ballot, value: Value) -> tuple[AcceptorState, AcceptorResponse]:
    """Handle an accept request at an acceptor; a repeated request gets the same response."""
    if ballot < state.promised:
        return state, BallotRejected(ballot, state.promised)
    return AcceptorState(ballot, ballot, value), AcceptGranted(ballot)


class Phase(Enum):
    """The phases of a round."""

    PREPARING = "waits for promises"
    ACCEPTING = "waits for acceptances"  # from here on the value may be chosen, even if no response arrives
    CHOSEN = "chosen"
    PREEMPTED = "a higher ballot came first"  # also after a timeout or the end of an epoch: outcome unknown


@dataclass(frozen=True, slots=True)
class Round:
    """A proposer's state of one attempt to change a register."""

    ballot: Ballot
    quorum_size: int
    phase: Phase = Phase.PREPARING
    responders: frozenset[Hashable] = frozenset()  # acceptors that granted the current phase
    highest_accepted: Ballot = NO_BALLOT  # among the promises
    previous_value: Value = None  # the value accepted under that ballot
    proposed_value: Value = None
    preempting_ballot: Ballot = NO_BALLOT

    def on_response(self, member: Hashable, response: AcceptorResponse, change: Change) -> Round:
        """Handle a response. Responses may be reordered or repeated; those to other ballots are ignored."""
        if response.ballot != self.ballot or self.phase in (Phase.CHOSEN, Phase.PREEMPTED):
            return self
        if isinstance(response, BallotRejected):
            return replace(self, phase=Phase.PREEMPTED, preempting_ballot=response.promised)
        if isinstance(response, PromiseGranted) and self.phase is Phase.PREPARING:
            return self._on_promise(member, response, change)
        if isinstance(response, AcceptGranted) and self.phase is Phase.ACCEPTING:
            responders = self.responders | {member}
            phase = Phase.CHOSEN if len(responders) >= self.quorum_size else Phase.ACCEPTING
            return replace(self, responders=responders, phase=phase)
        return self

    def _on_promise(self, member: Hashable, response: PromiseGranted, change: Change) -> Round:
        highest, previous = self.highest_accepted, self.previous_value
        if response.accepted > highest:
            highest, previous = response.accepted, response.value
        responders = self.responders | {member}
        promised = replace(self, responders=responders, highest_accepted=highest, previous_value=previous)
        if len(responders) < self.quorum_size:
            return promised
        proposed = change(previous)
        return replace(promised, phase=Phase.ACCEPTING, responders=frozenset(), proposed_value=proposed)
