"""Hashes and orders of iteration that are the same in every dispatcher process."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from hashlib import blake2b
from math import gcd, log
from typing import TypeVar

Item = TypeVar("Item")


def stable_hash(text: str) -> int:
    """Return a 48-bit hash of a text that is the same in every process."""
    return int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")


def coprime_walk(items: Sequence[Item], start: int, min_step: int) -> Iterator[Item]:
    """Yield every item once, starting at index `start`, by a step that is co-prime to their number.

    The step is the smallest such number that is at least `min_step`.
    """
    n = len(items)
    step = next((k for k in range(max(1, min_step), min_step + n + 1) if gcd(k, n) == 1), 1)
    return (items[(start + i * step) % n] for i in range(n))


def rendezvous_distance(key: int, worker_hash: int) -> float:
    """Return the distance of a key from a worker: 0 is the nearest possible, 1 the mean.

    All dispatchers compute the same value. As usual in rendezvous hashing, a key's nearest worker stays the
    same when other workers are added or removed.
    """
    mixed = (key ^ worker_hash) * 0x9E3779B97F4A7C15 & (1 << 64) - 1
    mixed = (mixed ^ mixed >> 29) * 0xBF58476D1CE4E5B9 & (1 << 64) - 1
    return -log(((mixed ^ mixed >> 32) + 0.5) / 2.0**64)
