"""Many dispatchers with the real decision module on one simulated clock; limits hold for all together."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter, defaultdict
from functools import partial
from typing import Any, cast

import pytest
from fleet_counts import TrafficTotals
from harness import Fleet, SimClock, SimWorkers

from grebestack.core import api
from grebestack.endpoint_watch.state_machine import (
    EndpointWatch,
    Event,
    OpenWatch,
    SetTimer,
    Started,
    TimerFired,
    WatchEnded,
)
from grebestack.endpoint_watch.timing import WatchSettings
from grebestack.program.log import KeyValueFormatter
from grebestack.program.traffic_log import TrafficCounts
from grebestack.protocol.discovery import DiscoveryWatcher
from grebestack.protocol.settings import parse_settings
from grebestack.protocol.worker_list import WorkerListReader
from grebestack.routing.requests import Attempt
from grebestack.routing.worker_table import WorkerTable

CLASSES = (
    api.JobClass(
        "order",
        latency_objective_ms=600,
        deadline_ms=8000,
        effect=api.Effect.NOT_IDEMPOTENT,
        priority_weight=5,
        objective_stretch=2.5,
    ),
    api.JobClass(
        "reading",
        400,
        5000,
        api.Effect.IDEMPOTENT_WITH_KEY,
        priority_weight=2,
        late_priority_weight=0.25,
        objective_stretch=2,
        retry_window_ms=7500,
    ),
)
SETTINGS = api.Settings(
    classes=CLASSES,
    max_attempts=5,
    hedging_enabled=True,
    cancel=True,
    retry_after=True,
    max_retry_after_ms=2000.0,
    slow_start_initial_share=0.14,
    slow_start_ms=24_000.0,
    overload_factor=3.0,
    overload_window_ms=1500.0,
    connect_timeout_ms=200.0,
    weights_follow_load=True,
    tick_ms=5.0,
    report_fields=frozenset({"free_slots"}),
)
SLOTS, RUN_MS, DISPATCHERS, ZONES = 8, 600.0, 24, 3


class Simulation:
    """Dispatchers under load that share simulated machines."""

    def __init__(self, machines: int, per_s: float, seconds: float, seed: int) -> None:
        self.clock = SimClock()
        self.machines = SimWorkers(
            self.clock, seed, machines, SLOTS, lambda d, r: r.uniform(0.5, 1.5) * RUN_MS, ZONES
        )
        self.fleet = Fleet(self.clock, SETTINGS, DISPATCHERS, self.machines, seed, ZONES)
        self.end_ms = self.clock.now + seconds * 1000.0
        self.fleet.start_load(per_s, self.end_ms, len(CLASSES))
        self.peak_slots: Counter[str] = Counter()  # the most slots that each machine held

    def run(self, seconds: float) -> None:
        """Advance the clock, and record the peak load of each machine."""
        until = self.clock.now + seconds * 1000.0
        while self.clock.now < until:
            self.clock.advance_to(min(until, self.clock.now + 100.0))
            for name in self.machines.free_slots:
                self.peak_slots[name] = max(self.peak_slots[name], int(self.machines.used_slots(name)))

    def max_overload(self) -> float:
        """Return the most work that a cold machine got in a window, relative to the overload rule's limit."""
        maximum, window = 0.0, SETTINGS.overload_window_ms
        for name in self.machines.started_ms:
            arrivals = [(at, slots) for at, server, slots in self.machines.arrivals if server == name]
            for at, _ in arrivals:
                warmth = self.machines.speed_share(name, SETTINGS, at)
                work = sum(slots * RUN_MS for later, slots in arrivals if at <= later < at + window)
                maximum = max(maximum, work / (SETTINGS.overload_factor * warmth * SLOTS * window))
        return maximum

    def replace(self, names: list[str]) -> None:
        """Replace machines by new ones."""
        for name in names:
            self.machines.replace(name)


def run_to_end(simulation: Simulation) -> float:
    """Assert that every request ends once; return the share of them that was served within 2 s."""
    simulation.run(10.0)
    ends = simulation.fleet.listener.outcome_counts
    assert ends.total() == simulation.fleet.request_count
    return (ends["served"] - simulation.fleet.listener.late_count) / simulation.fleet.request_count


