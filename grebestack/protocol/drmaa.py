"""The DRMAA front: job submission in DRMAA2's vocabulary, as JSON over HTTP (docs/drmaa.md).

A job is a session of the same engine; what is here records it, answers polls and keeps those who wait.
"""

from __future__ import annotations

import json
import logging
import math
import sqlite3
import time
import uuid
from collections.abc import Callable, Mapping
from datetime import datetime
from functools import partial
from typing import Any
from urllib.parse import parse_qs, unquote

from grebestack.core.interface import Outcome, Settings
from grebestack.protocol.jobstore import Job, JobState, JobStore
from grebestack.protocol.runners import Runners
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import Timer
from grebestack.routing.session import Dispatch, Payload, Session
from grebestack.transport.server import Connection, Request

log = logging.getLogger(__name__)
STATUS = {
    "INVALID_ARGUMENT": 400, "UNSUPPORTED_ATTRIBUTE": 400, "INVALID_STATE": 409, "TIMEOUT": 408,
    "TRY_LATER": 503, "OUT_OF_RESOURCE": 503, "UNSUPPORTED_OPERATION": 501, "INTERNAL": 500,
}
# The other attributes of the specification's job template: known, and not to be had here.
UNSUPPORTED = {
    "remoteCommand", "submitAsHold", "rerunnable", "jobEnvironment", "workingDirectory", "email",
    "emailOnStarted", "emailOnTerminated", "inputPath", "outputPath", "errorPath", "joinFiles",
    "reservationId", "queueName", "priority", "candidateMachines", "machineOS", "machineArch", "startTime",
    "stageInFiles", "stageOutFiles", "resourceLimits", "accountingId",
}
LONGEST_WAIT_S = 3600.0
STORE_AGAIN_MS = 1000.0  # an end that could not be recorded is tried again after this
MOST_LISTED = 1000
MOST_WAITING = 4096  # bounds the memory of all who wait


class DrmaaError(Exception):
    """An error by its name in the specification."""

    def __init__(self, name: str, message: str, status: int = 0, retry_after_ms: float | None = None) -> None:
        super().__init__(message)
        self.name, self.status = name, status or STATUS[name]
        self.retry_after_ms = retry_after_ms


def number_in(raw: Mapping[str, Any], name: str, default: float, least: float, most: float) -> float:
    """A number of a template or request, within bounds."""
    value = raw.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise DrmaaError("INVALID_ARGUMENT", f"{name} must be a number from {least:g} to {most:g}")
    return float(value)


def unix_time(value: Any, name: str) -> float | None:
    """A time in ISO 8601 with its zone, or in Unix seconds."""
    if value is None:
        return None
    if isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value):
        return float(value)
    try:
        when = datetime.fromisoformat(value)
    except (TypeError, ValueError):
        when = None
    if when is None or when.tzinfo is None:
        raise DrmaaError("INVALID_ARGUMENT", f"{name} must be a time with its zone, or Unix seconds")
    return when.timestamp()


class Template:
    """A job template, checked."""

    def __init__(self, raw: Any, settings: Settings) -> None:
        if not isinstance(raw, dict):
            raise DrmaaError("INVALID_ARGUMENT", "the job template must be an object")
        given = {name: value for name, value in raw.items() if value is not None}
        for name in given:
            if name in UNSUPPORTED:
                raise DrmaaError("UNSUPPORTED_ATTRIBUTE", f"{name} is not supported")
        known = {
            "jobCategory", "jobName", "args", "minSlots", "maxSlots", "minPhysMemory", "deadlineTime",
            "implementationSpecific",
        }
        if unknown := sorted(set(given) - known):
            raise DrmaaError("INVALID_ARGUMENT", f"unknown attribute {unknown[0]}")
        names = [c.name for c in settings.classes]
        if given.get("jobCategory") not in names:
            raise DrmaaError("INVALID_ARGUMENT", f"jobCategory must be one of {', '.join(names)}")
        self.index = names.index(given["jobCategory"])
        self.category = names[self.index]
        args, special = given.get("args", []), given.get("implementationSpecific", {})
        if not isinstance(args, list) or not all(isinstance(a, str) for a in args):
            raise DrmaaError("INVALID_ARGUMENT", "args must be a list of strings")
        if not isinstance(special, dict) or set(special) - {"payload"}:
            raise DrmaaError("INVALID_ARGUMENT", "implementationSpecific takes payload alone")
        if not isinstance(special.get("payload", ""), str) or not isinstance(given.get("jobName", ""), str):
            raise DrmaaError("INVALID_ARGUMENT", "jobName and payload must be strings")
        if "payload" in special and args:
            raise DrmaaError("INVALID_ARGUMENT", "give args or a payload, not both")
        self.slots = number_in(given, "minSlots", 1.0, 1.0, 4096.0)
        if number_in(given, "maxSlots", self.slots, 1.0, 4096.0) < self.slots:
            raise DrmaaError("INVALID_ARGUMENT", "maxSlots is below minSlots")
        self.memory = number_in(given, "minPhysMemory", 0.0, 0.0, 1e12)
        self.deadline = unix_time(given.get("deadlineTime"), "deadlineTime")
        self.canonical = json.dumps(given, sort_keys=True, separators=(",", ":"))
        text = special["payload"] if "payload" in special else json.dumps({"args": args})
        self.body = text.encode("utf-8", "surrogatepass")


