"""Operations on a running dispatcher under load: admin commands, cordons, a drain, upgrades.

    .venv/bin/python benchmarks/operations.py [--quick] [--seed N]

Runs over sockets: the program on a listening socket that this process holds, as a platform would, simulated
workers, a simulated source of the worker list, and clients that keep their connections and never retry. The
figure `jobs_met` counts jobs whose connection was refused, reset or closed early; `jobs_lost` counts jobs
without a response.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path
from typing import Any

import uvloop
from flood import HttpConnection, QueueingWorker
from harness import percentile, print_figures

from tests.ports import reserved_port

AIMS = {
    "door_max_ms": ("<=", 1000.0),
    "door_p99_ms": ("<=", 100.0),
    "wrong_answers": ("<=", 0.0),
    "cordon_last_byte_ms": ("<=", 0.0),
    "uncordon_first_job_ms": ("<=", 5000.0),
    "quiesce_last_client_ms": ("<=", 4000.0),
    "resume_ready_ms": ("<=", 2000.0),
    "upgrade_ready_max_ms": ("<=", 6000.0),
    "jobs_met": ("<=", 0.0),
    "jobs_lost": ("<=", 0.0),
    "ran_twice": ("<=", 0.0),
}
WORKERS, RATE_PER_S, CLIENTS = 5, 60.0, 24
SETTINGS = {
    "services": [
        {"name": "order", "aimMs": 600.0, "hardLimitMs": 5000.0, "effect": "single_shot", "value": 5.0}
    ],
    "limits": {"cancel": True, "mostTries": 5, "connIdleMs": 10_000.0, "connectTimeoutMs": 1000.0},
    "rules": {"drainGraceMs": 250.0, "graceToAnswerMs": 20.0},
    "report": {"how": "inline", "fields": ["x0"]},
    "extra": {"reportX0": "free slots"},
    "zones": ["here"],
    "models": ["c4"],
    "zone": 0,
    "tickMs": 5.0,
}


class TimedQueue(deque[str]):
    """A worker's queue that records when jobs arrived."""

    def __init__(self) -> None:
        super().__init__()
        self.arrived_s: list[float] = []

    def append(self, job: str) -> None:
        self.arrived_s.append(time.monotonic())
        super().append(job)


class TimedWorker(QueueingWorker):
    """A worker that records when jobs arrived."""

    def __init__(self, uid: str, dispatcher_port: int, run_counts: Counter[str]) -> None:
        super().__init__(uid, dispatcher_port, run_counts)
        self.queue = self.timed_queue = TimedQueue()

    @property
    def arrived_s(self) -> list[float]:
        """The times at which complete jobs arrived."""
        return self.timed_queue.arrived_s


