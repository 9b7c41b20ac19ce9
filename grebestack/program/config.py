"""The program's configuration: from the platform's environment, or from an operator's file."""

from __future__ import annotations

import json
import os
import re
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields
from typing import Any

from grebestack.core.api import Settings
from grebestack.protocol.lists import ListReader, address_of
from grebestack.protocol.settings import WireError, check_figures, keys_of, settings_of
from grebestack.transport.client import Address

AT_START = ("known", "seed")  # they say how things are at a start alone
PLACE = r"[\w.-]+/[\w.-]+"
FOLLOWER_KEYS = "name folder follow place relays members"
LAID_OVER = ("settings", "servers")  # the sections that a version may have
NEEDED = (".settings.limits.", ".settings.rules.", ".settings.services[].")


class ConfigError(Exception):
    """The configuration can't be used; the text says why in one line."""


class StartError(Exception):
    """The program can't start, though its configuration can be read; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """How what sources say of servers is believed; times in seconds."""

    flaps: int = 3
    flap_window_s: float = 60.0
    hold_s: float = 2.0
    hold_most_s: float = 60.0
    removed_share: float = 0.5
    keep_least: int = 1
    moved_s: float = 60.0
    stale_s: float = 60.0


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """What is asked of which Consul agents, and how instances are read."""

    agents: tuple[Address, ...]
    services: tuple[str, ...]
    token_file: str = ""
    wait_s: float = 30.0
    datacenter: str = ""
    namespace: str = ""
    partition: str = ""
    tags: tuple[str, ...] = ()
    filter: str = ""
    consistency: str = "default"
    max_stale_s: float | None = None
    checks: tuple[str, ...] = ()
    warning: str = "full"
    prefer: str = ""
    networks: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ServerSource:
    """Where the server table comes from: `discovery`, `consul`, or a `list` in the file."""

    source: str = "discovery"
    entries: tuple[Mapping[str, Any], ...] = ()
    snapshot: str = ""  # the last good lists, in this file; empty: nowhere
    consul: ConsulConfig | None = None


@dataclass(frozen=True, slots=True)
class JobsConfig:
    """How jobs wait: defaults, and by class the wanted time in seconds and whether its jobs queue unasked."""

    wanted_s: float = 60.0
    most_waiting: int = 100_000
    most_conditions: int = 500
    ahead: int = 16
    ripe: float = 0.5
    wanted_by_class: Mapping[str, float] = field(default_factory=dict)
    queued: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class DrmaaConfig:
    """The DRMAA front."""

    listen: Address
    store: str
    most_open: int = 1000
    keep_days: float = 30.0
    most_body: int = 1024 * 1024
    jobs: JobsConfig = field(default_factory=JobsConfig)


@dataclass(frozen=True, slots=True)
class TalliesConfig:
    """The fleet's tallies: one member gathers and exports them, by POST to a collector."""

    collector: Address
    path: str
    every_s: float


@dataclass(frozen=True, slots=True)
class AuditConfig:
    """The record of acts on this dispatcher's own disk; see docs/audit.md."""

    folder: str
    keep_mb: float = 256.0  # the oldest segments go beyond this
    full_rate: float = 2000.0  # acts a second that are all kept
    clock_off_ms: float = 100.0  # how far this machine's clock may be from true


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The dispatchers that this one agrees with; see docs/fleet-leases.md."""

    name: str
    listen: Address
    members: Mapping[str, Address]  # the others: where each is called
    folder: str
    term_s: float
    drift: float
    guard_ms: float
    return_s: float  # a member that is restarted is back within so long
    pause_s: float  # between two that are restarted
    share_servers: bool  # one member reads the source of servers, the others take it from there
    tallies: TalliesConfig | None = None


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """Where followers call a process that serves them."""

    address: Address
    place: str  # region/zone


@dataclass(frozen=True, slots=True)
class ForceConfig:
    """The configuration in force of a whole fleet: where it is heard from; see docs/fleet-leases.md."""

    fleet: str
    follow: bool  # this dispatcher does not vote
    place: str  # region/zone; empty: not said
    relays: Mapping[str, RelayConfig]
    voters: frozenset[str]  # of them all, this one too if it votes; a follower may know none
    folder: str


@dataclass(frozen=True, slots=True)
class Config:
    """What one dispatcher is told at its start."""

    name: str
    listen: Address
    discovery: Address
    options: Mapping[str, Any]
    settings: Settings
    seed: int = 0
    sockets: int = 1024
    known: Mapping[str, Any] = field(default_factory=dict)
    servers: ServerSource = field(default_factory=ServerSource)
    drmaa: DrmaaConfig | None = None
    platform: bool = True  # whether jobs are taken at `listen`, besides call-backs
    listen_fd: int | None = None  # the clients' listening socket, if the platform holds it
    control: Address | None = None  # where operators call; None: nowhere
    keys: frozenset[str] = frozenset()  # the paths of all keys that the file has
    fleet: FleetConfig | None = None  # None: this dispatcher votes in none
    force: ForceConfig | None = None  # None: no configuration in force reaches this dispatcher
    path: str = ""  # of the operator's file; empty: the platform's environment
    audit: AuditConfig | None = None  # None: no record of acts
    membership: MembershipConfig | None = None  # None: discovery feeds the server table itself


def read(path: str) -> str:
    """Read a file, or say plainly why not."""
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: not UTF-8") from error


def check(config: Config, former: Config) -> None:
    """ConfigError where a file that was read again can't take the place of the one in force."""
    if not former.keys:
        return  # an operator's file has defaults for most, and was checked when it was read
    needed = (
        path
        for path in former.keys
        if path.startswith(NEEDED) or path.count(".") == 1 + (path.startswith(".settings."))
    )
    if missing := sorted(set(needed) - config.keys):
        raise ConfigError(f"the file lacks {missing[0].removeprefix('.')}, which the one in force has")
    try:
        check_figures(config.options)
    except WireError as error:
        raise ConfigError(str(error)) from error


