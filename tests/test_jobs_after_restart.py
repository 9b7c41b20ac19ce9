"""Jobs that may have run before a restart: sent again if that is harmless, and never otherwise."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from grebestack.core import api
from grebestack.core.api import Outcome
from grebestack.jobs.earlier_attempts import RETRY_MARGIN_S, EarlierAttempts, retry_limit
from grebestack.jobs.records import JobState
from tests.standins import DispatcherTestbed, wait_until
from tests.test_drmaa import Client
from tests.test_engine import SETTINGS
from tests.test_jobs import JobServiceHarness

RETRY_WINDOW_MS = 2500.0  # of the class "book", which has idempotency keys


class RestartHarness(JobServiceHarness):
    """All workers recognise the idempotency keys of a class, and deadlines are long."""

    settings = replace(
        SETTINGS,
        classes=tuple(replace(c, group=api.Group.ALL, deadline_ms=15_000.0) for c in SETTINGS.classes),
    )


@pytest.fixture
def harness(tmp_path: Path) -> RestartHarness:
    return RestartHarness(tmp_path)


@pytest.mark.parametrize("category", ["book", "view"])
def test_a_job_that_was_only_recorded_as_sent_runs_after_a_restart(
    harness: RestartHarness, category: str
) -> None:
    # Guards against a job that ends as FAILED, "it has perhaps run", though it was sent to no worker.
    job = harness.submit("k", category)
    harness.crash()
    assert harness.state(job) is JobState.UNDETERMINED and not harness.workers.sent_attempts
    harness.clock.advance(200.0)
    harness.workers.abandoned.pop(job)()
    harness.clock.advance(500.0)
    assert harness.sent_jobs() == [job] and harness.state(job) is JobState.RUNNING
    harness.end(job)
    assert harness.ended_jobs[job].result == b"done"


def test_an_order_that_may_have_run_is_never_sent_again(harness: RestartHarness) -> None:
    # Guards against a second run of a job that must not run twice.
    job = harness.submit("k", "order")
    harness.crash()
    harness.clock.advance(14_000.0)
    assert not harness.workers.abandoned and not harness.workers.sent_attempts
    harness.clock.advance(5000.0)
    assert "perhaps run" in harness.ended_jobs[job].annotation


def test_no_job_is_sent_again_before_its_worker_has_confirmed_that_it_gave_it_up(
    harness: RestartHarness,
) -> None:
    # Guards against a second attempt while the first one still runs.
    job = harness.submit("k", "book")
    harness.crash()
    harness.clock.advance(2000.0)
    assert job in harness.workers.abandoned and not harness.workers.sent_attempts
    on_ended = harness.workers.callback_handlers[job]
    assert on_ended is not None
    on_ended(Outcome.OK, b"late")  # the call-back of its first attempt arrives after all
    harness.workers.abandoned.pop(job)()
    harness.clock.advance(500.0)
    assert harness.ended_jobs[job].result == b"late" and not harness.workers.sent_attempts


def test_a_keyed_job_is_not_sent_again_after_its_window(harness: RestartHarness) -> None:
    # Guards against a retry that the worker would take for a new job.
    job = harness.submit("k", "book")
    harness.crash()
    harness.clock.advance(RETRY_WINDOW_MS)
    harness.workers.abandoned.pop(job)()
    harness.clock.advance(500.0)
    assert not harness.workers.sent_attempts and harness.state(job) is JobState.UNDETERMINED


def test_a_keyed_job_that_waits_for_a_worker_until_its_window_ends_is_reported_as_perhaps_run(
    harness: RestartHarness,
) -> None:
    # Guards against "it has not run" about a job that may have run.
    job = harness.submit("k", "book")
    harness.crash()
    harness.clock.advance(200.0)
    harness.drain(True)
    harness.workers.abandoned.pop(job)()
    harness.clock.advance(RETRY_WINDOW_MS + 200.0)
    assert not harness.workers.sent_attempts
    assert (
        harness.ended_jobs[job].state is JobState.FAILED
        and "perhaps run" in harness.ended_jobs[job].annotation
    )


def test_a_second_crash_does_not_restart_the_retry_window(harness: RestartHarness) -> None:
    # Guards against a retry window that starts again with each retry.
    job = harness.submit("k", "book")
    harness.crash()
    harness.clock.advance(200.0)
    harness.workers.abandoned.pop(job)()
    harness.clock.advance(500.0)
    assert harness.sent_jobs() == [job]
    harness.crash()
    earlier = harness.store.earlier_attempts()[job]
    assert earlier.count == 2
    harness.clock.advance(RETRY_WINDOW_MS - 700.0)
    harness.workers.abandoned.pop(job)()
    harness.clock.advance(500.0)
    assert not harness.workers.sent_attempts


@pytest.mark.parametrize("group", [api.Group.ALL, api.Group.CELL])
def test_a_job_handed_back_after_a_restart_may_have_run_in_an_attempt_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, group: api.Group
) -> None:
    # Guards against "it has not run and may be submitted again" of a job whose first attempt had its effect.
    classes = tuple(replace(c, group=group) for c in RestartHarness.settings.classes)
    monkeypatch.setattr(RestartHarness, "settings", replace(RestartHarness.settings, classes=classes))
    harness = RestartHarness(tmp_path, worker_count=2)
    job = harness.submit("k", "book")
    harness.end(job, Outcome.ERROR)
    harness.clock.advance(300.0)
    assert harness.sent_jobs() == [job, job]
    harness.crash()
    on_ended = harness.workers.callback_handlers[job]
    assert on_ended is not None
    on_ended(Outcome.REJECTED, b"")
    harness.clock.advance(500.0)
    if group is api.Group.CELL:  # it is not known any more
        ended = harness.ended_jobs[job]
        assert "may have run" in ended.annotation and ended.retry_after is None
        assert not harness.workers.sent_attempts
        return
    assert harness.sent_jobs() == [job] and job not in harness.ended_jobs
    harness.end(job)
    assert harness.ended_jobs[job].result == b"done"


def test_a_job_handed_back_after_a_restart_that_was_sent_once_has_not_run(harness: RestartHarness) -> None:
    job = harness.submit("k", "order")
    harness.crash()
    on_ended = harness.workers.callback_handlers[job]
    assert on_ended is not None
    on_ended(Outcome.REJECTED, b"")
    assert "has not run" in harness.ended_jobs[job].annotation
    assert harness.ended_jobs[job].retry_after == 0.0


def test_a_job_terminated_after_a_restart_is_not_sent_again(harness: RestartHarness) -> None:
    # Guards against a further attempt that overtakes the cancel of the one from before the restart.
    job = harness.submit("k", "book")
    harness.crash()
    harness.clock.advance(100.0)
    harness.service.terminate(harness.service.find(job))
    harness.workers.abandoned.pop(job)()
    harness.clock.advance(5000.0)
    assert not harness.workers.sent_attempts


def test_the_limit_of_a_retry_follows_effect_window_and_settings() -> None:
    view, book, order = RestartHarness.settings.classes
    earlier = EarlierAttempts("w0", 100.0, 1)

    def until_s(job_class: api.JobClass, **changed: object) -> float | None:
        limit = retry_limit(job_class, replace(RestartHarness.settings, **changed), earlier)  # type: ignore[arg-type]
        return None if limit is None else limit.until_s

    assert until_s(view) == float("inf")
    assert until_s(book) == 100.0 + RETRY_WINDOW_MS / 1000.0 - RETRY_MARGIN_S
    assert until_s(order) is None
    assert until_s(replace(book, group=api.Group.ZONE)) is None
    assert until_s(view, cancel=False) is None and until_s(view, max_attempts=1) is None


def test_a_keyed_job_whose_worker_hung_through_a_kill_is_done_after_the_restart(
    testbed: DispatcherTestbed,
) -> None:
    # The same with real processes: the job was recorded as sent, but no worker had it.
    runner = testbed.add_worker("s-1")
    runner.unresponsive = True
    testbed.start_from_operator_file()
    client = Client(testbed)
    job = client.run("k", {"jobCategory": "reading"})
    wait_until(lambda: client.state(job) == "RUNNING")
    testbed.kill()
    runner.unresponsive = False
    testbed.start_from_operator_file()
    wait_until(lambda: client.state(job) in ("DONE", "FAILED"))
    assert client.state(job) == "DONE" and max(testbed.job_runs.counts.values()) == 1
    assert runner.cancelled == [job]


@pytest.mark.parametrize("is_sent_again", [False, True])
def test_a_result_that_comes_after_the_answer_to_a_give_up_ends_the_job(
    harness: RestartHarness, is_sent_again: bool
) -> None:
    # Guards against a result that is answered 204 and thrown away because a give-up was answered by 404.
    job = harness.submit("k", "view")
    harness.crash()
    harness.clock.advance(200.0)
    if not is_sent_again:
        harness.drain(True)  # no other worker has room
    harness.workers.abandoned.pop(job)()
    harness.clock.advance(500.0)
    assert harness.sent_jobs() == [job] * is_sent_again
    on_result = harness.workers.callback_handlers[job]
    assert on_result is not None
    on_result(Outcome.OK, b"late")
    harness.clock.advance(500.0)
    assert harness.ended_jobs[job].result == b"late" and harness.ended_jobs[job].state is JobState.DONE
    assert harness.workers.callback_handlers[job] is None


def test_a_result_from_before_a_restart_is_taken_though_the_worker_no_longer_knows_the_job(
    testbed: DispatcherTestbed,
) -> None:
    # The same with real processes: the worker answers 404 to the give-up, and calls back once more.
    runner = testbed.add_worker("s-1", seconds=60.0)
    testbed.start_from_operator_file()
    client = Client(testbed)
    job = client.run("k", {"jobCategory": "reading"})
    wait_until(lambda: len(runner.jobs) == 1)
    testbed.kill()
    runner.status = 503  # it has no room for the job when it is sent again
    testbed.start_from_operator_file()
    wait_until(lambda: runner.cancelled == [job] and len(runner.jobs) > 1)
    assert runner.call_back(job, state="done", result="of before") == 204
    wait_until(lambda: client.state(job) in ("DONE", "FAILED"))
    assert client.state(job) == "DONE"
