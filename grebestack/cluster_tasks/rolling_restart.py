"""A rolling restart of the cluster, one member at a time, coordinated by the lease holder. No I/O.

The progress is stored in a register (`RestartPlan`), so that the next holder continues where the last one
stopped. A step is written to the register before its member is requested to restart, and is complete once
that member is ready in another process incarnation. No member is requested to restart while another is not
ready. If a member does not become ready again in time, the whole restart is stopped.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from msgspec import Struct, msgpack, structs

from grebestack.consensus.messages import RestartPlan
from grebestack.consensus.register import Change, Value

REGISTER = "plan/restart"
RETRY_INTERVAL_MS = 400.0  # of proposals and restart requests
IN_PROGRESS, DONE, STOPPED = "goes on", "done", "stopped"  # the stored values of `RestartPlan.state`


class MemberState(Struct, array_like=True, tag="state"):
    """A member's report: its process incarnation, and whether it is ready for clients."""

    process_incarnation: int
    is_ready: bool


class RestartRequest(Struct, array_like=True, tag="go"):
    """Requests a member to restart if it still runs in this process incarnation."""

    number: int
    token: int
    process_incarnation: int


Message = MemberState | RestartRequest
_decoder = msgpack.Decoder(Message)


def decode(data: bytes) -> Message:
    """Decode a message between members.

    Raises
    ------
    msgspec.DecodeError
        The data is not a message of this task.
    """
    return _decoder.decode(data)


@dataclass(frozen=True, slots=True)
class ProposePlan:
    """Propose a change or a read of the plan's register, then call `on_proposal_ended`."""

    change: Change


@dataclass(frozen=True, slots=True)
class RequestRestart:
    """Send a restart request to a member."""

    name: str
    request: RestartRequest


@dataclass(frozen=True, slots=True)
class HandOverLease:
    """Hand the lease over to another member, so that it can restart this one last."""

    to: str


Action = ProposePlan | RequestRestart | HandOverLease


@dataclass(frozen=True, slots=True)
class ReceivedState:
    """A member's last report and the time of its arrival."""

    state: MemberState
    received_ms: float


@dataclass(frozen=True, slots=True)
class RestartTimes:
    """The durations of a rolling restart.

    Parameters
    ----------
    return_timeout_ms
        How long a step may take, and how long to wait for a member that is not ready.
    pause_ms
        Time between a member's return and the restart of the next one.
    state_ttl_ms
        The age at which a member's report expires.
    """

    return_timeout_ms: float = 60_000.0
    pause_ms: float = 5_000.0
    state_ttl_ms: float = 3_000.0


def begin_restart(requested_by: str, names: tuple[str, ...]) -> Change:
    """Return the change that begins a restart unless one is in progress."""

    def change(value: Value) -> Value:
        if isinstance(value, RestartPlan) and value.state == IN_PROGRESS:
            return value
        number = value.number + 1 if isinstance(value, RestartPlan) else 1
        return RestartPlan(number, requested_by, names, state=IN_PROGRESS)

    return change


def stop_restart(reason: str, number: int = 0) -> Change:
    """Return the change that stops the restart in progress; with a number, only the restart with it."""

    def change(value: Value) -> Value:
        if not isinstance(value, RestartPlan) or value.state != IN_PROGRESS:
            return value
        if number not in (0, value.number):
            return value
        return structs.replace(value, state=STOPPED, reason=reason)

    return change


def _replace(before: RestartPlan, after: RestartPlan) -> Change:
    return lambda value: after if value == before else value


