"""Runs a fleet of one size: cost when idle and under changes, optional faults, and checks of the history."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from harness import percentile

from scaling.checker import History
from scaling.faults import ChangeGenerator, FaultInjector
from scaling.fleet import EMPTY_HOLLOW, RELAYS, VOTERS, Fleet
from scaling.processes import Cost, Rates, Traffic, WakeupDelay, mean_rates, socket_traffic

# A figure of hollow followers is used only if it differs from that of real ones by at most this share.
HOLLOW_TOLERANCE = 0.2


@dataclass(frozen=True, slots=True)
class Sample:
    """Cost and traffic of all processes at one time."""

    costs: Mapping[str, Cost]
    traffic: Mapping[str, Traffic]


def take_sample(fleet: Fleet) -> Sample:
    """Read cost and traffic now; bytes written to logs are not counted."""
    costs = {}
    for name, cost in fleet.processes.costs().items():
        paths = (fleet.folder / f"{name}.log", fleet.folder / f"{name}.acts")
        logged = sum(path.stat().st_size for path in paths if path.exists())
        costs[name] = replace(cost, bytes_out=cost.bytes_out - logged)
    by_pid = socket_traffic()
    pids = {name: process.pid for name, process in fleet.processes.running.items()}
    return Sample(costs, {name: by_pid.get(pid, Traffic()) for name, pid in pids.items()})


def rates_between(before: Sample, after: Sample) -> dict[str, Rates]:
    """Return each process's rates; bytes and messages (segments) are those that the kernel counts."""
    found = {}
    for name, cost in after.costs.items():
        from_proc = Rates.between(before.costs[name], cost)
        elapsed_s = cost.at - before.costs[name].at
        earlier, later = before.traffic[name], after.traffic[name]
        found[name] = replace(
            from_proc,
            bytes_s=(later.total()[0] - earlier.total()[0]) / elapsed_s,
            reads_s=(later.segments_in - earlier.segments_in) / elapsed_s,
            writes_s=(later.segments_out - earlier.segments_out) / elapsed_s,
        )
    return found


@dataclass
class WindowRates:
    """Rates of each process when idle and under changes, and the number of changes per second."""

    idle: dict[str, Rates]
    changed: dict[str, Rates]
    changes_s: float
    counts: dict[str, float] = field(default_factory=dict)


def role_figures(idle: Rates, changed: Rates, changes_s: float, share: float = 1.0) -> dict[str, float]:
    """Return the figures of one process, or of a share of it."""
    return {
        "cpu_share_idle": idle.cpu_share * share,
        "cpu_share_changes": changed.cpu_share * share,
        "cpu_s_per_change": (changed.cpu_share - idle.cpu_share) * share / changes_s,
        "bytes_s_idle": idle.bytes_s * share,
        "bytes_s_changes": changed.bytes_s * share,
        "bytes_per_change": (changed.bytes_s - idle.bytes_s) * share / changes_s,
        "messages_s_idle": (idle.reads_s + idle.writes_s) * share,
        "messages_per_change": (changed.reads_s + changed.writes_s - idle.reads_s - idle.writes_s)
        * share
        / changes_s,
        "memory_mb": changed.memory_mb * share,
    }


def difference(rates: Rates, base: Rates) -> Rates:
    """Return the rates above a base."""
    names = Rates.__dataclass_fields__
    return Rates(*(getattr(rates, name) - getattr(base, name) for name in names))


def figures_by_role(fleet: Fleet, windows: WindowRates) -> dict[str, dict[str, float]]:
    """Return the figures of each role per process; those of hollow followers are per follower."""

    def of(role: str) -> dict[str, float]:
        names = [name for name, spec in fleet.process_specs.items() if spec.role == role]
        idle, changed = (mean_rates([rates[n] for n in names]) for rates in (windows.idle, windows.changed))
        return role_figures(idle, changed, windows.changes_s)

    hollow = [name for name, spec in fleet.process_specs.items() if spec.role == "hollow"]
    follower_count = sum(len(fleet.process_specs[name].followers) for name in hollow)

    def above_empty(found: dict[str, Rates]) -> Rates:
        return mean_rates([difference(found[name], found[EMPTY_HOLLOW]) for name in hollow])

    return {
        "real": of("real"),
        "relay": of("relay"),
        "voter": of("voter"),
        "alone": of("alone"),
        "hollow": role_figures(
            above_empty(windows.idle),
            above_empty(windows.changed),
            windows.changes_s,
            len(hollow) / follower_count,
        ),
    }


