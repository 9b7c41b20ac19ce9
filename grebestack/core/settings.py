"""The settings of a dispatcher: job classes, tenants and the APP script.

All times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may be executed twice: always, with an idempotency key within its group, or never."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class Group(Enum):
    """The workers among which an idempotency key is recognised."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class JobClass:
    """One class of requests (in an APP script: a tag)."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    effect: Effect
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    objective_stretch: float = 0.0  # the objective grows by this multiple of the running time
    group: Group = Group.ALL
    retry_window_ms: float = 0.0
    kind: int = -1  # the kind of worker it needs; -1: any
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """One customer and its quota, in requests per second over all dispatchers."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Block:
    """A worker block: which workers, how one is selected, and what makes one invalid.

    `workers` lists worker ids or is ("*",); `place` limits them to the dispatcher's own zone or to the rest.
    `threshold` depends on the invalidate rule. max_concurrent_invocations: a number of slots; None: the
    learned concurrency limit. capacity_used: a share (0 to 1) of the worker's slots; None: all of them, and
    some requests may be queued at the worker. overload: a number of slots, used only for a worker without
    load reports if starts are not reported either.
    """

    workers: tuple[str, ...] = ("*",)
    strategy: str = "best_first"  # or "random", "platform"
    invalidate: str = "max_concurrent_invocations"  # or "capacity_used", "overload"
    threshold: float | None = None
    place: str = "any"  # or "own", "other"

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range."""
        if not self.workers:
            raise ValueError("a block names no workers")
        if self.strategy not in ("best_first", "random", "platform"):
            raise ValueError(f"a block has the unknown strategy {self.strategy!r}")
        if self.invalidate not in ("max_concurrent_invocations", "capacity_used", "overload"):
            raise ValueError(f"a block has the unknown invalidate rule {self.invalidate!r}")
        if self.place not in ("any", "own", "other"):
            raise ValueError(f"a block has the unknown place {self.place!r}")
        max_threshold = 1.0 if self.invalidate == "capacity_used" else float("inf")
        if self.threshold is not None and not 0 < self.threshold <= max_threshold:
            raise ValueError(f"a block's {self.invalidate} has the threshold {self.threshold!r} out of range")

    @property
    def is_ranked(self) -> bool:
        """Whether the policy ranks the workers itself: best first over all workers of a place."""
        return self.strategy == "best_first" and self.workers == ("*",)

    def contains(self, worker: str, own_zone: bool) -> bool:
        """Whether a worker of the dispatcher's own zone, or of another one, belongs to the block."""
        is_listed = self.workers == ("*",) or worker in self.workers
        return is_listed and (self.place == "any" or own_zone == (self.place == "own"))


@dataclass(frozen=True, slots=True)
class Tag:
    """The policy of one job class, or the default tag."""

    blocks: tuple[Block, ...]
    followup: str = "default"  # or "fail"

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range."""
        if not self.blocks:
            raise ValueError("a tag has no blocks")
        if self.followup not in ("default", "fail"):
            raise ValueError(f"a tag has the unknown followup {self.followup!r}")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one dispatcher, replaced as a whole by `SettingsChanged`.

    Requests name their class by its index in `classes`; later settings only append classes.

    Raises
    ------
    ValueError
        If a value is out of range, or the script does not cover the classes.
    """

    classes: tuple[JobClass, ...]
    dispatcher: int = 0
    dispatcher_count: int = 1  # this one included
    zone: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight_factor: float = 1.0
    polls_endpoint_list: bool = False  # the endpoint list is sent only on request
    poll_deadline_ms: float = 10_000.0  # a failed list is retried within this; used only in the simulator
    drain_grace_ms: float = 0.0  # a draining worker may be sent requests for this long after the notice
    answer_grace_ms: float = 0.0  # accepted, but no decision depends on it
    slow_start_initial_share: float = 1.0  # the share of its capacity that a worker starts with
    slow_start_ms: float = 0.0
    overload_factor: float = 1.0  # a warming worker fails under more load than this multiple of its share
    overload_window_ms: float = 1000.0  # period over which that load is measured
    max_attempts: int = 1
    hedging_enabled: bool = False
    cancel: bool = False  # workers accept cancellation
    probing: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0
    reports_attempt_start: bool = False
    progress_ms: float = 0.0  # accepted, but no decision depends on it
    cross_zone_cost: float = 0.0
    late_failure_cost: float = 0.0  # accepted, but no decision depends on it
    weight_by_work: bool = False
    weights_follow_load: bool = False  # a weight in the endpoint list falls with the load
    report_fields: frozenset[str] = frozenset()  # active, waiting, cpu, run_ms, free_slots ...
    tick_ms: float = 1.0  # margin kept before deadlines, and the lowest estimate of a start delay
    retired: frozenset[int] = frozenset()  # classes that take no new requests
    script: Mapping[str, Tag] | None = None  # by class name, and "default"; None: the built-in one

    def __post_init__(self) -> None:
        """Raise ValueError if a value is out of range."""
        if not self.classes:
            raise ValueError("the settings name no class")
        if self.dispatcher_count < 1 or self.dispatcher < 0:
            raise ValueError(f"dispatcher {self.dispatcher} of {self.dispatcher_count} is out of range")
        if not 0 < self.slow_start_initial_share <= 1 or self.overload_factor <= 0:
            share, factor = self.slow_start_initial_share, self.overload_factor
            raise ValueError(f"slow_start_initial_share {share} or overload_factor {factor} is out of range")
        names = [job_class.name for job_class in self.classes]
        for name, tag in (self.script or {}).items():
            if name not in (*names, "default"):
                raise ValueError(f"tag {name!r} names no class")
            if tag.followup == "default" and (name == "default" or "default" not in (self.script or {})):
                raise ValueError(f"tag {name!r} has the followup 'default', but no default tag follows it")
        if self.script is not None and "default" not in self.script:
            for name in names:
                if name not in self.script:
                    raise ValueError(f"class {name!r} has neither a tag nor a default tag")
