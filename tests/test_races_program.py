"""Two events that cross in a whole process: signals, starts, stops and descriptors; see docs/crossings.md."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from tests.standins import CONFIG, World, call, wait_until
from tests.test_program import job


def start_by_pipe(world: World, **more: Any) -> tuple[subprocess.Popen[bytes], Path]:
    """Start a dispatcher that reads its configuration from a pipe: it waits there until all is written."""
    pipe = world.folder / "config"
    os.mkfifo(pipe)
    environ = {
        "RELAY_NAME": "n0",
        "RELAY_CONFIG": str(pipe),
        "RELAY_LISTEN": f"127.0.0.1:{world.front[1]}",
        "RELAY_DISCOVERY": f"127.0.0.1:{world.discovery.address[1]}",
    }
    process = subprocess.Popen([sys.executable, "-m", "grebestack"], env=os.environ | environ, **more)
    world.processes.append(process)
    return process, pipe


def test_a_sighup_during_the_start_rereads_the_configuration_and_ends_nothing(tmp_path: Path) -> None:
    """SIGHUP ended a process that was just starting. Here it comes while the configuration is being read."""
    world, other = World(tmp_path), World(tmp_path)
    try:
        world.runner("s-old")
        runner = other.runner("s-new")
        other.front = world.front
        process, pipe = start_by_pipe(world)
        with pipe.open("w") as out:  # opened once the process reads
            process.send_signal(signal.SIGHUP)
            time.sleep(0.1)  # it makes no difference to a process that is still there
            json.dump(CONFIG, out)
            pipe.unlink()  # it reads again, and moves
            moved = {"discovery": f"127.0.0.1:{other.discovery.address[1]}"}
            pipe.write_text(json.dumps(CONFIG | moved))
        wait_until(lambda: world.ready() and other.discovery.watches > 0)
        assert process.poll() is None

        def served() -> bool:
            return call(world.front, "POST", "/api", b"", job(os.urandom(4).hex(), "reading"))[0] == 200

        wait_until(lambda: served() and len(runner.jobs) > 0)
    finally:
        world.close()
        other.close()


@pytest.mark.parametrize("silent", [False, True])
def test_a_repeated_stop_with_sighups_leaves_no_request_unanswered(world: World, silent: bool) -> None:
    """Also while discovery is down; with a client that rests, one that has sent half, and a job that runs."""
    runner = world.runner("s-1", 0.6)
    front = world.start()
    assert call(front, "POST", "/api", b"", job("first", "reading"))[0] == 200
    world.discovery.mute = silent
    resting, half = socket.create_connection(front, 30), socket.create_connection(front, 30)
    resting.sendall(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
    assert resting.recv(4096).startswith(b"HTTP/1.1 200")
    half.sendall(b"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: half\r\nX-Call-Class: reading\r\n")
    running = world.in_background(lambda: call(front, "POST", "/api", b"", job("running", "reading")))
    wait_until(lambda: len(runner.jobs) == 2)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
        world.process.send_signal(number)
    half.sendall(b"Idempotency-Key: half\r\nContent-Length: 4\r\n\r\nbody")
    assert half.recv(4096).startswith(b"HTTP/1.1 200")
    assert running()[0] == 200
    resting.sendall(
        b"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: late\r\nX-Call-Class: reading\r\n"
        b"Idempotency-Key: late\r\nContent-Length: 0\r\n\r\n"
    )
    try:
        heard = resting.recv(4096)
    except ConnectionError:
        heard = b""
    assert heard == b"" or heard.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
    assert world.process.wait(30) == 0
    ran = [j.headers["x-call-id"] for j in runner.jobs]
    assert len(ran) == len(set(ran)) and (heard.startswith(b"HTTP/1.1 200") or "late" not in ran)


def test_a_stop_during_the_start_ends_it(tmp_path: Path) -> None:
    world = World(tmp_path)
    try:
        world.discovery.mute = True
        process, pipe = start_by_pipe(world, stderr=subprocess.PIPE)
        with pipe.open("w") as out:
            json.dump(CONFIG, out)
        wait_until(lambda: listens(world))
        process.send_signal(signal.SIGTERM)  # the list has not come: it is not ready yet, or only just
        _, log = process.communicate(timeout=30)
        assert process.returncode == 0 and b"Traceback" not in log
    finally:
        world.close()


def listens(world: World) -> bool:
    try:
        socket.create_connection(world.front, 1).close()
    except OSError:
        return False
    return True


def test_a_start_with_a_long_list_and_a_silent_agent_is_ready_within_ten_seconds(world: World) -> None:
    world.discovery.mute = True
    targets = [
        {"uid": f"s-{n}", "endpoint": f"127.0.0.1:{n + 1}", "az": "here", "model": "c8", "state": "Ready"}
        for n in range(1024)
    ]
    world.known = {"rev": 9, "all": True, "targets": targets}
    began = time.monotonic()
    world.start()
    assert time.monotonic() - began < 10.0


def test_idle_clients_that_use_all_descriptors_block_neither_the_watch_nor_worker_connections(
    world: World,
) -> None:
    """While discovery is down; at its return the list is heard and a job is served."""
    runner = world.runner("s-1")
    front = world.start()
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (256, 256))
    assert call(front, "POST", "/api", b"", job("before", "reading"))[0] == 200
    world.discovery.mute = True
    crowd: list[socket.socket] = []
    watches = world.discovery.watches
    try:
        for _ in range(3):
            for _ in range(300):
                one = socket.socket()
                one.setblocking(False)
                one.connect_ex(front)
                crowd.append(one)
            time.sleep(0.05)
        wait_until(lambda: world.discovery.watches > watches)  # it asks on
        new = world.runner("s-2")
        world.set_state(runner, "Terminating")
        world.discovery.mute = False
        wait_until(lambda: world.discovery.told == world.discovery.rev)

        def served() -> bool:
            try:
                return call(front, "POST", "/api", b"", job(os.urandom(4).hex(), "reading"))[0] == 200
            except OSError:
                return False

        wait_until(served)
        wait_until(lambda: served() and len(new.jobs) > 0)
        assert len(os.listdir(f"/proc/{world.process.pid}/fd")) <= 256
    finally:
        for one in crowd:
            one.close()
