"""How jobs that wait fare: under a flood of orders, in great numbers, and at their hour.

    .venv/bin/python benchmarks/waiting.py [--quick] [--seed N]

The flood is played in simulated time with the real engine, decision module and job service; without --quick
it is played over sockets too, for ten minutes (benchmarks/flood.py).
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import random
import sys
import tempfile
import time
from pathlib import Path

import uvloop
from harness import (
    SimClock,
    SimWorkers,
    SimWorkersAdapter,
    create_engine,
    percentile,
    print_figures,
    resident_kb,
)

from grebestack.core import api
from grebestack.core.api import ListKind, Outcome
from grebestack.drmaa.template import TemplateConverter
from grebestack.job_queue import interface as queue_api
from grebestack.job_queue.interface import JobSpec
from grebestack.job_queue.job_queue import JobQueue
from grebestack.jobs.records import Batch, Job, JobError, JobLimits
from grebestack.jobs.service import JobService
from grebestack.jobs.store import JobStore
from grebestack.program.loop_clock import LoopClock
from grebestack.routing.engine import Engine
from grebestack.routing.requests import Attempt, AttemptStage, Payload, Request
from grebestack.routing.worker_table import WorkerEndpoint

ORDER = api.JobClass(
    "order",
    latency_objective_ms=600,
    deadline_ms=10_000,
    effect=api.Effect.NOT_IDEMPOTENT,
    priority_weight=5.0,
    late_priority_weight=0.3,
    objective_stretch=2.5,
)
READING = api.JobClass(
    "reading",
    latency_objective_ms=400,
    deadline_ms=5000,
    effect=api.Effect.IDEMPOTENT_WITH_KEY,
    priority_weight=2.0,
    late_priority_weight=0.25,
    objective_stretch=2.0,
    retry_window_ms=7500,
)
SETTINGS = api.Settings(
    classes=(ORDER, READING),
    max_attempts=5,
    hedging_enabled=True,
    cancel=True,
    retry_after=True,
    max_retry_after_ms=2000,
    tick_ms=5,
    report_fields=frozenset({"free_slots"}),
)
SERVERS, SLOTS, RUN_MS = 10, 8, 500.0
CAPACITY_PER_S = SERVERS * SLOTS * 1000.0 / RUN_MS
FLOOD = 1.5  # times what the servers can do
WAITING = 0.06  # of what they can do, as jobs that wait
WANTED_S = (2.0, 5.0, 20.0)


class Flooding:
    """The frontend of the flood's sessions: counts the worth that is served, late answers at their part."""

    def __init__(self, clock: SimClock) -> None:
        self.clock, self.worth, self.asked = clock, 0.0, 0.0
        self.arrived: dict[int, float] = {}
        self.ran: dict[int, float] = {}

    def before_send(self, dispatch: Attempt) -> bool:
        """Whatever the module sends may go."""
        return True

    def on_attempt_ended(self, dispatch: Attempt) -> None:
        """Nothing is kept of it."""

    def on_served(self, session: Request, result: bytes) -> None:
        """In time if within the aim and so many times the job's own running time."""
        job_class = SETTINGS.classes[session.arrival.job_class]
        took = self.clock.now - self.arrived.pop(session.number)
        aim = job_class.latency_objective_ms + job_class.objective_stretch * self.ran.pop(
            session.number, RUN_MS
        )
        self.worth += job_class.priority_weight * (1.0 if took <= aim else job_class.late_priority_weight)

    def on_rejected(self, session: Request, retry_after_ms: float | None) -> None:
        """Nothing is earned."""
        self.arrived.pop(session.number, None)

    def on_failed(self, session: Request) -> None:
        """Nothing is earned."""
        self.arrived.pop(session.number, None)

    on_cancelled = on_failed