def _control(raw: Any) -> Address | None:
    if raw is None or raw == "":
        return None
    if not isinstance(raw, str):
        raise ValueError(f"control must be HOST:PORT, not {raw!r}")
    try:
        return address_of(raw)
    except ValueError as error:
        raise ValueError(f"control must be HOST:PORT: {error}") from error


def _descriptor(raw: str | None) -> int | None:
    if not raw:
        return None
    if not raw.isdigit():
        raise ValueError(f"RELAY_LISTEN_FD must be the number of an open descriptor, not {raw!r}")
    return int(raw)


def from_platform(environ: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """Read the file that RELAY_CONFIG names; the other variables go before it.

    They are those of the start: of a file that is read again, discovery's address goes first.
    """
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG names no file")
    text = read(path)
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: not an object")
    try:
        options = raw["settings"]
        return Config(
            name=environ.get("RELAY_NAME") or str(raw.get("name", "")),
            listen=address_of(environ.get("RELAY_LISTEN") or raw["listen"]),
            discovery=address_of(
                (again and raw.get("discovery")) or environ.get("RELAY_DISCOVERY") or raw["discovery"]
            ),
            options=options,
            settings=settings_of(options),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int((raw.get("limits") or {}).get("sockets", 1024)),
            known=raw.get("known") or {},
            listen_fd=_descriptor(environ.get("RELAY_LISTEN_FD")),
            control=_control(environ.get("RELAY_CONTROL") or raw.get("control")),
            keys=frozenset(keys_of({name: raw[name] for name in raw if name not in AT_START})),
        )
    except KeyError as error:
        raise ConfigError(f"{path}: lacks {error}") from error
    except (ValueError, TypeError, AttributeError, WireError) as error:
        raise ConfigError(f"{path}: {error}") from error


def _table(raw: Mapping[str, Any], name: str, keys: str, within: str = "") -> Mapping[str, Any]:
    value, name = raw.get(name, {}), f"{within}.{name}" if within else name
    if not isinstance(value, dict):
        raise ValueError(f"[{name}] must be a table")
    if unknown := sorted(set(value) - set(keys.split())):
        raise ValueError(f"[{name}] has the unknown key {unknown[0]!r}; known are {keys}")
    return value


def _whole(raw: Mapping[str, Any], name: str, default: int, least: int) -> int:
    value = raw.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise ValueError(f"{name} must be a whole number of at least {least}")
    return value


def _number(raw: Mapping[str, Any], name: str, default: float, least: float, most: float) -> float:
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise ValueError(f"{name} must be a number from {least:g} to {most:g}, not {value!r}")
    return float(value)


def _flag(raw: Mapping[str, Any], name: str, within: str) -> bool:
    value = raw.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"[{within}] {name} must be true or false, not {value!r}")
    return value


