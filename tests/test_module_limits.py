"""Limits on file and function length, and on import cycles, for packages that are split by concern."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from tests.test_layers import PACKAGE, import_cycle, imports_within

PACKAGES = (
    "admin",
    "cluster_io",
    "cluster_tasks",
    "config_distribution",
    "consensus",
    "core",
    "endpoint_watch",
    "hot_restart",
    "program",
    "transport",
)
MODULES = sorted(path for package in PACKAGES for path in (PACKAGE / package).rglob("*.py"))
FUNCTIONS = ast.FunctionDef | ast.AsyncFunctionDef
MAX_FILE_LINES, MAX_FUNCTION_LINES = 400, 40


def name_of(path: Path) -> str:
    return str(path.relative_to(PACKAGE))


@pytest.mark.parametrize("path", MODULES, ids=name_of)
def test_files_and_functions_are_short(path: Path) -> None:
    text = path.read_text()
    assert len(text.splitlines()) <= MAX_FILE_LINES
    functions = [node for node in ast.walk(ast.parse(text)) if isinstance(node, FUNCTIONS)]
    assert not [f.name for f in functions if (f.end_lineno or 0) - f.lineno + 1 > MAX_FUNCTION_LINES]


@pytest.mark.parametrize("package", PACKAGES)
def test_packages_have_no_import_cycles(package: str) -> None:
    assert not import_cycle(imports_within(package))
