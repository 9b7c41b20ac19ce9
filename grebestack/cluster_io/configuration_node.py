"""Runs a configuration voter: connects the pure voter to the consensus node, its disk and its relay."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

from grebestack.cluster_io.action_runner import ActionRunner
from grebestack.cluster_io.config_store import ConfigStore
from grebestack.cluster_io.follower_client import ApplyVersion, LocalRelay
from grebestack.cluster_io.log_store import Files
from grebestack.cluster_io.node import Node
from grebestack.cluster_io.runtime import write_log
from grebestack.config_distribution.actions import (
    Apply,
    ChangeRegister,
    ConfigurationAction,
    DiscardContents,
    MajorityConfirmed,
    ProposalResult,
    PublishVersion,
    SendToVoter,
    Store,
    StoreContents,
)
from grebestack.config_distribution.messages import StatusReport
from grebestack.config_distribution.register_access import REGISTER, register_change
from grebestack.config_distribution.versions import Version
from grebestack.config_distribution.voter import ConfigurationVoter
from grebestack.config_distribution.voter_state import VoterView
from grebestack.consensus.actions import LogMessage
from grebestack.consensus.register import Value

log = logging.getLogger(__name__)
TASK_NAME = "configuration"  # the task under which voters exchange messages


class ConfigurationNode:
    """One voter. `apply_version` is called on the loop for each version to put in force here.

    Raises
    ------
    OSError, FolderTakenError
        The folder can't be used.
    """

    def __init__(
        self, node: Node, folder: str, apply_version: ApplyVersion, files: Files | None = None
    ) -> None:
        """Open the folder and create the voter; `start` begins its work."""
        self.node, self.loop, self.clock, self.apply_version = node, node.loop, node.clock, apply_version
        settings = node.settings
        self.store = ConfigStore(node.loop, folder, settings.cluster, files)
        self.recovered = self.store.open()
        for corrupt_file in self.recovered.corrupt_files:
            log.warning("configuration_doubted", extra={"kv": {"why": corrupt_file}})
        self.voter = ConfigurationVoter(
            settings.name, settings.cluster, self.recovered.incarnation, node.random, self.clock()
        )
        self.relay: LocalRelay | None = None
        # Called when a version is applied or refused, or a majority has confirmed the version in force.
        self.on_applied_or_confirmed: Callable[[], None] = lambda: None
        self.last_proposal_id = 0
        self.proposal_callbacks: dict[int, Callable[[ProposalResult], None]] = {}  # by proposal id
        self.counters = dict.fromkeys(("messages_in", "messages_out", "bytes_in", "bytes_out"), 0)
        self.action_handlers = self._action_handler_table()
        self.action_runner: ActionRunner[ConfigurationAction] = ActionRunner(
            self.loop,
            self.clock,
            self.voter,
            self._carry_out,
            lambda: self.voter.tick(self.clock(), self._view()),
        )

    @property
    def version(self) -> Version:
        """The newest decided version whose contents this voter has; it may be not yet stored, or refused."""
        return self.voter.version

    @property
    def counts(self) -> Mapping[str, int]:
        """Messages and bytes of the configuration task, received from and sent to other voters."""
        return self.counters

    def status_lines(self) -> list[str]:
        """Describe the newest decided version, and which dispatchers have it, for operators."""
        return self.voter.status_lines(self.clock())

    def start(self) -> None:
        """Start the voter with what the disk holds, and handle messages from now on."""
        self.node.message_handlers[TASK_NAME] = self._on_message
        self.action_runner.run(
            self.voter.start(self.clock(), list(self.recovered.versions), self.recovered.undecided)
        )

    def stop(self) -> None:
        """Carry out no more actions, and close the store."""
        self.action_runner.stop()
        self.store.close()

    def propose(self, contents: bytes, on_ended: Callable[[ProposalResult], None]) -> None:
        """Propose contents; `on_ended` is called once with the result."""
        self.last_proposal_id += 1
        self.proposal_callbacks[self.last_proposal_id] = on_ended
        proposed_at_ms = time.time_ns() // 1_000_000
        self.action_runner.run(
            self.voter.propose(self.clock(), self.last_proposal_id, contents, proposed_at_ms, self._view())
        )

    def on_status_report(self, report: StatusReport) -> None:
        """Handle a relay's status report."""
        if not self.action_runner.stopped:
            self.action_runner.run(self.voter.on_status_report(self.clock(), report, self._view()))

    def _view(self) -> VoterView:
        """Return the voter's view of its register and of the membership, as they are now."""
        replica = self.node.replica
        register = replica.acceptor.state.registers.get(REGISTER)
        accepted = (
            register.value.number if register is not None and isinstance(register.value, Version) else 0
        )
        config = replica.config
        return VoterView(
            accepted if replica.acceptor.may_vote else -1,
            config.epoch,
            config.names(),
            config.quorum_size,
            frozenset(self.node.connections),
        )

    def _on_message(self, name: str, body: bytes) -> None:
        self.counters["messages_in"] += 1
        self.counters["bytes_in"] += len(body)
        if not self.action_runner.stopped:
            self.action_runner.run(self.voter.on_message(self.clock(), name, body, self._view()))

    # Actions of the voter's state machine.

    def _action_handler_table(self) -> dict[type[ConfigurationAction], Callable[[Any], None]]:
        return {
            SendToVoter: self._send,
            StoreContents: self._store_contents,
            DiscardContents: self._discard_contents,
            Store: self._store,
            Apply: self._apply,
            PublishVersion: self._publish,
            MajorityConfirmed: self._confirm,
            ChangeRegister: self._change_register,
            ProposalResult: self._report_result,
            LogMessage: write_log,
        }

    def _carry_out(self, action: ConfigurationAction) -> None:
        self.action_handlers[type(action)](action)

    def _send(self, action: SendToVoter) -> None:
        self.counters["messages_out"] += 1
        self.counters["bytes_out"] += len(action.body)
        self.node.send_task_message(action.to, TASK_NAME, action.body)

    def _store_contents(self, action: StoreContents) -> None:
        self.store.store_undecided(
            action.digest, action.contents, partial(self._on_contents_stored, action.digest)
        )

    def _discard_contents(self, action: DiscardContents) -> None:
        self.store.discard_undecided(action.digest)

    def _store(self, action: Store) -> None:
        on_stored = partial(self._on_stored, action.version.number)
        self.store.store(action.version, action.contents, action.keep_number, on_stored, action.also_keep)

    def _apply(self, action: Apply) -> None:
        reason = self.apply_version(action.version, action.contents)
        self.action_runner.run(self.voter.on_applied(self.clock(), action.version.number, reason))
        self.on_applied_or_confirmed()

    def _publish(self, action: PublishVersion) -> None:
        if self.relay is not None:
            self.relay.publish(action.version, action.contents)

    def _confirm(self, action: MajorityConfirmed) -> None:
        if self.relay is not None:
            self.relay.on_majority_confirmed(action.at_ms)
        self.on_applied_or_confirmed()

    def _change_register(self, action: ChangeRegister) -> None:
        self.node.propose(REGISTER, register_change(action.version), self._on_register_result)

    def _report_result(self, action: ProposalResult) -> None:
        on_ended = self.proposal_callbacks.pop(action.proposal_id, None)
        if on_ended is not None:
            on_ended(action)

    # Results of actions.

    def _on_contents_stored(self, digest: str, reason: str) -> None:
        if not self.action_runner.stopped:
            self.action_runner.run(self.voter.on_contents_stored(self.clock(), digest, reason))

    def _on_stored(self, number: int, reason: str) -> None:
        if not self.action_runner.stopped:
            self.action_runner.run(self.voter.on_stored(self.clock(), number, reason))

    def _on_register_result(self, known: bool, value: Value) -> None:
        if not self.action_runner.stopped:
            self.action_runner.run(self.voter.on_register_result(self.clock(), known, value, self._view()))
