"""How a shell has what its pure part asks for carried out: in that order, with one timer for what is due."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

A = TypeVar("A")


class Due(Protocol):
    """A pure part, as far as its time goes; in milliseconds of the shell's clock."""

    def due_ms(self, now_ms: float) -> float:
        """When it is to be told at the latest that time has passed."""


class Turns(Generic[A]):
    """Carries out actions one by one; what one of them leads to comes after those asked for before."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        pure: Due,
        do: Callable[[A], None],
        tick: Callable[[], Iterable[A]],
    ) -> None:
        self.loop, self.clock, self.pure, self.do, self.tick = loop, clock, pure, do, tick
        self.actions: deque[A] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.running = self.stopped = False

    def run(self, actions: Iterable[A]) -> None:
        """Carry these out, and set the timer anew."""
        self.actions.extend(actions)
        if self.running:
            return
        self.running = True
        try:
            while self.actions and not self.stopped:
                self.do(self.actions.popleft())
        finally:
            self.running = False
        if self.stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        now = self.clock()
        self.timer = self.loop.call_later(max(0.0, self.pure.due_ms(now) - now) / 1000.0, self._tick)

    def _tick(self) -> None:
        self.timer = None
        self.run(self.tick())

    def stop(self) -> None:
        """No more actions."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
