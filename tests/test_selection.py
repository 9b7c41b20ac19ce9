"""The APP mechanism: script, blocks, strategies, invalidate rules, followups."""

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
    """Ask for a view and have it start at once; returns the worker."""
    request, actions = d.ask(VIEW, **fields)
    (worker,) = sends(actions)
    d.start(request, worker)
    return worker


def test_built_in_script_is_best_first_and_ends_in_the_platform_default() -> None:
    script = built_in_script(BASE)
    assert all(block.strategy == "best_first" for c in BASE.classes for block in script[c.name].blocks)
    assert all(script[c.name].followup == "default" for c in BASE.classes)
    assert [b.place for b in script["view"].blocks] == ["own", "other"]
    assert {b.strategy for b in script["default"].blocks} == {"platform"}


def test_best_first_fills_the_first_worker_until_its_threshold_then_the_next() -> None:
    d = scripted(api.Block(("w2", "w0"), threshold=2))
    assert [run(d) for _ in range(4)] == ["w2", "w2", "w0", "w0"]


def test_a_second_block_is_used_only_when_the_first_holds_no_valid_worker() -> None:
    d = scripted(api.Block(("w1",), threshold=1), api.Block(("w0",), threshold=1))
    assert [run(d), run(d)] == ["w1", "w0"]
    d.end(1, "w1")
    assert run(d) == "w1"


def test_random_uses_all_valid_workers() -> None:
    d = scripted(api.Block(strategy="random", threshold=100))
    assert {run(d) for _ in range(60)} == {"w0", "w1", "w2"}


def test_platform_steps_past_invalid_workers_and_starts_at_the_key() -> None:
    d = scripted(api.Block(strategy="platform", invalidate="max_concurrent_invocations", threshold=1))
    assert {run(d, cache_key=7) for _ in range(3)} == {"w0", "w1", "w2"}
    firsts = set()
    for key in range(20):
        fresh = scripted(api.Block(strategy="platform", threshold=1))
        firsts.add(run(fresh, cache_key=key))
    assert firsts == {"w0", "w1", "w2"}


def test_followup_fail_refuses_when_every_block_is_invalid() -> None:
    d = scripted(api.Block(("w0",), threshold=1))
    run(d)
    request, actions = d.ask(VIEW)
    assert actions == [api.Reject(request)]


def test_followup_default_turns_to_the_default_tag() -> None:
    d = scripted(api.Block(("w0",), threshold=1), followup="default")
    assert run(d) == "w0"
    assert run(d) in ("w1", "w2")


def test_capacity_used_reads_the_report_and_what_was_sent_since() -> None:
    d = scripted(
        api.Block(("w0", "w1"), invalidate="capacity_used", threshold=0.5),
        report_fields=frozenset({"free_slots"}),
    )
    d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 4.0}))
    d.feed(api.ProbeEnded("w1", api.Outcome.OK, 1.0, {"free_slots": 4.0}))
    assert [run(d) for _ in range(4)] == ["w0", "w0", "w1", "w1"]


def test_where_free_slots_are_reported_the_blocks_read_them() -> None:
    d = Dispatcher(settings(report_fields=frozenset({"free_slots"})))
    blocks = [d.policy.selector.blocks[n] for n in d.policy.selector.block_indices[VIEW]]
    assert [b.invalidate for b in blocks[:2]] == ["capacity_used", "capacity_used"]
    assert {b.strategy for b in blocks[:2]} == {"best_first"}


def test_what_a_report_shows_of_the_others_turns_with_age_into_what_they_have_elsewhere() -> None:
    # Guards against a worker that once showed itself full and, with no job of ours, would never report again.
    d = Dispatcher(settings(report_fields=frozenset({"free_slots"})), workers=1)
    view = d.policy.workers["w0"]
    for free in (4.0, *[0.0] * 20):
        d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": free}))
    estimates = d.policy.estimates
    estimates.others_load = (1.0, 0.0)  # what they have elsewhere
    assert view.others_load(d.now, estimates)[0] == pytest.approx(4, abs=0.1)
    assert view.others_load(d.now + LOAD_MAX_AGE_MS / 2, estimates)[0] == pytest.approx(2.5, abs=0.1)
    assert view.others_load(d.now + LOAD_MAX_AGE_MS, estimates)[0] == 1.0


