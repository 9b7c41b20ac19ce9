"""Runs hot restarts: executes the actions of their state machine on this dispatcher."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from grebestack.admin.commands import Command, CommandResponse, Verb
from grebestack.core import checkpoint
from grebestack.hot_restart import messages, state_machine
from grebestack.hot_restart.cordon_file import read_cordon_file, write_cordon_file
from grebestack.hot_restart.framing import FrameError
from grebestack.hot_restart.messages import Message, MessageType
from grebestack.hot_restart.rendezvous import RendezvousListener
from grebestack.program.admin_operations import LocalOperations
from grebestack.program.hot_restart_adoption import Adoption
from grebestack.program.hot_restart_handover import Handover
from grebestack.program.hot_restart_interface import RestartableDispatcher
from grebestack.program.hot_restart_peers import PeerChannels
from grebestack.program.hot_restart_state import cordon_all, inherit_state, inherited_state
from grebestack.protocol.http_workers import CallbackResult

if TYPE_CHECKING:
    from grebestack.admin.server import Respond

log = logging.getLogger(__name__)
FOLDER_NAME = "grebestack"  # in $TMPDIR
CORDON_FILE_NAME = "bans"
INHERIT_TIMEOUT_S = 2.0  # longest wait for the predecessor's state
BUSY_TIMEOUT_S = 4.0  # longest wait while the predecessor is in another restart; then both processes serve
BUSY_RETRY_S = 0.1
INHERIT_POLL_S = 0.005
HANDOVER_TIMEOUT_S = 1.0  # longest wait for the predecessor to stop accepting
COMMAND_TIMEOUT_S = 0.6  # for a peer; the operator must get a response within a second
CALLBACK_TIMEOUT_S = 1.0  # for a peer; the worker retries
MAX_PENDING_QUERIES = 1000  # beyond it a call-back is not offered to a peer; the worker retries


class HotRestartRunner:
    """This process's part in hot restarts: first as the successor, later as the predecessor."""

    def __init__(self, dispatcher: RestartableDispatcher, folder: str) -> None:
        """Register with the dispatcher's platform API and engine; `folder` is shared by the processes."""
        self.dispatcher, self.loop = dispatcher, dispatcher.loop
        path = os.path.join(folder, FOLDER_NAME)
        self.cordon_file = os.path.join(path, CORDON_FILE_NAME)
        self.rendezvous = RendezvousListener(self.loop, path)
        self.state_machine = state_machine.HotRestart()
        self.channels = PeerChannels(self.loop, self)
        self.handover = Handover(dispatcher, self.channels, self.state_machine)
        self.predecessor_attempts = checkpoint.InheritedAttempts(dispatcher.engine.policy)
        self.adoption = Adoption(dispatcher, self.state_machine.on_request_adopted, self._on_attempt_adopted)
        self.callbacks_by_query: dict[int, Callable[[bool | None], None]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.local_operations = LocalOperations(dispatcher)
        self._action_handlers = self._action_handler_table()
        dispatcher.platform_api.query_other_process = self.offer_callback
        dispatcher.platform_api.is_open_elsewhere = self._is_open_elsewhere
        dispatcher.engine.on_request_closed = self.handover.on_request_closed

    def _action_handler_table(self) -> dict[type[state_machine.Action], Callable[[Any], None]]:
        return {
            state_machine.SendMessage: self._send_message,
            state_machine.SendInheritedState: self._send_inherited_state,
            state_machine.InheritState: self._inherit_state,
            state_machine.Disconnect: self._disconnect,
            state_machine.AcceptClients: self._accept_clients,
            state_machine.HoldRendezvous: self._hold_rendezvous,
            state_machine.ShareCapacity: self._share_capacity,
            state_machine.RunCommand: self._run_command,
            state_machine.DeliverCallback: self._deliver_callback,
            state_machine.CompleteQuery: self._complete_query,
            state_machine.NoteClosed: self._note_closed,
            state_machine.NoteEnded: self._note_ended,
            state_machine.CountAttempt: self._count_attempt,
        }

    # Start and stop of the process.

    async def begin(self) -> None:
        """Inherit the state of a predecessor, if there is one.

        The workers in the file of cordoned workers are cordoned first, before anything can be sent to them.
        """
        self._read_cordon_file()
        busy_until = self.loop.time() + BUSY_TIMEOUT_S
        while not self.state_machine.has_inherited:
            sock = self.rendezvous.connect()
            if sock is None:
                self._execute(self.state_machine.on_no_predecessor())
                return
            if self.loop.time() >= busy_until:
                log.warning("elder_busy", extra={"kv": {"waited_s": BUSY_TIMEOUT_S}})
                sock.close()
                self._execute(self.state_machine.on_no_predecessor())
                return
            self._execute(self.state_machine.on_predecessor_found(self.channels.add(sock)))
            if not await self._wait_for_state():
                return  # a slow predecessor still gets READY; cordoned workers come from the file
            if self.state_machine.holds_rendezvous:
                return  # the predecessor is gone, and this process serves in its place
            if not self.state_machine.has_inherited:
                await asyncio.sleep(BUSY_RETRY_S)

    async def _wait_for_state(self) -> bool:
        """Wait until the predecessor has sent its state, refused or is lost; False after a timeout."""
        machine = self.state_machine
        try:
            async with asyncio.timeout(INHERIT_TIMEOUT_S):
                while machine.predecessor is not None and not machine.has_inherited:
                    await asyncio.sleep(INHERIT_POLL_S)
        except TimeoutError:
            log.warning("elder_silent", extra={"kv": {"waited_s": INHERIT_TIMEOUT_S}})
            return False
        return True

    def started(self) -> None:
        """Startup is complete: clients may be accepted."""
        self._execute(self.state_machine.on_started())
        self.loop.call_later(HANDOVER_TIMEOUT_S, self._on_handover_timeout)

    def _on_handover_timeout(self) -> None:
        self._execute(self.state_machine.on_handover_timeout())

    def stop(self) -> None:
        """This process is stopping: it can't be taken over any more."""
        self.state_machine.on_stop()
        self.rendezvous.close()

    def hand_over_in_flight(self) -> None:
        """Before this process is killed, leave the requests that workers run to the successor to answer."""
        if (successor := self.state_machine.successor) is not None:
            self.handover.hand_over_in_flight(successor)

    @property
    def is_handing_over(self) -> bool:
        """Whether something is yet to be written to the successor, or was taken back and is not open yet."""
        successor = self.state_machine.successor
        is_writing = successor is not None and not self.channels.is_idle(successor)
        return is_writing or bool(self.adoption.tasks)

    @property
    def has_predecessor(self) -> bool:
        """Whether the process that this one replaces is still there, and may hand over more."""
        return self.state_machine.predecessor is not None

    def take_back_unwritten(self) -> None:
        """Part from a successor that does not read: what was to go there is answered here before the kill."""
        successor = self.state_machine.successor
        if successor is not None and not self.channels.is_idle(successor):
            self._disconnect(state_machine.Disconnect(successor, "it does not read, and this process ends"))
            self._execute(self.state_machine.on_peer_lost(successor))

    # Events.

    def on_peer_message(self, peer: int, message: Message, descriptors: list[int]) -> None:
        """Adopt what a message hands over, or pass it to the state machine."""
        from_predecessor = peer == self.state_machine.predecessor
        is_handover = from_predecessor and bool(descriptors) and self.adoption.handles(message)
        if is_handover:
            self.adoption.adopt(descriptors.pop(), message)
        for descriptor in descriptors:
            os.close(descriptor)
        if not is_handover:
            self._execute(self.state_machine.on_message(peer, message))

    def on_peer_drained(self, peer: int) -> None:
        """Hand over more, now that the successor has read."""
        if peer == self.state_machine.successor:
            self.handover.proceed(peer)

    def on_unsent(self, message: Message, descriptors: Sequence[int]) -> None:
        """Serve what was to be handed over and was not written: its client is still this process's."""
        if descriptors:
            log.info("upgrade_taken_back", extra={"kv": {"what": messages.message_type(message)}})
            self.adoption.adopt(descriptors[0], message)

    def on_peer_lost(self, peer: int, reason: str) -> None:
        """Log the loss and pass it to the state machine."""
        log.info("upgrade_parted", extra={"kv": {"role": self._role_in_log(peer), "why": reason}})
        self._execute(self.state_machine.on_peer_lost(peer))

    def _role_in_log(self, peer: int) -> str:
        if peer == self.state_machine.predecessor:
            return "elder"
        return "heir" if peer == self.state_machine.successor else "other"

    def _is_open_elsewhere(self, call_id: str) -> bool:
        return call_id in self.state_machine.predecessor_open_ids

    # Actions.

    def _execute(self, actions: list[state_machine.Action]) -> None:
        for action in actions:
            self._execute_one(action)

    def _execute_one(self, action: state_machine.Action) -> None:
        self._action_handlers[type(action)](action)

    def _send_message(self, action: state_machine.SendMessage) -> None:
        self.channels.send(action.peer, action.message)

    def _send_inherited_state(self, action: state_machine.SendInheritedState) -> None:
        log.info("upgrade_heir", extra={"kv": {"open": len(self.dispatcher.engine.open_by_call_id)}})
        self.channels.send(action.peer, inherited_state(self.dispatcher))

    def _inherit_state(self, action: state_machine.InheritState) -> None:
        inherit_state(self.dispatcher, action.state)

    def _disconnect(self, action: state_machine.Disconnect) -> None:
        log.info("upgrade_apart", extra={"kv": {"why": action.reason}})
        self.channels.disconnect(action.peer)

    def _accept_clients(self, action: state_machine.AcceptClients) -> None:
        if not action.enabled:
            assert action.successor is not None
            self.handover.begin(action.successor)
            return
        self.handover.end()
        task = self.loop.create_task(self.dispatcher.accept_and_serve())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _hold_rendezvous(self, action: state_machine.HoldRendezvous) -> None:
        if action.enabled:
            self.rendezvous.listen(self._on_peer_connected)
        else:
            self.rendezvous.close()

    def _on_peer_connected(self, sock: socket.socket) -> None:
        self.channels.add(sock)

    def _share_capacity(self, action: state_machine.ShareCapacity) -> None:
        self.dispatcher.limit_connections(action.processes)

    def _run_command(self, action: state_machine.RunCommand) -> None:
        """Run a peer's command here and in the processes behind this one; a peer awaits no late response."""
        self.dispatcher.table.remember_names({action.worker})
        succeeded = self._execute_locally(Command(Verb(action.verb), action.worker)).succeeded

        def respond(all_succeeded: bool | None) -> None:
            if all_succeeded is not None:
                result = messages.command_result(action.number, succeeded and all_succeeded)
                self.channels.send(action.peer, result)

        query = self.state_machine.query_command(action.verb, action.worker, action.peer)
        self._query(query, COMMAND_TIMEOUT_S, respond)

    def _deliver_callback(self, action: state_machine.DeliverCallback) -> None:
        """Take a peer's call-back, or offer it to the processes behind this one."""
        body = action.body.encode("utf-8", "surrogateescape")

        def respond(accepted: bool | None) -> None:
            if accepted is not None:
                self.channels.send(action.peer, messages.callback_result(action.number, accepted))

        result = self.dispatcher.http_workers.on_callback(body)
        if result is CallbackResult.UNKNOWN:
            self.offer_callback(body, respond, action.peer)
        else:
            respond(result is CallbackResult.ACCEPTED)

    def _complete_query(self, action: state_machine.CompleteQuery) -> None:
        on_complete = self.callbacks_by_query.pop(action.number, None)
        if on_complete is not None:
            on_complete(action.result)

    def _note_closed(self, action: state_machine.NoteClosed) -> None:
        self.dispatcher.platform_api.ended_ids.add(action.call_id)
        self.handover.on_request_closed(action.call_id)

    def _note_ended(self, action: state_machine.NoteEnded) -> None:
        self.dispatcher.platform_api.ended_ids.update(action.call_ids)

    def _on_attempt_adopted(self, key: str) -> None:
        self.predecessor_attempts.end(key, self.dispatcher.clock.now_ms())

    def _count_attempt(self, action: state_machine.CountAttempt) -> None:
        message, now_ms = action.message, self.dispatcher.clock.now_ms()
        if message is None:
            self.predecessor_attempts.end_all(now_ms)
        elif messages.message_type(message) == MessageType.ATTEMPT_ENDED:
            self.predecessor_attempts.end(str(message["key"]), now_ms)
        else:
            self.predecessor_attempts.add(
                str(message["key"]),
                str(message["worker"]),
                float(message["slots"]),
                float(message["memory"]),
                float(message["sent_ms"]),
                str(message["class"]),
            )

    # Queries to the other processes.

    def _query(
        self,
        query: tuple[int, list[state_machine.Action]],
        timeout_s: float,
        on_complete: Callable[[bool | None], None],
    ) -> None:
        number, actions = query
        timer = self.loop.call_later(timeout_s, self._on_query_timeout, number)

        def complete(result: bool | None) -> None:
            timer.cancel()
            on_complete(result)

        self.callbacks_by_query[number] = complete
        self._execute(actions)

    def _on_query_timeout(self, number: int) -> None:
        self._execute(self.state_machine.on_query_timeout(number))

    def offer_callback(
        self, body: bytes, reply: Callable[[bool | None], None], asked_by: int | None = None
    ) -> None:
        """Offer the other processes, but the peer that has asked, a call-back that is unknown here.

        `reply` is called with whether any process accepted it, or None if that is not known in time.
        """

        def complete(accepted: bool | None) -> None:
            if accepted is False:  # the request may have been handed over to this process meanwhile
                accepted = self.dispatcher.http_workers.on_callback(body) is CallbackResult.ACCEPTED
            reply(accepted)

        if len(self.callbacks_by_query) >= MAX_PENDING_QUERIES:
            reply(None)
            return
        query = self.state_machine.query_callback(body.decode("utf-8", "surrogateescape"), asked_by)
        self._query(query, CALLBACK_TIMEOUT_S, complete)

    # Admin commands.

    def run(self, command: Command, respond: Respond) -> None:
        """Run an operator's command here, then in the other processes; it succeeds if all do.

        If another process fails, the effect here stays; the operator may repeat the command.
        """
        response = self._execute_locally(command)
        if command.verb is Verb.RESUME and self.dispatcher.lifecycle.retired:
            response = CommandResponse(
                True, "passed on to the process that serves"
            )  # this one may be stopping
        if command.verb is Verb.HEALTH or not response.succeeded or not self.state_machine.peers:
            respond(response)
            return

        def complete(succeeded: bool | None) -> None:
            if succeeded:
                respond(response)
                return
            failure = "did not respond" if succeeded is None else "could not run it"
            respond(CommandResponse(False, f"the other process of the hot restart {failure}; call again"))

        query = self.state_machine.query_command(command.verb.value, command.target)
        self._query(query, COMMAND_TIMEOUT_S, complete)

    def _execute_locally(self, command: Command) -> CommandResponse:
        response = self.local_operations.execute(command)
        if command.verb.takes_target:
            self._write_cordon_file()
        return response

    # The file of cordoned workers.

    def _read_cordon_file(self) -> None:
        try:
            cordon_all(self.dispatcher.table, read_cordon_file(self.cordon_file))
        except (FrameError, OSError) as error:
            log.warning("bans_refused", extra={"kv": {"file": self.cordon_file, "why": error}})

    def _write_cordon_file(self) -> None:
        try:
            write_cordon_file(self.cordon_file, self.dispatcher.table.cordoned)
        except OSError as error:
            log.error("bans_unwritten", extra={"kv": {"why": error}})
