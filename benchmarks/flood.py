"""The flood of benchmarks/waiting.py over sockets: the program, stand-in runners, and clients of both fronts.

    .venv/bin/python benchmarks/flood.py [--seconds S] [--seed N]

Everything is on loopback and ends by itself. It prints one line of figures.
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

RUNNERS, SLOTS, RUN_S = 4, 4, 0.25
CAPACITY_PER_S = RUNNERS * SLOTS / RUN_S
FLOOD, WAITING = 1.5, 0.06
WANTED_S = (2.0, 5.0, 20.0)
AIM_S, STRETCH, DEADLINE_S, LATE_WORTH = 0.6, 2.5, 10.0, 0.3
AIMS = {"socket_stretch": ("<=", 2.0), "socket_worth_kept": (">=", 0.9)}
FILE = """
name = "flood"
listen = "127.0.0.1:{front}"
platform = true
sockets = 4096
[servers]
source = "list"
list = [{runners}]
[drmaa]
listen = "127.0.0.1:{drmaa}"
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


class Peer:
    """A kept connection to an address, one exchange at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, method: str, path: str, body: bytes = b"", headers: str = "") -> tuple[int, bytes]:
        """One request and its answer."""
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        assert self.reader is not None
        head = f"{method} {path} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        self.writer.write(head.encode() + body)
        status, answer, keep = await read_message(self.reader)
        if not keep:
            self.writer.close()
        return int(status.split()[1]), answer


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes, bool]:
    """The first line, the body and whether the connection is kept."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length, lower = 0, head.lower()
    if "content-length:" in lower:
        length = int(lower.split("content-length:")[1].split("\r\n")[0])
    return head.partition("\r\n")[0], await reader.readexactly(length), "connection: close" not in lower


class Runner:
    """A stand-in runner: so many slots, a queue in order, one call-back a job."""

    def __init__(self, uid: str, front: int, runs: Counter[str]) -> None:
        self.uid, self.front, self.runs = uid, front, runs
        self.free, self.queue = SLOTS, deque[str]()
        self.random = random.Random(uid)
        self.calls: asyncio.Queue[bytes] = asyncio.Queue()

    async def start(self) -> int:
        """Listen; the port."""
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
                    self._begin()
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                else:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _begin(self) -> None:
        while self.queue and self.free:
            job = self.queue.popleft()
            self.free -= 1
            self.runs[job] += 1
            took = min(3.0, self.random.expovariate(1.0 / RUN_S))
            asyncio.get_running_loop().call_later(took, self._end, job, took)

    def _end(self, job: str, took: float) -> None:
        self.free += 1
        told: dict[str, Any] = {"id": job, "from": self.uid, "state": "done", "result": f"{took:.4f}"}
        told["load"] = {"x0": self.free}
        self.calls.put_nowait(json.dumps(told).encode())
        self._begin()

    async def _call_back(self) -> None:
        peer = Peer(self.front)
        while True:
            call = await self.calls.get()
            for _ in range(10):
                try:
                    await peer.ask("POST", "/callback", call)
                    break
                except (OSError, asyncio.IncompleteReadError):
                    peer = Peer(self.front)
                    await asyncio.sleep(0.1)


