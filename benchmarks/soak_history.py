"""The history of a soak round and the checks on it; no I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

CLOSE_RACE_S = 0.25  # a connection that closes this soon after a request may not have read it
MAX_MEMORY_MB = 96.0  # half of the limit
PARTIAL_REQUEST_TIMEOUT_S = 3.0  # a partial request is answered or closed within this time


class Outcome(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    CLOSED = "closed without an answer"
    CUT = "cut by the kill"


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request that a client has sent completely."""

    call_id: str
    job_class: str
    sent_s: float
    ended_s: float
    outcome: Outcome
    status: int = 0


@dataclass(frozen=True, slots=True)
class PartialRequest:
    """A request that was sent in part, and how long its connection stayed open."""

    waited_s: float
    was_ended: bool


@dataclass(slots=True)
class History:
    """What was observed in one round of a soak, from the dispatcher's start to its end."""

    exchanges: list[Exchange] = field(default_factory=list)
    partial_requests: list[PartialRequest] = field(default_factory=list)
    received: Counter[str] = field(default_factory=Counter)  # complete requests at workers, by call id
    log_lines: list[str] = field(default_factory=list)
    exit_code: int | None = None  # None: still running when it was killed
    allowed_delay_s: float = 0.0  # how late the machine may be
    peak_memory_mb: float = 0.0


def violations(history: History, run_once: Iterable[str]) -> list[str]:
    """Return a description of every violation in a history.

    Parameters
    ----------
    run_once
        The classes whose jobs must not run twice.
    """
    return [
        *_unanswered(history),
        *_answered_twice(history),
        *_run_twice(history, frozenset(run_once)),
        *_hanging_partial_requests(history),
        *_process_faults(history),
    ]


def _unanswered(history: History) -> Iterator[str]:
    for exchange in history.exchanges:
        if exchange.outcome is Outcome.ANSWERED:
            continue
        elapsed_s = exchange.ended_s - exchange.sent_s
        description = (
            f"{exchange.call_id} ({exchange.job_class}): {exchange.outcome.value} after {elapsed_s:.3f} s"
        )
        if history.received[exchange.call_id]:
            yield f"{description}, but a worker received it"
        elif exchange.outcome is Outcome.CUT and history.exit_code is None:
            yield description
        elif elapsed_s > CLOSE_RACE_S + history.allowed_delay_s:
            yield f"{description}, too late to be a race with the close"


def _answered_twice(history: History) -> Iterator[str]:
    answers = Counter(
        exchange.call_id for exchange in history.exchanges if exchange.outcome is Outcome.ANSWERED
    )
    yield from (f"{call_id}: {count} answers" for call_id, count in answers.items() if count > 1)


def _run_twice(history: History, run_once: frozenset[str]) -> Iterator[str]:
    classes = {exchange.call_id: exchange.job_class for exchange in history.exchanges}
    for call_id, count in history.received.items():
        if count > 1 and classes.get(call_id) in run_once:
            yield f"{call_id} ({classes[call_id]}): received by workers {count} times"


def _hanging_partial_requests(history: History) -> Iterator[str]:
    for partial in history.partial_requests:
        if not partial.was_ended and partial.waited_s > PARTIAL_REQUEST_TIMEOUT_S + history.allowed_delay_s:
            yield f"a partial request was left open for {partial.waited_s:.1f} s"


def _process_faults(history: History) -> Iterator[str]:
    for line in history.log_lines:
        if "traceback" in line.lower() or "level=error" in line:
            yield f"logged: {line[:300]}"
    if history.exit_code not in (None, 0):
        yield f"exit status {history.exit_code}"
    if history.peak_memory_mb > MAX_MEMORY_MB:
        yield f"{history.peak_memory_mb:.1f} MB of memory at the peak, more than {MAX_MEMORY_MB:.0f}"
