"""One dispatcher's API, engine and connections on a test's own event loop, between clients and workers.

Clients and workers read and write without blocking, so that a test can put two events into one turn of the
loop in any order. Connections to workers are established only while the test keeps the gate open.
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
from grebestack.transport.acceptor import Acceptor
from grebestack.transport.connection_pool import ConnectionPool, ConnectionPools
from tests.policy_driver import BASE, IDEMPOTENT, IDEMPOTENT_WITH_KEY, NOT_IDEMPOTENT

WAIT_TIMEOUT_S = 20.0  # a condition that is not met by then is taken to be never met


class GatedPools(ConnectionPools):
    """Connections are established only while the gate is open."""

    gate: asyncio.Event

    async def _open_connection(self, pool: ConnectionPool) -> None:
        await self.gate.wait()
        await super()._open_connection(pool)


class Peer:
    """A worker: its listening socket, its connections and what was received on them."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.connections: list[socket.socket] = []
        self.received: dict[int, bytes] = {}
        self.ended: set[int] = set()  # connections that the dispatcher has ended

    def read_available(self) -> None:
        """Accept and read whatever is available."""
        try:
            while True:
                connection, _ = self.listener.accept()
                connection.setblocking(False)
                self.received[len(self.connections)] = b""
                self.connections.append(connection)
        except BlockingIOError:
            pass
        for number, connection in enumerate(self.connections):
            try:
                while number not in self.ended and (data := connection.recv(65536)):
                    self.received[number] += data
                self.ended.add(number)
            except BlockingIOError:
                pass
            except OSError:
                self.ended.add(number)

    def complete_requests(self) -> list[bytes]:
        """Return the requests whose head is complete, including DELETE requests."""
        self.read_available()
        return [data for data in self.received.values() if b"\r\n\r\n" in data]

    def send(self, number: int, data: bytes) -> None:
        self.connections[number].send(data)

    def reset(self, number: int) -> None:
        """Reset a connection, as the death of a process does."""
        self.connections[number].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.connections[number].close()
        self.ended.add(number)

    def close(self) -> None:
        for sock in (self.listener, *self.connections):
            sock.close()


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
        """Post a job."""
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
        """The status of the first answer; 0 if there is none."""
        head = self.read_available().partition(b"\r\n\r\n")
        return int(head[0].split(b" ")[1]) if head[1] else 0

    def close(self) -> None:
        self.socket.close()


class InProcessDispatcher:
    """The dispatcher between clients and workers, all in this process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: api.Settings, worker_count: int) -> None:
        self.loop = loop
        self.table = WorkerTable()
        self.engine = Engine(settings, 1, LoopClock(loop), self.table)
        self.pools = GatedPools(loop, 64, 30.0, 60.0)
        self.pools.gate = asyncio.Event()
        self.pools.gate.set()
        self.workers = self.engine.workers = HttpWorkers(self.engine, self.pools, LoadReportReader({}))
        self.api = PlatformApi(self.engine, settings, self.workers.on_callback)
        self.api.ready = True
        self.acceptor = Acceptor(self.api, 64)
        self.peers = [Peer() for _ in range(worker_count)]
        self.clients: list[Client] = []
        self.set_worker_states("Ready" for _ in self.peers)

    async def listen(self) -> None:
        self.server = await self.loop.create_server(self.acceptor, "127.0.0.1", 0)
        self.address: tuple[str, int] = self.server.sockets[0].getsockname()

    def set_worker_states(self, states: Iterable[str]) -> None:
        """Apply an endpoint list with a state for each worker."""
        worker_states = {"Ready": api.WorkerState.READY, "Terminating": api.WorkerState.DRAINING}
        self.table.update(
            api.ListKind.FULL,
            [
                WorkerEndpoint(api.WorkerEntry(f"s{n}", state=worker_states[state]), peer.address)
                for n, (peer, state) in enumerate(zip(self.peers, states, strict=True))
            ],
        )

    def client(self) -> Client:
        self.clients.append(Client(self.address))
        return self.clients[-1]

    def call_back(self, call_id: str, worker: str, state: str = "done", **fields: Any) -> None:
        """Deliver a call-back within the current turn of the loop."""
        message = {"id": call_id, "from": worker, "state": state} | fields
        self.workers.on_callback(json.dumps(message).encode())

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Run the loop until a condition is met, however long that takes on a busy machine."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.001)

    async def run_loop(self, count: int = 50) -> None:
        """Run the loop for some turns, after which everything that was ready has been processed."""
        for _ in range(count):
            await asyncio.sleep(0)
        await asyncio.sleep(0.02)

    def close(self) -> None:
        self.server.close()
        for client in self.clients:
            client.close()
        for peer in self.peers:
            peer.close()


def settings(**changes: Any) -> api.Settings:
    """Settings with long objectives; classes: view (idempotent), book (keyed), order (not idempotent)."""
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
    """Run a test with a dispatcher of its own."""

    async def run() -> None:
        dispatcher = InProcessDispatcher(asyncio.get_running_loop(), settings(**changes), worker_count)
        await dispatcher.listen()
        try:
            await test(dispatcher)
        finally:
            dispatcher.close()

    uvloop.run(run())
