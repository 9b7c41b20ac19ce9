"""Processor time that a follower needs to parse and check contents, by the number of listed workers."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

from grebestack.program.config.operator_file import from_file
from grebestack.program.config_updates import AppliedConfig
from scaling.fits import fit
from scaling.hollow import HollowHost
from tests.standins import OPERATOR_SETTINGS

WORKER_COUNTS, REPEATS = (0, 70, 140, 280, 560), 15


def measure_parse_cost(folder: Path) -> dict[str, Any]:
    """Return lines through the processor time (ms, minimum of several runs) and the size in bytes.

    The time is that of `AppliedConfig.preview`, which parses the new contents once; applying them to the
    engine is not included.
    """
    base = folder / "base.toml"
    head = 'name = "base"\nlisten = "127.0.0.1:1"\n'
    base.write_text(f'{head}[servers]\nsource = "list"\nlist = []\n{OPERATOR_SETTINGS}')
    times, sizes = [], []
    for count in WORKER_COUNTS:
        workers = "".join(
            f'{{ uid = "w{n:03}", endpoint = "10.0.{n // 256}.{n % 256}:9000", state = "Ready", '
            f'az = "here", model = "c8", capacity_hint = 8.0 }},\n'
            for n in range(count)
        )
        contents = f'{OPERATOR_SETTINGS}[servers]\nsource = "list"\nlist = [\n{workers}]\n'.encode()
        best_ms, applied = float("inf"), AppliedConfig(HollowHost(from_file(str(base))))
        for _ in range(REPEATS):
            started_at = time.process_time()
            applied.preview(contents)
            best_ms = min(best_ms, (time.process_time() - started_at) * 1000.0)
        times.append((float(count), best_ms))
        sizes.append((float(count), float(len(contents))))
    return {
        "cpu_ms": fit(times).as_json("worker"),
        "bytes": fit(sizes).as_json("worker"),
        "points": [[count, round(ms, 3)] for count, ms in times],
    }
