"""Rules of answers, retries, hedging and slow start, each shown by a sequence of events written by hand."""

from __future__ import annotations

import pytest

from grebestack.core import api
from tests.policy_driver import BOOK, ORDER, VIEW, Dispatcher, entry, sends, settings

FAILURES = [o for o in api.Outcome if o is not api.Outcome.OK]


def final_answers(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.Reject | api.Fail)]


def test_a_request_queued_without_any_worker_is_answered_in_time() -> None:
    d = Dispatcher(workers=0)
    request, actions = d.submit(VIEW)
    assert actions == []
    assert final_answers(d.advance(5000)) == [api.Reject(request)]


def test_a_request_queued_without_any_worker_is_sent_once_one_is_listed() -> None:
    d = Dispatcher(workers=0)
    request, _ = d.submit(VIEW)
    assert sends(d.update_list(entry("w9"))) == ["w9"]
    assert final_answers(d.log) == []


def test_a_request_with_a_running_attempt_at_its_deadline_gets_exactly_one_answer() -> None:
    d = Dispatcher(workers=2)
    request, actions = d.submit(ORDER)
    (worker,) = sends(actions)
    d.start(request, worker)
    assert final_answers(d.advance(5000)) == [api.Fail(request)]
    d.end(request, worker, api.Outcome.TIMEOUT)
    d.advance(5000)
    assert len(final_answers(d.log)) == 1 and len(sends(d.log)) == 1


def test_a_request_whose_attempt_times_out_at_the_deadline_is_answered_at_once() -> None:
    d = Dispatcher(workers=2)
    request, actions = d.submit(ORDER)
    (worker,) = sends(actions)
    d.start(request, worker)
    d.now_ms += 5000
    assert final_answers(d.end(request, worker, api.Outcome.TIMEOUT)) == [api.Fail(request)]


def test_a_request_whose_deadline_has_passed_at_arrival_is_answered_without_an_attempt() -> None:
    d = Dispatcher()
    request, actions = d.submit(VIEW, deadline_ms=d.now_ms - 1)
    assert actions == [api.Reject(request)]


def test_a_dropped_request_is_closed_and_its_attempt_cancelled() -> None:
    d = Dispatcher()
    request, actions = d.submit(VIEW)
    (worker,) = sends(actions)
    assert d.feed(api.RequestDropped(request)) == [api.Cancel(request, 0)]
    assert d.end(request, worker, api.Outcome.CANCELLED, closed=True) == []
    assert d.feed(api.RequestDropped(request)) == []
    assert d.advance(6000) == []


@pytest.mark.parametrize("outcome", FAILURES)
def test_a_non_idempotent_request_is_sent_again_only_if_it_certainly_never_ran(
    outcome: api.Outcome,
) -> None:
    d = Dispatcher(workers=3)
    request, actions = d.submit(ORDER)
    (worker,) = sends(actions)
    actions = d.end(request, worker, outcome)
    if outcome.never_ran:
        assert final_answers(actions) == [] and len(sends(actions)) == 1
    else:
        assert actions == [api.Fail(request)]


def test_a_non_idempotent_request_that_does_not_start_is_never_moved() -> None:
    d = Dispatcher(workers=3)
    d.submit(ORDER)
    assert sends(d.advance(2000)) == []


def test_a_request_with_an_idempotency_key_is_moved_only_within_its_group() -> None:
    d = Dispatcher(workers=0)
    d.update_list(entry("a", zone=0), entry("b", zone=1), entry("c", zone=1))
    request, actions = d.submit(BOOK)
    assert sends(actions) == ["a"]
    assert sends(d.end(request, "a", api.Outcome.RESET)) == []
    assert final_answers(d.advance(14000)) == []
    assert final_answers(d.advance(1000)) == [api.Fail(request)]


def test_a_request_with_an_idempotency_key_that_never_ran_may_be_sent_to_any_worker() -> None:
    d = Dispatcher(workers=0)
    d.update_list(entry("a", zone=0), entry("b", zone=1))
    request, actions = d.submit(BOOK)
    assert sends(actions) == ["a"]
    d.end(request, "a", api.Outcome.REJECTED)
    assert sends(d.log)[-1] == "b" or "b" in sends(d.advance(1000))


def test_a_request_with_an_idempotency_key_is_not_sent_again_after_its_retry_window() -> None:
    d = Dispatcher(workers=0)
    d.update_list(entry("a"), entry("b"))
    request, actions = d.submit(BOOK)
    (worker,) = sends(actions)
    d.start(request, worker)
    d.advance(2600)
    assert d.end(request, worker, api.Outcome.ERROR) == [api.Fail(request)]


def test_without_hedging_there_is_no_second_copy() -> None:
    d = Dispatcher(settings(hedging_enabled=False))
    d.submit(VIEW)
    assert sends(d.advance(1000)) == []


