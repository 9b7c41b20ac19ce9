"""Processes of a run, their cost as counted by the kernel, and how late the machine wakes threads.

Processor time comes from /proc/PID/task/*/schedstat (nanoseconds), memory from /proc/PID/statm, bytes and
messages from /proc/PID/io, which counts `read` and `write` calls; uvloop uses these on connections.
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
PAGE_BYTES = resource.getpagesize()
MAX_PROCESSES = 150
MAX_WAKEUP_DELAY_MS = 25.0  # p99 of how late a sleeping thread is woken; a run beyond it is not used


@dataclass(frozen=True, slots=True)
class Cost:
    """What a process has used since its start; `memory_mb` is the current value."""

    cpu_s: float
    waited_s: float  # runnable, but waiting for a core
    bytes_in: float
    bytes_out: float
    reads: float
    writes: float
    memory_mb: float
    at: float

    @classmethod
    def of(cls, pid: int) -> Cost:
        """Read the cost of a process; raise OSError if it is gone."""
        cpu = waited = 0.0
        for task in os.listdir(f"/proc/{pid}/task"):
            with contextlib.suppress(FileNotFoundError, ProcessLookupError):
                fields = Path(f"/proc/{pid}/task/{task}/schedstat").read_text().split()
                cpu, waited = cpu + int(fields[0]) / 1e9, waited + int(fields[1]) / 1e9
        pairs = (line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
        io = {name: float(value) for name, value in pairs}
        memory = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6
        return cls(cpu, waited, io["rchar"], io["wchar"], io["syscr"], io["syscw"], memory, time.monotonic())


@dataclass(frozen=True, slots=True)
class Rates:
    """Cost per second between two readings."""

    cpu_share: float
    waited_share: float
    bytes_s: float  # in and out together
    reads_s: float
    writes_s: float
    memory_mb: float

    @classmethod
    def between(cls, before: Cost, after: Cost) -> Rates:
        """Return the rates between two readings."""
        elapsed_s = after.at - before.at
        return cls(
            (after.cpu_s - before.cpu_s) / elapsed_s,
            (after.waited_s - before.waited_s) / elapsed_s,
            (after.bytes_in - before.bytes_in + after.bytes_out - before.bytes_out) / elapsed_s,
            (after.reads - before.reads) / elapsed_s,
            (after.writes - before.writes) / elapsed_s,
            after.memory_mb,
        )


def mean_rates(rates: Sequence[Rates]) -> Rates:
    """Return the mean of each field."""

    def of(name: str) -> float:
        return float(sum(getattr(one, name) for one in rates)) / len(rates)

    return Rates(*(of(name) for name in Rates.__dataclass_fields__))


class Processes:
    """All processes that a run has started; ends them by id and touches no others."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, args: Sequence[str], reads_commands: bool = False) -> subprocess.Popen[bytes]:
        """Start `python -m ARGS`, logging to NAME.log; raise RuntimeError at MAX_PROCESSES.

        With `reads_commands` it is a module of the benchmark that takes commands on standard input.
        """
        if len(self.running) >= MAX_PROCESSES:
            raise RuntimeError(f"a run has at most {MAX_PROCESSES} processes")
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *args],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=os.environ | ({"PYTHONPATH": str(ROOT / "benchmarks")} if reads_commands else {}),
                stdin=subprocess.PIPE if reads_commands else subprocess.DEVNULL,
            )
        self.running[name] = process
        return process

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process; wait for the end of one that is killed."""
        process = self.running[name]
        process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            process.wait(20)
            del self.running[name]

    def cost(self, name: str) -> Cost:
        """Return the cost of a process; raise OSError if it is gone."""
        return Cost.of(self.running[name].pid)

    def costs(self) -> dict[str, Cost]:
        """Return the cost of each running process."""
        found = {}
        for name in list(self.running):
            with contextlib.suppress(OSError):
                found[name] = self.cost(name)
        return found

    def ended(self) -> list[str]:
        """Return the processes that ended by themselves, which none should."""
        return [name for name, process in self.running.items() if process.poll() is not None]

    def close(self) -> None:
        """Kill all processes and wait for them."""
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running.values():
            process.wait(20)
        self.running.clear()


@dataclass(frozen=True, slots=True)
class Traffic:
    """Payload bytes and TCP segments with payload that a process's open connections have carried."""

    bytes_in: float = 0.0
    bytes_out: float = 0.0
    segments_in: float = 0.0
    segments_out: float = 0.0

    def add(self, other: Traffic) -> Traffic:
        """Return the sums."""
        return Traffic(*(getattr(self, name) + getattr(other, name) for name in Traffic.__dataclass_fields__))

    def total(self) -> tuple[float, float]:
        """Return bytes and segments, both directions together."""
        return self.bytes_in + self.bytes_out, self.segments_in + self.segments_out


def parse_socket_traffic(text: str) -> dict[int, Traffic]:
    """Return the traffic by process id from the output of `ss -tinpH`."""
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
            found[pid] = found.get(pid, Traffic()).add(traffic)
    return found


def socket_traffic() -> dict[int, Traffic]:
    """Return the traffic of all processes; raise OSError if the machine has no `ss`."""
    result = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, check=True)
    return parse_socket_traffic(result.stdout)


class WakeupDelay:
    """Measures how late the machine wakes a thread that sleeps 10 ms at a time."""

    def __init__(self) -> None:
        self.delays_ms: list[float] = []
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._measure, daemon=True)

    def _measure(self) -> None:
        while not self.stopped.is_set():
            started_at = time.monotonic()
            time.sleep(0.01)
            self.delays_ms.append((time.monotonic() - started_at - 0.01) * 1000.0)

    @contextlib.contextmanager
    def watch(self) -> Iterator[WakeupDelay]:
        """Measure while the context is open."""
        self.thread.start()
        try:
            yield self
        finally:
            self.stopped.set()
            self.thread.join()

    def summary(self) -> dict[str, float]:
        """Return p50, p99 and maximum in milliseconds."""
        ordered = sorted(self.delays_ms) or [0.0]
        return {
            "p50_ms": round(ordered[len(ordered) // 2], 2),
            "p99_ms": round(ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))], 2),
            "max_ms": round(ordered[-1], 2),
        }

    def is_late(self) -> bool:
        """Whether measurements made meanwhile must be discarded."""
        return self.summary()["p99_ms"] > MAX_WAKEUP_DELAY_MS


def machine_info() -> dict[str, object]:
    """Return core count and load of this machine."""
    return {"cores": os.cpu_count(), "load_1min": round(os.getloadavg()[0], 2)}
