"""What the measurements share: simulated time, simulated servers, and the one line of figures at the end."""

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
    """A call that has been put off."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Let it not happen."""
        self.call = None


class SimClock:
    """Simulated time in milliseconds; it goes on from one call to the next."""

    def __init__(self, now_ms: float = 1000.0) -> None:
        self.now, self.count = now_ms, 0
        self.calls: list[tuple[float, int, SimTimer]] = []

    def now_ms(self) -> float:
        """The time."""
        return self.now

    def call_at(self, at_ms: float, call: Callable[[], None]) -> SimTimer:
        """Have a call made at a time."""
        self.count += 1
        timer = SimTimer(call)
        heapq.heappush(self.calls, (max(at_ms, self.now), self.count, timer))
        return timer

    def advance_to(self, until_ms: float) -> None:
        """Make all calls that are due until then."""
        while self.calls and self.calls[0][0] <= until_ms:
            at, _, timer = heapq.heappop(self.calls)
            self.now = max(self.now, at)
            if timer.call is not None:
                timer.call()
        self.now = max(self.now, until_ms)


class SimWorkers:
    """Servers with slots and a queue of what does not fit; each end carries a report of free slots.

    A report is refreshed every 700 ms, as an agent on the machine would. The way to a server takes 1 ms.
    Several dispatchers may share them, each by a `SimWorkersAdapter` of its own.
    """

    REFRESH_MS = 700.0
    WIRE_MS = 1.0
    CONNECT_MS = 200.0  # after this a connection to a silent machine has not come up

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
        self.started_ms: dict[str, float] = {}  # when a server came up; those of long ago are not named
        self.unreachable: set[str] = set()  # cut off: nothing comes up, nothing comes back
        self.failing: set[str] = set()  # each job fails at once
        self.run_counts: dict[str, int] = {}
        self.arrivals: list[tuple[float, str, float]] = []  # when, at which server, how many slots
        self.failed_connects: list[tuple[float, str]] = []  # sends to silent servers
        self.busy_ms = 0.0
        for n in range(count):
            self.add(f"s-{n}", n % zones)

    def add(self, name: str, zone: int = 0, started_ms: float | None = None) -> None:
        """One more server, warm unless it has just started."""
        self.free_slots[name] = self.reported_slots[name] = float(self.slots)
        self.queues[name], self.zones[name] = [], zone
        if started_ms is not None:
            self.started_ms[name] = started_ms
        first_ms = self.clock.now + self.random.uniform(0, self.REFRESH_MS)
        self.clock.call_at(first_ms, partial(self._show, name))

    def remove(self, name: str) -> None:
        """Take a server from the list; what it has runs to its end."""
        del self.zones[name]

    def replace(self, name: str) -> None:
        """A new machine, in the same zone, comes for an old one."""
        self.add(f"{name}-new", self.zones[name], self.clock.now)
        self.remove(name)

    def used_slots(self, name: str) -> float:
        """Slots of what a server runs and keeps waiting."""
        waiting = sum(dispatch.request.arrival.slots for _, dispatch in self.queues[name])
        return self.slots - self.free_slots[name] + waiting

    def speed_share(self, name: str, settings: api.Settings, at_ms: float) -> float:
        """The part of its speed that a server has at a time."""
        if name not in self.started_ms:
            return 1.0
        age = (at_ms - self.started_ms[name]) / max(1.0, settings.slow_start_ms)
        return min(1.0, settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * age)

    def endpoints(self) -> tuple[WorkerEndpoint, ...]:
        """The list of them, with weights that fall the more a server holds."""
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

    def _show(self, name: str) -> None:
        self.reported_slots[name] = self.free_slots[name]
        self.clock.call_at(self.clock.now + self.REFRESH_MS, lambda: self._show(name))

    def send(self, port: SimWorkersAdapter, dispatch: Attempt) -> None:
        """A dispatch is on its way."""
        if dispatch.worker in self.unreachable:
            self.failed_connects.append((self.clock.now, dispatch.worker))
            call = partial(port.engine.finish_attempt, dispatch, Outcome.CONNECT_FAILED)
            self.clock.call_at(self.clock.now + self.CONNECT_MS, call)
        else:
            self.clock.call_at(self.clock.now + self.WIRE_MS, lambda: self._arrive(port, dispatch))

    def _arrive(self, port: SimWorkersAdapter, dispatch: Attempt) -> None:
        if not port.engine.confirm_send(dispatch):
            port.engine.finish_attempt(dispatch, Outcome.CONNECT_FAILED)
            return
        dispatch.stage = AttemptStage.ACCEPTED
        asked = dispatch.request.arrival
        self.arrivals.append((self.clock.now, dispatch.worker, asked.slots))
        if dispatch.worker in self.failing:
            self._send_response(port, dispatch, Outcome.ERROR)
            return
        self.queues[dispatch.worker].append((port, dispatch))
        self._start_queued(dispatch.worker)

    def _start_queued(self, name: str) -> None:
        queue = self.queues[name]
        while queue and self.free_slots[name] >= queue[0][1].request.arrival.slots:
            port, dispatch = queue.pop(0)
            self.free_slots[name] -= dispatch.request.arrival.slots
            call_id = dispatch.request.call_id
            self.run_counts[call_id] = self.run_counts.get(call_id, 0) + 1
            took = self.run_ms(dispatch, self.random)
            self.busy_ms += took * dispatch.request.arrival.slots
            took /= self.speed_share(name, port.engine.settings, self.clock.now)
            self.clock.call_at(self.clock.now + took, partial(self._end, port, dispatch))

    def _end(self, port: SimWorkersAdapter, dispatch: Attempt) -> None:
        name = dispatch.worker
        self.free_slots[name] += dispatch.request.arrival.slots
        if name not in self.unreachable:
            self._send_response(port, dispatch, Outcome.OK)
        self._start_queued(name)

    def _send_response(self, port: SimWorkersAdapter, dispatch: Attempt, outcome: Outcome) -> None:
        report = {"free_slots": self.reported_slots[dispatch.worker]}
        self.clock.call_at(
            self.clock.now + self.WIRE_MS,
            lambda: port.engine.finish_attempt(dispatch, outcome, report, b"done"),
        )

    def drop(self, port: SimWorkersAdapter, dispatch: Attempt) -> None:
        """What waits is dropped; what runs goes on."""
        if (port, dispatch) in self.queues[dispatch.worker]:
            self.queues[dispatch.worker].remove((port, dispatch))


