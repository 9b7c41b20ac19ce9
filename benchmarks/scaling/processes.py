"""Processes of a run, what the kernel says that they cost, and how late the machine is.

Processor time comes from /proc/PID/task/*/schedstat (nanoseconds), memory from /proc/PID/statm, bytes and
messages from /proc/PID/io: what is read and written by `read` and `write`, as uvloop does with connections.
"""

from __future__ import annotations

import contextlib
import os
import re
import resource
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PAGE = resource.getpagesize()
MOST_PROCESSES = 150
LATE_MS = 25.0  # p99 of how late a sleeping thread is woken; beyond it a run is late and counts for nothing


@dataclass(frozen=True, slots=True)
class Cost:
    """What a process has cost since it began: seconds and bytes; memory in MB is as it is now."""

    cpu_s: float
    waited_s: float  # ready to run, and no core was free
    bytes_in: float
    bytes_out: float
    reads: float
    writes: float
    memory_mb: float
    at: float

    @classmethod
    def of(cls, pid: int) -> Cost:
        """OSError: the process is gone."""
        cpu = waited = 0.0
        for task in os.listdir(f"/proc/{pid}/task"):
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                words = Path(f"/proc/{pid}/task/{task}/schedstat").read_text().split()
                cpu, waited = cpu + int(words[0]) / 1e9, waited + int(words[1]) / 1e9
        pairs = (line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
        io = {name: float(value) for name, value in pairs}
        memory = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 1e6
        return cls(cpu, waited, io["rchar"], io["wchar"], io["syscr"], io["syscw"], memory, time.monotonic())


@dataclass(frozen=True, slots=True)
class Rates:
    """Per second between two looks."""

    cpu_share: float
    waited_share: float
    bytes_s: float  # in and out together
    reads_s: float
    writes_s: float
    memory_mb: float

    @classmethod
    def between(cls, before: Cost, after: Cost) -> Rates:
        """What it cost from one look to the next."""
        took = after.at - before.at
        return cls(
            (after.cpu_s - before.cpu_s) / took,
            (after.waited_s - before.waited_s) / took,
            (after.bytes_in - before.bytes_in + after.bytes_out - before.bytes_out) / took,
            (after.reads - before.reads) / took,
            (after.writes - before.writes) / took,
            after.memory_mb,
        )


def mean(rates: Sequence[Rates]) -> Rates:
    """The mean of each figure."""

    def of(name: str) -> float:
        return float(sum(getattr(one, name) for one in rates)) / len(rates)

    return Rates(*(of(name) for name in Rates.__dataclass_fields__))


class Processes:
    """All processes that a run has started; it ends them by their ids, and no others."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, words: Sequence[str], orders: bool = False) -> subprocess.Popen[bytes]:
        """`python -m WORDS`, its log beside its file; `orders`: one of the rig's own, told by its input.

        RuntimeError: there are too many.
        """
        if len(self.running) >= MOST_PROCESSES:
            raise RuntimeError(f"a run has at most {MOST_PROCESSES} processes")
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *words],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | ({"PYTHONPATH": str(ROOT / "benchmarks")} if orders else {}),
                stdin=subprocess.PIPE if orders else subprocess.DEVNULL,
            )
        self.running[name] = process
        return process

    def signal(self, name: str, number: int) -> None:
        """To one of them; a killed one is waited for."""
        process = self.running[name]
        process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            process.wait(20)
            del self.running[name]

    def cost(self, name: str) -> Cost:
        """OSError: it is gone."""
        return Cost.of(self.running[name].pid)

    def costs(self) -> dict[str, Cost]:
        """Of all that run."""
        found = {}
        for name in list(self.running):
            with contextlib.suppress(OSError):
                found[name] = self.cost(name)
        return found

    def ended(self) -> list[str]:
        """Those that ended by themselves, which none should."""
        return [name for name, process in self.running.items() if process.poll() is not None]

    def close(self) -> None:
        """End all."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running.values():
            process.wait(20)
        self.running.clear()


@dataclass(frozen=True, slots=True)
class Traffic:
    """What a process's open connections have carried: payload bytes, TCP segments with payload."""

    bytes_in: float = 0.0
    bytes_out: float = 0.0
    segments_in: float = 0.0
    segments_out: float = 0.0

    def plus(self, other: Traffic) -> Traffic:
        """The sums."""
        return Traffic(*(getattr(self, name) + getattr(other, name) for name in Traffic.__dataclass_fields__))

    def total(self) -> tuple[float, float]:
        """Bytes and segments, both ways."""
        return self.bytes_in + self.bytes_out, self.segments_in + self.segments_out


def read_sockets(text: str) -> dict[int, Traffic]:
    """By process, from the output of `ss -tinpH`."""
    found: dict[int, Traffic] = {}
    pids: list[int] = []
    for line in text.splitlines():
        if not line[:1].isspace():
            pids = sorted({int(pid) for pid in re.findall(r"pid=(\d+)", line)})
            continue
        numbers = {name: float(value) for name, value in re.findall(r"\b(\w+):(\d+)\b", line)}
        names = ("bytes_received", "bytes_sent", "data_segs_in", "data_segs_out")
        traffic = Traffic(*(numbers.get(name, 0.0) for name in names))
        for pid in pids:
            found[pid] = found.get(pid, Traffic()).plus(traffic)
    return found


def sockets() -> dict[int, Traffic]:
    """Of all processes, as the kernel counts it. OSError: the machine has no `ss`."""
    done = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, check=True)
    return read_sockets(done.stdout)


class Lateness:
    """How late the machine wakes a thread that sleeps 10 ms at a time."""

    def __init__(self) -> None:
        self.late_ms: list[float] = []
        self.over = threading.Event()
        self.thread = threading.Thread(target=self._watch, daemon=True)

    def _watch(self) -> None:
        while not self.over.is_set():
            begun = time.monotonic()
            time.sleep(0.01)
            self.late_ms.append((time.monotonic() - begun - 0.01) * 1000.0)

    @contextlib.contextmanager
    def watch(self) -> Iterator[Lateness]:
        """Look on for as long as this lasts."""
        self.thread.start()
        try:
            yield self
        finally:
            self.over.set()
            self.thread.join()

    def shown(self) -> dict[str, float]:
        """p50, p99 and the most, milliseconds."""
        ordered = sorted(self.late_ms) or [0.0]
        return {
            "p50_ms": round(ordered[len(ordered) // 2], 2),
            "p99_ms": round(ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))], 2),
            "max_ms": round(ordered[-1], 2),
        }

    def late(self) -> bool:
        """Whether what was measured meanwhile counts for nothing."""
        return self.shown()["p99_ms"] > LATE_MS


def machine() -> dict[str, object]:
    """What this was measured on."""
    return {"cores": os.cpu_count(), "load_1min": round(os.getloadavg()[0], 2)}
