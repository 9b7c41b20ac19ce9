"""Hollow followers: many of the product's own `FollowerClient` in a process, no front, engine and runners.

    PYTHONPATH=benchmarks python -m scaling.hollow FILE.json

The file: `base` (an operator's file for the sections to be laid over), `fleet`, `followers` (name -> place,
life), `relays` (name -> address, place), `acts` (where is written who acts under which version, and when). On
standard input: `stop NAME LIFE`, `start NAME LIFE`. Each second the sums of all counts go to `acts` as well.
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
from scaling.marks import whole

FLUSH_S, COUNTS_S = 0.2, 1.0


class HollowHost:
    """In place of a dispatcher: what it is told to act under is kept, and there is no engine to move."""

    def __init__(self, config: Config) -> None:
        self.config = config

    def fields_requiring_restart(self, config: Config) -> Sequence[str]:
        """The fields that need a restart, of those that a version may have."""
        return changed_restart_fields(self.config.options, config.options)

    def apply_config(self, config: Config) -> str:
        """Act under it."""
        self.config = config
        return ""


class Hollow:
    """All followers of one process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, raw: dict[str, Any]) -> None:
        self.loop, self.raw = loop, raw
        self.relays = {
            name: RelayAddress((relay["host"], int(relay["port"])), relay["place"])
            for name, relay in raw["relays"].items()
        }
        self.nodes: dict[str, FollowerClient] = {}
        self.past: Counter[str] = Counter()  # counts of those that have been stopped
        self.lines: list[str] = []
        self.acts = os.open(raw["acts"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.rest = b""
        self.base = from_file(raw["base"])
        self.applied: dict[str, AppliedConfig] = {}

    def begin(self) -> None:
        """Start them all."""
        for name, (_, life) in self.raw["followers"].items():
            self.start(name, life)
        self.loop.add_reader(0, self._ordered)
        self._flush()
        self._count()

    def start(self, name: str, life: int) -> None:
        """Start one, anew if it was stopped: it has no disk."""
        self.applied[name] = AppliedConfig(HollowHost(self.base))
        settings = FollowerSettings(
            name=name,
            cluster=self.raw["fleet"],
            place=self.raw["followers"][name][0],
            relays=self.relays,
            folder="",
        )
        take = partial(self._take, name, life)
        self.nodes[name] = node = FollowerClient(self.loop, settings, take)
        node.start()

    def stop(self, name: str) -> None:
        """Stop one."""
        node = self.nodes.pop(name)
        self.past.update(node.counts)
        node.stop()

    def _take(self, name: str, life: int, version: Any, contents: bytes) -> str:
        """Parse, check and say so as a real one does, and note it."""
        if why := self.applied[name].apply(version, contents):
            return why
        digest = hashlib.sha256(contents).hexdigest()
        self.lines.append(
            f"acted {time.time():.4f} {name} {life} {version.number} {digest} {int(whole(contents))}\n"
        )
        return ""

    def _flush(self) -> None:
        if self.lines:
            os.write(self.acts, "".join(self.lines).encode())
            self.lines.clear()
        self.loop.call_later(FLUSH_S, self._flush)

    def _count(self) -> None:
        sums = Counter(self.past)
        for node in self.nodes.values():
            sums.update(node.counts)
        pairs = " ".join(f"{name}={value}" for name, value in sorted(sums.items()))
        self.lines.append(f"counts {time.time():.4f} {len(self.nodes)} {pairs}\n")
        self.loop.call_later(COUNTS_S, self._count)

    def _ordered(self) -> None:
        data = os.read(0, 65536)
        if not data:
            self.loop.stop()
            return
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            order, name, life = line.decode().split()
            if order == "stop":
                self.stop(name)
            else:
                self.start(name, int(life))


def main() -> int:
    """Run until standard input ends."""
    log.set_up("info")
    with open(sys.argv[1], encoding="utf-8") as file:
        raw = json.load(file)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    hollow = Hollow(loop, raw)
    loop.call_soon(hollow.begin)
    loop.run_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
