"""One dispatcher's front, engine and connections on a loop of the test's own, between peers made of sockets.

Peers write and read by plain calls that don't wait, so that a test puts two events into one turn of the loop
in whichever order it wants; connections to servers come up when the test opens the gate.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from typing import Any

import uvloop

from grebestack.core import api
from grebestack.program.loop_clock import LoopClock
from grebestack.protocol.http_workers import HttpWorkers, LoadReportReader
from grebestack.protocol.platform import PlatformApi
from grebestack.routing.engine import Engine
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable
from grebestack.transport.client import Pool, Pools
from grebestack.transport.server import Acceptor
from tests.policy_driver import BASE, IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT

WAIT_TIMEOUT_S = 20.0  # what does not happen by then does not happen


class GatedPools(Pools):
    """Connections begin to come up while the gate is open."""

    gate: asyncio.Event

    async def _dial(self, pool: Pool) -> None:
        await self.gate.wait()
        await super()._dial(pool)


class Peer:
    """A server's listening socket and what came on its connections."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.connections: list[socket.socket] = []
        self.received: dict[int, bytes] = {}
        self.ended: set[int] = set()  # connections that the dispatcher has ended

    def read_available(self) -> None:
        """Accept and read whatever is there."""
        try:
            while True:
                taken, _ = self.listener.accept()
                taken.setblocking(False)
                self.received[len(self.connections)] = b""
                self.connections.append(taken)
        except BlockingIOError:
            pass
        for number, taken in enumerate(self.connections):
            try:
                while number not in self.ended and (data := taken.recv(65536)):
                    self.received[number] += data
                self.ended.add(number)
            except BlockingIOError:
                pass
            except OSError:
                self.ended.add(number)

    def complete_requests(self) -> list[bytes]:
        """The requests of which the last byte has come; a DELETE counts as well."""
        self.read_available()
        return [data for data in self.received.values() if b"\r\n\r\n" in data]

    def send(self, number: int, data: bytes) -> None:
        self.connections[number].send(data)

    def reset(self, number: int) -> None:
        """End a connection as a process that dies does."""
        self.connections[number].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.connections[number].close()
        self.ended.add(number)

    def close(self) -> None:
        for one in (self.listener, *self.connections):
            one.close()


class Client:
    """A client's connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address)
        self.socket.setblocking(False)
        self.received = b""
        self.close_reason = ""  # "" while it is open, then "closed" or "reset"

    def send(self, data: bytes) -> None:
        self.socket.send(data)

    def send_job(
        self, call_id: str, job_class: str = "view", headers: str = "", body: bytes = b"body"
    ) -> None:
        """Ask for a job."""
        key = f"Idempotency-Key: {call_id}\r\n"
        self.send(
            f"POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: {call_id}\r\nX-Call-Class: {job_class}\r\n{key}"
            f"{headers}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def read_available(self) -> bytes:
        try:
            while not self.close_reason and (data := self.socket.recv(65536)):
                self.received += data
            self.close_reason = self.close_reason or "closed"
        except BlockingIOError:
            pass
        except ConnectionError:
            self.close_reason = "reset"
        return self.received

    @property
    def status(self) -> int:
        """Of the first answer, 0 without one."""
        line = self.read_available().partition(b"\r\n\r\n")
        return int(line[0].split(b" ")[1]) if line[1] else 0

    def close(self) -> None:
        self.socket.close()


class InProcessDispatcher:
    """What is between the peers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: api.Settings, servers: int) -> None:
        self.loop = loop
        self.table = WorkerTable()
        self.engine = Engine(settings, 1, LoopClock(loop), self.table)
        self.pools = GatedPools(loop, 64, 30.0, 60.0)
        self.pools.gate = asyncio.Event()
        self.pools.gate.set()
        self.runners = self.engine.workers = HttpWorkers(self.engine, self.pools, LoadReportReader({}))
        self.front = PlatformApi(self.engine, settings, self.runners.on_callback)
        self.front.ready = True
        self.acceptor = Acceptor(self.front, 64)
        self.peers = [Peer() for _ in range(servers)]
        self.clients: list[Client] = []
        self.set_worker_states("Ready" for _ in self.peers)

    async def begin(self) -> None:
        self.server = await self.loop.create_server(self.acceptor, "127.0.0.1", 0)
        self.address: tuple[str, int] = self.server.sockets[0].getsockname()

    def set_worker_states(self, states: Iterable[str]) -> None:
        """What discovery tells."""
        named = {"Ready": api.WorkerState.READY, "Terminating": api.WorkerState.DRAINING}
        self.table.update(
            api.ListKind.FULL,
            [
                WorkerEndpoint(api.WorkerEntry(f"s{n}", state=named[state]), peer.address)
                for n, (peer, state) in enumerate(zip(self.peers, states, strict=True))
            ],
        )

    def client(self) -> Client:
        self.clients.append(Client(self.address))
        return self.clients[-1]

    def call_back(self, call_id: str, server: str, state: str = "done", **more: Any) -> None:
        """A call-back, taken in this very turn."""
        what = {"id": call_id, "from": server, "state": state} | more
        self.runners.on_callback(json.dumps(what).encode())

    async def wait_until(self, true: Callable[[], object]) -> None:
        """Let the loop turn until something is so; how long that takes on a busy machine does not matter."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not true():
                await asyncio.sleep(0.001)

    async def run_loop(self, count: int = 50) -> None:
        """Let the loop turn, for what is to be seen not to happen: what is ready has happened by then."""
        for _ in range(count):
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)

    def close(self) -> None:
        self.server.close()
        for caller in self.clients:
            caller.close()
        for peer in self.peers:
            peer.close()


def settings(**changes: Any) -> api.Settings:
    """Three classes, view (safe), book (keyed) and order (unsafe), and no aims that end a wait."""
    retry_window_ms = changes.pop("retry_window_ms", 30_000.0)
    classes = tuple(
        replace(
            c,
            latency_objective_ms=20_000.0,
            deadline_ms=30_000.0,
            retry_window_ms=retry_window_ms,
            group=api.Group.ALL,
        )
        for c in (IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT)
    )
    changes = {"reports_attempt_start": False, "hedging_enabled": False, "connect_timeout_ms": 50.0} | changes
    return replace(BASE, classes=classes, **changes)


def run_with_dispatcher(
    test: Callable[[InProcessDispatcher], Awaitable[None]], worker_count: int = 1, **changes: Any
) -> None:
    """Run a test on a stage of its own."""

    async def run() -> None:
        stage = InProcessDispatcher(asyncio.get_running_loop(), settings(**changes), worker_count)
        await stage.begin()
        try:
            await test(stage)
        finally:
            stage.close()

    uvloop.run(run())
