"""The platform's front: jobs come by POST and wait for their answer; runners call back here too."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Callable
from hashlib import blake2b

from grebestack.core.api import Effect, Settings
from grebestack.protocol.http_workers import CallbackResult
from grebestack.routing.engine import Engine
from grebestack.routing.requests import Attempt, Payload, Request
from grebestack.transport.server import Connection
from grebestack.transport.server import Request as HttpRequest

log = logging.getLogger(__name__)
DEADLINE_MARGIN_MS = 5.0  # the client's clock for a request began before its last byte came
PLAIN = re.compile(rb"[!-~]{1,512}").fullmatch  # what may go on to a runner
SECONDS = re.compile(rb"(?=[0-9.]*[1-9])[0-9]{1,9}(\.[0-9]{0,9})?|(?=\.0*[1-9])\.[0-9]{1,9}").fullmatch
MOST_FIGURE = 1e6
MOST_COST_US = 3.6e9  # an hour: what is meant to cost more is no estimate
SPARE_PART = 6  # of so many clients' connections one stays free during a planned stop
SPARE_MS = 100.0
SLOTS = ("slots", "x1")
MEMORY = ("mem", "memory", "x2")


def figures(header: bytes) -> dict[str, float]:
    """The further figures of a request, `name=value,name=value`; what is no finite number is left out."""
    found: dict[str, float] = {}
    for part in header.decode("latin-1").split(","):
        name, _, text = part.partition("=")
        try:
            value = float(text)
        except ValueError:
            continue
        if math.isfinite(value):
            found[name.strip()] = value
    return found


def key_of(header: bytes | None) -> int | None:
    """What the request is about, as a number that is the same everywhere."""
    return None if header is None else int.from_bytes(blake2b(header, digest_size=6).digest(), "big")


class PlatformApi:
    """Opens a session for each job; its answer goes out on the connection on which the job came."""

    def __init__(
        self,
        engine: Engine,
        settings: Settings,
        called_back: Callable[[bytes], CallbackResult],
        jobs: bool = True,
    ) -> None:
        self.engine, self.called_back, self.jobs = engine, called_back, jobs
        self.update_settings(settings)
        # During an upgrade: asks the other process of a call-back, and tells whether an id is open there.
        self.query_other_process: Callable[[bytes, Callable[[bool | None], None]], None] | None = None
        self.is_open_elsewhere: Callable[[str], bool] = lambda call_id: False
        self.quiet_until_ms = 0.0
        self.ready = False
        self.stopping = False  # a planned stop has begun: no new connection reaches this dispatcher soon
        self.until_ms = math.inf  # a planned stop: jobs that come now are answered by then
        self.kill_ms = self.answer_by_ms = math.inf  # jobs due after the kill are answered by then before it
        self.rejecting = False  # no job is taken any more

    def update_settings(self, settings: Settings) -> None:
        """Jobs that come from now on are of these classes."""
        classes = enumerate(settings.classes)
        self.classes = {c.name.encode(): (i, c.deadline_ms) for i, c in classes if i not in settings.retired}
        self.most_retry_after_ms = settings.max_retry_after_ms if settings.retry_after else None
        self.keyed = {i for i, c in enumerate(settings.classes) if c.effect is Effect.IDEMPOTENT_WITH_KEY}
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}

    def limit_deadlines(self, until_ms: float) -> None:
        """From now on a job's answer is due by then at the latest."""
        self.until_ms = until_ms

    def answer_before_kill(self, kill_ms: float, answer_by_ms: float) -> None:
        """Answer all jobs before this process is killed, those that are open too.

        A job whose deadline is earlier keeps it.
        """
        self.kill_ms, self.answer_by_ms = kill_ms, answer_by_ms
        for session in self.engine.open_requests():
            is_own = isinstance(session.listener, PlatformResponder) and session.listener.api is self
            if is_own and session.arrival.deadline_ms > kill_ms:
                self.engine.shorten_deadline(session, answer_by_ms)

    def _deadline_ms(self, limit_ms: float) -> float:
        """Return the deadline of a job that has come now and may take so long."""
        deadline_ms = self.engine.clock.now_ms() + limit_ms - DEADLINE_MARGIN_MS
        if deadline_ms > self.kill_ms:
            deadline_ms = self.answer_by_ms
        return min(deadline_ms, self.until_ms)

    # The transport's handler.

    def request(self, connection: Connection, request: HttpRequest) -> None:
        """Tell what a request is by its path."""
        path, get = request.path, request.method in (b"GET", b"HEAD")
        if path == b"/callback" and request.method == b"POST":
            self._call_back(connection, request.body)
        elif path == b"/health/ready" and get:
            connection.answer(200 if self.ready else 503)
        elif path == b"/health/live" and get:
            connection.answer(200)
        elif path == b"/api" and self.jobs:
            connection.asked = True
            self._job(connection, request)
        else:
            connection.answer(404)

    def _call_back(self, connection: Connection, body: bytes) -> None:
        said = self.called_back(body)
        if said is not CallbackResult.UNKNOWN or self.query_other_process is None:
            connection.answer(400 if said is CallbackResult.MALFORMED else 204)
        else:
            # Guards the other process's job: a 204 would end it for its runner, and nobody would hear of it.
            self.query_other_process(body, lambda known: connection.answer(503 if known is None else 204))

    def gone(self, connection: Connection) -> None:
        """The client left."""
        if connection.session is not None:
            session, connection.session = connection.session, None
            self.engine.on_client_disconnected(session)

    def _job(self, connection: Connection, request: HttpRequest) -> None:
        headers = request.headers
        call_id = headers.get(b"x-call-id", b"")
        known = self.classes.get(headers.get(b"x-call-class", b""))
        budget, key = headers.get(b"x-budget"), headers.get(b"idempotency-key")
        more = figures(headers.get(b"x-call-info", b""))
        slots = next((more[name] for name in SLOTS if name in more), 1.0)
        memory = next((more[name] for name in MEMORY if name in more), 0.0)
        if request.method != b"POST":
            connection.answer(405, headers=b"Allow: POST\r\n")
            return
        # Guards runners, and the counts that decisions rest on, against what no client should send: a runner
        # closes on what it can't read, and a keyed job without its key could run twice.
        wrong = {
            b"X-Call-Class": known is None,
            b"X-Call-Id": not PLAIN(call_id),
            b"target": not PLAIN(request.target),
            b"X-Budget": budget is not None and not SECONDS(budget),
            b"Idempotency-Key": (known and known[0] in self.keyed) if key is None else not PLAIN(key),
            b"X-Call-Info": not (0 < slots <= MOST_FIGURE and 0 <= memory <= MOST_FIGURE),
        }
        if known is None or any(wrong.values()):
            name = next(name for name, is_wrong in wrong.items() if is_wrong)
            self._malformed(connection, name, request)
            return
        if connection.crowded or self.rejecting:
            self.reject(connection, self.most_retry_after_ms)
            return
        # Guards a planned stop: no new connection comes any more, so that a job which takes the last free one
        # leaves all jobs behind it without any for its whole run. It has not been taken and may come again.
        if self.stopping and self._crowded(connection):
            self.reject(connection, None if self.most_retry_after_ms is None else SPARE_MS)
            return
        if self.is_open_elsewhere(call_id.decode("latin-1")):
            connection.answer(409)
            return
        index, deadline_ms = known
        budget_ms = math.inf if budget is None else float(budget) * 1000.0
        head = b"POST %s HTTP/1.1\r\nX-Call-Id: %s\r\n" % (request.target, call_id)
        if key is not None:
            head += b"Idempotency-Key: %s\r\n" % key
        cost_us = figures(b"cost=" + headers.get(b"x-call-cost", b"")).get("cost", 0.0)
        session = self.engine.open_request(
            PlatformResponder(self, connection, request),
            call_id.decode("latin-1"),
            Payload(head, request.body),
            index,
            self._deadline_ms(min(budget_ms, deadline_ms)),
            slots=slots,
            memory=memory,
            key=key_of(headers.get(b"x-route-hash")),
            tenant=self.tenants.get(headers.get(b"x-caller", b""), len(self.tenants)),
            cost_ms=cost_us / 1000.0 if 0.0 < cost_us <= MOST_COST_US else None,
            retry=headers.get(b"x-again") == b"1",
        )
        if session is None:
            connection.answer(409)
        elif not session.closed:
            connection.session = session

    def _crowded(self, connection: Connection) -> bool:
        """Whether too few of the clients' connections are free."""
        free = sum(other.asked for other in connection.acceptor.idle)
        return free < sum(other.asked for other in connection.acceptor.connections) // SPARE_PART

    def _malformed(self, connection: Connection, name: bytes, request: HttpRequest) -> None:
        """Answer 400. One line a second at most: a client that repeats itself must not fill the log."""
        self.engine.counts["malformed"] += 1
        if self.engine.clock.now_ms() >= self.quiet_until_ms:
            self.quiet_until_ms = self.engine.clock.now_ms() + 1000.0
            value = request.target if name == b"target" else request.headers.get(name.lower())
            call_id = request.headers.get(b"x-call-id", b"")[:80].decode("latin-1")
            kv = {"call_id": call_id, "field": name.decode(), "value": f"{value!r:.80}"}
            log.info("malformed", extra={"kv": kv})
        connection.answer(400)

    def reject(self, connection: Connection, retry_after_ms: float | None) -> None:
        """Answer that it is not done and may be tried again, and when."""
        wait = b"" if retry_after_ms is None else b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0)
        connection.answer(503, headers=wait)


class PlatformResponder:
    """The engine's way back to one connection."""

    __slots__ = ("api", "connection", "http_request")

    def __init__(self, api: PlatformApi, connection: Connection, http_request: HttpRequest) -> None:
        self.api, self.connection, self.http_request = api, connection, http_request

    def before_send(self, dispatch: Attempt) -> bool:
        """Nothing is recorded here."""
        return True

    def on_attempt_ended(self, dispatch: Attempt) -> None:
        """Nothing is recorded here."""

    def on_served(self, session: Request, result: bytes) -> None:
        """A server did the job."""
        self.connection.session = None
        self.connection.answer(200, result)

    def on_rejected(self, session: Request, retry_after_ms: float | None) -> None:
        """Not done; trying again is harmless."""
        self.connection.session = None
        self.api.reject(self.connection, retry_after_ms)

    def on_failed(self, session: Request) -> None:
        """Failed; nothing is promised about the effect."""
        self.connection.session = None
        self.connection.answer(502)

    def on_cancelled(self, session: Request) -> None:
        """Only another front asks for this."""
        self.on_failed(session)
