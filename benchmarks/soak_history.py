"""What a soak has seen of each request, and the rules that it breaks. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

CROSSING_S = 0.25  # a close this soon after a request may have crossed it, unread
HALF_REQUEST_S = 3.0  # by when a request that stops in its middle is answered or closed


class Ending(Enum):
    """How the exchange of one request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "closed without an answer"
    CUT = "cut by the kill"


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request that a client has written in full."""

    call_id: str
    job_class: str
    sent_s: float
    ended_s: float
    ending: Ending
    status: int = 0


@dataclass(frozen=True, slots=True)
class HalfRequest:
    """A request that stopped in its middle, and for how long its connection stayed as it was."""

    waited_s: float
    has_ended: bool


@dataclass(slots=True)
class History:
    """One round of a soak: a dispatcher from its start to its end."""

    exchanges: list[Exchange] = field(default_factory=list)
    half_requests: list[HalfRequest] = field(default_factory=list)
    received: Counter[str] = field(default_factory=Counter)  # by call id: requests that workers had in full
    log_lines: list[str] = field(default_factory=list)
    exit_code: int | None = None  # None: it was still there at the kill
    allowed_lateness_s: float = 0.0  # of this machine


def problems(history: History, run_once: Iterable[str]) -> list[str]:
    """Return every rule that a history breaks.

    Parameters
    ----------
    run_once
        The classes of which no job may run twice.
    """
    return [
        *_unanswered(history),
        *_answered_twice(history),
        *_run_twice(history, frozenset(run_once)),
        *_half_requests(history),
        *_faults(history),
    ]


def _unanswered(history: History) -> Iterator[str]:
    for exchange in history.exchanges:
        if exchange.ending is Ending.ANSWERED:
            continue
        after_s = exchange.ended_s - exchange.sent_s
        text = f"{exchange.call_id} ({exchange.job_class}): {exchange.ending.value} after {after_s:.3f} s"
        if history.received[exchange.call_id]:
            yield f"{text}, and a worker had it"
        elif exchange.ending is Ending.CUT and history.exit_code is None:
            yield text
        elif after_s > CROSSING_S + history.allowed_lateness_s:
            yield f"{text}, too late for a close that crossed it"


def _answered_twice(history: History) -> Iterator[str]:
    answers = Counter(e.call_id for e in history.exchanges if e.ending is Ending.ANSWERED)
    yield from (f"{call_id}: {count} answers" for call_id, count in answers.items() if count > 1)


def _run_twice(history: History, run_once: frozenset[str]) -> Iterator[str]:
    classes = {exchange.call_id: exchange.job_class for exchange in history.exchanges}
    for call_id, count in history.received.items():
        if count > 1 and classes.get(call_id) in run_once:
            yield f"{call_id} ({classes[call_id]}): workers had it {count} times"


def _half_requests(history: History) -> Iterator[str]:
    for half in history.half_requests:
        if not half.has_ended and half.waited_s > HALF_REQUEST_S + history.allowed_lateness_s:
            yield f"a request that stopped in its middle was left for {half.waited_s:.1f} s"


def _faults(history: History) -> Iterator[str]:
    for line in history.log_lines:
        if "traceback" in line.lower() or "level=error" in line:
            yield f"logged: {line[:300]}"
    if history.exit_code not in (None, 0):
        yield f"exit status {history.exit_code}"
