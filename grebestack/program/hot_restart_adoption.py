"""The successor's side of a hot restart: adopts clients' connections and requests from the predecessor."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass

from grebestack.core.api import LaterReport, Outcome
from grebestack.hot_restart.messages import Message, MessageType, message_type
from grebestack.program.hot_restart_interface import RestartableDispatcher
from grebestack.protocol.platform import DEADLINE_MARGIN_MS
from grebestack.routing.requests import EndedAttempt, RequestHistory
from grebestack.transport.server import Connection, HttpRequest

log = logging.getLogger(__name__)
HTTP_OK, HTTP_BAD_GATEWAY, HTTP_SERVICE_UNAVAILABLE = 200, 502, 503
MIN_BUDGET_MS = 1.0


class Adoption:
    """Adopts the connections and requests whose messages carry the descriptor of a client's connection."""

    def __init__(self, dispatcher: RestartableDispatcher) -> None:
        """Start with nothing adopted."""
        self.dispatcher = dispatcher
        self.in_flight_ids: set[str] = set()  # call ids of adopted requests that a worker runs
        self.tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[str, Callable[[int, Message], None]] = {
            MessageType.CONNECTION: self._adopt_connection,
            MessageType.QUEUED_REQUEST: self._adopt_queued,
            MessageType.IN_FLIGHT_REQUEST: self._adopt_in_flight,
        }

    def handles(self, message: Message) -> bool:
        """Whether a message hands over a connection or a request."""
        return message_type(message) in self._handlers

    def adopt(self, descriptor: int, message: Message) -> None:
        """Adopt what a message hands over; the descriptor is closed if the message is malformed."""
        type_name = message_type(message)
        try:
            self._handlers[type_name](descriptor, message)
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            log.warning("handed_refused", extra={"kv": {"what": type_name, "why": repr(error)}})
            os.close(descriptor)

    def _adopt_connection(self, descriptor: int, message: Message) -> None:
        self._adopt_descriptor(
            descriptor, bool(message["asked"]), bool(message["idle"]), lambda connection: None
        )

    def _adopt_queued(self, descriptor: int, message: Message) -> None:
        """Adopt a request not yet sent to a worker, as if its client had sent it here."""
        request = request_from_wire(message)
        request.context = request_history(message)
        remaining_ms = float(message["deadline_ms"]) + DEADLINE_MARGIN_MS - self.dispatcher.clock.now_ms()
        request.headers[b"x-budget"] = b"%.3f" % (max(MIN_BUDGET_MS, remaining_ms) / 1000.0)
        self._adopt_descriptor(descriptor, True, False, lambda connection: connection.resume(request))

    def _adopt_in_flight(self, descriptor: int, message: Message) -> None:
        """Adopt a request that a worker runs: the client is answered at its call-back or its deadline."""
        call_id, worker, deadline_ms = (
            str(message["id"]),
            str(message["server"]),
            float(message["deadline_ms"]),
        )
        http_workers, response = self.dispatcher.http_workers, PendingResponse()

        def on_ended(outcome: Outcome, result: bytes) -> None:
            timer.cancel()
            self.in_flight_ids.discard(call_id)
            response.set(*_response_to(outcome, result))

        def on_deadline() -> None:
            http_workers.set_callback_handler(call_id, worker, None)  # its call-back is no longer awaited
            on_ended(Outcome.TIMEOUT, b"")

        answer_by_ms = self.dispatcher.platform_api.deadline_before_kill_ms(deadline_ms)
        timer = self.dispatcher.clock.call_at(answer_by_ms, on_deadline)
        self.in_flight_ids.add(call_id)
        ambiguous = frozenset(Outcome(value) for value in message.get("ambiguous", ()))
        http_workers.set_callback_handler(call_id, worker, on_ended, ambiguous)
        self._adopt_descriptor(descriptor, True, False, response.connect)

    def _adopt_descriptor(
        self, descriptor: int, request_sent: bool, idle: bool, on_connected: Callable[[Connection], None]
    ) -> None:
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        connection = self.dispatcher.acceptor.adopt(request_sent, idle)
        task = self.dispatcher.loop.create_task(self._connect(sock, connection, on_connected))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(
        self, sock: socket.socket, connection: Connection, on_connected: Callable[[Connection], None]
    ) -> None:
        try:
            await self.dispatcher.loop.connect_accepted_socket(lambda: connection, sock)
        except OSError:
            sock.close()
        on_connected(connection)


@dataclass(slots=True)
class PendingResponse:
    """A response and the connection to send it on, which may become available in either order."""

    connection: Connection | None = None
    response: tuple[int, bytes] | None = None

    def set(self, status: int, body: bytes) -> None:
        """Set the response of an ended request; only the first one counts."""
        if self.response is None:
            self.response = status, body
        if self.connection is not None:
            self.connection.respond(*self.response)

    def connect(self, connection: Connection) -> None:
        """Set the client's connection, and resume it."""
        connection.resume(None)
        self.connection = connection
        if self.response is not None:
            connection.respond(*self.response)


def _response_to(outcome: Outcome, result: bytes) -> tuple[int, bytes]:
    if outcome is Outcome.OK:
        return HTTP_OK, result
    return (HTTP_SERVICE_UNAVAILABLE if outcome.never_ran else HTTP_BAD_GATEWAY), b""


def request_history(message: Message) -> RequestHistory:
    """What the predecessor knew of a request that no worker runs."""
    reported_again = (
        EndedAttempt(str(callback_id), Outcome(outcome), LaterReport(later_report))
        for callback_id, outcome, later_report in message.get("reported_again", ())
    )
    return RequestHistory(int(message.get("attempts", 0)), tuple(reported_again))


def request_from_wire(message: Message) -> HttpRequest:
    """The request that a message holds."""
    headers = {name.encode("latin-1"): value.encode("latin-1") for name, value in message["headers"]}
    method, target = message["method"].encode("latin-1"), message["target"].encode("latin-1")
    return HttpRequest(method, target, headers, message["body"].encode("latin-1"))
