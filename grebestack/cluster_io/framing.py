"""Whole messages each way over one connection, in bounded memory: what all of a fleet's have in common.

A message is a head, whose first field is the message's length in bytes, and so many bytes.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import ClassVar, cast

OPEN_S = 1.0  # a connection is up by then


class Traffic:
    """Messages and bytes each way, heads included: of one connection, or of all that share it."""

    def __init__(self) -> None:
        self.messages_in = self.messages_out = self.bytes_in = self.bytes_out = 0

    def counts(self) -> dict[str, int]:
        """The counts by name; they only grow."""
        return {
            "messages_in": self.messages_in,
            "messages_out": self.messages_out,
            "bytes_in": self.bytes_in,
            "bytes_out": self.bytes_out,
        }


class Frames(asyncio.Protocol):
    """One connection. Both say who they are within `greet_s`, else it ends; who does not read is cut off.

    States: greeting, open (from `welcome` on), closed. Subclasses say what is said first (`begin`), take
    whole messages (`whole`) and hear of the end once (`over`).
    """

    head: ClassVar[struct.Struct] = struct.Struct(">I")
    most: int  # bytes of a message, its head not counted
    most_queued: int  # bytes that the other end has not read
    greet_s: float = 0.7  # who it is must be said by then

    def __init__(self, loop: asyncio.AbstractEventLoop, traffic: Traffic | None = None) -> None:
        self.loop, self.traffic = loop, traffic or Traffic()
        self.transport: asyncio.Transport | None = None
        self.rest = b""
        self.why = ""
        self.timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """The connection is up."""

    def whole(self, data: bytes, *fields: int) -> None:
        """A message has come, with the fields of its head that follow the length."""
        raise NotImplementedError

    def over(self, why: str) -> None:
        """The connection has ended; called once for each that was made."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.why:  # it was given up while it was being opened
            self.transport.abort()
            return
        self.timer = self.loop.call_later(self.greet_s, self.close, "it did not say who it is")
        self.begin()

    def welcome(self) -> None:
        """The other end is who it should be."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def write(self, data: bytes, *fields: int) -> None:
        """Say something; a peer that does not read is cut off."""
        if self.transport is None or self.transport.is_closing():
            return
        if len(data) > self.most:
            self.close(f"a message of {len(data)} bytes; allowed: {self.most}")
            return
        if self.transport.get_write_buffer_size() + len(data) > self.most_queued:
            self.close("it does not read")
            return
        self.traffic.messages_out += 1
        self.traffic.bytes_out += self.head.size + len(data)
        self.transport.write(self.head.pack(len(data), *fields) + data)

    def data_received(self, data: bytes) -> None:
        self.traffic.bytes_in += len(data)
        if self.why:  # it is ending: nothing more is read, or kept
            self.rest = b""
            return
        data = self.rest + data
        at, size = 0, self.head.size
        while self.transport is not None and not self.why and len(data) - at >= size:
            length, *fields = self.head.unpack_from(data, at)
            if length > self.most:
                self.close(f"a message of {length} bytes; allowed: {self.most}")
                return
            begin = at + size
            if len(data) - begin < length:
                break
            at = begin + length
            self.traffic.messages_in += 1
            self.whole(data[begin:at], *fields)
        self.rest = data[at:]

    def close(self, why: str) -> None:
        """End it now; the first reason stays."""
        self.why = self.why or why
        if self.transport is not None:
            self.transport.abort()

    def leave(self, why: str) -> None:
        """End it once what was said has left, or after `greet_s` at the latest."""
        self.why = self.why or why
        if self.transport is not None:
            self.transport.close()
            self.welcome()
            self.timer = self.loop.call_later(self.greet_s, self.close, why)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.over(self.why or (str(exc) if exc else "it has ended"))


class Opening:
    """One try to open a connection, the only task it ever has; `failed` is told why there is none."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol: Frames,
        address: tuple[str, int],
        failed: Callable[[str], None],
    ) -> None:
        self.loop, self.protocol, self.address, self.failed = loop, protocol, address, failed
        self.task = loop.create_task(self._open())

    async def _open(self) -> None:
        try:
            async with asyncio.timeout(OPEN_S):
                await self.loop.create_connection(lambda: self.protocol, *self.address)
        except (OSError, TimeoutError) as error:
            # One that came up at the last moment ends by itself, and says so as connections do.
            if self.protocol.transport is None and not self.protocol.why:
                self.failed(str(error) or f"no connection within {OPEN_S:g} s")
