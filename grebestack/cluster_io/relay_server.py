"""A relay as it runs: the pure relay, its listener, its followers' connections and the loop's time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from grebestack.cluster_io.action_runner import Turns
from grebestack.cluster_io.framing import Traffic
from grebestack.cluster_io.relay_connection import RelayConnection
from grebestack.cluster_io.runtime import monotonic_ms, tell
from grebestack.config_distribution.actions import Close, RelayAction, Send, StatusReceived
from grebestack.config_distribution.messages import Message, StatusReport, encode
from grebestack.config_distribution.relay import Relay
from grebestack.config_distribution.versions import Version

log = logging.getLogger(__name__)
BACKLOG = 1024  # a zone's followers that come back at the same moment
GREETING = 256  # connections beyond those served, which have not said yet who they are or go again


class RelayServer:
    """Serves followers. `gathered` is told the relay's word on them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        relay: Relay,
        address: tuple[str, int],
        gathered: Callable[[StatusReport], None],
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        self.loop, self.relay, self.address, self.gathered, self.clock = loop, relay, address, gathered, clock
        self.links: dict[int, RelayConnection] = {}
        self.numbers = 0
        self.traffic = Traffic()
        self.server: asyncio.Server | None = None
        self.turns: Turns[RelayAction] = Turns(
            loop, clock, relay, self._do, lambda: self.relay.tick(self.clock())
        )
        self.last: tuple[Message | None, bytes] = None, b""  # a push to all is encoded once

    @property
    def counts(self) -> dict[str, int]:
        """Messages and bytes each way, followers that are connected, their connections so far."""
        return self.traffic.counts() | {"links": len(self.links), "accepted": self.numbers}

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
        for link in list(self.links.values()):
            link.close("stopping")

    def accept(self) -> RelayConnection:
        """A connection that a follower has made."""
        self.numbers += 1
        return RelayConnection(self.loop, self, self.numbers, self.traffic)

    def offer(self, version: Version, contents: bytes) -> None:
        """A decided version, checked: pushed at once if it is newer."""
        self.turns.run(self.relay.offer(self.clock(), version, contents))

    def confirmed(self, at_ms: float) -> None:
        """At that instant a majority knew nothing newer than what is offered."""
        self.turns.run(self.relay.confirmed(self.clock(), at_ms))

    # The links' owner.

    def connected(self, link: RelayConnection) -> None:
        """A follower's connection is up; it speaks first."""
        if self.turns.stopped or len(self.links) >= self.relay.most + GREETING:
            link.close("too many connections")
        else:
            self.links[link.number] = link

    def heard(self, link: RelayConnection, message: Message) -> None:
        """A message has come."""
        if not self.turns.stopped and self.links.get(link.number) is link:
            self.turns.run(self.relay.heard(self.clock(), link.number, message))

    def ended(self, link: RelayConnection, why: str) -> None:
        """A connection has ended."""
        if self.links.pop(link.number, None) is not None and not self.turns.stopped:
            self.turns.run(self.relay.lost(self.clock(), link.number, why))

    def _do(self, action: RelayAction) -> None:
        if isinstance(action, Send):
            if (link := self.links.get(action.link)) is not None:
                if self.last[0] is not action.message:
                    self.last = action.message, encode(action.message)
                link.write(self.last[1])
        elif isinstance(action, Close):
            if (link := self.links.pop(action.link, None)) is not None:
                link.leave(action.why)  # it may have just been told why
        elif isinstance(action, StatusReceived):
            self.gathered(action.tally)
        else:
            tell(action)
