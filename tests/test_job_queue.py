"""The job queue: special cases one by one, and a model that takes random steps."""

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

OBJECTIVE_MS = 1000.0


class QueueDriver:
    """Passes events to a job queue and collects its decisions; released jobs stay in a simulated engine."""

    def __init__(self, **changes: Any) -> None:
        self.queue = JobQueue(api.JobQueueSettings(**({"class_count": 2, "lookahead": 3} | changes)))
        self.now_ms = 1000.0
        self.released: list[tuple[str, bool]] = []
        self.in_engine: dict[str, bool] = {}  # released and not returned or ended: whether as aged
        self.ended: dict[str, api.EndJob] = {}
        self.withdrawn: list[str] = []
        self.scheduled_ticks: list[float] = []
        self.became_ready: list[str] = []
        self.longest_s = 0.0

    def handle(self, event: api.Event) -> None:
        began = time.perf_counter()
        actions = self.queue.handle(self.now_ms, event)
        self.longest_s = max(self.longest_s, time.perf_counter() - began)
        for action in actions:
            match action:
                case api.ReleaseJob(job, aged):
                    assert job not in self.in_engine, "released twice"
                    self.released.append((job, aged))
                    self.in_engine[job] = aged
                case api.EndJob(job):
                    assert job not in self.ended, "ended twice"
                    assert job not in self.in_engine, "the engine ends what it has"
                    self.ended[job] = action
                case api.WithdrawJob(job):
                    self.withdrawn.append(job)
                case api.RecordReadyTime(job):
                    self.became_ready.append(job)
                case api.ScheduleTick(at):
                    self.scheduled_ticks.append(at)
        while self.withdrawn:
            self.return_job(self.withdrawn.pop())

    def submit(self, *specs: JobSpec, **options: Any) -> None:
        self.handle(api.JobsSubmitted(specs, **options))

    def return_job(self, job: str, pause: float = 0.0) -> None:
        if self.in_engine.pop(job, None) is not None:
            self.handle(api.JobReturned(job, pause))

    def end(self, job: str, done: bool = True) -> None:
        self.in_engine.pop(job, None)
        self.handle(api.JobEnded(job, done))

    def advance(self, duration_ms: float) -> None:
        """Let time pass, with a tick at each time that the queue has scheduled."""
        until = self.now_ms + duration_ms
        for _ in range(100_000):
            due = [at for at in self.scheduled_ticks if at <= until]
            if not due:
                break
            self.now_ms = max(self.now_ms, min(due))
            self.scheduled_ticks = [at for at in self.scheduled_ticks if at > self.now_ms]
            self.handle(api.Tick())
        else:
            raise AssertionError("the queue schedules ticks without end")
        self.now_ms = until


def job(name: str, *after: str, condition: Condition = Condition.DONE, **options: Any) -> JobSpec:
    dependencies = tuple(Dependency(other, condition) for other in after)
    fields: dict[str, Any] = {
        "job_class": 0,
        "latency_objective_ms": OBJECTIVE_MS,
        "dependencies": dependencies,
    } | options
    return JobSpec(name, **fields)


def names(released: Iterable[tuple[str, bool]]) -> list[str]:
    return [name for name, _ in released]


@pytest.mark.parametrize("shape", ["chain", "fan"])
@pytest.mark.parametrize("done", [True, False])
def test_ten_thousand_dependants_each_get_one_end_in_short_steps(shape: str, done: bool) -> None:
    driver, count = QueueDriver(lookahead=20_000), 10_000
    parents = [f"j{n - 1}" if shape == "chain" else "j0" for n in range(count)]
    for n in range(0, count, 100):  # small submissions, so that each of them is a short step too
        part = range(n, n + 100)
        driver.submit(*(job(f"j{k}", *([parents[k]] if k else []), condition=Condition.DONE) for k in part))
    driver.advance(1.0)
    assert names(driver.released) == ["j0"]
    driver.longest_s = 0.0
    driver.end("j0", done)
    driver.advance(1.0)
    if not done:
        assert len(driver.ended) == count - 1 and not driver.queue.graph.nodes
        assert {end.cause for end in driver.ended.values()} == {EndCause.DEPENDENCY}
        assert driver.ended["j9999"].root_job == "j0"
        assert driver.ended["j9999"].dependency == ("j9998" if shape == "chain" else "j0")
    elif shape == "fan":
        assert len(driver.in_engine) == count - 1
    else:
        for n in range(1, count):
            driver.end(f"j{n}")
        assert len(driver.released) == count
    assert len(driver.queue.graph.nodes) == len(driver.in_engine)


