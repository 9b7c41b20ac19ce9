"""The job service without a socket: where its store fails, where jobs wait, and across restarts."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from grebestack.core import api
from grebestack.core.api import Outcome
from grebestack.drmaa.errors import DrmaaError
from grebestack.drmaa.template import TemplateConverter
from grebestack.job_queue.interface import Stage as RoomStage
from grebestack.jobs import store as store_module
from grebestack.jobs.records import Batch, Job, JobError, JobLimits, JobState, Kind
from grebestack.jobs.service import JobService
from grebestack.jobs.store import JobStore, StoreError
from grebestack.routing.engine import Engine
from grebestack.routing.requests import Attempt, AttemptStage
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable
from tests.policy_driver import entry
from tests.test_engine import SETTINGS, Clock

ORDER = {"jobCategory": "order"}
NOON = 1_800_000_000.0


class Servers:
    """Sends as soon as it is asked to, if it may; holds dispatches back while `slow`."""

    def __init__(self, engine: Engine) -> None:
        self.engine, self.sent, self.waiting = engine, list[Attempt](), list[Attempt]()
        self.slow = False
        self.adopted: dict[str, Callable[[Outcome, bytes], None] | None] = {}
        self.given_up: dict[str, Callable[[], None]] = {}  # told so, and not answered yet

    def send_attempt(self, dispatch: Attempt) -> None:
        self.waiting.append(dispatch)
        if not self.slow:
            self.send()

    def send(self) -> None:
        while self.waiting:
            dispatch = self.waiting.pop(0)
            if not self.engine.confirm_send(dispatch):
                self.engine.finish_attempt(dispatch, Outcome.CONNECT_FAILED)
                continue
            dispatch.stage = AttemptStage.WRITTEN
            self.sent.append(dispatch)

    def abandon_attempt(self, dispatch: Attempt) -> None:
        pass

    cancel_attempt = abandon_attempt

    def probe(self, server: str) -> None:
        pass

    def set_callback_handler(
        self, call_id: str, server: str, ended: Callable[[Outcome, bytes], None] | None
    ) -> None:
        self.adopted[call_id] = ended

    def cancel_job(self, server: str, call_id: str, taken: Callable[[], None]) -> None:
        pass

    def abandon_job(self, server: str, call_id: str, heard: Callable[[], None]) -> bool:
        if server not in self.engine.table.workers:
            return False
        self.given_up[call_id] = heard
        return True


class FailingStore(JobStore):
    """A job store on a disk that is full for a while."""

    full = False

    def _check(self) -> None:
        if self.full:
            raise sqlite3.OperationalError("database or disk is full")

    def add_all(self, jobs: Any, edges: Any = ()) -> None:
        self._check()
        super().add_all(jobs, edges)

    def sending(self, job_id: str, server: str, sent: float) -> int:
        self._check()
        return super().sending(job_id, server, sent)

    def finish(self, job_id: str, state: JobState, finished: float, **more: Any) -> bool:
        self._check()
        return super().finish(job_id, state, finished, **more)


class Setting:
    """A job service between a store on disk and servers of a model; time is the model's."""

    settings = SETTINGS

    def __init__(self, path: Path, servers: int = 1) -> None:
        self.path, self.count = path, servers
        self.clock, self.step = Clock(), 0.0
        self.start()

    def start(self) -> None:
        table = WorkerTable()
        self.engine = Engine(self.settings, 1, self.clock, table)
        self.servers = self.engine.workers = Servers(self.engine)
        self.store = FailingStore(str(self.path / "jobs.sqlite"))
        self.templates = TemplateConverter(self.settings)
        limits = JobLimits(wanted=(10.0, 10.0, 10.0), most_open=10, most_waiting=20_000)
        self.service = JobService(
            self.engine,
            self.servers,
            self.settings,
            self.store,
            self.templates,
            limits,
            lambda: NOON + self.step + self.clock.now / 1000.0,
        )
        self.ends: dict[str, Job] = {}
        self.service.ended = self._ended
        self.service.restore()
        lines = [WorkerEndpoint(entry(f"w{n}"), ("127.0.0.1", 1)) for n in range(self.count)]
        table.update(api.ListKind.FULL, lines)
        self.clock.advance(10.0)

    def _ended(self, job: Job) -> None:
        assert job.id not in self.ends, "told twice"
        self.ends[job.id] = job

    def crash(self) -> None:
        """All but the file is gone; the clock's timers too."""
        self.store.close()
        former, self.clock = self.clock, Clock()
        self.clock.now = former.now
        self.start()

    def run(self, key: str, category: str = "order", **more: Any) -> str:
        job, _ = self.service.submit(key, self.templates.new_job({"jobCategory": category} | more))
        return job.id

    def waiting(self, key: str, *after: Any, category: str = "order", **more: Any) -> str:
        special = {"after": list(after), "wantedTime": 10.0} | more.pop("special", {})
        return self.run(key, category, implementationSpecific=special, **more)

    def many(self, key: str, jobs: dict[str, Any] | int, most: int | None = None) -> Batch | JobError:
        came: list[Batch | JobError] = []
        if isinstance(jobs, int):
            new = self.templates.new_job(ORDER, waits=True)
            self.service.submit_many(key, "t", lambda n: new, range(jobs), True, most, came.append)
        else:
            news = [self.templates.new_job(raw, name, True) for name, raw in jobs.items()]
            self.service.submit_many(key, str(jobs), news, range(len(news)), False, None, came.append)
        for _ in range(10_000):
            if came:
                return came[0]
            self.clock.advance(0.01)
        raise AssertionError("it is never answered")

    def state(self, job: str) -> JobState:
        return self.service.find(job).state

    def end(self, job: str, outcome: Outcome = Outcome.OK) -> None:
        """The newest dispatch of a job ends."""
        dispatch = next(d for d in reversed(self.servers.sent) if d.request.call_id == job)
        self.engine.finish_attempt(dispatch, outcome, result=b"done")

    def drain(self, on: bool) -> None:
        for n in range(self.count):
            self.engine.table.set_cordoned(f"w{n}", on)
        self.clock.advance(10.0)

    def sent_jobs(self) -> list[str]:
        return [d.request.call_id for d in self.servers.sent]