def test_jobs_of_ours_that_ended_since_a_report_was_made_do_not_pass_for_the_others() -> None:
    # Guards against a worker that seems full of others' jobs while it has only ours: the zone would be left.
    d = Dispatcher(settings(report_fields=frozenset({"free_slots"}), reports_attempt_start=False), workers=1)
    view = d.policy.workers["w0"]
    d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 8.0}))
    for _ in range(12):
        requests = [d.ask(VIEW)[0] for _ in range(6)]
        d.wait(500)
        for request in requests:
            d.end(request, "w0")
        # Made before the ends, and told after them.
        d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 2.0}))
        assert view.others_slots < 1.0
        d.wait(50)


def test_overload_means_too_few_free_slots_or_memory() -> None:
    d = scripted(
        api.Block(("w0", "w1"), invalidate="overload"),
        reports_attempt_start=False,
        report_fields=frozenset({"free_slots", "free_memory"}),
    )
    d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 2.0, "free_memory": 1.0}))
    d.feed(api.ProbeEnded("w1", api.Outcome.OK, 1.0, {"free_slots": 4.0, "free_memory": 4.0}))
    assert sends(d.ask(VIEW, memory=2.0)[1]) == ["w1"]
    assert sends(d.ask(VIEW, slots=2.0, memory=1.0)[1]) == ["w0"]
    assert sends(d.ask(VIEW, slots=1.0, memory=1.0)[1]) == ["w1"]


def test_report_fields_that_the_settings_do_not_list_are_not_used() -> None:
    d = scripted(api.Block(("w0", "w1"), invalidate="capacity_used", threshold=0.5))
    d.feed(api.ProbeEnded("w0", api.Outcome.OK, 1.0, {"free_slots": 0.0}))
    assert run(d) == "w0"


def test_the_private_ceiling_starts_small_and_rises_while_jobs_end_in_time() -> None:
    d = Dispatcher(workers=1)
    run(d)
    for _ in range(6):
        d.wait(2000)
        d.end(d.last, "w0")
        run(d)
    view = d.policy.workers["w0"]
    assert 2.0 <= view.concurrency_limit <= 8.0


def test_an_overdue_start_lowers_the_ceiling_and_moves_the_job() -> None:
    d = Dispatcher(workers=2)
    request, actions = d.ask(VIEW)
    (head,) = sends(actions)
    done = d.wait(100)
    assert api.Cancel(request, 0) in done
    assert sends(done) == [w for w in ("w0", "w1") if w != head]
    assert d.policy.workers[head].concurrency_limit == 0.0


def test_a_keys_jobs_go_to_the_same_home_from_all_dispatchers_and_to_the_next_where_they_wait() -> None:
    """Where starts are told. Spread over all workers each of them fetches each key anew."""
    homes = set()
    for number in range(5):
        d = Dispatcher(settings(dispatcher=number, dispatcher_count=5, hedging_enabled=False), workers=40)
        request, actions = d.ask(VIEW, cache_key=77)
        (first,) = sends(actions)
        d.wait(200)
        (second,) = sends(d.end(request, first, api.Outcome.CANCELLED))
        homes.add((first, second))
    ((first, second),) = homes
    nearest = sorted((rendezvous_distance(77, stable_hash(f"w{n}")), f"w{n}") for n in range(40))
    assert [name for _, name in nearest[:2]] == [first, second]


def test_where_nobody_tells_a_queue_the_worker_with_the_fewest_of_ours_comes_first() -> None:
    """Neither reports nor starts: one worker filled to a ceiling that grows piled jobs up in its queue."""
    d = Dispatcher(settings(reports_attempt_start=False), workers=6)
    for view in d.policy.workers.values():
        view.concurrency_limit = 8.0
    for _ in range(12):
        d.ask(VIEW)
    assert [view.attempt_count for view in d.policy.workers.values()] == [2] * 6


@pytest.mark.parametrize("told", [True, False])
def test_a_block_that_names_its_workers_is_walked_in_that_order(told: bool) -> None:
    """Whatever key a job brings, and whether or not anybody tells of queues."""
    names = tuple(f"w{n}" for n in (4, 1, 3, 0))
    script = {"default": api.Tag((api.Block(names, threshold=2),), "fail")}
    d = Dispatcher(settings(script=script, reports_attempt_start=told), workers=6)
    sent = []
    for key in range(8):
        request, actions = d.ask(VIEW, cache_key=key)
        sent += sends(actions)
        if told:
            d.start(request, sent[-1])
    assert sent == ["w4", "w4", "w1", "w1", "w3", "w3", "w0", "w0"]


