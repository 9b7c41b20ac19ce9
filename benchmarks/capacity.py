"""Works the tables of docs/CAPACITY.md out of the files of figures, and writes them into the page.

    .venv/bin/python benchmarks/capacity.py [--check]

Figures: figures/slopes.json (slopes.py), members.json, taking.json and scale.json (scale.py); what none of
them has reads *not measured yet*. A table stands between `<!-- capacity: NAME -->` and `<!-- end -->`. With
--check nothing is written, and exit 1 says that the page is not what the files give. A value beyond the sizes
that were measured is marked `r`, reckoned.
"""

from __future__ import annotations

import argparse
import json
import math
import re
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
PAGE, FIGURES = ROOT / "docs" / "CAPACITY.md", ROOT / "benchmarks" / "figures"
FOLLOWER = "grebestack/config_distribution/follower.py"
SIZES = (28, 56, 230, 560)  # dispatchers
VOTERS = (3, 5, 7)
RELAYS = 7  # one in each zone: a choice of the page, not of the letter
# The letter.
SERVERS, STARTS_S, RUNNING, TEAMS = 560, 490.0, 2800, 250
A_SECOND = 1400 / 86_400.0  # changes of configuration, over the day
CORE, MEMORY_MB, BYTES_S = 0.027, 128.0, 7000.0
AWAY = 2 * (4 + 45) / 86_400.0  # changes of the list a second: machines that go and are back
ZONE, IN_A_ROW, BURST = 80, 45, 60
FILES = ("slopes", "members", "taking", "scale")
NOT_YET = "*not measured yet*"
UNITS = {
    "cpu_share": "of a core",
    "cpu_share_idle": "of a core",
    "cpu_share_changes": "of a core",
    "cpu_s_per_change": "s",
    "bytes_s": "bytes/s",
    "bytes_s_idle": "bytes/s",
    "bytes_s_changes": "bytes/s",
    "bytes_per_change": "bytes",
    "messages_s_idle": "messages/s",
    "messages_per_change": "messages",
    "memory_mb": "MB",
    "cpu_ms": "ms",
    "bytes": "bytes",
    "writes_s": "writes/s",
    "reads_s": "reads/s",
}


def number(value: float) -> str:
    """Three figures, plainly."""
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else "-"
    digits = 2 - math.floor(math.log10(abs(value)))
    if digits <= 0:
        return f"{round(value, digits):,.0f}"
    if digits > 7:
        return f"{value:.2e}"
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".")


@dataclass(frozen=True)
class Line:
    """One figure: `slope x size + base`, or a value alone."""

    slope: float
    base: float
    per: str
    unit: str
    low: float
    high: float
    error: float
    spread: float | None
    runs: int | None

    @classmethod
    def of(cls, raw: Mapping[str, Any], unit: str) -> Line:
        """As it stands in a file."""
        low, high = raw.get("range", (0.0, 0.0))
        base = raw["value"] if "value" in raw else raw["base"]
        return cls(
            float(raw.get("slope", 0.0)),
            float(base),
            str(raw.get("per", "")),
            str(raw.get("unit", unit)),
            float(low),
            float(high),
            float(raw.get("error", 0.0)),
            raw.get("spread"),
            raw.get("runs"),
        )

    def formula(self) -> str:
        """As a person reads it."""
        if not self.slope:
            return number(self.base)
        line = f"{number(self.slope)} x {self.per}"
        if abs(self.base) < 1e-6 * abs(self.slope) * self.high:
            return line
        return f"{line} {'-' if self.base < 0 else '+'} {number(abs(self.base))}"


class Figures:
    """All lines by key, and the runs that gave them."""

    def __init__(self, folder: Path) -> None:
        self.lines: dict[str, Line] = {}
        self.runs: dict[str, dict[str, Any]] = {}
        files: dict[str, Any] = {}
        for name in FILES:
            if (path := folder / f"{name}.json").exists():
                files[name] = json.loads(path.read_text())
        for part, run in files.get("slopes", {}).get("parts", {}).items():
            self._take(part, run, run["figures"])
        if "members" in files:
            self._take("all_members", files["members"], files["members"]["fits"])
        if "taking" in files:
            taking = files["taking"]
            self._take("taking", taking, {name: taking[name] for name in ("cpu_ms", "bytes")})
        if "scale" in files:
            for role, lines in files["scale"]["roles"].items():
                self._take("scale", files["scale"], {f"{role}.{name}": raw for name, raw in lines.items()})

    def _take(self, part: str, run: dict[str, Any], figures: Mapping[str, Any]) -> None:
        self.runs[part] = run
        for name, raw in figures.items():
            self.lines[f"{part}.{name}"] = Line.of(raw, UNITS.get(name.rpartition(".")[2], ""))


