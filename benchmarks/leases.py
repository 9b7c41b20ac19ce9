"""Leases of a fleet under random faults: real processes, all links through proxies, faulty disks.

    .venv/bin/python benchmarks/leases.py [--quick] [--seed N]

Five processes, three tasks, clocks that drift within the configured bound. Disks report errors, or confirm
writes that they then lose. Every fault follows from the seed; violations are found in the history of all
processes (`tests/cluster.py`).
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


def seconds_without_holder(history: History, result: ScheduleResult) -> tuple[list[float], list[float]]:
    """Return the seconds without a holder after each kill and after each heal, task by task."""
    accepted_at_s: dict[str, list[float]] = {task: [] for task in export_tasks()}
    for export in history.exports:
        if export.accepted:
            accepted_at_s[export.task].append(export.at)

    def delay_s(task: str, after: float) -> float:
        return min((at for at in accepted_at_s[task] if at > after), default=float("inf")) - after

    kill_delays_s = [delay_s(task, at) for at, held_tasks in result.kills for task in held_tasks]
    return kill_delays_s, [delay_s(task, at) for at in result.heals for task in export_tasks()]


def main() -> int:
    """Inject the faults, check the history, print the figures."""
    parser = argparse.ArgumentParser(description="Leases of a fleet under random faults.")
    parser.add_argument("--quick", action="store_true", help="at most 45 s")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep", metavar="FOLDER", help="keep logs and disks in this folder")
    options = parser.parse_args()
    print(f"seed={options.seed}")
    rng = random.Random(options.seed)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(options.keep or temporary)
        cluster = Cluster(folder, 5, [rng.uniform(0.9955, 1.0045) for _ in range(5)], TERM_S)
        try:
            for name in cluster.names:
                cluster.start(name)
            deadline_s = time.monotonic() + 20.0
            while len(cluster.holders()) < len(export_tasks()) and time.monotonic() < deadline_s:
                time.sleep(0.05)
            faults = draw_schedule(options.seed, cluster.names, 22.0 if options.quick else 600.0)
            result = FaultInjector(cluster, options.seed).run(faults, print)
            deadline_s = time.monotonic() + 8.0
            voting_count = 0
            while voting_count < 5 and time.monotonic() < deadline_s:
                voting_count = sum(f"{name}: votes" in cluster.admin_output(name) for name in cluster.names)
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
    violations = history.violations()
    print("\n".join(violations[:20]))
    kill_delays_s, heal_delays_s = seconds_without_holder(history, result)
    figures = {
        "acts": float(sum(export.accepted for export in history.exports)),
        "wrong": float(len(violations)),
        "stale_accepted": float(sum("stale act" in line for line in violations)),
        "stale_refused": float(sum(not export.accepted for export in history.exports)),
        "held": float(len(history.lease_periods)),
        "changes": float(len(history.changes)),
        "faults": float(len(faults) - result.skipped),
        "unplayed": float(result.skipped),
        "kills": float(len(kill_delays_s)),
        "after_kill_p99_s": percentile(kill_delays_s, 0.99) if kill_delays_s else 0.0,
        "after_heal_max_s": max(heal_delays_s, default=0.0),
        "members_back": float(voting_count),
    }
    return print_figures(figures, AIMS)


if __name__ == "__main__":
    sys.exit(main())
