"""The DRMAA2 API: job submission as JSON over HTTP (docs/drmaa.md).

The job service runs the jobs. This module reads calls, responds to them and keeps those that wait for a job.
"""

from __future__ import annotations

import json
import logging
import math
import sqlite3
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import parse_qs, unquote

from grebestack.drmaa.errors import DrmaaError, from_job_error
from grebestack.drmaa.template import (
    BulkSubmission,
    GraphSubmission,
    TemplateConverter,
    WaitArguments,
    schema,
    validate,
)
from grebestack.jobs.batch_control import BatchOperation
from grebestack.jobs.records import NO_DEADLINE, Batch, Job, JobError, JobState
from grebestack.jobs.service import JobService
from grebestack.routing.interfaces import Clock, Timer
from grebestack.transport.http_message import HttpRequest
from grebestack.transport.server import Connection

log = logging.getLogger(__name__)
MAX_LISTED_JOBS = 1000
MAX_WAITING_CALLS = 4096  # bounds their memory
CREATED, FOUND = 201, 200


class WaitingCall:
    """A call of waitTerminated that waits for its job."""

    def __init__(self, connection: Connection, job_id: str) -> None:
        self.connection, self.job_id = connection, job_id
        self.timer: Timer | None = None


class PendingSubmission:
    """A submission that is being recorded; its connection is None if the client closes it meanwhile."""

    def __init__(self, connection: Connection) -> None:
        self.connection: Connection | None = connection