class UnknownError(Exception):
    """A figure is in no file."""


@dataclass
class Reading:
    """Reads figures for one value, and remembers which, and whether any lay beyond its range."""

    figures: Figures
    keys: list[str] = field(default_factory=list)
    beyond: bool = False

    def _line(self, key: str) -> Line:
        if key not in self.keys:
            self.keys.append(key)
        if key not in self.figures.lines:
            raise UnknownError(key)
        return self.figures.lines[key]

    def __call__(self, key: str, size: float = 0.0) -> float:
        """The value at a size."""
        line = self._line(key)
        self.beyond = self.beyond or (line.slope != 0.0 and not line.low <= size <= line.high)
        return line.slope * size + line.base

    def slope(self, key: str) -> float:
        """What one more costs."""
        return self._line(key).slope

    def base(self, key: str) -> float:
        """What none cost."""
        return self._line(key).base

    def meets(self, key: str, limit: float) -> float:
        """The size at which it meets a limit; infinite where it does not grow."""
        line = self._line(key)
        if line.slope <= 0.0:
            return math.inf
        size = (limit - line.base) / line.slope
        self.beyond = self.beyond or not line.low <= size <= line.high
        return size


Work = Callable[[Reading, float], float]
Row = tuple[str, str, Work, str]  # what, unit, how it is worked out at a size, and how in words


def worked(figures: Figures, work: Work, size: float) -> tuple[float | None, Reading]:
    """A value, None where a figure is in no file; and what was read for it."""
    reading = Reading(figures)
    try:
        return work(reading, size), reading
    except UnknownError:
        return None, reading


def shown(value: float, reading: Reading) -> str:
    """A value as it stands in a table."""
    return number(value) + (" r" if reading.beyond and math.isfinite(value) else "")


def error_of(figures: Figures, keys: Iterable[str]) -> str:
    """The largest error of the fits, and spread of the repeats."""
    lines = [figures.lines[key] for key in keys if key in figures.lines]
    errors = [f"{max(line.error for line in lines):.0%}"] if any(line.slope for line in lines) else ["-"]
    spreads = [line.spread for line in lines if line.spread is not None]
    return ", ".join(errors + ([f"{max(spreads):.0%}"] if spreads else []))


def table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """A table in Markdown."""
    lines = [list(head), *map(list, rows)]
    lines.insert(1, ["---"] * len(lines[0]))
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def by_size(figures: Figures, what: str, sizes: Iterable[int], rows: Iterable[Row]) -> str:
    """A table of values at several sizes."""
    lines, sizes = [], tuple(sizes)
    for label, unit, work, how in rows:
        came = [worked(figures, work, float(size)) for size in sizes]
        keys = came[0][1].keys
        cells = ["" if value is None else shown(value, reading) for value, reading in came]
        if came[0][0] is None:
            cells[0] = NOT_YET
        if not how and keys and keys[0] in figures.lines:
            how = figures.lines[keys[0]].formula()
        named = ", ".join(f"`{key}`" for key in keys) or "*reckoned*"
        lines.append([f"{label}, {unit}", *cells, how, named, error_of(figures, keys)])
    return table([what, *map(str, sizes), "how", "figure", "error, spread"], lines)


def at_target(figures: Figures, rows: Iterable[Row]) -> str:
    """A table of one value each."""
    return by_size(figures, "what", (SERVERS,), rows).replace("| 560 |", "| at the target |", 1)


