"""The channel between two processes of a hot restart: messages, with file descriptors attached to some."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from grebestack.hot_restart.framing import (
    MAX_PACKET_PAYLOAD_BYTES,
    FrameError,
    Unpacker,
    pack,
)
from grebestack.hot_restart.messages import Message

MAX_DESCRIPTORS_PER_PACKET = 4
MAX_QUEUED_BYTES = 8 * 1024 * 1024  # of messages that the peer has not read yet
DESCRIPTOR_RETRY_S = 0.005  # while too many descriptors are on their way to other processes


@dataclass(frozen=True, slots=True)
class QueuedPacket:
    """A packet that waits to be written; the last one of a message holds it, and its descriptors."""

    data: bytes
    message: Message | None
    descriptors: Sequence[int]


class ChannelHandler(Protocol):
    """Receives what happens on a channel."""

    def on_message(self, message: Message, descriptors: list[int]) -> None:
        """A message has arrived; the callee must close the descriptors."""

    def on_drained(self) -> None:
        """All that had to wait is written."""

    def on_lost(self, reason: str) -> None:
        """The channel has closed, unless this side closed it without a reason."""

    def on_unsent(self, message: Message, descriptors: Sequence[int]) -> None:
        """The channel has closed before a message was written; the callee owns the descriptors again."""


class Channel:
    """The connection to one peer.

    What the peer has not read yet waits here. A sender that looks at `is_idle` before it sends keeps at most
    one message waiting; only what needs no such care is sent regardless.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, handler: ChannelHandler) -> None:
        """Read from a connected SOCK_SEQPACKET socket; the channel closes it."""
        self.loop, self.sock, self.handler = loop, sock, handler
        self.unpacker = Unpacker()
        self.received_descriptors: list[int] = []
        self.write_queue: deque[QueuedPacket] = deque()
        self.queued_bytes = 0
        self.closed = False
        self.retry_timer: asyncio.TimerHandle | None = None
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._read)

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits to be written."""
        return not self.write_queue

    @property
    def is_full(self) -> bool:
        """Whether so much waits that what can be done without should not be sent."""
        return self.queued_bytes > MAX_QUEUED_BYTES

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send a message; the descriptors go with its last packet and are closed here once it is written."""
        was_idle = self.is_idle
        *former, last = pack(message)
        self.write_queue.extend(QueuedPacket(data, None, ()) for data in former)
        self.write_queue.append(QueuedPacket(last, message, tuple(descriptors)))
        self.queued_bytes += len(last) + sum(len(data) for data in former)
        if was_idle:
            self._write()

    def close(self, reason: str = "") -> None:
        """Close the channel; `on_lost` is called if a reason is given."""
        if self.closed:
            return
        self.closed = True
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.loop.remove_reader(self.sock.fileno())
        self.loop.remove_writer(self.sock.fileno())
        self.sock.close()
        _close_all(self.received_descriptors)
        unsent, self.write_queue = self.write_queue, deque()
        if reason:
            self.handler.on_lost(reason)
        for packet in unsent:
            if packet.message is not None:
                self.handler.on_unsent(packet.message, packet.descriptors)

    def _write(self) -> None:
        """Write until nothing waits or the peer must read first."""
        while self.write_queue and not self.closed:
            packet = self.write_queue[0]
            try:
                socket.send_fds(self.sock, [packet.data], packet.descriptors)
            except BlockingIOError:
                self.loop.add_writer(self.sock.fileno(), self._write_more)
                return
            except OSError as error:
                if error.errno == errno.ETOOMANYREFS:
                    self.loop.remove_writer(self.sock.fileno())
                    self.retry_timer = self.loop.call_later(DESCRIPTOR_RETRY_S, self._write_more)
                else:
                    self.close(error.strerror or "connection error")
                return
            self.write_queue.popleft()
            self.queued_bytes -= len(packet.data)
            _close_all(packet.descriptors)
        if not self.closed:
            self.loop.remove_writer(self.sock.fileno())

    def _write_more(self) -> None:
        self._write()
        if self.is_idle and not self.closed:
            self.handler.on_drained()

    def _read(self) -> None:
        try:
            packet, descriptors, _, _ = socket.recv_fds(
                self.sock, MAX_PACKET_PAYLOAD_BYTES + 1, MAX_DESCRIPTORS_PER_PACKET
            )
        except BlockingIOError:
            return
        except OSError as error:
            self.close(error.strerror or "connection error")
            return
        self.received_descriptors += descriptors
        if not packet:
            self.close("the peer has closed the channel")
            return
        try:
            message = self.unpacker.feed(packet)
        except FrameError as error:
            self.close(str(error))
            return
        if message is not None:
            descriptors, self.received_descriptors = self.received_descriptors, []
            self.handler.on_message(message, descriptors)


def _close_all(descriptors: Sequence[int]) -> None:
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            os.close(descriptor)
