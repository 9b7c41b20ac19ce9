"""Batch submissions: accepted as a whole or not at all, and recorded in slices."""

from __future__ import annotations

import logging
import sqlite3
import uuid
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from functools import partial
from itertools import islice
from typing import TYPE_CHECKING

from grebestack.job_queue import interface as queue_api
from grebestack.job_queue.interface import JobSpec
from grebestack.jobs.records import Batch, Job, JobError, JobErrorKind, NewJob

if TYPE_CHECKING:
    from grebestack.jobs.service import JobService

log = logging.getLogger(__name__)
JOBS_PER_SLICE = 100  # recorded in one turn of the event loop, so that a large batch does not block it


class PendingBatch:
    """A batch that is being recorded."""

    def __init__(
        self, batch: Batch, specs: Iterator[tuple[Job, JobSpec]], on_done: Callable[[Batch | JobError], None]
    ) -> None:
        self.batch, self.specs, self.on_done = batch, specs, on_done


class BatchIntake:
    """Accepts batches for a job service."""

    def __init__(self, service: JobService) -> None:
        """Accept batches for `service`."""
        self.service = service

    def submit(
        self,
        submission: str,
        template: str,
        new_jobs: Sequence[NewJob] | Callable[[int], NewJob],
        numbers: range,
        is_array: bool,
        max_parallel: int | None,
        on_done: Callable[[Batch | JobError], None],
        overloaded: bool = False,
    ) -> None:
        """Accept several jobs, all or none.

        `on_done` is called with the batch once it is recorded, or with an error, perhaps several turns of the
        event loop later. `new_jobs` is a sequence or, for a job array, a function from the index to the job.
        With `overloaded`, no new submission is accepted.
        """
        existing = self.service.store.find_batch("submission", submission)
        if existing is not None and not existing.complete:
            on_done(
                JobError(JobErrorKind.LATER, "a submission with this key is still being recorded", 1000.0)
            )
            return
        if existing is not None and existing.template == template:
            on_done(existing)
            return
        if existing is not None or self.service.store.find_by_submission(submission) is not None:
            on_done(JobError(JobErrorKind.CONFLICT, "this key was used for another submission"))
            return
        if self.service.stopping or overloaded:
            on_done(JobError(JobErrorKind.LATER, "no new jobs are accepted now", 1000.0))
            return
        if len(numbers) > self.service.limits.max_batch_size:
            on_done(
                JobError(
                    JobErrorKind.INVALID,
                    f"{len(numbers)} jobs were submitted, the limit is {self.service.limits.max_batch_size}",
                )
            )
            return
        batch = Batch(
            uuid.uuid4().hex, submission, template, self.service.wall_clock(), is_array, max_parallel
        )
        try:
            if callable(new_jobs):
                # Only to raise JobError now if such a job can't be accepted.
                self.service.make_job(new_jobs(numbers[0]), "", "", {}, batch, numbers[0])
                self._check_capacity(len(numbers))
                specs = self._array_jobs(batch, new_jobs, numbers)
            else:
                specs = self._graph_jobs(batch, new_jobs)
            self.service.store.add_batch(batch)
        except JobError as error:
            on_done(error)
            return
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"batch": batch.id, "error": error}})
            on_done(JobError(JobErrorKind.RESOURCE, "the jobs could not be recorded", 5000.0))
            return
        self.service.handle_event(queue_api.BatchAdded(batch.id, max_parallel))
        self._record_slice(PendingBatch(batch, specs, on_done))

    def _check_capacity(self, count: int) -> None:
        if len(self.service.job_queue) + count > self.service.limits.max_queued:
            reason = f"the job queue is full: it takes at most {self.service.limits.max_queued} jobs"
            raise JobError(JobErrorKind.LATER, reason, self.service.estimated_wait_ms())

    def _array_jobs(
        self, batch: Batch, new: Callable[[int], NewJob], numbers: range
    ) -> Iterator[tuple[Job, JobSpec]]:
        for number in numbers:
            job_id = uuid.uuid4().hex
            yield self.service.make_job(new(number), job_id, f"\x01{batch.id}/{number}", {}, batch, number)

    def _graph_jobs(self, batch: Batch, new_jobs: Sequence[NewJob]) -> Iterator[tuple[Job, JobSpec]]:
        job_ids: dict[str, str] = {}
        for new in new_jobs:
            if new.label in job_ids:
                raise JobError(JobErrorKind.INVALID, f"two jobs have the name {new.label}")
            job_ids[new.label] = uuid.uuid4().hex
        jobs_by_id = {
            job_ids[new.label]: self.service.make_job(
                new, job_ids[new.label], f"\x01{batch.id}/{number}", job_ids, batch, number
            )
            for number, new in enumerate(new_jobs)
        }
        labels = {job_id: label for label, job_id in job_ids.items()}
        try:
            ordered = self.service.check_and_sort([spec for _, spec in jobs_by_id.values()])
        except JobError as error:  # show the client its own names, not our ids
            text = str(error)
            for job_id, label in labels.items():
                text = text.replace(job_id, label)
            raise JobError(error.kind, text, error.retry_after_ms) from error
        return iter([jobs_by_id[spec.job] for spec in ordered])

    def _record_slice(self, pending: PendingBatch) -> None:
        """Record the next slice of a batch; after the last one its jobs may run."""
        batch = pending.batch
        try:
            recorded = list(islice(pending.specs, JOBS_PER_SLICE))
            slice_ids = {job.id for job, _ in recorded}
            recorded = [(job, self._with_outcomes(spec, slice_ids)) for job, spec in recorded]
            self.service.check_and_sort([spec for _, spec in recorded])
            with self.service.store.transaction():
                self.service.store.add_all(
                    [job for job, _ in recorded],
                    [
                        (job.id, dependency.job, dependency.condition, dependency.done)
                        for job, spec in recorded
                        for dependency in spec.dependencies
                    ],
                )
                if len(recorded) < JOBS_PER_SLICE:
                    self.service.store.mark_batch_complete(batch.id)
        except (JobError, sqlite3.Error) as error:
            self.service.handle_event(queue_api.BatchDiscarded(batch.id))
            self._delete_batch(batch.id)
            if isinstance(error, JobError):
                pending.on_done(error)
                return
            log.error("store_failed", extra={"kv": {"batch": batch.id, "error": error}})
            pending.on_done(JobError(JobErrorKind.RESOURCE, "the jobs could not be recorded", 5000.0))
            return
        self.service.handle_event(queue_api.JobsSubmitted(tuple(spec for _, spec in recorded), batch.id))
        if len(recorded) < JOBS_PER_SLICE:
            pending.on_done(batch)
            self.service.handle_event(queue_api.BatchRecorded(batch.id))
        else:
            self.service.engine.clock.call_at(
                self.service.engine.clock.now_ms(), partial(self._record_slice, pending)
            )

    def _with_outcomes(self, spec: JobSpec, slice_ids: set[str]) -> JobSpec:
        """Return the spec with the outcomes of dependencies that have ended since it was made."""
        dependencies = []
        for dependency in spec.dependencies:
            if (
                dependency.done is None
                and dependency.job not in slice_ids
                and not self.service.job_queue.is_active(dependency.job)
            ):
                dependency = replace(dependency, done=self.service.ended_as_done(dependency.job))
            dependencies.append(dependency)
        return replace(spec, dependencies=tuple(dependencies)) if dependencies else spec

    def _delete_batch(self, batch_id: str) -> None:
        try:
            self.service.store.delete_batches("id = ?", batch_id)
        except sqlite3.Error as error:  # the next start deletes it, since it is not complete
            log.error("store_failed", extra={"kv": {"batch": batch_id, "error": error}})