class DrmaaApi:
    """Handles the requests of DRMAA2 clients and of the console."""

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
        self.waiting_calls: dict[str, list[WaitingCall]] = {}
        self.waiting_count = 0
        service.on_job_ended = self._job_ended

    # Contents of responses.

    def info(self, job: Job) -> dict[str, Any]:
        """Return the specification's JobInfo, as far as it is known here."""
        sent = self.service.store.attempts(job.id)
        template = json.loads(job.template)
        extras: dict[str, Any] = {
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
            "implementationSpecific": extras,
        }
        if not job.direct:
            extras |= {"startTime": job.start, "wantedTime": job.wanted, "readyTime": job.ready}
        if job.batch is not None:
            extras |= {"submission": job.batch, "index": job.number, "name": job.label or None}
        if job.state is JobState.DONE:
            info["exitStatus"] = 0
            extras["result"] = (job.result or b"").decode("utf-8", "replace")
        if job.retry_after is not None:
            extras["retryAfter"] = job.retry_after
        return info

    def _batch(self, batch: Batch) -> dict[str, Any]:
        states = self.service.store.batch_state_counts(batch.id)
        members = self.service.store.batch_members(batch.id, MAX_LISTED_JOBS)
        content: dict[str, Any] = {"size": sum(states.values()), "states": states}
        if batch.is_array:
            ids = [name for name, _, _ in members]
            return {"jobArrayId": batch.id, "maxParallel": batch.max_parallel, **content, "jobs": ids}
        return {"submissionId": batch.id, **content, "jobs": {label: name for name, _, label in members}}

    def _job_list(self, state: str | None) -> list[dict[str, Any]]:
        return [
            {
                "jobId": job_id,
                "jobCategory": category,
                "jobState": job_state,
                "jobSubState": self.service.wait_reason(job_id) or None,
            }
            for job_id, category, job_state in self.service.store.newest(state, MAX_LISTED_JOBS)
        ]

    # Implements `transport.server.Handler`.

    def on_request(self, connection: Connection, request: HttpRequest) -> None:
        """Respond to a request at once, or when its job has ended or its jobs are recorded."""
        try:
            self._serve(connection, request)
        except DrmaaError as error:
            self._respond_error(connection, error)
        except JobError as error:
            self._respond_error(connection, from_job_error(error))
        except sqlite3.Error as error:
            log.error("store_failed", extra={"kv": {"error": error}})
            self._respond_error(connection, DrmaaError("INTERNAL", "the job store failed"))

    def _respond_error(self, connection: Connection, error: DrmaaError) -> None:
        headers = b""
        if error.retry_after_ms is not None:
            headers = b"Retry-After: %d\r\n" % max(1, math.ceil(error.retry_after_ms / 1000.0))
        self._respond(connection, error.status, {"error": error.name, "message": str(error)}, headers)

    def on_disconnect(self, connection: Connection) -> None:
        """A client has closed its connection before the response; its jobs go on."""
        call, connection.handler_data = connection.handler_data, None
        if isinstance(call, WaitingCall):
            self._remove_call(call)
            self.waiting_calls.get(call.job_id, []).remove(call)
        elif isinstance(call, PendingSubmission):
            call.connection = None

    def _respond(self, connection: Connection, status: int, value: Any, headers: bytes = b"") -> None:
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
                self._respond(connection, 200, self.console(method, parts[1], raw))
            except KeyError as error:
                raise DrmaaError("INVALID_ARGUMENT", f"unknown: {error.args[0]}", 404) from error
            return
        service = self.service
        match (method, parts):
            case ("GET", ["drmaa2", "schema", "jobTemplate"]):
                self._respond(connection, 200, schema())
            case ("POST", ["drmaa2", "jobs"]):
                job, new = service.submit(
                    idempotency_key(request), self.templates.new_job(raw), connection.is_overloaded
                )
                content = {"jobId": job.id, "jobState": job.state}
                self._respond(connection, CREATED if new else FOUND, content)
            case ("POST", ["drmaa2", "jobs", "bulk"]):
                self._run_bulk(connection, idempotency_key(request), raw)
            case ("POST", ["drmaa2", "jobs", "graph"]):
                self._run_graph(connection, idempotency_key(request), raw)
            case ("GET", ["drmaa2", "jobs"]):
                query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
                self._respond(connection, 200, self._job_list(query.get("jobState", [None])[0]))
            case ("GET", ["drmaa2", "jobs", job_id]):
                self._respond(connection, 200, self.info(service.find(job_id)))
            case ("GET", ["drmaa2", "jobs", job_id, "state"]):
                content = {"jobId": job_id, "jobState": service.find(job_id).state}
                self._respond(connection, 200, content | {"jobSubState": service.wait_reason(job_id) or None})
            case ("POST", ["drmaa2", "jobs", job_id, "terminate" | "hold" | "release" as operation]):
                getattr(service, operation)(service.find(job_id))
                content = {"jobId": job_id, "jobState": service.find(job_id).state}
                self._respond(connection, 202 if operation == "terminate" else 200, content)
            case ("POST", ["drmaa2", "jobs", job_id, "waitTerminated"]):
                self._wait(connection, service.find(job_id), raw)
            case ("DELETE", ["drmaa2", "jobs", job_id]):
                if not service.find(job_id).state.terminated:
                    raise DrmaaError("INVALID_STATE", "only a terminated job can be reaped")
                service.store.remove(job_id)
                connection.respond(204)
            case ("GET", ["drmaa2", "jobarrays" | "submissions", batch_id]):
                self._respond(connection, 200, self._batch(self._find_batch(batch_id)))
            case (
                "POST",
                [
                    "drmaa2",
                    "jobarrays" | "submissions",
                    batch_id,
                    "terminate" | "hold" | "release" as operation,
                ],
            ):
                batch = self._find_batch(batch_id)
                service.batch_control.start(batch.id, BatchOperation(operation))
                self._respond(connection, 202, self._batch(batch))
            case _:
                raise DrmaaError("UNSUPPORTED_OPERATION", f"{method} /{'/'.join(parts)} is not supported")

    # Submissions of several jobs.

    def _find_batch(self, batch_id: str) -> Batch:
        batch = self.service.store.find_batch("id", batch_id)
        if batch is None or not batch.complete:
            raise DrmaaError("INVALID_ARGUMENT", f"there is no submission {batch_id}", 404)
        return batch

    def _run_bulk(self, connection: Connection, key: str, raw: Any) -> None:
        bulk = validate(raw, BulkSubmission, "the call")
        numbers = range(bulk.begin_index, bulk.end_index + 1, bulk.step)
        if not numbers:
            message = f"endIndex: {bulk.end_index} is below beginIndex, {bulk.begin_index}"
            raise DrmaaError("INVALID_ARGUMENT", message)
        new_job = self.templates.new_job(bulk.job_template, may_wait=True)
        self.service.submit_batch(
            key,
            canonical(raw),
            lambda number: new_job,
            numbers,
            True,
            bulk.max_parallel,
            self._on_recorded(connection),
            connection.is_overloaded,
        )

    def _run_graph(self, connection: Connection, key: str, raw: Any) -> None:
        graph = validate(raw, GraphSubmission, "the call")
        new_jobs = []
        for name, template in graph.jobs.items():
            try:
                new_jobs.append(self.templates.new_job(template, name, may_wait=True))
            except DrmaaError as error:
                raise DrmaaError(error.name, f"jobs.{name}: {error}", error.status) from error
        self.service.submit_batch(
            key,
            canonical(raw),
            new_jobs,
            range(len(new_jobs)),
            False,
            None,
            self._on_recorded(connection),
            connection.is_overloaded,
        )

    def _on_recorded(self, connection: Connection) -> Callable[[Batch | JobError], None]:
        pending = connection.handler_data = PendingSubmission(connection)

        def done(batch: Batch | JobError) -> None:
            connection = pending.connection
            if connection is None:
                return
            connection.handler_data = None
            if isinstance(batch, JobError):
                self._respond_error(connection, from_job_error(batch))
            else:
                self._respond(connection, FOUND if batch.complete else CREATED, self._batch(batch))

        return done

    # Calls that wait for a job.

    def _wait(self, connection: Connection, job: Job, raw: Any) -> None:
        timeout = validate({} if raw is None else raw, WaitArguments, "the call").timeout
        if job.state.terminated:
            self._respond(connection, 200, self.info(job))
            return
        if timeout == 0:
            raise DrmaaError("TIMEOUT", "the job has not ended")
        if self.waiting_count >= MAX_WAITING_CALLS:
            raise DrmaaError("TRY_LATER", "too many calls wait for jobs", retry_after_ms=1000.0)
        call = connection.handler_data = WaitingCall(connection, job.id)
        self.waiting_calls.setdefault(job.id, []).append(call)
        self.waiting_count += 1
        if timeout > 0:
            until = self.clock.now_ms() + timeout * 1000.0
            call.timer = self.clock.call_at(until, partial(self._on_wait_timeout, call))

    def _job_ended(self, job: Job) -> None:
        for call in self.waiting_calls.pop(job.id, []):
            self._remove_call(call)
            self._respond(call.connection, 200, self.info(job))

    def _remove_call(self, call: WaitingCall) -> None:
        self.waiting_count -= 1
        call.connection.handler_data = None
        if call.timer is not None:
            call.timer.cancel()

    def _on_wait_timeout(self, call: WaitingCall) -> None:
        self._remove_call(call)
        self.waiting_calls[call.job_id].remove(call)
        self._respond_error(call.connection, DrmaaError("TIMEOUT", "the job has not ended"))


def idempotency_key(request: HttpRequest) -> str:
    """Return the client's idempotency key, which makes a submission safe to repeat."""
    key = request.headers.get(b"idempotency-key", b"").decode("latin-1")
    if not 0 < len(key) <= 200 or not key.isprintable():
        raise DrmaaError("INVALID_ARGUMENT", "a submission needs an Idempotency-Key of up to 200 characters")
    return key


def canonical(raw: Any) -> str:
    """Return a message in the form in which a repeat of it is compared with it."""
    return json.dumps(raw, sort_keys=True, separators=(",", ":"))
