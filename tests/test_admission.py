"""Classes without value of late answers are admitted depending on starts in time, so that queues drain."""

from __future__ import annotations

from dataclasses import replace

import pytest

from grebestack.core import api
from tests.policy_driver import VIEW, Dispatcher, settings


def rejected_after(late_priority_weight: float, delays_ms: list[float]) -> int:
    """Return how many of 200 requests are rejected at once, after jobs that started with these delays."""
    classes = tuple(replace(c, late_priority_weight=late_priority_weight) for c in settings().classes)
    configured = settings(classes=classes, retry_after=True, max_retry_after_ms=2000.0)
    d = Dispatcher(configured, workers=400)
    for delay_ms in delays_ms:
        number, actions = d.submit(VIEW)
        sent = [a for a in actions if isinstance(a, api.Send)]
        if sent:
            logged = len(d.log)
            d.advance(delay_ms)
            moved = [a for a in d.log[logged:] if isinstance(a, api.Send)]  # an overdue job is moved
            worker, attempt = (moved[-1] if moved else sent[0]).worker, len(moved)
            d.start(number, worker, attempt)
            d.end(number, worker, attempt=attempt)
    rejected = [a for _ in range(200) for a in d.submit(VIEW)[1] if isinstance(a, api.Reject)]
    assert all(a.retry_after_ms for a in rejected), "each rejection has a Retry-After"
    return len(rejected)


@pytest.mark.parametrize("late_priority_weight", [0.0, 0.3])
def test_late_starts_shed_requests_without_late_value_and_starts_in_time_admit_them_again(
    late_priority_weight: float,
) -> None:
    late_ms, prompt_ms = [400.0] * 60, [1.0] * 1500
    assert rejected_after(late_priority_weight, []) == 0
    rejected = rejected_after(late_priority_weight, late_ms)
    assert rejected == 0 if late_priority_weight else 150 <= rejected < 200, "a few are admitted as probes"
    assert rejected_after(late_priority_weight, late_ms + prompt_ms) == 0


def test_one_request_a_second_is_admitted_however_late_starts_are() -> None:
    """Guards against shedding every request by chance: nothing would show that the queues have drained."""
    classes = tuple(replace(c, late_priority_weight=0.0) for c in settings().classes)
    d = Dispatcher(settings(classes=classes), workers=400)
    sent_ms: list[float] = []
    rejected = 0
    for _ in range(600):  # 20 ms apart; none of them starts
        logged = len(d.log)
        d.submit(VIEW)
        rejected += any(isinstance(action, api.Reject) for action in d.log[logged:])
        d.advance(20.0)
        sent_ms += [d.now_ms] * any(isinstance(action, api.Send) for action in d.log[logged:])
    pauses_ms = [later - former for former, later in zip(sent_ms, sent_ms[1:], strict=False)]
    assert rejected > 400, "most are rejected"
    assert max([*pauses_ms, d.now_ms - sent_ms[-1]]) <= 1040.0
