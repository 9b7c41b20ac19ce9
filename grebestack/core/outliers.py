"""Overload and failures of single workers: concurrency limit, backoff, ejection and trial requests."""

from __future__ import annotations

from collections.abc import Sequence

from grebestack.core.context import DecisionContext
from grebestack.core.estimates import lower_median
from grebestack.core.requests import Request
from grebestack.core.retries import may_hedge
from grebestack.core.workers import Attempt, TrackedWorker

START_DELAY_FACTOR = 3.0  # a start is overdue after this many usual delays plus two ticks
MAX_START_DELAY_SHARE = 0.25  # or, if that is earlier, after this share of the latency objective
RAISE_PAUSE_MS = 2000.0  # the concurrency limit is not raised for this long after overload
CRASH_CONNECTION_ERRORS = 2  # this many in a row mean that the worker crashed
SLOWNESS_LEARNING_RATE = 0.2
MAX_SLOWNESS = 4.0  # upper bound for one job, which may just be unusually large
SLUGGISH_FACTOR = 1.5  # a worker that is this much slower than typical is ranked lower and gets fewer jobs
OUTLIER_FACTOR = 2.5  # a worker that is this much slower is an outlier: ejected between trial requests
TRIAL_INTERVAL_RUNS = 4.0  # running times until the first trial request; doubled each time
ERROR_LEARNING_RATE = 0.3
MIN_OUTLIER_ERROR_RATE = 0.1  # a worker with a lower error rate is never ejected for it
OUTLIER_ERROR_FACTOR = 1.5  # this multiple of the class's typical error rate is tolerated in addition


