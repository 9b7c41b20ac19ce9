"""The file that keeps the names of cordoned workers across restarts."""

from __future__ import annotations

import json
import os
import zlib

from grebestack.hot_restart.framing import FrameError

FILE_VERSION = 1
MAX_FILE_BYTES = 16 * 1024 * 1024


def encode_cordon_file(cordoned: set[str]) -> bytes:
    """The file's content: a header with a checksum, and a JSON object."""
    body = json.dumps({"version": FILE_VERSION, "bans": sorted(cordoned)}, separators=(",", ":")).encode()
    return b"grebestack %08x\n%s\n" % (zlib.crc32(body), body)


def decode_cordon_file(data: bytes) -> set[str]:
    """The worker names in a file's content.

    Raises FrameError if the content is corrupt, of another version or another program's.
    """
    head, _, body = data.partition(b"\n")
    body = body.removesuffix(b"\n")
    if head != b"grebestack %08x" % zlib.crc32(body):
        raise FrameError("its checksum is wrong")
    try:
        raw = json.loads(body)
        version, cordoned = raw["version"], raw["bans"]
    except (ValueError, KeyError, TypeError) as error:
        raise FrameError(f"it can't be read: {error!r}") from error
    if (
        version != FILE_VERSION
        or not isinstance(cordoned, list)
        or not all(isinstance(name, str) for name in cordoned)
    ):
        raise FrameError(f"it is of version {version!r}, not {FILE_VERSION}")
    return set(cordoned)


def write_cordon_file(path: str, cordoned: set[str]) -> None:
    """Replace the file atomically: a reader finds the former content or the new one, even after a kill."""
    temporary_path = f"{path}.new"
    with open(temporary_path, "wb") as file:
        file.write(encode_cordon_file(cordoned))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)


def read_cordon_file(path: str) -> set[str]:
    """The worker names in the file, none if there is no file; FrameError or OSError if it can't be read."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return set()
    return decode_cordon_file(data)
