"""The job service: takes jobs, keeps their records, lets them wait and brings each to its one end.

Fronts hand jobs in and are told of ends. The waiting room decides which job is let into the engine and when,
the engine's decision module which server it goes to; what is here records, in time, and carries out.
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
from grebestack.jobs.batch_intake import BatchIntake
from grebestack.jobs.descriptions import describe_wait, end_annotation
from grebestack.jobs.earlier_attempts import RetryLimit
from grebestack.jobs.records import (
    NO_DEADLINE,
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
STORE_AGAIN_MS = 1000.0  # what could not be recorded is tried again after this
LEAST_PAUSE_MS = 50.0  # a job that was refused is tried again after this at the soonest
WALL_MS = 1000.0  # the wall clock is read at least so often: it may be set while jobs wait
NOTES_MS = 100.0  # what nothing hangs on is recorded together, so long after the first of it
SERVERS_MS = 5.0  # changes of the server table are looked at together, so long after the first
PRIORITY_DOUBLES = 50.0  # so much more priority halves the wanted time


class EarlierAttemptHandler(Protocol):
    """What is asked of the servers' side for jobs that were sent before a restart."""

    def set_callback_handler(
        self, call_id: str, server: str, ended: Callable[[Outcome, bytes], None] | None
    ) -> None:
        """Wait for such a job's end; None: no longer."""

    def cancel_job(self, server: str, call_id: str, taken: Callable[[], None]) -> None:
        """Ask a server to give a job up."""

    def abandon_job(self, server: str, call_id: str, heard: Callable[[], None]) -> bool:
        """Tell a server that a job is not waited for; False if the server is not known."""