class Clients:
    """The flood at the platform's front, and jobs that wait at the DRMAA front."""

    def __init__(self, front: int, drmaa: int, seed: int) -> None:
        self.front, self.drmaa = front, drmaa
        self.source, self.others = random.Random(seed), random.Random(seed + 1)
        self.idle: list[Peer] = []
        self.worth = self.asked = self.from_s = 0.0
        self.answers: Counter[int] = Counter()
        self.jobs: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def _order(self, number: int) -> None:
        began = time.monotonic()
        peer = self.idle.pop() if self.idle else Peer(self.front)
        headers = f"X-Call-Id: o{number:x}-{self.source.getrandbits(32):x}\r\nX-Call-Class: order\r\n"
        try:
            status, body = await peer.ask("POST", "/api", b"500 l", headers + f"X-Budget: {DEADLINE_S}\r\n")
        except (OSError, asyncio.IncompleteReadError):
            self.answers[0] += 1
            return
        self.idle.append(peer)
        self.answers[status] += 1
        if status == 200 and began >= self.from_s:
            in_time = time.monotonic() - began <= AIM_S + STRETCH * float(body)
            self.worth += 1.0 if in_time else LATE_WORTH

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def flood(self, seconds: float) -> None:
        """Orders at one and a half times what the runners can do, whatever becomes of them."""
        due, until, number = time.monotonic(), time.monotonic() + seconds, 0
        self.from_s = due + min(20.0, seconds / 4.0)  # before this the queues are only filling
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number += 1
            self.asked += time.monotonic() >= self.from_s
            self._spawn(self._order(number))
            due += self.source.expovariate(CAPACITY_PER_S * FLOOD)

    async def wait(self, seconds: float) -> None:
        """Jobs that wait: half for another job, a third for an hour."""
        peer, newest = Peer(self.drmaa), list[str]()
        due, until, number = time.monotonic(), time.monotonic() + seconds, 0
        while due < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            number += 1
            wanted = self.others.choice(WANTED_S)
            special: dict[str, Any] = {"wantedTime": wanted}
            template: dict[str, Any] = {"jobCategory": "order", "implementationSpecific": special}
            if newest and self.others.random() < 0.5:
                special["after"] = [{"job": self.others.choice(newest[-50:]), "on": "ended"}]
            if self.others.random() < 0.33:
                template["startTime"] = time.time() + self.others.uniform(0.0, 20.0)
            key = f"Idempotency-Key: w{number}\r\n"
            status, body = await peer.ask("POST", "/drmaa2/jobs", json.dumps(template).encode(), key)
            assert status == 201, body
            job = json.loads(body)["jobId"]
            self.jobs[job] = wanted
            newest.append(job)
            due += self.others.expovariate(CAPACITY_PER_S * WAITING)

    async def settle(self) -> list[dict[str, Any]]:
        """What became of all jobs that waited."""
        if self.tasks:
            await asyncio.wait(self.tasks)
        peer, infos = Peer(self.drmaa), []
        for job in self.jobs:
            await peer.ask("POST", f"/drmaa2/jobs/{job}/waitTerminated", b'{"timeout": 120}')
            infos.append(json.loads((await peer.ask("GET", f"/drmaa2/jobs/{job}"))[1]))
        return infos


async def ready(front: int) -> None:
    """Wait until the program takes jobs."""
    for _ in range(500):
        try:
            if (await Peer(front).ask("GET", "/health/ready"))[0] == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)
    raise TimeoutError("the program is not ready")


async def play(seconds: float, seed: int, waiting: bool) -> dict[str, float]:
    """One flood against a program that is started for it."""
    front, drmaa, runs = reserved_port(), reserved_port(), Counter[str]()
    lines = []
    for n in range(RUNNERS):
        port = await Runner(f"r-{n}", front, runs).start()
        place = f'endpoint = "127.0.0.1:{port}", az = "here", model = "c4"'
        lines.append(f'{{ uid = "r-{n}", {place}, state = "Ready" }}')
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "flood.toml"
        file.write_text(FILE.format(front=front, drmaa=drmaa, runners=", ".join(lines)))
        command = [sys.executable, "-m", "grebestack", "--config", str(file), "--log-level", "warning"]
        process = await asyncio.create_subprocess_exec(*command)
        try:
            await ready(front)
            clients = Clients(front, drmaa, seed)
            work = [clients.flood(seconds)] + ([clients.wait(seconds)] if waiting else [])
            await asyncio.gather(*work)
            infos = await clients.settle()
            status = json.loads((await Peer(drmaa).ask("GET", "/console/status"))[1])
            with open(f"/proc/{process.pid}/status") as text:
                peak_kb = next(int(line.split()[1]) for line in text if line.startswith("VmHWM"))
            stat = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            ticks = int(stat[11]) + int(stat[12])
        finally:
            process.send_signal(signal.SIGTERM)
            await process.wait()
    assert not runs or max(runs.values()) == 1, "an order ran twice"
    for info in infos:
        if info["jobState"] != "DONE":
            print(f"{info['jobId']} {info['jobState']}: {info['annotation']}", file=sys.stderr)
    stretches = [
        (info["dispatchTime"] - info["implementationSpecific"]["readyTime"]) / clients.jobs[info["jobId"]]
        for info in infos
        if info["dispatchTime"] and info["implementationSpecific"]["readyTime"]
    ]
    return {
        "worth": clients.worth / clients.asked,
        "orders": clients.asked,
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
    """The flood alone for a fifth of the time, then with jobs that wait for all of it."""
    alone = asyncio.run(play(max(10.0, seconds / 5.0), seed, False))
    beside = asyncio.run(play(seconds, seed, True))
    return {f"socket_{name}": value for name, value in beside.items()} | {
        "socket_worth_alone": alone["worth"],
        "socket_worth_kept": beside["worth"] / alone["worth"],
    }


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="The flood over sockets.")
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    sys.exit(print_figures(measure(options.seed, options.seconds), AIMS))
