"""What 10, 100 and 1,024 workers cost: a dispatcher's start and memory, a worker list, and one decision.

    .venv/bin/python benchmarks/sizes.py [--quick] [--seed N]

The dispatcher process starts as the platform starts it. An agent on loopback sends it the worker list,
indented and in chunks of 1,400 bytes; the configuration states as many dispatchers as workers. Decisions are
made by the decision module in simulated time, at a load of 0.6 of the workers' slots; the figure is the
processor time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from harness import CountingListener, Fleet, SimClock, SimWorkers, print_figures

from grebestack.core import api
from grebestack.core.api import ListKind
from grebestack.protocol.worker_list import JsonObjectReader, WorkerListReader
from grebestack.routing.worker_table import WorkerTable

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from tests.ports import reserved_port  # noqa: E402
from tests.process_memory import memory_mb  # noqa: E402

WORKER_COUNTS = (10, 100, 1024)
SLOTS, MEAN_RUN_MS, LOAD_SHARE = 8, 500.0, 0.6
CHUNK_BYTES = 1400
OPTIONS: dict[str, Any] = {
    "services": [
        {"name": "order", "aimMs": 600.0, "hardLimitMs": 10_000.0, "effect": "single_shot", "value": 5.0},
        {"name": "reading", "aimMs": 400.0, "hardLimitMs": 5000.0, "effect": "guarded", "windowMs": 7500.0},
    ],
    "limits": {"cancel": True, "secondCopies": True, "mostTries": 5, "retryAfter": True},
    "rules": {"drainGraceMs": 250.0, "graceToAnswerMs": 20.0},
    "discovery": "pushed",
    "report": {"how": "inline", "fields": ["x0", "x1"]},
    "zones": ["here"],
    "models": ["c8"],
    "zone": 0,
}


def worker_list_json(count: int, rev: int = 1) -> bytes:
    """Return a complete worker list as indented JSON."""
    targets = [
        {
            "uid": f"s-{n:08x}",
            "endpoint": f"127.0.0.1:{9000 + n}",
            "az": "here",
            "model": "c8",
            "pod_group": n // 8,
            "state": "Ready",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for n in range(count)
    ]
    return json.dumps({"rev": rev, "all": True, "targets": targets}, indent=2).encode() + b"\n"


async def measure_start(count: int, folder: Path) -> dict[str, float]:
    """Start a dispatcher process that receives this many workers; return its figures."""
    text = worker_list_json(count)

    async def agent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(text), CHUNK_BYTES):
            chunk = text[start : start + CHUNK_BYTES]
            writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            await writer.drain()
        await reader.read()

    agent_server = await asyncio.start_server(agent, "127.0.0.1", 0)
    port = agent_server.sockets[0].getsockname()[1]
    config_file = folder / "config.json"
    cached_list = json.loads(worker_list_json(count))
    limits = {"sockets": 256}
    config_file.write_text(
        json.dumps(
            {"settings": OPTIONS | {"siblings": count}, "seed": "1", "limits": limits, "known": cached_list}
        )
    )
    env = dict(os.environ) | {
        "RELAY_NAME": "n0",
        "RELAY_CONFIG": str(config_file),
        "RELAY_LISTEN": f"127.0.0.1:{reserved_port()}",
        "RELAY_DISCOVERY": f"127.0.0.1:{port}",
    }
    start_s = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "grebestack", env=env, stderr=subprocess.PIPE, limit=1 << 20
    )
    assert process.stderr is not None
    try:
        while b"event=ready" not in (line := await process.stderr.readline()):
            if not line:
                raise RuntimeError("the dispatcher exited before it was ready")
        ready_ms = (time.monotonic() - start_s) * 1000.0
        assert f"servers={count} live=True".encode() in line, line
        memory = memory_mb(process.pid)
        return {
            f"ready_ms_{count}": ready_ms,
            f"own_mb_{count}": memory["VmHWM"] - memory["RssFile"],
            f"descriptors_{count}": float(len(os.listdir(f"/proc/{process.pid}/fd"))),
        }
    finally:
        process.kill()
        await process.wait()
        agent_server.close()


def list_processing_ms(count: int) -> float:
    """Return the processor time from the lines of an indented list to the worker table, the best of five."""
    lines, best_ms = worker_list_json(count).split(b"\n")[:-1], float("inf")
    for _ in range(5):
        objects, reader, table = JsonObjectReader(), WorkerListReader(OPTIONS), WorkerTable()
        start_s = time.process_time()
        for line in lines:
            if (raw := objects.feed_line(line)) is not None:
                table.update(ListKind.FULL, reader.read_list(raw)[2])
        best_ms = min(best_ms, (time.process_time() - start_s) * 1000.0)
        assert len(table.workers) == count
    return best_ms


def measure_decisions(count: int, jobs: int, seed: int) -> dict[str, float]:
    """Measure the decision module's processor time per job, from its arrival to its end."""
    clock = SimClock()
    workers = SimWorkers(clock, seed, count, SLOTS, lambda attempt, rng: rng.expovariate(1.0 / MEAN_RUN_MS))
    order = api.JobClass(
        "order", 600, 8000, api.Effect.NOT_IDEMPOTENT, priority_weight=5, objective_stretch=2.5
    )
    settings = api.Settings(
        classes=(order,),
        max_attempts=5,
        slow_start_initial_share=0.14,
        slow_start_ms=24_000.0,
        overload_factor=3.0,
        overload_window_ms=1500.0,
        report_fields=frozenset({"free_slots"}),
        tick_ms=5.0,
    )
    fleet = Fleet(clock, settings, 1, workers, seed, 1)
    jobs_per_s = count * SLOTS / MEAN_RUN_MS * 1000.0 * LOAD_SHARE
    fleet.start_load(jobs_per_s, clock.now + jobs / jobs_per_s * 1000.0)
    policy, spent_s = fleet.engines[0].policy, 0.0
    handle = policy.handle

    def handle_timed(now_ms: float, event: api.Event) -> list[api.Action]:
        nonlocal spent_s
        if isinstance(event, api.WorkersListed):
            return handle(now_ms, event)
        start_s = time.perf_counter()
        actions = handle(now_ms, event)
        spent_s += time.perf_counter() - start_s
        return actions

    policy.handle = handle_timed  # type: ignore[method-assign]
    clock.advance_to(clock.now + jobs / jobs_per_s * 1000.0 + 9000.0)
    listener: CountingListener = fleet.listener
    return {
        f"job_us_{count}": spent_s / max(1, fleet.request_count) * 1e6,
        f"unanswered_{count}": float(fleet.request_count - listener.outcome_counts.total()),
    }


AIMS = {
    "ready_ms_1024": ("<=", 2000.0),
    "own_mb_1024": ("<=", 32.0),
    "descriptors_1024": ("<=", 64.0),
    "list_ms_1024": ("<=", 40.0),
    "job_us_10": ("<=", 300.0),
    "job_us_100": ("<=", 300.0),
    "job_us_1024": ("<=", 600.0),
    "unanswered_10": ("<=", 0.0),
    "unanswered_100": ("<=", 0.0),
    "unanswered_1024": ("<=", 0.0),
}


def main() -> int:
    """Measure and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    figures: dict[str, float] = {}
    for count in WORKER_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            figures |= asyncio.run(measure_start(count, Path(folder)))
        figures[f"list_ms_{count}"] = list_processing_ms(count)
        figures |= measure_decisions(count, 6000 if options.quick else 40_000, options.seed)
    return print_figures(figures, AIMS)


if __name__ == "__main__":
    sys.exit(main())
