"""Voters, relays and followers as real processes, a proxy on every link, and a judge of what was in force.

Nothing here is part of the program. What is judged is the history: which version each process logged in
force, with digests of what it really acts under, on the machine's one clock; and what was asked for where.
"""

from __future__ import annotations

import re
import shutil
import signal
import threading
import time
import tomllib
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from grebestack.audit.version_sets import digest
from grebestack.cluster_io.runtime import monotonic_ms
from grebestack.config_distribution.versions import digest_of
from tests.cluster import Cluster, Process, Way
from tests.ports import reserved_port
from tests.standins import APPLIANCE_SETTINGS, say

BOUND_MS = 9000.0
LATE_MS = 400.0  # a machine that was so late proves nothing about times


class Line(NamedTuple):
    """One process put one version in force."""

    at: float  # ms of the machine's clock, as all here
    process: str
    life: int  # which of its starts
    number: int
    digest: str
    settings: str  # digests of what it acts under
    servers: str


class Asked(NamedTuple):
    """Contents that were asked for at a door."""

    at: float
    settings: str
    servers: str


class Due(NamedTuple):
    """From an instant on these processes could be reached and the version was decided."""

    at: float
    number: int
    processes: tuple[str, ...]


@dataclass
class InForce:
    """What is judged."""

    lines: list[Line] = field(default_factory=list)
    asked: dict[str, Asked] = field(default_factory=dict)  # by digest of the contents
    dues: list[Due] = field(default_factory=list)
    powerless: list[tuple[float, float]] = field(default_factory=list)  # no majority could decide
    alone: set[tuple[str, int]] = field(default_factory=set)  # with an old disk, and no relay in reach
    faults: list[str] = field(default_factory=list)

    def wrong(self) -> list[str]:
        """Every rule that the history breaks."""
        return [*self.faults, *self._back(), *self._half(), *self._undecided(), *self._late()]

    def _back(self) -> Iterable[str]:
        """No process ever goes back in number, within a life or from one to the next."""
        highest: dict[str, Line] = {}
        for line in sorted(self.lines):
            before = highest.get(line.process)
            if (
                before is not None
                and line.number < before.number
                and (line.life == before.life or (line.process, line.life) not in self.alone)
            ):
                yield f"back: {line} after {before}"
            if before is None or line.number >= before.number or line.life > before.life:
                highest[line.process] = line

    def _half(self) -> Iterable[str]:
        """What is in force is all that was asked for under that digest, and nothing else."""
        for line in self.lines:
            asked = self.asked.get(line.digest)
            if asked is None:
                yield f"never asked for: {line}"
            elif (line.settings, line.servers) != (asked.settings, asked.servers):
                yield f"half in force: {line}, asked for {asked}"
            elif line.at < asked.at:
                yield f"in force before it was asked for: {line}"

    def _undecided(self) -> Iterable[str]:
        """One digest for each number; no number is new while no majority can decide."""
        first: dict[int, Line] = {}
        for line in sorted(self.lines):
            met = first.setdefault(line.number, line)
            if met.digest != line.digest:
                yield f"two of one number: {met} and {line}"
            if met is line and any(begin <= line.at <= end for begin, end in self.powerless):
                yield f"without a majority: {line}"

    def _late(self) -> Iterable[str]:
        """All that can be reached have it within the bound."""
        for due in self.dues:
            for process in due.processes:
                mine = [line for line in self.lines if line.process == process and line.number >= due.number]
                at = min((line.at for line in mine), default=float("inf"))
                if at > due.at + BOUND_MS:
                    yield f"late: {process} has version {due.number} {at - due.at:.0f} ms after it was due"


class Lateness:
    """How late the machine runs: a thread that sleeps and looks."""

    def __init__(self) -> None:
        self.worst_ms, self.over = 0.0, False
        self.thread = threading.Thread(target=self._look, daemon=True)
        self.thread.start()

    def _look(self) -> None:
        while not self.over:
            began = time.monotonic()
            time.sleep(0.02)
            self.worst_ms = max(self.worst_ms, (time.monotonic() - began) * 1000.0 - 20.0)


def contents(limit: int, servers: Iterable[str] = ("a",), zones: str = '["here"]') -> bytes:
    """A version: settings with one limit of its own, and a list of servers."""
    settings = APPLIANCE_SETTINGS.replace("mostTries = 5", f"mostTries = {limit}")
    settings = settings.replace('zones = ["here"]', f"zones = {zones}")
    entries = "".join(
        f'  {{ uid = "{name}", endpoint = "127.0.0.1:9", state = "Ready", az = "here", model = "c8" }},\n'
        for name in servers
    )
    return f'[servers]\nsource = "list"\nlist = [\n{entries}]\n{settings}'.encode()