class Watched:
    """Notes since when each waiting job has been ready and when a server was sent it."""

    def __init__(self, service: JobService, clock: SimClock) -> None:
        self.ready: dict[str, float] = {}
        self.stretches: list[float] = []
        self.end_stretches: list[float] = []
        self.wanted: dict[str, float] = {}
        self.ends: dict[str, str] = {}
        self.longest_ms = 0.0
        feed = service.handle_event

        def told(event: queue_api.Event) -> None:
            if isinstance(event, queue_api.JobSent) and event.job in self.wanted:
                began = self.ready.setdefault(event.job, clock.now)
                self.stretches.append((clock.now - began) / self.wanted[event.job])
            start = time.perf_counter()
            feed(event)
            self.longest_ms = max(self.longest_ms, (time.perf_counter() - start) * 1000.0)

        defer_ready_time = service._defer_ready_time

        def noted(job_id: str, ready: float | None) -> None:
            self.ready[job_id] = clock.now
            defer_ready_time(job_id, ready)

        def ended(job: Job) -> None:
            assert job.id not in self.ends, "ended twice"
            self.ends[job.id] = job.state
            if job.id in self.ready and job.id in self.wanted:
                self.end_stretches.append((clock.now - self.ready[job.id]) / self.wanted[job.id])

        service.handle_event = told  # type: ignore[method-assign]
        service._defer_ready_time = noted  # type: ignore[method-assign]
        service.on_job_ended = ended


def flood(
    seed: int, seconds: float, waiting: bool, store: str, orders: float = 1.0, share: float = WAITING
) -> dict[str, float]:
    """One flood: orders, and readings if `orders` is under 1, at once; jobs wait beside them."""
    clock = SimClock()
    engine = create_engine(clock, SETTINGS, seed)
    # Running times come from a stream of their own: both runs are played with the same ones.
    frontend = Flooding(clock)

    def run_ms(dispatch: Attempt, _: random.Random) -> float:
        took = random.Random(f"{seed} {dispatch.request.call_id}").expovariate(1.0 / RUN_MS)
        frontend.ran[dispatch.request.number] = took
        return took

    machines = SimWorkers(clock, seed, SERVERS, SLOTS, run_ms)
    servers = engine.workers = SimWorkersAdapter(engine, machines)
    templates = TemplateConverter(SETTINGS)
    limits = JobLimits(latency_objectives_s=(10.0, 10.0))
    service = JobService(
        engine, servers, SETTINGS, JobStore(store), templates, limits, lambda: 1.8e9 + clock.now / 1000.0
    )
    watched = Watched(service, clock)
    engine.table.update(ListKind.FULL, machines.endpoints())
    source, counts = random.Random(seed), [0, 0]
    end_ms = clock.now + seconds * 1000.0

    def arrive() -> None:
        if clock.now >= end_ms:
            return
        index = 0 if source.random() < orders else 1
        counts[0] += 1
        job_class = SETTINGS.classes[index]
        frontend.asked += job_class.priority_weight
        frontend.arrived[engine.last_number + 1] = clock.now
        engine.open_request(
            frontend, f"f{counts[0]}", Payload(b"", b""), index, clock.now + job_class.deadline_ms
        )
        gap = source.expovariate(CAPACITY_PER_S * FLOOD / 1000.0)
        clock.call_at(clock.now + gap, arrive)

    others, newest = random.Random(seed + 1), list[str]()

    def wait() -> None:
        """Half of them wait for a job, a third for an hour; some want two slots."""
        if clock.now >= end_ms:
            return
        counts[1] += 1
        wanted = others.choice(WANTED_S)
        special: dict[str, object] = {"wantedTime": wanted}
        template: dict[str, object] = {
            "jobCategory": others.choice(("order", "reading")),
            "implementationSpecific": special,
        }
        if newest and others.random() < 0.5:
            special["after"] = [{"job": others.choice(newest[-50:]), "on": "ended"}]
        if others.random() < 0.33:
            template["startTime"] = service.wall_clock() + others.uniform(0.0, 20.0)
        if others.random() < 0.1:
            template["minSlots"] = 2
        job, _ = service.submit(f"w{counts[1]}", templates.new_job(template))
        watched.wanted[job.id] = wanted * 1000.0
        newest.append(job.id)
        clock.call_at(clock.now + others.expovariate(CAPACITY_PER_S * share / 1000.0), wait)

    arrive()
    if waiting:
        wait()
    began = time.process_time()
    clock.advance_to(end_ms + 120_000.0)
    assert max(machines.run_counts.values()) == 1, "an order ran twice"
    if waiting:
        assert len(watched.ends) == counts[1] and not len(service.job_queue), "a job was forgotten"
    service.store.close()
    return {
        "worth": frontend.worth,
        "asked": frontend.asked,
        "jobs": float(counts[1]),
        "done": float(sum(state == "DONE" for state in watched.ends.values())),
        "stretch": max(watched.stretches, default=0.0),
        "end_stretch": max(watched.end_stretches, default=0.0),
        "stretch_p99": percentile(watched.stretches, 0.99),
        "cpu_s": time.process_time() - began,
        "use": machines.busy_ms / (SERVERS * SLOTS * seconds * 1000.0),
    }


