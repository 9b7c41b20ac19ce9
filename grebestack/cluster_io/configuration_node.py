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
TASK = "configuration"  # the task under which voters exchange messages


class ConfigurationNode:
    """One voter; `take` is called on the loop for each version that is to be in force here.

    Raises
    ------
    OSError, FolderTakenError
        The folder can't be used.
    """

    def __init__(self, node: Node, folder: str, take: ApplyVersion, files: Files | None = None) -> None:
        """Open the folder and build the voter; `start` begins its work."""
        self.node, self.loop, self.clock, self.take = node, node.loop, node.clock, take
        settings = node.settings
        self.contents = ConfigStore(node.loop, folder, settings.cluster, files)
        self.held = self.contents.open()
        for doubt in self.held.corrupt_files:
            log.warning("configuration_doubted", extra={"kv": {"why": doubt}})
        self.voter = ConfigurationVoter(
            settings.name, settings.cluster, self.held.incarnation, node.random, self.clock()
        )
        self.relay: LocalRelay | None = None
        # Called when a version is applied or refused, or a majority has confirmed the version in force.
        self.on_applied_or_confirmed: Callable[[], None] = lambda: None
        self.last_proposal_id = 0
        self.asked: dict[int, Callable[[ProposalResult], None]] = {}  # by proposal id
        self.counted = dict.fromkeys(("messages_in", "messages_out", "bytes_in", "bytes_out"), 0)
        self.performers = self._performers()
        self.turns: ActionRunner[ConfigurationAction] = ActionRunner(
            self.loop,
            self.clock,
            self.voter,
            self._perform,
            lambda: self.voter.tick(self.clock(), self._view()),
        )

    @property
    def version(self) -> Version:
        """The newest decided version whose contents are here; it may not be stored yet, or be refused."""
        return self.voter.version

    @property
    def counts(self) -> Mapping[str, int]:
        """Messages and bytes each way among voters, for the configuration alone."""
        return self.counted

    def status_lines(self) -> list[str]:
        """Describe the newest decided version, and who has it, to operators."""
        return self.voter.status_lines(self.clock())

    def start(self) -> None:
        """Begin to take messages, from what the disk holds."""
        self.node.message_handlers[TASK] = self._on_message
        self.turns.run(self.voter.start(self.clock(), list(self.held.versions), self.held.undecided))

    def stop(self) -> None:
        """Carry out no more actions and close the disk."""
        self.turns.stop()
        self.contents.close()

    def propose(self, contents: bytes, ended: Callable[[ProposalResult], None]) -> None:
        """Propose contents; `ended` is called once with the result."""
        self.last_proposal_id += 1
        self.asked[self.last_proposal_id] = ended
        proposed_at_ms = time.time_ns() // 1_000_000
        self.turns.run(
            self.voter.propose(self.clock(), self.last_proposal_id, contents, proposed_at_ms, self._view())
        )

    def on_status_report(self, report: StatusReport) -> None:
        """Take a relay's status report."""
        if not self.turns.stopped:
            self.turns.run(self.voter.on_status_report(self.clock(), report, self._view()))

    def _view(self) -> VoterView:
        """Return this voter's disk and membership at this moment."""
        member = self.node.replica
        slot = member.acceptor.state.registers.get(REGISTER)
        accepted = slot.value.number if slot is not None and isinstance(slot.value, Version) else 0
        roll = member.config
        return VoterView(
            accepted if member.acceptor.may_vote else -1,
            roll.epoch,
            roll.names(),
            roll.quorum_size,
            frozenset(self.node.connections),
        )

    def _on_message(self, name: str, body: bytes) -> None:
        self.counted["messages_in"] += 1
        self.counted["bytes_in"] += len(body)
        if not self.turns.stopped:
            self.turns.run(self.voter.on_message(self.clock(), name, body, self._view()))

    # Actions of the pure part.

    def _performers(self) -> dict[type[ConfigurationAction], Callable[[Any], None]]:
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

    def _perform(self, action: ConfigurationAction) -> None:
        self.performers[type(action)](action)

    def _send(self, action: SendToVoter) -> None:
        self.counted["messages_out"] += 1
        self.counted["bytes_out"] += len(action.body)
        self.node.send_task_message(action.to, TASK, action.body)

    def _store_contents(self, action: StoreContents) -> None:
        self.contents.store_undecided(action.digest, action.contents, partial(self._kept, action.digest))

    def _discard_contents(self, action: DiscardContents) -> None:
        self.contents.discard_undecided(action.digest)

    def _store(self, action: Store) -> None:
        stored = partial(self._stored, action.version.number)
        self.contents.store(action.version, action.contents, action.keep_number, stored, action.also_keep)

    def _apply(self, action: Apply) -> None:
        why = self.take(action.version, action.contents)
        self.turns.run(self.voter.on_applied(self.clock(), action.version.number, why))
        self.on_applied_or_confirmed()

    def _publish(self, action: PublishVersion) -> None:
        if self.relay is not None:
            self.relay.publish(action.version, action.contents)

    def _confirm(self, action: MajorityConfirmed) -> None:
        if self.relay is not None:
            self.relay.on_majority_confirmed(action.at_ms)
        self.on_applied_or_confirmed()

    def _change_register(self, action: ChangeRegister) -> None:
        self.node.propose(REGISTER, register_change(action.version), self._registered)

    def _report_result(self, action: ProposalResult) -> None:
        ended = self.asked.pop(action.proposal_id, None)
        if ended is not None:
            ended(action)

    # What became of them.

    def _kept(self, digest: str, why: str) -> None:
        if not self.turns.stopped:
            self.turns.run(self.voter.on_contents_stored(self.clock(), digest, why))

    def _stored(self, number: int, why: str) -> None:
        if not self.turns.stopped:
            self.turns.run(self.voter.on_stored(self.clock(), number, why))

    def _registered(self, known: bool, value: Value) -> None:
        if not self.turns.stopped:
            self.turns.run(self.voter.on_register_result(self.clock(), known, value, self._view()))
