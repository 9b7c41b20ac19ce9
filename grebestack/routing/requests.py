"""Records of the engine: a session is what a client asked for, a dispatch is one sending of it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from grebestack.core.api import Outcome, RequestArrived
from grebestack.routing.interfaces import Frontend, Timer


@dataclass(frozen=True, slots=True)
class Payload:
    """What goes on to a server as it came; the engine never looks inside."""

    head: bytes
    body: bytes


class Stage(Enum):
    """How far a dispatch has got."""

    WAITING = "waiting"  # its last byte has not gone
    WRITTEN = "written"  # its last byte may have gone: it may have run
    ACCEPTED = "accepted"  # the server said that it has it


@dataclass(slots=True, eq=False)
class Dispatch:
    """One sending of a session to one server."""

    session: Session
    number: int
    server: str
    sent_ms: float
    by_ms: float = math.inf  # its first byte goes by then, or never
    stage: Stage = Stage.WAITING
    outcome: Outcome | None = None
    timer: Timer | None = None


@dataclass(slots=True, eq=False)
class Session:
    """One request of a client, owed exactly one final answer by its deadline."""

    call_id: str
    asked: RequestArrived
    payload: Payload
    frontend: Frontend
    dispatches: list[Dispatch] = field(default_factory=list)
    closed: bool = False
    terminating: bool = False  # the client wants it cancelled: it is not sent any more
    timer: Timer | None = None

    @property
    def number(self) -> int:
        """The number by which the decision module knows it."""
        return self.asked.request

    @property
    def may_have_run(self) -> bool:
        """Whether some dispatch is not proven never to have run."""
        return any(d.outcome is None or not d.outcome.never_ran for d in self.dispatches)

    def out(self) -> list[Dispatch]:
        """The dispatches that have not ended."""
        return [d for d in self.dispatches if d.outcome is None]