def serving(role: str, label: str, divided: int = 1) -> tuple[Row, ...]:
    """What a role of the scale runs costs by the followers that it serves."""
    rows = (
        ("idle, % of a core", "cpu_share_idle", 100.0),
        ("20 x the day's changes, % of a core", "cpu_share_changes", 100.0),
        ("idle, bytes/s", "bytes_s_idle", 1.0),
        ("20 x the day's changes, bytes/s", "bytes_s_changes", 1.0),
        ("a change, bytes", "bytes_per_change", 1.0),
        ("a change, messages", "messages_per_change", 1.0),
        ("idle, messages/s", "messages_s_idle", 1.0),
        ("memory, MB", "memory_mb", 1.0),
    )

    def work(name: str, factor: float) -> Work:
        return lambda f, n: factor * f(f"scale.{role}.{name}", n / divided)

    def row(what: str, name: str, factor: float) -> Row:
        words, _, unit = what.rpartition(", ")
        return f"{label}: {words}", unit, work(name, factor), ""

    return tuple(row(*one) for one in rows)


def control(f: Reading, idle: float) -> float:
    """Idling with the list's changes and those of the settings, in % of a core."""
    settings_ms = f("settings.parse_ms", TEAMS) + f("settings.resettle_ms", TEAMS**2)
    return 100.0 * idle + f("lists.change_ms", SERVERS) * AWAY / 10.0 + settings_ms * A_SECOND / 10.0


