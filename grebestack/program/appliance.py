"""What only an appliance has: the job service and the DRMAA front. The platform's path never loads this."""

from __future__ import annotations

import logging
import sqlite3
import time
from collections.abc import Mapping, Sequence
from typing import Any, Literal, cast

from grebestack.consul.agents import AgentSettings
from grebestack.consul.entries import Entries, Reading, networks_of
from grebestack.consul.source import Asking, ConsulSource, ServiceWatch, Token
from grebestack.drmaa.console import Console, Fleet
from grebestack.drmaa.front import DrmaaFront
from grebestack.drmaa.template import Templates
from grebestack.jobs.records import JobLimits
from grebestack.jobs.service import JobService
from grebestack.jobs.store import JobStore, StoreError
from grebestack.membership.interface import Drained, MembershipSettings
from grebestack.program.config.errors import StartError
from grebestack.program.config.model import Config, ConsulConfig, DrmaaConfig, WorkerMembershipConfig
from grebestack.protocol.membership_adapter import Roster
from grebestack.protocol.runners import Runners
from grebestack.routing.engine import Engine
from grebestack.routing.interfaces import Clock, Listing
from grebestack.transport.client import Pools

log = logging.getLogger(__name__)
FORGET_MS = 3_600_000.0


def roster(config: WorkerMembershipConfig, engine: Engine) -> Roster:
    """What is believed of the servers, between their sources and the server table."""
    settings = MembershipSettings(
        flaps=config.flaps,
        flap_window_ms=config.flap_window_s * 1000.0,
        hold_ms=config.hold_s * 1000.0,
        hold_most_ms=config.hold_most_s * 1000.0,
        removed_share=config.removed_share,
        keep_least=config.keep_least,
        moved_ms=config.moved_s * 1000.0,
    )
    return Roster(settings, engine.clock, engine.table)


def consul(
    config: ConsulConfig, pools: Pools, clock: Clock, options: Mapping[str, Any], listings: Sequence[Listing]
) -> ConsulSource:
    """The queries of all services, each with a listing of its own."""
    settings = AgentSettings(
        config.agents, most_stale_ms=None if config.max_stale_s is None else config.max_stale_s * 1000.0
    )
    warning = cast(Literal["full", "reduced", "drain"], config.warning)
    reading = Reading(
        frozenset(config.checks),
        warning,
        config.prefer,
        networks_of(config.networks) if config.networks else None,
    )
    token, entries = Token(config.token_file), Entries(options, reading)
    return ConsulSource(
        [
            ServiceWatch(
                pools,
                clock,
                settings,
                Asking(
                    service,
                    config.wait_s,
                    config.datacenter,
                    config.namespace,
                    config.partition,
                    config.tags,
                    config.filter,
                    config.consistency,
                ),
                token,
                entries,
                listing,
            )
            for service, listing in zip(config.services, listings, strict=True)
        ]
    )


def start(
    engine: Engine,
    runners: Runners,
    config: Config,
    drmaa: DrmaaConfig,
    roster: Roster | None,
    fleet: Fleet | None = None,
) -> tuple[JobService, DrmaaFront]:
    """Open the store and take up its jobs, before any call-back can come. StartError: it can't be used."""
    jobs, classes = drmaa.jobs, config.settings.classes
    try:
        store = JobStore(drmaa.store_path)
        _forget(store, drmaa.retention_days, engine.clock)
        if roster is not None:
            for server in store.drains():
                roster.feed(Drained(server, True))
        templates = Templates(config.settings, jobs.queued_classes)
        limits = JobLimits(
            wanted=tuple(
                jobs.latency_objective_s_by_class.get(c.name, jobs.latency_objective_s) for c in classes
            ),
            most_open=drmaa.max_open_jobs,
            most_waiting=jobs.max_queued,
            most_conditions=jobs.max_conditions,
            ahead=jobs.lookahead,
            ripe=jobs.ripe,
        )
        service = JobService(engine, runners, config.settings, store, templates, limits)
        console = Console(config.name, engine, service, roster, fleet)
        front = DrmaaFront(service, templates, engine.clock, config.name, console.serve)
        service.restore()
    except (sqlite3.Error, StoreError) as error:
        raise StartError(str(error)) from error
    return service, front


def _forget(store: JobStore, keep_days: float, clock: Clock) -> None:
    """Guards the operator's disk: an appliance runs for months."""
    try:
        forgotten = store.forget_before(time.time() - keep_days * 86400.0)
        log.info("jobs_forgotten", extra={"kv": {"jobs": forgotten}})
    except sqlite3.Error as error:
        log.error("store_failed", extra={"kv": {"error": error}})
    clock.call_at(clock.now_ms() + FORGET_MS, lambda: _forget(store, keep_days, clock))
