"""Sums the logs of many dispatchers, second by second: what is harmless in one may not be in all.

    .venv/bin/python benchmarks/fleet_counts.py FOLDER [--slots 8]
    .venv/bin/python benchmarks/fleet_counts.py [--quick] [--seed N]

FOLDER holds one log a dispatcher (`*.log`); lines of `event=tally` are read, with or without the seconds
since the start before them. Without a folder the fleet of tests/test_many_dispatchers.py is played in
simulated time: 24 dispatchers, 30 runners, six in ten of them replaced.
"""

from __future__ import annotations

import argparse
import re
import sys
from collections import Counter, defaultdict
from datetime import datetime
from pathlib import Path

from harness import Fleet, SimClock, SimWorkers, print_figures

from grebestack.core import api

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
SHOWN = (
    "sessions",
    "dispatches",
    "ok",
    "rejected",
    "connect_failed",
    "reset",
    "error",
    "denied",
    "failed",
    "dials",
    "not_up",
    "list_calls",
)


class TrafficTotals:
    """Sums over the fleet, by second."""

    def __init__(self) -> None:
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self.open_jobs: dict[int, Counter[str]] = defaultdict(Counter)  # jobs at each server

    def add_line(self, text: str) -> None:
        """Take one line of a log; others than tallies are passed over."""
        if "event=tally" not in text:
            return
        pairs = {name: value.strip('"') for name, value in PAIR.findall(text)}
        second = int(datetime.fromisoformat(pairs["ts"].replace("Z", "+00:00")).timestamp())
        for name in SHOWN:
            self.seconds[second][name] += int(pairs.get(name, 0))
        if "out" in pairs:
            for part in pairs["out"].split(","):
                server, _, number = part.rpartition(":")
                self.open_jobs[second][server] += int(number)

    def print_table(self, slots: int) -> dict[str, float]:
        """Print a row a second; returns the figures of the whole."""
        if not self.seconds:
            raise SystemExit("no line of event=tally in these logs")
        first = min(self.seconds)
        print("second " + " ".join(f"{name[:10]:>10}" for name in SHOWN) + "    busiest runners   over slots")
        for second in sorted(self.seconds):
            row, out = self.seconds[second], self.open_jobs[second]
            top = ",".join(str(number) for _, number in out.most_common(4))
            over = sum(max(0, number - slots) for number in out.values())
            cells = " ".join(f"{row[name]:>10}" for name in SHOWN)
            print(f"{second - first:>6} {cells} {top:>18} {over:>12}")
        total = sum(self.seconds.values(), Counter[str]())
        return {
            "sessions": total["sessions"],
            "dispatches_each": total["dispatches"] / max(1, total["sessions"]),
            "most_at_a_runner": max((max(out.values()) for out in self.open_jobs.values() if out), default=0),
            "most_list_calls_s": max(row["list_calls"] for row in self.seconds.values()),
            "most_not_up_s": max(row["not_up"] for row in self.seconds.values()),
        }


def played(seed: int, seconds: float) -> dict[str, float]:
    """The figures of a simulated fleet of which six runners in ten are replaced."""
    clock = SimClock()
    machines = SimWorkers(clock, seed, 30, 8, lambda d, r: r.uniform(300.0, 900.0), 3)
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
        weights_follow_load=True,
        report_fields=frozenset({"free_slots"}),
        tick_ms=5.0,
    )
    fleet = Fleet(clock, settings, 24, machines, seed, 3)
    fleet.start_load(260.0, clock.now + seconds * 1000.0)
    peak, until = 0.0, clock.now + seconds * 1000.0
    while clock.now < until + 9000.0:
        clock.advance_to(clock.now + 200.0)
        peak = max(peak, *(machines.used_slots(name) for name in machines.free_slots))
        for n in range(18):
            if f"s-{n}" in machines.zones and clock.now > 3000.0 + 300.0 * n:
                machines.replace(f"s-{n}")
    ends = fleet.listener.outcome_counts
    return {
        "sessions": fleet.request_count,
        "unanswered": fleet.request_count - ends.total(),
        "in_time": (ends["served"] - fleet.listener.late_count) / fleet.request_count,
        "most_at_a_runner": peak,
        "dispatches_each": len(machines.arrivals) / fleet.request_count,
    }


AIMS = {
    "unanswered": ("<=", 0.0),
    "in_time": (">=", 0.8),
    "most_at_a_runner": ("<=", 24.0),
    "dispatches_each": ("<=", 1.1),
}


def main() -> int:
    """Count logs, or play a fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", nargs="?", type=Path)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.folder is None:
        return print_figures(played(options.seed, 14.0 if options.quick else 60.0), AIMS)
    counts = TrafficTotals()
    for path in sorted(options.folder.glob("*.log")):
        with path.open(errors="replace") as lines:
            for text in lines:
                counts.add_line(text)
    return print_figures(counts.print_table(options.slots), {})


if __name__ == "__main__":
    sys.exit(main())
