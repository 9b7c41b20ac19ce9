"""Decides the status of each worker from the reports of all sources.

A worker is a member while any source lists it. Of the sources that list it only the fresh ones count, or all
of them if none is fresh: the most restrictive state wins, and address and kind come from the source with the
lowest rank. A worker that is no longer ready gets no more work at once; one that flaps is held out of use for
a while before it is ready again. How many workers a single update can remove is limited.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from sortedcontainers import SortedList

from grebestack.membership import interface as api
from grebestack.membership.interface import ReportedState, WorkerReport, WorkerStatus

NEVER = float("inf")
UNREADY_STATUS = {
    ReportedState.DRAINING: WorkerStatus.DRAINING,
    ReportedState.CRITICAL: WorkerStatus.CRITICAL,
}


@dataclass(slots=True)
class Source:
    """A source and its latest reports."""

    name: str
    rank: int
    stale_ms: float
    last_update_ms: float | None = None  # time of its last response; None: none since the start
    reports: dict[str, WorkerReport] = field(default_factory=dict)
    held_removals: set[str] = field(default_factory=set)  # no longer listed, but kept for now
    failure_reason: str = ""  # why it does not respond
    is_stale: bool = True


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and its merged status."""

    worker_id: str
    name: str
    report: WorkerReport  # the one that address and kind are taken from
    status: WorkerStatus = WorkerStatus.GONE
    reason: str = ""
    since_ms: float = 0.0
    flap_times_ms: list[float] = field(default_factory=list)  # when it stopped being usable
    held_until_ms: float = 0.0
    move_count: int = 0
    published: api.Member | None = None


