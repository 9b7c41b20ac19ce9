"""Splits messages of the channel into packets, and reassembles them. Pure."""

from __future__ import annotations

import json

from grebestack.hot_restart.messages import TYPE_KEY, Message

MAX_PACKET_PAYLOAD_BYTES = 48 * 1024
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
MORE_FOLLOWS, LAST_PACKET = b"+", b"."  # the first byte of a packet


class FrameError(Exception):
    """A packet, a message or the file of cordoned workers is malformed; the text says how."""


def pack(message: Message) -> list[bytes]:
    """The packets of a message, in order."""
    data = json.dumps(message, separators=(",", ":")).encode()
    payloads = [
        data[start : start + MAX_PACKET_PAYLOAD_BYTES]
        for start in range(0, len(data), MAX_PACKET_PAYLOAD_BYTES)
    ]
    return [MORE_FOLLOWS + payload for payload in payloads[:-1]] + [LAST_PACKET + payloads[-1]]


class Unpacker:
    """Reassembles messages from packets."""

    def __init__(self) -> None:
        """Expect the first packet of a message."""
        self.payloads: list[bytes] = []
        self.size_bytes = 0

    def feed(self, packet: bytes) -> Message | None:
        """Add a packet; returns the message if this packet completes it.

        Raises FrameError if the packet or the message is malformed or too long.
        """
        marker, payload = packet[:1], packet[1:]
        self.size_bytes += len(payload)
        if marker not in (MORE_FOLLOWS, LAST_PACKET) or self.size_bytes > MAX_MESSAGE_BYTES:
            raise FrameError(
                f"a packet begins with {marker!r}, or a message is longer than {MAX_MESSAGE_BYTES} bytes"
            )
        self.payloads.append(payload)
        if marker == MORE_FOLLOWS:
            return None
        data, self.payloads, self.size_bytes = b"".join(self.payloads), [], 0
        return _decode(data)


def _decode(data: bytes) -> Message:
    try:
        message = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise FrameError(f"a message is not JSON: {error}") from error
    if not isinstance(message, dict) or not isinstance(message.get(TYPE_KEY), str):
        raise FrameError("a message has no type under 'is'")
    return message
