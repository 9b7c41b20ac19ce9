"""The engine: feeds the decision module what happens and carries out what it decides."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable, Mapping
from functools import partial

from grebestack.core import api
from grebestack.core.policy import Policy
from grebestack.routing.interfaces import Clock, Frontend, Servers
from grebestack.routing.requests import Dispatch, Payload, Session, Stage
from grebestack.routing.worker_table import ServerTable

log = logging.getLogger(__name__)
NO_REPORT: Mapping[str, float] = {}
FAULT_LOG_INTERVAL_MS = 1000.0  # a decision module that raises is logged once in this time


class Engine:
    """Owns the sessions and dispatches of one dispatcher; both fronts and all servers meet here."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, table: ServerTable) -> None:
        self.settings, self.clock, self.table = settings, clock, table
        self.policy = Policy(settings, seed)
        self.servers: Servers
        self.sessions: dict[int, Session] = {}  # by number; open, or with dispatches out
        self.open_by_call_id: dict[str, Session] = {}
        self.last = 0
        self.events: deque[tuple[api.Event, float]] = deque()
        self.feeding = False
        self.next_fault_log_ms = 0.0
        self.counts: Counter[str] = Counter()
        self.sent: Counter[str] = Counter()  # dispatches by server since `tally` was last asked
        # During an upgrade the other process is told of these.
        self.on_closed: Callable[[str], None] = lambda call_id: None
        self.on_sent: Callable[[Dispatch], None] = lambda dispatch: None
        self.on_ended: Callable[[Dispatch], None] = lambda dispatch: None
        # An audit writes these down: what is done, of which session, at which server if any.
        self.on_act: Callable[[str, Session, str], None] = lambda what, session, server: None
        table.on_change = lambda kind, entries: self._feed(api.WorkersListed(kind, entries))

    def resettle(self, settings: api.Settings) -> None:
        """Other settings hold from now on; they keep the places of all classes."""
        self.settings = settings
        self._feed(api.SettingsChanged(settings))

    # What the fronts say.

    def open(
        self,
        frontend: Frontend,
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
    ) -> Session | None:
        """Take a session; None if its call id is open already. It may be answered before this returns."""
        if call_id in self.open_by_call_id:
            return None
        self.last += 1
        asked = api.RequestArrived(
            self.last, job_class, deadline_ms, slots, memory, tenant, key, cost_ms, retry, aged
        )
        session = Session(call_id, asked, payload, frontend)
        self.sessions[self.last] = self.open_by_call_id[call_id] = session
        session.timer = self.clock.call_at(deadline_ms, partial(self._overdue, session))
        self.counts["sessions"] += 1
        self._feed(asked)
        return session

    def gone(self, session: Session) -> None:
        """The client left: nothing more is owed, and what is out is given up.

        What no server has got is taken back here, whatever the settings say of giving up: no byte of it goes.
        """
        if self._close(session):
            self.counts["gone"] += 1
            self._feed(api.RequestDropped(session.number))
            for dispatch in session.out():
                if dispatch.stage is Stage.WAITING:
                    self.servers.give_up(dispatch)
                    self.settle(dispatch, api.Outcome.CANCELLED)

    def answer_by(self, session: Session, deadline_ms: float) -> None:
        """Answer a session by an earlier deadline than its own, which a successor would still go by."""
        if session.closed or deadline_ms >= session.asked.deadline_ms:
            return
        if session.timer is not None:
            session.timer.cancel()
        session.timer = self.clock.call_at(deadline_ms, partial(self._overdue, session))
        self._feed(api.DeadlineShortened(session.number, deadline_ms))

    def withdraw(self, session: Session) -> bool:
        """Take a session back that no server has been sent; False if one may have it. It gets no answer."""
        if session.may_have_run or not self._close(session):
            return False
        self.counts["withdrawn"] += 1
        self._feed(api.RequestDropped(session.number))
        return True

    def let_go(self, session: Session) -> Dispatch | None:
        """Another process waits for the session's end from now on; None if that can't be.

        It can where one dispatch is out and its server has said that it has the job. Nothing is said to the
        client or the server, nor to the module, which is about to end with this process.
        """
        out = session.out()
        if session.closed or len(out) != 1 or out[0].stage is not Stage.ACCEPTED:
            return None
        self._close(session)
        self.sessions.pop(session.number, None)
        for timer in (session.timer, out[0].timer):
            if timer is not None:
                timer.cancel()
        self.counts["let_go"] += 1
        return out[0]

    def terminate(self, session: Session) -> None:
        """The client wants it cancelled: at once if no dispatch may have run, else the server is asked.

        Then whatever comes first decides: its end, the server's word that it is cancelled, or the deadline.
        """
        if session.closed or session.terminating:
            return
        session.terminating = True
        running = [d for d in session.out() if d.stage is not Stage.WAITING]
        if not running:
            self._terminated(session)
        for dispatch in running:
            self.servers.cancel(dispatch)

    def _terminated(self, session: Session) -> None:
        if self._close(session):
            self.counts["cancelled_by_client"] += 1
            session.frontend.cancelled(session)
            self._feed(api.RequestDropped(session.number))

    # What the servers' side says.

    def cancelled(self, dispatch: Dispatch) -> None:
        """A server says that it has cancelled a dispatch as asked."""
        if dispatch.outcome is None:
            if dispatch.session.terminating:
                self._terminated(dispatch.session)
            self.settle(dispatch, api.Outcome.CANCELLED)

    def may_send(self, dispatch: Dispatch) -> bool:
        """Asked right before the first byte: while the connection came up, a drain may have been told, the
        client may have left, or the time of a repeat may have passed.
        """
        may = (
            dispatch.outcome is None
            and not dispatch.session.closed
            and not dispatch.session.terminating
            and self.clock.now_ms() <= dispatch.by_ms
            and self.table.accepts(dispatch.server)
            and dispatch.session.frontend.sending(dispatch)
        )
        if may:
            self.on_act("retry" if dispatch.number else "send", dispatch.session, dispatch.server)
        return may

    def progress(self, dispatch: Dispatch, done: float | None) -> None:
        """A job has started (None) or got so far."""
        if dispatch.outcome is None:
            number = dispatch.session.number
            self._feed(
                api.AttemptStarted(number, dispatch.number, dispatch.server)
                if done is None
                else api.AttemptProgress(number, dispatch.number, dispatch.server, done)
            )

    def settle(
        self,
        dispatch: Dispatch,
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
        session = dispatch.session
        self.counts[outcome.value] += 1
        if outcome is api.Outcome.OK and self._close(session):
            self.counts["served"] += 1
            session.frontend.served(session, result)
        session.frontend.ended(dispatch)
        self.on_ended(dispatch)
        self._forget(session)
        elapsed = self.clock.now_ms() - dispatch.sent_ms
        self._feed(
            api.AttemptEnded(
                session.number, dispatch.number, dispatch.server, outcome, elapsed, session.closed, report
            )
        )
        if session.terminating and not session.out():
            self._terminated(session)

    def probed(
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
                    self._carry_out(action)
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

    def _carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            # Fired as at its time at the earliest: a loop's timers may be a little early.
            fired = partial(self._feed, api.TimerFired(action.token), action.at_ms)
            self.clock.call_at(action.at_ms, fired)
        elif isinstance(action, api.Probe):
            self.servers.probe(action.worker)
        elif isinstance(action, api.WatchList | api.FetchList):
            pass  # the program watches discovery all the time
        else:
            session = self.sessions.get(action.request)
            if session is None:
                return  # it ended while this action was on its way; its number is never used again
            if isinstance(action, api.Send):
                self._send(session, action)
            elif isinstance(action, api.Cancel):
                self._cancel(session, action)
            else:
                self._answer(session, action)

    def _send(self, session: Session, action: api.Send) -> None:
        if session.closed or session.terminating:
            return
        now = self.clock.now_ms()
        dispatch = Dispatch(session, len(session.dispatches), action.worker, now, action.by_ms)
        session.dispatches.append(dispatch)
        if action.timeout_ms is not None:
            dispatch.timer = self.clock.call_at(now + action.timeout_ms, partial(self._timed_out, dispatch))
        self.counts["dispatches"] += 1
        self.sent[action.worker] += 1
        self.on_sent(dispatch)
        self.servers.dispatch(dispatch)

    def _cancel(self, session: Session, action: api.Cancel) -> None:
        dispatch = session.dispatches[action.attempt]
        if not action.at_once and dispatch.stage is not Stage.WAITING:
            # Only what the server has said it has: the word could overtake the job, which would run then.
            if dispatch.outcome is None and dispatch.stage is Stage.ACCEPTED:
                self.on_act("cancel", session, dispatch.server)
                self.servers.cancel(dispatch)
        elif dispatch.outcome is None:
            self.on_act("cancel", session, dispatch.server)
            self.servers.give_up(dispatch)
            self.settle(dispatch, api.Outcome.CANCELLED)

    def _timed_out(self, dispatch: Dispatch) -> None:
        if dispatch.outcome is None:
            self.servers.give_up(dispatch)
            self.settle(dispatch, api.Outcome.TIMEOUT)

    def _overdue(self, session: Session, again: bool = False) -> None:
        """The deadline: nothing is waited for any longer, and the session is answered whatever happened."""
        if not again:
            # Guards against a long turn of the loop: a call that the module asked for at once, a tick before
            # the deadline, stands behind the timers that fell due meanwhile, and would be overtaken by this.
            session.timer = self.clock.call_at(self.clock.now_ms(), partial(self._overdue, session, True))
            return
        for dispatch in session.out():
            self._timed_out(dispatch)
        if self._close(session):
            # Guards rule 1 should the decision module let a deadline pass; it has a tick's start.
            log.error("overdue", extra={"kv": {"call_id": session.call_id}})
            session.frontend.failed(session)
            self._feed(api.RequestDropped(session.number))

    def open_sessions(self) -> list[Session]:
        """The sessions that are owed an answer."""
        return list(self.open_by_call_id.values())

    def tally(self) -> tuple[Counter[str], dict[str, int]]:
        """Dispatches by server since this was last asked, and those that are out, by server."""
        sent, self.sent = self.sent, Counter()
        return sent, {
            n: worker.attempt_count for n, worker in self.policy.workers.items() if worker.attempt_count
        }

    # Answers.

    def _answer(self, session: Session, action: api.Reject | api.Fail) -> None:
        if not self._close(session):
            return
        self.on_act("deny" if isinstance(action, api.Reject) else "fail", session, "")
        if isinstance(action, api.Reject):
            self.counts["denied"] += 1
            session.frontend.denied(session, action.retry_after_ms)
        else:
            self.counts["failed"] += 1
            session.frontend.failed(session)

    def _close(self, session: Session) -> bool:
        """Mark a session as over; False if it was already, so that nothing is answered twice."""
        if session.closed:
            return False
        session.closed = True
        del self.open_by_call_id[session.call_id]
        self.on_closed(session.call_id)
        self._forget(session)
        return True

    def _forget(self, session: Session) -> None:
        if session.closed and not session.out():
            self.sessions.pop(session.number, None)
            if session.timer is not None:
                session.timer.cancel()
