"""Slow start under settings that change while a worker is warming up."""

from __future__ import annotations

from dataclasses import replace

import pytest

from grebestack.core import api
from tests.policy_driver import ORDER, Dispatcher, entry, settings

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
