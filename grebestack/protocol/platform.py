"""The platform's HTTP API: clients post jobs and wait for the answer, and workers post call-backs."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Callable
from hashlib import blake2b

from grebestack.core.api import Effect, Settings
from grebestack.protocol.http_workers import CallbackResult
from grebestack.routing.engine import Engine
from grebestack.routing.requests import NO_HISTORY, Attempt, Payload, Request, RequestHistory
from grebestack.transport.server import Connection, HttpRequest

log = logging.getLogger(__name__)
DEADLINE_MARGIN_MS = 5.0  # the client's time limit began before the last byte of its request arrived
is_plain = re.compile(rb"[!-~]{1,512}").fullmatch  # of a value that may be forwarded to a worker
is_seconds = re.compile(rb"(?=[0-9.]*[1-9])[0-9]{1,9}(\.[0-9]{0,9})?|(?=\.0*[1-9])\.[0-9]{1,9}").fullmatch
MAX_SLOTS_OR_MEMORY = 1e6
MAX_COST_US = 3.6e9  # an hour; a hint above it is taken for an error and ignored
CONNECTIONS_PER_SPARE = 6  # during a planned stop one of this many clients' connections is kept free
STOPPING_RETRY_AFTER_MS = 100.0
SLOTS_NAMES = ("slots", "x1")
MEMORY_NAMES = ("mem", "memory", "x2")


def parse_numbers(header: bytes) -> dict[str, float]:
    """Parse `name=value,name=value`; parts whose value is not a finite number are left out."""
    numbers: dict[str, float] = {}
    for part in header.decode("latin-1").split(","):
        name, _, text = part.partition("=")
        try:
            value = float(text)
        except ValueError:
            continue
        if math.isfinite(value):
            numbers[name.strip()] = value
    return numbers


def route_key(header: bytes | None) -> int | None:
    """Return the cache key of a request as a number that is the same in all dispatchers."""
    return None if header is None else int.from_bytes(blake2b(header, digest_size=6).digest(), "big")


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
        self.next_malformed_log_ms = 0.0
        self.ready = False
        self.stopping = False  # a planned stop has begun: no new connections will reach this dispatcher
        self.latest_deadline_ms = math.inf  # during a planned stop, for jobs that arrive from now on
        # A job whose deadline is after `kill_ms` is answered by `answer_by_ms`, which is before the kill.
        self.kill_ms = self.answer_by_ms = math.inf
        self.rejecting = False  # all jobs are rejected

    def update_settings(self, settings: Settings) -> None:
        """Apply the classes and tenants of new settings to jobs that arrive from now on."""
        classes = enumerate(settings.classes)
        self.classes = {c.name.encode(): (i, c.deadline_ms) for i, c in classes if i not in settings.retired}
        self.max_retry_after_ms = settings.max_retry_after_ms if settings.retry_after else None
        self.keyed_classes = {
            i for i, c in enumerate(settings.classes) if c.effect is Effect.IDEMPOTENT_WITH_KEY
        }
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}

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

    def _handle_job(self, connection: Connection, http_request: HttpRequest) -> None:
        headers = http_request.headers
        call_id = headers.get(b"x-call-id", b"")
        index_and_deadline = self.classes.get(headers.get(b"x-call-class", b""))
        budget, key = headers.get(b"x-budget"), headers.get(b"idempotency-key")
        info = parse_numbers(headers.get(b"x-call-info", b""))
        slots = next((info[name] for name in SLOTS_NAMES if name in info), 1.0)
        memory = next((info[name] for name in MEMORY_NAMES if name in info), 0.0)
        if http_request.method != b"POST":
            connection.respond(405, headers=b"Allow: POST\r\n")
            return
        # Malformed values are refused here: a worker closes its connection on a request that it can't parse,
        # a keyed job without its key could be executed twice, and decisions depend on slots and memory.
        is_invalid = {
            b"X-Call-Class": index_and_deadline is None,
            b"X-Call-Id": not is_plain(call_id),
            b"target": not is_plain(http_request.target),
            b"X-Budget": budget is not None and not is_seconds(budget),
            b"Idempotency-Key": (index_and_deadline and index_and_deadline[0] in self.keyed_classes)
            if key is None
            else not is_plain(key),
            b"X-Call-Info": not (0 < slots <= MAX_SLOTS_OR_MEMORY and 0 <= memory <= MAX_SLOTS_OR_MEMORY),
        }
        if index_and_deadline is None or any(is_invalid.values()):
            name = next(name for name, invalid in is_invalid.items() if invalid)
            self._answer_malformed(connection, name, http_request)
            return
        if connection.over_limit or self.rejecting:
            self.reject(connection, self.max_retry_after_ms)
            return
        # During a planned stop clients can't open new connections. A job on the last free one would leave the
        # jobs behind it without a connection for its whole run, so it is rejected; it may be sent again.
        if self.stopping and self._has_few_free_connections(connection):
            self.reject(connection, None if self.max_retry_after_ms is None else STOPPING_RETRY_AFTER_MS)
            return
        if self.is_open_elsewhere(call_id.decode("latin-1")):
            connection.respond(409)
            return
        job_class, deadline_ms = index_and_deadline
        budget_ms = math.inf if budget is None else float(budget) * 1000.0
        head = b"POST %s HTTP/1.1\r\nX-Call-Id: %s\r\n" % (http_request.target, call_id)
        if key is not None:
            head += b"Idempotency-Key: %s\r\n" % key
        cost_us = parse_numbers(b"cost=" + headers.get(b"x-call-cost", b"")).get("cost", 0.0)
        request = self.engine.open_request(
            PlatformResponder(self, connection, http_request),
            call_id.decode("latin-1"),
            Payload(head, http_request.body),
            job_class,
            self._deadline_ms(min(budget_ms, deadline_ms)),
            slots=slots,
            memory=memory,
            key=route_key(headers.get(b"x-route-hash")),
            tenant=self.tenants.get(headers.get(b"x-caller", b""), len(self.tenants)),
            cost_ms=cost_us / 1000.0 if 0.0 < cost_us <= MAX_COST_US else None,
            retry=headers.get(b"x-again") == b"1",
            history=history if isinstance(history := http_request.context, RequestHistory) else NO_HISTORY,
        )
        if request is None:
            connection.respond(409)
        elif not request.closed:
            connection.handler_data = request

    def _has_few_free_connections(self, connection: Connection) -> bool:
        """Whether less than the reserved share of the clients' connections is free."""
        free = sum(other.is_client for other in connection.acceptor.idle)
        return (
            free < sum(other.is_client for other in connection.acceptor.connections) // CONNECTIONS_PER_SPARE
        )

    def _answer_malformed(self, connection: Connection, name: bytes, http_request: HttpRequest) -> None:
        """Answer 400. At most one log line a second: a client that repeats itself must not fill the log."""
        self.engine.counts["malformed"] += 1
        if self.engine.clock.now_ms() >= self.next_malformed_log_ms:
            self.next_malformed_log_ms = self.engine.clock.now_ms() + 1000.0
            value = http_request.target if name == b"target" else http_request.headers.get(name.lower())
            call_id = http_request.headers.get(b"x-call-id", b"")[:80].decode("latin-1")
            fields = {"call_id": call_id, "field": name.decode(), "value": f"{value!r:.80}"}
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

    def before_send(self, attempt: Attempt) -> bool:
        """Allow it: these jobs are not recorded."""
        return True

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Do nothing: these jobs are not recorded."""

    def on_served(self, request: Request, result: bytes) -> None:
        """A worker has done the job."""
        self.connection.handler_data = None
        self.connection.respond(200, result)

    def on_rejected(self, request: Request, retry_after_ms: float | None) -> None:
        """The job was not executed; a retry is harmless."""
        self.connection.handler_data = None
        self.api.reject(self.connection, retry_after_ms)

    def on_failed(self, request: Request) -> None:
        """The request failed; the job may have been executed."""
        self.connection.handler_data = None
        self.connection.respond(502)

    def on_cancelled(self, request: Request) -> None:
        """Answer as failed: clients of this API can't cancel a job."""
        self.on_failed(request)
