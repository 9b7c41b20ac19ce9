"""Connections that carry framed messages, in bounded memory: the base of all connections in a cluster.

A frame is a header, whose first field is the message's length in bytes, and the message.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import ClassVar, cast

CONNECT_TIMEOUT_S = 1.0


class Traffic:
    """Messages and bytes each way, headers included, of one connection or of several that share it."""

    def __init__(self) -> None:
        """Start all counters at zero."""
        self.messages_in = self.messages_out = self.bytes_in = self.bytes_out = 0

    def counts(self) -> dict[str, int]:
        """Return the counters by name; they only grow."""
        return {
            "messages_in": self.messages_in,
            "messages_out": self.messages_out,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }


class FramedConnection(asyncio.Protocol):
    """One connection. It is closed if the handshake takes too long or the other end does not read.

    States: handshake, open (from `complete_handshake` on), closed. Subclasses implement `on_connected`,
    `on_frame` and `on_closed`.
    """

    header: ClassVar[struct.Struct] = struct.Struct(">I")
    max_message_bytes: int  # without the header
    max_queued_bytes: int  # that the other end has not read yet
    handshake_timeout_s: float = 0.7

    def __init__(self, loop: asyncio.AbstractEventLoop, traffic: Traffic | None = None) -> None:
        """Create an unconnected protocol; the loop calls `connection_made`."""
        self.loop, self.traffic = loop, traffic or Traffic()
        self.transport: asyncio.Transport | None = None
        self.unparsed = b""
        self.close_reason = ""
        self.timer: asyncio.TimerHandle | None = None

    def on_connected(self) -> None:
        """Handle the start of the connection."""

    def on_frame(self, data: bytes, *fields: int) -> None:
        """Handle a message, with the fields of its header that follow the length."""
        raise NotImplementedError

    def on_closed(self, reason: str) -> None:
        """Handle the end of the connection; called once for each that was up."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake's timeout (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        if self.close_reason:  # closed while it was being opened
            self.transport.abort()
            return
        self.timer = self.loop.call_later(self.handshake_timeout_s, self.close, "no handshake in time")
        self.on_connected()

    def complete_handshake(self) -> None:
        """Note that the other end has identified itself."""
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def write(self, data: bytes, *fields: int) -> None:
        """Send a message; the connection is closed if the other end does not read."""
        if self.transport is None or self.transport.is_closing():
            return
        if len(data) > self.max_message_bytes:
            self.close(f"a message of {len(data)} bytes; allowed: {self.max_message_bytes}")
            return
        if self.transport.get_write_buffer_size() + len(data) > self.max_queued_bytes:
            self.close("it does not read")
            return
        self.traffic.messages_out += 1
        self.traffic.bytes_out += self.header.size + len(data)
        self.transport.write(self.header.pack(len(data), *fields) + data)

    def data_received(self, data: bytes) -> None:
        """Handle all messages that are complete (asyncio)."""
        self.traffic.bytes_in += len(data)
        if self.close_reason:  # closing: drop what still arrives
            self.unparsed = b""
            return
        data = self.unparsed + data
        offset, header_size = 0, self.header.size
        while self.transport is not None and not self.close_reason and len(data) - offset >= header_size:
            length, *fields = self.header.unpack_from(data, offset)
            if length > self.max_message_bytes:
                self.close(f"a message of {length} bytes; allowed: {self.max_message_bytes}")
                return
            start = offset + header_size
            if len(data) - start < length:
                break
            offset = start + length
            self.traffic.messages_in += 1
            self.on_frame(data[start:offset], *fields)
        self.unparsed = data[offset:]

    def close(self, reason: str) -> None:
        """Close the connection at once; the first reason given is kept."""
        self.close_reason = self.close_reason or reason
        if self.transport is not None:
            self.transport.abort()

    def close_after_writing(self, reason: str) -> None:
        """Close the connection once all is sent, or after `handshake_timeout_s` at the latest."""
        self.close_reason = self.close_reason or reason
        if self.transport is not None:
            self.transport.close()
            self._cancel_timer()
            self.timer = self.loop.call_later(self.handshake_timeout_s, self.close, reason)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection (asyncio)."""
        self.transport = None
        self._cancel_timer()
        self.on_closed(self.close_reason or (str(exc) if exc else "connection closed"))


class ConnectionAttempt:
    """One attempt to open a connection, in a task of its own.

    Parameters
    ----------
    on_failed
        Called with the reason if there is no connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol: FramedConnection,
        address: tuple[str, int],
        on_failed: Callable[[str], None],
    ) -> None:
        """Start the attempt."""
        self.loop, self.protocol, self.address, self.on_failed = loop, protocol, address, on_failed
        self.task = loop.create_task(self._open())

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: self.protocol, *self.address)
        except (OSError, TimeoutError) as error:
            # A connection that opened just before the timeout reports its own end.
            if self.protocol.transport is None and not self.protocol.close_reason:
                self.on_failed(str(error) or f"no connection within {CONNECT_TIMEOUT_S:g} s")
