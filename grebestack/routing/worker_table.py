"""The worker table: the endpoint list as this dispatcher applies it, with the address of each worker."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from grebestack.core.api import ListKind, WorkerEntry, WorkerState


@dataclass(frozen=True, slots=True)
class WorkerEndpoint:
    """One entry of the endpoint list and the address of its worker. The field names are keys on the wire."""

    entry: WorkerEntry
    address: tuple[str, int]
    uid: str = ""  # the id that its call-backs carry, where it differs from the entry's: the worker has moved
    reason: str = ""  # why it is in its state, for operators


MAX_REMEMBERED_NAMES = 100_000  # of workers that are in no list any more


class WorkerTable:
    """Holds the endpoint list, applies changes to it and notifies the engine of each.

    A cordoned worker counts as draining whatever its source reports. The cordons are kept apart from the
    list, so that a worker returns to its reported state once it is uncordoned.
    """

    def __init__(self) -> None:
        self.cordoned: set[str] = set()
        self.known_names: dict[str, None] = {}  # all that any list has named, least recently listed first
        self.reported: dict[str, WorkerEndpoint] = {}  # as the source reports them
        self.workers: dict[str, WorkerEndpoint] = {}  # as they are used, with cordons applied
        self.has_live_list = False  # a list from a live source has been received, not only a cached one
        self.on_change: Callable[[ListKind, tuple[WorkerEntry, ...]], None] = lambda kind, entries: None
        self.after_change: Callable[[], None] = lambda: None  # called once the engine has applied the change

    def update(self, kind: ListKind, workers: Iterable[WorkerEndpoint]) -> None:
        """Apply a list or changes to it; a worker that a complete list leaves out is gone."""
        previous = self.workers
        if kind is not ListKind.CHANGES:
            self.reported, self.workers = {}, {}
        workers = tuple(self._with_address(worker, previous) for worker in workers)
        for worker in workers:
            self.reported[worker.entry.worker] = worker
        self.remember_names(worker.entry.worker for worker in workers)
        self.has_live_list = self.has_live_list or kind is not ListKind.CACHED
        self._apply(kind, workers)

    @staticmethod
    def _with_address(worker: WorkerEndpoint, previous: dict[str, WorkerEndpoint]) -> WorkerEndpoint:
        """Return the worker with its previous address if the source now gives none that can be parsed."""
        if worker.address[1] or (known := previous.get(worker.entry.worker)) is None:
            return worker
        return replace(worker, address=known.address)

    def _apply(self, kind: ListKind, workers: tuple[WorkerEndpoint, ...]) -> None:
        workers = tuple(self._with_cordon(worker) for worker in workers)
        for worker in workers:
            if worker.entry.state is WorkerState.GONE:
                self.workers.pop(worker.entry.worker, None)
            else:
                self.workers[worker.entry.worker] = worker
        self.on_change(kind, tuple(worker.entry for worker in workers))
        self.after_change()

    def _with_cordon(self, worker: WorkerEndpoint) -> WorkerEndpoint:
        entry = worker.entry
        if entry.worker not in self.cordoned or entry.state is not WorkerState.READY:
            return worker
        return replace(worker, entry=replace(entry, state=WorkerState.DRAINING))

    def remember_names(self, names: Iterable[str]) -> None:
        """Remember names that some list has contained, perhaps one of another process."""
        for name in names:
            self.known_names.pop(name, None)
            self.known_names[name] = None
            if len(self.known_names) > MAX_REMEMBERED_NAMES + len(self.reported) + len(self.cordoned):
                del self.known_names[
                    next(n for n in self.known_names if n not in self.reported and n not in self.cordoned)
                ]

    def on_unchanged(self) -> None:
        """Do nothing: unlike in membership, a list applied directly to this table never becomes stale."""

    def on_silent(self, reason: str) -> None:
        """Do nothing, for the same reason."""

    def set_cordoned(self, name: str, on: bool) -> None:
        """Cordon or uncordon a worker; KeyError if no list has ever named it.

        Takes effect before this returns: an attempt that is not sent yet checks `accepts_work` before its
        first byte.
        """
        if name not in self.known_names:
            raise KeyError(name)
        if (name in self.cordoned) != on:
            (self.cordoned.add if on else self.cordoned.discard)(name)
            if (worker := self.reported.get(name)) is not None:
                entry = replace(worker.entry, put_back=not on)
                self._apply(ListKind.CHANGES, (replace(worker, entry=entry),))

    def callback_id(self, name: str) -> str:
        """Return the id that the call-backs of a worker carry."""
        worker = self.workers.get(name)
        return name if worker is None else worker.uid or name

    def names_of(self, callback_ids: set[str]) -> tuple[str, ...]:
        """Return the names of the workers whose call-backs carry one of these ids."""
        if not callback_ids:
            return ()
        return tuple(name for name in self.workers if self.callback_id(name) in callback_ids)

    def accepts_work(self, name: str) -> bool:
        """Whether a worker may be sent new work."""
        worker = self.workers.get(name)
        return worker is not None and worker.entry.state is WorkerState.READY
