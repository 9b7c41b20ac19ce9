"""Several real dispatchers before stand-in runners, an agent for each, and faults drawn from a seed.

The runners' own record of first bytes decides: `late_sends` compares it with what each agent had.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.ports import reserved_port
from tests.standins import OPTIONS, wait_until

GRACE_S, SLACK_S, SILENT_S, MOVED_S = 0.25, 0.05, 6.0, 4.0  # the settings' grace, and the page's figures


@dataclass(frozen=True)
class Sent:
    """A first byte that a runner saw."""

    dispatcher: str
    server: str
    at: float
    call_id: str


def late_sends(sends: list[Sent], told: dict[tuple[str, str], float], late_s: float) -> list[str]:
    """Sends to servers that the dispatcher had been told of as leaving, beyond grace, slack and lateness."""
    wrong = []
    for sent in sends:
        at = told.get((sent.dispatcher, sent.server))
        if at is not None and sent.at > at + GRACE_S + SLACK_S + late_s:
            wrong.append(f"{sent.call_id} went to {sent.server} {sent.at - at:.3f} s after it was told")
    return wrong


@dataclass
class Agent:
    """What a dispatcher's own machine has of the list."""

    name: str
    keeps: bool  # whether a watch that a silence finds goes on at its end
    has: int = 0  # changes of the registry that have come here
    silent: bool = False
    hushed: float = 0.0  # when the open watches fell silent for good
    counts: float = 0.0  # nothing here counts as told before this
    writers: dict[asyncio.StreamWriter, int] = field(default_factory=dict)  # watches, and what they were told
    asked: int = 0