class RestartCoordinator:
    """One member's part in the rolling restart: it acts only while it holds the lease."""

    def __init__(self, name: str, times: RestartTimes, now_ms: float) -> None:
        """Initialize without the lease."""
        self.name, self.times = name, times
        self.token: int | None = None
        self.plan: RestartPlan | None = None  # as last read or changed
        self.has_read = False
        self.is_proposing = False
        self.next_action_ms = now_ms
        self.waiting_since_ms = now_ms  # when this holder's current wait began
        self.pause_until_ms = now_ms

    def tick(self, now_ms: float, token: int | None, states: Mapping[str, ReceivedState]) -> list[Action]:
        """Return the actions that are due under this token."""
        if token != self.token:
            self.token, self.has_read, self.is_proposing = token, False, False
            self.next_action_ms = self.waiting_since_ms = self.pause_until_ms = now_ms
        if token is None or self.is_proposing or now_ms < self.next_action_ms:
            return []
        self.next_action_ms = now_ms + RETRY_INTERVAL_MS
        if not self.has_read:
            return self._propose(lambda value: value)
        plan = self.plan
        if plan is None or plan.state != IN_PROGRESS:
            self.has_read = False  # read it again next time: an operator may begin a restart
            return []
        ready = self._ready_members(now_ms, states)
        if plan.restarting:
            return self._continue_step(now_ms, token, plan, states.get(plan.restarting), ready)
        return self._begin_step(now_ms, plan, states, ready)

    def _ready_members(self, now_ms: float, states: Mapping[str, ReceivedState]) -> set[str]:
        return {
            name
            for name, received in states.items()
            if received.state.is_ready and now_ms - received.received_ms <= self.times.state_ttl_ms
        }

    def _begin_step(
        self, now_ms: float, plan: RestartPlan, states: Mapping[str, ReceivedState], ready: set[str]
    ) -> list[Action]:
        """Begin the next member's restart once all members are ready and the pause is over."""
        remaining = [name for name in plan.members if name not in plan.restarted]
        if not remaining:
            return self._propose(_replace(plan, structs.replace(plan, state=DONE)))
        if not_ready := [name for name in plan.members if name not in ready]:
            return self._stop_if_late(now_ms, plan, f"{', '.join(not_ready)} not ready")
        if now_ms < self.pause_until_ms:
            return []
        others = [name for name in remaining if name != self.name]
        if not others:
            return self._hand_over_lease(plan)
        incarnation = states[others[0]].state.process_incarnation
        step = structs.replace(plan, restarting=others[0], process_incarnation=incarnation)
        return self._propose(_replace(plan, step))

    def _hand_over_lease(self, plan: RestartPlan) -> list[Action]:
        """Hand the lease over to any other member, since only this one remains to be restarted."""
        others = [name for name in plan.members if name != self.name]
        return [HandOverLease(others[0])] if others else []

    def _continue_step(
        self,
        now_ms: float,
        token: int,
        plan: RestartPlan,
        received: ReceivedState | None,
        ready: set[str],
    ) -> list[Action]:
        """Repeat the request to the restarting member, or end the step once it is ready again."""
        name = plan.restarting
        has_same_incarnation = (
            received is not None and received.state.process_incarnation == plan.process_incarnation
        )
        if received is not None and not has_same_incarnation and name in ready:
            self.pause_until_ms = now_ms + self.times.pause_ms
            restarted = (*plan.restarted, name)
            after = structs.replace(plan, restarted=restarted, restarting="", process_incarnation=0)
            return self._propose(_replace(plan, after))
        if not has_same_incarnation:
            return self._stop_if_late(now_ms, plan, f"{name} did not come back")
        request = RestartRequest(plan.number, token, plan.process_incarnation)
        stop = self._stop_if_late(now_ms, plan, f"{name} did not stop")
        return stop or [RequestRestart(name, request)]

    def _stop_if_late(self, now_ms: float, plan: RestartPlan, reason: str) -> list[Action]:
        if now_ms - self.waiting_since_ms < self.times.return_timeout_ms:
            return []
        full_reason = f"{reason} within {self.times.return_timeout_ms / 1000.0:g} s"
        return self._propose(stop_restart(full_reason, plan.number))

    def _propose(self, change: Change) -> list[Action]:
        self.is_proposing = True
        return [ProposePlan(change)]

    def on_proposal_ended(self, now_ms: float, token: int | None, value: Value, is_chosen: bool) -> None:
        """Handle the end of a proposal that was made under this token."""
        if token != self.token:
            return
        self.is_proposing = False
        if not is_chosen:
            return
        plan = value if isinstance(value, RestartPlan) else None
        if plan != self.plan:
            self.waiting_since_ms = now_ms
        self.plan, self.has_read, self.next_action_ms = plan, True, now_ms
        if plan is None or plan.state != IN_PROGRESS:
            self.next_action_ms = now_ms + RETRY_INTERVAL_MS


def describe_plan(plan: RestartPlan | None) -> str:
    """Return a plan as text for operators."""
    if plan is None:
        return "no restart"
    progress = f"{len(plan.restarted)} of {len(plan.members)} have restarted"
    text = f"restart {plan.number} by {plan.requested_by} {plan.state}: {progress}"
    if plan.restarting:
        text += f", {plan.restarting} is restarting"
    return f"{text} ({plan.reason})" if plan.reason else text