def test_a_job_that_waits_once_and_starts_elsewhere_keeps_nobody_out() -> None:
    """Of what late earns nothing: one queue is not all queues."""
    classes = tuple(replace(c, late_priority_weight=0.0) for c in settings().classes)
    d = Dispatcher(settings(classes=classes, hedging_enabled=False), workers=9)
    request, actions = d.ask(VIEW)
    d.wait(200)
    (second,) = sends(d.end(request, sends(actions)[0], api.Outcome.CANCELLED))
    assert d.policy.admission.admission_probability == 1.0
    d.start(request, second, 1)
    moved, actions = d.ask(VIEW)
    d.wait(200)
    d.end(moved, sends(actions)[0], api.Outcome.CANCELLED)
    d.wait(200)
    assert d.policy.admission.admission_probability < 1.0, "it waits wherever it goes"


def test_where_copies_are_forbidden_an_overdue_job_moves_once_its_worker_has_given_it_up() -> None:
    d = Dispatcher(settings(hedging_enabled=False), workers=2)
    request, actions = d.ask(VIEW)
    (first,) = sends(actions)
    called_back = d.wait(200)
    assert called_back == [api.Cancel(request, 0, at_once=False)]  # and no copy while it is out
    assert not sends(d.wait(300))
    (second,) = sends(d.end(request, first, api.Outcome.CANCELLED))
    assert second != first
    order, actions = d.ask(ORDER)
    assert sends(actions) and not [a for a in d.wait(200) if a == api.Cancel(order, 0, at_once=False)]


def test_own_zone_comes_first_and_a_crossing_waits_for_its_price() -> None:
    d = Dispatcher(settings(cross_zone_cost=0.1), workers=0)
    d.listed(entry("far", zone=1))
    request, actions = d.ask(VIEW)
    assert sends(actions) == []
    waited = 0
    while not sends(d.wait(5)):
        waited += 5
    assert 25 <= waited <= 100
    d.start(request, "far")
    d.listed(entry("near"), kind=api.ListKind.CHANGES)
    assert sends(d.ask(VIEW)[1]) == ["near"]


def test_workers_of_another_kind_are_never_used() -> None:
    fussy = replace(BASE, classes=(replace(BASE.classes[0], kind=1), *BASE.classes[1:]))
    d = Dispatcher(fussy, workers=0)
    d.listed(entry("a", kind=0), entry("b", kind=1))
    assert run(d) == "b"


def test_heads_differ_between_dispatchers() -> None:
    heads = set()
    for number in range(8):
        d = Dispatcher(settings(dispatcher=number, dispatcher_count=8), workers=16)
        heads.add(run(d))
    assert len(heads) >= 6


def test_held_requests_go_dearest_first() -> None:
    d = Dispatcher(workers=0)
    cheap, _ = d.ask(VIEW)
    dear, _ = d.ask(ORDER)
    d.wait(1100)  # the queue's order is renewed on a timer
    cheap, _ = d.ask(VIEW)
    dear, _ = d.ask(ORDER)
    done = d.listed(entry("w0"))
    assert [a.request for a in done if isinstance(a, api.Send)][0] == dear
    assert cheap not in [a.request for a in done if isinstance(a, api.Send)]


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
        (lambda: settings(script={"view": api.Tag((api.Block(),))}), "leads nowhere"),
        (lambda: settings(script={"view": api.Tag((api.Block(),), "fail")}), "class 'book'"),
        (lambda: settings(classes=()), "no class"),
    ],
)
def test_a_faulty_script_is_turned_down_with_the_fault_named(make: object, fault: str) -> None:
    assert callable(make)
    with pytest.raises(ValueError, match=fault):
        Policy(make(), 1)


def test_queues_everywhere_do_not_stretch_the_patience_past_a_part_of_the_aim() -> None:
    d = Dispatcher(workers=1)
    view = d.policy.workers["w0"]
    d.policy.estimates.min_start_delay_ms[True] = 10_000.0
    request, _ = d.ask(VIEW)
    d.wait(BASE.classes[VIEW].latency_objective_ms / 2)
    assert view.consecutive_overloads == 1 and view.concurrency_limit == 0.0


