"""Slow start: how much a worker that has just started may be sent.

While it warms up, its budget grows from a share of its slots to all of them. The budget is for all
dispatchers together. They do not communicate: each one sends in turns that begin at random times, at a mean
rate that is its part of the budget.
"""

from __future__ import annotations

import math

from grebestack.core.context import DecisionContext
from grebestack.core.settings import Settings
from grebestack.core.workers import TrackedWorker

BUDGET_DEVIATIONS = 2.5  # random arrivals stay within the budget up to this many standard deviations
TURN_DEVIATIONS = 2.0  # length of a turn, as a multiple of the window / sqrt(jobs in the window)
MIN_JOBS_IN_WINDOW = 1e-6  # allowed even if the settings leave no time or no capacity


class SlowStart:
    """The turns (periods) in which this dispatcher may send to a warming worker."""

    def __init__(self, context: DecisionContext) -> None:
        """Keep no state; the turns are stored with their workers."""
        self.context = context

    def on_settings_changed(self, former: Settings) -> None:
        """Apply changed settings of slow start to the workers that are warming up already."""
        settings = self.context.settings
        if _slow_start_settings(settings) == _slow_start_settings(former):
            return
        for worker in self.context.workers.values():
            worker.on_slow_start_changed(self.context.now_ms, settings.slow_start_ms)

    def has_turn(self, worker: TrackedWorker) -> bool:
        """Whether a warming worker may be sent a job now.

        A turn that was not used expires. Otherwise a burst of requests would use the unused turns of all
        dispatchers at once.
        """
        now_ms, slow_start_ms = self.context.now_ms, self.context.settings.slow_start_ms
        while now_ms >= worker.warming_turn_end_ms:
            since_ms = max(worker.warming_turn_end_ms, worker.warm_at_ms - slow_start_ms)
            self.draw_turn(worker, 1.0, self.context.estimates.mean_run_ms(), since_ms)
        return now_ms >= worker.warming_turn_start_ms

    def draw_turn(self, worker: TrackedWorker, slots: float, run_ms: float, since_ms: float) -> None:
        """Draw the next turn at a warming worker, after a job of that many slots and that running time."""
        s = self.context.settings
        share_per_ms = (1.0 - s.slow_start_initial_share) / max(1.0, s.slow_start_ms)
        capacity_share = min(1.0, 1.0 - (worker.warm_at_ms - since_ms) * share_per_ms)
        budget = self.context.estimates.kind_slots.get(worker.entry.kind, 1.0) * s.overload_factor
        # The budget is lowered to a mean of m jobs in the window, such that m + BUDGET_DEVIATIONS * sqrt(m)
        # jobs, which may arrive by chance, are no more than max_jobs.
        max_jobs = max(MIN_JOBS_IN_WINDOW, capacity_share * budget * s.overload_window_ms / (slots * run_ms))
        budget *= (math.sqrt(BUDGET_DEVIATIONS**2 + 4.0 * max_jobs) - BUDGET_DEVIATIONS) ** 2 / (
            4.0 * max_jobs
        )
        # The start of the turn accounts for the growth of the budget until then.
        full_budget_delay_ms = (
            self.context.random.expovariate(1.0) * slots * run_ms * s.dispatcher_count / budget
        )
        worker.warming_turn_start_ms = since_ms + 2.0 * full_budget_delay_ms / (
            capacity_share
            + math.sqrt(capacity_share * capacity_share + 2.0 * share_per_ms * full_budget_delay_ms)
        )
        worker.warming_turn_end_ms = worker.warming_turn_start_ms + max(
            1.0, TURN_DEVIATIONS * s.overload_window_ms / math.sqrt(max(1.0, max_jobs))
        )


def _slow_start_settings(settings: Settings) -> tuple[float, ...]:
    """Return the settings on which the end of a slow start and its turns depend."""
    return (
        settings.slow_start_initial_share,
        settings.slow_start_ms,
        settings.overload_factor,
        settings.overload_window_ms,
        settings.dispatcher_count,
    )