def _jobs(raw: Mapping[str, Any], known: Iterable[str]) -> JobsConfig:
    wanted, queued, known = {}, set(), list(known)
    classes = _table(raw, "classes", " ".join(known), within="jobs")
    for name in classes:
        one = _table(classes, name, "wanted_s queued", within="jobs.classes")
        if "wanted_s" in one:
            wanted[name] = _number(one, "wanted_s", 0.0, 0.001, 1e7)
        if _flag(one, "queued", f"jobs.classes.{name}"):
            queued.add(name)
    return JobsConfig(
        _number(raw, "wanted_s", 60.0, 0.001, 1e7),
        _whole(raw, "most_waiting", 100_000, 1),
        _whole(raw, "most_conditions", 500, 0),
        _whole(raw, "ahead", 16, 1),
        _number(raw, "ripe", 0.5, 0.0, 1.0),
        wanted,
        frozenset(queued),
    )


def _membership(raw: Mapping[str, Any]) -> MembershipConfig:
    default, most = MembershipConfig(), 86_400.0
    times = {
        name: _number(raw, name, getattr(default, name), 0.0, most)
        for name in ("flap_window_s", "hold_s", "hold_most_s", "moved_s")
    }
    if times["hold_most_s"] < times["hold_s"]:
        raise ValueError(f"hold_most_s must be at least hold_s, {times['hold_s']:g}")
    return MembershipConfig(
        flaps=_whole(raw, "flaps", default.flaps, 1),
        keep_least=_whole(raw, "keep_least", 1, 0),
        removed_share=_number(raw, "removed_share", default.removed_share, 0.0, 1.0),
        stale_s=_number(raw, "stale_s", default.stale_s, 1.0, most),
        **times,
    )


def _members(raw: Mapping[str, Any]) -> dict[str, Address]:
    members = _table(raw, "members", " ".join(raw.get("members") or ()), within="fleet")
    try:
        addresses = {name: address_of(str(where)) for name, where in members.items()}
    except ValueError as error:
        raise ValueError(f"[fleet] addresses must be HOST:PORT: {error}") from error
    if len(set(addresses.values())) < len(addresses):
        raise ValueError("[fleet.members] must have an address of its own for each")
    return addresses


def _place(raw: Mapping[str, Any], within: str) -> str:
    value = raw.get("place", "")
    if not isinstance(value, str) or not re.fullmatch(PLACE, value):
        raise ValueError(f"[{within}] place must be REGION/ZONE, not {value!r:.60}")
    return value


def _relays(raw: Mapping[str, Any]) -> dict[str, RelayConfig]:
    relays = _table(raw, "relays", " ".join(raw.get("relays") or ()), within="fleet")
    found: dict[str, RelayConfig] = {}
    for name in relays:
        within = f"fleet.relays.{name}"
        one = _table(relays, name, "address place", within="fleet.relays")
        try:
            address = address_of(str(one.get("address", "")))
        except ValueError as error:
            raise ValueError(f"[{within}] address must be HOST:PORT: {error}") from error
        found[name] = RelayConfig(address, _place(one, within))
    if len({relay.address for relay in found.values()}) < len(found):
        raise ValueError("[fleet.relays] must have an address of its own for each")
    return found


def _force(raw: Mapping[str, Any], own: str, folder: str) -> ForceConfig | None:
    """What a [fleet] says of the configuration in force; None: it does not go through the fleet."""
    follow = _flag(raw, "follow", "fleet")
    relays, voters = _relays(raw), frozenset(_members(raw))
    if "relays" not in raw and not follow:
        if "place" in raw:
            raise ValueError("[fleet] place is for a fleet that has [fleet.relays]")
        return None
    place = _place(raw, "fleet") if "place" in raw else relays[own].place if own in relays else ""
    if own in relays and place != relays[own].place:
        raise ValueError(f"[fleet] place {place!r} is not that of [fleet.relays], {relays[own].place!r}")
    if follow:
        if own in voters:
            raise ValueError(f"[fleet] follow is not for a member; [fleet.members] names {own!r}")
        if not set(relays) - {own}:
            raise ValueError("[fleet.relays] must name one relay to follow at least")
        if not place:
            raise ValueError("[fleet] place must be REGION/ZONE for a follower; it is not said")
        if own in relays and not set(relays) & voters:
            raise ValueError(
                f"[fleet.members] must name the members of [fleet.relays] that {own!r}, a relay, is to follow"
            )
        if extra := sorted(set(raw) - set(FOLLOWER_KEYS.split())):
            raise ValueError(f"[fleet] {extra[0]} is not for a follower; allowed are {FOLLOWER_KEYS}")
    return ForceConfig(
        _word(raw, "name", "fleet"),
        follow,
        place,
        relays,
        voters,
        os.path.join(folder, _word(raw, "folder", "fleet")),
    )


