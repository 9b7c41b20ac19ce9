"""The public types of the decision module: its settings, the events it takes and the actions it returns.

All times are milliseconds on one monotonic clock that the embedding dispatcher owns.
"""

from __future__ import annotations

from grebestack.core.actions import (
    Action,
    Cancel,
    Fail,
    FetchList,
    Probe,
    Reject,
    Send,
    SetTimer,
    WatchList,
)
from grebestack.core.events import (
    AttemptEnded,
    AttemptProgress,
    AttemptStarted,
    DeadlineShortened,
    Event,
    LaterReport,
    ListKind,
    Outcome,
    ProbeEnded,
    RequestAdopted,
    RequestArrived,
    RequestDropped,
    SettingsChanged,
    StreamStarted,
    TimerFired,
    WorkerEntry,
    WorkersListed,
    WorkerState,
)
from grebestack.core.settings import (
    Block,
    Effect,
    Group,
    JobClass,
    Settings,
    Tag,
    Tenant,
)

__all__ = [
    "Action",
    "AttemptEnded",
    "AttemptProgress",
    "AttemptStarted",
    "Block",
    "Cancel",
    "DeadlineShortened",
    "Effect",
    "Event",
    "Fail",
    "FetchList",
    "Group",
    "JobClass",
    "LaterReport",
    "ListKind",
    "Outcome",
    "Probe",
    "ProbeEnded",
    "Reject",
    "RequestAdopted",
    "RequestArrived",
    "RequestDropped",
    "Send",
    "SetTimer",
    "Settings",
    "SettingsChanged",
    "StreamStarted",
    "Tag",
    "Tenant",
    "TimerFired",
    "WatchList",
    "WorkerEntry",
    "WorkerState",
    "WorkersListed",
]
