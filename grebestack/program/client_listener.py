"""The listener of clients, and how many connections the process may have."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from dataclasses import dataclass

from grebestack.program.config.errors import StartError
from grebestack.program.config.model import Config
from grebestack.transport.server import SWEEP_INTERVAL_S, Acceptor

log = logging.getLogger(__name__)
BACKLOG = 1024  # clients, or call-backs of workers, that connect at the same moment
_OWN_SOCKETS = 48  # standard streams, the loop's own, listeners, discovery, clients that are turned away
_ADMIN_SOCKETS = 20  # kept for the admin server, where there is one
_OWN_SOCKETS_IN_RESTART = 44  # both of these for each process of a hot restart
_MIN_CONNECTIONS = 64
_MIN_WORKER_CONNECTIONS_IN_RESTART = 8


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections may be open at once."""

    clients: int  # at each front
    workers: int


def connection_limits(config: Config, processes: int = 1) -> ConnectionLimits:
    """Divide the configured sockets among the processes of a hot restart, or for the one without."""
    # A front accepts an eighth more clients than its limit, to answer those that it turns away.
    if processes == 1:
        reserved = _OWN_SOCKETS + (_ADMIN_SOCKETS if config.control else 0)
        budget = max(_MIN_CONNECTIONS, config.max_sockets - reserved)
        clients = budget * 13 // 20
        fronts = 1 if config.drmaa is None else 2
        return ConnectionLimits(clients // fronts, budget - clients * 9 // 8)
    # Clients' connections move from one process to the other, so both may have as many as there are.
    clients = config.max_sockets * 21 // 50
    workers = (config.max_sockets - clients * 9 // 8) // processes - _OWN_SOCKETS_IN_RESTART
    return ConnectionLimits(clients, max(_MIN_WORKER_CONNECTIONS_IN_RESTART, workers))


class ClientListener:
    """Listens for clients, at the address or on the socket that the platform holds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config, acceptor: Acceptor) -> None:
        """Prepare a listener that is not open."""
        self.loop, self.acceptor = loop, acceptor
        self.name, self.address, self.inherited_fd = config.name, config.listen, config.listen_fd
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Accept clients.

        Raises
        ------
        StartError : the platform's descriptor is no socket.
        OSError : the address can't be used.
        """
        if self.server is not None:
            return
        if self.inherited_fd is None:
            self.server = await self.loop.create_server(self.acceptor, *self.address, backlog=BACKLOG)
        else:
            sock = self._inherited_socket(self.inherited_fd)
            self.server = await self.loop.create_server(self.acceptor, sock=sock, backlog=BACKLOG)
        address = ":".join(map(str, self.address))
        log.info("listening", extra={"kv": {"name": self.name, "address": address}})

    @staticmethod
    def _inherited_socket(descriptor: int) -> socket.socket:
        try:
            return socket.socket(fileno=os.dup(descriptor))
        except OSError as error:
            raise StartError(f"RELAY_LISTEN_FD: {descriptor} is no open socket") from error

    def close(self) -> None:
        """Close this process's own copy of the listener."""
        if self.server is not None:
            self.server.close()
            self.server = None


def sweep_periodically(loop: asyncio.AbstractEventLoop, acceptor: Acceptor) -> None:
    """Have an acceptor end connections that are overdue, now and every `SWEEP_INTERVAL_S` seconds."""
    acceptor.sweep()
    loop.call_later(SWEEP_INTERVAL_S, sweep_periodically, loop, acceptor)
