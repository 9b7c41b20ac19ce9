"""The admin server. Its connections are event-driven, so that none can delay another."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol, cast

from grebestack.admin.commands import Command, CommandResponse, LineReader, Verb

log = logging.getLogger(__name__)
MAX_CONNECTIONS = 16
LINE_TIMEOUT_S = 5.0  # from the connection to the end of the line
RESPONSE_TIMEOUT_S = 0.8  # a response must be sent within a second
LINGER_TIMEOUT_S = 0.5  # for the client to read its response

Respond = Callable[[CommandResponse], None]


class Operations(Protocol):
    """Runs commands. Each command gets one response, immediately or later."""

    def run(self, command: Command, respond: Respond) -> None:
        """Run a command; call `respond` with SUCCESS only once its effect holds."""


class AdminConnection(asyncio.Protocol):
    """One client connection: receives a line, sends a response and closes.

    States: reading (the line is incomplete), running (waiting for the response), responded (further data is
    discarded until the client closes or `LINGER_TIMEOUT_S` has passed), closed.
    """

    def __init__(self, server: AdminServer) -> None:
        """Create the protocol of a connection that is being accepted."""
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = LineReader()
        self.timer: asyncio.TimerHandle | None = None
        self.responded = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout for the line."""
        self.transport = cast(asyncio.Transport, transport)
        self._set_timer(LINE_TIMEOUT_S, self._on_line_timeout)
        self.server.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Run the command once its line is complete."""
        result = self.reader.feed(data)
        if isinstance(result, CommandResponse):
            self.respond(result)
        elif result is not None:
            self._run(result)

    def eof_received(self) -> bool:
        """Reject an incomplete line; return whether the transport stays open for a response."""
        if (failure := self.reader.feed_eof()) is not None:
            self.respond(failure)
        return not self.responded

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer and unregister the connection."""
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.server.on_closed(self)

    def respond(self, response: CommandResponse) -> None:
        """Send a response and close; only the first response counts."""
        if self.responded:
            return
        self.responded = True
        if isinstance(self.reader.result, Command):
            self.server.log_command(self.reader.result, response)
        if self.transport is None:
            return
        # Closing with unread data sends a reset, which could discard the response at the client, so further
        # data is read and discarded.
        self.transport.write(response.line)
        self.transport.write_eof()
        self._set_timer(LINGER_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Close immediately, without a response."""
        if self.transport is not None:
            self.transport.abort()

    def _run(self, command: Command) -> None:
        self.server.on_command(self)
        self._set_timer(RESPONSE_TIMEOUT_S, self._on_response_timeout)
        try:
            self.server.operations.run(command, self.respond)
        except Exception:  # the client gets a response even if the command fails unexpectedly
            log.exception("control_fault", extra={"kv": {"call": command.verb.value}})
            self.respond(CommandResponse(False, "internal error of the dispatcher; see its log"))

    def _set_timer(self, delay_s: float, on_timeout: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server.loop.call_later(delay_s, on_timeout)

    def _on_line_timeout(self) -> None:
        self.respond(CommandResponse(False, f"no complete line within {LINE_TIMEOUT_S:g} s"))

    def _on_response_timeout(self) -> None:
        self.respond(CommandResponse(False, "not completed in time; call again"))


class AdminServer:
    """Creates the connections and limits their number.

    Beyond the limit, a new connection replaces the oldest one without a complete line.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, operations: Operations) -> None:
        """Create the server; the instance is the protocol factory of a listener."""
        self.loop, self.operations = loop, operations
        self.connections: set[AdminConnection] = set()
        # The connections without a complete line, oldest first.
        self.reading: OrderedDict[AdminConnection, None] = OrderedDict()

    def __call__(self) -> AdminConnection:
        """Return the protocol for a client that is being accepted."""
        return AdminConnection(self)

    def on_connected(self, connection: AdminConnection) -> None:
        """Register a connection, closing one if there are too many."""
        self.connections.add(connection)
        if len(self.connections) > MAX_CONNECTIONS:
            if not self.reading:  # all are waiting for a response, which takes less than a second
                connection.abort()
                return
            oldest, _ = self.reading.popitem(last=False)
            oldest.abort()
        self.reading[connection] = None

    def on_command(self, connection: AdminConnection) -> None:
        """Note that the line of a connection is complete."""
        self.reading.pop(connection, None)

    def on_closed(self, connection: AdminConnection) -> None:
        """Unregister a connection."""
        self.connections.discard(connection)
        self.reading.pop(connection, None)

    @staticmethod
    def log_command(command: Command, response: CommandResponse) -> None:
        """Log a command and its outcome, except `health`, which is polled."""
        if command.verb is Verb.HEALTH:
            return
        kv: dict[str, object] = {
            "call": command.verb.value,
            "done": response.succeeded,
            "answer": response.text,
        }
        if command.target:
            kv["server"] = command.target
        log.info("control", extra={"kv": kv})
