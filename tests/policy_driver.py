"""Helpers for the tests: settings in short, a dispatcher that carries out actions, and a rule checker."""

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
    """The base settings with some changed."""
    return replace(BASE, **changes)


def entry(name: str, **fields: Any) -> api.WorkerEntry:
    """A line of the worker list."""
    return api.WorkerEntry(name, **fields)


class Dispatcher:
    """Drives one policy and remembers what it did."""

    def __init__(self, configured: api.Settings = BASE, workers: int = 3, seed: int = 1) -> None:
        self.policy = Policy(configured, seed)
        self.now = 1000.0
        self.last = 0
        self.timers: list[tuple[float, int]] = []
        self.log: list[api.Action] = []
        self.listed(*(entry(f"w{n}") for n in range(workers)), kind=api.ListKind.CACHED)

    def feed(self, event: api.Event) -> list[api.Action]:
        """Hand one event in; timers are kept, the other actions returned."""
        actions = self.policy.handle(self.now, event)
        self.timers += [(a.at_ms, a.token) for a in actions if isinstance(a, api.SetTimer)]
        rest: list[api.Action] = [a for a in actions if not isinstance(a, api.SetTimer)]
        self.log += rest
        return rest

    def listed(self, *entries: api.WorkerEntry, kind: api.ListKind = api.ListKind.FULL) -> list[api.Action]:
        """A message from discovery."""
        return self.feed(api.WorkersListed(kind, tuple(entries)))

    def ask(self, job_class: int = VIEW, **fields: Any) -> tuple[int, list[api.Action]]:
        """A request arrives; returns its number and the actions."""
        self.last += 1
        deadline = self.now + BASE.classes[job_class].deadline_ms
        fields = {"deadline_ms": deadline} | fields
        return self.last, self.feed(api.RequestArrived(self.last, job_class, **fields))

    def start(self, request: int, worker: str, attempt: int = 0) -> list[api.Action]:
        """A worker says that a job runs."""
        return self.feed(api.AttemptStarted(request, attempt, worker))

    def end(
        self,
        request: int,
        worker: str,
        outcome: api.Outcome = api.Outcome.OK,
        attempt: int = 0,
        closed: bool | None = None,
    ) -> list[api.Action]:
        """An attempt ends."""
        done = outcome is api.Outcome.OK if closed is None else closed
        return self.feed(api.AttemptEnded(request, attempt, worker, outcome, 1.0, done))

    def wait(self, ms: float) -> list[api.Action]:
        """Let time pass and timers fire; returns all that was done meanwhile."""
        until, done = self.now + ms, list[api.Action]()
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.now = max(self.now, due[0][0])
            self.timers.remove(due[0])
            done += self.feed(api.TimerFired(due[0][1]))
        self.now = until
        return done


def sends(actions: list[api.Action]) -> list[str]:
    """The workers that were sent to, in order."""
    return [a.worker for a in actions if isinstance(a, api.Send)]


@dataclass
class RuleChecker:
    """An independent reading of rules 1 to 3 over the events and actions of one dispatcher."""

    settings: api.Settings
    violations: list[str] = field(default_factory=list)
    arrivals: dict[int, api.RequestArrived] = field(default_factory=dict)
    arrived_ms: dict[int, float] = field(default_factory=dict)
    answered: set[int] = field(default_factory=set)
    sent: dict[int, list[tuple[float, str, api.Outcome | None]]] = field(default_factory=dict)
    places: dict[str, tuple[int, int]] = field(default_factory=dict)
    unavailable_since: dict[str, float] = field(default_factory=dict)

    def event(self, now: float, event: api.Event) -> None:
        """Note an event that the dispatcher handles."""
        if isinstance(event, api.RequestArrived):
            self.arrivals[event.request] = event
            self.arrived_ms[event.request] = now
            self.sent[event.request] = []
        elif isinstance(event, api.AttemptEnded):
            at, worker, _ = self.sent[event.request][event.attempt]
            self.sent[event.request][event.attempt] = (at, worker, event.outcome)
            if event.closed:
                self.answered.add(event.request)
        elif isinstance(event, api.RequestDropped):
            self.answered.add(event.request)
        elif isinstance(event, api.WorkersListed) and event.kind is not api.ListKind.FAILED:
            named = {item.worker for item in event.workers}
            if event.kind is not api.ListKind.CHANGES:
                for worker in set(self.places) - named:
                    self.unavailable_since.setdefault(worker, now)
            for item in event.workers:
                self.places[item.worker] = (item.zone, item.cell)
                if item.state is api.WorkerState.READY:
                    self.unavailable_since.pop(item.worker, None)
                else:
                    self.unavailable_since.setdefault(item.worker, now)

    def action(self, now: float, action: api.Action) -> None:
        """Check an action of the dispatcher."""
        if isinstance(action, api.Send):
            self._send(now, action)
        elif isinstance(action, api.Reject | api.Fail):
            request = self.arrivals[action.request]
            if action.request in self.answered:
                self.violations.append(f"two answers to {action.request}")
            if now > max(
                request.deadline_ms + self.settings.answer_grace_ms, self.arrived_ms[action.request]
            ):
                self.violations.append(f"late answer to {action.request}")
            if isinstance(action, api.Reject) and not self._may_reject(action.request):
                self.violations.append(f"refused {action.request}, which may have run")
            self.answered.add(action.request)

    def _possibly_executed(self, request: int) -> list[tuple[float, str, api.Outcome | None]]:
        proof = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
        return [attempt for attempt in self.sent[request] if attempt[2] not in proof]

    def _may_reject(self, request: int) -> bool:
        job_class = self.settings.classes[self.arrivals[request].job_class]
        if job_class.effect is api.Effect.IDEMPOTENT:
            return True
        if job_class.effect is api.Effect.IDEMPOTENT_WITH_KEY and job_class.group is api.Group.ALL:
            return True
        return not self._possibly_executed(request)

    def _send(self, now: float, action: api.Send) -> None:
        job_class = self.settings.classes[self.arrivals[action.request].job_class]
        if action.request in self.answered:
            self.violations.append(f"sent {action.request} after its end")
        if (
            action.worker in self.unavailable_since
            and now > self.unavailable_since[action.worker] + self.settings.drain_grace_ms
        ):
            self.violations.append(f"sent {action.request} to drained {action.worker}")
        executed = self._possibly_executed(action.request)
        if executed and job_class.effect is api.Effect.NOT_IDEMPOTENT:
            self.violations.append(f"sent unsafe {action.request} twice")
        if executed and job_class.effect is api.Effect.IDEMPOTENT_WITH_KEY:
            part = {api.Group.ALL: 0, api.Group.ZONE: 1, api.Group.CELL: 2}[job_class.group]
            if any(self.places[w][:part] != self.places[action.worker][:part] for _, w, _ in executed):
                self.violations.append(f"sent keyed {action.request} outside its group")
            if now > executed[0][0] + job_class.retry_window_ms:
                self.violations.append(f"sent keyed {action.request} after its window")
        if not self.settings.hedging_enabled and any(a[2] is None for a in self.sent[action.request]):
            self.violations.append(f"a second copy of {action.request}")
        self.sent[action.request].append((now, action.worker, None))

    def finish(self, now: float) -> None:
        """At the end nothing may be unanswered past its deadline."""
        for number, request in self.arrivals.items():
            if number not in self.answered and now > request.deadline_ms + self.settings.answer_grace_ms:
                self.violations.append(f"lost {number}")
