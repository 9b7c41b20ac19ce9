"""A cluster in simulated time: dispatchers, workers with queues, connections that take time, and clients.

Workers report starts and nothing else. Late answers have no value. Clients retry rejected jobs.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from grebestack.core import api
from grebestack.core.policy import Policy

CLASSES = (
    api.JobClass(
        "status",
        latency_objective_ms=250,
        deadline_ms=5000,
        effect=api.Effect.IDEMPOTENT,
        priority_weight=5,
        objective_stretch=2.5,
    ),
    api.JobClass(
        "report",
        latency_objective_ms=400,
        deadline_ms=12000,
        effect=api.Effect.IDEMPOTENT_WITH_KEY,
        priority_weight=3,
        objective_stretch=2.0,
        group=api.Group.ZONE,
        retry_window_ms=20000,
    ),
)
RUN_MS = (360.0, 1300.0)  # mean by class; half of the jobs are of each class
SLOTS, SETUP_MS, IDLE_TIMEOUT_MS = 6, 45.0, 10_000.0
MAX_REQUESTS_PER_JOB = 4


@dataclass
class Job:
    """One job of a client, over all its requests."""

    class_index: int
    run_ms: float
    cache_key: int
    arrived_ms: float
    dispatcher: int
    request_count: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    is_answered: bool = False


@dataclass
class Attempt:
    """One attempt, as the workers see it."""

    job: Job
    number: int
    index: int
    dispatcher: int
    worker: int
    state: str = "on its way"  # then "queued", "runs", "over"


class OverloadedCluster:
    """The cluster; `served` has, for each job, its first arrival and whether it was served in time."""

    def __init__(self, seed: int, dispatchers: int, workers: int, zones: int) -> None:
        self.random, self.now_ms, self.sequence = random.Random(seed), 0.0, 0
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.zones, self.workers, self.dispatchers = zones, workers, dispatchers
        self.queues: list[list[Attempt]] = [[] for _ in range(workers)]
        self.free_slots = [SLOTS] * workers
        self.connection_used_ms: dict[tuple[int, int], float] = {}  # by connection: when it was last used
        self.policies: list[Policy] = []
        self.jobs: list[dict[int, Job]] = []
        self.served: list[tuple[float, bool]] = []
        self.run_ms_total = 0.0
        entries = tuple(api.WorkerEntry(f"s{n}", zone=n % zones) for n in range(workers))
        for n in range(dispatchers):
            settings = api.Settings(
                classes=CLASSES,
                dispatcher=n,
                dispatcher_count=dispatchers,
                zone=n % zones,
                max_attempts=5,
                cancel=True,
                reports_attempt_start=True,
                retry_after=True,
                max_retry_after_ms=2000.0,
                cross_zone_cost=0.025,
                tick_ms=2.0,
            )
            self.policies.append(Policy(settings, seed * 1000 + n))
            self.jobs.append({})
            self.feed(n, api.WorkersListed(api.ListKind.FULL, entries))

    def after(self, ms: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        self.sequence += 1
        heapq.heappush(self.calls, (self.now_ms + ms, self.sequence, call))

    def run(self, until_ms: float) -> None:
        """Run the scheduled calls up to a time."""
        while self.calls and self.calls[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.calls)
            call()
        self.now_ms = until_ms

    def offer(self, load: Callable[[float], float], until_ms: float) -> None:
        """Submit new jobs at random; `load` is the share of all slots that they need at each time."""
        rate_per_ms = load(self.now_ms) * self.workers * SLOTS / (sum(RUN_MS) / len(RUN_MS))
        if self.now_ms < until_ms:
            self.after(self.random.expovariate(rate_per_ms), lambda: self.offer(load, until_ms))
            class_index = self.random.randrange(2)
            run_ms = RUN_MS[class_index] * self.random.lognormvariate(-0.125, 0.5)
            self.submit(Job(class_index, run_ms, self.random.randrange(50), self.now_ms, 0))

    def submit(self, job: Job) -> None:
        """Send a job to a random dispatcher."""
        job.dispatcher, job.request_count, job.attempts = (
            self.random.randrange(self.dispatchers),
            job.request_count + 1,
            [],
        )
        self.sequence += 1
        number = self.sequence
        self.jobs[job.dispatcher][number] = job
        deadline_ms = self.now_ms + CLASSES[job.class_index].deadline_ms
        event = api.RequestArrived(
            number, job.class_index, deadline_ms, cache_key=job.cache_key, retry=job.request_count > 1
        )
        self.feed(job.dispatcher, event)

    def feed(self, n: int, event: api.Event) -> None:
        """Have a policy handle an event, and carry out its actions."""
        for action in self.policies[n].handle(self.now_ms, event):
            if isinstance(action, api.SetTimer):
                token = action.token
                self.after(
                    max(0.0, action.at_ms - self.now_ms),
                    lambda t=token: self.feed(n, api.TimerFired(t)),  # type: ignore[misc]
                )
            elif isinstance(action, api.Send):
                self.send(n, action)
            elif isinstance(action, api.Cancel):
                attempt = self.jobs[n][action.request].attempts[action.attempt]
                self.after(self.travel_ms(attempt) + 1.0, lambda a=attempt: self.cancel(a))  # type: ignore[misc]
            elif isinstance(action, api.Reject | api.Fail):
                self.on_not_served(self.jobs[n][action.request], action)

    def travel_ms(self, attempt: Attempt) -> float:
        """Return the travel time between the dispatcher and the worker of an attempt."""
        return 0.5 if attempt.dispatcher % self.zones == attempt.worker % self.zones else 8.0

    def send(self, n: int, action: api.Send) -> None:
        """Send an attempt; without an open connection, one is established first."""
        job, worker = self.jobs[n][action.request], int(action.worker[1:])
        attempt = Attempt(job, action.request, len(job.attempts), n, worker)
        job.attempts.append(attempt)
        is_connected = (
            self.connection_used_ms.get((n, worker), -IDLE_TIMEOUT_MS) + IDLE_TIMEOUT_MS > self.now_ms
        )
        setup_ms = 0.0 if is_connected else SETUP_MS * self.random.uniform(0.5, 1.5)
        self.connection_used_ms[n, worker] = self.now_ms + setup_ms
        self.after(setup_ms + self.travel_ms(attempt), lambda: self.on_reached(attempt))

    def on_reached(self, attempt: Attempt) -> None:
        """Queue an attempt that has reached its worker."""
        if attempt.state == "on its way":
            attempt.state = "queued"
            self.queues[attempt.worker].append(attempt)
            self.start_jobs(attempt.worker)

    def start_jobs(self, worker: int) -> None:
        """Start queued jobs, first come, first served."""
        queue = self.queues[worker]
        while queue and self.free_slots[worker] > 0:
            attempt = queue.pop(0)
            attempt.state, self.free_slots[worker] = "runs", self.free_slots[worker] - 1
            self.run_ms_total += attempt.job.run_ms
            self.report(attempt, api.AttemptStarted(attempt.number, attempt.index, f"s{worker}"))
            self.after(attempt.job.run_ms, lambda a=attempt: self.finish(a))  # type: ignore[misc]

    def finish(self, attempt: Attempt) -> None:
        """End a job that has run, and start the next."""
        self.free_slots[attempt.worker] += 1
        attempt.state = "over"
        self.after(self.travel_ms(attempt), lambda: self.answer(attempt))
        self.start_jobs(attempt.worker)

    def answer(self, attempt: Attempt) -> None:
        """Deliver an answer to the client."""
        job, job_class = attempt.job, CLASSES[attempt.job.class_index]
        if not job.is_answered:
            job.is_answered = True
            is_in_time = (
                self.now_ms - job.arrived_ms
                <= job_class.latency_objective_ms + job_class.objective_stretch * job.run_ms
            )
            self.served.append((job.arrived_ms, is_in_time))
        self.end_attempt(attempt, api.Outcome.OK, True)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt if it is queued; a running one, or one that has not arrived, is not cancelled."""
        if attempt.state == "queued":
            self.queues[attempt.worker].remove(attempt)
            attempt.state = "over"
            self.after(
                self.travel_ms(attempt), lambda: self.end_attempt(attempt, api.Outcome.CANCELLED, False)
            )

    def report(self, attempt: Attempt, event: api.Event) -> None:
        """Send an event from a worker to its dispatcher."""
        self.after(self.travel_ms(attempt), lambda: self.feed(attempt.dispatcher, event))

    def end_attempt(self, attempt: Attempt, outcome: api.Outcome, closed: bool) -> None:
        """Report the end of an attempt to its dispatcher."""
        event = api.AttemptEnded(attempt.number, attempt.index, f"s{attempt.worker}", outcome, 0.0, closed)
        self.feed(attempt.dispatcher, event)

    def on_not_served(self, job: Job, action: api.Reject | api.Fail) -> None:
        """Retry a rejected job, or give it up."""
        if job.is_answered:
            return
        if isinstance(action, api.Reject) and job.request_count < MAX_REQUESTS_PER_JOB:
            honours_retry_after = self.random.random() < 0.4
            pause_ms = (
                (action.retry_after_ms or 100.0) if honours_retry_after else self.random.uniform(23.0, 180.0)
            )
            self.after(pause_ms, lambda: self.submit(job))
        else:
            job.is_answered = True
            self.served.append((job.arrived_ms, False))

    def share_in_time(self, since_ms: float, until_ms: float) -> float:
        """Return the share served in time of the jobs that first arrived in a period."""
        in_time = [is_in_time for arrived_ms, is_in_time in self.served if since_ms <= arrived_ms < until_ms]
        return sum(in_time) / max(1, len(in_time))
