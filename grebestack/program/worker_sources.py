"""Creates the source of the worker table: discovery, Consul, another member, or the file's own list."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING

from grebestack.core.api import ListKind
from grebestack.program.config.model import Config
from grebestack.protocol.discovery import DiscoveryWatcher, watch_settings
from grebestack.protocol.settings import warn_unknown_discovery
from grebestack.protocol.worker_list import WorkerListReader
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import WorkerListReceiver
from grebestack.transport.connection_pool import ConnectionPools

if TYPE_CHECKING:
    from grebestack.consul.source import ConsulSource
    from grebestack.program.cluster_member import ClusterMember
    from grebestack.program.shared_discovery import Source
    from grebestack.protocol.membership_adapter import MembershipAdapter

_CONSUL_CONNECTIONS = 16
_CONSUL_CONNECT_TIMEOUT_S = 2.0
_CONSUL_IDLE_TIMEOUT_S = 60.0
_CONSUL_MAX_BODY_BYTES = 64 * 1024 * 1024


class WorkerSources:
    """Creates worker sources from configurations."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        list_reader: WorkerListReader,
        membership_adapter: MembershipAdapter | None,
        cluster_member: ClusterMember | None,
    ) -> None:
        """Parameters: `membership_adapter` checks what sources report, `cluster_member` may share one."""
        self.loop, self.engine, self.list_reader = loop, engine, list_reader
        self.membership_adapter, self.cluster_member = membership_adapter, cluster_member

    def create(self, config: Config, previous: DiscoveryWatcher | None = None) -> Source | None:
        """Return a source without starting it; None if the file itself lists the workers.

        Parameters
        ----------
        config : names the source.
        previous : a discovery watcher whose list the new one takes over.

        Raises
        ------
        ValueError, KeyError, TypeError : the list in the file is invalid.
        """
        is_list = config.worker_source.kind == "list"
        entries = config.worker_source.entries if is_list else ()
        workers = [self.list_reader.read_worker(raw, strict=True) for raw in entries]
        receivers = self._receivers(config)
        if is_list:
            self.loop.call_soon(receivers[0].update, ListKind.FULL, workers)
            return None
        if self.cluster_member is not None and self.cluster_member.config.share_worker_source:
            return self.cluster_member.share(
                receivers, lambda shared_receivers: self._own_source(config, shared_receivers, None)
            )
        return self._own_source(config, receivers, previous)

    def _receivers(self, config: Config) -> Sequence[WorkerListReceiver]:
        """Return what the source updates: the worker table, or the membership adapter for each service."""
        if self.membership_adapter is None or config.membership is None:
            return [self.engine.table]
        source = config.worker_source
        stale_s = float("inf") if source.kind == "list" else config.membership.stale_s
        address = f" {':'.join(map(str, config.discovery))}" if source.kind == "discovery" else ""
        names = [f"{source.kind}{address}"]
        if source.consul is not None:
            names = [f"consul {service}" for service in source.consul.services]
        return [*self.membership_adapter.replace_sources(names, stale_s * 1000.0, source.snapshot_path)]

    def _own_source(
        self, config: Config, receivers: Sequence[WorkerListReceiver], previous: DiscoveryWatcher | None
    ) -> DiscoveryWatcher | ConsulSource:
        consul = config.worker_source.consul
        if consul is not None:
            from grebestack.program import appliance  # not needed on the platform

            pools = ConnectionPools(
                self.loop,
                _CONSUL_CONNECTIONS,
                _CONSUL_CONNECT_TIMEOUT_S,
                _CONSUL_IDLE_TIMEOUT_S,
                max_body_bytes=_CONSUL_MAX_BODY_BYTES,
            )
            return appliance.build_consul_source(consul, pools, self.engine.clock, config.options, receivers)
        warn_unknown_discovery(config.options)
        settings = watch_settings(config.settings)
        return DiscoveryWatcher(
            self.loop, config.discovery, self.list_reader, receivers[0], previous, settings
        )
