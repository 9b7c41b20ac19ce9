"""What the shells of all tasks have in common: what other members' tasks say, and the next look."""

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


class Attendance(Generic[T]):
    """Reads what is said, and looks at a task when its lease turns, when asked to, and when it is due.

    `look` does what is due at a time and tells after how many milliseconds it is to come again; None: never.
    """

    def __init__(
        self,
        node: Node,
        clock: Clock,
        task: str,
        read: Callable[[bytes], T],
        heard: Callable[[str, T], None],
        look: Callable[[float], float | None],
    ) -> None:
        self.node, self.clock, self.task = node, clock, task
        self._read, self._heard, self._look = read, heard, look
        self.timer: Timer | None = None

    def begin(self) -> None:
        """Attend from now on."""
        self.node.message_handlers[self.task], self.node.lease_listeners[self.task] = self._said, self.look
        self.look()

    def look(self) -> None:
        """Do what is due, and come again."""
        now = self.clock.now_ms()
        after_ms = None if self.node.stopped else self._look(now)
        if self.timer is not None:  # also one that was set meanwhile: what is done may ask for a look itself
            self.timer.cancel()
        self.timer = None if after_ms is None else self.clock.call_at(now + after_ms, self.look)

    def say(self, body: bytes, to: str = "") -> None:
        """Say something to the task of one member, or of all that are connected."""
        for name in [to] if to else list(self.node.connections):
            self.node.send_task_message(name, self.task, body)

    def _said(self, name: str, body: bytes) -> None:
        try:
            item = self._read(body)
        except msgspec.DecodeError:
            log.warning("fleet_word_unknown", extra={"kv": {"peer": name, "task": self.task}})
            return
        self._heard(name, item)
