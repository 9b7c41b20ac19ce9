"""docs/CAPACITY.md is what the files of figures give, and each of its figures names a run."""

from __future__ import annotations

import json
import re
import shutil
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from capacity import BLOCKS, FIGURES, FILES, MARK, NOT_YET, PAGE, Figures, limits, number, written

ROOT = Path(__file__).resolve().parent.parent
THERE = [f"{name}.json" for name in FILES if (FIGURES / f"{name}.json").exists()]
LETTER = (
    "560 workers",
    "490 starts a second",
    "2,800 running",
    "gangs of up to 64",
    "250 teams with quotas",
    "urgent within 5 s",
    "2 regions with 7 zones",
    "1,400 changes a day",
    "2.7% of a core, 128 MB, 7 KB/s",
    "8 machines",
    "4 machines fail",
    "45 restarted",
    "a rack or switch",
    "a zone, a few",
    "regions apart",
)


def blocks(page: str) -> dict[str, str]:
    return {found.group(2): found.group(0) for found in MARK.finditer(page)}


def rows(block: str) -> list[list[str]]:
    """The cells of a table's rows, without its head."""
    lines = [line for line in block.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines[2:]]


def test_the_page_is_what_the_files_give() -> None:
    page = PAGE.read_text()
    assert written(page, Figures(FIGURES)) == page, "run benchmarks/capacity.py"


def test_each_row_names_figures_of_a_run_or_says_that_there_is_none() -> None:
    figures, seen = Figures(FIGURES), 0
    for name in ("limits", "dispatcher", "voters", "serving", "lists", "store", "worst"):
        for row in rows(blocks(PAGE.read_text())[name]):
            keys = re.findall(r"`([a-z_]+\.[a-z_.]+)`", row[-2])
            seen += 1
            if not keys:
                assert "*reckoned*" in row[-2], row
            elif NOT_YET in " ".join(row):
                assert any(key not in figures.lines for key in keys), row
            else:
                assert all(key in figures.lines for key in keys), row
    assert seen > 60
    for key in figures.lines:
        run = figures.runs[key.partition(".")[0]]
        assert str(run["command"]).startswith("benchmarks/") and run["at"], key


def numbers(raw: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """The paths of all slopes, bases and values of a file."""
    if isinstance(raw, dict):
        for name, value in raw.items():
            if name in ("slope", "base", "value") and isinstance(value, int | float):
                yield (*path, name)
            yield from numbers(value, (*path, name))


def altered(folder: Path, file: str, path: tuple[Any, ...]) -> Figures:
    """The figures with one of them another."""
    raw = json.loads((FIGURES / file).read_text())
    at = raw
    for name in path[:-1]:
        at = at[name]
    at[path[-1]] = at[path[-1]] * 1.3 + 1.0
    (folder / file).write_text(json.dumps(raw))
    figures = Figures(folder)
    shutil.copy(FIGURES / file, folder / file)
    return figures


@pytest.mark.parametrize("file", THERE)
def test_a_figure_that_was_altered_is_found_out(file: str, tmp_path: Path) -> None:
    page, tried = PAGE.read_text(), 0
    for name in THERE:
        shutil.copy(FIGURES / name, tmp_path / name)
    raw = json.loads((FIGURES / file).read_text())
    chosen = {"slopes": ("parts",), "members": ("fits",), "scale": ("roles",), "taking": ("cpu_ms", "bytes")}
    for part in chosen[Path(file).stem]:
        for path in numbers(raw[part], (part,)):
            assert written(page, altered(tmp_path, file, path)) != page, path
            tried += 1
    assert tried > 3


@pytest.mark.parametrize("name", BLOCKS)
def test_a_number_altered_in_the_page_is_found_out(name: str) -> None:
    page = PAGE.read_text()
    block = blocks(page)[name]
    head, _, body = block.partition("\n")
    digit = re.search(r"\d", body)
    spoilt = f"9 {body}" if digit is None else body.replace(digit[0], str((int(digit[0]) + 1) % 10), 1)
    spoilt = page.replace(block, f"{head}\n{spoilt}")
    assert spoilt != page and written(spoilt, Figures(FIGURES)) == page


def test_a_page_without_one_of_its_tables_is_turned_down() -> None:
    page = PAGE.read_text()
    with pytest.raises(ValueError, match="once each"):
        written(page.replace("<!-- capacity: worst -->", ""), Figures(FIGURES))


def test_each_line_of_the_target_has_its_row_and_what_it_names_is_there() -> None:
    page = PAGE.read_text()
    section = page.partition("## The target, line by line")[2]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    for line in LETTER:
        assert sum(line in row.split("|")[1] for row in lines) == 1, line
    for path in re.findall(r"`((?:grebestack|tests|benchmarks|docs)/[\w/.-]+)`", page):
        assert (ROOT / path).exists(), path


def test_lines_of_the_scale_runs_are_read_and_say_where_a_limit_is_met(tmp_path: Path) -> None:
    def line(base: float, slope: float) -> dict[str, Any]:
        return {"base": base, "slope": slope, "per": "follower", "range": [28, 230], "error": 0.03}

    run = {"command": "benchmarks/scale.py", "at": "2026-12-02T05:00:00Z", "machine": {"cores": 8}}
    roles = {"follower": {"bytes_s_changes": line(1000.0, 30.0), "cpu_share_changes": line(0.01, 0.0)}}
    taking = run | {"cpu_ms": line(3.0, 0.04), "bytes": line(600.0, 110.0)}
    (tmp_path / "scale.json").write_text(json.dumps(run | {"roles": roles, "verdict": {"delay_p99_s": 1.5}}))
    (tmp_path / "members.json").write_text(json.dumps(run | {"fits": {"cpu_share": line(0.002, 0.0005)}}))
    (tmp_path / "taking.json").write_text(json.dumps(taking))
    figures = Figures(tmp_path)
    met = {row[0]: row[1] for row in rows(limits(figures))}
    assert met["7 KB/s, a follower, 20 x the day's changes"] == "200 dispatchers"
    assert met["2.7% of a core, a follower, 20 x the day's changes"] == "does not grow"
    assert met["2.7% of a core, idle, all dispatchers members"] == "50 dispatchers"
    assert met["7 KB/s, a version that names workers, told whole, 20 x the day's changes"].startswith("191 ")
    page = blocks(written(PAGE.read_text(), figures))
    assert "`benchmarks/scale.py`" in page["commands"] and "`taking.bytes`" in page["slopes"]
    assert "met at 50 dispatchers" in page["first"]


def test_no_figures_at_all_read_as_not_measured(tmp_path: Path) -> None:
    page = written(PAGE.read_text(), Figures(tmp_path))
    table = rows(blocks(page)["dispatcher"])
    assert all(NOT_YET in " ".join(row) or "*reckoned*" in row[-2] for row in table)


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0.0, "0"),
        (4.0, "4"),
        (48.14, "48.1"),
        (83_123.0, "83,100"),
        (0.00012345, "0.000123"),
        (1.2e-9, "1.20e-09"),
        (-0.5, "-0.5"),
        (float("inf"), "-"),
    ],
)
def test_numbers_have_three_figures(value: float, text: str) -> None:
    assert number(value) == text
