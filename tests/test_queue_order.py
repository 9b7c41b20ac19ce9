"""Which queued request gets a freed slot, depending on hints and cache keys."""

from __future__ import annotations

import pytest

from grebestack.core import api
from grebestack.core.estimates import Estimates
from grebestack.core.hashing import rendezvous_distance, stable_hash
from tests.policy_driver import ORDER, VIEW, Dispatcher, entry, sends, settings


def full(**changes: object) -> tuple[Dispatcher, int]:
    """Return a dispatcher whose only worker takes one job at a time and runs one, and that job."""
    script = {"default": api.Tag((api.Block(threshold=1),), "fail")}
    d = Dispatcher(settings(script=script, **changes), workers=1)
    request, actions = d.submit(ORDER, cache_key=7, cost_ms=100.0)
    assert sends(actions) == ["w0"]
    d.start(request, "w0")
    return d, request


def sent_request(actions: list[api.Action]) -> int:
    """The only request that was sent."""
    (send,) = [a for a in actions if isinstance(a, api.Send)]
    return send.request


def test_a_freed_slot_goes_to_a_queued_job_whose_cache_key_the_worker_has() -> None:
    d, running = full()
    d.submit(ORDER, cache_key=8, cost_ms=100.0)
    cached, _ = d.submit(ORDER, cache_key=7, cost_ms=100.0)
    assert sent_request(d.end(running, "w0")) == cached


def test_a_freed_slot_goes_to_the_longer_job_if_value_is_weighted_by_work() -> None:
    d, running = full(weight_by_work=True)
    d.submit(ORDER, cache_key=8, cost_ms=50.0)
    long, _ = d.submit(ORDER, cache_key=8, cost_ms=150.0)
    assert sent_request(d.end(running, "w0")) == long


def test_a_freed_slot_goes_to_the_shorter_job_if_all_have_the_same_value() -> None:
    d, running = full()
    d.submit(ORDER, cost_ms=150.0)
    short, _ = d.submit(ORDER, cost_ms=50.0)
    assert sent_request(d.end(running, "w0")) == short


def test_jobs_without_hint_or_cache_key_are_sent_in_the_order_of_arrival() -> None:
    d, running = full(weight_by_work=True)
    first, _ = d.submit(ORDER)
    d.submit(ORDER, slots=0.5)
    assert sent_request(d.end(running, "w0")) == first


def test_a_freed_worker_outside_the_blocks_of_a_class_gets_no_job_of_it() -> None:
    # The blocks of order name only w1, so its jobs cannot use a slot that is freed at w0.
    order = api.Tag((api.Block(("w1",), threshold=1),), "default")
    view = api.Tag((api.Block(("w0",), threshold=1),), "fail")
    default = api.Tag((api.Block(("w1",), threshold=1),), "fail")
    script = {"order": order, "view": view, "book": view, "default": default}
    d = Dispatcher(settings(script=script), workers=2)
    view_job, order_job = d.submit(VIEW)[0], d.submit(ORDER)[0]
    for request, worker in ((view_job, "w0"), (order_job, "w1")):
        d.start(request, worker)
    queued, actions = d.submit(ORDER)
    assert not sends(actions) and not sends(d.end(view_job, "w0"))
    assert sent_request(d.end(order_job, "w1")) == queued


def test_a_job_that_runs_as_long_as_hinted_does_not_make_its_worker_slow() -> None:
    d = Dispatcher(settings(reports_attempt_start=False), workers=1)
    for _ in range(40):  # each job runs for 100 ms
        request, _ = d.submit(VIEW, cost_ms=100.0)
        d.advance(100)
        d.end(request, "w0")
    before = d.policy.workers["w0"].slowness
    request, _ = d.submit(VIEW, cost_ms=2000.0)
    d.advance(2000)
    d.end(request, "w0")
    assert d.policy.workers["w0"].slowness == pytest.approx(before, abs=0.1)


