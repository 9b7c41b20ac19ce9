"""The engine: passes events to the decision module and executes the actions that it returns."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable, Mapping
from functools import partial

from grebestack.core import api
from grebestack.core.policy import Policy
from grebestack.routing.interfaces import Clock, RequestListener, Workers
from grebestack.routing.requests import (
    NO_HISTORY,
    Attempt,
    AttemptStage,
    InFlightAttempt,
    Payload,
    Request,
    RequestHistory,
)
from grebestack.routing.worker_table import WorkerTable

log = logging.getLogger(__name__)
EMPTY_REPORT: Mapping[str, float] = {}
FAULT_LOG_INTERVAL_MS = 1000.0  # an exception of the decision module is logged at most once in this time


class Engine:
    """Owns the requests of one dispatcher and their attempts; all listeners and workers are attached here."""

    def __init__(self, settings: api.Settings, seed: int, clock: Clock, table: WorkerTable) -> None:
        self.settings, self.clock, self.table = settings, clock, table
        self.policy = Policy(settings, seed)
        self.workers: Workers
        self.requests: dict[int, Request] = {}  # by number; those that are open or have open attempts
        self.open_by_call_id: dict[str, Request] = {}
        self.last_number = 0
        self.events: deque[tuple[api.Event, float]] = deque()  # each with the earliest time to handle it at
        self.processing = False
        self.next_fault_log_ms = 0.0
        self.counts: Counter[str] = Counter()
        self.sent_by_worker: Counter[str] = Counter()  # attempts since the last `take_traffic_counts`
        # Set during a hot restart, to notify the other process.
        self.on_request_closed: Callable[[str], None] = lambda call_id: None
        self.on_attempt_sent: Callable[[Attempt], None] = lambda attempt: None
        self.on_attempt_ended: Callable[[Attempt], None] = lambda attempt: None
        # Set by the audit log; receives the action, the request, and the worker or an empty string.
        self.on_audited_action: Callable[[str, Request, str], None] = lambda action, request, worker: None
        table.on_change = lambda kind, entries: self._process(api.WorkersListed(kind, entries))

    def update_settings(self, settings: api.Settings) -> None:
        """Apply new settings, in which every class of the former ones keeps its index."""
        self.settings = settings
        self._process(api.SettingsChanged(settings))

    # Called on behalf of clients.

    def open_request(
        self,
        listener: RequestListener,
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
        can_wait: bool = False,
        history: RequestHistory = NO_HISTORY,
        in_flight: InFlightAttempt | None = None,
    ) -> Request | None:
        """Accept a request; None if its call id is already open. It may be answered before this returns.

        `history` and `in_flight` are what another process, or this one before, knew of its attempts.
        """
        if call_id in self.open_by_call_id:
            return None
        self.last_number += 1
        arrival = api.RequestArrived(
            self.last_number,
            job_class,
            deadline_ms,
            slots,
            memory,
            tenant,
            key,
            cost_ms,
            retry,
            aged,
            can_wait,
            history.attempt_count,
            self._workers_that_may_report(history, api.LaterReport.SAME),
            self._workers_that_may_report(history, api.LaterReport.ANY),
            history.first_possible_run,
        )
        request = Request(call_id, arrival, payload, listener, history)
        self.requests[self.last_number] = self.open_by_call_id[call_id] = request
        request.timer = self.clock.call_at(deadline_ms, partial(self._on_deadline, request))
        self.counts["sessions"] += 1
        self._process(arrival if in_flight is None else self._adopt_attempt(request, in_flight))
        return request

    def _adopt_attempt(self, request: Request, in_flight: InFlightAttempt) -> api.RequestAdopted:
        """Wait for the end of an attempt that another process has sent."""
        attempt = Attempt(
            request,
            len(request.attempts),
            in_flight.worker,
            in_flight.sent_ms,
            callback_id=in_flight.callback_id,
            zone=in_flight.zone,
            cell=in_flight.cell,
            stage=AttemptStage.ACCEPTED,
        )
        request.attempts.append(attempt)
        self.on_attempt_sent(attempt)
        self.workers.adopt_attempt(attempt, in_flight.address)
        worker = api.WorkerEntry(attempt.worker, attempt.zone, cell=attempt.cell)
        return api.RequestAdopted(request.arrival, worker, attempt.sent_ms)

    def _workers_that_may_report(
        self, history: RequestHistory, later_report: api.LaterReport
    ) -> tuple[str, ...]:
        callback_ids = {e.callback_id for e in history.reported_again if e.later_report is later_report}
        return self.table.names_of(callback_ids)

    def on_client_disconnected(self, request: Request) -> None:
        """Close a request without an answer. The decision module may cancel its open attempts.

        Unsent attempts are abandoned here whatever the settings say about cancelling, so that no byte of
        them is sent.
        """
        if self._close(request):
            self.counts["gone"] += 1
            self._drop(request)

    def close_if_client_is_gone(self, request: Request) -> None:
        """Close a request whose client has left, though this process may not have read that yet."""
        if not request.closed and request.listener.is_client_gone():
            self.on_client_disconnected(request)

    def _drop(self, request: Request) -> None:
        """Let the decision module cancel the attempts of a closed request, and abandon the unsent ones."""
        self._process(api.RequestDropped(request.number))
        for attempt in request.open_attempts():
            if attempt.stage is AttemptStage.UNSENT:
                self.workers.abandon_attempt(attempt)
                self.finish_attempt(attempt, api.Outcome.CANCELLED)

    def shorten_deadline(self, request: Request, deadline_ms: float) -> None:
        """Answer a request by an earlier deadline. A successor that takes it over uses the original one."""
        if request.closed or deadline_ms >= request.arrival.deadline_ms:
            return
        if request.timer is not None:
            request.timer.cancel()
        request.timer = self.clock.call_at(deadline_ms, partial(self._on_deadline, request))
        self._process(api.DeadlineShortened(request.number, deadline_ms))

    def withdraw_unsent(self, request: Request) -> bool:
        """Close a request without an answer if no worker can have executed it; return whether it was."""
        return not request.may_have_run and self.withdraw_waiting(request)

    def is_waiting(self, request: Request) -> bool:
        """Whether a request is open and no worker has it; earlier attempts may have run."""
        return not (request.closed or request.open_attempts())

    def withdraw_waiting(self, request: Request) -> bool:
        """Close a request without an answer if no worker has it; return whether it was."""
        if not self.is_waiting(request):
            return False
        self._close(request)
        self.counts["withdrawn"] += 1
        self._process(api.RequestDropped(request.number))
        return True

    def serve(self, request: Request, result: bytes) -> None:
        """Answer a request with a result that arrived by another way; its open attempts are cancelled."""
        if self._close_served(request, result):
            self._drop(request)

    def _close_served(self, request: Request, result: bytes) -> bool:
        """Answer a request with its result; False if it has been answered already."""
        if not self._close(request):
            return False
        self.counts["served"] += 1
        request.listener.on_served(request, result)
        return True

    def can_hand_over(self, request: Request) -> bool:
        """Whether exactly one attempt is open and its worker has confirmed that it has the job."""
        open_attempts = request.open_attempts()
        is_accepted = len(open_attempts) == 1 and open_attempts[0].stage is AttemptStage.ACCEPTED
        return is_accepted and not request.closed

    def hand_over(self, request: Request) -> Attempt | None:
        """Release a request to another process and return its open attempt; None if that is not possible.

        Neither client nor worker is notified, nor the decision module, which ends with this process.
        """
        if not self.can_hand_over(request):
            return None
        open_attempts = request.open_attempts()
        self._close(request)
        self.requests.pop(request.number, None)
        for timer in (request.timer, open_attempts[0].timer):
            if timer is not None:
                timer.cancel()
        self.counts["let_go"] += 1
        return open_attempts[0]

    def cancel_request(self, request: Request) -> None:
        """Cancel a request for its client: at once if no attempt was written, else by asking the workers.

        A request whose workers were asked ends with the first of three events: an attempt ends, the worker
        confirms that it has cancelled, or the deadline passes.
        """
        if request.closed or request.cancel_requested:
            return
        request.cancel_requested = True
        running = [a for a in request.open_attempts() if a.stage is not AttemptStage.UNSENT]
        if not running:
            self._close_cancelled(request)
        for attempt in running:
            self.workers.cancel_attempt(attempt)

    def _close_cancelled(self, request: Request) -> None:
        if self._close(request):
            self.counts["cancelled_by_client"] += 1
            request.listener.on_cancelled(request)
            self._process(api.RequestDropped(request.number))

    # Called on behalf of workers.

    def on_attempt_cancelled(self, attempt: Attempt) -> None:
        """A worker has confirmed that it has cancelled an attempt as asked."""
        if attempt.outcome is None:
            if attempt.request.cancel_requested:
                self._close_cancelled(attempt.request)
            self.finish_attempt(attempt, api.Outcome.CANCELLED, later_report=api.LaterReport.ANY)

    def confirm_send(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent, and audit it if so; called before its first byte.

        While the connection was being established its worker may have been drained, the client may have
        disconnected, or the time limit of a retry may have passed.
        """
        self.close_if_client_is_gone(attempt.request)
        allowed = (
            attempt.outcome is None
            and not attempt.request.closed
            and not attempt.request.cancel_requested
            and self.clock.now_ms() <= attempt.send_deadline_ms
            and self.table.accepts_work(attempt.worker)
            and attempt.request.listener.before_send(attempt)
        )
        if allowed:
            self.on_audited_action("retry" if attempt.number else "send", attempt.request, attempt.worker)
        return allowed

    def on_progress(self, attempt: Attempt, done: float | None) -> None:
        """A job has started (`done` is None) or reported the share of it that is done."""
        if attempt.outcome is None:
            number = attempt.request.number
            self._process(
                api.AttemptStarted(number, attempt.number, attempt.worker)
                if done is None
                else api.AttemptProgress(number, attempt.number, attempt.worker, done)
            )

    def finish_attempt(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        report: Mapping[str, float] = EMPTY_REPORT,
        result: bytes = b"",
        *,
        later_report: api.LaterReport = api.LaterReport.NONE,
    ) -> None:
        """Record how an attempt ended. Later calls are ignored: call-backs may be repeated or late."""
        if attempt.outcome is not None:
            return
        attempt.outcome, attempt.later_report = outcome, later_report
        if attempt.timer is not None:
            attempt.timer.cancel()
        request = attempt.request
        self.counts[outcome.value] += 1
        if outcome is api.Outcome.OK:
            self._close_served(request, result)
        request.listener.on_attempt_ended(attempt)
        self.on_attempt_ended(attempt)
        self._remove_if_done(request)
        elapsed = self.clock.now_ms() - attempt.sent_ms
        self._process(
            api.AttemptEnded(
                request.number,
                attempt.number,
                attempt.worker,
                outcome,
                elapsed,
                request.closed,
                report,
                later_report,
            )
        )
        if request.cancel_requested and not request.open_attempts():
            self._close_cancelled(request)

    def on_probe_ended(
        self, worker: str, outcome: api.Outcome, elapsed_ms: float, report: Mapping[str, float]
    ) -> None:
        """A probe has ended."""
        self._process(api.ProbeEnded(worker, outcome, elapsed_ms, report))

    # Events and actions of the decision module.

    def _process(self, event: api.Event, earliest_ms: float = 0.0) -> None:
        self.events.append((event, earliest_ms))
        if self.processing:  # the event was caused by an action; the loop of the outer call handles it
            return
        self.processing = True
        try:
            while self.events:
                event, earliest_ms = self.events.popleft()
                for action in self._decide(max(earliest_ms, self.clock.now_ms()), event):
                    self._execute(action)
        finally:
            self.processing = False

    def _decide(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Return the actions that the decision module returns for an event.

        If it raises, the actions up to then are executed, and a request that has just arrived is rejected.
        All other requests stay as they are: each is answered by its deadline at the latest.
        """
        try:
            return self.policy.handle(now_ms, event)
        except Exception:  # of any kind: other events and requests must not be affected
            self._log_fault(now_ms, event)
            actions = self.policy.take_actions()
            sent = {action.request for action in actions if isinstance(action, api.Send)}
            if isinstance(event, api.RequestArrived) and event.request not in sent:
                actions.append(api.Reject(event.request))
                self.events.append((api.RequestDropped(event.request), 0.0))
            return actions

    def _log_fault(self, now_ms: float, event: api.Event) -> None:
        """Count and log an exception of the decision module; to be called while it is handled."""
        self.counts["decision_faults"] += 1
        if now_ms < self.next_fault_log_ms:
            return
        self.next_fault_log_ms = now_ms + FAULT_LOG_INTERVAL_MS
        fields = {"on": type(event).__name__, "faults": self.counts["decision_faults"]}
        log.exception("decision_failed", extra={"kv": fields})

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.SetTimer):
            # The event's time is never before the timer's: timers of an event loop may fire a little early.
            fire = partial(self._process, api.TimerFired(action.token), action.at_ms)
            self.clock.call_at(action.at_ms, fire)
        elif isinstance(action, api.Probe):
            self.workers.probe(action.worker)
        elif isinstance(action, api.WatchList | api.FetchList):
            pass  # the program always watches discovery
        else:
            request = self.requests.get(action.request)
            if request is None:
                return  # it ended before this action was executed; its number is never reused
            if isinstance(action, api.Send):
                self._send(request, action)
            elif isinstance(action, api.Cancel):
                self._cancel_attempt(request, action)
            else:
                self._answer(request, action)

    def _send(self, request: Request, action: api.Send) -> None:
        if request.closed or request.cancel_requested:
            return
        now = self.clock.now_ms()
        callback_id = self.table.callback_id(action.worker)
        attempt = Attempt(request, len(request.attempts), action.worker, now, action.send_by_ms, callback_id)
        if (worker := self.table.workers.get(action.worker)) is not None:
            attempt.zone, attempt.cell = worker.entry.zone, worker.entry.cell
        request.attempts.append(attempt)
        if action.timeout_ms is not None:
            attempt.timer = self.clock.call_at(now + action.timeout_ms, partial(self._on_timeout, attempt))
        self.counts["dispatches"] += 1
        self.sent_by_worker[action.worker] += 1
        self.on_attempt_sent(attempt)
        self.workers.send_attempt(attempt)

    def _cancel_attempt(self, request: Request, action: api.Cancel) -> None:
        attempt = request.attempts[action.attempt]
        if not action.at_once and attempt.stage is not AttemptStage.UNSENT:
            # Only once the worker has confirmed the job: otherwise the cancellation could arrive before the
            # job, which would then run.
            if attempt.outcome is None and attempt.stage is AttemptStage.ACCEPTED:
                self.on_audited_action("cancel", request, attempt.worker)
                self.workers.cancel_attempt(attempt)
        elif attempt.outcome is None:
            self.on_audited_action("cancel", request, attempt.worker)
            self._abandon(attempt, api.Outcome.CANCELLED)

    def _on_timeout(self, attempt: Attempt) -> None:
        if attempt.outcome is None:
            self._abandon(attempt, api.Outcome.TIMEOUT)

    def _abandon(self, attempt: Attempt, outcome: api.Outcome) -> None:
        """Stop waiting for an attempt; its worker may have it, and report it later."""
        self.workers.abandon_attempt(attempt)
        was_sent = attempt.stage is not AttemptStage.UNSENT
        later_report = api.LaterReport.ANY if was_sent else api.LaterReport.NONE
        self.finish_attempt(attempt, outcome, later_report=later_report)

    def _on_deadline(self, request: Request, rescheduled: bool = False) -> None:
        """Abandon all attempts and answer the request, whatever its state."""
        if not rescheduled:
            # After a long turn of the event loop several timers are due together. The decision module acts a
            # tick before the deadline, but an action that it scheduled for now is queued behind this call.
            # Scheduling this once more lets such an action run first.
            request.timer = self.clock.call_at(self.clock.now_ms(), partial(self._on_deadline, request, True))
            return
        for attempt in request.open_attempts():
            self._on_timeout(attempt)
        if self._close(request):
            # Only if the decision module has missed the deadline, although it acts a tick earlier: each
            # request must be answered once.
            log.error("overdue", extra={"kv": {"call_id": request.call_id}})
            request.listener.on_failed(request)
            self._process(api.RequestDropped(request.number))

    def open_requests(self) -> list[Request]:
        """Return the requests that are not answered yet."""
        return list(self.open_by_call_id.values())

    def take_traffic_counts(self) -> tuple[Counter[str], dict[str, int]]:
        """Return, by worker, the attempts sent since the last call, and those that are open."""
        sent, self.sent_by_worker = self.sent_by_worker, Counter()
        return sent, {
            n: worker.attempt_count for n, worker in self.policy.workers.items() if worker.attempt_count
        }

    # Answers.

    def _answer(self, request: Request, action: api.Reject | api.Fail) -> None:
        if not self._close(request):
            return
        self.on_audited_action("deny" if isinstance(action, api.Reject) else "fail", request, "")
        if isinstance(action, api.Reject):
            self.counts["denied"] += 1
            request.listener.on_rejected(request, action.retry_after_ms)
        else:
            self.counts["failed"] += 1
            request.listener.on_failed(request)

    def _close(self, request: Request) -> bool:
        """Mark a request as closed; False if it already was, so that it is answered only once."""
        if request.closed:
            return False
        request.closed = True
        del self.open_by_call_id[request.call_id]
        self.on_request_closed(request.call_id)
        self._remove_if_done(request)
        return True

    def _remove_if_done(self, request: Request) -> None:
        if request.closed and not request.open_attempts():
            self.requests.pop(request.number, None)
            if request.timer is not None:
                request.timer.cancel()
