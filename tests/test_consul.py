"""Consul as a source of workers, against a stand-in written from its public specification."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest

from tests.standins import DispatcherTestbed, StandIn, WorkerStandIn, send_request, wait_until
from tests.test_console import console
from tests.test_drmaa import Client


class Consul(StandIn):
    """A Consul agent that answers blocking queries for one service, by the health and the catalogue API."""

    def __init__(self, testbed: DispatcherTestbed) -> None:
        self.testbed, self.index = testbed, 7
        self.status: dict[str, str] = {}  # of each worker's check; "passing" by default
        self.unresponsive = self.truncates = False
        self.forbidden = self.stopped = False
        self.queries: list[dict[str, list[str]]] = []
        self.changed = threading.Condition()
        super().__init__()

    def change(self, index: int | None = None) -> None:
        with self.changed:
            self.index = self.index + 1 if index is None else index
            self.changed.notify_all()

    def kill(self) -> None:
        """Stop as a killed agent does: connections end, and new ones are refused."""
        self.stopped = True
        self.close()

    def instance(self, runner: WorkerStandIn, is_health: bool) -> dict[str, Any]:
        host, port = runner.address
        if not is_health:
            return {
                "Node": "n",
                "Address": host,
                "ServiceID": runner.uid,
                "ServicePort": port,
                "ServiceAddress": "",
                "ServiceMeta": {"zone": "here"},
                "ServiceWeights": {"Passing": 1},
            }
        checks = [{"CheckID": "serfHealth", "Status": "passing"}]
        checks.append({"CheckID": "c", "Status": self.status.get(runner.uid, "passing")})
        service = {"ID": runner.uid, "Service": "job-runner", "Address": "", "Port": port, "Meta": None}
        return {"Node": {"Node": "n", "Address": host}, "Service": service, "Checks": checks}

    def handle(self, http: Any, body: bytes) -> None:
        url = urlsplit(http.path)
        query = parse_qs(url.query)
        is_health = url.path == "/v1/health/service/job-runner"
        if not is_health and url.path != "/v1/catalog/service/job-runner":
            http.reply(404)
            return
        if is_health and self.forbidden:
            http.reply(403, b"Permission denied")
            return
        self.queries.append(query)
        until = time.monotonic() + 2.0
        with self.changed:
            index = int(query.get("index", ["0"])[0])
            while self.unresponsive or (index == self.index and time.monotonic() < until):
                self.changed.wait(0.05)
                if self.testbed.closed or self.stopped:
                    http.close_connection = True
                    return
        instances = [self.instance(runner, is_health) for runner in self.testbed.workers]
        data = json.dumps(instances).encode()
        http.reply(200, data[:-7] if self.truncates else data, X_Consul_Index=str(self.index))


@pytest.fixture
def consul(testbed: DispatcherTestbed) -> Consul:
    testbed.worker_source = agent = Consul(testbed)
    return agent


def worker_states(testbed: DispatcherTestbed) -> dict[str, str]:
    status, _, text = send_request(testbed.drmaa_address, "GET", "/console/servers", b"", {})
    assert status == 200
    return {row["server"]: row["state"] for row in json.loads(text)}


def test_jobs_go_to_instances_that_pass_their_checks(testbed: DispatcherTestbed, consul: Consul) -> None:
    good, bad = testbed.add_worker("s-1"), testbed.add_worker("s-2")
    consul.status["s-2"] = "critical"
    testbed.start_from_operator_file("consul")
    client = Client(testbed)
    assert client.wait(client.run("k1"))[1]["jobState"] == "DONE"
    assert (len(good.jobs), len(bad.jobs)) == (1, 0)
    # A worker that turns critical gets no new work; one whose checks pass again does.
    consul.status = {"s-1": "critical"}
    consul.change()
    wait_until(lambda: worker_states(testbed) == {"s-1": "critical", "s-2": "ready"})
    rows = {row["server"]: row for row in json.loads(console(testbed, "--json", "servers").stdout)}
    assert "check c is critical" in rows["s-1"]["reason"]
    assert client.wait(client.run("k2"))[1]["allocatedMachines"] == ["s-2"]


def test_an_index_that_goes_back_is_used_for_the_next_query(
    testbed: DispatcherTestbed, consul: Consul
) -> None:
    testbed.add_worker("s-1")
    testbed.start_from_operator_file("consul")
    wait_until(lambda: any("index" in query for query in consul.queries))
    consul.status["s-1"] = "critical"
    consul.change(index=3)
    wait_until(lambda: worker_states(testbed) == {"s-1": "critical"})
    wait_until(lambda: any(query.get("index") == ["3"] for query in consul.queries))


def test_missing_and_truncated_responses_leave_the_worker_table_unchanged(
    testbed: DispatcherTestbed, consul: Consul, tmp_path: Path
) -> None:
    # While Consul fails, its workers must not be taken for gone.
    testbed.add_worker("s-1")
    testbed.start_from_operator_file("consul", consul_wait="wait_s = 0.2")
    wait_until(lambda: worker_states(testbed) == {"s-1": "ready"})
    consul.truncates = True
    consul.change()
    wait_until(lambda: len(consul.queries) > 3)
    assert worker_states(testbed) == {"s-1": "ready"}
    consul.truncates, consul.unresponsive = False, True
    before = len(consul.queries)
    wait_until(lambda: len(consul.queries) > before + 1, 40)  # another query came, on another connection
    assert worker_states(testbed) == {"s-1": "ready"}
    testbed.workers.clear()
    consul.unresponsive = False
    consul.change()
    # An empty list may come from a faulty catalogue: it is held back until the operator accepts it.
    wait_until(lambda: worker_states(testbed) == {"s-1": "suspect"}, 40)
    shown = json.loads(console(testbed, "--json", "membership").stdout)
    (source,) = shown["sources"]
    assert source["held_back"] == ["s-1"] and "held back" in shown["servers"][0]["reason"]
    assert console(testbed, "accept", "nobody").returncode == 1
    assert console(testbed, "accept", source["source"]).returncode == 0
    assert worker_states(testbed) == {}


def test_the_catalogue_is_queried_if_the_health_api_is_forbidden(
    testbed: DispatcherTestbed, consul: Consul
) -> None:
    consul.forbidden = True
    testbed.add_worker("s-1")
    testbed.start_from_operator_file("consul")
    wait_until(lambda: worker_states(testbed) == {"s-1": "ready"})
    client = Client(testbed)
    assert client.wait(client.run("k1"))[1]["jobState"] == "DONE"


def test_another_agent_is_queried_and_the_last_list_is_used_after_a_restart_without_any(
    testbed: DispatcherTestbed, consul: Consul
) -> None:
    runner = testbed.add_worker("s-1", seconds=0.05)
    second = Consul(testbed)
    more = f"""addresses = ["127.0.0.1:{consul.address[1]}", "127.0.0.1:{second.address[1]}"]
