"""The job service: takes jobs, keeps their records, lets them wait and brings each to its one end.

Fronts hand jobs in and are told of ends. The waiting room decides which job is let into the engine and when,
the engine's decision module which server it goes to; what is here records, in time, and carries out.
"""

from __future__ import annotations

import gc
import logging
import math
import sqlite3
import time
import uuid
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import replace
from functools import partial
from itertools import islice
from typing import Protocol

from grebestack.core.api import Outcome, Settings
from grebestack.job_queue import interface as room_api
from grebestack.job_queue.interface import Cause, Condition, Edge, Spec, Stage
from grebestack.job_queue.job_queue import Room
from grebestack.jobs.earlier_attempts import EarlierAttempts, RetryLimit, retry_limit
from grebestack.jobs.records import (
    NO_DEADLINE,
    Batch,
    Codec,
    Job,
    JobError,
    JobLimits,
    JobState,
    Kind,
    NewJob,
)
from grebestack.jobs.store import JobStore
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import Timer
from grebestack.routing.requests import Dispatch, Session

log = logging.getLogger(__name__)
STORE_AGAIN_MS = 1000.0  # what could not be recorded is tried again after this
LEAST_PAUSE_MS = 50.0  # a job that was refused is tried again after this at the soonest
PAUSE_MS = 250.0  # and after this where the refusal gives no advice
WALL_MS = 1000.0  # the wall clock is read at least so often: it may be set while jobs wait
NOTES_MS = 100.0  # what nothing hangs on is recorded together, so long after the first of it
SERVERS_MS = 5.0  # changes of the server table are looked at together, so long after the first
ASK_BACK_AGAIN_MS = 100.0  # between looks whether the server of a job of before a restart is listed
SLICE = 100  # jobs of a submission that are recorded at a time: the loop goes on between
PRIORITY_DOUBLES = 50.0  # so much more priority halves the wanted time


class Servers(Protocol):
    """What is asked of the servers' side for jobs that were sent before a restart."""

    def adopt(self, call_id: str, server: str, ended: Callable[[Outcome, bytes], None] | None) -> None:
        """Wait for such a job's end; None: no longer."""

    def cancel_at(self, server: str, call_id: str, taken: Callable[[], None]) -> None:
        """Ask a server to give a job up."""

    def give_up_at(self, server: str, call_id: str, heard: Callable[[], None]) -> bool:
        """Tell a server that a job is not waited for; False if the server is not known."""


class Ticket:
    """One job that is in the engine, or may run since before a restart; the engine's frontend for it."""

    def __init__(self, service: JobService, job_id: str, direct: bool) -> None:
        self.service, self.id, self.direct = service, job_id, direct
        self.session: Session | None = None
        self.rows: dict[int, int] = {}  # the record of each dispatch, by number
        self.deny_ms: float | None = None  # refused before it was acknowledged: when to come back
        self.acknowledged = True
        self.adopted: str | None = None  # the server that may have run it before a restart
        self.retry = service.retries.get(job_id)  # set: it is sent again after a restart
        self.timer: Timer | None = None

    def may_have_run(self, session: Session) -> bool:
        """Whether some attempt, also one of before a restart, is not proven never to have run."""
        return session.may_have_run or self.retry is not None

    def sending(self, dispatch: Dispatch) -> bool:
        """Record the dispatch; a dispatch that can't be recorded is not sent."""
        retry = self.retry
        if retry is not None and (self.service.wall() > retry.until_s or dispatch.number >= retry.attempts):
            return False
        try:
            self.rows[dispatch.number] = self.service.store.sending(
                self.id, self.service.engine.table.uid(dispatch.server), self.service.wall()
            )
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": self.id, "error": error}})
            return False
        self.service.feed(room_api.Sent(self.id))
        return True

    def ended(self, dispatch: Dispatch) -> None:
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
                self.service.store.ended([ended])
                self.service.store.set_state(self.id, JobState.REQUEUED)
        except sqlite3.Error as error:  # then the record says that it may have run, which is the safe side
            log.error("store_failed", extra={"kv": {"job": self.id, "error": error}})

    def served(self, session: Session, result: bytes) -> None:
        """A server did the job."""
        self.service.finish(self.id, JobState.DONE, result=result)

    def denied(self, session: Session, retry_after_ms: float | None) -> None:
        """Refused: final for a job that asked for no waiting; another goes back to the waiting room."""
        if not self.acknowledged:
            self.deny_ms = retry_after_ms or 0.0
        elif session.may_have_run or (self.retry is not None and self.direct):
            self._unserved(session, "refused")
        elif not self.direct:
            self.service.returned(self, PAUSE_MS if retry_after_ms is None else retry_after_ms)
        else:
            self.service.finish(
                self.id,
                JobState.FAILED,
                annotation="refused: it has not run and may be submitted again",
                retry_after=(retry_after_ms or 0.0) / 1000.0,
            )

    def failed(self, session: Session) -> None:
        """Failed; it may have run."""
        self._unserved(session, "failed")

    def cancelled(self, session: Session) -> None:
        """Terminated as asked."""
        self._unserved(session, "terminated")

    def _unserved(self, session: Session, how: str) -> None:
        ran = "it may have run" if self.may_have_run(session) else "it has not run"
        self.service.finish(self.id, JobState.FAILED, annotation=f"{how}: {ran}")


