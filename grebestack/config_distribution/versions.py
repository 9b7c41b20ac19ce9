"""Versions of the configuration, validation of their contents, and deltas between contents. Pure.

Contents are identified by their digest (SHA-256, FIPS 180-4) and are used only if size and digest are those
of the decided version.
"""

from __future__ import annotations

import hashlib
import zlib

from msgspec import Struct

MAX_CONTENTS_BYTES = 512 * 1024  # of one version
DIGEST_HEX_DIGITS = 64


class DeltaError(ValueError):
    """A delta does not lead to a version's contents."""


class Version(Struct, frozen=True, array_like=True, tag="version"):
    """A version of the configuration: a number that only grows, and the contents' digest and size."""

    number: int
    digest: str  # SHA-256, hexadecimal
    size: int  # bytes
    proposed_by: str  # the voter where it was proposed; for people only
    proposed_at_ms: int  # Unix time in milliseconds of the proposal; for people only


NO_VERSION = Version(0, "", 0, "", 0)


class Delta(Struct, frozen=True, array_like=True, tag="delta"):
    """Contents as a change of former ones: the lengths of the common prefix and suffix, and the middle."""

    base: str  # digest of the former contents
    prefix: int
    suffix: int
    middle: bytes  # deflated (zlib, RFC 1950)


def invalid_value(field: str, value: object, allowed: object) -> str:
    """Describe an invalid value: field, value and what is allowed."""
    shown = repr(value)
    return f"{field} is {shown if len(shown) <= 80 else shown[:77] + '...'}; allowed: {allowed}"


def digest_of(contents: bytes) -> str:
    """Return the digest of contents."""
    return hashlib.sha256(contents).hexdigest()


def version_problem(version: Version) -> str:
    """Return why this can't be a decided version (field, value and what is allowed), or ""."""
    if version.number < 1:
        return invalid_value("number", version.number, "1 and more")
    if len(version.digest) != DIGEST_HEX_DIGITS or set(version.digest) - set("0123456789abcdef"):
        return invalid_value("digest", version.digest, f"{DIGEST_HEX_DIGITS} hexadecimal digits")
    if not 0 <= version.size <= MAX_CONTENTS_BYTES:
        return invalid_value("size", version.size, f"0 to {MAX_CONTENTS_BYTES}")
    return ""


def contents_problem(version: Version, contents: bytes) -> str:
    """Return why these are not the contents of this version (field, value and what is allowed), or ""."""
    if why := version_problem(version):
        return why
    if len(contents) != version.size:
        return invalid_value("size", len(contents), f"{version.size} in version {version.number}")
    if (digest := digest_of(contents)) != version.digest:
        return invalid_value("digest", digest, f"{version.digest} in version {version.number}")
    return ""


def _common_prefix(old: bytes, new: bytes) -> int:
    """Return the length of the common prefix, by bisection: slices compare faster than single bytes."""
    low, high = 0, min(len(old), len(new))
    while low < high:
        middle = (low + high + 1) // 2
        if old[low:middle] == new[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def delta_between(old: bytes, new: bytes) -> Delta:
    """Return the delta from former contents to new ones."""
    prefix = _common_prefix(old, new)
    rest_old, rest_new = old[prefix:], new[prefix:]
    suffix = _common_prefix(rest_old[::-1], rest_new[::-1])
    return Delta(digest_of(old), prefix, suffix, zlib.compress(rest_new[: len(rest_new) - suffix], 1))


def apply_delta(old: bytes, delta: Delta, version: Version) -> bytes:
    """Return the version's contents.

    Raises
    ------
    DeltaError
        The delta does not lead from `old` to the version's contents; the text has field, value and what is
        allowed.
    """
    if why := version_problem(version):
        raise DeltaError(why)
    if (digest := digest_of(old)) != delta.base:
        raise DeltaError(invalid_value("base", delta.base, f"{digest}, the digest of the contents here"))
    if delta.prefix < 0:
        raise DeltaError(invalid_value("prefix", delta.prefix, f"0 to {len(old)}"))
    if delta.suffix < 0 or delta.prefix + delta.suffix > len(old):
        raise DeltaError(invalid_value("suffix", delta.suffix, f"0 to {len(old) - delta.prefix}"))
    middle_size = version.size - delta.prefix - delta.suffix
    inflater = zlib.decompressobj()
    try:
        middle = inflater.decompress(delta.middle, max(middle_size, 0) + 1)
    except zlib.error as error:
        raise DeltaError(invalid_value("middle", str(error), "zlib data")) from None
    if len(middle) != middle_size or not inflater.eof or inflater.unused_data:
        raise DeltaError(invalid_value("middle", f"{len(middle)} bytes", f"{middle_size} bytes, complete"))
    contents = old[: delta.prefix] + middle + old[len(old) - delta.suffix :]
    if why := contents_problem(version, contents):
        raise DeltaError(why)
    return contents