def _fleet(raw: Mapping[str, Any], own: str, folder: str) -> FleetConfig:
    addresses = _members(raw)
    if own not in addresses:
        raise ValueError(f"[fleet.members] must name this dispatcher, {own!r}; it has {', '.join(addresses)}")
    try:
        listen = address_of(str(raw["listen"])) if "listen" in raw else addresses[own]
    except ValueError as error:
        raise ValueError(f"[fleet] addresses must be HOST:PORT: {error}") from error
    term_s = _number(raw, "term_s", 4.0, 0.5, 3600.0)
    tallies = _table(raw, "tallies", "collector path every_s", within="fleet")
    path = _word(tallies, "path", "/")
    if not path.startswith("/") or not path.isascii() or not path.isprintable() or " " in path:
        raise ValueError(f"[fleet.tallies] path must begin with / and have no spaces, not {path!r}")
    return FleetConfig(
        _word(raw, "name", "fleet"),
        listen,
        {n: a for n, a in addresses.items() if n != own},
        os.path.join(folder, _word(raw, "folder", "fleet")),
        term_s,
        _number(raw, "drift", 0.01, 0.0, 0.2),
        _number(raw, "guard_ms", 50.0, 0.0, term_s * 300.0),
        _number(raw, "return_s", 60.0, 1.0, 3600.0),
        _number(raw, "pause_s", 5.0, 0.0, 3600.0),
        _flag(raw, "share_servers", "fleet"),
        TalliesConfig(
            address_of(str(tallies["collector"])), path, _number(tallies, "every_s", 5.0, 0.05, 86_400.0)
        )
        if tallies
        else None,
    )


def _audit(raw: Mapping[str, Any], folder: str) -> AuditConfig:
    return AuditConfig(
        os.path.join(folder, _word(raw, "folder", "audit")),
        _number(raw, "keep_mb", 256.0, 32.0, 1e6),
        _number(raw, "full_rate", 2000.0, 1.0, 1e6),
        _number(raw, "clock_off_ms", 100.0, 0.0, 3_600_000.0),
    )


def _drmaa(raw: Mapping[str, Any], folder: str, jobs: JobsConfig) -> DrmaaConfig:
    keep = raw.get("keep_days", 30.0)
    if isinstance(keep, bool) or not isinstance(keep, int | float) or not keep > 0:
        raise ValueError("keep_days must be a number above 0")
    return DrmaaConfig(
        listen=address_of(raw["listen"]),
        store=os.path.join(folder, str(raw["store"])),
        most_open=_whole(raw, "most_open", 1000, 1),
        keep_days=float(keep),
        most_body=_whole(raw, "most_body", 1024 * 1024, 1024),
        jobs=jobs,
    )


def _words(raw: Mapping[str, Any], name: str) -> tuple[str, ...]:
    value = raw.get(name, [])
    if not isinstance(value, list) or not all(isinstance(word, str) and word for word in value):
        raise ValueError(f"{name} must be a list of words, not {value!r}")
    return tuple(value)


def _word(raw: Mapping[str, Any], name: str, default: str = "", allowed: str = "") -> str:
    value = raw.get(name, default)
    if not isinstance(value, str) or (allowed and value not in allowed.split()):
        what = f"one of {allowed}" if allowed else "a word"
        raise ValueError(f"{name} must be {what}, not {value!r}")
    return value


def _consul(raw: Mapping[str, Any], folder: str) -> ConsulConfig:
    agents = _words(raw, "addresses") or (str(raw["address"]),)
    services = _words(raw, "services") or (str(raw["service"]),)
    if len(set(services)) < len(services) or len(set(agents)) < len(agents):
        raise ValueError("addresses and services must be named once each")
    token_file = os.path.join(folder, _word(raw, "token_file")) if "token_file" in raw else ""
    if token_file:
        read(token_file)
    stale = _number(raw, "max_stale_s", 0.0, 0.0, 86_400.0) if "max_stale_s" in raw else None
    consistency = _word(raw, "consistency", "default", "default stale consistent")
    if consistency == "stale" and stale is None:
        raise ValueError('consistency "stale" needs max_stale_s: how far behind an agent may be')
    networks = _words(raw, "networks")
    if networks:
        from grebestack.consul.entries import networks_of

        networks_of(networks)
    return ConsulConfig(
        tuple(address_of(agent) for agent in agents),
        services,
        token_file,
        _number(raw, "wait_s", 30.0, 0.05, 600.0),
        _word(raw, "datacenter"),
        _word(raw, "namespace"),
        _word(raw, "partition"),
        _words(raw, "tags"),
        _word(raw, "filter"),
        consistency,
        stale,
        _words(raw, "checks"),
        _word(raw, "warning", "full", "full reduced drain"),
        _word(raw, "prefer"),
        networks,
    )


