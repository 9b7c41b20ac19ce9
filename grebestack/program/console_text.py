"""Formats responses as text for a terminal."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any


def as_table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> str:
    """Return rows as aligned columns under a header line."""
    lines = [list(columns)]
    for row in rows:
        lines.append(["" if row.get(column) is None else str(row[column]) for column in columns])
    widths = [max(len(line[number]) for line in lines) for number in range(len(columns))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def as_pairs(value: dict[str, Any], indent: str = "") -> str:
    """Return one `name: value` line for each value of an object, with nested objects indented."""
    lines = []
    for name, item in value.items():
        if isinstance(item, dict):
            lines.append(f"{indent}{name}:")
            if item:
                lines.append(as_pairs(item, indent + "  "))
        elif item is not None:
            text = ", ".join(map(str, item)) if isinstance(item, list) else item
            lines.append(f"{indent}{name}: {text}")
    return "\n".join(lines)
