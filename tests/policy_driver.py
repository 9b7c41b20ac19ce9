"""Helpers for the tests: settings, a driver of one policy, and an independent checker of the rules."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import Any

from grebestack.core import api
from grebestack.core.policy import Policy

IDEMPOTENT = api.JobClass(
    "view", latency_objective_ms=300, deadline_ms=5000, effect=api.Effect.IDEMPOTENT, objective_stretch=2.0
)
IDEMPOTENT_WITH_KEY = api.JobClass(
    "book",
    latency_objective_ms=1000,
    deadline_ms=15000,
    effect=api.Effect.IDEMPOTENT_WITH_KEY,
    group=api.Group.ZONE,
    retry_window_ms=2500,
    priority_weight=8,
)
NOT_IDEMPOTENT = api.JobClass(
    "order", latency_objective_ms=100, deadline_ms=5000, effect=api.Effect.NOT_IDEMPOTENT, priority_weight=3
)
VIEW, BOOK, ORDER = 0, 1, 2

BASE = api.Settings(
    classes=(IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT),
    max_attempts=4,
    hedging_enabled=True,
    cancel=True,
    reports_attempt_start=True,
    drain_grace_ms=250,
    answer_grace_ms=16,
    tick_ms=4,
)


def settings(**changes: Any) -> api.Settings:
    """The base settings with some changes."""
    return replace(BASE, **changes)


def entry(name: str, **fields: Any) -> api.WorkerEntry:
    """An entry of the endpoint list."""
    return api.WorkerEntry(name, **fields)


class Dispatcher:
    """Drives one policy and records its actions."""

    def __init__(self, configured: api.Settings = BASE, workers: int = 3, seed: int = 1) -> None:
        self.policy = Policy(configured, seed)
        self.now_ms = 1000.0
        self.last_request = 0
        self.timers: list[tuple[float, int]] = []
        self.log: list[api.Action] = []
        self.update_list(*(entry(f"w{n}") for n in range(workers)), kind=api.ListKind.CACHED)

    def feed(self, event: api.Event) -> list[api.Action]:
        """Handle one event; keep the timers and return the other actions."""
        actions = self.policy.handle(self.now_ms, event)
        self.timers += [(a.at_ms, a.token) for a in actions if isinstance(a, api.SetTimer)]
        others: list[api.Action] = [a for a in actions if not isinstance(a, api.SetTimer)]
        self.log += others
        return others

    def update_list(
        self, *entries: api.WorkerEntry, kind: api.ListKind = api.ListKind.FULL
    ) -> list[api.Action]:
        """Handle an endpoint list, or changes of it."""
        return self.feed(api.WorkersListed(kind, tuple(entries)))

    def submit(self, job_class: int = VIEW, **fields: Any) -> tuple[int, list[api.Action]]:
        """Handle the arrival of a request; return its number and the actions."""
        self.last_request += 1
        deadline_ms = self.now_ms + BASE.classes[job_class].deadline_ms
        fields = {"deadline_ms": deadline_ms} | fields
        return self.last_request, self.feed(api.RequestArrived(self.last_request, job_class, **fields))

    def start(self, request: int, worker: str, attempt: int = 0) -> list[api.Action]:
        """Handle the report of a worker that a job has started."""
        return self.feed(api.AttemptStarted(request, attempt, worker))

    def end(
        self,
        request: int,
        worker: str,
        outcome: api.Outcome = api.Outcome.OK,
        attempt: int = 0,
        closed: bool | None = None,
    ) -> list[api.Action]:
        """Handle the end of an attempt; by default, its request is closed if it succeeded."""
        is_closed = outcome is api.Outcome.OK if closed is None else closed
        return self.feed(api.AttemptEnded(request, attempt, worker, outcome, 1.0, is_closed))

    def advance(self, ms: float) -> list[api.Action]:
        """Advance the time and fire the due timers; return the actions of that time."""
        until_ms, actions = self.now_ms + ms, list[api.Action]()
        while due := sorted(t for t in self.timers if t[0] <= until_ms):
            self.now_ms = max(self.now_ms, due[0][0])
            self.timers.remove(due[0])
            actions += self.feed(api.TimerFired(due[0][1]))
        self.now_ms = until_ms
        return actions


def sends(actions: list[api.Action]) -> list[str]:
    """The workers to which the actions send, in order."""
    return [a.worker for a in actions if isinstance(a, api.Send)]


@dataclass
class RuleChecker:
    """Checks the events and actions of one dispatcher, independently of the policy.

    Each request gets one answer, in time, and a rejected one was not executed; nothing is sent that must not
    be sent again; nothing is sent to a worker that has drained.
    """

    settings: api.Settings
    violations: list[str] = field(default_factory=list)
    arrivals: dict[int, api.RequestArrived] = field(default_factory=dict)
    arrived_ms: dict[int, float] = field(default_factory=dict)
    answered: set[int] = field(default_factory=set)
    sent: dict[int, list[tuple[float, str, api.Outcome | None]]] = field(default_factory=dict)
    places: dict[str, tuple[int, int]] = field(default_factory=dict)  # zone and cell by worker
    unavailable_since_ms: dict[str, float] = field(default_factory=dict)

    def on_event(self, now_ms: float, event: api.Event) -> None:
        """Record an event that the dispatcher handles."""
        if isinstance(event, api.RequestArrived):
            self.arrivals[event.request] = event
            self.arrived_ms[event.request] = now_ms
            self.sent[event.request] = []
        elif isinstance(event, api.AttemptEnded):
            sent_ms, worker, _ = self.sent[event.request][event.attempt]
            self.sent[event.request][event.attempt] = (sent_ms, worker, event.outcome)
            if event.closed:
                self.answered.add(event.request)
        elif isinstance(event, api.RequestDropped):
            self.answered.add(event.request)
        elif isinstance(event, api.WorkersListed) and event.kind is not api.ListKind.FAILED:
            listed = {item.worker for item in event.workers}
            if event.kind is not api.ListKind.CHANGES:
                for worker in set(self.places) - listed:
                    self.unavailable_since_ms.setdefault(worker, now_ms)
            for item in event.workers:
                self.places[item.worker] = (item.zone, item.cell)
                if item.state is api.WorkerState.READY:
                    self.unavailable_since_ms.pop(item.worker, None)
                else:
                    self.unavailable_since_ms.setdefault(item.worker, now_ms)

    def on_action(self, now_ms: float, action: api.Action) -> None:
        """Check an action of the dispatcher."""
        if isinstance(action, api.Send):
            self._on_send(now_ms, action)
        elif isinstance(action, api.Reject | api.Fail):
            request = self.arrivals[action.request]
            if action.request in self.answered:
                self.violations.append(f"two answers to {action.request}")
            if now_ms > max(
                request.deadline_ms + self.settings.answer_grace_ms, self.arrived_ms[action.request]
            ):
                self.violations.append(f"late answer to {action.request}")
            if isinstance(action, api.Reject) and not self._may_reject(action.request):
                self.violations.append(f"rejected {action.request}, which may have run")
            self.answered.add(action.request)

    def _possibly_executed(self, request: int) -> list[tuple[float, str, api.Outcome | None]]:
        not_executed = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
        return [attempt for attempt in self.sent[request] if attempt[2] not in not_executed]

    def _may_reject(self, request: int) -> bool:
        job_class = self.settings.classes[self.arrivals[request].job_class]
        if job_class.effect is api.Effect.IDEMPOTENT:
            return True
        if job_class.effect is api.Effect.IDEMPOTENT_WITH_KEY and job_class.group is api.Group.ALL:
            return True
        return not self._possibly_executed(request)

    def _on_send(self, now_ms: float, action: api.Send) -> None:
        job_class = self.settings.classes[self.arrivals[action.request].job_class]
        if action.request in self.answered:
            self.violations.append(f"sent {action.request} after its answer")
        if (
            action.worker in self.unavailable_since_ms
            and now_ms > self.unavailable_since_ms[action.worker] + self.settings.drain_grace_ms
        ):
            self.violations.append(f"sent {action.request} to drained {action.worker}")
        executed = self._possibly_executed(action.request)
        if executed and job_class.effect is api.Effect.NOT_IDEMPOTENT:
            self.violations.append(f"sent non-idempotent {action.request} twice")
        if executed and job_class.effect is api.Effect.IDEMPOTENT_WITH_KEY:
            depth = {api.Group.ALL: 0, api.Group.ZONE: 1, api.Group.CELL: 2}[job_class.group]
            if any(self.places[w][:depth] != self.places[action.worker][:depth] for _, w, _ in executed):
                self.violations.append(f"sent {action.request} outside the group of its key")
            if now_ms > executed[0][0] + job_class.retry_window_ms:
                self.violations.append(f"sent {action.request} after its retry window")
        if not self.settings.hedging_enabled and any(a[2] is None for a in self.sent[action.request]):
            self.violations.append(f"a second copy of {action.request}")
        self.sent[action.request].append((now_ms, action.worker, None))

    def check_answers(self, now_ms: float) -> None:
        """Check at the end that no request is unanswered past its deadline."""
        for number, request in self.arrivals.items():
            if number not in self.answered and now_ms > request.deadline_ms + self.settings.answer_grace_ms:
                self.violations.append(f"no answer to {number}")
