"""Slow start: how much a worker that has just started may be sent.

Its budget grows from a share of its slots to all of them while it warms up, and holds for all dispatchers
together. They do not talk to each other: each sends at random moments, at its part of the budget's rate.
"""

from __future__ import annotations

import math

from grebestack.core.context import DecisionContext
from grebestack.core.settings import Settings
from grebestack.core.workers import TrackedWorker

BUDGET_DEVIATIONS = 2.5  # the jobs that arrive by chance stay within the budget up to so many deviations
TURN_DEVIATIONS = 2.0  # a turn lasts for so many deviations of the budget's window
MIN_JOBS_IN_WINDOW = 1e-6  # allowed even where the settings leave no time or no capacity


class SlowStart:
    """The turns at which this dispatcher may send to a warming worker."""

    def __init__(self, context: DecisionContext) -> None:
        """Keep no state; the turns are stored with their workers."""
        self.context = context

    def on_settings_changed(self, former: Settings) -> None:
        """Apply other terms of slow start to the workers that are warming up already."""
        settings = self.context.settings
        if _terms(settings) == _terms(former):
            return
        for worker in self.context.workers.values():
            worker.on_slow_start_changed(self.context.now_ms, settings.slow_start_ms)

    def has_turn(self, worker: TrackedWorker) -> bool:
        """Whether a warming worker may be sent a job now.

        A turn that was not used lapses: otherwise the unused turns of all dispatchers would be taken at
        once by a burst of requests.
        """
        now_ms, slow_start_ms = self.context.now_ms, self.context.settings.slow_start_ms
        while now_ms >= worker.warming_turn_end_ms:
            since_ms = max(worker.warming_turn_end_ms, worker.warm_at_ms - slow_start_ms)
            self.draw_turn(worker, 1.0, self.context.estimates.mean_run_ms(), since_ms)
        return now_ms >= worker.warming_turn_start_ms

    def draw_turn(self, worker: TrackedWorker, slots: float, run_ms: float, since_ms: float) -> None:
        """Draw the next turn at a warming worker, after a job of so many slots and that running time."""
        s = self.context.settings
        warming_per_ms = (1.0 - s.slow_start_initial_share) / max(1.0, s.slow_start_ms)
        warmth = min(1.0, 1.0 - (worker.warm_at_ms - since_ms) * warming_per_ms)
        budget = self.context.estimates.kind_slots.get(worker.entry.kind, 1.0) * s.overload_factor
        # The jobs allowed in the window. When m are meant, m + c * sqrt(m) may arrive by chance.
        most = max(MIN_JOBS_IN_WINDOW, warmth * budget * s.overload_window_ms / (slots * run_ms))
        budget *= (math.sqrt(BUDGET_DEVIATIONS**2 + 4.0 * most) - BUDGET_DEVIATIONS) ** 2 / (4.0 * most)
        # The delay accounts for the growth of the budget until then.
        full_budget_delay_ms = (
            self.context.random.expovariate(1.0) * slots * run_ms * s.dispatcher_count / budget
        )
        worker.warming_turn_start_ms = since_ms + 2.0 * full_budget_delay_ms / (
            warmth + math.sqrt(warmth * warmth + 2.0 * warming_per_ms * full_budget_delay_ms)
        )
        worker.warming_turn_end_ms = worker.warming_turn_start_ms + max(
            1.0, TURN_DEVIATIONS * s.overload_window_ms / math.sqrt(max(1.0, most))
        )


def _terms(settings: Settings) -> tuple[float, ...]:
    """Return the settings on which the end of a slow start and its turns depend."""
    return (
        settings.slow_start_initial_share,
        settings.slow_start_ms,
        settings.overload_factor,
        settings.overload_window_ms,
        settings.dispatcher_count,
    )
