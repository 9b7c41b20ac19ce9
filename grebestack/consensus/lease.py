"""Leases on registers: at most one member acts for a task, by its own clock, under a growing fencing token.

The register of a task holds the lease: the holder, its fencing token, and the proposal that it came of. No
two members compare clocks:

- a holder may act until its term has passed, counted from *before* it proposed the lease that was chosen;
- a rival may acquire the lease once it has seen the very same value for a whole term and more, counted from
  *after* it first saw it, and only where the register still holds that value.

The value that a rival sees was proposed earlier. The holder's term therefore ends before the rival's wait, as
long as two clocks don't run apart by more than `LeaseTerms.max_clock_drift` and no act begins more than
`LeaseTerms.guard_ms` after `LeaseParticipant.valid_token` allowed it. Where that bound is broken the token
still protects: the resource rejects an older one (`Fence`).

Times are milliseconds of this member's monotonic clock. Pure; states are not changed in place.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from grebestack.consensus.register import Change, Value

NOT_HELD_MS = float("-inf")  # the expiry of a lease that is not held


class Lease(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """The value of a task's register.

    No two proposals make the same value (`proposal_number`): a proposal that was given up may still be chosen
    later, and a rival that saw its value must not take the next one for it.
    """

    holder: str = ""  # empty: not held
    process_incarnation: int = 0  # the holder's; a restarted process does not hold its former lease
    token: int = 0  # the fencing token: grows with every change of the holder, never falls
    proposal_number: int = 0  # counted in each process incarnation


FREE = Lease()


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The times of a lease.

    Parameters
    ----------
    term_ms
        For how long a lease is granted.
    max_clock_drift
        By how much one clock may run faster than another, as a share.
    guard_ms
        Time between the check of the token and the act that it allows, at most.
    renew_fraction
        The share of the term after which the holder renews the lease.
    stagger_ms
        How much longer a rival waits for each rank.

    Raises
    ------
    ValueError
        A value is out of range.
    """

    term_ms: float = 4000.0
    max_clock_drift: float = 0.01
    guard_ms: float = 50.0
    renew_fraction: float = 0.45
    stagger_ms: float = 100.0

    def __post_init__(self) -> None:
        """Check the ranges."""
        fits = self.term_ms > 0 and 0 <= self.max_clock_drift < 0.5 and 0 < self.renew_fraction < 1
        if not fits or self.stagger_ms < 0:
            raise ValueError(f"{self} is out of range")
        if not 0 <= self.guard_ms < self.term_ms * (1 - self.max_clock_drift) / 2:
            raise ValueError(f"guard_ms must be under half a term, not {self.guard_ms!r}")

    @property
    def usable_ms(self) -> float:
        """For how long after its proposal a holder may act."""
        return self.term_ms * (1.0 - self.max_clock_drift) - self.guard_ms

    @property
    def takeover_ms(self) -> float:
        """For how long a rival sees the same value before it may acquire the lease."""
        return self.term_ms * (1.0 + self.max_clock_drift)


def lease_of(value: Value) -> Lease:
    """Return the lease in a register; one that was never changed holds a free lease."""
    return value if isinstance(value, Lease) else FREE


def read_only(value: Value) -> Value:
    """Change nothing: a read of the register."""
    return value


def acquire(mine: Lease, observed: Lease) -> Callable[[Value], Value]:
    """Acquire a lease that is free, or whose register still holds the very value that was observed."""

    def change(value: Value) -> Value:
        current = lease_of(value)
        if current.holder and current != observed:
            return value
        return msgspec.structs.replace(mine, token=current.token + 1)

    return change


def renew(mine: Lease) -> Callable[[Value], Value]:
    """Renew a lease; nothing changes where another member has acquired it."""

    def change(value: Value) -> Value:
        return mine if is_same_grant(lease_of(value), mine) else value

    return change


def release(mine: Lease, to: str = "") -> Callable[[Value], Value]:
    """Free a lease, or hand it over to a member by name. The holder must have stopped acting before.

    The member named holds nothing until it has acquired the lease: its term counts from its own proposal.
    """

    def change(value: Value) -> Value:
        if not is_same_grant(lease_of(value), mine):
            return value
        return Lease(to, 0, mine.token, mine.proposal_number)

    return change


def is_same_grant(one: Lease, other: Lease) -> bool:
    """Tell whether two values are of one holder under one token."""
    return (one.holder, one.process_incarnation, one.token) == (
        other.holder,
        other.process_incarnation,
        other.token,
    )


