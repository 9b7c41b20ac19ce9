"""Runs many randomized simulations of replicas under faults and prints the seeds that fail.

    python -m tests.replica_soak [--first SEED] [--draws N] [--processes N]

Each seed is run with three and with five members, as in `tests.test_replica`.
"""

from __future__ import annotations

import argparse
import sys
import traceback
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from tests.test_replica import check_under_faults

MEMBER_COUNTS = (3, 5)
RUNS_PER_CHUNK = 8


class Run(NamedTuple):
    """The parameters of one simulation."""

    seed: int
    members: int


class Failure(NamedTuple):
    """A simulation that failed, and the last line of its traceback."""

    run: Run
    reason: str


def simulate(run: Run) -> Failure | None:
    """Run one simulation."""
    try:
        check_under_faults(run.seed, run.members)
    except Exception:
        return Failure(run, traceback.format_exc().strip().splitlines()[-1])
    return None


def main() -> int:
    """Run the requested seeds; return 1 if any fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument(
        "--draws", type=int, default=1000, help="number of simulations, over all member counts"
    )
    parser.add_argument("--processes", type=int, default=None)
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.draws // len(MEMBER_COUNTS))
    runs = [Run(seed, members) for seed in seeds for members in MEMBER_COUNTS]
    with ProcessPoolExecutor(args.processes) as processes:
        failures = [failure for failure in processes.map(simulate, runs, chunksize=RUNS_PER_CHUNK) if failure]
    for failure in failures:
        print(f"seed {failure.run.seed}, {failure.run.members} members: {failure.reason[:200]}")
    print(f"{len(failures)} of {len(runs)} simulations failed")
    return int(bool(failures))


if __name__ == "__main__":
    sys.exit(main())
