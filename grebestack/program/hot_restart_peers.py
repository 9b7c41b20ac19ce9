"""The channels to the other processes of a hot restart, by the state machine's peer numbers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence

from grebestack.hot_restart.channel import Channel
from grebestack.hot_restart.messages import Message


class PeerChannels:
    """Assigns numbers to peers. `on_message` and `on_lost` are called with a peer's number."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_message: Callable[[int, Message, list[int]], None],
        on_lost: Callable[[int, str], None],
    ) -> None:
        """Start without peers."""
        self.loop, self.on_message, self.on_lost = loop, on_message, on_lost
        self.by_peer: dict[int, Channel] = {}
        self.last_peer = 0

    def __contains__(self, peer: int) -> bool:
        """Whether there is a channel to a peer."""
        return peer in self.by_peer

    def add(self, sock: socket.socket) -> int:
        """Open a channel on a connected socket; returns the number of the new peer."""
        self.last_peer += 1
        peer = self.last_peer

        def on_message(_: Channel, message: Message, descriptors: list[int]) -> None:
            self.on_message(peer, message, descriptors)

        def on_lost(_: Channel, reason: str) -> None:
            del self.by_peer[peer]
            self.on_lost(peer, reason)

        self.by_peer[peer] = Channel(self.loop, sock, on_message, on_lost)
        return peer

    def send(self, peer: int, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send a message. If the peer is gone it is dropped, or with descriptors raises KeyError."""
        if descriptors:
            self.by_peer[peer].send(message, descriptors)
        elif peer in self.by_peer:
            self.by_peer[peer].send(message)

    def disconnect(self, peer: int) -> None:
        """Close the channel to a peer; `on_lost` is not called."""
        if (channel := self.by_peer.pop(peer, None)) is not None:
            channel.close()
