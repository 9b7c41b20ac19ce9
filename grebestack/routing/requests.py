"""Records of the engine: a client's request, and its attempts, each sent to one worker.

The classes `Request` and `Attempt` of the decision module are others, which hold what decisions depend on.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from grebestack.core.api import LaterReport, Outcome, PossibleRun, RequestArrived
from grebestack.routing.interfaces import RequestListener, Timer


@dataclass(frozen=True, slots=True)
class Payload:
    """What is forwarded to a worker unchanged; the engine does not inspect it."""

    head: bytes
    body: bytes


class AttemptStage(Enum):
    """How far an attempt has progressed."""

    UNSENT = "waiting"  # its last byte has not been written, so it cannot have run
    WRITTEN = "written"  # its last byte may have been written: it may have run
    ACCEPTED = "accepted"  # the worker has confirmed that it has the job


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to one worker."""

    request: Request
    number: int
    worker: str
    sent_ms: float
    send_deadline_ms: float = math.inf  # the first byte is sent by then or not at all
    callback_id: str = ""  # the id that the call-backs of its worker carry
    zone: int = 0  # of its worker, as its cell
    cell: int = 0
    stage: AttemptStage = AttemptStage.UNSENT
    outcome: Outcome | None = None
    later_report: LaterReport = LaterReport.NONE  # once it has ended
    timer: Timer | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether it is not proven never to have run."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(frozen=True, slots=True)
class EndedAttempt:
    """What must be remembered of an attempt that has ended, also by another process."""

    callback_id: str
    outcome: Outcome
    later_report: LaterReport


@dataclass(frozen=True, slots=True)
class RequestHistory:
    """The ended attempts of a request before this process accepted it.

    Parameters
    ----------
    attempt_count
        How many there were.
    reported_again
        Those that their worker may still report.
    first_possible_run
        The first one that may have run; None if all are proven never to have run.
    """

    attempt_count: int = 0
    reported_again: tuple[EndedAttempt, ...] = ()
    first_possible_run: PossibleRun | None = None


NO_HISTORY = RequestHistory()


@dataclass(frozen=True, slots=True)
class InFlightAttempt:
    """An attempt that another process has sent, and that its worker has accepted and not ended."""

    worker: str
    callback_id: str  # the id that the worker's call-backs carry
    address: tuple[str, int]
    sent_ms: float
    zone: int = 0
    cell: int = 0


def ambiguous_outcomes(ended: Iterable[EndedAttempt], callback_id: str) -> frozenset[Outcome]:
    """The outcomes whose report by a worker may be about an ended attempt and proves nothing of another."""
    of_worker = [attempt for attempt in ended if attempt.callback_id == callback_id]
    if any(attempt.later_report is LaterReport.ANY for attempt in of_worker):
        return frozenset(Outcome)
    return frozenset(attempt.outcome for attempt in of_worker)


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, which gets exactly one final answer by its deadline."""

    call_id: str
    arrival: RequestArrived
    payload: Payload
    listener: RequestListener
    history: RequestHistory = NO_HISTORY
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    cancel_requested: bool = False  # by the client: no further attempt is sent
    timer: Timer | None = None

    @property
    def number(self) -> int:
        """The number that identifies the request in the decision module."""
        return self.arrival.request

    @property
    def may_have_run(self) -> bool:
        """Whether some attempt, here or before, is not proven never to have run."""
        return self.history.first_possible_run is not None or any(a.may_have_run for a in self.attempts)

    def reported_again(self) -> tuple[EndedAttempt, ...]:
        """The ended attempts, here or before, that a worker may still report."""
        own = (
            EndedAttempt(a.callback_id, a.outcome, a.later_report)
            for a in self.attempts
            if a.outcome is not None and a.later_report is not LaterReport.NONE
        )
        return (*self.history.reported_again, *own)

    def ended_history(self) -> RequestHistory:
        """What another process must know of the attempts that have ended, here or before."""
        ended = [a for a in self.attempts if a.outcome is not None]
        own_possible_runs = (PossibleRun(a.sent_ms, a.zone, a.cell) for a in ended if a.may_have_run)
        first_possible_run = self.history.first_possible_run or next(own_possible_runs, None)
        attempt_count = self.arrival.earlier_attempts + len(ended)
        return RequestHistory(attempt_count, self.reported_again(), first_possible_run)

    def ambiguous_outcomes(self, callback_id: str) -> frozenset[Outcome]:
        """The outcomes whose report by a worker proves nothing of an attempt in flight."""
        return ambiguous_outcomes(self.reported_again(), callback_id)

    def open_attempts(self) -> list[Attempt]:
        """The attempts that have not ended."""
        return [a for a in self.attempts if a.outcome is None]
