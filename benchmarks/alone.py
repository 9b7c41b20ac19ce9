"""What a fleet costs: serving while it has no majority (all links cut and healed, under load), and idling.

    .venv/bin/python benchmarks/alone.py [--quick] [--seed N]

Times with and without a majority alternate. What is compared is how much longer than its run a job takes.
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
from flood import Peer, Runner
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
RATE_PER_S, RUN_MS = 40.0, 100.0  # at each dispatcher; the run that the ratio is of


class Load:
    """Jobs at one dispatcher, and how much longer than its run each took."""

    def __init__(self, front: int, seed: str) -> None:
        self.front, self.random = front, random.Random(seed)
        self.idle: list[Peer] = []
        self.over: dict[bool, list[float]] = {False: [], True: []}
        self.answers: Counter[int] = Counter()
        self.lost = self.number = 0
        self.alone = False
        self.tasks: set[asyncio.Task[None]] = set()

    async def _job(self) -> None:
        self.number += 1
        peer = self.idle.pop() if self.idle else Peer(self.front)
        headers = f"X-Call-Id: j{self.front}-{self.number}\r\nX-Call-Class: order\r\nX-Budget: 5\r\n"
        began, alone = time.monotonic(), self.alone
        try:
            async with asyncio.timeout(8.0):
                status, body = await peer.ask("POST", "/api", b"500 l", headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.lost += 1
            return
        self.answers[status] += 1
        self.idle.append(peer)
        if status == 200:
            self.over[alone].append((time.monotonic() - began - float(body)) * 1000.0)

    async def run(self) -> None:
        """Send at a steady mean."""
        due = time.monotonic()
        while True:
            due += self.random.expovariate(RATE_PER_S)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(self._job())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)


def idle(seconds: float) -> float:
    """The share of a core that a member of an idle fleet of five takes, the worst of them."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), 5, (), 4.0, 5.0)

        def spent(name: str) -> float:
            process = cluster.members[name].process
            assert process is not None
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

        try:
            for name in cluster.names:
                cluster.start(name, unmodified=True)
            time.sleep(3.5)
            before = {name: spent(name) for name in cluster.names}
            time.sleep(seconds)
            return max(spent(name) - before[name] for name in cluster.names) / seconds
        finally:
            cluster.close()


async def measure(quick: bool, seed: int) -> dict[str, float]:
    """Play and count."""
    runs: Counter[str] = Counter()
    fronts = tuple(reserved_port() for _ in range(3))
    servers = {}
    for n, front in enumerate(fronts):
        lines = []
        for m in range(8):  # enough that jobs wait for no slot
            runner = Runner(f"r{n}{m}", front, runs)
            port = await runner.start()
            where = f'endpoint = "127.0.0.1:{port}", az = "here", model = "c8"'
            lines.append(f'{{uid = "r{n}{m}", {where}, state = "Ready"}}')
        servers[f"m{n}"] = f'source = "list"\nlist = [{", ".join(lines)}]\n'
    with tempfile.TemporaryDirectory() as folder:
        cluster = await asyncio.to_thread(Cluster, Path(folder), 3, (), 2.0, 0.5, servers, "", fronts)
        loads = [Load(front, f"{seed} {front}") for front in fronts]
        held = 0
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
                load.over = {False: [], True: []}
            for turn in range(2 * rounds):
                alone = turn % 2 == 1
                for way in cluster.proxy.directions.values():
                    way.cut = alone
                for load in loads:
                    load.alone = alone
                await asyncio.sleep(seconds)
                if alone:
                    for name in cluster.names:
                        said = await asyncio.to_thread(cluster.admin_output, name, "leases")
                        held += "held here" in said
            for task in tasks:
                task.cancel()
            while any(load.tasks for load in loads):
                await asyncio.sleep(0.05)
        finally:
            await asyncio.to_thread(cluster.close)
    over = {alone: [ms for load in loads for ms in load.over[alone]] for alone in (False, True)}
    p99 = {alone: percentile(over[alone], 0.99) for alone in (False, True)}
    answers = sum((load.answers for load in loads), Counter[int]())
    return {
        "jobs": float(sum(answers.values())),
        "served_share": answers[200] / max(1, sum(answers.values())),
        "lost": float(sum(load.lost for load in loads)),
        "ran_twice": float(sum(count > 1 for count in runs.values())),
        "over_p99_ms_with": p99[False],
        "over_p99_ms_without": p99[True],
        "p99_ratio": (RUN_MS + p99[True]) / (RUN_MS + p99[False]),
        "minority_held": float(held),
    }


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(description="Serving without a majority.")
    parser.add_argument("--quick", action="store_true", help="45 s at the most")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    figures = uvloop.run(measure(options.quick, options.seed))
    figures["idle_core_share"] = idle(8.0 if options.quick else 60.0)
    return print_figures(figures, AIMS)


if __name__ == "__main__":
    sys.exit(main())
