"""Exports the cluster's counters: the lease holder collects them and posts them to a collector."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from functools import partial

import msgspec

from grebestack.cluster_io.node import Node
from grebestack.cluster_tasks.metrics_export import (
    CountersCollector,
    CountersRequest,
    CountersResponse,
    Export,
    Message,
    decode,
)
from grebestack.program.cluster_task import TaskRunner
from grebestack.program.config.model import MetricsExportConfig
from grebestack.routing.interfaces import Clock
from grebestack.transport.client import Response
from grebestack.transport.connection_pool import ConnectionPools

log = logging.getLogger(__name__)
MAX_TICK_INTERVAL_MS = 1000.0
EXPORT_TIMEOUT_MS = 2000.0
TOKEN_REJECTED_STATUS = 409  # the collector has seen a later fencing token


class ExportRequest:
    """The HTTP request of one export, sent only while the lease under which it was collected is valid."""

    delays_last_byte = False

    def __init__(self, exporter: MetricsExporter, export: Export) -> None:
        """Create the request; the connection pool calls `on_connection_ready` to send it."""
        self.exporter, self.export = exporter, export
        self.ended = False

    def on_connection_ready(self) -> bytes | None:
        """Return the bytes to send on a new connection, or None if the lease has ended meanwhile."""
        if self.ended or self.exporter.node.valid_token(self.export.task) != self.export.token:
            self.end("the lease has ended")
            return None
        body = msgspec.json.encode(self.export)
        host, port = self.exporter.config.collector
        head = (
            f"POST {self.exporter.config.path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"X-Fleet-Task: {self.export.task}\r\nX-Fleet-Token: {self.export.token}\r\n\r\n"
        )
        return head.encode() + body

    def before_last_byte(self) -> None:
        """Do nothing: the last byte is not delayed."""

    def on_last_byte(self) -> None:
        """Do nothing: the response decides the outcome."""

    def on_response(self, response: Response) -> None:
        """Handle the collector's response."""
        if response.status == TOKEN_REJECTED_STATUS:
            self.exporter.node.on_fenced(self.export.task)
            self.end("a later holder has acted")
        else:
            self.end("" if response.status < 300 else f"status {response.status}")

    def on_not_sent(self) -> None:
        """Handle a request that was not sent."""
        self.end("the collector can't be reached")

    def on_response_lost(self) -> None:
        """Handle a connection that ended without a response; the next export includes these counts."""
        self.end("the collector did not answer")

    def end(self, failure: str) -> None:
        """Report the end once; `failure` is the reason of a failure, or empty."""
        if not self.ended:
            self.ended = True
            self.exporter.on_request_ended(self, failure)


class MetricsExporter:
    """Runs one metrics export task.

    Parameters
    ----------
    own_counters
        Returns this dispatcher's counters.
    """

    def __init__(
        self,
        node: Node,
        task: str,
        config: MetricsExportConfig,
        pools: ConnectionPools,
        clock: Clock,
        own_counters: Callable[[], Mapping[str, int]],
    ) -> None:
        """Start the task."""
        self.node, self.config, self.pools, self.clock = node, config, pools, clock
        self.own_counters = own_counters
        cluster, name = node.settings.cluster, node.settings.name
        self.collector = CountersCollector(cluster, task, name, config.interval_s * 1000.0)
        self.request: ExportRequest | None = None
        self.last_logged_failure = ""
        self.runner: TaskRunner[Message] = TaskRunner(
            node, clock, task, decode, self._on_message, self._on_tick
        )
        self.runner.start()

    def _on_message(self, name: str, message: Message) -> None:
        if isinstance(message, CountersResponse):
            self.collector.on_response(name, message)
            self.runner.tick()
            return
        incarnation = self.node.replica.process_incarnation
        response = CountersResponse(message.number, incarnation, dict(self.own_counters()))
        self.runner.send(msgspec.msgpack.encode(response), name)

    def _on_tick(self, now_ms: float) -> float:
        members = self.node.replica.config.names()
        connected = frozenset(self.node.connections) & members
        token = self.node.valid_token(self.collector.task)
        if self.collector.tick(now_ms, token, self.own_counters(), connected, members):
            self.runner.send(msgspec.msgpack.encode(CountersRequest(self.collector.number)))
        self._export()
        return min(max(1.0, self.collector.due_ms(now_ms) - now_ms), MAX_TICK_INTERVAL_MS)

    def _export(self) -> None:
        if self.request is not None:
            return
        export = self.collector.take_export(self.clock.now_ms())
        if export is not None:
            self.request = request = ExportRequest(self, export)
            self.clock.call_at(self.clock.now_ms() + EXPORT_TIMEOUT_MS, partial(self._on_timeout, request))
            self.pools.pool(self.config.collector).submit(request)

    def _on_timeout(self, request: ExportRequest) -> None:
        if not request.ended:
            pool = self.pools.pool(self.config.collector)
            if not pool.withdraw(request):
                pool.abort(request)
            request.end("no answer in time")

    def on_request_ended(self, request: ExportRequest, failure: str) -> None:
        """Handle the end of an export; log its outcome if it differs from the last one."""
        if request is self.request:
            self.request = None
        if failure != self.last_logged_failure:
            self.last_logged_failure = failure
            export = request.export
            kv = {"task": export.task, "token": export.token, "why": failure or "recovered"}
            log.info("fleet_export", extra={"kv": kv})
        self.runner.tick()
