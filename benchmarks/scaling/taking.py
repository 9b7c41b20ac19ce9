"""What it takes a follower to read and check contents, by how many servers they list."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

from grebestack.program.config.operator_file import from_file
from grebestack.program.config_updates import AppliedConfig
from scaling.fits import fit
from scaling.hollow import HollowHost
from tests.standins import OPERATOR_SETTINGS

WORKERS, REPEATS = (0, 70, 140, 280, 560), 15


def taking(folder: Path) -> dict[str, Any]:
    """Milliseconds of processor time each, the least of several, and bytes; lines through them.

    It is `AppliedConfig.preview`, which reads the new contents once: the engine's part is not in it.
    """
    base = folder / "base.toml"
    head = 'name = "base"\nlisten = "127.0.0.1:1"\n'
    base.write_text(f'{head}[servers]\nsource = "list"\nlist = []\n{OPERATOR_SETTINGS}')
    times, sizes = [], []
    for count in WORKERS:
        servers = "".join(
            f'{{ uid = "w{n:03}", endpoint = "10.0.{n // 256}.{n % 256}:9000", state = "Ready", '
            f'az = "here", model = "c8", capacity_hint = 8.0 }},\n'
            for n in range(count)
        )
        contents = f'{OPERATOR_SETTINGS}[servers]\nsource = "list"\nlist = [\n{servers}]\n'.encode()
        best, applied = float("inf"), AppliedConfig(HollowHost(from_file(str(base))))
        for _ in range(REPEATS):
            begun = time.process_time()
            applied.preview(contents)
            best = min(best, (time.process_time() - begun) * 1000.0)
        times.append((float(count), best))
        sizes.append((float(count), float(len(contents))))
    return {
        "cpu_ms": fit(times).shown("worker"),
        "bytes": fit(sizes).shown("worker"),
        "points": [[count, round(ms, 3)] for count, ms in times],
    }
