"""What late earns nothing is let in by what starts in time: queues that grew everywhere drain again."""

from __future__ import annotations

from dataclasses import replace

import pytest

from grebestack.core import api
from tests.policy_driver import VIEW, Dispatcher, settings


def after(late_priority_weight: float, delays: list[float]) -> int:
    """Of 200 jobs that come then, how many are refused at once after starts that were so late."""
    classes = tuple(replace(c, late_priority_weight=late_priority_weight) for c in settings().classes)
    told = settings(classes=classes, retry_after=True, max_retry_after_ms=2000.0)
    d = Dispatcher(told, workers=400)
    for delay in delays:
        number, actions = d.ask(VIEW)
        sent = [a for a in actions if isinstance(a, api.Send)]
        if sent:
            log = len(d.log)
            d.wait(delay)
            moved = [a for a in d.log[log:] if isinstance(a, api.Send)]  # an overdue job goes on elsewhere
            worker, attempt = (moved[-1] if moved else sent[0]).worker, len(moved)
            d.start(number, worker, attempt)
            d.end(number, worker, attempt=attempt)
    refused = [a for _ in range(200) for a in d.ask(VIEW)[1] if isinstance(a, api.Reject)]
    assert all(a.retry_after_ms for a in refused), "a client is told when to come back"
    return len(refused)


@pytest.mark.parametrize("late_priority_weight", [0.0, 0.3])
def test_late_starts_close_the_door_where_late_earns_nothing_and_starts_in_time_open_it(
    late_priority_weight: float,
) -> None:
    late, soon = [400.0] * 60, [1.0] * 1500
    assert after(late_priority_weight, []) == 0
    closed = after(late_priority_weight, late)
    assert closed == 0 if late_priority_weight else 150 <= closed < 200, "a few are let in to find out"
    assert after(late_priority_weight, late + soon) == 0


def test_however_late_starts_are_one_job_is_let_in_each_second() -> None:
    """Guards against a door that is shut by chance: nothing would tell that the queues have drained."""
    classes = tuple(replace(c, late_priority_weight=0.0) for c in settings().classes)
    d = Dispatcher(settings(classes=classes), workers=400)
    tried_ms: list[float] = []
    turned_away = 0
    for _ in range(600):  # 20 ms apart; none of them starts
        since = len(d.log)
        d.ask(VIEW)
        turned_away += any(isinstance(action, api.Reject) for action in d.log[since:])
        d.wait(20.0)
        tried_ms += [d.now] * any(isinstance(action, api.Send) for action in d.log[since:])
    pauses = [later - former for former, later in zip(tried_ms, tried_ms[1:], strict=False)]
    assert turned_away > 400, "most are turned away"
    assert max([*pauses, d.now - tried_ms[-1]]) <= 1040.0
