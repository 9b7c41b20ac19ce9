"""The successor's side of a hot restart: adopts clients' connections and requests from the predecessor."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable

from grebestack.hot_restart.messages import Message, MessageType, message_type
from grebestack.program.hot_restart_interface import RestartableDispatcher
from grebestack.program.hot_restart_wire import (
    in_flight_http_request,
    in_flight_job,
    queued_job,
    request_from_wire,
)
from grebestack.protocol.platform import HandedOverJob
from grebestack.transport.http_message import HttpRequest
from grebestack.transport.server import Connection

log = logging.getLogger(__name__)


class Adoption:
    """Adopts the connections and requests whose messages carry the descriptor of a client's connection.

    An adopted request is one of the engine like any other from then on: it can be handed over again, gets a
    shorter deadline if this process stops, and is awaited by the stop.

    Parameters
    ----------
    on_adopted
        Called with the call id of each adopted request.
    on_attempt_adopted
        Called with the predecessor's key of each adopted attempt.
    """

    def __init__(
        self,
        dispatcher: RestartableDispatcher,
        on_adopted: Callable[[str], None],
        on_attempt_adopted: Callable[[str], None],
    ) -> None:
        """Start with nothing adopted."""
        self.dispatcher = dispatcher
        self.on_adopted, self.on_attempt_adopted = on_adopted, on_attempt_adopted
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
        connection = self.dispatcher.acceptor.adopt(bool(message["asked"]), bool(message["idle"]))
        self._adopt_descriptor(descriptor, connection)

    def _adopt_queued(self, descriptor: int, message: Message) -> None:
        """Adopt a request that no worker runs."""
        self._adopt_request(descriptor, request_from_wire(message), queued_job(message))

    def _adopt_in_flight(self, descriptor: int, message: Message) -> None:
        """Adopt a request that a worker runs."""
        http_request = in_flight_http_request(message)
        job = in_flight_job(message, self.dispatcher.table, self.dispatcher.clock.now_ms())
        if "attempt" in message:
            self.on_attempt_adopted(str(message["attempt"]["key"]))
        self._adopt_request(descriptor, http_request, job)

    def _adopt_request(self, descriptor: int, http_request: HttpRequest, job: HandedOverJob) -> None:
        """Open the request at once, so that its call-back is awaited, and its connection a little later."""
        connection = self.dispatcher.acceptor.adopt(True, False)
        self.dispatcher.platform_api.adopt_job(connection, http_request, job)
        self.on_adopted(http_request.headers.get(b"x-call-id", b"").decode("latin-1"))
        self._adopt_descriptor(descriptor, connection)

    def _adopt_descriptor(self, descriptor: int, connection: Connection) -> None:
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        task = self.dispatcher.loop.create_task(self._connect(sock, connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, sock: socket.socket, connection: Connection) -> None:
        try:
            await self.dispatcher.loop.connect_accepted_socket(lambda: connection, sock)
        except OSError as error:
            sock.close()
            connection.connection_lost(error)
