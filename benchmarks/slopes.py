"""What each thing costs by its size: the slopes under docs/CAPACITY.md, written to figures/slopes.json.

    .venv/bin/python benchmarks/slopes.py [--quick] [--seed N] [--only PART ...] [--to FILE]

Real code throughout: the program on loopback before stand-in runners, the module in simulated time, lists,
settings, the job store on this machine's disk, the record of acts, voters over real sockets and as processes.
What is measured is processor time (of process or thread), bytes as they are written, and memory that is the
process's own. Each fit is `slope x size + base`, its error the largest residual as a share of the value, its
spread the widest (most - least) / median among one size's repeats. How late and how fast the machine was
meanwhile stands beside each part (`late`, `yardstick_ms`).
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import replace
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import uvloop
from flood import HttpConnection, QueueingWorker
from harness import Fleet, SimClock, SimWorkers, create_engine, percentile, print_figures
from membership import ConsulFleet
from sizes import OPTIONS, worker_list_json

from grebestack.audit.recorder import Recorder, RecorderLimits
from grebestack.audit.records import ActionRecord
from grebestack.audit.version_sets import VersionSet, VersionSets
from grebestack.cluster_io import log_store as mesh_store
from grebestack.cluster_io.log_store import Files
from grebestack.cluster_io.node import Node, NodeSettings
from grebestack.cluster_io.peer_connection import HEADER, PeerConnection
from grebestack.consensus.log_format import read_log as read_records
from grebestack.consensus.messages import (
    IncarnationStarted,
    MembershipConfig,
    Message,
    ProcessStarted,
    RestartPlan,
    encode,
)
from grebestack.consensus.register import Value
from grebestack.core import api
from grebestack.core.api import ListKind, Outcome
from grebestack.jobs.records import AttemptEnd, Job, JobState
from grebestack.jobs.store import JobStore
from grebestack.program.config.operator_file import from_file
from grebestack.program.config.platform import check_reload
from grebestack.program.shared_discovery import encode_entry
from grebestack.protocol.http_workers import CallbackResult
from grebestack.protocol.platform import PlatformApi
from grebestack.protocol.settings import merge_settings
from grebestack.protocol.worker_list import JsonObjectReader, WorkerListReader

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.cluster import Cluster  # noqa: E402
from tests.ports import reserved_port  # noqa: E402

OUT = Path(__file__).resolve().parent / "figures" / "slopes.json"
Points = Mapping[Any, list[float]]
SERVERS = (10, 100, 560, 1024)
ORDER = api.JobClass("order", 600, 8000, api.Effect.NOT_IDEMPOTENT, priority_weight=5, objective_stretch=2.5)


def line_of(points: Points) -> tuple[float, float, float]:
    """Slope, base and error of the line that keeps the relative residuals of the medians least."""
    pairs = [(size, statistics.median(values)) for size, values in sorted(points.items())]
    weights = [1.0 / max(abs(y), 1e-12) ** 2 for _, y in pairs]
    total = sum(weights)
    mean_x = sum(w * x for w, (x, _) in zip(weights, pairs, strict=True)) / total
    mean_y = sum(w * y for w, (_, y) in zip(weights, pairs, strict=True)) / total
    over = sum(w * (x - mean_x) ** 2 for w, (x, _) in zip(weights, pairs, strict=True))
    slope = sum(w * (x - mean_x) * (y - mean_y) for w, (x, y) in zip(weights, pairs, strict=True)) / over
    base = mean_y - slope * mean_x
    return slope, base, max(abs(slope * x + base - y) / max(abs(y), 1e-12) for x, y in pairs)


def spread_of(points: Points) -> float:
    """The widest range of one size's repeats, as a share of their median."""
    return max((max(v) - min(v)) / max(abs(statistics.median(v)), 1e-12) for v in points.values())


def fitted(points: Points, unit: str, per: str) -> dict[str, Any]:
    """A figure as it is written down."""
    slope, base, error = line_of(points)
    return {
        "slope": slope,
        "base": base,
        "unit": unit,
        "per": per,
        "range": [min(points), max(points)],
        "error": round(error, 4),
        "spread": round(spread_of(points), 4),
        "points": [[x, round(statistics.median(v), 6)] for x, v in sorted(points.items())],
        "runs": max(map(len, points.values())),
    }


def plain(values: list[float], unit: str) -> dict[str, Any]:
    """A figure that has no size."""
    middle = statistics.median(values)
    spread = (max(values) - min(values)) / max(abs(middle), 1e-12)
    return {"value": middle, "unit": unit, "spread": round(spread, 4), "runs": len(values)}


def rounds(runs: int, sizes: Iterable[int], run: Callable[[int, int], Any]) -> dict[int, list[Any]]:
    """All sizes once, then again: what the machine does meanwhile falls on all of them alike."""
    came: dict[int, list[Any]] = {size: [] for size in sizes}
    for number in range(runs):
        for size, results in came.items():
            results.append(run(size, number))
    return came


def column(came: Mapping[int, list[Any]], name: str) -> Points:
    """One figure of many."""
    return {size: [one[name] for one in results] for size, results in came.items()}


def yardstick_ms() -> float:
    """Processor time of a fixed piece of work: how fast a core is just now, beside others' work."""
    began, total = time.thread_time(), 0
    for n in range(300_000):
        total += n % 7
    return (time.thread_time() - began) * 1000.0


