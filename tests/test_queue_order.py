"""Which held request a freed slot goes to, and what hints and keys have to do with it."""

from __future__ import annotations

import pytest

from grebestack.core import api
from grebestack.core.estimates import Estimates
from grebestack.core.hashing import rendezvous_distance, stable_hash
from tests.policy_driver import ORDER, VIEW, Dispatcher, entry, sends, settings


def full(**changes: object) -> tuple[Dispatcher, int]:
    """A dispatcher whose one worker takes one job at a time and runs one; and that job."""
    script = {"default": api.Tag((api.Block(threshold=1),), "fail")}
    d = Dispatcher(settings(script=script, **changes), workers=1)
    request, actions = d.ask(ORDER, cache_key=7, cost_ms=100.0)
    assert sends(actions) == ["w0"]
    d.start(request, "w0")
    return d, request


def first_of(actions: list[api.Action]) -> int:
    """The request that was sent."""
    (send,) = [a for a in actions if isinstance(a, api.Send)]
    return send.request


def test_a_freed_slot_goes_to_a_held_job_whose_key_the_worker_keeps() -> None:
    d, running = full()
    d.ask(ORDER, cache_key=8, cost_ms=100.0)
    kept, _ = d.ask(ORDER, cache_key=7, cost_ms=100.0)
    assert first_of(d.end(running, "w0")) == kept


def test_a_freed_slot_goes_to_the_heavier_job_where_worth_is_by_work() -> None:
    d, running = full(weight_by_work=True)
    d.ask(ORDER, cache_key=8, cost_ms=50.0)
    heavy, _ = d.ask(ORDER, cache_key=8, cost_ms=150.0)
    assert first_of(d.end(running, "w0")) == heavy


def test_a_freed_slot_goes_to_the_lighter_job_where_all_are_worth_the_same() -> None:
    d, running = full()
    d.ask(ORDER, cost_ms=150.0)
    light, _ = d.ask(ORDER, cost_ms=50.0)
    assert first_of(d.end(running, "w0")) == light


def test_jobs_without_hint_or_key_go_in_the_order_in_which_they_came() -> None:
    d, running = full(weight_by_work=True)
    first, _ = d.ask(ORDER)
    d.ask(ORDER, slots=0.5)
    assert first_of(d.end(running, "w0")) == first


def test_a_freed_worker_that_the_classs_blocks_do_not_name_gets_no_job_of_it() -> None:
    # The block names w1 alone: a slot that frees at w0 is nothing to its jobs.
    order = api.Tag((api.Block(("w1",), threshold=1),), "default")
    view = api.Tag((api.Block(("w0",), threshold=1),), "fail")
    default = api.Tag((api.Block(("w1",), threshold=1),), "fail")
    script = {"order": order, "view": view, "book": view, "default": default}
    d = Dispatcher(settings(script=script), workers=2)
    a, b = d.ask(VIEW)[0], d.ask(ORDER)[0]
    for request, worker in ((a, "w0"), (b, "w1")):
        d.start(request, worker)
    held, actions = d.ask(ORDER)
    assert not sends(actions) and not sends(d.end(a, "w0"))
    assert first_of(d.end(b, "w1")) == held


def test_a_job_that_runs_as_long_as_its_hint_says_does_not_make_its_worker_slow() -> None:
    d = Dispatcher(settings(reports_attempt_start=False), workers=1)
    for _ in range(40):  # a light job runs for 100 ms
        request, _ = d.ask(VIEW, cost_ms=100.0)
        d.wait(100)
        d.end(request, "w0")
    before = d.policy.workers["w0"].slowness
    request, _ = d.ask(VIEW, cost_ms=2000.0)
    d.wait(2000)
    d.end(request, "w0")
    assert d.policy.workers["w0"].slowness == pytest.approx(before, abs=0.1)


