"""The job service: accepts jobs, stores them, queues them and brings each to exactly one final state.

API servers submit jobs and are notified of their ends. The job queue decides which job is released to the
engine and when; the engine's decision module decides which worker gets it. This module carries out these
decisions, and records what must survive a crash before it acts.
"""

from __future__ import annotations

import logging
import sqlite3
import time
import uuid
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import Protocol

from grebestack.core.api import Outcome, Settings
from grebestack.job_queue import interface as queue_api
from grebestack.job_queue.interface import Condition, Dependency, JobSpec
from grebestack.job_queue.job_queue import JobQueue
from grebestack.jobs.batch_control import BatchControl
from grebestack.jobs.batch_intake import BatchIntake
from grebestack.jobs.descriptions import describe_wait, end_annotation
from grebestack.jobs.earlier_attempts import RetryLimit
from grebestack.jobs.late_reports import LateReports
from grebestack.jobs.records import (
    HELD_STATES,
    NO_DEADLINE,
    RELEASED_STATES,
    STORE_RETRY_MS,
    AttemptEnd,
    Batch,
    Job,
    JobError,
    JobErrorKind,
    JobLimits,
    JobState,
    NewJob,
    RequestBuilder,
)
from grebestack.jobs.recovery import JobRecovery
from grebestack.jobs.released_job import ReleasedJob
from grebestack.jobs.store import JobStore
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import Timer

log = logging.getLogger(__name__)
MIN_PAUSE_MS = 50.0  # shortest pause before a refused job is tried again
WALL_CLOCK_INTERVAL_MS = 1000.0  # between reads of the wall clock, which may be set while jobs wait
RECORDING_DELAY_MS = 100.0  # uncritical records are collected for so long and written together
AVAILABILITY_CHECK_DELAY_MS = 5.0  # changes of the worker table are collected for so long
PRIORITY_HALVING_STEP = 50.0  # an increase of the priority that halves the latency objective


class EarlierAttemptHandler(Protocol):
    """What the job service needs from the worker side for jobs that were sent before a restart."""

    def set_callback_handler(
        self,
        call_id: str,
        worker: str,
        on_ended: Callable[[Outcome, bytes], None] | None,
        ambiguous_outcomes: frozenset[Outcome] = frozenset(),
    ) -> None:
        """Call `on_ended` at the end of such a job, unless its outcome is ambiguous; None stops waiting."""

    def cancel_job(self, worker: str, call_id: str, on_confirmed: Callable[[], None]) -> None:
        """Ask a worker to cancel a job; `on_confirmed` is called if it does."""

    def abandon_job(self, worker: str, call_id: str, on_response: Callable[[], None]) -> bool:
        """Tell a worker that nobody waits for a job; `on_response` is called once it has responded.

        Returns False if the worker is not listed.
        """


