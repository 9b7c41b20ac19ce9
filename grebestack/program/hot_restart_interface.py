"""The interface of the dispatcher that a hot restart uses."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any, Protocol

from grebestack.program import admin_operations

if TYPE_CHECKING:
    from grebestack.protocol.http_workers import HttpWorkers
    from grebestack.protocol.platform import PlatformApi
    from grebestack.protocol.worker_list import WorkerListReader
    from grebestack.routing.engine import Engine
    from grebestack.transport.acceptor import Acceptor


class RestartableDispatcher(admin_operations.Dispatcher, Protocol):
    """A dispatcher that can be taken over, and can take over."""

    loop: asyncio.AbstractEventLoop
    list_reader: WorkerListReader
    engine: Engine
    http_workers: HttpWorkers
    platform_api: PlatformApi
    acceptor: Acceptor

    def limit_connections(self, processes: int) -> None:
        """Limit connections to this process's part, if so many processes share them."""

    def stop_listening(self) -> None:
        """Close this process's copy of the listener."""

    def accept_and_serve(self) -> Coroutine[Any, Any, None]:
        """Listen for clients and become ready."""
