"""Connects membership to its surroundings: feeds it from sources and updates the worker table and the log.

Only an appliance has one; on the platform discovery updates the worker table directly.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from grebestack.core.api import ListKind, WorkerState
from grebestack.membership import interface as api
from grebestack.membership.interface import ReportedState, WorkerReport, WorkerStatus
from grebestack.membership.members import Membership
from grebestack.protocol.snapshot import SnapshotError, load_lists, save_lists
from grebestack.routing.interfaces import Clock, Timer
from grebestack.routing.worker_table import WorkerEndpoint, WorkerTable

log = logging.getLogger(__name__)
SAVE_DELAY_MS = 2000.0  # so that lists that arrive together are saved together
REPORTED_STATES = {WorkerState.READY: ReportedState.READY, WorkerState.DRAINING: ReportedState.DRAINING}


class MembershipAdapter:
    """Passes what sources report to membership and executes the actions that it returns."""

    def __init__(self, settings: api.MembershipSettings, clock: Clock, table: WorkerTable) -> None:
        self.members, self.clock, self.table = Membership(settings), clock, table
        self.timer: Timer | None = None
        self.sources: list[MembershipSource] = []
        self.former_sources: list[str] = []  # removed once all current ones have reported a list
        self.snapshot_path, self.save_scheduled = "", False

    def handle_event(self, event: api.Event) -> None:
        """Pass an event to membership and execute its actions."""
        for action in self.members.handle(self.clock.now_ms(), event):
            match action:
                case api.MembersChanged(members):
                    self.table.update(ListKind.CHANGES, [self._endpoint(member) for member in members])
                case api.LogEvent(name, fields, is_warning):
                    log.log(logging.WARNING if is_warning else logging.INFO, name, extra={"kv": dict(fields)})
                case api.SetTimer(at_ms):
                    if self.timer is not None:
                        self.timer.cancel()
                    self.timer = self.clock.call_at(at_ms, lambda: self.handle_event(api.TimerFired()))

    def _endpoint(self, member: api.Member) -> WorkerEndpoint:
        if member.status is WorkerStatus.GONE:
            state = WorkerState.GONE
        else:
            state = WorkerState.READY if member.status.takes_work else WorkerState.DRAINING
        entry = replace(member.entry, worker=member.name, state=state)
        uid = member.worker_id if member.worker_id != member.name else ""
        return WorkerEndpoint(entry, member.address, uid, member.status.name.lower())

    def replace_sources(
        self, names: Sequence[str], stale_ms: float, snapshot_path: str
    ) -> list[MembershipSource]:
        """Return new sources. What the former ones reported counts until all new ones have reported a list.

        If there are no former ones, the lists of the snapshot count until then.
        """
        self.former_sources, self.snapshot_path = [source.name for source in self.sources], snapshot_path
        added: list[MembershipSource] = []
        for name in names:
            number, unique = 1, name
            while unique in self.members.sources:
                number += 1
                unique = f"{name} {number}"
            self.handle_event(api.SourceAdded(unique, len(added), stale_ms))
            added.append(MembershipSource(self, unique, name))
        self.sources = added
        if not self.former_sources and snapshot_path:
            self._load_snapshot(snapshot_path)
        return added

    def _load_snapshot(self, path: str) -> None:
        try:
            lists = load_lists(path)
        except SnapshotError as error:  # no list is safer than a wrong one
            log.warning("snapshot_refused", extra={"kv": {"error": error}})
            return
        for source in self.sources:
            if source.label in lists:
                received, workers = lists[source.label]
                fields = {
                    "source": source.name,
                    "servers": len(workers),
                    "age_s": round(time.time() - received),
                }
                log.info("snapshot_used", extra={"kv": fields})
                source.update(ListKind.CACHED, workers)

    def on_list_received(self) -> None:
        """Remove former sources if all current ones have reported, and schedule the snapshot to be saved."""
        self.table.has_live_list = True
        if self.former_sources and all(source.has_live_list for source in self.sources):
            former, self.former_sources = self.former_sources, []
            for name in former:
                self.handle_event(api.SourceRemoved(name))
        if self.snapshot_path and not self.save_scheduled:
            self.save_scheduled = True
            self.clock.call_at(self.clock.now_ms() + SAVE_DELAY_MS, self.save_snapshot)

    def save_snapshot(self) -> None:
        """Save the last complete list of each source."""
        self.save_scheduled = False
        lists = {s.label: (s.received_unix_s, s.workers) for s in self.sources if s.has_live_list}
        if not self.snapshot_path or not lists:
            return
        try:
            save_lists(self.snapshot_path, lists)
        except OSError as error:
            log.warning("snapshot_failed", extra={"kv": {"file": self.snapshot_path, "error": error}})

    def set_drained(self, worker: str, on: bool) -> None:
        """Drain a worker for the operator, or end that; KeyError if no worker has this name."""
        if worker not in self.members.workers:
            raise KeyError(worker)
        self.handle_event(api.DrainChanged(worker, on))

    def accept_removals(self, source: str) -> None:
        """Apply the removals of a source that are held back; KeyError if there is no such source."""
        self.handle_event(api.RemovalsAccepted(source))

    def describe(self) -> dict[str, Any]:
        """Return the states of all sources and workers, for the operator's console."""
        now = self.clock.now_ms()
        return {
            "sources": [
                {
                    "source": s.source,
                    "servers": s.worker_count,
                    "stale": s.is_stale,
                    "why": s.failure_reason,
                    "heard_s_ago": None
                    if s.last_update_age_ms is None
                    else round(s.last_update_age_ms / 1000.0, 1),
                    "held_back": list(s.held_removals),
                }
                for s in self.members.source_views()
            ],
            "servers": [
                {
                    "server": m.name,
                    "state": m.status.name.lower(),
                    "reason": m.reason,
                    "for_s": round((now - m.since_ms) / 1000.0, 1),
                    "address": ":".join(map(str, m.address)),
                    "sources": ", ".join(f"{source}={state}" for source, state in m.reported_states),
                    "disagree": m.sources_disagree,
                }
                for m in self.members.member_views()
            ],
        }