def test_prompt_starts_are_learned_from_a_low_quantile() -> None:
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


def test_a_worker_that_fails_a_class_gets_trials_of_it_only() -> None:
    # Guards against a worker that fails fast: it has free slots all the time and would draw most of the work.
    d, sent, well = reporting(), list[str](), True
    for _ in range(40):
        request, done = d.ask(ORDER)
        (worker,) = sends(done)
        sent.append(worker)
        ill = worker == sent[0]
        d.end(request, worker, api.Outcome.ERROR if ill else api.Outcome.OK, closed=True)
        d.wait(50)
    assert sent.count(sent[0]) <= 6
    for _ in range(200):  # it is well again: views show that it lives, then the trials that it is well
        request, done = d.ask(VIEW)
        d.end(request, sends(done)[0])
        request, done = d.ask(ORDER)
        (worker,) = sends(done)
        well = worker == sent[0]
        d.end(request, worker)
        d.wait(50)
    assert well


def test_errors_that_all_workers_answer_leave_no_worker_out() -> None:
    # Guards against requests that are at fault themselves: they must not empty the blocks.
    d = reporting()
    for _ in range(60):
        request, done = d.ask(ORDER)
        for worker in sends(done):
            d.end(request, worker, api.Outcome.ERROR, closed=True)
        d.wait(300)
    assert len(sends(d.log)) >= 40


def test_a_worker_far_slower_than_its_peers_comes_last() -> None:
    d, sent = reporting(), list[str]()
    for _ in range(30):
        request, done = d.ask(VIEW)
        sent += sends(done)
        d.wait(1500 if sent[-1] == sent[0] else 250)
        d.end(request, sent[-1])
    assert d.policy.workers[sent[0]].slowness > 1.5 and sent[-20:].count(sent[0]) <= 1
    assert sum(sends(d.ask(VIEW)[1]) == sent[:1] for _ in range(8)) <= 1


def test_a_worker_whose_jobs_do_not_end_counts_as_slow() -> None:
    # Guards against a hung worker: no job ends on it, so that no end could tell.
    d = reporting(3)
    for _ in range(4):
        assert sends(d.ask(ORDER)[1])
    hung = next(view for view in d.policy.workers.values() if view.attempt_count == 4)
    d.wait(3000)
    assert hung.slowness > 2.5
    assert hung.entry.worker not in sends(d.ask(ORDER)[1])


def with_slots(slots: float) -> Dispatcher:
    """One worker that has reported so many free slots."""
    d = Dispatcher(settings(reports_attempt_start=False, report_fields=frozenset({"free_slots"})), workers=1)
    first, actions = d.ask(VIEW)
    d.feed(api.AttemptEnded(first, 0, sends(actions)[0], api.Outcome.OK, 1.0, True, {"free_slots": slots}))
    return d


def test_an_aged_request_goes_before_dearer_ones() -> None:
    d = with_slots(1.0)
    out, actions = d.ask(VIEW)
    assert sends(actions) == ["w0"]
    dear = [d.ask(ORDER)[0] for _ in range(3)]
    aged, actions = d.ask(VIEW, aged=True)
    assert not sends(actions)
    sent = [a.request for a in d.end(out, "w0") if isinstance(a, api.Send)]
    assert sent == [aged]
    assert [a.request for a in d.end(aged, "w0") if isinstance(a, api.Send)] == [dear[0]]


@pytest.mark.parametrize("aged", [False, True])
def test_a_worker_runs_empty_for_an_aged_request_of_several_slots(aged: bool) -> None:
    # Guards against a stream of small jobs that takes each slot as it frees: a large one would never fit.
    d = with_slots(2.0)
    small = [d.ask(VIEW, deadline_ms=60_000.0)[0] for _ in range(8)]
    large, _ = d.ask(VIEW, slots=2.0, aged=aged, deadline_ms=60_000.0)
    sent: list[int] = []
    for number in small[:4]:
        actions = d.end(number, "w0") + d.wait(30.0)
        sent += [a.request for a in actions if isinstance(a, api.Send)]
        if large in sent:
            break
    assert (large in sent) == aged
    if aged:  # and then the stream goes on
        assert sent == [large]
        actions = d.end(large, "w0") + d.wait(30.0)
        assert [a.request for a in actions if isinstance(a, api.Send)] == small[3:5]  # one waited there