class Intake:
    """A submission of many jobs on its way into the store, a slice at a time."""

    def __init__(
        self, batch: Batch, specs: Iterator[tuple[Job, Spec]], done: Callable[[Batch | JobError], None]
    ) -> None:
        self.batch, self.specs, self.done = batch, specs, done


class JobService:
    """All jobs of one dispatcher."""

    def __init__(
        self,
        engine: Engine,
        servers: Servers,
        settings: Settings,
        store: JobStore,
        codec: Codec,
        limits: JobLimits,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.engine, self.servers, self.settings, self.store = engine, servers, settings, store
        self.codec, self.limits, self.wall = codec, limits, wall
        self.room = Room(
            room_api.RoomSettings(
                lanes=len(settings.classes),
                ahead=limits.ahead,
                ripe=limits.ripe,
                most_jobs=limits.most_waiting,
                most_edges=limits.most_conditions,
            )
        )
        self.classes = {c.name: index for index, c in enumerate(settings.classes)}
        self.tickets: dict[str, Ticket] = {}
        self.direct: set[str] = set()  # jobs that asked for no waiting and are not terminated
        self.retries: dict[str, RetryLimit] = {}  # jobs that are sent again after a restart
        self.fresh: dict[str, Job] = {}  # recorded in this very call: need not be read again
        self.ended: Callable[[Job], None] = lambda job: None  # told once of each job, after its record
        self.stopping = False
        self.counts: Counter[str] = Counter()
        self.events: deque[room_api.Event] = deque()
        self.feeding = False
        self.tick: Timer | None = None
        self.ages: dict[str, float | None] = {}  # to be recorded, together
        self.ends: list[tuple[str, bool, int]] = []  # the same of dispatches
        self.recording = self.looking = False
        self._servers_changed()
        engine.table.changed = self._servers_soon
        self._read_wall()

    # Time.

    def clock_ms(self, unix_s: float) -> float:
        """A Unix time on the engine's clock."""
        return self.engine.clock.now_ms() + (unix_s - self.wall()) * 1000.0

    def _read_wall(self) -> None:
        """Guards jobs that wait for an hour against a wall clock that is set meanwhile."""
        self._tell_wall()
        self.engine.clock.call_at(self.engine.clock.now_ms() + WALL_MS, self._read_wall)

    def _tell_wall(self) -> None:
        offset = self.wall() * 1000.0 - self.engine.clock.now_ms()
        if abs(offset - self.room.offset_ms) > 1.0:
            self.feed(room_api.Wall(offset))

    def _ticked(self) -> None:
        self.tick = None
        self._tell_wall()
        self.feed(room_api.Tick())

    # The waiting room's events and actions.

    def feed(self, event: room_api.Event) -> None:
        """Tell the room something and carry out what follows; within that, events wait their turn."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                actions = self.room.handle(self.engine.clock.now_ms(), self.events.popleft())
                ends = [action for action in actions if isinstance(action, room_api.End)]
                if ends:
                    self._end_all(ends)
                for action in actions:
                    self._carry_out(action)
        finally:
            self.feeding = False

    def _carry_out(self, action: room_api.Action) -> None:
        match action:
            case room_api.Release(job_id, aged):
                self._release(job_id, aged)
            case room_api.Withdraw(job_id):
                self._withdraw(job_id)
            case room_api.BecameReady(job_id):
                self._note_age(job_id, self.wall())
            case room_api.Wake(at_ms):
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
            self.engine.clock.call_at(self.engine.clock.now_ms() + NOTES_MS, self.record_notes)

    def record_notes(self) -> None:
        """Record what can wait a little, with one flush for all of it."""
        ages, ends, self.ages, self.ends, self.recording = self.ages, self.ends, {}, [], False
        try:
            with self.store.transaction():
                self.store.set_ready((ready, job_id) for job_id, ready in ages.items())
                self.store.ended(ends)
        except sqlite3.Error as error:  # a restart would count these ages from anew: nothing worse
            log.error("store_failed", extra={"kv": {"ages": len(ages), "ends": len(ends), "error": error}})

    def _release(self, job_id: str, aged: bool) -> None:
        """Let a job into the engine."""
        job = self.fresh.get(job_id)
        try:
            job = job or self.store.get(job_id)
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": job_id, "error": error}})
            self.feed(room_api.Returned(job_id, STORE_AGAIN_MS))
            return
        if job is None:
            log.error("job_without_record", extra={"kv": {"job": job_id}})
            self.feed(room_api.JobEnded(job_id, False))
            return
        ticket = self.tickets[job_id] = Ticket(self, job_id, job.direct)
        ticket.acknowledged = job_id not in self.fresh
        try:
            task = self.codec.task(job)
        except JobError as error:  # the operator has changed the classes meanwhile
            self.finish(job_id, JobState.FAILED, annotation=f"it has not run: {error}")
            return
        now_ms = self.engine.clock.now_ms()
        deadline_ms = now_ms + self.settings.classes[task.job_class].deadline_ms
        if job.deadline != NO_DEADLINE:
            deadline_ms = min(deadline_ms, self.clock_ms(job.deadline))
        self.counts["released"] += 1
        self.counts["released_aged"] += aged
        ticket.session = self.engine.open(
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
        if ticket is not None and ticket.session is not None and self.engine.withdraw(ticket.session):
            self.returned(ticket, 0.0)

    def returned(self, ticket: Ticket, pause_ms: float) -> None:
        """A job comes back from the engine: it has not run, and waits on."""
        del self.tickets[ticket.id]
        self.counts["returned"] += 1
        self.feed(room_api.Returned(ticket.id, max(LEAST_PAUSE_MS, pause_ms) if pause_ms else 0.0))

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
        kinds = {server.entry.kind for name, server in table.servers.items() if table.accepts(name)}
        for index, job_class in enumerate(self.settings.classes):
            is_open = bool(kinds) if job_class.kind == -1 else job_class.kind in kinds
            if is_open != self.room.lanes[index].open:
                if len(self.room):
                    log.info("lane", extra={"kv": {"job_class": job_class.name, "open": is_open}})
                self.feed(room_api.Lane(index, is_open))

    def stop(self) -> None:
        """Take nothing more and let nothing more in: what waits goes on after the next start.

        Guards a planned stop against a waiting room that never empties.
        """
        self.stopping = True
        for index in range(len(self.room.lanes)):
            self.feed(room_api.Lane(index, False))
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
                self.servers.adopt(job_id, ticket.adopted, None)
        try:
            self.store.finish(
                job_id, state, self.wall(), result=result, annotation=annotation, retry_after=retry_after
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
        self.feed(room_api.JobEnded(job_id, state is JobState.DONE))
        if job is not None:
            self.ended(job)

    def _end_all(self, ends: Sequence[room_api.End]) -> None:
        """Record the ends that the room has decided together, with one flush; then tell of them."""
        try:
            with self.store.transaction():
                now = self.wall()
                for end in ends:
                    note = annotation(end, may_have_run=end.job in self.retries)
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
                self.ended(job)

    # Submissions.

    def _edges(self, after: Iterable[tuple[str, Condition]], names: dict[str, str]) -> tuple[Edge, ...]:
        """What a job waits for: labels of its submission, jobs, and batches, which stand for their jobs."""
        edges: dict[tuple[str, Condition], Edge] = {}
        for name, condition in after:
            if name in names:
                found = Edge(names[name], condition)
            elif self.room.knows(name):
                found = Edge(name, condition)
            else:
                found = Edge(name, condition, self._how_ended(name))
            edges[name, condition] = found
        return tuple(edges.values())

    def _how_ended(self, name: str) -> bool:
        """Whether a job or batch that the room does not know any more was done."""
        job = self.store.get(name)
        if job is not None:
            # Not in the room and not terminated: its end is decided and could not be recorded yet.
            return job.state is JobState.DONE
        batch = self.store.batch("id", name)
        if batch is None or not batch.complete:
            raise JobError(Kind.UNKNOWN, f"there is no job {name} to wait for")
        return bool(self.store.batch_done(name))

    def _make(
        self,
        new: NewJob,
        job_id: str,
        submission: str,
        names: dict[str, str],
        batch: Batch | None = None,
        number: int | None = None,
    ) -> tuple[Job, Spec]:
        """A job's record and what the room is told of it."""
        now = self.wall()
        deadline = NO_DEADLINE if new.deadline is None else new.deadline
        if not new.waits:
            deadline = min(deadline, now + self.settings.classes[new.job_class].deadline_ms / 1000.0)
        if deadline <= now:
            raise JobError(Kind.INVALID, "the deadline has passed")
        wanted = new.wanted if new.wanted is not None else self.limits.wanted[new.job_class]
        wanted *= 2.0 ** (-new.priority / PRIORITY_DOUBLES)
        job = Job(
            job_id,
            submission,
            new.template,
            new.category,
            JobState.QUEUED_HELD if new.held else JobState.QUEUED,
            now,
            deadline,
            direct=not new.waits,
            start=new.start,
            wanted=wanted,
            any_of=new.any_of,
            batch=None if batch is None else batch.id,
            number=number,
            label=new.label,
        )
        return job, self._spec(job, self._edges(new.after, names))

    def _spec(
        self, job: Job, edges: tuple[Edge, ...], age_ms: float | None = None, sent: bool = False
    ) -> Spec:
        return Spec(
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

    def _check(self, specs: Sequence[Spec]) -> list[Spec]:
        try:
            return self.room.check(specs)
        except room_api.RoomError as error:
            if error.full:
                raise JobError(Kind.LATER, str(error), self._drain_ms()) from error
            raise JobError(Kind.INVALID, str(error)) from error

    def _drain_ms(self) -> float:
        """When there may be room again: about when a hundredth of those that wait have gone."""
        gaps = [lane.gap_ms for lane in self.room.lanes if lane.gap_ms > 0]
        return min(60_000.0, max(1000.0, (min(gaps) if gaps else 10.0) * len(self.room) / 100.0))

    def submit(self, submission: str, new: NewJob, crowded: bool = False) -> tuple[Job, bool]:
        """Take a job: the same key and template are the same job. Its record, and whether it is new.

        JobError: it is not taken, and nothing is left of it.
        """
        earlier = self.store.of_submission(submission)
        if earlier is not None:
            if earlier.template != new.template:
                raise JobError(Kind.CONFLICT, "this key has made another job")
            return earlier, False
        if self.store.batch("submission", submission) is not None:
            raise JobError(Kind.CONFLICT, "this key has made a submission of several jobs")
        if self.stopping or crowded or (not new.waits and len(self.direct) >= self.limits.most_open):
            raise JobError(Kind.LATER, "no more jobs are taken now", 1000.0)
        job, spec = self._make(new, uuid.uuid4().hex, submission, {})
        self._check([spec])
        try:
            self.store.add(job, [(job.id, edge.job, edge.condition, edge.done) for edge in spec.edges])
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": job.id, "error": error}})
            raise JobError(Kind.RESOURCE, "the job could not be recorded", 5000.0) from error
        if job.direct:
            self.direct.add(job.id)
            self.fresh[job.id] = job
        self.feed(room_api.Submitted((spec,)))
        self.fresh.pop(job.id, None)
        ticket = self.tickets.get(job.id)
        if ticket is not None:
            ticket.acknowledged = True
            if ticket.deny_ms is not None:
                del self.tickets[job.id]
                self.direct.discard(job.id)
                self.feed(room_api.JobEnded(job.id, False))
                self.store.remove(job.id)
                raise JobError(Kind.LATER, "refused: it has not run", ticket.deny_ms)
        return self.store.get(job.id) or job, True

    def submit_many(
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
        earlier = self.store.batch("submission", submission)
        if earlier is not None and not earlier.complete:
            done(JobError(Kind.LATER, "this submission is being recorded", 1000.0))
            return
        if earlier is not None and earlier.template == template:
            done(earlier)
            return
        if earlier is not None or self.store.of_submission(submission) is not None:
            done(JobError(Kind.CONFLICT, "this key has made another submission"))
            return
        if self.stopping or crowded:
            done(JobError(Kind.LATER, "no more jobs are taken now", 1000.0))
            return
        if len(numbers) > self.limits.most_array:
            done(JobError(Kind.INVALID, f"{len(numbers)} jobs, {self.limits.most_array} are allowed"))
            return
        batch = Batch(uuid.uuid4().hex, submission, template, self.wall(), array, most)
        try:
            if callable(news):
                self._make(news(numbers[0]), "", "", {}, batch, numbers[0])  # whether it can be taken at all
                self._room_for(len(numbers))
                specs = self._each(batch, news, numbers)
            else:
                specs = self._graph(batch, news)
            self.store.add_batch(batch)
        except JobError as error:
            done(error)
            return
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"batch": batch.id, "error": error}})
            done(JobError(Kind.RESOURCE, "the jobs could not be recorded", 5000.0))
            return
        self.feed(room_api.Grouped(batch.id, most))
        self._take(Intake(batch, specs, done))

    def _room_for(self, count: int) -> None:
        if len(self.room) + count > self.limits.most_waiting:
            what = f"no more than {self.limits.most_waiting} jobs can wait"
            raise JobError(Kind.LATER, what, self._drain_ms())

    def _each(self, batch: Batch, new: Callable[[int], NewJob], numbers: range) -> Iterator[tuple[Job, Spec]]:
        for number in numbers:
            job_id = uuid.uuid4().hex
            yield self._make(new(number), job_id, f"\x01{batch.id}/{number}", {}, batch, number)

    def _graph(self, batch: Batch, news: Sequence[NewJob]) -> Iterator[tuple[Job, Spec]]:
        names: dict[str, str] = {}
        for new in news:
            if new.label in names:
                raise JobError(Kind.INVALID, f"two jobs have the name {new.label}")
            names[new.label] = uuid.uuid4().hex
        made = {
            names[new.label]: self._make(
                new, names[new.label], f"\x01{batch.id}/{number}", names, batch, number
            )
            for number, new in enumerate(news)
        }
        labels = {job_id: label for label, job_id in names.items()}
        try:
            ordered = self._check([spec for _, spec in made.values()])
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
            self._check([spec for _, spec in taken])
            with self.store.transaction():
                self.store.add_all(
                    [job for job, _ in taken],
                    [(job.id, e.job, e.condition, e.done) for job, spec in taken for e in spec.edges],
                )
                if len(taken) < SLICE:
                    self.store.complete(batch.id)
        except (JobError, sqlite3.Error) as error:
            self.feed(room_api.Dropped(batch.id))
            self._drop(batch.id)
            if isinstance(error, JobError):
                intake.done(error)
                return
            log.error("store_failed", extra={"kv": {"batch": batch.id, "error": error}})
            intake.done(JobError(Kind.RESOURCE, "the jobs could not be recorded", 5000.0))
            return
        self.feed(room_api.Submitted(tuple(spec for _, spec in taken), batch.id))
        if len(taken) < SLICE:
            intake.done(batch)
            self.feed(room_api.Opened(batch.id))
        else:
            self.engine.clock.call_at(self.engine.clock.now_ms(), partial(self._take, intake))

    def _refreshed(self, spec: Spec, own: set[str]) -> Spec:
        """A spec of which some of the jobs that it waits for may have ended since it was made."""
        edges = []
        for edge in spec.edges:
            if edge.done is None and edge.job not in own and not self.room.knows(edge.job):
                edge = replace(edge, done=self._how_ended(edge.job))
            edges.append(edge)
        return replace(spec, edges=tuple(edges)) if edges else spec

    def _drop(self, batch_id: str) -> None:
        try:
            self.store.drop_batches("id = ?", batch_id)
        except sqlite3.Error as error:  # the next start drops it: it is not complete
            log.error("store_failed", extra={"kv": {"batch": batch_id, "error": error}})

    # What people want of jobs.

    def find(self, job_id: str) -> Job:
        """The job of an id."""
        job = self.store.get(job_id)
        if job is None:
            raise JobError(Kind.UNKNOWN, f"there is no job {job_id}")
        return job

    def terminate(self, job: Job) -> None:
        """Have a job cancelled. Its state tells what came of it."""
        if job.state.terminated:
            raise JobError(Kind.STATE, f"the job is {job.state} already")
        log.info("job_terminate", extra={"kv": {"job": job.id, "state": job.state}})
        ticket = self.tickets.get(job.id)
        if ticket is None:
            self.feed(room_api.Terminated(job.id))
        elif ticket.session is not None:
            self.engine.terminate(ticket.session)
        elif ticket.adopted is not None:
            self.servers.cancel_at(ticket.adopted, job.id, partial(self._adopted_cancelled, job.id))

    def hold(self, job: Job) -> None:
        """Keep a job that no server has been sent from going on."""
        if job.state in (JobState.QUEUED_HELD, JobState.REQUEUED_HELD):
            return
        ticket = self.tickets.get(job.id)
        out = ticket is not None and (ticket.session is None or ticket.session.may_have_run)
        queued = job.state in (JobState.QUEUED, JobState.REQUEUED)
        if not queued or out:
            what = "being sent" if queued else job.state
            raise JobError(Kind.STATE, f"the job is {what}: only one that is queued can be held")
        requeued = job.state is JobState.REQUEUED
        self.store.set_state(job.id, JobState.REQUEUED_HELD if requeued else JobState.QUEUED_HELD)
        self._note_age(job.id, None)
        self.feed(room_api.Held(job.id, True))
        log.info("job_hold", extra={"kv": {"job": job.id}})

    def release(self, job: Job) -> None:
        """Lift a hold."""
        if not job.state.held:
            raise JobError(Kind.STATE, f"the job is {job.state}: it is not held")
        requeued = job.state is JobState.REQUEUED_HELD
        self.store.set_state(job.id, JobState.REQUEUED if requeued else JobState.QUEUED)
        self.feed(room_api.Held(job.id, False))
        log.info("job_release", extra={"kv": {"job": job.id}})

    def why(self, job_id: str) -> str:
        """Why a job waits, in words; empty for one that does not."""
        try:
            why = self.room.why(job_id)
        except KeyError:
            return ""
        return in_words(why, self.room.unix_ms)

    # After a restart.

    def restore(self) -> None:
        """Take up the jobs of before a restart, with their places.

        One that may have run is sent again only where that is harmless, and once its server has given it up.
        """
        collects = gc.isenabled()
        gc.disable()  # it would walk all that is made here again and again, and find nothing
        try:
            self._restore()
        finally:
            if collects:
                gc.enable()

    def _restore(self) -> None:
        self.store.drop_batches()
        edges: dict[str, list[Edge]] = {}
        for name, other, condition, done in self.store.open_edges():
            edges.setdefault(name, []).append(Edge(other, condition, done))
        ran = self.store.earlier_attempts()
        for batch, most, failed in self.store.open_batches():
            self.feed(room_api.Grouped(batch, most, failed))
        now, specs = self.wall(), []
        with self.store.transaction():
            for job in self.store.open():
                earlier = ran.get(job.id)
                if earlier is not None:
                    self._adopt(job, earlier)
                elif job.state in (JobState.RUNNING, JobState.UNDETERMINED):
                    self.store.set_state(job.id, JobState.QUEUED)
                if job.direct:
                    self.direct.add(job.id)
                since = None if job.ready is None else max(job.ready, job.submitted)
                age_ms = None if since is None else max(0.0, now - since) * 1000.0
                specs.append(self._spec(job, tuple(edges.get(job.id, ())), age_ms, earlier is not None))
        if specs:
            kv = {"jobs": len(specs), "may_have_run": len(ran), "direct": len(self.direct)}
            log.info("jobs_restored", extra={"kv": kv})
            self.feed(room_api.Submitted(tuple(specs), restored=True))

    def _adopt(self, job: Job, earlier: EarlierAttempts) -> None:
        """Guards against a second run: its call-back or its deadline ends a job that may have run.

        Unless it may be sent again: then its server is told to give it up.
        """
        server = earlier.server
        log.info("job_restored", extra={"kv": {"job": job.id, "may_have_run": True, "server": server}})
        self.store.set_state(job.id, JobState.UNDETERMINED)
        ticket = self.tickets[job.id] = Ticket(self, job.id, job.direct)
        ticket.adopted = server
        self.servers.adopt(job.id, server, partial(self._adopted_ended, job.id))
        if job.category in self.classes:
            job_class = self.settings.classes[self.classes[job.category]]
            limit = retry_limit(job_class, self.settings, earlier)
            if limit is not None:
                self._ask_back(job.id, limit)
        deadline = job.deadline
        if deadline == NO_DEADLINE:  # its class's deadline, which counts from its release, is the latest
            index = self.classes.get(job.category, 0)
            deadline = self.wall() + self.settings.classes[index].deadline_ms / 1000.0
        ticket.timer = self.engine.clock.call_at(
            self.clock_ms(deadline), partial(self._adopted_overdue, job.id)
        )

    def _ask_back(self, job_id: str, limit: RetryLimit) -> None:
        """Have its server give up a job that may be sent again, once that server is listed."""
        ticket = self.tickets.get(job_id)
        if ticket is None or ticket.adopted is None or self.wall() >= limit.until_s:
            return
        if not self.servers.give_up_at(ticket.adopted, job_id, partial(self._send_again, job_id, limit)):
            again = partial(self._ask_back, job_id, limit)
            self.engine.clock.call_at(self.engine.clock.now_ms() + ASK_BACK_AGAIN_MS, again)

    def _send_again(self, job_id: str, limit: RetryLimit) -> None:
        """A server has heard that a job of before the restart is given up: let it wait for its turn."""
        ticket = self.tickets.get(job_id)
        if ticket is None or ticket.adopted is None or self.stopping or self.wall() >= limit.until_s:
            return
        log.info("job_sent_again", extra={"kv": {"job": job_id, "server": ticket.adopted}})
        if ticket.timer is not None:
            ticket.timer.cancel()
        self.servers.adopt(job_id, ticket.adopted, None)
        self.retries[job_id] = limit
        self.store.set_state(job_id, JobState.REQUEUED)
        if limit.until_s < math.inf:
            self.engine.clock.call_at(self.clock_ms(limit.until_s), partial(self._retry_expired, job_id))
        self.returned(ticket, 0.0)

    def _retry_expired(self, job_id: str) -> None:
        """A job may not be sent again any more: one that was not ends here."""
        if job_id not in self.retries:
            return
        ticket = self.tickets.get(job_id)
        if ticket is None or (ticket.session is not None and self.engine.withdraw(ticket.session)):
            self._adopted_overdue(job_id)

    def _adopted_ended(self, job_id: str, outcome: Outcome, result: bytes) -> None:
        if outcome is Outcome.OK:
            self.finish(job_id, JobState.DONE, result=result)
        elif outcome.never_ran:
            note = "handed back after a restart: it has not run and may be submitted again"
            self.finish(job_id, JobState.FAILED, annotation=note, retry_after=0.0)
        else:
            self.finish(job_id, JobState.FAILED, annotation="failed: it may have run")

    def _adopted_overdue(self, job_id: str) -> None:
        note = "nothing was heard of it by its deadline since a restart: it has perhaps run"
        self.finish(job_id, JobState.FAILED, annotation=note)

    def _adopted_cancelled(self, job_id: str) -> None:
        self.finish(job_id, JobState.FAILED, annotation="terminated: it may have run")