def test_after_six_in_ten_machines_are_replaced_none_is_overloaded_and_none_is_idle() -> None:
    # Guards against two faults: all dispatchers send to the same free machine, or one forgets the load of a
    # full machine and takes it for empty.
    peaks = []
    for seed in (1, 2, 3, 4):
        simulation = Simulation(30, 300.0, 14.0, seed=seed)
        simulation.run(2.0)
        for first in (0, 6, 12):
            simulation.replace([f"s-{n}" for n in range(first, first + 6)])
            simulation.run(2.0)
        old = {f"s-{n}" for n in range(18, 30)}
        peaks.append(max(simulation.peak_slots[name] for name in old))
        simulation.run(6.0)
        late = Counter(
            name for at, name, _ in simulation.machines.arrivals if at > simulation.clock.now - 3000.0
        )
        assert sum(late[f"s-{n}-new"] for n in range(18)) >= 10 * 18  # 6.6 each if they get work too late
        assert simulation.max_overload() <= 1.0  # the rule without its tolerance for random arrivals
        assert run_to_end(simulation) >= 0.7
    assert sum(peaks) / len(peaks) <= 22 and max(peaks) <= 24, peaks  # 33 with either fault


def test_new_machines_that_fail_cost_few_orders() -> None:
    simulation = Simulation(30, 200.0, 12.0, seed=5)
    simulation.run(2.0)
    simulation.replace([f"s-{n}" for n in range(18)])
    failing = [f"s-{n}-new" for n in range(4)]
    simulation.machines.failing.update(failing)
    simulation.run(10.0)
    sent = Counter(name for _, name, _ in simulation.machines.arrivals)
    assert all(0 < sent[name] <= 6 * DISPATCHERS for name in failing)
    run_to_end(simulation)


