"""One job that is in the engine, or may run since before a restart: its attempts are recorded as they go."""

from __future__ import annotations

import logging
import sqlite3
from typing import TYPE_CHECKING

from grebestack.job_queue import interface as queue_api
from grebestack.jobs.records import JobState
from grebestack.routing.interfaces import Timer
from grebestack.routing.requests import Attempt, Request

if TYPE_CHECKING:
    from grebestack.jobs.service import JobService

log = logging.getLogger(__name__)
RETRY_PAUSE_MS = 250.0  # before a job that was refused is tried again, where the refusal gives no advice


class ReleasedJob:
    """One job that is in the engine, or may run since before a restart; the engine's frontend for it."""

    def __init__(self, service: JobService, job_id: str, direct: bool) -> None:
        self.service, self.id, self.direct = service, job_id, direct
        self.session: Request | None = None
        self.rows: dict[int, int] = {}  # the record of each dispatch, by number
        self.deny_ms: float | None = None  # refused before it was acknowledged: when to come back
        self.acknowledged = True
        self.adopted: str | None = None  # the server that may have run it before a restart
        self.retry = service.retries.get(job_id)  # set: it is sent again after a restart
        self.timer: Timer | None = None

    def may_have_run(self, session: Request) -> bool:
        """Whether some attempt, also one of before a restart, is not proven never to have run."""
        return session.may_have_run or self.retry is not None

    def before_send(self, dispatch: Attempt) -> bool:
        """Record the dispatch; a dispatch that can't be recorded is not sent."""
        retry = self.retry
        if retry is not None and (
            self.service.wall_clock() > retry.until_s or dispatch.number >= retry.attempts
        ):
            return False
        try:
            self.rows[dispatch.number] = self.service.store.record_attempt(
                self.id, self.service.engine.table.callback_id(dispatch.worker), self.service.wall_clock()
            )
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": self.id, "error": error}})
            return False
        self.service.handle_event(queue_api.JobSent(self.id))
        return True

    def on_attempt_ended(self, dispatch: Attempt) -> None:
        """Record how a dispatch ended: one that never ran may be sent again, after a restart too."""
        outcome, row = dispatch.outcome, self.rows.get(dispatch.number)
        if outcome is None or row is None:
            return
        ended = (outcome.value, outcome.never_ran, row)
        if not outcome.never_ran:  # until then the record says that it may have run, as it may
            self.service.note_end(ended)
            return
        try:
            with self.service.store.transaction():
                self.service.store.record_attempt_ends([ended])
                self.service.store.set_state(self.id, JobState.REQUEUED)
        except sqlite3.Error as error:  # then the record says that it may have run, which is the safe side
            log.error("store_failed", extra={"kv": {"job": self.id, "error": error}})

    def on_served(self, session: Request, result: bytes) -> None:
        """A server did the job."""
        self.service.finish(self.id, JobState.DONE, result=result)

    def on_rejected(self, session: Request, retry_after_ms: float | None) -> None:
        """Refused: final for a job that asked for no waiting; another goes back to the waiting room."""
        if not self.acknowledged:
            self.deny_ms = retry_after_ms or 0.0
        elif session.may_have_run or (self.retry is not None and self.direct):
            self._unserved(session, "refused")
        elif not self.direct:
            self.service.returned(self, RETRY_PAUSE_MS if retry_after_ms is None else retry_after_ms)
        else:
            self.service.finish(
                self.id,
                JobState.FAILED,
                annotation="refused: it has not run and may be submitted again",
                retry_after=(retry_after_ms or 0.0) / 1000.0,
            )

    def on_failed(self, session: Request) -> None:
        """Failed; it may have run."""
        self._unserved(session, "failed")

    def on_cancelled(self, session: Request) -> None:
        """Terminated as asked."""
        self._unserved(session, "terminated")

    def _unserved(self, session: Request, how: str) -> None:
        ran = "it may have run" if self.may_have_run(session) else "it has not run"
        self.service.finish(self.id, JobState.FAILED, annotation=f"{how}: {ran}")
