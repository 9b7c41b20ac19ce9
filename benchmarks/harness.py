"""Shared by the benchmarks: simulated time, workers and fleets, and the line of figures at the end."""

from __future__ import annotations

import heapq
import json
import os
import random
import sys
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from typing import Any

from grebestack.core import api
from grebestack.core.api import ListKind, Outcome, WorkerEntry
from grebestack.routing.engine import Engine
from grebestack.routing.requests import Attempt, AttemptStage, Payload, Request
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable


class SimTimer:
    """A scheduled call that can be cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Prevent the call."""
        self.call = None


class SimClock:
    """Simulated time in milliseconds; it jumps from one scheduled call to the next."""

    def __init__(self, now_ms: float = 1000.0) -> None:
        self.now, self.scheduled_count = now_ms, 0
        self.calls: list[tuple[float, int, SimTimer]] = []

    def now_ms(self) -> float:
        """Return the simulated time."""
        return self.now

    def call_at(self, at_ms: float, call: Callable[[], None]) -> SimTimer:
        """Schedule a call."""
        self.scheduled_count += 1
        timer = SimTimer(call)
        heapq.heappush(self.calls, (max(at_ms, self.now), self.scheduled_count, timer))
        return timer

    def advance_to(self, until_ms: float) -> None:
        """Make all calls that are due by this time."""
        while self.calls and self.calls[0][0] <= until_ms:
            due_ms, _, timer = heapq.heappop(self.calls)
            self.now = max(self.now, due_ms)
            if timer.call is not None:
                timer.call()
        self.now = max(self.now, until_ms)


