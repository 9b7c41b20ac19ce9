"""All decisions of one dispatcher, by Allocation Priority Policies (APP; De Palma et al.).

`Policy` maps each event to a handler. The rules are in the neighbouring modules: admission, selection,
retries, queueing, outliers and slow_start. The events and actions are listed in `api.py`. Nothing here does
input or output or reads a clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from grebestack.core import api
from grebestack.core.admission import AdmissionControl
from grebestack.core.context import DecisionContext
from grebestack.core.estimates import Estimates
from grebestack.core.events import ListKind
from grebestack.core.learning import OutcomeLearning
from grebestack.core.outliers import OutlierDetection
from grebestack.core.queueing import Priority, RequestQueue, Reservation, queue_time_limit_ms
from grebestack.core.requests import QueueKey, Request, RequestTable
from grebestack.core.retries import may_cancel_and_retry, may_hedge, may_reject, may_send, send_by_ms
from grebestack.core.selection import Selector
from grebestack.core.slow_start import SlowStart
from grebestack.core.timers import TimerQueue
from grebestack.core.workers import Attempt, TrackedWorker

QUEUE_SCAN_INTERVAL_MS = 20.0  # mean time until queued requests try all workers again
MAX_SCANNED_WORKERS = 6  # workers for which one scan looks for the most valuable request
RANKING_INTERVAL_MS = 1000.0  # between two renewals of the rankings of workers and queues
MAX_LIST_BACKOFF_DOUBLINGS = 2
LIST_RETRIES_PER_DEADLINE = 16  # initial rate of retries after a failed endpoint list
MAX_CACHED_KEYS = 4  # keys of this dispatcher whose data a worker is expected to cache


class Policy:
    """The decisions of one dispatcher: it takes events, and its caller carries out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start without workers; the seed determines all random numbers."""
        self.context = DecisionContext(settings, seed)
        self.requests, self.queue = RequestTable(), RequestQueue()
        self.timers, self.actions = TimerQueue(), list[api.Action]()
        self.reservation = Reservation()
        self.admission = AdmissionControl(self.context)
        self.outliers = OutlierDetection(self.context)
        self.learning = OutcomeLearning(self.context, self.outliers)
        self.slow_start = SlowStart(self.context)
        self.selector = Selector(self.context, self.outliers, self.slow_start, self.reservation)
        self.priority = Priority(self.context, self.queue)
        self.list_failure_count = 0
        self.is_started, self.is_scan_scheduled = False, False
        self._apply_settings(settings)
        self.handlers: dict[type, Callable[..., None]] = {
            api.WorkersListed: self._on_workers_listed,
            api.RequestArrived: self._on_request_arrived,
            api.RequestAdopted: self._on_request_adopted,
            api.SettingsChanged: self._on_settings_changed,
            api.AttemptStarted: self._on_attempt_started,
            api.StreamStarted: self._on_attempt_started,
            api.AttemptEnded: self._on_attempt_ended,
            api.RequestDropped: self._on_request_dropped,
            api.DeadlineShortened: self._on_deadline_shortened,
            api.TimerFired: self._on_timer_fired,
            api.ProbeEnded: self.learning.on_load_report,
            api.AttemptProgress: self._on_attempt_progress,
        }

    @property
    def settings(self) -> api.Settings:
        """The current settings."""
        return self.context.settings

    @property
    def workers(self) -> dict[str, TrackedWorker]:
        """The known workers by name."""
        return self.context.workers

    @property
    def estimates(self) -> Estimates:
        """What was learned about job classes and kinds of workers."""
        return self.context.estimates

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Handle one event and return the actions to carry out, in order."""
        context = self.context
        context.now_ms = max(context.now_ms, now_ms)
        if not self.is_started:
            self.is_started = True
            first_ms = context.now_ms + context.random.uniform(0, RANKING_INTERVAL_MS)
            self.timers.add(first_ms, self._on_ranking_timer)
            if context.settings.polls_endpoint_list:
                self.actions.append(api.WatchList())
        self.handlers[type(event)](event)
        return self.take_actions()

    def take_actions(self) -> list[api.Action]:
        """Return the actions decided since they were last returned, with the timer that is due next.

        `handle` calls it. After `handle` has raised, it returns what was decided before the exception.
        """
        if (at_ms := self.timers.next_timer_ms()) is not None:
            self.actions.append(api.SetTimer(at_ms, self.timers.token))
        actions, self.actions = self.actions, []
        return actions

    # Settings, timers and the endpoint list.

    def _apply_settings(self, settings: api.Settings) -> None:
        self.context.settings = settings
        self.context.estimates.add_classes(settings.classes)
        self.admission.on_settings_changed()
        self.selector.on_settings_changed()

    def _on_settings_changed(self, event: api.SettingsChanged) -> None:
        former = self.settings
        self._apply_settings(event.settings)
        self.slow_start.on_settings_changed(former)

    def _on_timer_fired(self, event: api.TimerFired) -> None:
        self.timers.run_due(self.context.now_ms, event.token)

    def _on_attempt_progress(self, event: api.AttemptProgress) -> None:
        """Ignore the report: no decision depends on progress."""

    def _on_workers_listed(self, event: api.WorkersListed) -> None:
        if event.kind is ListKind.FAILED:
            self._on_list_failed()
            return
        self.list_failure_count, changed = 0, event.kind is not ListKind.CHANGES
        if changed:
            names = {entry.worker for entry in event.workers}
            for name, worker in self.workers.items():
                worker.is_ready = worker.is_ready and name in names
        for entry in event.workers:
            changed = self.context.update_worker(entry) or changed
        if changed:
            self.selector.on_workers_changed()
            self._serve_queue()

    def _on_list_failed(self) -> None:
        """Retry well before the poll deadline, at a random time: all dispatchers share the list service.

        Only the simulator reports failed lists; a real dispatcher watches the list in endpoint_watch/.
        """
        context = self.context
        pause_ms = context.jittered_ms(
            context.settings.poll_deadline_ms / LIST_RETRIES_PER_DEADLINE,
            min(self.list_failure_count, MAX_LIST_BACKOFF_DOUBLINGS),
        )
        self.timers.add(context.now_ms + pause_ms, lambda: self.actions.append(api.WatchList()))
        self.list_failure_count += 1

    def _on_ranking_timer(self) -> None:
        """Renew the rankings of workers and queues, and forget unready workers without attempts."""
        context = self.context
        self.timers.add(context.now_ms + RANKING_INTERVAL_MS, self._on_ranking_timer)
        self.selector.on_ranking_timer()
        for worker in context.workers.values():
            self.outliers.update_slowness(worker)
        ready = [worker for worker in context.workers.values() if worker.is_ready]
        warm = [worker for worker in ready if worker.warm_at_ms <= context.now_ms]
        context.estimates.update_others_load(warm, context.now_ms)
        self.outliers.update_typical(ready, len(self.selector.block_indices))
        self.priority.sort_queues()
        gone = [n for n, worker in context.workers.items() if not (worker.is_ready or worker.attempt_count)]
        for name in gone:
            del context.workers[name]

    # Requests: the only places that send, reject or fail.

    def _on_request_arrived(self, event: api.RequestArrived) -> None:
        context = self.context
        request = self._add_request(event, is_over_quota=not self.admission.is_within_quota(event.tenant))
        value = request.job_class.priority_weight * request.value_units(context.settings)
        context.estimates.on_arrival(event.job_class, event.slots, value)
        if self.queue.heads(request.queue_key, 1) and not self.selector.has_no_candidate(request):
            self._enqueue(request)
        else:
            self._place(request)

    def _on_request_adopted(self, event: api.RequestAdopted) -> None:
        """Await the open attempt like one of this process; quota and arrivals counted it where it arrived."""
        context, arrival = self.context, event.arrival
        request = self._add_request(arrival, is_over_quota=False)
        worker = context.find_or_add_worker(event.worker)
        run_ms = context.estimates.expected_run_ms(arrival.job_class, arrival.cost_ms)
        attempt = Attempt(
            worker, event.sent_ms, arrival.slots, arrival.memory, run_ms, started_ms=event.sent_ms
        )
        self._add_attempt(request, attempt)

    def _add_request(self, arrival: api.RequestArrived, is_over_quota: bool) -> Request:
        """Record a request, which is answered by its deadline whatever becomes of it."""
        job_class = self.settings.classes[arrival.job_class]
        key = QueueKey(arrival.job_class, is_over_quota, False, arrival.aged)
        request = Request(arrival, job_class, self.context.now_ms, key, self.settings.max_attempts)
        self.requests[arrival.request] = request
        self._give_up_at_deadline(request)
        return request

    def _on_request_dropped(self, event: api.RequestDropped) -> None:
        if (request := self.requests.get(event.request)) and not request.is_closed:
            self._close(request)

    def _on_deadline_shortened(self, event: api.DeadlineShortened) -> None:
        request = self.requests.get(event.request)
        if request is None or request.is_closed or event.deadline_ms >= request.arrival.deadline_ms:
            return
        request.arrival = replace(request.arrival, deadline_ms=event.deadline_ms)
        self._give_up_at_deadline(request)

    def _give_up_at_deadline(self, request: Request) -> None:
        """Schedule the answer to a request for one tick before its deadline, by which it must be sent."""
        self.timers.add(request.arrival.deadline_ms - self.settings.tick_ms, self._give_up, request)

    def _place(self, request: Request) -> None:
        """Send a request to a valid worker, queue it, or answer it if it cannot be sent again."""
        if not may_send(request, self.context.now_ms, self.settings):
            if not request.awaited_attempts():
                self._give_up(request)
            return
        if request.is_new and self.admission.is_shed(request.job_class):
            self._give_up(request)
        elif worker := self.selector.select(request):
            self._send(request, worker)
        elif self.selector.is_hopeless(request):
            self._give_up(request)
        else:
            self._enqueue(request)

    def _send(self, request: Request, worker: TrackedWorker) -> None:
        """Send the next attempt, which replaces any that is in flight."""
        context, arrival, class_index = self.context, request.arrival, request.queue_key.class_index
        self._cancel_attempts(request)
        request.is_queued = False
        self.admission.on_sent()
        run_ms = context.estimates.expected_run_ms(class_index, arrival.cost_ms)
        attempt = Attempt(worker, context.now_ms, arrival.slots, arrival.memory, run_ms)
        self.outliers.on_sent(worker, class_index, run_ms)
        by_ms = send_by_ms(request)  # must be computed before this attempt is added
        if worker.warm_at_ms > context.now_ms:
            self.slow_start.draw_turn(worker, arrival.slots, run_ms, context.now_ms)
        self._add_attempt(request, attempt)
        if arrival.cache_key is not None:
            worker.add_cached_key(arrival.cache_key, MAX_CACHED_KEYS)
        if context.settings.reports_attempt_start:
            worker.unstarted_count += 1
            overdue_ms = context.now_ms + self.outliers.start_timeout_ms(worker, request)
            self.timers.add(overdue_ms, self._on_start_overdue, request, attempt)
        else:
            attempt.started_ms = context.now_ms
        self.actions.append(api.Send(arrival.request, worker.entry.worker, None, by_ms))

    @staticmethod
    def _add_attempt(request: Request, attempt: Attempt) -> None:
        """Record an attempt and count it at its worker."""
        request.attempts.append(attempt)
        attempt.worker.count_attempt(request.arrival, 1)
        attempt.worker.recent_attempts.append(attempt)

    def _cancel_attempts(self, request: Request) -> None:
        for attempt in request.awaited_attempts():
            attempt.is_cancelled = True
            if self.settings.cancel:
                self.actions.append(api.Cancel(request.arrival.request, request.attempts.index(attempt)))

    def _give_up(self, request: Request) -> None:
        """Answer a request that is not sent again: reject it if a retry is harmless, else fail it."""
        number = request.arrival.request
        if may_reject(request):
            retry_after_ms = self.admission.retry_after_ms(request.queue_key.class_index, self.queue.count())
            self._close(request, api.Reject(number, retry_after_ms))
        else:
            self._close(request, api.Fail(number))

    def _close(self, request: Request, answer: api.Action | None = None) -> None:
        request.is_closed, request.is_queued = True, False
        if answer is not None:
            self.actions.append(answer)
        self._cancel_attempts(request)
        if all(a.outcome is not None for a in request.attempts):
            self.requests.pop(request.arrival.request, None)

    # Queued requests.

    def _enqueue(self, request: Request) -> None:
        """Queue a request here rather than at an arbitrary worker, and schedule a scan of the queue."""
        if not request.is_queued:
            self.queue.add(request)
            key = request.queue_key
            if not (key.is_late or key.is_aged):  # these stay queued until their deadline
                run_ms = self.estimates.run_ms[key.class_index]
                limit_ms = queue_time_limit_ms(request, run_ms)
                self.timers.add(request.arrived_ms + limit_ms, self._on_queue_timeout, request)
        if not self.is_scan_scheduled:
            self._schedule_scan()

    def _on_queue_timeout(self, request: Request) -> None:
        """Reject a request queued past its objective, or keep it as late if a late answer has a value."""
        if not request.is_queued or request.awaited_attempts():
            return
        if request.job_class.late_priority_weight > 0 or not may_reject(request):
            request.is_queued = False
            request.queue_key = request.queue_key._replace(is_late=True, is_aged=False)
            self._enqueue(request)
        else:
            self._give_up(request)

    def _schedule_scan(self) -> None:
        self.is_scan_scheduled = True
        scan_ms = self.context.now_ms + self.context.jittered_ms(QUEUE_SCAN_INTERVAL_MS)
        self.timers.add(scan_ms, self._scan_queue)

    def _scan_queue(self) -> None:
        """Serve the queue at a few random workers with cached keys, then at all workers."""
        now_ms = self.context.now_ms
        free = [
            worker
            for worker in self.workers.values()
            if worker.is_ready and worker.cached_keys and worker.may_have_capacity(now_ms)
        ]
        try:
            for worker in self.context.random.sample(free, min(MAX_SCANNED_WORKERS, len(free))):
                self._serve_queue(worker)
            self._serve_queue()
        finally:
            self.is_scan_scheduled = False
            if not self.queue.is_empty():
                self._schedule_scan()

    def _serve_queue(self, freed: TrackedWorker | None = None) -> None:
        """Try the first or most valuable queued requests, at the freed worker or at all workers (None)."""
        for request in self.priority.candidates(freed):
            if not may_send(request, self.context.now_ms, self.settings):
                continue
            if worker := self.selector.select(request, freed):
                self._send(request, worker)
            elif freed and request.queue_key.is_aged and self.selector.fits_when_idle(request, freed):
                self.reservation.reserve_worker(request, freed)

    # Attempts.

    def _on_attempt_started(self, event: api.AttemptStarted | api.StreamStarted) -> None:
        request, attempt = self.requests.find(event.request, event.attempt)
        if request is None or attempt is None or attempt.started_ms is not None:
            return
        worker, delay_ms = attempt.worker, self.context.now_ms - attempt.sent_ms
        attempt.started_ms = self.context.now_ms
        worker.unstarted_count -= 1
        if not attempt.is_cancelled:
            request.is_queued = False
        if delay_ms <= self.outliers.start_timeout_ms(worker, request):
            self.admission.on_prompt_start()
            self.outliers.on_prompt_start(worker)
        self.estimates.on_start_delay(worker.own_zone, delay_ms)

    def _on_start_overdue(self, request: Request, attempt: Attempt) -> None:
        """Treat the worker as full, and move the job to another worker if that is allowed."""
        worker, movable = attempt.worker, may_cancel_and_retry(request, self.settings)
        self.admission.on_overdue_start(may_move=movable and len(request.attempts) <= 1)
        self.estimates.on_start_delay(worker.own_zone, self.context.now_ms - attempt.sent_ms)
        backoff_ms = self.estimates.run_ms[request.queue_key.class_index] / 2
        self.outliers.on_overload(worker, max(0.0, worker.used_slots - 1.0), backoff_ms)
        if request.is_closed:
            return
        if may_hedge(request, self.settings):
            self._place(request)
        elif movable:
            index = request.attempts.index(attempt)
            self.actions.append(api.Cancel(request.arrival.request, index, False))

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        request, attempt = self.requests.find(event.request, event.attempt)
        if request is None or attempt is None:
            return
        request.end_attempt(attempt, event, self.context.now_ms)
        worker = attempt.worker
        was_full = worker.used_slots >= worker.concurrency_limit
        worker.count_attempt(request.arrival, -1)
        if attempt.started_ms is None:
            worker.unstarted_count -= 1
        self.learning.on_attempt_ended(request, attempt, event, was_full)
        if event.closed or request.is_closed:
            self._close(request)
        elif not request.awaited_attempts():
            self._place(request)
        self._serve_queue(worker)
        if worker.used_slots < worker.concurrency_limit:
            self.selector.on_slots_freed()
