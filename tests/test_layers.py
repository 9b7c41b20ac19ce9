"""The layers: imports point only inward, and nothing is started for a single request."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "grebestack"
INWARD = {
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
# Opening a connection, which the loop offers only as a coroutine, and the program's own start.
COROUTINES = {
    "Pools._dial",
    "Watch._dial",
    "Dispatcher.run",
    "Dispatcher._start_drmaa",
    "Dispatcher._open_door",
    "Dispatcher.listen",
    "Dispatcher.accept_and_serve",
    "Dispatcher._begin_upgrade",
    "Upgrade.begin",
    "Upgrade._take",
    "run.main",
    "Opening._open",
    "Fleet.start",
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


@pytest.mark.parametrize("layer", INWARD)
def test_imports_point_inward(layer: str) -> None:
    for path in (PACKAGE / layer).glob("*.py"):
        assert imported(ast.parse(path.read_text())) <= INWARD[layer], path.name


def test_coroutines_and_tasks_belong_to_connections_and_the_program_alone() -> None:
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
        "Opening.__init__",
        "Pools.dial",
        "Upgrade._accept",
        "Upgrade._adopt",
        "Watch._open",
    ]
