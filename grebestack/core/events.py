"""The events that a policy handles, each with its contract.

Times are milliseconds on one monotonic clock that the embedding dispatcher owns, which also numbers the
requests. An attempt is one sending of a request to a worker. The attempts of a request are numbered 0, 1,
2 ... in the order of its `Send` actions.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from grebestack.core.settings import Settings


class WorkerState(Enum):
    """The state of a worker in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a `WorkersListed` event carries."""

    CACHED = "cached"  # the whole list from disk, possibly stale
    FULL = "full"  # the whole list
    CHANGES = "changes"  # changed entries only
    FAILED = "failed"  # a call or the subscription failed; the known list still applies


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # the worker answered with an error; it may have run
    REJECTED = "rejected"  # not executed
    TIMEOUT = "timeout"  # ended at the deadline; it may have run, or may still be running
    CONNECT_FAILED = "connect_failed"  # never reached the worker
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # it may have run
    NOT_SENT = "moot"  # never sent

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the attempt was never executed."""
        return self is Outcome.REJECTED or self is Outcome.CONNECT_FAILED or self is Outcome.NOT_SENT


class LaterReport(Enum):
    """What a worker may still report about an attempt that has ended.

    A report names the request and the worker but no attempt, and is repeated until it is answered: nothing
    tells a late one from that of a later attempt at the same worker.
    """

    NONE = "none"
    SAME = "same"  # the outcome that it has reported already
    ANY = "any"  # any outcome: the attempt has ended without a report


@dataclass(frozen=True, slots=True)
class PossibleRun:
    """The first attempt of a request that may have run: where, and when it was sent.

    It begins the retry window and fixes the group of workers that recognise an idempotency key. A zone or
    cell that is not known any more is None.
    """

    sent_ms: float
    zone: int | None
    cell: int | None


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One entry of the endpoint list."""

    worker: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    weight: float = 1.0
    started_ms: float | None = None  # None: long ago
    put_back: bool = False  # the operators have just reinstated it; a key in the lists of members


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The endpoint list was received, or a call for it failed."""

    kind: ListKind
    workers: tuple[WorkerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply; every class of the former ones keeps its index and its meaning."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client sent a request; exactly one final answer is due by `deadline_ms`."""

    request: int
    job_class: int
    deadline_ms: float
    slots: float = 1.0
    memory: float = 0.0
    tenant: int = 0
    cache_key: int | None = None  # data that a worker may still have; not the idempotency key
    cost_ms: float | None = None
    retry: bool = False
    aged: bool = False  # has waited so long that it is served before all others
    can_wait: bool = False  # is kept, and tried again later, if it is rejected
    # What a former process knew of it: its attempts, and the workers that may report them again, by name.
    earlier_attempts: int = 0
    avoided_workers: tuple[str, ...] = ()  # by `LaterReport.SAME`
    excluded_workers: tuple[str, ...] = ()  # by `LaterReport.ANY`
    earlier_possible_run: PossibleRun | None = None


@dataclass(frozen=True, slots=True)
class RequestAdopted:
    """A request was taken over from another process with its open attempt, which a worker has accepted."""

    arrival: RequestArrived  # its `earlier_attempts` don't count the open one
    worker: WorkerEntry  # as far as the other process told; one that is listed here counts as it is listed
    sent_ms: float


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The worker reported that the job has begun to run."""

    request: int
    attempt: int
    worker: str


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """The worker reported how much of the job is done."""

    request: int
    attempt: int
    worker: str
    done: float


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The response to a request of a streamed class began; the client receives it from now on."""

    request: int
    attempt: int
    worker: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended; `closed` means that its request has been answered too."""

    request: int
    attempt: int
    worker: str
    outcome: Outcome
    elapsed_ms: float
    closed: bool
    report: Mapping[str, float] = field(default_factory=dict)
    later_report: LaterReport = LaterReport.NONE


@dataclass(frozen=True, slots=True)
class RequestDropped:
    """No answer is due any more.

    The client disconnected or cancelled, the request was handed over, or the engine answered at the deadline.
    """

    request: int


@dataclass(frozen=True, slots=True)
class DeadlineShortened:
    """A request has an earlier deadline than at its arrival, because this dispatcher is stopping."""

    request: int
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A `Probe` ended, with the load report of its worker."""

    worker: str
    outcome: Outcome
    elapsed_ms: float
    report: Mapping[str, float] = field(default_factory=dict)


Event = (
    WorkersListed
    | SettingsChanged
    | RequestArrived
    | RequestAdopted
    | AttemptStarted
    | AttemptProgress
    | StreamStarted
    | AttemptEnded
    | RequestDropped
    | DeadlineShortened
    | TimerFired
    | ProbeEnded
)
