"""A job of the store that was handed back: its worker may repeat that call-back, which names no attempt."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from grebestack.core.api import LaterReport, Outcome
from grebestack.jobs.late_reports import REPEAT_WINDOW_S
from grebestack.jobs.records import JobState
from tests.test_jobs import JobServiceHarness
from tests.test_jobs_after_restart import RestartHarness


class PatientHarness(RestartHarness):
    """A worker that has handed a job back is tried again soon, and the job waits for it."""

    settings = replace(
        RestartHarness.settings,
        connect_timeout_ms=1.0,
        classes=tuple(replace(c, latency_objective_ms=5000.0) for c in RestartHarness.settings.classes),
    )


def hand_back(harness: JobServiceHarness, job: str) -> None:
    harness.end(job, Outcome.REJECTED, LaterReport.SAME)


@pytest.mark.parametrize("is_killed", [False, True])
def test_an_order_handed_back_waits_until_its_only_worker_no_longer_repeats_that(
    tmp_path: Path, is_killed: bool
) -> None:
    # Guards against a repeated hand-back that ends the next attempt, so that the order runs twice.
    harness = JobServiceHarness(tmp_path)
    job = harness.submit_queued("k")
    hand_back(harness, job)
    if is_killed:  # before or after the dispatcher has answered the call: nobody knows
        harness.crash()
    sent_before = len(harness.sent_jobs())
    harness.clock.advance(REPEAT_WINDOW_S * 1000.0 - 500.0)
    assert len(harness.sent_jobs()) == sent_before and harness.state(job) is JobState.REQUEUED
    harness.clock.advance(5000.0)
    assert len(harness.sent_jobs()) == sent_before + 1
    harness.end(job)
    assert harness.ended_jobs[job].state is JobState.DONE


@pytest.mark.parametrize("is_killed", [False, True])
def test_an_order_handed_back_goes_to_another_worker_at_once(tmp_path: Path, is_killed: bool) -> None:
    # Guards against a wait that is not needed.
    harness = JobServiceHarness(tmp_path, worker_count=2)
    job = harness.submit_queued("k")
    first = harness.workers.sent_attempts[-1].worker
    harness.workers.delayed = is_killed  # then the connection to the other worker is not up in time
    hand_back(harness, job)
    if is_killed:
        harness.crash()
    harness.clock.advance(1000.0)
    assert harness.workers.sent_attempts[-1].worker != first and harness.state(job) is JobState.RUNNING


def test_a_hand_back_from_before_a_restart_proves_nothing_of_the_attempt_after_it(tmp_path: Path) -> None:
    # Guards against "it has not run" about a direct order that runs, because a former hand-back is repeated.
    harness = PatientHarness(tmp_path)
    harness.engine.policy.estimates.run_ms[:] = [10.0] * 3
    job = harness.submit("k", "order")
    hand_back(harness, job)
    harness.clock.advance(3000.0)  # a direct job is sent to its only worker again
    assert harness.sent_jobs() == [job, job]
    harness.crash()
    assert harness.workers.ambiguous_outcomes[job] == {Outcome.REJECTED}


def test_a_job_sent_again_after_a_restart_is_not_ended_by_a_failure_of_before(tmp_path: Path) -> None:
    # Guards against a failure of the first attempt that is taken for one of the second.
    harness = RestartHarness(tmp_path)
    job = harness.submit("k", "view")
    harness.crash()
    harness.clock.advance(200.0)
    harness.workers.abandoned.pop(job)()
    harness.clock.advance(500.0)
    (attempt,) = harness.workers.sent_attempts
    failures = {Outcome.ERROR, Outcome.REJECTED, Outcome.RESET}
    assert attempt.request.ambiguous_outcomes("w0") == failures
