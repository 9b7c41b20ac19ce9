"""The selection of workers: APP scripts with blocks, strategies, invalidate rules and followups."""

from __future__ import annotations

from dataclasses import replace

import pytest

from grebestack.core import api
from grebestack.core.estimates import LOAD_MAX_AGE_MS
from grebestack.core.hashing import rendezvous_distance, stable_hash
from grebestack.core.policy import Policy
from grebestack.core.script import built_in_script
from grebestack.core.timers import TimerQueue
from tests.policy_driver import BASE, ORDER, VIEW, Dispatcher, entry, sends, settings

ALL_FAIL = {"default": api.Tag((api.Block(),), "fail")}


def scripted(*blocks: api.Block, followup: str = "fail", **changes: object) -> Dispatcher:
    script = {"view": api.Tag(blocks, followup)} | ALL_FAIL
    return Dispatcher(settings(script=script, **changes))


def run(d: Dispatcher, **fields: float) -> str:
    """Submit a view and have it start at once; return the worker."""
    request, actions = d.submit(VIEW, **fields)
    (worker,) = sends(actions)
    d.start(request, worker)
    return worker


def test_the_built_in_script_is_best_first_and_ends_in_a_default_tag_with_platform() -> None:
    script = built_in_script(BASE)
    assert all(block.strategy == "best_first" for c in BASE.classes for block in script[c.name].blocks)
    assert all(script[c.name].followup == "default" for c in BASE.classes)
    assert [b.place for b in script["view"].blocks] == ["own", "other"]
    assert {b.strategy for b in script["default"].blocks} == {"platform"}


def test_best_first_fills_the_first_worker_until_its_threshold_then_the_next() -> None:
    d = scripted(api.Block(("w2", "w0"), threshold=2))
    assert [run(d) for _ in range(4)] == ["w2", "w2", "w0", "w0"]


def test_a_second_block_is_used_only_when_the_first_has_no_valid_worker() -> None:
    d = scripted(api.Block(("w1",), threshold=1), api.Block(("w0",), threshold=1))
    assert [run(d), run(d)] == ["w1", "w0"]
    d.end(1, "w1")
    assert run(d) == "w1"


def test_random_uses_all_valid_workers() -> None:
    d = scripted(api.Block(strategy="random", threshold=100))
    assert {run(d) for _ in range(60)} == {"w0", "w1", "w2"}


def test_platform_skips_invalid_workers_and_starts_at_a_worker_that_depends_on_the_cache_key() -> None:
    d = scripted(api.Block(strategy="platform", invalidate="max_concurrent_invocations", threshold=1))
    assert {run(d, cache_key=7) for _ in range(3)} == {"w0", "w1", "w2"}
    first_workers = set()
    for key in range(20):
        fresh = scripted(api.Block(strategy="platform", threshold=1))
        first_workers.add(run(fresh, cache_key=key))
    assert first_workers == {"w0", "w1", "w2"}


def test_followup_fail_rejects_when_no_block_has_a_valid_worker() -> None:
    d = scripted(api.Block(("w0",), threshold=1))
    run(d)
    request, actions = d.submit(VIEW)
    assert actions == [api.Reject(request)]


def test_followup_default_continues_with_the_default_tag() -> None:
    d = scripted(api.Block(("w0",), threshold=1), followup="default")
    assert run(d) == "w0"
    assert run(d) in ("w1", "w2")


def test_capacity_used_counts_the_report_and_the_jobs_sent_since() -> None:
    d = scripted(
        api.Block(("w0", "w1"), invalidate="capacity_used", threshold=0.5),
        report_fields=frozenset({"free_slots"}),
    )
    d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 4.0}))
    d.feed(api.ProbeEnded("w1", api.Outcome.OK, 1.0, {"free_slots": 4.0}))
    assert [run(d) for _ in range(4)] == ["w0", "w0", "w1", "w1"]


def test_the_built_in_script_uses_free_slots_if_they_are_reported() -> None:
    d = Dispatcher(settings(report_fields=frozenset({"free_slots"})))
    blocks = [d.policy.selector.blocks[n] for n in d.policy.selector.block_indices[VIEW]]
    assert [b.invalidate for b in blocks[:2]] == ["capacity_used", "capacity_used"]
    assert {b.strategy for b in blocks[:2]} == {"best_first"}


