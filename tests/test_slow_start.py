"""Slow start under settings that change while a worker is warming up."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from grebestack.core import api
from grebestack.core.checkpoint import apply_own_slow_start, restore_checkpoint, save_checkpoint
from tests.policy_driver import BASE, ORDER, Dispatcher, entry, settings
from tests.test_property import STEPS, CheckedPolicy

SETTINGS = settings(
    slow_start_initial_share=0.1, slow_start_ms=30_000.0, overload_factor=3.0, overload_window_ms=1500.0
)


@pytest.mark.parametrize("seed", [0, 3, 4])
def test_a_shorter_slow_start_applies_to_a_worker_that_is_warming_up(seed: int) -> None:
    dispatcher = Dispatcher(SETTINGS, workers=0, seed=seed)
    dispatcher.update_list(entry("worker-1", started_ms=1000.0))
    for number in range(60):
        if number == 20:
            dispatcher.feed(api.SettingsChanged(replace(SETTINGS, slow_start_ms=1000.0)))
        dispatcher.submit(ORDER)
        dispatcher.advance(100.0)
    assert any(isinstance(action, api.Send) for action in dispatcher.log)


def warming(seed: int = 1, **changed: Any) -> Dispatcher:
    """A dispatcher to which five requests came while its only worker was warming up since 1000 ms."""
    dispatcher = Dispatcher(replace(SETTINGS, **changed), workers=0, seed=seed)
    dispatcher.update_list(entry("worker-1", started_ms=1000.0))
    for _ in range(5):
        dispatcher.submit(ORDER)
        dispatcher.advance(100.0)
    return dispatcher


@pytest.mark.parametrize("slow_start_ms", [0.0, 1.0, 1000.0, 60_000.0])
def test_a_slow_start_ends_by_the_current_settings(slow_start_ms: float) -> None:
    # Guards against a worker that keeps warming up by the settings at its start.
    dispatcher = warming()
    dispatcher.feed(api.SettingsChanged(replace(SETTINGS, slow_start_ms=slow_start_ms)))
    assert dispatcher.policy.workers["worker-1"].warm_at_ms == 1000.0 + slow_start_ms


def test_a_worker_that_was_warm_in_the_first_list_stays_warm_under_a_longer_slow_start() -> None:
    # Guards against a slow start that is computed for a worker whose start is unknown.
    dispatcher = Dispatcher(SETTINGS, workers=2)
    dispatcher.feed(api.SettingsChanged(replace(SETTINGS, slow_start_ms=3_600_000.0)))
    assert all(worker.warm_at_ms <= dispatcher.now_ms for worker in dispatcher.policy.workers.values())


def test_a_turn_drawn_for_a_thousand_dispatchers_is_discarded_by_a_reload_that_leaves_one() -> None:
    # Guards against a worker that is idle until a turn that was drawn under the former settings.
    dispatcher = warming(slow_start_initial_share=0.5, dispatcher_count=1000)
    assert dispatcher.policy.workers["worker-1"].warming_turn_start_ms > dispatcher.now_ms + 30_000.0
    dispatcher.feed(api.SettingsChanged(replace(SETTINGS, slow_start_initial_share=0.5)))
    dispatcher.log.clear()
    for _ in range(150):
        dispatcher.submit(ORDER)
        dispatcher.advance(100.0)
    assert any(isinstance(action, api.Send) for action in dispatcher.log)


def test_a_reload_that_does_not_change_slow_start_keeps_the_drawn_turns() -> None:
    # Guards against reloads on all dispatchers that draw all turns again.
    dispatcher = warming()
    worker = dispatcher.policy.workers["worker-1"]
    before = worker.warming_turn_start_ms, worker.warming_turn_end_ms
    dispatcher.feed(api.SettingsChanged(replace(SETTINGS, max_attempts=2)))
    assert before == (worker.warming_turn_start_ms, worker.warming_turn_end_ms)


def test_a_slow_start_in_a_checkpoint_of_longer_settings_is_recomputed_by_the_own_settings() -> None:
    # Guards against a hot restart whose checkpoint has an end of slow start beyond the own settings.
    checkpoint = save_checkpoint(warming().policy)
    successor = Dispatcher(replace(SETTINGS, slow_start_ms=1000.0), workers=0, seed=3)
    successor.now_ms = 1500.0
    successor.update_list(entry("worker-1", started_ms=1000.0), entry("worker-2"))
    restore_checkpoint(successor.policy, checkpoint)
    apply_own_slow_start(successor.policy)
    assert successor.policy.workers["worker-1"].warm_at_ms == 2500.0
    assert successor.policy.workers["worker-2"].warm_at_ms <= successor.now_ms
    for _ in range(40):
        successor.submit(ORDER)
        successor.advance(100.0)
    assert any(isinstance(action, api.Send) for action in successor.log)


# Values to which each setting is reloaded: both ends of the range that the configuration allows.
EXTREMES: dict[str, tuple[Any, ...]] = {
    "slow_start_ms": (0.0, 0.5, 1.0, 1000.0, 3_600_000.0),
    "slow_start_initial_share": (1e-12, 0.1, 1.0),
    "overload_factor": (1e-12, 1.0, 1e6),
    "overload_window_ms": (0.0, 1.0, 1e7),
    "dispatcher_count": (1, 3000),
    "dispatcher": (0, 2999),
    "max_attempts": (1, 2, 50),
    "hedging_enabled": (False, True),
    "cancel": (False, True),
    "reports_attempt_start": (False, True),
    "retry_after": (False, True),
    "max_retry_after_ms": (0.0, 1.0, 1e7),
    "connect_timeout_ms": (0.0, 1e6),
    "drain_grace_ms": (0.0, 1e6),
    "cross_zone_cost": (0.0, 1e9),
    "over_quota_weight_factor": (0.0, 1.0, 1e6),
    "tenants": ((), (api.Tenant("a", 0.0),), (api.Tenant("a", 1e9), api.Tenant("b", 0.1))),
    "weight_by_work": (False, True),
    "weights_follow_load": (False, True),
    "retired": (frozenset(), frozenset({0}), frozenset({0, 1, 2})),
    "classes": (
        BASE.classes,
        (*BASE.classes, api.JobClass("late", 1.0, 1.0, api.Effect.IDEMPOTENT, 0.0, 1e9)),
        tuple(replace(c, priority_weight=0.0, latency_objective_ms=1e-3) for c in BASE.classes),
    ),
}
RELOADS = [(name, value) for name, values in EXTREMES.items() for value in values]


@hypothesis_settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS, st.lists(st.integers(0, len(RELOADS) - 1), min_size=1, max_size=12), st.integers(1, 12))
def test_no_reload_to_an_extreme_value_makes_a_decision_raise(
    steps: list[tuple[int, int, int]], reloads: list[int], steps_per_reload: int
) -> None:
    # Guards against arithmetic errors on state from former settings.
    configured = replace(SETTINGS, report_fields=frozenset({"free_slots"}))
    checked = CheckedPolicy(configured, 4)
    for number, step in enumerate(steps):
        if number % steps_per_reload == 0:
            name, value = RELOADS[reloads[number // steps_per_reload % len(reloads)]]
            configured = replace(configured, **{name: value})
            checked.feed(api.SettingsChanged(configured))
        checked.step(*step)
    checked.advance(20_000.0)
    assert not [number for number in checked.checker.arrivals if number not in checked.checker.answered]
