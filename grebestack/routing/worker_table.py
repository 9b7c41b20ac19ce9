"""The server table: discovery's list as it stands here, with the address of each server."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from grebestack.core.api import ListKind, WorkerEntry, WorkerState


@dataclass(frozen=True, slots=True)
class WorkerEndpoint:
    """One line of the list and where the server listens."""

    entry: WorkerEntry
    address: tuple[str, int]
    uid: str = ""  # by which its call-backs name it, where that is not the entry's name: it has moved
    reason: str = ""  # why it is in its state, for people


MOST_NAMES = 100_000  # names that are remembered once they are in no list any more


class WorkerTable:
    """Holds the list, applies changes to it and tells the engine of each.

    A server that the operators have cordoned counts as draining whatever its source says: the bans lie beside
    the list, and what is used is made anew from both.
    """

    def __init__(self) -> None:
        self.cordoned: set[str] = set()
        self.known_names: dict[str, None] = {}  # all that any list has named, the longest unheard of first
        self.reported: dict[str, WorkerEndpoint] = {}  # as the source has them
        self.workers: dict[str, WorkerEndpoint] = {}
        self.has_live_list = False  # whether a list from a live source, not only an old one, has come
        self.on_change: Callable[[ListKind, tuple[WorkerEntry, ...]], None] = lambda kind, entries: None
        self.after_change: Callable[[], None] = lambda: None  # told after the engine has taken the change

    def update(self, kind: ListKind, servers: Iterable[WorkerEndpoint]) -> None:
        """Take a list or changes to it; a server that a whole list leaves out is gone."""
        former = self.workers
        if kind is not ListKind.CHANGES:
            self.reported, self.workers = {}, {}
        servers = tuple(self._placed(server, former) for server in servers)
        for server in servers:
            self.reported[server.entry.worker] = server
        self.remember_names(server.entry.worker for server in servers)
        self.has_live_list = self.has_live_list or kind is not ListKind.CACHED
        self._tell(kind, servers)

    @staticmethod
    def _placed(server: WorkerEndpoint, former: dict[str, WorkerEndpoint]) -> WorkerEndpoint:
        """With the address it had, where its source now names none that can be read."""
        if server.address[1] or (known := former.get(server.entry.worker)) is None:
            return server
        return replace(server, address=known.address)

    def _tell(self, kind: ListKind, servers: tuple[WorkerEndpoint, ...]) -> None:
        servers = tuple(self._seen(server) for server in servers)
        for server in servers:
            if server.entry.state is WorkerState.GONE:
                self.workers.pop(server.entry.worker, None)
            else:
                self.workers[server.entry.worker] = server
        self.on_change(kind, tuple(server.entry for server in servers))
        self.after_change()

    def _seen(self, server: WorkerEndpoint) -> WorkerEndpoint:
        entry = server.entry
        if entry.worker not in self.cordoned or entry.state is not WorkerState.READY:
            return server
        return replace(server, entry=replace(entry, state=WorkerState.DRAINING))

    def remember_names(self, names: Iterable[str]) -> None:
        """Some list has named these, perhaps one of another process."""
        for name in names:
            self.known_names.pop(name, None)
            self.known_names[name] = None
            if len(self.known_names) > MOST_NAMES + len(self.reported) + len(self.cordoned):
                del self.known_names[
                    next(n for n in self.known_names if n not in self.reported and n not in self.cordoned)
                ]

    def on_unchanged(self) -> None:
        """A list that comes straight here stands as long as nothing else is told: see membership."""

    def on_silent(self, why: str) -> None:
        """The same."""

    def set_cordoned(self, name: str, on: bool) -> None:
        """Leave a server out from now on, or do so no longer; KeyError if no list has ever named it.

        It holds when this returns: what waits asks `accepts` before its first byte.
        """
        if name not in self.known_names:
            raise KeyError(name)
        if (name in self.cordoned) != on:
            (self.cordoned.add if on else self.cordoned.discard)(name)
            if (server := self.reported.get(name)) is not None:
                entry = replace(server.entry, reinstated=not on)
                self._tell(ListKind.CHANGES, (replace(server, entry=entry),))

    def callback_id(self, name: str) -> str:
        """By which id the call-backs of a server name it."""
        server = self.workers.get(name)
        return name if server is None else server.uid or name

    def accepts_work(self, name: str) -> bool:
        """Whether a server may be sent new work."""
        server = self.workers.get(name)
        return server is not None and server.entry.state is WorkerState.READY
