"""The operators' door: lines in pieces, bad callers, bans and drains of a running dispatcher."""

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
from tests.standins import World, call, say, wait_until

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


@given(line=LINES, end=st.sampled_from([b"\n", b"\r\n"]), more=st.binary(max_size=9), chance=st.randoms())
def test_a_line_is_the_same_call_however_it_is_cut(
    line: bytes, end: bytes, more: bytes, chance: random.Random
) -> None:
    whole, reader, got = line + end + more, commands.LineReader(), list[Any]()
    while whole:
        size = chance.randint(1, len(whole))
        if (result := reader.feed(whole[:size])) is not None:
            got.append(result)
        whole = whole[size:]
        assert len(reader.rest) <= commands.MAX_LINE_BYTES + 1
    assert len(got) == 1 and reader.feed_eof() is None
    if len(line) > commands.MAX_LINE_BYTES:
        assert got[0] == commands.CommandResponse(False, "the line is longer than 256 bytes")
    else:
        assert got[0] == commands.parse(line)


@pytest.mark.parametrize(
    "line, says",
    [
        (b"", "empty"),
        (b"reboot", "unknown call 'reboot'"),
        (b"cordon", "cordon takes one ID, not 0"),
        (b"cordon a b", "takes one ID, not 2"),
        (b"resume now", "resume takes no ID"),
        (b"\xff", "not ASCII"),
    ],
)
def test_a_failure_names_what_was_wrong_and_what_is_allowed(line: bytes, says: str) -> None:
    answer = commands.parse(line)
    assert isinstance(answer, commands.CommandResponse) and answer.line.startswith(b"FAILURE ")
    assert says in answer.text and "cordon ID" in answer.text


def test_no_word_of_any_list_lifts_a_ban() -> None:
    table = WorkerTable()

    def listed(kind: ListKind, *states: tuple[str, WorkerState]) -> None:
        table.update(
            kind, [WorkerEndpoint(WorkerEntry(name, state=state), ("h", 1)) for name, state in states]
        )

    listed(ListKind.FULL, ("a", WorkerState.READY), ("b", WorkerState.READY))
    with pytest.raises(KeyError):
        table.set_cordoned("never", True)
    table.set_cordoned("a", True)
    for kind in ListKind.FULL, ListKind.CHANGES, ListKind.CACHED:
        listed(kind, ("a", WorkerState.READY))
        assert not table.accepts_work("a")
    listed(ListKind.FULL, ("b", WorkerState.READY))  # gone, and it comes again
    table.set_cordoned("a", True)
    listed(ListKind.CHANGES, ("a", WorkerState.READY))
    assert not table.accepts_work("a") and table.accepts_work("b")
    told: list[bool] = []
    table.on_change = lambda kind, entries: told.extend(entry.put_back for entry in entries)
    table.set_cordoned("a", False)
    listed(ListKind.CHANGES, ("a", WorkerState.READY))
    assert table.accepts_work("a") and told == [True, False]


@given(
    st.lists(st.tuples(st.sampled_from(["finish_start", "quiesce", "resume", "stop"]), st.floats(0, 3000)))
)
def test_never_ready_while_quiesced_and_a_stop_wins(steps: list[tuple[str, float]]) -> None:
    life, now, started, quiesced, stopped, since = Lifecycle(), 0.0, False, False, False, 0.0
    for what, wait in steps:
        now += wait
        if what == "quiesce" and not quiesced:
            since = now
        result = getattr(life, what)(now)
        started, stopped = started or what == "finish_start", stopped or what == "stop"
        quiesced = what == "quiesce" or (quiesced and what != "resume")
        assert what != "resume" or result is not stopped
        assert life.is_ready is (started and not quiesced and not stopped)
        if quiesced and not stopped:
            assert life.client_handling(since + QUIESCE_KEEP_MS - 1)[0] is ClientHandling.KEEP
            assert life.client_handling(since + QUIESCE_KEEP_MS)[0] is ClientHandling.DRAIN
            assert life.client_handling(since + QUIESCE_DRAIN_MS)[0] is ClientHandling.REJECT
        elif not stopped:
            assert life.client_handling(now) == (ClientHandling.KEEP, float("inf"))
    assert (life.stage is Stage.STOPPING) is stopped


