"""Several real dispatchers with stand-in workers, a list agent for each, and faults chosen by a seed.

The workers record when they receive the first byte of a job. `late_sends` compares these times with those at
which each agent reported a worker as draining.
"""

from __future__ import annotations

import asyncio
import contextlib
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

from tests.loop_thread import LoopThread
from tests.ports import reserved_port
from tests.standins import SETTINGS, wait_until

# The drain grace of the settings, and the tolerances that the platform's rules define.
GRACE_S, SLACK_S, SILENT_S, MOVED_S = 0.25, 0.05, 6.0, 4.0


@dataclass(frozen=True)
class Sent:
    """The first byte of a job, as received by a worker."""

    dispatcher: str
    worker: str
    at: float
    call_id: str


def late_sends(sends: list[Sent], reported_at: dict[tuple[str, str], float], max_delay_s: float) -> list[str]:
    """Return the sends to workers that were reported as draining for longer than all tolerances."""
    late = []
    for sent in sends:
        at = reported_at.get((sent.dispatcher, sent.worker))
        if at is not None and sent.at > at + GRACE_S + SLACK_S + max_delay_s:
            late.append(f"{sent.call_id} went to {sent.worker} {sent.at - at:.3f} s after the report")
    return late


@dataclass
class Agent:
    """The agent on a dispatcher's own machine, which serves the endpoint list to it."""

    name: str
    keeps_watches: bool  # whether open watches continue after an outage
    version: int = 0  # how many changes of the registry the agent has
    silent: bool = False
    watches_silenced_at: float = 0.0  # when the open watches were silenced for good
    counts_from: float = 0.0  # no report counts before this time
    writers: dict[asyncio.StreamWriter, int] = field(default_factory=dict)  # by watch: the version sent
    request_count: int = 0


