"""Carries out the actions of a pure state machine, in order, with one timer for its next tick."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

A = TypeVar("A")


class Scheduled(Protocol):
    """The time-dependent side of a pure state machine."""

    def due_ms(self, now_ms: float) -> float:
        """Return when `tick` must be called next, at the latest; milliseconds of the runner's clock."""


class ActionRunner(Generic[A]):
    """Carries out actions one by one. The actions that one leads to come after those requested before.

    Parameters
    ----------
    clock
        Returns the time in milliseconds.
    state_machine
        Says when its next tick is due.
    carry_out
        Carries out one action; it may call `run`.
    tick
        Returns the state machine's actions for a tick.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        state_machine: Scheduled,
        carry_out: Callable[[A], None],
        tick: Callable[[], Iterable[A]],
    ) -> None:
        """Begin with nothing to do and no timer."""
        self.loop, self.clock, self.state_machine = loop, clock, state_machine
        self.carry_out, self.tick = carry_out, tick
        self.actions: deque[A] = deque()
        self.timer: asyncio.TimerHandle | None = None
        self.running = self.stopped = False

    def run(self, actions: Iterable[A]) -> None:
        """Carry out these actions, and set the timer for the next tick."""
        self.actions.extend(actions)
        if self.running:
            return
        self.running = True
        try:
            while self.actions and not self.stopped:
                self.carry_out(self.actions.popleft())
        finally:
            self.running = False
        if not self.stopped:
            self._set_timer()

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        now_ms = self.clock()
        delay_s = max(0.0, self.state_machine.due_ms(now_ms) - now_ms) / 1000.0
        self.timer = self.loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self.run(self.tick())

    def stop(self) -> None:
        """Carry out no more actions."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
