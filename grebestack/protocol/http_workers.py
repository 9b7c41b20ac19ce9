"""What is said to job runners and what their answers and call-backs mean."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Callable, Mapping
from enum import Enum
from functools import partial
from typing import Any
from urllib.parse import quote

from grebestack.core.api import Effect, Outcome
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import Clock
from grebestack.routing.requests import Attempt, AttemptStage
from grebestack.transport.client import Exchange, Pool, Pools, Response

log = logging.getLogger(__name__)
FINAL = {
    "done": Outcome.OK,
    "failed": Outcome.ERROR,
    "returned": Outcome.REJECTED,
    "lost": Outcome.RESET,
}
SIDE_CALL_MS = 3000.0  # a give-up or a probe is answered within this, or is let go
SITE_NAMES = {"latency_ms": "run_ms", "inflight": "active", "queue": "waiting", "util": "cpu"}


Ended = Callable[[Outcome, bytes], None]


def _figure(value: Any) -> float | None:
    """A finite number as such, be it one of many digits; None for all else."""
    if not isinstance(value, int | float):
        return None
    try:
        figure = float(value)
    except OverflowError:
        return None
    return figure if math.isfinite(figure) else None


def result_of(raw: Mapping[str, Any]) -> bytes:
    """What a job came to, as it goes back to the client."""
    result = raw.get("result", "")
    text = result if isinstance(result, str) else json.dumps(result, separators=(",", ":"))
    return text.encode("utf-8", "surrogatepass")


class CallbackResult(Enum):
    """What a call-back was."""

    MALFORMED = "malformed"
    ACCEPTED = "taken"
    UNKNOWN = "of a job that is not waited for here"


class LoadReportReader:
    """Reads load reports into the decision module's names."""

    def __init__(self, names: Mapping[str, str]) -> None:
        self.names: dict[str, str] = SITE_NAMES | dict(names)

    def fields(self, raw: Any) -> dict[str, float]:
        """A report that came as an object; what is no finite number is left out."""
        if not isinstance(raw, dict):
            return {}
        read = {self.names.get(name, str(name)): _figure(value) for name, value in raw.items()}
        return {name: value for name, value in read.items() if value is not None}

    def header(self, value: bytes | None) -> dict[str, float]:
        """A report that came as `name=value,name=value`."""
        raw: dict[str, float] = {}
        for part in (value or b"").decode("latin-1").split(","):
            name, _, text = part.partition("=")
            try:
                raw[name.strip()] = float(text)
            except ValueError:
                continue
        return self.fields(raw)


class Call:
    """The exchange that carries one dispatch to its runner."""

    def __init__(self, runners: HttpWorkers, dispatch: Attempt, pool: Pool) -> None:
        self.runners, self.dispatch, self.pool = runners, dispatch, pool
        index = dispatch.request.arrival.job_class
        self.careful = runners.engine.settings.classes[index].effect is Effect.NOT_IDEMPOTENT

    def begin(self) -> bytes | None:
        if not self.runners.engine.confirm_send(self.dispatch):
            # Guards the grace of a drain: it was told while the connection came up, and no byte has gone.
            self.runners.end(self.dispatch, Outcome.CONNECT_FAILED)
            return None
        payload, asked = self.dispatch.request.payload, self.dispatch.request.arrival
        left_ms = max(1.0, asked.deadline_ms - self.runners.engine.clock.now_ms())
        return b"%sHost: %s:%d\r\nX-Budget: %.3f\r\n%sContent-Length: %d\r\n\r\n%s" % (
            payload.head,
            self.pool.address[0].encode(),
            self.pool.address[1],
            left_ms / 1000.0,
            self.runners.audit_header(),
            len(payload.body),
            payload.body,
        )

    def committed(self) -> None:
        self.dispatch.stage = AttemptStage.WRITTEN

    def answered(self, response: Response) -> None:
        if response.status == 202:
            self.dispatch.stage = AttemptStage.ACCEPTED
            return
        never_ran = response.status in (503, 504) and response.headers.get(b"x-rejected") == b"1"
        report = self.runners.reports.header(response.headers.get(b"x-load-report"))
        self._log("answer", status=response.status)
        self.runners.end(self.dispatch, Outcome.REJECTED if never_ran else Outcome.ERROR, report)

    def _log(self, how: str, **more: object) -> None:
        """Guards the on-call staff's time: which server failed a job, and how, is in one line."""
        session = self.dispatch.request
        kv = {"call_id": session.call_id, "server": self.dispatch.worker, "how": how, **more}
        log.info("dispatch_failed", extra={"kv": kv})

    def called_back(self, state: str) -> None:
        """A final call-back that brings no result."""
        self._log("call_back", state=state)

    def unsent(self) -> None:
        self._log("no_connection")
        self.runners.end(self.dispatch, Outcome.CONNECT_FAILED)

    def broken(self) -> None:
        self._log("connection_broke")
        self.runners.end(self.dispatch, Outcome.RESET)


