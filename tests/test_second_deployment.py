"""A cluster with reports of starts but not of load, priorities, worker sizes, hints, tenants and caches.

Several dispatchers with the real engine and policy share one simulated clock.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from functools import partial

from harness import CountingListener, Fleet, SimClock, SimWorkers, SimWorkersAdapter

from grebestack.core import api
from grebestack.core.api import Outcome, WorkerEntry
from grebestack.routing.requests import Attempt, Payload, Request
from grebestack.routing.worker_table import WorkerEndpoint

CLASSES = (
    api.JobClass(
        "flip",
        300,
        5000,
        api.Effect.NOT_IDEMPOTENT,
        priority_weight=10,
        late_priority_weight=0.5,
        objective_stretch=2.0,
    ),
    api.JobClass(
        "read",
        500,
        6000,
        api.Effect.IDEMPOTENT_WITH_KEY,
        priority_weight=30,
        late_priority_weight=0.2,
        objective_stretch=2.5,
        group=api.Group.CELL,
        retry_window_ms=10_000,
    ),
)
SETTINGS = api.Settings(
    classes=CLASSES,
    max_attempts=6,
    hedging_enabled=True,
    cancel=True,
    retry_after=True,
    reports_attempt_start=True,
    max_retry_after_ms=2000.0,
    slow_start_initial_share=0.12,
    slow_start_ms=24_000.0,
    overload_factor=3.0,
    tick_ms=4.0,
    cross_zone_cost=0.08,
    weight_by_work=True,
    over_quota_weight_factor=0.2,
    tenants=(api.Tenant("north", 60.0), api.Tenant("south", 60.0)),
)
SIZES = ((5, 1.6), (4, 1.0), (2, 0.6))  # slots and speed
MEAN_COST_MS = (200.0, 500.0)
FETCH_MS, KEY_COUNT, MAX_CACHED_KEYS = 200.0, 60, 6


class MachinesOfThreeSizes(SimWorkers):
    """Machines of three sizes that serve by priority, report starts and fetch data that is not cached."""

    def __init__(self, clock: SimClock, seed: int, count: int, zones: int) -> None:
        self.cached_keys: dict[str, OrderedDict[int | None, None]] = {}
        self.cache_hits: Counter[bool] = Counter()
        super().__init__(clock, seed, count, 0, lambda attempt, rng: 0.0, zones)

    def size(self, name: str) -> tuple[int, float]:
        """Return the slots and the speed of a machine."""
        return SIZES[int(name.split("-")[1]) % len(SIZES)]

    def add(self, name: str, zone: int = 0, started_ms: float | None = None) -> None:
        super().add(name, zone, started_ms)
        self.free_slots[name], self.cached_keys[name] = float(self.size(name)[0]), OrderedDict()

    def endpoints(self) -> tuple[WorkerEndpoint, ...]:
        """Return the endpoint list, with weights that show sizes but no load."""
        return tuple(
            WorkerEndpoint(
                WorkerEntry(name, zone, weight=slots * speed, started_ms=self.started_ms.get(name)), ("", 1)
            )
            for name, zone in self.zones.items()
            for slots, speed in [self.size(name)]
        )

    def _start_queued(self, name: str) -> None:
        queue, cached_keys, (_, speed) = self.queues[name], self.cached_keys[name], self.size(name)
        while queue and self.free_slots[name] >= 1.0:
            port, attempt = max(queue, key=lambda item: item[1].request.arrival.job_class)
            queue.remove((port, attempt))
            self.free_slots[name] -= 1.0
            arrival = attempt.request.arrival
            is_hit = arrival.cache_key in cached_keys
            self.cache_hits[is_hit] += 1
            cached_keys[arrival.cache_key] = None
            cached_keys.move_to_end(arrival.cache_key)
            if len(cached_keys) > MAX_CACHED_KEYS:
                cached_keys.popitem(last=False)
            run_ms = ((arrival.cost_ms or 0.0) + (0.0 if is_hit else FETCH_MS)) / speed
            run_ms /= self.speed_share(name, SETTINGS, self.clock.now)
            self.clock.call_at(
                self.clock.now + self.NETWORK_DELAY_MS, partial(port.engine.on_progress, attempt, None)
            )
            self.clock.call_at(self.clock.now + run_ms, partial(self._end_run, port, attempt))

    def _send_response(self, port: SimWorkersAdapter, attempt: Attempt, outcome: Outcome) -> None:
        finish = partial(port.engine.finish_attempt, attempt, outcome, {}, b"done")
        self.clock.call_at(self.clock.now + self.NETWORK_DELAY_MS, finish)


class WorkCounter(CountingListener):
    """Counts the work of all requests and of those answered in time, by class."""

    def __init__(self, clock: SimClock) -> None:
        super().__init__(clock)
        self.requested_ms, self.in_time_ms = [0.0, 0.0], [0.0, 0.0]

    def on_served(self, request: Request, result: bytes) -> None:
        super().on_served(request, result)
        arrival = request.arrival
        job_class, cost_ms = CLASSES[arrival.job_class], arrival.cost_ms or 0.0
        if (
            self.clock.now - self.arrived_ms[request.call_id]
            <= job_class.latency_objective_ms + job_class.objective_stretch * cost_ms
        ):
            self.in_time_ms[arrival.job_class] += cost_ms


def run_load(per_s: float, seed: int) -> tuple[MachinesOfThreeSizes, WorkCounter, Fleet]:
    """Run three dispatchers and nine machines under load for 20 s; shares of the cache keys fall as 1/n."""
    clock, rng = SimClock(), random.Random(seed)
    machines = MachinesOfThreeSizes(clock, seed, 9, 3)
    fleet = Fleet(clock, SETTINGS, 3, machines, seed, 3)
    fleet.listener = counter = WorkCounter(clock)
    weights = [1.0 / (n + 1) for n in range(KEY_COUNT)]

    def submit() -> None:
        fleet.request_count += 1
        class_index, engine = rng.randrange(2), rng.choice(fleet.engines)
        cost_ms = min(20.0, rng.paretovariate(1.7)) * MEAN_COST_MS[class_index] / 2.4
        call_id = f"c-{fleet.request_count}"
        counter.arrived_ms[call_id] = clock.now
        counter.requested_ms[class_index] += cost_ms
        key, tenant = rng.choices(range(KEY_COUNT), weights)[0], rng.randrange(2)
        deadline_ms = clock.now + CLASSES[class_index].deadline_ms
        engine.open_request(
            counter,
            call_id,
            Payload(b"", b""),
            class_index,
            deadline_ms,
            key=key,
            cost_ms=cost_ms,
            tenant=tenant,
        )
        if clock.now < 20_000.0:
            clock.call_at(clock.now + rng.expovariate(per_s / 1000.0), submit)

    clock.call_at(clock.now, submit)
    clock.advance_to(30_000.0)
    return machines, counter, fleet


def test_under_overload_many_jobs_find_their_data_cached_and_both_classes_are_served() -> None:
    machines, counter, fleet = run_load(120.0, seed=3)
    assert counter.outcome_counts.total() == fleet.request_count
    hit_share = machines.cache_hits[True] / machines.cache_hits.total()
    served = [
        in_time / requested
        for in_time, requested in zip(counter.in_time_ms, counter.requested_ms, strict=True)
    ]
    print(f"hit_share={hit_share:.3f} served={served} ends={counter.outcome_counts}")
    assert hit_share >= 0.45  # usually 0.55; with freed slots first come, first served: 0.34
    assert served[0] >= 0.25 and served[1] >= 0.8  # usually 0.36 and 0.87; with that order: 0.14 and 0.92


def test_with_spare_capacity_nearly_all_jobs_are_served_in_time() -> None:
    machines, counter, fleet = run_load(30.0, seed=2)
    served = [
        in_time / requested
        for in_time, requested in zip(counter.in_time_ms, counter.requested_ms, strict=True)
    ]
    print(f"served={served} ends={counter.outcome_counts}")
    assert counter.outcome_counts.total() == fleet.request_count and min(served) >= 0.8