def test_the_reported_load_of_other_dispatchers_changes_with_age_into_their_mean_load() -> None:
    # Guards against a worker that was reported full once: without a job of this dispatcher, it would never
    # report again.
    d = Dispatcher(settings(report_fields=frozenset({"free_slots"})), workers=1)
    worker = d.policy.workers["w0"]
    for free in (4.0, *[0.0] * 20):
        d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": free}))
    estimates = d.policy.estimates
    estimates.others_load = (1.0, 0.0)  # the mean of all workers
    assert worker.others_load(d.now_ms, estimates)[0] == pytest.approx(4, abs=0.1)
    assert worker.others_load(d.now_ms + LOAD_MAX_AGE_MS / 2, estimates)[0] == pytest.approx(2.5, abs=0.1)
    assert worker.others_load(d.now_ms + LOAD_MAX_AGE_MS, estimates)[0] == 1.0


def test_own_jobs_that_ended_after_a_report_was_made_do_not_count_as_load_of_others() -> None:
    # Guards against a worker that seems full of the jobs of other dispatchers although it has only jobs of
    # this one: requests would be sent to other zones.
    d = Dispatcher(settings(report_fields=frozenset({"free_slots"}), reports_attempt_start=False), workers=1)
    worker = d.policy.workers["w0"]
    d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 8.0}))
    for _ in range(12):
        requests = [d.submit(VIEW)[0] for _ in range(6)]
        d.advance(500)
        for request in requests:
            d.end(request, "w0")
        # The report was made before the jobs ended, and received after that.
        d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 2.0}))
        assert worker.others_slots < 1.0
        d.advance(50)


def test_rule_overload_requires_free_slots_and_free_memory() -> None:
    d = scripted(
        api.Block(("w0", "w1"), invalidate="overload"),
        reports_attempt_start=False,
        report_fields=frozenset({"free_slots", "free_memory"}),
    )
    d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 2.0, "free_memory": 1.0}))
    d.feed(api.ProbeEnded("w1", api.Outcome.OK, 1.0, {"free_slots": 4.0, "free_memory": 4.0}))
    assert sends(d.submit(VIEW, memory=2.0)[1]) == ["w1"]
    assert sends(d.submit(VIEW, slots=2.0, memory=1.0)[1]) == ["w0"]
    assert sends(d.submit(VIEW, slots=1.0, memory=1.0)[1]) == ["w1"]


def test_report_fields_that_the_settings_do_not_list_are_not_used() -> None:
    d = scripted(api.Block(("w0", "w1"), invalidate="capacity_used", threshold=0.5))
    d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 0.0}))
    assert run(d) == "w0"


def test_the_learned_concurrency_limit_starts_small_and_rises_while_jobs_end_in_time() -> None:
    d = Dispatcher(workers=1)
    run(d)
    for _ in range(6):
        d.advance(2000)
        d.end(d.last_request, "w0")
        run(d)
    worker = d.policy.workers["w0"]
    assert 2.0 <= worker.concurrency_limit <= 8.0


def test_an_overdue_start_lowers_the_concurrency_limit_and_moves_the_job() -> None:
    d = Dispatcher(workers=2)
    request, actions = d.submit(VIEW)
    (first,) = sends(actions)
    later_actions = d.advance(100)
    assert api.Cancel(request, 0) in later_actions
    assert sends(later_actions) == [w for w in ("w0", "w1") if w != first]
    assert d.policy.workers[first].concurrency_limit == 0.0


def test_jobs_of_a_cache_key_go_from_all_dispatchers_to_the_nearest_worker_and_then_to_the_next() -> None:
    """If starts are reported. Jobs that were spread over all workers would fetch the data at each worker."""
    choices = set()
    for number in range(5):
        d = Dispatcher(settings(dispatcher=number, dispatcher_count=5, hedging_enabled=False), workers=40)
        request, actions = d.submit(VIEW, cache_key=77)
        (first,) = sends(actions)
        d.advance(200)
        (second,) = sends(d.end(request, first, api.Outcome.CANCELLED))
        choices.add((first, second))
    ((first, second),) = choices
    nearest = sorted((rendezvous_distance(77, stable_hash(f"w{n}")), f"w{n}") for n in range(40))
    assert [name for _, name in nearest[:2]] == [first, second]


