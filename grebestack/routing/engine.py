"""The engine: feeds the decision module what happens and carries out what it decides."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable, Mapping
from functools import partial

from grebestack.core import api
from grebestack.core.policy import Policy
from grebestack.routing.interfaces import Clock, RequestListener, Workers
from grebestack.routing.requests import Attempt, AttemptStage, Payload, Request
from grebestack.routing.worker_table import WorkerTable

log = logging.getLogger(__name__)
NO_REPORT: Mapping[str, float] = {}
FAULT_LOG_INTERVAL_MS = 1000.0  # a decision module that raises is logged once in this time


class Engine:
    """Owns the sessions and dispatches of one dispatcher; both fronts and all servers meet here."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, table: WorkerTable) -> None:
        self.settings, self.clock, self.table = settings, clock, table
        self.policy = Policy(settings, seed)
        self.workers: Workers
        self.requests: dict[int, Request] = {}  # by number; open, or with dispatches out
        self.open_by_call_id: dict[str, Request] = {}
        self.last_number = 0
        self.events: deque[tuple[api.Event, float]] = deque()
        self.feeding = False
        self.next_fault_log_ms = 0.0
        self.counts: Counter[str] = Counter()
        self.sent_by_worker: Counter[str] = (
            Counter()
        )  # dispatches by server since the last `take_traffic_counts`
        # During an upgrade the other process is told of these.
        self.on_request_closed: Callable[[str], None] = lambda call_id: None
        self.on_attempt_sent: Callable[[Attempt], None] = lambda dispatch: None
        self.on_attempt_ended: Callable[[Attempt], None] = lambda dispatch: None
        # An audit writes these down: what is done, of which session, at which server if any.
        self.on_audited_action: Callable[[str, Request, str], None] = lambda what, session, server: None
        table.on_change = lambda kind, entries: self._feed(api.WorkersListed(kind, entries))

    def update_settings(self, settings: api.Settings) -> None:
        """Other settings hold from now on; they keep the places of all classes."""
        self.settings = settings
        self._feed(api.SettingsChanged(settings))

    # What the fronts say.

    def open_request(
        self,
        frontend: RequestListener,
        call_id: str,
        payload: Payload,
        job_class: int,
        deadline_ms: float,
        *,
        slots: float = 1.0,
        memory: float = 0.0,
        tenant: int = 0,
        key: int | None = None,
        cost_ms: float | None = None,
        retry: bool = False,
        aged: bool = False,
    ) -> Request | None:
        """Take a session; None if its call id is open already. It may be answered before this returns."""
        if call_id in self.open_by_call_id:
            return None
        self.last_number += 1
        asked = api.RequestArrived(
            self.last_number, job_class, deadline_ms, slots, memory, tenant, key, cost_ms, retry, aged
        )
        session = Request(call_id, asked, payload, frontend)
        self.requests[self.last_number] = self.open_by_call_id[call_id] = session
        session.timer = self.clock.call_at(deadline_ms, partial(self._on_deadline, session))
        self.counts["sessions"] += 1
        self._feed(asked)
        return session

    def on_client_disconnected(self, session: Request) -> None:
        """The client left: nothing more is owed, and what is out is given up.

        What no server has got is taken back here, whatever the settings say of giving up: no byte of it goes.
        """
        if self._close(session):
            self.counts["gone"] += 1
            self._feed(api.RequestDropped(session.number))
            for dispatch in session.open_attempts():
                if dispatch.stage is AttemptStage.UNSENT:
                    self.workers.abandon_attempt(dispatch)
                    self.finish_attempt(dispatch, api.Outcome.CANCELLED)

    def shorten_deadline(self, session: Request, deadline_ms: float) -> None:
        """Answer a session by an earlier deadline than its own, which a successor would still go by."""
        if session.closed or deadline_ms >= session.arrival.deadline_ms:
            return
        if session.timer is not None:
            session.timer.cancel()
        session.timer = self.clock.call_at(deadline_ms, partial(self._on_deadline, session))
        self._feed(api.DeadlineShortened(session.number, deadline_ms))

    def withdraw_unsent(self, session: Request) -> bool:
        """Take a session back that no server has been sent; False if one may have it. It gets no answer."""
        if session.may_have_run or not self._close(session):
            return False
        self.counts["withdrawn"] += 1
        self._feed(api.RequestDropped(session.number))
        return True

    def hand_over(self, session: Request) -> Attempt | None:
        """Another process waits for the session's end from now on; None if that can't be.

        It can where one dispatch is out and its server has said that it has the job. Nothing is said to the
        client or the server, nor to the module, which is about to end with this process.
        """
        out = session.open_attempts()
        if session.closed or len(out) != 1 or out[0].stage is not AttemptStage.ACCEPTED:
            return None
        self._close(session)
        self.requests.pop(session.number, None)
        for timer in (session.timer, out[0].timer):
            if timer is not None:
                timer.cancel()
        self.counts["let_go"] += 1
        return out[0]

    def cancel_request(self, session: Request) -> None:
        """The client wants it cancelled: at once if no dispatch may have run, else the server is asked.

        Then whatever comes first decides: its end, the server's word that it is cancelled, or the deadline.
        """
        if session.closed or session.cancel_requested:
            return
        session.cancel_requested = True
        running = [d for d in session.open_attempts() if d.stage is not AttemptStage.UNSENT]
        if not running:
            self._terminated(session)
        for dispatch in running:
            self.workers.cancel_attempt(dispatch)

    def _terminated(self, session: Request) -> None:
        if self._close(session):
            self.counts["cancelled_by_client"] += 1
            session.listener.on_cancelled(session)
            self._feed(api.RequestDropped(session.number))

    # What the servers' side says.

    def on_attempt_cancelled(self, dispatch: Attempt) -> None:
        """A server says that it has cancelled a dispatch as asked."""
        if dispatch.outcome is None:
            if dispatch.request.cancel_requested:
                self._terminated(dispatch.request)
            self.finish_attempt(dispatch, api.Outcome.CANCELLED)

    def confirm_send(self, dispatch: Attempt) -> bool:
        """Asked right before the first byte: while the connection came up, a drain may have been told, the
        client may have left, or the time of a repeat may have passed.
        """
        may = (
            dispatch.outcome is None
            and not dispatch.request.closed
            and not dispatch.request.cancel_requested
            and self.clock.now_ms() <= dispatch.send_deadline_ms
            and self.table.accepts_work(dispatch.worker)
            and dispatch.request.listener.before_send(dispatch)
        )
        if may:
            self.on_audited_action("retry" if dispatch.number else "send", dispatch.request, dispatch.worker)
        return may

    def on_progress(self, dispatch: Attempt, done: float | None) -> None:
        """A job has started (None) or got so far."""
        if dispatch.outcome is None:
            number = dispatch.request.number
            self._feed(
                api.AttemptStarted(number, dispatch.number, dispatch.worker)
                if done is None
                else api.AttemptProgress(number, dispatch.number, dispatch.worker, done)
            )

    def finish_attempt(
        self,
        dispatch: Attempt,
        outcome: api.Outcome,
        report: Mapping[str, float] = NO_REPORT,
        result: bytes = b"",
    ) -> None:
        """A dispatch has ended. Only the first word counts: call-backs repeat and cross other ends."""
        if dispatch.outcome is not None:
            return
        dispatch.outcome = outcome
        if dispatch.timer is not None:
            dispatch.timer.cancel()
        session = dispatch.request
        self.counts[outcome.value] += 1
        if outcome is api.Outcome.OK and self._close(session):
            self.counts["served"] += 1
            session.listener.on_served(session, result)
        session.listener.on_attempt_ended(dispatch)
        self.on_attempt_ended(dispatch)
        self._forget(session)
        elapsed = self.clock.now_ms() - dispatch.sent_ms
        self._feed(
            api.AttemptEnded(
                session.number, dispatch.number, dispatch.worker, outcome, elapsed, session.closed, report
            )
        )
        if session.cancel_requested and not session.open_attempts():
            self._terminated(session)

    def on_probe_ended(
        self, server: str, outcome: api.Outcome, elapsed_ms: float, report: Mapping[str, float]
    ) -> None:
        """A probe has ended."""
        self._feed(api.ProbeEnded(server, outcome, elapsed_ms, report))

    # The module's events and actions.

    def _feed(self, event: api.Event, least_ms: float = 0.0) -> None:
        self.events.append((event, least_ms))
        if self.feeding:  # an action had this event follow at once: it waits its turn
            return
        self.feeding = True
        try:
            while self.events:
                event, least_ms = self.events.popleft()
                for action in self._decide(max(least_ms, self.clock.now_ms()), event):
                    self._execute(action)
        finally:
            self.feeding = False

    def _decide(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Return what the decision module decides on an event.

        Where it raises, what it had decided before is carried out, and a request that has just arrived is
        rejected. All other requests stay as they are: each is answered by its deadline at the latest.
        """
        try:
            return self.policy.handle(now_ms, event)
        except Exception:  # whatever it is: the other events and requests must not suffer from it
            self._log_fault(now_ms, event)
            actions = self.policy.take_actions()
            sent = {action.request for action in actions if isinstance(action, api.Send)}
            if isinstance(event, api.RequestArrived) and event.request not in sent:
                actions.append(api.Reject(event.request))
                self.events.append((api.RequestDropped(event.request), 0.0))
            return actions

    def _log_fault(self, now_ms: float, event: api.Event) -> None:
        """Count and log a fault of the decision module; to be called while its exception is handled."""
        self.counts["decision_faults"] += 1
        if now_ms < self.next_fault_log_ms:
            return
        self.next_fault_log_ms = now_ms + FAULT_LOG_INTERVAL_MS
        kv = {"on": type(event).__name__, "faults": self.counts["decision_faults"]}
        log.exception("decision_failed", extra={"kv": kv})

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            # Fired as at its time at the earliest: a loop's timers may be a little early.
            fired = partial(self._feed, api.TimerFired(action.token), action.at_ms)
            self.clock.call_at(action.at_ms, fired)
        elif isinstance(action, api.Probe):
            self.workers.probe(action.worker)
        elif isinstance(action, api.WatchList | api.FetchList):
            pass  # the program watches discovery all the time
        else:
            session = self.requests.get(action.request)
            if session is None:
                return  # it ended while this action was on its way; its number is never used again
            if isinstance(action, api.Send):
                self._send(session, action)
            elif isinstance(action, api.Cancel):
                self._cancel_attempt(session, action)
            else:
                self._answer(session, action)

    def _send(self, session: Request, action: api.Send) -> None:
        if session.closed or session.cancel_requested:
            return
        now = self.clock.now_ms()
        dispatch = Attempt(session, len(session.attempts), action.worker, now, action.send_by_ms)
        session.attempts.append(dispatch)
        if action.timeout_ms is not None:
            dispatch.timer = self.clock.call_at(now + action.timeout_ms, partial(self._timed_out, dispatch))
        self.counts["dispatches"] += 1
        self.sent_by_worker[action.worker] += 1
        self.on_attempt_sent(dispatch)
        self.workers.send_attempt(dispatch)

    def _cancel_attempt(self, session: Request, action: api.Cancel) -> None:
        dispatch = session.attempts[action.attempt]
        if not action.at_once and dispatch.stage is not AttemptStage.UNSENT:
            # Only what the server has said it has: the word could overtake the job, which would run then.
            if dispatch.outcome is None and dispatch.stage is AttemptStage.ACCEPTED:
                self.on_audited_action("cancel", session, dispatch.worker)
                self.workers.cancel_attempt(dispatch)
        elif dispatch.outcome is None:
            self.on_audited_action("cancel", session, dispatch.worker)
            self.workers.abandon_attempt(dispatch)
            self.finish_attempt(dispatch, api.Outcome.CANCELLED)

    def _timed_out(self, dispatch: Attempt) -> None:
        if dispatch.outcome is None:
            self.workers.abandon_attempt(dispatch)
            self.finish_attempt(dispatch, api.Outcome.TIMEOUT)

    def _on_deadline(self, session: Request, again: bool = False) -> None:
        """The deadline: nothing is waited for any longer, and the session is answered whatever happened."""
        if not again:
            # Guards against a long turn of the loop: a call that the module asked for at once, a tick before
            # the deadline, stands behind the timers that fell due meanwhile, and would be overtaken by this.
            session.timer = self.clock.call_at(self.clock.now_ms(), partial(self._on_deadline, session, True))
            return
        for dispatch in session.open_attempts():
            self._timed_out(dispatch)
        if self._close(session):
            # Guards rule 1 should the decision module let a deadline pass; it has a tick's start.
            log.error("overdue", extra={"kv": {"call_id": session.call_id}})
            session.listener.on_failed(session)
            self._feed(api.RequestDropped(session.number))

    def open_requests(self) -> list[Request]:
        """The sessions that are owed an answer."""
        return list(self.open_by_call_id.values())

    def take_traffic_counts(self) -> tuple[Counter[str], dict[str, int]]:
        """Dispatches by server since this was last asked, and those that are out, by server."""
        sent, self.sent_by_worker = self.sent_by_worker, Counter()
        return sent, {
            n: worker.attempt_count for n, worker in self.policy.workers.items() if worker.attempt_count
        }

    # Answers.

    def _answer(self, session: Request, action: api.Reject | api.Fail) -> None:
        if not self._close(session):
            return
        self.on_audited_action("deny" if isinstance(action, api.Reject) else "fail", session, "")
        if isinstance(action, api.Reject):
            self.counts["denied"] += 1
            session.listener.on_rejected(session, action.retry_after_ms)
        else:
            self.counts["failed"] += 1
            session.listener.on_failed(session)

    def _close(self, session: Request) -> bool:
        """Mark a session as over; False if it was already, so that nothing is answered twice."""
        if session.closed:
            return False
        session.closed = True
        del self.open_by_call_id[session.call_id]
        self.on_request_closed(session.call_id)
        self._forget(session)
        return True

    def _forget(self, session: Request) -> None:
        if session.closed and not session.open_attempts():
            self.requests.pop(session.number, None)
            if session.timer is not None:
                session.timer.cancel()
