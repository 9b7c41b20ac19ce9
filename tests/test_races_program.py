"""Races in a whole process: signals, starts, stops and descriptors; see docs/crossings.md."""

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

from tests.standins import PLATFORM_CONFIG, DispatcherTestbed, send_request, wait_until
from tests.test_program import job


def start_by_pipe(testbed: DispatcherTestbed, **options: Any) -> tuple[subprocess.Popen[bytes], Path]:
    """Start a dispatcher that reads its configuration from a pipe, and so waits until it is written."""
    pipe = testbed.folder / "config"
    os.mkfifo(pipe)
    environ = {
        "RELAY_NAME": "n0",
        "RELAY_CONFIG": str(pipe),
        "RELAY_LISTEN": f"127.0.0.1:{testbed.client_address[1]}",
        "RELAY_DISCOVERY": f"127.0.0.1:{testbed.discovery.address[1]}",
    }
    process = subprocess.Popen([sys.executable, "-m", "grebestack"], env=os.environ | environ, **options)
    testbed.processes.append(process)
    return process, pipe


def test_a_sighup_during_the_start_rereads_the_configuration_and_ends_nothing(tmp_path: Path) -> None:
    """SIGHUP ended a process that was just starting. Here it arrives while the configuration is read."""
    testbed, other = DispatcherTestbed(tmp_path), DispatcherTestbed(tmp_path)
    try:
        testbed.add_worker("s-old")
        worker = other.add_worker("s-new")
        other.client_address = testbed.client_address
        process, pipe = start_by_pipe(testbed)
        with pipe.open("w") as out:  # returns once the process has opened it for reading
            process.send_signal(signal.SIGHUP)
            time.sleep(0.1)  # time for the signal to end the process, if it does
            json.dump(PLATFORM_CONFIG, out)
            pipe.unlink()  # the process reads again, and changes to the other discovery address
            moved = {"discovery": f"127.0.0.1:{other.discovery.address[1]}"}
            pipe.write_text(json.dumps(PLATFORM_CONFIG | moved))
        wait_until(lambda: testbed.is_ready() and other.discovery.watch_count > 0)
        assert process.poll() is None

        def served() -> bool:
            return (
                send_request(
                    testbed.client_address, "POST", "/api", b"", job(os.urandom(4).hex(), "reading")
                )[0]
                == 200
            )

        wait_until(lambda: served() and len(worker.jobs) > 0)
    finally:
        testbed.close()
        other.close()


@pytest.mark.parametrize("silent", [False, True])
def test_a_repeated_stop_with_sighups_leaves_no_request_unanswered(
    testbed: DispatcherTestbed, silent: bool
) -> None:
    """Also while discovery is down; with an idle client, an incomplete request and a running job."""
    worker = testbed.add_worker("s-1", 0.6)
    front = testbed.start()
    assert send_request(front, "POST", "/api", b"", job("first", "reading"))[0] == 200
    testbed.discovery.paused = silent
    idle, incomplete = socket.create_connection(front, 30), socket.create_connection(front, 30)
    idle.sendall(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
    assert idle.recv(4096).startswith(b"HTTP/1.1 200")
    incomplete.sendall(b"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: half\r\nX-Call-Class: reading\r\n")
    running = testbed.in_background(
        lambda: send_request(front, "POST", "/api", b"", job("running", "reading"))
    )
    wait_until(lambda: len(worker.jobs) == 2)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
        testbed.process.send_signal(number)
    incomplete.sendall(b"Idempotency-Key: half\r\nContent-Length: 4\r\n\r\nbody")
    assert incomplete.recv(4096).startswith(b"HTTP/1.1 200")
    assert running()[0] == 200
    idle.sendall(
        b"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: late\r\nX-Call-Class: reading\r\n"
        b"Idempotency-Key: late\r\nContent-Length: 0\r\n\r\n"
    )
    try:
        response = idle.recv(4096)
    except ConnectionError:
        response = b""
    assert response == b"" or response.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
    assert testbed.process.wait(30) == 0
    run_ids = [j.headers["x-call-id"] for j in worker.jobs]
    assert len(run_ids) == len(set(run_ids)) and (
        response.startswith(b"HTTP/1.1 200") or "late" not in run_ids
    )


def test_a_stop_during_the_start_ends_it(tmp_path: Path) -> None:
    testbed = DispatcherTestbed(tmp_path)
    try:
        testbed.discovery.paused = True
        process, pipe = start_by_pipe(testbed, stderr=subprocess.PIPE)
        with pipe.open("w") as out:
            json.dump(PLATFORM_CONFIG, out)
        wait_until(lambda: listens(testbed))
        process.send_signal(signal.SIGTERM)  # without a list: it is not ready yet, or only just
        _, log = process.communicate(timeout=30)
        assert process.returncode == 0 and b"Traceback" not in log
    finally:
        testbed.close()


def listens(testbed: DispatcherTestbed) -> bool:
    try:
        socket.create_connection(testbed.client_address, 1).close()
    except OSError:
        return False
    return True


def test_a_start_with_a_long_list_and_a_silent_agent_is_ready_within_ten_seconds(
    testbed: DispatcherTestbed,
) -> None:
    testbed.discovery.paused = True
    targets = [
        {"uid": f"s-{n}", "endpoint": f"127.0.0.1:{n + 1}", "az": "here", "model": "c8", "state": "Ready"}
        for n in range(1024)
    ]
    testbed.initial_list = {"rev": 9, "all": True, "targets": targets}
    started_at = time.monotonic()
    testbed.start()
    assert time.monotonic() - started_at < 10.0


def test_idle_clients_that_use_all_descriptors_block_neither_the_watch_nor_worker_connections(
    testbed: DispatcherTestbed,
) -> None:
    """While discovery is down; once it is back, the list arrives and a job is served."""
    worker = testbed.add_worker("s-1")
    front = testbed.start()
    resource.prlimit(testbed.process.pid, resource.RLIMIT_NOFILE, (256, 256))
    assert send_request(front, "POST", "/api", b"", job("before", "reading"))[0] == 200
    testbed.discovery.paused = True
    clients: list[socket.socket] = []
    watches = testbed.discovery.watch_count
    try:
        for _ in range(3):
            for _ in range(300):
                client = socket.socket()
                client.setblocking(False)
                client.connect_ex(front)
                clients.append(client)
            time.sleep(0.05)
        wait_until(lambda: testbed.discovery.watch_count > watches)  # it goes on opening watches
        new_worker = testbed.add_worker("s-2")
        testbed.set_state(worker, "Terminating")
        testbed.discovery.paused = False
        wait_until(lambda: testbed.discovery.sent_revision == testbed.discovery.revision)

        def served() -> bool:
            try:
                return send_request(front, "POST", "/api", b"", job(os.urandom(4).hex(), "reading"))[0] == 200
            except OSError:
                return False

        wait_until(served)
        wait_until(lambda: served() and len(new_worker.jobs) > 0)
        assert len(os.listdir(f"/proc/{testbed.process.pid}/fd")) <= 256
    finally:
        for client in clients:
            client.close()