def compare_hollow_to_real(found: Mapping[str, Mapping[str, float]]) -> dict[str, dict[str, float | bool]]:
    """Compare hollow to real followers by figure; idle CPU time is that above a standalone dispatcher."""
    real, hollow, alone = found["real"], found["hollow"], found["alone"]
    pairs = {
        name: (real[name], hollow[name])
        for name in (
            "bytes_s_idle",
            "bytes_per_change",
            "messages_s_idle",
            "messages_per_change",
            "cpu_s_per_change",
        )
    }
    pairs["cpu_share_idle"] = (real["cpu_share_idle"] - alone["cpu_share_idle"], hollow["cpu_share_idle"])
    return {
        name: {
            "real": float(f"{a:.4g}"),
            "hollow": float(f"{b:.4g}"),
            "off": round(abs(b - a) / abs(a), 3) if a else 1.0,
            "counts": bool(a) and abs(b - a) <= HOLLOW_TOLERANCE * abs(a),
        }
        for name, (a, b) in pairs.items()
    }


def summarize_history(history: History) -> dict[str, Any]:
    """Return the delays and the violations of a history."""
    delays, violations = history.delays(), history.violations()
    fault_free = [d.seconds for d in delays if not d.faulty]
    faulty = [d.seconds for d in delays if d.faulty]
    return {
        "decided": len(history.decided()),
        "acts": len(history.applied),
        "delays": len(delays),
        "delay_p50_s": round(percentile(fault_free, 0.5), 3),
        "delay_p99_s": round(percentile(fault_free, 0.99), 3),
        "delay_max_s": round(max(fault_free, default=0.0), 3),
        "faulty_delays": len(faulty),
        "faulty_p99_s": round(percentile(faulty, 0.99), 3),
        "faulty_max_s": round(max(faulty, default=0.0), 3),
        "wrong": {kind: len(lines) for kind, lines in violations.items()},
        "wrong_first": [line for lines in violations.values() for line in lines[:3]],
    }


@dataclass(frozen=True, slots=True)
class Durations:
    """Durations of the phases of a run."""

    settle_s: float
    idle_s: float
    changes_s: float
    end_s: float = 9.5


def run_size(
    size: int, seed: int, times: Durations, faults: bool, quick: bool, bytes_each: int, keep: str = ""
) -> dict[str, Any]:
    """Run one size once; `late` in the result says that the machine was late."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        wakeup_delay, fleet = WakeupDelay(), Fleet(folder, size, seed, bytes_each)
        try:
            started_at = time.monotonic()
            fleet.run()
            up_s = time.monotonic() - started_at
            print(f"size={size} up_s={up_s:.1f} processes={len(fleet.processes.running)}", flush=True)
            time.sleep(times.settle_s)
            with wakeup_delay.watch():
                first = take_sample(fleet)
                time.sleep(times.idle_s)
                second = take_sample(fleet)
                decided = len(fleet.changes)
                started_at = time.monotonic()
                with ChangeGenerator(fleet, seed):
                    time.sleep(times.changes_s)
                    third = take_sample(fleet)
                elapsed_s = time.monotonic() - started_at
                changes = sum(change.number > 0 for change in fleet.changes[decided:])
                windows = WindowRates(
                    rates_between(first, second), rates_between(second, third), changes / elapsed_s
                )
                fault_results = FaultInjector(fleet, seed, quick).inject_all() if faults else []
            time.sleep(times.end_s)
            answers = {name: fleet.admin_answer(name) for name in ("v1", "r1", "real1")}
            history = fleet.history()
            ended = fleet.processes.ended()
            found = figures_by_role(fleet, windows)
            memory = sum(cost.memory_mb for cost in fleet.processes.costs().values())
        finally:
            fleet.close()
    for name, line in answers.items():
        print(f"{name}: {line[:300]}")
    return {
        "size": size,
        "served_each_relay": size / len(RELAYS),
        "voters": len(VOTERS),
        "up_s": round(up_s, 1),
        "contents_bytes": bytes_each,
        "changes_s": round(windows.changes_s, 4),
        "roles": {role: {k: float(f"{v:.4g}") for k, v in row.items()} for role, row in found.items()},
        "agreement": compare_hollow_to_real(found),
        "judged": summarize_history(history),
        "faults": fault_results,
        "ended_by_themselves": ended,
        "memory_mb": round(memory, 1),
        "lateness": wakeup_delay.summary(),
        "late": wakeup_delay.is_late(),
    }
