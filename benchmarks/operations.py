"""What operators do to a running dispatcher, under load: calls, bans, a drain, upgrades.

    .venv/bin/python benchmarks/operations.py [--quick] [--seed N]

Played over sockets: the program on a listening socket that this process holds, as a platform would, stand-in
runners and a stand-in discovery, and clients that keep their connections and never send anything twice. A job
that meets a refused, reset or unread connection is met; one without an answer is lost.
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
from flood import Peer, Runner
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
RUNNERS, RATE_PER_S, CLIENTS = 5, 60.0, 24
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


class Arrivals(deque[str]):
    """A runner's queue that remembers when jobs came."""

    def __init__(self) -> None:
        super().__init__()
        self.times: list[float] = []

    def append(self, job: str) -> None:
        self.times.append(time.monotonic())
        super().append(job)


class Watched(Runner):
    """A runner that remembers when jobs came."""

    def __init__(self, uid: str, front: int, runs: Counter[str]) -> None:
        super().__init__(uid, front, runs)
        self.queue = self.arrivals = Arrivals()

    @property
    def came(self) -> list[float]:
        """When jobs came, whole."""
        return self.arrivals.times


async def discovery(targets: list[dict[str, Any]]) -> int:
    """A list that never changes; the port."""
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


async def say(door: int, line: str) -> tuple[str, float]:
    """One call; the answer and how long it took, in milliseconds."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", door)
    writer.write(line.encode() + b"\n")
    answer = (await reader.read()).decode()
    writer.close()
    return answer, (time.monotonic() - began) * 1000.0


class Site:
    """The dispatcher's processes, its clients and all round it."""

    def __init__(self, folder: str, seed: int) -> None:
        self.folder, self.random = Path(folder), random.Random(seed)
        self.front, self.runs = reserved_port(), Counter[str]()
        self.held = socket.create_server(("127.0.0.1", self.front), backlog=512)
        self.runners = [Watched(f"r-{n}", self.front, self.runs) for n in range(RUNNERS)]
        self.processes: list[subprocess.Popen[bytes]] = []
        self.idle = [Peer(self.front) for _ in range(CLIENTS)]
        self.all = list(self.idle)
        self.answers: Counter[int] = Counter()
        self.met = self.lost = self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.flowing = True

    async def begin(self) -> int:
        """Start all but the load; the door's port."""
        targets = [
            {"uid": r.uid, "endpoint": f"127.0.0.1:{await r.start()}", "model": "c4", "state": "Ready"}
            for r in self.runners
        ]
        self.source = await discovery(targets)
        (self.folder / "config.json").write_text(
            json.dumps({"settings": SETTINGS, "seed": "5", "limits": {"sockets": 256}})
        )
        return (await self.start())[0]

    async def start(self) -> tuple[int, float]:
        """Start a process beside what runs; its door, and milliseconds until it says that it is ready."""
        door, began = reserved_port(), time.monotonic()
        environ = {
            "RELAY_NAME": "n0",
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "RELAY_LISTEN": f"127.0.0.1:{self.front}",
            "RELAY_LISTEN_FD": str(self.held.fileno()),
            "RELAY_DISCOVERY": f"127.0.0.1:{self.source}",
            "RELAY_CONTROL": f"127.0.0.1:{door}",
        }
        with open(self.folder / "log", "ab") as log:
            self.processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "grebestack"],
                    env=os.environ | environ,
                    stderr=log,
                    pass_fds=[self.held.fileno()],
                )
            )
        while time.monotonic() < began + 20.0:
            try:
                if (await say(door, "health"))[0].startswith("SUCCESS"):
                    return door, (time.monotonic() - began) * 1000.0
            except OSError:
                pass
            await asyncio.sleep(0.01)
        raise TimeoutError((self.folder / "log").read_text()[-2000:])

    async def _job(self) -> None:
        self.number += 1
        peer = self.idle.pop(0) if self.idle else Peer(self.front)
        if peer not in self.all:
            self.all.append(peer)
        headers = f"X-Call-Id: j{self.number}\r\nX-Call-Class: order\r\nX-Budget: 5\r\n"
        try:
            async with asyncio.timeout(8.0):
                status, _ = await peer.ask("POST", "/api", b"500 l", headers)
            self.answers[status] += 1
            self.idle.append(peer)
        except TimeoutError:
            self.lost += 1
        except (OSError, asyncio.IncompleteReadError):
            self.met += 1

    async def load(self) -> None:
        """Jobs at a steady mean, whatever becomes of them."""
        due = time.monotonic()
        while True:
            due += self.random.expovariate(RATE_PER_S)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if self.flowing:
                task = asyncio.create_task(self._job())
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def settle(self) -> None:
        """Until no job is under way."""
        self.flowing = False
        while self.tasks:
            await asyncio.wait(self.tasks)

    def close(self) -> None:
        """End what was started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.held.close()


async def calls(site: Site, door: int, seconds: float) -> dict[str, float]:
    """The door under load, beside callers that say nothing or half a line."""
    took, wrong, until = list[float](), 0, time.monotonic() + seconds
    silent = [await asyncio.open_connection("127.0.0.1", door) for _ in range(12)]
    for n, (_, writer) in enumerate(silent):
        writer.write((b"", b"cordon r-", b"\xff\0")[n % 3])
    while time.monotonic() < until:
        for line, word in (("health", "SUCCESS"), ("cordon nobody", "FAILURE"), ("nonsense", "FAILURE")):
            answer, ms = await say(door, line)
            took.append(ms)
            wrong += not answer.startswith(word)
        await asyncio.sleep(0.02)
    for _, writer in silent:
        writer.close()
    return {"door_max_ms": max(took), "door_p99_ms": percentile(took, 0.99), "wrong_answers": float(wrong)}


async def bans(site: Site, door: int, rounds: int) -> dict[str, float]:
    """From a SUCCESS to the last job at that runner, and from the call back to the first."""
    last, first = 0.0, 0.0
    for n in range(rounds):
        runner = site.runners[n % RUNNERS]
        assert (await say(door, f"cordon {runner.uid}"))[0].startswith("SUCCESS")
        said = time.monotonic()
        await asyncio.sleep(0.8)
        last = max([last, *((at - said) * 1000.0 for at in runner.came if at > said)])
        assert (await say(door, f"uncordon {runner.uid}"))[0].startswith("SUCCESS")
        said = time.monotonic()
        while not any(at > said for at in runner.came) and time.monotonic() < said + 6.0:
            await asyncio.sleep(0.005)
        first = max(first, (time.monotonic() - said) * 1000.0)
    return {"cordon_last_byte_ms": last, "uncordon_first_job_ms": first}


async def drain(site: Site, door: int) -> dict[str, float]:
    """From `quiesce` to the end of the last client's connection, and from `resume` to ready."""
    assert (await say(door, "quiesce"))[0].startswith("SUCCESS")
    said = time.monotonic()
    await asyncio.sleep(0.3)  # the front still deals out connections for so long
    await site.settle()
    kept = [peer for peer in site.all if peer.writer is not None and not peer.writer.is_closing()]
    for peer in kept:
        assert peer.reader is not None
        async with asyncio.timeout(10.0):
            await peer.reader.read()
    quiet = (time.monotonic() - said) * 1000.0
    site.idle, site.all = [], []
    answer, ms = await say(door, "resume")
    said = time.monotonic()
    assert answer == "SUCCESS serving\n"
    while (await Peer(site.front).ask("GET", "/health/ready"))[0] != 200:
        await asyncio.sleep(0.005)
    site.flowing = True
    return {"quiesce_last_client_ms": quiet, "resume_ready_ms": ms + (time.monotonic() - said) * 1000.0}


