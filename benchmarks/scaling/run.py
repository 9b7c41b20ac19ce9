"""One size of a fleet: what it costs idle and under changes, faults where asked for, and the verdict."""

from __future__ import annotations

import tempfile
import time
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from harness import percentile

from scaling.checker import History
from scaling.faults import Changer, Player
from scaling.fleet import EMPTY, RELAYS, VOTERS, Fleet
from scaling.processes import Cost, Lateness, Rates, Traffic, mean, sockets

WITHIN = 0.2  # hollow ones count where they cost what real ones do, but for so large a share


@dataclass(frozen=True, slots=True)
class Look:
    """What all processes have cost so far."""

    costs: Mapping[str, Cost]
    traffic: Mapping[str, Traffic]


def look(fleet: Fleet) -> Look:
    """Now. What goes to logs is no message."""
    costs = {}
    for name, cost in fleet.processes.costs().items():
        paths = (fleet.folder / f"{name}.log", fleet.folder / f"{name}.acts")
        logged = sum(path.stat().st_size for path in paths if path.exists())
        costs[name] = replace(cost, bytes_out=cost.bytes_out - logged)
    by_pid = sockets()
    pids = {name: process.pid for name, process in fleet.processes.running.items()}
    return Look(costs, {name: by_pid.get(pid, Traffic()) for name, pid in pids.items()})


def rates(before: Look, after: Look) -> dict[str, Rates]:
    """Per second between two looks; bytes and messages (segments) as the kernel counts them."""
    found = {}
    for name, cost in after.costs.items():
        one = Rates.between(before.costs[name], cost)
        took = cost.at - before.costs[name].at
        was, now = before.traffic[name], after.traffic[name]
        found[name] = replace(
            one,
            bytes_s=(now.total()[0] - was.total()[0]) / took,
            reads_s=(now.segments_in - was.segments_in) / took,
            writes_s=(now.segments_out - was.segments_out) / took,
        )
    return found


@dataclass
class Windows:
    """Rates of each process, idle and under changes, and how many changes a second there were."""

    idle: dict[str, Rates]
    changed: dict[str, Rates]
    changes_s: float
    counts: dict[str, float] = field(default_factory=dict)


def figures(idle: Rates, changed: Rates, changes_s: float, share: float = 1.0) -> dict[str, float]:
    """Of one process, or of a share of it."""
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


def less(one: Rates, base: Rates) -> Rates:
    """What it costs above another."""
    names = Rates.__dataclass_fields__
    return Rates(*(getattr(one, name) - getattr(base, name) for name in names))


def roles(fleet: Fleet, windows: Windows) -> dict[str, dict[str, float]]:
    """Figures of each role: of a process, but for hollow followers, which are those of one of them."""

    def of(role: str) -> dict[str, float]:
        names = [name for name, place in fleet.places.items() if place.role == role]
        idle, changed = (mean([rates[n] for n in names]) for rates in (windows.idle, windows.changed))
        return figures(idle, changed, windows.changes_s)

    hollow = [name for name, place in fleet.places.items() if place.role == "hollow"]
    number = sum(len(fleet.places[name].followers) for name in hollow)

    def above(found: dict[str, Rates]) -> Rates:
        return mean([less(found[name], found[EMPTY]) for name in hollow])

    return {
        "real": of("real"),
        "relay": of("relay"),
        "voter": of("voter"),
        "alone": of("alone"),
        "hollow": figures(
            above(windows.idle), above(windows.changed), windows.changes_s, len(hollow) / number
        ),
    }


def agreement(found: Mapping[str, Mapping[str, float]]) -> dict[str, dict[str, float | bool]]:
    """Hollow ones beside real ones, figure by figure; idle processor time is that above one that is alone."""
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
            "counts": bool(a) and abs(b - a) <= WITHIN * abs(a),
        }
        for name, (a, b) in pairs.items()
    }


def judged(history: History) -> dict[str, Any]:
    """Delays and what was wrong."""
    delays, wrong = history.delays(), history.wrong()
    calm = [d.seconds for d in delays if not d.faulty]
    after = [d.seconds for d in delays if d.faulty]
    return {
        "decided": len(history.decided()),
        "acts": len(history.acted),
        "delays": len(delays),
        "delay_p50_s": round(percentile(calm, 0.5), 3),
        "delay_p99_s": round(percentile(calm, 0.99), 3),
        "delay_max_s": round(max(calm, default=0.0), 3),
        "faulty_delays": len(after),
        "faulty_p99_s": round(percentile(after, 0.99), 3),
        "faulty_max_s": round(max(after, default=0.0), 3),
        "wrong": {kind: len(lines) for kind, lines in wrong.items()},
        "wrong_first": [line for lines in wrong.values() for line in lines[:3]],
    }


@dataclass(frozen=True, slots=True)
class Times:
    """How long is waited and looked, seconds."""

    settle_s: float
    idle_s: float
    changes_s: float
    end_s: float = 9.5


def one(
    size: int, seed: int, times: Times, faults: bool, quick: bool, bytes_each: int, keep: str = ""
) -> dict[str, Any]:
    """Run one size once; `late` where the machine was."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(keep or temporary)
        lateness, fleet = Lateness(), Fleet(folder, size, seed, bytes_each)
        try:
            begun = time.monotonic()
            fleet.run()
            up_s = time.monotonic() - begun
            print(f"size={size} up_s={up_s:.1f} processes={len(fleet.processes.running)}", flush=True)
            time.sleep(times.settle_s)
            with lateness.watch():
                first = look(fleet)
                time.sleep(times.idle_s)
                second = look(fleet)
                decided = len(fleet.asked)
                begun = time.monotonic()
                with Changer(fleet, seed):
                    time.sleep(times.changes_s)
                    third = look(fleet)
                took = time.monotonic() - begun
                changes = sum(ask.number > 0 for ask in fleet.asked[decided:])
                windows = Windows(rates(first, second), rates(second, third), changes / took)
                played = Player(fleet, seed, quick).play() if faults else []
            time.sleep(times.end_s)
            shown = {name: fleet.shown(name) for name in ("v1", "r1", "real1")}
            history = fleet.history()
            ended = fleet.processes.ended()
            found = roles(fleet, windows)
            memory = sum(cost.memory_mb for cost in fleet.processes.costs().values())
        finally:
            fleet.close()
    for name, line in shown.items():
        print(f"{name}: {line[:300]}")
    return {
        "size": size,
        "served_each_relay": size / len(RELAYS),
        "voters": len(VOTERS),
        "up_s": round(up_s, 1),
        "contents_bytes": bytes_each,
        "changes_s": round(windows.changes_s, 4),
        "roles": {role: {k: float(f"{v:.4g}") for k, v in row.items()} for role, row in found.items()},
        "agreement": agreement(found),
        "judged": judged(history),
        "faults": played,
        "ended_by_themselves": ended,
        "memory_mb": round(memory, 1),
        "lateness": lateness.shown(),
        "late": lateness.late(),
    }