def test_without_reports_of_load_or_starts_the_worker_with_the_fewest_own_jobs_comes_first() -> None:
    """Guards against a worker that is filled up to a growing concurrency limit while jobs queue there."""
    d = Dispatcher(settings(reports_attempt_start=False), workers=6)
    for worker in d.policy.workers.values():
        worker.concurrency_limit = 8.0
    for _ in range(12):
        d.submit(VIEW)
    assert [worker.attempt_count for worker in d.policy.workers.values()] == [2] * 6


@pytest.mark.parametrize("reports_start", [True, False])
def test_a_block_that_names_its_workers_tries_them_in_that_order(reports_start: bool) -> None:
    """With any cache key, and whether or not starts are reported."""
    names = tuple(f"w{n}" for n in (4, 1, 3, 0))
    script = {"default": api.Tag((api.Block(names, threshold=2),), "fail")}
    d = Dispatcher(settings(script=script, reports_attempt_start=reports_start), workers=6)
    sent = []
    for key in range(8):
        request, actions = d.submit(VIEW, cache_key=key)
        sent += sends(actions)
        if reports_start:
            d.start(request, sent[-1])
    assert sent == ["w4", "w4", "w1", "w1", "w3", "w3", "w0", "w0"]


def test_a_job_that_starts_late_at_one_worker_and_in_time_at_another_sheds_no_requests() -> None:
    """For classes without value of late answers: one worker with a queue does not mean that all have one."""
    classes = tuple(replace(c, late_priority_weight=0.0) for c in settings().classes)
    d = Dispatcher(settings(classes=classes, hedging_enabled=False), workers=9)
    request, actions = d.submit(VIEW)
    d.advance(200)
    (second,) = sends(d.end(request, sends(actions)[0], api.Outcome.CANCELLED))
    assert d.policy.admission.admission_probability == 1.0
    d.start(request, second, 1)
    moved, actions = d.submit(VIEW)
    d.advance(200)
    d.end(moved, sends(actions)[0], api.Outcome.CANCELLED)
    d.advance(200)
    assert d.policy.admission.admission_probability < 1.0, "it was late at both workers"


def test_without_hedging_an_overdue_job_moves_once_its_worker_has_confirmed_the_cancellation() -> None:
    d = Dispatcher(settings(hedging_enabled=False), workers=2)
    request, actions = d.submit(VIEW)
    (first,) = sends(actions)
    later_actions = d.advance(200)
    assert later_actions == [api.Cancel(request, 0, at_once=False)]  # and no copy until it has ended
    assert not sends(d.advance(300))
    (second,) = sends(d.end(request, first, api.Outcome.CANCELLED))
    assert second != first
    order, actions = d.submit(ORDER)
    assert sends(actions) and not [a for a in d.advance(200) if a == api.Cancel(order, 0, at_once=False)]


def test_the_own_zone_comes_first_and_other_zones_only_after_a_wait() -> None:
    d = Dispatcher(settings(cross_zone_cost=0.1), workers=0)
    d.update_list(entry("far", zone=1))
    request, actions = d.submit(VIEW)
    assert sends(actions) == []
    waited_ms = 0
    while not sends(d.advance(5)):
        waited_ms += 5
    assert 25 <= waited_ms <= 100
    d.start(request, "far")
    d.update_list(entry("near"), kind=api.ListKind.CHANGES)
    assert sends(d.submit(VIEW)[1]) == ["near"]


def test_workers_of_another_kind_are_never_used() -> None:
    with_kind = replace(BASE, classes=(replace(BASE.classes[0], kind=1), *BASE.classes[1:]))
    d = Dispatcher(with_kind, workers=0)
    d.update_list(entry("a", kind=0), entry("b", kind=1))
    assert run(d) == "b"


