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

    def on_connected(self, connection: RelayConnection) -> None:
        """Handle the start of the connection."""

    def on_message(self, connection: RelayConnection, message: Message) -> None:
        """Handle a message."""

    def on_closed(self, connection: RelayConnection, reason: str) -> None:
        """Handle the end of the connection; called once for each that was open."""


class RelayConnection(FramedConnection):
    """Encodes and decodes frames; `link_number` names the connection to the state machine."""

    max_message_bytes, max_queued_bytes = MAX_MESSAGE_BYTES, 2 * MAX_MESSAGE_BYTES
    handshake_timeout_s = SUBSCRIBE_TIMEOUT_MS / 1000.0

    def __init__(
        self, loop: asyncio.AbstractEventLoop, owner: RelayConnectionOwner, link_number: int, traffic: Traffic
    ) -> None:
        """Create an unconnected protocol."""
        super().__init__(loop, traffic)
        self.owner, self.link_number = owner, link_number

    def on_connected(self) -> None:
        """Report the start to the owner."""
        self.owner.on_connected(self)

    def on_frame(self, data: bytes, *fields: int) -> None:
        """Decode a message and pass it to the owner."""
        try:
            message = decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.close(f"not a message of protocol version {PROTOCOL_VERSION}: {error}")
            return
        self.complete_handshake()
        self.owner.on_message(self, message)

    def on_closed(self, reason: str) -> None:
        """Report the end to the owner."""
        self.owner.on_closed(self, reason)
