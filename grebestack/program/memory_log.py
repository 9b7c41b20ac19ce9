"""Logs the memory of the process and what the requests of clients hold of it: `event=memory`."""

from __future__ import annotations

import asyncio
import logging

from grebestack.program.process_memory import BYTES_PER_MB, ProcessMemory
from grebestack.transport.acceptor import Acceptor

log = logging.getLogger(__name__)
LOG_INTERVAL_S = 1.0
MIN_LOGGED_CHANGE_BYTES = BYTES_PER_MB


class MemoryLog:
    """Logs once a second, if the memory has changed."""

    def __init__(self, loop: asyncio.AbstractEventLoop, memory: ProcessMemory, acceptor: Acceptor) -> None:
        """Log once started."""
        self.loop, self.memory, self.acceptor = loop, memory, acceptor
        self.logged_bytes = 0

    def start(self) -> None:
        """Log now and periodically."""
        self.memory.count_files()
        resident_bytes = self.memory.resident_bytes()
        if abs(resident_bytes - self.logged_bytes) >= MIN_LOGGED_CHANGE_BYTES:
            self.logged_bytes = resident_bytes
            self._log(resident_bytes)
        self.loop.call_later(LOG_INTERVAL_S, self.start)

    def _log(self, resident_bytes: int) -> None:
        acceptor = self.acceptor
        kv = {
            "resident_mb": round(resident_bytes / BYTES_PER_MB, 1),
            "files_mb": round(self.memory.file_bytes / BYTES_PER_MB, 1),
            "requests_mb": round(acceptor.held_bytes / BYTES_PER_MB, 1),
            "requests_max_mb": round(acceptor.max_held_bytes / BYTES_PER_MB, 1),
            "clients": len(acceptor.connections),
            "idle": len(acceptor.idle),
            "awaiting_request": len(acceptor.awaiting_request),
            "lingering": len(acceptor.lingering),
        }
        log.info("memory", extra={"kv": kv})
