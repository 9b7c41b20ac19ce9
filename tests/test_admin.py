"""The admin server: split lines, misbehaving clients, cordoned workers and quiesced dispatchers."""

from __future__ import annotations

import http.client
import os
import random
import socket
import subprocess
import sys
import time
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebestack.admin import commands
from grebestack.core.api import ListKind, WorkerEntry, WorkerState
from grebestack.program.lifecycle import QUIESCE_DRAIN_MS, QUIESCE_KEEP_MS, ClientHandling, Lifecycle, Stage
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable
from tests.ports import reserved_port
from tests.standins import DispatcherTestbed, send_admin_command, send_request, wait_until

LINES = st.sampled_from(
    [
        b"health",
        b"health ",
        b"cordon s-1",
        b"cordon",
        b"cordon a b",
        b"uncordon s-1",
        b"quiesce",
        b"resume x",
        b"",
        b"\0\xff\xfe",
        b"HEALTH",
        b"GET / HTTP/1.1",
        b"cordon " + b"x" * 249,
        b"cordon " + b"x" * 250,
    ]
)


@given(
    line=LINES, end=st.sampled_from([b"\n", b"\r\n"]), rest=st.binary(max_size=9), random_sizes=st.randoms()
)
def test_a_line_gives_the_same_command_however_it_is_split(
    line: bytes, end: bytes, rest: bytes, random_sizes: random.Random
) -> None:
    data, reader, results = line + end + rest, commands.LineReader(), list[Any]()
    while data:
        size = random_sizes.randint(1, len(data))
        if (result := reader.feed(data[:size])) is not None:
            results.append(result)
        data = data[size:]
        assert len(reader.rest) <= commands.MAX_LINE_BYTES + 1
    assert len(results) == 1 and reader.feed_eof() is None
    if len(line) > commands.MAX_LINE_BYTES:
        assert results[0] == commands.CommandResponse(False, "the line is longer than 256 bytes")
    else:
        assert results[0] == commands.parse(line)


@pytest.mark.parametrize(
    "line, message",
    [
        (b"", "empty"),
        (b"reboot", "unknown call 'reboot'"),
        (b"cordon", "cordon takes one ID, not 0"),
        (b"cordon a b", "takes one ID, not 2"),
        (b"resume now", "resume takes no ID"),
        (b"\xff", "not ASCII"),
    ],
)
def test_a_failure_names_the_mistake_and_what_is_allowed(line: bytes, message: str) -> None:
    response = commands.parse(line)
    assert isinstance(response, commands.CommandResponse) and response.line.startswith(b"FAILURE ")
    assert message in response.text and "cordon ID" in response.text


def test_no_list_update_uncordons_a_worker() -> None:
    table = WorkerTable()

    def update_list(kind: ListKind, *states: tuple[str, WorkerState]) -> None:
        table.update(
            kind, [WorkerEndpoint(WorkerEntry(name, state=state), ("h", 1)) for name, state in states]
        )

    update_list(ListKind.FULL, ("a", WorkerState.READY), ("b", WorkerState.READY))
    with pytest.raises(KeyError):
        table.set_cordoned("never", True)
    table.set_cordoned("a", True)
    for kind in ListKind.FULL, ListKind.CHANGES, ListKind.CACHED:
        update_list(kind, ("a", WorkerState.READY))
        assert not table.accepts_work("a")
    update_list(ListKind.FULL, ("b", WorkerState.READY))  # removed, then listed again
    table.set_cordoned("a", True)
    update_list(ListKind.CHANGES, ("a", WorkerState.READY))
    assert not table.accepts_work("a") and table.accepts_work("b")
    reinstated: list[bool] = []
    table.on_change = lambda kind, entries: reinstated.extend(entry.put_back for entry in entries)
    table.set_cordoned("a", False)
    update_list(ListKind.CHANGES, ("a", WorkerState.READY))
    assert table.accepts_work("a") and reinstated == [True, False]


@given(
    st.lists(st.tuples(st.sampled_from(["finish_start", "quiesce", "resume", "stop"]), st.floats(0, 3000)))
)
def test_a_quiesced_dispatcher_is_never_ready_and_a_stop_takes_precedence(
    steps: list[tuple[str, float]],
) -> None:
    lifecycle, now_ms, started, quiesced, stopped, since_ms = Lifecycle(), 0.0, False, False, False, 0.0
    for step, delay_ms in steps:
        now_ms += delay_ms
        if step == "quiesce" and not quiesced:
            since_ms = now_ms
        result = getattr(lifecycle, step)(now_ms)
        started, stopped = started or step == "finish_start", stopped or step == "stop"
        quiesced = step == "quiesce" or (quiesced and step != "resume")
        assert step != "resume" or result is not stopped
        assert lifecycle.is_ready is (started and not quiesced and not stopped)
        if quiesced and not stopped:
            assert lifecycle.client_handling(since_ms + QUIESCE_KEEP_MS - 1)[0] is ClientHandling.KEEP
            assert lifecycle.client_handling(since_ms + QUIESCE_KEEP_MS)[0] is ClientHandling.DRAIN
            assert lifecycle.client_handling(since_ms + QUIESCE_DRAIN_MS)[0] is ClientHandling.REJECT
        elif not stopped:
            assert lifecycle.client_handling(now_ms) == (ClientHandling.KEEP, float("inf"))
    assert (lifecycle.stage is Stage.STOPPING) is stopped


