"""The door's listener: callback connections that nobody can hold up for others."""

from __future__ import annotations

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol, cast

from grebestack.admin.commands import Answer, Call, LineReader

log = logging.getLogger(__name__)
MOST_CALLERS = 16
WHOLE_S = 5.0  # a line is whole by then
ANSWER_S = 0.8  # an answer falls due within a second
LINGER_S = 0.5  # a caller that does not read its answer is cut off after this

Reply = Callable[[Answer], None]


class Operations(Protocol):
    """What calls do. Each call is replied to once, at once or later."""

    def call(self, call: Call, reply: Reply) -> None:
        """Carry out a call; `reply` a SUCCESS only when its effect holds."""


class Caller(asyncio.Protocol):
    """One caller: says a line, is answered, is closed.

    States: reading (its line is not whole), asked (the answer is awaited), answered (what it still says is
    dropped until it ends or half a second has passed), closed.
    """

    def __init__(self, door: Door) -> None:
        self.door = door
        self.transport: asyncio.Transport | None = None
        self.reader = LineReader()
        self.timer: asyncio.TimerHandle | None = None
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._within(WHOLE_S, lambda: self.answer(Answer(False, f"no whole line within {WHOLE_S:g} s")))
        self.door.came(self)

    def _within(self, seconds: float, call: Callable[[], None]) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.door.loop.call_later(seconds, call)

    def data_received(self, data: bytes) -> None:
        result = self.reader.feed(data)
        if isinstance(result, Answer):
            self.answer(result)
        elif result is not None:
            self.door.asked(self)
            self._within(ANSWER_S, lambda: self.answer(Answer(False, "not carried out in time; call again")))
            try:
                self.door.operations.call(result, self.answer)
            except Exception:  # guards the caller against a fault of ours
                log.exception("control_fault", extra={"kv": {"call": result.verb.value}})
                self.answer(Answer(False, "a fault of the dispatcher; see its log"))

    def eof_received(self) -> bool:
        if (answer := self.reader.ended()) is not None:
            self.answer(answer)
        return not self.answered  # an answer may still be on the way

    def answer(self, answer: Answer) -> None:
        """Answer and close; only the first answer counts."""
        if self.answered:
            return
        self.answered = True
        if isinstance(self.reader.result, Call):
            self.door.log(self.reader.result, answer)
        if self.transport is None:
            return
        # Guards the answer of a caller that has said more than its line: a close over what is unread is a
        # reset, which would overtake the answer. What still comes is read and dropped.
        self.transport.write(answer.line)
        self.transport.write_eof()
        self._within(LINGER_S, self.drop)

    def drop(self) -> None:
        """End it now."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.door.gone(self)


class Door:
    """Takes callers, as many as there is room for; a silent one goes before a new one is turned away."""

    def __init__(self, loop: asyncio.AbstractEventLoop, operations: Operations) -> None:
        self.loop, self.operations = loop, operations
        self.callers: set[Caller] = set()
        self.silent: OrderedDict[Caller, None] = OrderedDict()  # their line is not whole; the oldest first

    def __call__(self) -> Caller:
        return Caller(self)

    def came(self, caller: Caller) -> None:
        """A caller has connected."""
        self.callers.add(caller)
        if len(self.callers) > MOST_CALLERS:
            if self.silent:
                self.silent.popitem(last=False)[0].drop()
            else:  # all are being answered, which takes less than a second
                caller.drop()
                return
        self.silent[caller] = None

    def asked(self, caller: Caller) -> None:
        """A caller's line is whole."""
        self.silent.pop(caller, None)

    def gone(self, caller: Caller) -> None:
        """A caller's connection has ended."""
        self.callers.discard(caller)
        self.silent.pop(caller, None)

    @staticmethod
    def log(call: Call, answer: Answer) -> None:
        """One line for what was asked for and what came of it; `health`, asked often, leaves none."""
        if call.verb.value == "health":
            return
        kv: dict[str, object] = {"call": call.verb.value, "done": answer.done, "answer": answer.text}
        if call.server:
            kv["server"] = call.server
        log.info("control", extra={"kv": kv})
