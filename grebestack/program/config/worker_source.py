"""The section [servers] of an operator's file."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any

from grebestack.program.config.files import read
from grebestack.program.config.model import ConsulConfig, WorkerSource
from grebestack.program.config.validation import read_number, read_string, read_strings
from grebestack.protocol.worker_list import WorkerListReader, parse_address

SERVERS_KEYS = (
    "source list snapshot address addresses service services token_file wait_s datacenter namespace"
    " partition tags filter consistency max_stale_s checks warning prefer networks"
)
_SOURCES = ("discovery", "consul", "list")


def worker_source(raw: Mapping[str, Any], folder: str, options: Mapping[str, Any]) -> WorkerSource:
    """Parse [servers].

    Parameters
    ----------
    raw : the section.
    folder : paths in the section are relative to it.
    options : the section [settings].

    Raises
    ------
    ConfigError, KeyError, ValueError : the section is invalid.
    """
    kind = source_kind(raw)
    if kind == "list":
        return WorkerSource(kind, _entries(raw, options))
    snapshot_path = os.path.join(folder, read_string(raw, "snapshot")) if "snapshot" in raw else ""
    consul = _consul_config(raw, folder) if kind == "consul" else None
    return WorkerSource(kind, (), snapshot_path, consul)


def source_kind(raw: Mapping[str, Any]) -> str:
    """Return the kind of source named in [servers]. ValueError: the kind is unknown."""
    kind = raw.get("source", "discovery")
    if kind not in _SOURCES:
        raise ValueError(f"[servers] has the unknown source {kind!r}")
    return str(kind)


def _entries(raw: Mapping[str, Any], options: Mapping[str, Any]) -> tuple[Mapping[str, Any], ...]:
    """Return the workers listed in the file; one invalid entry invalidates the whole list."""
    entries, reader = raw["list"], WorkerListReader(options)
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise ValueError(f"[servers] list must be a list of tables, not {entries!r:.60}")
    for number, entry in enumerate(entries):
        try:
            reader.read_worker(entry, strict=True)
        except ValueError as error:
            raise ValueError(f"[servers] list[{number}]: {error}") from error
    return tuple(entries)


def _consul_config(raw: Mapping[str, Any], folder: str) -> ConsulConfig:
    agents = read_strings(raw, "addresses") or (str(raw["address"]),)
    services = read_strings(raw, "services") or (str(raw["service"]),)
    if len(set(services)) < len(services) or len(set(agents)) < len(agents):
        raise ValueError("addresses and services must be named once each")
    token_file = os.path.join(folder, read_string(raw, "token_file")) if "token_file" in raw else ""
    if token_file:
        read(token_file)
    max_stale_s = read_number(raw, "max_stale_s", 0.0, 0.0, 86_400.0) if "max_stale_s" in raw else None
    consistency = read_string(raw, "consistency", "default", "default stale consistent")
    if consistency == "stale" and max_stale_s is None:
        raise ValueError('consistency "stale" needs max_stale_s: how far behind an agent may be')
    networks = _networks(raw)
    return ConsulConfig(
        agents=tuple(parse_address(agent) for agent in agents),
        services=services,
        token_file=token_file,
        wait_s=read_number(raw, "wait_s", 30.0, 0.05, 600.0),
        datacenter=read_string(raw, "datacenter"),
        namespace=read_string(raw, "namespace"),
        partition=read_string(raw, "partition"),
        tags=read_strings(raw, "tags"),
        filter=read_string(raw, "filter"),
        consistency=consistency,
        max_stale_s=max_stale_s,
        checks=read_strings(raw, "checks"),
        warning=read_string(raw, "warning", "full", "full reduced drain"),
        prefer=read_string(raw, "prefer"),
        networks=networks,
    )


def _networks(raw: Mapping[str, Any]) -> tuple[str, ...]:
    networks = read_strings(raw, "networks")
    if networks:
        from grebestack.consul.instances import parse_networks

        parse_networks(networks)  # raises ValueError if one is not a network
    return networks