@pytest.fixture
def setting(tmp_path: Path) -> Setting:
    return Setting(tmp_path)


def test_a_job_that_cannot_be_recorded_is_not_acknowledged(setting: Setting) -> None:
    setting.store.full = True
    with pytest.raises(JobError, match="could not be recorded"):
        setting.run("k")
    assert not setting.servers.sent and not setting.engine.open_by_call_id
    failed = setting.many("many", 3)
    assert isinstance(failed, JobError) and failed.kind is Kind.RESOURCE
    assert not len(setting.service.room)
    setting.store.full = False
    assert setting.store.batch("submission", "many") is None


def test_a_dispatch_that_cannot_be_recorded_is_not_sent(setting: Setting) -> None:
    # Guards against an order that is sent again after a restart since nothing said that it had been sent.
    setting.drain(True)
    job = setting.run("k", "book")
    setting.store.full = True
    setting.drain(False)
    setting.clock.advance(30.0)
    assert not setting.servers.sent
    setting.store.full = False
    setting.clock.advance(900.0)
    assert len(setting.servers.sent) == 1
    assert setting.state(job) is JobState.RUNNING


def test_an_end_that_cannot_be_recorded_is_recorded_later(setting: Setting) -> None:
    job, follower = setting.run("k"), ""
    follower = setting.waiting("f", job)
    setting.store.full = True
    setting.end(job)
    assert setting.state(job) is JobState.RUNNING and not setting.ends
    assert setting.sent_jobs() == [job]  # what waits for it is not told either
    setting.store.full = False
    setting.clock.advance(2000.0)
    found = setting.service.find(job)
    assert (found.state, found.result) == (JobState.DONE, b"done")
    assert setting.sent_jobs() == [job, follower]
    assert not setting.store.finish(job, JobState.FAILED, 0.0)  # the first final state stays


def test_ends_of_a_chain_that_cannot_be_recorded_are_recorded_later(setting: Setting) -> None:
    first = setting.waiting("a", submitAsHold=True)
    chain = [setting.waiting(f"b{n}", first) for n in range(3)]
    setting.store.full = True
    setting.service.terminate(setting.service.find(first))
    assert not setting.ends
    setting.store.full = False
    setting.clock.advance(2000.0)
    assert set(setting.ends) == {first, *chain}
    assert f"job {first}" in setting.ends[chain[0]].annotation


def test_a_waiting_job_that_is_refused_is_put_back_and_a_direct_one_is_told(setting: Setting) -> None:
    setting.drain(True)
    direct = setting.run("d")
    waits = setting.waiting("w")
    setting.clock.advance(3000.0)
    assert setting.ends[direct].retry_after is not None
    assert setting.state(waits) is JobState.QUEUED
    assert "no server takes its class" in setting.service.why(waits)
    setting.drain(False)
    assert setting.sent_jobs() == [waits]
    setting.end(waits, Outcome.REJECTED)  # handed back: it never ran
    assert setting.state(waits) is JobState.REQUEUED
    setting.clock.advance(3000.0)
    assert setting.sent_jobs()[1:] and setting.state(waits) is JobState.RUNNING
    setting.end(waits)
    assert setting.ends[waits].state is JobState.DONE


