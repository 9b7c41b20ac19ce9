"""What an idle fleet costs in which every dispatcher is a member, and so is connected to every other."""

from __future__ import annotations

import tempfile
import time
from dataclasses import asdict
from pathlib import Path

from scaling.fits import Line, fit
from scaling.processes import Lateness, Processes, Rates, machine, mean
from tests.ports import reserved_port
from tests.standins import OPERATOR_SETTINGS, reports_ready, send_admin_command

LIMITS = {"cpu_share": 0.027, "memory_mb": 128.0, "bytes_s": 7000.0}
TRIES = 3


def _files(folder: Path, count: int) -> dict[str, tuple[str, int]]:
    """A file for each member; where each one's door is. One member is a dispatcher without a fleet."""
    names = [f"m{n:02}" for n in range(count)]
    doors = {name: ("127.0.0.1", reserved_port()) for name in names}
    members = "".join(f'{name} = "127.0.0.1:{reserved_port()}"\n' for name in names)
    fleet = f'[fleet]\nname = "scale"\nfolder = "%s-disk"\n[fleet.members]\n{members}'
    for name, door in doors.items():
        (folder / f"{name}.toml").write_text(
            f'name = "{name}"\nlisten = "127.0.0.1:{reserved_port()}"\ncontrol = "127.0.0.1:{door[1]}"\n'
            f'[servers]\nsource = "list"\nlist = []\n{fleet % name if count > 1 else ""}{OPERATOR_SETTINGS}'
        )
    return doors


def _once(folder: Path, count: int, settle_s: float, seconds: float) -> tuple[list[Rates], Lateness]:
    doors, processes, lateness = _files(folder, count), Processes(folder), Lateness()
    try:
        if count > 1:
            for name in doors:
                words = ["grebestack", "form", "--config", str(folder / f"{name}.toml")]
                processes.start(name, words).wait(60)
                del processes.running[name]
        for name in doors:
            processes.start(name, ["grebestack", "--config", str(folder / f"{name}.toml")])
        until = time.monotonic() + 60.0
        for door in doors.values():
            while not reports_ready(door) or (
                count > 1 and "majority is heard" not in send_admin_command(door, "fleet")
            ):
                if time.monotonic() > until:
                    raise RuntimeError(f"{count} members did not come up in 60 s: {processes.ended()}")
                time.sleep(0.05)
        time.sleep(settle_s)
        with lateness.watch():
            before = processes.costs()
            time.sleep(seconds)
            after = processes.costs()
        if len(after) < count:
            raise RuntimeError(f"members ended by themselves: {processes.ended()}")
        return [Rates.between(before[name], after[name]) for name in after], lateness
    finally:
        processes.close()


def measure(sizes: tuple[int, ...], settle_s: float, seconds: float) -> dict[str, object]:
    """Figures a member for each size, lines through them, and where each limit is met.

    A late run is made again; one that stays late is listed and counts in no line.
    """
    rows: list[dict[str, object]] = []
    for count in sizes:
        for attempt in range(TRIES):
            with tempfile.TemporaryDirectory() as temporary:
                rates, lateness = _once(Path(temporary), count, settle_s, seconds)
            row: dict[str, object] = {"members": count}
            row |= {k: float(f"{v:.4g}") for k, v in asdict(mean(rates)).items()}
            row |= {"cpu_share_max": round(max(one.cpu_share for one in rates), 5)}
            row |= {"lateness": lateness.shown(), "late": lateness.late(), "try": attempt + 1}
            rows.append(row)
            print(row, flush=True)
            if not lateness.late():
                break
    counted = [row for row in rows if not row["late"] and row["members"] != 1]
    lines: dict[str, Line] = {}
    for name in ("cpu_share", "bytes_s", "writes_s", "reads_s", "memory_mb"):
        if len(counted) >= 2:
            lines[name] = fit([(float(str(row["members"])), float(str(row[name]))) for row in counted])
    met = {}
    for name, limit in LIMITS.items():
        size = lines[name].reaches(limit) if name in lines else None
        met[name] = {"limit": limit, "at_members": None if size is None else round(size, 1)}
    return {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "machine": machine(),
        "sizes": [count for count in sizes if count > 1],
        "window_s": seconds,
        "late_sizes": [c for c in sizes if c not in {row["members"] for row in rows if not row["late"]}],
        "runs": rows,
        "fits": {name: line.shown("member") for name, line in lines.items()},
        "limit_met": met,
    }
