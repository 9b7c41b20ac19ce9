"""Membership's shell: sources are heard, the server table is told, people read about it in the log.

Only an appliance has one; on the platform discovery feeds the server table itself.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from grebestack.core.api import ListKind, WorkerState
from grebestack.membership import interface as api
from grebestack.membership.interface import Belief, Claim, Standing
from grebestack.membership.members import Membership
from grebestack.protocol.snapshot import SnapshotError, load_lists, save_lists
from grebestack.routing.interfaces import Clock, Timer
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable

log = logging.getLogger(__name__)
SAVE_MS = 2000.0  # lists that come together are written together
STANDINGS = {WorkerState.READY: Standing.READY, WorkerState.DRAINING: Standing.DRAINING}


class MembershipAdapter:
    """Feeds membership what sources say and carries out what it decides."""

    def __init__(self, settings: api.MembershipSettings, clock: Clock, table: WorkerTable) -> None:
        self.members, self.clock, self.table = Membership(settings), clock, table
        self.timer: Timer | None = None
        self.current: list[MembershipSource] = []
        self.former: list[str] = []  # sources that go once the current ones have been heard
        self.snapshot, self.saving = "", False

    def handle_event(self, event: api.Event) -> None:
        """Tell membership something."""
        for action in self.members.handle(self.clock.now_ms(), event):
            match action:
                case api.Tell(members):
                    self.table.update(ListKind.CHANGES, [self._server(member) for member in members])
                case api.Note(name, pairs, warning):
                    log.log(logging.WARNING if warning else logging.INFO, name, extra={"kv": dict(pairs)})
                case api.Wake(at_ms):
                    if self.timer is not None:
                        self.timer.cancel()
                    self.timer = self.clock.call_at(at_ms, lambda: self.handle_event(api.Tick()))

    def _server(self, member: api.Member) -> WorkerEndpoint:
        if member.belief is Belief.GONE:
            state = WorkerState.GONE
        else:
            state = WorkerState.READY if member.belief.takes_work else WorkerState.DRAINING
        entry = replace(member.entry, worker=member.name, state=state)
        uid = member.server if member.server != member.name else ""
        return WorkerEndpoint(entry, member.address, uid, member.belief.name.lower())

    def replace_sources(self, names: Sequence[str], stale_ms: float, snapshot: str) -> list[MembershipSource]:
        """The ways in of new sources. What former ones said stands until all of these have told their lists.

        Where there is no former one, the lists of the snapshot's file stand until then.
        """
        self.former, self.snapshot = [source.name for source in self.current], snapshot
        fresh: list[MembershipSource] = []
        for name in names:
            number, unique = 1, name
            while unique in self.members.sources:
                number += 1
                unique = f"{name} {number}"
            self.handle_event(api.SourceAdded(unique, len(fresh), stale_ms))
            fresh.append(MembershipSource(self, unique, name))
        self.current = fresh
        if not self.former and snapshot:
            self._begin_from(snapshot)
        return fresh

    def _begin_from(self, path: str) -> None:
        try:
            lists = load_lists(path)
        except SnapshotError as error:  # a wrong list is worse than none
            log.warning("snapshot_refused", extra={"kv": {"error": error}})
            return
        for source in self.current:
            if source.label in lists:
                heard, servers = lists[source.label]
                kv = {"source": source.name, "servers": len(servers), "age_s": round(time.time() - heard)}
                log.info("snapshot_used", extra={"kv": kv})
                source.update(ListKind.CACHED, servers)

    def updated(self) -> None:
        """A source has told a list: the former ones may go, and the file be written."""
        self.table.has_live_list = True
        if self.former and all(source.has_live_list for source in self.current):
            former, self.former = self.former, []
            for name in former:
                self.handle_event(api.SourceRemoved(name))
        if self.snapshot and not self.saving:
            self.saving = True
            self.clock.call_at(self.clock.now_ms() + SAVE_MS, self.save)

    def save(self) -> None:
        """Write the last good lists."""
        self.saving = False
        lists = {s.label: (s.heard_unix, s.servers) for s in self.current if s.has_live_list}
        if not self.snapshot or not lists:
            return
        try:
            save_lists(self.snapshot, lists)
        except OSError as error:
            log.warning("snapshot_failed", extra={"kv": {"file": self.snapshot, "error": error}})

    def set_drained(self, server: str, on: bool) -> None:
        """The operator drains a server, or does no longer; KeyError if none has this name."""
        if server not in self.members.states:
            raise KeyError(server)
        self.handle_event(api.Drained(server, on))

    def accept_removals(self, source: str) -> None:
        """The operator accepts what a source takes away; KeyError if there is no such source."""
        self.handle_event(api.Accepted(source))

    def describe(self) -> dict[str, Any]:
        """What a console shows of the sources and of what is believed."""
        now = self.clock.now_ms()
        return {
            "sources": [
                {
                    "source": s.source,
                    "servers": s.servers,
                    "stale": s.stale,
                    "why": s.why,
                    "heard_s_ago": None if s.heard_ms is None else round(s.heard_ms / 1000.0, 1),
                    "held_back": list(s.held_back),
                }
                for s in self.members.about()
            ],
            "servers": [
                {
                    "server": m.name,
                    "state": m.belief.name.lower(),
                    "reason": m.reason,
                    "for_s": round((now - m.since_ms) / 1000.0, 1),
                    "address": ":".join(map(str, m.address)),
                    "sources": ", ".join(f"{source}={word}" for source, word in m.sources),
                    "disagree": m.disagree,
                }
                for m in self.members.members()
            ],
        }


class MembershipSource:
    """What a source speaks to in place of the server table."""

    def __init__(self, roster: MembershipAdapter, name: str, label: str) -> None:
        self.roster, self.name, self.label = roster, name, label
        self.servers: tuple[WorkerEndpoint, ...] = ()  # its last whole list
        self.made: dict[str, tuple[WorkerEndpoint, Claim]] = {}  # the claims of the last telling
        self.heard_unix = 0.0  # and when that came

    @property
    def has_live_list(self) -> bool:
        """Whether the source has been heard since the start."""
        source = self.roster.members.sources.get(self.name)
        return source is not None and source.heard_ms is not None

    def update(self, kind: ListKind, servers: Iterable[WorkerEndpoint]) -> None:
        """Take a list or changes to it."""
        servers = tuple(servers)
        claims, gone, made = [], [], self.made
        for server in servers:
            name = server.entry.worker
            known = self.made.get(name)
            if known is not None and known[0] is server:  # a large list of which most has not changed
                claims.append(known[1])
            elif server.entry.state is WorkerState.GONE:
                gone.append(name)
            else:
                # The state is what differs from one telling to the next; membership keeps it as a standing.
                standing = Standing.CRITICAL if server.reason else STANDINGS[server.entry.state]
                entry = replace(server.entry, state=WorkerState.READY)
                claims.append(Claim(entry, server.address, standing, server.reason))
                made[name] = (server, claims[-1])
        if len(made) > 2 * len(servers) + 64:
            self.made = {claim.server: made[claim.server] for claim in claims}
        whole, old = kind is not ListKind.CHANGES, kind is ListKind.CACHED
        if self.name not in self.roster.members.sources:
            return  # another source has taken its place
        self.roster.handle_event(api.Listed(self.name, tuple(claims), whole, tuple(gone), old))
        if not old:
            if whole:
                self.servers, self.heard_unix = servers, time.time()
            self.roster.updated()

    def on_unchanged(self) -> None:
        """The source has answered and nothing has changed."""
        if self.has_live_list:
            self.roster.handle_event(api.Heard(self.name))

    def on_silent(self, why: str) -> None:
        """The source did not answer."""
        if self.name in self.roster.members.sources:
            self.roster.handle_event(api.Silent(self.name, why))
