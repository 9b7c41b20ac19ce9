"""Choice of the Consul agent, use of its replies, reading of instances, and snapshots of worker lists."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebestack.consul.agents import AgentSelector, AgentSettings, ReplyHeaders, ReplyResult
from grebestack.consul.instances import InstanceReader, ReaderOptions, parse_networks
from grebestack.consul.source import ServiceQuery, TokenFile
from grebestack.core.api import WorkerEntry, WorkerState
from grebestack.protocol.snapshot import SnapshotError, load_lists, save_lists
from grebestack.routing.worker_table import WorkerEndpoint

A, B, C = (("127.0.0.1", port) for port in (1, 2, 3))
OPTIONS = {"zones": ["a", "b"], "models": ["m1", "m2"]}


def selector(*addresses: tuple[str, int], **changes: Any) -> AgentSelector:
    return AgentSelector(AgentSettings(addresses or (A, B, C), **changes), Random(1))


def test_the_next_agent_is_queried_after_a_failure_and_the_failed_one_after_its_backoff() -> None:
    s = selector(A, B)
    assert s.select(0.0) == (0, 0.0)
    s.on_failure(0.0, 0, "no connection")
    assert s.select(0.0)[0] == 1
    assert s.on_reply(1.0, 1, ReplyHeaders(200, 7)) is ReplyResult.NEW_LIST
    assert (s.select(1.0), s.wait_index) == ((1, 51.0), 7)  # the same agent, after the minimum interval
    s.on_failure(60.0, 1, "the connection broke")
    number, at = s.select(60.0)
    assert number == 0 and s.wait_index == 0 and at <= 60.0 + 8000.0


def test_a_lagging_agents_list_is_not_used_unless_the_index_was_reset() -> None:
    # An agent that was cut off would bring back workers that are gone.
    s = selector(A, B, index_reset_ms=5000.0)
    assert s.on_reply(0.0, 0, ReplyHeaders(200, 100)) is ReplyResult.NEW_LIST
    s.on_failure(10.0, 0, "reset")
    assert s.on_reply(20.0, 1, ReplyHeaders(200, 90)) is ReplyResult.OUTDATED
    assert s.on_reply(1000.0, 0, ReplyHeaders(200, 101)) is ReplyResult.NEW_LIST
    # A lower index from the same agent means that its state was restored: the list is used.
    assert s.on_reply(2000.0, 0, ReplyHeaders(200, 5)) is ReplyResult.NEW_LIST and s.wait_index == 0
    assert s.on_reply(2100.0, 0, ReplyHeaders(200, 6)) is ReplyResult.NEW_LIST and s.wait_index == 6
    s.on_failure(2200.0, 0, "gone for good")
    assert s.on_reply(2300.0, 1, ReplyHeaders(200, 3)) is ReplyResult.OUTDATED
    assert s.on_reply(7400.0, 1, ReplyHeaders(200, 4)) is ReplyResult.NEW_LIST


@pytest.mark.parametrize(
    ("reply", "reason"),
    [
        (ReplyHeaders(500), "status 500"),
        (ReplyHeaders(200, 7, has_known_leader=False), "the agent knows no leader"),
        (ReplyHeaders(200, 7, last_contact_ms=3000.0), "the agent is 3000 ms behind"),
    ],
)
def test_replies_that_count_as_failures(reply: ReplyHeaders, reason: str) -> None:
    s = selector(A, B, max_stale_ms=2000.0)
    assert s.on_reply(0.0, 0, reply) is ReplyResult.FAILED
    assert s.agents[0].failure_reason == reason and s.select(0.0)[0] == 1 and not s.has_list


def test_retry_after_delays_the_next_query() -> None:
    s = selector(A)
    s.on_reply(0.0, 0, ReplyHeaders(429, retry_after_ms=5000.0))
    number, at = s.select(0.0)
    assert number == 0 and 5000.0 <= at <= 5250.0


def test_the_queries_of_many_watchers_are_spread_after_a_restart() -> None:
    times = []
    for seed in range(50):
        s = AgentSelector(AgentSettings((A,)), Random(seed))
        for _ in range(6):
            s.on_failure(0.0, 0, "restart")
        times.append(s.select(0.0)[1])
    assert min(times) < 1600.0 and max(times) > 6400.0
    assert max(sum(at <= t < at + 800.0 for t in times) for at in times) <= 15


@given(st.lists(st.tuples(st.sampled_from(["ok", "fail"]), st.integers(1, 50)), max_size=40))
def test_an_agent_is_always_queried_within_the_maximum_backoff(steps: list[tuple[str, int]]) -> None:
    s, now, used = selector(), 0.0, 0
    for what, index in steps:
        number, at = s.select(now)
        assert now <= at <= now + 8000.0
        now = at + 1.0
        if what == "fail":
            s.on_failure(now, number, "x")
            assert s.wait_index == 0
            continue
        before = (s.newest_index, s.newest_agent)
        result = s.on_reply(now, number, ReplyHeaders(200, index))
        if result is ReplyResult.OUTDATED:
            assert index < before[0] and number != before[1]
        else:
            used += 1
            assert s.newest_index == index
    assert s.has_list == (used > 0)


def health_entry(**changes: Any) -> bytes:
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


def read(raw: bytes, **options: Any) -> WorkerEndpoint:
    worker = InstanceReader(OPTIONS, ReaderOptions(**options)).read(raw, True)
    assert worker is not None
    return worker


def check(status: str, name: str = "app", **more: str) -> dict[str, str]:
    return {"CheckID": name, "Name": name, "Status": status} | more


def test_an_instance_is_read_with_its_zone_cell_weight_and_addresses() -> None:
    worker = read(health_entry())
    entry = worker.entry
    assert (entry.worker, entry.zone, entry.cell, entry.weight) == ("s-1", 1, 3, 10)
    assert worker.address == ("10.0.0.1", 80)
    assert read(health_entry(), address_tag="wan").address == ("198.51.100.7", 81)
    assert read(health_entry(service={"TaggedAddresses": None}), address_tag="wan").address == (
        "2001:db8::1",
        80,
    )
    assert read(health_entry(service={"Address": "::1", "Meta": None, "Weights": None})).address == (
        "::1",
        80,
    )


def test_which_checks_decide_and_what_a_warning_means() -> None:
    critical = read(health_entry(checks=[check("critical", "disk")]))
    assert critical.entry.state is WorkerState.DRAINING and critical.reason == "check disk is critical"
    assert (
        read(health_entry(checks=[check("critical", "disk")]), deciding_checks=frozenset({"app"})).reason
        == ""
    )
    warned = health_entry(checks=[check("warning")])
    assert read(warned).entry.weight == 10
    assert read(warned, on_warning="reduced").entry.weight == 2
    drained = read(warned, on_warning="drain")
    assert drained.entry.state is WorkerState.DRAINING and not drained.reason


@pytest.mark.parametrize("name", ["_node_maintenance", "_service_maintenance:s-1"])
def test_maintenance_drains_whichever_checks_decide(name: str) -> None:
    worker = read(health_entry(checks=[check("critical", name)]), deciding_checks=frozenset({"app"}))
    assert worker.entry.state is WorkerState.DRAINING and not worker.reason


def test_a_worker_outside_the_allowed_networks_is_left_out(caplog: pytest.LogCaptureFixture) -> None:
    reader = InstanceReader(
        OPTIONS, ReaderOptions(allowed_networks=parse_networks(["10.0.0.0/8", "fd00::/8"]))
    )
    assert reader.read(health_entry(), True) is not None
    for address in ("192.0.2.1", "2001:db8::1", "metadata.internal"):
        assert reader.read(health_entry(service={"Address": address}), True) is None
    assert [record.message for record in caplog.records] == ["server_outside"]  # logged once
    assert reader.read(health_entry(service={"Address": "fd00::1"}), True) is not None
    with pytest.raises(ValueError, match="'10.0.0.0/99' is no network"):
        parse_networks(["10.0.0.0/99"])


@pytest.mark.parametrize("raw", [b"{}", b'{"Node":{},"Service":{"ID":1,"Port":2}}', health_entry(Checks=3)])
def test_a_malformed_entry_is_an_error(raw: bytes) -> None:
    with pytest.raises(msgspec.ValidationError):
        InstanceReader(OPTIONS, ReaderOptions()).read(raw, True)


def test_a_query_has_the_parameters_of_the_file() -> None:
    query = ServiceQuery("a b", 0.5, "dc1", "ns", "", ("x", "y"), 'Meta.a == "1"', "stale")
    assert query.path("health", 7) == (
        "/v1/health/service/a%20b?dc=dc1&ns=ns&filter=Meta.a%20%3D%3D%20%221%22&tag=x&tag=y&index=7&wait=500ms"
        "&stale"
    )
    assert ServiceQuery("a").path("catalog", 0) == "/v1/catalog/service/a"


def test_a_token_is_read_again_when_its_file_changes_and_kept_while_it_is_missing(tmp_path: Path) -> None:
    file = tmp_path / "token"
    file.write_text("one\n")
    token = TokenFile(str(file))
    assert token() == "one"
    file.write_text("second")
    assert token() == "second"
    file.unlink()
    assert token() == "second"
    assert TokenFile("")() == ""


def test_a_snapshot_is_refused_if_it_is_damaged(tmp_path: Path) -> None:
    path = str(tmp_path / "servers.json")
    assert load_lists(path) == {}
    workers = [
        WorkerEndpoint(WorkerEntry("s-1", 1, 0, 2, WorkerState.DRAINING, 3.0), ("::1", 80), reason="check c")
    ]
    save_lists(path, {"consul job": (123.0, workers)})
    assert load_lists(path) == {"consul job": (123.0, workers)}
    whole = Path(path).read_text()
    for damaged in (whole[: len(whole) // 2], whole.replace("s-1", "s-2"), "{}", "[]", "\x00"):
        Path(path).write_text(damaged)
        with pytest.raises(SnapshotError):
            load_lists(path)
