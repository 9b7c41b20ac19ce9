"""Marks at both ends of the benchmark's contents, by which incomplete contents are recognized."""

from __future__ import annotations


def is_complete(data: bytes) -> bool:
    """Whether the contents begin and end with the same mark."""
    lines = data.strip().splitlines()
    return bool(lines) and lines[0].startswith(b"# mark ") and lines[0] == lines[-1]