class JobService:
    """All jobs of one dispatcher."""

    def __init__(
        self,
        engine: Engine,
        servers: EarlierAttemptHandler,
        settings: Settings,
        store: JobStore,
        codec: RequestBuilder,
        limits: JobLimits,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.engine, self.servers, self.settings, self.store = engine, servers, settings, store
        self.codec, self.limits, self.wall_clock = codec, limits, wall_clock
        self.job_queue = JobQueue(
            queue_api.JobQueueSettings(
                class_count=len(settings.classes),
                lookahead=limits.lookahead,
                aged_share=limits.aged_share,
                max_jobs=limits.max_queued,
                max_dependencies=limits.max_dependencies,
            )
        )
        self.classes = {c.name: index for index, c in enumerate(settings.classes)}
        self.tickets: dict[str, ReleasedJob] = {}
        self.direct: set[str] = set()  # jobs that asked for no waiting and are not terminated
        self.retries: dict[str, RetryLimit] = {}  # jobs that are sent again after a restart
        self.fresh: dict[str, Job] = {}  # recorded in this very call: need not be read again
        self.on_job_ended: Callable[[Job], None] = lambda job: None  # told once of each job, after its record
        self.stopping = False
        self.counts: Counter[str] = Counter()
        self.events: deque[queue_api.Event] = deque()
        self.feeding = False
        self.tick: Timer | None = None
        self.ages: dict[str, float | None] = {}  # to be recorded, together
        self.ends: list[tuple[str, bool, int]] = []  # the same of dispatches
        self.recording = self.looking = False
        self.batches, self.recovery = BatchIntake(self), JobRecovery(self)
        self._servers_changed()
        engine.table.after_change = self._servers_soon
        self._read_wall()

    # Time.

    def clock_ms(self, unix_s: float) -> float:
        """A Unix time on the engine's clock."""
        return self.engine.clock.now_ms() + (unix_s - self.wall_clock()) * 1000.0

    def _read_wall(self) -> None:
        """Guards jobs that wait for an hour against a wall clock that is set meanwhile."""
        self._tell_wall()
        self.engine.clock.call_at(self.engine.clock.now_ms() + WALL_MS, self._read_wall)

    def _tell_wall(self) -> None:
        offset = self.wall_clock() * 1000.0 - self.engine.clock.now_ms()
        if abs(offset - self.job_queue.offset_ms) > 1.0:
            self.handle_event(queue_api.WallClockOffset(offset))

    def _ticked(self) -> None:
        self.tick = None
        self._tell_wall()
        self.handle_event(queue_api.Tick())

    # The waiting room's events and actions.

    def handle_event(self, event: queue_api.Event) -> None:
        """Tell the room something and carry out what follows; within that, events wait their turn."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                actions = self.job_queue.handle(self.engine.clock.now_ms(), self.events.popleft())
                ends = [action for action in actions if isinstance(action, queue_api.EndJob)]
                if ends:
                    self._end_all(ends)
                for action in actions:
                    self._carry_out(action)
        finally:
            self.feeding = False

    def _carry_out(self, action: queue_api.Action) -> None:
        match action:
            case queue_api.ReleaseJob(job_id, aged):
                self._release(job_id, aged)
            case queue_api.WithdrawJob(job_id):
                self._withdraw(job_id)
            case queue_api.RecordReadyTime(job_id):
                self._note_age(job_id, self.wall_clock())
            case queue_api.ScheduleTick(at_ms):
                if self.tick is not None:
                    self.tick.cancel()
                self.tick = self.engine.clock.call_at(at_ms, self._ticked)

    def _note_age(self, job_id: str, ready: float | None) -> None:
        self.ages[job_id] = ready
        self._record_soon()

    def note_end(self, ended: tuple[str, bool, int]) -> None:
        """A dispatch has ended that may have run: a record that nothing hangs on."""
        self.ends.append(ended)
        self._record_soon()

    def _record_soon(self) -> None:
        if not self.recording:
            self.recording = True
            self.engine.clock.call_at(self.engine.clock.now_ms() + NOTES_MS, self.record_deferred)

    def record_deferred(self) -> None:
        """Record what can wait a little, with one flush for all of it."""
        ages, ends, self.ages, self.ends, self.recording = self.ages, self.ends, {}, [], False
        try:
            with self.store.transaction():
                self.store.set_ready_times((ready, job_id) for job_id, ready in ages.items())
                self.store.record_attempt_ends(ends)
        except sqlite3.Error as error:  # a restart would count these ages from anew: nothing worse
            log.error("store_failed", extra={"kv": {"ages": len(ages), "ends": len(ends), "error": error}})

    def _release(self, job_id: str, aged: bool) -> None:
        """Let a job into the engine."""
        job = self.fresh.get(job_id)
        try:
            job = job or self.store.get(job_id)
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": job_id, "error": error}})
            self.handle_event(queue_api.JobReturned(job_id, STORE_AGAIN_MS))
            return
        if job is None:
            log.error("job_without_record", extra={"kv": {"job": job_id}})
            self.handle_event(queue_api.JobEnded(job_id, False))
            return
        ticket = self.tickets[job_id] = ReleasedJob(self, job_id, job.direct)
        ticket.acknowledged = job_id not in self.fresh
        try:
            task = self.codec.build_request(job)
        except JobError as error:  # the operator has changed the classes meanwhile
            self.finish(job_id, JobState.FAILED, annotation=f"it has not run: {error}")
            return
        now_ms = self.engine.clock.now_ms()
        deadline_ms = now_ms + self.settings.classes[task.job_class].deadline_ms
        if job.deadline != NO_DEADLINE:
            deadline_ms = min(deadline_ms, self.clock_ms(job.deadline))
        self.counts["released"] += 1
        self.counts["released_aged"] += aged
        ticket.session = self.engine.open_request(
            ticket,
            job_id,
            task.payload,
            task.job_class,
            deadline_ms,
            slots=task.slots,
            memory=task.memory,
            aged=aged,
        )

    def _withdraw(self, job_id: str) -> None:
        ticket = self.tickets.get(job_id)
        if ticket is not None and ticket.session is not None and self.engine.withdraw_unsent(ticket.session):
            self.returned(ticket, 0.0)

    def returned(self, ticket: ReleasedJob, pause_ms: float) -> None:
        """A job comes back from the engine: it has not run, and waits on."""
        del self.tickets[ticket.id]
        self.counts["returned"] += 1
        self.handle_event(
            queue_api.JobReturned(ticket.id, max(LEAST_PAUSE_MS, pause_ms) if pause_ms else 0.0)
        )

    # Servers.

    def _servers_soon(self) -> None:
        if not self.looking:
            self.looking = True
            self.engine.clock.call_at(self.engine.clock.now_ms() + SERVERS_MS, self._servers_changed)

    def _servers_changed(self) -> None:
        """A class without a server that takes work lets nothing in: its jobs keep their places."""
        self.looking = False
        if self.stopping:
            return
        table = self.engine.table
        kinds = {server.entry.kind for name, server in table.workers.items() if table.accepts_work(name)}
        for index, job_class in enumerate(self.settings.classes):
            is_open = bool(kinds) if job_class.kind == -1 else job_class.kind in kinds
            if is_open != self.job_queue.class_queues[index].available:
                if len(self.job_queue):
                    log.info("lane", extra={"kv": {"job_class": job_class.name, "open": is_open}})
                self.handle_event(queue_api.ClassAvailabilityChanged(index, is_open))

    def stop(self) -> None:
        """Take nothing more and let nothing more in: what waits goes on after the next start.

        Guards a planned stop against a waiting room that never empties.
        """
        self.stopping = True
        for index in range(len(self.job_queue.class_queues)):
            self.handle_event(queue_api.ClassAvailabilityChanged(index, False))
        for ticket in list(self.tickets.values()):
            if not ticket.direct:
                self._withdraw(ticket.id)

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
        """Terminate a job, once; whoever waits for it is told after it is recorded."""
        ticket = self.tickets.get(job_id)
        if ticket is not None:
            if ticket.timer is not None:
                ticket.timer.cancel()
            if ticket.adopted is not None:
                self.servers.set_callback_handler(job_id, ticket.adopted, None)
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
            # Guards an end against a full disk: it is not told before it is recorded, and not lost.
            log.error("store_failed", extra={"kv": {"job": job_id, "error": error}})
            again = partial(
                self.finish, job_id, state, result=result, annotation=annotation, retry_after=retry_after
            )
            timer = self.engine.clock.call_at(self.engine.clock.now_ms() + STORE_AGAIN_MS, again)
            if ticket is not None:
                ticket.timer = timer
            return
        self.tickets.pop(job_id, None)
        self.direct.discard(job_id)
        self.retries.pop(job_id, None)
        self.handle_event(queue_api.JobEnded(job_id, state is JobState.DONE))
        if job is not None:
            self.on_job_ended(job)

    def _end_all(self, ends: Sequence[queue_api.EndJob]) -> None:
        """Record the ends that the room has decided together, with one flush; then tell of them."""
        try:
            with self.store.transaction():
                now = self.wall_clock()
                for end in ends:
                    note = end_annotation(end, may_have_run=end.job in self.retries)
                    self.store.finish(end.job, JobState.FAILED, now, annotation=note)
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"ends": len(ends), "error": error}})
            again = partial(self._end_all, ends)
            self.engine.clock.call_at(self.engine.clock.now_ms() + STORE_AGAIN_MS, again)
            return
        for end in ends:
            self.counts[f"ended_{end.cause.name.lower()}"] += 1
            self.direct.discard(end.job)
            self.retries.pop(end.job, None)
            job = self.store.get(end.job)
            if job is not None:
                self.on_job_ended(job)

    # Submissions.

    def _edges(self, after: Iterable[tuple[str, Condition]], names: dict[str, str]) -> tuple[Dependency, ...]:
        """What a job waits for: labels of its submission, jobs, and batches, which stand for their jobs."""
        edges: dict[tuple[str, Condition], Dependency] = {}
        for name, condition in after:
            if name in names:
                found = Dependency(names[name], condition)
            elif self.job_queue.is_active(name):
                found = Dependency(name, condition)
            else:
                found = Dependency(name, condition, self.ended_as_done(name))
            edges[name, condition] = found
        return tuple(edges.values())

    def ended_as_done(self, name: str) -> bool:
        """Whether a job or batch that the room does not know any more was done."""
        job = self.store.get(name)
        if job is not None:
            # Not in the room and not terminated: its end is decided and could not be recorded yet.
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
        names: dict[str, str],
        batch: Batch | None = None,
        number: int | None = None,
    ) -> tuple[Job, JobSpec]:
        """A job's record and what the room is told of it."""
        now = self.wall_clock()
        deadline = NO_DEADLINE if new.deadline is None else new.deadline
        if not new.may_wait:
            deadline = min(deadline, now + self.settings.classes[new.job_class].deadline_ms / 1000.0)
        if deadline <= now:
            raise JobError(JobErrorKind.INVALID, "the deadline has passed")
        wanted = (
            new.latency_objective_s
            if new.latency_objective_s is not None
            else self.limits.latency_objectives_s[new.job_class]
        )
        wanted *= 2.0 ** (-new.priority / PRIORITY_DOUBLES)
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
            wanted=wanted,
            any_of=new.any_of,
            batch=None if batch is None else batch.id,
            number=number,
            label=new.label,
        )
        return job, self.spec_of(job, self._edges(new.dependencies, names))

    def spec_of(
        self, job: Job, edges: tuple[Dependency, ...], age_ms: float | None = None, sent: bool = False
    ) -> JobSpec:
        return JobSpec(
            job.id,
            self.classes.get(job.category, 0),
            max(1.0, job.wanted * 1000.0),
            edges,
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
        """When there may be room again: about when a hundredth of those that wait have gone."""
        gaps = [lane.mean_gap_ms for lane in self.job_queue.class_queues if lane.mean_gap_ms > 0]
        return min(60_000.0, max(1000.0, (min(gaps) if gaps else 10.0) * len(self.job_queue) / 100.0))

    def submit(self, submission: str, new: NewJob, crowded: bool = False) -> tuple[Job, bool]:
        """Take a job: the same key and template are the same job. Its record, and whether it is new.

        JobError: it is not taken, and nothing is left of it.
        """
        earlier = self.store.find_by_submission(submission)
        if earlier is not None:
            if earlier.template != new.template:
                raise JobError(JobErrorKind.CONFLICT, "this key has made another job")
            return earlier, False
        if self.store.find_batch("submission", submission) is not None:
            raise JobError(JobErrorKind.CONFLICT, "this key has made a submission of several jobs")
        if self.stopping or crowded or (not new.may_wait and len(self.direct) >= self.limits.max_direct):
            raise JobError(JobErrorKind.LATER, "no more jobs are taken now", 1000.0)
        job, spec = self.make_job(new, uuid.uuid4().hex, submission, {})
        self.check_and_sort([spec])
        try:
            self.store.add(job, [(job.id, edge.job, edge.condition, edge.done) for edge in spec.dependencies])
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": job.id, "error": error}})
            raise JobError(JobErrorKind.RESOURCE, "the job could not be recorded", 5000.0) from error
        if job.direct:
            self.direct.add(job.id)
            self.fresh[job.id] = job
        self.handle_event(queue_api.JobsSubmitted((spec,)))
        self.fresh.pop(job.id, None)
        ticket = self.tickets.get(job.id)
        if ticket is not None:
            ticket.acknowledged = True
            if ticket.deny_ms is not None:
                del self.tickets[job.id]
                self.direct.discard(job.id)
                self.handle_event(queue_api.JobEnded(job.id, False))
                self.store.remove(job.id)
                raise JobError(JobErrorKind.LATER, "refused: it has not run", ticket.deny_ms)
        return self.store.get(job.id) or job, True

    # What people want of jobs.

    def find(self, job_id: str) -> Job:
        """The job of an id."""
        job = self.store.get(job_id)
        if job is None:
            raise JobError(JobErrorKind.UNKNOWN, f"there is no job {job_id}")
        return job

    def terminate(self, job: Job) -> None:
        """Have a job cancelled. Its state tells what came of it."""
        if job.state.terminated:
            raise JobError(JobErrorKind.STATE, f"the job is {job.state} already")
        log.info("job_terminate", extra={"kv": {"job": job.id, "state": job.state}})
        ticket = self.tickets.get(job.id)
        if ticket is None:
            self.handle_event(queue_api.TerminationRequested(job.id))
        elif ticket.session is not None:
            self.engine.cancel_request(ticket.session)
        elif ticket.adopted is not None:
            self.servers.cancel_job(ticket.adopted, job.id, partial(self.recovery.on_cancelled, job.id))

    def hold(self, job: Job) -> None:
        """Keep a job that no server has been sent from going on."""
        if job.state in (JobState.QUEUED_HELD, JobState.REQUEUED_HELD):
            return
        ticket = self.tickets.get(job.id)
        out = ticket is not None and (ticket.session is None or ticket.session.may_have_run)
        queued = job.state in (JobState.QUEUED, JobState.REQUEUED)
        if not queued or out:
            what = "being sent" if queued else job.state
            raise JobError(JobErrorKind.STATE, f"the job is {what}: only one that is queued can be held")
        requeued = job.state is JobState.REQUEUED
        self.store.set_state(job.id, JobState.REQUEUED_HELD if requeued else JobState.QUEUED_HELD)
        self._note_age(job.id, None)
        self.handle_event(queue_api.HoldChanged(job.id, True))
        log.info("job_hold", extra={"kv": {"job": job.id}})

    def release(self, job: Job) -> None:
        """Lift a hold."""
        if not job.state.held:
            raise JobError(JobErrorKind.STATE, f"the job is {job.state}: it is not held")
        requeued = job.state is JobState.REQUEUED_HELD
        self.store.set_state(job.id, JobState.REQUEUED if requeued else JobState.QUEUED)
        self.handle_event(queue_api.HoldChanged(job.id, False))
        log.info("job_release", extra={"kv": {"job": job.id}})

    def wait_reason(self, job_id: str) -> str:
        """Why a job waits, in words; empty for one that does not."""
        try:
            why = self.job_queue.wait_status(job_id)
        except KeyError:
            return ""
        return describe_wait(why, self.job_queue.unix_ms)

    # Submissions of several jobs, and jobs of before a restart.

    def submit_batch(
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
        """Take several jobs, all or none; see `BatchIntake.submit`."""
        self.batches.submit(submission, template, news, numbers, array, most, done, crowded)

    def restore(self) -> None:
        """Take up the jobs of before a restart; see `JobRecovery.restore`."""
        self.recovery.restore()
