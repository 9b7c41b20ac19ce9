"""Runs admin commands on this dispatcher."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from grebestack.admin.commands import Command, CommandResponse, Verb
from grebestack.program.lifecycle import Lifecycle

if TYPE_CHECKING:
    from grebestack.admin.server import Respond
    from grebestack.routing.interfaces import Clock
    from grebestack.routing.worker_table import WorkerTable

MAX_NAME_CHARACTERS = 80  # of an unknown worker's name in a response


class RollingRestart(Protocol):
    """The rolling restart of the cluster."""

    def begin(self, respond: Respond, /) -> None:
        """Begin a rolling restart."""

    def halt(self, respond: Respond, /) -> None:
        """Halt the rolling restart that is in progress."""


class ClusterMember(Protocol):
    """This dispatcher as a member of a cluster."""

    @property
    def rolling_restart(self) -> RollingRestart:
        """The rolling restart."""

    def describe(self) -> str:
        """Return the members and their states as one line."""

    def describe_leases(self) -> str:
        """Return the leases and the rolling restart as one line."""

    def remove_member(self, name: str, /) -> CommandResponse:
        """Remove a member from the cluster."""


class ConfigUpdates(Protocol):
    """The configuration updates that are distributed to all dispatchers."""

    def describe(self) -> str:
        """Return the configuration version in force as one line."""

    def propose_file(self, path: str, respond: Respond, /) -> None:
        """Propose the contents of a file as the next configuration version."""


class AuditRecorder(Protocol):
    """The audit log, which records admin commands."""

    def on_command(self, command: Command, /) -> None:
        """Record a command that is about to run."""


class Dispatcher(Protocol):
    """What admin commands use of the dispatcher."""

    lifecycle: Lifecycle
    table: WorkerTable

    @property
    def cluster_member(self) -> ClusterMember | None:
        """The dispatcher as a member of a cluster; None where it is none."""

    @property
    def config_updates(self) -> ConfigUpdates | None:
        """The configuration updates; None where only the local file is used."""

    @property
    def audit_recorder(self) -> AuditRecorder | None:
        """The audit log; None where none is kept."""

    @property
    def clock(self) -> Clock:
        """The monotonic clock."""

    def apply_lifecycle(self) -> None:
        """Put the state of `lifecycle` into effect."""


class LocalOperations:
    """Runs commands in this process."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Run commands on a dispatcher."""
        self.dispatcher = dispatcher

    def run(self, command: Command, respond: Respond) -> None:
        """Record and run a command; one that needs other members may respond later."""
        dispatcher, verb = self.dispatcher, command.verb
        if dispatcher.audit_recorder is not None and verb.changes_state:
            dispatcher.audit_recorder.on_command(command)
        if verb is Verb.RESTART and dispatcher.cluster_member is not None:
            dispatcher.cluster_member.rolling_restart.begin(respond)
        elif verb is Verb.HALT and dispatcher.cluster_member is not None:
            dispatcher.cluster_member.rolling_restart.halt(respond)
        elif verb is Verb.CONFIGURE and dispatcher.config_updates is not None:
            dispatcher.config_updates.propose_file(command.target, respond)
        else:
            respond(self.execute(command))

    def execute(self, command: Command) -> CommandResponse:
        """Run a command without recording it; on SUCCESS its effect holds when this returns."""
        if command.verb is Verb.HEALTH:
            return self._health()
        if command.verb.is_for_cluster:
            return self._execute_for_cluster(command)
        if command.verb.takes_target:
            return self._cordon(command.target, command.verb is Verb.CORDON)
        return self._change_lifecycle(command.verb)

    def _health(self) -> CommandResponse:
        state = self.dispatcher.lifecycle
        return CommandResponse(
            state.is_ready, "ready" if state.is_ready else f"not ready: {state.stage.value}"
        )

    def _change_lifecycle(self, verb: Verb) -> CommandResponse:
        lifecycle, now_ms = self.dispatcher.lifecycle, self.dispatcher.clock.now_ms()
        if verb is Verb.RESUME and not lifecycle.resume(now_ms):
            return CommandResponse(False, "stopping: a stop can't be taken back")
        if verb is Verb.QUIESCE:
            lifecycle.quiesce(now_ms)
        self.dispatcher.apply_lifecycle()
        return CommandResponse(True, lifecycle.stage.value)

    def _execute_for_cluster(self, command: Command) -> CommandResponse:
        member, updates = self.dispatcher.cluster_member, self.dispatcher.config_updates
        if command.verb is Verb.CONFIGURE:
            return CommandResponse(
                False, "no configuration goes through a fleet here; the file needs [fleet.relays]"
            )
        if command.verb is Verb.FLEET and updates is not None:
            members = f"{member.describe()}; " if member is not None else ""
            return CommandResponse(True, members + updates.describe())
        if member is None:
            return CommandResponse(False, "this dispatcher is a member of no fleet")
        if command.verb is Verb.DROP:
            return member.remove_member(command.target)
        return CommandResponse(
            True, member.describe() if command.verb is Verb.FLEET else member.describe_leases()
        )

    def _cordon(self, worker: str, cordoned: bool) -> CommandResponse:
        try:
            self.dispatcher.table.set_cordoned(worker, cordoned)
        except KeyError:
            name = repr(worker[:MAX_NAME_CHARACTERS])
            return CommandResponse(False, f"{name} was never listed; allowed: an ID that discovery has named")
        return CommandResponse(True, f"{worker} is left out" if cordoned else f"{worker} is used again")