def test_running_time_is_expected_by_the_hint_where_there_is_one() -> None:
    estimates = Estimates(1.0, Dispatcher().policy.context.random)
    estimates.add_classes(settings().classes)
    for _ in range(400):
        estimates.on_success(VIEW, 150.0, 100.0)
    estimates.on_success(VIEW, 90_000.0, 100.0)  # one that hung says little
    assert estimates.expected_run_ms(VIEW, 40.0) == pytest.approx(60.0, rel=0.1)
    assert estimates.expected_run_ms(VIEW, None) == estimates.run_ms[VIEW]


def home(key: int, spots: list[int]) -> int:
    return min(spots, key=lambda spot: rendezvous_distance(key, spot))


def test_every_key_has_a_home_that_all_dispatchers_agree_on_and_that_stays() -> None:
    spots = [stable_hash(f"w{n}") for n in range(10)]
    homes = [home(key, spots) for key in range(1000)]
    counts = [homes.count(spot) for spot in spots]
    assert min(counts) > 60 and max(counts) < 140
    mean = sum(rendezvous_distance(key, spots[0]) for key in range(1000)) / 1000
    assert mean == pytest.approx(1.0, abs=0.15)
    gone = [home(key, spots[1:]) for key in range(1000)]
    assert all(now == was for now, was in zip(gone, homes, strict=True) if was != spots[0])


def test_a_worker_is_taken_to_keep_the_keys_that_were_needed_last() -> None:
    d = Dispatcher(workers=0)
    d.listed(entry("w0"))
    view = d.policy.workers["w0"]
    for key in (1, 2, 3, 1, 4):
        view.add_cached_key(key, 3)
    assert list(view.cached_keys) == [3, 1, 4]


def test_a_cheaper_class_goes_first_where_the_worker_keeps_what_it_needs() -> None:
    # An order is worth three times a view, but its key would be fetched, and drive out the one that is kept.
    d, running = full()
    d.ask(ORDER, cache_key=11, cost_ms=100.0)
    kept, _ = d.ask(VIEW, cache_key=7, cost_ms=100.0)
    assert first_of(d.end(running, "w0")) == kept


def test_an_aged_job_goes_before_those_that_earn_more() -> None:
    d, running = full()
    d.ask(ORDER, cache_key=7, cost_ms=100.0)
    aged, _ = d.ask(VIEW, cache_key=8, cost_ms=100.0, aged=True)
    assert first_of(d.end(running, "w0")) == aged


def test_a_scan_looks_at_few_workers_however_many_have_room() -> None:
    # Guards the CPU of a dispatcher in a large fleet with many held jobs.
    d, looked = Dispatcher(settings(hedging_enabled=False), workers=40), list[object]()
    for view in d.policy.workers.values():
        view.add_cached_key(7, 4)
    look = d.policy._serve_queue
    d.policy._serve_queue = lambda freed=None: looked.append(freed) or look(freed)  # type: ignore[method-assign, func-returns-value]
    d.policy._scan_queue()
    assert len([view for view in looked if view]) == 6 and looked[-1] is None


def test_a_key_of_0_is_a_key_like_any_other() -> None:
    # Where blocks walk by keys a single freed worker is left to the requests that have one.
    script = {"default": api.Tag((api.Block(strategy="platform", threshold=1),), "fail")}
    for key in (7, 0):
        d = Dispatcher(settings(script=script), workers=1)
        running, _ = d.ask(ORDER, cache_key=key)
        held, _ = d.ask(ORDER, cache_key=key)
        d.start(running, "w0")
        assert d.policy.requests[held].is_queued
        d.policy.workers["w0"].used_slots = 0.0
        assert d.policy.selector.select(d.policy.requests[held], d.policy.workers["w0"]) is not None


def test_a_worker_that_has_restarted_keeps_nothing_of_before() -> None:
    d, running = full()
    d.end(running, "w0")
    assert 7 in d.policy.workers["w0"].cached_keys
    d.listed(entry("w0", started_ms=d.now))
    assert not d.policy.workers["w0"].cached_keys
