"""A fleet on eight machines of two regions and seven zones, as processes, with gates between regions.

Five machines have a voter, all have a relay; followers are real in some zones and hollow in all of them.
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
from scaling.checker import Acted, Asked, Away, History, Life, Split
from scaling.processes import Processes
from tests.cluster import Proxy
from tests.ports import reserved_port
from tests.standins import OPERATOR_SETTINGS, reports_ready, send_admin_command

ZONES = ("east/a1", "east/a2", "east/a3", "east/a4", "west/b1", "west/b2", "west/b3")
VOTERS = {"v1": "east/a1", "v2": "east/a2", "v3": "east/a3", "v4": "west/b1", "v5": "west/b2"}
RELAYS = {f"r{n + 1}": (*ZONES, ZONES[4])[n] for n in range(8)}  # one on each of the eight machines
REAL_IN = (ZONES[0], ZONES[3], ZONES[4], ZONES[6])
ALONE, EMPTY = "alone", "hollow-empty"  # a dispatcher that follows nothing; a hollow process of no followers
IN_FORCE = "configuration_laid"
READY_S = 60.0
CHANGE_EVERY_S = 86_400.0 / (20 * 1400)  # twenty times the day's mean


def region(place: str) -> str:
    """The region of a place."""
    return place.split("/")[0]


def contents(mark: int, size: int = 0) -> bytes:
    """The contents of one change, whole where the first and last lines are the same; `size` bytes or more."""
    text = OPERATOR_SETTINGS.replace("hardLimitMs = 6000.0", f"hardLimitMs = {6000 + mark % 1000}.0", 1)
    server = f'{{ uid = "w{mark}", endpoint = "127.0.0.1:9", state = "Terminating", capacity_hint = 1.0 }}'
    body = f'{text}[servers]\nsource = "list"\nlist = [{server}]\n'
    pad = "".join(f"# {'.' * 97}\n" for _ in range(-(-max(0, size - len(body)) // 100)))
    return f"# mark {mark}\n{body}{pad}# mark {mark}\n".encode()


def stamp(text: str) -> float:
    """Seconds of the machine's clock from a log line's `ts`."""
    return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()


def held(data: bytes) -> tuple[str, str]:
    """The digests of settings and of servers that a dispatcher says it holds under these contents."""
    raw = tomllib.loads(data.decode())
    return digest(raw["settings"]), digest(raw["servers"]["list"])


def acts_of_log(process: str, lines: Iterable[str], expected: Mapping[str, tuple[str, str]]) -> list[Acted]:
    """Under which versions a real process has acted, by its log.

    `expected`: by the contents' digest what it ought to say that it holds then; another is half a version.
    """
    acts, life = [], 0
    for line in lines:
        if line.startswith("life "):  # written by the rig at each start
            life = int(line.split()[1])
        elif f"event={IN_FORCE} " in line:
            with contextlib.suppress(ValueError, KeyError):
                pairs = dict(part.split("=", 1) for part in shlex.split(line) if "=" in part)
                number, of = int(pairs["number"]), pairs["digest"]
                whole = expected.get(of, (pairs["settings"], pairs["servers"]))
                same = whole == (pairs["settings"], pairs["servers"])
                acts.append(Acted(stamp(pairs["ts"]), process, life, number, of, same))
    return acts


def acts_of_hollow(lines: Iterable[str]) -> tuple[list[Acted], list[tuple[float, dict[str, int]]]]:
    """Of a hollow process: who acted under what, and its counts with their times."""
    acts, counts = [], []
    for line in lines:
        words = line.split()
        if words[:1] == ["acted"] and len(words) == 7:
            at, name, life, number, digest, whole = words[1:]
            acts.append(Acted(float(at), name, int(life), int(number), digest, whole == "1"))
        elif words[:1] == ["counts"]:
            pairs = {k: int(v) for k, v in (word.split("=") for word in words[3:])}
            counts.append((float(words[1]), {"followers": int(words[2]), **pairs}))
    return acts, counts


def number_of(answer: str) -> int:
    """The number that an answer to `configure` tells; 0: it was turned down, -1: it is not known."""
    if answer.startswith("SUCCESS"):
        found = re.search(r"(?:version|number) (\d+)", answer)
        return int(found.group(1)) if found else -1
    lost = "won with" in answer or "another change is under way" in answer
    return 0 if lost and "not known" not in answer else -1


def holders_of(answer: str) -> int | None:
    """How many voters an answer to `configure` says to hold the contents; None: it says nothing of it."""
    found = re.search(r"held by ([\w, -]+)", answer)
    return len({name.strip() for name in found.group(1).split(",")}) if found else None


@dataclass
class Place:
    """One process of the fleet."""

    name: str
    role: str  # voter, relay, real, hollow, alone, empty
    place: str
    door: tuple[str, int]
    words: list[str]
    followers: list[str] = field(default_factory=list)
    life: int = 0


class Fleet:
    """All of it, from one folder."""

    def __init__(self, folder: Path, followers: int, seed: int, size: int = 0) -> None:
        self.folder, self.size, self.random = folder, size, random.Random(seed)
        self.processes, self.proxy = Processes(folder), Proxy()
        self.places: dict[str, Place] = {}
        self.lives: dict[tuple[str, int], Life] = {}
        self.hollow_lives: dict[str, int] = {}
        self.zone_of: dict[str, str] = {}
        self.away: list[Away] = []
        self.splits: list[Split] = []
        self.faults: list[tuple[float, float]] = []
        self.asked: list[Asked] = []
        self.mark, self.guard = 0, threading.Lock()
        self.expected: dict[str, tuple[str, str]] = {}
        self.mesh = {name: reserved_port() for name in VOTERS}
        self.feed = {name: reserved_port() for name in (*VOTERS, *RELAYS)}
        places = VOTERS | RELAYS
        self.gates: dict[tuple[str, str, str], int] = {}
        for kind, ports in (("mesh", self.mesh), ("feed", self.feed)):
            for name, port in ports.items():
                for other in {"east", "west"} - {region(places[name])}:
                    self.gates[kind, other, name] = self.proxy.link(f"{other}~{kind}", f"{name}.{kind}", port)
        for name, place in VOTERS.items():
            self._file(name, "voter", place, self._members(place) + self._relays(place, VOTERS | {}))
        for name, place in RELAYS.items():
            more = self._members(place) + self._relays(place, VOTERS | {name: place})
            self._file(name, "relay", place, more, "follow = true\n")
        for n, place in enumerate(REAL_IN):
            self._file(f"real{n + 1}", "real", place, self._relays(place, RELAYS), "follow = true\n")
        self._file(ALONE, "alone", ZONES[0], "")
        hollow = [f"h{n:03}" for n in range(followers - len(REAL_IN))]
        for n, place in enumerate(ZONES):
            self._hollow(f"hollow-{place.split('/')[1]}", "hollow", place, hollow[n :: len(ZONES)])
        self._hollow(EMPTY, "empty", ZONES[0], [])

    def _port(self, kind: str, near: str, name: str) -> int:
        """Where a process is called from a region."""
        own = (self.mesh if kind == "mesh" else self.feed)[name]
        return self.gates.get((kind, region(near), name), own)

    def _members(self, place: str) -> str:
        lines = "".join(f'{name} = "127.0.0.1:{self._port("mesh", place, name)}"\n' for name in VOTERS)
        return f"[fleet.members]\n{lines}"

    def _relays(self, near: str, relays: dict[str, str]) -> str:
        lines = "".join(
            f'{name} = {{ address = "127.0.0.1:{self._port("feed", near, name)}", place = "{place}" }}\n'
            for name, place in relays.items()
        )
        return f"[fleet.relays]\n{lines}"

    def _file(self, name: str, role: str, place: str, tables: str, more: str = "") -> None:
        door, path = ("127.0.0.1", reserved_port()), self.folder / f"{name}.toml"
        said = f'place = "{place}"\n' if role in ("relay", "real") else ""
        head = f'[fleet]\nname = "scale"\nfolder = "{name}-disk"\n{said}{more}' if tables else ""
        path.write_text(
            f'name = "{name}"\nlisten = "127.0.0.1:{reserved_port()}"\ncontrol = "127.0.0.1:{door[1]}"\n'
            f'[servers]\nsource = "list"\nlist = []\n{head}{tables}{OPERATOR_SETTINGS}'
        )
        self.places[name] = Place(name, role, place, door, ["grebestack", "--config", str(path)])
        self.zone_of[name] = place

    def _hollow(self, name: str, role: str, place: str, followers: list[str]) -> None:
        base, path = self.folder / f"{name}.toml", self.folder / f"{name}.json"
        base.write_text(
            f'name = "{name}"\nlisten = "127.0.0.1:1"\n[servers]\nsource = "list"\nlist = []\n'
            f"{OPERATOR_SETTINGS}"
        )
        relays = {
            relay: {"host": "127.0.0.1", "port": self._port("feed", place, relay), "place": where}
            for relay, where in RELAYS.items()
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
        words = ["scaling.hollow", str(path)]
        self.places[name] = Place(name, role, place, ("", 0), words, list(followers))
        self.zone_of |= dict.fromkeys(followers, place)

    # Starts and ends.

    def start(self, name: str) -> None:
        """Start one process."""
        place = self.places[name]
        place.life += 1
        with (self.folder / f"{name}.log").open("a") as log:
            log.write(f"life {place.life}\n")
        if place.role in ("hollow", "empty"):
            path = Path(place.words[-1])
            raw = json.loads(path.read_text())
            raw["followers"] = {follower: [place.place, self._born(follower)] for follower in place.followers}
            path.write_text(json.dumps(raw))
        self.processes.start(name, place.words, place.role in ("hollow", "empty"))
        if place.role in ("voter", "relay", "real"):
            self.lives[name, place.life] = Life(name, place.life, time.time())

    def _born(self, follower: str) -> int:
        life = self.hollow_lives[follower] = self.hollow_lives.get(follower, 0) + 1
        self.lives[follower, life] = Life(follower, life, time.time(), disk=False)
        return life

    def _ended(self, name: str, life: int) -> None:
        if (name, life) in self.lives:
            self.lives[name, life] = self.lives[name, life]._replace(end=time.time())

    def kill(self, name: str) -> None:
        """Kill one process."""
        place = self.places[name]
        for follower in place.followers:
            self._ended(follower, self.hollow_lives[follower])
        self._ended(name, place.life)
        self.processes.signal(name, signal.SIGKILL)

    def restart(self, name: str) -> None:
        """A real process or one hollow follower ends and begins anew."""
        if name in self.places:
            self.kill(name)
            self.start(name)
            return
        (holder,) = (place.name for place in self.places.values() if name in place.followers)
        stdin = self.processes.running[holder].stdin
        assert stdin is not None
        self._ended(name, self.hollow_lives[name])
        stdin.write(f"stop {name} 0\nstart {name} {self._born(name)}\n".encode())
        stdin.flush()

    def run(self) -> None:
        """Start it all, in order. RuntimeError: it did not come up."""
        forming = [
            self.processes.start(f"form-{name}", ["grebestack", "form", *self.places[name].words[1:]])
            for name in VOTERS
        ]
        if any([process.wait(READY_S) for process in forming]):
            raise RuntimeError(f"form: {[process.returncode for process in forming]}")
        for name in VOTERS:
            del self.processes.running[f"form-{name}"]
        for name in (*VOTERS, *RELAYS):
            self.start(name)
        self._until("a majority", lambda: all("majority is heard" in self.shown(name) for name in VOTERS))
        self._until("a first change", lambda: self.change("v1").number > 0)
        for name, place in self.places.items():
            if place.role not in ("voter", "relay"):
                self.start(name)
        self._until("all in force", lambda: not self.behind())

    def _until(self, what: str, true: object) -> None:
        assert callable(true)
        until = time.monotonic() + READY_S
        while not true():
            if time.monotonic() > until:
                raise RuntimeError(f"{what}: not within {READY_S:g} s; ended: {self.processes.ended()}")
            if ended := self.processes.ended():
                raise RuntimeError(f"{what}: ended by themselves: {ended}")
            time.sleep(0.1)

    def shown(self, name: str, call: str = "fleet") -> str:
        """What a process's door says."""
        try:
            return send_admin_command(self.places[name].door, call).strip()
        except OSError as error:
            return f"FAILURE {error}"

    def ready(self, name: str) -> bool:
        """Whether its door says that it is ready."""
        return reports_ready(self.places[name].door)

    def close(self) -> None:
        """End all that was started."""
        self.processes.close()
        self.proxy.close()

    # Changes.

    def change(self, voter: str) -> Asked:
        """Ask for one change at a voter's door."""
        with self.guard:
            self.mark += 1
            mark = self.mark
        data, path = contents(mark, self.size), self.folder / f"change-{mark}.toml"
        path.write_bytes(data)
        of = hashlib.sha256(data).hexdigest()
        self.expected[of] = held(data)
        at = time.time()
        answer = self.shown(voter, f"configure {path}")
        ask = Asked(at, of, time.time(), number_of(answer), voter, holders_of(answer))
        with self.guard:
            self.asked.append(ask)
            with (self.folder / "asked.log").open("a") as log:
                log.write(f"{ask.at:.3f} {ask.answered - ask.at:.3f} {voter} mark {mark}: {answer}\n")
        return ask

    # The history.

    def acted(self) -> list[Acted]:
        """All that has been noted so far."""
        acts: list[Acted] = []
        for name, place in self.places.items():
            path = self.folder / (f"{name}.acts" if place.role == "hollow" else f"{name}.log")
            if place.role in ("hollow", "voter", "relay", "real") and path.exists():
                text = path.read_text(errors="replace")
                lines = text[: text.rfind("\n") + 1].splitlines()
                hollow = place.role == "hollow"
                acts += acts_of_hollow(lines)[0] if hollow else acts_of_log(name, lines, self.expected)
        return acts

    def counts(self) -> list[tuple[float, dict[str, int]]]:
        """The sums of all hollow followers' counts, second by second, of each process."""
        found = []
        for name, place in self.places.items():
            path = self.folder / f"{name}.acts"
            if place.role == "hollow" and path.exists():
                found += acts_of_hollow(path.read_text(errors="replace").splitlines())[1]
        return found

    def history(self) -> History:
        """What is judged."""
        history = History(list(self.lives.values()), time.time(), self.acted())
        history.asked, history.away = list(self.asked), list(self.away)
        history.splits, history.faults = list(self.splits), list(self.faults)
        return history

    def region_of(self, end: str) -> str:
        """The region of one end of a gate, by its name there."""
        return end.split("~")[0] if "~" in end else region((VOTERS | RELAYS)[end.split(".")[0]])

    def behind(self, newest: int = 0) -> list[str]:
        """Who does not act under the newest decided version, or under `newest`; all living ones ought to."""
        newest = newest or max((ask.number for ask in self.asked), default=0)
        best: dict[tuple[str, int], int] = {}
        for act in self.acted():
            key = (act.process, act.life)
            best[key] = max(best.get(key, 0), act.number)
        now = time.time()
        return [
            life.process for key, life in self.lives.items() if life.end > now and best.get(key, 0) < newest
        ]