def room_cost_us(count: int, cycles: int) -> float:
    """CPU for one job to be let in, sent and ended, with so many others that wait."""
    room = JobQueue(queue_api.JobQueueSettings(class_count=2, max_jobs=count + cycles + 1))
    now = 1000.0
    source = random.Random(1)
    out: list[str] = []

    def feed(event: queue_api.Event) -> None:
        out.extend(
            action.job for action in room.handle(now, event) if isinstance(action, queue_api.ReleaseJob)
        )

    for part in range(0, count, 1000):
        specs = []
        for n in range(part, part + 1000):
            hour = now + 1e9 if n % 2 else None
            specs.append(JobSpec(f"j{n}", n % 4 // 2, source.uniform(1e6, 2e6), start_unix_ms=hour))
        feed(queue_api.JobsSubmitted(tuple(specs)))
    gc.collect()
    began = time.process_time()
    for _ in range(cycles):
        now += 1.0
        job = out.pop(0)
        feed(queue_api.JobSent(job))
        feed(queue_api.JobEnded(job, True))
    return (time.process_time() - began) / cycles * 1e6


class Instant:
    """Servers that take everything at once and are done with it on the next turn of the loop."""

    def __init__(self, engine: Engine, clock: LoopClock) -> None:
        self.engine, self.clock = engine, clock

    def send_attempt(self, dispatch: Attempt) -> None:
        """Send it."""
        if not self.engine.confirm_send(dispatch):
            self.engine.finish_attempt(dispatch, Outcome.CONNECT_FAILED)
            return
        dispatch.stage = AttemptStage.ACCEPTED
        report = {"free_slots": 1e6}
        self.clock.call_at(0.0, lambda: self.engine.finish_attempt(dispatch, Outcome.OK, report, b"done"))

    def abandon_attempt(self, dispatch: Attempt) -> None:
        """Nothing is out for long."""

    cancel_attempt = abandon_attempt

    def probe(self, server: str) -> None:
        """No probes."""

    def set_callback_handler(self, *_: object) -> None:
        """Nothing runs since before a restart."""

    cancel_job = set_callback_handler

    def abandon_job(self, *_: object) -> bool:
        """Nothing runs since before a restart."""
        return True


async def in_numbers(path: str, count: int, due: int, seconds: float) -> dict[str, float]:
    """A store with so many waiting jobs: its restoration, and how late those are let in that fall due."""
    loop = asyncio.get_running_loop()
    clock = LoopClock(loop)
    templates, limits = (
        TemplateConverter(SETTINGS),
        JobLimits(latency_objectives_s=(10.0, 10.0), max_queued=count + due),
    )

    def service_on() -> JobService:
        engine = create_engine(clock, SETTINGS, 1)
        engine.workers = Instant(engine, clock)
        return JobService(engine, Instant(engine, clock), SETTINGS, JobStore(path), templates, limits)

    service = service_on()
    done: asyncio.Future[Batch | JobError] = loop.create_future()
    new = templates.new_job({"jobCategory": "order", "startTime": time.time() + 86_400.0})
    began = time.perf_counter()
    service.submit_batch("far", "far", lambda n: new, range(count), True, None, done.set_result)
    taken = await done
    assert isinstance(taken, Batch), taken
    submit_s = time.perf_counter() - began
    service.store.close()
    del service, taken
    gc.collect()
    before_kb = resident_kb()
    began = time.perf_counter()
    service = service_on()
    service.restore()
    restore_s = time.perf_counter() - began
    gc.collect()
    kb = (resident_kb() - before_kb) / count

    # Some fall due, spread over a while, among all the others.
    first = time.time() + 2.0
    lateness: list[float] = []
    hours: dict[str, float] = {}
    release = service._release

    def released(job_id: str, aged: bool) -> None:
        if job_id in hours:
            lateness.append((time.time() - hours[job_id]) * 1000.0)
        release(job_id, aged)

    service._release = released  # type: ignore[method-assign]
    source = random.Random(2)
    for n in range(due):
        hour = first + source.uniform(0.0, seconds)
        job, _ = service.submit(f"due{n}", templates.new_job({"jobCategory": "reading", "startTime": hour}))
        hours[job.id] = hour
    service.engine.table.update(ListKind.FULL, [WorkerEndpoint(api.WorkerEntry("s-1"), ("127.0.0.1", 1))])
    while len(lateness) < due and time.time() < first + seconds + 10.0:
        await asyncio.sleep(0.05)
    assert len(lateness) == due, "not all were let in"
    service.store.close()
    return {
        "submit_per_s": count / submit_s,
        "restore_s": restore_s,
        "kb_each": kb,
        "late_p99_ms": percentile(lateness, 0.99),
        "late_max_ms": max(lateness),
    }


def cascade_ms(path: str, count: int) -> float:
    """The longest turn while the first of a chain fails and all others end with it, in a store on disk."""
    clock = SimClock()
    engine = create_engine(clock, SETTINGS, 1)
    servers = engine.workers = SimWorkersAdapter(engine, SimWorkers(clock, 1, 0, 1, lambda d, r: 1.0))
    templates = TemplateConverter(SETTINGS)
    service = JobService(
        engine,
        servers,
        SETTINGS,
        JobStore(path),
        templates,
        JobLimits(latency_objectives_s=(10.0, 10.0)),
        lambda: 1.8e9 + clock.now / 1000.0,
    )
    watched = Watched(service, clock)
    first = previous = ""
    with service.store.transaction():
        for n in range(count):
            special = {"after": [previous]} if previous else {}
            raw = {"jobCategory": "order", "submitAsHold": not n, "implementationSpecific": special}
            job, _ = service.submit(f"c{n}", templates.new_job(raw))
            first, previous = first or job.id, job.id
    watched.longest_ms = 0.0
    service.terminate(service.find(first))
    clock.advance_to(clock.now + 1000.0)
    assert len(watched.ends) == count
    service.store.close()
    return watched.longest_ms


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="45 s at the most, all in this process")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    seconds = 30.0 if options.quick else 600.0
    figures: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        figures |= uvloop.run(in_numbers(str(path / "many.sqlite"), 100_000, 600, 6.0))
        alone = flood(options.seed, seconds, False, ":memory:")
        beside = flood(options.seed, seconds, True, ":memory:")
        mixed = [flood(options.seed, seconds, w, ":memory:", orders=0.56)["worth"] for w in (False, True)]
        figures["longest_turn_ms"] = cascade_ms(str(path / "chain.sqlite"), 10_000)
    small, large = room_cost_us(1000, 400), room_cost_us(100_000, 4000)
    figures |= {
        "stretch": beside["stretch"],
        "stretch_p99": beside["stretch_p99"],
        "end_stretch": beside["end_stretch"],
        "waiting_jobs": beside["jobs"],
        "waiting_done": beside["done"],
        "flood_worth_kept": beside["worth"] / alone["worth"],
        "flood_worth_alone": alone["worth"] / alone["asked"],
        "mixed_worth_kept": mixed[1] / mixed[0],
        "use": beside["use"],
        "release_us": large,
        "release_growth": large / small,
    }
    aims = {
        "stretch": ("<=", 2.0),
        "flood_worth_kept": (">=", 0.9),
        "kb_each": ("<=", 1.5),
        "restore_s": ("<=", 5.0),
        "release_us": ("<=", 50.0),
        "release_growth": ("<=", 3.0),
        "late_p99_ms": ("<=", 50.0),
        "longest_turn_ms": ("<=", 20.0),
    }
    if not options.quick:
        import flood as sockets

        figures |= sockets.measure(options.seed, seconds)
        aims |= sockets.AIMS
    return print_figures(figures, aims)


if __name__ == "__main__":
    sys.exit(main())