def test_first_choices_differ_between_dispatchers() -> None:
    first_workers = set()
    for number in range(8):
        d = Dispatcher(settings(dispatcher=number, dispatcher_count=8), workers=16)
        first_workers.add(run(d))
    assert len(first_workers) >= 6


def test_the_most_valuable_queued_requests_are_sent_first() -> None:
    d = Dispatcher(workers=0)
    low, _ = d.submit(VIEW)
    high, _ = d.submit(ORDER)
    d.advance(1100)  # the order of the queues is renewed on a timer
    low, _ = d.submit(VIEW)
    high, _ = d.submit(ORDER)
    actions = d.update_list(entry("w0"))
    assert [a.request for a in actions if isinstance(a, api.Send)][0] == high
    assert low not in [a.request for a in actions if isinstance(a, api.Send)]


@pytest.mark.parametrize(
    ("make", "fault"),
    [
        (lambda: api.Tag(()), "no blocks"),
        (lambda: api.Tag((api.Block(),), "retry"), "followup 'retry'"),
        (lambda: api.Block(strategy="fastest"), "strategy 'fastest'"),
        (lambda: api.Block(invalidate="mood"), "invalidate rule 'mood'"),
        (lambda: api.Block(()), "no workers"),
        (lambda: api.Block(place="moon"), "place 'moon'"),
        (lambda: api.Block(invalidate="capacity_used", threshold=1.5), "threshold 1.5"),
        (lambda: api.Block(threshold=0), "threshold 0"),
        (lambda: settings(script={"nosuch": api.Tag((api.Block(),), "fail")}), "'nosuch' names no class"),
        (lambda: settings(script={"view": api.Tag((api.Block(),))}), "no default tag follows it"),
        (lambda: settings(script={"view": api.Tag((api.Block(),), "fail")}), "class 'book'"),
        (lambda: settings(classes=()), "no class"),
    ],
)
def test_an_invalid_script_is_rejected_with_a_message_that_names_the_fault(make: object, fault: str) -> None:
    assert callable(make)
    with pytest.raises(ValueError, match=fault):
        Policy(make(), 1)


def test_long_usual_start_delays_do_not_extend_the_start_timeout_beyond_a_share_of_the_objective() -> None:
    d = Dispatcher(workers=1)
    worker = d.policy.workers["w0"]
    d.policy.estimates.min_start_delay_ms[True] = 10_000.0
    request, _ = d.submit(VIEW)
    d.advance(BASE.classes[VIEW].latency_objective_ms / 2)
    assert worker.consecutive_overloads == 1 and worker.concurrency_limit == 0.0


def test_the_estimate_of_the_start_delay_follows_the_lowest_delays() -> None:
    d = Dispatcher(workers=1)
    for n in range(3000):
        d.policy.estimates.on_start_delay(True, 5.0 if n % 3 == 0 else 400.0)
    assert d.policy.estimates.min_start_delay_ms[True] < 10.0


def reporting(workers: int = 2) -> Dispatcher:
    """A dispatcher whose workers report eight free slots each; all in one block."""
    d = Dispatcher(
        settings(report_fields=frozenset({"free_slots"}), reports_attempt_start=False), workers=workers
    )
    for n in range(workers):
        d.feed(api.ProbeEnded(f"w{n}", api.Outcome.OK, 1.0, {"free_slots": 8.0}))
    return d


def test_a_worker_that_fails_a_class_gets_only_trial_requests_of_it() -> None:
    # Guards against a worker that fails fast: it always has free slots and would attract most of the work.
    d, sent, is_used_again = reporting(), list[str](), True
    for _ in range(40):
        request, actions = d.submit(ORDER)
        (worker,) = sends(actions)
        sent.append(worker)
        fails = worker == sent[0]
        d.end(request, worker, api.Outcome.ERROR if fails else api.Outcome.OK, closed=True)
        d.advance(50)
    assert sent.count(sent[0]) <= 6
    for _ in range(200):  # it works again: views succeed there, then the trial requests do
        request, actions = d.submit(VIEW)
        d.end(request, sends(actions)[0])
        request, actions = d.submit(ORDER)
        (worker,) = sends(actions)
        is_used_again = worker == sent[0]
        d.end(request, worker)
        d.advance(50)
    assert is_used_again


