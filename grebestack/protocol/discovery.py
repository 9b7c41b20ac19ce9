"""Keeps the worker table up to date from discovery: sockets and timers for `endpoint_watch`."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

from grebestack.core.api import ListKind, Settings
from grebestack.endpoint_watch import state_machine
from grebestack.endpoint_watch.state_machine import EndpointWatch, Stage
from grebestack.endpoint_watch.timing import CONNECT_TIMEOUT_MS, WatchSettings
from grebestack.protocol.worker_list import JsonObjectReader, WorkerListReader
from grebestack.routing.interfaces import WorkerListReceiver
from grebestack.routing.worker_table import WorkerEndpoint
from grebestack.transport.client import Address
from grebestack.transport.line_stream import LineStream

log = logging.getLogger(__name__)


def watch_settings(settings: Settings) -> WatchSettings:
    """Return the settings of the watch from those of the dispatcher."""
    return WatchSettings(not settings.polls_endpoint_list, settings.drain_grace_ms, settings.dispatcher_count)


class WatchConnection:
    """One watch: its connection, which may still be being established, and its lines."""

    def __init__(self, number: int, request: bytes, watcher: DiscoveryWatcher) -> None:
        """Have the request sent as soon as `stream` is connected."""
        self.number, self.watcher = number, watcher
        self.object_reader = JsonObjectReader()
        self.stream = LineStream(request, self._on_line, self._on_ended)
        self.task: asyncio.Task[None] | None = None
        self.closed = False

    def _on_line(self, line: bytes) -> None:
        if not self.closed:
            self.watcher.on_line(self, line)

    def _on_ended(self) -> None:
        if not self.closed:
            self.closed = True
            self.watcher.on_ended(self)

    def on_connect_failed(self) -> None:
        """The connection was refused, or not established in time."""
        if self.stream.transport is None:
            self._on_ended()

    def close(self) -> None:
        """Close the connection, or stop establishing it. The watcher is not called any more."""
        self.closed = True
        self.stream.close()
        if self.task is not None and not self.task.done():
            self.task.cancel()


class DiscoveryWatcher:
    """Watches the endpoint list at one address and passes it to the worker table."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        reader: WorkerListReader,
        table: WorkerListReceiver,
        replaces: DiscoveryWatcher | None = None,
        settings: WatchSettings | None = None,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Watch nothing yet.

        `replaces` is the watcher of a former address, which is stopped once a list has arrived here.
        """
        self.loop, self.address, self.reader, self.table = loop, address, reader, table
        self.replaces = replaces
        self.state_machine = EndpointWatch(WatchSettings() if settings is None else settings, draw)
        self.version = 0  # of this address's list; 0 requests the complete list
        self.cached_workers: list[WorkerEndpoint] = []  # of a list from before the start, not applied yet
        self.connections: dict[int, WatchConnection] = {}
        # Since the process started, also those of former addresses.
        self.request_count: int = replaces.request_count if replaces is not None else 0
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ms = 0.0

    def load_cached_list(self, raw: Mapping[str, Any]) -> None:
        """Load a list from before the start, which may be outdated.

        The source may send changes to it from now on. Where lists are pushed, it is used only once such a
        change arrives or `use_cached_list` is called: the agent's list counts as delivered from the start,
        and a worker of the cached list may be draining there.
        """
        self.version, _, self.cached_workers = self.reader.read_list(raw)
        if not self.state_machine.settings.pushed:  # a polled list counts as delivered seconds later
            self.use_cached_list()

    def use_cached_list(self) -> None:
        """Apply the cached list to the table, unless a newer one has arrived."""
        workers, self.cached_workers = self.cached_workers, []
        if workers:
            self.table.update(ListKind.CACHED, workers)

    def start(self) -> None:
        """Open the first watch."""
        self._handle(state_machine.Started())

    def retire(self) -> None:
        """Keep reading open watches but open no more: the watcher of another address replaces this one."""
        self._handle(state_machine.AddressChanged())

    def stop(self) -> None:
        """Close all watches."""
        self._stop_replaced()
        self._handle(state_machine.Stopped())
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def on_ended(self, connection: WatchConnection) -> None:
        """A connection was closed, or could not be established."""
        self.connections.pop(connection.number, None)
        self._handle(state_machine.WatchEnded(connection.number))

    def on_line(self, connection: WatchConnection, line: bytes) -> None:
        """A line was received on a connection."""
        try:
            raw = connection.object_reader.feed_line(line)
            if raw is None:
                if not connection.object_reader.pending_lines:  # else the list continues on the next line
                    self._on_heartbeat(connection)
                return
            version, is_complete, workers = self.reader.read_list(raw)
        except ValueError as error:
            self._on_malformed(connection, error)
            return
        self._on_list(connection, version, is_complete, workers)

    def _on_heartbeat(self, connection: WatchConnection) -> None:
        self._handle(state_machine.EventReceived(connection.number))
        self.use_cached_list()  # the source has nothing newer
        self.table.on_unchanged()

    def _on_malformed(self, connection: WatchConnection, error: ValueError) -> None:
        log.warning("bad_list_line", extra={"kv": {"error": f"{error!r:.200}", "rev": self.version}})
        self.version = 0  # later changes would refer to a list that was not received
        self._handle(state_machine.MalformedEvent(connection.number))

    def _on_list(
        self, connection: WatchConnection, version: int, is_complete: bool, workers: list[WorkerEndpoint]
    ) -> None:
        current = self.state_machine.current
        is_beside_another = current is not None and current.number != connection.number
        self._handle(state_machine.EventReceived(connection.number))
        if version < self.version:
            if is_beside_another:  # its line was written before one of the other watch, and read after it
                return
            if not is_complete:
                self.reader.warn_unexpected("rev", version, self.version)
        self.version = version
        if self.cached_workers and not is_complete:
            self.use_cached_list()  # the changes refer to this list
        self.cached_workers = []
        # Not earlier, so that the table is updated without a gap after a move; and before the update, so that
        # no list of the former address can overwrite the new one.
        self._stop_replaced()
        self.table.update(ListKind.FULL if is_complete else ListKind.CHANGES, workers)

    def _stop_replaced(self) -> None:
        if self.replaces is not None:
            self.replaces.stop()
            self.replaces = None

    def _handle(self, event: state_machine.Event) -> None:
        for action in self.state_machine.handle(time.monotonic() * 1000.0, event):
            match action:
                case state_machine.OpenWatch(number):
                    self._open(number)
                case state_machine.CloseWatch(number):
                    self._close(number)
                case state_machine.SetTimer(at_ms):
                    self._set_timer(at_ms)
                case state_machine.StageChanged(stage):
                    self._on_stage_changed(stage)
                case state_machine.WatchAnswered(number, waited_ms):
                    fields = {"call": number, "waited_ms": round(waited_ms, 1), "rev": self.version}
                    log.info("watch_answered", extra={"kv": fields})

    def _set_timer(self, at_ms: float) -> None:
        if self.timer is not None:
            if at_ms == self.timer_ms:
                return
            self.timer.cancel()
        self.timer_ms = at_ms
        self.timer = self.loop.call_later(max(0.0, at_ms / 1000.0 - time.monotonic()), self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self._handle(state_machine.TimerFired())

    def _on_stage_changed(self, stage: Stage) -> None:
        fields = {"stage": stage.value, "rev": self.version, "calls": self.request_count}
        if stage is Stage.SILENT:
            log.warning("watch_silent", extra={"kv": fields})
            self.table.on_silent("its watch received no heartbeat in time")
        elif stage is not Stage.CONNECTING:
            log.info("watch", extra={"kv": fields})

    def _open(self, number: int) -> None:
        self.request_count += 1
        host, port = self.address
        request = (
            f"GET /registry/instances?follow=1&since={self.version} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\nAccept: application/json\r\n\r\n"
        )
        connection = WatchConnection(number, request.encode(), self)
        self.connections[number] = connection
        connection.task = self.loop.create_task(self._connect(connection))

    def _close(self, number: int) -> None:
        if (connection := self.connections.pop(number, None)) is not None:
            connection.close()

    async def _connect(self, connection: WatchConnection) -> None:
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                await self.loop.create_connection(lambda: connection.stream, host, port)
        except (OSError, TimeoutError):
            connection.on_connect_failed()
        if connection.closed:  # while it was being established
            connection.stream.close()
