"""Builds a dispatcher from its parts and runs it until it is stopped.

Optional parts are imported where they are built, so that a dispatcher without them starts faster.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

import uvloop

from grebestack.program.client_listener import (
    BACKLOG,
    ClientListener,
    connection_limits,
    held_bytes_limit,
    sweep_periodically,
)
from grebestack.program.config.model import Config, DrmaaConfig
from grebestack.program.config_reload import ConfigReloader, fields_requiring_restart
from grebestack.program.lifecycle import Lifecycle, Stage
from grebestack.program.lifecycle_control import LifecycleControl
from grebestack.program.loop_clock import LoopClock
from grebestack.program.loop_monitor import LoopMonitor
from grebestack.program.memory_guard import MemoryGuard
from grebestack.program.memory_log import MemoryLog
from grebestack.program.process_memory import BYTES_PER_MB, ProcessMemory
from grebestack.program.traffic_log import TrafficLog
from grebestack.program.worker_sources import WorkerSources
from grebestack.protocol.discovery import DiscoveryWatcher
from grebestack.protocol.http_workers import HttpWorkers, LoadReportReader
from grebestack.protocol.platform import PlatformApi
from grebestack.protocol.settings import report_names
from grebestack.protocol.worker_list import WorkerListReader
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import Clock
from grebestack.routing.worker_table import WorkerTable
from grebestack.transport.acceptor import Acceptor
from grebestack.transport.client import Address
from grebestack.transport.connection_pool import ConnectionPools

if TYPE_CHECKING:
    from grebestack.jobs.service import JobService
    from grebestack.program.audit_recording import AuditRecorder
    from grebestack.program.cluster_member import ClusterMember
    from grebestack.program.config_updates import ConfigUpdates
    from grebestack.program.hot_restart import HotRestartRunner
    from grebestack.program.shared_discovery import Source
    from grebestack.protocol.membership_adapter import MembershipAdapter

log = logging.getLogger(__name__)
_LIST_TIMEOUT_S = 1.0  # after this, become ready without an up-to-date endpoint list
_LIST_CHECK_INTERVAL_S = 0.01
_ADMIN_BACKLOG = 64
_DEFAULT_IDLE_TIMEOUT_MS = 10_000.0
_IDLE_TIMEOUT_FRACTION = 0.6  # of the workers' own timeout, so that this side closes first


class Dispatcher:
    """One dispatcher with all its parts."""

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, read_config: Callable[[], Config]
    ) -> None:
        """Build the parts; `read_config` rereads the configuration. StartError: a part can't be built."""
        self.config, self.loop, self.read_config = config, loop, read_config
        self.list_reader = WorkerListReader(config.options)
        self.table = WorkerTable()
        self.engine = Engine(config.settings, config.seed, LoopClock(loop), self.table)
        limits = connection_limits(config)
        self.pools = _worker_pools(loop, config, limits.workers)
        reports = LoadReportReader(report_names(config.options.get("extra") or {}))
        self.http_workers = self.engine.workers = HttpWorkers(self.engine, self.pools, reports)
        self.platform_api = PlatformApi(
            self.engine, config.settings, self.http_workers.on_callback, config.accepts_requests
        )
        self.acceptor = Acceptor(self.platform_api, limits.clients)
        self.acceptor.set_max_held_bytes(held_bytes_limit(config))
        self.listener = ClientListener(loop, config, self.acceptor)
        self.lifecycle = Lifecycle()
        self.job_service: JobService | None = None
        self.hot_restart: HotRestartRunner | None = None
        self.is_stopped = False
        self.membership_adapter = self._build_membership_adapter()
        self.cluster_member = self._build_cluster_member()
        self.config_updates = self._build_config_updates()
        self.audit_recorder = self._build_audit_recorder()
        self.worker_sources = WorkerSources(
            loop, self.engine, self.list_reader, self.membership_adapter, self.cluster_member
        )
        self.worker_source: Source | None = self.worker_sources.create(config)
        self.reloader = ConfigReloader(self)
        self.lifecycle_control = LifecycleControl(self)
        self.loop_monitor = LoopMonitor(loop)
        # On the platform the folder is private and counts as memory; elsewhere it is everybody's.
        self.memory = ProcessMemory(None if config.path else os.environ.get("TMPDIR"))
        self.memory_log = MemoryLog(loop, self.memory, self.acceptor)
        # An operator's file states no limit.
        limit_bytes = None if config.path else int(config.max_memory_mb * BYTES_PER_MB)
        self.memory_guard = MemoryGuard(loop, self.memory, self.acceptor, limit_bytes)
        self.traffic_log = TrafficLog(loop, self.engine, self.pools, self.acceptor, self._count_list_requests)

    def _build_membership_adapter(self) -> MembershipAdapter | None:
        if self.config.membership is None:
            return None
        from grebestack.program import appliance

        return appliance.build_membership_adapter(self.config.membership, self.engine)

    def _build_cluster_member(self) -> ClusterMember | None:
        if self.config.cluster is None:
            return None
        from grebestack.program import cluster_member

        return cluster_member.ClusterMember(self, self.config.cluster)

    def _build_config_updates(self) -> ConfigUpdates | None:
        if self.config.distribution is None:
            return None
        from grebestack.program import config_updates

        node = self.cluster_member.node if self.cluster_member is not None else None
        updates = config_updates.ConfigUpdates(
            self.loop, self, self.config.distribution, self.config.name, node
        )
        self.read_config = updates.reread
        return updates

    def _build_audit_recorder(self) -> AuditRecorder | None:
        if self.config.audit is None:
            return None
        from grebestack.program import audit_recording

        return audit_recording.AuditRecorder(self, self.config.audit)

    def _count_list_requests(self) -> int:
        return self.worker_source.request_count if isinstance(self.worker_source, DiscoveryWatcher) else 0

    # Used by the parts.

    @property
    def clock(self) -> Clock:
        """The monotonic clock with the timers of the event loop."""
        return self.engine.clock

    def limit_connections(self, processes: int) -> None:
        """Limit connections to the share of one of `processes` processes in a hot restart."""
        limits = connection_limits(self.config, processes)
        self.acceptor.set_max_connections(limits.clients)
        self.acceptor.set_max_held_bytes(held_bytes_limit(self.config, processes))
        self.pools.set_max_connections(limits.workers)
        self.memory_guard.set_processes(processes)

    def stop_listening(self) -> None:
        """Close this process's copy of the client listener."""
        self.listener.close()

    def fields_requiring_restart(self, config: Config) -> list[str]:
        """Return the fields that differ from the current configuration and need a restart."""
        return fields_requiring_restart(config, self.config)

    def apply_config(self, config: Config) -> str:
        """Apply a validated configuration completely, or return why it can't be applied; else return ""."""
        return self.reloader.apply(config)

    def apply_lifecycle(self) -> None:
        """Update readiness and client connections to the state of `lifecycle`."""
        self.lifecycle_control.apply()

    def stop(self) -> None:
        """Begin a stop, which ends when all requests are answered."""
        self.lifecycle_control.stop()

    # Running.

    async def run(self, sighup_received: Callable[[], bool] = lambda: False) -> None:
        """Serve until SIGTERM or SIGINT arrives and all requests are answered.

        `sighup_received` returns whether a SIGHUP arrived before its handler was installed.
        """
        self._handle_signals(sighup_received)
        if self.config.listen_fd is not None:
            await self._begin_hot_restart()
        self._start_worker_source()
        await self._start_servers()
        self._wait_for_list(time.monotonic() + _LIST_TIMEOUT_S)
        self.traffic_log.start()
        self.loop_monitor.start()
        self.memory_log.start()
        sweep_periodically(self.loop, self.acceptor)
        gc.collect()
        gc.freeze()
        self.memory_guard.start()
        await self.lifecycle_control.stopped
        self.is_stopped = True
        self._close_parts()

    def _handle_signals(self, sighup_received: Callable[[], bool]) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reloader.reload)
        if sighup_received():  # it may have come after the configuration was read
            self.loop.call_soon(self.reloader.reload)

    async def _begin_hot_restart(self) -> None:
        from grebestack.program.hot_restart import HotRestartRunner

        folder = os.environ.get("TMPDIR")
        if not folder:
            log.warning("no_upgrades", extra={"kv": {"why": "TMPDIR is not set"}})
            return
        self.hot_restart = HotRestartRunner(self, folder)
        await self.hot_restart.begin()

    def _start_worker_source(self) -> None:
        cached_list = self.config.cached_list
        if cached_list and isinstance(self.worker_source, DiscoveryWatcher) and not self.table.workers:
            self.worker_source.load_cached_list(cached_list)
        self.config = replace(self.config, cached_list={})  # may be large, and is only used at the start
        if self.worker_source is not None:
            self.worker_source.start()

    async def _start_servers(self) -> None:
        if self.config_updates is not None:  # first, so that no client is served under an outdated version
            await self._start_cluster()
            await self.config_updates.start()
        if self.config.drmaa is not None:
            await self._start_drmaa(self.config.drmaa)
        if self.hot_restart is None or self.hot_restart.state_machine.predecessor is None:
            await self.listener.open()
        if self.config_updates is None:
            await self._start_cluster()

    async def _start_cluster(self) -> None:
        if self.cluster_member is not None:
            await self.cluster_member.start()
        if self.config.control is not None:
            await self._start_admin_server(self.config.control)

    async def _start_drmaa(self, config: DrmaaConfig) -> None:
        from grebestack.program import appliance

        self.job_service, api = appliance.start_job_service(
            self.engine, self.http_workers, self.config, config, self.membership_adapter, self.cluster_member
        )
        acceptor = Acceptor(api, self.acceptor.max_connections, config.max_body_bytes)
        acceptor.set_max_held_bytes(held_bytes_limit(self.config))
        sweep_periodically(self.loop, acceptor)
        await self.loop.create_server(acceptor, *config.listen, backlog=BACKLOG)
        log.info("drmaa_listening", extra={"kv": {"address": ":".join(map(str, config.listen))}})

    async def _start_admin_server(self, address: Address) -> None:
        from grebestack.admin.server import AdminServer
        from grebestack.program.admin_operations import LocalOperations

        operations = LocalOperations(self) if self.hot_restart is None else self.hot_restart
        reuse_port = True if self.hot_restart is not None else None  # both processes of a hot restart listen
        await self.loop.create_server(
            AdminServer(self.loop, operations), *address, backlog=_ADMIN_BACKLOG, reuse_port=reuse_port
        )
        log.info("control_listening", extra={"kv": {"address": ":".join(map(str, address))}})

    def _wait_for_list(self, until_s: float) -> None:
        """Serve once the endpoint list is up to date, since a cached list may name draining workers."""
        if self.lifecycle.stage is Stage.STOPPING:
            return
        if not self.table.has_live_list and time.monotonic() < until_s:
            self.loop.call_later(_LIST_CHECK_INTERVAL_S, self._wait_for_list, until_s)
            return
        if isinstance(self.worker_source, DiscoveryWatcher):
            self.worker_source.use_cached_list()
        if self.hot_restart is None:
            self._serve()
        else:
            self.hot_restart.started()

    async def accept_and_serve(self) -> None:
        """Accept clients and become ready, after the start or when the successor is lost."""
        await self.listener.open()
        self._serve()

    def _serve(self) -> None:
        self.lifecycle.finish_start(self.clock.now_ms())
        self.apply_lifecycle()
        kv: dict[str, object] = {"servers": len(self.table.workers), "live": self.table.has_live_list}
        if self.lifecycle.is_ready:
            log.info("ready", extra={"kv": kv})
        else:
            log.info("not_ready", extra={"kv": kv | {"state": self.lifecycle.stage.value}})

    def _close_parts(self) -> None:
        self.loop_monitor.stop()
        self.listener.close()
        for part in (self.config_updates, self.cluster_member, self.worker_source, self.audit_recorder):
            if part is not None:
                part.stop()
        if self.job_service is not None:
            self.job_service.record_deferred()
            self.job_service.store.close()


def _worker_pools(loop: asyncio.AbstractEventLoop, config: Config, connections: int) -> ConnectionPools:
    limits = config.options.get("limits") or {}
    idle_timeout_ms = float(limits.get("connIdleMs") or _DEFAULT_IDLE_TIMEOUT_MS)
    return ConnectionPools(
        loop,
        connections,
        config.settings.connect_timeout_ms / 1000.0,
        idle_timeout_ms / 1000.0 * _IDLE_TIMEOUT_FRACTION,
    )


def run(
    config: Config, read_config: Callable[[], Config], sighup_received: Callable[[], bool] = lambda: False
) -> None:
    """Run one dispatcher on uvloop; `read_config` rereads its configuration.

    Raises
    ------
    StartError, OSError : the dispatcher can't start.
    """

    async def main() -> None:
        await Dispatcher(config, asyncio.get_running_loop(), read_config).run(sighup_received)

    uvloop.run(main())
