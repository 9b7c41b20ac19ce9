"""Runs the rolling restart: reports this member's state and executes the coordinator's actions."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

import msgspec

from grebestack.admin.commands import CommandResponse
from grebestack.cluster_io.node import Node
from grebestack.cluster_tasks.rolling_restart import (
    IN_PROGRESS,
    REGISTER,
    Action,
    HandOverLease,
    MemberState,
    Message,
    ProposePlan,
    ReceivedState,
    RequestRestart,
    RestartCoordinator,
    RestartRequest,
    RestartTimes,
    begin_restart,
    decode,
    describe_plan,
    stop_restart,
)
from grebestack.consensus.messages import RestartPlan
from grebestack.consensus.register import Value
from grebestack.program.cluster_task import TaskRunner
from grebestack.program.lifecycle import QUIESCE_DRAIN_MS, Lifecycle
from grebestack.routing.interfaces import Clock

log = logging.getLogger(__name__)
TASK = "restart"
REPORT_INTERVAL_MS = 1000.0
TICK_INTERVAL_MS, HOLDER_TICK_INTERVAL_MS = 1000.0, 100.0
STOP_DELAY_MS = 400.0  # after clients have had time to reconnect elsewhere
# Also sent if a proposal for the plan is open here or a higher ballot came, where a retry is right too.
NO_QUORUM = "no majority has answered; check with `fleet`, then try again"


class RestartedDispatcher(Protocol):
    """What a rolling restart uses of the dispatcher."""

    lifecycle: Lifecycle

    @property
    def clock(self) -> Clock:
        """The clock of the event loop."""

    def apply_lifecycle(self) -> None:
        """Put the state of `lifecycle` into effect."""

    def stop(self) -> None:
        """Stop once all requests are answered."""


class RollingRestart:
    """Runs rolling restarts at one member."""

    def __init__(self, dispatcher: RestartedDispatcher, node: Node, times: RestartTimes) -> None:
        """Create the task without starting it."""
        self.dispatcher, self.node, self.clock = dispatcher, node, dispatcher.clock
        self.coordinator = RestartCoordinator(node.settings.name, times, self.clock.now_ms())
        self.states: dict[str, ReceivedState] = {}  # of all members, by name
        self.next_report_ms = 0.0
        self.highest_token = 0  # fencing token of restart requests
        self.is_restarting = False
        self.next_candidacy_ms = 0.0
        self.action_handlers: dict[type[Action], Callable[[int | None, Any], None]] = {
            ProposePlan: self._propose_plan,
            HandOverLease: self._hand_over_lease,
            RequestRestart: self._request_restart,
        }
        self.runner: TaskRunner[Message] = TaskRunner(
            node, self.clock, TASK, decode, self._on_message, self._on_tick
        )

    def start(self) -> None:
        """Start the task."""
        self.runner.start()

    def _on_tick(self, now_ms: float) -> float:
        own_state = MemberState(self.node.replica.process_incarnation, self.dispatcher.lifecycle.is_ready)
        self.states[self.node.settings.name] = ReceivedState(own_state, now_ms)
        if now_ms >= self.next_report_ms:
            self.next_report_ms = now_ms + REPORT_INTERVAL_MS
            self.runner.send(msgspec.msgpack.encode(own_state))
        self._update_candidacy(now_ms)
        token = self.node.valid_token(TASK)
        for action in self.coordinator.tick(now_ms, token, self.states):
            self.action_handlers[type(action)](token, action)
        return TICK_INTERVAL_MS if token is None else HOLDER_TICK_INTERVAL_MS

    def _propose_plan(self, token: int | None, action: ProposePlan) -> None:
        self.node.propose(REGISTER, action.change, partial(self._on_proposal_ended, token))

    def _hand_over_lease(self, token: int | None, action: HandOverLease) -> None:
        log.info("fleet_restart", extra={"kv": {"hands_over_to": action.to}})
        self.next_candidacy_ms = self.clock.now_ms() + 2.0 * self.node.settings.terms.term_ms
        self.node.release(TASK, action.to)

    def _request_restart(self, token: int | None, action: RequestRestart) -> None:
        if self.node.valid_token(TASK) == token:
            self.runner.send(msgspec.msgpack.encode(action.request), action.name)

    def _plan(self) -> RestartPlan | None:
        """Return the plan in this member's acceptor."""
        state = self.node.replica.acceptor.state.registers.get(REGISTER)
        return state.value if state is not None and isinstance(state.value, RestartPlan) else None

    def _update_candidacy(self, now_ms: float) -> None:
        """Be a candidate for the lease only during a restart, since each renewal costs all members a sync."""
        plan, is_candidate = self._plan(), self.node.replica.leases.participants[TASK].is_candidate
        is_in_progress = plan is not None and plan.state == IN_PROGRESS
        may_become_candidate = not self.is_restarting and now_ms >= self.next_candidacy_ms
        if is_candidate and not is_in_progress:
            self.node.release(TASK)
        elif is_in_progress and not is_candidate and may_become_candidate:
            self.node.become_candidate(TASK)

    def _on_proposal_ended(self, token: int | None, is_chosen: bool, value: Value) -> None:
        previous = self.coordinator.plan
        self.coordinator.on_proposal_ended(self.clock.now_ms(), token, value, is_chosen)
        if is_chosen and isinstance(value, RestartPlan) and value != previous:
            kv = {"plan": describe_plan(value), "step": value.restarting}
            log.info("fleet_restart", extra={"kv": kv})

    def _on_message(self, name: str, message: Message) -> None:
        if isinstance(message, MemberState):
            self.states[name] = ReceivedState(message, self.clock.now_ms())
        else:
            self._on_restart_request(name, message)

    def _on_restart_request(self, name: str, request: RestartRequest) -> None:
        is_own_incarnation = request.process_incarnation == self.node.replica.process_incarnation
        if request.token < self.highest_token or not is_own_incarnation or self.is_restarting:
            return
        self.highest_token, self.is_restarting = request.token, True
        log.info("fleet_restart", extra={"kv": {"told_by": name, "number": request.number}})
        now_ms = self.clock.now_ms()
        self.dispatcher.lifecycle.quiesce(now_ms)
        self.dispatcher.apply_lifecycle()
        self.clock.call_at(now_ms + QUIESCE_DRAIN_MS + STOP_DELAY_MS, self.dispatcher.stop)

    # Admin commands.

    def begin(self, respond: Callable[[CommandResponse], None]) -> None:
        """Begin a rolling restart of the cluster."""
        own_name, names = self.node.settings.name, tuple(sorted(self.node.replica.config.names()))
        if len(names) < 2:
            respond(CommandResponse(False, "a rolling restart needs at least two members"))
            return

        def on_ended(is_chosen: bool, value: Value) -> None:
            if not is_chosen:
                respond(CommandResponse(False, NO_QUORUM))
            elif isinstance(value, RestartPlan):
                has_begun = value.requested_by == own_name and not value.restarted and not value.restarting
                respond(CommandResponse(has_begun, describe_plan(value)))

        self.node.propose(REGISTER, begin_restart(own_name, names), on_ended)

    def halt(self, respond: Callable[[CommandResponse], None]) -> None:
        """Halt the rolling restart; a member that was already requested to restart still does so."""

        def on_ended(is_chosen: bool, value: Value) -> None:
            if not is_chosen:
                respond(CommandResponse(False, NO_QUORUM))
                return
            plan = value if isinstance(value, RestartPlan) else None
            is_stopped = plan is not None and plan.state != IN_PROGRESS
            respond(CommandResponse(is_stopped, describe_plan(plan)))

        self.node.propose(REGISTER, stop_restart(f"halted at {self.node.settings.name}"), on_ended)

    def describe(self) -> str:
        """Return a description of the plan for operators."""
        return describe_plan(self._plan())