class SimWorkersAdapter:
    """One engine's way to the machines."""

    def __init__(self, engine: Engine, machines: SimWorkers) -> None:
        self.engine, self.machines = engine, machines

    def send_attempt(self, dispatch: Attempt) -> None:
        """Send it on its way."""
        self.machines.send(self, dispatch)

    def abandon_attempt(self, dispatch: Attempt) -> None:
        """What waits is dropped; what runs goes on."""
        self.machines.drop(self, dispatch)

    def cancel_attempt(self, dispatch: Attempt) -> None:
        """Running work goes on after a cancel."""

    def probe(self, server: str) -> None:
        """No probes."""

    def set_callback_handler(
        self, call_id: str, server: str, ended: Callable[[Outcome, bytes], None] | None
    ) -> None:
        """Nothing of before a restart runs here."""

    def cancel_job(self, server: str, call_id: str, taken: Callable[[], None]) -> None:
        """Nothing of before a restart runs here."""

    def abandon_job(self, server: str, call_id: str, heard: Callable[[], None]) -> bool:
        """Nothing of before a restart runs here."""
        return True


class CountingListener:
    """A frontend that counts its sessions' ends over a fleet."""

    def __init__(self, clock: SimClock) -> None:
        self.clock, self.outcome_counts, self.late_count = clock, Counter[str](), 0
        self.arrived_ms: dict[str, float] = {}

    def before_send(self, dispatch: Attempt) -> bool:
        """Whatever the module sends may go."""
        return True

    def on_attempt_ended(self, dispatch: Attempt) -> None:
        """Nothing is kept of it."""

    def on_served(self, session: Request, result: bytes) -> None:
        """One final answer."""
        self.outcome_counts["served"] += 1
        self.late_count += self.clock.now - self.arrived_ms[session.call_id] > 2000.0

    def on_rejected(self, session: Request, retry_after_ms: float | None) -> None:
        """One final answer."""
        self.outcome_counts["denied"] += 1

    def on_failed(self, session: Request) -> None:
        """One final answer."""
        self.outcome_counts["failed"] += 1

    on_cancelled = on_failed