async def upgrades(site: Site, rounds: int) -> dict[str, float]:
    """One process after the other takes over under load."""
    ready, left = list[float](), list[float]()
    met, lost = site.met, site.lost
    for _ in range(rounds):
        old = site.processes[-1]
        ready.append((await site.start())[1])
        old.send_signal(signal.SIGTERM)
        began = time.monotonic()
        while old.poll() is None:
            await asyncio.sleep(0.01)
        assert old.returncode == 0, "the old process did not end by itself"
        left.append((time.monotonic() - began) * 1000.0)
        await asyncio.sleep(0.5)
    return {
        "upgrades": float(rounds),
        "upgrade_ready_max_ms": max(ready),
        "old_left_max_ms": max(left),
        "jobs_met": float(site.met - met),
        "jobs_lost": float(site.lost - lost),
    }


async def measure(quick: bool, seed: int) -> dict[str, float]:
    """All of it, on one site."""
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, seed)
        try:
            door = await site.begin()
            load = asyncio.create_task(site.load())
            await asyncio.sleep(1.0)
            figures = await calls(site, door, 4.0 if quick else 20.0)
            figures |= await bans(site, door, 4 if quick else 15)
            figures |= await drain(site, door)
            await asyncio.sleep(1.0)
            figures |= await upgrades(site, 4 if quick else 10)
            load.cancel()
            await site.settle()
            figures["jobs"] = float(sum(site.answers.values()))
            figures["served_share"] = site.answers[200] / max(1, sum(site.answers.values()))
            figures["ran_twice"] = float(sum(runs > 1 for runs in site.runs.values()))
            return figures
        finally:
            site.close()


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(description="Operations on a running dispatcher.")
    parser.add_argument("--quick", action="store_true", help="45 s at the most")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    return print_figures(uvloop.run(measure(options.quick, options.seed)), AIMS)


if __name__ == "__main__":
    sys.exit(main())