@contextmanager
def undisturbed() -> Iterator[None]:
    """No collection of garbage between two looks at a clock."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


LATENESS = """
import sys, time
late = []
while True:
    due = time.monotonic() + 0.02
    time.sleep(0.02)
    late.append((time.monotonic() - due) * 1000)
    if len(late) % 25 == 0:
        late.sort()
        sys.stdout.write("%.2f %.2f\\n" % (late[int(0.99 * len(late))], late[-1]))
        sys.stdout.flush()
        late = []
"""


class Lateness:
    """How late this machine wakes a sleeper meanwhile, by a process of its own: p99 and most, in ms."""

    def __init__(self) -> None:
        self.process = subprocess.Popen([sys.executable, "-c", LATENESS], stdout=subprocess.PIPE, text=True)

    def end(self) -> dict[str, float]:
        """Stop it; the median of the half seconds' p99, and the most of all."""
        self.process.kill()
        rows = [tuple(map(float, line.split())) for line in self.process.communicate()[0].splitlines()]
        rows = [row for row in rows if len(row) == 2]
        return {
            "p99_ms": statistics.median([row[0] for row in rows]) if rows else 0.0,
            "most_ms": max((row[1] for row in rows), default=0.0),
        }


# The module.


def decided(servers: int, jobs: int, seed: int, classes: int = 1, retired: int = 0) -> float:
    """Processor time of one job's decisions in us; some classes were retired by changes."""
    clock = SimClock()
    machines = SimWorkers(clock, seed, servers, 8, lambda d, r: r.expovariate(1.0 / 500.0))
    live = tuple(replace(ORDER, name=f"c{n}") for n in range(classes))
    old = tuple(replace(ORDER, name="c0", latency_objective_ms=601.0 + n) for n in range(retired))
    settings = api.Settings(
        classes=live + old,
        retired=frozenset(range(classes, classes + retired)),
        max_attempts=5,
        slow_start_initial_share=0.14,
        slow_start_ms=24_000.0,
        overload_factor=3.0,
        overload_window_ms=1500.0,
        tenants=tuple(api.Tenant(f"t{n}", 10.0) for n in range(classes)) if classes > 1 else (),
        report_fields=frozenset({"free_slots"}),
        tick_ms=5.0,
    )
    fleet = Fleet(clock, settings, 1, machines, seed, 1)
    per_s = servers * 16.0 * 0.6
    jobs = max(jobs, int(per_s * (2.0 if jobs > 2000 else 0.7)))  # until queues stand as they will
    fleet.start_load(per_s, clock.now + jobs / per_s * 1000.0, classes)
    policy, spent = fleet.engines[0].policy, 0.0
    handle = policy.handle

    def timed(now_ms: float, event: api.Event) -> list[api.Action]:
        nonlocal spent
        if isinstance(event, api.WorkersListed):
            return handle(now_ms, event)
        began = time.thread_time()
        actions = handle(now_ms, event)
        spent += time.thread_time() - began
        return actions

    policy.handle = timed  # type: ignore[method-assign]
    with undisturbed():
        clock.advance_to(clock.now + jobs / per_s * 1000.0 + 9000.0)
    assert fleet.listener.outcome_counts.total() == fleet.request_count, "jobs were not answered"
    return spent / max(1, fleet.request_count) * 1e6


def module(quick: bool, seed: int) -> dict[str, Any]:
    """Decisions of the module alone."""
    jobs, runs = (1200, 1) if quick else (8000, 5)

    by_servers = rounds(runs, SERVERS, lambda n, run: decided(n, jobs, seed + run))
    by_classes = rounds(runs, (2, 25, 250), lambda n, run: decided(60, jobs, seed + run, classes=n))
    by_retired = rounds(runs, (0, 1400, 9800), lambda n, run: decided(60, jobs, seed + run, 2, n))
    return {
        "job_us_by_servers": fitted(by_servers, "us", "server"),
        "job_us_by_classes": fitted(by_classes, "us", "class with a tenant"),
        "job_us_by_retired": fitted(by_retired, "us", "retired class"),
    }


# The whole program.

FILE = """
name = "n0"
listen = "127.0.0.1:{front}"
platform = true
sockets = 8192
[servers]
source = "list"
list = [{servers}]
[settings]
zones = ["here"]
models = ["c8"]
zone = 0
tickMs = 5.0
dispatcher_count = {dispatcher_count}
[settings.limits]
cancel = true
secondCopies = true
mostTries = 5
connectTimeoutMs = 2000.0
retryAfter = true
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
aimMs = 60000.0
hardLimitMs = 120000.0
effect = "single_shot"
value = 5.0
"""


class Runner(QueueingWorker):
    """A stand-in runner that counts bytes. Jobs take a fixed time; it has room for all."""

    took_s = 0.2
    bytes = Counter[str]()

    async def start(self) -> int:
        """Listen; the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.tasks = [asyncio.create_task(self._call_back())]
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                if not lines[0].startswith("POST"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                answer = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                self.bytes["jobs"] += 1
                self.bytes["to"] += len(head) + len(body)
                self.bytes["from"] += len(answer)
                asyncio.get_running_loop().call_later(
                    self.took_s, self._end, fields["x-call-id"], self.took_s
                )
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _end(self, job: str, took: float) -> None:
        told = {"id": job, "from": self.uid, "state": "done", "result": f"{took:.4f}", "load": {"x0": 8}}
        call = json.dumps(told).encode()
        self.bytes["from"] += len(call) + len(
            f"POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: {len(call)}\r\n\r\n"
        )
        self.calls.put_nowait(call)


def cpu_s(pid: int) -> float:
    """Processor time of all threads of a process."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


