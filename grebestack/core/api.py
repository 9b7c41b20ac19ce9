"""The types that cross the edge of the decision module: settings, the APP script, events and actions.

All times are milliseconds on one monotonic clock that the embedding dispatcher owns. A request is what a
client asked for; an attempt is one sending of it to a worker, numbered 0, 1, 2 ... in the order of the
`Send` actions of that request.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a request does: nothing (safe), nothing inside a group (keyed), harm (unsafe)."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class Group(Enum):
    """The workers that drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WorkerState(Enum):
    """What discovery says of a worker."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a discovery message carries."""

    CACHED = "cached"  # the whole list as it lay on disk, perhaps outdated
    FULL = "full"  # the whole list
    CHANGES = "changes"  # changed entries only
    FAILED = "failed"  # a call failed or the subscription broke; the list held stays in force


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"  # the worker answered with an error; it may have run
    REJECTED = "rejected"  # turned away unseen
    TIMEOUT = "timeout"  # no answer in time; it may have run, or may still run
    CONNECT_FAILED = "connect_failed"  # never reached the worker
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # called off; it may have run
    NOT_SENT = "moot"  # never sent

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the attempt was never executed."""
        return self is Outcome.REJECTED or self is Outcome.CONNECT_FAILED or self is Outcome.NOT_SENT


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of requests (the tag of an APP script)."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    effect: Effect
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    objective_stretch: float = 0.0  # the aim grows by this many times the job's own running time
    group: Group = Group.ALL
    retry_window_ms: float = 0.0
    kind: int = -1  # the kind of worker it needs; -1: any
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer and the requests per second, over all dispatchers, that lie within its share."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Block:
    """A worker block: which workers, how one is picked, and what makes one invalid.

    `workers` names worker ids or is ("*",); `place` narrows it to the dispatcher's own zone or to the others.
    `threshold` is a share (0 to 1) for capacity_used and a number of slots for max_concurrent_invocations;
    without one the learned private ceiling stands in its place.
    """

    workers: tuple[str, ...] = ("*",)
    strategy: str = "best_first"  # or "random", "platform"
    invalidate: str = "max_concurrent_invocations"  # or "capacity_used", "overload"
    threshold: float | None = None
    place: str = "any"  # or "own", "other"

    def __post_init__(self) -> None:
        if not self.workers:
            raise ValueError("a block names no workers")
        if self.strategy not in ("best_first", "random", "platform"):
            raise ValueError(f"a block has the unknown strategy {self.strategy!r}")
        if self.invalidate not in ("max_concurrent_invocations", "capacity_used", "overload"):
            raise ValueError(f"a block has the unknown invalidate rule {self.invalidate!r}")
        if self.place not in ("any", "own", "other"):
            raise ValueError(f"a block has the unknown place {self.place!r}")
        top = 1.0 if self.invalidate == "capacity_used" else float("inf")
        if self.threshold is not None and not 0 < self.threshold <= top:
            raise ValueError(f"a block's {self.invalidate} has the threshold {self.threshold!r} out of range")

    @property
    def open(self) -> bool:
        """Best first over all workers of a place: in which order is for the module to say."""
        return self.strategy == "best_first" and self.workers == ("*",)

    def holds(self, worker: str, own_zone: bool) -> bool:
        """Whether a worker, in the dispatcher's own zone or another, belongs to the block."""
        named = self.workers == ("*",) or worker in self.workers
        return named and (self.place == "any" or own_zone == (self.place == "own"))


