"""Applies the lifecycle of a dispatcher: readiness, client connections, and the stop."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, Protocol

from grebestack.program.config.model import Config
from grebestack.program.lifecycle import KILL_DEADLINE_MS, LATE_MS, ClientHandling, Lifecycle, Stage
from grebestack.protocol.platform import PlatformApi
from grebestack.routing.engine import Engine
from grebestack.transport.acceptor import Acceptor, DrainScope

if TYPE_CHECKING:
    from grebestack.jobs.service import JobService
    from grebestack.program.cluster_member import ClusterMember
    from grebestack.program.hot_restart import HotRestartRunner

log = logging.getLogger(__name__)
_HANDOVER_TIMEOUT_S = 0.3  # from that handover, for the successor to read
_READ_ANSWER_S = 0.5  # a stop waits this long for a client to read its last answer or to finish its request
_HANDOVER_BEFORE_DEADLINE_S = 0.6  # between the handover of the last requests and their late answers
_IDLE_CHECK_INTERVAL_S = 0.02
_FLUSH_S = 0.05  # for the last answers to be sent
_MIN_TIMER_S = 0.001


class StoppableDispatcher(Protocol):
    """What the lifecycle control uses of the dispatcher."""

    config: Config
    loop: asyncio.AbstractEventLoop
    lifecycle: Lifecycle
    engine: Engine
    platform_api: PlatformApi
    acceptor: Acceptor
    job_service: JobService | None
    hot_restart: HotRestartRunner | None
    cluster_member: ClusterMember | None


class LifecycleControl:
    """Applies the state of the lifecycle to a dispatcher. `stopped` completes when the process may end."""

    def __init__(self, dispatcher: StoppableDispatcher) -> None:
        """Control a dispatcher; nothing is applied until `apply` is called."""
        self.dispatcher = dispatcher
        self.stopped: asyncio.Future[None] = dispatcher.loop.create_future()
        self._is_waiting_for_idle = False
        self._next_change: asyncio.TimerHandle | None = None

    def _longest_deadline_ms(self) -> float:
        return max(c.deadline_ms for c in self.dispatcher.config.settings.classes)

    def apply(self) -> None:
        """Update readiness and client connections to the state, now and whenever it changes with time."""
        dispatcher, lifecycle = self.dispatcher, self.dispatcher.lifecycle
        now_ms = dispatcher.engine.clock.now_ms()
        handling, change_ms = lifecycle.client_handling(now_ms, self._longest_deadline_ms())
        is_stopping = lifecycle.stage is Stage.STOPPING
        dispatcher.platform_api.ready, dispatcher.platform_api.stopping = lifecycle.is_ready, is_stopping
        dispatcher.platform_api.rejecting = handling is ClientHandling.REJECT
        dispatcher.acceptor.drain(_connections_to_close(handling, is_stopping))
        if self._next_change is not None:
            self._next_change.cancel()
            self._next_change = None
        if change_ms < math.inf:
            delay_s = max(_MIN_TIMER_S, (change_ms - now_ms) / 1000.0)
            self._next_change = dispatcher.loop.call_later(delay_s, self.apply)
        elif is_stopping and not self._is_waiting_for_idle:  # admin commands may apply the state again
            self._is_waiting_for_idle = True
            self._end_when_idle()

    def stop(self) -> None:
        """Begin a stop: become not ready; the stop ends when all requests are answered."""
        dispatcher = self.dispatcher
        now_ms = dispatcher.engine.clock.now_ms()
        if not dispatcher.lifecycle.stop(now_ms):
            return
        if dispatcher.job_service is not None:
            dispatcher.job_service.stop()
        if dispatcher.hot_restart is not None:
            dispatcher.hot_restart.stop()
        if dispatcher.cluster_member is not None:
            dispatcher.cluster_member.release_leases()
        log.info("stopping", extra={"kv": {"open": len(dispatcher.engine.open_by_call_id)}})
        longest_ms = self._longest_deadline_ms()
        deadline_ms = dispatcher.lifecycle.late_answer_deadline_ms(longest_ms)
        dispatcher.platform_api.answer_before_kill(dispatcher.lifecycle.kill_ms(longest_ms), deadline_ms)
        dispatcher.loop.call_later(LATE_MS / 1000.0, dispatcher.platform_api.limit_deadlines, deadline_ms)
        if dispatcher.hot_restart is not None:
            handover_s = max(0.0, (deadline_ms - now_ms) / 1000.0 - _HANDOVER_BEFORE_DEADLINE_S)
            dispatcher.loop.call_later(handover_s, dispatcher.hot_restart.hand_over_in_flight)
            take_back_s = handover_s + _HANDOVER_TIMEOUT_S
            dispatcher.loop.call_later(take_back_s, dispatcher.hot_restart.take_back_unwritten)
        self.apply()

    def _end_when_idle(self) -> None:
        """Complete `stopped` once clients have read their answers and no request is open or partly received.

        A process that has been replaced waits longer, since clients move to the successor when idle.
        """
        dispatcher, retired = self.dispatcher, self.dispatcher.lifecycle.retired
        longest_ms = KILL_DEADLINE_MS if retired else self._longest_deadline_ms()
        deadline_ms = dispatcher.lifecycle.late_answer_deadline_ms(longest_ms)
        has_unfinished = dispatcher.acceptor.has_unfinished_requests(math.inf if retired else _READ_ANSWER_S)
        if (restart := dispatcher.hot_restart) is not None:
            # A predecessor that still ends its own requests reaches the successor only through this process.
            has_unfinished = has_unfinished or restart.is_handing_over or restart.has_predecessor
        is_overdue = dispatcher.engine.clock.now_ms() >= deadline_ms
        if dispatcher.engine.open_by_call_id or (has_unfinished and not is_overdue):
            dispatcher.loop.call_later(_IDLE_CHECK_INTERVAL_S, self._end_when_idle)
        elif not self.stopped.done():
            log.info("stopped", extra={"kv": dict(dispatcher.engine.counts)})
            dispatcher.loop.call_later(_FLUSH_S, self.stopped.set_result, None)


def _connections_to_close(handling: ClientHandling, is_stopping: bool) -> DrainScope:
    if handling is ClientHandling.KEEP:
        return DrainScope.NONE
    return DrainScope.ALL if is_stopping else DrainScope.CLIENTS
