"""The DRMAA front: job submission in DRMAA2's vocabulary, as JSON over HTTP (docs/drmaa.md).

A job's life is the job service's; what is here reads calls, answers them and keeps those who wait.
"""

from __future__ import annotations

import json
import logging
import math
import sqlite3
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any
from urllib.parse import parse_qs, unquote

from grebestack.drmaa.errors import DrmaaError, from_job_error
from grebestack.drmaa.template import Bulk, Graph, TemplateConverter, Wait, checked, schema
from grebestack.jobs.records import NO_DEADLINE, Batch, Job, JobError, JobState
from grebestack.jobs.service import JobService
from grebestack.routing.interfaces import Clock, Timer
from grebestack.transport.server import Connection, HttpRequest

log = logging.getLogger(__name__)
MOST_LISTED = 1000
MOST_WAITING = 4096  # bounds the memory of all who wait
AT_ONCE = 50  # jobs of an array that one turn of the loop holds, releases or terminates
CREATED, FOUND = 201, 200


class Waiter:
    """One waitTerminated that is not answered yet."""

    def __init__(self, connection: Connection, job_id: str) -> None:
        self.connection, self.job_id = connection, job_id
        self.timer: Timer | None = None


class Pending:
    """A submission that is being recorded; the client may leave meanwhile."""

    def __init__(self, connection: Connection) -> None:
        self.connection: Connection | None = connection


