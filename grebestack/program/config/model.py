"""The parsed configuration of one dispatcher.

The order of the fields matters to golden files, and those of `WorkerMembershipConfig` are TOML keys.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from grebestack.core.api import Settings
from grebestack.transport.client import Address


@dataclass(frozen=True, slots=True)
class WorkerMembershipConfig:
    """When updates from worker sources are applied or held back; times in seconds."""

    flaps: int = 3  # a worker that stops being ready more often within flap_window_s is held back
    flap_window_s: float = 60.0
    hold_s: float = 2.0  # how long it is held back; doubled each further time, up to hold_most_s
    hold_most_s: float = 60.0
    removed_share: float = 0.5  # an update that removes a larger share of a source's workers is held back
    keep_least: int = 1  # an update that leaves fewer workers is held back too
    moved_s: float = 60.0  # how long to wait for work that still runs at a worker's former address
    stale_s: float = 60.0  # a source that does not respond for longer is stale


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """Which Consul agents are queried, for which services, and how service instances are interpreted."""

    agents: tuple[Address, ...]
    services: tuple[str, ...]
    token_file: str = ""
    wait_s: float = 30.0  # how long a blocking query may wait
    datacenter: str = ""
    namespace: str = ""
    partition: str = ""
    tags: tuple[str, ...] = ()
    filter: str = ""
    consistency: str = "default"
    max_stale_s: float | None = None
    checks: tuple[str, ...] = ()
    warning: str = "full"
    prefer: str = ""
    networks: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkerSource:
    """Where the worker table comes from: `discovery`, `consul`, or a `list` in the file."""

    kind: str = "discovery"
    entries: tuple[Mapping[str, Any], ...] = ()
    snapshot_path: str = ""  # file with the last good worker lists; empty: not saved
    consul: ConsulConfig | None = None


@dataclass(frozen=True, slots=True)
class JobsConfig:
    """The limits of the job queue, and the options of each job class."""

    latency_objective_s: float = 60.0
    max_queued: int = 100_000
    max_dependencies: int = 500
    lookahead: int = 16
    aged_share: float = 0.5
    latency_objective_s_by_class: Mapping[str, float] = field(default_factory=dict)
    queued_classes: frozenset[str] = frozenset()  # jobs of these classes are queued by default


@dataclass(frozen=True, slots=True)
class DrmaaConfig:
    """The DRMAA API server and its job store."""

    listen: Address
    store_path: str
    max_open_jobs: int = 1000
    retention_days: float = 30.0
    max_body_bytes: int = 1024 * 1024
    jobs: JobsConfig = field(default_factory=JobsConfig)


@dataclass(frozen=True, slots=True)
class MetricsExportConfig:
    """The metrics export: one member collects the cluster's counters and posts them to a collector."""

    collector: Address
    path: str
    interval_s: float


@dataclass(frozen=True, slots=True)
class AuditConfig:
    """The audit log on this dispatcher's disk; see docs/audit.md."""

    folder: str
    max_size_mb: float = 256.0  # beyond this the oldest segments are removed
    max_full_rate: float = 2000.0  # records per second; beyond this rate they are sampled
    max_clock_error_ms: float = 100.0


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The cluster of dispatchers that this one is a member of; see docs/fleet-leases.md."""

    name: str
    listen: Address
    peers: Mapping[str, Address]
    folder: str
    lease_term_s: float
    max_clock_drift: float  # a fraction of the elapsed time
    lease_guard_ms: float
    restart_timeout_s: float  # a restarted member must be back within this
    restart_pause_s: float  # between the restarts of two members
    share_worker_source: bool  # one member reads the source and shares it with the others
    metrics_export: MetricsExportConfig | None = None


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """Where followers connect to a relay."""

    address: Address
    place: str  # region/zone


@dataclass(frozen=True, slots=True)
class DistributionConfig:
    """How this dispatcher receives configuration updates; see docs/fleet-leases.md."""

    cluster: str
    is_follower: bool  # receives configuration without a vote
    place: str  # region/zone; empty: not given
    relays: Mapping[str, RelayConfig]
    voters: frozenset[str]  # all voters, including this dispatcher if it votes; may be empty for a follower
    folder: str


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one dispatcher."""

    name: str
    listen: Address
    discovery: Address
    options: Mapping[str, Any]
    settings: Settings
    seed: int = 0
    max_sockets: int = 1024
    max_memory_mb: float = 192.0
    cached_list: Mapping[str, Any] = field(default_factory=dict)
    worker_source: WorkerSource = field(default_factory=WorkerSource)
    drmaa: DrmaaConfig | None = None
    accepts_requests: bool = True  # at `listen`, which always accepts workers' callbacks
    listen_fd: int | None = None  # of the client listening socket, if the platform passes one in
    control: Address | None = None  # address of the admin server; None: no admin server
    key_paths: frozenset[str] = frozenset()  # paths of all keys in the platform's file
    cluster: ClusterConfig | None = None  # None: not a voting member of a cluster
    distribution: DistributionConfig | None = None  # None: only the local file is used
    path: str = ""  # of the operator's file; empty: configured by the platform's environment
    audit: AuditConfig | None = None  # None: no audit log
    membership: WorkerMembershipConfig | None = None  # None: sources update the worker table directly
