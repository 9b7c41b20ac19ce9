"""Requests, until each is answered and all of its attempts have ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from grebestack.core.events import AttemptEnded, LaterReport, PossibleRun, RequestArrived
from grebestack.core.settings import JobClass, Settings
from grebestack.core.workers import Attempt, TrackedWorker


class QueueKey(NamedTuple):
    """Identifies one queue, whose requests are served first come, first served."""

    class_index: int
    is_over_quota: bool
    is_late: bool
    is_aged: bool


@dataclass(slots=True, eq=False)
class Request:
    """One request and its attempts."""

    arrival: RequestArrived
    job_class: JobClass
    arrived_ms: float
    queue_key: QueueKey
    max_attempts: int  # by the settings at its arrival, less those of a former process
    attempts: list[Attempt] = field(default_factory=list)
    # By name: workers that may repeat the report of an ended attempt, or still report any end of one.
    avoided_workers: set[str] = field(init=False)
    excluded_workers: set[str] = field(init=False)
    is_closed: bool = False
    is_queued: bool = False

    def __post_init__(self) -> None:
        """Take over what a former process knew."""
        self.max_attempts -= self.arrival.earlier_attempts
        self.avoided_workers = set(self.arrival.avoided_workers)
        self.excluded_workers = set(self.arrival.excluded_workers)

    def end_attempt(self, attempt: Attempt, event: AttemptEnded, now_ms: float) -> None:
        """Record how an attempt ended, and what its worker may still report about it."""
        attempt.outcome, attempt.ended_ms = event.outcome, now_ms
        if event.later_report is LaterReport.SAME:
            self.avoided_workers.add(event.worker)
        elif event.later_report is LaterReport.ANY:
            self.excluded_workers.add(event.worker)

    @property
    def has_cache_key(self) -> bool:
        """Whether it names a cache key; 0 is a valid key."""
        return self.arrival.cache_key is not None

    def value_units(self, settings: Settings) -> float:
        """Return what multiplies the priority weight: the hinted ms of work with weight_by_work, else 1."""
        return (settings.weight_by_work and self.arrival.cost_ms) or 1.0

    def awaited_attempts(self) -> list[Attempt]:
        """Return the attempts without an outcome that are not cancelled; cancelled ones may still run."""
        return [a for a in self.attempts if a.outcome is None and not a.is_cancelled]

    def excludes(self, worker: TrackedWorker) -> bool:
        """Whether another attempt at a worker could be mistaken for an earlier one."""
        if any(a.worker is worker and a.outcome is None for a in self.attempts):
            return True
        if not (self.avoided_workers or self.excluded_workers):
            return False
        name = worker.entry.worker
        return name in self.avoided_workers or name in self.excluded_workers

    @property
    def is_new(self) -> bool:
        """Whether there was no attempt, here or in a former process."""
        return not (self.attempts or self.arrival.earlier_attempts)

    @property
    def first_possible_run(self) -> PossibleRun | None:
        """The first attempt, here or in a former process, that is not proven never to have run."""
        if self.arrival.earlier_possible_run is not None:
            return self.arrival.earlier_possible_run
        for attempt in self.attempts:
            if attempt.may_have_run:
                entry = attempt.worker.entry
                return PossibleRun(attempt.sent_ms, entry.zone, entry.cell)
        return None


class RequestTable(dict[int, Request]):
    """The requests, by number, that are unanswered or have attempts without an outcome."""

    def find(self, number: int, index: int) -> tuple[Request, Attempt] | tuple[None, None]:
        """Return a request and one of its attempts, if that attempt has no outcome yet."""
        request = self.get(number)
        if request is None or not 0 <= index < len(request.attempts):
            return None, None
        attempt = request.attempts[index]
        return (request, attempt) if attempt.outcome is None else (None, None)
