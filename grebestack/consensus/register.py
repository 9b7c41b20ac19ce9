"""A named value that a majority keeps and that is changed by compare-and-set.

Single-register consensus in two phases (Paxos, used as in "CASPaxos: Replicated State Machines without logs",
Rystsov 2018): a change first has a majority promise its ballot, takes the value accepted under the highest
ballot among them, and has a majority accept what it makes of it. A read is a change that leaves the value as
it is.

All functions here take a state and return a new one; nothing is changed in place. Who calls them keeps two
promises: what `prepare` and `accept` return is on the disk before the answer leaves, and a member never uses
a ballot twice.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, NamedTuple

Value = Any  # what a register holds: hashable; None before the first change
Change = Callable[[Value], Value]  # from the value in force to the new one; the same value leaves it


class Ballot(NamedTuple):
    """The order of attempts to change a register. No two are alike."""

    number: int = 0
    member: str = ""
    life: int = 0  # which start of that member, counted on its disk

    def above(self, other: Ballot) -> Ballot:
        """This member's next ballot beyond another one."""
        return Ballot(max(self.number, other.number) + 1, self.member, self.life)


NONE = Ballot()


@dataclass(frozen=True, slots=True)
class Slot:
    """What a member must not forget of one register."""

    promised: Ballot = NONE
    accepted: Ballot = NONE
    value: Value = None


@dataclass(frozen=True, slots=True)
class Promised:
    """No lower ballot will be answered; the value accepted last, and under which ballot."""

    ballot: Ballot
    accepted: Ballot
    value: Value


@dataclass(frozen=True, slots=True)
class Accepted:
    """The value is on this member's disk."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Refused:
    """A higher ballot has been promised."""

    ballot: Ballot
    promised: Ballot


Answer = Promised | Accepted | Refused


def prepare(slot: Slot, ballot: Ballot) -> tuple[Slot, Answer]:
    """Asked to promise; a repeat is answered again."""
    if ballot < slot.promised:
        return slot, Refused(ballot, slot.promised)
    return replace(slot, promised=ballot), Promised(ballot, slot.accepted, slot.value)


def accept(slot: Slot, ballot: Ballot, value: Value) -> tuple[Slot, Answer]:
    """Asked to accept; a repeat is answered again."""
    if ballot < slot.promised:
        return slot, Refused(ballot, slot.promised)
    return Slot(ballot, ballot, value), Accepted(ballot)


class Phase(Enum):
    """How far a round has come."""

    PREPARING = "asks for promises"
    ACCEPTING = "asks to accept"  # from here on the change may come into force, whatever is heard
    CHOSEN = "in force"
    BEATEN = "a higher ballot came first"


@dataclass(frozen=True, slots=True)
class Round:
    """One attempt to change a register, as its proposer sees it."""

    ballot: Ballot
    majority: int
    phase: Phase = Phase.PREPARING
    heard: frozenset[Hashable] = frozenset()  # members that answered well in this phase
    best: Ballot = NONE  # the highest ballot under which one of them has accepted a value
    before: Value = None  # that value
    value: Value = None  # what is proposed
    beaten_by: Ballot = NONE

    def answered(self, member: Hashable, answer: Answer, change: Change) -> Round:
        """A member's answer, in any order and any number of times; other ballots' are passed over."""
        if answer.ballot != self.ballot or self.phase in (Phase.CHOSEN, Phase.BEATEN):
            return self
        if isinstance(answer, Refused):
            return replace(self, phase=Phase.BEATEN, beaten_by=answer.promised)
        if isinstance(answer, Promised) and self.phase is Phase.PREPARING:
            best, before = max((self.best, self.before), (answer.accepted, answer.value), key=lambda x: x[0])
            heard = self.heard | {member}
            if len(heard) < self.majority:
                return replace(self, heard=heard, best=best, before=before)
            return replace(
                self, phase=Phase.ACCEPTING, heard=frozenset(), best=best, before=before, value=change(before)
            )
        if isinstance(answer, Accepted) and self.phase is Phase.ACCEPTING:
            heard = self.heard | {member}
            phase = Phase.CHOSEN if len(heard) >= self.majority else Phase.ACCEPTING
            return replace(self, heard=heard, phase=phase)
        return self