def test_errors_from_all_workers_eject_none_of_them() -> None:
    # Guards against faulty requests, which fail at every worker: they must not make all workers invalid.
    d = reporting()
    for _ in range(60):
        request, actions = d.submit(ORDER)
        for worker in sends(actions):
            d.end(request, worker, api.Outcome.ERROR, closed=True)
        d.advance(300)
    assert len(sends(d.log)) >= 40


def test_a_worker_that_is_far_slower_than_the_others_is_rarely_used() -> None:
    d, sent = reporting(), list[str]()
    for _ in range(30):
        request, actions = d.submit(VIEW)
        sent += sends(actions)
        d.advance(1500 if sent[-1] == sent[0] else 250)
        d.end(request, sent[-1])
    assert d.policy.workers[sent[0]].slowness > 1.5 and sent[-20:].count(sent[0]) <= 1
    assert sum(sends(d.submit(VIEW)[1]) == sent[:1] for _ in range(8)) <= 1


def test_a_worker_whose_jobs_do_not_end_counts_as_slow() -> None:
    # Guards against a hung worker: no job ends there, so no running time is ever learned.
    d = reporting(3)
    for _ in range(4):
        assert sends(d.submit(ORDER)[1])
    hung = next(worker for worker in d.policy.workers.values() if worker.attempt_count == 4)
    d.advance(3000)
    assert hung.slowness > 2.5
    assert hung.entry.worker not in sends(d.submit(ORDER)[1])


def with_slots(slots: float) -> Dispatcher:
    """A dispatcher with one worker, which has reported this many free slots."""
    d = Dispatcher(settings(reports_attempt_start=False, report_fields=frozenset({"free_slots"})), workers=1)
    first, actions = d.submit(VIEW)
    d.feed(api.AttemptEnded(first, 0, sends(actions)[0], api.Outcome.OK, 1.0, True, {"free_slots": slots}))
    return d


def test_an_aged_request_is_sent_before_more_valuable_ones() -> None:
    d = with_slots(1.0)
    running, actions = d.submit(VIEW)
    assert sends(actions) == ["w0"]
    valuable = [d.submit(ORDER)[0] for _ in range(3)]
    aged, actions = d.submit(VIEW, aged=True)
    assert not sends(actions)
    sent = [a.request for a in d.end(running, "w0") if isinstance(a, api.Send)]
    assert sent == [aged]
    assert [a.request for a in d.end(aged, "w0") if isinstance(a, api.Send)] == [valuable[0]]


@pytest.mark.parametrize("aged", [False, True])
def test_a_worker_is_reserved_for_an_aged_request_of_several_slots(aged: bool) -> None:
    # Guards against a stream of small jobs that takes each slot as it becomes free: a large job would never
    # fit.
    d = with_slots(2.0)
    small = [d.submit(VIEW, deadline_ms=60_000.0)[0] for _ in range(8)]
    large, _ = d.submit(VIEW, slots=2.0, aged=aged, deadline_ms=60_000.0)
    sent: list[int] = []
    for number in small[:4]:
        actions = d.end(number, "w0") + d.advance(30.0)
        sent += [a.request for a in actions if isinstance(a, api.Send)]
        if large in sent:
            break
    assert (large in sent) == aged
    if aged:  # small jobs are sent again after it
        assert sent == [large]
        actions = d.end(large, "w0") + d.advance(30.0)
        assert [a.request for a in actions if isinstance(a, api.Send)] == small[3:5]  # one was queued there


def test_jobs_queue_at_a_worker_for_up_to_half_of_the_latency_objective() -> None:
    # Guards against idle cores: the report of a free slot comes half a second late or more.
    d = with_slots(8.0)
    for _ in range(30):
        d.submit(VIEW)
    queued = 8 * BASE.classes[VIEW].latency_objective_ms / 2 // d.policy.estimates.run_ms[VIEW]
    assert d.policy.workers["w0"].attempt_count == 8 + queued > 8


