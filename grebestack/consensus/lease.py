"""Leases on registers: for each task at most one member acts, by the holder's own clock; tokens only grow.

The register holds who has the task, under which token, and of which asking. Nobody compares clocks:

- a holder may act until its term has passed, counted from *before* it asked for what is now in force;
- a rival may take the task once it has seen the very same value for a whole term and more, counted from
  *after* it first saw it, and only where the register still holds that value.

What was seen had been asked for earlier, so that the holder's term ends before the rival's wait, as long as
two clocks don't run apart by more than `Terms.drift` and no act begins more than `Terms.guard_ms` after
`Tenure.token` allowed it. Where that bound is broken, the token is the fence: what is acted upon refuses an
older one (`Fence`).

Times are milliseconds of this member's monotonic clock. Pure; states are not changed in place.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from grebestack.consensus.register import Change, Value

NEVER = float("-inf")


class Lease(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """What the register of a task holds.

    No two askings make the same value (`mark`): an asking that was thought lost may come into force later,
    and a rival that saw it must not take it for the next one.
    """

    holder: str = ""  # empty: nobody
    life: int = 0  # which start of the holder: what ran before a restart has lost it
    token: int = 0  # grows with every change of the holder, never falls
    mark: int = 0  # which asking of the holder's life this came of


FREE = Lease()


@dataclass(frozen=True, slots=True)
class Terms:
    """How a task is leased. `drift` bounds how much faster one clock runs than another, as a share."""

    term_ms: float = 4000.0
    drift: float = 0.01
    guard_ms: float = 50.0
    renew_at: float = 0.45  # of the term: the next renewal is asked for
    stagger_ms: float = 100.0  # a rival further back in the line waits so much longer for each place

    def __post_init__(self) -> None:
        fits = self.term_ms > 0 and 0 <= self.drift < 0.5 and 0 < self.renew_at < 1
        if not fits or self.stagger_ms < 0:
            raise ValueError(f"{self} is out of range")
        if not 0 <= self.guard_ms < self.term_ms * (1 - self.drift) / 2:
            raise ValueError(f"guard_ms must be under half a term, not {self.guard_ms!r}")

    @property
    def usable_ms(self) -> float:
        """For so long after it asked a holder may act."""
        return self.term_ms * (1.0 - self.drift) - self.guard_ms

    @property
    def wait_ms(self) -> float:
        """For so long a rival sees the same value before it takes the task."""
        return self.term_ms * (1.0 + self.drift)


def lease_of(value: Value) -> Lease:
    """What a register says; one that was never changed says that nobody holds the task."""
    return value if isinstance(value, Lease) else FREE


def unchanged(value: Value) -> Value:
    """A read."""
    return value


def taking(mine: Lease, seen: Lease) -> Callable[[Value], Value]:
    """Take a task that nobody has, or whose holder's term is over: only from the very value that was seen."""

    def change(value: Value) -> Value:
        now = lease_of(value)
        return value if now.holder and now != seen else msgspec.structs.replace(mine, token=now.token + 1)

    return change


def renewing(mine: Lease) -> Callable[[Value], Value]:
    """Go on holding; nothing changes where another has taken it."""

    def change(value: Value) -> Value:
        return mine if same_tenure(lease_of(value), mine) else value

    return change


def releasing(mine: Lease, to: str = "") -> Callable[[Value], Value]:
    """Give a task back, or hand it over to a member by name. The holder has stopped acting before it asks.

    Who it is handed to holds nothing until it has taken it: its term is counted from before its own asking.
    """

    def change(value: Value) -> Value:
        return Lease(to, 0, mine.token, mine.mark) if same_tenure(lease_of(value), mine) else value

    return change


def same_tenure(one: Lease, other: Lease) -> bool:
    """Whether two values are of one holder under one token."""
    return (one.holder, one.life, one.token) == (other.holder, other.life, other.token)


