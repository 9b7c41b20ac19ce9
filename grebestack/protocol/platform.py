"""The platform's HTTP API: clients post jobs and wait for the answer, and workers post call-backs."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from grebestack.core.api import Effect, Settings
from grebestack.protocol.http_workers import CallbackResult
from grebestack.protocol.job_request import JobRequest, JobRequestParser, MalformedFieldError
from grebestack.protocol.recent_call_ids import RecentCallIds
from grebestack.routing.engine import Engine
from grebestack.routing.requests import NO_HISTORY, Attempt, InFlightAttempt, Request, RequestHistory
from grebestack.transport.http_message import HttpRequest
from grebestack.transport.server import Connection

log = logging.getLogger(__name__)
DEADLINE_MARGIN_MS = 5.0  # the client's time limit began before the last byte of its request arrived
CONNECTIONS_PER_SPARE = 6  # during a planned stop one of this many clients' connections is kept free
STOPPING_RETRY_AFTER_MS = 100.0


@dataclass(frozen=True, slots=True)
class HandedOverJob:
    """What another process knew of a job that it accepted: the client's deadline, and the attempts."""

    deadline_ms: float
    history: RequestHistory = NO_HISTORY
    in_flight: InFlightAttempt | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt is not proven never to have run."""
        return self.in_flight is not None or self.history.first_possible_run is not None


class PlatformApi:
    """Opens a request for each job that is posted; its answer is sent on the connection of the job."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        on_callback: Callable[[bytes], CallbackResult],
        accepts_jobs: bool = True,
    ) -> None:
        self.engine, self.on_callback, self.accepts_jobs = engine, on_callback, accepts_jobs
        self.update_settings(settings)
        # During a hot restart: offers a call-back to the other process, and whether a call id is open there.
        self.query_other_process: Callable[[bytes, Callable[[bool | None], None]], None] | None = None
        self.is_open_elsewhere: Callable[[str], bool] = lambda call_id: False
        self.ended_ids = RecentCallIds(engine.clock)
        self.next_malformed_log_ms = 0.0
        self.ready = False
        self.stopping = False  # a planned stop has begun: no new connections will reach this dispatcher
        self.latest_deadline_ms = math.inf  # during a planned stop, for jobs that arrive from now on
        # A job whose deadline is after `kill_ms` is answered by `answer_by_ms`, which is before the kill.
        self.kill_ms = self.answer_by_ms = math.inf
        self.rejecting = False  # all jobs are rejected

    def update_settings(self, settings: Settings) -> None:
        """Apply the classes and tenants of new settings to jobs that arrive from now on."""
        self.job_parser = JobRequestParser(settings)
        self.max_retry_after_ms = settings.max_retry_after_ms if settings.retry_after else None

    def limit_deadlines(self, latest_ms: float) -> None:
        """Answer jobs that arrive from now on by this time at the latest."""
        self.latest_deadline_ms = latest_ms

    def answer_before_kill(self, kill_ms: float, answer_by_ms: float) -> None:
        """Answer all jobs before this process is killed, including those that are open.

        A job whose deadline is before the kill keeps it.
        """
        self.kill_ms, self.answer_by_ms = kill_ms, answer_by_ms
        for request in self.engine.open_requests():
            is_own = isinstance(request.listener, PlatformResponder) and request.listener.api is self
            if is_own and request.arrival.deadline_ms > kill_ms:
                self.engine.shorten_deadline(request, answer_by_ms)

    def _deadline_ms(self, limit_ms: float) -> float:
        """Return the deadline of a job that has just arrived with this time limit."""
        deadline_ms = self.engine.clock.now_ms() + limit_ms - DEADLINE_MARGIN_MS
        return min(self.deadline_before_kill_ms(deadline_ms), self.latest_deadline_ms)

    def deadline_before_kill_ms(self, deadline_ms: float) -> float:
        """Return a deadline, or the time to answer by if this process is killed before it."""
        return self.answer_by_ms if deadline_ms > self.kill_ms else deadline_ms

    # The transport's handler.

    def on_request(self, connection: Connection, http_request: HttpRequest) -> None:
        """Handle an HTTP request according to its path."""
        path, is_get = http_request.path, http_request.method in (b"GET", b"HEAD")
        if path == b"/callback" and http_request.method == b"POST":
            self._handle_callback(connection, http_request.body)
        elif path == b"/health/ready" and is_get:
            connection.respond(200 if self.ready else 503)
        elif path == b"/health/live" and is_get:
            connection.respond(200)
        elif path == b"/api" and self.accepts_jobs:
            connection.is_client = True
            self._handle_job(connection, http_request)
        else:
            connection.respond(404)

    def _handle_callback(self, connection: Connection, body: bytes) -> None:
        result = self.on_callback(body)
        if result is not CallbackResult.UNKNOWN or self.query_other_process is None:
            connection.respond(400 if result is CallbackResult.MALFORMED else 204)
        else:
            # The job may belong to the other process: with a 204 the worker would not call back again, and
            # that process would never learn of the end. A 503 makes the worker retry.
            self.query_other_process(
                body, lambda accepted: connection.respond(503 if accepted is None else 204)
            )

    def on_disconnect(self, connection: Connection) -> None:
        """The client has disconnected."""
        if connection.handler_data is not None:
            request, connection.handler_data = connection.handler_data, None
            self.engine.on_client_disconnected(request)
            self.on_ended(request)

    def on_ended(self, request: Request) -> None:
        """Remember the call id of a request that must not run again."""
        job_class = self.engine.settings.classes[request.arrival.job_class]
        if job_class.effect is not Effect.IDEMPOTENT and request.may_have_run:
            self.ended_ids.add(request.call_id)

    def _handle_job(self, connection: Connection, http_request: HttpRequest) -> None:
        if http_request.method != b"POST":
            connection.respond(405, headers=b"Allow: POST\r\n")
            return
        try:
            job = self.job_parser.parse(http_request)
        except MalformedFieldError as error:
            self._answer_malformed(connection, error.name, http_request)
            return
        if connection.has_peer_closed():
            self.engine.counts["gone"] += 1
            connection.disconnect()
            return
        if connection.is_overloaded or self.rejecting:
            self.engine.counts["refused_rejecting" if self.rejecting else "refused_overload"] += 1
            self.reject(connection, self.max_retry_after_ms)
            return
        # During a planned stop clients can't open new connections. A job on the last free one would leave the
        # jobs behind it without a connection for its whole run, so it is rejected; it may be sent again.
        if self.stopping and self._has_few_free_connections(connection):
            self.engine.counts["refused_stopping"] += 1
            self.reject(connection, None if self.max_retry_after_ms is None else STOPPING_RETRY_AFTER_MS)
            return
        if job.call_id in self.ended_ids or self.is_open_elsewhere(job.call_id):
            connection.respond(409)
            return
        request = self._open(connection, http_request, job, self._deadline_ms(job.limit_ms))
        if request is None:
            connection.respond(409)

    def adopt_job(
        self, connection: Connection, http_request: HttpRequest, handed_over: HandedOverJob
    ) -> None:
        """Go on with a job that another process has accepted; `connection` may be open a little later.

        It is never refused, since it may have run. One whose class is unknown here is not sent again.
        """
        history = handed_over.history
        try:
            job = self.job_parser.parse(http_request)
        except MalformedFieldError:
            job = self.job_parser.unsendable(http_request)
            history = replace(history, attempt_count=self.engine.settings.max_attempts)
        connection.adopt_request(http_request)
        request = self._open(
            connection, http_request, job, handed_over.deadline_ms, history, handed_over.in_flight
        )
        if request is None:
            connection.respond(502 if handed_over.may_have_run else 409)
            return
        deadline_ms = min(self.deadline_before_kill_ms(handed_over.deadline_ms), self.latest_deadline_ms)
        self.engine.shorten_deadline(request, deadline_ms)

    def _open(
        self,
        connection: Connection,
        http_request: HttpRequest,
        job: JobRequest,
        deadline_ms: float,
        history: RequestHistory = NO_HISTORY,
        in_flight: InFlightAttempt | None = None,
    ) -> Request | None:
        """Open the request of a job; None if its call id is open already."""
        request = self.engine.open_request(
            PlatformResponder(self, connection, http_request),
            job.call_id,
            job.payload,
            job.job_class,
            deadline_ms,
            slots=job.slots,
            memory=job.memory,
            key=job.cache_key,
            tenant=job.tenant,
            cost_ms=job.cost_ms,
            retry=job.is_retry,
            history=history,
            in_flight=in_flight,
        )
        if request is not None and not request.closed:
            connection.handler_data = request
        return request

    def _has_few_free_connections(self, connection: Connection) -> bool:
        """Whether less than the reserved share of the clients' connections is free."""
        free = sum(other.is_client for other in connection.acceptor.idle_connections)
        return (
            free < sum(other.is_client for other in connection.acceptor.connections) // CONNECTIONS_PER_SPARE
        )

    def _answer_malformed(self, connection: Connection, name: str, http_request: HttpRequest) -> None:
        """Answer 400. At most one log line a second: a client that repeats itself must not fill the log."""
        self.engine.counts["malformed"] += 1
        connection.count_malformed_request()
        if self.engine.clock.now_ms() >= self.next_malformed_log_ms:
            self.next_malformed_log_ms = self.engine.clock.now_ms() + 1000.0
            value = (
                http_request.target if name == "target" else http_request.headers.get(name.lower().encode())
            )
            call_id = http_request.headers.get(b"x-call-id", b"")[:80].decode("latin-1")
            fields = {"call_id": call_id, "field": name, "value": f"{value!r:.80}"}
            log.info("malformed", extra={"kv": fields})
        connection.respond(400)

    def reject(self, connection: Connection, retry_after_ms: float | None) -> None:
        """Answer that the job was not executed, and after how long it may be retried."""
        header = b"" if retry_after_ms is None else b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0)
        connection.respond(503, headers=header)