class Ticket:
    """One job that is not terminated; the engine's frontend for its session."""

    def __init__(self, front: DrmaaFront, job: Job) -> None:
        self.front, self.id = front, job.id
        self.session: Session | None = None
        self.rows: dict[int, int] = {}  # the record of each dispatch, by number
        self.deny_ms: float | None = None  # refused before it was acknowledged: when to come back
        self.acknowledged = False
        self.adopted: str | None = None  # the server that may have run it before a restart
        self.timer: Timer | None = None

    def sending(self, dispatch: Dispatch) -> bool:
        """Record the dispatch; a dispatch that can't be recorded is not sent."""
        try:
            self.rows[dispatch.number] = self.front.store.sending(self.id, dispatch.server, time.time())
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": self.id, "error": error}})
            return False
        return True

    def ended(self, dispatch: Dispatch) -> None:
        """Record how a dispatch ended: one that never ran may be sent again, after a restart too."""
        outcome, row = dispatch.outcome, self.rows.get(dispatch.number)
        if outcome is None or row is None:
            return
        try:
            self.front.store.ended(row, outcome.value, outcome.never_ran)
            if outcome.never_ran:
                self.front.store.set_state(self.id, JobState.QUEUED)
        except sqlite3.Error as error:  # then the record says that it may have run, which is the safe side
            log.error("store_failed", extra={"kv": {"job": self.id, "error": error}})

    def served(self, session: Session, result: bytes) -> None:
        """A server did the job."""
        self.front.finish(self, JobState.DONE, result=result)

    def denied(self, session: Session, retry_after_ms: float | None) -> None:
        """Refused, and it has not run."""
        if not self.acknowledged:
            self.deny_ms = retry_after_ms or 0.0
            return
        seconds = (retry_after_ms or 0.0) / 1000.0
        self.front.finish(
            self, JobState.FAILED, annotation="refused: it has not run and may be submitted again",
            retry_after=seconds,
        )

    def failed(self, session: Session) -> None:
        """Failed; it may have run."""
        self._unserved(session, "failed")

    def cancelled(self, session: Session) -> None:
        """Terminated as asked."""
        self._unserved(session, "terminated")

    def _unserved(self, session: Session, how: str) -> None:
        ran = "it may have run" if session.may_have_run else "it has not run"
        self.front.finish(self, JobState.FAILED, annotation=f"{how}: {ran}")


class Waiter:
    """One waitTerminated that is not answered yet."""

    def __init__(self, connection: Connection, job_id: str) -> None:
        self.connection, self.job_id = connection, job_id
        self.timer: Timer | None = None


