"""Slow start under settings that change while a worker is warming up."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from grebestack.core import api
from grebestack.core.checkpoint import apply_own_slow_start, restore_checkpoint, save_checkpoint
from tests.policy_driver import BASE, ORDER, Dispatcher, entry, settings
from tests.test_property import STEPS, World

SETTINGS = settings(
    slow_start_initial_share=0.1, slow_start_ms=30_000.0, overload_factor=3.0, overload_window_ms=1500.0
)


@pytest.mark.parametrize("seed", [0, 3, 4])
def test_a_shorter_slow_start_holds_for_a_worker_that_is_warming_up(seed: int) -> None:
    dispatcher = Dispatcher(SETTINGS, workers=0, seed=seed)
    dispatcher.listed(entry("worker-1", started_ms=1000.0))
    for number in range(60):
        if number == 20:
            dispatcher.feed(api.SettingsChanged(replace(SETTINGS, slow_start_ms=1000.0)))
        dispatcher.ask(ORDER)
        dispatcher.wait(100.0)
    assert any(isinstance(action, api.Send) for action in dispatcher.log)


def warming(seed: int = 1, **changed: Any) -> Dispatcher:
    """A dispatcher that has sent to a worker which started at 1000 ms."""
    dispatcher = Dispatcher(replace(SETTINGS, **changed), workers=0, seed=seed)
    dispatcher.listed(entry("worker-1", started_ms=1000.0))
    for _ in range(5):
        dispatcher.ask(ORDER)
        dispatcher.wait(100.0)
    return dispatcher


@pytest.mark.parametrize("slow_start_ms", [0.0, 1.0, 1000.0, 60_000.0])
def test_a_slow_start_ends_by_the_settings_in_force(slow_start_ms: float) -> None:
    # Guards against a worker that goes on warming up by the settings of its start.
    dispatcher = warming()
    dispatcher.feed(api.SettingsChanged(replace(SETTINGS, slow_start_ms=slow_start_ms)))
    assert dispatcher.policy.workers["worker-1"].warm_at_ms == 1000.0 + slow_start_ms


def test_a_worker_that_was_warm_from_the_first_list_on_stays_so_under_a_longer_slow_start() -> None:
    # Guards against a slow start that is computed for a worker whose start nobody knows.
    dispatcher = Dispatcher(SETTINGS, workers=2)
    dispatcher.feed(api.SettingsChanged(replace(SETTINGS, slow_start_ms=3_600_000.0)))
    assert all(worker.warm_at_ms <= dispatcher.now for worker in dispatcher.policy.workers.values())


def test_a_turn_drawn_for_a_thousand_dispatchers_does_not_outlast_a_reload_that_leaves_one() -> None:
    # Guards against a worker that stands idle until a turn drawn under the former settings.
    dispatcher = warming(slow_start_initial_share=0.5, dispatcher_count=1000)
    assert dispatcher.policy.workers["worker-1"].warming_turn_start_ms > dispatcher.now + 30_000.0
    dispatcher.feed(api.SettingsChanged(replace(SETTINGS, slow_start_initial_share=0.5)))
    dispatcher.log.clear()
    for _ in range(150):
        dispatcher.ask(ORDER)
        dispatcher.wait(100.0)
    assert any(isinstance(action, api.Send) for action in dispatcher.log)


def test_settings_that_leave_slow_start_as_it_is_leave_the_drawn_turns() -> None:
    # Guards against a fleet whose reloads draw all turns anew.
    dispatcher = warming()
    worker = dispatcher.policy.workers["worker-1"]
    before = worker.warming_turn_start_ms, worker.warming_turn_end_ms
    dispatcher.feed(api.SettingsChanged(replace(SETTINGS, max_attempts=2)))
    assert before == (worker.warming_turn_start_ms, worker.warming_turn_end_ms)


def test_a_slow_start_inherited_from_longer_settings_holds_by_the_own_ones() -> None:
    # Guards the same failure over a hot restart: the checkpoint brought an end beyond the own slow start.
    learned = save_checkpoint(warming().policy)
    heir = Dispatcher(replace(SETTINGS, slow_start_ms=1000.0), workers=0, seed=3)
    heir.now = 1500.0
    heir.listed(entry("worker-1", started_ms=1000.0), entry("worker-2"))
    restore_checkpoint(heir.policy, learned)
    apply_own_slow_start(heir.policy)
    assert heir.policy.workers["worker-1"].warm_at_ms == 2500.0
    assert heir.policy.workers["worker-2"].warm_at_ms <= heir.now
    for _ in range(40):
        heir.ask(ORDER)
        heir.wait(100.0)
    assert any(isinstance(action, api.Send) for action in heir.log)


# What a setting may be reloaded to: both ends of what the configuration allows.
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


@effort(derandomize=True, deadline=None, max_examples=150)
@given(STEPS, st.lists(st.integers(0, len(RELOADS) - 1), min_size=1, max_size=12), st.integers(1, 12))
def test_no_reload_to_an_extreme_makes_a_decision_raise(
    steps: list[tuple[int, int, int]], reloads: list[int], every: int
) -> None:
    # Guards against arithmetic on state that was made under other settings.
    configured = replace(SETTINGS, report_fields=frozenset({"free_slots"}))
    world = World(configured, 4)
    for number, step in enumerate(steps):
        if number % every == 0:
            name, value = RELOADS[reloads[number // every % len(reloads)]]
            configured = replace(configured, **{name: value})
            world.feed(api.SettingsChanged(configured))
        world.step(*step)
    world.wait(20_000.0)
    assert not [number for number in world.checker.arrivals if number not in world.checker.answered]
