"""Reads configuration files, and the admin address that both kinds of file may have."""

from __future__ import annotations

from typing import Any

from grebestack.program.config.errors import ConfigError
from grebestack.protocol.worker_list import parse_address
from grebestack.transport.client import Address


def read(path: str) -> str:
    """Return the text of a file. ConfigError: it can't be read, or isn't UTF-8."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: not UTF-8") from error


def control_address(raw: Any) -> Address | None:
    """Parse the address of the admin server; None if it is not set. ValueError: it is malformed."""
    if raw is None or raw == "":
        return None
    if not isinstance(raw, str):
        raise ValueError(f"control must be HOST:PORT, not {raw!r}")
    try:
        return parse_address(raw)
    except ValueError as error:
        raise ValueError(f"control must be HOST:PORT: {error}") from error