def own_mb(pid: int) -> float:
    """Memory that is this process's own: what it maps of files is everybody's."""
    rows = (line.split() for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    size = {row[0]: int(row[1]) / 1024.0 for row in rows if row[0] in ("VmRSS:", "RssFile:")}
    return size["VmRSS:"] - size["RssFile:"]


class Program:
    """One dispatcher from an operator's file, its stand-in runners, and clients."""

    def __init__(self, servers: int, folder: Path, dispatcher_count: int) -> None:
        self.servers, self.folder, self.front, self.dispatcher_count = (
            servers,
            folder,
            reserved_port(),
            dispatcher_count,
        )
        self.idle: list[HttpConnection] = []
        self.answers = Counter[int]()
        self.tasks: set[asyncio.Task[None]] = set()
        self.number = 0

    async def start(self) -> None:
        """Start it; back once it is ready."""
        self.runners = [Runner(f"s{n}", self.front, Counter()) for n in range(self.servers)]
        lines = []
        for runner in self.runners:
            port = await runner.start()
            lines.append(
                f'{{uid = "{runner.uid}", endpoint = "127.0.0.1:{port}", az = "here", model = "c8",'
                f' state = "Ready"}}'
            )
        path = self.folder / "n0.toml"
        path.write_text(
            FILE.format(front=self.front, servers=", ".join(lines), dispatcher_count=self.dispatcher_count)
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "grebestack", "--config", str(path), stderr=subprocess.PIPE, limit=1 << 20
        )
        assert self.process.stderr is not None
        while b"event=ready" not in (line := await self.process.stderr.readline()):
            if not line:
                raise RuntimeError("the dispatcher ended at its start")
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while await self.process.stderr.read(65536):
            pass

    async def _job(self) -> None:
        self.number += 1
        peer = self.idle.pop() if self.idle else HttpConnection(self.front)
        headers = f"X-Call-Id: j{self.number:x}\r\nX-Call-Class: order\r\nX-Budget: 120\r\n"
        try:
            status, _ = await peer.request("POST", "/api", b"500 l", headers)
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.answers[status] += 1
        if status == 200:
            self.idle.append(peer)

    async def load(self, per_s: float, seconds: float) -> None:
        """Jobs at an even pace, and wait until all are answered."""
        due, count = time.monotonic(), int(per_s * seconds)
        for _ in range(count):
            due += 1.0 / per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.ask()
        await self.settle()

    def ask(self) -> None:
        """One job, whose answer is not waited for."""
        task = asyncio.create_task(self._job())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def settle(self) -> None:
        """Wait for all answers."""
        while self.tasks:
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """End all."""
        self.process.kill()
        await self.process.wait()
        for task in [task for runner in self.runners for task in runner.tasks] + [self.reading]:
            task.cancel()


async def one_program(
    servers: int, rate: float, seconds: float, open_jobs: tuple[int, ...] = ()
) -> dict[str, float]:
    """One dispatcher idle, then with jobs at two paces, then with jobs that stay open."""
    with tempfile.TemporaryDirectory() as folder:
        program = Program(servers, Path(folder), 28)
        await program.start()
        try:
            pid = program.process.pid
            await asyncio.sleep(1.5)
            figures = {"mb": own_mb(pid)}
            before, began = cpu_s(pid), time.monotonic()
            await asyncio.sleep(seconds)
            idle = (cpu_s(pid) - before) / (time.monotonic() - began)
            figures["idle"] = idle
            Runner.took_s = 0.2
            await program.load(rate, 1.0)  # its connections are up after this
            Runner.bytes.clear()
            jobs, before, began = program.number, cpu_s(pid), time.monotonic()
            await program.load(rate, seconds)
            spent = cpu_s(pid) - before
            figures["job_ms"] = (spent - idle * (time.monotonic() - began)) * 1000.0 / (program.number - jobs)
            figures["to"] = Runner.bytes["to"] / Runner.bytes["jobs"]
            figures["from"] = Runner.bytes["from"] / Runner.bytes["jobs"]
            figures["mb_loaded"] = own_mb(pid)
            for count in open_jobs:
                Runner.took_s = 60.0
                while len(program.tasks) < count:
                    for _ in range(min(25, count - len(program.tasks))):
                        program.ask()
                    await asyncio.sleep(0.05)
                await asyncio.sleep(2.0)
                figures[f"mb_open_{count}"] = own_mb(pid)
            if not open_jobs and program.answers[200] != program.number:
                raise RuntimeError(f"answers: {program.answers}")
            return figures
        finally:
            await program.close()


def whole(quick: bool, seed: int) -> dict[str, Any]:
    """The program on loopback."""
    sizes, rate, seconds, runs = ((10, 560), 40.0, 1.0, 1) if quick else (SERVERS, 17.5, 6.0, 4)
    came = rounds(runs, sizes, lambda size, run: uvloop.run(one_program(size, rate, seconds)))
    by = {name: column(came, name) for name in ("mb", "mb_loaded", "idle", "job_ms", "to", "from")}
    counts = (1, 400) if quick else (1, 100, 700, 2800)
    pasts = [uvloop.run(one_program(10, rate, 1.0, counts)) for _ in range(1 if quick else 3)]
    opened: Points = {count: [past[f"mb_open_{count}"] for past in pasts] for count in counts}
    return {
        "own_mb_by_servers": fitted(by["mb"], "MB", "server"),
        "own_mb_loaded_by_servers": fitted(by["mb_loaded"], "MB", "server"),
        "own_mb_by_open_jobs": fitted(opened, "MB", "open job"),
        "idle_core_by_servers": fitted(by["idle"], "core", "server"),
        "job_ms_by_servers": fitted(by["job_ms"], "ms", "server"),
        "bytes_to_runner": plain([v for values in by["to"].values() for v in values], "bytes a job"),
        "bytes_from_runner": plain([v for values in by["from"].values() for v in values], "bytes a job"),
    }


# The list of servers.


def change_of(names: list[int], state: str) -> bytes:
    """A line of changes as discovery writes it, not indented."""
    targets = [
        {
            "uid": f"s-{n:08x}",
            "endpoint": f"127.0.0.1:{9000 + n}",
            "az": "here",
            "model": "c8",
            "pod_group": n // 8,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for n in names
    ]
    return json.dumps({"rev": 2, "all": False, "targets": targets}).encode() + b"\n"


def list_costs(count: int, seed: int) -> dict[str, float]:
    """Bytes and processor time in ms of a whole list, of one change, of 45 in a row and of 80 at once."""
    settings = api.Settings(
        classes=(ORDER,),
        dispatcher_count=28,
        report_fields=frozenset({"free_slots"}),
        tick_ms=5.0,
        weights_follow_load=True,
        slow_start_initial_share=0.14,
        slow_start_ms=24_000.0,
    )
    engine = create_engine(SimClock(), settings, seed)
    reader, drawn = WorkerListReader(OPTIONS), random.Random(seed)

    def take(text: bytes) -> float:
        began, objects = time.thread_time(), JsonObjectReader()
        for line in text.split(b"\n")[:-1]:
            if (raw := objects.feed_line(line)) is not None:
                _, every, servers = reader.read_list(raw)
                engine.table.update(ListKind.FULL if every else ListKind.CHANGES, servers)
        return (time.thread_time() - began) * 1000.0

    whole_text = json.dumps(json.loads(worker_list_json(count))).encode() + b"\n"
    with undisturbed():
        take(whole_text)
        again = min(take(whole_text) for _ in range(5))
        indented = min(take(worker_list_json(count)) for _ in range(3))
        chosen = drawn.sample(range(count), min(45, count))
        states = ("Terminating", "Ready")
        row = sum(take(change_of([n], state)) for n in chosen for state in states)
        zone = list(range(min(80, count)))
        take(change_of(zone, "Terminating"))
        back = take(change_of(zone, "Ready"))
    assert len(engine.table.workers) == count
    agent = ConsulFleet(count)
    with undisturbed():
        agent.apply_answer([], "passing")
        answered = [agent.apply_answer([n % count], ("critical", "passing")[n % 2]) for n in range(6)]
    line = encode_entry
    shared = sum(len(msgspec.msgpack.encode(line(0.0, server))) for server in engine.table.workers.values())
    return {
        "bytes": float(len(whole_text)),
        "bytes_change": float(len(change_of([1], "Ready"))),
        "ms": again,
        "ms_indented": indented,
        "ms_change": row / len(chosen) / 2.0,
        "ms_zone": back,
        "shared": float(shared),
        "consul_ms": statistics.median(answered),
        "consul_bytes": float(sum(map(len, agent.raw)) + count + 1),
        "bytes_zone": float(len(change_of(zone, "Ready"))),
    }


def lists(quick: bool, seed: int) -> dict[str, Any]:
    """What lists cost by the number of servers."""
    came = rounds(1 if quick else 7, (100, 230, 560, 1024), lambda n, run: list_costs(n, seed + run))
    return {
        "list_bytes": fitted(column(came, "bytes"), "bytes", "server"),
        "list_ms": fitted(column(came, "ms"), "ms", "server"),
        "list_indented_ms": fitted(column(came, "ms_indented"), "ms", "server"),
        "change_bytes": plain([one["bytes_change"] for all_ in came.values() for one in all_], "bytes"),
        "change_ms": fitted(column(came, "ms_change"), "ms", "server"),
        "zone_back_bytes": plain(
            [one["bytes_zone"] for all_ in came.values() for one in all_], "bytes, 80 servers"
        ),
        "zone_back_ms": fitted(column(came, "ms_zone"), "ms, 80 servers", "server"),
        "shared_list_bytes": fitted(column(came, "shared"), "bytes", "server"),
        "consul_bytes": fitted(column(came, "consul_bytes"), "bytes an answer", "server"),
        "consul_ms": fitted(column(came, "consul_ms"), "ms an answer", "server"),
    }


# Settings read again.


def contents(classes: int, tenants: int, latency_objective_ms: float = 600.0) -> str:
    """An operator's file of so many classes and tenants."""
    text = FILE.format(front=1, servers="", dispatcher_count=28).partition("[[settings.services]]")[0]
    text = text.replace(
        "tickMs = 5.0",
        "tickMs = 5.0\naccounts = ["
        + ", ".join(f'{{name = "team-{n}", allowancePerS = 2.0}}' for n in range(tenants))
        + "]",
    )
    for n in range(classes):
        text += (
            f'[[settings.services]]\nname = "class-{n}"\n'
            f"aimMs = {latency_objective_ms if n == 0 else 600.0}\n"
            'hardLimitMs = 8000.0\neffect = "single_shot"\nvalue = 5.0\nlateWorth = 0.3\n'
        )
    return text


def reload_costs(size: int, folder: Path, turns: int, retired: int = 0) -> dict[str, float]:
    """A file read, checked and taken again: processor time in ms, bytes."""
    path = folder / "n0.toml"
    path.write_text(contents(size, size))
    former = from_file(str(path))
    settings = former.settings
    if retired:
        old = tuple(replace(settings.classes[0], latency_objective_ms=1000.0 + n) for n in range(retired))
        settings = replace(
            settings, classes=settings.classes + old, retired=frozenset(range(size, size + retired))
        )
    engine = create_engine(SimClock(), settings, 1)
    front = PlatformApi(engine, settings, lambda body: CallbackResult.UNKNOWN)
    parse, settle = [], []
    with undisturbed():
        for n in range(turns):
            path.write_text(contents(size, size, 601.0 + n % 2))
            began = time.thread_time()
            config = from_file(str(path))
            check_reload(config, former)
            parsed = time.thread_time()
            settings = merge_settings(engine.settings, config.settings)
            engine.update_settings(settings)
            front.update_settings(settings)
            settle.append((time.thread_time() - parsed) * 1000.0)
            parse.append((parsed - began) * 1000.0)
    text = contents(size, size).encode()
    return {
        "parse": statistics.median(parse),
        "settle": statistics.median(settle),
        "bytes": float(len(text)),
    }


def grown_mb(folder: Path, changes: int) -> float:
    """Memory that one class changed so many times leaves behind, in a process of its own."""
    code = (
        "import sys; sys.path[:0] = sys.argv[1:3]\n"
        "from dataclasses import replace\n"
        "from harness import SimClock, create_engine, resident_kb\n"
        "from slopes import ORDER\n"
        "from grebestack.core import api\n"
        "from grebestack.protocol.settings import merge_settings\n"
        "engine = create_engine(SimClock(), api.Settings(classes=(ORDER, replace(ORDER, name='other'))), 1)\n"
        "before = resident_kb()\n"
        "for n in range(int(sys.argv[3])):\n"
        "    order = replace(ORDER, latency_objective_ms=601.0 + n)\n"
        "    new = api.Settings(classes=(order, engine.settings.classes[1]))\n"
        "    engine.update_settings(merge_settings(engine.settings, new))\n"
        "print((resident_kb() - before) / 1024.0, len(engine.settings.classes))\n"
    )
    here = Path(__file__).resolve().parent
    run = subprocess.run(
        [sys.executable, "-c", code, str(here), str(here.parent), str(changes)],
        capture_output=True,
        text=True,
        check=True,
        cwd=here.parent,
    )
    grown, classes = run.stdout.split()
    assert int(classes) == changes + 2
    return float(grown)


def settings(quick: bool, seed: int) -> dict[str, Any]:
    """What a version's parse and resettling cost."""
    turns, runs = (6, 1) if quick else (20, 5)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        came = rounds(runs, (2, 25, 100, 250), lambda n, run: reload_costs(n, folder, turns))
        squares = {size * size: settles for size, settles in column(came, "settle").items()}
        counts = (0, 350) if quick else (0, 350, 1400, 5600)
        old = rounds(runs, counts, lambda n, run: reload_costs(2, folder, turns, n)["settle"])
        grown = rounds(runs, (200, 400) if quick else (350, 700, 1400), lambda n, run: grown_mb(folder, n))
    return {
        "contents_bytes": fitted(column(came, "bytes"), "bytes", "class and tenant"),
        "parse_ms": fitted(column(came, "parse"), "ms", "class and tenant"),
        "resettle_ms": fitted(squares, "ms", "square of the classes"),
        "resettle_ms_by_retired": fitted(old, "ms", "retired class"),
        "retired_mb": fitted(grown, "MB", "retired class"),
    }


# The job store.


def stored(jobs: int, folder: Path, together: int) -> dict[str, float]:
    """So many jobs from their coming to their end on this machine's disk."""
    path = folder / f"jobs-{together}-{jobs}.sqlite"
    store, template = JobStore(str(path)), json.dumps({"jobCategory": "order", "remoteCommand": "x" * 200})

    def io() -> int:
        rows = (line.split(": ") for line in Path("/proc/self/io").read_text().splitlines())
        return int(dict(rows)["write_bytes"])

    wrote, cpu, began, starts = io(), time.thread_time(), time.monotonic(), 0.0
    for first in range(0, jobs, together):
        names = [f"j{n:08x}" for n in range(first, min(jobs, first + together))]
        store.add_all(
            [
                Job(name, f"key-{name}", template, "order", JobState.QUEUED, 1.8e9, 1.8e9 + 60)
                for name in names
            ]
        )
        at = time.monotonic()
        with store.transaction():
            rows = [store.record_attempt(name, "s-00000007", 1.8e9) for name in names]
        starts += time.monotonic() - at
        with store.transaction():
            store.record_attempt_ends([AttemptEnd(row, Outcome.OK) for row in rows])
            for name in names:
                store.finish(name, JobState.DONE, 1.8e9 + 1, result=b"done")
    wall, spent = time.monotonic() - began, time.thread_time() - cpu
    written = io() - wrote
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    size = path.stat().st_size
    store.close()
    return {
        "cpu": spent / jobs * 1000.0,
        "wait": (wall - spent) / jobs * 1000.0,
        "start": starts / jobs * 1000.0,
        "written": written / jobs,
        "size": float(size),
    }


def job_store(quick: bool, seed: int) -> dict[str, Any]:
    """Jobs one by one, and a hundred to a transaction."""
    runs = 1 if quick else 3
    one, many = (300, 1500) if quick else (1250, 5000)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        single, batch = [], []
        sizes: dict[int, list[float]] = {}
        for _ in range(runs):
            for count in (one // 2, one):
                single.append(stored(count, folder, 1))
                (folder / f"jobs-1-{count}.sqlite").unlink()
            for count in (many // 5, many // 2, many):
                batch.append(stored(count, folder, 100))
                sizes.setdefault(count, []).append(batch[-1]["size"])
                (folder / f"jobs-100-{count}.sqlite").unlink()
    return {
        "file_bytes": fitted(sizes, "bytes", "job"),
        "one_cpu_ms": plain([x["cpu"] for x in single], "ms a job, 3 transactions"),
        "one_wait_ms": plain([x["wait"] for x in single], "ms a job, waiting for the disk"),
        "one_start_ms": plain([x["start"] for x in single], "ms a start, with its flush"),
        "one_written_bytes": plain([x["written"] for x in single], "bytes a job, written to the disk"),
        "hundred_cpu_ms": plain([x["cpu"] for x in batch], "ms a job, 100 to a transaction"),
        "hundred_start_ms": plain([x["start"] for x in batch], "ms a start, 100 to a transaction"),
        "hundred_written_bytes": plain([x["written"] for x in batch], "bytes a job, 100 to a transaction"),
    }


# The record of acts.


def audit(quick: bool, seed: int) -> dict[str, Any]:
    """Bytes and processor time of acts, by how many share a batch."""
    drawn, size, cost = random.Random(seed), dict[int, list[float]](), dict[int, list[float]]()
    for count in (1, 10, 100, 1000):
        for _ in range(1 if quick else 5):
            recorder = Recorder(
                "n0", "life", VersionSets(VersionSet("p", "s", "l")), RecorderLimits(max_full_rate=1e6), 1
            )
            turns, total = 4000 // count, 0
            calls = [f"{drawn.getrandbits(64):016x}" for _ in range(count)]
            with undisturbed():
                began, now = time.thread_time(), 1.8e12
                for _ in range(turns):
                    for call in calls:
                        now += 0.7
                        recorder.record_action(now, "send", call, "s-00000007")
                    if (batch := recorder.next_batch(now)) is not None:
                        total += len(batch[1])
                        recorder.on_written()
                spent = time.thread_time() - began
            size.setdefault(count, []).append(total / turns)
            cost.setdefault(count, []).append(spent / turns * 1e6)
    return {
        "batch_bytes": fitted(size, "bytes of a batch", "act"),
        "batch_us": fitted(cost, "us of a batch", "act"),
        "act_struct": plain(
            [float(len(msgspec.msgpack.encode(ActionRecord(1.8e12, "send", 1, "f" * 16, "s-00000007"))))],
            "bytes",
        ),
    }


# Voters.


class CountingNode(Node):
    """A member that counts what it is told."""

    messages = 0
    bytes = 0

    def on_message(self, connection: PeerConnection, last_record: int, message: Message) -> None:
        """Count it."""
        CountingNode.messages += 1
        CountingNode.bytes += HEADER.size + len(encode(message))
        super().on_message(connection, last_record, message)


class CountingFiles(Files):
    """The real files, with the syncs counted."""

    syncs = 0

    def sync(self, fd: int) -> None:
        """Count it."""
        CountingFiles.syncs += 1
        super().sync(fd)


async def voters_of(count: int, folder: Path, idle_s: float, changes: int) -> dict[str, float]:
    """So many members in one process, over real sockets and disks: idle, then changes one after the other."""
    loop = asyncio.get_running_loop()
    names = [f"m{n}" for n in range(count)]
    accepting: dict[str, Node] = {}

    def accept(name: str) -> PeerConnection:
        return accepting[name].accept()

    servers = {}
    for name in names:
        servers[name] = await loop.create_server(partial(accept, name), "127.0.0.1", 0)
    ports = {name: ("127.0.0.1", server.sockets[0].getsockname()[1]) for name, server in servers.items()}
    roll = MembershipConfig(1, tuple((name, "founding") for name in names))
    for name in names:
        mesh_store.create_log(
            str(folder / name), [encode(IncarnationStarted("f", "founding", roll)), encode(ProcessStarted(0))]
        )
        others = {other: ports[other] for other in names if other != name}
        node = NodeSettings(name, "f", ports[name], others, str(folder / name))
        accepting[name] = CountingNode(loop, node, CountingFiles())
    for name in names:
        accepting[name].listen(servers[name])
    first = accepting[names[0]]
    until = time.monotonic() + 20.0
    while not all(
        node.replica.acceptor.may_vote and len(node.connections) == count - 1 for node in accepting.values()
    ):
        if time.monotonic() > until:
            raise RuntimeError(f"{count} members did not meet")
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)

    def look() -> tuple[float, float, float, float, float]:
        return (
            time.process_time(),
            float(CountingNode.messages),
            float(CountingNode.bytes),
            float(CountingFiles.syncs),
            time.monotonic(),
        )

    before = look()
    await asyncio.sleep(idle_s)
    idle = [b - a for a, b in zip(before, look(), strict=True)]
    rates = [value / idle[4] for value in idle]
    failed, before = 0, look()

    async def change(number: int) -> float:
        nonlocal failed
        done: asyncio.Future[bool] = loop.create_future()
        plan, began = RestartPlan(number, names[0], tuple(names)), time.monotonic()

        def ended(good: bool, value: Value) -> None:
            done.set_result(good)

        first.propose("bench", lambda value: plan, ended)
        failed += not await done
        return (time.monotonic() - began) * 1000.0

    for n in range(changes):
        await change(n + 1)
    spent = [b - a for a, b in zip(before, look(), strict=True)]
    net = [(spent[i] - rates[i] * spent[4]) / changes for i in range(4)]
    accepting[names[-1]].stop()
    down = [await change(changes + n + 1) for n in range(changes)]
    for name in names[:-1]:
        accepting[name].stop()
    return {
        "idle_messages": rates[1] / count,
        "idle_bytes": rates[2] / count,
        "change_messages": net[1],
        "change_bytes": net[2],
        "change_syncs": net[3],
        "change_wall_ms": spent[4] / changes * 1000.0,
        "failed": float(failed),
        "one_down_wall_ms": statistics.mean(down),
        "one_down_most_ms": max(down),
    }


def voters(quick: bool, seed: int) -> dict[str, Any]:
    """Members in one process: what is of a member is the whole divided by their number."""
    idle_s, changes, runs = (1.5, 20, 1) if quick else (6.0, 150, 3)

    def run(count: int, number: int) -> dict[str, float]:
        with tempfile.TemporaryDirectory() as folder:
            return uvloop.run(voters_of(count, Path(folder), idle_s, changes))

    came = rounds(runs, (3, 5, 7), run)
    failed = sum(one["failed"] for all_ in came.values() for one in all_)
    return {
        "idle_messages_a_voter": fitted(column(came, "idle_messages"), "messages a second in", "voter"),
        "idle_bytes_a_voter": fitted(column(came, "idle_bytes"), "bytes a second in", "voter"),
        "change_messages": fitted(column(came, "change_messages"), "messages over all voters", "voter"),
        "change_bytes": fitted(column(came, "change_bytes"), "bytes over all voters", "voter"),
        "change_syncs": fitted(column(came, "change_syncs"), "syncs over all voters", "voter"),
        "change_wall_ms": plain(
            [x["change_wall_ms"] for all_ in came.values() for x in all_], "ms to decide"
        ),
        "one_down_wall_ms": plain(
            [x["one_down_wall_ms"] for all_ in came.values() for x in all_], "ms to decide"
        ),
        "one_down_most_ms": plain(
            [x["one_down_most_ms"] for all_ in came.values() for x in all_], "ms to decide"
        ),
        "changes_failed": plain([failed], "changes"),
    }


# Voters as processes.


def renewing(count: int, term_s: float, seconds: float) -> dict[str, float]:
    """The program as it is, so many members and two leases: cores together, changes a second.

    A member that could not start (a port that somebody else took meanwhile) has the whole begun again.
    """
    for _ in range(4):
        with tempfile.TemporaryDirectory() as name:
            cluster = Cluster(Path(name), count, (), term_s, 5.0)
            try:
                return renewed(cluster, seconds)
            except RuntimeError as error:
                print("   again:", error)
            finally:
                cluster.close()
    raise RuntimeError(f"{count} members did not run, four times")


def renewed(cluster: Cluster, seconds: float) -> dict[str, float]:
    """Measured once its members are up."""
    members = list(cluster.members.values())

    def look() -> tuple[float, float, float]:
        for member in members:
            assert member.process is not None
            if member.process.poll() is not None:
                said = (cluster.folder / f"{member.name}.log").read_text().splitlines()
                raise RuntimeError(f"{member.name} has ended: {said[-1:]}")
        spent = sum(cpu_s(member.process.pid) for member in members if member.process is not None)
        log = cluster.register_logs(cluster.names[0])[-1]
        last = read_records(log.read_bytes(), int(log.stem.partition("-")[2], 16)).last_sequence
        return spent, float(last), time.monotonic()

    for member in members:
        cluster.start(member.name, unmodified=True)
    time.sleep(4.0 + 0.2 * len(members))
    before = look()
    time.sleep(seconds)
    after = look()
    took = after[2] - before[2]
    sizes = [own_mb(member.process.pid) for member in members if member.process is not None]
    return {
        "cores": (after[0] - before[0]) / took,
        "changes": (after[1] - before[1]) / 2.0 / took,
        "mb": statistics.median(sizes),
    }


def members(quick: bool, seed: int) -> dict[str, Any]:
    """What a change costs whole programs: leases of 0.5 s renew 8.9 times a second, of 8 s 0.6 times."""
    seconds, runs = (2.0, 1) if quick else (10.0, 3)

    def run(count: int, number: int) -> dict[str, float]:
        fast, slow = renewing(count, 0.5, seconds), renewing(count, 8.0, seconds)
        more = fast["changes"] - slow["changes"]
        return {
            "change_ms": (fast["cores"] - slow["cores"]) / more * 1000.0,
            "mb": slow["mb"],
            "idle_core": (slow["cores"] - slow["changes"] * (fast["cores"] - slow["cores"]) / more) / count,
        }

    came = rounds(runs, (3, 7) if quick else (3, 5, 7), run)
    return {
        "change_cpu_ms": fitted(column(came, "change_ms"), "ms over all voters", "voter"),
        "idle_core_a_member": fitted(column(came, "idle_core"), "core", "member"),
        "own_mb": fitted(column(came, "mb"), "MB", "member"),
    }


PARTS: dict[str, Callable[[bool, int], dict[str, Any]]] = {
    "module": module,
    "whole": whole,
    "lists": lists,
    "settings": settings,
    "job_store": job_store,
    "audit": audit,
    "voters": voters,
    "members": members,
}
AIMS: dict[str, tuple[str, float]] = {
    "job_ms_at_560": ("<=", 3.0),
    "own_mb_at_560": ("<=", 128.0),
    "idle_core_at_560": ("<=", 0.027),
    "list_ms_at_560": ("<=", 40.0),
    "parse_ms_at_250": ("<=", 100.0),
    "resettle_ms_at_250": ("<=", 50.0),
    "changes_failed": ("<=", 0.0),
    "change_wall_ms": ("<=", 500.0),
    "one_down_most_ms": ("<=", 2000.0),
}
SHOWN = (
    ("job_ms_at_560", "whole", "job_ms_by_servers", 560),
    ("own_mb_at_560", "whole", "own_mb_by_servers", 560),
    ("idle_core_at_560", "whole", "idle_core_by_servers", 560),
    ("list_ms_at_560", "lists", "list_ms", 560),
    ("parse_ms_at_250", "settings", "parse_ms", 250),
    ("resettle_ms_at_250", "settings", "resettle_ms", 250 * 250),
    ("change_wall_ms", "voters", "change_wall_ms", 0),
    ("one_down_most_ms", "voters", "one_down_most_ms", 0),
)


def main() -> int:
    """Measure, write down, print."""
    parser = argparse.ArgumentParser(description="Slopes of what each thing costs by its size.")
    parser.add_argument(
        "--quick",
        action="store_true",
        help="45 s at the most, without `members`; writes nothing unless told --to",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--only", nargs="+", choices=list(PARTS), metavar="PART", help="others stay as they are"
    )
    parser.add_argument("--to", type=Path, help="the file of figures")
    options = parser.parse_args()
    path = options.to or (None if options.quick else OUT)
    kept = json.loads(path.read_text()) if path is not None and path.exists() and options.only else {}
    figures: dict[str, Any] = kept.get("parts", {})
    words = ["benchmarks/slopes.py", *(["--quick"] if options.quick else []), f"--seed {options.seed}"]
    chosen = options.only or [name for name in PARTS if not (options.quick and name == "members")]
    for name in chosen:
        began, lateness, yardstick = time.monotonic(), Lateness(), yardstick_ms()
        came = PARTS[name](options.quick, options.seed)
        late = lateness.end()
        at = datetime.now(UTC).isoformat(timespec="seconds")
        figures[name] = {
            "command": " ".join([*words, f"--only {name}"]),
            "at": at,
            "seed": options.seed,
            "quick": options.quick,
            "cores": os.cpu_count(),
            "load": round(os.getloadavg()[0], 1),
            "late": late,
            "yardstick_ms": [round(yardstick, 2), round(yardstick_ms(), 2)],
            "seconds": round(time.monotonic() - began, 1),
            "figures": came,
        }
        print(name, json.dumps(figures[name]["late"]), f"{figures[name]['seconds']} s")
        for what, figure in came.items():
            print("  ", what, {k: v for k, v in figure.items() if k != "points"})
        sys.stdout.flush()
    if path is not None:
        path.parent.mkdir(exist_ok=True)
        text = {
            "command": " ".join(words),
            "at": datetime.now(UTC).isoformat(timespec="seconds"),
            "parts": figures,
        }
        path.write_text(json.dumps(text, indent=1) + "\n")
    shown: dict[str, float] = {}
    for name, part, figure, size in SHOWN:
        if part in figures and (options.only is None or part in options.only):
            one = figures[part]["figures"][figure]
            shown[name] = one["value"] if "value" in one else one["slope"] * size + one["base"]
    if "voters" in figures and (options.only is None or "voters" in options.only):
        shown["changes_failed"] = figures["voters"]["figures"]["changes_failed"]["value"]
    worst = [part["late"]["p99_ms"] for part in figures.values()]
    shown["late_p99_ms"] = percentile(worst, 1.0)
    return print_figures(shown, AIMS)


if __name__ == "__main__":
    sys.exit(main())