class Limit:
    """Ends an exchange that no session's deadline ends.

    Guards against a hung runner: its connections stay open and silent, and would be held for ever.
    """

    def __init__(self, clock: Clock, pool: Pool, exchange: Exchange) -> None:
        self.pool, self.exchange = pool, exchange
        self.timer = clock.call_at(clock.now_ms() + SIDE_CALL_MS, self._passed)

    def _passed(self) -> None:
        if not self.pool.withdraw(self.exchange):
            self.pool.cut(self.exchange)
        self.exchange.broken()

    def lift(self) -> None:
        """The exchange has ended."""
        self.timer.cancel()


class GiveUp(Exchange):
    """The exchange that tells a runner that a job is no longer waited for.

    `taken` is called once the runner has said that it gives the job up, `heard` once it has answered
    anything, `unheard` if it never does.
    """

    def __init__(
        self,
        clock: Clock,
        call_id: str,
        pool: Pool,
        taken: Callable[[], None] = lambda: None,
        heard: Callable[[], None] = lambda: None,
        unheard: Callable[[], None] = lambda: None,
    ) -> None:
        self.taken, self.heard, self.unheard = taken, heard, unheard
        self.data = b"DELETE /jobs/%s HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: 0\r\n\r\n" % (
            quote(call_id, safe="", encoding="latin-1").encode(),
            pool.address[0].encode(),
            pool.address[1],
        )
        self.lift = Limit(clock, pool, self).lift
        pool.submit(self)

    def begin(self) -> bytes | None:
        return self.data

    def answered(self, response: Response) -> None:
        self.lift()
        if 200 <= response.status < 300:
            self.taken()
        self.heard()

    def _lost(self) -> None:
        self.lift()
        self.unheard()

    unsent = broken = _lost


class Probe(Exchange):
    """The exchange that asks a runner for its load report."""

    def __init__(self, runners: HttpWorkers, server: str, pool: Pool) -> None:
        self.runners, self.server, self.pool = runners, server, pool
        self.sent_ms = runners.engine.clock.now_ms()
        self.limit = Limit(runners.engine.clock, pool, self)

    def begin(self) -> bytes | None:
        if not self.runners.engine.table.accepts_work(self.server):  # it drains since: it is left alone
            self._ended(Outcome.CONNECT_FAILED, {})
            return None
        return b"GET /stats HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (
            self.pool.address[0].encode(),
            self.pool.address[1],
        )

    def _ended(self, outcome: Outcome, report: Mapping[str, float]) -> None:
        self.limit.lift()
        engine = self.runners.engine
        engine.on_probe_ended(self.server, outcome, engine.clock.now_ms() - self.sent_ms, report)

    def answered(self, response: Response) -> None:
        try:
            report = self.runners.reports.fields(json.loads(response.body or b"{}"))
        except (ValueError, RecursionError):
            report = self.runners.reports.header(response.body)
        self._ended(Outcome.OK if response.status == 200 else Outcome.ERROR, report)

    def unsent(self) -> None:
        self._ended(Outcome.CONNECT_FAILED, {})

    def broken(self) -> None:
        self._ended(Outcome.RESET, {})


