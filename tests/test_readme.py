"""The limits of the printed module, and the README's example."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MODULE = (ROOT / "grebestack" / "core" / "policy.py").read_text()


def test_the_module_keeps_its_limits() -> None:
    lines = MODULE.splitlines()
    assert sum(1 for line in lines if line.strip()) <= 525  # until it is split by decision
    assert max(map(len, lines)) <= 110
    assert "interface.py" in (ast.get_docstring(ast.parse(MODULE)) or "")


def test_the_module_touches_neither_clock_nor_system() -> None:
    imported = {
        name.split(".")[0]
        for node in ast.walk(ast.parse(MODULE))
        if isinstance(node, ast.Import | ast.ImportFrom)
        for name in (
            [node.module or ""] if isinstance(node, ast.ImportFrom) else [a.name for a in node.names]
        )
    }
    assert imported <= {"__future__", "random", "collections", "math", "grebestack"}


def test_the_readme_example_runs() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60, check=False
    )
    assert (result.returncode, result.stderr) == (0, "")
    assert "Send(request=1" in result.stdout
