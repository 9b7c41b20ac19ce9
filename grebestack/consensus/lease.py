"""Leases on registers: at most one member at a time performs a task, under an increasing fencing token.

The register of a task holds the lease: the holder, its fencing token, and the number of the holder's
proposal. Each member measures durations on its own clock only:

- a holder may act until its term has passed, counted from *before* it proposed the lease that was chosen;
- another member may acquire the lease after it has observed the same value for longer than a term, counted
  from *after* it first observed it, and only if the register still holds that value.

The observed value was proposed earlier. The holder's term therefore ends before the other member's wait, as
long as the rates of two clocks differ by no more than `LeaseTerms.max_clock_drift` and no act begins more
than `LeaseTerms.guard_ms` after `LeaseParticipant.valid_token` allowed it. If these bounds are exceeded, the
token still protects the resource, which rejects an older token (`Fence`).

Times are milliseconds of this member's monotonic clock. No I/O; states are not changed in place.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from grebestack.consensus.register import Change, Value

NOT_HELD_MS = float("-inf")  # the expiry of a lease that is not held


class Lease(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """The value of a task's register.

    Each proposal makes a distinct value (`proposal_number`): an abandoned proposal may still be chosen later,
    and a member that observed its value must not mistake the next proposal's value for it.
    """

    holder: str = ""  # empty: not held
    process_incarnation: int = 0  # the holder's; a restarted process does not hold its former lease
    token: int = 0  # the fencing token: increases with each new holder, never decreases
    proposal_number: int = 0  # counted in each process incarnation


FREE = Lease()


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The durations of a lease.

    Parameters
    ----------
    term_ms
        How long a lease is granted for.
    max_clock_drift
        How much faster one clock may run than another, as a fraction.
    guard_ms
        Maximum time between the check of the token and the act that it allows.
    renew_fraction
        The fraction of the term after which the holder renews the lease.
    stagger_ms
        The additional wait of a candidate per rank, so that candidates do not propose all at once.

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
        is_in_range = self.term_ms > 0 and 0 <= self.max_clock_drift < 0.5 and 0 < self.renew_fraction < 1
        if not is_in_range or self.stagger_ms < 0:
            raise ValueError(f"{self} is out of range")
        if not 0 <= self.guard_ms < self.term_ms * (1 - self.max_clock_drift) / 2:
            raise ValueError(f"guard_ms must be under half a term, not {self.guard_ms!r}")

    @property
    def usable_ms(self) -> float:
        """How long a holder may act after its proposal."""
        return self.term_ms * (1.0 - self.max_clock_drift) - self.guard_ms

    @property
    def takeover_ms(self) -> float:
        """How long a member must observe the same value before it may acquire the lease."""
        return self.term_ms * (1.0 + self.max_clock_drift)


def lease_of(value: Value) -> Lease:
    """Return the lease in a register; a register that was never written holds a free lease."""
    return value if isinstance(value, Lease) else FREE


def read_only(value: Value) -> Value:
    """Return the value unchanged: a read of the register."""
    return value


def acquire(mine: Lease, observed: Lease) -> Callable[[Value], Value]:
    """Acquire a lease that is free, or whose register still holds the value that was observed."""

    def change(value: Value) -> Value:
        current = lease_of(value)
        if current.holder and current != observed:
            return value
        return msgspec.structs.replace(mine, token=current.token + 1)

    return change


def renew(mine: Lease) -> Callable[[Value], Value]:
    """Renew a lease; nothing changes if another member has acquired it."""

    def change(value: Value) -> Value:
        return mine if is_same_grant(lease_of(value), mine) else value

    return change


def release(mine: Lease, to: str = "") -> Callable[[Value], Value]:
    """Free a lease, or reserve it for the member `to`. The holder must have stopped acting before.

    That member does not hold the lease until it has acquired it: its term counts from its own proposal.
    """

    def change(value: Value) -> Value:
        if not is_same_grant(lease_of(value), mine):
            return value
        return Lease(to, 0, mine.token, mine.proposal_number)

    return change


def is_same_grant(one: Lease, other: Lease) -> bool:
    """Return whether two values have the same holder and token."""
    return (one.holder, one.process_incarnation, one.token) == (
        other.holder,
        other.process_incarnation,
        other.token,
    )


@dataclass(frozen=True, slots=True)
class LeaseParticipant:
    """One member's state for one task's lease, which it holds or may acquire."""

    name: str
    process_incarnation: int
    terms: LeaseTerms
    rank: int = 0  # among the candidates: the lowest proposes first
    observed: Lease = FREE  # the last value observed
    observed_ms: float = 0.0  # when that value was first observed
    has_observed: bool = False  # whether any value has been observed
    valid_until_ms: float = NOT_HELD_MS  # this member may act until then
    proposed_ms: float | None = None  # when the open proposal began
    proposal_count: int = 0  # in this process incarnation
    next_proposal_ms: float = 0.0  # no proposal before this
    is_candidate: bool = True  # whether this member tries to acquire the lease

    def valid_token(self, now_ms: float) -> int | None:
        """Return the fencing token to act with now, or None. Call this before each act; do not cache it."""
        return self.observed.token if self.is_held and now_ms < self.valid_until_ms else None

    @property
    def is_held(self) -> bool:
        """Whether this member is the holder as far as it knows; the term may have expired."""
        return self._is_own(self.observed) and self.valid_until_ms > NOT_HELD_MS

    def _is_own(self, lease: Lease) -> bool:
        return lease.holder == self.name and lease.process_incarnation == self.process_incarnation

    def observe(self, now_ms: float, value: Value) -> LeaseParticipant:
        """Handle a value that some acceptor has accepted; it may never be chosen."""
        lease, observed = lease_of(value), self.observed
        is_not_newer = (lease.token, lease.proposal_number) <= (observed.token, observed.proposal_number)
        is_outdated = lease.token < observed.token or (is_not_newer and lease.holder == observed.holder)
        if self.is_held or (self.has_observed and is_outdated):
            return self
        return replace(self, observed=lease, observed_ms=now_ms, has_observed=True)

    def due_ms(self) -> float:
        """Return when the next proposal is due; infinity if only an event can make one due."""
        if self.proposed_ms is not None or not self.is_candidate:
            return float("inf")
        if self.is_held:
            proposed_ms = self.valid_until_ms - self.terms.usable_ms
            return max(self.next_proposal_ms, proposed_ms + self.terms.term_ms * self.terms.renew_fraction)
        is_reserved_for_self = self.observed.holder == self.name and self.observed.process_incarnation in (
            0,
            self.process_incarnation,
        )
        if not self.has_observed or is_reserved_for_self:
            return self.next_proposal_ms
        if not self.observed.holder:  # staggered, so that candidates do not propose all at once
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
        """Handle a chosen proposal: the register held `previous` and now holds `value`.

        The term counts from this proposal only if it made the value: a value that was there already had been
        proposed earlier, and another member may have observed it since then.
        """
        proposed_ms, lease = self.proposed_ms, lease_of(value)
        if proposed_ms is None:
            return self
        updated = replace(self, proposed_ms=None, has_observed=True)
        if lease != self.observed or not self.has_observed:
            updated = replace(updated, observed=lease, observed_ms=now_ms)
        if self._is_own(lease) and lease != lease_of(previous):
            return replace(updated, valid_until_ms=proposed_ms + self.terms.usable_ms)
        is_still_held = self.is_held and is_same_grant(lease, self.observed)
        return updated if is_still_held else replace(updated, valid_until_ms=NOT_HELD_MS)

    def on_failed(self, next_proposal_ms: float) -> LeaseParticipant:
        """Handle a proposal whose outcome is unknown: a higher ballot came first, or no quorum in time."""
        return replace(self, proposed_ms=None, next_proposal_ms=next_proposal_ms)

    def resign(self) -> LeaseParticipant:
        """Stop acting and proposing, whatever the outcome of the open proposal."""
        return replace(self, valid_until_ms=NOT_HELD_MS, is_candidate=False, proposed_ms=None)


@dataclass(slots=True)
class Fence:
    """The check of fencing tokens at the resource that a task acts on."""

    highest: int = 0  # the highest token seen

    def admits(self, token: int) -> bool:
        """Return whether an act under this token is allowed: no later token has been seen."""
        if token < self.highest:
            return False
        self.highest = token
        return True
