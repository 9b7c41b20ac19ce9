"""One connection between two members: whole messages each way, in bounded memory."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Protocol, cast

import msgspec

from grebestack.fleet.messages import MOST, VERSION, Hello, Message, encode, message

HEAD = struct.Struct(">IQ")  # length of the message, and how far the sender's disk has come
MOST_QUEUED = 4 * MOST  # bytes that the other end has not read
GREET_S = 0.7  # who it is must be said by then


class Owner(Protocol):
    """Who the connections belong to."""

    def greeting(self) -> Hello:
        """What is said first."""

    def told(self) -> int:
        """How far this member's disk has come."""

    def greeted(self, link: Link, hello: Hello) -> str:
        """The other end says who it is; why it is not wanted, or nothing."""

    def heard(self, link: Link, last: int, message: Message) -> None:
        """A message has come."""

    def ended(self, link: Link, why: str) -> None:
        """The connection has ended; called once for each that was made."""


class Link(asyncio.Protocol):
    """States: greeting (both say who they are), open, closed."""

    def __init__(self, loop: asyncio.AbstractEventLoop, owner: Owner, expects: str = "") -> None:
        self.loop, self.owner, self.expects = loop, owner, expects
        self.transport: asyncio.Transport | None = None
        self.peer = ""  # who is at the other end, once it has said so
        self.rest = b""
        self.why = ""
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = self.loop.call_later(GREET_S, self.close, "it did not say who it is")
        self.send(self.owner.greeting())

    def send(self, item: Message) -> None:
        """Say something; a peer that does not read is cut off."""
        if self.transport is None or self.transport.is_closing():
            return
        data = encode(item)
        if len(data) > MOST:
            self.close(f"a message of {len(data)} bytes; allowed: {MOST}")
            return
        if self.transport.get_write_buffer_size() + len(data) > MOST_QUEUED:
            self.close("it does not read")
            return
        self.transport.write(HEAD.pack(len(data), self.owner.told()) + data)

    def data_received(self, data: bytes) -> None:
        data = self.rest + data
        at = 0
        while self.transport is not None and len(data) - at >= HEAD.size:
            length, last = HEAD.unpack_from(data, at)
            if length > MOST:
                self.close(f"a message of {length} bytes; allowed: {MOST}")
                return
            begin = at + HEAD.size
            if len(data) - begin < length:
                break
            at = begin + length
            self._whole(data[begin:at], last)
        self.rest = data[at:]

    def _whole(self, data: bytes, last: int) -> None:
        try:
            item = message(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.close(f"no message of version {VERSION}: {error}")
            return
        if self.peer:
            self.owner.heard(self, last, item)
        elif not isinstance(item, Hello):
            self.close("it did not say who it is first")
        elif self.expects and item.name != self.expects:
            self.close(f"{item.name} answers where {self.expects} should")
        elif why := self.owner.greeted(self, item):
            self.close(why)

    def open(self, peer: str) -> None:
        """The other end is who it should be."""
        self.peer = peer
        if self.timer is not None:
            self.timer.cancel()

    def close(self, why: str) -> None:
        """End it now."""
        self.why = self.why or why
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.owner.ended(self, self.why or (str(exc) if exc else "it has ended"))


class Dialler:
    """Keeps one connection to a member that this one calls; pauses between tries are drawn and bounded."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, owner: Owner, name: str, address: tuple[str, int],
        pause: Callable[[int], float],
    ) -> None:
        self.loop, self.owner, self.name, self.address, self.pause = loop, owner, name, address, pause
        self.tries = 0
        self.link: Link | None = None
        self.stopped = False
        self.task: asyncio.Task[None] | None = None

    def dial(self) -> None:
        """Call it."""
        if not self.stopped and self.link is None:
            self.task = self.loop.create_task(self._open())

    async def _open(self) -> None:
        link = Link(self.loop, self.owner, self.name)
        self.link = link
        try:
            async with asyncio.timeout(1.0):
                await self.loop.create_connection(lambda: link, *self.address)
        except (OSError, TimeoutError):
            if self.link is link:
                self.ended()

    def ended(self) -> None:
        """There is no connection now; another try follows."""
        self.link = None
        self.tries += 1
        self.loop.call_later(self.pause(self.tries), self.dial)

    def stop(self) -> None:
        """No more calls."""
        self.stopped = True
        if self.link is not None:
            self.link.close("stopping")
