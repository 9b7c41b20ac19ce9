"""What all cluster tasks share: messages to other members, and periodic ticks."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, TypeVar

import msgspec

from grebestack.cluster_io.node import Node

if TYPE_CHECKING:
    from grebestack.routing.interfaces import Clock, Timer

log = logging.getLogger(__name__)
T = TypeVar("T")


class TaskRunner(Generic[T]):
    """Runs one cluster task: ticks it when its lease changes, on request, and when a tick is due.

    Parameters
    ----------
    decode
        Decodes a message; raises msgspec.DecodeError.
    on_message
        Called with the sender and the decoded message.
    on_tick
        Called with the time in milliseconds of `clock` (not of the node's clock); returns the milliseconds
        until the next tick, or None to end the ticks.
    """

    def __init__(
        self,
        node: Node,
        clock: Clock,
        task: str,
        decode: Callable[[bytes], T],
        on_message: Callable[[str, T], None],
        on_tick: Callable[[float], float | None],
    ) -> None:
        """Create the runner without starting it."""
        self.node, self.clock, self.task = node, clock, task
        self._decode, self._on_message, self._on_tick = decode, on_message, on_tick
        self.timer: Timer | None = None

    def start(self) -> None:
        """Subscribe to messages and lease changes, and begin to tick."""
        self.node.message_handlers[self.task] = self._on_data
        self.node.lease_listeners[self.task] = self.tick
        self.tick()

    def tick(self) -> None:
        """Run a tick now and set the timer for the next one."""
        now_ms = self.clock.now_ms()
        delay_ms = None if self.node.stopped else self._on_tick(now_ms)
        # Cancelled after the tick: `_on_tick` may have called this method, which set a timer.
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if delay_ms is None else self.clock.call_at(now_ms + delay_ms, self.tick)

    def send(self, body: bytes, to: str = "") -> None:
        """Send a message to this task at one member, or at all connected members."""
        for name in [to] if to else list(self.node.connections):
            self.node.send_task_message(name, self.task, body)

    def _on_data(self, name: str, body: bytes) -> None:
        try:
            message = self._decode(body)
        except msgspec.DecodeError:
            log.warning("fleet_word_unknown", extra={"kv": {"peer": name, "task": self.task}})
            return
        self._on_message(name, message)
