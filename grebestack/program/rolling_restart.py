"""The shell of a paced restart: tells the others how this member is, and does what the plan says."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Protocol

import msgspec

from grebestack.admin.commands import Answer
from grebestack.cluster_io.node import Node
from grebestack.cluster_tasks.rolling_restart import (
    GOES_ON,
    REGISTER,
    Ask,
    Go,
    HandOver,
    Known,
    Pace,
    Pacing,
    State,
    beginning,
    said,
    shown,
    stopping,
)
from grebestack.consensus.messages import Plan
from grebestack.consensus.register import Value
from grebestack.program.cluster_task import Attendance
from grebestack.program.lifecycle import LED_MS, Life
from grebestack.routing.interfaces import Clock

log = logging.getLogger(__name__)
TASK = "restart"
LOOK_MS, ACT_MS = 1000.0, 100.0  # without the lease, and with it
LEAVE_MS = 400.0  # after clients were led out, before the stop


class Host(Protocol):
    """The dispatcher that is restarted."""

    life: Life

    @property
    def clock(self) -> Clock:
        """The time."""

    def apply(self) -> None:
        """Have all follow the state of `life`."""

    def stop(self) -> None:
        """End once all is answered."""


class Paced:
    """One member of a fleet that is restarted one after the other."""

    def __init__(self, dispatcher: Host, node: Node, pace: Pace) -> None:
        self.dispatcher, self.node = dispatcher, node
        self.clock = dispatcher.clock
        self.pacing = Pacing(node.settings.name, pace, self.clock.now_ms())
        self.known: dict[str, Known] = {}
        self.tell_ms = 0.0
        self.highest = 0  # token that has told this member to go
        self.going = False
        self.wait_ms = 0.0
        self.attendance = Attendance(node, self.clock, TASK, said, self._heard, self._look)

    def _look(self, now: float) -> float:
        mine = State(self.node.replica.process_incarnation, self.dispatcher.life.ready)
        self.known[self.node.settings.name] = Known(mine, now)
        if now >= self.tell_ms:
            self.tell_ms = now + LOOK_MS
            self.attendance.say(msgspec.msgpack.encode(mine))
        self._line(now)
        token = self.node.valid_token(TASK)
        for act in self.pacing.tick(now, token, self.known):
            if isinstance(act, Ask):
                self.node.propose(REGISTER, act.change, partial(self._asked, token))
            elif isinstance(act, HandOver):
                log.info("fleet_restart", extra={"kv": {"hands_over_to": act.to}})
                self.wait_ms = now + 2.0 * self.node.settings.terms.term_ms
                self.node.release(TASK, act.to)
            elif self.node.valid_token(TASK) == token:
                self.attendance.say(msgspec.msgpack.encode(act.go), act.name)
        return LOOK_MS if token is None else ACT_MS

    def _plan(self) -> Plan | None:
        """The plan as this member's disk has it."""
        slot = self.node.replica.acceptor.state.registers.get(REGISTER)
        return slot.value if slot is not None and isinstance(slot.value, Plan) else None

    def _line(self, now: float) -> None:
        """Stand in line for the task while there is something to do: a lease costs all members syncs."""
        plan, wanted = self._plan(), self.node.replica.leases.holders[TASK].is_candidate
        goes_on = plan is not None and plan.state == GOES_ON
        if wanted and not goes_on:
            self.node.release(TASK)
        elif goes_on and not wanted and not self.going and now >= self.wait_ms:
            self.node.become_candidate(TASK)

    def _asked(self, token: int | None, known: bool, value: Value) -> None:
        former = self.pacing.plan
        self.pacing.asked(self.clock.now_ms(), token, value, known)
        if known and isinstance(value, Plan) and value != former:
            log.info("fleet_restart", extra={"kv": {"plan": shown(value), "step": value.step}})

    def _heard(self, name: str, item: State | Go) -> None:
        """Another member tells how it is, or that it is this one's turn."""
        if isinstance(item, State):
            self.known[name] = Known(item, self.clock.now_ms())
        else:
            self._go(name, item)

    def _go(self, name: str, go: Go) -> None:
        if go.token < self.highest or go.life != self.node.replica.process_incarnation or self.going:
            return
        self.highest, self.going = go.token, True
        log.info("fleet_restart", extra={"kv": {"told_by": name, "number": go.number}})
        now = self.clock.now_ms()
        self.dispatcher.life.quiesce(now)
        self.dispatcher.apply()
        self.clock.call_at(now + LED_MS + LEAVE_MS, self.dispatcher.stop)

    # The door.

    def begin(self, reply: Callable[[Answer], None]) -> None:
        """An operator wants the fleet restarted."""
        names = tuple(sorted(self.node.replica.config.names()))
        if len(names) < 2:
            reply(Answer(False, "a restart one after the other needs two members at least"))
            return

        def ended(known: bool, value: Value) -> None:
            if not known:
                reply(Answer(False, "no majority has answered; look with `fleet`, then call again"))
            elif isinstance(value, Plan):
                mine = value.by == self.node.settings.name and not value.done and not value.step
                reply(Answer(mine, shown(value)))

        self.node.propose(REGISTER, beginning(self.node.settings.name, names), ended)

    def halt(self, reply: Callable[[Answer], None]) -> None:
        """An operator wants it to go no further; a member that has been told restarts all the same."""

        def ended(known: bool, value: Value) -> None:
            if not known:
                reply(Answer(False, "no majority has answered; look with `fleet`, then call again"))
                return
            plan = value if isinstance(value, Plan) else None
            reply(Answer(plan is not None and plan.state != GOES_ON, shown(plan)))

        self.node.propose(REGISTER, stopping(f"halted at {self.node.settings.name}"), ended)

    def shown(self) -> str:
        """The plan, in words."""
        return shown(self._plan())