@dataclass(frozen=True, slots=True)
class Tenure:
    """One member's side of one task's lease."""

    me: str
    life: int
    terms: Terms
    place: int = 0  # in the line of rivals
    seen: Lease = FREE  # the value of the register that was seen last
    seen_ms: float = 0.0  # since when
    known: bool = False  # whether it was ever seen
    until_ms: float = NEVER  # this member may act until then
    asked_ms: float | None = None  # an asking is under way since then
    asked: int = 0  # askings in this life
    again_ms: float = 0.0  # no asking before this
    wanted: bool = True  # whether this member stands in line

    def token(self, now_ms: float) -> int | None:
        """The token to act with at this moment, or None: checked at each act, never remembered."""
        return self.seen.token if self.held and now_ms < self.until_ms else None

    @property
    def held(self) -> bool:
        """Whether the task is this member's as far as it knows; its term may have passed."""
        return self._mine(self.seen) and self.until_ms > NEVER

    def _mine(self, lease: Lease) -> bool:
        return lease.holder == self.me and lease.life == self.life

    def saw(self, now_ms: float, value: Value) -> Tenure:
        """A value was met on a disk of this or another member: it may be in force, may come, or may never."""
        lease = lease_of(value)
        older = (lease.token, lease.mark) <= (self.seen.token, self.seen.mark)
        known = lease.token < self.seen.token or (older and lease.holder == self.seen.holder)
        if self.held or (self.known and known):
            return self
        return replace(self, seen=lease, seen_ms=now_ms, known=True)

    def due_ms(self) -> float:
        """When there is something to ask for; infinity: not before something else happens."""
        if self.asked_ms is not None or not self.wanted:
            return float("inf")
        if self.held:
            asked_ms = self.until_ms - self.terms.usable_ms
            return max(self.again_ms, asked_ms + self.terms.term_ms * self.terms.renew_at)
        handed = self.seen.holder == self.me and self.seen.life in (0, self.life)
        if not self.known or handed:
            return self.again_ms
        if not self.seen.holder:  # the first in the line takes it, rather than all at once
            return max(self.again_ms, self.seen_ms + self.place * self.terms.stagger_ms)
        wait = self.terms.wait_ms + self.place * self.terms.stagger_ms
        return max(self.again_ms, self.seen_ms + wait)

    def ask(self, now_ms: float) -> tuple[Tenure, Change | None]:
        """What is to be asked for now, if anything is due; None also where it is not."""
        if now_ms < self.due_ms():
            return self, None
        mine = Lease(self.me, self.life, self.seen.token, self.asked + 1)
        change: Change = renewing(mine) if self.held else taking(mine, self.seen)
        if not self.known:
            change = unchanged
        return replace(self, asked_ms=now_ms, asked=self.asked + 1), change

    def chosen(self, now_ms: float, before: Value, value: Value) -> Tenure:
        """What was asked for has ended: this was in force before, and this is now.

        The term is counted from the asking only where it made the value: one that was in force already had
        been asked for before, and a rival may have seen it for as long.
        """
        asked_ms, lease = self.asked_ms, lease_of(value)
        if asked_ms is None:
            return self
        after = replace(self, asked_ms=None, known=True)
        if lease != self.seen or not self.known:
            after = replace(after, seen=lease, seen_ms=now_ms)
        if self._mine(lease) and lease != lease_of(before):
            return replace(after, until_ms=asked_ms + self.terms.usable_ms)
        kept = self.held and same_tenure(lease, self.seen)
        return after if kept else replace(after, until_ms=NEVER)

    def failed(self, again_ms: float) -> Tenure:
        """What was asked for has come to nothing that is known: a higher ballot, or no majority in time."""
        return replace(self, asked_ms=None, again_ms=again_ms)

    def gave_up(self) -> Tenure:
        """The task is given back or handed over: no act from here on, whatever becomes of the asking."""
        return replace(self, until_ms=NEVER, wanted=False, asked_ms=None)


@dataclass(slots=True)
class Fence:
    """Kept by whatever is acted upon: an act under an older token than was seen is refused."""

    highest: int = 0

    def admits(self, token: int) -> bool:
        """Whether an act may be carried out."""
        if token < self.highest:
            return False
        self.highest = token
        return True
