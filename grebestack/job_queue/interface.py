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

    def holds(self, done: bool) -> bool:
        """Whether it holds once the other job has ended, done or not."""
        return self is Condition.ENDED or (self is Condition.DONE) == done


class Cause(Enum):
    """Why a job ends in the room, without having been let out of it."""

    DEPENDENCY = "dependency"  # what it waits for has ended so that its condition can't hold any more
    OVERDUE = "overdue"  # its deadline has come
    TOO_LATE = "too late"  # refused, and its deadline comes before the time to try again
    TERMINATED = "terminated"


class Stage(IntEnum):
    """How far a job has got."""

    BLOCKED = 0  # it waits for jobs, for its hour or for a hold to be lifted
    READY = 1  # nothing holds it but its turn
    RELEASED = 2  # in the engine; no byte has gone to a server
    SENT = 3  # a dispatch's first byte goes: it may run
    ENDED = 4


class RoomError(Exception):
    """A submission that the room can't take. `job` is the job that it is about, `full` says to come later."""

    def __init__(self, message: str, job: str = "", full: bool = False) -> None:
        super().__init__(message)
        self.job, self.full = job, full


@dataclass(frozen=True, slots=True)
class RoomSettings:
    """What an operator's file says of waiting.

    `lanes` is the number of job classes: each has a lane of its own, lest a class whose servers are all away
    keeps the others back.
    """

    lanes: int
    ahead: int = 16  # released jobs of a lane that no server has been sent yet, aged and other each
    ripe: float = 0.5  # the part of its wanted time after which a ready job is aged
    most_jobs: int = 100_000
    most_edges: int = 500  # conditions of one job; a group is one
    steps: int = 100  # jobs that one event moves at most; the rest follows at the next tick

    def __post_init__(self) -> None:
        if self.lanes < 1 or self.ahead < 1 or self.most_jobs < 1 or self.most_edges < 0 or self.steps < 1:
            raise ValueError(f"{self} has a figure out of range")
        if not 0 <= self.ripe <= 1:
            raise ValueError(f"ripe must be from 0 to 1, not {self.ripe!r}")


@dataclass(frozen=True, slots=True)
class Edge:
    """A condition on another job or group; `done` tells how that one ended, where it had ended before."""

    job: str
    condition: Condition = Condition.DONE
    done: bool | None = None


@dataclass(frozen=True, slots=True)
class Spec:
    """A job as it comes to the room.

    `age_ms` is how long it had been ready before a restart, `sent` that it may have run before that one.
    A direct job asks for no waiting: it goes on at once, and its refusal is final.
    """

    job: str
    lane: int
    wanted_ms: float
    edges: tuple[Edge, ...] = ()
    any_of: bool = False  # one condition is enough
    start_unix_ms: float | None = None
    deadline_unix_ms: float | None = None
    held: bool = False
    direct: bool = False
    group: str | None = None
    age_ms: float | None = None
    sent: bool = False


@dataclass(frozen=True, slots=True)
class Submitted:
    """Jobs come in, all or none. With an `intake` none goes on before that one is `Opened`."""

    jobs: tuple[Spec, ...]
    intake: str | None = None
    restored: bool = False  # taken whatever the limits say: they were acknowledged


@dataclass(frozen=True, slots=True)
class Opened:
    """All jobs of an intake are recorded: they wait like others from now on."""

    intake: str


@dataclass(frozen=True, slots=True)
class Dropped:
    """An intake came to nothing: its jobs were never acknowledged."""

    intake: str


@dataclass(frozen=True, slots=True)
class Grouped:
    """Jobs come that belong together, with this name as their intake; others may wait for the end of all.

    At most so many of them are out of the room at a time. `failed`: one has ended before, and not as done.
    """

    group: str
    most: int | None = None
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Held:
    """A hold is put on a job that no server has been sent, or lifted."""

    job: str
    on: bool


@dataclass(frozen=True, slots=True)
class Sent:
    """A released job's first byte goes to a server."""

    job: str


@dataclass(frozen=True, slots=True)
class Returned:
    """A released job comes back: it was refused or withdrawn and has not run."""

    job: str
    pause_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has its final state, by other ways than the room's own `End`."""

    job: str
    done: bool


@dataclass(frozen=True, slots=True)
class Terminated:
    """A job that is not out of the room is not wanted any more."""

    job: str


@dataclass(frozen=True, slots=True)
class Lane:
    """Whether a class has a server that takes work."""

    lane: int
    open: bool


@dataclass(frozen=True, slots=True)
class Wall:
    """Unix time is the monotonic time and so much, in milliseconds."""

    offset_ms: float


@dataclass(frozen=True, slots=True)
class Tick:
    """The time that a `Wake` asked for has come."""


Event = (
    Submitted
    | Opened
    | Dropped
    | Grouped
    | Held
    | Sent
    | Returned
    | JobEnded
    | Terminated
    | Lane
    | Wall
    | Tick
)


@dataclass(frozen=True, slots=True)
class Release:
    """Let a job into the engine; an aged one goes before all that are not."""

    job: str
    aged: bool


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Take a released job back if no server has been sent it: then `Returned` follows, else nothing."""

    job: str


@dataclass(frozen=True, slots=True)
class End:
    """A job ends as not run. `of` is the job whose end did it, `root` the one that began the chain."""

    job: str
    cause: Cause
    of: str = ""
    root: str = ""


@dataclass(frozen=True, slots=True)
class BecameReady:
    """Nothing holds a job any more but its turn; its age counts from now, after a restart too."""

    job: str


@dataclass(frozen=True, slots=True)
class Wake:
    """Feed a `Tick` at or after a time of the monotonic clock."""

    at_ms: float


Action = Release | Withdraw | End | BecameReady | Wake


@dataclass(frozen=True, slots=True)
class Why:
    """Why a job waits: what a console shows. Times are milliseconds, Unix ones where they say so."""

    stage: Stage
    held: bool = False
    jobs: tuple[str, ...] = ()  # those that have not ended, the first few
    more_jobs: int = 0  # beyond those
    any_of: bool = False
    start_unix_ms: float | None = None
    deadline_unix_ms: float | None = None
    age_ms: float = 0.0  # since it became ready
    wanted_ms: float = 0.0
    place: int | None = None  # ready jobs of its lane that are to go before it
    group_full: bool = False
    lane_closed: bool = False
    paused_ms: float = 0.0  # until it is tried again
    rate_per_s: float = 0.0  # at which its lane's jobs have gone lately
