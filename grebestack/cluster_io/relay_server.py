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
SPARE_CONNECTIONS = 256  # beyond the followers served: not subscribed yet, or being closed


class RelayServer:
    """Serves followers; `on_report` is called with each status report."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        relay: Relay,
        address: tuple[str, int],
        on_report: Callable[[StatusReport], None],
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """Begin closed; `start` listens at the address."""
        self.loop, self.relay, self.address, self.on_report, self.clock = (
            loop,
            relay,
            address,
            on_report,
            clock,
        )
        self.connections: dict[int, RelayConnection] = {}
        self.numbers = 0
        self.traffic = Traffic()
        self.server: asyncio.Server | None = None
        self.turns: ActionRunner[RelayAction] = ActionRunner(
            loop, clock, relay, self._perform, lambda: self.relay.tick(self.clock())
        )
        self.last: tuple[Message | None, bytes] = None, b""  # a push to all is encoded once
        self.performers: dict[type[RelayAction], Callable[[Any], None]] = {
            Send: self._send,
            Close: self._close,
            StatusReceived: self._forward_report,
            LogMessage: write_log,
        }

    @property
    def counts(self) -> dict[str, int]:
        """Messages and bytes each way, followers that are connected, their connections so far."""
        return self.traffic.counts() | {"links": len(self.connections), "accepted": self.numbers}

    async def start(self) -> None:
        """Listen."""
        self.server = await self.loop.create_server(self.accept, *self.address, backlog=BACKLOG)
        log.info("relay_listening", extra={"kv": {"address": ":".join(map(str, self.address))}})
        self.turns.run([])

    def stop(self) -> None:
        """End."""
        self.turns.stop()
        if self.server is not None:
            self.server.close()
        for link in list(self.connections.values()):
            link.close("stopping")

    def accept(self) -> RelayConnection:
        """A connection that a follower has made."""
        self.numbers += 1
        return RelayConnection(self.loop, self, self.numbers, self.traffic)

    def publish(self, version: Version, contents: bytes) -> None:
        """A decided version, checked: pushed at once if it is newer."""
        self.turns.run(self.relay.publish(self.clock(), version, contents))

    def on_majority_confirmed(self, at_ms: float) -> None:
        """At that instant a majority knew nothing newer than what is offered."""
        self.turns.run(self.relay.on_majority_confirmed(self.clock(), at_ms))

    # Events of the connections.

    def on_connected(self, link: RelayConnection) -> None:
        """A follower's connection is up; the follower sends the first message."""
        if self.turns.stopped or len(self.connections) >= self.relay.max_followers + SPARE_CONNECTIONS:
            link.close("too many connections")
        else:
            self.connections[link.number] = link

    def on_message(self, link: RelayConnection, message: Message) -> None:
        """A message has come."""
        if not self.turns.stopped and self.connections.get(link.number) is link:
            self.turns.run(self.relay.on_message(self.clock(), link.number, message))

    def on_closed(self, link: RelayConnection, why: str) -> None:
        """A connection has ended."""
        if self.connections.pop(link.number, None) is not None and not self.turns.stopped:
            self.turns.run(self.relay.on_disconnected(self.clock(), link.number, why))

    # Actions of the pure part.

    def _perform(self, action: RelayAction) -> None:
        self.performers[type(action)](action)

    def _send(self, action: Send) -> None:
        connection = self.connections.get(action.link)
        if connection is None:
            return
        if self.last[0] is not action.message:
            self.last = action.message, encode(action.message)
        connection.write(self.last[1])

    def _close(self, action: Close) -> None:
        connection = self.connections.pop(action.link, None)
        if connection is not None:
            connection.close_after_writing(action.why)  # a rejection may still be on its way out

    def _forward_report(self, action: StatusReceived) -> None:
        self.on_report(action.report)
