"""The waiting room against a model that takes random steps, and the hard cases one by one."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from grebestack.job_queue import interface as api
from grebestack.job_queue.interface import Condition, Dependency, EndCause, JobSpec, JobStage
from grebestack.job_queue.job_queue import JobQueue

WANTED = 1000.0


class Driver:
    """Feeds a room and notes what it decides; released jobs stay out until the test says more."""

    def __init__(self, **changes: Any) -> None:
        self.room = JobQueue(api.JobQueueSettings(**({"class_count": 2, "lookahead": 3} | changes)))
        self.now = 1000.0
        self.released: list[tuple[str, bool]] = []
        self.out: dict[str, bool] = {}  # released and not back: aged or not
        self.ended: dict[str, api.EndJob] = {}
        self.withdrawn: list[str] = []
        self.wakes: list[float] = []
        self.ready: list[str] = []
        self.longest_s = 0.0

    def feed(self, event: api.Event) -> None:
        began = time.perf_counter()
        actions = self.room.handle(self.now, event)
        self.longest_s = max(self.longest_s, time.perf_counter() - began)
        for action in actions:
            match action:
                case api.ReleaseJob(job, aged):
                    assert job not in self.out, "released twice"
                    self.released.append((job, aged))
                    self.out[job] = aged
                case api.EndJob(job):
                    assert job not in self.ended, "ended twice"
                    assert job not in self.out, "the engine ends what it has"
                    self.ended[job] = action
                case api.WithdrawJob(job):
                    self.withdrawn.append(job)
                case api.RecordReadyTime(job):
                    self.ready.append(job)
                case api.ScheduleTick(at):
                    self.wakes.append(at)
        while self.withdrawn:
            self.back(self.withdrawn.pop())

    def submit(self, *specs: JobSpec, **more: Any) -> None:
        self.feed(api.JobsSubmitted(specs, **more))

    def back(self, job: str, pause: float = 0.0) -> None:
        if self.out.pop(job, None) is not None:
            self.feed(api.JobReturned(job, pause))

    def end(self, job: str, done: bool = True) -> None:
        self.out.pop(job, None)
        self.feed(api.JobEnded(job, done))

    def go_on(self, ms: float) -> None:
        """Time passes; the room is woken when it asked to be."""
        until = self.now + ms
        for _ in range(100_000):
            due = [at for at in self.wakes if at <= until]
            if not due:
                break
            self.now = max(self.now, min(due))
            self.wakes = [at for at in self.wakes if at > self.now]
            self.feed(api.Tick())
        else:
            raise AssertionError("the room asks for ticks without end")
        self.now = until


def job(name: str, *after: str, on: Condition = Condition.DONE, **more: Any) -> JobSpec:
    edges = tuple(Dependency(other, on) for other in after)
    fields: dict[str, Any] = {"job_class": 0, "latency_objective_ms": WANTED, "dependencies": edges} | more
    return JobSpec(name, **fields)


def names(released: Iterable[tuple[str, bool]]) -> list[str]:
    return [name for name, _ in released]


@pytest.mark.parametrize("shape", ["chain", "fan"])
@pytest.mark.parametrize("done", [True, False])
def test_ten_thousand_dependants_each_get_one_end_in_short_steps(shape: str, done: bool) -> None:
    d, count = Driver(lookahead=20_000), 10_000
    before = [f"j{n - 1}" if shape == "chain" else "j0" for n in range(count)]
    for n in range(0, count, 100):  # a submission is short too
        part = range(n, n + 100)
        d.submit(*(job(f"j{k}", *([before[k]] if k else []), on=Condition.DONE) for k in part))
    d.go_on(1.0)
    assert names(d.released) == ["j0"]
    d.longest_s = 0.0
    d.end("j0", done)
    d.go_on(1.0)
    if not done:
        assert len(d.ended) == count - 1 and not d.room.graph.nodes
        assert {end.cause for end in d.ended.values()} == {EndCause.DEPENDENCY}
        assert d.ended["j9999"].root_job == "j0"
        assert d.ended["j9999"].dependency == ("j9998" if shape == "chain" else "j0")
    elif shape == "fan":
        assert len(d.out) == count - 1
    else:
        for n in range(1, count):
            d.end(f"j{n}")
        assert len(d.released) == count
    assert len(d.room.graph.nodes) == len(d.out)


def test_a_start_time_that_rounding_puts_after_its_tick_is_reached() -> None:
    chance = random.Random(3)
    found = 0
    while found < 20:
        offset, start = chance.choice([-7_200_000.0, -1000.0, 1e9]), chance.uniform(1.0, 2500.0)
        if (start - offset) + offset >= start:
            continue
        found += 1
        d = Driver()
        d.now = start - offset - 1.0
        d.feed(api.WallClockOffset(offset))
        d.submit(job("a", start_unix_ms=start))
        d.go_on(2.0)
        assert names(d.released) == ["a"]


def test_a_submission_is_taken_whole_or_not_at_all() -> None:
    d = Driver(max_jobs=4, max_dependencies=2)
    d.submit(job("old"))
    for specs, word in (
        (
            [job("a", "b"), job("b", "c"), job("c", "a")],
            "(a -> b -> c -> a)|(b -> c -> a -> b)|(c -> a -> b -> c)",
        ),
        ([job("a"), job("b", "nobody")], "unknown job nobody"),
        ([job("a"), job("b", "a", "a", "old")], "waits for 3 jobs, 2 are allowed"),
        ([job("a"), job("a")], "there already"),
        ([job("a"), job("old")], "there already"),
        ([job(f"n{n}") for n in range(4)], "no more than 4 jobs"),
        ([job("a", start_unix_ms=9e6), job("b", "a", deadline_unix_ms=8e6)], "can't begin before its"),
    ):
        with pytest.raises(api.SubmissionError, match=word):
            d.submit(*specs)
        assert list(d.room.graph.nodes) == ["old"]


@pytest.mark.parametrize(
    ("any_of", "on", "ends", "goes"),
    [
        (False, Condition.DONE, [True, True], True),
        (False, Condition.DONE, [True, False], False),
        (False, Condition.ENDED, [True, False], True),
        (False, Condition.FAILED, [False, False], True),
        (True, Condition.DONE, [False, True], True),
        (True, Condition.DONE, [False, False], False),
        (True, Condition.FAILED, [True, True], False),
    ],
)
@pytest.mark.parametrize("before", [True, False])
def test_conditions(any_of: bool, on: Condition, ends: list[bool], goes: bool, before: bool) -> None:
    d = Driver()
    if before:  # they have ended before the job comes
        edges = tuple(Dependency(f"p{n}", on, done) for n, done in enumerate(ends))
        d.submit(JobSpec("x", 0, WANTED, edges, any_of))
    else:
        d.submit(job("p0", job_class=1), job("p1", job_class=1))
        d.submit(job("x", "p0", "p1", on=on, any_of=any_of))
        assert "x" not in d.out
        for n, done in enumerate(ends):
            d.end(f"p{n}", done)
    assert ("x" in d.out) == goes
    assert ("x" in d.ended) != goes


def test_an_hour_comes_once_however_the_wall_clock_is_set() -> None:
    d, hour = Driver(), 3_600_000.0
    d.feed(api.WallClockOffset(50 * hour))
    d.submit(job("soon", start_unix_ms=50 * hour + 5000), job("later", start_unix_ms=52 * hour))
    d.go_on(1000.0)
    d.feed(api.WallClockOffset(48 * hour))  # set back by two hours
    d.go_on(hour)
    assert not d.released
    d.feed(api.WallClockOffset(50 * hour))  # and forth again
    assert names(d.released) == ["soon"]
    d.feed(api.WallClockOffset(48 * hour))
    d.back("soon")
    d.go_on(1.0)
    assert names(d.released) == ["soon", "soon"]  # its hour has come, whatever the clock says now
    d.feed(api.WallClockOffset(53 * hour))
    assert "later" in d.out


def test_what_falls_due_during_a_drain_keeps_its_place_and_comes_paced() -> None:
    d = Driver()
    d.feed(api.ClassAvailabilityChanged(0, False))
    d.submit(*(job(f"t{n}", start_unix_ms=2000.0 + n) for n in range(20)))
    d.go_on(5000.0)
    d.submit(*(job(f"young{n}") for n in range(5)))
    assert not d.released
    d.feed(api.ClassAvailabilityChanged(0, True))
    assert names(d.released) == ["t0", "t1", "t2", "young0", "young1", "young2"]  # as many of each kind
    assert [aged for _, aged in d.released] == [True] * 3 + [False] * 3
    d.feed(api.JobSent("t0"))
    assert d.released[-1] == ("t3", True)


def test_a_hold_takes_a_job_back_and_its_age_begins_anew() -> None:
    d = Driver()
    d.submit(job("x"), job("y", "x"), job("z", held=True))
    d.feed(api.HoldChanged("x", True))
    assert "x" not in d.out and d.room.wait_status("x").held
    d.go_on(10 * WANTED)
    d.feed(api.HoldChanged("x", False))
    assert d.released[-1] == ("x", False)
    d.feed(api.JobSent("x"))
    d.feed(api.HoldChanged("x", True))  # too late: it may run
    assert not d.room.is_held("x")
    d.feed(api.TerminationRequested("z"))
    assert d.ended["z"].cause is EndCause.TERMINATED
    d.end("x", False)
    assert d.ended["y"].dependency == "x"


def test_an_aged_job_is_withdrawn_and_goes_before_the_others() -> None:
    d = Driver(lookahead=1)
    d.submit(job("a"))
    d.go_on(1.0)
    d.submit(job("b"))
    assert d.released == [("a", False)]
    d.go_on(WANTED / 2 + 1)
    # b's time has come too: the one that stood first is in, the other is the next.
    assert d.released[1:] == [("a", True), ("b", False)]
    assert set(d.out) == {"a"}
    d.feed(api.JobSent("a"))
    assert d.released[3:] == [("b", True)]


def test_a_pause_does_not_outlast_a_deadline_or_what_is_left_of_the_wanted_time() -> None:
    d = Driver()
    d.submit(job("x", deadline_unix_ms=d.now + 3000.0), job("y"))
    d.back("y", 60_000.0)
    d.go_on(WANTED / 2 + 1)
    assert d.released.count(("y", True)) == 1
    d.back("x", 1e9)  # aged by now: what it is advised does not keep it out
    d.go_on(WANTED)
    assert d.released.count(("x", True)) >= 1
    d.back("x")
    d.go_on(2900.0)
    d.back("x", 400.0)
    d.go_on(1000.0)
    assert d.ended["x"].cause in (EndCause.OVERDUE, EndCause.TOO_LATE)


@pytest.mark.parametrize("failed", [0, 3])
def test_a_group_has_so_many_out_at_a_time_and_ends_with_its_last(failed: int) -> None:
    d = Driver(lookahead=10)
    d.feed(api.BatchAdded("g", 2))
    d.submit(*(job(f"g{n}", batch="g") for n in range(5)), unrecorded_batch="g")
    d.submit(job("other"), job("all", "g"), job("one failed", "g", on=Condition.FAILED))
    d.feed(api.BatchRecorded("g"))
    assert names(d.released) == ["other", "g0", "g1"]
    d.feed(api.JobSent("g0"))
    assert len(d.out) == 3
    d.end("g0")
    assert d.released[-1][0] == "g2"
    d.go_on(5 * WANTED)
    assert len(d.out) == 3
    assert d.room.wait_status("all").waiting_for == ("g",)
    for n in range(1, 5):
        d.end(f"g{n}", failed != n)
    assert not d.room.batches
    went, ended = ("one failed", "all") if failed else ("all", "one failed")
    assert d.released[-1][0] == went and d.ended[ended].cause is EndCause.DEPENDENCY
    assert d.ended[ended].dependency == "g" and d.ended[ended].root_job == (f"g{failed}" if failed else "g")


def test_an_intake_waits_until_all_of_it_is_recorded_and_can_be_dropped() -> None:
    d = Driver()
    d.submit(job("a"), job("b", deadline_unix_ms=d.now + 10.0), unrecorded_batch="i")
    d.submit(job("c"), unrecorded_batch="k")
    d.go_on(20.0)
    assert not d.released and list(d.ended) == ["b"]
    d.feed(api.BatchRecorded("i"))
    d.feed(api.BatchDiscarded("k"))
    assert names(d.released) == ["a"] and list(d.room.graph.nodes) == ["a"]


def test_a_job_of_before_a_restart_keeps_its_age() -> None:
    d = Driver(lookahead=1)
    d.submit(job("fresh", age_ms=10.0), job("old", age_ms=400.0), job("aged", age_ms=600.0), restored=True)
    d.submit(job("ran", sent=True, batch="g"), restored=True)
    d.submit(job("next", "ran"))
    assert d.released == [("aged", True), ("old", False)] or d.released == [("aged", True), ("fresh", False)]
    assert not d.ready
    d.end("ran")
    assert d.ready == ["next"]


class Model(RuleBasedStateMachine):
    """Random graphs, hours, holds, ends, refusals and restarts.

    One end a job; none released before its hour, its jobs' ends or under a hold, nor twice at once; none
    forgotten; of two ready jobs of a lane and an age the one that stood first goes first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.d = Driver(lookahead=2, max_steps_per_event=3)
        self.specs: dict[str, JobSpec] = {}
        self.done: dict[str, bool] = {}
        self.holds: set[str] = set()
        self.sent: set[str] = set()
        self.begun: set[str] = set()  # their hour has come
        self.lanes = [True, True]
        self.checked = 0
        self.d.feed(api.WallClockOffset(0.0))
        self.offset = 0.0

    def settle(self) -> None:
        """Take over what the room has decided."""
        for name, spec in self.specs.items():
            if spec.start_unix_ms is None or spec.start_unix_ms <= self.d.now + self.offset:
                self.begun.add(name)
        for name in self.d.ended:
            self.done.setdefault(name, False)
        for name, _ in self.d.released[self.checked :]:
            self.check_release(name)
        self.checked = len(self.d.released)

    def check_release(self, name: str) -> None:
        spec = self.specs[name]
        assert name not in self.done and name not in self.sent and name not in self.holds
        assert name in self.begun
        if spec.dependencies:
            kept = [
                self.done[edge.job] is not None and edge.condition.is_met(self.done[edge.job])
                if edge.job in self.done
                else False
                for edge in spec.dependencies
            ]
            assert any(kept) if spec.any_of else all(kept)

    @rule(
        count=st.integers(1, 4),
        links=st.lists(st.integers(0, 30), max_size=6),
        any_of=st.booleans(),
        start=st.one_of(st.none(), st.integers(-500, 3000)),
        deadline=st.one_of(st.none(), st.integers(3500, 9000)),
        held=st.booleans(),
        on=st.sampled_from(Condition),
        job_class=st.integers(0, 1),
        direct=st.booleans(),
    )
    def submit(
        self,
        count: int,
        links: list[int],
        any_of: bool,
        start: int | None,
        deadline: int | None,
        held: bool,
        on: Condition,
        job_class: int,
        direct: bool,
    ) -> None:
        unix = self.d.now + self.offset
        batch: list[JobSpec] = []
        known = list(self.specs)
        for n in range(count):
            name = f"j{len(self.specs) + n}"
            targets = dict.fromkeys(
                (known + [s.job for s in batch])[k % (len(known) + n)] for k in links if known or n
            )
            edges = tuple(Dependency(t, on, self.done.get(t)) for t in targets)
            batch.append(
                JobSpec(
                    name,
                    job_class,
                    WANTED,
                    edges,
                    any_of,
                    None if start is None else unix + start,
                    None if deadline is None else unix + deadline,
                    held and n == 0,
                    direct and not edges,
                )
            )
        try:
            self.d.submit(*reversed(batch))
        except api.SubmissionError as error:
            assert "deadline" in str(error)
            return
        self.specs |= {spec.job: spec for spec in batch}
        self.holds |= {spec.job for spec in batch if spec.held}
        self.settle()

    def pick(self, names: Iterable[str], number: int) -> str:
        ordered = sorted(names)
        return ordered[number % len(ordered)]

    @precondition(lambda self: self.d.out)
    @rule(number=st.integers(0, 99), pause=st.integers(0, 2000))
    def refuse(self, number: int, pause: int) -> None:
        name = self.pick(self.d.out, number)
        self.sent.discard(name)
        self.d.back(name, pause)
        self.settle()

    @precondition(lambda self: bool(set(self.d.out) - self.sent))
    @rule(number=st.integers(0, 99))
    def send(self, number: int) -> None:
        name = self.pick(set(self.d.out) - self.sent, number)
        self.sent.add(name)
        self.d.feed(api.JobSent(name))
        self.settle()

    @precondition(lambda self: self.d.out)
    @rule(number=st.integers(0, 99), done=st.booleans())
    def end(self, number: int, done: bool) -> None:
        name = self.pick(self.d.out, number)
        self.done[name] = done
        self.sent.discard(name)
        self.d.end(name, done)
        self.settle()

    @precondition(lambda self: bool(set(self.specs) - set(self.done)))
    @rule(number=st.integers(0, 99), on=st.booleans())
    def hold(self, number: int, on: bool) -> None:
        name = self.pick(set(self.specs) - set(self.done), number)
        if name in self.sent:
            return
        (self.holds.add if on else self.holds.discard)(name)
        self.d.feed(api.HoldChanged(name, on))
        self.settle()

    @precondition(lambda self: bool(set(self.specs) - set(self.done) - set(self.d.out)))
    @rule(number=st.integers(0, 99))
    def terminate(self, number: int) -> None:
        name = self.pick(set(self.specs) - set(self.done) - set(self.d.out), number)
        self.d.feed(api.TerminationRequested(name))
        assert self.d.ended[name].cause is EndCause.TERMINATED
        self.settle()

    @rule(job_class=st.integers(0, 1), on=st.booleans())
    def set_class_availability(self, job_class: int, on: bool) -> None:
        self.lanes[job_class] = on
        self.d.feed(api.ClassAvailabilityChanged(job_class, on))
        self.settle()

    @rule(ms=st.integers(1, 2500))
    def go_on(self, ms: int) -> None:
        for _ in range(ms // 100 + 1):  # in steps, so that what is released is checked near its time
            self.d.go_on(ms / (ms // 100 + 1))
            self.settle()

    @rule(step=st.sampled_from([-7_200_000, -1000, 1000, 7_200_000]))
    def set_wall_clock(self, step: int) -> None:
        self.offset += step
        self.settle()
        self.d.feed(api.WallClockOffset(self.offset))
        self.settle()

    @rule()
    def restart(self) -> None:
        """All that is not durable is gone: the room is made anew from the records."""
        self.d.go_on(1.0)
        self.settle()
        ages = {}
        for name in set(self.specs) - set(self.done):
            node = self.d.room.graph.nodes[name]
            ages[name] = self.d.now - node.ready_ms if node.ready_ms < float("inf") else None
        former, self.d = self.d, Driver(lookahead=2, max_steps_per_event=3)
        self.d.now = former.now
        self.d.out = {name: True for name in self.sent}
        self.d.feed(api.WallClockOffset(self.offset))
        for job_class, on in enumerate(self.lanes):
            self.d.feed(api.ClassAvailabilityChanged(job_class, on))
        specs = []
        for name in ages:
            s = self.specs[name]
            edges = tuple(Dependency(e.job, e.condition, self.done.get(e.job)) for e in s.dependencies)
            specs.append(
                JobSpec(
                    name,
                    s.job_class,
                    s.latency_objective_ms,
                    edges,
                    s.any_of,
                    s.start_unix_ms,
                    s.deadline_unix_ms,
                    name in self.holds,
                    s.direct,
                    s.batch,
                    ages[name],
                    name in self.sent,
                )
            )
        self.checked = 0
        self.d.submit(*specs, restored=True)
        self.settle()

    @invariant()
    def none_is_forgotten(self) -> None:
        nodes = self.d.room.graph.nodes
        assert set(nodes) == set(self.specs) - set(self.done)
        assert self.d.room.stage_counts == [
            sum(n.stage is stage for n in nodes.values()) for stage in JobStage
        ]
        for name in self.d.out:
            assert nodes[name].stage is (JobStage.SENT if name in self.sent else JobStage.RELEASED)

    @invariant()
    def lanes_are_let_in_in_order_and_kept_full(self) -> None:
        room = self.d.room
        if room.asked_ms <= self.d.now:
            return  # it has asked for a tick to go on with
        for job_class in room.class_queues:
            for aged in (0, 1):
                unsent = [
                    n
                    for n in room.graph.nodes.values()
                    if n.stage is JobStage.RELEASED
                    and not n.direct
                    and room.class_queues[n.job_class] is job_class
                    and n.aged == bool(aged)
                ]
                assert len(unsent) == job_class.unsent[aged] <= 2
                assert not job_class.open or job_class.unsent[aged] == 2 or not job_class.ready[aged]

    def teardown(self) -> None:
        """With all holds and drains lifted each job comes to its end."""
        for job_class in (0, 1):
            self.d.feed(api.ClassAvailabilityChanged(job_class, True))
        for name in sorted(self.holds - set(self.done)):
            self.d.feed(api.HoldChanged(name, False))
            self.holds.discard(name)
        self.settle()
        self.offset += 1e9
        for _ in range(len(self.specs) + 5):
            for name in sorted(self.d.out):
                self.done[name] = True
                self.d.end(name)
                self.settle()
            self.offset += 10_000.0
            self.d.feed(api.WallClockOffset(self.offset))
            self.d.go_on(10_000.0)
            self.settle()
        assert set(self.done) == set(self.specs) and not self.d.room.graph.nodes
        assert self.d.room.stage_counts == [0] * len(JobStage)
        room = self.d.room
        for queue in (room.timed, room.deadlines, room.paused, room.ripening):
            assert not queue
        super().teardown()


TestModel = Model.TestCase
TestModel.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
