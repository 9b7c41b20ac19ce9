"""Sums the logs of many dispatchers by second: a load that is harmless in one may not be in all together.

    .venv/bin/python benchmarks/fleet_counts.py FOLDER [--slots 8]
    .venv/bin/python benchmarks/fleet_counts.py [--quick] [--seed N]

FOLDER holds one log per dispatcher (`*.log`); lines with `event=tally` are read, whether or not the seconds
since the start precede them. Without a folder the fleet of tests/test_many_dispatchers.py runs in simulated
time: 24 dispatchers and 30 workers, six in ten of which are replaced.
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

KEY_VALUE = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')
COLUMNS = (
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
    """Traffic counts of all dispatchers together, by second."""

    def __init__(self) -> None:
        self.seconds: dict[int, Counter[str]] = defaultdict(Counter)
        self.open_jobs: dict[int, Counter[str]] = defaultdict(Counter)  # by second, jobs at each worker

    def add_line(self, text: str) -> None:
        """Add a line of a log; lines other than tallies are ignored."""
        if "event=tally" not in text:
            return
        fields = {name: value.strip('"') for name, value in KEY_VALUE.findall(text)}
        second = int(datetime.fromisoformat(fields["ts"].replace("Z", "+00:00")).timestamp())
        for name in COLUMNS:
            self.seconds[second][name] += int(fields.get(name, 0))
        if "out" in fields:
            for part in fields["out"].split(","):
                worker, _, number = part.rpartition(":")
                self.open_jobs[second][worker] += int(number)

    def print_table(self, slots: int) -> dict[str, float]:
        """Print a row per second; return the figures of the whole period."""
        if not self.seconds:
            raise SystemExit("no line with event=tally in these logs")
        first = min(self.seconds)
        print(
            "second " + " ".join(f"{name[:10]:>10}" for name in COLUMNS) + "    busiest workers   over slots"
        )
        for second in sorted(self.seconds):
            row, open_jobs = self.seconds[second], self.open_jobs[second]
            busiest = ",".join(str(number) for _, number in open_jobs.most_common(4))
            excess = sum(max(0, number - slots) for number in open_jobs.values())
            cells = " ".join(f"{row[name]:>10}" for name in COLUMNS)
            print(f"{second - first:>6} {cells} {busiest:>18} {excess:>12}")
        total = sum(self.seconds.values(), Counter[str]())
        return {
            "sessions": total["sessions"],
            "dispatches_each": total["dispatches"] / max(1, total["sessions"]),
            "most_at_a_runner": max(
                (max(open_jobs.values()) for open_jobs in self.open_jobs.values() if open_jobs), default=0
            ),
            "most_list_calls_s": max(row["list_calls"] for row in self.seconds.values()),
            "most_not_up_s": max(row["not_up"] for row in self.seconds.values()),
        }


def simulate(seed: int, seconds: float) -> dict[str, float]:
    """Return the figures of a simulated fleet in which six in ten workers are replaced."""
    clock = SimClock()
    workers = SimWorkers(clock, seed, 30, 8, lambda attempt, rng: rng.uniform(300.0, 900.0), 3)
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
    fleet = Fleet(clock, settings, 24, workers, seed, 3)
    fleet.start_load(260.0, clock.now + seconds * 1000.0)
    peak_slots, end_ms = 0.0, clock.now + seconds * 1000.0
    while clock.now < end_ms + 9000.0:
        clock.advance_to(clock.now + 200.0)
        peak_slots = max(peak_slots, *(workers.used_slots(name) for name in workers.free_slots))
        for n in range(18):
            if f"s-{n}" in workers.zones and clock.now > 3000.0 + 300.0 * n:
                workers.replace(f"s-{n}")
    outcome_counts = fleet.listener.outcome_counts
    return {
        "sessions": fleet.request_count,
        "unanswered": fleet.request_count - outcome_counts.total(),
        "in_time": (outcome_counts["served"] - fleet.listener.late_count) / fleet.request_count,
        "most_at_a_runner": peak_slots,
        "dispatches_each": len(workers.arrivals) / fleet.request_count,
    }


AIMS = {
    "unanswered": ("<=", 0.0),
    "in_time": (">=", 0.8),
    "most_at_a_runner": ("<=", 24.0),
    "dispatches_each": ("<=", 1.1),
}


def main() -> int:
    """Sum logs, or simulate a fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("folder", nargs="?", type=Path)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.folder is None:
        return print_figures(simulate(options.seed, 14.0 if options.quick else 60.0), AIMS)
    totals = TrafficTotals()
    for path in sorted(options.folder.glob("*.log")):
        with path.open(errors="replace") as lines:
            for text in lines:
                totals.add_line(text)
    return print_figures(totals.print_table(options.slots), {})


if __name__ == "__main__":
    sys.exit(main())
