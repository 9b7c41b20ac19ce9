"""The public types of the job queue: its settings, events and actions.

The queue gets two clocks, both as numbers. `now_ms` is monotonic and orders everything. Start times and
deadlines of jobs are Unix milliseconds. `WallClockOffset` says how far Unix time is ahead of the monotonic
clock. It is repeated, because the wall clock may be set while jobs wait.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Condition(Enum):
    """How a dependency must end for the dependent job to run."""

    DONE = "done"
    FAILED = "failed"  # ended in any other way: failed, terminated, finally refused or overdue
    ENDED = "ended"  # ended in any way

    def is_met(self, done: bool) -> bool:
        """Whether the condition is met by a dependency that ended, successfully (`done`) or not."""
        return self is Condition.ENDED or (self is Condition.DONE) == done


class EndCause(Enum):
    """Why the queue itself ended a job."""

    DEPENDENCY = "dependency"  # a dependency ended in such a way that the condition can't be met any more
    OVERDUE = "overdue"  # its deadline has passed
    TOO_LATE = "too late"  # refused, and its deadline is before the time of the next try
    TERMINATED = "terminated"


class JobStage(IntEnum):
    """The stage of a job in the queue."""

    BLOCKED = 0  # it waits for dependencies, its start time, the end of a hold, or its batch's recording
    READY = 1  # it waits only for its turn
    RELEASED = 2  # in the engine; no byte has been sent to a worker
    SENT = 3  # the first byte of an attempt is being sent: it may run
    ENDED = 4


class SubmissionError(Exception):
    """The queue rejects a submission; nothing of it is queued.

    `job` is the job at fault. `queue_full` means that the submission may be repeated later.
    """

    def __init__(self, message: str, job: str = "", queue_full: bool = False) -> None:
        super().__init__(message)
        self.job, self.queue_full = job, queue_full


@dataclass(frozen=True, slots=True)
class JobQueueSettings:
    """The queue's settings.

    `class_count` is the number of job classes. Each has a queue of its own, so that a class without an
    available worker does not hold up the others.
    """

    class_count: int
    lookahead: int = 16  # most unsent released jobs of a class; aged and other jobs are counted apart
    aged_share: float = 0.5  # share of its latency objective after which a ready job counts as aged
    max_jobs: int = 100_000
    max_dependencies: int = 500  # of one job; a batch counts as one
    max_steps_per_event: int = 100  # the remaining steps follow at the next tick

    def __post_init__(self) -> None:
        if (
            self.class_count < 1
            or self.lookahead < 1
            or self.max_jobs < 1
            or self.max_dependencies < 0
            or self.max_steps_per_event < 1
        ):
            raise ValueError(f"a value is out of range in {self}")
        if not 0 <= self.aged_share <= 1:
            raise ValueError(f"aged_share must be from 0 to 1, not {self.aged_share!r}")


@dataclass(frozen=True, slots=True)
class Dependency:
    """A condition on the end of another job or batch.

    `done` is None unless that one ended before the submission; then it says whether it was successful.
    """

    job: str
    condition: Condition = Condition.DONE
    done: bool | None = None


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it is submitted to the queue.

    After a restart, `age_ms` is how long the job had been ready before and `sent` whether it may have run.
    A `direct` job asks for no queueing: it is released as soon as nothing blocks it, and a refusal ends it.
    """

    job: str
    job_class: int
    latency_objective_ms: float
    dependencies: tuple[Dependency, ...] = ()
    any_of: bool = False  # one met dependency is enough
    start_unix_ms: float | None = None
    deadline_unix_ms: float | None = None
    held: bool = False
    direct: bool = False
    batch: str | None = None
    age_ms: float | None = None
    sent: bool = False


@dataclass(frozen=True, slots=True)
class JobsSubmitted:
    """Jobs are submitted, all or none.

    With an `unrecorded_batch`, none of them becomes ready before `BatchRecorded` for that batch.
    """

    jobs: tuple[JobSpec, ...]
    unrecorded_batch: str | None = None
    restored: bool = False  # the limits don't apply: these jobs were acknowledged before a restart


