"""A job that is in the engine or may run since before a restart; its attempts are recorded."""

from __future__ import annotations

import logging
import sqlite3
from typing import TYPE_CHECKING

from grebestack.core.api import LaterReport
from grebestack.job_queue import interface as queue_api
from grebestack.jobs.records import AttemptEnd, JobState
from grebestack.routing.interfaces import Timer
from grebestack.routing.requests import Attempt, Request

if TYPE_CHECKING:
    from grebestack.jobs.service import JobService

log = logging.getLogger(__name__)
RETRY_PAUSE_MS = 250.0  # before the next try of a refused job if the refusal has no Retry-After


class ReleasedJob:
    """A job that is in the engine or may run since before a restart; the listener of its request."""

    def __init__(self, service: JobService, job_id: str, direct: bool) -> None:
        self.service, self.id, self.direct = service, job_id, direct
        self.request: Request | None = None
        self.attempt_rows: dict[int, int] = {}  # the database row of each attempt, by attempt number
        self.refusal_retry_after_ms: float | None = None  # set if refused before the acknowledgement
        self.acknowledged = True
        self.earlier_worker: str | None = None  # the worker that may have run it before a restart
        self.is_terminated = False  # by a client, while the attempt from before a restart is awaited
        self.retry_limit = service.retry_limits.get(job_id)  # set if it is sent again after a restart
        self.timer: Timer | None = None

    def may_have_run(self, request: Request) -> bool:
        """Whether some attempt, including those before a restart, is not proven never to have run."""
        return request.may_have_run or self.retry_limit is not None

    def is_client_gone(self) -> bool:
        """Return False: a stored job does not depend on its client's connection."""
        return False

    def before_send(self, attempt: Attempt) -> bool:
        """Record an attempt; False, so that it is not sent, if that fails or the retry limit is reached."""
        limit = self.retry_limit
        if limit is not None and (
            self.service.wall_clock() > limit.until_s or attempt.number >= limit.attempts
        ):
            return False
        try:
            self.attempt_rows[attempt.number] = self.service.store.record_attempt(
                self.id, attempt.callback_id, self.service.wall_clock()
            )
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": self.id, "error": error}})
            return False
        self.service.handle_event(queue_api.JobSent(self.id))
        return True

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Record how an attempt ended: a job that never ran may be sent again, also after a restart."""
        outcome, row = attempt.outcome, self.attempt_rows.get(attempt.number)
        if outcome is None or row is None:
            return
        if not outcome.never_ran:  # the stored record already says that it may have run
            self.service.defer_attempt_end(AttemptEnd(row, outcome))
            return
        until_s = None
        if attempt.later_report is not LaterReport.NONE:
            until_s = self.service.late_reports.add(self.id, attempt.callback_id, [outcome])
        try:
            with self.service.store.transaction():
                self.service.store.record_attempt_ends([AttemptEnd(row, outcome, until_s)])
                self.service.store.set_state(self.id, JobState.REQUEUED)
        except sqlite3.Error as error:  # the record still says that it may have run, which is safe
            log.error("store_failed", extra={"kv": {"job": self.id, "error": error}})

    def on_served(self, request: Request, result: bytes) -> None:
        """End the job as done."""
        self.service.finish(self.id, JobState.DONE, result=result)

    def on_rejected(self, request: Request, retry_after_ms: float | None) -> None:
        """End a refused job if it is direct; return others to the job queue."""
        if not self.acknowledged:
            self.refusal_retry_after_ms = retry_after_ms or 0.0
        elif request.may_have_run or (self.retry_limit is not None and self.direct):
            self._unserved(request, "refused")
        elif not self.direct:
            self.service.return_to_queue(self, RETRY_PAUSE_MS if retry_after_ms is None else retry_after_ms)
        else:
            self.service.finish(
                self.id,
                JobState.FAILED,
                annotation="refused: it has not run and may be submitted again",
                retry_after=(retry_after_ms or 0.0) / 1000.0,
            )

    def on_failed(self, request: Request) -> None:
        """End the job as failed; it may have run."""
        self._unserved(request, "failed")

    def on_cancelled(self, request: Request) -> None:
        """End the job as terminated at a client's request."""
        self._unserved(request, "terminated")

    def _unserved(self, request: Request, reason: str) -> None:
        ran = "it may have run" if self.may_have_run(request) else "it has not run"
        self.service.finish(self.id, JobState.FAILED, annotation=f"{reason}: {ran}")
