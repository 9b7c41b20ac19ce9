"""Which Consul agent is asked and believed, what instances mean, and the last good lists on disk."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebestack.consul.agents import Agents, AgentSettings, Reply, Verdict
from grebestack.consul.instances import Entries, Reading, networks_of
from grebestack.consul.source import Asking, Token
from grebestack.core.api import WorkerEntry, WorkerState
from grebestack.protocol.snapshot import SnapshotError, load_lists, save_lists
from grebestack.routing.worker_table import WorkerEndpoint

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))
OPTIONS = {"zones": ["a", "b"], "models": ["m1", "m2"]}


def agents(*addresses: tuple[str, int], **changes: Any) -> Agents:
    return Agents(AgentSettings(addresses or (A, B, C), **changes), Random(1))


def test_the_next_agent_is_asked_when_one_fails_and_a_rested_one_again() -> None:
    a = agents(A, B)
    assert a.pick(0.0) == (0, 0.0)
    a.failed(0.0, 0, "no connection")
    assert a.pick(0.0)[0] == 1
    assert a.answered(1.0, 1, Reply(200, 7)) is Verdict.TAKEN
    assert (a.pick(1.0), a.index) == ((1, 51.0), 7)  # it stays, and is not hurried
    a.failed(60.0, 1, "the connection broke")
    number, at = a.pick(60.0)
    assert number == 0 and a.index == 0 and at <= 60.0 + 8000.0


def test_an_agent_that_lags_is_not_believed_until_the_index_is_reset() -> None:
    # Guards against servers that are gone and come back by an agent that was cut off.
    a = agents(A, B, reset_ms=5000.0)
    assert a.answered(0.0, 0, Reply(200, 100)) is Verdict.TAKEN
    a.failed(10.0, 0, "reset")
    assert a.answered(20.0, 1, Reply(200, 90)) is Verdict.OLD
    assert a.answered(1000.0, 0, Reply(200, 101)) is Verdict.TAKEN
    # The same agent goes back: its state was restored, and it is believed.
    assert a.answered(2000.0, 0, Reply(200, 5)) is Verdict.TAKEN and a.index == 0
    assert a.answered(2100.0, 0, Reply(200, 6)) is Verdict.TAKEN and a.index == 6
    a.failed(2200.0, 0, "gone for good")
    assert a.answered(2300.0, 1, Reply(200, 3)) is Verdict.OLD
    assert a.answered(7400.0, 1, Reply(200, 4)) is Verdict.TAKEN


@pytest.mark.parametrize(
    ("reply", "why"),
    [
        (Reply(500), "status 500"),
        (Reply(200, 7, known_leader=False), "it knows no leader"),
        (Reply(200, 7, last_contact_ms=3000.0), "it is 3000 ms behind"),
    ],
)
def test_what_is_no_answer(reply: Reply, why: str) -> None:
    a = agents(A, B, most_stale_ms=2000.0)
    assert a.answered(0.0, 0, reply) is Verdict.FAILED
    assert a.agents[0].why == why and a.pick(0.0)[0] == 1 and not a.known


def test_an_agent_says_itself_when_to_come_back() -> None:
    a = agents(A)
    a.answered(0.0, 0, Reply(429, retry_after_ms=5000.0))
    number, at = a.pick(0.0)
    assert number == 0 and 5000.0 <= at <= 5250.0


def test_a_herd_spreads_over_the_window() -> None:
    times = []
    for seed in range(50):
        a = Agents(AgentSettings((A,)), Random(seed))
        for _ in range(6):
            a.failed(0.0, 0, "restart")
        times.append(a.pick(0.0)[1])
    assert min(times) < 1600.0 and max(times) > 6400.0
    assert max(sum(at <= t < at + 800.0 for t in times) for at in times) <= 15


@given(st.lists(st.tuples(st.sampled_from(["ok", "fail"]), st.integers(1, 50)), max_size=40))
def test_some_agent_is_always_asked_again_soon(steps: list[tuple[str, int]]) -> None:
    a, now, taken = agents(), 0.0, 0
    for what, index in steps:
        number, at = a.pick(now)
        assert now <= at <= now + 8000.0
        now = at + 1.0
        if what == "fail":
            a.failed(now, number, "x")
            assert a.index == 0
            continue
        before = (a.newest, a.newest_of)
        verdict = a.answered(now, number, Reply(200, index))
        if verdict is Verdict.OLD:
            assert index < before[0] and number != before[1]
        else:
            taken += 1
            assert a.newest == index
    assert a.known == (taken > 0)


def line(**changes: Any) -> bytes:
    service = {
        "ID": "s-1",
        "Service": "job",
        "Address": "",
        "Port": 80,
        "Meta": {"zone": "b", "cell": "3"},
        "Weights": {"Passing": 10, "Warning": 2},
        "TaggedAddresses": {"wan": {"Address": "198.51.100.7", "Port": 81}},
    }
    tagged = {"lan": "10.0.0.1", "wan": "2001:db8::1"}
    raw: dict[str, Any] = {
        "Node": {"Node": "n", "Address": "10.0.0.1", "TaggedAddresses": tagged},
        "Service": service | changes.pop("service", {}),
        "Checks": [{"CheckID": "serfHealth", "Status": "passing"}, *changes.pop("checks", [])],
    }
    return json.dumps(raw | changes).encode()


def read(raw: bytes, **reading: Any) -> WorkerEndpoint:
    server = Entries(OPTIONS, Reading(**reading)).read(raw, True)
    assert server is not None
    return server


def check(status: str, name: str = "app", **more: str) -> dict[str, str]:
    return {"CheckID": name, "Name": name, "Status": status} | more


def test_an_instance_is_read_with_its_place_weight_and_addresses() -> None:
    server = read(line())
    entry = server.entry
    assert (entry.worker, entry.zone, entry.cell, entry.weight) == ("s-1", 1, 3, 10)
    assert server.address == ("10.0.0.1", 80)
    assert read(line(), prefer="wan").address == ("198.51.100.7", 81)
    assert read(line(service={"TaggedAddresses": None}), prefer="wan").address == ("2001:db8::1", 80)
    assert read(line(service={"Address": "::1", "Meta": None, "Weights": None})).address == ("::1", 80)


def test_which_checks_decide_and_what_a_warning_means() -> None:
    critical = read(line(checks=[check("critical", "disk")]))
    assert critical.entry.state is WorkerState.DRAINING and critical.reason == "check disk is critical"
    assert read(line(checks=[check("critical", "disk")]), checks=frozenset({"app"})).reason == ""
    warned = line(checks=[check("warning")])
    assert read(warned).entry.weight == 10
    assert read(warned, warning="reduced").entry.weight == 2
    drained = read(warned, warning="drain")
    assert drained.entry.state is WorkerState.DRAINING and not drained.reason


@pytest.mark.parametrize("name", ["_node_maintenance", "_service_maintenance:s-1"])
def test_maintenance_drains_whatever_checks_decide(name: str) -> None:
    server = read(line(checks=[check("critical", name)]), checks=frozenset({"app"}))
    assert server.entry.state is WorkerState.DRAINING and not server.reason


def test_a_server_outside_the_networks_is_never_one(caplog: pytest.LogCaptureFixture) -> None:
    entries = Entries(OPTIONS, Reading(networks=networks_of(["10.0.0.0/8", "fd00::/8"])))
    assert entries.read(line(), True) is not None
    for address in ("192.0.2.1", "2001:db8::1", "metadata.internal"):
        assert entries.read(line(service={"Address": address}), True) is None
    assert [record.message for record in caplog.records] == ["server_outside"]  # told once
    assert entries.read(line(service={"Address": "fd00::1"}), True) is not None
    with pytest.raises(ValueError, match="'10.0.0.0/99' is no network"):
        networks_of(["10.0.0.0/99"])


@pytest.mark.parametrize("raw", [b"{}", b'{"Node":{},"Service":{"ID":1,"Port":2}}', line(Checks=3)])
def test_a_line_that_cannot_be_read_is_an_error(raw: bytes) -> None:
    with pytest.raises(msgspec.ValidationError):
        Entries(OPTIONS, Reading()).read(raw, True)


def test_a_query_says_what_the_file_says() -> None:
    asking = Asking("a b", 0.5, "dc1", "ns", "", ("x", "y"), 'Meta.a == "1"', "stale")
    assert asking.path("health", 7) == (
        "/v1/health/service/a%20b?dc=dc1&ns=ns&filter=Meta.a%20%3D%3D%20%221%22&tag=x&tag=y&index=7&wait=500ms"
        "&stale"
    )
    assert Asking("a").path("catalog", 0) == "/v1/catalog/service/a"


def test_a_token_is_read_again_when_it_changes_and_kept_while_it_is_gone(tmp_path: Path) -> None:
    file = tmp_path / "token"
    file.write_text("one\n")
    token = Token(str(file))
    assert token() == "one"
    file.write_text("second")
    assert token() == "second"
    file.unlink()
    assert token() == "second"
    assert Token("")() == ""


def test_lists_on_disk_are_whole_or_refused(tmp_path: Path) -> None:
    path = str(tmp_path / "servers.json")
    assert load_lists(path) == {}
    servers = [
        WorkerEndpoint(WorkerEntry("s-1", 1, 0, 2, WorkerState.DRAINING, 3.0), ("::1", 80), reason="check c")
    ]
    save_lists(path, {"consul job": (123.0, servers)})
    assert load_lists(path) == {"consul job": (123.0, servers)}
    whole = Path(path).read_text()
    for torn in (whole[: len(whole) // 2], whole.replace("s-1", "s-2"), "{}", "[]", "\x00"):
        Path(path).write_text(torn)
        with pytest.raises(SnapshotError):
            load_lists(path)
