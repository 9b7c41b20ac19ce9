"""The shell of a shared reading: between a dispatcher's source of servers and the listings it feeds."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import Protocol

import msgspec

from grebestack.cluster_io.node import Node
from grebestack.cluster_tasks.shared_discovery import (
    Act,
    Alive,
    GiveUp,
    Line,
    Read,
    Said,
    Say,
    Sharing,
    Update,
    said,
)
from grebestack.core.api import ListKind, WorkerEntry, WorkerState
from grebestack.program.cluster_task import Attendance
from grebestack.routing.interfaces import Clock, Listing
from grebestack.routing.worker_table import Server

log = logging.getLogger(__name__)
TASK = "servers"
LOOK_MS = 200.0
_servers = msgspec.msgpack.Decoder(Server)


class Source(Protocol):
    """A reading of a dispatcher's own."""

    def start(self) -> None:
        """Begin."""

    def retire(self) -> None:
        """Another source follows."""

    def stop(self) -> None:
        """End."""


class Tapped:
    """A listing as the own source sees it."""

    def __init__(self, shared: SharedSource, index: int, listing: Listing) -> None:
        self.shared, self.index, self.listing = shared, index, listing

    @property
    def known(self) -> bool:
        """Whether a list from a live source has come."""
        return self.listing.known

    def update(self, kind: ListKind, servers: Iterable[Server]) -> None:
        """Take a list or changes to it, and pass it on where this member holds the task."""
        servers = tuple(servers)
        self.listing.update(kind, servers)
        if kind in (ListKind.FULL, ListKind.CHANGES):
            self.shared.told(self.index, kind is ListKind.FULL, servers)

    def heard(self) -> None:
        """The source has answered and nothing has changed."""
        self.listing.heard()
        self.shared.sharing.answered(self.shared.clock.now_ms())

    def silent(self, why: str) -> None:
        """The source did not answer."""
        self.listing.silent(why)
        self.shared.sharing.silent()


class SharedSource:
    """Reads for itself or follows the holder, as `Sharing` decides."""

    def __init__(
        self,
        node: Node,
        clock: Clock,
        listings: Sequence[Listing],
        make: Callable[[Sequence[Listing]], Source],
    ) -> None:
        self.node, self.clock, self.listings, self.make = node, clock, listings, make
        self.sharing = Sharing(len(listings), clock.now_ms(), place=node.replica.rank)
        self.own: Source | None = None
        self.attendance = Attendance(node, clock, TASK, said, self._heard, self._look)
        self.stopped = False

    def start(self) -> None:
        """Begin: the holder's list is awaited for a moment, then the own source is read."""
        self.sharing.heard_ms = self.clock.now_ms()
        self.attendance.begin()

    def retire(self) -> None:
        """Another source follows; the list stays as it is until then."""
        self.stop()

    def stop(self) -> None:
        """Read and tell no more."""
        self.stopped = True
        if self.own is not None:
            self.own.stop()
            self.own = None

    def _look(self, now: float) -> float | None:
        if self.stopped:
            return None
        self._carry_out(self.sharing.tick(now, self.node.valid_token(TASK)))
        return LOOK_MS

    def told(self, index: int, whole: bool, servers: Iterable[Server]) -> None:
        """The own source has told something."""
        if not self.stopped:
            now = self.clock.now_ms()
            self._carry_out(self.sharing.tick(now, self.node.valid_token(TASK)))
            self._carry_out(self.sharing.told(now, index, whole, [self._line(now, s) for s in servers]))

    def _heard(self, name: str, item: Said) -> None:
        """Another member says something."""
        if self.stopped:
            return
        now = self.clock.now_ms()
        self._carry_out(self.sharing.tick(now, self.node.valid_token(TASK)))
        self._carry_out(self.sharing.heard(now, name, item))

    @staticmethod
    def _line(now: float, server: Server) -> Line:
        """A start is told as an age: each member's clock is its own."""
        entry = server.entry
        if entry.state is WorkerState.GONE:
            return Line(entry.worker, b"")
        if entry.started_ms is not None:
            server = replace(server, entry=replace(entry, started_ms=now - entry.started_ms))
        return Line(entry.worker, msgspec.msgpack.encode(server))

    @staticmethod
    def _server(now: float, line: Line) -> Server:
        if not line.rest:
            return Server(WorkerEntry(line.name, state=WorkerState.GONE), ("", 0))
        server = _servers.decode(line.rest)
        if server.entry.started_ms is not None:
            server = replace(server, entry=replace(server.entry, started_ms=now - server.entry.started_ms))
        return server

    def _carry_out(self, acts: list[Act]) -> None:
        for act in acts:
            if isinstance(act, Say):
                self.attendance.say(act.body, act.to)
            elif isinstance(act, Read):
                self._read(act.on)
            elif isinstance(act, Update):
                self._update(act)
            elif isinstance(act, Alive):
                for listing in self.listings:
                    listing.heard()
            else:
                assert isinstance(act, GiveUp)
                log.warning("fleet_source_ill", extra={"kv": {"task": TASK}})
                self.node.release(TASK)
                self.clock.call_at(self.clock.now_ms() + 3.0 * self.node.settings.terms.term_ms, self._want)

    def _want(self) -> None:
        if not self.stopped and not self.node.stopped:
            self.node.become_candidate(TASK)

    def _read(self, on: bool) -> None:
        kv = {"task": TASK, "reads": on, "follows": self.sharing.leader or "nobody"}
        log.info("fleet_reading", extra={"kv": kv})
        if self.own is not None:
            self.own.stop()
            self.own = None
        if on:
            self.own = self.make([Tapped(self, n, listing) for n, listing in enumerate(self.listings)])
            self.own.start()

    def _update(self, act: Update) -> None:
        now = self.clock.now_ms()
        try:
            servers = [self._server(now, line) for line in act.lines]
        except msgspec.DecodeError as error:
            log.warning("fleet_list_unknown", extra={"kv": {"error": error}})
            return
        self.listings[act.index].update(ListKind.FULL if act.whole else ListKind.CHANGES, servers)