snapshot = "servers.json"
wait_s = 0.5"""
    testbed.start_from_operator_file("consul", consul_wait=more)
    client = Client(testbed)
    assert client.wait(client.run("k1"))[1]["jobState"] == "DONE"
    wait_until(lambda: (testbed.folder / "servers.json").exists())
    assert not second.queries
    second.index = 9
    consul.kill()
    wait_until(lambda: bool(second.queries), 40)
    second.status["s-1"] = "critical"
    second.change()
    wait_until(lambda: worker_states(testbed) == {"s-1": "critical"}, 40)
    second.status.clear()
    second.change()
    wait_until(lambda: worker_states(testbed) == {"s-1": "ready"}, 40)
    second.kill()
    testbed.kill()
    testbed.start_from_operator_file("consul", consul_wait=more)
    assert worker_states(testbed) == {"s-1": "suspect"}
    shown = console(testbed, "membership").stdout
    assert "its cached report is used" in shown
    assert client.wait(client.run("k2"))[1]["jobState"] == "DONE"
    assert len(runner.jobs) == 2
    # A damaged snapshot is refused.
    testbed.kill()
    (testbed.folder / "servers.json").write_text("{")
    testbed.start_from_operator_file("consul", consul_wait=more)
    assert worker_states(testbed) == {}


def test_a_critical_worker_finishes_its_jobs_and_gets_no_more(
    testbed: DispatcherTestbed, consul: Consul
) -> None:
    slow, other = testbed.add_worker("s-1", seconds=1.5), testbed.add_worker("s-2", seconds=0.05)
    consul.status["s-2"] = "critical"
    testbed.start_from_operator_file("consul")
    client = Client(testbed)
    first_jobs = [client.run(f"h{n}") for n in range(1)]
    wait_until(lambda: len(slow.jobs) == 1)
    consul.status = {"s-1": "critical"}
    consul.change()
    wait_until(lambda: worker_states(testbed) == {"s-1": "critical", "s-2": "ready"})
    later_jobs = [client.run(f"l{n}") for n in range(5)]
    assert {client.wait(job)[1]["allocatedMachines"][0] for job in later_jobs} == {"s-2"}
    assert client.wait(first_jobs[0])[1]["allocatedMachines"] == ["s-1"]
    assert len(slow.jobs) == 1 and set(testbed.job_runs.counts.values()) == {1}
    assert len(other.jobs) == 5


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ('networks = ["10.0.0.0/99"]', "networks: '10.0.0.0/99' is no network"),
        ('warning = "ignore"', "warning must be one of full reduced drain, not 'ignore'"),
        ('consistency = "stale"', "needs max_stale_s"),
        ("wait_s = -1", "wait_s must be a number from 0.05 to 600, not -1"),
        ('services = "a"', "services must be a list of words, not 'a'"),
        ('servicez = ["a"]', "unknown key 'servicez'"),
    ],
)
def test_an_invalid_value_in_the_file_is_named_with_what_is_allowed(
    testbed: DispatcherTestbed, consul: Consul, line: str, message: str, capfd: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(AssertionError, match="the dispatcher has ended"):
        testbed.start_from_operator_file("consul", consul_wait=line)
    assert message in capfd.readouterr().err