class DispatcherGroup:
    """All stand-ins on one loop in a thread of its own."""

    def __init__(self, folder: Path, dispatchers: int, workers: int, workers_per_port: int = 1) -> None:
        self.folder, self.names = folder, [f"n{n}" for n in range(dispatchers)]
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.settings: dict[str, Any] = OPTIONS | {"discovery": "pushed", "siblings": 200}
        self.tasks: set[asyncio.Task[None]] = set()
        self.sends: list[Sent] = []
        self.reported_at: dict[tuple[str, str], float] = {}
        self.stamps: list[tuple[str, str, str]] = []  # job, server, and the stamp that it came under
        self.changes: list[tuple[str, str]] = []  # the registry: server and state
        ports = [
            reserved_port() for _ in range(workers // workers_per_port)
        ]  # one listener may stand for several
        self.workers = {f"s-{n}": ports[n % len(ports)] for n in range(workers)}
        self.addresses = {name: ("127.0.0.1", reserved_port()) for name in self.names}
        self.agents: dict[str, Agent] = {}
        self.ports: dict[str, int] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.stopped = False
        self.max_delay_s = 0.0
        for port in ports:
            uids = [uid for uid, at in self.workers.items() if at == port]
            self.run_coroutine(asyncio.start_server(self._runner(uids), "127.0.0.1", port))
        for name in self.names:
            self.add_agent(name, keeps=True)
        threading.Thread(target=self._measure, daemon=True).start()
        self.clients = 0

    def run_coroutine(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def run_on_loop(self, action: Callable[[], None]) -> None:
        async def run() -> None:
            action()

        self.run_coroutine(run())

    def _measure(self) -> None:
        """The longest that this machine has let a thread wait: what is measured here may be so late."""
        while not self.stopped:
            before = time.monotonic()
            time.sleep(0.01)
            self.max_delay_s = max(self.max_delay_s, time.monotonic() - before - 0.01)

    # Agents.

    def add_agent(self, name: str, keeps: bool) -> None:
        """A new agent for a dispatcher, at an address of its own; the former one stays as it is."""
        former = self.agents.get(name)
        agent = self.agents[name] = Agent(name, keeps)
        if former is not None:
            agent.has = former.has
        self.ports[name] = reserved_port()
        self.run_coroutine(asyncio.start_server(self._watch(agent), "127.0.0.1", self.ports[name]))

    def _watch(self, agent: Agent) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await listen(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                writer.close()

        async def listen(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            agent.asked += 1
            assert head.startswith(b"GET /registry/instances?follow=1&since=")
            agent.writers[writer] = -1  # the first line is the whole list
            if agent.silent and not agent.keeps:
                del agent.writers[writer]  # it is open and will never say anything
                await reader.read()
                return
            self._tell(agent)
            while writer in agent.writers and not writer.is_closing():
                await asyncio.sleep(1.0)
                if writer in agent.writers and not agent.silent:
                    writer.write(b"1\r\n\n\r\n")
            await reader.read()

        return serve

    def _tell(self, agent: Agent) -> None:
        if agent.silent:
            return
        for writer, told in list(agent.writers.items()):
            if told == agent.has + 1:
                continue
            if told < 0:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            text = json.dumps(self.listing(agent.has), indent=1 if agent.has % 2 else None) + "\n"
            agent.writers[writer] = agent.has + 1
            writer.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))

    def listing(self, has: int) -> dict[str, Any]:
        """The whole list after so many changes."""
        states = {uid: "Ready" for uid in self.workers} | dict(self.changes[:has])
        targets = [
            {
                "uid": uid,
                "endpoint": f"127.0.0.1:{self.workers[uid]}",
                "az": "here",
                "model": "c8",
                "state": state,
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for uid, state in states.items()
        ]
        return {"rev": has + 1, "all": True, "targets": targets}

    def update_agent(self, name: str) -> None:
        """An agent gets what the registry has, unless it is silent."""
        agent, now = self.agents[name], time.monotonic()
        if agent.silent:
            return
        for uid, _ in self.changes[agent.has :]:
            told = max(now, agent.counts, agent.hushed + SILENT_S if agent.hushed else 0.0)
            self.reported_at.setdefault((name, uid), told)
        agent.has = len(self.changes)
        self._tell(agent)

    def drain_busiest_workers(self) -> None:
        """The servers that dispatchers use most just now leave; agents that speak get it at once."""

        def act() -> None:
            gone = {uid for uid, _ in self.changes}
            for name in self.names:
                mine = [s.server for s in self.sends[-60:] if s.dispatcher == name]
                used = Counter(uid for uid in mine if uid not in gone)
                if used:
                    gone.add(used.most_common(1)[0][0])
                    self.changes.append((used.most_common(1)[0][0], "Terminating"))
            for name in self.names:
                self.update_agent(name)

        self.run_on_loop(act)

    def set_agents_silent(self, on: bool, keeps: bool = True) -> None:
        """All agents are silent and learn nothing, or come back and learn all at once."""

        def act() -> None:
            for name, agent in self.agents.items():
                if on:
                    agent.keeps = keeps
                    agent.writers = agent.writers if keeps else {}
                agent.silent = on
                if not on:
                    agent.hushed = 0.0
                    self.update_agent(name)

        self.run_on_loop(act)

    def silence_open_watches(self) -> None:
        """What is open falls silent for good; new watches are answered."""

        def act() -> None:
            for agent in self.agents.values():
                agent.writers, agent.hushed = {}, time.monotonic()

        self.run_on_loop(act)

    def reset_watches(self) -> None:
        """The open watches are reset."""

        def act() -> None:
            for agent in self.agents.values():
                for writer in agent.writers:
                    writer.transport.abort()
                agent.writers = {}

        self.run_on_loop(act)

    # Runners.

    def _runner(self, uids: list[str]) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while first := await reader.read(1):
                    at = time.monotonic()
                    head = first + await reader.readuntil(b"\r\n\r\n")
                    length = re.search(rb"(?i)content-length: *(\d+)", head)
                    await reader.readexactly(int(length.group(1)) if length else 0)
                    found = re.search(rb"(?i)x-call-id: *(\S+)", head)
                    if found is None or not head.startswith(b"POST"):
                        writer.write(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
                        continue
                    call_id = found.group(1).decode()
                    if (stamp := re.search(rb"(?i)x-act-stamp: *([^\r]+)", head)) is not None:
                        self.stamps.append((call_id, uids[0], stamp.group(1).decode()))
                    self.sends.append(Sent(call_id.partition("-")[0], uids[0], at, call_id))
                    writer.write(b"HTTP/1.1 202 Taken\r\nContent-Length: 0\r\n\r\n")
                    for uid in uids:  # those of others are passed over
                        self.spawn(self._call_back(uid, call_id))
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                writer.close()

        return serve

    async def _call_back(self, uid: str, call_id: str) -> None:
        body = json.dumps({"id": call_id, "from": uid, "state": "done", "result": "ok"}).encode()
        head = b"POST /callback HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
        head %= len(body)
        await self._post(call_id.partition("-")[0], head + body)

    async def _post(self, name: str, request: bytes) -> None:
        """One request to a dispatcher on a connection of its own."""
        try:
            reader, writer = await asyncio.open_connection(*self.addresses[name])
            writer.write(request)
            await reader.read()
            writer.close()
        except (OSError, asyncio.CancelledError):
            pass  # it was killed

    # Dispatchers and their clients.

    def write_config(self, name: str) -> Path:
        """What a dispatcher reads at a start and at SIGHUP; the list it holds is its agent's."""
        path = self.folder / f"{name}.json"
        path.write_text(
            json.dumps(
                {
                    "settings": self.settings,
                    "seed": "1f",
                    "limits": {"sockets": 256},
                    "known": self.listing(self.agents[name].has),
                    "discovery": f"127.0.0.1:{self.ports[name]}",
                }
            )
        )
        return path

    def start(self, name: str) -> None:
        """Start a dispatcher, or start it anew."""
        environ = {
            "RELAY_NAME": name,
            "RELAY_CONFIG": str(self.write_config(name)),
            "RELAY_LISTEN": ":".join(map(str, self.addresses[name])),
            "RELAY_DISCOVERY": f"127.0.0.1:{self.ports[name]}",
        }
        with (self.folder / f"{name}.log").open("ab") as out:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *self.command(name)], env=dict(os.environ) | environ, stderr=out
            )

    def command(self, name: str) -> list[str]:
        return ["-m", "grebestack"]

    def kill(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait()

    def move_agent(self, name: str) -> None:
        """A new configuration names another agent: what it has counts some seconds later."""
        self.add_agent(name, keeps=True)
        self.agents[name].counts = time.monotonic() + MOVED_S
        self.write_config(name)
        self.processes[name].send_signal(signal.SIGHUP)

    def send_traffic(self, every_s: float) -> None:
        """Clients that send to each dispatcher without a pause."""

        async def run() -> None:
            while not self.stopped:
                for name in self.names:
                    self.clients += 1
                    self.spawn(
                        self._post(
                            name,
                            b"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s-%d\r\nX-Call-Class: reading\r\n"
                            b"X-Budget: 2.0\r\nIdempotency-Key: k%d\r\nConnection: close\r\n"
                            b"Content-Length: 0\r\n\r\n" % (name.encode(), self.clients, self.clients),
                        )
                    )
                await asyncio.sleep(every_s)

        asyncio.run_coroutine_threadsafe(run(), self.loop)

    def is_serving(self, name: str) -> bool:
        """Whether a runner has just got something from this dispatcher."""
        return any(sent.dispatcher == name and sent.at > time.monotonic() - 0.5 for sent in self.sends[-400:])

    def close(self) -> None:
        self.stopped = True
        for process in self.processes.values():
            process.kill()
            process.wait()

        async def end() -> None:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0.3)

        self.run_coroutine(end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


def run_fault_scenario(folder: Path, seed: int) -> DispatcherGroup:
    """All kinds of faults, in an order and with times drawn from the seed."""
    drawn = random.Random(seed)
    yard = DispatcherGroup(folder, dispatchers=3, workers=16)
    try:
        for name in yard.names:
            yard.start(name)
        yard.send_traffic(0.02)
        wait_until(lambda: all(yard.is_serving(name) for name in yard.names))

        def outage() -> None:
            yard.set_agents_silent(True, keeps=drawn.random() < 0.5)
            time.sleep(drawn.uniform(0.5, 2.0))
            victim = drawn.choice(yard.names)
            yard.kill(victim)
            yard.start(victim)
            time.sleep(drawn.uniform(2.5, 4.0))
            yard.drain_busiest_workers()
            yard.set_agents_silent(False)

        def hush() -> None:
            yard.silence_open_watches()
            time.sleep(drawn.uniform(0.0, 1.0))
            yard.drain_busiest_workers()
            time.sleep(3.0)
            yard.silence_open_watches()  # and those opened since once more
            yard.drain_busiest_workers()
            time.sleep(SILENT_S)

        def reset() -> None:
            yard.reset_watches()
            time.sleep(drawn.uniform(0.1, 0.6))
            yard.drain_busiest_workers()

        def move() -> None:
            name = drawn.choice(yard.names)
            yard.move_agent(name)
            time.sleep(drawn.uniform(0.0, 1.0))
            yard.drain_busiest_workers()
            time.sleep(MOVED_S)

        phases = [outage, hush, reset, move]
        drawn.shuffle(phases)
        for phase in phases:
            phase()
            time.sleep(1.0)
        wait_until(lambda: all(yard.is_serving(name) for name in yard.names))
    finally:
        yard.close()
    return yard
