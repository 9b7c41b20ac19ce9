"""Runs shared discovery: between a dispatcher's source of workers and the listings that it updates."""

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
NO_ADDRESS = ("", 0)  # of a worker that is gone
_decoder = msgspec.msgpack.Decoder(WorkerEndpoint)


class Source(Protocol):
    """A dispatcher's own source of workers."""

    def start(self) -> None:
        """Begin to read it."""

    def retire(self) -> None:
        """Stop since another source follows."""

    def stop(self) -> None:
        """Stop."""


class SharedListing:
    """A listing as the own source sees it: passes updates on to the listing and to shared discovery."""

    def __init__(self, owner: SharedSource, index: int, listing: WorkerListReceiver) -> None:
        """Begin with the listing's present contents."""
        self.owner, self.index, self.listing = owner, index, listing

    @property
    def has_live_list(self) -> bool:
        """Whether a list from a live source has come."""
        return self.listing.has_live_list

    def update(self, kind: ListKind, servers: Iterable[WorkerEndpoint]) -> None:
        """Apply a list or changes to it."""
        servers = tuple(servers)
        self.listing.update(kind, servers)
        if kind in (ListKind.FULL, ListKind.CHANGES):
            self.owner.on_source_update(self.index, kind is ListKind.FULL, servers)

    def on_unchanged(self) -> None:
        """Note that the source has responded and nothing has changed."""
        self.listing.on_unchanged()
        self.owner.discovery.on_source_responded(self.owner.clock.now_ms())

    def on_silent(self, why: str) -> None:
        """Note that the source did not respond."""
        self.listing.on_silent(why)
        self.owner.discovery.on_source_failed()


class SharedSource:
    """Reads the own source or follows the lease holder, as `SharedDiscovery` decides.

    Parameters
    ----------
    listings
        Those of the own source, in its order.
    make_source
        Makes the own source for listings.
    """

    def __init__(
        self,
        node: Node,
        clock: Clock,
        listings: Sequence[WorkerListReceiver],
        make_source: Callable[[Sequence[WorkerListReceiver]], Source],
    ) -> None:
        """Begin stopped."""
        self.node, self.clock, self.listings, self.make_source = node, clock, listings, make_source
        self.discovery = SharedDiscovery(len(listings), clock.now_ms(), rank=node.replica.rank)
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
        """Wait for the holder's list for a moment, then read the own source."""
        self.discovery.holder_last_seen_ms = self.clock.now_ms()
        self.runner.start()

    def retire(self) -> None:
        """Stop since another source follows; the lists stay as they are until then."""
        self.stop()

    def stop(self) -> None:
        """Read and send no more."""
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
        self._carry_out(self.discovery.tick(now_ms, self.node.valid_token(TASK)))

    def on_source_update(self, index: int, is_complete_list: bool, servers: Iterable[WorkerEndpoint]) -> None:
        """Handle a list or changes from the own source."""
        if not self.stopped:
            now_ms = self.clock.now_ms()
            self._tick(now_ms)
            entries = [encode_entry(now_ms, server) for server in servers]
            self._carry_out(self.discovery.on_source_update(now_ms, index, is_complete_list, entries))

    def _on_message(self, name: str, message: Message) -> None:
        if not self.stopped:
            now_ms = self.clock.now_ms()
            self._tick(now_ms)
            self._carry_out(self.discovery.on_message(now_ms, name, message))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            self.action_handlers[type(action)](action)

    def _send_message(self, action: SendMessage) -> None:
        self.runner.send(action.body, action.to)

    def _confirm_lists(self, action: ConfirmLists) -> None:
        for listing in self.listings:
            listing.on_unchanged()

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
            listings = [SharedListing(self, n, listing) for n, listing in enumerate(self.listings)]
            self.own_source = self.make_source(listings)
            self.own_source.start()

    def _update_list(self, action: UpdateList) -> None:
        now_ms = self.clock.now_ms()
        try:
            servers = [decode_entry(now_ms, entry) for entry in action.entries]
        except msgspec.DecodeError as error:
            log.warning("fleet_list_unknown", extra={"kv": {"error": error}})
            return
        kind = ListKind.FULL if action.is_complete_list else ListKind.CHANGES
        self.listings[action.source].update(kind, servers)


def encode_entry(now_ms: float, server: WorkerEndpoint) -> ListEntry:
    """Encode a worker for other members, with its start as an age: each member's clock is its own."""
    entry = server.entry
    if entry.state is WorkerState.GONE:
        return ListEntry(entry.worker, b"")
    if entry.started_ms is not None:
        server = replace(server, entry=replace(entry, started_ms=now_ms - entry.started_ms))
    return ListEntry(entry.worker, msgspec.msgpack.encode(server))


def decode_entry(now_ms: float, entry: ListEntry) -> WorkerEndpoint:
    """Decode a worker that another member has encoded; raises msgspec.DecodeError."""
    if not entry.data:
        return WorkerEndpoint(WorkerEntry(entry.name, state=WorkerState.GONE), NO_ADDRESS)
    server = _decoder.decode(entry.data)
    if server.entry.started_ms is not None:
        server = replace(server, entry=replace(server.entry, started_ms=now_ms - server.entry.started_ms))
    return server
