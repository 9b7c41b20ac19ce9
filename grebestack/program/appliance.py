"""Builds the parts that only an operator's file configures: worker membership, Consul, the DRMAA job service.

A dispatcher that the platform configures never loads this module.
"""

from __future__ import annotations

import logging
import sqlite3
import time
from collections.abc import Mapping, Sequence
from typing import Any, Literal, cast

from grebestack.consul.agents import AgentSettings
from grebestack.consul.instances import InstanceReader, ReaderOptions, parse_networks
from grebestack.consul.source import ConsulSource, ServiceQuery, ServiceWatch, TokenFile
from grebestack.core.api import Settings
from grebestack.drmaa.api import DrmaaApi
from grebestack.drmaa.console import Cluster, Console
from grebestack.drmaa.template import TemplateConverter
from grebestack.jobs.records import JobLimits
from grebestack.jobs.service import JobService
from grebestack.jobs.store import JobStore, StoreError
from grebestack.membership.interface import DrainChanged, MembershipSettings
from grebestack.program.config.errors import StartError
from grebestack.program.config.model import Config, ConsulConfig, DrmaaConfig, WorkerMembershipConfig
from grebestack.protocol.http_workers import HttpWorkers
from grebestack.protocol.membership_adapter import MembershipAdapter
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import Clock, WorkerListReceiver
from grebestack.transport.connection_pool import ConnectionPools

log = logging.getLogger(__name__)
_RETENTION_INTERVAL_MS = 3_600_000.0
_SECONDS_PER_DAY = 86_400.0


def build_membership_adapter(config: WorkerMembershipConfig, engine: Engine) -> MembershipAdapter:
    """Return the adapter that checks what worker sources report before the worker table is updated."""
    settings = MembershipSettings(
        max_flaps=config.flaps,
        flap_window_ms=config.flap_window_s * 1000.0,
        base_hold_ms=config.hold_s * 1000.0,
        max_hold_ms=config.hold_most_s * 1000.0,
        max_removed_share=config.removed_share,
        min_workers=config.keep_least,
        moved_drain_ms=config.moved_s * 1000.0,
    )
    return MembershipAdapter(settings, engine.clock, engine.table)


def build_consul_source(
    config: ConsulConfig,
    pools: ConnectionPools,
    clock: Clock,
    options: Mapping[str, Any],
    receivers: Sequence[WorkerListReceiver],
) -> ConsulSource:
    """Return a source that watches all services, each of which updates one of `receivers`."""
    max_stale_ms = None if config.max_stale_s is None else config.max_stale_s * 1000.0
    settings = AgentSettings(config.agents, max_stale_ms=max_stale_ms)
    token, reader = TokenFile(config.token_file), InstanceReader(options, _reading(config))
    watches = [
        ServiceWatch(pools, clock, settings, _query(config, service), token, reader, receiver)
        for service, receiver in zip(config.services, receivers, strict=True)
    ]
    return ConsulSource(watches)


def _reading(config: ConsulConfig) -> ReaderOptions:
    warning = cast(Literal["full", "reduced", "drain"], config.warning)
    networks = parse_networks(config.networks) if config.networks else None
    return ReaderOptions(frozenset(config.checks), warning, config.prefer, networks)


def _query(config: ConsulConfig, service: str) -> ServiceQuery:
    return ServiceQuery(
        service,
        config.wait_s,
        config.datacenter,
        config.namespace,
        config.partition,
        config.tags,
        config.filter,
        config.consistency,
    )


def start_job_service(
    engine: Engine,
    http_workers: HttpWorkers,
    config: Config,
    drmaa: DrmaaConfig,
    membership_adapter: MembershipAdapter | None,
    cluster: Cluster | None = None,
) -> tuple[JobService, DrmaaApi]:
    """Open the store and restore its jobs; must return before workers' callbacks are accepted.

    Raises
    ------
    StartError : the store is unusable.
    """
    try:
        store = JobStore(drmaa.store_path)
        _remove_old_jobs(store, drmaa.retention_days, engine.clock)
        if membership_adapter is not None:
            for worker in store.drained_workers():
                membership_adapter.handle_event(DrainChanged(worker, True))
        templates = TemplateConverter(config.settings, drmaa.jobs.queued_classes)
        limits = _job_limits(drmaa, config.settings)
        service = JobService(engine, http_workers, config.settings, store, templates, limits)
        console = Console(config.name, engine, service, membership_adapter, cluster)
        api = DrmaaApi(service, templates, engine.clock, config.name, console.serve)
        service.restore()
    except (sqlite3.Error, StoreError) as error:
        raise StartError(str(error)) from error
    return service, api


def _job_limits(drmaa: DrmaaConfig, settings: Settings) -> JobLimits:
    jobs = drmaa.jobs
    objectives = jobs.latency_objective_s_by_class
    return JobLimits(
        latency_objectives_s=tuple(
            objectives.get(c.name, jobs.latency_objective_s) for c in settings.classes
        ),
        max_direct=drmaa.max_open_jobs,
        max_queued=jobs.max_queued,
        max_dependencies=jobs.max_dependencies,
        lookahead=jobs.lookahead,
        aged_share=jobs.aged_share,
    )


def _remove_old_jobs(store: JobStore, retention_days: float, clock: Clock) -> None:
    """Remove ended jobs, now and every hour, so that the store of a long-running dispatcher stays bounded."""
    try:
        removed = store.remove_ended_before(time.time() - retention_days * _SECONDS_PER_DAY)
        log.info("jobs_forgotten", extra={"kv": {"jobs": removed}})
    except sqlite3.Error as error:
        log.error("store_failed", extra={"kv": {"error": error}})
    next_ms = clock.now_ms() + _RETENTION_INTERVAL_MS
    clock.call_at(next_ms, lambda: _remove_old_jobs(store, retention_days, clock))
