"""Sends jobs, cancellations and probes to workers over HTTP, and handles their responses and call-backs."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import Any
from urllib.parse import quote

from grebestack.core.api import Effect, LaterReport, Outcome
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import Clock
from grebestack.routing.requests import Attempt, AttemptStage, InFlightAttempt
from grebestack.transport.client import Address, Exchange, Response
from grebestack.transport.connection_pool import ConnectionPool, ConnectionPools

log = logging.getLogger(__name__)
OUTCOME_BY_FINAL_STATE = {
    "done": Outcome.OK,
    "failed": Outcome.ERROR,
    "returned": Outcome.REJECTED,
    "lost": Outcome.RESET,
}
SIDE_EXCHANGE_TIMEOUT_MS = 3000.0  # for a cancellation or a probe
DEFAULT_REPORT_NAMES = {"latency_ms": "run_ms", "inflight": "active", "queue": "waiting", "util": "cpu"}


OnJobEnded = Callable[[Outcome, bytes], None]


def _finite_number(value: Any) -> float | None:
    """Return a finite number as a float; None for anything else, and for an integer too large for a float."""
    if not isinstance(value, int | float):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if math.isfinite(number) else None


def encode_result(raw: Mapping[str, Any]) -> bytes:
    """Return the result in a call-back as the client gets it."""
    result = raw.get("result", "")
    text = result if isinstance(result, str) else json.dumps(result, separators=(",", ":"))
    return text.encode("utf-8", "surrogatepass")


@dataclass(frozen=True, slots=True)
class AdoptedJob:
    """A job that another process has sent, or this one before a restart."""

    on_ended: OnJobEnded
    ambiguous_outcomes: frozenset[Outcome]


class CallbackResult(Enum):
    """What became of a call-back."""

    MALFORMED = "malformed"
    ACCEPTED = "taken"
    UNKNOWN = "of a job that is not waited for here"


class LoadReportReader:
    """Reads load reports and renames their fields to those of the decision module."""

    def __init__(self, names: Mapping[str, str]) -> None:
        self.names: dict[str, str] = DEFAULT_REPORT_NAMES | dict(names)

    def read_object(self, raw: Any) -> dict[str, float]:
        """Read a report from a JSON object; values that are not finite numbers are left out."""
        if not isinstance(raw, dict):
            return {}
        read = {self.names.get(name, str(name)): _finite_number(value) for name, value in raw.items()}
        return {name: value for name, value in read.items() if value is not None}

    def read_header(self, value: bytes | None) -> dict[str, float]:
        """Read a report from `name=value,name=value`."""
        raw: dict[str, float] = {}
        for part in (value or b"").decode("latin-1").split(","):
            name, _, text = part.partition("=")
            try:
                raw[name.strip()] = float(text)
            except ValueError:
                continue
        return self.read_object(raw)


class AttemptExchange:
    """The HTTP exchange that sends one attempt to its worker, or has done so from another process."""

    def __init__(self, workers: HttpWorkers, attempt: Attempt, pool: ConnectionPool) -> None:
        self.workers, self.attempt, self.pool = workers, attempt, pool
        self.has_called_back = False
        index = attempt.request.arrival.job_class
        self.delays_last_byte = workers.engine.settings.classes[index].effect is Effect.NOT_IDEMPOTENT

    def on_connection_ready(self) -> bytes | None:
        if not self.workers.engine.confirm_send(self.attempt):
            # For example, the worker was drained while the connection was being established. No byte has been
            # sent.
            self.workers.finish(self.attempt, Outcome.CONNECT_FAILED)
            return None
        payload, arrival = self.attempt.request.payload, self.attempt.request.arrival
        left_ms = max(1.0, arrival.deadline_ms - self.workers.engine.clock.now_ms())
        return b"%sHost: %s:%d\r\nX-Budget: %.3f\r\n%sContent-Length: %d\r\n\r\n%s" % (
            payload.head,
            self.pool.address[0].encode(),
            self.pool.address[1],
            left_ms / 1000.0,
            self.workers.audit_header(),
            len(payload.body),
            payload.body,
        )

    def before_last_byte(self) -> None:
        self.workers.engine.close_if_client_is_gone(self.attempt.request)

    def on_last_byte(self) -> None:
        self.attempt.stage = AttemptStage.WRITTEN

    def on_response(self, response: Response) -> None:
        if response.status == 202:
            self.attempt.stage = AttemptStage.ACCEPTED
            return
        never_ran = response.status in (503, 504) and response.headers.get(b"x-rejected") == b"1"
        report = self.workers.reports.read_header(response.headers.get(b"x-load-report"))
        self._log_failure("answer", status=response.status)
        # A worker that refuses a job in its response has not taken it, and has nothing more to report.
        outcome = Outcome.REJECTED if never_ran else Outcome.ERROR
        later_report = LaterReport.ANY if self.has_called_back else LaterReport.NONE
        self.workers.finish(self.attempt, outcome, report, later_report)

    def _log_failure(self, how: str, **more: object) -> None:
        """Log in one line which worker failed a job, and how, so that operators need not correlate lines."""
        request = self.attempt.request
        fields = {"call_id": request.call_id, "server": self.attempt.worker, "how": how, **more}
        log.info("dispatch_failed", extra={"kv": fields})

    def log_failed_callback(self, state: str) -> None:
        """Log a final call-back that reports a failure."""
        self._log_failure("call_back", state=state)

    def on_not_sent(self) -> None:
        self._log_failure("no_connection")
        self.workers.finish(self.attempt, Outcome.CONNECT_FAILED)

    def on_response_lost(self) -> None:
        self._log_failure("connection_broke")
        self.workers.finish(self.attempt, Outcome.RESET, later_report=LaterReport.ANY)


class ExchangeTimeout:
    """Ends an exchange that no request's deadline ends.

    The connections of a hung worker stay open and silent, so such an exchange would otherwise never end.
    """

    def __init__(self, clock: Clock, pool: ConnectionPool, exchange: Exchange) -> None:
        self.pool, self.exchange = pool, exchange
        self.timer = clock.call_at(clock.now_ms() + SIDE_EXCHANGE_TIMEOUT_MS, self._on_timeout)

    def _on_timeout(self) -> None:
        if not self.pool.withdraw(self.exchange):
            self.pool.abort(self.exchange)
        self.exchange.on_response_lost()

    def cancel(self) -> None:
        """The exchange has ended."""
        self.timer.cancel()


class CancelExchange(Exchange):
    """The exchange that tells a worker that a job is no longer waited for.

    Parameters
    ----------
    on_confirmed
        Called when the worker has confirmed that it drops the job.
    on_any_response
        Called when the worker has responded, whatever the status.
    """

    def __init__(
        self,
        clock: Clock,
        call_id: str,
        pool: ConnectionPool,
        on_confirmed: Callable[[], None] = lambda: None,
        on_any_response: Callable[[], None] = lambda: None,
    ) -> None:
        self.on_confirmed, self.on_any_response = on_confirmed, on_any_response
        self.data = b"DELETE /jobs/%s HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: 0\r\n\r\n" % (
            quote(call_id, safe="", encoding="latin-1").encode(),
            pool.address[0].encode(),
            pool.address[1],
        )
        self.cancel_timeout = ExchangeTimeout(clock, pool, self).cancel
        pool.submit(self)

    def on_connection_ready(self) -> bytes | None:
        return self.data

    def on_response(self, response: Response) -> None:
        self.cancel_timeout()
        if 200 <= response.status < 300:
            self.on_confirmed()
        self.on_any_response()

    def _on_lost(self) -> None:
        self.cancel_timeout()

    on_not_sent = on_response_lost = _on_lost


class ProbeExchange(Exchange):
    """The exchange that requests the load report of a worker."""

    def __init__(self, workers: HttpWorkers, worker: str, pool: ConnectionPool) -> None:
        self.workers, self.worker, self.pool = workers, worker, pool
        self.sent_ms = workers.engine.clock.now_ms()
        self.timeout = ExchangeTimeout(workers.engine.clock, pool, self)

    def on_connection_ready(self) -> bytes | None:
        if not self.workers.engine.table.accepts_work(self.worker):  # drained meanwhile: nothing more is sent
            self._end(Outcome.CONNECT_FAILED, {})
            return None
        return b"GET /stats HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (
            self.pool.address[0].encode(),
            self.pool.address[1],
        )

    def _end(self, outcome: Outcome, report: Mapping[str, float]) -> None:
        self.timeout.cancel()
        engine = self.workers.engine
        engine.on_probe_ended(self.worker, outcome, engine.clock.now_ms() - self.sent_ms, report)

    def on_response(self, response: Response) -> None:
        try:
            report = self.workers.reports.read_object(json.loads(response.body or b"{}"))
        except (ValueError, RecursionError):
            report = self.workers.reports.read_header(response.body)
        self._end(Outcome.OK if response.status == 200 else Outcome.ERROR, report)

    def on_not_sent(self) -> None:
        self._end(Outcome.CONNECT_FAILED, {})

    def on_response_lost(self) -> None:
        self._end(Outcome.RESET, {})


class HttpWorkers:
    """The engine's workers: attempts are sent by POST, and most results are returned as call-backs."""

    def __init__(self, engine: Engine, pools: ConnectionPools, reports: LoadReportReader) -> None:
        self.engine, self.pools, self.reports = engine, pools, reports
        # The keys are a call id and the id that the worker's call-backs carry.
        self.adopted_jobs: dict[tuple[str, str], AdoptedJob] = {}
        self.exchanges: dict[tuple[str, str], AttemptExchange] = {}  # of the attempts that are waited for
        self.audit_header: Callable[[], bytes] = bytes  # returns a header line for the audit, or nothing
        self.next_bad_callback_log_ms = 0.0

    def send_attempt(self, attempt: Attempt) -> None:
        """Send a request to the worker that the attempt names.

        A worker gets one attempt of a request at a time, and no other after one of which it may still report
        any outcome: a call-back names the job, but not the attempt.
        """
        worker = self.engine.table.workers.get(attempt.worker)
        key = self._key(attempt)
        if worker is None or key in self.exchanges:
            self.engine.finish_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        # If all its reports are ambiguous, it was known by another name when it was chosen: it has moved.
        if Outcome.OK in attempt.request.ambiguous_outcomes(attempt.callback_id):
            self.engine.finish_attempt(attempt, Outcome.NOT_SENT, later_report=LaterReport.ANY)
            return
        pool = self.pools.pool(worker.address)
        exchange = self.exchanges[key] = AttemptExchange(self, attempt, pool)
        pool.submit(exchange)

    def _key(self, attempt: Attempt) -> tuple[str, str]:
        return attempt.request.call_id, attempt.callback_id

    def finish(
        self,
        attempt: Attempt,
        outcome: Outcome,
        report: Mapping[str, float] | None = None,
        later_report: LaterReport = LaterReport.NONE,
    ) -> None:
        """An attempt ended without a call-back."""
        if attempt.outcome is None:
            self.exchanges.pop(self._key(attempt), None)
            self.engine.finish_attempt(attempt, outcome, report or {}, later_report=later_report)

    def abandon_attempt(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt and tell its worker so."""
        key = self._key(attempt)
        exchange = self.exchanges.pop(key, None)
        if exchange is None or exchange.pool.withdraw(exchange):
            return
        if attempt.stage is not AttemptStage.ACCEPTED:
            exchange.pool.abort(exchange)
        # A worker whose 202 is in transit does not take the end of the connection for a cancellation. It is
        # told explicitly where another attempt may follow.
        if attempt.stage is AttemptStage.ACCEPTED or (
            attempt.stage is AttemptStage.WRITTEN and not attempt.request.closed
        ):
            CancelExchange(self.engine.clock, attempt.request.call_id, exchange.pool)

    def adopt_attempt(self, attempt: Attempt, address: Address) -> None:
        """Wait for the call-back of an attempt that another process has sent to a worker at this address."""
        exchange = AttemptExchange(self, attempt, self.pools.pool(address))
        self.exchanges[self._key(attempt)] = exchange

    def hand_over(self, attempt: Attempt) -> InFlightAttempt:
        """Stop waiting for the call-back of an attempt, which another process awaits from now on."""
        address = self.exchanges.pop(self._key(attempt)).pool.address
        return InFlightAttempt(
            attempt.worker, attempt.callback_id, address, attempt.sent_ms, attempt.zone, attempt.cell
        )

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Ask a worker to cancel an attempt, which is still waited for: it may end in another way first."""
        exchange = self.exchanges.get(self._key(attempt))
        if exchange is not None:
            self.cancel_job(attempt.worker, attempt.request.call_id, partial(self._on_cancelled, attempt))

    def cancel_job(self, worker: str, call_id: str, on_confirmed: Callable[[], None]) -> None:
        """Ask a worker to cancel a job; `on_confirmed` is called if it does."""
        known = self.engine.table.workers.get(worker)
        if known is not None:
            CancelExchange(self.engine.clock, call_id, self.pools.pool(known.address), on_confirmed)

    def abandon_job(self, worker: str, call_id: str, on_response: Callable[[], None]) -> bool:
        """Tell a worker that a job is no longer waited for; False if the worker is not listed.

        `on_response` is called once the worker has responded, whatever the status: an error says nothing of
        whether the job has run.
        """
        known = self.engine.table.workers.get(worker)
        if known is None:
            return False
        CancelExchange(
            self.engine.clock, call_id, self.pools.pool(known.address), on_any_response=on_response
        )
        return True

    def _on_cancelled(self, attempt: Attempt) -> None:
        if attempt.outcome is None:
            del self.exchanges[self._key(attempt)]
            self.engine.on_attempt_cancelled(attempt)

    def set_callback_handler(
        self,
        call_id: str,
        worker: str,
        on_ended: OnJobEnded | None,
        ambiguous_outcomes: frozenset[Outcome] = frozenset(),
    ) -> None:
        """Wait for the final call-back of a job that this process did not send; None stops waiting.

        Call-backs with an ambiguous outcome are ignored: the worker may mean an attempt of before.
        """
        if on_ended is None:
            self.adopted_jobs.pop((call_id, worker), None)
        else:
            self.adopted_jobs[(call_id, worker)] = AdoptedJob(on_ended, ambiguous_outcomes)

    def probe(self, worker: str) -> None:
        """Request the load report of a worker."""
        known = self.engine.table.workers.get(worker)
        if known is None:
            self.engine.on_probe_ended(worker, Outcome.CONNECT_FAILED, 0.0, {})
            return
        pool = self.pools.pool(known.address)
        pool.submit(ProbeExchange(self, worker, pool))

    def on_callback(self, body: bytes) -> CallbackResult:
        """Handle a call-back.

        It may arrive before the 202, be repeated, or name a job that this process never had. One that is not
        waited for from that worker is ignored.
        """
        try:
            raw = json.loads(body)
        except (ValueError, RecursionError):
            raw = None
        if not isinstance(raw, dict):
            return self._log_malformed("body", body)
        for name in ("id", "from", "state"):
            if not isinstance(raw.get(name), str):
                return self._log_malformed(name, raw.get(name))
        call_id, worker, state = raw["id"], raw["from"], raw["state"]
        exchange, outcome = self.exchanges.get((call_id, worker)), OUTCOME_BY_FINAL_STATE.get(state)
        if exchange is None and outcome is not None and (call_id, worker) in self.adopted_jobs:
            if outcome in self.adopted_jobs[(call_id, worker)].ambiguous_outcomes:
                return self._ignore_ambiguous(call_id, worker, state)
            self.adopted_jobs.pop((call_id, worker)).on_ended(outcome, encode_result(raw))
            return CallbackResult.ACCEPTED
        if exchange is None:
            log.debug("call_back_unknown", extra={"kv": {"call_id": call_id, "server": worker}})
            return CallbackResult.UNKNOWN
        if outcome is not None and outcome in exchange.attempt.request.ambiguous_outcomes(worker):
            return self._ignore_ambiguous(call_id, worker, state)
        exchange.has_called_back = True
        if outcome is not None:
            del self.exchanges[(call_id, worker)]
            if outcome is not Outcome.OK:
                exchange.log_failed_callback(state)
            report = self.reports.read_object(raw.get("load"))
            self.engine.finish_attempt(
                exchange.attempt, outcome, report, encode_result(raw), later_report=LaterReport.SAME
            )
        elif state == "started":
            self.engine.on_progress(exchange.attempt, None)
        elif state != "running":
            self._log_malformed("state", state)
        elif (share := _finite_number(raw.get("share"))) is not None:
            self.engine.on_progress(exchange.attempt, share)
        else:
            self._log_malformed("share", raw.get("share"))
        return CallbackResult.ACCEPTED

    def _ignore_ambiguous(self, call_id: str, worker: str, state: str) -> CallbackResult:
        """Log a final call-back that may be the repeat of one about an earlier attempt.

        It proves nothing about the attempt in flight, which goes on until it ends in another way.
        """
        self.engine.counts["ambiguous_call_backs"] += 1
        log.info("call_back_ambiguous", extra={"kv": {"call_id": call_id, "server": worker, "state": state}})
        return CallbackResult.ACCEPTED

    def _log_malformed(self, name: str, value: object) -> CallbackResult:
        """Log a field of a call-back that can't be parsed, in at most one line a second."""
        now_ms = self.engine.clock.now_ms()
        if now_ms >= self.next_bad_callback_log_ms:
            self.next_bad_callback_log_ms = now_ms + 1000.0
            log.info("bad_call_back", extra={"kv": {"field": name, "value": f"{value!r:.80}"}})
        return CallbackResult.MALFORMED