def test_misbehaving_clients_delay_no_command(testbed: DispatcherTestbed) -> None:
    testbed.add_worker("s-1")
    testbed.start()
    admin = testbed.admin_address
    silent = [socket.create_connection(admin, 30) for _ in range(40)]
    for n, client in enumerate(silent):
        client.sendall((b"cordon s-1", b"", b"x" * 300, os.urandom(8).replace(b"\n", b"") + b"\n")[n % 4])
    assert send_admin_command(admin, "health") == "SUCCESS ready\n"
    assert send_admin_command(admin, "health\nquiesce\n" + "x" * 100_000).startswith("SUCCESS")
    assert send_admin_command(admin, "nonsense\r").startswith("FAILURE unknown call 'nonsense'")
    with socket.create_connection(admin, 30) as client:
        client.sendall(b"cordon s-1")
        client.shutdown(socket.SHUT_WR)
        assert client.makefile().read() == "FAILURE the line 'cordon s-1' has no end\n"
    for client in silent:
        client.close()
    assert (
        send_request(
            testbed.client_address, "POST", "/api", b"", {"X-Call-Id": "a", "X-Call-Class": "order"}
        )[0]
        == 200
    )


def test_a_command_from_the_command_line(testbed: DispatcherTestbed) -> None:
    testbed.start()
    admin = f"127.0.0.1:{testbed.admin_address[1]}"
    for arguments, code, message in (
        ([admin, "health"], 0, "SUCCESS ready"),
        ([admin, "cordon", "nobody"], 1, "FAILURE 'nobody'"),
        (["nowhere", "health"], 2, "is no HOST:PORT"),
        ([f"127.0.0.1:{reserved_port()}", "health"], 3, "refused"),
    ):
        command = [sys.executable, "-m", "grebestack", "say", *arguments]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        assert (result.returncode, message in result.stdout) == (code, True), result


def test_a_cordoned_worker_gets_no_jobs_until_it_is_uncordoned(testbed: DispatcherTestbed) -> None:
    first, second = testbed.add_worker("s-1"), testbed.add_worker("s-2")
    dispatcher = testbed.start()
    job = {"X-Call-Class": "order", "X-Call-Id": "x"}
    assert send_admin_command(testbed.admin_address, "cordon nobody").startswith(
        "FAILURE 'nobody' was never listed"
    )
    for _ in range(2):
        assert send_admin_command(testbed.admin_address, "cordon s-1") == "SUCCESS s-1 is left out\n"
    testbed.set_state(second, "Ready")  # sends the full list again
    wait_until(lambda: testbed.discovery.sent_revision == testbed.discovery.revision)
    for n in range(6):
        assert send_request(dispatcher, "POST", "/api", b"", job | {"X-Call-Id": f"c{n}"})[0] == 200
    assert (len(first.jobs), len(second.jobs)) == (0, 6)
    assert (
        send_admin_command(testbed.admin_address, "uncordon s-1")
        == send_admin_command(testbed.admin_address, "uncordon s-1")
        == "SUCCESS s-1 is used again\n"
    )
    assert send_admin_command(testbed.admin_address, "cordon s-2").startswith("SUCCESS")
    assert send_request(dispatcher, "POST", "/api", b"", job)[0] == 200 and len(first.jobs) == 1


def test_a_quiesced_dispatcher_closes_client_connections_and_can_resume(testbed: DispatcherTestbed) -> None:
    worker = testbed.add_worker("s-1", seconds=2.5)
    dispatcher = testbed.start()
    idle = http.client.HTTPConnection(*dispatcher, timeout=30)
    worker.job_seconds, late = 0.0, {"X-Call-Class": "order", "X-Call-Id": "late"}
    idle.request("POST", "/api", b"", late | {"X-Call-Id": "first"})
    idle.getresponse().read()
    worker.job_seconds = 2.5
    busy = testbed.in_background(
        lambda: send_request(dispatcher, "POST", "/api", b"", late | {"X-Call-Id": "busy"})
    )
    wait_until(lambda: len(worker.jobs) == 2)
    assert send_admin_command(testbed.admin_address, "quiesce") == "SUCCESS quiesced\n"
    assert send_request(dispatcher, "GET", "/health/ready", b"", {})[0] == 503
    assert send_admin_command(testbed.admin_address, "health") == "FAILURE not ready: quiesced\n"
    assert idle.sock.recv(1) == b""  # closed by the dispatcher
    wait_until(
        lambda: send_request(dispatcher, "POST", "/api", b"", late | {"X-Call-Class": "none"})[0] == 400
    )
    started_s = time.monotonic()
    while (response := send_request(dispatcher, "POST", "/api", b"", late | {"X-Budget": "0.05"}))[
        0
    ] != 503 or ("retry-after" not in response[1]):
        assert time.monotonic() < started_s + 20
    assert busy()[0] == 200
    assert send_admin_command(testbed.admin_address, "resume") == "SUCCESS serving\n"
    assert send_request(dispatcher, "GET", "/health/ready", b"", {})[0] == 200
    worker.job_seconds = 0.0
    idle.close()
    idle.request("POST", "/api", b"", late | {"X-Call-Id": "again"})
    assert idle.getresponse().read() == b"result of again"
