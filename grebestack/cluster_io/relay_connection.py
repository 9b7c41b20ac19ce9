"""One connection between a follower and a relay."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from grebestack.cluster_io.framing import FramedConnection, Traffic
from grebestack.config_distribution.messages import FORM, MOST, Said, decode
from grebestack.config_distribution.timeouts import GREET_MS


class FeedOwner(Protocol):
    """Who the connections belong to."""

    def connected(self, link: FeedLink) -> None:
        """The connection is up."""

    def heard(self, link: FeedLink, message: Said) -> None:
        """A message has come."""

    def ended(self, link: FeedLink, why: str) -> None:
        """The connection has ended; called once for each that was up."""


class FeedLink(FramedConnection):
    """Whole messages each way; `number` is what the pure part knows it by."""

    max_message_bytes, max_queued_bytes, handshake_timeout_s = MOST, 2 * MOST, GREET_MS / 1000.0

    def __init__(
        self, loop: asyncio.AbstractEventLoop, owner: FeedOwner, number: int, traffic: Traffic
    ) -> None:
        super().__init__(loop, traffic)
        self.owner, self.number = owner, number

    def on_connected(self) -> None:
        """The connection is up."""
        self.owner.connected(self)

    def on_frame(self, data: bytes, *fields: int) -> None:
        """A message has come."""
        try:
            item = decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.close(f"no message of form {FORM}: {error}")
            return
        self.complete_handshake()
        self.owner.heard(self, item)

    def on_closed(self, why: str) -> None:
        """The connection has ended."""
        self.owner.ended(self, why)
