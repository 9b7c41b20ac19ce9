"""Runs shared discovery, between a dispatcher's worker source and the receivers of its worker lists."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import Any, Protocol

import msgspec

from grebestack.cluster_io.node import Node
from grebestack.cluster_tasks.shared_discovery import (
    Action,
    ConfirmLists,
    ListEntry,
    Message,
    ReadSource,
    ReleaseLease,
    SendMessage,
    SharedDiscovery,
    UpdateList,
    decode,
)
from grebestack.core.api import ListKind, WorkerEntry, WorkerState
from grebestack.program.cluster_task import TaskRunner
from grebestack.routing.interfaces import Clock, WorkerListReceiver
from grebestack.routing.worker_table import WorkerEndpoint

log = logging.getLogger(__name__)
TASK = "servers"
TICK_INTERVAL_MS = 200.0
CANDIDACY_PAUSE_TERMS = 3.0  # lease terms, after the source did not respond
NO_ADDRESS = ("", 0)  # of a removed worker
_decoder = msgspec.msgpack.Decoder(WorkerEndpoint)


class Source(Protocol):
    """A source of worker lists."""

    def start(self) -> None:
        """Begin to read the source."""

    def retire(self) -> None:
        """Stop because another source replaces this one."""

    def stop(self) -> None:
        """Stop reading."""


class SharedListReceiver:
    """The receiver given to the own source: forwards updates to the real receiver and to shared discovery."""

    def __init__(self, owner: SharedSource, index: int, receiver: WorkerListReceiver) -> None:
        """Forward to `receiver`, which has number `index`."""
        self.owner, self.index, self.receiver = owner, index, receiver

    @property
    def has_live_list(self) -> bool:
        """Whether a list from a live source has arrived."""
        return self.receiver.has_live_list

    def update(self, kind: ListKind, workers: Iterable[WorkerEndpoint]) -> None:
        """Apply a full list or changes."""
        workers = tuple(workers)
        self.receiver.update(kind, workers)
        if kind in (ListKind.FULL, ListKind.CHANGES):
            self.owner.on_source_update(self.index, kind is ListKind.FULL, workers)

    def on_unchanged(self) -> None:
        """Note that the source has responded and nothing has changed."""
        self.receiver.on_unchanged()
        self.owner.discovery.on_source_responded(self.owner.clock.now_ms())

    def on_silent(self, reason: str) -> None:
        """Note that the source did not respond."""
        self.receiver.on_silent(reason)
        self.owner.discovery.on_source_failed()


class SharedSource:
    """Reads the member's own source or follows the lease holder, as `SharedDiscovery` decides.

    Parameters
    ----------
    receivers
        The receivers of the source's worker lists, in its order.
    make_source
        Makes this member's own source, which updates the given receivers.
    """

    def __init__(
        self,
        node: Node,
        clock: Clock,
        receivers: Sequence[WorkerListReceiver],
        make_source: Callable[[Sequence[WorkerListReceiver]], Source],
    ) -> None:
        """Create the source without starting it."""
        self.node, self.clock, self.receivers, self.make_source = node, clock, receivers, make_source
        self.discovery = SharedDiscovery(len(receivers), clock.now_ms(), rank=node.replica.rank)
        self.own_source: Source | None = None
        self.stopped = False
        self.action_handlers: dict[type[Action], Callable[[Any], None]] = {
            SendMessage: self._send_message,
            ReadSource: self._read_source,
            UpdateList: self._update_list,
            ConfirmLists: self._confirm_lists,
            ReleaseLease: self._release_lease,
        }
        self.runner: TaskRunner[Message] = TaskRunner(
            node, clock, TASK, decode, self._on_message, self._on_tick
        )

    def start(self) -> None:
        """Wait briefly for the lease holder's list before reading the own source."""
        self.discovery.holder_last_seen_ms = self.clock.now_ms()
        self.runner.start()

    def retire(self) -> None:
        """Stop because another source replaces this one; the lists stay until that one updates them."""
        self.stop()

    def stop(self) -> None:
        """Stop reading the source and sending messages."""
        self.stopped = True
        self._stop_own_source()

    def _stop_own_source(self) -> None:
        if self.own_source is not None:
            self.own_source.stop()
            self.own_source = None

    def _on_tick(self, now_ms: float) -> float | None:
        if self.stopped:
            return None
        self._tick(now_ms)
        return TICK_INTERVAL_MS

    def _tick(self, now_ms: float) -> None:
        self._execute(self.discovery.tick(now_ms, self.node.valid_token(TASK)))

    def on_source_update(self, index: int, is_complete_list: bool, workers: Iterable[WorkerEndpoint]) -> None:
        """Handle a full list or changes from the own source."""
        if not self.stopped:
            now_ms = self.clock.now_ms()
            self._tick(now_ms)
            entries = [encode_entry(now_ms, worker) for worker in workers]
            self._execute(self.discovery.on_source_update(now_ms, index, is_complete_list, entries))

    def _on_message(self, name: str, message: Message) -> None:
        if not self.stopped:
            now_ms = self.clock.now_ms()
            self._tick(now_ms)
            self._execute(self.discovery.on_message(now_ms, name, message))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            self.action_handlers[type(action)](action)

    def _send_message(self, action: SendMessage) -> None:
        self.runner.send(action.body, action.to)

    def _confirm_lists(self, action: ConfirmLists) -> None:
        for receiver in self.receivers:
            receiver.on_unchanged()

    def _release_lease(self, action: ReleaseLease) -> None:
        log.warning("fleet_source_ill", extra={"kv": {"task": TASK}})
        self.node.release(TASK)
        pause_ms = CANDIDACY_PAUSE_TERMS * self.node.settings.terms.term_ms
        self.clock.call_at(self.clock.now_ms() + pause_ms, self._become_candidate)

    def _become_candidate(self) -> None:
        if not self.stopped and not self.node.stopped:
            self.node.become_candidate(TASK)

    def _read_source(self, action: ReadSource) -> None:
        kv = {"task": TASK, "reads": action.enabled, "follows": self.discovery.holder or "nobody"}
        log.info("fleet_reading", extra={"kv": kv})
        self._stop_own_source()
        if action.enabled:
            receivers = [SharedListReceiver(self, n, receiver) for n, receiver in enumerate(self.receivers)]
            self.own_source = self.make_source(receivers)
            self.own_source.start()

    def _update_list(self, action: UpdateList) -> None:
        now_ms = self.clock.now_ms()
        try:
            workers = [decode_entry(now_ms, entry) for entry in action.entries]
        except msgspec.DecodeError as error:
            log.warning("fleet_list_unknown", extra={"kv": {"error": error}})
            return
        kind = ListKind.FULL if action.is_complete_list else ListKind.CHANGES
        self.receivers[action.source].update(kind, workers)


def encode_entry(now_ms: float, worker: WorkerEndpoint) -> ListEntry:
    """Encode a worker for other members; its start is sent as an age, since their clocks differ."""
    entry = worker.entry
    if entry.state is WorkerState.GONE:
        return ListEntry(entry.worker, b"")
    if entry.started_ms is not None:
        worker = replace(worker, entry=replace(entry, started_ms=now_ms - entry.started_ms))
    return ListEntry(entry.worker, msgspec.msgpack.encode(worker))


def decode_entry(now_ms: float, entry: ListEntry) -> WorkerEndpoint:
    """Decode a worker that another member has encoded; raises msgspec.DecodeError."""
    if not entry.data:
        return WorkerEndpoint(WorkerEntry(entry.name, state=WorkerState.GONE), NO_ADDRESS)
    worker = _decoder.decode(entry.data)
    if worker.entry.started_ms is not None:
        worker = replace(worker, entry=replace(worker.entry, started_ms=now_ms - worker.entry.started_ms))
    return worker