class SimWorkers:
    """Simulated workers with slots and a queue of jobs that find none free; responses carry load reports.

    Each worker refreshes its report of free slots every 700 ms, as an agent on the machine would. The network
    delay is 1 ms each way. Several dispatchers may share the workers, each by its own `SimWorkersAdapter`.
    """

    REPORT_INTERVAL_MS = 700.0
    NETWORK_DELAY_MS = 1.0
    CONNECT_TIMEOUT_MS = 200.0  # a connection to an unreachable worker fails after this

    def __init__(
        self,
        clock: SimClock,
        seed: int,
        count: int,
        slots: int,
        run_ms: Callable[[Attempt, random.Random], float],
        zones: int = 1,
    ) -> None:
        self.clock, self.slots, self.run_ms = clock, slots, run_ms
        self.random = random.Random(seed)
        self.free_slots: dict[str, float] = {}
        self.reported_slots: dict[str, float] = {}
        self.queues: dict[str, list[tuple[SimWorkersAdapter, Attempt]]] = {}
        self.zones: dict[str, int] = {}
        self.started_ms: dict[str, float] = {}  # a worker without an entry started long ago
        self.unreachable: set[str] = set()  # no connection succeeds, no response arrives
        self.failing: set[str] = set()  # workers whose jobs all fail at once
        self.run_counts: dict[str, int] = {}
        self.arrivals: list[tuple[float, str, float]] = []  # time, worker, slots of the job
        self.failed_connects: list[tuple[float, str]] = []  # time, unreachable worker
        self.busy_ms = 0.0
        for n in range(count):
            self.add(f"s-{n}", n % zones)

    def add(self, name: str, zone: int = 0, started_ms: float | None = None) -> None:
        """Add a worker; one without a start time has finished its slow start."""
        self.free_slots[name] = self.reported_slots[name] = float(self.slots)
        self.queues[name], self.zones[name] = [], zone
        if started_ms is not None:
            self.started_ms[name] = started_ms
        first_report_ms = self.clock.now + self.random.uniform(0, self.REPORT_INTERVAL_MS)
        self.clock.call_at(first_report_ms, partial(self._refresh_report, name))

    def remove(self, name: str) -> None:
        """Take a worker off the endpoint list; the jobs that it has run to their end."""
        del self.zones[name]

    def replace(self, name: str) -> None:
        """Replace a worker by a new one in the same zone."""
        self.add(f"{name}-new", self.zones[name], self.clock.now)
        self.remove(name)

    def used_slots(self, name: str) -> float:
        """Return the slots of the jobs that a worker runs and has queued."""
        queued = sum(attempt.request.arrival.slots for _, attempt in self.queues[name])
        return self.slots - self.free_slots[name] + queued

    def speed_share(self, name: str, settings: api.Settings, at_ms: float) -> float:
        """Return the share of its full speed that a worker has reached in its slow start."""
        if name not in self.started_ms:
            return 1.0
        progress = (at_ms - self.started_ms[name]) / max(1.0, settings.slow_start_ms)
        return min(
            1.0, settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * progress
        )

    def endpoints(self) -> tuple[WorkerEndpoint, ...]:
        """Return the endpoint list, with weights that fall as the used slots of a worker rise."""
        return tuple(
            WorkerEndpoint(
                WorkerEntry(
                    name,
                    zone,
                    weight=self.slots / (1.0 + self.used_slots(name) / self.slots),
                    started_ms=self.started_ms.get(name),
                ),
                ("127.0.0.1", 1),
            )
            for name, zone in self.zones.items()
        )

    def _refresh_report(self, name: str) -> None:
        self.reported_slots[name] = self.free_slots[name]
        self.clock.call_at(self.clock.now + self.REPORT_INTERVAL_MS, lambda: self._refresh_report(name))

    def send(self, adapter: SimWorkersAdapter, attempt: Attempt) -> None:
        """Deliver an attempt after the network delay, or fail it if its worker is unreachable."""
        if attempt.worker in self.unreachable:
            self.failed_connects.append((self.clock.now, attempt.worker))
            fail = partial(adapter.engine.finish_attempt, attempt, Outcome.CONNECT_FAILED)
            self.clock.call_at(self.clock.now + self.CONNECT_TIMEOUT_MS, fail)
        else:
            self.clock.call_at(self.clock.now + self.NETWORK_DELAY_MS, lambda: self._arrive(adapter, attempt))

    def _arrive(self, adapter: SimWorkersAdapter, attempt: Attempt) -> None:
        if not adapter.engine.confirm_send(attempt):
            adapter.engine.finish_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        attempt.stage = AttemptStage.ACCEPTED
        arrival = attempt.request.arrival
        self.arrivals.append((self.clock.now, attempt.worker, arrival.slots))
        if attempt.worker in self.failing:
            self._send_response(adapter, attempt, Outcome.ERROR)
            return
        self.queues[attempt.worker].append((adapter, attempt))
        self._start_queued(attempt.worker)

    def _start_queued(self, name: str) -> None:
        queue = self.queues[name]
        while queue and self.free_slots[name] >= queue[0][1].request.arrival.slots:
            adapter, attempt = queue.pop(0)
            self.free_slots[name] -= attempt.request.arrival.slots
            call_id = attempt.request.call_id
            self.run_counts[call_id] = self.run_counts.get(call_id, 0) + 1
            run_ms = self.run_ms(attempt, self.random)
            self.busy_ms += run_ms * attempt.request.arrival.slots
            run_ms /= self.speed_share(name, adapter.engine.settings, self.clock.now)
            self.clock.call_at(self.clock.now + run_ms, partial(self._end_run, adapter, attempt))

    def _end_run(self, adapter: SimWorkersAdapter, attempt: Attempt) -> None:
        name = attempt.worker
        self.free_slots[name] += attempt.request.arrival.slots
        if name not in self.unreachable:
            self._send_response(adapter, attempt, Outcome.OK)
        self._start_queued(name)

    def _send_response(self, adapter: SimWorkersAdapter, attempt: Attempt, outcome: Outcome) -> None:
        report = {"free_slots": self.reported_slots[attempt.worker]}
        self.clock.call_at(
            self.clock.now + self.NETWORK_DELAY_MS,
            lambda: adapter.engine.finish_attempt(attempt, outcome, report, b"done"),
        )

    def remove_queued(self, adapter: SimWorkersAdapter, attempt: Attempt) -> None:
        """Remove an attempt that is still queued; one that runs goes on."""
        if (adapter, attempt) in self.queues[attempt.worker]:
            self.queues[attempt.worker].remove((adapter, attempt))


