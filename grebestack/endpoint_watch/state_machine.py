"""The watch of one source's endpoint list, as a pure state machine: events and the time in, actions out.

The worker table may lag behind the source by at most the time that the protocol allows (timing.py). A watch
is a request to which the source responds with lines for as long as it is open. Where lists are pushed, an
agent on this machine responds at once and at no cost, and the time allowed is the grace of a drain: there
is always an open request that the agent can respond to. Where lists are polled, all dispatchers poll one
source of limited capacity, and the time allowed is some seconds: their requests are spread at random.

All times are milliseconds on one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from grebestack.endpoint_watch.timing import (
    DELIVERY_DEADLINE_MS,
    HEARTBEAT_TIMEOUT_MS,
    MAX_MALFORMED_DOUBLINGS,
    MAX_PARALLEL_DELAY_MS,
    MAX_PENDING,
    MAX_POLL_RETRY_DOUBLINGS,
    MAX_POLL_RETRY_MS,
    REOPEN_DEADLINE_MS,
    WatchSettings,
)


class Stage(Enum):
    """The state of the watch; the values are shown in the log."""

    NEW = "new"
    CONNECTING = "connecting"  # no request has ever had a response
    OPEN = "open"  # lines arrive
    SILENT = "silent"  # a heartbeat is overdue: other requests are opened beside the watch
    BROKEN = "broken"  # the watch has ended: others are opened in its place
    MOVING = "moving"  # another address is watched: open watches are read, none is opened
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class Started:
    """The first watch may be opened."""


@dataclass(frozen=True, slots=True)
class EventReceived:
    """A watch event, or an empty line as a heartbeat, has arrived on a watch."""

    number: int


@dataclass(frozen=True, slots=True)
class MalformedEvent:
    """An event of a watch can't be read: changes may be lost, and the complete list is needed."""

    number: int


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """A watch is closed, or its connection failed."""

    number: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of a `SetTimer` has been reached. An early one does no harm."""


@dataclass(frozen=True, slots=True)
class AddressChanged:
    """Another address is watched from now on."""


@dataclass(frozen=True, slots=True)
class Stopped:
    """The watch ends for good."""


Event = Started | EventReceived | MalformedEvent | WatchEnded | TimerFired | AddressChanged | Stopped


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Connect and request a watch. At least one EventReceived, MalformedEvent or WatchEnded must follow."""

    number: int