@pytest.mark.parametrize("state", [api.WorkerState.DRAINING, api.WorkerState.GONE])
def test_nothing_is_sent_to_a_worker_that_is_draining_or_gone(state: api.WorkerState) -> None:
    d = Dispatcher(workers=1)
    d.update_list(entry("w0", state=state), kind=api.ListKind.CHANGES)
    assert sends(d.submit(VIEW)[1]) == []
    assert sends(d.advance(1000)) == []


def test_a_worker_missing_from_a_full_list_is_gone_but_its_attempts_are_still_counted() -> None:
    d = Dispatcher(workers=1)
    request, _ = d.submit(VIEW)
    d.start(request, "w0")
    d.update_list(entry("other"))
    assert sends(d.submit(VIEW)[1]) == ["other"]
    assert d.end(request, "w0") == []
    assert d.policy.workers["w0"].used_slots == 0


def test_the_endpoint_list_is_requested_once_and_again_after_a_failure() -> None:
    d = Dispatcher(settings(polls_endpoint_list=True, poll_deadline_ms=1000.0))
    assert [a for a in d.log if isinstance(a, api.WatchList)] == [api.WatchList()]
    for _ in range(3):
        d.feed(api.WorkersListed(api.ListKind.FAILED))
        assert [a for a in d.advance(1000) if isinstance(a, api.WatchList)] == [api.WatchList()]
    assert [a for a in d.advance(5000) if isinstance(a, api.WatchList)] == []


