"""One process of `tests.cluster`: the program itself, with a disk that fails by order, a clock that drifts.

    python -m tests.cluster_member FILE FAULTS RATE

What the file FAULTS says holds from then on: `write` or `sync` raise an error by name, `lie` says that a sync
has been made and notes in FAULTS.honest how long the file was before, `slow` is seconds of each sync.
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
    """A disk that does as it is told."""

    def __init__(self, path: str) -> None:
        self.path = path

    def _order(self) -> dict[str, Any]:
        try:
            with open(self.path, encoding="utf-8") as file:
                return dict(json.load(file))
        except (OSError, ValueError):
            return {}

    def _fail(self, name: str) -> None:
        if name:
            number = getattr(errno, name)
            raise OSError(number, os.strerror(number))

    def write(self, fd: int, data: bytes) -> int:
        self._fail(self._order().get("write", ""))
        return super().write(fd, data)

    def sync(self, fd: int) -> None:
        order = self._order()
        self._fail(order.get("sync", ""))
        if order.get("lie"):
            return
        time.sleep(order.get("slow", 0.0))
        super().sync(fd)


def main() -> int:
    """Run one dispatcher."""
    path, faults, rate = sys.argv[1], sys.argv[2], float(sys.argv[3])
    cluster_member.FILES = config_updates.FILES = lambda: FaultyFiles(faults)
    cluster_member.CLOCK = lambda: time.monotonic() * 1000.0 * rate
    cluster_member.EXPORT_TASKS = TASKS
    sys.argv = ["grebestack", "--config", path, "--log-level", "debug"]
    return __main__.main()


if __name__ == "__main__":
    sys.exit(main())
