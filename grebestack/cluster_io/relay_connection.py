"""One connection between a follower and a relay."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from grebestack.cluster_io.framing import FramedConnection, Traffic
from grebestack.config_distribution.messages import MAX_MESSAGE_BYTES, PROTOCOL_VERSION, Message, decode
from grebestack.config_distribution.timeouts import SUBSCRIBE_TIMEOUT_MS


class RelayConnectionOwner(Protocol):
    """Handles the events of connections."""

    def on_connected(self, link: RelayConnection) -> None:
        """The connection is up."""

    def on_message(self, link: RelayConnection, message: Message) -> None:
        """A message has come."""

    def on_closed(self, link: RelayConnection, why: str) -> None:
        """The connection has ended; called once for each that was up."""


class RelayConnection(FramedConnection):
    """Frames and decodes messages; `number` is the link number of the pure part."""

    max_message_bytes, max_queued_bytes = MAX_MESSAGE_BYTES, 2 * MAX_MESSAGE_BYTES
    handshake_timeout_s = SUBSCRIBE_TIMEOUT_MS / 1000.0

    def __init__(
        self, loop: asyncio.AbstractEventLoop, owner: RelayConnectionOwner, number: int, traffic: Traffic
    ) -> None:
        """Begin unconnected."""
        super().__init__(loop, traffic)
        self.owner, self.number = owner, number

    def on_connected(self) -> None:
        """The connection is up."""
        self.owner.on_connected(self)

    def on_frame(self, data: bytes, *fields: int) -> None:
        """A message has come."""
        try:
            message = decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.close(f"no message of form {PROTOCOL_VERSION}: {error}")
            return
        self.complete_handshake()
        self.owner.on_message(self, message)

    def on_closed(self, why: str) -> None:
        """The connection has ended."""
        self.owner.on_closed(self, why)
