"""The channel between two processes of a hot restart: messages, with file descriptors attached to some."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from grebestack.hot_restart.framing import (
    MAX_MESSAGE_BYTES,
    MAX_PACKET_PAYLOAD_BYTES,
    FrameError,
    Unpacker,
    pack,
)
from grebestack.hot_restart.messages import Message

MAX_DESCRIPTORS_PER_PACKET = 4


@dataclass(frozen=True, slots=True)
class QueuedPacket:
    """A packet that waits to be written, with the descriptors to attach."""

    data: bytes
    descriptors: list[int]


class Channel:
    """The connection to one peer.

    `on_message` is called with each message and the descriptors that came with it; the callee must close
    them. `on_lost` is called once, with the reason, unless this side closes the channel without a reason.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        on_message: Callable[[Channel, Message, list[int]], None],
        on_lost: Callable[[Channel, str], None],
    ) -> None:
        """Read from a connected SOCK_SEQPACKET socket; the channel closes it."""
        self.loop, self.sock = loop, sock
        self.on_message, self.on_lost = on_message, on_lost
        self.unpacker = Unpacker()
        self.received_descriptors: list[int] = []
        self.write_queue: deque[QueuedPacket] = deque()
        self.queued_bytes = 0
        self.closed = False
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._read)

    def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send a message; the descriptors go with its last packet and are closed here once it is sent."""
        was_idle = not self.write_queue
        *former, last = pack(message)
        self.write_queue.extend(QueuedPacket(data, []) for data in former)
        self.write_queue.append(QueuedPacket(last, list(descriptors)))
        self.queued_bytes += len(last) + sum(len(data) for data in former)
        if was_idle:
            self._write()
        if self.queued_bytes > MAX_MESSAGE_BYTES:
            self.close("the peer does not read")

    def close(self, reason: str = "") -> None:
        """Close the channel; `on_lost` is called if a reason is given."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock.fileno())
        self.loop.remove_writer(self.sock.fileno())
        self.sock.close()
        _close_all(self.received_descriptors)
        for packet in self.write_queue:
            _close_all(packet.descriptors)
        self.write_queue.clear()
        if reason:
            self.on_lost(self, reason)

    def _write(self) -> None:
        while self.write_queue and not self.closed:
            packet = self.write_queue[0]
            try:
                socket.send_fds(self.sock, [packet.data], packet.descriptors)
            except BlockingIOError:
                self.loop.add_writer(self.sock.fileno(), self._write)
                return
            except OSError as error:
                self.close(error.strerror or "connection error")
                return
            self.write_queue.popleft()
            self.queued_bytes -= len(packet.data)
            for descriptor in packet.descriptors:
                os.close(descriptor)
        if not self.closed:
            self.loop.remove_writer(self.sock.fileno())

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
            self.on_message(self, message, descriptors)


def _close_all(descriptors: Sequence[int]) -> None:
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            os.close(descriptor)