def test_a_start_time_that_rounding_puts_after_its_tick_is_reached() -> None:
    source = random.Random(3)
    found = 0
    while found < 20:
        offset, start = source.choice([-7_200_000.0, -1000.0, 1e9]), source.uniform(1.0, 2500.0)
        if (start - offset) + offset >= start:
            continue
        found += 1
        driver = QueueDriver()
        driver.now_ms = start - offset - 1.0
        driver.handle(api.WallClockOffset(offset))
        driver.submit(job("a", start_unix_ms=start))
        driver.advance(2.0)
        assert names(driver.released) == ["a"]


def test_a_submission_is_accepted_whole_or_not_at_all() -> None:
    driver = QueueDriver(max_jobs=4, max_dependencies=2)
    driver.submit(job("old"))
    for specs, message in (
        (
            [job("a", "b"), job("b", "c"), job("c", "a")],
            "(a -> b -> c -> a)|(b -> c -> a -> b)|(c -> a -> b -> c)",
        ),
        ([job("a"), job("b", "nobody")], "depends on the unknown job nobody"),
        ([job("a"), job("b", "a", "a", "old")], "has 3 dependencies, the limit is 2"),
        ([job("a"), job("a")], "already exists"),
        ([job("a"), job("old")], "already exists"),
        ([job(f"n{n}") for n in range(4)], "at most 4 jobs"),
        ([job("a", start_unix_ms=9e6), job("b", "a", deadline_unix_ms=8e6)], "can't start before its"),
    ):
        with pytest.raises(api.SubmissionError, match=message):
            driver.submit(*specs)
        assert list(driver.queue.graph.nodes) == ["old"]


