"""The scenarios of the recorded streams: the options of an instance, and the simulated cluster."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

Raw = dict[str, Any]


class Fault(Enum):
    """A temporary fault of a worker."""

    CRASH = auto()
    SILENT_CRASH = auto()  # discovery does not report the restart
    DRAIN = auto()  # it leaves, and a new worker replaces it
    HANG = auto()
    SLOW = auto()
    ERRORS = auto()  # most jobs of one class fail
    UNREACHABLE = auto()


@dataclass(frozen=True)
class Model:
    """A machine kind."""

    slots: float
    memory: float
    queue: int
    slowness: float = 1.0


@dataclass(frozen=True)
class Job:
    """The properties of the jobs of one class."""

    run_ms: float
    slots: tuple[float, ...] = (1.0,)
    memory: float = 0.0
    share: float = 1.0


@dataclass(frozen=True)
class Scenario:
    """One stream: its options, its cluster and its traffic."""

    seed: int
    options: Raw
    jobs: tuple[Job, ...]
    events: int = 5000
    dispatchers: int = 2
    workers: int = 9
    models: tuple[Model, ...] = (Model(slots=4, memory=8, queue=12),)
    load: float = 0.6  # arriving work, as a share of the capacity
    load_amplitude: float = 0.5  # of the sine wave of the load
    keys: int = 0
    hints: bool = False
    tenants: int = 0
    drop_share: float = 0.03  # share of requests that their clients drop early
    cancels_running_jobs: bool = True  # workers stop a running job when it is cancelled
    list_failure_share: float = 0.05
    faults: tuple[Fault, ...] = tuple(Fault)
    fault_interval_ms: float = 700.0
    restarts_dispatcher: bool = False
    reports: tuple[str, ...] = ()


RULES: Raw = {
    "coldFrom": 0.3,
    "drainGraceMs": 250.0,
    "fallMultiple": 3.0,
    "graceToAnswerMs": 20.0,
    "mustAskInMs": 4000.0,
    "tipAfterMs": 1500.0,
    "warmWithinMs": 6000.0,
}
LIMITS: Raw = {
    "cancel": True,
    "connectTimeoutMs": 200.0,
    "maxRetryAfterMs": 2000.0,
    "mostTries": 5,
    "probing": True,
    "retryAfter": True,
    "secondCopies": True,
}
FREE_SLOTS_AND_MEMORY: Raw = {"reportX0": "free slots", "reportX1": "free memory"}
INLINE: Raw = {"fields": ["avg_ms", "active", "x0", "x1"], "how": "inline"}


def service(name: str, effect: str, latency_objective_ms: float, deadline_ms: float, **more: Any) -> Raw:
    """The options of one class of requests."""
    return {"name": name, "effect": effect, "aimMs": latency_objective_ms, "hardLimitMs": deadline_ms, **more}


def options(services: list[Raw], zones: int, **more: Any) -> Raw:
    """Options with the usual rules and limits, of which `more` replaces some."""
    return {
        "services": services,
        "limits": LIMITS,
        "rules": RULES,
        "discovery": "pushed",
        "siblings": 3,
        "zones": [f"zone-{number}" for number in range(zones)],
        "models": ["standard", "slow"],
        "tickMs": 5.0,
        **more,
    }


ORDERS_WITH_REPORTS = Scenario(
    seed=101,
    options=options(
        [
            service("order", "single_shot", 600.0, 10000.0, value=5.0, lateWorth=0.3),
            service("reading", "guarded", 400.0, 5000.0, value=2.0, lateWorth=0.25, windowMs=7500.0),
        ],
        zones=3,
        extra=FREE_SLOTS_AND_MEMORY | {"classStretch": [2.5, 2.0], "progressMs": 1000.0},
        prices={"crossZone": 0.13, "lateFail": 0.05},
        report=INLINE,
        weights="live",
        worthBy="request",
    ),
    jobs=(Job(run_ms=850.0, memory=1.0), Job(run_ms=420.0, slots=(0.8, 1.0), memory=1.0)),
    dispatchers=3,
    models=(Model(slots=8, memory=8, queue=40),),
    load=0.8,
    reports=("avg_ms", "active", "x0", "x1"),
)

CLAIMS_WITH_KEYS = Scenario(
    seed=202,
    options=options(
        [
            service("claim-status", "free", 250.0, 5000.0, value=5.0),
            service("loss-report", "guarded", 400.0, 12000.0, value=3.0, group="zone", windowMs=20000.0),
        ],
        zones=3,
        extra={"tellsStart": True, "classStretch": [2.5, 2.0], "progressMs": 1000.0},
        limits=LIMITS | {"secondCopies": False, "connectTimeoutMs": 100.0},
        prices={"crossZone": 0.025, "lateFail": 0.05, "origin": 0.03},
        report={"fields": [], "how": "off"},
        dispatcher_count=4,
        tickMs=2.0,
    ),
    jobs=(Job(run_ms=280.0), Job(run_ms=1000.0)),
    workers=12,
    models=(Model(slots=5, memory=6, queue=50), Model(slots=5, memory=6, queue=50, slowness=1.4)),
    load=0.85,
    keys=60,
)

TENANTS_WITH_HINTS = Scenario(
    seed=303,
    options=options(
        [
            service("render", "free", 500.0, 6000.0, value=2.0, lateWorth=0.5, aimStretch=2.0),
            service("charge", "single_shot", 300.0, 4000.0, value=4.0),
            service("index", "guarded", 900.0, 8000.0, lateWorth=0.1, windowMs=3000.0),
        ],
        zones=2,
        accounts=[
            {"name": "gold", "allowancePerS": 30.0},
            {"name": "tin", "allowancePerS": 4.0},
            {"name": "new"},
        ],
        overShareWorth=0.1,
        extra=FREE_SLOTS_AND_MEMORY,
        prices={"crossZone": 0.4},
        report={"fields": ["x0", "x1", "cpu", "waiting"], "how": "on_probe"},
        worthBy="work",
        weights="nominal",
    ),
    jobs=(Job(run_ms=400.0, memory=3.0), Job(run_ms=150.0, memory=1.0), Job(run_ms=700.0, slots=(1.0, 2.0))),
    load=1.2,
    hints=True,
    tenants=4,
    restarts_dispatcher=True,
    reports=("x0", "x1", "cpu", "waiting"),
)

SLOW_START = Scenario(
    seed=404,
    options=options(
        [service("query", "free", 300.0, 3000.0), service("write", "single_shot", 500.0, 5000.0, value=3.0)],
        zones=2,
        rules=RULES | {"coldFrom": 0.1, "fallMultiple": 2.0, "tipAfterMs": 1000.0, "warmWithinMs": 15000.0},
        extra=FREE_SLOTS_AND_MEMORY,
        report=INLINE,
        dispatcher_count=40,
        me=7,
        weights="live",
    ),
    jobs=(Job(run_ms=120.0), Job(run_ms=200.0)),
    workers=14,
    load=0.35,
    faults=(Fault.CRASH, Fault.CRASH, Fault.SILENT_CRASH, Fault.DRAIN, Fault.SLOW),
    fault_interval_ms=400.0,
    reports=("avg_ms", "active", "x0", "x1"),
)

HEDGING = Scenario(
    seed=505,
    options=options(
        [
            service("view", "free", 200.0, 3000.0, lateWorth=0.2),
            service("lookup", "guarded", 250.0, 4000.0, windowMs=2500.0),
            service("feed", "free", 300.0, 6000.0, streamed=True),
        ],
        zones=2,
        extra={"tellsStart": True, "classStretch": [1.5]},
        limits=LIMITS | {"mostTries": 3, "retryAfter": False},
        prices={"crossZone": 0.05},
        report={"fields": ["x0"], "how": "off"},
        tickMs=4.0,
    ),
    jobs=(Job(run_ms=90.0), Job(run_ms=130.0), Job(run_ms=250.0)),
    load=0.8,
    keys=40,
    cancels_running_jobs=False,
    faults=(Fault.HANG, Fault.HANG, Fault.SLOW, Fault.ERRORS, Fault.CRASH, Fault.DRAIN),
)

ASKED_BACK = Scenario(
    seed=606,
    options=options(
        [
            service("by-zone", "guarded", 300.0, 5000.0, group="zone", windowMs=1200.0, value=2.0),
            service("by-cell", "guarded", 300.0, 5000.0, group="cell", windowMs=900.0, lateWorth=0.4),
            service("once", "single_shot", 400.0, 5000.0, value=6.0),
            service("special", "free", 400.0, 4000.0),
        ],
        zones=3,
        extra={"tellsStart": True, "classKind": [-1, -1, -1, 1]},
        limits=LIMITS | {"secondCopies": False, "mostTries": 4, "maxRetryAfterMs": 0.0},
        prices={"crossZone": 0.3},
        report={"fields": [], "how": "off"},
        zone=1,
    ),
    jobs=(Job(run_ms=180.0), Job(run_ms=180.0), Job(run_ms=250.0), Job(run_ms=150.0, share=0.5)),
    workers=12,
    models=(Model(slots=4, memory=8, queue=5), Model(slots=2, memory=8, queue=4, slowness=1.5)),
    load=1.1,
    cancels_running_jobs=False,
    fault_interval_ms=400.0,
)

BLIND = Scenario(
    seed=707,
    options=options(
        [service("order", "single_shot", 300.0, 4000.0, value=4.0), service("read", "free", 200.0, 2500.0)],
        zones=2,
        extra={"reportX0": "free slots"},
        limits={"mostTries": 3, "connectTimeoutMs": 150.0},
        report={"fields": ["x0"], "how": "off"},
        dispatcher_count=2,
        weights="live",
        me=1,
    ),
    jobs=(Job(run_ms=140.0, memory=2.0), Job(run_ms=80.0, memory=1.0)),
    workers=6,
    models=(Model(slots=3, memory=6, queue=6),),
    load=0.8,
    restarts_dispatcher=True,
)

OVERLOAD = Scenario(
    seed=808,
    options=options(
        [
            service("wide", "free", 500.0, 5000.0, value=4.0, lateWorth=0.6),
            service("small", "guarded", 250.0, 3000.0, lateWorth=0.1, windowMs=4000.0),
            service("fixed", "single_shot", 400.0, 3500.0, value=2.0),
        ],
        zones=3,
        discovery="on_request",
        extra={"reportX0": "free slots"},
        limits=LIMITS | {"maxRetryAfterMs": 700.0},
        prices={"crossZone": 0.8, "lateFail": 0.5},
        report={"fields": ["x0", "active", "rps", "err_rps"], "how": "inline"},
        rules=RULES | {"mustAskInMs": 1500.0},
        weights="live",
        dispatcher_count=5,
        zone=2,
    ),
    jobs=(Job(run_ms=300.0, slots=(2.0, 3.0), share=0.4), Job(run_ms=100.0), Job(run_ms=150.0, share=0.5)),
    load=1.9,
    list_failure_share=0.5,
    reports=("x0", "active", "rps", "err_rps"),
)

SCENARIOS: dict[str, Scenario] = {
    "orders-with-reports": ORDERS_WITH_REPORTS,
    "claims-with-keys": CLAIMS_WITH_KEYS,
    "tenants-with-hints": TENANTS_WITH_HINTS,
    "slow-start": SLOW_START,
    "hedging": HEDGING,
    "asked-back": ASKED_BACK,
    "blind": BLIND,
    "overload": OVERLOAD,
}
