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
from tests.cluster import Cluster, LinkDirection, MemberProcess
from tests.ports import reserved_port
from tests.standins import OPERATOR_SETTINGS, send_admin_command

MAX_PROPAGATION_MS = 9000.0
MAX_SCHEDULING_DELAY_MS = 400.0  # a machine that was so late proves nothing about times


class AppliedVersion(NamedTuple):
    """One process put one version in force."""

    at: float  # ms of the machine's clock, as all here
    process: str
    start_count: int  # which of its starts
    number: int
    digest: str
    settings: str  # digests of what it acts under
    servers: str


class ProposedContents(NamedTuple):
    """Contents that were asked for at a door."""

    at: float
    settings: str
    servers: str


class PropagationDeadline(NamedTuple):
    """From an instant on these processes could be reached and the version was decided."""

    at: float
    number: int
    processes: tuple[str, ...]


@dataclass
class ConfigHistory:
    """What is judged."""

    applied: list[AppliedVersion] = field(default_factory=list)
    proposed: dict[str, ProposedContents] = field(default_factory=dict)  # by digest of the contents
    deadlines: list[PropagationDeadline] = field(default_factory=list)
    without_majority: list[tuple[float, float]] = field(default_factory=list)  # no majority could decide
    isolated: set[tuple[str, int]] = field(default_factory=set)  # with an old disk, and no relay in reach
    errors: list[str] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Every rule that the history breaks."""
        return [
            *self.errors,
            *self._regressions(),
            *self._mixed_contents(),
            *self._undecided(),
            *self._late(),
        ]

    def _regressions(self) -> Iterable[str]:
        """No process ever goes back in number, within a life or from one to the next."""
        highest: dict[str, AppliedVersion] = {}
        for line in sorted(self.applied):
            before = highest.get(line.process)
            if (
                before is not None
                and line.number < before.number
                and (
                    line.start_count == before.start_count
                    or (line.process, line.start_count) not in self.isolated
                )
            ):
                yield f"back: {line} after {before}"
            if before is None or line.number >= before.number or line.start_count > before.start_count:
                highest[line.process] = line

    def _mixed_contents(self) -> Iterable[str]:
        """What is in force is all that was asked for under that digest, and nothing else."""
        for line in self.applied:
            asked = self.proposed.get(line.digest)
            if asked is None:
                yield f"never asked for: {line}"
            elif (line.settings, line.servers) != (asked.settings, asked.servers):
                yield f"half in force: {line}, asked for {asked}"
            elif line.at < asked.at:
                yield f"in force before it was asked for: {line}"

    def _undecided(self) -> Iterable[str]:
        """One digest for each number; no number is new while no majority can decide."""
        first: dict[int, AppliedVersion] = {}
        for line in sorted(self.applied):
            met = first.setdefault(line.number, line)
            if met.digest != line.digest:
                yield f"two of one number: {met} and {line}"
            if met is line and any(begin <= line.at <= end for begin, end in self.without_majority):
                yield f"without a majority: {line}"

    def _late(self) -> Iterable[str]:
        """All that can be reached have it within the bound."""
        for due in self.deadlines:
            for process in due.processes:
                mine = [
                    line for line in self.applied if line.process == process and line.number >= due.number
                ]
                at = min((line.at for line in mine), default=float("inf"))
                if at > due.at + MAX_PROPAGATION_MS:
                    yield f"late: {process} has version {due.number} {at - due.at:.0f} ms after it was due"


class SchedulingDelayMonitor:
    """How late the machine runs: a thread that sleeps and looks."""

    def __init__(self) -> None:
        self.max_delay_ms, self.stopped = 0.0, False
        self.thread = threading.Thread(target=self._measure, daemon=True)
        self.thread.start()

    def _measure(self) -> None:
        while not self.stopped:
            began = time.monotonic()
            time.sleep(0.02)
            self.max_delay_ms = max(self.max_delay_ms, (time.monotonic() - began) * 1000.0 - 20.0)


def config_contents(limit: int, servers: Iterable[str] = ("a",), zones: str = '["here"]') -> bytes:
    """A version: settings with one limit of its own, and a list of servers."""
    settings = OPERATOR_SETTINGS.replace("mostTries = 5", f"mostTries = {limit}")
    settings = settings.replace('zones = ["here"]', f"zones = {zones}")
    entries = "".join(
        f'  {{ uid = "{name}", endpoint = "127.0.0.1:9", state = "Ready", az = "here", model = "c8" }},\n'
        for name in servers
    )
    return f'[servers]\nsource = "list"\nlist = [\n{entries}]\n{settings}'.encode()


class FollowerCluster(Cluster):
    """So many voters that serve followers, further relays, and followers; zones in two regions."""

    def __init__(self, folder: Path, voters: int = 3, relays: int = 0, followers: int = 3) -> None:
        super().__init__(folder, voters, export_interval_s=5.0)
        self.voters = list(self.names)
        self.relays = [*self.voters, *(f"r{n}" for n in range(relays))]
        self.followers = [f"f{n}" for n in range(followers)]
        self.relay_ports = {name: reserved_port() for name in self.relays}
        self.proposed: dict[str, ProposedContents] = {}
        self.config_history = ConfigHistory()
        self.starts: dict[str, list[float]] = {}
        self.proposal_count = 0
        for name in [*self.relays[voters:], *self.followers]:
            door, front = ("127.0.0.1", reserved_port()), reserved_port()
            self.members[name] = MemberProcess(name, folder / name, door, front, 1.0)
            (folder / name).mkdir()
            known = "".join(f'{voter} = "127.0.0.1:{n + 1}"\n' for n, voter in enumerate(self.voters))
            (folder / f"{name}.toml").write_text(
                f'name = "{name}"\nlisten = "127.0.0.1:{front}"\ncontrol = "127.0.0.1:{door[1]}"\n'
                f'platform = true\n[servers]\nsource = "list"\nlist = []\n[fleet]\nname = "rig"\n'
                f'folder = "{name}/disk"\nfollow = true\nplace = "{self.place(name)}"\n'
                + (f"[fleet.members]\n{known}" if name in self.relays else "")
                + OPERATOR_SETTINGS
            )
        for name in self.members:
            tables = "".join(
                f'[fleet.relays.{relay}]\naddress = "127.0.0.1:{self._relay_port(name, relay)}"\n'
                f'place = "{self.place(relay)}"\n'
                for relay in self.relays
            )
            with (folder / f"{name}.toml").open("a") as file:
                file.write(tables)

    def place(self, name: str) -> str:
        """Region and zone; the first zone of the second region has the last voter."""
        number = int(name[1:])
        return f"r{number % 2}/z{number}"

    def _relay_port(self, name: str, relay: str) -> int:
        """The port where a process calls a relay; its own is where it listens."""
        if name == relay or (name in self.voters and relay in self.relays):
            return self.relay_ports[relay]
        return self.proxy.link(name, relay, self.relay_ports[relay])

    def start(self, name: str, plain: bool = False) -> None:
        self.starts.setdefault(name, []).append(monotonic_ms())
        super().start(name, plain)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)

    def directions(self, begin: Iterable[str], end: Iterable[str]) -> list[LinkDirection]:
        """The directions from any of these to any of those."""
        pairs = {(a, b) for a in begin for b in end}
        return [way for pair, way in self.proxy.directions.items() if pair in pairs]

    @contextmanager
    def cut(self, begin: Iterable[str], end: Iterable[str]) -> Iterator[None]:
        """What these say to those is lost."""
        ways = self.directions(list(begin), list(end))
        assert ways
        for way in ways:
            way.cut = True
        try:
            yield
        finally:
            for way in ways:
                way.cut = False

    def propose(self, door: str, data: bytes) -> str:
        """Have contents be in force, at a voter's door; what it answers."""
        self.proposal_count += 1
        path = self.folder / f"asked-{self.proposal_count}.toml"
        path.write_bytes(data)
        self.record_proposal(data)
        try:
            return send_admin_command(self.members[door].admin_address, f"configure {path}")
        except OSError as error:
            return f"FAILURE {error}"

    def record_proposal(self, data: bytes) -> None:
        """Contents are asked for, from now on."""
        raw = tomllib.loads(data.decode())
        asked = ProposedContents(monotonic_ms(), digest(raw["settings"]), digest(raw["servers"]["list"]))
        self.proposed.setdefault(digest_of(data), asked)

    def apply(self, door: str, data: bytes) -> int:
        """Have contents be in force; the number."""
        answer = self.propose(door, data)
        found = re.match(r"SUCCESS version (\d+) is in force", answer)
        assert found, answer
        return int(found[1])

    def expect_now(self, number: int, processes: Iterable[str]) -> None:
        """From now on it is due at these."""
        self.config_history.deadlines.append(PropagationDeadline(monotonic_ms(), number, tuple(processes)))

    def latest_version(self, name: str) -> int:
        """The number that a process has logged last."""
        return max((line.number for line in self.applied_versions(name)), default=0)

    def applied_versions(self, name: str) -> Iterator[AppliedVersion]:
        """The versions that a process put in force."""
        for line in self.log_events(name):
            if line.get("event") == "configuration_laid":
                at = float(line["at_ms"])
                life = sum(1 for start in self.starts[name] if start <= at)
                yield AppliedVersion(
                    at, name, life, int(line["number"]), line["digest"], line["settings"], line["servers"]
                )

    def wait_for_version(
        self, number: int, names: Iterable[str] | None = None, seconds: float = 30.0
    ) -> None:
        """Wait until a version is in force at these; whether in time is judged by the history."""
        names = list(self.members if names is None else names)
        until = time.monotonic() + seconds
        while any(self.latest_version(name) < number for name in names):
            assert time.monotonic() < until, {name: self.latest_version(name) for name in names}
            time.sleep(0.05)

    def has_logged(self, name: str, event: str, **kv: str) -> bool:
        """Whether a process has logged this."""
        return any(
            line.get("event") == event and all(value in line.get(key, "") for key, value in kv.items())
            for line in self.log_events(name)
        )

    def save_disk(self, name: str) -> Callable[[], None]:
        """Copy a process's disk; what puts the copy back, while it is down."""
        disk = self.members[name].folder / "disk"
        old = disk.with_name("old")
        shutil.copytree(disk, old)

        def back() -> None:
            shutil.rmtree(disk)
            old.rename(disk)

        return back

    def violations(self) -> list[str]:
        """What is wrong with all that was logged so far."""
        judged = self.config_history
        judged.proposed = self.proposed
        judged.applied = [line for name in self.members for line in self.applied_versions(name)]
        judged.errors = [
            f"{name}: {line}"
            for name in self.members
            for line in self.log_events(name)
            if line.get("level") == "error" or "traceback" in line
        ]
        return judged.violations()