class OutlierDetection:
    """Compares workers with each other, and limits what an overloaded or failing one is sent."""

    def __init__(self, context: DecisionContext) -> None:
        """Start without slow workers and errors."""
        self.context = context
        self.typical_slowness = 1.0
        self.typical_error_rates: dict[int, float] = {}  # by class

    # Ejection and trial requests.

    def update_typical(self, ready: Sequence[TrackedWorker], class_count: int) -> None:
        """Learn the median slowness and error rates of the ready workers."""
        self.typical_slowness = max(1.0, lower_median(worker.slowness for worker in ready))
        for index in range(class_count):
            rates = (worker.error_rates.get(index, 0.0) for worker in ready)
            self.typical_error_rates[index] = lower_median(rates)

    def update_slowness(self, worker: TrackedWorker) -> None:
        """Raise the slowness by attempts that are still running: none ever ends on a worker that hangs."""
        now_ms = self.context.now_ms
        running = (a for a in worker.recent_attempts if a.outcome is None)
        ratios = sorted((now_ms - a.sent_ms) / a.expected_run_ms for a in running)
        if len(ratios) > 1:
            worker.slowness = max(worker.slowness, min(MAX_SLOWNESS, ratios[len(ratios) // 2]))

    def is_outlier(self, worker: TrackedWorker, class_index: int) -> bool:
        """Whether a worker is far slower than others, or fails a class that they do not fail.

        Such a worker always has free slots and would otherwise attract most of the work.
        """
        max_error_rate = MIN_OUTLIER_ERROR_RATE + OUTLIER_ERROR_FACTOR * self.typical_error_rates.get(
            class_index, 0.0
        )
        return (
            worker.slowness > OUTLIER_FACTOR * self.typical_slowness
            or worker.error_rates.get(class_index, 0.0) > max_error_rate
        )

    def is_ejected(self, worker: TrackedWorker, class_index: int) -> bool:
        """Whether a worker is an outlier and its next trial request is not due."""
        if not self.is_outlier(worker, class_index):
            return False
        return self.context.now_ms < worker.next_trial_ms.get(class_index, 0.0)

    def on_sent(self, worker: TrackedWorker, class_index: int, run_ms: float) -> None:
        """Schedule the next trial request if this one is a trial."""
        if self.is_outlier(worker, class_index):
            delay_ms = self.context.jittered_ms(TRIAL_INTERVAL_RUNS * run_ms, worker.consecutive_trials)
            worker.next_trial_ms[class_index] = self.context.now_ms + delay_ms
            worker.consecutive_trials += 1

    def on_answer(self, worker: TrackedWorker, class_index: int, *, is_error: bool) -> None:
        """Learn the error rate of a class; each success halves it."""
        rate = worker.error_rates.get(class_index, 0.0)
        worker.error_rates[class_index] = rate + ERROR_LEARNING_RATE * (1.0 - rate) if is_error else rate / 2

    def on_run_time(self, worker: TrackedWorker, class_index: int, ratio: float) -> None:
        """Learn a running time, given as a multiple of the expected one.

        If it was not slow, the next trial request may follow at once.
        """
        worker.slowness += SLOWNESS_LEARNING_RATE * (min(MAX_SLOWNESS, ratio) - worker.slowness)
        if ratio <= SLUGGISH_FACTOR * self.typical_slowness:
            worker.consecutive_trials, worker.next_trial_ms[class_index] = 0, self.context.now_ms

    # Overload, backoff and the concurrency limit.

    def start_timeout_ms(self, worker: TrackedWorker, request: Request) -> float:
        """Return how long after the sending of an attempt its start is overdue.

        The share of the latency objective is the limit when all workers have queues and the usual delays are
        long.
        """
        estimates, tick_ms = self.context.estimates, self.context.settings.tick_ms
        usual_ms = START_DELAY_FACTOR * estimates.start_delay_ms(worker.own_zone) + 2 * tick_ms
        return min(usual_ms, request.job_class.latency_objective_ms * MAX_START_DELAY_SHARE)

    def is_backing_off(self, worker: TrackedWorker, request: Request) -> bool:
        """Whether an overloaded worker is at its concurrency limit and takes no trial job.

        An idle worker is tried with one job after the backoff. A job that could not be moved elsewhere waits
        for another running time, because the worker may hang.
        """
        if worker.consecutive_overloads == 0 or worker.used_slots < worker.concurrency_limit:
            return False
        if worker.attempt_count > 0:
            return True
        context = self.context
        movable = may_hedge(request, context.settings)
        wait_ms = 0.0 if movable else context.estimates.run_ms[request.queue_key.class_index]
        return context.now_ms < worker.backoff_until_ms + wait_ms

    def on_overload(self, worker: TrackedWorker, concurrency_limit: float, backoff_ms: float) -> None:
        """Lower the concurrency limit, in slots, and back off; the backoff (ms) doubles each time.

        Called for an overdue start, a rejection, a timeout, a failed connection and a reset.
        """
        context = self.context
        worker.concurrency_limit = min(worker.concurrency_limit, concurrency_limit)
        worker.backoff_until_ms = context.now_ms + context.jittered_ms(
            backoff_ms, worker.consecutive_overloads
        )
        worker.raise_limit_after_ms = context.now_ms + context.jittered_ms(RAISE_PAUSE_MS)
        worker.consecutive_overloads += 1

    def on_prompt_start(self, worker: TrackedWorker) -> None:
        """End the backoff; a worker without a queue has at least as many slots as are in use."""
        worker.consecutive_overloads = 0
        if worker.unstarted_count == 0:
            worker.concurrency_limit = max(worker.concurrency_limit, worker.used_slots)
            self.context.estimates.on_slots_seen(worker.entry.kind, worker.used_slots)

    def on_connection_error(self, worker: TrackedWorker) -> None:
        """Count a connection that broke or was never established."""
        worker.consecutive_connection_errors += 1
        if worker.consecutive_connection_errors == 1:
            worker.first_connection_error_ms = self.context.now_ms

    def has_crashed(self, worker: TrackedWorker, attempt: Attempt) -> bool:
        """Whether a successful attempt shows that the worker crashed and has restarted.

        The endpoint list may report it only later, and a restarted worker must not be sent its full load.
        """
        return (
            worker.consecutive_connection_errors >= CRASH_CONNECTION_ERRORS
            and attempt.sent_ms >= worker.first_connection_error_ms
        )

    def on_success(self, worker: TrackedWorker) -> None:
        """Reset the counts of consecutive failures."""
        worker.consecutive_overloads, worker.consecutive_connection_errors = 0, 0
        worker.last_success_ms = self.context.now_ms

    def raise_limit(self, worker: TrackedWorker, run_ms: float) -> None:
        """Raise the concurrency limit by one slot if all attempts have started, once per running time."""
        now_ms = self.context.now_ms
        if worker.unstarted_count == 0 and now_ms >= worker.raise_limit_after_ms:
            worker.concurrency_limit += 1.0
            worker.raise_limit_after_ms = now_ms + self.context.jittered_ms(run_ms)
