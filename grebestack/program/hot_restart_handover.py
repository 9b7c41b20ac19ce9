"""The predecessor's side of a hot restart: hands over its clients' connections and requests."""

from __future__ import annotations

import asyncio
import logging
from functools import partial

from grebestack.hot_restart import messages
from grebestack.hot_restart.messages import Message
from grebestack.hot_restart.state_machine import HotRestart
from grebestack.program.hot_restart_interface import RestartableDispatcher
from grebestack.program.hot_restart_peers import PeerChannels
from grebestack.program.hot_restart_reports import SuccessorReports
from grebestack.program.hot_restart_wire import in_flight_request_to_wire, queued_request_to_wire
from grebestack.protocol.platform import PlatformResponder
from grebestack.routing.requests import Attempt, Request
from grebestack.transport.server import Connection

log = logging.getLogger(__name__)
HANDOVER_INTERVAL_S = 0.1  # between two searches for connections and requests that can move
CONNECTION_RETRY_S = 0.005  # before a connection with an unsent response is tried again
MAX_HANDOVERS_PER_TURN = 16  # of the event loop, which also serves clients
MAX_LISTED = 20_000  # call ids, and attempts, that are sent to a successor
MAX_LISTED_BYTES = 3 * 512 * 1024  # of call ids, in each of two lists: JSON may double them, 8 MiB is refused