@dataclass(frozen=True, slots=True)
class BatchRecorded:
    """All jobs of a batch are recorded: from now on they wait as other jobs do."""

    batch: str


@dataclass(frozen=True, slots=True)
class BatchStopped:
    """No further job of a batch is let in: each is being terminated."""

    batch: str


@dataclass(frozen=True, slots=True)
class BatchDiscarded:
    """A batch could not be recorded completely: its jobs were never acknowledged."""

    batch: str


@dataclass(frozen=True, slots=True)
class BatchAdded:
    """Announces a batch, whose jobs follow; other jobs may depend on the end of the whole batch.

    At most `max_parallel` of its jobs are released or sent at a time. After a restart, `failed` says that one
    of its jobs ended unsuccessfully before.
    """

    batch: str
    max_parallel: int | None = None
    failed: bool = False


@dataclass(frozen=True, slots=True)
class HoldChanged:
    """A job that is not sent yet is held, or its hold is lifted."""

    job: str
    held: bool


@dataclass(frozen=True, slots=True)
class JobSent:
    """The first byte of a released job is being sent to a worker."""

    job: str


@dataclass(frozen=True, slots=True)
class JobReturned:
    """A released job comes back to the queue: it was refused or withdrawn and has not run.

    `pause_ms` is the advised time until the next try.
    """

    job: str
    pause_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has reached its final state otherwise than by an `EndJob` of the queue."""

    job: str
    done: bool


@dataclass(frozen=True, slots=True)
class TerminationRequested:
    """A client asks to terminate a job that is neither released nor sent."""

    job: str


@dataclass(frozen=True, slots=True)
class ClassAvailabilityChanged:
    """Whether a worker is available for a job class has changed."""

    job_class: int
    available: bool


@dataclass(frozen=True, slots=True)
class WallClockOffset:
    """Unix time minus monotonic time, in milliseconds."""

    offset_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """The time of a `ScheduleTick` has been reached."""


Event = (
    JobsSubmitted
    | BatchRecorded
    | BatchStopped
    | BatchDiscarded
    | BatchAdded
    | HoldChanged
    | JobSent
    | JobReturned
    | JobEnded
    | TerminationRequested
    | ClassAvailabilityChanged
    | WallClockOffset
    | Tick
)


@dataclass(frozen=True, slots=True)
class ReleaseJob:
    """Pass a job to the engine; an aged one goes before all that are not."""

    job: str
    aged: bool


@dataclass(frozen=True, slots=True)
class WithdrawJob:
    """Take a released job back from the engine if it is not sent yet; only then `JobReturned` follows."""

    job: str


@dataclass(frozen=True, slots=True)
class EndJob:
    """End a job that has not run.

    With `EndCause.DEPENDENCY`, `dependency` is the job or batch whose end caused it, and `root_job` the first
    job of the chain of dependencies that ended.
    """

    job: str
    cause: EndCause
    dependency: str = ""
    root_job: str = ""


@dataclass(frozen=True, slots=True)
class RecordReadyTime:
    """Record that a job became ready now: its age counts from this time, also after a restart."""

    job: str


@dataclass(frozen=True, slots=True)
class ScheduleTick:
    """Send a `Tick` event at or after `at_ms` of the monotonic clock."""

    at_ms: float


Action = ReleaseJob | WithdrawJob | EndJob | RecordReadyTime | ScheduleTick


@dataclass(frozen=True, slots=True)
class WaitStatus:
    """Why a job waits, as a console shows it. Times are milliseconds; `_unix_ms` marks Unix time."""

    stage: JobStage
    held: bool = False
    waiting_for: tuple[str, ...] = ()  # unfinished dependencies, the first few
    more_waiting_for: int = 0  # number of further unfinished dependencies
    any_of: bool = False
    start_unix_ms: float | None = None
    deadline_unix_ms: float | None = None
    age_ms: float = 0.0  # since it became ready
    latency_objective_ms: float = 0.0
    jobs_ahead: int | None = None  # ready jobs of its class before it; None if it is not ready
    batch_full: bool = False
    class_unavailable: bool = False
    retry_in_ms: float = 0.0  # until it is tried again after a refusal
    send_rate_per_s: float = 0.0  # recent rate at which jobs of its class were sent
