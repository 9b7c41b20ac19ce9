"""The operator's console, run as a command against a running dispatcher."""

from __future__ import annotations

import json
import shutil
import subprocess
import sys

from tests.ports import reserved_port
from tests.standins import DispatcherTestbed, wait_until


def console(testbed: DispatcherTestbed, *words: str) -> subprocess.CompletedProcess[str]:
    at = f"{testbed.drmaa_address[0]}:{testbed.drmaa_address[1]}"
    command = [sys.executable, "-m", "grebestack", "console", "--at", at, *words]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


def test_an_operator_sees_submits_cancels_and_drains(testbed: DispatcherTestbed) -> None:
    worker, other = testbed.add_worker("s-1"), testbed.add_worker("s-2")
    testbed.start_from_operator_file()
    result = console(testbed, "submit", "order", "500 l", "--wait")
    assert (result.returncode, "jobState: DONE" in result.stdout) == (0, True), result.stderr
    status = json.loads(console(testbed, "--json", "status").stdout)
    assert (status["ready_servers"], status["jobs"]) == (2, {"DONE": 1})
    assert "DONE" in console(testbed, "jobs", "--state", "DONE").stdout

    for uid in ("s-1", "s-2"):
        assert console(testbed, "drain", uid).returncode == 0
    listing = console(testbed, "servers").stdout
    assert listing.count("draining") == 2
    run_count = len(worker.jobs) + len(other.jobs)
    answer = json.loads(console(testbed, "--json", "submit", "order").stdout)
    assert console(testbed, "cancel", answer["jobId"]).returncode == 0
    again = console(testbed, "cancel", answer["jobId"])
    assert (again.returncode, again.stderr.count("\n")) == (1, 1)
    assert "INVALID_STATE" in again.stderr
    assert console(testbed, "wait", answer["jobId"]).returncode == 5
    assert len(worker.jobs) + len(other.jobs) == run_count

    # A drain lasts across a restart, until it is ended.
    testbed.kill()
    testbed.start_from_operator_file()
    wait_until(lambda: console(testbed, "servers").stdout.count("draining") == 2)
    assert console(testbed, "drain", "s-2", "--undo").returncode == 0
    assert console(testbed, "submit", "order", "--wait").returncode == 0


def test_errors_are_one_line_and_an_exit_code(testbed: DispatcherTestbed) -> None:
    testbed.add_worker("s-1", seconds=60.0)  # so that the job stays open during the next calls
    testbed.start_from_operator_file(settings="most_open = 1")
    assert console(testbed, "drain", "nobody").returncode == 1
    assert console(testbed, "submit", "nothing").returncode == 1
    assert console(testbed, "job", "nothing").returncode == 1
    assert console(testbed, "unheard-of").returncode == 2
    assert console(testbed, "submit", "order").returncode == 0
    rejected = console(testbed, "submit", "order")
    assert (rejected.returncode, "TRY_LATER" in rejected.stderr) == (4, True)
    testbed.drmaa_address = ("127.0.0.1", reserved_port())
    unreachable = console(testbed, "status")
    assert (unreachable.returncode, unreachable.stderr.count("\n")) == (3, 1)


def test_the_console_shows_the_cluster_and_the_lease_holders_of_its_tasks(testbed: DispatcherTestbed) -> None:
    folder, collector = testbed.folder / "fleet", reserved_port()
    settings = (
        f'[fleet]\nterm_s = 1.0\n[fleet.members]\ngrebestack = "127.0.0.1:{reserved_port()}"\n'
        f'[fleet.tallies]\ncollector = "127.0.0.1:{collector}"\n'
    )
    testbed.start_from_operator_file()
    assert console(testbed, "fleet").returncode == 1  # it is a member of no cluster
    testbed.kill()
    testbed.start_from_operator_file(settings=settings)  # not bootstrapped: nobody could admit it
    wait_until(lambda: "asks to be admitted" in console(testbed, "fleet").stdout)
    testbed.kill()
    shutil.rmtree(folder)
    bootstrap = [
        sys.executable,
        "-m",
        "grebestack",
        "form",
        "--config",
        str(testbed.folder / "appliance.toml"),
    ]
    assert subprocess.run(bootstrap, timeout=60, check=False, stdout=subprocess.DEVNULL).returncode == 0
    again = subprocess.run(bootstrap, timeout=60, check=False, capture_output=True, text=True)
    assert (again.returncode, "holds records of a member already" in again.stdout) == (2, True)
    testbed.start_from_operator_file(settings=settings)
    wait_until(lambda: "grebestack  1" in console(testbed, "fleet", "leases").stdout)
    fleet = json.loads(console(testbed, "--json", "fleet").stdout)
    assert fleet["configuration"] == []
    assert fleet["majority_heard"] and fleet["members"][0]["state"] == "votes"
