"""A cluster of real processes with a proxy on every link, seeded fault injection and a history checker.

Nothing here is part of the program. A fault schedule is drawn completely before it is run, so that a seed
repeats it. The checker works on the history: the exports that the collector received and the members' logs,
all on one clock outside the members.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from grebestack.consensus.lease import Fence
from tests.cluster_member import TASKS
from tests.loop_thread import LoopThread
from tests.ports import reserved_port
from tests.standins import OPERATOR_SETTINGS, StandIn, send_admin_command

ROOT = Path(__file__).resolve().parent.parent


class ReceivedExport(NamedTuple):
    """One export as the collector received it."""

    at: float  # seconds of the clock outside the members, like all times here
    task: str
    holder: str
    token: int
    accepted: bool


class LeasePeriod(NamedTuple):
    """A period in which a member held a lease, according to its log, on the outside clock."""

    task: str
    member: str
    incarnation: int
    token: int
    begin: float
    end: float


class RegisterChange(NamedTuple):
    """One change of a register that was chosen."""

    register: str
    requested_at: float
    at: float
    before: str
    after: str


class Collector(StandIn):
    """Receives exports; rejects a fencing token that is older than one it has seen."""

    def __init__(self) -> None:
        self.exports: list[ReceivedExport] = []
        self.fences: dict[str, Fence] = {}
        self.lock = threading.Lock()
        super().__init__()

    def handle(self, http: Any, body: bytes) -> None:
        export = json.loads(body)
        with self.lock:
            accepted = self.fences.setdefault(export["task"], Fence()).admits(export["token"])
            now = time.monotonic()
            self.exports.append(
                ReceivedExport(now, export["task"], export["holder"], export["token"], accepted)
            )
        http.reply(204 if accepted else 409)


@dataclass
class LinkDirection:
    """One direction of a link."""

    cut: bool = False  # bytes are dropped, the connection stays open
    delay_s: float = 0.0
    chunk_bytes: int = 0  # bytes forwarded at a time, with a pause after each; 0: no limit
    break_message: bool = False  # half of the next bytes are forwarded, then the connection is reset
    corrupt_pieces: int = 0  # how many of the next reads have a bit flipped in their middle


class Proxy:
    """Forwards the links between members, each through its own listener; faults apply to one direction."""

    def __init__(self) -> None:
        self.loop_thread = LoopThread()
        self.directions: dict[tuple[str, str], LinkDirection] = {}
        self.writers: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}

    def link(self, a: str, b: str, port: int) -> int:
        """Listen for connections from a to b; return the port."""
        self.directions[a, b], self.directions[b, a], self.writers[a, b] = (
            LinkDirection(),
            LinkDirection(),
            set(),
        )

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                far_reader, far_writer = await self.loop_thread.connect("127.0.0.1", port)
            except OSError:
                writer.transport.abort()
                return
            self.writers[a, b] |= {writer, far_writer}
            both = (self._pump(reader, far_writer, (a, b)), self._pump(far_reader, writer, (b, a)))
            try:
                with contextlib.suppress(OSError):
                    await asyncio.gather(*both)
            finally:
                for end in (writer, far_writer):
                    end.transport.abort()
                    self.writers[a, b].discard(end)
                self.loop_thread.disconnect(far_writer)

        return self.loop_thread.serve(accept)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, key: Any) -> None:
        while data := await reader.read(65536):
            direction = self.directions[key]
            if direction.cut:
                continue
            if direction.delay_s:
                await asyncio.sleep(direction.delay_s)
            if direction.break_message:
                direction.break_message = False
                writer.write(data[: len(data) // 2])
                await writer.drain()
                raise ConnectionResetError
            if direction.corrupt_pieces:
                direction.corrupt_pieces -= 1
                middle = len(data) // 2
                data = data[:middle] + bytes([data[middle] ^ 4]) + data[middle + 1 :]
            for at in range(0, len(data), direction.chunk_bytes or len(data)):
                writer.write(data[at : at + (direction.chunk_bytes or len(data))])
                if direction.chunk_bytes:
                    await asyncio.sleep(0.005)
        raise ConnectionResetError

    def close(self) -> None:
        """Close all links."""
        self.loop_thread.close()

    def reset(self, a: str, b: str) -> None:
        """Reset the connections of a link."""
        key = (a, b) if (a, b) in self.writers else (b, a)

        def abort() -> None:
            for writer in list(self.writers[key]):
                writer.transport.abort()

        self.loop_thread.loop.call_soon_threadsafe(abort)


@dataclass
class MemberProcess:
    """One member: its files, addresses and current process."""

    name: str
    folder: Path
    admin_address: tuple[str, int]
    client_port: int
    clock_rate: float  # its clock relative to the real one
    process: subprocess.Popen[bytes] | None = None
    copy: Path | None = None


class Cluster:
    """A cluster whose members keep their files in one folder."""

    def __init__(
        self,
        folder: Path,
        count: int,
        rates: Iterable[float] = (),
        term_s: float = 2.0,
        export_interval_s: float = 0.1,
        worker_source: str | dict[str, str] = 'source = "list"\nlist = []\n',
        cluster_settings: str = "",
        client_ports: tuple[int, ...] = (),
    ) -> None:
        self.folder, self.collector, self.proxy = folder, Collector(), Proxy()
        self.names = [f"m{n}" for n in range(count)]
        clock_rates = list(rates) or [1.0] * count
        ports = {name: reserved_port() for name in self.names}
        peer_ports: dict[str, dict[str, int]] = {name: {} for name in self.names}
        for n, a in enumerate(self.names):
            for b in self.names[n + 1 :]:  # of two members the first by name opens the connection
                peer_ports[a][b], peer_ports[b][a] = self.proxy.link(a, b, ports[b]), ports[a]
        self.members: dict[str, MemberProcess] = {}
        for n, name in enumerate(self.names):
            admin_address, client_port = (
                ("127.0.0.1", reserved_port()),
                client_ports[n] if client_ports else reserved_port(),
            )
            self.members[name] = MemberProcess(
                name, folder / name, admin_address, client_port, clock_rates[n]
            )
            source = worker_source if isinstance(worker_source, str) else worker_source[name]
            (folder / name).mkdir()
            others = "".join(f'{b} = "127.0.0.1:{port}"\n' for b, port in peer_ports[name].items())
            (folder / f"{name}.toml").write_text(
                f'name = "{name}"\nlisten = "127.0.0.1:{client_port}"\n'
                f'control = "127.0.0.1:{admin_address[1]}"\n'
                f'platform = true\n[servers]\n{source}[fleet]\nname = "rig"\nfolder = "{name}/disk"\n'
                f"term_s = {term_s}\ndrift = 0.01\n{cluster_settings}[fleet.members]\n"
                f'{name} = "127.0.0.1:{ports[name]}"\n{others}[fleet.tallies]\n'
                f'collector = "127.0.0.1:{self.collector.address[1]}"\n'
                f"every_s = {export_interval_s}\n{OPERATOR_SETTINGS}"
            )
            subprocess.run(
                [sys.executable, "-m", "grebestack", "form", "--config", str(folder / f"{name}.toml")],
                cwd=ROOT,
                check=True,
                stdout=subprocess.DEVNULL,
            )

    def start(self, name: str, unmodified: bool = False) -> None:
        """Start a member; an unmodified one has no fault injection, clock drift or additional tasks."""
        member, path = self.members[name], str(self.folder / f"{name}.toml")
        arguments = ["tests.cluster_member", path, str(member.folder / "faults"), str(member.clock_rate)]
        if unmodified:
            arguments = ["grebestack", "--config", path]
        with (self.folder / f"{name}.log").open("ab") as log:
            member.process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stderr=log,
                stdout=log,
            )

    def signal(self, name: str, number: int) -> None:
        process = self.members[name].process
        assert process is not None
        process.send_signal(number)
        if number in (signal.SIGKILL, signal.SIGTERM):
            process.wait(20)

    def register_logs(self, name: str) -> list[Path]:
        return sorted((self.members[name].folder / "disk").glob("registers-*.log"))

    def set_disk_faults(self, name: str, **faults: Any) -> None:
        """Set the disk faults of a member from now on; none given: no faults."""
        path = self.members[name].folder / "faults"
        path.with_suffix(".new").write_text(json.dumps(faults))
        path.with_suffix(".new").rename(path)

    def holders(self) -> dict[str, str]:
        """The member whose export was accepted last, by task."""
        return {export.task: export.holder for export in self.collector.exports if export.accepted}

    def admin_output(self, name: str, command: str = "fleet") -> str:
        try:
            return send_admin_command(self.members[name].admin_address, command)
        except OSError as error:
            return f"FAILURE {error}"

    def close(self) -> None:
        for member in self.members.values():
            if member.process is not None and member.process.poll() is None:
                member.process.send_signal(signal.SIGCONT)
                member.process.kill()
                member.process.wait(20)
        self.collector.close()
        self.proxy.close()

    # The history.

    def log_events(self, name: str) -> Iterable[dict[str, str]]:
        for line in (self.folder / f"{name}.log").read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                yield dict(part.split("=", 1) for part in shlex.split(line) if "=" in part)

    def history(self) -> History:
        """Everything that was logged and exported so far.

        Logs are read one after the other while the members run. What was logged after the first was read is
        left out, so that a lease isn't seen as acquired whose earlier release was not read.
        """
        until = time.monotonic() - 0.2
        history = History(exports=[export for export in self.collector.exports if export.at <= until])
        for name, member in self.members.items():
            scale = 1000.0 * member.clock_rate
            for line in self.log_events(name):
                event = line.get("event")
                if event == "lease_held":
                    history.lease_periods.append(
                        LeasePeriod(
                            line["task"],
                            name,
                            int(line["life"]),
                            int(line["token"]),
                            float(line["at"]) / scale,
                            float(line["until"]) / scale,
                        )
                    )
                elif event == "lease_lost":
                    history.end_lease(line["task"], name, int(line["token"]), float(line["at"]) / scale)
                elif event == "fleet_register" and line["outcome"] == "CHOSEN":
                    history.changes.append(
                        RegisterChange(
                            line["register"],
                            float(line["asked"]) / scale,
                            float(line["at"]) / scale,
                            line["before"],
                            line["after"],
                        )
                    )
                elif line.get("level") == "error" or "traceback" in line:
                    history.errors.append(f"{name}: {line}")
        history.lease_periods = [period for period in history.lease_periods if period.begin <= until]
        history.changes = [change for change in history.changes if change.at <= until]
        return history


@dataclass
class History:
    """The events that the checker examines."""

    exports: list[ReceivedExport] = field(default_factory=list)
    lease_periods: list[LeasePeriod] = field(default_factory=list)
    changes: list[RegisterChange] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)

    def end_lease(self, task: str, member: str, token: int, at: float) -> None:
        """A member logged that it lost the lease."""
        for n, period in enumerate(self.lease_periods):
            if (period.task, period.member, period.token) == (task, member, token) and period.end > at:
                self.lease_periods[n] = period._replace(end=max(period.begin, at))

    def violations(self) -> list[str]:
        """One line for each violation in the history."""
        return [*self.errors, *self._overlaps(), *self._tokens(), *self._registers()]

    def _overlaps(self) -> Iterable[str]:
        """Periods in which different members hold the lease of a task must be disjoint."""
        for task in {p.task for p in self.lease_periods}:
            latest: LeasePeriod | None = None
            for period in sorted(
                (p for p in self.lease_periods if p.task == task), key=lambda p: (p.begin, p.end)
            ):
                if latest is not None and period[1:4] != latest[1:4] and period.begin < latest.end:
                    yield f"overlap: {latest} and {period}"
                if latest is None or period.end > latest.end:
                    latest = period

    def _tokens(self) -> Iterable[str]:
        """Tokens of accepted exports never decrease, and each token has one holder."""
        holders: dict[tuple[str, int], tuple[str, int | None]] = {}
        for period in self.lease_periods:
            if holders.setdefault((period.task, period.token), (period.member, period.incarnation)) != (
                period.member,
                period.incarnation,
            ):
                yield (
                    f"token {period.token} of {period.task} was held by "
                    f"{holders[period.task, period.token]} and {period.member}"
                )
        highest: dict[str, int] = {}
        for export in self.exports:
            owner = holders.get((export.task, export.token))
            if owner is not None and owner[0] != export.holder:
                yield (
                    f"token {export.token} of {export.task} is {owner[0]}'s, {export.holder} exported with it"
                )
            if export.accepted and export.token < highest.get(export.task, 0):
                yield f"a stale act was accepted: {export}"
            highest[export.task] = max(export.token, highest.get(export.task, 0))

    def _registers(self) -> Iterable[str]:
        """Changes form one chain from the first value on, in the order of the outside clock.

        A change whose outcome was not logged may have been chosen; others then read its value.
        """
        for register in {change.register for change in self.changes}:
            changes = [change for change in self.changes if change.register == register]
            change_of: dict[str, RegisterChange] = {}
            for change in changes:
                if (
                    change.before != change.after
                    and change.before in change_of
                    and change_of[change.before].after != change.after
                ):
                    yield (
                        f"{register}: two changes of {change.before!r}: "
                        f"{change_of[change.before]} and {change}"
                    )
                if change.before != change.after:
                    change_of[change.before] = change
            # A change requested after another one completed must read that value or a later one. Values are
            # ordered by token and proposal number; a membership set is chosen once.
            newest: tuple[float, tuple[int, ...]] | None = None
            by_completion = sorted(changes, key=lambda change: change.at)
            by_request = sorted(changes, key=lambda change: change.requested_at)
            n = 0
            for change in by_request:
                while n < len(by_completion) and by_completion[n].at < change.requested_at:
                    value = register_order(by_completion[n].after)
                    if newest is None or value > newest[1]:
                        newest = by_completion[n].at, value
                    n += 1
                if newest is not None and register_order(change.before) < newest[1]:
                    yield f"{register}: {change} met an older value than was in force at {newest[0]:.3f}"


def register_order(value: str) -> tuple[int, ...]:
    """The sort key of a register's value: token, whether the lease was released, proposal number."""
    parts = value.split("/")
    if len(parts) != 4:
        return (1 if value else 0,)
    return int(parts[2]), int(parts[1] == "0"), int(parts[3])