async def start_list_source(targets: list[dict[str, Any]]) -> int:
    """Serve a worker list that never changes; return the port."""
    line = json.dumps({"rev": 1, "all": True, "targets": targets}).encode() + b"\n"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            while not writer.is_closing():
                await asyncio.sleep(1.0)
                writer.write(b"1\r\n\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port: int = server.sockets[0].getsockname()[1]
    return port


async def send_command(admin_port: int, line: str) -> tuple[str, float]:
    """Send one admin command; return the response and how long it took, in milliseconds."""
    start_s = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", admin_port)
    writer.write(line.encode() + b"\n")
    response = (await reader.read()).decode()
    writer.close()
    return response, (time.monotonic() - start_s) * 1000.0


class Deployment:
    """The dispatcher's processes with its clients, its workers and the source of its worker list."""

    def __init__(self, folder: str, seed: int) -> None:
        self.folder, self.random = Path(folder), random.Random(seed)
        self.client_port, self.run_counts = reserved_port(), Counter[str]()
        self.listening_socket = socket.create_server(("127.0.0.1", self.client_port), backlog=512)
        self.workers = [TimedWorker(f"r-{n}", self.client_port, self.run_counts) for n in range(WORKERS)]
        self.processes: list[subprocess.Popen[bytes]] = []
        self.idle_connections = [HttpConnection(self.client_port) for _ in range(CLIENTS)]
        self.all_connections = list(self.idle_connections)
        self.status_counts: Counter[int] = Counter()
        self.disconnected_count = self.lost_count = self.job_count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.sends_jobs = True

    async def start_all(self) -> int:
        """Start everything but the load; return the admin port."""
        targets = [
            {
                "uid": worker.uid,
                "endpoint": f"127.0.0.1:{await worker.start()}",
                "model": "c4",
                "state": "Ready",
            }
            for worker in self.workers
        ]
        self.list_source_port = await start_list_source(targets)
        (self.folder / "config.json").write_text(
            json.dumps({"settings": SETTINGS, "seed": "5", "limits": {"sockets": 256}})
        )
        return (await self.start_process())[0]

    async def start_process(self) -> tuple[int, float]:
        """Start one more process; return its admin port and the milliseconds until it reports ready."""
        admin_port, start_s = reserved_port(), time.monotonic()
        env = {
            "RELAY_NAME": "n0",
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "RELAY_LISTEN": f"127.0.0.1:{self.client_port}",
            "RELAY_LISTEN_FD": str(self.listening_socket.fileno()),
            "RELAY_DISCOVERY": f"127.0.0.1:{self.list_source_port}",
            "RELAY_CONTROL": f"127.0.0.1:{admin_port}",
        }
        with open(self.folder / "log", "ab") as log:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "grebestack"],
                    env=os.environ | env,
                    stderr=log,
                    pass_fds=[self.listening_socket.fileno()],
                )
            )
        while time.monotonic() < start_s + 20.0:
            try:
                if (await send_command(admin_port, "health"))[0].startswith("SUCCESS"):
                    return admin_port, (time.monotonic() - start_s) * 1000.0
            except OSError:
                pass
            await asyncio.sleep(0.01)
        raise TimeoutError((self.folder / "log").read_text()[-2000:])

    async def _run_job(self) -> None:
        self.job_count += 1
        connection = (
            self.idle_connections.pop(0) if self.idle_connections else HttpConnection(self.client_port)
        )
        if connection not in self.all_connections:
            self.all_connections.append(connection)
        headers = f"X-Call-Id: j{self.job_count}\r\nX-Call-Class: order\r\nX-Budget: 5\r\n"
        try:
            async with asyncio.timeout(8.0):
                status, _ = await connection.request("POST", "/api", b"500 l", headers)
            self.status_counts[status] += 1
            self.idle_connections.append(connection)
        except TimeoutError:
            self.lost_count += 1
        except (OSError, asyncio.IncompleteReadError):
            self.disconnected_count += 1

    async def run_load(self) -> None:
        """Send jobs at random times with a constant mean rate, whatever their outcome."""
        due_s = time.monotonic()
        while True:
            due_s += self.random.expovariate(RATE_PER_S)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            if self.sends_jobs:
                task = asyncio.create_task(self._run_job())
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def wait_for_jobs(self) -> None:
        """Stop sending jobs and wait until all have ended."""
        self.sends_jobs = False
        while self.tasks:
            await asyncio.wait(self.tasks)

    def close(self) -> None:
        """Kill the processes that still run and close the listening socket."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.listening_socket.close()


async def measure_commands(deployment: Deployment, admin_port: int, seconds: float) -> dict[str, float]:
    """Send admin commands under load, beside connections that send nothing or half a line."""
    taken_ms, wrong_count, end_s = list[float](), 0, time.monotonic() + seconds
    stalled = [await asyncio.open_connection("127.0.0.1", admin_port) for _ in range(12)]
    for n, (_, writer) in enumerate(stalled):
        writer.write((b"", b"cordon r-", b"\xff\0")[n % 3])
    while time.monotonic() < end_s:
        for line, expected in (("health", "SUCCESS"), ("cordon nobody", "FAILURE"), ("nonsense", "FAILURE")):
            response, ms = await send_command(admin_port, line)
            taken_ms.append(ms)
            wrong_count += not response.startswith(expected)
        await asyncio.sleep(0.02)
    for _, writer in stalled:
        writer.close()
    return {
        "door_max_ms": max(taken_ms),
        "door_p99_ms": percentile(taken_ms, 0.99),
        "wrong_answers": float(wrong_count),
    }


async def measure_cordons(deployment: Deployment, admin_port: int, rounds: int) -> dict[str, float]:
    """Measure from `cordon` to the last job at that worker, and from `uncordon` to the first."""
    last_ms, first_ms = 0.0, 0.0
    for n in range(rounds):
        worker = deployment.workers[n % WORKERS]
        assert (await send_command(admin_port, f"cordon {worker.uid}"))[0].startswith("SUCCESS")
        success_s = time.monotonic()
        await asyncio.sleep(0.8)
        last_ms = max([last_ms, *((at - success_s) * 1000.0 for at in worker.arrived_s if at > success_s)])
        assert (await send_command(admin_port, f"uncordon {worker.uid}"))[0].startswith("SUCCESS")
        success_s = time.monotonic()
        while not any(at > success_s for at in worker.arrived_s) and time.monotonic() < success_s + 6.0:
            await asyncio.sleep(0.005)
        first_ms = max(first_ms, (time.monotonic() - success_s) * 1000.0)
    return {"cordon_last_byte_ms": last_ms, "uncordon_first_job_ms": first_ms}


async def measure_drain(deployment: Deployment, admin_port: int) -> dict[str, float]:
    """Measure from `quiesce` to the close of the last client connection, and from `resume` to ready."""
    assert (await send_command(admin_port, "quiesce"))[0].startswith("SUCCESS")
    success_s = time.monotonic()
    await asyncio.sleep(0.3)  # new connections may still reach the dispatcher for this long
    await deployment.wait_for_jobs()
    open_connections = [
        connection
        for connection in deployment.all_connections
        if connection.writer is not None and not connection.writer.is_closing()
    ]
    for connection in open_connections:
        assert connection.reader is not None
        async with asyncio.timeout(10.0):
            await connection.reader.read()
    closed_ms = (time.monotonic() - success_s) * 1000.0
    deployment.idle_connections, deployment.all_connections = [], []
    response, ms = await send_command(admin_port, "resume")
    success_s = time.monotonic()
    assert response == "SUCCESS serving\n"
    while (await HttpConnection(deployment.client_port).request("GET", "/health/ready"))[0] != 200:
        await asyncio.sleep(0.005)
    deployment.sends_jobs = True
    return {
        "quiesce_last_client_ms": closed_ms,
        "resume_ready_ms": ms + (time.monotonic() - success_s) * 1000.0,
    }


async def measure_upgrades(deployment: Deployment, rounds: int) -> dict[str, float]:
    """Let one new process after the other take over under load."""
    ready_ms, exit_ms = list[float](), list[float]()
    disconnected_before, lost_before = deployment.disconnected_count, deployment.lost_count
    for _ in range(rounds):
        old = deployment.processes[-1]
        ready_ms.append((await deployment.start_process())[1])
        old.send_signal(signal.SIGTERM)
        start_s = time.monotonic()
        while old.poll() is None:
            await asyncio.sleep(0.01)
        assert old.returncode == 0, "the old process did not exit on its own"
        exit_ms.append((time.monotonic() - start_s) * 1000.0)
        await asyncio.sleep(0.5)
    return {
        "upgrades": float(rounds),
        "upgrade_ready_max_ms": max(ready_ms),
        "old_left_max_ms": max(exit_ms),
        "jobs_met": float(deployment.disconnected_count - disconnected_before),
        "jobs_lost": float(deployment.lost_count - lost_before),
    }


async def measure(quick: bool, seed: int) -> dict[str, float]:
    """Run all measurements on one deployment."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(folder, seed)
        try:
            admin_port = await deployment.start_all()
            load_task = asyncio.create_task(deployment.run_load())
            await asyncio.sleep(1.0)
            figures = await measure_commands(deployment, admin_port, 4.0 if quick else 20.0)
            figures |= await measure_cordons(deployment, admin_port, 4 if quick else 15)
            figures |= await measure_drain(deployment, admin_port)
            await asyncio.sleep(1.0)
            figures |= await measure_upgrades(deployment, 4 if quick else 10)
            load_task.cancel()
            await deployment.wait_for_jobs()
            figures["jobs"] = float(sum(deployment.status_counts.values()))
            figures["served_share"] = deployment.status_counts[200] / max(
                1, sum(deployment.status_counts.values())
            )
            figures["ran_twice"] = float(sum(count > 1 for count in deployment.run_counts.values()))
            return figures
        finally:
            deployment.close()


def main() -> int:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description="Operations on a running dispatcher.")
    parser.add_argument("--quick", action="store_true", help="at most 45 s")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    return print_figures(uvloop.run(measure(options.quick, options.seed)), AIMS)


if __name__ == "__main__":
    sys.exit(main())
