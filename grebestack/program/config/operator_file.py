"""Parses the operator's file (TOML), and the sections of it that a configuration version replaces."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from typing import Any

from grebestack.program.config.audit import AUDIT_KEYS, audit_config
from grebestack.program.config.cluster import FLEET_KEYS, cluster_config
from grebestack.program.config.distribution import distribution_config
from grebestack.program.config.errors import ConfigError
from grebestack.program.config.files import control_address, read
from grebestack.program.config.jobs import DRMAA_KEYS, JOBS_KEYS, drmaa_config, jobs_config
from grebestack.program.config.model import Config
from grebestack.program.config.validation import read_integer, read_table
from grebestack.program.config.worker_membership import MEMBERSHIP_KEYS, worker_membership_config
from grebestack.program.config.worker_source import SERVERS_KEYS, source_kind, worker_source
from grebestack.protocol.settings import FormatError, parse_settings
from grebestack.protocol.worker_list import parse_address

_KEYS = {
    "name",
    "listen",
    "control",
    "platform",
    "sockets",
    "servers",
    "membership",
    "drmaa",
    "jobs",
    "settings",
    "fleet",
    "audit",
}
_VERSION_SECTIONS = ("settings", "servers")


def from_file(path: str) -> Config:
    """Read an operator's file. ConfigError: it is unreadable or invalid."""
    return from_text(path, read(path))


def from_text(path: str, text: str, version: bytes | None = None) -> Config:
    """Return the configuration in an operator's file.

    Parameters
    ----------
    path : the path of the file; paths inside it are relative to its folder.
    text : the contents of the file.
    version : the contents of a configuration version, whose sections replace those of the file.

    Raises
    ------
    ConfigError : the text or the version is invalid.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: not TOML: {error}") from error
    if version is not None:
        raw |= version_sections(version)
    try:
        return _config_of(raw, path)
    except KeyError as error:
        raise ConfigError(f"{path}: lacks {error}") from error
    except (ValueError, TypeError, AttributeError, FormatError) as error:
        raise ConfigError(f"{path}: {error}") from error


def version_sections(contents: bytes) -> Mapping[str, Any]:
    """Parse a configuration version. ConfigError: names the field, its value and what is allowed."""
    try:
        raw = tomllib.loads(contents.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"not TOML: {error}") from error
    allowed = ", ".join(_VERSION_SECTIONS)
    if unknown := sorted(set(raw) - set(_VERSION_SECTIONS)):
        raise ConfigError(f"unknown key {unknown[0]!r:.60}; allowed are the sections {allowed}")
    if not raw:
        raise ConfigError(f"no section; allowed are {allowed}, one at least")
    return raw


def _config_of(raw: Mapping[str, Any], path: str) -> Config:
    """Build the configuration; the order of sections decides which of several mistakes is reported."""
    if unknown := sorted(set(raw) - _KEYS):
        raise ValueError(f"unknown key {unknown[0]!r}")
    servers = read_table(raw, "servers", SERVERS_KEYS)
    kind = source_kind(servers)
    drmaa = read_table(raw, "drmaa", DRMAA_KEYS)
    jobs = read_table(raw, "jobs", JOBS_KEYS)
    membership = worker_membership_config(read_table(raw, "membership", MEMBERSHIP_KEYS))
    fleet = read_table(raw, "fleet", FLEET_KEYS)
    audit = read_table(raw, "audit", AUDIT_KEYS)
    name = str(raw.get("name", "grebestack"))
    folder = os.path.dirname(path)
    distribution = distribution_config(fleet, name, folder) if fleet else None
    is_follower = distribution is not None and distribution.is_follower
    options = raw["settings"]
    settings = parse_settings(options)
    class_names = [traffic_class.name for traffic_class in settings.classes]
    return Config(
        name=name,
        listen=parse_address(raw["listen"]),
        discovery=parse_address(servers["address"]) if kind == "discovery" else ("", 0),
        options=options,
        settings=settings,
        seed=int.from_bytes(os.urandom(8), "big"),
        max_sockets=read_integer(raw, "sockets", 1024, 128),
        worker_source=worker_source(servers, folder, options),
        drmaa=drmaa_config(drmaa, folder, jobs_config(jobs, class_names)) if drmaa else None,
        accepts_requests=bool(raw.get("platform", False)),
        control=control_address(raw.get("control")),
        membership=membership,
        cluster=cluster_config(fleet, name, folder) if fleet and not is_follower else None,
        distribution=distribution,
        path=path,
        audit=audit_config(audit, folder) if audit else None,
    )