def test_bad_callers_delay_nobody(world: World) -> None:
    world.runner("s-1")
    world.start()
    door = world.door
    silent = [socket.create_connection(door, 30) for _ in range(40)]
    for n, caller in enumerate(silent):
        caller.sendall((b"cordon s-1", b"", b"x" * 300, os.urandom(8).replace(b"\n", b"") + b"\n")[n % 4])
    assert say(door, "health") == "SUCCESS ready\n"
    assert say(door, "health\nquiesce\n" + "x" * 100_000).startswith("SUCCESS")
    assert say(door, "nonsense\r").startswith("FAILURE unknown call 'nonsense'")
    with socket.create_connection(door, 30) as half:
        half.sendall(b"cordon s-1")
        half.shutdown(socket.SHUT_WR)
        assert half.makefile().read() == "FAILURE the line 'cordon s-1' has no end\n"
    for caller in silent:
        caller.close()
    assert call(world.front, "POST", "/api", b"", {"X-Call-Id": "a", "X-Call-Class": "order"})[0] == 200


def test_a_call_from_the_command_line(world: World) -> None:
    world.start()
    door = f"127.0.0.1:{world.door[1]}"
    for words, code, says in (
        ([door, "health"], 0, "SUCCESS ready"),
        ([door, "cordon", "nobody"], 1, "FAILURE 'nobody'"),
        (["nowhere", "health"], 2, "is no HOST:PORT"),
        ([f"127.0.0.1:{reserved_port()}", "health"], 3, "refused"),
    ):
        command = [sys.executable, "-m", "grebestack", "say", *words]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        assert (result.returncode, says in result.stdout) == (code, True), result


def test_a_cordoned_runner_gets_nothing_until_the_call_back(world: World) -> None:
    one, two = world.runner("s-1"), world.runner("s-2")
    front = world.start()
    job = {"X-Call-Class": "order", "X-Call-Id": "x"}
    assert say(world.door, "cordon nobody").startswith("FAILURE 'nobody' was never listed")
    for _ in range(2):
        assert say(world.door, "cordon s-1") == "SUCCESS s-1 is left out\n"
    world.set_state(two, "Ready")  # the whole list comes again
    wait_until(lambda: world.discovery.told == world.discovery.rev)
    for n in range(6):
        assert call(front, "POST", "/api", b"", job | {"X-Call-Id": f"c{n}"})[0] == 200
    assert (len(one.jobs), len(two.jobs)) == (0, 6)
    assert say(world.door, "uncordon s-1") == say(world.door, "uncordon s-1") == "SUCCESS s-1 is used again\n"
    assert say(world.door, "cordon s-2").startswith("SUCCESS")
    assert call(front, "POST", "/api", b"", job)[0] == 200 and len(one.jobs) == 1


def test_a_quiesced_dispatcher_leads_its_clients_out_and_comes_back(world: World) -> None:
    runner = world.runner("s-1", seconds=2.5)
    front = world.start()
    idle = http.client.HTTPConnection(*front, timeout=30)
    runner.seconds, late = 0.0, {"X-Call-Class": "order", "X-Call-Id": "late"}
    idle.request("POST", "/api", b"", late | {"X-Call-Id": "first"})
    idle.getresponse().read()
    runner.seconds = 2.5
    busy = world.in_background(lambda: call(front, "POST", "/api", b"", late | {"X-Call-Id": "busy"}))
    wait_until(lambda: len(runner.jobs) == 2)
    assert say(world.door, "quiesce") == "SUCCESS quiesced\n"
    assert call(front, "GET", "/health/ready", b"", {})[0] == 503
    assert say(world.door, "health") == "FAILURE not ready: quiesced\n"
    assert idle.sock.recv(1) == b""  # closed by the dispatcher
    wait_until(lambda: call(front, "POST", "/api", b"", late | {"X-Call-Class": "none"})[0] == 400)
    told = time.monotonic()
    while (answer := call(front, "POST", "/api", b"", late | {"X-Budget": "0.05"}))[0] != 503 or (
        "retry-after" not in answer[1]
    ):
        assert time.monotonic() < told + 20
    assert busy()[0] == 200
    assert say(world.door, "resume") == "SUCCESS serving\n"
    assert call(front, "GET", "/health/ready", b"", {})[0] == 200
    runner.seconds = 0.0
    idle.close()
    idle.request("POST", "/api", b"", late | {"X-Call-Id": "again"})
    assert idle.getresponse().read() == b"result of again"