def test_some_jobs_wait_at_a_worker_and_none_more_than_half_an_aim() -> None:
    # Guards against cores that stand idle until word of a free slot comes, half a second late and more.
    d = with_slots(8.0)
    for _ in range(30):
        d.ask(VIEW)
    waiting = 8 * BASE.classes[VIEW].latency_objective_ms / 2 // d.policy.estimates.run_ms[VIEW]
    assert d.policy.workers["w0"].attempt_count == 8 + waiting > 8


def test_an_older_timer_does_what_is_due_when_it_overtakes_a_newer_one() -> None:
    # Guards against a deadline that passes after a long turn of the loop, in which timers came out of order.
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


def test_an_order_goes_where_a_job_ended_well_lately_and_a_view_tries_the_others() -> None:
    # Guards orders against workers that have turned bad unmet: an error ends one for good, while a view can
    # go on elsewhere. Each of many dispatchers would lose an order to find it out.
    d = reporting(2)
    first = sends(d.ask(VIEW)[1])[0]
    other = next(name for name in d.policy.workers if name != first)
    d.end(d.last, first)
    assert sends(d.ask(ORDER)[1]) == [first]
    d.end(d.last, first)
    d.wait(2000)
    d.policy.workers[other].last_success_ms = d.now
    assert sends(d.ask(ORDER)[1]) == [other]
    assert sends(d.ask(VIEW)[1]) == [first]
    d.policy.workers[other].last_success_ms = 0.0
    assert sends(d.ask(ORDER)[1]) == [first]


def test_a_worker_that_is_put_back_is_not_held_to_what_was_before() -> None:
    # Guards a runner that was left out for a moment: with little traffic nothing would try it out again.
    d = Dispatcher(workers=1)
    for _ in range(4):
        number, actions = d.ask(ORDER)
        if sends(actions):
            d.end(number, "w0", api.Outcome.RESET)
    assert d.policy.workers["w0"].consecutive_overloads and not sends(d.ask(ORDER)[1])
    d.listed(entry("w0", state=api.WorkerState.DRAINING), kind=api.ListKind.CHANGES)
    d.listed(entry("w0"), kind=api.ListKind.CHANGES)
    assert sends(d.ask(ORDER)[1]) == ["w0"] or d.policy.workers["w0"].attempt_count == 1


def test_a_worker_that_operators_put_back_is_used_soon_though_it_is_cold() -> None:
    # Guards against a cold worker that stands last: with little traffic the others take all.
    d = Dispatcher(
        settings(slow_start_initial_share=0.1, slow_start_ms=24_000, overload_factor=3.0), workers=3
    )
    d.policy.estimates.kind_slots[0] = 8.0
    for name in ("w0", "w1", "w2"):  # wherever it stands on the ring
        d.listed(entry(name, state=api.WorkerState.DRAINING), kind=api.ListKind.CHANGES)
        d.wait(2100)
        back = entry(name, started_ms=d.now - 500, reinstated=True)
        d.listed(back, kind=api.ListKind.CHANGES)
        d.listed(entry(name, started_ms=d.now - 500), kind=api.ListKind.CHANGES)  # the list says it again
        used = []
        for _ in range(40):
            number, actions = d.ask(VIEW)
            for worker in sends(actions):
                used.append(worker)
                d.start(number, worker)
                d.end(number, worker)
            d.wait(100)
        assert name in used


def test_what_a_tenant_sends_beyond_its_share_goes_last_and_so_does_a_caller_without_one() -> None:
    tenants = (api.Tenant("one", 0.5), api.Tenant("two", 100.0))
    d = Dispatcher(settings(tenants=tenants, over_quota_weight_factor=0.2), workers=1)
    d.ask(ORDER, tenant=1)
    for tenant in (0, 0, 2, 1):
        d.ask(VIEW, tenant=tenant)
    queue = d.policy.queue
    over = {key.is_over_quota: [r.arrival.tenant for r in queue.heads(key, 9)] for key in queue.keys}
    assert over == {False: [0, 1], True: [0, 2]}
