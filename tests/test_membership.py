"""Membership against a model with random sources, failures and times, and single cases."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from grebestack.core.api import WorkerEntry
from grebestack.membership import interface as api
from grebestack.membership.interface import ReportedState, WorkerReport, WorkerStatus
from grebestack.membership.members import Membership

READY, DRAINING, CRITICAL = ReportedState


class Driver:
    """Feeds a membership, keeps the table of members that it publishes, and fires its timers."""

    def __init__(self, **changes: Any) -> None:
        self.membership = Membership(api.MembershipSettings(**changes))
        self.now = 1000.0
        self.table: dict[str, api.Member] = {}
        self.log_events: list[api.LogEvent] = []
        self.timers: list[float] = []

    def feed(self, event: api.Event) -> None:
        for action in self.membership.handle(self.now, event):
            match action:
                case api.MembersChanged(members):
                    for member in members:
                        if member.status is WorkerStatus.GONE:
                            assert self.table.pop(member.name, None) is not None, "gone, but never published"
                        else:
                            assert self.table.get(member.name) != member, "published twice"
                            self.table[member.name] = member
                case api.LogEvent():
                    self.log_events.append(action)
                case api.SetTimer(at):
                    self.timers.append(at)

    def advance(self, ms: float) -> None:
        until = self.now + ms
        while due := [at for at in self.timers if at <= until]:
            self.now = max(self.now, min(due))
            self.timers = [at for at in self.timers if at > self.now]
            self.feed(api.TimerFired())
        self.now = until

    def update(self, source: str, *reports: WorkerReport, **more: Any) -> None:
        self.feed(api.SourceUpdated(source, reports, **more))

    def takes_work(self) -> set[str]:
        return {name for name, member in self.table.items() if member.status.takes_work}

    def logged(self, event: str) -> int:
        return sum(log_event.event == event for log_event in self.log_events)


def report(name: str, state: ReportedState = READY, port: int = 1, reason: str = "") -> WorkerReport:
    return WorkerReport(WorkerEntry(name), ("127.0.0.1", port), state, reason)


def two_sources(**changes: Any) -> Driver:
    d = Driver(**changes)
    d.feed(api.SourceAdded("a", 0, stale_ms=5000.0))
    d.feed(api.SourceAdded("b", 1, stale_ms=5000.0))
    return d


def test_the_most_restrictive_state_of_fresh_sources_wins_and_a_missing_report_does_not_count() -> None:
    d = two_sources()
    d.update("a", report("x"), report("y"))
    d.update("b", report("x", CRITICAL, reason="disk"), report("z"))
    assert d.takes_work() == {"y", "z"} and d.table["x"].status is WorkerStatus.CRITICAL
    (x,) = [view for view in d.membership.member_views() if view.name == "x"]
    assert (
        x.reason == "b: disk"
        and x.sources_disagree
        and dict(x.reported_states) == {"a": "ready", "b": "critical"}
    )
    d.update("b", report("x"))
    assert d.takes_work() == {"x", "y"} and "z" not in d.table
    d.feed(api.DrainChanged("y", True))
    assert d.table["y"].status is WorkerStatus.DRAINING
    d.feed(api.DrainChanged("y", False))
    assert d.takes_work() == {"x", "y"}


def test_the_last_list_is_used_while_no_source_responds() -> None:
    d = two_sources()
    d.update("a", report("x"), report("y", CRITICAL))
    d.feed(api.SourceFailed("a", "no connection"))
    d.advance(60_000.0)
    assert d.table["x"].status is WorkerStatus.SUSPECT and d.takes_work() == {"x"}
    assert d.logged("source_stale") == 1
    d.feed(api.SourceUnchanged("a"))
    assert {m.name: m.status for m in d.table.values()} == {
        "x": WorkerStatus.READY,
        "y": WorkerStatus.CRITICAL,
    }


def test_a_fresh_source_takes_precedence_over_a_stale_one() -> None:
    d = two_sources()
    d.update("a", report("x", CRITICAL, port=1))
    d.advance(6000.0)
    d.update("b", report("x", port=2))
    assert d.table["x~2"].status is WorkerStatus.READY and d.table["x~2"].address[1] == 2
    d.update("a", report("x", CRITICAL, port=2))
    assert not d.takes_work()


def test_an_empty_list_is_held_back_until_the_operator_accepts_it() -> None:
    d = two_sources(max_removed_share=0.5, min_workers=1)
    d.update("a", *(report(f"s{n}") for n in range(4)))
    d.update("a")
    d.update("a")
    assert len(d.takes_work()) == 4 and d.logged("update_held") == 1
    assert {m.status for m in d.table.values()} == {WorkerStatus.SUSPECT}
    d.update("a", report("s0"), report("s1", CRITICAL), report("s2"), report("s3"))
    assert d.takes_work() == {"s0", "s2", "s3"} and not d.membership.sources["a"].held_removals
    d.update("a", report("s0"), report("s2"))  # half of them, which is the limit
    assert set(d.table) == {"s0", "s2"}
    d.update("a")
    d.feed(api.RemovalsAccepted("a"))
    assert not d.table


def test_a_worker_that_is_listed_again_after_a_held_back_removal_does_not_stay_suspect() -> None:
    # Its report is the same as before, so its status is not evaluated again when the removal is dropped.
    d = two_sources()
    d.update("a", report("p"))
    d.update("a")
    d.update("a", report("p"))
    assert {m.worker_id for m in d.table.values() if m.status is WorkerStatus.READY} == {"p"}


def test_a_flapping_worker_is_held_out_of_use_for_twice_as_long_each_time() -> None:
    d = two_sources(max_flaps=2, base_hold_ms=1000.0, max_hold_ms=4000.0, flap_window_ms=60_000.0)
    holds = []
    for _ in range(6):
        d.update("a", report("x", CRITICAL))
        assert not d.takes_work()  # at once
        d.update("a", report("x"))
        began = d.now
        while not d.takes_work():
            assert d.table["x"].status is WorkerStatus.JOINING
            d.advance(100.0)
        holds.append(round(d.now - began, -2))
        d.advance(100.0)
    # The first report was of a critical worker, which is no flap; the others were of one that had been ready.
    assert holds == [0, 0, 0, 1000, 2000, 4000]
    d.advance(120_000.0)
    d.update("a", report("x", CRITICAL))
    d.update("a", report("x"))
    assert d.takes_work() == {"x"}


def test_an_id_at_another_address_is_another_worker_and_the_former_address_drains() -> None:
    d = two_sources(moved_drain_ms=10_000.0)
    d.update("a", report("x", port=1))
    d.update("a", report("x", port=2))
    assert d.table["x"].status is WorkerStatus.DRAINING and d.table["x"].address[1] == 1
    assert d.table["x~2"].status is WorkerStatus.READY and d.table["x~2"].worker_id == "x"
    d.advance(10_001.0)
    assert set(d.table) == {"x~2"}


def test_a_cached_list_is_used_until_its_source_responds() -> None:
    d = two_sources()
    d.update("a", report("x"), report("y"), is_cached=True)
    assert d.table["x"].status is WorkerStatus.SUSPECT and d.takes_work() == {"x", "y"}
    d.update("a", report("x"), report("z"))
    assert d.takes_work() == {"x", "z"} and set(d.table) == {"x", "z"}
    d.update("a", report("y"), is_cached=True)
    assert set(d.table) == {"x", "z"}
    d.feed(api.SourceRemoved("a"))
    assert not d.table


class Model(RuleBasedStateMachine):
    """No work for a worker that a fresh source reports critical or draining, or that no source lists.

    No worker that a source lists is lost, and the published table agrees with the membership's own state.
    Once all sources report the same and time has passed, every worker is ready.
    """

    names = ("p", "q", "r", "s")

    def __init__(self) -> None:
        super().__init__()
        self.d = two_sources(max_flaps=1, base_hold_ms=500.0, max_hold_ms=2000.0, flap_window_ms=5000.0)
        self.reports: dict[str, dict[str, WorkerReport]] = {"a": {}, "b": {}}
        self.updated_ms = {"a": -1e9, "b": -1e9}

    @rule(
        source=st.sampled_from("ab"),
        is_complete=st.booleans(),
        states=st.dictionaries(st.sampled_from(names), st.sampled_from(ReportedState), max_size=4),
        port=st.integers(1, 2),
    )
    def update(self, source: str, is_complete: bool, states: dict[str, ReportedState], port: int) -> None:
        reports = tuple(report(name, state, port) for name, state in states.items())
        self.reports[source] = ({} if is_complete else self.reports[source]) | {
            r.worker_id: r for r in reports
        }
        self.updated_ms[source] = self.d.now
        self.d.update(source, *reports, is_complete=is_complete)

    @rule(source=st.sampled_from("ab"))
    def unchanged(self, source: str) -> None:
        self.updated_ms[source] = self.d.now
        self.d.feed(api.SourceUnchanged(source))

    @rule(name=st.sampled_from(names), is_drained=st.booleans())
    def drain(self, name: str, is_drained: bool) -> None:
        self.d.feed(api.DrainChanged(name, is_drained))

    @rule(source=st.sampled_from("ab"))
    def accept(self, source: str) -> None:
        self.d.feed(api.RemovalsAccepted(source))

    @rule(ms=st.sampled_from([10.0, 600.0, 3000.0, 6000.0]))
    def time_passes(self, ms: float) -> None:
        self.d.advance(ms)

    def fresh(self) -> list[str]:
        return [s for s in "ab" if self.d.now - self.updated_ms[s] < 5000.0]

    @invariant()
    def no_work_for_workers_that_a_fresh_source_reports_not_ready(self) -> None:
        for name, member in self.d.table.items():
            reports = [
                self.reports[s][member.worker_id] for s in self.fresh() if member.worker_id in self.reports[s]
            ]
            if (
                any(each.state is not READY for each in reports)
                or member.worker_id in self.d.membership.drained
            ):
                assert not member.status.takes_work, name
            if member.status is WorkerStatus.READY:
                assert reports and reports[0].address == member.address

    @invariant()
    def no_worker_is_lost_that_a_source_lists(self) -> None:
        published = {m.worker_id for m in self.d.table.values()}
        for reports in self.reports.values():
            assert set(reports) <= published

    @invariant()
    def the_published_table_agrees_with_the_membership(self) -> None:
        workers = self.d.membership.workers.values()
        now = {w.name: w.status for w in workers if w.status is not WorkerStatus.GONE}
        assert {n: m.status for n, m in self.d.table.items() if n in now} == now
        assert set(self.d.table) - set(now) <= set(self.d.membership.former)

    def teardown(self) -> None:
        everything = tuple(report(name) for name in self.names)
        for name in self.names:
            self.d.feed(api.DrainChanged(name, False))
        for _ in range(4):
            for source in "ab":
                self.d.update(source, *everything)
            self.d.advance(4000.0)
        assert {m.worker_id for m in self.d.table.values() if m.status is WorkerStatus.READY} == set(
            self.names
        )
        super().teardown()


TestModel = Model.TestCase
TestModel.settings = settings(max_examples=80, stateful_step_count=30, deadline=None)