@dataclass(frozen=True, slots=True)
class LeaseParticipant:
    """One member's view of one task's lease, as its holder or a rival."""

    name: str
    process_incarnation: int
    terms: LeaseTerms
    rank: int = 0  # among the rivals: the lowest proposes first
    observed: Lease = FREE  # the last value seen
    observed_ms: float = 0.0  # when it was first seen
    has_observed: bool = False  # whether any value was ever seen
    valid_until_ms: float = NOT_HELD_MS  # this member may act until then
    proposed_ms: float | None = None  # when the open proposal began
    proposal_count: int = 0  # in this process incarnation
    next_proposal_ms: float = 0.0  # no proposal before this
    is_candidate: bool = True  # whether this member wants the lease

    def valid_token(self, now_ms: float) -> int | None:
        """Return the fencing token to act with now, or None. Check it at each act, never keep it."""
        return self.observed.token if self.is_held and now_ms < self.valid_until_ms else None

    @property
    def is_held(self) -> bool:
        """Whether the lease is this member's as far as it knows; its term may have passed."""
        return self._is_own(self.observed) and self.valid_until_ms > NOT_HELD_MS

    def _is_own(self, lease: Lease) -> bool:
        return lease.holder == self.name and lease.process_incarnation == self.process_incarnation

    def observe(self, now_ms: float, value: Value) -> LeaseParticipant:
        """Note a value that an acceptor has accepted, here or elsewhere; it need never be chosen."""
        lease, observed = lease_of(value), self.observed
        is_not_newer = (lease.token, lease.proposal_number) <= (observed.token, observed.proposal_number)
        is_old = lease.token < observed.token or (is_not_newer and lease.holder == observed.holder)
        if self.is_held or (self.has_observed and is_old):
            return self
        return replace(self, observed=lease, observed_ms=now_ms, has_observed=True)

    def due_ms(self) -> float:
        """Return when the next proposal is due; infinity: not before another event."""
        if self.proposed_ms is not None or not self.is_candidate:
            return float("inf")
        if self.is_held:
            proposed_ms = self.valid_until_ms - self.terms.usable_ms
            return max(self.next_proposal_ms, proposed_ms + self.terms.term_ms * self.terms.renew_fraction)
        is_handed_over = self.observed.holder == self.name and self.observed.process_incarnation in (
            0,
            self.process_incarnation,
        )
        if not self.has_observed or is_handed_over:
            return self.next_proposal_ms
        if not self.observed.holder:  # staggered, so that the rivals don't propose all at once
            return max(self.next_proposal_ms, self.observed_ms + self.rank * self.terms.stagger_ms)
        wait_ms = self.terms.takeover_ms + self.rank * self.terms.stagger_ms
        return max(self.next_proposal_ms, self.observed_ms + wait_ms)

    def propose(self, now_ms: float) -> tuple[LeaseParticipant, Change | None]:
        """Return the change to propose now, or None if no proposal is due."""
        if now_ms < self.due_ms():
            return self, None
        mine = Lease(self.name, self.process_incarnation, self.observed.token, self.proposal_count + 1)
        change: Change = renew(mine) if self.is_held else acquire(mine, self.observed)
        if not self.has_observed:
            change = read_only
        return replace(self, proposed_ms=now_ms, proposal_count=self.proposal_count + 1), change

    def on_chosen(self, now_ms: float, previous: Value, value: Value) -> LeaseParticipant:
        """Handle the end of a proposal: the register held `previous`, and holds `value` now.

        The term counts from the proposal only if this proposal made the value: a value that was there already
        had been proposed before, and a rival may have seen it since then.
        """
        proposed_ms, lease = self.proposed_ms, lease_of(value)
        if proposed_ms is None:
            return self
        after = replace(self, proposed_ms=None, has_observed=True)
        if lease != self.observed or not self.has_observed:
            after = replace(after, observed=lease, observed_ms=now_ms)
        if self._is_own(lease) and lease != lease_of(previous):
            return replace(after, valid_until_ms=proposed_ms + self.terms.usable_ms)
        is_still_held = self.is_held and is_same_grant(lease, self.observed)
        return after if is_still_held else replace(after, valid_until_ms=NOT_HELD_MS)

    def on_failed(self, next_proposal_ms: float) -> LeaseParticipant:
        """Handle a proposal whose outcome is not known: a higher ballot came, or no quorum in time."""
        return replace(self, proposed_ms=None, next_proposal_ms=next_proposal_ms)

    def resign(self) -> LeaseParticipant:
        """Stop acting and proposing, whatever becomes of the open proposal."""
        return replace(self, valid_until_ms=NOT_HELD_MS, is_candidate=False, proposed_ms=None)


@dataclass(slots=True)
class Fence:
    """The check of fencing tokens at the resource that a task acts upon."""

    highest: int = 0  # the highest token seen

    def admits(self, token: int) -> bool:
        """Tell whether an act under this token is allowed: no later token has been seen."""
        if token < self.highest:
            return False
        self.highest = token
        return True
