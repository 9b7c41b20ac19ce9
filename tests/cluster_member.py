"""One process of `tests.cluster`: the program itself, with injected disk faults and a drifting clock.

    python -m tests.cluster_member FILE FAULTS RATE

The file FAULTS is read at each write and sync. Its keys `write` and `sync` name the error that the operation
raises, with `lie` a sync reports success without syncing, and `slow` is the delay of each sync in seconds.
"""

from __future__ import annotations

import errno
import json
import os
import sys
import time
from typing import Any

from grebestack import __main__
from grebestack.cluster_io.log_store import Files
from grebestack.program import cluster_member, config_updates

TASKS = ("tallies", "second", "third")


class FaultyFiles(Files):
    """Log files with the faults that a file lists."""

    def __init__(self, path: str) -> None:
        self.path = path

    def _faults(self) -> dict[str, Any]:
        try:
            with open(self.path, encoding="utf-8") as file:
                return dict(json.load(file))
        except (OSError, ValueError):
            return {}

    def _raise(self, error_name: str) -> None:
        if error_name:
            number = getattr(errno, error_name)
            raise OSError(number, os.strerror(number))

    def write(self, fd: int, data: bytes) -> int:
        self._raise(self._faults().get("write", ""))
        return super().write(fd, data)

    def sync(self, fd: int) -> None:
        faults = self._faults()
        self._raise(faults.get("sync", ""))
        if faults.get("lie"):
            return
        time.sleep(faults.get("slow", 0.0))
        super().sync(fd)


def main() -> int:
    """Run one dispatcher."""
    path, faults_path, clock_rate = sys.argv[1], sys.argv[2], float(sys.argv[3])
    cluster_member.FILES = config_updates.FILES = lambda: FaultyFiles(faults_path)
    cluster_member.CLOCK = lambda: time.monotonic() * 1000.0 * clock_rate
    cluster_member.EXPORT_TASKS = TASKS
    sys.argv = ["grebestack", "--config", path, "--log-level", "debug"]
    return __main__.main()


if __name__ == "__main__":
    sys.exit(main())
