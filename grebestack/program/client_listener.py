"""The listening socket for clients, and the limits on connections of the process."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from dataclasses import dataclass

from grebestack.program.config.errors import StartError
from grebestack.program.config.model import Config
from grebestack.program.process_memory import BYTES_PER_MB
from grebestack.transport.acceptor import SWEEP_INTERVAL_S, Acceptor

log = logging.getLogger(__name__)
BACKLOG = 1024  # clients or workers' callbacks that connect at the same moment
LISTENING_HANDLES = 8  # the event loop accepts one connection a turn on each
HELD_SHARE_OF_MEMORY = 6.0  # the rest is for the program, its connections, and copies
_OWN_SOCKETS = 56  # standard streams, event loop, listeners, discovery, clients that are rejected
_ADMIN_SOCKETS = 20  # reserved for the admin server, if there is one
_OWN_SOCKETS_IN_RESTART = 52  # the sum of both, for each process of a hot restart
_MIN_CONNECTIONS = 64
_MIN_WORKER_CONNECTIONS_IN_RESTART = 8


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections may be open at once."""

    clients: int  # of each API server
    workers: int


def held_bytes_limit(config: Config, processes: int = 1) -> int:
    """The memory that the requests of one API server may hold, in each process of a hot restart."""
    api_servers = 1 if config.drmaa is None else 2
    return int(config.max_memory_mb * BYTES_PER_MB / HELD_SHARE_OF_MEMORY) // (api_servers * processes)


def connection_limits(config: Config, processes: int = 1) -> ConnectionLimits:
    """Divide the configured sockets among clients and workers, for each process of a hot restart."""
    # An API server accepts an eighth more clients than its limit, to answer those that it rejects.
    if processes == 1:
        reserved = _OWN_SOCKETS + (_ADMIN_SOCKETS if config.control else 0)
        budget = max(_MIN_CONNECTIONS, config.max_sockets - reserved)
        clients = budget * 13 // 20
        api_servers = 1 if config.drmaa is None else 2
        return ConnectionLimits(clients // api_servers, budget - clients * 9 // 8)
    # Client connections move between the two processes, so either may have all of them.
    clients = config.max_sockets * 21 // 50
    workers = (config.max_sockets - clients * 9 // 8) // processes - _OWN_SOCKETS_IN_RESTART
    return ConnectionLimits(clients, max(_MIN_WORKER_CONNECTIONS_IN_RESTART, workers))


def duplicate_socket(descriptor: int) -> socket.socket:
    """Return a socket of its own for a descriptor, which stays open."""
    return socket.socket(fileno=os.dup(descriptor))


class ClientListener:
    """Listens for clients, on the configured address or on the socket that the platform passes in."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, acceptor: Acceptor) -> None:
        """Create the listener without opening it."""
        self.loop, self.acceptor = loop, acceptor
        self.name, self.address, self.inherited_fd = config.name, config.listen, config.listen_fd
        self.servers: list[asyncio.Server] = []

    async def open(self) -> None:
        """Accept clients.

        Raises
        ------
        StartError : the inherited descriptor is not a socket.
        OSError : the address is unusable.
        """
        if self.servers:
            return
        if self.inherited_fd is None:
            first = await self.loop.create_server(self.acceptor, *self.address, backlog=BACKLOG)
        else:
            sock = self._inherited_socket(self.inherited_fd)
            first = await self.loop.create_server(self.acceptor, sock=sock, backlog=BACKLOG)
        self.servers.append(first)
        try:
            for _ in range(LISTENING_HANDLES - 1):
                sock = duplicate_socket(first.sockets[0].fileno())
                self.servers.append(await self.loop.create_server(self.acceptor, sock=sock, backlog=BACKLOG))
        except OSError as error:  # it accepts more slowly
            fields = {"handles": len(self.servers), "why": str(error)}
            log.warning("few_listening_handles", extra={"kv": fields})
        address = ":".join(map(str, self.address))
        log.info("listening", extra={"kv": {"name": self.name, "address": address}})

    @staticmethod
    def _inherited_socket(descriptor: int) -> socket.socket:
        try:
            return duplicate_socket(descriptor)
        except OSError as error:
            raise StartError(f"RELAY_LISTEN_FD: {descriptor} is no open socket") from error

    def close(self) -> None:
        """Close this process's own copy of the listener."""
        for server in self.servers:
            server.close()
        self.servers.clear()


def sweep_periodically(loop: asyncio.AbstractEventLoop, acceptor: Acceptor) -> None:
    """Close connections that have timed out, now and every `SWEEP_INTERVAL_S` seconds."""
    acceptor.sweep()
    loop.call_later(SWEEP_INTERVAL_S, sweep_periodically, loop, acceptor)