class Fleet:
    """Many dispatchers, each with its own engine and module, on one clock and over the same machines.

    Discovery tells each the list every 600 to 1,200 ms, as it was 400 ms before.
    """

    LIST_MS = (600.0, 1200.0)
    LIST_LAG_MS = 400.0

    def __init__(
        self, clock: SimClock, settings: api.Settings, count: int, machines: SimWorkers, seed: int, zones: int
    ) -> None:
        self.clock, self.machines, self.random = clock, machines, random.Random(seed)
        self.listener, self.request_count = CountingListener(clock), 0
        self.engines: list[Engine] = []
        for n in range(count):
            settings = replace(settings, dispatcher=n, dispatcher_count=count, zone=n % zones)
            self.engines.append(create_engine(clock, settings, seed * 1000 + n))
            self.engines[-1].workers = SimWorkersAdapter(self.engines[-1], machines)
            self.engines[-1].table.update(ListKind.FULL, machines.endpoints())
            self._later(n)

    def _later(self, n: int) -> None:
        self.clock.call_at(self.clock.now + self.random.uniform(*self.LIST_MS), lambda: self._list(n))

    def _list(self, n: int) -> None:
        entries = self.machines.endpoints()
        table = self.engines[n].table
        told = partial(table.update, ListKind.FULL, entries)
        self.clock.call_at(self.clock.now + self.LIST_LAG_MS, told)
        self._later(n)

    def open_request(self, engine: Engine, job_class: int = 0) -> None:
        """A session comes to one dispatcher."""
        self.request_count += 1
        call_id = f"c-{self.request_count}"
        self.listener.arrived_ms[call_id] = self.clock.now
        deadline_ms = self.clock.now + engine.settings.classes[job_class].deadline_ms
        engine.open_request(self.listener, call_id, Payload(b"", b""), job_class, deadline_ms)

    def start_load(self, per_s: float, until_ms: float, classes: int = 1) -> None:
        """Sessions come at random, spread over the dispatchers, up to then."""

        def come() -> None:
            self.open_request(self.random.choice(self.engines), self.random.randrange(classes))
            nearer = self.clock.now + self.random.expovariate(per_s / 1000.0)
            if nearer < until_ms:
                self.clock.call_at(nearer, come)

        self.clock.call_at(self.clock.now, come)


def create_engine(clock: Any, settings: api.Settings, seed: int) -> Engine:
    """An engine with an empty server table."""
    return Engine(settings, seed, clock, WorkerTable())


def resident_kb() -> float:
    """This process's memory."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1024.0


def percentile(values: list[float], share: float) -> float:
    """The value that so large a share stays at or under; 0 of nothing."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def print_figures(figures: Mapping[str, float], aims: Mapping[str, tuple[str, float]]) -> int:
    """Print the figures with the aim beside each as one line of JSON; 1 if an aim is missed."""
    line: dict[str, Any] = {}
    missed = []
    for name, value in figures.items():
        line[name] = round(value, 4)
        if name in aims:
            sign, aim = aims[name]
            line[f"{name}_aim"] = f"{sign} {aim:g}"
            if not (value <= aim if sign == "<=" else value >= aim):
                missed.append(name)
    line["missed"] = missed
    sys.stdout.flush()
    print(json.dumps(line))
    return 1 if missed else 0