class SimWorkersAdapter:
    """Connects one engine to the simulated workers."""

    def __init__(self, engine: Engine, workers: SimWorkers) -> None:
        self.engine, self.workers = engine, workers

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt."""
        self.workers.send(self, attempt)

    def adopt_attempt(self, attempt: Attempt, address: tuple[str, int]) -> None:
        raise NotImplementedError("nothing is handed over here")

    def abandon_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that is still queued; one that runs goes on."""
        self.workers.remove_queued(self, attempt)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Do nothing: a running job goes on after a cancel."""

    def probe(self, worker: str) -> None:
        """Do nothing: these workers answer no probes."""

    def set_callback_handler(
        self,
        call_id: str,
        worker: str,
        on_ended: Callable[[Outcome, bytes], None] | None,
        ambiguous_outcomes: frozenset[Outcome] = frozenset(),
    ) -> None:
        """Do nothing: no job from before a restart runs here."""

    def cancel_job(self, worker: str, call_id: str, on_confirmed: Callable[[], None]) -> None:
        """Do nothing: no job from before a restart runs here."""

    def abandon_job(self, worker: str, call_id: str, on_response: Callable[[], None]) -> bool:
        """Do nothing: no job from before a restart runs here."""
        return True


class CountingListener:
    """Counts how the requests of a fleet end."""

    def __init__(self, clock: SimClock) -> None:
        self.clock, self.outcome_counts, self.late_count = clock, Counter[str](), 0
        self.arrived_ms: dict[str, float] = {}

    def is_client_gone(self) -> bool:
        return False

    def before_send(self, attempt: Attempt) -> bool:
        """Allow every attempt."""
        return True

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Do nothing: only the ends of requests count."""

    def on_served(self, request: Request, result: bytes) -> None:
        """Count a request that was served, and whether it took more than two seconds."""
        self.outcome_counts["served"] += 1
        self.late_count += self.clock.now - self.arrived_ms[request.call_id] > 2000.0

    def on_rejected(self, request: Request, retry_after_ms: float | None) -> None:
        """Count a request that was rejected."""
        self.outcome_counts["denied"] += 1

    def on_failed(self, request: Request) -> None:
        """Count a request that failed or was cancelled."""
        self.outcome_counts["failed"] += 1

    on_cancelled = on_failed


class Fleet:
    """Many dispatchers, each with its own engine and decision module, on one clock and over the same workers.

    Each receives the endpoint list every 600 to 1,200 ms, as it was 400 ms before.
    """

    LIST_INTERVAL_MS = (600.0, 1200.0)
    LIST_DELAY_MS = 400.0

    def __init__(
        self, clock: SimClock, settings: api.Settings, count: int, workers: SimWorkers, seed: int, zones: int
    ) -> None:
        self.clock, self.workers, self.random = clock, workers, random.Random(seed)
        self.listener, self.request_count = CountingListener(clock), 0
        self.engines: list[Engine] = []
        for n in range(count):
            settings = replace(settings, dispatcher=n, dispatcher_count=count, zone=n % zones)
            self.engines.append(create_engine(clock, settings, seed * 1000 + n))
            self.engines[-1].workers = SimWorkersAdapter(self.engines[-1], workers)
            self.engines[-1].table.update(ListKind.FULL, workers.endpoints())
            self._schedule_list(n)

    def _schedule_list(self, n: int) -> None:
        self.clock.call_at(
            self.clock.now + self.random.uniform(*self.LIST_INTERVAL_MS), lambda: self._send_list(n)
        )

    def _send_list(self, n: int) -> None:
        endpoints = self.workers.endpoints()
        table = self.engines[n].table
        update = partial(table.update, ListKind.FULL, endpoints)
        self.clock.call_at(self.clock.now + self.LIST_DELAY_MS, update)
        self._schedule_list(n)

    def open_request(self, engine: Engine, job_class: int = 0) -> None:
        """Open a request at one dispatcher."""
        self.request_count += 1
        call_id = f"c-{self.request_count}"
        self.listener.arrived_ms[call_id] = self.clock.now
        deadline_ms = self.clock.now + engine.settings.classes[job_class].deadline_ms
        engine.open_request(self.listener, call_id, Payload(b"", b""), job_class, deadline_ms)

    def start_load(self, per_s: float, until_ms: float, classes: int = 1) -> None:
        """Open requests at random times, spread over the dispatchers, until a time."""

        def arrive() -> None:
            self.open_request(self.random.choice(self.engines), self.random.randrange(classes))
            next_ms = self.clock.now + self.random.expovariate(per_s / 1000.0)
            if next_ms < until_ms:
                self.clock.call_at(next_ms, arrive)

        self.clock.call_at(self.clock.now, arrive)


def create_engine(clock: Any, settings: api.Settings, seed: int) -> Engine:
    """Create an engine with an empty worker table."""
    return Engine(settings, seed, clock, WorkerTable())


def resident_kb() -> float:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1024.0


def percentile(values: list[float], share: float) -> float:
    """Return the value that this share of the values does not exceed; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def print_figures(figures: Mapping[str, float], aims: Mapping[str, tuple[str, float]]) -> int:
    """Print the figures with their aims as one line of JSON; return 1 if an aim is missed, else 0."""
    line: dict[str, Any] = {}
    missed = []
    for name, value in figures.items():
        line[name] = round(value, 4)
        if name in aims:
            comparison, limit = aims[name]
            line[f"{name}_aim"] = f"{comparison} {limit:g}"
            if not (value <= limit if comparison == "<=" else value >= limit):
                missed.append(name)
    line["missed"] = missed
    sys.stdout.flush()
    print(json.dumps(line))
    return 1 if missed else 0