class MembershipSource:
    """Receives the lists of one source and reports its workers to membership."""

    def __init__(self, adapter: MembershipAdapter, name: str, label: str) -> None:
        self.adapter, self.name, self.label = adapter, name, label
        self.workers: tuple[WorkerEndpoint, ...] = ()  # of the last complete list
        self.reports: dict[str, tuple[WorkerEndpoint, WorkerReport]] = {}  # the last report on each worker
        self.received_unix_s = 0.0  # when the last complete list arrived

    @property
    def has_live_list(self) -> bool:
        """Whether the source has responded since the start."""
        source = self.adapter.members.sources.get(self.name)
        return source is not None and source.last_update_ms is not None

    def update(self, kind: ListKind, workers: Iterable[WorkerEndpoint]) -> None:
        """Apply a list or changes to it."""
        workers = tuple(workers)
        reports, gone, known_reports = [], [], self.reports
        for worker in workers:
            name = worker.entry.worker
            known = self.reports.get(name)
            if known is not None and known[0] is worker:  # most workers of a large list have not changed
                reports.append(known[1])
            elif worker.entry.state is WorkerState.GONE:
                gone.append(name)
            else:
                # The state changes between lists, so membership keeps it apart from the entry.
                state = ReportedState.CRITICAL if worker.reason else REPORTED_STATES[worker.entry.state]
                entry = replace(worker.entry, state=WorkerState.READY)
                reports.append(WorkerReport(entry, worker.address, state, worker.reason))
                known_reports[name] = (worker, reports[-1])
        if len(known_reports) > 2 * len(workers) + 64:
            self.reports = {report.worker_id: known_reports[report.worker_id] for report in reports}
        is_complete, is_cached = kind is not ListKind.CHANGES, kind is ListKind.CACHED
        if self.name not in self.adapter.members.sources:
            return  # this source has been replaced
        self.adapter.handle_event(
            api.SourceUpdated(self.name, tuple(reports), is_complete, tuple(gone), is_cached)
        )
        if not is_cached:
            if is_complete:
                self.workers, self.received_unix_s = workers, time.time()
            self.adapter.on_list_received()

    def on_unchanged(self) -> None:
        """The source has responded and nothing has changed."""
        if self.has_live_list:
            self.adapter.handle_event(api.SourceUnchanged(self.name))

    def on_silent(self, reason: str) -> None:
        """The source did not respond."""
        if self.name in self.adapter.members.sources:
            self.adapter.handle_event(api.SourceFailed(self.name, reason))