def work_sent_while_warming(dispatcher_count: int, reject: bool, seed: int, window_ms: int = 1500) -> float:
    """The slot-milliseconds that all dispatchers send to a worker in a window that begins with its start."""
    slot_ms = 0.0
    for number in range(dispatcher_count):
        configured = settings(
            dispatcher=number,
            dispatcher_count=dispatcher_count,
            slow_start_initial_share=0.25,
            slow_start_ms=8000.0,
            overload_factor=3.0,
            overload_window_ms=1500.0,
        )
        d = Dispatcher(configured, workers=0, seed=1000 * seed + number)
        d.update_list(entry("cold", started_ms=d.now_ms))
        for _ in range(window_ms // 10):
            request, actions = d.submit(VIEW)
            d.feed(api.RequestDropped(request))
            for worker in sends(actions) + sends(d.advance(10)):
                slot_ms += 300
                outcome = api.Outcome.REJECTED if reject else api.Outcome.CANCELLED
                d.end(request, worker, outcome, attempt=0, closed=True)
    return slot_ms


@pytest.mark.parametrize("reject", [False, True])
@pytest.mark.parametrize("dispatcher_count", [4, 40])
def test_all_dispatchers_together_stay_within_the_budget_of_a_warming_worker(
    dispatcher_count: int, reject: bool
) -> None:
    """Each has far more requests than the worker can run; dispatchers may assume that it has one slot."""
    budget = 3.0 * 0.25 * 1500.0
    sent = [work_sent_while_warming(dispatcher_count, reject, seed) for seed in range(12)]
    assert 0 < sum(sent) / len(sent) <= budget / 2
    assert sum(work > budget for work in sent) <= 1


@pytest.mark.parametrize("dispatcher_count", [4, 40])
def test_a_warming_worker_is_not_starved_however_many_dispatchers_share_it(dispatcher_count: int) -> None:
    # Guards against turns that are drawn by the budget at the time of the draw, without its growth: with 40
    # dispatchers, most of these turns came after the end of the slow start.
    allowed = 3.0 * (0.25 + 1.0) / 2 * 8000.0
    sent = [work_sent_while_warming(dispatcher_count, False, seed, 8000) for seed in range(3)]
    assert 0.15 * allowed <= sum(sent) / len(sent) <= 0.6 * allowed


def work_sent_by_a_burst(dispatcher_count: int, idle_ms: int, seed: int, restarted: int) -> float:
    """The slot-milliseconds that all dispatchers send in the first window of a burst to a warming worker.

    The burst begins `idle_ms` after the start of the worker. Of ten dispatchers, `restarted` restart just
    before it.
    """
    slot_ms = 0.0
    for number in range(dispatcher_count):
        configured = settings(
            dispatcher=number,
            dispatcher_count=dispatcher_count,
            slow_start_initial_share=0.25,
            slow_start_ms=24_000.0,
            overload_factor=3.0,
            overload_window_ms=1500.0,
        )
        d = Dispatcher(configured, workers=0, seed=1000 * seed + number)
        d.policy.estimates.kind_slots[0] = 8.0
        started_ms = d.now_ms
        d.update_list(entry("cold", started_ms=started_ms))
        d.advance(idle_ms)
        if number % 10 < restarted:  # it has forgotten what it sent, and gets the list again
            successor = Dispatcher(configured, workers=0, seed=2000 * seed + number)
            successor.now_ms, successor.policy.estimates.kind_slots[0] = d.now_ms, 8.0
            successor.update_list(entry("cold", started_ms=started_ms))
            d = successor
        for _ in range(30):
            request, actions = d.submit(VIEW)
            d.feed(api.RequestDropped(request))
            for worker in sends(actions) + sends(d.advance(50)):
                slot_ms += 300
                d.end(request, worker, api.Outcome.CANCELLED, attempt=0, closed=True)
    return slot_ms


@pytest.mark.parametrize("restarted", [0, 7])
@pytest.mark.parametrize("dispatcher_count", [1, 20, 30, 200])
def test_unused_turns_at_a_warming_worker_are_not_all_used_by_a_burst(
    dispatcher_count: int,
    restarted: int,
) -> None:
    """With any number of dispatchers, a budget of N jobs is exceeded by at most 2 * sqrt(N) + 2 jobs."""
    for idle_ms in (6000, 14_000):
        jobs = 3.0 * 8.0 * (0.25 + 0.75 * idle_ms / 24_000.0) * 1500.0 / 300.0
        allowed = 300.0 * (jobs + 2.0 * jobs**0.5 + 2.0)
        sent = [work_sent_by_a_burst(dispatcher_count, idle_ms, seed, restarted) for seed in range(3)]
        assert all(0 < work <= allowed for work in sent), (idle_ms, sent, allowed)


def test_a_worker_that_restarts_under_its_name_is_in_slow_start_with_the_lowest_limit() -> None:
    d = Dispatcher(
        settings(dispatcher_count=50, slow_start_initial_share=0.2, slow_start_ms=8000.0), workers=1
    )
    d.policy.workers["w0"].concurrency_limit = 9.0
    d.update_list(entry("w0", started_ms=d.now_ms), kind=api.ListKind.CHANGES)
    assert d.policy.workers["w0"].concurrency_limit == 1.0
    assert sends(d.submit(VIEW)[1]) == []


def test_a_worker_that_restarted_before_the_list_reports_it_is_in_slow_start() -> None:
    d = Dispatcher(
        settings(dispatcher_count=50, slow_start_initial_share=0.2, slow_start_ms=8000.0), workers=1
    )
    for attempt, outcome in enumerate((api.Outcome.RESET, api.Outcome.CONNECT_FAILED)):
        request = d.last_request or d.submit(VIEW)[0]
        d.end(request, "w0", outcome, attempt=attempt)
        d.advance(1500)
    retried = d.last_request
    attempt_count = len(sends(d.log))
    d.start(retried, "w0", attempt_count - 1)
    d.end(retried, "w0", attempt=attempt_count - 1)
    assert d.policy.workers["w0"].warm_at_ms > d.now_ms


def test_broken_connections_do_not_start_a_slow_start_if_the_worker_keeps_running() -> None:
    # Guards against a few connection resets in the network after which every worker is taken for restarted.
    d = Dispatcher(
        settings(dispatcher_count=2, slow_start_initial_share=0.2, slow_start_ms=8000.0), workers=1
    )
    worker = d.policy.workers["w0"]
    worker.concurrency_limit = 4.0
    first, second, third = (d.submit(VIEW)[0] for _ in range(3))
    for request in (first, second, third):
        d.start(request, "w0")
    d.advance(50)
    d.end(first, "w0", api.Outcome.RESET)
    d.end(second, "w0", api.Outcome.RESET)
    d.end(third, "w0")  # sent before the other connections broke
    assert worker.warm_at_ms <= d.now_ms and worker.consecutive_connection_errors == 0
    retried, _ = d.submit(VIEW)
    d.end(retried, "w0", api.Outcome.RESET)
    d.advance(1500)
    d.start(retried, "w0", 1)
    d.end(retried, "w0", attempt=1)
    assert worker.warm_at_ms <= d.now_ms


def test_the_budget_of_warming_workers_is_based_on_the_reported_slots() -> None:
    d = Dispatcher(settings(report_fields=frozenset({"free_slots"})), workers=1)
    d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 8.0}))
    assert d.policy.estimates.kind_slots[0] == 8.0


def test_a_hung_worker_gets_only_single_trial_requests() -> None:
    d = Dispatcher(workers=1)
    for _ in range(300):
        d.submit(VIEW)
        d.advance(10)
    assert d.policy.workers["w0"].attempt_count <= 2
    assert len(sends(d.log)) < 30


def test_a_rejection_has_a_retry_after_within_the_limit_of_the_settings() -> None:
    for max_retry_after_ms, is_expected in ((700.0, True), (0.0, False)):
        d = Dispatcher(settings(retry_after=True, max_retry_after_ms=max_retry_after_ms), workers=0)
        _, actions = d.submit(VIEW, deadline_ms=d.now_ms + 100)
        (rejection,) = [a for a in actions + d.advance(200) if isinstance(a, api.Reject)]
        if is_expected:
            assert rejection.retry_after_ms is not None and 0 < rejection.retry_after_ms <= max_retry_after_ms
        else:
            assert rejection.retry_after_ms is None
    d = Dispatcher(settings(retry_after=False, max_retry_after_ms=700.0), workers=0)
    d.submit(VIEW, deadline_ms=d.now_ms + 100)
    assert [a.retry_after_ms for a in d.advance(200) if isinstance(a, api.Reject)] == [None]
