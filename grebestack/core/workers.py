"""What a dispatcher knows about each worker: its own attempts there, the load of others, and failures."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from grebestack.core.estimates import LOAD_MAX_AGE_MS, Estimates
from grebestack.core.events import Outcome, RequestArrived, WorkerEntry, WorkerState
from grebestack.core.hashing import stable_hash

LOAD_LEARNING_RATE = 0.3  # lowest share of a load report in the known load of other dispatchers
RECENT_SUCCESS_MS = 1500.0  # a worker that succeeded within this time is assumed to work
MAX_LOAD_PER_SLOT = 16.0  # most requests per slot that a weight of the endpoint list shows
ENDED_ATTEMPT_MAX_AGE_MS = 1500.0  # a load report may still show an attempt that ended this long ago
REPORT_DELAY_MS = 500.0  # a load report shows a worker as it was this long before


@dataclass(slots=True, eq=False)
class TrackedWorker:
    """The state of one worker as this dispatcher knows it. Times are milliseconds on the events' clock."""

    entry: WorkerEntry
    own_zone: bool
    name_hash: int = field(init=False)  # its position in the order of hashes that all dispatchers share
    is_ready: bool = False
    # Attempts of this dispatcher that have not ended.
    used_slots: float = 0.0
    used_memory: float = 0.0
    attempt_count: int = 0
    unstarted_count: int = 0
    # The concurrency limit, and backoff after overload.
    concurrency_limit: float = 1.0  # in slots
    raise_limit_after_ms: float = 0.0
    backoff_until_ms: float = 0.0
    consecutive_overloads: int = 0
    consecutive_connection_errors: int = 0
    first_connection_error_ms: float = 0.0
    # Outlier detection.
    slowness: float = 1.0  # running times here divided by the expected ones
    error_rates: dict[int, float] = field(default_factory=dict)  # by class
    next_trial_ms: dict[int, float] = field(default_factory=dict)  # by class
    consecutive_trials: int = 0
    last_success_ms: float = 0.0
    # Slow start: a send is allowed from the turn's beginning to its end.
    process_started_ms: float | None = None  # None: long ago, so it is warm
    warm_at_ms: float = 0.0
    warming_turn_start_ms: float = 0.0
    warming_turn_end_ms: float = 0.0
    # The last known load.
    load_report: Mapping[str, float] = field(default_factory=dict)
    load_updated_ms: float = 0.0  # 0: the load was never reported
    recent_attempts: list[Attempt] = field(default_factory=list)  # including those that ended recently
    own_slots: float = 0.0  # slots of this dispatcher's attempts at the time that the report shows
    rounding: float = 1.0  # random share of a job added to the usable slots; renewed by each report
    others_slots: float = 0.0
    others_memory: float = 0.0
    max_free_memory: float = 0.0
    max_free_slots: float = 1.0  # highest ever reported or inferred; taken as its size in slots
    # Its position on the ring of dispatchers and workers.
    ring_distance: float = 0.0  # from this dispatcher, 0 to 0.5
    closer_dispatchers: float = 0.0  # estimated number of other dispatchers that are closer
    cached_keys: dict[int, None] = field(default_factory=dict)  # most recently used last
    is_reinstated: bool = False  # put back into use by the operators, and not sent a job since

    def __post_init__(self) -> None:
        """Compute the hash of the name."""
        self.name_hash = stable_hash(self.entry.worker)

    def on_restarted(self, now_ms: float, started_ms: float | None, slow_start_ms: float) -> None:
        """Reset what was known about its former process; it is warm if it started long ago (None)."""
        self.concurrency_limit, self.backoff_until_ms = 1.0, 0.0
        self.consecutive_overloads, self.consecutive_connection_errors = 0, 0
        self.slowness, self.error_rates, self.consecutive_trials = 1.0, {}, 0
        self.load_report, self.load_updated_ms, self.last_success_ms, self.cached_keys = {}, 0.0, 0.0, {}
        self.process_started_ms = None if started_ms is None else min(started_ms, now_ms)
        self.on_slow_start_changed(now_ms, slow_start_ms)

    def on_slow_start_changed(self, now_ms: float, slow_start_ms: float) -> None:
        """Compute the end of its slow start from the start of its process, and discard the drawn turn."""
        started_ms = self.process_started_ms
        self.warm_at_ms = 0.0 if started_ms is None else started_ms + slow_start_ms
        self.warming_turn_end_ms = now_ms

    def count_attempt(self, arrival: RequestArrived, sign: int) -> None:
        """Add an attempt to the counts (sign 1), which ends is_reinstated, or remove it (-1)."""
        self.attempt_count += sign
        self.is_reinstated = self.is_reinstated and sign < 0
        self.used_slots += sign * arrival.slots
        self.used_memory += sign * arrival.memory

    def add_cached_key(self, key: int, capacity: int) -> None:
        """Record that a job with a cache key is sent here; the least recently used keys are evicted."""
        self.cached_keys.pop(key, None)
        self.cached_keys[key] = None
        while len(self.cached_keys) > capacity:
            del self.cached_keys[next(iter(self.cached_keys))]

    def update_entry(self, entry: WorkerEntry) -> bool:
        """Apply its entry of the endpoint list; return whether readiness or start time changed."""
        former = (self.is_ready, self.entry.started_ms)
        self.entry, self.is_ready = entry, entry.state is WorkerState.READY
        self.is_reinstated = self.is_reinstated or entry.put_back
        if self.is_ready and not former[0]:
            # With little traffic, nothing would ever correct what was learned before it became unready.
            self.consecutive_overloads, self.backoff_until_ms = 0, 0.0
            self.consecutive_connection_errors, self.consecutive_trials = 0, 0
            self.error_rates, self.next_trial_ms = {}, {}
            self.concurrency_limit = max(1.0, self.concurrency_limit)
        return former != (self.is_ready, entry.started_ms)

    def may_have_capacity(self, now_ms: float) -> bool:
        """Whether it is below its concurrency limit, or its backoff has ended and no attempt is unstarted."""
        below_limit = self.used_slots < self.concurrency_limit
        return below_limit or (self.unstarted_count == 0 and now_ms >= self.backoff_until_ms)

    def succeeded_recently(self, now_ms: float) -> bool:
        """Whether a job succeeded here recently."""
        return self.last_success_ms > now_ms - RECENT_SUCCESS_MS

    def on_load_report(
        self, report: Mapping[str, float], fields: frozenset[str], now_ms: float, estimates: Estimates
    ) -> None:
        """Apply a load report with free slots, if the settings list that field.

        Load that it shows beyond this dispatcher's own attempts of that time is that of other dispatchers.
        """
        if "free_slots" in report and "free_slots" in fields:
            self.load_report = {name: value for name, value in report.items() if name in fields}
            self.max_free_slots = max(self.max_free_slots, self.load_report["free_slots"])
            self.max_free_memory = max(self.max_free_memory, self.load_report.get("free_memory", 0.0))
            slots = self.max_free_slots - self.load_report["free_slots"]
            if slots >= self.max_free_slots - 1.0:  # full: its queued jobs count as well
                slots = max(slots, self.load_report.get("active", 0.0) * estimates.mean_job_slots())
            memory = self.max_free_memory - self.load_report.get("free_memory", self.max_free_memory)
            self._update_load(slots, memory, now_ms, estimates)
            # Otherwise the budget of warming workers could stay at a single slot.
            estimates.on_slots_seen(self.entry.kind, self.max_free_slots)
        self.recent_attempts = [
            a for a in self.recent_attempts if a.ended_ms > now_ms - ENDED_ATTEMPT_MAX_AGE_MS
        ]

    def on_load_weight(self, now_ms: float, estimates: Estimates) -> None:
        """Infer the load from a weight in the endpoint list that is lower the more requests a worker has.

        Such a weight is the worker's size divided by 1 + its requests per slot. It shows the load of workers
        to which this dispatcher rarely sends.
        """
        if not 0.0 < self.entry.weight < float("inf"):
            return
        size = estimates.kind_weight[self.entry.kind] = max(
            estimates.kind_weight.get(self.entry.kind, 0.0), self.entry.weight
        )
        slots = estimates.kind_slots.get(self.entry.kind)
        if slots is None:  # after a restart the size in slots is not known yet
            return
        self.max_free_slots = max(self.max_free_slots, slots)
        load = min(MAX_LOAD_PER_SLOT, size / self.entry.weight - 1.0)
        self._update_load(load * slots * estimates.mean_job_slots(), None, now_ms, estimates)

    def _update_load(self, slots: float, memory: float | None, now_ms: float, estimates: Estimates) -> None:
        shown_ms = now_ms - REPORT_DELAY_MS
        shown = [a for a in self.recent_attempts if a.sent_ms <= shown_ms < a.ended_ms]
        self.own_slots = sum(a.slots for a in shown)
        # A single report is late and noisy, so it counts less the sooner it follows the previous one.
        freshness = self._load_freshness(now_ms)
        share = max(LOAD_LEARNING_RATE, 1.0 - freshness) if self.load_updated_ms else 1.0
        self.others_slots, self.others_memory = self.others_load(now_ms, estimates)
        self.others_slots += share * (slots - self.own_slots - self.others_slots)
        if memory is not None:
            self.others_memory += share * (memory - sum(a.memory for a in shown) - self.others_memory)
        self.rounding, self.load_updated_ms = estimates.random.random(), now_ms

    def _load_freshness(self, now_ms: float) -> float:
        return max(0.0, 1.0 - (now_ms - self.load_updated_ms) / LOAD_MAX_AGE_MS)

    def others_load(self, now_ms: float, estimates: Estimates) -> tuple[float, float]:
        """Return the slots and memory that other dispatchers are estimated to use here.

        As a known load ages, it changes gradually into the mean load of all workers. If it went to zero, many
        dispatchers would find capacity at a full worker. If it stayed, a full worker would never be sent a
        job and would never report again.
        """
        freshness, (slots, memory) = self._load_freshness(now_ms), estimates.others_load
        return (
            freshness * self.others_slots + (1.0 - freshness) * slots,
            freshness * self.others_memory + (1.0 - freshness) * memory,
        )

    def set_ring_distance(self, distance: float, dispatcher_count: int, zone_count: int) -> None:
        """Set its distance from this dispatcher on the ring, and estimate how many others are closer."""
        self.ring_distance = min(distance, 1.0 - distance)
        own_zone = (dispatcher_count - 1) / max(1, zone_count)
        all_zones = own_zone + 2.0 * self.ring_distance * (dispatcher_count - 1 - own_zone)
        self.closer_dispatchers = 2.0 * self.ring_distance * own_zone if self.own_zone else all_zones

    def usable_slots(self, slots: float, job_slots: float, now_ms: float, estimates: Estimates) -> float:
        """Return how many of its slots this dispatcher may use.

        All dispatchers see the same free slots, with a delay. So each one may use the slots that it used at
        that time and a part of the free ones, which is larger the fewer dispatchers are closer and is rounded
        at random. If more slots are in use than there are, each dispatcher gives up its part of the excess.
        """
        others = max(0.0, self.others_load(now_ms, estimates)[0])
        free = slots - self.own_slots - others
        if free <= 0.0:
            return self.own_slots * slots / (self.own_slots + others) + self.rounding * job_slots
        # The turns of a warming worker are already divided among the dispatchers.
        closer = 0.0 if self.warm_at_ms > now_ms else self.closer_dispatchers
        return self.own_slots + min(free, free / (1.0 + closer) + self.rounding * job_slots)


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request; without an outcome it may still be running. Times are milliseconds."""

    worker: TrackedWorker
    sent_ms: float
    slots: float = 1.0
    memory: float = 0.0
    expected_run_ms: float = 1.0
    started_ms: float | None = None
    outcome: Outcome | None = None
    ended_ms: float = float("inf")
    is_cancelled: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether it is not proven never to have run."""
        return self.outcome is None or not self.outcome.never_ran
