"""Imports only point to inner layers, and no coroutine or task is started for a single request."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "grebestack"
ALLOWED_IMPORTS = {
    "core": {"core"},
    "routing": {"core", "routing"},
    "job_queue": {"job_queue"},
    "membership": {"core", "membership"},
    "transport": {"transport"},
    "endpoint_watch": {"endpoint_watch"},
    "protocol": {"core", "routing", "transport", "membership", "endpoint_watch", "protocol"},
    "consul": {"core", "routing", "transport", "protocol", "consul"},
    "jobs": {"core", "routing", "job_queue", "jobs"},
    "drmaa": {"core", "routing", "transport", "job_queue", "jobs", "drmaa"},
    "admin": {"admin"},
    "consensus": {"consensus", "config_distribution"},
    "config_distribution": {"consensus", "config_distribution"},
    "cluster_tasks": {"consensus", "cluster_tasks"},
    "cluster_io": {"consensus", "config_distribution", "cluster_tasks", "cluster_io"},
    "audit": {"consensus", "audit"},
    "hot_restart": {"hot_restart"},
    "program": {
        "core",
        "routing",
        "transport",
        "protocol",
        "membership",
        "endpoint_watch",
        "consul",
        "job_queue",
        "jobs",
        "drmaa",
        "audit",
        "admin",
        "hot_restart",
        "config_distribution",
        "consensus",
        "cluster_tasks",
        "cluster_io",
        "program",
    },
}
# The loop offers opening a connection only as a coroutine; the others belong to the start of the program.
COROUTINES = {
    "ConnectionPools._open_connection",
    "DiscoveryWatcher._connect",
    "Dispatcher.run",
    "Dispatcher._start_drmaa",
    "Dispatcher._start_servers",
    "Dispatcher._start_cluster",
    "Dispatcher._start_admin_server",
    "ClientListener.open",
    "Dispatcher.accept_and_serve",
    "Dispatcher._begin_hot_restart",
    "HotRestartRunner.begin",
    "HotRestartRunner._wait_for_state",
    "Adoption._connect",
    "run.main",
    "ConnectionAttempt._open",
    "ClusterMember.start",
    "ConfigUpdates.start",
    "RelayServer.start",
}


def imported(tree: ast.AST) -> set[str]:
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("grebestack"):
            parts = (node.module or "").split(".")
            names |= {parts[1]} if len(parts) > 1 else {alias.name for alias in node.names}
    return names


@pytest.mark.parametrize("layer", ALLOWED_IMPORTS)
def test_imports_point_inward(layer: str) -> None:
    for path in (PACKAGE / layer).rglob("*.py"):
        assert imported(ast.parse(path.read_text())) <= ALLOWED_IMPORTS[layer], path.name


def modules_imported(path: Path) -> set[str]:
    """The modules that a file imports anywhere, including imports for type checking only."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("grebestack"):
            names |= {node.module or "", *(f"{node.module}.{alias.name}" for alias in node.names)}
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names


def imports_within(package: str) -> dict[str, set[str]]:
    """The imports of each module of a package, by module name."""
    imports = {}
    for path in (PACKAGE / package).rglob("*.py"):
        parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        imports[name] = modules_imported(path)
    return imports


def import_cycle(imports: dict[str, set[str]]) -> list[str]:
    """The modules that take part in or lead to an import cycle; empty without a cycle."""
    remaining = {name: imported & set(imports) for name, imported in imports.items()}
    while leaves := [name for name, imported in remaining.items() if not imported]:
        for name in leaves:
            del remaining[name]
        remaining = {name: imported - set(leaves) for name, imported in remaining.items()}
    return sorted(remaining)


def test_the_distribution_lists_all_packages() -> None:
    listed = tomllib.loads((PACKAGE.parent / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    folders = {path.parent.relative_to(PACKAGE.parent) for path in PACKAGE.rglob("__init__.py")}
    assert sorted(listed) == sorted(".".join(folder.parts) for folder in folders)


def test_an_import_cycle_is_found() -> None:
    assert import_cycle({"a": {"b"}, "b": {"c"}, "c": {"b"}, "d": set()}) == ["a", "b", "c"]
    assert import_cycle({"a": {"a"}}) == ["a"]
    assert import_cycle({"a": {"b", "c"}, "b": {"c"}, "c": set()}) == []


def test_the_program_has_no_import_cycle() -> None:
    imports = imports_within("program")
    assert "grebestack.program.config.model" in imports["grebestack.program.dispatcher"]
    assert not import_cycle(imports)


def test_only_connections_and_the_program_use_coroutines_and_tasks() -> None:
    found, tasks = set(), []

    def walk(node: ast.AST, name: str) -> None:
        for child in ast.iter_child_nodes(node):
            inner = name
            if isinstance(child, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                inner = f"{name}.{child.name}".lstrip(".")
            if isinstance(child, ast.AsyncFunctionDef):
                found.add(inner)
            if isinstance(child, ast.Attribute) and child.attr in ("create_task", "ensure_future"):
                tasks.append(inner)
            walk(child, inner)

    for path in PACKAGE.rglob("*.py"):
        walk(ast.parse(path.read_text()), "")
    assert found == COROUTINES
    assert sorted(tasks) == [
        "Adoption._adopt_descriptor",
        "ConnectionAttempt.__init__",
        "ConnectionPools.open_connection",
        "DiscoveryWatcher._open",
        "HotRestartRunner._accept_clients",
    ]
