"""Worker lists that are indented, split, cut off, or have entries of which only a part can be parsed."""

from __future__ import annotations

import json
import logging
import random
from typing import Any

import pytest

from grebestack.core.api import ListKind, WorkerState
from grebestack.protocol.settings import parse_settings, warn_unknown_discovery
from grebestack.protocol.worker_list import JsonObjectReader, WorkerListReader
from grebestack.routing.worker_table import WorkerTable
from grebestack.transport.line_stream import LineStream


def entry(
    uid: object, state: object = "Ready", endpoint: object = "127.0.0.1:9000", **more: Any
) -> dict[str, Any]:
    return {"uid": uid, "endpoint": endpoint, "az": "a", "model": "m", "state": state} | more


def worker_list(*targets: Any, rev: int = 1, complete: bool = True) -> dict[str, Any]:
    return {"rev": rev, "all": complete, "targets": list(targets)}


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
@pytest.mark.parametrize("piece_size", [1, 7, 1_000_000])
def test_a_list_of_1024_workers_is_read_whatever_its_layout(indent: Any, piece_size: int) -> None:
    names = [f's-{n:04} "{{[}}' for n in range(1024 if piece_size > 1 else 40)]
    sent = [
        worker_list(*map(entry, names)),
        worker_list(entry(names[3], "Terminating"), rev=2, complete=False),
    ]
    lines = [json.dumps(message, indent=indent) + "\n" for message in sent]
    text = (lines[0] + "\n" + lines[1] + "\n").encode()
    received, heartbeats, objects = [], 0, JsonObjectReader()

    def on_line(data: bytes) -> None:
        nonlocal heartbeats
        if (raw := objects.feed_line(data)) is not None:
            received.append(raw)
        elif not objects.pending_lines:
            heartbeats += 1

    stream = LineStream(b"GET", on_line, lambda: None)
    chunks = [text[n : n + 5000] for n in range(0, len(text), 5000)]
    body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body
    for at in range(0, len(data), piece_size):
        stream.data_received(data[at : at + piece_size])
    assert received == sent and heartbeats == 2
    reader, table = WorkerListReader({"models": ["m"], "zones": ["a"]}), WorkerTable()
    for raw in received:
        _, complete, workers = reader.read_list(raw)
        table.update(ListKind.FULL if complete else ListKind.CHANGES, workers)
    assert len(table.workers) == len(names) and sum(map(table.accepts_work, names)) == len(names) - 1


def test_an_object_that_is_cut_off_or_malformed_is_reported_by_the_next_line() -> None:
    good = json.dumps(worker_list(entry("s-1"))).encode()
    for cut, after in ((good[:-9], b""), (good[:-9], good), (b'{"rev": 1,', good), (b"{", b"\r")):
        objects = JsonObjectReader()
        assert objects.feed_line(cut) is None
        with pytest.raises(ValueError):
            objects.feed_line(after)
        assert objects.feed_line(good) is not None, "the following objects are read again"
    for bad in (b"x", b"[1]", b"7", b'{"a":1}}', b"null", b"[" * 100_000 + b"]" * 100_000):
        with pytest.raises(ValueError):
            JsonObjectReader().feed_line(bad)
    assert JsonObjectReader().feed_line(b"{}") == {}


def test_no_drain_is_lost_because_of_malformed_values_beside_it(caplog: pytest.LogCaptureFixture) -> None:
    reader, table = WorkerListReader({"models": ["m"], "zones": ["a"]}), WorkerTable()

    def update(*targets: Any, complete: bool = False) -> None:
        kind = ListKind.FULL if complete else ListKind.CHANGES
        table.update(kind, reader.read_list(worker_list(*targets, complete=complete))[2])

    update(*(entry(f"s-{n}") for n in range(9)), complete=True)
    malformed: list[Any] = [None, 7, {}, []]
    malformed += [entry(None), entry(""), entry([]), entry("t-1", endpoint="nowhere")]
    for n, drain in enumerate(
        [
            entry("s-0", "Terminating", "nowhere"),
            {"uid": "s-1", "state": "Gone"},
            entry("s-2", "Terminating", capacity_hint="heavy", boot_ms={}, pod_group="x"),
            entry("s-3", "Resting"),
            {"uid": "s-4"},
            entry("s-5", None),
            entry("s-6", ["Ready"]),
        ]
    ):
        update(*malformed, drain, *malformed)
        assert not table.accepts_work(f"s-{n}"), drain
    update(entry("s-7", "Terminating"), entry("s-7"), entry("s-8"), entry("s-8", "Gone"))
    assert not table.accepts_work("s-7") and "s-8" not in table.workers and "s-1" not in table.workers
    assert table.workers["s-0"].address == ("127.0.0.1", 9000), "the jobs that it runs are still reachable"
    named = [record.__dict__["kv"]["field"] for record in caplog.records]
    assert len(named) == len(set(named))
    assert {"state", "endpoint", "entry", "uid", "capacity_hint"} <= set(named)
    update(entry("s-3"))
    assert table.accepts_work("s-3")


def test_zones_that_the_settings_do_not_name_get_different_numbers() -> None:
    reader, other = WorkerListReader({"zones": ["a", "b"]}), WorkerListReader({"zones": ["a", "b"]})
    zones = [reader.read_worker(entry("s", az=az)).entry.zone for az in ("a", "b", "c", "d", "c", None, "")]
    assert zones[:2] == [0, 1] and zones[2] == zones[4] and zones[5] == zones[6] == -1
    assert len(set(zones)) == 5  # a job that must stay in its zone may be retried only there
    assert other.read_worker(entry("s", az="d")).entry.zone == zones[3]


def test_a_list_written_by_an_operator_is_parsed_strictly() -> None:
    reader = WorkerListReader({})
    for malformed, message in (
        (entry("a", "Asleep"), "state must be one of Ready, Terminating, Gone, not 'Asleep'"),
        (entry("a", "Terminating", "nowhere"), "'nowhere' is no HOST:PORT"),
    ):
        with pytest.raises(ValueError, match=message):
            reader.read_worker(malformed, strict=True)
    assert reader.read_worker(entry("a"), strict=True).entry.state is WorkerState.READY


def test_the_reader_recovers_from_arbitrary_bytes() -> None:
    randomness, good = random.Random(3), json.dumps(worker_list(entry("s-1")), indent=1).encode().split(b"\n")
    for _ in range(300):
        objects, reader = JsonObjectReader(), WorkerListReader({})
        for _ in range(30):
            line = bytearray(randomness.choice(good))
            if line and randomness.random() < 0.5:
                line[randomness.randrange(len(line))] = randomness.randrange(256)
            try:
                if (raw := objects.feed_line(bytes(line))) is not None:
                    reader.read_list(raw)
            except ValueError:
                objects = JsonObjectReader()  # as for a new watch
        objects = JsonObjectReader()
        assert [raw for raw in map(objects.feed_line, good) if raw is not None] == [worker_list(entry("s-1"))]


def test_an_unknown_discovery_mode_counts_as_pushed(caplog: pytest.LogCaptureFixture) -> None:
    services = [{"name": "a", "aimMs": 1, "hardLimitMs": 2, "effect": "free"}]
    caplog.set_level(logging.INFO)
    for mode, polls in (("pushed", False), ("on_request", True), (None, False), ("push", False), (3, False)):
        options = {"services": services, "discovery": mode}
        assert parse_settings(options).polls_endpoint_list is polls
        warn_unknown_discovery(options)
    assert [record.__dict__["kv"]["value"] for record in caplog.records] == [None, "push", 3]
