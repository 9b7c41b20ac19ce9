"""Every field of the settings and of the worker list that decisions depend on is read from its own value.

Unlike `standins.SETTINGS`, this deployment has no load reports, but reported starts, priorities and tenants.
"""

from __future__ import annotations

import time
from typing import Any

import pytest

from grebestack.core.api import Effect, Group, WorkerState
from grebestack.protocol.settings import parse_settings
from grebestack.protocol.worker_list import WorkerListReader

OPTIONS: dict[str, Any] = {
    "accounts": [
        {"name": "north", "allowancePerS": 71.5, "portion": 0.6},
        {"name": "south", "allowancePerS": 40.25, "portion": 0.4},
    ],
    "clients": {"marksRetry": True},
    "discovery": "on_request",
    "extra": {
        "classKind": [-1, 2],
        "classPriority": [0, 1],
        "classStretch": [1.75, 2.25],
        "tellsStart": True,
        "progressMs": 350.0,
        "queueOrder": "priority",
        "reportX0": "free slots",
        "reportX1": "free memory",
    },
    "limits": {
        "cancel": True,
        "secondCopies": True,
        "mostTries": 6,
        "connIdleMs": 14_000.0,
        "probing": True,
        "connectTimeoutMs": 260.0,
        "retryAfter": True,
        "maxRetryAfterMs": 1900.0,
    },
    "me": 2,
    "models": ["large", "medium", "small"],
    "overShareWorth": 0.15,
    "prices": {"crossZone": 0.07, "lateFail": 0.021},
    "report": {"fields": [], "how": "off"},
    "rules": {
        "coldFrom": 0.13,
        "drainGraceMs": 950.0,
        "fallMultiple": 2.5,
        "graceToAnswerMs": 17.0,
        "mustAskInMs": 9000.0,
        "tipAfterMs": 1100.0,
        "warmWithinMs": 23_000.0,
    },
    "services": [
        {
            "name": "flip",
            "aimMs": 310.0,
            "hardLimitMs": 4900.0,
            "effect": "single_shot",
            "value": 11.0,
            "lateWorth": 0.45,
            "group": "all",
        },
        {
            "name": "read",
            "aimMs": 520.0,
            "hardLimitMs": 6100.0,
            "effect": "guarded",
            "value": 31.0,
            "lateWorth": 0.25,
            "group": "cell",
            "windowMs": 9500.0,
        },
    ],
    "siblings": 3,
    "tickMs": 3.5,
    "weights": "nominal",
    "worthBy": "work",
    "zone": 1,
    "zones": ["hill", "river", "pine"],
}
EXPECTED = {
    "dispatcher": 2,
    "dispatcher_count": 3,
    "zone": 1,
    "over_quota_weight_factor": 0.15,
    "polls_endpoint_list": True,
    "poll_deadline_ms": 9000.0,
    "drain_grace_ms": 950.0,
    "answer_grace_ms": 17.0,
    "slow_start_initial_share": 0.13,
    "slow_start_ms": 23_000.0,
    "overload_factor": 2.5,
    "overload_window_ms": 1100.0,
    "max_attempts": 6,
    "hedging_enabled": True,
    "cancel": True,
    "probing": False,
    "retry_after": True,
    "max_retry_after_ms": 1900.0,
    "connect_timeout_ms": 260.0,
    "reports_attempt_start": True,
    "progress_ms": 350.0,
    "cross_zone_cost": 0.07,
    "late_failure_cost": 0.021,
    "weight_by_work": True,
    "weights_follow_load": False,
    "report_fields": frozenset(),
    "tick_ms": 3.5,
}


@pytest.mark.parametrize("name", sorted(EXPECTED))
def test_each_setting_is_read_in_its_unit(name: str) -> None:
    assert getattr(parse_settings(OPTIONS), name) == EXPECTED[name]


def test_each_field_of_a_class_and_of_a_tenant_is_read() -> None:
    parsed = parse_settings(OPTIONS)
    flip, read = parsed.classes
    assert (flip.name, flip.latency_objective_ms, flip.deadline_ms) == ("flip", 310.0, 4900.0)
    assert (flip.priority_weight, flip.late_priority_weight) == (11.0, 0.45)
    assert (flip.effect, flip.objective_stretch, flip.kind, flip.group) == (
        Effect.NOT_IDEMPOTENT,
        1.75,
        -1,
        Group.ALL,
    )
    assert (read.effect, read.objective_stretch, read.kind, read.group) == (
        Effect.IDEMPOTENT_WITH_KEY,
        2.25,
        2,
        Group.CELL,
    )
    assert (read.retry_window_ms, read.priority_weight, read.late_priority_weight) == (9500.0, 31.0, 0.25)
    assert [(t.name, t.quota_per_s) for t in parsed.tenants] == [("north", 71.5), ("south", 40.25)]


def test_the_stretch_of_a_class_takes_precedence_over_the_list_for_all_classes() -> None:
    options = OPTIONS | {"services": [OPTIONS["services"][0] | {"aimStretch": 0.5}]}
    assert parse_settings(options).classes[0].objective_stretch == 0.5


def test_each_field_of_a_list_entry_is_read() -> None:
    boot_ms = time.time() * 1000.0 - 8000.0
    worker = WorkerListReader(OPTIONS).read_worker(
        {
            "uid": "s-1",
            "endpoint": "127.0.0.9:8123",
            "az": "pine",
            "model": "medium",
            "pod_group": 4,
            "state": "Terminating",
            "capacity_hint": 7.5,
            "boot_ms": boot_ms,
        }
    )
    entry = worker.entry
    assert (entry.worker, worker.address, entry.zone, entry.kind) == ("s-1", ("127.0.0.9", 8123), 2, 1)
    assert (entry.cell, entry.state, entry.weight) == (4, WorkerState.DRAINING, 7.5)
    assert entry.started_ms is not None
    assert time.monotonic() * 1000.0 - entry.started_ms == pytest.approx(8000.0, abs=5000.0)