DISPATCHER: tuple[Row, ...] = (
    ("starts at the peak", "a second", lambda f, n: STARTS_S / n, "490 / dispatchers"),
    ("jobs open", "jobs", lambda f, n: RUNNING / n, "2,800 / dispatchers"),
    (
        "memory",
        "MB",
        lambda f, n: (
            f("whole.own_mb_loaded_by_servers", SERVERS) + f.slope("whole.own_mb_by_open_jobs") * RUNNING / n
        ),
        "line at 560 workers + slope x jobs open",
    ),
    (
        "jobs, peak",
        "% of a core",
        lambda f, n: f("whole.job_ms_by_servers", SERVERS) * STARTS_S / n / 10.0,
        "line at 560 workers x starts",
    ),
    (
        "jobs, more for 250 classes with a tenant each",
        "% of a core",
        lambda f, n: f.slope("module.job_us_by_classes") * TEAMS * STARTS_S / n / 1e4,
        "slope x 250 x starts",
    ),
    (
        "jobs, peak, to and from runners",
        "bytes/s",
        lambda f, n: (f("whole.bytes_to_runner") + f("whole.bytes_from_runner")) * STARTS_S / n,
        "both x starts",
    ),
    (
        "record of acts, peak, to the disk",
        "bytes/s",
        lambda f, n: f.slope("audit.batch_bytes") * STARTS_S / n,
        "slope x starts",
    ),
    (
        "control: idle",
        "% of a core",
        lambda f, n: 100.0 * f("whole.idle_core_by_servers", SERVERS),
        "line at 560 workers",
    ),
    (
        "control: list, ordinary day",
        "% of a core",
        lambda f, n: f("lists.change_ms", SERVERS) * AWAY / 10.0,
        "line at 560 x 98 changes a day",
    ),
    (
        "control: list, ordinary day",
        "bytes/s",
        lambda f, n: f("lists.change_bytes") * AWAY,
        "98 changes a day",
    ),
    (
        "control: settings of 250 classes and tenants",
        "% of a core",
        lambda f, n: (f("settings.parse_ms", TEAMS) + f("settings.resettle_ms", TEAMS**2)) * A_SECOND / 10.0,
        "(parse at 250 + resettling at 250^2) x 1,400 a day",
    ),
    (
        "control: settings, 20 x the day's changes",
        "% of a core",
        lambda f, n: 20.0 * (control(f, 0.0) - f("lists.change_ms", SERVERS) * AWAY / 10.0),
        "20 x the line above",
    ),
    (
        "control: settings, told whole each time",
        "bytes/s",
        lambda f, n: f("settings.contents_bytes", TEAMS) * A_SECOND,
        "line at 250 x 1,400 a day",
    ),
    (
        "control: these without a fleet",
        "% of a core",
        lambda f, n: control(f, f("whole.idle_core_by_servers", SERVERS)),
        "idle + list + settings",
    ),
    (
        "control: member of a set of all",
        "% of a core",
        lambda f, n: 100.0 * f("all_members.cpu_share", n),
        "",
    ),
    (
        "control: member of a set of all",
        "bytes/s read and written",
        lambda f, n: f("all_members.bytes_s", n),
        "",
    ),
    (
        "... signs of life alone",
        "bytes/s in and out",
        lambda f, n: 2.0 * f("voters.idle_bytes_a_voter", n),
        "2 x line",
    ),
    (
        "control: a version that names 560 workers, told whole each time",
        "bytes/s",
        lambda f, n: f("taking.bytes", SERVERS) * A_SECOND,
        "line at 560 x 1,400 a day",
    ),
    (
        "... taken",
        "% of a core",
        lambda f, n: f("taking.cpu_ms", SERVERS) * A_SECOND / 10.0,
        "line at 560 x 1,400 a day",
    ),
    *serving("follower", "control: follower"),
    (
        "control: in all, as a follower",
        "% of a core",
        lambda f, n: control(f, f("scale.follower.cpu_share_idle", n)),
        "follower idle + list + settings",
    ),
)
SERVING = (*serving("voter", "voter"), *serving("relay", f"relay, one of {RELAYS}", RELAYS))
VOTING: tuple[Row, ...] = (
    ("idle, each", "messages/s in", lambda f, n: f("voters.idle_messages_a_voter", n), ""),
    ("idle, each", "bytes/s in and out", lambda f, n: 2.0 * f("voters.idle_bytes_a_voter", n), "2 x line"),
    ("idle, each", "% of a core", lambda f, n: 100.0 * f("members.idle_core_a_member", n), "100 x line"),
    ("memory, each", "MB", lambda f, n: f("members.own_mb", n), ""),
    ("a change, all together", "messages", lambda f, n: f("voters.change_messages", n), ""),
    ("a change, all together", "bytes", lambda f, n: f("voters.change_bytes", n), ""),
    ("a change, all together", "syncs of a disk", lambda f, n: f("voters.change_syncs", n), ""),
    ("a change, all together", "ms of a core", lambda f, n: f("members.change_cpu_ms", n), ""),
    (
        "1,400 changes a day, all together",
        "% of a core",
        lambda f, n: f("members.change_cpu_ms", n) * A_SECOND / 10.0,
        "line x 1,400 a day",
    ),
    (
        "20 times that, all together",
        "% of a core",
        lambda f, n: f("members.change_cpu_ms", n) * 20.0 * A_SECOND / 10.0,
        "line x 28,000 a day",
    ),
    ("a change, from asked to decided", "ms", lambda f, n: f("voters.change_wall_ms"), "median of all sizes"),
    ("... with one voter down", "ms", lambda f, n: f("voters.one_down_wall_ms"), "median of all sizes"),
    (
        "... with one voter down, the slowest",
        "ms",
        lambda f, n: f("voters.one_down_most_ms"),
        "median of the runs'",
    ),
)
LISTS: tuple[Row, ...] = (
    ("a whole list", "bytes", lambda f, n: f("lists.list_bytes", n), ""),
    ("... read and taken", "ms", lambda f, n: f("lists.list_ms", n), ""),
    ("... where it comes indented", "ms", lambda f, n: f("lists.list_indented_ms", n), ""),
    ("one change", "bytes", lambda f, n: f("lists.change_bytes"), ""),
    ("... read and taken", "ms", lambda f, n: f("lists.change_ms", n), ""),
    (
        "a whole list from the member that reads for all",
        "bytes",
        lambda f, n: f("lists.shared_list_bytes", n),
        "",
    ),
    ("an answer of an agent of Consul, always whole", "bytes", lambda f, n: f("lists.consul_bytes", n), ""),
    ("... read, one instance changed", "ms", lambda f, n: f("lists.consul_ms", n), ""),
)
STORE: tuple[Row, ...] = (
    ("a job, one by one: processor, 3 transactions", "ms", lambda f, n: f("job_store.one_cpu_ms"), ""),
    ("... and the loop stands, 3 flushes", "ms", lambda f, n: f("job_store.one_wait_ms"), ""),
    ("... written", "bytes", lambda f, n: f("job_store.one_written_bytes"), ""),
    ("a start, one by one, with its flush", "ms", lambda f, n: f("job_store.one_start_ms"), ""),
    ("a job, 100 to a transaction: processor", "ms", lambda f, n: f("job_store.hundred_cpu_ms"), ""),
    ("... written", "bytes", lambda f, n: f("job_store.hundred_written_bytes"), ""),
    ("a start, 100 to a transaction", "ms", lambda f, n: f("job_store.hundred_start_ms"), ""),
    (
        "the loop's share for one of 28 stores at the peak",
        "%",
        lambda f, n: (f("job_store.one_wait_ms") + f("job_store.one_cpu_ms")) * STARTS_S / 28 / 10.0,
        "(wait + processor) x 490 / 28",
    ),
    (
        "written by one of 28 stores at the peak",
        "KB/s",
        lambda f, n: f("job_store.one_written_bytes") * STARTS_S / 28 / 1e3,
        "bytes x 490 / 28",
    ),
    (
        "5,000 jobs a day kept for 30 days, all files",
        "MB",
        lambda f, n: f("job_store.file_bytes", 150_000) / 1e6,
        "line at 150,000 jobs",
    ),
)
WORST: tuple[Row, ...] = (
    ("a zone's 80 workers back, told as changes", "ms", lambda f, n: f("lists.zone_back_ms", n), ""),
    ("... in one message", "bytes", lambda f, n: f("lists.zone_back_bytes"), ""),
    (
        "... told by 80 whole lists",
        "bytes/s",
        lambda f, n: f("lists.list_bytes", n) * ZONE / 60,
        "line x 80 / 60 s",
    ),
    (
        "... told by 80 answers of an agent of Consul",
        "bytes/s",
        lambda f, n: f("lists.consul_bytes", n) * ZONE / 60,
        "line x 80 / 60 s",
    ),
    (
        "45 restarts in a row, told as 90 changes",
        "% of a core",
        lambda f, n: f("lists.change_ms", n) * 2 * IN_A_ROW / 60 / 10,
        "line x 90 / 60 s",
    ),
    (
        "... told as 90 changes",
        "bytes/s",
        lambda f, n: f("lists.change_bytes") * 2 * IN_A_ROW / 60,
        "90 / 60 s",
    ),
    (
        "... told by 90 whole lists",
        "% of a core",
        lambda f, n: f("lists.list_ms", n) * 2 * IN_A_ROW / 60 / 10,
        "line x 90 / 60 s",
    ),
    (
        "... told by 90 whole lists",
        "bytes/s",
        lambda f, n: f("lists.list_bytes", n) * 2 * IN_A_ROW / 60,
        "line x 90 / 60 s",
    ),
    (
        "regions met again after ten minutes: missed",
        "changes",
        lambda f, n: A_SECOND * 600,
        "1,400 a day x 600 s",
    ),
    (
        "... the last of them, whole, 250 classes",
        "bytes",
        lambda f, n: f("settings.contents_bytes", TEAMS),
        "line at 250",
    ),
    (
        "... to 280 dispatchers of one region",
        "MB",
        lambda f, n: f("settings.contents_bytes", TEAMS) * 280 / 1e6,
        "line at 250 x 280",
    ),
    (
        "... parsed and in force at each",
        "ms",
        lambda f, n: f("settings.parse_ms", TEAMS) + f("settings.resettle_ms", TEAMS**2),
        "parse at 250 + resettling at 250^2",
    ),
    (
        "a burst of 60 changes, one a second",
        "% of a core",
        lambda f, n: (f("settings.parse_ms", TEAMS) + f("settings.resettle_ms", TEAMS**2)) * BURST / 60 / 10,
        "the same, once a second",
    ),
    (
        "a change while a voter is down: decided after",
        "ms",
        lambda f, n: f("voters.one_down_wall_ms"),
        "mean of a run",
    ),
    ("... at the most", "ms", lambda f, n: f("voters.one_down_most_ms"), "most of a run"),
)
Limit = tuple[str, str, Work, str]  # what, in which unit it is met, where, and what happens there
MEMBERS: tuple[Limit, ...] = (
    (
        "2.7% of a core, idle, all dispatchers members",
        "dispatchers",
        lambda f, n: f.meets("all_members.cpu_share", CORE),
        "each says a sign of life to each; nothing fails, but control takes from the jobs",
    ),
    (
        "the same, from 3, 5 and 7 members alone",
        "dispatchers",
        lambda f, n: f.meets("members.idle_core_a_member", CORE),
        "as above",
    ),
    (
        "7 KB/s read and written, idle, all dispatchers members",
        "dispatchers",
        lambda f, n: f.meets("all_members.bytes_s", BYTES_S),
        "as above",
    ),
    (
        "7 KB/s in and out, signs of life alone",
        "dispatchers",
        lambda f, n: f.meets("voters.idle_bytes_a_voter", BYTES_S / 2),
        "as above",
    ),
)
FOLLOWERS: tuple[Limit, ...] = (
    (
        "2.7% of a core, a follower, 20 x the day's changes",
        "dispatchers",
        lambda f, n: f.meets("scale.follower.cpu_share_changes", CORE),
        "control takes from the jobs",
    ),
    (
        "7 KB/s, a follower, 20 x the day's changes",
        "dispatchers",
        lambda f, n: f.meets("scale.follower.bytes_s_changes", BYTES_S),
        "its share of the network is passed",
    ),
    ("128 MB, a follower", "dispatchers", lambda f, n: f.meets("scale.follower.memory_mb", MEMORY_MB), ""),
    (
        "a core, a voter, 20 x the day's changes",
        "dispatchers",
        lambda f, n: f.meets("scale.voter.cpu_share_changes", 1.0),
        "versions are decided later than asked for",
    ),
    (
        "a core, a relay, 20 x the day's changes",
        "followers at one relay",
        lambda f, n: f.meets("scale.relay.cpu_share_changes", 1.0),
        "pushes leave late; followers ask",
    ),
)
OTHERS: tuple[Limit, ...] = (
    (
        "7 KB/s, answers of an agent of Consul",
        "s from one change to the next, at least",
        lambda f, n: f("lists.consul_bytes", n) / BYTES_S,
        "each change costs a whole answer: a zone or 45 restarts pass the bound for minutes",
    ),
    (
        "7 KB/s, whole lists",
        "s from one list to the next, at least",
        lambda f, n: f("lists.list_bytes", n) / BYTES_S,
        "as above; where discovery tells changes it is far below",
    ),
    (
        "490 starts a second, each with its flush",
        "dispatchers' whole time, all together",
        lambda f, n: f("job_store.one_start_ms") * STARTS_S / 1e3,
        "the loop waits for the disk, jobs for it",
    ),
    (
        "490 starts a second, processor",
        "cores, all dispatchers together",
        lambda f, n: f("whole.job_ms_by_servers", n) * STARTS_S / 1e3,
        "jobs wait",
    ),
    (
        "7 KB/s, contents told whole, 20 x the day's changes",
        "classes, each with a tenant",
        lambda f, n: f.meets("settings.contents_bytes", BYTES_S / (20.0 * A_SECOND)),
        "the difference is told",
    ),
    (
        "7 KB/s, a version that names workers, told whole, 20 x the day's changes",
        "workers",
        lambda f, n: f.meets("taking.bytes", BYTES_S / (20.0 * A_SECOND)),
        "the difference is told",
    ),
    (
        "128 MB, jobs open at one dispatcher",
        "jobs",
        lambda f, n: f.meets("whole.own_mb_by_open_jobs", MEMORY_MB),
        "",
    ),
    ("128 MB, workers", "workers", lambda f, n: f.meets("whole.own_mb_by_servers", MEMORY_MB), ""),
    (
        "a decision costs twice, each change another meaning of a class",
        "days without a restart",
        lambda f, n: f.base("module.job_us_by_retired") / f.slope("module.job_us_by_retired") / 1400,
        "a class that was changed keeps its place until a restart",
    ),
    (
        "a reload holds the loop for 100 ms, each change another meaning of a class",
        "days without a restart",
        lambda f, n: (
            (100.0 - f.base("settings.resettle_ms_by_retired"))
            / f.slope("settings.resettle_ms_by_retired")
            / 1400
        ),
        "the same places",
    ),
    (
        "100 MB more, each change another meaning of a class",
        "days without a restart",
        lambda f, n: 100.0 / f.slope("settings.retired_mb") / 1400,
        "the same places, in memory",
    ),
    (
        "a reload holds the loop for 100 ms",
        "classes",
        lambda f, n: math.sqrt(max(0.0, f.meets("settings.resettle_ms", 100.0))),
        "all else waits",
    ),
)


