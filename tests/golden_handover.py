"""Every message that two processes of an upgrade send each other, as the packets of their channel."""

from __future__ import annotations

from collections.abc import Sequence
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import MagicMock

from grebestack.core import checkpoint
from grebestack.core.api import ListKind, RequestArrived, WorkerEntry, WorkersListed
from grebestack.core.policy import Policy
from grebestack.hot_restart import framing, messages, state_machine
from grebestack.program.hot_restart import HotRestartRunner
from grebestack.protocol.http_workers import CallbackResult
from grebestack.protocol.platform import PlatformResponder
from grebestack.routing.requests import Attempt, Payload, Request
from grebestack.routing.worker_table import WorkerTable
from grebestack.transport.server import HttpRequest
from tests.golden_samples import WORKER
from tests.policy_driver import BASE

PEER = 1
REQUEST = HttpRequest(
    b"POST", b"/call?x=1", {b"x-call-id": b"job-1", b"x-caller": b"caf\xe9"}, b"\x00body\xff", False
)


class RecordingChannel:
    """Keeps the messages that are sent."""

    def __init__(self) -> None:
        self.messages: list[dict[str, Any]] = []

    def send(self, message: dict[str, Any], fds: Sequence[int] = ()) -> None:
        """Keep a message."""
        self.messages.append(message)


def taught_policy() -> Policy:
    """A policy that has learned a value of its own in each place."""
    policy = Policy(BASE, 1)
    policy.handle(1.0, WorkersListed(ListKind.FULL, (WorkerEntry("runner-1"),)))
    view = policy.workers["runner-1"]
    view.concurrency_limit, view.slowness, view.consecutive_overloads = 1.5, 2.5, 3
    view.backoff_until_ms, view.raise_limit_after_ms = 4.5, 5.5
    view.warm_at_ms, view.last_success_ms = 6.5, 7.5
    view.first_connection_error_ms, view.consecutive_connection_errors = 8.5, 9
    view.max_free_slots, view.max_free_memory, view.load_updated_ms = 10.5, 11.5, 12.5
    view.others_slots, view.others_memory, view.own_slots, view.rounding = 13.5, 14.5, 15.5, 16.5
    policy.estimates.run_ms[:] = [101.0, 102.0, 103.0]
    policy.estimates.slots[:] = [1.25, 2.25, 3.25]
    policy.estimates.kind_slots, policy.estimates.kind_weight = {0: 8.0, 4: 9.0}, {0: 18.0, 5: 19.0}
    policy.estimates.others_load, policy.estimates.request_value = (20.5, 21.5), 22.5
    return policy


def keepsake() -> dict[str, Any]:
    """What is kept of what the policy has learned."""
    return checkpoint.save_checkpoint(taught_policy())


def keepsake_taken(raw: dict[str, Any]) -> dict[str, Any]:
    """What a new policy keeps after it has taken this."""
    policy = Policy(BASE, 2)
    policy.handle(1.0, WorkersListed(ListKind.FULL, (WorkerEntry("runner-1"),)))
    checkpoint.restore_checkpoint(policy, raw)
    return checkpoint.save_checkpoint(policy)


def state_machine_messages() -> list[dict[str, Any]]:
    """What the pact itself says."""
    successor, predecessor = state_machine.HotRestart(), state_machine.HotRestart()
    actions = successor.on_predecessor_found(PEER) + successor.on_started()
    actions += successor.query_command("cordon", "runner-1")[1]
    actions += successor.query_callback("the body of a call-back")[1]
    actions += predecessor.on_message(2, {"is": "hello", "version": messages.PROTOCOL_VERSION})
    return [action.message for action in actions if isinstance(action, state_machine.SendMessage)]


def busy_dispatcher() -> MagicMock:
    """Stands in for a dispatcher that has one open job with a dispatch that is out."""
    dispatcher = MagicMock()
    table = WorkerTable()
    table.update(ListKind.FULL, [WORKER])
    table.remember_names(["runner-9"])
    answer = PlatformResponder(MagicMock(), MagicMock(), REQUEST)
    asked = RequestArrived(41, 2, 5000.5, 1.5, 2.5)
    session = Request("job-1", asked, Payload(b"head", b"body"), answer)
    session.attempts.append(Attempt(session, 3, "runner-1", 4000.25))
    dispatcher.table, dispatcher.lifecycle.quiesced, dispatcher.lifecycle.retired = table, True, True
    dispatcher.list_reader.unix_to_clock_ms = -123.5
    dispatcher.http_workers.on_callback.return_value = CallbackResult.ACCEPTED
    dispatcher.http_workers.hand_over.return_value = "runner-1"
    engine = dispatcher.engine
    engine.policy, engine.settings = taught_policy(), BASE
    engine.requests, engine.open_by_call_id = {41: session}, {"job-1": session}
    engine.open_requests.return_value = [session]
    engine.withdraw_unsent.return_value = True
    engine.hand_over.return_value = session.attempts[0]
    return dispatcher


def runner_messages(folder: str) -> list[dict[str, Any]]:
    """What the shell around the pact says, with the bans of operators among it."""
    dispatcher, channel, connection = (
        busy_dispatcher(),
        RecordingChannel(),
        MagicMock(is_client=True, busy=False),
    )
    runner = HotRestartRunner(dispatcher, folder)
    channels: Any = runner.channels.by_peer
    channels[PEER] = channel
    runner.state_machine.successor = PEER
    runner._execute_one(state_machine.RunCommand(PEER, 5, "cordon", "runner-1"))
    runner._execute_one(state_machine.DeliverCallback(PEER, 6, "the body of a call-back"))
    runner._execute_one(state_machine.SendInheritedState(PEER))
    runner._execute_one(state_machine.AcceptClients(False, PEER))
    engine = dispatcher.engine
    (session,) = engine.requests.values()
    engine.on_attempt_sent(session.attempts[0])
    engine.on_attempt_ended(session.attempts[0])
    engine.on_request_closed("job-1")
    dispatcher.acceptor.hand_over.call_args.args[0](connection, True)
    runner.hand_over_in_flight()
    return channel.messages


def handover_packets() -> dict[str, list[str]]:
    """The packets of each message, by its name on the channel; a long one takes several."""
    with TemporaryDirectory() as folder:
        messages = state_machine_messages() + runner_messages(folder)
    packets = {message["is"]: [packet.decode() for packet in framing.pack(message)] for message in messages}
    long = framing.pack(
        {"is": "call", "n": 1, "verb": "cordon", "server": "r" * framing.MAX_PACKET_PAYLOAD_BYTES}
    )
    packets["call in two packets"] = [packet.decode() for packet in long]
    return packets
