"""Every message that two processes of a hot restart send each other, as the packets of their channel."""

from __future__ import annotations

from collections.abc import Sequence
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import MagicMock

from grebestack.core import checkpoint
from grebestack.core.api import (
    LaterReport,
    ListKind,
    Outcome,
    RequestArrived,
    WorkerEntry,
    WorkersListed,
)
from grebestack.core.policy import Policy
from grebestack.hot_restart import framing, messages, state_machine
from grebestack.program.hot_restart import HotRestartRunner
from grebestack.protocol.http_workers import CallbackResult
from grebestack.protocol.platform import PlatformResponder
from grebestack.routing.requests import Attempt, InFlightAttempt, Payload, Request
from grebestack.routing.worker_table import WorkerTable
from grebestack.transport.http_message import HttpRequest
from tests.golden_samples import WORKER
from tests.policy_driver import BASE

PEER = 1
REQUEST = HttpRequest(
    b"POST", b"/call?x=1", {b"x-call-id": b"job-1", b"x-caller": b"caf\xe9"}, b"\x00body\xff", False
)


class RecordingChannel:
    """Records the messages that are sent."""

    is_idle, is_full = True, False

    def __init__(self) -> None:
        self.messages: list[dict[str, Any]] = []

    def send(self, message: dict[str, Any], descriptors: Sequence[int] = ()) -> None:
        """Record a message."""
        self.messages.append(message)


def policy_with_state() -> Policy:
    """A policy with a distinct value in each field that a checkpoint has."""
    policy = Policy(BASE, 1)
    policy.handle(1.0, WorkersListed(ListKind.FULL, (WorkerEntry("runner-1"),)))
    worker = policy.workers["runner-1"]
    worker.concurrency_limit, worker.slowness, worker.consecutive_overloads = 1.5, 2.5, 3
    worker.backoff_until_ms, worker.raise_limit_after_ms = 4.5, 5.5
    worker.warm_at_ms, worker.last_success_ms = 6.5, 7.5
    worker.first_connection_error_ms, worker.consecutive_connection_errors = 8.5, 9
    worker.max_free_slots, worker.max_free_memory, worker.load_updated_ms = 10.5, 11.5, 12.5
    worker.others_slots, worker.others_memory, worker.own_slots, worker.rounding = 13.5, 14.5, 15.5, 16.5
    policy.estimates.run_ms[:] = [101.0, 102.0, 103.0]
    policy.estimates.slots[:] = [1.25, 2.25, 3.25]
    policy.estimates.kind_slots, policy.estimates.kind_weight = {0: 8.0, 4: 9.0}, {0: 18.0, 5: 19.0}
    policy.estimates.others_load, policy.estimates.request_value = (20.5, 21.5), 22.5
    return policy


def keepsake() -> dict[str, Any]:
    """The checkpoint of `policy_with_state`."""
    return checkpoint.save_checkpoint(policy_with_state())


def keepsake_taken(raw: dict[str, Any]) -> dict[str, Any]:
    """The checkpoint of a new policy that has restored this one."""
    policy = Policy(BASE, 2)
    policy.handle(1.0, WorkersListed(ListKind.FULL, (WorkerEntry("runner-1"),)))
    checkpoint.restore_checkpoint(policy, raw)
    return checkpoint.save_checkpoint(policy)


def state_machine_messages() -> list[dict[str, Any]]:
    """The messages of the state machine."""
    successor, predecessor = state_machine.HotRestart(), state_machine.HotRestart()
    actions = successor.on_predecessor_found(PEER) + successor.on_started()
    actions += successor.query_command("cordon", "runner-1")[1]
    actions += successor.query_callback("the body of a call-back")[1]
    actions += predecessor.on_message(2, {"is": "hello", "version": messages.PROTOCOL_VERSION})
    sent = [action.message for action in actions if isinstance(action, state_machine.SendMessage)]
    return [*sent, messages.request_closed("job-1")]


def busy_dispatcher() -> MagicMock:
    """A mock of a dispatcher with one open request, which has one attempt in flight."""
    dispatcher = MagicMock()
    table = WorkerTable()
    table.update(ListKind.FULL, [WORKER])
    table.remember_names(["runner-9"])
    responder = PlatformResponder(MagicMock(), MagicMock(), REQUEST)
    arrival = RequestArrived(41, 2, 5000.5, 1.5, 2.5)
    request = Request("job-1", arrival, Payload(b"head", b"body"), responder)
    request.attempts.append(Attempt(request, 3, "runner-1", 4000.25))
    ended = Attempt(request, 2, "runner-2", 3000.25, callback_id="runner-2", outcome=Outcome.REJECTED)
    ended.later_report = LaterReport.SAME
    failed = Attempt(request, 1, "runner-3", 2000.25, callback_id="runner-3", outcome=Outcome.RESET)
    failed.zone, failed.cell = 1, 4
    request.attempts += [ended, failed]
    dispatcher.table, dispatcher.lifecycle.quiesced, dispatcher.lifecycle.retired = table, True, True
    dispatcher.list_reader.unix_to_clock_ms = -123.5
    dispatcher.http_workers.on_callback.return_value = CallbackResult.ACCEPTED
    dispatcher.http_workers.hand_over.return_value = InFlightAttempt(
        "runner-1", "runner-1", WORKER.address, 4000.25
    )
    dispatcher.platform_api.ended_ids.newest.return_value = ["job-0"]
    engine = dispatcher.engine
    engine.policy, engine.settings = policy_with_state(), BASE
    engine.requests, engine.open_by_call_id = {41: request}, {"job-1": request}
    engine.open_requests.return_value = [request]
    engine.withdraw_waiting.return_value = True
    engine.hand_over.return_value = request.attempts[0]
    return dispatcher


def runner_messages(folder: str) -> list[dict[str, Any]]:
    """The messages of the runner, with the cordoned workers among them."""
    dispatcher, channel, connection = (
        busy_dispatcher(),
        RecordingChannel(),
        MagicMock(is_client=True, busy=False),
    )
    runner = HotRestartRunner(dispatcher, folder)
    channels: Any = runner.channels.by_peer
    channels[PEER] = channel
    runner.state_machine.successor, runner.state_machine.successor_reads_history = PEER, True
    runner._execute_one(state_machine.RunCommand(PEER, 5, "cordon", "runner-1"))
    runner._execute_one(state_machine.DeliverCallback(PEER, 6, "the body of a call-back"))
    runner._execute_one(state_machine.SendInheritedState(PEER))
    runner._execute_one(state_machine.AcceptClients(False, PEER))
    engine = dispatcher.engine
    (request,) = engine.requests.values()
    engine.on_attempt_sent(request.attempts[0])
    engine.on_attempt_ended(request.attempts[0])
    engine.on_request_closed("job-1")
    dispatcher.acceptor.hand_over.call_args.args[0](connection, True)
    engine.is_waiting.return_value = False  # a worker has it by now
    runner.hand_over_in_flight()
    return channel.messages


def handover_packets() -> dict[str, list[str]]:
    """The packets of each message, by its type; a long message takes several."""
    with TemporaryDirectory() as folder:
        messages = state_machine_messages() + runner_messages(folder)
    packets = {
        message["is"] + (" (moved)" if message.get("moved") else ""): [
            packet.decode() for packet in framing.pack(message)
        ]
        for message in messages
    }
    long_message = framing.pack(
        {"is": "call", "n": 1, "verb": "cordon", "server": "r" * framing.MAX_PACKET_PAYLOAD_BYTES}
    )
    packets["call in two packets"] = [packet.decode() for packet in long_message]
    return packets
