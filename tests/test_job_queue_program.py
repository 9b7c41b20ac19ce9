"""The job queue in the running program, over sockets: stand-in workers, kills, drains and planned stops."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from tests.standins import DispatcherTestbed, send_request, wait_until
from tests.test_console import console
from tests.test_drmaa import ORDER, Client

ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture
def client(testbed: DispatcherTestbed) -> Client:
    return Client(testbed)


def dependent_template(*jobs: Any, **extensions: Any) -> dict[str, Any]:
    return ORDER | {"implementationSpecific": {"after": list(jobs), **extensions}}


def submit_graph(client: Client, key: str, jobs: dict[str, Any]) -> dict[str, str]:
    status, response = client.request("POST", "/graph", {"jobs": jobs}, Idempotency_Key=key)
    assert status in (200, 201), response
    ids: dict[str, str] = response["jobs"]
    return ids


def arrival_order(testbed: DispatcherTestbed) -> list[str]:
    return [job.headers["x-call-id"] for job in testbed.workers[0].jobs]


def test_a_chain_runs_in_order_and_survives_a_kill_at_each_step(
    testbed: DispatcherTestbed, client: Client
) -> None:
    testbed.add_worker("s-1", seconds=0.3)
    testbed.start_from_operator_file()
    jobs = {
        "a": ORDER,
        "b": dependent_template("a"),
        "c": dependent_template("b"),
        "d": dependent_template("c", {"job": "a", "on": "ended"}),
    }
    ids = submit_graph(client, "g", jobs)
    assert "waits for job " + ids["a"] in client.request("GET", f"/{ids['b']}")[1]["jobSubState"]
    for name in "abc":
        wait_until(lambda name=name: ids[name] in arrival_order(testbed))  # type: ignore[misc]
        testbed.kill()
        testbed.start_from_operator_file()
        assert submit_graph(client, "g", jobs) == ids
    states = {name: client.wait(job)[1]["jobState"] for name, job in ids.items()}
    assert set(states.values()) == {"DONE"}
    assert arrival_order(testbed) == [ids[name] for name in "abcd"]
    assert set(testbed.job_runs.counts.values()) == {1}


def test_a_failed_job_ends_each_dependant_once(testbed: DispatcherTestbed, client: Client) -> None:
    runner = testbed.add_worker("s-1")
    runner.final_state = "failed"
    testbed.start_from_operator_file()
    jobs = {"a": ORDER} | {f"d{n}": dependent_template(f"d{n - 1}" if n else "a") for n in range(200)}
    ids = submit_graph(client, "g", jobs | {"sorry": dependent_template({"job": "a", "on": "failed"})})
    info = client.wait(ids["d199"])[1]
    assert info["jobState"] == "FAILED"
    assert ids["d198"] in info["annotation"] and ids["a"] in info["annotation"]
    # This one runs because job a failed, and then fails too.
    wait_until(lambda: client.state(ids["sorry"]) == "FAILED")
    assert len(runner.jobs) == 2
    late_response = client.request("POST", "", dependent_template(ids["a"]), Idempotency_Key="late")
    assert late_response[0] == 201 and client.wait(late_response[1]["jobId"])[1]["jobState"] == "FAILED"


def test_a_job_whose_start_time_comes_during_a_drain_keeps_its_place(
    testbed: DispatcherTestbed, client: Client
) -> None:
    runner = testbed.add_worker("s-1")
    testbed.start_from_operator_file()
    wait_until(lambda: "ready" in console(testbed, "servers").stdout)
    assert console(testbed, "drain", "s-1").returncode == 0
    start_time = time.time() + 0.5
    extensions = {"wantedTime": 20.0}
    timed_job = client.run("timed", ORDER | {"startTime": start_time, "implementationSpecific": extensions})
    time.sleep(1.0)
    younger_jobs = [client.run(f"y{n}", ORDER | {"implementationSpecific": extensions}) for n in range(3)]
    assert "no server takes its class" in client.request("GET", f"/{timed_job}")[1]["jobSubState"]
    listed = console(testbed, "jobs").stdout
    assert "ready for" in listed and timed_job in listed
    assert not runner.jobs
    assert console(testbed, "drain", "s-1", "--undo").returncode == 0
    for job in [timed_job, *younger_jobs]:
        assert client.wait(job)[1]["jobState"] == "DONE"
    assert arrival_order(testbed)[0] == timed_job


def test_holds_arrays_and_invalid_submissions(testbed: DispatcherTestbed, client: Client) -> None:
    runner = testbed.add_worker("s-1", seconds=0.05)
    testbed.start_from_operator_file()
    arguments = ("submit", "order", "--hold", "--priority", "50")
    held = json.loads(console(testbed, "--json", *arguments).stdout)["jobId"]
    bulk = {
        "jobTemplate": {"jobCategory": "order", "args": ["tank $PARAMETRIC_INDEX$"]},
        "beginIndex": 2,
        "endIndex": 8,
        "step": 2,
        "maxParallel": 1,
    }
    status, array = client.request("POST", "/bulk", bulk, Idempotency_Key="arr")
    assert (status, array["size"], array["maxParallel"]) == (201, 4, 1)
    repeated = client.request("POST", "/bulk", bulk, Idempotency_Key="arr")
    assert (repeated[0], repeated[1]["jobs"]) == (200, array["jobs"])
    last = client.run("last", dependent_template(array["jobArrayId"]))
    assert client.wait(last)[1]["jobState"] == "DONE"
    assert [json.loads(job.body)["args"] for job in runner.jobs[:4]] == [[f"tank {n}"] for n in (2, 4, 6, 8)]
    assert client.state(held) == "QUEUED_HELD"
    assert console(testbed, "release", held).returncode == 0
    assert client.wait(held)[1]["jobState"] == "DONE"
    invalid = client.request("POST", "/bulk", bulk | {"endIndex": 1}, Idempotency_Key="k")
    assert invalid[0] == 400 and "endIndex: 1 is below beginIndex" in invalid[1]["message"]
    cyclic = client.request(
        "POST",
        "/graph",
        {"jobs": {"a": dependent_template("b"), "b": dependent_template("a")}},
        Idempotency_Key="c",
    )
    assert cyclic[0] == 400 and "cyclic dependency: " in cyclic[1]["message"]


def test_the_schema_is_served(testbed: DispatcherTestbed) -> None:
    testbed.start_from_operator_file()
    status, _, text = send_request(testbed.drmaa_address, "GET", "/drmaa2/schema/jobTemplate", b"", {})
    schema = json.loads(text)
    assert status == 200
    assert {"startTime", "submitAsHold", "priority", "jobCategory"} <= set(
        schema["$defs"]["JobTemplate"]["properties"]
    )


def test_an_array_is_terminated_as_a_whole(testbed: DispatcherTestbed, client: Client) -> None:
    testbed.start_from_operator_file()  # without a worker, so that the jobs wait
    status, array = client.request(
        "POST", "/bulk", {"jobTemplate": ORDER, "endIndex": 120}, Idempotency_Key="arr"
    )
    assert status == 201

    def call_array(operation: str) -> Any:
        path = f"/drmaa2/jobarrays/{array['jobArrayId']}{operation}"
        response = send_request(testbed.drmaa_address, "POST" if operation else "GET", path, b"", {})
        return response[0], json.loads(response[2])

    assert call_array("/hold")[0] == 202
    wait_until(lambda: call_array("")[1]["states"] == {"QUEUED_HELD": 120})
    assert call_array("/terminate")[0] == 202
    wait_until(lambda: call_array("")[1]["states"] == {"FAILED": 120})


def test_a_planned_stop_does_not_wait_for_queued_jobs(testbed: DispatcherTestbed, client: Client) -> None:
    runner = testbed.add_worker("s-1", seconds=0.2)
    testbed.start_from_operator_file()
    array = client.request("POST", "/bulk", {"jobTemplate": ORDER, "endIndex": 300}, Idempotency_Key="arr")[1]
    wait_until(lambda: len(runner.jobs) > 3)
    testbed.process.send_signal(signal.SIGTERM)
    assert testbed.process.wait(30) == 0
    received = len(runner.jobs)
    assert received < 300
    testbed.start_from_operator_file()
    wait_until(lambda: len(runner.jobs) > received)
    assert client.request("GET", f"/{array['jobs'][0]}")[1]["jobState"] == "DONE"
    sent = arrival_order(testbed)
    assert len(sent) == len(set(sent))


def test_the_chain_example_runs(testbed: DispatcherTestbed) -> None:
    testbed.add_worker("s-1", seconds=0.1)
    testbed.start_from_operator_file()
    command = [sys.executable, str(ROOT / "examples" / "chain.py"), ":".join(map(str, testbed.drmaa_address))]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    lines = result.stdout.splitlines()
    assert [line.split()[0] for line in lines if " DONE" in line] == ["read", "plan", "drive"]
    assert any(line.startswith("call") and "FAILED" in line and "waited for" in line for line in lines)
    assert any(line.startswith("drive") and "not before" in line for line in lines)
