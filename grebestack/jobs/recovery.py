"""Restores the stored jobs after a restart: which are queued, which are awaited, and which are sent again."""

from __future__ import annotations

import gc
import logging
import math
from functools import partial
from typing import TYPE_CHECKING

from grebestack.core.api import Outcome
from grebestack.job_queue import interface as queue_api
from grebestack.job_queue.interface import Dependency
from grebestack.jobs.earlier_attempts import EarlierAttempts, RetryLimit, retry_limit
from grebestack.jobs.records import NO_DEADLINE, Job, JobState
from grebestack.jobs.released_job import ReleasedJob

if TYPE_CHECKING:
    from grebestack.jobs.service import JobService

log = logging.getLogger(__name__)
FAILURES = (Outcome.ERROR, Outcome.REJECTED, Outcome.RESET)  # what a worker may report, except success
WORKER_LOOKUP_INTERVAL_MS = 100.0  # until it is checked again whether the worker is listed


class JobRecovery:
    """Restores the jobs that a job service finds in its store."""

    def __init__(self, service: JobService) -> None:
        """Restore jobs for `service`."""
        self.service = service

    def restore(self) -> None:
        """Restore the jobs from before a restart with their ages, and so their places in the queue.

        A job that may have run is sent again only if that is harmless, and after its worker has given it up.
        """
        gc_was_enabled = gc.isenabled()
        gc.disable()  # repeated collections would traverse all new objects and free nothing
        try:
            self._restore()
        finally:
            if gc_was_enabled:
                gc.enable()

    def _restore(self) -> None:
        service = self.service
        service.store.delete_batches()
        service.batch_control.apply_to_stored_jobs()
        dependencies: dict[str, list[Dependency]] = {}
        for job_id, prerequisite, condition, done in service.store.open_dependencies():
            dependencies.setdefault(job_id, []).append(Dependency(prerequisite, condition, done))
        earlier_attempts = service.store.earlier_attempts()
        service.late_reports.restore(service.store.late_reports(service.wall_clock()))
        for batch, max_parallel, failed in service.store.open_batches():
            service.handle_event(queue_api.BatchAdded(batch, max_parallel, failed))
        now, specs = service.wall_clock(), []
        with service.store.transaction():
            for job in service.store.open_jobs():
                earlier = earlier_attempts.get(job.id)
                if earlier is not None:
                    self._take_over(job, earlier)
                elif job.state in (JobState.RUNNING, JobState.UNDETERMINED):
                    service.store.set_state(job.id, JobState.QUEUED)
                if job.direct:
                    service.direct_jobs.add(job.id)
                ready_since = None if job.ready is None else max(job.ready, job.submitted)
                age_ms = None if ready_since is None else max(0.0, now - ready_since) * 1000.0
                specs.append(
                    service.spec_of(job, tuple(dependencies.get(job.id, ())), age_ms, earlier is not None)
                )
        if specs:
            kv = {
                "jobs": len(specs),
                "may_have_run": len(earlier_attempts),
                "direct": len(service.direct_jobs),
            }
            log.info("jobs_restored", extra={"kv": kv})
            service.handle_event(queue_api.JobsSubmitted(tuple(specs), restored=True))
        service.batch_control.resume()

    def _take_over(self, job: Job, earlier: EarlierAttempts) -> None:
        """Await the call-back of a job that may have run, so that it does not run twice.

        The call-back or the deadline ends it. If it may be sent again, its worker is asked to give it up.
        """
        service = self.service
        worker = earlier.worker
        log.info("job_restored", extra={"kv": {"job": job.id, "may_have_run": True, "server": worker}})
        service.store.set_state(job.id, JobState.UNDETERMINED)
        released_job = service.released_jobs[job.id] = ReleasedJob(service, job.id, job.direct)
        released_job.earlier_worker = worker
        on_ended = partial(self._on_earlier_attempt_ended, job.id)
        ambiguous = service.late_reports.ambiguous_outcomes(job.id, worker)
        service.workers.set_callback_handler(job.id, worker, on_ended, ambiguous)
        limit = self._retry_limit(job.category, earlier)
        if limit is not None:
            self._request_give_up(job.id, limit)
        deadline = job.deadline
        if deadline == NO_DEADLINE:  # use the deadline of its class, which counts from its release
            index = service.class_indices.get(job.category, 0)
            deadline = service.wall_clock() + service.settings.classes[index].deadline_ms / 1000.0
        released_job.timer = service.engine.clock.call_at(
            service.to_clock_ms(deadline), partial(self.on_overdue, job.id)
        )

    def _request_give_up(self, job_id: str, limit: RetryLimit) -> None:
        """Ask the worker of a job that may be sent again to give it up, as soon as the worker is listed."""
        service = self.service
        released_job = service.released_jobs.get(job_id)
        if (
            released_job is None
            or released_job.earlier_worker is None
            or released_job.is_terminated
            or service.wall_clock() >= limit.until_s
        ):
            return
        if not service.workers.abandon_job(
            released_job.earlier_worker, job_id, partial(self._retry, job_id, limit)
        ):
            next_try = partial(self._request_give_up, job_id, limit)
            service.engine.clock.call_at(service.engine.clock.now_ms() + WORKER_LOOKUP_INTERVAL_MS, next_try)

    def _retry(self, job_id: str, limit: RetryLimit) -> None:
        """Return a job to the queue after its worker has answered that it should give up the earlier attempt.

        The answer may be an error, which says nothing of whether the job ran, or cross the worker's
        call-back: a result of that attempt still ends the job.
        """
        service = self.service
        released_job = service.released_jobs.get(job_id)
        if (
            released_job is None
            or released_job.earlier_worker is None
            or not self._may_send_again(released_job, limit)
        ):
            return
        on_result = partial(self._on_earlier_result, job_id)
        service.workers.set_callback_handler(
            job_id, released_job.earlier_worker, on_result, frozenset(FAILURES)
        )
        service.awaited_results[job_id] = released_job.earlier_worker
        service.late_reports.add(job_id, released_job.earlier_worker, FAILURES)
        self._return_to_queue(released_job, limit)

    def _may_send_again(self, released_job: ReleasedJob, limit: RetryLimit) -> bool:
        service = self.service
        is_in_time = service.wall_clock() < limit.until_s
        return is_in_time and not (released_job.is_terminated or service.stopping)

    def _return_to_queue(self, released_job: ReleasedJob, limit: RetryLimit) -> None:
        """Return a job that may have run to the queue; it ends if it is not sent within the limit."""
        service, job_id = self.service, released_job.id
        log.info("job_sent_again", extra={"kv": {"job": job_id, "server": released_job.earlier_worker}})
        if released_job.timer is not None:
            released_job.timer.cancel()
        service.retry_limits[job_id] = limit
        service.store.set_state(job_id, JobState.REQUEUED)
        if limit.until_s < math.inf:
            service.engine.clock.call_at(
                service.to_clock_ms(limit.until_s), partial(self._retry_expired, job_id)
            )
        service.return_to_queue(released_job, 0.0)

    def _on_earlier_result(self, job_id: str, outcome: Outcome, result: bytes) -> None:
        """End a job with the result of an attempt from before the restart, wherever the job is by now."""
        released_job = self.service.released_jobs.get(job_id)
        log.info("job_result_of_before", extra={"kv": {"job": job_id, "outcome": outcome.value}})
        if released_job is not None and released_job.request is not None:
            self.service.engine.serve(released_job.request, result)
        else:
            self.service.finish(job_id, JobState.DONE, result=result)

    def _retry_expired(self, job_id: str) -> None:
        """End a job that may not be sent again any more, unless it is being sent."""
        if job_id not in self.service.retry_limits:
            return
        released_job = self.service.released_jobs.get(job_id)
        if released_job is None or (
            released_job.request is not None and self.service.engine.withdraw_unsent(released_job.request)
        ):
            self.on_overdue(job_id)

    def _on_earlier_attempt_ended(self, job_id: str, outcome: Outcome, result: bytes) -> None:
        if outcome is Outcome.OK:
            self.service.finish(job_id, JobState.DONE, result=result)
        elif outcome.never_ran:
            self._on_handed_back(job_id, outcome)
        else:
            self.service.finish(job_id, JobState.FAILED, annotation="failed: it may have run")

    def _on_handed_back(self, job_id: str, outcome: Outcome) -> None:
        """The last attempt never ran; the job goes on by what is known of the attempts before it."""
        service, released_job = self.service, self.service.released_jobs[job_id]
        worker = released_job.earlier_worker
        assert worker is not None
        until_s = service.late_reports.add(job_id, worker, [outcome])
        service.store.record_last_attempt_unrun(job_id, outcome, until_s)
        earlier = service.store.earlier_attempts(job_id).get(job_id)
        if earlier is None:
            annotation = "handed back after a restart: it has not run and may be submitted again"
            service.finish(job_id, JobState.FAILED, annotation=annotation, retry_after=0.0)
            return
        job = service.store.get(job_id)
        limit = None if job is None else self._retry_limit(job.category, earlier)
        if limit is not None and self._may_send_again(released_job, limit):
            self._return_to_queue(released_job, limit)
        else:
            annotation = "handed back after a restart: an attempt before may have run"
            service.finish(job_id, JobState.FAILED, annotation=annotation)

    def _retry_limit(self, category: str, earlier: EarlierAttempts) -> RetryLimit | None:
        """Return the limits for sending a job of a category again, or None if it must not be sent."""
        service = self.service
        if category not in service.class_indices:
            return None
        job_class = service.settings.classes[service.class_indices[category]]
        return retry_limit(job_class, service.settings, earlier)

    def on_overdue(self, job_id: str) -> None:
        """End a job from before the restart whose outcome did not arrive in time."""
        annotation = "nothing was heard of it by its deadline since a restart: it has perhaps run"
        self.service.finish(job_id, JobState.FAILED, annotation=annotation)

    def on_cancelled(self, job_id: str) -> None:
        """End a job from before the restart that its worker has given up at a client's request."""
        self.service.finish(job_id, JobState.FAILED, annotation="terminated: it may have run")