class DispatcherGroup:
    """Dispatcher processes; their workers, agents and clients run on an event loop in a thread of its own."""

    def __init__(self, folder: Path, dispatchers: int, workers: int, workers_per_port: int = 1) -> None:
        self.folder, self.names = folder, [f"n{n}" for n in range(dispatchers)]
        self.loop_thread = LoopThread()
        self.loop = self.loop_thread.loop
        self.settings: dict[str, Any] = SETTINGS | {"discovery": "pushed", "siblings": 200}
        self.tasks: set[asyncio.Task[None]] = set()
        self.sends: list[Sent] = []
        # By dispatcher and worker: when the dispatcher's agent had reported the worker as draining.
        self.reported_at: dict[tuple[str, str], float] = {}
        self.stamps: list[tuple[str, str, str]] = []  # job, worker, and the stamp in the request's header
        self.changes: list[tuple[str, str]] = []  # of the registry: worker and new state
        # One listener may serve several workers.
        ports = [reserved_port() for _ in range(workers // workers_per_port)]
        self.workers = {f"s-{n}": ports[n % len(ports)] for n in range(workers)}
        self.addresses = {name: ("127.0.0.1", reserved_port()) for name in self.names}
        self.agents: dict[str, Agent] = {}
        self.ports: dict[str, int] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.stopped = False
        self.max_delay_s = 0.0
        for port in ports:
            uids = [uid for uid, at in self.workers.items() if at == port]
            self.loop_thread.serve(self._serve_jobs(uids), port)
        for name in self.names:
            self.add_agent(name, keeps_watches=True)
        threading.Thread(target=self._measure_delay, daemon=True).start()
        self.clients = 0

    def run_coroutine(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return self.loop_thread.run(coroutine)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def run_on_loop(self, action: Callable[[], None]) -> None:
        async def run() -> None:
            action()

        self.run_coroutine(run())

    def _measure_delay(self) -> None:
        """Record the longest delay of a thread on this machine, by which any recorded time may be late."""
        while not self.stopped:
            before = time.monotonic()
            time.sleep(0.01)
            self.max_delay_s = max(self.max_delay_s, time.monotonic() - before - 0.01)

    # Agents.

    def add_agent(self, name: str, keeps_watches: bool) -> None:
        """Start a new agent for a dispatcher, at a new address; the previous one keeps running."""
        previous = self.agents.get(name)
        agent = self.agents[name] = Agent(name, keeps_watches)
        if previous is not None:
            agent.version = previous.version
        self.ports[name] = reserved_port()
        self.loop_thread.serve(self._serve_watches(agent), self.ports[name])

    def _serve_watches(self, agent: Agent) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await watch(reader, writer)

        async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            agent.request_count += 1
            assert head.startswith(b"GET /registry/instances?follow=1&since=")
            agent.writers[writer] = -1  # the first line is the complete list
            if agent.silent and not agent.keeps_watches:
                del agent.writers[writer]  # it is open but will stay silent
                await reader.read()
                return
            self._send_list(agent)
            while writer in agent.writers and not writer.is_closing():
                await asyncio.sleep(1.0)
                if writer in agent.writers and not agent.silent:
                    writer.write(b"1\r\n\n\r\n")
            await reader.read()

        return serve

    def _send_list(self, agent: Agent) -> None:
        if agent.silent:
            return
        for writer, version in list(agent.writers.items()):
            if version == agent.version + 1:
                continue
            if version < 0:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            text = (
                json.dumps(self.endpoint_list(agent.version), indent=1 if agent.version % 2 else None) + "\n"
            )
            agent.writers[writer] = agent.version + 1
            writer.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))

    def endpoint_list(self, version: int) -> dict[str, Any]:
        """Return the complete list after this many changes."""
        states = {uid: "Ready" for uid in self.workers} | dict(self.changes[:version])
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
        return {"rev": version + 1, "all": True, "targets": targets}

    def update_agent(self, name: str) -> None:
        """Update an agent from the registry, unless it is silent."""
        agent, now = self.agents[name], time.monotonic()
        if agent.silent:
            return
        for uid, _ in self.changes[agent.version :]:
            reported_at = max(
                now,
                agent.counts_from,
                agent.watches_silenced_at + SILENT_S if agent.watches_silenced_at else 0.0,
            )
            self.reported_at.setdefault((name, uid), reported_at)
        agent.version = len(self.changes)
        self._send_list(agent)

    def drain_busiest_workers(self) -> None:
        """Drain the workers that are used most at present; agents that are not silent are updated at once."""

        def apply() -> None:
            drained = {uid for uid, _ in self.changes}
            for name in self.names:
                own = [s.worker for s in self.sends[-60:] if s.dispatcher == name]
                used = Counter(uid for uid in own if uid not in drained)
                if used:
                    drained.add(used.most_common(1)[0][0])
                    self.changes.append((used.most_common(1)[0][0], "Terminating"))
            for name in self.names:
                self.update_agent(name)

        self.run_on_loop(apply)

    def set_agents_silent(self, on: bool, keeps_watches: bool = True) -> None:
        """Silence all agents and stop updating them, or end that and update them."""

        def apply() -> None:
            for name, agent in self.agents.items():
                if on:
                    agent.keeps_watches = keeps_watches
                    agent.writers = agent.writers if keeps_watches else {}
                agent.silent = on
                if not on:
                    agent.watches_silenced_at = 0.0
                    self.update_agent(name)

        self.run_on_loop(apply)

    def silence_open_watches(self) -> None:
        """Silence all open watches for good; new watches are answered."""

        def apply() -> None:
            for agent in self.agents.values():
                agent.writers, agent.watches_silenced_at = {}, time.monotonic()

        self.run_on_loop(apply)

    def reset_watches(self) -> None:
        """Reset all open watches."""

        def apply() -> None:
            for agent in self.agents.values():
                for writer in agent.writers:
                    writer.transport.abort()
                agent.writers = {}

        self.run_on_loop(apply)

    # Workers.

    def _serve_jobs(self, uids: list[str]) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Any]:
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
                    for uid in uids:  # call-backs of the wrong workers are ignored
                        self.spawn(self._call_back(uid, call_id))
            except (OSError, asyncio.IncompleteReadError):
                pass  # the dispatcher was killed

        return serve

    async def _call_back(self, uid: str, call_id: str) -> None:
        body = json.dumps({"id": call_id, "from": uid, "state": "done", "result": "ok"}).encode()
        head = b"POST /callback HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
        head %= len(body)
        await self._post(call_id.partition("-")[0], head + body)

    async def _post(self, name: str, request: bytes) -> None:
        """Send a request to a dispatcher on a new connection."""
        with contextlib.suppress(OSError):  # it was killed
            reader, writer = await self.loop_thread.connect(*self.addresses[name])
            try:
                writer.write(request)
                await reader.read()
            finally:
                self.loop_thread.disconnect(writer)

    # Dispatchers and their clients.

    def write_config(self, name: str) -> Path:
        """Write the file that a dispatcher reads at a start and at SIGHUP; its list is that of the agent."""
        path = self.folder / f"{name}.json"
        path.write_text(
            json.dumps(
                {
                    "settings": self.settings,
                    "seed": "1f",
                    "limits": {"sockets": 256},
                    "known": self.endpoint_list(self.agents[name].version),
                    "discovery": f"127.0.0.1:{self.ports[name]}",
                }
            )
        )
        return path

    def start(self, name: str) -> None:
        """Start or restart a dispatcher."""
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
        """Move a dispatcher to a new agent by a new configuration; its reports count some seconds later."""
        self.add_agent(name, keeps_watches=True)
        self.agents[name].counts_from = time.monotonic() + MOVED_S
        self.write_config(name)
        self.processes[name].send_signal(signal.SIGHUP)

    def send_traffic(self, every_s: float) -> None:
        """Have clients send jobs to each dispatcher continuously."""

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
        """Whether a worker has received a job from this dispatcher in the last half second."""
        return any(sent.dispatcher == name and sent.at > time.monotonic() - 0.5 for sent in self.sends[-400:])

    def close(self) -> None:
        self.stopped = True
        for process in self.processes.values():
            process.kill()
            process.wait()

        self.loop_thread.close()