class DrmaaFront:
    """Answers the DRMAA front's requests and keeps the tickets of the jobs that are not terminated."""

    def __init__(
        self, engine: Engine, runners: Runners, settings: Settings, store: JobStore, most_open: int,
        machine: str, console: Callable[[str, str, Any], Any] | None = None,
    ) -> None:
        self.engine, self.runners, self.settings, self.store = engine, runners, settings, store
        self.most_open, self.machine, self.console = most_open, machine, console
        self.tickets: dict[str, Ticket] = {}
        self.waiters: dict[str, list[Waiter]] = {}
        self.waiting = 0
        self.stopping = False

    # After a restart.

    def restore(self) -> None:
        """Take up the jobs of before a restart. None that may have run is sent again."""
        for job in self.store.open():
            ticket = self.tickets[job.id] = Ticket(self, job)
            ticket.acknowledged = True
            ran = [sent for sent in self.store.sent(job.id) if not sent.never_ran]
            log.info("job_restored", extra={"kv": {"job": job.id, "may_have_run": bool(ran)}})
            if not ran:
                self.store.set_state(job.id, JobState.QUEUED)
                try:
                    self._open(ticket, job, Template(json.loads(job.template), self.settings))
                except DrmaaError as error:  # the operator has changed the classes meanwhile
                    self.finish(ticket, JobState.FAILED, annotation=f"it has not run: {error}")
                continue
            # Guards against a second run: only its call-back or its deadline ends it.
            self.store.set_state(job.id, JobState.UNDETERMINED)
            ticket.adopted = ran[-1].server
            self.runners.adopt(job.id, ticket.adopted, partial(self._adopted_ended, ticket))
            ticket.timer = self.engine.clock.call_at(
                self._clock_ms(job.deadline), partial(self._adopted_overdue, ticket)
            )

    def _adopted_ended(self, ticket: Ticket, outcome: Outcome, result: bytes) -> None:
        if outcome is Outcome.OK:
            self.finish(ticket, JobState.DONE, result=result)
        elif outcome.never_ran:
            note = "handed back after a restart: it has not run and may be submitted again"
            self.finish(ticket, JobState.FAILED, annotation=note, retry_after=0.0)
        else:
            self.finish(ticket, JobState.FAILED, annotation="failed: it may have run")

    def _adopted_overdue(self, ticket: Ticket) -> None:
        note = "nothing was heard of it by its deadline since a restart: it has perhaps run"
        self.finish(ticket, JobState.FAILED, annotation=note)

    def _adopted_cancelled(self, ticket: Ticket) -> None:
        self.finish(ticket, JobState.FAILED, annotation="terminated: it may have run")

    # Jobs.

    def _clock_ms(self, unix_s: float) -> float:
        return self.engine.clock.now_ms() + (unix_s - time.time()) * 1000.0

    def _open(self, ticket: Ticket, job: Job, template: Template) -> None:
        name = job.id.encode()
        head = b"POST /api HTTP/1.1\r\nX-Call-Id: %s\r\nIdempotency-Key: %s\r\n" % (name, name)
        ticket.session = self.engine.open(
            ticket, job.id, Payload(head + b"Content-Type: application/json\r\n", template.body),
            template.index, self._clock_ms(job.deadline), slots=template.slots, memory=template.memory,
        )

    def finish(
        self, ticket: Ticket, state: JobState, *, result: bytes | None = None, annotation: str = "",
        retry_after: float | None = None,
    ) -> None:
        """Terminate a job, once, and tell those who wait for it."""
        if ticket.timer is not None:
            ticket.timer.cancel()
        if ticket.adopted is not None:
            self.runners.adopt(ticket.id, ticket.adopted, None)
        try:
            self.store.finish(
                ticket.id, state, time.time(), result=result, annotation=annotation, retry_after=retry_after
            )
            job = self.store.get(ticket.id)
        except sqlite3.Error as error:
            # Guards the end of a job against a full disk: it is not told before it is recorded, and not lost.
            log.error("store_failed", extra={"kv": {"job": ticket.id, "error": error}})
            again = partial(
                self.finish, ticket, state, result=result, annotation=annotation, retry_after=retry_after
            )
            ticket.timer = self.engine.clock.call_at(self.engine.clock.now_ms() + STORE_AGAIN_MS, again)
            return
        self.tickets.pop(ticket.id, None)
        for waiter in self.waiters.pop(ticket.id, []):
            self._release(waiter)
            if job is not None:
                self._answer(waiter.connection, 200, self.info(job))

    def run_job(self, submission: str, raw: Any, crowded: bool = False) -> tuple[int, Any]:
        """runJob: the same key and template are the same job, however often they come."""
        if not 0 < len(submission) <= 200 or not submission.isprintable():
            raise DrmaaError("INVALID_ARGUMENT", "runJob needs an Idempotency-Key of up to 200 characters")
        template = Template(raw, self.settings)
        earlier = self.store.of_submission(submission)
        if earlier is not None:
            if earlier.template != template.canonical:
                raise DrmaaError("INVALID_ARGUMENT", "this Idempotency-Key has made another job", 409)
            return 200, {"jobId": earlier.id, "jobState": earlier.state}
        if self.stopping or crowded or len(self.tickets) >= self.most_open:
            raise DrmaaError("TRY_LATER", "no more jobs are taken now", retry_after_ms=1000.0)
        now = time.time()
        deadline = now + self.settings.classes[template.index].deadline_ms / 1000.0
        if template.deadline is not None:
            if template.deadline <= now:
                raise DrmaaError("INVALID_ARGUMENT", "deadlineTime has passed")
            deadline = min(deadline, template.deadline)
        job = Job(
            uuid.uuid4().hex, submission, template.canonical, template.category, JobState.QUEUED, now,
            deadline,
        )
        try:
            self.store.add(job)
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"job": job.id, "error": error}})
            what = "the job could not be recorded"
            raise DrmaaError("OUT_OF_RESOURCE", what, retry_after_ms=5000.0) from error
        ticket = self.tickets[job.id] = Ticket(self, job)
        self._open(ticket, job, template)
        ticket.acknowledged = True
        if ticket.deny_ms is not None:
            del self.tickets[job.id]
            self.store.remove(job.id)
            raise DrmaaError("TRY_LATER", "refused: it has not run", retry_after_ms=ticket.deny_ms)
        made = self.store.get(job.id) or job
        return 201, {"jobId": job.id, "jobState": made.state}

    def find(self, job_id: str) -> Job:
        """The job of an id."""
        job = self.store.get(job_id)
        if job is None:
            raise DrmaaError("INVALID_ARGUMENT", f"there is no job {job_id}", 404)
        return job

    def terminate(self, job: Job) -> None:
        """Have a job cancelled. Its state tells what came of it."""
        ticket = self.tickets.get(job.id)
        if job.state.terminated or ticket is None:
            raise DrmaaError("INVALID_STATE", f"the job is {job.state} already")
        log.info("job_terminate", extra={"kv": {"job": job.id, "state": job.state}})
        if ticket.session is not None:
            self.engine.terminate(ticket.session)
        elif ticket.adopted is not None:
            self.runners.cancel_at(ticket.adopted, job.id, partial(self._adopted_cancelled, ticket))

    def info(self, job: Job) -> dict[str, Any]:
        """The specification's JobInfo, as far as it is known here."""
        sent = self.store.sent(job.id)
        info: dict[str, Any] = {
            "jobId": job.id,
            "jobName": json.loads(job.template).get("jobName"),
            "jobCategory": job.category,
            "jobState": job.state,
            "submissionMachine": self.machine,
            "allocatedMachines": [sent[-1].server] if sent else [],
            "submissionTime": job.submitted,
            "dispatchTime": sent[0].sent if sent else None,
            "finishTime": job.finished,
            "annotation": job.annotation,
            "implementationSpecific": {"deadlineTime": job.deadline, "dispatches": len(sent)},
        }
        if job.state is JobState.DONE:
            info["exitStatus"] = 0
            info["implementationSpecific"]["result"] = (job.result or b"").decode("utf-8", "replace")
        if job.retry_after is not None:
            info["implementationSpecific"]["retryAfter"] = job.retry_after
        return info

    # The transport's handler.

    def request(self, connection: Connection, request: Request) -> None:
        """Answer a request, or keep it until its job has ended."""
        try:
            self._serve(connection, request)
        except DrmaaError as error:
            self._refuse(connection, error)
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"error": error}})
            self._refuse(connection, DrmaaError("INTERNAL", "the job store failed"))

    def _refuse(self, connection: Connection, error: DrmaaError) -> None:
        headers = b""
        if error.retry_after_ms is not None:
            headers = b"Retry-After: %d\r\n" % max(1, math.ceil(error.retry_after_ms / 1000.0))
        self._answer(connection, error.status, {"error": error.name, "message": str(error)}, headers)

    def gone(self, connection: Connection) -> None:
        """A client that waited has left; the job goes on."""
        waiter, connection.session = connection.session, None
        if isinstance(waiter, Waiter):
            self._release(waiter)
            self.waiters.get(waiter.job_id, []).remove(waiter)

    def _answer(self, connection: Connection, status: int, value: Any, headers: bytes = b"") -> None:
        body = json.dumps(value).encode() + b"\n"
        connection.answer(status, body, b"Content-Type: application/json\r\n" + headers)

    def _serve(self, connection: Connection, request: Request) -> None:
        parts = unquote(request.path.decode("latin-1")).strip("/").split("/")
        method = request.method.decode("latin-1")
        raw: Any = None
        if request.body:
            try:
                raw = json.loads(request.body)
            except (ValueError, RecursionError) as error:
                raise DrmaaError("INVALID_ARGUMENT", f"the body is not JSON: {error}") from error
        if parts[0] == "console" and len(parts) == 2 and self.console is not None:
            try:
                self._answer(connection, 200, self.console(method, parts[1], raw))
            except KeyError as error:
                raise DrmaaError("INVALID_ARGUMENT", f"unknown: {error.args[0]}", 404) from error
            return
        if parts[:2] == ["drmaa2", "jobs"]:
            match (method, parts[2:]):
                case ("POST", []):
                    key = request.headers.get(b"idempotency-key", b"").decode("latin-1")
                    self._answer(connection, *self.run_job(key, raw, connection.crowded))
                    return
                case ("GET", []):
                    query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
                    jobs = self.store.latest(query.get("jobState", [None])[0], MOST_LISTED)
                    listed = [{"jobId": j.id, "jobCategory": j.category, "jobState": j.state} for j in jobs]
                    self._answer(connection, 200, listed)
                    return
                case ("GET", [job_id]):
                    self._answer(connection, 200, self.info(self.find(job_id)))
                    return
                case ("GET", [job_id, "state"]):
                    self._answer(connection, 200, {"jobId": job_id, "jobState": self.find(job_id).state})
                    return
                case ("POST", [job_id, "terminate"]):
                    self.terminate(self.find(job_id))
                    self._answer(connection, 202, {"jobId": job_id, "jobState": self.find(job_id).state})
                    return
                case ("POST", [job_id, "waitTerminated"]):
                    self._wait(connection, self.find(job_id), raw)
                    return
                case ("DELETE", [job_id]):
                    if not self.find(job_id).state.terminated:
                        raise DrmaaError("INVALID_STATE", "only a terminated job can be reaped")
                    self.store.remove(job_id)
                    connection.answer(204)
                    return
        raise DrmaaError("UNSUPPORTED_OPERATION", f"{method} /{'/'.join(parts)} is not supported")

    # Those who wait.

    def _wait(self, connection: Connection, job: Job, raw: Any) -> None:
        if raw is not None and not isinstance(raw, dict):
            raise DrmaaError("INVALID_ARGUMENT", "the body must be an object")
        timeout = number_in(raw or {}, "timeout", LONGEST_WAIT_S, -1.0, LONGEST_WAIT_S)
        if job.state.terminated:
            self._answer(connection, 200, self.info(job))
            return
        if timeout == 0:
            raise DrmaaError("TIMEOUT", "the job has not ended")
        if self.waiting >= MOST_WAITING:
            raise DrmaaError("TRY_LATER", "too many wait already", retry_after_ms=1000.0)
        waiter = connection.session = Waiter(connection, job.id)
        self.waiters.setdefault(job.id, []).append(waiter)
        self.waiting += 1
        if timeout > 0:
            until = self.engine.clock.now_ms() + timeout * 1000.0
            waiter.timer = self.engine.clock.call_at(until, partial(self._waited, waiter))

    def _release(self, waiter: Waiter) -> None:
        self.waiting -= 1
        waiter.connection.session = None
        if waiter.timer is not None:
            waiter.timer.cancel()

    def _waited(self, waiter: Waiter) -> None:
        self._release(waiter)
        self.waiters[waiter.job_id].remove(waiter)
        self._refuse(waiter.connection, DrmaaError("TIMEOUT", "the job has not ended"))
