"""Submissions of several jobs: taken whole or not at all, and recorded a slice at a time."""

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
SLICE = 100  # jobs of a submission that are recorded at a time: the loop goes on between


class Intake:
    """A submission of many jobs on its way into the store, a slice at a time."""

    def __init__(
        self, batch: Batch, specs: Iterator[tuple[Job, JobSpec]], done: Callable[[Batch | JobError], None]
    ) -> None:
        self.batch, self.specs, self.done = batch, specs, done


class BatchIntake:
    """Takes submissions of several jobs for a job service."""

    def __init__(self, service: JobService) -> None:
        """Take them for this service."""
        self.service = service

    def submit(
        self,
        submission: str,
        template: str,
        news: Sequence[NewJob] | Callable[[int], NewJob],
        numbers: range,
        array: bool,
        most: int | None,
        done: Callable[[Batch | JobError], None],
        crowded: bool = False,
    ) -> None:
        """Take several jobs, all or none; `done` is told of the batch once it is recorded, or why not.

        They come as a sequence or, for an array, one for each number. It may take several turns of the loop.
        """
        earlier = self.service.store.find_batch("submission", submission)
        if earlier is not None and not earlier.complete:
            done(JobError(JobErrorKind.LATER, "this submission is being recorded", 1000.0))
            return
        if earlier is not None and earlier.template == template:
            done(earlier)
            return
        if earlier is not None or self.service.store.find_by_submission(submission) is not None:
            done(JobError(JobErrorKind.CONFLICT, "this key has made another submission"))
            return
        if self.service.stopping or crowded:
            done(JobError(JobErrorKind.LATER, "no more jobs are taken now", 1000.0))
            return
        if len(numbers) > self.service.limits.max_batch_size:
            done(
                JobError(
                    JobErrorKind.INVALID,
                    f"{len(numbers)} jobs, {self.service.limits.max_batch_size} are allowed",
                )
            )
            return
        batch = Batch(uuid.uuid4().hex, submission, template, self.service.wall_clock(), array, most)
        try:
            if callable(news):
                self.service.make_job(
                    news(numbers[0]), "", "", {}, batch, numbers[0]
                )  # whether it can be taken at all
                self._room_for(len(numbers))
                specs = self._each(batch, news, numbers)
            else:
                specs = self._graph(batch, news)
            self.service.store.add_batch(batch)
        except JobError as error:
            done(error)
            return
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"batch": batch.id, "error": error}})
            done(JobError(JobErrorKind.RESOURCE, "the jobs could not be recorded", 5000.0))
            return
        self.service.handle_event(queue_api.BatchAdded(batch.id, most))
        self._take(Intake(batch, specs, done))

    def _room_for(self, count: int) -> None:
        if len(self.service.job_queue) + count > self.service.limits.max_queued:
            what = f"the job queue is full: it takes at most {self.service.limits.max_queued} jobs"
            raise JobError(JobErrorKind.LATER, what, self.service.drain_ms())

    def _each(
        self, batch: Batch, new: Callable[[int], NewJob], numbers: range
    ) -> Iterator[tuple[Job, JobSpec]]:
        for number in numbers:
            job_id = uuid.uuid4().hex
            yield self.service.make_job(new(number), job_id, f"\x01{batch.id}/{number}", {}, batch, number)

    def _graph(self, batch: Batch, news: Sequence[NewJob]) -> Iterator[tuple[Job, JobSpec]]:
        names: dict[str, str] = {}
        for new in news:
            if new.label in names:
                raise JobError(JobErrorKind.INVALID, f"two jobs have the name {new.label}")
            names[new.label] = uuid.uuid4().hex
        made = {
            names[new.label]: self.service.make_job(
                new, names[new.label], f"\x01{batch.id}/{number}", names, batch, number
            )
            for number, new in enumerate(news)
        }
        labels = {job_id: label for label, job_id in names.items()}
        try:
            ordered = self.service.check_room([spec for _, spec in made.values()])
        except JobError as error:  # those names are the client's, not ours
            text = str(error)
            for job_id, label in labels.items():
                text = text.replace(job_id, label)
            raise JobError(error.kind, text, error.retry_after_ms) from error
        return iter([made[spec.job] for spec in ordered])

    def _take(self, intake: Intake) -> None:
        """Record the next slice of a submission; the last one opens it."""
        batch = intake.batch
        try:
            taken = list(islice(intake.specs, SLICE))
            own = {job.id for job, _ in taken}
            taken = [(job, self._refreshed(spec, own)) for job, spec in taken]
            self.service.check_room([spec for _, spec in taken])
            with self.service.store.transaction():
                self.service.store.add_all(
                    [job for job, _ in taken],
                    [(job.id, e.job, e.condition, e.done) for job, spec in taken for e in spec.dependencies],
                )
                if len(taken) < SLICE:
                    self.service.store.mark_batch_complete(batch.id)
        except (JobError, sqlite3.Error) as error:
            self.service.handle_event(queue_api.BatchDiscarded(batch.id))
            self._drop(batch.id)
            if isinstance(error, JobError):
                intake.done(error)
                return
            log.error("store_failed", extra={"kv": {"batch": batch.id, "error": error}})
            intake.done(JobError(JobErrorKind.RESOURCE, "the jobs could not be recorded", 5000.0))
            return
        self.service.handle_event(queue_api.JobsSubmitted(tuple(spec for _, spec in taken), batch.id))
        if len(taken) < SLICE:
            intake.done(batch)
            self.service.handle_event(queue_api.BatchRecorded(batch.id))
        else:
            self.service.engine.clock.call_at(self.service.engine.clock.now_ms(), partial(self._take, intake))

    def _refreshed(self, spec: JobSpec, own: set[str]) -> JobSpec:
        """A spec of which some of the jobs that it waits for may have ended since it was made."""
        edges = []
        for edge in spec.dependencies:
            if edge.done is None and edge.job not in own and not self.service.job_queue.is_active(edge.job):
                edge = replace(edge, done=self.service.how_ended(edge.job))
            edges.append(edge)
        return replace(spec, dependencies=tuple(edges)) if edges else spec

    def _drop(self, batch_id: str) -> None:
        try:
            self.service.store.delete_batches("id = ?", batch_id)
        except sqlite3.Error as error:  # the next start drops it: it is not complete
            log.error("store_failed", extra={"kv": {"batch": batch_id, "error": error}})
