"""The format of a log file and the validation of the records read back. No I/O: bytes in, records out.

A file is a magic line followed by records. Each record has a sequence number, which increases by one, the
length of its payload, and separate checksums of header and payload: with a single checksum, a flipped bit in
a length would make everything after it look like a torn end.

A reader distinguishes the traces of a crash from data that the disk has lost or changed. A torn end (part of
a record, or zeros) may be cut off: a response is sent only after the file is synced, so none depended on it.
Any other mismatch is corruption, and a member whose log is corrupt must not vote. A durable record that is
missing at the very end cannot be detected here; the member's peers know of a higher sequence number.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from zlib import crc32

MAGIC = b"grebestack registers 1\n"
HEADER = struct.Struct("<QII")  # sequence number, payload length in bytes, checksum of the two
CHECKSUM = struct.Struct("<I")  # of the payload, written after it
MAX_PAYLOAD_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class LogContents:
    """The contents of a log file.

    Parameters
    ----------
    payloads
        The payloads of the valid records, in order.
    last_sequence
        The sequence number of the last valid record.
    valid_bytes
        The length of the file up to the end of that record.
    has_torn_end
        Whether the bytes after the valid ones were never durable and are to be cut off.
    corruption
        A description of the corruption; empty if there is none.
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
        is_unfinished = magic.startswith(data)  # a crash interrupted the creation of the file
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
    """Return a description of a record's corruption, or its payload; neither if the file's end is torn."""
    if not any(data[offset:]) or len(data) < offset + HEADER.size:
        return "", None
    sequence, length, checksum = HEADER.unpack_from(data, offset)
    if crc32(data[offset : offset + HEADER.size - CHECKSUM.size]) != checksum:
        return f"the header of record {expected} is not what was written", None
    if sequence != expected:
        return f"found record {sequence} instead of record {expected}", None
    begin = offset + HEADER.size
    if len(data) < begin + length + CHECKSUM.size:
        return "", None
    payload = data[begin : begin + length]
    if crc32(payload) != CHECKSUM.unpack_from(data, begin + length)[0]:
        return f"record {expected} is not what was written", None
    return "", payload
