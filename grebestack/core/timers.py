"""A queue of timed tasks that needs only one outstanding timer."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from grebestack.core.requests import Request
from grebestack.core.workers import Attempt


class ScheduledTask(NamedTuple):
    """One timed task; tasks of the same time run in the order in which they were added."""

    at_ms: float
    sequence: int
    task: Callable[..., None]
    request: Request | None
    attempt: Attempt | None

    def is_obsolete(self) -> bool:
        """Whether its attempt has started, ended or been cancelled or, without one, its request is closed."""
        attempt = self.attempt
        if attempt is not None:
            return attempt.started_ms is not None or attempt.outcome is not None or attempt.is_cancelled
        return self.request is not None and self.request.is_closed


class TimerQueue:
    """Timed tasks, earliest first; a timer is set only for the earliest."""

    def __init__(self) -> None:
        """Start without tasks."""
        self.tasks: list[ScheduledTask] = []
        self.task_count = 0
        self.timer_at_ms = float("inf")  # when the newest timer is due, while it is outstanding
        self.token = 0  # of the newest timer

    def add(
        self,
        at_ms: float,
        task: Callable[..., None],
        request: Request | None = None,
        attempt: Attempt | None = None,
    ) -> None:
        """Schedule a task; it is called with the request and the attempt, if they are given."""
        self.task_count += 1
        heapq.heappush(self.tasks, ScheduledTask(at_ms, self.task_count, task, request, attempt))

    def run_due(self, now_ms: float, token: int) -> None:
        """Run the due tasks after the timer of a token has fired.

        Only the newest timer is followed by another, so that timers do not multiply. An older timer may fire
        first after a long iteration of the event loop; it runs the due tasks as well.
        """
        if token == self.token:
            self.timer_at_ms = float("inf")
        while self.tasks and self.tasks[0].at_ms <= now_ms:
            due = heapq.heappop(self.tasks)
            if due.request is None:
                due.task()
            elif not due.is_obsolete():
                due.task(*(part for part in (due.request, due.attempt) if part is not None))

    def next_timer_ms(self) -> float | None:
        """Return when a new timer must fire; None if the outstanding one is early enough."""
        while self.tasks and self.tasks[0].is_obsolete():
            heapq.heappop(self.tasks)
        if not self.tasks or self.tasks[0].at_ms >= self.timer_at_ms:
            return None
        self.timer_at_ms = self.tasks[0].at_ms
        self.token += 1
        return self.timer_at_ms