def test_a_crash_between_release_and_dispatch_sends_it_once(setting: Setting) -> None:
    setting.servers.slow = True
    job = setting.waiting("k")
    assert setting.service.room.stage(job) is RoomStage.RELEASED and not setting.servers.sent
    setting.crash()
    assert setting.sent_jobs() == [job]
    setting.crash()  # now it may have run: it is never sent again
    assert not setting.servers.sent and setting.state(job) is JobState.UNDETERMINED
    ended = setting.servers.adopted[job]
    assert ended is not None
    ended(Outcome.OK, b"late")
    assert setting.ends[job].result == b"late"


def test_a_restart_restores_graph_hours_holds_ages_and_places(setting: Setting) -> None:
    setting.drain(True)
    old = setting.waiting("old")
    setting.clock.advance(4000.0)
    young = setting.waiting("young")
    held = setting.waiting("held", submitAsHold=True)
    timed = setting.waiting("timed", startTime=NOON + 60.0)
    first = setting.waiting("first", special={"wantedTime": 1000.0})
    last = setting.waiting("last", first, {"job": old, "on": "ended"})
    setting.clock.advance(300.0)
    setting.crash()
    room = setting.service.room
    assert setting.sent_jobs()[0] == old
    assert room.why(held).held and room.why(timed).start_unix_ms == (NOON + 60.0) * 1000.0
    assert set(room.why(last).jobs) <= {first, old}
    ages = {name: setting.clock.now - room.graph.nodes[name].ready_ms for name in (old, young)}
    assert 4000.0 < ages[old] < 4700.0 and ages[young] < 700.0
    assert room.graph.nodes[old].due < room.graph.nodes[young].due
    for _ in range(6):
        for name in [n for n in setting.sent_jobs() if n not in setting.ends]:
            setting.end(name)
        setting.clock.advance(20_000.0)
    setting.service.release(setting.service.find(held))
    setting.clock.advance(100.0)
    setting.end(held)
    assert set(setting.ends) == {old, young, held, timed, first, last}
    assert len(setting.sent_jobs()) == len(set(setting.sent_jobs()))


def test_a_failed_job_ends_those_that_wait_for_it_with_its_name(setting: Setting) -> None:
    batch = setting.many(
        "g",
        {
            "reading": ORDER,
            "plan": ORDER | {"implementationSpecific": {"after": ["reading"]}},
            "drive": ORDER | {"implementationSpecific": {"after": [{"job": "plan", "on": "done"}]}},
            "call": ORDER | {"implementationSpecific": {"after": [{"job": "plan", "on": "failed"}]}},
        },
    )
    assert isinstance(batch, Batch)
    ids = {label: name for name, _, label in setting.store.batch_members(batch.id)}
    assert setting.sent_jobs() == [ids["reading"]]
    setting.end(ids["reading"], Outcome.ERROR)
    assert {setting.ends[ids[n]].state for n in ("reading", "plan", "drive")} == {JobState.FAILED}
    assert ids["reading"] in setting.ends[ids["plan"]].annotation
    note = setting.ends[ids["drive"]].annotation
    assert ids["plan"] in note and f"began with job {ids['reading']}" in note
    assert setting.sent_jobs() == [ids["reading"], ids["call"]]  # it asked for just this
    again = setting.many("g", {"other": ORDER})
    assert isinstance(again, JobError) and again.kind is Kind.CONFLICT


def test_submissions_that_cannot_be_taken_leave_nothing(setting: Setting) -> None:
    for jobs, word in (
        (
            {
                "a": ORDER | {"implementationSpecific": {"after": ["b"]}},
                "b": ORDER | {"implementationSpecific": {"after": ["a"]}},
            },
            "(a -> b -> a)|(b -> a -> b)",
        ),
        ({"a": ORDER | {"implementationSpecific": {"after": ["zz"]}}}, "no job zz"),
        (20_001, "no more than 20000"),
    ):
        failed = setting.many("k", jobs)
        assert isinstance(failed, JobError)
        with pytest.raises(JobError, match=word):
            raise failed
    assert not len(setting.service.room) and not setting.store.open()
    job = setting.run("k")
    with pytest.raises(JobError, match="several|another"):
        setting.run("k", "book")
    assert setting.run("k") == job