class HttpWorkers:
    """The engine's servers: dispatches go out by POST, and most ends come back as call-backs."""

    def __init__(self, engine: Engine, pools: Pools, reports: LoadReportReader) -> None:
        self.engine, self.pools, self.reports = engine, pools, reports
        self.adopted: dict[tuple[str, str], Ended] = {}  # sent before a restart
        self.calls: dict[tuple[str, str], Call] = {}  # by call id and server: what is waited for
        self.given_up: set[tuple[str, str]] = set()  # what a server has not confirmed to be given up
        self.audit_header: Callable[[], bytes] = bytes  # a header line of an audit's, or nothing
        self.quiet_until_ms = 0.0  # no second line about a spoilt call-back before
        self.uids: dict[str, str] = {}  # servers that have moved: the id that their call-backs bring

    def send_attempt(self, dispatch: Attempt) -> None:
        """Send a session to the server that the dispatch names."""
        server = self.engine.table.workers.get(dispatch.worker)
        if server is not None and server.uid:
            self.uids[dispatch.worker] = server.uid
        key = self._key(dispatch)
        # One attempt of a session at a time at one server; a give-up on its way would end the next one.
        if server is None or key in self.calls or key in self.given_up:
            self.engine.finish_attempt(dispatch, Outcome.CONNECT_FAILED)
            return
        pool = self.pools.pool(server.address)
        call = self.calls[key] = Call(self, dispatch, pool)
        pool.submit(call)

    def _key(self, dispatch: Attempt) -> tuple[str, str]:
        return dispatch.request.call_id, self.uids.get(dispatch.worker, dispatch.worker)

    def end(self, dispatch: Attempt, outcome: Outcome, report: Mapping[str, float] | None = None) -> None:
        """A dispatch ended without a call-back."""
        if dispatch.outcome is None:
            self.calls.pop(self._key(dispatch), None)
            self.engine.finish_attempt(dispatch, outcome, report or {})

    def abandon_attempt(self, dispatch: Attempt) -> None:
        """Stop waiting for a dispatch and tell its server so."""
        key = self._key(dispatch)
        call = self.calls.pop(key, None)
        if call is None or call.pool.withdraw(call):
            return
        if dispatch.stage is not AttemptStage.ACCEPTED:
            call.pool.cut(call)
        # The end of a connection is no word to a server whose 202 has crossed it: where another attempt may
        # follow, it is told as well.
        if dispatch.stage is AttemptStage.ACCEPTED or (
            dispatch.stage is AttemptStage.WRITTEN and not dispatch.request.closed
        ):
            self.given_up.add(key)
            GiveUp(
                self.engine.clock,
                dispatch.request.call_id,
                call.pool,
                heard=partial(self.given_up.discard, key),
                unheard=partial(self._forget_at_deadline, key, dispatch.request.arrival.deadline_ms),
            )

    def _forget_at_deadline(self, key: tuple[str, str], deadline_ms: float) -> None:
        """Send no other attempt of a job to a server that may still run it: the give-up was not heard."""
        self.engine.clock.call_at(deadline_ms, partial(self.given_up.discard, key))

    def hand_over(self, dispatch: Attempt) -> str:
        """Wait no longer for a dispatch's call-back; tells the id by which its server names itself."""
        key = self._key(dispatch)
        self.calls.pop(key, None)
        return key[1]

    def cancel_attempt(self, dispatch: Attempt) -> None:
        """Ask a server to cancel a dispatch; it is waited for on, since it may still end otherwise."""
        call = self.calls.get(self._key(dispatch))
        if call is not None:
            self.cancel_job(dispatch.worker, dispatch.request.call_id, partial(self._cancelled, dispatch))

    def cancel_job(self, server: str, call_id: str, taken: Callable[[], None]) -> None:
        """Ask a server to give a job up."""
        known = self.engine.table.workers.get(server)
        if known is not None:
            GiveUp(self.engine.clock, call_id, self.pools.pool(known.address), taken)

    def abandon_job(self, server: str, call_id: str, heard: Callable[[], None]) -> bool:
        """Tell a server that a job is not waited for; False if the server is not known.

        `heard` is called once the server has answered: then it has given up whatever it had of the job.
        """
        known = self.engine.table.workers.get(server)
        if known is None:
            return False
        GiveUp(self.engine.clock, call_id, self.pools.pool(known.address), heard=heard)
        return True

    def _cancelled(self, dispatch: Attempt) -> None:
        if dispatch.outcome is None:
            del self.calls[self._key(dispatch)]
            self.engine.on_attempt_cancelled(dispatch)

    def set_callback_handler(self, call_id: str, server: str, ended: Ended | None) -> None:
        """Wait for the call-back of a job that was sent before a restart; None: no longer."""
        if ended is None:
            self.adopted.pop((call_id, server), None)
        else:
            self.adopted[(call_id, server)] = ended

    def probe(self, server: str) -> None:
        """Ask a server for its load report."""
        known = self.engine.table.workers.get(server)
        if known is None:
            self.engine.on_probe_ended(server, Outcome.CONNECT_FAILED, 0.0, {})
            return
        pool = self.pools.pool(known.address)
        pool.submit(Probe(self, server, pool))

    def on_callback(self, body: bytes) -> CallbackResult:
        """Take a call-back.

        It may precede the 202, repeat, or name a session that this process never knew: what is not waited for
        from that server is passed over.
        """
        try:
            raw = json.loads(body)
        except (ValueError, RecursionError):
            raw = None
        if not isinstance(raw, dict):
            return self._odd("body", body)
        for name in ("id", "from", "state"):
            if not isinstance(raw.get(name), str):
                return self._odd(name, raw.get(name))
        call_id, server, state = raw["id"], raw["from"], raw["state"]
        call = self.calls.get((call_id, server))
        if call is None and state in FINAL and (call_id, server) in self.adopted:
            self.adopted.pop((call_id, server))(FINAL[state], result_of(raw))
            return CallbackResult.ACCEPTED
        if call is None:
            log.debug("call_back_unknown", extra={"kv": {"call_id": call_id, "server": server}})
            return CallbackResult.UNKNOWN
        if state in FINAL:
            del self.calls[(call_id, server)]
            if FINAL[state] is not Outcome.OK:
                call.called_back(state)
            report = self.reports.fields(raw.get("load"))
            self.engine.finish_attempt(call.dispatch, FINAL[state], report, result_of(raw))
        elif state == "started":
            self.engine.on_progress(call.dispatch, None)
        elif state != "running":
            self._odd("state", state)
        elif (share := _figure(raw.get("share"))) is not None:
            self.engine.on_progress(call.dispatch, share)
        else:
            self._odd("share", raw.get("share"))
        return CallbackResult.ACCEPTED

    def _odd(self, name: str, value: object) -> CallbackResult:
        """A call-back that can't be read, or not all of it: one line a second at most says what was odd."""
        now_ms = self.engine.clock.now_ms()
        if now_ms >= self.quiet_until_ms:
            self.quiet_until_ms = now_ms + 1000.0
            log.info("bad_call_back", extra={"kv": {"field": name, "value": f"{value!r:.80}"}})
        return CallbackResult.MALFORMED
