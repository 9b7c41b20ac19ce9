"""What is kept of a job, and what the fronts and the job service hand each other."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Protocol

from grebestack.job_queue.interface import Condition
from grebestack.routing.requests import Payload

NO_DEADLINE = float("inf")


class JobState(StrEnum):
    """The states of DRMAA2 that a job here can be in."""

    UNDETERMINED = "UNDETERMINED"  # sent before a restart: it may have run, and nothing has been heard since
    QUEUED = "QUEUED"
    QUEUED_HELD = "QUEUED_HELD"
    RUNNING = "RUNNING"
    REQUEUED = "REQUEUED"  # a server was sent it and it has not run
    REQUEUED_HELD = "REQUEUED_HELD"
    DONE = "DONE"
    FAILED = "FAILED"

    @property
    def terminated(self) -> bool:
        """Whether it is final."""
        return self in (JobState.DONE, JobState.FAILED)

    @property
    def held(self) -> bool:
        """Whether a hold is on it."""
        return self in (JobState.QUEUED_HELD, JobState.REQUEUED_HELD)


@dataclass(frozen=True, slots=True)
class Job:
    """A job as it is recorded; times are Unix seconds."""

    id: str
    submission: str  # the client's key: the same key is the same job
    template: str  # as it came, in a canonical form
    category: str
    state: JobState
    submitted: float
    deadline: float  # NO_DEADLINE: none
    finished: float | None = None
    result: bytes | None = None
    annotation: str = ""
    retry_after: float | None = None  # refused: when to come back, in seconds
    direct: bool = True  # it asks for no waiting: refused is refused
    start: float | None = None
    wanted: float = 0.0  # seconds from when nothing holds it but its turn, priority counted in
    any_of: bool = False  # one condition is enough
    ready: float | None = None  # since when its age counts
    batch: str | None = None  # what it was submitted with
    number: int | None = None  # its place there
    label: str = ""  # its name there


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """A recorded dispatch."""

    worker: str
    sent_s: float
    outcome: str | None
    never_ran: bool


@dataclass(frozen=True, slots=True)
class Batch:
    """Jobs that were submitted together, all or none. At most `most` are out of the room at a time."""

    id: str
    submission: str
    template: str
    submitted: float
    is_array: bool
    max_parallel: int | None = None
    complete: bool = False
    removed_failures: int = 0  # of its jobs that are forgotten


@dataclass(frozen=True, slots=True)
class JobRequest:
    """What the engine is asked to do for a job."""

    job_class: int
    payload: Payload
    slots: float = 1.0
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class NewJob:
    """A job as a front hands it in; times are Unix seconds, `wanted` seconds.

    `after` names jobs, batches or, within one submission, labels.
    """

    template: str
    category: str
    job_class: int
    may_wait: bool = False  # it may wait: refused, it is put back
    start: float | None = None
    deadline: float | None = None
    latency_objective_s: float | None = None
    priority: float = 0.0
    held: bool = False
    dependencies: tuple[tuple[str, Condition], ...] = ()
    any_of: bool = False
    label: str = ""


class RequestBuilder(Protocol):
    """A front's way from a recorded template to what a server is sent."""

    def build_request(self, job: Job) -> JobRequest:
        """What to do; JobError if the template can't be used any more."""


class JobErrorKind(Enum):
    """What is wrong with a call."""

    INVALID = "invalid"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    STATE = "state"
    LATER = "later"
    RESOURCE = "resource"


class JobError(Exception):
    """A call that the job service turns down; nothing has changed."""

    def __init__(self, kind: JobErrorKind, message: str, retry_after_ms: float | None = None) -> None:
        super().__init__(message)
        self.kind, self.retry_after_ms = kind, retry_after_ms


@dataclass(frozen=True, slots=True)
class JobLimits:
    """What an operator's file says of jobs; times are in seconds.

    `wanted` is by class: how long a job may wait once nothing holds it but its turn.
    """

    latency_objectives_s: tuple[float, ...]
    max_direct: int = 1000  # jobs that ask for no waiting
    max_queued: int = 100_000
    max_dependencies: int = 500
    max_batch_size: int = 100_000
    lookahead: int = 16
    aged_share: float = 0.5