@dataclass(frozen=True, slots=True)
class CloseWatch:
    """Close a watch. No event of it follows."""

    number: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send a `TimerFired` at this time instead of that of the last `SetTimer`."""

    at_ms: float


@dataclass(frozen=True, slots=True)
class StageChanged:
    """The watch is in another stage."""

    stage: Stage


@dataclass(frozen=True, slots=True)
class WatchAnswered:
    """The first line has arrived on a watch, which is read from now on."""

    number: int
    waited_ms: float  # since it was opened


Action = OpenWatch | CloseWatch | SetTimer | StageChanged | WatchAnswered


@dataclass(slots=True, eq=False)
class WatchRequest:
    """One request for a watch; `active_ms` is when it was opened, or its last line arrived."""

    number: int
    active_ms: float

    @property
    def overdue_at_ms(self) -> float:
        """When its next line is overdue."""
        return self.active_ms + HEARTBEAT_TIMEOUT_MS


@dataclass(slots=True)
class EndpointWatch:
    """Decides which watches are open. `draw` gives a number from 0 to 1, to spread dispatchers in time."""

    settings: WatchSettings
    draw: Callable[[], float]
    stage: Stage = Stage.NEW
    last_number: int = 0
    current: WatchRequest | None = None  # the one on which lines arrive
    silent: WatchRequest | None = None  # the former current one, whose heartbeat is overdue
    pending: list[WatchRequest] = field(default_factory=list)  # no line yet, the oldest first
    next_open_ms: float | None = None
    failures: int = 0  # watches in a row that ended without a line
    confirms_late_answer: bool = False  # the watches opened last stand beside one that was answered late

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle an event; return the actions to execute, in order."""
        if self.stage is Stage.STOPPED:
            return []
        actions = self._on_event(now_ms, event)
        timer_ms = self._timer_ms()
        return actions if timer_ms is None else [*actions, SetTimer(timer_ms)]

    def _on_event(self, now_ms: float, event: Event) -> list[Action]:
        match event:
            case EventReceived(number):
                return self._on_event_received(now_ms, number)
            case MalformedEvent(number):
                return self._on_malformed_event(now_ms, number)
            case WatchEnded(number):
                return self._on_watch_ended(now_ms, number)
            case TimerFired():
                return self._on_timer(now_ms)
            case AddressChanged():
                return self._on_address_changed()
            case Started():
                return self._on_started(now_ms)
            case Stopped():
                return self._on_stopped()

    # Transitions.

    def _on_started(self, now_ms: float) -> list[Action]:
        return self._open_watch(now_ms) if self.stage is Stage.NEW else []

    def _on_event_received(self, now_ms: float, number: int) -> list[Action]:
        request = self._find(number)
        if request is None:
            return []
        is_new, waited_ms = request is not self.current, now_ms - request.active_ms
        actions = self._make_current(request, waited_ms) if is_new else []
        request.active_ms = now_ms
        self.failures = 0
        if self.stage is Stage.MOVING:
            return actions
        self.next_open_ms = None
        actions += self._change_stage(Stage.OPEN)
        needs_confirmation = is_new and self._is_late(waited_ms) and not self.confirms_late_answer
        self.confirms_late_answer = needs_confirmation
        return [*actions, *self._open_watch(now_ms)] if needs_confirmation else actions

    def _make_current(self, request: WatchRequest, waited_ms: float) -> list[Action]:
        # Only the first one with a line is read: of two, an older list could arrive after a newer one.
        others = [one for one in (*self.pending, self.silent, self.current) if one is not request]
        self.current, self.silent, self.pending = request, None, []
        return [*_close(others), WatchAnswered(request.number, waited_ms)]

    def _is_late(self, waited_ms: float) -> bool:
        """Whether a first line does not show that its watch works: an agent that works answers at once.

        The line may be all that a watch of an outage still brings. Another one is opened beside it, until
        either of them speaks.
        """
        return self.settings.pushed and waited_ms > self.settings.push_retry_ms

    def _on_malformed_event(self, now_ms: float, number: int) -> list[Action]:
        if self._find(number) is None:
            return []
        # Without growing delays, a source of long and malformed lists would use the whole processor.
        doublings = min(self.failures, MAX_MALFORMED_DOUBLINGS)
        min_delay_ms = min(HEARTBEAT_TIMEOUT_MS, self.settings.push_retry_ms * 2.0**doublings)
        return [CloseWatch(number), *self._replace_watch(now_ms, number, min_delay_ms)]

    def _on_watch_ended(self, now_ms: float, number: int) -> list[Action]:
        return self._replace_watch(now_ms, number, None)

    def _replace_watch(self, now_ms: float, number: int, min_delay_ms: float | None) -> list[Action]:
        """Forget a watch, and plan another one unless another one has its place already.

        With `min_delay_ms`, the next one is delayed at least so long, and a former plan doesn't count.
        """
        request = self._find(number)
        if request is None:
            return []
        was_current = request is self.current
        needs_replacement = self._forget(request)
        if not needs_replacement or self.stage is Stage.MOVING:
            return []
        delay_ms = self._retry_delay_ms(now_ms, request.active_ms, min_delay_ms or 0.0)
        self.failures += 1
        at_ms = now_ms + delay_ms
        if min_delay_ms is not None or self.next_open_ms is None or at_ms < self.next_open_ms:
            self.next_open_ms = at_ms
        return self._change_stage(Stage.BROKEN) if was_current or self.stage is Stage.CONNECTING else []

    def _on_timer(self, now_ms: float) -> list[Action]:
        return [
            *self._give_up_silent(now_ms),
            *self._detect_silence(now_ms),
            *self._give_up_pending(now_ms),
            *self._open_if_due(now_ms),
        ]

    def _give_up_silent(self, now_ms: float) -> list[Action]:
        silent = self.silent
        if silent is None or now_ms < silent.overdue_at_ms + DELIVERY_DEADLINE_MS:
            return []
        self.silent = None
        return _close([silent])

    def _detect_silence(self, now_ms: float) -> list[Action]:
        """Open others beside a watch whose source may be dead or cut off, so that no drain is missed."""
        if self.current is None or now_ms < self.current.overdue_at_ms:
            return []
        self.silent, self.current = self.current, None  # kept open, since it may be the first to continue
        if self.stage is Stage.MOVING:
            return []
        delay_ms = 0.0 if self.settings.pushed else MAX_PARALLEL_DELAY_MS * self.draw()
        self.next_open_ms = now_ms + delay_ms
        return self._change_stage(Stage.SILENT)

    def _give_up_pending(self, now_ms: float) -> list[Action]:
        closed: list[WatchRequest] = []
        while self.pending and now_ms >= self.pending[0].overdue_at_ms:
            request = self.pending.pop(0)
            closed.append(request)
            if self.next_open_ms is None and self.current is None:
                self.next_open_ms = now_ms + self._retry_delay_ms(now_ms, request.active_ms)
                self.failures += 1
        return _close(closed)

    def _open_if_due(self, now_ms: float) -> list[Action]:
        if self.next_open_ms is None or now_ms < self.next_open_ms:
            return []
        return self._open_watch(now_ms)

    def _open_watch(self, now_ms: float) -> list[Action]:
        surplus: list[WatchRequest] = []
        while len(self.pending) >= MAX_PENDING:
            surplus.append(self.pending.pop(1))  # the oldest stays, so that a slow source can still respond
        self.last_number += 1
        self.pending.append(WatchRequest(self.last_number, now_ms))
        # Pushed: another one follows unless this one has a response soon.
        self.next_open_ms = now_ms + self.settings.push_retry_ms if self.settings.pushed else None
        changes = self._change_stage(Stage.CONNECTING) if self.stage is Stage.NEW else []
        return [*_close(surplus), *changes, OpenWatch(self.last_number)]

    def _on_address_changed(self) -> list[Action]:
        pending, self.pending = self.pending, []
        self.next_open_ms = None
        return [*_close(pending), *self._change_stage(Stage.MOVING)]

    def _on_stopped(self) -> list[Action]:
        requests = [self.current, self.silent, *self.pending]
        self.current, self.silent, self.pending = None, None, []
        self.next_open_ms = None
        return [*_close(requests), *self._change_stage(Stage.STOPPED)]

    # Helpers.

    def _change_stage(self, stage: Stage) -> list[Action]:
        if stage is self.stage:
            return []
        self.stage = stage
        return [StageChanged(stage)]

    def _find(self, number: int) -> WatchRequest | None:
        for request in (*self.pending, self.current, self.silent):
            if request is not None and request.number == number:
                return request
        return None

    def _forget(self, request: WatchRequest) -> bool:
        """Remove a request; return whether it needs a replacement."""
        if request is self.current:
            self.current = None
            return True
        if request is self.silent:
            self.silent = None
            return False  # others are open or planned since it fell silent
        self.pending.remove(request)
        return self.current is None

    def _timer_ms(self) -> float | None:
        """The earliest time at which something is due."""
        times_ms = [] if self.next_open_ms is None else [self.next_open_ms]
        if self.current is not None:
            times_ms.append(self.current.overdue_at_ms)
        if self.pending:
            times_ms.append(self.pending[0].overdue_at_ms)
        if self.silent is not None:
            times_ms.append(self.silent.overdue_at_ms + DELIVERY_DEADLINE_MS)
        return min(times_ms, default=None)

    def _retry_delay_ms(self, now_ms: float, failed_since_ms: float, min_delay_ms: float = 0.0) -> float:
        """The delay of the next watch after one without a line since `failed_since_ms`."""
        if self.settings.pushed:
            return max(min_delay_ms, self.settings.push_retry_ms)
        # Random, since at a fixed delay the dispatchers of a restarted cluster would all retry together, more
        # often than the source can respond, so that none of them gets a list.
        doublings = min(self.failures, MAX_POLL_RETRY_DOUBLINGS)
        mean_ms = min(MAX_POLL_RETRY_MS, self.settings.poll_retry_ms * 2.0**doublings)
        left_ms = failed_since_ms + REOPEN_DEADLINE_MS - now_ms
        if 1.5 * mean_ms > left_ms:  # the deadline would be missed: spread over the time that is left
            return max(0.0, min_delay_ms, left_ms * (1.0 - 0.5 * self.draw()))
        return max(min_delay_ms, mean_ms * (0.5 + self.draw()))


def _close(requests: Sequence[WatchRequest | None]) -> list[Action]:
    return [CloseWatch(request.number) for request in requests if request is not None]
