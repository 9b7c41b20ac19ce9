"""The types that cross the edge of the waiting room: its settings, events and actions.

Two clocks reach the room, both as numbers. `now_ms` is monotonic and orders everything. Hours that people
name (a start, a deadline) are Unix milliseconds; `Wall` tells how far that clock is ahead of the monotonic
one, again and again, for the wall clock may be set while jobs wait.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Condition(Enum):
    """What a job asks of the end of another."""

    DONE = "done"
    FAILED = "failed"  # ended otherwise than done: failed, terminated, refused for good, overdue
    ENDED = "ended"  # whichever way

    def is_met(self, done: bool) -> bool:
        """Whether it holds once the other job has ended, done or not."""
        return self is Condition.ENDED or (self is Condition.DONE) == done


class EndCause(Enum):
    """Why a job ends in the room, without having been let out of it."""

    DEPENDENCY = "dependency"  # what it waits for has ended so that its condition can't hold any more
    OVERDUE = "overdue"  # its deadline has come
    TOO_LATE = "too late"  # refused, and its deadline comes before the time to try again
    TERMINATED = "terminated"


class JobStage(IntEnum):
    """How far a job has got."""

    BLOCKED = 0  # it waits for jobs, for its hour or for a hold to be lifted
    READY = 1  # nothing holds it but its turn
    RELEASED = 2  # in the engine; no byte has gone to a server
    SENT = 3  # a dispatch's first byte goes: it may run
    ENDED = 4


class SubmissionError(Exception):
    """A submission that the room can't take. `job` is the job that it is about, `full` says to come later."""

    def __init__(self, message: str, job: str = "", queue_full: bool = False) -> None:
        super().__init__(message)
        self.job, self.queue_full = job, queue_full


@dataclass(frozen=True, slots=True)
class JobQueueSettings:
    """What an operator's file says of waiting.

    `lanes` is the number of job classes: each has a lane of its own, lest a class whose servers are all away
    keeps the others back.
    """

    class_count: int
    lookahead: int = 16  # released jobs of a lane that no server has been sent yet, aged and other each
    aged_share: float = 0.5  # the part of its wanted time after which a ready job is aged
    max_jobs: int = 100_000
    max_dependencies: int = 500  # conditions of one job; a group is one
    max_steps_per_event: int = 100  # jobs that one event moves at most; the rest follows at the next tick

    def __post_init__(self) -> None:
        if (
            self.class_count < 1
            or self.lookahead < 1
            or self.max_jobs < 1
            or self.max_dependencies < 0
            or self.max_steps_per_event < 1
        ):
            raise ValueError(f"{self} has a figure out of range")
        if not 0 <= self.aged_share <= 1:
            raise ValueError(f"ripe must be from 0 to 1, not {self.aged_share!r}")


@dataclass(frozen=True, slots=True)
class Dependency:
    """A condition on another job or group; `done` tells how that one ended, where it had ended before."""

    job: str
    condition: Condition = Condition.DONE
    done: bool | None = None


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as it comes to the room.

    `age_ms` is how long it had been ready before a restart, `sent` that it may have run before that one.
    A direct job asks for no waiting: it goes on at once, and its refusal is final.
    """

    job: str
    job_class: int
    latency_objective_ms: float
    dependencies: tuple[Dependency, ...] = ()
    any_of: bool = False  # one condition is enough
    start_unix_ms: float | None = None
    deadline_unix_ms: float | None = None
    held: bool = False
    direct: bool = False
    batch: str | None = None
    age_ms: float | None = None
    sent: bool = False


@dataclass(frozen=True, slots=True)
class JobsSubmitted:
    """Jobs come in, all or none. With an `intake` none goes on before that one is `Opened`."""

    jobs: tuple[JobSpec, ...]
    unrecorded_batch: str | None = None
    restored: bool = False  # taken whatever the limits say: they were acknowledged


@dataclass(frozen=True, slots=True)
class BatchRecorded:
    """All jobs of an intake are recorded: they wait like others from now on."""

    batch: str


@dataclass(frozen=True, slots=True)
class BatchDiscarded:
    """An intake came to nothing: its jobs were never acknowledged."""

    batch: str


@dataclass(frozen=True, slots=True)
class BatchAdded:
    """Jobs come that belong together, with this name as their intake; others may wait for the end of all.

    At most so many of them are out of the room at a time. `failed`: one has ended before, and not as done.
    """

    batch: str
    max_parallel: int | None = None
    failed: bool = False


@dataclass(frozen=True, slots=True)
class HoldChanged:
    """A hold is put on a job that no server has been sent, or lifted."""

    job: str
    held: bool


@dataclass(frozen=True, slots=True)
class JobSent:
    """A released job's first byte goes to a server."""

    job: str


@dataclass(frozen=True, slots=True)
class JobReturned:
    """A released job comes back: it was refused or withdrawn and has not run."""

    job: str
    pause_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has its final state, by other ways than the room's own `End`."""

    job: str
    done: bool


@dataclass(frozen=True, slots=True)
class TerminationRequested:
    """A job that is not out of the room is not wanted any more."""

    job: str


@dataclass(frozen=True, slots=True)
class ClassAvailabilityChanged:
    """Whether a class has a server that takes work."""

    job_class: int
    available: bool


@dataclass(frozen=True, slots=True)
class WallClockOffset:
    """Unix time is the monotonic time and so much, in milliseconds."""

    offset_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that a `Wake` asked for has come."""


Event = (
    JobsSubmitted
    | BatchRecorded
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
    """Let a job into the engine; an aged one goes before all that are not."""

    job: str
    aged: bool


@dataclass(frozen=True, slots=True)
class WithdrawJob:
    """Take a released job back if no server has been sent it: then `Returned` follows, else nothing."""

    job: str


@dataclass(frozen=True, slots=True)
class EndJob:
    """A job ends as not run. `of` is the job whose end did it, `root` the one that began the chain."""

    job: str
    cause: EndCause
    dependency: str = ""
    root_job: str = ""


@dataclass(frozen=True, slots=True)
class RecordReadyTime:
    """Nothing holds a job any more but its turn; its age counts from now, after a restart too."""

    job: str


@dataclass(frozen=True, slots=True)
class ScheduleTick:
    """Feed a `Tick` at or after a time of the monotonic clock."""

    at_ms: float


Action = ReleaseJob | WithdrawJob | EndJob | RecordReadyTime | ScheduleTick


@dataclass(frozen=True, slots=True)
class WaitStatus:
    """Why a job waits: what a console shows. Times are milliseconds, Unix ones where they say so."""

    stage: JobStage
    held: bool = False
    waiting_for: tuple[str, ...] = ()  # those that have not ended, the first few
    more_waiting_for: int = 0  # beyond those
    any_of: bool = False
    start_unix_ms: float | None = None
    deadline_unix_ms: float | None = None
    age_ms: float = 0.0  # since it became ready
    latency_objective_ms: float = 0.0
    jobs_ahead: int | None = None  # ready jobs of its lane that are to go before it
    batch_full: bool = False
    class_unavailable: bool = False
    retry_in_ms: float = 0.0  # until it is tried again
    send_rate_per_s: float = 0.0  # at which its lane's jobs have gone lately