def _entries(raw: Mapping[str, Any], options: Mapping[str, Any]) -> tuple[Mapping[str, Any], ...]:
    """The servers that the file itself lists, each looked at now: a list is never taken by half."""
    entries, reader = raw["list"], ListReader(options)
    if not isinstance(entries, list) or not all(isinstance(one, dict) for one in entries):
        raise ValueError(f"[servers] list must be a list of tables, not {entries!r:.60}")
    for number, entry in enumerate(entries):
        try:
            reader.server(entry, strict=True)
        except ValueError as error:
            raise ValueError(f"[servers] list[{number}]: {error}") from error
    return tuple(entries)


def _source(source: str, raw: Mapping[str, Any], folder: str, options: Mapping[str, Any]) -> ServerSource:
    if source == "list":
        return ServerSource(source, _entries(raw, options))
    snapshot = os.path.join(folder, _word(raw, "snapshot")) if "snapshot" in raw else ""
    return ServerSource(source, (), snapshot, _consul(raw, folder) if source == "consul" else None)


def sections(contents: bytes) -> Mapping[str, Any]:
    """What a version lays over an operator's file. ConfigError: it can't be; names field, value, allowed."""
    try:
        raw = tomllib.loads(contents.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"not TOML: {error}") from error
    if unknown := sorted(set(raw) - set(LAID_OVER)):
        raise ConfigError(f"unknown key {unknown[0]!r:.60}; allowed are the sections {', '.join(LAID_OVER)}")
    if not raw:
        raise ConfigError(f"no section; allowed are {', '.join(LAID_OVER)}, one at least")
    return raw


def from_file(path: str) -> Config:
    """Read an operator's file."""
    return from_text(path, read(path))


def from_text(path: str, text: str, over: bytes | None = None) -> Config:
    """What an operator's file says; the sections of a version (`over`, in TOML) stand in its own's place."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"{path}: not TOML: {error}") from error
    if over is not None:
        raw |= sections(over)
    try:
        known = {
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
        if unknown := sorted(set(raw) - known):
            raise ValueError(f"unknown key {unknown[0]!r}")
        servers = _table(
            raw,
            "servers",
            "source list snapshot address addresses service services token_file wait_s datacenter namespace"
            " partition tags filter consistency max_stale_s checks warning prefer networks",
        )
        source = servers.get("source", "discovery")
        if source not in ("discovery", "consul", "list"):
            raise ValueError(f"[servers] has the unknown source {source!r}")
        drmaa = _table(raw, "drmaa", "listen store most_open keep_days most_body")
        jobs = _table(raw, "jobs", "wanted_s most_waiting most_conditions ahead ripe classes")
        names = " ".join(field.name for field in fields(MembershipConfig))
        membership = _membership(_table(raw, "membership", names))
        fleet = _table(
            raw,
            "fleet",
            "name listen folder members term_s drift guard_ms return_s pause_s share_servers tallies follow"
            " place relays",
        )
        audit = _table(raw, "audit", "folder keep_mb full_rate clock_off_ms")
        name = str(raw.get("name", "grebestack"))
        folder = os.path.dirname(path)
        force = _force(fleet, name, folder) if fleet else None
        options = raw["settings"]
        settings = settings_of(options)
        return Config(
            name=name,
            listen=address_of(raw["listen"]),
            discovery=address_of(servers["address"]) if source == "discovery" else ("", 0),
            options=options,
            settings=settings,
            seed=int.from_bytes(os.urandom(8), "big"),
            sockets=_whole(raw, "sockets", 1024, 128),
            servers=_source(source, servers, folder, options),
            drmaa=_drmaa(drmaa, folder, _jobs(jobs, (c.name for c in settings.classes))) if drmaa else None,
            platform=bool(raw.get("platform", False)),
            control=_control(raw.get("control")),
            membership=membership,
            fleet=_fleet(fleet, name, folder) if fleet and not (force and force.follow) else None,
            force=force,
            path=path,
            audit=_audit(audit, folder) if audit else None,
        )
    except KeyError as error:
        raise ConfigError(f"{path}: lacks {error}") from error
    except (ValueError, TypeError, AttributeError, WireError) as error:
        raise ConfigError(f"{path}: {error}") from error
