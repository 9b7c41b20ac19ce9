"""Benchmark of a fleet at its target size: voters, relays, real and hollow followers, and random faults.

    .venv/bin/python benchmarks/scale.py [--quick] [--seed N] [--dispatchers N]
    .venv/bin/python benchmarks/scale.py --members [--quick]
    .venv/bin/python benchmarks/scale.py --taking

A full run fits lines through the sizes 28, 56, 112 and 230, predicts 560 from them and then runs it; it
writes benchmarks/figures/scale.json. With --quick or --dispatchers only one size is run, nothing is written.
`--members` measures an idle fleet in which every dispatcher is a member (benchmarks/figures/members.json).
`--taking` measures how long a follower parses and checks a change, by the number of workers that it lists
(benchmarks/figures/taking.json).
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from harness import print_figures

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from scaling import members  # noqa: E402
from scaling.fits import Line, fit  # noqa: E402
from scaling.processes import machine_info  # noqa: E402
from scaling.run import Durations, run_size  # noqa: E402
from scaling.taking import measure_parse_cost  # noqa: E402

FIGURES = HERE / "figures"
SIZES, PREDICTED_SIZE, FAULTS_SIZE = (28, 56, 112, 230), 560, 230
QUICK_SIZE = 28
MAX_TRIES = 2
CONTENTS_BYTES = 4000
MAX_FIT_ERROR = 0.15
FITTED_FIGURES = (
    "cpu_share_idle",
    "cpu_share_changes",
    "cpu_s_per_change",
    "bytes_s_idle",
    "bytes_s_changes",
    "bytes_per_change",
    "messages_s_idle",
    "messages_per_change",
    "memory_mb",
)
# Figures that are measured directly. Costs per change are differences of two of these and only reported.
MEASURED_FIGURES = (
    "cpu_share_idle",
    "cpu_share_changes",
    "bytes_s_idle",
    "bytes_s_changes",
    "messages_s_idle",
    "memory_mb",
)
SIZE_UNIT = {"hollow": "follower", "real": "follower", "relay": "follower served", "voter": "follower"}
AIMS = {
    "delay_p99_s": ("<=", 2.0),
    "faulty_max_s": ("<=", 9.0),
    "delay_max_s": ("<=", 9.0),
    "follower_cpu_idle": ("<=", 0.005),
    "follower_cpu_changes": ("<=", 0.027),
    "follower_memory_mb": ("<=", 128.0),
    "follower_bytes_s": ("<=", 7000.0),
    "relay_fit_error": ("<=", MAX_FIT_ERROR),
    "voter_fit_error": ("<=", MAX_FIT_ERROR),
    "back": ("<=", 0.0),
    "half": ("<=", 0.0),
    "majority": ("<=", 0.0),
    "late": ("<=", 0.0),
    "missing": ("<=", 0.0),
    "after_cut_s": ("<=", 9.0),
    "late_sizes": ("<=", 0.0),
    "decided": (">=", 2.0),
    "hollow_off": ("<=", 0.0),
    "ended_by_themselves": ("<=", 0.0),
    "processes_mb": ("<=", 12_000.0),
}


def write_figures(name: str, figures: dict[str, Any]) -> None:
    """Write a full run's figures and the command that produced them."""
    FIGURES.mkdir(exist_ok=True)
    command = " ".join(["benchmarks/scale.py", *sys.argv[1:]])
    (FIGURES / name).write_text(json.dumps({"command": command, **figures}, indent=1) + "\n")


def run_members(quick: bool) -> int:
    """Measure a fleet of members; return 1 if a line's error is too large or a size stayed late."""
    if quick:
        figures = members.measure((3, 5), 1.0, 5.0)
    else:
        figures = members.measure((1, 3, 5, 10, 20, 28), 4.0, 20.0)
        write_figures("members.json", figures)
    print(json.dumps(figures["limit_met"]))
    fits: Any = figures["fits"]
    error = max((line["error"] for line in fits.values()), default=1.0)
    late: Any = figures["late_sizes"]
    sizes: Any = figures["sizes"]
    line = {"fit_error": error, "late_sizes": float(len(late)), "sizes": float(len(sizes))}
    return print_figures(line, {"fit_error": ("<=", MAX_FIT_ERROR), "late_sizes": ("<=", 0.0)})


