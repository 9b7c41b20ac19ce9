"""The predecessor's side of a hot restart: hands over its clients' connections and requests."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from functools import partial

from grebestack.hot_restart import messages
from grebestack.hot_restart.messages import Message
from grebestack.program.hot_restart_interface import RestartableDispatcher
from grebestack.program.hot_restart_peers import PeerChannels
from grebestack.protocol.platform import PlatformResponder
from grebestack.routing.requests import Attempt, Request
from grebestack.transport.server import Connection, HttpRequest

log = logging.getLogger(__name__)
QUEUED_REQUESTS_INTERVAL_S = 0.1  # between two searches for requests not yet sent to a worker
CONNECTION_RETRY_S = 0.005  # before a connection with an unsent response is tried again
MAX_LISTED = 20_000  # call ids, and attempts, that are sent to a successor


class Handover:
    """Hands connections and requests over to the successor, as long as there is one."""

    def __init__(self, dispatcher: RestartableDispatcher, channels: PeerChannels) -> None:
        """Start without a successor."""
        self.dispatcher, self.channels = dispatcher, channels
        self.retry_timer: asyncio.TimerHandle | None = None

    def begin(self, successor: int) -> None:
        """Stop accepting clients, and from now on hand over every connection and request that can move."""
        dispatcher = self.dispatcher
        dispatcher.stop_listening()
        dispatcher.lifecycle.retire(True, dispatcher.clock.now_ms())
        dispatcher.apply_lifecycle()
        self._send_open_requests(successor)
        self._report_attempts(successor)
        self._hand_over_connections(successor)
        self._hand_over_queued(successor)
        kept = {
            "open": len(dispatcher.engine.open_by_call_id),
            "kept": len(dispatcher.acceptor.connections),
        }
        log.info("upgrade_retired", extra={"kv": kept})

    def end(self) -> None:
        """Keep clients and stop reporting attempts: there is no successor any more."""
        dispatcher = self.dispatcher
        dispatcher.acceptor.hand_over_idle = None
        dispatcher.engine.on_attempt_sent = dispatcher.engine.on_attempt_ended = lambda attempt: None
        dispatcher.lifecycle.retire(False, dispatcher.clock.now_ms())

    def hand_over_in_flight(self, successor: int) -> None:
        """Hand over the requests that workers run; called shortly before this process exits."""
        for request, responder in self._movable_requests(successor):
            attempt = self.dispatcher.engine.hand_over(request)
            if attempt is None:
                continue
            worker = self.dispatcher.http_workers.hand_over(attempt)
            ambiguous = sorted(outcome.value for outcome in request.ambiguous_outcomes(worker))
            deadline_ms = request.arrival.deadline_ms
            message = messages.in_flight_request(deadline_ms, worker, request.call_id, ambiguous)
            self._send_request(successor, responder, message)

    def _send_open_requests(self, successor: int) -> None:
        engine = self.dispatcher.engine
        attempts = [
            self._attempt_to_wire(attempt)
            for request in engine.requests.values()
            for attempt in request.open_attempts()
        ]
        open_call_ids = list(engine.open_by_call_id)[-MAX_LISTED:]
        self.channels.send(successor, messages.handed_over(open_call_ids, attempts[-MAX_LISTED:]))

    def _report_attempts(self, successor: int) -> None:
        def on_sent(attempt: Attempt) -> None:
            self.channels.send(successor, messages.attempt_sent(self._attempt_to_wire(attempt)))

        def on_ended(attempt: Attempt) -> None:
            self.channels.send(successor, messages.attempt_ended(attempt_key(attempt)))

        self.dispatcher.engine.on_attempt_sent, self.dispatcher.engine.on_attempt_ended = on_sent, on_ended

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

    def _may_hand_over(self, successor: int) -> bool:
        return successor in self.channels and self.dispatcher.lifecycle.retired

    def _hand_over_connections(self, successor: int) -> None:
        self.retry_timer = None
        if self._may_hand_over(successor):
            self.dispatcher.acceptor.hand_over(partial(self._hand_over_connection, successor))

    def _hand_over_connection(self, successor: int, connection: Connection, idle: bool) -> bool:
        """Hand over a client's connection, with the received bytes that were not read yet."""
        if successor not in self.channels or connection.busy:
            return False
        if not connection.can_detach():
            self._retry_connections(successor)
            return False
        message = messages.connection(connection.is_client, idle)
        self.channels.send(successor, message, [connection.detach()])
        return True

    def _retry_connections(self, successor: int) -> None:
        if self.retry_timer is None:
            loop = self.dispatcher.loop
            self.retry_timer = loop.call_later(CONNECTION_RETRY_S, self._hand_over_connections, successor)

    def _hand_over_queued(self, successor: int) -> None:
        """Hand over the requests not yet sent to a worker, now and at intervals."""
        if not self._may_hand_over(successor):
            return
        self.dispatcher.loop.call_later(QUEUED_REQUESTS_INTERVAL_S, self._hand_over_queued, successor)
        for request, responder in self._movable_requests(successor):
            if self.dispatcher.engine.withdraw_unsent(request):
                message = queued_request_to_wire(request, responder.http_request)
                self._send_request(successor, responder, message)

    def _movable_requests(self, successor: int) -> Iterator[tuple[Request, PlatformResponder]]:
        """The open requests whose clients' connections can be handed over, until the successor is gone."""
        for request in self.dispatcher.engine.open_requests():
            if not self._may_hand_over(successor):
                return
            responder = request.listener
            if isinstance(responder, PlatformResponder) and responder.connection.can_detach():
                yield request, responder

    def _send_request(self, successor: int, responder: PlatformResponder, message: Message) -> None:
        responder.connection.handler_data = None
        self.channels.send(successor, message, [responder.connection.detach()])


def attempt_key(attempt: Attempt) -> str:
    """The key of an attempt in messages."""
    return f"{attempt.request.number}.{attempt.number}"


def queued_request_to_wire(request: Request, http_request: HttpRequest) -> Message:
    """The message that hands over a request that no worker runs."""
    attempt_count = request.arrival.earlier_attempts + len(request.attempts)
    reported_again = [
        [ended.callback_id, ended.outcome.value, ended.later_report.value]
        for ended in request.reported_again()
    ]
    fields = request_to_wire(http_request)
    return messages.queued_request(request.arrival.deadline_ms, fields, attempt_count, reported_again)


def request_to_wire(request: HttpRequest) -> Message:
    """The message fields of an HTTP request."""
    headers = [[name.decode("latin-1"), value.decode("latin-1")] for name, value in request.headers.items()]
    return {
        "method": request.method.decode("latin-1"),
        "target": request.target.decode("latin-1"),
        "headers": headers,
        "body": request.body.decode("latin-1"),
    }
