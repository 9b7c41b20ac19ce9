"""A fleet in simulated time: dispatchers, servers with queues, connections that come up late, and clients.

Servers tell starts and nothing else; late answers earn nothing; what is refused comes again.
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
RUN_MS = (360.0, 1300.0)  # on the whole; half of the jobs are of each class
SLOTS, SETUP_MS, IDLE_MS = 6, 45.0, 10_000.0
CLIENT_TRIES = 4


@dataclass
class Job:
    """One client's wish, through all its tries."""

    index: int
    run_ms: float
    key: int
    came_ms: float
    dispatcher: int
    tries: int = 0
    attempts: list[Try] = field(default_factory=list)
    over: bool = False


@dataclass
class Try:
    """One attempt, as the servers see it."""

    job: Job
    number: int
    index: int
    dispatcher: int
    server: int
    where: str = "on its way"  # then "queued", "runs", "over"


class OverloadedFleet:
    """All of it; `served` has, for each job, when it first came and whether its answer came in time."""

    def __init__(self, seed: int, dispatchers: int, servers: int, zones: int) -> None:
        self.random, self.now, self.count = random.Random(seed), 0.0, 0
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.zones, self.servers, self.dispatchers = zones, servers, dispatchers
        self.queues: list[list[Try]] = [[] for _ in range(servers)]
        self.free = [SLOTS] * servers
        self.used_ms: dict[tuple[int, int], float] = {}  # connections, and when they were last used
        self.policies: list[Policy] = []
        self.jobs: list[dict[int, Job]] = []
        self.served: list[tuple[float, bool]] = []
        self.worked_ms = 0.0
        entries = tuple(api.WorkerEntry(f"s{n}", zone=n % zones) for n in range(servers))
        for n in range(dispatchers):
            told = api.Settings(
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
            self.policies.append(Policy(told, seed * 1000 + n))
            self.jobs.append({})
            self.feed(n, api.WorkersListed(api.ListKind.FULL, entries))

    def after(self, ms: float, call: Callable[[], None]) -> None:
        """Have a call made so much later."""
        self.count += 1
        heapq.heappush(self.calls, (self.now + ms, self.count, call))

    def run(self, until_ms: float) -> None:
        """Go on to a time."""
        while self.calls and self.calls[0][0] <= until_ms:
            self.now, _, call = heapq.heappop(self.calls)
            call()
        self.now = until_ms

    def offer(self, load: Callable[[float], float], until_ms: float) -> None:
        """New jobs at random, for that share of all slots at each time."""
        rate = load(self.now) * self.servers * SLOTS / (sum(RUN_MS) / len(RUN_MS))
        if self.now < until_ms:
            self.after(self.random.expovariate(rate), lambda: self.offer(load, until_ms))
            index = self.random.randrange(2)
            run_ms = RUN_MS[index] * self.random.lognormvariate(-0.125, 0.5)
            self.ask(Job(index, run_ms, self.random.randrange(50), self.now, 0))

    def ask(self, job: Job) -> None:
        """A client sends it to any dispatcher."""
        job.dispatcher, job.tries, job.attempts = self.random.randrange(self.dispatchers), job.tries + 1, []
        self.count += 1
        number = self.count
        self.jobs[job.dispatcher][number] = job
        deadline = self.now + CLASSES[job.index].deadline_ms
        event = api.RequestArrived(number, job.index, deadline, cache_key=job.key, retry=job.tries > 1)
        self.feed(job.dispatcher, event)

    def feed(self, n: int, event: api.Event) -> None:
        """Hand an event in and carry out what comes back."""
        for action in self.policies[n].handle(self.now, event):
            if isinstance(action, api.SetTimer):
                token = action.token
                self.after(max(0.0, action.at_ms - self.now), lambda t=token: self.feed(n, api.TimerFired(t)))  # type: ignore[misc]
            elif isinstance(action, api.Send):
                self.send(n, action)
            elif isinstance(action, api.Cancel):
                attempt = self.jobs[n][action.request].attempts[action.attempt]
                self.after(self.way(attempt) + 1.0, lambda a=attempt: self.cancel(a))  # type: ignore[misc]
            elif isinstance(action, api.Reject | api.Fail):
                self.refused(self.jobs[n][action.request], action)

    def way(self, attempt: Try) -> float:
        """From a dispatcher to a server or back."""
        return 0.5 if attempt.dispatcher % self.zones == attempt.server % self.zones else 8.0

    def send(self, n: int, action: api.Send) -> None:
        """An attempt goes out; where no connection is up, one has to come up first."""
        job, server = self.jobs[n][action.request], int(action.worker[1:])
        attempt = Try(job, action.request, len(job.attempts), n, server)
        job.attempts.append(attempt)
        up = self.used_ms.get((n, server), -IDLE_MS) + IDLE_MS > self.now
        setup = 0.0 if up else SETUP_MS * self.random.uniform(0.5, 1.5)
        self.used_ms[n, server] = self.now + setup
        self.after(setup + self.way(attempt), lambda: self.arrive(attempt))

    def arrive(self, attempt: Try) -> None:
        """It reaches its server."""
        if attempt.where == "on its way":
            attempt.where = "queued"
            self.queues[attempt.server].append(attempt)
            self.begin(attempt.server)

    def begin(self, server: int) -> None:
        """First come, first served."""
        queue = self.queues[server]
        while queue and self.free[server] > 0:
            attempt = queue.pop(0)
            attempt.where, self.free[server] = "runs", self.free[server] - 1
            self.worked_ms += attempt.job.run_ms
            self.tell(attempt, api.AttemptStarted(attempt.number, attempt.index, f"s{server}"))
            self.after(attempt.job.run_ms, lambda a=attempt: self.end(a))  # type: ignore[misc]

    def end(self, attempt: Try) -> None:
        """A job has run to its end."""
        self.free[attempt.server] += 1
        attempt.where = "over"
        self.after(self.way(attempt), lambda: self.answer(attempt))
        self.begin(attempt.server)

    def answer(self, attempt: Try) -> None:
        """The answer goes through to the client."""
        job, c = attempt.job, CLASSES[attempt.job.index]
        if not job.over:
            job.over = True
            in_time = self.now - job.came_ms <= c.latency_objective_ms + c.objective_stretch * job.run_ms
            self.served.append((job.came_ms, in_time))
        self.over(attempt, api.Outcome.OK, True)

    def cancel(self, attempt: Try) -> None:
        """What is queued is given back; what runs goes on, and what has not come yet can't be asked for."""
        if attempt.where == "queued":
            self.queues[attempt.server].remove(attempt)
            attempt.where = "over"
            self.after(self.way(attempt), lambda: self.over(attempt, api.Outcome.CANCELLED, False))

    def tell(self, attempt: Try, event: api.Event) -> None:
        """A word from a server to its dispatcher."""
        self.after(self.way(attempt), lambda: self.feed(attempt.dispatcher, event))

    def over(self, attempt: Try, outcome: api.Outcome, closed: bool) -> None:
        """An attempt is over for its dispatcher."""
        event = api.AttemptEnded(attempt.number, attempt.index, f"s{attempt.server}", outcome, 0.0, closed)
        self.feed(attempt.dispatcher, event)

    def refused(self, job: Job, action: api.Reject | api.Fail) -> None:
        """The client comes again, or gives the job up."""
        if job.over:
            return
        if isinstance(action, api.Reject) and job.tries < CLIENT_TRIES:
            honours = self.random.random() < 0.4
            pause = (action.retry_after_ms or 100.0) if honours else self.random.uniform(23.0, 180.0)
            self.after(pause, lambda: self.ask(job))
        else:
            job.over = True
            self.served.append((job.came_ms, False))

    def in_time(self, since_ms: float, until_ms: float) -> float:
        """The share served in time of the jobs that first came then."""
        these = [good for came, good in self.served if since_ms <= came < until_ms]
        return sum(these) / max(1, len(these))