def run_parse_cost() -> int:
    """Measure how long contents are parsed and checked; return 1 if the lines don't fit."""
    with tempfile.TemporaryDirectory() as temporary:
        figures = measure_parse_cost(Path(temporary))
    print(json.dumps(figures))
    at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
    write_figures("taking.json", {"at": at, "machine": machine_info(), **figures})
    line = {"fit_error": figures["cpu_ms"]["error"], "ms_at_560": figures["points"][-1][1]}
    return print_figures(line, {"fit_error": ("<=", MAX_FIT_ERROR)})


def run_until_on_time(
    size: int, seed: int, times: Durations, faults: bool, quick: bool, keep: str
) -> dict[str, Any]:
    """Run one size; repeat it if the machine was late. The last try counts, and says if it was late."""
    tries = 1 if quick else MAX_TRIES
    for attempt in range(tries):
        result = run_size(size, seed, times, faults, quick, CONTENTS_BYTES, keep)
        result["try"] = attempt + 1
        print(json.dumps(result), flush=True)
        if not result["late"]:
            break
    return result


def fit_lines(runs: list[dict[str, Any]]) -> dict[str, dict[str, Line]]:
    """Return lines through the runs that were not late, by role and figure."""
    on_time = [row for row in runs if not row["late"]]
    # Hollow followers have no engine and no disk: where their CPU time differs, it gets no line.
    disagreeing = {
        name for row in on_time for name, comparison in row["agreement"].items() if not comparison["counts"]
    }
    if "cpu_s_per_change" in disagreeing:
        disagreeing.add("cpu_share_changes")
    lines: dict[str, dict[str, Line]] = {}
    for role in SIZE_UNIT:
        for name in FITTED_FIGURES if len(on_time) >= 2 else ():
            key = "served_each_relay" if role == "relay" else "size"
            if role == "hollow" and name in disagreeing:
                continue
            lines.setdefault(role, {})[name] = fit([(row[key], row["roles"][role][name]) for row in on_time])
    return lines


def predict(lines: dict[str, dict[str, Line]], run: dict[str, Any]) -> dict[str, Any]:
    """Return the figures that the lines predict for a run's size beside the measured ones."""
    rows: dict[str, Any] = {"size": run["size"], "late": run["late"]}
    for role, role_lines in lines.items():
        size = run["served_each_relay"] if role == "relay" else run["size"]
        for name, line in role_lines.items():
            predicted, measured = line.value_at(size), run["roles"][role][name]
            error = round((predicted - measured) / measured, 4) if measured else None
            rows.setdefault(role, {})[name] = {
                "foretold": float(f"{predicted:.4g}"),
                "measured": measured,
                "error": error,
            }
    return rows