def test_an_array_is_taken_in_short_turns_and_keeps_to_its_most(setting: Setting) -> None:
    batch = setting.many("arr", 1000, most=3)
    assert isinstance(batch, Batch)
    members = [name for name, _, _ in setting.store.batch_members(batch.id)]
    assert len(members) == 1000
    for n in range(5):
        setting.clock.advance(1.0)
        out = [d for d in setting.servers.sent if d.outcome is None]
        assert len(out) <= 3 and len({d.request.call_id for d in out}) == len(out)
        later = {setting.service.room.stage(name) for name in members[n + 3 :]}
        assert later <= {RoomStage.READY, RoomStage.RELEASED}
        setting.end(out[0].request.call_id)


def test_the_end_of_an_array_is_known_across_restarts_and_after_its_jobs_are_forgotten(
    setting: Setting,
) -> None:
    batch = setting.many("arr", 3)
    assert isinstance(batch, Batch)
    members = [name for name, _, _ in setting.store.batch_members(batch.id)]
    after = [
        setting.waiting(f"f{n}", {"job": batch.id, "on": on}, submitAsHold=True)
        for n, on in enumerate(("done", "failed"))
    ]
    for name in members:
        setting.clock.advance(900.0)
        ended = setting.servers.adopted.get(name)
        if ended is not None:  # it was out when the program crashed
            ended(Outcome.OK, b"")
        else:
            setting.end(name, Outcome.ERROR if name == members[1] else Outcome.OK)
        if name == members[1]:
            setting.store.remove(name)
            setting.crash()
    assert setting.ends[after[0]].state is JobState.FAILED
    setting.store.forget_before(setting.service.wall() + 1.0)
    setting.crash()
    assert setting.store.batch("id", batch.id) is None
    setting.service.release(setting.service.find(after[1]))
    setting.clock.advance(100.0)
    assert setting.sent_jobs() == [after[1]]


def test_an_array_that_a_crash_cuts_short_was_never_there(setting: Setting) -> None:
    came: list[Batch | JobError] = []
    new = setting.templates.new_job(ORDER, waits=True)
    setting.service.submit_many("arr", "t", lambda n: new, range(1000), True, None, came.append)
    assert not came and setting.store.open()
    setting.crash()
    assert not setting.store.open() and not setting.servers.sent
    assert isinstance(setting.many("arr", 1000), Batch)


def test_an_hour_counts_by_the_wall_clock_as_it_is_set(setting: Setting) -> None:
    job = setting.waiting("k", startTime=NOON + 3600.0)
    setting.clock.advance(10_000.0)
    setting.step = -7200.0
    setting.clock.advance(3_700_000.0)
    assert not setting.servers.sent
    setting.step = 0.0
    setting.clock.advance(1100.0)
    setting.step = -7200.0
    setting.clock.advance(2000.0)
    assert setting.sent_jobs() == [job]


def test_a_hold_takes_back_what_no_server_has(setting: Setting) -> None:
    setting.drain(True)
    direct = setting.run("d")
    setting.service.hold(setting.service.find(direct))
    assert setting.state(direct) is JobState.QUEUED_HELD
    setting.drain(False)
    setting.clock.advance(100.0)
    assert not setting.servers.sent
    setting.service.release(setting.service.find(direct))
    assert setting.sent_jobs() == [direct]
    for change in (setting.service.hold, setting.service.release):
        with pytest.raises(JobError, match="RUNNING"):
            change(setting.service.find(direct))


def test_a_reaped_job_is_remembered_by_those_that_wait_for_it(setting: Setting) -> None:
    first = setting.run("a")
    setting.end(first)
    late = setting.waiting("b", first, startTime=NOON + 60.0)
    setting.store.remove(first)
    setting.crash()
    setting.clock.advance(70_000.0)
    assert setting.sent_jobs() == [late]


def test_a_file_of_version_1_is_taken_over_and_a_newer_one_refused(tmp_path: Path) -> None:
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
    setting = Setting(tmp_path)
    assert setting.sent_jobs() == ["open"] and setting.state("ran") is JobState.UNDETERMINED
    assert setting.state("over") is JobState.DONE and setting.store.drains() == {"w9"}
    assert setting.run("k-open") == "open"
    follower = setting.waiting("f", "over", "open")
    setting.end("open")
    assert setting.sent_jobs() == ["open", follower]
    setting.store.db.execute("PRAGMA user_version = 3")
    setting.store.close()
    with pytest.raises(StoreError, match="newer version"):
        JobStore(str(path))


@pytest.mark.parametrize(
    ("raw", "words"),
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
def test_errors_name_the_field_the_value_and_what_is_allowed(raw: Any, words: str) -> None:
    with pytest.raises(DrmaaError, match=words):
        TemplateConverter(SETTINGS).new_job(ORDER | raw)
