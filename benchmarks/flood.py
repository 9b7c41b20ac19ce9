"""The overload of benchmarks/waiting.py over sockets: the program, stand-in workers, clients of both APIs.

    .venv/bin/python benchmarks/flood.py [--seconds S] [--seed N]

Everything runs on loopback and ends by itself. It prints one line of figures.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path
from typing import Any

from harness import percentile, print_figures

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from tests.ports import reserved_port  # noqa: E402

WORKERS, SLOTS, RUN_S = 4, 4, 0.25
CAPACITY_PER_S = WORKERS * SLOTS / RUN_S
OVERLOAD_FACTOR, WAITING_JOBS_SHARE = 1.5, 0.06
WANTED_TIMES_S = (2.0, 5.0, 20.0)
OBJECTIVE_S, STRETCH, DEADLINE_S, LATE_VALUE = 0.6, 2.5, 10.0, 0.3
AIMS = {"socket_stretch": ("<=", 2.0), "socket_worth_kept": (">=", 0.9)}
CONFIG_TEMPLATE = """
name = "flood"
listen = "127.0.0.1:{client_port}"
platform = true
sockets = 4096
[servers]
source = "list"
list = [{workers}]
[drmaa]
listen = "127.0.0.1:{drmaa_port}"
store = "jobs.sqlite"
[settings]
zones = ["here"]
models = ["c4"]
tickMs = 5.0
[settings.limits]
cancel = true
mostTries = 5
connectTimeoutMs = 500.0
retryAfter = true
maxRetryAfterMs = 2000.0
[settings.rules]
drainGraceMs = 250.0
[settings.report]
how = "inline"
fields = ["x0"]
[settings.extra]
reportX0 = "free slots"
classStretch = [2.5]
[[settings.services]]
name = "order"
aimMs = 600.0
hardLimitMs = 10000.0
effect = "single_shot"
value = 5.0
lateWorth = 0.3
"""


class HttpConnection:
    """A persistent connection to a local port, with one exchange at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(
        self, method: str, path: str, body: bytes = b"", headers: str = ""
    ) -> tuple[int, bytes]:
        """Send a request; return the status and body of the response."""
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        assert self.reader is not None
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        self.writer.write(head.encode() + body)
        status, answer, keep_alive = await read_message(self.reader)
        if not keep_alive:
            self.writer.close()
        return int(status.split()[1]), answer


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes, bool]:
    """Read a message; return its first line, its body and whether the connection is kept alive."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length, lower_head = 0, head.lower()
    if "content-length:" in lower_head:
        length = int(lower_head.split("content-length:")[1].split("\r\n")[0])
    return head.partition("\r\n")[0], await reader.readexactly(length), "connection: close" not in lower_head


class QueueingWorker:
    """A stand-in worker with SLOTS slots and a FIFO queue, which reports each finished job by a callback."""

    def __init__(self, uid: str, client_port: int, run_counts: Counter[str]) -> None:
        self.uid, self.client_port, self.run_counts = uid, client_port, run_counts
        self.free, self.queue = SLOTS, deque[str]()
        self.random = random.Random(uid)
        self.calls: asyncio.Queue[bytes] = asyncio.Queue()

    async def start(self) -> int:
        """Listen and return the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.tasks = [asyncio.create_task(self._call_back()) for _ in range(4)]
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", "0")))
                if head.startswith("POST"):
                    self.queue.append(fields["x-call-id"])
                    self._start_jobs()
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                else:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _start_jobs(self) -> None:
        while self.queue and self.free:
            job = self.queue.popleft()
            self.free -= 1
            self.run_counts[job] += 1
            run_time_s = min(3.0, self.random.expovariate(1.0 / RUN_S))
            asyncio.get_running_loop().call_later(run_time_s, self._end, job, run_time_s)

    def _end(self, job: str, run_time_s: float) -> None:
        self.free += 1
        message: dict[str, Any] = {
            "id": job,
            "from": self.uid,
            "state": "done",
            "result": f"{run_time_s:.4f}",
        }
        message["load"] = {"x0": self.free}
        self.calls.put_nowait(json.dumps(message).encode())
        self._start_jobs()

    async def _call_back(self) -> None:
        connection = HttpConnection(self.client_port)
        while True:
            call = await self.calls.get()
            for _ in range(10):
                try:
                    await connection.request("POST", "/callback", call)
                    break
                except (OSError, asyncio.IncompleteReadError):
                    connection = HttpConnection(self.client_port)
                    await asyncio.sleep(0.1)