class JobService:
    """The jobs of one dispatcher."""

    def __init__(
        self,
        engine: Engine,
        workers: EarlierAttemptHandler,
        settings: Settings,
        store: JobStore,
        request_builder: RequestBuilder,
        limits: JobLimits,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.engine, self.workers, self.settings, self.store = engine, workers, settings, store
        self.request_builder, self.limits, self.wall_clock = request_builder, limits, wall_clock
        self.job_queue = JobQueue(
            queue_api.JobQueueSettings(
                class_count=len(settings.classes),
                lookahead=limits.lookahead,
                aged_share=limits.aged_share,
                max_jobs=limits.max_queued,
                max_dependencies=limits.max_dependencies,
            )
        )
        self.class_indices = {c.name: index for index, c in enumerate(settings.classes)}
        self.released_jobs: dict[str, ReleasedJob] = {}
        self.direct_jobs: set[str] = set()  # direct jobs that have not ended
        self.retry_limits: dict[str, RetryLimit] = {}  # for jobs that are sent again after a restart
        # Recorded in the current call: these need not be read from the store.
        self.just_submitted: dict[str, Job] = {}
        # Called once for each job, after its end is recorded.
        self.on_job_ended: Callable[[Job], None] = lambda job: None
        self.stopping = False
        self.counts: Counter[str] = Counter()
        self.events: deque[queue_api.Event] = deque()
        self.handling_events = False
        self.tick_timer: Timer | None = None
        self.ready_times: dict[str, float | None] = {}  # not recorded yet
        self.attempt_ends: list[AttemptEnd] = []  # not recorded yet
        self.late_reports = LateReports(wall_clock)
        # By job: the worker that may still report a result of an attempt from before a restart.
        self.awaited_results: dict[str, str] = {}
        self.recording_scheduled = self.availability_check_scheduled = False
        self.batch_intake, self.recovery = BatchIntake(self), JobRecovery(self)
        self.batch_control = BatchControl(self)
        self._check_availability()
        engine.table.after_change = self._schedule_availability_check
        self._poll_wall_clock()

    # Time.

    def to_clock_ms(self, unix_s: float) -> float:
        """Convert a Unix time to the engine's clock."""
        return self.engine.clock.now_ms() + (unix_s - self.wall_clock()) * 1000.0

    def _poll_wall_clock(self) -> None:
        """Keep start times and deadlines right if the wall clock is set while jobs wait."""
        self._update_wall_clock_offset()
        self.engine.clock.call_at(self.engine.clock.now_ms() + WALL_CLOCK_INTERVAL_MS, self._poll_wall_clock)

    def _update_wall_clock_offset(self) -> None:
        offset = self.wall_clock() * 1000.0 - self.engine.clock.now_ms()
        if abs(offset - self.job_queue.offset_ms) > 1.0:
            self.handle_event(queue_api.WallClockOffset(offset))

    def _on_tick(self) -> None:
        self.tick_timer = None
        self._update_wall_clock_offset()
        self.handle_event(queue_api.Tick())

    # Events and actions of the job queue.

    def handle_event(self, event: queue_api.Event) -> None:
        """Pass an event to the job queue and carry out its actions; events that arise meanwhile follow."""
        self.events.append(event)
        if self.handling_events:
            return
        self.handling_events = True
        try:
            while self.events:
                actions = self.job_queue.handle(self.engine.clock.now_ms(), self.events.popleft())
                ends = [action for action in actions if isinstance(action, queue_api.EndJob)]
                if ends:
                    self._end_jobs(ends)
                for action in actions:
                    self._execute(action)
        finally:
            self.handling_events = False

    def _execute(self, action: queue_api.Action) -> None:
        match action:
            case queue_api.ReleaseJob(job_id, aged):
                self._release(job_id, aged)
            case queue_api.WithdrawJob(job_id):
                self._withdraw(job_id)
            case queue_api.RecordReadyTime(job_id):
                self._defer_ready_time(job_id, self.wall_clock())
            case queue_api.ScheduleTick(at_ms):
                if self.tick_timer is not None:
                    self.tick_timer.cancel()
                self.tick_timer = self.engine.clock.call_at(at_ms, self._on_tick)

    def _defer_ready_time(self, job_id: str, ready: float | None) -> None:
        self.ready_times[job_id] = ready
        self._schedule_recording()

    def defer_attempt_end(self, ended: AttemptEnd) -> None:
        """Record later that an attempt has ended that may have run, as the store already says."""
        self.attempt_ends.append(ended)
        self._schedule_recording()

    def _schedule_recording(self) -> None:
        if not self.recording_scheduled:
            self.recording_scheduled = True
            self.engine.clock.call_at(self.engine.clock.now_ms() + RECORDING_DELAY_MS, self.record_deferred)

    def record_deferred(self) -> None:
        """Write the deferred records in one transaction, with one flush."""
        ready_times, ends, self.ready_times, self.attempt_ends, self.recording_scheduled = (
            self.ready_times,
            self.attempt_ends,
            {},
            [],
            False,
        )
        try:
            with self.store.transaction():
                self.store.set_ready_times((ready, job_id) for job_id, ready in ready_times.items())
                self.store.record_attempt_ends(ends)
        except sqlite3.Error as error:  # the only loss: after a restart these ages start at zero
            log.error(
                "store_failed", extra={"kv": {"ages": len(ready_times), "ends": len(ends), "error": error}}
            )

    def _release(self, job_id: str, aged: bool) -> None:
        """Open a request in the engine for a job."""
        job = self.just_submitted.get(job_id)
        try:
            job = job or self.store.get(job_id)
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": job_id, "error": error}})
            self.handle_event(queue_api.JobReturned(job_id, STORE_RETRY_MS))
            return
        if job is None:
            log.error("job_without_record", extra={"kv": {"job": job_id}})
            self.handle_event(queue_api.JobEnded(job_id, False))
            return
        released_job = self.released_jobs[job_id] = ReleasedJob(self, job_id, job.direct)
        released_job.acknowledged = job_id not in self.just_submitted
        try:
            job_request = self.request_builder.build_request(job)
        except JobError as error:  # the operator has changed the job classes meanwhile
            self.finish(job_id, JobState.FAILED, annotation=f"it has not run: {error}")
            return
        now_ms = self.engine.clock.now_ms()
        deadline_ms = now_ms + self.settings.classes[job_request.job_class].deadline_ms
        if job.deadline != NO_DEADLINE:
            deadline_ms = min(deadline_ms, self.to_clock_ms(job.deadline))
        self.counts["released"] += 1
        self.counts["released_aged"] += aged
        released_job.request = self.engine.open_request(
            released_job,
            job_id,
            job_request.payload,
            job_request.job_class,
            deadline_ms,
            slots=job_request.slots,
            memory=job_request.memory,
            aged=aged,
            can_wait=not job.direct and released_job.retry_limit is None,
            history=self.late_reports.history(job_id),
        )

    def _withdraw(self, job_id: str) -> None:
        released_job = self.released_jobs.get(job_id)
        if (
            released_job is not None
            and released_job.request is not None
            and self.engine.withdraw_unsent(released_job.request)
        ):
            self.return_to_queue(released_job, 0.0)

    def return_to_queue(self, released_job: ReleasedJob, pause_ms: float) -> None:
        """Put a job that has not run back into the queue."""
        del self.released_jobs[released_job.id]
        self.counts["returned"] += 1
        self.handle_event(
            queue_api.JobReturned(released_job.id, max(MIN_PAUSE_MS, pause_ms) if pause_ms else 0.0)
        )

    # Workers.

    def _schedule_availability_check(self) -> None:
        if not self.availability_check_scheduled:
            self.availability_check_scheduled = True
            self.engine.clock.call_at(
                self.engine.clock.now_ms() + AVAILABILITY_CHECK_DELAY_MS, self._check_availability
            )

    def _check_availability(self) -> None:
        """Close the queues of classes without an available worker: their jobs keep their places."""
        self.availability_check_scheduled = False
        if self.stopping:
            return
        table = self.engine.table
        worker_kinds = {
            worker.entry.kind for name, worker in table.workers.items() if table.accepts_work(name)
        }
        for index, job_class in enumerate(self.settings.classes):
            available = bool(worker_kinds) if job_class.kind == -1 else job_class.kind in worker_kinds
            if available != self.job_queue.class_queues[index].available:
                if len(self.job_queue):
                    log.info("lane", extra={"kv": {"job_class": job_class.name, "open": available}})
                self.handle_event(queue_api.ClassAvailabilityChanged(index, available))

    def stop(self) -> None:
        """Accept and release no more jobs: queued jobs continue after the next start.

        Otherwise a planned stop could wait for a queue that never empties.
        """
        self.stopping = True
        for index in range(len(self.job_queue.class_queues)):
            self.handle_event(queue_api.ClassAvailabilityChanged(index, False))
        for released_job in list(self.released_jobs.values()):
            if not released_job.direct:
                self._withdraw(released_job.id)

    # Ends.

    def finish(
        self,
        job_id: str,
        state: JobState,
        *,
        result: bytes | None = None,
        annotation: str = "",
        retry_after: float | None = None,
    ) -> None:
        """Record the final state of a job, then notify the queue and the waiting clients."""
        released_job = self.released_jobs.get(job_id)
        if released_job is not None:
            if released_job.timer is not None:
                released_job.timer.cancel()
            if released_job.earlier_worker is not None:
                self.workers.set_callback_handler(job_id, released_job.earlier_worker, None)
        try:
            self.store.finish(
                job_id,
                state,
                self.wall_clock(),
                result=result,
                annotation=annotation,
                retry_after=retry_after,
            )
            job = self.store.get(job_id)
        except sqlite3.Error as error:
            # For example, the disk is full. The end must not be lost, nor reported before it is recorded.
            log.error("store_failed", extra={"kv": {"job": job_id, "error": error}})
            retry = partial(
                self.finish, job_id, state, result=result, annotation=annotation, retry_after=retry_after
            )
            timer = self.engine.clock.call_at(self.engine.clock.now_ms() + STORE_RETRY_MS, retry)
            if released_job is not None:
                released_job.timer = timer
            return
        self.released_jobs.pop(job_id, None)
        self._forget(job_id)
        self.handle_event(queue_api.JobEnded(job_id, state is JobState.DONE))
        if job is not None:
            self.on_job_ended(job)

    def _end_jobs(self, ends: Sequence[queue_api.EndJob]) -> None:
        """Record the ends that the queue has decided in one transaction, then report them."""
        try:
            with self.store.transaction():
                now = self.wall_clock()
                for end in ends:
                    annotation = end_annotation(end, may_have_run=end.job in self.retry_limits)
                    self.store.finish(end.job, JobState.FAILED, now, annotation=annotation)
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"ends": len(ends), "error": error}})
            retry = partial(self._end_jobs, ends)
            self.engine.clock.call_at(self.engine.clock.now_ms() + STORE_RETRY_MS, retry)
            return
        for end in ends:
            self.counts[f"ended_{end.cause.name.lower()}"] += 1
            self._forget(end.job)
            job = self.store.get(end.job)
            if job is not None:
                self.on_job_ended(job)

    def _forget(self, job_id: str) -> None:
        """Forget what is only known of jobs that have not ended."""
        self.direct_jobs.discard(job_id)
        self.retry_limits.pop(job_id, None)
        self.late_reports.forget(job_id)
        worker = self.awaited_results.pop(job_id, None)
        if worker is not None:
            self.workers.set_callback_handler(job_id, worker, None)

    # Submissions.

    def _dependencies(
        self, conditions: Iterable[tuple[str, Condition]], job_ids_by_label: dict[str, str]
    ) -> tuple[Dependency, ...]:
        """Resolve a job's dependencies: labels of its own submission, jobs and batches."""
        dependencies: dict[tuple[str, Condition], Dependency] = {}
        for name, condition in conditions:
            if name in job_ids_by_label:
                dependency = Dependency(job_ids_by_label[name], condition)
            elif self.job_queue.is_active(name):
                dependency = Dependency(name, condition)
            else:
                dependency = Dependency(name, condition, self.ended_as_done(name))
            dependencies[name, condition] = dependency
        return tuple(dependencies.values())

    def ended_as_done(self, name: str) -> bool:
        """Whether a job or batch that is not in the queue any more ended as done."""
        job = self.store.get(name)
        if job is not None:
            # Without a final state its end is decided but could not be recorded yet: it counts as failed.
            return job.state is JobState.DONE
        batch = self.store.find_batch("id", name)
        if batch is None or not batch.complete:
            raise JobError(JobErrorKind.UNKNOWN, f"there is no job {name} to wait for")
        return bool(self.store.is_batch_done(name))

    def make_job(
        self,
        new: NewJob,
        job_id: str,
        submission: str,
        job_ids_by_label: dict[str, str],
        batch: Batch | None = None,
        number: int | None = None,
    ) -> tuple[Job, JobSpec]:
        """Return the record of a new job and its submission to the queue."""
        now = self.wall_clock()
        deadline = NO_DEADLINE if new.deadline is None else new.deadline
        if not new.may_wait:
            deadline = min(deadline, now + self.settings.classes[new.job_class].deadline_ms / 1000.0)
        if deadline <= now:
            raise JobError(JobErrorKind.INVALID, "the deadline has passed")
        latency_objective_s = (
            new.latency_objective_s
            if new.latency_objective_s is not None
            else self.limits.latency_objectives_s[new.job_class]
        )
        latency_objective_s *= 2.0 ** (-new.priority / PRIORITY_HALVING_STEP)
        job = Job(
            job_id,
            submission,
            new.template,
            new.category,
            JobState.QUEUED_HELD if new.held else JobState.QUEUED,
            now,
            deadline,
            direct=not new.may_wait,
            start=new.start,
            wanted=latency_objective_s,
            any_of=new.any_of,
            batch=None if batch is None else batch.id,
            number=number,
            label=new.label,
        )
        return job, self.spec_of(job, self._dependencies(new.dependencies, job_ids_by_label))

    def spec_of(
        self, job: Job, dependencies: tuple[Dependency, ...], age_ms: float | None = None, sent: bool = False
    ) -> JobSpec:
        return JobSpec(
            job.id,
            self.class_indices.get(job.category, 0),
            max(1.0, job.wanted * 1000.0),
            dependencies,
            job.any_of,
            None if job.start is None else job.start * 1000.0,
            None if job.deadline == NO_DEADLINE else job.deadline * 1000.0,
            job.state.held,
            job.direct,
            job.batch,
            age_ms,
            sent,
        )

    def check_and_sort(self, specs: Sequence[JobSpec]) -> list[JobSpec]:
        try:
            return self.job_queue.check_and_sort(specs)
        except queue_api.SubmissionError as error:
            if error.queue_full:
                raise JobError(JobErrorKind.LATER, str(error), self.estimated_wait_ms()) from error
            raise JobError(JobErrorKind.INVALID, str(error)) from error

    def estimated_wait_ms(self) -> float:
        """Estimate when the queue will accept jobs again: after a hundredth of its jobs have been sent."""
        gaps = [
            class_queue.mean_gap_ms
            for class_queue in self.job_queue.class_queues
            if class_queue.mean_gap_ms > 0
        ]
        return min(60_000.0, max(1000.0, (min(gaps) if gaps else 10.0) * len(self.job_queue) / 100.0))

    def submit(self, submission: str, new: NewJob, overloaded: bool = False) -> tuple[Job, bool]:
        """Accept a job; return its record and whether it is new.

        A repeated key with the same template returns the existing job. With `overloaded`, no new job is
        accepted.

        Raises
        ------
        JobError : the job is not accepted, and nothing of it is stored.
        """
        existing = self.store.find_by_submission(submission)
        if existing is not None:
            if existing.template != new.template:
                raise JobError(JobErrorKind.CONFLICT, "this key was used for another job")
            return existing, False
        if self.store.find_batch("submission", submission) is not None:
            raise JobError(JobErrorKind.CONFLICT, "this key was used for a submission of several jobs")
        if (
            self.stopping
            or overloaded
            or (not new.may_wait and len(self.direct_jobs) >= self.limits.max_direct)
        ):
            raise JobError(JobErrorKind.LATER, "no new jobs are accepted now", 1000.0)
        job, spec = self.make_job(new, uuid.uuid4().hex, submission, {})
        self.check_and_sort([spec])
        try:
            self.store.add(
                job,
                [
                    (job.id, dependency.job, dependency.condition, dependency.done)
                    for dependency in spec.dependencies
                ],
            )
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": job.id, "error": error}})
            raise JobError(JobErrorKind.RESOURCE, "the job could not be recorded", 5000.0) from error
        if job.direct:
            self.direct_jobs.add(job.id)
            self.just_submitted[job.id] = job
        self.handle_event(queue_api.JobsSubmitted((spec,)))
        self.just_submitted.pop(job.id, None)
        released_job = self.released_jobs.get(job.id)
        if released_job is not None:
            released_job.acknowledged = True
            if released_job.refusal_retry_after_ms is not None:
                del self.released_jobs[job.id]
                self.direct_jobs.discard(job.id)
                self.handle_event(queue_api.JobEnded(job.id, False))
                self.store.remove(job.id)
                raise JobError(
                    JobErrorKind.LATER, "refused: it has not run", released_job.refusal_retry_after_ms
                )
        return self.store.get(job.id) or job, True

    # Operations on jobs.

    def find(self, job_id: str) -> Job:
        """Return the job with this id; raises JobError if there is none."""
        job = self.store.get(job_id)
        if job is None:
            raise JobError(JobErrorKind.UNKNOWN, f"there is no job {job_id}")
        return job

    def terminate(self, job: Job) -> None:
        """Start to cancel a job. Whether it worked shows in its final state."""
        if job.state.terminated:
            raise JobError(JobErrorKind.STATE, f"the job is {job.state} already")
        log.info("job_terminate", extra={"kv": {"job": job.id, "state": job.state}})
        released_job = self.released_jobs.get(job.id)
        if released_job is None:
            self.handle_event(queue_api.TerminationRequested(job.id))
        elif released_job.request is not None:
            self.engine.cancel_request(released_job.request)
        elif released_job.earlier_worker is not None:
            released_job.is_terminated = True
            self.workers.cancel_job(
                released_job.earlier_worker, job.id, partial(self.recovery.on_cancelled, job.id)
            )

    def hold(self, job: Job) -> None:
        """Hold a job that is not sent yet."""
        if job.state.held:
            return
        released_job = self.released_jobs.get(job.id)
        sent = released_job is not None and (
            released_job.request is None or released_job.request.may_have_run
        )
        held_state = HELD_STATES.get(job.state)
        if held_state is None or sent:
            state_text = job.state if held_state is None else "being sent"
            raise JobError(
                JobErrorKind.STATE, f"the job is {state_text}: only one that is queued can be held"
            )
        self.store.set_state(job.id, held_state)
        self._defer_ready_time(job.id, None)
        self._withdraw(job.id)  # it may wait in the engine, also after a worker has handed it back
        self.handle_event(queue_api.HoldChanged(job.id, True))
        log.info("job_hold", extra={"kv": {"job": job.id}})

    def release(self, job: Job) -> None:
        """Release a held job."""
        if not job.state.held:
            raise JobError(JobErrorKind.STATE, f"the job is {job.state}: it is not held")
        self.store.set_state(job.id, RELEASED_STATES[job.state])
        self.handle_event(queue_api.HoldChanged(job.id, False))
        log.info("job_release", extra={"kv": {"job": job.id}})

    def wait_reason(self, job_id: str) -> str:
        """Describe why a job waits; empty if it has ended."""
        try:
            status = self.job_queue.wait_status(job_id)
        except KeyError:
            return ""
        return describe_wait(status, self.job_queue.unix_ms)

    # Batches, and jobs from before a restart.

    def submit_batch(
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
        """Accept several jobs, all or none; see `BatchIntake.submit`."""
        self.batch_intake.submit(
            submission, template, new_jobs, numbers, is_array, max_parallel, on_done, overloaded
        )

    def restore(self) -> None:
        """Restore the jobs from before a restart; see `JobRecovery.restore`."""
        self.recovery.restore()