def test_a_zone_that_fails_is_avoided_and_is_not_overloaded_when_it_returns_cold() -> None:
    simulation = Simulation(24, 100.0, 20.0, seed=7)
    simulation.run(4.0)
    lost = [f"s-{n}" for n in range(0, 24, ZONES)]
    simulation.machines.unreachable.update(lost)
    simulation.run(6.0)
    # Each dispatcher retries a silent machine at growing intervals.
    attempts_by_second = Counter(int((at - 5000.0) // 1000) for at, _ in simulation.machines.failed_connects)
    assert sum(attempts_by_second[n] for n in (3, 4, 5)) <= DISPATCHERS * len(lost)
    simulation.machines.unreachable.clear()
    for name in lost:
        simulation.machines.started_ms[name] = simulation.clock.now
    simulation.run(10.0)
    sent = Counter(name for at, name, _ in simulation.machines.arrivals if at > 13_000.0)
    assert all(sent[name] > 0 for name in lost)
    # Until the list reports it, 0.4 to 1.6 s later, a machine that has returned may be taken for warm. The
    # rule holds only from then on.
    simulation.machines.arrivals = [a for a in simulation.machines.arrivals if a[0] > 13_000.0]
    assert simulation.max_overload() <= 1.0
    run_to_end(simulation)


def test_each_dispatcher_uses_only_some_of_the_machines() -> None:
    # Limits the connections of each machine: a job is sent to a preferred machine while that has free slots.
    simulation = Simulation(30, 150.0, 10.0, seed=9)
    used: dict[int, set[str]] = defaultdict(set)
    for engine in simulation.fleet.engines:
        workers = cast(Any, engine.workers)

        def send_attempt(
            attempt: Attempt, number: int = engine.settings.dispatcher, send: Any = workers.send_attempt
        ) -> None:
            used[number].add(attempt.worker)
            send(attempt)

        workers.send_attempt = send_attempt
    simulation.run(10.0)
    assert sum(map(len, used.values())) / DISPATCHERS <= 15


@pytest.mark.parametrize("count", [3, 40])
def test_restarted_dispatchers_spread_their_list_requests_when_discovery_refuses_most(count: int) -> None:
    # Guards against the watches of all dispatchers being opened together, and far more often than discovery
    # can answer, so that no dispatcher gets a list. Pushed lists come from an agent of each dispatcher's own.
    clock, requests, requests_by_watch = SimClock(0.0), list[float](), defaultdict[int, list[float]](list)
    randomness = random.Random(count)
    watches = [EndpointWatch(WatchSettings(False, 250.0, count), randomness.random) for _ in range(count)]

    def handle(watch: EndpointWatch, event: Event) -> None:
        for action in watch.handle(clock.now, event):
            if isinstance(action, OpenWatch):
                requests.append(clock.now)
                requests_by_watch[watches.index(watch)].append(clock.now)
                clock.call_at(clock.now + 1000.0, partial(handle, watch, WatchEnded(action.number)))
            elif isinstance(action, SetTimer):
                clock.call_at(action.at_ms, lambda: handle(watch, TimerFired()))

    for watch in watches:
        handle(watch, Started())
    clock.advance_to(20_000.0)
    by_second = Counter(int(at // 1000) for at in requests)
    assert by_second[0] >= count  # a list that discovery would send at once counts as delivered
    assert max(by_second[n] for n in range(1, 20)) <= max(6, 0.6 * count)
    assert sum(by_second[n] for n in range(10, 20)) <= 10 * max(3, count / 3)
    gaps = [later - at for at, later in zip(requests_by_watch[0], requests_by_watch[0][1:], strict=False)]
    assert max(gaps) <= 5500.0  # of which the refusal takes one second
    request_count = len(requests)
    for watch in watches:
        handle(watch, Started())  # a second start opens nothing
    assert len(requests) == request_count


def test_the_request_count_of_a_watch_continues_after_a_move() -> None:
    loop, table = cast(asyncio.AbstractEventLoop, None), WorkerTable()
    watch = DiscoveryWatcher(loop, ("127.0.0.1", 1), WorkerListReader({}), table)
    watch.request_count = 7  # the traffic log counts from the start of the program
    assert (
        DiscoveryWatcher(loop, ("127.0.0.1", 2), WorkerListReader({}), table, replaces=watch).request_count
        == 7
    )
    known = {"uid": "s-1", "endpoint": "127.0.0.1:9", "state": "Ready"}
    watch.load_cached_list({"rev": 1, "all": True, "targets": [known]})
    assert not table.workers  # the list of its agent counts as delivered, so it is waited for
    watch.use_cached_list()
    assert table.workers and not table.has_live_list  # jobs are accepted with it until a live list arrives


def test_invalid_numbers_in_the_list_and_the_settings_count_as_their_defaults(
    caplog: pytest.LogCaptureFixture,
) -> None:
    reader, table = WorkerListReader({"models": ["c8"]}), WorkerTable()
    engine = Fleet(SimClock(), SETTINGS, 1, SimWorkers(SimClock(), 1, 0, 8, lambda d, r: 1.0), 1, 1).engines[
        0
    ]
    table.on_change = engine.table.on_change
    engine.policy.estimates.on_slots_seen(0, 8.0)
    invalid = ("nan", "inf", "-inf", -4.0, None, 1e300)
    for n, (weight, boot) in enumerate((w, b) for w in (*invalid, 7.5) for b in (*invalid, 0)):
        raw = {"uid": f"s-{n}", "endpoint": "127.0.0.1:9", "state": "Ready", "model": "c8"}
        for rev in (1, 2):  # a start in the future must not count as a new start each time
            numbers = {"capacity_hint": weight and float(weight), "boot_ms": boot and float(boot)}
            table.update(api.ListKind.CHANGES, reader.read_list({"rev": rev, "targets": [raw | numbers]})[2])
            for _ in range(2):
                engine.policy.handle(engine.clock.now_ms(), api.TimerFired(0))
    workers = engine.policy.workers
    assert len(workers) == 49 and all(worker.entry.weight > 0 for worker in workers.values())
    assert len([r for r in caplog.records if r.message == "bad_list_value"]) == 2
    assert all(
        worker.warm_at_ms <= engine.clock.now_ms() + SETTINGS.slow_start_ms for worker in workers.values()
    )
    for dispatcher_count in (None, -3, 0, float("nan"), float("inf")):
        options = {"services": [{"name": "a", "aimMs": 1, "hardLimitMs": 2, "effect": "free"}]}
        assert parse_settings(options | {"siblings": dispatcher_count}).dispatcher_count == 1
    engine.policy.handle(engine.clock.now_ms(), api.RequestArrived(1, 0, engine.clock.now_ms() + 5000.0))


def test_the_traffic_counts_of_two_dispatchers_are_added_up(capsys: pytest.CaptureFixture[str]) -> None:
    counts = TrafficTotals()
    for _ in range(2):
        tally = TrafficCounts()
        for sessions, out in ((3, 2), (7, 9), (7, 0)):
            record = logging.makeLogRecord({"msg": "tally", "created": 1.8e9 + sessions})
            record.kv = tally.pairs({"sessions": sessions, "ok": sessions}, {}, {"s-1": out} if out else {})
            counts.add_line("0.281 " + KeyValueFormatter().format(record))
    counts.add_line("ts=2026-12-01T00:00:00.000Z event=stats sessions=99")
    figures = counts.print_table(8)
    assert (figures["sessions"], figures["most_at_a_runner"]) == (14, 18)
    rows = [line.split() for line in capsys.readouterr().out.splitlines()[1:]]
    assert [(row[0], row[1], row[-1]) for row in rows] == [("0", "6", "0"), ("4", "8", "10")]
