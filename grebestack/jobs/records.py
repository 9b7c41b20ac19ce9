"""The records of jobs and batches, and the types that API servers and the job service exchange."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Protocol

from grebestack.core.api import Outcome
from grebestack.job_queue.interface import Condition
from grebestack.routing.requests import Payload

NO_DEADLINE = float("inf")


class JobState(StrEnum):
    """The DRMAA2 job states that are used here."""

    UNDETERMINED = "UNDETERMINED"  # sent before a restart: it may have run, its outcome is not known yet
    QUEUED = "QUEUED"
    QUEUED_HELD = "QUEUED_HELD"
    RUNNING = "RUNNING"
    REQUEUED = "REQUEUED"  # it was sent to a worker and has not run
    REQUEUED_HELD = "REQUEUED_HELD"
    DONE = "DONE"
    FAILED = "FAILED"

    @property
    def terminated(self) -> bool:
        """Whether the state is final."""
        return self in (JobState.DONE, JobState.FAILED)

    @property
    def held(self) -> bool:
        """Whether the job is held."""
        return self in (JobState.QUEUED_HELD, JobState.REQUEUED_HELD)


HELD_STATES = {JobState.QUEUED: JobState.QUEUED_HELD, JobState.REQUEUED: JobState.REQUEUED_HELD}
RELEASED_STATES = {held: queued for queued, held in HELD_STATES.items()}
STORE_RETRY_MS = 1000.0  # until a failed write to the store is tried again


@dataclass(frozen=True, slots=True)
class Job:
    """A job as it is stored; times are Unix seconds."""

    id: str
    submission: str  # the client's key: the same key is the same job
    template: str  # the client's job template in canonical form
    category: str
    state: JobState
    submitted: float
    deadline: float  # NO_DEADLINE if it has none
    finished: float | None = None
    result: bytes | None = None
    annotation: str = ""
    retry_after: float | None = None  # for a refused job: seconds after which it may be submitted again
    direct: bool = True  # it asks for no queueing: a refusal ends it
    start: float | None = None
    wanted: float = 0.0  # latency objective in seconds from `ready`, scaled by the priority
    any_of: bool = False  # one met dependency is enough
    ready: float | None = None  # when it became ready: its age counts from then
    batch: str | None = None  # the batch that it belongs to
    number: int | None = None  # its index in the batch
    label: str = ""  # its name in the batch


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """A recorded attempt."""

    worker: str
    sent_s: float
    outcome: str | None
    never_ran: bool


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How a recorded attempt ended, and until when its worker may repeat the report of that."""

    row: int
    outcome: Outcome
    reports_until_s: float | None = None


@dataclass(frozen=True, slots=True)
class Batch:
    """Jobs that were submitted together, all or none.

    At most `max_parallel` of them are released or sent at a time; None: no limit.
    """

    id: str
    submission: str
    template: str
    submitted: float
    is_array: bool
    max_parallel: int | None = None
    complete: bool = False
    removed_failures: int = 0  # failed jobs whose records are removed


@dataclass(frozen=True, slots=True)
class JobRequest:
    """The request to the engine that runs a job."""

    job_class: int
    payload: Payload
    slots: float = 1.0
    memory: float = 0.0


@dataclass(frozen=True, slots=True)
class NewJob:
    """A job as an API server submits it; times are Unix seconds.

    `dependencies` names jobs, batches or, within one submission, labels.
    """

    template: str
    category: str
    job_class: int
    may_wait: bool = False  # after a refusal it goes back to the job queue
    start: float | None = None
    deadline: float | None = None
    latency_objective_s: float | None = None
    priority: float = 0.0
    held: bool = False
    dependencies: tuple[tuple[str, Condition], ...] = ()
    any_of: bool = False
    label: str = ""


class RequestBuilder(Protocol):
    """Builds the requests of stored jobs; implemented by the API server, which knows the template format."""

    def build_request(self, job: Job) -> JobRequest:
        """Return the request of a job; raises JobError if the template can't be used any more."""


class JobErrorKind(Enum):
    """Why a call is rejected."""

    INVALID = "invalid"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    STATE = "state"
    LATER = "later"
    RESOURCE = "resource"


class JobError(Exception):
    """The job service rejects a call; nothing has changed."""

    def __init__(self, kind: JobErrorKind, message: str, retry_after_ms: float | None = None) -> None:
        super().__init__(message)
        self.kind, self.retry_after_ms = kind, retry_after_ms


@dataclass(frozen=True, slots=True)
class JobLimits:
    """Limits from the operator's file.

    `latency_objectives_s` gives for each class how long a job should wait at most once it is ready.
    """

    latency_objectives_s: tuple[float, ...]
    max_direct: int = 1000  # open direct jobs
    max_queued: int = 100_000
    max_dependencies: int = 500
    max_batch_size: int = 100_000
    lookahead: int = 16
    aged_share: float = 0.5