def limits(figures: Figures) -> str:
    """Where each limit is met."""
    rows = []
    for what, unit, work, happens in (*MEMBERS, *FOLLOWERS, *OTHERS):
        value, reading = worked(figures, work, SERVERS)
        met = NOT_YET if value is None else "does not grow"
        if value is not None and math.isfinite(value):
            met = f"{shown(value, reading)} {unit}"
        named = ", ".join(f"`{key}`" for key in reading.keys)
        rows.append([what, met, happens, named, error_of(figures, reading.keys)])
    return table(["limit", "met at", "there", "figure", "error, spread"], rows)


def least(figures: Figures, chosen: Iterable[Limit]) -> tuple[float, Limit, str] | None:
    """The limit that is met first, where, and by which figure."""
    found = []
    for limit in chosen:
        value, reading = worked(figures, limit[2], SERVERS)
        if value is not None and math.isfinite(value):
            found.append((value, limit, reading.keys[0]))
    return min(found, key=lambda one: one[0], default=None)


def first(figures: Figures) -> str:
    """The limit that is met first, in words."""
    lines = []
    if (without := least(figures, MEMBERS)) is not None:
        size, limit, key = without
        lines.append(
            f"**Without followers the first limit is met at {number(size)} dispatchers**: {limit[0]}"
            f" (`{key}`), with nothing decided yet. One outside the set learns nothing of what is agreed: no"
            " change of configuration goes through the fleet at all."
        )
    if not (ROOT / FOLLOWER).exists():
        lines.append("Followers, which hear what is in force and don't vote, are not in the program yet.")
    elif (found := least(figures, FOLLOWERS)) is not None:
        size, limit, key = found
        met = f"{limit[0]}, at {number(size)} {limit[1]}"
        lines.append(f"**With followers** (`{FOLLOWER}`) **it is {met}** (`{key}`).")
    else:
        lines.append(f"With followers (`{FOLLOWER}`): {NOT_YET}, or nothing that grows.")
    return "\n".join(lines)


