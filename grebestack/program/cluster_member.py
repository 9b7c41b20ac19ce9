"""The dispatcher as a member of a cluster: its node, its cluster tasks, and their status for operators."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from grebestack.admin.commands import CommandResponse
from grebestack.cluster_io import log_store
from grebestack.cluster_io.log_store import Files, FolderTakenError
from grebestack.cluster_io.node import Node, NodeSettings
from grebestack.cluster_io.runtime import monotonic_ms
from grebestack.cluster_tasks.rolling_restart import RestartTimes
from grebestack.consensus.lease import LeaseParticipant, LeaseTerms
from grebestack.consensus.messages import (
    IncarnationStarted,
    LogRecord,
    MembershipConfig,
    ProcessStarted,
    encode,
)
from grebestack.program import rolling_restart, shared_discovery
from grebestack.program.config.errors import ConfigError, StartError
from grebestack.program.config.model import ClusterConfig, Config
from grebestack.program.metrics_exporter import MetricsExporter
from grebestack.routing.interfaces import WorkerListReceiver
from grebestack.transport.connection_pool import ConnectionPools

if TYPE_CHECKING:
    from grebestack.program.config_updates import ConfigUpdates
    from grebestack.routing.engine import Engine

log = logging.getLogger(__name__)
FOUNDING_INCARNATION = "founding"  # the disk incarnation of the members that found a cluster
BACKLOG = 1024  # connections that wait to be accepted
# Replaced by tests: the file system, the clock in milliseconds, and the names of the export tasks.
FILES: Callable[[], Files] = Files
CLOCK: Callable[[], float] = monotonic_ms
EXPORT_TASKS: tuple[str, ...] = ("tallies",)


class ClusterDispatcher(rolling_restart.RestartedDispatcher, Protocol):
    """What a cluster member uses of its dispatcher."""

    config: Config
    loop: asyncio.AbstractEventLoop
    engine: Engine
    config_updates: ConfigUpdates | None


class ClusterMember:
    """This dispatcher as a cluster member; built if the operator's file has a [fleet] section.

    Raises
    ------
    StartError
        Another process has locked the folder.
    """

    def __init__(self, dispatcher: ClusterDispatcher, config: ClusterConfig) -> None:
        """Read the member's log; `start` connects it to the others."""
        self.dispatcher, self.config = dispatcher, config
        terms = LeaseTerms(config.lease_term_s * 1000.0, config.max_clock_drift, config.lease_guard_ms)
        exports = EXPORT_TASKS if config.metrics_export is not None else ()
        tasks = (
            *exports,
            rolling_restart.TASK,
            *((shared_discovery.TASK,) if config.share_worker_source else ()),
        )
        settings = NodeSettings(
            dispatcher.config.name, config.name, config.listen, config.peers, config.folder, tasks, terms
        )
        try:
            self.node = Node(dispatcher.loop, settings, FILES(), CLOCK)
        except FolderTakenError as error:
            raise StartError(str(error)) from error
        self.tasks, self.export_tasks = tasks, exports
        times = RestartTimes(config.restart_timeout_s * 1000.0, config.restart_pause_s * 1000.0)
        self.rolling_restart = rolling_restart.RollingRestart(dispatcher, self.node, times)

    async def start(self) -> None:
        """Accept connections from other members, and start the cluster tasks."""
        loop = self.dispatcher.loop
        server = await loop.create_server(self.node.accept, *self.config.listen, backlog=BACKLOG)
        self.node.listen(server)
        log.info("fleet_listening", extra={"kv": {"address": ":".join(map(str, self.config.listen))}})
        self.rolling_restart.start()
        if self.config.metrics_export is not None:
            engine = self.dispatcher.engine
            pools = ConnectionPools(loop, 4, 1.0, 30.0)
            for task in self.export_tasks:
                MetricsExporter(
                    self.node, task, self.config.metrics_export, pools, engine.clock, lambda: engine.counts
                )

    def share(
        self,
        receivers: Sequence[WorkerListReceiver],
        make_source: Callable[[Sequence[WorkerListReceiver]], shared_discovery.Source],
    ) -> shared_discovery.SharedSource:
        """Return a source that one member reads for all; `make_source` makes this member's own source."""
        return shared_discovery.SharedSource(self.node, self.dispatcher.engine.clock, receivers, make_source)

    def release_leases(self) -> None:
        """Release all leases when a stop begins, so that other members need not wait for them to expire."""
        for task in self.tasks:
            self.node.release(task)

    def stop(self) -> None:
        """Close the node and its connections."""
        self.node.stop()

    def remove_member(self, name: str) -> CommandResponse:
        """Remove a stopped member: propose a membership without it."""
        replica, own_name = self.node.replica, self.node.settings.name
        if self.node.connections.get(name) is not None or name == own_name:
            return CommandResponse(False, f"{name} is connected: stop it first, or it is admitted again")
        if replica.acceptor.may_vote:
            refusal = replica.remove_member(name)
        else:
            refusal = f"{own_name} itself {replica.acceptor.describe()}"
        success = f"{name} leaves the set; `fleet` shows the epoch after {replica.config.epoch}"
        return CommandResponse(not refusal, refusal or success)

    def members(self) -> dict[str, Any]:
        """Return the membership and the state of all members, as this member sees them."""
        replica, now_ms = self.node.replica, self.node.clock()
        names, updates = replica.config.names(), self.dispatcher.config_updates
        return {
            "epoch": replica.config.epoch,
            "majority_heard": replica.has_quorum(now_ms),
            "configuration": [] if updates is None else updates.describe_lines(),
            "members": [
                {"member": name, "state": state, "in_set": name in names}
                for name, state in replica.describe(now_ms).items()
            ],
        }

    def leases(self) -> dict[str, Any]:
        """Return the tasks and their lease holders, which may be out of date without a quorum."""
        now_ms, holders = self.node.clock(), self.node.replica.leases.participants
        rows = [self._lease_row(task, holder, now_ms) for task, holder in sorted(holders.items())]
        return {"tasks": rows, "restart": self.rolling_restart.describe()}

    def _lease_row(self, task: str, lease: LeaseParticipant, now_ms: float) -> dict[str, Any]:
        row: dict[str, Any] = dict.fromkeys(("task", "holder", "token", "more_s", "seen_s_ago"))
        row["task"] = task
        token = lease.valid_token(now_ms)
        if token is not None:
            left_s = (lease.valid_until_ms - now_ms) / 1000.0
            row |= {"holder": self.node.settings.name, "token": token, "more_s": round(left_s, 1)}
        elif lease.has_observed:
            age_s = (now_ms - lease.observed_ms) / 1000.0
            row |= {"holder": lease.observed.holder or "nobody", "token": lease.observed.token}
            row |= {"seen_s_ago": round(age_s, 1)}
        return row

    def describe(self) -> str:
        """Return the members as one line for operators."""
        status = self.members()
        members = "; ".join(
            f"{m['member']}: {m['state']}" + ("" if m["in_set"] else " (not in the set)")
            for m in status["members"]
        )
        quorum = "heard" if status["majority_heard"] else "not heard"
        return f"epoch {status['epoch']}, a majority is {quorum}; {members}"

    def describe_leases(self) -> str:
        """Return the tasks and their lease holders as one line for operators."""
        status = self.leases()
        return "; ".join([*map(_describe_lease, status["tasks"]), status["restart"]])


