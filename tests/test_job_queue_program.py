"""Jobs that wait, over sockets: the program as an appliance, stand-in runners, kills and drains."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from tests.standins import World, call, wait_until
from tests.test_console import console
from tests.test_drmaa import ORDER, Client

ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture
def client(world: World) -> Client:
    return Client(world)


def after(*jobs: Any, **special: Any) -> dict[str, Any]:
    return ORDER | {"implementationSpecific": {"after": list(jobs), **special}}


def graph(client: Client, key: str, jobs: dict[str, Any]) -> dict[str, str]:
    status, answer = client.ask("POST", "/graph", {"jobs": jobs}, Idempotency_Key=key)
    assert status in (200, 201), answer
    ids: dict[str, str] = answer["jobs"]
    return ids


def order_of_arrival(world: World) -> list[str]:
    return [job.headers["x-call-id"] for job in world.runners[0].jobs]


def test_a_chain_runs_in_order_and_survives_a_kill_at_each_step(world: World, client: Client) -> None:
    world.runner("s-1", seconds=0.3)
    world.start_appliance()
    jobs = {"a": ORDER, "b": after("a"), "c": after("b"), "d": after("c", {"job": "a", "on": "ended"})}
    ids = graph(client, "g", jobs)
    assert "waits for job " + ids["a"] in client.ask("GET", f"/{ids['b']}")[1]["jobSubState"]
    for name in "abc":
        wait_until(lambda name=name: ids[name] in order_of_arrival(world))  # type: ignore[misc]
        world.kill()
        world.start_appliance()
        assert graph(client, "g", jobs) == ids
    states = {name: client.wait(job)[1]["jobState"] for name, job in ids.items()}
    assert set(states.values()) == {"DONE"}
    assert order_of_arrival(world) == [ids[name] for name in "abcd"]
    assert set(world.orders.runs.values()) == {1}


def test_a_failed_job_gives_each_dependant_one_answer(world: World, client: Client) -> None:
    runner = world.runner("s-1")
    runner.end = "failed"
    world.start_appliance()
    jobs = {"a": ORDER} | {f"d{n}": after(f"d{n - 1}" if n else "a") for n in range(200)}
    ids = graph(client, "g", jobs | {"sorry": after({"job": "a", "on": "failed"})})
    info = client.wait(ids["d199"])[1]
    assert info["jobState"] == "FAILED"
    assert ids["d198"] in info["annotation"] and ids["a"] in info["annotation"]
    wait_until(lambda: client.state(ids["sorry"]) == "FAILED")  # it ran, and failed of itself
    assert len(runner.jobs) == 2
    refused = client.ask("POST", "", after(ids["a"]), Idempotency_Key="late")
    assert refused[0] == 201 and client.wait(refused[1]["jobId"])[1]["jobState"] == "FAILED"


def test_a_job_that_falls_due_during_a_drain_keeps_its_place(world: World, client: Client) -> None:
    runner = world.runner("s-1")
    world.start_appliance()
    wait_until(lambda: "ready" in console(world, "servers").stdout)
    assert console(world, "drain", "s-1").returncode == 0
    soon = time.time() + 0.5
    special = {"wantedTime": 20.0}
    timed = client.run("timed", ORDER | {"startTime": soon, "implementationSpecific": special})
    time.sleep(1.0)
    younger = [client.run(f"y{n}", ORDER | {"implementationSpecific": special}) for n in range(3)]
    assert "no server takes its class" in client.ask("GET", f"/{timed}")[1]["jobSubState"]
    listed = console(world, "jobs").stdout
    assert "ready for" in listed and timed in listed
    assert not runner.jobs
    assert console(world, "drain", "s-1", "--undo").returncode == 0
    for job in [timed, *younger]:
        assert client.wait(job)[1]["jobState"] == "DONE"
    assert order_of_arrival(world)[0] == timed


def test_holds_hours_arrays_and_the_schema(world: World, client: Client) -> None:
    runner = world.runner("s-1", seconds=0.05)
    world.start_appliance()
    words = ("submit", "order", "--hold", "--priority", "50")
    held = json.loads(console(world, "--json", *words).stdout)["jobId"]
    bulk = {
        "jobTemplate": {"jobCategory": "order", "args": ["tank $PARAMETRIC_INDEX$"]},
        "beginIndex": 2,
        "endIndex": 8,
        "step": 2,
        "maxParallel": 1,
    }
    status, array = client.ask("POST", "/bulk", bulk, Idempotency_Key="arr")
    assert (status, array["size"], array["maxParallel"]) == (201, 4, 1)
    again = client.ask("POST", "/bulk", bulk, Idempotency_Key="arr")
    assert (again[0], again[1]["jobs"]) == (200, array["jobs"])
    last = client.run("last", after(array["jobArrayId"]))
    assert client.wait(last)[1]["jobState"] == "DONE"
    assert [json.loads(job.body)["args"] for job in runner.jobs[:4]] == [[f"tank {n}"] for n in (2, 4, 6, 8)]
    assert client.state(held) == "QUEUED_HELD"
    assert console(world, "release", held).returncode == 0
    assert client.wait(held)[1]["jobState"] == "DONE"
    wrong = client.ask("POST", "/bulk", bulk | {"endIndex": 1}, Idempotency_Key="k")
    assert wrong[0] == 400 and "endIndex: 1 is below beginIndex" in wrong[1]["message"]
    circle = client.ask("POST", "/graph", {"jobs": {"a": after("b"), "b": after("a")}}, Idempotency_Key="c")
    assert circle[0] == 400 and "cyclic dependency: " in circle[1]["message"]


def test_the_schema_is_served(world: World) -> None:
    world.start_appliance()
    status, _, text = call(world.drmaa, "GET", "/drmaa2/schema/jobTemplate", b"", {})
    schema = json.loads(text)
    assert status == 200
    assert {"startTime", "submitAsHold", "priority", "jobCategory"} <= set(
        schema["$defs"]["JobTemplate"]["properties"]
    )


def test_an_array_is_terminated_as_a_whole(world: World, client: Client) -> None:
    world.start_appliance()  # no runner: they wait
    status, array = client.ask(
        "POST", "/bulk", {"jobTemplate": ORDER, "endIndex": 120}, Idempotency_Key="arr"
    )
    assert status == 201

    def post(what: str) -> Any:
        where = f"/drmaa2/jobarrays/{array['jobArrayId']}{what}"
        answer = call(world.drmaa, "POST" if what else "GET", where, b"", {})
        return answer[0], json.loads(answer[2])

    assert post("/hold")[0] == 202
    wait_until(lambda: post("")[1]["states"] == {"QUEUED_HELD": 120})
    assert post("/terminate")[0] == 202
    wait_until(lambda: post("")[1]["states"] == {"FAILED": 120})


def test_a_planned_stop_does_not_wait_for_those_that_wait(world: World, client: Client) -> None:
    runner = world.runner("s-1", seconds=0.2)
    world.start_appliance()
    array = client.ask("POST", "/bulk", {"jobTemplate": ORDER, "endIndex": 300}, Idempotency_Key="arr")[1]
    wait_until(lambda: len(runner.jobs) > 3)
    world.process.send_signal(signal.SIGTERM)
    assert world.process.wait(30) == 0
    taken = len(runner.jobs)
    assert taken < 300
    world.start_appliance()
    wait_until(lambda: len(runner.jobs) > taken)
    assert client.ask("GET", f"/{array['jobs'][0]}")[1]["jobState"] == "DONE"
    sent = order_of_arrival(world)
    assert len(sent) == len(set(sent))


def test_the_example_of_a_chain_runs(world: World) -> None:
    world.runner("s-1", seconds=0.1)
    world.start_appliance()
    command = [sys.executable, str(ROOT / "examples" / "chain.py"), ":".join(map(str, world.drmaa))]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    lines = result.stdout.splitlines()
    assert [line.split()[0] for line in lines if " DONE" in line] == ["read", "plan", "drive"]
    assert any(line.startswith("call") and "FAILED" in line and "waited for" in line for line in lines)
    assert any(line.startswith("drive") and "not before" in line for line in lines)
