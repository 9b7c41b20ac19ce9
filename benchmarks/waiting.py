"""How queued jobs fare: under overload by requests, in large numbers, and at their start times.

    .venv/bin/python benchmarks/waiting.py [--quick] [--seed N]

The overload runs in simulated time with the real engine, decision module and job service; without --quick it
also runs over sockets, for ten minutes (benchmarks/flood.py).
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
WORKERS, SLOTS, MEAN_RUN_MS = 10, 8, 500.0
CAPACITY_PER_S = WORKERS * SLOTS * 1000.0 / MEAN_RUN_MS
OVERLOAD_FACTOR = 1.5  # request rate as a multiple of the capacity
QUEUED_SHARE = 0.06  # rate of queued jobs as a share of the capacity
WANTED_TIMES_S = (2.0, 5.0, 20.0)


class ValueCounter:
    """Listens to the requests and adds up the served priority weight; late responses count for less."""

    def __init__(self, clock: SimClock) -> None:
        self.clock, self.served_value, self.requested_value = clock, 0.0, 0.0
        self.arrived_ms: dict[int, float] = {}
        self.run_ms: dict[int, float] = {}

    def is_client_gone(self) -> bool:
        return False

    def before_send(self, attempt: Attempt) -> bool:
        """Allow every attempt."""
        return True

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Do nothing: only the ends of requests count."""

    def on_served(self, request: Request, result: bytes) -> None:
        """Add the priority weight; the objective grows with the job's own running time."""
        job_class = SETTINGS.classes[request.arrival.job_class]
        taken_ms = self.clock.now - self.arrived_ms.pop(request.number)
        objective_ms = job_class.latency_objective_ms + job_class.objective_stretch * self.run_ms.pop(
            request.number, MEAN_RUN_MS
        )
        self.served_value += job_class.priority_weight * (
            1.0 if taken_ms <= objective_ms else job_class.late_priority_weight
        )

    def on_rejected(self, request: Request, retry_after_ms: float | None) -> None:
        """Add no value."""
        self.arrived_ms.pop(request.number, None)

    def on_failed(self, request: Request) -> None:
        """Add no value."""
        self.arrived_ms.pop(request.number, None)

    on_cancelled = on_failed


class JobObserver:
    """Records since when each queued job has been ready, when it was sent to a worker, and how it ended."""

    def __init__(self, service: JobService, clock: SimClock) -> None:
        self.ready_ms: dict[str, float] = {}
        self.sent_stretches: list[float] = []
        self.end_stretches: list[float] = []
        self.wanted_ms: dict[str, float] = {}
        self.end_states: dict[str, str] = {}
        self.max_turn_ms = 0.0
        handle_event = service.handle_event

        def handle_and_record(event: queue_api.Event) -> None:
            if isinstance(event, queue_api.JobSent) and event.job in self.wanted_ms:
                began_ms = self.ready_ms.setdefault(event.job, clock.now)
                self.sent_stretches.append((clock.now - began_ms) / self.wanted_ms[event.job])
            start_s = time.perf_counter()
            handle_event(event)
            self.max_turn_ms = max(self.max_turn_ms, (time.perf_counter() - start_s) * 1000.0)

        defer_ready_time = service._defer_ready_time

        def defer_and_record(job_id: str, ready: float | None) -> None:
            self.ready_ms[job_id] = clock.now
            defer_ready_time(job_id, ready)

        def on_job_ended(job: Job) -> None:
            assert job.id not in self.end_states, "a job ended twice"
            self.end_states[job.id] = job.state
            if job.id in self.ready_ms and job.id in self.wanted_ms:
                self.end_stretches.append((clock.now - self.ready_ms[job.id]) / self.wanted_ms[job.id])

        service.handle_event = handle_and_record  # type: ignore[method-assign]
        service._defer_ready_time = defer_and_record  # type: ignore[method-assign]
        service.on_job_ended = on_job_ended


