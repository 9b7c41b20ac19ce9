"""The configuration given by the platform: RELAY_CONFIG and other environment variables."""

from __future__ import annotations

import json
import os
from collections.abc import Iterator, Mapping
from typing import Any

from grebestack.program.config.errors import ConfigError
from grebestack.program.config.files import control_address, read
from grebestack.program.config.model import Config
from grebestack.protocol.settings import FormatError, check_numbers, collect_key_paths, parse_settings
from grebestack.protocol.worker_list import parse_address

_ONLY_AT_START = ("known", "seed")
_REQUIRED_PREFIXES = (".settings.limits.", ".settings.rules.", ".settings.services[].")


def from_platform(environ: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """Read the file named by RELAY_CONFIG; other environment variables take precedence over it.

    Parameters
    ----------
    environ : the environment variables.
    again : whether this is a reload, where the file's discovery address takes precedence.

    Raises
    ------
    ConfigError : the file is unreadable or invalid.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG names no file")
    raw = _json_object(path)
    try:
        return _config_of(raw, environ, again)
    except KeyError as error:
        raise ConfigError(f"{path}: lacks {error}") from error
    except (ValueError, TypeError, AttributeError, FormatError) as error:
        raise ConfigError(f"{path}: {error}") from error


def check_reload(config: Config, current: Config) -> None:
    """Raise ConfigError if a reloaded configuration can't replace the current one."""
    if not current.key_paths:
        return  # an operator's file has defaults for most keys and was validated when it was read
    if missing := sorted(set(_required_paths(current)) - config.key_paths):
        raise ConfigError(f"the file lacks {missing[0].removeprefix('.')}, which the one in force has")
    try:
        check_numbers(config.options)
    except FormatError as error:
        raise ConfigError(str(error)) from error


def _required_paths(current: Config) -> Iterator[str]:
    for path in current.key_paths:
        top_level_depth = 1 + path.startswith(".settings.")
        if path.startswith(_REQUIRED_PREFIXES) or path.count(".") == top_level_depth:
            yield path


def _json_object(path: str) -> dict[str, Any]:
    text = read(path)
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    return raw


def _config_of(raw: Mapping[str, Any], environ: Mapping[str, str], again: bool) -> Config:
    options = raw["settings"]
    reloaded_discovery = again and raw.get("discovery")
    return Config(
        name=environ.get("RELAY_NAME") or str(raw.get("name", "")),
        listen=parse_address(environ.get("RELAY_LISTEN") or raw["listen"]),
        discovery=parse_address(reloaded_discovery or environ.get("RELAY_DISCOVERY") or raw["discovery"]),
        options=options,
        settings=parse_settings(options),
        seed=int(str(raw.get("seed", "0")), 16),
        max_sockets=int((raw.get("limits") or {}).get("sockets", 1024)),
        max_memory_mb=float((raw.get("limits") or {}).get("memory_mb", 192.0)),
        cached_list=raw.get("known") or {},
        listen_fd=_descriptor(environ.get("RELAY_LISTEN_FD")),
        control=control_address(environ.get("RELAY_CONTROL") or raw.get("control")),
        key_paths=frozenset(
            collect_key_paths({name: raw[name] for name in raw if name not in _ONLY_AT_START})
        ),
    )


def _descriptor(raw: str | None) -> int | None:
    if not raw:
        return None
    if not raw.isdigit():
        raise ValueError(f"RELAY_LISTEN_FD must be the number of an open descriptor, not {raw!r}")
    return int(raw)
