"""Settings, events and actions of worker membership.

Times are milliseconds on one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from grebestack.core.api import WorkerEntry

Address = tuple[str, int]


class ReportedState(IntEnum):
    """The state in which a source reports a worker, the most restrictive last."""

    READY = 0
    DRAINING = 1  # gets no new work and finishes what it has
    CRITICAL = 2  # its health checks fail: gets no new work; running work is still awaited


class WorkerStatus(IntEnum):
    """The status of a worker, merged from the reports of all sources."""

    JOINING = 0  # reported ready, but held out of use after it has flapped
    READY = 1
    SUSPECT = 2  # last reported ready, but the source is stale or no longer lists it: it still gets work
    DRAINING = 3
    CRITICAL = 4
    GONE = 5

    @property
    def takes_work(self) -> bool:
        """Whether the worker gets new work."""
        return self in (WorkerStatus.READY, WorkerStatus.SUSPECT)


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Membership settings from the operator's file."""

    max_flaps: int = 3  # a worker that stops being usable more often within the window is held
    flap_window_ms: float = 60_000.0
    base_hold_ms: float = 2000.0  # how long it is held out of use; doubled with each further flap
    max_hold_ms: float = 60_000.0
    max_removed_share: float = 0.5  # an update that removes more of a source's workers is held back
    min_workers: int = 1  # an update that leaves fewer workers is held back too
    moved_drain_ms: float = 60_000.0  # how long a moved worker's former address drains

    def __post_init__(self) -> None:
        if self.max_flaps < 1 or self.min_workers < 0 or not 0 <= self.max_removed_share <= 1:
            raise ValueError(f"a number is out of range in {self}")
        if (
            min(self.flap_window_ms, self.base_hold_ms, self.moved_drain_ms) < 0
            or self.max_hold_ms < self.base_hold_ms
        ):
            raise ValueError(f"a time is out of range in {self}")


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a source reports about one worker. The state within `entry` is ignored."""

    entry: WorkerEntry
    address: Address
    state: ReportedState = ReportedState.READY
    reason: str = ""

    @property
    def worker_id(self) -> str:
        """The id under which all sources report the worker, and which its call-backs carry."""
        return self.entry.worker


@dataclass(frozen=True, slots=True)
class SourceAdded:
    """A source is used from now on. If sources disagree on an address, the lowest rank wins.

    After `stale_ms` without a response the source is stale: its last reports are used only for workers that
    no fresh source reports.
    """

    source: str
    rank: int = 0
    stale_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class SourceRemoved:
    """A source is no longer used; its reports are dropped."""

    source: str


@dataclass(frozen=True, slots=True)
class SourceUpdated:
    """A source reports all its workers (`is_complete`), or those that changed and the ids it has `removed`.

    `is_cached`: the reports were saved before a restart and do not make the source fresh.
    """

    source: str
    reports: tuple[WorkerReport, ...]
    is_complete: bool = True
    removed: tuple[str, ...] = ()
    is_cached: bool = False


@dataclass(frozen=True, slots=True)
class SourceUnchanged:
    """A source has responded, and its reports have not changed."""

    source: str


@dataclass(frozen=True, slots=True)
class SourceFailed:
    """A source has not responded. The reason is only displayed."""

    source: str
    reason: str


@dataclass(frozen=True, slots=True)
class DrainChanged:
    """The operator starts or stops draining a worker."""

    worker_id: str
    is_drained: bool


@dataclass(frozen=True, slots=True)
class RemovalsAccepted:
    """The operator accepts the removals of a source that are held back."""

    source: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time requested by `SetTimer` has come."""


Event = (
    SourceAdded
    | SourceRemoved
    | SourceUpdated
    | SourceUnchanged
    | SourceFailed
    | DrainChanged
    | RemovalsAccepted
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class Member:
    """A row of the worker table. `name` is the id, followed by a number if the worker has moved."""

    name: str
    worker_id: str
    entry: WorkerEntry
    address: Address
    status: WorkerStatus


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Rows of the worker table that have changed."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event for the log, with its fields."""

    event: str
    fields: tuple[tuple[str, object], ...]
    is_warning: bool = False


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Feed a `TimerFired` at or after `at_ms`."""

    at_ms: float


Action = MembersChanged | LogEvent | SetTimer


@dataclass(frozen=True, slots=True)
class MemberView:
    """A worker as the console displays it."""

    name: str
    status: WorkerStatus
    reason: str
    since_ms: float
    address: Address
    reported_states: tuple[tuple[str, str], ...]  # name and reported state of each source that lists it
    sources_disagree: bool


@dataclass(frozen=True, slots=True)
class SourceView:
    """A source as the console displays it."""

    source: str
    worker_count: int
    last_update_age_ms: float | None  # None: no response since the start
    is_stale: bool
    held_removals: tuple[str, ...]
    failure_reason: str
