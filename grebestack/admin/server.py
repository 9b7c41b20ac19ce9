"""The admin server: callback connections, none of which can delay another."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol, cast

from grebestack.admin.commands import Command, CommandResponse, LineReader, Verb

log = logging.getLogger(__name__)
MAX_CONNECTIONS = 16
LINE_TIMEOUT_S = 5.0  # from the connection to the end of its line
RESPONSE_TIMEOUT_S = 0.8  # a response is due within a second
LINGER_TIMEOUT_S = 0.5  # for a client to read its response

Respond = Callable[[CommandResponse], None]


class Operations(Protocol):
    """What commands do. Each command gets one response, at once or later."""

    def run(self, command: Command, respond: Respond) -> None:
        """Run a command; `respond` with a SUCCESS only when its effect holds."""


class AdminConnection(asyncio.Protocol):
    """One client: it sends a line, gets a response and is closed.

    States: reading (the line is incomplete), running (the response is awaited), responded (what the client
    still sends is dropped until it ends or `LINGER_TIMEOUT_S` has passed), closed.
    """

    def __init__(self, server: AdminServer) -> None:
        """Wait to be connected."""
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = LineReader()
        self.timer: asyncio.TimerHandle | None = None
        self.responded = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Await the line."""
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
        """Refuse an incomplete line; whether the transport stays open for a response."""
        if (failure := self.reader.feed_eof()) is not None:
            self.respond(failure)
        return not self.responded

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
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
        # Closing over unread bytes sends a reset, which could overtake the response: what still comes is
        # read and dropped.
        self.transport.write(response.line)
        self.transport.write_eof()
        self._set_timer(LINGER_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Close now, without a response."""
        if self.transport is not None:
            self.transport.abort()

    def _run(self, command: Command) -> None:
        self.server.on_command(self)
        self._set_timer(RESPONSE_TIMEOUT_S, self._on_response_timeout)
        try:
            self.server.operations.run(command, self.respond)
        except Exception:  # the client gets a response whatever is wrong here
            log.exception("control_fault", extra={"kv": {"call": command.verb.value}})
            self.respond(CommandResponse(False, "a fault of the dispatcher; see its log"))

    def _set_timer(self, delay_s: float, on_timeout: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server.loop.call_later(delay_s, on_timeout)

    def _on_line_timeout(self) -> None:
        self.respond(CommandResponse(False, f"no whole line within {LINE_TIMEOUT_S:g} s"))

    def _on_response_timeout(self) -> None:
        self.respond(CommandResponse(False, "not carried out in time; call again"))


class AdminServer:
    """Makes the connections and bounds their number.

    Beyond the bound, the oldest connection without a complete line is closed in favor of a new one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, operations: Operations) -> None:
        """Serve nobody yet; the instance is the protocol factory of a listener."""
        self.loop, self.operations = loop, operations
        self.connections: set[AdminConnection] = set()
        self.reading: OrderedDict[AdminConnection, None] = (
            OrderedDict()
        )  # without a complete line, oldest first

    def __call__(self) -> AdminConnection:
        """A connection for a client that is being accepted."""
        return AdminConnection(self)

    def on_connected(self, connection: AdminConnection) -> None:
        """A client has connected."""
        self.connections.add(connection)
        if len(self.connections) > MAX_CONNECTIONS:
            if not self.reading:  # all await a response, which takes less than a second
                connection.abort()
                return
            oldest, _ = self.reading.popitem(last=False)
            oldest.abort()
        self.reading[connection] = None

    def on_command(self, connection: AdminConnection) -> None:
        """A connection's line is complete."""
        self.reading.pop(connection, None)

    def on_closed(self, connection: AdminConnection) -> None:
        """A connection has ended."""
        self.connections.discard(connection)
        self.reading.pop(connection, None)

    @staticmethod
    def log_command(command: Command, response: CommandResponse) -> None:
        """Log a command and its outcome, except for `health`, which is polled."""
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