class DrmaaApi:
    """Answers the DRMAA front's requests."""

    def __init__(
        self,
        service: JobService,
        templates: TemplateConverter,
        clock: Clock,
        machine: str,
        console: Callable[[str, str, Any], Any] | None = None,
    ) -> None:
        self.service, self.templates, self.clock = service, templates, clock
        self.machine, self.console = machine, console
        self.waiters: dict[str, list[Waiter]] = {}
        self.waiting = 0
        service.on_job_ended = self._job_ended

    # What clients are told.

    def info(self, job: Job) -> dict[str, Any]:
        """The specification's JobInfo, as far as it is known here."""
        sent = self.service.store.attempts(job.id)
        template = json.loads(job.template)
        special: dict[str, Any] = {
            "deadlineTime": None if job.deadline == NO_DEADLINE else job.deadline,
            "dispatches": len(sent),
        }
        info: dict[str, Any] = {
            "jobId": job.id,
            "jobName": template.get("jobName"),
            "jobCategory": job.category,
            "jobState": job.state,
            "jobSubState": self.service.wait_reason(job.id) or None,
            "submissionMachine": self.machine,
            "allocatedMachines": [sent[-1].worker] if sent else [],
            "submissionTime": job.submitted,
            "dispatchTime": sent[0].sent_s if sent else None,
            "finishTime": job.finished,
            "annotation": job.annotation,
            "implementationSpecific": special,
        }
        if not job.direct:
            special |= {"startTime": job.start, "wantedTime": job.wanted, "readyTime": job.ready}
        if job.batch is not None:
            special |= {"submission": job.batch, "index": job.number, "name": job.label or None}
        if job.state is JobState.DONE:
            info["exitStatus"] = 0
            special["result"] = (job.result or b"").decode("utf-8", "replace")
        if job.retry_after is not None:
            special["retryAfter"] = job.retry_after
        return info

    def _batch(self, batch: Batch) -> dict[str, Any]:
        states = self.service.store.batch_state_counts(batch.id)
        members = self.service.store.batch_members(batch.id, MOST_LISTED)
        told: dict[str, Any] = {"size": sum(states.values()), "states": states}
        if batch.is_array:
            ids = [name for name, _, _ in members]
            return {"jobArrayId": batch.id, "maxParallel": batch.max_parallel, **told, "jobs": ids}
        return {"submissionId": batch.id, **told, "jobs": {label: name for name, _, label in members}}

    def _listed(self, state: str | None) -> list[dict[str, Any]]:
        return [
            {
                "jobId": job_id,
                "jobCategory": category,
                "jobState": job_state,
                "jobSubState": self.service.wait_reason(job_id) or None,
            }
            for job_id, category, job_state in self.service.store.newest(state, MOST_LISTED)
        ]

    # The transport's handler.

    def on_request(self, connection: Connection, request: HttpRequest) -> None:
        """Answer a request, or keep it until its job has ended or its jobs are recorded."""
        try:
            self._serve(connection, request)
        except DrmaaError as error:
            self._refuse(connection, error)
        except JobError as error:
            self._refuse(connection, from_job_error(error))
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"error": error}})
            self._refuse(connection, DrmaaError("INTERNAL", "the job store failed"))

    def _refuse(self, connection: Connection, error: DrmaaError) -> None:
        headers = b""
        if error.retry_after_ms is not None:
            headers = b"Retry-After: %d\r\n" % max(1, math.ceil(error.retry_after_ms / 1000.0))
        self._answer(connection, error.status, {"error": error.name, "message": str(error)}, headers)

    def on_disconnect(self, connection: Connection) -> None:
        """A client that waited has left; the job goes on."""
        waiter, connection.handler_data = connection.handler_data, None
        if isinstance(waiter, Waiter):
            self._release(waiter)
            self.waiters.get(waiter.job_id, []).remove(waiter)
        elif isinstance(waiter, Pending):
            waiter.connection = None

    def _answer(self, connection: Connection, status: int, value: Any, headers: bytes = b"") -> None:
        body = json.dumps(value).encode() + b"\n"
        connection.respond(status, body, b"Content-Type: application/json\r\n" + headers)

    def _serve(self, connection: Connection, request: HttpRequest) -> None:
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
        service = self.service
        match (method, parts):
            case ("GET", ["drmaa2", "schema", "jobTemplate"]):
                self._answer(connection, 200, schema())
            case ("POST", ["drmaa2", "jobs"]):
                job, new = service.submit(key_of(request), self.templates.new_job(raw), connection.over_limit)
                told = {"jobId": job.id, "jobState": job.state}
                self._answer(connection, CREATED if new else FOUND, told)
            case ("POST", ["drmaa2", "jobs", "bulk"]):
                self._run_bulk(connection, key_of(request), raw)
            case ("POST", ["drmaa2", "jobs", "graph"]):
                self._run_graph(connection, key_of(request), raw)
            case ("GET", ["drmaa2", "jobs"]):
                query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
                self._answer(connection, 200, self._listed(query.get("jobState", [None])[0]))
            case ("GET", ["drmaa2", "jobs", job_id]):
                self._answer(connection, 200, self.info(service.find(job_id)))
            case ("GET", ["drmaa2", "jobs", job_id, "state"]):
                told = {"jobId": job_id, "jobState": service.find(job_id).state}
                self._answer(connection, 200, told | {"jobSubState": service.wait_reason(job_id) or None})
            case ("POST", ["drmaa2", "jobs", job_id, "terminate" | "hold" | "release" as what]):
                getattr(service, what)(service.find(job_id))
                told = {"jobId": job_id, "jobState": service.find(job_id).state}
                self._answer(connection, 202 if what == "terminate" else 200, told)
            case ("POST", ["drmaa2", "jobs", job_id, "waitTerminated"]):
                self._wait(connection, service.find(job_id), raw)
            case ("DELETE", ["drmaa2", "jobs", job_id]):
                if not service.find(job_id).state.terminated:
                    raise DrmaaError("INVALID_STATE", "only a terminated job can be reaped")
                service.store.remove(job_id)
                connection.respond(204)
            case ("GET", ["drmaa2", "jobarrays" | "submissions", batch_id]):
                self._answer(connection, 200, self._batch(self._find_batch(batch_id)))
            case (
                "POST",
                ["drmaa2", "jobarrays" | "submissions", batch_id, "terminate" | "hold" | "release" as what],
            ):
                batch = self._find_batch(batch_id)
                self._each(batch.id, what, -1)
                self._answer(connection, 202, self._batch(batch))
            case _:
                raise DrmaaError("UNSUPPORTED_OPERATION", f"{method} /{'/'.join(parts)} is not supported")

    # Submissions of several jobs.

    def _find_batch(self, batch_id: str) -> Batch:
        batch = self.service.store.find_batch("id", batch_id)
        if batch is None or not batch.complete:
            raise DrmaaError("INVALID_ARGUMENT", f"there is no submission {batch_id}", 404)
        return batch

    def _run_bulk(self, connection: Connection, key: str, raw: Any) -> None:
        bulk = checked(raw, Bulk, "the call")
        numbers = range(bulk.begin_index, bulk.end_index + 1, bulk.step)
        if not numbers:
            what = f"endIndex: {bulk.end_index} is below beginIndex, {bulk.begin_index}"
            raise DrmaaError("INVALID_ARGUMENT", what)
        new = self.templates.new_job(bulk.job_template, waits=True)
        self.service.submit_batch(
            key,
            canonical(raw),
            lambda number: new,
            numbers,
            True,
            bulk.max_parallel,
            self._recorded(connection),
            connection.over_limit,
        )

    def _run_graph(self, connection: Connection, key: str, raw: Any) -> None:
        graph = checked(raw, Graph, "the call")
        news = []
        for name, template in graph.jobs.items():
            try:
                news.append(self.templates.new_job(template, name, waits=True))
            except DrmaaError as error:
                raise DrmaaError(error.name, f"jobs.{name}: {error}", error.status) from error
        self.service.submit_batch(
            key,
            canonical(raw),
            news,
            range(len(news)),
            False,
            None,
            self._recorded(connection),
            connection.over_limit,
        )

    def _recorded(self, connection: Connection) -> Callable[[Batch | JobError], None]:
        pending = connection.handler_data = Pending(connection)

        def done(batch: Batch | JobError) -> None:
            connection = pending.connection
            if connection is None:
                return
            connection.handler_data = None
            if isinstance(batch, JobError):
                self._refuse(connection, from_job_error(batch))
            else:
                self._answer(connection, FOUND if batch.complete else CREATED, self._batch(batch))

        return done

    def _each(self, batch_id: str, what: str, beyond: int) -> None:
        """Hold, release or terminate the jobs of a submission beyond a number, some at a time."""
        try:
            members = self.service.store.batch_members(batch_id, AT_ONCE, beyond)
            for job_id, _, _ in members:
                # One that has ended, or runs, meanwhile is passed over.
                with suppress(JobError):
                    getattr(self.service, what)(self.service.find(job_id))
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"batch": batch_id, "error": error}})
            return
        if len(members) == AT_ONCE:
            rest = partial(self._each, batch_id, what, members[-1][1])
            self.clock.call_at(self.clock.now_ms(), rest)

    # Those who wait.

    def _wait(self, connection: Connection, job: Job, raw: Any) -> None:
        timeout = checked({} if raw is None else raw, Wait, "the call").timeout
        if job.state.terminated:
            self._answer(connection, 200, self.info(job))
            return
        if timeout == 0:
            raise DrmaaError("TIMEOUT", "the job has not ended")
        if self.waiting >= MOST_WAITING:
            raise DrmaaError("TRY_LATER", "too many wait already", retry_after_ms=1000.0)
        waiter = connection.handler_data = Waiter(connection, job.id)
        self.waiters.setdefault(job.id, []).append(waiter)
        self.waiting += 1
        if timeout > 0:
            until = self.clock.now_ms() + timeout * 1000.0
            waiter.timer = self.clock.call_at(until, partial(self._waited, waiter))

    def _job_ended(self, job: Job) -> None:
        for waiter in self.waiters.pop(job.id, []):
            self._release(waiter)
            self._answer(waiter.connection, 200, self.info(job))

    def _release(self, waiter: Waiter) -> None:
        self.waiting -= 1
        waiter.connection.handler_data = None
        if waiter.timer is not None:
            waiter.timer.cancel()

    def _waited(self, waiter: Waiter) -> None:
        self._release(waiter)
        self.waiters[waiter.job_id].remove(waiter)
        self._refuse(waiter.connection, DrmaaError("TIMEOUT", "the job has not ended"))


def key_of(request: HttpRequest) -> str:
    """The client's key, which makes a submission safe to repeat."""
    key = request.headers.get(b"idempotency-key", b"").decode("latin-1")
    if not 0 < len(key) <= 200 or not key.isprintable():
        raise DrmaaError("INVALID_ARGUMENT", "a submission needs an Idempotency-Key of up to 200 characters")
    return key


def canonical(raw: Any) -> str:
    """A message as it is compared with a repeat of it."""
    return json.dumps(raw, sort_keys=True, separators=(",", ":"))