def annotation(end: room_api.End, may_have_run: bool = False) -> str:
    """What an end that the room decided is called; a job may have run before a restart."""
    if may_have_run:
        return f"{'terminated' if end.cause is Cause.TERMINATED else 'overdue'}: it may have run"
    match end.cause:
        case Cause.DEPENDENCY:
            chain = "" if end.root in ("", end.of) else f"; it began with job {end.root}"
            return f"it has not run: job {end.of}, which it waited for, did not end as it asks{chain}"
        case Cause.OVERDUE:
            return "overdue: it has not run by its deadline"
        case Cause.TOO_LATE:
            return "overdue: it has not run, and could not be tried again before its deadline"
        case Cause.TERMINATED:
            return "terminated: it has not run"


def in_words(why: room_api.Why, unix_ms: float) -> str:
    """Why a job waits, as a person reads it."""
    if why.stage is Stage.SENT:
        return "a server has it"
    if why.stage is Stage.RELEASED:
        return "let in: it waits for a server with room"
    parts = []
    if why.held:
        parts.append("held until it is released")
    if why.jobs:
        more = f" and {why.more_jobs} more" if why.more_jobs else ""
        parts.append(f"waits for {'one of ' if why.any_of else ''}job {', '.join(why.jobs)}{more}")
    if why.start_unix_ms is not None:
        left_s = (why.start_unix_ms - unix_ms) / 1000.0
        parts.append(f"not before {iso(why.start_unix_ms)} (in {left_s:.0f} s)")
    if why.place is not None:
        text = f"ready for {why.age_ms / 1000.0:.1f} s of {why.wanted_ms / 1000.0:g} wanted"
        if why.lane_closed:
            text += ", no server takes its class"
        elif why.group_full:
            text += ", its array has as many out as it may"
        elif why.paused_ms > 0:
            text += f", refused, tried again in {why.paused_ms / 1000.0:.1f} s"
        else:
            text += f", {why.place} before it"
            if why.rate_per_s > 0:
                text += f" (about {why.place / why.rate_per_s:.0f} s)"
        parts.append(text)
    if why.deadline_unix_ms is not None:
        parts.append(f"ends at {iso(why.deadline_unix_ms)} at the latest")
    return "; ".join(parts) or "being recorded"


def iso(unix_ms: float) -> str:
    """A time as people write it."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(unix_ms / 1000.0))