def test_the_expected_running_time_depends_on_the_hint_if_there_is_one() -> None:
    estimates = Estimates(1.0, Dispatcher().policy.context.random)
    estimates.add_classes(settings().classes)
    for _ in range(400):
        estimates.on_success(VIEW, 150.0, 100.0)
    estimates.on_success(VIEW, 90_000.0, 100.0)  # a job that hung has little effect
    assert estimates.expected_run_ms(VIEW, 40.0) == pytest.approx(60.0, rel=0.1)
    assert estimates.expected_run_ms(VIEW, None) == estimates.run_ms[VIEW]


def nearest(key: int, worker_hashes: list[int]) -> int:
    return min(worker_hashes, key=lambda worker_hash: rendezvous_distance(key, worker_hash))


def test_keys_are_spread_over_the_workers_and_stay_at_theirs_when_another_is_removed() -> None:
    hashes = [stable_hash(f"w{n}") for n in range(10)]
    before = [nearest(key, hashes) for key in range(1000)]
    counts = [before.count(worker_hash) for worker_hash in hashes]
    assert min(counts) > 60 and max(counts) < 140
    mean = sum(rendezvous_distance(key, hashes[0]) for key in range(1000)) / 1000
    assert mean == pytest.approx(1.0, abs=0.15)
    after = [nearest(key, hashes[1:]) for key in range(1000)]
    assert all(now == was for now, was in zip(after, before, strict=True) if was != hashes[0])


def test_a_worker_is_expected_to_cache_the_most_recently_used_keys() -> None:
    d = Dispatcher(workers=0)
    d.update_list(entry("w0"))
    worker = d.policy.workers["w0"]
    for key in (1, 2, 3, 1, 4):
        worker.add_cached_key(key, 3)
    assert list(worker.cached_keys) == [3, 1, 4]


def test_a_class_of_lower_value_is_sent_first_if_the_worker_has_its_cache_key() -> None:
    # An order has three times the value of a view, but its data would have to be fetched, and would evict the
    # cached data.
    d, running = full()
    d.submit(ORDER, cache_key=11, cost_ms=100.0)
    cached, _ = d.submit(VIEW, cache_key=7, cost_ms=100.0)
    assert sent_request(d.end(running, "w0")) == cached


def test_an_aged_job_is_sent_before_more_valuable_ones() -> None:
    d, running = full()
    d.submit(ORDER, cache_key=7, cost_ms=100.0)
    aged, _ = d.submit(VIEW, cache_key=8, cost_ms=100.0, aged=True)
    assert sent_request(d.end(running, "w0")) == aged


def test_a_scan_serves_few_workers_however_many_have_capacity() -> None:
    # Guards against high CPU use of a dispatcher with many workers and many queued jobs.
    d, scanned = Dispatcher(settings(hedging_enabled=False), workers=40), list[object]()
    for worker in d.policy.workers.values():
        worker.add_cached_key(7, 4)
    serve_queue = d.policy._serve_queue
    d.policy._serve_queue = lambda freed=None: scanned.append(freed) or serve_queue(freed)  # type: ignore[method-assign, func-returns-value]
    d.policy._scan_queue()
    assert len([worker for worker in scanned if worker]) == 6 and scanned[-1] is None


def test_0_is_a_valid_cache_key() -> None:
    # With the platform strategy, a single freed worker is offered only to requests with a cache key.
    script = {"default": api.Tag((api.Block(strategy="platform", threshold=1),), "fail")}
    for key in (7, 0):
        d = Dispatcher(settings(script=script), workers=1)
        running, _ = d.submit(ORDER, cache_key=key)
        queued, _ = d.submit(ORDER, cache_key=key)
        d.start(running, "w0")
        assert d.policy.requests[queued].is_queued
        d.policy.workers["w0"].used_slots = 0.0
        assert d.policy.selector.select(d.policy.requests[queued], d.policy.workers["w0"]) is not None


def test_a_restarted_worker_has_no_cached_keys() -> None:
    d, running = full()
    d.end(running, "w0")
    assert 7 in d.policy.workers["w0"].cached_keys
    d.update_list(entry("w0", started_ms=d.now_ms))
    assert not d.policy.workers["w0"].cached_keys
