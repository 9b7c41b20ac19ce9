"""The types that cross the edge of membership: settings, events and actions.

Times are milliseconds on one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from grebestack.core.api import WorkerEntry

Address = tuple[str, int]


class ReportedState(IntEnum):
    """What a source says of a server, the most careful last."""

    READY = 0
    DRAINING = 1  # nothing new; it finishes what it has
    CRITICAL = 2  # its checks fail: nothing new; what it has is waited for


class WorkerStatus(IntEnum):
    """What is believed of a server."""

    JOINING = 0  # ready by its sources, and kept out for a while since it came and went
    READY = 1
    SUSPECT = 2  # ready by the last word of sources that are silent now: it is sent work
    DRAINING = 3
    CRITICAL = 4
    GONE = 5

    @property
    def takes_work(self) -> bool:
        """Whether it is sent new work."""
        return self in (WorkerStatus.READY, WorkerStatus.SUSPECT)


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """What an operator's file says of membership."""

    max_flaps: int = 3  # more falls from ready than this within the window keep a server out
    flap_window_ms: float = 60_000.0
    base_hold_ms: float = 2000.0  # then it is kept out for so long, doubled with each further fall
    max_hold_ms: float = 60_000.0
    max_removed_share: float = (
        0.5  # an update that takes away more than this of a source's servers is held back
    )
    min_workers: int = 1  # and so is one that leaves fewer than this
    moved_drain_ms: float = 60_000.0  # work out at an address that was left is waited for so long

    def __post_init__(self) -> None:
        if self.max_flaps < 1 or self.min_workers < 0 or not 0 <= self.max_removed_share <= 1:
            raise ValueError(f"{self} has a figure out of range")
        if (
            min(self.flap_window_ms, self.base_hold_ms, self.moved_drain_ms) < 0
            or self.max_hold_ms < self.base_hold_ms
        ):
            raise ValueError(f"{self} has a time out of range")


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a source says of one server. The entry's own state counts for nothing here."""

    entry: WorkerEntry
    address: Address
    state: ReportedState = ReportedState.READY
    reason: str = ""

    @property
    def worker_id(self) -> str:
        """The server's id, by which all sources and its own call-backs name it."""
        return self.entry.worker


@dataclass(frozen=True, slots=True)
class SourceAdded:
    """A source is asked from now on. Of two that disagree on an address the lower rank is believed.

    Silent for longer than `stale_ms` it is stale: its last word stands, behind that of any fresh source.
    """

    source: str
    rank: int = 0
    stale_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class SourceRemoved:
    """A source is asked no more, and what it said counts no more."""

    source: str


@dataclass(frozen=True, slots=True)
class SourceUpdated:
    """A source tells its servers, all or those that changed. `gone` names some that it lists no more.

    `old`: it is what the source said before a restart, and makes it no fresher.
    """

    source: str
    reports: tuple[WorkerReport, ...]
    is_full: bool = True
    removed: tuple[str, ...] = ()
    is_cached: bool = False


@dataclass(frozen=True, slots=True)
class SourceUnchanged:
    """A source has answered and nothing has changed."""

    source: str


@dataclass(frozen=True, slots=True)
class SourceFailed:
    """A source did not answer; the reason is for people."""

    source: str
    reason: str


@dataclass(frozen=True, slots=True)
class DrainChanged:
    """The operator drains a server, or does no longer."""

    worker_id: str
    is_drained: bool


@dataclass(frozen=True, slots=True)
class RemovalsAccepted:
    """The operator accepts the removals of a source that are held back."""

    source: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time that a `Wake` asked for has come."""


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
    """A line for the server table: `name` is the id, or the id and a number for one that has moved."""

    name: str
    worker_id: str
    entry: WorkerEntry
    address: Address
    status: WorkerStatus


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """What has changed, for the server table."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Something that people want to know: an event and its pairs."""

    event: str
    fields: tuple[tuple[str, object], ...]
    is_warning: bool = False


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Feed a `Tick` at or after a time."""

    at_ms: float


Action = MembersChanged | LogEvent | SetTimer


@dataclass(frozen=True, slots=True)
class MemberView:
    """What a console shows of a server."""

    name: str
    status: WorkerStatus
    reason: str
    since_ms: float
    address: Address
    reported_states: tuple[tuple[str, str], ...]  # each source that lists it, and its word
    sources_disagree: bool


@dataclass(frozen=True, slots=True)
class SourceView:
    """What a console shows of a source."""

    source: str
    worker_count: int
    last_update_age_ms: float | None  # since it was last heard
    is_stale: bool
    held_removals: tuple[str, ...]
    failure_reason: str
