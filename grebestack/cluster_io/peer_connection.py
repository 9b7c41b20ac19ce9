"""One connection between two members: whole messages each way, in bounded memory."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Protocol

import msgspec

from grebestack.cluster_io.framing import Frames, Opening
from grebestack.consensus.messages import MOST, VERSION, Hello, Message, encode, message

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


class Link(Frames):
    """States: greeting (both say who they are), open, closed."""

    head = HEAD
    most, most_queued, greet_s = MOST, MOST_QUEUED, GREET_S

    def __init__(self, loop: asyncio.AbstractEventLoop, owner: Owner, expects: str = "") -> None:
        super().__init__(loop)
        self.owner, self.expects = owner, expects
        self.peer = ""  # who is at the other end, once it has said so

    def begin(self) -> None:
        """Say who this member is."""
        self.send(self.owner.greeting())

    def send(self, item: Message) -> None:
        """Say something; a peer that does not read is cut off."""
        self.write(encode(item), self.owner.told())

    def whole(self, data: bytes, *fields: int) -> None:
        """A message has come."""
        try:
            item = message(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.close(f"no message of version {VERSION}: {error}")
            return
        if self.peer:
            self.owner.heard(self, fields[0], item)
        elif not isinstance(item, Hello):
            self.close("it did not say who it is first")
        elif self.expects and item.name != self.expects:
            self.close(f"{item.name} answers where {self.expects} should")
        elif why := self.owner.greeted(self, item):
            self.close(why)

    def open(self, peer: str) -> None:
        """The other end is who it should be."""
        self.peer = peer
        self.welcome()

    def over(self, why: str) -> None:
        """The connection has ended."""
        self.owner.ended(self, why)


class Dialler:
    """Keeps one connection to a member that this one calls; pauses between tries are drawn and bounded."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        owner: Owner,
        name: str,
        address: tuple[str, int],
        pause: Callable[[int], float],
    ) -> None:
        self.loop, self.owner, self.name, self.address, self.pause = loop, owner, name, address, pause
        self.tries = 0
        self.link: Link | None = None
        self.stopped = False
        self.opening: Opening | None = None

    def dial(self) -> None:
        """Call it."""
        if not self.stopped and self.link is None:
            self.link = link = Link(self.loop, self.owner, self.name)
            self.opening = Opening(self.loop, link, self.address, lambda why: self._failed(link))

    def _failed(self, link: Link) -> None:
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