class PlatformResponder:
    """Answers one job on the connection on which it was posted."""

    __slots__ = ("api", "connection", "http_request")

    def __init__(self, api: PlatformApi, connection: Connection, http_request: HttpRequest) -> None:
        self.api, self.connection, self.http_request = api, connection, http_request

    def is_client_gone(self) -> bool:
        """Whether the client has closed its side of the connection."""
        return self.connection.has_peer_closed()

    def before_send(self, attempt: Attempt) -> bool:
        """Allow it: these jobs are not recorded."""
        return True

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Do nothing: these jobs are not recorded."""

    def on_served(self, request: Request, result: bytes) -> None:
        """A worker has done the job."""
        self.connection.handler_data = None
        self.api.on_ended(request)
        self.connection.respond(200, result)

    def on_rejected(self, request: Request, retry_after_ms: float | None) -> None:
        """The job was not executed; a retry is harmless."""
        self.connection.handler_data = None
        self.api.reject(self.connection, retry_after_ms)

    def on_failed(self, request: Request) -> None:
        """The request failed; the job may have been executed."""
        self.connection.handler_data = None
        self.api.on_ended(request)
        self.connection.respond(502)

    def on_cancelled(self, request: Request) -> None:
        """Answer as failed: clients of this API can't cancel a job."""
        self.on_failed(request)
