"""What a dispatcher learns from how attempts and probes end."""

from __future__ import annotations

from grebestack.core import api
from grebestack.core.context import DecisionContext
from grebestack.core.events import Outcome
from grebestack.core.outliers import OutlierDetection
from grebestack.core.queueing import queue_time_limit_ms
from grebestack.core.requests import Request
from grebestack.core.workers import Attempt


class OutcomeLearning:
    """Updates the workers and the estimates after the end of an attempt or a probe."""

    def __init__(self, context: DecisionContext, outliers: OutlierDetection) -> None:
        """Learn for these decisions."""
        self.context, self.outliers = context, outliers

    def on_attempt_ended(
        self, request: Request, attempt: Attempt, event: api.AttemptEnded, was_full: bool
    ) -> None:
        """Update the worker's error rate, concurrency limit, backoff and load."""
        worker, class_index, outcome = attempt.worker, request.queue_key.class_index, event.outcome
        if outcome in (Outcome.OK, Outcome.ERROR):
            self.outliers.on_answer(worker, class_index, is_error=outcome is Outcome.ERROR)
        if outcome is Outcome.OK:
            self._on_success(request, attempt, was_full)
        elif outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT):
            if outcome in (Outcome.RESET, Outcome.CONNECT_FAILED):
                self.outliers.on_connection_error(worker)
            run_ms = self.context.estimates.run_ms[class_index]
            backoff_ms = max(self.context.settings.connect_timeout_ms, run_ms / 2)
            self.outliers.on_overload(worker, worker.used_slots, backoff_ms)
        self.on_load_report(event)

    def _on_success(self, request: Request, attempt: Attempt, was_full: bool) -> None:
        """Learn running times; raise the concurrency limit while a full worker meets the objective."""
        context, worker, class_index = self.context, attempt.worker, request.queue_key.class_index
        run_ms = context.now_ms - (attempt.started_ms or attempt.sent_ms)
        context.estimates.on_success(class_index, run_ms, request.arrival.cost_ms)
        self.outliers.on_run_time(worker, class_index, run_ms / attempt.expected_run_ms)
        if self.outliers.has_crashed(worker, attempt):
            worker.on_restarted(context.now_ms, context.now_ms, context.settings.slow_start_ms)
        self.outliers.on_success(worker)
        mean_run_ms = context.estimates.run_ms[class_index]
        limit_ms = queue_time_limit_ms(request, mean_run_ms) + run_ms
        if was_full and context.now_ms - request.arrived_ms <= limit_ms:
            self.outliers.raise_limit(worker, mean_run_ms)

    def on_load_report(self, event: api.AttemptEnded | api.ProbeEnded) -> None:
        """Apply the load report of a worker, if it is listed."""
        context = self.context
        if worker := context.workers.get(event.worker):
            fields = context.settings.report_fields
            worker.on_load_report(event.report, fields, context.now_ms, context.estimates)
