"""The section [fleet] of an operator's file, for a voting member."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any

from grebestack.program.config.model import ClusterConfig, MetricsExportConfig
from grebestack.program.config.validation import read_flag, read_number, read_string, read_table
from grebestack.protocol.worker_list import parse_address
from grebestack.transport.client import Address

FLEET_KEYS = (
    "name listen folder members term_s drift guard_ms return_s pause_s share_servers tallies follow"
    " place relays"
)
_GUARD_MS_PER_TERM_S = 300.0  # the longest guard for each second of the lease term


def cluster_config(raw: Mapping[str, Any], own_name: str, folder: str) -> ClusterConfig:
    """Parse [fleet] for the member `own_name`; paths are relative to `folder`.

    KeyError, ValueError: the section is invalid.
    """
    addresses = member_addresses(raw)
    if own_name not in addresses:
        raise ValueError(
            f"[fleet.members] must name this dispatcher, {own_name!r}; it has {', '.join(addresses)}"
        )
    try:
        listen = parse_address(str(raw["listen"])) if "listen" in raw else addresses[own_name]
    except ValueError as error:
        raise ValueError(f"[fleet] addresses must be HOST:PORT: {error}") from error
    term_s = read_number(raw, "term_s", 4.0, 0.5, 3600.0)
    export = read_table(raw, "tallies", "collector path every_s", within="fleet")
    path = _export_path(export)
    return ClusterConfig(
        name=read_string(raw, "name", "fleet"),
        listen=listen,
        peers={name: address for name, address in addresses.items() if name != own_name},
        folder=os.path.join(folder, read_string(raw, "folder", "fleet")),
        lease_term_s=term_s,
        max_clock_drift=read_number(raw, "drift", 0.01, 0.0, 0.2),
        lease_guard_ms=read_number(raw, "guard_ms", 50.0, 0.0, term_s * _GUARD_MS_PER_TERM_S),
        restart_timeout_s=read_number(raw, "return_s", 60.0, 1.0, 3600.0),
        restart_pause_s=read_number(raw, "pause_s", 5.0, 0.0, 3600.0),
        share_worker_source=read_flag(raw, "share_servers", "fleet"),
        metrics_export=_metrics_export_config(export, path) if export else None,
    )


def member_addresses(raw: Mapping[str, Any]) -> dict[str, Address]:
    """Return the address of each member in [fleet.members]. ValueError: the table is invalid."""
    members = read_table(raw, "members", " ".join(raw.get("members") or ()), within="fleet")
    try:
        addresses = {name: parse_address(str(address)) for name, address in members.items()}
    except ValueError as error:
        raise ValueError(f"[fleet] addresses must be HOST:PORT: {error}") from error
    if len(set(addresses.values())) < len(addresses):
        raise ValueError("[fleet.members] must have an address of its own for each")
    return addresses


def _export_path(raw: Mapping[str, Any]) -> str:
    path = read_string(raw, "path", "/")
    if not path.startswith("/") or not path.isascii() or not path.isprintable() or " " in path:
        raise ValueError(f"[fleet.tallies] path must begin with / and have no spaces, not {path!r}")
    return path


def _metrics_export_config(raw: Mapping[str, Any], path: str) -> MetricsExportConfig:
    collector = parse_address(str(raw["collector"]))
    return MetricsExportConfig(collector, path, read_number(raw, "every_s", 5.0, 0.05, 86_400.0))
