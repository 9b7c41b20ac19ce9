"""Carries out the actions of a pure state machine, in order, with one timer for its next tick."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import Generic, Protocol, TypeVar

A = TypeVar("A")


class Scheduled(Protocol):
    """A pure state machine that acts at certain times."""

    def due_ms(self, now_ms: float) -> float:
        """Return the latest time of the next `tick`, in milliseconds of the runner's clock."""


class ActionRunner(Generic[A]):
    """Carries out actions in order; those that an action leads to are queued behind all others.

    Parameters
    ----------
    clock
        Returns the time in milliseconds.
    state_machine
        Its `due_ms` gives the time of the next tick.
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
        """Create a runner with no actions and no timer."""
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
        """Stop the timer and carry out no more actions."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