def test_an_older_timer_that_fires_before_a_newer_one_runs_the_due_tasks() -> None:
    # Guards against a missed deadline after a long iteration of the event loop, in which timers fire out of
    # order.
    timers, done = TimerQueue(), list[str]()
    timers.add(100.0, lambda: done.append("later"))
    assert timers.next_timer_ms() == 100.0
    older = timers.token
    timers.add(90.0, lambda: done.append("sooner"))
    assert timers.next_timer_ms() == 90.0
    timers.run_due(110.0, older)
    assert done == ["sooner", "later"] and timers.next_timer_ms() is None
    timers.run_due(110.0, timers.token)
    timers.add(120.0, lambda: done.append("next"))
    assert done == ["sooner", "later"] and timers.next_timer_ms() == 120.0


def test_an_order_goes_to_a_worker_with_a_recent_success_and_a_view_tries_the_others() -> None:
    # Guards against orders that are sent to workers that have failed unnoticed. An error is final for an
    # order, while a view can be retried elsewhere. Each of many dispatchers would lose an order to detect the
    # failure.
    d = reporting(2)
    first = sends(d.submit(VIEW)[1])[0]
    other = next(name for name in d.policy.workers if name != first)
    d.end(d.last_request, first)
    assert sends(d.submit(ORDER)[1]) == [first]
    d.end(d.last_request, first)
    d.advance(2000)
    d.policy.workers[other].last_success_ms = d.now_ms
    assert sends(d.submit(ORDER)[1]) == [other]
    assert sends(d.submit(VIEW)[1]) == [first]
    d.policy.workers[other].last_success_ms = 0.0
    assert sends(d.submit(ORDER)[1]) == [first]


def test_a_worker_that_is_ready_again_is_tried_despite_earlier_failures() -> None:
    # Guards against a worker that was not ready for a moment: with little traffic, no request would try it
    # again.
    d = Dispatcher(workers=1)
    for _ in range(4):
        number, actions = d.submit(ORDER)
        if sends(actions):
            d.end(number, "w0", api.Outcome.RESET)
    assert d.policy.workers["w0"].consecutive_overloads and not sends(d.submit(ORDER)[1])
    d.update_list(entry("w0", state=api.WorkerState.DRAINING), kind=api.ListKind.CHANGES)
    d.update_list(entry("w0"), kind=api.ListKind.CHANGES)
    assert sends(d.submit(ORDER)[1]) == ["w0"] or d.policy.workers["w0"].attempt_count == 1


def test_a_worker_that_operators_reinstate_is_used_soon_although_it_is_warming_up() -> None:
    # Guards against a warming worker that is ranked last: with little traffic, the others get all requests.
    d = Dispatcher(
        settings(slow_start_initial_share=0.1, slow_start_ms=24_000, overload_factor=3.0), workers=3
    )
    d.policy.estimates.kind_slots[0] = 8.0
    for name in ("w0", "w1", "w2"):  # at any position on the ring
        d.update_list(entry(name, state=api.WorkerState.DRAINING), kind=api.ListKind.CHANGES)
        d.advance(2100)
        reinstated = entry(name, started_ms=d.now_ms - 500, put_back=True)
        d.update_list(reinstated, kind=api.ListKind.CHANGES)
        d.update_list(entry(name, started_ms=d.now_ms - 500), kind=api.ListKind.CHANGES)  # listed once more
        used = []
        for _ in range(40):
            number, actions = d.submit(VIEW)
            for worker in sends(actions):
                used.append(worker)
                d.start(number, worker)
                d.end(number, worker)
            d.advance(100)
        assert name in used


def test_requests_over_the_quota_of_a_tenant_or_of_an_unknown_tenant_are_queued_separately() -> None:
    tenants = (api.Tenant("one", 0.5), api.Tenant("two", 100.0))
    d = Dispatcher(settings(tenants=tenants, over_quota_weight_factor=0.2), workers=1)
    d.submit(ORDER, tenant=1)
    for tenant in (0, 0, 2, 1):
        d.submit(VIEW, tenant=tenant)
    queue = d.policy.queue
    tenants_by_quota = {
        key.is_over_quota: [r.arrival.tenant for r in queue.heads(key, 9)] for key in queue.keys
    }
    assert tenants_by_quota == {False: [0, 1], True: [0, 2]}
