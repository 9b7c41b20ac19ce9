"""The leases of all tasks, as one member proposes, holds and releases them. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from grebestack.consensus.actions import Action, LeaseChanged, LogMessage
from grebestack.consensus.lease import NOT_HELD_MS, LeaseParticipant, LeaseTerms, release
from grebestack.consensus.proposals import Proposals
from grebestack.consensus.register import Phase, Value

REGISTER_PREFIX = "task/"  # of a task's register


class TaskLeases:
    """One member's leases.

    Parameters
    ----------
    rank_of
        The member's rank among the rivals for a task.
    can_reach_quorum
        Whether a proposal can succeed.
    """

    def __init__(
        self,
        tasks: Iterable[str],
        terms: LeaseTerms,
        proposals: Proposals,
        rank_of: Callable[[str], int],
        can_reach_quorum: Callable[[], bool],
    ) -> None:
        """Begin with no lease held."""
        self.proposals, self.can_reach_quorum = proposals, can_reach_quorum
        name, incarnation = proposals.name, proposals.process_incarnation
        self.participants = {
            task: LeaseParticipant(name, incarnation, terms, rank_of(task)) for task in tasks
        }
        self.logged_tokens: dict[str, int | None] = dict.fromkeys(self.participants)

    def valid_token(self, task: str, now_ms: float) -> int | None:
        """Return the fencing token to act with now, or None. Check it at each act."""
        return self.participants[task].valid_token(now_ms)

    def observe(self, now_ms: float, register: str, value: Value) -> None:
        """Note the value that this member's acceptor has accepted."""
        task = register.removeprefix(REGISTER_PREFIX)
        holder = self.participants.get(task) if register.startswith(REGISTER_PREFIX) else None
        if holder is not None:
            self.participants[task] = holder.observe(now_ms, value)

    def release(self, now_ms: float, task: str, to: str = "") -> list[Action]:
        """Stop acting for a task and free its lease, or hand it over to a member by name."""
        holder, register = self.participants[task], REGISTER_PREFIX + task
        mine = holder.observed if holder.is_held else None
        self.participants[task] = holder.resign()
        actions = self._log_change(now_ms, task)
        # The open proposal may still be chosen; the lease then runs out with its term.
        self.proposals.open.pop(register, None)
        if mine is not None and self.proposals.config.epoch:
            actions += self.proposals.propose(now_ms, register, release(mine, to), lambda *_: [])
        return actions

    def on_fenced(self, now_ms: float, task: str) -> list[Action]:
        """Stop acting under a token that a resource has rejected for a later one."""
        self.participants[task] = replace(self.participants[task], valid_until_ms=NOT_HELD_MS)
        return self._log_change(now_ms, task)

    def become_candidate(self, now_ms: float, task: str) -> None:
        """Propose the lease again, after a release."""
        self.participants[task] = replace(self.participants[task], is_candidate=True, next_proposal_ms=now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Propose what is due, and log leases that have run out."""
        actions: list[Action] = []
        for task in self.participants:
            if self.logged_tokens[task] != self.participants[task].valid_token(now_ms):
                actions += self._log_change(now_ms, task)
            actions += self._propose_if_due(now_ms, task)
        return actions

    def due_ms(self) -> float:
        """Return when `tick` is due; infinity: not before another event."""
        due_ms, can_propose = float("inf"), self.can_reach_quorum()
        for task, holder in self.participants.items():
            if can_propose and REGISTER_PREFIX + task not in self.proposals.open:
                due_ms = min(due_ms, holder.due_ms())
            if self.logged_tokens[task] is not None:
                due_ms = min(due_ms, holder.valid_until_ms)
        return due_ms

    def _propose_if_due(self, now_ms: float, task: str) -> list[Action]:
        register = REGISTER_PREFIX + task
        if register in self.proposals.open or not self.can_reach_quorum():
            return []
        holder, change = self.participants[task].propose(now_ms)
        if change is None:
            return []
        self.participants[task] = holder

        def on_ended(at_ms: float, phase: Phase, previous: Value, value: Value) -> list[Action]:
            current = self.participants[task]
            if phase is Phase.CHOSEN:
                self.participants[task] = current.on_chosen(at_ms, previous, value)
            else:
                self.participants[task] = current.on_failed(at_ms + self.proposals.retry_backoff_ms(register))
            return self._log_change(at_ms, task)

        return [*self.proposals.propose(now_ms, register, change, on_ended)]

    def _log_change(self, now_ms: float, task: str) -> list[Action]:
        """Log a lease that has come, gone or been renewed, and report a change of the token."""
        holder = self.participants[task]
        token, former = holder.valid_token(now_ms), self.logged_tokens[task]
        kv = {"task": task, "at": now_ms}
        actions: list[Action] = []
        if former is not None and token != former:
            lost = kv | {"token": former, "holder": holder.observed.holder or "nobody"}
            actions.append(LogMessage("lease_lost", lost))
        if token is not None:
            held = kv | {"token": token, "until": holder.valid_until_ms, "life": holder.process_incarnation}
            actions.append(LogMessage("lease_held", held, is_debug=token == former))
        if token != former:
            actions.append(LeaseChanged(task))
        self.logged_tokens[task] = token
        return actions
