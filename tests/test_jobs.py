"""The job service without sockets: failing writes, queued jobs and restarts."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from grebestack.core import api
from grebestack.core.api import LaterReport, Outcome
from grebestack.drmaa.errors import DrmaaError
from grebestack.drmaa.template import TemplateConverter
from grebestack.job_queue.interface import JobStage
from grebestack.jobs import store as store_module
from grebestack.jobs.records import Batch, Job, JobError, JobErrorKind, JobLimits, JobState
from grebestack.jobs.service import JobService
from grebestack.jobs.store import JobStore, StoreError
from grebestack.routing.engine import Engine
from grebestack.routing.requests import Attempt, AttemptStage
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable
from tests.policy_driver import entry
from tests.test_engine import SETTINGS, Clock

ORDER = {"jobCategory": "order"}
NOON = 1_800_000_000.0


class FakeWorkers:
    """Sends each attempt at once if the engine confirms it; collects attempts unsent while `delayed`."""

    def __init__(self, engine: Engine) -> None:
        self.engine, self.sent_attempts, self.unsent_attempts = engine, list[Attempt](), list[Attempt]()
        self.delayed = False
        self.callback_handlers: dict[str, Callable[[Outcome, bytes], None] | None] = {}
        self.ambiguous_outcomes: dict[str, frozenset[Outcome]] = {}
        self.abandoned: dict[
            str, Callable[[], None]
        ] = {}  # by call id: to be called as the worker's response

    def send_attempt(self, attempt: Attempt) -> None:
        self.unsent_attempts.append(attempt)
        if not self.delayed:
            self.send()

    def send(self) -> None:
        while self.unsent_attempts:
            attempt = self.unsent_attempts.pop(0)
            if not self.engine.confirm_send(attempt):
                self.engine.finish_attempt(attempt, Outcome.CONNECT_FAILED)
                continue
            attempt.stage = AttemptStage.WRITTEN
            self.sent_attempts.append(attempt)

    def adopt_attempt(self, attempt: Attempt, address: tuple[str, int]) -> None:
        raise NotImplementedError("nothing is handed over here")

    def abandon_attempt(self, attempt: Attempt) -> None:
        pass

    cancel_attempt = abandon_attempt

    def probe(self, worker: str) -> None:
        pass

    def set_callback_handler(
        self,
        call_id: str,
        worker: str,
        on_ended: Callable[[Outcome, bytes], None] | None,
        ambiguous_outcomes: frozenset[Outcome] = frozenset(),
    ) -> None:
        self.callback_handlers[call_id] = on_ended
        self.ambiguous_outcomes[call_id] = ambiguous_outcomes

    def cancel_job(self, worker: str, call_id: str, on_confirmed: Callable[[], None]) -> None:
        pass

    def abandon_job(self, worker: str, call_id: str, on_response: Callable[[], None]) -> bool:
        if worker not in self.engine.table.workers:
            return False
        self.abandoned[call_id] = on_response
        return True


class FailingStore(JobStore):
    """A job store on a disk that is full for a while."""

    disk_full = False

    def _check(self) -> None:
        if self.disk_full:
            raise sqlite3.OperationalError("database or disk is full")

    def add_all(self, jobs: Any, dependencies: Any = ()) -> None:
        self._check()
        super().add_all(jobs, dependencies)

    def record_attempt(self, job_id: str, worker: str, sent_s: float) -> int:
        self._check()
        return super().record_attempt(job_id, worker, sent_s)

    def finish(self, job_id: str, state: JobState, finished: float, **options: Any) -> bool:
        self._check()
        return super().finish(job_id, state, finished, **options)


class JobServiceHarness:
    """A job service with a store on disk, simulated workers and simulated time."""

    settings = SETTINGS

    def __init__(self, path: Path, worker_count: int = 1) -> None:
        self.path, self.worker_count = path, worker_count
        self.clock, self.wall_clock_step_s = Clock(), 0.0
        self.start()

    def start(self) -> None:
        table = WorkerTable()
        self.engine = Engine(self.settings, 1, self.clock, table)
        self.workers = self.engine.workers = FakeWorkers(self.engine)
        self.store = FailingStore(str(self.path / "jobs.sqlite"))
        self.templates = TemplateConverter(self.settings)
        limits = JobLimits(latency_objectives_s=(10.0, 10.0, 10.0), max_direct=10, max_queued=20_000)
        self.service = JobService(
            self.engine,
            self.workers,
            self.settings,
            self.store,
            self.templates,
            limits,
            lambda: NOON + self.wall_clock_step_s + self.clock.now / 1000.0,
        )
        self.ended_jobs: dict[str, Job] = {}
        self.service.on_job_ended = self._ended
        self.service.restore()
        workers = [WorkerEndpoint(entry(f"w{n}"), ("127.0.0.1", 1)) for n in range(self.worker_count)]
        table.update(api.ListKind.FULL, workers)
        self.clock.advance(10.0)

    def _ended(self, job: Job) -> None:
        assert job.id not in self.ended_jobs, "reported twice"
        self.ended_jobs[job.id] = job

    def crash(self) -> None:
        """Start anew with nothing but the file; the timers are lost too."""
        self.store.close()
        previous, self.clock = self.clock, Clock()
        self.clock.now = previous.now
        self.start()

    def submit(self, key: str, category: str = "order", **options: Any) -> str:
        job, _ = self.service.submit(key, self.templates.new_job({"jobCategory": category} | options))
        return job.id

    def submit_queued(self, key: str, *dependencies: Any, category: str = "order", **options: Any) -> str:
        extensions = {"after": list(dependencies), "wantedTime": 10.0} | options.pop("extensions", {})
        return self.submit(key, category, implementationSpecific=extensions, **options)

    def submit_batch(
        self, key: str, jobs: dict[str, Any] | int, max_parallel: int | None = None
    ) -> Batch | JobError:
        results: list[Batch | JobError] = []
        if isinstance(jobs, int):
            new = self.templates.new_job(ORDER, may_wait=True)
            self.service.submit_batch(
                key, "t", lambda n: new, range(jobs), True, max_parallel, results.append
            )
        else:
            new_jobs = [self.templates.new_job(raw, name, True) for name, raw in jobs.items()]
            self.service.submit_batch(
                key, str(jobs), new_jobs, range(len(new_jobs)), False, None, results.append
            )
        for _ in range(10_000):
            if results:
                return results[0]
            self.clock.advance(0.01)
        raise AssertionError("the submission got no response")

    def state(self, job: str) -> JobState:
        return self.service.find(job).state

    def end(
        self, job: str, outcome: Outcome = Outcome.OK, later_report: LaterReport = LaterReport.NONE
    ) -> None:
        """End the newest attempt of a job."""
        attempt = next(
            attempt for attempt in reversed(self.workers.sent_attempts) if attempt.request.call_id == job
        )
        self.engine.finish_attempt(attempt, outcome, result=b"done", later_report=later_report)

    def drain(self, drained: bool) -> None:
        for n in range(self.worker_count):
            self.engine.table.set_cordoned(f"w{n}", drained)
        self.clock.advance(10.0)

    def sent_jobs(self) -> list[str]:
        return [attempt.request.call_id for attempt in self.workers.sent_attempts]


@pytest.fixture
def harness(tmp_path: Path) -> JobServiceHarness:
    return JobServiceHarness(tmp_path)


def test_a_job_that_cannot_be_recorded_is_not_acknowledged(harness: JobServiceHarness) -> None:
    harness.store.disk_full = True
    with pytest.raises(JobError, match="could not be recorded"):
        harness.submit("k")
    assert not harness.workers.sent_attempts and not harness.engine.open_by_call_id
    failed = harness.submit_batch("many", 3)
    assert isinstance(failed, JobError) and failed.kind is JobErrorKind.RESOURCE
    assert not len(harness.service.job_queue)
    harness.store.disk_full = False
    assert harness.store.find_batch("submission", "many") is None


def test_a_job_that_was_handed_back_and_is_held_is_not_sent(harness: JobServiceHarness) -> None:
    # Guards against a hold that is accepted, while the job waits in the engine for another attempt.
    job = harness.submit_queued("k")
    assert harness.sent_jobs() == [job]
    harness.engine.table.set_cordoned("w0", True)
    harness.end(job, Outcome.REJECTED)
    assert harness.state(job) is JobState.REQUEUED
    harness.service.hold(harness.service.find(job))
    harness.engine.table.set_cordoned("w0", False)
    harness.clock.advance(5000.0)
    assert harness.sent_jobs() == [job] and harness.state(job) is JobState.REQUEUED_HELD
    harness.service.release(harness.service.find(job))
    harness.clock.advance(5000.0)
    assert harness.sent_jobs() == [job, job]


def test_an_attempt_that_cannot_be_recorded_is_not_sent(harness: JobServiceHarness) -> None:
    # Guards against an order that is sent again after a restart because no record says that it was sent.
    harness.drain(True)
    job = harness.submit("k", "book")
    harness.store.disk_full = True
    harness.drain(False)
    harness.clock.advance(30.0)
    assert not harness.workers.sent_attempts
    harness.store.disk_full = False
    harness.clock.advance(900.0)
    assert len(harness.workers.sent_attempts) == 1
    assert harness.state(job) is JobState.RUNNING


def test_an_end_that_cannot_be_recorded_is_recorded_later(harness: JobServiceHarness) -> None:
    job, dependant = harness.submit("k"), ""
    dependant = harness.submit_queued("f", job)
    harness.store.disk_full = True
    harness.end(job)
    assert harness.state(job) is JobState.RUNNING and not harness.ended_jobs
    assert harness.sent_jobs() == [job]  # its dependant is not notified either
    harness.store.disk_full = False
    harness.clock.advance(2000.0)
    found = harness.service.find(job)
    assert (found.state, found.result) == (JobState.DONE, b"done")
    assert harness.sent_jobs() == [job, dependant]
    assert not harness.store.finish(job, JobState.FAILED, 0.0)  # the first final state stays


def test_ends_of_a_chain_that_cannot_be_recorded_are_recorded_later(harness: JobServiceHarness) -> None:
    first = harness.submit_queued("a", submitAsHold=True)
    chain = [harness.submit_queued(f"b{n}", first) for n in range(3)]
    harness.store.disk_full = True
    harness.service.terminate(harness.service.find(first))
    assert not harness.ended_jobs
    harness.store.disk_full = False
    harness.clock.advance(2000.0)
    assert set(harness.ended_jobs) == {first, *chain}
    assert f"job {first}" in harness.ended_jobs[chain[0]].annotation


def test_a_refused_job_is_queued_again_and_a_refused_direct_job_ends(
    harness: JobServiceHarness,
) -> None:
    harness.drain(True)
    direct = harness.submit("d")
    queued = harness.submit_queued("w")
    harness.clock.advance(3000.0)
    assert harness.ended_jobs[direct].retry_after is not None
    assert harness.state(queued) is JobState.QUEUED
    assert "no server takes its class" in harness.service.wait_reason(queued)
    harness.drain(False)
    assert harness.sent_jobs() == [queued]
    harness.end(queued, Outcome.REJECTED)  # handed back: it never ran
    assert harness.state(queued) is JobState.REQUEUED
    harness.clock.advance(3000.0)
    assert harness.sent_jobs()[1:] and harness.state(queued) is JobState.RUNNING
    harness.end(queued)
    assert harness.ended_jobs[queued].state is JobState.DONE


def test_a_crash_between_the_release_and_the_attempt_sends_the_job_once(harness: JobServiceHarness) -> None:
    harness.workers.delayed = True
    job = harness.submit_queued("k")
    assert harness.service.job_queue.stage(job) is JobStage.RELEASED and not harness.workers.sent_attempts
    harness.crash()
    assert harness.sent_jobs() == [job]
    harness.crash()  # now it may have run: it is never sent again
    assert not harness.workers.sent_attempts and harness.state(job) is JobState.UNDETERMINED
    on_ended = harness.workers.callback_handlers[job]
    assert on_ended is not None
    on_ended(Outcome.OK, b"late")
    assert harness.ended_jobs[job].result == b"late"


def test_a_restart_restores_dependencies_start_times_holds_ages_and_places(
    harness: JobServiceHarness,
) -> None:
    harness.drain(True)
    old = harness.submit_queued("old")
    harness.clock.advance(4000.0)
    young = harness.submit_queued("young")
    held = harness.submit_queued("held", submitAsHold=True)
    timed = harness.submit_queued("timed", startTime=NOON + 60.0)
    first = harness.submit_queued("first", extensions={"wantedTime": 1000.0})
    last = harness.submit_queued("last", first, {"job": old, "on": "ended"})
    harness.clock.advance(300.0)
    harness.crash()
    queue = harness.service.job_queue
    assert harness.sent_jobs()[0] == old
    assert queue.wait_status(held).held and queue.wait_status(timed).start_unix_ms == (NOON + 60.0) * 1000.0
    assert set(queue.wait_status(last).waiting_for) <= {first, old}
    ages = {name: harness.clock.now - queue.graph.nodes[name].ready_ms for name in (old, young)}
    assert 4000.0 < ages[old] < 4700.0 and ages[young] < 700.0
    assert queue.graph.nodes[old].due_ms < queue.graph.nodes[young].due_ms
    for _ in range(6):
        for name in [n for n in harness.sent_jobs() if n not in harness.ended_jobs]:
            harness.end(name)
        harness.clock.advance(20_000.0)
    harness.service.release(harness.service.find(held))
    harness.clock.advance(100.0)
    harness.end(held)
    assert set(harness.ended_jobs) == {old, young, held, timed, first, last}
    assert len(harness.sent_jobs()) == len(set(harness.sent_jobs()))


def test_a_failed_job_ends_its_dependants_with_its_name_in_the_annotation(harness: JobServiceHarness) -> None:
    batch = harness.submit_batch(
        "g",
        {
            "reading": ORDER,
            "plan": ORDER | {"implementationSpecific": {"after": ["reading"]}},
            "drive": ORDER | {"implementationSpecific": {"after": [{"job": "plan", "on": "done"}]}},
            "call": ORDER | {"implementationSpecific": {"after": [{"job": "plan", "on": "failed"}]}},
        },
    )
    assert isinstance(batch, Batch)
    ids = {label: name for name, _, label in harness.store.batch_members(batch.id)}
    assert harness.sent_jobs() == [ids["reading"]]
    harness.end(ids["reading"], Outcome.ERROR)
    assert {harness.ended_jobs[ids[n]].state for n in ("reading", "plan", "drive")} == {JobState.FAILED}
    assert ids["reading"] in harness.ended_jobs[ids["plan"]].annotation
    annotation = harness.ended_jobs[ids["drive"]].annotation
    assert ids["plan"] in annotation and f"began with job {ids['reading']}" in annotation
    assert harness.sent_jobs() == [ids["reading"], ids["call"]]  # "call" runs only if "plan" fails
    repeated = harness.submit_batch("g", {"other": ORDER})
    assert isinstance(repeated, JobError) and repeated.kind is JobErrorKind.CONFLICT


def test_rejected_submissions_leave_nothing(harness: JobServiceHarness) -> None:
    for jobs, message in (
        (
            {
                "a": ORDER | {"implementationSpecific": {"after": ["b"]}},
                "b": ORDER | {"implementationSpecific": {"after": ["a"]}},
            },
            "(a -> b -> a)|(b -> a -> b)",
        ),
        ({"a": ORDER | {"implementationSpecific": {"after": ["zz"]}}}, "no job zz"),
        (20_001, "at most 20000 jobs"),
    ):
        failed = harness.submit_batch("k", jobs)
        assert isinstance(failed, JobError)
        with pytest.raises(JobError, match=message):
            raise failed
    assert not len(harness.service.job_queue) and not harness.store.open_jobs()
    job = harness.submit("k")
    with pytest.raises(JobError, match="several|another"):
        harness.submit("k", "book")
    assert harness.submit("k") == job


def test_an_array_is_recorded_completely_and_keeps_to_max_parallel(harness: JobServiceHarness) -> None:
    batch = harness.submit_batch("arr", 1000, max_parallel=3)
    assert isinstance(batch, Batch)
    members = [name for name, _, _ in harness.store.batch_members(batch.id)]
    assert len(members) == 1000
    for n in range(5):
        harness.clock.advance(1.0)
        open_attempts = [attempt for attempt in harness.workers.sent_attempts if attempt.outcome is None]
        assert len(open_attempts) <= 3 and len({attempt.request.call_id for attempt in open_attempts}) == len(
            open_attempts
        )
        later = {harness.service.job_queue.stage(name) for name in members[n + 3 :]}
        assert later <= {JobStage.READY, JobStage.RELEASED}
        harness.end(open_attempts[0].request.call_id)


def test_the_outcome_of_an_array_is_kept_across_restarts_and_after_its_jobs_are_removed(
    harness: JobServiceHarness,
) -> None:
    batch = harness.submit_batch("arr", 3)
    assert isinstance(batch, Batch)
    members = [name for name, _, _ in harness.store.batch_members(batch.id)]
    dependants = [
        harness.submit_queued(f"f{n}", {"job": batch.id, "on": condition}, submitAsHold=True)
        for n, condition in enumerate(("done", "failed"))
    ]
    for name in members:
        harness.clock.advance(900.0)
        on_ended = harness.workers.callback_handlers.get(name)
        if on_ended is not None:  # it was sent before the crash
            on_ended(Outcome.OK, b"")
        else:
            harness.end(name, Outcome.ERROR if name == members[1] else Outcome.OK)
        if name == members[1]:
            harness.store.remove(name)
            harness.crash()
    assert harness.ended_jobs[dependants[0]].state is JobState.FAILED
    harness.store.remove_ended_before(harness.service.wall_clock() + 1.0)
    harness.crash()
    assert harness.store.find_batch("id", batch.id) is None
    harness.service.release(harness.service.find(dependants[1]))
    harness.clock.advance(100.0)
    assert harness.sent_jobs() == [dependants[1]]


def test_a_partly_recorded_array_is_deleted_after_a_crash(harness: JobServiceHarness) -> None:
    results: list[Batch | JobError] = []
    new = harness.templates.new_job(ORDER, may_wait=True)
    harness.service.submit_batch("arr", "t", lambda n: new, range(1000), True, None, results.append)
    assert not results and harness.store.open_jobs()
    harness.crash()
    assert not harness.store.open_jobs() and not harness.workers.sent_attempts
    assert isinstance(harness.submit_batch("arr", 1000), Batch)


def test_a_start_time_follows_the_wall_clock_when_it_is_set(harness: JobServiceHarness) -> None:
    job = harness.submit_queued("k", startTime=NOON + 3600.0)
    harness.clock.advance(10_000.0)
    harness.wall_clock_step_s = -7200.0
    harness.clock.advance(3_700_000.0)
    assert not harness.workers.sent_attempts
    harness.wall_clock_step_s = 0.0
    harness.clock.advance(1100.0)
    harness.wall_clock_step_s = -7200.0
    harness.clock.advance(2000.0)
    assert harness.sent_jobs() == [job]


def test_a_hold_withdraws_a_job_that_no_worker_has(harness: JobServiceHarness) -> None:
    harness.drain(True)
    direct = harness.submit("d")
    harness.service.hold(harness.service.find(direct))
    assert harness.state(direct) is JobState.QUEUED_HELD
    harness.drain(False)
    harness.clock.advance(100.0)
    assert not harness.workers.sent_attempts
    harness.service.release(harness.service.find(direct))
    assert harness.sent_jobs() == [direct]
    for change in (harness.service.hold, harness.service.release):
        with pytest.raises(JobError, match="RUNNING"):
            change(harness.service.find(direct))


def test_the_outcome_of_a_removed_job_is_kept_for_its_dependants(harness: JobServiceHarness) -> None:
    first = harness.submit("a")
    harness.end(first)
    late = harness.submit_queued("b", first, startTime=NOON + 60.0)
    harness.store.remove(first)
    harness.crash()
    harness.clock.advance(70_000.0)
    assert harness.sent_jobs() == [late]


def test_a_file_of_version_1_is_migrated_and_a_newer_one_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "jobs.sqlite"
    db = sqlite3.connect(path)
    db.executescript(store_module.MIGRATIONS[0] + "PRAGMA user_version = 1;")
    text = '{"jobCategory":"order"}'
    for name, state, end in (("open", "QUEUED", None), ("ran", "RUNNING", None), ("over", "DONE", 5.0)):
        db.execute(
            "INSERT INTO jobs (id, submission, template, category, state, submitted, deadline, finished)"
            " VALUES (?, ?, ?, 'order', ?, ?, ?, ?)",
            (name, f"k-{name}", text, state, NOON, NOON + 9.0, end),
        )
    db.execute("INSERT INTO dispatches (job, server, sent) VALUES ('ran', 'w0', ?)", (NOON,))
    db.execute("INSERT INTO drains VALUES ('w9')")
    db.commit()
    db.close()
    harness = JobServiceHarness(tmp_path)
    assert harness.sent_jobs() == ["open"] and harness.state("ran") is JobState.UNDETERMINED
    assert harness.state("over") is JobState.DONE and harness.store.drained_workers() == {"w9"}
    assert harness.submit("k-open") == "open"
    dependant = harness.submit_queued("f", "over", "open")
    harness.end("open")
    assert harness.sent_jobs() == ["open", dependant]
    harness.store.db.execute(f"PRAGMA user_version = {store_module.VERSION + 1}")
    harness.store.close()
    with pytest.raises(StoreError, match="newer version"):
        JobStore(str(path))


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        ({"minSlots": 0}, "minSlots: .*>= 1.*it is 0"),
        ({"priority": 1000}, "priority: .*<= 100.*it is 1000"),
        ({"startTime": "soon"}, 'startTime: must be a time.*it is "soon"'),
        ({"startTime": "2026-12-01T06:00:00"}, "startTime: must be a time with its zone"),
        ({"submitAsHold": "yes"}, 'submitAsHold: .*bool.*it is "yes"'),
        ({"implementationSpecific": {"after": [{"job": "a", "on": "tuesday"}]}}, "after.*tuesday"),
        ({"implementationSpecific": {"wantedTime": -1}}, "wantedTime: .*it is -1"),
        ({"implementationSpecific": {"payload": "x", "whatever": 1}}, "whatever"),
    ],
)
def test_errors_name_the_field_the_value_and_what_is_allowed(raw: Any, message: str) -> None:
    with pytest.raises(DrmaaError, match=message):
        TemplateConverter(SETTINGS).new_job(ORDER | raw)
