"""Limits of the decision modules: size, docstrings and imports."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
MODULES = sorted((ROOT / "grebestack" / "core").glob("*.py"))
FUNCTIONS = ast.FunctionDef | ast.AsyncFunctionDef
MAX_FILE_LINES, MAX_LINE_LENGTH, MAX_FUNCTION_LINES = 400, 110, 40
ALLOWED_IMPORTS = {
    "__future__",
    "collections",
    "dataclasses",
    "enum",
    "hashlib",
    "heapq",
    "itertools",
    "math",
    "random",
    "typing",
}


def imports(tree: ast.AST) -> set[str]:
    """The full names of the modules that a module imports."""
    names = set[str]()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom):
            assert node.level == 0, "a relative import"
            names.add(node.module or "")
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_each_module_is_within_the_limits_of_size(path: Path) -> None:
    text = path.read_text()
    lines, tree = text.splitlines(), ast.parse(text)
    assert len(lines) <= MAX_FILE_LINES
    assert max(map(len, lines)) <= MAX_LINE_LENGTH
    long_functions = [
        node.name
        for node in ast.walk(tree)
        if isinstance(node, FUNCTIONS)
        and (node.end_lineno or 0) - min([node.lineno, *(d.lineno for d in node.decorator_list)])
        >= MAX_FUNCTION_LINES
    ]
    assert not long_functions


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_each_module_and_public_definition_has_a_docstring(path: Path) -> None:
    tree = ast.parse(path.read_text())
    assert ast.get_docstring(tree)
    definitions = [n for n in ast.walk(tree) if isinstance(n, ast.ClassDef | FUNCTIONS)]
    assert not [n.name for n in definitions if not n.name.startswith("_") and not ast.get_docstring(n)]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_each_module_imports_neither_clocks_nor_input_and_output(path: Path) -> None:
    imported = imports(ast.parse(path.read_text()))
    core = {name for name in imported if name == "grebestack.core" or name.startswith("grebestack.core.")}
    assert {name.split(".")[0] for name in imported - core} <= ALLOWED_IMPORTS


def test_the_docstring_of_the_policy_names_its_interface_and_the_modules_of_rules() -> None:
    docstring = ast.get_docstring(ast.parse((ROOT / "grebestack" / "core" / "policy.py").read_text())) or ""
    assert "api.py" in docstring
    for rules in ("admission", "selection", "retries", "queueing", "outliers", "slow_start"):
        assert rules in docstring


def test_the_platform_configuration_lists_all_decision_modules() -> None:
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert policy == [str(path.relative_to(ROOT)) for path in MODULES if path.stem != "__init__"]
