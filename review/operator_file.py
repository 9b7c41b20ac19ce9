"""An operator's file for the cases that play an appliance."""

from __future__ import annotations

from pathlib import Path

from harness import HOST, SETTINGS, toml_of


def write_operator_file(
    path: Path,
    listen: int,
    servers: str,
    control: int | None = None,
    drmaa: int | None = None,
    more: str = "",
    settings: dict[str, object] | None = None,
) -> None:
    """Write an operator's file; `servers` is the contents of its section [servers]."""
    lines = ['name = "farm-1"', f'listen = "{HOST}:{listen}"', f"platform = {'false' if drmaa else 'true'}"]
    if control is not None:
        lines.append(f'control = "{HOST}:{control}"')
    lines += ["[servers]", servers]
    if drmaa is not None:
        lines += ["[drmaa]", f'listen = "{HOST}:{drmaa}"', 'store = "jobs.sqlite"']
    lines += [more, "[settings]"]
    lines += [f"{name} = {toml_of(value)}" for name, value in (settings or SETTINGS).items()]
    text = "\n".join(lines) + "\n"
    temporary = path.with_suffix(".new")
    temporary.write_text(text, encoding="utf-8")
    temporary.replace(path)
