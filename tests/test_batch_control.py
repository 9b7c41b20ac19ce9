"""Operations on all jobs of a batch, over turns of the loop and over a kill."""

from __future__ import annotations

from pathlib import Path

import pytest

from grebestack.jobs.batch_control import JOBS_PER_TURN, BatchOperation
from grebestack.jobs.records import Batch, JobState
from tests.test_jobs import JobServiceHarness

JOBS = 4 * JOBS_PER_TURN


@pytest.fixture
def harness(tmp_path: Path) -> JobServiceHarness:
    return JobServiceHarness(tmp_path)


def submit_unsent(harness: JobServiceHarness) -> Batch:
    """Submit an array while no worker takes jobs."""
    harness.drain(True)
    batch = harness.submit_batch("k", JOBS)
    assert isinstance(batch, Batch)
    return batch


def test_a_terminated_array_stays_so_over_a_kill(harness: JobServiceHarness) -> None:
    # Guards against orders that are sent after a restart though the cancel of their array was accepted.
    batch = submit_unsent(harness)
    harness.service.batch_control.start(batch.id, BatchOperation.TERMINATE)
    assert len(harness.ended_jobs) == JOBS_PER_TURN
    harness.crash()
    harness.clock.advance(1000.0)
    assert not harness.workers.sent_attempts
    assert harness.store.batch_state_counts(batch.id) == {JobState.FAILED: JOBS}
    annotations = {harness.state(name) for name, _, _ in harness.store.batch_members(batch.id)}
    assert annotations == {JobState.FAILED} and not harness.store.batch_operations()


def test_a_held_array_stays_so_over_a_kill_and_its_release_too(harness: JobServiceHarness) -> None:
    # Guards against orders that are sent after a restart though the hold of their array was accepted.
    batch = submit_unsent(harness)
    harness.service.batch_control.start(batch.id, BatchOperation.HOLD)
    harness.crash()
    harness.clock.advance(1000.0)
    assert not harness.workers.sent_attempts
    assert harness.store.batch_state_counts(batch.id) == {JobState.QUEUED_HELD: JOBS}
    harness.drain(True)
    harness.service.batch_control.start(batch.id, BatchOperation.RELEASE)
    harness.crash()
    harness.drain(True)
    harness.clock.advance(1000.0)
    assert JobState.QUEUED_HELD not in harness.store.batch_state_counts(batch.id)
    assert not harness.store.batch_operations()


def test_no_job_of_an_array_is_let_in_while_it_is_being_terminated(harness: JobServiceHarness) -> None:
    # Guards against orders that begin after the answer to the cancel, as it has not reached them yet.
    batch = harness.submit_batch("k", JOBS, 1)
    assert isinstance(batch, Batch)
    harness.clock.advance(10.0)
    (first,) = harness.sent_jobs()
    harness.service.batch_control.start(batch.id, BatchOperation.TERMINATE)
    harness.end(first)
    harness.clock.advance(1000.0)
    assert harness.sent_jobs() == [first]
    assert harness.store.batch_state_counts(batch.id) == {JobState.DONE: 1, JobState.FAILED: JOBS - 1}


def test_an_operation_goes_on_once_the_disk_has_room_again(harness: JobServiceHarness) -> None:
    # Guards against a cancel that ends half way because the store fails once.
    batch = submit_unsent(harness)
    harness.service.batch_control.start(batch.id, BatchOperation.TERMINATE)
    harness.store.disk_full = True
    harness.clock.advance(100.0)
    harness.store.disk_full = False
    harness.clock.advance(5000.0)
    assert len(harness.ended_jobs) == JOBS