@pytest.mark.parametrize(
    ("any_of", "condition", "ends", "released"),
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
@pytest.mark.parametrize("ended_before", [True, False])
def test_conditions(
    any_of: bool, condition: Condition, ends: list[bool], released: bool, ended_before: bool
) -> None:
    driver = QueueDriver()
    if ended_before:  # the dependencies have ended before the job is submitted
        dependencies = tuple(Dependency(f"p{n}", condition, done) for n, done in enumerate(ends))
        driver.submit(JobSpec("x", 0, OBJECTIVE_MS, dependencies, any_of))
    else:
        driver.submit(job("p0", job_class=1), job("p1", job_class=1))
        driver.submit(job("x", "p0", "p1", condition=condition, any_of=any_of))
        assert "x" not in driver.in_engine
        for n, done in enumerate(ends):
            driver.end(f"p{n}", done)
    assert ("x" in driver.in_engine) == released
    assert ("x" in driver.ended) != released


def test_a_start_time_is_reached_once_however_the_wall_clock_is_set() -> None:
    driver, hour = QueueDriver(), 3_600_000.0
    driver.handle(api.WallClockOffset(50 * hour))
    driver.submit(job("soon", start_unix_ms=50 * hour + 5000), job("later", start_unix_ms=52 * hour))
    driver.advance(1000.0)
    driver.handle(api.WallClockOffset(48 * hour))  # set back by two hours
    driver.advance(hour)
    assert not driver.released
    driver.handle(api.WallClockOffset(50 * hour))  # set forward again
    assert names(driver.released) == ["soon"]
    driver.handle(api.WallClockOffset(48 * hour))
    driver.return_job("soon")
    driver.advance(1.0)
    assert names(driver.released) == [
        "soon",
        "soon",
    ]  # its start time was reached, whatever the clock shows now
    driver.handle(api.WallClockOffset(53 * hour))
    assert "later" in driver.in_engine


def test_jobs_that_become_ready_during_a_drain_keep_their_places_and_are_released_by_portions() -> None:
    driver = QueueDriver()
    driver.handle(api.ClassAvailabilityChanged(0, False))
    driver.submit(*(job(f"t{n}", start_unix_ms=2000.0 + n) for n in range(20)))
    driver.advance(5000.0)
    driver.submit(*(job(f"young{n}") for n in range(5)))
    assert not driver.released
    driver.handle(api.ClassAvailabilityChanged(0, True))
    assert names(driver.released) == [
        "t0",
        "t1",
        "t2",
        "young0",
        "young1",
        "young2",
    ]  # `lookahead` of each kind
    assert [aged for _, aged in driver.released] == [True] * 3 + [False] * 3
    driver.handle(api.JobSent("t0"))
    assert driver.released[-1] == ("t3", True)


def test_a_hold_withdraws_a_job_and_resets_its_age() -> None:
    driver = QueueDriver()
    driver.submit(job("x"), job("y", "x"), job("z", held=True))
    driver.handle(api.HoldChanged("x", True))
    assert "x" not in driver.in_engine and driver.queue.wait_status("x").held
    driver.advance(10 * OBJECTIVE_MS)
    driver.handle(api.HoldChanged("x", False))
    assert driver.released[-1] == ("x", False)
    driver.handle(api.JobSent("x"))
    driver.handle(api.HoldChanged("x", True))  # too late: it may run
    assert not driver.queue.is_held("x")
    driver.handle(api.TerminationRequested("z"))
    assert driver.ended["z"].cause is EndCause.TERMINATED
    driver.end("x", False)
    assert driver.ended["y"].dependency == "x"


def test_a_job_that_is_held_while_it_is_let_in_ends_at_its_deadline() -> None:
    # Guards against a held job that outlives its deadline, which its release had taken out of the list.
    driver = QueueDriver()
    driver.submit(job("x", deadline_unix_ms=driver.now_ms + 3000.0))
    assert "x" in driver.in_engine
    driver.handle(api.HoldChanged("x", True))
    assert "x" not in driver.in_engine and driver.queue.is_held("x")
    driver.advance(3100.0)
    assert driver.ended["x"].cause is EndCause.OVERDUE


def test_an_aged_job_is_withdrawn_and_released_before_the_others() -> None:
    driver = QueueDriver(lookahead=1)
    driver.submit(job("a"))
    driver.advance(1.0)
    driver.submit(job("b"))
    assert driver.released == [("a", False)]
    driver.advance(OBJECTIVE_MS / 2 + 1)
    # Both are aged now: a, which was ready first, is in the engine, and b is the next.
    assert driver.released[1:] == [("a", True), ("b", False)]
    assert set(driver.in_engine) == {"a"}
    driver.handle(api.JobSent("a"))
    assert driver.released[3:] == [("b", True)]


def test_a_pause_does_not_outlast_the_deadline_or_the_latency_objective() -> None:
    driver = QueueDriver()
    driver.submit(job("x", deadline_unix_ms=driver.now_ms + 3000.0), job("y"))
    driver.return_job("y", 60_000.0)
    driver.advance(OBJECTIVE_MS / 2 + 1)
    assert driver.released.count(("y", True)) == 1
    driver.return_job("x", 1e9)  # aged by now: the advised pause is shortened
    driver.advance(OBJECTIVE_MS)
    assert driver.released.count(("x", True)) >= 1
    driver.return_job("x")
    driver.advance(2900.0)
    driver.return_job("x", 400.0)
    driver.advance(1000.0)
    assert driver.ended["x"].cause in (EndCause.OVERDUE, EndCause.TOO_LATE)


@pytest.mark.parametrize("failed", [0, 3])
def test_a_batch_keeps_to_max_parallel_and_ends_with_its_last_job(failed: int) -> None:
    driver = QueueDriver(lookahead=10)
    driver.handle(api.BatchAdded("g", 2))
    driver.submit(*(job(f"g{n}", batch="g") for n in range(5)), unrecorded_batch="g")
    driver.submit(job("other"), job("all", "g"), job("one failed", "g", condition=Condition.FAILED))
    driver.handle(api.BatchRecorded("g"))
    assert names(driver.released) == ["other", "g0", "g1"]
    driver.handle(api.JobSent("g0"))
    assert len(driver.in_engine) == 3
    driver.end("g0")
    assert driver.released[-1][0] == "g2"
    driver.advance(5 * OBJECTIVE_MS)
    assert len(driver.in_engine) == 3
    assert driver.queue.wait_status("all").waiting_for == ("g",)
    for n in range(1, 5):
        driver.end(f"g{n}", failed != n)
    assert not driver.queue.batches
    released, ended = ("one failed", "all") if failed else ("all", "one failed")
    assert driver.released[-1][0] == released and driver.ended[ended].cause is EndCause.DEPENDENCY
    assert driver.ended[ended].dependency == "g" and driver.ended[ended].root_job == (
        f"g{failed}" if failed else "g"
    )


@pytest.mark.parametrize("max_parallel", [1, 2])
@pytest.mark.parametrize("event", [api.TerminationRequested("g3"), api.HoldChanged("g3", True)])
def test_a_job_that_leaves_the_queue_before_it_is_released_passes_its_slot_on(
    max_parallel: int, event: api.Event
) -> None:
    # Guards against jobs of an array that never start, as the one whose turn it was is cancelled or held.
    driver = QueueDriver(lookahead=10)
    driver.handle(api.BatchAdded("g", max_parallel))
    driver.submit(*(job(f"g{n}", batch="g") for n in range(3 - max_parallel, 6)))
    first = names(driver.released)
    assert len(first) == max_parallel and "g3" not in first
    driver.handle(api.ClassAvailabilityChanged(0, False))
    for name in first:
        driver.handle(api.JobSent(name))
        driver.end(name)
    driver.handle(event)
    driver.handle(api.ClassAvailabilityChanged(0, True))
    driver.advance(1.0)
    while driver.in_engine:
        driver.end(next(iter(driver.in_engine)))
    assert {"g4", "g5"} <= set(names(driver.released)) and "g3" not in names(driver.released)


def test_a_batch_waits_until_it_is_recorded_and_can_be_discarded() -> None:
    driver = QueueDriver()
    driver.submit(job("a"), job("b", deadline_unix_ms=driver.now_ms + 10.0), unrecorded_batch="i")
    driver.submit(job("c"), unrecorded_batch="k")
    driver.advance(20.0)
    assert not driver.released and list(driver.ended) == ["b"]
    driver.handle(api.BatchRecorded("i"))
    driver.handle(api.BatchDiscarded("k"))
    assert names(driver.released) == ["a"] and list(driver.queue.graph.nodes) == ["a"]


def test_a_job_from_before_a_restart_keeps_its_age() -> None:
    driver = QueueDriver(lookahead=1)
    driver.submit(
        job("fresh", age_ms=10.0), job("old", age_ms=400.0), job("aged", age_ms=600.0), restored=True
    )
    driver.submit(job("ran", sent=True, batch="g"), restored=True)
    driver.submit(job("next", "ran"))
    assert driver.released == [("aged", True), ("old", False)] or driver.released == [
        ("aged", True),
        ("fresh", False),
    ]
    assert not driver.became_ready
    driver.end("ran")
    assert driver.became_ready == ["next"]


class Model(RuleBasedStateMachine):
    """Random dependencies, start times, holds, ends, refusals and restarts.

    Checks that each job ends once and none is lost, that none is released before its start time, before its
    dependencies have ended, while it is held or twice at once, and that the class queues keep to `lookahead`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.driver = QueueDriver(lookahead=2, max_steps_per_event=3)
        self.specs: dict[str, JobSpec] = {}
        self.done: dict[str, bool] = {}
        self.holds: set[str] = set()
        self.sent: set[str] = set()
        self.start_reached: set[str] = set()
        self.class_available = [True, True]
        self.checked_releases = 0
        self.driver.handle(api.WallClockOffset(0.0))
        self.wall_clock_offset_ms = 0.0

    def settle(self) -> None:
        """Check and take over the decisions of the queue."""
        for name, spec in self.specs.items():
            if (
                spec.start_unix_ms is None
                or spec.start_unix_ms <= self.driver.now_ms + self.wall_clock_offset_ms
            ):
                self.start_reached.add(name)
        for name in self.driver.ended:
            self.done.setdefault(name, False)
        for name, _ in self.driver.released[self.checked_releases :]:
            self.check_release(name)
        self.checked_releases = len(self.driver.released)

    def check_release(self, name: str) -> None:
        spec = self.specs[name]
        assert name not in self.done and name not in self.sent and name not in self.holds
        assert name in self.start_reached
        if spec.dependencies:
            met = [
                self.done[dependency.job] is not None
                and dependency.condition.is_met(self.done[dependency.job])
                if dependency.job in self.done
                else False
                for dependency in spec.dependencies
            ]
            assert any(met) if spec.any_of else all(met)

    @rule(
        count=st.integers(1, 4),
        dependency_choices=st.lists(st.integers(0, 30), max_size=6),
        any_of=st.booleans(),
        start=st.one_of(st.none(), st.integers(-500, 3000)),
        deadline=st.one_of(st.none(), st.integers(3500, 9000)),
        held=st.booleans(),
        condition=st.sampled_from(Condition),
        job_class=st.integers(0, 1),
        direct=st.booleans(),
    )
    def submit(
        self,
        count: int,
        dependency_choices: list[int],
        any_of: bool,
        start: int | None,
        deadline: int | None,
        held: bool,
        condition: Condition,
        job_class: int,
        direct: bool,
    ) -> None:
        unix = self.driver.now_ms + self.wall_clock_offset_ms
        batch: list[JobSpec] = []
        known = list(self.specs)
        for n in range(count):
            name = f"j{len(self.specs) + n}"
            dependency_names = dict.fromkeys(
                (known + [s.job for s in batch])[k % (len(known) + n)]
                for k in dependency_choices
                if known or n
            )
            dependencies = tuple(Dependency(t, condition, self.done.get(t)) for t in dependency_names)
            batch.append(
                JobSpec(
                    name,
                    job_class,
                    OBJECTIVE_MS,
                    dependencies,
                    any_of,
                    None if start is None else unix + start,
                    None if deadline is None else unix + deadline,
                    held and n == 0,
                    direct and not dependencies,
                )
            )
        try:
            self.driver.submit(*reversed(batch))
        except api.SubmissionError as error:
            assert "deadline" in str(error)
            return
        self.specs |= {spec.job: spec for spec in batch}
        self.holds |= {spec.job for spec in batch if spec.held}
        self.settle()

    def pick(self, names: Iterable[str], number: int) -> str:
        ordered = sorted(names)
        return ordered[number % len(ordered)]

    @precondition(lambda self: self.driver.in_engine)
    @rule(number=st.integers(0, 99), pause=st.integers(0, 2000))
    def refuse(self, number: int, pause: int) -> None:
        name = self.pick(self.driver.in_engine, number)
        self.sent.discard(name)
        self.driver.return_job(name, pause)
        self.settle()

    @precondition(lambda self: bool(set(self.driver.in_engine) - self.sent))
    @rule(number=st.integers(0, 99))
    def send(self, number: int) -> None:
        name = self.pick(set(self.driver.in_engine) - self.sent, number)
        self.sent.add(name)
        self.driver.handle(api.JobSent(name))
        self.settle()

    @precondition(lambda self: self.driver.in_engine)
    @rule(number=st.integers(0, 99), done=st.booleans())
    def end(self, number: int, done: bool) -> None:
        name = self.pick(self.driver.in_engine, number)
        self.done[name] = done
        self.sent.discard(name)
        self.driver.end(name, done)
        self.settle()

    @precondition(lambda self: bool(set(self.specs) - set(self.done)))
    @rule(number=st.integers(0, 99), held=st.booleans())
    def hold(self, number: int, held: bool) -> None:
        name = self.pick(set(self.specs) - set(self.done), number)
        if name in self.sent:
            return
        (self.holds.add if held else self.holds.discard)(name)
        self.driver.handle(api.HoldChanged(name, held))
        self.settle()

    @precondition(lambda self: bool(set(self.specs) - set(self.done) - set(self.driver.in_engine)))
    @rule(number=st.integers(0, 99))
    def terminate(self, number: int) -> None:
        name = self.pick(set(self.specs) - set(self.done) - set(self.driver.in_engine), number)
        self.driver.handle(api.TerminationRequested(name))
        assert self.driver.ended[name].cause is EndCause.TERMINATED
        self.settle()

    @rule(job_class=st.integers(0, 1), available=st.booleans())
    def set_class_availability(self, job_class: int, available: bool) -> None:
        self.class_available[job_class] = available
        self.driver.handle(api.ClassAvailabilityChanged(job_class, available))
        self.settle()

    @rule(duration_ms=st.integers(1, 2500))
    def advance(self, duration_ms: int) -> None:
        for _ in range(duration_ms // 100 + 1):  # in steps, so that a release is checked near its time
            self.driver.advance(duration_ms / (duration_ms // 100 + 1))
            self.settle()

    @rule(step=st.sampled_from([-7_200_000, -1000, 1000, 7_200_000]))
    def set_wall_clock(self, step: int) -> None:
        self.wall_clock_offset_ms += step
        self.settle()
        self.driver.handle(api.WallClockOffset(self.wall_clock_offset_ms))
        self.settle()

    @rule()
    def restart(self) -> None:
        """Lose all that is not durable, and restore the queue from the records."""
        self.driver.advance(1.0)
        self.settle()
        ages = {}
        for name in set(self.specs) - set(self.done):
            node = self.driver.queue.graph.nodes[name]
            ages[name] = self.driver.now_ms - node.ready_ms if node.ready_ms < float("inf") else None
        previous, self.driver = self.driver, QueueDriver(lookahead=2, max_steps_per_event=3)
        self.driver.now_ms = previous.now_ms
        self.driver.in_engine = {name: True for name in self.sent}
        self.driver.handle(api.WallClockOffset(self.wall_clock_offset_ms))
        for job_class, available in enumerate(self.class_available):
            self.driver.handle(api.ClassAvailabilityChanged(job_class, available))
        specs = []
        for name in ages:
            spec = self.specs[name]
            dependencies = tuple(
                Dependency(d.job, d.condition, self.done.get(d.job)) for d in spec.dependencies
            )
            specs.append(
                JobSpec(
                    name,
                    spec.job_class,
                    spec.latency_objective_ms,
                    dependencies,
                    spec.any_of,
                    spec.start_unix_ms,
                    spec.deadline_unix_ms,
                    name in self.holds,
                    spec.direct,
                    spec.batch,
                    ages[name],
                    name in self.sent,
                )
            )
        self.checked_releases = 0
        self.driver.submit(*specs, restored=True)
        self.settle()

    @invariant()
    def no_job_is_lost(self) -> None:
        nodes = self.driver.queue.graph.nodes
        assert set(nodes) == set(self.specs) - set(self.done)
        assert self.driver.queue.stage_counts == [
            sum(n.stage is stage for n in nodes.values()) for stage in JobStage
        ]
        for name in self.driver.in_engine:
            assert nodes[name].stage is (JobStage.SENT if name in self.sent else JobStage.RELEASED)

    @invariant()
    def class_queues_keep_to_the_lookahead_and_use_it(self) -> None:
        queue = self.driver.queue
        if queue.next_tick_ms <= self.driver.now_ms:
            return  # it continues at a tick that is due
        for class_queue in queue.class_queues:
            for aged in (0, 1):
                unsent = [
                    n
                    for n in queue.graph.nodes.values()
                    if n.stage is JobStage.RELEASED
                    and not n.direct
                    and queue.class_queues[n.job_class] is class_queue
                    and n.aged == bool(aged)
                ]
                assert len(unsent) == class_queue.unsent[aged] <= 2
                assert (
                    not class_queue.available or class_queue.unsent[aged] == 2 or not class_queue.ready[aged]
                )

    def teardown(self) -> None:
        """Without holds and with all classes available, each job ends."""
        for job_class in (0, 1):
            self.driver.handle(api.ClassAvailabilityChanged(job_class, True))
        for name in sorted(self.holds - set(self.done)):
            self.driver.handle(api.HoldChanged(name, False))
            self.holds.discard(name)
        self.settle()
        self.wall_clock_offset_ms += 1e9
        for _ in range(len(self.specs) + 5):
            for name in sorted(self.driver.in_engine):
                self.done[name] = True
                self.driver.end(name)
                self.settle()
            self.wall_clock_offset_ms += 10_000.0
            self.driver.handle(api.WallClockOffset(self.wall_clock_offset_ms))
            self.driver.advance(10_000.0)
            self.settle()
        assert set(self.done) == set(self.specs) and not self.driver.queue.graph.nodes
        assert self.driver.queue.stage_counts == [0] * len(JobStage)
        queue = self.driver.queue
        for jobs in (queue.by_start, queue.by_deadline, queue.by_retry_time, queue.by_ageing_time):
            assert not jobs
        super().teardown()


TestModel = Model.TestCase
TestModel.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)
