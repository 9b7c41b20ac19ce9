"""What a member writes to its disk, and what it believes of what it reads back.

A file is a magic line and records, each with a sequence number that goes up by one, its length, and checksums
of head and payload apart: a flipped bit in a length would else make all that follows look like a torn end.

What a crash can leave is told from what a disk has lost or changed. An end that is torn (some bytes of a
record, or zeros) was never answered, for an answer leaves only after the file was synced: it is cut off.
Anything else that does not fit is doubt: a member that can't vouch for its disk must not vote. An answered
record that is missing at the very end can't be told here; its peers know a higher sequence number.

Pure: bytes in, records out.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from zlib import crc32

MAGIC = b"grebestack registers 1\n"
HEAD = struct.Struct("<QII")  # sequence, length, checksum of the two
TAIL = struct.Struct("<I")  # checksum of the payload
MOST = 1 << 20  # bytes of a payload


@dataclass(frozen=True, slots=True)
class Read:
    """What a file holds: payloads in order, the last sequence number, and how many of its bytes are good."""

    payloads: tuple[bytes, ...] = ()
    last: int = 0
    good: int = 0
    torn: bool = False  # what follows the good bytes was never answered, and is to be cut off
    doubt: str = ""  # why the file can't be vouched for; empty: it can


def frame(sequence: int, payload: bytes) -> bytes:
    """One record as it is appended; ValueError where it is too long or out of range."""
    if len(payload) > MOST or not 0 < sequence < 1 << 64:
        raise ValueError(f"record {sequence} of {len(payload)} bytes; allowed: 1 to 2**64 - 1, {MOST} bytes")
    fields = struct.pack("<QI", sequence, len(payload))
    return fields + TAIL.pack(crc32(fields)) + payload + TAIL.pack(crc32(payload))


def read(data: bytes, first: int = 1, magic: bytes = MAGIC) -> Read:
    """Read a file whose first record has this number; an empty one holds nothing."""
    if not data:
        return Read(last=first - 1)
    if not data.startswith(magic):
        torn = magic.startswith(data)  # the file was being made
        return Read(last=first - 1, torn=torn, doubt="" if torn else "no file of this kind and version")
    payloads: list[bytes] = []
    at, last = len(magic), first - 1
    while at < len(data):
        doubt, payload = _record(data, at, last + 1)
        if doubt or payload is None:
            return Read(tuple(payloads), last, at, not doubt, doubt)
        payloads.append(payload)
        last += 1
        at += HEAD.size + len(payload) + TAIL.size
    return Read(tuple(payloads), last, at)


def _record(data: bytes, at: int, expected: int) -> tuple[str, bytes | None]:
    """The doubt about the record at a place, or its payload; neither: its end is torn."""
    if not any(data[at:]) or len(data) < at + HEAD.size:
        return "", None
    sequence, length, check = HEAD.unpack_from(data, at)
    if crc32(data[at : at + HEAD.size - TAIL.size]) != check:
        return f"the head of record {expected} is not what was written", None
    if sequence != expected:
        return f"record {sequence} stands where {expected} should", None
    begin = at + HEAD.size
    if len(data) < begin + length + TAIL.size:
        return "", None
    payload = data[begin : begin + length]
    if crc32(payload) != TAIL.unpack_from(data, begin + length)[0]:
        return f"record {expected} is not what was written", None
    return "", payload