def run_overload(
    seed: int,
    seconds: float,
    with_queued_jobs: bool,
    store: str,
    order_share: float = 1.0,
    queued_share: float = QUEUED_SHARE,
) -> dict[str, float]:
    """Overload the workers with orders, and readings if `order_share` is below 1; optionally queue jobs."""
    clock = SimClock()
    engine = create_engine(clock, SETTINGS, seed)
    # A running time depends on the seed and the call id only: both runs use the same ones for requests.
    listener = ValueCounter(clock)

    def draw_run_ms(attempt: Attempt, _: random.Random) -> float:
        run_ms = random.Random(f"{seed} {attempt.request.call_id}").expovariate(1.0 / MEAN_RUN_MS)
        listener.run_ms[attempt.request.number] = run_ms
        return run_ms

    workers = SimWorkers(clock, seed, WORKERS, SLOTS, draw_run_ms)
    adapter = engine.workers = SimWorkersAdapter(engine, workers)
    templates = TemplateConverter(SETTINGS)
    limits = JobLimits(latency_objectives_s=(10.0, 10.0))
    service = JobService(
        engine, adapter, SETTINGS, JobStore(store), templates, limits, lambda: 1.8e9 + clock.now / 1000.0
    )
    observer = JobObserver(service, clock)
    engine.table.update(ListKind.FULL, workers.endpoints())
    rng, counts = random.Random(seed), [0, 0]
    end_ms = clock.now + seconds * 1000.0

    def arrive() -> None:
        if clock.now >= end_ms:
            return
        index = 0 if rng.random() < order_share else 1
        counts[0] += 1
        job_class = SETTINGS.classes[index]
        listener.requested_value += job_class.priority_weight
        listener.arrived_ms[engine.last_number + 1] = clock.now
        engine.open_request(
            listener, f"f{counts[0]}", Payload(b"", b""), index, clock.now + job_class.deadline_ms
        )
        gap_ms = rng.expovariate(CAPACITY_PER_S * OVERLOAD_FACTOR / 1000.0)
        clock.call_at(clock.now + gap_ms, arrive)

    job_rng, job_ids = random.Random(seed + 1), list[str]()

    def submit_job() -> None:
        """Submit a job: half depend on another job, a third have a start time, some need two slots."""
        if clock.now >= end_ms:
            return
        counts[1] += 1
        wanted_s = job_rng.choice(WANTED_TIMES_S)
        extension: dict[str, object] = {"wantedTime": wanted_s}
        template: dict[str, object] = {
            "jobCategory": job_rng.choice(("order", "reading")),
            "implementationSpecific": extension,
        }
        if job_ids and job_rng.random() < 0.5:
            extension["after"] = [{"job": job_rng.choice(job_ids[-50:]), "on": "ended"}]
        if job_rng.random() < 0.33:
            template["startTime"] = service.wall_clock() + job_rng.uniform(0.0, 20.0)
        if job_rng.random() < 0.1:
            template["minSlots"] = 2
        job, _ = service.submit(f"w{counts[1]}", templates.new_job(template))
        observer.wanted_ms[job.id] = wanted_s * 1000.0
        job_ids.append(job.id)
        clock.call_at(clock.now + job_rng.expovariate(CAPACITY_PER_S * queued_share / 1000.0), submit_job)

    arrive()
    if with_queued_jobs:
        submit_job()
    start_s = time.process_time()
    clock.advance_to(end_ms + 120_000.0)
    assert max(workers.run_counts.values()) == 1, "an order ran twice"
    if with_queued_jobs:
        assert len(observer.end_states) == counts[1] and not len(service.job_queue), "a job did not end"
    service.store.close()
    return {
        "worth": listener.served_value,
        "asked": listener.requested_value,
        "jobs": float(counts[1]),
        "done": float(sum(state == "DONE" for state in observer.end_states.values())),
        "stretch": max(observer.sent_stretches, default=0.0),
        "end_stretch": max(observer.end_stretches, default=0.0),
        "stretch_p99": percentile(observer.sent_stretches, 0.99),
        "cpu_s": time.process_time() - start_s,
        "use": workers.busy_ms / (WORKERS * SLOTS * seconds * 1000.0),
    }