def slopes(figures: Figures) -> str:
    """All figures."""
    rows = []
    for key, line in sorted(figures.lines.items()):
        span = f"{number(line.low)} to {number(line.high)}" if line.slope else ""
        error = f"{line.error:.0%}" if line.slope else "-"
        spread = "" if line.spread is None else f"{line.spread:.0%}"
        rows.append([f"`{key}`", line.formula(), line.unit, span, error, spread, str(line.runs or "")])
    return table(["figure", "slope x size + base", "unit", "range", "error", "spread", "repeats"], rows)


def commands(figures: Figures) -> str:
    """The runs: command, when, and how busy the machine was."""
    rows = []
    for name, run in figures.runs.items():
        found = run.get("machine")
        machine: dict[str, Any] = found if isinstance(found, dict) else {}
        cores = str(run.get("cores", machine.get("cores", "")))
        late = run.get("late")
        lateness = f"{number(late['p99_ms'])} / {number(late['most_ms'])}" if isinstance(late, dict) else ""
        speed = " to ".join(map(str, run.get("yardstick_ms", ())))
        at, load = str(run.get("at", "")), str(run.get("load", machine.get("load_1min", "")))
        rows.append([name, f"`{run['command']}`", at, cores, load, lateness, speed])
    return table(["part", "command", "at", "cores", "load", "late, p99 / most, ms", "a fixed loop, ms"], rows)


