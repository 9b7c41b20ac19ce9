"""Leases of a fleet under drawn faults: real processes, all links through proxies, disks that fail and lie.

    .venv/bin/python benchmarks/leases.py [--quick] [--seed N]

Five processes, three tasks, clocks that drift within the stated bound. Every fault comes from the seed; the
history of all processes decides (`tests/cluster.py`).
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
import time
from pathlib import Path

from harness import percentile, print_figures

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.cluster import Cluster, FaultInjector, History, ScheduleResult, draw_schedule, export_tasks  # noqa: E402

TERM_S = 2.0
AIMS = {
    "acts": (">=", 200.0),
    "wrong": ("<=", 0.0),
    "stale_accepted": ("<=", 0.0),
    "after_kill_p99_s": ("<=", TERM_S + 1.0),
    "after_heal_max_s": ("<=", 2.0),
    "members_back": (">=", 5.0),
}


def waits(history: History, played: ScheduleResult) -> tuple[list[float], list[float]]:
    """Seconds without a holder after kills and after heals, task by task."""
    begins: dict[str, list[float]] = {task: [] for task in export_tasks()}
    for act in history.exports:
        if act.accepted:
            begins[act.task].append(act.at)

    def first(task: str, after: float) -> float:
        return min((at for at in begins[task] if at > after), default=float("inf")) - after

    killed = [first(task, at) for at, held in played.kills for task in held]
    return killed, [first(task, at) for at in played.heals for task in export_tasks()]


def main() -> int:
    """Play, judge, print."""
    parser = argparse.ArgumentParser(description="Leases of a fleet under drawn faults.")
    parser.add_argument("--quick", action="store_true", help="45 s at the most")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", metavar="FOLDER", help="leave logs and disks in this folder")
    options = parser.parse_args()
    print(f"seed={options.seed}")
    drawn = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(options.keep or temporary)
        cluster = Cluster(folder, 5, [drawn.uniform(0.9955, 1.0045) for _ in range(5)], TERM_S)
        try:
            for name in cluster.names:
                cluster.start(name)
            until = time.monotonic() + 20.0
            while len(cluster.holders()) < len(export_tasks()) and time.monotonic() < until:
                time.sleep(0.05)
            faults = draw_schedule(options.seed, cluster.names, 22.0 if options.quick else 600.0)
            played = FaultInjector(cluster, options.seed).run(faults, print)
            until = time.monotonic() + 8.0
            back = 0
            while back < 5 and time.monotonic() < until:
                back = sum(f"{name}: votes" in cluster.admin_output(name) for name in cluster.names)
            for name in cluster.names:
                print(
                    name,
                    cluster.admin_output(name).strip(),
                    "|",
                    cluster.admin_output(name, "leases").strip(),
                )
            history = cluster.history()
        finally:
            cluster.close()
    wrong = history.violations()
    print("\n".join(wrong[:20]))
    killed, healed = waits(history, played)
    figures = {
        "acts": float(sum(act.accepted for act in history.exports)),
        "wrong": float(len(wrong)),
        "stale_accepted": float(sum("stale act" in line for line in wrong)),
        "stale_refused": float(sum(not act.accepted for act in history.exports)),
        "held": float(len(history.lease_periods)),
        "changes": float(len(history.changes)),
        "faults": float(len(faults) - played.skipped),
        "unplayed": float(played.skipped),
        "kills": float(len(killed)),
        "after_kill_p99_s": percentile(killed, 0.99) if killed else 0.0,
        "after_heal_max_s": max(healed, default=0.0),
        "members_back": float(back),
    }
    return print_figures(figures, AIMS)


if __name__ == "__main__":
    sys.exit(main())