class Membership:
    """All workers of all sources. Takes events and returns the actions to carry out."""

    def __init__(self, settings: api.MembershipSettings) -> None:
        self.settings = settings
        self.sources: dict[str, Source] = {}
        self.workers: dict[str, Worker] = {}
        self.former: dict[str, tuple[float, api.Member]] = {}  # former addresses, and when they are dropped
        self.drained: set[str] = set()  # by the operator
        self.deadlines: SortedList[tuple[float, str, str]] = SortedList()  # time, kind, source or worker
        self.now, self.timer_ms = 0.0, NEVER
        self.actions: list[api.Action] = []
        self.changed: dict[str, None] = {}  # workers to evaluate again, in order
        self.handlers: dict[type, Callable[..., None]] = {
            api.SourceAdded: self._on_source_added,
            api.SourceRemoved: self._on_source_removed,
            api.SourceUpdated: self._on_source_updated,
            api.SourceUnchanged: lambda e: self._mark_fresh(self.sources[e.source]),
            api.SourceFailed: self._on_source_failed,
            api.DrainChanged: self._on_drain_changed,
            api.RemovalsAccepted: self._on_removals_accepted,
            api.TimerFired: self._on_timer_fired,
        }

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Process one event and return the actions to carry out, in order. KeyError: an unknown source."""
        self.now = max(self.now, now_ms)
        self.handlers[type(event)](event)
        self._process_deadlines()
        members: list[api.Member] = []
        changed, self.changed = self.changed, {}
        for worker_id in changed:
            self._update_worker(worker_id, members)
        if members:
            self.actions.append(api.MembersChanged(tuple(members)))
        at = self.deadlines[0][0] if self.deadlines else NEVER
        if at < self.timer_ms:
            self.timer_ms = at
            self.actions.append(api.SetTimer(at))
        actions, self.actions = self.actions, []
        return actions

    # Views for the console.

    def member_views(self) -> list[api.MemberView]:
        """Return every worker that is a member or was one lately, by id."""
        views = []
        for worker_id, worker in sorted(self.workers.items()):
            states = [
                (source.name, f"{report.state.name.lower()}{' (stale)' if source.is_stale else ''}")
                for source in self._sources_by_rank()
                if (report := source.reports.get(worker_id)) is not None
            ]
            addresses = {
                s.reports[worker_id].address for s in self.sources.values() if worker_id in s.reports
            }
            distinct_states = {
                s.reports[worker_id].state for s in self.sources.values() if worker_id in s.reports
            }
            absent = len(states) < len([s for s in self.sources.values() if s.last_update_ms is not None])
            views.append(
                api.MemberView(
                    worker.name,
                    worker.status,
                    worker.reason,
                    worker.since_ms,
                    worker.report.address,
                    tuple(states),
                    len(addresses) > 1 or len(distinct_states) > 1 or absent,
                )
            )
        return views

    def source_views(self) -> list[api.SourceView]:
        """Return every source, by rank."""
        return [
            api.SourceView(
                s.name,
                len(s.reports),
                None if s.last_update_ms is None else self.now - s.last_update_ms,
                s.is_stale,
                tuple(sorted(s.held_removals)),
                s.failure_reason,
            )
            for s in self._sources_by_rank()
        ]

    # Sources.

    def _sources_by_rank(self) -> list[Source]:
        return sorted(self.sources.values(), key=lambda s: (s.rank, s.name))

    def _on_source_added(self, event: api.SourceAdded) -> None:
        if event.source not in self.sources:
            self.sources[event.source] = Source(event.source, event.rank, event.stale_ms)

    def _on_source_removed(self, event: api.SourceRemoved) -> None:
        source = self.sources.pop(event.source)
        self._mark_changed(source.reports)

    def _mark_changed(self, worker_ids: Iterable[str]) -> None:
        self.changed.update(dict.fromkeys(worker_ids))

    def _mark_fresh(self, source: Source) -> None:
        """Record that a source has responded just now."""
        source.last_update_ms, source.failure_reason = self.now, ""
        if source.is_stale:
            source.is_stale = False
            self._mark_changed(source.reports)
            if source.reports:
                self._log("source_fresh", source=source.name, servers=len(source.reports))
        if source.stale_ms < NEVER:
            self.deadlines.add((self.now + source.stale_ms, "stale", source.name))

    def _on_source_failed(self, event: api.SourceFailed) -> None:
        self.sources[event.source].failure_reason = event.reason

    def _on_source_updated(self, event: api.SourceUpdated) -> None:
        source = self.sources[event.source]
        first = source.last_update_ms is None
        if not event.is_cached:
            self._mark_fresh(source)
        elif source.last_update_ms is not None:
            return  # the source has responded since the start, so its reports from before it are outdated
        reports, named = source.reports, set[str]()
        for report in event.reports:  # an update can have ten thousand, most of them the very same objects
            worker_id = report.entry.worker
            named.add(worker_id)
            known = reports.get(worker_id)
            if known is not report:
                if known != report:
                    self.changed[worker_id] = None
                reports[worker_id] = report
        self._mark_changed(source.held_removals & named)  # listed again, perhaps with the same report
        source.held_removals -= named
        missing = set(event.removed) & reports.keys()
        if event.is_complete and len(named) < len(reports):
            missing |= reports.keys() - named
        self._remove_reports(source, missing, event.is_complete, first)

    def _remove_reports(self, source: Source, missing: set[str], is_complete: bool, first: bool) -> None:
        """Remove the workers that an update no longer lists, or hold the removals back if there are too many.

        A faulty catalogue that sends an empty or truncated list must not remove the whole fleet. The first
        list after a start can remove any number of workers: much may have changed since the cached list.
        """
        if not missing:
            return
        count = len(source.reports)
        if not is_complete:
            missing = missing | source.held_removals
        left, s = count - len(missing), self.settings
        too_many = not first and len(missing) > 1 and len(missing) > s.max_removed_share * count
        if too_many or left < min(s.min_workers, count):
            if missing != source.held_removals:
                self._log(
                    "update_held",
                    warning=True,
                    source=source.name,
                    removes=len(missing),
                    of=count,
                    servers=",".join(sorted(missing)[:8]),
                )
            source.held_removals = missing
            self._mark_changed(missing)
            return
        source.held_removals = set()
        for worker_id in missing:
            del source.reports[worker_id]
        self._mark_changed(missing)

    def _on_removals_accepted(self, event: api.RemovalsAccepted) -> None:
        source = self.sources[event.source]
        for worker_id in source.held_removals:
            del source.reports[worker_id]
        self._mark_changed(source.held_removals)
        self._log("update_accepted", source=source.name, removes=len(source.held_removals))
        source.held_removals = set()

    def _on_drain_changed(self, event: api.DrainChanged) -> None:
        (self.drained.add if event.is_drained else self.drained.discard)(event.worker_id)
        self.changed[event.worker_id] = None

    # Time.

    def _on_timer_fired(self, event: api.TimerFired) -> None:
        self.timer_ms = NEVER

    def _process_deadlines(self) -> None:
        """Process what is due: holds that end, sources that become stale, workers and addresses to drop."""
        while self.deadlines and self.deadlines[0][0] <= self.now:
            _, kind, name = self.deadlines.pop(0)
            if kind == "held":
                self.changed[name] = None
            elif kind == "forget":
                worker = self.workers.get(name)
                retained_since_ms = self.now - self._retention_ms()
                if (
                    worker is not None
                    and worker.status is WorkerStatus.GONE
                    and worker.since_ms <= retained_since_ms
                ):
                    del self.workers[name]
            elif kind == "left":
                until, member = self.former.get(name, (NEVER, None))
                if member is not None and until <= self.now:
                    del self.former[name]
                    self.actions.append(api.MembersChanged((replace(member, status=WorkerStatus.GONE),)))
            else:
                source = self.sources.get(name)
                if source is None or source.is_stale or source.last_update_ms is None:
                    continue
                if source.last_update_ms + source.stale_ms <= self.now:
                    source.is_stale = True
                    self._mark_changed(source.reports)
                    self._log(
                        "source_stale",
                        warning=True,
                        source=name,
                        servers=len(source.reports),
                        why=source.failure_reason,
                    )

    # The status of a worker.

    def _update_worker(self, worker_id: str, members: list[api.Member]) -> None:
        """Evaluate a worker's status again and add its row to `members` if that has changed."""
        reports = [
            (source, report)
            for source in self._sources_by_rank()
            if (report := source.reports.get(worker_id)) is not None
        ]
        worker = self.workers.get(worker_id)
        if not reports:
            if worker is not None and worker.status is not WorkerStatus.GONE:
                self._set_status(worker, WorkerStatus.GONE, "no source lists it")
                self._publish(worker, members)
                # Kept for a while: if the worker comes back at once, that was a flap, and the names it had
                # are in use.
                self.deadlines.add((self.now + self._retention_ms(), "forget", worker_id))
            return
        counted = [(s, r) for s, r in reports if not s.is_stale] or reports
        source, report = counted[0]
        if worker is None:
            worker = self.workers[worker_id] = Worker(worker_id, worker_id, report)
        elif report.address != worker.report.address:
            self._on_address_changed(worker, report)
        worker.report = report
        status, reason = self._evaluate(worker_id, worker, counted)
        self._set_status(worker, status, reason)
        self._publish(worker, members)

    def _evaluate(
        self, worker_id: str, worker: Worker, counted: list[tuple[Source, WorkerReport]]
    ) -> tuple[WorkerStatus, str]:
        source, worst = max(counted, key=lambda pair: pair[1].state)
        if worst.state is not ReportedState.READY:
            return UNREADY_STATUS[worst.state], f"{source.name}: {worst.reason or worst.state.name.lower()}"
        if worker_id in self.drained:
            return WorkerStatus.DRAINING, "drained by the operator"
        if self.now < worker.held_until_ms:
            return WorkerStatus.JOINING, f"held out of use: {len(worker.flap_times_ms)} flaps lately"
        if source.is_stale and source.last_update_ms is not None:
            return WorkerStatus.SUSPECT, f"{source.name} does not respond: its last report is used"
        if source.is_stale:
            return WorkerStatus.SUSPECT, f"no response from {source.name} yet: its cached report is used"
        if worker_id in source.held_removals:
            return WorkerStatus.SUSPECT, f"{source.name} no longer lists it: the removal is held back"
        return WorkerStatus.READY, f"{source.name}: {worst.reason or 'ready'}"

    def _set_status(self, worker: Worker, status: WorkerStatus, reason: str) -> None:
        worker.reason = reason
        if status is worker.status:
            return
        if worker.status.takes_work and not status.takes_work:
            self._record_flap(worker)
        if (worker.status, status) != (WorkerStatus.GONE, WorkerStatus.READY):
            self._log(
                "member",
                server=worker.name,
                was=worker.status.name.lower(),
                now=status.name.lower(),
                reason=reason,
            )
        worker.status, worker.since_ms = status, self.now

    def _record_flap(self, worker: Worker) -> None:
        """Hold a worker that flaps out of use: each return starts cold, and each loss costs its jobs."""
        s = self.settings
        worker.flap_times_ms = [at for at in worker.flap_times_ms if at > self.now - s.flap_window_ms] + [
            self.now
        ]
        excess = len(worker.flap_times_ms) - s.max_flaps
        if excess > 0:
            hold = min(s.max_hold_ms, s.base_hold_ms * 2.0 ** min(excess - 1, 20))
            worker.held_until_ms = self.now + hold
            self.deadlines.add((worker.held_until_ms, "held", worker.worker_id))

    def _retention_ms(self) -> float:
        return max(self.settings.flap_window_ms, self.settings.moved_drain_ms)

    def _on_address_changed(self, worker: Worker, report: WorkerReport) -> None:
        """Treat an id at another address as another worker; the former address drains."""
        if worker.published is not None and worker.published.status is not WorkerStatus.GONE:
            former = replace(worker.published, status=WorkerStatus.DRAINING)
            until = self.now + self.settings.moved_drain_ms
            self.former[former.name] = (until, former)
            self.deadlines.add((until, "left", former.name))
            if former != worker.published:
                self.actions.append(api.MembersChanged((former,)))
        self._log(
            "member_moved",
            server=worker.worker_id,
            was=":".join(map(str, worker.report.address)),
            now=":".join(map(str, report.address)),
        )
        worker.move_count += 1
        worker.name = f"{worker.worker_id}~{worker.move_count + 1}"
        worker.published, worker.status = None, WorkerStatus.GONE

    def _publish(self, worker: Worker, members: list[api.Member]) -> None:
        member = api.Member(
            worker.name, worker.worker_id, worker.report.entry, worker.report.address, worker.status
        )
        if member != worker.published and not (
            worker.published is None and worker.status is WorkerStatus.GONE
        ):
            worker.published = member
            members.append(member)

    def _log(self, event: str, *, warning: bool = False, **fields: object) -> None:
        self.actions.append(api.LogEvent(event, tuple(fields.items()), warning))
