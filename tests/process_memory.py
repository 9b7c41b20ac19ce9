"""The memory of a process as the kernel tells it, and that of objects as the interpreter tells it."""

from __future__ import annotations

import re
import tracemalloc
from collections.abc import Callable
from pathlib import Path


def memory_mb(pid: int) -> dict[str, float]:
    """The figures of a process's status in kB, by name: `VmHWM` is the highest resident memory so far."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii", errors="replace")
    return {name: int(kb) / 1024.0 for name, kb in re.findall(r"(\w+):\s+(\d+) kB", status)}


def taken_bytes(hold: Callable[[], object]) -> int:
    """The memory that is taken, and still held, by what a function makes; it returns what has to be kept."""
    tracemalloc.start()
    try:
        kept = hold()
        taken = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert kept is not None
    return taken
