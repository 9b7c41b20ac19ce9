"""Requests, until each is answered and all of its attempts have ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from grebestack.core.events import RequestArrived
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
    max_attempts: int  # by the settings at its arrival
    attempts: list[Attempt] = field(default_factory=list)
    is_closed: bool = False
    is_queued: bool = False

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

    def may_run_at(self, worker: TrackedWorker) -> bool:
        """Whether an attempt may still be running at a worker."""
        return any(a.worker is worker and a.outcome is None for a in self.attempts)

    def possibly_executed(self) -> list[Attempt]:
        """Return all attempts except those that certainly never ran."""
        return [a for a in self.attempts if a.outcome is None or not a.outcome.never_ran]


class RequestTable(dict[int, Request]):
    """The requests, by number, that are unanswered or have attempts without an outcome."""

    def find(self, number: int, index: int) -> tuple[Request, Attempt] | tuple[None, None]:
        """Return a request and one of its attempts, if that attempt has no outcome yet."""
        request = self.get(number)
        if request is None or not 0 <= index < len(request.attempts):
            return None, None
        attempt = request.attempts[index]
        return (request, attempt) if attempt.outcome is None else (None, None)
