"""Plays many drawn histories of the replicas' model and names the seeds that break a rule.

    python -m tests.replica_soak [--first SEED] [--draws N] [--processes N]

Each seed is played with three and with five members, as `tests.test_replica` does.
"""

from __future__ import annotations

import argparse
import sys
import traceback
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

from tests.test_replica import check_under_faults

MEMBER_COUNTS = (3, 5)
DRAWS_A_CHUNK = 8


class Play(NamedTuple):
    """One history."""

    seed: int
    members: int


class Failure(NamedTuple):
    """A history that broke a rule, and the last line of how."""

    play: Play
    reason: str


def run(play: Play) -> Failure | None:
    """Play one history."""
    try:
        check_under_faults(play.seed, play.members)
    except Exception:
        return Failure(play, traceback.format_exc().strip().splitlines()[-1])
    return None


def main() -> int:
    """Play the seeds that are asked for; return 1 if any breaks a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--draws", type=int, default=1000, help="histories to play, of all member counts")
    parser.add_argument("--processes", type=int, default=None)
    args = parser.parse_args()
    seeds = range(args.first, args.first + args.draws // len(MEMBER_COUNTS))
    plays = [Play(seed, members) for seed in seeds for members in MEMBER_COUNTS]
    with ProcessPoolExecutor(args.processes) as processes:
        failures = [failure for failure in processes.map(run, plays, chunksize=DRAWS_A_CHUNK) if failure]
    for failure in failures:
        print(f"seed {failure.play.seed}, {failure.play.members} members: {failure.reason[:200]}")
    print(f"{len(failures)} of {len(plays)} histories broke a rule")
    return int(bool(failures))


if __name__ == "__main__":
    sys.exit(main())
