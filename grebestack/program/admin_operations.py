"""What the calls at the operators' door do to this dispatcher."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from grebestack.admin.commands import Answer, Call, Verb
from grebestack.program.lifecycle import Life

if TYPE_CHECKING:
    from grebestack.admin.server import Reply
    from grebestack.program.audit_recording import Auditor
    from grebestack.program.cluster_member import Fleet
    from grebestack.program.config_updates import ConfigUpdates
    from grebestack.routing.interfaces import Clock
    from grebestack.routing.worker_table import ServerTable


class Dispatcher(Protocol):
    """What calls work on."""

    life: Life
    fleet: Fleet | None
    configuring: ConfigUpdates | None
    auditor: Auditor | None
    table: ServerTable

    @property
    def clock(self) -> Clock:
        """The time."""

    def apply(self) -> None:
        """Have all follow the state of `life`."""


class OwnOperations:
    """Carries calls out in this process, each at once."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    def call(self, call: Call, reply: Reply) -> None:
        """Carry out a call and reply."""
        if self.dispatcher.auditor is not None and call.verb.acts:
            self.dispatcher.auditor.operated(call)
        fleet = self.dispatcher.fleet
        if call.verb in (Verb.RESTART, Verb.HALT) and fleet is not None:
            (fleet.paced.begin if call.verb is Verb.RESTART else fleet.paced.halt)(reply)
        elif call.verb is Verb.CONFIGURE and self.dispatcher.configuring is not None:
            self.dispatcher.configuring.configure(call.server, reply)
        else:
            reply(self.carry_out(call))

    def carry_out(self, call: Call) -> Answer:
        """What a call comes to; a SUCCESS holds when this returns."""
        if call.verb is Verb.HEALTH:
            return self._health()
        if call.verb.of_fleet:
            return self._of_fleet(call)
        if call.verb.named:
            return self._cordon(call.server, call.verb is Verb.CORDON)
        life, now = self.dispatcher.life, self.dispatcher.clock.now_ms()
        if call.verb is Verb.RESUME and not life.resume(now):
            return Answer(False, "stopping: a stop can't be taken back")
        if call.verb is Verb.QUIESCE:
            life.quiesce(now)
        self.dispatcher.apply()
        return Answer(True, life.stage.value)

    def _of_fleet(self, call: Call) -> Answer:
        fleet, configuring = self.dispatcher.fleet, self.dispatcher.configuring
        if call.verb is Verb.CONFIGURE:
            return Answer(False, "no configuration goes through a fleet here; the file needs [fleet.relays]")
        if call.verb is Verb.FLEET and configuring is not None:
            members = f"{fleet.shown()}; " if fleet is not None else ""
            return Answer(True, members + configuring.shown())
        if fleet is None:
            return Answer(False, "this dispatcher is a member of no fleet")
        if call.verb is Verb.DROP:
            return fleet.drop(call.server)
        return Answer(True, fleet.shown() if call.verb is Verb.FLEET else fleet.leases())

    def _health(self) -> Answer:
        life = self.dispatcher.life
        return Answer(life.ready, "ready" if life.ready else f"not ready: {life.stage.value}")

    def _cordon(self, server: str, on: bool) -> Answer:
        table = self.dispatcher.table
        try:
            table.cordon(server, on)
        except KeyError:
            return Answer(False, f"{server[:80]!r} was never listed; allowed: an ID that discovery has named")
        if not on:
            return Answer(True, f"{server} is used again")
        return Answer(True, f"{server} is left out")
