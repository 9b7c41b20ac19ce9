"""One member's part in the leases of all tasks: it proposes, holds and releases them. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from grebestack.consensus.actions import Action, LeaseChanged, LogMessage
from grebestack.consensus.lease import NOT_HELD_MS, LeaseParticipant, LeaseTerms, release
from grebestack.consensus.proposals import Proposals
from grebestack.consensus.register import Phase, Value

REGISTER_PREFIX = "task/"  # of a task's register


class TaskLeases:
    """One member's part in the leases of all tasks.

    Parameters
    ----------
    rank_of
        Returns the member's rank among the candidates for a task's lease.
    can_reach_quorum
        Returns whether enough members are connected for a proposal to succeed.
    """

    def __init__(
        self,
        tasks: Iterable[str],
        terms: LeaseTerms,
        proposals: Proposals,
        rank_of: Callable[[str], int],
        can_reach_quorum: Callable[[], bool],
    ) -> None:
        """Initialize with no lease held."""
        self.proposals, self.can_reach_quorum = proposals, can_reach_quorum
        name, incarnation = proposals.name, proposals.process_incarnation
        self.participants = {
            task: LeaseParticipant(name, incarnation, terms, rank_of(task)) for task in tasks
        }
        self.logged_tokens: dict[str, int | None] = dict.fromkeys(self.participants)

    def valid_token(self, task: str, now_ms: float) -> int | None:
        """Return the fencing token to act with now, or None. Call this before each act; do not cache it."""
        return self.participants[task].valid_token(now_ms)

    def observe(self, now_ms: float, register: str, value: Value) -> None:
        """Handle a value that this member's acceptor has accepted."""
        task = register.removeprefix(REGISTER_PREFIX)
        participant = self.participants.get(task) if register.startswith(REGISTER_PREFIX) else None
        if participant is not None:
            self.participants[task] = participant.observe(now_ms, value)

    def release(self, now_ms: float, task: str, to: str = "") -> list[Action]:
        """Stop acting for a task and free its lease, or hand it over to the member `to`."""
        participant, register = self.participants[task], REGISTER_PREFIX + task
        mine = participant.observed if participant.is_held else None
        self.participants[task] = participant.resign()
        actions = self._log_change(now_ms, task)
        # The open proposal may still be chosen; the lease then expires with its term.
        self.proposals.open.pop(register, None)
        if mine is not None and self.proposals.config.epoch:
            actions += self.proposals.propose(now_ms, register, release(mine, to), lambda *_: [])
        return actions

    def on_fenced(self, now_ms: float, task: str) -> list[Action]:
        """Stop acting under a token that a resource has rejected because it has seen a later one."""
        self.participants[task] = replace(self.participants[task], valid_until_ms=NOT_HELD_MS)
        return self._log_change(now_ms, task)

    def become_candidate(self, now_ms: float, task: str) -> None:
        """Be a candidate for a task's lease again, after a release."""
        self.participants[task] = replace(self.participants[task], is_candidate=True, next_proposal_ms=now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Make the proposals that are due, and log leases that have expired."""
        actions: list[Action] = []
        for task in self.participants:
            if self.logged_tokens[task] != self.participants[task].valid_token(now_ms):
                actions += self._log_change(now_ms, task)
            actions += self._propose_if_due(now_ms, task)
        return actions

    def due_ms(self) -> float:
        """Return when `tick` is due; infinity if only an event can make it due."""
        due_ms, can_propose = float("inf"), self.can_reach_quorum()
        for task, participant in self.participants.items():
            if can_propose and REGISTER_PREFIX + task not in self.proposals.open:
                due_ms = min(due_ms, participant.due_ms())
            if self.logged_tokens[task] is not None:
                due_ms = min(due_ms, participant.valid_until_ms)
        return due_ms

    def _propose_if_due(self, now_ms: float, task: str) -> list[Action]:
        register = REGISTER_PREFIX + task
        if register in self.proposals.open or not self.can_reach_quorum():
            return []
        participant, change = self.participants[task].propose(now_ms)
        if change is None:
            return []
        self.participants[task] = participant

        def on_ended(at_ms: float, phase: Phase, previous: Value, value: Value) -> list[Action]:
            current = self.participants[task]
            if phase is Phase.CHOSEN:
                self.participants[task] = current.on_chosen(at_ms, previous, value)
            else:
                self.participants[task] = current.on_failed(at_ms + self.proposals.retry_backoff_ms(register))
            return self._log_change(at_ms, task)

        return [*self.proposals.propose(now_ms, register, change, on_ended)]

    def _log_change(self, now_ms: float, task: str) -> list[Action]:
        """Log a lease that was gained, lost or renewed, and report a change of the token."""
        participant = self.participants[task]
        token, logged_token = participant.valid_token(now_ms), self.logged_tokens[task]
        kv = {"task": task, "at": now_ms}
        actions: list[Action] = []
        if logged_token is not None and token != logged_token:
            lost = kv | {"token": logged_token, "holder": participant.observed.holder or "nobody"}
            actions.append(LogMessage("lease_lost", lost))
        if token is not None:
            held = kv | {
                "token": token,
                "until": participant.valid_until_ms,
                "life": participant.process_incarnation,
            }
            actions.append(LogMessage("lease_held", held, is_debug=token == logged_token))
        if token != logged_token:
            actions.append(LeaseChanged(task))
        self.logged_tokens[task] = token
        return actions
