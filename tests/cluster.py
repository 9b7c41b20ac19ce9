"""A fleet of real processes, a proxy on every link between them, faults by a seed, a checker of histories.

Nothing here is part of the program. A schedule is drawn whole before it is played, so that a seed replays it;
what is judged is the history: the collector's acts and the members' logs, on one outside clock.
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
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from grebestack.consensus.lease import Fence
from tests.cluster_member import TASKS
from tests.ports import reserved_port
from tests.standins import OPERATOR_SETTINGS, StandIn, send_admin_command

ROOT = Path(__file__).resolve().parent.parent


class ReceivedExport(NamedTuple):
    """One export as the collector met it."""

    at: float  # seconds, as all here, of the one outside clock
    task: str
    holder: str
    token: int
    accepted: bool


class LeasePeriod(NamedTuple):
    """A member may act, by what it logged; on the outside clock."""

    task: str
    member: str
    incarnation: int
    token: int
    begin: float
    end: float


class RegisterChange(NamedTuple):
    """One asking of a register that came into force."""

    register: str
    requested_at: float
    at: float
    before: str
    after: str


class Collector(StandIn):
    """What is acted upon: it refuses a token that is older than one it has seen."""

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

    cut: bool = False  # bytes are lost, the connection stays
    delay_s: float = 0.0
    chunk_bytes: int = 0  # bytes at a time, with a pause after each
    break_message: bool = False  # the next bytes are cut in the middle, and the connection is reset
    corrupt_pieces: int = 0  # so many pieces yet to come have a bit flipped in their middle


class Proxy:
    """All links between members, each through a listener of its own; both directions apart."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.directions: dict[tuple[str, str], LinkDirection] = {}
        self.writers: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(20)

    def link(self, a: str, b: str, port: int) -> int:
        """Listen for a's calls of b; the port."""
        self.directions[a, b], self.directions[b, a], self.writers[a, b] = (
            LinkDirection(),
            LinkDirection(),
            set(),
        )

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                writer.transport.abort()
                return
            self.writers[a, b] |= {writer, far_writer}
            both = (self._pump(reader, far_writer, (a, b)), self._pump(far_reader, writer, (b, a)))
            with contextlib.suppress(OSError):
                await asyncio.gather(*both)
            for one in (writer, far_writer):
                one.transport.abort()
                self.writers[a, b].discard(one)

        server = self.run(asyncio.start_server(accept, "127.0.0.1", 0))
        return int(server.sockets[0].getsockname()[1])

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, key: Any) -> None:
        while data := await reader.read(65536):
            way = self.directions[key]
            if way.cut:
                continue
            if way.delay_s:
                await asyncio.sleep(way.delay_s)
            if way.break_message:
                way.break_message = False
                writer.write(data[: len(data) // 2])
                await writer.drain()
                raise ConnectionResetError
            if way.corrupt_pieces:
                way.corrupt_pieces -= 1
                middle = len(data) // 2
                data = data[:middle] + bytes([data[middle] ^ 4]) + data[middle + 1 :]
            for at in range(0, len(data), way.chunk_bytes or len(data)):
                writer.write(data[at : at + (way.chunk_bytes or len(data))])
                if way.chunk_bytes:
                    await asyncio.sleep(0.005)
        raise ConnectionResetError

    def close(self) -> None:
        """End all links."""

        async def end() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(end())
        self.loop.call_soon_threadsafe(self.loop.stop)

    def reset(self, a: str, b: str) -> None:
        """Reset the link's connections."""
        key = (a, b) if (a, b) in self.writers else (b, a)

        def abort() -> None:
            for writer in list(self.writers[key]):
                writer.transport.abort()

        self.loop.call_soon_threadsafe(abort)


@dataclass
class MemberProcess:
    """One member's place: its files, and the process that runs there now."""

    name: str
    folder: Path
    admin_address: tuple[str, int]
    client_port: int
    clock_rate: float  # of its clock
    process: subprocess.Popen[bytes] | None = None
    copy: Path | None = None


class Cluster:
    """So many members, from one folder."""

    def __init__(
        self,
        folder: Path,
        count: int,
        rates: Iterable[float] = (),
        term_s: float = 2.0,
        every_s: float = 0.1,
        servers: str | dict[str, str] = 'source = "list"\nlist = []\n',
        more: str = "",
        fronts: tuple[int, ...] = (),
    ) -> None:
        self.folder, self.collector, self.proxy = folder, Collector(), Proxy()
        self.names = [f"m{n}" for n in range(count)]
        drift = list(rates) or [1.0] * count
        ports = {name: reserved_port() for name in self.names}
        seen: dict[str, dict[str, int]] = {name: {} for name in self.names}
        for n, a in enumerate(self.names):
            for b in self.names[n + 1 :]:  # of two members the first by name calls the other
                seen[a][b], seen[b][a] = self.proxy.link(a, b, ports[b]), ports[a]
        self.members: dict[str, MemberProcess] = {}
        for n, name in enumerate(self.names):
            door, front = ("127.0.0.1", reserved_port()), fronts[n] if fronts else reserved_port()
            self.members[name] = MemberProcess(name, folder / name, door, front, drift[n])
            source = servers if isinstance(servers, str) else servers[name]
            (folder / name).mkdir()
            others = "".join(f'{b} = "127.0.0.1:{port}"\n' for b, port in seen[name].items())
            (folder / f"{name}.toml").write_text(
                f'name = "{name}"\nlisten = "127.0.0.1:{front}"\ncontrol = "127.0.0.1:{door[1]}"\n'
                f'platform = true\n[servers]\n{source}[fleet]\nname = "rig"\nfolder = "{name}/disk"\n'
                f"term_s = {term_s}\ndrift = 0.01\n{more}[fleet.members]\n"
                f'{name} = "127.0.0.1:{ports[name]}"\n{others}[fleet.tallies]\n'
                f'collector = "127.0.0.1:{self.collector.address[1]}"\n'
                f"every_s = {every_s}\n{OPERATOR_SETTINGS}"
            )
            subprocess.run(
                [sys.executable, "-m", "grebestack", "form", "--config", str(folder / f"{name}.toml")],
                cwd=ROOT,
                check=True,
                stdout=subprocess.DEVNULL,
            )

    def start(self, name: str, plain: bool = False) -> None:
        """Start a member; a plain one is the program as it is, without the rig's disk, clock and tasks."""
        member, path = self.members[name], str(self.folder / f"{name}.toml")
        words = ["tests.cluster_member", path, str(member.folder / "faults"), str(member.clock_rate)]
        if plain:
            words = ["grebestack", "--config", path]
        with (self.folder / f"{name}.log").open("ab") as log:
            member.process = subprocess.Popen(
                [sys.executable, "-m", *words],
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
        """Have a member's disk fail from now on, or no longer."""
        path = self.members[name].folder / "faults"
        path.with_suffix(".new").write_text(json.dumps(faults))
        path.with_suffix(".new").rename(path)

    def holders(self) -> dict[str, str]:
        """Who acted last for each task."""
        return {act.task: act.holder for act in self.collector.exports if act.accepted}

    def admin_output(self, name: str, call: str = "fleet") -> str:
        try:
            return send_admin_command(self.members[name].admin_address, call)
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
        """All that was logged and met so far.

        Logs are read one after the other while members go on: what came after the first was read is left out,
        lest a lease be seen taken that was not seen given back.
        """
        until = time.monotonic() - 0.2
        history = History(exports=[act for act in self.collector.exports if act.at <= until])
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
        history.lease_periods = [held for held in history.lease_periods if held.begin <= until]
        history.changes = [change for change in history.changes if change.at <= until]
        return history


@dataclass
class History:
    """What is judged."""

    exports: list[ReceivedExport] = field(default_factory=list)
    lease_periods: list[LeasePeriod] = field(default_factory=list)
    changes: list[RegisterChange] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)

    def end_lease(self, task: str, member: str, token: int, at: float) -> None:
        """A member says that it acts no more."""
        for n, one in enumerate(self.lease_periods):
            if (one.task, one.member, one.token) == (task, member, token) and one.end > at:
                self.lease_periods[n] = one._replace(end=max(one.begin, at))

    def violations(self) -> list[str]:
        """Every rule that the history breaks."""
        return [*self.errors, *self._overlaps(), *self._tokens(), *self._registers()]

    def _overlaps(self) -> Iterable[str]:
        """Intervals of members that may act are disjoint."""
        for task in {h.task for h in self.lease_periods}:
            last: LeasePeriod | None = None
            for one in sorted(
                (h for h in self.lease_periods if h.task == task), key=lambda h: (h.begin, h.end)
            ):
                if last is not None and one[1:4] != last[1:4] and one.begin < last.end:
                    yield f"overlap: {last} and {one}"
                if last is None or one.end > last.end:
                    last = one

    def _tokens(self) -> Iterable[str]:
        """Accepted acts have tokens that don't fall, each of one holder; none is accepted that is stale."""
        holder: dict[tuple[str, int], tuple[str, int | None]] = {}
        for h in self.lease_periods:
            if holder.setdefault((h.task, h.token), (h.member, h.incarnation)) != (h.member, h.incarnation):
                yield f"token {h.token} of {h.task} was held by {holder[h.task, h.token]} and {h.member}"
        highest: dict[str, int] = {}
        for act in self.exports:
            known = holder.get((act.task, act.token))
            if known is not None and known[0] != act.holder:
                yield f"token {act.token} of {act.task} is {known[0]}'s, {act.holder} acted with it"
            if act.accepted and act.token < highest.get(act.task, 0):
                yield f"a stale act was accepted: {act}"
            highest[act.task] = max(act.token, highest.get(act.task, 0))

    def _registers(self) -> Iterable[str]:
        """Changes form one chain from the first value on, and their order is that of the outside clock.

        An asking whose end nobody heard of may have come into force: it is the one whose value others met.
        """
        for register in {c.register for c in self.changes}:
            mine = [c for c in self.changes if c.register == register]
            after: dict[str, RegisterChange] = {}
            for c in mine:
                if c.before != c.after and c.before in after and after[c.before].after != c.after:
                    yield f"{register}: two changes of {c.before!r}: {after[c.before]} and {c}"
                if c.before != c.after:
                    after[c.before] = c
            # Whoever asked after another had its answer must meet that value or a later one. Values are
            # ordered by token and asking; a set is chosen once.
            best: tuple[float, tuple[int, ...]] | None = None
            ends = sorted(mine, key=lambda c: c.at)
            begins = sorted(mine, key=lambda c: c.requested_at)
            n = 0
            for c in begins:
                while n < len(ends) and ends[n].at < c.requested_at:
                    value = register_order(ends[n].after)
                    if best is None or value > best[1]:
                        best = ends[n].at, value
                    n += 1
                if best is not None and register_order(c.before) < best[1]:
                    yield f"{register}: {c} met an older value than was in force at {best[0]:.3f}"


def register_order(value: str) -> tuple[int, ...]:
    """A value's place in the order of its register: token, whether it was given back, asking."""
    parts = value.split("/")
    if len(parts) != 4:
        return (1 if value else 0,)
    return int(parts[2]), int(parts[1] == "0"), int(parts[3])


# The faults, and their schedule.


class Fault(NamedTuple):
    """One fault of a schedule: when it comes, how long it stays, and whom it hits."""

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
    """Faults drawn from a seed, one after the other or two side by side; all kinds come in turn.

    Those that take a disk or the quorum come alone: what is lost beyond a minority is lost for good.
    """
    drawn = random.Random(seed)
    faults: list[Fault] = []
    at, kinds = 0.0, list[str]()
    while at < seconds:
        if not kinds:
            kinds = list(KINDS)
            drawn.shuffle(kinds)
        kind = kinds.pop()
        member, other = drawn.sample(names, 2)
        lasts = drawn.uniform(0.3, 4.0)
        faults.append(Fault(at, lasts, kind, member, other))
        alone = kind in ALONE or bool(kinds) and kinds[-1] in ALONE
        at += lasts + gap * drawn.uniform(0.7, 1.3) if alone else drawn.uniform(0.5, gap + lasts)
    return faults


@dataclass
class ScheduleResult:
    """When what was done."""

    kills: list[tuple[float, tuple[str, ...]]] = field(default_factory=list)  # the tasks that lost a holder
    heals: list[float] = field(default_factory=list)
    skipped: int = 0


class FaultInjector:
    """Plays a schedule over a cluster."""

    def __init__(self, cluster: Cluster, seed: int) -> None:
        self.cluster, self.random = cluster, random.Random(f"{seed} play")
        self.result = ScheduleResult()
        self.affected: set[str] = set()  # who is down, stopped or cut off by a fault of now

    def run(self, faults: list[Fault], told: Callable[[str], None] = lambda _: None) -> ScheduleResult:
        """Play them all; every fault is over when this returns."""
        began, pending = time.monotonic(), list[tuple[float, Callable[[], None]]]()
        for fault in faults:
            self._end_faults_until(began + fault.start_s, pending)
            told(f"{fault.start_s:7.2f} {fault.kind} {fault.member} {fault.other} for {fault.duration_s:.2f}")
            over = self._begin(fault)
            if over is not None:
                pending.append((time.monotonic() + fault.duration_s, over))
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
        beside = 0 if fault.kind in ALONE else (len(cluster.names) - 1) // 2 - 1  # others that may be hit
        if member in self.affected or len(self.affected) > beside:
            self.result.skipped += 1
            return None
        hit = {member}
        if fault.kind == "quorum lost":
            hit = set(self.random.sample(cluster.names, len(cluster.names) // 2 + 1))
        elif fault.kind in ("delay", "slow", "reset", "half", "slow sync"):
            hit = set()
        self.affected |= hit
        end = getattr(self, "_" + fault.kind.replace(" holder", "").replace(" ", "_"))(member, fault, hit)

        def over() -> None:
            end()
            self.affected -= hit

        return over

    def _directions(self, member: str) -> list[LinkDirection]:
        return [way for pair, way in self.cluster.proxy.directions.items() if member in pair]

    def _kill(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        held = tuple(task for task, holder in self.cluster.holders().items() if holder == member)
        self.cluster.signal(member, signal.SIGKILL)
        if "holder" in fault.kind:
            self.result.kills.append((time.monotonic(), held))
        return lambda: self.cluster.start(member)

    def _terminate(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        self.cluster.signal(member, signal.SIGTERM)
        return lambda: self.cluster.start(member)

    def _stop(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        self.cluster.signal(member, signal.SIGSTOP)
        return lambda: self.cluster.signal(member, signal.SIGCONT)

    def _cut(self, ways: list[LinkDirection]) -> Callable[[], None]:
        for way in ways:
            way.cut = True

        def heal() -> None:
            for way in ways:
                way.cut = False

        return heal

    def _cut_off(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        return self._cut(self._directions(member))

    def _cut_one_way(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        return self._cut([way for (a, _), way in self.cluster.proxy.directions.items() if a == member])

    def _stall(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        ways = self.cluster.proxy.directions
        return self._cut([ways[member, fault.other], ways[fault.other, member]])

    def _quorum_lost(self, member: str, fault: Fault, hit: set[str]) -> Callable[[], None]:
        heal = self._cut([way for pair, way in self.cluster.proxy.directions.items() if set(pair) & hit])

        def over() -> None:
            heal()
            self.result.heals.append(time.monotonic())

        return over

    def _delay(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        return self._set(self._directions(member), "delay_s", 0.15, 0.0)

    def _slow(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        return self._set(self._directions(member), "chunk_bytes", 16, 0)

    def _set(self, ways: list[LinkDirection], name: str, value: Any, former: Any) -> Callable[[], None]:
        for way in ways:
            setattr(way, name, value)

        def over() -> None:
            for way in ways:
                setattr(way, name, former)

        return over

    def _reset(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        self.cluster.proxy.reset(member, fault.other)
        return lambda: None

    def _half(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        return self._set([self.cluster.proxy.directions[member, fault.other]], "break_message", True, False)

    def _slow_sync(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        self.cluster.set_disk_faults(member, slow=0.3)
        return lambda: self.cluster.set_disk_faults(member)

    def _sync_fails(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        self.cluster.set_disk_faults(member, sync="EIO")
        return lambda: self.cluster.set_disk_faults(member)

    def _disk_full(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        self.cluster.set_disk_faults(member, write="ENOSPC")
        return lambda: self.cluster.set_disk_faults(member)

    def _disk_lost(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        self.cluster.signal(member, signal.SIGKILL)
        shutil.rmtree(self.cluster.members[member].folder / "disk")
        return lambda: self.cluster.start(member)

    def _old_disk(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        disk = self.cluster.members[member].folder / "disk"
        old = disk.with_name("old")
        shutil.copytree(disk, old, dirs_exist_ok=True)

        def over() -> None:
            self.cluster.signal(member, signal.SIGKILL)
            shutil.rmtree(disk)
            old.rename(disk)
            self.cluster.start(member)

        return over

    def _disk_lies(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        logs = self.cluster.register_logs(member)
        honest = logs[-1].stat().st_size if logs else 0
        self.cluster.set_disk_faults(member, lie=True)

        def over() -> None:
            self.cluster.signal(member, signal.SIGKILL)
            logs = self.cluster.register_logs(member)
            if logs and logs[-1].stat().st_size > honest:
                os.truncate(logs[-1], self.random.randint(honest, logs[-1].stat().st_size - 1))
            self.cluster.set_disk_faults(member)
            self.cluster.start(member)

        return over

    def _bit_flipped(self, member: str, fault: Fault, hit: Any) -> Callable[[], None]:
        self.cluster.signal(member, signal.SIGKILL)
        for log in self.cluster.register_logs(member)[-1:]:
            data = bytearray(log.read_bytes())
            data[self.random.randrange(30, len(data) // 2)] ^= 1 << self.random.randrange(8)
            log.write_bytes(data)
        return lambda: self.cluster.start(member)


def export_tasks() -> tuple[str, ...]:
    """The tasks of each member."""
    return TASKS
