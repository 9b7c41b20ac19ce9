"""Gives freed memory of the C library's heap back to the system: the platform counts it otherwise."""

from __future__ import annotations

from collections.abc import Callable
from functools import cache


def _keep_all(padding_bytes: int) -> int:
    return 0


@cache
def _malloc_trim() -> Callable[[int], int]:
    import ctypes  # takes a megabyte, and most processes never need it

    try:
        trim: Callable[[int], int] = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):  # the C library is not glibc
        return _keep_all
    return trim


def give_back_freed_memory() -> None:
    """Return free pages of the heap to the system; nothing happens where the C library can't do so."""
    _malloc_trim()(0)
