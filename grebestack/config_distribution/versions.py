"""A version of the configuration: what is decided about it, its contents, and contents by difference. Pure.

Contents go by their digest (SHA-256, FIPS 180-4): whatever way they came, they count only once size and
digest are those of the decided version.
"""

from __future__ import annotations

import hashlib
import zlib

from msgspec import Struct

MAX_CONTENTS_BYTES = 512 * 1024  # bytes of a version's contents
DIGEST_HEX_DIGITS = 64  # hexadecimal digits


class Version(Struct, frozen=True, array_like=True, tag="version"):
    """What is decided: a number that only grows and the contents' digest; the rest is for people."""

    number: int
    digest: str  # SHA-256, hexadecimal
    size: int  # bytes
    by: str  # the voter at whose door it was asked for
    since_ms: int  # from which instant, Unix time in milliseconds; nothing is decided by it


NO_VERSION = Version(0, "", 0, "", 0)


class Delta(Struct, frozen=True, array_like=True, tag="delta"):
    """Contents as a change of former ones: as many bytes of both ends as stay, and what stands between."""

    base: str  # digest of the former contents
    prefix: int
    suffix: int
    middle: bytes  # deflated (zlib, RFC 1950)


def invalid_value(field: str, value: object, allowed: object) -> str:
    """One way to say what is wrong with a value."""
    shown = repr(value)
    return f"{field} is {shown if len(shown) <= 80 else shown[:77] + '...'}; allowed: {allowed}"


def digest_of(contents: bytes) -> str:
    """The digest by which contents go."""
    return hashlib.sha256(contents).hexdigest()


def version_problem(version: Version) -> str:
    """Why this can't be a decided version, by field, value and what is allowed; or nothing."""
    if version.number < 1:
        return invalid_value("number", version.number, "1 and more")
    if len(version.digest) != DIGEST_HEX_DIGITS or set(version.digest) - set("0123456789abcdef"):
        return invalid_value("digest", version.digest, f"{DIGEST_HEX_DIGITS} hexadecimal digits")
    if not 0 <= version.size <= MAX_CONTENTS_BYTES:
        return invalid_value("size", version.size, f"0 to {MAX_CONTENTS_BYTES}")
    return ""


def contents_problem(version: Version, contents: bytes) -> str:
    """Why these are not the contents of this version, by field, value and what is allowed; or nothing."""
    if why := version_problem(version):
        return why
    if len(contents) != version.size:
        return invalid_value("size", len(contents), f"{version.size} in version {version.number}")
    if (digest := digest_of(contents)) != version.digest:
        return invalid_value("digest", digest, f"{version.digest} in version {version.number}")
    return ""


def _common(old: bytes, new: bytes) -> int:
    """How many bytes both begin with, by halving: comparison of slices runs at the speed of memory."""
    low, high = 0, min(len(old), len(new))
    while low < high:
        middle = (low + high + 1) // 2
        if old[low:middle] == new[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def delta_between(old: bytes, new: bytes) -> Delta:
    """What leads from former contents to new ones."""
    prefix = _common(old, new)
    rest_old, rest_new = old[prefix:], new[prefix:]
    suffix = _common(rest_old[::-1], rest_new[::-1])
    return Delta(digest_of(old), prefix, suffix, zlib.compress(rest_new[: len(rest_new) - suffix], 1))


def apply_delta(old: bytes, delta: Delta, version: Version) -> bytes:
    """The version's contents; ValueError by field, value and what is allowed where they do not come out."""
    if why := version_problem(version):
        raise ValueError(why)
    if (digest := digest_of(old)) != delta.base:
        raise ValueError(invalid_value("base", delta.base, f"{digest}, which is held"))
    if delta.prefix < 0:
        raise ValueError(invalid_value("prefix", delta.prefix, f"0 to {len(old)}"))
    if delta.suffix < 0 or delta.prefix + delta.suffix > len(old):
        raise ValueError(invalid_value("suffix", delta.suffix, f"0 to {len(old) - delta.prefix}"))
    room = version.size - delta.prefix - delta.suffix
    inflating = zlib.decompressobj()
    try:
        middle = inflating.decompress(delta.middle, max(room, 0) + 1)
    except zlib.error as error:
        raise ValueError(invalid_value("middle", str(error), "what zlib made")) from None
    if len(middle) != room or not inflating.eof or inflating.unused_data:
        raise ValueError(invalid_value("middle", f"{len(middle)} bytes", f"{room} bytes, whole"))
    contents = old[: delta.prefix] + middle + old[len(old) - delta.suffix :]
    if why := contents_problem(version, contents):
        raise ValueError(why)
    return contents
