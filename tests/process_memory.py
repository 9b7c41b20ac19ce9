"""The memory of a process, as the kernel tells it."""

from __future__ import annotations

import re
from pathlib import Path


def memory_mb(pid: int) -> dict[str, float]:
    """The figures of a process's status in kB, by name: `VmHWM` is the highest resident memory so far."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii", errors="replace")
    return {name: int(kb) / 1024.0 for name, kb in re.findall(r"(\w+):\s+(\d+) kB", status)}
