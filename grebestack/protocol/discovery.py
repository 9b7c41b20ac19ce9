"""The watch of discovery's list that keeps the server table up to date: the shell of `endpoint_watch`."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

from grebestack.core.api import ListKind, Settings
from grebestack.endpoint_watch import state_machine
from grebestack.endpoint_watch.state_machine import CONNECT_MS, Life, Stage, Terms
from grebestack.protocol.lists import ListReader, Objects
from grebestack.routing.interfaces import Listing
from grebestack.transport.client import Address, LineStream

log = logging.getLogger(__name__)


def terms_of(settings: Settings) -> Terms:
    """What the settings say of lists."""
    return Terms(not settings.polls_endpoint_list, settings.drain_grace_ms, settings.dispatcher_count)


class Question:
    """One watch: its connection while it comes up, and its lines."""

    def __init__(self, number: int, version: int, ask: bytes, watch: Watch) -> None:
        self.number, self.version, self.watch = number, version, watch
        self.objects = Objects()
        self.stream = LineStream(ask, self._line, self._ended)
        self.task: asyncio.Task[None] | None = None
        self.closed = False

    def _line(self, line: bytes) -> None:
        if not self.closed:
            self.watch.line(self, line)

    def _ended(self) -> None:
        if not self.closed:
            self.closed = True
            self.watch.ended(self)

    def failed(self) -> None:
        """The connection did not come up."""
        if self.stream.transport is None:
            self._ended()

    def close(self) -> None:
        """End it, however far it has come; nothing more is heard of it."""
        self.closed = True
        self.stream.close()
        if self.task is not None and not self.task.done():
            self.task.cancel()


class Watch:
    """Keeps the list of one address up to date."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        reader: ListReader,
        table: Listing,
        follows: Watch | None = None,
        terms: Terms | None = None,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.loop, self.address, self.reader, self.table = loop, address, reader, table
        self.follows = follows  # the watch of another address, ended once this one has told its list
        self.life = Life(Terms() if terms is None else terms, draw)
        self.version = 0  # an address counts its own versions: the first question asks for the whole list
        self.held: list[Any] = []  # what the list that was held before the start names, not used so far
        self.questions: dict[int, Question] = {}
        self.calls: int = follows.calls if follows is not None else 0  # since the start
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ms = 0.0

    def known(self, raw: Mapping[str, Any]) -> None:
        """Hold the list that was held before the start; it may be old.

        Changes to it may come at once. Where lists are pushed nothing is sent by it until then, or until
        `use_known`: what the agent has counts as told from the first moment, and may be that a server drains.
        """
        self.version, _, self.held = self.reader.message(raw)
        if not self.life.terms.pushed:  # that counts as told some seconds later only
            self.use_known()

    def use_known(self) -> None:
        """Nothing newer has come for as long as a start can wait."""
        held, self.held = self.held, []
        if held:
            self.table.update(ListKind.CACHED, held)

    def start(self) -> None:
        """Open the first watch."""
        self._feed(state_machine.Begun())

    def retire(self) -> None:
        """Hear on what is open, but open nothing more: another watch follows."""
        self._feed(state_machine.Moved())

    def stop(self) -> None:
        """Watch no longer."""
        self._end_former()
        self._feed(state_machine.Stopped())
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _end_former(self) -> None:
        if self.follows is not None:
            self.follows.stop()
            self.follows = None

    def _feed(self, event: state_machine.Event) -> None:
        for action in self.life.handle(time.monotonic() * 1000.0, event):
            match action:
                case state_machine.Open(number):
                    self._open(number)
                case state_machine.Close(number):
                    if (question := self.questions.pop(number, None)) is not None:
                        question.close()
                case state_machine.Wake(at_ms):
                    self._wake(at_ms)
                case state_machine.Now(stage):
                    self._now(stage)

    def _wake(self, at_ms: float) -> None:
        if self.timer is not None:
            if at_ms == self.timer_ms:
                return
            self.timer.cancel()
        self.timer_ms = at_ms
        self.timer = self.loop.call_later(max(0.0, at_ms / 1000.0 - time.monotonic()), self._tick)

    def _tick(self) -> None:
        self.timer = None
        self._feed(state_machine.Tick())

    def _now(self, stage: Stage) -> None:
        kv = {"stage": stage.value, "rev": self.version, "calls": self.calls}
        if stage is Stage.SILENT:
            log.warning("watch_silent", extra={"kv": kv})
            self.table.silent("its watch missed a line")
        elif stage is not Stage.CONNECTING:
            log.info("watch", extra={"kv": kv})

    def _open(self, number: int) -> None:
        self.calls += 1
        host, port = self.address
        request = (
            f"GET /registry/instances?follow=1&since={self.version} HTTP/1.1\r\n"
            f"Host: {host}:{port}\r\nAccept: application/json\r\n\r\n"
        )
        question = self.questions[number] = Question(number, self.version, request.encode(), self)
        question.task = self.loop.create_task(self._dial(question))

    async def _dial(self, question: Question) -> None:
        """Open one connection. The loop offers only a coroutine: the task is the connection's."""
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT_MS / 1000.0):
                await self.loop.create_connection(lambda: question.stream, host, port)
        except (OSError, TimeoutError):
            question.failed()
        if question.closed:  # while the connection came up
            question.stream.close()

    def ended(self, question: Question) -> None:
        """A watch has ended, or never came up."""
        self.questions.pop(question.number, None)
        self._feed(state_machine.Ended(question.number))

    def line(self, question: Question, line: bytes) -> None:
        """A line has come."""
        try:
            raw = question.objects.line(line)
            if raw is None:
                if not question.objects.parts:
                    self._feed(state_machine.Heard(question.number))
                    self.use_known()  # nothing has changed since
                    self.table.heard()
                return
            version, whole, servers = self.reader.message(raw)
        except ValueError as error:
            # Changes that can't be read are lost, and the next ones would rest on them: all is asked anew.
            log.warning("bad_list_line", extra={"kv": {"error": f"{error!r:.200}", "rev": self.version}})
            self.version = 0
            self._feed(state_machine.Garbled(question.number))
            return
        if not whole and version < self.version:
            self.reader.odd("rev", version, self.version)
        self._feed(state_machine.Heard(question.number))
        self.version = version
        if self.held and not whole:
            self.use_known()  # what these are changes to
        self.held = []
        # Guards against a gap on a move, and against an old address that speaks after the new one.
        self._end_former()
        self.table.update(ListKind.FULL if whole else ListKind.CHANGES, servers)
