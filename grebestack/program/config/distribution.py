"""The keys for relays and followers in the section [fleet] of an operator's file."""

from __future__ import annotations

import os
import re
from collections.abc import Mapping
from typing import Any

from grebestack.program.config.cluster import member_addresses
from grebestack.program.config.model import DistributionConfig, RelayConfig
from grebestack.program.config.validation import read_flag, read_string, read_table
from grebestack.protocol.worker_list import parse_address

_PLACE_PATTERN = r"[\w.-]+/[\w.-]+"
_FOLLOWER_KEYS = "name folder follow place relays members"


def distribution_config(raw: Mapping[str, Any], own_name: str, folder: str) -> DistributionConfig | None:
    """Return how the dispatcher `own_name` receives configuration updates; None: it uses only its local file.

    Paths are relative to `folder`. ValueError: the section is invalid.
    """
    is_follower = read_flag(raw, "follow", "fleet")
    relays, voters = _relays(raw), frozenset(member_addresses(raw))
    if "relays" not in raw and not is_follower:
        if "place" in raw:
            raise ValueError("[fleet] place is for a fleet that has [fleet.relays]")
        return None
    place = _own_place(raw, relays.get(own_name))
    if is_follower:
        _check_follower(raw, own_name, place, relays, voters)
    return DistributionConfig(
        cluster=read_string(raw, "name", "fleet"),
        is_follower=is_follower,
        place=place,
        relays=relays,
        voters=voters,
        folder=os.path.join(folder, read_string(raw, "folder", "fleet")),
    )


def _own_place(raw: Mapping[str, Any], own_relay: RelayConfig | None) -> str:
    default = own_relay.place if own_relay is not None else ""
    place = _place(raw, "fleet") if "place" in raw else default
    if own_relay is not None and place != own_relay.place:
        raise ValueError(f"[fleet] place {place!r} is not that of [fleet.relays], {own_relay.place!r}")
    return place


def _check_follower(
    raw: Mapping[str, Any],
    own_name: str,
    place: str,
    relays: Mapping[str, RelayConfig],
    voters: frozenset[str],
) -> None:
    if own_name in voters:
        raise ValueError(f"[fleet] follow is not for a member; [fleet.members] names {own_name!r}")
    if not set(relays) - {own_name}:
        raise ValueError("[fleet.relays] must name one relay to follow at least")
    if not place:
        raise ValueError("[fleet] place must be REGION/ZONE for a follower; it is not said")
    if own_name in relays and not set(relays) & voters:
        raise ValueError(
            "[fleet.members] must name the members of [fleet.relays]"
            f" that {own_name!r}, a relay, is to follow"
        )
    if extra := sorted(set(raw) - set(_FOLLOWER_KEYS.split())):
        raise ValueError(f"[fleet] {extra[0]} is not for a follower; allowed are {_FOLLOWER_KEYS}")


def _place(raw: Mapping[str, Any], within: str) -> str:
    value = raw.get("place", "")
    if not isinstance(value, str) or not re.fullmatch(_PLACE_PATTERN, value):
        raise ValueError(f"[{within}] place must be REGION/ZONE, not {value!r:.60}")
    return value


def _relays(raw: Mapping[str, Any]) -> dict[str, RelayConfig]:
    tables = read_table(raw, "relays", " ".join(raw.get("relays") or ()), within="fleet")
    relays = {name: _relay(tables, name) for name in tables}
    if len({relay.address for relay in relays.values()}) < len(relays):
        raise ValueError("[fleet.relays] must have an address of its own for each")
    return relays


def _relay(tables: Mapping[str, Any], name: str) -> RelayConfig:
    within = f"fleet.relays.{name}"
    table = read_table(tables, name, "address place", within="fleet.relays")
    try:
        address = parse_address(str(table.get("address", "")))
    except ValueError as error:
        raise ValueError(f"[{within}] address must be HOST:PORT: {error}") from error
    return RelayConfig(address, _place(table, within))
