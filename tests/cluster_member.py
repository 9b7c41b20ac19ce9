"""One process of `tests.cluster`: the program itself, with a disk that fails on demand and a drifting clock.

    python -m tests.cluster_member FILE FAULTS RATE

The JSON file FAULTS is read at each write and sync: `write` or `sync` is the name of the error to raise,
`lie` skips the sync but reports success, `slow` is the seconds that each sync takes. RATE is the clock's
speed.
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
    """A disk that fails as the file of faults says."""

    def __init__(self, path: str) -> None:
        self.path = path

    def _faults(self) -> dict[str, Any]:
        try:
            with open(self.path, encoding="utf-8") as file:
                return dict(json.load(file))
        except (OSError, ValueError):
            return {}

    def _fail(self, error_name: str) -> None:
        if error_name:
            error_number = getattr(errno, error_name)
            raise OSError(error_number, os.strerror(error_number))

    def write(self, fd: int, data: bytes) -> int:
        self._fail(self._faults().get("write", ""))
        return super().write(fd, data)

    def sync(self, fd: int) -> None:
        faults = self._faults()
        self._fail(faults.get("sync", ""))
        if faults.get("lie"):
            return
        time.sleep(faults.get("slow", 0.0))
        super().sync(fd)


def main() -> int:
    """Run one dispatcher."""
    path, faults_path, rate = sys.argv[1], sys.argv[2], float(sys.argv[3])
    cluster_member.FILES = config_updates.FILES = lambda: FaultyFiles(faults_path)
    cluster_member.CLOCK = lambda: time.monotonic() * 1000.0 * rate
    cluster_member.EXPORT_TASKS = TASKS
    sys.argv = ["grebestack", "--config", path, "--log-level", "debug"]
    return __main__.main()


if __name__ == "__main__":
    sys.exit(main())