def _describe_lease(row: dict[str, Any]) -> str:
    if row["more_s"] is not None:
        return f"{row['task']}: held here, token {row['token']}, {row['more_s']} s more"
    if row["holder"] is None:
        return f"{row['task']}: not known"
    return f"{row['task']}: {row['holder']}, token {row['token']}, seen {row['seen_s_ago']} s ago"


def found_cluster(config: Config) -> str:
    """Write the first log of a founding member; return a line for the operator that names the folder.

    To be run once for each founding member, before its first start. A member whose disk was lost starts with
    an empty folder instead and is admitted by the others; founded again, it would vote under its former
    disk incarnation.

    Raises
    ------
    ConfigError
        The file has no [fleet] section, or the log can't be written.
    """
    if config.cluster is None:
        raise ConfigError("the file has no [fleet] section")
    names = sorted({config.name, *config.cluster.peers})
    membership = MembershipConfig(1, tuple((name, FOUNDING_INCARNATION) for name in names))
    records: list[LogRecord] = [
        IncarnationStarted(config.cluster.name, FOUNDING_INCARNATION, membership),
        ProcessStarted(0),
    ]
    try:
        log_store.create_log(config.cluster.folder, [encode(record) for record in records])
    except OSError as error:
        raise ConfigError(str(error)) from error
    cluster = config.cluster
    return f"{config.name} founds the cluster {cluster.name} of {', '.join(names)} in {cluster.folder}"
