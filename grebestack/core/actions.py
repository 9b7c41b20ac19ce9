"""The actions that a policy returns, to be carried out in order by the embedding dispatcher.

Times are milliseconds on the clock of the events.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start the next attempt of a request; without a timeout it runs until the deadline at the latest.

    If its first byte cannot be sent by `send_by_ms`, because the connection was established late, it must
    not be sent at all.
    """

    request: int
    worker: str
    timeout_ms: float | None = None
    send_by_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel one attempt, at once or when its worker confirms that it has dropped it."""

    request: int
    attempt: int
    at_once: bool = True


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not executed, and a retry is harmless."""

    request: int
    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have been executed."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` at or after a time; timers cannot be cancelled."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class WatchList:
    """Subscribe to changes of the endpoint list. Only the simulator uses it: the engine always subscribes."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    """Request the whole endpoint list once. The policy never returns it."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Request the load report of a worker."""

    worker: str


Action = Send | Cancel | Reject | Fail | SetTimer | WatchList | FetchList | Probe
