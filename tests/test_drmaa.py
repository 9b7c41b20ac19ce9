"""The DRMAA2 API over sockets, with stand-in workers: a job has one final state, and none runs twice."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from tests.standins import DispatcherTestbed, send_request, wait_until

ORDER = {"jobCategory": "order", "args": ["500 l"]}


class Client:
    """A client that submits jobs and polls their state."""

    def __init__(self, testbed: DispatcherTestbed) -> None:
        self.testbed = testbed
        self.headers: dict[str, str] = {}

    def request(self, method: str, path: str, body: Any = None, **headers: str) -> tuple[int, Any]:
        data = b"" if body is None else json.dumps(body).encode()
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        status, self.headers, text = send_request(
            self.testbed.drmaa_address, method, f"/drmaa2/jobs{path}", data, sent
        )
        return status, json.loads(text) if text else None

    def run(self, key: str, template: Any = ORDER) -> str:
        status, answer = self.request("POST", "", template, Idempotency_Key=key)
        assert status in (200, 201), answer
        job: str = answer["jobId"]
        return job

    def state(self, job: str) -> str:
        state: str = self.request("GET", f"/{job}/state")[1]["jobState"]
        return state

    def wait(self, job: str, timeout: float = 30.0) -> tuple[int, Any]:
        return self.request("POST", f"/{job}/waitTerminated", {"timeout": timeout})


@pytest.fixture
def client(testbed: DispatcherTestbed) -> Client:
    return Client(testbed)


def test_a_job_runs_once_and_its_key_returns_the_same_job(testbed: DispatcherTestbed, client: Client) -> None:
    worker = testbed.add_worker("s-1", seconds=0.2)
    testbed.start_from_operator_file()
    job = client.run("k1")
    assert client.run("k1") == job  # as if the first response had been lost
    status, info = client.wait(job)
    assert (status, info["jobState"], info["allocatedMachines"]) == (200, "DONE", ["s-1"])
    assert info["implementationSpecific"]["result"] == f"result of {job}"
    assert client.run("k1") == job
    assert [j.body for j in worker.jobs] == [b'{"args": ["500 l"]}']
    status, answer = client.request("POST", "", ORDER | {"jobName": "other"}, Idempotency_Key="k1")
    assert (status, answer["error"]) == (409, "INVALID_ARGUMENT")
    assert client.request("POST", f"/{job}/terminate")[1]["error"] == "INVALID_STATE"
    assert client.request("DELETE", f"/{job}")[0] == 204
    assert client.request("GET", f"/{job}")[0] == 404


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "error"),
    [
        ("POST", "", {"jobCategory": "nothing"}, 400, "INVALID_ARGUMENT"),
        ("POST", "", {"jobCategory": "order", "remoteCommand": "ls"}, 400, "UNSUPPORTED_ATTRIBUTE"),
        ("POST", "", {"jobCategory": "order", "unheardOf": 1}, 400, "INVALID_ARGUMENT"),
        ("POST", "", {"jobCategory": "order", "minSlots": True}, 400, "INVALID_ARGUMENT"),
        ("POST", "", {"jobCategory": "order", "deadlineTime": 1}, 400, "INVALID_ARGUMENT"),
        ("POST", "", [], 400, "INVALID_ARGUMENT"),
        ("POST", "/x/suspend", None, 501, "UNSUPPORTED_OPERATION"),
        ("GET", "/x/state", None, 404, "INVALID_ARGUMENT"),
        ("POST", "/x/waitTerminated", {}, 404, "INVALID_ARGUMENT"),
    ],
)
def test_errors_have_the_names_of_the_specification(
    testbed: DispatcherTestbed, client: Client, method: str, path: str, body: Any, status: int, error: str
) -> None:
    if not testbed.processes:
        testbed.start_from_operator_file()
    response = client.request(method, path, body, Idempotency_Key="k")
    assert (response[0], response[1]["error"]) == (status, error)


def test_a_submission_without_a_key_is_rejected(testbed: DispatcherTestbed, client: Client) -> None:
    # Guards against a second job from a resubmission after a lost response.
    testbed.start_from_operator_file()
    assert client.request("POST", "", ORDER)[1]["error"] == "INVALID_ARGUMENT"


def test_a_wait_ends_at_its_timeout_and_a_job_without_a_worker_at_its_deadline(
    testbed: DispatcherTestbed, client: Client
) -> None:
    testbed.start_from_operator_file()
    job = client.run("k1")
    assert client.state(job) == "QUEUED"
    assert client.wait(job, 0)[1]["error"] == "TIMEOUT"
    assert client.wait(job, 0.05)[1]["error"] == "TIMEOUT"
    info = client.wait(job)[1]
    assert info["jobState"] == "FAILED" and "has not run" in info["annotation"]
    assert "retryAfter" in info["implementationSpecific"]


def test_submissions_beyond_the_operators_limit_are_rejected(
    testbed: DispatcherTestbed, client: Client
) -> None:
    testbed.start_from_operator_file(settings="most_open = 1")
    client.run("k1")
    status, answer = client.request("POST", "", ORDER, Idempotency_Key="k2")
    assert (status, answer["error"], int(client.headers["retry-after"]) >= 1) == (503, "TRY_LATER", True)


def test_a_cancel_before_the_first_attempt_ends_the_job_at_once(
    testbed: DispatcherTestbed, client: Client
) -> None:
    testbed.start_from_operator_file()
    job = client.run("k1")
    assert client.request("POST", f"/{job}/terminate")[0] == 202
    assert client.state(job) == "FAILED"
    worker = testbed.add_worker("s-1")
    assert "not run" in client.wait(job)[1]["annotation"]
    assert not worker.jobs


@pytest.mark.parametrize("confirms", [True, False])
def test_a_cancel_while_the_job_runs(testbed: DispatcherTestbed, client: Client, confirms: bool) -> None:
    worker = testbed.add_worker("s-1", seconds=2.5)
    worker.confirms_cancel = confirms
    testbed.start_from_operator_file()
    job = client.run("k1")
    wait_until(lambda: client.state(job) == "RUNNING" and len(worker.jobs) == 1)
    assert client.request("POST", f"/{job}/terminate")[0] == 202
    info = client.wait(job)[1]
    if confirms:  # the worker confirmed the cancel before the job ended
        assert info["jobState"] == "FAILED" and "terminated" in info["annotation"]
    else:  # the worker went on, and the job ended first
        assert info["jobState"] == "DONE"
    # A late or repeated call-back changes nothing.
    assert worker.call_back(job, state="failed") in (200, 204)
    assert worker.call_back(job, state="done", result="again") in (200, 204)
    assert client.request("GET", f"/{job}")[1] == info
    assert len(worker.jobs) == 1


def test_a_job_is_known_after_a_kill_and_its_call_back_ends_it(
    testbed: DispatcherTestbed, client: Client
) -> None:
    worker = testbed.add_worker("s-1", seconds=1.5)
    testbed.start_from_operator_file()
    job = client.run("k1")
    wait_until(lambda: len(worker.jobs) == 1)
    testbed.kill()
    testbed.start_from_operator_file()
    assert client.state(job) in ("UNDETERMINED", "DONE")
    assert client.run("k1") == job
    assert client.wait(job)[1]["jobState"] == "DONE"
    assert len(worker.jobs) == 1


def test_a_job_that_may_have_run_is_never_sent_again_and_fails_at_its_deadline(
    testbed: DispatcherTestbed, client: Client
) -> None:
    worker = testbed.add_worker("s-1")
    worker.skips_callbacks = True
    testbed.start_from_operator_file()
    job = client.run("k1")
    wait_until(lambda: len(worker.jobs) == 1)
    testbed.kill()
    testbed.start_from_operator_file()
    info = client.wait(job)[1]
    assert info["jobState"] == "FAILED" and "perhaps run" in info["annotation"]
    assert len(worker.jobs) == 1


def test_a_job_that_was_never_sent_runs_after_a_restart(testbed: DispatcherTestbed, client: Client) -> None:
    testbed.start_from_operator_file()
    job = client.run("k1")
    testbed.kill()
    worker = testbed.add_worker("s-1")
    testbed.start_from_operator_file()
    assert client.wait(job)[1]["jobState"] == "DONE"
    assert len(worker.jobs) == 1


def test_a_second_dispatcher_on_the_same_store_ends_at_once(
    testbed: DispatcherTestbed, client: Client
) -> None:
    # Guards against a second process that would restore, and run, the first one's jobs.
    testbed.start_from_operator_file()
    second = subprocess.run(
        [sys.executable, "-m", "grebestack", "--config", str(testbed.folder / "appliance.toml")],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert second.returncode == 1
    assert second.stderr.splitlines()[-1] == "grebestack: database is locked"


def any_started(client: Client, jobs: list[str]) -> bool:
    return any(client.state(job) != "QUEUED" for job in jobs)


def final_states(client: Client, jobs: list[str]) -> dict[str, str]:
    return {job: client.wait(job)[1]["jobState"] for job in jobs}


def faults(testbed: DispatcherTestbed, client: Client, jobs: list[str]) -> list[Callable[[], None]]:
    """Return what disturbs running jobs: cancels, a drain, a planned restart and a kill."""

    def restart(number: int) -> None:
        testbed.process.send_signal(number)
        testbed.process.wait(30)
        testbed.start_from_operator_file()

    def cancel() -> None:
        for job in jobs[::3]:
            client.request("POST", f"/{job}/terminate")

    return [
        cancel,
        lambda: testbed.set_state(testbed.workers[0], "Terminating"),
        lambda: restart(signal.SIGKILL),
        cancel,
        lambda: restart(signal.SIGTERM),
    ]


def test_every_job_ends_in_one_state_and_none_runs_twice(testbed: DispatcherTestbed, client: Client) -> None:
    for n in range(3):
        testbed.add_worker(f"s-{n}", seconds=0.3).confirms_cancel = n == 1
    testbed.workers[2].status = 503  # rejects whatever it is sent
    testbed.start_from_operator_file()
    jobs: list[str] = []
    for step in faults(testbed, client, jobs):
        jobs += [client.run(f"key-{len(jobs) + n}") for n in range(6)]
        new_jobs = jobs[-6:]
        wait_until(partial(any_started, client, new_jobs))
        step()
        assert [client.run(f"key-{n}") for n in range(len(jobs))] == jobs
    states = final_states(client, jobs)
    assert set(states.values()) <= {"DONE", "FAILED"}
    assert "DONE" in states.values()
    assert max(testbed.job_runs.counts.values()) == 1
    run_ids = [j.headers["x-call-id"] for r in testbed.workers[:2] for j in r.jobs]
    assert len(run_ids) == len(set(run_ids))  # no job was run twice
    for job, state in states.items():  # a final state stays
        for worker in testbed.workers:
            worker.call_back(job, state="done", result="late")
        assert client.state(job) == state
