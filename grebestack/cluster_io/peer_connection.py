"""Connections between two members, and the dialler that keeps one open."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Protocol

import msgspec

from grebestack.cluster_io.framing import ConnectionAttempt, FramedConnection
from grebestack.consensus.messages import (
    MAX_MESSAGE_BYTES,
    PROTOCOL_VERSION,
    Handshake,
    Message,
    decode_message,
    encode,
)

HEADER = struct.Struct(">IQ")  # length of the message in bytes, and the last log record the sender reports
MAX_QUEUED_BYTES = 4 * MAX_MESSAGE_BYTES
HANDSHAKE_TIMEOUT_S = 0.7


class PeerConnectionOwner(Protocol):
    """The owner of connections to members."""

    def handshake(self) -> Handshake:
        """Return the first message to send."""

    def reported_record(self) -> int:
        """Return the last log record to report with a message."""

    def on_handshake(self, connection: PeerConnection, handshake: Handshake) -> str:
        """Handle the other end's handshake; return why it is rejected, or an empty text."""

    def on_message(self, connection: PeerConnection, last_record: int, message: Message) -> None:
        """Handle a message, with the last log record that the other end reports."""

    def on_closed(self, connection: PeerConnection, reason: str) -> None:
        """Handle the end of the connection; called once for each that was up."""


class PeerConnection(FramedConnection):
    """One connection to a member.

    Parameters
    ----------
    expected_peer
        The member that was dialled; empty for a connection that was accepted.
    """

    header = HEADER
    max_message_bytes, max_queued_bytes = MAX_MESSAGE_BYTES, MAX_QUEUED_BYTES
    handshake_timeout_s = HANDSHAKE_TIMEOUT_S

    def __init__(
        self, loop: asyncio.AbstractEventLoop, owner: PeerConnectionOwner, expected_peer: str = ""
    ) -> None:
        """Create an unconnected protocol; the handshake comes first."""
        super().__init__(loop)
        self.owner, self.expected_peer = owner, expected_peer
        self.peer = ""  # the member at the other end, once its handshake is accepted

    def on_connected(self) -> None:
        """Send the handshake."""
        self.send(self.owner.handshake())

    def send(self, message: Message) -> None:
        """Send a message; the connection is closed if the other end does not read."""
        self.write(encode(message), self.owner.reported_record())

    def on_frame(self, data: bytes, *fields: int) -> None:
        """Handle a message; the first must be a handshake."""
        try:
            message = decode_message(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.close(f"not a message of protocol version {PROTOCOL_VERSION}: {error}")
            return
        if self.peer:
            self.owner.on_message(self, fields[0], message)
        elif not isinstance(message, Handshake):
            self.close("its first message is not a handshake")
        elif self.expected_peer and message.name != self.expected_peer:
            self.close(f"{message.name} answers where {self.expected_peer} should")
        elif reason := self.owner.on_handshake(self, message):
            self.close(reason)

    def accept_peer(self, peer: str) -> None:
        """Accept the other end as the member `peer`."""
        self.peer = peer
        self.complete_handshake()

    def on_closed(self, reason: str) -> None:
        """Report the end to the owner."""
        self.owner.on_closed(self, reason)


class Dialler:
    """Keeps one connection to a member open.

    Parameters
    ----------
    backoff_s
        Returns the seconds before the next attempt, given the number of failed ones.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        owner: PeerConnectionOwner,
        name: str,
        address: tuple[str, int],
        backoff_s: Callable[[int], float],
    ) -> None:
        """Create the dialler; `dial` opens the first connection."""
        self.loop, self.owner, self.name, self.address = loop, owner, name, address
        self.backoff_s = backoff_s
        self.failures = 0
        self.connection: PeerConnection | None = None
        self.attempt: ConnectionAttempt | None = None
        self.stopped = False

    def dial(self) -> None:
        """Open a connection if there is none."""
        if not self.stopped and self.connection is None:
            self.connection = connection = PeerConnection(self.loop, self.owner, self.name)
            self.attempt = ConnectionAttempt(
                self.loop, connection, self.address, lambda reason: self._on_failed(connection)
            )

    def _on_failed(self, connection: PeerConnection) -> None:
        if self.connection is connection:
            self.on_closed()

    def on_closed(self) -> None:
        """Handle the end of the connection: dial again after a backoff."""
        self.connection = None
        self.failures += 1
        self.loop.call_later(self.backoff_s(self.failures), self.dial)

    def stop(self) -> None:
        """Close the connection and dial no more."""
        self.stopped = True
        if self.connection is not None:
            self.connection.close("stopping")