class Clients:
    """Sends the orders to the client port, and waiting jobs to the DRMAA port."""

    def __init__(self, client_port: int, drmaa_port: int, seed: int) -> None:
        self.client_port, self.drmaa_port = client_port, drmaa_port
        self.order_random, self.job_random = random.Random(seed), random.Random(seed + 1)
        self.idle_connections: list[HttpConnection] = []
        self.served_value = self.order_count = self.measured_from_s = 0.0
        self.answers: Counter[int] = Counter()
        self.jobs: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def _send_order(self, number: int) -> None:
        started_at = time.monotonic()
        connection = (
            self.idle_connections.pop() if self.idle_connections else HttpConnection(self.client_port)
        )
        headers = f"X-Call-Id: o{number:x}-{self.order_random.getrandbits(32):x}\r\nX-Call-Class: order\r\n"
        try:
            status, body = await connection.request(
                "POST", "/api", b"500 l", headers + f"X-Budget: {DEADLINE_S}\r\n"
            )
        except (OSError, asyncio.IncompleteReadError):
            self.answers[0] += 1
            return
        self.idle_connections.append(connection)
        self.answers[status] += 1
        if status == 200 and started_at >= self.measured_from_s:
            in_time = time.monotonic() - started_at <= OBJECTIVE_S + STRETCH * float(body)
            self.served_value += 1.0 if in_time else LATE_VALUE

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def flood(self, seconds: float) -> None:
        """Send orders at OVERLOAD_FACTOR times the workers' capacity, whatever their outcome."""
        next_at, ends_at, number = time.monotonic(), time.monotonic() + seconds, 0
        self.measured_from_s = next_at + min(20.0, seconds / 4.0)  # the queues are still filling before this
        while next_at < ends_at:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            number += 1
            self.order_count += time.monotonic() >= self.measured_from_s
            self._start_task(self._send_order(number))
            next_at += self.order_random.expovariate(CAPACITY_PER_S * OVERLOAD_FACTOR)

    async def submit_jobs(self, seconds: float) -> None:
        """Submit waiting jobs: half depend on another job, a third have a start time."""
        connection, job_ids = HttpConnection(self.drmaa_port), list[str]()
        next_at, ends_at, number = time.monotonic(), time.monotonic() + seconds, 0
        while next_at < ends_at:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            number += 1
            wanted_s = self.job_random.choice(WANTED_TIMES_S)
            implementation_specific: dict[str, Any] = {"wantedTime": wanted_s}
            template: dict[str, Any] = {
                "jobCategory": "order",
                "implementationSpecific": implementation_specific,
            }
            if job_ids and self.job_random.random() < 0.5:
                implementation_specific["after"] = [
                    {"job": self.job_random.choice(job_ids[-50:]), "on": "ended"}
                ]
            if self.job_random.random() < 0.33:
                template["startTime"] = time.time() + self.job_random.uniform(0.0, 20.0)
            key = f"Idempotency-Key: w{number}\r\n"
            status, body = await connection.request(
                "POST", "/drmaa2/jobs", json.dumps(template).encode(), key
            )
            assert status == 201, body
            job = json.loads(body)["jobId"]
            self.jobs[job] = wanted_s
            job_ids.append(job)
            next_at += self.job_random.expovariate(CAPACITY_PER_S * WAITING_JOBS_SHARE)

    async def wait_for_jobs(self) -> list[dict[str, Any]]:
        """Wait for all submitted jobs and return their job infos."""
        if self.tasks:
            await asyncio.wait(self.tasks)
        connection, infos = HttpConnection(self.drmaa_port), []
        for job in self.jobs:
            await connection.request("POST", f"/drmaa2/jobs/{job}/waitTerminated", b'{"timeout": 120}')
            infos.append(json.loads((await connection.request("GET", f"/drmaa2/jobs/{job}"))[1]))
        return infos


