"""Keeps the process under its memory limit, by the memory that it really takes: `event=memory_step`."""

from __future__ import annotations

import asyncio
import logging
import time

from grebestack.program.heap import give_back_freed_memory
from grebestack.program.process_memory import BYTES_PER_MB, ProcessMemory
from grebestack.transport.acceptor import Acceptor
from grebestack.transport.memory_step import MemoryStep, MemoryThresholds

log = logging.getLogger(__name__)
CHECK_INTERVAL_S = 0.02
LOG_INTERVAL_S = 0.25
GIVE_BACK_INTERVAL_S = 1.0
URGENT_GIVE_BACK_INTERVAL_S = 0.1  # in any step but `MemoryStep.NORMAL`
MAX_GIVE_BACK_INTERVAL_S = 60.0
MIN_GROWTH_BYTES = 4 * BYTES_PER_MB  # since the process serves, before freed memory is given back
MIN_GIVEN_BACK_BYTES = BYTES_PER_MB  # with less, the next time is put off


class MemoryGuard:
    """Reads the memory of the process in short intervals and after each some data, and has requests refused.

    It relies on no count of what requests hold: such counts have been wrong.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        memory: ProcessMemory,
        acceptor: Acceptor,
        limit_bytes: int | None,
    ) -> None:
        """Watch once started; without a limit, only freed memory is given back."""
        self.loop, self.memory, self.acceptor = loop, memory, acceptor
        self.limit_bytes, self.processes = limit_bytes, 1
        self.base_bytes = 0
        self.step = MemoryStep.NORMAL
        self.refused = 0  # requests, in the steps since the last line of the log
        self.next_log_s = self.gave_back_at_s = 0.0
        self.give_back_interval_s = GIVE_BACK_INTERVAL_S

    def start(self) -> None:
        """Take the memory of now for that of a process without clients, and watch."""
        self.base_bytes = self.memory.resident_bytes()
        self.acceptor.check_memory = self.check
        self._check_periodically()

    def set_processes(self, processes: int) -> None:
        """Set how many processes of a hot restart share the limit."""
        self.processes = processes

    def _check_periodically(self) -> None:
        self.check()
        self.loop.call_later(CHECK_INTERVAL_S, self._check_periodically)

    def check(self) -> None:
        """Read the memory, and do what its step asks for."""
        resident_bytes = self.memory.resident_bytes()
        self._set_step(resident_bytes)
        if self.step is not MemoryStep.NORMAL:
            self.refused += self.acceptor.relieve_memory(self.step)
        if resident_bytes - self.base_bytes >= MIN_GROWTH_BYTES:
            self._give_back(resident_bytes)

    def _set_step(self, resident_bytes: int) -> None:
        if self.limit_bytes is None:
            return
        step = MemoryThresholds(self.base_bytes, self.limit_bytes // self.processes).step(resident_bytes)
        now_s = time.monotonic()
        if step is not self.step and (step > self.step or now_s >= self.next_log_s):
            self.next_log_s = now_s + LOG_INTERVAL_S
            kv = {
                "step": step.name.lower(),
                "was": self.step.name.lower(),
                "resident_mb": round(resident_bytes / BYTES_PER_MB, 1),
                "limit_mb": round(self.limit_bytes / self.processes / BYTES_PER_MB, 1),
                "refused": self.refused,
            }
            log.log(logging.WARNING if step else logging.INFO, "memory_step", extra={"kv": kv})
            self.refused = 0
        self.step = self.acceptor.memory_step = step

    def _give_back(self, resident_bytes: int) -> None:
        """Give freed memory back, at intervals that grow while there is little of it."""
        now_s = time.monotonic()
        is_urgent = self.step is not MemoryStep.NORMAL
        interval_s = URGENT_GIVE_BACK_INTERVAL_S if is_urgent else self.give_back_interval_s
        if now_s < self.gave_back_at_s + interval_s:
            return
        self.gave_back_at_s = now_s
        give_back_freed_memory()
        given_back_bytes = resident_bytes - self.memory.resident_bytes()
        if given_back_bytes >= MIN_GIVEN_BACK_BYTES:
            self.give_back_interval_s = GIVE_BACK_INTERVAL_S
        else:
            self.give_back_interval_s = min(MAX_GIVE_BACK_INTERVAL_S, 2 * self.give_back_interval_s)
