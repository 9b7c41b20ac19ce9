"""What a fleet costs: serving without a majority (all links cut and healed under load), and when idle.

    .venv/bin/python benchmarks/alone.py [--quick] [--seed N]

Periods with and without a majority alternate. They are compared by how much longer than its run a job takes.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop
from flood import HttpConnection, QueueingWorker
from harness import percentile, print_figures

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.cluster import Cluster  # noqa: E402
from tests.ports import reserved_port  # noqa: E402

AIMS = {
    "p99_ratio": ("<=", 1.1),
    "lost": ("<=", 0.0),
    "ran_twice": ("<=", 0.0),
    "served_share": (">=", 1.0),
    "jobs": (">=", 300.0),
    "idle_core_share": ("<=", 0.01),
    "minority_held": ("<=", 0.0),
}
RATE_PER_S, RUN_MS = 40.0, 100.0  # jobs at each dispatcher; running time on which the ratio is based


class LoadGenerator:
    """Sends jobs to one dispatcher and records how much longer than its run each took."""

    def __init__(self, dispatcher_port: int, seed: str) -> None:
        self.dispatcher_port, self.random = dispatcher_port, random.Random(seed)
        self.idle_connections: list[HttpConnection] = []
        self.overhead_ms: dict[bool, list[float]] = {False: [], True: []}
        self.answers: Counter[int] = Counter()
        self.lost = self.number = 0
        self.isolated = False
        self.tasks: set[asyncio.Task[None]] = set()

    async def _job(self) -> None:
        self.number += 1
        connection = (
            self.idle_connections.pop() if self.idle_connections else HttpConnection(self.dispatcher_port)
        )
        headers = (
            f"X-Call-Id: j{self.dispatcher_port}-{self.number}\r\nX-Call-Class: order\r\nX-Budget: 5\r\n"
        )
        start_s, isolated = time.monotonic(), self.isolated
        try:
            async with asyncio.timeout(8.0):
                status, body = await connection.request("POST", "/api", b"500 l", headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.lost += 1
            return
        self.answers[status] += 1
        self.idle_connections.append(connection)
        if status == 200:
            self.overhead_ms[isolated].append((time.monotonic() - start_s - float(body)) * 1000.0)

    async def run(self) -> None:
        """Send jobs at random times with a constant mean rate."""
        due_s = time.monotonic()
        while True:
            due_s += self.random.expovariate(RATE_PER_S)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            task = asyncio.create_task(self._job())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)


def idle_core_share(seconds: float) -> float:
    """Return the largest share of a core that a member of an idle fleet of five uses."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), 5, (), 4.0, 5.0)

        def cpu_s(name: str) -> float:
            process = cluster.members[name].process
            assert process is not None
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

        try:
            for name in cluster.names:
                cluster.start(name, unmodified=True)
            time.sleep(3.5)
            before_s = {name: cpu_s(name) for name in cluster.names}
            time.sleep(seconds)
            return max(cpu_s(name) - before_s[name] for name in cluster.names) / seconds
        finally:
            cluster.close()


async def measure(quick: bool, seed: int) -> dict[str, float]:
    """Run the load with and without a majority; return the figures."""
    run_counts: Counter[str] = Counter()
    dispatcher_ports = tuple(reserved_port() for _ in range(3))
    worker_sources = {}
    for n, dispatcher_port in enumerate(dispatcher_ports):
        entries = []
        for m in range(8):  # enough that no job waits for a slot
            runner = QueueingWorker(f"r{n}{m}", dispatcher_port, run_counts)
            port = await runner.start()
            location = f'endpoint = "127.0.0.1:{port}", az = "here", model = "c8"'
            entries.append(f'{{uid = "r{n}{m}", {location}, state = "Ready"}}')
        worker_sources[f"m{n}"] = f'source = "list"\nlist = [{", ".join(entries)}]\n'
    with tempfile.TemporaryDirectory() as folder:
        cluster = await asyncio.to_thread(
            Cluster, Path(folder), 3, (), 2.0, 0.5, worker_sources, "", dispatcher_ports
        )
        loads = [
            LoadGenerator(dispatcher_port, f"{seed} {dispatcher_port}")
            for dispatcher_port in dispatcher_ports
        ]
        held_count = 0
        try:
            for name in cluster.names:
                cluster.start(name)
            await asyncio.to_thread(time.sleep, 4.0)
            for load in loads:
                await load._job()
            tasks = [asyncio.create_task(load.run()) for load in loads]
            await asyncio.sleep(2.0)
            rounds, seconds = (2, 4.0) if quick else (3, 30.0)
            for load in loads:
                load.overhead_ms = {False: [], True: []}
            for period in range(2 * rounds):
                isolated = period % 2 == 1
                for link in cluster.proxy.directions.values():
                    link.cut = isolated
                for load in loads:
                    load.isolated = isolated
                await asyncio.sleep(seconds)
                if isolated:
                    for name in cluster.names:
                        leases = await asyncio.to_thread(cluster.admin_output, name, "leases")
                        held_count += "held here" in leases
            for task in tasks:
                task.cancel()
            while any(load.tasks for load in loads):
                await asyncio.sleep(0.05)
        finally:
            await asyncio.to_thread(cluster.close)
    overhead_ms = {
        isolated: [ms for load in loads for ms in load.overhead_ms[isolated]] for isolated in (False, True)
    }
    p99 = {isolated: percentile(overhead_ms[isolated], 0.99) for isolated in (False, True)}
    answers = sum((load.answers for load in loads), Counter[int]())
    return {
        "jobs": float(sum(answers.values())),
        "served_share": answers[200] / max(1, sum(answers.values())),
        "lost": float(sum(load.lost for load in loads)),
        "ran_twice": float(sum(count > 1 for count in run_counts.values())),
        "over_p99_ms_with": p99[False],
        "over_p99_ms_without": p99[True],
        "p99_ratio": (RUN_MS + p99[True]) / (RUN_MS + p99[False]),
        "minority_held": float(held_count),
    }


def main() -> int:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description="Serving without a majority.")
    parser.add_argument("--quick", action="store_true", help="at most 45 s")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    figures = uvloop.run(measure(options.quick, options.seed))
    figures["idle_core_share"] = idle_core_share(8.0 if options.quick else 60.0)
    return print_figures(figures, AIMS)


if __name__ == "__main__":
    sys.exit(main())