VERDICT = {
    "delay_p99_s": "from decided to in force, p99, s",
    "delay_max_s": "... at the most, without a fault, s",
    "faulty_max_s": "... at the most, with one fault, s",
    "after_cut_s": "all in force after regions met again, s",
    "back": "versions that went back",
    "half": "acts under half a version",
    "majority": "in force without a majority",
    "late": "later than 9 s",
    "missing": "not in force at the end",
}


def changes(figures: Figures) -> str:
    """What carries a change of configuration to all: by module and test, and as the scale run told it."""
    if not (ROOT / FOLLOWER).exists():
        return (
            "Missing, and the first that is: dispatchers which don't vote but follow. Few voters on the eight"
            " machines decide a version (number, digest), relays push it to a bounded part each, and whoever"
            " missed it asks for it by number. Reckoned cost: one connection and two small messages a second"
            " for a dispatcher, one push of the difference for a change; voters and relays grow with what"
            " they serve, not with its square."
        )
    names = (
        "versions",
        "messages",
        "follower",
        "follower_versions",
        "relay_selection",
        "relay",
        "published_version",
        "subscription",
        "voter",
        "voter_messages",
        "voter_state",
        "register_access",
        "proposing",
        "learning",
        "undecided",
        "fetching",
        "activation",
        "status",
        "timeouts",
    )
    modules = [f"grebestack/config_distribution/{name}.py" for name in names]
    words = ("configur", "follow", "relay", "version", "feed", "scale")
    tests = sorted(
        f"tests/{path.name}"
        for path in (ROOT / "tests").glob("test_*.py")
        if any(word in path.name for word in words)
    )
    text = "Carried by followers: " + ", ".join(f"`{name}`" for name in modules if (ROOT / name).exists())
    text += "; tests " + ", ".join(f"`{name}`" for name in tests) + "."
    verdict = figures.runs.get("scale", {}).get("verdict")
    if verdict is None:
        return f"{text}\n\nHow long a change takes at scale: {NOT_YET}."
    told = {name: verdict.get(name) for name in VERDICT}
    rows = [[VERDICT[name], number(float(value))] for name, value in told.items() if value is not None]
    head = f"the scale run at {number(float(verdict.get('size', 0)))} dispatchers"
    return f"{text}\n\n{table([head, 'measured'], rows)}"


