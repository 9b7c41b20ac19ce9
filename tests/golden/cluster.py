"""The simulated workers, and the requests and attempts of the simulated clients."""

from __future__ import annotations

from dataclasses import dataclass, field

from tests.golden.scenarios import Model, Raw

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"
MEAN_WEIGHT = 10.0  # the registered size of each slot


@dataclass(eq=False)
class Request:
    """One request of a client; a retry is another request."""

    dispatcher: int
    generation: int  # of the dispatcher instance that received it
    number: int
    job_class: int
    deadline_ms: float
    slots: float
    memory: float
    run_ms: float
    request_count: int  # of the client, including this one
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False


@dataclass(eq=False)
class Attempt:
    """One sending of a request to a worker."""

    request: Request
    number: int
    worker: Worker
    sent_ms: float
    started: bool = False
    ended: bool = False


@dataclass(eq=False)
class Worker:
    """A worker with a queue, served first come, first served."""

    name: str
    model: Model
    kind: int
    zone: int
    cell: int
    state: str = ACTIVE
    started_ms: float | None = None
    reachable: bool = True
    hung: bool = False
    slowness: float = 1.0
    failing_class: int | None = None
    queue: list[Attempt] = field(default_factory=list)
    running: list[Attempt] = field(default_factory=list)
    sampled_jobs: float = 0.0
    report: dict[str, float] = field(default_factory=dict)

    def accepts(self) -> bool:
        """Whether it accepts another job into its queue."""
        return self.state == ACTIVE and len(self.queue) < self.model.queue

    def free_slots(self) -> float:
        """Slots that no running job uses."""
        return self.model.slots - sum(attempt.request.slots for attempt in self.running)

    def free_memory(self) -> float:
        """Memory that no running job uses."""
        return self.model.memory - sum(attempt.request.memory for attempt in self.running)

    def next_job(self) -> Attempt | None:
        """Start the first queued job, if it fits."""
        if not self.queue or self.hung:
            return None
        request = self.queue[0].request
        if request.slots > self.free_slots() or request.memory > self.free_memory():
            return None
        attempt = self.queue.pop(0)
        self.running.append(attempt)
        return attempt

    def remove(self, attempt: Attempt) -> None:
        """Remove a job."""
        for jobs in (self.queue, self.running):
            if attempt in jobs:
                jobs.remove(attempt)

    def remove_all(self) -> list[Attempt]:
        """Remove all jobs and return them."""
        jobs = self.running + self.queue
        self.running, self.queue = [], []
        return jobs

    def sample(self) -> None:
        """Sample the values that reports and weights show until the next sample."""
        self.sampled_jobs = float(len(self.running) + len(self.queue))
        self.report = {
            "active": self.sampled_jobs,
            "waiting": float(len(self.queue)),
            "cpu": round(1.0 - self.free_slots() / self.model.slots, 3),
            "avg_ms": 100.0 * self.slowness,
            "rps": 10.0 * len(self.running),
            "err_rps": 0.0,
            "x0": round(self.free_slots(), 3),
            "x1": round(self.free_memory(), 3),
        }

    def weight(self, weights: str) -> float:
        """Its weight in the endpoint list."""
        size = MEAN_WEIGHT * self.model.slots / self.model.slowness
        if weights == "live":
            return round(size / (1.0 + self.sampled_jobs / self.model.slots), 4)
        return round(size, 4) if weights == "nominal" else 1.0

    def entry(self, weights: str) -> Raw:
        """Its entry of the endpoint list."""
        return {
            "worker": self.name,
            "rackZone": self.zone,
            "shape": self.kind,
            "bay": self.cell,
            "stageState": self.state,
            "weight": self.weight(weights),
            "onlineSinceMs": self.started_ms,
        }