def run_fault_scenario(folder: Path, seed: int) -> DispatcherGroup:
    """Run all kinds of faults; the seed determines their order and times."""
    randomness = random.Random(seed)
    group = DispatcherGroup(folder, dispatchers=3, workers=16)
    try:
        for name in group.names:
            group.start(name)
        group.send_traffic(0.02)
        wait_until(lambda: all(group.is_serving(name) for name in group.names))

        def agent_outage() -> None:
            group.set_agents_silent(True, keeps_watches=randomness.random() < 0.5)
            time.sleep(randomness.uniform(0.5, 2.0))
            victim = randomness.choice(group.names)
            group.kill(victim)
            group.start(victim)
            time.sleep(randomness.uniform(2.5, 4.0))
            group.drain_busiest_workers()
            group.set_agents_silent(False)

        def silent_watches() -> None:
            group.silence_open_watches()
            time.sleep(randomness.uniform(0.0, 1.0))
            group.drain_busiest_workers()
            time.sleep(3.0)
            group.silence_open_watches()  # also those that were opened since
            group.drain_busiest_workers()
            time.sleep(SILENT_S)

        def reset_connections() -> None:
            group.reset_watches()
            time.sleep(randomness.uniform(0.1, 0.6))
            group.drain_busiest_workers()

        def move_to_new_agent() -> None:
            name = randomness.choice(group.names)
            group.move_agent(name)
            time.sleep(randomness.uniform(0.0, 1.0))
            group.drain_busiest_workers()
            time.sleep(MOVED_S)

        faults = [agent_outage, silent_watches, reset_connections, move_to_new_agent]
        randomness.shuffle(faults)
        for fault in faults:
            fault()
            time.sleep(1.0)
        wait_until(lambda: all(group.is_serving(name) for name in group.names))
    finally:
        group.close()
    return group
