"""The common part of cluster tasks: their messages to other members, and their ticks."""

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
    """Runs one task: when its lease changes, when it asks for it, and when a tick is due.

    Parameters
    ----------
    decode
        Decodes a message; raises msgspec.DecodeError.
    on_message
        Called with the sender and the decoded message.
    on_tick
        Does what is due at a time of `clock`, in milliseconds (not of the node's clock), and returns the
        milliseconds until the next tick; None ends the ticks.
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
        """Begin stopped."""
        self.node, self.clock, self.task = node, clock, task
        self._decode, self._on_message, self._on_tick = decode, on_message, on_tick
        self.timer: Timer | None = None

    def start(self) -> None:
        """Receive messages, and tick from now on."""
        self.node.message_handlers[self.task] = self._on_data
        self.node.lease_listeners[self.task] = self.tick
        self.tick()

    def tick(self) -> None:
        """Do what is due now, and set the timer for the next tick."""
        now_ms = self.clock.now_ms()
        delay_ms = None if self.node.stopped else self._on_tick(now_ms)
        # Cancelled after the tick, which may have called this method and set a timer itself.
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if delay_ms is None else self.clock.call_at(now_ms + delay_ms, self.tick)

    def send(self, body: bytes, to: str = "") -> None:
        """Send a message to the task of one member, or of all that are connected."""
        for name in [to] if to else list(self.node.connections):
            self.node.send_task_message(name, self.task, body)

    def _on_data(self, name: str, body: bytes) -> None:
        try:
            message = self._decode(body)
        except msgspec.DecodeError:
            log.warning("fleet_word_unknown", extra={"kv": {"peer": name, "task": self.task}})
            return
        self._on_message(name, message)