def queue_cost_us(count: int, cycles: int) -> float:
    """Return the CPU time to release, send and end one job while this many others are queued."""
    queue = JobQueue(queue_api.JobQueueSettings(class_count=2, max_jobs=count + cycles + 1))
    now_ms = 1000.0
    rng = random.Random(1)
    released: list[str] = []

    def handle_event(event: queue_api.Event) -> None:
        released.extend(
            action.job for action in queue.handle(now_ms, event) if isinstance(action, queue_api.ReleaseJob)
        )

    for first in range(0, count, 1000):
        specs = []
        for n in range(first, first + 1000):
            start_ms = now_ms + 1e9 if n % 2 else None
            specs.append(JobSpec(f"j{n}", n % 4 // 2, rng.uniform(1e6, 2e6), start_unix_ms=start_ms))
        handle_event(queue_api.JobsSubmitted(tuple(specs)))
    gc.collect()
    start_s = time.process_time()
    for _ in range(cycles):
        now_ms += 1.0
        job = released.pop(0)
        handle_event(queue_api.JobSent(job))
        handle_event(queue_api.JobEnded(job, True))
    return (time.process_time() - start_s) / cycles * 1e6


class InstantWorkers:
    """Workers that accept every job at once and finish it in the next turn of the event loop."""

    def __init__(self, engine: Engine, clock: LoopClock) -> None:
        self.engine, self.clock = engine, clock

    def send_attempt(self, attempt: Attempt) -> None:
        """Accept an attempt and schedule its end."""
        if not self.engine.confirm_send(attempt):
            self.engine.finish_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        attempt.stage = AttemptStage.ACCEPTED
        report = {"free_slots": 1e6}
        self.clock.call_at(0.0, lambda: self.engine.finish_attempt(attempt, Outcome.OK, report, b"done"))

    def adopt_attempt(self, attempt: Attempt, address: tuple[str, int]) -> None:
        raise NotImplementedError("nothing is handed over here")

    def abandon_attempt(self, attempt: Attempt) -> None:
        """Do nothing: the attempt ends at once anyway."""

    cancel_attempt = abandon_attempt

    def probe(self, worker: str) -> None:
        """Do nothing: these workers answer no probes."""

    def set_callback_handler(self, *_: object) -> None:
        """Do nothing: no job from before a restart runs here."""

    cancel_job = set_callback_handler

    def abandon_job(self, *_: object) -> bool:
        """Do nothing: no job from before a restart runs here."""
        return True


async def measure_large_store(path: str, count: int, due: int, seconds: float) -> dict[str, float]:
    """Measure how long a store with many jobs takes to restore, and how late jobs are released."""
    loop = asyncio.get_running_loop()
    clock = LoopClock(loop)
    templates, limits = (
        TemplateConverter(SETTINGS),
        JobLimits(latency_objectives_s=(10.0, 10.0), max_queued=count + due),
    )

    def create_service() -> JobService:
        engine = create_engine(clock, SETTINGS, 1)
        engine.workers = InstantWorkers(engine, clock)
        return JobService(engine, InstantWorkers(engine, clock), SETTINGS, JobStore(path), templates, limits)

    service = create_service()
    submitted: asyncio.Future[Batch | JobError] = loop.create_future()
    new = templates.new_job({"jobCategory": "order", "startTime": time.time() + 86_400.0})
    start_s = time.perf_counter()
    service.submit_batch("far", "far", lambda n: new, range(count), True, None, submitted.set_result)
    batch = await submitted
    assert isinstance(batch, Batch), batch
    submit_s = time.perf_counter() - start_s
    service.store.close()
    del service, batch
    gc.collect()
    before_kb = resident_kb()
    start_s = time.perf_counter()
    service = create_service()
    service.restore()
    restore_s = time.perf_counter() - start_s
    gc.collect()
    job_kb = (resident_kb() - before_kb) / count

    # Some jobs have start times within the next few seconds, among all the others.
    first_start_s = time.time() + 2.0
    lateness_ms: list[float] = []
    start_times_s: dict[str, float] = {}
    release = service._release

    def release_and_record(job_id: str, aged: bool) -> None:
        if job_id in start_times_s:
            lateness_ms.append((time.time() - start_times_s[job_id]) * 1000.0)
        release(job_id, aged)

    service._release = release_and_record  # type: ignore[method-assign]
    rng = random.Random(2)
    for n in range(due):
        start_time_s = first_start_s + rng.uniform(0.0, seconds)
        job, _ = service.submit(
            f"due{n}", templates.new_job({"jobCategory": "reading", "startTime": start_time_s})
        )
        start_times_s[job.id] = start_time_s
    service.engine.table.update(ListKind.FULL, [WorkerEndpoint(api.WorkerEntry("s-1"), ("127.0.0.1", 1))])
    while len(lateness_ms) < due and time.time() < first_start_s + seconds + 10.0:
        await asyncio.sleep(0.05)
    assert len(lateness_ms) == due, "not every job was released"
    service.store.close()
    return {
        "submit_per_s": count / submit_s,
        "restore_s": restore_s,
        "kb_each": job_kb,
        "late_p99_ms": percentile(lateness_ms, 0.99),
        "late_max_ms": max(lateness_ms),
    }


def max_cascade_turn_ms(path: str, count: int) -> float:
    """Return the longest turn while a chain of jobs in a store on disk ends because its first job failed."""
    clock = SimClock()
    engine = create_engine(clock, SETTINGS, 1)
    adapter = engine.workers = SimWorkersAdapter(engine, SimWorkers(clock, 1, 0, 1, lambda attempt, rng: 1.0))
    templates = TemplateConverter(SETTINGS)
    service = JobService(
        engine,
        adapter,
        SETTINGS,
        JobStore(path),
        templates,
        JobLimits(latency_objectives_s=(10.0, 10.0)),
        lambda: 1.8e9 + clock.now / 1000.0,
    )
    observer = JobObserver(service, clock)
    first = previous = ""
    with service.store.transaction():
        for n in range(count):
            extension = {"after": [previous]} if previous else {}
            raw = {"jobCategory": "order", "submitAsHold": not n, "implementationSpecific": extension}
            job, _ = service.submit(f"c{n}", templates.new_job(raw))
            first, previous = first or job.id, job.id
    observer.max_turn_ms = 0.0
    service.terminate(service.find(first))
    clock.advance_to(clock.now + 1000.0)
    assert len(observer.end_states) == count
    service.store.close()
    return observer.max_turn_ms


def main() -> int:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="at most 45 s, all in this process")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    seconds = 30.0 if options.quick else 600.0
    figures: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        figures |= uvloop.run(measure_large_store(str(path / "many.sqlite"), 100_000, 600, 6.0))
        requests_only = run_overload(options.seed, seconds, False, ":memory:")
        with_jobs = run_overload(options.seed, seconds, True, ":memory:")
        mixed_values = [
            run_overload(options.seed, seconds, with_queued_jobs, ":memory:", order_share=0.56)["worth"]
            for with_queued_jobs in (False, True)
        ]
        figures["longest_turn_ms"] = max_cascade_turn_ms(str(path / "chain.sqlite"), 10_000)
    small_us, large_us = queue_cost_us(1000, 400), queue_cost_us(100_000, 4000)
    figures |= {
        "stretch": with_jobs["stretch"],
        "stretch_p99": with_jobs["stretch_p99"],
        "end_stretch": with_jobs["end_stretch"],
        "waiting_jobs": with_jobs["jobs"],
        "waiting_done": with_jobs["done"],
        "flood_worth_kept": with_jobs["worth"] / requests_only["worth"],
        "flood_worth_alone": requests_only["worth"] / requests_only["asked"],
        "mixed_worth_kept": mixed_values[1] / mixed_values[0],
        "use": with_jobs["use"],
        "release_us": large_us,
        "release_growth": large_us / small_us,
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
        import flood as socket_benchmark

        figures |= socket_benchmark.measure(options.seed, seconds)
        aims |= socket_benchmark.AIMS
    return print_figures(figures, aims)


if __name__ == "__main__":
    sys.exit(main())