async def wait_until_ready(client_port: int) -> None:
    """Wait until the program accepts jobs."""
    for _ in range(500):
        try:
            if (await HttpConnection(client_port).request("GET", "/health/ready"))[0] == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)
    raise TimeoutError("the program is not ready")


async def run_flood(seconds: float, seed: int, waiting: bool) -> dict[str, float]:
    """Start the program, run one flood against it and return the figures."""
    client_port, drmaa_port, run_counts = reserved_port(), reserved_port(), Counter[str]()
    workers = []
    for n in range(WORKERS):
        port = await QueueingWorker(f"r-{n}", client_port, run_counts).start()
        location = f'endpoint = "127.0.0.1:{port}", az = "here", model = "c4"'
        workers.append(f'{{ uid = "r-{n}", {location}, state = "Ready" }}')
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder) / "flood.toml"
        config_path.write_text(
            CONFIG_TEMPLATE.format(client_port=client_port, drmaa_port=drmaa_port, workers=", ".join(workers))
        )
        command = [sys.executable, "-m", "grebestack", "--config", str(config_path), "--log-level", "warning"]
        process = await asyncio.create_subprocess_exec(*command)
        try:
            await wait_until_ready(client_port)
            clients = Clients(client_port, drmaa_port, seed)
            loads = [clients.flood(seconds)] + ([clients.submit_jobs(seconds)] if waiting else [])
            await asyncio.gather(*loads)
            infos = await clients.wait_for_jobs()
            status = json.loads((await HttpConnection(drmaa_port).request("GET", "/console/status"))[1])
            with open(f"/proc/{process.pid}/status") as status_file:
                peak_kb = next(int(line.split()[1]) for line in status_file if line.startswith("VmHWM"))
            stat = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            ticks = int(stat[11]) + int(stat[12])
        finally:
            process.send_signal(signal.SIGTERM)
            await process.wait()
    assert not run_counts or max(run_counts.values()) == 1, "an order ran twice"
    for info in infos:
        if info["jobState"] != "DONE":
            print(f"{info['jobId']} {info['jobState']}: {info['annotation']}", file=sys.stderr)
    stretches = [
        (info["dispatchTime"] - info["implementationSpecific"]["readyTime"]) / clients.jobs[info["jobId"]]
        for info in infos
        if info["dispatchTime"] and info["implementationSpecific"]["readyTime"]
    ]
    return {
        "worth": clients.served_value / clients.order_count,
        "orders": clients.order_count,
        "served": float(clients.answers[200]),
        "refused": float(clients.answers[429] + clients.answers[503]),
        "unanswered": float(clients.answers[0]),
        "jobs": float(len(infos)),
        "done": float(sum(info["jobState"] == "DONE" for info in infos)),
        "stretch": max(stretches, default=0.0),
        "stretch_p99": percentile(stretches, 0.99),
        "returned": float(status["waiting_room"].get("returned", 0)),
        "peak_mb": peak_kb / 1024.0,
        "cpu_share": ticks / os.sysconf("SC_CLK_TCK") / seconds,
    }


def measure(seed: int, seconds: float) -> dict[str, float]:
    """Run the flood alone for a fifth of the time, then with waiting jobs for all of it."""
    alone = asyncio.run(run_flood(max(10.0, seconds / 5.0), seed, False))
    with_jobs = asyncio.run(run_flood(seconds, seed, True))
    return {f"socket_{name}": value for name, value in with_jobs.items()} | {
        "socket_worth_alone": alone["worth"],
        "socket_worth_kept": with_jobs["worth"] / alone["worth"],
    }


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="The overload benchmark over sockets.")
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.exit(print_figures(measure(options.seed, options.seconds), AIMS))
