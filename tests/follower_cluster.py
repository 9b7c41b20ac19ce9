"""Voters, relays and followers as real processes, a proxy on every link and a checker of applied versions.

Nothing here is part of the program. The checker works on the history: which version each process logged as
applied, with digests of the settings and servers that it uses, and which contents were proposed; all times
are those of the machine's monotonic clock.
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
MAX_SCHEDULING_DELAY_MS = 400.0  # on a machine that was later, a missed deadline proves nothing


class AppliedVersion(NamedTuple):
    """One process applied one version."""

    at: float  # ms of the machine's monotonic clock, like all times here
    process: str
    start_count: int  # how often the process had been started by then
    number: int
    digest: str
    settings: str  # digest of the settings that it uses; the next one is of the servers
    servers: str


class ProposedContents(NamedTuple):
    """Digests of contents that were proposed through an admin server."""

    at: float
    settings: str
    servers: str


class PropagationDeadline(NamedTuple):
    """From this time on the version was decided and these processes could be reached."""

    at: float
    number: int
    processes: tuple[str, ...]


@dataclass
class ConfigHistory:
    """The events that the checker examines."""

    applied: list[AppliedVersion] = field(default_factory=list)
    proposed: dict[str, ProposedContents] = field(default_factory=dict)  # by digest of the contents
    deadlines: list[PropagationDeadline] = field(default_factory=list)
    without_majority: list[tuple[float, float]] = field(default_factory=list)  # when no majority could decide
    # Processes, by name and start count, that were started with an old disk and no reachable relay.
    isolated: set[tuple[str, int]] = field(default_factory=set)
    errors: list[str] = field(default_factory=list)

    def violations(self) -> list[str]:
        """One line for each violation in the history."""
        return [
            *self.errors,
            *self._regressions(),
            *self._mixed_contents(),
            *self._undecided(),
            *self._late(),
        ]

    def _regressions(self) -> Iterable[str]:
        """No process applies an older version than before, not even after a restart."""
        highest: dict[str, AppliedVersion] = {}
        for version in sorted(self.applied):
            previous = highest.get(version.process)
            if (
                previous is not None
                and version.number < previous.number
                and (
                    version.start_count == previous.start_count
                    or (version.process, version.start_count) not in self.isolated
                )
            ):
                yield f"back: {version} after {previous}"
            if (
                previous is None
                or version.number >= previous.number
                or version.start_count > previous.start_count
            ):
                highest[version.process] = version

    def _mixed_contents(self) -> Iterable[str]:
        """What a process applies is exactly the contents that were proposed under that digest."""
        for version in self.applied:
            proposed = self.proposed.get(version.digest)
            if proposed is None:
                yield f"never proposed: {version}"
            elif (version.settings, version.servers) != (proposed.settings, proposed.servers):
                yield f"mixed contents: {version}, proposed {proposed}"
            elif version.at < proposed.at:
                yield f"applied before it was proposed: {version}"

    def _undecided(self) -> Iterable[str]:
        """A number has one digest; no new number appears while no majority can decide."""
        first: dict[int, AppliedVersion] = {}
        for version in sorted(self.applied):
            earliest = first.setdefault(version.number, version)
            if earliest.digest != version.digest:
                yield f"two versions with one number: {earliest} and {version}"
            if earliest is version and any(
                start <= version.at <= end for start, end in self.without_majority
            ):
                yield f"without a majority: {version}"

    def _late(self) -> Iterable[str]:
        """Every reachable process applies the version within the limit."""
        for deadline in self.deadlines:
            for process in deadline.processes:
                versions = [
                    version
                    for version in self.applied
                    if version.process == process and version.number >= deadline.number
                ]
                applied_at = min((version.at for version in versions), default=float("inf"))
                if applied_at > deadline.at + MAX_PROPAGATION_MS:
                    yield (
                        f"late: {process} has version {deadline.number} "
                        f"{applied_at - deadline.at:.0f} ms after it was due"
                    )


class SchedulingDelayMonitor:
    """Measures by how much a sleeping thread wakes up late."""

    def __init__(self) -> None:
        self.max_delay_ms, self.stopped = 0.0, False
        self.thread = threading.Thread(target=self._measure, daemon=True)
        self.thread.start()

    def _measure(self) -> None:
        while not self.stopped:
            started_at = time.monotonic()
            time.sleep(0.02)
            self.max_delay_ms = max(self.max_delay_ms, (time.monotonic() - started_at) * 1000.0 - 20.0)


def config_contents(limit: int, servers: Iterable[str] = ("a",), zones: str = '["here"]') -> bytes:
    """The contents of a version: settings with the given limit, and a worker list."""
    settings = OPERATOR_SETTINGS.replace("mostTries = 5", f"mostTries = {limit}")
    settings = settings.replace('zones = ["here"]', f"zones = {zones}")
    entries = "".join(
        f'  {{ uid = "{uid}", endpoint = "127.0.0.1:9", state = "Ready", az = "here", model = "c8" }},\n'
        for uid in servers
    )
    return f'[servers]\nsource = "list"\nlist = [\n{entries}]\n{settings}'.encode()


class FollowerCluster(Cluster):
    """Voters that are also relays, further relays, and followers, in the zones of two regions."""

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
            admin_address, client_port = ("127.0.0.1", reserved_port()), reserved_port()
            self.members[name] = MemberProcess(name, folder / name, admin_address, client_port, 1.0)
            (folder / name).mkdir()
            members = "".join(f'{voter} = "127.0.0.1:{n + 1}"\n' for n, voter in enumerate(self.voters))
            (folder / f"{name}.toml").write_text(
                f'name = "{name}"\nlisten = "127.0.0.1:{client_port}"\n'
                f'control = "127.0.0.1:{admin_address[1]}"\n'
                f'platform = true\n[servers]\nsource = "list"\nlist = []\n[fleet]\nname = "rig"\n'
                f'folder = "{name}/disk"\nfollow = true\nplace = "{self.place(name)}"\n'
                + (f"[fleet.members]\n{members}" if name in self.relays else "")
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
        """The region and zone of a process, by the number in its name."""
        number = int(name[1:])
        return f"r{number % 2}/z{number}"

    def _relay_port(self, name: str, relay: str) -> int:
        """The port on which a process reaches a relay, or on which the relay itself listens."""
        if name == relay or (name in self.voters and relay in self.relays):
            return self.relay_ports[relay]
        return self.proxy.link(name, relay, self.relay_ports[relay])

    def start(self, name: str, plain: bool = False) -> None:
        self.starts.setdefault(name, []).append(monotonic_ms())
        super().start(name, plain)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)

    def directions(self, senders: Iterable[str], receivers: Iterable[str]) -> list[LinkDirection]:
        """The link directions from any of one group to any of the other."""
        pairs = {(a, b) for a in senders for b in receivers}
        return [direction for pair, direction in self.proxy.directions.items() if pair in pairs]

    @contextmanager
    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> Iterator[None]:
        """Drop everything that one group sends to the other."""
        directions = self.directions(list(senders), list(receivers))
        assert directions
        for direction in directions:
            direction.cut = True
        try:
            yield
        finally:
            for direction in directions:
                direction.cut = False

    def propose(self, name: str, data: bytes) -> str:
        """Propose contents at the admin server of a process; return its response."""
        self.proposal_count += 1
        path = self.folder / f"proposed-{self.proposal_count}.toml"
        path.write_bytes(data)
        self.record_proposal(data)
        try:
            return send_admin_command(self.members[name].admin_address, f"configure {path}")
        except OSError as error:
            return f"FAILURE {error}"

    def record_proposal(self, data: bytes) -> None:
        """Record that contents are proposed from now on."""
        raw = tomllib.loads(data.decode())
        proposed = ProposedContents(monotonic_ms(), digest(raw["settings"]), digest(raw["servers"]["list"]))
        self.proposed.setdefault(digest_of(data), proposed)

    def apply(self, name: str, data: bytes) -> int:
        """Propose contents, which must succeed; return the number of the new version."""
        response = self.propose(name, data)
        match = re.match(r"SUCCESS version (\d+) is in force", response)
        assert match, response
        return int(match[1])

    def expect_now(self, number: int, processes: Iterable[str]) -> None:
        """Record that from now on these processes must apply the version within the limit."""
        self.config_history.deadlines.append(PropagationDeadline(monotonic_ms(), number, tuple(processes)))

    def latest_version(self, name: str) -> int:
        """The highest version number that a process has logged as applied."""
        return max((version.number for version in self.applied_versions(name)), default=0)

    def applied_versions(self, name: str) -> Iterator[AppliedVersion]:
        """The versions that a process applied, from its log."""
        for line in self.log_events(name):
            if line.get("event") == "configuration_laid":
                at = float(line["at_ms"])
                start_count = sum(1 for start in self.starts[name] if start <= at)
                yield AppliedVersion(
                    at,
                    name,
                    start_count,
                    int(line["number"]),
                    line["digest"],
                    line["settings"],
                    line["servers"],
                )

    def wait_for_version(
        self, number: int, names: Iterable[str] | None = None, seconds: float = 30.0
    ) -> None:
        """Wait until these processes have applied a version; the checker checks whether that was in time."""
        names = list(self.members if names is None else names)
        deadline = time.monotonic() + seconds
        while any(self.latest_version(name) < number for name in names):
            assert time.monotonic() < deadline, {name: self.latest_version(name) for name in names}
            time.sleep(0.05)

    def has_logged(self, name: str, event: str, **kv: str) -> bool:
        """Whether a process has logged an event with these values."""
        return any(
            line.get("event") == event and all(value in line.get(key, "") for key, value in kv.items())
            for line in self.log_events(name)
        )

    def save_disk(self, name: str) -> Callable[[], None]:
        """Copy a process's disk; return a function that restores the copy while the process is down."""
        disk = self.members[name].folder / "disk"
        saved = disk.with_name("old")
        shutil.copytree(disk, saved)

        def restore() -> None:
            shutil.rmtree(disk)
            saved.rename(disk)

        return restore

    def violations(self) -> list[str]:
        """One line for each violation in what was logged so far."""
        history = self.config_history
        history.proposed = self.proposed
        history.applied = [line for name in self.members for line in self.applied_versions(name)]
        history.errors = [
            f"{name}: {line}"
            for name in self.members
            for line in self.log_events(name)
            if line.get("level") == "error" or "traceback" in line
        ]
        return history.violations()
