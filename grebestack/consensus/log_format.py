"""The format of a log file, and which of the records read back can be trusted. Pure: bytes in, records out.

A file is a magic line followed by records. Each has a sequence number, which increases by one, its payload's
length, and separate checksums of header and payload: otherwise a flipped bit in a length would make all that
follows look like a torn end.

What a crash can leave is distinguished from what a disk has lost or changed. No response ever depended on a
torn end (part of a record, or zeros), because a response leaves only after the file was synced: it may be cut
off. Any other mismatch is corruption, and a member whose log is corrupt must not vote. A durable record that
is missing at the very end can't be recognised here; the member's peers know of a higher sequence number.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from zlib import crc32

MAGIC = b"grebestack registers 1\n"
HEADER = struct.Struct("<QII")  # sequence number, payload length in bytes, checksum of the two
CHECKSUM = struct.Struct("<I")  # of the payload, which it follows
MAX_PAYLOAD_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class LogContents:
    """What a log file holds.

    Parameters
    ----------
    payloads
        Those of the valid records, in order.
    last_sequence
        The sequence number of the last valid record.
    valid_bytes
        The length of the file up to the end of that record.
    has_torn_end
        Whether what follows the valid bytes was never durable and is to be cut off.
    corruption
        Why the file can't be trusted; empty if it can.
    """

    payloads: tuple[bytes, ...] = ()
    last_sequence: int = 0
    valid_bytes: int = 0
    has_torn_end: bool = False
    corruption: str = ""


def encode_record(sequence: int, payload: bytes) -> bytes:
    """Encode a record for appending.

    Raises
    ------
    ValueError
        The payload is too long or the sequence number out of range.
    """
    if len(payload) > MAX_PAYLOAD_BYTES or not 0 < sequence < 1 << 64:
        raise ValueError(
            f"record {sequence} of {len(payload)} bytes; allowed: 1 to 2**64 - 1, {MAX_PAYLOAD_BYTES} bytes"
        )
    fields = struct.pack("<QI", sequence, len(payload))
    return fields + CHECKSUM.pack(crc32(fields)) + payload + CHECKSUM.pack(crc32(payload))


def read_log(data: bytes, first: int = 1, magic: bytes = MAGIC) -> LogContents:
    """Read a file whose first record has the sequence number `first`; an empty file is a valid log."""
    if not data:
        return LogContents(last_sequence=first - 1)
    if not data.startswith(magic):
        is_unfinished = magic.startswith(data)  # a crash came while the file was created
        corruption = "" if is_unfinished else "no file of this kind and version"
        return LogContents(last_sequence=first - 1, has_torn_end=is_unfinished, corruption=corruption)
    payloads: list[bytes] = []
    offset, last = len(magic), first - 1
    while offset < len(data):
        corruption, payload = _read_record(data, offset, last + 1)
        if corruption or payload is None:
            return LogContents(tuple(payloads), last, offset, not corruption, corruption)
        payloads.append(payload)
        last += 1
        offset += HEADER.size + len(payload) + CHECKSUM.size
    return LogContents(tuple(payloads), last, offset)


def _read_record(data: bytes, offset: int, expected: int) -> tuple[str, bytes | None]:
    """Return what is corrupt about a record, or its payload; with neither, the end of the file is torn."""
    if not any(data[offset:]) or len(data) < offset + HEADER.size:
        return "", None
    sequence, length, checksum = HEADER.unpack_from(data, offset)
    if crc32(data[offset : offset + HEADER.size - CHECKSUM.size]) != checksum:
        return f"the head of record {expected} is not what was written", None
    if sequence != expected:
        return f"record {sequence} stands where {expected} should", None
    begin = offset + HEADER.size
    if len(data) < begin + length + CHECKSUM.size:
        return "", None
    payload = data[begin : begin + length]
    if crc32(payload) != CHECKSUM.unpack_from(data, begin + length)[0]:
        return f"record {expected} is not what was written", None
    return "", payload