TOLD = {
    "real": "follower",
    "relay": "relay",
    "voter": "voter",
    "cpu_share_idle": "idle, of a core",
    "cpu_share_changes": "20 x the day's changes, of a core",
    "bytes_s_idle": "idle, bytes/s",
    "bytes_s_changes": "20 x the day's changes, bytes/s",
    "bytes_per_change": "a change, bytes",
    "messages_per_change": "a change, messages",
    "memory_mb": "memory, MB",
}


def foretold(figures: Figures) -> str:
    """What sizes up to 230 foretell of 560, against the run; and what followed each fault at 230."""
    run = figures.runs.get("scale", {})
    known, faults = run.get("foretold_560"), run.get("faults")
    if not known or not faults:
        return NOT_YET
    rows = [
        [
            f"{TOLD[role]}: {TOLD[name]}",
            number(one["foretold"]),
            number(one["measured"]),
            f"{one['error']:+.0%}",
        ]
        for role in ("real", "relay", "voter")
        for name, one in known[role].items()
        if name in TOLD
    ]
    healed = [
        [one["fault"], str(one["hit"]), number(one["for_s"]), number(one["all_in_force_after_s"])]
        for one in faults
    ]
    return "\n\n".join(
        [
            table([f"at {known['size']} followers", "foretold", "measured", "error, of the measured"], rows),
            table(["fault, in the run at 230", "hit", "for, s", "all in force after, s"], healed),
        ]
    )


BLOCKS: dict[str, Callable[[Figures], str]] = {
    "foretold": foretold,
    "first": first,
    "changes": changes,
    "limits": limits,
    "dispatcher": lambda figures: by_size(figures, "a dispatcher, of so many", SIZES, DISPATCHER),
    "voters": lambda figures: by_size(figures, "voters", VOTERS, VOTING),
    "serving": lambda figures: by_size(figures, "serving so many followers", SIZES, SERVING),
    "lists": lambda figures: at_target(figures, LISTS),
    "store": lambda figures: at_target(figures, STORE),
    "worst": lambda figures: at_target(figures, WORST),
    "slopes": slopes,
    "commands": commands,
}
MARK = re.compile(r"(<!-- capacity: (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)


def written(page: str, figures: Figures) -> str:
    """The page with its tables made anew. ValueError: it does not have each of them once."""
    names = sorted(match.group(2) for match in MARK.finditer(page))
    if names != sorted(BLOCKS):
        raise ValueError(f"the page must have {', '.join(sorted(BLOCKS))} once each, not {', '.join(names)}")

    def anew(found: re.Match[str]) -> str:
        return f"{found.group(1)}{BLOCKS[found.group(2)](figures)}\n{found.group(3)}"

    return MARK.sub(anew, page)


def main() -> int:
    """Write or check."""
    parser = argparse.ArgumentParser(description="The tables of docs/CAPACITY.md.")
    parser.add_argument("--check", action="store_true", help="1 if the page is not what the files give")
    options = parser.parse_args()
    page, figures = PAGE.read_text(), Figures(FIGURES)
    new = written(page, figures)
    if options.check:
        print("the page is what the files give" if new == page else "the page is not what the files give")
        return int(new != page)
    PAGE.write_text(new)
    return 0


if __name__ == "__main__":
    sys.exit(main())