@dataclass(frozen=True, slots=True)
class Tag:
    """The policy of one job class, or the default tag."""

    blocks: tuple[Block, ...]
    followup: str = "default"  # or "fail"

    def __post_init__(self) -> None:
        if not self.blocks:
            raise ValueError("a tag has no blocks")
        if self.followup not in ("default", "fail"):
            raise ValueError(f"a tag has the unknown followup {self.followup!r}")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a dispatcher is told at its start, and anew while it runs.

    Requests name their class by its place in `classes`; a later value only adds places.
    """

    classes: tuple[JobClass, ...]
    dispatcher: int = 0
    dispatcher_count: int = 1  # dispatchers in all, this one included
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight_factor: float = 1.0
    polls_endpoint_list: bool = False  # the worker list comes only when asked for
    poll_deadline_ms: float = 10_000.0
    drain_grace_ms: float = 0.0
    answer_grace_ms: float = 0.0
    slow_start_initial_share: float = 1.0  # the share of its capacity that a worker starts with
    slow_start_ms: float = 0.0
    overload_factor: float = 1.0
    overload_window_ms: float = 1000.0
    max_attempts: int = 1
    hedging_enabled: bool = False
    cancel: bool = False
    probing: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0
    reports_attempt_start: bool = False
    progress_ms: float = 0.0
    cross_zone_cost: float = 0.0
    late_failure_cost: float = 0.0
    weight_by_work: bool = False
    weights_follow_load: bool = False  # the list's weights fall the more requests a worker holds
    report_fields: frozenset[str] = frozenset()  # active, waiting, cpu, run_ms, free_slots ...
    tick_ms: float = 1.0
    retired: frozenset[int] = frozenset()  # classes that only requests of before still have
    script: Mapping[str, Tag] | None = None  # by class name, and "default"; None: the built-in one

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("the settings name no class")
        if self.dispatcher_count < 1 or self.dispatcher < 0:
            raise ValueError(f"dispatcher {self.dispatcher} of {self.dispatcher_count} is out of range")
        if not 0 < self.slow_start_initial_share <= 1 or self.overload_factor <= 0:
            share, factor = self.slow_start_initial_share, self.overload_factor
            raise ValueError(f"cold_from {share}, fall_multiple {factor}: out of range")
        names = [job_class.name for job_class in self.classes]
        for name, tag in (self.script or {}).items():
            if name not in (*names, "default"):
                raise ValueError(f"tag {name!r} names no class")
            if tag.followup == "default" and (name == "default" or "default" not in (self.script or {})):
                raise ValueError(f"tag {name!r} ends in default, which leads nowhere")
        if self.script is not None and "default" not in self.script:
            for name in names:
                if name not in self.script:
                    raise ValueError(f"class {name!r} has neither a tag nor a default tag")


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """One line of the worker list."""

    worker: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: WorkerState = WorkerState.READY
    weight: float = 1.0
    started_ms: float | None = None  # its latest start; None: long ago
    put_back: bool = False  # the operators have just put it back to use


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """Discovery reports the workers, or that a call to it failed."""

    kind: ListKind
    workers: tuple[WorkerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """From now on other settings hold; every class of the former ones keeps its place and its meaning."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; it is owed one final answer by `deadline_ms`."""

    request: int
    job_class: int
    deadline_ms: float
    slots: float = 1.0
    memory: float = 0.0
    tenant: int = 0
    key: int | None = None
    cost_ms: float | None = None
    retry: bool = False
    aged: bool = False  # it has waited for so long that it goes before all held requests that have not


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The worker says that the job has begun to run."""

    request: int
    attempt: int
    worker: str


@dataclass(frozen=True, slots=True)
class AttemptProgress:
    """The worker says how much of the job is done."""

    request: int
    attempt: int
    worker: str
    done: float


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer of a streamed class began to flow; from here the attempt belongs to the client."""

    request: int
    attempt: int
    worker: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over; `closed` says that the request is over too."""

    request: int
    attempt: int
    worker: str
    outcome: Outcome
    elapsed_ms: float
    closed: bool
    report: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RequestDropped:
    """The client left; nothing more is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer asked for by `SetTimer` is due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """What one `Probe` found."""

    worker: str
    outcome: Outcome
    elapsed_ms: float
    report: Mapping[str, float] = field(default_factory=dict)


Event = (
    WorkersListed
    | SettingsChanged
    | RequestArrived
    | AttemptStarted
    | AttemptProgress
    | StreamStarted
    | AttemptEnded
    | RequestDropped
    | TimerFired
    | ProbeEnded
)


@dataclass(frozen=True, slots=True)
class Send:
    """Start the next attempt of a request; without a time-out it runs until the client gives up.

    Its first byte goes by `by_ms` or never: a connection to the worker may come up late.
    """

    request: int
    worker: str
    timeout_ms: float | None = None
    by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt, at once or when its worker says that it gives it up."""

    request: int
    attempt: int
    at_once: bool = True


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; nothing is promised about its effect."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` at or after a time; timers can't be taken back."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Ask discovery for the changes from now on."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask discovery for the whole list once."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a worker for its load report."""

    worker: str


Action = Send | Cancel | Reject | Fail | SetTimer | WatchList | FetchList | Probe