# Faults and their schedule.


class Fault(NamedTuple):
    """One fault of a schedule: its start, its duration and the members that it affects."""

    start_s: float
    duration_s: float
    kind: str
    member: str
    other: str = ""


ALONE = ("quorum lost", "disk lost", "old disk", "disk lies", "bit flipped", "sync fails", "disk full")
KINDS = (
    "kill",
    "kill",
    "kill holder",
    "kill holder",
    "stop holder",
    "stop",
    "cut off",
    "cut one way",
    "stall",
    "delay",
    "slow",
    "reset",
    "half",
    "slow sync",
    "terminate holder",
    "quorum lost",
    "disk lost",
    "old disk",
    "disk lies",
    "bit flipped",
    "sync fails",
    "disk full",
)


def draw_schedule(seed: int, names: list[str], seconds: float, gap: float = 3.0) -> list[Fault]:
    """Draw faults from a seed, one after the other or two at a time, with all kinds in turn.

    Faults of a disk or of the quorum come alone: records that a majority loses can't be recovered.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    start_s, kinds = 0.0, list[str]()
    while start_s < seconds:
        if not kinds:
            kinds = list(KINDS)
            rng.shuffle(kinds)
        kind = kinds.pop()
        member, other = rng.sample(names, 2)
        duration_s = rng.uniform(0.3, 4.0)
        faults.append(Fault(start_s, duration_s, kind, member, other))
        alone = kind in ALONE or bool(kinds) and kinds[-1] in ALONE
        start_s += duration_s + gap * rng.uniform(0.7, 1.3) if alone else rng.uniform(0.5, gap + duration_s)
    return faults


@dataclass
class ScheduleResult:
    """When faults were injected and ended."""

    kills: list[tuple[float, tuple[str, ...]]] = field(default_factory=list)  # with the tasks of the holder
    heals: list[float] = field(default_factory=list)
    skipped: int = 0


class FaultInjector:
    """Injects the faults of a schedule into a cluster."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster, self.random = cluster, random.Random(f"{seed} play")
        self.result = ScheduleResult()
        self.affected: set[str] = set()  # members that an active fault has stopped, killed or cut off

    def run(self, faults: list[Fault], report: Callable[[str], None] = lambda _: None) -> ScheduleResult:
        """Inject all faults; every one has ended when this returns."""
        started_at, pending = time.monotonic(), list[tuple[float, Callable[[], None]]]()
        for fault in faults:
            self._end_faults_until(started_at + fault.start_s, pending)
            report(
                f"{fault.start_s:7.2f} {fault.kind} {fault.member} {fault.other} for {fault.duration_s:.2f}"
            )
            end_fault = self._begin(fault)
            if end_fault is not None:
                pending.append((time.monotonic() + fault.duration_s, end_fault))
        self._end_faults_until(float("inf"), pending)
        return self.result

    def _end_faults_until(self, at: float, pending: list[tuple[float, Callable[[], None]]]) -> None:
        while True:
            pending.sort(key=lambda item: item[0])
            now = time.monotonic()
            if pending and pending[0][0] <= min(now, at):
                pending.pop(0)[1]()
            elif not pending and (now >= at or at == float("inf")):
                return
            elif pending and pending[0][0] < at:
                time.sleep(max(0.0, pending[0][0] - now))
            elif now >= at:
                return
            else:
                time.sleep(at - now)

    def _begin(self, fault: Fault) -> Callable[[], None] | None:
        cluster, member = self.cluster, fault.member
        if "holder" in fault.kind:
            holders = [h for h in cluster.holders().values() if h not in self.affected]
            member = self.random.choice(sorted(holders)) if holders else member
        # How many other members may be affected at the same time.
        max_others = 0 if fault.kind in ALONE else (len(cluster.names) - 1) // 2 - 1
        if member in self.affected or len(self.affected) > max_others:
            self.result.skipped += 1
            return None
        affected = {member}
        if fault.kind == "quorum lost":
            affected = set(self.random.sample(cluster.names, len(cluster.names) // 2 + 1))
        elif fault.kind in ("delay", "slow", "reset", "half", "slow sync"):
            affected = set()
        self.affected |= affected
        end = getattr(self, "_" + fault.kind.replace(" holder", "").replace(" ", "_"))(
            member, fault, affected
        )

        def end_fault() -> None:
            end()
            self.affected -= affected

        return end_fault

    def _directions(self, member: str) -> list[LinkDirection]:
        return [direction for pair, direction in self.cluster.proxy.directions.items() if member in pair]

    def _kill(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        tasks = tuple(task for task, holder in self.cluster.holders().items() if holder == member)
        self.cluster.signal(member, signal.SIGKILL)
        if "holder" in fault.kind:
            self.result.kills.append((time.monotonic(), tasks))
        return lambda: self.cluster.start(member)

    def _terminate(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        self.cluster.signal(member, signal.SIGTERM)
        return lambda: self.cluster.start(member)

    def _stop(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        self.cluster.signal(member, signal.SIGSTOP)
        return lambda: self.cluster.signal(member, signal.SIGCONT)

    def _cut(self, directions: list[LinkDirection]) -> Callable[[], None]:
        for direction in directions:
            direction.cut = True

        def heal() -> None:
            for direction in directions:
                direction.cut = False

        return heal

    def _cut_off(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        return self._cut(self._directions(member))

    def _cut_one_way(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        return self._cut(
            [direction for (a, _), direction in self.cluster.proxy.directions.items() if a == member]
        )

    def _stall(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        directions = self.cluster.proxy.directions
        return self._cut([directions[member, fault.other], directions[fault.other, member]])

    def _quorum_lost(self, member: str, fault: Fault, affected: set[str]) -> Callable[[], None]:
        heal = self._cut(
            [direction for pair, direction in self.cluster.proxy.directions.items() if set(pair) & affected]
        )

        def end_fault() -> None:
            heal()
            self.result.heals.append(time.monotonic())

        return end_fault

    def _delay(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        return self._set(self._directions(member), "delay_s", 0.15, 0.0)

    def _slow(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        return self._set(self._directions(member), "chunk_bytes", 16, 0)

    def _set(self, directions: list[LinkDirection], name: str, value: Any, former: Any) -> Callable[[], None]:
        for direction in directions:
            setattr(direction, name, value)

        def end_fault() -> None:
            for direction in directions:
                setattr(direction, name, former)

        return end_fault

    def _reset(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        self.cluster.proxy.reset(member, fault.other)
        return lambda: None

    def _half(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        return self._set([self.cluster.proxy.directions[member, fault.other]], "break_message", True, False)

    def _slow_sync(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        self.cluster.set_disk_faults(member, slow=0.3)
        return lambda: self.cluster.set_disk_faults(member)

    def _sync_fails(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        self.cluster.set_disk_faults(member, sync="EIO")
        return lambda: self.cluster.set_disk_faults(member)

    def _disk_full(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        self.cluster.set_disk_faults(member, write="ENOSPC")
        return lambda: self.cluster.set_disk_faults(member)

    def _disk_lost(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        self.cluster.signal(member, signal.SIGKILL)
        shutil.rmtree(self.cluster.members[member].folder / "disk")
        return lambda: self.cluster.start(member)

    def _old_disk(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        disk = self.cluster.members[member].folder / "disk"
        old = disk.with_name("old")
        shutil.copytree(disk, old, dirs_exist_ok=True)

        def end_fault() -> None:
            self.cluster.signal(member, signal.SIGKILL)
            shutil.rmtree(disk)
            old.rename(disk)
            self.cluster.start(member)

        return end_fault

    def _disk_lies(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        logs = self.cluster.register_logs(member)
        honest = logs[-1].stat().st_size if logs else 0
        self.cluster.set_disk_faults(member, lie=True)

        def end_fault() -> None:
            self.cluster.signal(member, signal.SIGKILL)
            logs = self.cluster.register_logs(member)
            if logs and logs[-1].stat().st_size > honest:
                os.truncate(logs[-1], self.random.randint(honest, logs[-1].stat().st_size - 1))
            self.cluster.set_disk_faults(member)
            self.cluster.start(member)

        return end_fault

    def _bit_flipped(self, member: str, fault: Fault, affected: Any) -> Callable[[], None]:
        self.cluster.signal(member, signal.SIGKILL)
        for log in self.cluster.register_logs(member)[-1:]:
            data = bytearray(log.read_bytes())
            data[self.random.randrange(30, len(data) // 2)] ^= 1 << self.random.randrange(8)
            log.write_bytes(data)
        return lambda: self.cluster.start(member)


def export_tasks() -> tuple[str, ...]:
    """The export tasks of each member."""
    return TASKS
