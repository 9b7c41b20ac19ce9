"""A fleet laid out on eight machines in two regions and seven zones, run as local processes.

Connections between the regions go through a proxy that can cut them. Five machines have a voter and all
have a relay. Each zone has hollow followers (follower clients without an engine); some also have a real one.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import random
import re
import shlex
import signal
import threading
import time
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path

from grebestack.audit.version_sets import digest
from scaling.checker import AppliedVersion, ConfigChange, History, Incarnation, MajorityLoss, Outage
from scaling.processes import Processes
from tests.cluster import Proxy
from tests.ports import reserved_port
from tests.standins import OPERATOR_SETTINGS, reports_ready, send_admin_command

ZONES = ("east/a1", "east/a2", "east/a3", "east/a4", "west/b1", "west/b2", "west/b3")
VOTERS = {"v1": "east/a1", "v2": "east/a2", "v3": "east/a3", "v4": "west/b1", "v5": "west/b2"}
RELAYS = {f"r{n + 1}": (*ZONES, ZONES[4])[n] for n in range(8)}  # one on each of the eight machines
REAL_FOLLOWER_PLACES = (ZONES[0], ZONES[3], ZONES[4], ZONES[6])
# A dispatcher without a fleet; a hollow process without followers.
STANDALONE, EMPTY_HOLLOW = "alone", "hollow-empty"
APPLIED_EVENT = "configuration_laid"
READY_S = 60.0
CHANGE_EVERY_S = 86_400.0 / (20 * 1400)  # twenty times the mean rate of 1400 changes a day


def region(place: str) -> str:
    """Return the region of a place."""
    return place.split("/")[0]


def contents(mark: int, size: int = 0) -> bytes:
    """Return the contents of a change: at least `size` bytes, with the same mark as first and last line."""
    text = OPERATOR_SETTINGS.replace("hardLimitMs = 6000.0", f"hardLimitMs = {6000 + mark % 1000}.0", 1)
    worker = f'{{ uid = "w{mark}", endpoint = "127.0.0.1:9", state = "Terminating", capacity_hint = 1.0 }}'
    body = f'{text}[servers]\nsource = "list"\nlist = [{worker}]\n'
    padding = "".join(f"# {'.' * 97}\n" for _ in range(-(-max(0, size - len(body)) // 100)))
    return f"# mark {mark}\n{body}{padding}# mark {mark}\n".encode()


def log_timestamp(text: str) -> float:
    """Return the `ts` of a log line as seconds since the epoch."""
    return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()


def held_digests(data: bytes) -> tuple[str, str]:
    """Return the digests of settings and workers that a dispatcher reports under these contents."""
    raw = tomllib.loads(data.decode())
    return digest(raw["settings"]), digest(raw["servers"]["list"])


def applied_versions_in_log(
    process: str, lines: Iterable[str], expected_digests: Mapping[str, tuple[str, str]]
) -> list[AppliedVersion]:
    """Return the versions that a real process applied, by its log.

    `expected_digests` maps a contents digest to the digests that the process must report under it. A version
    with other digests is incomplete.
    """
    applied, incarnation = [], 0
    for line in lines:
        if line.startswith("life "):  # written by Fleet.start
            incarnation = int(line.split()[1])
        elif f"event={APPLIED_EVENT} " in line:
            with contextlib.suppress(ValueError, KeyError):
                pairs = dict(part.split("=", 1) for part in shlex.split(line) if "=" in part)
                number, contents_digest = int(pairs["number"]), pairs["digest"]
                expected_held = expected_digests.get(contents_digest, (pairs["settings"], pairs["servers"]))
                complete = expected_held == (pairs["settings"], pairs["servers"])
                applied.append(
                    AppliedVersion(
                        log_timestamp(pairs["ts"]), process, incarnation, number, contents_digest, complete
                    )
                )
    return applied


def parse_hollow_records(
    lines: Iterable[str],
) -> tuple[list[AppliedVersion], list[tuple[float, dict[str, int]]]]:
    """Return the versions applied by the followers of a hollow process, and its counts with their times."""
    applied, counts = [], []
    for line in lines:
        words = line.split()
        if words[:1] == ["acted"] and len(words) == 7:
            at, name, incarnation, number, digest, complete = words[1:]
            applied.append(
                AppliedVersion(float(at), name, int(incarnation), int(number), digest, complete == "1")
            )
        elif words[:1] == ["counts"]:
            pairs = {k: int(v) for k, v in (word.split("=") for word in words[3:])}
            counts.append((float(words[1]), {"followers": int(words[2]), **pairs}))
    return applied, counts


def answered_number(answer: str) -> int:
    """Return the version number in an answer to `configure`; 0 if rejected, -1 if unknown."""
    if answer.startswith("SUCCESS"):
        found = re.search(r"(?:version|number) (\d+)", answer)
        return int(found.group(1)) if found else -1
    rejected = "won with" in answer or "another change is under way" in answer
    return 0 if rejected and "not known" not in answer else -1


def answered_holder_count(answer: str) -> int | None:
    """Return how many voters store the contents by an answer to `configure`; None if it does not say."""
    found = re.search(r"held by ([\w, -]+)", answer)
    return len({name.strip() for name in found.group(1).split(",")}) if found else None


@dataclass
class ProcessSpec:
    """How one process of the fleet is started and reached."""

    name: str
    role: str  # voter, relay, real, hollow, alone, empty
    place: str
    admin_address: tuple[str, int]
    args: list[str]
    followers: list[str] = field(default_factory=list)
    incarnation: int = 0


class Fleet:
    """All processes of a run, with their files in one folder."""

    def __init__(self, folder: Path, followers: int, seed: int, size: int = 0) -> None:
        self.folder, self.size, self.random = folder, size, random.Random(seed)
        self.processes, self.proxy = Processes(folder), Proxy()
        self.process_specs: dict[str, ProcessSpec] = {}
        self.incarnations: dict[tuple[str, int], Incarnation] = {}
        self.hollow_incarnations: dict[str, int] = {}
        self.zone_of: dict[str, str] = {}
        self.outages: list[Outage] = []
        self.majority_losses: list[MajorityLoss] = []
        self.faults: list[tuple[float, float]] = []
        self.changes: list[ConfigChange] = []
        self.last_mark, self.lock = 0, threading.Lock()
        self.expected_digests: dict[str, tuple[str, str]] = {}
        self.member_ports = {name: reserved_port() for name in VOTERS}
        self.relay_ports = {name: reserved_port() for name in (*VOTERS, *RELAYS)}
        places = VOTERS | RELAYS
        self.proxy_ports: dict[tuple[str, str, str], int] = {}
        for kind, ports in (("mesh", self.member_ports), ("feed", self.relay_ports)):
            for name, port in ports.items():
                for other in {"east", "west"} - {region(places[name])}:
                    self.proxy_ports[kind, other, name] = self.proxy.link(
                        f"{other}~{kind}", f"{name}.{kind}", port
                    )
        for name, place in VOTERS.items():
            self._write_dispatcher_config(
                name, "voter", place, self._members(place) + self._relays(place, VOTERS | {})
            )
        for name, place in RELAYS.items():
            more = self._members(place) + self._relays(place, VOTERS | {name: place})
            self._write_dispatcher_config(name, "relay", place, more, "follow = true\n")
        for n, place in enumerate(REAL_FOLLOWER_PLACES):
            self._write_dispatcher_config(
                f"real{n + 1}", "real", place, self._relays(place, RELAYS), "follow = true\n"
            )
        self._write_dispatcher_config(STANDALONE, "alone", ZONES[0], "")
        hollow = [f"h{n:03}" for n in range(followers - len(REAL_FOLLOWER_PLACES))]
        for n, place in enumerate(ZONES):
            self._write_hollow_config(
                f"hollow-{place.split('/')[1]}", "hollow", place, hollow[n :: len(ZONES)]
            )
        self._write_hollow_config(EMPTY_HOLLOW, "empty", ZONES[0], [])

    def _port(self, kind: str, from_place: str, name: str) -> int:
        """Return the port to reach a process from a place: its own, or the proxy's across regions."""
        direct_port = (self.member_ports if kind == "mesh" else self.relay_ports)[name]
        return self.proxy_ports.get((kind, region(from_place), name), direct_port)

    def _members(self, place: str) -> str:
        lines = "".join(f'{name} = "127.0.0.1:{self._port("mesh", place, name)}"\n' for name in VOTERS)
        return f"[fleet.members]\n{lines}"

    def _relays(self, from_place: str, relays: dict[str, str]) -> str:
        lines = "".join(
            f'{name} = {{ address = "127.0.0.1:{self._port("feed", from_place, name)}", '
            f'place = "{place}" }}\n'
            for name, place in relays.items()
        )
        return f"[fleet.relays]\n{lines}"

    def _write_dispatcher_config(self, name: str, role: str, place: str, tables: str, more: str = "") -> None:
        admin_address, path = ("127.0.0.1", reserved_port()), self.folder / f"{name}.toml"
        place_line = f'place = "{place}"\n' if role in ("relay", "real") else ""
        head = f'[fleet]\nname = "scale"\nfolder = "{name}-disk"\n{place_line}{more}' if tables else ""
        path.write_text(
            f'name = "{name}"\nlisten = "127.0.0.1:{reserved_port()}"\n'
            f'control = "127.0.0.1:{admin_address[1]}"\n'
            f'[servers]\nsource = "list"\nlist = []\n{head}{tables}{OPERATOR_SETTINGS}'
        )
        self.process_specs[name] = ProcessSpec(
            name, role, place, admin_address, ["grebestack", "--config", str(path)]
        )
        self.zone_of[name] = place

    def _write_hollow_config(self, name: str, role: str, place: str, followers: list[str]) -> None:
        base, path = self.folder / f"{name}.toml", self.folder / f"{name}.json"
        base.write_text(
            f'name = "{name}"\nlisten = "127.0.0.1:1"\n[servers]\nsource = "list"\nlist = []\n'
            f"{OPERATOR_SETTINGS}"
        )
        relays = {
            relay: {"host": "127.0.0.1", "port": self._port("feed", place, relay), "place": relay_place}
            for relay, relay_place in RELAYS.items()
        }
        path.write_text(
            json.dumps(
                {
                    "base": str(base),
                    "fleet": "scale",
                    "followers": {},
                    "relays": relays,
                    "acts": str(self.folder / f"{name}.acts"),
                }
            )
        )
        args = ["scaling.hollow", str(path)]
        self.process_specs[name] = ProcessSpec(name, role, place, ("", 0), args, list(followers))
        self.zone_of |= dict.fromkeys(followers, place)

    # Starting and ending processes.

    def start(self, name: str) -> None:
        """Start one process."""
        spec = self.process_specs[name]
        spec.incarnation += 1
        with (self.folder / f"{name}.log").open("a") as log:
            log.write(f"life {spec.incarnation}\n")
        if spec.role in ("hollow", "empty"):
            path = Path(spec.args[-1])
            raw = json.loads(path.read_text())
            raw["followers"] = {
                follower: [spec.place, self._begin_incarnation(follower)] for follower in spec.followers
            }
            path.write_text(json.dumps(raw))
        self.processes.start(name, spec.args, spec.role in ("hollow", "empty"))
        if spec.role in ("voter", "relay", "real"):
            self.incarnations[name, spec.incarnation] = Incarnation(name, spec.incarnation, time.time())

    def _begin_incarnation(self, follower: str) -> int:
        incarnation = self.hollow_incarnations[follower] = self.hollow_incarnations.get(follower, 0) + 1
        self.incarnations[follower, incarnation] = Incarnation(
            follower, incarnation, time.time(), persistent=False
        )
        return incarnation

    def _end_incarnation(self, name: str, incarnation: int) -> None:
        if (name, incarnation) in self.incarnations:
            self.incarnations[name, incarnation] = self.incarnations[name, incarnation]._replace(
                end=time.time()
            )

    def kill(self, name: str) -> None:
        """Kill one process."""
        spec = self.process_specs[name]
        for follower in spec.followers:
            self._end_incarnation(follower, self.hollow_incarnations[follower])
        self._end_incarnation(name, spec.incarnation)
        self.processes.signal(name, signal.SIGKILL)

    def restart(self, name: str) -> None:
        """Restart a real process or a single hollow follower."""
        if name in self.process_specs:
            self.kill(name)
            self.start(name)
            return
        (process_name,) = (spec.name for spec in self.process_specs.values() if name in spec.followers)
        stdin = self.processes.running[process_name].stdin
        assert stdin is not None
        self._end_incarnation(name, self.hollow_incarnations[name])
        stdin.write(f"stop {name} 0\nstart {name} {self._begin_incarnation(name)}\n".encode())
        stdin.flush()

    def run(self) -> None:
        """Start the fleet in order; raise RuntimeError if it does not come up."""
        forming = [
            self.processes.start(f"form-{name}", ["grebestack", "form", *self.process_specs[name].args[1:]])
            for name in VOTERS
        ]
        if any([process.wait(READY_S) for process in forming]):
            raise RuntimeError(f"form: {[process.returncode for process in forming]}")
        for name in VOTERS:
            del self.processes.running[f"form-{name}"]
        for name in (*VOTERS, *RELAYS):
            self.start(name)
        self._wait_for(
            "a majority", lambda: all("majority is heard" in self.admin_answer(name) for name in VOTERS)
        )
        self._wait_for("a first change", lambda: self.change("v1").number > 0)
        for name, spec in self.process_specs.items():
            if spec.role not in ("voter", "relay"):
                self.start(name)
        self._wait_for("newest version applied everywhere", lambda: not self.lagging())

    def _wait_for(self, what: str, condition: object) -> None:
        assert callable(condition)
        deadline = time.monotonic() + READY_S
        while not condition():
            if time.monotonic() > deadline:
                raise RuntimeError(f"{what}: not within {READY_S:g} s; ended: {self.processes.ended()}")
            if ended := self.processes.ended():
                raise RuntimeError(f"{what}: processes ended by themselves: {ended}")
            time.sleep(0.1)

    def admin_answer(self, name: str, command: str = "fleet") -> str:
        """Return a process's answer to an admin command."""
        try:
            return send_admin_command(self.process_specs[name].admin_address, command).strip()
        except OSError as error:
            return f"FAILURE {error}"

    def ready(self, name: str) -> bool:
        """Whether a process reports that it is ready."""
        return reports_ready(self.process_specs[name].admin_address)

    def close(self) -> None:
        """End all processes and the proxy."""
        self.processes.close()
        self.proxy.close()

    # Changes.

    def change(self, voter: str) -> ConfigChange:
        """Request one change at a voter's admin server."""
        with self.lock:
            self.last_mark += 1
            mark = self.last_mark
        data, path = contents(mark, self.size), self.folder / f"change-{mark}.toml"
        path.write_bytes(data)
        contents_digest = hashlib.sha256(data).hexdigest()
        self.expected_digests[contents_digest] = held_digests(data)
        at = time.time()
        answer = self.admin_answer(voter, f"configure {path}")
        change = ConfigChange(
            at, contents_digest, time.time(), answered_number(answer), voter, answered_holder_count(answer)
        )
        with self.lock:
            self.changes.append(change)
            with (self.folder / "asked.log").open("a") as log:
                log.write(
                    f"{change.at:.3f} {change.answered_at - change.at:.3f} {voter} mark {mark}: {answer}\n"
                )
        return change

    # The history.

    def applied(self) -> list[AppliedVersion]:
        """Return all applied versions recorded so far."""
        applied: list[AppliedVersion] = []
        for name, spec in self.process_specs.items():
            path = self.folder / (f"{name}.acts" if spec.role == "hollow" else f"{name}.log")
            if spec.role in ("hollow", "voter", "relay", "real") and path.exists():
                text = path.read_text(errors="replace")
                lines = text[: text.rfind("\n") + 1].splitlines()
                hollow = spec.role == "hollow"
                applied += (
                    parse_hollow_records(lines)[0]
                    if hollow
                    else applied_versions_in_log(name, lines, self.expected_digests)
                )
        return applied

    def counts(self) -> list[tuple[float, dict[str, int]]]:
        """Return the summed counts of the hollow followers, per second and process."""
        found = []
        for name, spec in self.process_specs.items():
            path = self.folder / f"{name}.acts"
            if spec.role == "hollow" and path.exists():
                found += parse_hollow_records(path.read_text(errors="replace").splitlines())[1]
        return found

    def history(self) -> History:
        """Return the history for the checker."""
        history = History(list(self.incarnations.values()), time.time(), self.applied())
        history.changes, history.outages = list(self.changes), list(self.outages)
        history.majority_losses, history.faults = list(self.majority_losses), list(self.faults)
        return history

    def region_of(self, end: str) -> str:
        """Return the region of one end of a proxy link, by its link name."""
        return end.split("~")[0] if "~" in end else region((VOTERS | RELAYS)[end.split(".")[0]])

    def lagging(self, newest: int = 0) -> list[str]:
        """Return the running processes without version `newest`, by default the newest decided one."""
        newest = newest or max((change.number for change in self.changes), default=0)
        newest_applied: dict[tuple[str, int], int] = {}
        for version in self.applied():
            key = (version.process, version.incarnation)
            newest_applied[key] = max(newest_applied.get(key, 0), version.number)
        now = time.time()
        return [
            incarnation.process
            for key, incarnation in self.incarnations.items()
            if incarnation.end > now and newest_applied.get(key, 0) < newest
        ]
