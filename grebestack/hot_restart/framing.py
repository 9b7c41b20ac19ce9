"""Messages of the channel as packets, and the file of bans. Pure."""

from __future__ import annotations

import json
import zlib
from typing import Any

VERSION = 1
PIECE = 48 * 1024  # bytes of a message in one packet
MOST = 8 * 1024 * 1024  # bytes of a message
MORE, LAST = b"+", b"."
MOST_FILE = 16 * 1024 * 1024

Message = dict[str, Any]


class FrameError(Exception):
    """What came is not from a process of this kind; the text says why."""


def pack(message: Message) -> list[bytes]:
    """The packets of a message, in order."""
    data = json.dumps(message, separators=(",", ":")).encode()
    pieces = [data[at : at + PIECE] for at in range(0, len(data), PIECE)]
    return [MORE + piece for piece in pieces[:-1]] + [LAST + pieces[-1]]


class Unpacker:
    """Puts packets together again."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.size = 0

    def feed(self, packet: bytes) -> Message | None:
        """Take a packet; the message once it is whole."""
        mark, piece = packet[:1], packet[1:]
        self.size += len(piece)
        if mark not in (MORE, LAST) or self.size > MOST:
            raise FrameError(f"a packet begins with {mark!r}, or a message is longer than {MOST} bytes")
        self.parts.append(piece)
        if mark == MORE:
            return None
        data, self.parts, self.size = b"".join(self.parts), [], 0
        try:
            message = json.loads(data)
        except (ValueError, RecursionError) as error:
            raise FrameError(f"a message is not JSON: {error}") from error
        if not isinstance(message, dict) or not isinstance(message.get("is"), str):
            raise FrameError("a message has no name in 'is'")
        return message


def note(bans: set[str]) -> bytes:
    """The file of bans, in one piece with a checksum."""
    body = json.dumps({"version": VERSION, "bans": sorted(bans)}, separators=(",", ":")).encode()
    return b"grebestack %08x\n%s\n" % (zlib.crc32(body), body)


def read_note(data: bytes) -> set[str]:
    """The bans in a file; FrameError if it is torn or another program's."""
    head, _, body = data.partition(b"\n")
    body = body.removesuffix(b"\n")
    if head != b"grebestack %08x" % zlib.crc32(body):
        raise FrameError("its checksum does not hold")
    try:
        raw = json.loads(body)
        version, bans = raw["version"], raw["bans"]
    except (ValueError, KeyError, TypeError) as error:
        raise FrameError(f"it can't be read: {error!r}") from error
    if version != VERSION or not isinstance(bans, list) or not all(isinstance(ban, str) for ban in bans):
        raise FrameError(f"it is of version {version!r}, not {VERSION}")
    return set(bans)
