"""Cost of an idle fleet in which every dispatcher is a member, and so is connected to every other."""

from __future__ import annotations

import tempfile
import time
from dataclasses import asdict
from pathlib import Path

from scaling.fits import Line, fit
from scaling.processes import Processes, Rates, WakeupDelay, machine_info, mean_rates
from tests.ports import reserved_port
from tests.standins import OPERATOR_SETTINGS, reports_ready, send_admin_command

LIMITS = {"cpu_share": 0.027, "memory_mb": 128.0, "bytes_s": 7000.0}
MAX_TRIES = 3


def _write_configs(folder: Path, count: int) -> dict[str, tuple[str, int]]:
    """Write a file for each member; return their admin addresses. A single member has no fleet."""
    names = [f"m{n:02}" for n in range(count)]
    admin_addresses = {name: ("127.0.0.1", reserved_port()) for name in names}
    members = "".join(f'{name} = "127.0.0.1:{reserved_port()}"\n' for name in names)
    fleet = f'[fleet]\nname = "scale"\nfolder = "%s-disk"\n[fleet.members]\n{members}'
    for name, admin_address in admin_addresses.items():
        (folder / f"{name}.toml").write_text(
            f'name = "{name}"\nlisten = "127.0.0.1:{reserved_port()}"\n'
            f'control = "127.0.0.1:{admin_address[1]}"\n'
            f'[servers]\nsource = "list"\nlist = []\n{fleet % name if count > 1 else ""}{OPERATOR_SETTINGS}'
        )
    return admin_addresses


def _measure_once(
    folder: Path, count: int, settle_s: float, seconds: float
) -> tuple[list[Rates], WakeupDelay]:
    admin_addresses, processes, wakeup_delay = _write_configs(folder, count), Processes(folder), WakeupDelay()
    try:
        if count > 1:
            for name in admin_addresses:
                args = ["grebestack", "form", "--config", str(folder / f"{name}.toml")]
                processes.start(name, args).wait(60)
                del processes.running[name]
        for name in admin_addresses:
            processes.start(name, ["grebestack", "--config", str(folder / f"{name}.toml")])
        deadline = time.monotonic() + 60.0
        for admin_address in admin_addresses.values():
            while not reports_ready(admin_address) or (
                count > 1 and "majority is heard" not in send_admin_command(admin_address, "fleet")
            ):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{count} members did not come up in 60 s: {processes.ended()}")
                time.sleep(0.05)
        time.sleep(settle_s)
        with wakeup_delay.watch():
            before = processes.costs()
            time.sleep(seconds)
            after = processes.costs()
        if len(after) < count:
            raise RuntimeError(f"members ended by themselves: {processes.ended()}")
        return [Rates.between(before[name], after[name]) for name in after], wakeup_delay
    finally:
        processes.close()


def measure(sizes: tuple[int, ...], settle_s: float, seconds: float) -> dict[str, object]:
    """Return the figures per member for each size, lines through them, and the sizes that meet the limits.

    A run in which the machine was late is repeated. A size that stays late is listed and left out of the
    lines.
    """
    rows: list[dict[str, object]] = []
    for count in sizes:
        for attempt in range(MAX_TRIES):
            with tempfile.TemporaryDirectory() as temporary:
                rates, wakeup_delay = _measure_once(Path(temporary), count, settle_s, seconds)
            row: dict[str, object] = {"members": count}
            row |= {k: float(f"{v:.4g}") for k, v in asdict(mean_rates(rates)).items()}
            row |= {"cpu_share_max": round(max(rate.cpu_share for rate in rates), 5)}
            row |= {"lateness": wakeup_delay.summary(), "late": wakeup_delay.is_late(), "try": attempt + 1}
            rows.append(row)
            print(row, flush=True)
            if not wakeup_delay.is_late():
                break
    usable_rows = [row for row in rows if not row["late"] and row["members"] != 1]
    fits_by_figure: dict[str, Line] = {}
    for name in ("cpu_share", "bytes_s", "writes_s", "reads_s", "memory_mb"):
        if len(usable_rows) >= 2:
            fits_by_figure[name] = fit(
                [(float(str(row["members"])), float(str(row[name]))) for row in usable_rows]
            )
    limit_met = {}
    for name, limit in LIMITS.items():
        size = fits_by_figure[name].size_reaching(limit) if name in fits_by_figure else None
        limit_met[name] = {"limit": limit, "at_members": None if size is None else round(size, 1)}
    return {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "machine": machine_info(),
        "sizes": [count for count in sizes if count > 1],
        "window_s": seconds,
        "late_sizes": [c for c in sizes if c not in {row["members"] for row in rows if not row["late"]}],
        "runs": rows,
        "fits": {name: line.as_json("member") for name, line in fits_by_figure.items()},
        "limit_met": limit_met,
    }
