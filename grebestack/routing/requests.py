"""Records of the engine: a session is what a client asked for, a dispatch is one sending of it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from grebestack.core.api import Outcome, RequestArrived
from grebestack.routing.interfaces import RequestListener, Timer


@dataclass(frozen=True, slots=True)
class Payload:
    """What goes on to a server as it came; the engine never looks inside."""

    head: bytes
    body: bytes


class AttemptStage(Enum):
    """How far a dispatch has got."""

    UNSENT = "waiting"  # its last byte has not gone
    WRITTEN = "written"  # its last byte may have gone: it may have run
    ACCEPTED = "accepted"  # the server said that it has it


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a session to one server."""

    request: Request
    number: int
    worker: str
    sent_ms: float
    send_deadline_ms: float = math.inf  # its first byte goes by then, or never
    stage: AttemptStage = AttemptStage.UNSENT
    outcome: Outcome | None = None
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, owed exactly one final answer by its deadline."""

    call_id: str
    arrival: RequestArrived
    payload: Payload
    listener: RequestListener
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    cancel_requested: bool = False  # the client wants it cancelled: it is not sent any more
    timer: Timer | None = None

    @property
    def number(self) -> int:
        """The number by which the decision module knows it."""
        return self.arrival.request

    @property
    def may_have_run(self) -> bool:
        """Whether some dispatch is not proven never to have run."""
        return any(d.outcome is None or not d.outcome.never_ran for d in self.attempts)

    def open_attempts(self) -> list[Attempt]:
        """The dispatches that have not ended."""
        return [d for d in self.attempts if d.outcome is None]
