"""Discovery's list of servers over HTTP, and the watch that keeps the server table up to date."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
import time
from collections.abc import Mapping
from typing import Any

from grebestack.core.interface import ListKind, WorkerEntry, WorkerState
from grebestack.protocol.settings import Places
from grebestack.routing.interfaces import Listing
from grebestack.routing.table import Server
from grebestack.transport.client import Address, LineStream

log = logging.getLogger(__name__)
STATES = {"Ready": WorkerState.READY, "Terminating": WorkerState.DRAINING, "Gone": WorkerState.GONE}
SILENCE_S = 2.6  # a line comes every 2 s at the least
# After a watch has ended, the next is opened after about so long: 0.25 s for a few dispatchers, doubled while
# none says a word, and more for many, so that all of them together ask some 13 times a second. The first is
# opened at once, and no pause is longer than AGAIN_MOST_S: a drain counts as told after some seconds.
AGAIN_S = 0.25
AGAIN_EACH_S = 0.075  # for each dispatcher of the fleet
AGAIN_MOST_S = 3.0
DOUBLINGS = 2
CONNECT_S = 1.0
CLOCKS_MS = 2000.0  # a server's clock may be so much ahead of ours


def address_of(text: str) -> Address:
    """A host and port; ValueError if it is none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no HOST:PORT")
    return host.strip("[]"), int(port)


class ListReader:
    """Reads the list's entries; zones and kinds are named in the settings."""

    def __init__(self, options: Mapping[str, Any]) -> None:
        self.places = Places(options)
        self.told: set[str] = set()  # fields of which an odd value has been logged
        # Fixed once: the decision module tells a restart by a start time that differs from the one before.
        self.unix_to_clock_ms = (time.monotonic() - time.time()) * 1000.0

    def _figure(self, raw: Mapping[str, Any], name: str, default: float) -> float:
        """A figure of an entry; one that is missing, null, negative or no finite number is the default."""
        value = float(default if raw.get(name) is None else raw[name])
        if not (math.isfinite(value) and value >= 0.0):
            self._odd(name, value, default)
            return default
        return value

    def _odd(self, name: str, value: float, taken: object) -> None:
        if name not in self.told:
            self.told.add(name)
            log.warning("bad_list_value", extra={"kv": {"field": name, "value": value, "taken_as": taken}})

    def server(self, raw: Mapping[str, Any]) -> Server:
        """One entry; ValueError, KeyError or TypeError if it is malformed."""
        boot_ms = self._figure(raw, "boot_ms", 0.0)
        if boot_ms > time.time() * 1000.0 + CLOCKS_MS:
            self._odd("boot_ms", boot_ms, "now")  # the module counts a start to come as one of now
        entry = WorkerEntry(
            worker=str(raw["uid"]),
            zone=self.places.zone(str(raw.get("az")), -1),
            kind=self.places.kind(str(raw.get("model"))),
            cell=int(raw.get("pod_group") or 0),
            state=STATES[raw["state"]],
            weight=self._figure(raw, "capacity_hint", 1.0) or 1.0,
            started_ms=boot_ms + self.unix_to_clock_ms if boot_ms > 0 else None,
        )
        return Server(entry, address_of(raw["endpoint"]))

    def message(self, raw: Mapping[str, Any]) -> tuple[int, bool, list[Server]]:
        """The version, whether it is the whole list, and the entries; malformed ones are left out."""
        servers = []
        for item in raw.get("targets") or ():
            try:
                servers.append(self.server(item))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                log.warning("bad_list_entry", extra={"kv": {"error": repr(error)}})
        return int(raw.get("rev") or 0), bool(raw.get("all")), servers


class Watch:
    """Keeps one watch open, and opens the next when it ends or falls silent."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: Address, reader: ListReader, table: Listing,
        follows: Watch | None = None, siblings: int = 1,
    ) -> None:
        self.pause_s = max(AGAIN_S, AGAIN_EACH_S * siblings)
        self.loop, self.address, self.reader, self.table = loop, address, reader, table
        self.follows = follows  # the watch of another address, ended once this one has told its list
        self.version = 0  # an address counts its own versions: the first question asks for the whole list
        self.stream: LineStream | None = None
        self.stopped = False
        self.calls: int = follows.calls if follows is not None else 0  # since the start
        self.failures = 0  # watches in a row that ended without a line
        self.task: asyncio.Task[None] | None = None
        self.watchdog: asyncio.TimerHandle | None = None

    def known(self, raw: Mapping[str, Any]) -> None:
        """Take the list that was held before the start; it may be old."""
        self.version, _, servers = self.reader.message(raw)
        self.table.update(ListKind.CACHED, servers)

    def start(self) -> None:
        """Open the watch. Its one task is that of its connection."""
        if not self.stopped:
            self.calls += 1
            self.task = self.loop.create_task(self._open())

    def retire(self) -> None:
        """Hear on what is open, but open nothing more: another watch follows."""
        self.stopped = True

    def stop(self) -> None:
        """Watch no longer."""
        self.stopped = True
        self._end_former()
        if self.watchdog is not None:
            self.watchdog.cancel()
        if self.stream is not None:
            self.stream.close()

    def _end_former(self) -> None:
        if self.follows is not None:
            self.follows.stop()
            self.follows = None

    async def _open(self) -> None:
        host, port = self.address
        request = (
            f"GET /registry/instances?follow=1&since={self.version} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\nAccept: application/json\r\n\r\n"
        )
        stream = LineStream(request.encode(), self._line, self._ended)
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.loop.create_connection(lambda: stream, host, port)
        except (OSError, TimeoutError):
            if stream.transport is None:
                self._ended()
            return
        self.stream = stream
        if self.stopped:  # retired or stopped while the connection came up
            stream.close()
        else:
            self._heard()

    def _heard(self) -> None:
        if self.watchdog is not None:
            self.watchdog.cancel()
        self.watchdog = self.loop.call_later(SILENCE_S, self._silent)

    def _silent(self) -> None:
        # Guards against a watch that stays open while discovery is dead or cut off: drains would go unheard.
        log.warning("watch_silent", extra={"kv": {"rev": self.version}})
        self.table.silent("its watch missed a line")
        if self.stream is not None:
            self.stream.close()

    def _ended(self) -> None:
        self.stream = None
        if self.watchdog is not None:
            self.watchdog.cancel()
        if not self.stopped:
            # Guards discovery against all dispatchers of a fleet that was restarted: at one fixed pause they
            # come back together, and more often than it can answer, so that none of them gets a list.
            pause = min(AGAIN_MOST_S, self.pause_s * 2.0**self.failures) * random.uniform(0.5, 1.5)
            self.failures = min(self.failures + 1, DOUBLINGS)
            log.info("watch_ended", extra={"kv": {"rev": self.version, "again_s": pause}})
            self.loop.call_later(pause, self.start)

    def _line(self, line: bytes) -> None:
        self._heard()
        self.failures = 0
        if not line.strip():
            self.table.heard()
            return
        try:
            version, whole, servers = self.reader.message(json.loads(line))
        except (ValueError, AttributeError, TypeError) as error:
            log.warning("bad_list_line", extra={"kv": {"error": repr(error)}})
            return
        self.version = version
        # Guards against a gap on a move, and against an old address that speaks after the new one.
        self._end_former()
        self.table.update(ListKind.FULL if whole else ListKind.CHANGES, servers)