def verdict(runs: list[dict[str, Any]], lines: dict[str, dict[str, Line]]) -> dict[str, float]:
    """Return the figures that have aims: those of the run with faults, or totals and maxima of all runs."""
    main_run = next((row for row in runs if row["faults"]), runs[-1])
    real, judged = main_run["roles"]["real"], main_run["judged"]
    recoveries = [row["all_in_force_after_s"] for row in main_run["faults"] if row["fault"] == "regions cut"]
    recovery_times = [99.0 if seconds is None else float(seconds) for seconds in recoveries]

    def error(role: str) -> float:
        return max(lines[role][name].error for name in MEASURED_FIGURES)

    figures = {
        "size": main_run["size"],
        "decided": judged["decided"],
        "delays": judged["delays"],
        "delay_p50_s": judged["delay_p50_s"],
        "delay_p99_s": judged["delay_p99_s"],
        "delay_max_s": judged["delay_max_s"],
        "faulty_max_s": judged["faulty_max_s"],
        "after_cut_s": max(recovery_times, default=99.0),
        "follower_cpu_idle": real["cpu_share_idle"],
        "follower_cpu_changes": real["cpu_share_changes"],
        "follower_memory_mb": real["memory_mb"],
        "follower_bytes_s": real["bytes_s_changes"],
        "hollow_off": sum(
            not comparison["counts"]
            for name, comparison in main_run["agreement"].items()
            if "cpu" not in name
        ),
        "hollow_cpu_off": max(
            comparison["off"] for name, comparison in main_run["agreement"].items() if "cpu" in name
        ),
        "late_sizes": sum(row["late"] for row in runs),
        "ended_by_themselves": sum(len(row["ended_by_themselves"]) for row in runs),
        "processes_mb": max(row["memory_mb"] for row in runs),
    }
    figures |= {kind: sum(row["judged"]["wrong"][kind] for row in runs) for kind in judged["wrong"]}
    if lines:
        figures |= {"relay_fit_error": error("relay"), "voter_fit_error": error("voter")}
        figures["per_change_fit_error"] = max(
            lines[role][name].error
            for role in ("relay", "voter")
            for name in FITTED_FIGURES
            if name not in MEASURED_FIGURES
        )
    return {name: float(value) for name, value in figures.items()}


def main() -> int:
    """Run the benchmark that the flags select."""
    parser = argparse.ArgumentParser(description="A fleet at its target size.")
    parser.add_argument("--quick", action="store_true", help="smaller sizes, at most 45 s")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--dispatchers", type=int, default=0, metavar="N", help="run only this size")
    parser.add_argument("--members", action="store_true", help="an idle fleet of members only")
    parser.add_argument(
        "--taking", action="store_true", help="time to parse a change, by its number of workers"
    )
    parser.add_argument("--keep", default="", metavar="FOLDER", help="keep the logs of a run in this folder")
    options = parser.parse_args()
    if options.members:
        return run_members(options.quick)
    if options.taking:
        return run_parse_cost()
    print(f"seed={options.seed}")
    if options.quick or options.dispatchers:
        times = Durations(1.0, 3.5, 6.2, 2.5) if options.quick else Durations(6.0, 20.0, 31.0)
        size = options.dispatchers or QUICK_SIZE
        print(f"one size only: {size}; no lines, no prediction", flush=True)
        runs = [run_until_on_time(size, options.seed, times, True, options.quick, options.keep)]
        return print_figures(verdict(runs, {}), AIMS)
    times, runs = Durations(6.0, 20.0, 31.0), []
    for size in SIZES:
        runs.append(run_until_on_time(size, options.seed, times, size == FAULTS_SIZE, False, options.keep))
    lines = fit_lines(runs)
    for role, role_lines in lines.items():
        for name, line in role_lines.items():
            print(
                f"predicted for {PREDICTED_SIZE}: {role} {name} "
                f"{line.value_at(PREDICTED_SIZE / 8 if role == 'relay' else PREDICTED_SIZE):.4g}",
                flush=True,
            )
    last = run_until_on_time(PREDICTED_SIZE, options.seed, times, False, False, options.keep)
    prediction = predict(lines, last)
    figures = verdict([*runs, last], lines)
    write_figures(
        "scale.json",
        {
            "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
            "seed": options.seed,
            "machine": machine_info(),
            "sizes": [*SIZES, PREDICTED_SIZE],
            "contents_bytes": CONTENTS_BYTES,
            "roles": {
                "follower" if role == "real" else role: {
                    name: line.as_json(SIZE_UNIT[role]) for name, line in role_lines.items()
                }
                for role, role_lines in lines.items()
            },
            "foretold_560": prediction,
            "faults": next((row["faults"] for row in runs if row["faults"]), []),
            "verdict": figures,
            "runs": [*runs, last],
        },
    )
    return print_figures(figures, AIMS)


if __name__ == "__main__":
    sys.exit(main())
