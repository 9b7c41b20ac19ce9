"""A restart of the whole fleet, one member at a time, by whoever holds the task. Pure.

How far it has come is a register (`Plan`), so that the next holder goes on where the last one was: a step is
written down before its member is told, and over once that member is back in another life and ready. Nobody
is told anything while another is away. A member that does not come back in time stops the whole.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import Struct, msgpack, structs

from grebestack.consensus.messages import Plan
from grebestack.consensus.register import Change, Value

REGISTER = "plan/restart"
AGAIN_MS = 400.0  # what came to nothing is asked again, what was told is said again, after this
GOES_ON, DONE, STOPPED = "goes on", "done", "stopped"


class State(Struct, array_like=True, tag="state"):
    """A member tells in which life it is, and whether it is ready for clients."""

    life: int
    ready: bool


class Go(Struct, array_like=True, tag="go"):
    """Restart, if this is the life that is meant."""

    number: int
    token: int
    life: int


_said = msgpack.Decoder(State | Go)


def said(data: bytes) -> State | Go:
    """Read what another member says; msgspec.DecodeError where it is nothing of this."""
    return _said.decode(data)


@dataclass(frozen=True, slots=True)
class Ask:
    """Change the register, or read it."""

    change: Change


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell a member that it is its turn."""

    name: str
    go: Go


@dataclass(frozen=True, slots=True)
class HandOver:
    """The task is to pass to another member: the one that holds it comes last."""

    to: str


Act = Ask | Tell | HandOver


@dataclass(frozen=True, slots=True)
class Known:
    """What a member has last told, and when."""

    state: State
    at_ms: float


@dataclass(frozen=True, slots=True)
class Pace:
    """Milliseconds."""

    return_ms: float = 60_000.0  # a member is back and ready within so long
    pause_ms: float = 5_000.0  # between two of them
    heard_ms: float = 3_000.0  # a state that is older says nothing


def beginning(by: str, names: tuple[str, ...]) -> Change:
    """A new restart, unless one goes on."""

    def change(value: Value) -> Value:
        if isinstance(value, Plan) and value.state == GOES_ON:
            return value
        number = value.number + 1 if isinstance(value, Plan) else 1
        return Plan(number, by, names, state=GOES_ON)

    return change


def stopping(why: str, number: int = 0) -> Change:
    """Stop the one that goes on, or only the one of this number."""

    def change(value: Value) -> Value:
        if not isinstance(value, Plan) or value.state != GOES_ON or number not in (0, value.number):
            return value
        return structs.replace(value, state=STOPPED, why=why)

    return change


def _from(plan: Plan, after: Plan) -> Change:
    return lambda value: after if value == plan else value


class Pacing:
    """The side of one member, which acts only while it holds the task."""

    def __init__(self, me: str, pace: Pace, now_ms: float) -> None:
        self.me, self.pace = me, pace
        self.token: int | None = None
        self.plan: Plan | None = None  # as it was when it was last read or changed
        self.read = False
        self.asking = False
        self.again_ms = now_ms
        self.since_ms = now_ms  # since when this holder waits for what it waits for
        self.pause_ms = now_ms

    def tick(self, now_ms: float, token: int | None, known: Mapping[str, Known]) -> list[Act]:
        """Time has passed, under this token."""
        if token != self.token:
            self.token, self.read, self.asking = token, False, False
            self.again_ms = self.since_ms = self.pause_ms = now_ms
        if token is None or self.asking or now_ms < self.again_ms:
            return []
        self.again_ms = now_ms + AGAIN_MS
        if not self.read:
            return self._ask(lambda value: value)
        plan = self.plan
        if plan is None or plan.state != GOES_ON:
            self.read = False  # somebody may begin one
            return []
        ready = {n for n, k in known.items() if k.state.ready and now_ms - k.at_ms <= self.pace.heard_ms}
        if plan.step:
            return self._step(now_ms, token, plan, known.get(plan.step), plan.step in ready)
        left = [n for n in plan.members if n not in plan.done]
        away = [n for n in plan.members if n not in ready]
        if not left:
            return self._ask(_from(plan, structs.replace(plan, state=DONE)))
        if away:
            return self._late(now_ms, plan, f"{', '.join(away)} not ready")
        if now_ms < self.pause_ms:
            return []
        others = [n for n in left if n != self.me]
        if not others:
            return [HandOver(next(n for n in plan.members if n != self.me))] if len(plan.members) > 1 else []
        life = known[others[0]].state.life
        return self._ask(_from(plan, structs.replace(plan, step=others[0], life=life)))

    def _step(self, now_ms: float, token: int, plan: Plan, known: Known | None, ready: bool) -> list[Act]:
        if known is not None and known.state.life != plan.life and ready:
            self.pause_ms = now_ms + self.pace.pause_ms
            done = (*plan.done, plan.step)
            return self._ask(_from(plan, structs.replace(plan, done=done, step="", life=0)))
        if known is not None and known.state.life == plan.life:
            late = self._late(now_ms, plan, f"{plan.step} did not stop")
            return late or [Tell(plan.step, Go(plan.number, token, plan.life))]
        return self._late(now_ms, plan, f"{plan.step} did not come back")

    def _late(self, now_ms: float, plan: Plan, why: str) -> list[Act]:
        if now_ms - self.since_ms < self.pace.return_ms:
            return []
        return self._ask(stopping(f"{why} within {self.pace.return_ms / 1000.0:g} s", plan.number))

    def _ask(self, change: Change) -> list[Act]:
        self.asking = True
        return [Ask(change)]

    def asked(self, now_ms: float, token: int | None, value: Value, known: bool) -> None:
        """An asking has ended; `known`: with this value in force."""
        if token != self.token:
            return
        self.asking = False
        if known:
            plan = value if isinstance(value, Plan) else None
            if plan != self.plan:
                self.since_ms = now_ms
            self.plan, self.read, self.again_ms = plan, True, now_ms
            if plan is None or plan.state != GOES_ON:
                self.again_ms = now_ms + AGAIN_MS


def shown(plan: Plan | None) -> str:
    """A plan in words."""
    if plan is None:
        return "no restart"
    back = f"{len(plan.done)} of {len(plan.members)} are back"
    text = f"restart {plan.number} by {plan.by} {plan.state}: {back}"
    return text + (f", {plan.step} is away" if plan.step else "") + (f" ({plan.why})" if plan.why else "")
