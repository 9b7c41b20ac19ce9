"""Hollow followers: many real `FollowerClient`s in one process, without HTTP API, engine and workers.

    PYTHONPATH=benchmarks python -m scaling.hollow FILE.json

The file has `base` (the operator's file whose sections the versions replace), `fleet`, `followers` (name ->
place, incarnation), `relays` (name -> address, place) and `acts` (the file that records which follower
applied which version when, and each second the sums of all counts). Standard input takes the commands
`stop NAME INCARNATION` and `start NAME INCARNATION`.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Sequence
from functools import partial
from typing import Any

import uvloop

from grebestack.cluster_io.follower_client import FollowerClient, FollowerSettings, RelayAddress
from grebestack.program import log
from grebestack.program.config.model import Config
from grebestack.program.config.operator_file import from_file
from grebestack.program.config_updates import AppliedConfig
from grebestack.protocol.settings import changed_restart_fields
from scaling.marks import is_complete

FLUSH_S, COUNTS_S = 0.2, 1.0


class HollowHost:
    """Stands in for the dispatcher: keeps the applied configuration, has no engine to reconfigure."""

    def __init__(self, config: Config) -> None:
        self.config = config

    def fields_requiring_restart(self, config: Config) -> Sequence[str]:
        """Return the changed fields that need a restart."""
        return changed_restart_fields(self.config.options, config.options)

    def apply_config(self, config: Config) -> str:
        """Keep the configuration; never fails."""
        self.config = config
        return ""


class HollowFollowers:
    """All followers of this process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, raw: dict[str, Any]) -> None:
        self.loop, self.raw = loop, raw
        self.relays = {
            name: RelayAddress((relay["host"], int(relay["port"])), relay["place"])
            for name, relay in raw["relays"].items()
        }
        self.clients: dict[str, FollowerClient] = {}
        self.stopped_counts: Counter[str] = Counter()  # sums of the stopped followers
        self.records: list[str] = []
        self.record_fd = os.open(raw["acts"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.partial_line = b""
        self.base = from_file(raw["base"])
        self.applied: dict[str, AppliedConfig] = {}

    def begin(self) -> None:
        """Start all followers and the periodic records."""
        for name, (_, incarnation) in self.raw["followers"].items():
            self.start(name, incarnation)
        self.loop.add_reader(0, self._read_commands)
        self._flush()
        self._count()

    def start(self, name: str, incarnation: int) -> None:
        """Start a follower; one that was stopped starts from nothing, as it has no disk."""
        self.applied[name] = AppliedConfig(HollowHost(self.base))
        settings = FollowerSettings(
            name=name,
            cluster=self.raw["fleet"],
            place=self.raw["followers"][name][0],
            relays=self.relays,
            folder="",
        )
        apply_version = partial(self._apply_version, name, incarnation)
        self.clients[name] = client = FollowerClient(self.loop, settings, apply_version)
        client.start()

    def stop(self, name: str) -> None:
        """Stop a follower."""
        client = self.clients.pop(name)
        self.stopped_counts.update(client.counts)
        client.stop()

    def _apply_version(self, name: str, incarnation: int, version: Any, contents: bytes) -> str:
        """Parse and check the contents as a real follower does, and record the result."""
        if error := self.applied[name].apply(version, contents):
            return error
        digest = hashlib.sha256(contents).hexdigest()
        self.records.append(
            f"acted {time.time():.4f} {name} {incarnation} {version.number} {digest} "
            f"{int(is_complete(contents))}\n"
        )
        return ""

    def _flush(self) -> None:
        if self.records:
            os.write(self.record_fd, "".join(self.records).encode())
            self.records.clear()
        self.loop.call_later(FLUSH_S, self._flush)

    def _count(self) -> None:
        sums = Counter(self.stopped_counts)
        for client in self.clients.values():
            sums.update(client.counts)
        pairs = " ".join(f"{name}={value}" for name, value in sorted(sums.items()))
        self.records.append(f"counts {time.time():.4f} {len(self.clients)} {pairs}\n")
        self.loop.call_later(COUNTS_S, self._count)

    def _read_commands(self) -> None:
        data = os.read(0, 65536)
        if not data:
            self.loop.stop()
            return
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            command, name, incarnation = line.decode().split()
            if command == "stop":
                self.stop(name)
            else:
                self.start(name, int(incarnation))


def main() -> int:
    """Run until standard input ends."""
    log.set_up("info")
    with open(sys.argv[1], encoding="utf-8") as file:
        raw = json.load(file)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    followers = HollowFollowers(loop, raw)
    loop.call_soon(followers.begin)
    loop.run_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
