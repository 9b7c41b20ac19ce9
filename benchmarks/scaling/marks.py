"""What the rig puts into contents, so that anyone can see whether they are whole."""

from __future__ import annotations


def whole(data: bytes) -> bool:
    """Whether contents begin and end with the same mark."""
    lines = data.strip().splitlines()
    return bool(lines) and lines[0].startswith(b"# mark ") and lines[0] == lines[-1]
