"""Runs a relay on an event loop: its listener and its followers' connections."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from grebestack.cluster_io.action_runner import ActionRunner
from grebestack.cluster_io.framing import Traffic
from grebestack.cluster_io.relay_connection import RelayConnection
from grebestack.cluster_io.runtime import monotonic_ms, write_log
from grebestack.config_distribution.actions import Close, RelayAction, Send, StatusReceived
from grebestack.config_distribution.messages import Message, StatusReport, encode
from grebestack.config_distribution.relay import Relay
from grebestack.config_distribution.versions import Version
from grebestack.consensus.actions import LogMessage

log = logging.getLogger(__name__)
BACKLOG = 1024  # all followers of a zone may reconnect at once
SPARE_CONNECTIONS = 256  # beyond `max_followers`: not subscribed yet, or being closed


class RelayServer:
    """Serves followers. `on_report` is called with each status report."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        relay: Relay,
        address: tuple[str, int],
        on_report: Callable[[StatusReport], None],
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """Create a closed server; `start` listens at the address."""
        self.loop, self.relay, self.address, self.on_report, self.clock = (
            loop,
            relay,
            address,
            on_report,
            clock,
        )
        self.connections: dict[int, RelayConnection] = {}
        self.last_link_number = 0
        self.traffic = Traffic()
        self.server: asyncio.Server | None = None
        self.action_runner: ActionRunner[RelayAction] = ActionRunner(
            loop, clock, relay, self._carry_out, lambda: self.relay.tick(self.clock())
        )
        self.last_encoded: tuple[Message | None, bytes] = None, b""  # so that a push to all is encoded once
        self.action_handlers: dict[type[RelayAction], Callable[[Any], None]] = {
            Send: self._send,
            Close: self._close,
            StatusReceived: self._forward_report,
            LogMessage: write_log,
        }

    @property
    def counts(self) -> dict[str, int]:
        """Messages and bytes each way, open connections, and connections accepted so far."""
        return self.traffic.counts() | {"links": len(self.connections), "accepted": self.last_link_number}

    async def start(self) -> None:
        """Listen."""
        self.server = await self.loop.create_server(self.accept, *self.address, backlog=BACKLOG)
        log.info("relay_listening", extra={"kv": {"address": ":".join(map(str, self.address))}})
        self.action_runner.run([])

    def stop(self) -> None:
        """Close the listener and all connections; carry out no more actions."""
        self.action_runner.stop()
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections.values()):
            connection.close("stopping")

    def accept(self) -> RelayConnection:
        """Return the protocol for a connection that a follower has opened."""
        self.last_link_number += 1
        return RelayConnection(self.loop, self, self.last_link_number, self.traffic)

    def publish(self, version: Version, contents: bytes) -> None:
        """Offer a decided, validated version; it is pushed at once if it is newer."""
        self.action_runner.run(self.relay.publish(self.clock(), version, contents))

    def on_majority_confirmed(self, at_ms: float) -> None:
        """Note that at this time a majority of voters knew of nothing newer than the offered version."""
        self.action_runner.run(self.relay.on_majority_confirmed(self.clock(), at_ms))

    # Events of the connections.

    def on_connected(self, connection: RelayConnection) -> None:
        """Handle the start of a follower's connection; the follower sends the first message."""
        if (
            self.action_runner.stopped
            or len(self.connections) >= self.relay.max_followers + SPARE_CONNECTIONS
        ):
            connection.close("too many connections")
        else:
            self.connections[connection.link_number] = connection

    def on_message(self, connection: RelayConnection, message: Message) -> None:
        """Handle a message."""
        if not self.action_runner.stopped and self.connections.get(connection.link_number) is connection:
            self.action_runner.run(self.relay.on_message(self.clock(), connection.link_number, message))

    def on_closed(self, connection: RelayConnection, reason: str) -> None:
        """Handle the end of a connection."""
        if self.connections.pop(connection.link_number, None) is not None and not self.action_runner.stopped:
            self.action_runner.run(self.relay.on_disconnected(self.clock(), connection.link_number, reason))

    # Actions of the relay's state machine.

    def _carry_out(self, action: RelayAction) -> None:
        self.action_handlers[type(action)](action)

    def _send(self, action: Send) -> None:
        connection = self.connections.get(action.link)
        if connection is None:
            return
        if self.last_encoded[0] is not action.message:
            self.last_encoded = action.message, encode(action.message)
        connection.write(self.last_encoded[1])

    def _close(self, action: Close) -> None:
        connection = self.connections.pop(action.link, None)
        if connection is not None:
            connection.close_after_writing(action.why)  # a rejection may still be in the write buffer

    def _forward_report(self, action: StatusReceived) -> None:
        self.on_report(action.report)