class FollowerCluster(Cluster):
    """So many voters that serve followers, further relays, and followers; zones in two regions."""

    def __init__(self, folder: Path, voters: int = 3, relays: int = 0, followers: int = 3) -> None:
        super().__init__(folder, voters, every_s=5.0)
        self.voters = list(self.names)
        self.relays = [*self.voters, *(f"r{n}" for n in range(relays))]
        self.followers = [f"f{n}" for n in range(followers)]
        self.feeds = {name: reserved_port() for name in self.relays}
        self.asked: dict[str, Asked] = {}
        self.judged = InForce()
        self.starts: dict[str, list[float]] = {}
        self.number = 0
        for name in [*self.relays[voters:], *self.followers]:
            door, front = ("127.0.0.1", reserved_port()), reserved_port()
            self.members[name] = Process(name, folder / name, door, front, 1.0)
            (folder / name).mkdir()
            known = "".join(f'{voter} = "127.0.0.1:{n + 1}"\n' for n, voter in enumerate(self.voters))
            (folder / f"{name}.toml").write_text(
                f'name = "{name}"\nlisten = "127.0.0.1:{front}"\ncontrol = "127.0.0.1:{door[1]}"\n'
                f'platform = true\n[servers]\nsource = "list"\nlist = []\n[fleet]\nname = "rig"\n'
                f'folder = "{name}/disk"\nfollow = true\nplace = "{self.place(name)}"\n'
                + (f"[fleet.members]\n{known}" if name in self.relays else "")
                + APPLIANCE_SETTINGS
            )
        for name in self.members:
            tables = "".join(
                f'[fleet.relays.{relay}]\naddress = "127.0.0.1:{self._seen(name, relay)}"\n'
                f'place = "{self.place(relay)}"\n'
                for relay in self.relays
            )
            with (folder / f"{name}.toml").open("a") as file:
                file.write(tables)

    def place(self, name: str) -> str:
        """Region and zone; the first zone of the second region has the last voter."""
        number = int(name[1:])
        return f"r{number % 2}/z{number}"

    def _seen(self, name: str, relay: str) -> int:
        """The port where a process calls a relay; its own is where it listens."""
        if name == relay or (name in self.voters and relay in self.relays):
            return self.feeds[relay]
        return self.proxy.link(name, relay, self.feeds[relay])

    def start(self, name: str, plain: bool = False) -> None:
        self.starts.setdefault(name, []).append(monotonic_ms())
        super().start(name, plain)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)

    def ways(self, begin: Iterable[str], end: Iterable[str]) -> list[Way]:
        """The directions from any of these to any of those."""
        pairs = {(a, b) for a in begin for b in end}
        return [way for pair, way in self.proxy.ways.items() if pair in pairs]

    @contextmanager
    def cut(self, begin: Iterable[str], end: Iterable[str]) -> Iterator[None]:
        """What these say to those is lost."""
        ways = self.ways(list(begin), list(end))
        assert ways
        for way in ways:
            way.cut = True
        try:
            yield
        finally:
            for way in ways:
                way.cut = False

    def ask(self, door: str, data: bytes) -> str:
        """Have contents be in force, at a voter's door; what it answers."""
        self.number += 1
        path = self.folder / f"asked-{self.number}.toml"
        path.write_bytes(data)
        self.note(data)
        try:
            return say(self.members[door].door, f"configure {path}")
        except OSError as error:
            return f"FAILURE {error}"

    def note(self, data: bytes) -> None:
        """Contents are asked for, from now on."""
        raw = tomllib.loads(data.decode())
        asked = Asked(monotonic_ms(), digest(raw["settings"]), digest(raw["servers"]["list"]))
        self.asked.setdefault(digest_of(data), asked)

    def decide(self, door: str, data: bytes) -> int:
        """Have contents be in force; the number."""
        answer = self.ask(door, data)
        found = re.match(r"SUCCESS version (\d+) is in force", answer)
        assert found, answer
        return int(found[1])

    def due(self, number: int, processes: Iterable[str]) -> None:
        """From now on it is due at these."""
        self.judged.dues.append(Due(monotonic_ms(), number, tuple(processes)))

    def in_force(self, name: str) -> int:
        """The number that a process has logged last."""
        return max((line.number for line in self.laid(name)), default=0)

    def laid(self, name: str) -> Iterator[Line]:
        """The versions that a process put in force."""
        for line in self.lines(name):
            if line.get("event") == "configuration_laid":
                at = float(line["at_ms"])
                life = sum(1 for start in self.starts[name] if start <= at)
                yield Line(
                    at, name, life, int(line["number"]), line["digest"], line["settings"], line["servers"]
                )

    def everywhere(self, number: int, names: Iterable[str] | None = None, seconds: float = 30.0) -> None:
        """Wait until a version is in force at these; whether in time is judged by the history."""
        names = list(self.members if names is None else names)
        until = time.monotonic() + seconds
        while any(self.in_force(name) < number for name in names):
            assert time.monotonic() < until, {name: self.in_force(name) for name in names}
            time.sleep(0.05)

    def told(self, name: str, event: str, **kv: str) -> bool:
        """Whether a process has logged this."""
        return any(
            line.get("event") == event and all(value in line.get(key, "") for key, value in kv.items())
            for line in self.lines(name)
        )

    def old_disk(self, name: str) -> Callable[[], None]:
        """Copy a process's disk; what puts the copy back, while it is down."""
        disk = self.members[name].folder / "disk"
        old = disk.with_name("old")
        shutil.copytree(disk, old)

        def back() -> None:
            shutil.rmtree(disk)
            old.rename(disk)

        return back

    def judge(self) -> list[str]:
        """What is wrong with all that was logged so far."""
        judged = self.judged
        judged.asked = self.asked
        judged.lines = [line for name in self.members for line in self.laid(name)]
        judged.faults = [
            f"{name}: {line}"
            for name in self.members
            for line in self.lines(name)
            if line.get("level") == "error" or "traceback" in line
        ]
        return judged.wrong()
