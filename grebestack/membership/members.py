"""What is believed of each server: events in, actions out. The rule is in docs/design-membership.md.

In short: a server is listed as long as any source lists it. Among the sources that are fresh, or all where
none is, the most careful word counts; address and kind come from the first of them. Falling from ready counts
at once; coming back is damped where a server came and went. What one update takes away is bounded.
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
    """One source and what it says."""

    name: str
    rank: int
    stale_ms: float
    last_update_ms: float | None = None  # when it was last heard; None: never since the start
    reports: dict[str, WorkerReport] = field(default_factory=dict)
    held_removals: set[str] = field(default_factory=set)  # it lists these no more, and that is held back
    failure_reason: str = ""  # it is silent
    is_stale: bool = True


@dataclass(slots=True, eq=False)
class Worker:
    """One server."""

    worker_id: str
    name: str
    report: WorkerReport  # the one that address and kind come from
    status: WorkerStatus = WorkerStatus.GONE
    reason: str = ""
    since_ms: float = 0.0
    flap_times_ms: list[float] = field(default_factory=list)
    held_until_ms: float = 0.0  # kept out
    move_count: int = 0
    published: api.Member | None = None


class Membership:
    """All servers of all sources. Feed it events, carry out the actions it returns."""

    def __init__(self, settings: api.MembershipSettings) -> None:
        self.settings = settings
        self.sources: dict[str, Source] = {}
        self.workers: dict[str, Worker] = {}
        self.former: dict[str, tuple[float, api.Member]] = {}  # addresses that were left, until when
        self.drained: set[str] = set()
        self.deadlines: SortedList[tuple[float, str, str]] = SortedList()  # when, what, of whom
        self.now, self.timer_ms = 0.0, NEVER
        self.actions: list[api.Action] = []
        self.changed: dict[str, None] = {}  # servers to look at, in order
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
        """Take one event; return the actions to carry out, in order. KeyError: an unknown source."""
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

    # What is seen from outside.

    def member_views(self) -> list[api.MemberView]:
        """Every server that is believed in, by name."""
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
        """Every source, by rank."""
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
        """A source was heard: its word counts as of now."""
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
            return  # what it said before a restart is nothing against what it has said since
        reports, named = source.reports, set[str]()
        for report in event.reports:  # ten thousand at a time: most are the very same objects
            worker_id = report.entry.worker
            named.add(worker_id)
            known = reports.get(worker_id)
            if known is not report:
                if known != report:
                    self.changed[worker_id] = None
                reports[worker_id] = report
        source.held_removals -= named
        missing = set(event.removed) & reports.keys()
        if event.is_full and len(named) < len(reports):
            missing |= reports.keys() - named
        self._remove_reports(source, missing, event.is_full, first)

    def _remove_reports(self, source: Source, missing: set[str], is_full: bool, first: bool) -> None:
        """Guards the fleet against a list that an ill catalogue has emptied or cut.

        The first list after a start may differ as it likes from one of before: much may have happened.
        """
        if not missing:
            return
        count = len(source.reports)
        if not is_full:
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
        """Sources fall stale, holds end, addresses that were left are given up."""
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

    # What is believed.

    def _update_worker(self, worker_id: str, members: list[api.Member]) -> None:
        """Believe anew what a server is, and tell it if that has changed."""
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
                # Remembered for a while: one that comes back at once has fallen, and its old names are taken.
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
            return WorkerStatus.DRAINING, "the operator drains it"
        if self.now < worker.held_until_ms:
            return (
                WorkerStatus.JOINING,
                f"it fell {len(worker.flap_times_ms)} times lately: kept out for a while",
            )
        if source.is_stale and source.last_update_ms is not None:
            return WorkerStatus.SUSPECT, f"{source.name} is silent: its last word stands"
        if source.is_stale:
            return (
                WorkerStatus.SUSPECT,
                f"{source.name} has not been heard: its word of before the start stands",
            )
        if worker_id in source.held_removals:
            return WorkerStatus.SUSPECT, f"{source.name} lists it no more: held back"
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
        """Guards against a server that comes and goes: each return is cold, and each fall costs its jobs."""
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
        """The same id at another address is another server; what is out at the old one is waited for."""
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
