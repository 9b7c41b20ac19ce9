"""The channels to the other processes of a hot restart, by the state machine's peer numbers."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Sequence
from typing import Protocol

from grebestack.hot_restart.channel import Channel
from grebestack.hot_restart.messages import Message, message_type

log = logging.getLogger(__name__)


class PeerHandler(Protocol):
    """Receives what happens on the channels; see `ChannelHandler`."""

    def on_peer_message(self, peer: int, message: Message, descriptors: list[int]) -> None:
        """A peer has sent a message."""

    def on_peer_drained(self, peer: int) -> None:
        """A peer has been written all that had to wait."""

    def on_peer_lost(self, peer: int, reason: str) -> None:
        """The channel to a peer has closed."""

    def on_unsent(self, message: Message, descriptors: Sequence[int]) -> None:
        """A message was not written before its channel closed."""


class PeerChannel:
    """Passes the events of one channel on, with the number of its peer."""

    def __init__(self, channels: PeerChannels, peer: int) -> None:
        """Pass on the events of the channel to `peer`."""
        self.channels, self.peer = channels, peer

    def on_message(self, message: Message, descriptors: list[int]) -> None:
        """Pass a message on."""
        self.channels.handler.on_peer_message(self.peer, message, descriptors)

    def on_drained(self) -> None:
        """Pass on that nothing waits any more."""
        self.channels.handler.on_peer_drained(self.peer)

    def on_lost(self, reason: str) -> None:
        """Forget the channel and pass on that it has closed."""
        del self.channels.by_peer[self.peer]
        self.channels.handler.on_peer_lost(self.peer, reason)

    def on_unsent(self, message: Message, descriptors: Sequence[int]) -> None:
        """Pass on what was not written."""
        self.channels.handler.on_unsent(message, descriptors)


class PeerChannels:
    """Assigns numbers to peers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, handler: PeerHandler) -> None:
        """Start without peers."""
        self.loop, self.handler = loop, handler
        self.by_peer: dict[int, Channel] = {}
        self.last_peer = 0

    def __contains__(self, peer: int) -> bool:
        """Whether there is a channel to a peer."""
        return peer in self.by_peer

    def is_idle(self, peer: int) -> bool:
        """Whether there is a channel to a peer and nothing waits to be written to it."""
        channel = self.by_peer.get(peer)
        return channel is not None and channel.is_idle

    def add(self, sock: socket.socket) -> int:
        """Open a channel on a connected socket; returns the number of the new peer."""
        self.last_peer += 1
        self.by_peer[self.last_peer] = Channel(self.loop, sock, PeerChannel(self, self.last_peer))
        return self.last_peer

    def send(self, peer: int, message: Message) -> None:
        """Send a message; it is dropped if the peer is gone, or has not read for long.

        Whoever waits for a response has a timeout.
        """
        channel = self.by_peer.get(peer)
        if channel is None:
            return
        if channel.is_full:
            log.warning("upgrade_peer_slow", extra={"kv": {"dropped": message_type(message)}})
            return
        channel.send(message)

    def hand_over(self, peer: int, message: Message, descriptor: int) -> None:
        """Send a message with a descriptor to a peer to which nothing waits; KeyError if it is gone."""
        self.by_peer[peer].send(message, [descriptor])

    def disconnect(self, peer: int) -> None:
        """Close the channel to a peer; `on_peer_lost` is not called."""
        if (channel := self.by_peer.pop(peer, None)) is not None:
            channel.close()