class Handover:
    """Hands connections and requests over to the successor, as long as there is one.

    They stay this process's until the channel takes them: each is handed over only when nothing waits to be
    written to the successor, and what is not written by the time the channel closes comes back.
    """

    def __init__(
        self,
        dispatcher: RestartableDispatcher,
        channels: PeerChannels,
        state_machine: HotRestart,
    ) -> None:
        """Start without a successor; this process may still have a predecessor with open requests."""
        self.dispatcher, self.channels, self.state_machine = dispatcher, channels, state_machine
        self.reports: SuccessorReports | None = None
        self.includes_in_flight = False
        self.handed_over_in_turn = 0
        self.retry_timer: asyncio.TimerHandle | None = None

    def begin(self, successor: int) -> None:
        """Stop accepting clients, and from now on hand over every connection and request that can move."""
        dispatcher = self.dispatcher
        dispatcher.stop_listening()
        dispatcher.lifecycle.retire(True, dispatcher.clock.now_ms())
        dispatcher.apply_lifecycle()
        self._send_open_requests(successor)
        self._hand_over_at_intervals(successor)
        kept = {
            "open": len(dispatcher.engine.open_by_call_id),
            "kept": len(dispatcher.acceptor.connections),
        }
        log.info("upgrade_retired", extra={"kv": kept})

    def end(self) -> None:
        """Keep clients and stop reporting attempts: there is no successor any more."""
        dispatcher = self.dispatcher
        self.reports, self.includes_in_flight = None, False
        dispatcher.acceptor.hand_over_idle = None
        dispatcher.engine.on_attempt_sent = dispatcher.engine.on_attempt_ended = lambda attempt: None
        dispatcher.lifecycle.retire(False, dispatcher.clock.now_ms())

    def hand_over_in_flight(self, successor: int) -> None:
        """Hand over the requests that workers run as well; called shortly before this process exits."""
        self.includes_in_flight = True
        self.proceed(successor)

    def proceed(self, successor: int) -> None:
        """Hand over what can move now, until the successor has to read first."""
        if self.reports is not None:
            self.reports.flush()
        if not self._may_hand_over(successor):
            return
        self._hand_over_requests(successor)
        self.dispatcher.acceptor.hand_over(partial(self._hand_over_connection, successor))

    def on_request_closed(self, call_id: str) -> None:
        """A request of this process, or of its predecessor, has been answered."""
        if self.reports is not None:
            self.reports.on_request_closed(call_id)

    def _send_open_requests(self, successor: int) -> None:
        """Announce the open requests and attempts, and report from now on what becomes of them."""
        engine = self.dispatcher.engine
        attempts = [
            self._attempt_to_wire(attempt)
            for request in engine.requests.values()
            for attempt in request.open_attempts()
        ][-MAX_LISTED:]
        open_call_ids = newest_call_ids([*self.state_machine.predecessor_open_ids, *engine.open_by_call_id])
        ended_call_ids = newest_call_ids(self.dispatcher.platform_api.ended_ids.newest(MAX_LISTED))
        self.channels.send(successor, messages.handed_over(open_call_ids, attempts, ended_call_ids))
        keys = (attempt["key"] for attempt in attempts)
        reports = self.reports = SuccessorReports(self.channels, successor, open_call_ids, keys)

        def on_sent(attempt: Attempt) -> None:
            reports.on_attempt_sent(attempt_key(attempt), self._attempt_to_wire(attempt))

        def on_ended(attempt: Attempt) -> None:
            reports.on_attempt_ended(attempt_key(attempt))

        engine.on_attempt_sent, engine.on_attempt_ended = on_sent, on_ended

    def _attempt_to_wire(self, attempt: Attempt) -> Message:
        arrival, classes = attempt.request.arrival, self.dispatcher.engine.settings.classes
        return {
            "key": attempt_key(attempt),
            "worker": attempt.worker,
            "slots": arrival.slots,
            "memory": arrival.memory,
            "sent_ms": attempt.sent_ms,
            "class": classes[arrival.job_class].name,
        }

    # When something may move.

    def _may_hand_over(self, successor: int) -> bool:
        return successor in self.channels and self.dispatcher.lifecycle.retired

    def _take_turn(self, successor: int) -> bool:
        """Whether one more connection may be handed over in this turn of the event loop."""
        if not (self._may_hand_over(successor) and self.channels.is_idle(successor)):
            return False  # `proceed` is called once all is written
        if self.handed_over_in_turn >= MAX_HANDOVERS_PER_TURN:
            return False
        if not self.handed_over_in_turn:
            self.dispatcher.loop.call_soon(self._on_next_turn, successor)
        self.handed_over_in_turn += 1
        return True

    def _on_next_turn(self, successor: int) -> None:
        may_be_more = self.handed_over_in_turn >= MAX_HANDOVERS_PER_TURN
        self.handed_over_in_turn = 0
        if may_be_more:
            self.proceed(successor)

    def _hand_over_at_intervals(self, successor: int) -> None:
        if self._may_hand_over(successor):
            self.proceed(successor)
            loop = self.dispatcher.loop
            loop.call_later(HANDOVER_INTERVAL_S, self._hand_over_at_intervals, successor)

    def _retry_soon(self, successor: int) -> None:
        if self.retry_timer is None:
            loop = self.dispatcher.loop
            self.retry_timer = loop.call_later(CONNECTION_RETRY_S, self._on_retry, successor)

    def _on_retry(self, successor: int) -> None:
        self.retry_timer = None
        self.proceed(successor)

    # Connections and requests.

    def _hand_over_connection(self, successor: int, connection: Connection, idle: bool) -> bool:
        """Hand over a client's connection, with the received bytes that were not read yet."""
        if connection.busy or successor not in self.channels:
            return False
        if not connection.can_detach():
            self._retry_soon(successor)
            return False
        if not self._take_turn(successor):
            return False
        message = messages.connection(connection.is_client, idle)
        self.channels.hand_over(successor, message, connection.detach())
        return True

    def _hand_over_requests(self, successor: int) -> None:
        """Hand over the requests that no worker has, and on request those that one worker runs."""
        engine = self.dispatcher.engine
        for request in engine.open_requests():
            responder = request.listener
            if not (isinstance(responder, PlatformResponder) and responder.connection.can_detach()):
                continue
            if not self._reads_history_of(request):
                continue
            if engine.is_waiting(request):
                if not self._take_turn(successor):
                    return
                self._hand_over_queued(successor, request, responder)
            elif self.includes_in_flight and engine.can_hand_over(request):
                if not self._take_turn(successor):
                    return
                self._hand_over_running(successor, request, responder)

    def _reads_history_of(self, request: Request) -> bool:
        """Whether the successor would know which ended attempts may have run; former versions don't."""
        if self.state_machine.successor_reads_history:
            return True
        return request.ended_history().first_possible_run is None

    def _hand_over_queued(self, successor: int, request: Request, responder: PlatformResponder) -> None:
        self._report_move(request)
        if self.dispatcher.engine.withdraw_waiting(request):
            message = queued_request_to_wire(request, responder.http_request)
            self._send_request(successor, responder, message)

    def _hand_over_running(self, successor: int, request: Request, responder: PlatformResponder) -> None:
        self._report_move(request)
        attempt = self.dispatcher.engine.hand_over(request)
        if attempt is None:
            return
        in_flight = self.dispatcher.http_workers.hand_over(attempt)
        message = in_flight_request_to_wire(request, responder.http_request, in_flight, attempt_key(attempt))
        self._send_request(successor, responder, message)

    def _report_move(self, request: Request) -> None:
        if self.reports is not None:
            self.reports.on_request_closed(request.call_id, moved=True)

    def _send_request(self, successor: int, responder: PlatformResponder, message: Message) -> None:
        responder.connection.handler_data = None
        self.channels.hand_over(successor, message, responder.connection.detach())


def newest_call_ids(call_ids: list[str]) -> list[str]:
    """The newest call ids that a message has room for, oldest first."""
    newest: list[str] = []
    size_bytes = 0
    for call_id in reversed(call_ids[-MAX_LISTED:]):
        size_bytes += len(call_id)
        if size_bytes > MAX_LISTED_BYTES:
            break
        newest.append(call_id)
    return newest[::-1]


def attempt_key(attempt: Attempt) -> str:
    """The key of an attempt in messages."""
    return f"{attempt.request.number}.{attempt.number}"
