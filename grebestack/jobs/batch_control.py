"""Holds, releases and terminates the jobs of a batch, some in each turn of the event loop.

An operation that was accepted is in the store until it has reached all jobs: a restart goes on with it.
"""

from __future__ import annotations

import logging
import sqlite3
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING

from grebestack.job_queue import interface as queue_api
from grebestack.job_queue.interface import EndCause
from grebestack.jobs.descriptions import end_annotation
from grebestack.jobs.records import STORE_RETRY_MS, JobError

if TYPE_CHECKING:
    from grebestack.jobs.service import JobService

log = logging.getLogger(__name__)
JOBS_PER_TURN = 50


class BatchOperation(StrEnum):
    """What is done to all jobs of a batch; the values are those of the API, and are stored."""

    HOLD = "hold"
    RELEASE = "release"
    TERMINATE = "terminate"


@dataclass(frozen=True, slots=True)
class StoredOperation:
    """An accepted operation that has reached the jobs up to a number."""

    row: int
    batch: str
    operation: BatchOperation
    after_number: int


class BatchControl:
    """Applies the operations of a job service's batches."""

    def __init__(self, service: JobService) -> None:
        """Apply nothing yet."""
        self.service = service
        self.operations = {
            BatchOperation.HOLD: service.hold,
            BatchOperation.RELEASE: service.release,
            BatchOperation.TERMINATE: service.terminate,
        }

    def start(self, batch: str, operation: BatchOperation) -> None:
        """Accept an operation, and begin with it.

        Raises
        ------
        sqlite3.Error : it could not be recorded, and nothing has changed.
        """
        stored = self.service.store.add_batch_operation(batch, operation)
        if operation is BatchOperation.TERMINATE:  # those that are not reached yet are not let in meanwhile
            self.service.handle_event(queue_api.BatchStopped(batch))
        self._apply_some(stored)

    def apply_to_stored_jobs(self) -> None:
        """After a restart, apply the operations to the jobs that have not been sent, before any is let in."""
        annotation = end_annotation(queue_api.EndJob("", EndCause.TERMINATED))
        store = self.service.store
        for stored in store.batch_operations():
            if stored.operation is BatchOperation.TERMINATE:
                store.finish_unsent(stored, self.service.wall_clock(), annotation)
            elif stored.operation is BatchOperation.HOLD:
                store.hold_unsent(stored)

    def resume(self) -> None:
        """After a restart, apply the operations to the other jobs."""
        for stored in self.service.store.batch_operations():
            log.info("batch_resumed", extra={"kv": {"batch": stored.batch, "call": stored.operation.value}})
            self._apply_some(stored)

    def _apply_some(self, stored: StoredOperation) -> None:
        """Apply an operation to the next jobs, and schedule the rest."""
        service = self.service
        try:
            members = service.store.batch_members(stored.batch, JOBS_PER_TURN, stored.after_number)
            for job_id, _, _ in members:
                with suppress(JobError):  # its state no longer allows it, since it has ended or runs
                    self.operations[stored.operation](service.find(job_id))
            reached = members[-1][1] if members else stored.after_number
            is_complete = len(members) < JOBS_PER_TURN
            rest = StoredOperation(stored.row, stored.batch, stored.operation, reached)
            service.store.record_batch_progress(rest, is_complete)
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"batch": stored.batch, "error": error}})
            self._schedule(stored, STORE_RETRY_MS)
            return
        if not is_complete:
            self._schedule(rest, 0.0)

    def _schedule(self, stored: StoredOperation, delay_ms: float) -> None:
        clock = self.service.engine.clock
        clock.call_at(clock.now_ms() + delay_ms, partial(self._apply_some, stored))
