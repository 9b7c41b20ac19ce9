"""An event loop in a thread of its own, for stand-ins; it closes every connection that it has opened."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
RESULT_TIMEOUT_S = 30.0


class LoopThread:
    """A running event loop, with the servers and connections that are opened on it."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the loop, from another thread; return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(RESULT_TIMEOUT_S)

    def serve(self, serve: Serve, port: int = 0) -> int:
        """Listen on a port of the loopback address; each connection ends when `serve` returns."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.add(writer)
            try:
                await serve(reader, writer)
            except asyncio.CancelledError:
                pass  # the server's callback logs it otherwise
            finally:
                self.disconnect(writer)

        server = self.run(asyncio.start_server(accept, "127.0.0.1", port))
        self.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def connect(self, host: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, which ends with `disconnect` or `close`."""
        reader, writer = await asyncio.open_connection(host, port)
        self.writers.add(writer)
        return reader, writer

    def disconnect(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection once all is written."""
        writer.close()
        self.writers.discard(writer)

    def close(self) -> None:
        """End all tasks, servers and connections, and the loop."""

        async def end() -> None:
            for server in self.servers:
                server.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for writer in self.writers:
                writer.transport.abort()
            await asyncio.sleep(0.01)  # the transports tell of their end in the next turn

        self.run(end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(RESULT_TIMEOUT_S)
        self.loop.close()
