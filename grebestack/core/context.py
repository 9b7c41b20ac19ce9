"""What all decisions of a dispatcher share: the time, the settings, the workers and the estimates."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from grebestack.core.estimates import Estimates
from grebestack.core.events import WorkerEntry, WorkerState
from grebestack.core.settings import Settings
from grebestack.core.workers import TrackedWorker

MAX_BACKOFF_DOUBLINGS = 5


class DecisionContext:
    """The inputs that all decisions share; only `Policy` changes the time and the settings.

    All random numbers come from `random`, so a seed and a sequence of events determine every decision.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start at time 0 without workers."""
        self.settings = settings
        self.now_ms = 0.0
        self.random = Random(seed)
        self.estimates = Estimates(settings.tick_ms, self.random)
        self.workers: dict[str, TrackedWorker] = {}

    def jittered_ms(self, mean_ms: float, doublings: int = 0) -> float:
        """Return a random delay in ms: 0.5 to 1.5 times the mean, doubled `doublings` times."""
        return mean_ms * 2.0 ** min(doublings, MAX_BACKOFF_DOUBLINGS) * self.random.uniform(0.5, 1.5)

    def find_or_add_worker(self, entry: WorkerEntry) -> TrackedWorker:
        """Return a worker; one that is not listed is added as gone until its attempts have ended."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            gone = replace(entry, state=WorkerState.GONE)
            worker = self.workers[entry.worker] = TrackedWorker(gone, gone.zone == self.settings.zone)
        return worker

    def update_worker(self, entry: WorkerEntry) -> bool:
        """Apply an entry of the endpoint list; return whether it changes which workers are ready."""
        settings = self.settings
        known = self.workers.get(entry.worker)
        worker = known or TrackedWorker(entry, entry.zone == settings.zone)
        if known is None or entry.started_ms not in (None, worker.entry.started_ms):
            self.workers[entry.worker] = worker
            worker.on_restarted(self.now_ms, entry.started_ms, settings.slow_start_ms)
        changed = worker.update_entry(entry)
        if settings.weights_follow_load and "free_slots" in settings.report_fields:
            worker.on_load_weight(self.now_ms, self.estimates)
        return changed
