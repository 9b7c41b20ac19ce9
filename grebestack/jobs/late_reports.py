"""Which workers may still repeat the report of an earlier attempt of a job.

A job keeps its id over its attempts, also after it was returned to the queue and after a restart, and a
call-back names the job but no attempt. A worker that handed a job back repeats that call-back until it is
answered, so that for some time a report of it proves nothing about a later attempt at the same worker.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from grebestack.core.api import LaterReport, Outcome
from grebestack.routing.requests import EndedAttempt, RequestHistory, ambiguous_outcomes

REPEAT_WINDOW_S = 60.0  # ten calls, each with 5 s for an answer and a pause before the next


@dataclass(frozen=True, slots=True)
class LateReport:
    """A report that a worker may repeat until a Unix time."""

    callback_id: str
    outcome: Outcome
    until_s: float


class LateReports:
    """The reports that may be repeated, by job; the store has them as well."""

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self.wall_clock = wall_clock
        self.by_job: dict[str, list[LateReport]] = {}

    def restore(self, reports: Iterable[tuple[str, LateReport]]) -> None:
        """Take over the reports in the store, each with its job."""
        for job_id, report in reports:
            self.by_job.setdefault(job_id, []).append(report)

    def add(self, job_id: str, callback_id: str, outcomes: Iterable[Outcome]) -> float:
        """Note that a worker may repeat a report from now on; return until when."""
        until_s = self.wall_clock() + REPEAT_WINDOW_S
        reports = self.by_job.setdefault(job_id, [])
        reports += (LateReport(callback_id, outcome, until_s) for outcome in outcomes)
        return until_s

    def forget(self, job_id: str) -> None:
        """Forget a job that has ended."""
        self.by_job.pop(job_id, None)

    def history(self, job_id: str) -> RequestHistory:
        """Return what the engine must know when it gets a job again."""
        return RequestHistory(reported_again=self._reported_again(job_id))

    def ambiguous_outcomes(self, job_id: str, callback_id: str) -> frozenset[Outcome]:
        """Return the outcomes whose report by a worker proves nothing about its latest attempt."""
        return ambiguous_outcomes(self._reported_again(job_id), callback_id)

    def _reported_again(self, job_id: str) -> tuple[EndedAttempt, ...]:
        now_s = self.wall_clock()
        return tuple(
            EndedAttempt(report.callback_id, report.outcome, LaterReport.SAME)
            for report in self.by_job.get(job_id, ())
            if report.until_s > now_s
        )
